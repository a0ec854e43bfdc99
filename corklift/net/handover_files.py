"""The files by which the processes of one balancer know of each other, in a folder that outlives each of them.

Owns this process's two files there: `N.lock`, locked for its life, and `N.life`, what it tells. Must never read or remove
what another living process has locked, or raise for what a file holds: that is told and left out. A
few hundred bytes are written where something has changed, beside and then renamed, so a reader finds them whole.
"""

from __future__ import annotations

import fcntl
import os
import re
from collections.abc import Callable

from corklift.handover import ProcessState, UnreadableStateError, decode, encode

MOST = 1 << 20  # bytes of a file that is read


def folder(base: str | None, name: str) -> str | None:
    """Where the processes of the balancer of this name meet, if it has one and the system gives them a place."""
    if not base or not name:
        return None
    return os.path.join(base, "corklift-" + re.sub(r"[^A-Za-z0-9_.-]", "_", name))


class HandoverFiles:
    def __init__(self, path: str, log: Callable[[str], None]) -> None:
        """Takes the next generation's number; raises OSError where nothing can be written."""
        self._path, self._log = path, log
        os.makedirs(path, mode=0o700, exist_ok=True)
        self._told: set[str] = set()  # files that were told of as unreadable
        self._seen: object = None
        while True:
            self.generation = 1 + max(self._generations(), default=0)
            try:
                self._lock = os.open(self._file("lock"), os.O_CREAT | os.O_EXCL | os.O_RDWR, 0o600)
                break
            except FileExistsError:
                continue  # another one has started at the same time
        # Waits for no more than another's look, which holds the lock for that moment.
        fcntl.flock(self._lock, fcntl.LOCK_EX)

    def _file(self, kind: str, generation: int | None = None) -> str:
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

    def tell(self, life: ProcessState) -> None:
        beside = self._file("new")
        with open(beside, "wb") as file:
            file.write(encode(life))
        os.rename(beside, self._file("life"))

    def changed(self) -> bool:
        """Whether any of them has written since this was last asked."""
        seen = os.stat(self._path).st_mtime_ns
        seen, self._seen = self._seen, seen
        return seen != self._seen

    def others(self) -> tuple[list[ProcessState], list[ProcessState]]:
        """What the other processes tell: of those that live, and of those that have ended."""
        living, ended = [], []
        for generation in self._generations():
            if generation != self.generation:
                lives = self._lives(generation)
                life = self._read(generation)
                if life is not None:
                    (living if lives else ended).append(life)
        return living, ended

    def forget(self, lives: list[ProcessState]) -> None:
        """Removes what those who have ended left, once this process tells it too."""
        for life in lives:
            for kind in ("life", "new", "lock"):
                try:
                    os.unlink(self._file(kind, life.generation))
                except OSError:
                    pass

    def _lives(self, generation: int) -> bool:
        try:
            lock = os.open(self._file("lock", generation), os.O_RDWR)
        except OSError:
            return False
        try:
            fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return False
        except OSError:
            return True
        finally:
            os.close(lock)

    def _read(self, generation: int) -> ProcessState | None:
        path = self._file("life", generation)
        try:
            with open(path, "rb") as file:
                life = decode(file.read(MOST))
            if life.generation != generation:
                raise UnreadableStateError(f"it is of generation {life.generation}")
            return life
        except FileNotFoundError:
            return None  # it has not told anything yet
        except (OSError, UnreadableStateError) as problem:
            if path not in self._told:
                self._told.add(path)
                self._log(f"{os.path.basename(path)} of an earlier process is left out: {problem}")
            return None
