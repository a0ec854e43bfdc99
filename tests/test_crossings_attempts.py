"""Crossings on a hand-off before `UP`: deadline, answer, leaving, drain and the end of a server.

A balancer process on loopback sockets in virtual time; stand-ins decide the order of events.
"""

from collections.abc import Callable
from itertools import permutations

import pytest
from crossings import (
    OPEN,
    Scene,
    ScriptedClient,
    accept_now,
    has_ended,
    late_server,
    lines_of_all,
    on_server_connect,
    received,
    until_delivered,
    until_end_seen,
    write_partly,
)
from harness import MS, PolicyHarness

from corklift.interface import ColdRule, Outcome, Report, Scope
from corklift.net.limits import SECOND
from corklift.net.parsers import parse_listing
from corklift.net.stream import Stream

ONCE_ONLY = {"effect": "side_effect"}
TAGGED = {"effect": "token", "group": "all", "dedup-window-ns": 500 * MS}


def record_outcomes(scene: Scene) -> list[str]:
    """Records what the decisions are told of the login's hand-offs."""
    balancer, told = scene.process.facade._balancer, []
    for name in ("hand_off_started", "hand_off_ended", "login_dropped"):
        real = getattr(balancer, name)

        def record(*arguments, name=name, real=real, **named):
            told.append(name)
            return real(*arguments, **named)

        setattr(balancer, name, record)
    return told


def set_status(scene: Scene, name: str, status: str) -> None:
    """Applies a change of the list at once, as if the watch had just read it."""
    entry = scene.list_entry(name, status)
    scene.process.facade.apply_listing(
        Scope.DELTA, parse_listing({"index": 2, "snapshot": False, "endpoints": [entry]})
    )


@pytest.mark.parametrize("order", list(permutations(("answer", "leaving", "deadline"))))
@pytest.mark.parametrize("answer", [b"UP s1\r\n", b"BUSY\r\n", b"ERR\r\n"])
def test_answer_leaving_and_deadline_in_one_turn(order, answer):
    scene = Scene("scripted", probes=False, workload=ONCE_ONLY)
    told = record_outcomes(scene)
    client = ScriptedClient(scene, "c1")
    server = scene.server_stream()
    for event in order:
        if event == "answer":
            server.write(answer)
            until_delivered(server)
        elif event == "leaving":
            client.leave("end")
        else:
            scene.now += 9 * SECOND
    scene.check_given_up(opens=0)
    assert told == ["login_dropped"] and len(scene.accepted) == 1
    assert client.receive() == b"FAILED\r\n" and client.stream.peer_closed
    assert has_ended(server)


@pytest.mark.parametrize("answer_first", [True, False])
@pytest.mark.parametrize(
    "answer, result, outcomes",
    [
        (b"UP s1\r\n", b"UP s1\r\n", ["hand_off_started"]),
        (b"BUSY\r\n", b"BUSY\r\n", ["hand_off_ended"]),
        (b"ERR\r\n", b"FAILED\r\n", ["hand_off_ended"]),
        (b"BUSY\r\nUP s1\r\n", b"BUSY\r\n", ["hand_off_ended"]),
        (b"", b"FAILED\r\n", ["hand_off_ended"]),
    ],
)
def test_answer_and_deadline_in_one_turn(answer_first, answer, result, outcomes):
    scene = Scene("scripted", probes=False, workload=ONCE_ONLY)
    told = record_outcomes(scene)
    client = ScriptedClient(scene, "c1")
    server = scene.server_stream()
    if answer_first:
        server.write(answer)
    scene.now += 9 * SECOND
    if not answer_first:
        server.write(answer)
    until_delivered(server)
    scene.run(200)
    assert client.receive() == result and told == outcomes and len(scene.accepted) == 1
    assert not scene.counters["exceptions"]


@pytest.mark.parametrize("how", ["end", "reset", "answer and end"])
def test_once_only_login_is_tried_again_if_the_server_ended_before_its_line(monkeypatch, how):
    # The server accepts and ends before the balancer polls the connect: nothing was written.
    scene = Scene("scripted", probes=False, workload=ONCE_ONLY)
    seen = []

    def end(stream: Stream) -> None:
        server = accept_now(scene)
        seen.append(server)
        if how == "answer and end":
            server.write(b"BUSY\r\n")
        server.abort() if how == "reset" else server.shutdown_write()
        until_end_seen(stream)

    on_server_connect(monkeypatch, scene, end)
    client = ScriptedClient(scene, "c1")
    scene.run_until(lambda: client.receive())
    scene.run(200)
    assert client.receive() == b"BUSY\r\n" and scene.counters["hand-offs"] == len(seen) == 3
    assert scene.counters["hand-offs full"] == (3 if how == "answer and end" else 0)
    lines = [] if how == "reset" else [received(server) for server in seen]
    assert how != "end" or lines == [b""] * 3
    assert not scene.counters["exceptions"]


def test_connect_that_stands_only_after_it_was_given_up():
    # Never sent, so a once-only login is tried again and then bounced; nothing comes later.
    scene = Scene(probes=False, workload=ONCE_ONLY, connect_ms=200)
    late, _fillers = late_server(scene)
    client = ScriptedClient(scene, "c1")
    scene.run_until(lambda: client.receive())
    scene.run(1000)
    lines = lines_of_all(scene, late)
    assert client.receive() == b"BUSY\r\n" and lines == [b""] * len(lines) and lines
    assert scene.counters["hand-offs not connected"] == 3
    late.close()


@pytest.mark.parametrize("how", ["end", "reset"])
def test_once_only_login_may_have_run_if_the_server_ended_after_its_line(how):
    scene = Scene("scripted", probes=False, workload=ONCE_ONLY)
    client = ScriptedClient(scene, "c1")
    server = scene.server_stream()
    server.abort() if how == "reset" else server.shutdown_write()
    scene.run(200)
    assert client.receive() == b"FAILED\r\n" and len(scene.accepted) == 1


@pytest.mark.parametrize("how", ["end", "reset", "deadline"])
def test_once_only_login_is_never_run_if_its_line_was_partly_written(monkeypatch, how):
    scene = Scene("scripted", probes=False, workload=ONCE_ONLY)
    seen = []

    def event(stream: Stream) -> None:
        seen.append(scene.accepted[-1])
        if how == "deadline":
            scene.now += 9 * SECOND
            return
        scene.accepted[-1].shutdown_write() if how == "end" else scene.accepted[-1].abort()
        until_end_seen(stream)

    on_server_connect(
        monkeypatch, scene, lambda stream: write_partly(stream, lambda: event(stream))
    )
    client = ScriptedClient(scene, "c1")
    scene.run_until(lambda: client.receive())
    scene.run(200)
    assert client.receive() == b"BUSY\r\n" and not scene.counters["exceptions"]
    assert scene.counters["hand-offs"] == len(seen) == (1 if how == "deadline" else 3)
    assert not scene.counters["hand-offs written"]
    if how != "reset":
        assert [received(server) for server in seen] == [b"OPEN c1 7f"] * len(seen)


def hold_up(stream: Stream, action) -> None:
    """Calls the action between the connect of a stream and the first byte on it."""
    real = stream.connect_failed
    stream.connect_failed = lambda: (action(), real())[1]


@pytest.mark.parametrize("late_ms", [8900, 9000])
def test_line_is_not_written_after_its_time(monkeypatch, late_ms):
    # The process is held up between the connect and the first byte, up to or past the time limit.
    scene = Scene("scripted", probes=False, workload=ONCE_ONLY)
    held = []

    def late() -> None:
        held.append(1)
        scene.now = scene.START + late_ms * MS

    on_server_connect(monkeypatch, scene, lambda stream: hold_up(stream, late))
    client = ScriptedClient(scene, "c1")
    scene.run_until(lambda: client.receive(), 9400)
    lines = [received(server) for server in scene.accepted if received(server)]
    if late_ms == 8900:
        assert len(lines) == 1 and client.receive() == b"FAILED\r\n"  # it may run
    else:
        assert lines == [] and client.receive() == b"BUSY\r\n"
    assert held and not scene.counters["exceptions"]


@pytest.mark.parametrize("late_ms", [20, 150])
def test_tagged_login_is_not_sent_again_after_its_window(monkeypatch, late_ms):
    # The second connect stands when the window of 500 ms is still open, or is over.
    scene = Scene("scripted", probes=False, workload=TAGGED)

    def late() -> None:
        if len(scene.accepted) > 1 or scene.counters["hand-offs"] > 1:
            scene.now += late_ms * MS

    on_server_connect(monkeypatch, scene, lambda stream: hold_up(stream, late))
    client = ScriptedClient(scene, "c1")
    server = scene.server_stream()
    sent_at = scene.now
    scene.run(400)
    assert scene.now - sent_at < 490 * MS
    server.write(b"ERR\r\n")
    scene.run(100)
    assert has_ended(server), "the first attempt is still out"
    lines = [stream for stream in scene.accepted[1:] if received(stream)]
    assert len(lines) == (1 if late_ms == 20 else 0)
    assert (client.receive() == b"BUSY\r\n") == (late_ms == 150)


@pytest.mark.parametrize("when", ["before the first byte", "between two tries"])
@pytest.mark.parametrize("status", ["leaving", "left"])
def test_drain_in_the_turn_of_a_send(monkeypatch, when, status):
    scene = Scene("scripted", probes=False, workload=ONCE_ONLY)
    drain = lambda: set_status(scene, "s1", status)  # noqa: E731
    if when == "before the first byte":
        on_server_connect(monkeypatch, scene, lambda stream: hold_up(stream, drain))
    client = ScriptedClient(scene, "c1")
    if when == "between two tries":
        server = scene.server_stream()
        scene.change_list(scene.list_entry("s1", status))
        server.write(b"BUSY\r\n")
        drain()
    scene.run(300)
    assert client.receive() == b"BUSY\r\n" and not scene.counters["exceptions"]
    expected = 0 if when == "before the first byte" else 1
    assert len([s for s in scene.accepted if received(s)]) == expected
    assert scene.counters["hand-offs written"] == expected


@pytest.mark.parametrize("text", [b"UP s1\r\n", b"BUSY\r\n", b"U"])
def test_second_answer_on_a_finished_hand_off_is_never_taken(text):
    scene = Scene("scripted", probes=False)
    client = ScriptedClient(scene, "c1")
    first = scene.server_stream(0)
    first.write(b"BUSY\r\n")
    second = scene.server_stream(1)
    first.write(text)
    scene.run(50)
    assert client.receive() == b"" and len(scene.accepted) == 2
    second.write(b"UP s1\r\n")
    scene.run(50)
    assert client.receive() == b"UP s1\r\n" and not scene.counters["exceptions"]


@pytest.mark.parametrize("text", [b"UP " + b"x" * 500, b"LOAD 5\r\n" * 100])
def test_answer_that_never_ends_is_given_up_in_time(text):
    # A byte each 50 ms, without a line end, or with lines that are no answer.
    scene = Scene("scripted", probes=False, workload=ONCE_ONLY)
    client = ScriptedClient(scene, "c1")
    server = scene.server_stream()

    def trickle() -> None:
        for byte in text:
            server.write(bytes([byte]))
            scene.sleep(50 * MS)

    scene.spawn(trickle)
    scene.run_until(lambda: client.receive(), 9100)
    assert client.receive() == b"FAILED\r\n" and len(scene.accepted) == 1
    scene.run(100)
    assert has_ended(server)


def test_leaving_ends_the_wait_beside_a_flood_of_lines():
    scene = Scene("scripted", probes=False)
    client = ScriptedClient(scene, "c1")
    server, rounds = scene.server_stream(), []

    def flood() -> None:
        while len(rounds) < 400 and not server.broken:
            rounds.append(1)
            if not len(server.send_buffer):
                server.write(b"LOAD 5\r\n" * 500)
            server.flush()
            if len(rounds) == 20:
                client.leave("end")
            scene.wait({}, scene.now)

    scene.spawn(flood)
    scene.run_until(lambda: len(rounds) >= 400 or server.broken)
    scene.run_until(scene.is_idle)
    assert len(rounds) < 100 and scene.counters["logins left by their client"] == 1


@pytest.mark.parametrize("change", ["class removed", "limits changed", "class renamed"])
def test_reload_between_two_tries_keeps_the_terms_of_the_login(tmp_path, change):
    scene = Scene("scripted", probes=False, workload=ONCE_ONLY)
    client = ScriptedClient(scene, "c1")
    server = scene.server_stream()
    workload = (
        scene.workload
        | {
            "class removed": {"name": "other"},
            "class renamed": {"name": "plain2", "effect": "pure"},
            "limits changed": {
                "time-limit-ns": 300 * MS,
                "soft-limit-ns": 100 * MS,
                "effect": "pure",
            },
        }[change]
    )
    settings = scene.config["settings"] | {"workloads": [workload]}
    scene.reload(tmp_path / "config", settings=settings)
    scene.run_until(lambda: scene.counters["configurations taken"])
    scene.run(500)
    server.write(b"BUSY\r\n")
    second = scene.server_stream(1)
    second.write(b"ERR\r\n")
    scene.run(800)
    # Never run at first, then it may have: by the terms it came under it is not tried again.
    assert client.receive() == b"FAILED\r\n" and len(scene.accepted) == 2
    assert not scene.counters["exceptions"] and scene.is_idle()


@pytest.mark.parametrize("change", ["class removed", "server gone"])
def test_change_while_a_connection_is_restored(tmp_path, change):
    scene = Scene("scripted", probes=False)
    client = ScriptedClient(scene, "c1", "OPEN 1 7f c=plain,at=s1\r\n")
    server = scene.server_stream()
    if change == "class removed":
        settings = scene.config["settings"] | {"workloads": [scene.workload | {"name": "other"}]}
        scene.reload(tmp_path / "config", settings=settings)
        scene.run_until(lambda: scene.counters["configurations taken"])
    else:
        set_status(scene, "s1", "left")
    server.write(b"UP s1\r\n")
    scene.run(100)
    assert client.receive() == b"UP s1\r\n" and not scene.counters["exceptions"]
    client.leave("end")
    scene.run(50)
    server.shutdown_write()
    scene.run_until(scene.is_idle)
    assert scene.process.facade.connection_count == 0 and not scene.counters["exceptions"]


@pytest.mark.parametrize("probes", [False, True])
def test_server_is_drawn_again_after_two_late_connects(probes):
    harness = PolicyHarness(probes_allowed=probes)
    harness.list_servers(1, 2)
    harness.auto = {1: Report(5.0, 0.3), 2: Report(5.0, 0.3)}
    number, late = 0, 0
    while late < 2:
        number += 1
        if harness.login(number) == 1:
            late += 1
            harness.end_hand_off(number, Outcome.NOT_CONNECTED)
    harness.run(20_000)
    servers = [harness.login(later) for later in range(number + 1, number + 40)]
    assert 1 in servers and 2 in servers
    back = number + 1 + servers.index(1)
    harness.open_connection(back)
    harness.run(100)
    servers = [harness.login(later) for later in range(number + 41, number + 80)]
    assert servers.count(1) > 1  # as usual again, not one trial at a time


COLD = ColdRule(0.3, 9000 * MS, 3.0, 1000 * MS)


def with_cold_server() -> tuple[PolicyHarness, Callable[[], float]]:
    """Returns a scene whose only server has just started, and what is spent of its budget."""
    harness = PolicyHarness(cold=COLD)
    harness.run(10)
    harness.list_servers(1, started_at=harness.now)
    budget, server = harness.balancer._cold_budget, harness.balancer._registry.servers[1]
    return harness, lambda: budget.spent(harness.now, server)


@pytest.mark.parametrize("waited_ms", [0, 200])
def test_cold_budget_is_given_back_if_the_client_left_before_a_byte(waited_ms):
    harness, spent = with_cold_server()
    assert harness.login(1) == 1 and spent() == 1.0
    harness.run(waited_ms)
    harness.balancer.login_dropped(harness.now, 1, nothing_sent=True)
    assert spent() == pytest.approx(0.0)
    harness.balancer.login_dropped(harness.now, 1, nothing_sent=True)  # gives back once
    assert spent() == pytest.approx(0.0)


def test_cold_budget_is_given_back_once_if_others_used_what_drained():
    # Another hand-off has used what the server drained meanwhile: that is not given back again.
    harness, spent = with_cold_server()
    assert harness.login(1) == 1
    harness.run(1000)
    server = harness.balancer._registry.servers[1]
    harness.balancer._cold_budget.spend(harness.now, server, 1.0)
    harness.balancer.login_dropped(harness.now, 1, nothing_sent=True)
    assert spent() >= 1.0


def test_cold_budget_is_given_back_if_a_hand_off_was_not_sent():
    harness, spent = with_cold_server()
    assert harness.login(1) == 1
    harness.end_hand_off(1, Outcome.NOT_SENT)
    assert harness.hand_offs == [(1, 1), (1, 1)] and spent() == pytest.approx(1.0)


def test_cold_budget_stays_spent_if_the_login_was_sent():
    harness, spent = with_cold_server()
    assert harness.login(1) == 1
    harness.balancer.login_dropped(harness.now, 1)
    assert spent() == 1.0


@pytest.mark.parametrize("sent", [False, True])
def test_leaving_gives_back_the_cold_budget_unless_a_byte_was_sent(monkeypatch, sent):
    scene = Scene("scripted", probes=False)
    entry = scene.list_entry("s1") | {"since_ms": scene.now // MS}
    scene.process.facade.apply_listing(
        Scope.DELTA, parse_listing({"index": 2, "snapshot": False, "endpoints": [entry]})
    )
    balancer = scene.process.facade._balancer
    (server,) = balancer._registry.servers.values()
    client = ScriptedClient(scene, "c1")
    at_connect = []

    def connected() -> None:
        at_connect.append(balancer._cold_budget.spent(scene.now, server))
        if not sent:
            client.leave("end")

    on_server_connect(monkeypatch, scene, lambda stream: connected())
    scene.run_until(lambda: at_connect)
    if sent:
        scene.server_stream()
        client.leave("end")
    scene.run_until(scene.is_idle)
    assert at_connect == [1.0]
    left = balancer._cold_budget.spent(scene.now, server)
    assert left > 0.5 if sent else left == 0.0


def test_login_line_of_the_scene_is_well_formed():
    scene = Scene()
    scene.client("c1", OPEN)
    scene.run(200)
    assert scene.lines("c1 <") == ["c1 < UP s1"]
