"""A gRPC server: its listening socket, its connections and a handler for each method path.

Each call's handler runs in a greenlet of its own. It returns for OK and raises `RpcError`
otherwise.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

from corklift.net.limits import Counters
from corklift.net.scheduler import READ, Scheduler, Task
from corklift.net.stream import Stream
from corklift.rpc.connection import RpcCall, RpcConnection
from corklift.rpc.core import Code, RpcError, RpcLimits
from corklift.rpc.receive_budget import ReceiveBudget

Handler = Callable[[RpcCall], None]
MAX_ACCEPTS_AT_ONCE = 32  # then the accepted connections are served first


def unary(respond: Callable[[RpcCall, bytes], bytes]) -> Handler:
    """Returns a handler of calls with one request and one response."""

    def handler(call: RpcCall) -> None:
        request = call.receive_request()
        if request is None:
            raise RpcError(Code.INVALID_ARGUMENT, "no request came")
        call.send_nowait(respond(call, request))

    return handler


class RpcServer:
    """Accepts connections and dispatches their calls to handlers by method path."""

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
        self.connections: set[RpcConnection] = set()
        self._budget = ReceiveBudget(limits.max_received_bytes)
        self._listener: socket.socket | None = None
        self._accept_task: Task | None = None
        # The connection that the accept loop waits for to be closed.
        self._making_way: RpcConnection | None = None
        self._stopping = False

    def listen(self, address: tuple[str, int]) -> int:
        """Opens the listening socket; returns its port."""
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

    def accept_loop(self) -> None:
        assert self._listener is not None
        self._accept_task = self._scheduler.current
        while not self._stopping:
            self._scheduler.wait({self._listener.fileno(): READ})
            if self._limits.idle_makes_way and self._is_full:
                self._make_room()
            for _ in range(MAX_ACCEPTS_AT_ONCE):
                try:
                    sock, address = self._listener.accept()
                except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                    break
                except OSError as error:
                    self._counters["accepts failed"] += 1
                    if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                        # The socket stays readable while descriptors are exhausted: avoids a busy
                        # loop.
                        self._scheduler.sleep(50_000_000)
                    break
                self.serve_connection(sock, f"{address[0]}:{address[1]}")
                if self._limits.idle_makes_way and self._is_full:
                    break
        self._listener.close()

    @property
    def _is_full(self) -> bool:
        return len(self.connections) >= self._limits.max_connections

    def _make_room(self) -> None:
        """Closes a connection without calls, if there is one, and waits until it is closed.

        One on which no call has succeeded goes first, then the one that has been silent for
        longest. So connections that are only held open do not shut out others.
        """
        idle = [connection for connection in self.connections if not connection.session.call_count]
        if not idle:
            return
        self._counters["connections that made way"] += 1
        chosen = min(
            idle,
            key=lambda connection: (
                connection.session.succeeded_calls > 0,
                connection.last_received_at,
            ),
        )
        self._making_way = chosen
        (chosen.go_away if chosen.session.succeeded_calls else chosen.abort)()
        until = self._scheduler.now() + self._limits.close_timeout
        while chosen in self.connections and self._scheduler.now() < until:
            self._scheduler.wait({}, until)
        self._making_way = None

    def _connection_closed(self, connection: RpcConnection) -> None:
        self.connections.discard(connection)
        if connection is self._making_way and self._accept_task is not None:
            self._scheduler.wake(self._accept_task)

    def serve_connection(self, sock: socket.socket, peer: str) -> None:
        """Serves a connection, accepted by this server's listening socket or by another one."""
        if self._is_full or self._stopping:
            self._counters["connections turned away"] += 1
            sock.close()
            return
        self._counters["connections taken"] += 1
        connection = RpcConnection(
            self._scheduler,
            self._limits,
            self._counters,
            Stream(sock, self._limits),
            peer,
            False,
            self._dispatch,
            self._budget,
        )
        self.connections.add(connection)
        connection.on_close = lambda: self._connection_closed(connection)
        self._scheduler.spawn(connection.run)

    def _dispatch(self, call: RpcCall) -> None:
        handler = self._handlers.get(call.path)
        if handler is None:
            raise RpcError(Code.UNIMPLEMENTED, f"no method {call.path:.200}")
        handler(call)

    def shut_down(self, timeout: int) -> None:
        """Sends GOAWAY to all peers; blocks until all calls have ended, or for the given time."""
        self._stopping = True
        if self._accept_task is not None:
            self._scheduler.wake(self._accept_task)
        for connection in list(self.connections):
            connection.go_away()
        until = self._scheduler.now() + timeout
        while self.connections and self._scheduler.now() < until:
            self._scheduler.sleep(min(20_000_000, max(1, until - self._scheduler.now())))
