"""Virtual time: what is due, in order of time and then of asking. One seed gives one history.

Owns the queue and the running digest of the history. Must never look at a real clock.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from xxhash import xxh3_64

MS = 1_000_000
SECOND = 1_000 * MS


class Clock:
    def __init__(self, start: int = 1_000 * SECOND) -> None:
        self.now = start
        self.started_at = start
        self.event_count = 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._number = 0
        self._digest = xxh3_64()

    def call_at(self, when: int, run: Callable[..., None], *arguments: object) -> None:
        """Runs this then; what is due in the past is due now, behind all that is due now already."""
        self._number += 1
        heappush(self._queue, (max(when, self.now), self._number, run, arguments))

    def call_later(self, span: int, run: Callable[..., None], *arguments: object) -> None:
        self.call_at(self.now + max(0, span), run, *arguments)

    def run_until(self, until: int) -> None:
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, run, arguments = heappop(queue)
            self.event_count += 1
            run(*arguments)
        self.now = until

    @property
    def pending(self) -> int:
        return len(self._queue)

    def record_event(self, what: str, *numbers: int) -> None:
        """A step of the history: it goes into the digest, so two runs can be told alike."""
        self._digest.update(f"{self.now} {what} {numbers}\n".encode())

    @property
    def history(self) -> str:
        return self._digest.hexdigest()
