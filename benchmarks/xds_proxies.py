"""A process of stand-in proxies for `benchmarks.xds`; told what to do by JSON lines on its standard input."""

from __future__ import annotations

import json
import os
import sys
from random import Random

from corklift.net.limits import MS, SECOND, Counters
from corklift.net.scheduler import READ, Scheduler, wall_clock
from corklift.rpc.core import RpcLimits
from corklift.standins.proxy import Proxy, ProxyBehaviour

READS_EVERY = 120 * MS  # of a slow proxy
DROPS_EVERY = 5 * SECOND  # of a disconnecting one, about


class Process:
    def __init__(self, port: int, first: int, number: int, seed: int) -> None:
        self.scheduler = Scheduler(wall_clock(), lambda trace: print(trace, file=sys.stderr))
        self.counters = Counters()
        self.rng = Random(seed)
        self.rate, self.hold = 0.0, SECOND
        self.proxies = []
        self.left: list[
            tuple[str, int, int]
        ] = []  # a server left a view: which, when, since when it was connected
        for at in range(first, first + number):
            # A tenth of them is slow or breaks off; half speak each variant.
            behaviour = ProxyBehaviour(
                incremental=at % 2 == 1,
                read_interval=READS_EVERY if at % 20 == 7 else 0,
                disconnect_interval=DROPS_EVERY if at % 20 == 17 else 0,
            )
            self.proxies.append(
                Proxy(
                    self.scheduler,
                    self.counters,
                    ("127.0.0.1", port),
                    f"proxy-{at:04}",
                    Random(seed * 1000 + at),
                    behaviour,
                    RpcLimits(ping_after=0, initial_backoff=200 * MS, ring=8192),
                )
            )

    def run(self) -> None:
        for proxy in self.proxies:
            proxy.view_changed = self._note
            proxy.start()
        self.scheduler.spawn(self._listen)
        self.scheduler.spawn(self._load)
        self.scheduler.run()
        print(json.dumps({"counters": dict(self.counters), "left": self.left}))

    def _note(self, proxy: Proxy, names: set[str], now: set[str]) -> None:
        self.left += [(name, self.scheduler.now(), proxy.connected_at) for name in names - now]

    def _listen(self) -> None:
        os.set_blocking(0, False)
        held = b""
        while True:
            self.scheduler.wait({0: READ})
            part = os.read(0, 65536)
            if not part:
                self.scheduler.stop()
                return
            *lines, held = (held + part).split(b"\n")
            for line in lines:
                told = json.loads(line)
                self.rate, self.hold = told.get("rate", self.rate), told.get("hold", self.hold)
                for proxy in self.proxies:
                    proxy.behaviour = proxy.behaviour._replace(
                        even=told.get("even", proxy.behaviour.even)
                    )
                if told.get("calm"):
                    for proxy in self.proxies:
                        proxy.behaviour = proxy.behaviour._replace(disconnect_interval=10**18)

    def _load(self) -> None:
        due = self.scheduler.now()
        while True:
            if not self.rate:
                self.scheduler.sleep(20 * MS)
                due = self.scheduler.now()
                continue
            due += int(self.rng.expovariate(self.rate) * SECOND)
            if due > self.scheduler.now():
                self.scheduler.sleep(due - self.scheduler.now())
            proxy = self.rng.choice(self.proxies)
            self.scheduler.spawn(proxy.place, "plain", int(self.hold * self.rng.expovariate(1.0)))


if __name__ == "__main__":
    Process(*map(int, sys.argv[1:5])).run()
