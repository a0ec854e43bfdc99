"""A loss of power in virtual time: hundreds of balancers and their servers, disks that lost, lied or stall, a list that is late or old.

Owns what is true: who is dark, what each disk kept, what operators had a yes for. Drives the product's own recovery and its decisions; who lives is
told as membership would, with a delay. Must never hold a copy of a decision. One seed gives one history.
"""

from __future__ import annotations

from random import Random
from typing import Any, Literal, NamedTuple

from corklift.interface import ListedServer, Login, Outcome, Scope, Status
from corklift.lab.clock import MS, SECOND
from corklift.lab.fleet import MAX_RETRY_AFTER, Arrival, EmulatedBalancer, EmulatedLogin, Fleet
from corklift.lab.policies import POLICIES
from corklift.lab.scenario import Balancers, Scenario, Servers, WorkloadTable
from corklift.recovery.core import Recovery, RecoveryConfig, RecoveryPhase
from corklift.recovery.core import ReplicationOutcome as Kept
from corklift.recovery.facts import DRAIN, LIST, OUT, Fact, StoredServer
from corklift.recovery.messages import Marker, Replicate, ReplicateReply, StateReply, StateRequest

SETTLED = 8 * SECOND  # after which a balancer that lives serves, if servers do
LOOK = 250 * MS  # between two looks of a seat's driver
Variant = Literal["serve", "today", "knows"]


class PowerLossCase(NamedTuple):
    seed: int = 1
    balancers: int = 40
    servers: int = 20
    rate: float = 60.0
    hold_s: float = 8.0
    period: int = SECOND
    at_s: float = 8.0  # of the cut
    dark_s: tuple[float, float] = (
        1.0,
        1.5,
    )  # of servers and of balancers, each at a time of its own within a second after
    mute_s: float = 6.0  # of discovery after the cut; under 0: to the end
    old_list: bool = False
    lying: int = 0  # balancers whose disk lost the last second
    emptied: int = 0
    second_s: float = (
        0.0  # a second cut, of half of the balancers, so long after the first; 0: none
    )
    first: int = 0  # only so many balancers are back, the others ten seconds later; 0: all
    lost_calls: float = 0.0  # of peers' calls
    seconds: float = 26.0
    unlisted: int = 0  # instead of a cut: so many servers restart one after the other, away for a second or two, and no list tells

    @classmethod
    def from_seed(cls, seed: int, balancers: int = 12, servers: int = 6) -> PowerLossCase:
        rng = Random(f"power {seed}")
        return cls(
            seed,
            balancers,
            servers,
            3.0 * balancers,
            6.0,
            SECOND,
            5.0 + rng.random(),
            (rng.choice((0.2, 1.0, 4.0)), rng.choice((0.2, 1.0, 4.0))),
            rng.choice((0.0, 2.0, 6.0, -1.0)),
            rng.random() < 0.4,
            rng.choice((0, 0, 1, 2)),
            rng.choice((0, 0, 1)),
            rng.choice((0.0, 0.0, 0.7, 1.5, 2.5, 4.0)),
            rng.choice((0, 0, 1, balancers // 3)),
            rng.choice((0.0, 0.0, 0.1)),
            28.0,
        )


class PolicyProxy:
    """A seat's decisions, with an eye on how logins go that the door let in."""

    def __init__(self, seat: RecoveringBalancer, policy: Any) -> None:
        self._seat, self._policy = seat, policy

    def __getattr__(self, name: str) -> Any:
        return getattr(self._policy, name)

    def hand_off_started(self, now: int, login: int, *more: Any) -> None:
        self._seat.went(login, True)
        self._policy.hand_off_started(now, login, *more)

    def hand_off_ended(
        self, now: int, login: int, was_open: bool, server: int, outcome: Outcome, *more: Any
    ) -> None:
        if not was_open:
            self._seat.went(login, False)
        if (
            outcome in (Outcome.TIMED_OUT, Outcome.NOT_CONNECTED, Outcome.BROKEN)
            and self._seat.core is not None
        ):
            self._seat.core.server_unresponsive(now, f"s{server}")
        self._policy.hand_off_ended(now, login, was_open, server, outcome, *more)

    def probe_answered(
        self, now: int, server: int, took: int, outcome: Outcome, report: Any
    ) -> None:
        self._seat.heard.add(server)
        self._policy.probe_answered(now, server, took, outcome, report)
        core = self._seat.core
        if core is not None and outcome is Outcome.FULFILLED:
            core.server_answered(now, f"s{server}", report.count)
        elif core is not None:
            core.server_unresponsive(now, f"s{server}")


class RecoveringBalancer(EmulatedBalancer):
    """A balancer that comes back by its recovery."""

    fleet: PowerLossFleet
    core: Recovery | None = None

    @property
    def name(self) -> str:
        return f"b{self.number}"

    def start(self) -> None:
        fleet = self.fleet
        self.start_count += 1
        self.alive, self.logins, self.started_at = True, {}, fleet.clock.now
        self.listed, self.probed_at = {}, {}
        self.heard: set[int] = set()
        self.let_in: set[int] = set()
        self.listing: list[ListedServer] | None = None
        self.again = False
        self.policy = PolicyProxy(self, fleet.make_policy(self))
        self.policy.servers_listed(fleet.clock.now, Scope.CACHED, 0, ())
        self.core = None
        if fleet.kind == "serve":
            day, disk = fleet.day, fleet.disks[self.number]
            self._found = disk.store, [fact for _, fact in disk.facts]
            self.core = Recovery(
                self,
                Random(f"{day.seed}/{self.number}/{self.start_count}/r"),
                RecoveryConfig(
                    day.period, max_retry_after=MAX_RETRY_AFTER, cold=fleet.scenario.cold_rule()
                ),
                fleet.clock.now,
                name=self.name,
                instance_id=self.start_count << 16 | self.number,
                boot=str(fleet.boots[self.number]),
                expected=day.balancers,
            )
            fleet.clock.call_later(int(fleet.rng.uniform(1, 30) * MS), self._mine(self._read))
            self._look()
        elif fleet.kind == "knows":
            self.receive_list(fleet.listed_servers(), True)
            for server in fleet.out:
                self.policy.take_out_of_service(fleet.clock.now, server)
        fleet.clock.call_later(10 * MS, self._mine(self._ask_list))

    def _mine(self, act: Any) -> Any:
        """Void once this life is over."""
        turn = self.start_count
        return lambda *given: act(*given) if self.alive and self.start_count == turn else None

    def _read(self) -> None:
        assert self.core is not None
        store, facts = self._found
        self.core.store_loaded(self.fleet.clock.now, facts, Marker(store, len(facts)), not facts)

    def _look(self) -> None:
        fleet, core = self.fleet, self.core
        if not self.alive or core is None:
            return
        now = fleet.clock.now
        core.members_changed(now, fleet.living(self), now - self.started_at > fleet.day.period // 2)
        ready = {
            line.server for line in self.listed.values() if line.status is Status.READY
        } - self.policy._registry.out_of_service.keys()
        core.servers_probed(
            now, [f"s{server}" for server in ready], bool(ready) and ready <= self.heard
        )
        if core.phase >= RecoveryPhase.OPEN:
            core.sizes_changed(
                now,
                {
                    f"s{number}": size
                    for number, size, *_ in self.policy.export_learned_state(now)["servers"]
                    if size is not None
                },
            )
        if core.phase is RecoveryPhase.FULL:
            core.count_changed(now, fleet.day.balancers)
        core.tick(now)
        fleet.clock.call_later(LOOK, self._mine(self._look))

    # The list

    def _ask_list(self) -> None:
        if self.fleet._list_suspended:
            self.fleet.clock.call_later(LOOK, self._mine(self._ask_list))
        else:
            self.receive_list(self.fleet.told_lines(), True)

    def receive_list(self, lines: list[ListedServer], whole: bool) -> None:
        if not self.alive:
            return
        core, now = self.core, self.fleet.clock.now
        if core is None:
            super().receive_list(lines, whole)
            return
        index = self.fleet.told_index
        if not self.again:
            known = (
                {}
                if whole or self.listing is None
                else {line.server: line for line in self.listing}
            )
            known |= {line.server: line for line in lines}
            self.listing = [line for line in known.values() if line.status is not Status.GONE]
            core.list_received(
                now,
                [
                    StoredServer(
                        f"s{line.server}",
                        "10.0.0.1",
                        line.server,
                        str(line.zone),
                        "",
                        line.cell,
                        int(line.status),
                        line.weight,
                    )
                    for line in self.listing
                ],
                index,
            )
        believed = []
        for line in lines:
            name, ready = f"s{line.server}", line.status is Status.READY
            leaves = (
                core.facts.is_leaving(name, line.started_at, index)
                if self.again
                else core.update_drain(now, name, line.started_at, index, not ready)
            )
            status = Status.DRAINING if ready and leaves else line.status
            believed.append(
                line._replace(
                    status=status, started_at=core.effective_start(now, name, line.started_at)
                )
            )
        super().receive_list(believed, whole)

    # Clients

    def accept_arrival(self, wish: Arrival) -> None:
        core, now = self.core, self.fleet.clock.now
        if core is None or core.phase is RecoveryPhase.FULL:
            super().accept_arrival(wish)
            return
        wait = core.admit_login(now, 1.0)
        if wait is None:
            self.let_in.add(self.fleet.coming)
            super().accept_arrival(wish)
            return
        number = self.fleet.next_login_id()
        workload = self.fleet.workloads[wish.workload]
        login = Login(
            number, wish.workload, 0, wish.subject, now + workload.time_limit, None, wish.group
        )
        self.logins[number] = EmulatedLogin(login, wish)
        self.fleet.rules.login_arrived(now, self.number, login, workload)
        super().bounce(number, wait)

    def went(self, login: int, up: bool | None) -> None:
        if login in self.let_in and self.core is not None:
            self.let_in.remove(login)
            self.core.login_finished(self.fleet.clock.now, up)

    def bounce(self, login: int, retry_in: int) -> None:
        super().bounce(login, retry_in)
        self.went(login, None)

    def terminate(self, login: int) -> None:
        super().terminate(login)
        self.went(login, None)

    def hand_off(self, login: int, server: int, cut_at: int) -> None:
        self.fleet.sent(self, server)
        super().hand_off(login, server, cut_at)

    # Host of the recovery

    def request_state(self, number: int, name: str, message: StateRequest, until: int) -> None:
        def arrive(other: RecoveringBalancer) -> StateReply:
            assert other.core is not None
            return other.core.state_requested(self.fleet.clock.now, message)

        assert self.core is not None
        core = self.core
        self.fleet.call(
            self,
            name,
            arrive,
            until,
            lambda found: (
                core.reply_received(self.fleet.clock.now, number, found)
                if found is not None
                else core.request_failed(self.fleet.clock.now, number)
            ),
        )

    def replicate(self, number: int, name: str, message: Replicate | str, until: int = 0) -> None:  # type: ignore[override]
        if not isinstance(message, Replicate):
            return
        assert self.core is not None
        core = self.core

        def done(found: ReplicateReply | None) -> None:
            core.replicate_reply_received(self.fleet.clock.now, number, found)

        self.fleet.call_slow(self, name, message, until, done)

    def persist(self, number: int, facts: tuple[Fact, ...]) -> None:
        fleet, disk, core = self.fleet, self.fleet.disks[self.number], self.core
        assert core is not None

        def kept() -> None:
            disk.facts += [(fleet.clock.now, fact) for fact in facts]
            core.persisted(fleet.clock.now, number, len(disk.facts), "")

        fleet.clock.call_later(int(fleet.rng.uniform(0.2, 8) * MS), self._mine(kept))

    def delete_persisted(self, facts: tuple[Fact, ...]) -> None:
        pass

    def apply_recovered(self, out: set[str], put_back: set[str]) -> None:
        for name in sorted(out):
            self.policy.take_out_of_service(self.fleet.clock.now, int(name[1:]))
        for name in sorted(put_back):
            self.policy.restore_to_service(self.fleet.clock.now, int(name[1:]))

    def reapply_list(self) -> None:
        assert self.core is not None
        kept = self.core.facts.get(LIST)
        listing = (
            self.listing
            if self.listing is not None
            else [
                ListedServer(
                    line.port, int(line.zone), 0, line.cell, Status(line.status), line.weight, 0
                )
                for line in (
                    (StoredServer(*line) if not isinstance(line, StoredServer) else line)
                    for line in kept.value
                )
            ]
            if kept
            else None
        )
        if listing is not None:
            self.again = True
            try:
                self.receive_list(listing, True)
            finally:
                self.again = False

    def probe_servers(self, span: int) -> None:
        for line in list(self.listed.values()):
            if (
                line.status is Status.READY
                and line.server not in self.policy._registry.out_of_service
            ):
                self.fleet.clock.call_later(
                    int(self.fleet.rng.random() * span), self._mine(self.probe), line.server
                )

    def server_start_times(self) -> dict[str, int]:
        return {
            f"s{number}": int(started_at)
            for number, _, started_at, *_ in self.policy.export_learned_state(self.fleet.clock.now)[
                "servers"
            ]
        }

    def phase_changed(self, step: RecoveryPhase, why: str) -> None:
        self.fleet.stepped(self, step)

    def log(self, text: str, **fields: object) -> None:
        if fields:
            text = f"{text} {fields}"
        super().log(text)


class Disk:
    """What is kept, in the order in which it was; the last part of it may go."""

    def __init__(self, store: bytes) -> None:
        self.store = store
        self.facts: list[tuple[int, Fact]] = []


class PowerLossFleet(Fleet):
    def __init__(self, day: PowerLossCase, kind: Variant = "serve") -> None:
        self.day, self.kind = day, kind
        self.boots = [0] * day.balancers
        self.disks = [Disk(b"%16d" % number) for number in range(day.balancers)]
        self.index = 1
        self.out: dict[int, int] = {}  # servers that operators had a yes to take out, and when
        self.leaving: dict[int, int] = {}  # drained, and when all had been told
        self.placed_out = 0
        self.first_placed_out = ""
        self._last_word: dict[int, bool] = {}
        self.asked_words: dict[int, set[bool]] = {}
        self.ups: list[int] = []
        self.steps: dict[RecoveryPhase, list[int]] = {}
        self.calls_at: dict[tuple[int, int], int] = {}
        self._old: list[ListedServer] | None = None
        self.cut_at = 0
        self.lone_liar = False
        scenario = Scenario(
            name="power",
            seconds=day.seconds,
            standing=1.0,
            servers=Servers(number=day.servers, zones=3, size=120.0),
            balancers=Balancers(number=day.balancers),
            workloads=[WorkloadTable(name="plain", rate=day.rate, hold_s=day.hold_s, tries=100)],
        )
        super().__init__(scenario, "module", day.seed)
        self.clock.call_later(int((day.at_s - 1.0) * SECOND), self._words)
        self.clock.call_later(
            int(day.at_s * SECOND), self._restart_unlisted if day.unlisted else self._cut
        )

    def _build(self) -> None:
        super()._build()
        for seat in self.balancers:
            seat.alive = False
        self.balancers = [
            RecoveringBalancer(self, seat.number, seat.zone) for seat in self.balancers
        ]
        for seat in self.balancers:
            seat.start()

    def make_policy(self, seat: EmulatedBalancer) -> Any:
        given = self.scenario
        return POLICIES["module"](
            seat,
            Random(f"{self.seed}/{seat.number}/{seat.start_count}"),
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
            grouped=False,
            weight_varies=False,
            memory=0,
            crossing_price=0.0,
            probe_price=0.0,
        )

    @property
    def coming(self) -> int:
        """The number that the next login will have."""
        return self._last_login_id + 1

    @property
    def told_index(self) -> int:
        return self.index if self._old is None else self.saved[1]

    def told_lines(self) -> list[ListedServer]:
        return self._old if self._old is not None else self.listed_servers()

    def living(self, seat: EmulatedBalancer) -> list[str]:
        now, period = self.clock.now, self.day.period
        return [
            f"b{other.number}"
            for other in self.balancers
            if other is not seat
            and other.alive
            and now - other.started_at > period // 4
            and (other.core is None or other.core.phase > RecoveryPhase.READ)
        ]

    # What is said before

    def _words(self) -> None:
        rng = Random(f"{self.day.seed} words")
        boxes = sorted(self.servers)
        out, back, leaving = rng.sample(boxes, 3)
        self._drain_told(leaving)
        for server, wanted in ((out, True), (back, True), (back, False)):
            self._say(server, wanted)

    def _drain_told(self, server: int) -> None:
        self._old = None
        self.saved = [line._replace() for line in self.listed_servers()], self.index
        self.index += 1
        box = self.servers[server]
        box.status = Status.DRAINING
        self._list_changed(box)
        self.leaving[server] = self.clock.now + 2 * SECOND

    def _say(self, server: int, out: bool) -> None:
        self.asked_words.setdefault(server, set()).add(out)
        if self.kind != "serve":
            for seat in self.balancers:
                (seat.policy.take_out_of_service if out else seat.policy.restore_to_service)(
                    self.clock.now, server
                )
            self._had_yes(server, out)
            return
        seat = next(seat for seat in self.balancers if seat.alive)
        assert seat.core is not None
        self.out.pop(server, None)
        self._last_word[server] = out

        def done(outcome: Kept, kept: int, wanted: int) -> None:
            if outcome is Kept.KEPT and self._last_word[server] is out:
                self._had_yes(server, out)

        seat.core.set_out_of_service(self.clock.now, f"s{server}", out, done)

    def _had_yes(self, server: int, out: bool) -> None:
        if out:
            self.out[server] = self.clock.now
        else:
            self.out.pop(server, None)

    # The cut and the return

    def _cut(self) -> None:
        day, rng = self.day, Random(f"{self.day.seed} cut")
        self.cut_at = self.clock.now
        self._list_suspended = True
        if day.mute_s >= 0:
            self.clock.call_later(int(day.mute_s * SECOND), self._list_back)
        numbers = rng.sample(range(day.balancers), day.balancers)
        self.lone_liar = day.first == 1 and 0 in numbers[: day.lying]
        for number in numbers[: day.lying]:
            disk = self.disks[number]
            disk.facts = [held for held in disk.facts if held[0] < self.clock.now - SECOND]
        for number in numbers[day.lying : day.lying + day.emptied]:
            self.disks[number] = Disk(b"emptied %8d" % number)
        for box in self.servers.values():
            if box.up:
                self._stop_server(box)
            self.clock.call_later(int((day.dark_s[0] + rng.random()) * SECOND), self._boot, box)
        for at, seat in enumerate(self.balancers):
            self._lose(seat)
            late = day.first and at >= day.first
            self.clock.call_later(
                int((day.dark_s[1] + rng.random() + (10.0 if late else 0.0)) * SECOND),
                self._boot_seat,
                seat,
            )
        if day.second_s:
            half = rng.sample(self.balancers, len(self.balancers) // 2)
            self.clock.call_later(
                int((day.dark_s[1] + day.second_s) * SECOND), self._cut_again, half
            )

    def _restart_unlisted(self) -> None:
        self.cut_at = self.clock.now
        self._list_suspended = True
        rng = Random(f"{self.day.seed} unlisted")
        for at, box in enumerate(
            rng.sample(sorted(self.servers.values(), key=lambda box: box.number), self.day.unlisted)
        ):
            self.clock.call_later(
                int((at * 2 + rng.random()) * SECOND),
                self._away,
                box,
                int(rng.uniform(0.9, 1.9) * SECOND),
            )

    def _away(self, box: Any, span: int) -> None:
        if box.up:
            self._stop_server(box)
            self.clock.call_later(span, self._boot, box)

    def _cut_again(self, half: list[RecoveringBalancer]) -> None:
        for seat in half:
            if seat.alive:
                self._lose(seat)
                self.clock.call_later(self.day.period, self._boot_seat, seat)

    def _lose(self, seat: EmulatedBalancer) -> None:
        if seat.alive:
            self._kill_balancer(seat)

    def _boot_seat(self, seat: RecoveringBalancer) -> None:
        if not seat.alive:
            self.boots[seat.number] += 1
            seat.start()

    def _boot(self, box: Any) -> None:
        """A server is back and cold; whether it drains is the list's to say, and that is late."""
        status = box.status
        box.up, box.started_at, box.queued_setups = True, self.clock.now, 0.0
        box.load_history.clear()
        if status is Status.READY:
            self.index += 1
            self._list_changed(box)

    def _list_back(self) -> None:
        if self.day.old_list:
            # Of before the drain, and of before the servers started; the true one comes 5 s later.
            self._old = self.saved[0]
            self.clock.call_later(5 * SECOND, self._list_true)
        self._list_suspended = False

    def _list_true(self) -> None:
        self._old = None
        self.index += 1
        for seat in self.balancers:
            if seat.alive:
                seat.receive_list(self.listed_servers(), True)

    def _list_change_arrives(self, seat: EmulatedBalancer, turn: int, line: ListedServer) -> None:
        if self._old is not None:
            return  # it tells of before, till the true one is back
        super()._list_change_arrives(seat, turn, line)

    # Calls of peers

    def _reaches(self, name: str) -> RecoveringBalancer | None:
        seat = self.balancers[int(name[1:])]
        lost = self.day.lost_calls and self.rng.random() < self.day.lost_calls
        return seat if seat.alive and seat.core is not None and not lost else None

    def call(self, seat: RecoveringBalancer, name: str, arrive: Any, until: int, done: Any) -> None:
        self._count(name)
        back = seat._mine(done)

        def there() -> None:
            other = self._reaches(name)
            if other is None:
                self.clock.call_at(until, back, None)
            else:
                self.clock.call_later(self.delay(0, 1), back, arrive(other))

        self.clock.call_later(self.delay(0, 1), there)

    def call_slow(
        self, seat: RecoveringBalancer, name: str, message: Replicate, until: int, done: Any
    ) -> None:
        self._count(name)
        told: list[bool] = []

        def back(found: ReplicateReply | None) -> None:
            if not told:
                told.append(True)
                seat._mine(done)(found)

        turn = seat.start_count
        self.clock.call_at(
            until, lambda: back(None) if seat.start_count == turn and seat.alive else None
        )

        def there() -> None:
            other = self._reaches(name)
            if other is not None:
                assert other.core is not None
                other.core.replicate_received(
                    self.clock.now,
                    message,
                    lambda found: self.clock.call_later(
                        self.delay(0, 1),
                        lambda: back(found) if seat.start_count == turn and seat.alive else None,
                    ),
                )

        self.clock.call_later(self.delay(0, 1), there)

    def _count(self, name: str) -> None:
        key = int(name[1:]), self.clock.now // SECOND
        self.calls_at[key] = self.calls_at.get(key, 0) + 1

    # What is seen

    def sent(self, seat: EmulatedBalancer, server: int) -> None:
        now = self.clock.now
        out, leaving = self.out.get(server), self.leaving.get(server)
        known = self.day.period  # for a word to come to all
        if (
            out is not None
            and now > out + known
            or leaving is not None
            and now > leaving
            and self.servers[server].status is Status.DRAINING
        ):
            self.placed_out += 1
            self.first_placed_out = self.first_placed_out or (
                f"seed {self.day.seed}: b{seat.number} at {(now - self.clock.started_at) / SECOND:.2f} s to s{server}, "
                f"{'out' if out is not None else 'leaving'}; the cut was at {(self.cut_at - self.clock.started_at) / SECOND:.2f} s"
            )

    def stepped(self, seat: EmulatedBalancer, step: RecoveryPhase) -> None:
        if self.cut_at:
            self.steps.setdefault(step, []).append(self.clock.now - self.cut_at)

    def _connection_opened(
        self, seat: EmulatedBalancer, turn: int, way: EmulatedLogin, box: Any, attempt: int
    ) -> None:
        before = self.tally["fulfilled"]
        super()._connection_opened(seat, turn, way, box, attempt)
        if self.tally["fulfilled"] > before:
            self.ups.append(self.clock.now)


class PowerLossResult(NamedTuple):
    placed_out: int
    alone_on_a_lying_disk: bool  # the first balancer back, with nobody to ask for ten seconds: what it places is told apart
    what: str
    rules: dict[int, int]
    fallen: int
    words_forgotten: int
    words_invented: int
    stuck: int  # balancers that live, and do not serve at the end though servers do
    first_s: float
    restored_s: float
    calls_of_one: int  # peers' calls of one balancer in one second
    step_s: dict[str, float]


def run_case(day: PowerLossCase, kind: Variant = "serve") -> PowerLossResult:
    fleet = PowerLossFleet(day, kind)
    fleet.run()
    cut = fleet.cut_at
    ups = [at for at in fleet.ups if at >= cut]
    before = sum(cut - 2 * SECOND <= at < cut for at in fleet.ups) / 2
    restored = next(
        (
            tenth / 10
            for tenth in range(int(10 * (fleet.clock.now - cut) / SECOND) - 9)
            if sum(
                cut + tenth * SECOND // 10 <= at < cut + tenth * SECOND // 10 + SECOND for at in ups
            )
            >= 0.9 * min(before, day.rate)
        ),
        -1.0,
    )
    forgotten = invented = 0
    for seat in fleet.balancers:
        if seat.alive and seat.core is not None:
            held = {int(fact.name[1:]): fact.value for fact, _ in seat.core.facts.of_kind(OUT)}
            forgotten += sum(not held.get(server) for server in fleet.out)
            invented += sum(
                value not in fleet.asked_words.get(server, ()) for server, value in held.items()
            )
            invented += sum(
                fact.value and int(fact.name[1:]) not in fleet.leaving
                for fact, _ in seat.core.facts.of_kind(DRAIN)
            )
    stuck = sum(
        seat.alive
        and seat.core is not None
        and seat.core.phase < RecoveryPhase.OPEN
        and fleet.clock.now - seat.started_at > SETTLED
        for seat in fleet.balancers
    )
    return PowerLossResult(
        fleet.placed_out,
        fleet.lone_liar,
        fleet.first_placed_out,
        dict(fleet.rules.violation_counts),
        fleet.rules.violation_counts[4],
        forgotten,
        invented,
        stuck,
        (ups[0] - cut) / SECOND if ups else -1.0,
        restored,
        max(fleet.calls_at.values(), default=0),
        {step.name.lower(): round(max(at) / SECOND, 2) for step, at in fleet.steps.items()},
    )
