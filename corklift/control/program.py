"""The control service as a program: its parts put together, kept going, read anew and ended.

Owns the loop that turns the list and the module's chances into views. Must never weigh a server itself, and never let
a drain wait for that loop: the list's word is acted on in the greenlet that brings it.
"""

from __future__ import annotations

import gc
import signal
import sys
import traceback
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

import structlog

from corklift.control import resources
from corklift.control.config import BadConfig, Control, read
from corklift.control.persistence import PersistentState
from corklift.control.resources import Place
from corklift.control.service import Service
from corklift.control.views import Kind, Resource, Views
from corklift.control.weights import PublishedWeights, Weights
from corklift.interface import Scope, Status
from corklift.net.facade import Facade
from corklift.net.limits import MS, SECOND, Counters, LogWriter, raise_descriptor_limit
from corklift.net.parsers import Listing
from corklift.net.scheduler import WRITE, Scheduler, wall_clock
from corklift.net.monitoring import ServerProbes, DiscoveryWatch
from corklift.rpc.server import Server

TURN = 50 * MS  # between two looks at what is due
READY_TIME = (
    1500 * MS
)  # after the first list, for a first count of each server; then the view stands without
STANDARD_FILES = 32  # descriptors beside those for proxies and probes
KEPT_FOR = 30 * SECOND  # a connection for probes idles so long


class EventLog:
    """JSON lines on standard error, by structlog; they wait in a short queue, never for whoever reads them."""

    MAX_QUEUED_LINES = 1000  # that wait
    MAX_LINES_PER_SECOND = 100

    def __init__(self, scheduler: Scheduler, counters: Counters) -> None:
        self._scheduler, self._counters = scheduler, counters
        self._queue: deque[str] = deque()
        self._task: Any = None
        self._second, self._left = 0, self.MAX_LINES_PER_SECOND
        self._log = structlog.wrap_logger(
            self,
            processors=[
                structlog.processors.TimeStamper(fmt="iso"),
                structlog.processors.JSONRenderer(),
            ],
        )

    def msg(self, line: str) -> None:
        """What structlog hands a line to."""
        second = self._scheduler.now() // SECOND
        if second != self._second:
            self._second, self._left = second, self.MAX_LINES_PER_SECOND
        self._left -= 1
        if len(self._queue) >= self.MAX_QUEUED_LINES or self._left < 0:
            self._counters["log lines dropped"] += 1
            return
        self._queue.append(line)
        if self._task is not None:
            self._scheduler.wake(self._task)

    info = msg

    def write(self, event: str, **fields: Any) -> None:
        self._log.info(event, **fields)

    def keep_writing(self) -> None:
        self._task = self._scheduler.current
        while True:
            if not self._queue:
                self._scheduler.wait({})
            elif self._scheduler.wait({sys.stderr.fileno(): WRITE}):
                self._write_one()

    def flush(self) -> None:
        while self._queue:
            self._write_one()

    def _write_one(self) -> None:
        try:
            print(self._queue.popleft(), file=sys.stderr, flush=True)
        except OSError:
            self._counters["log lines dropped"] += 1


class Program:
    def __init__(
        self, config: Control, path: str | None = None, now: Callable[[], int] | None = None
    ) -> None:
        self.config, self._path = config, path
        self.counters = Counters()
        self.scheduler = scheduler = Scheduler(now or wall_clock(), self._failed)
        self.event_log = EventLog(scheduler, self.counters)
        self.facade = Facade(
            scheduler,
            config.table.seed,
            config.arguments(),
            config.report_names,
            None,
            [],
            [],
            0,
            lambda text: self.event_log.write("decisions", text=text),
            self.counters,
        )
        self.weights = Weights(config.weights)
        self._places: dict[str, Place] = {}  # all that the list has, by name
        self._states: dict[str, Status] = {}
        self._started: dict[str, int] = {}
        self._known_at: int | None = None  # when the first list came
        self.service = Service(
            scheduler,
            self.counters,
            lambda host: Views(host, config.views),
            self.facade_placed,
            self.event_log.write,
            ttl=config.ttl,
            report_every=config.table.load_reports.every_ms * MS,
        )
        self.views = self.service.views
        self.server = Server(scheduler, config.rpc, self.counters, self.service.handlers())
        self.port = self.server.listen(config.listen)
        self.probes = ServerProbes(scheduler, config.net, self.counters, self.facade, KEPT_FOR)
        log_writer = LogWriter(config.net, scheduler.now, self.counters)
        log_writer.write = lambda text, always=False: self.event_log.write("discovery", text=text)  # type: ignore[method-assign]
        store = config.table.store
        self.persistent_state = (
            PersistentState(
                scheduler,
                store.path,
                store.patience_ms * MS,
                self.apply_listing,
                self.event_log.write,
            )
            if store
            else None
        )
        self.watch = DiscoveryWatch(
            scheduler,
            config.net,
            self.counters,
            log_writer,
            self.persistent_state or self,  # type: ignore[arg-type]
            config.discovery,
            Random(config.table.seed ^ 1),
        )
        self._stopping = False

    def facade_placed(self, workload: str, server: str, number: int, failed: int) -> None:
        if server in self._places:
            self.facade.placed_by_others(server, number, failed)

    # What the watch calls

    def apply_listing(self, scope: Scope, content: Listing) -> None:
        """The list's word: who drains or is gone has left every view when this returns."""
        now = self.scheduler.now()
        self.facade.apply_listing(scope, content)
        named = {entry.name for entry in content.entries}
        left = {entry.name for entry in content.entries if entry.status is not Status.READY}
        gone = {entry.name for entry in content.entries if entry.status is Status.GONE}
        marked = self._marked()
        # One that started anew is out until it is weighed as cold; one at another address is told at once.
        anew = {
            entry.name
            for entry in content.entries
            if entry.started_at > self._started.get(entry.name, entry.started_at)
        }
        moved = {
            entry.name
            for entry in content.entries
            if entry.name in self._places and self._places[entry.name].address != entry.address
        }
        if content.is_full:
            gone |= self._states.keys() - named
        for entry in content.entries:
            self._states[entry.name] = entry.status
            self._started[entry.name] = entry.started_at
            self._places[entry.name] = Place(
                entry.name, entry.address, entry.zone, entry.status is Status.DRAINING
            )
        for name in gone:
            for held in (self._states, self._places, self._started):
                held.pop(name, None)
        if self._known_at is None:
            self._known_at = now
            self.event_log.write("list known", servers=len(self._places))
        changed = self.weights.left(left | gone | anew)
        changed += [
            name
            for name, told in self.weights.told.items()
            if name not in changed and moved & told.weights.keys()
        ]
        if self._marked() != marked:
            changed = list(self.weights.told)
        if changed and self.views.known:
            self.counters["views changed by drains"] += 1
            self.views.changed(now, {Kind.ENDPOINTS: self._endpoints(changed)}, urgent=True)

    # The loop

    def keep_weighing(self) -> None:
        while True:
            self._weigh(self.scheduler.now())
            self.views.tick(self.scheduler.now())
            self.scheduler.sleep(TURN)

    def _weigh(self, now: int) -> None:
        # Guards against an empty view, after which proxies would have nowhere to place, before the list is known.
        if self._known_at is None:
            return
        if not self.views.known and not (
            self.facade.all_servers_probed() or now - self._known_at >= READY_TIME
        ):
            return
        ready = [name for name, state in self._states.items() if state is Status.READY]
        changed = []
        for workload in self.config.workloads:
            if self.weights.due(now, workload.name):
                chances = self.facade.draw_probabilities(workload.name, self.config.span)
                if self.config.table.weights.log:
                    self.event_log.write(
                        "weighed",
                        workload=workload.name,
                        chances={n: round(c, 6) for n, c in chances.items()},
                    )
                if self.weights.weighed(
                    now,
                    workload.name,
                    {n: c for n, c in chances.items() if n in self._places},
                    ready,
                ):
                    changed.append(workload.name)
        if not self.views.known:
            self.views.changed(now, self._all_tables())
            self.event_log.write("serving", servers=len(ready), proxies=len(self.views.streams))
        elif changed:
            self.counters["views changed by weights"] += 1
            self.views.changed(now, {Kind.ENDPOINTS: self._endpoints(changed)})

    def _endpoints(self, workloads: list[str]) -> dict[str, Resource]:
        table = dict(self.views.table(Kind.ENDPOINTS))
        draining = self._marked()
        for workload in workloads:
            told = self.weights.told.get(workload, PublishedWeights({}, 0))
            table[workload] = resources.endpoints(
                workload, told, self._places, draining, self.config.stale_after
            )
        return table

    def _marked(self) -> list[Place]:
        """The draining servers that proxies are shown as such, by name; none where they are to leave the views."""
        if self.config.table.draining == "remove":
            return []
        return sorted(place for place in self._places.values() if place.draining)

    def _all_tables(self) -> dict[Kind, dict[str, Resource]]:
        names = [workload.name for workload in self.config.workloads]
        connect_time = self.config.net.connect_time
        clusters = {name: resources.cluster(name, connect_time) for name in names}
        tables = {
            Kind.CLUSTERS: clusters,
            Kind.LISTENERS: {
                listener.name: resources.listener(listener) for listener in self.config.listeners
            },
            Kind.ROUTES: {
                listener.name: resources.routes(listener)
                for listener in self.config.listeners
                if not listener.is_tcp
            },
        }
        known = self._endpoints(names)
        return tables | {Kind.ENDPOINTS: {name: known[name] for name in names}}

    # Its life

    def reload(self) -> None:
        """Takes what a new configuration changes; proxies, the list and all counts stay. A bad one changes nothing."""
        try:
            new = read(self._path or "")
        except BadConfig as problem:
            self.counters["configurations refused"] += 1
            self.event_log.write("configuration refused", reason=str(problem))
            return
        old, self.config = self.config, new
        if new.listen != old.listen:
            self.event_log.write("listen is taken at a start only", listen=old.table.listen)
        self.facade.settings_changed(new.arguments(), new.report_names, None, [], [])
        self.weights.settings, self.views.settings = new.weights, new.views
        self.weights.forget([workload.name for workload in new.workloads])
        self.service.ttl, self.service.report_every = new.ttl, new.table.load_reports.every_ms * MS
        self.probes.reconfigure(new.net, KEPT_FOR)
        self.watch.reconfigure(new.discovery, new.net)
        self.counters["configurations taken"] += 1
        if self.views.known:
            now = self.scheduler.now()
            ready = [name for name, state in self._states.items() if state is Status.READY]
            for workload in new.workloads:
                if workload.name not in self.weights.told:
                    self.weights.weighed(
                        now,
                        workload.name,
                        self.facade.draw_probabilities(workload.name, new.span),
                        ready,
                    )
            self.views.changed(now, self._all_tables())
        self.event_log.write("configuration taken")

    def start(self) -> None:
        spawn = self.scheduler.spawn
        spawn(self.event_log.keep_writing)
        for job in (
            self.facade.timer_loop,
            self.probes.probe_loop,
            self.watch.watch_loop,
            self.keep_weighing,
            self.server.keep_accepting,
            *(self.persistent_state.jobs() if self.persistent_state else ()),
        ):
            spawn(self._keep, job)
        self.event_log.write(
            "started",
            listen=f"{self.config.listen[0]}:{self.port}",
            discovery=self.config.table.discovery,
        )

    def _keep(self, job: Callable[[], None]) -> None:
        """Runs one of the jobs that all proxies live on, and runs it again if an exception ends it."""
        while True:
            try:
                return job()
            except Exception:
                self._failed(traceback.format_exc(limit=-4))
                self.scheduler.sleep(20 * MS)

    def run(self) -> None:
        self.scheduler.on_signal(signal.SIGHUP, lambda: self.scheduler.spawn(self.reload))
        self.scheduler.on_signal(signal.SIGTERM, self.leave)
        self.scheduler.on_signal(signal.SIGINT, self.leave)
        self.scheduler.on_signal(signal.SIGUSR1, self.tell_counters)
        self.start()
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 20)
        self.scheduler.run()
        self.tell_counters()
        self.event_log.flush()

    def tell_counters(self) -> None:
        self.event_log.write(
            "counters",
            **{name.replace(" ", "_"): value for name, value in sorted(self.counters.items())},
            proxies=len(self.views.streams),
        )

    def leave(self) -> None:
        """Proxies are told to go elsewhere (GOAWAY, and their streams end), then the program ends."""
        if not self._stopping:
            self._stopping = True
            self.event_log.write("told to stop", proxies=len(self.views.streams))
            self.scheduler.spawn(self._see_out)

    def _see_out(self) -> None:
        try:
            self.service.leaving = True
            for link in self.server.links:
                link.go_away()
            for call in list(self.service._calls.values()):
                call._wake()
            self.server.leave(self.config.table.stop.grace_ms * MS)
            if self.persistent_state:
                self.persistent_state.end()
        finally:
            self.scheduler.stop()

    def _failed(self, trace: str) -> None:
        self.counters["exceptions"] += 1
        self.event_log.write("exception", trace=trace)


def main(path: str) -> int:
    try:
        config = read(path)
        wanted = config.rpc.connections + config.net.probes + STANDARD_FILES
        allowed = raise_descriptor_limit(wanted)
        program = Program(config, path)
        if allowed < wanted:
            program.event_log.write(
                "fewer descriptors than the limits ask for", allowed=allowed, wanted=wanted
            )
    except BadConfig as problem:
        print(f"corklift: {problem}", file=sys.stderr)
        return 2
    except OSError as problem:
        print(f"corklift: listen: {problem}", file=sys.stderr)
        return 2
    program.run()
    return 0
