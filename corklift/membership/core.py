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

from corklift.membership.count import Count
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


class Pace(NamedTuple):
    """Times as ratios to the probe period, and counts; the period alone is in ns."""

    period: int = 1_000_000_000
    answer: float = 0.3  # of a period, for a direct answer; then others are asked to try
    relays: int = 3  # how many others
    least: float = 4.0  # periods of suspicion, times the fleet's log10, once enough others share it
    longest: float = 6.0  # times as long where nobody else does
    shared_by: int = 3  # others, for the least
    slowness: int = (
        8  # times its usual spans that a member goes by, at most, when it is slow itself
    )
    records_per_message: int = 8  # that ride on a message
    told: int = 3  # times log2 of the fleet that a word is passed on by each
    page: int = 32  # words of a page, where two tables differ
    page_every: float = 1.0  # periods between two pages that are asked for
    retry_every: float = (
        4.0  # periods between tries of a member held for dead, or an address nobody is known at
    )
    join_first: float = 0.25  # of a period, spread, before a second try to join; doubled up to ...
    join_most: float = 4.0  # ... periods
    gap: float = 0.5  # of a period: a tick this late shows that this process was stopped
    members: int = 4096  # of a table; further ones are not taken in


class Host(Protocol):
    """What a member may do."""

    def ask(self, ask: int, address: str, name: str, message: Message, until: int) -> None: ...
    def reply(self, call: int, message: Message) -> None: ...
    def changed(
        self, record: MemberRecord, was: MemberState | None
    ) -> None: ...  # what this member holds of another
    def counted(self, number: int) -> None: ...  # balancers that may be placing, this one too
    def refused(self, why: str) -> None: ...  # another process has this name
    def log(self, text: str) -> None: ...


@dataclass(slots=True)
class _Ask:
    """A call under way."""

    kind: str
    name: str = ""
    instance_id: int = 0
    address: str = ""
    began: int = 0
    done: Callable[[int, Message | None], None] | None = (
        None  # for the few that go on in their own way
    )


@dataclass(slots=True)
class _Probe:
    """Of one period."""

    record: MemberRecord
    ends: int
    relays_at: int
    acked: bool = False
    relays: int = 0
    nacks: int = 0
    void: bool = False  # this process was stopped meanwhile


@dataclass(slots=True)
class _Suspicion:
    began: int
    due: int
    reporters: set[str] = field(default_factory=set)


class Members:
    def __init__(
        self,
        host: Host,
        rng: Random,
        pace: Pace,
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
        self._host, self._rng, self._pace = host, rng, pace
        self.me = MemberRecord(name, address, rng.getrandbits(63) | 1, 0, 1, ALIVE, zone, version)
        self.table: dict[str, MemberRecord] = {}  # of the others
        self._names: list[str] = []  # of the table, in order
        self._digest = self._mark(self.me)
        self._fresh: dict[
            str, list[int]
        ] = {}  # names whose word is passed on, and how often it was
        self._suspicions: dict[str, _Suspicion] = {}
        self._asks: dict[int, _Ask] = {}
        self._next_ask = 1
        self._round: list[
            str
        ] = []  # whom to probe yet, in a random order that is drawn anew when it ends
        self._probe: _Probe | None = None
        self._next_probe = now + int(rng.random() * pace.period)
        self._slow = 0  # how slow this process holds itself to be
        self._doubts_until = (
            0  # it was stopped: nobody is called dead till an answer shows that it hears
        )
        self._join = [at for at in join if at != address]
        rng.shuffle(self._join)
        self._join_at, self._join_tries = now, 0
        self.joined = not self._join
        self._unheard = set(self._join)  # addresses to join by that have not been tried to the end
        self._introduced = self.joined
        self._greeted: set[str] = set()  # members that were told of this one, or did not answer
        self._greeting = 0  # calls for that under way
        self._paged_through = False  # all that a peer holds has come once
        self._page_at = self._retry_at = now
        self._cursor = ""  # how far pages went
        self._verifying = False
        self._leaving = False
        self.refused = False  # another process has its name
        self._expects = now  # when it asked to be called again
        self.count = Count(expected, pace.period, now)
        self._counted = 0

    # What the host tells

    def resume(self, incarnation: int, restart_count: int, expected: int) -> None:
        """Before the start: what an earlier process of this name came to, and how many balancers there were then, by the disk. Words of
        before are thereby old from the first message on, and not only once somebody tells of them."""
        if (incarnation, restart_count) > (self.me.incarnation, self.me.restart_count):
            self._raise(
                max(incarnation, self.me.incarnation), max(restart_count, self.me.restart_count)
            )
        self.count.expects(expected)

    def start(self) -> None:
        self._recount()

    def tick(self, now: int) -> int:
        """Does what is due; returns when the next is."""
        self._noticed(now)
        if self._leaving:
            self._expects = now + self._pace.period
            return self._expects
        self._keep_joining(now)
        if self.joined and not self._introduced:
            self._introduce(now)
        self._keep_probing(now)
        self._end_suspicions(now)
        self._retry(now)
        due = [self._next_probe]
        if self._probe is not None:
            due = [self._probe.ends] + (
                [self._probe.relays_at] if not self._probe.relays and not self._probe.acked else []
            )
        if not self.joined:
            due.append(self._join_at)
        elif not self._introduced:
            due.append(now + self._pace.period // 4)
        due += [held.due for held in self._suspicions.values()] if not self._doubts_until else []
        self._expects = max(now + 1, min(due))
        return self._expects

    def answered(self, now: int, ask: int, message: Message) -> None:
        self._noticed(now)
        asked = self._asks.pop(ask, None)
        if asked is None or self.refused:
            return
        self._hear(now, message)
        if (
            message.sender.instance_id != self.me.instance_id
            and now - asked.began <= self._pace.period * (1 + self._slow)
        ):
            self._doubts_until = 0
        if asked.done is not None:
            asked.done(now, message)
        if asked.kind == PING and message.kind == ACK:
            if self.count.told(asked.began, now, message.sender.name, message.window, message.low):
                self._recount()
        probe = self._probe
        if (
            probe is not None
            and asked.name == probe.record.name
            and asked.instance_id == probe.record.instance_id
        ):
            if message.kind == ACK and message.sender.instance_id == (
                asked.instance_id if asked.kind == PING else message.sender.instance_id
            ):
                if not probe.acked:
                    probe.acked = True
                    self._slow = max(0, self._slow - 1)
            elif message.kind == NACK:
                probe.nacks += 1
        if (
            asked.kind == PING
            and message.kind in (ACK, NACK)
            and asked.instance_id
            and message.sender.instance_id != asked.instance_id
        ):
            self._gone(now, asked.name, asked.instance_id)  # another process has its address now

    def unanswered(self, now: int, ask: int) -> None:
        """By its time, or because the call failed."""
        self._noticed(now)
        asked = self._asks.pop(ask, None)
        if asked is not None and asked.done is not None:
            asked.done(now, None)

    def called(self, now: int, call: int, message: Message) -> None:
        """A peer's call has come; it is answered once, now or later."""
        self._noticed(now)
        if self.refused:
            self._host.reply(call, self._message(now, NACK, why="not of the fleet"))
            return
        if message.sender.instance_id == self.me.instance_id:
            self._host.reply(call, self._message(now, SELF))
            return
        if message.kind == JOIN:
            self._let_in(now, call, message)
            return
        self._hear(now, message)
        if (
            message.target_instance_id
            and message.target_instance_id != self.me.instance_id
            or message.to
            and message.to != self.me.name
        ):
            self._host.reply(call, self._message(now, NACK, why="not the process that is meant"))
        elif message.kind == PING:
            self._host.reply(call, self._message(now, ACK, about=message.sender.name))
        elif message.kind == SYNC:
            page, cursor = self._page(message.cursor)
            self._host.reply(call, self._message(now, ACK, records=page, cursor=cursor))
        elif message.kind == REACH and message.subject is not None:
            self._reach(now, call, message.subject, message.wait)
        else:
            self._host.reply(
                call, self._message(now, UNKNOWN, why=f"{message.kind[:40]!r} is not known here")
            )

    def woke(self, now: int) -> None:
        """Something is about to be placed: a process that was stopped sees that first, and counts for placing whoever may be."""
        self._noticed(now)

    def holds(self, now: int, connections: int) -> None:
        """So many connections stand at servers through this balancer."""
        self.count.holds(now, connections)

    def reported(self, now: int, server: str, connections: float, listed: set[str]) -> None:
        """A server told how many connections it holds, whoever placed them; `listed`: all servers that may hold some."""
        if self.count.reported(now, server, connections, listed):
            self._recount()

    def forget(self, now: int, name: str) -> bool:
        """Operators say that this member is gone for good; whether it was held for dead. One that lives denies it."""
        held = self.table.get(name)
        if held is None or held.state != DEAD:
            return False
        self._take(now, _with(held, state=LEFT, reporter="operators"))
        return True

    def leave(self, now: int) -> list[tuple[int, str]]:
        """It places nothing any more: this is told to a few, who tell the others."""
        self._noticed(now)
        if self.refused:
            return []
        self._leaving = True
        self._digest ^= self._mark(self.me)
        self.me = _with(self.me, state=LEFT)
        self._digest ^= self._mark(self.me)
        told = self._rng.sample(self.living, min(len(self.living), self._pace.relays + 1))
        return [(self._ask(now, PING, record), record.name) for record in told]

    # What the host may ask

    @property
    def admitted(self) -> bool:
        """Whether it may place: a peer has let it in and all that it knows of were told of it, or none answers at any address.

        Guards against a second process of one name that places until it is refused, and against members that divide a cold
        server's budget by a count which does not hold this one yet. Costs a start a period or so."""
        return self._introduced or not self._unheard and not self.joined

    @property
    def living(self) -> list[MemberRecord]:
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
        window, low = self.count.own_low(now)
        return Message(
            kind,
            self.me,
            to.name if to else "",
            to.instance_id if to else 0,
            records or self._news(about or (to.name if to else "")),
            self._digest,
            window,
            low,
            **more,  # type: ignore[arg-type]
        )

    def _news(self, about: str) -> tuple[MemberRecord, ...]:
        """The words that were passed on least; first what is held of the one that is spoken to, if that is bad.

        Guards against a member called dead that hears of it last (Lifeguard's buddy system)."""
        held = self.table.get(about)
        chosen = [held] if held is not None and held.state != ALIVE else []
        most = self._pace.told * max(1, ceil(log2(len(self.table) + 2)))
        for name in nsmallest(
            self._pace.records_per_message - len(chosen),
            self._fresh,
            key=lambda name: self._fresh[name][0],
        ):
            if name != about:
                chosen.append(self.table[name])
            self._fresh[name][0] += 1
            if self._fresh[name][0] >= most:
                del self._fresh[name]
        return tuple(chosen)

    def _page(self, cursor: str) -> tuple[tuple[MemberRecord, ...], str]:
        at = bisect_right(self._names, cursor)
        names = self._names[at : at + self._pace.page]
        return tuple(self.table[name] for name in names), names[-1] if at + self._pace.page < len(
            self._names
        ) else ""

    def _ask(
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
        ask, self._next_ask = self._next_ask, self._next_ask + 1
        address = address or to.address
        self._asks[ask] = _Ask(
            kind, name or to.name, instance_id or to.instance_id, address, now, done
        )
        self._host.ask(
            ask,
            address,
            to.name,
            self._message(now, kind, to=to if to.instance_id else None, **more),  # type: ignore[arg-type]
            now + (span or self._pace.period * (1 + self._slow)),
        )
        return ask

    def _hear(self, now: int, message: Message) -> None:
        sender = message.sender
        self._take(now, sender)
        for record in message.records[:MAX_RECORDS]:
            self._take(now, record)
        if message.digest == self._digest and sender.state == ALIVE:
            # Guards against a start that waits for a page which nobody sends, as news has made both alike.
            self._paged_through = True
        elif not self._leaving and now >= self._page_at and sender.state == ALIVE:
            # A page a period, from where the last one ended: what differs comes round without a burst.
            span = self._pace.page_every * self._pace.period * self._rng.uniform(0.75, 1.25)
            self._page_at = now + int(span if self._introduced else span / 8)
            self._ask(now, SYNC, sender, cursor=self._cursor, done=self._paged)

    def _paged(self, now: int, message: Message | None) -> None:
        self._cursor = message.cursor if message is not None and message.kind == ACK else ""
        self._paged_through = (
            self._paged_through
            or message is not None
            and message.kind == ACK
            and not message.cursor
        )

    # Words

    @staticmethod
    def _mark(record: MemberRecord) -> int:
        if record.state == SUSPECT:
            record = _with(record, state=ALIVE)  # a suspicion settles by itself
        return xxh3_64_intdigest(
            f"{record.name} {record.instance_id} {record.incarnation} {int(record.state)}".encode()
        )

    def _take(self, now: int, record: MemberRecord) -> None:
        """One word about a member. Whatever order words come in, all members come to hold the same."""
        if record.name == self.me.name:
            self._about_me(now, record)
            return
        held = self.table.get(record.name)
        if held is not None and record.rank <= held.rank:
            if record.state == held.state == SUSPECT and record.rank == held.rank:
                self._shared(now, record)
            return
        if held is None:
            if len(self.table) >= self._pace.members or record.state > LEFT:
                return
            insort(self._names, record.name)
            if record.state <= SUSPECT:
                self._round.insert(self._rng.randrange(len(self._round) + 1), record.name)
        else:
            self._digest ^= self._mark(held)
        self.table[record.name] = record
        self._digest ^= self._mark(record)
        self._fresh[record.name] = [0]
        was = MemberState(held.state) if held is not None else None
        if record.state == SUSPECT:
            self._suspicions[record.name] = _Suspicion(now, 0)
            self._shared(now, record)
        else:
            self._suspicions.pop(record.name, None)
        if record.state != was or held is not None and held.instance_id != record.instance_id:
            if (
                record.state <= SUSPECT
                and was is not None
                and was >= DEAD
                and record.name not in self._round
            ):
                self._round.append(record.name)
            (
                self.count.lives
                if record.state <= SUSPECT
                else self.count.vanished
                if record.state == DEAD
                else self.count.left
            )(now, record.name)
            self._host.changed(record, was)
            self._recount()

    def _about_me(self, now: int, record: MemberRecord) -> None:
        mine = self.me
        if record.instance_id == mine.instance_id:
            if (
                record.state != ALIVE
                and record.incarnation >= mine.incarnation
                and not self._leaving
            ):
                self._host.log(
                    f"denied that this balancer is {MemberState(min(record.state, LEFT)).name.lower()}"
                )
                self._slow = min(self._pace.slowness - 1, self._slow + 1)
                self._raise(record.incarnation + 1, mine.restart_count)
            return
        if record.state >= DEAD:  # an earlier process of this name
            if record.incarnation >= mine.incarnation:
                self._raise(
                    record.incarnation + 1, max(mine.restart_count, record.restart_count + 1)
                )
        elif (record.restart_count, record.instance_id) > (mine.restart_count, mine.instance_id):
            if record.incarnation >= mine.incarnation:
                self._raise(
                    record.incarnation + 1, mine.restart_count
                )  # the later of the two hears it, and looks
        elif not self._verifying:
            self._verifying = True

            def verified(at: int, answer: Message | None) -> None:
                self._verifying = False
                if (
                    answer is not None
                    and answer.kind == ACK
                    and answer.sender.instance_id == record.instance_id
                ):
                    self._refused(
                        f"the name {self.me.name} is in use by an earlier process at {record.address}"
                    )
                elif record.incarnation >= self.me.incarnation:
                    self._raise(
                        record.incarnation + 1, max(self.me.restart_count, record.restart_count + 1)
                    )

            self._ask(now, PING, record, done=verified)

    def _raise(self, incarnation: int, restart_count: int) -> None:
        self._digest ^= self._mark(self.me)
        self.me = _with(self.me, incarnation=incarnation, restart_count=restart_count)
        self._digest ^= self._mark(self.me)

    def _refused(self, why: str) -> None:
        """Says nothing more: whatever it said would be taken for the other one's word."""
        if not self.refused:
            self.refused = self._leaving = True
            self._host.refused(why)

    def _gone(self, now: int, name: str, instance_id: int) -> None:
        held = self.table.get(name)
        if held is not None and held.instance_id == instance_id and held.state <= SUSPECT:
            self._take(now, _with(held, state=DEAD, reporter=self.me.name))

    # Suspicion

    def _shared(self, now: int, record: MemberRecord) -> None:
        """One more suspects it: the more do, the less the others wait for its denial."""
        suspicion = self._suspicions.get(record.name)
        if suspicion is None or record.reporter in suspicion.reporters:
            return
        if len(suspicion.reporters) <= self._pace.shared_by:
            suspicion.reporters.add(record.reporter)
            if len(suspicion.reporters) > 1:
                self._fresh[record.name] = [0]
        fleet = len(self.table) + 1
        least = self._pace.least * max(1.0, log10(fleet)) * self._pace.period
        needed = min(self._pace.shared_by, fleet - 2)
        part = log10(len(suspicion.reporters)) / log10(needed + 1) if needed > 0 else 1.0
        span = max(least, least * self._pace.longest - least * (self._pace.longest - 1) * part)
        suspicion.due = suspicion.began + int(span)

    def _suspect(self, now: int, record: MemberRecord) -> None:
        held = self.table.get(record.name)
        if held is not None and held.instance_id == record.instance_id and held.state <= SUSPECT:
            suspected = _with(held, state=SUSPECT, reporter=self.me.name)
            if held.state == SUSPECT:
                self._shared(now, suspected)
                if self._fresh.get(record.name) == [0]:
                    self.table[record.name] = suspected  # passed on as said by this one too
            else:
                self._take(now, suspected)

    def _end_suspicions(self, now: int) -> None:
        if self._doubts_until:
            if now < self._doubts_until:
                return
            self._doubts_until = 0
        for name in [name for name, held in self._suspicions.items() if now >= held.due]:
            self._take(now, _with(self.table[name], state=DEAD, reporter=self.me.name))

    def _noticed(self, now: int) -> None:
        """A call that comes late shows that this process was stopped, starved or asleep: it doubts itself first.

        What it waited for meanwhile tells nothing of the others, and suspicions wait as long as it did."""
        late = now - self._expects
        if late <= self._pace.gap * self._pace.period:
            return
        self._expects = now
        for held in self._suspicions.values():
            held.began, held.due = held.began + late, held.due + late
        if self._probe is not None:
            self._probe.void = True
            self._probe.ends += late
        self._slow = min(self._pace.slowness - 1, self._slow + 1)
        fleet = max(1.0, log10(len(self.table) + 1))
        self._doubts_until = now + int(
            self._pace.least * self._pace.longest * fleet * self._pace.period
        )
        self.count.stopped(now)
        self._recount()
        if late > self._pace.period:
            self._host.log(f"this process was stopped for {late // 1_000_000} ms")

    # Probes

    def _keep_probing(self, now: int) -> None:
        probe = self._probe
        if probe is not None and not probe.acked and not probe.relays and now >= probe.relays_at:
            self._ask_relays(now, probe)
        if probe is not None and now >= probe.ends:
            self._probe = None
            if not probe.acked and not probe.void:
                missed = probe.relays - probe.nacks
                self._slow = min(
                    self._pace.slowness - 1, self._slow + (missed if probe.relays else 1)
                )
                self._suspect(now, probe.record)
        if self._probe is None and now >= self._next_probe:
            span = self._pace.period * (1 + self._slow)
            self._next_probe = now + span
            record = self._next_in_round()
            if record is not None:
                self._probe = _Probe(record, now + span, now + int(span * self._pace.answer))
                self._ask(now, PING, record, span=span)

    def _next_in_round(self) -> MemberRecord | None:
        for _ in range(2):
            while self._round:
                record = self.table.get(self._round.pop())
                if record is not None and record.state <= SUSPECT:
                    return record
            self._round = [record.name for record in self.living]
            self._rng.shuffle(self._round)
        return None

    def _ask_relays(self, now: int, probe: _Probe) -> None:
        others = [
            record
            for record in self.living
            if record.name != probe.record.name and record.state == ALIVE
        ]
        chosen = self._rng.sample(others, min(self._pace.relays, len(others)))
        probe.relays = len(chosen)
        probe.relays_at = probe.ends
        for record in chosen:
            span = probe.ends - now
            self._ask(
                now,
                REACH,
                record,
                span=span,
                subject=probe.record,
                wait=int(span * 0.7),
                name=probe.record.name,
                instance_id=probe.record.instance_id,
            )

    def _reach(self, now: int, call: int, subject: MemberRecord, wait: int) -> None:
        def tried(at: int, answer: Message | None) -> None:
            fine = (
                answer is not None
                and answer.kind == ACK
                and answer.sender.instance_id == subject.instance_id
            )
            self._host.reply(
                call,
                self._message(
                    at,
                    ACK if fine else NACK,
                    records=(answer.sender,) if fine and answer is not None else (),
                ),
            )

        known = self.table.get(subject.name)
        self._ask(
            now,
            PING,
            known if known is not None and known.instance_id == subject.instance_id else subject,
            span=max(1, min(wait, self._pace.slowness * self._pace.period)),
            done=tried,
        )

    # Joining and joining again

    def _keep_joining(self, now: int) -> None:
        if self.joined or now < self._join_at:
            return
        pace = self._pace
        span = min(pace.join_most, pace.join_first * 2 ** min(self._join_tries, 20)) * pace.period
        self._join_at = now + int(span * self._rng.uniform(0.5, 1.5))
        self._join_tries += 1
        self._try_to_join(now, self._join[self._join_tries % len(self._join)])

    def _try_to_join(self, now: int, address: str) -> None:
        def done(at: int, answer: Message | None) -> None:
            self._unheard.discard(address)
            if answer is None:
                return
            if answer.kind == SELF:
                self._join = [known for known in self._join if known != address]
                self.joined = self.joined or not self._join
            elif answer.kind == REFUSED:
                self._refused(answer.why)
            elif answer.kind == ACK and not self.joined:
                self.joined = True
                self._paged_through = answer.digest == self._digest
                self._host.log(f"joined by {answer.sender.name} at {address}")

        self._ask(now, JOIN, MemberRecord("", address, 0, 0, 0, ALIVE), address=address, done=done)

    def _introduce(self, now: int) -> None:
        """Tells of itself to all that it knows of, a few at a time."""

        def done(at: int, answer: Message | None) -> None:
            self._greeting -= 1

        alike = self._paged_through or all(record.state > SUSPECT for record in self.table.values())
        left = [record for record in self.living if record.name not in self._greeted]
        for record in left[: self._pace.records_per_message]:
            self._greeted.add(record.name)
            self._greeting += 1
            self._ask(now, PING, record, done=done)
        self._introduced = alike and not left and not self._greeting

    def _let_in(self, now: int, call: int, message: Message) -> None:
        """One that starts or comes back. Its name is its own unless a process that answers has it."""
        record = message.sender
        held = self.me if record.name == self.me.name else self.table.get(record.name)

        def refuse(address: str) -> None:
            why = f"the name {record.name} is in use by an earlier process at {address}"
            self._host.reply(call, self._message(now, REFUSED, why=why))

        def let_in(at: int) -> None:
            self._hear(at, message)
            known = self.table.get(record.name)
            page = tuple(
                self._rng.sample(list(self.table.values()), min(len(self.table), self._pace.page))
            )
            about = () if known is None or known.instance_id == record.instance_id else (known,)
            self._host.reply(call, self._message(at, ACK, records=about + page))

        if held is None or held.instance_id == record.instance_id or held.state >= DEAD:
            let_in(now)
        elif held is self.me:
            refuse(self.me.address)
        else:

            def looked(at: int, answer: Message | None) -> None:
                if (
                    answer is not None
                    and answer.kind == ACK
                    and answer.sender.instance_id == held.instance_id
                ):
                    refuse(held.address)
                else:
                    self._gone(at, held.name, held.instance_id)
                    let_in(at)

            self._ask(
                now,
                PING,
                held,
                done=looked,
                span=int(self._pace.period * self._pace.answer * (1 + self._slow)),
            )

    def _retry(self, now: int) -> None:
        """Now and then one that is held for dead, or an address of the file at which nobody is known, is tried.

        Guards against two sides of a partition that each hold the other for dead when it has ended."""
        if now < self._retry_at:
            return
        self._retry_at = now + int(
            self._pace.retry_every * self._pace.period * self._rng.uniform(0.5, 1.5)
        )
        dead = [record for record in self.table.values() if record.state == DEAD]
        here = {record.address for record in self.table.values()} | {self.me.address}
        unknown = [address for address in self._join if address not in here] if self.joined else []
        if dead and (not unknown or self._rng.random() < 0.5):
            self._ask(now, PING, self._rng.choice(dead))
        elif unknown:
            self._try_to_join(now, self._rng.choice(unknown))

    # The count

    def _recount(self) -> None:
        if self.count.number != self._counted:
            self._counted = self.count.number
            self._host.counted(self._counted)


def _with(record: MemberRecord, **changes: object) -> MemberRecord:
    held = {name: getattr(record, name) for name in record.__struct_fields__}
    return MemberRecord(**(held | changes))  # type: ignore[arg-type]
