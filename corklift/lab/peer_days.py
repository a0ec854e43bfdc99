"""Seeded histories of members in virtual time, each held against what is true.

A history is a fleet, faults drawn from its seed, an end of all faults, and a while after it. Owns the promises of
docs/design/membership.md as checks. Must never ask a core what is true.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from corklift.lab.peers import Net, Seat, Shape
from corklift.membership.core import Membership
from corklift.membership.messages import MemberRecord, MemberState

FAULTS = (
    "kill",
    "restart",
    "move",
    "stop",
    "stop half",
    "one way",
    "partition",
    "chain",
    "lossy",
    "slow",
    "leave",
    "flap",
    "double",
)
QUIET = 150.0  # periods after the last fault in which all is to be agreed on


class Found(NamedTuple):
    seed: int
    problems: list[str]
    faults: list[str]
    too_low_s: float
    false_dead: int


class Day:
    """One history."""

    def __init__(
        self, seed: int, make: Callable[..., Any] = Membership, faults: tuple[str, ...] = FAULTS
    ) -> None:
        self.seed, self.rng = seed, Random(seed)
        self.net = Net(
            Shape(members=self.rng.randint(3, 9), delay=self.rng.choice((2, 20, 120)) * 1_000_000),
            seed,
            make,
        )
        self.net.heard = self._heard
        self.problems: list[str] = []
        self.told: list[str] = []
        self.gone: set[tuple[str, int]] = set()  # by name and life, those that said that they leave
        self.killed: dict[str, int] = {}  # by name, the life of one that was killed last
        self.faults = faults
        self.doubled = self.moved = False

    def _heard(self, seat: Seat, record: MemberRecord) -> None:
        if (
            record.state != MemberState.LEFT
            and (record.name, record.instance_id) in self.gone
            and record.state == MemberState.ALIVE
        ):
            left = self.net.dead_at.get((record.name, -record.instance_id), {})
            if seat.number in left and left[seat.number] == seat.life:
                self._broken(
                    f"{seat.name} held {record.name} for living after it was told that it left"
                )
        if record.state == MemberState.LEFT:
            self.net.dead_at.setdefault((record.name, -record.instance_id), {})[seat.number] = (
                seat.life
            )

    def _broken(self, what: str) -> None:
        self.problems.append(f"{self.net.now / self.net.shape.period - 1000:.2f}: {what}")

    def play(self) -> Found:
        net, rng = self.net, self.rng
        for seat in net.seats:
            net.after(rng.random() * rng.choice((0.1, 5.0)), lambda seat=seat: seat.start())
        net.run(6)
        net.keep_looking()
        net.run(rng.choice((0, 10, 20)))
        for _ in range(rng.randint(1, 6)):
            kind = rng.choice(self.faults)
            self.told.append(f"{net.now / net.shape.period - 1000:.2f}: {kind}")
            getattr(self, "_" + kind.replace(" ", "_"))()
            net.run(rng.choice((0.2, 2, 8, 30)))
        net.cut.clear()
        net.loss = 0.0
        net.run(40)  # no stop lasts longer
        net.run(QUIET)
        self._judge()
        return Found(self.seed, self.problems, self.told, net.too_low / 1e9, len(net.deaths))

    def _judge(self) -> None:
        living = [seat for seat in self.net.seats if seat.alive and not seat.left]
        names = {seat.name for seat in living}
        if len(names) != len(living):
            self._broken(f"two processes have one name: {sorted(seat.name for seat in living)}")
        if self.moved and not any(seat.number < self.net.shape.joins for seat in living):
            return  # nobody is left at any address that the moved one could know
        digests = set()
        for seat in living:
            core = seat.core
            held = {
                record.name for record in core.table.values() if record.state == MemberState.ALIVE
            }
            if held != names - {seat.name}:
                self._broken(
                    f"{seat.name} holds {sorted(held)} for living, where {sorted(names - {seat.name})} live"
                )
            for name, life in self.killed.items():
                record = core.table.get(name)
                if (
                    name not in names
                    and record is not None
                    and record.instance_id == life
                    and record.state < MemberState.DEAD
                ):
                    self._broken(
                        f"{seat.name} holds {name} for {MemberState(record.state).name}, which was killed"
                    )
            if seat.uses < len(living):
                self._broken(f"{seat.name} counts {seat.uses} where {len(living)} place")
            digests.add(core._digest)
            if not core.admitted:
                self._broken(f"{seat.name} still waits to open its door")
        if len(digests) > 1:
            self._broken(f"{len(digests)} different tables")
        # Two processes of one name on two sides of a cut, or where one is stopped, count as one until they meet.
        if self.net.too_low and not self.doubled:
            self._broken(f"a count in use was too low: {self.net.too_low_first}")

    # Faults

    def _some(self) -> Seat | None:
        living = [seat for seat in self.net.seats if seat.alive and not seat.left]
        return self.rng.choice(living) if len(living) > 1 else None

    def _kill(self) -> None:
        seat = self._some()
        if seat is not None:
            self.net.refuses = self.rng.random() < 0.5
            self.killed[seat.name] = seat.core.own_record.instance_id
            seat.kill()

    def _restart(self) -> None:
        """Killed, and started again under its name: at once or later, its incarnation forgotten."""
        seat = self._some()
        if seat is not None:
            seat.kill()
            self.net.after(self.rng.choice((0.01, 0.5, 5, 20)), lambda: seat.alive or seat.start())

    def _move(self) -> None:
        """The same name at a new address: not of one that files name, which would be out of date."""
        seat = self._some()
        if seat is not None and seat.number >= self.net.shape.joins:
            seat.kill()
            self.moved = True
            address = f"10.9.{self.rng.randrange(256)}.{self.rng.randrange(256)}:7000"
            self.net.after(
                self.rng.choice((0.01, 0.5, 5)), lambda: seat.alive or seat.start(address=address)
            )

    def _stop(self) -> None:
        seat = self._some()
        if seat is not None:
            self.net.stop(seat, self.rng.choice((0.4, 1.5, 6, 30)))

    def _stop_half(self) -> None:
        span = self.rng.choice((1.5, 6, 30))
        for seat in self.net.seats:
            if seat.alive and self.rng.random() < 0.5:
                self.net.stop(seat, span)

    def _one_way(self) -> None:
        a, b = self.rng.sample(self.net.seats, 2)
        self.net.cut.add((a.number, b.number))

    def _partition(self) -> None:
        side = {seat.number for seat in self.net.seats if self.rng.random() < 0.5}
        both = self.rng.random() < 0.7
        pairs = {
            (a.number, b.number)
            for a in self.net.seats
            for b in self.net.seats
            if a.number in side and b.number not in side
        }
        self.net.cut |= pairs | ({(b, a) for a, b in pairs} if both else set())
        if self.rng.random() < 0.7:
            self.net.after(
                self.rng.choice((3, 15, 60)),
                lambda: self.net.cut.difference_update(pairs | {(b, a) for a, b in pairs}),
            )

    def _chain(self) -> None:
        """Each sees only its neighbours."""
        numbers = [seat.number for seat in self.net.seats]
        self.net.cut |= {(a, b) for a in numbers for b in numbers if abs(a - b) > 1}

    def _lossy(self) -> None:
        self.net.loss = self.rng.choice((0.02, 0.1, 0.3))

    def _slow(self) -> None:
        """A process that is stopped over and over for a part of each period."""
        seat = self._some()
        if seat is not None:
            for at in range(8):
                self.net.after(at * 1.1, lambda: self.net.stop(seat, 0.8))

    def _leave(self) -> None:
        seat = self._some()
        if seat is not None and not seat.stopped:
            self.gone.add((seat.name, seat.core.own_record.instance_id))
            seat.leave()

    def _flap(self) -> None:
        """Killed and started again each second."""
        seat = self._some()
        if seat is not None:
            for at in range(6):
                self.net.after(at, lambda: seat.alive and seat.kill())
                self.net.after(at + 0.3, lambda: seat.alive or seat.start())

    def _double(self) -> None:
        """A process more, under a name that is in use."""
        seat = self._some()
        if seat is not None and len(self.net.seats) < 12:
            self.doubled = True
            more = Seat(self.net, len(self.net.seats))
            self.net.seats.append(more)
            more.start(name=seat.name)


def play(seed: int, make: Callable[..., Any] = Membership) -> Found:
    return Day(seed, make).play()
