"""Tests that force crossings of two events at the start and the end of a balancer process.

Most run a balancer in virtual time; those of signals, restarts and successions run real processes.
"""

import errno
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from harness import MS, BalancerHarness, reserve_port
from loop import wait_for

from corklift.net import stream as stream_module
from corklift.net.limits import Limits
from corklift.net.stream import Stream

PLAIN = {"name": "plain", "soft-limit-ns": 800 * MS, "time-limit-ns": 3200 * MS}
ONCE_ONLY = PLAIN | {"effect": "side_effect"}
# Of a real process; no discovery answers at this address.
CONFIG = {
    "listen": "",
    "discovery": "127.0.0.1:1",
    "seed": "5",
    "limits": {"memory_mb": 64, "sockets": 200},
    "known": {"index": 1, "snapshot": True, "endpoints": []},
    "settings": {
        "workloads": [PLAIN | {"time-limit-ns": 900 * MS}],
        "rules": {},
        "permissions": {"connect-timeout-ns": 200 * MS, "keepalive-ns": 5000 * MS},
    },
}


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


class Door:
    """A listening socket that can be out of descriptors for a while."""

    def __init__(self, sock) -> None:
        self._sock, self.is_short = sock, False
        self.fileno, self.close, self.getsockname = sock.fileno, sock.close, sock.getsockname

    def accept(self):
        if self.is_short:
            raise OSError(errno.EMFILE, "no descriptor")
        return self._sock.accept()


class LastMoment:
    """A component of the process; runs a function after the last client has gone."""

    def __init__(self, run) -> None:
        self.on_clients_drained = run

    def on_stop_requested(self) -> None:
        pass


def test_clients_queued_at_the_last_look_are_answered():
    harness = BalancerHarness("up")
    harness.run(1500)
    door = harness.process.relay._listeners[0] = Door(harness.process.relay._listeners[0])
    harness.spawn(lambda: (harness.sleep(400 * MS), setattr(door, "is_short", True)))

    def arrive():
        harness.sleep(450 * MS)
        for number in range(3):
            harness.client(f"c{number}", login(f"c{number}", 2000))

    harness.spawn(arrive)
    harness.client("warm", 10, None)  # the acceptor takes the new door with its next client
    harness.spawn(lambda: (harness.sleep(900 * MS), setattr(door, "is_short", False)))
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


# Real processes

# Starts a balancer that pauses at one point until told to go on: `POINT` names a module about to be
# imported, or a method of `Relay` that has just returned.
PAUSING = """
import os, runpy, sys
point = os.environ["POINT"]
def pause():
    print("paused", flush=True)
    sys.stdin.readline()
class Imports:
    def find_spec(self, name, path=None, target=None):
        if name == point:
            sys.meta_path.remove(imports)
            pause()
imports = Imports()
if point.startswith("corklift."):
    sys.meta_path.insert(0, imports)
else:
    from corklift.net.relay import Relay
    original = getattr(Relay, point)
    def paused(*arguments):
        result = original(*arguments)
        pause()
        return result
    setattr(Relay, point, paused)
sys.argv = ["corklift"]
runpy.run_module("corklift", run_name="__main__", alter_sys=True)
"""


class RealProcess:
    """A balancer in a process of its own, whose listening port is reserved before its start."""

    def __init__(self, directory, point="", **changes) -> None:
        self.reserved = reserve_port()
        self.address = self.reserved.getsockname()
        self.path = directory / "config.json"
        self.config = CONFIG | {"listen": f"127.0.0.1:{self.address[1]}"} | changes
        self.path.write_text(json.dumps(self.config))
        environment = os.environ | {"BALANCER_CONFIG": str(self.path), "POINT": point}
        self.process = subprocess.Popen(
            [sys.executable, *(("-c", PAUSING) if point else ("-m", "corklift"))],
            cwd=Path(__file__).parent.parent,
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        if point:
            assert self.process.stdout.readline() == "paused\n"

    def __enter__(self):
        return self

    def __exit__(self, *_) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.communicate()
        self.reserved.close()

    def signal(self, *numbers) -> None:
        for number in numbers:
            self.process.send_signal(number)

    def go_on(self) -> None:
        self.process.stdin.write("\n")
        self.process.stdin.flush()

    def connect(self, text=b"") -> socket.socket:
        """Returns a client that has sent the text, as soon as the balancer listens."""

        def attempt():
            try:
                return socket.create_connection(self.address, 10)
            except ConnectionRefusedError:
                return None

        client = wait_for(attempt)
        client.sendall(text)
        return client

    def end(self, seconds=10):
        """Waits for the end; returns the exit status and the log."""
        _, log = self.process.communicate(timeout=seconds)
        return self.process.returncode, log


def read_all(client):
    """Returns what the client still receives until the connection ends in an orderly way."""
    with client:
        content = b""
        while chunk := client.recv(4096):
            content += chunk
        return content


LOGIN = b"OPEN %b 7f c=plain,d=400\r\n"


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
    with RealProcess(tmp_path, "listen") as balancer:
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
