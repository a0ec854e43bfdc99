"""Crossings of a client's leaving with what its login waits for.

A balancer process on loopback sockets in virtual time; stand-ins decide the order of events.
"""

import pytest
from crossings import (
    LEAVINGS,
    OPEN,
    Scene,
    ScriptedClient,
    has_ended,
    late_server,
    lines_of_all,
    on_server_connect,
    received,
    write_partly,
)


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
    late, _fillers = late_server(scene)
    client = ScriptedClient(scene, "c1")
    scene.run_until(lambda: scene.counters["hand-offs"])
    assert not scene.counters["hand-offs written"]
    client.leave(how)
    scene.check_given_up()
    lines = lines_of_all(scene, late)
    assert lines == [b""] * len(lines) and lines
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
    scene = Scene("scripted", probes=False)
    client = ScriptedClient(scene, "c1")

    on_server_connect(
        monkeypatch, scene, lambda stream: write_partly(stream, lambda: client.leave(how))
    )
    scene.run_until(lambda: scene.counters["hand-offs"])
    scene.check_given_up()
    server = scene.accepted[0]
    assert received(server) == b"OPEN c1 7f" and has_ended(server) and len(scene.accepted) == 1
    assert not scene.counters["hand-offs written"]


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
