"""A small world of balancers that recover from a loss of power, for state space exploration.

A few balancers and two servers: an operator takes one server out of service, and all balancers lose
power and start again. Events are messages that arrive or are lost, writes and reads of stores that
end, logins, bounds on waiting times that pass and second losses of power. The balancers run the
real `Recovery`; this module never makes a decision itself.
"""

from __future__ import annotations

from random import Random
from typing import Any, NamedTuple

from corklift.interface import ColdRule
from corklift.recovery.core import (
    NullHost,
    Recovery,
    RecoveryConfig,
    RecoveryPhase,
    ReplicationOutcome,
)
from corklift.recovery.facts import Fact
from corklift.recovery.messages import Marker, Replicate, ReplicateReply, StateReply, StateRequest

PERIOD = 1_000_000_000
START_TIME = 1_000 * PERIOD
REMOVED_SERVER = "s1"


class RecoveryShape(NamedTuple):
    """Size of a `RecoveryWorld` and how often each event may happen."""

    balancers: int = 3
    losses: int = 1  # of messages
    logins: int = 2
    second_cuts: int = 1  # further losses of power, each of one balancer
    lying: int = 0  # balancers whose disk loses all but its oldest fact with the power
    bounds: int = 3  # times that the bound on loading the store or on querying peers may pass


class _BalancerHost(NullHost):
    """The host of one balancer's recovery: its store and its messages to the other balancers."""

    def __init__(self, world: RecoveryWorld, number: int) -> None:
        self.world, self.number, self.name = world, number, f"b{number}"
        self.alive, self.start_count, self.boot_count = True, 1, 0
        self.stored_facts: list[Fact] = []
        self.pending_writes: list[tuple[int, tuple[Fact, ...]]] = []
        self.out_of_service: set[str] = set()
        self.core: Any = None
        self.store_read = False

    def start(self) -> None:
        world = self.world
        self.alive, self.pending_writes, self.out_of_service, self.store_read = (
            True,
            [],
            set(),
            False,
        )
        self.core = world.new_core(
            self,
            Random(self.number),
            RecoveryConfig(PERIOD, cold=ColdRule(0.3, 8 * PERIOD, 3.0, PERIOD)),
            world.now,
            name=self.name,
            instance_id=self.start_count,
            boot=str(self.boot_count),
            expected=world.shape.balancers,
        )
        self.facts_at_start = list(self.stored_facts)

    # The host interface of the recovery

    def request_state(self, request_id: int, name: str, message: StateRequest, until: int) -> None:
        self.world.in_flight.append(
            ("ask", self.number, self.start_count, int(name[1:]), request_id, message)
        )

    def replicate(self, request_id: int, name: str, message: Replicate, until: int) -> None:
        self.world.in_flight.append(
            ("tell", self.number, self.start_count, int(name[1:]), request_id, message)
        )

    def persist(self, write_id: int, facts: tuple[Fact, ...]) -> None:
        self.pending_writes.append((write_id, facts))

    def apply_recovered(self, out_of_service: set[str], restored: set[str]) -> None:
        self.out_of_service = self.out_of_service - restored | out_of_service


class RecoveryWorld:
    """A few balancers, their stores and the messages in flight between them.

    Invariants: a balancer whose state is complete admits no login while it does not know that a
    server is out of service, if operators received a confirmation of that; and a balancer that runs
    never waits without a bound once no message or write is pending.
    """

    def __init__(self, shape: RecoveryShape, new_core: Any = Recovery) -> None:
        self.shape, self.new_core, self.now = shape, new_core, START_TIME
        self.in_flight: list[tuple[str, int, int, int, int, Any]] = []
        self.steps: list[str] = []
        self.failure: str | None = None
        self.yes = False
        self.power_lost = False
        self.remaining = {
            "lose": shape.losses,
            "login": shape.logins,
            "again": shape.second_cuts,
            "bound": shape.bounds,
        }
        self.hosts = [_BalancerHost(self, number) for number in range(shape.balancers)]
        for host in self.hosts:
            host.start()
            host.core.store_loaded(self.now, [], Marker(b"%16d" % host.number, 0), True)
        # At the start all balancers serve and have facts in their stores.
        for host in self.hosts:
            host.core.phase = RecoveryPhase.FULL
            host.core.live_peer_replied = True
            host.core._live_peers = [other.name for other in self.hosts if other is not host]
            host.core._membership_ready = True
            while host.pending_writes:
                self._finish_write(host)
            host.store_read = True
        self.in_flight.clear()
        self.hosts[0].core.set_out_of_service(
            self.now, REMOVED_SERVER, True, self._override_replicated
        )

    def _override_replicated(
        self, outcome: ReplicationOutcome, stored_count: int, required_count: int
    ) -> None:
        self.yes = self.yes or outcome is ReplicationOutcome.KEPT

    def enabled(self) -> list[str]:
        labels = [f"arrive {index}" for index in range(min(3, len(self.in_flight)))]
        if self.remaining["lose"]:
            labels += [f"lose {index}" for index in range(min(3, len(self.in_flight)))]
        for host in self.hosts:
            suffix = f" {host.number}"
            if not host.alive:
                labels.append("boot" + suffix)
                continue
            if host.pending_writes:
                labels.append("kept" + suffix)
            if not host.store_read:
                labels.append("read" + suffix)
            if host.core.phase is RecoveryPhase.LOOK:
                labels.append("looked" + suffix)
            if self.remaining["login"] and self.power_lost:
                labels.append("login" + suffix)
            if (
                self.remaining["bound"]
                and host.core.phase in (RecoveryPhase.READ, RecoveryPhase.ASK)
                and self.power_lost
            ):
                labels.append("bound" + suffix)
            if self.remaining["again"] and self.power_lost:
                labels.append("again" + suffix)
        if not self.power_lost:
            labels.append("cut 0")
        return labels

    def play(self, label: str) -> None:
        kind, _, index = label.partition(" ")
        number = int(index)
        self.steps.append(
            f"{(self.now - START_TIME) / PERIOD:8.3f}  {label}"
            + self._message_description(kind, number)
        )
        host = self.hosts[number] if kind not in ("arrive", "lose") else self.hosts[0]
        if kind in ("arrive", "lose"):
            self._deliver_or_lose(kind, *self.in_flight.pop(number))
        elif kind == "kept":
            self._finish_write(host)
        elif kind == "cut":
            self.power_lost = True
            self.in_flight.clear()
            for position, other in enumerate(self.hosts):
                other.alive, other.pending_writes = False, []
                other.boot_count += 1
                if position < self.shape.lying:
                    other.stored_facts = other.stored_facts[:1]
        elif kind == "boot":
            host.start_count += 1
            host.start()
            self._announce_members()
        elif kind == "read":
            host.store_read = True
            host.core.store_loaded(
                self.now,
                host.facts_at_start,
                Marker(b"%16d" % number, len(host.facts_at_start)),
                not host.facts_at_start,
            )
            self._announce_members()
        elif kind == "looked":
            host.core.servers_probed(self.now, ["s2"], True)
        elif kind == "bound":
            self.remaining["bound"] -= 1
            self.now += 6 * PERIOD
            host.core.tick(self.now)
            self._announce_members()
        elif kind == "again":
            self.remaining["again"] -= 1
            host.alive, host.pending_writes = False, []
            host.boot_count += 1
        elif kind == "login":
            self.remaining["login"] -= 1
            admitted = host.core.admit_login(self.now, 1.0) is None
            # Without a reply within the bound, a balancer serves by its own store, which may lack
            # the override: see docs/design/recovery.md. It is not `state_complete` then.
            if (
                admitted
                and self.yes
                and REMOVED_SERVER not in host.out_of_service
                and host.core.state_complete
            ):
                self.failure = (
                    f"{host.name} admits a login and does not know that {REMOVED_SERVER} is out of "
                    "service, which was confirmed to the operators"
                )
        self._check_progress()

    def _message_description(self, kind: str, number: int) -> str:
        if kind not in ("arrive", "lose"):
            return ""
        message_type, source, _, target, _, _ = self.in_flight[number]
        return f": {message_type} of b{source} to b{target}"

    def _finish_write(self, host: _BalancerHost) -> None:
        write_id, facts = host.pending_writes.pop(0)
        host.stored_facts += facts
        host.core.persisted(self.now, write_id, len(host.stored_facts), "")

    def _announce_members(self) -> None:
        """Tells each balancer which others accept calls: those that have left the phase READ."""
        for host in self.hosts:
            if host.alive and host.core.phase > RecoveryPhase.READ:
                host.core.members_changed(
                    self.now,
                    [
                        other.name
                        for other in self.hosts
                        if other is not host
                        and other.alive
                        and other.core.phase > RecoveryPhase.READ
                    ],
                    True,
                )

    def _deliver_or_lose(
        self,
        kind: str,
        message_type: str,
        source: int,
        start_count: int,
        target: int,
        request_id: int,
        message: Any,
    ) -> None:
        host, other = self.hosts[source], self.hosts[target]
        lives = host.alive and host.start_count == start_count
        if message_type == "ask" or message_type == "tell":
            if kind == "lose" or not other.alive or other.core.phase is RecoveryPhase.READ:
                self.remaining["lose"] -= kind == "lose"
                if lives and message_type == "ask":
                    host.core.request_failed(self.now, request_id)
                elif lives:
                    host.core.replicate_reply_received(self.now, request_id, None)
            elif message_type == "ask":
                self.in_flight.append(
                    (
                        "answer",
                        target,
                        other.start_count,
                        source,
                        request_id,
                        (start_count, other.core.state_requested(self.now, message)),
                    )
                )
            else:
                other.core.replicate_received(
                    self.now,
                    message,
                    lambda reply: self.in_flight.append(
                        (
                            "told",
                            target,
                            other.start_count,
                            source,
                            request_id,
                            (start_count, reply),
                        )
                    ),
                )
            return
        caller_start_count, content = message
        if not other.alive or other.start_count != caller_start_count:
            return
        if kind == "lose":
            self.remaining["lose"] -= 1
            content = None
        if message_type == "answer" and isinstance(content, StateReply):
            other.core.reply_received(self.now, request_id, content)
        elif message_type == "answer":
            other.core.request_failed(self.now, request_id)
        else:
            other.core.replicate_reply_received(
                self.now, request_id, content if isinstance(content, ReplicateReply) else None
            )

    def _check_progress(self) -> None:
        if not self.power_lost or self.in_flight or any(host.pending_writes for host in self.hosts):
            return
        for host in self.hosts:
            if not host.alive or not host.store_read or host.core.phase >= RecoveryPhase.LOOK:
                continue
            # No message is in flight, so time alone must end this phase, unless the balancer starts
            # with an empty store and no other balancer runs.
            now = self.now
            others = [
                other
                for other in self.hosts
                if other is not host and other.alive and other.store_read
            ]
            if host.core.starts_empty and not others:
                continue
            if host.core._requests or host.core._query_deadline > now + 10 * PERIOD:
                self.failure = f"{host.name} waits without a bound"

    def violation(self) -> str | None:
        return self.failure

    def state(self) -> object:
        return (
            [
                (
                    host.alive,
                    host.start_count,
                    host.store_read,
                    host.stored_facts,
                    host.pending_writes,
                    sorted(host.out_of_service),
                    host.core.phase,
                    host.core.exploration_state(self.now),
                )
                for host in self.hosts
            ],
            [
                (message_type, source, start_count, target, request_id)
                for message_type, source, start_count, target, request_id, _ in self.in_flight
            ],
            self.remaining,
            self.yes,
            self.power_lost,
        )

    def trace(self) -> list[str]:
        return self.steps
