"""The parts of one balancer put together, started, told of a new configuration and ended.

Owns the order of these. What `run` has is here; a program with more, as `serve`, hands further parts in: one that is
absent is absent, and the others go by a plain default (alone, the file's settings). Must never decide.
"""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys
import traceback
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Protocol

from corklift.configuration import Configuration, read
from corklift.interface import Scope
from corklift.net.admin import Admin, AdminHandler, format_stats
from corklift.net.facade import Facade
from corklift.net.handover_files import handover_directory
from corklift.net.limits import MS, SECOND, ConfigError, Counters, LogWriter, SecondSummary
from corklift.net.handover_driver import HandoverDriver
from corklift.net.relay import Relay
from corklift.net.scheduler import WRITE, Scheduler, wall_clock
from corklift.net.stream import Stream
from corklift.net.monitoring import ServerProbes, DiscoveryWatch
from corklift.settings import left_out


def inherited(text: str) -> socket.socket:
    """The listening socket that this process was started with."""
    problem: object = "is no number"
    if text.isascii() and text.isdecimal():
        try:
            sock = socket.socket(fileno=int(text))
            if sock.family == socket.AF_INET and sock.getsockopt(
                socket.SOL_SOCKET, socket.SO_ACCEPTCONN
            ):
                sock.setblocking(False)
                return sock
            sock.detach()
            problem = "is no listening socket over IPv4"
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
    """The parts of one balancer, put together."""

    def __init__(
        self,
        config: Any,
        now: Callable[[], int] | None = None,
        poller: Any = None,
        *,
        read_anew: Callable[[], Any] = lambda: read(os.environ.get("BALANCER_CONFIG")),
        log_writer: Callable[..., LogWriter] = LogWriter,
        components: Sequence[Callable[[BalancerProcess], Component]] = (),
    ) -> None:
        """`read_anew`: the configuration anew, at SIGHUP; `parts`: what this program has beside those of `run`."""
        self.counters = Counters()
        self._read = read_anew
        now = now or wall_clock()
        self._admin_told = os.environ.get(
            "BALANCER_ADMIN_ADDR"
        )  # of this process, so it goes before the file's
        self._configuration = given = Configuration.of(config, self._admin_told)
        self.limits = limits = given.limits
        self.log_writer = log_writer(limits, now, self.counters)
        self.scheduler = scheduler = Scheduler(now, self._failed, poller)
        self.facade = Facade(
            scheduler,
            given.seed,
            given.arguments,
            given.report_names,
            given.told,
            given.localities,
            given.kinds,
            limits.settle_time,
            self.log_writer.write,
            self.counters,
        )
        self.relay = Relay(scheduler, limits, self.counters, self.facade)
        listen_fd = os.environ.get("BALANCER_LISTEN_FD", "")
        self.port = (
            self.relay.listen_on_inherited_socket(inherited(listen_fd))
            if listen_fd
            else self.relay.listen(given.listen)
        )
        self._shares = bool(listen_fd)
        name = os.environ.get("BALANCER_NAME") or (
            "%s:%d" % given.listen if given.listen[1] else ""
        )
        directory = handover_directory(os.environ.get("TMPDIR"), name)
        self.handover = HandoverDriver(
            scheduler,
            limits,
            self.counters,
            lambda text: self.log_writer.write(text, always=True),
            self.facade,
            self.relay,
            directory,
            self._shares,
        )
        self.probes = ServerProbes(scheduler, limits, self.counters, self.facade, given.kept_for)
        self.watch = DiscoveryWatch(
            scheduler,
            limits,
            self.counters,
            self.log_writer,
            self.facade,
            given.discovery,
            Random(given.seed ^ 1),
            given.known.version if given.known.is_full and given.known.entries else None,
        )
        self.admin = Admin(scheduler, limits, self.counters, AdminHandler(self))
        self.admin_port = self.admin.listen(given.admin) if given.admin else 0
        self._stopping = False
        self.apply_operator_override: Callable[[str, bool], bool] = (
            lambda name, out: (  # set by a component that stores operator overrides
                self.handover.take_out_of_service(name)
                if out
                else self.handover.restore_to_service(name)
            )
        )
        self.may_serve: Callable[[], bool] = lambda: (
            True
        )  # set by a component that delays admission
        self.extra_stats: list[Callable[[], str]] = []
        self._components = [component(self) for component in components]

    @property
    def configuration(self) -> Configuration:
        """What is in force."""
        return self._configuration

    def start(self) -> None:
        scheduler = self.scheduler
        printing = scheduler.spawn(self._keep_printing)
        self.log_writer.wake = lambda: scheduler.wake(printing)
        self.handover.join()
        self.facade.apply_listing(Scope.CACHED, self._configuration.known)
        for job in (
            self.facade.timer_loop,
            self.probes.probe_loop,
            self.watch.watch_loop,
            self.admin.accept_loop,
            self.relay.accept_loop,
            self._get_ready,
            self._keep_telling,
            self.handover.poll_loop,
            *(job for component in self._components for job in component.background_tasks()),
        ):
            scheduler.spawn(self._keep, job)

    def _keep(self, job: Callable[[], None]) -> None:
        """Runs one of the jobs that all connections live on, and runs it again if an exception ends it."""
        again = False
        while True:
            try:
                if again:
                    self.scheduler.sleep(20 * MS)  # within, as it may be interrupted too
                return job()
            except Exception:
                again = True
                self._failed(traceback.format_exc(limit=-4))

    def reload(self) -> None:
        """Takes what a new configuration changes; clients, the list and all counts stay. A bad one changes nothing."""
        old = self._configuration
        try:
            new = Configuration.of(self._read(), self._admin_told)
            # The list is for a start only, and whoever leaves the operators' address out keeps it.
            lacks = left_out(
                old.whole | {"known": None, "admin_addr": None}, new.whole | {"admin_addr": None}
            )
            if lacks is not None:
                raise ConfigError(
                    f"config: {lacks} is missing, which the configuration in force has"
                )
            if new.listen != old.listen and not self._stopping and not self._shares:
                self.port = self.relay.listen(new.listen)
            if new.admin != old.admin and new.admin is not None:
                self.admin_port = self.admin.listen(new.admin)
        except (ConfigError, OSError) as problem:
            self.counters["configurations refused"] += 1
            what = problem if isinstance(problem, ConfigError) else f"config: listen: {problem}"
            self.log_writer.write(f"{what}; the old configuration stays in force", always=True)
            return
        self._configuration, self.limits = new, new.limits
        self.log_writer.limits = new.limits
        self.facade.settings_changed(
            new.arguments, new.report_names, new.told, new.localities, new.kinds
        )
        self.relay.reconfigure(new.limits)
        self.admin.reconfigure(new.limits)
        self.probes.reconfigure(new.limits, new.kept_for)
        self.watch.reconfigure(new.discovery, new.limits)
        changed = sorted(
            {
                name
                if name in ("listen", "discovery", "seed", "known", "limits", "admin")
                else "settings"
                for name in new._fields
                if name != "whole" and getattr(new, name) != getattr(old, name)
            }
        )
        self.counters["configurations taken"] += 1
        self.log_writer.write(
            f"configuration read anew, changed: {' '.join(changed) or 'nothing'}", always=True
        )

    # What operators ask and tell

    def is_serving(self) -> bool:
        return (
            self.relay.is_serving
            and self.handover.is_serving
            and self.may_serve()
            and not self._stopping
        )

    def stats(self) -> str:
        known, avoided = self.facade.known_and_excluded_servers()
        return "".join(
            [
                format_stats(
                    self.counters,
                    self.facade.workload_names(),
                    self.relay.in_flight,
                    known,
                    avoided,
                ),
                *(more() for more in self.extra_stats),
            ]
        )

    def take_out_of_service(self, name: str) -> bool:
        return self.apply_operator_override(name, True)

    def restore_to_service(self, name: str) -> bool:
        return self.apply_operator_override(name, False)

    def run(self, early: Sequence[int] = ()) -> None:
        """Serves until told to stop; `early` holds the signals to reload that came while it was put together."""
        self.scheduler.on_signal(signal.SIGHUP, lambda: self.scheduler.spawn(self.reload))
        if early:
            self.scheduler.spawn(self.reload)
        self.scheduler.on_signal(signal.SIGTERM, self.leave)
        self.scheduler.on_signal(signal.SIGINT, self.leave)
        self.scheduler.on_signal(signal.SIGUSR1, self._tell_counters)
        self.start()
        # Guards against collector pauses: what stands from the start is never walked again.
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 20)
        self.scheduler.run()
        self._tell_counters()
        self.log_writer.flush()

    def _tell_counters(self) -> None:
        self.counters["sockets open"] = Stream.open_count
        self.log_writer.write(self.counters.text(), always=True)

    def _get_ready(self) -> None:
        """Serves, as PING is told, once the list and a first count of each server are there, or soon anyway."""
        until = self.scheduler.now() + self.limits.ready_time
        while self.scheduler.now() < until and not (
            self.watch.has_answered and self.facade.all_servers_probed()
        ):
            self.scheduler.sleep(25 * MS)
        self.relay.ready = True

    def leave(self) -> None:
        if not self._stopping:
            self._stopping = True
            self.log_writer.write("told to stop")
            self.handover.leave()
            for component in self._components:
                component.on_stop_requested()
            self.scheduler.spawn(self._see_out)

    def _see_out(self) -> None:
        try:
            self.relay.stop()
            for component in self._components:
                component.on_clients_drained()
        finally:
            self.scheduler.stop()

    def _failed(self, trace: str) -> None:
        self.counters["exceptions"] += 1
        self.log_writer.write(f"exception: {trace}")

    def _keep_telling(self) -> None:
        summary = SecondSummary(self.counters)
        while True:
            self.scheduler.sleep(SECOND)
            line = summary.next_line()
            if line is not None:
                self.log_writer.write(line)

    def _keep_printing(self) -> None:
        while True:
            if not self.log_writer.has_pending_lines:
                self.scheduler.wait({})
            elif self.scheduler.wait({sys.stderr.fileno(): WRITE}):
                self.log_writer.write_next()


def balance() -> int:
    """`run`: the balancer alone, from BALANCER_CONFIG."""
    return carry_on(lambda: BalancerProcess(read(os.environ.get("BALANCER_CONFIG"))))


def carry_on(make: Callable[[], BalancerProcess]) -> int:
    """Makes a process and serves until it is told to stop; returns how the program ends."""
    # Guards against the signal's usual effect, an end, and its loss before the first configuration is in use.
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    try:
        process = make()
    except ConfigError as problem:
        print(f"corklift: {problem}", file=sys.stderr)
        return 2
    except OSError as problem:
        print(f"corklift: listen: {problem}", file=sys.stderr)
        return 2
    process.run(early)
    return 0
