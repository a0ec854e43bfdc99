"""A fleet in virtual time: servers, the net between, lists, clients; each balancer is a real one behind a `Host`.

Owns what is true: who stands where, how loaded a server is, who can reach whom. The balancers learn of it by late
lists and stale reports only. Must never decide a placement. Each assumption's source: docs/design/lab.md.
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

SAMPLE_INTERVAL = 500 * MS  # between two looks at the fleet
ANSWER_GRACE = 30 * MS  # after a time limit, for an answer on its way
MAX_RETRY_AFTER = 1500 * MS  # a refused client is told to come back within this
INITIAL_BACKOFF = 500 * MS  # a client's own first wait; doubled each time
MAX_PROBE_GAP = 8 * SECOND  # a balancer that probes all leaves no ready server alone for so long
MAX_GROUP_SPREAD = (
    3.0  # times the servers that a group's load needs: beyond it groups are not kept together
)
RESTART_MOVE_TIME = 3 * SECOND  # over which a planned restart moves its clients

FaultInjector = Callable[
    ["EmulatedBalancer", Any], Any
]  # a deliberate fault: wraps the policy that a seat drives


class EmulatedServer:
    """A server as it is."""

    def __init__(self, number: int, zone: int, cell: int, size: float) -> None:
        self.number, self.zone, self.cell, self.size = number, zone, cell, size
        self.status = Status.READY
        self.started_at = 0
        self.connections: dict[int, EmulatedConnection] = {}
        self.pending_setups = 0
        self.total_cost = 0.0  # of its connections
        self.wave = 1.0  # by which their load wanders
        self.slowdown = 1.0
        self.silent = self.returns_errors = False
        self.up = True
        self.fallen_until = 0
        self.queued_setups, self.queued_at = 0.0, 0  # set-ups not worked off, while it warms up
        self.load_history: list[
            tuple[int, int, float]
        ] = []  # when, count and pressure, for reports that lag

    def capacity_share(self, now: int, scenario: Scenario) -> float:
        """Of its capacity, as it warms up."""
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
    """What a client wants: a connection, through however many logins."""

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
        began_at: int,
        cost: float,
        group: int,
        subject: int,
        hold: int,
        counts: bool,
    ) -> None:
        self.workload, self.requested_at, self.cost, self.group, self.subject = (
            workload,
            began_at,
            cost,
            group,
            subject,
        )
        self.try_count, self.answered, self.came_back, self.hold_time, self.measured = (
            0,
            False,
            False,
            hold,
            counts,
        )


class EmulatedConnection:
    __slots__ = ("number", "server", "balancer", "login", "arrival", "ends_at")

    def __init__(
        self,
        number: int,
        box: EmulatedServer,
        seat: EmulatedBalancer,
        login: int,
        wish: Arrival,
        ends_at: int,
    ) -> None:
        self.number, self.server, self.balancer, self.login, self.arrival, self.ends_at = (
            number,
            box,
            seat,
            login,
            wish,
            ends_at,
        )


class EmulatedLogin:
    """A login at a balancer, until its connection ends."""

    __slots__ = ("request", "arrival", "hand_offs", "ended_hand_offs", "connection", "opened")

    def __init__(self, login: Login, wish: Arrival) -> None:
        self.request, self.arrival = login, wish
        self.hand_offs: list[tuple[EmulatedServer, int]] = []
        self.ended_hand_offs: set[int] = set()  # attempts whose end was told
        self.connection: EmulatedConnection | None = None
        self.opened = False  # its balancer knows of the connection


class EmulatedBalancer:
    """One balancer's surroundings: the host that it acts on."""

    def __init__(self, fleet: Fleet, number: int, zone: int) -> None:
        self.fleet, self.number, self.zone = fleet, number, zone
        self.start_count = 0  # of its life: what was meant for an earlier one is void
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
        turn = self.start_count
        fleet.clock.call_later(
            10 * MS,
            lambda: self.start_count == turn and self.receive_list(fleet.listed_servers(), True),
        )

    # What the fleet brings

    def receive_list(self, lines: list[ListedServer], whole: bool) -> None:
        if not self.alive:
            return
        now, rules = self.fleet.clock.now, self.fleet.rules
        self.revision += 1
        for line in lines:
            self.listed[line.server] = line
            if line.status is Status.READY:
                rules.ready_announced(self.number, line.server)
            else:
                rules.drain_announced(now, self.number, line.server)
        self.policy.servers_listed(
            now, Scope.FULL if whole else Scope.DELTA, self.revision, tuple(lines)
        )

    def accept_arrival(self, wish: Arrival) -> None:
        fleet, now = self.fleet, self.fleet.clock.now
        number = fleet.next_login_id()
        workload = fleet.workloads[wish.workload]
        login = Login(
            number,
            wish.workload,
            0,
            wish.subject,
            now + workload.time_limit,
            None,
            wish.group,
            came_back=wish.came_back,
        )
        self.logins[number] = EmulatedLogin(login, wish)
        fleet.rules.login_arrived(now, self.number, login, workload)
        self.policy.login_arrived(now, login)

    # Host

    def hand_off(self, login: int, server: int, cut_at: int) -> None:
        fleet, now = self.fleet, self.fleet.clock.now
        fleet.rules.hand_off_sent(now, self.number, login, server, fleet.cells)
        fleet.clock.record_event("send", self.number, login, server)
        way = self.logins.get(login)
        box = fleet.servers.get(server)
        if way is None or box is None:
            return
        attempt = len(way.hand_offs)
        way.hand_offs.append((box, now))
        cut_at = min(cut_at or way.request.time_limit_at, way.request.time_limit_at)
        fleet.deliver(self, way, box, attempt, cut_at)

    def cancel(self, login: int, attempt: int) -> None:
        self.fleet.clock.record_event("cancel", self.number, login)

    def bounce(self, login: int, retry_in: int) -> None:
        self._refuse(login, "bounced", retry_in)

    def terminate(self, login: int) -> None:
        self._refuse(login, "terminated", 0)

    def _refuse(self, login: int, how: str, retry_in: int) -> None:
        fleet, now = self.fleet, self.fleet.clock.now
        fleet.rules.login_answered(now, self.number, login, how)
        fleet.clock.record_event(how, self.number, login)
        way = self.logins.pop(login, None)
        if way is None:
            return
        fleet.rules.login_done(self.number, login)
        fleet.tally[how] += 1
        fleet.clock.call_later(
            fleet.delay(self.zone, self.zone), fleet.login_refused, way.arrival, retry_in, how
        )

    def move(self, login: int) -> None:
        way = self.logins.get(login)
        if way is not None and way.connection is not None:
            self.fleet.clock.record_event("move", self.number, login)
            self.fleet.tally["moved"] += 1
            self.fleet.end_connection(way.connection, Outcome.CANCELLED, again=True)

    def probe(self, server: int) -> None:
        self.probed_at[server] = self.fleet.clock.now
        self.fleet.probe(self, server)

    def close_idle(self, server: int) -> None:
        pass

    def set_timer(self, after: int, mark: int) -> None:
        turn, clock = self.start_count, self.fleet.clock
        # A time in the past is due at once, but never within the call that asked for it.
        clock.call_later(
            max(1, after),
            lambda: (
                self.alive and self.start_count == turn and self.policy.timer_due(clock.now, mark)
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
    def __init__(
        self, scenario: Scenario, policy: str, seed: int, inject_fault: FaultInjector | None = None
    ) -> None:
        self.scenario, self.policy_name, self.seed, self.inject_fault = (
            scenario,
            policy,
            seed,
            inject_fault,
        )
        self.rng = Random(seed)  # what happens: the same for each policy as far as their acts allow
        self.clock = Clock()
        self.rules = RuleChecker(self.clock.started_at)
        self.workloads = scenario.decisions()
        self.tally: Counter[str] = Counter()
        self.answer_quality = self.answer_weight = 0.0
        self.on_time = self.sampled_connections = 0.0
        self.samples: list[
            tuple[float, list[float], float]
        ] = []  # s, pressure of each server, share served of late
        self._recent_quality = self._recent_weight = 0.0
        self._last_login_id = self._last_connection_id = 0
        self._store_free_at = 0
        self._extra_loss = 0.0
        self._partitioned_zones: set[int] = set()
        self._list_suspended = scenario.lists.silent
        self._rate_factor = 1.0
        self.latencies: list[float] = []  # s until a wish was met, judged part only
        self._build()

    def _build(self) -> None:
        given = self.scenario.servers
        factors = [given.spread ** (self.rng.random() - 0.5) for _ in range(given.number)]
        mean = sum(factors) / len(factors)
        self.servers = {
            at + 1: EmulatedServer(
                at + 1, at % given.zones, at % given.cells, given.size * factor / mean
            )
            for at, factor in enumerate(factors)
        }
        self.cells = {box.number: (box.zone, box.cell) for box in self.servers.values()}
        self.balancers = [
            EmulatedBalancer(self, at, at % given.zones)
            for at in range(self.scenario.balancers.number)
        ]
        for seat in self.balancers:
            seat.start()
        for at, workload in enumerate(self.scenario.workloads):
            # What stands in the mean is there from the start, so that a run need not fill first.
            for _ in range(int(self.scenario.standing * workload.rate * workload.hold_s)):
                self.clock.call_later(
                    int(self.rng.random() * 2 * SECOND), self._standing_client_arrives, at
                )
            self.clock.call_later(
                int(self.rng.expovariate(workload.rate) * SECOND), self._next_client, at
            )
        self.clock.call_later(SAMPLE_INTERVAL, self._take_sample)
        for trouble in self.scenario.troubles:
            self.clock.call_later(int(trouble.at_s * SECOND), self._start_disruption, trouble)

    def make_policy(self, seat: EmulatedBalancer) -> Any:
        """A fresh policy for this seat."""
        given = self.scenario
        rng = Random(f"{self.seed}/{seat.number}/{seat.start_count}")
        policy = POLICIES[self.policy_name](
            seat,
            rng,
            now=self.clock.now,
            true_utilisation=self._true_utilisation,
            zone=seat.zone,
            balancers=given.balancers.number,
            workloads=self.workloads,
            per_work=False,
            cold=given.cold_rule(),
            max_hand_offs=given.balancers.max_hand_offs,
            cancel_allowed=True,
            max_retry_after=MAX_RETRY_AFTER,
            probes_allowed=True,
            ask_for_list=False,
            ask_within=10 * SECOND,
            grouped=any(w.groups for w in given.workloads),
            weight_varies=False,
            memory=0,
            crossing_price=0.0,
            probe_price=0.0,
        )
        return self.inject_fault(seat, policy) if self.inject_fault else policy

    def run(self) -> None:
        end = self.clock.started_at + int(self.scenario.seconds * SECOND)
        self.clock.run_until(end)
        self.rules.check_overdue(end, ANSWER_GRACE)

    def design_violations(self) -> dict[str, str]:
        """Beside the four rules, what the design promises: servers are probed, counts come off, groups stay together."""
        found = {}
        now = self.clock.now
        for seat in self.balancers:
            if not seat.alive or now - seat.started_at < MAX_PROBE_GAP:
                continue
            probes_subset = getattr(
                getattr(seat.policy, "_load_reports", None), "probes_subset", True
            )
            for line in seat.listed.values():
                heard = seat.probed_at.get(line.server, seat.started_at)
                if (
                    not probes_subset
                    and line.status is Status.READY
                    and now - max(heard, line.started_at) > MAX_PROBE_GAP
                ):
                    found["probing"] = (
                        f"balancer {seat.number} has not probed server {line.server} for {(now - heard) / SECOND:.1f} s"
                    )
            held = getattr(seat.policy, "_active_logins", None)
            if held is not None and len(held) > len(seat.logins) + 5 + 0.05 * len(seat.logins):
                found["counts"] = (
                    f"balancer {seat.number} counts {len(held)} connections, {len(seat.logins)} stand"
                )
        spread = self.group_spread()
        if spread > MAX_GROUP_SPREAD:
            found["groups"] = (
                f"a group's connections stand on {spread:.1f} times the servers that its load needs"
            )
        return found

    def group_spread(self) -> float:
        """On how many times the servers that its load needs a group stands, the mean over groups; 0 without groups."""
        where: dict[int, set[int]] = {}
        load: Counter[int] = Counter()
        for box in self.servers.values():
            for conn in box.connections.values():
                if conn.arrival.group:
                    where.setdefault(conn.arrival.group, set()).add(box.number)
                    load[conn.arrival.group] += 1
        whole = sum(load.values())
        shares = [
            len(where[group]) / (1.0 + load[group] / whole * len(self.servers))
            for group in where
            if load[group] >= 5
        ]
        return sum(shares) / len(shares) if shares else 0.0

    # What is true

    def _true_utilisation(self, server: int) -> float:
        box = self.servers[server]
        if not box.up or box.silent or box.returns_errors:
            return 1e9
        return box.utilisation(self.clock.now, self.scenario) + box.pending_setups / box.size

    def listed_servers(self) -> list[ListedServer]:
        return [self._listed_server(box) for box in self.servers.values()]

    @staticmethod
    def _listed_server(box: EmulatedServer) -> ListedServer:
        return ListedServer(box.number, box.zone, 0, box.cell, box.status, 1.0, box.started_at)

    def next_login_id(self) -> int:
        self._last_login_id += 1
        return self._last_login_id

    def delay(self, one: int, other: int) -> int:
        given = self.scenario.net
        mean = given.delay_ms if one == other else given.between_zones_ms
        return int(mean * MS * (0.5 + self.rng.expovariate(2.0)))

    def _message_lost(self, one: int, other: int) -> bool:
        """Whether a message from one zone to the other is lost; one direction at a time."""
        if one != other and one in self._partitioned_zones:
            return True
        loss = self.scenario.net.loss + self._extra_loss
        return loss > 0 and self.rng.random() < loss

    def _measuring(self) -> bool:
        return self.clock.now - self.clock.started_at >= self.scenario.warm_s * SECOND

    # Clients

    def _next_client(self, workload: int) -> None:
        given = self.scenario.workloads[workload]
        self.clock.call_later(
            int(self.rng.expovariate(given.rate * self._rate_factor) * SECOND),
            self._next_client,
            workload,
        )
        self._choose_balancer(self._new_arrival(workload, self._measuring()))

    def _standing_client_arrives(self, workload: int) -> None:
        self._choose_balancer(self._new_arrival(workload, False))

    def _new_arrival(self, workload: int, counts: bool) -> Arrival:
        given = self.scenario.workloads[workload]
        sigma = 0.0 if given.cost_spread <= 1 else given.cost_spread**0.5 - 1
        cost = self.rng.lognormvariate(-sigma * sigma / 2, sigma) if sigma else 1.0
        group = 1 + int(given.groups * self.rng.random() ** 2) if given.groups else 0
        return Arrival(
            workload,
            self.clock.now,
            cost,
            group,
            self.rng.getrandbits(48) | 1,
            int(self.rng.expovariate(1 / given.hold_s) * SECOND),
            counts,
        )

    def _choose_balancer(self, wish: Arrival) -> None:
        """The front: a client gets any balancer that is up."""
        alive = [seat for seat in self.balancers if seat.alive]
        wish.try_count += 1
        if not alive:
            self.clock.call_later(200 * MS, self._retry, wish)
            return
        self.rng.choice(alive).accept_arrival(wish)

    def _retry(self, wish: Arrival) -> None:
        given = self.scenario.workloads[wish.workload]
        if wish.try_count < given.tries:
            self._choose_balancer(wish)
        else:
            self._record_answer(wish, 0.0)

    def login_refused(self, wish: Arrival, retry_in: int, how: str) -> None:
        given = self.scenario.workloads[wish.workload]
        if how == "terminated":
            self._record_answer(wish, 0.0)
            return
        if given.retry == "told":
            wait = retry_in
        elif given.retry == "back-off":
            wait = int(INITIAL_BACKOFF * 2 ** min(wish.try_count, 6) * self.rng.random())
        else:
            wait = 20 * MS
        self.clock.call_later(wait, self._retry, wish)

    def _record_answer(self, wish: Arrival, quality: float) -> None:
        """A wish has its answer, for what that is worth."""
        if wish.answered:
            return
        wish.answered = True
        if wish.measured:
            worth = self.workloads[wish.workload].importance
            self.answer_quality += worth * quality
            self.answer_weight += worth
            self._recent_quality += worth * quality
            self._recent_weight += worth
            self.latencies.append((self.clock.now - wish.requested_at) / SECOND)

    # Hand-offs

    def deliver(
        self,
        seat: EmulatedBalancer,
        way: EmulatedLogin,
        box: EmulatedServer,
        attempt: int,
        cut_at: int,
    ) -> None:
        now, clock, turn = self.clock.now, self.clock, seat.start_count
        there = self.delay(seat.zone, box.zone)
        connect_by = min(cut_at, now + int(self.scenario.balancers.connect_ms * MS))

        def tell(outcome: Outcome, when: int) -> None:
            clock.call_at(when, self._hand_off_failed, seat, turn, way, box, attempt, outcome)

        if (
            not box.up
            or box.silent
            or self._message_lost(seat.zone, box.zone)
            or self._message_lost(box.zone, seat.zone)
        ):
            if box.status is Status.GONE and not box.up and not box.silent:
                tell(Outcome.NOT_CONNECTED, min(connect_by, now + 2 * there))  # refused at once
            else:
                tell(Outcome.NOT_CONNECTED, connect_by)
            return
        if box.returns_errors:
            tell(Outcome.ERROR, min(cut_at, now + 2 * there))
            return
        if len(box.connections) + box.pending_setups >= self.scenario.servers.cap * box.size:
            tell(Outcome.FULL, min(cut_at, now + 2 * there))
            return
        box.pending_setups += 1
        # Set-up work on a server that shares its time: the mean grows as 1/(1 - load).
        busy = min(0.95, box.utilisation(now, self.scenario))
        took = int(
            self.scenario.servers.setup_ms
            * MS
            * box.slowdown
            / (1 - busy)
            * self.rng.expovariate(1.0)
        )
        start = now + there
        if self.scenario.store.rate:
            self._store_free_at = max(self._store_free_at, start) + int(
                SECOND / self.scenario.store.rate
            )
            start = self._store_free_at
        done = start + took
        if done + there > cut_at:
            tell(Outcome.TIMED_OUT, cut_at)
            clock.call_at(done, self._setup_abandoned, box)
            return
        clock.call_at(done, self._setup_finished, seat, turn, way, box, attempt, there)

    @staticmethod
    def _setup_abandoned(box: EmulatedServer) -> None:
        box.pending_setups = max(0, box.pending_setups - 1)

    def _hand_off_failed(
        self,
        seat: EmulatedBalancer,
        turn: int,
        way: EmulatedLogin,
        box: EmulatedServer,
        attempt: int,
        outcome: Outcome,
    ) -> None:
        number = way.request.login
        if (
            seat.start_count != turn
            or not seat.alive
            or attempt in way.ended_hand_offs
            or seat.logins.get(number) is not way
        ):
            return
        way.ended_hand_offs.add(attempt)
        now = self.clock.now
        self.tally[f"hand-offs {outcome.value}"] += 1
        self.rules.hand_off_failed(now, seat.number, number, attempt, outcome)
        seat.policy.hand_off_ended(
            now, number, False, box.number, outcome, attempt, now - way.hand_offs[attempt][1], None
        )

    def _setup_finished(
        self,
        seat: EmulatedBalancer,
        turn: int,
        way: EmulatedLogin,
        box: EmulatedServer,
        attempt: int,
        back: int,
    ) -> None:
        box.pending_setups = max(0, box.pending_setups - 1)
        number = way.request.login
        if (
            seat.start_count != turn
            or not seat.alive
            or attempt in way.ended_hand_offs
            or seat.logins.get(number) is not way
        ):
            return
        if not box.up:
            self.clock.call_later(
                back, self._hand_off_failed, seat, turn, way, box, attempt, Outcome.BROKEN
            )
            return
        now = self.clock.now
        if not self._accepts_setup(box, way.arrival.cost):
            self.clock.call_later(
                back, self._hand_off_failed, seat, turn, way, box, attempt, Outcome.BROKEN
            )
            return
        self._last_connection_id += 1
        conn = way.connection = EmulatedConnection(
            self._last_connection_id, box, seat, number, way.arrival, now + way.arrival.hold_time
        )
        box.connections[conn.number] = conn
        box.total_cost += way.arrival.cost
        self.clock.call_at(conn.ends_at, self._connection_expired, conn)
        self.clock.call_later(back, self._connection_opened, seat, turn, way, box, attempt)

    def _connection_opened(
        self,
        seat: EmulatedBalancer,
        turn: int,
        way: EmulatedLogin,
        box: EmulatedServer,
        attempt: int,
    ) -> None:
        number, now = way.request.login, self.clock.now
        if (
            seat.start_count != turn
            or not seat.alive
            or attempt in way.ended_hand_offs
            or seat.logins.get(number) is not way
            or way.connection is None
        ):
            return
        way.ended_hand_offs.add(attempt)
        way.opened = True
        self.rules.login_answered(now, seat.number, number, "fulfilled")
        self.clock.record_event("open", seat.number, number, box.number)
        self.tally["fulfilled"] += 1
        wish, workload = way.arrival, self.workloads[way.arrival.workload]
        waited = now - wish.requested_at
        late = max(0, waited - workload.soft_limit) / max(
            1, workload.time_limit - workload.soft_limit
        )
        self._record_answer(wish, max(0.0, 1.0 - late))
        seat.policy.hand_off_started(
            now, number, attempt, box.number, now - way.hand_offs[attempt][1]
        )

    def _accepts_setup(self, box: EmulatedServer, cost: float) -> bool:
        """Whether a server that warms up bears one more set-up. It works them off at the multiple of the rate at which it
        warms (size over ramp, by its share); when a span's worth of them is queued it falls over."""
        now, given = self.clock.now, self.scenario.servers
        share = box.capacity_share(now, self.scenario)
        if share >= 1.0:
            return True
        bears = given.multiple * share * box.size * SECOND / max(1, given.ramp_ms * MS)
        box.queued_setups = (
            max(0.0, box.queued_setups - bears * (now - box.queued_at) / SECOND) + cost
        )
        box.queued_at = now
        if box.queued_setups > max(bears, 4.0) and box.up:
            self.rules.cold_server_failed(
                now,
                box.number,
                f"{box.queued_setups:.1f} set-ups queued as it warms up, it bears {bears:.1f} a second",
            )
            self.clock.record_event("fell", box.number)
            self._stop_server(box)
            self.clock.call_later(given.fallen_ms * MS, self._start_server, box)
            return False
        return True

    # Connections

    def _connection_expired(self, conn: EmulatedConnection) -> None:
        if conn.number in conn.server.connections:
            self.end_connection(conn, Outcome.FULFILLED, again=False)

    def end_connection(self, conn: EmulatedConnection, outcome: Outcome, again: bool) -> None:
        """A connection ends; its client comes back where it was not done."""
        box, seat, now = conn.server, conn.balancer, self.clock.now
        if box.connections.pop(conn.number, None) is None:
            return
        box.total_cost = max(0.0, box.total_cost - conn.arrival.cost)
        way = seat.logins.get(conn.login)
        if way is not None and way.connection is conn and not way.opened:
            # It ends before its balancer has heard of it: to that one the hand-off has failed.
            way.connection = None
            self.clock.call_later(
                self.delay(seat.zone, box.zone),
                self._hand_off_failed,
                seat,
                seat.start_count,
                way,
                box,
                len(way.hand_offs) - 1,
                Outcome.BROKEN,
            )
            return
        if way is not None and way.connection is conn:
            del seat.logins[conn.login]
            attempt = len(way.hand_offs) - 1
            self.clock.record_event("end", seat.number, conn.login)
            if seat.alive:
                self.rules.login_done(seat.number, conn.login)
                self.clock.call_later(
                    self.delay(seat.zone, box.zone),
                    self._report_end,
                    seat,
                    seat.start_count,
                    conn.login,
                    box,
                    outcome,
                    attempt,
                )
        if again and conn.ends_at > now:
            wish = conn.arrival
            back = Arrival(
                wish.workload,
                now,
                wish.cost,
                wish.group,
                wish.subject,
                conn.ends_at - now,
                self._measuring(),
            )
            back.came_back = True
            self.clock.call_later(int(self.rng.uniform(20, 400) * MS), self._choose_balancer, back)

    def _report_end(
        self,
        seat: EmulatedBalancer,
        turn: int,
        login: int,
        box: EmulatedServer,
        outcome: Outcome,
        attempt: int,
    ) -> None:
        if seat.alive and seat.start_count == turn:
            seat.policy.hand_off_ended(
                self.clock.now, login, True, box.number, outcome, attempt, 0, None
            )

    # Probes

    def probe(self, seat: EmulatedBalancer, server: int) -> None:
        now, turn, box = self.clock.now, seat.start_count, self.servers.get(server)
        wait = int(self.scenario.balancers.connect_ms * 1.25 * MS)
        self.tally["probes"] += 1
        if (
            box is None
            or not box.up
            or box.silent
            or self._message_lost(seat.zone, box.zone)
            or self._message_lost(box.zone, seat.zone)
        ):
            self.clock.call_later(
                wait, self._probe_answered, seat, turn, server, Outcome.NOT_CONNECTED, None, now
            )
            return
        self.clock.call_later(
            2 * self.delay(seat.zone, box.zone),
            self._probe_answered,
            seat,
            turn,
            server,
            Outcome.FULFILLED,
            self._load_report(box),
            now,
        )

    def _load_report(self, box: EmulatedServer) -> Report:
        """What it tells is as old as reports are here, and noisy."""
        at = self.clock.now - int(self.scenario.reports.lag_ms * MS)
        count, pressure = len(box.connections), box.utilisation(self.clock.now, self.scenario)
        for when, was_count, was_pressure in reversed(box.load_history):
            if when <= at:
                count, pressure = was_count, was_pressure
                break
        noise = 1.0 + self.scenario.reports.noise * self.rng.uniform(-1, 1)
        return Report(float(count), pressure * noise, min(1.0, pressure * noise))

    def _probe_answered(
        self,
        seat: EmulatedBalancer,
        turn: int,
        server: int,
        outcome: Outcome,
        report: Report | None,
        began: int,
    ) -> None:
        if seat.alive and seat.start_count == turn:
            seat.policy.probe_answered(
                self.clock.now, server, self.clock.now - began, outcome, report
            )

    # The list

    def _list_changed(self, box: EmulatedServer) -> None:
        """Each balancer hears of it after a lag of its own, unless the list is silent."""
        line = self._listed_server(box)
        for seat in self.balancers:
            wait = int(self.scenario.lists.lag_ms * MS * self.rng.uniform(0.2, 1.8))
            self.clock.call_later(wait, self._list_change_arrives, seat, seat.start_count, line)

    def _list_change_arrives(self, seat: EmulatedBalancer, turn: int, line: ListedServer) -> None:
        if self._list_suspended:
            self.clock.call_later(250 * MS, self._list_change_arrives, seat, turn, line)
        elif seat.alive and seat.start_count == turn:
            known = seat.listed.get(line.server)
            # A later word may have overtaken this one.
            if known is None or self.servers[line.server].status == line.status:
                seat.receive_list([line], False)

    # Servers stop and start

    def _stop_server(self, box: EmulatedServer) -> None:
        box.up = False
        for conn in list(box.connections.values()):
            self.end_connection(conn, Outcome.BROKEN, again=True)
        box.total_cost, box.pending_setups = 0.0, 0

    def _start_server(self, box: EmulatedServer) -> None:
        box.up, box.started_at, box.status = True, self.clock.now, Status.READY
        box.queued_setups = 0.0
        box.load_history.clear()
        self._list_changed(box)

    def _drain_server(self, box: EmulatedServer, back_after: int) -> None:
        if box.status is not Status.READY or not box.up:
            return
        box.status = Status.DRAINING
        self._list_changed(box)
        self.clock.call_later(back_after, self._drain_finished, box)

    def _drain_finished(self, box: EmulatedServer) -> None:
        box.status = Status.GONE
        self._list_changed(box)
        self._stop_server(box)
        self.clock.call_later(SECOND, self._start_server, box)

    # Troubles

    def _choose_servers(self, part: float) -> list[EmulatedServer]:
        ready = [box for box in self.servers.values() if box.up and box.status is Status.READY]
        return self.rng.sample(ready, min(len(ready), max(1, round(part * len(ready)))))

    def _start_disruption(self, given: Disruption) -> None:
        self.rules.record_step(self.clock.now, f"trouble: {given.kind}")
        self.clock.record_event("trouble " + given.kind)
        span = int(given.for_s * SECOND)
        getattr(self, "_" + given.kind.replace(" ", "_") + "_comes")(given, span)

    def _drain_comes(self, given: Disruption, span: int) -> None:
        for box in self._choose_servers(given.part):
            self._drain_server(box, span)

    def _release_comes(self, given: Disruption, span: int) -> None:
        """One after the other, over the span."""
        boxes = self._choose_servers(given.part)
        for at, box in enumerate(boxes):
            self.clock.call_later(
                at * span // len(boxes),
                self._drain_server,
                box,
                min(3 * SECOND, span // len(boxes) + SECOND),
            )

    def _vanish_comes(self, given: Disruption, span: int) -> None:
        for box in self._choose_servers(given.part):
            self._stop_server(box)
            self.clock.call_later(span, self._start_server, box)

    def _silent_server_comes(self, given: Disruption, span: int) -> None:
        for box in self._choose_servers(given.part):
            box.silent = True
            self.clock.call_later(span, setattr, box, "silent", False)

    def _slow_comes(self, given: Disruption, span: int) -> None:
        for box in self._choose_servers(given.part):
            box.slowdown = given.factor
            self.clock.call_later(span, setattr, box, "slowdown", 1.0)

    def _fast_errors_comes(self, given: Disruption, span: int) -> None:
        for box in self._choose_servers(given.part):
            box.returns_errors = True
            self.clock.call_later(span, setattr, box, "returns_errors", False)

    def _zone_loss_comes(self, given: Disruption, span: int) -> None:
        zone = self.rng.randrange(self.scenario.servers.zones)
        for box in self.servers.values():
            if box.zone == zone and box.up:
                self._stop_server(box)
                self.clock.call_later(span, self._start_server, box)

    def _balancer_killed_comes(self, given: Disruption, span: int) -> None:
        alive = [seat for seat in self.balancers if seat.alive]
        for seat in self.rng.sample(alive, min(len(alive), max(1, round(given.part * len(alive))))):
            self._kill_balancer(seat)
            self.clock.call_later(span, seat.start)

    def _kill_balancer(self, seat: EmulatedBalancer) -> None:
        seat.alive = False
        for number, way in list(seat.logins.items()):
            self.rules.login_abandoned(self.clock.now, seat.number, number)
            if way.connection is not None:
                self.end_connection(way.connection, Outcome.BROKEN, again=True)
            else:
                way.arrival.came_back = True
                self.clock.call_later(int(self.rng.uniform(20, 400) * MS), self._retry, way.arrival)
        seat.logins = {}

    def _balancer_restart_comes(self, given: Disruption, span: int) -> None:
        """Planned: clients are moved first, over some seconds."""
        alive = [seat for seat in self.balancers if seat.alive]
        for seat in self.rng.sample(alive, min(len(alive), max(1, round(given.part * len(alive))))):
            for number in list(seat.logins):
                self.clock.call_later(int(self.rng.random() * RESTART_MOVE_TIME), seat.move, number)
            self.clock.call_later(RESTART_MOVE_TIME, self._kill_balancer, seat)
            self.clock.call_later(RESTART_MOVE_TIME + span, seat.start)

    def _client_drop_comes(self, given: Disruption, span: int) -> None:
        """A carrier's link breaks: a part of all connections ends at once, and their clients come back."""
        conns = [conn for box in self.servers.values() for conn in box.connections.values()]
        for conn in self.rng.sample(conns, round(given.part * len(conns))):
            self.end_connection(conn, Outcome.BROKEN, again=True)

    def _list_silent_comes(self, given: Disruption, span: int) -> None:
        self._list_suspended = True
        self.clock.call_later(span, setattr, self, "_list_suspended", False)

    def _partition_comes(self, given: Disruption, span: int) -> None:
        self._partitioned_zones = {self.rng.randrange(self.scenario.servers.zones)}
        self.clock.call_later(span, setattr, self, "_partitioned_zones", set())

    def _loss_comes(self, given: Disruption, span: int) -> None:
        self._extra_loss = given.part
        self.clock.call_later(span, setattr, self, "_extra_loss", 0.0)

    def _surge_comes(self, given: Disruption, span: int) -> None:
        self._rate_factor = given.factor
        self.clock.call_later(span, setattr, self, "_rate_factor", 1.0)

    # Looking

    def _take_sample(self) -> None:
        now = self.clock.now
        self.clock.call_later(SAMPLE_INTERVAL, self._take_sample)
        pressures, given = [], self.scenario.servers
        for box in self.servers.values():
            wander = max((w.wander for w in self.scenario.workloads), default=0.0)
            box.wave += 0.25 * (1.0 - box.wave) + wander * 0.25 * self.rng.uniform(-1, 1)
            pressure = box.utilisation(now, self.scenario) if box.up else 0.0
            box.load_history = [
                held for held in box.load_history if held[0] > now - 10 * SECOND
            ] + [(now, len(box.connections), pressure)]
            pressures.append(round(pressure, 4))
            if self._measuring():
                # M/M/1: a message is late with chance exp(-(1 - load) * slack); past its capacity a server's queue
                # grows, and all are.
                self.sampled_connections += len(box.connections)
                self.on_time += len(box.connections) * max(
                    0.0, 1.0 - exp(-(1.0 - pressure) * given.message_slack)
                )
        share = self._recent_quality / self._recent_weight if self._recent_weight else 1.0
        self._recent_quality = self._recent_weight = 0.0
        self.samples.append(
            (round((now - self.clock.started_at) / SECOND, 3), pressures, round(share, 4))
        )
        self.rules.check_overdue(now, ANSWER_GRACE)

    @property
    def service(self) -> float:
        """What clients got of what they wanted: answers in time, and connections that were served in time."""
        answers = self.answer_quality / self.answer_weight if self.answer_weight else 1.0
        return answers * (
            self.on_time / self.sampled_connections if self.sampled_connections else 1.0
        )

    @property
    def open_connections(self) -> int:
        return sum(len(box.connections) for box in self.servers.values())
