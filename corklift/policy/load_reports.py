"""The load of each server: reports, and the placements that reports do not include yet."""

from __future__ import annotations

from corklift.interface import Report
from corklift.policy.constants import (
    FULL_UTILISATION,
    LOGIN_RATE_HALF_LIFE,
    MAX_REPORT_AGE,
    PROBE_PERIOD,
    REPORT_LAG,
)
from corklift.policy.registry import ServerRegistry
from corklift.records import Histogram, Server

# At most this many balancers, including this one, are assumed to place the same load on the same
# server at the same time.
MAX_BALANCERS_IN_STEP = 4
# A server's capacity is estimated as count / utilisation, from reports with at least this count and
# more than this utilisation.
MIN_COUNT_FOR_CAPACITY, MIN_UTILISATION_FOR_CAPACITY = 4, 0.04
# No server counts as a larger multiple of the mean capacity, or as a smaller part of it, whatever
# weights the list states.
MAX_RELATIVE_CAPACITY = 1e6


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
        if (
            server.count
            and server.utilisation
            and server.count >= MIN_COUNT_FOR_CAPACITY
            and server.utilisation > MIN_UTILISATION_FOR_CAPACITY
        ):
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
                server.relative_capacity = min(
                    MAX_RELATIVE_CAPACITY,
                    max(1 / MAX_RELATIVE_CAPACITY, server.weight / mean_weight),
                )
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
