"""Probes the servers.

This module owns the probe connections, at most one per server. Each requested probe gets exactly
one result; the module does not judge the server by it. Probes never delay a login.
"""

from __future__ import annotations

from collections import deque

from corklift.interface import Outcome
from corklift.net.blocking import Gone, Late, connect, send_all
from corklift.net.facade import Facade, HandOffTarget
from corklift.net.limits import Counters, Limits
from corklift.net.parsers import (
    STATS,
    Malformed,
    parse_load_report,
    parse_server_line,
)
from corklift.net.scheduler import READ, Scheduler, Task
from corklift.net.stream import LineTooLongError, Stream


class ProbingStoppedError(Exception):
    """Interrupts the probe task of a server that is not to be probed any more."""


class ServerProbes:
    """Probes servers, with a task for each server that ends after a while without probes."""

    # Idle time of a probe connection, in multiples of the longest wait for an answer.
    IDLE_FACTOR = 4

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        counters: Counters,
        facade: Facade,
        idle_time: int,
    ) -> None:
        self._scheduler, self._limits, self._counters, self._facade = (
            scheduler,
            limits,
            counters,
            facade,
        )
        self._idle_time = idle_time
        self._tasks: dict[int, Task] = {}
        self._queues: dict[int, deque[HandOffTarget]] = {}
        self._connections: dict[int, Stream] = {}
        facade.close_probe_connection = self.close

    def reconfigure(self, limits: Limits, idle_time: int) -> None:
        """Applies new limits and the time for which an idle probe connection stays open."""
        self._limits, self._idle_time = limits, idle_time

    def probe_loop(self) -> None:
        """Dispatches the Balancer's probes for the lifetime of the process."""
        while True:
            target = self._facade.next_probe()
            self._counters["probes"] += 1
            if target.server in self._tasks:
                self._queues[target.server].append(target)
                self._scheduler.wake(self._tasks[target.server])
            elif len(self._tasks) >= self._limits.probes and not self._evict_idle_connection():
                self._counters["probes without a descriptor"] += 1
                self._facade.probe_finished(target.server, Outcome.NOT_SENT, 0, None)
            else:
                self._queues[target.server] = deque([target])
                self._tasks[target.server] = self._scheduler.spawn(self._probe_task, target.server)

    def close(self, server: int) -> None:
        """Closes the probe connection of a server and drops its pending probes."""
        if server in self._tasks:
            self._scheduler.interrupt(self._tasks[server], ProbingStoppedError())

    def _evict_idle_connection(self) -> bool:
        """Closes the oldest idle probe connection; returns whether there is one.

        Otherwise some servers would never be probed, for want of a descriptor.
        """
        for server, queue in self._queues.items():
            if not queue and self._tasks[server].pending_exception is None:
                self._counters["probe connections that made way"] += 1
                self._scheduler.interrupt(self._tasks[server], ProbingStoppedError())
                return True
        return False

    def _probe_task(self, server: int) -> None:
        queue = self._queues[server]
        try:
            while True:
                while queue:
                    result = self._probe(server, queue[0].address)
                    queue.popleft()  # before the report, which may raise: one result per probe
                    self._facade.probe_finished(server, *result)
                until = self._scheduler.now() + self._idle_time
                stream = self._connections.get(server)
                self._scheduler.wait({stream.fd: READ} if stream is not None else {}, until)
                if queue:
                    continue
                if stream is not None:
                    # Closed by the server, unexpected data from it, or idle for too long.
                    self._close_connection(server)
                elif self._scheduler.now() >= until:
                    return
        except ProbingStoppedError:
            pass
        finally:
            self._close_connection(server)
            del self._tasks[server], self._queues[server]
            # This process has ended these probes, which says nothing about the server.
            for _ in queue:
                self._facade.probe_finished(server, Outcome.NOT_SENT, 0, None)

    def _close_connection(self, server: int) -> None:
        stream = self._connections.pop(server, None)
        if stream is not None:
            stream.close()

    def _probe(
        self, server: int, address: tuple[str, int]
    ) -> tuple[Outcome, int, dict[str, float] | None]:
        """Returns the outcome of a probe, how long it took, and the load report."""
        started_at = attempt_at = self._scheduler.now()
        until = started_at + self._limits.probe_time
        outcome, values = Outcome.BROKEN, None
        stream = self._connections.get(server)
        is_new = stream is None
        while True:
            try:
                if stream is None:
                    stream = connect(
                        self._scheduler,
                        self._limits,
                        address,
                        min(until, attempt_at + self._limits.connect_time),
                    )
                    self._connections[server] = stream
                    self._counters["probe connections"] += 1
                outcome, values = self._request_report(stream, until)
                break
            except Late:
                outcome = (
                    Outcome.TIMED_OUT if server in self._connections else Outcome.NOT_CONNECTED
                )
                self._close_connection(server)
                break
            except (Malformed, LineTooLongError) as problem:
                self._counters[f"bad answers to probes ({str(problem) or 'over-long'})"] += 1
                outcome = Outcome.ERROR
                self._close_connection(server)
                break
            except Gone:
                outcome = Outcome.BROKEN if server in self._connections else Outcome.NOT_CONNECTED
                self._close_connection(server)
                if is_new:
                    break
                # The server may have closed an idle connection; that says nothing about its health.
                # The new connection has all of the time.
                stream, is_new, attempt_at = None, True, self._scheduler.now()
                until = attempt_at + self._limits.probe_time
        self._counters[f"probes {outcome.value}"] += 1
        return outcome, self._scheduler.now() - started_at, values

    def _request_report(
        self, stream: Stream, until: int
    ) -> tuple[Outcome, dict[str, float] | None]:
        stream.receive()
        if stream.peer_closed or stream.broken or len(stream.receive_buffer):
            raise Gone
        send_all(self._scheduler, stream, STATS, until)
        while True:
            stream.receive()
            line = stream.read_line()
            if line is not None:
                keyword, arguments = parse_server_line(line)
                if keyword not in ("PONG", "ERR", "NO"):
                    raise Malformed("unknown word")
                return (
                    Outcome.FULFILLED if keyword == "PONG" else Outcome.ERROR,
                    parse_load_report(arguments),
                )
            if stream.peer_closed or stream.broken:
                raise Gone
            if self._scheduler.now() >= until:
                raise Late
            self._scheduler.wait({stream.fd: READ}, until)
