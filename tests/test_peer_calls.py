"""Calls between peers in virtual time, on sockets of loopback."""

import socket

import pytest
from harness import VirtualPoll

from corklift.membership.peers import PeerLinks, link_limits
from corklift.net.limits import MS, Counters
from corklift.net.scheduler import Scheduler
from corklift.rpc.server import RpcServer, unary

PERIOD = 500 * MS
PATH = "/test/Echo"
# So many that a millisecond for each takes longer than a period.
HELD_CONNECTIONS = 520


class Peers:
    """A server of peers' calls, and a peer that calls it."""

    def __init__(self) -> None:
        self.now = 0
        self._errors: list[str] = []
        self._scheduler = Scheduler(lambda: self.now, self._errors.append, VirtualPoll(self))
        limits = link_limits(2, PERIOD)
        self.server = RpcServer(
            self._scheduler, limits, Counters(), {PATH: unary(lambda call, request: request)}
        )
        self.address = ("127.0.0.1", self.server.listen(("127.0.0.1", 0)))
        self._links = PeerLinks(self._scheduler, limits, Counters(), 1)

    def serve(self) -> None:
        self._scheduler.spawn(self.server.accept_loop)

    def call(self, request: bytes) -> bytes:
        """Returns the reply to a call of one period."""
        outcomes: list[bytes | Exception] = []

        def run() -> None:
            try:
                host, port = self.address
                outcomes.append(
                    self._links.unary(f"{host}:{port}", PATH, request, self.now + PERIOD)
                )
            except Exception as problem:
                outcomes.append(problem)
            self._scheduler.stop()

        self._scheduler.spawn(run)
        self._scheduler.run()
        assert not self._errors
        (outcome,) = outcomes
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


@pytest.fixture
def peers():
    return Peers()


# Each connection that made way took a millisecond, and a call behind hundreds of them was late.
def test_call_behind_hundreds_of_held_connections_has_its_reply_within_a_period(peers):
    held = [socket.create_connection(peers.address, 5) for _ in range(HELD_CONNECTIONS)]
    try:
        peers.serve()
        assert peers.call(b"hello") == b"hello"
        assert peers.now < PERIOD
    finally:
        for sock in held:
            sock.close()
