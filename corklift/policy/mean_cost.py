"""The mean cost of recent logins, and each login's load relative to it."""

from __future__ import annotations

from corklift.policy.constants import LOGIN_RATE_HALF_LIFE

# A generation of costs ends after this time and this many costs. The mean is that of the present
# generation and the one before, so that a wrong cost is forgotten when both have ended.
GENERATION_TIME, GENERATION_COSTS = LOGIN_RATE_HALF_LIFE, 100
# No login counts as more than this many logins of mean cost, or as less than one of this many parts
# of such a login, whatever its client states.
MAX_RELATIVE_LOAD = 100.0


class MeanCost:
    """The mean of the costs that clients and servers have stated recently."""

    def __init__(self, now: int) -> None:
        self._sum, self._count = 0.0, 0
        self._former_sum, self._former_count = 0.0, 0
        self._generation_since = now

    def relative_load(self, now: int, cost: float | None) -> float:
        """Counts a cost and returns its ratio to the mean; 1 if the cost is unknown."""
        if not cost:
            return 1.0
        self._add(now, cost)
        mean = (self._sum + self._former_sum) / (self._count + self._former_count)
        return min(MAX_RELATIVE_LOAD, max(1 / MAX_RELATIVE_LOAD, cost / mean))

    def _add(self, now: int, cost: float) -> None:
        count = self._count + self._former_count
        if count:
            mean = (self._sum + self._former_sum) / count
            cost = min(cost, MAX_RELATIVE_LOAD * mean)
        is_complete = self._count >= GENERATION_COSTS
        if is_complete and now - self._generation_since >= GENERATION_TIME:
            self._former_sum, self._former_count = self._sum, self._count
            self._sum, self._count = 0.0, 0
            self._generation_since = now
        self._sum += cost
        self._count += 1
