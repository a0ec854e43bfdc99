"""A non-blocking socket with a ring buffer for each direction.

A stream stops reading while its receive buffer is full, so that backpressure from a slow reader on
one side reaches the writer on the other. A stream never blocks, and interprets only line ends.
"""

from __future__ import annotations

import errno
import socket
import struct
from collections import Counter
from typing import Protocol

# SO_LINGER, switched on with a time of 0 s: close() sends a reset.
LINGER_RESET = struct.pack("ii", 1, 0)


class StreamLimits(Protocol):
    """The limits that a stream needs from its program."""

    @property
    def line(self) -> int: ...  # maximum line length in bytes, including the line end
    @property
    def ring(self) -> int: ...  # size of a ring buffer in bytes


class LineTooLongError(Exception):
    """A received line exceeds the limit."""


class BufferPool:
    """Bounds the memory of ring buffers.

    Beyond the limit, the connection whose buffer has held something for the longest time is given
    up. Where both sides read what they are sent, buffers are empty most of the time.
    """

    def __init__(self, max_bytes: int, counters: Counter[str]) -> None:
        self.max_bytes, self._counters = max_bytes, counters
        self._bytes = 0
        # The buffers that hold something, the oldest first, each with the stream to give up.
        self._owners: dict[RingBuffer, Stream] = {}

    def add(self, buffer: RingBuffer, owner: Stream) -> None:
        """Called when a buffer has taken memory; may give up the connections of other owners."""
        self._owners[buffer] = owner
        self._bytes += buffer.size
        while self._bytes > self.max_bytes:
            oldest = next(iter(self._owners.values()))
            if oldest is owner:
                break
            self._give_up(oldest)

    def _give_up(self, owner: Stream) -> None:
        if not owner.broken:
            self._counters["connections given up for memory"] += 1
        owner.give_up()
        for buffer in [buffer for buffer, found in self._owners.items() if found is owner]:
            buffer.discard(len(buffer))

    def remove(self, buffer: RingBuffer) -> None:
        """Called when a buffer has given its memory back."""
        del self._owners[buffer]
        self._bytes -= buffer.size


class RingBuffer:
    """A FIFO byte buffer of fixed size, which takes memory only while it holds something."""

    def __init__(self, size: int, pool: BufferPool | None = None, owner: Stream | None = None):
        """Creates a buffer; its memory is counted in the pool, if there is one."""
        self.size = size
        self._pool, self._owner = pool, owner if pool is not None else None
        self._bytes = bytearray()
        self._start = self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def free_bytes(self) -> int:
        return self.size - self._length

    def writable_view(self) -> memoryview:
        """Returns the next contiguous free region.

        Call `mark_written` after writing to it, also if nothing was written.
        """
        if not self._bytes:
            self._bytes = bytearray(self.size)
            if self._pool is not None and self._owner is not None:
                self._pool.add(self, self._owner)
        end = (self._start + self._length) % self.size
        return memoryview(self._bytes)[
            end : self.size if end >= self._start or not self._length else self._start
        ][: self.free_bytes]

    def mark_written(self, count: int) -> None:
        self._length += count
        self._release_if_empty()

    def readable_view(self) -> memoryview:
        """Returns the first contiguous region of stored bytes."""
        return memoryview(self._bytes)[self._start : min(self.size, self._start + self._length)]

    def discard(self, count: int) -> None:
        self._length -= count
        self._start = (self._start + count) % self.size if self._length else 0
        self._release_if_empty()

    def leave_pool(self) -> None:
        """Takes the buffer out of the pool, at the end of its stream."""
        if self._pool is not None and self._bytes:
            self._pool.remove(self)
        self._pool = self._owner = None  # the owner refers to this buffer

    def _release_if_empty(self) -> None:
        if not self._length and self._bytes:
            self._bytes = bytearray()
            if self._pool is not None:
                self._pool.remove(self)

    def append(self, content: bytes) -> None:
        if len(content) > self.free_bytes:
            raise ValueError("ring buffer overflow")
        while content:
            view = self.writable_view()
            count = min(len(view), len(content))
            view[:count] = content[:count]
            self.mark_written(count)
            content = content[count:]

    def read(self, count: int) -> bytes:
        """Removes and returns the first `count` bytes."""
        parts = []
        while count:
            part = bytes(self.readable_view()[:count])
            parts.append(part)
            count -= len(part)
            self.discard(len(part))
        return b"".join(parts)

    def line_length(self) -> int:
        """Returns the length of the first complete line with its line end; 0 if there is none."""
        end = min(self.size, self._start + self._length)
        found = self._bytes.find(b"\n", self._start, end)
        if found >= 0:
            return found + 1 - self._start
        wrapped = self._start + self._length - self.size
        if wrapped > 0:
            found = self._bytes.find(b"\n", 0, wrapped)
            if found >= 0:
                return self.size - self._start + found + 1
        return 0


class Stream:
    """A non-blocking socket with a receive buffer and a send buffer."""

    open_count = 0  # open streams in this process

    def __init__(
        self,
        sock: socket.socket,
        limits: StreamLimits,
        pool: BufferPool | None = None,
        owner: Stream | None = None,
    ) -> None:
        """Creates a stream on a socket.

        Args:
            sock: the socket; closed with the stream.
            limits: the sizes of lines and buffers.
            pool: where the memory of the buffers is counted; None if it is bounded otherwise.
            owner: the stream to give up if these buffers hold something for too long; by default
                this one.
        """
        sock.setblocking(False)
        self._sock = sock
        self.fd = sock.fileno()
        self._max_line = limits.line
        self.receive_buffer = RingBuffer(limits.ring, pool, owner or self)
        self.send_buffer = RingBuffer(limits.ring, pool, owner or self)
        self.peer_closed = False  # the peer has closed its sending side
        self.broken = False  # the connection was reset or a write failed
        self.closed = False
        self._write_shut_down = False
        self._remote_address: tuple[str, int] | None = None  # of a connect
        Stream.open_count += 1
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    def connect(
        cls,
        address: tuple[str, int],
        limits: StreamLimits,
        pool: BufferPool | None = None,
        owner: Stream | None = None,
    ) -> Stream:
        """Starts a connect. Once the socket is writable, `connect_failed` returns the result."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        stream = cls(sock, limits, pool, owner)
        stream._remote_address = address
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            stream.broken = True
        return stream

    def connect_failed(self) -> bool:
        if not self.broken and (
            self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or self._is_self_connected()
        ):
            self.broken = True
        return self.broken

    def _is_self_connected(self) -> bool:
        """Whether the connect reached its own socket instead of a listening one.

        TCP allows this where nobody listens on the address and the system gives the connect that
        very address as its own. Such a stream would read back what it writes.
        """
        return self._remote_address is not None and self._remote_address == self._sock.getsockname()

    def receive(self) -> int:
        """Reads what has arrived, as far as the receive buffer has room; returns the byte count."""
        received = 0
        while self.receive_buffer.free_bytes and not self.peer_closed and not self.broken:
            view = self.receive_buffer.writable_view()
            count = self._receive_into(view)
            self.receive_buffer.mark_written(count)
            if not count:
                break
            received += count
            if count < len(view):
                break
        return received

    def _receive_into(self, view: memoryview) -> int:
        """Reads what has arrived; returns 0 at an end, an error, or if there is nothing."""
        try:
            count = self._sock.recv_into(view)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self.broken = True
            return 0
        if not count:
            self.peer_closed = True
        return count

    def read_line(self) -> bytes | None:
        """Removes and returns the first complete line with its line end; None if there is none."""
        length = self.receive_buffer.line_length()
        if length > self._max_line or (not length and len(self.receive_buffer) >= self._max_line):
            raise LineTooLongError
        return self.receive_buffer.read(length) if length else None

    def write(self, content: bytes) -> None:
        """Appends to the send buffer and sends as much of it as the socket takes at once."""
        self.send_buffer.append(content)
        self.flush()

    def flush(self) -> None:
        """Sends as much of the send buffer as the socket takes at once."""
        while len(self.send_buffer) and not self.broken and not self.closed:
            try:
                count = self._sock.send(self.send_buffer.readable_view())
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.broken = True
                return
            self.send_buffer.discard(count)

    def shutdown_write(self) -> None:
        """Closes the sending side of the connection."""
        if not self._write_shut_down and not self.closed:
            self._write_shut_down = True
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.broken = True

    def give_up(self) -> None:
        """Breaks the connection; its task finds it broken."""
        self.broken = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)  # wakes the task that waits for the socket
        except OSError:
            pass

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            Stream.open_count -= 1
            self._sock.close()
            self.receive_buffer.leave_pool()
            self.send_buffer.leave_pool()

    def abort(self) -> None:
        """Closes the connection with a reset."""
        if not self.closed:
            try:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            except OSError:
                pass
            self.close()
