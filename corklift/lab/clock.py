"""Virtual time: a queue of scheduled calls and a digest of what happened.

Calls run in order of time, and calls of the same time in the order in which they were scheduled, so
that a run depends on its seed alone. The real clock is never read.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from xxhash import xxh3_64

MS = 1_000_000
SECOND = 1_000 * MS


class Clock:
    """A virtual clock that runs scheduled calls."""

    def __init__(self, start: int = 1_000 * SECOND) -> None:
        self.now = start
        self.started_at = start
        self.event_count = 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._sequence = 0
        self._digest = xxh3_64()

    def call_at(self, due_at: int, callback: Callable[..., None], *arguments: object) -> None:
        """Schedules a call. A time in the past means now, after all calls that are due already."""
        self._sequence += 1
        heappush(self._queue, (max(due_at, self.now), self._sequence, callback, arguments))

    def call_later(self, delay: int, callback: Callable[..., None], *arguments: object) -> None:
        self.call_at(self.now + max(0, delay), callback, *arguments)

    def run_until(self, end: int) -> None:
        queue = self._queue
        while queue and queue[0][0] <= end:
            self.now, _, callback, arguments = heappop(queue)
            self.event_count += 1
            callback(*arguments)
        self.now = end

    @property
    def pending(self) -> int:
        return len(self._queue)

    def record_event(self, name: str, *numbers: int) -> None:
        """Adds an event to the digest of the history, by which runs can be compared."""
        self._digest.update(f"{self.now} {name} {numbers}\n".encode())

    @property
    def history(self) -> str:
        """The digest of all events so far."""
        return self._digest.hexdigest()
