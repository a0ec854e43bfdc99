"""The load tool: real balancers, stand-in transcribers and discovery, and clients on loopback; open loop.

A login is due by the clock, whatever became of those before it, and its latency counts from when it was due: a balancer that
stalls is not spared the logins that would have come meanwhile. Owns the processes that it starts. Must never reach beyond
loopback, and always ends by itself.
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
from corklift.net.stream import Stream
from corklift.standins.client import connect, send_request
from corklift.standins.discovery import Discovery
from corklift.standins.transcriber import Transcriber

MAX_SECONDS, MAX_RATE, MAX_CONNECTIONS = 600.0, 5_000.0, 15_000
CLIENT_TIMEOUT = 3 * SECOND  # a client's own time limit
DIRECT_SHARE = 0.25  # of the logins go straight to a transcriber, for what a connection costs without a balancer


class Shape(NamedTuple):
    balancers: int = 1
    servers: int = 4
    rate: float = 100.0  # logins a second
    seconds: float = 8.0
    hold_s: float = 5.0  # mean length of a connection
    size: float = 2000.0  # connections that fill a transcriber
    sockets: int = 4096  # that a balancer may hold
    memory_mb: int = 192
    seed: int = 1


class LoadTest:
    def __init__(self, shape: Shape, show: Callable[[str], None] = lambda text: None) -> None:
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
        self.shape, self._show, self._rng = shape, show, Random(shape.seed)
        self.problems: list[str] = []
        self.scheduler = Scheduler(wall_clock(), self.problems.append)
        self.discovery = Discovery(self.scheduler)
        self.servers = [
            Transcriber(self.scheduler, f"standin-{n:08x}", shape.size, lambda placed: None)
            for n in range(1, shape.servers + 1)
        ]
        self.latency = {
            way: HdrHistogram(1, 60_000_000, 3) for way in ("balancer", "direct", "refused")
        }  # us
        self.outcomes: Counter[str] = Counter()
        self.open = self.most_open = 0
        self.late_starts = HdrHistogram(1, 60_000_000, 3)  # us by which this tool itself was late
        self._processes: list[subprocess.Popen[bytes]] = []
        self._addresses: list[tuple[str, int]] = []
        self.figures: dict[str, Any] = {}
        self._failed: BaseException | None = None

    def run(self) -> dict[str, Any]:
        self.scheduler.spawn(self._conduct)
        self.scheduler.run()
        if self._failed is not None:
            raise self._failed
        return self.figures

    def _conduct(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            try:
                self._start(folder)
                self._play()
            except BaseException as problem:
                self._failed = problem
            finally:
                for process in self._processes:
                    process.send_signal(signal.SIGKILL)
                    process.wait()
                self.scheduler.stop()

    def _start(self, folder: str) -> None:
        port = self.discovery.listen()
        self.scheduler.spawn(self.discovery.accept_loop)
        for server in self.servers:
            self.discovery.put(server.name, ("127.0.0.1", server.listen()))
            self.scheduler.spawn(server.accept_loop)
        for number in range(self.shape.balancers):
            with socket.create_server(("127.0.0.1", 0)) as free:
                address = ("127.0.0.1", int(free.getsockname()[1]))
            path = os.path.join(folder, f"{number}.json")
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
        until = self.scheduler.now() + 10 * SECOND
        for address in self._addresses:
            while self._line(address, b"PING\r\n", 500 * MS) != b"PONG\r\n":
                if self.scheduler.now() > until:
                    raise TimeoutError("a balancer has not come up")
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

    def _line(self, address: tuple[str, int], line: bytes, span: int) -> bytes:
        until = self.scheduler.now() + span
        stream = connect(self.scheduler, address, until)
        if stream is None:
            return b""
        try:
            return send_request(self.scheduler, stream, line, until)
        finally:
            stream.close()

    def _login(self, due: int, way: str, address: tuple[str, int], hold: int) -> None:
        self.late_starts.record_value(max(1, (self.scheduler.now() - due) // 1000))
        until = due + CLIENT_TIMEOUT
        stream = connect(self.scheduler, address, until)
        if stream is None:
            self.outcomes[f"{way}: no connection"] += 1
            return
        try:
            line = b"OPEN %016x %x c=plain,d=%d\r\n" % (
                self._rng.getrandbits(64),
                self._rng.getrandbits(60),
                CLIENT_TIMEOUT // MS,
            )
            told = send_request(self.scheduler, stream, line, until)
            took = max(1, (self.scheduler.now() - due) // 1000)
            word = told.split(b" ")[0].strip().decode() or "no answer"
            self.outcomes[f"{way}: {word}"] += 1
            if word != "UP":
                if way == "balancer" and word == "BUSY":
                    self.latency["refused"].record_value(took)
                return
            self.latency[way].record_value(took)
            self.open += way == "balancer"
            self.most_open = max(self.most_open, self.open)
            try:
                ends = self.scheduler.now() + hold
                while not stream.peer_closed and not stream.broken and self.scheduler.now() < ends:
                    self.scheduler.wait({stream.fd: READ}, ends)
                    stream.receive()
                if stream.peer_closed or stream.broken or len(stream.receive_buffer):
                    self.outcomes[f"{way}: ended early"] += 1
            finally:
                self.open -= way == "balancer"
        finally:
            stream.close()

    def _play(self) -> None:
        shape, rng = self.shape, self._rng
        base = [self._resources(process.pid) for process in self._processes]
        began = due = self.scheduler.now()
        end, next_look, number, at_most = (
            began + int(shape.seconds * SECOND),
            began + SECOND,
            0,
            base,
        )
        cpu = [self._cpu(process.pid) for process in self._processes]
        while due < end:
            due += int(rng.expovariate(shape.rate) * SECOND)
            if due > self.scheduler.now():
                self.scheduler.sleep(due - self.scheduler.now())
            number += 1
            way = "direct" if rng.random() < DIRECT_SHARE else "balancer"
            address = (
                rng.choice(self._addresses)
                if way == "balancer"
                else ("127.0.0.1", rng.choice(self.servers).port)
            )
            self.scheduler.spawn(
                self._login, due, way, address, int(rng.expovariate(1 / shape.hold_s) * SECOND)
            )
            if self.scheduler.now() >= next_look:
                next_look += SECOND
                at_most = [self._resources(process.pid) for process in self._processes]
                self._show(
                    f"{(self.scheduler.now() - began) / SECOND:5.0f} s  {number} logins, {self.open} stand, p99 "
                    f"{self.latency['balancer'].get_value_at_percentile(99) / 1000:.1f} ms, "
                    + ", ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
                )
        stood = max(1, self.open)
        spent = (self.scheduler.now() - began) / SECOND
        alive = all(process.poll() is None for process in self._processes)
        cpu_spent = (
            sum(self._cpu(process.pid) - was for process, was in zip(self._processes, cpu))
            if alive
            else 0.0
        )
        up = self.outcomes["balancer: UP"]
        told = {
            way: {
                "count": held.get_total_count(),
                **{
                    f"p{part:g}": round(held.get_value_at_percentile(part) / 1000, 2)
                    for part in (50, 99, 99.9)
                },
                "max": round(held.get_max_value() / 1000, 2) if held.get_total_count() else 0.0,
            }
            for way, held in self.latency.items()
        }
        self.figures = {
            "placements_per_s": round(up / spent, 1),
            "asked_per_s": round(shape.rate * (1 - DIRECT_SHARE), 1),
            "latency_ms": told,
            "added_ms_p50": round(told["balancer"]["p50"] - told["direct"]["p50"], 2),
            "added_ms_p99": round(told["balancer"]["p99"] - told["direct"]["p99"], 2),
            "tool_late_ms_p99": round(self.late_starts.get_value_at_percentile(99) / 1000, 2),
            "outcomes": dict(sorted(self.outcomes.items())),
            "stood_at_most": self.most_open,
            "bytes_a_connection": round(
                sum(now[0] - was[0] for now, was in zip(at_most, base)) / stood
            ),
            "descriptors_a_connection": round(
                sum(now[1] - was[1] for now, was in zip(at_most, base)) / stood, 2
            ),
            "cpu_us_a_placement": round(cpu_spent / max(1, up) * 1e6),
            "balancers_alive": alive,
        }

    @staticmethod
    def _resources(pid: int) -> tuple[int, int]:
        """Bytes resident, descriptors held."""
        try:
            with open(f"/proc/{pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE"), len(
                    os.listdir(f"/proc/{pid}/fd")
                )
        except OSError:
            return 0, 0

    @staticmethod
    def _cpu(pid: int) -> float:
        try:
            with open(f"/proc/{pid}/schedstat", encoding="ascii") as file:
                return int(file.read().split()[0]) / SECOND
        except OSError:
            return 0.0
