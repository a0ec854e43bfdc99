"""Crossings on an established connection: endings, moves, silence, full buffers and leavings.

A balancer process on loopback sockets in virtual time; stand-ins decide the order of events.
"""

import socket

import pytest
from crossings import (
    LEAVINGS,
    Scene,
    ScriptedClient,
    has_ended,
    on_server_connect,
    received,
    until_delivered,
)

from corklift.net.limits import SECOND
from corklift.net.relay import LINE_BATCH
from corklift.net.stream import Stream

UP = b"UP s1\r\n"
ENDINGS = {b"BYE\r\n": "fulfilled", b"BYE inflight=7\r\n": "fulfilled", b"MOVE\r\n": "cancelled"}


def established(**settings) -> tuple[Scene, ScriptedClient, Stream]:
    """Returns a scene with one connection, its client and its server."""
    scene = Scene("scripted", probes=False, **settings)
    client = ScriptedClient(scene, "c1")
    return scene, client, scene.open_connection(client)


def ask_to_move(scene: Scene) -> None:
    """The decisions move the one connection."""
    (number,) = scene.process.relay._connections
    scene.process.facade.move(number)


def check_ended(scene: Scene, outcome: str) -> None:
    """Checks that the connection has ended, was counted once, and with this outcome."""
    scene.run_until(scene.is_idle)
    assert scene.counters[f"connections {outcome}"] == scene.counters["connections up"] == 1
    assert scene.process.facade.connection_count == 0 and not scene.counters["exceptions"]


@pytest.mark.parametrize("move_first", [True, False])
@pytest.mark.parametrize("ending", ENDINGS)
def test_servers_ending_in_the_turn_of_our_move(ending, move_first):
    # One side alone could also end the connection; together they are one ending for the client.
    scene, client, server = established()
    if move_first:
        ask_to_move(scene)
    server.write(ending)
    until_delivered(server)
    if not move_first:
        ask_to_move(scene)
    scene.run(50)
    # Our move may come before the server's line is read; the client reads one ending in any case.
    outcomes = {UP + b"MOVE\r\n": "cancelled", UP + ending: ENDINGS[ending]}
    assert client.receive() in outcomes and client.stream.peer_closed
    assert has_ended(server)
    client.stream.close()
    check_ended(scene, outcomes[client.receive()])


@pytest.mark.parametrize("ending", ENDINGS)
def test_our_move_after_the_servers_ending_and_before_its_close(ending):
    scene, client, server = established()
    server.write(b"a line\r\n" + ending)
    scene.run(50)
    assert client.receive() == UP + b"a line\r\n" + ending and not client.stream.peer_closed
    ask_to_move(scene)
    scene.run(50)
    assert client.receive() == UP + b"a line\r\n" + ending and client.stream.peer_closed
    client.stream.close()
    check_ended(scene, ENDINGS[ending])


@pytest.mark.parametrize("ending", ENDINGS)
def test_servers_ending_after_our_move_is_not_passed_on(ending):
    scene, client, server = established()
    ask_to_move(scene)
    scene.run(50)
    server.write(ending)
    scene.run(50)
    assert client.receive() == UP + b"MOVE\r\n" and client.stream.peer_closed
    client.stream.close()
    check_ended(scene, "cancelled")


@pytest.mark.parametrize("ending", ENDINGS)
def test_servers_ending_in_the_turn_in_which_silence_is_found(ending):
    scene, client, server = established()
    client.stream.write(b"one\r\n")
    scene.run_until(lambda: received(server).endswith(b"one\r\n"))
    server.write(ending)
    until_delivered(server)
    scene.now += 6 * SECOND
    scene.run(50)
    assert client.receive() == UP + ending
    assert not scene.counters["clients moved from silence"]


@pytest.mark.parametrize("ending", ENDINGS)
def test_line_without_end_after_the_servers_ending(ending):
    scene, client, server = established()
    server.write(ending + b"x" * 5000)
    scene.run(50)
    assert client.receive() == UP + ending and client.stream.peer_closed


@pytest.mark.parametrize("silent", [True, False])
def test_no_half_line_before_our_move(silent):
    scene, client, server = established()
    if silent:
        client.stream.write(b"one\r\n")
        scene.run_until(lambda: received(server).endswith(b"one\r\n"))
    server.write(b"whole\r\nhalf a li")
    until_delivered(server)
    if silent:
        scene.run(50)
        client.stream.write(b"two\r\n")
        scene.run(5100)
    else:
        ask_to_move(scene)
    scene.run(50)
    moved = (UP + b"MOVE\r\n", UP + b"whole\r\nMOVE\r\n")
    assert client.receive() in moved and client.stream.peer_closed


def test_half_line_and_end_in_the_turn_of_our_move():
    scene, client, server = established()
    server.write(b"half a li")
    server.shutdown_write()
    until_delivered(server)
    ask_to_move(scene)
    scene.run(50)
    assert client.receive() in (UP + b"half a li", UP + b"MOVE\r\n") and client.stream.peer_closed


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("also_move", [True, False])
def test_servers_last_line_end_and_reset_in_one_turn(ending, also_move):
    # A server that closes over an unread line of the client resets right after its last line.
    scene, client, server = established()
    server.write(b"a line\r\n" + ending)
    until_delivered(server)
    server.abort()
    if also_move:
        ask_to_move(scene)
    scene.run(50)
    outcomes = {UP + b"a line\r\n" + ending: ENDINGS[ending]}
    if also_move:
        outcomes[UP + b"MOVE\r\n"] = "cancelled"
    assert client.receive() in outcomes
    assert client.stream.peer_closed and not client.stream.broken
    client.stream.close()
    check_ended(scene, outcomes[client.receive()])


def test_servers_reset_without_an_ending_is_passed_on():
    scene, client, server = established()
    server.write(b"a line\r\n")
    until_delivered(server)
    server.abort()
    scene.run(50)
    assert has_ended(client.stream) and client.stream.broken
    check_ended(scene, "broken")


# A client left by a reset, and the lines that lay unread in the system's buffer were sent on.
def test_lines_that_lie_unread_when_the_client_resets_are_not_sent_on():
    scene, client, server = established()
    server.receive_buffer.discard(len(server.receive_buffer))
    lines = b"".join(b"%07d\r\n" % number for number in range(900))
    for _ in range(6):  # more than the balancer's own buffers hold
        client.stream.write(lines)
    until_delivered(client.stream)
    client.stream.abort()
    scene.run(50)
    assert has_ended(server) and received(server) == b""
    check_ended(scene, "cancelled")


# One connection of many short lines took thousands of them in a turn, and all others waited.
def test_lines_of_one_connection_are_forwarded_in_small_batches(monkeypatch):
    scene, client, server = established()
    server.receive_buffer.discard(len(server.receive_buffer))
    batches = []
    forward = scene.process.relay._forward_lines

    def counted(source, sink, lines):
        result = forward(source, sink, lines)
        batches.append(len(lines))
        return result

    monkeypatch.setattr(scene.process.relay, "_forward_lines", counted)
    client.stream.write(b"\n" * 8000)
    until_delivered(client.stream)
    for _ in range(20):
        scene.run(5)
        received(server)
    assert sum(batches) == 8000 and max(batches) == LINE_BATCH
    assert received(server) == b"\n" * 8000


def narrow(monkeypatch) -> tuple[Scene, ScriptedClient, Stream]:
    """As `established`, with small buffers in the kernel, so that they are soon full."""
    scene = Scene("scripted", probes=False)
    scene.upstreams = []  # the balancer's streams to the server
    on_server_connect(monkeypatch, scene, scene.upstreams.append)
    on_server_connect(monkeypatch, scene, shrink_buffers)
    for listener in (scene.listeners["s1"], *scene.process.relay._listeners):
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            listener.setsockopt(socket.SOL_SOCKET, option, 4096)
    client = ScriptedClient(scene, "c1")
    shrink_buffers(client.stream)
    server = scene.open_connection(client)
    for stream in (client.stream, server):
        stream.receive_buffer.discard(len(stream.receive_buffer))
    return scene, client, server


def shrink_buffers(stream: Stream) -> None:
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        stream._sock.setsockopt(socket.SOL_SOCKET, option, 4096)


def fill(scene: Scene, stream: Stream) -> bytes:
    """Writes numbered lines until nothing moves any more; returns the bytes that were sent."""
    content, idle = b"", 0
    for _ in range(500):
        part = b"".join(
            b"%07d\r\n" % (len(content) // 9 + number)
            for number in range(stream.send_buffer.free_bytes // 9)
        )
        content += part
        stream.send_buffer.append(part)
        before = len(stream.send_buffer)
        scene.run(1)
        stream.flush()
        idle = idle + 1 if len(stream.send_buffer) == before else 0
        if idle > 10:
            break
    assert idle > 10, "the buffers are never full"
    unsent = len(stream.send_buffer)
    stream.send_buffer.discard(unsent)
    return content[: len(content) - unsent]


def read_to_the_end(scene: Scene, stream: Stream) -> bytes:
    """Reads a little at a time, so that the balancer's buffers stay full for long."""
    content = b""
    for _ in range(1000):
        scene.run(1)
        try:
            part = stream._sock.recv(200)
        except BlockingIOError:
            continue
        except ConnectionResetError:
            stream.broken = True
            return content
        if not part:
            return content
        content += part
    raise AssertionError("no end")


@pytest.mark.parametrize("how", ["end", "reset"])
def test_servers_end_with_a_full_buffer_towards_the_client(monkeypatch, how):
    # The client reads nothing until the server has ended; then it reads each line, once, in order.
    scene, client, server = narrow(monkeypatch)
    sent = fill(scene, server)
    server.shutdown_write() if how == "end" else server.abort()
    scene.run(20)
    got = read_to_the_end(scene, client.stream)
    assert sent.startswith(got)
    if how == "end":
        assert got == sent and not client.stream.broken


def test_servers_end_behind_lines_that_wait_for_the_client(monkeypatch):
    # The end is read while the last lines still wait in the balancer for room towards the client.
    scene, client, server = narrow(monkeypatch)
    sent, waiting = b"", scene.upstreams[0].receive_buffer
    still = 0  # how long lines have waited, in turns
    while still < 20:
        assert len(sent) < 1_000_000, "the buffers are never full"
        if not len(waiting):
            part = b"".join(b"%07d\r\n" % (len(sent) // 9 + number) for number in range(100))
            server.write(part)
            sent += part
        scene.run(3)
        still = still + 1 if len(waiting) else 0
    server.write(b"BYE\r\n")
    server.shutdown_write()
    until_delivered(server)
    scene.run(20)
    assert scene.upstreams[0].peer_closed and len(waiting)
    assert read_to_the_end(scene, client.stream) == sent + b"BYE\r\n"
    client.stream.close()
    check_ended(scene, "fulfilled")


def test_clients_end_with_a_full_buffer_towards_the_server(monkeypatch):
    scene, client, server = narrow(monkeypatch)
    sent = fill(scene, client.stream)
    client.stream.shutdown_write()
    scene.run(20)
    assert read_to_the_end(scene, server) == sent and not server.broken
    server.shutdown_write()
    scene.run_until(lambda: has_ended(client.stream))
    check_ended(scene, "broken")


def test_client_that_reads_nothing_is_moved_once_it_reads(monkeypatch):
    scene, client, server = narrow(monkeypatch)
    sent = fill(scene, server)
    ask_to_move(scene)
    scene.run(50)
    got = read_to_the_end(scene, client.stream)
    assert got.endswith(b"\r\nMOVE\r\n") and not client.stream.broken
    assert sent.startswith(got.removesuffix(b"MOVE\r\n")) and has_ended(server)


@pytest.mark.parametrize("how", LEAVINGS)
@pytest.mark.parametrize("up_first", [True, False])
def test_leaving_in_the_turn_of_up(how, up_first):
    scene = Scene("scripted", probes=False)
    client = ScriptedClient(scene, "c1")
    server = scene.server_stream()
    line = received(server)
    for step in ("up", "leave") if up_first else ("leave", "up"):
        if step == "up":
            server.write(UP)
            until_delivered(server)
        else:
            client.leave(how)
    scene.run(100)
    assert has_ended(server) and received(server) == line
    server.close()
    scene.run_until(scene.is_idle)
    assert scene.process.facade.connection_count == 0 and not scene.counters["exceptions"]
    assert len(scene.accepted) == 1


@pytest.mark.parametrize("how", ["end", "reset", "line and end"])
def test_leaving_right_after_up_is_counted_once(how):
    scene, client, server = established()
    client.leave(how)
    scene.run(100)
    assert has_ended(server)
    expected = b"more\r\n" if how == "line and end" else b""
    assert received(server).partition(b"\r\n")[2] == expected
    server.close()
    scene.run_until(scene.is_idle)
    assert scene.process.facade.connection_count == 0
    assert sum(scene.counters[f"connections {o}"] for o in ("broken", "cancelled")) == 1


def test_client_comes_again_while_its_old_connection_is_being_ended():
    # The server keeps its side of the old connection open, so that this one ends after a while.
    scene, client, server = established()
    client.leave("end")
    scene.run(50)
    again = ScriptedClient(scene, "c2")
    second = scene.open_connection(again)
    assert scene.process.facade.connection_count == 2 and not server.closed
    scene.run(1500)
    assert scene.process.facade.connection_count == 1 and has_ended(server)
    second.write(b"for the new one\r\n")
    scene.run(50)
    assert again.receive() == UP + b"for the new one\r\n"
    # The old name is still reserved, the new one is in use.
    twin = ScriptedClient(scene, "c2")
    scene.run(50)
    assert twin.receive() == b"ERR\r\n" and len(scene.accepted) == 2


def local_values(task) -> list:
    """Returns the values of all local variables of a task that waits."""
    frame, values = task._greenlet.gr_frame, []
    while frame is not None:
        values += frame.f_locals.values()
        frame = frame.f_back
    return values


# Each connection kept the lines of its last turn while it waited, 14 KB of 1,000-byte lines, which
# no limit counted: a process of `serve` came to 37 MB of 32.
def test_connection_that_waits_keeps_no_line_that_it_has_forwarded():
    scene, client, server = established()
    lines = [b"%d" % number + b"x" * 700 + b"\r\n" for number in range(5)]
    for stream in (client.stream, server):
        stream.write(b"".join(lines))
    scene.run(50)
    assert received(client.stream) == UP + b"".join(lines)
    (handle,) = scene.process.relay._connections.values()
    values = local_values(handle.task)
    assert any(isinstance(value, Stream) for value in values)
    for value in values:
        for part in value if isinstance(value, list) else [value]:
            assert part not in lines
