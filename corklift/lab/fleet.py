"""Emulates a fleet in virtual time: servers, network, server list and clients of real balancers.

The emulator holds the true state: which connection is open at which server, how loaded a server
is and who can reach whom. A balancer acts through its `Host` and sees this state only in delayed
lists and old load reports. The emulator never decides a placement. docs/design/lab.md names the
source of each assumption.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import exp
from random import Random
from typing import Any

from corklift.interface import ListedServer, Login, Outcome, Report, Scope, Status
from corklift.lab.clock import MS, SECOND, Clock
from corklift.lab.policies import POLICIES
from corklift.lab.rules import RuleChecker
from corklift.lab.scenario import Disruption, Scenario

SAMPLE_INTERVAL = 500 * MS
# After a login's time limit, for an answer that is still in the network.
ANSWER_GRACE = 30 * MS
# The longest `retry_in` that a bounced client gets.
MAX_RETRY_AFTER = 1500 * MS
# For clients that back off on their own; doubled on each retry.
INITIAL_BACKOFF = 500 * MS
# A balancer that probes all servers probes each ready one at least once in this time.
MAX_PROBE_GAP = 8 * SECOND
# A group on more servers than this multiple of what its load needs counts as split.
MAX_GROUP_SPREAD = 3.0
# A planned restart spreads the moves of its clients over this time.
RESTART_MOVE_TIME = 3 * SECOND

# Wraps a balancer's policy to inject a deliberate fault.
FaultInjector = Callable[["EmulatedBalancer", Any], Any]


class EmulatedServer:
    """The true state of one server."""

    def __init__(self, number: int, zone: int, cell: int, size: float) -> None:
        self.number, self.zone, self.cell, self.size = number, zone, cell, size
        self.status = Status.READY
        self.started_at = 0
        self.connections: dict[int, EmulatedConnection] = {}
        self.pending_setups = 0
        # The sum over its connections, in units of the mean cost.
        self.total_cost = 0.0
        # A factor of the load that changes randomly around 1.
        self.wave = 1.0
        self.slowdown = 1.0
        self.silent = self.returns_errors = False
        self.up = True
        self.fallen_until = 0
        # The cost of the set-ups not yet worked off during warm-up, and when it was computed.
        self.queued_setups, self.queued_at = 0.0, 0
        # Time, connection count and utilisation, from which delayed reports are taken.
        self.load_history: list[tuple[int, int, float]] = []

    def capacity_share(self, now: int, scenario: Scenario) -> float:
        """Returns the share of its capacity that is available during warm-up, 1 afterwards."""
        ramp = scenario.servers.ramp_ms * MS
        if not self.started_at or not ramp or now - self.started_at >= ramp:
            return 1.0
        start = scenario.servers.start_share
        return start + (1.0 - start) * (now - self.started_at) / ramp

    def utilisation(self, now: int, scenario: Scenario) -> float:
        return (
            self.total_cost
            * self.wave
            * self.slowdown
            / (self.size * self.capacity_share(now, scenario))
        )


class Arrival:
    """A client's request for a connection, which may take several logins."""

    __slots__ = (
        "workload",
        "requested_at",
        "cost",
        "group",
        "subject",
        "try_count",
        "answered",
        "came_back",
        "hold_time",
        "measured",
    )

    def __init__(
        self,
        workload: int,
        requested_at: int,
        cost: float,
        group: int,
        subject: int,
        hold_time: int,
        measured: bool,
    ) -> None:
        self.workload, self.requested_at, self.cost, self.group, self.subject = (
            workload,
            requested_at,
            cost,
            group,
            subject,
        )
        self.try_count, self.answered, self.came_back, self.hold_time, self.measured = (
            0,
            False,
            False,
            hold_time,
            measured,
        )


class EmulatedConnection:
    """An open connection between a client and a server."""

    __slots__ = ("number", "server", "balancer", "login", "arrival", "ends_at")

    def __init__(
        self,
        number: int,
        server: EmulatedServer,
        balancer: EmulatedBalancer,
        login: int,
        arrival: Arrival,
        ends_at: int,
    ) -> None:
        self.number, self.server, self.balancer, self.login, self.arrival, self.ends_at = (
            number,
            server,
            balancer,
            login,
            arrival,
            ends_at,
        )


class EmulatedLogin:
    """A login at a balancer, kept until it is refused or its connection ends."""

    __slots__ = ("request", "arrival", "hand_offs", "ended_hand_offs", "connection", "opened")

    def __init__(self, request: Login, arrival: Arrival) -> None:
        self.request, self.arrival = request, arrival
        # Server and start time of each hand-off.
        self.hand_offs: list[tuple[EmulatedServer, int]] = []
        # Numbers of the hand-offs whose outcome the balancer has received.
        self.ended_hand_offs: set[int] = set()
        self.connection: EmulatedConnection | None = None
        # Whether the balancer knows that the connection is open.
        self.opened = False


class EmulatedBalancer:
    """The `Host` of one balancer process."""

    def __init__(self, fleet: Fleet, number: int, zone: int) -> None:
        self.fleet, self.number, self.zone = fleet, number, zone
        # Events for an earlier process of this balancer are ignored.
        self.start_count = 0
        self.alive = False
        self.logins: dict[int, EmulatedLogin] = {}
        self.policy: Any = None
        self.listed: dict[int, ListedServer] = {}
        self.probed_at: dict[int, int] = {}
        self.started_at = 0
        self.revision = 0

    def start(self) -> None:
        fleet = self.fleet
        self.start_count += 1
        self.alive, self.logins, self.started_at = True, {}, fleet.clock.now
        self.listed, self.probed_at = {}, {}
        self.policy = fleet.make_policy(self)
        start_count = self.start_count
        fleet.clock.call_later(
            10 * MS,
            lambda: (
                self.start_count == start_count and self.receive_list(fleet.listed_servers(), True)
            ),
        )

    # Input from the fleet

    def receive_list(self, servers: list[ListedServer], is_full: bool) -> None:
        if not self.alive:
            return
        now, rules = self.fleet.clock.now, self.fleet.rules
        self.revision += 1
        for server in servers:
            self.listed[server.server] = server
            if server.status is Status.READY:
                rules.ready_announced(self.number, server.server)
            else:
                rules.drain_announced(now, self.number, server.server)
        self.policy.servers_listed(
            now, Scope.FULL if is_full else Scope.DELTA, self.revision, tuple(servers)
        )

    def accept_arrival(self, arrival: Arrival) -> None:
        fleet, now = self.fleet, self.fleet.clock.now
        login_id = fleet.next_login_id()
        workload = fleet.workloads[arrival.workload]
        request = Login(
            login_id,
            arrival.workload,
            0,
            arrival.subject,
            now + workload.time_limit,
            None,
            arrival.group,
            came_back=arrival.came_back,
        )
        self.logins[login_id] = EmulatedLogin(request, arrival)
        fleet.rules.login_arrived(now, self.number, request, workload)
        self.policy.login_arrived(now, request)

    # Implementation of Host

    def hand_off(self, login: int, server: int, cut_at: int) -> None:
        fleet, now = self.fleet, self.fleet.clock.now
        fleet.rules.hand_off_sent(now, self.number, login, server, fleet.cells)
        fleet.clock.record_event("send", self.number, login, server)
        login_state = self.logins.get(login)
        target = fleet.servers.get(server)
        if login_state is None or target is None:
            return
        attempt = len(login_state.hand_offs)
        login_state.hand_offs.append((target, now))
        cut_at = min(cut_at or login_state.request.time_limit_at, login_state.request.time_limit_at)
        fleet.deliver(self, login_state, target, attempt, cut_at)

    def cancel(self, login: int, attempt: int) -> None:
        self.fleet.clock.record_event("cancel", self.number, login)

    def bounce(self, login: int, retry_in: int) -> None:
        self._refuse(login, "bounced", retry_in)

    def terminate(self, login: int) -> None:
        self._refuse(login, "terminated", 0)

    def _refuse(self, login: int, answer: str, retry_in: int) -> None:
        fleet, now = self.fleet, self.fleet.clock.now
        fleet.rules.login_answered(now, self.number, login, answer)
        fleet.clock.record_event(answer, self.number, login)
        login_state = self.logins.pop(login, None)
        if login_state is None:
            return
        fleet.rules.login_done(self.number, login)
        fleet.tally[answer] += 1
        fleet.clock.call_later(
            fleet.delay(self.zone, self.zone),
            fleet.login_refused,
            login_state.arrival,
            retry_in,
            answer,
        )

    def move(self, login: int) -> None:
        login_state = self.logins.get(login)
        if login_state is not None and login_state.connection is not None:
            self.fleet.clock.record_event("move", self.number, login)
            self.fleet.tally["moved"] += 1
            self.fleet.end_connection(
                login_state.connection, Outcome.CANCELLED, client_returns=True
            )

    def probe(self, server: int) -> None:
        self.probed_at[server] = self.fleet.clock.now
        self.fleet.probe(self, server)

    def close_idle(self, server: int) -> None:
        pass

    def set_timer(self, after: int, mark: int) -> None:
        start_count, clock = self.start_count, self.fleet.clock
        # A timer that is already due runs 1 ns later, never within the call that set it.
        clock.call_later(
            max(1, after),
            lambda: (
                self.alive
                and self.start_count == start_count
                and self.policy.timer_due(clock.now, mark)
            ),
        )

    def watch_list(self, wanted: bool) -> None:
        pass

    def fetch_list(self) -> None:
        pass

    def send_to_peer(self, peer: int | None, content: bytes) -> None:
        pass

    def log(self, text: str) -> None:
        self.fleet.rules.record_step(self.fleet.clock.now, f"balancer {self.number}: {text}")


class Fleet:
    """One run: a scenario, the policy of its balancers, and a seed."""

    def __init__(
        self, scenario: Scenario, policy: str, seed: int, inject_fault: FaultInjector | None = None
    ) -> None:
        self.scenario, self.policy_name, self.seed, self.inject_fault = (
            scenario,
            policy,
            seed,
            inject_fault,
        )
        # Drives clients and disruptions, so that policies with the same seed meet similar events.
        self.rng = Random(seed)
        self.clock = Clock()
        self.rules = RuleChecker(self.clock.started_at)
        self.workloads = scenario.decisions()
        self.tally: Counter[str] = Counter()
        self.answer_quality = self.answer_weight = 0.0
        self.on_time = self.sampled_connections = 0.0
        # Time in seconds, utilisation of each server, mean answer quality since the last sample.
        self.samples: list[tuple[float, list[float], float]] = []
        self._recent_quality = self._recent_weight = 0.0
        self._last_login_id = self._last_connection_id = 0
        self._store_free_at = 0
        self._extra_loss = 0.0
        self._partitioned_zones: set[int] = set()
        self._list_suspended = scenario.lists.silent
        self._rate_factor = 1.0
        # Seconds until each arrival had its final answer, after the warm-up.
        self.latencies: list[float] = []
        self._build()

    def _build(self) -> None:
        config = self.scenario.servers
        factors = [config.spread ** (self.rng.random() - 0.5) for _ in range(config.number)]
        mean = sum(factors) / len(factors)
        self.servers = {
            index + 1: EmulatedServer(
                index + 1, index % config.zones, index % config.cells, config.size * factor / mean
            )
            for index, factor in enumerate(factors)
        }
        self.cells = {server.number: (server.zone, server.cell) for server in self.servers.values()}
        self.balancers = [
            EmulatedBalancer(self, index, index % config.zones)
            for index in range(self.scenario.balancers.number)
        ]
        for balancer in self.balancers:
            balancer.start()
        for index, workload in enumerate(self.scenario.workloads):
            # Connections that are open from the start shorten the time to a steady state.
            for _ in range(int(self.scenario.standing * workload.rate * workload.hold_s)):
                self.clock.call_later(
                    int(self.rng.random() * 2 * SECOND), self._standing_client_arrives, index
                )
            self.clock.call_later(
                int(self.rng.expovariate(workload.rate) * SECOND), self._client_arrives, index
            )
        self.clock.call_later(SAMPLE_INTERVAL, self._take_sample)
        for disruption in self.scenario.troubles:
            self.clock.call_later(int(disruption.at_s * SECOND), self._start_disruption, disruption)

    def make_policy(self, balancer: EmulatedBalancer) -> Any:
        """Creates the policy of a newly started balancer."""
        scenario = self.scenario
        rng = Random(f"{self.seed}/{balancer.number}/{balancer.start_count}")
        policy = POLICIES[self.policy_name](
            balancer,
            rng,
            now=self.clock.now,
            true_utilisation=self._true_utilisation,
            zone=balancer.zone,
            balancers=scenario.balancers.number,
            workloads=self.workloads,
            per_work=False,
            cold=scenario.cold_rule(),
            max_hand_offs=scenario.balancers.max_hand_offs,
            cancel_allowed=True,
            max_retry_after=MAX_RETRY_AFTER,
            probes_allowed=True,
            ask_for_list=False,
            ask_within=10 * SECOND,
            grouped=any(workload.groups for workload in scenario.workloads),
            weight_varies=False,
            memory=0,
            crossing_price=0.0,
            probe_price=0.0,
        )
        return self.inject_fault(balancer, policy) if self.inject_fault else policy

    def run(self) -> None:
        end = self.clock.started_at + int(self.scenario.seconds * SECOND)
        self.clock.run_until(end)
        self.rules.check_overdue(end, ANSWER_GRACE)

    def design_violations(self) -> dict[str, str]:
        """Checks what the design promises beyond the four rules.

        Each ready server is probed, ended connections are no longer counted, groups stay together.
        """
        violations = {}
        now = self.clock.now
        for balancer in self.balancers:
            if not balancer.alive or now - balancer.started_at < MAX_PROBE_GAP:
                continue
            probes_subset = getattr(
                getattr(balancer.policy, "_load_reports", None), "probes_subset", True
            )
            for listed in balancer.listed.values():
                last_contact = balancer.probed_at.get(listed.server, balancer.started_at)
                if (
                    not probes_subset
                    and listed.status is Status.READY
                    and now - max(last_contact, listed.started_at) > MAX_PROBE_GAP
                ):
                    violations["probing"] = (
                        f"balancer {balancer.number} has not probed server {listed.server} "
                        f"for {(now - last_contact) / SECOND:.1f} s"
                    )
            active_logins = getattr(balancer.policy, "_active_logins", None)
            if active_logins is not None and len(active_logins) > len(
                balancer.logins
            ) + 5 + 0.05 * len(balancer.logins):
                violations["counts"] = (
                    f"balancer {balancer.number} counts {len(active_logins)} connections, "
                    f"{len(balancer.logins)} are open"
                )
        spread = self.group_spread()
        if spread > MAX_GROUP_SPREAD:
            violations["groups"] = (
                f"a group is spread over {spread:.1f} times the servers that its load needs"
            )
        return violations

    def group_spread(self) -> float:
        """Returns the servers used by a group over those that its load needs.

        This is the mean over all groups with at least 5 connections; 0 without any.
        """
        servers_by_group: dict[int, set[int]] = {}
        connections_by_group: Counter[int] = Counter()
        for server in self.servers.values():
            for connection in server.connections.values():
                if connection.arrival.group:
                    servers_by_group.setdefault(connection.arrival.group, set()).add(server.number)
                    connections_by_group[connection.arrival.group] += 1
        total = sum(connections_by_group.values())
        spreads = [
            len(servers_by_group[group])
            / (1.0 + connections_by_group[group] / total * len(self.servers))
            for group in servers_by_group
            if connections_by_group[group] >= 5
        ]
        return sum(spreads) / len(spreads) if spreads else 0.0

    # True state

    def _true_utilisation(self, server: int) -> float:
        target = self.servers[server]
        if not target.up or target.silent or target.returns_errors:
            return 1e9
        return (
            target.utilisation(self.clock.now, self.scenario) + target.pending_setups / target.size
        )

    def listed_servers(self) -> list[ListedServer]:
        return [self._listed_server(server) for server in self.servers.values()]

    @staticmethod
    def _listed_server(server: EmulatedServer) -> ListedServer:
        return ListedServer(
            server.number, server.zone, 0, server.cell, server.status, 1.0, server.started_at
        )

    def next_login_id(self) -> int:
        self._last_login_id += 1
        return self._last_login_id

    def delay(self, from_zone: int, to_zone: int) -> int:
        net = self.scenario.net
        mean = net.delay_ms if from_zone == to_zone else net.between_zones_ms
        return int(mean * MS * (0.5 + self.rng.expovariate(2.0)))

    def _message_lost(self, from_zone: int, to_zone: int) -> bool:
        """Decides whether one message is lost; the two directions are independent."""
        if from_zone != to_zone and from_zone in self._partitioned_zones:
            return True
        loss = self.scenario.net.loss + self._extra_loss
        return loss > 0 and self.rng.random() < loss

    def _measuring(self) -> bool:
        """Whether the warm-up, which does not count in the results, is over."""
        return self.clock.now - self.clock.started_at >= self.scenario.warm_s * SECOND

    # Clients

    def _client_arrives(self, workload: int) -> None:
        config = self.scenario.workloads[workload]
        self.clock.call_later(
            int(self.rng.expovariate(config.rate * self._rate_factor) * SECOND),
            self._client_arrives,
            workload,
        )
        self._dispatch(self._new_arrival(workload, self._measuring()))

    def _standing_client_arrives(self, workload: int) -> None:
        self._dispatch(self._new_arrival(workload, False))

    def _new_arrival(self, workload: int, measured: bool) -> Arrival:
        config = self.scenario.workloads[workload]
        sigma = 0.0 if config.cost_spread <= 1 else config.cost_spread**0.5 - 1
        cost = self.rng.lognormvariate(-sigma * sigma / 2, sigma) if sigma else 1.0
        group = 1 + int(config.groups * self.rng.random() ** 2) if config.groups else 0
        return Arrival(
            workload,
            self.clock.now,
            cost,
            group,
            self.rng.getrandbits(48) | 1,
            int(self.rng.expovariate(1 / config.hold_s) * SECOND),
            measured,
        )

    def _dispatch(self, arrival: Arrival) -> None:
        """Sends a client to a random balancer that is up."""
        alive = [balancer for balancer in self.balancers if balancer.alive]
        arrival.try_count += 1
        if not alive:
            self.clock.call_later(200 * MS, self._retry, arrival)
            return
        self.rng.choice(alive).accept_arrival(arrival)

    def _retry(self, arrival: Arrival) -> None:
        config = self.scenario.workloads[arrival.workload]
        if arrival.try_count < config.tries:
            self._dispatch(arrival)
        else:
            self._record_answer(arrival, 0.0)

    def login_refused(self, arrival: Arrival, retry_in: int, answer: str) -> None:
        config = self.scenario.workloads[arrival.workload]
        if answer == "terminated":
            self._record_answer(arrival, 0.0)
            return
        if config.retry == "told":
            wait = retry_in
        elif config.retry == "back-off":
            wait = int(INITIAL_BACKOFF * 2 ** min(arrival.try_count, 6) * self.rng.random())
        else:
            wait = 20 * MS
        self.clock.call_later(wait, self._retry, arrival)

    def _record_answer(self, arrival: Arrival, quality: float) -> None:
        """Records the final answer of an arrival.

        The quality is 1 up to the soft limit, falls to 0 at the time limit, and is 0 for a failure.
        """
        if arrival.answered:
            return
        arrival.answered = True
        if arrival.measured:
            weight = self.workloads[arrival.workload].importance
            self.answer_quality += weight * quality
            self.answer_weight += weight
            self._recent_quality += weight * quality
            self._recent_weight += weight
            self.latencies.append((self.clock.now - arrival.requested_at) / SECOND)

    # Hand-offs

    def deliver(
        self,
        balancer: EmulatedBalancer,
        login_state: EmulatedLogin,
        server: EmulatedServer,
        attempt: int,
        cut_at: int,
    ) -> None:
        """Sends a hand-off to a server and schedules its outcome."""
        now, clock, start_count = self.clock.now, self.clock, balancer.start_count
        one_way_delay = self.delay(balancer.zone, server.zone)
        connect_by = min(cut_at, now + int(self.scenario.balancers.connect_ms * MS))

        def report_failure(outcome: Outcome, reported_at: int) -> None:
            clock.call_at(
                reported_at,
                self._hand_off_failed,
                balancer,
                start_count,
                login_state,
                server,
                attempt,
                outcome,
            )

        if (
            not server.up
            or server.silent
            or self._message_lost(balancer.zone, server.zone)
            or self._message_lost(server.zone, balancer.zone)
        ):
            if server.status is Status.GONE and not server.up and not server.silent:
                # The machine refuses the connection immediately.
                report_failure(Outcome.NOT_CONNECTED, min(connect_by, now + 2 * one_way_delay))
            else:
                report_failure(Outcome.NOT_CONNECTED, connect_by)
            return
        if server.returns_errors:
            report_failure(Outcome.ERROR, min(cut_at, now + 2 * one_way_delay))
            return
        if (
            len(server.connections) + server.pending_setups
            >= self.scenario.servers.cap * server.size
        ):
            report_failure(Outcome.FULL, min(cut_at, now + 2 * one_way_delay))
            return
        server.pending_setups += 1
        # The server shares its time among its work: the mean set-up time grows as 1/(1 - load).
        load = min(0.95, server.utilisation(now, self.scenario))
        setup_time = int(
            self.scenario.servers.setup_ms
            * MS
            * server.slowdown
            / (1 - load)
            * self.rng.expovariate(1.0)
        )
        starts_at = now + one_way_delay
        if self.scenario.store.rate:
            self._store_free_at = max(self._store_free_at, starts_at) + int(
                SECOND / self.scenario.store.rate
            )
            starts_at = self._store_free_at
        finishes_at = starts_at + setup_time
        if finishes_at + one_way_delay > cut_at:
            report_failure(Outcome.TIMED_OUT, cut_at)
            clock.call_at(finishes_at, self._setup_abandoned, server)
            return
        clock.call_at(
            finishes_at,
            self._setup_finished,
            balancer,
            start_count,
            login_state,
            server,
            attempt,
            one_way_delay,
        )

    @staticmethod
    def _setup_abandoned(server: EmulatedServer) -> None:
        server.pending_setups = max(0, server.pending_setups - 1)

    def _hand_off_failed(
        self,
        balancer: EmulatedBalancer,
        start_count: int,
        login_state: EmulatedLogin,
        server: EmulatedServer,
        attempt: int,
        outcome: Outcome,
    ) -> None:
        login_id = login_state.request.login
        if (
            balancer.start_count != start_count
            or not balancer.alive
            or attempt in login_state.ended_hand_offs
            or balancer.logins.get(login_id) is not login_state
        ):
            return
        login_state.ended_hand_offs.add(attempt)
        now = self.clock.now
        self.tally[f"hand-offs {outcome.value}"] += 1
        self.rules.hand_off_failed(now, balancer.number, login_id, attempt, outcome)
        balancer.policy.hand_off_ended(
            now,
            login_id,
            False,
            server.number,
            outcome,
            attempt,
            now - login_state.hand_offs[attempt][1],
            None,
        )

    def _setup_finished(
        self,
        balancer: EmulatedBalancer,
        start_count: int,
        login_state: EmulatedLogin,
        server: EmulatedServer,
        attempt: int,
        return_delay: int,
    ) -> None:
        server.pending_setups = max(0, server.pending_setups - 1)
        login_id = login_state.request.login
        if (
            balancer.start_count != start_count
            or not balancer.alive
            or attempt in login_state.ended_hand_offs
            or balancer.logins.get(login_id) is not login_state
        ):
            return
        if not server.up:
            self.clock.call_later(
                return_delay,
                self._hand_off_failed,
                balancer,
                start_count,
                login_state,
                server,
                attempt,
                Outcome.BROKEN,
            )
            return
        now = self.clock.now
        if not self._accepts_setup(server, login_state.arrival.cost):
            self.clock.call_later(
                return_delay,
                self._hand_off_failed,
                balancer,
                start_count,
                login_state,
                server,
                attempt,
                Outcome.BROKEN,
            )
            return
        self._last_connection_id += 1
        connection = login_state.connection = EmulatedConnection(
            self._last_connection_id,
            server,
            balancer,
            login_id,
            login_state.arrival,
            now + login_state.arrival.hold_time,
        )
        server.connections[connection.number] = connection
        server.total_cost += login_state.arrival.cost
        self.clock.call_at(connection.ends_at, self._connection_expired, connection)
        self.clock.call_later(
            return_delay,
            self._connection_opened,
            balancer,
            start_count,
            login_state,
            server,
            attempt,
        )

    def _connection_opened(
        self,
        balancer: EmulatedBalancer,
        start_count: int,
        login_state: EmulatedLogin,
        server: EmulatedServer,
        attempt: int,
    ) -> None:
        login_id, now = login_state.request.login, self.clock.now
        if (
            balancer.start_count != start_count
            or not balancer.alive
            or attempt in login_state.ended_hand_offs
            or balancer.logins.get(login_id) is not login_state
            or login_state.connection is None
        ):
            return
        login_state.ended_hand_offs.add(attempt)
        login_state.opened = True
        self.rules.login_answered(now, balancer.number, login_id, "fulfilled")
        self.clock.record_event("open", balancer.number, login_id, server.number)
        self.tally["fulfilled"] += 1
        arrival, workload = login_state.arrival, self.workloads[login_state.arrival.workload]
        waiting_time = now - arrival.requested_at
        lateness = max(0, waiting_time - workload.soft_limit) / max(
            1, workload.time_limit - workload.soft_limit
        )
        self._record_answer(arrival, max(0.0, 1.0 - lateness))
        balancer.policy.hand_off_started(
            now, login_id, attempt, server.number, now - login_state.hand_offs[attempt][1]
        )

    def _accepts_setup(self, server: EmulatedServer, cost: float) -> bool:
        """Adds a set-up to the queue of a warming-up server; False if the server fails under it.

        Set-ups are worked off at `multiple` times the rate at which the server warms up (its size
        over the ramp time, scaled by the available share). The server fails when the queue exceeds
        one second of this work.
        """
        now, config = self.clock.now, self.scenario.servers
        capacity_share = server.capacity_share(now, self.scenario)
        if capacity_share >= 1.0:
            return True
        setup_rate = (
            config.multiple * capacity_share * server.size * SECOND / max(1, config.ramp_ms * MS)
        )
        server.queued_setups = (
            max(0.0, server.queued_setups - setup_rate * (now - server.queued_at) / SECOND) + cost
        )
        server.queued_at = now
        if server.queued_setups > max(setup_rate, 4.0) and server.up:
            self.rules.cold_server_failed(
                now,
                server.number,
                f"{server.queued_setups:.1f} set-ups queued during warm-up, "
                f"it can do {setup_rate:.1f} a second",
            )
            self.clock.record_event("fell", server.number)
            self._stop_server(server)
            self.clock.call_later(config.fallen_ms * MS, self._start_server, server)
            return False
        return True

    # Connections

    def _connection_expired(self, connection: EmulatedConnection) -> None:
        if connection.number in connection.server.connections:
            self.end_connection(connection, Outcome.FULFILLED, client_returns=False)

    def end_connection(
        self, connection: EmulatedConnection, outcome: Outcome, client_returns: bool
    ) -> None:
        """Ends a connection; the client returns if asked to and its hold time is not over."""
        server, balancer, now = connection.server, connection.balancer, self.clock.now
        if server.connections.pop(connection.number, None) is None:
            return
        server.total_cost = max(0.0, server.total_cost - connection.arrival.cost)
        login_state = balancer.logins.get(connection.login)
        if (
            login_state is not None
            and login_state.connection is connection
            and not login_state.opened
        ):
            # The balancer did not know yet that it was open, so it sees a failed hand-off.
            login_state.connection = None
            self.clock.call_later(
                self.delay(balancer.zone, server.zone),
                self._hand_off_failed,
                balancer,
                balancer.start_count,
                login_state,
                server,
                len(login_state.hand_offs) - 1,
                Outcome.BROKEN,
            )
            return
        if login_state is not None and login_state.connection is connection:
            del balancer.logins[connection.login]
            attempt = len(login_state.hand_offs) - 1
            self.clock.record_event("end", balancer.number, connection.login)
            if balancer.alive:
                self.rules.login_done(balancer.number, connection.login)
                self.clock.call_later(
                    self.delay(balancer.zone, server.zone),
                    self._report_end,
                    balancer,
                    balancer.start_count,
                    connection.login,
                    server,
                    outcome,
                    attempt,
                )
        if client_returns and connection.ends_at > now:
            arrival = connection.arrival
            returning = Arrival(
                arrival.workload,
                now,
                arrival.cost,
                arrival.group,
                arrival.subject,
                connection.ends_at - now,
                self._measuring(),
            )
            returning.came_back = True
            self.clock.call_later(int(self.rng.uniform(20, 400) * MS), self._dispatch, returning)

    def _report_end(
        self,
        balancer: EmulatedBalancer,
        start_count: int,
        login: int,
        server: EmulatedServer,
        outcome: Outcome,
        attempt: int,
    ) -> None:
        if balancer.alive and balancer.start_count == start_count:
            balancer.policy.hand_off_ended(
                self.clock.now, login, True, server.number, outcome, attempt, 0, None
            )

    # Probes

    def probe(self, balancer: EmulatedBalancer, server: int) -> None:
        now, start_count, target = self.clock.now, balancer.start_count, self.servers.get(server)
        wait = int(self.scenario.balancers.connect_ms * 1.25 * MS)
        self.tally["probes"] += 1
        if (
            target is None
            or not target.up
            or target.silent
            or self._message_lost(balancer.zone, target.zone)
            or self._message_lost(target.zone, balancer.zone)
        ):
            self.clock.call_later(
                wait,
                self._probe_answered,
                balancer,
                start_count,
                server,
                Outcome.NOT_CONNECTED,
                None,
                now,
            )
            return
        self.clock.call_later(
            2 * self.delay(balancer.zone, target.zone),
            self._probe_answered,
            balancer,
            start_count,
            server,
            Outcome.FULFILLED,
            self._load_report(target),
            now,
        )

    def _load_report(self, server: EmulatedServer) -> Report:
        """Returns a load report: the state `lag_ms` ago, with noise on the utilisation."""
        reported_at = self.clock.now - int(self.scenario.reports.lag_ms * MS)
        count, utilisation = (
            len(server.connections),
            server.utilisation(self.clock.now, self.scenario),
        )
        for sampled_at, old_count, old_utilisation in reversed(server.load_history):
            if sampled_at <= reported_at:
                count, utilisation = old_count, old_utilisation
                break
        noise = 1.0 + self.scenario.reports.noise * self.rng.uniform(-1, 1)
        return Report(float(count), utilisation * noise, min(1.0, utilisation * noise))

    def _probe_answered(
        self,
        balancer: EmulatedBalancer,
        start_count: int,
        server: int,
        outcome: Outcome,
        report: Report | None,
        started_at: int,
    ) -> None:
        if balancer.alive and balancer.start_count == start_count:
            balancer.policy.probe_answered(
                self.clock.now, server, self.clock.now - started_at, outcome, report
            )

    # Server list

    def _list_changed(self, server: EmulatedServer) -> None:
        """Sends the change to each balancer after a random delay of its own.

        While discovery is silent, changes wait until it answers again.
        """
        entry = self._listed_server(server)
        for balancer in self.balancers:
            lag = int(self.scenario.lists.lag_ms * MS * self.rng.uniform(0.2, 1.8))
            self.clock.call_later(
                lag, self._list_change_arrives, balancer, balancer.start_count, entry
            )

    def _list_change_arrives(
        self, balancer: EmulatedBalancer, start_count: int, entry: ListedServer
    ) -> None:
        if self._list_suspended:
            self.clock.call_later(250 * MS, self._list_change_arrives, balancer, start_count, entry)
        elif balancer.alive and balancer.start_count == start_count:
            known = balancer.listed.get(entry.server)
            # An update that a later one has overtaken is ignored.
            if known is None or self.servers[entry.server].status == entry.status:
                balancer.receive_list([entry], False)

    # Server lifecycle

    def _stop_server(self, server: EmulatedServer) -> None:
        server.up = False
        for connection in list(server.connections.values()):
            self.end_connection(connection, Outcome.BROKEN, client_returns=True)
        server.total_cost, server.pending_setups = 0.0, 0

    def _start_server(self, server: EmulatedServer) -> None:
        server.up, server.started_at, server.status = True, self.clock.now, Status.READY
        server.queued_setups = 0.0
        server.load_history.clear()
        self._list_changed(server)

    def _drain_server(self, server: EmulatedServer, restart_after: int) -> None:
        if server.status is not Status.READY or not server.up:
            return
        server.status = Status.DRAINING
        self._list_changed(server)
        self.clock.call_later(restart_after, self._drain_finished, server)

    def _drain_finished(self, server: EmulatedServer) -> None:
        server.status = Status.GONE
        self._list_changed(server)
        self._stop_server(server)
        self.clock.call_later(SECOND, self._start_server, server)

    # Disruptions: `_KIND_comes` is called by the name of the kind

    def _choose_servers(self, fraction: float) -> list[EmulatedServer]:
        """Returns a random fraction of the ready servers, at least one if there is any."""
        ready = [
            server
            for server in self.servers.values()
            if server.up and server.status is Status.READY
        ]
        return self.rng.sample(ready, min(len(ready), max(1, round(fraction * len(ready)))))

    def _start_disruption(self, disruption: Disruption) -> None:
        self.rules.record_step(self.clock.now, f"trouble: {disruption.kind}")
        self.clock.record_event("trouble " + disruption.kind)
        duration = int(disruption.for_s * SECOND)
        getattr(self, "_" + disruption.kind.replace(" ", "_") + "_comes")(disruption, duration)

    def _drain_comes(self, disruption: Disruption, duration: int) -> None:
        for server in self._choose_servers(disruption.part):
            self._drain_server(server, duration)

    def _release_comes(self, disruption: Disruption, duration: int) -> None:
        """Restarts the chosen servers one after the other."""
        servers = self._choose_servers(disruption.part)
        for index, server in enumerate(servers):
            self.clock.call_later(
                index * duration // len(servers),
                self._drain_server,
                server,
                min(3 * SECOND, duration // len(servers) + SECOND),
            )

    def _vanish_comes(self, disruption: Disruption, duration: int) -> None:
        for server in self._choose_servers(disruption.part):
            self._stop_server(server)
            self.clock.call_later(duration, self._start_server, server)

    def _silent_server_comes(self, disruption: Disruption, duration: int) -> None:
        for server in self._choose_servers(disruption.part):
            server.silent = True
            self.clock.call_later(duration, setattr, server, "silent", False)

    def _slow_comes(self, disruption: Disruption, duration: int) -> None:
        for server in self._choose_servers(disruption.part):
            server.slowdown = disruption.factor
            self.clock.call_later(duration, setattr, server, "slowdown", 1.0)

    def _fast_errors_comes(self, disruption: Disruption, duration: int) -> None:
        for server in self._choose_servers(disruption.part):
            server.returns_errors = True
            self.clock.call_later(duration, setattr, server, "returns_errors", False)

    def _zone_loss_comes(self, disruption: Disruption, duration: int) -> None:
        zone = self.rng.randrange(self.scenario.servers.zones)
        for server in self.servers.values():
            if server.zone == zone and server.up:
                self._stop_server(server)
                self.clock.call_later(duration, self._start_server, server)

    def _balancer_killed_comes(self, disruption: Disruption, duration: int) -> None:
        alive = [balancer for balancer in self.balancers if balancer.alive]
        for balancer in self.rng.sample(
            alive, min(len(alive), max(1, round(disruption.part * len(alive))))
        ):
            self._kill_balancer(balancer)
            self.clock.call_later(duration, balancer.start)

    def _kill_balancer(self, balancer: EmulatedBalancer) -> None:
        balancer.alive = False
        for login_id, login_state in list(balancer.logins.items()):
            self.rules.login_abandoned(self.clock.now, balancer.number, login_id)
            if login_state.connection is not None:
                self.end_connection(login_state.connection, Outcome.BROKEN, client_returns=True)
            else:
                login_state.arrival.came_back = True
                self.clock.call_later(
                    int(self.rng.uniform(20, 400) * MS), self._retry, login_state.arrival
                )
        balancer.logins = {}

    def _balancer_restart_comes(self, disruption: Disruption, duration: int) -> None:
        """A planned restart: the clients are moved first, over RESTART_MOVE_TIME."""
        alive = [balancer for balancer in self.balancers if balancer.alive]
        for balancer in self.rng.sample(
            alive, min(len(alive), max(1, round(disruption.part * len(alive))))
        ):
            for login_id in list(balancer.logins):
                self.clock.call_later(
                    int(self.rng.random() * RESTART_MOVE_TIME), balancer.move, login_id
                )
            self.clock.call_later(RESTART_MOVE_TIME, self._kill_balancer, balancer)
            self.clock.call_later(RESTART_MOVE_TIME + duration, balancer.start)

    def _client_drop_comes(self, disruption: Disruption, duration: int) -> None:
        """Ends a fraction of all connections at once, as when a carrier's link breaks."""
        connections = [
            connection
            for server in self.servers.values()
            for connection in server.connections.values()
        ]
        for connection in self.rng.sample(connections, round(disruption.part * len(connections))):
            self.end_connection(connection, Outcome.BROKEN, client_returns=True)

    def _list_silent_comes(self, disruption: Disruption, duration: int) -> None:
        self._list_suspended = True
        self.clock.call_later(duration, setattr, self, "_list_suspended", False)

    def _partition_comes(self, disruption: Disruption, duration: int) -> None:
        self._partitioned_zones = {self.rng.randrange(self.scenario.servers.zones)}
        self.clock.call_later(duration, setattr, self, "_partitioned_zones", set())

    def _loss_comes(self, disruption: Disruption, duration: int) -> None:
        self._extra_loss = disruption.part
        self.clock.call_later(duration, setattr, self, "_extra_loss", 0.0)

    def _surge_comes(self, disruption: Disruption, duration: int) -> None:
        self._rate_factor = disruption.factor
        self.clock.call_later(duration, setattr, self, "_rate_factor", 1.0)

    # Measurement

    def _take_sample(self) -> None:
        now = self.clock.now
        self.clock.call_later(SAMPLE_INTERVAL, self._take_sample)
        utilisations, config = [], self.scenario.servers
        for server in self.servers.values():
            wander = max((workload.wander for workload in self.scenario.workloads), default=0.0)
            server.wave += 0.25 * (1.0 - server.wave) + wander * 0.25 * self.rng.uniform(-1, 1)
            utilisation = server.utilisation(now, self.scenario) if server.up else 0.0
            server.load_history = [
                entry for entry in server.load_history if entry[0] > now - 10 * SECOND
            ] + [(now, len(server.connections), utilisation)]
            utilisations.append(round(utilisation, 4))
            if self._measuring():
                # M/M/1: a message is late with probability exp(-(1 - load) * slack). Beyond the
                # capacity the queue grows without bound, and every message is late.
                self.sampled_connections += len(server.connections)
                self.on_time += len(server.connections) * max(
                    0.0, 1.0 - exp(-(1.0 - utilisation) * config.message_slack)
                )
        service = self._recent_quality / self._recent_weight if self._recent_weight else 1.0
        self._recent_quality = self._recent_weight = 0.0
        self.samples.append(
            (round((now - self.clock.started_at) / SECOND, 3), utilisations, round(service, 4))
        )
        self.rules.check_overdue(now, ANSWER_GRACE)

    @property
    def service(self) -> float:
        """Answer quality times the share of messages on time, from 0 to 1."""
        answers = self.answer_quality / self.answer_weight if self.answer_weight else 1.0
        return answers * (
            self.on_time / self.sampled_connections if self.sampled_connections else 1.0
        )

    @property
    def open_connections(self) -> int:
        return sum(len(server.connections) for server in self.servers.values())
