"""Adapts the event-driven `Balancer` to the network tasks, which block.

The facade owns the only Balancer of the process, drives its timers, and maps the ids that it uses
to names and addresses. Network code sees hand-off targets and rejections only. The facade touches
no socket. A call of the Balancer on its host never switches tasks: the facade records the request
and wakes the task that waits for it.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from corklift.interface import (
    Effect,
    ListedServer,
    Login,
    MeasurementKind,
    Outcome,
    Report,
    Scope,
    Status,
    Workload,
)
from corklift.net.limits import Counters
from corklift.net.parsers import (
    Listing,
    LoginRequest,
    hashed_id,
    numbered_id,
    server_id,
    stable_id,
)
from corklift.net.scheduler import Scheduler, Task
from corklift.net.server_list import ServerList
from corklift.policy import Balancer

_SERVER_NUMBER = re.compile(r"server (\d+)")
# A machine type that the settings don't name.
UNKNOWN_INDEX = 0xFFFF
# The id of no server: `stable_id` is never negative.
NO_SERVER = -1
# Clients state their expected load in microseconds of work per second, the Balancer takes
# nanoseconds.
COST_UNIT_NS = 1_000


class HandOffTarget(NamedTuple):
    """The server that a login is handed to, and when the hand-off is given up.

    The login's first byte may only be sent before `send_before`.
    """

    server: int
    address: tuple[str, int]
    cut_at: int
    send_before: int


class Rejection(NamedTuple):
    """A final negative answer: whether a retry is safe, and after what time."""

    retry_is_safe: bool
    retry_in: int


class LoginHandle:
    """The relay's handle of a login under way, or of the connection that it became."""

    def __init__(self, number: int, task: Task, time_limit_at: int, workload: Workload) -> None:
        self.number, self.task, self.time_limit_at = number, task, time_limit_at
        self.workload = workload  # as in the settings when the login came
        # When servers may no longer recognise a repeat of a tagged login that may have run.
        self.repeat_before: int | None = None
        self.is_sent = False  # whether a byte of the present hand-off may have been sent
        self.decision: HandOffTarget | Rejection | None = None
        self.target: HandOffTarget | None = None
        self.hand_off_count = 0
        self.sent_at = 0
        self.to_move = self.cancelled = self.is_connected = False


class Facade:
    """Blocking interface to the Balancer for the network tasks; also the Balancer's host."""

    def __init__(
        self,
        scheduler: Scheduler,
        seed: int,
        arguments: dict[str, Any],
        report_names: dict[str, str],
        measurement: tuple[MeasurementKind, int] | None,
        localities: list[str],
        machine_types: list[str],
        settle_time: int,
        log: Callable[[str], None],
        counters: Counters,
    ) -> None:
        self._scheduler, self._log, self._counters = scheduler, log, counters
        self._settle_time = settle_time
        # Until then a report without load may not include the connections from before the start.
        self._reports_valid_at: int | None = None
        self._machine_types: dict[str, int] = {}
        # Balancers in the fleet as counted by peer membership; if None, the settings' count holds.
        self._balancer_count: int | None = None
        self._workloads: dict[str, int] = {}  # index by name of the workloads in the settings
        # All workloads since the start: connections may belong to one that a reload has removed.
        self._all_workloads: list[Workload] = []
        arguments = self._prepare_arguments(
            arguments, report_names, measurement, localities, machine_types
        )
        self._logins: dict[int, LoginHandle] = {}
        self._stop_answering_at: int | None = None  # every login has its answer by then
        self._connection_count = 0  # logins that have become connections
        self._next_login = 1
        # Hook of peer membership, which has to notice that this process was suspended.
        self.before_placement: Callable[[], None] = lambda: None
        self._names: dict[int, str] = {}
        # The result of `_present_ids`, while the names stay as they are.
        self._cached_present_ids: dict[int, int] | None = None
        self._addresses: dict[int, tuple[str, int]] = {}
        self._ready: set[int] = set()  # ready servers in the list
        self._listed: set[int] = set()  # ready and draining servers in the list
        # Names of the servers that operators have taken out of service, listed or not.
        self._out_of_service: dict[int, str] = {}
        # As discovery has told it, before recovery amends it.
        self.server_list = ServerList()
        self._probed: set[int] = set()  # servers with at least one finished probe
        self._timers: list[tuple[int, int]] = []
        self._timer_task: Task | None = None
        self._probe_queue: deque[int] = deque()
        self._probe_task: Task | None = None
        # Hook of `ServerProbes`.
        self.close_probe_connection: Callable[[int], None] = lambda server: None
        # Hook of peer membership and recovery: a server reported its connection count.
        self.load_reported: Callable[[int, float], None] = lambda server, count: None
        # Hooks of recovery. `admission_check` may reject a login by its request and number;
        # `login_finished` gets the result of an admitted login: connected, failed, or None if the
        # client left; `recovered_list` amends an update of the server list by recovered facts.
        self.admission_check: Callable[[LoginRequest, int], Rejection | None] = (
            lambda login_request, number: None
        )
        self.login_finished: Callable[[int, bool | None], None] = lambda number, up: None
        # A server did not answer, or broke a connection.
        self.server_unresponsive: Callable[[int], None] = lambda server: None
        self.recovered_list: Callable[[Scope, Listing], Listing] = lambda scope, content: content
        self._balancer = Balancer(self, Random(seed), now=scheduler.now(), **arguments)

    def settings_changed(
        self,
        arguments: dict[str, Any],
        report_names: dict[str, str],
        measurement: tuple[MeasurementKind, int] | None,
        localities: list[str],
        machine_types: list[str],
    ) -> None:
        """Applies the settings of a new configuration.

        Logins, connections, the server list and all counts stay.
        """
        self._balancer.settings_changed(
            self._scheduler.now(),
            **self._prepare_arguments(
                arguments, report_names, measurement, localities, machine_types
            ),
        )

    def _prepare_arguments(
        self,
        arguments: dict[str, Any],
        report_names: dict[str, str],
        measurement: tuple[MeasurementKind, int] | None,
        localities: list[str],
        machine_types: list[str],
    ) -> dict[str, Any]:
        """Returns the arguments for the Balancer, with stable indices.

        A name keeps its index when its position in the settings changes. Otherwise open connections
        and listed servers would change their workload or machine type at a reload.
        """
        self._report_names, self._measurement, self._grouped = (
            report_names,
            measurement,
            arguments["grouped"],
        )
        for name in machine_types:
            self._machine_types.setdefault(name, len(self._machine_types))
        indices = {workload.name: index for index, workload in enumerate(self._all_workloads)}
        self._workloads = {}
        for workload in arguments["workloads"]:
            index = self._workloads[workload.name] = indices.setdefault(workload.name, len(indices))
            self._all_workloads[index : index + 1] = [workload]
        zone = arguments["zone"]
        self._arguments = arguments | {
            "workloads": list(self._all_workloads),
            "zone": hashed_id(localities[zone]) if zone < len(localities) else zone,
        }
        return (
            self._arguments
            if self._balancer_count is None
            else self._arguments | {"balancers": self._balancer_count}
        )

    # Called by the relay

    def workload_index(self, name: str) -> int | None:
        """Returns the index of a workload in the current settings; None if there is none."""
        return self._workloads.get(name)

    def workload_names(self) -> list[str]:
        """Returns all workloads since the start, including those that a reload has removed."""
        return [workload.name for workload in self._all_workloads]

    @property
    def in_flight(self) -> int:
        """Logins and connections that have not ended."""
        return len(self._logins)

    def time_limit(self, login_request: LoginRequest) -> int:
        return self._all_workloads[self._workloads[login_request.workload]].time_limit

    def register_login(self, login_request: LoginRequest, time_limit_at: int) -> LoginHandle:
        """Registers a new login; the caller releases it, whatever happens to it."""
        return self._new_login(time_limit_at, login_request)

    def place_login(self, handle: LoginHandle, login_request: LoginRequest) -> None:
        """Has a registered login placed; its task is woken when its target or rejection is decided.

        Raises whatever goes wrong in the decisions or their hooks; the login stays registered.
        """
        self.before_placement()
        rejection = self.admission_check(login_request, handle.number)
        if rejection is not None:
            handle.decision = rejection
            return
        now = self._scheduler.now()
        self._reports_valid_at = self._reports_valid_at or now + self._settle_time
        self._balancer.login_arrived(now, self._to_login(handle, login_request))

    def report_failed_hand_off(
        self, handle: LoginHandle, outcome: Outcome, values: dict[str, float] | None = None
    ) -> None:
        """Reports a hand-off that ended without a connection; the next decision follows."""
        assert handle.target is not None
        now = self._scheduler.now()
        handle.decision = None
        if handle.workload.effect is Effect.TAGGED and not outcome.proves_not_run:
            handle.repeat_before = handle.repeat_before or (
                handle.sent_at + handle.workload.dedup_window
            )
        self.login_finished(handle.number, False)
        self._report_if_unresponsive(handle.target.server, outcome)
        self._balancer.hand_off_ended(
            now,
            handle.number,
            False,
            handle.target.server,
            outcome,
            handle.hand_off_count - 1,
            now - handle.sent_at,
            self._to_report(values),
        )

    def reject_undecided(self, handle: LoginHandle) -> Rejection:
        """Ends a login that is undecided at its time limit.

        Every login gets an answer in time, whatever the Balancer waits for.
        """
        self._counters["undecided at the time limit"] += 1
        self.release_login(handle)
        return Rejection(False, 0)

    def report_connected(self, handle: LoginHandle) -> None:
        """Reports that the hand-off has become a connection."""
        assert handle.target is not None
        now = self._scheduler.now()
        self._connection_count += 1
        handle.is_connected = True
        self.login_finished(handle.number, True)
        self._balancer.hand_off_started(
            now,
            handle.number,
            handle.hand_off_count - 1,
            handle.target.server,
            now - handle.sent_at,
        )

    def report_restored(self, login_request: LoginRequest, target: HandOffTarget) -> LoginHandle:
        """Reports that a connection from before the start is open again, at the same server.

        In the meantime, the server may have left the list, and the workload the settings.
        """
        now = self._scheduler.now()
        self._reports_valid_at = now + self._settle_time
        handle = self._new_login(now, login_request)
        handle.target, handle.hand_off_count, handle.sent_at = target, 1, now
        self._connection_count += 1
        handle.is_connected = True
        try:
            login = self._to_login(handle, login_request)
            self._balancer.connection_resumed(now, login, target.server)
        except Exception:
            self.release_login(handle)
            raise
        return handle

    def report_connection_end(
        self, handle: LoginHandle, outcome: Outcome, values: dict[str, float] | None = None
    ) -> None:
        """Reports that a connection has ended."""
        if self._logins.pop(handle.number, None) is not None:
            assert handle.target is not None
            now = self._scheduler.now()
            self._connection_count -= 1
            self._report_if_unresponsive(handle.target.server, outcome)
            self._balancer.hand_off_ended(
                now,
                handle.number,
                True,
                handle.target.server,
                outcome,
                handle.hand_off_count - 1,
                now - handle.sent_at,
                self._to_report(values),
            )

    def release_login(self, handle: LoginHandle) -> None:
        """Ends the handling of a login; one without a final answer counts as left by its client.

        A connection has ended before, unless an error came while it was entered.
        """
        self.login_finished(handle.number, None)
        if self._logins.pop(handle.number, None) is not None:
            if handle.is_connected:
                self._connection_count -= 1
            self._balancer.login_dropped(
                self._scheduler.now(), handle.number, nothing_sent=not handle.is_sent
            )

    def answer_all_until(self, time_limit_at: int) -> None:
        """Gives every login, present or future, this time limit if its own is later."""
        self._stop_answering_at = time_limit_at
        for handle in self._logins.values():
            handle.time_limit_at = min(handle.time_limit_at, time_limit_at)
            if handle.decision is None and not handle.is_connected:
                self._scheduler.wake(handle.task)

    def tasks_of_hand_offs(self) -> list[Task]:
        """Returns the tasks that wait for a server's answer to a hand-off."""
        return [
            handle.task
            for handle in self._logins.values()
            if isinstance(handle.decision, HandOffTarget) and not handle.is_connected
        ]

    def report_measurement(self, handle: LoginHandle, value: float) -> None:
        """Reports a measurement that the server sent on this connection.

        The settings say what it measures and in what unit.
        """
        if self._measurement is not None:
            assert handle.target is not None
            kind, unit = self._measurement
            self._counters[f"notes of {kind.name.lower()}"] += 1
            self._balancer.measurement_received(
                self._scheduler.now(),
                handle.number,
                handle.hand_off_count - 1,
                handle.target.server,
                kind,
                value * unit,
            )

    def report_unanswered_line(self, handle: LoginHandle, span: int) -> None:
        """Reports that a client's line has not been answered for `span` ns.

        That is a lower bound of the current message delay at the server.
        """
        assert handle.target is not None
        self._counters["lines unanswered"] += 1
        now, server = self._scheduler.now(), handle.target.server
        self._balancer.measurement_received(
            now,
            handle.number,
            handle.hand_off_count - 1,
            server,
            MeasurementKind.DELAY,
            float(span),
        )
        self._balancer.message_unanswered(now, server)

    def find_server(self, name: str) -> HandOffTarget | None:
        """Returns the server with this name, without a deadline; None if it is unknown."""
        server = server_id(name)
        address = self._addresses.get(server)
        return None if address is None else HandOffTarget(server, address, 0, 0)

    # Called by the control service, whose proxies place logins themselves

    def draw_probabilities(self, workload: str, span: int) -> dict[str, float]:
        """Returns the share of the proxies' logins in the next `span` ns by server name.

        What is missing to 1 is the share of logins to be refused.
        """
        now = self._scheduler.now()
        self._reports_valid_at = now if self._reports_valid_at is None else self._reports_valid_at
        probabilities = self._balancer.draw_probabilities(now, self._workloads[workload], span)
        return {
            self._names[server]: probability
            for server, probability in probabilities.items()
            if server in self._names
        }

    def placed_by_others(self, name: str, placed: int, failed: int) -> None:
        """Reports how many logins others placed on this server, and how many of them failed."""
        self._balancer.placed_by_others(self._scheduler.now(), server_id(name), placed, failed)

    def rejected_by_others(self, count: int) -> None:
        """Reports how many logins others refused; they count in the rate of logins only."""
        self._balancer.placed_by_others(self._scheduler.now(), NO_SERVER, count, 0)

    # Called by peer membership

    def set_balancer_count(self, count: int) -> None:
        """Sets the number of balancers including this one; overrides the settings from now on."""
        if count != self._balancer_count:
            self._balancer_count = count
            self._balancer.settings_changed(
                self._scheduler.now(), **self._arguments | {"balancers": count}
            )

    @property
    def connection_count(self) -> int:
        """Open connections through this balancer."""
        return self._connection_count

    def listed_servers(self) -> set[int]:
        """Returns the servers that may have connections, including draining ones."""
        return set(self._listed)

    # Called for operators, by the handover driver and by recovery

    def take_out_of_service(self, name: str) -> bool:
        """Drains the server until it is restored; returns whether there is such a server."""
        server = server_id(name)
        if server not in self._listed and server not in self._out_of_service:
            return False
        self.apply_operator_override(name, True)
        return True

    def restore_to_service(self, name: str) -> bool:
        """Ends the operator override of the server; returns whether there is such a server.

        The server then serves again if the list has it as ready.
        """
        server = server_id(name)
        if self._out_of_service.pop(server, None) is not None:
            self._balancer.restore_to_service(self._scheduler.now(), server)
            return True
        return server in self._listed

    def apply_operator_override(self, name: str, out_of_service: bool) -> None:
        """Applies an override given to another process or balancer, even to an unlisted server."""
        if not out_of_service:
            self.restore_to_service(name)
        elif server_id(name) not in self._out_of_service:
            server = server_id(name)
            self._out_of_service[server] = name
            self._log(f"server {name:.80} is out of service by operator override")
            self._balancer.take_out_of_service(self._scheduler.now(), server)

    def server_sizes(self) -> dict[str, float]:
        """Returns how many connections fill each server, by name, as far as that is known."""
        return {
            self._names[server]: size
            for server, size, *_ in self.export_learned_state()["servers"]
            if size is not None and server in self._names
        }

    def apply_size_hints(self, sizes: dict[str, float]) -> None:
        """Sets server sizes from before the start; each holds until the server shows its own."""
        self.import_learned_state(
            {
                "servers": [
                    [server_id(name), size, 0, 0.0, 0, 0, 0] for name, size in sizes.items()
                ],
                "homes": [],
                "open": [],
                "rate": [0.0, self._scheduler.now()],
            }
        )
        self.other_processes_ended()

    def server_start_times(self) -> dict[str, int]:
        """Returns the start time of each server by name, as the Balancer knows it; 0: long ago."""
        return {
            self._names[server]: int(started_at)
            for server, _, started_at, *_ in self.export_learned_state()["servers"]
            if server in self._names
        }

    def importance(self, login_request: LoginRequest) -> float:
        return self._all_workloads[self._workloads[login_request.workload]].importance

    def knows_server(self, name: str) -> bool:
        """Whether there is such a server, in the list or out of service."""
        server = server_id(name)
        return server in self._listed or server in self._out_of_service

    def server_name(self, server: int) -> str:
        return self._names.get(server, "")

    def ready_servers(self) -> list[int]:
        return sorted(self._ready - self._out_of_service.keys())

    def known_and_excluded_servers(self) -> tuple[int, int]:
        return self._balancer.known_and_excluded_servers(self._scheduler.now())

    def accepts_logins(self, server: int) -> bool:
        """Whether the server is ready: not draining by the list or by an operator override."""
        return server in self._ready and server not in self._out_of_service

    # Handover between the processes of this balancer

    def export_learned_state(self) -> dict[str, Any]:
        return self._balancer.export_learned_state(self._scheduler.now())

    def import_learned_state(self, learned: dict[str, Any]) -> None:
        """Takes over the state that an earlier process learned; ignores what can't be read."""
        try:
            learned = self._with_present_ids(learned)
            self._balancer.import_learned_state(self._scheduler.now(), learned)
        except (TypeError, ValueError, KeyError, AttributeError, OverflowError) as problem:
            self._log(f"cannot read the learned state of an earlier process: {problem!r:.100}")

    def connection_ended_elsewhere(self, server: int, load: float) -> None:
        server = self._present_ids().get(server, server)
        self._balancer.connection_ended_elsewhere(self._scheduler.now(), server, load)

    def other_processes_ended(self) -> None:
        self._balancer.other_processes_ended()

    def set_standby(self, wanted: bool) -> None:
        self._balancer.set_standby(wanted)

    # Called by the monitoring tasks

    def apply_listing(self, scope: Scope, content: Listing) -> None:
        """Applies the server list or an update of it."""
        self.server_list.apply(content)
        content = self.recovered_list(scope, content)
        self._cached_present_ids = None
        servers = []
        for entry in content.entries:
            server = server_id(entry.name)
            if self._addresses.get(server, entry.address) != entry.address:
                self.close_probe_connection(server)  # it leads to the process of before
            self._names[server], self._addresses[server] = entry.name, entry.address
            servers.append(
                ListedServer(
                    server,
                    # Not by its place in the settings, which may not name it.
                    hashed_id(entry.zone),
                    self._machine_types.get(entry.kind, UNKNOWN_INDEX),
                    entry.cell,
                    entry.status,
                    entry.weight,
                    entry.started_at,
                )
            )
        named = {listed.server for listed in servers}
        gone = {listed.server for listed in servers if listed.status is Status.GONE}
        if content.is_full:
            gone |= self._names.keys() - named
        self._ready -= gone
        self._listed = self._listed - gone | named - gone
        for listed in servers:
            (self._ready.add if listed.status is Status.READY else self._ready.discard)(
                listed.server
            )
        self._balancer.servers_listed(self._scheduler.now(), scope, content.version, tuple(servers))
        in_use = {
            handle.target.server for handle in self._logins.values() if handle.target is not None
        }
        for server in gone & self._addresses.keys():
            self.close_probe_connection(server)
        # Forgets servers that are gone, so that memory does not grow with every former server.
        for server in gone - in_use - self._out_of_service.keys():
            for mapping in (self._names, self._addresses):
                mapping.pop(server, None)
            self._probed.discard(server)

    def next_probe(self) -> HandOffTarget:
        """Blocks until a server has to be probed, and returns it."""
        self._probe_task = self._scheduler.current
        while True:
            while self._probe_queue:
                server = self._probe_queue.popleft()
                if server in self._addresses:
                    return HandOffTarget(server, self._addresses[server], 0, 0)
                self.probe_finished(server, Outcome.NOT_CONNECTED, 0, None)
            self._scheduler.wait({})

    def probe_finished(
        self, server: int, outcome: Outcome, elapsed: int, values: dict[str, float] | None
    ) -> None:
        """Passes the result of a probe on to the Balancer."""
        self._probed.add(server)
        if (
            values
            and any(not values.get(name, 1) for name in self._report_names)
            and (self._reports_valid_at is None or self._scheduler.now() < self._reports_valid_at)
        ):
            # Right after the start the connections from before are only being re-established, and a
            # server renews its count and its load figure at different times. A zero would make the
            # server look empty, or its connections look free of load. The probe counts as not sent,
            # so that the server is probed again when its load matters.
            self._counters["early reports of nothing"] += 1
            outcome, values = Outcome.NOT_SENT, None
        report = self._to_report(values)
        self._report_if_unresponsive(server, outcome)
        self._balancer.probe_answered(self._scheduler.now(), server, elapsed, outcome, report)
        if report is not None and report.count is not None:
            self.load_reported(server, report.count)

    def all_servers_probed(self) -> bool:
        """Whether at least one probe of every ready server has finished."""
        return bool(self._ready) and self._ready - self._out_of_service.keys() <= self._probed

    def run_due_timers(self) -> int | None:
        """Fires the timers that are due; returns when the next one is due."""
        now = self._scheduler.now()
        while self._timers and self._timers[0][0] <= now:
            # Removed before the call, so that an exception loses this timer only.
            _, mark = heappop(self._timers)
            self._balancer.timer_due(now, mark)
        return self._timers[0][0] if self._timers else None

    def timer_loop(self) -> None:
        """Drives the Balancer's timers for the lifetime of the process."""
        self._timer_task = self._scheduler.current
        while True:
            self._scheduler.wait({}, self.run_due_timers())

    # Called by the Balancer: the methods of `Host`

    def hand_off(self, login: int, server: int, cut_at: int) -> None:
        handle = self._logins[login]
        cut_at = min(cut_at or handle.time_limit_at, handle.time_limit_at)
        send_before = min(cut_at, handle.repeat_before or cut_at)
        target = HandOffTarget(server, self._addresses[server], cut_at, send_before)
        handle.target, handle.decision, handle.is_sent = target, target, False
        handle.hand_off_count += 1
        handle.sent_at = self._scheduler.now()
        self._scheduler.wake(handle.task)

    def cancel(self, login: int, attempt: int) -> None:
        handle = self._logins.get(login)
        if handle is not None and attempt == handle.hand_off_count - 1:
            handle.cancelled = True
            self._scheduler.wake(handle.task)

    def bounce(self, login: int, retry_in: int) -> None:
        self._reject(login, Rejection(True, retry_in))

    def terminate(self, login: int) -> None:
        self._reject(login, Rejection(False, 0))

    def move(self, login: int) -> None:
        handle = self._logins.get(login)
        if handle is not None:
            handle.to_move = True
            self._scheduler.wake(handle.task)

    def probe(self, server: int) -> None:
        self._probe_queue.append(server)
        if self._probe_task is not None:
            self._scheduler.wake(self._probe_task)

    def close_idle(self, server: int) -> None:
        """Closes the probe connection: no other connection to a server is ever idle."""
        self.close_probe_connection(server)

    def set_timer(self, after: int, mark: int) -> None:
        # At least 1 ns, so that the timer is not due in the same call of `run_due_timers`.
        heappush(self._timers, (self._scheduler.now() + max(1, after), mark))
        if self._timer_task is not None:
            self._scheduler.wake(self._timer_task)

    def watch_list(self, wanted: bool) -> None:
        """Ignored: this program watches the list all the time, whatever the settings permit."""

    def fetch_list(self) -> None:
        """Ignored, as `watch_list`."""

    def send_to_peer(self, peer: int | None, content: bytes) -> None:
        """Ignored: this Balancer has no channel to its peers."""

    def log(self, text: str) -> None:
        """Logs a text of the Balancer, with server names in place of ids."""
        self._log(
            _SERVER_NUMBER.sub(
                lambda found: f"server {self._names.get(int(found[1]), found[1])}", text
            )
        )

    # Internals

    def _present_ids(self) -> dict[int, int]:
        """Returns the id of each known server by its former id, where no other server shared that.

        Until version 0.2.0 a hexadecimal name had its number as its id. An earlier process of this
        balancer may still do so.
        """
        if self._cached_present_ids is None:
            servers_by_former_id: dict[int, list[int]] = {}
            for server, name in self._names.items():
                former_id = numbered_id(name)
                if former_id is not None:
                    servers_by_former_id.setdefault(former_id, []).append(server)
            self._cached_present_ids = {
                former_id: servers[0]
                for former_id, servers in servers_by_former_id.items()
                if len(servers) == 1
            }
        return self._cached_present_ids

    def _with_present_ids(self, learned: dict[str, Any]) -> dict[str, Any]:
        """Returns the learned state of an earlier process with the ids that servers have now."""
        present = self._present_ids()
        return learned | {
            "servers": [
                [present.get(server, server), *rest] for server, *rest in learned["servers"]
            ],
            "homes": [[group, present.get(home, home)] for group, home in learned["homes"]],
            "open": [[present.get(server, server), group] for server, group in learned["open"]],
        }

    def _workload_since_start(self, login_request: LoginRequest) -> int:
        """Returns the index of an admitted login's workload, even if a reload has removed it."""
        return self.workload_names().index(login_request.workload)

    def _new_login(self, time_limit_at: int, login_request: LoginRequest) -> LoginHandle:
        if self._stop_answering_at is not None:
            time_limit_at = min(time_limit_at, self._stop_answering_at)
        workload = self._all_workloads[self._workload_since_start(login_request)]
        handle = LoginHandle(self._next_login, self._scheduler.current, time_limit_at, workload)
        self._next_login += 1
        self._logins[handle.number] = handle
        return handle

    def _to_login(self, handle: LoginHandle, login_request: LoginRequest) -> Login:
        return Login(
            handle.number,
            self._workload_since_start(login_request),
            0,
            stable_id(login_request.subject),
            handle.time_limit_at,
            None if login_request.cost is None else round(login_request.cost * COST_UNIT_NS),
            stable_id(login_request.group) if login_request.group and self._grouped else 0,
            False,
            login_request.came_back,
        )

    def _report_if_unresponsive(self, server: int, outcome: Outcome) -> None:
        if outcome in (Outcome.TIMED_OUT, Outcome.NOT_CONNECTED, Outcome.BROKEN):
            self.server_unresponsive(server)

    def _reject(self, login: int, rejection: Rejection) -> None:
        handle = self._logins.pop(login, None)
        if handle is not None:
            handle.decision = rejection
            self._scheduler.wake(handle.task)

    def _to_report(self, values: dict[str, float] | None) -> Report | None:
        if not values:
            return None
        return Report(
            **{
                self._report_names[name]: value
                for name, value in values.items()
                if name in self._report_names
            }
        )
