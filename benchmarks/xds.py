"""Decisions over xDS, measured: drains, weights, balance, what an update costs in CPU and bytes.

    python -m benchmarks.xds [--quick] [--seed N] [--json FILE]

Processes: the control service as operators run it; stand-in proxies, a tenth of them slow or breaking off; here,
stand-in transcribers and discovery, which see every new connection. Clocks are one machine's.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.report import parse_arguments, tell
from corklift.control import resources
from corklift.control.resources import ServerEndpoint
from corklift.control.service import CSDS
from corklift.control.status import status_rows
from corklift.control.subscriptions import (
    ResourceKind,
    Response,
    SubscriptionManager,
    SubscriptionSettings,
)
from corklift.control.weights import PublishedWeights
from corklift.net.limits import MS, SECOND, Counters
from corklift.net.scheduler import Scheduler, wall_clock
from corklift.rpc.client import Channel
from corklift.rpc.core import RpcLimits
from corklift.standins.discovery import Discovery
from corklift.standins.transcriber import Placement, Transcriber

GRACE = 500 * MS
AWAY = 1200 * MS  # a drained server stays away so long, then it is back with what it held
CONFIG = """
listen = "127.0.0.1:0"
discovery = "127.0.0.1:%d"
[[workloads]]
name = "plain"
[[listeners]]
name = "door"
routes = [{ workload = "plain" }]
[report]
pressure = "x0"
[weights]
every_ms = 1000
dead_band = 0.01
log = true
[load_reports]
every_ms = 500
"""


class Child:
    """A process whose lines are read by a thread."""

    def __init__(self, arguments: list[str], pipe: str) -> None:
        self.lines: list[tuple[int, str]] = []
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdin=subprocess.PIPE,
            text=True,
            **{pipe: subprocess.PIPE},
        )
        self._stream = getattr(self.process, pipe)
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def _read(self) -> None:
        for line in self._stream:
            self.lines.append((time.time_ns(), line))

    def say(self, **told: Any) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(told) + "\n")
        self.process.stdin.flush()

    def cpu(self) -> float:
        """Seconds of CPU it has had."""
        with open(f"/proc/{self.process.pid}/schedstat", encoding="ascii") as file:
            return int(file.read().split()[0]) / SECOND

    def end(self) -> None:
        assert self.process.stdin is not None
        if self.process.stdin.closed:
            return
        self.process.stdin.close()
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
        self._thread.join(2)


class Bench:
    def __init__(self, quick: bool, seed: int) -> None:
        self.proxies, self.drains = (100, 20) if quick else (500, 100)
        self.settle, self.phase = (2, 7) if quick else (8, 45)  # s
        self.rate, self.hold = (500.0, 2.5) if quick else (400.0, 8.0)
        self.flaps = 8 if quick else 20
        self.rng, self.seed = Random(seed), seed
        self.problems: list[str] = []
        self.scheduler = Scheduler(wall_clock(), self.problems.append)
        self.placed: list[Placement] = []
        self.discovery = Discovery(self.scheduler)
        # Unlike servers: half, one and two times a mean power; together about twice what will stand.
        powers = [(0.5, 1.0, 2.0)[at % 3] for at in range(50)]
        unit = 2.0 * self.rate * self.hold / sum(powers)
        self.servers = {
            f"s{at:02}": Transcriber(self.scheduler, f"s{at:02}", power * unit, self.placed.append)
            for at, power in enumerate(powers)
        }
        self.told: list[
            tuple[str, int, int]
        ] = []  # server, when it was told to drain, when it was back
        self.figures: dict[str, Any] = {}
        self.children: list[Child] = []
        self.failed: BaseException | None = None

    def run(self) -> None:
        self.scheduler.spawn(self._conduct)
        self.scheduler.run()
        if self.failed is not None:
            raise self.failed

    def _conduct(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            try:
                self._play(os.path.join(folder, "control.toml"))
            except BaseException as problem:
                self.failed = problem
            finally:
                for child in self.children[1:]:
                    child.end()
                if self.children:
                    self.children[0].process.send_signal(signal.SIGTERM)
                    self.children[0].end()
                self.scheduler.stop()

    def _play(self, path: str) -> None:
        port = self.discovery.listen()
        self.scheduler.spawn(self.discovery.accept_loop)
        for name, server in self.servers.items():
            self.discovery.put(name, ("127.0.0.1", server.listen()))
            self.scheduler.spawn(server.accept_loop)
        with open(path, "w", encoding="utf-8") as file:
            file.write(CONFIG % port)
        self.control = Child(["corklift", "control", "--config", path], "stderr")
        self.children.append(self.control)
        self._until(lambda: self._events("serving"), 15)
        self.port = int(self._events("started")[0][1]["listen"].rpartition(":")[2])
        self.channel = Channel(
            self.scheduler,
            RpcLimits(ping_after=0, max_message_bytes=256 << 20),
            Counters(),
            ("127.0.0.1", self.port),
            Random(1),
        )
        self.scheduler.spawn(self.channel.connect_loop)
        self._measure_updates()
        self._measure_drains()
        self._measure_even()
        self._tell_bytes()
        for child in self.children[1:]:
            child.end()
        self._judge_drains(*self._window)

    # Helpers

    def _sleep(self, seconds: float) -> None:
        self.scheduler.sleep(int(seconds * SECOND))

    def _until(self, true: Callable[[], Any], seconds: float) -> None:
        until = self.scheduler.now() + int(seconds * SECOND)
        while not true():
            if self.scheduler.now() >= until:
                raise TimeoutError("the fleet has not come up")
            self._sleep(0.05)

    def _events(self, event: str) -> list[tuple[int, dict[str, Any]]]:
        return [
            (at, found)
            for at, line in list(self.control.lines)
            if f'"event": "{event}"' in line and (found := json.loads(line))["event"] == event
        ]

    def _status(self) -> list[dict[str, str]]:
        from envoy.service.status.v3 import csds_pb2

        request = csds_pb2.ClientStatusRequest(exclude_resource_contents=True)
        content = self.channel.unary(
            CSDS + "FetchClientStatus",
            request.SerializeToString(),
            self.scheduler.now() + 20 * SECOND,
        )
        answer = csds_pb2.ClientStatusResponse()
        answer.ParseFromString(content)
        self.streams = len(answer.config)
        return list(status_rows(answer))

    def _counters(self) -> dict[str, int]:
        number = len(self._events("counters"))
        self.control.process.send_signal(signal.SIGUSR1)
        self._until(lambda: len(self._events("counters")) > number, 10)
        return self._events("counters")[-1][1]

    # What an update costs, by the number of proxies

    def _measure_updates(self) -> None:
        sizes = (self.proxies // 4, self.proxies // 2, self.proxies)
        costs, first = {}, 0
        for size in sizes:
            for number in (
                (size - first,)
                if size < self.proxies
                else ((size - first) // 2, size - first - (size - first) // 2)
            ):
                self.children.append(
                    Child(
                        [
                            "benchmarks.xds_proxies",
                            str(self.port),
                            str(first),
                            str(number),
                            str(self.seed + first),
                        ],
                        "stdout",
                    )
                )
                first += number
            # Those that break off are away now and then.
            self._until(lambda: self._status() and self.streams >= 0.9 * size, 40)
            self._sleep(0.6)
            idle_at, idle_cpu = time.monotonic(), self.control.cpu()
            self._sleep(1.0)
            idle = (self.control.cpu() - idle_cpu) / (time.monotonic() - idle_at)
            before, at, cpu = self._counters(), time.monotonic(), self.control.cpu()
            for number in range(
                self.flaps
            ):  # another server each time: each drain is an update of all proxies
                self.discovery.set_status(f"s{number:02}", "leaving")
                self._sleep(0.15)
            spent = self.control.cpu() - cpu - idle * (time.monotonic() - at)
            sent = self._counters()["responses_of_endpoints"] - before["responses_of_endpoints"]
            costs[size] = round(spent / max(1, sent) * 1e6)
            for number in range(self.flaps):
                self.discovery.set_status(f"s{number:02}", "active")
            self._sleep(1.1)
        self.figures["cpu_us_per_proxy_update"] = costs

    # Drains under load

    def _measure_drains(self) -> None:
        for child in self.children[1:]:
            child.say(rate=self.rate / (len(self.children) - 1), hold=int(self.hold * SECOND))
        self._sleep(self.settle)
        began = self.scheduler.now()
        sampler = self.scheduler.spawn(self._sample)
        self._loads: list[float] = []
        spacing = max(self.phase / self.drains, 0.3)
        jobs = []
        for _ in range(self.drains):
            away = {
                server for server, _, back in self.told if back > self.scheduler.now() or not back
            }
            name = self.rng.choice([name for name in self.servers if name not in away])
            jobs.append(self.scheduler.spawn(self._drain, name))
            self._sleep(spacing)
        self._until(lambda: all(job.done for job in jobs), 20)
        for child in self.children[1:]:
            child.say(calm=True)
        self._sleep(2.5)  # the last change of the list; weights go on changing
        self.discovery.set_status("s01", "leaving")
        self._sleep(1.0)
        self.figures["proxies"] = self.proxies
        self._window = (began, self.scheduler.now())
        old = {
            row["node"]
            for row in self._status()
            if row["kind"] == "endpoints" and row["view"] != "synced"
        }
        if old:  # weights may be on their way at this very moment: those would be in the next look
            self._sleep(0.1)
            old &= {
                row["node"]
                for row in self._status()
                if row["kind"] == "endpoints" and row["view"] != "synced"
            }
        self.figures["old_views"] = len(old) + max(0, self.proxies - self.streams)
        self.discovery.set_status("s01", "active")
        self._sleep(2.0)
        self.figures["imbalance"] = round(sum(self._loads) / len(self._loads), 3)
        self._stop_sampling = True
        self._until(lambda: sampler.done, 5)

    def _drain(self, name: str) -> None:
        at = self.scheduler.now()
        place = len(self.told)
        self.told.append((name, at, 0))
        self.discovery.set_status(name, "leaving")
        self.scheduler.sleep(AWAY)
        self.told[place] = (name, at, self.scheduler.now())
        self.discovery.set_status(name, "active")

    def _sample(self) -> None:
        self._stop_sampling = False
        while not self._stop_sampling:
            loads = [server.open_connections / server.size for server in self.servers.values()]
            self._loads.append(max(loads) / (sum(loads) / len(loads) or 1.0))
            self._sleep(0.25)

    def _judge_drains(self, began: int, ended: int) -> None:
        """A drain's cut-off is when the last connected proxy could have placed there still: when the server left its
        view, or the last new connection if that was later. Few logins come just then, so those alone say too little."""
        histogram = HdrHistogram(1, 60 * SECOND // 1000, 3)  # us
        views = HdrHistogram(1, 60 * SECOND // 1000, 3)
        late, last = 0, 0
        left = [
            change
            for child in self.children[1:]
            for _, line in child.lines
            for change in json.loads(line)["left"]
        ]
        for name, at, back in self.told:
            placed = [
                placed.at - at
                for placed in self.placed
                if placed.server == name and at < placed.at < back and placed.by.endswith("/on")
            ]
            spans = [
                when - at
                for server, when, since in left
                if server == name and since < at < when < back
            ]
            for span in spans:
                views.record_value(max(1, span // 1000))
            histogram.record_value(max([1, *(span // 1000 for span in placed + spans)]))
            late += sum(span > GRACE for span in placed)
            last = max([last, *placed])
        self.figures["drains"] = len(self.told)
        self.figures["views_that_lost_it"] = views.get_total_count()
        self.figures["cutoff_ms_p50_of_views"] = round(views.get_value_at_percentile(50) / 1000, 1)
        self.figures["last_placed_ms_max"] = round(last / MS, 1)
        self.figures["cutoff_ms_p99"] = round(histogram.get_value_at_percentile(99) / 1000, 1)
        self.figures["cutoff_ms_max"] = round(histogram.get_max_value() / 1000, 1)
        self.figures["placed_after_cutoff"] = late
        self.figures["share_error"] = self._share_error(began, ended)

    def _share_error(self, began: int, ended: int) -> float:
        """Total variation between the module's chances, summed over the logins placed, and where those went."""
        changes: list[tuple[int, int, Any]] = [
            (at, 0, found["chances"]) for at, found in self._events("weighed")
        ]
        changes += [(at, 1, name) for name, at, _ in self.told]
        changes.sort(key=lambda change: change[:2])
        expected, went, now, at = Counter[str](), Counter[str](), dict[str, float](), 0
        for placed in sorted(self.placed):
            while at < len(changes) and changes[at][0] <= placed.at:
                now = (
                    dict(changes[at][2])
                    if changes[at][1] == 0
                    else {n: c for n, c in now.items() if n != changes[at][2]}
                )
                at += 1
            if began <= placed.at < ended and now:
                whole = sum(now.values())
                for name, chance in now.items():
                    expected[name] += chance / whole
                went[placed.server] += 1
        number = sum(went.values())
        self.figures["logins"] = number
        # What chance alone would make of it, were every login drawn by just these chances.
        self.figures["share_error_by_chance"] = round(
            sum((2 * count / 3.14159) ** 0.5 for count in expected.values()) / 2 / max(1, number), 4
        )
        return round(
            sum(abs(expected[name] - went[name]) for name in self.servers) / 2 / max(1, number), 4
        )

    # The baseline: the same fleet, weights not heeded

    def _measure_even(self) -> None:
        for child in self.children[1:]:
            child.say(even=True)
        self._sleep(min(self.phase, 2 * self.hold))
        self._loads = []
        sampler = self.scheduler.spawn(self._sample)
        self._sleep(max(3.0, self.phase / 3))
        self._stop_sampling = True
        self._until(lambda: sampler.done, 5)
        self.figures["imbalance_even_weights"] = round(sum(self._loads) / len(self._loads), 3)
        for child in self.children[1:]:
            child.say(rate=0.0)
        self._sleep(0.2)

    # Bytes of one drain

    def _tell_bytes(self) -> None:
        for key, incremental in (("bytes_sotw", False), ("bytes_delta", True)):
            self.figures[key] = {
                str(number): drain_bytes(number, incremental) for number in (50, 1000)
            }


class _Sent:
    def __init__(self, incremental: bool) -> None:
        self.incremental, self.sizes = incremental, list[int]()
        self.views = SubscriptionManager(self, SubscriptionSettings())

    def send(self, stream: int, response: Response) -> None:
        self.sizes.append(len(resources.encode_response(response, self.incremental)))


def drain_bytes(number: int, incremental: bool) -> int:
    """What one proxy is sent when one of so many servers drains."""
    host = _Sent(incremental)
    places = {
        f"s{at:04}": ServerEndpoint(
            f"s{at:04}", (f"127.0.{at // 250}.{at % 250 + 1}", 9000), "here"
        )
        for at in range(number)
    }
    told = PublishedWeights({name: 10_000 // number for name in places}, 0)
    host.views.update_snapshot(
        0,
        {
            ResourceKind.CLUSTERS: {"plain": resources.build_cluster("plain", SECOND)},
            ResourceKind.ENDPOINTS: {"plain": resources.build_endpoints("plain", told, places)},
        },
    )
    host.views.open_stream(0, 1, incremental)
    for kind, names in ((ResourceKind.CLUSTERS, ()), (ResourceKind.ENDPOINTS, ("plain",))):
        if incremental:
            host.views.handle_delta_request(0, 1, kind, names, (), {}, "", None)
        else:
            host.views.handle_request(0, 1, kind, names, "", "", None)
        host.views.stream_writable(0, 1)
    host.sizes.clear()
    left = PublishedWeights(
        {name: weight for name, weight in told.weights.items() if name != "s0007"}, 0
    )
    host.views.update_snapshot(
        0,
        {ResourceKind.ENDPOINTS: {"plain": resources.build_endpoints("plain", left, places)}},
        urgent=True,
    )
    return sum(host.sizes)


def main() -> int:
    arguments = parse_arguments(__doc__)
    bench = Bench(arguments.quick, arguments.seed)
    bench.run()
    figures = bench.figures
    costs = list(figures["cpu_us_per_proxy_update"].values())
    return tell(
        "Decisions over xDS",
        figures,
        [
            (
                "a proxy placed on a drained server later than the grace",
                figures["placed_after_cutoff"] == 0,
            ),
            ("no drain was seen by the proxies", figures["views_that_lost_it"] > figures["drains"]),
            ("a drain took over 500 ms", figures["cutoff_ms_max"] < 500),
            ("a proxy is on an old view a second after the last change", figures["old_views"] == 0),
            ("logins went elsewhere than the chances say", figures["share_error"] < 0.05),
            (
                "balance is no better than with even weights",
                figures["imbalance"] < figures["imbalance_even_weights"],
            ),
            ("an update costs more the more proxies there are", costs[2] < 1.5 * costs[0] + 20),
            ("an exception on the way", not bench.problems),
        ],
        arguments.json,
    )


if __name__ == "__main__":
    sys.exit(main())
