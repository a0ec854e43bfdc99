"""The decisions in blocking style: pick, report, tick.

Owns the one Balancer of this process, its clock, its timers and the names behind its ids. The network sees places
and refusals, never what the Balancer was told or does. Must never touch a socket, and never let a Balancer's call
switch to another task: what it asks for is noted, and whoever waits for it is woken.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from corklift.interface import (
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
from corklift.net.parsers import Listing, LoginRequest, stable_id
from corklift.net.scheduler import Scheduler, Task
from corklift.policy import Balancer

_SERVER_NAMED = re.compile(r"server (\d+)")
UNLISTED = 0xFFFF  # a zone or machine type that the settings don't name
COST_UNIT = (
    1_000  # ns in the microseconds of work a second in which a client's guess at its load is taken
)


class HandOffTarget(NamedTuple):
    """Where a login is handed to, and when that hand-off is given up."""

    server: int
    address: tuple[str, int]
    cut_at: int


class Rejection(NamedTuple):
    """The final answer: whether trying again is harmless, and after what time."""

    harmless: bool
    retry_in: int


class LoginHandle:
    """A login, or the connection that it became, as the relay holds it."""

    def __init__(self, number: int, task: Task, time_limit_at: int) -> None:
        self.number, self.task, self.time_limit_at = number, task, time_limit_at
        self.decided: HandOffTarget | Rejection | None = None
        self.target: HandOffTarget | None = None
        self.hand_offs = 0
        self.sent_at = 0
        self.to_move = self.cancelled = False


class Facade:
    def __init__(
        self,
        scheduler: Scheduler,
        seed: int,
        arguments: dict[str, Any],
        report_names: dict[str, str],
        told: tuple[MeasurementKind, int] | None,
        localities: list[str],
        kinds: list[str],
        settle_time: int,
        log: Callable[[str], None],
        counters: Counters,
    ) -> None:
        self._scheduler, self._log, self._counters = scheduler, log, counters
        self._settle_time = settle_time
        self._settled_at: int | None = (
            None  # until then a report of nothing may be of before the start
        )
        self._zones: dict[str, int] = {}
        self._kinds: dict[str, int] = {}
        self._counted: int | None = (
            None  # balancers that place, where peers tell; otherwise the settings' count holds
        )
        self._workloads: dict[str, int] = {}  # those that logins may name
        self._all_workloads: list[
            Workload
        ] = []  # and those that connections of before a new configuration have
        arguments = self._take(arguments, report_names, told, localities, kinds)
        self._logins: dict[int, LoginHandle] = {}
        self._standing = 0  # of them, connections
        self._next_login = 1
        self.before_placement: Callable[[], None] = lambda: (
            None
        )  # whoever must see that this process was stopped sets it
        self._names: dict[int, str] = {}
        self._addresses: dict[int, tuple[str, int]] = {}
        self._ready: set[int] = set()  # by the list
        self._listed: set[int] = set()  # draining ones too
        self._out_of_service: dict[
            int, str
        ] = {}  # names of those that operators have taken out, listed or not
        self._heard: set[int] = set()
        self._timers: list[tuple[int, int]] = []
        self._ticker: Task | None = None
        self._probes: deque[int] = deque()
        self._prober: Task | None = None
        self.close_probe_connection: Callable[[int], None] = lambda server: (
            None
        )  # whoever probes sets it
        self.load_reported: Callable[[int, float], None] = lambda server, count: (
            None
        )  # whoever counts connections sets it
        # Whoever knows what was true before this process sets these: a login may be refused at once by its opening and
        # number, how one went that was not (it came up, it failed, or None), and the list as it is to be believed.
        self.admission_check: Callable[[LoginRequest, int], Rejection | None] = (
            lambda login_request, number: None
        )
        self.login_finished: Callable[[int, bool | None], None] = lambda number, up: None
        self.server_unresponsive: Callable[[int], None] = lambda server: (
            None
        )  # it did not answer, or broke a connection
        self.recovered_list: Callable[[Scope, Listing], Listing] = lambda scope, content: content
        self._balancer = Balancer(self, Random(seed), now=scheduler.now(), **arguments)

    def settings_changed(
        self,
        arguments: dict[str, Any],
        report_names: dict[str, str],
        told: tuple[MeasurementKind, int] | None,
        localities: list[str],
        kinds: list[str],
    ) -> None:
        """A new configuration's settings; logins, connections, the list and all counts stay."""
        self._balancer.settings_changed(
            self._scheduler.now(), **self._take(arguments, report_names, told, localities, kinds)
        )

    def _take(
        self,
        arguments: dict[str, Any],
        report_names: dict[str, str],
        told: tuple[MeasurementKind, int] | None,
        localities: list[str],
        kinds: list[str],
    ) -> dict[str, Any]:
        """Returns the arguments for the Balancer, with numbers that mean what they meant before.

        Guards against open connections and listed servers that change their workload or zone as names move.
        """
        self._report_names, self._told, self._grouped = report_names, told, arguments["grouped"]
        for known, names in ((self._zones, localities), (self._kinds, kinds)):
            for name in names:
                known.setdefault(name, len(known))
        numbers = {workload.name: at for at, workload in enumerate(self._all_workloads)}
        self._workloads = {}
        for workload in arguments["workloads"]:
            at = self._workloads[workload.name] = numbers.setdefault(workload.name, len(numbers))
            self._all_workloads[at : at + 1] = [workload]
        zone = arguments["zone"]
        self._arguments = arguments | {
            "workloads": list(self._all_workloads),
            "zone": self._zones[localities[zone]] if zone < len(localities) else zone,
        }
        return (
            self._arguments
            if self._counted is None
            else self._arguments | {"balancers": self._counted}
        )

    # What the relay calls

    def workload_index(self, name: str) -> int | None:
        return self._workloads.get(name)

    def workload_names(self) -> list[str]:
        """All that were ever in force, for counts."""
        return [workload.name for workload in self._all_workloads]

    @property
    def in_flight(self) -> int:
        return len(self._logins)

    def time_limit(self, login_request: LoginRequest) -> int:
        return self._all_workloads[self._workloads[login_request.workload]].time_limit

    def place_login(
        self, login_request: LoginRequest, time_limit_at: int
    ) -> tuple[LoginHandle, HandOffTarget | Rejection]:
        """A login has come; blocks until it is decided where it goes."""
        self.before_placement()
        rejection = self.admission_check(login_request, self._next_login)
        handle = self._new_login(time_limit_at)
        if rejection is not None:
            return handle, rejection
        now = self._scheduler.now()
        self._settled_at = self._settled_at or now + self._settle_time
        self._balancer.login_arrived(now, self._login(handle, login_request))
        return handle, self._decision(handle)

    def report_failed_hand_off(
        self, handle: LoginHandle, outcome: Outcome, values: dict[str, float] | None = None
    ) -> HandOffTarget | Rejection:
        """A hand-off has ended without a connection; blocks until it is decided what comes next."""
        assert handle.target is not None
        now = self._scheduler.now()
        handle.decided = None
        self.login_finished(handle.number, False)
        self._lost(handle.target.server, outcome)
        self._balancer.hand_off_ended(
            now,
            handle.number,
            False,
            handle.target.server,
            outcome,
            handle.hand_offs - 1,
            now - handle.sent_at,
            self._report(values),
        )
        return self._decision(handle)

    def report_connected(self, handle: LoginHandle) -> None:
        """The hand-off has become a connection."""
        assert handle.target is not None
        now = self._scheduler.now()
        self._standing += 1
        self.login_finished(handle.number, True)
        self._balancer.hand_off_started(
            now, handle.number, handle.hand_offs - 1, handle.target.server, now - handle.sent_at
        )

    def report_restored(self, login_request: LoginRequest, server: int) -> LoginHandle:
        """A connection that stood at this server before the start stands again."""
        now = self._scheduler.now()
        self._settled_at = now + self._settle_time
        handle = self._new_login(now)
        handle.target, handle.hand_offs, handle.sent_at = (
            HandOffTarget(server, self._addresses[server], now),
            1,
            now,
        )
        self._standing += 1
        self._balancer.connection_resumed(now, self._login(handle, login_request), server)
        return handle

    def report_connection_end(
        self, handle: LoginHandle, outcome: Outcome, values: dict[str, float] | None = None
    ) -> None:
        """A connection has ended."""
        if self._logins.pop(handle.number, None) is not None:
            assert handle.target is not None
            now = self._scheduler.now()
            self._standing -= 1
            self._lost(handle.target.server, outcome)
            self._balancer.hand_off_ended(
                now,
                handle.number,
                True,
                handle.target.server,
                outcome,
                handle.hand_offs - 1,
                now - handle.sent_at,
                self._report(values),
            )

    def report_abandoned(self, handle: LoginHandle) -> None:
        """The client has gone before its answer."""
        self.login_finished(handle.number, None)
        if self._logins.pop(handle.number, None) is not None:
            self._balancer.login_dropped(self._scheduler.now(), handle.number)

    def report_measurement(self, handle: LoginHandle, value: float) -> None:
        """A server has told a figure on this connection; the settings say what of."""
        if self._told is not None:
            assert handle.target is not None
            kind, unit = self._told
            self._counters[f"notes of {kind.name.lower()}"] += 1
            self._balancer.measurement_received(
                self._scheduler.now(),
                handle.number,
                handle.hand_offs - 1,
                handle.target.server,
                kind,
                value * unit,
            )

    def report_unanswered_line(self, handle: LoginHandle, span: int) -> None:
        """A client's line has brought nothing back for so long: messages there take that long at the least."""
        assert handle.target is not None
        self._counters["lines unanswered"] += 1
        now, server = self._scheduler.now(), handle.target.server
        self._balancer.measurement_received(
            now, handle.number, handle.hand_offs - 1, server, MeasurementKind.DELAY, float(span)
        )
        self._balancer.message_unanswered(now, server)

    def find_server(self, name: str) -> HandOffTarget | None:
        server = self._server_id(name)
        address = self._addresses.get(server)
        return None if address is None else HandOffTarget(server, address, 0)

    # What a front calls whose clients are placed by others

    def draw_probabilities(self, workload: str, span: int) -> dict[str, float]:
        """By server's name, the chance for all logins that others place in the span; the rest to 1 is refused."""
        now = self._scheduler.now()
        self._settled_at = now if self._settled_at is None else self._settled_at
        found = self._balancer.draw_probabilities(now, self._workloads[workload], span)
        return {
            self._names[server]: chance for server, chance in found.items() if server in self._names
        }

    def placed_by_others(self, name: str, number: int, failed: int) -> None:
        """Others have placed so many logins on this server, and so many of them failed."""
        self._balancer.placed_by_others(
            self._scheduler.now(), self._server_id(name), number, failed
        )

    # What a part calls that knows the other balancers

    def set_balancer_count(self, number: int) -> None:
        """So many balancers place logins, this one too: whatever the settings told or tell later."""
        if number != self._counted:
            self._counted = number
            self._balancer.settings_changed(
                self._scheduler.now(), **self._arguments | {"balancers": number}
            )

    @property
    def connection_count(self) -> int:
        """Connections that stand at servers through this balancer."""
        return self._standing

    def listed_servers(self) -> set[int]:
        """All that may hold connections, draining ones too."""
        return set(self._listed)

    # What operators' calls do

    def take_out_of_service(self, name: str) -> bool:
        """The server drains from now on, until it is put back; whether there is such a server."""
        server = self._server_id(name)
        if server not in self._listed and server not in self._out_of_service:
            return False
        self.apply_operator_override(name, True)
        return True

    def restore_to_service(self, name: str) -> bool:
        """The server may serve again where it is listed; whether there is such a server."""
        server = self._server_id(name)
        if self._out_of_service.pop(server, None) is not None:
            self._balancer.restore_to_service(self._scheduler.now(), server)
            return True
        return server in self._listed

    def apply_operator_override(self, name: str, out: bool) -> None:
        """Another process of this balancer has been told: the same holds here, listed or not."""
        if not out:
            self.restore_to_service(name)
        elif self._server_id(name) not in self._out_of_service:
            server = self._server_id(name)
            self._out_of_service[server] = name
            self._log(f"server {name:.80} is out by operators' word")
            self._balancer.take_out_of_service(self._scheduler.now(), server)

    def server_sizes(self) -> dict[str, float]:
        """By server's name, how many connections fill it, where that is known."""
        return {
            self._names[number]: size
            for number, size, *_ in self.export_learned_state()["servers"]
            if size is not None and number in self._names
        }

    def apply_size_hints(self, sizes: dict[str, float]) -> None:
        """What servers could do before this process: taken until one shows what it can."""
        self.import_learned_state(
            {
                "servers": [
                    [self._server_id(name), size, 0, 0.0, 0, 0, 0] for name, size in sizes.items()
                ],
                "homes": [],
                "open": [],
                "rate": [0.0, self._scheduler.now()],
            }
        )
        self.other_processes_ended()

    def server_start_times(self) -> dict[str, int]:
        """By server's name, when it started as the decisions know it; 0: long past."""
        return {
            self._names[number]: int(started_at)
            for number, _, started_at, *_ in self.export_learned_state()["servers"]
            if number in self._names
        }

    def importance(self, login_request: LoginRequest) -> float:
        return self._all_workloads[self._workloads[login_request.workload]].importance

    def knows_server(self, name: str) -> bool:
        """Whether there is such a server, listed or out."""
        server = self._server_id(name)
        return server in self._listed or server in self._out_of_service

    def server_name(self, server: int) -> str:
        return self._names.get(server, "")

    def ready_servers(self) -> list[int]:
        return sorted(self._ready - self._out_of_service.keys())

    def known_and_excluded_servers(self) -> tuple[int, int]:
        return self._balancer.known_and_excluded_servers(self._scheduler.now())

    def accepts_logins(self, server: int) -> bool:
        """Whether it has not begun to drain, by the list's word or operators'."""
        return server in self._ready and server not in self._out_of_service

    # What goes over to another process of this balancer

    def export_learned_state(self) -> dict[str, Any]:
        return self._balancer.export_learned_state(self._scheduler.now())

    def import_learned_state(self, learned: dict[str, Any]) -> None:
        """Takes over what an earlier process has learned; what can't be read of it is left."""
        try:
            self._balancer.import_learned_state(self._scheduler.now(), learned)
        except (TypeError, ValueError, KeyError, AttributeError, OverflowError) as problem:
            self._log(f"what an earlier process has learned can't be read: {problem!r:.100}")

    def connection_ended_elsewhere(self, server: int, load: float) -> None:
        self._balancer.connection_ended_elsewhere(self._scheduler.now(), server, load)

    def other_processes_ended(self) -> None:
        self._balancer.other_processes_ended()

    def set_standby(self, wanted: bool) -> None:
        self._balancer.set_standby(wanted)

    # Called by the monitoring tasks

    def apply_listing(self, scope: Scope, content: Listing) -> None:
        content = self.recovered_list(scope, content)
        lines = []
        for entry in content.entries:
            server = self._server_id(entry.name)
            self._names[server], self._addresses[server] = entry.name, entry.address
            lines.append(
                ListedServer(
                    server,
                    self._zones.get(entry.zone, UNLISTED),
                    self._kinds.get(entry.kind, UNLISTED),
                    entry.cell,
                    entry.status,
                    entry.weight,
                    entry.started_at,
                )
            )
        named = {line.server for line in lines}
        gone = {line.server for line in lines if line.status is Status.GONE}
        if content.is_full:
            gone |= self._names.keys() - named
        self._ready -= gone
        self._listed = self._listed - gone | named - gone
        for line in lines:
            (self._ready.add if line.status is Status.READY else self._ready.discard)(line.server)
        self._balancer.servers_listed(self._scheduler.now(), scope, content.version, tuple(lines))
        used = {
            handle.target.server for handle in self._logins.values() if handle.target is not None
        }
        for server in (
            gone - used - self._out_of_service.keys()
        ):  # Guards against growth with every server that ever was.
            for held in (self._names, self._addresses):
                held.pop(server, None)
            self._heard.discard(server)

    def next_probe(self) -> HandOffTarget:
        """Blocks until a server is to be probed."""
        self._prober = self._scheduler.current
        while True:
            while self._probes:
                server = self._probes.popleft()
                if server in self._addresses:
                    return HandOffTarget(server, self._addresses[server], 0)
                self.probe_finished(server, Outcome.NOT_CONNECTED, 0, None)
            self._scheduler.wait({})

    def probe_finished(
        self, server: int, outcome: Outcome, took: int, values: dict[str, float] | None
    ) -> None:
        self._heard.add(server)
        if (
            values
            and any(not values.get(name, 1) for name in self._report_names)
            and (self._settled_at is None or self._scheduler.now() < self._settled_at)
        ):
            # Guards against a start that takes servers for empty, or for held connections without load: what
            # stood there is only coming up, and counts and pressures are not renewed together.
            self._counters["early reports of nothing"] += 1
            outcome, values = (
                Outcome.NOT_SENT,
                None,
            )  # not heard of, so it is asked again when that matters
        report = self._report(values)
        self._lost(server, outcome)
        self._balancer.probe_answered(self._scheduler.now(), server, took, outcome, report)
        if report is not None and report.count is not None:
            self.load_reported(server, report.count)

    def all_servers_probed(self) -> bool:
        """Whether a probe of every ready server has come to an end."""
        return bool(self._ready) and self._ready - self._out_of_service.keys() <= self._heard

    def run_due_timers(self) -> int | None:
        """Runs what is due; returns when the next is."""
        now = self._scheduler.now()
        while self._timers and self._timers[0][0] <= now:
            _, mark = heappop(self._timers)  # first, so that an exception costs this one alone
            self._balancer.timer_due(now, mark)
        return self._timers[0][0] if self._timers else None

    def timer_loop(self) -> None:
        self._ticker = self._scheduler.current
        while True:
            self._scheduler.wait({}, self.run_due_timers())

    # What the decisions call

    def hand_off(self, login: int, server: int, cut_at: int) -> None:
        handle = self._logins[login]
        target = HandOffTarget(
            server,
            self._addresses[server],
            min(cut_at or handle.time_limit_at, handle.time_limit_at),
        )
        handle.target, handle.decided = target, target
        handle.hand_offs += 1
        handle.sent_at = self._scheduler.now()
        self._scheduler.wake(handle.task)

    def cancel(self, login: int, attempt: int) -> None:
        handle = self._logins.get(login)
        if handle is not None and attempt == handle.hand_offs - 1:
            handle.cancelled = True
            self._scheduler.wake(handle.task)

    def bounce(self, login: int, retry_in: int) -> None:
        self._answer(login, Rejection(True, retry_in))

    def terminate(self, login: int) -> None:
        self._answer(login, Rejection(False, 0))

    def move(self, login: int) -> None:
        handle = self._logins.get(login)
        if handle is not None:
            handle.to_move = True
            self._scheduler.wake(handle.task)

    def probe(self, server: int) -> None:
        self._probes.append(server)
        if self._prober is not None:
            self._scheduler.wake(self._prober)

    def close_idle(self, server: int) -> None:
        """No connection idles but a server's one for probes."""
        self.close_probe_connection(server)

    def set_timer(self, after: int, mark: int) -> None:
        # Never due in the round of ticks that set it.
        heappush(self._timers, (self._scheduler.now() + max(1, after), mark))
        if self._ticker is not None:
            self._scheduler.wake(self._ticker)

    def watch_list(self, wanted: bool) -> None:
        """The list is watched from start to end, whatever the settings say of asking for it."""

    def fetch_list(self) -> None:
        """See `watch_list`."""

    def send_to_peer(self, peer: int | None, content: bytes) -> None:
        """Balancers have no way to speak to each other here."""

    def log(self, text: str) -> None:
        self._log(
            _SERVER_NAMED.sub(
                lambda found: f"server {self._names.get(int(found[1]), found[1])}", text
            )
        )

    # Within

    def _server_id(self, name: str) -> int:
        number = stable_id(name)
        # Guards against two servers taken for one, as their names differ only in the word before the number.
        return (
            number
            if self._names.get(number, name) == name
            else stable_id(name, allow_hexadecimal=False)
        )

    def _new_login(self, time_limit_at: int) -> LoginHandle:
        handle = LoginHandle(self._next_login, self._scheduler.current, time_limit_at)
        self._next_login += 1
        self._logins[handle.number] = handle
        return handle

    def _login(self, handle: LoginHandle, login_request: LoginRequest) -> Login:
        return Login(
            handle.number,
            self._workloads[login_request.workload],
            0,
            stable_id(login_request.subject),
            handle.time_limit_at,
            None if login_request.cost is None else round(login_request.cost * COST_UNIT),
            stable_id(login_request.group) if login_request.group and self._grouped else 0,
            False,
            login_request.came_back,
        )

    def _decision(self, handle: LoginHandle) -> HandOffTarget | Rejection:
        while handle.decided is None:
            now = self._scheduler.now()
            if now >= handle.time_limit_at:
                # Guards against a login without an answer, whatever the decisions wait for.
                self._counters["undecided at the time limit"] += 1
                self.report_abandoned(handle)
                return Rejection(False, 0)
            self._scheduler.wait({}, handle.time_limit_at)
        return handle.decided

    def _lost(self, server: int, outcome: Outcome) -> None:
        if outcome in (Outcome.TIMED_OUT, Outcome.NOT_CONNECTED, Outcome.BROKEN):
            self.server_unresponsive(server)

    def _answer(self, login: int, rejection: Rejection) -> None:
        handle = self._logins.pop(login, None)
        if handle is not None:
            handle.decided = rejection
            self._scheduler.wake(handle.task)

    def _report(self, values: dict[str, float] | None) -> Report | None:
        if not values:
            return None
        return Report(
            **{
                self._report_names[name]: value
                for name, value in values.items()
                if name in self._report_names
            }
        )
