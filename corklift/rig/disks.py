"""Faulty disks: a file layer in memory that can lose power, and one over real folders for the rig.

Both know what a disk would still hold after a loss of power. A sector is 512 bytes. Of what was
not synced, any subset of the sectors is kept, and any subset of the creations and removals of
files. The product never imports this module.
"""

from __future__ import annotations

import errno
import json
import os
import time
from random import Random
from typing import Any, NamedTuple

from corklift.store.files import DiskFiles

SECTOR = 512


class DiskFaults(NamedTuple):
    """The probability of a fault for each call, between 0 and 1.

    Attributes:
        append: fails with EIO, EROFS or ENOSPC after a part was written.
        sync: fails; each sector is kept or not at random, and the system takes all for written.
        lies: a sync succeeds without having done anything.
        create: fails with EROFS.
        remove: fails with EIO.
        folder: a sync of the folder fails.
        full: not a probability: the number of bytes that fit on the disk; 0 is unlimited.
    """

    append: float = 0.0
    sync: float = 0.0
    lies: float = 0.0
    create: float = 0.0
    remove: float = 0.0
    folder: float = 0.0
    full: int = 0


class _File:
    """A file of a `MemoryDisk`."""

    def __init__(self) -> None:
        # The content as the system shows it.
        self.content = bytearray()
        # Sectors that are surely on the disk, and the length that surely lasts.
        self.synced_sectors: dict[int, bytes] = {}
        self.synced_length = 0
        # Sectors that were written but not synced.
        self.dirty: set[int] = set()
        # Sectors that the system takes for written although the disk does not hold them.
        self.dropped: set[int] = set()


class MemoryDisk:
    """A folder on a disk in memory, which can lose its process or its power.

    The same seed gives the same history.
    """

    def __init__(self, rng: Random, faults: DiskFaults = DiskFaults()) -> None:
        self.rng, self.faults = rng, faults
        # The names as the system shows them, and those that surely last.
        self._files: dict[str, _File] = {}
        self._synced_files: dict[str, _File] = {}
        self._handles: dict[int, _File] = {}
        self._next_handle = 1
        self.calls = 0
        self.lied = False
        # Number of the call at which the power is lost; 0 is never.
        self.cut_at = 0

    def _count_call(self) -> None:
        self.calls += 1
        if self.cut_at and self.calls >= self.cut_at:
            raise PowerLost

    def _draw_fault(self, probability: float) -> bool:
        return probability > 0 and self.rng.random() < probability

    def names(self) -> list[str]:
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        return bytes(self._files[name].content)

    def create(self, name: str) -> int:
        self._count_call()
        if name in self._files:
            raise FileExistsError(name)
        if self._draw_fault(self.faults.create):
            raise OSError(errno.EROFS, "read-only")
        self._files[name] = file = _File()
        self._handles[self._next_handle] = file
        self._next_handle += 1
        return self._next_handle - 1

    def append(self, handle: int, content: bytes) -> None:
        file = self._handles[handle]
        error_number = None
        if self._draw_fault(self.faults.append):
            error_number = self.rng.choice((errno.EIO, errno.ENOSPC, errno.EROFS))
            content = content[: self.rng.randrange(len(content) + 1)]
        free_bytes = (
            self.faults.full - sum(len(other.content) for other in self._files.values())
            if self.faults.full
            else len(content)
        )
        if free_bytes < len(content):
            error_number, content = errno.ENOSPC, content[: max(0, free_bytes)]
        try:
            self._count_call()
        except PowerLost:
            content = content[: self.rng.randrange(len(content) + 1)]
            self._write(file, content)
            raise
        self._write(file, content)
        if error_number is not None:
            raise OSError(error_number, os.strerror(error_number))

    @staticmethod
    def _write(file: _File, content: bytes) -> None:
        first_sector = len(file.content) // SECTOR
        file.content += content
        if content:
            touched = range(first_sector, (len(file.content) - 1) // SECTOR + 1)
            file.dirty.update(touched)
            # A dropped sector that is written again, as the last one is, becomes dirty.
            file.dropped.difference_update(touched)

    def sync(self, handle: int) -> None:
        self._count_call()
        file = self._handles[handle]
        if self._draw_fault(self.faults.lies):
            self.lied = True
            return
        fails = self._draw_fault(self.faults.sync)
        for sector in sorted(file.dirty):
            if not fails or self.rng.random() < 0.5:
                file.synced_sectors[sector] = bytes(
                    file.content[sector * SECTOR : (sector + 1) * SECTOR]
                )
            else:
                file.dropped.add(sector)
        # After a failed sync, a later one finds nothing to do, as on real systems.
        file.dirty.clear()
        if fails:
            raise OSError(errno.EIO, "the sync failed")
        if not file.dropped:
            file.synced_length = len(file.content)

    def sync_folder(self) -> None:
        self._count_call()
        if self._draw_fault(self.faults.folder):
            raise OSError(errno.EIO, "the folder's sync failed")
        if self._draw_fault(self.faults.lies):
            self.lied = True
            return
        self._synced_files = dict(self._files)

    def close(self, handle: int) -> None:
        self._handles.pop(handle, None)

    def remove(self, name: str) -> None:
        self._count_call()
        if self._draw_fault(self.faults.remove):
            raise OSError(errno.EIO, "not removed")
        self._files.pop(name)

    def lock(self) -> bool:
        return True

    # Losses of the process and of power

    def lose_process(self) -> None:
        """Ends the process; the cache of the system remains."""
        self._handles.clear()
        self.cut_at = 0

    def lose_power(self) -> None:
        """Cuts the power: of what was not synced, a random subset of sectors and names remains."""
        self.lose_process()
        rng, files_after = self.rng, {}
        for name in sorted(self._files.keys() | self._synced_files.keys()):
            visible, synced = self._files.get(name), self._synced_files.get(name)
            file = (
                visible
                if visible is not None and (synced is visible or rng.random() < 0.5)
                else synced
            )
            if file is not None and (file is synced or rng.random() < 0.9):
                files_after[name] = file
        for file in files_after.values():
            length = (
                file.synced_length + rng.randrange(len(file.content) - file.synced_length + 1)
                if len(file.content) > file.synced_length
                else file.synced_length
            )
            if rng.random() < 0.3:
                length = len(file.content)
            content = bytearray(length)
            for sector in range((length + SECTOR - 1) // SECTOR):
                offset = sector * SECTOR
                synced_content = file.synced_sectors.get(sector, b"")
                current = bytes(file.content[offset : offset + SECTOR])
                sector_content = (
                    current
                    if (sector in file.dirty or sector in file.dropped) and rng.random() < 0.5
                    else synced_content
                )
                piece = sector_content[: length - offset]
                content[offset : offset + len(piece)] = piece
            file.content = content
            file.synced_sectors = {
                offset // SECTOR: bytes(content[offset : offset + SECTOR])
                for offset in range(0, length, SECTOR)
            }
            file.synced_length, file.dirty, file.dropped = length, set(), set()
        self._files, self._synced_files = files_after, dict(files_after)


class PowerLost(BaseException):
    """The power is lost. A BaseException, so that no code of the program handles it."""


PLAN_FILE, SHADOW_FOLDER = "faults.json", "shadow"


class FaultyDiskFiles(DiskFiles):
    """A real folder with the faults that the rig writes to a file beside it.

    A shadow folder holds a copy of what would outlive a loss of power.
    """

    def __init__(self, path: str, create: bool = True, control: str = "") -> None:
        super().__init__(path, create)
        self._control = control or path + ".rig"
        self._shadow = os.path.join(self._control, SHADOW_FOLDER, os.path.basename(path))
        os.makedirs(self._shadow, exist_ok=True)
        self._names: dict[int, str] = {}
        self._plan_time = 0
        self._plan: dict[str, Any] = {}
        self._synced: dict[str, bytes] = {}

    def _fault(self, call: str) -> str:
        """Returns the fault of a call, or an empty string; a stall is played here."""
        path = os.path.join(self._control, PLAN_FILE)
        try:
            if (plan_time := os.stat(path).st_mtime_ns) != self._plan_time:
                with open(path, encoding="utf-8") as file:
                    self._plan, self._plan_time = json.load(file), plan_time
        except (OSError, ValueError):
            pass
        fault = str(self._plan.get(call, self._plan.get("all", "")))
        if fault.startswith("stall"):
            deadline = time.monotonic() + float(fault.partition(":")[2] or 10)
            while time.monotonic() < deadline and self._plan_unchanged(path):
                time.sleep(0.02)
            return ""
        return fault

    def _plan_unchanged(self, path: str) -> bool:
        try:
            return os.stat(path).st_mtime_ns == self._plan_time
        except OSError:
            return False

    @staticmethod
    def _raise_fault(fault: str) -> None:
        error_number = {"eio": errno.EIO, "enospc": errno.ENOSPC, "erofs": errno.EROFS}.get(fault)
        if error_number is not None:
            raise OSError(error_number, os.strerror(error_number))

    def read(self, name: str) -> bytes:
        self._raise_fault(self._fault("read"))
        return super().read(name)

    def create(self, name: str) -> int:
        self._raise_fault(self._fault("create"))
        handle = super().create(name)
        self._names[handle] = name
        return handle

    def append(self, handle: int, content: bytes) -> None:
        fault = self._fault("append")
        if fault in ("short", "enospc", "eio"):
            super().append(handle, content[: len(content) // 2])
            self._raise_fault("enospc" if fault == "short" else fault)
        self._raise_fault(fault)
        super().append(handle, content)

    def sync(self, handle: int) -> None:
        fault = self._fault("sync")
        self._raise_fault(fault)
        if fault != "lie":
            super().sync(handle)
            self._copy_synced(self._names[handle])

    def _copy_synced(self, name: str) -> None:
        new_path = os.path.join(self._shadow, name + ".new")
        with open(os.path.join(self.path, name), "rb") as source, open(new_path, "wb") as sink:
            sink.write(source.read())
        os.replace(new_path, os.path.join(self._shadow, name + ".synced"))

    def sync_folder(self) -> None:
        fault = self._fault("folder")
        self._raise_fault(fault)
        if fault != "lie":
            super().sync_folder()
            self._write_names()

    def _write_names(self) -> None:
        new_path = os.path.join(self._shadow, "names.new")
        with open(new_path, "w", encoding="utf-8") as file:
            json.dump([name for name in self.names() if name.endswith(".seg")], file)
        os.replace(new_path, os.path.join(self._shadow, "names"))

    def remove(self, name: str) -> None:
        self._raise_fault(self._fault("remove"))
        copy = os.path.join(self._shadow, name + ".synced")
        if os.path.exists(copy):
            # A loss of power may undo the removal.
            os.replace(copy, copy[:-7] + ".removed")
        super().remove(name)


def cut_power(path: str, rng: Random, control: str = "") -> list[str]:
    """Leaves of a folder what a loss of power would leave, and returns what was lost.

    The process that used the folder must have ended.
    """
    shadow = os.path.join(control or path + ".rig", SHADOW_FOLDER, os.path.basename(path))
    losses: list[str] = []
    if not os.path.isdir(path):
        return losses
    try:
        with open(os.path.join(shadow, "names"), encoding="utf-8") as file:
            synced_names = set(json.load(file))
    except (OSError, ValueError):
        synced_names = set()
    for name in sorted(name for name in os.listdir(path) if name.endswith(".seg")):
        file_path = os.path.join(path, name)
        with open(file_path, "rb") as source:
            content = source.read()
        try:
            with open(os.path.join(shadow, name + ".synced"), "rb") as source:
                synced_content = source.read()
        except OSError:
            synced_content = b""
        if name not in synced_names and rng.random() < 0.5:
            os.unlink(file_path)
            losses.append(f"{name} did not exist yet")
            continue
        if len(content) > len(synced_content):
            length = len(synced_content) + rng.randrange(len(content) - len(synced_content) + 1)
            remaining = bytearray(length)
            remaining[: len(synced_content)] = synced_content
            for offset in range(len(synced_content) // SECTOR * SECTOR, length, SECTOR):
                if rng.random() < 0.5:
                    remaining[offset : offset + SECTOR] = content[
                        offset : min(offset + SECTOR, length)
                    ]
            with open(file_path, "wb") as sink:
                sink.write(remaining)
            losses.append(
                f"{name} kept {length} of {len(content)} bytes, "
                f"{len(synced_content)} of them synced"
            )
    for name in sorted(synced_names - set(os.listdir(path))):
        removed_path = os.path.join(shadow, name + ".removed")
        if os.path.exists(removed_path):
            os.replace(removed_path, os.path.join(path, name))
            losses.append(f"{name} is restored")
    return losses
