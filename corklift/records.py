"""Plain records of what the decisions know: measurements, logins and servers.

Nothing is decided here; `corklift.policy` reads and updates these records. Times are whole
nanoseconds of the host's clock.
"""

from __future__ import annotations

from math import log

from corklift.interface import ListedServer, Login, Outcome, Workload


class Histogram:
    """A coarse histogram with logarithmic bins whose old samples decay.

    All bins are halved whenever their total reaches `HALVE_AT`.
    """

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
            self._bins = {index: weight / 2 for index, weight in self._bins.items() if weight > 0.1}
            self._total = sum(self._bins.values())
        self.mean = (
            sum(weight * self.RATIO ** (index + 0.5) for index, weight in self._bins.items())
            / self._total
        )


class Attempt:
    """One hand-off of a login to a server; `outcome` is None while it is in progress."""

    def __init__(self, server: int, sent_at: int) -> None:
        self.server, self.sent_at = server, sent_at
        self.outcome: Outcome | None = None


class LoginState:
    """A login in progress at this balancer, or the connection it became."""

    def __init__(self, login: Login, load: float, workload: Workload) -> None:
        self.login, self.load = login, load
        # The workload's settings at arrival; a later reload does not change them.
        self.workload = workload
        self.attempts: list[Attempt] = []
        self.is_open = False
        # The query round before the next hand-off, and how many rounds have sent their queries.
        self.query_round = 0
        self.queried_rounds = 0
        # A random sample of the group's home servers, queried first.
        self.home_sample: list[Server] = []
        # The random order in which a login without a group tries the servers.
        self.server_order: list[Server] = []
        # The first servers of the order that the login may be sent to.
        self.candidates: list[Server] = []
        # The number of the current query, and how many of its answers are outstanding.
        self.query_id, self.pending_answers = 0, 0
        # The client returns from a connection that another balancer held.
        self.from_other_balancer = False
        # One random number for each cold server, drawn once, so that asking again does not change
        # the answer.
        self.cold_draws: dict[int, float] = {}


class Server:
    """What this balancer knows of one server."""

    def __init__(self, line: ListedServer, now: int) -> None:
        self.id = line.server
        self.id_hash = line.server * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
        self.zone, self.kind, self.cell, self.weight = line.zone, line.kind, line.cell, line.weight
        self.status, self.started_at, self.listed_at = line.status, line.started_at, now
        # Listed as ready and not taken out of service by an operator; set by the ServerRegistry.
        self.ready = False
        # Connection count and utilisation (load over capacity) of the last report.
        self.count: float | None = None
        self.utilisation: float | None = None
        # When the last report came; 0: none yet.
        self.reported_at = 0
        # Placements that a report may not include yet, by login: (time, load, unshared load).
        self.unreported: dict[int, tuple[int, float, float]] = {}
        # Their total load, and the part of it that has no counterpart at the other balancers.
        self.unreported_load = self.unshared_load = 0.0
        # This balancer's own connections, by login, and their number in each group.
        self.connections: dict[int, LoginState] = {}
        self.groups: dict[int, int] = {}
        # How many connections fill the server, and that number relative to the fleet's mean.
        self.capacity = Histogram()
        self.relative_capacity = 1.0
        # Failed hand-offs in a row, the backoff level and end of the exclusion that they cause,
        # and unanswered probes or connects in a row.
        self.failures = self.exclusion_level = self.excluded_until = self.unanswered = 0
        # The one login that tests an excluded server; 0: none.
        self.trial_login = 0
        # How long messages take at the server, as last measured, and when that was measured.
        self.message_delay = 0.0
        self.message_delay_at = -3_600_000_000_000
        # Since when messages have been delayed without a break.
        self.delayed_since = 0
        # No new logins before the first time; no connections moved away before the second.
        self.full_until = self.next_move_at = 0
        # What has been spent of the cold budget, and when that was last updated.
        self.cold_spent, self.cold_spent_at = 0.0, 0
        # Periodic probes scheduled under an earlier generation do nothing when they are due.
        self.probe_generation = 0
        # When the probe that is still unanswered was sent; 0: none.
        self.pending_probe_at = 0
        # When the last probe was sent.
        self.probed_at = 0
        # Logins that wait for the server's answer, each with the number of its query.
        self.waiting_logins: list[tuple[LoginState, int]] = []
