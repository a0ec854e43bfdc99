"""Every decision of corklift, for every deployment.

How to call it: make one `Balancer` an instance, with a `Host` to act on, a `random.Random` of its own and the
settings in our words; then call the method named for each thing that happens, with the host's clock. All
actions are calls on the host, made before the method returns. The interface: `corklift/interface.py`.

The ordinary path is the design's: each ready server is probed for its open-connection count about once a
second at a random phase, and a login's server is drawn with chance proportional to 1/(count + 1), own
placements since added. `docs/design.md` lists each departure and when it acts.
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

SECOND = 1_000_000_000
PROBE_PERIOD = SECOND  # the design's "about once a second"
RELAXED_PROBE_PERIOD = 2 * PROBE_PERIOD  # for a server with much room: probes are paid for
LOW_UTILISATION = 0.5  # of what a server can do: below it a server has much room
MAX_REPORT_AGE = 3 * PROBE_PERIOD  # the design's 3 s: a count older than this leaves the draw
REPORT_LAG = PROBE_PERIOD  # a report may miss placements made this long before it came
HEADROOM_UTILISATION = (
    0.7  # of what a server can do: beyond it a server gets nothing new while others have room
)
OVERLOAD_UTILISATION = 0.85  # of what a server can do: beyond it connections are moved away
OVERLOAD_OVER_MEAN = (
    1.15  # times the fleet's mean pressure: a fleet that is full all over has no hot server
)
MOVE_PAUSE = 5 * PROBE_PERIOD // 2  # until a move shows in the reports
MOVE_FRACTION = 0.5  # of the excess that goes in one step, each balancer its own part of it
GROUP_CAPACITY_FACTOR = (
    1.15  # times a group's share of the load: the part of the power it may spread over
)
IMPORTANCE_RESERVE = (
    0.1  # of what a server can do, kept for logins that bring more importance for their load
)
EXPENSIVE_ZONE_CROSSING = (
    0.01  # of a login's worth: a crossing of zones that costs more is avoided while there is room
)
DELAY_VALIDITY = (
    3 * PROBE_PERIOD // 2
)  # a note of late messages comes once a second while they are late
EVACUATION_DELAY_FACTOR = (
    2.0  # times the shortest message limit: past it connections leave a server though it has room
)
MAX_DELAYED_FRACTION = (
    0.75  # of the servers that hold own connections may be late at once, for that
)
MAX_BALANCERS_IN_STEP = 4  # balancers, this one too, that are taken to place alike
GROUP_COST_MARGIN = (
    0.1  # of what a server can do: what a group may cost a server that does not hold it yet
)
FAILURES_TO_EXCLUDE = 2  # failed hand-offs that take a server out of the draw
UNANSWERED_TO_EVACUATE = 3  # unanswered probes or connects after which a server counts as lost
COLD_BUDGET_FRACTION = (
    0.8  # of the cold budget is used; the rest is for chance and for what others send
)
FULL_UTILISATION = (
    0.85  # of what a server can do: nothing new beyond it; a fleet with no server under it bounces
)
RESENDS_PER_LOGIN = (
    0.3  # resends earned by each login; past failures that may be shared, the rest are bounced
)
MAX_SAVED_RESENDS = 10.0  # resends that may be saved up
LOGIN_RATE_HALF_LIFE = 10 * MAX_REPORT_AGE  # over which own logins are counted
EXPENSIVE_PROBING = (
    0.02  # of what logins are worth: where probing all servers costs more, only some are probed
)
SUBSET_PROBING_COST = (
    0.005  # of what logins are worth: what the standing probes of some servers may cost then
)
FIRST_QUERY_SIZE = (
    3  # servers asked before a hand-off where only some are probed; later rounds ask more
)
MAX_QUERY_ROUNDS = 2
PENDING_PROBE_REUSE = PROBE_PERIOD // 20  # a probe sent so lately is waited for, not sent again
QUERY_WAIT_FRACTION = 0.25  # of the soft limit, for one round of answers; half of the time left at most, to end in time
EXTERNAL_COLD_FRACTION = (
    0.5  # of a cold server's budget is given to others, who come unevenly and tell of it late
)
MAX_ENUMERATED_SERVERS, SAMPLED_COMBINATIONS = (
    6,
    2000,
)  # cold servers all of whose lots are told apart; so many lots where they are more
EXPECTED_GROUPS = (
    40  # of unknown size; what is seen of a group's share is drawn towards that of one of them
)


class ServerRegistry:
    """The servers as the list tells of them, and those that operators have taken out: two words, neither of
    which stands for the other."""

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.version = 0  # of who is ready
        self.out_of_service: dict[int, int] = {}  # when operators took a server out, listed or not
        self._restored_at: dict[int, int] = {}  # when they put back one that was not listed then

    def apply(
        self, now: int, scope: Scope, lines: Iterable[ListedServer]
    ) -> tuple[list[Server], list[Server]]:
        """Takes the list in; returns (started, left): servers new or restarted, servers draining or gone."""
        started, left, named = [], [], set()
        for line in lines:
            named.add(line.server)
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
                if server.id not in named and server.status is not Status.GONE:
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

    def take_out_of_service(self, now: int, server: int) -> Server | None:
        """It drains from now on, whatever the list tells, drops or lists anew; returns it if it was ready."""
        self.out_of_service.setdefault(server, now)
        left = [known for known in self.ready if known.id == server]
        self._update_ready()
        return left[0] if left else None

    def restore_to_service(self, now: int, server: int) -> Server | None:
        """Returns it if ready now. Its start is the list's or else now; what it showed before is void."""
        out_at, known = self.out_of_service.pop(server, None), self.servers.get(server)
        if out_at is None:
            return None
        if known is None:
            self._restored_at[server] = now
            return None
        if known.started_at <= out_at:
            known.started_at = now
        known.listed_at, known.reported_at, known.count, known.utilisation = now, 0, None, None
        known.failures = known.exclusion_level = known.excluded_until = known.unanswered = (
            known.trial_login
        ) = known.full_until = 0
        self._update_ready()
        return known if known.ready else None


class LoadReports:
    """Reported counts and pressures, their age, and each server's power."""

    def __init__(self, roster: ServerRegistry) -> None:
        self._registry = roster
        self._capacity_by_kind: dict[int, Histogram] = {}
        self.mean_capacity = 1.0  # connections that fill a server of mean power
        self.mean_utilisation = 0.0
        self._next_update_at = 0
        self._unreported_load = 0.0
        self._available_capacity = 1.0  # of all servers that are not full
        self.probes_subset = False  # only some servers are probed
        self._recent_placements: list[tuple[int, Server, int]] = []  # own placements, oldest first

    def configure(self, balancers: int, weight_varies: bool) -> None:
        self._balancers, self._weight_varies = balancers, weight_varies

    def record(self, now: int, server: Server, report: Report) -> None:
        server.count = report.count
        server.utilisation = report.busy if report.pressure is None else report.pressure
        server.reported_at = now
        horizon = now - REPORT_LAG
        for login in [login for login, (at, _, _) in server.unreported.items() if at <= horizon]:
            self.remove_placement(server, login)
        if server.count and server.utilisation and server.count >= 4 and server.utilisation > 0.04:
            size = server.count / server.utilisation
            server.capacity.add(size)
            self._capacity_by_kind.setdefault(server.kind, Histogram()).add(size)
        # Guards against CPU growing with the square of the fleet: weighed ten times a second at most.
        if now >= self._next_update_at:
            self._next_update_at = now + (
                PROBE_PERIOD if self.probes_subset else PROBE_PERIOD // 10
            )
            self._update_aggregates(now)

    def _update_aggregates(self, now: int) -> None:
        ready = self._registry.ready
        sizes = [size for size in map(self.capacity_of, ready) if size is not None]
        self.mean_capacity = sum(sizes) / len(sizes) if sizes else 1.0
        weights = [server.weight for server in ready if server.weight > 0]
        mean_weight = sum(weights) / len(weights) if weights else 1.0
        asked = power = room = 0.0
        for server in ready:
            size = self.capacity_of(server)
            if size is not None:
                server.relative_capacity = size / self.mean_capacity
            elif server.weight > 0 and not self._weight_varies:
                server.relative_capacity = server.weight / mean_weight
            if server.utilisation is not None and self.is_fresh(now, server):
                asked += server.utilisation * server.relative_capacity
                power += server.relative_capacity
                room += server.relative_capacity if server.utilisation < FULL_UTILISATION else 0.0
            elif self.probes_subset:
                room += server.relative_capacity
        self._available_capacity = max(room, 1.0)
        self.mean_utilisation = asked / power if power else 0.0

    def capacity_of(self, server: Server) -> float | None:
        size = server.capacity.mean
        if size is None and server.kind in self._capacity_by_kind:
            size = self._capacity_by_kind[server.kind].mean
        return size

    def is_fresh(self, now: int, server: Server) -> bool:
        """Ageing: a server unheard of for the age limit is dropped; a new one is given as long to answer."""
        return now - (server.reported_at or server.listed_at) <= (
            LOGIN_RATE_HALF_LIFE if self.probes_subset else MAX_REPORT_AGE
        )

    def is_recent(self, now: int, server: Server) -> bool:
        """Whether its last report is about as recent as one of the ordinary probes."""
        return server.reported_at > 0 and now - server.reported_at <= PROBE_PERIOD

    def expire_placements(self, now: int) -> None:
        """Forgets placements that reports hold by now, where most servers are not heard of again soon."""
        while self._recent_placements and self._recent_placements[0][0] <= now - 2 * REPORT_LAG:
            _, server, login = self._recent_placements.pop(0)
            self.remove_placement(server, login)

    def add_placement(
        self, now: int, server: Server, login: int, load: float, alone: float = 0.0
    ) -> None:
        server.unreported[login] = (now, load, alone)
        server.unreported_load, server.unshared_load = (
            server.unreported_load + load,
            server.unshared_load + alone,
        )
        self._unreported_load += load - alone
        if self.probes_subset:
            self._recent_placements.append((now, server, login))

    def remove_placement(self, server: Server, login: int) -> None:
        _, load, alone = server.unreported.pop(login, (0, 0.0, 0.0))
        server.unreported_load -= load
        server.unshared_load -= alone
        self._unreported_load -= load - alone

    def projected_utilisation(self, server: Server) -> float | None:
        """Pressure with placements since: own ones, and those taken to be made by the other balancers.

        Guards against a flood of returning clients (a drain, a reconnect): each balancer sees a part."""
        if server.utilisation is None:
            return None
        size = (
            self.capacity_of(server) or self.mean_capacity
        )  # Guards against a flood where no size is known yet
        if size <= 1.0:
            return server.utilisation
        # One own login of many balancers' says nothing of the others; two at once say that a flood comes in.
        flood = (
            max(0.0, self._unreported_load - 1.0) if self.probes_subset else self._unreported_load
        )
        spread = flood * min(1.0, server.relative_capacity / self._available_capacity)
        alike = min(self._balancers, MAX_BALANCERS_IN_STEP)
        # A report that was asked for is no fresher, and others of many balancers have placed by it too.
        met = alike - 1 if self.probes_subset else 0
        # Guards against refusals when another balancer restarts: its clients come here alone, and only once.
        own = alike * server.unreported_load - (alike - 1) * server.unshared_load
        return server.utilisation + (met + own + (self._balancers - alike) * spread) / size

    def normalised_count(self, server: Server, mean: float) -> float:
        """Connections of like cost a unit of power: the design's count, for unlike servers and logins."""
        if server.utilisation is not None:
            known = server.utilisation * self.mean_capacity
        elif server.count is not None:
            known = server.count / server.relative_capacity
        else:
            known = max(mean, len(server.connections) * self._balancers / server.relative_capacity)
        return max(0.0, known + server.unreported_load / server.relative_capacity)

    def mean_normalised_count(self, servers: list[Server]) -> float:
        known = [
            self.normalised_count(server, 0.0) for server in servers if server.count is not None
        ]
        return sum(known) / len(known) if known else 0.0


class FailureTracker:
    """Failures in a row take a server out of the draw; probes or one trial login bring it back."""

    def __init__(self, host: Host, rng: Random, counts: LoadReports) -> None:
        self._host, self._rng, self._load_reports = host, rng, counts

    def is_eligible(self, now: int, server: Server) -> bool:
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
            self._host.log(f"server {server.id} back in the draw: its trial login was set up")
        if server.trial_login == login:
            server.trial_login = 0
        elif server.exclusion_level and server.failures == 0:
            server.exclusion_level -= 1
        server.failures = server.unanswered = 0


class ProbeBudget:
    """Whether this balancer can pay for probing every server, and how many it probes otherwise."""

    def __init__(self, now: int) -> None:
        self._login_count, self._counted_at = 0.0, now  # logins, halved every LOGIN_RATE_HALF_LIFE
        self._counting_since: int = (
            now  # how long they are counted; longer, if connections stood before
        )
        self._last_logins_at = [
            -LOGIN_RATE_HALF_LIFE,
            -LOGIN_RATE_HALF_LIFE,
        ]  # when the last two came
        self._reported_by_second: dict[
            int, int
        ] = {}  # logins that others placed, by the second in which they told of them

    def configure(self, fee: float, balancers: int) -> None:
        self._probe_price, self._balancers = fee, balancers

    def record_existing_connection(self, now: int) -> None:
        """A connection of before the start: a login of the time before, as long ago as any counts."""
        self._counting_since = now - 10 * LOGIN_RATE_HALF_LIFE
        self.record_login(now, False)

    def record_login(self, now: int, came_back: bool, number: int = 1) -> None:
        """Clients that come back bring no importance of their own, however many they are."""
        if not came_back:
            self._login_count, self._counted_at = self._decayed_count(now) + number, now
        self._last_logins_at = [self._last_logins_at[1], now]

    def record_reported_logins(self, now: int, number: int) -> None:
        self.record_login(now, False, number)
        second = now // SECOND
        self._reported_by_second = {
            at: logins for at, logins in self._reported_by_second.items() if at > second - 3
        }
        self._reported_by_second[second] = self._reported_by_second.get(second, 0) + number

    def peak_reported_logins(self, now: int) -> int:
        """The most logins that others told of in one of the last seconds: a flood is seen at once."""
        return max(
            (logins for at, logins in self._reported_by_second.items() if at > now // SECOND - 3),
            default=0,
        )

    def export_rate(self, now: int) -> tuple[float, int]:
        return self._decayed_count(now), self._counting_since

    def import_rate(self, now: int, seen: float, began: int) -> None:
        self._login_count, self._counted_at, self._counting_since = (
            self._decayed_count(now) + float(seen),
            now,
            min(self._counting_since, int(began)),
        )

    def _decayed_count(self, now: int) -> float:
        return self._login_count * 0.5 ** ((now - self._counted_at) / LOGIN_RATE_HALF_LIFE)

    def login_rate(self, now: int) -> float:
        """Own logins a second; connections state at the start count as logins of the time before."""
        # Guards against a balancer that has just started and takes the rate of logins for low.
        counted = max(MAX_REPORT_AGE, now - self._counting_since)
        return (
            0.69
            * self._decayed_count(now)
            * SECOND
            / (LOGIN_RATE_HALF_LIFE * (1 - 0.5 ** (counted / LOGIN_RATE_HALF_LIFE)))
        )

    def is_rate_known(self, now: int) -> bool:
        """Whether a login has come, or none matters: before that their rate is unknown, not nil.

        Clients that come back from another balancer tell nothing of it, unless for long no other came."""
        return (
            self._login_count > 0
            or not self._probe_price
            or now - self._counting_since > 2 * MAX_REPORT_AGE
            and self._last_logins_at[1] > 0
        )

    def several_logins_within(self, now: int, span: int) -> bool:
        """Whether more than one login came within the span."""
        return now - self._last_logins_at[0] < span

    def requires_subset(self, now: int, servers: int) -> bool:
        """Whether probing all, as seldom as the design allows, costs too much of what logins are worth.
        It does, too, where more balancers than servers share them: each knows little of counts and groups."""
        cost = servers * self._probe_price * SECOND / MAX_REPORT_AGE
        return cost > 0 and (
            self._balancers > servers
            or (self.is_rate_known(now) and cost > EXPENSIVE_PROBING * self.login_rate(now))
        )

    def subset_size(self, now: int, servers: int) -> int:
        """How many servers to probe in an age limit, if not all."""
        part = (
            SUBSET_PROBING_COST * self.login_rate(now) * MAX_REPORT_AGE / SECOND / self._probe_price
            if self._probe_price
            else servers
        )
        return max(1, min(servers, int(part)))


class ColdBudget:
    """This balancer's part of what a server that just started may be sent."""

    def __init__(self, counts: LoadReports, means: ProbeBudget) -> None:
        self._load_reports, self._probe_budget = counts, means
        self.standby = False  # another process of this balancer places its logins

    def configure(self, rule: ColdRule, balancers: int) -> None:
        self._rule, self._balancer_share = rule, COLD_BUDGET_FRACTION / balancers

    def is_cold(self, now: int, server: Server) -> bool:
        return bool(server.started_at) and now - server.started_at < self._rule.ramp

    def _warm_share(self, now: int, server: Server) -> float:
        age = max(0, now - server.started_at) / max(1, self._rule.ramp)
        return min(1.0, self._rule.start_share + (1 - self._rule.start_share) * age)

    def _budget(self, now: int, server: Server) -> tuple[float, float]:
        """What is spent, drained at the rate the server can take, and this balancer's part of a span."""
        size = self._load_reports.capacity_of(server) or self._rule.ramp / self._rule.span
        rate = (
            self._rule.multiple
            * self._warm_share(now, server)
            * size
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
        if not self.is_cold(now, server):
            return True
        self._refill(now, server)
        chance = self.admission_probability(now, server, state)
        return (
            chance >= 1.0
            or chance > 0.0
            and state.cold_draws.setdefault(server.id, rng.random()) < chance
        )

    def admission_probability(self, now: int, server: Server, state: LoginState) -> float:
        """The chance that the budget lets this login take part in the draw of the server."""
        if self.standby or not self.is_cold(now, server):
            return float(not self.is_cold(now, server))
        spent, part = self._budget(now, server)
        most = max(1.0, part)
        if spent + min(state.load, most) > most + 1e-9:
            return 0.0
        # Guards against hundreds of balancers that each round their part of a server up to a connection: less
        # is taken as a chance, by the logins this balancer places in a span. Of those that come back all
        # balancers may have some at once, so a span is taken to hold one at least.
        logins = self._probe_budget.login_rate(now) * self._rule.span / SECOND
        if state.login.came_back or self._probe_budget.several_logins_within(now, self._rule.span):
            logins = max(1.0, logins)
        return 1.0 if part >= logins else part / logins

    def max_share(self, now: int, server: Server, span: int, even: float) -> float:
        """The most of all logins of a span that others may send there; `even`: its share by power alone.

        Guards against hundreds that place by one answer until they have the next: one's find is all's."""
        logins = (
            max(self._probe_budget.login_rate(now), self._probe_budget.peak_reported_logins(now))
            * span
            / SECOND
        )
        if server.failures >= FAILURES_TO_EXCLUDE:
            return 1.0 / max(1.0, logins)  # one trial login, as in the draw
        if not self.is_cold(now, server):
            return 1.0
        share = even * self._warm_share(now, server)
        if logins < 1.0:
            return share
        spent, part = self._budget(now, server)
        left = max(0.0, part - spent + part * span / self._rule.span) * EXTERNAL_COLD_FRACTION
        return min(share * self._rule.multiple, left / logins)

    def spent(self, now: int, server: Server) -> float:
        return self._budget(now, server)[0] if self.is_cold(now, server) else 0.0

    def spend(self, now: int, server: Server, load: float) -> None:
        if self.is_cold(now, server):
            self._refill(now, server)
            server.cold_spent += load


class WeightedDraw:
    """The design's random draw, and the narrowing of who takes part in it."""

    def __init__(
        self,
        rng: Random,
        roster: ServerRegistry,
        counts: LoadReports,
        health: FailureTracker,
        cold: ColdBudget,
    ) -> None:
        self._rng, self._registry, self._load_reports, self._failures, self._cold_budget = (
            rng,
            roster,
            counts,
            health,
            cold,
        )
        self.group_load: dict[int, int] = {}  # own open connections of each group
        self.total_load = 0
        self.last_homes: dict[int, int] = {}  # where a group's last connection was opened
        self._server_orders: dict[
            tuple[int, bool], list[Server]
        ] = {}  # of the ready servers, for a group
        self._orders_version = 0
        self._fleet_full_until = 0  # until then a login is not asked for beyond its homes
        self._group_logins: dict[int, float] = {}  # logins of each group, halved now and then
        self._group_logins_total = 0.0
        self._reservations: list[tuple[Server, int]] = []

    def configure(
        self,
        grouped: bool,
        zone: int,
        crossing_price: float,
        message_limit: int,
        reserves: list[float],
    ) -> None:
        self._reserves, self._grouped = (
            reserves,
            grouped,
        )  # of each server, kept from each workload's logins
        self._zone, self._crossing_price, self._message_limit = zone, crossing_price, message_limit

    def _prefers_own_zone(self, login: Login) -> bool:
        """Whether it stays in its zone: crossings dear, room for groups state twice, no flood of returns."""
        return (
            self._crossing_price > EXPENSIVE_ZONE_CROSSING
            and not login.came_back
            and self._load_reports.mean_utilisation < HEADROOM_UTILISATION - GROUP_COST_MARGIN
        )

    def is_delayed(self, now: int, server: Server, part: float) -> bool:
        """Whether messages there took more than this part of the shortest message limit, by a recent note."""
        return (
            now - server.message_delay_at < DELAY_VALIDITY
            and server.message_delay > part * self._message_limit > 0
        )

    def has_headroom(self, now: int, server: Server) -> bool:
        if now < server.full_until or self.is_delayed(now, server, 0.5):
            return False
        pressure = self._load_reports.projected_utilisation(server)
        return pressure is None or pressure < max(
            HEADROOM_UTILISATION, self._load_reports.mean_utilisation
        )

    def pick(self, now: int, state: LoginState, allowed: Callable[[Server], bool]) -> Server | None:
        able = [
            s
            for s in self._registry.ready
            if allowed(s) and self._cold_budget.admits(now, s, state, self._rng)
        ]
        drawn, even = self._candidates(now, state, able)
        if not drawn:
            return None
        return self._rng.choice(drawn) if even else self._weighted_choice(drawn)

    def draw_probabilities(self, now: int, state: LoginState, span: int) -> dict[int, float]:
        """`pick`'s answer for every server at once, nothing drawn, nothing changed; empty where it has none.

        With a span: for all the logins that others place by it meanwhile. Their sum is under 1 where the
        servers with room may not be sent all of them."""
        ready = self._registry.ready
        admitted = {
            server: 1.0 if span else self._cold_budget.admission_probability(now, server, state)
            for server in ready
        }
        doubtful = [s for s, chance in admitted.items() if 0.0 < chance < 1.0]
        found: dict[Server, float] = {}
        every, rng = len(doubtful) <= MAX_ENUMERATED_SERVERS, Random(0)
        for lots in (
            product((True, False), repeat=len(doubtful))
            if every
            else (
                [rng.random() < admitted[s] for s in doubtful] for _ in range(SAMPLED_COMBINATIONS)
            )
        ):
            part = (
                prod(admitted[s] if lot else 1.0 - admitted[s] for s, lot in zip(doubtful, lots))
                if every
                else 1.0 / SAMPLED_COMBINATIONS
            )
            out = {s for s, lot in zip(doubtful, lots) if not lot}
            drawn, even = self._candidates(
                now, state, [s for s in ready if admitted[s] and s not in out]
            )
            weights = [1.0] * len(drawn) if even else self._weights(drawn)
            whole = sum(weights)
            for server, weight in zip(drawn, weights):
                found[server] = found.get(server, 0.0) + part * weight / whole
        if span:
            found = self._capped(now, found, span)
        return {server.id: chance for server, chance in found.items()}

    def _capped(self, now: int, found: dict[Server, float], span: int) -> dict[Server, float]:
        """What is too much for a server goes to the others in the ratio of their chances."""
        power = sum(server.relative_capacity for server in found)
        bounds = {
            server: self._cold_budget.max_share(now, server, span, server.relative_capacity / power)
            for server in found
        }
        if (
            all(self._cold_budget.is_cold(now, server) for server in found)
            and not self._load_reports.mean_utilisation
        ):
            return found  # a fleet that starts as one, of which nothing is known: there is no better place
        capped: dict[Server, float] = {}
        while True:
            free = sum(chance for server, chance in found.items() if server not in capped)
            scale = max(0.0, 1.0 - sum(capped.values())) / free if free else 0.0
            over = [
                s for s, chance in found.items() if s not in capped and chance * scale > bounds[s]
            ]
            if not over:
                return {
                    s: capped[s] if s in capped else chance * scale for s, chance in found.items()
                }
            capped.update((server, bounds[server]) for server in over)

    def _candidates(
        self, now: int, state: LoginState, able: list[Server]
    ) -> tuple[list[Server], bool]:
        """Who of these takes part in the draw, and whether that is even for want of counts."""
        if not able:
            return [], False
        tried = [attempt.server for attempt in state.attempts]
        untried = [s for s in able if s.id not in tried] or able
        well = [s for s in untried if self._failures.is_eligible(now, s)] or untried
        fresh = [s for s in well if self._load_reports.is_fresh(now, s)]
        if not any(server.count is not None for server in fresh):
            # None has a count, or all would be dropped: the design's even draw over ready servers.
            return well, True
        fresh = [s for s in fresh if self._accepts(now, s, state)]
        if not fresh:
            return [], False
        roomy = [s for s in fresh if self.has_headroom(now, s)]
        near = (
            [s for s in roomy if s.zone == self._zone]
            if self._prefers_own_zone(state.login)
            else []
        )
        if near and self._grouped and state.login.group:
            near = self._servers_for_group(state.login.group, near, [])
        if near:
            return near, False
        if self._grouped and state.login.group:
            return self._servers_for_group(state.login.group, roomy, fresh), False
        return roomy or fresh, False

    def _accepts(self, now: int, server: Server, state: LoginState) -> bool:
        # Guards against a standing overload: what is piled up on a full server spoils all its connections.
        return (
            now >= server.full_until
            and not self.is_delayed(now, server, 1.0)
            and (self._load_reports.projected_utilisation(server) or 0.0)
            < FULL_UTILISATION - self._reserves[state.login.workload]
        )

    def _ordered_candidates(
        self, now: int, state: LoginState, allowed: Callable[[Server], bool], enough: int
    ) -> list[Server]:
        """The first servers for a login where only some are probed: in its group's order.

        The order comes from the ids alone, so hundreds of balancers that never speak gather a group alike,
        each with few of its connections. A login without a group has an order of its own, at random."""
        if self._orders_version != self._registry.version:
            self._orders_version = self._registry.version
            self._server_orders.clear()
        group = state.login.group if self._grouped else 0
        near = self._prefers_own_zone(state.login)
        order = self._server_orders.get((group, near)) if group else state.server_order
        if not order:
            order = (
                sorted(self._registry.ready, key=lambda s: _rank(group, s))
                if group
                else self._rng.sample(self._registry.ready, len(self._registry.ready))
            )
            if near:
                order.sort(key=lambda s: s.zone != self._zone)
            if group:
                self._server_orders[group, near] = order
            state.server_order = order
        tried = [attempt.server for attempt in state.attempts]
        able: list[Server] = []
        rest: list[Server] = []
        # Guards against CPU that grows with the fleet for each login: the walk ends with the first few.
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
                doubted = server.failures or server.unanswered
                if server.id in tried or (doubted and not self._failures.is_eligible(now, server)):
                    rest.append(server)
                    continue
                able.append(server)
                if len(able) >= enough:
                    break
        return able or rest

    def record_group_login(self, group: int) -> None:
        self._group_logins[group] = self._group_logins.get(group, 0.0) + 1.0
        self._group_logins_total += 1.0
        if self._group_logins_total > 10 * EXPECTED_GROUPS:
            self._group_logins = {
                other: logins / 2 for other, logins in self._group_logins.items() if logins > 0.5
            }
            self._group_logins_total = sum(self._group_logins.values())

    def _estimated_home_count(self, group: int) -> int:
        """How many servers a group's load fills, by what this balancer has seen of it.

        One of hundreds sees little, so the share it sees is drawn towards that of a group among a few."""
        share = (self._group_logins.get(group, 0.0) + 1.0) / (
            self._group_logins_total + EXPECTED_GROUPS
        )
        filled = min(1.0, max(0.5, self._load_reports.mean_utilisation / HEADROOM_UTILISATION))
        return 1 + int(share * filled * GROUP_CAPACITY_FACTOR * len(self._registry.ready))

    def query_or_pick(
        self, now: int, state: LoginState, allowed: Callable[[Server], bool]
    ) -> tuple[list[Server], Server | None]:
        """Where only some servers are probed: those to ask before this hand-off, or else the one drawn.

        A group's logins are drawn among its homes with room, then among its homes not full. Then comes the
        next server of its order that has room for the group's own cost too. Guards against groups that
        scatter until every server pays for every group."""
        self._load_reports.expire_placements(now)
        group = state.login.group if self._grouped else 0
        number = self._estimated_home_count(group) if group else FIRST_QUERY_SIZE
        rounds = 1 if now < self._fleet_full_until else MAX_QUERY_ROUNDS
        while True:
            # A few of the homes first, then all of them, then further servers in order.
            further = FIRST_QUERY_SIZE << state.query_round if state.query_round > 1 else 0
            if further or not state.candidates:
                state.candidates = self._ordered_candidates(now, state, allowed, number + further)
            able = [s for s in state.candidates if s.ready]  # a drain may have come
            homes = able[:number]
            state.home_sample = state.home_sample or self._rng.sample(
                homes, min(len(homes), FIRST_QUERY_SIZE)
            )
            first = able if state.query_round else state.home_sample
            unheard = [
                s
                for s in first
                if not self._load_reports.is_recent(now, s)
                and (not s.pending_probe_at or now - s.pending_probe_at < PENDING_PROBE_REUSE)
            ]
            if unheard and state.queried_rounds < state.query_round + 1:
                state.queried_rounds = state.query_round + 1
                return unheard, None
            known = [
                s
                for s in first
                if self._load_reports.is_recent(now, s)
                and self._accepts(now, s, state)
                and s in able
            ]
            known_homes = [s for s in known if s in homes]
            roomy = [s for s in known_homes if self.has_headroom(now, s)]
            if roomy or (known_homes and state.query_round):
                return [], self._weighted_choice(
                    [s for s in roomy if group in s.groups] or roomy or known_homes
                )
            for server in known if state.query_round else []:
                if (
                    not group
                    or (self._load_reports.projected_utilisation(server) or 0.0)
                    < HEADROOM_UTILISATION - GROUP_COST_MARGIN
                ):
                    return [], server
            if state.query_round >= rounds:
                if able and not any(self._load_reports.is_recent(now, s) for s in first):
                    return [], self._rng.choice(able)  # none has answered: the design's even draw
                # Guards against probes and CPU spent on a full fleet for each of a flood of logins.
                self._fleet_full_until = (
                    now + PROBE_PERIOD
                    if state.query_round == MAX_QUERY_ROUNDS
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
        """The design's 1/(count + 1), the counts by power."""
        unread = any(s.count is None and s.utilisation is None for s in servers)
        mean = self._load_reports.mean_normalised_count(self._registry.ready) if unread else 0.0
        return [
            s.relative_capacity / (self._load_reports.normalised_count(s, mean) + 1.0)
            for s in servers
        ]

    def _servers_for_group(
        self, group: int, roomy: list[Server], fresh: list[Server]
    ) -> list[Server]:
        """The servers that should hold a group: so many as its load needs, those that hold most of it first.

        Then the group's own order: it comes from the ids alone, so balancers that never speak choose alike.
        A server that does not hold the group yet needs room for the group's own cost too. Guards against
        groups that scatter over a full fleet, where every server comes to pay for every group."""
        homes = self._home_servers(group)
        chosen = [s for s in roomy if s in homes]
        if not chosen:
            spare = self._with_room_for_group(
                group, [s for s in roomy if s not in homes], HEADROOM_UTILISATION
            )
            spare.sort(key=lambda s: (-s.groups.get(group, 0), _rank(group, s)))
            chosen = _enough(spare, sum(s.relative_capacity for s in homes))
        return (
            chosen
            or [s for s in fresh if s in homes]
            or self._with_room_for_group(group, fresh, FULL_UTILISATION)
        )

    def _home_servers(self, group: int) -> list[Server]:
        """As many servers as the group's load needs, those that hold most of it first, room or not."""
        share = self.group_load.get(group, 0) / self.total_load if self.total_load else 0.0
        need = (
            share
            * GROUP_CAPACITY_FACTOR
            * sum(server.relative_capacity for server in self._registry.ready)
        )
        last = self.last_homes.get(group)
        return _enough(
            sorted(
                self._registry.ready,
                key=lambda s: (-s.groups.get(group, 0), s.id != last, _rank(group, s)),
            ),
            need,
        )

    def _with_room_for_group(self, group: int, servers: list[Server], limit: float) -> list[Server]:
        """Servers with room for the login, and for the group's own cost where they don't hold it."""
        return [
            s
            for s in servers
            if (self._load_reports.projected_utilisation(s) or 0.0)
            < limit - (0.0 if group in s.groups else GROUP_COST_MARGIN)
        ]

    def count_connection(self, state: LoginState, server: Server | None, sign: int) -> None:
        if sign > 0 and server is not None and state.login.group:
            self.last_homes[state.login.group] = server.id
        self._add_group_load(state.login.group, server, sign)

    def _add_group_load(self, group: int, server: Server | None, number: int) -> None:
        self.total_load += number
        for counts in (
            (self.group_load, server.groups if server is not None else {}) if group else ()
        ):
            load = counts.get(group, 0) + number
            if load > 0:
                counts[group] = load
            else:
                counts.pop(group, None)

    def reserve(self, server: Server, group: int) -> None:
        """One of another process stands for its return. Guards against groups that scatter meanwhile."""
        self._add_group_load(group, server, 1)
        self._reservations.append((server, group))

    def release_reservations(self) -> None:
        while self._reservations:
            server, group = self._reservations.pop()
            self._add_group_load(group, server, -1)


def _enough(servers: list[Server], need: float) -> list[Server]:
    """The first servers that make up this much power, one at least."""
    for number, server in enumerate(servers, 1):
        need -= server.relative_capacity
        if need <= 0:
            return servers[:number]
    return servers


def _rank(group: int, server: Server) -> int:
    """The group's own order of servers, alike at every balancer; its high bits mix all of both ids."""
    return (group ^ server.id_hash) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF


class RetryPolicy:
    """When a login may be sent again, for how long a hand-off may take, and which last answer is honest."""

    def __init__(self, roster: ServerRegistry) -> None:
        self._registry, self._resend_tokens = roster, MAX_SAVED_RESENDS

    def configure(self, max_hand_offs: int) -> None:
        self._max_hand_offs = max_hand_offs

    def _may_have_run(self, state: LoginState) -> list[Attempt]:
        return [a for a in state.attempts if a.outcome is None or not a.outcome.proves_not_run]

    def may_send(self, now: int, state: LoginState) -> bool:
        if len(state.attempts) >= self._max_hand_offs or now >= state.login.time_limit_at:
            return False
        if not state.attempts:
            self._resend_tokens = min(MAX_SAVED_RESENDS, self._resend_tokens + RESENDS_PER_LOGIN)
        elif state.attempts[-1].outcome not in (Outcome.FULL, Outcome.NOT_CONNECTED):
            # Guards against resends that keep a shared store behind all set-ups jammed by themselves.
            if self._resend_tokens < 1.0:
                return False
            self._resend_tokens -= 1.0
        if state.workload.effect is Effect.REPEATABLE:
            return True
        ran, remembered = self._may_have_run(state), state.workload.dedup_window
        # A once-only login that may have run must never run again; a tagged one only while it is remembered.
        return (
            not ran or state.workload.effect is Effect.TAGGED and now < ran[0].sent_at + remembered
        )

    def server_filter(self, state: LoginState) -> Callable[[Server], bool]:
        ran = self._may_have_run(state) if state.workload.effect is Effect.TAGGED else []
        if not ran or state.workload.reach is Reach.ALL:
            return lambda server: True
        first = self._registry.servers.get(ran[0].server)
        if first is None:
            return lambda server: False
        if state.workload.reach is Reach.ZONE:
            return lambda server: server.zone == first.zone
        return lambda server: server.cell == first.cell

    def may_bounce(self, state: LoginState) -> bool:
        if state.workload.effect is Effect.REPEATABLE or not self._may_have_run(state):
            return True
        return state.workload.effect is Effect.TAGGED and state.workload.reach is Reach.ALL

    def cut_at(self, now: int, state: LoginState) -> int:
        """Early enough to try elsewhere within the soft limit; the last hand-off has all that is left."""
        limit = state.login.time_limit_at
        left = self._max_hand_offs - len(state.attempts)
        if left <= 1 or self._resend_tokens < MAX_SAVED_RESENDS / 2:
            return limit
        return min(limit, now + max(state.workload.soft_limit // 2, (limit - now) // left))


class ConnectionMoves:
    """The exception to kept placements: off a lost or draining server, and off a hot one in bounded steps."""

    def __init__(
        self,
        host: Host,
        rng: Random,
        counts: LoadReports,
        group_load: dict[int, int],
        after: Callable[[int, Callable[[int], None]], None],
    ) -> None:
        self._host, self._rng, self._load_reports = host, rng, counts
        self._group_load, self._after = group_load, after

    def evacuate(self, server: Server, why: str, over: int = 0) -> None:
        """At once, or evenly over a time. Guards against a flood where nothing forces one."""
        if server.connections:
            self._host.log(
                f"server {server.id} {why}: moving {len(server.connections)} connections"
            )
        for number, login in enumerate(list(server.connections)):
            if over and number:
                self._after(
                    over * number // len(server.connections),
                    lambda _, login=login: self._host.move(login),
                )
            else:
                self._host.move(login)

    def shed_load(self, now: int, server: Server) -> None:
        """ConnectionMoves this balancer's part of what a hot server has too much, then rests until reports show it."""
        pressure, mean = server.utilisation, self._load_reports.mean_utilisation
        if pressure is None or now < server.next_move_at or not server.connections:
            return
        # Past all it can do a server serves none of its connections well: it sheds in a full fleet too.
        if pressure <= max(
            OVERLOAD_UTILISATION, min(OVERLOAD_OVER_MEAN * mean, FULL_UTILISATION + 0.1)
        ):
            return
        target = max(HEADROOM_UTILISATION, min(mean, OVERLOAD_UTILISATION))
        part = (1.0 if pressure > 1.0 else MOVE_FRACTION) * (pressure - target) / pressure
        # Remnants of groups that live elsewhere go first: each takes the group's cost along.
        own = sorted(
            server.connections.values(),
            key=lambda state: (self._remnant_size(server, state), -state.load),
        )
        excess = part * sum(state.load for state in own)
        if self._rng.random() * own[-1].load > excess:
            return
        moved = 0
        for state in own:
            if excess <= 0:
                break
            if state.load <= 2 * excess or state is own[-1]:
                excess -= state.load
                self._host.move(state.login.login)
                moved += 1
        server.next_move_at = now + MOVE_PAUSE
        self._host.log(f"server {server.id} hot at {pressure:.2f}: moved {moved} of {len(own)}")

    def _remnant_size(self, server: Server, state: LoginState) -> int:
        """How many of a connection's group stand here, if most stand elsewhere; else a large number."""
        group = state.login.group
        here, all_of_it = server.groups.get(group, 0), self._group_load.get(group, 0)
        return here if group and 2 * here < all_of_it else 1_000_000


class ListWatch:
    """How long to wait before the list is asked for, where it must be: spread out."""

    def __init__(self, rng: Random, ask_within: int) -> None:
        self._rng = rng
        self._max_delay = ask_within // 4
        self.failures = 0  # in a row

    def record_failure(self) -> int:
        self.failures += 1
        return int(
            min(self._max_delay, PROBE_PERIOD << min(self.failures - 1, 4))
            * self._rng.uniform(0.3, 1.0)
        )


class ProbeScheduler:
    """Which servers are probed and when; and which logins wait for an answer."""

    def __init__(
        self,
        host: Host,
        rng: Random,
        roster: ServerRegistry,
        counts: LoadReports,
        means: ProbeBudget,
        cold: ColdBudget,
        after: Callable[[int, Callable[[int], None]], None],
    ) -> None:
        self._host, self._rng, self._after, self._allowed = host, rng, after, False
        self._registry, self._load_reports, self._probe_budget, self._cold_budget = (
            roster,
            counts,
            means,
            cold,
        )
        self._subset_decision: bool | None = None  # whether only some servers are probed
        self._subset: list[Server] = []  # those, if so

    def configure(self, allowed: bool) -> None:
        if allowed and not self._allowed and self._registry.ready:
            self._after(0, self._review)
        self._allowed, self._subset_decision = allowed, self._subset_decision if allowed else None

    def servers_started(self, first_list: bool, servers: list[Server]) -> None:
        if not self._allowed:
            return
        if first_list:
            # Connections state at the start, which tell the rate of logins, come right after the first list.
            self._after(0, self._review)
        elif not self._load_reports.probes_subset:
            self._start_probing(servers)

    def _review(self, now: int) -> None:
        """Once an age limit, from the first login on: whether to probe all servers or some, and which."""
        if not self._allowed:
            return
        ready = self._registry.ready
        some_only = self._probe_budget.requires_subset(now, len(ready))
        if some_only != self._subset_decision:
            if self._subset_decision is not None:
                self._host.log(f"probing {'some' if some_only else 'all'} of {len(ready)} servers")
            self._subset_decision = self._load_reports.probes_subset = some_only
            if not some_only:
                self._start_probing(ready)
        if some_only:
            self._rotate_subset(now)
        wait = (
            MAX_REPORT_AGE
            if self._probe_budget.is_rate_known(now) or some_only
            else PROBE_PERIOD // 10
        )
        self._after(int(wait * self._rng.uniform(0.9, 1.1)), self._review)

    def _start_probing(self, servers: list[Server]) -> None:
        for server in servers:
            server.probe_generation += 1
            self._schedule(server, server.probe_generation, int(self._rng.random() * PROBE_PERIOD))

    def _schedule(self, server: Server, turn: int, wait: int) -> None:
        def due(now: int) -> None:
            if (
                server.ready
                and server.probe_generation == turn
                and not self._load_reports.probes_subset
            ):
                self.probe(now, server)
                calm = (
                    server.utilisation is not None
                    and server.utilisation < LOW_UTILISATION
                    and not server.unanswered
                    and not self._cold_budget.is_cold(now, server)
                )
                self._schedule(server, turn, RELAXED_PROBE_PERIOD if calm else PROBE_PERIOD)

        self._after(wait, due)

    def _rotate_subset(self, now: int) -> None:
        """Exchanges one of the servers probed for another at random, often for one that holds own ones."""
        size = self._probe_budget.subset_size(now, len(self._registry.ready))
        kept = [server for server in self._subset if server.ready]
        self._rng.shuffle(kept)
        self._subset = kept[: size - 1]
        others = [server for server in self._registry.ready if server not in self._subset]
        while others and len(self._subset) < size:
            holders = [server for server in others if server.connections]
            chosen = self._rng.choice(holders if holders and self._rng.random() < 0.5 else others)
            self._subset.append(chosen)
            others.remove(chosen)
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
        """Asks servers for their counts before a hand-off; who has not answered soon is passed over."""
        turn = state.query_id = state.query_id + 1
        state.pending_answers = len(servers)
        for server in servers:
            server.waiting_logins.append((state, turn))
            if not server.pending_probe_at:
                self.probe(now, server)

        def late(at: int) -> None:
            if state.pending_answers and state.query_id == turn:
                state.pending_answers = 0
                place(at, state)

        self._after(wait, late)

    def completed_queries(self, server: Server) -> list[LoginState]:
        """Takes note of an answer; returns the logins that have waited for it as their last."""
        askers, server.waiting_logins = server.waiting_logins, []
        done = []
        for state, turn in askers:
            if state.pending_answers and state.query_id == turn:
                state.pending_answers -= 1
                if not state.pending_answers:
                    done.append(state)
        return done


class Balancer:
    """One balancer's decisions. One method for each thing that can happen."""

    def __init__(self, host: Host, rng: Random, *, now: int, **settings: Any) -> None:
        self._host, self._rng = host, rng
        self._list_received = False  # whether a list has come
        self._server_by_subject: dict[
            int, int
        ] = {}  # the holder of a client's connection, where packets pass
        self._active_logins: dict[int, LoginState] = {}
        self._ended_load: dict[
            int, float
        ] = {}  # load of own connections that ended while standing by
        self._has_predecessor = (
            False  # clients of another process of this balancer come back to this one
        )
        self._cut_times: list[
            int
        ] = []  # when own connections were cut off or moved, whose clients come back
        self._cost_sum, self._cost_count = 0.0, 0
        self._timers: dict[int, Callable[[int], None]] = {}
        self._next_mark = 1
        self._next_external_id = 0  # numbers placements told by others, below all logins
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
        """The settings, at the start or anew. What is known, state or timed stays; a workload's number too."""
        self._workloads, self._cancel_allowed, self._remembers_subjects = (
            workloads,
            cancel_allowed,
            memory > 0,
        )
        self._max_retry_after = max_retry_after
        self._load_reports.configure(balancers, weight_varies)
        self._probe_budget.configure(probe_price if probes_allowed else 0.0, balancers)
        self._cold_budget.configure(cold, balancers)
        most = max(workload.importance for workload in workloads)
        reserves = [
            IMPORTANCE_RESERVE * (1 - w.importance / most) if per_work and most else 0.0
            for w in workloads
        ]
        shortest = min((w.message_limit for w in workloads if w.message_limit), default=0)
        self._draw.configure(grouped, zone, crossing_price, shortest, reserves)
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
        state = LoginState(login, self._relative_load(login.cost), self._workloads[login.workload])
        self._active_logins[login.login] = state
        self._probe_budget.record_login(now, login.came_back)
        self._draw.record_group_login(login.group)
        # Those who come back beyond the own connections cut or moved lately were another balancer's.
        cut = [at for at in self._cut_times if now - at < MAX_REPORT_AGE]
        alone = self._has_predecessor or self._load_reports.mean_utilisation < HEADROOM_UTILISATION
        state.from_other_balancer = login.came_back and not cut and alone
        self._cut_times = cut[login.came_back :]
        self._place(now, state)

    def connection_resumed(self, now: int, login: Login, server: int) -> None:
        state = LoginState(login, self._relative_load(login.cost), self._workloads[login.workload])
        self._probe_budget.record_existing_connection(now)
        self._draw.record_group_login(login.group)
        attempt = Attempt(server, now)
        state.attempts.append(attempt)
        self._active_logins[login.login] = state
        self._connection_opened(state, server)

    def hand_off_started(self, now: int, login: int, attempt: int, server: int, delay: int) -> None:
        known = self._registry.servers.get(server)
        if known is not None:
            self._failures.record_success(known, login)
        state = self._active_logins.get(login)
        if state is not None and not state.is_open:
            self._connection_opened(state, server)

    def measurement_received(
        self, now: int, login: int, attempt: int, server: int, kind: MeasurementKind, value: float
    ) -> None:
        state = self._active_logins.get(login)
        if kind is MeasurementKind.DELAY and server in self._registry.servers:
            known = self._registry.servers[server]
            if not self._draw.is_delayed(now, known, EVACUATION_DELAY_FACTOR):
                known.delayed_since = now
            known.message_delay, known.message_delay_at = value, now
            holders = [s for s in self._registry.ready if s.connections]
            late = [s for s in holders if self._draw.is_delayed(now, s, EVACUATION_DELAY_FACTOR)]
            # Guards against a way that is bad for this balancer alone: a server says that it has room, its
            # messages stay late. Where nearly all are late, or the fleet is full, there is nowhere to go.
            if (
                known in late
                and len(late) <= MAX_DELAYED_FRACTION * len(holders)
                and self._load_reports.mean_utilisation < HEADROOM_UTILISATION
                and known.reported_at - known.delayed_since >= REPORT_LAG
                and (known.utilisation or 0.0) < HEADROOM_UTILISATION
            ):
                self._moves.evacuate(known, "late for this balancer alone")
            if self._load_reports.probes_subset and not self._load_reports.is_recent(now, known):
                self._probe_scheduler.probe(now, known)
        elif state is not None and kind is MeasurementKind.LOAD:
            state.load = self._relative_load(value)

    def message_unanswered(self, now: int, server: int) -> None:
        """A line on an open connection has brought nothing back: its server is not left to the next probe."""
        if (known := self._registry.servers.get(server)) is not None:
            known.delayed_since = now  # it tells of that connection alone: no others leave for it
            if not known.pending_probe_at and not self._load_reports.is_recent(now, known):
                self._probe_scheduler.probe(now, known)

    def hand_off_ended(
        self,
        now: int,
        login: int,
        closed: bool,
        server: int,
        outcome: Outcome,
        attempt: int,
        delay: int,
        report: Report | None,
    ) -> None:
        known = self._registry.servers.get(server)
        state = self._active_logins.get(login)
        if known is not None:
            if report is not None:
                self._load_reports.record(now, known, report)
            if state is not None and not state.is_open:
                self._record_outcome(now, known, login, outcome)
        if state is None:
            return
        if attempt < len(state.attempts):
            state.attempts[attempt].outcome = outcome
        if closed:
            if outcome is not Outcome.FULFILLED:
                self._cut_times.append(now)
            self._forget(state)
            return
        if known is not None:
            self._load_reports.remove_placement(known, login)
        if state.attempts[-1].outcome is not None:
            self._place(now, state)

    def login_dropped(self, now: int, login: int) -> None:
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
        self, now: int, server: int, delay: int, outcome: Outcome, report: Report | None
    ) -> None:
        if (known := self._registry.servers.get(server)) is None:
            return
        known.pending_probe_at = 0
        if outcome is Outcome.FULFILLED:
            quiet_for = now - max(known.reported_at, known.listed_at)
            if (
                known.unanswered > int(self._load_reports.probes_subset)
                and quiet_for > MAX_REPORT_AGE
            ):
                # Guards against pushing over a server that came back cold before the list says so.
                known.started_at = max(known.started_at, now)
                self._host.log(f"server {server} answers again: taken as just started")
            known.unanswered, known.reported_at = 0, now
            if report is not None:
                self._load_reports.record(now, known, report)
                self._moves.shed_load(now, known)
        elif outcome in (Outcome.TIMED_OUT, Outcome.NOT_CONNECTED, Outcome.BROKEN):
            known.unanswered += 1
            if known.unanswered < UNANSWERED_TO_EVACUATE and known.ready:
                self._probe_scheduler.probe(now, known)
            # Guards against emptying a server that is only too busy to answer: that one is given longer.
            elif known.unanswered == (
                UNANSWERED_TO_EVACUATE
                if (known.utilisation or 0.0) < OVERLOAD_UTILISATION
                else 2 * UNANSWERED_TO_EVACUATE
            ):
                self._moves.evacuate(known, "silent")
        for state in self._probe_scheduler.completed_queries(known):
            self._place(now, state)

    def servers_listed(
        self, now: int, scope: Scope, revision: int, lines: Iterable[ListedServer]
    ) -> None:
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

    def take_out_of_service(self, now: int, server: int) -> None:
        """Operators take it out, listed or not: it drains until `restore_to_service`, whatever the list says."""
        if (left := self._registry.take_out_of_service(now, server)) is not None:
            self._server_leaves(now, left, "is taken out by hand", PROBE_PERIOD)
        self._host.close_idle(server)  # its work is to end, probes with it

    def restore_to_service(self, now: int, server: int) -> None:
        if (known := self._registry.restore_to_service(now, server)) is not None:
            self._host.log(f"server {server} is put back by hand: taken as just started")
            self._probe_scheduler.servers_started(False, [known])

    def known_and_excluded_servers(self, now: int) -> tuple[int, int]:
        """How many servers are listed, and how many of them are out by operators' word or this balancer's."""
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
        """What another process of this balancer goes on from, as plain JSON; see `import_learned_state`."""
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
        """Goes on from what another process has learned, which places no logins now."""
        for number, size, started_at, spent, fails, bars, barred_until in learned["servers"]:
            if (server := self._registry.servers.get(number)) is None:
                continue
            if size is not None and server.capacity.mean is None:
                server.capacity.add(float(size))
            server.started_at = max(server.started_at, int(started_at))
            self._cold_budget.spend(now, server, float(spent))
            if fails > server.failures:
                server.failures, server.exclusion_level, server.excluded_until = (
                    int(fails),
                    int(bars),
                    int(barred_until),
                )
        for group, home in learned["homes"]:
            self._draw.last_homes.setdefault(int(group), int(home))
        for number, group in learned["open"]:
            if number in self._registry.servers:
                self._draw.reserve(self._registry.servers[number], int(group))
        self._probe_budget.import_rate(now, *learned["rate"])
        self._has_predecessor = True

    def connection_ended_elsewhere(self, now: int, server: int, load: float) -> None:
        """Own ones of another process; reports may hold them yet. Guards against clients that count twice."""
        if (known := self._registry.servers.get(server)) is not None:
            self._next_external_id -= 1
            self._load_reports.add_placement(now, known, self._next_external_id, -load, -load)

    def other_processes_ended(self) -> None:  # no other process of this balancer lives any longer
        self._draw.release_reservations()
        self._has_predecessor = False

    def set_standby(self, wanted: bool) -> None:
        """Whether another process of this balancer places its logins, with the probes and the cold budget."""
        self._cold_budget.standby = wanted
        self._probe_scheduler.configure(self._probes_allowed and not wanted)

    def draw_probabilities(self, now: int, workload: int, span: int = 0) -> dict[int, float]:
        """Each server's chance in the draw of a login of this workload that came now; empty: it is refused.

        Changes nothing. With a span (ns): the chances by which others may place all logins of that span; what
        is left to 1 is to be refused."""
        asked = self._workloads[workload]
        login = Login(0, workload, 0, 0, now + asked.time_limit, None, 0)
        return self._draw.draw_probabilities(now, LoginState(login, 1.0, asked), span)

    def placed_by_others(self, now: int, server: int, number: int, failed: int) -> None:
        """So many logins were placed there by our chances since this was last told; so many of them failed.

        They count as own placements do until a report holds them."""
        known = self._registry.servers.get(server)
        self._probe_budget.record_reported_logins(now, number)
        if known is None or not number:
            return
        self._next_external_id -= 1
        self._load_reports.add_placement(now, known, self._next_external_id, float(number))
        self._cold_budget.spend(now, known, float(max(1, number)))
        if failed >= number:
            self._failures.record_failure(now, known, 0, Outcome.ERROR)
        else:
            self._failures.record_success(known, 0)

    def peer_message_received(self, now: int, peer: int, content: bytes) -> None:
        """Nothing is said between balancers yet, so nothing is heard."""

    def timer_due(self, now: int, mark: int) -> None:
        self._timers.pop(mark, lambda at: None)(now)

    def _server_leaves(self, now: int, server: Server, why: str, over: int = 0) -> None:
        self._cut_times += [now] * int(
            server.count or 0
        )  # other balancers' clients there come back alike
        self._moves.evacuate(server, why, over)

    def _after(self, wait: int, action: Callable[[int], None]) -> None:
        mark = self._next_mark
        self._next_mark += 1
        self._timers[mark] = action
        self._host.set_timer(wait, mark)

    def _relative_load(self, cost: float | None) -> float:
        """A login's cost in connections of mean cost; 1 where nothing is told."""
        if not cost:
            return 1.0
        self._cost_sum += cost
        self._cost_count += 1
        return cost * self._cost_count / self._cost_sum

    def _place(self, now: int, state: LoginState) -> None:
        if not self._retry_policy.may_send(now, state):
            self._reject(state)
            return
        server = self._connection_holder(now, state)
        if server is None and self._load_reports.probes_subset:
            to_ask, server = self._draw.query_or_pick(
                now, state, self._retry_policy.server_filter(state)
            )
            if to_ask:
                wait = min(
                    int(QUERY_WAIT_FRACTION * state.workload.soft_limit),
                    (state.login.time_limit_at - now) // 2,
                )
                self._probe_scheduler.query_for(now, state, to_ask, wait, self._place)
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
        """The server that holds a connection whose packets now come this way, if known and ready."""
        if not state.login.mid_flow or state.attempts:
            return None
        server = self._registry.servers.get(self._server_by_subject.get(state.login.subject, 0))
        ready = server and server.ready and self._cold_budget.admits(now, server, state, self._rng)
        return server if ready else None

    def _record_outcome(self, now: int, server: Server, login: int, outcome: Outcome) -> None:
        if outcome is Outcome.FULL:
            server.full_until = now + PROBE_PERIOD // 2
        if outcome in (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.NOT_CONNECTED, Outcome.BROKEN):
            self._failures.record_failure(now, server, login, outcome)
        elif server.trial_login == login:
            server.trial_login = 0

    def _connection_opened(self, state: LoginState, server: int) -> None:
        state.is_open = True
        known = self._registry.servers.get(server)
        self._draw.count_connection(state, known, 1)
        if known is not None:
            known.connections[state.login.login] = state
            if self._remembers_subjects and state.login.subject:
                self._server_by_subject[state.login.subject] = server

    def _reject(self, state: LoginState) -> None:
        login = state.login.login
        self._forget(state)
        if self._retry_policy.may_bounce(state):
            # The client is told when to come back, spread out; it is never state to keep it away.
            retry_in = int(self._max_retry_after * self._rng.uniform(0.25, 1.0))
            self._host.bounce(login, retry_in)
        else:
            self._host.terminate(login)

    def _forget(self, state: LoginState) -> None:
        login = state.login.login
        self._active_logins.pop(login, None)
        state.pending_answers = 0
        if state.is_open:
            at = state.attempts[-1].server
            if self._cold_budget.standby:
                self._ended_load[at] = self._ended_load.get(at, 0.0) + state.load
            self._draw.count_connection(state, self._registry.servers.get(at), -1)
        for attempt in state.attempts[-1:]:
            server = self._registry.servers.get(attempt.server)
            if server is not None:
                self._load_reports.remove_placement(server, login)
                server.connections.pop(login, None)
                if server.trial_login == login:
                    server.trial_login = 0
