"""Stand-in transcribers: long-lived connections by the line protocol, and gRPC calls, at one address.

Owns what it was sent and when: that is what tests and benchmarks measure. `power` is what it can hold against the
others; its report tells the load asked over what it can do.
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
SAY, HOLD = "/standin.Transcriber/Say", "/standin.Transcriber/Hold"
_OPEN = re.compile(rb"OPEN (\S+) (\S+) (\S+)\r\n")


class Placed(NamedTuple):
    at: int  # ns
    server: str
    by: str  # who placed it
    what: str


class Transcriber:
    def __init__(
        self,
        scheduler: Scheduler,
        name: str,
        size: float,
        note: Callable[[Placed], None],
        ramp: int = 0,
    ) -> None:
        self._scheduler, self.name, self.size, self._note = scheduler, name, size, note
        self.open = 0
        self.fails = False  # turns down all that is new
        self.silent = False  # answers no probe
        self.ramp, self.started_at = ramp, scheduler.now()
        self._rpc = RpcServer(
            scheduler,
            RpcLimits(max_connections=5000, ping_after=0, max_streams=1000),
            Counters(),
            {SAY: unary(self._say), HOLD: self._hold},
        )
        self._listener: socket.socket | None = None
        self.port = 0

    def listen(self) -> int:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self._listener.setblocking(False)
        self.port = int(self._listener.getsockname()[1])
        return self.port

    def keep_accepting(self) -> None:
        assert self._listener is not None
        while True:
            self._scheduler.wait({self._listener.fileno(): READ})
            for _ in range(64):
                try:
                    sock, address = self._listener.accept()
                except OSError:
                    break
                self._scheduler.spawn(self._take, sock, "%s:%d" % address)

    def _take(self, sock: socket.socket, peer: str) -> None:
        """Lines or HTTP/2: the first bytes tell."""
        sock.setblocking(False)
        while True:
            try:
                first = sock.recv(3, socket.MSG_PEEK)
                break
            except BlockingIOError:
                self._scheduler.wait({sock.fileno(): READ})
            except OSError:
                sock.close()
                return
        if first == b"PRI":
            self._rpc.serve_connection(sock, peer)
            return
        self._lines(Stream(sock, LIMITS))

    def _lines(self, stream: Stream) -> None:
        up, login = False, ""
        try:
            while True:
                stream.receive()
                line = stream.read_line()
                if line is None:
                    if stream.peer_closed or stream.broken:
                        return
                    self._scheduler.wait({stream.fd: READ})
                elif line == b"STATS\r\n" and not up:
                    self._probed()
                    while self.silent:
                        self._scheduler.sleep(SECOND // 10)
                    stream.write(
                        b"PONG inflight=%d,x0=%.4f\r\n" % (self.open, self.open / self.size)
                    )
                elif (found := _OPEN.fullmatch(line)) and not up:
                    login = found[1].decode()
                    self._opening()
                    if self.fails:
                        self._turned_away(login)
                        stream.write(b"ERR\r\n")
                        return
                    up = True
                    self.open += 1
                    self._placed(login, found[2].decode(), found[3].decode())
                    stream.write(b"UP %s\r\n" % self.name.encode())
                elif line == b"quit\r\n":
                    stream.write(b"BYE\r\n")
                    return
                else:
                    stream.write(line)
        except LineTooLongError:
            return
        finally:
            if up:
                self.open -= 1
                self._ended(login)
            stream.close()

    # What a further stand-in does at each step of a connection by lines

    def _opening(self) -> None:
        """A login has come; may wait."""

    def _probed(self) -> None:
        pass

    def _turned_away(self, login: str) -> None:
        pass

    def _placed(self, login: str, by: str, what: str) -> None:
        self._note(Placed(self._scheduler.now(), self.name, by, what))

    def _ended(self, login: str) -> None:
        pass

    def _say(self, call: RpcCall, request: bytes) -> bytes:
        self._note(Placed(self._scheduler.now(), self.name, call.peer, "say"))
        return self.name.encode()

    def _hold(self, call: RpcCall) -> None:
        """A stream that lasts: its first message is answered with this server's name, all others with themselves."""
        self._note(Placed(self._scheduler.now(), self.name, call.peer, "hold"))
        self.open += 1
        try:
            first = True
            while (message := call.receive()) is not None:
                call.send(self.name.encode() if first else message)
                first = False
        finally:
            self.open -= 1
