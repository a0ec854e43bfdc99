"""A stand-in transcriber: connections by the line protocol and gRPC calls at one address.

It reports each login and call that reaches it, with the time; tests and benchmarks measure by that.
Its load report is its number of open connections over its `size`.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Callable
from typing import NamedTuple

from corklift.net.limits import SECOND, Counters, Limits
from corklift.net.scheduler import READ, Scheduler
from corklift.net.stream import LineTooLongError, Stream
from corklift.rpc.connection import RpcCall
from corklift.rpc.core import RpcLimits
from corklift.rpc.server import RpcServer, unary

LIMITS = Limits(
    clients=0, waiting=0, probes=0, connect_time=SECOND, stop_time=SECOND, line=1024, ring=2048
)
SAY_METHOD, HOLD_METHOD = "/standin.Transcriber/Say", "/standin.Transcriber/Hold"
_OPEN = re.compile(rb"OPEN (\S+) (\S+) (\S+)\r\n")


class Placement(NamedTuple):
    """A login or call that reached a transcriber.

    `at` is in nanoseconds. `by` is the client's label in its login line, or the peer's address for
    a call. `what` is the rest of the login line, or the name of the call.
    """

    at: int
    server: str
    by: str
    what: str


class Transcriber:
    """A server that answers logins, probes and gRPC calls.

    `size` is the number of connections that fill it; `ramp` is its warm-up time in nanoseconds.
    Subclasses override the `_on_...` methods to follow a connection of the line protocol.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        name: str,
        size: float,
        on_placement: Callable[[Placement], None],
        ramp: int = 0,
    ) -> None:
        self._scheduler, self.name, self.size, self._on_placement = (
            scheduler,
            name,
            size,
            on_placement,
        )
        self.open_connections = 0
        # True: new logins are answered with an error.
        self.fails = False
        # True: probes get no answer.
        self.silent = False
        self.ramp, self.started_at = ramp, scheduler.now()
        self._rpc = RpcServer(
            scheduler,
            RpcLimits(max_connections=5000, ping_after=0, max_streams=1000),
            Counters(),
            {SAY_METHOD: unary(self._handle_say), HOLD_METHOD: self._handle_hold},
        )
        self._listener: socket.socket | None = None
        self.port = 0

    def listen(self) -> int:
        """Opens the listening socket and returns its port."""
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self._listener.setblocking(False)
        self.port = int(self._listener.getsockname()[1])
        return self.port

    def accept_loop(self) -> None:
        """Accepts connections for ever, each served by a task of its own."""
        assert self._listener is not None
        while True:
            self._scheduler.wait({self._listener.fileno(): READ})
            for _ in range(64):
                try:
                    sock, address = self._listener.accept()
                except OSError:
                    break
                self._scheduler.spawn(self._serve_connection, sock, "%s:%d" % address)

    def _serve_connection(self, sock: socket.socket, peer: str) -> None:
        """Serves HTTP/2 if the connection starts with its preface, else the line protocol."""
        sock.setblocking(False)
        while True:
            try:
                first_bytes = sock.recv(3, socket.MSG_PEEK)
                break
            except BlockingIOError:
                self._scheduler.wait({sock.fileno(): READ})
            except OSError:
                sock.close()
                return
        if first_bytes == b"PRI":
            self._rpc.serve_connection(sock, peer)
            return
        self._serve_lines(Stream(sock, LIMITS))

    def _serve_lines(self, stream: Stream) -> None:
        logged_in, login = False, ""
        try:
            while True:
                stream.receive()
                line = stream.read_line()
                if line is None:
                    if stream.peer_closed or stream.broken:
                        return
                    self._scheduler.wait({stream.fd: READ})
                elif line == b"STATS\r\n" and not logged_in:
                    self._on_probe()
                    while self.silent:
                        self._scheduler.sleep(SECOND // 10)
                    stream.write(
                        b"PONG inflight=%d,x0=%.4f\r\n"
                        % (self.open_connections, self.open_connections / self.size)
                    )
                elif (match := _OPEN.fullmatch(line)) and not logged_in:
                    login = match[1].decode()
                    self._on_login()
                    if self.fails:
                        self._on_rejected(login)
                        stream.write(b"ERR\r\n")
                        return
                    logged_in = True
                    self.open_connections += 1
                    self._on_placed(login, match[2].decode(), match[3].decode())
                    stream.write(b"UP %s\r\n" % self.name.encode())
                elif line == b"quit\r\n":
                    stream.write(b"BYE\r\n")
                    return
                else:
                    stream.write(line)
        except LineTooLongError:
            return
        finally:
            if logged_in:
                self.open_connections -= 1
                self._on_closed(login)
            stream.close()

    # Hooks for subclasses, called at each step of a connection of the line protocol.

    def _on_login(self) -> None:
        """Called when a login arrives, before it is answered; it may block."""

    def _on_probe(self) -> None:
        pass

    def _on_rejected(self, login: str) -> None:
        pass

    def _on_placed(self, login: str, by: str, what: str) -> None:
        self._on_placement(Placement(self._scheduler.now(), self.name, by, what))

    def _on_closed(self, login: str) -> None:
        pass

    def _handle_say(self, call: RpcCall, request: bytes) -> bytes:
        self._on_placement(Placement(self._scheduler.now(), self.name, call.peer, "say"))
        return self.name.encode()

    def _handle_hold(self, call: RpcCall) -> None:
        """Serves a long-lived stream.

        The first message is answered with the server's name, all others are echoed.
        """
        self._on_placement(Placement(self._scheduler.now(), self.name, call.peer, "hold"))
        self.open_connections += 1
        try:
            is_first = True
            while (message := call.receive()) is not None:
                call.send(self.name.encode() if is_first else message)
                is_first = False
        finally:
            self.open_connections -= 1
