"""Disks that lie: the file layer in memory, which loses power, and over real folders, whose faults the rig plays.

Owns what a disk would still hold. A sector is 512 bytes; what was not synced is kept by any subset of sectors, and so are creations and
removals of files. Must never be imported by the product.
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
    """Chances, by call."""

    append: float = 0.0  # EIO, EROFS or ENOSPC, with a part of it written
    sync: float = 0.0  # it fails; what it was for is kept or not by chance, and taken for written by the system
    lies: float = 0.0  # a sync returns and has done nothing
    create: float = 0.0
    remove: float = 0.0
    folder: float = 0.0  # a sync of the folder fails
    full: int = 0  # bytes that fit; 0: any number


class _File:
    def __init__(self) -> None:
        self.content = bytearray()  # as the system shows it
        self.kept: dict[int, bytes] = {}  # sectors that are surely on the disk
        self.length = 0  # that surely lasts
        self.dirty: set[int] = set()
        self.dropped: set[int] = (
            set()
        )  # that the system takes for written, and the disk does not hold


class MemoryDisk:
    """A folder on a disk in memory; one seed, one history. Process and power can be lost."""

    def __init__(self, rng: Random, faults: DiskFaults = DiskFaults()) -> None:
        self.rng, self.faults = rng, faults
        self._files: dict[str, _File] = {}  # as the system shows them
        self._lasting: dict[str, _File] = {}  # names that surely last
        self._handles: dict[int, _File] = {}
        self._next = 1
        self.calls = 0
        self.lied = False
        self.cut_at = 0  # at this call the power is lost; 0: never

    def _call(self) -> None:
        self.calls += 1
        if self.cut_at and self.calls >= self.cut_at:
            raise PowerLost

    def _fails(self, chance: float) -> bool:
        return chance > 0 and self.rng.random() < chance

    def names(self) -> list[str]:
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        return bytes(self._files[name].content)

    def create(self, name: str) -> int:
        self._call()
        if name in self._files:
            raise FileExistsError(name)
        if self._fails(self.faults.create):
            raise OSError(errno.EROFS, "read-only")
        self._files[name] = file = _File()
        self._handles[self._next] = file
        self._next += 1
        return self._next - 1

    def append(self, handle: int, content: bytes) -> None:
        file = self._handles[handle]
        problem = None
        if self._fails(self.faults.append):
            problem = self.rng.choice((errno.EIO, errno.ENOSPC, errno.EROFS))
            content = content[: self.rng.randrange(len(content) + 1)]
        room = (
            self.faults.full - sum(len(held.content) for held in self._files.values())
            if self.faults.full
            else len(content)
        )
        if room < len(content):
            problem, content = errno.ENOSPC, content[: max(0, room)]
        try:
            self._call()
        except PowerLost:
            content = content[: self.rng.randrange(len(content) + 1)]
            self._put(file, content)
            raise
        self._put(file, content)
        if problem is not None:
            raise OSError(problem, os.strerror(problem))

    @staticmethod
    def _put(file: _File, content: bytes) -> None:
        first = len(file.content) // SECTOR
        file.content += content
        if content:
            touched = range(first, (len(file.content) - 1) // SECTOR + 1)
            file.dirty.update(touched)
            file.dropped.difference_update(touched)  # written again, as the last sector is

    def sync(self, handle: int) -> None:
        self._call()
        file = self._handles[handle]
        if self._fails(self.faults.lies):
            self.lied = True
            return
        fails = self._fails(self.faults.sync)
        for sector in sorted(file.dirty):
            if not fails or self.rng.random() < 0.5:
                file.kept[sector] = bytes(file.content[sector * SECTOR : (sector + 1) * SECTOR])
            else:
                file.dropped.add(sector)
        file.dirty.clear()  # a later sync finds nothing to do, as on real systems
        if fails:
            raise OSError(errno.EIO, "the sync failed")
        if not file.dropped:
            file.length = len(file.content)

    def sync_folder(self) -> None:
        self._call()
        if self._fails(self.faults.folder):
            raise OSError(errno.EIO, "the folder's sync failed")
        if self._fails(self.faults.lies):
            self.lied = True
            return
        self._lasting = dict(self._files)

    def close(self, handle: int) -> None:
        self._handles.pop(handle, None)

    def remove(self, name: str) -> None:
        self._call()
        if self._fails(self.faults.remove):
            raise OSError(errno.EIO, "not removed")
        self._files.pop(name)

    def lock(self) -> bool:
        return True

    # What happens to it

    def lose_process(self) -> None:
        """The system's cache outlives a process."""
        self._handles.clear()
        self.cut_at = 0

    def lose_power(self) -> None:
        """Of what was not synced any subset of sectors is there, of names created or removed any subset too."""
        self.lose_process()
        rng, after = self.rng, {}
        for name in sorted(self._files.keys() | self._lasting.keys()):
            there, lasts = self._files.get(name), self._lasting.get(name)
            file = there if there is not None and (lasts is there or rng.random() < 0.5) else lasts
            if file is not None and (file is lasts or rng.random() < 0.9):
                after[name] = file
        for file in after.values():
            length = (
                file.length + rng.randrange(len(file.content) - file.length + 1)
                if len(file.content) > file.length
                else file.length
            )
            if rng.random() < 0.3:
                length = len(file.content)
            content = bytearray(length)
            for sector in range((length + SECTOR - 1) // SECTOR):
                at = sector * SECTOR
                kept = file.kept.get(sector, b"")
                now = bytes(file.content[at : at + SECTOR])
                whole = (
                    now
                    if (sector in file.dirty or sector in file.dropped) and rng.random() < 0.5
                    else kept
                )
                piece = whole[: length - at]
                content[at : at + len(piece)] = piece
            file.content = content
            file.kept = {
                at // SECTOR: bytes(content[at : at + SECTOR]) for at in range(0, length, SECTOR)
            }
            file.length, file.dirty, file.dropped = length, set(), set()
        self._files, self._lasting = after, dict(after)


class PowerLost(BaseException):
    """The machine is dark; no code of the program goes on."""


PLAN_FILE, SHADOW_FOLDER = "faults.json", "shadow"


class FaultyDiskFiles(DiskFiles):
    """A real folder, with faults that the rig says in a file beside it, and a copy of what would outlive a power loss."""

    def __init__(self, path: str, create: bool = True, control: str = "") -> None:
        super().__init__(path, create)
        self._control = control or path + ".rig"
        self._shadow = os.path.join(self._control, SHADOW_FOLDER, os.path.basename(path))
        os.makedirs(self._shadow, exist_ok=True)
        self._names: dict[int, str] = {}
        self._seen = 0
        self._plan: dict[str, Any] = {}
        self._synced: dict[str, bytes] = {}

    def _fault(self, call: str) -> str:
        """What is to go wrong with it; a stall is played here."""
        path = os.path.join(self._control, PLAN_FILE)
        try:
            if (seen := os.stat(path).st_mtime_ns) != self._seen:
                with open(path, encoding="utf-8") as file:
                    self._plan, self._seen = json.load(file), seen
        except (OSError, ValueError):
            pass
        what = str(self._plan.get(call, self._plan.get("all", "")))
        if what.startswith("stall"):
            until = time.monotonic() + float(what.partition(":")[2] or 10)
            while time.monotonic() < until and self._still(path):
                time.sleep(0.02)
            return ""
        return what

    def _still(self, path: str) -> bool:
        try:
            return os.stat(path).st_mtime_ns == self._seen
        except OSError:
            return False

    @staticmethod
    def _raise(what: str) -> None:
        number = {"eio": errno.EIO, "enospc": errno.ENOSPC, "erofs": errno.EROFS}.get(what)
        if number is not None:
            raise OSError(number, os.strerror(number))

    def read(self, name: str) -> bytes:
        self._raise(self._fault("read"))
        return super().read(name)

    def create(self, name: str) -> int:
        self._raise(self._fault("create"))
        handle = super().create(name)
        self._names[handle] = name
        return handle

    def append(self, handle: int, content: bytes) -> None:
        what = self._fault("append")
        if what in ("short", "enospc", "eio"):
            super().append(handle, content[: len(content) // 2])
            self._raise("enospc" if what == "short" else what)
        self._raise(what)
        super().append(handle, content)

    def sync(self, handle: int) -> None:
        what = self._fault("sync")
        self._raise(what)
        if what != "lie":
            super().sync(handle)
            self._copy(self._names[handle])

    def _copy(self, name: str) -> None:
        beside = os.path.join(self._shadow, name + ".new")
        with open(os.path.join(self.path, name), "rb") as source, open(beside, "wb") as sink:
            sink.write(source.read())
        os.replace(beside, os.path.join(self._shadow, name + ".synced"))

    def sync_folder(self) -> None:
        what = self._fault("folder")
        self._raise(what)
        if what != "lie":
            super().sync_folder()
            self._write_names()

    def _write_names(self) -> None:
        beside = os.path.join(self._shadow, "names.new")
        with open(beside, "w", encoding="utf-8") as file:
            json.dump([name for name in self.names() if name.endswith(".seg")], file)
        os.replace(beside, os.path.join(self._shadow, "names"))

    def remove(self, name: str) -> None:
        self._raise(self._fault("remove"))
        copy = os.path.join(self._shadow, name + ".synced")
        if os.path.exists(copy):
            os.replace(copy, copy[:-7] + ".removed")  # it may be back
        super().remove(name)


def cut_power(path: str, rng: Random, control: str = "") -> list[str]:
    """Makes of a folder, whose process is dead, what a power loss leaves of it; returns what was lost."""
    shadow = os.path.join(control or path + ".rig", SHADOW_FOLDER, os.path.basename(path))
    told: list[str] = []
    if not os.path.isdir(path):
        return told
    try:
        with open(os.path.join(shadow, "names"), encoding="utf-8") as file:
            lasting = set(json.load(file))
    except (OSError, ValueError):
        lasting = set()
    for name in sorted(name for name in os.listdir(path) if name.endswith(".seg")):
        whole = os.path.join(path, name)
        with open(whole, "rb") as source:
            content = source.read()
        try:
            with open(os.path.join(shadow, name + ".synced"), "rb") as source:
                kept = source.read()
        except OSError:
            kept = b""
        if name not in lasting and rng.random() < 0.5:
            os.unlink(whole)
            told.append(f"{name} was not there yet")
            continue
        if len(content) > len(kept):
            length = len(kept) + rng.randrange(len(content) - len(kept) + 1)
            left = bytearray(length)
            left[: len(kept)] = kept
            for at in range(len(kept) // SECTOR * SECTOR, length, SECTOR):
                if rng.random() < 0.5:
                    left[at : at + SECTOR] = content[at : min(at + SECTOR, length)]
            with open(whole, "wb") as sink:
                sink.write(left)
            told.append(f"{name} kept {length} of {len(content)} bytes, {len(kept)} of them synced")
    for name in sorted(lasting - set(os.listdir(path))):
        back = os.path.join(shadow, name + ".removed")
        if os.path.exists(back):
            os.replace(back, os.path.join(path, name))
            told.append(f"{name} is back")
    return told
