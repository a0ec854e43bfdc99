"""What the cases of this review share: stand-ins, the start of balancers, and the record.

The balancers are processes of their own, started by the command of `deploy/balancer.toml`. The
stand-ins follow the protocol pages and live in the process of the case. All addresses are loopback
addresses, all ports are free ones, and a balancer's `$TMPDIR` is a folder of the case's own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
SECOND = 1_000 * MS
# Exit codes of a play; `run.sh` makes 1 of BROKEN and 2 of any other that is not HELD, so that an
# error of the play itself is never taken for a broken rule.
HELD, BROKEN, NOT_RUN = 0, 10, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_OPEN = re.compile(r"OPEN (\S+) (\S+) (\S+)")


class CannotRunError(Exception):
    """The case could not be played; nothing is known about the rule."""


class Record:
    """The lines of `record.txt`: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def settings(workloads: list[dict[str, Any]], balancers: int = 1, **changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, with the names of the protocol note."""
    permissions = {
        "cancelling": True,
        "connect-timeout-ns": 200 * MS,
        "keepalive-ns": 5 * SECOND,
        "max-hand-offs": 6,
        "max-open": 1_000_000,
        "max-retry-after-ns": 1500 * MS,
        "probes": True,
        "retry-after": True,
        "second-copies": False,
    }
    return {
        "balancers": balancers,
        "my-number": 0,
        "zone": 0,
        "discovery": "pushed",
        "localities": ["atlanta"],
        "skus": ["mid-box"],
        "family": "conn",
        "family-info": {
            "groups": False,
            "message-aim-ns": [100 * MS for _ in workloads],
            "mode": "proxy",
            "report-x0": "load asked of the server over what it can do",
            "tells-delay": False,
            "tells-load": False,
        },
        "report": {"fields": ["x0", "inflight"], "via": "probe"},
        "rules": {
            "answer-slack-ns": 20 * MS,
            "ask-within-ns": 10 * SECOND,
            "cold-from": 0.34,
            "drain-grace-ns": 500 * MS,
            "fall-multiple": 3.0,
            "fall-ns": SECOND,
            "ramp-time-ns": 8900 * MS,
        },
        "weight-source": "none",
        "workloads": workloads,
        "permissions": permissions | changes,
    }


def workload(name: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "effect": "pure",
        "group": "all",
        "importance": 1.0,
        "soft-limit-ns": 800 * MS,
        "time-limit-ns": 3200 * MS,
        "dedup-window-ns": 5 * SECOND,
        "stream": True,
    } | changes


# The ports of a play. A socket that is bound to a port and does not listen keeps the system from
# giving that port to a connect; a process that sets SO_REUSEADDR, as the balancers and the servers
# here do, can listen on it all the same, also again after its end.
_reserved: list[socket.socket] = []


def free_port() -> int:
    """Returns a port of loopback that nobody else gets while this process lives."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _reserved.append(sock)
    return int(sock.getsockname()[1])


class Server:
    """A server: answers probes, logins and the lines of its connections; one line of record each.

    It turns away the id of a connection that is open here, as the pages say of what a server can't
    use. `answer` replaces what it does with a login: it returns the line of the answer, or None to
    end the connection with a reset.
    """

    def __init__(self, record: Record, name: str, capacity: int = 200) -> None:
        self.name, self._record, self._capacity = name, record, capacity
        self._writers: set[asyncio.StreamWriter] = set()
        self.open_ids: set[str] = set()
        # Every login line that came whole: time, id, line.
        self.taken: list[tuple[float, str, str]] = []
        self.answer: Callable[[str, str], Awaitable[str | None]] | None = None
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        self.address = f"127.0.0.1:{free_port()}"
        await self._listen()

    async def _listen(self) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), backlog=1024)

    def die(self) -> None:
        """Ends as a process that dies: resets its connections; new ones are refused."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record.write(f"server {self.name} dies")

    async def come_back(self) -> None:
        """Starts again at the same address."""
        await self._listen()
        self._record.write(f"server {self.name} starts")

    def entry(self, status: str = "active", since_ms: int = 0) -> dict[str, Any]:
        return {
            "name": self.name,
            "address": self.address,
            "zone": "atlanta",
            "type": "mid-box",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        own_id = ""
        self._writers.add(writer)
        try:
            while line := (await reader.readline()).decode("latin-1"):
                if not line.endswith("\n"):
                    return
                text = line.rstrip("\r\n")
                found = _OPEN.fullmatch(text)
                if own_id:
                    writer.write(line.encode("latin-1"))
                elif text == "PING":
                    writer.write(b"PONG\r\n")
                elif text == "STATS":
                    count = len(self.open_ids)
                    writer.write(
                        f"PONG x0={count / self._capacity:.4f},inflight={count}\r\n".encode()
                    )
                elif found is None:
                    writer.write(b"SYNTAX\r\n")
                    return
                else:
                    self.taken.append((self._record.now(), found[1], text))
                    self._record.write(f"server {self.name} took: {text}")
                    answer = await self._answer(found[1], text)
                    self._record.write(f"server {self.name} answers {found[1]}: {answer}")
                    if answer is None:
                        writer.transport.abort()
                        return
                    if answer.startswith("UP"):
                        own_id = found[1]
                        self.open_ids.add(own_id)
                    writer.write(answer.encode() + b"\r\n")
                    if not own_id:
                        return
                await writer.drain()
        except OSError:
            pass
        finally:
            if own_id:
                self.open_ids.discard(own_id)
                self._record.write(f"server {self.name} connection {own_id} ended")
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, name: str, text: str) -> str | None:
        if name in self.open_ids:
            return "BUSY"
        if self.answer is not None:
            return await self.answer(name, text)
        return f"UP {self.name}-{len(self.taken)}"


class Discovery:
    """The agent: the whole list, and a watch on changes."""

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        self._record, self.index = record, 41
        self.entries = {entry["name"]: entry for entry in entries}
        self._changed_at = dict.fromkeys(self.entries, 41)
        self._changed = asyncio.Event()
        # While discovery is down, the agent accepts calls and answers none of them; then it does.
        self.is_down = False
        # The pause in the middle of each answer, in seconds.
        self.pause = 0.0
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def put(self, entry: dict[str, Any]) -> None:
        self.index += 1
        self.entries[entry["name"]] = entry
        self._changed_at[entry["name"]] = self.index
        self._changed.set()
        self._changed = asyncio.Event()
        self._record.write(f"discovery tells index {self.index}: {json.dumps(entry)}")

    def known(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                found = re.match(rb"GET /registry/instances(?:\?index=(\d+)&wait=(\d+))? ", head)
                if found is None:
                    return
                content = self.known()
                if found[1] is not None and int(found[1]) <= self.index:
                    since = int(found[1])
                    until = time.monotonic() + int(found[2]) / 1000
                    while self.index <= since and (left := until - time.monotonic()) > 0:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self._changed.wait(), left)
                    changed = [
                        entry
                        for name, entry in self.entries.items()
                        if self._changed_at[name] > since
                    ]
                    content = {"index": self.index, "snapshot": False, "endpoints": changed}
                while self.is_down:
                    await asyncio.sleep(0.01)
                body = json.dumps(content).encode()
                answer = (
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(body) + body
                )
                if self.pause:
                    writer.write(answer[: len(answer) // 2])
                    answer = answer[len(answer) // 2 :]
                    await asyncio.sleep(self.pause)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Balancer:
    """One balancer process, started by the command of the deploy file."""

    def __init__(self, play: Play, name: str, config: dict[str, Any]) -> None:
        self._play, self.name, self.config = play, name, config
        self.process: asyncio.subprocess.Process | None = None
        self.path = play.folder / f"{name}.json"
        self.host, port = config["listen"].rsplit(":", 1)
        self.port = int(port)
        self.admin_port = 0

    def write_config(self) -> None:
        beside = self.path.with_suffix(".new")
        beside.write_text(json.dumps(self.config))
        beside.rename(self.path)

    async def start(self, label: str, listen_fd: int | None = None, run_folder: str = "") -> None:
        """Starts the process and waits until it says that it serves."""
        self.write_config()
        self.admin_port = free_port()
        tmp = self._play.folder / (run_folder or f"tmp-{label}")
        tmp.mkdir(exist_ok=True)
        environment = os.environ | {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_DISCOVERY": self.config["discovery"],
            "BALANCER_CONFIG": str(self.path),
            "BALANCER_ADMIN_ADDR": f"127.0.0.1:{self.admin_port}",
            "TMPDIR": str(tmp),
        }
        if listen_fd is not None:
            environment["BALANCER_LISTEN_FD"] = str(listen_fd)
        self.label = label
        self.log = open(self._play.folder / f"{label}.log", "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self._play.run_command,
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
            pass_fds=[] if listen_fd is None else [listen_fd],
        )
        self._play.processes.append(self.process)
        self._play.record.write(f"balancer {label}: process started")
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRunError(f"balancer {label} ended with {self.process.returncode}")
            if await self.call("GET", "/admin/health") == 200:
                self._play.record.write(f"balancer {label}: health says yes")
                return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"balancer {label} does not serve")

    async def call(self, method: str, path: str, body: str = "") -> int:
        """Returns the status of an operator's call, 0 if there is no answer."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
        except OSError:
            return 0
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write((head + body).encode())
            line = await asyncio.wait_for(reader.readline(), 2)
            return int(line.split()[1]) if line else 0
        except OSError:
            return 0
        finally:
            writer.close()

    def signal(self, number: int) -> None:
        assert self.process is not None
        self._play.record.write(f"balancer {self.label}: {signal.Signals(number).name}")
        self.process.send_signal(number)


class Client:
    """One client connection: sends its first line and waits for the answer."""

    def __init__(self, play: Play, address: tuple[str, int], name: str) -> None:
        self._play, self._address, self.name = play, address, name
        # The first line that came back, "closed" or "reset"; None: nothing yet.
        self.answer: str | None = None
        self.asked_at = self.answered_at = 0.0
        self.ended_at: float | None = None  # the end of the connection
        self.lines: list[str] = []
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(*self._address)

    async def ask(
        self, text: str, patience: float, pieces: list[float] | None = None
    ) -> str | None:
        """Sends the line (in pieces, with pauses in seconds) and waits for the answer."""
        if self.writer is None:
            await self.connect()
        assert self.writer is not None and self.reader is not None
        line = text.encode() + b"\r\n"
        if pieces:
            size = len(line) // (len(pieces) + 1)
            for pause in pieces:
                self.writer.write(line[:size])
                line = line[size:]
                await asyncio.sleep(pause)
        self.writer.write(line)
        self.asked_at = self._play.record.now()
        self._play.record.write(f"client {self.name} sent: {text}")
        try:
            got = await asyncio.wait_for(self.reader.readline(), patience)
            self.answer = got.decode("latin-1").rstrip("\r\n") or "closed"
        except TimeoutError:
            self.answer = None
        except OSError:
            self.answer = "reset"
        self.answered_at = self._play.record.now()
        self._play.record.write(f"client {self.name} got: {self.answer}")
        return self.answer

    async def keep(self, interval: float = 2.0) -> None:
        """Sends a line at each interval until the connection ends."""
        assert self.writer is not None and self.reader is not None

        async def send() -> None:
            number = 0
            while True:
                await asyncio.sleep(interval)
                number += 1
                self.writer.write(b"line %d\r\n" % number)

        sender = asyncio.create_task(send())
        try:
            while got := await self.reader.readline():
                self.lines.append(got.decode("latin-1").rstrip("\r\n"))
        except OSError:
            self.lines.append("reset")
        finally:
            sender.cancel()
            self.ended_at = self._play.record.now()
            self._play.record.write(
                f"client {self.name} connection ended; last line {self.lines[-1:]}"
            )
            self.close()

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


class Play:
    """One play of a case."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.record, self.folder = Record(folder), temporary
        self.processes: list[asyncio.subprocess.Process] = []
        with open(ROOT / "deploy/balancer.toml", "rb") as file:
            self.run_command = tomllib.load(file)["run"]

    async def start_servers(self, count: int, capacity: int = 200) -> list[Server]:
        servers = [
            Server(self.record, f"s-{0x5BE2A000 + 17 * n:08x}", capacity) for n in range(count)
        ]
        for server in servers:
            await server.start()
        return servers

    async def start_discovery(self, servers: list[Server]) -> Discovery:
        discovery = Discovery(self.record, [server.entry() for server in servers])
        await discovery.start()
        return discovery

    def balancer(
        self,
        name: str,
        discovery: Discovery,
        workloads: list[dict[str, Any]],
        listen: str = "",
        sockets: int = 1024,
        memory_mb: int = 192,
        **changes: Any,
    ) -> Balancer:
        return Balancer(
            self,
            name,
            {
                "name": name,
                "listen": listen or f"127.0.0.1:{free_port()}",
                "discovery": discovery.address,
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                "known": discovery.known(),
                "settings": settings(workloads, **changes),
            },
        )

    async def end(self) -> None:
        """Ends the processes that this play started."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()


def play(case: str, run: Callable[[Play], Awaitable[list[str]]], seconds: float = 110) -> None:
    """Plays a case and exits with HELD, BROKEN or NOT_RUN.

    `run` returns a line for each break of the rule.
    """
    folder = Path(case).resolve().parent

    async def played() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            this = Play(folder, Path(temporary))
            this.record.write(f"TROUBLE={int(TROUBLE)}")
            task = asyncio.current_task()
            assert task is not None
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, task.cancel)
            try:
                breaks = await asyncio.wait_for(run(this), seconds)
            except (Exception, asyncio.CancelledError) as problem:
                this.record.write(f"could not be played: {problem!r}")
                print(f"could not be played: {problem!r}")
                return NOT_RUN
            finally:
                await this.end()
                for log in sorted(Path(temporary).glob("*.log")):
                    for line in log.read_text(errors="replace").splitlines():
                        this.record.write(f"log of {log.stem}: {line}")
            for line in breaks or ["the rule held"]:
                this.record.write(line)
                print(line)
            return BROKEN if breaks else HELD

    sys.exit(asyncio.run(played()))
