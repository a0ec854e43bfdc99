"""Admission control for logins after a restart of the fleet.

It applies while servers and clients come back together.

Two limits apply, and the tighter one decides. The first is a window of hand-offs in progress that
follows slow start (Jacobson 1988), with a hand-off in place of a packet: it starts small, grows by
one with each hand-off that succeeds and is halved by each that fails, so admission follows what the
servers can take. The second applies while servers are assumed to be cold: a token bucket with the
rate that the cold rule of the settings allows for all of them at their age and size, shared by all
balancers that may exist. It is needed because a cold server gives no sign of overload before it
fails.

Does no I/O and reads no clock. Never delays a login: it is admitted, or rejected at once with a
time to retry.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from corklift.interface import ColdRule

# This balancer's share of the servers is the number of servers divided by the number of balancers;
# the next three values are for each server of the share.

# Hand-offs that may be in progress at first.
INITIAL_WINDOW = 1.0
# From this window on, the decision module limits logins sooner than the window does.
UNRESTRICTED_WINDOW = 16.0
# After this many logins that succeeded in a row, without a rejection here, the limits have no
# effect any more.
UNRESTRICTED_LOGINS = 8
# Share of the budget that is used, because logins arrive at random and bunch up now and then.
BUDGET_SHARE = 0.75
# Share of both limits that applies to the least important logins, so that the most important ones
# are admitted first.
MIN_SHARE = 0.5
# Range of the time to retry, as shares of the maximum.
RETRY_SPREAD = (0.25, 1.0)


class AdmissionControl:
    """Decides which logins are admitted after a restart, until the servers take all of them."""

    def __init__(self, now: int, rule: ColdRule, servers: int, balancers: int) -> None:
        """Starts with the initial window and without a budget.

        Args:
            now: current time, in ns.
            rule: the cold rule of the settings.
            servers: number of servers that are ready.
            balancers: number of balancers that may exist.
        """
        self._rule, self._balancers = rule, max(1, balancers)
        self._server_share = max(1.0, servers / self._balancers)
        self.window = max(1.0, INITIAL_WINDOW * self._server_share)
        self.in_progress = 0
        self.rejected = 0
        self._clean_logins = 0  # logins that succeeded since the last rejection or failure
        self._rate = 0.0  # logins per second; 0: no budget applies
        self._tokens, self._refilled_at = 1.0, now

    def set_cold_servers(
        self, now: int, servers: Iterable[tuple[int, float]], balancers: int
    ) -> None:
        """Sets the budget from the servers that are assumed to be cold.

        Args:
            now: current time, in ns.
            servers: for each server, its start time in ns and its size in connections; 0: size not
                known.
            balancers: number of balancers that may exist.
        """
        rule = self._rule
        self._refill(now)
        capacity = 0.0
        for since, size in servers:
            age = min(1.0, max(0, now - since) / max(1, rule.ramp))
            share = rule.start_share + (1 - rule.start_share) * age
            capacity += (
                rule.multiple * share * (size or rule.ramp / rule.span) / max(1, rule.ramp) * 1e9
            )
        self._rate = BUDGET_SHARE * capacity / max(self._balancers, balancers)

    def clear_cold_servers(self) -> None:
        """Removes the budget, because no server is assumed to be cold any more."""
        self._rate = 0.0

    def _refill(self, now: int) -> None:
        self._tokens = min(
            self._burst, self._tokens + self._rate * max(0, now - self._refilled_at) / 1e9
        )
        self._refilled_at = now

    @property
    def _burst(self) -> float:
        """Size of the token bucket, in logins."""
        return max(1.0, self._rate * self._rule.span / 2e9)

    @property
    def unrestricted(self) -> bool:
        """Whether admission control has no effect any more, so that all logins can be admitted."""
        return (
            not self._rate
            and self.window >= UNRESTRICTED_WINDOW * self._server_share
            or self._clean_logins >= UNRESTRICTED_LOGINS * self._server_share
        )

    def try_admit(self, now: int, importance: float) -> bool:
        """Returns whether a login is admitted; `importance` is relative, from 0 to 1."""
        share = MIN_SHARE + (1 - MIN_SHARE) * importance
        self._refill(now)
        if self.in_progress < max(1.0, self.window * share) and (
            not self._rate or self._tokens >= 1.0 + (1.0 - share) * (self._burst - 1.0)
        ):
            self.in_progress += 1
            self._tokens -= 1.0 if self._rate else 0.0
            return True
        self.rejected += 1
        self._clean_logins = 0
        return False

    def login_finished(self, fulfilled: bool | None) -> None:
        """An admitted login has succeeded, failed at a server, or (None) ended otherwise."""
        self.in_progress = max(0, self.in_progress - 1)
        if fulfilled:
            self.window += 1.0
            self._clean_logins += 1
        elif fulfilled is not None:
            self.window = max(1.0, self.window / 2)
            self._clean_logins = 0


def retry_after(rng: Random, max_retry_after: int, importance: float) -> int:
    """Returns when a rejected login should retry, in ns: random, sooner for important ones."""
    low, high = RETRY_SPREAD
    return int(max_retry_after * rng.uniform(low, high - (high - low) / 2 * importance))
