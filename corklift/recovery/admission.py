"""How many logins are let in while servers and clients come back together, until what comes is no more than what they bear.

Two bounds, the tighter one holds. A window of hand-offs under way, by slow start (Jacobson 1988), with a hand-off for a packet: it begins
small, grows by one with each hand-off that comes up, and is halved by one that fails; so what is let in follows what the servers show,
at their speed. And where the servers are taken for cold, a budget: what the settings' cold rule lets all of them bear at their age
and size, shared by all balancers that there may be; a cold server shows that it had too much only by falling. Owns both. Free of I/O and
clocks. Must never hold a login back: it is let in, or refused at once with a time to come back.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from corklift.interface import ColdRule

FIRST = 1.0  # hand-offs under way at first, for each server of this balancer's part: all servers shared by all balancers
WIDE = 16.0  # for each such server: wider than that, the window bounds nothing that the decisions do not
QUIET = 8  # logins for each such server that come up in a row, with none refused here, after which the bounds have bounded nothing
CARE = 0.75  # of the budget: logins come by chance, more at once now and then
LEAST_IMPORTANT = (
    0.5  # of either bound, for what matters least, so that what matters most is let in first
)
SPREAD = (0.25, 1.0)  # of the longest time to come back


class AdmissionControl:
    def __init__(self, now: int, rule: ColdRule, servers: int, balancers: int) -> None:
        self._rule, self._balancers = rule, max(1, balancers)
        self._part = max(
            1.0, servers / self._balancers
        )  # of the servers, if each balancer had its own
        self.window = max(1.0, FIRST * self._part)
        self.under_way = 0
        self.refused = 0
        self._quiet = 0  # logins that came up since one was refused here or failed there
        self._rate = 0.0  # a second; 0: not bounded
        self._tokens, self._at = 1.0, now

    def cold(self, now: int, servers: Iterable[tuple[int, float]], balancers: int) -> None:
        """Servers that are taken for cold: since when, and how many connections fill each; 0: not known."""
        rule = self._rule
        self._refill(now)
        bears = 0.0
        for since, size in servers:
            age = min(1.0, max(0, now - since) / max(1, rule.ramp))
            share = rule.start_share + (1 - rule.start_share) * age
            bears += (
                rule.multiple * share * (size or rule.ramp / rule.span) / max(1, rule.ramp) * 1e9
            )
        self._rate = CARE * bears / max(self._balancers, balancers)

    def warm(self) -> None:
        """No server is taken for cold any more."""
        self._rate = 0.0

    def _refill(self, now: int) -> None:
        self._tokens = min(self._most, self._tokens + self._rate * max(0, now - self._at) / 1e9)
        self._at = now

    @property
    def _most(self) -> float:
        """Logins at once."""
        return max(1.0, self._rate * self._rule.span / 2e9)

    @property
    def wide_enough(self) -> bool:
        """For all that comes, or so wide that the decisions bound it sooner."""
        return (
            not self._rate and self.window >= WIDE * self._part or self._quiet >= QUIET * self._part
        )

    def may_pass(self, now: int, importance: float) -> bool:
        """`importance`: from 0 to 1, of all there are."""
        least = LEAST_IMPORTANT + (1 - LEAST_IMPORTANT) * importance
        self._refill(now)
        if self.under_way < max(1.0, self.window * least) and (
            not self._rate or self._tokens >= 1.0 + (1.0 - least) * (self._most - 1.0)
        ):
            self.under_way += 1
            self._tokens -= 1.0 if self._rate else 0.0
            return True
        self.refused += 1
        self._quiet = 0
        return False

    def ended(self, up: bool | None) -> None:
        """A login that passed has come up, has failed at a server, or (None) has ended without telling anything of one."""
        self.under_way = max(0, self.under_way - 1)
        if up:
            self.window += 1.0
            self._quiet += 1
        elif up is not None:
            self.window = max(1.0, self.window / 2)
            self._quiet = 0


def retry_after(rng: Random, longest: int, importance: float) -> int:
    """When a refused login is to come back, ns: spread, and the sooner the more it matters."""
    low, high = SPREAD
    return int(longest * rng.uniform(low, high - (high - low) / 2 * importance))
