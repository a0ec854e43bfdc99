"""The decisions of one balancer: each event, and the parts that answer it together."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from corklift.interface import (
    ColdRule,
    Host,
    ListedServer,
    Login,
    MeasurementKind,
    Outcome,
    Report,
    Scope,
    Status,
    Workload,
)
from corklift.policy.cold_budget import ColdBudget
from corklift.policy.constants import (
    HEADROOM_UTILISATION,
    MAX_REPORT_AGE,
    OVERLOAD_UTILISATION,
    PROBE_PERIOD,
    REPORT_LAG,
    UNANSWERED_TO_EVACUATE,
)
from corklift.policy.draw import WeightedDraw
from corklift.policy.expected_returns import ExpectedReturns
from corklift.policy.failures import FailureTracker, RetryPolicy
from corklift.policy.groups import GroupHomes
from corklift.policy.load_reports import LoadReports
from corklift.policy.mean_cost import MeanCost
from corklift.policy.moves import ConnectionMoves
from corklift.policy.probe_budget import ProbeBudget
from corklift.policy.probes import ProbeScheduler
from corklift.policy.registry import ListWatch, ServerRegistry
from corklift.records import Attempt, LoginState, Server

# The utilisation reserved for logins that bring more importance for their load, where importance is
# set per unit of work. It is withheld from a login of importance 0; the most important ones may use
# all of it, others a part in proportion to their importance.
IMPORTANCE_RESERVE = 0.1
# Connections leave a server with headroom whose message delay exceeds this multiple of the shortest
# message limit ...
EVACUATION_DELAY_FACTOR = 2.0
# ... if at most this fraction of the servers that hold own connections is delayed at the same time.
MAX_DELAYED_FRACTION = 0.75
# The fraction of the soft limit that one round of queries may take. It takes at most half of the
# time that is left, so that queries end within the time limit.
QUERY_WAIT_FRACTION = 0.25


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
        self._expects_returning_clients = False
        self._expected_returns = ExpectedReturns()
        self._mean_cost = MeanCost(now)
        self._timers: dict[int, Callable[[int], None]] = {}
        self._next_mark = 1
        # Ids of external placements; negative, so that they differ from all logins.
        self._next_external_id = 0
        self._registry = ServerRegistry()
        self._load_reports = LoadReports(self._registry)
        self._failures = FailureTracker(host, rng, self._load_reports)
        self._probe_budget = ProbeBudget(now)
        self._cold_budget = ColdBudget(self._load_reports, self._probe_budget)
        self._groups = GroupHomes(self._registry, self._load_reports)
        self._draw = WeightedDraw(
            rng, self._registry, self._load_reports, self._failures, self._cold_budget, self._groups
        )
        self._retry_policy = RetryPolicy(self._registry)
        self._moves = ConnectionMoves(
            host, rng, self._load_reports, self._groups.group_load, self._after
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
        self._failures.configure(probes_allowed)
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
        state = LoginState(
            login, self._mean_cost.relative_load(now, login.cost), self._workloads[login.workload]
        )
        self._active_logins[login.login] = state
        self._probe_budget.record_login(now, login.came_back)
        self._groups.record_group_login(login.group)
        # Each recently broken or moved connection accounts for one returning client. A further one
        # comes from another balancer. Its load then counts once, as no other balancer places it; in
        # a full fleet all load is counted as usual.
        if login.came_back and not self._expected_returns.claim(now):
            state.from_other_balancer = (
                self._expects_returning_clients
                or self._load_reports.mean_utilisation < HEADROOM_UTILISATION
            )
        self._place(now, state)

    def connection_resumed(self, now: int, login: Login, server_id: int) -> None:
        """A connection that was open before this process started is open here now."""
        state = LoginState(
            login, self._mean_cost.relative_load(now, login.cost), self._workloads[login.workload]
        )
        self._probe_budget.record_existing_connection(now)
        self._groups.record_group_login(login.group)
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
            state.load = self._mean_cost.relative_load(now, value)

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
            if outcome is Outcome.NOT_SENT:
                self._give_back(now, state)
            state.attempts[attempt].outcome = outcome
        if closed:
            if outcome is not Outcome.FULFILLED:
                self._expected_returns.expect(now, 1)
            self._forget(state)
            return
        if server is not None:
            self._load_reports.remove_placement(server, login)
        if state.attempts[-1].outcome is not None:
            self._place(now, state)

    def login_dropped(self, now: int, login: int, nothing_sent: bool = False) -> None:
        """The client has gone before its login was answered.

        `nothing_sent`: of the hand-off in progress, no byte has reached the server.
        """
        if (state := self._active_logins.get(login)) is not None:
            if nothing_sent and not state.is_open:
                self._give_back(now, state)
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
            # With subset probing, a single unanswered probe is not taken for a restart.
            tolerated = 1 if self._load_reports.probes_subset else 0
            if server.unanswered > tolerated and unreported_for > MAX_REPORT_AGE:
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
            "homes": list(self._groups.last_homes.items()),
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
            if int(group) not in self._groups.last_homes:
                self._groups.remember_home(int(group), int(home))
        for server_id, group in learned["open"]:
            if server_id in self._registry.servers:
                self._groups.reserve(self._registry.servers[server_id], int(group))
        self._probe_budget.import_rate(now, *learned["rate"])
        self._expects_returning_clients = True

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
        self._groups.release_reservations()
        self._expects_returning_clients = False

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
        self._expected_returns.expect(now, int(server.count or 0))
        self._moves.evacuate(server, reason, duration)

    def _after(self, wait: int, action: Callable[[int], None]) -> None:
        mark = self._next_mark
        self._next_mark += 1
        self._timers[mark] = action
        self._host.set_timer(wait, mark)

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

    def _give_back(self, now: int, state: LoginState) -> None:
        """Gives back what the hand-off in progress has spent of a cold server's budget."""
        for attempt in state.attempts[-1:]:
            server = self._registry.servers.get(attempt.server)
            if server is not None and attempt.outcome is None:
                self._cold_budget.give_back(now, server, max(1.0, state.load), attempt.sent_at)

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
        self._groups.count_connection(state, server, 1)
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
            self._groups.count_connection(state, self._registry.servers.get(server_id), -1)
        for attempt in state.attempts[-1:]:
            server = self._registry.servers.get(attempt.server)
            if server is not None:
                self._load_reports.remove_placement(server, login)
                server.connections.pop(login, None)
                if server.trial_login == login:
                    server.trial_login = 0
