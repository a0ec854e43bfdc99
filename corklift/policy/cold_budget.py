"""How much a server that has just started may be sent."""

from __future__ import annotations

from random import Random

from corklift.interface import ColdRule
from corklift.policy.constants import FAILURES_TO_EXCLUDE, SECOND
from corklift.policy.load_reports import LoadReports
from corklift.policy.probe_budget import ProbeBudget
from corklift.records import LoginState, Server

# The fraction of a cold server's budget in use; the rest covers random variation and what other
# balancers send.
COLD_BUDGET_FRACTION = 0.8
# The fraction of a cold server's budget that is given to external placers, which send unevenly and
# report late.
EXTERNAL_COLD_FRACTION = 0.5


class ColdBudget:
    """This balancer's part of what a cold server, one that has just started, may be sent.

    A cold server can take new load at a growing rate. The level of what has been sent to it drains
    at this balancer's part of that rate.
    """

    def __init__(self, load_reports: LoadReports, probe_budget: ProbeBudget) -> None:
        self._load_reports, self._probe_budget = load_reports, probe_budget
        # Whether another process of this balancer places its logins.
        self.standby = False

    def configure(self, rule: ColdRule, balancers: int) -> None:
        self._rule, self._balancer_share = rule, COLD_BUDGET_FRACTION / balancers

    def is_cold(self, now: int, server: Server) -> bool:
        return bool(server.started_at) and now - server.started_at < self._rule.ramp

    def _warm_share(self, now: int, server: Server) -> float:
        """The share of its full capacity that the server has by now."""
        age = max(0, now - server.started_at) / max(1, self._rule.ramp)
        return min(1.0, self._rule.start_share + (1 - self._rule.start_share) * age)

    def _budget(self, now: int, server: Server) -> tuple[float, float]:
        """Returns what is spent at this time, and this balancer's budget for one span."""
        capacity = self._load_reports.capacity_of(server) or self._rule.ramp / self._rule.span
        rate = (
            self._rule.multiple
            * self._warm_share(now, server)
            * capacity
            / max(1, self._rule.ramp)
            * self._balancer_share
        )
        return max(
            0.0, server.cold_spent - rate * (now - server.cold_spent_at)
        ), rate * self._rule.span

    def _refill(self, now: int, server: Server) -> None:
        server.cold_spent, _ = self._budget(now, server)
        server.cold_spent_at = now

    def admits(self, now: int, server: Server, state: LoginState, rng: Random) -> bool:
        """Whether this login may be sent to the server; drawn once per login and server."""
        if not self.is_cold(now, server):
            return True
        self._refill(now, server)
        probability = self.admission_probability(now, server, state)
        return (
            probability >= 1.0
            or probability > 0.0
            and state.cold_draws.setdefault(server.id, rng.random()) < probability
        )

    def admission_probability(self, now: int, server: Server, state: LoginState) -> float:
        """The probability that the budget lets this login take part in the draw of the server."""
        if self.standby or not self.is_cold(now, server):
            return float(not self.is_cold(now, server))
        spent, budget = self._budget(now, server)
        limit = max(1.0, budget)
        if spent + min(state.load, limit) > limit + 1e-9:
            return 0.0
        # Guards against hundreds of balancers that each round up their part of a server to one
        # connection: a budget below the logins that this balancer places in a span is a probability
        # instead. All balancers may have some of the returning clients at once, so a span is
        # assumed to hold at least one login then.
        logins = self._probe_budget.login_rate(now) * self._rule.span / SECOND
        if state.login.came_back or self._probe_budget.several_logins_within(now, self._rule.span):
            logins = max(1.0, logins)
        return 1.0 if budget >= logins else budget / logins

    def max_share(self, now: int, server: Server, span: int, capacity_share: float) -> float:
        """The largest share of all logins of a span that external placers may send to the server.

        Guards against hundreds of placers that all use the same probabilities until they get the
        next ones. `capacity_share` is the server's share of the fleet's capacity.
        """
        logins = (
            max(self._probe_budget.login_rate(now), self._probe_budget.peak_reported_logins(now))
            * span
            / SECOND
        )
        if server.failures >= FAILURES_TO_EXCLUDE:
            # One trial login, as in the draw.
            return 1.0 / max(1.0, logins)
        if not self.is_cold(now, server):
            return 1.0
        share = capacity_share * self._warm_share(now, server)
        if logins < 1.0:
            return share
        spent, budget = self._budget(now, server)
        remaining = (
            max(0.0, budget - spent + budget * span / self._rule.span) * EXTERNAL_COLD_FRACTION
        )
        return min(share * self._rule.multiple, remaining / logins)

    def spent(self, now: int, server: Server) -> float:
        return self._budget(now, server)[0] if self.is_cold(now, server) else 0.0

    def spend(self, now: int, server: Server, load: float) -> None:
        if self.is_cold(now, server):
            self._refill(now, server)
            server.cold_spent += load

    def give_back(self, now: int, server: Server, load: float, spent_at: int) -> None:
        """Takes back what was spent on a hand-off of which nothing was sent.

        What the server has drained since then stays spent, as other hand-offs may have used it.
        """
        if self.is_cold(now, server) and server.started_at <= spent_at:
            self._refill(now, server)
            _, budget = self._budget(now, server)
            drained = budget * (now - spent_at) / max(1, self._rule.span)
            server.cold_spent = max(0.0, server.cold_spent - max(0.0, load - drained))
