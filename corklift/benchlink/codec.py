"""Binary format of the messages that the adapter exchanges with the simulator.

The simulator sends batches of event records on standard input; the adapter answers each batch with
one reply, which holds action records. All numbers are big-endian. The names of the events are those
of the simulator's protocol.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from struct import error as StructError
from typing import BinaryIO, NamedTuple

from corklift.interface import ListedServer, Report, Status

# Number of the batch, number of its records, bytes of its body, time in ns.
BATCH_HEAD = Struct(">IIIQ")
# Number of the batch, bytes of the body.
REPLY_HEAD = Struct(">II")
U16 = Struct(">H")
U32 = Struct(">I")
U64 = Struct(">Q")
# The fields of `ListedServer`, in order.
ENTRY = Struct(">IHHHBfQ")

# Codes of the events.
MAIL, DISCOVERY, LEDGER, DROPPED, START, KILLED, CARRIED = 1, 2, 3, 4, 5, 6, 7
CHECK_RESULT, SELECT, UNDER_WAY, NEW_REQUEST, TICK_DUE, RESOLVED, NOTICE = 8, 9, 10, 11, 12, 13, 14

# Layout of the fixed fields of each event, which follow its code.
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
# Events with a variable part after the fixed fields: the index of the fixed field that holds its
# length, and the bytes of one item of it.
VARIABLE_PART = {
    MAIL: (1, 1),
    LEDGER: (1, ENTRY.size),
    START: (1, 1),
    CHECK_RESULT: (3, 4),
    RESOLVED: (6, 4),
}


class FrameError(Exception):
    """The input does not follow the format; the message says where."""


class Batch(NamedTuple):
    """A batch of event records, which are still encoded in `body`."""

    number: int
    count: int
    now: int
    body: bytes


def _read_fully(stream: BinaryIO, size: int) -> bytes:
    """Reads that many bytes, or fewer at the end of the input."""
    chunks = []
    remaining = size
    while remaining:
        chunk = stream.read(remaining)
        if not chunk:
            break
        chunks.append(chunk)
        remaining -= len(chunk)
    return b"".join(chunks)


def read_batch(stream: BinaryIO) -> Batch | None:
    """Reads the next batch; returns None at the end of the input.

    Raises:
        FrameError: the input ends within a batch.
    """
    header = _read_fully(stream, BATCH_HEAD.size)
    if not header:
        return None
    if len(header) < BATCH_HEAD.size:
        raise FrameError(f"input ends at byte {len(header)} of a batch header")
    number, count, size, now = BATCH_HEAD.unpack(header)
    body = _read_fully(stream, size)
    if len(body) < size:
        raise FrameError(f"batch {number}: input ends at byte {len(body)} of {size}")
    return Batch(number, count, now, body)


def read_records(batch: Batch) -> Iterator[tuple[int, tuple, bytes]]:
    """Yields the code, the fixed fields and the variable part of each record in turn.

    Raises:
        FrameError: a record is unknown or incomplete, or bytes remain after the last one.
    """
    body, offset = batch.body, 0
    body_size = len(body)
    for index in range(batch.count):
        if offset >= body_size:
            raise FrameError(f"batch {batch.number}: record {index} missing at byte {offset}")
        code = body[offset]
        layout = FIXED.get(code)
        if layout is None:
            raise FrameError(
                f"batch {batch.number}: record {index} at byte {offset} has unknown code {code}"
            )
        try:
            fields = layout.unpack_from(body, offset + 1)
        except StructError:
            raise FrameError(_cut_off(batch, index, code, offset)) from None
        start = offset
        offset += 1 + layout.size
        content = b""
        if code in VARIABLE_PART:
            count_index, item_size = VARIABLE_PART[code]
            size = fields[count_index] * item_size
            content = body[offset : offset + size]
            if len(content) < size:
                raise FrameError(_cut_off(batch, index, code, start))
            offset += size
        yield code, fields, content
    if offset != body_size:
        raise FrameError(
            f"batch {batch.number}: {body_size - offset} bytes left over at byte {offset}"
        )


def _cut_off(batch: Batch, index: int, code: int, offset: int) -> str:
    return f"batch {batch.number}: record {index} ({NAMES[code]}) at byte {offset} is cut off"


def parse_entries(content: bytes) -> tuple[ListedServer, ...]:
    """Parses the servers of a list.

    Raises:
        FrameError: an entry has an unknown status.
    """
    listed = []
    for index, (server, zone, kind, cell, status, weight, started_at) in enumerate(
        ENTRY.iter_unpack(content)
    ):
        if status not in STATUSES:
            raise FrameError(
                f"LEDGER: entry {index}, byte {index * ENTRY.size} of the entries: status {status}"
            )
        listed.append(ListedServer(server, zone, kind, cell, STATUSES[status], weight, started_at))
    return tuple(listed)


def parse_report(content: bytes, field_names: tuple[str | None, ...]) -> Report | None:
    """Parses a load report; returns None if there is none.

    `field_names` holds the `Report` field of each value, or None for a value that is not used.
    """
    if not content:
        return None
    values = Struct(f">{len(content) // 4}f").unpack(content)
    return Report(**{name: value for name, value in zip(field_names, values) if name is not None})


class Reply:
    """Encodes the reply to one batch: the actions of the balancers, in the order of the calls.

    Each method adds one action. The action codes are those of the simulator's protocol.
    """

    # Each layout starts with the code of the action, in one byte.
    _HAND_OFF = Struct(">BQIQ")
    _ID = Struct(">BQ")
    _ID_TIME = Struct(">BQQ")
    _ID_ATTEMPT = Struct(">BQB")
    _SERVER = Struct(">BI")
    _TIMER = Struct(">BQQ")
    _TEXT = Struct(">BH")
    _PEER_MESSAGE = Struct(">BHH")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._selected_instance: int | None = None

    def clear(self) -> None:
        self._buffer.clear()
        self._selected_instance = None

    def frame(self, number: int) -> bytes:
        """Returns the encoded reply to the batch with this number."""
        return REPLY_HEAD.pack(number, len(self._buffer)) + bytes(self._buffer)

    def _select_instance(self, instance: int) -> bytearray:
        """Returns the buffer, ready for an action of this balancer.

        An action belongs to the balancer that was selected last in the same reply.
        """
        if self._selected_instance != instance:
            self._selected_instance = instance
            self._buffer += b"\x05" + U16.pack(instance)
        return self._buffer

    def log(self, instance: int, text: str) -> None:
        encoded = text.encode("utf-8", "replace")[:65535]
        self._select_instance(instance).extend(self._TEXT.pack(1, len(encoded)) + encoded)

    def hand_off(self, instance: int, login: int, server: int, deadline: int) -> None:
        self._select_instance(instance).extend(self._HAND_OFF.pack(2, login, server, deadline))

    def terminate(self, instance: int, login: int) -> None:
        self._select_instance(instance).extend(self._ID.pack(3, login))

    def fault(self, instance: int, text: str) -> None:
        """Reports an error of this balancer to the simulator."""
        encoded = text.encode("utf-8", "replace")[:65535]
        self._select_instance(instance).extend(self._TEXT.pack(4, len(encoded)) + encoded)

    def cancel(self, instance: int, login: int, attempt: int) -> None:
        self._select_instance(instance).extend(self._ID_ATTEMPT.pack(6, login, attempt))

    def watch_list(self, instance: int, wanted: bool) -> None:
        self._select_instance(instance).extend((7, int(wanted)))

    def bounce(self, instance: int, login: int, retry_in: int) -> None:
        self._select_instance(instance).extend(self._ID_TIME.pack(8, login, retry_in))

    def resolve(self, instance: int) -> None:
        """Requests the server list once."""
        self._select_instance(instance).append(9)

    def close_idle(self, instance: int, server: int) -> None:
        self._select_instance(instance).extend(self._SERVER.pack(10, server))

    def move(self, instance: int, login: int) -> None:
        self._select_instance(instance).extend(self._ID.pack(11, login))

    def send_to_peer(self, instance: int, peer: int, content: bytes) -> None:
        self._select_instance(instance).extend(
            self._PEER_MESSAGE.pack(12, peer, len(content)) + content
        )

    def set_timer(self, instance: int, after: int, mark: int) -> None:
        self._select_instance(instance).extend(self._TIMER.pack(13, after, mark))

    def probe(self, instance: int, server: int) -> None:
        self._select_instance(instance).extend(self._SERVER.pack(14, server))
