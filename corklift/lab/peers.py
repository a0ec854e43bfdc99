"""Members in virtual time, among links that lose, delay and stall messages, and processes that stop, die and come back.

Owns what is true: who lives, who is stopped, which messages pass, how many connections stand at the servers. Drives the
product's own core through its host. Must never hold a copy of its decisions. One seed gives one history.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from corklift.lab.clock import MS, SECOND
from corklift.membership.core import Membership, MembershipConfig
from corklift.membership.messages import MemberRecord, MemberState, Message, decode, encode

REFUSED_AFTER = MS  # a connect to a port where nobody listens ends
HEADS = 60  # bytes of HTTP/2 and gRPC beside a message, measured on loopback with the driver
LOOK = 4  # times a period that what members hold is compared with the truth


class NetworkShape(NamedTuple):
    members: int = 8
    period: int = SECOND
    loss: float = 0.0  # of messages
    delay: int = 5 * MS  # at most; even from a fifth of it
    servers: int = 3
    settled: bool = False  # all know all from the start
    joins: int = 3  # addresses that a file names
    told: int = 0  # balancers that it tells of; 0: the true number
    bytes: bool = False  # encode each message, for its size


class EmulatedMember:
    """One process's surroundings: the host that its core acts on."""

    def __init__(self, net: EmulatedNetwork, number: int) -> None:
        self.net, self.number = net, number
        self.name, self.address = f"b{number}", f"10.0.{number >> 8}.{number & 255}:7000"
        self.alive = self.paused = self.left = False
        self.start_count = 0  # of its processes: what was meant for an earlier one is void
        self.core: Any = None
        self.count_in_use = 0
        self.rejections: list[str] = []
        self.deferred_actions: list[Callable[[], None]] = []  # what came while it was stopped
        self.held = 0  # connections
        self.calls: dict[int, Callable[[Message], None]] = {}
        self.next_call_id = 0
        self.sent_bytes = self.sent = 0
        self.declared_dead: dict[int, set[str]] = {}  # lives that this one called dead

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
        others = [net.members[at].address for at in range(min(net.shape.joins, len(net.members)))]
        self.core = net.make(
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
        self.set_connections(self.held)
        self.tick()

    @property
    def accepts_logins(self) -> bool:
        return self.alive and not self.left and not self.rejections and self.core.admitted

    def run(self, life: int, act: Callable[[], None]) -> None:
        """Now, or when it goes on, if it is still the same process."""
        if not self.alive or self.start_count != life:
            return
        if self.paused:
            self.deferred_actions.append(lambda: self.run(life, act))
        else:
            act()

    def tick(self) -> None:
        due, life = self.core.tick(self.net.now), self.start_count
        self.net.call_at(due, lambda: self.run(life, self.tick))

    def set_connections(self, connections: int) -> None:
        self.held = connections
        self.core.set_connections(self.net.now, connections)

    def kill(self) -> None:
        self.alive, self.held = False, 0
        if self.net.by_address.get(self.address) is self:
            del self.net.by_address[self.address]

    def leave(self) -> None:
        self.held = 0
        self.core.leave(self.net.now)
        self.left = True
        life = self.start_count
        self.net.call_at(
            self.net.now + self.net.shape.period // 2,
            lambda: self.start_count == life and self.kill(),
        )

    # Host

    def send_request(
        self, request_id: int, address: str, name: str, message: Message, until: int
    ) -> None:
        net, life = self.net, self.start_count
        self._sent(message)

        def ends(act: Callable[[], None]) -> None:
            self.run(life, act)

        net.call_at(
            until, lambda: ends(lambda: self.core.request_failed(net.now, request_id))
        )  # of no effect once it was answered
        to = net.by_address.get(address)
        if to is None:
            if net.refuses_connections:
                net.call_at(
                    net.now + REFUSED_AFTER,
                    lambda: ends(lambda: self.core.request_failed(net.now, request_id)),
                )
            return
        their_life = to.start_count

        def reply(answer: Message) -> None:
            to._sent(answer)
            if net.is_delivered(to, self):
                net.call_at(
                    net.now + net.delay(),
                    lambda: ends(
                        lambda: self.core.reply_received(
                            net.now, request_id, net.transferred(answer)
                        )
                    ),
                )

        def arrive() -> None:
            call, to.next_call_id = to.next_call_id, to.next_call_id + 1
            to.calls[call] = reply
            to.core.request_received(net.now, call, net.transferred(message))

        if net.is_delivered(self, to):
            net.call_at(net.now + net.delay(), lambda: to.run(their_life, arrive))

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
        life = self.start_count
        self.net.call_at(self.net.now, lambda: self.run(life, self.leave))

    def log(self, text: str) -> None:
        pass

    def _sent(self, message: Message) -> None:
        self.sent += 1
        if self.net.shape.bytes:
            self.sent_bytes += len(encode(message)) + HEADS


class EmulatedNetwork:
    """Processes and what lies between them."""

    def __init__(
        self, shape: NetworkShape, seed: int, make: Callable[..., Any] = Membership
    ) -> None:
        self.shape, self.rng, self.make = shape, Random(seed), make
        self.now = 1_000 * SECOND
        self._queue: list[tuple[int, int, Callable[[], Any]]] = []
        self._number = 0
        self.by_address: dict[str, EmulatedMember] = {}
        self.members = [EmulatedMember(self, number) for number in range(shape.members)]
        self.cut: set[tuple[int, int]] = set()  # directed pairs between which nothing passes
        self.loss = shape.loss
        self.refuses_connections = True  # whether a killed process's machine still answers
        self.false_deaths: list[
            tuple[int, str, str]
        ] = []  # when, by whom, who was called dead while its process lived
        self.death_known_at: dict[
            tuple[str, int], dict[int, int]
        ] = {}  # by name and life, when each came to know of its death
        self.undercount_time = (
            0  # ns times members, in which a count in use was under the number that placed
        )
        self.first_undercount = ""
        self.on_member_changed: Callable[[EmulatedMember, MemberRecord], None] = (
            lambda member, record: None
        )

    def call_at(self, when: int, act: Callable[[], Any]) -> None:
        self._number += 1
        heappush(self._queue, (when, self._number, act))

    def call_after(self, periods: float, act: Callable[[], Any]) -> None:
        self.call_at(self.now + int(periods * self.shape.period), act)

    def run(self, periods: float) -> None:
        until = self.now + int(periods * self.shape.period)
        while self._queue and self._queue[0][0] <= until:
            self.now, _, act = heappop(self._queue)
            act()
        self.now = until

    def delay(self) -> int:
        return int(self.shape.delay * self.rng.uniform(0.2, 1.0))

    def transferred(self, message: Message) -> Message:
        return decode(encode(message)) if self.shape.bytes else message

    def is_delivered(self, a: EmulatedMember, b: EmulatedMember) -> bool:
        return (a.number, b.number) not in self.cut and self.rng.random() >= self.loss

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
        """SIGSTOP; after that it goes on: with its timers first, or with what came meanwhile."""
        if not member.alive or member.paused:
            return
        member.paused, life = True, member.start_count

        def go_on() -> None:
            if member.alive and member.start_count == life and member.paused:
                member.paused = False
                late, member.deferred_actions = member.deferred_actions, []
                if self.rng.random() < 0.5:
                    late.reverse()
                for act in late:
                    act()

        self.call_after(periods, go_on)

    def record_death(self, by: EmulatedMember, record: MemberRecord) -> None:
        member = self.by_address.get(record.address)
        if (
            member is not None
            and member.core.own_record.instance_id == record.instance_id
            and not member.left
        ):
            self.false_deaths.append((self.now, by.name, record.name))
        else:
            self.death_known_at.setdefault((record.name, record.instance_id), {}).setdefault(
                by.number, self.now
            )

    # Connections, and whether the counts in use are under the number that really places

    def start_observing(self) -> None:
        """Connections come and go, servers tell how many they hold, and what members hold is compared with the truth."""
        shape, rng = self.shape, self.rng
        span = shape.period // LOOK

        def look() -> None:
            placing = 0
            for member in self.members:
                if member.accepts_logins:
                    placing += 1
                    if not member.paused:
                        member.set_connections(max(1, member.held + rng.choice((-1, 0, 0, 0, 1))))
            held = sum(member.held for member in self.members)
            for member in self.members:
                if member.alive and not member.paused and not member.left:
                    for server in range(shape.servers):  # each holds a part of all
                        part = held // shape.servers + (server < held % shape.servers)
                        if rng.random() < 1 / LOOK:
                            member.core.server_reported(
                                self.now,
                                f"s{server}",
                                part,
                                {f"s{n}" for n in range(shape.servers)},
                            )
                    if member.count_in_use < placing:
                        self.undercount_time += span
                        self.first_undercount = self.first_undercount or (
                            f"{member.name} counted {member.count_in_use} where {placing} placed, at {self.now // MS} ms"
                        )
            self.call_at(self.now + span, look)

        look()
