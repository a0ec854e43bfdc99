"""How long to leave a service alone that has failed.

Owns the waits between calls of one caller among many that share nothing. Must never read a clock, wait, or know what
is called. The first wait is short, as a lone fault is over at once; each further one is about twice as long, up to a
bound, and drawn at random. Guards against a service that is overbooked and kept so: dozens of callers that start or
fail together would come back together, and at a fixed pace their calls alone are more than it can answer.
"""

from __future__ import annotations

from random import Random


class Backoff:
    SPREAD = 0.5  # of a wait, either way

    def __init__(self, rng: Random, least: int, most: int) -> None:
        self._rng, self._least, self._most = rng, least, max(least, most)
        self.failures = 0  # since it was made; a new one is made after a success

    def failed(self) -> int:
        """Takes note of a failure; returns how long to wait before the next call, in ns."""
        grown = self._least << min(self.failures, 32)
        self.failures += 1
        return int(min(grown, self._most) * self._rng.uniform(1 - self.SPREAD, 1 + self.SPREAD))
