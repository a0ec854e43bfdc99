"""Benchmark of the control service: drains, weights, balance, and the CPU and bytes of an update.

    python -m benchmarks.xds [--quick] [--seed N] [--json FILE]

The control service runs as in production. The stand-in proxies run in processes of their own; a
tenth of them reads slowly or disconnects. This process runs discovery and the stand-in
transcribers, which see every new connection. All run on one machine, so that their clocks agree.
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

# A login that reaches a server later than this after its drain began counts as late.
CUTOFF_LIMIT = 500 * MS
# After this time a drained server is active again, with its open connections.
DRAIN_DURATION = 1200 * MS
CONTROL_CONFIG = """
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


class ChildProcess:
    """A child process and the lines of one of its streams, which a thread reads with their time."""

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

    def send_command(self, **command: Any) -> None:
        """Writes a command as a line of JSON to the process's standard input."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()

    def cpu_seconds(self) -> float:
        """Returns the seconds of CPU that the process has used."""
        with open(f"/proc/{self.process.pid}/schedstat", encoding="ascii") as file:
            return int(file.read().split()[0]) / SECOND

    def close(self) -> None:
        """Closes the process's standard input and waits for its end; kills it after 10 s."""
        assert self.process.stdin is not None
        if self.process.stdin.closed:
            return
        self.process.stdin.close()
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
        self._thread.join(2)


class XdsBenchmark:
    """Runs the fleet and the phases of the measurement, and collects the figures."""

    def __init__(self, quick: bool, seed: int) -> None:
        self.proxies, self.drain_count = (100, 20) if quick else (500, 100)
        self.settle_s, self.phase_s = (2, 7) if quick else (8, 45)
        self.logins_per_s, self.mean_hold_s = (500.0, 2.5) if quick else (400.0, 8.0)
        self.updates_per_size = 8 if quick else 20
        self.rng, self.seed = Random(seed), seed
        self.exceptions: list[str] = []
        self.scheduler = Scheduler(wall_clock(), self.exceptions.append)
        self.placements: list[Placement] = []
        self.discovery = Discovery(self.scheduler)
        # Servers of three sizes, whose total is about twice the number of connections that will be
        # open.
        relative_powers = [(0.5, 1.0, 2.0)[index % 3] for index in range(50)]
        base_size = 2.0 * self.logins_per_s * self.mean_hold_s / sum(relative_powers)
        self.servers = {
            f"s{index:02}": Transcriber(
                self.scheduler, f"s{index:02}", power * base_size, self.placements.append
            )
            for index, power in enumerate(relative_powers)
        }
        # The server, when it began to drain, when it became active again (0: it still drains).
        self.drains: list[tuple[str, int, int]] = []
        self.figures: dict[str, Any] = {}
        self.children: list[ChildProcess] = []
        self.error: BaseException | None = None

    def run(self) -> None:
        self.scheduler.spawn(self._run_and_stop)
        self.scheduler.run()
        if self.error is not None:
            raise self.error

    def _run_and_stop(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            try:
                self._run_phases(os.path.join(folder, "control.toml"))
            except BaseException as exception:
                self.error = exception
            finally:
                for child in self.children[1:]:
                    child.close()
                if self.children:
                    self.children[0].process.send_signal(signal.SIGTERM)
                    self.children[0].close()
                self.scheduler.stop()

    def _run_phases(self, path: str) -> None:
        port = self.discovery.listen()
        self.scheduler.spawn(self.discovery.accept_loop)
        for name, server in self.servers.items():
            self.discovery.put(name, ("127.0.0.1", server.listen()))
            self.scheduler.spawn(server.accept_loop)
        with open(path, "w", encoding="utf-8") as file:
            file.write(CONTROL_CONFIG % port)
        self.control = ChildProcess(["corklift", "control", "--config", path], "stderr")
        self.children.append(self.control)
        self._wait_until(lambda: self._events("serving"), 15)
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
        self._measure_even_weights()
        self._measure_drain_bytes()
        for child in self.children[1:]:
            child.close()
        self._evaluate_drains(*self._drain_window)

    # Helpers

    def _sleep(self, seconds: float) -> None:
        self.scheduler.sleep(int(seconds * SECOND))

    def _wait_until(self, condition: Callable[[], Any], seconds: float) -> None:
        until = self.scheduler.now() + int(seconds * SECOND)
        while not condition():
            if self.scheduler.now() >= until:
                raise TimeoutError("the fleet did not reach the expected state in time")
            self._sleep(0.05)

    def _events(self, event: str) -> list[tuple[int, dict[str, Any]]]:
        """Returns the events of this name that the control service has logged, with their times."""
        return [
            (at, fields)
            for at, line in list(self.control.lines)
            if f'"event": "{event}"' in line and (fields := json.loads(line))["event"] == event
        ]

    def _status(self) -> list[dict[str, str]]:
        from envoy.service.status.v3 import csds_pb2

        request = csds_pb2.ClientStatusRequest(exclude_resource_contents=True)
        response_bytes = self.channel.unary(
            CSDS + "FetchClientStatus",
            request.SerializeToString(),
            self.scheduler.now() + 20 * SECOND,
        )
        response = csds_pb2.ClientStatusResponse()
        response.ParseFromString(response_bytes)
        self.stream_count = len(response.config)
        return list(status_rows(response))

    def _counters(self) -> dict[str, int]:
        event_count = len(self._events("counters"))
        self.control.process.send_signal(signal.SIGUSR1)
        self._wait_until(lambda: len(self._events("counters")) > event_count, 10)
        return self._events("counters")[-1][1]

    # CPU of an update, by the number of proxies

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
                    ChildProcess(
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
            # Not all of them: the proxies that disconnect are away for a short time.
            self._wait_until(lambda: self._status() and self.stream_count >= 0.9 * size, 40)
            self._sleep(0.6)
            idle_started_at, idle_cpu_seconds = time.monotonic(), self.control.cpu_seconds()
            self._sleep(1.0)
            idle_cpu_share = (self.control.cpu_seconds() - idle_cpu_seconds) / (
                time.monotonic() - idle_started_at
            )
            counters_before, started_at, cpu_seconds_before = (
                self._counters(),
                time.monotonic(),
                self.control.cpu_seconds(),
            )
            # Drains another server each time, so that each drain is an update for all proxies.
            for number in range(self.updates_per_size):
                self.discovery.set_status(f"s{number:02}", "leaving")
                self._sleep(0.15)
            update_cpu_seconds = (
                self.control.cpu_seconds()
                - cpu_seconds_before
                - idle_cpu_share * (time.monotonic() - started_at)
            )
            responses = (
                self._counters()["responses_of_endpoints"]
                - counters_before["responses_of_endpoints"]
            )
            costs[size] = round(update_cpu_seconds / max(1, responses) * 1e6)
            for number in range(self.updates_per_size):
                self.discovery.set_status(f"s{number:02}", "active")
            self._sleep(1.1)
        self.figures["cpu_us_per_proxy_update"] = costs

    # Drains under load

    def _measure_drains(self) -> None:
        for child in self.children[1:]:
            child.send_command(
                rate=self.logins_per_s / (len(self.children) - 1),
                hold=int(self.mean_hold_s * SECOND),
            )
        self._sleep(self.settle_s)
        started_at = self.scheduler.now()
        sampler = self.scheduler.spawn(self._sample_imbalance)
        self._imbalances: list[float] = []
        spacing = max(self.phase_s / self.drain_count, 0.3)
        jobs = []
        for _ in range(self.drain_count):
            draining = {
                server
                for server, _, active_at in self.drains
                if active_at > self.scheduler.now() or not active_at
            }
            name = self.rng.choice([name for name in self.servers if name not in draining])
            jobs.append(self.scheduler.spawn(self._drain, name))
            self._sleep(spacing)
        self._wait_until(lambda: all(job.done for job in jobs), 20)
        for child in self.children[1:]:
            child.send_command(calm=True)
        # Waits until no drain changes the list any more; the weights go on changing.
        self._sleep(2.5)
        self.discovery.set_status("s01", "leaving")
        self._sleep(1.0)
        self.figures["proxies"] = self.proxies
        self._drain_window = (started_at, self.scheduler.now())
        stale_proxies = {
            row["node"]
            for row in self._status()
            if row["kind"] == "endpoints" and row["view"] != "synced"
        }
        # Looks a second time, because a change of weights may have been in flight at the first.
        if stale_proxies:
            self._sleep(0.1)
            stale_proxies &= {
                row["node"]
                for row in self._status()
                if row["kind"] == "endpoints" and row["view"] != "synced"
            }
        self.figures["old_views"] = len(stale_proxies) + max(0, self.proxies - self.stream_count)
        self.discovery.set_status("s01", "active")
        self._sleep(2.0)
        self.figures["imbalance"] = round(sum(self._imbalances) / len(self._imbalances), 3)
        self._stop_sampling = True
        self._wait_until(lambda: sampler.done, 5)

    def _drain(self, name: str) -> None:
        drained_at = self.scheduler.now()
        index = len(self.drains)
        self.drains.append((name, drained_at, 0))
        self.discovery.set_status(name, "leaving")
        self.scheduler.sleep(DRAIN_DURATION)
        self.drains[index] = (name, drained_at, self.scheduler.now())
        self.discovery.set_status(name, "active")

    def _sample_imbalance(self) -> None:
        """Samples the highest load of a server over the mean until `_stop_sampling` is set."""
        self._stop_sampling = False
        while not self._stop_sampling:
            loads = [server.open_connections / server.size for server in self.servers.values()]
            self._imbalances.append(max(loads) / (sum(loads) / len(loads) or 1.0))
            self._sleep(0.25)

    def _evaluate_drains(self, started_at: int, ended_at: int) -> None:
        """Computes the figures of the drains.

        The cut-off of a drain is the time until no connected proxy sends the server logins: until
        the server has left the last proxy's assignment, or until its last new connection if that is
        later. New connections alone would not be enough, as few logins arrive at that moment.
        `placement.by` ends in "/on" if the proxy was connected to the control service.
        """
        # Both in microseconds: the cut-off of each drain, and the delay of each proxy.
        cutoffs = HdrHistogram(1, 60 * SECOND // 1000, 3)
        proxy_delays = HdrHistogram(1, 60 * SECOND // 1000, 3)
        late_count, max_placement_delay = 0, 0
        removals = [
            change
            for child in self.children[1:]
            for _, line in child.lines
            for change in json.loads(line)["left"]
        ]
        for name, drained_at, active_at in self.drains:
            placement_delays = [
                placement.at - drained_at
                for placement in self.placements
                if placement.server == name
                and drained_at < placement.at < active_at
                and placement.by.endswith("/on")
            ]
            removal_delays = [
                removed_at - drained_at
                for server, removed_at, connected_at in removals
                if server == name and connected_at < drained_at < removed_at < active_at
            ]
            for delay in removal_delays:
                proxy_delays.record_value(max(1, delay // 1000))
            cutoffs.record_value(
                max([1, *(delay // 1000 for delay in placement_delays + removal_delays)])
            )
            late_count += sum(delay > CUTOFF_LIMIT for delay in placement_delays)
            max_placement_delay = max([max_placement_delay, *placement_delays])
        self.figures["drains"] = len(self.drains)
        self.figures["views_that_lost_it"] = proxy_delays.get_total_count()
        self.figures["cutoff_ms_p50_of_views"] = round(
            proxy_delays.get_value_at_percentile(50) / 1000, 1
        )
        self.figures["last_placed_ms_max"] = round(max_placement_delay / MS, 1)
        self.figures["cutoff_ms_p99"] = round(cutoffs.get_value_at_percentile(99) / 1000, 1)
        self.figures["cutoff_ms_max"] = round(cutoffs.get_max_value() / 1000, 1)
        self.figures["placed_after_cutoff"] = late_count
        self.figures["share_error"] = self._share_error(started_at, ended_at)

    def _share_error(self, started_at: int, ended_at: int) -> float:
        """Returns the total variation distance between the expected and the actual placements.

        The expected number of each server is the sum of its draw probabilities at each login.
        """
        # The time, then 0 and the new draw probabilities, or 1 and the server that drains.
        changes: list[tuple[int, int, Any]] = [
            (at, 0, fields["chances"]) for at, fields in self._events("weighed")
        ]
        changes += [(at, 1, name) for name, at, _ in self.drains]
        changes.sort(key=lambda change: change[:2])
        expected, placed_by_server, probabilities, index = (
            Counter[str](),
            Counter[str](),
            dict[str, float](),
            0,
        )
        for placement in sorted(self.placements):
            while index < len(changes) and changes[index][0] <= placement.at:
                probabilities = (
                    dict(changes[index][2])
                    if changes[index][1] == 0
                    else {n: p for n, p in probabilities.items() if n != changes[index][2]}
                )
                index += 1
            if started_at <= placement.at < ended_at and probabilities:
                total = sum(probabilities.values())
                for name, probability in probabilities.items():
                    expected[name] += probability / total
                placed_by_server[placement.server] += 1
        login_count = sum(placed_by_server.values())
        self.figures["logins"] = login_count
        # The error expected from random draws alone, if the probabilities are exactly these.
        self.figures["share_error_by_chance"] = round(
            sum((2 * count / 3.14159) ** 0.5 for count in expected.values())
            / 2
            / max(1, login_count),
            4,
        )
        return round(
            sum(abs(expected[name] - placed_by_server[name]) for name in self.servers)
            / 2
            / max(1, login_count),
            4,
        )

    # The baseline: the same fleet, with proxies that ignore the weights

    def _measure_even_weights(self) -> None:
        for child in self.children[1:]:
            child.send_command(even=True)
        self._sleep(min(self.phase_s, 2 * self.mean_hold_s))
        self._imbalances = []
        sampler = self.scheduler.spawn(self._sample_imbalance)
        self._sleep(max(3.0, self.phase_s / 3))
        self._stop_sampling = True
        self._wait_until(lambda: sampler.done, 5)
        self.figures["imbalance_even_weights"] = round(
            sum(self._imbalances) / len(self._imbalances), 3
        )
        for child in self.children[1:]:
            child.send_command(rate=0.0)
        self._sleep(0.2)

    # Bytes of one drain

    def _measure_drain_bytes(self) -> None:
        for key, incremental in (("bytes_sotw", False), ("bytes_delta", True)):
            self.figures[key] = {
                str(number): drain_bytes(number, incremental) for number in (50, 1000)
            }


class _SizeRecorder:
    """Host of a subscription manager that records the size of each response."""

    def __init__(self, incremental: bool) -> None:
        self.incremental, self.sizes = incremental, list[int]()
        self.subscriptions = SubscriptionManager(self, SubscriptionSettings())

    def send(self, stream: int, response: Response) -> None:
        self.sizes.append(len(resources.encode_response(response, self.incremental)))


def drain_bytes(number: int, incremental: bool) -> int:
    """Returns the bytes sent to one proxy when one of `number` servers drains."""
    recorder = _SizeRecorder(incremental)
    endpoints = {
        f"s{index:04}": ServerEndpoint(
            f"s{index:04}", (f"127.0.{index // 250}.{index % 250 + 1}", 9000), "here"
        )
        for index in range(number)
    }
    weights = PublishedWeights({name: 10_000 // number for name in endpoints}, 0)
    recorder.subscriptions.update_snapshot(
        0,
        {
            ResourceKind.CLUSTERS: {"plain": resources.build_cluster("plain", SECOND)},
            ResourceKind.ENDPOINTS: {
                "plain": resources.build_endpoints("plain", weights, endpoints)
            },
        },
    )
    recorder.subscriptions.open_stream(0, 1, incremental)
    for kind, names in ((ResourceKind.CLUSTERS, ()), (ResourceKind.ENDPOINTS, ("plain",))):
        if incremental:
            recorder.subscriptions.handle_delta_request(0, 1, kind, names, (), {}, "", None)
        else:
            recorder.subscriptions.handle_request(0, 1, kind, names, "", "", None)
        recorder.subscriptions.stream_writable(0, 1)
    recorder.sizes.clear()
    weights_without_drained = PublishedWeights(
        {name: weight for name, weight in weights.weights.items() if name != "s0007"}, 0
    )
    recorder.subscriptions.update_snapshot(
        0,
        {
            ResourceKind.ENDPOINTS: {
                "plain": resources.build_endpoints("plain", weights_without_drained, endpoints)
            }
        },
        urgent=True,
    )
    return sum(recorder.sizes)


def main() -> int:
    arguments = parse_arguments(__doc__)
    benchmark = XdsBenchmark(arguments.quick, arguments.seed)
    benchmark.run()
    figures = benchmark.figures
    costs = list(figures["cpu_us_per_proxy_update"].values())
    return tell(
        "Control service (xDS)",
        figures,
        [
            (
                "a proxy placed a login on a drained server after the cut-off limit",
                figures["placed_after_cutoff"] == 0,
            ),
            (
                "the proxies did not see the drains",
                figures["views_that_lost_it"] > figures["drains"],
            ),
            ("a drain took over 500 ms", figures["cutoff_ms_max"] < 500),
            ("a proxy has old resources a second after the last change", figures["old_views"] == 0),
            ("logins do not follow the draw probabilities", figures["share_error"] < 0.05),
            (
                "balance is no better than with even weights",
                figures["imbalance"] < figures["imbalance_even_weights"],
            ),
            (
                "the CPU per proxy and update grows with the number of proxies",
                costs[2] < 1.5 * costs[0] + 20,
            ),
            ("an exception was raised during the run", not benchmark.exceptions),
        ],
        arguments.json,
    )


if __name__ == "__main__":
    sys.exit(main())
