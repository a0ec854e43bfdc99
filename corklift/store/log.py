"""A small durable key-value store: the state is in memory, and each commit is synced to disk.

The store owns the segments of one folder and the order in which they are written. A commit that
returned is durable; a commit that raised may or may not be. A segment in which a write or a sync
failed is never written to again: the state is rewritten into a new segment. The same happens at
each start, so that nothing depends on what another process left in the page cache. The store does
not interpret keys and values. It blocks on the disk; `worker` runs it in a thread.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from corklift.store.files import FileLayer
from corklift.store.format import (
    BATCH,
    HEAD,
    SNAPSHOT_END,
    SNAPSHOT_PART,
    SYNC_MARK,
    Batch,
    SegmentHeader,
    TornTail,
    encode_frame,
    encode_header,
    encode_items,
    load,
    segment_name,
    snapshot_parts,
)

# A segment is compacted once its garbage is this multiple of the live bytes, and it is at least so
# large.
MAX_GARBAGE_RATIO = 2.0
MIN_COMPACTION_BYTES = 64 << 10
# Bytes of a snapshot that a compaction writes between two commits.
COMPACTION_SLICE_BYTES = 1 << 20


class InUse(Exception):
    """Another process holds the lock of the store.

    The class name appears in JSON events and therefore stays.
    """


class NotKept(Exception):
    """The disk took neither the commit nor a new segment, so the commit may not be durable.

    The class name appears in JSON events and therefore stays.
    """


class OpenReport(NamedTuple):
    """What opening the store found."""

    fresh: bool  # there was no store
    torn_tails: tuple[TornTail, ...]
    sequence: int
    store_id: bytes
    write_error: str  # why the store is not writable at present; empty: it is


class _SegmentWriter:
    """Writes one segment."""

    def __init__(self, files: FileLayer, header: SegmentHeader) -> None:
        self.files, self.number = files, header.number
        self.handle = files.create(segment_name(header.number))
        content = encode_header(header)
        self._chain = int.from_bytes(content[HEAD.size - 4 :], "little")
        self._buffer = bytearray(content)
        self.size, self.synced = 0, 0

    def append_frame(self, kind: int, sequence: int, body: bytes = b"") -> None:
        content, self._chain = encode_frame(kind, sequence, self.synced, self._chain, body)
        self._buffer += content

    def flush(self) -> None:
        content, self._buffer = bytes(self._buffer), bytearray()
        self.files.append(self.handle, content)
        self.size += len(content)

    def sync(self, sequence: int) -> None:
        self.flush()
        self.files.sync(self.handle)
        self.synced = sequence + 1

    def write_sync_mark(self, sequence: int) -> None:
        """Records in the file what is synced, so that a bit flip is not mistaken for a torn end.

        The mark itself is not synced.
        """
        self.append_frame(SYNC_MARK, sequence)
        self.flush()


class _Compaction:
    """Writes a snapshot into the next segment in slices while commits go on in the current one."""

    def __init__(self, writer: _SegmentWriter, state: dict[bytes, bytes], sequence: int) -> None:
        self.writer, self.sequence = writer, sequence
        self._parts: Iterator[bytes] = snapshot_parts(dict(state))
        self.later_batches: list[tuple[int, bytes]] = []  # committed since the snapshot was taken

    def write_slice(self) -> bool:
        """Writes a slice; returns whether it was the last one."""
        size = 0
        for body in self._parts:
            self.writer.append_frame(SNAPSHOT_PART, self.sequence, body)
            size += len(body)
            if size >= COMPACTION_SLICE_BYTES:
                self.writer.flush()
                return False
        return True


class Store:
    """A durable key-value store in one folder."""

    def __init__(
        self,
        files: FileLayer,
        store_id: bytes = b"",
        min_compaction_bytes: int = MIN_COMPACTION_BYTES,
    ) -> None:
        """Opens the store in the folder, or creates one.

        Args:
            files: the folder.
            store_id: the id of a store that is created; drawn at random by default.
            min_compaction_bytes: segments below this size are not compacted.

        Raises:
            InUse: another process holds the lock.
            Refused: the store is damaged; nothing was changed.
            OSError: the folder can't be read. If it can't be written the store opens all the same:
                see `open_report`, and each commit.
        """
        if not files.lock():
            raise InUse("another process has the store")
        self._files, self._min_compaction_bytes = files, min_compaction_bytes
        loaded = load(files.names(), files.read)
        self._state, self.sequence = loaded.state, loaded.sequence
        self._live_bytes = sum(len(key) + len(value) for key, value in loaded.state.items())
        self.store_id = loaded.store_id or store_id or os.urandom(16)
        self._newest_number, self._previous = (
            loaded.newest_number,
            (loaded.segment_number, loaded.segment_bytes),
        )
        self._writer: _SegmentWriter | None = None
        self._compaction: _Compaction | None = None
        self.failures = 0
        self.compactions = 0
        self.bytes_written = 0  # size of the largest segment written
        write_error = ""
        if not loaded.segment_number:
            self._remove_torn_creations()
        try:
            self._rewrite([])
        except OSError as problem:
            self.failures += 1
            write_error = str(problem)
        self.open_report = OpenReport(
            not loaded.segment_number,
            loaded.torn_tails,
            loaded.sequence,
            self.store_id,
            write_error,
        )

    # State

    def get(self, key: bytes) -> bytes | None:
        return self._state.get(key)

    def items(self, prefix: bytes = b"") -> list[tuple[bytes, bytes]]:
        """Returns the items whose keys have the prefix, sorted by key."""
        return sorted((key, value) for key, value in self._state.items() if key.startswith(prefix))

    def commit(self, batches: Sequence[Batch]) -> int:
        """Commits batches with a single sync, each of them atomically.

        Returns the sequence number of the last batch. All are durable once it returns.

        Raises:
            NotKept: the batches may not be durable. The state in memory is unchanged, and
                the next commit tries a new segment.
            ValueError: a key or a value is too long; nothing was written.
        """
        bodies = [encode_items(batch.items()) for batch in batches]
        writer = self._writer
        if writer is not None:
            try:
                for number, body in enumerate(bodies, self.sequence + 1):
                    writer.append_frame(BATCH, number, body)
                writer.sync(self.sequence + len(bodies))
            except OSError:
                # A failed sync is never retried: the kernel may have marked the pages as clean
                # although the disk does not hold them.
                self.failures += 1
                self.abandon_segments()
                writer = None
        if writer is None:
            try:
                self._rewrite(bodies)
            except OSError as problem:
                self.failures += 1
                raise NotKept(str(problem)) from problem
        else:
            self._write_sync_mark(self.sequence + len(bodies))
        for number, (batch, body) in enumerate(zip(batches, bodies), self.sequence + 1):
            self._apply(batch)
            if self._compaction is not None:
                self._compaction.later_batches.append((number, body))
        self.sequence += len(bodies)
        return self.sequence

    def _write_sync_mark(self, sequence: int) -> None:
        assert self._writer is not None
        try:
            self._writer.write_sync_mark(sequence)
            self.bytes_written = max(self.bytes_written, self._writer.size)
        except OSError:
            # What was committed is synced; the next commit begins a new segment.
            self.failures += 1
            self.abandon_segments()

    def _apply(self, batch: Batch) -> None:
        for key, value in batch.items():
            old_value = self._state.pop(key, None)
            if old_value is not None:
                self._live_bytes -= len(key) + len(old_value)
            if value is not None:
                self._state[key] = value
                self._live_bytes += len(key) + len(value)

    # Segments

    def _remove_torn_creations(self) -> None:
        """Removes the files of interrupted creations in a folder without a store.

        Their numbers would later make it look as if there had been a store before.
        """
        try:
            for name in self._files.names():
                if name.endswith(".seg"):
                    self._files.remove(name)
            self._newest_number = 0
        except OSError:
            pass  # the next free number is used instead

    def _create_segment(self, sequence: int) -> _SegmentWriter:
        self._newest_number += 1
        return _SegmentWriter(
            self._files,
            SegmentHeader(self.store_id, self._newest_number, *self._previous, sequence),
        )

    def _rewrite(self, bodies: list[bytes]) -> None:
        """Writes the state and these batches into a new segment, then removes the older ones."""
        self.abandon_segments()
        writer = self._create_segment(self.sequence)
        try:
            for body in snapshot_parts(self._state):
                writer.append_frame(SNAPSHOT_PART, self.sequence, body)
                writer.flush()
            self._finish_snapshot(writer, self.sequence, list(enumerate(bodies, self.sequence + 1)))
        except OSError:
            self._close_writer(writer)
            if not self._previous[0]:
                self._remove_torn_creations()
            else:
                self._remove_file(segment_name(writer.number))
            raise
        self._writer = writer
        self._write_sync_mark(self.sequence + len(bodies))

    def _finish_snapshot(
        self, writer: _SegmentWriter, sequence: int, batches: list[tuple[int, bytes]]
    ) -> None:
        """Completes a segment's snapshot, writes these batches behind it, and syncs both.

        The segment replaces the older ones once the folder is synced too. Only then are they
        removed.
        """
        writer.append_frame(SNAPSHOT_END, sequence)
        for number, body in batches:
            writer.append_frame(BATCH, number, body)
        writer.sync(batches[-1][0] if batches else sequence)
        self._files.sync_folder()
        self._previous = writer.number, writer.size
        for name in self._files.names():
            if name.endswith(".seg") and name < segment_name(writer.number):
                self._remove_file(name)

    def _remove_file(self, name: str) -> None:
        try:
            self._files.remove(name)
        except OSError:
            pass  # harmless: the newest complete segment takes precedence

    def abandon_segments(self) -> None:
        """Stops writing to the current segments; the next commit begins a new one."""
        for writer in (self._writer, self._compaction.writer if self._compaction else None):
            if writer is not None:
                self._close_writer(writer)
        self._writer = self._compaction = None

    def _close_writer(self, writer: _SegmentWriter) -> None:
        try:
            self._files.close(writer.handle)
        except OSError:
            pass

    def compact(self, commit_waits: Callable[[], bool] = lambda: False) -> bool:
        """Does a part of the compaction, if one is due; returns whether more is left.

        It returns early when `commit_waits` returns true, so that the commit goes first.
        """
        writer = self._writer
        if writer is None:
            return False
        if self._compaction is None:
            if (
                writer.size < self._min_compaction_bytes
                or writer.size < (1 + MAX_GARBAGE_RATIO) * self._live_bytes
            ):
                return False
            try:
                self._compaction = _Compaction(
                    self._create_segment(self.sequence), self._state, self.sequence
                )
            except OSError:
                self.failures += 1
                return False
        compaction = self._compaction
        try:
            while not compaction.write_slice():
                if commit_waits():
                    return True
            compaction.writer.flush()
            self._finish_snapshot(compaction.writer, compaction.sequence, compaction.later_batches)
        except OSError:
            # The new segment may be complete on the disk and would then take precedence, so
            # nothing more may be written to the old one either.
            self.failures += 1
            self.abandon_segments()
            return False
        self._compaction = None
        self._close_writer(writer)
        self._writer = compaction.writer
        self.compactions += 1
        self._write_sync_mark(self.sequence)
        return False

    def close(self) -> None:
        self.abandon_segments()
