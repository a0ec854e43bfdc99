"""Tests that force crossings of two events at the start and the end of a balancer process.

Most run a balancer in virtual time; those of signals, restarts and successions run real processes.
"""

import socket

import pytest
from harness import BalancerHarness, reserve_port

from corklift.net import stream as stream_module
from corklift.net.limits import Limits
from corklift.net.stream import Stream

ONCE_ONLY = {
    "name": "plain",
    "effect": "side_effect",
    "soft-limit-ns": 800_000_000,
    "time-limit-ns": 3_200_000_000,
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
