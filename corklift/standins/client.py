"""A client of the line protocol, as the load tool and the rig play it: a connection, a line, the line that comes back.

Owns nothing. Must never wait past the time it is given.
"""

from __future__ import annotations

from corklift.net.limits import SECOND, Limits
from corklift.net.scheduler import READ, WRITE, Scheduler
from corklift.net.stream import LineTooLongError, Stream

CLIENT_LIMITS = Limits(
    clients=0, waiting=0, probes=0, connect_time=SECOND, stop_time=SECOND, line=1024, ring=1024
)


def connect(scheduler: Scheduler, address: tuple[str, int], until: int) -> Stream | None:
    """None where there is no connection by then."""
    try:
        stream = Stream.connect(address, CLIENT_LIMITS)
    except OSError:
        return None
    while not stream.broken and not scheduler.wait({stream.fd: WRITE}, until):
        if scheduler.now() >= until:
            break
    else:
        if not stream.connect_failed():
            return stream
    stream.close()
    return None


def send_request(scheduler: Scheduler, stream: Stream, line: bytes, until: int) -> bytes:
    """The line that comes back, or nothing."""
    stream.write(line)
    while True:
        stream.receive()
        try:
            found = stream.read_line()
        except LineTooLongError:
            return b""
        if found is not None:
            return found
        if stream.peer_closed or stream.broken or scheduler.now() >= until:
            return b""
        scheduler.wait({stream.fd: READ}, until)
