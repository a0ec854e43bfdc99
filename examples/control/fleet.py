"""A control service with three stand-in transcribers and six stand-in proxies, and a picture of who holds what.

    python examples/control/fleet.py [--seconds 20] [--png FILE]

All on loopback, in this process but for the control service, which runs as its operators run it. One transcriber is half
as large as the others, and one is told to drain half-way. Meanwhile `python -m corklift control status` shows who has
which view.
"""

from __future__ import annotations

import argparse
import signal
import subprocess
import sys
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from corklift.net.limits import SECOND, Counters  # noqa: E402
from corklift.net.scheduler import Scheduler, wall_clock  # noqa: E402
from corklift.standins.discovery import Discovery  # noqa: E402
from corklift.standins.proxy import Proxy, ProxyBehaviour  # noqa: E402
from corklift.standins.transcriber import Transcriber  # noqa: E402

SIZES = {"ash": 40.0, "birch": 40.0, "cedar": 20.0}
LOGINS = 5.0  # a second
HOLD = 12 * SECOND


class Demo:
    def __init__(self, seconds: float, png: str | None) -> None:
        self.scheduler = Scheduler(wall_clock(), lambda trace: print(trace, file=sys.stderr))
        self.seconds, self.png, self.rng = seconds, png, Random(4)
        self.discovery = Discovery(self.scheduler)
        self.servers = {
            name: Transcriber(self.scheduler, name, size, lambda placed: None)
            for name, size in SIZES.items()
        }
        self.proxies = [
            Proxy(
                self.scheduler,
                Counters(),
                ("127.0.0.1", 18000),
                f"proxy-{n}",
                Random(n),
                ProxyBehaviour(incremental=n % 2 == 1),
            )
            for n in range(6)
        ]
        self.seen: list[tuple[float, dict[str, int], dict[str, float]]] = []

    def run(self) -> None:
        self.discovery.listen(("127.0.0.1", 18500))
        self.scheduler.spawn(self.discovery.accept_loop)
        for name, server in self.servers.items():
            self.discovery.put(name, ("127.0.0.1", server.listen()))
            self.scheduler.spawn(server.accept_loop)
        control = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "corklift",
                "control",
                "--config",
                str(Path(__file__).with_name("control.toml")),
            ],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
        )
        try:
            for proxy in self.proxies:
                proxy.start()
            self.scheduler.spawn(self._load)
            self.scheduler.spawn(self._show)
            self.scheduler.run()
        finally:
            control.send_signal(signal.SIGTERM)
            control.wait(10)
        if self.png:
            self._draw()

    def _load(self) -> None:
        while True:
            self.scheduler.sleep(int(self.rng.expovariate(LOGINS) * SECOND))
            self.scheduler.spawn(
                self.rng.choice(self.proxies).place, "speech", int(HOLD * self.rng.expovariate(1.0))
            )

    def _show(self) -> None:
        began, drained = self.scheduler.now(), False
        while (now := (self.scheduler.now() - began) / SECOND) < self.seconds:
            if now > self.seconds / 2 and not drained:
                drained = True
                self.discovery.set_status("birch", "leaving")
                print(
                    "birch is told to drain: it leaves every proxy's view, what stands there stands"
                )
            views = [self._view(proxy) for proxy in self.proxies]
            share = {
                name: sum(view.get(name, 0.0) for view in views) / len(views) for name in SIZES
            }
            counts = {name: server.open_connections for name, server in self.servers.items()}
            self.seen.append((now, counts, share))
            following = sum(bool(view) for view in views)
            print(
                f"{now:5.1f} s  {following} proxies follow",
                *(
                    f" {name} {'#' * round(counts[name] / 2):10} {counts[name]:3} of {SIZES[name]:.0f}, offered {share[name]:4.0%}"
                    for name in SIZES
                ),
                sep=" |",
                flush=True,
            )
            self.scheduler.sleep(SECOND)
        self.scheduler.stop()

    @staticmethod
    def _view(proxy: Proxy) -> dict[str, float]:
        held = proxy.state.assignment("speech")
        if held is None or not held.names:
            return {}
        sums = (0, *held.cumulative_weights)
        return {name: (sums[at + 1] - sums[at]) / sums[-1] for at, name in enumerate(held.names)}

    def _draw(self) -> None:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        figure, (above, below) = pyplot.subplots(2, 1, sharex=True, figsize=(8, 6))
        times = [now for now, _, _ in self.seen]
        for name in SIZES:
            above.plot(
                times, [counts[name] / SIZES[name] for _, counts, _ in self.seen], label=name
            )
            below.plot(times, [share[name] for _, _, share in self.seen], label=name)
        above.set_ylabel("connections over what it can do")
        below.set_ylabel("offered share of new logins")
        below.set_xlabel("s")
        above.legend()
        figure.savefig(self.png)
        print(f"drawn: {self.png}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--png")
    given = parser.parse_args()
    Demo(given.seconds, given.png).run()
