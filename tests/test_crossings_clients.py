"""Crossings of a client's leaving with what its login waits for.

A balancer process on loopback sockets in virtual time; stand-ins decide the order of events.
"""

import contextlib

import pytest
from harness import MS, BalancerHarness

from corklift.net.limits import SECOND
from corklift.net.scheduler import READ
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

    def __init__(self, *servers, probes=True, query=False, connect_ms=5000, **settings) -> None:
        workload = {"name": "plain", "soft-limit-ns": 8 * SECOND, "time-limit-ns": 9 * SECOND}
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
            **({"workloads": [workload], "permissions": permissions} | changes | settings),
        )
        self.held_probes: list[Stream] = []
        if query:
            self.probe_handler = self.held_probes.append
            # Until then, whether a subset is probed is not decided.
            self.run_until(lambda: self.process.facade._balancer._load_reports.probes_subset)

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

    def received(self) -> bytes:
        """Reads all that has come; an end or a reset is not told apart."""
        self.stream.receive()
        return self.stream.receive_buffer.read(len(self.stream.receive_buffer))


def on_server_connect(monkeypatch, scene: Scene, action) -> None:
    """Calls the action with the stream of each connect to `s1`, before its first poll."""
    real = Stream.connect.__func__

    def connect(cls, address, limits):
        stream = real(cls, address, limits)
        if address[1] == scene.ports["s1"]:
            action(stream)
        return stream

    monkeypatch.setattr(Stream, "connect", classmethod(connect))


@pytest.mark.parametrize("how", LEAVINGS)
def test_leaving_ends_the_wait_for_a_decision(how):
    scene = Scene(query=True)
    client = ScriptedClient(scene, "c1")
    scene.run_until(scene.waits_for_decision)
    client.leave(how)
    scene.check_given_up()
    assert scene.counters["logins left by their client"] == 1


@pytest.mark.parametrize("text", ["more\r\n", "mo", "OPEN 2 7f c=plain,d=9000\r\n"])
def test_data_before_the_answer_ends_the_wait_for_a_decision(text):
    # The client stays: it is answered, and nothing of its login is sent on.
    scene = Scene(query=True)
    scene.client("c1", OPEN, 100, text)
    scene.run_until(scene.waits_for_decision)
    scene.run(110)
    scene.check_given_up()
    assert scene.lines("c1") == ["c1 < ERR", "c1 ended"]


def test_end_with_the_first_line_ends_the_wait_for_a_decision():
    scene = Scene(query=True)
    scene.client("c1", OPEN, None)
    scene.run_until(lambda: scene.counters["logins in"])
    scene.check_given_up()
    # Only the sending side is closed, so the client still reads its final answer.
    assert scene.lines("c1") == ["c1 < FAILED", "c1 ended"]


def test_burst_of_leavings_ends_all_waits_for_decisions():
    scene = Scene(query=True, limits={"sockets": 2000, "memory_mb": 256})
    clients = [ScriptedClient(scene, f"c{number}") for number in range(200)]
    scene.run_until(lambda: scene.waits_for_decision(200))
    for number, client in enumerate(clients):
        client.leave(list(LEAVINGS)[number % len(LEAVINGS)])
    scene.check_given_up()
    assert scene.counters["logins left by their client"] == 200


@pytest.mark.parametrize("how", LEAVINGS)
def test_leaving_ends_the_wait_for_the_next_try(how):
    # Three of five servers are queried at a time, so the next try has to query another one.
    scene = Scene(*["busy"] * 5, query=True)
    client = ScriptedClient(scene, "c1")
    scene.run_until(scene.waits_for_decision)
    scene.answer_probes()
    scene.probe_handler = scene.held_probes.append
    scene.run_until(lambda: scene.lines("< OPEN") and scene.waits_for_decision())
    client.leave(how)
    scene.check_given_up(opens=1)


@pytest.mark.parametrize("how", LEAVINGS)
def test_leaving_ends_a_late_connect(how):
    # The queue of the server's socket is full, so the connect stands only when it accepts.
    scene = Scene(probes=False)
    late = Scene._listener()
    late.listen(0)
    scene.ports["s1"] = late.getsockname()[1]
    scene.change_list(scene.list_entry("s1"))
    fillers = [Stream.connect(late.getsockname(), scene.limits) for _ in range(2)]
    scene.run(100)
    client = ScriptedClient(scene, "c1")
    scene.run_until(lambda: scene.counters["hand-offs"])
    assert not scene.counters["hand-offs written"]
    client.leave(how)
    scene.check_given_up()
    lines = []
    with contextlib.suppress(BlockingIOError):
        while True:
            accepted = Stream(late.accept()[0], scene.limits)
            accepted.receive()
            lines.append(accepted.read_line())
    assert lines == [None] * len(lines) and lines and fillers
    assert not scene.counters["hand-offs written"]
    late.close()


@pytest.mark.parametrize("how", LEAVINGS)
def test_leaving_in_the_turn_of_the_servers_connect(monkeypatch, how):
    scene = Scene(probes=False)
    client = ScriptedClient(scene, "c1")
    on_server_connect(monkeypatch, scene, lambda stream: client.leave(how))
    scene.run_until(lambda: scene.counters["hand-offs"])
    scene.check_given_up()
    assert not scene.counters["hand-offs written"]


@pytest.mark.parametrize("how", LEAVINGS)
def test_leaving_while_the_servers_socket_has_no_room(monkeypatch, how):
    # The socket takes ten bytes of the line; the client leaves at the third try to send the rest.
    scene, seen = Scene(probes=False), []
    client = ScriptedClient(scene, "c1")

    def limit(stream: Stream) -> None:
        tries = []

        def flush() -> None:
            tries.append(1)
            if len(tries) == 1:
                stream.send_buffer.discard(
                    stream._sock.send(stream.send_buffer.readable_view()[:10])
                )
            elif len(tries) == 3:
                client.leave(how)
            assert len(tries) < 50, "the wait goes on"

        stream.flush = flush

    def serve(stream: Stream, name: str) -> None:
        while not (stream.peer_closed or stream.broken):
            scene.wait({stream.fd: READ})
            stream.receive()
        seen.append(stream.receive_buffer.read(len(stream.receive_buffer)))

    scene._server = serve
    scene.spawn(scene._accept, scene.listeners["s1"], serve, "s1")
    on_server_connect(monkeypatch, scene, limit)
    scene.run_until(lambda: scene.counters["hand-offs"])
    scene.check_given_up()
    assert seen == [b"OPEN c1 7f"] and not scene.counters["hand-offs written"]


@pytest.mark.parametrize("how", LEAVINGS)
def test_leaving_in_the_queue_at_the_door(how):
    # Its line and its end have come before the balancer accepts it.
    scene = Scene(probes=False)
    scene.process.relay.set_accepting(False)
    scene.run(20)
    client = ScriptedClient(scene, "c1")
    scene.run(20)
    client.leave(how)
    scene.run(20)
    scene.process.relay.set_accepting(True)
    scene.run_until(lambda: scene.counters["clients in"] and not scene.process.relay._pending)
    scene.check_given_up()


@pytest.mark.parametrize("how", LEAVINGS)
def test_leaving_ends_the_wait_to_restore_a_connection(how):
    scene = Scene(probes=False)
    client = ScriptedClient(scene, "c1", "OPEN 1 7f c=plain,at=s9\r\n")
    scene.run_until(lambda: scene.process.relay.in_flight)
    client.leave(how)
    scene.check_given_up()
