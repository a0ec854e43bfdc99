"""The times of probes, and the logins that wait for their answers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from corklift.interface import Host
from corklift.policy.cold_budget import ColdBudget
from corklift.policy.constants import MAX_REPORT_AGE, PROBE_PERIOD
from corklift.policy.load_reports import LoadReports
from corklift.policy.probe_budget import ProbeBudget
from corklift.policy.registry import ServerRegistry
from corklift.records import LoginState, Server

# The period for servers below LOW_UTILISATION, because every probe costs something.
RELAXED_PROBE_PERIOD = 2 * PROBE_PERIOD
LOW_UTILISATION = 0.5


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
            self._after(0, self._choose_probed_servers)
        self._allowed, self._subset_decision = allowed, self._subset_decision if allowed else None

    def servers_started(self, first_list: bool, servers: list[Server]) -> None:
        """Starts probing new or restarted servers."""
        if not self._allowed:
            return
        if first_list:
            # Deferred, because connections that were open at the start are reported right after the
            # first list and show the rate of logins.
            self._after(0, self._choose_probed_servers)
        elif not self._load_reports.probes_subset:
            self._start_probing(servers)

    def _choose_probed_servers(self, now: int) -> None:
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
        self._after(int(wait * self._rng.uniform(0.9, 1.1)), self._choose_probed_servers)

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
