"""Which connection names the processes of a balancer have in use, or had in use a moment ago.

Every connection needs a new name. Servers reject a duplicate, and that failure would count against
the server and the client that owns the name; a name that is used again may also run a request
twice. During an upgrade a name may belong to a connection of another process.

Each process writes a table of its own, which the other processes of the balancer read. A process
enters a name into its table before it reads the others'. So of two processes that claim a name at
the same moment at least one sees the entry of the other, and no process ever waits for another.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Callable, Collection
from mmap import PROT_READ, mmap
from typing import NamedTuple

from corklift.net.digests import blake2b

KEY_BYTES = 16
_HEADER = struct.Struct(f"<{KEY_BYTES}sQ")  # key of the hash, number of buckets
_SLOT = struct.Struct("<QQ")  # hash of a name, time until which the name is reserved
SLOTS_PER_BUCKET = 16
_BUCKET = struct.Struct(f"<{2 * SLOTS_PER_BUCKET}Q")
# In place of the descriptor of a file.
IN_MEMORY = -1
# The time of a name that is in use.
IN_USE = (1 << 64) - 1


class UnreadableTableError(Exception):
    """The file is no complete table."""


class NameTable:
    """A hash table of names in a file, with a time for each name; it never grows.

    One process writes it. A bucket that is full forgets the name whose time is up first. The hash
    has a random key, so that clients can't choose names that fill a bucket.
    """

    def __init__(self, content: mmap, key: bytes, bucket_count: int) -> None:
        self._content, self._key, self._bucket_count = content, key, bucket_count

    @classmethod
    def create(cls, fd: int, size: int) -> NameTable:
        """Writes an empty table of about `size` bytes to a new file, or to memory for `IN_MEMORY`.

        Raises:
            OSError: there is no room for the file.
        """
        key, bucket_count = os.urandom(KEY_BYTES), max(1, size // _BUCKET.size)
        file_size = _HEADER.size + bucket_count * _BUCKET.size
        if fd != IN_MEMORY:
            # Takes the room now: later on, a write must not fail for want of it.
            os.posix_fallocate(fd, 0, file_size)
        content = mmap(fd, file_size)
        _HEADER.pack_into(content, 0, key, bucket_count)
        return cls(content, key, bucket_count)

    @classmethod
    def open(cls, fd: int) -> NameTable:
        """Opens the table of another process.

        Raises:
            UnreadableTableError: the file is no complete table.
            OSError: it can't be read.
        """
        header = os.pread(fd, _HEADER.size, 0)
        if len(header) < _HEADER.size:
            raise UnreadableTableError("it has no header")
        key, bucket_count = _HEADER.unpack(header)
        file_size = _HEADER.size + bucket_count * _BUCKET.size
        if not bucket_count or os.fstat(fd).st_size < file_size:
            raise UnreadableTableError("it is shorter than its header says")
        return cls(mmap(fd, file_size, prot=PROT_READ), key, bucket_count)

    def reserved_until(self, name: str) -> int:
        """Returns the time of a name, `IN_USE`, or 0 if there is no entry."""
        name_hash, offset = self._locate(name)
        bucket = _BUCKET.unpack_from(self._content, offset)
        hashes, times = bucket[::2], bucket[1::2]
        return times[hashes.index(name_hash)] if name_hash in hashes else 0

    def enter(self, name: str, until: int) -> bool:
        """Sets the time of a name; returns False if its bucket is full of names in use."""
        name_hash, offset = self._locate(name)
        bucket = _BUCKET.unpack_from(self._content, offset)
        hashes, times = bucket[::2], bucket[1::2]
        if name_hash in hashes:
            slot = hashes.index(name_hash)
        else:
            slot = min(range(SLOTS_PER_BUCKET), key=times.__getitem__)
            if times[slot] == IN_USE:
                return False
        _SLOT.pack_into(self._content, offset + slot * _SLOT.size, name_hash, until)
        return True

    def close(self) -> None:
        self._content.close()

    def _locate(self, name: str) -> tuple[int, int]:
        """Returns the hash of a name and the offset of its bucket."""
        digest = blake2b(name.encode(), digest_size=16, key=self._key).digest()
        name_hash, bucket = struct.unpack("<QQ", digest)
        return name_hash or 1, _HEADER.size + bucket % self._bucket_count * _BUCKET.size


class _OtherTable(NamedTuple):
    """The table of another process; one of a process that has ended is read for a moment more."""

    table: NameTable
    read_until: int | None


class ConnectionNames:
    """The names that this process has in use, and those of the balancer's other processes."""

    def __init__(self, now: Callable[[], int], reserve_time: int, table_size: int) -> None:
        """Creates the names of a process that shares them with no other.

        Args:
            now: the clock, in ns.
            reserve_time: how long a name stays reserved after its use, in ns.
            table_size: bytes of the table.
        """
        self._now, self._reserve_time, self._table_size = now, reserve_time, table_size
        self._table = NameTable.create(IN_MEMORY, table_size)
        self._others: dict[int, _OtherTable] = {}  # by generation
        self.count = 0  # names in use by this process

    def share(self, fd: int) -> None:
        """Moves to a table in a file that other processes read; called before the first claim.

        Raises:
            OSError: there is no room for the file; the names are not shared.
        """
        table = NameTable.create(fd, self._table_size)
        self._table.close()
        self._table = table

    def other_processes(
        self, running: Collection[int], ended: Collection[int], open_file: Callable[[int], int]
    ) -> None:
        """Reads the tables of these processes from now on, given their generations.

        Args:
            running: processes that run.
            ended: processes that have ended, whose names stay reserved for a moment.
            open_file: opens the file of a generation for reading; it may raise OSError.
        """
        for generation in (*running, *ended):
            if generation not in self._others:
                self._open_other(generation, open_file)
        read_until = self._now() + self._reserve_time
        for generation, other in self._others.items():
            if generation not in running and other.read_until is None:
                self._others[generation] = other._replace(read_until=read_until)

    def claim(self, name: str) -> bool:
        """Marks the name as in use; returns False if it is in use or reserved.

        Each such misuse extends the time for which the name is reserved.
        """
        now = self._now()
        until = self._table.reserved_until(name)
        if until > now:
            if until != IN_USE:
                self._reserve(name)
            return False
        if not self._table.enter(name, IN_USE):
            return False
        # Only now, as another process may be claiming the name at this moment.
        if self._is_claimed_elsewhere(name, now):
            self._reserve(name)
            return False
        self.count += 1
        return True

    def release(self, name: str) -> None:
        """Ends the use of a name, which stays reserved for a moment."""
        self.count -= 1
        self._reserve(name)

    def withdraw(self, name: str) -> None:
        """Takes back a claim; the name has not been used and can be claimed again."""
        self.count -= 1
        self._table.enter(name, 0)

    def _reserve(self, name: str) -> None:
        self._table.enter(name, self._now() + self._reserve_time)

    def _is_claimed_elsewhere(self, name: str, now: int) -> bool:
        if self._others:
            # A call of the kernel's scheduler is a full memory barrier: the own entry is visible to
            # the other processes before their tables are read.
            os.sched_yield()
        for generation, other in list(self._others.items()):
            if other.read_until is not None and other.read_until <= now:
                other.table.close()
                del self._others[generation]
            elif other.table.reserved_until(name) > now:
                return True
        return False

    def _open_other(self, generation: int, open_file: Callable[[int], int]) -> None:
        try:
            fd = open_file(generation)
        except OSError:
            return  # a process of an earlier version, which has no table
        try:
            self._others[generation] = _OtherTable(NameTable.open(fd), None)
        except (OSError, UnreadableTableError):
            pass  # that process is just writing it; the next call tries again
        finally:
            os.close(fd)
