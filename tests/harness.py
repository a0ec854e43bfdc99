"""Two test harnesses in virtual time: for the Balancer alone, and for a whole balancer process.

Both record a trace that can be compared with a reviewed one in `tests/traces`.
"""

from __future__ import annotations

import json
import os
import select
import socket
from pathlib import Path
from random import Random

from corklift.interface import (
    ColdRule,
    ListedServer,
    Login,
    Outcome,
    Report,
    Scope,
    Status,
    Workload,
)
from corklift.net.scheduler import READ, WRITE
from corklift.net.stream import Stream
from corklift.policy import Balancer
from corklift.service import BalancerProcess

MS = 1_000_000
TRACES = Path(__file__).parent / "traces"
QUIET = ("timer",)


class PolicyHarness:
    """A host of one `Balancer` that records each of its actions as a line of the trace."""

    def __init__(self, seed: int = 7, **settings) -> None:
        self.now = 1_000 * MS
        self.trace: list[str] = []
        self.hand_offs: list[tuple[int, int]] = []
        self.timers: list[tuple[int, int]] = []
        # The automatic answer to each probe of a server; a failed probe is given by its outcome.
        self.auto: dict[int, Report | Outcome] = {}
        self.pending_probes: list[int] = []
        defaults = dict(
            zone=0,
            balancers=2,
            workloads=[Workload("plain", 1.0, 800 * MS, 3200 * MS)],
            per_work=False,
            cold=ColdRule(0.3, 9000 * MS, 3.0, 1000 * MS),
            max_hand_offs=4,
            cancel_allowed=True,
            max_retry_after=0,
            probes_allowed=True,
            ask_for_list=False,
            ask_within=10_000 * MS,
            grouped=False,
            weight_varies=False,
            memory=0,
            crossing_price=0.0,
            probe_price=0.0,
        )
        self.balancer = Balancer(self, Random(seed), now=self.now, **(defaults | settings))

    # Host

    def hand_off(self, login, server, cut_at):
        self.hand_offs.append((login, server))
        self._say(f"hand off {login} to {server}, cut after {(cut_at - self.now) // MS} ms")

    def cancel(self, login, attempt):
        self._say(f"cancel {login}.{attempt}")

    def bounce(self, login, retry_in):
        self._say(f"bounce {login}" + (f", back in {retry_in // MS} ms" if retry_in else ""))

    def terminate(self, login):
        self._say(f"terminate {login}")

    def move(self, login):
        self._say(f"move {login}")

    def probe(self, server):
        self.pending_probes.append(server)

    def close_idle(self, server):
        self._say(f"close idle {server}")

    def set_timer(self, after, mark):
        self.timers.append((self.now + after, mark))

    def watch_list(self, wanted):
        self._say(f"watch list {wanted}")

    def fetch_list(self):
        self._say("fetch list")

    def send_to_peer(self, peer, content):
        self._say(f"tell {peer}")

    def log(self, text):
        self._say(f"log: {text}")

    # Helpers

    def _say(self, text: str) -> None:
        self.trace.append(f"{self.now // MS - 1000:>6} {text}")

    def comment(self, text: str) -> None:
        self.trace.append(f"# {text}")

    def list_servers(
        self, *servers, scope=Scope.FULL, status=Status.READY, zone=0, cell=0, started_at=0
    ):
        self.balancer.servers_listed(
            self.now,
            scope,
            1,
            tuple(ListedServer(s, zone, 0, cell, status, 1.0, started_at) for s in servers),
        )

    def run(self, ms: int) -> None:
        """Advances time: fires due timers, and answers probes from `auto`."""
        end = self.now + ms * MS
        while True:
            due = min(self.timers, default=None)
            if due is None or due[0] > end:
                break
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.balancer.timer_due(self.now, due[1])
            # A server without an entry in `auto` stays silent.
            while self.pending_probes:
                server = self.pending_probes.pop(0)
                answer = self.auto.get(server)
                if isinstance(answer, Report):
                    self.balancer.probe_answered(self.now, server, MS, Outcome.FULFILLED, answer)
                elif answer is not None:
                    self.balancer.probe_answered(self.now, server, 250 * MS, answer, None)
        self.now = end

    def login(self, number: int, **fields) -> int | None:
        """Delivers a login; returns the server that it was handed to."""
        defaults = dict(
            workload=0, tenant=0, subject=0, time_limit_at=self.now + 3200 * MS, cost=None, group=0
        )
        self.balancer.login_arrived(self.now, Login(login=number, **(defaults | fields)))
        return self.hand_offs[-1][1] if self.hand_offs and self.hand_offs[-1][0] == number else None

    def end_hand_off(
        self, number: int, outcome: Outcome, attempt: int = 0, closed: bool = False
    ) -> None:
        server = [s for login, s in self.hand_offs if login == number][attempt]
        self._say(f"  ({number}.{attempt} at {server}: {outcome.value})")
        self.balancer.hand_off_ended(self.now, number, closed, server, outcome, attempt, MS, None)

    def open_connection(self, number: int, attempt: int = 0) -> None:
        server = [s for login, s in self.hand_offs if login == number][attempt]
        self.balancer.hand_off_started(self.now, number, attempt, server, MS)

    def check_trace(self, name: str) -> None:
        """Compares the trace with the reviewed one.

        If there is none yet, writes it and fails, so that it is reviewed before the next run.
        """
        text = "\n".join(self.trace) + "\n"
        reviewed = TRACES / f"{name}.txt"
        if not reviewed.exists():
            reviewed.parent.mkdir(exist_ok=True)
            reviewed.write_text(text)
            raise AssertionError(f"new trace {reviewed.name}: review it, then run again")
        assert text == reviewed.read_text()


def reserve_port() -> socket.socket:
    """Returns a socket bound to a free port of loopback on which it doesn't listen.

    A process that sets SO_REUSEADDR can listen on the port meanwhile. Until then a connect to it is
    refused, and the system gives the port to nobody else, neither to a connect nor to a listener.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


class VirtualPoll:
    """Polls real sockets; if none is ready within 2 ms, advances the virtual time to a timer."""

    def __init__(self, harness: BalancerHarness) -> None:
        self._harness, self._poll = harness, select.poll()
        self.register, self.unregister = self._poll.register, self._poll.unregister

    def poll(self, timeout: int | None):
        ready = self._poll.poll(0) or (timeout != 0 and self._poll.poll(2)) or []
        if not ready and timeout:
            self._harness.now += timeout * MS
        return ready


class BalancerHarness:
    """A balancer process in virtual time, on loopback sockets.

    Its clients, the servers and discovery are tasks of its own scheduler. The trace records each
    line that clients and servers receive, and the log. `servers` gives each server's behaviour.
    """

    START = 1_700_000_000_000 * MS

    def __init__(
        self, *servers, limits=None, known=True, seed="5", extra_config=None, **settings
    ) -> None:
        self.now = self.START
        self.trace: list[str] = []
        self.behaviour = {f"s{number}": behaviour for number, behaviour in enumerate(servers, 1)}
        self.listeners = {name: self._listener() for name in self.behaviour}
        self.ports = {name: listener.getsockname()[1] for name, listener in self.listeners.items()}
        self.discovery_listener = self._listener()
        self.discovery_count = 1
        self.list_version, self.watch_response, self.waiting_watch, self.discovery_requests = (
            1,
            None,
            None,
            [],
        )
        self.probe_handler = None  # replaces the usual answer to probes
        entries = [self.list_entry(name) for name in self.behaviour]
        self.config = {
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:%d" % self.discovery_listener.getsockname()[1],
            "seed": seed,
            "limits": {"memory_mb": 64, "sockets": 400} | (limits or {}),
            "known": {"index": 1, "snapshot": True, "endpoints": entries if known else []},
            "settings": {
                "workloads": [
                    {"name": "plain", "soft-limit-ns": 800 * MS, "time-limit-ns": 3200 * MS}
                ],
                "rules": {"ramp-time-ns": 5000 * MS},
                "report": {"fields": ["x0", "inflight"]},
                "family-info": {
                    "report-x0": "load over what it can do",
                    "tells-delay": True,
                    "message-aim-ns": [100 * MS],
                },
                "permissions": {
                    "probes": True,
                    "max-hand-offs": 3,
                    "connect-timeout-ns": 200 * MS,
                    "keepalive-ns": 5000 * MS,
                },
            }
            | settings,
        } | (extra_config or {})
        self.process = BalancerProcess(self.config, lambda: self.now, VirtualPoll(self))
        self.limits, self.counters = self.process.limits, self.process.counters
        # The log lines that summarise a second; left out of the trace, which has the events.
        self.second_lines: list[str] = []
        self.process.log_writer.write = lambda text, always=False: (
            self.second_lines.append(text)
            if text.startswith("second: ")
            else self.record(f"log: {text}")
        )
        self.process.start()
        self.spawn = self.process.scheduler.spawn
        self.wait, self.sleep = self.process.scheduler.wait, self.process.scheduler.sleep
        for name, listener in self.listeners.items():
            self.spawn(self._accept, listener, self._server, name)
        self.spawn(self._accept, self.discovery_listener, self._discovery, "")

    def move_discovery(self) -> None:
        """Starts a discovery at a new address and puts that into the configuration to reload."""
        self.discovery_listener = self._listener()
        self.discovery_count += 1
        self.spawn(
            self._accept, self.discovery_listener, self._discovery, f" at {self.discovery_count}"
        )
        self.config["discovery"] = "127.0.0.1:%d" % self.discovery_listener.getsockname()[1]

    def reload(self, path: Path, **changes) -> None:
        """Writes the configuration with the changes to the path, and reloads it."""
        path.write_text(json.dumps(self.config | changes))
        os.environ["BALANCER_CONFIG"] = str(path)
        self.spawn(self.process.reload)

    def record(self, text: str) -> None:
        """Adds a line to the trace, with the virtual time in ms since the start."""
        self.trace.append(f"{(self.now - self.START) // MS:>6} {text}")

    def run(self, ms: int) -> None:
        end = self.now + ms * MS
        self.spawn(lambda: (self.sleep(end - self.now), self.process.scheduler.stop()))
        self.process.scheduler.run()
        self.process.scheduler._stopped = False

    def check_trace(self, name: str) -> None:
        PolicyHarness.check_trace(self, name)

    def list_entry(self, name: str, status: str = "active") -> dict:
        return {"name": name, "address": "127.0.0.1:%d" % self.ports[name], "status": status}

    def change_list(self, *entries: dict) -> None:
        """Changes entries of the server list and sends the change to the watch."""
        self.list_version += 1
        self.send_list({"index": self.list_version, "snapshot": False, "endpoints": list(entries)})

    def send_list(self, content: dict | bytes) -> None:
        """Sets the next response of discovery to a watch, and wakes one that waits."""
        self.watch_response = content
        if self.waiting_watch is not None:
            self.process.scheduler.wake(self.waiting_watch)

    @staticmethod
    def _listener() -> socket.socket:
        sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        sock.setblocking(False)
        return sock

    def _accept(self, listener, serve, name) -> None:
        while True:
            self.wait({listener.fileno(): READ})
            try:
                sock, _ = listener.accept()
            except OSError:
                continue
            self.spawn(serve, Stream(sock, self.limits), name)

    def read_lines(self, stream: Stream):
        while not stream.broken:
            stream.receive()
            line = stream.read_line()
            if line is not None:
                yield line.decode().rstrip("\r\n")
            elif stream.peer_closed or stream.broken:
                return
            else:
                self.wait({stream.fd: READ})

    def _server(self, stream: Stream, name: str) -> None:
        for line in self.read_lines(stream):
            if line == "STATS":
                if self.probe_handler is not None:
                    self.probe_handler(stream)
                elif self.behaviour[name] != "silent":
                    stream.write(b"PONG x0=0.2,inflight=3\r\n")
                continue
            self.record(f"        {name} < {line}")
            behaviour = self.behaviour[name]
            if callable(behaviour):
                behaviour(self, stream, line)
            elif behaviour == "silent":
                continue
            elif behaviour == "reset":
                return stream.abort()
            elif line.startswith("OPEN"):
                stream.write(
                    {"up": b"UP " + name.encode(), "busy": b"BUSY", "err": b"ERR"}[behaviour]
                    + b"\r\n"
                )
            elif line == "quit":
                stream.write(b"BYE\r\n")
                break
            else:
                stream.write(f"echo {line}\r\n".encode())
        if not stream.closed:
            self.record(f"        {name} {'reset' if stream.broken else 'ended'}")
            stream.close()

    def _discovery(self, stream: Stream, name: str) -> None:
        for line in self.read_lines(stream):
            if not line.startswith("GET"):
                continue
            self.discovery_requests.append(((self.now - self.START) // MS, line.split()[1] + name))
            content = {
                "index": self.list_version,
                "snapshot": True,
                "endpoints": [self.list_entry(name) for name in self.behaviour],
            }
            if "wait" in line:
                until = self.now + int(line.split()[1].rpartition("=")[2]) * MS
                self.waiting_watch = self.process.scheduler.current
                while self.watch_response is None and self.now < until:
                    self.wait({}, until)
                if self.waiting_watch is self.process.scheduler.current:
                    self.waiting_watch = None
                content = self.watch_response or content | {"snapshot": False, "endpoints": []}
                self.watch_response = None
            body = content if isinstance(content, bytes) else json.dumps(content).encode()
            if not body.startswith(b"HTTP"):
                body = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            stream.write(body)

    def client(self, name: str, *steps) -> None:
        """Starts a client and records each line that it receives.

        A step is text to send, a number of ms to wait, `None` to close the sending side, or `...`
        to reset the connection. In `OPEN 1`, the 1 is replaced by the client's name, because the
        names of open connections must differ.
        """
        stream = Stream.connect(("127.0.0.1", self.process.port), self.limits)

        def send() -> None:
            for step in steps:
                if isinstance(step, int):
                    self.sleep(step * MS)
                elif step is None:
                    stream.shutdown_write()
                elif step is ...:
                    stream.abort()
                elif not stream.broken and not stream.closed:
                    stream.write(step.replace("OPEN 1 ", f"OPEN {name} ").encode())

        def receive() -> None:
            self.wait({stream.fd: WRITE})
            self.spawn(send)
            for line in self.read_lines(stream):
                self.record(f"{name} < {line}")
            self.record(f"{name} {'reset' if stream.broken else 'ended'}")
            stream.close()

        self.spawn(receive)
