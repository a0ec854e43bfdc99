"""A control service and stand-ins on loopback: discovery, transcribers and proxies, each side on a scheduler of its own."""

from __future__ import annotations

import threading
import time
from random import Random
from typing import Any

from loop import Loop, wait_for

from corklift.control.config import ControlConfig, parse_config
from corklift.control.program import Program
from corklift.net.limits import MS
from corklift.rpc.core import RpcLimits
from corklift.standins.discovery import Discovery
from corklift.standins.proxy import Habits, Proxy
from corklift.standins.transcriber import Placed, Transcriber

CONFIG = """
listen = "127.0.0.1:0"
discovery = "127.0.0.1:%d"
connect_time_ms = 250
%s
[[workloads]]
name = "plain"
[[listeners]]
name = "door"
routes = [{ workload = "plain" }]
[report]
pressure = "x0"
[load_reports]
every_ms = 200
%s
"""


class Service:
    """The program in a thread of its own; as good as a process but for its signals."""

    def __init__(self, config: ControlConfig, path: str | None = None) -> None:
        self.program = Program(config, path)
        self.port = self.program.port
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        self.program.start()
        self.program.scheduler.run()

    def kill(self) -> None:
        """As a crash would: every socket is closed with nothing said."""
        self.program.scheduler.stop()
        self._thread.join(5)
        for connection in list(self.program.server.connections):
            connection._stream.abort()
        listener = self.program.server._listener
        if listener is not None:
            listener.close()
        for stream in [
            *self.program.probes._connections.values(),
            *filter(None, [self.program.watch._stream]),
        ]:
            stream.close()


class Fleet(Loop):
    def __init__(self, servers: int = 3, size: float = 100.0, ramp: int = 0) -> None:
        super().__init__()
        self.placed: list[Placed] = []
        self.discovery = Discovery(self.scheduler)
        self.discovery_port = self.discovery.listen()
        self.servers = {
            f"s{n}": Transcriber(self.scheduler, f"s{n}", size, self.placed.append, ramp)
            for n in range(1, servers + 1)
        }
        for server in self.servers.values():
            server.listen()
        self.proxies: list[Proxy] = []
        self.services: list[Service] = []
        self.told_at: dict[str, int] = {}

    def __enter__(self) -> Fleet:
        super().__enter__()
        self.do(self._start)
        return self

    def __exit__(self, *problem: Any) -> None:
        for proxy in self.proxies:
            proxy.stop()
        for service in self.services:
            service.kill()
        super().__exit__(*problem)

    def _start(self) -> None:
        self.scheduler.spawn(self.discovery.keep_answering)
        for server in self.servers.values():
            self.scheduler.spawn(server.keep_accepting)

    def list_all(self, **options: Any) -> None:
        self.do(
            lambda: [
                self.discovery.put(name, ("127.0.0.1", server.port), **options)
                for name, server in self.servers.items()
            ]
        )

    def mark(self, name: str, status: str) -> None:
        def mark() -> None:
            self.told_at[name] = self.scheduler.now()
            self.discovery.mark(name, status)

        self.do(mark)

    def config(self, head: str = "", tail: str = "", port: int | None = None) -> ControlConfig:
        text = CONFIG % (self.discovery_port, head, tail)
        if port is not None:
            text = text.replace("127.0.0.1:0", f"127.0.0.1:{port}")
        return parse_config(text.encode())

    def service(self, head: str = "", tail: str = "", port: int | None = None) -> Service:
        service = Service(self.config(head, tail, port))
        self.services.append(service)
        return service

    def proxy(
        self,
        service: Service | int,
        habits: Habits = Habits(),
        node: str = "",
        limits: RpcLimits = RpcLimits(ping_after=0, initial_backoff=100 * MS, ring=8192),
    ) -> Proxy:
        port = service if isinstance(service, int) else service.port
        proxy = Proxy(
            self.scheduler,
            self.counters,
            ("127.0.0.1", port),
            node or f"p{len(self.proxies)}",
            Random(len(self.proxies)),
            habits,
            limits,
        )
        self.proxies.append(proxy)
        self.do(proxy.start)
        return proxy

    def weights(self, proxy: Proxy, cluster: str = "plain") -> dict[str, int] | None:
        """What a proxy draws by now."""
        held = proxy.held.servers(cluster)
        if held is None:
            return None
        sums = (0, *held.sums)
        return {name: sums[at + 1] - sums[at] for at, name in enumerate(held.names)}

    def holds(self, proxy: Proxy, *names: str) -> None:
        wait_for(
            lambda: set(self.weights(proxy) or ()) == set(names) and self.weights(proxy) is not None
        )


def settle(seconds: float) -> None:
    time.sleep(seconds)
