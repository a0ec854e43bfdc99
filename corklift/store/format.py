"""The bytes of a segment: its head, its frames, and what is read from a folder of segments. docs/design/store.md is its page.

Owns the form and the judgement of what is whole, torn or damaged. Free of I/O: it is given names and bytes. Must never return a state
that was not complete once, or pass over damage in what was known to be synced.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator
from struct import Struct, error
from typing import NamedTuple

from crc32c import crc32c

MAGIC, VERSION = b"corkstor", 1
# magic, version, reserved, store, segment, the one before it, how far that one was read, sequence, reserved, CRC of all this
HEAD = Struct("<8sII16sQQQQII")
# length of the body, kind, reserved, sequence, synced, chain, CRC of the body, CRC of this head
FRAME = Struct("<IB3sQQIII")
ITEM = Struct("<BHI")  # put or delete, length of the key, length of the value
BATCH, PART, WHOLE, MARK = 1, 2, 3, 4
PUT, DELETE = 1, 2
MOST_KEY, MOST_VALUE, MOST_BODY = 1 << 10, 16 << 20, 64 << 20
PART_SIZE = 256 << 10  # of a snapshot's parts, about
NAME = re.compile(r"[0-9a-f]{16}\.seg")
_MAYBE = re.compile(rb"(?=[\x01-\x04]\0\0\0)")  # where a frame may have its kind

Batch = dict[bytes, bytes | None]  # None: the key is deleted


class Refused(Exception):
    """Damage that is no torn end: which file, at which byte, and why."""

    def __init__(self, name: str, offset: int, reason: str) -> None:
        super().__init__(f"{name} at byte {offset}: {reason}")
        self.name, self.offset, self.reason = name, offset, reason


class Head(NamedTuple):
    store: bytes  # drawn when the store was made
    number: int
    before: int  # the segment that this one was written from; 0: none
    read: int  # bytes of that one that were read
    sequence: int  # of the last batch in the snapshot


class Frame(NamedTuple):
    kind: int
    sequence: int
    synced: int  # one more than the last batch that was known to be synced in this file when this was written; 0: nothing was
    at: int
    end: int
    body: bytes
    mark: int  # the CRC by which the next one is chained to it


class Cut(NamedTuple):
    """A torn end that was left out."""

    name: str
    offset: int
    length: int


class Found(NamedTuple):
    """What a folder holds."""

    state: dict[bytes, bytes]
    sequence: int
    store: bytes | None  # None: no head tells
    newest: int  # number of the newest file, of whatever worth
    segment: int  # that the state comes from; 0: no store is there
    read: int  # bytes of it
    cuts: tuple[Cut, ...]


def name_of(number: int) -> str:
    return f"{number:016x}.seg"


def head(given: Head) -> bytes:
    plain = HEAD.pack(
        MAGIC, VERSION, 0, given.store, given.number, given.before, given.read, given.sequence, 0, 0
    )[:-4]
    return plain + crc32c(plain).to_bytes(4, "little")


def frame(
    kind: int, sequence: int, synced: int, chain: int, body: bytes = b""
) -> tuple[bytes, int]:
    """The bytes, and the mark by which the next one is chained to it."""
    plain = FRAME.pack(len(body), kind, b"\0\0\0", sequence, synced, chain, crc32c(body), 0)[:-4]
    mark = crc32c(plain)
    return plain + mark.to_bytes(4, "little") + body, mark


def encode(items: Iterable[tuple[bytes, bytes | None]]) -> bytes:
    """Raises:
    ValueError: a key or a value is too long.
    """
    out = bytearray()
    for key, value in items:
        if not 0 < len(key) <= MOST_KEY or len(value or b"") > MOST_VALUE:
            raise ValueError(f"a key of {len(key)} bytes with a value of {len(value or b'')}")
        out += (
            ITEM.pack(DELETE if value is None else PUT, len(key), len(value or b""))
            + key
            + (value or b"")
        )
    if len(out) > MOST_BODY:
        raise ValueError(f"a batch of {len(out)} bytes")
    return bytes(out)


def decode(body: bytes) -> Iterator[tuple[bytes, bytes | None]]:
    at = 0
    while at < len(body):
        kind, key, value = ITEM.unpack_from(body, at)
        at += ITEM.size
        if kind not in (PUT, DELETE) or at + key + value > len(body):
            raise ValueError("an item that is none")
        yield body[at : at + key], None if kind == DELETE else body[at + key : at + key + value]
        at += key + value


def parts(state: dict[bytes, bytes]) -> Iterator[bytes]:
    """A snapshot's bodies."""
    held: list[tuple[bytes, bytes]] = []
    size = 0
    for key, value in state.items():
        held.append((key, value))
        size += len(key) + len(value)
        if size >= PART_SIZE:
            yield encode(held)
            held, size = [], 0
    if held:
        yield encode(held)


def read_head(name: str, content: bytes) -> Head:
    """Raises:
    Refused: it is none, or of another form.
    """
    if len(content) < HEAD.size:
        raise Refused(name, len(content), "it ends within its head")
    magic, version, _, store, number, before, read, sequence, _, check = HEAD.unpack_from(content)
    if magic != MAGIC:
        raise Refused(name, 0, "it is no segment of a store")
    if crc32c(content[: HEAD.size - 4]) != check:
        raise Refused(name, 0, "the head's checksum does not hold")
    if version != VERSION:
        raise Refused(name, 8, f"it is of form {version}, this program reads {VERSION}")
    if name_of(number) != name:
        raise Refused(name, 32, f"it says that it is {name_of(number)}")
    return Head(store, number, before, read, sequence)


def frame_at(content: bytes, at: int) -> Frame | str:
    """The frame that begins there, or what is wrong with it."""
    try:
        length, kind, _, sequence, synced, chain, body_check, check = FRAME.unpack_from(content, at)
    except error:
        return "it ends within a frame's head"
    if crc32c(content[at : at + FRAME.size - 4]) != check:
        return "the checksum of a frame's head does not hold"
    end = at + FRAME.size + length
    if end > len(content):
        return "it ends within a frame"
    body = content[at + FRAME.size : end]
    if crc32c(body) != body_check:
        return "the checksum of a frame's body does not hold"
    return Frame(kind, sequence, synced, at, end, body, check)


def _known_synced(content: bytes, since: int) -> int:
    """The highest `synced` of anything whole after this byte."""
    most = 0
    for found in _MAYBE.finditer(content, since + 4):
        at = found.start() - 4
        if at >= since and at + FRAME.size <= len(content):
            check = int.from_bytes(content[at + FRAME.size - 4 : at + FRAME.size], "little")
            if crc32c(content[at : at + FRAME.size - 4]) == check:
                most = max(most, FRAME.unpack_from(content, at)[4])
    return most


class Segment:
    """One segment, read as far as it holds."""

    def __init__(self, name: str, content: bytes) -> None:
        """Raises:
        Refused: damaged in what was known to be synced.
        """
        self.name = name
        self.state: dict[bytes, bytes] = {}
        self.whole = False  # its snapshot is complete
        self.cut: Cut | None = None
        self.head = read_head(name, content)
        self.sequence = self.head.sequence
        self.frames: list[Frame] = []
        chain = int.from_bytes(content[HEAD.size - 4 : HEAD.size], "little")
        at = HEAD.size
        while at < len(content):
            got = frame_at(content, at)
            wrong = got if isinstance(got, str) else self._take(got, content, chain)
            if wrong:
                # Guards against a flipped bit taken for a torn end: whoever wrote on knew what was synced.
                if _known_synced(content, at) > (self.sequence + 1 if self.whole else 0):
                    raise Refused(name, at, f"{wrong}, and what follows says that this was synced")
                self.cut = Cut(name, at, len(content) - at)
                break
            assert isinstance(got, Frame)
            chain, at = got.mark, got.end
        self.read = at

    def _take(self, got: Frame, content: bytes, chain: int) -> str:
        if int.from_bytes(content[got.at + 24 : got.at + 28], "little") != chain:
            return "a frame that does not follow the one before it"
        if (
            got.kind == BATCH
            and not (self.whole and got.sequence == self.sequence + 1)
            or (got.kind in (PART, WHOLE) and (self.whole or got.sequence != self.head.sequence))
        ):
            return f"a frame of kind {got.kind} with number {got.sequence} is out of place"
        if got.kind not in (BATCH, PART, WHOLE, MARK):
            return f"a frame of kind {got.kind}"
        try:
            for key, value in decode(got.body):
                if value is None:
                    self.state.pop(key, None)
                else:
                    self.state[key] = value
        except (ValueError, error):
            return "a body that can't be read"
        if got.kind == BATCH:
            self.sequence = got.sequence
        self.whole = self.whole or got.kind == WHOLE
        self.frames.append(got._replace(body=b""))
        return ""


def _torn_creation(content: bytes) -> bool:
    """A head never came: a head lies within the first sector, which is there whole or not at all."""
    return (len(content) < HEAD.size or not any(content[: HEAD.size])) and not _known_synced(
        content, 0
    )


def load(names: Iterable[str], read: Callable[[str], bytes]) -> Found:
    """The last complete state that a folder holds.

    Raises:
        Refused: damage elsewhere than at a torn end; nothing is left out without a word.
    """
    numbered = sorted((name for name in names if NAME.fullmatch(name)), reverse=True)
    cuts: list[Cut] = []
    best: Segment | None = None
    store: bytes | None = None
    first = True  # nothing says that a store was here before
    for name in numbered:
        content = read(name)
        if _torn_creation(content):
            cuts.append(Cut(name, 0, len(content)))
            first = first and name == name_of(1)
            continue
        at = read_head(name, content)
        store = store or at.store
        if at.store != store:
            raise Refused(name, 16, "it is of another store than the newer ones")
        first = first and not at.before
        if best is not None:
            continue
        segment = Segment(name, content)
        if segment.whole:
            best = segment
        if segment.cut is not None or not segment.whole:
            cuts.append(segment.cut or Cut(name, segment.read, 0))
    newest = int(numbered[0][:16], 16) if numbered else 0
    if best is None:
        if not first:
            raise Refused(numbered[0], 0, "no whole segment is there, though there was one")
        return Found({}, 0, store, newest, 0, 0, tuple(cuts))
    return Found(
        best.state, best.sequence, best.head.store, newest, best.head.number, best.read, tuple(cuts)
    )


class Salvaged(NamedTuple):
    state: dict[bytes, bytes]
    lost: tuple[str, ...]  # what was left out, and why


def salvage(names: Iterable[str], read: Callable[[str], bytes]) -> Salvaged:
    """All that can be read, older segments under newer ones. What was deleted meanwhile may be back; each gap is told."""
    state: dict[bytes, bytes] = {}
    lost: list[str] = []
    for name in sorted(name for name in names if NAME.fullmatch(name)):
        try:
            content = read(name)
            read_head(name, content)
        except OSError as problem:
            lost.append(f"{name}: {problem}")
            continue
        except Refused as problem:
            lost.append(str(problem))
            content = content[: HEAD.size].ljust(HEAD.size, b"\0") + content[HEAD.size :]
        at = HEAD.size
        whole = False
        held: dict[bytes, bytes] = {}
        while at < len(content):
            got = frame_at(content, at)
            if isinstance(got, str):
                after = _next_frame(content, at + 1)
                lost.append(f"{name} at byte {at}: {got}, {after - at} bytes")
                at = after
                continue
            at = got.end
            whole = whole or got.kind == WHOLE
            try:
                for key, value in decode(got.body):
                    if value is None:
                        held.pop(key, None)
                    else:
                        held[key] = value
            except (ValueError, error):
                lost.append(f"{name} at byte {got.at}: a body that can't be read")
        state = held if whole and not lost else state | held
    return Salvaged(state, tuple(lost))


def _next_frame(content: bytes, since: int) -> int:
    for found in _MAYBE.finditer(content, since + 4):
        if isinstance(frame_at(content, found.start() - 4), Frame):
            return found.start() - 4
    return len(content)
