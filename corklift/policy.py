"""All placement decisions of corklift, for every deployment.

Usage: create one `Balancer` per instance with a `Host` that carries out its actions, a
`random.Random` of its own and the settings as keyword arguments. Call the method named for each
event, with the host's clock. All actions are calls on the host that are made before the method
returns. The types of both sides are in `corklift/interface.py`.

The ordinary path: every ready server is probed for its number of open connections about once a
second, at a random phase. A login's server is drawn with probability proportional to
1/(count + 1), where the count includes this balancer's own placements since the report.
`docs/design.md` lists each departure from this rule and when it applies.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import product
from math import prod
from random import Random
from typing import Any

from corklift.interface import (
    ColdRule,
    Effect,
    Host,
    ListedServer,
    Login,
    MeasurementKind,
    Outcome,
    Reach,
    Report,
    Scope,
    Status,
    Workload,
)
from corklift.records import Attempt, Histogram, LoginState, Server

# Durations are in nanoseconds. Utilisation is load over capacity, where 1.0 is a server's limit.

SECOND = 1_000_000_000
# The design asks for a probe about once a second.
PROBE_PERIOD = SECOND
# The period for servers below LOW_UTILISATION, because every probe costs something.
RELAXED_PROBE_PERIOD = 2 * PROBE_PERIOD
LOW_UTILISATION = 0.5
# A server whose last report is older than this leaves the draw; the design sets 3 s.
MAX_REPORT_AGE = 3 * PROBE_PERIOD
# A report may miss placements that were made less than this before it arrived.
REPORT_LAG = PROBE_PERIOD
# Above this utilisation a server gets no new logins while others are below it.
HEADROOM_UTILISATION = 0.7
# Above this utilisation connections are moved away from a server ...
OVERLOAD_UTILISATION = 0.85
# ... unless it is below this multiple of the fleet's mean: in a uniformly full fleet a move would
# only shift the load.
OVERLOAD_OVER_MEAN = 1.15
# The time until a move shows in the reports; the server moves no further connections before.
MOVE_PAUSE = 5 * PROBE_PERIOD // 2
# The fraction of the excess load that one step moves away; each balancer moves its own part.
MOVE_FRACTION = 0.5
# The home servers of a group with a share s of the load have this multiple of s of the fleet's
# capacity.
GROUP_CAPACITY_FACTOR = 1.15
# The utilisation reserved for logins that bring more importance for their load, where importance is
# set per unit of work. It is withheld from a login of importance 0; the most important ones may use
# all of it, others a part in proportion to their importance.
IMPORTANCE_RESERVE = 0.1
# A zone crossing that costs more than this fraction of a login's value is avoided while the
# balancer's own zone has headroom.
EXPENSIVE_ZONE_CROSSING = 0.01
# How long a measured message delay is valid; servers repeat it every second while it lasts.
DELAY_VALIDITY = 3 * PROBE_PERIOD // 2
# Connections leave a server with headroom whose message delay exceeds this multiple of the shortest
# message limit ...
EVACUATION_DELAY_FACTOR = 2.0
# ... if at most this fraction of the servers that hold own connections is delayed at the same time.
MAX_DELAYED_FRACTION = 0.75
# At most this many balancers, including this one, are assumed to place the same load on the same
# server at the same time.
MAX_BALANCERS_IN_STEP = 4
# The utilisation that a group may add to a server that does not hold it yet.
GROUP_COST_MARGIN = 0.1
# Failed hand-offs in a row that exclude a server from the draw.
FAILURES_TO_EXCLUDE = 2
# Unanswered probes or connects in a row after which a server counts as lost.
UNANSWERED_TO_EVACUATE = 3
# The fraction of a cold server's budget in use; the rest covers random variation and what other
# balancers send.
COLD_BUDGET_FRACTION = 0.8
# Above this utilisation a server gets no new logins; if no server is below it, logins are bounced.
FULL_UTILISATION = 0.85
# Each login earns this many resends after failures that may have a common cause, and at most
# MAX_SAVED_RESENDS are saved; beyond that, logins are bounced.
RESENDS_PER_LOGIN = 0.3
MAX_SAVED_RESENDS = 10.0
# Own logins are counted with this half-life.
LOGIN_RATE_HALF_LIFE = 10 * MAX_REPORT_AGE
# If probing all servers costs more than this fraction of the logins' value, a subset is probed ...
EXPENSIVE_PROBING = 0.02
# ... whose periodic probes may cost this fraction of the logins' value.
SUBSET_PROBING_COST = 0.005
# With subset probing: how many servers are queried before a hand-off; later rounds query more.
FIRST_QUERY_SIZE = 3
# The number of the last round; rounds are counted from 0.
LAST_QUERY_ROUND = 2
# A query waits for a pending probe that was sent less than this ago; a server whose probe has been
# pending for longer is not queried.
PENDING_PROBE_REUSE = PROBE_PERIOD // 20
# The fraction of the soft limit that one round of queries may take. It takes at most half of the
# time that is left, so that queries end within the time limit.
QUERY_WAIT_FRACTION = 0.25
# The fraction of a cold server's budget that is given to external placers, which send unevenly and
# report late.
EXTERNAL_COLD_FRACTION = 0.5
# With up to this many cold servers whose admission is random, all combinations of admitted servers
# are enumerated; with more, this many random combinations are sampled.
MAX_ENUMERATED_SERVERS, SAMPLED_COMBINATIONS = 6, 2000
# The assumed number of groups; the estimate of a group's share starts from 1/EXPECTED_GROUPS.
EXPECTED_GROUPS = 40


class ServerRegistry:
    """The servers of discovery's list and those that operators have taken out of service.

    The two are independent of each other: a server is ready if the list says so and no operator has
    taken it out of service.
    """

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        # Incremented with each change of `ready`.
        self.version = 0
        # When operators took each server out of service, whether or not it is listed.
        self.out_of_service: dict[int, int] = {}
        # When operators restored servers that were not listed at that time.
        self._restored_at: dict[int, int] = {}

    def apply(
        self, now: int, scope: Scope, lines: Iterable[ListedServer]
    ) -> tuple[list[Server], list[Server]]:
        """Applies an update of the list.

        Returns (started, left): the new or restarted servers, and those now draining or gone.
        """
        started, left, listed_ids = [], [], set()
        for line in lines:
            listed_ids.add(line.server)
            server = self.servers.get(line.server)
            if server is None:
                if line.status is Status.GONE:
                    continue
                server = self.servers[line.server] = Server(line, now)
                server.started_at = max(server.started_at, self._restored_at.pop(line.server, 0))
                if line.status is Status.READY:
                    started.append(server)
                continue
            server.weight = line.weight
            if line.status is server.status and line.started_at <= server.started_at:
                continue
            if line.status is Status.READY and (
                line.started_at > server.started_at or server.status is not Status.READY
            ):
                server.started_at = max(server.started_at, line.started_at)
                server.listed_at = now
                server.reported_at, server.count, server.utilisation = 0, None, None
                started.append(server)
            elif line.status is not Status.READY and server.status is Status.READY:
                left.append(server)
            server.status = line.status
        if scope is not Scope.DELTA:
            for server in self.servers.values():
                if server.id not in listed_ids and server.status is not Status.GONE:
                    if server.status is Status.READY:
                        left.append(server)
                    server.status = Status.GONE
        if started or left:
            self._update_ready()
            for server in [
                s for s in self.servers.values() if s.status is Status.GONE and not s.connections
            ]:
                del self.servers[server.id]
        return started, left

    def _update_ready(self) -> None:
        self.version += 1
        for server in self.servers.values():
            server.ready = server.status is Status.READY and server.id not in self.out_of_service
        self.ready = [server for server in self.servers.values() if server.ready]

    def take_out_of_service(self, now: int, server_id: int) -> Server | None:
        """Keeps the server from being ready, whatever the list says; returns it if it was ready."""
        self.out_of_service.setdefault(server_id, now)
        left = [server for server in self.ready if server.id == server_id]
        self._update_ready()
        return left[0] if left else None

    def restore_to_service(self, now: int, server_id: int) -> Server | None:
        """Ends an operator's removal; returns the server if it is ready now.

        Earlier measurements and failures are discarded. The server counts as started now, unless
        the list has a start after its removal.
        """
        out_at, server = self.out_of_service.pop(server_id, None), self.servers.get(server_id)
        if out_at is None:
            return None
        if server is None:
            self._restored_at[server_id] = now
            return None
        if server.started_at <= out_at:
            server.started_at = now
        server.listed_at, server.reported_at, server.count, server.utilisation = now, 0, None, None
        server.failures = server.exclusion_level = server.excluded_until = server.unanswered = (
            server.trial_login
        ) = server.full_until = 0
        self._update_ready()
        return server if server.ready else None


class LoadReports:
    """Reported counts and utilisation, their age, and each server's capacity."""

    def __init__(self, registry: ServerRegistry) -> None:
        self._registry = registry
        self._capacity_by_kind: dict[int, Histogram] = {}
        # How many connections fill a server of mean capacity.
        self.mean_capacity = 1.0
        self.mean_utilisation = 0.0
        self._next_update_at = 0
        self._unreported_load = 0.0
        # The relative capacity of all servers that are not full.
        self._available_capacity = 1.0
        # Only a subset of the servers is probed.
        self.probes_subset = False
        # This balancer's placements, oldest first; kept with subset probing only.
        self._recent_placements: list[tuple[int, Server, int]] = []

    def configure(self, balancers: int, weight_varies: bool) -> None:
        self._balancers, self._weight_varies = balancers, weight_varies

    def record(self, now: int, server: Server, report: Report) -> None:
        """Applies a server's report; placements that it must include are no longer added to it."""
        server.count = report.count
        server.utilisation = report.busy if report.pressure is None else report.pressure
        server.reported_at = now
        horizon = now - REPORT_LAG
        for login in [login for login, (at, _, _) in server.unreported.items() if at <= horizon]:
            self.remove_placement(server, login)
        if server.count and server.utilisation and server.count >= 4 and server.utilisation > 0.04:
            capacity = server.count / server.utilisation
            server.capacity.add(capacity)
            self._capacity_by_kind.setdefault(server.kind, Histogram()).add(capacity)
        # At most ten updates a second, so that CPU use does not grow with the square of the fleet.
        if now >= self._next_update_at:
            self._next_update_at = now + (
                PROBE_PERIOD if self.probes_subset else PROBE_PERIOD // 10
            )
            self._update_aggregates(now)

    def _update_aggregates(self, now: int) -> None:
        """Recomputes each server's relative capacity and the means over the fleet."""
        ready = self._registry.ready
        capacities = [capacity for capacity in map(self.capacity_of, ready) if capacity is not None]
        self.mean_capacity = sum(capacities) / len(capacities) if capacities else 1.0
        weights = [server.weight for server in ready if server.weight > 0]
        mean_weight = sum(weights) / len(weights) if weights else 1.0
        load = total_capacity = available_capacity = 0.0
        for server in ready:
            capacity = self.capacity_of(server)
            if capacity is not None:
                server.relative_capacity = capacity / self.mean_capacity
            elif server.weight > 0 and not self._weight_varies:
                server.relative_capacity = server.weight / mean_weight
            if server.utilisation is not None and self.is_fresh(now, server):
                load += server.utilisation * server.relative_capacity
                total_capacity += server.relative_capacity
                available_capacity += (
                    server.relative_capacity if server.utilisation < FULL_UTILISATION else 0.0
                )
            elif self.probes_subset:
                available_capacity += server.relative_capacity
        self._available_capacity = max(available_capacity, 1.0)
        self.mean_utilisation = load / total_capacity if total_capacity else 0.0

    def capacity_of(self, server: Server) -> float | None:
        """How many connections fill the server, or one of its kind; None if that is unknown."""
        capacity = server.capacity.mean
        if capacity is None and server.kind in self._capacity_by_kind:
            capacity = self._capacity_by_kind[server.kind].mean
        return capacity

    def is_fresh(self, now: int, server: Server) -> bool:
        """Whether the last report is young enough for the draw.

        A server that was listed recently has the same time to send its first report.
        """
        return now - (server.reported_at or server.listed_at) <= (
            LOGIN_RATE_HALF_LIFE if self.probes_subset else MAX_REPORT_AGE
        )

    def is_recent(self, now: int, server: Server) -> bool:
        """Whether the last report is as recent as that of a server probed every period."""
        return server.reported_at > 0 and now - server.reported_at <= PROBE_PERIOD

    def expire_placements(self, now: int) -> None:
        """Removes placements that reports include by now.

        With subset probing, most servers send no report soon that would remove them.
        """
        while self._recent_placements and self._recent_placements[0][0] <= now - 2 * REPORT_LAG:
            _, server, login = self._recent_placements.pop(0)
            self.remove_placement(server, login)

    def add_placement(
        self, now: int, server: Server, login: int, load: float, unshared: float = 0.0
    ) -> None:
        """Adds a placement to what the server has reported.

        `unshared` is the part of the load that has no counterpart at the other balancers.
        """
        server.unreported[login] = (now, load, unshared)
        server.unreported_load, server.unshared_load = (
            server.unreported_load + load,
            server.unshared_load + unshared,
        )
        self._unreported_load += load - unshared
        if self.probes_subset:
            self._recent_placements.append((now, server, login))

    def remove_placement(self, server: Server, login: int) -> None:
        _, load, unshared = server.unreported.pop(login, (0, 0.0, 0.0))
        server.unreported_load -= load
        server.unshared_load -= unshared
        self._unreported_load -= load - unshared

    def projected_utilisation(self, server: Server) -> float | None:
        """The reported utilisation plus all placements since: own ones and assumed ones of others.

        Guards against a flood of returning clients after a drain or a reconnect, of which each
        balancer sees only a part.
        """
        if server.utilisation is None:
            return None
        # The mean capacity stands in for an unknown one, so that a flood is noticed then too.
        capacity = self.capacity_of(server) or self.mean_capacity
        if capacity <= 1.0:
            return server.utilisation
        # With many balancers, a single own login says nothing about the others; two at once
        # indicate a flood.
        flood = (
            max(0.0, self._unreported_load - 1.0) if self.probes_subset else self._unreported_load
        )
        even_share = flood * min(1.0, server.relative_capacity / self._available_capacity)
        in_step = min(self._balancers, MAX_BALANCERS_IN_STEP)
        # A queried report is no fresher than others. With many balancers, some have placed logins
        # by the same report; one login is assumed for each other balancer in step.
        by_same_report = in_step - 1 if self.probes_subset else 0
        # Unshared load counts once. Guards against refusals when another balancer restarts: each of
        # its clients comes to one balancer only, so no other balancer places the same load.
        by_in_step = in_step * server.unreported_load - (in_step - 1) * server.unshared_load
        return (
            server.utilisation
            + (by_same_report + by_in_step + (self._balancers - in_step) * even_share) / capacity
        )

    def normalised_count(self, server: Server, mean: float) -> float:
        """Connections of mean cost per unit of relative capacity.

        This is the count of the draw's 1/(count + 1) for unequal servers and logins. `mean` is used
        for servers that have reported neither utilisation nor a count.
        """
        if server.utilisation is not None:
            reported = server.utilisation * self.mean_capacity
        elif server.count is not None:
            reported = server.count / server.relative_capacity
        else:
            reported = max(
                mean, len(server.connections) * self._balancers / server.relative_capacity
            )
        return max(0.0, reported + server.unreported_load / server.relative_capacity)

    def mean_normalised_count(self, servers: list[Server]) -> float:
        counts = [
            self.normalised_count(server, 0.0) for server in servers if server.count is not None
        ]
        return sum(counts) / len(counts) if counts else 0.0


class FailureTracker:
    """Excludes servers from the draw after failures in a row.

    Answered probes or one trial login bring a server back.
    """

    def __init__(self, host: Host, rng: Random, load_reports: LoadReports) -> None:
        self._host, self._rng, self._load_reports = host, rng, load_reports

    def is_eligible(self, now: int, server: Server) -> bool:
        """Whether the server may take part in the draw.

        With subset probing, unanswered probes count only while a probe is pending and for
        MAX_REPORT_AGE after the last probe.
        """
        if server.unanswered >= UNANSWERED_TO_EVACUATE - 1 and (
            not self._load_reports.probes_subset
            or server.pending_probe_at
            or now - server.probed_at <= MAX_REPORT_AGE
        ):
            return False
        return server.failures < FAILURES_TO_EXCLUDE or (
            now >= server.excluded_until and not server.trial_login
        )

    def start_trial(self, server: Server, login: int) -> None:
        """Marks the login as the only one that an excluded server gets until its outcome."""
        if server.failures >= FAILURES_TO_EXCLUDE:
            server.trial_login = login

    def record_failure(self, now: int, server: Server, login: int, outcome: Outcome) -> None:
        if server.trial_login == login:
            server.trial_login = 0
        if outcome is Outcome.NOT_CONNECTED:
            server.unanswered += 1
        server.failures += 1
        if server.failures >= FAILURES_TO_EXCLUDE:
            server.exclusion_level = min(server.exclusion_level + 1, 3)
            server.excluded_until = now + int(
                PROBE_PERIOD * (1 << server.exclusion_level) * self._rng.uniform(0.75, 1.25)
            )
        if server.failures == FAILURES_TO_EXCLUDE:
            self._host.log(
                f"server {server.id} out of the draw: {server.failures} hand-offs failed in a row"
            )

    def record_success(self, server: Server, login: int) -> None:
        if server.failures >= FAILURES_TO_EXCLUDE:
            self._host.log(f"server {server.id} back in the draw: its trial login succeeded")
        if server.trial_login == login:
            server.trial_login = 0
        elif server.exclusion_level and server.failures == 0:
            server.exclusion_level -= 1
        server.failures = server.unanswered = 0


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


class WeightedDraw:
    """Selects the candidates for a login and draws one of them by weight.

    Each group has home servers, which its logins go to first. A group has only as many homes as its
    load needs, because each server that holds a group pays a fixed cost for it.
    """

    def __init__(
        self,
        rng: Random,
        registry: ServerRegistry,
        load_reports: LoadReports,
        health: FailureTracker,
        cold_budget: ColdBudget,
    ) -> None:
        self._rng, self._registry, self._load_reports, self._failures, self._cold_budget = (
            rng,
            registry,
            load_reports,
            health,
            cold_budget,
        )
        # This balancer's open connections and reservations, of each group and in total.
        self.group_load: dict[int, int] = {}
        self.total_load = 0
        # The server of each group's last new connection.
        self.last_homes: dict[int, int] = {}
        # The ready servers in each group's order, and the registry's version they were sorted for.
        # The key is (group, whether the servers of this balancer's zone come first).
        self._server_orders: dict[tuple[int, bool], list[Server]] = {}
        self._orders_version = 0
        # Until this time the fleet counts as full, and a login queries no servers beyond its homes.
        self._fleet_full_until = 0
        # Logins of each group and in total, halved from time to time.
        self._group_logins: dict[int, float] = {}
        self._group_logins_total = 0.0
        # The server and group of each connection that `reserve` counted.
        self._reservations: list[tuple[Server, int]] = []

    def configure(
        self,
        grouped: bool,
        zone: int,
        crossing_price: float,
        message_limit: int,
        reserves: list[float],
    ) -> None:
        """Applies settings; `reserves` is the utilisation withheld from each workload's logins."""
        self._reserves, self._grouped = reserves, grouped
        self._zone, self._crossing_price, self._message_limit = zone, crossing_price, message_limit

    def _prefers_own_zone(self, login: Login) -> bool:
        """Whether the login stays in this balancer's zone if possible.

        It does if crossings are expensive, the fleet has headroom to hold the login's group in a
        second zone, and the login does not come from a returning client: those may come as a flood.
        """
        return (
            self._crossing_price > EXPENSIVE_ZONE_CROSSING
            and not login.came_back
            and self._load_reports.mean_utilisation < HEADROOM_UTILISATION - GROUP_COST_MARGIN
        )

    def is_delayed(self, now: int, server: Server, factor: float) -> bool:
        """Whether messages at the server recently took over `factor` times the shortest limit."""
        return (
            now - server.message_delay_at < DELAY_VALIDITY
            and server.message_delay > factor * self._message_limit > 0
        )

    def has_headroom(self, now: int, server: Server) -> bool:
        if now < server.full_until or self.is_delayed(now, server, 0.5):
            return False
        utilisation = self._load_reports.projected_utilisation(server)
        return utilisation is None or utilisation < max(
            HEADROOM_UTILISATION, self._load_reports.mean_utilisation
        )

    def pick(self, now: int, state: LoginState, allowed: Callable[[Server], bool]) -> Server | None:
        """Draws the login's server; None if there is no candidate."""
        admitted = [
            s
            for s in self._registry.ready
            if allowed(s) and self._cold_budget.admits(now, s, state, self._rng)
        ]
        candidates, uniform = self._candidates(now, state, admitted)
        if not candidates:
            return None
        return self._rng.choice(candidates) if uniform else self._weighted_choice(candidates)

    def draw_probabilities(self, now: int, state: LoginState, span: int) -> dict[int, float]:
        """The probability that `pick` returns each server; draws nothing and changes no state.

        Empty if there is no candidate. With a span (ns), the probabilities by which external
        placers may place all logins of that span. Their sum is below 1 if the servers with headroom
        may not be sent all of these logins.
        """
        ready = self._registry.ready
        admission = {
            server: 1.0 if span else self._cold_budget.admission_probability(now, server, state)
            for server in ready
        }
        # The result is the average over the combinations of randomly admitted servers, each
        # weighted by its probability.
        uncertain = [s for s, probability in admission.items() if 0.0 < probability < 1.0]
        probabilities: dict[Server, float] = {}
        enumerated, rng = len(uncertain) <= MAX_ENUMERATED_SERVERS, Random(0)
        for combination in (
            product((True, False), repeat=len(uncertain))
            if enumerated
            else (
                [rng.random() < admission[s] for s in uncertain]
                for _ in range(SAMPLED_COMBINATIONS)
            )
        ):
            combination_probability = (
                prod(
                    admission[s] if admitted else 1.0 - admission[s]
                    for s, admitted in zip(uncertain, combination)
                )
                if enumerated
                else 1.0 / SAMPLED_COMBINATIONS
            )
            not_admitted = {s for s, admitted in zip(uncertain, combination) if not admitted}
            candidates, uniform = self._candidates(
                now, state, [s for s in ready if admission[s] and s not in not_admitted]
            )
            weights = [1.0] * len(candidates) if uniform else self._weights(candidates)
            total_weight = sum(weights)
            for server, weight in zip(candidates, weights):
                probabilities[server] = (
                    probabilities.get(server, 0.0) + combination_probability * weight / total_weight
                )
        if span:
            probabilities = self._capped(now, probabilities, span)
        return {server.id: probability for server, probability in probabilities.items()}

    def _capped(
        self, now: int, probabilities: dict[Server, float], span: int
    ) -> dict[Server, float]:
        """Limits each server to its `max_share`; the others share the rest in proportion."""
        capacity = sum(server.relative_capacity for server in probabilities)
        limits = {
            server: self._cold_budget.max_share(
                now, server, span, server.relative_capacity / capacity
            )
            for server in probabilities
        }
        if (
            all(self._cold_budget.is_cold(now, server) for server in probabilities)
            and not self._load_reports.mean_utilisation
        ):
            # The whole fleet has just started and has reported nothing: no server is a better
            # choice.
            return probabilities
        capped: dict[Server, float] = {}
        while True:
            uncapped = sum(p for server, p in probabilities.items() if server not in capped)
            scale = max(0.0, 1.0 - sum(capped.values())) / uncapped if uncapped else 0.0
            over_limit = [
                s for s, p in probabilities.items() if s not in capped and p * scale > limits[s]
            ]
            if not over_limit:
                return {
                    s: capped[s] if s in capped else p * scale for s, p in probabilities.items()
                }
            capped.update((server, limits[server]) for server in over_limit)

    def _candidates(
        self, now: int, state: LoginState, admitted: list[Server]
    ) -> tuple[list[Server], bool]:
        """Returns the servers that take part in the draw, and whether the draw is uniform.

        Servers already tried for this login, and excluded ones, take part only if there are no
        others. The draw is uniform if none of the servers has a fresh count.
        """
        if not admitted:
            return [], False
        tried = [attempt.server for attempt in state.attempts]
        untried = [s for s in admitted if s.id not in tried] or admitted
        eligible = [s for s in untried if self._failures.is_eligible(now, s)] or untried
        fresh = [s for s in eligible if self._load_reports.is_fresh(now, s)]
        if not any(server.count is not None for server in fresh):
            # No server has a fresh count, and dropping all of them would leave nobody to draw.
            return eligible, True
        fresh = [s for s in fresh if self._accepts(now, s, state)]
        if not fresh:
            return [], False
        with_headroom = [s for s in fresh if self.has_headroom(now, s)]
        in_zone = (
            [s for s in with_headroom if s.zone == self._zone]
            if self._prefers_own_zone(state.login)
            else []
        )
        if in_zone and self._grouped and state.login.group:
            in_zone = self._servers_for_group(state.login.group, in_zone, [])
        if in_zone:
            return in_zone, False
        if self._grouped and state.login.group:
            return self._servers_for_group(state.login.group, with_headroom, fresh), False
        return with_headroom or fresh, False

    def _accepts(self, now: int, server: Server, state: LoginState) -> bool:
        """Whether the server is not full for this login.

        Guards against a lasting overload: a login added to a full server degrades all connections
        of that server.
        """
        return (
            now >= server.full_until
            and not self.is_delayed(now, server, 1.0)
            and (self._load_reports.projected_utilisation(server) or 0.0)
            < FULL_UTILISATION - self._reserves[state.login.workload]
        )

    def _ordered_candidates(
        self, now: int, state: LoginState, allowed: Callable[[Server], bool], max_count: int
    ) -> list[Server]:
        """With subset probing: the first servers for the login, in its group's order.

        The order depends on ids only, so hundreds of balancers gather a group on the same servers
        without exchanging messages, although each holds few of its connections. If logins prefer
        this balancer's zone, its servers come first. A login without a group has a random order of
        its own. Servers already tried or excluded are returned only if there are no others.
        """
        if self._orders_version != self._registry.version:
            self._orders_version = self._registry.version
            self._server_orders.clear()
        group = state.login.group if self._grouped else 0
        own_zone_first = self._prefers_own_zone(state.login)
        order = self._server_orders.get((group, own_zone_first)) if group else state.server_order
        if not order:
            order = (
                sorted(self._registry.ready, key=lambda s: _rank(group, s))
                if group
                else self._rng.sample(self._registry.ready, len(self._registry.ready))
            )
            if own_zone_first:
                order.sort(key=lambda s: s.zone != self._zone)
            if group:
                self._server_orders[group, own_zone_first] = order
            state.server_order = order
        tried = [attempt.server for attempt in state.attempts]
        candidates: list[Server] = []
        fallback: list[Server] = []
        # Stops at the first `max_count`, so that the CPU use of a login does not grow with the
        # fleet.
        for server in order:
            if (
                server.ready
                and now >= server.full_until
                and allowed(server)
                and (not server.message_delay or not self.is_delayed(now, server, 0.5))
                and (
                    not server.started_at or self._cold_budget.admits(now, server, state, self._rng)
                )
            ):
                has_failed = server.failures or server.unanswered
                if server.id in tried or (
                    has_failed and not self._failures.is_eligible(now, server)
                ):
                    fallback.append(server)
                    continue
                candidates.append(server)
                if len(candidates) >= max_count:
                    break
        return candidates or fallback

    def record_group_login(self, group: int) -> None:
        """Counts a login for the estimate of its group's share; old logins decay."""
        self._group_logins[group] = self._group_logins.get(group, 0.0) + 1.0
        self._group_logins_total += 1.0
        if self._group_logins_total > 10 * EXPECTED_GROUPS:
            self._group_logins = {
                other: logins / 2 for other, logins in self._group_logins.items() if logins > 0.5
            }
            self._group_logins_total = sum(self._group_logins.values())

    def _estimated_home_count(self, group: int) -> int:
        """How many servers the group's load fills, estimated from this balancer's logins.

        One of hundreds of balancers sees few logins, so the observed share is smoothed towards that
        of one of EXPECTED_GROUPS equal groups.
        """
        share = (self._group_logins.get(group, 0.0) + 1.0) / (
            self._group_logins_total + EXPECTED_GROUPS
        )
        used_fraction = min(
            1.0, max(0.5, self._load_reports.mean_utilisation / HEADROOM_UTILISATION)
        )
        return 1 + int(share * used_fraction * GROUP_CAPACITY_FACTOR * len(self._registry.ready))

    def query_or_pick(
        self, now: int, state: LoginState, allowed: Callable[[Server], bool]
    ) -> tuple[list[Server], Server | None]:
        """With subset probing: returns the servers to query before this hand-off, or the one drawn.

        ([], None) means that no server can take the login. A group's login goes to one of its homes
        with headroom, else to one of its homes that is not full, else to the next server of the
        group's order that also has room for the group's own cost. Guards against groups that spread
        until every server pays the cost of every group.
        """
        self._load_reports.expire_placements(now)
        group = state.login.group if self._grouped else 0
        home_count = self._estimated_home_count(group) if group else FIRST_QUERY_SIZE
        max_round = 1 if now < self._fleet_full_until else LAST_QUERY_ROUND
        while True:
            # Round 0 queries a few of the homes, round 1 all of them, later rounds further servers.
            further = FIRST_QUERY_SIZE << state.query_round if state.query_round > 1 else 0
            if further or not state.candidates:
                state.candidates = self._ordered_candidates(
                    now, state, allowed, home_count + further
                )
            # A server may have begun to drain since the candidates were chosen.
            candidates = [s for s in state.candidates if s.ready]
            homes = candidates[:home_count]
            state.home_sample = state.home_sample or self._rng.sample(
                homes, min(len(homes), FIRST_QUERY_SIZE)
            )
            considered = candidates if state.query_round else state.home_sample
            to_query = [
                s
                for s in considered
                if not self._load_reports.is_recent(now, s)
                and (not s.pending_probe_at or now - s.pending_probe_at < PENDING_PROBE_REUSE)
            ]
            if to_query and state.queried_rounds < state.query_round + 1:
                state.queried_rounds = state.query_round + 1
                return to_query, None
            accepting = [
                s
                for s in considered
                if self._load_reports.is_recent(now, s)
                and self._accepts(now, s, state)
                and s in candidates
            ]
            accepting_homes = [s for s in accepting if s in homes]
            with_headroom = [s for s in accepting_homes if self.has_headroom(now, s)]
            if with_headroom or (accepting_homes and state.query_round):
                return [], self._weighted_choice(
                    [s for s in with_headroom if group in s.groups]
                    or with_headroom
                    or accepting_homes
                )
            for server in accepting if state.query_round else []:
                if (
                    not group
                    or (self._load_reports.projected_utilisation(server) or 0.0)
                    < HEADROOM_UTILISATION - GROUP_COST_MARGIN
                ):
                    return [], server
            if state.query_round >= max_round:
                if candidates and not any(self._load_reports.is_recent(now, s) for s in considered):
                    # No server has answered: a uniform draw.
                    return [], self._rng.choice(candidates)
                # Guards against probes and CPU spent on each login of a flood while the fleet is
                # full.
                self._fleet_full_until = (
                    now + PROBE_PERIOD
                    if state.query_round == LAST_QUERY_ROUND
                    else self._fleet_full_until
                )
                return [], None
            state.query_round += 1

    def _weighted_choice(self, servers: list[Server]) -> Server:
        return (
            servers[0]
            if len(servers) == 1
            else self._rng.choices(servers, self._weights(servers))[0]
        )

    def _weights(self, servers: list[Server]) -> list[float]:
        """1/(count + 1) for each server, with counts normalised by capacity."""
        some_unreported = any(s.count is None and s.utilisation is None for s in servers)
        mean = (
            self._load_reports.mean_normalised_count(self._registry.ready)
            if some_unreported
            else 0.0
        )
        return [
            s.relative_capacity / (self._load_reports.normalised_count(s, mean) + 1.0)
            for s in servers
        ]

    def _servers_for_group(
        self, group: int, with_headroom: list[Server], fresh: list[Server]
    ) -> list[Server]:
        """The servers for a group's login: its homes with headroom, if there are any.

        Otherwise as much capacity again of other servers with headroom, those that hold most of the
        group first and then in the group's order, which is the same at every balancer. Otherwise
        homes that are not full. A server that does not hold the group yet needs room for the
        group's own cost too. Guards against groups that spread over a full fleet until every server
        pays the cost of every group.
        """
        homes = self._home_servers(group)
        selected = [s for s in with_headroom if s in homes]
        if not selected:
            others = self._with_room_for_group(
                group, [s for s in with_headroom if s not in homes], HEADROOM_UTILISATION
            )
            others.sort(key=lambda s: (-s.groups.get(group, 0), _rank(group, s)))
            selected = _first_with_capacity(others, sum(s.relative_capacity for s in homes))
        return (
            selected
            or [s for s in fresh if s in homes]
            or self._with_room_for_group(group, fresh, FULL_UTILISATION)
        )

    def _home_servers(self, group: int) -> list[Server]:
        """As many servers as the group's load needs, with or without headroom.

        Those that hold most of the group come first, then the server of its last new connection.
        """
        share = self.group_load.get(group, 0) / self.total_load if self.total_load else 0.0
        required = (
            share
            * GROUP_CAPACITY_FACTOR
            * sum(server.relative_capacity for server in self._registry.ready)
        )
        last_home = self.last_homes.get(group)
        return _first_with_capacity(
            sorted(
                self._registry.ready,
                key=lambda s: (-s.groups.get(group, 0), s.id != last_home, _rank(group, s)),
            ),
            required,
        )

    def _with_room_for_group(self, group: int, servers: list[Server], limit: float) -> list[Server]:
        """Servers below the limit, with a margin for the group's cost if they do not hold it."""
        return [
            s
            for s in servers
            if (self._load_reports.projected_utilisation(s) or 0.0)
            < limit - (0.0 if group in s.groups else GROUP_COST_MARGIN)
        ]

    def count_connection(self, state: LoginState, server: Server | None, sign: int) -> None:
        """Counts an opened (+1) or ended (-1) connection in its group."""
        if sign > 0 and server is not None and state.login.group:
            self.last_homes[state.login.group] = server.id
        self._add_group_load(state.login.group, server, sign)

    def _add_group_load(self, group: int, server: Server | None, change: int) -> None:
        self.total_load += change
        for counts in (
            (self.group_load, server.groups if server is not None else {}) if group else ()
        ):
            load = counts.get(group, 0) + change
            if load > 0:
                counts[group] = load
            else:
                counts.pop(group, None)

    def reserve(self, server: Server, group: int) -> None:
        """Counts a connection that another process of this balancer still holds.

        Its client is expected to return to this process. Guards against groups that spread to more
        servers in the meantime.
        """
        self._add_group_load(group, server, 1)
        self._reservations.append((server, group))

    def release_reservations(self) -> None:
        while self._reservations:
            server, group = self._reservations.pop()
            self._add_group_load(group, server, -1)


def _first_with_capacity(servers: list[Server], required: float) -> list[Server]:
    """The first servers that together have the required relative capacity; at least one."""
    for count, server in enumerate(servers, 1):
        required -= server.relative_capacity
        if required <= 0:
            return servers[:count]
    return servers


def _rank(group: int, server: Server) -> int:
    """The sort key of the group's server order, the same at every balancer.

    The high bits depend on all bits of both ids.
    """
    return (group ^ server.id_hash) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF


class RetryPolicy:
    """Whether and where a login may be sent again, and for how long a hand-off may take."""

    def __init__(self, registry: ServerRegistry) -> None:
        self._registry, self._resend_tokens = registry, MAX_SAVED_RESENDS

    def configure(self, max_hand_offs: int) -> None:
        self._max_hand_offs = max_hand_offs

    def _may_have_run(self, state: LoginState) -> list[Attempt]:
        return [a for a in state.attempts if a.outcome is None or not a.outcome.proves_not_run]

    def may_send(self, now: int, state: LoginState) -> bool:
        """Whether the login may be handed off now.

        A resend takes a token, unless the last server was full or could not be reached.
        """
        if len(state.attempts) >= self._max_hand_offs or now >= state.login.time_limit_at:
            return False
        if not state.attempts:
            self._resend_tokens = min(MAX_SAVED_RESENDS, self._resend_tokens + RESENDS_PER_LOGIN)
        elif state.attempts[-1].outcome not in (Outcome.FULL, Outcome.NOT_CONNECTED):
            # Guards against resends that keep a store shared by all connection set-ups overloaded.
            if self._resend_tokens < 1.0:
                return False
            self._resend_tokens -= 1.0
        if state.workload.effect is Effect.REPEATABLE:
            return True
        may_have_run, dedup_window = self._may_have_run(state), state.workload.dedup_window
        # A once-only login that may have run is never sent again, a tagged one only while servers
        # still recognise the repeat.
        return (
            not may_have_run
            or state.workload.effect is Effect.TAGGED
            and now < may_have_run[0].sent_at + dedup_window
        )

    def server_filter(self, state: LoginState) -> Callable[[Server], bool]:
        """Returns a predicate for the servers that the login may be sent to.

        A tagged login that may have run goes only where its repeat is recognised.
        """
        may_have_run = self._may_have_run(state) if state.workload.effect is Effect.TAGGED else []
        if not may_have_run or state.workload.reach is Reach.ALL:
            return lambda server: True
        first = self._registry.servers.get(may_have_run[0].server)
        if first is None:
            return lambda server: False
        if state.workload.reach is Reach.ZONE:
            return lambda server: server.zone == first.zone
        return lambda server: server.cell == first.cell

    def may_bounce(self, state: LoginState) -> bool:
        """Whether the client may safely try again, so that a bounce is a correct final answer."""
        if state.workload.effect is Effect.REPEATABLE or not self._may_have_run(state):
            return True
        return state.workload.effect is Effect.TAGGED and state.workload.reach is Reach.ALL

    def cut_at(self, now: int, state: LoginState) -> int:
        """When to give up the next hand-off.

        Early enough to try another server within the soft limit; the last hand-off has all the
        remaining time.
        """
        limit = state.login.time_limit_at
        remaining_hand_offs = self._max_hand_offs - len(state.attempts)
        if remaining_hand_offs <= 1 or self._resend_tokens < MAX_SAVED_RESENDS / 2:
            return limit
        return min(
            limit, now + max(state.workload.soft_limit // 2, (limit - now) // remaining_hand_offs)
        )


class ConnectionMoves:
    """Moves open connections away from lost, draining and overloaded servers.

    All other connections stay where they are.
    """

    def __init__(
        self,
        host: Host,
        rng: Random,
        load_reports: LoadReports,
        group_load: dict[int, int],
        after: Callable[[int, Callable[[int], None]], None],
    ) -> None:
        self._host, self._rng, self._load_reports = host, rng, load_reports
        self._group_load, self._after = group_load, after

    def evacuate(self, server: Server, reason: str, duration: int = 0) -> None:
        """Moves all connections away, at once or spread evenly over a duration.

        Spreading guards against a flood of returning clients where nothing requires speed.
        """
        if server.connections:
            self._host.log(
                f"server {server.id} {reason}: moving {len(server.connections)} connections"
            )
        for index, login in enumerate(list(server.connections)):
            if duration and index:
                self._after(
                    duration * index // len(server.connections),
                    lambda _, login=login: self._host.move(login),
                )
            else:
                self._host.move(login)

    def shed_load(self, now: int, server: Server) -> None:
        """Moves this balancer's part of an overloaded server's excess load.

        The next move waits until reports show this one.
        """
        utilisation, mean = server.utilisation, self._load_reports.mean_utilisation
        if utilisation is None or now < server.next_move_at or not server.connections:
            return
        # A server at its limit serves none of its connections well, so it sheds load even in a full
        # fleet.
        if utilisation <= max(
            OVERLOAD_UTILISATION, min(OVERLOAD_OVER_MEAN * mean, FULL_UTILISATION + 0.1)
        ):
            return
        target = max(HEADROOM_UTILISATION, min(mean, OVERLOAD_UTILISATION))
        fraction = (
            (1.0 if utilisation > 1.0 else MOVE_FRACTION) * (utilisation - target) / utilisation
        )
        # Connections of groups that are mostly elsewhere go first: the last one also frees the
        # group's fixed cost.
        connections = sorted(
            server.connections.values(),
            key=lambda state: (self._remnant_size(server, state), -state.load),
        )
        excess = fraction * sum(state.load for state in connections)
        if self._rng.random() * connections[-1].load > excess:
            return
        moved = 0
        for state in connections:
            if excess <= 0:
                break
            if state.load <= 2 * excess or state is connections[-1]:
                excess -= state.load
                self._host.move(state.login.login)
                moved += 1
        server.next_move_at = now + MOVE_PAUSE
        self._host.log(
            f"server {server.id} hot at {utilisation:.2f}: moved {moved} of {len(connections)}"
        )

    def _remnant_size(self, server: Server, state: LoginState) -> int:
        """The group's connections on this server if most are elsewhere; else a large number."""
        group = state.login.group
        on_server, total = server.groups.get(group, 0), self._group_load.get(group, 0)
        return on_server if group and 2 * on_server < total else 1_000_000


class ListWatch:
    """The delay before a failed list watch is started again: exponential, with jitter."""

    def __init__(self, rng: Random, ask_within: int) -> None:
        self._rng = rng
        self._max_delay = ask_within // 4
        # Failures in a row.
        self.failures = 0

    def record_failure(self) -> int:
        """Counts a failure; returns the delay before the next attempt."""
        self.failures += 1
        return int(
            min(self._max_delay, PROBE_PERIOD << min(self.failures - 1, 4))
            * self._rng.uniform(0.3, 1.0)
        )


class ProbeScheduler:
    """Decides which servers are probed and when, and which logins wait for an answer."""

    def __init__(
        self,
        host: Host,
        rng: Random,
        registry: ServerRegistry,
        load_reports: LoadReports,
        probe_budget: ProbeBudget,
        cold_budget: ColdBudget,
        after: Callable[[int, Callable[[int], None]], None],
    ) -> None:
        self._host, self._rng, self._after, self._allowed = host, rng, after, False
        self._registry, self._load_reports, self._probe_budget, self._cold_budget = (
            registry,
            load_reports,
            probe_budget,
            cold_budget,
        )
        # Whether only a subset is probed (None: not decided yet), and that subset.
        self._subset_decision: bool | None = None
        self._subset: list[Server] = []

    def configure(self, allowed: bool) -> None:
        """Allows or stops probes.

        When they are allowed again, the choice between all servers and a subset is made anew.
        """
        if allowed and not self._allowed and self._registry.ready:
            self._after(0, self._review)
        self._allowed, self._subset_decision = allowed, self._subset_decision if allowed else None

    def servers_started(self, first_list: bool, servers: list[Server]) -> None:
        """Starts probing new or restarted servers."""
        if not self._allowed:
            return
        if first_list:
            # Deferred, because connections that were open at the start are reported right after the
            # first list and show the rate of logins.
            self._after(0, self._review)
        elif not self._load_reports.probes_subset:
            self._start_probing(servers)

    def _review(self, now: int) -> None:
        """Decides whether to probe all servers or a subset, and renews the subset.

        Repeated about every MAX_REPORT_AGE. While all servers are probed and the rate of logins is
        unknown, repeated about ten times per PROBE_PERIOD.
        """
        if not self._allowed:
            return
        ready = self._registry.ready
        use_subset = self._probe_budget.requires_subset(now, len(ready))
        if use_subset != self._subset_decision:
            if self._subset_decision is not None:
                self._host.log(f"probing {'some' if use_subset else 'all'} of {len(ready)} servers")
            self._subset_decision = self._load_reports.probes_subset = use_subset
            if not use_subset:
                self._start_probing(ready)
        if use_subset:
            self._rotate_subset(now)
        wait = (
            MAX_REPORT_AGE
            if self._probe_budget.is_rate_known(now) or use_subset
            else PROBE_PERIOD // 10
        )
        self._after(int(wait * self._rng.uniform(0.9, 1.1)), self._review)

    def _start_probing(self, servers: list[Server]) -> None:
        """Starts periodic probes at random phases; replaces those already running."""
        for server in servers:
            server.probe_generation += 1
            self._schedule_probe(
                server, server.probe_generation, int(self._rng.random() * PROBE_PERIOD)
            )

    def _schedule_probe(self, server: Server, generation: int, wait: int) -> None:
        """Probes the server after `wait`, then periodically.

        Ends when the server is not ready, a newer generation has started, or a subset is probed.
        """

        def due(now: int) -> None:
            if (
                server.ready
                and server.probe_generation == generation
                and not self._load_reports.probes_subset
            ):
                self.probe(now, server)
                low_utilisation = (
                    server.utilisation is not None
                    and server.utilisation < LOW_UTILISATION
                    and not server.unanswered
                    and not self._cold_budget.is_cold(now, server)
                )
                self._schedule_probe(
                    server, generation, RELAXED_PROBE_PERIOD if low_utilisation else PROBE_PERIOD
                )

        self._after(wait, due)

    def _rotate_subset(self, now: int) -> None:
        """Replaces one random server of the subset; probes the subset within MAX_REPORT_AGE.

        With probability 1/2, a new server is drawn among those with connections of this balancer,
        otherwise among all.
        """
        size = self._probe_budget.subset_size(now, len(self._registry.ready))
        remaining = [server for server in self._subset if server.ready]
        self._rng.shuffle(remaining)
        self._subset = remaining[: size - 1]
        others = [server for server in self._registry.ready if server not in self._subset]
        while others and len(self._subset) < size:
            holders = [server for server in others if server.connections]
            added = self._rng.choice(holders if holders and self._rng.random() < 0.5 else others)
            self._subset.append(added)
            others.remove(added)
        for server in self._subset:
            self._after(
                int(self._rng.random() * MAX_REPORT_AGE),
                lambda at, server=server: self.probe(at, server),
            )

    def probe(self, now: int, server: Server) -> None:
        if server.ready and self._allowed:
            server.pending_probe_at = server.probed_at = now
            self._host.probe(server.id)

    def query_for(
        self,
        now: int,
        state: LoginState,
        servers: list[Server],
        wait: int,
        place: Callable[[int, LoginState], None],
    ) -> None:
        """Queries servers before a hand-off; calls `place` after `wait` if answers are missing.

        A server whose probe is still pending is not probed again; that probe's answer counts.
        """
        query_id = state.query_id = state.query_id + 1
        state.pending_answers = len(servers)
        for server in servers:
            server.waiting_logins.append((state, query_id))
            if not server.pending_probe_at:
                self.probe(now, server)

        def timed_out(at: int) -> None:
            if state.pending_answers and state.query_id == query_id:
                state.pending_answers = 0
                place(at, state)

        self._after(wait, timed_out)

    def completed_queries(self, server: Server) -> list[LoginState]:
        """Counts a server's answer; returns the logins that have no further answers outstanding."""
        waiting, server.waiting_logins = server.waiting_logins, []
        completed = []
        for state, query_id in waiting:
            if state.pending_answers and state.query_id == query_id:
                state.pending_answers -= 1
                if not state.pending_answers:
                    completed.append(state)
        return completed


class Balancer:
    """The decisions of one balancer: one method for each event."""

    def __init__(self, host: Host, rng: Random, *, now: int, **settings: Any) -> None:
        self._host, self._rng = host, rng
        self._list_received = False
        # The server of each subject's connection; used where the balancer forwards packets.
        self._server_by_subject: dict[int, int] = {}
        self._active_logins: dict[int, LoginState] = {}
        # By server, the load of own connections that ended during standby.
        self._ended_load: dict[int, float] = {}
        # Whether clients of another process of this balancer are expected to return to this one.
        self._has_predecessor = False
        # When connections broke or were moved, one entry for each client expected to return.
        self._cut_times: list[int] = []
        self._cost_sum, self._cost_count = 0.0, 0
        self._timers: dict[int, Callable[[int], None]] = {}
        self._next_mark = 1
        # Ids of external placements; negative, so that they differ from all logins.
        self._next_external_id = 0
        self._registry = ServerRegistry()
        self._load_reports = LoadReports(self._registry)
        self._failures = FailureTracker(host, rng, self._load_reports)
        self._probe_budget = ProbeBudget(now)
        self._cold_budget = ColdBudget(self._load_reports, self._probe_budget)
        self._draw = WeightedDraw(
            rng, self._registry, self._load_reports, self._failures, self._cold_budget
        )
        self._retry_policy = RetryPolicy(self._registry)
        self._moves = ConnectionMoves(
            host, rng, self._load_reports, self._draw.group_load, self._after
        )
        self._probe_scheduler = ProbeScheduler(
            host,
            rng,
            self._registry,
            self._load_reports,
            self._probe_budget,
            self._cold_budget,
            self._after,
        )
        self._list_watch: ListWatch | None = None
        self.settings_changed(now, **settings)

    def settings_changed(
        self,
        now: int,
        *,
        zone: int,
        balancers: int,
        workloads: list[Workload],
        per_work: bool,
        cold: ColdRule,
        max_hand_offs: int,
        cancel_allowed: bool,
        max_retry_after: int,
        probes_allowed: bool,
        probe_price: float,
        ask_for_list: bool,
        ask_within: int,
        grouped: bool,
        weight_varies: bool,
        memory: int,
        crossing_price: float,
    ) -> None:
        """Applies settings, at the start or after a reload.

        Servers, measurements, logins, connections and timers stay as they are. A workload keeps its
        index in `workloads`.
        """
        self._workloads, self._cancel_allowed, self._remembers_subjects = (
            workloads,
            cancel_allowed,
            memory > 0,
        )
        self._max_retry_after = max_retry_after
        self._load_reports.configure(balancers, weight_varies)
        self._probe_budget.configure(probe_price if probes_allowed else 0.0, balancers)
        self._cold_budget.configure(cold, balancers)
        max_importance = max(workload.importance for workload in workloads)
        reserves = [
            IMPORTANCE_RESERVE * (1 - w.importance / max_importance)
            if per_work and max_importance
            else 0.0
            for w in workloads
        ]
        message_limit = min((w.message_limit for w in workloads if w.message_limit), default=0)
        self._draw.configure(grouped, zone, crossing_price, message_limit, reserves)
        self._retry_policy.configure(max_hand_offs)
        self._probes_allowed = probes_allowed
        self._probe_scheduler.configure(probes_allowed and not self._cold_budget.standby)
        if ask_for_list and self._list_watch is None:
            self._after(
                int(self._rng.random() * PROBE_PERIOD), lambda _: self._host.watch_list(True)
            )
        self._list_watch = (
            (self._list_watch or ListWatch(self._rng, ask_within)) if ask_for_list else None
        )

    def login_arrived(self, now: int, login: Login) -> None:
        """A client's login has come; it is handed off, waits for queries, or is rejected."""
        state = LoginState(login, self._relative_load(login.cost), self._workloads[login.workload])
        self._active_logins[login.login] = state
        self._probe_budget.record_login(now, login.came_back)
        self._draw.record_group_login(login.group)
        # Each recently broken or moved connection accounts for one returning client. A further one
        # comes from another balancer. Its load then counts once, as no other balancer places it; in
        # a full fleet all load is counted as usual.
        recent_cuts = [at for at in self._cut_times if now - at < MAX_REPORT_AGE]
        may_count_once = (
            self._has_predecessor or self._load_reports.mean_utilisation < HEADROOM_UTILISATION
        )
        state.from_other_balancer = login.came_back and not recent_cuts and may_count_once
        self._cut_times = recent_cuts[login.came_back :]
        self._place(now, state)

    def connection_resumed(self, now: int, login: Login, server_id: int) -> None:
        """A connection that was open before this process started is open here now."""
        state = LoginState(login, self._relative_load(login.cost), self._workloads[login.workload])
        self._probe_budget.record_existing_connection(now)
        self._draw.record_group_login(login.group)
        attempt = Attempt(server_id, now)
        state.attempts.append(attempt)
        self._active_logins[login.login] = state
        self._connection_opened(state, server_id)

    def hand_off_started(
        self, now: int, login: int, attempt: int, server_id: int, delay: int
    ) -> None:
        """A hand-off has become an open connection."""
        server = self._registry.servers.get(server_id)
        if server is not None:
            self._failures.record_success(server, login)
        state = self._active_logins.get(login)
        if state is not None and not state.is_open:
            self._connection_opened(state, server_id)

    def measurement_received(
        self,
        now: int,
        login: int,
        attempt: int,
        server_id: int,
        kind: MeasurementKind,
        value: float,
    ) -> None:
        """A measurement has come on an open connection."""
        state = self._active_logins.get(login)
        if kind is MeasurementKind.DELAY and server_id in self._registry.servers:
            server = self._registry.servers[server_id]
            if not self._draw.is_delayed(now, server, EVACUATION_DELAY_FACTOR):
                server.delayed_since = now
            server.message_delay, server.message_delay_at = value, now
            holders = [s for s in self._registry.ready if s.connections]
            delayed = [s for s in holders if self._draw.is_delayed(now, s, EVACUATION_DELAY_FACTOR)]
            # Guards against a network path that is slow for this balancer only: the server reports
            # headroom, yet its messages stay delayed. If nearly all servers are delayed, or the
            # fleet is full, no other server is better.
            if (
                server in delayed
                and len(delayed) <= MAX_DELAYED_FRACTION * len(holders)
                and self._load_reports.mean_utilisation < HEADROOM_UTILISATION
                and server.reported_at - server.delayed_since >= REPORT_LAG
                and (server.utilisation or 0.0) < HEADROOM_UTILISATION
            ):
                self._moves.evacuate(server, "delays messages of this balancer only")
            if self._load_reports.probes_subset and not self._load_reports.is_recent(now, server):
                self._probe_scheduler.probe(now, server)
        elif state is not None and kind is MeasurementKind.LOAD:
            state.load = self._relative_load(value)

    def message_unanswered(self, now: int, server_id: int) -> None:
        """A message on an open connection has had no reply; the server is probed at once."""
        if (server := self._registry.servers.get(server_id)) is not None:
            # This concerns one connection only. Resetting the start of the delay keeps the server's
            # other connections from being moved because of it.
            server.delayed_since = now
            if not server.pending_probe_at and not self._load_reports.is_recent(now, server):
                self._probe_scheduler.probe(now, server)

    def hand_off_ended(
        self,
        now: int,
        login: int,
        closed: bool,
        server_id: int,
        outcome: Outcome,
        attempt: int,
        delay: int,
        report: Report | None,
    ) -> None:
        """A hand-off has ended without a connection, or, with `closed`, the whole login has ended.

        A login that has become a connection ends with it.
        """
        server = self._registry.servers.get(server_id)
        state = self._active_logins.get(login)
        if server is not None:
            if report is not None:
                self._load_reports.record(now, server, report)
            if state is not None and not state.is_open:
                self._record_outcome(now, server, login, outcome)
        if state is None:
            return
        if attempt < len(state.attempts):
            state.attempts[attempt].outcome = outcome
        if closed:
            if outcome is not Outcome.FULFILLED:
                self._cut_times.append(now)
            self._forget(state)
            return
        if server is not None:
            self._load_reports.remove_placement(server, login)
        if state.attempts[-1].outcome is not None:
            self._place(now, state)

    def login_dropped(self, now: int, login: int) -> None:
        """The client has gone before its login was answered."""
        if (state := self._active_logins.get(login)) is not None:
            if (
                self._cancel_allowed
                and not state.is_open
                and state.attempts
                and not state.attempts[-1].outcome
            ):
                self._host.cancel(login, len(state.attempts) - 1)
            self._forget(state)

    def probe_answered(
        self, now: int, server_id: int, delay: int, outcome: Outcome, report: Report | None
    ) -> None:
        """A probe has ended, with or without an answer."""
        if (server := self._registry.servers.get(server_id)) is None:
            return
        server.pending_probe_at = 0
        if outcome is Outcome.FULFILLED:
            unreported_for = now - max(server.reported_at, server.listed_at)
            if (
                server.unanswered > int(self._load_reports.probes_subset)
                and unreported_for > MAX_REPORT_AGE
            ):
                # Guards against overloading a server that has restarted before the list says so.
                server.started_at = max(server.started_at, now)
                self._host.log(f"server {server_id} answers again: taken as just started")
            server.unanswered, server.reported_at = 0, now
            if report is not None:
                self._load_reports.record(now, server, report)
                self._moves.shed_load(now, server)
        elif outcome in (Outcome.TIMED_OUT, Outcome.NOT_CONNECTED, Outcome.BROKEN):
            server.unanswered += 1
            if server.unanswered < UNANSWERED_TO_EVACUATE and server.ready:
                self._probe_scheduler.probe(now, server)
            # A server that may only be too busy to answer gets twice as many probes before its
            # connections are moved.
            elif server.unanswered == (
                UNANSWERED_TO_EVACUATE
                if (server.utilisation or 0.0) < OVERLOAD_UTILISATION
                else 2 * UNANSWERED_TO_EVACUATE
            ):
                self._moves.evacuate(server, "silent")
        for state in self._probe_scheduler.completed_queries(server):
            self._place(now, state)

    def servers_listed(
        self, now: int, scope: Scope, revision: int, lines: Iterable[ListedServer]
    ) -> None:
        """An update of the server list has come, or the list watch has failed."""
        if scope is Scope.FAILED:
            if self._list_watch is not None:
                self._after(
                    self._list_watch.record_failure(), lambda _: self._host.watch_list(True)
                )
                self._host.log(f"list watch failed {self._list_watch.failures} times in a row")
            return
        if scope is not Scope.CACHED and self._list_watch is not None:
            self._list_watch.failures = 0
        started, left = self._registry.apply(now, scope, lines)
        for server in left:
            self._server_leaves(
                now, server, "drains" if server.status is Status.DRAINING else "is gone"
            )
        self._probe_scheduler.servers_started(not self._list_received, started)
        self._list_received = True

    def take_out_of_service(self, now: int, server_id: int) -> None:
        """An operator removes the server, listed or not.

        It drains until `restore_to_service`, whatever the list says.
        """
        if (left := self._registry.take_out_of_service(now, server_id)) is not None:
            self._server_leaves(now, left, "taken out of service by an operator", PROBE_PERIOD)
        # The server is to become idle: probes end, and connections without a client are closed.
        self._host.close_idle(server_id)

    def restore_to_service(self, now: int, server_id: int) -> None:
        """An operator ends the removal of the server."""
        if (server := self._registry.restore_to_service(now, server_id)) is not None:
            self._host.log(
                f"server {server_id} restored to service by an operator: taken as just started"
            )
            self._probe_scheduler.servers_started(False, [server])

    def known_and_excluded_servers(self, now: int) -> tuple[int, int]:
        """Returns how many servers are listed, and how many of them get no logins.

        The latter are out of service by an operator or excluded from this balancer's draw.
        """
        listed = [
            server for server in self._registry.servers.values() if server.status is not Status.GONE
        ]
        return len(listed), sum(
            1
            for server in listed
            if server.status is Status.READY
            and not (server.ready and self._failures.is_eligible(now, server))
            or server.id in self._registry.out_of_service
        )

    def export_learned_state(self, now: int) -> dict[str, Any]:
        """Returns the state for another process of this balancer, as plain JSON values."""
        return {
            "servers": [
                [
                    s.id,
                    s.capacity.mean,
                    s.started_at,
                    self._cold_budget.spent(now, s),
                    s.failures,
                    s.exclusion_level,
                    s.excluded_until,
                ]
                for s in self._registry.servers.values()
            ],
            "homes": list(self._draw.last_homes.items()),
            "rate": self._probe_budget.export_rate(now),
            "open": [
                [s.id, state.login.group]
                for s in self._registry.servers.values()
                for state in s.connections.values()
            ],
            "ended": list(self._ended_load.items()),
        }

    def import_learned_state(self, now: int, learned: dict[str, Any]) -> None:
        """Takes over the state of another process, which no longer places logins."""
        for (
            server_id,
            capacity,
            started_at,
            cold_spent,
            failures,
            exclusion_level,
            excluded_until,
        ) in learned["servers"]:
            if (server := self._registry.servers.get(server_id)) is None:
                continue
            if capacity is not None and server.capacity.mean is None:
                server.capacity.add(float(capacity))
            server.started_at = max(server.started_at, int(started_at))
            self._cold_budget.spend(now, server, float(cold_spent))
            if failures > server.failures:
                server.failures, server.exclusion_level, server.excluded_until = (
                    int(failures),
                    int(exclusion_level),
                    int(excluded_until),
                )
        for group, home in learned["homes"]:
            self._draw.last_homes.setdefault(int(group), int(home))
        for server_id, group in learned["open"]:
            if server_id in self._registry.servers:
                self._draw.reserve(self._registry.servers[server_id], int(group))
        self._probe_budget.import_rate(now, *learned["rate"])
        self._has_predecessor = True

    def connection_ended_elsewhere(self, now: int, server_id: int, load: float) -> None:
        """Connections of another process of this balancer have ended.

        Their load is subtracted until reports show that, so that returning clients do not count
        twice.
        """
        if (server := self._registry.servers.get(server_id)) is not None:
            self._next_external_id -= 1
            self._load_reports.add_placement(now, server, self._next_external_id, -load, -load)

    def other_processes_ended(self) -> None:
        """No other process of this balancer is running any longer."""
        self._draw.release_reservations()
        self._has_predecessor = False

    def set_standby(self, standby: bool) -> None:
        """Whether another process of this balancer places its logins.

        That process then sends the probes and uses the cold budget.
        """
        self._cold_budget.standby = standby
        self._probe_scheduler.configure(self._probes_allowed and not standby)

    def draw_probabilities(self, now: int, workload: int, span: int = 0) -> dict[int, float]:
        """Each server's probability in the draw of a login of this workload that came now.

        Empty if the login would be rejected; changes no state. With a span (ns), the probabilities
        by which external placers may place all logins of that span; the remainder to 1 is to be
        rejected.
        """
        settings = self._workloads[workload]
        login = Login(0, workload, 0, 0, now + settings.time_limit, None, 0)
        return self._draw.draw_probabilities(now, LoginState(login, 1.0, settings), span)

    def placed_by_others(self, now: int, server_id: int, count: int, failed: int) -> None:
        """External placers have sent logins to the server since their last report.

        The logins count like own placements until a report of the server includes them. If all of
        them failed, that counts as one failed hand-off, otherwise as a success.
        """
        server = self._registry.servers.get(server_id)
        self._probe_budget.record_reported_logins(now, count)
        if server is None or not count:
            return
        self._next_external_id -= 1
        self._load_reports.add_placement(now, server, self._next_external_id, float(count))
        self._cold_budget.spend(now, server, float(max(1, count)))
        if failed >= count:
            self._failures.record_failure(now, server, 0, Outcome.ERROR)
        else:
            self._failures.record_success(server, 0)

    def peer_message_received(self, now: int, peer: int, content: bytes) -> None:
        """Ignored: the decisions do not exchange messages with other balancers."""

    def timer_due(self, now: int, mark: int) -> None:
        """A timer that was set with this mark is due."""
        self._timers.pop(mark, lambda at: None)(now)

    def _server_leaves(self, now: int, server: Server, reason: str, duration: int = 0) -> None:
        # Other balancers' clients on this server return too, to any balancer.
        self._cut_times += [now] * int(server.count or 0)
        self._moves.evacuate(server, reason, duration)

    def _after(self, wait: int, action: Callable[[int], None]) -> None:
        mark = self._next_mark
        self._next_mark += 1
        self._timers[mark] = action
        self._host.set_timer(wait, mark)

    def _relative_load(self, cost: float | None) -> float:
        """A login's cost relative to the mean cost; 1 if it is unknown."""
        if not cost:
            return 1.0
        self._cost_sum += cost
        self._cost_count += 1
        return cost * self._cost_count / self._cost_sum

    def _place(self, now: int, state: LoginState) -> None:
        """Hands the login off, queries servers first, or rejects it."""
        if not self._retry_policy.may_send(now, state):
            self._reject(state)
            return
        server = self._connection_holder(now, state)
        if server is None and self._load_reports.probes_subset:
            to_query, server = self._draw.query_or_pick(
                now, state, self._retry_policy.server_filter(state)
            )
            if to_query:
                wait = min(
                    int(QUERY_WAIT_FRACTION * state.workload.soft_limit),
                    (state.login.time_limit_at - now) // 2,
                )
                self._probe_scheduler.query_for(now, state, to_query, wait, self._place)
                return
        elif server is None:
            server = self._draw.pick(now, state, self._retry_policy.server_filter(state))
        if server is None:
            self._reject(state)
            return
        login = state.login.login
        self._failures.start_trial(server, login)
        self._cold_budget.spend(now, server, max(1.0, state.load))
        self._load_reports.add_placement(
            now, server, login, state.load, state.load if state.from_other_balancer else 0.0
        )
        cut_at = self._retry_policy.cut_at(now, state)
        state.attempts.append(Attempt(server.id, now))
        state.query_round, state.queried_rounds, state.home_sample, state.candidates = 0, 0, [], []
        self._host.hand_off(login, server.id, cut_at)

    def _connection_holder(self, now: int, state: LoginState) -> Server | None:
        """The server of the open connection whose packets now arrive here, if known and ready."""
        if not state.login.mid_flow or state.attempts:
            return None
        server = self._registry.servers.get(self._server_by_subject.get(state.login.subject, 0))
        is_usable = (
            server and server.ready and self._cold_budget.admits(now, server, state, self._rng)
        )
        return server if is_usable else None

    def _record_outcome(self, now: int, server: Server, login: int, outcome: Outcome) -> None:
        if outcome is Outcome.FULL:
            server.full_until = now + PROBE_PERIOD // 2
        if outcome in (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.NOT_CONNECTED, Outcome.BROKEN):
            self._failures.record_failure(now, server, login, outcome)
        elif server.trial_login == login:
            server.trial_login = 0

    def _connection_opened(self, state: LoginState, server_id: int) -> None:
        state.is_open = True
        server = self._registry.servers.get(server_id)
        self._draw.count_connection(state, server, 1)
        if server is not None:
            server.connections[state.login.login] = state
            if self._remembers_subjects and state.login.subject:
                self._server_by_subject[state.login.subject] = server_id

    def _reject(self, state: LoginState) -> None:
        login = state.login.login
        self._forget(state)
        if self._retry_policy.may_bounce(state):
            # A random retry time spreads the clients that come again. The answer itself is never
            # delayed to slow a client down.
            retry_in = int(self._max_retry_after * self._rng.uniform(0.25, 1.0))
            self._host.bounce(login, retry_in)
        else:
            self._host.terminate(login)

    def _forget(self, state: LoginState) -> None:
        """Removes all state of a login or connection that has ended."""
        login = state.login.login
        self._active_logins.pop(login, None)
        state.pending_answers = 0
        if state.is_open:
            server_id = state.attempts[-1].server
            if self._cold_budget.standby:
                self._ended_load[server_id] = self._ended_load.get(server_id, 0.0) + state.load
            self._draw.count_connection(state, self._registry.servers.get(server_id), -1)
        for attempt in state.attempts[-1:]:
            server = self._registry.servers.get(attempt.server)
            if server is not None:
                self._load_reports.remove_placement(server, login)
                server.connections.pop(login, None)
                if server.trial_login == login:
                    server.trial_login = 0
