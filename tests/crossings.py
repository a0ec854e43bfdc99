"""A scene for tests of two events that can cross: a balancer process in virtual time.

What a test does between two runs of the scene happens before the balancer's next poll, in one turn.
"""

import contextlib
import fcntl
import select
import socket
import termios
import time

from harness import MS, BalancerHarness

from corklift.net.limits import SECOND
from corklift.net.scheduler import READ_CLOSED
from corklift.net.stream import Stream

OPEN = "OPEN 1 7f c=plain,d=9000,x=9\r\n"
# Within this time of the leaving a login has to be given up.
LEAVING_NOTICED = 300 * MS
# Each way of leaving, or of breaking the protocol, while an answer is due.
LEAVINGS = {
    "end": (None,),
    "reset": (...,),
    "line and end": ("more\r\n", None),
    "half a line and reset": ("mo", ...),
}


class Scene(BalancerHarness):
    """Servers `s1`, `s2` ..., and logins that wait for probes, whose answers the test holds."""

    def __init__(
        self, *servers, probes=True, query=False, connect_ms=5000, workload=None, **settings
    ) -> None:
        self.workload = {"name": "plain", "soft-limit-ns": 8 * SECOND, "time-limit-ns": 9 * SECOND}
        self.workload |= workload or {}
        permissions = {
            "probes": probes,
            "max-hand-offs": 3,
            "connect-timeout-ns": connect_ms * MS,
            "keepalive-ns": 5 * SECOND,
        }
        # With more balancers than servers and a price for probes, logins wait for their answers.
        changes = {"balancers": 9, "fees": {"probe": 0.01}} if query else {}
        super().__init__(
            *(servers or ("up",)),
            **({"workloads": [self.workload], "permissions": permissions} | changes | settings),
        )
        self.held_probes: list[Stream] = []
        # The connections of servers whose behaviour is "scripted"; the test writes and reads.
        self.accepted: list[Stream] = []
        if query:
            self.probe_handler = self.held_probes.append
            # Until then, whether a subset is probed is not decided.
            self.run_until(lambda: self.process.facade._balancer._load_reports.probes_subset)

    def _server(self, stream: Stream, name: str) -> None:
        if self.behaviour[name] == "scripted":
            self.accepted.append(stream)
        else:
            super()._server(stream, name)

    def open_connection(self, client: "ScriptedClient") -> Stream:
        """Brings the client up at a scripted server; returns the server's stream."""
        server = self.server_stream(len(self.accepted))
        server.write(b"UP s1\r\n")
        self.run_until(lambda: b"UP s1\r\n" in client.receive())
        return server

    def server_stream(self, number: int = 0) -> Stream:
        """Runs until a scripted server has a login line on its connection with this number."""
        self.run_until(lambda: len(self.accepted) > number)
        stream = self.accepted[number]
        self.run_until(lambda: received(stream).endswith(b"\r\n"))
        return stream

    def run_until(self, condition, ms=2000) -> None:
        """Runs until the condition holds; fails after `ms` of virtual time."""
        end = self.now + ms * MS
        while not condition():
            assert self.now < end, "the condition did not become true in time"
            self.run(5)

    def answer_probes(self) -> None:
        while self.held_probes:
            self.held_probes.pop().write(b"PONG x0=0.2,inflight=3\r\n")
        self.probe_handler = None

    def waits_for_decision(self, count=1) -> bool:
        logins = self.process.facade._logins.values()
        return len(logins) == count and all(login.decision is None for login in logins)

    def is_idle(self) -> bool:
        """Whether no login is left anywhere: in the relay, the facade or the decisions."""
        return not (
            self.process.relay.in_flight
            or self.process.relay.client_count
            or self.process.facade._balancer._active_logins
        )

    def lines(self, part: str) -> list[str]:
        """What the stand-ins saw: the lines of the trace with this text, without their times."""
        return [line[7:].strip() for line in self.trace if part in line]

    def check_given_up(self, opens: int = 0) -> None:
        """Checks that the login ends at the leaving and that nothing of it is sent later."""
        began = self.now
        self.run_until(self.is_idle, LEAVING_NOTICED // MS)
        assert self.now - began <= LEAVING_NOTICED
        self.answer_probes()
        self.run(3000)
        assert len(self.lines("< OPEN")) == opens
        assert not self.counters["exceptions"] and self.is_idle()


class ScriptedClient:
    """A client whose steps the test takes itself, in the turn that it chooses."""

    def __init__(self, scene: Scene, name: str, text: str = OPEN) -> None:
        self.stream = Stream.connect(("127.0.0.1", scene.process.port), scene.limits)
        self.stream.write(text.replace("OPEN 1 ", f"OPEN {name} ").encode())

    def leave(self, how: str) -> None:
        for step in LEAVINGS[how]:
            if step is None:
                self.stream.shutdown_write()
            elif step is ...:
                self.stream.abort()
            else:
                self.stream.write(step.encode())
        if not self.stream.closed:
            until_delivered(self.stream)

    def receive(self) -> bytes:
        """Returns all that has come so far; an end or a reset is not told apart."""
        return received(self.stream)


def received(stream: Stream) -> bytes:
    """Returns all that a stream has received so far, and leaves it there."""
    while stream.receive():
        pass
    return bytes(stream.receive_buffer.readable_view())


def has_ended(stream: Stream) -> bool:
    """Whether the balancer has ended or reset this connection."""
    received(stream)
    return stream.peer_closed or stream.broken


def until_delivered(stream: Stream) -> None:
    """Waits until the other side's kernel has all that was written, an end included."""
    until = time.monotonic() + 10
    while any(fcntl.ioctl(stream.fd, termios.TIOCOUTQ, bytes(4))):
        assert time.monotonic() < until, "not delivered"
        time.sleep(0.001)


def until_end_seen(stream: Stream) -> None:
    """Waits until the kernel shows an end or a reset on this side of the connection."""
    poll = select.poll()
    poll.register(stream.fd, READ_CLOSED)
    assert poll.poll(10_000), "no end"


def write_partly(stream: Stream, at_third_try) -> None:
    """Lets the socket take ten bytes; the action comes when the rest is tried again."""
    tries = []

    def flush() -> None:
        tries.append(1)
        if len(tries) == 1:
            stream.send_buffer.discard(stream._sock.send(stream.send_buffer.readable_view()[:10]))
        elif len(tries) == 3:
            at_third_try()
        elif len(tries) > 3:
            Stream.flush(stream)

    stream.flush = flush


def on_server_connect(monkeypatch, scene: Scene, action) -> None:
    """Calls the action with the stream of each connect to `s1`, before it is polled."""
    real = Stream.connect.__func__

    def connect(cls, address, limits, *rest, **options):
        stream = real(cls, address, limits, *rest, **options)
        if address[1] == scene.ports["s1"]:
            action(stream)
        return stream

    monkeypatch.setattr(Stream, "connect", classmethod(connect))


def accept_now(scene: Scene) -> Stream:
    """Accepts a connection to `s1` at once, before the scene's own task does."""
    listener = scene.listeners["s1"]
    select.select([listener], [], [], 10)
    return Stream(listener.accept()[0], scene.limits)


def late_server(scene: Scene) -> tuple[socket.socket, list[Stream]]:
    """Moves `s1` to a socket whose queue is full, so that connects stand only when it accepts.

    Returns the socket, and the connections that fill it and have to be kept.
    """
    late = Scene._listener()
    late.listen(0)
    scene.ports["s1"] = late.getsockname()[1]
    scene.change_list(scene.list_entry("s1"))
    fillers = [Stream.connect(late.getsockname(), scene.limits) for _ in range(2)]
    scene.run(100)
    return late, fillers


def lines_of_all(scene: Scene, listener: socket.socket) -> list[bytes]:
    """Accepts all that wait in the queue; returns what each has sent."""
    lines = []
    with contextlib.suppress(BlockingIOError):
        while True:
            lines.append(received(Stream(listener.accept()[0], scene.limits)))
    return lines
