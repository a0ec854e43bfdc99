"""A store: all that it keeps is in memory, and each batch is on the disk before it counts.

Owns one folder's segments and their order of writing. A commit that returned lasts; one that raised may or may not. A segment in which
a write or a sync failed is never written to again: what is known is written anew into the next one. So is it at each start, so
nothing rests on what another process left in the system's cache. Must never know what it keeps. Blocks on the disk; `keeper` has it in a thread.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from corklift.store.files import Files
from corklift.store.format import (
    BATCH,
    HEAD,
    MARK,
    PART,
    WHOLE,
    Batch,
    Cut,
    Head,
    encode,
    frame,
    head,
    load,
    name_of,
    parts,
)

GARBAGE = 2.0  # times what is kept that a segment may have, before what is kept is written anew ...
LEAST = 64 << 10  # ... and so many bytes
SLICE = 1 << 20  # bytes of that written between two commits


class InUse(Exception):
    """Another process has the store."""


class NotKept(Exception):
    """The disk did not take a commit, nor a new segment: what was to be kept is not known to be."""


class Notes(NamedTuple):
    """What a start found."""

    fresh: bool  # no store was there
    cuts: tuple[Cut, ...]
    sequence: int
    store: bytes
    trouble: str  # why it can't be written just now; empty: it can


class _Writing:
    """A segment that is being written."""

    def __init__(self, files: Files, given: Head) -> None:
        self.files, self.number = files, given.number
        self.handle = files.create(name_of(given.number))
        content = head(given)
        self._chain = int.from_bytes(content[HEAD.size - 4 :], "little")
        self._held = bytearray(content)
        self.size, self.synced = 0, 0

    def put(self, kind: int, sequence: int, body: bytes = b"") -> None:
        content, self._chain = frame(kind, sequence, self.synced, self._chain, body)
        self._held += content

    def flush(self) -> None:
        content, self._held = bytes(self._held), bytearray()
        self.files.append(self.handle, content)
        self.size += len(content)

    def sync(self, sequence: int) -> None:
        self.flush()
        self.files.sync(self.handle)
        self.synced = sequence + 1

    def mark(self, sequence: int) -> None:
        """Says in the file what is synced: a bit that flips later is then told from a torn end. Not synced itself."""
        self.put(MARK, sequence)
        self.flush()


class _Compaction:
    """What is kept, written into the next segment a slice at a time while commits go on in this one."""

    def __init__(self, writing: _Writing, state: dict[bytes, bytes], sequence: int) -> None:
        self.writing, self.sequence = writing, sequence
        self._parts: Iterator[bytes] = parts(dict(state))
        self.missed: list[tuple[int, bytes]] = []  # batches since

    def slice(self) -> bool:
        """Returns whether that was the last one."""
        size = 0
        for body in self._parts:
            self.writing.put(PART, self.sequence, body)
            size += len(body)
            if size >= SLICE:
                self.writing.flush()
                return False
        return True


class Store:
    def __init__(self, files: Files, store: bytes = b"", least: int = LEAST) -> None:
        """Opens the folder, or makes a store there; `store`: its id then, drawn by default; `least`: bytes, before compaction.

        Raises:
            InUse: another process has it.
            Refused: it is damaged; nothing was changed.
            OSError: it can't be read. One that can't be written is open all the same: see `notes`, and each commit.
        """
        if not files.lock():
            raise InUse("another process has the store")
        self._files, self._least = files, least
        found = load(files.names(), files.read)
        self._state, self.sequence = found.state, found.sequence
        self._live = sum(len(key) + len(value) for key, value in found.state.items())
        self.store = found.store or store or os.urandom(16)
        self._newest, self._before = found.newest, (found.segment, found.read)
        self._writing: _Writing | None = None
        self._compaction: _Compaction | None = None
        self.failures = 0
        self.compactions = 0
        self.written = 0  # bytes, all segments
        trouble = ""
        if not found.segment:
            self._clear()
        try:
            self._anew([])
        except OSError as problem:
            self.failures += 1
            trouble = str(problem)
        self.notes = Notes(not found.segment, found.cuts, found.sequence, self.store, trouble)

    # What is kept

    def get(self, key: bytes) -> bytes | None:
        return self._state.get(key)

    def items(self, prefix: bytes = b"") -> list[tuple[bytes, bytes]]:
        """By key, in order."""
        return sorted((key, value) for key, value in self._state.items() if key.startswith(prefix))

    def commit(self, batches: Sequence[Batch]) -> int:
        """Each batch whole or not at all, all with one sync; returns the last one's number. Once it returns they last.

        Raises:
            NotKept: not known to be kept. What is kept in memory is as before; the next commit tries a new segment.
            ValueError: a key or a value is too long; nothing was written.
        """
        bodies = [encode(batch.items()) for batch in batches]
        writing = self._writing
        if writing is not None:
            try:
                for number, body in enumerate(bodies, self.sequence + 1):
                    writing.put(BATCH, number, body)
                writing.sync(self.sequence + len(bodies))
            except OSError:
                # Never tried again: after a sync that failed the system may hold what the disk does not for written.
                self.failures += 1
                self.give_up()
                writing = None
        if writing is None:
            try:
                self._anew(bodies)
            except OSError as problem:
                self.failures += 1
                raise NotKept(str(problem)) from problem
        else:
            self._mark(self.sequence + len(bodies))
        for number, (batch, body) in enumerate(zip(batches, bodies), self.sequence + 1):
            self._take(batch)
            if self._compaction is not None:
                self._compaction.missed.append((number, body))
        self.sequence += len(bodies)
        return self.sequence

    def _mark(self, sequence: int) -> None:
        assert self._writing is not None
        try:
            self._writing.mark(sequence)
            self.written = max(self.written, self._writing.size)
        except OSError:
            self.failures += 1
            self.give_up()  # what was committed is synced; the next commit begins a new segment

    def _take(self, batch: Batch) -> None:
        for key, value in batch.items():
            before = self._state.pop(key, None)
            if before is not None:
                self._live -= len(key) + len(before)
            if value is not None:
                self._state[key] = value
                self._live += len(key) + len(value)

    # Segments

    def _clear(self) -> None:
        """Creations that were cut short, before there was a store. Guards against their numbers, by which a store had been there."""
        try:
            for name in self._files.names():
                if name.endswith(".seg"):
                    self._files.remove(name)
            self._newest = 0
        except OSError:
            pass  # the next number, then

    def _next(self, sequence: int) -> _Writing:
        self._newest += 1
        return _Writing(self._files, Head(self.store, self._newest, *self._before, sequence))

    def _anew(self, bodies: list[bytes]) -> None:
        """What is kept and these batches, in a segment of its own; then the older ones go."""
        self.give_up()
        writing = self._next(self.sequence)
        try:
            for body in parts(self._state):
                writing.put(PART, self.sequence, body)
                writing.flush()
            self._finish(writing, self.sequence, list(enumerate(bodies, self.sequence + 1)))
        except OSError:
            self._close(writing)
            if not self._before[0]:
                self._clear()
            else:
                self._remove(name_of(writing.number))
            raise
        self._writing = writing
        self._mark(self.sequence + len(bodies))

    def _finish(self, writing: _Writing, sequence: int, batches: list[tuple[int, bytes]]) -> None:
        """Its snapshot ends; from here on it stands alone, once the folder is synced too. Only then older ones are removed."""
        writing.put(WHOLE, sequence)
        for number, body in batches:
            writing.put(BATCH, number, body)
        writing.sync(batches[-1][0] if batches else sequence)
        self._files.sync_folder()
        self._before = writing.number, writing.size
        for name in self._files.names():
            if name.endswith(".seg") and name < name_of(writing.number):
                self._remove(name)

    def _remove(self, name: str) -> None:
        try:
            self._files.remove(name)
        except OSError:
            pass  # of no harm: the newest whole one counts

    def give_up(self) -> None:
        """Nothing more goes into what is written now; the next commit begins a new segment."""
        for writing in (self._writing, self._compaction.writing if self._compaction else None):
            if writing is not None:
                self._close(writing)
        self._writing = self._compaction = None

    def _close(self, writing: _Writing) -> None:
        try:
            self._files.close(writing.handle)
        except OSError:
            pass

    def compact(self, wanted: Callable[[], bool] = lambda: False) -> bool:
        """Does a slice of what is due; returns whether more is. `wanted`: whether a commit waits, which then goes first."""
        writing = self._writing
        if writing is None:
            return False
        if self._compaction is None:
            if writing.size < self._least or writing.size < (1 + GARBAGE) * self._live:
                return False
            try:
                self._compaction = _Compaction(
                    self._next(self.sequence), self._state, self.sequence
                )
            except OSError:
                self.failures += 1
                return False
        due = self._compaction
        try:
            while not due.slice():
                if wanted():
                    return True
            due.writing.flush()
            self._finish(due.writing, due.sequence, due.missed)
        except OSError:
            # The new one may be whole on the disk, and would count: nothing more may go into the old one either.
            self.failures += 1
            self.give_up()
            return False
        self._compaction = None
        self._close(writing)
        self._writing = due.writing
        self.compactions += 1
        self._mark(self.sequence)
        return False

    def end(self) -> None:
        self.give_up()
