"""Tests that force crossings of two events at the start and the end of a balancer process.

Most run a balancer in virtual time; those of signals, restarts and successions run real processes.
"""

import errno
import os
import signal
import socket
import time

import pytest
from harness import MS, BalancerHarness, reserve_port
from real_process import CONFIG, LOGIN, RealProcess, read_all

from corklift.net import stream as stream_module
from corklift.net.limits import Limits
from corklift.net.scheduler import WRITE
from corklift.net.stream import Stream

PLAIN = {"name": "plain", "soft-limit-ns": 800 * MS, "time-limit-ns": 3200 * MS}
ONCE_ONLY = PLAIN | {"effect": "side_effect"}


def connect_from(monkeypatch, port):
    """Makes each stream's connect start from this port, as the system may choose by chance."""

    class BoundSocket(socket.socket):
        def connect_ex(self, address):
            self.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.bind(("127.0.0.1", port))
            return super().connect_ex(address)

    monkeypatch.setattr(stream_module.socket, "socket", BoundSocket)


def test_connect_that_reaches_its_own_socket_has_failed(monkeypatch):
    with reserve_port() as reserved:
        address = reserved.getsockname()
        with socket.socket() as plain, pytest.raises(ConnectionRefusedError):
            plain.connect(address)  # no connect is given a reserved port as its own
    connect_from(monkeypatch, address[1])
    limits = Limits(clients=1, waiting=1, probes=1, connect_time=1, stop_time=1)
    stream = Stream.connect(address, limits)
    monkeypatch.undo()
    assert stream._sock.getsockname() == stream._sock.getpeername() == address
    assert stream.connect_failed() and stream.broken
    stream.close()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        stream = Stream.connect(listener.getsockname(), limits)
        listener.accept()[0].close()
        assert not stream.connect_failed()
        stream.close()


def test_login_whose_connect_reaches_its_own_socket_has_never_run(monkeypatch):
    # The balancer would read its own line back and take it for an answer of the server, so that a
    # once-only login would fail although no server has seen it.
    harness = BalancerHarness("up", workloads=[ONCE_ONLY])
    harness.run(1500)
    harness.listeners["s1"].close()
    harness.client("c1", "OPEN 1 7f c=plain,d=2000\r\n")
    connect_from(monkeypatch, harness.ports["s1"])
    harness.run(1500)
    answers = [line.split()[1:] for line in harness.trace if "c1 <" in line]
    assert [answer[:3] for answer in answers] == [["c1", "<", "BUSY"]]
    assert harness.counters["hand-offs not connected"] and not harness.counters["hand-offs error"]


# The end of a process, in virtual time


def hold(harness, stream, line):
    """Behaviour of a server that answers probes, but never a login."""


def answers(harness):
    """Returns the clients' lines in their order, as client and keyword."""
    return [
        f"{line.split()[1]} {line.split()[3]}"
        for line in harness.trace
        if line.split()[2] == "<" and line.split()[1].startswith("c")
    ]


def stop(harness):
    """Stops the balancer and returns after how many ms its process ends."""
    began = harness.now
    harness.process.request_stop()
    harness.process.scheduler.run()
    return (harness.now - began) / MS


def login(name, wait):
    return f"OPEN {name} 7f c=plain,d={wait}\r\n"


@pytest.mark.parametrize(
    "limit, known",
    [(3200, True), (900, True), (10_000, True), (3200, False)],
)
def test_each_login_has_its_answer_before_the_end_whatever_hangs(limit, known):
    # SIGKILL comes 0.7 s after the longest time limit, or after 3 s if that is less.
    harness = BalancerHarness(
        hold,
        known=known,
        workloads=[PLAIN | {"time-limit-ns": limit * MS}],
        extra_config=None if known else {"discovery": "127.0.0.1:1"},
    )
    harness.run(2000)
    harness.client("c1", login("c1", limit))
    harness.run(50)
    harness.client("c2", 450, login("c2", limit))
    harness.client("c3", 480, login("c3", limit)[:-7], 10, login("c3", limit)[-7:])
    harness.client("c4", 600, login("c4", limit))
    assert stop(harness) <= min(limit, 3000) + 600
    harness.run(50)  # for the clients alone; the process has ended
    received = answers(harness)
    assert sorted(answer.split()[0] for answer in received) == ["c1", "c2", "c3", "c4"]
    assert "c4 BUSY" in received and not harness.counters["exceptions"]
    assert not harness.process.facade.in_flight


def test_half_a_line_is_answered_and_a_silent_client_closed_before_the_end():
    harness = BalancerHarness("up", workloads=[PLAIN | {"time-limit-ns": 400 * MS}])
    harness.run(2000)
    harness.client("c1", "OPEN c1 7f c=pl")
    harness.client("c2")
    harness.client("c3", 610, "OPEN c3 7f c=plain,", 20, "d=300\r\n")
    harness.client("c4", 690, "OPEN c4 7f c=plain,", 20, "d=300\r\n")
    assert stop(harness) <= 1100
    harness.run(50)
    assert answers(harness)[0] == "c3 BUSY" and sorted(answers(harness)[1:]) == ["c1 ERR", "c4 ERR"]
    assert [line.split()[1:] for line in harness.trace if " c2 " in line] == [["c2", "ended"]]


def test_login_that_waits_for_a_decision_is_answered_before_the_end():
    harness = BalancerHarness("up", workloads=[PLAIN | {"time-limit-ns": 10_000 * MS}])
    harness.run(2000)
    # Whatever the decisions wait for.
    harness.process.facade._balancer.login_arrived = lambda now, login: None
    harness.client("c1", login("c1", 10_000))
    harness.run(100)
    harness.client("c2", 490, login("c2", 10_000))
    assert stop(harness) <= 3600
    harness.run(50)
    assert sorted(answers(harness)) == ["c1 FAILED", "c2 FAILED"]
    assert not harness.counters["exceptions"]


@pytest.mark.parametrize("behaviour", [hold, "reset"])
def test_connection_that_is_being_restored_is_answered_before_the_end(behaviour):
    # Its hand-off is out at a server that hangs, or it waits for the next try.
    harness = BalancerHarness(behaviour)
    harness.run(2000)
    harness.client("c1", "OPEN 1 7f c=plain,at=s1\r\n")
    harness.run(100)
    assert stop(harness) <= 3600
    harness.run(50)
    assert answers(harness) == ["c1 FAILED"] and not harness.process.relay.in_flight
    assert not harness.counters["exceptions"]


@pytest.mark.parametrize("limit", [60, 90, 200])
def test_connections_are_moved_although_the_time_limits_are_short(limit):
    # SIGKILL comes 0.7 s after the longest one, hardly later than the last new clients.
    times = {"soft-limit-ns": limit * MS // 2, "time-limit-ns": limit * MS}
    harness = BalancerHarness("up", workloads=[PLAIN | times])
    harness.run(2000)
    for number in range(5):
        harness.client(f"c{number}", login(f"c{number}", limit))
    harness.run(100)
    harness.client("c5", 200, login("c5", limit))
    assert stop(harness) <= limit + 600
    harness.run(50)
    expected = {f"c{number} {word}" for number in range(6) for word in ("UP", "MOVE")}
    assert set(answers(harness)) == expected and len(answers(harness)) == 12


@pytest.mark.parametrize("up_at, expected", [(3280, "c1 UP, c1 MOVE"), (3310, "c1 FAILED")])
def test_up_in_the_last_moment_is_moved_or_never_passed_on(up_at, expected):
    patient = ONCE_ONLY | {"soft-limit-ns": 9800 * MS, "time-limit-ns": 10_000 * MS}
    harness = BalancerHarness(hold, workloads=[patient])
    harness.run(2000)
    asked_at = harness.now + 20 * MS

    def answer_late(harness, stream, line):
        harness.sleep(asked_at + up_at * MS - harness.now)
        if not stream.broken:
            stream.write(b"UP s1\r\n")

    harness.behaviour["s1"] = answer_late
    harness.client("c1", login("c1", 10_000))
    harness.run(20)
    assert stop(harness) <= 3600
    harness.run(50)
    assert ", ".join(answers(harness)) == expected
    lines = [line.split()[2:4] for line in harness.trace if line.split()[1] == "s1"]
    assert lines in ([["<", "OPEN"], ["ended"]], [["<", "OPEN"], ["reset"]])


def test_client_that_comes_again_at_once_is_answered_or_refused():
    harness = BalancerHarness("up")
    harness.run(2000)
    ends = []

    def come_again():
        for number in range(1000):
            stream = Stream.connect(("127.0.0.1", harness.process.port), harness.limits)
            harness.wait({stream.fd: WRITE})
            if stream.connect_failed():
                return ends.append("refused")
            stream.write(login(f"c{number}", 2000).encode())
            ends.append(" ".join(line.split()[0] for line in harness.read_lines(stream)))
            stream.close()
            harness.sleep(5 * MS)

    harness.spawn(come_again)
    harness.process._components.append(LastMoment(lambda: harness.sleep(20 * MS)))
    stop(harness)
    assert ends[-1] == "refused" and set(ends[:-1]) <= {"UP MOVE", "BUSY"} and len(ends) > 2


def test_reloads_during_a_stop_change_neither_its_time_nor_the_door(tmp_path):
    harness = BalancerHarness(hold, workloads=[ONCE_ONLY | {"time-limit-ns": 900 * MS}])
    harness.run(2000)
    harness.behaviour["s1"] = "up"
    staying = Stream.connect(("127.0.0.1", harness.process.port), harness.limits)
    staying.write(login("c0", 900).encode())  # doesn't end its side when it is moved
    harness.run(50)
    harness.behaviour["s1"] = hold
    harness.client("c1", 400, login("c1", 900))
    harness.client("c2")  # sends nothing
    path, port = tmp_path / "config.json", harness.process.port

    def reload():
        harness.sleep(450 * MS)
        longer = [ONCE_ONLY | {"time-limit-ns": 9000 * MS}]
        settings = harness.config["settings"] | {"workloads": longer}
        harness.reload(path, settings=settings, listen="127.0.0.2:0")
        harness.sleep(10 * MS)
        harness.reload(path, settings={})
        harness.sleep(10 * MS)
        path.write_text("{")
        harness.process.reload()
        harness.process.request_stop()

    harness.spawn(reload)
    assert stop(harness) <= 1400
    harness.run(50)
    staying.receive()
    assert staying.read_line() == b"UP s1\r\n" and staying.read_line() == b"MOVE\r\n"
    assert len([line for line in harness.trace if "told to stop" in line]) == 1
    assert answers(harness) == ["c1 FAILED"] and harness.process.port == port
    assert harness.counters["configurations taken"] == 1
    assert harness.counters["configurations refused"] == 2


class Door:
    """A listening socket whose accept can fail for a while."""

    def __init__(self, sock) -> None:
        self._sock, self.error = sock, 0
        self.fileno, self.close, self.getsockname = sock.fileno, sock.close, sock.getsockname

    def accept(self):
        if self.error:
            raise OSError(self.error, "accept")
        return self._sock.accept()


class LastMoment:
    """A component of the process; runs a function after the last client has gone."""

    def __init__(self, run) -> None:
        self.on_clients_drained = run

    def on_stop_requested(self) -> None:
        pass


@pytest.mark.parametrize("error", [errno.EMFILE, errno.EPROTO])
def test_clients_queued_at_the_last_look_are_answered(error):
    harness = BalancerHarness("up")
    harness.run(1500)
    door = harness.process.relay._listeners[0] = Door(harness.process.relay._listeners[0])
    harness.spawn(lambda: (harness.sleep(400 * MS), setattr(door, "error", error)))

    def arrive():
        harness.sleep(450 * MS)
        for number in range(3):
            harness.client(f"c{number}", login(f"c{number}", 2000))

    harness.spawn(arrive)
    harness.client("warm", 10, None)  # the acceptor takes the new door with its next client
    harness.spawn(lambda: (harness.sleep(900 * MS), setattr(door, "error", 0)))
    stop(harness)
    harness.run(50)
    assert answers(harness) == ["c0 BUSY", "c1 BUSY", "c2 BUSY"]


def test_nobody_is_queued_once_the_last_client_has_gone():
    # A client that the system accepts for a process that is about to exit would be reset.
    harness = BalancerHarness("up")
    harness.run(1500)
    address, codes = ("127.0.0.1", harness.process.port), []

    def connect():
        with socket.socket() as sock:
            codes.append(sock.connect_ex(address))

    harness.process._components.append(LastMoment(connect))
    stop(harness)
    assert codes == [errno.ECONNREFUSED]


# A reload between two tries, in virtual time


@pytest.mark.parametrize("change", ["class", "deadlines", "limits"])
def test_login_is_answered_by_what_it_came_under(tmp_path, change):
    # The first server holds the login until the reload is over, and then refuses it.
    harness = BalancerHarness("up", "up", workloads=[PLAIN])
    harness.run(2000)
    streams = []
    for name in harness.behaviour:
        harness.behaviour[name] = lambda harness, stream, line: streams.append(stream)
    harness.client("c1", login("c1", 3000))
    while not streams:
        harness.run(10)
    settings = harness.config["settings"]
    changes = {
        "class": {"settings": settings | {"workloads": [PLAIN | {"name": "other"}]}},
        "deadlines": {
            "settings": settings
            | {"workloads": [PLAIN | {"soft-limit-ns": 50 * MS, "time-limit-ns": 100 * MS}]}
        },
        "limits": {"limits": harness.config["limits"] | {"sockets": 60}},
    }
    harness.reload(tmp_path / "config.json", **changes[change])
    harness.run(150)
    for name in harness.behaviour:
        harness.behaviour[name] = "up"
    streams[0].write(b"BUSY\r\n")
    harness.run(100)
    assert answers(harness) == ["c1 UP"] and not harness.counters["exceptions"]
    assert harness.counters.answers == {("served", "plain"): 1}
    assert harness.counters["configurations taken"] == 1


def test_connection_is_restored_although_its_class_is_gone_by_then(tmp_path):
    harness = BalancerHarness("up", workloads=[PLAIN])
    harness.run(2000)
    streams = []
    harness.behaviour["s1"] = lambda harness, stream, line: streams.append(stream)
    harness.client("c1", "OPEN 1 7f c=plain,at=s1\r\n")
    while not streams:
        harness.run(10)
    settings = harness.config["settings"] | {"workloads": [PLAIN | {"name": "other"}]}
    harness.reload(tmp_path / "config.json", settings=settings)
    harness.run(50)
    streams[0].write(b"UP s1\r\n")
    harness.run(50)
    assert answers(harness) == ["c1 UP"] and not harness.counters["exceptions"]
    assert stop(harness) <= 3600
    assert answers(harness) == ["c1 UP", "c1 MOVE"]


# Real processes


@pytest.mark.parametrize("signals", ["SIGTERM", "SIGINT", "SIGHUP SIGTERM", "SIGTERM SIGTERM"])
def test_stop_during_the_imports_ends_the_process_before_it_listens(tmp_path, signals):
    with RealProcess(tmp_path, "corklift.net.relay") as balancer:
        balancer.signal(*(getattr(signal, name) for name in signals.split()))
        balancer.go_on()
        code, log = balancer.end()
        assert (code, log) == (0, "")


@pytest.mark.parametrize("signals", ["SIGTERM", "SIGHUP SIGTERM", "SIGTERM SIGHUP SIGTERM"])
def test_stop_before_the_first_accept_answers_the_queued_clients(tmp_path, signals):
    # The listening socket is open, and nothing else is assembled yet.
    with RealProcess(tmp_path, "corklift.net.relay:Relay.listen") as balancer:
        clients = [balancer.connect(LOGIN % (b"c%d" % number)) for number in range(3)]
        clients.append(balancer.connect(b"nonsense\r\n"))
        balancer.signal(*(getattr(signal, name) for name in signals.split()))
        balancer.go_on()
        answers = [read_all(client) for client in clients]
        assert answers[3] == b"ERR\r\n" and {answer[:4] for answer in answers[:3]} <= {
            b"BUSY",
            b"FAIL",
        }
        code, log = balancer.end()
        assert code == 0 and "told to stop" in log and "exception" not in log
        assert log.count("configuration read anew") == ("SIGHUP" in signals)


def test_early_reload_and_counters_end_no_process(tmp_path):
    with RealProcess(tmp_path, "corklift.net.relay") as balancer:
        balancer.signal(signal.SIGHUP, signal.SIGUSR1)
        balancer.go_on()
        assert read_all(balancer.connect(LOGIN % b"c1"))
        balancer.signal(signal.SIGTERM)
        code, log = balancer.end()
        assert code == 0 and "configuration read anew" in log and log.count("counters: ") == 2


def test_process_ends_before_the_kill_while_servers_hang_and_nobody_reads_the_log(tmp_path):
    # The pipe of standard error is full. The server's system accepts, and nobody answers.
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    while write_some(writer):
        pass
    os.set_blocking(writer, True)
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        entry = {"name": "s1", "address": address, "status": "active"}
        known = CONFIG["known"] | {"endpoints": [entry]}
        with RealProcess(tmp_path, stderr=writer, known=known) as balancer:
            first = balancer.connect(LOGIN.replace(b"400", b"900") % b"c1")
            hand_off, _ = server.accept()
            assert hand_off.recv(4)
            began = time.monotonic()
            balancer.signal(signal.SIGTERM)
            second = balancer.connect(LOGIN % b"c2")
            assert read_all(first) and read_all(second)
            assert balancer.process.wait(5) == 0
            # SIGKILL comes 0.7 s after the longest time limit.
            assert time.monotonic() - began < 0.9 + 0.7
            hand_off.close()
    os.close(reader)
    os.close(writer)


def write_some(fd):
    try:
        return os.write(fd, b"x" * 512)
    except BlockingIOError:
        return 0
