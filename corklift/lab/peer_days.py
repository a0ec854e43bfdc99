"""Seeded histories of members in virtual time, each held against what is true.

A history is a fleet, faults drawn from its seed, an end of all faults, and a while after it. Owns the promises of
docs/design/membership.md as checks. Must never ask a core what is true.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from corklift.lab.peers import EmulatedMember, EmulatedNetwork, NetworkShape
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


class HistoryResult(NamedTuple):
    seed: int
    problems: list[str]
    faults: list[str]
    too_low_s: float
    false_dead: int


class MembershipHistory:
    """One history."""

    def __init__(
        self, seed: int, make: Callable[..., Any] = Membership, faults: tuple[str, ...] = FAULTS
    ) -> None:
        self.seed, self.rng = seed, Random(seed)
        self.net = EmulatedNetwork(
            NetworkShape(
                members=self.rng.randint(3, 9), delay=self.rng.choice((2, 20, 120)) * 1_000_000
            ),
            seed,
            make,
        )
        self.net.on_member_changed = self._heard
        self.problems: list[str] = []
        self.told: list[str] = []
        self.gone: set[tuple[str, int]] = set()  # by name and life, those that said that they leave
        self.killed: dict[str, int] = {}  # by name, the life of one that was killed last
        self.faults = faults
        self.doubled = self.moved = False

    def _heard(self, member: EmulatedMember, record: MemberRecord) -> None:
        if (
            record.state != MemberState.LEFT
            and (record.name, record.instance_id) in self.gone
            and record.state == MemberState.ALIVE
        ):
            left = self.net.death_known_at.get((record.name, -record.instance_id), {})
            if member.number in left and left[member.number] == member.start_count:
                self._broken(
                    f"{member.name} held {record.name} for living after it was told that it left"
                )
        if record.state == MemberState.LEFT:
            self.net.death_known_at.setdefault((record.name, -record.instance_id), {})[
                member.number
            ] = member.start_count

    def _broken(self, what: str) -> None:
        self.problems.append(f"{self.net.now / self.net.shape.period - 1000:.2f}: {what}")

    def run(self) -> HistoryResult:
        net, rng = self.net, self.rng
        for member in net.members:
            net.call_after(
                rng.random() * rng.choice((0.1, 5.0)), lambda member=member: member.start()
            )
        net.run(6)
        net.start_observing()
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
        return HistoryResult(
            self.seed, self.problems, self.told, net.undercount_time / 1e9, len(net.false_deaths)
        )

    def _judge(self) -> None:
        living = [member for member in self.net.members if member.alive and not member.left]
        names = {member.name for member in living}
        if len(names) != len(living):
            self._broken(f"two processes have one name: {sorted(member.name for member in living)}")
        if self.moved and not any(member.number < self.net.shape.joins for member in living):
            return  # nobody is left at any address that the moved one could know
        digests = set()
        for member in living:
            core = member.core
            held = {
                record.name for record in core.table.values() if record.state == MemberState.ALIVE
            }
            if held != names - {member.name}:
                self._broken(
                    f"{member.name} holds {sorted(held)} for living, where {sorted(names - {member.name})} live"
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
                        f"{member.name} holds {name} for {MemberState(record.state).name}, which was killed"
                    )
            if member.count_in_use < len(living):
                self._broken(
                    f"{member.name} counts {member.count_in_use} where {len(living)} place"
                )
            digests.add(core._digest)
            if not core.admitted:
                self._broken(f"{member.name} still waits to open its door")
        if len(digests) > 1:
            self._broken(f"{len(digests)} different tables")
        # Two processes of one name on two sides of a cut, or where one is stopped, count as one until they meet.
        if self.net.undercount_time and not self.doubled:
            self._broken(f"a count in use was too low: {self.net.first_undercount}")

    # Faults

    def _some(self) -> EmulatedMember | None:
        living = [member for member in self.net.members if member.alive and not member.left]
        return self.rng.choice(living) if len(living) > 1 else None

    def _kill(self) -> None:
        member = self._some()
        if member is not None:
            self.net.refuses_connections = self.rng.random() < 0.5
            self.killed[member.name] = member.core.own_record.instance_id
            member.kill()

    def _restart(self) -> None:
        """Killed, and started again under its name: at once or later, its incarnation forgotten."""
        member = self._some()
        if member is not None:
            member.kill()
            self.net.call_after(
                self.rng.choice((0.01, 0.5, 5, 20)), lambda: member.alive or member.start()
            )

    def _move(self) -> None:
        """The same name at a new address: not of one that files name, which would be out of date."""
        member = self._some()
        if member is not None and member.number >= self.net.shape.joins:
            member.kill()
            self.moved = True
            address = f"10.9.{self.rng.randrange(256)}.{self.rng.randrange(256)}:7000"
            self.net.call_after(
                self.rng.choice((0.01, 0.5, 5)),
                lambda: member.alive or member.start(address=address),
            )

    def _stop(self) -> None:
        member = self._some()
        if member is not None:
            self.net.pause(member, self.rng.choice((0.4, 1.5, 6, 30)))

    def _stop_half(self) -> None:
        span = self.rng.choice((1.5, 6, 30))
        for member in self.net.members:
            if member.alive and self.rng.random() < 0.5:
                self.net.pause(member, span)

    def _one_way(self) -> None:
        a, b = self.rng.sample(self.net.members, 2)
        self.net.cut.add((a.number, b.number))

    def _partition(self) -> None:
        side = {member.number for member in self.net.members if self.rng.random() < 0.5}
        both = self.rng.random() < 0.7
        pairs = {
            (a.number, b.number)
            for a in self.net.members
            for b in self.net.members
            if a.number in side and b.number not in side
        }
        self.net.cut |= pairs | ({(b, a) for a, b in pairs} if both else set())
        if self.rng.random() < 0.7:
            self.net.call_after(
                self.rng.choice((3, 15, 60)),
                lambda: self.net.cut.difference_update(pairs | {(b, a) for a, b in pairs}),
            )

    def _chain(self) -> None:
        """Each sees only its neighbours."""
        numbers = [member.number for member in self.net.members]
        self.net.cut |= {(a, b) for a in numbers for b in numbers if abs(a - b) > 1}

    def _lossy(self) -> None:
        self.net.loss = self.rng.choice((0.02, 0.1, 0.3))

    def _slow(self) -> None:
        """A process that is stopped over and over for a part of each period."""
        member = self._some()
        if member is not None:
            for at in range(8):
                self.net.call_after(at * 1.1, lambda: self.net.pause(member, 0.8))

    def _leave(self) -> None:
        member = self._some()
        if member is not None and not member.paused:
            self.gone.add((member.name, member.core.own_record.instance_id))
            member.leave()

    def _flap(self) -> None:
        """Killed and started again each second."""
        member = self._some()
        if member is not None:
            for at in range(6):
                self.net.call_after(at, lambda: member.alive and member.kill())
                self.net.call_after(at + 0.3, lambda: member.alive or member.start())

    def _double(self) -> None:
        """A process more, under a name that is in use."""
        member = self._some()
        if member is not None and len(self.net.members) < 12:
            self.doubled = True
            more = EmulatedMember(self.net, len(self.net.members))
            self.net.members.append(more)
            more.start(name=member.name)


def run_history(seed: int, make: Callable[..., Any] = Membership) -> HistoryResult:
    return MembershipHistory(seed, make).run()
