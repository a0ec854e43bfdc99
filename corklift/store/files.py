"""The file layer: the few operations on one folder through which everything durable goes.

Each call either did what it says or raises OSError. Appended bytes are durable only once `sync` has
returned; created and removed files only once `sync_folder` has. There is deliberately no rename,
whose durability would be one more thing to ensure. Tests and the rig inject faults here.
"""

from __future__ import annotations

import fcntl
import os
from typing import Protocol

MAX_FILE_BYTES = 1 << 30


class FileLayer(Protocol):
    """One folder without subfolders."""

    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...

    def create(self, name: str) -> int:
        """Creates an empty file and returns its handle; raises FileExistsError if it exists."""
        ...

    def append(self, handle: int, content: bytes) -> None:
        """Appends; after an OSError any part of the content may have been written."""
        ...

    def sync(self, handle: int) -> None:
        """Syncs; after an OSError it is unknown which bytes since the last sync are durable."""
        ...

    def sync_folder(self) -> None: ...
    def close(self, handle: int) -> None: ...
    def remove(self, name: str) -> None: ...

    def lock(self) -> bool:
        """Locks the folder for the life of the process; returns whether the lock was free."""
        ...


class DiskFiles:
    """A folder of the file system."""

    def __init__(self, path: str, create: bool = True) -> None:
        """Opens the folder, and creates it if need be.

        Raises:
            OSError: the folder can't be created or opened.
        """
        self.path = path
        if create:
            os.makedirs(path, mode=0o700, exist_ok=True)
        self._folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self._lock: int | None = None

    def names(self) -> list[str]:
        return sorted(os.listdir(self.path))

    def read(self, name: str) -> bytes:
        with open(os.path.join(self.path, name), "rb") as file:
            return file.read(MAX_FILE_BYTES)

    def create(self, name: str) -> int:
        return os.open(
            name,
            os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC,
            0o600,
            dir_fd=self._folder,
        )

    def append(self, handle: int, content: bytes) -> None:
        remaining = memoryview(content)
        while remaining:
            remaining = remaining[os.write(handle, remaining) :]

    def sync(self, handle: int) -> None:
        # fdatasync includes the file length, as that is needed to read the data back.
        os.fdatasync(handle)

    def sync_folder(self) -> None:
        os.fsync(self._folder)

    def close(self, handle: int) -> None:
        os.close(handle)

    def remove(self, name: str) -> None:
        os.unlink(name, dir_fd=self._folder)

    def lock(self) -> bool:
        if self._lock is None:
            try:
                handle = os.open(
                    "lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600, dir_fd=self._folder
                )
            except OSError:
                # The disk may be full or read-only. If the lock file does not exist, no process
                # holds the store.
                try:
                    handle = os.open("lock", os.O_RDONLY | os.O_CLOEXEC, dir_fd=self._folder)
                except FileNotFoundError:
                    return True
            try:
                fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(handle)
                return False
            except OSError:
                os.close(handle)
                raise
            self._lock = handle
        return True

    def release(self) -> None:
        """Releases the lock and closes the folder."""
        for handle in (self._lock, self._folder):
            if handle is not None:
                os.close(handle)
        self._lock = None
