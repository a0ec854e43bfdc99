"""A non-blocking socket with one ring buffer a direction.

Owns its socket and the count of open ones. Reading stops when the ring for it is full, so a slow reader on one
side slows the writer on the other. Must never look into what it carries beyond line ends, and never block.
"""

from __future__ import annotations

import errno
import socket
import struct
from typing import Protocol

ABORT = struct.pack("ii", 1, 0)  # SO_LINGER: a close that resets


class Sizes(Protocol):
    """What a stream takes of its program's limits."""

    @property
    def line(self) -> int: ...  # bytes of a line, its end included
    @property
    def ring(self) -> int: ...  # bytes of a ring buffer


class OverLong(Exception):
    """A line longer than the limit."""


class Ring:
    """Bytes in the order in which they came, in a buffer of fixed size that is made at the first use."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._bytes = bytearray()
        self._start = self._held = 0

    def __len__(self) -> int:
        return self._held

    @property
    def room(self) -> int:
        return self._size - self._held

    def free_part(self) -> memoryview:
        """The next stretch that may be filled; what was filled is told to `filled`."""
        if not self._bytes:
            self._bytes = bytearray(self._size)
        at = (self._start + self._held) % self._size
        return memoryview(self._bytes)[
            at : self._size if at >= self._start or not self._held else self._start
        ][: self.room]

    def filled(self, number: int) -> None:
        self._held += number

    def held_part(self) -> memoryview:
        return memoryview(self._bytes)[self._start : min(self._size, self._start + self._held)]

    def drop(self, number: int) -> None:
        self._held -= number
        self._start = (self._start + number) % self._size if self._held else 0

    def put(self, content: bytes) -> None:
        if len(content) > self.room:
            raise ValueError("no room in the ring")
        while content:
            part = self.free_part()
            number = min(len(part), len(content))
            part[:number] = content[:number]
            self.filled(number)
            content = content[number:]

    def take(self, number: int) -> bytes:
        parts = []
        while number:
            part = bytes(self.held_part()[:number])
            parts.append(part)
            number -= len(part)
            self.drop(len(part))
        return b"".join(parts)

    def line_length(self) -> int:
        """Of the first whole line, its end included; 0 if there is none."""
        end = min(self._size, self._start + self._held)
        at = self._bytes.find(b"\n", self._start, end)
        if at >= 0:
            return at + 1 - self._start
        wrapped = self._start + self._held - self._size
        if wrapped > 0:
            at = self._bytes.find(b"\n", 0, wrapped)
            if at >= 0:
                return self._size - self._start + at + 1
        return 0


class Stream:
    open_now = 0  # sockets of this process

    def __init__(self, sock: socket.socket, limits: Sizes) -> None:
        sock.setblocking(False)
        self._sock = sock
        self.fd = sock.fileno()
        self._line = limits.line
        self.inbox, self.outbox = Ring(limits.ring), Ring(limits.ring)
        self.ended = False  # nothing more will come
        self.broken = False  # it was reset, or can't be written to
        self.closed = False
        self._shut = False
        Stream.open_now += 1
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    def connect(cls, address: tuple[str, int], limits: Sizes) -> Stream:
        """Begins to connect; writable when it stands, or `failed` tells why not."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        stream = cls(sock, limits)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            stream.broken = True
        return stream

    def failed(self) -> bool:
        """Whether the connect has failed."""
        if not self.broken and self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.broken = True
        return self.broken

    def receive(self) -> int:
        """Takes in what has come, as far as there is room; returns how much."""
        got = 0
        while self.inbox.room and not self.ended and not self.broken:
            part = self.inbox.free_part()
            try:
                number = self._sock.recv_into(part)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                self.broken = True
                break
            if not number:
                self.ended = True
                break
            self.inbox.filled(number)
            got += number
            if number < len(part):
                break
        return got

    def take_line(self) -> bytes | None:
        """The first line that has come, its end included; None while there is none."""
        length = self.inbox.line_length()
        if length > self._line or (not length and len(self.inbox) >= self._line):
            raise OverLong
        return self.inbox.take(length) if length else None

    def write(self, content: bytes) -> None:
        self.outbox.put(content)
        self.flush()

    def flush(self) -> None:
        while len(self.outbox) and not self.broken and not self.closed:
            try:
                number = self._sock.send(self.outbox.held_part())
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.broken = True
                return
            self.outbox.drop(number)

    def end_sending(self) -> None:
        if not self._shut and not self.closed:
            self._shut = True
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.broken = True

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            Stream.open_now -= 1
            self._sock.close()

    def abort(self) -> None:
        """Closes it so that the other end sees a reset."""
        if not self.closed:
            try:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
            except OSError:
                pass
            self.close()
