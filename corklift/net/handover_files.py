"""The state files through which the processes of one balancer exchange state during an upgrade.

They are in a directory that outlives the processes. Each process owns files there, named by its
generation N: `N.lock`, which it keeps locked while it runs; `N.life`, its state; `N.names`, its
table of connection names, which others read without a lock; and, once another process runs,
`N.servers`, its server list. A state file has a few hundred bytes; like the list, it is written to
a temporary file and renamed, so that readers never see a part of it. A file with unreadable content
is logged and ignored. Files of a running process are never removed by another one.
"""

from __future__ import annotations

import fcntl
import os
import re
from collections.abc import Callable
from typing import BinaryIO

from corklift.handover import ProcessState, UnreadableStateError, decode, encode

MAX_FILE_BYTES = 1 << 20
MAX_LIST_BYTES = 8 << 20


def handover_directory(base: str | None, name: str) -> str | None:
    """Returns the directory for the balancer with this name; None without a name or a base."""
    if not base or not name:
        return None
    return os.path.join(base, "corklift-" + re.sub(r"[^A-Za-z0-9_.-]", "_", name))


class HandoverFiles:
    """The files of this process, and access to those of the other processes of the balancer."""

    def __init__(self, path: str, log: Callable[[str], None]) -> None:
        """Creates the directory and claims the next generation.

        Raises:
            OSError: the directory or a file can't be created.
        """
        self._path, self._log = path, log
        os.makedirs(path, mode=0o700, exist_ok=True)
        self._reported_files: set[str] = set()  # unreadable files that were logged
        self._last_mtime: object = None
        while True:
            self.generation = 1 + max(self._generations(), default=0)
            try:
                self._lock = os.open(
                    self._file_path("lock"), os.O_CREAT | os.O_EXCL | os.O_RDWR, 0o600
                )
                break
            except FileExistsError:
                continue  # another process has started at the same time
        # Waits for a moment at most, while `_is_running` of another process holds the lock.
        fcntl.flock(self._lock, fcntl.LOCK_EX)

    def _file_path(self, kind: str, generation: int | None = None) -> str:
        return os.path.join(
            self._path, f"{self.generation if generation is None else generation}.{kind}"
        )

    def _generations(self) -> list[int]:
        return sorted(
            {
                int(name.partition(".")[0])
                for name in os.listdir(self._path)
                if re.fullmatch(r"\d{1,9}\.(lock|life)", name)
            }
        )

    def write_state(self, state: ProcessState) -> None:
        """Replaces the state file of this process."""
        self._replace_file("life", encode(state))

    def write_server_list(self, content: bytes) -> None:
        """Replaces the file of the server list that this process knows."""
        self._replace_file("servers", content)

    def read_server_lists(self) -> list[bytes]:
        """Returns the contents of the server lists of all other processes, running or ended."""
        contents = []
        for generation in self._generations():
            path = self._file_path("servers", generation)
            if generation == self.generation or not os.path.exists(path):
                continue
            try:
                with open(path, "rb") as file:
                    contents.append(file.read(MAX_LIST_BYTES))
            except OSError as problem:
                self._log(f"cannot read the server list of an earlier process: {problem}")
        return contents

    def _replace_file(self, kind: str, content: bytes) -> None:
        temporary_path = self._file_path("new")
        with open(temporary_path, "wb") as file:
            file.write(content)
        os.rename(temporary_path, self._file_path(kind))

    def create_name_table(self) -> BinaryIO:
        """Creates the file of this process's table of connection names.

        Raises:
            OSError: it can't be created.
        """
        return open(self._file_path("names"), "x+b")

    def open_name_table(self, generation: int) -> int:
        """Opens the file of another process's connection names; returns its descriptor.

        Raises:
            OSError: there is no such file.
        """
        return os.open(self._file_path("names", generation), os.O_RDONLY)

    def has_changed(self) -> bool:
        """Whether any process has written since the last call."""
        mtime = os.stat(self._path).st_mtime_ns
        mtime, self._last_mtime = self._last_mtime, mtime
        return mtime != self._last_mtime

    def read_others(self) -> tuple[list[ProcessState], list[ProcessState]]:
        """Returns the states of the other processes: of the running ones, and of the ended ones."""
        running, ended = [], []
        for generation in self._generations():
            if generation != self.generation:
                is_running = self._is_running(generation)
                state = self._read_state(generation)
                if state is not None:
                    (running if is_running else ended).append(state)
        return running, ended

    def remove_files(self, ended: list[ProcessState]) -> None:
        """Removes the files of ended processes.

        Call it only once this process has written a state that includes theirs.
        """
        for state in ended:
            for kind in ("life", "new", "names", "servers", "lock"):
                try:
                    os.unlink(self._file_path(kind, state.generation))
                except OSError:
                    pass

    def _is_running(self, generation: int) -> bool:
        try:
            lock = os.open(self._file_path("lock", generation), os.O_RDWR)
        except OSError:
            return False
        try:
            fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return False
        except OSError:
            return True
        finally:
            os.close(lock)

    def _read_state(self, generation: int) -> ProcessState | None:
        path = self._file_path("life", generation)
        try:
            with open(path, "rb") as file:
                state = decode(file.read(MAX_FILE_BYTES))
            if state.generation != generation:
                raise UnreadableStateError(f"it belongs to generation {state.generation}")
            return state
        except FileNotFoundError:
            return None  # that process has not written its state yet
        except (OSError, UnreadableStateError) as problem:
            if path not in self._reported_files:
                self._reported_files.add(path)
                self._log(f"ignoring state file {os.path.basename(path)}: {problem}")
            return None
