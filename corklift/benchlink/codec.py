"""Binary frames and records of the wire. Knows layouts and bounds, no decisions."""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from struct import error as StructError
from typing import BinaryIO, NamedTuple

from corklift.interface import ListedServer, Report, Status

BATCH_HEAD = Struct(">IIIQ")
REPLY_HEAD = Struct(">II")
U16 = Struct(">H")
U32 = Struct(">I")
U64 = Struct(">Q")
ENTRY = Struct(">IHHHBfQ")

# event codes
MAIL, DISCOVERY, LEDGER, DROPPED, START, KILLED, CARRIED = 1, 2, 3, 4, 5, 6, 7
CHECK_RESULT, SELECT, UNDER_WAY, NEW_REQUEST, TICK_DUE, RESOLVED, NOTICE = 8, 9, 10, 11, 12, 13, 14

FIXED = {
    MAIL: Struct(">HH"),
    DISCOVERY: Struct(">BQH"),
    LEDGER: Struct(">HI"),
    DROPPED: U64,
    START: Struct(">QI"),
    KILLED: Struct(">"),
    CARRIED: Struct(">QBIQQQQBI"),
    CHECK_RESULT: Struct(">IQHB"),
    SELECT: U16,
    UNDER_WAY: Struct(">QBIQ"),
    NEW_REQUEST: Struct(">QBIQQQQB"),
    TICK_DUE: U64,
    RESOLVED: Struct(">QBIHBQB"),
    NOTICE: Struct(">QfBBI"),
}
NAMES = {
    MAIL: "MAIL",
    DISCOVERY: "DISCOVERY",
    LEDGER: "LEDGER",
    DROPPED: "DROPPED",
    START: "START",
    KILLED: "KILLED",
    CARRIED: "CARRIED",
    CHECK_RESULT: "CHECK_RESULT",
    SELECT: "SELECT",
    UNDER_WAY: "UNDER_WAY",
    NEW_REQUEST: "NEW_REQUEST",
    TICK_DUE: "TICK_DUE",
    RESOLVED: "RESOLVED",
    NOTICE: "NOTICE",
}
STATUSES = {int(status): status for status in Status}
VARIABLE = {
    MAIL: (1, 1),
    LEDGER: (1, ENTRY.size),
    START: (1, 1),
    CHECK_RESULT: (3, 4),
    RESOLVED: (6, 4),
}


class BadFrame(Exception):
    """A frame that does not follow the layout; says where."""


class Batch(NamedTuple):
    number: int
    count: int
    now: int
    body: bytes


def _read_fully(stream: BinaryIO, size: int) -> bytes:
    parts = []
    left = size
    while left:
        part = stream.read(left)
        if not part:
            break
        parts.append(part)
        left -= len(part)
    return b"".join(parts)


def read_batch(stream: BinaryIO) -> Batch | None:
    head = _read_fully(stream, BATCH_HEAD.size)
    if not head:
        return None
    if len(head) < BATCH_HEAD.size:
        raise BadFrame(f"input ends at byte {len(head)} of a batch header")
    number, count, size, now = BATCH_HEAD.unpack(head)
    body = _read_fully(stream, size)
    if len(body) < size:
        raise BadFrame(f"batch {number}: input ends at byte {len(body)} of {size}")
    return Batch(number, count, now, body)


def records(batch: Batch) -> Iterator[tuple[int, tuple, bytes]]:
    """Yields (code, fixed fields, the variable content) of each record in turn."""
    body, at = batch.body, 0
    end = len(body)
    for index in range(batch.count):
        if at >= end:
            raise BadFrame(f"batch {batch.number}: record {index} missing at byte {at}")
        code = body[at]
        layout = FIXED.get(code)
        if layout is None:
            raise BadFrame(
                f"batch {batch.number}: record {index} at byte {at} has unknown code {code}"
            )
        try:
            fields = layout.unpack_from(body, at + 1)
        except StructError:
            raise BadFrame(_cut_off(batch, index, code, at)) from None
        start = at
        at += 1 + layout.size
        content = b""
        if code in VARIABLE:
            place, width = VARIABLE[code]
            size = fields[place] * width
            content = body[at : at + size]
            if len(content) < size:
                raise BadFrame(_cut_off(batch, index, code, start))
            at += size
        yield code, fields, content
    if at != end:
        raise BadFrame(f"batch {batch.number}: {end - at} bytes left over at byte {at}")


def _cut_off(batch: Batch, index: int, code: int, at: int) -> str:
    return f"batch {batch.number}: record {index} ({NAMES[code]}) at byte {at} is cut off"


def entries(content: bytes) -> tuple[ListedServer, ...]:
    listed = []
    for index, (server, zone, kind, cell, state, weight, started) in enumerate(
        ENTRY.iter_unpack(content)
    ):
        if state not in STATUSES:
            raise BadFrame(
                f"LEDGER: entry {index}, byte {index * ENTRY.size} of the entries: status {state}"
            )
        listed.append(ListedServer(server, zone, kind, cell, STATUSES[state], weight, started))
    return tuple(listed)


def report(content: bytes, names: tuple[str | None, ...]) -> Report | None:
    """The load report; `names` holds our field name for each place, None for values we don't use."""
    if not content:
        return None
    values = Struct(f">{len(content) // 4}f").unpack(content)
    return Report(**{name: value for name, value in zip(names, values) if name is not None})


class Reply:
    """Collects the answers of one batch as bytes, in the order in which they were given."""

    _HAND_OFF = Struct(">BQIQ")
    _ID = Struct(">BQ")
    _ID_TIME = Struct(">BQQ")
    _ID_TRY = Struct(">BQB")
    _SERVER = Struct(">BI")
    _TIMER = Struct(">BQQ")
    _TEXT = Struct(">BH")
    _SAY = Struct(">BHH")

    def __init__(self) -> None:
        self._out = bytearray()
        self._speaker: int | None = None

    def clear(self) -> None:
        self._out.clear()
        self._speaker = None

    def frame(self, number: int) -> bytes:
        return REPLY_HEAD.pack(number, len(self._out)) + bytes(self._out)

    def _as(self, instance: int) -> bytearray:
        if self._speaker != instance:
            self._speaker = instance
            self._out += b"\x05" + U16.pack(instance)
        return self._out

    def debug(self, instance: int, text: str) -> None:
        data = text.encode("utf-8", "replace")[:65535]
        self._as(instance).extend(self._TEXT.pack(1, len(data)) + data)

    def forward(self, instance: int, txn: int, server: int, cut_at: int) -> None:
        self._as(instance).extend(self._HAND_OFF.pack(2, txn, server, cut_at))

    def report_failure(self, instance: int, txn: int) -> None:
        self._as(instance).extend(self._ID.pack(3, txn))

    def fault(self, instance: int, text: str) -> None:
        data = text.encode("utf-8", "replace")[:65535]
        self._as(instance).extend(self._TEXT.pack(4, len(data)) + data)

    def revoke(self, instance: int, txn: int, attempt: int) -> None:
        self._as(instance).extend(self._ID_TRY.pack(6, txn, attempt))

    def subscribe(self, instance: int, wanted: bool) -> None:
        self._as(instance).extend((7, int(wanted)))

    def decline(self, instance: int, txn: int, retry_in: int) -> None:
        self._as(instance).extend(self._ID_TIME.pack(8, txn, retry_in))

    def resolve(self, instance: int) -> None:
        self._as(instance).append(9)

    def hang_up(self, instance: int, server: int) -> None:
        self._as(instance).extend(self._SERVER.pack(10, server))

    def transfer(self, instance: int, txn: int) -> None:
        self._as(instance).extend(self._ID.pack(11, txn))

    def say(self, instance: int, peer: int, content: bytes) -> None:
        self._as(instance).extend(self._SAY.pack(12, peer, len(content)) + content)

    def arm(self, instance: int, after: int, mark: int) -> None:
        self._as(instance).extend(self._TIMER.pack(13, after, mark))

    def sound_out(self, instance: int, server: int) -> None:
        self._as(instance).extend(self._SERVER.pack(14, server))
