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
CALM_PERIOD = 2 * PROBE_PERIOD  # for a server with much room: probes are paid for
CALM = 0.5  # of what a server can do: below it a server has much room
AGE_LIMIT = 3 * PROBE_PERIOD  # the design's 3 s: a count older than this leaves the draw
REPORT_LAG = PROBE_PERIOD  # a report may miss placements made this long before it came
ROOM = 0.7  # of what a server can do: beyond it a server gets nothing new while others have room
HOT = 0.85  # of what a server can do: beyond it connections are moved away
EVEN = 1.15  # times the fleet's mean pressure: a fleet that is full all over has no hot server
MOVE_REST = 5 * PROBE_PERIOD // 2  # until a move shows in the reports
MOVE_PART = 0.5  # of the excess that goes in one step, each balancer its own part of it
GROUP_SPREAD = 1.15  # times a group's share of the load: the part of the power it may spread over
RESERVE = 0.1  # of what a server can do, kept for logins that bring more importance for their load
DEAR_CROSSING = (
    0.01  # of a login's worth: a crossing of zones that costs more is avoided while there is room
)
NOTE_LASTS = (
    3 * PROBE_PERIOD // 2
)  # a note of late messages comes once a second while they are late
LEFT_LATE = (
    2.0  # times the shortest message limit: past it connections leave a server though it has room
)
LATE_PART = 0.75  # of the servers that hold own connections may be late at once, for that
ALIKE = 4  # balancers, this one too, that are taken to place alike
GROUP_MARGIN = (
    0.1  # of what a server can do: what a group may cost a server that does not hold it yet
)
FAILS_IN_ROW = 2  # failed hand-offs that take a server out of the draw
SILENT_IN_ROW = 3  # unanswered probes or connects after which a server counts as lost
COLD_CARE = 0.8  # of the cold budget is used; the rest is for chance and for what others send
FULL = (
    0.85  # of what a server can do: nothing new beyond it; a fleet with no server under it bounces
)
RESEND_PART = (
    0.3  # resends earned by each login; past failures that may be shared, the rest are bounced
)
RESEND_MOST = 10.0  # resends that may be saved up
RATE_TIME = 10 * AGE_LIMIT  # over which own logins are counted
DEAR_PROBING = (
    0.02  # of what logins are worth: where probing all servers costs more, only some are probed
)
SOME_PROBING = (
    0.005  # of what logins are worth: what the standing probes of some servers may cost then
)
ASK_FIRST = 3  # servers asked before a hand-off where only some are probed; later rounds ask more
ASK_ROUNDS = 2
JOIN_WITHIN = PROBE_PERIOD // 20  # a probe sent so lately is waited for, not sent again
ASK_PART = 0.25  # of the soft limit, for one round of answers; half of the time left at most, to end in time
UNASKED = 0.5  # of a cold server's budget is given to others, who come unevenly and tell of it late
DOUBTFUL, LOTS = (
    6,
    2000,
)  # cold servers all of whose lots are told apart; so many lots where they are more
GROUPS_LIKELY = (
    40  # of unknown size; what is seen of a group's share is drawn towards that of one of them
)


class Roster:
    """The servers as the list tells of them, and those that operators have taken out: two words, neither of
    which stands for the other."""

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.version = 0  # of who is ready
        self.out_of_service: dict[int, int] = {}  # when operators took a server out, listed or not
        self._back: dict[int, int] = {}  # when they put back one that was not listed then

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
                server.started_at = max(server.started_at, self._back.pop(line.server, 0))
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
                server.read_at, server.count, server.pressure = 0, None, None
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
            self._settle()
            for server in [
                s for s in self.servers.values() if s.status is Status.GONE and not s.open
            ]:
                del self.servers[server.id]
        return started, left

    def _settle(self) -> None:
        self.version += 1
        for server in self.servers.values():
            server.ready = server.status is Status.READY and server.id not in self.out_of_service
        self.ready = [server for server in self.servers.values() if server.ready]

    def take_out_of_service(self, now: int, server: int) -> Server | None:
        """It drains from now on, whatever the list tells, drops or lists anew; returns it if it was ready."""
        self.out_of_service.setdefault(server, now)
        left = [known for known in self.ready if known.id == server]
        self._settle()
        return left[0] if left else None

    def restore_to_service(self, now: int, server: int) -> Server | None:
        """Returns it if ready now. Its start is the list's or else now; what it showed before is void."""
        out_at, known = self.out_of_service.pop(server, None), self.servers.get(server)
        if out_at is None:
            return None
        if known is None:
            self._back[server] = now
            return None
        if known.started_at <= out_at:
            known.started_at = now
        known.listed_at, known.read_at, known.count, known.pressure = now, 0, None, None
        known.fails = known.bars = known.barred_until = known.silent = known.trial = (
            known.full_until
        ) = 0
        self._settle()
        return known if known.ready else None


class Counts:
    """Reported counts and pressures, their age, and each server's power."""

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._kinds: dict[int, Histogram] = {}
        self.typical = 1.0  # connections that fill a server of mean power
        self.mean_pressure = 0.0
        self._weigh_at = 0
        self._since = 0.0
        self._room_power = 1.0  # of all servers that are not full
        self.some_only = False  # only some servers are probed
        self._recent: list[tuple[int, Server, int]] = []  # own placements, oldest first

    def take_settings(self, balancers: int, weight_varies: bool) -> None:
        self._balancers, self._weight_varies = balancers, weight_varies

    def take(self, now: int, server: Server, report: Report) -> None:
        server.count = report.count
        server.pressure = report.busy if report.pressure is None else report.pressure
        server.read_at = now
        horizon = now - REPORT_LAG
        for login in [login for login, (at, _, _) in server.placed.items() if at <= horizon]:
            self.unplaced(server, login)
        if server.count and server.pressure and server.count >= 4 and server.pressure > 0.04:
            size = server.count / server.pressure
            server.capacity.add(size)
            self._kinds.setdefault(server.kind, Histogram()).add(size)
        # Guards against CPU growing with the square of the fleet: weighed ten times a second at most.
        if now >= self._weigh_at:
            self._weigh_at = now + (PROBE_PERIOD if self.some_only else PROBE_PERIOD // 10)
            self._weigh(now)

    def _weigh(self, now: int) -> None:
        ready = self._roster.ready
        sizes = [size for size in map(self.capacity, ready) if size is not None]
        self.typical = sum(sizes) / len(sizes) if sizes else 1.0
        weights = [server.weight for server in ready if server.weight > 0]
        mean_weight = sum(weights) / len(weights) if weights else 1.0
        asked = power = room = 0.0
        for server in ready:
            size = self.capacity(server)
            if size is not None:
                server.power = size / self.typical
            elif server.weight > 0 and not self._weight_varies:
                server.power = server.weight / mean_weight
            if server.pressure is not None and self.fresh(now, server):
                asked += server.pressure * server.power
                power += server.power
                room += server.power if server.pressure < FULL else 0.0
            elif self.some_only:
                room += server.power
        self._room_power = max(room, 1.0)
        self.mean_pressure = asked / power if power else 0.0

    def capacity(self, server: Server) -> float | None:
        size = server.capacity.mean
        if size is None and server.kind in self._kinds:
            size = self._kinds[server.kind].mean
        return size

    def fresh(self, now: int, server: Server) -> bool:
        """Ageing: a server unheard of for the age limit is dropped; a new one is given as long to answer."""
        return now - (server.read_at or server.listed_at) <= (
            RATE_TIME if self.some_only else AGE_LIMIT
        )

    def heard(self, now: int, server: Server) -> bool:
        """Whether its last report is about as recent as one of the ordinary probes."""
        return server.read_at > 0 and now - server.read_at <= PROBE_PERIOD

    def expire(self, now: int) -> None:
        """Forgets placements that reports hold by now, where most servers are not heard of again soon."""
        while self._recent and self._recent[0][0] <= now - 2 * REPORT_LAG:
            _, server, login = self._recent.pop(0)
            self.unplaced(server, login)

    def placed(self, now: int, server: Server, login: int, load: float, alone: float = 0.0) -> None:
        server.placed[login] = (now, load, alone)
        server.since, server.alone = server.since + load, server.alone + alone
        self._since += load - alone
        if self.some_only:
            self._recent.append((now, server, login))

    def unplaced(self, server: Server, login: int) -> None:
        _, load, alone = server.placed.pop(login, (0, 0.0, 0.0))
        server.since -= load
        server.alone -= alone
        self._since -= load - alone

    def projected(self, server: Server) -> float | None:
        """Pressure with placements since: own ones, and those taken to be made by the other balancers.

        Guards against a flood of returning clients (a drain, a reconnect): each balancer sees a part."""
        if server.pressure is None:
            return None
        size = (
            self.capacity(server) or self.typical
        )  # Guards against a flood where no size is known yet
        if size <= 1.0:
            return server.pressure
        # One own login of many balancers' says nothing of the others; two at once say that a flood comes in.
        flood = max(0.0, self._since - 1.0) if self.some_only else self._since
        spread = flood * min(1.0, server.power / self._room_power)
        alike = min(self._balancers, ALIKE)
        # A report that was asked for is no fresher, and others of many balancers have placed by it too.
        met = alike - 1 if self.some_only else 0
        # Guards against refusals when another balancer restarts: its clients come here alone, and only once.
        own = alike * server.since - (alike - 1) * server.alone
        return server.pressure + (met + own + (self._balancers - alike) * spread) / size

    def per_power(self, server: Server, mean: float) -> float:
        """Connections of like cost a unit of power: the design's count, for unlike servers and logins."""
        if server.pressure is not None:
            known = server.pressure * self.typical
        elif server.count is not None:
            known = server.count / server.power
        else:
            known = max(mean, len(server.open) * self._balancers / server.power)
        return max(0.0, known + server.since / server.power)

    def mean_per_power(self, servers: list[Server]) -> float:
        known = [self.per_power(server, 0.0) for server in servers if server.count is not None]
        return sum(known) / len(known) if known else 0.0


class Health:
    """Failures in a row take a server out of the draw; probes or one trial login bring it back."""

    def __init__(self, host: Host, rng: Random, counts: Counts) -> None:
        self._host, self._rng, self._counts = host, rng, counts

    def in_draw(self, now: int, server: Server) -> bool:
        if server.silent >= SILENT_IN_ROW - 1 and (
            not self._counts.some_only or server.asked_at or now - server.probed_at <= AGE_LIMIT
        ):
            return False
        return server.fails < FAILS_IN_ROW or (now >= server.barred_until and not server.trial)

    def drawn(self, server: Server, login: int) -> None:
        if server.fails >= FAILS_IN_ROW:
            server.trial = login

    def failed(self, now: int, server: Server, login: int, outcome: Outcome) -> None:
        if server.trial == login:
            server.trial = 0
        if outcome is Outcome.NOT_CONNECTED:
            server.silent += 1
        server.fails += 1
        if server.fails >= FAILS_IN_ROW:
            server.bars = min(server.bars + 1, 3)
            server.barred_until = now + int(
                PROBE_PERIOD * (1 << server.bars) * self._rng.uniform(0.75, 1.25)
            )
        if server.fails == FAILS_IN_ROW:
            self._host.log(
                f"server {server.id} out of the draw: {server.fails} hand-offs failed in a row"
            )

    def worked(self, server: Server, login: int) -> None:
        if server.fails >= FAILS_IN_ROW:
            self._host.log(f"server {server.id} back in the draw: its trial login was set up")
        if server.trial == login:
            server.trial = 0
        elif server.bars and server.fails == 0:
            server.bars -= 1
        server.fails = server.silent = 0


class Means:
    """Whether this balancer can pay for probing every server, and how many it probes otherwise."""

    def __init__(self, now: int) -> None:
        self._seen, self._at = 0.0, now  # logins, halved every RATE_TIME
        self._began: int = now  # how long they are counted; longer, if connections stood before
        self._last = [-RATE_TIME, -RATE_TIME]  # when the last two came
        self._told: dict[
            int, int
        ] = {}  # logins that others placed, by the second in which they told of them

    def take_settings(self, fee: float, balancers: int) -> None:
        self._fee, self._balancers = fee, balancers

    def stood(self, now: int) -> None:
        """A connection of before the start: a login of the time before, as long ago as any counts."""
        self._began = now - 10 * RATE_TIME
        self.login_seen(now, False)

    def login_seen(self, now: int, came_back: bool, number: int = 1) -> None:
        """Clients that come back bring no importance of their own, however many they are."""
        if not came_back:
            self._seen, self._at = self._fade(now) + number, now
        self._last = [self._last[1], now]

    def told(self, now: int, number: int) -> None:
        self.login_seen(now, False, number)
        second = now // SECOND
        self._told = {at: held for at, held in self._told.items() if at > second - 3}
        self._told[second] = self._told.get(second, 0) + number

    def of_late(self, now: int) -> int:
        """The most logins that others told of in one of the last seconds: a flood is seen at once."""
        return max((held for at, held in self._told.items() if at > now // SECOND - 3), default=0)

    def learned(self, now: int) -> tuple[float, int]:
        return self._fade(now), self._began

    def follow(self, now: int, seen: float, began: int) -> None:
        self._seen, self._at, self._began = (
            self._fade(now) + float(seen),
            now,
            min(self._began, int(began)),
        )

    def _fade(self, now: int) -> float:
        return self._seen * 0.5 ** ((now - self._at) / RATE_TIME)

    def rate(self, now: int) -> float:
        """Own logins a second; connections held at the start count as logins of the time before."""
        # Guards against a balancer that has just started and takes the rate of logins for low.
        counted = max(AGE_LIMIT, now - self._began)
        return 0.69 * self._fade(now) * SECOND / (RATE_TIME * (1 - 0.5 ** (counted / RATE_TIME)))

    def settled(self, now: int) -> bool:
        """Whether a login has come, or none matters: before that their rate is unknown, not nil.

        Clients that come back from another balancer tell nothing of it, unless for long no other came."""
        return (
            self._seen > 0
            or not self._fee
            or now - self._began > 2 * AGE_LIMIT
            and self._last[1] > 0
        )

    def many(self, now: int, span: int) -> bool:
        """Whether more than one login came within the span."""
        return now - self._last[0] < span

    def some_only(self, now: int, servers: int) -> bool:
        """Whether probing all, as seldom as the design allows, costs too much of what logins are worth.
        It does, too, where more balancers than servers share them: each knows little of counts and groups."""
        cost = servers * self._fee * SECOND / AGE_LIMIT
        return cost > 0 and (
            self._balancers > servers
            or (self.settled(now) and cost > DEAR_PROBING * self.rate(now))
        )

    def probed(self, now: int, servers: int) -> int:
        """How many servers to probe in an age limit, if not all."""
        part = (
            SOME_PROBING * self.rate(now) * AGE_LIMIT / SECOND / self._fee if self._fee else servers
        )
        return max(1, min(servers, int(part)))


class ColdBudget:
    """This balancer's part of what a server that just started may be sent."""

    def __init__(self, counts: Counts, means: Means) -> None:
        self._counts, self._means = counts, means
        self.stands_by = False  # another process of this balancer places its logins

    def take_settings(self, rule: ColdRule, balancers: int) -> None:
        self._rule, self._share = rule, COLD_CARE / balancers

    def is_cold(self, now: int, server: Server) -> bool:
        return bool(server.started_at) and now - server.started_at < self._rule.ramp

    def _part(self, now: int, server: Server) -> float:
        age = max(0, now - server.started_at) / max(1, self._rule.ramp)
        return min(1.0, self._rule.start_share + (1 - self._rule.start_share) * age)

    def _level(self, now: int, server: Server) -> tuple[float, float]:
        """What is spent, drained at the rate the server can take, and this balancer's part of a span."""
        size = self._counts.capacity(server) or self._rule.ramp / self._rule.span
        rate = (
            self._rule.multiple
            * self._part(now, server)
            * size
            / max(1, self._rule.ramp)
            * self._share
        )
        return max(0.0, server.cold_spent - rate * (now - server.cold_at)), rate * self._rule.span

    def _refill(self, now: int, server: Server) -> None:
        server.cold_spent, _ = self._level(now, server)
        server.cold_at = now

    def allows(self, now: int, server: Server, held: LoginState, rng: Random) -> bool:
        if not self.is_cold(now, server):
            return True
        self._refill(now, server)
        chance = self.chance(now, server, held)
        return (
            chance >= 1.0
            or chance > 0.0
            and held.turns.setdefault(server.id, rng.random()) < chance
        )

    def chance(self, now: int, server: Server, held: LoginState) -> float:
        """The chance that the budget lets this login take part in the draw of the server."""
        if self.stands_by or not self.is_cold(now, server):
            return float(not self.is_cold(now, server))
        spent, part = self._level(now, server)
        most = max(1.0, part)
        if spent + min(held.load, most) > most + 1e-9:
            return 0.0
        # Guards against hundreds of balancers that each round their part of a server up to a connection: less
        # is taken as a chance, by the logins this balancer places in a span. Of those that come back all
        # balancers may have some at once, so a span is taken to hold one at least.
        logins = self._means.rate(now) * self._rule.span / SECOND
        if held.login.came_back or self._means.many(now, self._rule.span):
            logins = max(1.0, logins)
        return 1.0 if part >= logins else part / logins

    def bound(self, now: int, server: Server, span: int, even: float) -> float:
        """The most of all logins of a span that others may send there; `even`: its share by power alone.

        Guards against hundreds that place by one answer until they have the next: one's find is all's."""
        logins = max(self._means.rate(now), self._means.of_late(now)) * span / SECOND
        if server.fails >= FAILS_IN_ROW:
            return 1.0 / max(1.0, logins)  # one trial login, as in the draw
        if not self.is_cold(now, server):
            return 1.0
        share = even * self._part(now, server)
        if logins < 1.0:
            return share
        spent, part = self._level(now, server)
        left = max(0.0, part - spent + part * span / self._rule.span) * UNASKED
        return min(share * self._rule.multiple, left / logins)

    def spent(self, now: int, server: Server) -> float:
        return self._level(now, server)[0] if self.is_cold(now, server) else 0.0

    def spend(self, now: int, server: Server, load: float) -> None:
        if self.is_cold(now, server):
            self._refill(now, server)
            server.cold_spent += load


class Draw:
    """The design's random draw, and the narrowing of who takes part in it."""

    def __init__(
        self, rng: Random, roster: Roster, counts: Counts, health: Health, cold: ColdBudget
    ) -> None:
        self._rng, self._roster, self._counts, self._health, self._cold = (
            rng,
            roster,
            counts,
            health,
            cold,
        )
        self.group_load: dict[int, int] = {}  # own open connections of each group
        self.total_load = 0
        self.homes: dict[int, int] = {}  # where a group's last connection was opened
        self._orders: dict[tuple[int, bool], list[Server]] = {}  # of the ready servers, for a group
        self._orders_of = 0
        self._full_until = 0  # until then a login is not asked for beyond its homes
        self._seen: dict[int, float] = {}  # logins of each group, halved now and then
        self._seen_total = 0.0
        self._lent: list[tuple[Server, int]] = []

    def take_settings(
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

    def _stays_near(self, login: Login) -> bool:
        """Whether it stays in its zone: crossings dear, room for groups held twice, no flood of returns."""
        return (
            self._crossing_price > DEAR_CROSSING
            and not login.came_back
            and self._counts.mean_pressure < ROOM - GROUP_MARGIN
        )

    def late(self, now: int, server: Server, part: float) -> bool:
        """Whether messages there took more than this part of the shortest message limit, by a recent note."""
        return now - server.delay_at < NOTE_LASTS and server.delay > part * self._message_limit > 0

    def has_room(self, now: int, server: Server) -> bool:
        if now < server.full_until or self.late(now, server, 0.5):
            return False
        pressure = self._counts.projected(server)
        return pressure is None or pressure < max(ROOM, self._counts.mean_pressure)

    def pick(self, now: int, held: LoginState, allowed: Callable[[Server], bool]) -> Server | None:
        able = [
            s
            for s in self._roster.ready
            if allowed(s) and self._cold.allows(now, s, held, self._rng)
        ]
        drawn, even = self._entrants(now, held, able)
        if not drawn:
            return None
        return self._rng.choice(drawn) if even else self._weighted(drawn)

    def draw_probabilities(self, now: int, held: LoginState, span: int) -> dict[int, float]:
        """`pick`'s answer for every server at once, nothing drawn, nothing changed; empty where it has none.

        With a span: for all the logins that others place by it meanwhile. Their sum is under 1 where the
        servers with room may not be sent all of them."""
        ready = self._roster.ready
        admitted = {
            server: 1.0 if span else self._cold.chance(now, server, held) for server in ready
        }
        doubtful = [s for s, chance in admitted.items() if 0.0 < chance < 1.0]
        found: dict[Server, float] = {}
        every, rng = len(doubtful) <= DOUBTFUL, Random(0)
        for lots in (
            product((True, False), repeat=len(doubtful))
            if every
            else ([rng.random() < admitted[s] for s in doubtful] for _ in range(LOTS))
        ):
            part = (
                prod(admitted[s] if lot else 1.0 - admitted[s] for s, lot in zip(doubtful, lots))
                if every
                else 1.0 / LOTS
            )
            out = {s for s, lot in zip(doubtful, lots) if not lot}
            drawn, even = self._entrants(
                now, held, [s for s in ready if admitted[s] and s not in out]
            )
            weights = [1.0] * len(drawn) if even else self._weights(drawn)
            whole = sum(weights)
            for server, weight in zip(drawn, weights):
                found[server] = found.get(server, 0.0) + part * weight / whole
        if span:
            found = self._bounded(now, found, span)
        return {server.id: chance for server, chance in found.items()}

    def _bounded(self, now: int, found: dict[Server, float], span: int) -> dict[Server, float]:
        """What is too much for a server goes to the others in the ratio of their chances."""
        power = sum(server.power for server in found)
        bounds = {
            server: self._cold.bound(now, server, span, server.power / power) for server in found
        }
        if (
            all(self._cold.is_cold(now, server) for server in found)
            and not self._counts.mean_pressure
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

    def _entrants(
        self, now: int, held: LoginState, able: list[Server]
    ) -> tuple[list[Server], bool]:
        """Who of these takes part in the draw, and whether that is even for want of counts."""
        if not able:
            return [], False
        tried = [attempt.server for attempt in held.attempts]
        untried = [s for s in able if s.id not in tried] or able
        well = [s for s in untried if self._health.in_draw(now, s)] or untried
        fresh = [s for s in well if self._counts.fresh(now, s)]
        if not any(server.count is not None for server in fresh):
            # None has a count, or all would be dropped: the design's even draw over ready servers.
            return well, True
        fresh = [s for s in fresh if self._not_full(now, s, held)]
        if not fresh:
            return [], False
        roomy = [s for s in fresh if self.has_room(now, s)]
        near = [s for s in roomy if s.zone == self._zone] if self._stays_near(held.login) else []
        if near and self._grouped and held.login.group:
            near = self._holders(held.login.group, near, [])
        if near:
            return near, False
        if self._grouped and held.login.group:
            return self._holders(held.login.group, roomy, fresh), False
        return roomy or fresh, False

    def _not_full(self, now: int, server: Server, held: LoginState) -> bool:
        # Guards against a standing overload: what is piled up on a full server spoils all its connections.
        return (
            now >= server.full_until
            and not self.late(now, server, 1.0)
            and (self._counts.projected(server) or 0.0) < FULL - self._reserves[held.login.workload]
        )

    def _in_order(
        self, now: int, held: LoginState, allowed: Callable[[Server], bool], enough: int
    ) -> list[Server]:
        """The first servers for a login where only some are probed: in its group's order.

        The order comes from the ids alone, so hundreds of balancers that never speak gather a group alike,
        each with few of its connections. A login without a group has an order of its own, at random."""
        if self._orders_of != self._roster.version:
            self._orders_of = self._roster.version
            self._orders.clear()
        group = held.login.group if self._grouped else 0
        near = self._stays_near(held.login)
        order = self._orders.get((group, near)) if group else held.order
        if not order:
            order = (
                sorted(self._roster.ready, key=lambda s: _rank(group, s))
                if group
                else self._rng.sample(self._roster.ready, len(self._roster.ready))
            )
            if near:
                order.sort(key=lambda s: s.zone != self._zone)
            if group:
                self._orders[group, near] = order
            held.order = order
        tried = [attempt.server for attempt in held.attempts]
        able: list[Server] = []
        rest: list[Server] = []
        # Guards against CPU that grows with the fleet for each login: the walk ends with the first few.
        for server in order:
            if (
                server.ready
                and now >= server.full_until
                and allowed(server)
                and (not server.delay or not self.late(now, server, 0.5))
                and (not server.started_at or self._cold.allows(now, server, held, self._rng))
            ):
                doubted = server.fails or server.silent
                if server.id in tried or (doubted and not self._health.in_draw(now, server)):
                    rest.append(server)
                    continue
                able.append(server)
                if len(able) >= enough:
                    break
        return able or rest

    def saw_group(self, group: int) -> None:
        self._seen[group] = self._seen.get(group, 0.0) + 1.0
        self._seen_total += 1.0
        if self._seen_total > 10 * GROUPS_LIKELY:
            self._seen = {at: held / 2 for at, held in self._seen.items() if held > 0.5}
            self._seen_total = sum(self._seen.values())

    def _homes_needed(self, group: int) -> int:
        """How many servers a group's load fills, by what this balancer has seen of it.

        One of hundreds sees little, so the share it sees is drawn towards that of a group among a few."""
        share = (self._seen.get(group, 0.0) + 1.0) / (self._seen_total + GROUPS_LIKELY)
        filled = min(1.0, max(0.5, self._counts.mean_pressure / ROOM))
        return 1 + int(share * filled * GROUP_SPREAD * len(self._roster.ready))

    def ask_or_pick(
        self, now: int, held: LoginState, allowed: Callable[[Server], bool]
    ) -> tuple[list[Server], Server | None]:
        """Where only some servers are probed: those to ask before this hand-off, or else the one drawn.

        A group's logins are drawn among its homes with room, then among its homes not full. Then comes the
        next server of its order that has room for the group's own cost too. Guards against groups that
        scatter until every server pays for every group."""
        self._counts.expire(now)
        group = held.login.group if self._grouped else 0
        number = self._homes_needed(group) if group else ASK_FIRST
        rounds = 1 if now < self._full_until else ASK_ROUNDS
        while True:
            # A few of the homes first, then all of them, then further servers in order.
            further = ASK_FIRST << held.round if held.round > 1 else 0
            if further or not held.able:
                held.able = self._in_order(now, held, allowed, number + further)
            able = [s for s in held.able if s.ready]  # a drain may have come
            homes = able[:number]
            held.some = held.some or self._rng.sample(homes, min(len(homes), ASK_FIRST))
            first = able if held.round else held.some
            unheard = [
                s
                for s in first
                if not self._counts.heard(now, s)
                and (not s.asked_at or now - s.asked_at < JOIN_WITHIN)
            ]
            if unheard and held.asked < held.round + 1:
                held.asked = held.round + 1
                return unheard, None
            known = [
                s
                for s in first
                if self._counts.heard(now, s) and self._not_full(now, s, held) and s in able
            ]
            known_homes = [s for s in known if s in homes]
            roomy = [s for s in known_homes if self.has_room(now, s)]
            if roomy or (known_homes and held.round):
                return [], self._weighted(
                    [s for s in roomy if group in s.groups] or roomy or known_homes
                )
            for server in known if held.round else []:
                if not group or (self._counts.projected(server) or 0.0) < ROOM - GROUP_MARGIN:
                    return [], server
            if held.round >= rounds:
                if able and not any(self._counts.heard(now, s) for s in first):
                    return [], self._rng.choice(able)  # none has answered: the design's even draw
                # Guards against probes and CPU spent on a full fleet for each of a flood of logins.
                self._full_until = (
                    now + PROBE_PERIOD if held.round == ASK_ROUNDS else self._full_until
                )
                return [], None
            held.round += 1

    def _weighted(self, servers: list[Server]) -> Server:
        return (
            servers[0]
            if len(servers) == 1
            else self._rng.choices(servers, self._weights(servers))[0]
        )

    def _weights(self, servers: list[Server]) -> list[float]:
        """The design's 1/(count + 1), the counts by power."""
        unread = any(s.count is None and s.pressure is None for s in servers)
        mean = self._counts.mean_per_power(self._roster.ready) if unread else 0.0
        return [s.power / (self._counts.per_power(s, mean) + 1.0) for s in servers]

    def _holders(self, group: int, roomy: list[Server], fresh: list[Server]) -> list[Server]:
        """The servers that should hold a group: so many as its load needs, those that hold most of it first.

        Then the group's own order: it comes from the ids alone, so balancers that never speak choose alike.
        A server that does not hold the group yet needs room for the group's own cost too. Guards against
        groups that scatter over a full fleet, where every server comes to pay for every group."""
        homes = self._homes_of(group)
        chosen = [s for s in roomy if s in homes]
        if not chosen:
            spare = self._spill(group, [s for s in roomy if s not in homes], ROOM)
            spare.sort(key=lambda s: (-s.groups.get(group, 0), _rank(group, s)))
            chosen = _enough(spare, sum(s.power for s in homes))
        return chosen or [s for s in fresh if s in homes] or self._spill(group, fresh, FULL)

    def _homes_of(self, group: int) -> list[Server]:
        """As many servers as the group's load needs, those that hold most of it first, room or not."""
        share = self.group_load.get(group, 0) / self.total_load if self.total_load else 0.0
        need = share * GROUP_SPREAD * sum(server.power for server in self._roster.ready)
        last = self.homes.get(group)
        return _enough(
            sorted(
                self._roster.ready,
                key=lambda s: (-s.groups.get(group, 0), s.id != last, _rank(group, s)),
            ),
            need,
        )

    def _spill(self, group: int, servers: list[Server], limit: float) -> list[Server]:
        """Servers with room for the login, and for the group's own cost where they don't hold it."""
        return [
            s
            for s in servers
            if (self._counts.projected(s) or 0.0)
            < limit - (0.0 if group in s.groups else GROUP_MARGIN)
        ]

    def count_group(self, held: LoginState, server: Server | None, sign: int) -> None:
        if sign > 0 and server is not None and held.login.group:
            self.homes[held.login.group] = server.id
        self._count(held.login.group, server, sign)

    def _count(self, group: int, server: Server | None, number: int) -> None:
        self.total_load += number
        for counts in (
            (self.group_load, server.groups if server is not None else {}) if group else ()
        ):
            load = counts.get(group, 0) + number
            if load > 0:
                counts[group] = load
            else:
                counts.pop(group, None)

    def lend(self, server: Server, group: int) -> None:
        """One of another process stands for its return. Guards against groups that scatter meanwhile."""
        self._count(group, server, 1)
        self._lent.append((server, group))

    def take_back(self) -> None:
        while self._lent:
            server, group = self._lent.pop()
            self._count(group, server, -1)


def _enough(servers: list[Server], need: float) -> list[Server]:
    """The first servers that make up this much power, one at least."""
    for number, server in enumerate(servers, 1):
        need -= server.power
        if need <= 0:
            return servers[:number]
    return servers


def _rank(group: int, server: Server) -> int:
    """The group's own order of servers, alike at every balancer; its high bits mix all of both ids."""
    return (group ^ server.mixed) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF


class HandOffs:
    """When a login may be sent again, for how long a hand-off may take, and which last answer is honest."""

    def __init__(self, roster: Roster) -> None:
        self._roster, self._resends = roster, RESEND_MOST

    def take_settings(self, max_hand_offs: int) -> None:
        self._max = max_hand_offs

    def _may_have_run(self, held: LoginState) -> list[Attempt]:
        return [a for a in held.attempts if a.outcome is None or not a.outcome.proves_not_run]

    def may_send(self, now: int, held: LoginState) -> bool:
        if len(held.attempts) >= self._max or now >= held.login.time_limit_at:
            return False
        if not held.attempts:
            self._resends = min(RESEND_MOST, self._resends + RESEND_PART)
        elif held.attempts[-1].outcome not in (Outcome.FULL, Outcome.NOT_CONNECTED):
            # Guards against resends that keep a shared store behind all set-ups jammed by themselves.
            if self._resends < 1.0:
                return False
            self._resends -= 1.0
        if held.workload.effect is Effect.REPEATABLE:
            return True
        ran, remembered = self._may_have_run(held), held.workload.dedup_window
        # A once-only login that may have run must never run again; a tagged one only while it is remembered.
        return (
            not ran or held.workload.effect is Effect.TAGGED and now < ran[0].sent_at + remembered
        )

    def allowed(self, held: LoginState) -> Callable[[Server], bool]:
        ran = self._may_have_run(held) if held.workload.effect is Effect.TAGGED else []
        if not ran or held.workload.reach is Reach.ALL:
            return lambda server: True
        first = self._roster.servers.get(ran[0].server)
        if first is None:
            return lambda server: False
        if held.workload.reach is Reach.ZONE:
            return lambda server: server.zone == first.zone
        return lambda server: server.cell == first.cell

    def may_bounce(self, held: LoginState) -> bool:
        if held.workload.effect is Effect.REPEATABLE or not self._may_have_run(held):
            return True
        return held.workload.effect is Effect.TAGGED and held.workload.reach is Reach.ALL

    def cut_at(self, now: int, held: LoginState) -> int:
        """Early enough to try elsewhere within the soft limit; the last hand-off has all that is left."""
        limit = held.login.time_limit_at
        left = self._max - len(held.attempts)
        if left <= 1 or self._resends < RESEND_MOST / 2:
            return limit
        return min(limit, now + max(held.workload.soft_limit // 2, (limit - now) // left))


class Moves:
    """The exception to kept placements: off a lost or draining server, and off a hot one in bounded steps."""

    def __init__(
        self,
        host: Host,
        rng: Random,
        counts: Counts,
        group_load: dict[int, int],
        after: Callable[[int, Callable[[int], None]], None],
    ) -> None:
        self._host, self._rng, self._counts = host, rng, counts
        self._group_load, self._after = group_load, after

    def evacuate(self, server: Server, why: str, over: int = 0) -> None:
        """At once, or evenly over a time. Guards against a flood where nothing forces one."""
        if server.open:
            self._host.log(f"server {server.id} {why}: moving {len(server.open)} connections")
        for number, login in enumerate(list(server.open)):
            if over and number:
                self._after(
                    over * number // len(server.open), lambda _, login=login: self._host.move(login)
                )
            else:
                self._host.move(login)

    def cool(self, now: int, server: Server) -> None:
        """Moves this balancer's part of what a hot server has too much, then rests until reports show it."""
        pressure, mean = server.pressure, self._counts.mean_pressure
        if pressure is None or now < server.rest_until or not server.open:
            return
        # Past all it can do a server serves none of its connections well: it sheds in a full fleet too.
        if pressure <= max(HOT, min(EVEN * mean, FULL + 0.1)):
            return
        target = max(ROOM, min(mean, HOT))
        part = (1.0 if pressure > 1.0 else MOVE_PART) * (pressure - target) / pressure
        # Remnants of groups that live elsewhere go first: each takes the group's cost along.
        own = sorted(
            server.open.values(), key=lambda held: (self._remnant(server, held), -held.load)
        )
        excess = part * sum(held.load for held in own)
        if self._rng.random() * own[-1].load > excess:
            return
        moved = 0
        for held in own:
            if excess <= 0:
                break
            if held.load <= 2 * excess or held is own[-1]:
                excess -= held.load
                self._host.move(held.login.login)
                moved += 1
        server.rest_until = now + MOVE_REST
        self._host.log(f"server {server.id} hot at {pressure:.2f}: moved {moved} of {len(own)}")

    def _remnant(self, server: Server, held: LoginState) -> int:
        """How many of a connection's group stand here, if most stand elsewhere; else a large number."""
        group = held.login.group
        here, all_of_it = server.groups.get(group, 0), self._group_load.get(group, 0)
        return here if group and 2 * here < all_of_it else 1_000_000


class ListFollowing:
    """How long to wait before the list is asked for, where it must be: spread out."""

    def __init__(self, rng: Random, ask_within: int) -> None:
        self._rng = rng
        self._most = ask_within // 4
        self.failures = 0  # in a row

    def failed(self) -> int:
        self.failures += 1
        return int(
            min(self._most, PROBE_PERIOD << min(self.failures - 1, 4)) * self._rng.uniform(0.3, 1.0)
        )


class Probing:
    """Which servers are probed and when; and which logins wait for an answer."""

    def __init__(
        self,
        host: Host,
        rng: Random,
        roster: Roster,
        counts: Counts,
        means: Means,
        cold: ColdBudget,
        after: Callable[[int, Callable[[int], None]], None],
    ) -> None:
        self._host, self._rng, self._after, self._allowed = host, rng, after, False
        self._roster, self._counts, self._means, self._cold = roster, counts, means, cold
        self._weighed: bool | None = None  # whether only some servers are probed
        self._some: list[Server] = []  # those, if so

    def take_settings(self, allowed: bool) -> None:
        if allowed and not self._allowed and self._roster.ready:
            self._after(0, self._weigh)
        self._allowed, self._weighed = allowed, self._weighed if allowed else None

    def started(self, first_list: bool, servers: list[Server]) -> None:
        if not self._allowed:
            return
        if first_list:
            # Connections held at the start, which tell the rate of logins, come right after the first list.
            self._after(0, self._weigh)
        elif not self._counts.some_only:
            self._probe_all(servers)

    def _weigh(self, now: int) -> None:
        """Once an age limit, from the first login on: whether to probe all servers or some, and which."""
        if not self._allowed:
            return
        ready = self._roster.ready
        some_only = self._means.some_only(now, len(ready))
        if some_only != self._weighed:
            if self._weighed is not None:
                self._host.log(f"probing {'some' if some_only else 'all'} of {len(ready)} servers")
            self._weighed = self._counts.some_only = some_only
            if not some_only:
                self._probe_all(ready)
        if some_only:
            self._exchange(now)
        wait = AGE_LIMIT if self._means.settled(now) or some_only else PROBE_PERIOD // 10
        self._after(int(wait * self._rng.uniform(0.9, 1.1)), self._weigh)

    def _probe_all(self, servers: list[Server]) -> None:
        for server in servers:
            server.probing += 1
            self._schedule(server, server.probing, int(self._rng.random() * PROBE_PERIOD))

    def _schedule(self, server: Server, turn: int, wait: int) -> None:
        def due(now: int) -> None:
            if server.ready and server.probing == turn and not self._counts.some_only:
                self.ask(now, server)
                calm = (
                    server.pressure is not None
                    and server.pressure < CALM
                    and not server.silent
                    and not self._cold.is_cold(now, server)
                )
                self._schedule(server, turn, CALM_PERIOD if calm else PROBE_PERIOD)

        self._after(wait, due)

    def _exchange(self, now: int) -> None:
        """Exchanges one of the servers probed for another at random, often for one that holds own ones."""
        size = self._means.probed(now, len(self._roster.ready))
        kept = [server for server in self._some if server.ready]
        self._rng.shuffle(kept)
        self._some = kept[: size - 1]
        others = [server for server in self._roster.ready if server not in self._some]
        while others and len(self._some) < size:
            holders = [server for server in others if server.open]
            chosen = self._rng.choice(holders if holders and self._rng.random() < 0.5 else others)
            self._some.append(chosen)
            others.remove(chosen)
        for server in self._some:
            self._after(
                int(self._rng.random() * AGE_LIMIT), lambda at, server=server: self.ask(at, server)
            )

    def ask(self, now: int, server: Server) -> None:
        if server.ready and self._allowed:
            server.asked_at = server.probed_at = now
            self._host.probe(server.id)

    def ask_for(
        self,
        now: int,
        held: LoginState,
        servers: list[Server],
        wait: int,
        place: Callable[[int, LoginState], None],
    ) -> None:
        """Asks servers for their counts before a hand-off; who has not answered soon is passed over."""
        turn = held.turn = held.turn + 1
        held.awaits = len(servers)
        for server in servers:
            server.askers.append((held, turn))
            if not server.asked_at:
                self.ask(now, server)

        def late(at: int) -> None:
            if held.awaits and held.turn == turn:
                held.awaits = 0
                place(at, held)

        self._after(wait, late)

    def answered(self, server: Server) -> list[LoginState]:
        """Takes note of an answer; returns the logins that have waited for it as their last."""
        askers, server.askers = server.askers, []
        done = []
        for held, turn in askers:
            if held.awaits and held.turn == turn:
                held.awaits -= 1
                if not held.awaits:
                    done.append(held)
        return done


class Balancer:
    """One balancer's decisions. One method for each thing that can happen."""

    def __init__(self, host: Host, rng: Random, *, now: int, **settings: Any) -> None:
        self._host, self._rng = host, rng
        self._listed = False  # whether a list has come
        self._where: dict[int, int] = {}  # the holder of a client's connection, where packets pass
        self._held: dict[int, LoginState] = {}
        self._ended: dict[int, float] = {}  # load of own connections that ended while standing by
        self._followed = False  # clients of another process of this balancer come back to this one
        self._cut: list[
            int
        ] = []  # when own connections were cut off or moved, whose clients come back
        self._cost_sum, self._cost_seen = 0.0, 0
        self._timers: dict[int, Callable[[int], None]] = {}
        self._next_mark = 1
        self._others = 0  # numbers placements told by others, below all logins
        self._roster = Roster()
        self._counts = Counts(self._roster)
        self._health = Health(host, rng, self._counts)
        self._means = Means(now)
        self._cold = ColdBudget(self._counts, self._means)
        self._draw = Draw(rng, self._roster, self._counts, self._health, self._cold)
        self._hand_offs = HandOffs(self._roster)
        self._moves = Moves(host, rng, self._counts, self._draw.group_load, self._after)
        self._probing = Probing(
            host, rng, self._roster, self._counts, self._means, self._cold, self._after
        )
        self._list: ListFollowing | None = None
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
        """The settings, at the start or anew. What is known, held or timed stays; a workload's number too."""
        self._workloads, self._cancel_allowed, self._remembers = (
            workloads,
            cancel_allowed,
            memory > 0,
        )
        self._max_retry_after = max_retry_after
        self._counts.take_settings(balancers, weight_varies)
        self._means.take_settings(probe_price if probes_allowed else 0.0, balancers)
        self._cold.take_settings(cold, balancers)
        most = max(workload.importance for workload in workloads)
        reserves = [
            RESERVE * (1 - w.importance / most) if per_work and most else 0.0 for w in workloads
        ]
        shortest = min((w.message_limit for w in workloads if w.message_limit), default=0)
        self._draw.take_settings(grouped, zone, crossing_price, shortest, reserves)
        self._hand_offs.take_settings(max_hand_offs)
        self._probes_allowed = probes_allowed
        self._probing.take_settings(probes_allowed and not self._cold.stands_by)
        if ask_for_list and self._list is None:
            self._after(
                int(self._rng.random() * PROBE_PERIOD), lambda _: self._host.watch_list(True)
            )
        self._list = (self._list or ListFollowing(self._rng, ask_within)) if ask_for_list else None

    def login_arrived(self, now: int, login: Login) -> None:
        held = LoginState(login, self._like(login.cost), self._workloads[login.workload])
        self._held[login.login] = held
        self._means.login_seen(now, login.came_back)
        self._draw.saw_group(login.group)
        # Those who come back beyond the own connections cut or moved lately were another balancer's.
        cut = [at for at in self._cut if now - at < AGE_LIMIT]
        alone = self._followed or self._counts.mean_pressure < ROOM
        held.from_elsewhere = login.came_back and not cut and alone
        self._cut = cut[login.came_back :]
        self._place(now, held)

    def connection_resumed(self, now: int, login: Login, server: int) -> None:
        held = LoginState(login, self._like(login.cost), self._workloads[login.workload])
        self._means.stood(now)
        self._draw.saw_group(login.group)
        attempt = Attempt(server, now)
        held.attempts.append(attempt)
        self._held[login.login] = held
        self._opened(held, server)

    def hand_off_started(self, now: int, login: int, attempt: int, server: int, delay: int) -> None:
        known = self._roster.servers.get(server)
        if known is not None:
            self._health.worked(known, login)
        held = self._held.get(login)
        if held is not None and not held.is_open:
            self._opened(held, server)

    def measurement_received(
        self, now: int, login: int, attempt: int, server: int, kind: MeasurementKind, value: float
    ) -> None:
        held = self._held.get(login)
        if kind is MeasurementKind.DELAY and server in self._roster.servers:
            known = self._roster.servers[server]
            if not self._draw.late(now, known, LEFT_LATE):
                known.late_since = now
            known.delay, known.delay_at = value, now
            holders = [s for s in self._roster.ready if s.open]
            late = [s for s in holders if self._draw.late(now, s, LEFT_LATE)]
            # Guards against a way that is bad for this balancer alone: a server says that it has room, its
            # messages stay late. Where nearly all are late, or the fleet is full, there is nowhere to go.
            if (
                known in late
                and len(late) <= LATE_PART * len(holders)
                and self._counts.mean_pressure < ROOM
                and known.read_at - known.late_since >= REPORT_LAG
                and (known.pressure or 0.0) < ROOM
            ):
                self._moves.evacuate(known, "late for this balancer alone")
            if self._counts.some_only and not self._counts.heard(now, known):
                self._probing.ask(now, known)
        elif held is not None and kind is MeasurementKind.LOAD:
            held.load = self._like(value)

    def message_unanswered(self, now: int, server: int) -> None:
        """A line on an open connection has brought nothing back: its server is not left to the next probe."""
        if (known := self._roster.servers.get(server)) is not None:
            known.late_since = now  # it tells of that connection alone: no others leave for it
            if not known.asked_at and not self._counts.heard(now, known):
                self._probing.ask(now, known)

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
        known = self._roster.servers.get(server)
        held = self._held.get(login)
        if known is not None:
            if report is not None:
                self._counts.take(now, known, report)
            if held is not None and not held.is_open:
                self._judge(now, known, login, outcome)
        if held is None:
            return
        if attempt < len(held.attempts):
            held.attempts[attempt].outcome = outcome
        if closed:
            if outcome is not Outcome.FULFILLED:
                self._cut.append(now)
            self._forget(held)
            return
        if known is not None:
            self._counts.unplaced(known, login)
        if held.attempts[-1].outcome is not None:
            self._place(now, held)

    def login_dropped(self, now: int, login: int) -> None:
        if (held := self._held.get(login)) is not None:
            if (
                self._cancel_allowed
                and not held.is_open
                and held.attempts
                and not held.attempts[-1].outcome
            ):
                self._host.cancel(login, len(held.attempts) - 1)
            self._forget(held)

    def probe_answered(
        self, now: int, server: int, delay: int, outcome: Outcome, report: Report | None
    ) -> None:
        if (known := self._roster.servers.get(server)) is None:
            return
        known.asked_at = 0
        if outcome is Outcome.FULFILLED:
            quiet_for = now - max(known.read_at, known.listed_at)
            if known.silent > int(self._counts.some_only) and quiet_for > AGE_LIMIT:
                # Guards against pushing over a server that came back cold before the list says so.
                known.started_at = max(known.started_at, now)
                self._host.log(f"server {server} answers again: taken as just started")
            known.silent, known.read_at = 0, now
            if report is not None:
                self._counts.take(now, known, report)
                self._moves.cool(now, known)
        elif outcome in (Outcome.TIMED_OUT, Outcome.NOT_CONNECTED, Outcome.BROKEN):
            known.silent += 1
            if known.silent < SILENT_IN_ROW and known.ready:
                self._probing.ask(now, known)
            # Guards against emptying a server that is only too busy to answer: that one is given longer.
            elif known.silent == (
                SILENT_IN_ROW if (known.pressure or 0.0) < HOT else 2 * SILENT_IN_ROW
            ):
                self._moves.evacuate(known, "silent")
        for held in self._probing.answered(known):
            self._place(now, held)

    def servers_listed(
        self, now: int, scope: Scope, revision: int, lines: Iterable[ListedServer]
    ) -> None:
        if scope is Scope.FAILED:
            if self._list is not None:
                self._after(self._list.failed(), lambda _: self._host.watch_list(True))
                self._host.log(f"list watch failed {self._list.failures} times in a row")
            return
        if scope is not Scope.CACHED and self._list is not None:
            self._list.failures = 0
        started, left = self._roster.apply(now, scope, lines)
        for server in left:
            self._leave(now, server, "drains" if server.status is Status.DRAINING else "is gone")
        self._probing.started(not self._listed, started)
        self._listed = True

    def take_out_of_service(self, now: int, server: int) -> None:
        """Operators take it out, listed or not: it drains until `restore_to_service`, whatever the list says."""
        if (left := self._roster.take_out_of_service(now, server)) is not None:
            self._leave(now, left, "is taken out by hand", PROBE_PERIOD)
        self._host.close_idle(server)  # its work is to end, probes with it

    def restore_to_service(self, now: int, server: int) -> None:
        if (known := self._roster.restore_to_service(now, server)) is not None:
            self._host.log(f"server {server} is put back by hand: taken as just started")
            self._probing.started(False, [known])

    def known_and_excluded_servers(self, now: int) -> tuple[int, int]:
        """How many servers are listed, and how many of them are out by operators' word or this balancer's."""
        listed = [
            server for server in self._roster.servers.values() if server.status is not Status.GONE
        ]
        return len(listed), sum(
            1
            for server in listed
            if server.status is Status.READY
            and not (server.ready and self._health.in_draw(now, server))
            or server.id in self._roster.out_of_service
        )

    def export_learned_state(self, now: int) -> dict[str, Any]:
        """What another process of this balancer goes on from, as plain JSON; see `import_learned_state`."""
        return {
            "servers": [
                [
                    s.id,
                    s.capacity.mean,
                    s.started_at,
                    self._cold.spent(now, s),
                    s.fails,
                    s.bars,
                    s.barred_until,
                ]
                for s in self._roster.servers.values()
            ],
            "homes": list(self._draw.homes.items()),
            "rate": self._means.learned(now),
            "open": [
                [s.id, held.login.group]
                for s in self._roster.servers.values()
                for held in s.open.values()
            ],
            "ended": list(self._ended.items()),
        }

    def import_learned_state(self, now: int, learned: dict[str, Any]) -> None:
        """Goes on from what another process has learned, which places no logins now."""
        for number, size, started_at, spent, fails, bars, barred_until in learned["servers"]:
            if (server := self._roster.servers.get(number)) is None:
                continue
            if size is not None and server.capacity.mean is None:
                server.capacity.add(float(size))
            server.started_at = max(server.started_at, int(started_at))
            self._cold.spend(now, server, float(spent))
            if fails > server.fails:
                server.fails, server.bars, server.barred_until = (
                    int(fails),
                    int(bars),
                    int(barred_until),
                )
        for group, home in learned["homes"]:
            self._draw.homes.setdefault(int(group), int(home))
        for number, group in learned["open"]:
            if number in self._roster.servers:
                self._draw.lend(self._roster.servers[number], int(group))
        self._means.follow(now, *learned["rate"])
        self._followed = True

    def connection_ended_elsewhere(self, now: int, server: int, load: float) -> None:
        """Own ones of another process; reports may hold them yet. Guards against clients that count twice."""
        if (known := self._roster.servers.get(server)) is not None:
            self._others -= 1
            self._counts.placed(now, known, self._others, -load, -load)

    def other_processes_ended(self) -> None:  # no other process of this balancer lives any longer
        self._draw.take_back()
        self._followed = False

    def set_standby(self, wanted: bool) -> None:
        """Whether another process of this balancer places its logins, with the probes and the cold budget."""
        self._cold.stands_by = wanted
        self._probing.take_settings(self._probes_allowed and not wanted)

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
        known = self._roster.servers.get(server)
        self._means.told(now, number)
        if known is None or not number:
            return
        self._others -= 1
        self._counts.placed(now, known, self._others, float(number))
        self._cold.spend(now, known, float(max(1, number)))
        if failed >= number:
            self._health.failed(now, known, 0, Outcome.ERROR)
        else:
            self._health.worked(known, 0)

    def peer_message_received(self, now: int, peer: int, content: bytes) -> None:
        """Nothing is said between balancers yet, so nothing is heard."""

    def timer_due(self, now: int, mark: int) -> None:
        self._timers.pop(mark, lambda at: None)(now)

    def _leave(self, now: int, server: Server, why: str, over: int = 0) -> None:
        self._cut += [now] * int(
            server.count or 0
        )  # other balancers' clients there come back alike
        self._moves.evacuate(server, why, over)

    def _after(self, wait: int, action: Callable[[int], None]) -> None:
        mark = self._next_mark
        self._next_mark += 1
        self._timers[mark] = action
        self._host.set_timer(wait, mark)

    def _like(self, cost: float | None) -> float:
        """A login's cost in connections of mean cost; 1 where nothing is told."""
        if not cost:
            return 1.0
        self._cost_sum += cost
        self._cost_seen += 1
        return cost * self._cost_seen / self._cost_sum

    def _place(self, now: int, held: LoginState) -> None:
        if not self._hand_offs.may_send(now, held):
            self._give_up(held)
            return
        server = self._holder(now, held)
        if server is None and self._counts.some_only:
            to_ask, server = self._draw.ask_or_pick(now, held, self._hand_offs.allowed(held))
            if to_ask:
                wait = min(
                    int(ASK_PART * held.workload.soft_limit), (held.login.time_limit_at - now) // 2
                )
                self._probing.ask_for(now, held, to_ask, wait, self._place)
                return
        elif server is None:
            server = self._draw.pick(now, held, self._hand_offs.allowed(held))
        if server is None:
            self._give_up(held)
            return
        login = held.login.login
        self._health.drawn(server, login)
        self._cold.spend(now, server, max(1.0, held.load))
        self._counts.placed(
            now, server, login, held.load, held.load if held.from_elsewhere else 0.0
        )
        cut_at = self._hand_offs.cut_at(now, held)
        held.attempts.append(Attempt(server.id, now))
        held.round, held.asked, held.some, held.able = 0, 0, [], []
        self._host.hand_off(login, server.id, cut_at)

    def _holder(self, now: int, held: LoginState) -> Server | None:
        """The server that holds a connection whose packets now come this way, if known and ready."""
        if not held.login.mid_flow or held.attempts:
            return None
        server = self._roster.servers.get(self._where.get(held.login.subject, 0))
        ready = server and server.ready and self._cold.allows(now, server, held, self._rng)
        return server if ready else None

    def _judge(self, now: int, server: Server, login: int, outcome: Outcome) -> None:
        if outcome is Outcome.FULL:
            server.full_until = now + PROBE_PERIOD // 2
        if outcome in (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.NOT_CONNECTED, Outcome.BROKEN):
            self._health.failed(now, server, login, outcome)
        elif server.trial == login:
            server.trial = 0

    def _opened(self, held: LoginState, server: int) -> None:
        held.is_open = True
        known = self._roster.servers.get(server)
        self._draw.count_group(held, known, 1)
        if known is not None:
            known.open[held.login.login] = held
            if self._remembers and held.login.subject:
                self._where[held.login.subject] = server

    def _give_up(self, held: LoginState) -> None:
        login = held.login.login
        self._forget(held)
        if self._hand_offs.may_bounce(held):
            # The client is told when to come back, spread out; it is never held to keep it away.
            retry_in = int(self._max_retry_after * self._rng.uniform(0.25, 1.0))
            self._host.bounce(login, retry_in)
        else:
            self._host.terminate(login)

    def _forget(self, held: LoginState) -> None:
        login = held.login.login
        self._held.pop(login, None)
        held.awaits = 0
        if held.is_open:
            at = held.attempts[-1].server
            if self._cold.stands_by:
                self._ended[at] = self._ended.get(at, 0.0) + held.load
            self._draw.count_group(held, self._roster.servers.get(at), -1)
        for attempt in held.attempts[-1:]:
            server = self._roster.servers.get(attempt.server)
            if server is not None:
                self._counts.unplaced(server, login)
                server.open.pop(login, None)
                if server.trial == login:
                    server.trial = 0
