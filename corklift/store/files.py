"""The file layer: everything that lasts goes through these few calls on one folder.

Owns the folder's descriptors and its lock. Each call either did what it says or raises OSError; what was appended lasts only once
`sync` has returned, what was created or removed only once `sync_folder` has. There is no rename, so none can fail to last. Must never
know what is in a file. Tests and the rig put faults here.
"""

from __future__ import annotations

import fcntl
import os
from typing import Protocol

MOST_READ = 1 << 30  # bytes of a file


class Files(Protocol):
    """One folder, without folders in it."""

    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def create(
        self, name: str
    ) -> int: ...  # a new, empty file; raises FileExistsError for one that is there
    def append(
        self, handle: int, content: bytes
    ) -> None: ...  # after OSError any part of it may be there
    def sync(
        self, handle: int
    ) -> None: ...  # after OSError nothing is known of what was appended since the last one
    def sync_folder(self) -> None: ...
    def close(self, handle: int) -> None: ...
    def remove(self, name: str) -> None: ...
    def lock(self) -> bool: ...  # for this process's life; whether no other process has it


class Disk:
    """The system's files."""

    def __init__(self, path: str, make: bool = True) -> None:
        """Raises OSError where the folder can't be made or opened."""
        self.path = path
        if make:
            os.makedirs(path, mode=0o700, exist_ok=True)
        self._folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self._lock: int | None = None

    def names(self) -> list[str]:
        return sorted(os.listdir(self.path))

    def read(self, name: str) -> bytes:
        with open(os.path.join(self.path, name), "rb") as file:
            return file.read(MOST_READ)

    def create(self, name: str) -> int:
        return os.open(
            name,
            os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC,
            0o600,
            dir_fd=self._folder,
        )

    def append(self, handle: int, content: bytes) -> None:
        left = memoryview(content)
        while left:
            left = left[os.write(handle, left) :]

    def sync(self, handle: int) -> None:
        os.fdatasync(handle)  # the length too, as it is needed to read what was written

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
                # A disk that is full or read-only: whoever has the store has the file.
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

    def end(self) -> None:
        """Gives the lock and the folder back."""
        for handle in (self._lock, self._folder):
            if handle is not None:
                os.close(handle)
        self._lock = None
