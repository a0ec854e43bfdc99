"""Blocking operations of a task on a stream: connect, send all, drain and close; and listening.

None of them waits past its deadline `until`, or interprets the bytes.
"""

from __future__ import annotations

import socket

from corklift.net.limits import Limits
from corklift.net.scheduler import READ, WRITE, Scheduler
from corklift.net.stream import Stream


class Gone(Exception):
    """The peer closed the connection, or the connect failed.

    The class name is printed in log lines that a tool matches.
    """


class Late(Exception):
    """The deadline has passed.

    The class name is printed in log lines that a tool matches.
    """


def listening_socket(address: tuple[str, int]) -> socket.socket:
    """Returns a non-blocking socket that listens on the address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(4096)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock


def connect(scheduler: Scheduler, limits: Limits, address: tuple[str, int], until: int) -> Stream:
    """Returns a connected stream.

    Raises:
        Gone: the connect failed.
        Late: the deadline has passed.
    """
    stream = Stream.connect(address, limits)
    try:
        while not stream.broken and not scheduler.wait({stream.fd: WRITE}, until):
            if scheduler.now() >= until:
                raise Late
        if stream.connect_failed():
            raise Gone
    except BaseException:
        stream.close()
        raise
    return stream


def send_all(scheduler: Scheduler, stream: Stream, content: bytes, until: int) -> None:
    """Writes the content and waits until the socket has taken all of it.

    Raises:
        Gone: the connection broke.
        Late: the deadline has passed.
    """
    stream.write(content)
    while len(stream.send_buffer):
        if stream.broken:
            raise Gone
        if scheduler.now() >= until:
            raise Late
        scheduler.wait({stream.fd: WRITE}, until)
        stream.flush()


def drain_and_close(scheduler: Scheduler, stream: Stream, line: bytes, until: int) -> None:
    """Writes a last line, shuts down writing, discards input until the peer closes, then closes.

    Closing with unread input would send a reset, which may overtake the line.
    """
    if line and not stream.closed and stream.send_buffer.free_bytes >= len(line):
        stream.write(line)
    while not stream.broken and not stream.closed and scheduler.now() < until:
        stream.flush()
        if not len(stream.send_buffer):
            stream.shutdown_write()
        stream.receive()
        stream.receive_buffer.discard(len(stream.receive_buffer))
        mask = (0 if stream.peer_closed else READ) | (WRITE if len(stream.send_buffer) else 0)
        if not mask:
            break
        scheduler.wait({stream.fd: mask}, until)
    stream.close()
