"""Load test on loopback: real balancers, stand-in transcribers and discovery, and clients.

The test is an open loop: logins start on schedule whatever became of earlier ones, and latency
counts from the scheduled time, so that a stalled balancer still gets the logins that were due
meanwhile. The test starts and ends its balancer processes, uses only loopback, and always ends by
itself.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from corklift.net.limits import MS, SECOND
from corklift.net.scheduler import READ, Scheduler, wall_clock
from corklift.standins.client import connect, send_request
from corklift.standins.discovery import Discovery
from corklift.standins.transcriber import Transcriber

MAX_SECONDS, MAX_RATE, MAX_CONNECTIONS = 600.0, 5_000.0, 15_000
CLIENT_TIMEOUT = 3 * SECOND
# Share of the logins that go directly to a transcriber, to measure what the balancer adds.
DIRECT_SHARE = 0.25


class Shape(NamedTuple):
    """The size of a load test."""

    balancers: int = 1
    servers: int = 4
    # Logins a second.
    rate: float = 100.0
    seconds: float = 8.0
    # Mean duration of a connection.
    hold_s: float = 5.0
    # Connections that fully load a transcriber.
    size: float = 2000.0
    # Sockets that each balancer may have open.
    sockets: int = 4096
    memory_mb: int = 192
    seed: int = 1


class LoadTest:
    """Runs a load test and measures latency, failures and the resources of the balancers."""

    def __init__(
        self, shape: Shape, print_progress: Callable[[str], None] = lambda text: None
    ) -> None:
        if not (
            0 < shape.seconds <= MAX_SECONDS
            and 0 < shape.rate <= MAX_RATE
            and shape.rate * shape.hold_s <= MAX_CONNECTIONS
            and 1 <= shape.balancers <= 16
            and 1 <= shape.servers <= 200
        ):
            raise ValueError(
                f"the load is bounded: {MAX_SECONDS:.0f} s, {MAX_RATE:.0f} logins a second, "
                f"{MAX_CONNECTIONS} connections, 16 balancers, 200 servers"
            )
        self.shape, self._print_progress, self._rng = shape, print_progress, Random(shape.seed)
        self.problems: list[str] = []
        self.scheduler = Scheduler(wall_clock(), self.problems.append)
        self.discovery = Discovery(self.scheduler)
        self.servers = [
            Transcriber(self.scheduler, f"standin-{number:08x}", shape.size, lambda placed: None)
            for number in range(1, shape.servers + 1)
        ]
        # In microseconds.
        self.latency = {
            path: HdrHistogram(1, 60_000_000, 3) for path in ("balancer", "direct", "refused")
        }
        self.outcomes: Counter[str] = Counter()
        self.open = self.max_open = 0
        # Microseconds by which the test itself started logins late.
        self.start_delays = HdrHistogram(1, 60_000_000, 3)
        self._processes: list[subprocess.Popen[bytes]] = []
        self._addresses: list[tuple[str, int]] = []
        self.figures: dict[str, Any] = {}
        self._error: BaseException | None = None

    def run(self) -> dict[str, Any]:
        """Runs the test to its end and returns the figures.

        Raises:
            TimeoutError: a balancer did not start in time.
        """
        self.scheduler.spawn(self._run_and_stop)
        self.scheduler.run()
        if self._error is not None:
            raise self._error
        return self.figures

    def _run_and_stop(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            try:
                self._start_processes(directory)
                self._generate_load()
            except BaseException as error:
                self._error = error
            finally:
                for process in self._processes:
                    process.send_signal(signal.SIGKILL)
                    process.wait()
                self.scheduler.stop()

    def _start_processes(self, directory: str) -> None:
        port = self.discovery.listen()
        self.scheduler.spawn(self.discovery.accept_loop)
        for server in self.servers:
            self.discovery.put(server.name, ("127.0.0.1", server.listen()))
            self.scheduler.spawn(server.accept_loop)
        for number in range(self.shape.balancers):
            # Finds a free port.
            with socket.create_server(("127.0.0.1", 0)) as temporary:
                address = ("127.0.0.1", int(temporary.getsockname()[1]))
            path = os.path.join(directory, f"{number}.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(self._config(number, address, port), file)
            self._processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "corklift"],
                    stderr=subprocess.DEVNULL,
                    env=os.environ | {"BALANCER_CONFIG": path},
                )
            )
            self._addresses.append(address)
        deadline = self.scheduler.now() + 10 * SECOND
        for address in self._addresses:
            while self._exchange_line(address, b"PING\r\n", 500 * MS) != b"PONG\r\n":
                if self.scheduler.now() > deadline:
                    raise TimeoutError("a balancer did not start in time")
                self.scheduler.sleep(50 * MS)

    def _config(self, number: int, address: tuple[str, int], discovery: int) -> dict[str, Any]:
        return {
            "name": f"n{number}",
            "listen": "%s:%d" % address,
            "discovery": f"127.0.0.1:{discovery}",
            "seed": f"{self.shape.seed * 100 + number:016x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self.shape.memory_mb,
                "sockets": self.shape.sockets,
            },
            "known": {"index": 0, "snapshot": True, "endpoints": []},
            "settings": {
                "balancers": self.shape.balancers,
                "zone": 0,
                "localities": ["here"],
                "skus": ["standard"],
                "workloads": [
                    {
                        "name": "plain",
                        "effect": "pure",
                        "importance": 1.0,
                        "soft-limit-ns": 800 * MS,
                        "time-limit-ns": 3200 * MS,
                    }
                ],
                "report": {"via": "probe", "fields": ["x0", "inflight"]},
                "family-info": {
                    "groups": False,
                    "report-x0": "load asked of the server over what it can do",
                    "message-aim-ns": [100 * MS],
                    "tells-load": False,
                    "tells-delay": False,
                },
                "permissions": {
                    "probes": True,
                    "cancelling": True,
                    "max-hand-offs": 4,
                    "connect-timeout-ns": 200 * MS,
                    "keepalive-ns": 30 * SECOND,
                    "retry-after": True,
                    "max-retry-after-ns": 1500 * MS,
                },
                "rules": {
                    "drain-grace-ns": 500 * MS,
                    "cold-from": 0.3,
                    "ramp-time-ns": 8 * SECOND,
                    "fall-multiple": 3.0,
                    "fall-ns": SECOND,
                },
            },
        }

    # Clients

    def _exchange_line(self, address: tuple[str, int], line: bytes, timeout: int) -> bytes:
        deadline = self.scheduler.now() + timeout
        stream = connect(self.scheduler, address, deadline)
        if stream is None:
            return b""
        try:
            return send_request(self.scheduler, stream, line, deadline)
        finally:
            stream.close()

    def _login(self, due_at: int, path: str, address: tuple[str, int], hold_time: int) -> None:
        self.start_delays.record_value(max(1, (self.scheduler.now() - due_at) // 1000))
        deadline = due_at + CLIENT_TIMEOUT
        stream = connect(self.scheduler, address, deadline)
        if stream is None:
            self.outcomes[f"{path}: no connection"] += 1
            return
        try:
            line = b"OPEN %016x %x c=plain,d=%d\r\n" % (
                self._rng.getrandbits(64),
                self._rng.getrandbits(60),
                CLIENT_TIMEOUT // MS,
            )
            answer = send_request(self.scheduler, stream, line, deadline)
            latency_us = max(1, (self.scheduler.now() - due_at) // 1000)
            answer_word = answer.split(b" ")[0].strip().decode() or "no answer"
            self.outcomes[f"{path}: {answer_word}"] += 1
            if answer_word != "UP":
                if path == "balancer" and answer_word == "BUSY":
                    self.latency["refused"].record_value(latency_us)
                return
            self.latency[path].record_value(latency_us)
            self.open += path == "balancer"
            self.max_open = max(self.max_open, self.open)
            try:
                ends_at = self.scheduler.now() + hold_time
                while (
                    not stream.peer_closed and not stream.broken and self.scheduler.now() < ends_at
                ):
                    self.scheduler.wait({stream.fd: READ}, ends_at)
                    stream.receive()
                if stream.peer_closed or stream.broken or len(stream.receive_buffer):
                    self.outcomes[f"{path}: ended early"] += 1
            finally:
                self.open -= path == "balancer"
        finally:
            stream.close()

    def _generate_load(self) -> None:
        shape, rng = self.shape, self._rng
        resources_before = [self._resources(process.pid) for process in self._processes]
        started_at = due_at = self.scheduler.now()
        ends_at, next_progress_at, login_count, last_resources = (
            started_at + int(shape.seconds * SECOND),
            started_at + SECOND,
            0,
            resources_before,
        )
        cpu_before = [self._cpu(process.pid) for process in self._processes]
        while due_at < ends_at:
            due_at += int(rng.expovariate(shape.rate) * SECOND)
            if due_at > self.scheduler.now():
                self.scheduler.sleep(due_at - self.scheduler.now())
            login_count += 1
            path = "direct" if rng.random() < DIRECT_SHARE else "balancer"
            address = (
                rng.choice(self._addresses)
                if path == "balancer"
                else ("127.0.0.1", rng.choice(self.servers).port)
            )
            self.scheduler.spawn(
                self._login, due_at, path, address, int(rng.expovariate(1 / shape.hold_s) * SECOND)
            )
            if self.scheduler.now() >= next_progress_at:
                next_progress_at += SECOND
                last_resources = [self._resources(process.pid) for process in self._processes]
                self._print_progress(
                    f"{(self.scheduler.now() - started_at) / SECOND:5.0f} s  "
                    f"{login_count} logins, {self.open} open, p99 "
                    f"{self.latency['balancer'].get_value_at_percentile(99) / 1000:.1f} ms, "
                    + ", ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
                )
        open_connections = max(1, self.open)
        elapsed_s = (self.scheduler.now() - started_at) / SECOND
        alive = all(process.poll() is None for process in self._processes)
        cpu_spent = (
            sum(
                self._cpu(process.pid) - before
                for process, before in zip(self._processes, cpu_before)
            )
            if alive
            else 0.0
        )
        placed = self.outcomes["balancer: UP"]
        latency_ms = {
            path: {
                "count": histogram.get_total_count(),
                **{
                    f"p{percentile:g}": round(
                        histogram.get_value_at_percentile(percentile) / 1000, 2
                    )
                    for percentile in (50, 99, 99.9)
                },
                "max": round(histogram.get_max_value() / 1000, 2)
                if histogram.get_total_count()
                else 0.0,
            }
            for path, histogram in self.latency.items()
        }
        self.figures = {
            "placements_per_s": round(placed / elapsed_s, 1),
            "asked_per_s": round(shape.rate * (1 - DIRECT_SHARE), 1),
            "latency_ms": latency_ms,
            "added_ms_p50": round(latency_ms["balancer"]["p50"] - latency_ms["direct"]["p50"], 2),
            "added_ms_p99": round(latency_ms["balancer"]["p99"] - latency_ms["direct"]["p99"], 2),
            "tool_late_ms_p99": round(self.start_delays.get_value_at_percentile(99) / 1000, 2),
            "outcomes": dict(sorted(self.outcomes.items())),
            "stood_at_most": self.max_open,
            "bytes_a_connection": round(
                sum(last[0] - before[0] for last, before in zip(last_resources, resources_before))
                / open_connections
            ),
            "descriptors_a_connection": round(
                sum(last[1] - before[1] for last, before in zip(last_resources, resources_before))
                / open_connections,
                2,
            ),
            "cpu_us_a_placement": round(cpu_spent / max(1, placed) * 1e6),
            "balancers_alive": alive,
        }

    @staticmethod
    def _resources(pid: int) -> tuple[int, int]:
        """Returns the resident bytes and the open descriptors of a process; zeros without it."""
        try:
            with open(f"/proc/{pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE"), len(
                    os.listdir(f"/proc/{pid}/fd")
                )
        except OSError:
            return 0, 0

    @staticmethod
    def _cpu(pid: int) -> float:
        """Returns the CPU seconds that a process has used."""
        try:
            with open(f"/proc/{pid}/schedstat", encoding="ascii") as file:
                return int(file.read().split()[0]) / SECOND
        except OSError:
            return 0.0
