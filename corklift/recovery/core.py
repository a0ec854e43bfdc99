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
from corklift.recovery.admission import AdmissionControl, retry_after
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
    Provenance,
    StoredServer,
)
from corklift.recovery.messages import (
    Marker,
    Replicate,
    ReplicateReply,
    StateReply,
    StateRequest,
    provenance_of,
)

LOOK_PART = 5  # of a period, over which servers are asked at a start: hundreds of balancers may do so at once
LOST_FROM, LOST_PART = (
    4.0,
    0.25,
)  # connections that a server held, of which under this part is left: it began anew
SIZE_CHANGE = 0.2  # of a server's size that is worth a write


class RecoveryPhase(IntEnum):
    READ = 0
    ASK = 1
    LOOK = 2
    OPEN = 3
    FULL = 4


class RecoveryConfig(NamedTuple):
    """Times as ratios to the peers' probe period, and counts; the period and the longest time to come back are in ns."""

    period: int = 1_000_000_000
    store_timeout: float = 3.0  # periods after which a disk that has not answered is not waited for
    reply_timeout: float = 1.0  # a period, for a peer's answer
    clean_query_timeout: float = 2.0  # periods after which a peer that may yet come is not waited for, by one that was told to stop ...
    unclean_query_timeout: float = 5.0  # ... or was not: its disk may lack the last that was said
    wanted_replies: int = 3  # peers whose answers are wanted at a start
    max_queries: int = 12  # peers that are asked at a start, at the most
    copies: int = 2  # others on whose disk a word is, before operators get a yes; fewer where a majority is fewer
    max_concurrent_replications: int = 8  # peers that are told of a word at a time
    replication_timeout: float = 5.0  # periods for a yes
    sync_interval: float = 10.0  # periods between two looks whether another one holds the same
    max_gone_drains: int = (
        1000  # drains of servers that are listed no longer which are kept, the newest
    )
    max_retry_after: int = 1_000_000_000  # to come back
    cold: ColdRule = ColdRule(1.0, 1, 1.0, 1)  # of the settings


class Host(Protocol):
    """What a recovery may do."""

    def request_state(self, number: int, name: str, message: StateRequest, until: int) -> None: ...
    def replicate(self, number: int, name: str, message: Replicate, until: int) -> None: ...
    def persist(self, number: int, facts: tuple[Fact, ...]) -> None: ...
    def delete_persisted(
        self, facts: tuple[Fact, ...]
    ) -> None: ...  # they need not be kept any longer
    def apply_recovered(
        self, out: set[str], put_back: set[str]
    ) -> None: ...  # operators' words that hold from now on
    def probe_servers(
        self, span: int
    ) -> None: ...  # ask each server that may serve, within the span
    def reapply_list(
        self,
    ) -> None: ...  # what the list says is to be heard anew, as facts have changed
    def server_start_times(
        self,
    ) -> dict[str, int]: ...  # by server, when it started, as the decisions know it now
    def phase_changed(self, step: RecoveryPhase, why: str) -> None: ...
    def log(self, what: str, **fields: object) -> None: ...


class NullHost:
    """A host that does nothing where it is not said what: for one that is alone, and for small worlds."""

    def request_state(self, number: int, name: str, message: StateRequest, until: int) -> None:
        pass

    def replicate(self, number: int, name: str, message: Replicate, until: int) -> None:
        pass

    def persist(self, number: int, facts: tuple[Fact, ...]) -> None:
        pass

    def delete_persisted(self, facts: tuple[Fact, ...]) -> None:
        pass

    def apply_recovered(self, out: set[str], put_back: set[str]) -> None:
        pass

    def probe_servers(self, span: int) -> None:
        pass

    def reapply_list(self) -> None:
        pass

    def server_start_times(self) -> dict[str, int]:
        return {}

    def phase_changed(self, step: RecoveryPhase, why: str) -> None:
        pass

    def log(self, what: str, **fields: object) -> None:
        pass


class ReplicationOutcome(IntEnum):
    """Of an operator's replication."""

    KEPT = 0  # by enough
    PARTLY = 1  # it is in force here, and known to fewer


@dataclass(slots=True)
class _Replication:
    fact: Fact
    callback: Callable[[ReplicationOutcome, int, int], None]
    deadline: int
    persisted_here: bool | None = None  # kept on this disk; None: not known yet
    persisted_by: set[str] = field(default_factory=set)  # that keep it
    pending: set[str] = field(default_factory=set)  # that were told and have not answered
    unsent: list[str] = field(default_factory=list)
    finished: bool = False


class Recovery:
    def __init__(
        self,
        host: Host,
        rng: Random,
        config: RecoveryConfig,
        now: int,
        *,
        name: str,
        instance_id: int,
        boot: str,
        expected: int,
        alone: bool = False,
        disk: bool = True,
    ) -> None:
        """`boot`: what tells one boot of the machine from another; `expected`: balancers by the settings; `alone`: no peers are
        configured; `disk`: whether there is one to read."""
        self._host, self._rng, self.config = host, rng, config
        self.name, self._instance_id, self._boot, self._expected, self._alone = (
            name,
            instance_id,
            boot,
            expected,
            alone,
        )
        self.facts = Facts()
        self.phase = RecoveryPhase.READ
        self.own_marker = Marker()
        self._store_deadline = now + int(config.store_timeout * config.period) if disk else now
        self._store_done = not disk
        self.store_error = ""  # of the disk, at present
        self.store_behind = False  # this disk is known to lack what it once had, and nobody who lived has told it since
        self._live_peers: list[str] = []
        self._membership_ready = alone
        self._requests: dict[int, tuple[str, int]] = {}  # number: whom, and when
        self._next_id = 1
        self._queries_sent: dict[str, int] = {}  # peers, and how often each was
        self._query_deadline = now
        self.replies: dict[str, bool] = {}  # peers that have answered, and whether they remember
        self.unclean_stop = (
            False  # it was not told to stop: its disk may lack the last that was said
        )
        self.live_peer_replied = False  # one that lived through it all has answered
        self.known_start_times: dict[str, int] = {}
        self.power_lost = False
        self._has_memory = False
        self.starts_empty = False  # nothing was on its disk: it is new, or has lost its memory
        self._started_at = now
        self._unresponsive: set[str] = set()  # servers that did not answer the last probe
        self._connections: dict[str, float] = {}  # as each told last, to this process
        self._restarted_at: dict[
            str, int
        ] = {}  # when a server showed that it had lost what it held
        self._assumed_start: dict[str, int] = {}  # when a server was taken to have started ...
        self._first_answer_at: dict[str, int] = {}  # ... and when it was, by its first answer
        self.admission: AdmissionControl | None = None
        self._replications: dict[int, _Replication] = {}
        self._replicate_calls: dict[int, tuple[int, str]] = {}  # number: the word and who was told
        self._persist_callbacks: dict[int, Callable[[bool], None]] = {}
        self._next_sync_at = now
        self.peer_markers: dict[str, Marker] = {}  # what others told of their stores

    # The disk

    def store_loaded(
        self,
        now: int,
        facts: Iterable[Fact],
        marker: Marker,
        fresh: bool,
        lost: str = "",
        trouble: str = "",
    ) -> None:
        """What the disk says, in time or late. `lost`: what a damaged one had that could not be read."""
        late, self._store_done = self._store_done, True
        self.own_marker, self.store_error = marker, trouble
        changed = [fact for fact in facts if self.facts.merge(fact, Provenance.READ)]
        self.store_behind = self.store_behind or bool(lost)
        ended = self.facts.get(ENDED)
        # What counts is the machine's boot: a program that was killed leaves the servers as they were.
        self.power_lost = not fresh and (ended is None or ended.value[0] != self._boot)
        self.unclean_stop = not fresh and (ended is None or not ended.value[1])
        self.starts_empty = fresh
        self._has_memory = (
            not fresh and not lost and not trouble
        )  # a disk that can not be written lacks the last that was told
        for held in self.facts.of_kind(MARKER):
            self.peer_markers.setdefault(held.fact.name, Marker(*held.fact.value))
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
        self._persist_own((Fact(ENDED, "", (1,), [self._boot, False], self.name, now),))
        self._apply_facts(changed)
        self.tick(now)

    def store_unreadable(self, now: int, why: str) -> None:
        """The disk can't be read, nor what is on it salvaged."""
        self._store_done, self.store_error, self.store_behind, self.starts_empty = (
            True,
            why,
            True,
            True,
        )  # it remembers nothing
        self._host.log("unread", why=why)
        self.tick(now)

    def persisted(self, now: int, number: int, sequence: int, why: str) -> None:
        """What was to be kept is on the disk, or (`why`) is not known to be."""
        if why != self.store_error:
            self._host.log("disk", why=why)
        self.store_error = why
        if not why:
            self.own_marker = Marker(self.own_marker.store, max(sequence, self.own_marker.sequence))
        self._persist_callbacks.pop(number, lambda fine: None)(not why)

    def _persist(
        self, facts: tuple[Fact, ...], done: Callable[[bool], None] = lambda fine: None
    ) -> None:
        number, self._next_id = self._next_id, self._next_id + 1
        self._persist_callbacks[number] = done
        self._host.persist(number, facts)

    def _persist_own(self, facts: tuple[Fact, ...]) -> None:
        """Facts of this balancer itself, whose number only grows here."""
        made = []
        for fact in facts:
            before = self.facts.get(*fact.key)
            if before is None or before.value != fact.value:
                made.append(
                    Fact(
                        fact.kind,
                        fact.name,
                        ((before.version[0] if before else 0) + 1,),
                        fact.value,
                        fact.source,
                        fact.recorded_at,
                    )
                )
                self.facts.merge(made[-1], Provenance.LIVE)
        if made:
            self._persist(tuple(made))

    def own_incarnation_changed(self, now: int, incarnation: int, turn: int) -> None:
        """This balancer's own, by membership."""
        self._persist_own((Fact(SELF, "", (1,), [incarnation, turn], self.name, now),))

    @property
    def next_incarnation(self) -> tuple[int, int]:
        """Incarnation and turn that a start goes on from: above those of before, which others may still be told."""
        held = self.facts.get(SELF)
        return (int(held.value[0]) + 1, int(held.value[1]) + 1) if held is not None else (0, 1)

    def count_changed(self, now: int, balancers: int) -> None:
        held = self.facts.get(COUNT)
        if held is None or held.value != balancers:
            self._merge_shared(
                now,
                [
                    Fact(
                        COUNT,
                        "",
                        ((held.version[0] if held else 0) + 1,),
                        balancers,
                        self.name,
                        now,
                    )
                ],
                Provenance.LIVE,
            )

    def sizes_changed(self, now: int, sizes: dict[str, float]) -> None:
        """What servers can do, as the decisions know it; kept now and then."""
        held = self.facts.get(SIZES)
        before = held.value if held is not None else {}
        if any(
            abs(size - before.get(name, 0.0)) > SIZE_CHANGE * size for name, size in sizes.items()
        ):
            self._merge_shared(
                now,
                [
                    Fact(
                        SIZES,
                        "",
                        ((held.version[0] if held else 0) + 1,),
                        {**before, **sizes},
                        self.name,
                        now,
                    )
                ],
                Provenance.LIVE,
            )

    @property
    def max_balancers(self) -> int:
        """That there may be, before any is known: the hint may only raise it."""
        held = self.facts.get(COUNT)
        return max(self._expected, int(held.value) if held is not None else 0)

    def stopping(self, now: int) -> None:
        """Told to stop: the next start is no recovery from a loss."""
        self._persist_own((Fact(ENDED, "", (1,), [self._boot, True], self.name, now),))

    # Peers

    def members_changed(self, now: int, living: list[str], admitted: bool) -> None:
        """Whom membership holds for living, this one not; whether it has done what a start does."""
        self._live_peers = living
        if admitted and not self._membership_ready:
            self._membership_ready = True
        self.tick(now)

    @property
    def state_complete(self) -> bool:
        """Whether it has what was said before: one that lived told it, or enough that a word is on one of their disks; or there was
        nothing, as nobody remembers any."""
        return (
            self.live_peer_replied
            or self._alone
            or sum(self.replies.values())
            >= min(self.config.wanted_replies, self.max_balancers // 2)
            or len(self.replies) >= min(self.config.max_queries, self.max_balancers - 1)
        )

    def _request_state(self, now: int, name: str, whole: bool) -> None:
        number, self._next_id = self._next_id, self._next_id + 1
        self._requests[number] = name, now
        self._host.request_state(
            number,
            name,
            StateRequest(self.name, self._instance_id, self.own_marker, self.facts.digest, whole),
            now + int(self.config.reply_timeout * self.config.period),
        )

    def reply_received(self, now: int, number: int, answer: StateReply) -> None:
        if self._requests.pop(number, None) is None:
            return
        if self.starts_empty and not self.replies:
            # One answer may be of a disk that lost the same: the others are asked as long as one that remembers would ask.
            self._query_deadline = max(
                self._query_deadline,
                now + int(self.config.unclean_query_timeout * self.config.period),
            )
        self.replies[answer.sender] = answer.has_memory or self.replies.get(answer.sender, False)
        self.peer_markers[answer.sender] = answer.marker
        changed = [
            fact
            for fact, told in zip(answer.facts, answer.provenances)
            if fact.kind in SHARED
            and self.facts.merge(
                fact,
                Provenance.LIVE
                if answer.lived_through and provenance_of(told) is Provenance.LIVE
                else Provenance.HEARD,
            )
        ]
        mine = answer.requester_marker
        if (
            self._store_done
            and mine.store
            and (mine.store != self.own_marker.store or mine.sequence > self.own_marker.sequence)
        ):
            # Shown by a peer: a disk that went back, was emptied, or lied about a sync.
            if not self.store_behind:
                self._host.log(
                    "behind",
                    by=answer.sender,
                    had=mine.sequence,
                    has=self.own_marker.sequence,
                    other_store=mine.store != self.own_marker.store,
                )
            self.store_behind = True
        if self.starts_empty and answer.power_lost:
            self.power_lost = True  # one that remembers says so
        if answer.lived_through:
            # It has been told all that was told meanwhile; two that have both only read can't say so of each other.
            self.live_peer_replied = True
            self.known_start_times = {
                **answer.start_times,
                **{
                    key: max(age, answer.start_times.get(key, 0))
                    for key, age in self.known_start_times.items()
                },
            }
            if self.store_behind:
                self.store_behind = False
                self._host.log("made good", by=answer.sender)
        if changed:
            self._persist(tuple(changed))
        self._apply_facts(changed)
        self.tick(now)

    def request_failed(self, now: int, number: int) -> None:
        self._requests.pop(number, None)
        self.tick(now)

    def state_requested(self, now: int, ask: StateRequest) -> StateReply:
        """A peer asks."""
        yours = self.peer_markers.get(ask.sender, Marker())
        told = (
            self.facts.shared()
            if ask.full
            else [held for held in self.facts.shared() if held.fact.kind in BINDING_SHARED]
        )
        if ask.digest == self.facts.digest and not ask.full:
            told = []
        lived = self.phase is RecoveryPhase.FULL and self.state_complete
        answer = StateReply(
            self.name,
            self._instance_id,
            lived,
            tuple(held.fact for held in told),
            tuple(int(held.provenance) for held in told),
            self.own_marker,
            yours,
            self._host.server_start_times() if lived and ask.full else {},
            self._has_memory,
            self._assume_cold,
        )
        if ask.marker.store and (
            ask.marker.store != yours.store or ask.marker.sequence > yours.sequence
        ):
            self._record_marker(now, ask.sender, ask.marker)
        return answer

    def _record_marker(self, now: int, name: str, marker: Marker) -> None:
        """How far a peer's disk has come. Kept with the next thing that is kept: one a word is enough."""
        self.peer_markers[name] = marker

    def replicate_received(
        self, now: int, tell: Replicate, reply: Callable[[ReplicateReply], None]
    ) -> None:
        """A peer tells: answered once it is on this disk, or is known not to get there."""
        self._record_marker(now, tell.sender, tell.marker)
        newer = []
        changed = []
        for fact in tell.facts:
            if fact.kind not in BINDING_SHARED:
                continue
            if self.facts.merge(fact, Provenance.LIVE):
                changed.append(fact)
            else:
                held = self.facts.get(*fact.key)
                if held is not None and held.rank > fact.rank:
                    newer.append(held)
        marker = self.peer_markers[tell.sender]
        kept = (
            *(fact for fact in tell.facts if fact.kind in BINDING_SHARED and not newer),
            Fact(
                MARKER,
                tell.sender,
                (marker.sequence,),
                [marker.store, marker.sequence],
                tell.sender,
                now,
            ),
        )
        self._persist(kept, lambda fine: reply(ReplicateReply(fine, tuple(newer), self.own_marker)))
        self._apply_facts(changed)

    # Operators' words

    def set_out_of_service(
        self, now: int, server: str, out: bool, done: Callable[[ReplicationOutcome, int, int], None]
    ) -> None:
        """In force here from now on; `done` once enough others keep it or can't be reached, with how many keep it and how many should."""
        facts = [Fact(OUT, server, self.facts.next_version(OUT, server), out, self.name, now)]
        drain = self.facts.get(DRAIN, server)
        if not out and drain is not None and drain.value:
            # Operators say it for a list that can't: its numbers begin anew, or it is older than the drain.
            facts.append(
                Fact(
                    DRAIN,
                    server,
                    (*drain.version[:2], (drain.version[2] if len(drain.version) > 2 else 0) + 1),
                    False,
                    self.name,
                    now,
                )
            )
        for fact in facts:
            self.facts.merge(fact, Provenance.LIVE)
        self._apply_facts(facts)
        self._replicate(now, facts, done)

    def _replicate(
        self, now: int, facts: list[Fact], done: Callable[[ReplicationOutcome, int, int], None]
    ) -> None:
        number, self._next_id = self._next_id, self._next_id + 1
        replication = self._replications[number] = _Replication(
            facts[0], done, now + int(self.config.replication_timeout * self.config.period)
        )
        replication.unsent = list(self._live_peers)
        self._rng.shuffle(replication.unsent)

        def kept(fine: bool) -> None:
            replication.persisted_here = fine
            self._update_replication(now, number)

        self._persist(tuple(facts), kept)
        self._send_replications(now, number, facts)
        self._update_replication(now, number)

    def _send_replications(self, now: int, number: int, facts: list[Fact]) -> None:
        replication = self._replications[number]
        while (
            replication.unsent
            and len(replication.pending) < self.config.max_concurrent_replications
        ):
            name = replication.unsent.pop()
            replication.pending.add(name)
            tell, self._next_id = self._next_id, self._next_id + 1
            self._replicate_calls[tell] = number, name
            self._host.replicate(
                tell,
                name,
                Replicate(self.name, self._instance_id, self.own_marker, tuple(facts)),
                replication.deadline,
            )  # a disk's time too

    def replicate_reply_received(self, now: int, number: int, told: ReplicateReply | None) -> None:
        """A peer's answer to what it was told; None: there is none."""
        at, name = self._replicate_calls.pop(number, (0, ""))
        if told is not None and told.marker.store:
            self._record_marker(now, name, told.marker)
        replication = self._replications.get(at)
        if replication is None:
            return
        replication.pending.discard(name)
        newer = (
            [
                fact
                for fact in told.newer
                if fact.key == replication.fact.key and fact.rank > replication.fact.rank
            ]
            if told
            else []
        )
        if newer:
            # This balancer's knowledge was old: its word is said anew, above what the others hold.
            self.facts.merge(newer[0], Provenance.HEARD)
            del self._replications[at]
            fact = Fact(
                OUT,
                replication.fact.name,
                (newer[0].version[0] + 1,),
                replication.fact.value,
                self.name,
                now,
            )
            self.facts.merge(fact, Provenance.LIVE)
            self._apply_facts([fact])
            if not replication.finished:
                self._replicate(now, [fact], replication.callback)
            return
        if told is not None and told.persisted:
            replication.persisted_by.add(name)
        self._send_replications(now, at, [replication.fact])
        self._update_replication(now, at)

    def _wanted_copies(self) -> int:
        """Disks that a word is on before operators get a yes, this one's too."""
        fleet = max(len(self._live_peers) + 1, 1 if self._alone else self.max_balancers)
        return min(1 + self.config.copies, fleet // 2 + 1)

    def _update_replication(self, now: int, number: int) -> None:
        replication = self._replications.get(number)
        if replication is None:
            return
        keep = len(replication.persisted_by) + (replication.persisted_here is True)
        wanted = self._wanted_copies()
        if not replication.finished:
            done = (
                replication.persisted_here is not None
                and not replication.pending
                and not replication.unsent
            )
            if keep >= wanted:
                replication.finished = True
                replication.callback(ReplicationOutcome.KEPT, keep, wanted)
            elif done or now >= replication.deadline:
                replication.finished = True
                replication.callback(ReplicationOutcome.PARTLY, keep, wanted)
        if (
            replication.finished
            and replication.persisted_here is not None
            and not replication.pending
            and not replication.unsent
        ):
            self._replications.pop(number, None)

    # What is believed

    def _apply_facts(self, changed: Iterable[Fact]) -> None:
        changed = list(changed)
        out = {fact.name for fact in changed if fact.kind == OUT and fact.value}
        back = {fact.name for fact in changed if fact.kind == OUT and not fact.value}
        if out or back:
            self._host.apply_recovered(out, back)
        if any(fact.kind in (DRAIN, LIST) for fact in changed):
            self._host.reapply_list()

    def _merge_shared(self, now: int, facts: list[Fact], known: Provenance) -> None:
        changed = tuple(fact for fact in facts if self.facts.merge(fact, known))
        if changed:
            self._persist(changed)

    def update_drain(self, now: int, name: str, started_at: int, index: int, leaving: bool) -> bool:
        """The list says of a server that it leaves, or is ready; returns whether it is held for leaving."""
        held = self.facts.get(DRAIN, name)
        if leaving:
            if held is None or not held.value or held.version < (started_at, index):
                self._merge_shared(
                    now,
                    [Fact(DRAIN, name, (started_at, index), True, "discovery", now)],
                    Provenance.LIVE,
                )
            return True
        if held is None or not held.value:
            return False
        if held.version >= (started_at, index):
            return True
        self._merge_shared(
            now, [Fact(DRAIN, name, (started_at, index), False, "discovery", now)], Provenance.LIVE
        )
        return False

    def list_received(self, now: int, servers: list[StoredServer], index: int) -> None:
        """The whole list, as discovery tells it now: kept as places to ask."""
        listed = {server.name for server in servers}
        for held in (
            self._assumed_start,
            self._first_answer_at,
            self._connections,
            self._restarted_at,
            self.known_start_times,
        ):
            for name in [name for name in held if name not in listed]:
                del held[name]
        self._unresponsive &= listed
        # Guards against growth with every server that ever was: drains of those that are gone end with age.
        gone = [held.fact for held in self.facts.of_kind(DRAIN) if held.fact.name not in listed]
        for fact in sorted(gone, key=lambda fact: fact.version)[
            : max(0, len(gone) - self.config.max_gone_drains)
        ]:
            self.facts.remove(fact)
            self._host.delete_persisted((fact,))
        self._merge_shared(
            now, [Fact(LIST, "", (index,), servers, "discovery", now)], Provenance.LIVE
        )

    def server_unresponsive(self, now: int, name: str) -> None:
        """A server has not answered, or has broken a connection."""
        self._unresponsive.add(name)

    def server_answered(self, now: int, name: str, connections: float | None = None) -> None:
        """A server has answered a probe, with how many connections it holds: it has not started later than that."""
        before = self._connections.get(name, 0.0)
        if connections is not None:
            self._connections[name] = connections
        if name not in self._first_answer_at:
            self._first_answer_at[name] = max(now, self._assumed_start.get(name, now))
            if self._assume_cold and self._first_answer_at[name] > self._assumed_start.get(
                name, now
            ):
                self._host.reapply_list()  # it is colder than it was taken for
        elif (
            name in self._unresponsive
            and connections is not None
            and before >= LOST_FROM
            and connections < LOST_PART * before
        ):
            # Guards against a server that was away for a second or two while no list tells of it: what it held is gone. Also holds
            # against one whose process was replaced behind one address. Hurts one that was only stopped while its clients were moved.
            self._restarted_at[name] = now
            self._host.log("a server began anew", server=name, held=before, holds=connections)
            self._host.reapply_list()
        self._unresponsive.discard(name)

    @property
    def _assume_cold(self) -> bool:
        """Whether servers are taken to have started with this loss: it took the power, and nobody lived to know better.

        Guards against servers that are back before any list says that they were away. Hurts where only the balancers' machines were
        lost: warm servers then get what cold ones may."""
        return self.power_lost and not self.live_peer_replied

    def effective_start(self, now: int, name: str, told: int) -> int:
        """When a server is taken to have started, of which the list says `told`. After a loss of power that is when it first answered: what
        the disk or an old list says is nothing, and what one that lived knows is more."""
        told = max(
            min(told, now), self._restarted_at.get(name, 0)
        )  # a clock that is ahead keeps no server cold for a year
        if name in self.known_start_times:
            return max(told, min(now, self.known_start_times[name]))
        return (
            max(
                told,
                self._first_answer_at.get(
                    name,
                    self._assumed_start.setdefault(name, now + self.config.period // LOOK_PART),
                ),
            )
            if self._assume_cold
            else told
        )

    # Clients

    def admit_login(self, now: int, importance: float) -> int | None:
        """None: let in, and `ended` is called once. Otherwise the time after which to come back, ns."""
        if self.phase is RecoveryPhase.FULL:
            return None
        if (
            self.admission is not None
            and self.phase is RecoveryPhase.OPEN
            and self.admission.may_pass(now, importance)
        ):
            return None
        return retry_after(self._rng, self.config.max_retry_after, importance)

    def login_finished(self, now: int, up: bool | None) -> None:
        """How a login that was let in while the door opened went."""
        if self.admission is not None:
            self.admission.ended(up)
            if self.admission.wide_enough and self.phase is RecoveryPhase.OPEN:
                self._enter(now, RecoveryPhase.FULL, "servers bear it")

    def exploration_state(self, now: int) -> object:
        """All that bears on what it does next, times told from now: for exploration."""
        return (
            self.phase,
            sorted(
                (held.fact.key, held.fact.version, held.provenance)
                for kind in KINDS
                for held in self.facts.of_kind(kind)
            ),
            self._live_peers,
            sorted(self._requests.items()),
            sorted(self._queries_sent.items()),
            sorted(self.replies.items()),
            self.live_peer_replied,
            self.store_behind,
            self.starts_empty,
            self.unclean_stop,
            self.power_lost,
            self._query_deadline - now,
            self.own_marker,
            sorted(self.peer_markers.items()),
            sorted(
                (
                    number,
                    replication.persisted_here,
                    sorted(replication.persisted_by),
                    sorted(replication.pending),
                    replication.finished,
                )
                for number, replication in self._replications.items()
            ),
            self.admission and (self.admission.window, self.admission.under_way),
        )

    # The order

    def servers_probed(self, now: int, ready: Collection[str], all_heard: bool) -> None:
        """These servers may serve; whether a probe of each has come to an end."""
        if self.phase is RecoveryPhase.LOOK and ready and all_heard:
            if self.live_peer_replied:
                self._enter(now, RecoveryPhase.FULL, "others served on")
                return
            self.admission = AdmissionControl(
                now,
                self.config.cold,
                len(ready),
                max(self.max_balancers, len(self._live_peers) + 1),
            )
            self._enter(now, RecoveryPhase.OPEN, f"{len(ready)} servers")
        if self.phase is RecoveryPhase.OPEN and self.admission is not None:
            held = self.facts.get(SIZES)
            sizes = held.value if held is not None else {}
            cold = [
                (since, sizes.get(name, 0.0))
                for name in ready
                if (since := self._cold_since(now, name)) is not None
            ]
            if cold:
                self.admission.cold(now, cold, max(self.max_balancers, len(self._live_peers) + 1))
            else:
                self.admission.warm()

    def _cold_since(self, now: int, name: str) -> int | None:
        """Since when a server warms up; None: it is not taken for cold."""
        since = (
            self._first_answer_at.get(name, self._assumed_start.get(name))
            if self._assume_cold
            else self.known_start_times.get(name)
        )
        return since if since is not None and now - since < self.config.cold.ramp else None

    def tick(self, now: int) -> int:
        """Does what is due; returns when the next is."""
        config = self.config
        if self.phase is RecoveryPhase.READ and (self._store_done or now >= self._store_deadline):
            if not self._store_done:
                self.store_error = self.store_error or "it has not answered"
                self._store_done = self.starts_empty = (
                    True  # as one that remembers nothing, till it answers
                )
            self._enter(now, RecoveryPhase.ASK, self.store_error or "read")
        if (
            self._membership_ready
            and self.phase > RecoveryPhase.READ
            and (self.phase is RecoveryPhase.ASK or not self.state_complete)
        ):
            self._query_peers(now)
        if self.phase >= RecoveryPhase.LOOK and self._live_peers and now >= self._next_sync_at:
            self._next_sync_at = now + int(
                config.sync_interval * config.period * self._rng.uniform(0.5, 1.5)
            )
            self._request_state(now, self._rng.choice(self._live_peers), False)
        for number in list(self._replications):
            self._update_replication(now, number)
        due = [
            self._next_sync_at
            if self.phase >= RecoveryPhase.LOOK and self._live_peers
            else now + config.period
        ]
        if self.phase is RecoveryPhase.READ:
            due.append(self._store_deadline)
        elif self.phase is RecoveryPhase.ASK:
            due.append(max(now + 1, self._query_deadline))
        due += [
            replication.deadline
            for replication in self._replications.values()
            if not replication.finished
        ]
        return max(now + 1, min(due))

    def _query_peers(self, now: int) -> None:
        """A few of those that live, by chance: an answer is worth the same whoever gives it, and hundreds may ask at once."""
        under_way = {name for name, _ in self._requests.values()}
        left = [
            name for name in self._live_peers if name not in under_way and name not in self.replies
        ]
        wanted = 0 if self.state_complete else self.config.wanted_replies - len(self._requests)
        while wanted > 0 and left and sum(self._queries_sent.values()) < self.config.max_queries:
            fewest = min(
                self._queries_sent.get(name, 0) for name in left
            )  # a call may be lost: nobody is given up by one
            name = self._rng.choice(
                [name for name in left if self._queries_sent.get(name, 0) == fewest]
            )
            left.remove(name)
            self._queries_sent[name] = fewest + 1
            self._request_state(now, name, True)
            wanted -= 1
        if (
            self.phase is not RecoveryPhase.ASK
            or not self.state_complete
            and (self._requests or now < self._query_deadline)
        ):
            return  # others may be starting too: a bound on a question that nobody may answer
        if self.starts_empty and not self.replies and not self._alone:
            return  # without any memory it may not serve before one has answered: see `store init` for a fleet's first
        self._enter(
            now,
            RecoveryPhase.LOOK,
            f"{len(self.replies)} peers answered"
            + ("" if self.state_complete else ", not enough to know all"),
        )

    def _enter(self, now: int, step: RecoveryPhase, why: str) -> None:
        self.phase = step
        if step is RecoveryPhase.ASK:
            self._query_deadline = now + int(
                (
                    self.config.unclean_query_timeout
                    if self.unclean_stop
                    else self.config.clean_query_timeout
                )
                * self.config.period
            )
        self._host.phase_changed(step, why)
        if step is RecoveryPhase.LOOK:
            self._assumed_start.clear()
            self._host.reapply_list()
            self._host.probe_servers(self.config.period // LOOK_PART)
