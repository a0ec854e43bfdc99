"""Emulates members of the membership protocol, and the network between them, in virtual time.

Links lose and delay messages; processes stop for a while, are killed and start again. This module
holds the true state: which processes run, which are stopped, which messages arrive and how many
connections there are. Each member runs the real `Membership`, driven through its host interface;
this module never makes its decisions. The same seed always gives the same history.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from corklift.lab.clock import MS, SECOND
from corklift.membership.core import Membership, MembershipConfig
from corklift.membership.messages import MemberRecord, MemberState, Message, decode, encode

REFUSAL_DELAY = MS  # until a connect to a port without a listener fails
# HTTP/2 and gRPC framing of a message, measured on loopback with the driver.
FRAMING_BYTES = 60
OBSERVATIONS_PER_PERIOD = 4  # comparisons of the members' state with the true state


class NetworkShape(NamedTuple):
    """Size and properties of an emulated network.

    Attributes:
        members: number of processes.
        period: probe interval of the members, in ns.
        loss: probability that a message is lost.
        delay: maximum delay of a message in ns; delays are uniform between a fifth of it and all.
        servers: number of servers that report their connections.
        settled: all members know each other at the start.
        joins: number of addresses in each member's configuration.
        told: number of balancers in each member's settings; 0 is the true number.
        bytes: encode each message, to count its size.
    """

    members: int = 8
    period: int = SECOND
    loss: float = 0.0
    delay: int = 5 * MS
    servers: int = 3
    settled: bool = False
    joins: int = 3
    told: int = 0
    bytes: bool = False


class EmulatedMember:
    """One process with its member, and the host that the member acts on."""

    def __init__(self, net: EmulatedNetwork, number: int) -> None:
        self.net, self.number = net, number
        self.name, self.address = f"b{number}", f"10.0.{number >> 8}.{number & 255}:7000"
        self.alive = self.paused = self.left = False
        self.start_count = 0  # identifies the process: actions for an earlier one are dropped
        self.core: Any = None
        self.count_in_use = 0
        self.rejections: list[str] = []
        self.deferred_actions: list[Callable[[], None]] = []  # while it was stopped
        self.connections = 0
        self.calls: dict[int, Callable[[Message], None]] = {}
        self.next_call_id = 0
        self.sent_bytes = self.sent = 0
        self.declared_dead: dict[int, set[str]] = {}

    def start(self, name: str = "", address: str = "") -> None:
        net = self.net
        self.name, self.address = name or self.name, address or self.address
        self.start_count += 1
        self.alive, self.paused, self.left, self.deferred_actions, self.calls = (
            True,
            False,
            False,
            [],
            {},
        )
        self.rejections = []
        others = [
            net.members[index].address for index in range(min(net.shape.joins, len(net.members)))
        ]
        self.core = net.new_core(
            self,
            net.rng,
            MembershipConfig(net.shape.period),
            net.now,
            name=self.name,
            address=self.address,
            join=others,
            expected=net.shape.told or net.shape.members,
        )
        net.by_address[self.address] = self
        self.core.start()
        self.set_connections(self.connections)
        self.tick()

    @property
    def accepts_logins(self) -> bool:
        return self.alive and not self.left and not self.rejections and self.core.admitted

    def run(self, start_count: int, action: Callable[[], None]) -> None:
        """Runs an action now or once the process is resumed, if it is still the same process."""
        if not self.alive or self.start_count != start_count:
            return
        if self.paused:
            self.deferred_actions.append(lambda: self.run(start_count, action))
        else:
            action()

    def tick(self) -> None:
        due, start_count = self.core.tick(self.net.now), self.start_count
        self.net.call_at(due, lambda: self.run(start_count, self.tick))

    def set_connections(self, connections: int) -> None:
        self.connections = connections
        self.core.set_connections(self.net.now, connections)

    def kill(self) -> None:
        self.alive, self.connections = False, 0
        if self.net.by_address.get(self.address) is self:
            del self.net.by_address[self.address]

    def leave(self) -> None:
        self.connections = 0
        self.core.leave(self.net.now)
        self.left = True
        start_count = self.start_count
        self.net.call_at(
            self.net.now + self.net.shape.period // 2,
            lambda: self.start_count == start_count and self.kill(),
        )

    # The host interface of the membership

    def send_request(
        self, request_id: int, address: str, name: str, message: Message, until: int
    ) -> None:
        net, start_count = self.net, self.start_count
        self._count_sent(message)

        def ends(action: Callable[[], None]) -> None:
            self.run(start_count, action)

        # Failing a request that was already answered has no effect.
        net.call_at(until, lambda: ends(lambda: self.core.request_failed(net.now, request_id)))
        target = net.by_address.get(address)
        if target is None:
            if net.refuses_connections:
                net.call_at(
                    net.now + REFUSAL_DELAY,
                    lambda: ends(lambda: self.core.request_failed(net.now, request_id)),
                )
            return
        target_start_count = target.start_count

        def reply(answer: Message) -> None:
            target._count_sent(answer)
            if net.is_delivered(target, self):
                net.call_at(
                    net.now + net.delay(),
                    lambda: ends(
                        lambda: self.core.reply_received(
                            net.now, request_id, net.transferred(answer)
                        )
                    ),
                )

        def arrive() -> None:
            call, target.next_call_id = target.next_call_id, target.next_call_id + 1
            target.calls[call] = reply
            target.core.request_received(net.now, call, net.transferred(message))

        if net.is_delivered(self, target):
            net.call_at(net.now + net.delay(), lambda: target.run(target_start_count, arrive))

    def send_reply(self, call_id: int, message: Message) -> None:
        self.calls.pop(call_id)(message)

    def member_changed(self, record: MemberRecord, was: MemberState | None) -> None:
        if record.state == MemberState.DEAD:
            self.net.record_death(self, record)
        self.net.on_member_changed(self, record)

    def count_changed(self, count: int) -> None:
        self.count_in_use = count

    def name_rejected(self, reason: str) -> None:
        self.rejections.append(reason)
        start_count = self.start_count
        self.net.call_at(self.net.now, lambda: self.run(start_count, self.leave))

    def log(self, text: str) -> None:
        pass

    def _count_sent(self, message: Message) -> None:
        self.sent += 1
        if self.net.shape.bytes:
            self.sent_bytes += len(encode(message)) + FRAMING_BYTES


class EmulatedNetwork:
    """The processes, the links between them and the clock."""

    def __init__(
        self, shape: NetworkShape, seed: int, new_core: Callable[..., Any] = Membership
    ) -> None:
        self.shape, self.rng, self.new_core = shape, Random(seed), new_core
        self.now = 1_000 * SECOND
        self._events: list[tuple[int, int, Callable[[], Any]]] = []
        self._event_count = 0
        self.by_address: dict[str, EmulatedMember] = {}
        self.members = [EmulatedMember(self, number) for number in range(shape.members)]
        self.cut: set[tuple[int, int]] = set()  # directed links that are down
        self.loss = shape.loss
        # Whether the machine of a killed process still refuses connections, or does not respond.
        self.refuses_connections = True
        # Time, observer and name of members declared dead while their process was running.
        self.false_deaths: list[tuple[int, str, str]] = []
        # By name and instance id: when each member learned of the death.
        self.death_known_at: dict[tuple[str, int], dict[int, int]] = {}
        # ns times members in which a count in use was below the number that accepted logins.
        self.undercount_time = 0
        self.first_undercount = ""
        self.on_member_changed: Callable[[EmulatedMember, MemberRecord], None] = (
            lambda member, record: None
        )

    def call_at(self, when: int, action: Callable[[], Any]) -> None:
        self._event_count += 1
        heappush(self._events, (when, self._event_count, action))

    def call_after(self, periods: float, action: Callable[[], Any]) -> None:
        self.call_at(self.now + int(periods * self.shape.period), action)

    def run(self, periods: float) -> None:
        until = self.now + int(periods * self.shape.period)
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heappop(self._events)
            action()
        self.now = until

    def delay(self) -> int:
        return int(self.shape.delay * self.rng.uniform(0.2, 1.0))

    def transferred(self, message: Message) -> Message:
        return decode(encode(message)) if self.shape.bytes else message

    def is_delivered(self, source: EmulatedMember, target: EmulatedMember) -> bool:
        return (source.number, target.number) not in self.cut and self.rng.random() >= self.loss

    def start(self) -> None:
        for member in self.members:
            member.start()
        if self.shape.settled:
            for member in self.members:
                for other in self.members:
                    if other is not member:
                        member.core._merge_record(self.now, other.core.own_record)
                member.core._gossip_queue.clear()
                member.core.joined = member.core._announced = True

    def pause(self, member: EmulatedMember, periods: float) -> None:
        """Stops a process as SIGSTOP does and resumes it later.

        The actions that became due meanwhile then run in their order or in the reverse order.
        """
        if not member.alive or member.paused:
            return
        member.paused, start_count = True, member.start_count

        def resume() -> None:
            if member.alive and member.start_count == start_count and member.paused:
                member.paused = False
                deferred, member.deferred_actions = member.deferred_actions, []
                if self.rng.random() < 0.5:
                    deferred.reverse()
                for action in deferred:
                    action()

        self.call_after(periods, resume)

    def record_death(self, observer: EmulatedMember, record: MemberRecord) -> None:
        member = self.by_address.get(record.address)
        if (
            member is not None
            and member.core.own_record.instance_id == record.instance_id
            and not member.left
        ):
            self.false_deaths.append((self.now, observer.name, record.name))
        else:
            self.death_known_at.setdefault((record.name, record.instance_id), {}).setdefault(
                observer.number, self.now
            )

    # Connections, and whether the counts in use are below the number that accept logins

    def start_observing(self) -> None:
        """Changes connections, reports those of the servers and checks the counts, periodically."""
        shape, rng = self.shape, self.rng
        span = shape.period // OBSERVATIONS_PER_PERIOD

        def look() -> None:
            accepting_count = 0
            for member in self.members:
                if member.accepts_logins:
                    accepting_count += 1
                    if not member.paused:
                        member.set_connections(
                            max(1, member.connections + rng.choice((-1, 0, 0, 0, 1)))
                        )
            total = sum(member.connections for member in self.members)
            for member in self.members:
                if member.alive and not member.paused and not member.left:
                    for server in range(shape.servers):  # each has an equal part of all
                        part = total // shape.servers + (server < total % shape.servers)
                        if rng.random() < 1 / OBSERVATIONS_PER_PERIOD:
                            member.core.server_reported(
                                self.now,
                                f"s{server}",
                                part,
                                {f"s{number}" for number in range(shape.servers)},
                            )
                    if member.count_in_use < accepting_count:
                        self.undercount_time += span
                        self.first_undercount = self.first_undercount or (
                            f"{member.name} counted {member.count_in_use} members, but "
                            f"{accepting_count} accepted logins, at {self.now // MS} ms"
                        )
            self.call_at(self.now + span, look)

        look()
