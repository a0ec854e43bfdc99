"""Recovery of a balancer after a start, and durable replication of operator overrides.

The phases: READ loads the local store. ASK queries a few live peers for newer facts. LOOK waits
until each server that may serve has replied to a probe or failed to. OPEN admits logins as the
servers take them (see `admission`). FULL admits all. In every phase each login is answered at once,
by admission or rejection.

Does no I/O and reads no clock: the caller passes in each event with its time, and the module acts
through its `Host`.

Invariants: never waits for a fixed time where an event can end the wait; never waits for a peer
that waits for this balancer; a fact that was only read from a disk never confirms another one that
was; an override is never acknowledged to operators before it is on enough disks.
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

# The first probes are spread over the period divided by this, as hundreds of balancers may start at
# once.
PROBE_SPREAD = 5
# A server that held at least so many connections and now holds less than this share of them has
# restarted.
RESTART_MIN_CONNECTIONS, RESTART_MAX_SHARE = (4.0, 0.25)
# Relative change of a server's size that is worth a write.
MIN_SIZE_CHANGE = 0.2


class RecoveryPhase(IntEnum):
    """Phase of the recovery after a start; see the module's docstring."""

    READ = 0
    ASK = 1
    LOOK = 2
    OPEN = 3
    FULL = 4


class RecoveryConfig(NamedTuple):
    """Timeouts and limits.

    `period` and `max_retry_after` are in ns; other times are in probe periods.
    """

    period: int = 1_000_000_000
    # After this time the recovery goes on without the local store; it is merged when it loads late.
    store_timeout: float = 3.0
    # For a peer's reply.
    reply_timeout: float = 1.0
    # How long to wait for peers that have not started yet, after a clean stop.
    clean_query_timeout: float = 2.0
    # The same without a clean stop: the local store may lack the last facts.
    unclean_query_timeout: float = 5.0
    # Replies of peers that are wanted at a start.
    wanted_replies: int = 3
    # Queries to peers that are sent at a start, at most.
    max_queries: int = 12
    # Peers that must have stored an override before it is acknowledged; fewer in a fleet whose
    # majority is smaller.
    copies: int = 2
    # Peers to which one override is sent at the same time.
    max_concurrent_replications: int = 8
    # For the acknowledgement of an override.
    replication_timeout: float = 5.0
    # Mean time between two comparisons with a random peer.
    sync_interval: float = 10.0
    # Drains that are kept of servers that are no longer listed, the newest ones.
    max_gone_drains: int = 1000
    # Longest time after which a rejected login is to retry.
    max_retry_after: int = 1_000_000_000
    # The cold rule of the settings.
    cold: ColdRule = ColdRule(1.0, 1, 1.0, 1)


class Host(Protocol):
    """Actions that the recovery takes through its environment."""

    def request_state(self, request_id: int, name: str, message: StateRequest, until: int) -> None:
        """Queries a peer; ends in `reply_received`, or in `request_failed` by the time `until`."""
        ...

    def replicate(self, request_id: int, name: str, message: Replicate, until: int) -> None:
        """Sends facts to a peer; ends in `replicate_reply_received` by the time `until`."""
        ...

    def persist(self, write_id: int, facts: tuple[Fact, ...]) -> None:
        """Writes facts to the local store; ends in `persisted`."""
        ...

    def delete_persisted(self, facts: tuple[Fact, ...]) -> None:
        """Deletes facts from the local store."""
        ...

    def apply_recovered(self, out_of_service: set[str], restored: set[str]) -> None:
        """Applies operator overrides: servers out of service, and servers restored to service."""
        ...

    def probe_servers(self, span: int) -> None:
        """Probes each server that may serve, at a random time within the span in ns."""
        ...

    def reapply_list(self) -> None:
        """Applies the list of servers again, because facts that bear on it have changed."""
        ...

    def server_start_times(self) -> dict[str, int]:
        """Returns the start time of each server as the decision module knows it."""
        ...

    def phase_changed(self, phase: RecoveryPhase, reason: str) -> None:
        """The recovery has entered a phase."""
        ...

    def log(self, what: str, **fields: object) -> None:
        """Writes a log line, as an event and its fields."""
        ...


class NullHost:
    """A host that ignores every call, as a base class for hosts that need only some of them."""

    def request_state(self, request_id: int, name: str, message: StateRequest, until: int) -> None:
        pass

    def replicate(self, request_id: int, name: str, message: Replicate, until: int) -> None:
        pass

    def persist(self, write_id: int, facts: tuple[Fact, ...]) -> None:
        pass

    def delete_persisted(self, facts: tuple[Fact, ...]) -> None:
        pass

    def apply_recovered(self, out_of_service: set[str], restored: set[str]) -> None:
        pass

    def probe_servers(self, span: int) -> None:
        pass

    def reapply_list(self) -> None:
        pass

    def server_start_times(self) -> dict[str, int]:
        return {}

    def phase_changed(self, phase: RecoveryPhase, reason: str) -> None:
        pass

    def log(self, what: str, **fields: object) -> None:
        pass


class ReplicationOutcome(IntEnum):
    """How the replication of an operator override ended."""

    KEPT = 0  # stored on enough disks
    PARTLY = 1  # in force at this balancer, and stored on too few disks


@dataclass(slots=True)
class _Replication:
    """The replication of an override to this store and to the peers."""

    facts: tuple[Fact, ...]  # the override, then what goes with it
    callback: Callable[[ReplicationOutcome, int, int], None]
    deadline: int
    persisted_here: bool | None = None  # whether it is in the local store; None: not known yet
    persisted_by: set[str] = field(default_factory=set)  # peers that have stored it
    pending: set[str] = field(default_factory=set)  # peers that have not replied yet
    unsent: list[str] = field(default_factory=list)  # peers to which it is still to be sent
    finished: bool = False

    @property
    def fact(self) -> Fact:
        """The override itself."""
        return self.facts[0]


def _ignore_outcome(outcome: ReplicationOutcome, copies: int, wanted: int) -> None:
    """The callback of a replication whose caller has been answered."""


class Recovery:
    """The recovery of one balancer: its phase, its facts and the admission of logins."""

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
        """Creates a recovery in the phase READ.

        Args:
            host: carries out the actions.
            rng: source of random numbers.
            config: timeouts and limits.
            now: current time, in ns.
            name: name of this balancer.
            instance_id: random number of this process.
            boot: identifies the boot of the machine.
            expected: number of balancers by the settings.
            alone: whether no peers are configured.
            disk: whether there is a store to load.
        """
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
        self._opened_marker = Marker()  # the store's position when it was loaded
        # By peer: the highest position of this store that this process may have told it.
        self._told_sequences: dict[str, int] = {}
        self._store_deadline = now + int(config.store_timeout * config.period) if disk else now
        self._store_done = not disk
        self.store_error = ""  # the store's present error; empty: none
        # Whether the store is known to lack facts that it once had, and no peer that lived through
        # it has replied since.
        self.behind = False
        self._live_peers: list[str] = []
        self._membership_ready = alone
        self._requests: dict[int, tuple[str, int]] = {}  # by request id: peer, time
        self._next_id = 1
        self._queries_sent: dict[str, int] = {}  # by peer, in this start
        self._query_deadline = now
        self.replies: dict[str, bool] = {}  # by peer that replied: whether its store had facts
        # Whether the previous process ended without being told to stop: its store may lack the last
        # facts.
        self.unclean_stop = False
        self.live_peer_replied = False  # a peer that lived through the outage has replied
        self.known_start_times: dict[str, int] = {}
        self.power_lost = False
        self._has_memory = False
        self.starts_empty = False  # the store had no facts: it is new, or was lost
        self._started_at = now
        self._unresponsive: set[str] = set()  # servers that did not reply to the last probe
        self._connections: dict[str, float] = {}  # by server, from its last report
        # By server: when its report showed that it had lost its connections.
        self._restarted_at: dict[str, int] = {}
        # By server: the assumed time of its start, and the time of its first reply to a probe.
        self._assumed_start: dict[str, int] = {}
        self._first_reply_at: dict[str, int] = {}
        self.admission: AdmissionControl | None = None
        self._replications: dict[int, _Replication] = {}
        # By request id: replication id, peer.
        self._replicate_calls: dict[int, tuple[int, str]] = {}
        self._persist_callbacks: dict[int, Callable[[bool], None]] = {}
        self._next_sync_at = now
        self.peer_markers: dict[str, Marker] = {}  # by peer, its store's last known position

    # The local store

    def store_loaded(
        self,
        now: int,
        facts: Iterable[Fact],
        marker: Marker,
        fresh: bool,
        lost: str = "",
        error: str = "",
    ) -> None:
        """The store has been loaded, in time or late.

        Args:
            now: current time, in ns.
            facts: the facts in the store.
            marker: the store's position.
            fresh: whether the store was new.
            lost: what a damaged store lost; empty: nothing.
            error: why the store can't be written; empty: it can.
        """
        late, self._store_done = self._store_done, True
        self.own_marker, self._opened_marker, self.store_error = marker, marker, error
        changed = [fact for fact in facts if self.facts.merge(fact, Provenance.READ)]
        self.behind = self.behind or bool(lost)
        ended = self.facts.get(ENDED)
        # Decided by the boot of the machine, because killing the program has no effect on the
        # servers.
        self.power_lost = not fresh and (ended is None or ended.value[0] != self._boot)
        self.unclean_stop = not fresh and (ended is None or not ended.value[1])
        self.starts_empty = fresh
        # A store that can't be written lacks the last facts.
        self._has_memory = not fresh and not lost and not error
        for known in self.facts.of_kind(MARKER):
            self.peer_markers.setdefault(known.fact.name, Marker(*known.fact.value))
        self._host.log(
            "read",
            facts=len(changed),
            fresh=fresh,
            commit=marker.sequence,
            late=late,
            power_lost=self.power_lost,
            lost=lost,
            trouble=error,
        )
        self._persist_own((Fact(ENDED, "", (1,), [self._boot, False], self.name, now),))
        self._apply_facts(changed)
        self.tick(now)

    def store_unreadable(self, now: int, reason: str) -> None:
        """The store can't be read or salvaged; the balancer starts without facts."""
        self._store_done, self.store_error, self.behind, self.starts_empty = (
            True,
            reason,
            True,
            True,
        )
        self._host.log("unread", why=reason)
        self.tick(now)

    def persisted(self, now: int, write_id: int, sequence: int, reason: str) -> None:
        """A write has ended: the facts are on the disk, or, with a reason, they may not be."""
        if reason != self.store_error:
            self._host.log("disk", why=reason)
        self.store_error = reason
        if not reason:
            self.own_marker = Marker(self.own_marker.store, max(sequence, self.own_marker.sequence))
        self._persist_callbacks.pop(write_id, lambda succeeded: None)(not reason)

    def _persist(
        self, facts: tuple[Fact, ...], callback: Callable[[bool], None] = lambda succeeded: None
    ) -> None:
        """Starts a write of facts; the callback gets whether it succeeded."""
        write_id, self._next_id = self._next_id, self._next_id + 1
        self._persist_callbacks[write_id] = callback
        self._host.persist(write_id, facts)

    def _persist_own(self, facts: tuple[Fact, ...]) -> None:
        """Stores facts of this balancer itself that have changed, each with the next version."""
        updated = []
        for fact in facts:
            previous = self.facts.get(*fact.key)
            if previous is None or previous.value != fact.value:
                updated.append(
                    Fact(
                        fact.kind,
                        fact.name,
                        ((previous.version[0] if previous else 0) + 1,),
                        fact.value,
                        fact.source,
                        fact.recorded_at,
                    )
                )
                self.facts.merge(updated[-1], Provenance.LIVE)
        if updated:
            self._persist(tuple(updated))

    def own_incarnation_changed(self, now: int, incarnation: int, restart_count: int) -> None:
        """Stores this balancer's incarnation and restart count, as membership has them."""
        self._persist_own((Fact(SELF, "", (1,), [incarnation, restart_count], self.name, now),))

    @property
    def next_incarnation(self) -> tuple[int, int]:
        """Incarnation and restart count to start with, above those that peers may still gossip."""
        previous = self.facts.get(SELF)
        return (
            (int(previous.value[0]) + 1, int(previous.value[1]) + 1)
            if previous is not None
            else (0, 1)
        )

    def count_changed(self, now: int, balancers: int) -> None:
        """Stores the number of balancers."""
        previous = self.facts.get(COUNT)
        if previous is None or previous.value != balancers:
            self._merge_shared(
                now,
                [
                    Fact(
                        COUNT,
                        "",
                        ((previous.version[0] if previous else 0) + 1,),
                        balancers,
                        self.name,
                        now,
                    )
                ],
                Provenance.LIVE,
            )

    def sizes_changed(self, now: int, sizes: dict[str, float]) -> None:
        """Stores the sizes of the servers if one has changed enough."""
        current = self.facts.get(SIZES)
        previous = current.value if current is not None else {}
        if any(
            abs(size - previous.get(name, 0.0)) > MIN_SIZE_CHANGE * size
            for name, size in sizes.items()
        ):
            self._merge_shared(
                now,
                [
                    Fact(
                        SIZES,
                        "",
                        ((current.version[0] if current else 0) + 1,),
                        {**previous, **sizes},
                        self.name,
                        now,
                    )
                ],
                Provenance.LIVE,
            )

    @property
    def max_balancers(self) -> int:
        """Number of balancers that may exist; a stored count can only raise the configured one."""
        stored = self.facts.get(COUNT)
        return max(self._expected, int(stored.value) if stored is not None else 0)

    def stopping(self, now: int) -> None:
        """Stores that this process was told to stop, so the next start does not follow a loss."""
        self._persist_own((Fact(ENDED, "", (1,), [self._boot, True], self.name, now),))

    # Peers

    def members_changed(self, now: int, live_peers: list[str], admitted: bool) -> None:
        """Membership has changed.

        Args:
            now: current time, in ns.
            live_peers: peers that are alive.
            admitted: whether membership has admitted this balancer.
        """
        self._live_peers = live_peers
        if admitted and not self._membership_ready:
            self._membership_ready = True
        self.tick(now)

    @property
    def state_complete(self) -> bool:
        """Whether all facts of before the start are known.

        That holds if a peer that lived through the outage has replied, if so many peers with stored
        facts have replied that one of them has each acknowledged override, or if no peer has any
        facts.
        """
        return (
            self.live_peer_replied
            or self._alone
            or sum(self.replies.values())
            >= min(self.config.wanted_replies, self.max_balancers // 2)
            or len(self.replies) >= min(self.config.max_queries, self.max_balancers - 1)
        )

    def _request_state(self, now: int, name: str, full: bool) -> None:
        """Sends a query to a peer; `full` asks for all facts and start times."""
        request_id, self._next_id = self._next_id, self._next_id + 1
        self._requests[request_id] = name, now
        self._host.request_state(
            request_id,
            name,
            StateRequest(
                self.name,
                self._instance_id,
                self._marker_for(name, name in self.replies),
                self.facts.digest,
                full,
            ),
            now + int(self.config.reply_timeout * self.config.period),
        )

    def reply_received(self, now: int, request_id: int, reply: StateReply) -> None:
        """A peer has replied to a query."""
        if self._requests.pop(request_id, None) is None:
            return
        if self.starts_empty and not self.replies:
            # The disk of this peer may have lost the same facts, so the other peers are queried as
            # long as after an unclean stop.
            self._query_deadline = max(
                self._query_deadline,
                now + int(self.config.unclean_query_timeout * self.config.period),
            )
        self.replies[reply.sender] = reply.has_memory or self.replies.get(reply.sender, False)
        self._record_marker(reply.sender, reply.marker)
        changed = [
            fact
            for fact, provenance in zip(reply.facts, reply.provenances, strict=False)
            if fact.kind in SHARED
            and self.facts.merge(
                fact,
                Provenance.LIVE
                if reply.lived_through and provenance_of(provenance) is Provenance.LIVE
                else Provenance.HEARD,
            )
        ]
        known_marker = reply.requester_marker
        if (
            self._store_done
            and known_marker.store
            and (
                known_marker.store != self._opened_marker.store
                or known_marker.sequence
                > max(self._opened_marker.sequence, self._told_sequences.get(reply.sender, 0))
            )
        ):
            # The peer knows a later position of this store: it was rolled back or emptied, or
            # acknowledged a sync without doing it. The present position is no measure, because the
            # writes since the start may have reached the one that the peer knows.
            if not self.behind:
                self._host.log(
                    "behind",
                    by=reply.sender,
                    had=known_marker.sequence,
                    has=self._opened_marker.sequence,
                    other_store=known_marker.store != self.own_marker.store,
                )
            self.behind = True
        if self.starts_empty and reply.power_lost:
            self.power_lost = True
        if reply.lived_through:
            # This peer has received all facts meanwhile; two balancers that both only read their
            # disks can't confirm that.
            self.live_peer_replied = True
            self.known_start_times = {
                **reply.start_times,
                **{
                    key: max(start, reply.start_times.get(key, 0))
                    for key, start in self.known_start_times.items()
                },
            }
            if self.behind:
                self.behind = False
                self._host.log("made good", by=reply.sender)
        if changed:
            self._persist(tuple(changed))
        self._apply_facts(changed)
        self.tick(now)

    def request_failed(self, now: int, request_id: int) -> None:
        """A query to a peer has timed out or failed."""
        self._requests.pop(request_id, None)
        self.tick(now)

    def state_requested(self, now: int, request: StateRequest) -> StateReply:
        """Answers a peer's query."""
        requester_marker = self.peer_markers.get(request.sender, Marker())
        selected = (
            self.facts.shared()
            if request.full
            else [known for known in self.facts.shared() if known.fact.kind in BINDING_SHARED]
        )
        if request.digest == self.facts.digest and not request.full:
            selected = []
        lived_through = self.phase is RecoveryPhase.FULL and self.state_complete
        reply = StateReply(
            self.name,
            self._instance_id,
            lived_through,
            tuple(known.fact for known in selected),
            tuple(int(known.provenance) for known in selected),
            self._marker_for(request.sender, request.sender in self.replies),
            requester_marker,
            self._host.server_start_times() if lived_through and request.full else {},
            self._has_memory,
            self._assume_cold,
        )
        self._record_marker(request.sender, request.marker)
        return reply

    def _marker_for(self, name: str, present: bool) -> Marker:
        """Returns the position of this store to tell a peer, and remembers that it was told.

        Until the peer has replied to a query of this process, a query and its reply tell the
        position at which the store was loaded: the present one would replace what the peer knows
        from before. Facts are sent and acknowledged with the present one in any case.
        """
        if not present:
            return self._opened_marker
        self._told_sequences[name] = max(
            self._told_sequences.get(name, 0), self.own_marker.sequence
        )
        return self.own_marker

    def _record_marker(self, name: str, marker: Marker) -> None:
        """Remembers the highest known position of a peer's store.

        It is stored with the next override, which is often enough.
        """
        known = self.peer_markers.get(name, Marker())
        if marker.store and (marker.store != known.store or marker.sequence > known.sequence):
            self.peer_markers[name] = marker

    def replicate_received(
        self, now: int, request: Replicate, reply: Callable[[ReplicateReply], None]
    ) -> None:
        """A peer sends facts; the reply follows once they are stored or the write has failed."""
        self._record_marker(request.sender, request.marker)
        newer = []
        changed = []
        for fact in request.facts:
            if fact.kind not in BINDING_SHARED:
                continue
            if self.facts.merge(fact, Provenance.LIVE):
                changed.append(fact)
            else:
                current = self.facts.get(*fact.key)
                if current is not None and current.rank > fact.rank:
                    newer.append(current)
        marker = self.peer_markers.get(request.sender, Marker())
        outdated = {fact.key for fact in newer}
        written = (
            *(
                fact
                for fact in request.facts
                if fact.kind in BINDING_SHARED and fact.key not in outdated
            ),
            Fact(
                MARKER,
                request.sender,
                (marker.sequence,),
                [marker.store, marker.sequence],
                request.sender,
                now,
            ),
        )
        self._persist(
            written,
            lambda succeeded: reply(
                ReplicateReply(
                    succeeded, tuple(newer), self._marker_for(request.sender, present=True)
                )
            ),
        )
        self._apply_facts(changed)

    # Operator overrides

    def set_out_of_service(
        self,
        now: int,
        server: str,
        out_of_service: bool,
        callback: Callable[[ReplicationOutcome, int, int], None],
    ) -> None:
        """Takes a server out of service or restores it, and replicates that.

        It is in force at this balancer at once.

        Args:
            now: current time, in ns.
            server: name of the server.
            out_of_service: whether the server is taken out of service.
            callback: called once with the outcome, the number of disks that store it, and the
                number that should.
        """
        facts = [
            Fact(OUT, server, self.facts.next_version(OUT, server), out_of_service, self.name, now)
        ]
        drain = self.facts.get(DRAIN, server)
        if not out_of_service and drain is not None and drain.value:
            # Operators also end a drain that the list can't end, because its index restarted or it
            # is older than the drain.
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
        self._replicate(now, facts, callback)

    def _replicate_answered(self, now: int, facts: list[Fact]) -> None:
        """Replicates an override whose caller has been answered, to as many disks as it was told.

        Otherwise the answer would not hold after a loss of power. All other peers get the override
        with the exchange of states.
        """
        peers = self._rng.sample(self._live_peers, min(self.config.copies, len(self._live_peers)))
        self._replicate(now, facts, _ignore_outcome, peers)

    def _replicate(
        self,
        now: int,
        facts: list[Fact],
        callback: Callable[[ReplicationOutcome, int, int], None],
        peers: list[str] | None = None,
    ) -> None:
        """Starts to replicate facts that belong to one override; to all live peers by default."""
        replication_id, self._next_id = self._next_id, self._next_id + 1
        replication = self._replications[replication_id] = _Replication(
            tuple(facts), callback, now + int(self.config.replication_timeout * self.config.period)
        )
        replication.unsent = list(self._live_peers if peers is None else peers)
        self._rng.shuffle(replication.unsent)

        def on_persisted(succeeded: bool) -> None:
            replication.persisted_here = succeeded
            self._update_replication(now, replication_id)

        self._persist(tuple(facts), on_persisted)
        self._send_replications(replication_id)
        self._update_replication(now, replication_id)

    def _send_replications(self, replication_id: int) -> None:
        """Sends the facts to further peers, as far as the limit of concurrent calls allows."""
        replication = self._replications[replication_id]
        while (
            replication.unsent
            and len(replication.pending) < self.config.max_concurrent_replications
        ):
            name = replication.unsent.pop()
            replication.pending.add(name)
            request_id, self._next_id = self._next_id, self._next_id + 1
            self._replicate_calls[request_id] = replication_id, name
            self._host.replicate(
                request_id,
                name,
                Replicate(
                    self.name,
                    self._instance_id,
                    self._marker_for(name, present=True),
                    replication.facts,
                ),
                replication.deadline,
            )

    def replicate_reply_received(
        self, now: int, request_id: int, reply: ReplicateReply | None
    ) -> None:
        """A peer has replied to a replication; None: the call has failed."""
        replication_id, name = self._replicate_calls.pop(request_id, (0, ""))
        if reply is not None:
            self._record_marker(name, reply.marker)
        replication = self._replications.get(replication_id)
        if replication is None:
            return
        replication.pending.discard(name)
        newer = (
            [
                fact
                for fact in reply.newer
                if fact.key == replication.fact.key and fact.rank > replication.fact.rank
            ]
            if reply
            else []
        )
        if newer:
            # This balancer's version was outdated: the override is repeated with a version above
            # the peer's.
            self.facts.merge(newer[0], Provenance.HEARD)
            del self._replications[replication_id]
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
            facts = [fact, *replication.facts[1:]]
            if replication.finished:
                self._replicate_answered(now, facts)
            else:
                self._replicate(now, facts, replication.callback)
            return
        if reply is not None and reply.persisted:
            replication.persisted_by.add(name)
        self._send_replications(replication_id)
        self._update_replication(now, replication_id)

    def _wanted_copies(self) -> int:
        """Number of disks, with this one, that must store an override before it is acknowledged."""
        fleet = max(len(self._live_peers) + 1, 1 if self._alone else self.max_balancers)
        return min(1 + self.config.copies, fleet // 2 + 1)

    def _update_replication(self, now: int, replication_id: int) -> None:
        """Ends a replication if enough disks store the fact, all peers replied, or it timed out."""
        replication = self._replications.get(replication_id)
        if replication is None:
            return
        copies = len(replication.persisted_by) + (replication.persisted_here is True)
        wanted = self._wanted_copies()
        if not replication.finished:
            all_replied = (
                replication.persisted_here is not None
                and not replication.pending
                and not replication.unsent
            )
            if copies >= wanted:
                replication.finished = True
                replication.callback(ReplicationOutcome.KEPT, copies, wanted)
            elif all_replied or now >= replication.deadline:
                replication.finished = True
                replication.callback(ReplicationOutcome.PARTLY, copies, wanted)
        if (
            replication.finished
            and replication.persisted_here is not None
            and not replication.pending
            and not replication.unsent
        ):
            self._replications.pop(replication_id, None)

    # Effects of facts

    def _apply_facts(self, changed: Iterable[Fact]) -> None:
        """Passes on to the host what has changed."""
        changed = list(changed)
        out_of_service = {fact.name for fact in changed if fact.kind == OUT and fact.value}
        restored = {fact.name for fact in changed if fact.kind == OUT and not fact.value}
        if out_of_service or restored:
            self._host.apply_recovered(out_of_service, restored)
        if any(fact.kind in (DRAIN, LIST) for fact in changed):
            self._host.reapply_list()

    def _merge_shared(self, now: int, facts: list[Fact], provenance: Provenance) -> None:
        """Merges facts, and stores those that are new."""
        changed = tuple(fact for fact in facts if self.facts.merge(fact, provenance))
        if changed:
            self._persist(changed)

    def update_drain(self, now: int, name: str, started_at: int, index: int, leaving: bool) -> bool:
        """Records whether the list shows a server as leaving or as ready.

        Args:
            now: current time, in ns.
            name: name of the server.
            started_at: the server's start by the list, in ns.
            index: index of the list.
            leaving: whether the list shows the server as leaving.

        Returns:
            Whether the server is to be treated as leaving.
        """
        current = self.facts.get(DRAIN, name)
        if leaving:
            if current is None or not current.value or current.version < (started_at, index):
                self._merge_shared(
                    now,
                    [Fact(DRAIN, name, (started_at, index), True, "discovery", now)],
                    Provenance.LIVE,
                )
            return True
        if current is None or not current.value:
            return False
        if current.version >= (started_at, index):
            return True
        self._merge_shared(
            now, [Fact(DRAIN, name, (started_at, index), False, "discovery", now)], Provenance.LIVE
        )
        return False

    def list_received(self, now: int, servers: list[StoredServer], index: int) -> None:
        """Stores the full list of discovery, as the servers to probe after a restart."""
        listed = {server.name for server in servers}
        for known in (
            self._assumed_start,
            self._first_reply_at,
            self._connections,
            self._restarted_at,
            self.known_start_times,
        ):
            for name in [name for name in known if name not in listed]:
                del known[name]
        self._unresponsive &= listed
        # Bounds the number of stored drains: of the servers that are no longer listed, only the
        # newest ones are kept.
        gone = [known.fact for known in self.facts.of_kind(DRAIN) if known.fact.name not in listed]
        for fact in sorted(gone, key=lambda fact: fact.version)[
            : max(0, len(gone) - self.config.max_gone_drains)
        ]:
            self.facts.remove(fact)
            self._host.delete_persisted((fact,))
        self._merge_shared(
            now, [Fact(LIST, "", (index,), servers, "discovery", now)], Provenance.LIVE
        )

    def server_unresponsive(self, now: int, name: str) -> None:
        """A server has not replied, or has broken a connection."""
        self._unresponsive.add(name)

    def server_answered(self, now: int, name: str, connections: float | None = None) -> None:
        """A server has replied to a probe, so it had started; `connections` is from its report."""
        previous = self._connections.get(name, 0.0)
        if connections is not None:
            self._connections[name] = connections
        if name not in self._first_reply_at:
            self._first_reply_at[name] = max(now, self._assumed_start.get(name, now))
            if self._assume_cold and self._first_reply_at[name] > self._assumed_start.get(
                name, now
            ):
                self._host.reapply_list()  # it started later than assumed
        elif (
            name in self._unresponsive
            and connections is not None
            and previous >= RESTART_MIN_CONNECTIONS
            and connections < RESTART_MAX_SHARE * previous
        ):
            # Detects a server that restarted within a second or two without any change of the list,
            # or whose process was replaced behind one address. A server that was only paused while
            # its clients were moved is treated so as well.
            self._restarted_at[name] = now
            self._host.log("a server began anew", server=name, held=previous, holds=connections)
            self._host.reapply_list()
        self._unresponsive.discard(name)

    @property
    def _assume_cold(self) -> bool:
        """Whether servers are assumed to have started with this outage.

        That is so if the power was lost and no peer lived through it. It guards against servers
        that are back before any list shows that they were away. If only the machines of the
        balancers lost power, warm servers get the load of cold ones.
        """
        return self.power_lost and not self.live_peer_replied

    def effective_start(self, now: int, name: str, listed_start: int) -> int:
        """Returns the time at which a server is considered to have started.

        After a loss of power this is its first reply to a probe, because the store and an old list
        are outdated. A start time known to a peer that lived through the outage takes precedence.

        Args:
            now: current time, in ns.
            name: name of the server.
            listed_start: its start time by the list, in ns.
        """
        # Limited to now: otherwise a server whose clock is ahead would stay cold for too long.
        listed_start = max(min(listed_start, now), self._restarted_at.get(name, 0))
        if name in self.known_start_times:
            return max(listed_start, min(now, self.known_start_times[name]))
        return (
            max(
                listed_start,
                self._first_reply_at.get(
                    name,
                    self._assumed_start.setdefault(name, now + self.config.period // PROBE_SPREAD),
                ),
            )
            if self._assume_cold
            else listed_start
        )

    # Clients

    def admit_login(self, now: int, importance: float) -> int | None:
        """Returns None if the login is admitted, and else the time in ns after which to retry.

        For a login that is admitted in the phase OPEN, `login_finished` is to be called once.
        """
        if self.phase is RecoveryPhase.FULL:
            return None
        if (
            self.admission is not None
            and self.phase is RecoveryPhase.OPEN
            and self.admission.try_admit(now, importance)
        ):
            return None
        return retry_after(self._rng, self.config.max_retry_after, importance)

    def login_finished(self, now: int, fulfilled: bool | None) -> None:
        """A login that was admitted in the phase OPEN has ended; see `AdmissionControl`."""
        if self.admission is not None:
            self.admission.login_finished(fulfilled)
            if self.admission.unrestricted and self.phase is RecoveryPhase.OPEN:
                self._enter(now, RecoveryPhase.FULL, "servers bear it")

    def exploration_state(self, now: int) -> object:
        """Returns all state that affects future behaviour, for state space exploration.

        Times are relative to now.
        """
        return (
            self.phase,
            sorted(
                (known.fact.key, known.fact.version, known.provenance)
                for kind in KINDS
                for known in self.facts.of_kind(kind)
            ),
            self._live_peers,
            sorted(self._requests.items()),
            sorted(self._queries_sent.items()),
            sorted(self.replies.items()),
            self.live_peer_replied,
            self.behind,
            self.starts_empty,
            self.unclean_stop,
            self.power_lost,
            self._query_deadline - now,
            self.own_marker,
            self._opened_marker,
            sorted(self._told_sequences.items()),
            sorted(self.peer_markers.items()),
            sorted(
                (
                    replication_id,
                    replication.persisted_here,
                    sorted(replication.persisted_by),
                    sorted(replication.pending),
                    replication.finished,
                )
                for replication_id, replication in self._replications.items()
            ),
            self.admission and (self.admission.window, self.admission.in_progress),
        )

    # Phases

    def servers_probed(self, now: int, ready: Collection[str], all_probed: bool) -> None:
        """The servers that may serve, and whether the first probe of each has ended."""
        if self.phase is RecoveryPhase.LOOK and ready and all_probed:
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
            stored = self.facts.get(SIZES)
            sizes = stored.value if stored is not None else {}
            cold = [
                (since, sizes.get(name, 0.0))
                for name in ready
                if (since := self._cold_since(now, name)) is not None
            ]
            if cold:
                self.admission.set_cold_servers(
                    now, cold, max(self.max_balancers, len(self._live_peers) + 1)
                )
            else:
                self.admission.clear_cold_servers()

    def _cold_since(self, now: int, name: str) -> int | None:
        """Returns since when a server has been warming up; None: it is not assumed to be cold."""
        since = (
            self._first_reply_at.get(name, self._assumed_start.get(name))
            if self._assume_cold
            else self.known_start_times.get(name)
        )
        return since if since is not None and now - since < self.config.cold.ramp else None

    def tick(self, now: int) -> int:
        """Does the work that is due; returns the time of the next tick."""
        config = self.config
        if self.phase is RecoveryPhase.READ and (self._store_done or now >= self._store_deadline):
            if not self._store_done:
                self.store_error = self.store_error or "it has not answered"
                # Treated as empty until it is loaded.
                self._store_done = self.starts_empty = True
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
        for replication_id in list(self._replications):
            self._update_replication(now, replication_id)
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
        """Queries a few live peers, at random because hundreds of balancers may start at once."""
        pending = {name for name, _ in self._requests.values()}
        candidates = [
            name for name in self._live_peers if name not in pending and name not in self.replies
        ]
        wanted = 0 if self.state_complete else self.config.wanted_replies - len(self._requests)
        while (
            wanted > 0 and candidates and sum(self._queries_sent.values()) < self.config.max_queries
        ):
            # A lost call does not exclude a peer: those that were queried least often come first.
            fewest = min(self._queries_sent.get(name, 0) for name in candidates)
            name = self._rng.choice(
                [name for name in candidates if self._queries_sent.get(name, 0) == fewest]
            )
            candidates.remove(name)
            self._queries_sent[name] = fewest + 1
            self._request_state(now, name, True)
            wanted -= 1
        if (
            self.phase is not RecoveryPhase.ASK
            or not self.state_complete
            and (self._requests or now < self._query_deadline)
        ):
            return  # until the deadline, because other balancers may still be starting
        if self.starts_empty and not self.replies and not self._alone:
            # Without any facts, it serves only after a peer has replied; `store init` is for the
            # first balancer of a fleet.
            return
        self._enter(
            now,
            RecoveryPhase.LOOK,
            f"{len(self.replies)} peers answered"
            + ("" if self.state_complete else ", not enough to know all"),
        )

    def _enter(self, now: int, phase: RecoveryPhase, reason: str) -> None:
        """Enters a phase."""
        self.phase = phase
        if phase is RecoveryPhase.ASK:
            self._query_deadline = now + int(
                (
                    self.config.unclean_query_timeout
                    if self.unclean_stop
                    else self.config.clean_query_timeout
                )
                * self.config.period
            )
        self._host.phase_changed(phase, reason)
        if phase is RecoveryPhase.LOOK:
            self._assumed_start.clear()
            self._host.reapply_list()
            self._host.probe_servers(self.config.period // PROBE_SPREAD)
