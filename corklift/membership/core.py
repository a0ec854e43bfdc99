"""Failure detection and membership gossip, from the view of one member.

Follows SWIM (Das, Gupta, Motivala 2002: one probe per period, indirect probes, suspicion,
incarnations, gossip piggybacked on probes) and Lifeguard (Dadgar, Phillips, Currey 2018: a member
that is slow itself uses longer timeouts, suspicions expire sooner as more members confirm them, a
suspected member is told first). The differences are described in docs/design/membership.md.

Holds this member's table of the others and its own incarnation. Does no I/O and reads no clock: the
caller passes in each event with its time, and the module acts through its `Host`.

Invariants: never declares a member dead in a period in which this process was paused itself; never
drops a member because it is silent (see `count`); never sends more in a period because the fleet is
larger.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import nsmallest
from math import ceil, log2, log10
from random import Random
from typing import NamedTuple, Protocol

from xxhash import xxh3_64_intdigest

from corklift.membership.count import BalancerCount
from corklift.membership.messages import (
    ACK,
    JOIN,
    MAX_RECORDS,
    NACK,
    PING,
    REACH,
    REFUSED,
    SELF,
    SYNC,
    UNKNOWN,
    MemberRecord,
    MemberState,
    Message,
)

ALIVE, SUSPECT, DEAD, LEFT = MemberState


class MembershipConfig(NamedTuple):
    """Timeouts and limits. `period` is in ns; other times are in probe periods."""

    period: int = 1_000_000_000
    # After this time without a direct reply, other members are asked to probe.
    ack_timeout: float = 0.3
    # Members that are asked to probe indirectly.
    relays: int = 3
    # Shortest suspicion before a member is declared dead, times log10 of the fleet's size. It
    # applies once enough other members have confirmed the suspicion.
    min_suspicion: float = 4.0
    # Without any confirmation, a suspicion lasts this many times as long.
    max_suspicion_factor: float = 6.0
    # Confirmations by other members that reduce a suspicion to the minimum.
    confirmations: int = 3
    # A member that is slow itself lengthens its timeouts up to this factor.
    max_slowdown: int = 8
    # Records that are piggybacked on a message.
    records_per_message: int = 8
    # Each member passes a record on this many times, times log2 of the fleet's size.
    retransmit_factor: int = 3
    # Records in one page of a table sync.
    page_size: int = 32
    # Time between two pages that are requested.
    page_interval: float = 1.0
    # Time between two calls to a member that is considered dead, or to an address without a known
    # member.
    retry_interval: float = 4.0
    # Time before the second attempt to join; it doubles with each attempt, up to the maximum.
    min_join_backoff: float = 0.25
    max_join_backoff: float = 4.0
    # A tick that is this late shows that this process was paused.
    pause_threshold: float = 0.5
    # Size of the member table; further members are ignored.
    max_members: int = 4096


class Host(Protocol):
    """Actions that the membership core takes through its environment."""

    def send_request(
        self, request_id: int, address: str, name: str, message: Message, until: int
    ) -> None:
        """Calls a peer; ends in `reply_received`, or in `request_failed` by the time `until`."""
        ...

    def send_reply(self, call_id: int, message: Message) -> None:
        """Replies to a peer's call."""
        ...

    def member_changed(self, record: MemberRecord, previous: MemberState | None) -> None:
        """The state of another member has changed; `previous` is None for a new one."""
        ...

    def count_changed(self, count: int) -> None:
        """The number of balancers that may be placing logins has changed; it includes this one."""
        ...

    def name_rejected(self, reason: str) -> None:
        """Another process uses this member's name."""
        ...

    def log(self, text: str) -> None:
        """Writes a log line."""
        ...


@dataclass(slots=True)
class _Request:
    """A request to a peer that has not ended."""

    kind: str
    name: str = ""
    instance_id: int = 0
    address: str = ""
    sent_at: int = 0
    callback: Callable[[int, Message | None], None] | None = None


@dataclass(slots=True)
class _Probe:
    """The probe of one period."""

    record: MemberRecord
    ends_at: int
    relays_at: int
    acked: bool = False
    relay_count: int = 0
    nack_count: int = 0


@dataclass(slots=True)
class _Suspicion:
    """A suspicion of one member and the members that reported it."""

    started_at: int
    expires_at: int
    reporters: set[str] = field(default_factory=set)


class Membership:
    """This member's view of the fleet."""

    def __init__(
        self,
        host: Host,
        rng: Random,
        config: MembershipConfig,
        now: int,
        *,
        name: str,
        address: str,
        join: list[str],
        expected: int = 1,
        zone: str = "",
        version: str = "",
    ) -> None:
        """Creates a member that is not started yet.

        Args:
            host: carries out the actions.
            rng: source of random numbers.
            config: timeouts and limits.
            now: current time, in ns.
            name: name of this member, unique in the fleet.
            address: IPv4:PORT at which other members reach this one.
            join: addresses at which to join the fleet.
            expected: balancers to assume before any is known by name.
            zone: zone of this member, passed on to the others.
            version: program version of this member, passed on to the others.
        """
        self._host, self._rng, self._config = host, rng, config
        self.own_record = MemberRecord(
            name, address, rng.getrandbits(63) | 1, 0, 1, ALIVE, zone, version
        )
        self.table: dict[str, MemberRecord] = {}  # the other members, by name
        self._names: list[str] = []  # names in the table, sorted
        self._digest = self._hash_record(self.own_record)
        # Names of the members whose records are being passed on, with the number of times each was
        # sent.
        self._gossip_queue: dict[str, list[int]] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._requests: dict[int, _Request] = {}
        self._next_request_id = 1
        # Members still to be probed in this round; each round has a new random order.
        self._probe_round: list[str] = []
        self._probe: _Probe | None = None
        self._next_probe_at = now + int(rng.random() * config.period)
        self._slowdown = 0  # Lifeguard's local health multiplier; 0: healthy
        # After a pause of this process, no member is declared dead before this time or the first
        # timely reply. 0: no pause.
        self._no_deaths_until = 0
        self._join_addresses = [at for at in join if at != address]
        rng.shuffle(self._join_addresses)
        self._next_join_at, self._join_attempts = now, 0
        self.joined = not self._join_addresses
        # Addresses at which no attempt to join has ended yet.
        self._untried_addresses = set(self._join_addresses)
        self._announced = self.joined
        # Members to which this one has been announced, whether or not they replied.
        self._announced_to: set[str] = set()
        self._pending_announcements = 0
        self._table_synced = False  # the whole table of a peer has been received once
        self._next_sync_at = self._next_retry_at = now
        self._sync_cursor = ""  # name after which the next page begins
        self._verifying_name = False
        self._leaving = False
        self.rejected = False  # another process uses this name
        self._expected_tick_at = now  # time for which the next tick was requested
        self.count = BalancerCount(expected, config.period, now)
        self._reported_count = 0

    # Events

    def resume(self, incarnation: int, restart_count: int, expected: int) -> None:
        """Continues from what an earlier process of this name has stored; called before `start`.

        Records of the earlier process are thereby outdated from the first message on, and not only
        when a peer passes one on.

        Args:
            incarnation: incarnation to go on from.
            restart_count: how many processes had this name before.
            expected: number of balancers at that time.
        """
        if (incarnation, restart_count) > (
            self.own_record.incarnation,
            self.own_record.restart_count,
        ):
            self._raise_incarnation(
                max(incarnation, self.own_record.incarnation),
                max(restart_count, self.own_record.restart_count),
            )
        self.count.raise_expected(expected)

    def start(self) -> None:
        """Reports the initial count to the host."""
        self._update_count()

    def tick(self, now: int) -> int:
        """Does the work that is due; returns the time of the next tick."""
        self._detect_pause(now)
        if self._leaving:
            self._expected_tick_at = now + self._config.period
            return self._expected_tick_at
        self._keep_joining(now)
        if self.joined and not self._announced:
            self._announce(now)
        self._keep_probing(now)
        self._expire_suspicions(now)
        self._retry_dead(now)
        due = [self._next_probe_at]
        if self._probe is not None:
            due = [self._probe.ends_at] + (
                [self._probe.relays_at]
                if not self._probe.relay_count and not self._probe.acked
                else []
            )
        if not self.joined:
            due.append(self._next_join_at)
        elif not self._announced:
            due.append(now + self._config.period // 4)
        due += (
            [suspicion.expires_at for suspicion in self._suspicions.values()]
            if not self._no_deaths_until
            else []
        )
        self._expected_tick_at = max(now + 1, min(due))
        return self._expected_tick_at

    def reply_received(self, now: int, request_id: int, message: Message) -> None:
        """A peer has replied to a request."""
        self._detect_pause(now)
        request = self._requests.pop(request_id, None)
        if request is None or self.rejected:
            return
        self._merge_message(now, message)
        if (
            message.sender.instance_id != self.own_record.instance_id
            and now - request.sent_at <= self._config.period * (1 + self._slowdown)
        ):
            self._no_deaths_until = 0
        if request.callback is not None:
            request.callback(now, message)
        if request.kind == PING and message.kind == ACK:
            if self.count.member_replied(
                request.sent_at, now, message.sender.name, message.window, message.min_connections
            ):
                self._update_count()
        probe = self._probe
        if (
            probe is not None
            and request.name == probe.record.name
            and request.instance_id == probe.record.instance_id
        ):
            if message.kind == ACK and message.sender.instance_id == (
                request.instance_id if request.kind == PING else message.sender.instance_id
            ):
                if not probe.acked:
                    probe.acked = True
                    self._slowdown = max(0, self._slowdown - 1)
            elif message.kind == NACK:
                probe.nack_count += 1
        if (
            request.kind == PING
            and message.kind in (ACK, NACK)
            and request.instance_id
            and message.sender.instance_id != request.instance_id
        ):
            # Another process has the address now.
            self._declare_dead(now, request.name, request.instance_id)

    def request_failed(self, now: int, request_id: int) -> None:
        """A request has timed out or failed."""
        self._detect_pause(now)
        request = self._requests.pop(request_id, None)
        if request is not None and request.callback is not None:
            request.callback(now, None)

    def request_received(self, now: int, call_id: int, message: Message) -> None:
        """A peer has called; exactly one reply is sent, at once or later."""
        self._detect_pause(now)
        if self.rejected:
            self._host.send_reply(
                call_id,
                self._message(now, NACK, reason="not of the fleet"),
            )
            return
        if message.sender.instance_id == self.own_record.instance_id:
            self._host.send_reply(call_id, self._message(now, SELF))
            return
        if message.kind == JOIN:
            self._admit(now, call_id, message)
            return
        self._merge_message(now, message)
        if (
            message.target_instance_id
            and message.target_instance_id != self.own_record.instance_id
            or message.target_name
            and message.target_name != self.own_record.name
        ):
            self._host.send_reply(
                call_id, self._message(now, NACK, reason="not the process that is meant")
            )
        elif message.kind == PING:
            self._host.send_reply(call_id, self._message(now, ACK, receiver=message.sender.name))
        elif message.kind == SYNC:
            page, cursor = self._sync_page(message.cursor)
            self._host.send_reply(call_id, self._message(now, ACK, records=page, cursor=cursor))
        elif message.kind == REACH and message.subject is not None:
            self._relay_probe(now, call_id, message.subject, message.timeout)
        else:
            self._host.send_reply(
                call_id,
                self._message(now, UNKNOWN, reason=f"{message.kind[:40]!r} is not known here"),
            )

    def detect_pause(self, now: int) -> None:
        """Checks before a placement whether this process was paused, and if so raises the count."""
        self._detect_pause(now)

    def set_connections(self, now: int, connections: int) -> None:
        """Sets how many connections stand at servers through this balancer."""
        self.count.set_connections(now, connections)

    def server_reported(self, now: int, server: str, connections: float, listed: set[str]) -> None:
        """Records a report of a server on its connections.

        It covers the connections of all balancers; `listed` are all servers that may hold some.
        """
        if self.count.server_reported(now, server, connections, listed):
            self._update_count()

    def forget(self, now: int, name: str) -> bool:
        """Operators declare that a dead member is gone for good; a live one would refute this.

        Returns:
            Whether the member was considered dead, and thus forgotten.
        """
        current = self.table.get(name)
        if current is None or current.state != DEAD:
            return False
        self._merge_record(now, updated_record(current, state=LEFT, reporter="operators"))
        return True

    def leave(self, now: int) -> list[tuple[int, str]]:
        """Announces to a few members, who pass it on, that this balancer places no more logins.

        Returns:
            The requests, each as (request id, name of the member).
        """
        self._detect_pause(now)
        if self.rejected:
            return []
        self._leaving = True
        self._digest ^= self._hash_record(self.own_record)
        self.own_record = updated_record(self.own_record, state=LEFT)
        self._digest ^= self._hash_record(self.own_record)
        receivers = self._rng.sample(
            self.live_members, min(len(self.live_members), self._config.relays + 1)
        )
        return [(self._request(now, PING, record), record.name) for record in receivers]

    # Queries

    @property
    def admitted(self) -> bool:
        """Whether this balancer may place logins.

        It may once a peer has accepted it and it has announced itself to all known members, or if
        no peer replies at any address. This guards against a second process of the same name that
        places logins until it is rejected, and against members that divide a cold server's budget
        by a count without this one. It delays a start by about one period.
        """
        return self._announced or not self._untried_addresses and not self.joined

    @property
    def live_members(self) -> list[MemberRecord]:
        """The other members that are alive or suspected."""
        return [record for record in self.table.values() if record.state <= SUSPECT]

    # Messages

    def _message(
        self,
        now: int,
        kind: str,
        *,
        to: MemberRecord | None = None,
        receiver: str = "",
        records: tuple[MemberRecord, ...] = (),
        **fields: object,
    ) -> Message:
        """Creates a message with gossip; `receiver` names the member that gets it, if not `to`."""
        window, min_connections = self.count.own_minimum(now)
        return Message(
            kind,
            self.own_record,
            to.name if to else "",
            to.instance_id if to else 0,
            records or self._gossip_for(receiver or (to.name if to else "")),
            self._digest,
            window,
            min_connections,
            **fields,  # type: ignore[arg-type]
        )

    def _gossip_for(self, receiver: str) -> tuple[MemberRecord, ...]:
        """Returns the records that were passed on least often.

        If the receiver is not considered alive, its own record comes first. This guards against a
        member that learns last that it is suspected or declared dead (Lifeguard's buddy system).
        """
        current = self.table.get(receiver)
        chosen = [current] if current is not None and current.state != ALIVE else []
        max_sends = self._config.retransmit_factor * max(1, ceil(log2(len(self.table) + 2)))
        for name in nsmallest(
            self._config.records_per_message - len(chosen),
            self._gossip_queue,
            key=lambda name: self._gossip_queue[name][0],
        ):
            if name != receiver:
                chosen.append(self.table[name])
            self._gossip_queue[name][0] += 1
            if self._gossip_queue[name][0] >= max_sends:
                del self._gossip_queue[name]
        return tuple(chosen)

    def _sync_page(self, cursor: str) -> tuple[tuple[MemberRecord, ...], str]:
        """Returns the records after the name `cursor`, and the cursor of the next page, if any."""
        at = bisect_right(self._names, cursor)
        names = self._names[at : at + self._config.page_size]
        return tuple(self.table[name] for name in names), names[
            -1
        ] if at + self._config.page_size < len(self._names) else ""

    def _request(
        self,
        now: int,
        kind: str,
        to: MemberRecord,
        *,
        address: str = "",
        span: int = 0,
        callback: Callable[[int, Message | None], None] | None = None,
        name: str = "",
        instance_id: int = 0,
        **fields: object,
    ) -> int:
        """Sends a request, and returns its id.

        Args:
            now: current time, in ns.
            kind: kind of the message.
            to: the member.
            address: where to call it, if not at the address of its record.
            span: timeout in ns; 0: one probe period, longer if this process is slow.
            callback: called with the time and the reply; None: there was none.
            name: the member that the probe is about, if not `to`.
            instance_id: the process that the probe is about, if not the one of `to`.
            **fields: further fields of the message.
        """
        request_id, self._next_request_id = self._next_request_id, self._next_request_id + 1
        address = address or to.address
        self._requests[request_id] = _Request(
            kind, name or to.name, instance_id or to.instance_id, address, now, callback
        )
        self._host.send_request(
            request_id,
            address,
            to.name,
            self._message(now, kind, to=to if to.instance_id else None, **fields),  # type: ignore[arg-type]
            now + (span or self._config.period * (1 + self._slowdown)),
        )
        return request_id

    def _merge_message(self, now: int, message: Message) -> None:
        """Merges the records of a message, and requests a page if the tables differ."""
        sender = message.sender
        self._merge_record(now, sender)
        for record in message.records[:MAX_RECORDS]:
            self._merge_record(now, record)
        if message.digest == self._digest and sender.state == ALIVE:
            # Guards against a start that waits for a page which nobody sends, because gossip has
            # made both tables equal.
            self._table_synced = True
        elif not self._leaving and now >= self._next_sync_at and sender.state == ALIVE:
            # One page per period, from where the last one ended: differences are resolved without a
            # burst.
            span = self._config.page_interval * self._config.period * self._rng.uniform(0.75, 1.25)
            self._next_sync_at = now + int(span if self._announced else span / 8)
            self._request(
                now, SYNC, sender, cursor=self._sync_cursor, callback=self._sync_page_received
            )

    def _sync_page_received(self, now: int, message: Message | None) -> None:
        self._sync_cursor = message.cursor if message is not None and message.kind == ACK else ""
        self._table_synced = (
            self._table_synced or message is not None and message.kind == ACK and not message.cursor
        )

    # Member records

    @staticmethod
    def _hash_record(record: MemberRecord) -> int:
        if record.state == SUSPECT:
            # A suspicion resolves itself, so it makes no difference between two tables.
            record = updated_record(record, state=ALIVE)
        return xxh3_64_intdigest(
            f"{record.name} {record.instance_id} {record.incarnation} {int(record.state)}".encode()
        )

    def _merge_record(self, now: int, record: MemberRecord) -> None:
        """Merges a record; the result does not depend on the order in which records arrive."""
        if record.name == self.own_record.name:
            self._merge_own_record(now, record)
            return
        current = self.table.get(record.name)
        if current is not None and record.rank <= current.rank:
            if record.state == current.state == SUSPECT and record.rank == current.rank:
                self._confirm_suspicion(now, record)
            return
        if current is None:
            if len(self.table) >= self._config.max_members or record.state > LEFT:
                return
            insort(self._names, record.name)
            if record.state <= SUSPECT:
                self._probe_round.insert(
                    self._rng.randrange(len(self._probe_round) + 1), record.name
                )
        else:
            self._digest ^= self._hash_record(current)
        self.table[record.name] = record
        self._digest ^= self._hash_record(record)
        self._gossip_queue[record.name] = [0]
        previous = MemberState(current.state) if current is not None else None
        if record.state == SUSPECT:
            self._suspicions[record.name] = _Suspicion(now, 0)
            self._confirm_suspicion(now, record)
        else:
            self._suspicions.pop(record.name, None)
        if (
            record.state != previous
            or current is not None
            and current.instance_id != record.instance_id
        ):
            if (
                record.state <= SUSPECT
                and previous is not None
                and previous >= DEAD
                and record.name not in self._probe_round
            ):
                self._probe_round.append(record.name)
            (
                self.count.member_alive
                if record.state <= SUSPECT
                else self.count.member_dead
                if record.state == DEAD
                else self.count.member_left
            )(now, record.name)
            self._host.member_changed(record, previous)
            self._update_count()

    def _merge_own_record(self, now: int, record: MemberRecord) -> None:
        """Handles a record of this member's own name.

        Refutes it if it is about this process, and otherwise checks which process is live.
        """
        own = self.own_record
        if record.instance_id == own.instance_id:
            if (
                record.state != ALIVE
                and record.incarnation >= own.incarnation
                and not self._leaving
            ):
                self._host.log(
                    "denied that this balancer is "
                    f"{MemberState(min(record.state, LEFT)).name.lower()}"
                )
                self._slowdown = min(self._config.max_slowdown - 1, self._slowdown + 1)
                self._raise_incarnation(record.incarnation + 1, own.restart_count)
            return
        if record.state >= DEAD:  # an earlier process of this name
            if record.incarnation >= own.incarnation:
                self._raise_incarnation(
                    record.incarnation + 1, max(own.restart_count, record.restart_count + 1)
                )
        elif (record.restart_count, record.instance_id) > (own.restart_count, own.instance_id):
            if record.incarnation >= own.incarnation:
                # The later process of the two receives this record and verifies which one lives.
                self._raise_incarnation(record.incarnation + 1, own.restart_count)
        elif not self._verifying_name:
            self._verifying_name = True

            def on_reply(at: int, reply: Message | None) -> None:
                self._verifying_name = False
                if (
                    reply is not None
                    and reply.kind == ACK
                    and reply.sender.instance_id == record.instance_id
                ):
                    self._stop_rejected(
                        f"the name {self.own_record.name} is in use by an earlier process at "
                        f"{record.address}"
                    )
                elif record.incarnation >= self.own_record.incarnation:
                    self._raise_incarnation(
                        record.incarnation + 1,
                        max(self.own_record.restart_count, record.restart_count + 1),
                    )

            self._request(now, PING, record, callback=on_reply)

    def _raise_incarnation(self, incarnation: int, restart_count: int) -> None:
        self._digest ^= self._hash_record(self.own_record)
        self.own_record = updated_record(
            self.own_record, incarnation=incarnation, restart_count=restart_count
        )
        self._digest ^= self._hash_record(self.own_record)

    def _stop_rejected(self, reason: str) -> None:
        """Stops sending, as a message would be taken for one of the other process of this name."""
        if not self.rejected:
            self.rejected = self._leaving = True
            self._host.name_rejected(reason)

    def _declare_dead(self, now: int, name: str, instance_id: int) -> None:
        """Marks a process of a member as dead."""
        current = self.table.get(name)
        if current is not None and current.instance_id == instance_id and current.state <= SUSPECT:
            self._merge_record(
                now, updated_record(current, state=DEAD, reporter=self.own_record.name)
            )

    # Suspicion

    def _confirm_suspicion(self, now: int, record: MemberRecord) -> None:
        """Adds a reporter to a suspicion; the more reporters, the sooner it expires."""
        suspicion = self._suspicions.get(record.name)
        if suspicion is None or record.reporter in suspicion.reporters:
            return
        if len(suspicion.reporters) <= self._config.confirmations:
            suspicion.reporters.add(record.reporter)
            if len(suspicion.reporters) > 1:
                self._gossip_queue[record.name] = [0]
        fleet = len(self.table) + 1
        min_span = self._config.min_suspicion * max(1.0, log10(fleet)) * self._config.period
        needed = min(self._config.confirmations, fleet - 2)
        share = log10(len(suspicion.reporters)) / log10(needed + 1) if needed > 0 else 1.0
        span = max(
            min_span,
            min_span * self._config.max_suspicion_factor
            - min_span * (self._config.max_suspicion_factor - 1) * share,
        )
        suspicion.expires_at = suspicion.started_at + int(span)

    def _suspect(self, now: int, record: MemberRecord) -> None:
        """Marks a member as suspected by this one."""
        current = self.table.get(record.name)
        if (
            current is not None
            and current.instance_id == record.instance_id
            and current.state <= SUSPECT
        ):
            suspected = updated_record(current, state=SUSPECT, reporter=self.own_record.name)
            if current.state == SUSPECT:
                self._confirm_suspicion(now, suspected)
                if self._gossip_queue.get(record.name) == [0]:
                    # Passed on with this member as the reporter.
                    self.table[record.name] = suspected
            else:
                self._merge_record(now, suspected)

    def _expire_suspicions(self, now: int) -> None:
        """Declares dead the members whose suspicions have expired."""
        if self._no_deaths_until:
            if now < self._no_deaths_until:
                return
            self._no_deaths_until = 0
        for name in [
            name for name, suspicion in self._suspicions.items() if now >= suspicion.expires_at
        ]:
            self._merge_record(
                now, updated_record(self.table[name], state=DEAD, reporter=self.own_record.name)
            )

    def _detect_pause(self, now: int) -> None:
        """Detects from a late call that this process was stopped, starved of CPU or suspended.

        What it waited for meanwhile says nothing about the others: the current probe goes on for at
        least a period from now, and suspicions last longer by the length of the pause.
        """
        late = now - self._expected_tick_at
        if late <= self._config.pause_threshold * self._config.period:
            return
        self._expected_tick_at = now
        for suspicion in self._suspicions.values():
            suspicion.started_at, suspicion.expires_at = (
                suspicion.started_at + late,
                suspicion.expires_at + late,
            )
        if self._probe is not None:
            # Not given up: a process that is starved again and again would never end a probe, and
            # never suspect a member.
            self._probe.ends_at = max(self._probe.ends_at + late, now + self._config.period)
        self._slowdown = min(self._config.max_slowdown - 1, self._slowdown + 1)
        fleet = max(1.0, log10(len(self.table) + 1))
        self._no_deaths_until = now + int(
            self._config.min_suspicion
            * self._config.max_suspicion_factor
            * fleet
            * self._config.period
        )
        self.count.process_paused(now)
        self._update_count()
        if late > self._config.period:
            self._host.log(f"this process was stopped for {late // 1_000_000} ms")

    # Probes

    def _keep_probing(self, now: int) -> None:
        """Ends the present probe when it is due, and starts the next one."""
        probe = self._probe
        if (
            probe is not None
            and not probe.acked
            and not probe.relay_count
            and now >= probe.relays_at
        ):
            self._request_relays(now, probe)
        if probe is not None and now >= probe.ends_at:
            self._probe = None
            if not probe.acked:
                missing_nacks = probe.relay_count - probe.nack_count
                self._slowdown = min(
                    self._config.max_slowdown - 1,
                    self._slowdown + (missing_nacks if probe.relay_count else 1),
                )
                self._suspect(now, probe.record)
        if self._probe is None and now >= self._next_probe_at:
            span = self._config.period * (1 + self._slowdown)
            self._next_probe_at = now + span
            record = self._next_probe_target()
            if record is not None:
                self._probe = _Probe(record, now + span, now + int(span * self._config.ack_timeout))
                self._request(now, PING, record, span=span)

    def _next_probe_target(self) -> MemberRecord | None:
        """Returns the next member of the round; None: no other member is live."""
        for _ in range(2):
            while self._probe_round:
                record = self.table.get(self._probe_round.pop())
                if record is not None and record.state <= SUSPECT:
                    return record
            self._probe_round = [record.name for record in self.live_members]
            self._rng.shuffle(self._probe_round)
        return None

    def _request_relays(self, now: int, probe: _Probe) -> None:
        """Asks a few other members to probe the target of a probe."""
        others = [
            record
            for record in self.live_members
            if record.name != probe.record.name and record.state == ALIVE
        ]
        chosen = self._rng.sample(others, min(self._config.relays, len(others)))
        probe.relay_count = len(chosen)
        probe.relays_at = probe.ends_at
        for record in chosen:
            span = probe.ends_at - now
            self._request(
                now,
                REACH,
                record,
                span=span,
                subject=probe.record,
                timeout=int(span * 0.7),
                name=probe.record.name,
                instance_id=probe.record.instance_id,
            )

    def _relay_probe(self, now: int, call_id: int, subject: MemberRecord, timeout: int) -> None:
        """Probes a member for a peer, which gets an ACK or a NACK."""

        def on_reply(at: int, reply: Message | None) -> None:
            reached = (
                reply is not None
                and reply.kind == ACK
                and reply.sender.instance_id == subject.instance_id
            )
            self._host.send_reply(
                call_id,
                self._message(
                    at,
                    ACK if reached else NACK,
                    records=(reply.sender,) if reached and reply is not None else (),
                ),
            )

        known = self.table.get(subject.name)
        self._request(
            now,
            PING,
            known if known is not None and known.instance_id == subject.instance_id else subject,
            span=max(1, min(timeout, self._config.max_slowdown * self._config.period)),
            callback=on_reply,
        )

    # Joining and rejoining

    def _keep_joining(self, now: int) -> None:
        """Tries the next address to join at, with exponential backoff."""
        if self.joined or now < self._next_join_at:
            return
        config = self._config
        span = (
            min(
                config.max_join_backoff, config.min_join_backoff * 2 ** min(self._join_attempts, 20)
            )
            * config.period
        )
        self._next_join_at = now + int(span * self._rng.uniform(0.5, 1.5))
        self._join_attempts += 1
        self._try_to_join(
            now, self._join_addresses[self._join_attempts % len(self._join_addresses)]
        )

    def _try_to_join(self, now: int, address: str) -> None:
        def callback(at: int, reply: Message | None) -> None:
            self._untried_addresses.discard(address)
            if reply is None:
                return
            if reply.kind == SELF:
                self._join_addresses = [known for known in self._join_addresses if known != address]
                self.joined = self.joined or not self._join_addresses
            elif reply.kind == REFUSED:
                self._stop_rejected(reply.reason)
            elif reply.kind == ACK and not self.joined:
                self.joined = True
                self._table_synced = reply.digest == self._digest
                self._host.log(f"joined by {reply.sender.name} at {address}")

        self._request(
            now, JOIN, MemberRecord("", address, 0, 0, 0, ALIVE), address=address, callback=callback
        )

    def _announce(self, now: int) -> None:
        """Announces this member to all known members and configured addresses, a few at a time."""

        def callback(at: int, reply: Message | None) -> None:
            self._pending_announcements -= 1

        # A peer that is new itself may know nobody yet, so the configured addresses are called too.
        for address in sorted(self._untried_addresses - self._announced_to):
            self._announced_to.add(address)
            self._try_to_join(now, address)
        synced = self._table_synced or all(record.state > SUSPECT for record in self.table.values())
        left = [record for record in self.live_members if record.name not in self._announced_to]
        for record in left[: self._config.records_per_message]:
            self._announced_to.add(record.name)
            self._pending_announcements += 1
            self._request(now, PING, record, callback=callback)
        self._announced = (
            synced and not left and not self._pending_announcements and not self._untried_addresses
        )

    def _admit(self, now: int, call_id: int, message: Message) -> None:
        """Handles the JOIN of a member that starts or restarts.

        It is refused if a process that replies has its name.
        """
        record = message.sender
        current = (
            self.own_record if record.name == self.own_record.name else self.table.get(record.name)
        )

        def refuse(address: str) -> None:
            reason = f"the name {record.name} is in use by an earlier process at {address}"
            self._host.send_reply(call_id, self._message(now, REFUSED, reason=reason))

        def accept(at: int) -> None:
            self._merge_message(at, message)
            known = self.table.get(record.name)
            page = tuple(
                self._rng.sample(
                    list(self.table.values()), min(len(self.table), self._config.page_size)
                )
            )
            receiver = () if known is None or known.instance_id == record.instance_id else (known,)
            self._host.send_reply(call_id, self._message(at, ACK, records=receiver + page))

        if current is None or current.instance_id == record.instance_id or current.state >= DEAD:
            accept(now)
        elif current is self.own_record:
            refuse(self.own_record.address)
        else:

            def looked(at: int, reply: Message | None) -> None:
                if (
                    reply is not None
                    and reply.kind == ACK
                    and reply.sender.instance_id == current.instance_id
                ):
                    refuse(current.address)
                else:
                    self._declare_dead(at, current.name, current.instance_id)
                    accept(at)

            self._request(
                now,
                PING,
                current,
                callback=looked,
                span=int(self._config.period * self._config.ack_timeout * (1 + self._slowdown)),
            )

    def _retry_dead(self, now: int) -> None:
        """Calls from time to time a dead member or a configured address without a known member.

        This guards against two sides of a partition that still consider each other dead after it
        has ended.
        """
        if now < self._next_retry_at:
            return
        self._next_retry_at = now + int(
            self._config.retry_interval * self._config.period * self._rng.uniform(0.5, 1.5)
        )
        dead = [record for record in self.table.values() if record.state == DEAD]
        known_addresses = {record.address for record in self.table.values()} | {
            self.own_record.address
        }
        unknown = (
            [address for address in self._join_addresses if address not in known_addresses]
            if self.joined
            else []
        )
        if dead and (not unknown or self._rng.random() < 0.5):
            self._request(now, PING, self._rng.choice(dead))
        elif unknown:
            self._try_to_join(now, self._rng.choice(unknown))

    # Number of balancers

    def _update_count(self) -> None:
        if self.count.value != self._reported_count:
            self._reported_count = self.count.value
            self._host.count_changed(self._reported_count)


def updated_record(record: MemberRecord, **changes: object) -> MemberRecord:
    """Returns a copy of a record with some fields changed."""
    fields = {name: getattr(record, name) for name in record.__struct_fields__}
    return MemberRecord(**(fields | changes))  # type: ignore[arg-type]
