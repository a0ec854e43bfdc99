"""Probes the servers and watches the server list of discovery.

This module owns the probe connections, at most one per server, and the connection to discovery.
Each requested probe gets exactly one result; the module does not judge the server by it. Probes and
the watch never delay a login. The known list stays in force while discovery is unreachable or
faulty.
"""

from __future__ import annotations

from collections import deque
from random import Random

from corklift.interface import Outcome, Scope
from corklift.net.backoff import Backoff
from corklift.net.blocking import Gone, Late, connect, send_all
from corklift.net.facade import Facade, HandOffTarget
from corklift.net.limits import Counters, Limits, LogWriter
from corklift.net.parsers import (
    STATS,
    HttpResponse,
    Malformed,
    MessageTooLongError,
    format_http_get,
    parse_listing,
    parse_load_report,
    parse_server_line,
)
from corklift.net.scheduler import READ, Scheduler, Task
from corklift.net.stream import LineTooLongError, Stream

LIST_PATH = "/registry/instances"


class AddressChangedError(Exception):
    """Interrupts the watch: a reload has changed the address of discovery."""


class Overbooked(Exception):
    """Discovery has answered that it is overloaded.

    The class name is printed in log lines that a tool matches.
    """


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


class DiscoveryWatch:
    """Follows the server list: fetches the full list first, then each change of it."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        counters: Counters,
        log_writer: LogWriter,
        facade: Facade,
        address: tuple[str, int],
        rng: Random,
        known_index: int | None = None,
    ) -> None:
        self._scheduler, self._limits, self._counters, self._facade = (
            scheduler,
            limits,
            counters,
            facade,
        )
        self._log_writer, self._address = log_writer, address
        self._stream: Stream | None = None
        # Version of the known list; None: the full list is requested.
        self._index = known_index
        self._rng = rng
        self._failures = 0  # consecutive
        self._called_at = 0  # start of the latest call
        self._set_backoff(limits)
        self.has_answered = False  # whether discovery has answered since the start
        # Whether the last answer exceeded `Limits.body`; changes of the list are unknown then.
        self.list_too_long = False
        self._task: Task | None = None

    def _set_backoff(self, limits: Limits) -> None:
        """Resets both delays: short ones after faults, long ones after an overload.

        A fault is usually over soon; further calls would keep an overloaded discovery overloaded.
        """
        self._fault_backoff = Backoff(self._rng, limits.watch_pause, limits.watch_pause_most)
        self._overload_backoff = Backoff(
            self._rng, limits.overbooked_pause, limits.overbooked_pause_most
        )

    def reconfigure(self, address: tuple[str, int], limits: Limits) -> None:
        """Applies a new configuration; the known list stays in force if the address changes."""
        self._limits = limits
        self._set_backoff(limits)
        if address != self._address:
            self._address = address
            if self._task is not None:
                # Otherwise the watch would keep waiting for the old address.
                self._scheduler.interrupt(self._task, AddressChangedError())

    def watch_loop(self) -> None:
        """Watches discovery for the lifetime of the process."""
        self._task = self._scheduler.current
        # With a known list the first call is delayed at random, so that balancers that start
        # together don't call together.
        spread = self._limits.first_call_spread if self._index is not None else 0
        start_delay = int(self._rng.random() * spread) if spread else 0
        while True:
            try:
                delay, start_delay = start_delay, 0
                self._scheduler.sleep(delay)
                self._watch_until_redirected()
            except AddressChangedError:
                self._counters["discovery addresses left"] += 1
                self._failures = 0
            finally:
                self._close_stream()
                # The full list again: version numbers of another discovery mean nothing here.
                self._index = None

    def _watch_until_redirected(self) -> None:
        while True:
            try:
                self._fetch_update()
                self.list_too_long = False
                if self._failures:
                    self._log_writer.write(f"discovery answers again after {self._failures} calls")
                    self._failures = 0
                    self._set_backoff(self._limits)
            except (Gone, Late, Malformed, Overbooked) as problem:
                if not isinstance(problem, Overbooked):
                    self._close_stream()
                self._failures += 1
                self._counters["discovery failures"] += 1
                if self._failures & (self._failures - 1) == 0:
                    self._log_writer.write(
                        f"discovery: {type(problem).__name__} {problem}, "
                        f"{self._failures} in a row; the known list stays in force"
                    )
                if isinstance(problem, MessageTooLongError):
                    self._counters["discovery answers over the limit"] += 1
                    self.list_too_long = True
                if isinstance(problem, Malformed):
                    self._index = None  # request the full list again
                self._scheduler.sleep(self._delay_after(problem))

    def _delay_after(self, problem: Exception) -> int:
        """Returns the delay before the next call.

        It counts from the start of the failed call: a change that came while this one hung has to
        be known in time as well.
        """
        backoff = self._overload_backoff if isinstance(problem, Overbooked) else self._fault_backoff
        remaining = self._called_at + self._limits.watch_interval - self._scheduler.now()
        return backoff.next_delay(max(remaining, self._limits.shortest_watch_pause))

    def _close_stream(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _fetch_update(self) -> None:
        now = self._called_at = self._scheduler.now()
        path, until = LIST_PATH, now + self._limits.watch_slack
        if self._index is not None:
            # The first call does not wait for a change: it confirms the list known at start. Nor
            # does a call after a failure: it tells at once whether discovery is back.
            wait = self._limits.watch_wait if self.has_answered and not self._failures else 0
            path = f"{LIST_PATH}?index={self._index}&wait={wait // 1_000_000}"
            until += wait
        stream = self._connected_stream(now + self._limits.watch_slack)
        send_all(self._scheduler, stream, format_http_get(path, "%s:%d" % self._address), until)
        response = self._receive_response(stream, until)
        if not response.keep_alive:
            self._close_stream()
        if response.status in (429, 503):
            # Not a fault: the connection and the known version are kept. Otherwise every balancer
            # would request the full list from a discovery that is overloaded already.
            raise Overbooked(f"status {response.status}")
        content = parse_listing(response.json())
        if content.version < self._index if self._index is not None else not content.is_full:
            # It does not follow the known list: an earlier answer that comes late, or discovery has
            # started anew. Only the full list, from a new connection, tells what holds.
            raise Malformed("an earlier version, or changes of no known one")
        self._counters["discovery answers"] += 1
        if content.unreadable_count:
            self._counters["discovery entries that can't be read"] += content.unreadable_count
        self._facade.apply_listing(Scope.FULL if content.is_full else Scope.DELTA, content)
        self._index, self.has_answered = content.version, True

    def _connected_stream(self, until: int) -> Stream:
        """Returns the kept connection, or a new one if that was closed or has unexpected data.

        Such data would be taken for the answer to the next call.
        """
        if self._stream is not None:
            self._stream.receive()
            if self._stream.peer_closed or self._stream.broken or len(self._stream.receive_buffer):
                self._close_stream()
        if self._stream is None:
            self._stream = connect(self._scheduler, self._limits, self._address, until)
        return self._stream

    def _receive_response(self, stream: Stream, until: int) -> HttpResponse:
        """Returns the complete response, which has to begin before `until`."""
        response, ends_at = HttpResponse(self._limits.body), 0
        while not response.done:
            stream.receive()
            if len(stream.receive_buffer):
                response.feed(stream.receive_buffer.read(len(stream.receive_buffer)))
                ends_at = ends_at or self._response_ends_at()
                if not response.done and self._scheduler.now() >= ends_at:
                    raise Late
                # A response that stalls may contain a drain that discovery considers delivered. It
                # is given up early and requested again at once. After each failure the next may
                # stall for longer, so that a slow but complete one is taken.
                stall = self._limits.watch_stall << min(self._failures, 8)
                until = min(ends_at, self._scheduler.now() + stall)
            elif stream.broken or (stream.peer_closed and not response.ends_with_connection):
                raise Gone
            elif stream.peer_closed:
                response.connection_closed()
            elif self._scheduler.now() >= until:
                raise Late
            else:
                self._scheduler.wait({stream.fd: READ}, until)
        return response

    def _response_ends_at(self) -> int:
        """Returns until when a response that begins now has to be complete, however it comes."""
        if self._failures:
            return self._called_at + self._limits.watch_interval - self._limits.shortest_watch_pause
        return self._scheduler.now() + self._limits.watch_slack
