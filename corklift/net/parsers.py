"""Lines of the protocol, HTTP/1.1 as discovery answers it and operators call by it, and JSON.

Pure: bytes in, values out, for any split of the bytes. Owns no socket, no clock and no state beyond one message
that is still coming in. Must never guess: what doesn't follow the form raises `Malformed`.
"""

from __future__ import annotations

import json
import math
import re
from abc import ABC, abstractmethod
from hashlib import blake2b
from typing import Any, NamedTuple

from corklift.interface import Status

PING, PONG, STATS = b"PING\r\n", b"PONG\r\n", b"STATS\r\n"
MOVE, FAILED, BUSY, ERR = b"MOVE\r\n", b"FAILED\r\n", b"BUSY\r\n", b"ERR\r\n"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASONS = {
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
STATUSES = {"active": Status.READY, "leaving": Status.DRAINING, "left": Status.GONE}
_OPENING = re.compile(rb"OPEN ([!-~]+) ([!-~]+) ([!-~]+)\r\n", re.ASCII)
_NAME = re.compile(r"[a-z_][a-z0-9_]*")
_TIME_LEFT = re.compile(rb"((?: |,)d=)[0-9]+(?=[,\r])")
_NUMBERED = re.compile(r"(?:[A-Za-z]+-)?([0-9a-f]{8,16})")
_ADDRESS = re.compile(r"((?:\d{1,3}\.){3}\d{1,3}):(\d{1,5})")


class Malformed(Exception):
    """What came does not follow the form."""


class MessageTooLongError(Malformed):
    """What came is longer than it may be."""


def stable_id(text: str, plain: bool = True) -> int:
    """The same number for a name at every balancer: the decisions compare ids and order servers by them.

    A name that is a number in hexadecimal, behind a word or not, is that number, as on the simulator's wire, so
    that both order servers alike; any other, or one whose number another name has too, is hashed.
    """
    found = _NUMBERED.fullmatch(text) if plain else None
    number = (
        int(found[1], 16)
        if found
        else int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
    )
    return number or 1


class LoginRequest(NamedTuple):
    """A client's first line."""

    line: bytes
    connection_name: str  # of this connection, new with each
    workload: str
    max_wait: int | None  # how long the client waits, ns
    subject: str
    group: str
    came_back: bool
    previous_server: str  # the server that held it before the start, or nothing
    cost: float | None

    def with_time_limit(self, wait: int) -> bytes:
        """The line for a server, unchanged but for how long the balancer will wait."""
        left = b"%d" % max(1, wait // 1_000_000)
        return _TIME_LEFT.sub(lambda found: found[1] + left, self.line, count=1)


def parse_login_request(line: bytes) -> LoginRequest:
    found = _OPENING.fullmatch(line)
    if found is None:
        raise Malformed("no OPEN line")
    values: dict[str, str] = {}
    for item in found[3].decode("ascii").split(","):
        name, equals, value = item.partition("=")
        if not equals or not _NAME.fullmatch(name) or name in values:
            raise Malformed("no list of names and values")
        values[name] = value
    if "c" not in values:
        raise Malformed("no workload")
    wait = values.get("d")
    if wait is not None and not (wait.isdecimal() and len(wait) <= 12):
        raise Malformed("absurd time to wait")
    return LoginRequest(
        line,
        found[1].decode("ascii"),
        values["c"],
        None if wait is None else int(wait) * 1_000_000,
        found[2].decode("ascii"),
        values.get("g", ""),
        values.get("again") == "1",
        values.get("at", ""),
        _number(values["h"]) if "h" in values else None,
    )


def _number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise Malformed("no number") from None
    if not math.isfinite(value) or value < 0:
        raise Malformed("absurd number")
    return value


def format_busy(retry_in: int) -> bytes:
    """The answer that trying again is harmless, with the time after which to come, if any."""
    return b"BUSY %d\r\n" % (retry_in // 1_000_000) if retry_in >= 1_000_000 else BUSY


class ServerLine(NamedTuple):
    keyword: str
    arguments: str


def parse_server_line(line: bytes) -> ServerLine:
    if not line.endswith(b"\r\n"):
        raise Malformed("no CRLF")
    try:
        word, _, rest = line[:-2].decode("ascii").partition(" ")
    except UnicodeDecodeError:
        raise Malformed("not ASCII") from None
    return ServerLine(word, rest)


def parse_load_report(text: str) -> dict[str, float] | None:
    """`inflight=7,util=0.61`; None where no report came."""
    if not text:
        return None
    values = {}
    for item in text.split(","):
        name, _, value = item.partition("=")
        values[name] = _number(value)
    return values


def parse_load_value(text: str) -> float:
    """What `LOAD` tells."""
    return _number(text)


class ServerEntry(NamedTuple):
    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    status: Status
    weight: float
    started_at: int


class Listing(NamedTuple):
    version: int
    is_full: bool
    entries: tuple[ServerEntry, ...]
    unreadable_count: int  # entries that could not be read


def _entry(item: Any) -> ServerEntry:
    try:
        found = _ADDRESS.fullmatch(item["address"])
        if (
            found is None
            or int(found[2]) > 65535
            or any(int(part) > 255 for part in found[1].split("."))
        ):
            raise Malformed("address")
        started = item.get("since_ms", 0)
        entry = ServerEntry(
            item["name"],
            (found[1], int(found[2])),
            str(item.get("zone", "")),
            str(item.get("type", "")),
            int(item.get("group", 0)),
            STATUSES[item["status"]],
            float(item.get("weight", 1.0)),
            int(started) * 1_000_000,
        )
    except (KeyError, TypeError, ValueError, OverflowError) as problem:
        raise Malformed(f"entry: {problem!r}") from None
    if not isinstance(entry.name, str) or not entry.name or not math.isfinite(entry.weight):
        raise Malformed("entry: name or weight")
    return entry


def parse_listing(content: Any) -> Listing:
    """The list of servers in discovery's form."""
    if not isinstance(content, dict) or not isinstance(content.get("endpoints"), list):
        raise Malformed("no list of servers")
    index, whole = content.get("index"), content.get("snapshot", False)
    if not isinstance(index, int) or isinstance(index, bool) or not isinstance(whole, bool):
        raise Malformed("index or snapshot")
    entries, unreadable_count = [], 0
    for item in content["endpoints"]:
        try:
            entries.append(_entry(item))
        except Malformed:
            unreadable_count += 1
    if unreadable_count and whole:
        # Guards against taking a server for gone because its entry could not be read.
        raise Malformed("an entry of the whole list")
    return Listing(index, whole, tuple(entries), unreadable_count)


def format_http_get(path: str, host: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode(
        "ascii"
    )


class HttpMessage(ABC):
    """One message of HTTP/1.1, fed as it comes; its first line is for the kind of message to read."""

    HEAD_MOST = 16384

    def __init__(self, body_most: int) -> None:
        self._most = body_most
        self._bytes = bytearray()
        self._left: int | None = None  # of the body, or of the chunk
        self._chunked = self._to_end = False
        self._body = bytearray()
        self.header_done = self.done = False
        self.fields: dict[bytes, bytes] = {}
        self.keep_alive = True  # the connection may be used again

    def feed(self, content: bytes) -> None:
        self._bytes += content
        if not self.header_done:
            self._read_head()
        if self.header_done and not self.done:
            if self._chunked:
                self._read_chunks()
            else:
                self._read_plain()
        if len(self._body) > self._most:
            raise MessageTooLongError("body too long")

    def connection_closed(self) -> None:
        """The connection has ended; that ends a message of unstated length, and spoils any other."""
        self.keep_alive = False
        if not self.done:
            if not (self.header_done and self._to_end):
                raise Malformed("message cut off")
            self.done = True

    def _decoded(self) -> Any:
        try:
            return json.loads(self._body)
        except (ValueError, RecursionError):
            raise Malformed("no JSON") from None

    @abstractmethod
    def _first_line(self, line: bytes) -> None:
        """Reads the first line of a head."""

    def _without_length(self) -> None:
        """Nothing in the head says how long the body is."""
        self._to_end = True

    def _read_head(self) -> None:
        end = self._bytes.find(b"\r\n\r\n")
        if end > self.HEAD_MOST or (end < 0 and len(self._bytes) > self.HEAD_MOST):
            raise MessageTooLongError("head too long")
        if end < 0:
            return
        first, *lines = bytes(self._bytes[:end]).split(b"\r\n")
        del self._bytes[: end + 4]
        self._first_line(first)
        self.fields = fields = {}
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or not name or name != name.strip():
                raise Malformed("header")
            fields[name.lower()] = value.strip()
        if fields.get(b"connection", b"").lower() == b"close":
            self.keep_alive = False
        if self._goes_on():
            return self._read_head()
        self.header_done = True
        if fields.get(b"transfer-encoding", b"").lower() == b"chunked":
            self._chunked = True
        elif self._bodiless():
            self._left = 0
        elif b"content-length" in fields:
            length = fields[b"content-length"]
            if not length.isdigit():
                raise Malformed("length")
            if len(length) > 12 or int(length) > self._most:
                raise MessageTooLongError("length")
            self._left = int(length)
        else:
            self._without_length()

    def _goes_on(self) -> bool:
        """Whether another head follows this one."""
        return False

    def _bodiless(self) -> bool:
        return False

    def _read_plain(self) -> None:
        if self._to_end:
            self._body += self._bytes
            self._bytes.clear()
            return
        assert self._left is not None
        part = self._bytes[: self._left]
        del self._bytes[: len(part)]
        self._body += part
        self._left -= len(part)
        self.done = not self._left

    def _read_chunks(self) -> None:
        while not self.done:
            if self._left is None:
                end = self._bytes.find(b"\r\n")
                if end > 1024 or (end < 0 and len(self._bytes) > 1024):
                    raise Malformed("chunk")
                if end < 0:
                    return
                size = bytes(self._bytes[:end]).split(b";")[0].strip()
                del self._bytes[: end + 2]
                if not re.fullmatch(rb"[0-9a-fA-F]{1,8}", size):
                    raise Malformed("chunk")
                self._left = int(size, 16)
                if len(self._body) + self._left > self._most:
                    raise MessageTooLongError("body too long")
                if not self._left:
                    self._left = -1  # trailers, up to an empty line
            if self._left < 0:
                end = self._bytes.find(b"\r\n")
                if end > 1024 or (end < 0 and len(self._bytes) > 1024):
                    raise Malformed("trailer")
                if end < 0:
                    return
                del self._bytes[: end + 2]
                self.done = end == 0
                continue
            if len(self._bytes) < self._left + 2:
                return
            if self._bytes[self._left : self._left + 2] != b"\r\n":
                raise Malformed("chunk")
            self._body += self._bytes[: self._left]
            del self._bytes[: self._left + 2]
            self._left = None


class HttpResponse(HttpMessage):
    """An answer to a GET."""

    def __init__(self, body_most: int) -> None:
        super().__init__(body_most)
        self.status = 0

    def json(self) -> Any:
        if self.status != 200:
            raise Malformed(f"status {self.status}")
        return self._decoded()

    def _first_line(self, line: bytes) -> None:
        found = re.fullmatch(rb"HTTP/1\.([01]) (\d{3})(?: .*)?", line)
        if found is None:
            raise Malformed("no HTTP/1.1")
        self.status, self.keep_alive = int(found[2]), found[1] == b"1"

    def _goes_on(self) -> bool:
        return 100 <= self.status < 200

    def _bodiless(self) -> bool:
        return self.status in (204, 304)


class HttpRequest(HttpMessage):
    """A call that comes in."""

    def __init__(self, body_most: int) -> None:
        super().__init__(body_most)
        self.method = self.path = ""

    @property
    def expects_continue(self) -> bool:
        """Whether the caller sends the body only when told to go on."""
        return self.fields.get(b"expect", b"").lower() == b"100-continue" and not self.done

    def json_object(self) -> dict[str, Any]:
        content = self._decoded()
        if not isinstance(content, dict):
            raise Malformed("no JSON object")
        return content

    def _first_line(self, line: bytes) -> None:
        found = re.fullmatch(rb"([A-Z]{1,16}) ([!-~]{1,2048}) HTTP/1\.[01]", line)
        if found is None:
            raise Malformed("no HTTP/1.1")
        self.method, self.path = (
            found[1].decode("ascii"),
            found[2].decode("ascii").partition("?")[0],
        )

    def _without_length(self) -> None:
        self._left = 0


def format_http_response(status: int, text: str, more: str = "") -> bytes:
    """The one answer on its connection, which then ends."""
    body = text.encode()
    return (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\n{more}Connection: close\r\n\r\n"
    ).encode("ascii") + body
