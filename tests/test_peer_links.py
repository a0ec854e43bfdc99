"""Tests of the connections on which balancers call each other, against a server on loopback."""

import pytest
from loop import Loop, wait_for

from corklift.membership.peers import PeerLinks, link_limits
from corklift.net.limits import MS, SECOND
from corklift.rpc.core import Code, RpcError
from corklift.rpc.server import RpcServer, unary

LIMITS = link_limits(4, SECOND)


class LinkLoop(Loop):
    """A server that holds the answers to the requests named in `held`, and links to call it."""

    def __init__(self):
        super().__init__()
        self.held = set()
        self.server = RpcServer(
            self.scheduler, LIMITS, self.counters, {"/echo": unary(self._answer)}
        )
        self.links = PeerLinks(self.scheduler, LIMITS, self.counters, 4)
        # Each request that arrived, with the connection that it came on.
        self.requests = []

    def __enter__(self):
        super().__enter__()
        self.address = f"127.0.0.1:{self.do(lambda: self.server.listen(('127.0.0.1', 0)))}"
        self.do(lambda: self.scheduler.spawn(self.server.accept_loop))
        return self

    def _answer(self, call, request):
        self.requests.append((request, call.peer))
        while request in self.held:
            self.scheduler.sleep(MS)
        return request

    def call(self, request, timeout=8 * SECOND):
        return self.do(lambda: self.unary(request, timeout))

    def unary(self, request, timeout):
        return self.links.unary(self.address, "/echo", request, self.scheduler.now() + timeout)


def test_a_link_that_swallowed_a_call_is_not_used_again():
    with LinkLoop() as loop:
        assert loop.call(b"first") == b"first"
        loop.held.add(b"lost")
        for _ in range(LIMITS.max_streams + 2):  # more than one connection takes
            with pytest.raises(RpcError) as problem:
                loop.call(b"lost", 20 * MS)
            assert problem.value.code is Code.DEADLINE_EXCEEDED
        assert loop.call(b"next") == b"next"
        # Each lost call but the first was sent on a connection of its own, and so was the last.
        assert loop.counters["links to peers"] == LIMITS.max_streams + 3
        # The abandoned connections are closed.
        wait_for(lambda: len(loop.server.connections) == 1)


def test_a_call_in_progress_outlives_a_lost_one_on_its_link():
    with LinkLoop() as loop:
        assert loop.call(b"first") == b"first"
        loop.held |= {b"slow", b"lost"}
        replies = []
        loop.do(
            lambda: loop.scheduler.spawn(lambda: replies.append(loop.unary(b"slow", 8 * SECOND)))
        )
        wait_for(lambda: len(loop.requests) == 2)
        with pytest.raises(RpcError):
            loop.call(b"lost", 20 * MS)
        assert loop.call(b"next") == b"next"
        loop.held.clear()
        wait_for(lambda: replies)
        assert replies == [b"slow"]
        connections = dict(loop.requests)
        assert connections[b"slow"] == connections[b"first"] != connections[b"next"]
        wait_for(lambda: len(loop.server.connections) == 1)
