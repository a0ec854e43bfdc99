"""A small world of the membership protocol for state space exploration.

Its events are messages that arrive or are lost, ticks, and members that are killed, return, are
stopped for a while or leave. The world checks invariants after each event. The members run the real
`Membership`; this module never makes a decision itself.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from corklift.membership.core import Membership, MembershipConfig
from corklift.membership.messages import MemberRecord, MemberState, Message

PERIOD = 1_000_000_000
START_TIME = 1_000 * PERIOD


class MembershipShape(NamedTuple):
    """Size of a `MembershipWorld` and how often each event may happen."""

    members: int = 3
    losses: int = 1
    deaths: int = 1
    returns: int = 1
    stops: int = 1
    leaves: int = 1
    settled: bool = True  # all members know each other at the start


class _MemberHost:
    """The host of one member: its surroundings, which deliver messages through the world."""

    def __init__(self, world: MembershipWorld, number: int) -> None:
        self.world, self.number = world, number
        self.alive, self.has_left, self.start_count, self.count_in_use = False, False, 0, 0
        self.core: Any = None
        self.due = START_TIME
        self.next_call_id = 0
        # The member that called, its start count and its request id, by call id.
        self.calls: dict[int, tuple[int, int, int]] = {}

    def start(self) -> None:
        world = self.world
        self.alive, self.has_left, self.start_count, self.calls = (
            True,
            False,
            self.start_count + 1,
            {},
        )
        join = [f"m{index}" for index in range(world.shape.members) if index != self.number]
        self.core = world.new_core(
            self,
            Random(self.number * 100 + self.start_count),
            MembershipConfig(PERIOD),
            world.now,
            name=f"m{self.number}",
            address=f"m{self.number}",
            join=join,
            expected=world.shape.members,
        )
        self.core.start()
        self.due = world.now

    # The host interface of the membership

    def send_request(
        self, request_id: int, address: str, name: str, message: Message, until: int
    ) -> None:
        self.world.in_flight.append(
            ("ask", self.number, self.start_count, int(address[1:]), request_id, message)
        )

    def send_reply(self, call_id: int, message: Message) -> None:
        target, start_count, request_id = self.calls.pop(call_id)
        self.world.in_flight.append(
            ("answer", self.number, start_count, target, request_id, message)
        )

    def member_changed(self, record: MemberRecord, was: MemberState | None) -> None:
        world = self.world
        if (
            record.state == MemberState.LEFT
            and (record.name, record.instance_id) not in world.departed
        ):
            world.failure = f"m{self.number} holds {record.name} as left, but it never left"
        previous_rank = world.latest_ranks.get((self.number, self.start_count, record.name))
        if previous_rank is not None and record.rank < previous_rank:
            world.failure = (
                f"m{self.number} moved back its record of {record.name}: "
                f"{previous_rank} to {record.rank}"
            )
        world.latest_ranks[self.number, self.start_count, record.name] = record.rank

    def count_changed(self, count: int) -> None:
        self.count_in_use = count

    def name_rejected(self, reason: str) -> None:
        self.world.failure = f"m{self.number} was rejected, though its name is unique: {reason}"

    def log(self, text: str) -> None:
        pass


class MembershipWorld:
    """A few members and the messages in flight between them.

    Invariants: a member never lowers its incarnation or the rank of a record; it takes another
    member for left only after that one has left; its name is never rejected; the count of balancers
    that it uses is never below the number that accept logins.
    """

    def __init__(self, shape: MembershipShape, new_core: Callable[..., Any] = Membership) -> None:
        self.shape, self.new_core, self.now = shape, new_core, START_TIME
        self.in_flight: list[tuple[str, int, int, int, int, Message]] = []
        self.failure: str | None = None
        self.departed: set[tuple[str, int]] = set()  # name and instance id of members that left
        # Latest rank of a record, by the member that holds it, that member's start count and the
        # name in the record.
        self.latest_ranks: dict[tuple[int, int, str], tuple[int, int, int]] = {}
        self.incarnations: dict[tuple[int, int], int] = {}
        self.steps: list[str] = []
        self.remaining = {
            "lose": shape.losses,
            "kill": shape.deaths,
            "return": shape.returns,
            "stop": shape.stops,
            "leave": shape.leaves,
        }
        self.hosts = [_MemberHost(self, number) for number in range(shape.members)]
        for host in self.hosts:
            host.start()
        if shape.settled:
            for host in self.hosts:
                for other in self.hosts:
                    if other is not host:
                        host.core._merge_record(self.now, other.core.own_record)
                host.core._gossip_queue.clear()
                host.core.joined = host.core._announced = True

    def enabled(self) -> list[str]:
        labels = [
            f"{action} {index}"
            for index in range(min(3, len(self.in_flight)))
            for action in (["arrive", "lose"] if self.remaining["lose"] else ["arrive"])
        ]
        live_hosts = [host for host in self.hosts if host.alive]
        earliest_due = min((host.due for host in live_hosts), default=0)
        labels += [
            f"tick {host.number}" for host in live_hosts if host.due <= earliest_due + PERIOD // 4
        ]
        if self.remaining["kill"] and len(live_hosts) > 1:
            labels += [f"kill {host.number}" for host in live_hosts]
        if self.remaining["return"]:
            labels += [f"return {host.number}" for host in self.hosts if not host.alive]
        if self.remaining["stop"]:
            labels += [f"stop {host.number}" for host in live_hosts]
        if self.remaining["leave"] and len(live_hosts) > 1:
            labels += [f"leave {host.number}" for host in live_hosts if not host.has_left]
        return labels

    def play(self, label: str) -> None:
        self.steps.append(
            f"{(self.now - START_TIME) / PERIOD:8.3f}  {label}" + self._message_description(label)
        )
        kind, _, index = label.partition(" ")
        number = int(index)
        if kind in ("arrive", "lose"):
            message_type, source, start_count, target, request_id, message = self.in_flight.pop(
                number
            )
            if kind == "lose":
                self.remaining["lose"] -= 1
                if (
                    message_type == "ask"
                    and self.hosts[source].start_count == start_count
                    and self.hosts[source].alive
                ):
                    self.hosts[source].core.request_failed(self.now, request_id)
            elif message_type == "ask":
                self._deliver_request(source, start_count, target, request_id, message)
            elif self.hosts[target].alive and self.hosts[target].start_count == start_count:
                self.hosts[target].core.reply_received(self.now, request_id, message)
        elif kind == "tick":
            self._tick_member(self.hosts[number], 0)
        elif kind == "stop":
            self.remaining["stop"] -= 1
            self._tick_member(self.hosts[number], 30 * PERIOD)
        elif kind == "kill":
            self.remaining["kill"] -= 1
            self.hosts[number].alive = False
        elif kind == "return":
            self.remaining["return"] -= 1
            self.hosts[number].start()
        elif kind == "leave":
            self.remaining["leave"] -= 1
            host = self.hosts[number]
            host.has_left = True
            self.departed.add((f"m{number}", host.core.own_record.instance_id))
            host.core.leave(self.now)
        self._check_counts()

    def _message_description(self, label: str) -> str:
        kind, _, index = label.partition(" ")
        if kind not in ("arrive", "lose"):
            return ""
        message_type, source, _, target, _, message = self.in_flight[int(index)]
        return f": {message_type} of m{source} to m{target}, {message.kind}"

    def _deliver_request(
        self, source: int, start_count: int, target: int, request_id: int, message: Message
    ) -> None:
        host = self.hosts[target]
        if not host.alive:
            if self.hosts[source].alive and self.hosts[source].start_count == start_count:
                self.hosts[source].core.request_failed(self.now, request_id)
            return
        call_id, host.next_call_id = host.next_call_id, host.next_call_id + 1
        host.calls[call_id] = source, start_count, request_id
        host.core.request_received(self.now, call_id, message)

    def _tick_member(self, host: _MemberHost, delay: int) -> None:
        self.now = max(self.now, host.due) + delay
        if delay:
            # Only this member was stopped: the others have ticked in the meantime.
            for other in self.hosts:
                while other.alive and other is not host and other.due < self.now:
                    other.due = max(other.core.tick(other.due), other.due + 1)
        host.due = host.core.tick(self.now)

    def _check_counts(self) -> None:
        serving_count = sum(host.alive and not host.has_left for host in self.hosts)
        for host in self.hosts:
            if not host.alive:
                continue
            key = host.number, host.start_count
            if host.core.own_record.incarnation < self.incarnations.get(key, 0):
                self.failure = f"m{host.number} lowered its incarnation"
            self.incarnations[key] = host.core.own_record.incarnation
            # A member that returns after it left admits logins only once the others know of it.
            joining_count = sum(
                other.alive and not other.has_left and not other.core.admitted
                for other in self.hosts
            )
            if (
                not host.has_left
                and not host.core.rejected
                and host.core.admitted
                and host.count_in_use < serving_count - joining_count
            ):
                self.failure = (
                    f"m{host.number} counts {host.count_in_use} members, "
                    f"but {serving_count - joining_count} accept logins"
                )

    def violation(self) -> str | None:
        return self.failure

    def state(self) -> object:
        return (
            [
                (
                    host.alive,
                    host.has_left,
                    host.start_count,
                    host.due - self.now,
                    host.count_in_use,
                    host.core.own_record,
                    sorted(host.core.table.items()),
                    sorted(
                        (name, suspicion.expires_at - self.now, sorted(suspicion.reporters))
                        for name, suspicion in host.core._suspicions.items()
                    ),
                    host.core._slowdown,
                    host.core._probe
                    and (
                        host.core._probe.record.name,
                        host.core._probe.ends_at - self.now,
                        host.core._probe.acked,
                        host.core._probe.relay_count,
                        host.core._probe.nack_count,
                    ),
                    sorted(host.core._gossip_queue.items()),
                    host.core._probe_round,
                    sorted(host.core._requests),
                )
                for host in self.hosts
            ],
            [
                (message_type, source, start_count, target, request_id)
                for message_type, source, start_count, target, request_id, _ in self.in_flight
            ],
            self.remaining,
        )

    def trace(self) -> list[str]:
        return self.steps
