"""Who lives, as one member comes to know it.

After SWIM (Das, Gupta, Motivala 2002: a probe a period, indirect probes, suspicion, incarnations, words that ride on probes)
and Lifeguard (Dadgar, Phillips, Currey 2018: a member that is slow itself waits longer, suspicions shrink as others share them,
a suspect is told first). What was kept and changed: docs/design/membership.md.

Owns this member's table and its own incarnation. Free of I/O and clocks: it is told what happened and at what time, and acts
by calls on its host. Must never call a member dead in a period in which it was stopped itself, forget one because it is silent
(see `count`), or send more in a period because the fleet is larger.
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
    """Times as ratios to the probe period, and counts; the period alone is in ns."""

    period: int = 1_000_000_000
    ack_timeout: float = 0.3  # of a period, for a direct answer; then others are request to try
    relays: int = 3  # how many others
    min_suspicion: float = (
        4.0  # periods of suspicion, times the fleet's log10, once enough others share it
    )
    max_suspicion_factor: float = 6.0  # times as long where nobody else does
    confirmations: int = 3  # others, for the least
    max_slowdown: int = (
        8  # times its usual spans that a member goes by, at most, when it is slow itself
    )
    records_per_message: int = 8  # that ride on a message
    retransmit_factor: int = 3  # times log2 of the fleet that a word is passed on by each
    page_size: int = 32  # words of a page, where two tables differ
    page_interval: float = 1.0  # periods between two pages that are request for
    retry_interval: float = (
        4.0  # periods between tries of a member held for dead, or an address nobody is known at
    )
    min_join_backoff: float = (
        0.25  # of a period, spread, before a second try to join; doubled up to ...
    )
    max_join_backoff: float = 4.0  # ... periods
    pause_threshold: float = (
        0.5  # of a period: a tick this late shows that this process was stopped
    )
    max_members: int = 4096  # of a table; further ones are not taken in


class Host(Protocol):
    """What a member may do."""

    def send_request(
        self, request_id: int, address: str, name: str, message: Message, until: int
    ) -> None: ...
    def send_reply(self, call_id: int, message: Message) -> None: ...
    def member_changed(
        self, record: MemberRecord, was: MemberState | None
    ) -> None: ...  # what this member holds of another
    def count_changed(self, count: int) -> None: ...  # balancers that may be placing, this one too
    def name_rejected(self, reason: str) -> None: ...  # another process has this name
    def log(self, text: str) -> None: ...


@dataclass(slots=True)
class _Request:
    """A call under way."""

    kind: str
    name: str = ""
    instance_id: int = 0
    address: str = ""
    sent_at: int = 0
    callback: Callable[[int, Message | None], None] | None = (
        None  # for the few that go on in their own way
    )


@dataclass(slots=True)
class _Probe:
    """Of one period."""

    record: MemberRecord
    ends_at: int
    relays_at: int
    acked: bool = False
    relay_count: int = 0
    nack_count: int = 0
    void: bool = False  # this process was stopped meanwhile


@dataclass(slots=True)
class _Suspicion:
    started_at: int
    expires_at: int
    reporters: set[str] = field(default_factory=set)


class Membership:
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
        """`join`: addresses to join by; `expected`: balancers that there may be before any is known by name."""
        self._host, self._rng, self._config = host, rng, config
        self.own_record = MemberRecord(
            name, address, rng.getrandbits(63) | 1, 0, 1, ALIVE, zone, version
        )
        self.table: dict[str, MemberRecord] = {}  # of the others
        self._names: list[str] = []  # of the table, in order
        self._digest = self._hash_record(self.own_record)
        self._gossip_queue: dict[
            str, list[int]
        ] = {}  # names whose word is passed on, and how often it was
        self._suspicions: dict[str, _Suspicion] = {}
        self._requests: dict[int, _Request] = {}
        self._next_request_id = 1
        self._probe_round: list[
            str
        ] = []  # whom to probe yet, in a random order that is drawn anew when it ends
        self._probe: _Probe | None = None
        self._next_probe_at = now + int(rng.random() * config.period)
        self._slowdown = 0  # how slow this process holds itself to be
        self._no_deaths_until = (
            0  # it was stopped: nobody is called dead till an answer shows that it hears
        )
        self._join_addresses = [at for at in join if at != address]
        rng.shuffle(self._join_addresses)
        self._next_join_at, self._join_attempts = now, 0
        self.joined = not self._join_addresses
        self._untried_addresses = set(
            self._join_addresses
        )  # addresses to join by that have not been tried to the end
        self._announced = self.joined
        self._announced_to: set[str] = (
            set()
        )  # members that were told of this one, or did not answer
        self._pending_announcements = 0  # calls for that under way
        self._table_synced = False  # all that a peer holds has come once
        self._next_sync_at = self._next_retry_at = now
        self._sync_cursor = ""  # how far pages went
        self._verifying_name = False
        self._leaving = False
        self.rejected = False  # another process has its name
        self._expected_tick_at = now  # when it request to be called again
        self.count = BalancerCount(expected, config.period, now)
        self._reported_count = 0

    # What the host tells

    def resume(self, incarnation: int, restart_count: int, expected: int) -> None:
        """Before the start: what an earlier process of this name came to, and how many balancers there were then, by the disk. Words of
        before are thereby old from the first message on, and not only once somebody tells of them."""
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
        self._update_count()

    def tick(self, now: int) -> int:
        """Does what is due; returns when the next is."""
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
            self._declare_dead(
                now, request.name, request.instance_id
            )  # another process has its address now

    def request_failed(self, now: int, request_id: int) -> None:
        """By its time, or because the call failed."""
        self._detect_pause(now)
        request = self._requests.pop(request_id, None)
        if request is not None and request.callback is not None:
            request.callback(now, None)

    def request_received(self, now: int, call_id: int, message: Message) -> None:
        """A peer's call has come; it is answered once, now or later."""
        self._detect_pause(now)
        if self.rejected:
            self._host.send_reply(call_id, self._message(now, NACK, reason="not of the fleet"))
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
            self._host.send_reply(call_id, self._message(now, ACK, about=message.sender.name))
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
        """Something is about to be placed: a process that was stopped sees that first, and counts for placing whoever may be."""
        self._detect_pause(now)

    def set_connections(self, now: int, connections: int) -> None:
        """So many connections stand at servers through this balancer."""
        self.count.set_connections(now, connections)

    def server_reported(self, now: int, server: str, connections: float, listed: set[str]) -> None:
        """A server told how many connections it holds, whoever placed them; `listed`: all servers that may hold some."""
        if self.count.server_reported(now, server, connections, listed):
            self._update_count()

    def forget(self, now: int, name: str) -> bool:
        """Operators say that this member is gone for good; whether it was held for dead. One that lives denies it."""
        held = self.table.get(name)
        if held is None or held.state != DEAD:
            return False
        self._merge_record(now, updated_record(held, state=LEFT, reporter="operators"))
        return True

    def leave(self, now: int) -> list[tuple[int, str]]:
        """It places nothing any more: this is told to a few, who tell the others."""
        self._detect_pause(now)
        if self.rejected:
            return []
        self._leaving = True
        self._digest ^= self._hash_record(self.own_record)
        self.own_record = updated_record(self.own_record, state=LEFT)
        self._digest ^= self._hash_record(self.own_record)
        told = self._rng.sample(
            self.live_members, min(len(self.live_members), self._config.relays + 1)
        )
        return [(self._request(now, PING, record), record.name) for record in told]

    # What the host may ask

    @property
    def admitted(self) -> bool:
        """Whether it may place: a peer has let it in and all that it knows of were told of it, or none answers at any address.

        Guards against a second process of one name that places until it is refused, and against members that divide a cold
        server's budget by a count which does not hold this one yet. Costs a start a period or so."""
        return self._announced or not self._untried_addresses and not self.joined

    @property
    def live_members(self) -> list[MemberRecord]:
        """The others that are not held for dead or gone."""
        return [record for record in self.table.values() if record.state <= SUSPECT]

    # Messages

    def _message(
        self,
        now: int,
        kind: str,
        *,
        to: MemberRecord | None = None,
        about: str = "",
        records: tuple[MemberRecord, ...] = (),
        **more: object,
    ) -> Message:
        window, min_connections = self.count.own_minimum(now)
        return Message(
            kind,
            self.own_record,
            to.name if to else "",
            to.instance_id if to else 0,
            records or self._gossip_for(about or (to.name if to else "")),
            self._digest,
            window,
            min_connections,
            **more,  # type: ignore[arg-type]
        )

    def _gossip_for(self, about: str) -> tuple[MemberRecord, ...]:
        """The words that were passed on least; first what is held of the one that is spoken to, if that is bad.

        Guards against a member called dead that hears of it last (Lifeguard's buddy system)."""
        held = self.table.get(about)
        chosen = [held] if held is not None and held.state != ALIVE else []
        max_sends = self._config.retransmit_factor * max(1, ceil(log2(len(self.table) + 2)))
        for name in nsmallest(
            self._config.records_per_message - len(chosen),
            self._gossip_queue,
            key=lambda name: self._gossip_queue[name][0],
        ):
            if name != about:
                chosen.append(self.table[name])
            self._gossip_queue[name][0] += 1
            if self._gossip_queue[name][0] >= max_sends:
                del self._gossip_queue[name]
        return tuple(chosen)

    def _sync_page(self, cursor: str) -> tuple[tuple[MemberRecord, ...], str]:
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
        done: Callable[[int, Message | None], None] | None = None,
        name: str = "",
        instance_id: int = 0,
        **more: object,
    ) -> int:
        request_id, self._next_request_id = self._next_request_id, self._next_request_id + 1
        address = address or to.address
        self._requests[request_id] = _Request(
            kind, name or to.name, instance_id or to.instance_id, address, now, done
        )
        self._host.send_request(
            request_id,
            address,
            to.name,
            self._message(now, kind, to=to if to.instance_id else None, **more),  # type: ignore[arg-type]
            now + (span or self._config.period * (1 + self._slowdown)),
        )
        return request_id

    def _merge_message(self, now: int, message: Message) -> None:
        sender = message.sender
        self._merge_record(now, sender)
        for record in message.records[:MAX_RECORDS]:
            self._merge_record(now, record)
        if message.digest == self._digest and sender.state == ALIVE:
            # Guards against a start that waits for a page which nobody sends, as news has made both alike.
            self._table_synced = True
        elif not self._leaving and now >= self._next_sync_at and sender.state == ALIVE:
            # A page a period, from where the last one ended: what differs comes round without a burst.
            span = self._config.page_interval * self._config.period * self._rng.uniform(0.75, 1.25)
            self._next_sync_at = now + int(span if self._announced else span / 8)
            self._request(
                now, SYNC, sender, cursor=self._sync_cursor, done=self._sync_page_received
            )

    def _sync_page_received(self, now: int, message: Message | None) -> None:
        self._sync_cursor = message.cursor if message is not None and message.kind == ACK else ""
        self._table_synced = (
            self._table_synced or message is not None and message.kind == ACK and not message.cursor
        )

    # Words

    @staticmethod
    def _hash_record(record: MemberRecord) -> int:
        if record.state == SUSPECT:
            record = updated_record(record, state=ALIVE)  # a suspicion settles by itself
        return xxh3_64_intdigest(
            f"{record.name} {record.instance_id} {record.incarnation} {int(record.state)}".encode()
        )

    def _merge_record(self, now: int, record: MemberRecord) -> None:
        """One word about a member. Whatever order words come in, all members come to hold the same."""
        if record.name == self.own_record.name:
            self._merge_own_record(now, record)
            return
        held = self.table.get(record.name)
        if held is not None and record.rank <= held.rank:
            if record.state == held.state == SUSPECT and record.rank == held.rank:
                self._confirm_suspicion(now, record)
            return
        if held is None:
            if len(self.table) >= self._config.max_members or record.state > LEFT:
                return
            insort(self._names, record.name)
            if record.state <= SUSPECT:
                self._probe_round.insert(
                    self._rng.randrange(len(self._probe_round) + 1), record.name
                )
        else:
            self._digest ^= self._hash_record(held)
        self.table[record.name] = record
        self._digest ^= self._hash_record(record)
        self._gossip_queue[record.name] = [0]
        was = MemberState(held.state) if held is not None else None
        if record.state == SUSPECT:
            self._suspicions[record.name] = _Suspicion(now, 0)
            self._confirm_suspicion(now, record)
        else:
            self._suspicions.pop(record.name, None)
        if record.state != was or held is not None and held.instance_id != record.instance_id:
            if (
                record.state <= SUSPECT
                and was is not None
                and was >= DEAD
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
            self._host.member_changed(record, was)
            self._update_count()

    def _merge_own_record(self, now: int, record: MemberRecord) -> None:
        mine = self.own_record
        if record.instance_id == mine.instance_id:
            if (
                record.state != ALIVE
                and record.incarnation >= mine.incarnation
                and not self._leaving
            ):
                self._host.log(
                    f"denied that this balancer is {MemberState(min(record.state, LEFT)).name.lower()}"
                )
                self._slowdown = min(self._config.max_slowdown - 1, self._slowdown + 1)
                self._raise_incarnation(record.incarnation + 1, mine.restart_count)
            return
        if record.state >= DEAD:  # an earlier process of this name
            if record.incarnation >= mine.incarnation:
                self._raise_incarnation(
                    record.incarnation + 1, max(mine.restart_count, record.restart_count + 1)
                )
        elif (record.restart_count, record.instance_id) > (mine.restart_count, mine.instance_id):
            if record.incarnation >= mine.incarnation:
                self._raise_incarnation(
                    record.incarnation + 1, mine.restart_count
                )  # the later of the two hears it, and looks
        elif not self._verifying_name:
            self._verifying_name = True

            def verified(at: int, answer: Message | None) -> None:
                self._verifying_name = False
                if (
                    answer is not None
                    and answer.kind == ACK
                    and answer.sender.instance_id == record.instance_id
                ):
                    self._stop_rejected(
                        f"the name {self.own_record.name} is in use by an earlier process at {record.address}"
                    )
                elif record.incarnation >= self.own_record.incarnation:
                    self._raise_incarnation(
                        record.incarnation + 1,
                        max(self.own_record.restart_count, record.restart_count + 1),
                    )

            self._request(now, PING, record, done=verified)

    def _raise_incarnation(self, incarnation: int, restart_count: int) -> None:
        self._digest ^= self._hash_record(self.own_record)
        self.own_record = updated_record(
            self.own_record, incarnation=incarnation, restart_count=restart_count
        )
        self._digest ^= self._hash_record(self.own_record)

    def _stop_rejected(self, reason: str) -> None:
        """Says nothing more: whatever it said would be taken for the other one's word."""
        if not self.rejected:
            self.rejected = self._leaving = True
            self._host.name_rejected(reason)

    def _declare_dead(self, now: int, name: str, instance_id: int) -> None:
        held = self.table.get(name)
        if held is not None and held.instance_id == instance_id and held.state <= SUSPECT:
            self._merge_record(now, updated_record(held, state=DEAD, reporter=self.own_record.name))

    # Suspicion

    def _confirm_suspicion(self, now: int, record: MemberRecord) -> None:
        """One more suspects it: the more do, the less the others wait for its denial."""
        suspicion = self._suspicions.get(record.name)
        if suspicion is None or record.reporter in suspicion.reporters:
            return
        if len(suspicion.reporters) <= self._config.confirmations:
            suspicion.reporters.add(record.reporter)
            if len(suspicion.reporters) > 1:
                self._gossip_queue[record.name] = [0]
        fleet = len(self.table) + 1
        least = self._config.min_suspicion * max(1.0, log10(fleet)) * self._config.period
        needed = min(self._config.confirmations, fleet - 2)
        part = log10(len(suspicion.reporters)) / log10(needed + 1) if needed > 0 else 1.0
        span = max(
            least,
            least * self._config.max_suspicion_factor
            - least * (self._config.max_suspicion_factor - 1) * part,
        )
        suspicion.expires_at = suspicion.started_at + int(span)

    def _suspect(self, now: int, record: MemberRecord) -> None:
        held = self.table.get(record.name)
        if held is not None and held.instance_id == record.instance_id and held.state <= SUSPECT:
            suspected = updated_record(held, state=SUSPECT, reporter=self.own_record.name)
            if held.state == SUSPECT:
                self._confirm_suspicion(now, suspected)
                if self._gossip_queue.get(record.name) == [0]:
                    self.table[record.name] = suspected  # passed on as said by this one too
            else:
                self._merge_record(now, suspected)

    def _expire_suspicions(self, now: int) -> None:
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
        """A call that comes late shows that this process was stopped, starved or asleep: it doubts itself first.

        What it waited for meanwhile tells nothing of the others, and suspicions wait as long as it did."""
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
            self._probe.void = True
            self._probe.ends_at += late
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
            if not probe.acked and not probe.void:
                missed = probe.relay_count - probe.nack_count
                self._slowdown = min(
                    self._config.max_slowdown - 1,
                    self._slowdown + (missed if probe.relay_count else 1),
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
        for _ in range(2):
            while self._probe_round:
                record = self.table.get(self._probe_round.pop())
                if record is not None and record.state <= SUSPECT:
                    return record
            self._probe_round = [record.name for record in self.live_members]
            self._rng.shuffle(self._probe_round)
        return None

    def _request_relays(self, now: int, probe: _Probe) -> None:
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
        def tried(at: int, answer: Message | None) -> None:
            fine = (
                answer is not None
                and answer.kind == ACK
                and answer.sender.instance_id == subject.instance_id
            )
            self._host.send_reply(
                call_id,
                self._message(
                    at,
                    ACK if fine else NACK,
                    records=(answer.sender,) if fine and answer is not None else (),
                ),
            )

        known = self.table.get(subject.name)
        self._request(
            now,
            PING,
            known if known is not None and known.instance_id == subject.instance_id else subject,
            span=max(1, min(timeout, self._config.max_slowdown * self._config.period)),
            done=tried,
        )

    # Joining and joining again

    def _keep_joining(self, now: int) -> None:
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
        def done(at: int, answer: Message | None) -> None:
            self._untried_addresses.discard(address)
            if answer is None:
                return
            if answer.kind == SELF:
                self._join_addresses = [known for known in self._join_addresses if known != address]
                self.joined = self.joined or not self._join_addresses
            elif answer.kind == REFUSED:
                self._stop_rejected(answer.reason)
            elif answer.kind == ACK and not self.joined:
                self.joined = True
                self._table_synced = answer.digest == self._digest
                self._host.log(f"joined by {answer.sender.name} at {address}")

        self._request(
            now, JOIN, MemberRecord("", address, 0, 0, 0, ALIVE), address=address, done=done
        )

    def _announce(self, now: int) -> None:
        """Tells of itself to all that it knows of, a few at a time."""

        def done(at: int, answer: Message | None) -> None:
            self._pending_announcements -= 1

        alike = self._table_synced or all(record.state > SUSPECT for record in self.table.values())
        left = [record for record in self.live_members if record.name not in self._announced_to]
        for record in left[: self._config.records_per_message]:
            self._announced_to.add(record.name)
            self._pending_announcements += 1
            self._request(now, PING, record, done=done)
        self._announced = alike and not left and not self._pending_announcements

    def _admit(self, now: int, call_id: int, message: Message) -> None:
        """One that starts or comes back. Its name is its own unless a process that answers has it."""
        record = message.sender
        held = (
            self.own_record if record.name == self.own_record.name else self.table.get(record.name)
        )

        def refuse(address: str) -> None:
            reason = f"the name {record.name} is in use by an earlier process at {address}"
            self._host.send_reply(call_id, self._message(now, REFUSED, reason=reason))

        def let_in(at: int) -> None:
            self._merge_message(at, message)
            known = self.table.get(record.name)
            page = tuple(
                self._rng.sample(
                    list(self.table.values()), min(len(self.table), self._config.page_size)
                )
            )
            about = () if known is None or known.instance_id == record.instance_id else (known,)
            self._host.send_reply(call_id, self._message(at, ACK, records=about + page))

        if held is None or held.instance_id == record.instance_id or held.state >= DEAD:
            let_in(now)
        elif held is self.own_record:
            refuse(self.own_record.address)
        else:

            def looked(at: int, answer: Message | None) -> None:
                if (
                    answer is not None
                    and answer.kind == ACK
                    and answer.sender.instance_id == held.instance_id
                ):
                    refuse(held.address)
                else:
                    self._declare_dead(at, held.name, held.instance_id)
                    let_in(at)

            self._request(
                now,
                PING,
                held,
                done=looked,
                span=int(self._config.period * self._config.ack_timeout * (1 + self._slowdown)),
            )

    def _retry_dead(self, now: int) -> None:
        """Now and then one that is held for dead, or an address of the file at which nobody is known, is tried.

        Guards against two sides of a partition that each hold the other for dead when it has ended."""
        if now < self._next_retry_at:
            return
        self._next_retry_at = now + int(
            self._config.retry_interval * self._config.period * self._rng.uniform(0.5, 1.5)
        )
        dead = [record for record in self.table.values() if record.state == DEAD]
        here = {record.address for record in self.table.values()} | {self.own_record.address}
        unknown = (
            [address for address in self._join_addresses if address not in here]
            if self.joined
            else []
        )
        if dead and (not unknown or self._rng.random() < 0.5):
            self._request(now, PING, self._rng.choice(dead))
        elif unknown:
            self._try_to_join(now, self._rng.choice(unknown))

    # The count

    def _update_count(self) -> None:
        if self.count.value != self._reported_count:
            self._reported_count = self.count.value
            self._host.count_changed(self._reported_count)


def updated_record(record: MemberRecord, **changes: object) -> MemberRecord:
    held = {name: getattr(record, name) for name in record.__struct_fields__}
    return MemberRecord(**(held | changes))  # type: ignore[arg-type]
