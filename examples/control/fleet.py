"""Runs a control service with stand-in transcribers and proxies, and plots the load of each server.

    python examples/control/fleet.py [--seconds 20] [--png FILE]

Three transcribers and six proxies run in this process, the control service in a process of its own
as in production, all on loopback. One transcriber has half the capacity of the others; another one
starts to drain half-way through. Meanwhile `python -m corklift control status` shows which proxy
has which resources.
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

SIZES = {"ash": 40.0, "birch": 40.0, "cedar": 20.0}  # connections at full load
LOGINS_PER_S = 5.0
MEAN_HOLD_TIME = 12 * SECOND


class Demo:
    """The emulated fleet, and the samples of its load taken each second."""

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
        self.samples: list[tuple[float, dict[str, int], dict[str, float]]] = []

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
            self.scheduler.spawn(self._login_loop)
            self.scheduler.spawn(self._report_loop)
            self.scheduler.run()
        finally:
            control.send_signal(signal.SIGTERM)
            control.wait(10)
        if self.png:
            self._plot()

    def _login_loop(self) -> None:
        while True:
            self.scheduler.sleep(int(self.rng.expovariate(LOGINS_PER_S) * SECOND))
            self.scheduler.spawn(
                self.rng.choice(self.proxies).place,
                "speech",
                int(MEAN_HOLD_TIME * self.rng.expovariate(1.0)),
            )

    def _report_loop(self) -> None:
        started_at, drained = self.scheduler.now(), False
        while (now := (self.scheduler.now() - started_at) / SECOND) < self.seconds:
            if now > self.seconds / 2 and not drained:
                drained = True
                self.discovery.set_status("birch", "leaving")
                print("birch drains: proxies send it no new logins, its open connections stay open")
            views = [self._offered_shares(proxy) for proxy in self.proxies]
            share = {
                name: sum(view.get(name, 0.0) for view in views) / len(views) for name in SIZES
            }
            counts = {name: server.open_connections for name, server in self.servers.items()}
            self.samples.append((now, counts, share))
            subscribed_count = sum(bool(view) for view in views)
            print(
                f"{now:5.1f} s  {subscribed_count} proxies subscribed",
                *(
                    f" {name} {'#' * round(counts[name] / 2):10} {counts[name]:3}"
                    f" of {SIZES[name]:.0f}, offered {share[name]:4.0%}"
                    for name in SIZES
                ),
                sep=" |",
                flush=True,
            )
            self.scheduler.sleep(SECOND)
        self.scheduler.stop()

    @staticmethod
    def _offered_shares(proxy: Proxy) -> dict[str, float]:
        """Returns each server's share of new logins by the weights that the proxy received."""
        assignment = proxy.state.assignment("speech")
        if assignment is None or not assignment.names:
            return {}
        sums = (0, *assignment.cumulative_weights)
        return {
            name: (sums[index + 1] - sums[index]) / sums[-1]
            for index, name in enumerate(assignment.names)
        }

    def _plot(self) -> None:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        figure, (above, below) = pyplot.subplots(2, 1, sharex=True, figsize=(8, 6))
        times = [now for now, _, _ in self.samples]
        for name in SIZES:
            above.plot(
                times, [counts[name] / SIZES[name] for _, counts, _ in self.samples], label=name
            )
            below.plot(times, [share[name] for _, _, share in self.samples], label=name)
        above.set_ylabel("connections / capacity")
        below.set_ylabel("offered share of new logins")
        below.set_xlabel("time (s)")
        above.legend()
        figure.savefig(self.png)
        print(f"wrote {self.png}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--png")
    arguments = parser.parse_args()
    Demo(arguments.seconds, arguments.png).run()
