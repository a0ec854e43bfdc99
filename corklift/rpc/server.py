"""A server of calls: its door, its connections and which handler has which path.

A handler runs in a greenlet of its own: it returns for OK and raises `RpcError` for anything else. Owns the
listener. Must never know what a handler is for.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

from corklift.net.limits import Counters
from corklift.net.scheduler import READ, Scheduler, Task
from corklift.net.stream import Stream
from corklift.rpc.core import Code, RpcError, RpcLimits
from corklift.rpc.link import Link, LiveCall

Handler = Callable[[LiveCall], None]
ACCEPTED_AT_ONCE = 32  # before those accepted have their turn


def unary(answer: Callable[[LiveCall, bytes], bytes]) -> Handler:
    """A handler of one message and one answer."""

    def handler(call: LiveCall) -> None:
        request = call.receive()
        if request is None:
            raise RpcError(Code.INVALID_ARGUMENT, "no request came")
        call.post(answer(call, request))

    return handler


class Server:
    def __init__(
        self,
        scheduler: Scheduler,
        limits: RpcLimits,
        counters: Counters,
        handlers: dict[str, Handler],
    ) -> None:
        self._scheduler, self._limits, self._counters, self._handlers = (
            scheduler,
            limits,
            counters,
            handlers,
        )
        self.links: set[Link] = set()
        self._listener: socket.socket | None = None
        self._acceptor: Task | None = None
        self._leaving = False

    def listen(self, address: tuple[str, int]) -> int:
        """Opens the door; returns its port."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
            sock.listen(1024)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self._listener = sock
        return int(sock.getsockname()[1])

    def keep_accepting(self) -> None:
        assert self._listener is not None
        self._acceptor = self._scheduler.current
        while not self._leaving:
            self._scheduler.wait({self._listener.fileno(): READ})
            for _ in range(ACCEPTED_AT_ONCE):
                try:
                    sock, address = self._listener.accept()
                except (BlockingIOError, InterruptedError):
                    break
                except OSError as problem:
                    self._counters["accepts failed"] += 1
                    if problem.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                        self._scheduler.sleep(
                            50_000_000
                        )  # Guards against a turn that never ends at full descriptors
                    break
                self.take(sock, f"{address[0]}:{address[1]}")
        self._listener.close()

    def take(self, sock: socket.socket, peer: str) -> None:
        """A connection has come in by this door or another."""
        if len(self.links) >= self._limits.connections or self._leaving:
            self._counters["connections turned away"] += 1
            sock.close()
            return
        self._counters["connections taken"] += 1
        link = Link(
            self._scheduler,
            self._limits,
            self._counters,
            Stream(sock, self._limits),
            peer,
            False,
            self._serve,
        )
        self.links.add(link)
        link.ended = lambda: self.links.discard(link)
        self._scheduler.spawn(link.run)

    def _serve(self, call: LiveCall) -> None:
        handler = self._handlers.get(call.path)
        if handler is None:
            raise RpcError(Code.UNIMPLEMENTED, f"no method {call.path:.200}")
        handler(call)

    def leave(self, within: int) -> None:
        """Sends all peers elsewhere; blocks until the last call is over, or the time is."""
        self._leaving = True
        if self._acceptor is not None:
            self._scheduler.wake(self._acceptor)
        for link in list(self.links):
            link.go_away()
        until = self._scheduler.now() + within
        while self.links and self._scheduler.now() < until:
            self._scheduler.sleep(min(20_000_000, max(1, until - self._scheduler.now())))
