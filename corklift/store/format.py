"""The on-disk format of the store: encoding and decoding of segments, and loading a folder of them.

A segment is a header, a snapshot of the state in several frames, and the batches committed since.
docs/design/store.md describes the format. This module does no I/O: it is given file names and their
bytes. It classifies each segment as complete, torn at its end or damaged. It never returns a state
that was not complete at some time, and never ignores damage to data that was known to be synced.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator
from struct import Struct, error
from typing import NamedTuple

from crc32c import crc32c

MAGIC, VERSION = b"corkstor", 1
# Magic, version, reserved, store id, segment number, number of the previous segment, bytes read of
# that one, sequence number, reserved, CRC of all this.
HEAD = Struct("<8sII16sQQQQII")
# Body length, kind, reserved, sequence number, synced, chain, CRC of the body, CRC of this header.
FRAME_HEAD = Struct("<IB3sQQIII")
# Put or delete, key length, value length.
ITEM_HEAD = Struct("<BHI")
BATCH, SNAPSHOT_PART, SNAPSHOT_END, SYNC_MARK = 1, 2, 3, 4
PUT, DELETE = 1, 2
MAX_KEY_BYTES, MAX_VALUE_BYTES, MAX_BODY_BYTES = 1 << 10, 16 << 20, 64 << 20
SNAPSHOT_PART_BYTES = 256 << 10  # approximate size of a snapshot frame
SEGMENT_NAME = re.compile(r"[0-9a-f]{16}\.seg")
_FRAME_KIND = re.compile(rb"(?=[\x01-\x04]\0\0\0)")  # the kind and reserved bytes of a frame header

Batch = dict[bytes, bytes | None]  # None: the key is deleted


class Refused(Exception):
    """A file is damaged elsewhere than at a torn end.

    The class name appears in JSON events and therefore stays.
    """

    def __init__(self, name: str, offset: int, reason: str) -> None:
        super().__init__(f"{name} at byte {offset}: {reason}")
        self.name, self.offset, self.reason = name, offset, reason


class SegmentHeader(NamedTuple):
    """The header of a segment file."""

    store_id: bytes  # drawn at random when the store was created
    number: int
    previous_number: int  # the segment whose state the snapshot contains; 0: none
    previous_bytes: int  # bytes of that segment that were read
    sequence: int  # of the last batch in the snapshot


class Frame(NamedTuple):
    """A decoded frame of a segment."""

    kind: int
    sequence: int
    # One more than the last batch known to be synced in this file when the frame was written;
    # 0: none was.
    synced: int
    offset: int
    end: int
    body: bytes
    checksum: int  # of the frame header; the next frame repeats it as its chain value


class TornTail(NamedTuple):
    """An incomplete end of a file, which was ignored."""

    name: str
    offset: int
    length: int


class LoadedState(NamedTuple):
    """The contents of a folder of segments."""

    state: dict[bytes, bytes]
    sequence: int
    store_id: bytes | None  # None: no file has a header
    newest_number: int  # of the newest file, whether it is complete or not
    segment_number: int  # of the segment that the state comes from; 0: there is no store
    segment_bytes: int  # bytes of that segment that were read
    torn_tails: tuple[TornTail, ...]


def segment_name(number: int) -> str:
    return f"{number:016x}.seg"


def encode_header(header: SegmentHeader) -> bytes:
    content = HEAD.pack(
        MAGIC,
        VERSION,
        0,
        header.store_id,
        header.number,
        header.previous_number,
        header.previous_bytes,
        header.sequence,
        0,
        0,
    )[:-4]
    return content + crc32c(content).to_bytes(4, "little")


def encode_frame(
    kind: int, sequence: int, synced: int, chain: int, body: bytes = b""
) -> tuple[bytes, int]:
    """Returns the bytes of a frame and its checksum, which is the chain value of the next frame."""
    header = FRAME_HEAD.pack(len(body), kind, b"\0\0\0", sequence, synced, chain, crc32c(body), 0)[
        :-4
    ]
    checksum = crc32c(header)
    return header + checksum.to_bytes(4, "little") + body, checksum


def encode_items(items: Iterable[tuple[bytes, bytes | None]]) -> bytes:
    """Returns the frame body that holds these items.

    Raises:
        ValueError: a key, a value or the whole body is too long.
    """
    out = bytearray()
    for key, value in items:
        if not 0 < len(key) <= MAX_KEY_BYTES or len(value or b"") > MAX_VALUE_BYTES:
            raise ValueError(f"a key of {len(key)} bytes with a value of {len(value or b'')}")
        out += (
            ITEM_HEAD.pack(DELETE if value is None else PUT, len(key), len(value or b""))
            + key
            + (value or b"")
        )
    if len(out) > MAX_BODY_BYTES:
        raise ValueError(f"a batch of {len(out)} bytes")
    return bytes(out)


def decode_items(body: bytes) -> Iterator[tuple[bytes, bytes | None]]:
    offset = 0
    while offset < len(body):
        kind, key, value = ITEM_HEAD.unpack_from(body, offset)
        offset += ITEM_HEAD.size
        if kind not in (PUT, DELETE) or offset + key + value > len(body):
            raise ValueError("invalid item")
        yield (
            body[offset : offset + key],
            None if kind == DELETE else body[offset + key : offset + key + value],
        )
        offset += key + value


def snapshot_parts(state: dict[bytes, bytes]) -> Iterator[bytes]:
    """Yields the bodies of the frames of a snapshot."""
    items: list[tuple[bytes, bytes]] = []
    size = 0
    for key, value in state.items():
        items.append((key, value))
        size += len(key) + len(value)
        if size >= SNAPSHOT_PART_BYTES:
            yield encode_items(items)
            items, size = [], 0
    if items:
        yield encode_items(items)


def decode_header(name: str, content: bytes) -> SegmentHeader:
    """Returns the header of a segment.

    Raises:
        Refused: it is no valid header, or has another version of the format.
    """
    if len(content) < HEAD.size:
        raise Refused(name, len(content), "it ends within its head")
    magic, version, _, store_id, number, previous_number, previous_bytes, sequence, _, checksum = (
        HEAD.unpack_from(content)
    )
    if magic != MAGIC:
        raise Refused(name, 0, "it is no segment of a store")
    if crc32c(content[: HEAD.size - 4]) != checksum:
        raise Refused(name, 0, "the head's checksum does not hold")
    if version != VERSION:
        raise Refused(name, 8, f"it is of form {version}, this program reads {VERSION}")
    if segment_name(number) != name:
        raise Refused(name, 32, f"it says that it is {segment_name(number)}")
    return SegmentHeader(store_id, number, previous_number, previous_bytes, sequence)


def decode_frame(content: bytes, offset: int) -> Frame | str:
    """Returns the frame that begins at the offset, or why there is no valid one."""
    try:
        length, kind, _, sequence, synced, chain, body_checksum, checksum = FRAME_HEAD.unpack_from(
            content, offset
        )
    except error:
        return "it ends within a frame's head"
    if crc32c(content[offset : offset + FRAME_HEAD.size - 4]) != checksum:
        return "the checksum of a frame's head does not hold"
    end = offset + FRAME_HEAD.size + length
    if end > len(content):
        return "it ends within a frame"
    body = content[offset + FRAME_HEAD.size : end]
    if crc32c(body) != body_checksum:
        return "the checksum of a frame's body does not hold"
    return Frame(kind, sequence, synced, offset, end, body, checksum)


def _highest_synced(content: bytes, start: int) -> int:
    """Returns the highest `synced` of any valid frame header at or after the start."""
    highest = 0
    for found in _FRAME_KIND.finditer(content, start + 4):
        offset = found.start() - 4
        if offset >= start and offset + FRAME_HEAD.size <= len(content):
            checksum = int.from_bytes(
                content[offset + FRAME_HEAD.size - 4 : offset + FRAME_HEAD.size], "little"
            )
            if crc32c(content[offset : offset + FRAME_HEAD.size - 4]) == checksum:
                highest = max(highest, FRAME_HEAD.unpack_from(content, offset)[4])
    return highest


class Segment:
    """One segment, decoded up to its end or to the first invalid frame."""

    def __init__(self, name: str, content: bytes) -> None:
        """Decodes the segment.

        Raises:
            Refused: data that was known to be synced is damaged.
        """
        self.name = name
        self.state: dict[bytes, bytes] = {}
        self.snapshot_complete = False
        self.torn_tail: TornTail | None = None
        self.header = decode_header(name, content)
        self.sequence = self.header.sequence
        self.frames: list[Frame] = []
        chain = int.from_bytes(content[HEAD.size - 4 : HEAD.size], "little")
        offset = HEAD.size
        while offset < len(content):
            frame = decode_frame(content, offset)
            reason = frame if isinstance(frame, str) else self._apply(frame, content, chain)
            if reason:
                # Distinguishes a flipped bit from a torn end: frames written later say what was
                # synced before them.
                if _highest_synced(content, offset) > (
                    self.sequence + 1 if self.snapshot_complete else 0
                ):
                    raise Refused(
                        name, offset, f"{reason}, and what follows says that this was synced"
                    )
                self.torn_tail = TornTail(name, offset, len(content) - offset)
                break
            assert isinstance(frame, Frame)
            chain, offset = frame.checksum, frame.end
        self.bytes_read = offset

    def _apply(self, frame: Frame, content: bytes, chain: int) -> str:
        """Applies a frame to the state; returns why it can't be applied, or an empty string."""
        if int.from_bytes(content[frame.offset + 24 : frame.offset + 28], "little") != chain:
            return "a frame that does not follow the one before it"
        if (
            frame.kind == BATCH
            and not (self.snapshot_complete and frame.sequence == self.sequence + 1)
            or (
                frame.kind in (SNAPSHOT_PART, SNAPSHOT_END)
                and (self.snapshot_complete or frame.sequence != self.header.sequence)
            )
        ):
            return f"a frame of kind {frame.kind} with number {frame.sequence} is out of place"
        if frame.kind not in (BATCH, SNAPSHOT_PART, SNAPSHOT_END, SYNC_MARK):
            return f"a frame of kind {frame.kind}"
        try:
            for key, value in decode_items(frame.body):
                if value is None:
                    self.state.pop(key, None)
                else:
                    self.state[key] = value
        except (ValueError, error):
            return "a body that can't be read"
        if frame.kind == BATCH:
            self.sequence = frame.sequence
        self.snapshot_complete = self.snapshot_complete or frame.kind == SNAPSHOT_END
        self.frames.append(frame._replace(body=b""))
        return ""


def _is_torn_creation(content: bytes) -> bool:
    """Returns whether the file was created but its header never reached the disk.

    The header lies within the first sector, which the disk writes whole or not at all.
    """
    return (len(content) < HEAD.size or not any(content[: HEAD.size])) and not _highest_synced(
        content, 0
    )


def load(names: Iterable[str], read: Callable[[str], bytes]) -> LoadedState:
    """Returns the last complete state that the files hold.

    Raises:
        Refused: a file is damaged elsewhere than at a torn end. No damage is ignored.
    """
    numbered = sorted((name for name in names if SEGMENT_NAME.fullmatch(name)), reverse=True)
    torn_tails: list[TornTail] = []
    best: Segment | None = None  # the newest one with a complete snapshot
    store_id: bytes | None = None
    is_new = True  # no file shows that a store existed here before
    for name in numbered:
        content = read(name)
        if _is_torn_creation(content):
            torn_tails.append(TornTail(name, 0, len(content)))
            is_new = is_new and name == segment_name(1)
            continue
        header = decode_header(name, content)
        store_id = store_id or header.store_id
        if header.store_id != store_id:
            raise Refused(name, 16, "it is of another store than the newer ones")
        is_new = is_new and not header.previous_number
        if best is not None:
            continue
        segment = Segment(name, content)
        if segment.snapshot_complete:
            best = segment
        if segment.torn_tail is not None or not segment.snapshot_complete:
            torn_tails.append(segment.torn_tail or TornTail(name, segment.bytes_read, 0))
    newest_number = int(numbered[0][:16], 16) if numbered else 0
    if best is None:
        if not is_new:
            raise Refused(numbered[0], 0, "no whole segment is there, though there was one")
        return LoadedState({}, 0, store_id, newest_number, 0, 0, tuple(torn_tails))
    return LoadedState(
        best.state,
        best.sequence,
        best.header.store_id,
        newest_number,
        best.header.number,
        best.bytes_read,
        tuple(torn_tails),
    )


class SalvageResult(NamedTuple):
    """What could be read of a damaged store."""

    state: dict[bytes, bytes]
    losses: tuple[str, ...]  # each part that was left out, and why


def salvage(names: Iterable[str], read: Callable[[str], bytes]) -> SalvageResult:
    """Reads all that is readable; newer segments take precedence. Each gap is reported.

    Keys whose deletion is lost with a damaged part may be back.
    """
    state: dict[bytes, bytes] = {}
    losses: list[str] = []
    for name in sorted(name for name in names if SEGMENT_NAME.fullmatch(name)):
        try:
            content = read(name)
            decode_header(name, content)
        except OSError as problem:
            losses.append(f"{name}: {problem}")
            continue
        except Refused as problem:
            losses.append(str(problem))
            content = content[: HEAD.size].ljust(HEAD.size, b"\0") + content[HEAD.size :]
        offset = HEAD.size
        snapshot_complete = False
        segment_state: dict[bytes, bytes] = {}
        while offset < len(content):
            frame = decode_frame(content, offset)
            if isinstance(frame, str):
                next_offset = _next_frame(content, offset + 1)
                losses.append(f"{name} at byte {offset}: {frame}, {next_offset - offset} bytes")
                offset = next_offset
                continue
            offset = frame.end
            snapshot_complete = snapshot_complete or frame.kind == SNAPSHOT_END
            try:
                for key, value in decode_items(frame.body):
                    if value is None:
                        segment_state.pop(key, None)
                    else:
                        segment_state[key] = value
            except (ValueError, error):
                losses.append(f"{name} at byte {frame.offset}: a body that can't be read")
        state = segment_state if snapshot_complete and not losses else state | segment_state
    return SalvageResult(state, tuple(losses))


def _next_frame(content: bytes, start: int) -> int:
    """Returns the offset of the next valid frame, or the length of the content."""
    for found in _FRAME_KIND.finditer(content, start + 4):
        if isinstance(decode_frame(content, found.start() - 4), Frame):
            return found.start() - 4
    return len(content)
