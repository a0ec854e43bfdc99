"""Exponential backoff with jitter, for one caller among many that share no state.

The first delay is short because a single fault is usually over at once. Each further delay is about
twice as long, up to a maximum, and random. Otherwise dozens of callers that start or fail together
would return together and keep an overloaded service overloaded: at a fixed interval their calls
alone can exceed its capacity. The class reads no clock and does not wait itself.
"""

from __future__ import annotations

from random import Random


class Backoff:
    """The delays of one caller. Create a new object after a success."""

    JITTER = 0.5  # fraction of a delay by which it varies either way

    def __init__(self, rng: Random, min_delay: int, max_delay: int) -> None:
        self._rng, self._min_delay, self._max_delay = rng, min_delay, max(min_delay, max_delay)
        self.failures = 0

    def next_delay(self, at_most: int | None = None) -> int:
        """Counts a failure and returns the delay before the next call, in ns.

        With `at_most` the whole range of the delay is scaled down to at most that value, so that
        delays of several callers still differ.
        """
        delay = min(self._min_delay << min(self.failures, 32), self._max_delay)
        self.failures += 1
        if at_most is not None:
            delay = min(delay, int(max(at_most, 0) / (1 + self.JITTER)))
        return int(delay * self._rng.uniform(1 - self.JITTER, 1 + self.JITTER))
