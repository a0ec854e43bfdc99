"""From a start to full service: what is read, who is asked, what is looked at, how far the door opens; and words that must not be lost.

READ: what the disk says. ASK: peers that live, a few, for newer words. LOOK: each server that may serve has answered a probe, or has not. OPEN: what
is let in follows what the servers show. FULL. From the first moment each login is answered: let in or refused at once.

Owns the order, the facts and the door. Free of I/O and clocks: it is told what happened and at what time, and acts by calls on its host. Must
never wait for a span of time where something can show it, wait for one that waits for this one, let a fact that was only read confirm
another that was, or give operators a yes for a word that is not on enough disks.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random
from typing import NamedTuple, Protocol

from corklift.interface import ColdRule
from corklift.recovery.admission import Door, come_back
from corklift.recovery.facts import (
    BINDING_SHARED,
    COUNT,
    DRAIN,
    ENDED,
    KINDS,
    LIST,
    MARKER,
    OUT,
    SELF,
    SHARED,
    SIZES,
    Fact,
    Facts,
    How,
    Server,
)
from corklift.recovery.messages import Answer, Ask, Marker, Tell, Told, how

LOOK_PART = 5  # of a period, over which servers are asked at a start: hundreds of balancers may do so at once
LOST_FROM, LOST_PART = (
    4.0,
    0.25,
)  # connections that a server held, of which under this part is left: it began anew
SIZE_CHANGE = 0.2  # of a server's size that is worth a write


class Step(IntEnum):
    READ = 0
    ASK = 1
    LOOK = 2
    OPEN = 3
    FULL = 4


class Terms(NamedTuple):
    """Times as ratios to the peers' probe period, and counts; the period and the longest time to come back are in ns."""

    period: int = 1_000_000_000
    read: float = 3.0  # periods after which a disk that has not answered is not waited for
    answer: float = 1.0  # a period, for a peer's answer
    alone: float = 2.0  # periods after which a peer that may yet come is not waited for, by one that was told to stop ...
    unsure: float = 5.0  # ... or was not: its disk may lack the last that was said
    asked: int = 3  # peers whose answers are wanted at a start
    tries: int = 12  # peers that are asked at a start, at the most
    copies: int = 2  # others on whose disk a word is, before operators get a yes; fewer where a majority is fewer
    told_at_once: int = 8  # peers that are told of a word at a time
    word: float = 5.0  # periods for a yes
    alike: float = 10.0  # periods between two looks whether another one holds the same
    gone: int = 1000  # drains of servers that are listed no longer which are kept, the newest
    longest: int = 1_000_000_000  # to come back
    cold: ColdRule = ColdRule(1.0, 1, 1.0, 1)  # of the settings


class Host(Protocol):
    """What a recovery may do."""

    def ask(self, number: int, name: str, message: Ask, until: int) -> None: ...
    def tell(self, number: int, name: str, message: Tell, until: int) -> None: ...
    def keep(self, number: int, facts: tuple[Fact, ...]) -> None: ...
    def forget(self, facts: tuple[Fact, ...]) -> None: ...  # they need not be kept any longer
    def believe(
        self, out: set[str], put_back: set[str]
    ) -> None: ...  # operators' words that hold from now on
    def look(self, span: int) -> None: ...  # ask each server that may serve, within the span
    def relist(self) -> None: ...  # what the list says is to be heard anew, as facts have changed
    def ages(
        self,
    ) -> dict[str, int]: ...  # by server, when it started, as the decisions know it now
    def step(self, step: Step, why: str) -> None: ...
    def log(self, what: str, **fields: object) -> None: ...


class Quiet:
    """A host that does nothing where it is not said what: for one that is alone, and for small worlds."""

    def ask(self, number: int, name: str, message: Ask, until: int) -> None:
        pass

    def tell(self, number: int, name: str, message: Tell, until: int) -> None:
        pass

    def keep(self, number: int, facts: tuple[Fact, ...]) -> None:
        pass

    def forget(self, facts: tuple[Fact, ...]) -> None:
        pass

    def believe(self, out: set[str], put_back: set[str]) -> None:
        pass

    def look(self, span: int) -> None:
        pass

    def relist(self) -> None:
        pass

    def ages(self) -> dict[str, int]:
        return {}

    def step(self, step: Step, why: str) -> None:
        pass

    def log(self, what: str, **fields: object) -> None:
        pass


class Outcome(IntEnum):
    """Of an operator's word."""

    KEPT = 0  # by enough
    PARTLY = 1  # it is in force here, and known to fewer


@dataclass(slots=True)
class _Word:
    fact: Fact
    done: Callable[[Outcome, int, int], None]
    until: int
    here: bool | None = None  # kept on this disk; None: not known yet
    others: set[str] = field(default_factory=set)  # that keep it
    open: set[str] = field(default_factory=set)  # that were told and have not answered
    untold: list[str] = field(default_factory=list)
    over: bool = False


class Recovery:
    def __init__(
        self,
        host: Host,
        rng: Random,
        terms: Terms,
        now: int,
        *,
        name: str,
        life: int,
        boot: str,
        expected: int,
        alone: bool = False,
        disk: bool = True,
    ) -> None:
        """`boot`: what tells one boot of the machine from another; `expected`: balancers by the settings; `alone`: no peers are
        configured; `disk`: whether there is one to read."""
        self._host, self._rng, self.terms = host, rng, terms
        self.name, self._life, self._boot, self._expected, self._alone = (
            name,
            life,
            boot,
            expected,
            alone,
        )
        self.facts = Facts()
        self.step = Step.READ
        self.own = Marker()
        self._read_until = now + int(terms.read * terms.period) if disk else now
        self._read = not disk
        self.trouble = ""  # of the disk, at present
        self.behind = False  # this disk is known to lack what it once had, and nobody who lived has told it since
        self._living: list[str] = []
        self._admitted = alone
        self._asks: dict[int, tuple[str, int]] = {}  # number: whom, and when
        self._next = 1
        self._asked: dict[str, int] = {}  # peers, and how often each was
        self._ask_until = now
        self.heard: dict[str, bool] = {}  # peers that have answered, and whether they remember
        self.unsure = False  # it was not told to stop: its disk may lack the last that was said
        self.lived_heard = False  # one that lived through it all has answered
        self.ages: dict[str, int] = {}
        self.power_lost = False
        self._remembers = False
        self.fresh = False  # nothing was on its disk: it is new, or has lost its memory
        self._began = now
        self._missed: set[str] = set()  # servers that did not answer the last probe
        self._connections: dict[str, float] = {}  # as each told last, to this process
        self._began_anew: dict[str, int] = {}  # when a server showed that it had lost what it held
        self._taken: dict[str, int] = {}  # when a server was taken to have started ...
        self._first: dict[str, int] = {}  # ... and when it was, by its first answer
        self.door: Door | None = None
        self._words: dict[int, _Word] = {}
        self._tells: dict[int, tuple[int, str]] = {}  # number: the word and who was told
        self._keeps: dict[int, Callable[[bool], None]] = {}
        self._alike_at = now
        self.markers: dict[str, Marker] = {}  # what others told of their stores

    # The disk

    def read(
        self,
        now: int,
        facts: Iterable[Fact],
        marker: Marker,
        fresh: bool,
        lost: str = "",
        trouble: str = "",
    ) -> None:
        """What the disk says, in time or late. `lost`: what a damaged one had that could not be read."""
        late, self._read = self._read, True
        self.own, self.trouble = marker, trouble
        changed = [fact for fact in facts if self.facts.take(fact, How.READ)]
        self.behind = self.behind or bool(lost)
        ended = self.facts.get(ENDED)
        # What counts is the machine's boot: a program that was killed leaves the servers as they were.
        self.power_lost = not fresh and (ended is None or ended.value[0] != self._boot)
        self.unsure = not fresh and (ended is None or not ended.value[1])
        self.fresh = fresh
        self._remembers = (
            not fresh and not lost and not trouble
        )  # a disk that can not be written lacks the last that was told
        for held in self.facts.of(MARKER):
            self.markers.setdefault(held.fact.name, Marker(*held.fact.value))
        self._host.log(
            "read",
            facts=len(changed),
            fresh=fresh,
            commit=marker.sequence,
            late=late,
            power_lost=self.power_lost,
            lost=lost,
            trouble=trouble,
        )
        self._keep_own((Fact(ENDED, "", (1,), [self._boot, False], self.name, now),))
        self._apply(changed)
        self.tick(now)

    def unread(self, now: int, why: str) -> None:
        """The disk can't be read, nor what is on it salvaged."""
        self._read, self.trouble, self.behind, self.fresh = (
            True,
            why,
            True,
            True,
        )  # it remembers nothing
        self._host.log("unread", why=why)
        self.tick(now)

    def kept(self, now: int, number: int, sequence: int, why: str) -> None:
        """What was to be kept is on the disk, or (`why`) is not known to be."""
        if why != self.trouble:
            self._host.log("disk", why=why)
        self.trouble = why
        if not why:
            self.own = Marker(self.own.store, max(sequence, self.own.sequence))
        self._keeps.pop(number, lambda fine: None)(not why)

    def _keep(
        self, facts: tuple[Fact, ...], done: Callable[[bool], None] = lambda fine: None
    ) -> None:
        number, self._next = self._next, self._next + 1
        self._keeps[number] = done
        self._host.keep(number, facts)

    def _keep_own(self, facts: tuple[Fact, ...]) -> None:
        """Facts of this balancer itself, whose number only grows here."""
        made = []
        for fact in facts:
            before = self.facts.get(*fact.key)
            if before is None or before.value != fact.value:
                made.append(
                    Fact(
                        fact.kind,
                        fact.name,
                        ((before.number[0] if before else 0) + 1,),
                        fact.value,
                        fact.by,
                        fact.at,
                    )
                )
                self.facts.take(made[-1], How.LIVE)
        if made:
            self._keep(tuple(made))

    def incarnation(self, now: int, incarnation: int, turn: int) -> None:
        """This balancer's own, by membership."""
        self._keep_own((Fact(SELF, "", (1,), [incarnation, turn], self.name, now),))

    @property
    def next_life(self) -> tuple[int, int]:
        """Incarnation and turn that a start goes on from: above those of before, which others may still be told."""
        held = self.facts.get(SELF)
        return (int(held.value[0]) + 1, int(held.value[1]) + 1) if held is not None else (0, 1)

    def counted(self, now: int, balancers: int) -> None:
        held = self.facts.get(COUNT)
        if held is None or held.value != balancers:
            self._take_shared(
                now,
                [
                    Fact(
                        COUNT, "", ((held.number[0] if held else 0) + 1,), balancers, self.name, now
                    )
                ],
                How.LIVE,
            )

    def sized(self, now: int, sizes: dict[str, float]) -> None:
        """What servers can do, as the decisions know it; kept now and then."""
        held = self.facts.get(SIZES)
        before = held.value if held is not None else {}
        if any(
            abs(size - before.get(name, 0.0)) > SIZE_CHANGE * size for name, size in sizes.items()
        ):
            self._take_shared(
                now,
                [
                    Fact(
                        SIZES,
                        "",
                        ((held.number[0] if held else 0) + 1,),
                        {**before, **sizes},
                        self.name,
                        now,
                    )
                ],
                How.LIVE,
            )

    @property
    def balancers(self) -> int:
        """That there may be, before any is known: the hint may only raise it."""
        held = self.facts.get(COUNT)
        return max(self._expected, int(held.value) if held is not None else 0)

    def stopping(self, now: int) -> None:
        """Told to stop: the next start is no recovery from a loss."""
        self._keep_own((Fact(ENDED, "", (1,), [self._boot, True], self.name, now),))

    # Peers

    def members(self, now: int, living: list[str], admitted: bool) -> None:
        """Whom membership holds for living, this one not; whether it has done what a start does."""
        self._living = living
        if admitted and not self._admitted:
            self._admitted = True
        self.tick(now)

    @property
    def complete(self) -> bool:
        """Whether it has what was said before: one that lived told it, or enough that a word is on one of their disks; or there was
        nothing, as nobody remembers any."""
        return (
            self.lived_heard
            or self._alone
            or sum(self.heard.values()) >= min(self.terms.asked, self.balancers // 2)
            or len(self.heard) >= min(self.terms.tries, self.balancers - 1)
        )

    def _ask(self, now: int, name: str, whole: bool) -> None:
        number, self._next = self._next, self._next + 1
        self._asks[number] = name, now
        self._host.ask(
            number,
            name,
            Ask(self.name, self._life, self.own, self.facts.digest, whole),
            now + int(self.terms.answer * self.terms.period),
        )

    def answered(self, now: int, number: int, answer: Answer) -> None:
        if self._asks.pop(number, None) is None:
            return
        if self.fresh and not self.heard:
            # One answer may be of a disk that lost the same: the others are asked as long as one that remembers would ask.
            self._ask_until = max(self._ask_until, now + int(self.terms.unsure * self.terms.period))
        self.heard[answer.name] = answer.remembers or self.heard.get(answer.name, False)
        self.markers[answer.name] = answer.marker
        changed = [
            fact
            for fact, told in zip(answer.facts, answer.hows)
            if fact.kind in SHARED
            and self.facts.take(
                fact, How.LIVE if answer.lived and how(told) is How.LIVE else How.HEARD
            )
        ]
        mine = answer.yours
        if (
            self._read
            and mine.store
            and (mine.store != self.own.store or mine.sequence > self.own.sequence)
        ):
            # Shown by a peer: a disk that went back, was emptied, or lied about a sync.
            if not self.behind:
                self._host.log(
                    "behind",
                    by=answer.name,
                    had=mine.sequence,
                    has=self.own.sequence,
                    other_store=mine.store != self.own.store,
                )
            self.behind = True
        if self.fresh and answer.power_lost:
            self.power_lost = True  # one that remembers says so
        if answer.lived:
            # It has been told all that was told meanwhile; two that have both only read can't say so of each other.
            self.lived_heard = True
            self.ages = {
                **answer.ages,
                **{key: max(age, answer.ages.get(key, 0)) for key, age in self.ages.items()},
            }
            if self.behind:
                self.behind = False
                self._host.log("made good", by=answer.name)
        if changed:
            self._keep(tuple(changed))
        self._apply(changed)
        self.tick(now)

    def unanswered(self, now: int, number: int) -> None:
        self._asks.pop(number, None)
        self.tick(now)

    def asked(self, now: int, ask: Ask) -> Answer:
        """A peer asks."""
        yours = self.markers.get(ask.name, Marker())
        told = (
            self.facts.shared()
            if ask.whole
            else [held for held in self.facts.shared() if held.fact.kind in BINDING_SHARED]
        )
        if ask.digest == self.facts.digest and not ask.whole:
            told = []
        lived = self.step is Step.FULL and self.complete
        answer = Answer(
            self.name,
            self._life,
            lived,
            tuple(held.fact for held in told),
            tuple(int(held.how) for held in told),
            self.own,
            yours,
            self._host.ages() if lived and ask.whole else {},
            self._remembers,
            self._all_cold,
        )
        if ask.marker.store and (
            ask.marker.store != yours.store or ask.marker.sequence > yours.sequence
        ):
            self._mark(now, ask.name, ask.marker)
        return answer

    def _mark(self, now: int, name: str, marker: Marker) -> None:
        """How far a peer's disk has come. Kept with the next thing that is kept: one a word is enough."""
        self.markers[name] = marker

    def told(self, now: int, tell: Tell, reply: Callable[[Told], None]) -> None:
        """A peer tells: answered once it is on this disk, or is known not to get there."""
        self._mark(now, tell.name, tell.marker)
        newer = []
        changed = []
        for fact in tell.facts:
            if fact.kind not in BINDING_SHARED:
                continue
            if self.facts.take(fact, How.LIVE):
                changed.append(fact)
            else:
                held = self.facts.get(*fact.key)
                if held is not None and held.rank > fact.rank:
                    newer.append(held)
        marker = self.markers[tell.name]
        kept = (
            *(fact for fact in tell.facts if fact.kind in BINDING_SHARED and not newer),
            Fact(
                MARKER,
                tell.name,
                (marker.sequence,),
                [marker.store, marker.sequence],
                tell.name,
                now,
            ),
        )
        self._keep(kept, lambda fine: reply(Told(fine, tuple(newer), self.own)))
        self._apply(changed)

    # Operators' words

    def word(
        self, now: int, server: str, out: bool, done: Callable[[Outcome, int, int], None]
    ) -> None:
        """In force here from now on; `done` once enough others keep it or can't be reached, with how many keep it and how many should."""
        facts = [Fact(OUT, server, self.facts.next_number(OUT, server), out, self.name, now)]
        drain = self.facts.get(DRAIN, server)
        if not out and drain is not None and drain.value:
            # Operators say it for a list that can't: its numbers begin anew, or it is older than the drain.
            facts.append(
                Fact(
                    DRAIN,
                    server,
                    (*drain.number[:2], (drain.number[2] if len(drain.number) > 2 else 0) + 1),
                    False,
                    self.name,
                    now,
                )
            )
        for fact in facts:
            self.facts.take(fact, How.LIVE)
        self._apply(facts)
        self._spread(now, facts, done)

    def _spread(
        self, now: int, facts: list[Fact], done: Callable[[Outcome, int, int], None]
    ) -> None:
        number, self._next = self._next, self._next + 1
        word = self._words[number] = _Word(
            facts[0], done, now + int(self.terms.word * self.terms.period)
        )
        word.untold = list(self._living)
        self._rng.shuffle(word.untold)

        def kept(fine: bool) -> None:
            word.here = fine
            self._settle(now, number)

        self._keep(tuple(facts), kept)
        self._tell_more(now, number, facts)
        self._settle(now, number)

    def _tell_more(self, now: int, number: int, facts: list[Fact]) -> None:
        word = self._words[number]
        while word.untold and len(word.open) < self.terms.told_at_once:
            name = word.untold.pop()
            word.open.add(name)
            tell, self._next = self._next, self._next + 1
            self._tells[tell] = number, name
            self._host.tell(
                tell, name, Tell(self.name, self._life, self.own, tuple(facts)), word.until
            )  # a disk's time too

    def tell_answered(self, now: int, number: int, told: Told | None) -> None:
        """A peer's answer to what it was told; None: there is none."""
        at, name = self._tells.pop(number, (0, ""))
        if told is not None and told.marker.store:
            self._mark(now, name, told.marker)
        word = self._words.get(at)
        if word is None:
            return
        word.open.discard(name)
        newer = (
            [
                fact
                for fact in told.newer
                if fact.key == word.fact.key and fact.rank > word.fact.rank
            ]
            if told
            else []
        )
        if newer:
            # This balancer's knowledge was old: its word is said anew, above what the others hold.
            self.facts.take(newer[0], How.HEARD)
            del self._words[at]
            fact = Fact(
                OUT, word.fact.name, (newer[0].number[0] + 1,), word.fact.value, self.name, now
            )
            self.facts.take(fact, How.LIVE)
            self._apply([fact])
            if not word.over:
                self._spread(now, [fact], word.done)
            return
        if told is not None and told.kept:
            word.others.add(name)
        self._tell_more(now, at, [word.fact])
        self._settle(now, at)

    def _wanted(self) -> int:
        """Disks that a word is on before operators get a yes, this one's too."""
        fleet = max(len(self._living) + 1, 1 if self._alone else self.balancers)
        return min(1 + self.terms.copies, fleet // 2 + 1)

    def _settle(self, now: int, number: int) -> None:
        word = self._words.get(number)
        if word is None:
            return
        keep = len(word.others) + (word.here is True)
        wanted = self._wanted()
        if not word.over:
            done = word.here is not None and not word.open and not word.untold
            if keep >= wanted:
                word.over = True
                word.done(Outcome.KEPT, keep, wanted)
            elif done or now >= word.until:
                word.over = True
                word.done(Outcome.PARTLY, keep, wanted)
        if word.over and word.here is not None and not word.open and not word.untold:
            self._words.pop(number, None)

    # What is believed

    def _apply(self, changed: Iterable[Fact]) -> None:
        changed = list(changed)
        out = {fact.name for fact in changed if fact.kind == OUT and fact.value}
        back = {fact.name for fact in changed if fact.kind == OUT and not fact.value}
        if out or back:
            self._host.believe(out, back)
        if any(fact.kind in (DRAIN, LIST) for fact in changed):
            self._host.relist()

    def _take_shared(self, now: int, facts: list[Fact], known: How) -> None:
        changed = tuple(fact for fact in facts if self.facts.take(fact, known))
        if changed:
            self._keep(changed)

    def drained(self, now: int, name: str, started_at: int, index: int, leaving: bool) -> bool:
        """The list says of a server that it leaves, or is ready; returns whether it is held for leaving."""
        held = self.facts.get(DRAIN, name)
        if leaving:
            if held is None or not held.value or held.number < (started_at, index):
                self._take_shared(
                    now, [Fact(DRAIN, name, (started_at, index), True, "discovery", now)], How.LIVE
                )
            return True
        if held is None or not held.value:
            return False
        if held.number >= (started_at, index):
            return True
        self._take_shared(
            now, [Fact(DRAIN, name, (started_at, index), False, "discovery", now)], How.LIVE
        )
        return False

    def listed(self, now: int, servers: list[Server], index: int) -> None:
        """The whole list, as discovery tells it now: kept as places to ask."""
        listed = {server.name for server in servers}
        for held in (self._taken, self._first, self._connections, self._began_anew, self.ages):
            for name in [name for name in held if name not in listed]:
                del held[name]
        self._missed &= listed
        # Guards against growth with every server that ever was: drains of those that are gone end with age.
        gone = [held.fact for held in self.facts.of(DRAIN) if held.fact.name not in listed]
        for fact in sorted(gone, key=lambda fact: fact.number)[
            : max(0, len(gone) - self.terms.gone)
        ]:
            self.facts.drop(fact)
            self._host.forget((fact,))
        self._take_shared(now, [Fact(LIST, "", (index,), servers, "discovery", now)], How.LIVE)

    def server_missed(self, now: int, name: str) -> None:
        """A server has not answered, or has broken a connection."""
        self._missed.add(name)

    def server_answered(self, now: int, name: str, connections: float | None = None) -> None:
        """A server has answered a probe, with how many connections it holds: it has not started later than that."""
        before = self._connections.get(name, 0.0)
        if connections is not None:
            self._connections[name] = connections
        if name not in self._first:
            self._first[name] = max(now, self._taken.get(name, now))
            if self._all_cold and self._first[name] > self._taken.get(name, now):
                self._host.relist()  # it is colder than it was taken for
        elif (
            name in self._missed
            and connections is not None
            and before >= LOST_FROM
            and connections < LOST_PART * before
        ):
            # Guards against a server that was away for a second or two while no list tells of it: what it held is gone. Also holds
            # against one whose process was replaced behind one address. Hurts one that was only stopped while its clients were moved.
            self._began_anew[name] = now
            self._host.log("a server began anew", server=name, held=before, holds=connections)
            self._host.relist()
        self._missed.discard(name)

    @property
    def _all_cold(self) -> bool:
        """Whether servers are taken to have started with this loss: it took the power, and nobody lived to know better.

        Guards against servers that are back before any list says that they were away. Hurts where only the balancers' machines were
        lost: warm servers then get what cold ones may."""
        return self.power_lost and not self.lived_heard

    def started_at(self, now: int, name: str, told: int) -> int:
        """When a server is taken to have started, of which the list says `told`. After a loss of power that is when it first answered: what
        the disk or an old list says is nothing, and what one that lived knows is more."""
        told = max(
            min(told, now), self._began_anew.get(name, 0)
        )  # a clock that is ahead keeps no server cold for a year
        if name in self.ages:
            return max(told, min(now, self.ages[name]))
        return (
            max(
                told,
                self._first.get(
                    name, self._taken.setdefault(name, now + self.terms.period // LOOK_PART)
                ),
            )
            if self._all_cold
            else told
        )

    # Clients

    def login(self, now: int, importance: float) -> int | None:
        """None: let in, and `ended` is called once. Otherwise the time after which to come back, ns."""
        if self.step is Step.FULL:
            return None
        if self.door is not None and self.step is Step.OPEN and self.door.may_pass(now, importance):
            return None
        return come_back(self._rng, self.terms.longest, importance)

    def ended(self, now: int, up: bool | None) -> None:
        """How a login that was let in while the door opened went."""
        if self.door is not None:
            self.door.ended(up)
            if self.door.wide_enough and self.step is Step.OPEN:
                self._go(now, Step.FULL, "servers bear it")

    def shown(self, now: int) -> object:
        """All that bears on what it does next, times told from now: for exploration."""
        return (
            self.step,
            sorted(
                (held.fact.key, held.fact.number, held.how)
                for kind in KINDS
                for held in self.facts.of(kind)
            ),
            self._living,
            sorted(self._asks.items()),
            sorted(self._asked.items()),
            sorted(self.heard.items()),
            self.lived_heard,
            self.behind,
            self.fresh,
            self.unsure,
            self.power_lost,
            self._ask_until - now,
            self.own,
            sorted(self.markers.items()),
            sorted(
                (number, word.here, sorted(word.others), sorted(word.open), word.over)
                for number, word in self._words.items()
            ),
            self.door and (self.door.window, self.door.under_way),
        )

    # The order

    def looked(self, now: int, ready: Collection[str], all_heard: bool) -> None:
        """These servers may serve; whether a probe of each has come to an end."""
        if self.step is Step.LOOK and ready and all_heard:
            if self.lived_heard:
                self._go(now, Step.FULL, "others served on")
                return
            self.door = Door(
                now, self.terms.cold, len(ready), max(self.balancers, len(self._living) + 1)
            )
            self._go(now, Step.OPEN, f"{len(ready)} servers")
        if self.step is Step.OPEN and self.door is not None:
            held = self.facts.get(SIZES)
            sizes = held.value if held is not None else {}
            cold = [
                (since, sizes.get(name, 0.0))
                for name in ready
                if (since := self._since(now, name)) is not None
            ]
            if cold:
                self.door.cold(now, cold, max(self.balancers, len(self._living) + 1))
            else:
                self.door.warm()

    def _since(self, now: int, name: str) -> int | None:
        """Since when a server warms up; None: it is not taken for cold."""
        since = (
            self._first.get(name, self._taken.get(name)) if self._all_cold else self.ages.get(name)
        )
        return since if since is not None and now - since < self.terms.cold.ramp else None

    def tick(self, now: int) -> int:
        """Does what is due; returns when the next is."""
        terms = self.terms
        if self.step is Step.READ and (self._read or now >= self._read_until):
            if not self._read:
                self.trouble = self.trouble or "it has not answered"
                self._read = self.fresh = True  # as one that remembers nothing, till it answers
            self._go(now, Step.ASK, self.trouble or "read")
        if (
            self._admitted
            and self.step > Step.READ
            and (self.step is Step.ASK or not self.complete)
        ):
            self._ask_at_start(now)
        if self.step >= Step.LOOK and self._living and now >= self._alike_at:
            self._alike_at = now + int(terms.alike * terms.period * self._rng.uniform(0.5, 1.5))
            self._ask(now, self._rng.choice(self._living), False)
        for number in list(self._words):
            self._settle(now, number)
        due = [self._alike_at if self.step >= Step.LOOK and self._living else now + terms.period]
        if self.step is Step.READ:
            due.append(self._read_until)
        elif self.step is Step.ASK:
            due.append(max(now + 1, self._ask_until))
        due += [word.until for word in self._words.values() if not word.over]
        return max(now + 1, min(due))

    def _ask_at_start(self, now: int) -> None:
        """A few of those that live, by chance: an answer is worth the same whoever gives it, and hundreds may ask at once."""
        under_way = {name for name, _ in self._asks.values()}
        left = [name for name in self._living if name not in under_way and name not in self.heard]
        wanted = 0 if self.complete else self.terms.asked - len(self._asks)
        while wanted > 0 and left and sum(self._asked.values()) < self.terms.tries:
            fewest = min(
                self._asked.get(name, 0) for name in left
            )  # a call may be lost: nobody is given up by one
            name = self._rng.choice([name for name in left if self._asked.get(name, 0) == fewest])
            left.remove(name)
            self._asked[name] = fewest + 1
            self._ask(now, name, True)
            wanted -= 1
        if self.step is not Step.ASK or not self.complete and (self._asks or now < self._ask_until):
            return  # others may be starting too: a bound on a question that nobody may answer
        if self.fresh and not self.heard and not self._alone:
            return  # without any memory it may not serve before one has answered: see `store init` for a fleet's first
        self._go(
            now,
            Step.LOOK,
            f"{len(self.heard)} peers answered"
            + ("" if self.complete else ", not enough to know all"),
        )

    def _go(self, now: int, step: Step, why: str) -> None:
        self.step = step
        if step is Step.ASK:
            self._ask_until = now + int(
                (self.terms.unsure if self.unsure else self.terms.alone) * self.terms.period
            )
        self._host.step(step, why)
        if step is Step.LOOK:
            self._taken.clear()
            self._host.relist()
            self._host.look(self.terms.period // LOOK_PART)
