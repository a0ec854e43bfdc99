"""The parts of gRPC that need neither HTTP/2 nor a socket: framing, status, timeouts and limits.

All of it is pure, and the result does not depend on how the bytes are split. Source: gRPC's
documentation, "gRPC over HTTP2" (PROTOCOL-HTTP2.md).
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import IntEnum
from random import Random
from urllib.parse import quote_from_bytes, unquote_to_bytes

MS = 1_000_000
SECOND = 1_000 * MS
TIMEOUT_UNITS = {"H": 3600 * SECOND, "M": 60 * SECOND, "S": SECOND, "m": MS, "u": 1_000, "n": 1}
_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
PREFIX_BYTES = 5  # in front of each message: the compressed flag and the length
UNESCAPED_CHARACTERS = "".join(map(chr, range(0x20, 0x7F))).replace("%", "")


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
    """A call failed, with gRPC's status code and message."""

    def __init__(self, code: Code, message: str = "") -> None:
        super().__init__(f"{code.name}: {message}" if message else code.name)
        self.code, self.message = code, message

    def without_traceback(self) -> RpcError:
        """Returns an equal error that refers to no frames, to be kept or to be raised again.

        A call that keeps an error whose frames refer to the call stays in memory until the next
        garbage collection.
        """
        return RpcError(self.code, self.message)


@dataclass(frozen=True)
class RpcLimits:
    """Limits and timeouts (ns) of all connections and calls of one server or channel."""

    max_connections: int = 2_000  # of a server; further ones are closed at once ...
    idle_makes_way: bool = False  # ... or a connection without calls is closed for them
    max_streams: int = 16  # concurrent calls on one connection
    max_message_bytes: int = 4 << 20  # of a received message
    # Of all messages of a server that are incomplete or wait to be read.
    max_received_bytes: int = 64 << 20
    max_header_bytes: int = 16 << 10  # of the headers of a call, as HTTP/2 counts them
    # Complete unread messages of a call; at this number its flow-control window is not reopened.
    max_inbox_messages: int = 16
    max_outbox_bytes: int = 8 << 20  # of a call, waiting to be sent
    ring: int = 16 << 10  # size of each of a connection's two ring buffers, in bytes
    line: int = 4096  # unused here, but required by `Stream`
    # Received pings, settings and resets per second; beyond this the connection is closed.
    max_control_frames: int = 200
    # How long a connection's received frames are handled before others have their turn.
    turn_time: int = 2 * MS
    handshake_timeout: int = 5 * SECOND  # from the connect to the peer's first settings
    ping_after: int = 10 * SECOND  # without any received bytes; 0: never
    ping_timeout: int = 5 * SECOND  # for the answer to a ping
    # Queued bytes must leave within this time, or a peer that reads too slowly is disconnected.
    stall_timeout: int = 10 * SECOND
    connect_timeout: int = 2 * SECOND
    # Before the second connect, randomised; each further delay is 1.6 times as long.
    initial_backoff: int = SECOND
    max_backoff: int = 20 * SECOND
    close_timeout: int = 500 * MS  # for the last bytes of a connection to leave


class ReconnectBackoff:
    """Delays between connects: longer after each failure, and randomised to spread the load."""

    FACTOR = 1.6

    def __init__(self, rng: Random, limits: RpcLimits) -> None:
        self._rng, self._initial, self._max = rng, limits.initial_backoff, limits.max_backoff
        self.failures = 0  # in a row

    def reset(self) -> None:
        self.failures = 0

    def next_delay(self) -> int:
        """Counts a failure; returns the delay in ns, drawn from the upper half of the backoff."""
        backoff = min(self._max, self._initial * self.FACTOR ** min(self.failures, 20))
        self.failures += 1
        return int(backoff * self._rng.uniform(0.5, 1.0))


def encode_message(message: bytes) -> bytes:
    """Returns the message with its prefix, not compressed."""
    return b"\0" + len(message).to_bytes(4, "big") + message


class MessageDecoder:
    """Splits the bytes of a call into messages. The maximum message size bounds its buffer."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, content: bytes) -> list[bytes]:
        """Adds received bytes; returns the messages that are complete now.

        Raises:
            RpcError: RESOURCE_EXHAUSTED for a message over the limit, known from its prefix alone;
                UNIMPLEMENTED for a compressed one; INTERNAL for an invalid prefix.
        """
        self._buffer += content
        messages = []
        offset = 0
        while len(self._buffer) - offset >= PREFIX_BYTES:
            if self._buffer[offset] == 1:
                raise RpcError(Code.UNIMPLEMENTED, "compressed messages are not taken")
            if self._buffer[offset]:
                raise RpcError(Code.INTERNAL, "not a message's prefix")
            length = int.from_bytes(self._buffer[offset + 1 : offset + PREFIX_BYTES], "big")
            if length > self._max_bytes:
                raise RpcError(
                    Code.RESOURCE_EXHAUSTED,
                    f"a message of {length} bytes, {self._max_bytes} are taken",
                )
            if len(self._buffer) - offset < PREFIX_BYTES + length:
                break
            messages.append(
                bytes(self._buffer[offset + PREFIX_BYTES : offset + PREFIX_BYTES + length])
            )
            offset += PREFIX_BYTES + length
        if offset:
            del self._buffer[:offset]
        return messages

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete message is buffered."""
        return bool(self._buffer)


def parse_timeout(value: bytes) -> int:
    """Returns the value of a `grpc-timeout` header in ns.

    Raises:
        RpcError: INVALID_ARGUMENT for a malformed value.
    """
    match = _TIMEOUT.fullmatch(value)
    if match is None:
        raise RpcError(Code.INVALID_ARGUMENT, f"grpc-timeout holds {value!r:.40}")
    return int(match[1]) * TIMEOUT_UNITS[match[2].decode()]


def format_timeout(timeout: int) -> str:
    """Formats a time in ns for `grpc-timeout`, rounded up, in the finest unit with 8 digits."""
    for unit in "numSMH":
        if timeout <= 99_999_999 * TIMEOUT_UNITS[unit]:
            return f"{-(-max(0, timeout) // TIMEOUT_UNITS[unit])}{unit}"
    return "99999999H"


def encode_status_message(text: str) -> str:
    """Percent-encodes a text for `grpc-message`."""
    return quote_from_bytes(text.encode(), safe=UNESCAPED_CHARACTERS)


def decode_status_message(value: bytes) -> str:
    return unquote_to_bytes(value).decode("utf-8", "replace")


def status_from_trailers(headers: dict[bytes, bytes]) -> RpcError | None:
    """Returns the error in a call's trailers; None for OK. A missing status means UNKNOWN."""
    value = headers.get(b"grpc-status", b"")
    try:
        code = Code(int(value)) if len(value) < 4 else Code.UNKNOWN
    except ValueError:
        code = Code.UNKNOWN
    return (
        RpcError(code, decode_status_message(headers.get(b"grpc-message", b""))) if code else None
    )


CODES_BY_HTTP_STATUS = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}


def error_from_http_status(status: bytes) -> RpcError:
    """Maps an HTTP status other than 200 to a gRPC error, by gRPC's table."""
    code = CODES_BY_HTTP_STATUS.get(int(status), Code.UNKNOWN) if status.isdigit() else Code.UNKNOWN
    return RpcError(code, f"HTTP status {status.decode('ascii', 'replace')}")
