"""The rate of logins, and how much of their value probes may cost."""

from __future__ import annotations

from corklift.policy.constants import LOGIN_RATE_HALF_LIFE, MAX_REPORT_AGE, SECOND

# If probing all servers costs more than this fraction of the logins' value, a subset is probed ...
EXPENSIVE_PROBING = 0.02
# ... whose periodic probes may cost this fraction of the logins' value.
SUBSET_PROBING_COST = 0.005


class ProbeBudget:
    """Whether this balancer can afford to probe every server, and how many it probes otherwise."""

    def __init__(self, now: int) -> None:
        # A decaying count of logins, halved every LOGIN_RATE_HALF_LIFE.
        self._login_count, self._counted_at = 0.0, now
        # Set further back if there were connections at the start.
        self._counting_since: int = now
        # When the last two logins came.
        self._last_logins_at = [-LOGIN_RATE_HALF_LIFE, -LOGIN_RATE_HALF_LIFE]
        # Logins that external placers reported, by the second in which they reported them.
        self._reported_by_second: dict[int, int] = {}

    def configure(self, probe_price: float, balancers: int) -> None:
        self._probe_price, self._balancers = probe_price, balancers

    def record_existing_connection(self, now: int) -> None:
        """Counts a connection that was open at the start as an earlier login."""
        self._counting_since = now - 10 * LOGIN_RATE_HALF_LIFE
        self.record_login(now, False)

    def record_login(self, now: int, came_back: bool, count: int = 1) -> None:
        """Counts logins; those of returning clients bring no value of their own."""
        if not came_back:
            self._login_count, self._counted_at = self._decayed_count(now) + count, now
        self._last_logins_at = [self._last_logins_at[1], now]

    def record_reported_logins(self, now: int, count: int) -> None:
        """Counts logins that external placers reported."""
        self.record_login(now, False, count)
        second = now // SECOND
        self._reported_by_second = {
            at: logins for at, logins in self._reported_by_second.items() if at > second - 3
        }
        self._reported_by_second[second] = self._reported_by_second.get(second, 0) + count

    def peak_reported_logins(self, now: int) -> int:
        """The most logins reported in one of the last three seconds; shows a flood at once."""
        return max(
            (logins for at, logins in self._reported_by_second.items() if at > now // SECOND - 3),
            default=0,
        )

    def export_rate(self, now: int) -> tuple[float, int]:
        return self._decayed_count(now), self._counting_since

    def import_rate(self, now: int, login_count: float, counting_since: int) -> None:
        self._login_count, self._counted_at, self._counting_since = (
            self._decayed_count(now) + float(login_count),
            now,
            min(self._counting_since, int(counting_since)),
        )

    def _decayed_count(self, now: int) -> float:
        return self._login_count * 0.5 ** ((now - self._counted_at) / LOGIN_RATE_HALF_LIFE)

    def login_rate(self, now: int) -> float:
        """This balancer's logins per second, including connections that were open at the start."""
        # The decayed count is a rate times the half-life over ln 2 (0.69), less what was not
        # counted before the start. Guards against a balancer that has just started and
        # underestimates the rate of logins.
        counted_for = max(MAX_REPORT_AGE, now - self._counting_since)
        return (
            0.69
            * self._decayed_count(now)
            * SECOND
            / (LOGIN_RATE_HALF_LIFE * (1 - 0.5 ** (counted_for / LOGIN_RATE_HALF_LIFE)))
        )

    def is_rate_known(self, now: int) -> bool:
        """Whether the rate of logins is known, or does not matter because probes are free.

        Before the first login the rate is unknown rather than zero. Clients that return from
        another balancer do not show it, unless no other logins have come for a long time.
        """
        return (
            self._login_count > 0
            or not self._probe_price
            or now - self._counting_since > 2 * MAX_REPORT_AGE
            and self._last_logins_at[1] > 0
        )

    def several_logins_within(self, now: int, span: int) -> bool:
        return now - self._last_logins_at[0] < span

    def requires_subset(self, now: int, servers: int) -> bool:
        """Whether probing all servers, even at the longest allowed period, costs too much.

        This is also so with more balancers than servers, because each balancer then knows little of
        the counts and groups.
        """
        cost = servers * self._probe_price * SECOND / MAX_REPORT_AGE
        return cost > 0 and (
            self._balancers > servers
            or (self.is_rate_known(now) and cost > EXPENSIVE_PROBING * self.login_rate(now))
        )

    def subset_size(self, now: int, servers: int) -> int:
        """How many servers to probe within MAX_REPORT_AGE when not all are probed."""
        affordable = (
            SUBSET_PROBING_COST * self.login_rate(now) * MAX_REPORT_AGE / SECOND / self._probe_price
            if self._probe_price
            else servers
        )
        return max(1, min(servers, int(affordable)))
