"""Parsers for the line protocol, for HTTP/1.1 and for the JSON of discovery.

Clients and servers speak the line protocol; discovery and operators use HTTP. The parsers do no
I/O. The HTTP parsers accept a message in any split and keep no state beyond it. Input that does
not follow the protocol raises `Malformed`; nothing is guessed.
"""

from __future__ import annotations

import json
import math
import re
from abc import ABC, abstractmethod
from typing import Any, NamedTuple

from corklift.interface import Status
from corklift.net.digests import blake2b

PING, PONG, STATS = b"PING\r\n", b"PONG\r\n", b"STATS\r\n"
MOVE, FAILED, BUSY, ERR = b"MOVE\r\n", b"FAILED\r\n", b"BUSY\r\n", b"ERR\r\n"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
SERVER_STATUSES = {"active": Status.READY, "leaving": Status.DRAINING, "left": Status.GONE}
_OPEN_LINE = re.compile(rb"OPEN ([!-~]+) ([!-~]+) ([!-~]+)\r\n", re.ASCII)
_KEY = re.compile(r"[a-z_][a-z0-9_]*")
_TIME_LIMIT_VALUE = re.compile(rb"((?: |,)d=)[0-9]+(?=[,\r])")
_HEXADECIMAL_NAME = re.compile(r"(?:[A-Za-z]+-)?([0-9a-f]{8,16})")
_ADDRESS = re.compile(r"((?:\d{1,3}\.){3}\d{1,3}):(\d{1,5})")

# The largest number that a client or a server may state. Counts, bytes and times in ns are all
# smaller, and sums and products of such numbers stay finite.
MAX_NUMBER = 1e21


class Malformed(Exception):
    """The input does not follow the protocol.

    The class name is printed in log lines that a tool matches, and the texts become parts of
    counter names.
    """


class MessageTooLongError(Malformed):
    """The message, its header or its body exceeds the limit."""


def hashed_id(text: str) -> int:
    """Returns an id that depends on the whole text, and on nothing else."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") or 1


def numbered_id(text: str) -> int | None:
    """Returns the number of a hexadecimal name, with or without a prefix such as `s-`."""
    found = _HEXADECIMAL_NAME.fullmatch(text)
    return (int(found[1], 16) or 1) if found else None


def stable_id(text: str) -> int:
    """Returns the id of a subject or a group; it is the same at every balancer.

    A hexadecimal name has its number as its id, which the simulator's wire uses too; any other name
    is hashed. Names that differ in a prefix only may share an id.
    """
    return numbered_id(text) or hashed_id(text)


def server_id(name: str) -> int:
    """Returns the id of a server.

    It depends on the name alone, so that it is the same at every balancer and in every process, and
    hashes the whole name, so that servers whose names share a number do not share an id. The low 64
    bits, by which the decisions order servers, are the number of a hexadecimal name.
    """
    name_hash, number = hashed_id(name), numbered_id(name)
    return name_hash if number is None else name_hash >> 16 << 64 | number


def is_unicode(text: str) -> bool:
    """Whether the text can be encoded; JSON may have half of a surrogate pair, which can't."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


class LoginRequest(NamedTuple):
    """A client's first line, the request to log in."""

    line: bytes
    connection_name: str  # unique to each connection
    workload: str
    max_wait: int | None  # how long the client waits for an answer, in ns
    subject: str
    group: str
    came_back: bool  # the client returns after its connection broke or was moved
    previous_server: str  # the server the client was connected to before a restart, or empty
    cost: float | None  # expected work, in µs per second

    def with_time_limit(self, time_limit: int) -> bytes:
        """Returns the line for a server: unchanged except for the time limit, which is in ns."""
        milliseconds = b"%d" % max(1, time_limit // 1_000_000)
        return _TIME_LIMIT_VALUE.sub(lambda found: found[1] + milliseconds, self.line, count=1)


def parse_login_request(line: bytes) -> LoginRequest:
    """Parses `OPEN NAME SUBJECT key=value,...`."""
    found = _OPEN_LINE.fullmatch(line)
    if found is None:
        raise Malformed("no OPEN line")
    values: dict[str, str] = {}
    for item in found[3].decode("ascii").split(","):
        name, equals, value = item.partition("=")
        if not equals or not _KEY.fullmatch(name) or name in values:
            raise Malformed("no list of names and values")
        values[name] = value
    if "c" not in values:
        raise Malformed("no workload")
    max_wait = values.get("d")
    if max_wait is not None and not (max_wait.isdecimal() and len(max_wait) <= 12):
        raise Malformed("absurd time to wait")
    return LoginRequest(
        line,
        found[1].decode("ascii"),
        values["c"],
        None if max_wait is None else int(max_wait) * 1_000_000,
        found[2].decode("ascii"),
        values.get("g", ""),
        values.get("again") == "1",
        values.get("at", ""),
        _parse_number(values["h"]) if "h" in values else None,
    )


def _parse_number(text: str) -> float:
    """Parses a number that a client or a server states, from 0 to `MAX_NUMBER`."""
    try:
        value = float(text)
    except ValueError:
        raise Malformed("no number") from None
    if not 0 <= value <= MAX_NUMBER:  # nor a NaN
        raise Malformed("absurd number")
    return value


def format_busy(retry_in: int) -> bytes:
    """Returns the BUSY answer: a retry is harmless, after `retry_in` ns rounded down to ms."""
    return b"BUSY %d\r\n" % (retry_in // 1_000_000) if retry_in >= 1_000_000 else BUSY


class ServerLine(NamedTuple):
    """A line of a server: a keyword, and arguments after a space."""

    keyword: str
    arguments: str


def parse_server_line(line: bytes) -> ServerLine:
    if not line.endswith(b"\r\n"):
        raise Malformed("no CRLF")
    try:
        keyword, _, arguments = line[:-2].decode("ascii").partition(" ")
    except UnicodeDecodeError:
        raise Malformed("not ASCII") from None
    return ServerLine(keyword, arguments)


def parse_load_report(text: str) -> dict[str, float] | None:
    """Parses `inflight=7,util=0.61`; returns None for an empty report."""
    if not text:
        return None
    values = {}
    for item in text.split(","):
        name, _, value = item.partition("=")
        values[name] = _parse_number(value)
    return values


def parse_load_value(text: str) -> float:
    """Parses the argument of `LOAD`."""
    return _parse_number(text)


class ServerEntry(NamedTuple):
    """A server in discovery's list."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    status: Status
    weight: float
    started_at: int  # Unix time in ns


class Listing(NamedTuple):
    """A server list as discovery sends it."""

    version: int
    is_full: bool  # all servers; False: only changes
    entries: tuple[ServerEntry, ...]
    unreadable_count: int  # entries that could not be parsed


def _parse_entry(item: Any) -> ServerEntry:
    try:
        found = _ADDRESS.fullmatch(item["address"])
        if (
            found is None
            or int(found[2]) > 65535
            or any(int(octet) > 255 for octet in found[1].split("."))
        ):
            raise Malformed("address")
        started = item.get("since_ms", 0)
        entry = ServerEntry(
            item["name"],
            (found[1], int(found[2])),
            str(item.get("zone", "")),
            str(item.get("type", "")),
            int(item.get("group", 0)),
            SERVER_STATUSES[item["status"]],
            float(item.get("weight", 1.0)),
            int(started) * 1_000_000,
        )
    except (KeyError, TypeError, ValueError, OverflowError) as problem:
        raise Malformed(f"entry: {problem!r}") from None
    if not isinstance(entry.name, str) or not entry.name or not math.isfinite(entry.weight):
        raise Malformed("entry: name or weight")
    if not all(map(is_unicode, (entry.name, entry.zone, entry.kind))):
        raise Malformed("entry: text")
    return entry


def parse_listing(content: Any) -> Listing:
    """Parses the decoded JSON of discovery's answer."""
    if not isinstance(content, dict) or not isinstance(content.get("endpoints"), list):
        raise Malformed("no list of servers")
    index, is_full = content.get("index"), content.get("snapshot", False)
    if not isinstance(index, int) or isinstance(index, bool) or not isinstance(is_full, bool):
        raise Malformed("index or snapshot")
    entries, unreadable_count = [], 0
    for item in content["endpoints"]:
        try:
            entries.append(_parse_entry(item))
        except Malformed:
            unreadable_count += 1
    if unreadable_count and is_full:
        # Otherwise a server would count as gone because its entry could not be parsed.
        raise Malformed("an entry of the whole list")
    return Listing(index, is_full, tuple(entries), unreadable_count)


def format_http_get(path: str, host: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode(
        "ascii"
    )


class HttpMessage(ABC):
    """An incremental parser of one HTTP/1.1 message; subclasses parse the first line."""

    MAX_HEADER_BYTES = 16384
    MAX_HEADER_FIELDS = 100
    # The fields that are used; no other is kept.
    HEADER_FIELDS = (b"connection", b"content-length", b"expect", b"transfer-encoding")

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._bytes = bytearray()
        self._remaining: int | None = None  # bytes of the body, or of the current chunk
        self._chunked = self._until_close = False
        self._body = bytearray()
        self.header_done = self.done = False
        self.headers: dict[bytes, bytes] = {}
        self.keep_alive = True  # the connection can be used again

    def feed(self, content: bytes) -> None:
        self._bytes += content
        if not self.header_done:
            self._parse_header()
        if self.header_done and not self.done:
            if self._chunked:
                self._parse_chunks()
            else:
                self._parse_plain_body()
        if len(self._body) > self._max_body_bytes:
            raise MessageTooLongError("body too long")
        if self.done and self._bytes:
            self.keep_alive = False  # what follows would be taken for the next message

    @property
    def ends_with_connection(self) -> bool:
        """Returns whether the header states no length, so that the end of the connection counts."""
        return self.header_done and self._until_close

    def connection_closed(self) -> None:
        """Ends a message without a stated length; any other incomplete message is invalid."""
        self.keep_alive = False
        if not self.done:
            if not self.ends_with_connection:
                raise Malformed("message cut off")
            self.done = True

    def _decode_json(self) -> Any:
        try:
            return json.loads(self._body)
        except (ValueError, RecursionError):
            raise Malformed("no JSON") from None

    @abstractmethod
    def _parse_first_line(self, line: bytes) -> None:
        """Parses the first line of a header."""

    def _no_length_given(self) -> None:
        """Called when the header does not give the length of the body."""
        self._until_close = True

    def _parse_header(self) -> None:
        end = self._bytes.find(b"\r\n\r\n")
        if end > self.MAX_HEADER_BYTES or (end < 0 and len(self._bytes) > self.MAX_HEADER_BYTES):
            raise MessageTooLongError("head too long")
        if end < 0:
            return
        if self._bytes.count(b"\r\n", 0, end) > self.MAX_HEADER_FIELDS:
            raise MessageTooLongError(f"head of more than {self.MAX_HEADER_FIELDS} fields")
        first, *lines = bytes(self._bytes[:end]).split(b"\r\n")
        del self._bytes[: end + 4]
        self._parse_first_line(first)
        self.headers = headers = {}
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or not name or name != name.strip():
                raise Malformed("header")
            if name.lower() in self.HEADER_FIELDS:
                headers[name.lower()] = value.strip()
        if headers.get(b"connection", b"").lower() == b"close":
            self.keep_alive = False
        if self._is_interim():
            return self._parse_header()
        self.header_done = True
        if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
            self._chunked = True
        elif self._has_no_body():
            self._remaining = 0
        elif b"content-length" in headers:
            length = headers[b"content-length"]
            if not length.isdigit():
                raise Malformed("length")
            if len(length) > 12 or int(length) > self._max_body_bytes:
                raise MessageTooLongError(
                    f"length {length[:12].decode()}, {self._max_body_bytes} bytes are taken"
                )
            self._remaining = int(length)
        else:
            self._no_length_given()

    def _is_interim(self) -> bool:
        """Returns whether another header follows this one."""
        return False

    def _has_no_body(self) -> bool:
        return False

    def _parse_plain_body(self) -> None:
        if self._until_close:
            self._body += self._bytes
            self._bytes.clear()
            return
        assert self._remaining is not None
        content = self._bytes[: self._remaining]
        del self._bytes[: len(content)]
        self._body += content
        self._remaining -= len(content)
        self.done = not self._remaining

    def _parse_chunks(self) -> None:
        while not self.done:
            if self._remaining is None:
                end = self._bytes.find(b"\r\n")
                if end > 1024 or (end < 0 and len(self._bytes) > 1024):
                    raise Malformed("chunk")
                if end < 0:
                    return
                size = bytes(self._bytes[:end]).split(b";")[0].strip()
                del self._bytes[: end + 2]
                if not re.fullmatch(rb"[0-9a-fA-F]{1,8}", size):
                    raise Malformed("chunk")
                self._remaining = int(size, 16)
                if len(self._body) + self._remaining > self._max_body_bytes:
                    raise MessageTooLongError("body too long")
                if not self._remaining:
                    self._remaining = -1  # trailers follow, up to an empty line
            if self._remaining < 0:
                end = self._bytes.find(b"\r\n")
                if end > 1024 or (end < 0 and len(self._bytes) > 1024):
                    raise Malformed("trailer")
                if end < 0:
                    return
                del self._bytes[: end + 2]
                self.done = end == 0
                continue
            if len(self._bytes) < self._remaining + 2:
                return
            if self._bytes[self._remaining : self._remaining + 2] != b"\r\n":
                raise Malformed("chunk")
            self._body += self._bytes[: self._remaining]
            del self._bytes[: self._remaining + 2]
            self._remaining = None


class HttpResponse(HttpMessage):
    """A response to a GET request."""

    def __init__(self, max_body_bytes: int) -> None:
        super().__init__(max_body_bytes)
        self.status = 0

    def json(self) -> Any:
        if self.status != 200:
            raise Malformed(f"status {self.status}")
        return self._decode_json()

    def _parse_first_line(self, line: bytes) -> None:
        found = re.fullmatch(rb"HTTP/1\.([01]) (\d{3})(?: .*)?", line)
        if found is None:
            raise Malformed("no HTTP/1.1")
        self.status, self.keep_alive = int(found[2]), found[1] == b"1"

    def _is_interim(self) -> bool:
        return 100 <= self.status < 200

    def _has_no_body(self) -> bool:
        return self.status in (204, 304)


class HttpRequest(HttpMessage):
    """A request of an operator."""

    def __init__(self, max_body_bytes: int) -> None:
        super().__init__(max_body_bytes)
        self.method = self.path = ""

    @property
    def expects_continue(self) -> bool:
        """Returns whether the client waits for `100 Continue` before it sends the body."""
        return self.headers.get(b"expect", b"").lower() == b"100-continue" and not self.done

    def json_object(self) -> dict[str, Any]:
        content = self._decode_json()
        if not isinstance(content, dict):
            raise Malformed("no JSON object")
        return content

    def _parse_first_line(self, line: bytes) -> None:
        found = re.fullmatch(rb"([A-Z]{1,16}) ([!-~]{1,2048}) HTTP/1\.[01]", line)
        if found is None:
            raise Malformed("no HTTP/1.1")
        self.method, self.path = (
            found[1].decode("ascii"),
            found[2].decode("ascii").partition("?")[0],
        )

    def _no_length_given(self) -> None:
        self._remaining = 0


def format_http_response(status: int, text: str, extra_headers: str = "") -> bytes:
    """Returns a response that closes its connection."""
    body = text.encode()
    return (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\n{extra_headers}Connection: close\r\n\r\n"
    ).encode("ascii") + body
