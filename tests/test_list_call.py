"""One call to discovery, on a connection that is played."""

import pytest

from corklift.net.blocking import Gone, Late
from corklift.net.limits import MS, Limits
from corklift.net.list_call import CallTimes, ListCall
from corklift.net.scheduler import READ, WRITE
from corklift.net.stream import RingBuffer

REQUEST = b"GET /registry/instances HTTP/1.1\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
TIMES = CallTimes(connect_by=100 * MS, begin_by=300 * MS, max_transfer=200 * MS, complete_by=None)


class PlayedStream:
    """A connection on systems that end one that is read before it is up (ENOTCONN)."""

    fd = 7

    def __init__(self, is_up: bool = False) -> None:
        self.is_up, self.refused = is_up, False
        self.broken = self.peer_closed = self.closed = False
        self.arriving, self.sent = b"", b""
        self.receive_buffer, self.send_buffer = RingBuffer(8192), RingBuffer(8192)

    def connect_failed(self) -> bool:
        self.broken = self.broken or self.refused
        self.is_up = not self.broken
        return self.broken

    def write(self, content: bytes) -> None:
        assert self.is_up
        self.sent += content

    def flush(self) -> None:
        assert self.is_up

    def receive(self) -> int:
        if not self.is_up:
            self.broken = True
            return 0
        self.receive_buffer.append(self.arriving)
        count, self.arriving = len(self.arriving), b""
        return count

    def close(self) -> None:
        self.closed = True


class PlayedCall:
    def __init__(self, stream: PlayedStream) -> None:
        self.now, self.stream = 0, stream
        self.call = ListCall(stream, stream.is_up, REQUEST, 1, 0, TIMES, lambda: self.now, 1000)


# Each call ended at once where a connect takes time: the first look at it read its connection.
def test_connection_that_is_not_up_yet_is_neither_read_nor_written():
    played = PlayedCall(PlayedStream())
    assert played.call.interest == WRITE
    assert not played.call.advance(0) and not played.stream.broken and not played.stream.sent
    played.now = 99 * MS
    assert not played.call.advance(0)
    assert not played.call.advance(WRITE)
    assert played.stream.sent == REQUEST and played.call.interest == READ
    played.stream.arriving = RESPONSE
    assert played.call.advance(READ) and played.call.response.json() == {}


def test_connect_that_fails_or_takes_too_long_ends_the_call():
    played = PlayedCall(PlayedStream())
    played.stream.refused = True
    with pytest.raises(Gone):
        played.call.advance(WRITE)
    played = PlayedCall(PlayedStream())
    played.now = TIMES.connect_by
    with pytest.raises(Late):
        played.call.advance(0)


@pytest.mark.parametrize("begun", [False, True])
def test_response_that_arrives_in_the_turn_of_its_deadline_is_taken(begun):
    played = PlayedCall(PlayedStream(is_up=True))
    assert played.stream.sent == REQUEST
    if begun:
        played.stream.arriving = RESPONSE[:1]
        assert not played.call.advance(READ)
    played.now = TIMES.max_transfer if begun else TIMES.begin_by
    assert played.call.deadline == played.now
    played.stream.arriving = RESPONSE[1:] if begun else RESPONSE
    assert played.call.advance(READ)


def test_response_that_has_begun_is_given_up_at_its_own_time():
    played = PlayedCall(PlayedStream(is_up=True))
    played.now = 290 * MS
    played.stream.arriving = RESPONSE[:-1]
    assert not played.call.advance(READ)
    assert (
        played.call.deadline
        == played.now + TIMES.max_transfer
        == played.call.progress_at + (200 * MS)
    )
    played.now = played.call.deadline
    with pytest.raises(Late):
        played.call.advance(0)


@pytest.mark.parametrize("size", [0, 1, len(RESPONSE) - 1])
def test_end_of_the_connection_before_the_end_of_the_response_ends_the_call(size):
    played = PlayedCall(PlayedStream(is_up=True))
    played.stream.arriving, played.stream.peer_closed = RESPONSE[:size], True
    with pytest.raises(Gone):
        played.call.advance(READ)


def test_limits_allow_the_calls_that_a_watch_makes():
    for ask_for_list in (False, True):
        limits = Limits.from_deployment(
            {"sockets": 256, "memory_mb": 32}, 200 * MS, 3, 3200 * MS, 10_000 * MS, ask_for_list
        )
        # Two calls beside the first one within the least grace of a drain, which is 500 ms.
        assert 2 * (limits.watch_stall + limits.watch_stall_spread) < 500 * MS
        assert limits.discovery_is_local is not ask_for_list
