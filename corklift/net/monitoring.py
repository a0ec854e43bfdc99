"""Probes of servers and the watch on discovery.

Owns the connections kept for probes, one a server at the most, and the one to discovery. Each probe that is asked
for gets one result. Must never hold up a login, drop the list it knows because discovery is silent or broken, or
judge a server.
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
    format_http_get,
    parse_listing,
    parse_load_report,
    parse_server_line,
)
from corklift.net.scheduler import READ, Scheduler, Task
from corklift.net.stream import LineTooLongError, Stream

LIST = "/registry/instances"


class Redirected(Exception):
    """Discovery is at another address now."""


class Overbooked(Exception):
    """Discovery has answered, in full, that it can't tell just now."""


class Stopped(Exception):
    """Nothing more is to be asked."""


class ServerProbes:
    """One task a server that is probed; it ends when the server has not been for a while."""

    IDLE = (
        4  # times the longest wait for an answer of keeping a connection that nothing is asked of
    )

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        counters: Counters,
        facade: Facade,
        kept_for: int,
    ) -> None:
        self._scheduler, self._limits, self._counters, self._facade = (
            scheduler,
            limits,
            counters,
            facade,
        )
        self._kept_for = kept_for
        self._tasks: dict[int, Task] = {}
        self._asked: dict[int, deque[HandOffTarget]] = {}
        self._kept: dict[int, Stream] = {}
        facade.close_probe_connection = self.close

    def reconfigure(self, limits: Limits, kept_for: int) -> None:
        self._limits, self._kept_for = limits, kept_for

    def probe_loop(self) -> None:
        while True:
            target = self._facade.next_probe()
            self._counters["probes"] += 1
            if target.server in self._tasks:
                self._asked[target.server].append(target)
                self._scheduler.wake(self._tasks[target.server])
            elif len(self._tasks) >= self._limits.probes and not self._make_way():
                self._counters["probes without a descriptor"] += 1
                self._facade.probe_finished(target.server, Outcome.NOT_SENT, 0, None)
            else:
                self._asked[target.server] = deque([target])
                self._tasks[target.server] = self._scheduler.spawn(self._probe_one, target.server)

    def close(self, server: int) -> None:
        """Nothing more is asked of this server for now."""
        if server in self._tasks:
            self._scheduler.interrupt(self._tasks[server], Stopped())

    def _make_way(self) -> bool:
        """Ends the kept connection that has idled longest. Guards against servers never probed for want of one."""
        for server, asked in self._asked.items():
            if not asked and self._tasks[server].pending_exception is None:
                self._scheduler.interrupt(self._tasks[server], Gone())
                return True
        return False

    def _probe_one(self, server: int) -> None:
        asked, left = self._asked[server], Outcome.BROKEN
        try:
            while True:
                while asked:
                    self._probe(server, asked[0].address)
                    asked.popleft()
                until = self._scheduler.now() + self._kept_for
                kept = self._kept.get(server)
                self._scheduler.wait({kept.fd: READ} if kept is not None else {}, until)
                if asked:
                    continue
                if kept is not None:
                    self._close(server)  # it has ended, spoken unasked, or idled long
                elif self._scheduler.now() >= until:
                    return
        except Gone:
            self._counters["probe connections that made way"] += 1
        except Stopped:
            left = Outcome.NOT_SENT
        finally:
            self._close(server)
            del self._tasks[server], self._asked[server]
            for _ in asked:
                self._facade.probe_finished(server, left, 0, None)

    def _close(self, server: int) -> None:
        kept = self._kept.pop(server, None)
        if kept is not None:
            kept.close()

    def _probe(self, server: int, address: tuple[str, int]) -> None:
        began = self._scheduler.now()
        until = began + self._limits.probe_time
        outcome, values = Outcome.BROKEN, None
        stream = self._kept.get(server)
        fresh = stream is None
        while True:
            try:
                if stream is None:
                    stream = connect(
                        self._scheduler,
                        self._limits,
                        address,
                        min(until, began + self._limits.connect_time),
                    )
                    self._kept[server] = stream
                    self._counters["probe connections"] += 1
                outcome, values = self._ask(stream, until)
                break
            except Late:
                outcome = Outcome.TIMED_OUT if server in self._kept else Outcome.NOT_CONNECTED
                self._close(server)
                break
            except (Malformed, LineTooLongError) as problem:
                self._counters[f"bad answers to probes ({str(problem) or 'over-long'})"] += 1
                outcome = Outcome.ERROR
                self._close(server)
                break
            except Gone:
                outcome = Outcome.BROKEN if server in self._kept else Outcome.NOT_CONNECTED
                self._close(server)
                if fresh:
                    break
                # A kept connection may have been closed for idling: that says nothing of the server.
                stream, fresh = None, True
        self._counters[f"probes {outcome.value}"] += 1
        self._facade.probe_finished(server, outcome, self._scheduler.now() - began, values)

    def _ask(self, stream: Stream, until: int) -> tuple[Outcome, dict[str, float] | None]:
        stream.receive()
        if stream.peer_closed or stream.broken or len(stream.receive_buffer):
            raise Gone
        send_all(self._scheduler, stream, STATS, until)
        while True:
            stream.receive()
            line = stream.read_line()
            if line is not None:
                word, rest = parse_server_line(line)
                if word not in ("PONG", "ERR", "NO"):
                    raise Malformed("unknown word")
                return (Outcome.FULFILLED if word == "PONG" else Outcome.ERROR), parse_load_report(
                    rest
                )
            if stream.peer_closed or stream.broken:
                raise Gone
            if self._scheduler.now() >= until:
                raise Late
            self._scheduler.wait({stream.fd: READ}, until)


class DiscoveryWatch:
    """Follows the list: the whole of it first, then each change; anew wherever discovery is said to be."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        counters: Counters,
        log_writer: LogWriter,
        facade: Facade,
        address: tuple[str, int],
        rng: Random,
        known: int | None = None,
    ) -> None:
        self._scheduler, self._limits, self._counters, self._facade = (
            scheduler,
            limits,
            counters,
            facade,
        )
        self._log_writer, self._address = log_writer, address
        self._stream: Stream | None = None
        self._index = (
            known  # the version of the list that is known; None: the whole of it is asked for
        )
        self._rng = rng
        self._failures = 0  # in a row
        self._set_backoff(limits)
        self.has_answered = False  # whether discovery has answered yet
        self._task: Task | None = None

    def _set_backoff(self, limits: Limits) -> None:
        """A fault is over soon. Who says that it has too much to do is made to say so by calls, and left alone."""
        self._faults = Backoff(self._rng, limits.watch_pause, limits.watch_pause_most)
        self._refusals = Backoff(self._rng, limits.overbooked_pause, limits.overbooked_pause_most)

    def reconfigure(self, address: tuple[str, int], limits: Limits) -> None:
        """Discovery may be elsewhere by a new configuration; the list that is known stays in force."""
        self._limits = limits
        self._set_backoff(limits)
        if address != self._address:
            self._address = address
            if self._task is not None:
                # Guards against a watch that waits on at the old address: that tells nothing more.
                self._scheduler.interrupt(self._task, Redirected())

    def watch_loop(self) -> None:
        self._task = self._scheduler.current
        # Guards against balancers that start together and ask together; the known list is in force meanwhile.
        spread = self._limits.first_call_spread if self._index is not None else 0
        pause = int(self._rng.random() * spread) if spread else 0
        while True:
            try:
                wait, pause = pause, 0
                self._scheduler.sleep(wait)
                self._watch_here()
            except Redirected:
                self._counters["discovery addresses left"] += 1
                self._failures = 0
            finally:
                self._drop()
                self._index = (
                    None  # the whole list first: another discovery numbers its own versions
                )

    def _watch_here(self) -> None:
        while True:
            try:
                self._call()
                if self._failures:
                    self._log_writer.write(f"discovery answers again after {self._failures} calls")
                    self._failures = 0
                    self._set_backoff(self._limits)
            except (Gone, Late, Malformed, Overbooked) as problem:
                if not isinstance(problem, Overbooked):
                    self._drop()
                self._failures += 1
                self._counters["discovery failures"] += 1
                if self._failures & (self._failures - 1) == 0:
                    self._log_writer.write(
                        f"discovery: {type(problem).__name__} {problem}, {self._failures} in a row; "
                        "the known list stays in force"
                    )
                if isinstance(problem, Malformed):
                    self._index = None  # begin anew with the whole list
                backoff = self._refusals if isinstance(problem, Overbooked) else self._faults
                self._scheduler.sleep(backoff.next_delay())

    def _drop(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _call(self) -> None:
        now = self._scheduler.now()
        path, until = LIST, now + self._limits.watch_slack
        if self._index is not None:
            # The first answer tells that the list known at the start is the one in force: it is not waited for.
            wait = self._limits.watch_wait if self.has_answered else 0
            path = f"{LIST}?index={self._index}&wait={wait // 1_000_000}"
            until += wait
        if self._stream is None:
            self._stream = connect(
                self._scheduler, self._limits, self._address, now + self._limits.watch_slack
            )
        stream = self._stream
        send_all(self._scheduler, stream, format_http_get(path, "%s:%d" % self._address), until)
        answer = HttpResponse(self._limits.body)
        while not answer.done:
            stream.receive()
            if len(stream.receive_buffer):
                answer.feed(stream.receive_buffer.read(len(stream.receive_buffer)))
                # Guards against an answer that stops short, with a drain that counts as told: asked anew at once.
                until = self._scheduler.now() + self._limits.watch_stall
            elif stream.peer_closed and not stream.broken:
                answer.connection_closed()
            elif stream.broken:
                raise Gone
            elif self._scheduler.now() >= until:
                raise Late
            else:
                self._scheduler.wait({stream.fd: READ}, until)
        if not answer.keep_alive:
            self._drop()
        if answer.status in (429, 503):
            # Guards against the whole list asked for, by everyone, where it has said no more than to come later.
            raise Overbooked(f"status {answer.status}")
        content = parse_listing(answer.json())
        self._counters["discovery answers"] += 1
        if content.unreadable_count:
            self._counters["discovery entries that can't be read"] += content.unreadable_count
        self._facade.apply_listing(Scope.FULL if content.is_full else Scope.DELTA, content)
        self._index, self.has_answered = content.version, True
