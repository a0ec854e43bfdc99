"""Emulates a loss of power in virtual time, with hundreds of balancers and their servers.

Disks lose their last writes or all their data, and the list of servers returns late or outdated.
This module holds the true state: who has power, what each disk holds and which operator overrides
were confirmed. The balancers run the real `Recovery` and the real decision module; an emulated
membership tells them with a delay which peers run. This module never makes a decision itself. The
same seed always gives the same history.
"""

from __future__ import annotations

from random import Random
from typing import Any, Literal, NamedTuple

from corklift.interface import ListedServer, Login, Outcome, Scope, Status
from corklift.lab.clock import MS, SECOND
from corklift.lab.fleet import MAX_RETRY_AFTER, Arrival, EmulatedBalancer, EmulatedLogin, Fleet
from corklift.lab.policies import POLICIES
from corklift.lab.scenario import Balancers, Scenario, Servers, WorkloadTable
from corklift.recovery.core import Recovery, RecoveryConfig, RecoveryPhase, ReplicationOutcome
from corklift.recovery.facts import DRAIN, LIST, OUT, Fact, StoredServer
from corklift.recovery.messages import Marker, Replicate, ReplicateReply, StateReply, StateRequest

MAX_RECOVERY_TIME = 8 * SECOND  # a balancer must serve within this time of its start
TICK_INTERVAL = 250 * MS  # between two ticks of a balancer's recovery
# "serve": balancers with this program's recovery; "today": balancers without recovery; "knows":
# balancers that know the true list and the confirmed overrides at their start, as a baseline.
Variant = Literal["serve", "today", "knows"]


class PowerLossCase(NamedTuple):
    """A loss of power and what happens around it.

    Attributes:
        seed: source of all that is random.
        balancers: number of balancers.
        servers: number of servers.
        rate: logins per second.
        hold_s: mean duration of a connection.
        period: period of membership and recovery, in ns.
        at_s: time of the cut.
        dark_s: time from the cut to the first start of a server and of a balancer; each of them
            starts at a random time within a second after that.
        mute_s: how long discovery is silent after the cut; below 0 it is silent until the end.
        old_list: discovery returns with the list from before the drain.
        lying: number of balancers whose disk lost the last second.
        emptied: number of balancers whose disk lost all data.
        second_s: time from the first start to a second cut of half of the balancers; 0 is none.
        first: only so many balancers return at first, the others ten seconds later; 0 is all.
        lost_calls: probability that a call between peers is lost.
        seconds: duration of the run.
        unlisted: instead of a cut, so many servers restart one after the other, each within one or
            two seconds, while the list does not change.
    """

    seed: int = 1
    balancers: int = 40
    servers: int = 20
    rate: float = 60.0
    hold_s: float = 8.0
    period: int = SECOND
    at_s: float = 8.0
    dark_s: tuple[float, float] = (1.0, 1.5)
    mute_s: float = 6.0
    old_list: bool = False
    lying: int = 0
    emptied: int = 0
    second_s: float = 0.0
    first: int = 0
    lost_calls: float = 0.0
    seconds: float = 26.0
    unlisted: int = 0

    @classmethod
    def from_seed(cls, seed: int, balancers: int = 12, servers: int = 6) -> PowerLossCase:
        """Generates a case from a seed."""
        rng = Random(f"power {seed}")
        return cls(
            seed,
            balancers,
            servers,
            3.0 * balancers,
            6.0,
            SECOND,
            5.0 + rng.random(),
            (rng.choice((0.2, 1.0, 4.0)), rng.choice((0.2, 1.0, 4.0))),
            rng.choice((0.0, 2.0, 6.0, -1.0)),
            rng.random() < 0.4,
            rng.choice((0, 0, 1, 2)),
            rng.choice((0, 0, 1)),
            rng.choice((0.0, 0.0, 0.7, 1.5, 2.5, 4.0)),
            rng.choice((0, 0, 1, balancers // 3)),
            rng.choice((0.0, 0.0, 0.1)),
            28.0,
        )


class PolicyProxy:
    """A balancer's decision module, whose results are also reported to the recovery."""

    def __init__(self, balancer: RecoveringBalancer, policy: Any) -> None:
        self._balancer, self._policy = balancer, policy

    def __getattr__(self, name: str) -> Any:
        return getattr(self._policy, name)

    def hand_off_started(self, now: int, login: int, *args: Any) -> None:
        self._balancer.login_finished(login, True)
        self._policy.hand_off_started(now, login, *args)

    def hand_off_ended(
        self, now: int, login: int, was_open: bool, server: int, outcome: Outcome, *args: Any
    ) -> None:
        if not was_open:
            self._balancer.login_finished(login, False)
        if (
            outcome in (Outcome.TIMED_OUT, Outcome.NOT_CONNECTED, Outcome.BROKEN)
            and self._balancer.core is not None
        ):
            self._balancer.core.server_unresponsive(now, f"s{server}")
        self._policy.hand_off_ended(now, login, was_open, server, outcome, *args)

    def probe_answered(
        self, now: int, server: int, took: int, outcome: Outcome, report: Any
    ) -> None:
        self._balancer.heard.add(server)
        self._policy.probe_answered(now, server, took, outcome, report)
        core = self._balancer.core
        if core is not None and outcome is Outcome.FULFILLED:
            core.server_answered(now, f"s{server}", report.count)
        elif core is not None:
            core.server_unresponsive(now, f"s{server}")


class RecoveringBalancer(EmulatedBalancer):
    """An emulated balancer that starts by its recovery."""

    fleet: PowerLossFleet
    core: Recovery | None = None

    @property
    def name(self) -> str:
        return f"b{self.number}"

    def start(self) -> None:
        fleet = self.fleet
        self.start_count += 1
        self.alive, self.logins, self.started_at = True, {}, fleet.clock.now
        self.listed, self.probed_at = {}, {}
        self.heard: set[int] = set()  # servers that replied to a probe
        self.admitted: set[int] = set()  # logins that the recovery's admission let through
        self.current_list: list[ListedServer] | None = None
        self.reapplying = False
        self.policy = PolicyProxy(self, fleet.make_policy(self))
        self.policy.servers_listed(fleet.clock.now, Scope.CACHED, 0, ())
        self.core = None
        if fleet.variant == "serve":
            case, disk = fleet.case, fleet.disks[self.number]
            self._stored_state = disk.store, [fact for _, fact in disk.facts]
            self.core = Recovery(
                self,
                Random(f"{case.seed}/{self.number}/{self.start_count}/r"),
                RecoveryConfig(
                    case.period, max_retry_after=MAX_RETRY_AFTER, cold=fleet.scenario.cold_rule()
                ),
                fleet.clock.now,
                name=self.name,
                instance_id=self.start_count << 16 | self.number,
                boot=str(fleet.boot_counts[self.number]),
                expected=case.balancers,
            )
            fleet.clock.call_later(
                int(fleet.rng.uniform(1, 30) * MS), self._in_this_start(self._load_store)
            )
            self._tick_recovery()
        elif fleet.variant == "knows":
            self.receive_list(fleet.listed_servers(), True)
            for server in fleet.out:
                self.policy.take_out_of_service(fleet.clock.now, server)
        fleet.clock.call_later(10 * MS, self._in_this_start(self._fetch_first_list))

    def _in_this_start(self, action: Any) -> Any:
        """Wraps an action so that it has no effect after this start of the balancer has ended."""
        start_count = self.start_count
        return lambda *args: (
            action(*args) if self.alive and self.start_count == start_count else None
        )

    def _load_store(self) -> None:
        assert self.core is not None
        store, facts = self._stored_state
        self.core.store_loaded(self.fleet.clock.now, facts, Marker(store, len(facts)), not facts)

    def _tick_recovery(self) -> None:
        fleet, core = self.fleet, self.core
        if not self.alive or core is None:
            return
        now = fleet.clock.now
        core.members_changed(
            now, fleet.live_peers(self), now - self.started_at > fleet.case.period // 2
        )
        ready = {
            entry.server for entry in self.listed.values() if entry.status is Status.READY
        } - self.policy._registry.out_of_service.keys()
        core.servers_probed(
            now, [f"s{server}" for server in ready], bool(ready) and ready <= self.heard
        )
        if core.phase >= RecoveryPhase.OPEN:
            core.sizes_changed(
                now,
                {
                    f"s{number}": size
                    for number, size, *_ in self.policy.export_learned_state(now)["servers"]
                    if size is not None
                },
            )
        if core.phase is RecoveryPhase.FULL:
            core.count_changed(now, fleet.case.balancers)
        core.tick(now)
        fleet.clock.call_later(TICK_INTERVAL, self._in_this_start(self._tick_recovery))

    # The list

    def _fetch_first_list(self) -> None:
        if self.fleet._list_suspended:
            self.fleet.clock.call_later(TICK_INTERVAL, self._in_this_start(self._fetch_first_list))
        else:
            self.receive_list(self.fleet.served_list(), True)

    def receive_list(self, entries: list[ListedServer], is_full: bool) -> None:
        if not self.alive:
            return
        core, now = self.core, self.fleet.clock.now
        if core is None:
            super().receive_list(entries, is_full)
            return
        index = self.fleet.served_index
        if not self.reapplying:
            known = (
                {}
                if is_full or self.current_list is None
                else {entry.server: entry for entry in self.current_list}
            )
            known |= {entry.server: entry for entry in entries}
            self.current_list = [
                entry for entry in known.values() if entry.status is not Status.GONE
            ]
            core.list_received(
                now,
                [
                    StoredServer(
                        f"s{entry.server}",
                        "10.0.0.1",
                        entry.server,
                        str(entry.zone),
                        "",
                        entry.cell,
                        int(entry.status),
                        entry.weight,
                    )
                    for entry in self.current_list
                ],
                index,
            )
        effective_entries = []
        for entry in entries:
            name, ready = f"s{entry.server}", entry.status is Status.READY
            is_leaving = (
                core.facts.is_leaving(name, entry.started_at, index)
                if self.reapplying
                else core.update_drain(now, name, entry.started_at, index, not ready)
            )
            status = Status.DRAINING if ready and is_leaving else entry.status
            effective_entries.append(
                entry._replace(
                    status=status, started_at=core.effective_start(now, name, entry.started_at)
                )
            )
        super().receive_list(effective_entries, is_full)

    # Clients

    def accept_arrival(self, arrival: Arrival) -> None:
        core, now = self.core, self.fleet.clock.now
        if core is None or core.phase is RecoveryPhase.FULL:
            super().accept_arrival(arrival)
            return
        wait = core.admit_login(now, 1.0)
        if wait is None:
            self.admitted.add(self.fleet.next_login_number)
            super().accept_arrival(arrival)
            return
        number = self.fleet.next_login_id()
        workload = self.fleet.workloads[arrival.workload]
        login = Login(
            number,
            arrival.workload,
            0,
            arrival.subject,
            now + workload.time_limit,
            None,
            arrival.group,
        )
        self.logins[number] = EmulatedLogin(login, arrival)
        self.fleet.rules.login_arrived(now, self.number, login, workload)
        super().bounce(number, wait)

    def login_finished(self, login: int, up: bool | None) -> None:
        """Reports how an admitted login ended: connected, failed or, with None, without a try."""
        if login in self.admitted and self.core is not None:
            self.admitted.remove(login)
            self.core.login_finished(self.fleet.clock.now, up)

    def bounce(self, login: int, retry_in: int) -> None:
        super().bounce(login, retry_in)
        self.login_finished(login, None)

    def terminate(self, login: int) -> None:
        super().terminate(login)
        self.login_finished(login, None)

    def hand_off(self, login: int, server: int, cut_at: int) -> None:
        self.fleet.record_hand_off(self, server)
        super().hand_off(login, server, cut_at)

    # The host interface of the recovery

    def request_state(self, request_id: int, name: str, message: StateRequest, until: int) -> None:
        def handle_request(other: RecoveringBalancer) -> StateReply:
            assert other.core is not None
            return other.core.state_requested(self.fleet.clock.now, message)

        assert self.core is not None
        core = self.core
        self.fleet.call_peer(
            self,
            name,
            handle_request,
            until,
            lambda reply: (
                core.reply_received(self.fleet.clock.now, request_id, reply)
                if reply is not None
                else core.request_failed(self.fleet.clock.now, request_id)
            ),
        )

    def replicate(
        self, request_id: int, name: str, message: Replicate | str, until: int = 0
    ) -> None:
        if not isinstance(message, Replicate):
            return
        assert self.core is not None
        core = self.core

        def reply_received(reply: ReplicateReply | None) -> None:
            core.replicate_reply_received(self.fleet.clock.now, request_id, reply)

        self.fleet.replicate_to_peer(self, name, message, until, reply_received)

    def persist(self, write_id: int, facts: tuple[Fact, ...]) -> None:
        fleet, disk, core = self.fleet, self.fleet.disks[self.number], self.core
        assert core is not None

        def write_finished() -> None:
            disk.facts += [(fleet.clock.now, fact) for fact in facts]
            core.persisted(fleet.clock.now, write_id, len(disk.facts), "")

        fleet.clock.call_later(
            int(fleet.rng.uniform(0.2, 8) * MS), self._in_this_start(write_finished)
        )

    def delete_persisted(self, facts: tuple[Fact, ...]) -> None:
        pass

    def apply_recovered(self, out_of_service: set[str], restored: set[str]) -> None:
        for name in sorted(out_of_service):
            self.policy.take_out_of_service(self.fleet.clock.now, int(name[1:]))
        for name in sorted(restored):
            self.policy.restore_to_service(self.fleet.clock.now, int(name[1:]))

    def reapply_list(self) -> None:
        assert self.core is not None
        stored = self.core.facts.get(LIST)
        current_list = (
            self.current_list
            if self.current_list is not None
            else [
                ListedServer(
                    entry.port,
                    int(entry.zone),
                    0,
                    entry.cell,
                    Status(entry.status),
                    entry.weight,
                    0,
                )
                for entry in (
                    (StoredServer(*entry) if not isinstance(entry, StoredServer) else entry)
                    for entry in stored.value
                )
            ]
            if stored
            else None
        )
        if current_list is not None:
            self.reapplying = True
            try:
                self.receive_list(current_list, True)
            finally:
                self.reapplying = False

    def probe_servers(self, span: int) -> None:
        for entry in list(self.listed.values()):
            if (
                entry.status is Status.READY
                and entry.server not in self.policy._registry.out_of_service
            ):
                self.fleet.clock.call_later(
                    int(self.fleet.rng.random() * span),
                    self._in_this_start(self.probe),
                    entry.server,
                )

    def server_start_times(self) -> dict[str, int]:
        return {
            f"s{number}": int(started_at)
            for number, _, started_at, *_ in self.policy.export_learned_state(self.fleet.clock.now)[
                "servers"
            ]
        }

    def phase_changed(self, phase: RecoveryPhase, reason: str) -> None:
        self.fleet.record_phase(self, phase)

    def log(self, what: str, **fields: object) -> None:
        if fields:
            what = f"{what} {fields}"
        super().log(what)


class Disk:
    """A balancer's store: its facts with the times of their writes, in the order of the writes."""

    def __init__(self, store: bytes) -> None:
        self.store = store
        self.facts: list[tuple[int, Fact]] = []


class PowerLossFleet(Fleet):
    """A fleet that loses power and recovers, with what must be true of it."""

    def __init__(self, case: PowerLossCase, variant: Variant = "serve") -> None:
        self.case, self.variant = case, variant
        self.boot_counts = [0] * case.balancers
        self.disks = [Disk(b"%16d" % number) for number in range(case.balancers)]
        self.list_index = 1
        # By server out of service: when the operators received the confirmation.
        self.out: dict[int, int] = {}
        # By draining server: when all balancers know of it at the latest.
        self.draining: dict[int, int] = {}
        self.misplaced_count = 0
        self.first_misplaced = ""
        self._last_override: dict[int, bool] = {}
        self.requested_overrides: dict[int, set[bool]] = {}
        self.connected_at: list[int] = []  # times at which a connection was opened
        self.phase_times: dict[RecoveryPhase, list[int]] = {}
        # Calls received, by balancer and second.
        self.peer_call_counts: dict[tuple[int, int], int] = {}
        self._old_list: list[ListedServer] | None = None
        self.cut_at = 0  # time of the cut; 0: not yet
        self.alone_on_lying_disk = False
        scenario = Scenario(
            name="power",
            seconds=case.seconds,
            standing=1.0,
            servers=Servers(number=case.servers, zones=3, size=120.0),
            balancers=Balancers(number=case.balancers),
            workloads=[WorkloadTable(name="plain", rate=case.rate, hold_s=case.hold_s, tries=100)],
        )
        super().__init__(scenario, "module", case.seed)
        self.clock.call_later(int((case.at_s - 1.0) * SECOND), self._issue_overrides)
        self.clock.call_later(
            int(case.at_s * SECOND), self._restart_unlisted if case.unlisted else self._cut_power
        )

    def _build(self) -> None:
        super()._build()
        for balancer in self.balancers:
            balancer.alive = False
        self.balancers = [
            RecoveringBalancer(self, balancer.number, balancer.zone) for balancer in self.balancers
        ]
        for balancer in self.balancers:
            balancer.start()

    def make_policy(self, balancer: EmulatedBalancer) -> Any:
        scenario = self.scenario
        return POLICIES["module"](
            balancer,
            Random(f"{self.seed}/{balancer.number}/{balancer.start_count}"),
            now=self.clock.now,
            true_utilisation=self._true_utilisation,
            zone=balancer.zone,
            balancers=scenario.balancers.number,
            workloads=self.workloads,
            per_work=False,
            cold=scenario.cold_rule(),
            max_hand_offs=scenario.balancers.max_hand_offs,
            cancel_allowed=True,
            max_retry_after=MAX_RETRY_AFTER,
            probes_allowed=True,
            ask_for_list=False,
            ask_within=10 * SECOND,
            grouped=False,
            weight_varies=False,
            memory=0,
            crossing_price=0.0,
            probe_price=0.0,
        )

    @property
    def next_login_number(self) -> int:
        """The number that the next login will get."""
        return self._last_login_id + 1

    @property
    def served_index(self) -> int:
        """The index of the list that discovery serves at present."""
        return self.list_index if self._old_list is None else self.saved[1]

    def served_list(self) -> list[ListedServer]:
        """Returns the list that discovery serves at present, which may be outdated."""
        return self._old_list if self._old_list is not None else self.listed_servers()

    def live_peers(self, balancer: EmulatedBalancer) -> list[str]:
        """Returns the peers that a balancer's membership holds for alive."""
        now, period = self.clock.now, self.case.period
        return [
            f"b{other.number}"
            for other in self.balancers
            if other is not balancer
            and other.alive
            and now - other.started_at > period // 4
            and (other.core is None or other.core.phase > RecoveryPhase.READ)
        ]

    # Operator overrides and a drain before the cut

    def _issue_overrides(self) -> None:
        rng = Random(f"{self.case.seed} words")
        server_numbers = sorted(self.servers)
        removed, restored, draining = rng.sample(server_numbers, 3)
        self._drain_server_before_cut(draining)
        for server, out_of_service in ((removed, True), (restored, True), (restored, False)):
            self._issue_override(server, out_of_service)

    def _drain_server_before_cut(self, server: int) -> None:
        self._old_list = None
        # The list and its index before the drain.
        self.saved = (
            [entry._replace() for entry in self.listed_servers()],
            self.list_index,
        )
        self.list_index += 1
        emulated_server = self.servers[server]
        emulated_server.status = Status.DRAINING
        self._list_changed(emulated_server)
        self.draining[server] = self.clock.now + 2 * SECOND

    def _issue_override(self, server: int, out_of_service: bool) -> None:
        self.requested_overrides.setdefault(server, set()).add(out_of_service)
        if self.variant != "serve":
            for balancer in self.balancers:
                (
                    balancer.policy.take_out_of_service
                    if out_of_service
                    else balancer.policy.restore_to_service
                )(self.clock.now, server)
            self._record_confirmation(server, out_of_service)
            return
        balancer = next(balancer for balancer in self.balancers if balancer.alive)
        assert balancer.core is not None
        self.out.pop(server, None)
        self._last_override[server] = out_of_service

        def replication_finished(
            outcome: ReplicationOutcome, stored_count: int, required_count: int
        ) -> None:
            if outcome is ReplicationOutcome.KEPT and self._last_override[server] is out_of_service:
                self._record_confirmation(server, out_of_service)

        balancer.core.set_out_of_service(
            self.clock.now, f"s{server}", out_of_service, replication_finished
        )

    def _record_confirmation(self, server: int, out_of_service: bool) -> None:
        if out_of_service:
            self.out[server] = self.clock.now
        else:
            self.out.pop(server, None)

    # The loss of power and the return

    def _cut_power(self) -> None:
        case, rng = self.case, Random(f"{self.case.seed} cut")
        self.cut_at = self.clock.now
        self._list_suspended = True
        if case.mute_s >= 0:
            self.clock.call_later(int(case.mute_s * SECOND), self._resume_list)
        numbers = rng.sample(range(case.balancers), case.balancers)
        self.alone_on_lying_disk = case.first == 1 and 0 in numbers[: case.lying]
        for number in numbers[: case.lying]:
            disk = self.disks[number]
            disk.facts = [record for record in disk.facts if record[0] < self.clock.now - SECOND]
        for number in numbers[case.lying : case.lying + case.emptied]:
            self.disks[number] = Disk(b"emptied %8d" % number)
        for server in self.servers.values():
            if server.up:
                self._stop_server(server)
            self.clock.call_later(
                int((case.dark_s[0] + rng.random()) * SECOND), self._boot_server, server
            )
        for index, balancer in enumerate(self.balancers):
            self._kill_if_alive(balancer)
            late = case.first and index >= case.first
            self.clock.call_later(
                int((case.dark_s[1] + rng.random() + (10.0 if late else 0.0)) * SECOND),
                self._boot_balancer,
                balancer,
            )
        if case.second_s:
            half = rng.sample(self.balancers, len(self.balancers) // 2)
            self.clock.call_later(
                int((case.dark_s[1] + case.second_s) * SECOND), self._cut_power_again, half
            )

    def _restart_unlisted(self) -> None:
        self.cut_at = self.clock.now
        self._list_suspended = True
        rng = Random(f"{self.case.seed} unlisted")
        for index, server in enumerate(
            rng.sample(
                sorted(self.servers.values(), key=lambda server: server.number),
                self.case.unlisted,
            )
        ):
            self.clock.call_later(
                int((index * 2 + rng.random()) * SECOND),
                self._restart_server,
                server,
                int(rng.uniform(0.9, 1.9) * SECOND),
            )

    def _restart_server(self, server: Any, span: int) -> None:
        if server.up:
            self._stop_server(server)
            self.clock.call_later(span, self._boot_server, server)

    def _cut_power_again(self, half: list[RecoveringBalancer]) -> None:
        for balancer in half:
            if balancer.alive:
                self._kill_if_alive(balancer)
                self.clock.call_later(self.case.period, self._boot_balancer, balancer)

    def _kill_if_alive(self, balancer: EmulatedBalancer) -> None:
        if balancer.alive:
            self._kill_balancer(balancer)

    def _boot_balancer(self, balancer: RecoveringBalancer) -> None:
        if not balancer.alive:
            self.boot_counts[balancer.number] += 1
            balancer.start()

    def _boot_server(self, server: Any) -> None:
        """Starts a server, which is cold then; whether it drains is in the list, which is late."""
        status = server.status
        server.up, server.started_at, server.queued_setups = (
            True,
            self.clock.now,
            0.0,
        )
        server.load_history.clear()
        if status is Status.READY:
            self.list_index += 1
            self._list_changed(server)

    def _resume_list(self) -> None:
        if self.case.old_list:
            # The list from before the drain and the restart of the servers; the current one follows
            # 5 s later.
            self._old_list = self.saved[0]
            self.clock.call_later(5 * SECOND, self._serve_current_list)
        self._list_suspended = False

    def _serve_current_list(self) -> None:
        self._old_list = None
        self.list_index += 1
        for balancer in self.balancers:
            if balancer.alive:
                balancer.receive_list(self.listed_servers(), True)

    def _list_change_arrives(
        self, balancer: EmulatedBalancer, start_count: int, entry: ListedServer
    ) -> None:
        if self._old_list is not None:
            return  # an outdated list is served until the current one is back
        super()._list_change_arrives(balancer, start_count, entry)

    # Calls between peers

    def _reachable_peer(self, name: str) -> RecoveringBalancer | None:
        balancer = self.balancers[int(name[1:])]
        lost = self.case.lost_calls and self.rng.random() < self.case.lost_calls
        return balancer if balancer.alive and balancer.core is not None and not lost else None

    def call_peer(
        self,
        balancer: RecoveringBalancer,
        name: str,
        handle_request: Any,
        until: int,
        callback: Any,
    ) -> None:
        self._count_call(name)
        deliver_reply = balancer._in_this_start(callback)

        def deliver_request() -> None:
            other = self._reachable_peer(name)
            if other is None:
                self.clock.call_at(until, deliver_reply, None)
            else:
                self.clock.call_later(self.delay(0, 1), deliver_reply, handle_request(other))

        self.clock.call_later(self.delay(0, 1), deliver_request)

    def replicate_to_peer(
        self, balancer: RecoveringBalancer, name: str, message: Replicate, until: int, callback: Any
    ) -> None:
        self._count_call(name)
        finished: list[bool] = []

        def deliver_reply(reply: ReplicateReply | None) -> None:
            if not finished:
                finished.append(True)
                balancer._in_this_start(callback)(reply)

        start_count = balancer.start_count
        self.clock.call_at(
            until,
            lambda: (
                deliver_reply(None)
                if balancer.start_count == start_count and balancer.alive
                else None
            ),
        )

        def deliver_request() -> None:
            other = self._reachable_peer(name)
            if other is not None:
                assert other.core is not None
                other.core.replicate_received(
                    self.clock.now,
                    message,
                    lambda reply: self.clock.call_later(
                        self.delay(0, 1),
                        lambda: (
                            deliver_reply(reply)
                            if balancer.start_count == start_count and balancer.alive
                            else None
                        ),
                    ),
                )

        self.clock.call_later(self.delay(0, 1), deliver_request)

    def _count_call(self, name: str) -> None:
        key = int(name[1:]), self.clock.now // SECOND
        self.peer_call_counts[key] = self.peer_call_counts.get(key, 0) + 1

    # Measurements

    def record_hand_off(self, balancer: EmulatedBalancer, server: int) -> None:
        now = self.clock.now
        removed_at, drained_at = self.out.get(server), self.draining.get(server)
        propagation_time = self.case.period  # of an override to all balancers
        if (
            removed_at is not None
            and now > removed_at + propagation_time
            or drained_at is not None
            and now > drained_at
            and self.servers[server].status is Status.DRAINING
        ):
            self.misplaced_count += 1
            self.first_misplaced = self.first_misplaced or (
                f"seed {self.case.seed}: b{balancer.number} "
                f"at {(now - self.clock.started_at) / SECOND:.2f} s to s{server}, "
                f"{'out of service' if removed_at is not None else 'draining'}; the power was cut "
                f"at {(self.cut_at - self.clock.started_at) / SECOND:.2f} s"
            )

    def record_phase(self, balancer: EmulatedBalancer, phase: RecoveryPhase) -> None:
        if self.cut_at:
            self.phase_times.setdefault(phase, []).append(self.clock.now - self.cut_at)

    def _connection_opened(
        self,
        balancer: EmulatedBalancer,
        start_count: int,
        login: EmulatedLogin,
        emulated_server: Any,
        attempt: int,
    ) -> None:
        before = self.tally["fulfilled"]
        super()._connection_opened(balancer, start_count, login, emulated_server, attempt)
        if self.tally["fulfilled"] > before:
            self.connected_at.append(self.clock.now)


class PowerLossResult(NamedTuple):
    """The outcome of one case.

    Attributes:
        placed_out: hand-offs to servers that were out of service or draining.
        alone_on_a_lying_disk: the first balancer that returned had a disk that lost data and no
            peer to query for ten seconds; its `placed_out` are reported separately.
        what: the first of `placed_out`.
        rules: violations by rule.
        fallen: overloaded cold servers.
        words_forgotten: confirmed overrides that a balancer does not know at the end.
        words_invented: overrides and drains at the end that nobody requested.
        stuck: balancers that run but do not serve at the end.
        first_s: time from the cut to the first connection; -1 is never.
        restored_s: time from the cut until 90 % of the former rate is reached; -1 is never.
        calls_of_one: the most calls of peers that one balancer received in one second.
        step_s: by phase of recovery, when the last balancer entered it.
    """

    placed_out: int
    alone_on_a_lying_disk: bool
    what: str
    rules: dict[int, int]
    fallen: int
    words_forgotten: int
    words_invented: int
    stuck: int
    first_s: float
    restored_s: float
    calls_of_one: int
    step_s: dict[str, float]


def run_case(case: PowerLossCase, variant: Variant = "serve") -> PowerLossResult:
    """Runs a case and returns what was measured."""
    fleet = PowerLossFleet(case, variant)
    fleet.run()
    cut = fleet.cut_at
    connected_at = [connected for connected in fleet.connected_at if connected >= cut]
    before = sum(cut - 2 * SECOND <= connected < cut for connected in fleet.connected_at) / 2
    restored = next(
        (
            tenth / 10
            for tenth in range(int(10 * (fleet.clock.now - cut) / SECOND) - 9)
            if sum(
                cut + tenth * SECOND // 10 <= connected < cut + tenth * SECOND // 10 + SECOND
                for connected in connected_at
            )
            >= 0.9 * min(before, case.rate)
        ),
        -1.0,
    )
    forgotten = invented = 0
    for balancer in fleet.balancers:
        if balancer.alive and balancer.core is not None:
            overrides = {
                int(fact.name[1:]): fact.value for fact, _ in balancer.core.facts.of_kind(OUT)
            }
            forgotten += sum(not overrides.get(server) for server in fleet.out)
            invented += sum(
                value not in fleet.requested_overrides.get(server, ())
                for server, value in overrides.items()
            )
            invented += sum(
                fact.value and int(fact.name[1:]) not in fleet.draining
                for fact, _ in balancer.core.facts.of_kind(DRAIN)
            )
    stuck = sum(
        balancer.alive
        and balancer.core is not None
        and balancer.core.phase < RecoveryPhase.OPEN
        and fleet.clock.now - balancer.started_at > MAX_RECOVERY_TIME
        for balancer in fleet.balancers
    )
    return PowerLossResult(
        fleet.misplaced_count,
        fleet.alone_on_lying_disk,
        fleet.first_misplaced,
        dict(fleet.rules.violation_counts),
        fleet.rules.violation_counts[4],
        forgotten,
        invented,
        stuck,
        (connected_at[0] - cut) / SECOND if connected_at else -1.0,
        restored,
        max(fleet.peer_call_counts.values(), default=0),
        {
            phase.name.lower(): round(max(times) / SECOND, 2)
            for phase, times in fleet.phase_times.items()
        },
    )
