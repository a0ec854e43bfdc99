"""A control service on loopback with stand-in discovery, transcribers and proxies.

The service runs on a scheduler of its own, and all stand-ins on another one.
"""

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
from corklift.standins.proxy import Proxy, ProxyBehaviour
from corklift.standins.transcriber import Placement, Transcriber

CONFIG = """
listen = "127.0.0.1:0"
discovery = "127.0.0.1:%d"
connect_time_ms = 250
%s
[[workloads]]
name = "plain"
[[listeners]]
name = "main"
routes = [{ workload = "plain" }]
[report]
pressure = "x0"
[load_reports]
every_ms = 200
%s
"""


class ServiceThread:
    """The control service in a thread: like the process, but without signals."""

    def __init__(self, config: ControlConfig, path: str | None = None) -> None:
        self.program = Program(config, path)
        self.port = self.program.port
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        self.program.start()
        self.program.scheduler.run()

    def kill(self) -> None:
        """Closes every socket without a message, as a crash would."""
        self.program.scheduler.stop()
        self._thread.join(5)
        for connection in list(self.program.server.connections):
            connection._stream.abort()
        listener = self.program.server._listener
        if listener is not None:
            listener.close()
        for stream in self.program.probes._connections.values():
            stream.close()
        self.program.watch.close()


class Fleet(Loop):
    """Discovery, transcribers, proxies and control services of one test."""

    def __init__(self, servers: int = 3, size: float = 100.0, ramp: int = 0) -> None:
        super().__init__()
        self.placed: list[Placement] = []
        self.discovery = Discovery(self.scheduler)
        self.discovery_port = self.discovery.listen()
        self.servers = {
            f"s{n}": Transcriber(self.scheduler, f"s{n}", size, self.placed.append, ramp)
            for n in range(1, servers + 1)
        }
        for server in self.servers.values():
            server.listen()
        self.proxies: list[Proxy] = []
        self.services: list[ServiceThread] = []
        self.marked_at: dict[str, int] = {}

    def __enter__(self) -> Fleet:
        super().__enter__()
        self.do(self._start)
        return self

    def __exit__(self, *error: Any) -> None:
        for proxy in self.proxies:
            proxy.stop()
        for service in self.services:
            service.kill()
        super().__exit__(*error)

    def _start(self) -> None:
        self.scheduler.spawn(self.discovery.accept_loop)
        for server in self.servers.values():
            self.scheduler.spawn(server.accept_loop)

    def list_all(self, **options: Any) -> None:
        self.do(
            lambda: [
                self.discovery.put(name, ("127.0.0.1", server.port), **options)
                for name, server in self.servers.items()
            ]
        )

    def mark(self, name: str, status: str) -> None:
        def mark() -> None:
            self.marked_at[name] = self.scheduler.now()
            self.discovery.set_status(name, status)

        self.do(mark)

    def config(self, head: str = "", tail: str = "", port: int | None = None) -> ControlConfig:
        text = CONFIG % (self.discovery_port, head, tail)
        if port is not None:
            text = text.replace("127.0.0.1:0", f"127.0.0.1:{port}")
        return parse_config(text.encode())

    def service(self, head: str = "", tail: str = "", port: int | None = None) -> ServiceThread:
        service = ServiceThread(self.config(head, tail, port))
        self.services.append(service)
        return service

    def proxy(
        self,
        service: ServiceThread | int,
        behaviour: ProxyBehaviour = ProxyBehaviour(),
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
            behaviour,
            limits,
        )
        self.proxies.append(proxy)
        self.do(proxy.start)
        return proxy

    def weights(self, proxy: Proxy, cluster: str = "plain") -> dict[str, int] | None:
        """Returns the weights by which the proxy draws, by server; None before its first list."""
        servers = proxy.state.assignment(cluster)
        if servers is None:
            return None
        sums = (0, *servers.cumulative_weights)
        return {name: sums[index + 1] - sums[index] for index, name in enumerate(servers.names)}

    def wait_for_servers(self, proxy: Proxy, *names: str) -> None:
        wait_for(
            lambda: set(self.weights(proxy) or ()) == set(names) and self.weights(proxy) is not None
        )


def sleep(seconds: float) -> None:
    time.sleep(seconds)
