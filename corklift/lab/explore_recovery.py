"""A small world of recoveries for exploration: three balancers, two servers, one word, one cut of the power, every order.

Owns the world and what must hold in each of its states: no login is let in by one that does not hold a word which had its yes, and when
nothing is left to happen but time, those that live serve. Must never hold a decision.
"""

from __future__ import annotations

from random import Random
from typing import Any, NamedTuple

from corklift.interface import ColdRule
from corklift.recovery.core import (
    NullHost,
    Recovery,
    RecoveryConfig,
    RecoveryPhase,
    ReplicationOutcome,
)
from corklift.recovery.facts import Fact
from corklift.recovery.messages import Marker, Replicate, ReplicateReply, StateReply, StateRequest

PERIOD = 1_000_000_000
EPOCH = 1_000 * PERIOD
OUT = "s1"


class RecoveryShape(NamedTuple):
    """Its shape: how often each may happen."""

    balancers: int = 3
    losses: int = 1  # of messages
    logins: int = 2
    second_cuts: int = 1  # of one balancer
    lying: int = 0  # disks that lose all but the oldest at the cut
    bounds: int = 3  # times that a bound on a question may pass


class _Seat(NullHost):
    def __init__(self, world: RecoveryWorld, number: int) -> None:
        self.world, self.number, self.name = world, number, f"b{number}"
        self.alive, self.life, self.boot = True, 1, 0
        self.disk: list[Fact] = []
        self.pending: list[tuple[int, tuple[Fact, ...]]] = []
        self.out: set[str] = set()
        self.core: Any = None
        self.has_read = False

    def start(self) -> None:
        world = self.world
        self.alive, self.pending, self.out, self.has_read = True, [], set(), False
        self.core = world.make(
            self,
            Random(self.number),
            RecoveryConfig(PERIOD, cold=ColdRule(0.3, 8 * PERIOD, 3.0, PERIOD)),
            world.now,
            name=self.name,
            instance_id=self.life,
            boot=str(self.boot),
            expected=world.shape.balancers,
        )
        self.found = list(self.disk)

    # Host

    def request_state(self, number: int, name: str, message: StateRequest, until: int) -> None:
        self.world.flying.append(("ask", self.number, self.life, int(name[1:]), number, message))

    def replicate(self, number: int, name: str, message: Replicate, until: int) -> None:
        self.world.flying.append(("tell", self.number, self.life, int(name[1:]), number, message))

    def persist(self, number: int, facts: tuple[Fact, ...]) -> None:
        self.pending.append((number, facts))

    def apply_recovered(self, out: set[str], put_back: set[str]) -> None:
        self.out = self.out - put_back | out


class RecoveryWorld:
    """Three cores, their disks, and what flies between them."""

    def __init__(self, shape: RecoveryShape, make: Any = Recovery) -> None:
        self.shape, self.make, self.now = shape, make, EPOCH
        self.flying: list[tuple[str, int, int, int, int, Any]] = []
        self.steps: list[str] = []
        self.wrong: str | None = None
        self.yes = False
        self.cut = False
        self.left = {
            "lose": shape.losses,
            "login": shape.logins,
            "again": shape.second_cuts,
            "bound": shape.bounds,
        }
        self.seats = [_Seat(self, number) for number in range(shape.balancers)]
        for seat in self.seats:
            seat.start()
            seat.core.store_loaded(self.now, [], Marker(b"%16d" % seat.number, 0), True)
        # All serve and have something on their disks before anything happens.
        for seat in self.seats:
            seat.core.phase = RecoveryPhase.FULL
            seat.core.live_peer_replied = True
            seat.core._live_peers = [other.name for other in self.seats if other is not seat]
            seat.core._membership_ready = True
            while seat.pending:
                self._kept(seat)
            seat.has_read = True
        self.flying.clear()
        self.seats[0].core.set_out_of_service(self.now, OUT, True, self._said)

    def _said(self, outcome: ReplicationOutcome, kept: int, wanted: int) -> None:
        self.yes = self.yes or outcome is ReplicationOutcome.KEPT

    def enabled(self) -> list[str]:
        labels = [f"arrive {at}" for at in range(min(3, len(self.flying)))]
        if self.left["lose"]:
            labels += [f"lose {at}" for at in range(min(3, len(self.flying)))]
        for seat in self.seats:
            at = f" {seat.number}"
            if not seat.alive:
                labels.append("boot" + at)
                continue
            if seat.pending:
                labels.append("kept" + at)
            if not seat.has_read:
                labels.append("read" + at)
            if seat.core.phase is RecoveryPhase.LOOK:
                labels.append("looked" + at)
            if self.left["login"] and self.cut:
                labels.append("login" + at)
            if (
                self.left["bound"]
                and seat.core.phase in (RecoveryPhase.READ, RecoveryPhase.ASK)
                and self.cut
            ):
                labels.append("bound" + at)
            if self.left["again"] and self.cut:
                labels.append("again" + at)
        if not self.cut:
            labels.append("cut 0")
        return labels

    def play(self, label: str) -> None:
        kind, _, at = label.partition(" ")
        number = int(at)
        self.steps.append(f"{(self.now - EPOCH) / PERIOD:8.3f}  {label}" + self._of(kind, number))
        seat = self.seats[number] if kind not in ("arrive", "lose") else self.seats[0]
        if kind in ("arrive", "lose"):
            self._message(kind, *self.flying.pop(number))
        elif kind == "kept":
            self._kept(seat)
        elif kind == "cut":
            self.cut = True
            self.flying.clear()
            for at_seat, other in enumerate(self.seats):
                other.alive, other.pending = False, []
                other.boot += 1
                if at_seat < self.shape.lying:
                    other.disk = other.disk[:1]
        elif kind == "boot":
            seat.life += 1
            seat.start()
            self._members()
        elif kind == "read":
            seat.has_read = True
            seat.core.store_loaded(
                self.now, seat.found, Marker(b"%16d" % number, len(seat.found)), not seat.found
            )
            self._members()
        elif kind == "looked":
            seat.core.servers_probed(self.now, ["s2"], True)
        elif kind == "bound":
            self.left["bound"] -= 1
            self.now += 6 * PERIOD
            seat.core.tick(self.now)
            self._members()
        elif kind == "again":
            self.left["again"] -= 1
            seat.alive, seat.pending = False, []
            seat.boot += 1
        elif kind == "login":
            self.left["login"] -= 1
            let_in = seat.core.admit_login(self.now, 1.0) is None
            # One that nobody answered within the bound serves by what its disk says: told in docs/design/recovery.md.
            if let_in and self.yes and OUT not in seat.out and seat.core.state_complete:
                self.wrong = f"{seat.name} lets a login in and does not know that {OUT} is out, which operators had a yes for"
        self._check()

    def _of(self, kind: str, number: int) -> str:
        if kind not in ("arrive", "lose"):
            return ""
        what, by, _, to, _, _ = self.flying[number]
        return f": {what} of b{by} to b{to}"

    def _kept(self, seat: _Seat) -> None:
        number, facts = seat.pending.pop(0)
        seat.disk += facts
        seat.core.persisted(self.now, number, len(seat.disk), "")

    def _members(self) -> None:
        """Whoever has read its disk, or does not wait for it, takes calls."""
        for seat in self.seats:
            if seat.alive and seat.core.phase > RecoveryPhase.READ:
                seat.core.members_changed(
                    self.now,
                    [
                        other.name
                        for other in self.seats
                        if other is not seat
                        and other.alive
                        and other.core.phase > RecoveryPhase.READ
                    ],
                    True,
                )

    def _message(
        self, kind: str, what: str, by: int, life: int, to: int, number: int, message: Any
    ) -> None:
        seat, other = self.seats[by], self.seats[to]
        lives = seat.alive and seat.life == life
        if what == "ask" or what == "tell":
            if kind == "lose" or not other.alive or other.core.phase is RecoveryPhase.READ:
                self.left["lose"] -= kind == "lose"
                if lives and what == "ask":
                    seat.core.request_failed(self.now, number)
                elif lives:
                    seat.core.replicate_reply_received(self.now, number, None)
            elif what == "ask":
                self.flying.append(
                    (
                        "answer",
                        to,
                        other.life,
                        by,
                        number,
                        (life, other.core.state_requested(self.now, message)),
                    )
                )
            else:
                other.core.replicate_received(
                    self.now,
                    message,
                    lambda told: self.flying.append(
                        ("told", to, other.life, by, number, (life, told))
                    ),
                )
            return
        asked_life, content = message
        if not other.alive or other.life != asked_life:
            return
        if kind == "lose":
            self.left["lose"] -= 1
            content = None
        if what == "answer" and isinstance(content, StateReply):
            other.core.reply_received(self.now, number, content)
        elif what == "answer":
            other.core.request_failed(self.now, number)
        else:
            other.core.replicate_reply_received(
                self.now, number, content if isinstance(content, ReplicateReply) else None
            )

    def _check(self) -> None:
        if not self.cut or self.flying or any(seat.pending for seat in self.seats):
            return
        for seat in self.seats:
            if not seat.alive or not seat.has_read or seat.core.phase >= RecoveryPhase.LOOK:
                continue
            # Nothing is on its way: time alone must bring it on, if it remembers anything or anyone else is there.
            now = self.now
            others = [
                other
                for other in self.seats
                if other is not seat and other.alive and other.has_read
            ]
            if seat.core.starts_empty and not others:
                continue
            if seat.core._requests or seat.core._query_deadline > now + 10 * PERIOD:
                self.wrong = f"{seat.name} waits, and nothing ends it"

    def violation(self) -> str | None:
        return self.wrong

    def state(self) -> object:
        return (
            [
                (
                    seat.alive,
                    seat.life,
                    seat.has_read,
                    seat.disk,
                    seat.pending,
                    sorted(seat.out),
                    seat.core.phase,
                    seat.core.exploration_state(self.now),
                )
                for seat in self.seats
            ],
            [(what, by, life, to, number) for what, by, life, to, number, _ in self.flying],
            self.left,
            self.yes,
            self.cut,
        )

    def trace(self) -> list[str]:
        return self.steps
