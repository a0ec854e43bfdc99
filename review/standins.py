"""Stand-ins for the review: servers, discovery, clients and the platform, on loopback addresses.

They follow the users' protocol page: servers answer `OPEN`, `STATS` and `PING`, discovery answers
the whole list and long polls, clients send one `OPEN` line and then a line every two seconds. Only
the standard library is used. Each case calls `Record.write` for what was sent, answered and run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000


class Record:
    """The lines of `record.txt`, with seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Server:
    """A sound server: it brings connections up, answers lines, and reports its load on `STATS`."""

    def __init__(self, record: Record, name: str, capacity: float = 40.0) -> None:
        self.record, self.name, self.capacity = record, name, capacity
        self.port = 0
        self.open = 0
        self.opens: list[tuple[float, str]] = []  # when each OPEN line came, and its id
        self.draining = False
        self.silent = False  # accepts, and answers nothing
        self.reported: dict[str, str] = {}  # values that replace the true ones in reports
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def report(self) -> str:
        values = {"x0": f"{self.open / self.capacity:.3f}", "inflight": str(self.open)}
        return ",".join(f"{name}={value}" for name, value in (values | self.reported).items())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                if self.silent:
                    continue
                if line == b"STATS\r\n":
                    writer.write(f"PONG {self.report()}\r\n".encode())
                elif line == b"PING\r\n":
                    writer.write(b"PONG\r\n")
                elif line.startswith(b"OPEN ") and line.endswith(b"\r\n"):
                    await self._connection(line, reader, writer)
                    return
                else:
                    writer.write(b"SYNTAX\r\n")
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    async def _connection(
        self, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        name = line.split()[1].decode()
        self.opens.append((self.record.now(), name))
        self.record.write(f"server {self.name}: ran {name}")
        writer.write(f"UP {self.name}-{name}\r\n".encode())
        self.open += 1
        self._writers.add(writer)
        try:
            while await reader.readline():
                writer.write(b"OK\r\n")
        finally:
            self.open -= 1
            self._writers.discard(writer)

    def send_clients_away(self) -> None:
        """Ends all connections with `MOVE`, as a server that drains may do."""
        for writer in list(self._writers):
            writer.write(b"MOVE\r\n")
            writer.close()


class Discovery:
    """The agent of discovery: the whole list, and a watch that waits for changes."""

    def __init__(self, record: Record, indent: int | None = None) -> None:
        self.record, self.indent = record, indent
        self.index, self.port = 1, 0
        self.entries: dict[str, dict] = {}
        self._changed_at: dict[str, int] = {}
        self._changed = asyncio.Event()
        self.told: list[tuple[float, int]] = []  # when an answer was written, and its index
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, name: str, port: int, status: str = "active", **more: object) -> None:
        self.index += 1
        self.entries[name] = {
            "name": name,
            "address": f"127.0.0.1:{port}",
            "zone": "atlanta",
            "type": "mid-box",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        } | more
        self._changed_at[name] = self.index
        self._changed.set()
        self._changed = asyncio.Event()

    def set_status(self, name: str, status: str) -> None:
        self.record.write(f"discovery: {name} is {status}")
        entry = self.entries[name]
        self.put(
            name,
            int(entry["address"].split(":")[1]),
            status,
            **{key: entry[key] for key in ("zone", "type", "group", "since_ms")},
        )

    def listing(self, since: int | None = None) -> dict:
        full = since is None or since > self.index
        return {
            "index": self.index,
            "snapshot": full,
            "endpoints": [
                entry
                for name, entry in self.entries.items()
                if (entry["status"] != "left" if full else self._changed_at[name] > since)
            ],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                found = re.match(rb"GET /registry/instances(?:\?index=(\d+)&wait=(\d+))? ", head)
                if found is None:
                    return
                since = int(found[1]) if found[1] else None
                if since is not None and since == self.index:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), int(found[2]) / 1000)
                answer = self.listing(since)
                body = json.dumps(answer, indent=self.indent).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(body) + body
                )
                await writer.drain()
                self.told.append((self.record.now(), answer["index"]))
                if answer["endpoints"]:
                    self.record.write(
                        f"discovery: wrote index {answer['index']} ({len(body)} bytes, "
                        f"{'whole list' if answer['snapshot'] else 'changes'})"
                    )
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def stop(self) -> None:
        """Takes no new connection from now on, and closes the open ones after 1.5 s."""
        assert self._server is not None
        self._server.close()
        await asyncio.sleep(1.5)
        for writer in list(self._writers):
            writer.close()


class Login:
    """One login of a client, from its connect to its final answer."""

    def __init__(self, name: str, workload: str, wait_ms: int) -> None:
        self.name, self.workload, self.wait_ms = name, workload, wait_ms
        self.sent_at = 0.0  # when the last byte of the OPEN line was written
        self.answer = ""  # the final answer; "lost: ..." if there was none
        self.answered_at = 0.0
        self.worst_echo = 0.0  # the longest time in which a line had no answer

    @property
    def took(self) -> float:
        return self.answered_at - self.sent_at


class Clients:
    """Clients that come through the front, log in, and send a line every two seconds."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.logins: list[Login] = []
        self.open: set[str] = set()  # names of connections that are up
        self.rng = random.Random(7)
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, workload: str, wait_ms: int, life: float, returns: bool = True) -> None:
        """Starts a client; one that does not return comes again at another balancer."""
        task = asyncio.create_task(self._run(workload, wait_ms, life, returns))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def load(self, seconds: float, rate: float, workload: str, wait_ms: int, life: float):
        """Brings `rate` new logins a second, evenly."""
        until = self.record.now() + seconds
        while self.record.now() < until:
            self.spawn(workload, wait_ms, life)
            await asyncio.sleep(1 / rate)

    async def finish(self, seconds: float) -> None:
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=seconds)
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=2)

    async def _run(self, workload: str, wait_ms: int, life: float, returns: bool) -> None:
        again = ""
        until = self.record.now() + life
        while True:
            login = Login(f"{self.rng.getrandbits(64):016x}", workload, wait_ms)
            ended = await self._login(login, again, until)
            if ended != "MOVE" or not returns or self.record.now() >= until:
                return
            again = ",again=1"
            await asyncio.sleep(self.rng.uniform(0.05, 1.5))

    async def _login(self, login: Login, again: str, until: float) -> str:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            self.record.write(f"client: {login.name} could not connect")
            return ""  # nothing was taken
        try:
            writer.write(
                f"OPEN {login.name} {self.rng.getrandbits(64):016x} "
                f"c={login.workload},d={login.wait_ms},g={self.rng.getrandbits(64):016x}{again}\r\n".encode()
            )
            login.sent_at = self.record.now()
            self.logins.append(login)
            # A sound client gives up a good while after its time, so that a late answer is seen.
            try:
                line = await asyncio.wait_for(reader.readline(), login.wait_ms / 1000 + 5)
                login.answer = line.decode("latin-1").strip() or "lost: closed without an answer"
            except TimeoutError:
                login.answer = "lost: no answer"
            except OSError as problem:
                login.answer = f"lost: {type(problem).__name__}"
            login.answered_at = self.record.now()
            self.record.write(
                f"client: {login.name} {login.workload} d={login.wait_ms} sent at "
                f"{login.sent_at:.3f}, after {login.took:.3f} s: {login.answer}"
            )
            if not login.answer.startswith("UP "):
                return ""
            self.open.add(login.name)
            return await self._lines(login, reader, writer, until)
        finally:
            self.open.discard(login.name)
            with contextlib.suppress(OSError):
                writer.close()

    async def _lines(self, login, reader, writer, until) -> str:
        while self.record.now() < until:
            sent = self.record.now()
            try:
                writer.write(b"LINE\r\n")
                line = await asyncio.wait_for(reader.readline(), 20)
            except (OSError, TimeoutError):
                return "cut"
            login.worst_echo = max(login.worst_echo, self.record.now() - sent)
            if line in (b"", b"MOVE\r\n"):
                return "MOVE" if line else "cut"
            try:
                line = await asyncio.wait_for(reader.readline(), 2.0)
                return "MOVE" if line == b"MOVE\r\n" else "cut"
            except TimeoutError:
                continue
            except OSError:
                return "cut"
        return "done"

    def late(self, slack: float = 0.5) -> list[Login]:
        """Logins without a final answer until half a second after their time, the rule's bound."""
        return [
            login
            for login in self.logins
            if login.answered_at
            and (login.answer.startswith("lost") or login.took > login.wait_ms / 1000 + slack)
        ]


def settings(workloads: list[dict], balancers: int = 1) -> dict:
    """The settings of a small deployment, in the form of the users' pages."""
    return {
        "balancers": balancers,
        "zone": 0,
        "localities": ["atlanta", "nashville"],
        "skus": ["fast-box", "mid-box", "slow-box"],
        "discovery": "pushed",
        "weight-source": "live",
        "importance-per": "request",
        "workloads": [
            {"effect": "pure", "group": "all", "importance": 1.0, "dedup-window-ns": 5000 * MS}
            | workload
            for workload in workloads
        ],
        "report": {"via": "probe", "fields": ["x0", "inflight"]},
        "family-info": {
            "groups": True,
            "report-x0": "load asked of the server over what it can do",
            "message-aim-ns": [100 * MS for _ in workloads],
            "tells-load": False,
            "tells-delay": True,
        },
        "fees": {"cross-zone": 0.0067, "probe": 0.0023},
        "permissions": {
            "probes": True,
            "cancelling": True,
            "max-hand-offs": 6,
            "connect-timeout-ns": 200 * MS,
            "keepalive-ns": 5000 * MS,
            "retry-after": True,
            "max-retry-after-ns": 1500 * MS,
        },
        "rules": {
            "drain-grace-ns": 500 * MS,
            "ask-within-ns": 10_000 * MS,
            "cold-from": 0.34,
            "ramp-time-ns": 8900 * MS,
            "fall-multiple": 3.0,
            "fall-ns": 1000 * MS,
        },
    }


STANDARD = {"name": "standard", "soft-limit-ns": 800 * MS, "time-limit-ns": 3200 * MS}


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


class Balancer:
    """One process of the program, started by the command `run` of the deploy file."""

    def __init__(
        self, record: Record, folder: Path, config: dict, name: str, **environment
    ) -> None:
        self.record, self.name, self.config = record, name, config
        self.path = folder / f"{name}.json"
        self.write_config(config)
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = folder / "tmp"
        temporary.mkdir(exist_ok=True)
        fd = environment.get("BALANCER_LISTEN_FD")
        self._log = (folder / f"{name}.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=os.environ
            | {"BALANCER_CONFIG": str(self.path), "BALANCER_NAME": "n1", "TMPDIR": str(temporary)}
            | environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            pass_fds=[int(fd)] if fd else [],
        )
        record.write(f"platform: started {name}")

    def write_config(self, config: dict) -> None:
        beside = self.path.with_suffix(".new")
        beside.write_text(json.dumps(config))
        beside.rename(self.path)

    def signal(self, number: int) -> None:
        self.record.write(f"platform: {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def memory_mb(self) -> float:
        with contextlib.suppress(OSError):
            found = re.search(
                r"VmHWM:\s+(\d+) kB", Path(f"/proc/{self.process.pid}/status").read_text()
            )
            if found:
                return int(found[1]) / 1024
        return 0.0

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()
        self.record.write(f"platform: {self.name} ended with {self.process.returncode}")

    def copy_log(self) -> None:
        """Copies the log into the record, without the paths of this machine."""
        for line in self.path.with_suffix(".log").read_text(errors="replace").splitlines()[:200]:
            self.record.write(f"log of {self.name}: {line[:300].replace(str(ROOT), 'ROOT')}")


async def wait_ready(port: int, seconds: float = 30) -> None:
    """Waits until a balancer answers PING with PONG, as the front does."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"PING\r\n")
            line = await asyncio.wait_for(reader.readline(), 5)
            writer.close()
            if line == b"PONG\r\n":
                return
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(0.1)
    raise RuntimeError("the balancer did not answer PING")


async def admin_call(port: int, method: str, path: str, body: str = "") -> tuple[int, str]:
    """One call of operators; returns the status and the text."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    answer = (await asyncio.wait_for(reader.read(), 10)).decode()
    writer.close()
    return int(answer.split()[1]), answer.partition("\r\n\r\n")[2]


def run_case(folder: Path, case) -> int:
    """Runs a case with its own time limit; returns the exit status of the script."""
    import tempfile
    import traceback

    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"the case runs {'with' if trouble else 'without'} the disruption")
    started: list[Balancer] = []
    with tempfile.TemporaryDirectory() as temporary:

        async def bounded() -> int:
            return await asyncio.wait_for(case(record, Path(temporary), trouble, started), 110)

        try:
            status = asyncio.run(bounded())
        except Exception as problem:
            record.write(f"could not run: {type(problem).__name__}: {problem}")
            record.write(traceback.format_exc(limit=-2).replace(str(ROOT), "ROOT"))
            status = 2
        finally:
            for balancer in started:
                balancer.end()
                balancer.copy_log()
    record.write(f"exit {status}")
    return status
