"""The control service as a program: its components, its update loop, reload and shutdown.

The loop turns the server list and the draw probabilities of the decision module into snapshots for
the proxies. The removal of a draining server does not wait for that loop: it is sent in the
greenlet that received the list.
"""

from __future__ import annotations

import signal
import sys
import traceback
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

import structlog

from corklift.control import resources
from corklift.control.config import ControlConfig, ControlConfigError, load_config
from corklift.control.persistence import PersistentState
from corklift.control.resources import ServerEndpoint
from corklift.control.service import XdsService
from corklift.control.subscriptions import Resource, ResourceKind, SubscriptionManager
from corklift.control.weights import PublishedWeights, UnreportedGrants, WeightPublisher
from corklift.interface import Scope, Status
from corklift.net.collector import prepare_collector
from corklift.net.discovery_watch import DiscoveryWatch
from corklift.net.facade import Facade
from corklift.net.limits import MS, SECOND, Counters, LogWriter, raise_descriptor_limit
from corklift.net.monitoring import ServerProbes
from corklift.net.parsers import Listing
from corklift.net.scheduler import WRITE, Scheduler, wall_clock
from corklift.rpc.server import RpcServer

UPDATE_INTERVAL = 50 * MS  # between two runs of the update loop
# The first snapshot waits for a load report from each server, but at most this long after the first
# list.
FIRST_REPORTS_TIMEOUT = 1500 * MS
RESERVED_DESCRIPTORS = 32  # beyond those for proxies and probes
PROBE_CONNECTION_IDLE_TIME = 30 * SECOND  # an idle connection for probes is closed after this


class EventLog:
    """Writes events as JSON lines to standard error, through structlog.

    Lines wait in a bounded queue, so that a slow reader of standard error blocks no other greenlet.
    """

    MAX_QUEUED_LINES = 1000
    MAX_LINES_PER_SECOND = 100

    def __init__(self, scheduler: Scheduler, counters: Counters) -> None:
        self._scheduler, self._counters = scheduler, counters
        self._queue: deque[str] = deque()
        self._task: Any = None
        self._second, self._lines_left = 0, self.MAX_LINES_PER_SECOND
        self._log = structlog.wrap_logger(
            self,
            processors=[
                structlog.processors.TimeStamper(fmt="iso"),
                structlog.processors.JSONRenderer(),
            ],
        )

    def msg(self, line: str) -> None:
        """Queues a rendered line; called by structlog."""
        second = self._scheduler.now() // SECOND
        if second != self._second:
            self._second, self._lines_left = second, self.MAX_LINES_PER_SECOND
        self._lines_left -= 1
        if len(self._queue) >= self.MAX_QUEUED_LINES or self._lines_left < 0:
            self._counters["log lines dropped"] += 1
            return
        self._queue.append(line)
        if self._task is not None:
            self._scheduler.wake(self._task)

    info = msg

    def write(self, event: str, **fields: Any) -> None:
        self._log.info(event, **fields)

    def write_loop(self) -> None:
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
    """All components of one control service."""

    def __init__(
        self, config: ControlConfig, path: str | None = None, now: Callable[[], int] | None = None
    ) -> None:
        self.config, self._path = config, path
        self.counters = Counters()
        self.scheduler = scheduler = Scheduler(now or wall_clock(), self._log_exception)
        self.event_log = EventLog(scheduler, self.counters)
        self.facade = Facade(
            scheduler,
            config.table.seed,
            config.balancer_arguments(),
            config.report_names,
            None,
            [],
            [],
            0,
            lambda text: self.event_log.write("decisions", text=text),
            self.counters,
        )
        self.weights = WeightPublisher(config.weight_settings)
        self.grants = UnreportedGrants(
            config.cold_rule.span, config.table.load_reports.every_ms * MS
        )
        self._servers: dict[str, ServerEndpoint] = {}  # all listed servers, by name
        self._statuses: dict[str, Status] = {}
        self._started_at: dict[str, int] = {}
        self._list_known_at: int | None = None  # when the first list was received
        self.service = XdsService(
            scheduler,
            self.counters,
            lambda host: SubscriptionManager(host, config.subscription_settings),
            self.record_placements,
            self.record_rejections,
            self.event_log.write,
            ttl=config.ttl,
            report_interval=config.table.load_reports.every_ms * MS,
        )
        self.subscriptions = self.service.subscriptions
        self.server = RpcServer(
            scheduler, config.rpc_limits, self.counters, self.service.handlers()
        )
        self.port = self.server.listen(config.listen)
        self.probes = ServerProbes(
            scheduler, config.net_limits, self.counters, self.facade, PROBE_CONNECTION_IDLE_TIME
        )
        log_writer = LogWriter(config.net_limits, scheduler.now, self.counters)
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
            config.net_limits,
            self.counters,
            log_writer,
            self.persistent_state or self,  # type: ignore[arg-type]
            config.discovery,
            Random(config.table.seed ^ 1),
        )
        self._stopping = False

    def record_placements(self, workload: str, server: str, count: int, failed: int) -> None:
        if server in self._servers:
            if workload in self.weights.published:
                self.grants.record_report(self.scheduler.now(), workload, server, count)
            self.facade.placed_by_others(server, count, failed)

    def record_rejections(self, workload: str, count: int) -> None:
        """Counts logins that proxies turned away: the probabilities are shares of these too."""
        if workload in self.weights.published:
            self.grants.record_arrivals(self.scheduler.now(), workload, count)
            self.facade.rejected_by_others(count)

    # Host of the discovery watch

    def apply_listing(self, scope: Scope, content: Listing) -> None:
        """Applies a list update; unavailable servers have left all snapshots when it returns."""
        now = self.scheduler.now()
        self.facade.apply_listing(scope, content)
        listed_names = {entry.name for entry in content.entries}
        unavailable = {entry.name for entry in content.entries if entry.status is not Status.READY}
        gone = {entry.name for entry in content.entries if entry.status is Status.GONE}
        draining_before = self._marked_draining()
        # A restarted server is removed until it has a weight as a cold server; a new address is
        # sent at once.
        restarted = {
            entry.name
            for entry in content.entries
            if entry.started_at > self._started_at.get(entry.name, entry.started_at)
        }
        relocated = {
            entry.name
            for entry in content.entries
            if entry.name in self._servers and self._servers[entry.name].address != entry.address
        }
        if content.is_full:
            gone |= self._statuses.keys() - listed_names
        for entry in content.entries:
            self._statuses[entry.name] = entry.status
            self._started_at[entry.name] = entry.started_at
            self._servers[entry.name] = ServerEndpoint(
                entry.name, entry.address, entry.zone, entry.status is Status.DRAINING
            )
        for name in gone:
            for table in (self._statuses, self._servers, self._started_at):
                table.pop(name, None)
        if self._list_known_at is None:
            self._list_known_at = now
            self.event_log.write("list known", servers=len(self._servers))
        changed = self.weights.remove_servers(unavailable | gone | restarted)
        for name in unavailable | gone | restarted:
            self.grants.forget(name)
        changed += [
            name
            for name, published in self.weights.published.items()
            if name not in changed and relocated & published.weights.keys()
        ]
        if self._marked_draining() != draining_before:
            changed = list(self.weights.published)
        if changed and self.subscriptions.has_snapshot:
            self.counters["views changed by drains"] += 1
            self.subscriptions.update_snapshot(
                now, {ResourceKind.ENDPOINTS: self._build_endpoints(changed)}, urgent=True
            )

    # Update loop

    def update_loop(self) -> None:
        while True:
            self._update_weights(self.scheduler.now())
            self.subscriptions.tick(self.scheduler.now())
            self.scheduler.sleep(UPDATE_INTERVAL)

    def _update_weights(self, now: int) -> None:
        # Before the list is known, a snapshot would be empty and proxies would reject all logins.
        if self._list_known_at is None:
            return
        if not self.subscriptions.has_snapshot and not (
            self.facade.all_servers_probed() or now - self._list_known_at >= FIRST_REPORTS_TIMEOUT
        ):
            return
        ready = [name for name, status in self._statuses.items() if status is Status.READY]
        cold = {name for name in ready if self._is_cold(now, name)}
        changed = []
        for workload in self.config.workloads:
            if self.weights.may_publish(now, workload.name):
                probabilities = self.grants.reduce(
                    now,
                    self.config.weight_interval,
                    self.facade.draw_probabilities(workload.name, self.config.weight_interval),
                    cold,
                )
                if self.config.table.weights.log:
                    self.event_log.write(
                        "weighed",
                        workload=workload.name,
                        chances={n: round(p, 6) for n, p in probabilities.items()},
                    )
                if self.weights.publish(
                    now,
                    workload.name,
                    {n: p for n, p in probabilities.items() if n in self._servers},
                    ready,
                    cold,
                ):
                    changed.append(workload.name)
            shares = self.weights.shares(workload.name) if cold else {}
            self.grants.publish(now, workload.name, {n: shares[n] for n in cold & shares.keys()})
        if not self.subscriptions.has_snapshot:
            self.subscriptions.update_snapshot(now, self._build_snapshot())
            self.event_log.write(
                "serving", servers=len(ready), proxies=len(self.subscriptions.streams)
            )
        elif changed:
            self.counters["views changed by weights"] += 1
            self.subscriptions.update_snapshot(
                now, {ResourceKind.ENDPOINTS: self._build_endpoints(changed)}
            )

    def _is_cold(self, now: int, server: str) -> bool:
        started_at = self._started_at[server]
        return bool(started_at) and now - started_at < self.config.cold_rule.ramp

    def _build_endpoints(self, workloads: list[str]) -> dict[str, Resource]:
        table = dict(self.subscriptions.current_resources(ResourceKind.ENDPOINTS))
        draining = self._marked_draining()
        for workload in workloads:
            published = self.weights.published.get(workload, PublishedWeights({}, 0))
            table[workload] = resources.build_endpoints(
                workload, published, self._servers, draining, self.config.endpoint_stale_after
            )
        return table

    def _marked_draining(self) -> list[ServerEndpoint]:
        """Returns the servers shown to proxies as draining; none if they are removed instead."""
        if self.config.table.draining == "remove":
            return []
        return sorted(server for server in self._servers.values() if server.draining)

    def _build_snapshot(self) -> dict[ResourceKind, dict[str, Resource]]:
        names = [workload.name for workload in self.config.workloads]
        connect_time = self.config.net_limits.connect_time
        clusters = {name: resources.build_cluster(name, connect_time) for name in names}
        tables = {
            ResourceKind.CLUSTERS: clusters,
            ResourceKind.LISTENERS: {
                listener.name: resources.build_listener(listener)
                for listener in self.config.listeners
            },
            ResourceKind.ROUTES: {
                listener.name: resources.build_routes(listener)
                for listener in self.config.listeners
                if not listener.is_tcp
            },
        }
        endpoints = self._build_endpoints(names)
        return tables | {ResourceKind.ENDPOINTS: {name: endpoints[name] for name in names}}

    # Reload, start and shutdown

    def reload(self) -> None:
        """Applies a changed file, keeping streams, list and counters; ignores an invalid file."""
        try:
            new = load_config(self._path or "")
        except ControlConfigError as error:
            self.counters["configurations refused"] += 1
            self.event_log.write("configuration refused", reason=str(error))
            return
        old, self.config = self.config, new
        if new.listen != old.listen:
            self.event_log.write("listen is taken at a start only", listen=old.table.listen)
        self.facade.settings_changed(new.balancer_arguments(), new.report_names, None, [], [])
        self.weights.settings, self.subscriptions.settings = (
            new.weight_settings,
            new.subscription_settings,
        )
        self.grants.configure(new.cold_rule.span, new.table.load_reports.every_ms * MS)
        self.grants.retain_workloads([workload.name for workload in new.workloads])
        self.weights.retain_workloads([workload.name for workload in new.workloads])
        self.service.ttl, self.service.report_interval = (
            new.ttl,
            new.table.load_reports.every_ms * MS,
        )
        self.probes.reconfigure(new.net_limits, PROBE_CONNECTION_IDLE_TIME)
        self.watch.reconfigure(new.discovery, new.net_limits)
        self.counters["configurations taken"] += 1
        if self.subscriptions.has_snapshot:
            now = self.scheduler.now()
            ready = [name for name, status in self._statuses.items() if status is Status.READY]
            for workload in new.workloads:
                if workload.name not in self.weights.published:
                    self.weights.publish(
                        now,
                        workload.name,
                        self.facade.draw_probabilities(workload.name, new.weight_interval),
                        ready,
                    )
            self.subscriptions.update_snapshot(now, self._build_snapshot())
        self.event_log.write("configuration taken")

    def start(self) -> None:
        spawn = self.scheduler.spawn
        spawn(self.event_log.write_loop)
        for job in (
            self.facade.timer_loop,
            self.probes.probe_loop,
            self.watch.watch_loop,
            self.update_loop,
            self.server.accept_loop,
            *(self.persistent_state.jobs() if self.persistent_state else ()),
        ):
            spawn(self._run_supervised, job)
        self.event_log.write(
            "started",
            listen=f"{self.config.listen[0]}:{self.port}",
            discovery=self.config.table.discovery,
        )

    def _run_supervised(self, job: Callable[[], None]) -> None:
        """Runs a job of the whole service, and restarts it after an exception."""
        while True:
            try:
                return job()
            except Exception:
                self._log_exception(traceback.format_exc(limit=-4))
                self.scheduler.sleep(20 * MS)

    def run(self) -> None:
        self.scheduler.on_signal(signal.SIGHUP, lambda: self.scheduler.spawn(self.reload))
        self.scheduler.on_signal(signal.SIGTERM, self.stop)
        self.scheduler.on_signal(signal.SIGINT, self.stop)
        self.scheduler.on_signal(signal.SIGUSR1, self.log_counters)
        self.start()
        prepare_collector()
        self.scheduler.run()
        self.log_counters()
        self.event_log.flush()

    def log_counters(self) -> None:
        self.event_log.write(
            "counters",
            **{name.replace(" ", "_"): value for name, value in sorted(self.counters.items())},
            proxies=len(self.subscriptions.streams),
        )

    def stop(self) -> None:
        """Sends proxies to another service (GOAWAY, end of streams), then ends the program."""
        if not self._stopping:
            self._stopping = True
            self.event_log.write("told to stop", proxies=len(self.subscriptions.streams))
            self.scheduler.spawn(self._shut_down)

    def _shut_down(self) -> None:
        try:
            self.service.stopping = True
            for connection in self.server.connections:
                connection.go_away()
            for call in list(self.service._calls.values()):
                call._wake()
            self.server.shut_down(self.config.table.stop.grace_ms * MS)
            if self.persistent_state:
                self.persistent_state.close()
        finally:
            self.scheduler.stop()

    def _log_exception(self, trace: str) -> None:
        self.counters["exceptions"] += 1
        self.event_log.write("exception", trace=trace)


def main(path: str) -> int:
    try:
        config = load_config(path)
        needed = config.rpc_limits.max_connections + config.net_limits.probes + RESERVED_DESCRIPTORS
        available = raise_descriptor_limit(needed)
        program = Program(config, path)
        if available < needed:
            program.event_log.write(
                "fewer descriptors than the limits ask for", allowed=available, wanted=needed
            )
    except ControlConfigError as error:
        print(f"corklift: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"corklift: listen: {error}", file=sys.stderr)
        return 2
    program.run()
    return 0
