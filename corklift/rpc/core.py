"""The parts of gRPC's wire that are neither HTTP/2 nor a socket: frames of messages, statuses, times, limits.

Pure: bytes and words in, values out, for any split of the bytes. Owns no socket and no clock. Must never know a
service. Source: gRPC's "gRPC over HTTP2" page (PROTOCOL-HTTP2.md).
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import IntEnum
from random import Random
from urllib.parse import quote_from_bytes, unquote_to_bytes

MS = 1_000_000
SECOND = 1_000 * MS
UNITS = {"H": 3600 * SECOND, "M": 60 * SECOND, "S": SECOND, "m": MS, "u": 1_000, "n": 1}
_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
PREFIX = 5  # bytes before a message: whether it is compressed, its length
PRINTABLE = "".join(map(chr, range(0x20, 0x7F))).replace("%", "")


class Code(IntEnum):
    """gRPC's status codes."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


class RpcError(Exception):
    """How a call ended, if not well: `code` and gRPC's `message`."""

    def __init__(self, code: Code, message: str = "") -> None:
        super().__init__(f"{code.name}: {message}" if message else code.name)
        self.code, self.message = code, message


@dataclass(frozen=True)
class RpcLimits:
    """Sizes, counts and times (ns) of one program's calls, handed down to every connection."""

    connections: int = 2_000  # at a time, of a server; further ones are closed as they come
    streams: int = 16  # calls at a time on one connection
    message: int = 4 << 20  # bytes of a message that comes in
    headers: int = 16 << 10  # bytes of the headers of a call, as HTTP/2 counts them
    inbox: int = (
        16  # whole messages of a call that wait to be read; the peer's window stays shut meanwhile
    )
    outbox: int = 8 << 20  # bytes of a call that wait to be sent
    ring: int = 16 << 10  # bytes of each direction's ring buffer
    line: int = 4096  # of no use here: a stream wants it
    control_frames: int = (
        200  # a second, of pings, settings and resets; beyond it a peer is sent away
    )
    handshake_time: int = 5 * SECOND  # from a connect to the peer's first settings
    ping_after: int = 10 * SECOND  # of hearing nothing; 0: never
    ping_wait: int = 5 * SECOND  # for the answer, before the connection counts as lost
    stall_time: int = (
        10 * SECOND
    )  # in which a message must have left; a peer that reads slower is dropped
    connect_time: int = 2 * SECOND  # within which a connection must stand
    back_off: int = (
        SECOND  # before a second connect, spread; 1.6 times as long before each further one
    )
    back_off_most: int = 20 * SECOND
    end_time: int = 500 * MS  # for a connection's last bytes to leave


class BackOff:
    """How long to wait before the next connect: longer after each failure, spread so that no crowd forms."""

    FACTOR = 1.6

    def __init__(self, rng: Random, limits: RpcLimits) -> None:
        self._rng, self._first, self._most = rng, limits.back_off, limits.back_off_most
        self.failures = 0  # in a row

    def worked(self) -> None:
        self.failures = 0

    def failed(self) -> int:
        """Returns the wait (ns): even over half to all of what is due after so many failures."""
        due = min(self._most, self._first * self.FACTOR ** min(self.failures, 20))
        self.failures += 1
        return int(due * self._rng.uniform(0.5, 1.0))


def packed(message: bytes) -> bytes:
    """A message with its prefix, not compressed."""
    return b"\0" + len(message).to_bytes(4, "big") + message


class Unpacker:
    """Messages out of a call's bytes. What has come of the next one is bounded by the limit."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._bytes = bytearray()

    def feed(self, content: bytes) -> list[bytes]:
        """The messages that are whole now.

        Raises:
            RpcError: RESOURCE_EXHAUSTED for one over the limit, told by its prefix alone; UNIMPLEMENTED for a
                compressed one, INTERNAL for one whose prefix is not gRPC's.
        """
        self._bytes += content
        found = []
        at = 0
        while len(self._bytes) - at >= PREFIX:
            if self._bytes[at] == 1:
                raise RpcError(Code.UNIMPLEMENTED, "compressed messages are not taken")
            if self._bytes[at]:
                raise RpcError(Code.INTERNAL, "not a message's prefix")
            length = int.from_bytes(self._bytes[at + 1 : at + PREFIX], "big")
            if length > self._most:
                raise RpcError(
                    Code.RESOURCE_EXHAUSTED, f"a message of {length} bytes, {self._most} are taken"
                )
            if len(self._bytes) - at < PREFIX + length:
                break
            found.append(bytes(self._bytes[at + PREFIX : at + PREFIX + length]))
            at += PREFIX + length
        if at:
            del self._bytes[:at]
        return found

    @property
    def partial(self) -> bool:
        return bool(self._bytes)


def time_out(value: bytes) -> int:
    """`grpc-timeout` in ns.

    Raises:
        RpcError: INVALID_ARGUMENT where it does not follow the form.
    """
    found = _TIMEOUT.fullmatch(value)
    if found is None:
        raise RpcError(Code.INVALID_ARGUMENT, f"grpc-timeout holds {value!r:.40}")
    return int(found[1]) * UNITS[found[2].decode()]


def time_out_text(span: int) -> str:
    """A span of ns as `grpc-timeout`, rounded up, in the finest unit that has room for it."""
    for unit in "numSMH":
        if span <= 99_999_999 * UNITS[unit]:
            return f"{-(-max(0, span) // UNITS[unit])}{unit}"
    return "99999999H"


def status_message(text: str) -> str:
    """Percent-encoded as `grpc-message` wants it."""
    return quote_from_bytes(text.encode(), safe=PRINTABLE)


def status_text(value: bytes) -> str:
    return unquote_to_bytes(value).decode("utf-8", "replace")


def status_of(headers: dict[bytes, bytes]) -> RpcError | None:
    """The status in a call's trailers; None if it ended well. One without a status is UNKNOWN, as gRPC says."""
    value = headers.get(b"grpc-status", b"")
    try:
        code = Code(int(value)) if len(value) < 4 else Code.UNKNOWN
    except ValueError:
        code = Code.UNKNOWN
    return RpcError(code, status_text(headers.get(b"grpc-message", b""))) if code else None


HTTP_CODES = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}


def http_error(status: bytes) -> RpcError:
    """What an HTTP status other than 200 means to a call, by gRPC's table."""
    code = HTTP_CODES.get(int(status), Code.UNKNOWN) if status.isdigit() else Code.UNKNOWN
    return RpcError(code, f"HTTP status {status.decode('ascii', 'replace')}")
