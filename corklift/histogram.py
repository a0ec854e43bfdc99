"""The one form in which the decisions keep what they measure."""

from __future__ import annotations

from math import log


class Histogram:
    """A few coarse bins on a ratio scale, halved from time to time so that old samples fade."""

    RATIO, BINS, HALVE_AT = 1.25, 40, 12.0

    def __init__(self) -> None:
        self._bins: dict[int, float] = {}
        self._total = 0.0
        self.mean: float | None = None

    def add(self, value: float) -> None:
        index = min(self.BINS, max(0, int(log(max(value, 1.0), self.RATIO))))
        self._bins[index] = self._bins.get(index, 0.0) + 1.0
        self._total += 1.0
        if self._total >= self.HALVE_AT:
            self._bins = {at: held / 2 for at, held in self._bins.items() if held > 0.1}
            self._total = sum(self._bins.values())
        self.mean = sum(held * self.RATIO ** (at + 0.5) for at, held in self._bins.items()) / self._total
