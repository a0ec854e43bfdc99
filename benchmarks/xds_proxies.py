"""A process of stand-in proxies for `benchmarks.xds`, controlled by JSON lines on standard input.

Keys of a line: `rate` (logins a second), `hold` (mean time of a connection, ns), `even` (ignore the
weights) and `calm` (no proxy disconnects any more). Prints one line of JSON when its input ends.
"""

from __future__ import annotations

import json
import os
import sys
from random import Random

from corklift.net.limits import MS, SECOND, Counters
from corklift.net.scheduler import READ, Scheduler, wall_clock
from corklift.rpc.core import RpcLimits
from corklift.standins.proxy import Proxy, ProxyBehaviour

SLOW_READ_INTERVAL = 120 * MS
MEAN_DISCONNECT_INTERVAL = 5 * SECOND


class ProxyProcess:
    """The proxies, the logins that they place, and the servers that left their assignments."""

    def __init__(self, port: int, first_index: int, count: int, seed: int) -> None:
        self.scheduler = Scheduler(wall_clock(), lambda trace: print(trace, file=sys.stderr))
        self.counters = Counters()
        self.rng = Random(seed)
        self.logins_per_s, self.mean_hold_ns = 0.0, SECOND
        self.proxies = []
        # The server, when it left a proxy's assignment, and when that proxy had connected.
        self.removals: list[tuple[str, int, int]] = []
        for index in range(first_index, first_index + count):
            # One in twenty reads slowly and one in twenty disconnects; half use the incremental
            # protocol.
            behaviour = ProxyBehaviour(
                incremental=index % 2 == 1,
                read_interval=SLOW_READ_INTERVAL if index % 20 == 7 else 0,
                disconnect_interval=MEAN_DISCONNECT_INTERVAL if index % 20 == 17 else 0,
            )
            self.proxies.append(
                Proxy(
                    self.scheduler,
                    self.counters,
                    ("127.0.0.1", port),
                    f"proxy-{index:04}",
                    Random(seed * 1000 + index),
                    behaviour,
                    RpcLimits(ping_after=0, initial_backoff=200 * MS, ring=8192),
                )
            )

    def run(self) -> None:
        for proxy in self.proxies:
            proxy.view_changed = self._record_removals
            proxy.start()
        self.scheduler.spawn(self._read_commands)
        self.scheduler.spawn(self._login_loop)
        self.scheduler.run()
        print(json.dumps({"counters": dict(self.counters), "left": self.removals}))

    def _record_removals(
        self, proxy: Proxy, previous_names: set[str], current_names: set[str]
    ) -> None:
        self.removals += [
            (name, self.scheduler.now(), proxy.connected_at)
            for name in previous_names - current_names
        ]

    def _read_commands(self) -> None:
        os.set_blocking(0, False)
        buffer = b""
        while True:
            self.scheduler.wait({0: READ})
            chunk = os.read(0, 65536)
            if not chunk:
                self.scheduler.stop()
                return
            *lines, buffer = (buffer + chunk).split(b"\n")
            for line in lines:
                command = json.loads(line)
                self.logins_per_s, self.mean_hold_ns = (
                    command.get("rate", self.logins_per_s),
                    command.get("hold", self.mean_hold_ns),
                )
                for proxy in self.proxies:
                    proxy.behaviour = proxy.behaviour._replace(
                        even=command.get("even", proxy.behaviour.even)
                    )
                if command.get("calm"):
                    for proxy in self.proxies:
                        proxy.behaviour = proxy.behaviour._replace(disconnect_interval=10**18)

    def _login_loop(self) -> None:
        due_at = self.scheduler.now()
        while True:
            if not self.logins_per_s:
                self.scheduler.sleep(20 * MS)
                due_at = self.scheduler.now()
                continue
            due_at += int(self.rng.expovariate(self.logins_per_s) * SECOND)
            if due_at > self.scheduler.now():
                self.scheduler.sleep(due_at - self.scheduler.now())
            proxy = self.rng.choice(self.proxies)
            self.scheduler.spawn(
                proxy.place, "plain", int(self.mean_hold_ns * self.rng.expovariate(1.0))
            )


if __name__ == "__main__":
    ProxyProcess(*map(int, sys.argv[1:5])).run()
