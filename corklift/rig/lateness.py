"""Measures how long processes wait for a processor core.

A verdict that depends on real time means little on a machine that did not run the processes. The
kernel's scheduler counts for each process how long it was ready to run without running; the rig's
own process in addition measures how late its timers are and how long garbage collections take.
"""

from __future__ import annotations

import gc
from collections.abc import Callable, Mapping
from typing import NamedTuple

from corklift.net.limits import MS, SECOND
from corklift.net.scheduler import Scheduler

# Interval of the timer whose lateness is measured.
TIMER_INTERVAL = 20 * MS
# Interval at which the scheduler's counts are read.
READ_INTERVAL = 500 * MS
# Waits of at least this length in one interval are kept.
MIN_WAIT = 25 * MS


class CoreWait(NamedTuple):
    """A process that waited for a core, or whose timer was late, in an interval that ended at `at`.

    Times are in nanoseconds.
    """

    at: int
    process: str
    kind: str
    duration: int


class LatenessMonitor:
    """Records the waits of some processes while its loop runs."""

    def __init__(self, scheduler: Scheduler, processes: Callable[[], Mapping[str, int]]) -> None:
        """`processes` returns the ids of the processes to watch, by name."""
        self._scheduler, self._processes = scheduler, processes
        self._last_counts: dict[int, int] = {}
        self._collection_started_at = 0
        self.waits: list[CoreWait] = []

    def start(self) -> None:
        """Starts to measure, until `stop` or the end of the scheduler."""
        gc.callbacks.append(self._on_garbage_collection)
        self._scheduler.spawn(self._loop)

    def stop(self) -> None:
        gc.callbacks.remove(self._on_garbage_collection)

    def _on_garbage_collection(self, phase: str, _: dict[str, int]) -> None:
        now = self._scheduler.now()
        if phase == "start":
            self._collection_started_at = now
        else:
            self._keep(now, "rig", "collection", now - self._collection_started_at)

    def _loop(self) -> None:
        read_at = self._scheduler.now()
        while True:
            due = self._scheduler.now() + TIMER_INTERVAL
            self._scheduler.wait({}, due)
            now = self._scheduler.now()
            self._keep(now, "rig", "timer late", now - due)
            if now >= read_at:
                self._read_counts(now)
                read_at = now + READ_INTERVAL

    def _read_counts(self, now: int) -> None:
        for name, process_id in self._processes().items():
            waited = read_core_wait(process_id)
            if waited is None:
                continue
            self._keep(now, name, "no core", waited - self._last_counts.get(process_id, waited))
            self._last_counts[process_id] = waited

    def _keep(self, now: int, process: str, kind: str, duration: int) -> None:
        if duration >= MIN_WAIT:
            self.waits.append(CoreWait(now, process, kind, duration))

    def longest(self) -> dict[tuple[str, str], CoreWait]:
        """Returns the longest wait by process and kind."""
        longest: dict[tuple[str, str], CoreWait] = {}
        for wait in self.waits:
            key = wait.process, wait.kind
            if key not in longest or wait.duration > longest[key].duration:
                longest[key] = wait
        return longest


def read_core_wait(process_id: int) -> int | None:
    """Returns how long a process has been ready without a core, in ns; None if it is not known."""
    try:
        with open(f"/proc/{process_id}/schedstat", encoding="ascii") as file:
            return int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return None


def format_waits(waits: Mapping[tuple[str, str], CoreWait], started_at: int) -> list[str]:
    """Returns a line for each process and kind, the longest first."""
    return [
        f"{wait.process:12} {wait.kind:10} {wait.duration // MS:6} ms "
        f"in the interval to {(wait.at - started_at) / SECOND:.3f} s"
        for wait in sorted(waits.values(), key=lambda wait: -wait.duration)
    ]
