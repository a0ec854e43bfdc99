"""A small world of members for exploration: every order of arrivals, losses, ticks, a death with return, a stop, a leaving.

Owns the world and what must hold in each of its states. Must never hold a decision.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from corklift.membership.core import Membership, MembershipConfig
from corklift.membership.messages import MemberRecord, MemberState, Message

PERIOD = 1_000_000_000
EPOCH = 1_000 * PERIOD


class MembershipShape(NamedTuple):
    """Its shape: how often each may happen."""

    members: int = 3
    losses: int = 1
    deaths: int = 1
    returns: int = 1
    stops: int = 1
    leaves: int = 1
    settled: bool = True  # all know all at the start


class _Host:
    def __init__(self, world: MembershipWorld, number: int) -> None:
        self.world, self.number = world, number
        self.alive, self.left, self.life, self.used = False, False, 0, 0
        self.core: Any = None
        self.due = EPOCH
        self.next_call = 0
        self.calls: dict[
            int, tuple[int, int, int]
        ] = {}  # whom, of which life, to answer to which ask

    def start(self) -> None:
        world = self.world
        self.alive, self.left, self.life, self.calls = True, False, self.life + 1, {}
        join = [f"m{at}" for at in range(world.shape.members) if at != self.number]
        self.core = world.make(
            self,
            Random(self.number * 100 + self.life),
            MembershipConfig(PERIOD),
            world.now,
            name=f"m{self.number}",
            address=f"m{self.number}",
            join=join,
            expected=world.shape.members,
        )
        self.core.start()
        self.due = world.now

    # Host

    def send_request(
        self, request_id: int, address: str, name: str, message: Message, until: int
    ) -> None:
        self.world.flying.append(
            ("ask", self.number, self.life, int(address[1:]), request_id, message)
        )

    def send_reply(self, call_id: int, message: Message) -> None:
        to, life, ask = self.calls.pop(call_id)
        self.world.flying.append(("answer", self.number, life, to, ask, message))

    def member_changed(self, record: MemberRecord, was: MemberState | None) -> None:
        world = self.world
        if record.state == MemberState.LEFT and (record.name, record.instance_id) not in world.gone:
            world.wrong = f"m{self.number} holds {record.name} for gone, which never said so"
        held = world.ranks.get((self.number, self.life, record.name))
        if held is not None and record.rank < held:
            world.wrong = f"m{self.number} went back on {record.name}: {held} to {record.rank}"
        world.ranks[self.number, self.life, record.name] = record.rank

    def count_changed(self, count: int) -> None:
        self.used = count

    def name_rejected(self, reason: str) -> None:
        self.world.wrong = f"m{self.number} was refused, alone under its name: {reason}"

    def log(self, text: str) -> None:
        pass


class MembershipWorld:
    """Three cores and what flies between them."""

    def __init__(self, shape: MembershipShape, make: Callable[..., Any] = Membership) -> None:
        self.shape, self.make, self.now = shape, make, EPOCH
        self.flying: list[tuple[str, int, int, int, int, Message]] = []
        self.wrong: str | None = None
        self.gone: set[tuple[str, int]] = set()
        self.ranks: dict[tuple[int, int, str], tuple[int, int, int]] = {}
        self.raised: dict[tuple[int, int], int] = {}
        self.steps: list[str] = []
        self.left = {
            "lose": shape.losses,
            "kill": shape.deaths,
            "return": shape.returns,
            "stop": shape.stops,
            "leave": shape.leaves,
        }
        self.seats = [_Host(self, number) for number in range(shape.members)]
        for seat in self.seats:
            seat.start()
        if shape.settled:
            for seat in self.seats:
                for other in self.seats:
                    if other is not seat:
                        seat.core._merge_record(self.now, other.core.own_record)
                seat.core._gossip_queue.clear()
                seat.core.joined = seat.core._announced = True

    def enabled(self) -> list[str]:
        labels = [
            f"{what} {at}"
            for at in range(min(3, len(self.flying)))
            for what in (["arrive", "lose"] if self.left["lose"] else ["arrive"])
        ]
        living = [seat for seat in self.seats if seat.alive]
        soonest = min((seat.due for seat in living), default=0)
        labels += [f"tick {seat.number}" for seat in living if seat.due <= soonest + PERIOD // 4]
        if self.left["kill"] and len(living) > 1:
            labels += [f"kill {seat.number}" for seat in living]
        if self.left["return"]:
            labels += [f"return {seat.number}" for seat in self.seats if not seat.alive]
        if self.left["stop"]:
            labels += [f"stop {seat.number}" for seat in living]
        if self.left["leave"] and len(living) > 1:
            labels += [f"leave {seat.number}" for seat in living if not seat.left]
        return labels

    def play(self, label: str) -> None:
        self.steps.append(f"{(self.now - EPOCH) / PERIOD:8.3f}  {label}" + self._said(label))
        kind, _, at = label.partition(" ")
        number = int(at)
        if kind in ("arrive", "lose"):
            what, by, life, to, ask, message = self.flying.pop(number)
            if kind == "lose":
                self.left["lose"] -= 1
                if what == "ask" and self.seats[by].life == life and self.seats[by].alive:
                    self.seats[by].core.request_failed(self.now, ask)
            elif what == "ask":
                self._call(by, life, to, ask, message)
            elif self.seats[to].alive and self.seats[to].life == life:
                self.seats[to].core.reply_received(self.now, ask, message)
        elif kind == "tick":
            self._tick(self.seats[number], 0)
        elif kind == "stop":
            self.left["stop"] -= 1
            self._tick(self.seats[number], 30 * PERIOD)
        elif kind == "kill":
            self.left["kill"] -= 1
            self.seats[number].alive = False
        elif kind == "return":
            self.left["return"] -= 1
            self.seats[number].start()
        elif kind == "leave":
            self.left["leave"] -= 1
            seat = self.seats[number]
            seat.left = True
            self.gone.add((f"m{number}", seat.core.own_record.instance_id))
            seat.core.leave(self.now)
        self._check()

    def _said(self, label: str) -> str:
        kind, _, at = label.partition(" ")
        if kind not in ("arrive", "lose"):
            return ""
        what, by, _, to, _, message = self.flying[int(at)]
        return f": {what} of m{by} to m{to}, {message.kind}"

    def _call(self, by: int, life: int, to: int, ask: int, message: Message) -> None:
        seat = self.seats[to]
        if not seat.alive:
            if self.seats[by].alive and self.seats[by].life == life:
                self.seats[by].core.request_failed(self.now, ask)
            return
        call, seat.next_call = seat.next_call, seat.next_call + 1
        seat.calls[call] = by, life, ask
        seat.core.request_received(self.now, call, message)

    def _tick(self, seat: _Host, late: int) -> None:
        self.now = max(self.now, seat.due) + late
        if late:
            # It alone was stopped: the others have ticked on meanwhile.
            for other in self.seats:
                while other.alive and other is not seat and other.due < self.now:
                    other.due = max(other.core.tick(other.due), other.due + 1)
        seat.due = seat.core.tick(self.now)

    def _check(self) -> None:
        placing = sum(seat.alive and not seat.left for seat in self.seats)
        for seat in self.seats:
            if not seat.alive:
                continue
            key = seat.number, seat.life
            if seat.core.own_record.incarnation < self.raised.get(key, 0):
                self.wrong = f"m{seat.number} lowered its incarnation"
            self.raised[key] = seat.core.own_record.incarnation
            # One that comes back after it left opens its door once the others were told of it.
            coming = sum(
                other.alive and not other.left and not other.core.admitted for other in self.seats
            )
            if (
                not seat.left
                and not seat.core.rejected
                and seat.core.admitted
                and seat.used < placing - coming
            ):
                self.wrong = f"m{seat.number} counts {seat.used} where {placing - coming} place"

    def violation(self) -> str | None:
        return self.wrong

    def state(self) -> object:
        return (
            [
                (
                    seat.alive,
                    seat.left,
                    seat.life,
                    seat.due - self.now,
                    seat.used,
                    seat.core.own_record,
                    sorted(seat.core.table.items()),
                    sorted(
                        (name, held.expires_at - self.now, sorted(held.reporters))
                        for name, held in seat.core._suspicions.items()
                    ),
                    seat.core._slowdown,
                    seat.core._probe
                    and (
                        seat.core._probe.record.name,
                        seat.core._probe.ends_at - self.now,
                        seat.core._probe.acked,
                        seat.core._probe.relay_count,
                        seat.core._probe.nack_count,
                    ),
                    sorted(seat.core._gossip_queue.items()),
                    seat.core._probe_round,
                    sorted(seat.core._requests),
                )
                for seat in self.seats
            ],
            [(what, by, life, to, ask) for what, by, life, to, ask, _ in self.flying],
            self.left,
        )

    def trace(self) -> list[str]:
        return self.steps
