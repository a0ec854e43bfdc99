"""The draw of a login's server: candidates and weights."""

from __future__ import annotations

from collections.abc import Callable
from itertools import product
from math import prod
from random import Random

from corklift.interface import Login
from corklift.policy.cold_budget import ColdBudget
from corklift.policy.constants import FULL_UTILISATION, HEADROOM_UTILISATION, PROBE_PERIOD
from corklift.policy.failures import FailureTracker
from corklift.policy.groups import GroupHomes, first_with_capacity, group_rank
from corklift.policy.load_reports import LoadReports
from corklift.policy.registry import ServerRegistry
from corklift.records import LoginState, Server

# A zone crossing that costs more than this fraction of a login's value is avoided while the
# balancer's own zone has headroom.
EXPENSIVE_ZONE_CROSSING = 0.01
# How long a measured message delay is valid; servers repeat it every second while it lasts.
DELAY_VALIDITY = 3 * PROBE_PERIOD // 2
# A server whose message delay exceeds this multiple of the shortest message limit has no headroom.
HEADROOM_DELAY_FACTOR = 0.5
# The utilisation that a group may add to a server that does not hold it yet.
GROUP_COST_MARGIN = 0.1
# With subset probing: how many servers are queried before a hand-off; later rounds query more.
FIRST_QUERY_SIZE = 3
# The number of the last round; rounds are counted from 0.
LAST_QUERY_ROUND = 2
# A query waits for a pending probe that was sent less than this ago; a server whose probe has been
# pending for longer is not queried.
PENDING_PROBE_REUSE = PROBE_PERIOD // 20
# With up to this many cold servers whose admission is random, all combinations of admitted servers
# are enumerated; with more, this many random combinations are sampled.
MAX_ENUMERATED_SERVERS, SAMPLED_COMBINATIONS = 6, 2000
# The remembered server orders of groups hold at most this many entries in all.
MAX_ORDER_ENTRIES = 200_000


class WeightedDraw:
    """Selects the candidates for a login and draws one of them by weight.

    Each group has home servers (`GroupHomes`), which its logins go to first.
    """

    def __init__(
        self,
        rng: Random,
        registry: ServerRegistry,
        load_reports: LoadReports,
        failures: FailureTracker,
        cold_budget: ColdBudget,
        groups: GroupHomes,
    ) -> None:
        self._rng, self._registry, self._load_reports, self._failures, self._cold_budget = (
            rng,
            registry,
            load_reports,
            failures,
            cold_budget,
        )
        self._groups = groups
        # The ready servers in each group's order, and the registry's version they were sorted for.
        # The key is (group, whether the servers of this balancer's zone come first).
        self._server_orders: dict[tuple[int, bool], list[Server]] = {}
        self._orders_version = 0
        # Until this time the fleet counts as full, and a login queries no servers beyond its homes.
        self._fleet_full_until = 0

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
        if now < server.full_until or self.is_delayed(now, server, HEADROOM_DELAY_FACTOR):
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
                    for s, admitted in zip(uncertain, combination, strict=True)
                )
                if enumerated
                else 1.0 / SAMPLED_COMBINATIONS
            )
            not_admitted = {
                s for s, admitted in zip(uncertain, combination, strict=True) if not admitted
            }
            candidates, uniform = self._candidates(
                now, state, [s for s in ready if admission[s] and s not in not_admitted]
            )
            weights = [1.0] * len(candidates) if uniform else self._weights(candidates)
            total_weight = sum(weights)
            for server, weight in zip(candidates, weights, strict=True):
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
                sorted(self._registry.ready, key=lambda s: group_rank(group, s))
                if group
                else self._rng.sample(self._registry.ready, len(self._registry.ready))
            )
            if own_zone_first:
                order.sort(key=lambda s: s.zone != self._zone)
            if group:
                self._remember_order((group, own_zone_first), order)
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
                and (
                    not server.message_delay
                    or not self.is_delayed(now, server, HEADROOM_DELAY_FACTOR)
                )
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

    def _still_candidates(self, now: int, state: LoginState) -> list[Server]:
        """Returns the login's candidates that it may still be sent to.

        While it waited for reports, a server may have begun to drain, and other logins may have
        spent a cold server's budget.
        """
        return [
            server
            for server in state.candidates
            if server.ready and self._cold_budget.admits(now, server, state, self._rng)
        ]

    def _remember_order(self, key: tuple[int, bool], order: list[Server]) -> None:
        """Remembers a group's server order; forgets the older half of all orders if needed.

        An order can be computed anew, and any client may name a group that is new.
        """
        self._server_orders[key] = order
        count = len(self._server_orders)
        if count > 1 and count * len(order) > MAX_ORDER_ENTRIES:
            self._server_orders = dict(list(self._server_orders.items())[count // 2 :])

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
        home_count = self._groups.estimated_home_count(group) if group else FIRST_QUERY_SIZE
        max_round = 1 if now < self._fleet_full_until else LAST_QUERY_ROUND
        while True:
            # Round 0 queries a few of the homes, round 1 all of them, later rounds further servers.
            further = FIRST_QUERY_SIZE << state.query_round if state.query_round > 1 else 0
            candidates = [] if further else self._still_candidates(now, state)
            if not candidates:
                state.candidates = candidates = self._ordered_candidates(
                    now, state, allowed, home_count + further
                )
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
        homes = self._groups.home_servers(group)
        selected = [s for s in with_headroom if s in homes]
        if not selected:
            others = self._with_room_for_group(
                group, [s for s in with_headroom if s not in homes], HEADROOM_UTILISATION
            )
            others.sort(key=lambda s: (-s.groups.get(group, 0), group_rank(group, s)))
            selected = first_with_capacity(others, sum(s.relative_capacity for s in homes))
        return (
            selected
            or [s for s in fresh if s in homes]
            or self._with_room_for_group(group, fresh, FULL_UTILISATION)
        )

    def _with_room_for_group(self, group: int, servers: list[Server], limit: float) -> list[Server]:
        """Servers below the limit, with a margin for the group's cost if they do not hold it."""
        return [
            s
            for s in servers
            if (self._load_reports.projected_utilisation(s) or 0.0)
            < limit - (0.0 if group in s.groups else GROUP_COST_MARGIN)
        ]
