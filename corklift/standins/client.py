"""A client of the line protocol: connects, sends one line and reads the line that answers it.

Used by the load tool and by the rig. No function here waits longer than the deadline it is given.
"""

from __future__ import annotations

from corklift.net.limits import SECOND, Limits
from corklift.net.scheduler import READ, WRITE, Scheduler
from corklift.net.stream import LineTooLongError, Stream

CLIENT_LIMITS = Limits(
    clients=0, waiting=0, probes=0, connect_time=SECOND, stop_time=SECOND, line=1024, ring=1024
)


def connect(scheduler: Scheduler, address: tuple[str, int], deadline: int) -> Stream | None:
    """Returns a connected stream, or None if the connection fails or the deadline passes."""
    try:
        stream = Stream.connect(address, CLIENT_LIMITS)
    except OSError:
        return None
    while not stream.broken and not scheduler.wait({stream.fd: WRITE}, deadline):
        if scheduler.now() >= deadline:
            break
    else:
        if not stream.connect_failed():
            return stream
    stream.close()
    return None


def send_request(scheduler: Scheduler, stream: Stream, line: bytes, deadline: int) -> bytes:
    """Sends a line and returns the line that answers it.

    Returns an empty string if the peer closes, sends an over-long line or misses the deadline.
    """
    stream.write(line)
    while True:
        stream.receive()
        try:
            response = stream.read_line()
        except LineTooLongError:
            return b""
        if response is not None:
            return response
        if stream.peer_closed or stream.broken or scheduler.now() >= deadline:
            return b""
        scheduler.wait({stream.fd: READ}, deadline)
