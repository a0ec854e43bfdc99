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
from corklift.lab.rules import Rules
from corklift.lab.scenario import Disruption, Scenario

SAMPLE = 500 * MS  # between two looks at the fleet
SLACK = 30 * MS  # after a time limit, for an answer on its way
RETRY_MOST = 1500 * MS  # a refused client is told to come back within this
BACK_OFF = 500 * MS  # a client's own first wait; doubled each time
UNPROBED = 8 * SECOND  # a balancer that probes all leaves no ready server alone for so long
SPLIT = 3.0  # times the servers that a group's load needs: beyond it groups are not kept together
LOST_MOVES = 3 * SECOND  # over which a planned restart moves its clients

FaultInjector = Callable[
    ["EmulatedBalancer", Any], Any
]  # a deliberate fault: wraps the policy that a seat drives


class EmulatedServer:
    """A server as it is."""

    def __init__(self, number: int, zone: int, cell: int, size: float) -> None:
        self.number, self.zone, self.cell, self.size = number, zone, cell, size
        self.status = Status.READY
        self.started_at = 0
        self.conns: dict[int, EmulatedConnection] = {}
        self.pending = 0
        self.cost = 0.0  # of its connections
        self.wave = 1.0  # by which their load wanders
        self.slow = 1.0
        self.silent = self.errs = False
        self.up = True
        self.fallen_until = 0
        self.queued, self.queued_at = 0.0, 0  # set-ups not worked off, while it warms up
        self.past: list[
            tuple[int, int, float]
        ] = []  # when, count and pressure, for reports that lag

    def share(self, now: int, scenario: Scenario) -> float:
        """Of its capacity, as it warms up."""
        ramp = scenario.servers.ramp_ms * MS
        if not self.started_at or not ramp or now - self.started_at >= ramp:
            return 1.0
        start = scenario.servers.start_share
        return start + (1.0 - start) * (now - self.started_at) / ramp

    def pressure(self, now: int, scenario: Scenario) -> float:
        return self.cost * self.wave * self.slow / (self.size * self.share(now, scenario))


class Arrival:
    """What a client wants: a connection, through however many logins."""

    __slots__ = (
        "workload",
        "began_at",
        "cost",
        "group",
        "subject",
        "tries",
        "done",
        "came_back",
        "hold",
        "counts",
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
        self.workload, self.began_at, self.cost, self.group, self.subject = (
            workload,
            began_at,
            cost,
            group,
            subject,
        )
        self.tries, self.done, self.came_back, self.hold, self.counts = (
            0,
            False,
            False,
            hold,
            counts,
        )


class EmulatedConnection:
    __slots__ = ("number", "box", "seat", "login", "wish", "ends_at")

    def __init__(
        self,
        number: int,
        box: EmulatedServer,
        seat: EmulatedBalancer,
        login: int,
        wish: Arrival,
        ends_at: int,
    ) -> None:
        self.number, self.box, self.seat, self.login, self.wish, self.ends_at = (
            number,
            box,
            seat,
            login,
            wish,
            ends_at,
        )


class EmulatedLogin:
    """A login at a balancer, until its connection ends."""

    __slots__ = ("login", "wish", "attempts", "settled", "conn", "opened")

    def __init__(self, login: Login, wish: Arrival) -> None:
        self.login, self.wish = login, wish
        self.attempts: list[tuple[EmulatedServer, int]] = []
        self.settled: set[int] = set()  # attempts whose end was told
        self.conn: EmulatedConnection | None = None
        self.opened = False  # its balancer knows of the connection


class EmulatedBalancer:
    """One balancer's surroundings: the host that it acts on."""

    def __init__(self, fleet: Fleet, number: int, zone: int) -> None:
        self.fleet, self.number, self.zone = fleet, number, zone
        self.turn = 0  # of its life: what was meant for an earlier one is void
        self.alive = False
        self.ways: dict[int, EmulatedLogin] = {}
        self.policy: Any = None
        self.known: dict[int, ListedServer] = {}
        self.probed_at: dict[int, int] = {}
        self.started_at = 0
        self.revision = 0

    def start(self) -> None:
        fleet = self.fleet
        self.turn += 1
        self.alive, self.ways, self.started_at = True, {}, fleet.clock.now
        self.known, self.probed_at = {}, {}
        self.policy = fleet.make(self)
        turn = self.turn
        fleet.clock.after(
            10 * MS, lambda: self.turn == turn and self.take_list(fleet.lines(), True)
        )

    # What the fleet brings

    def take_list(self, lines: list[ListedServer], whole: bool) -> None:
        if not self.alive:
            return
        now, rules = self.fleet.clock.now, self.fleet.rules
        self.revision += 1
        for line in lines:
            self.known[line.server] = line
            if line.status is Status.READY:
                rules.told_ready(self.number, line.server)
            else:
                rules.told_leaving(now, self.number, line.server)
        self.policy.servers_listed(
            now, Scope.FULL if whole else Scope.DELTA, self.revision, tuple(lines)
        )

    def arrive(self, wish: Arrival) -> None:
        fleet, now = self.fleet, self.fleet.clock.now
        number = fleet.next_login()
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
        self.ways[number] = EmulatedLogin(login, wish)
        fleet.rules.arrived(now, self.number, login, workload)
        self.policy.login_arrived(now, login)

    # Host

    def hand_off(self, login: int, server: int, cut_at: int) -> None:
        fleet, now = self.fleet, self.fleet.clock.now
        fleet.rules.sent(now, self.number, login, server, fleet.cells)
        fleet.clock.note("send", self.number, login, server)
        way = self.ways.get(login)
        box = fleet.boxes.get(server)
        if way is None or box is None:
            return
        attempt = len(way.attempts)
        way.attempts.append((box, now))
        cut_at = min(cut_at or way.login.time_limit_at, way.login.time_limit_at)
        fleet.deliver(self, way, box, attempt, cut_at)

    def cancel(self, login: int, attempt: int) -> None:
        self.fleet.clock.note("cancel", self.number, login)

    def bounce(self, login: int, retry_in: int) -> None:
        self._refuse(login, "bounced", retry_in)

    def terminate(self, login: int) -> None:
        self._refuse(login, "terminated", 0)

    def _refuse(self, login: int, how: str, retry_in: int) -> None:
        fleet, now = self.fleet, self.fleet.clock.now
        fleet.rules.answered(now, self.number, login, how)
        fleet.clock.note(how, self.number, login)
        way = self.ways.pop(login, None)
        if way is None:
            return
        fleet.rules.done(self.number, login)
        fleet.tally[how] += 1
        fleet.clock.after(fleet.delay(self.zone, self.zone), fleet.refused, way.wish, retry_in, how)

    def move(self, login: int) -> None:
        way = self.ways.get(login)
        if way is not None and way.conn is not None:
            self.fleet.clock.note("move", self.number, login)
            self.fleet.tally["moved"] += 1
            self.fleet.end(way.conn, Outcome.CANCELLED, again=True)

    def probe(self, server: int) -> None:
        self.probed_at[server] = self.fleet.clock.now
        self.fleet.probe(self, server)

    def close_idle(self, server: int) -> None:
        pass

    def set_timer(self, after: int, mark: int) -> None:
        turn, clock = self.turn, self.fleet.clock
        # A time in the past is due at once, but never within the call that asked for it.
        clock.after(
            max(1, after),
            lambda: self.alive and self.turn == turn and self.policy.timer_due(clock.now, mark),
        )

    def watch_list(self, wanted: bool) -> None:
        pass

    def fetch_list(self) -> None:
        pass

    def send_to_peer(self, peer: int | None, content: bytes) -> None:
        pass

    def log(self, text: str) -> None:
        self.fleet.rules.step(self.fleet.clock.now, f"balancer {self.number}: {text}")


class Fleet:
    def __init__(
        self, scenario: Scenario, policy: str, seed: int, spoil: FaultInjector | None = None
    ) -> None:
        self.scenario, self.policy_name, self.seed, self.spoil = scenario, policy, seed, spoil
        self.rng = Random(seed)  # what happens: the same for each policy as far as their acts allow
        self.clock = Clock()
        self.rules = Rules(self.clock.began)
        self.workloads = scenario.decisions()
        self.tally: Counter[str] = Counter()
        self.quality = self.worth = 0.0
        self.on_time = self.conn_time = 0.0
        self.samples: list[
            tuple[float, list[float], float]
        ] = []  # s, pressure of each server, share served of late
        self._late_quality = self._late_worth = 0.0
        self._logins = self._conns = 0
        self._store_free_at = 0
        self._extra_loss = 0.0
        self._cut_zones: set[int] = set()
        self._mute_list = scenario.lists.silent
        self._surge = 1.0
        self.latencies: list[float] = []  # s until a wish was met, judged part only
        self._build()

    def _build(self) -> None:
        given = self.scenario.servers
        factors = [given.spread ** (self.rng.random() - 0.5) for _ in range(given.number)]
        mean = sum(factors) / len(factors)
        self.boxes = {
            at + 1: EmulatedServer(
                at + 1, at % given.zones, at % given.cells, given.size * factor / mean
            )
            for at, factor in enumerate(factors)
        }
        self.cells = {box.number: (box.zone, box.cell) for box in self.boxes.values()}
        self.seats = [
            EmulatedBalancer(self, at, at % given.zones)
            for at in range(self.scenario.balancers.number)
        ]
        for seat in self.seats:
            seat.start()
        for at, workload in enumerate(self.scenario.workloads):
            # What stands in the mean is there from the start, so that a run need not fill first.
            for _ in range(int(self.scenario.standing * workload.rate * workload.hold_s)):
                self.clock.after(int(self.rng.random() * 2 * SECOND), self._standing, at)
            self.clock.after(
                int(self.rng.expovariate(workload.rate) * SECOND), self._next_client, at
            )
        self.clock.after(SAMPLE, self._sample)
        for trouble in self.scenario.troubles:
            self.clock.after(int(trouble.at_s * SECOND), self._trouble, trouble)

    def make(self, seat: EmulatedBalancer) -> Any:
        """A fresh policy for this seat."""
        given = self.scenario
        rng = Random(f"{self.seed}/{seat.number}/{seat.turn}")
        policy = POLICIES[self.policy_name](
            seat,
            rng,
            now=self.clock.now,
            truth=self._truth,
            zone=seat.zone,
            balancers=given.balancers.number,
            workloads=self.workloads,
            per_work=False,
            cold=given.cold(),
            max_hand_offs=given.balancers.max_hand_offs,
            cancel_allowed=True,
            max_retry_after=RETRY_MOST,
            probes_allowed=True,
            ask_for_list=False,
            ask_within=10 * SECOND,
            grouped=any(w.groups for w in given.workloads),
            weight_varies=False,
            memory=0,
            crossing_price=0.0,
            probe_price=0.0,
        )
        return self.spoil(seat, policy) if self.spoil else policy

    def run(self) -> None:
        end = self.clock.began + int(self.scenario.seconds * SECOND)
        self.clock.run(end)
        self.rules.overdue(end, SLACK)

    def design_breaks(self) -> dict[str, str]:
        """Beside the four rules, what the design promises: servers are probed, counts come off, groups stay together."""
        found = {}
        now = self.clock.now
        for seat in self.seats:
            if not seat.alive or now - seat.started_at < UNPROBED:
                continue
            probes_subset = getattr(
                getattr(seat.policy, "_load_reports", None), "probes_subset", True
            )
            for line in seat.known.values():
                heard = seat.probed_at.get(line.server, seat.started_at)
                if (
                    not probes_subset
                    and line.status is Status.READY
                    and now - max(heard, line.started_at) > UNPROBED
                ):
                    found["probing"] = (
                        f"balancer {seat.number} has not probed server {line.server} for {(now - heard) / SECOND:.1f} s"
                    )
            held = getattr(seat.policy, "_active_logins", None)
            if held is not None and len(held) > len(seat.ways) + 5 + 0.05 * len(seat.ways):
                found["counts"] = (
                    f"balancer {seat.number} counts {len(held)} connections, {len(seat.ways)} stand"
                )
        spread = self.group_spread()
        if spread > SPLIT:
            found["groups"] = (
                f"a group's connections stand on {spread:.1f} times the servers that its load needs"
            )
        return found

    def group_spread(self) -> float:
        """On how many times the servers that its load needs a group stands, the mean over groups; 0 without groups."""
        where: dict[int, set[int]] = {}
        load: Counter[int] = Counter()
        for box in self.boxes.values():
            for conn in box.conns.values():
                if conn.wish.group:
                    where.setdefault(conn.wish.group, set()).add(box.number)
                    load[conn.wish.group] += 1
        whole = sum(load.values())
        shares = [
            len(where[group]) / (1.0 + load[group] / whole * len(self.boxes))
            for group in where
            if load[group] >= 5
        ]
        return sum(shares) / len(shares) if shares else 0.0

    # What is true

    def _truth(self, server: int) -> float:
        box = self.boxes[server]
        if not box.up or box.silent or box.errs:
            return 1e9
        return box.pressure(self.clock.now, self.scenario) + box.pending / box.size

    def lines(self) -> list[ListedServer]:
        return [self._line(box) for box in self.boxes.values()]

    @staticmethod
    def _line(box: EmulatedServer) -> ListedServer:
        return ListedServer(box.number, box.zone, 0, box.cell, box.status, 1.0, box.started_at)

    def next_login(self) -> int:
        self._logins += 1
        return self._logins

    def delay(self, one: int, other: int) -> int:
        given = self.scenario.net
        mean = given.delay_ms if one == other else given.between_zones_ms
        return int(mean * MS * (0.5 + self.rng.expovariate(2.0)))

    def _lost(self, one: int, other: int) -> bool:
        """Whether a message from one zone to the other is lost; one direction at a time."""
        if one != other and one in self._cut_zones:
            return True
        loss = self.scenario.net.loss + self._extra_loss
        return loss > 0 and self.rng.random() < loss

    def _judged(self) -> bool:
        return self.clock.now - self.clock.began >= self.scenario.warm_s * SECOND

    # Clients

    def _next_client(self, workload: int) -> None:
        given = self.scenario.workloads[workload]
        self.clock.after(
            int(self.rng.expovariate(given.rate * self._surge) * SECOND),
            self._next_client,
            workload,
        )
        self._come(self._wish(workload, self._judged()))

    def _standing(self, workload: int) -> None:
        self._come(self._wish(workload, False))

    def _wish(self, workload: int, counts: bool) -> Arrival:
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

    def _come(self, wish: Arrival) -> None:
        """The front: a client gets any balancer that is up."""
        alive = [seat for seat in self.seats if seat.alive]
        wish.tries += 1
        if not alive:
            self.clock.after(200 * MS, self._come_again, wish)
            return
        self.rng.choice(alive).arrive(wish)

    def _come_again(self, wish: Arrival) -> None:
        given = self.scenario.workloads[wish.workload]
        if wish.tries < given.tries:
            self._come(wish)
        else:
            self._met(wish, 0.0)

    def refused(self, wish: Arrival, retry_in: int, how: str) -> None:
        given = self.scenario.workloads[wish.workload]
        if how == "terminated":
            self._met(wish, 0.0)
            return
        if given.retry == "told":
            wait = retry_in
        elif given.retry == "back-off":
            wait = int(BACK_OFF * 2 ** min(wish.tries, 6) * self.rng.random())
        else:
            wait = 20 * MS
        self.clock.after(wait, self._come_again, wish)

    def _met(self, wish: Arrival, quality: float) -> None:
        """A wish has its answer, for what that is worth."""
        if wish.done:
            return
        wish.done = True
        if wish.counts:
            worth = self.workloads[wish.workload].importance
            self.quality += worth * quality
            self.worth += worth
            self._late_quality += worth * quality
            self._late_worth += worth
            self.latencies.append((self.clock.now - wish.began_at) / SECOND)

    # Hand-offs

    def deliver(
        self,
        seat: EmulatedBalancer,
        way: EmulatedLogin,
        box: EmulatedServer,
        attempt: int,
        cut_at: int,
    ) -> None:
        now, clock, turn = self.clock.now, self.clock, seat.turn
        there = self.delay(seat.zone, box.zone)
        connect_by = min(cut_at, now + int(self.scenario.balancers.connect_ms * MS))

        def tell(outcome: Outcome, when: int) -> None:
            clock.at(when, self._failed, seat, turn, way, box, attempt, outcome)

        if (
            not box.up
            or box.silent
            or self._lost(seat.zone, box.zone)
            or self._lost(box.zone, seat.zone)
        ):
            if box.status is Status.GONE and not box.up and not box.silent:
                tell(Outcome.NOT_CONNECTED, min(connect_by, now + 2 * there))  # refused at once
            else:
                tell(Outcome.NOT_CONNECTED, connect_by)
            return
        if box.errs:
            tell(Outcome.ERROR, min(cut_at, now + 2 * there))
            return
        if len(box.conns) + box.pending >= self.scenario.servers.cap * box.size:
            tell(Outcome.FULL, min(cut_at, now + 2 * there))
            return
        box.pending += 1
        # Set-up work on a server that shares its time: the mean grows as 1/(1 - load).
        busy = min(0.95, box.pressure(now, self.scenario))
        took = int(
            self.scenario.servers.setup_ms * MS * box.slow / (1 - busy) * self.rng.expovariate(1.0)
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
            clock.at(done, self._given_up, box)
            return
        clock.at(done, self._set_up, seat, turn, way, box, attempt, there)

    @staticmethod
    def _given_up(box: EmulatedServer) -> None:
        box.pending = max(0, box.pending - 1)

    def _failed(
        self,
        seat: EmulatedBalancer,
        turn: int,
        way: EmulatedLogin,
        box: EmulatedServer,
        attempt: int,
        outcome: Outcome,
    ) -> None:
        number = way.login.login
        if (
            seat.turn != turn
            or not seat.alive
            or attempt in way.settled
            or seat.ways.get(number) is not way
        ):
            return
        way.settled.add(attempt)
        now = self.clock.now
        self.tally[f"hand-offs {outcome.value}"] += 1
        self.rules.outcome(now, seat.number, number, attempt, outcome)
        seat.policy.hand_off_ended(
            now, number, False, box.number, outcome, attempt, now - way.attempts[attempt][1], None
        )

    def _set_up(
        self,
        seat: EmulatedBalancer,
        turn: int,
        way: EmulatedLogin,
        box: EmulatedServer,
        attempt: int,
        back: int,
    ) -> None:
        box.pending = max(0, box.pending - 1)
        number = way.login.login
        if (
            seat.turn != turn
            or not seat.alive
            or attempt in way.settled
            or seat.ways.get(number) is not way
        ):
            return
        if not box.up:
            self.clock.after(back, self._failed, seat, turn, way, box, attempt, Outcome.BROKEN)
            return
        now = self.clock.now
        if not self._bears(box, way.wish.cost):
            self.clock.after(back, self._failed, seat, turn, way, box, attempt, Outcome.BROKEN)
            return
        self._conns += 1
        conn = way.conn = EmulatedConnection(
            self._conns, box, seat, number, way.wish, now + way.wish.hold
        )
        box.conns[conn.number] = conn
        box.cost += way.wish.cost
        self.clock.at(conn.ends_at, self._over, conn)
        self.clock.after(back, self._opened, seat, turn, way, box, attempt)

    def _opened(
        self,
        seat: EmulatedBalancer,
        turn: int,
        way: EmulatedLogin,
        box: EmulatedServer,
        attempt: int,
    ) -> None:
        number, now = way.login.login, self.clock.now
        if (
            seat.turn != turn
            or not seat.alive
            or attempt in way.settled
            or seat.ways.get(number) is not way
            or way.conn is None
        ):
            return
        way.settled.add(attempt)
        way.opened = True
        self.rules.answered(now, seat.number, number, "fulfilled")
        self.clock.note("open", seat.number, number, box.number)
        self.tally["fulfilled"] += 1
        wish, workload = way.wish, self.workloads[way.wish.workload]
        waited = now - wish.began_at
        late = max(0, waited - workload.soft_limit) / max(
            1, workload.time_limit - workload.soft_limit
        )
        self._met(wish, max(0.0, 1.0 - late))
        seat.policy.hand_off_started(
            now, number, attempt, box.number, now - way.attempts[attempt][1]
        )

    def _bears(self, box: EmulatedServer, cost: float) -> bool:
        """Whether a server that warms up bears one more set-up. It works them off at the multiple of the rate at which it
        warms (size over ramp, by its share); when a span's worth of them is queued it falls over."""
        now, given = self.clock.now, self.scenario.servers
        share = box.share(now, self.scenario)
        if share >= 1.0:
            return True
        bears = given.multiple * share * box.size * SECOND / max(1, given.ramp_ms * MS)
        box.queued = max(0.0, box.queued - bears * (now - box.queued_at) / SECOND) + cost
        box.queued_at = now
        if box.queued > max(bears, 4.0) and box.up:
            self.rules.fell(
                now,
                box.number,
                f"{box.queued:.1f} set-ups queued as it warms up, it bears {bears:.1f} a second",
            )
            self.clock.note("fell", box.number)
            self._stop(box)
            self.clock.after(given.fallen_ms * MS, self._start, box)
            return False
        return True

    # Connections

    def _over(self, conn: EmulatedConnection) -> None:
        if conn.number in conn.box.conns:
            self.end(conn, Outcome.FULFILLED, again=False)

    def end(self, conn: EmulatedConnection, outcome: Outcome, again: bool) -> None:
        """A connection ends; its client comes back where it was not done."""
        box, seat, now = conn.box, conn.seat, self.clock.now
        if box.conns.pop(conn.number, None) is None:
            return
        box.cost = max(0.0, box.cost - conn.wish.cost)
        way = seat.ways.get(conn.login)
        if way is not None and way.conn is conn and not way.opened:
            # It ends before its balancer has heard of it: to that one the hand-off has failed.
            way.conn = None
            self.clock.after(
                self.delay(seat.zone, box.zone),
                self._failed,
                seat,
                seat.turn,
                way,
                box,
                len(way.attempts) - 1,
                Outcome.BROKEN,
            )
            return
        if way is not None and way.conn is conn:
            del seat.ways[conn.login]
            attempt = len(way.attempts) - 1
            self.clock.note("end", seat.number, conn.login)
            if seat.alive:
                self.rules.done(seat.number, conn.login)
                self.clock.after(
                    self.delay(seat.zone, box.zone),
                    self._tell_end,
                    seat,
                    seat.turn,
                    conn.login,
                    box,
                    outcome,
                    attempt,
                )
        if again and conn.ends_at > now:
            wish = conn.wish
            back = Arrival(
                wish.workload,
                now,
                wish.cost,
                wish.group,
                wish.subject,
                conn.ends_at - now,
                self._judged(),
            )
            back.came_back = True
            self.clock.after(int(self.rng.uniform(20, 400) * MS), self._come, back)

    def _tell_end(
        self,
        seat: EmulatedBalancer,
        turn: int,
        login: int,
        box: EmulatedServer,
        outcome: Outcome,
        attempt: int,
    ) -> None:
        if seat.alive and seat.turn == turn:
            seat.policy.hand_off_ended(
                self.clock.now, login, True, box.number, outcome, attempt, 0, None
            )

    # Probes

    def probe(self, seat: EmulatedBalancer, server: int) -> None:
        now, turn, box = self.clock.now, seat.turn, self.boxes.get(server)
        wait = int(self.scenario.balancers.connect_ms * 1.25 * MS)
        self.tally["probes"] += 1
        if (
            box is None
            or not box.up
            or box.silent
            or self._lost(seat.zone, box.zone)
            or self._lost(box.zone, seat.zone)
        ):
            self.clock.after(
                wait, self._probed, seat, turn, server, Outcome.NOT_CONNECTED, None, now
            )
            return
        self.clock.after(
            2 * self.delay(seat.zone, box.zone),
            self._probed,
            seat,
            turn,
            server,
            Outcome.FULFILLED,
            self._report(box),
            now,
        )

    def _report(self, box: EmulatedServer) -> Report:
        """What it tells is as old as reports are here, and noisy."""
        at = self.clock.now - int(self.scenario.reports.lag_ms * MS)
        count, pressure = len(box.conns), box.pressure(self.clock.now, self.scenario)
        for when, was_count, was_pressure in reversed(box.past):
            if when <= at:
                count, pressure = was_count, was_pressure
                break
        noise = 1.0 + self.scenario.reports.noise * self.rng.uniform(-1, 1)
        return Report(float(count), pressure * noise, min(1.0, pressure * noise))

    def _probed(
        self,
        seat: EmulatedBalancer,
        turn: int,
        server: int,
        outcome: Outcome,
        report: Report | None,
        began: int,
    ) -> None:
        if seat.alive and seat.turn == turn:
            seat.policy.probe_answered(
                self.clock.now, server, self.clock.now - began, outcome, report
            )

    # The list

    def _list_changed(self, box: EmulatedServer) -> None:
        """Each balancer hears of it after a lag of its own, unless the list is silent."""
        line = self._line(box)
        for seat in self.seats:
            wait = int(self.scenario.lists.lag_ms * MS * self.rng.uniform(0.2, 1.8))
            self.clock.after(wait, self._list_comes, seat, seat.turn, line)

    def _list_comes(self, seat: EmulatedBalancer, turn: int, line: ListedServer) -> None:
        if self._mute_list:
            self.clock.after(250 * MS, self._list_comes, seat, turn, line)
        elif seat.alive and seat.turn == turn:
            known = seat.known.get(line.server)
            # A later word may have overtaken this one.
            if known is None or self.boxes[line.server].status == line.status:
                seat.take_list([line], False)

    # Servers stop and start

    def _stop(self, box: EmulatedServer) -> None:
        box.up = False
        for conn in list(box.conns.values()):
            self.end(conn, Outcome.BROKEN, again=True)
        box.cost, box.pending = 0.0, 0

    def _start(self, box: EmulatedServer) -> None:
        box.up, box.started_at, box.status = True, self.clock.now, Status.READY
        box.queued = 0.0
        box.past.clear()
        self._list_changed(box)

    def _drain(self, box: EmulatedServer, back_after: int) -> None:
        if box.status is not Status.READY or not box.up:
            return
        box.status = Status.DRAINING
        self._list_changed(box)
        self.clock.after(back_after, self._drained, box)

    def _drained(self, box: EmulatedServer) -> None:
        box.status = Status.GONE
        self._list_changed(box)
        self._stop(box)
        self.clock.after(SECOND, self._start, box)

    # Troubles

    def _some(self, part: float) -> list[EmulatedServer]:
        ready = [box for box in self.boxes.values() if box.up and box.status is Status.READY]
        return self.rng.sample(ready, min(len(ready), max(1, round(part * len(ready)))))

    def _trouble(self, given: Disruption) -> None:
        self.rules.step(self.clock.now, f"trouble: {given.kind}")
        self.clock.note("trouble " + given.kind)
        span = int(given.for_s * SECOND)
        getattr(self, "_" + given.kind.replace(" ", "_") + "_comes")(given, span)

    def _drain_comes(self, given: Disruption, span: int) -> None:
        for box in self._some(given.part):
            self._drain(box, span)

    def _release_comes(self, given: Disruption, span: int) -> None:
        """One after the other, over the span."""
        boxes = self._some(given.part)
        for at, box in enumerate(boxes):
            self.clock.after(
                at * span // len(boxes),
                self._drain,
                box,
                min(3 * SECOND, span // len(boxes) + SECOND),
            )

    def _vanish_comes(self, given: Disruption, span: int) -> None:
        for box in self._some(given.part):
            self._stop(box)
            self.clock.after(span, self._start, box)

    def _silent_server_comes(self, given: Disruption, span: int) -> None:
        for box in self._some(given.part):
            box.silent = True
            self.clock.after(span, setattr, box, "silent", False)

    def _slow_comes(self, given: Disruption, span: int) -> None:
        for box in self._some(given.part):
            box.slow = given.factor
            self.clock.after(span, setattr, box, "slow", 1.0)

    def _fast_errors_comes(self, given: Disruption, span: int) -> None:
        for box in self._some(given.part):
            box.errs = True
            self.clock.after(span, setattr, box, "errs", False)

    def _zone_loss_comes(self, given: Disruption, span: int) -> None:
        zone = self.rng.randrange(self.scenario.servers.zones)
        for box in self.boxes.values():
            if box.zone == zone and box.up:
                self._stop(box)
                self.clock.after(span, self._start, box)

    def _balancer_killed_comes(self, given: Disruption, span: int) -> None:
        alive = [seat for seat in self.seats if seat.alive]
        for seat in self.rng.sample(alive, min(len(alive), max(1, round(given.part * len(alive))))):
            self._kill(seat)
            self.clock.after(span, seat.start)

    def _kill(self, seat: EmulatedBalancer) -> None:
        seat.alive = False
        for number, way in list(seat.ways.items()):
            self.rules.left(self.clock.now, seat.number, number)
            if way.conn is not None:
                self.end(way.conn, Outcome.BROKEN, again=True)
            else:
                way.wish.came_back = True
                self.clock.after(int(self.rng.uniform(20, 400) * MS), self._come_again, way.wish)
        seat.ways = {}

    def _balancer_restart_comes(self, given: Disruption, span: int) -> None:
        """Planned: clients are moved first, over some seconds."""
        alive = [seat for seat in self.seats if seat.alive]
        for seat in self.rng.sample(alive, min(len(alive), max(1, round(given.part * len(alive))))):
            for number in list(seat.ways):
                self.clock.after(int(self.rng.random() * LOST_MOVES), seat.move, number)
            self.clock.after(LOST_MOVES, self._kill, seat)
            self.clock.after(LOST_MOVES + span, seat.start)

    def _client_drop_comes(self, given: Disruption, span: int) -> None:
        """A carrier's link breaks: a part of all connections ends at once, and their clients come back."""
        conns = [conn for box in self.boxes.values() for conn in box.conns.values()]
        for conn in self.rng.sample(conns, round(given.part * len(conns))):
            self.end(conn, Outcome.BROKEN, again=True)

    def _list_silent_comes(self, given: Disruption, span: int) -> None:
        self._mute_list = True
        self.clock.after(span, setattr, self, "_mute_list", False)

    def _partition_comes(self, given: Disruption, span: int) -> None:
        self._cut_zones = {self.rng.randrange(self.scenario.servers.zones)}
        self.clock.after(span, setattr, self, "_cut_zones", set())

    def _loss_comes(self, given: Disruption, span: int) -> None:
        self._extra_loss = given.part
        self.clock.after(span, setattr, self, "_extra_loss", 0.0)

    def _surge_comes(self, given: Disruption, span: int) -> None:
        self._surge = given.factor
        self.clock.after(span, setattr, self, "_surge", 1.0)

    # Looking

    def _sample(self) -> None:
        now = self.clock.now
        self.clock.after(SAMPLE, self._sample)
        pressures, given = [], self.scenario.servers
        for box in self.boxes.values():
            wander = max((w.wander for w in self.scenario.workloads), default=0.0)
            box.wave += 0.25 * (1.0 - box.wave) + wander * 0.25 * self.rng.uniform(-1, 1)
            pressure = box.pressure(now, self.scenario) if box.up else 0.0
            box.past = [held for held in box.past if held[0] > now - 10 * SECOND] + [
                (now, len(box.conns), pressure)
            ]
            pressures.append(round(pressure, 4))
            if self._judged():
                # M/M/1: a message is late with chance exp(-(1 - load) * slack); past its capacity a server's queue
                # grows, and all are.
                self.conn_time += len(box.conns)
                self.on_time += len(box.conns) * max(
                    0.0, 1.0 - exp(-(1.0 - pressure) * given.message_slack)
                )
        share = self._late_quality / self._late_worth if self._late_worth else 1.0
        self._late_quality = self._late_worth = 0.0
        self.samples.append(
            (round((now - self.clock.began) / SECOND, 3), pressures, round(share, 4))
        )
        self.rules.overdue(now, SLACK)

    @property
    def service(self) -> float:
        """What clients got of what they wanted: answers in time, and connections that were served in time."""
        answers = self.quality / self.worth if self.worth else 1.0
        return answers * (self.on_time / self.conn_time if self.conn_time else 1.0)

    @property
    def standing(self) -> int:
        return sum(len(box.conns) for box in self.boxes.values())
