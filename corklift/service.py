"""Assembles the parts of one balancer process, and starts, reconfigures and stops them in order.

`corklift run` uses this module alone; `corklift serve` adds components for peers and recovery.
Without these, the balancer works alone and by the settings of its file. The decisions are made
elsewhere (`corklift.policy`).
"""

from __future__ import annotations

import os
import select
import signal
import socket
import sys
import traceback
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Protocol

from corklift.configuration import Configuration, read_config
from corklift.early_signals import EarlySignals, ignore_signals
from corklift.interface import Scope
from corklift.net.admin import Admin, AdminHandler, format_stats
from corklift.net.blocking import listening_socket
from corklift.net.collector import prepare_collector
from corklift.net.discovery_watch import DiscoveryWatch
from corklift.net.facade import Facade
from corklift.net.handover_driver import HandoverDriver
from corklift.net.handover_files import handover_directory
from corklift.net.limits import MS, SECOND, ConfigError, Counters, LogWriter, SecondSummary
from corklift.net.monitoring import ServerProbes
from corklift.net.relay import Relay
from corklift.net.scheduler import WRITE, Scheduler, wall_clock
from corklift.net.stream import Stream
from corklift.settings import find_missing_key

# How long the end of the process waits for standard error to accept a line.
LAST_LINE_MS = 50


def open_inherited_socket(text: str) -> socket.socket:
    """Opens the listening socket whose descriptor this process inherited at its start."""
    problem: object = "is not a number"
    if text.isascii() and text.isdecimal():
        try:
            sock = socket.socket(fileno=int(text))
            if sock.family == socket.AF_INET and sock.getsockopt(
                socket.SOL_SOCKET, socket.SO_ACCEPTCONN
            ):
                sock.setblocking(False)
                return sock
            sock.detach()
            problem = "is not a listening IPv4 socket"
        except (OSError, OverflowError) as found:
            problem = found
    raise ConfigError(f"environment: BALANCER_LISTEN_FD holds {text!r:.40}: {problem}")


class Component(Protocol):
    """An optional component of a balancer process, such as peer membership or recovery."""

    def background_tasks(self) -> Sequence[Callable[[], None]]:
        """Returns functions that run as tasks for the lifetime of the process."""
        ...

    def on_stop_requested(self) -> None:
        """Called when the process is asked to stop; new clients still arrive for a moment."""
        ...

    def on_clients_drained(self) -> None:
        """Called after the last client has disconnected; may block briefly."""
        ...


class BalancerProcess:
    """One process of a balancer: its parts, and their start, reload and stop."""

    def __init__(
        self,
        config: Any,
        now: Callable[[], int] | None = None,
        poller: Any = None,
        *,
        reload_config: Callable[[], Any] = lambda: read_config(os.environ.get("BALANCER_CONFIG")),
        log_writer: Callable[..., LogWriter] = LogWriter,
        components: Sequence[Callable[[BalancerProcess], Component]] = (),
    ) -> None:
        """Assembles the parts; nothing runs before `start` or `run`.

        Args:
            config: The configuration as it was read.
            now: The clock, in ns.
            poller: Replaces the operating system's poll in tests.
            reload_config: Reads the configuration again, at SIGHUP.
            log_writer: Makes the writer of log lines.
            components: Make the optional components of this process.
        """
        self.counters = Counters()
        self._reload_config = reload_config
        now = now or wall_clock()
        # The environment is set for this process alone, so it overrides the shared file.
        self._admin_override = os.environ.get("BALANCER_ADMIN_ADDR")
        self._configuration = configuration = Configuration.parse(config, self._admin_override)
        self.limits = limits = configuration.limits
        self.log_writer = log_writer(limits, now, self.counters)
        self.scheduler = scheduler = Scheduler(now, self._log_exception, poller)
        self.facade = Facade(
            scheduler,
            configuration.seed,
            configuration.arguments,
            configuration.report_names,
            configuration.pushed_measurement,
            configuration.localities,
            configuration.machine_types,
            limits.settle_time,
            self.log_writer.write,
            self.counters,
        )
        self.relay = Relay(scheduler, limits, self.counters, self.facade)
        listen_fd = os.environ.get("BALANCER_LISTEN_FD", "")
        self.port = (
            self.relay.listen_on_inherited_socket(open_inherited_socket(listen_fd))
            if listen_fd
            else self.relay.listen(configuration.listen)
        )
        self._inherits_socket = bool(listen_fd)
        name = os.environ.get("BALANCER_NAME") or (
            "{}:{}".format(*configuration.listen) if configuration.listen[1] else ""
        )
        directory = handover_directory(os.environ.get("TMPDIR"), name)
        self.watch = DiscoveryWatch(
            scheduler,
            limits,
            self.counters,
            self.log_writer,
            self.facade,
            configuration.discovery,
            Random(configuration.seed ^ 1),
            configuration.known.version
            if configuration.known.is_full and configuration.known.entries
            else None,
        )
        self.handover = HandoverDriver(
            scheduler,
            limits,
            self.counters,
            lambda text: self.log_writer.write(text, always=True),
            self.facade,
            self.relay,
            self.watch,
            directory,
            self._inherits_socket,
        )
        self.probes = ServerProbes(
            scheduler, limits, self.counters, self.facade, configuration.probe_keepalive
        )
        self.admin = Admin(scheduler, limits, self.counters, AdminHandler(self))
        self.admin_port = self.admin.listen(configuration.admin) if configuration.admin else 0
        self._stopping = False
        # Replaced by a component that stores operator overrides.
        self.apply_operator_override: Callable[[str, bool], bool] = lambda name, out_of_service: (
            self.handover.take_out_of_service(name)
            if out_of_service
            else self.handover.restore_to_service(name)
        )
        # Replaced by a component that delays admission.
        self.may_serve: Callable[[], bool] = lambda: True
        # Further lines of the operators' statistics, added by components.
        self.extra_stats: list[Callable[[], str]] = []
        self._components = [component(self) for component in components]

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    def start(self) -> None:
        """Starts all background tasks of the process."""
        scheduler = self.scheduler
        log_task = scheduler.spawn(self._log_loop)
        self.log_writer.wake = lambda: scheduler.wake(log_task)
        self.handover.join()
        self.facade.apply_listing(Scope.CACHED, self._configuration.known)
        for loop in (
            self.facade.timer_loop,
            self.probes.probe_loop,
            self.watch.watch_loop,
            self.admin.accept_loop,
            self.relay.accept_loop,
            self._become_ready,
            self._summary_loop,
            self.handover.poll_loop,
            *(loop for component in self._components for loop in component.background_tasks()),
        ):
            scheduler.spawn(self._run_with_restart, loop)

    def _run_with_restart(self, loop: Callable[[], None]) -> None:
        """Runs a background task, and restarts it whenever an exception ends it.

        All connections depend on these tasks, so a fault in one must not stop it for good.
        """
        failed = False
        while True:
            try:
                if failed:
                    # Inside the try block, because an interrupt may raise here as well.
                    self.scheduler.sleep(20 * MS)
                return loop()
            except Exception:
                failed = True
                self._log_exception(traceback.format_exc(limit=-4))

    def reload(self) -> None:
        """Applies a new configuration; an invalid one changes nothing.

        Clients, the server list and all counts are kept.
        """
        old = self._configuration
        try:
            new = Configuration.parse(self._reload_config(), self._admin_override)
            # The content of `known` is not compared, as it is used at a start only. A file without
            # `admin_addr` keeps the admin endpoints where they are.
            missing_key = find_missing_key(
                old.raw | {"known": None, "admin_addr": None}, new.raw | {"admin_addr": None}
            )
            if missing_key is not None:
                raise ConfigError(
                    f"config: {missing_key} is missing, which the configuration in force has"
                )
            self._open_changed_sockets(old, new)
        except ConfigError as problem:
            self.counters["configurations refused"] += 1
            self.log_writer.write(f"{problem}; the old configuration stays in force", always=True)
            return
        self._configuration, self.limits = new, new.limits
        self.log_writer.limits = new.limits
        self.facade.settings_changed(
            new.arguments,
            new.report_names,
            new.pushed_measurement,
            new.localities,
            new.machine_types,
        )
        self.relay.reconfigure(new.limits)
        self.admin.reconfigure(new.limits)
        self.probes.reconfigure(new.limits, new.probe_keepalive)
        self.watch.reconfigure(new.discovery, new.limits)
        changed = sorted(
            {
                name
                if name in ("listen", "discovery", "seed", "known", "limits", "admin")
                else "settings"
                for name in new._fields
                if name != "raw" and getattr(new, name) != getattr(old, name)
            }
        )
        self.counters["configurations taken"] += 1
        self.log_writer.write(
            f"configuration read anew, changed: {' '.join(changed) or 'nothing'}", always=True
        )

    def _open_changed_sockets(self, old: Configuration, new: Configuration) -> None:
        """Listens on the addresses that a new configuration changes: on all of them or on none.

        Raises:
            ConfigError: an address can't be listened on; the sockets are those of before.
        """
        sockets: dict[str, socket.socket] = {}
        try:
            if new.listen != old.listen and not self._stopping and not self._inherits_socket:
                sockets["listen"] = _open_socket("listen", new.listen)
            if new.admin != old.admin and new.admin is not None:
                sockets["admin_addr"] = _open_socket("admin_addr", new.admin)
        except ConfigError:
            for sock in sockets.values():
                sock.close()
            raise
        if "listen" in sockets:
            self.port = self.relay.listen_on(sockets["listen"])
        if "admin_addr" in sockets:
            self.admin_port = self.admin.listen_on(sockets["admin_addr"])

    # Requests of the admin endpoints.

    def is_serving(self) -> bool:
        """Whether this process accepts clients, as the health check reports it."""
        return (
            self.relay.is_serving
            and self.handover.is_serving
            and self.may_serve()
            and not self.watch.list_too_long
            and not self._stopping
        )

    def stats(self) -> str:
        """Returns the counters and gauges as text, one per line."""
        known, excluded = self.facade.known_and_excluded_servers()
        return "".join(
            [
                format_stats(
                    self.counters,
                    self.facade.workload_names(),
                    self.relay.in_flight,
                    known,
                    excluded,
                ),
                *(extra() for extra in self.extra_stats),
            ]
        )

    def take_out_of_service(self, name: str) -> bool:
        """Takes a server out of service for an operator; returns whether that succeeded."""
        return self.apply_operator_override(name, True)

    def restore_to_service(self, name: str) -> bool:
        """Restores a server to service for an operator; returns whether that succeeded."""
        return self.apply_operator_override(name, False)

    def run(self, early_signals: EarlySignals) -> None:
        """Serves until the process is asked to stop, which may have been before this call."""
        self.scheduler.on_signal(signal.SIGHUP, lambda: self.scheduler.spawn(self.reload))
        self.scheduler.on_signal(signal.SIGTERM, self.request_stop)
        self.scheduler.on_signal(signal.SIGINT, self.request_stop)
        self.scheduler.on_signal(signal.SIGUSR1, self._log_counters)
        if signal.SIGHUP in early_signals.received:
            self.scheduler.spawn(self.reload)
        self.start()
        if signal.SIGUSR1 in early_signals.received:
            self._log_counters()
        time_since_stop = early_signals.time_since_stop()
        if time_since_stop is not None:
            # Clients may be in the queue of the listening socket; they get their answers.
            self.request_stop(time_since_stop)
        prepare_collector()
        self.scheduler.run()
        self._log_counters()
        self._flush_log()

    def _flush_log(self) -> None:
        """Writes the last log lines, as far as standard error takes them at once.

        A reader that has stopped must not keep the process from ending.
        """
        poll = select.poll()
        poll.register(sys.stderr.fileno(), select.POLLOUT)
        while self.log_writer.has_pending_lines and poll.poll(LAST_LINE_MS):
            self.log_writer.write_next()

    def _log_counters(self) -> None:
        self.counters["sockets open"] = Stream.open_count
        self.log_writer.write(self.counters.text(), always=True)

    def _become_ready(self) -> None:
        """Lets the relay answer `PING` once discovery has answered and each server has been probed.

        After `Limits.ready_time` the relay answers in any case.
        """
        until = self.scheduler.now() + self.limits.ready_time
        while self.scheduler.now() < until and not (
            self.watch.has_answered and self.facade.all_servers_probed()
        ):
            self.scheduler.sleep(25 * MS)
        self.relay.ready = True

    def request_stop(self, time_since: int = 0) -> None:
        """Starts a graceful stop, in which connections are moved; `run` returns when it is over.

        `time_since` is the time in ns since the process was asked to.
        """
        if not self._stopping:
            self._stopping = True
            self.log_writer.write("told to stop")
            self.handover.stop_requested()
            for component in self._components:
                component.on_stop_requested()
            self.scheduler.spawn(self._drain_and_stop, self.scheduler.now() - time_since)

    def _drain_and_stop(self, asked_at: int) -> None:
        """Shuts down the relay and the components, then lets `run` return."""
        try:
            self.relay.stop(asked_at)
            self.handover.leave()
            for component in self._components:
                component.on_clients_drained()
        finally:
            self.scheduler.stop()

    def _log_exception(self, trace: str) -> None:
        self.counters["exceptions"] += 1
        self.log_writer.write(f"exception: {trace}")

    def _summary_loop(self) -> None:
        """Logs the counts of each second that brought a failure or a moved connection."""
        summary = SecondSummary(self.counters)
        while True:
            self.scheduler.sleep(SECOND)
            line = summary.next_line()
            if line is not None:
                self.log_writer.write(line)

    def _log_loop(self) -> None:
        """Writes log lines whenever standard error accepts one, so that no other task blocks."""
        while True:
            if not self.log_writer.has_pending_lines:
                self.scheduler.wait({})
            elif self.scheduler.wait({sys.stderr.fileno(): WRITE}):
                self.log_writer.write_next()


def _open_socket(key: str, address: tuple[str, int]) -> socket.socket:
    try:
        return listening_socket(address)
    except OSError as problem:
        raise ConfigError(f"config: {key}: {problem}") from None


def run_balancer(early_signals: EarlySignals | None = None) -> int:
    """Runs the balancer configured by BALANCER_CONFIG; returns the exit status."""
    return run_process(
        lambda: BalancerProcess(read_config(os.environ.get("BALANCER_CONFIG"))), early_signals
    )


def run_process(
    create_process: Callable[[], BalancerProcess], early_signals: EarlySignals | None = None
) -> int:
    """Creates a process and serves until it is asked to stop; returns the exit status.

    `early_signals` holds the signals since the start, if they were recorded before this call.
    """
    early_signals = early_signals or EarlySignals()
    if early_signals.time_since_stop() is not None:
        return 0  # nothing listens yet, so that no client is cut off
    try:
        process = create_process()
    except ConfigError as problem:
        print(f"corklift: {problem}", file=sys.stderr)
        return 2
    except OSError as problem:
        print(f"corklift: listen: {problem}", file=sys.stderr)
        return 2
    process.run(early_signals)
    ignore_signals()
    return 0
