"""Randomised histories of the membership protocol in virtual time, compared with the true state.

A history starts a fleet, injects faults drawn from its seed, ends all faults and waits. Then it
checks what docs/design/membership.md promises. The true state is the emulated network's and never
that of a member.
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
SETTLE_PERIODS = 150.0  # after the last fault, until all members must agree


class HistoryResult(NamedTuple):
    """The outcome of one history.

    Attributes:
        seed: the seed of the history.
        problems: violated promises, with the time of each in periods.
        faults: injected faults, with the time of each in periods.
        too_low_s: seconds, summed over members, in which a count in use was too low.
        false_dead: number of times that a running process was declared dead.
    """

    seed: int
    problems: list[str]
    faults: list[str]
    too_low_s: float
    false_dead: int


class MembershipHistory:
    """One history, with the checks of its promises."""

    def __init__(
        self, seed: int, new_core: Callable[..., Any] = Membership, faults: tuple[str, ...] = FAULTS
    ) -> None:
        self.seed, self.rng = seed, Random(seed)
        self.net = EmulatedNetwork(
            NetworkShape(
                members=self.rng.randint(3, 9), delay=self.rng.choice((2, 20, 120)) * 1_000_000
            ),
            seed,
            new_core,
        )
        self.net.on_member_changed = self._member_changed
        self.problems: list[str] = []
        self.history: list[str] = []
        # Name and instance id of the members that announced that they leave.
        self.departed: set[tuple[str, int]] = set()
        self.last_killed: dict[str, int] = {}  # by name: instance id of the process killed last
        self.faults = faults
        self.has_duplicate = self.has_moved = False

    def _member_changed(self, member: EmulatedMember, record: MemberRecord) -> None:
        if (
            record.state != MemberState.LEFT
            and (record.name, record.instance_id) in self.departed
            and record.state == MemberState.ALIVE
        ):
            left = self.net.death_known_at.get((record.name, -record.instance_id), {})
            if member.number in left and left[member.number] == member.start_count:
                self._add_problem(
                    f"{member.name} took {record.name} for alive after it learned that it had left"
                )
        if record.state == MemberState.LEFT:
            self.net.death_known_at.setdefault((record.name, -record.instance_id), {})[
                member.number
            ] = member.start_count

    def _add_problem(self, problem: str) -> None:
        self.problems.append(f"{self.net.now / self.net.shape.period - 1000:.2f}: {problem}")

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
            self.history.append(f"{net.now / net.shape.period - 1000:.2f}: {kind}")
            getattr(self, "_" + kind.replace(" ", "_"))()
            net.run(rng.choice((0.2, 2, 8, 30)))
        net.cut.clear()
        net.loss = 0.0
        net.run(40)  # longer than any stop
        net.run(SETTLE_PERIODS)
        self._check_agreement()
        return HistoryResult(
            self.seed, self.problems, self.history, net.undercount_time / 1e9, len(net.false_deaths)
        )

    def _check_agreement(self) -> None:
        running = [member for member in self.net.members if member.alive and not member.left]
        names = {member.name for member in running}
        if len(names) != len(running):
            self._add_problem(
                f"two processes have one name: {sorted(member.name for member in running)}"
            )
        if self.has_moved and not any(member.number < self.net.shape.joins for member in running):
            return  # no address that the moved member knows has a running member
        digests = set()
        for member in running:
            core = member.core
            alive_names = {
                record.name for record in core.table.values() if record.state == MemberState.ALIVE
            }
            if alive_names != names - {member.name}:
                self._add_problem(
                    f"{member.name} takes {sorted(alive_names)} for alive, "
                    f"but {sorted(names - {member.name})} are"
                )
            for name, instance_id in self.last_killed.items():
                record = core.table.get(name)
                if (
                    name not in names
                    and record is not None
                    and record.instance_id == instance_id
                    and record.state < MemberState.DEAD
                ):
                    self._add_problem(
                        f"{member.name} takes {name} for {MemberState(record.state).name}, "
                        "but it was killed"
                    )
            if member.count_in_use < len(running):
                self._add_problem(
                    f"{member.name} counts {member.count_in_use} members, "
                    f"but {len(running)} accept logins"
                )
            digests.add(core._digest)
            if not core.admitted:
                self._add_problem(f"{member.name} is still not admitted")
        if len(digests) > 1:
            self._add_problem(f"{len(digests)} different member tables")
        # Two processes with one name count as one while they can't exchange messages, because of a
        # partition or because one is stopped.
        if self.net.undercount_time and not self.has_duplicate:
            self._add_problem(f"a count in use was too low: {self.net.first_undercount}")

    # Faults

    def _random_member(self) -> EmulatedMember | None:
        running = [member for member in self.net.members if member.alive and not member.left]
        return self.rng.choice(running) if len(running) > 1 else None

    def _kill(self) -> None:
        member = self._random_member()
        if member is not None:
            self.net.refuses_connections = self.rng.random() < 0.5
            self.last_killed[member.name] = member.core.own_record.instance_id
            member.kill()

    def _restart(self) -> None:
        """Kills a process and restarts it under its name, at once or later.

        The new process does not know its last incarnation.
        """
        member = self._random_member()
        if member is not None:
            member.kill()
            self.net.call_after(
                self.rng.choice((0.01, 0.5, 5, 20)), lambda: member.alive or member.start()
            )

    def _move(self) -> None:
        """Restarts a member under its name at a new address.

        Excludes the members in the configured addresses, which would be outdated.
        """
        member = self._random_member()
        if member is not None and member.number >= self.net.shape.joins:
            member.kill()
            self.has_moved = True
            address = f"10.9.{self.rng.randrange(256)}.{self.rng.randrange(256)}:7000"
            self.net.call_after(
                self.rng.choice((0.01, 0.5, 5)),
                lambda: member.alive or member.start(address=address),
            )

    def _stop(self) -> None:
        member = self._random_member()
        if member is not None:
            self.net.pause(member, self.rng.choice((0.4, 1.5, 6, 30)))

    def _stop_half(self) -> None:
        span = self.rng.choice((1.5, 6, 30))
        for member in self.net.members:
            if member.alive and self.rng.random() < 0.5:
                self.net.pause(member, span)

    def _one_way(self) -> None:
        source, target = self.rng.sample(self.net.members, 2)
        self.net.cut.add((source.number, target.number))

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
        """Cuts all links but those between neighbours."""
        numbers = [member.number for member in self.net.members]
        self.net.cut |= {(a, b) for a in numbers for b in numbers if abs(a - b) > 1}

    def _lossy(self) -> None:
        self.net.loss = self.rng.choice((0.02, 0.1, 0.3))

    def _slow(self) -> None:
        """Stops a process repeatedly for a part of each period."""
        member = self._random_member()
        if member is not None:
            for cycle in range(8):
                self.net.call_after(cycle * 1.1, lambda: self.net.pause(member, 0.8))

    def _leave(self) -> None:
        member = self._random_member()
        if member is not None and not member.paused:
            self.departed.add((member.name, member.core.own_record.instance_id))
            member.leave()

    def _flap(self) -> None:
        """Kills a process and restarts it, once in each period."""
        member = self._random_member()
        if member is not None:
            for cycle in range(6):
                self.net.call_after(cycle, lambda: member.alive and member.kill())
                self.net.call_after(cycle + 0.3, lambda: member.alive or member.start())

    def _double(self) -> None:
        """Starts another process under a name that is in use."""
        member = self._random_member()
        if member is not None and len(self.net.members) < 12:
            self.has_duplicate = True
            duplicate = EmulatedMember(self.net, len(self.net.members))
            self.net.members.append(duplicate)
            duplicate.start(name=member.name)


def run_history(seed: int, new_core: Callable[..., Any] = Membership) -> HistoryResult:
    """Runs the history of a seed."""
    return MembershipHistory(seed, new_core).run()
