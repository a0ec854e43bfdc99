"""Watches the server list of discovery.

This module owns the connections to discovery. The watch never delays a login, and the known list
stays in force while discovery is unreachable or faulty.

A response that has begun may contain a drain, and the rest of it may arrive soon or never. So a
response that stalls is not given up: discovery is called again beside it, and whichever response is
complete first is used.
"""

from __future__ import annotations

from random import Random

from corklift.interface import Scope
from corklift.net.backoff import Backoff
from corklift.net.blocking import Gone, Late
from corklift.net.facade import Facade
from corklift.net.limits import WATCH_CONNECTIONS, Counters, Limits, LogWriter
from corklift.net.list_call import CallTimes, ListCall
from corklift.net.parsers import (
    Listing,
    Malformed,
    MessageTooLongError,
    format_http_get,
    parse_listing,
)
from corklift.net.scheduler import Scheduler, Task
from corklift.net.stream import Stream

LIST_PATH = "/registry/instances"
# How often the interval between calls beside stalled ones is doubled: then it outlasts a call.
MAX_DOUBLINGS = 8


class AddressChangedError(Exception):
    """Interrupts the watch: a reload has changed the address of discovery."""


class Overbooked(Exception):
    """Discovery has answered that it is overloaded.

    The class name is printed in log lines that a tool matches.
    """


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
        # The calls under way, the latest one last, and a connection that none of them uses.
        self._calls: list[ListCall] = []
        self._idle_stream: Stream | None = None
        # Version of the known list; None: the full list is requested.
        self._index = known_index
        self._rng = rng
        self._failures = 0  # consecutive
        self._called_at = 0  # start of the latest call
        # Calls made beside stalled ones since the last answer, and the interval to the next.
        self._parallel_calls = 0
        self._parallel_interval = 0
        # The overload that discovery has told since the last answer; empty if it has told none.
        self._overload = ""
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

    @property
    def address(self) -> tuple[str, int]:
        """The address of discovery."""
        return self._address

    def adopt(self, listing: Listing) -> bool:
        """Applies a list that another process of this balancer has from the same discovery.

        Returns whether it is newer than the known one; otherwise it changes nothing. If discovery
        has an earlier version, its next answers tell so, and its full list replaces this one.
        """
        known_version = self._facade.server_list.version
        if known_version is not None and listing.version <= known_version:
            return False
        self._facade.apply_listing(Scope.CACHED, listing)
        self._index = listing.version
        return True

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
                self.close()
                # The full list again: version numbers of another discovery mean nothing here.
                self._index = None

    def _watch_until_redirected(self) -> None:
        while True:
            try:
                self._follow_list()
            except (Gone, Late, Malformed, Overbooked) as problem:
                self._close_calls()
                if not isinstance(problem, Overbooked):
                    self._close_idle_stream()
                self._record_failure(problem)
                self._scheduler.sleep(self._delay_after(problem))

    def _follow_list(self) -> None:
        """Calls discovery again and again, until a failure leaves no call under way."""
        self._overload, self._parallel_calls = "", 0
        self._start_call()
        events: dict[int, int] = {}
        while True:
            has_answer = self._advance_calls(events)
            is_watching = any(call.is_waiting_for_change for call in self._calls)
            if not self._calls or (has_answer and not is_watching):
                self._start_call()
            elif self._is_parallel_call_due():
                self._start_parallel_call()
            events = self._wait_for_calls()

    def _advance_calls(self, events: dict[int, int]) -> bool:
        """Lets each call do what its socket allows; returns whether a response was applied.

        Raises the problem of a call if no other is under way and no response was applied, or if it
        concerns all calls.
        """
        has_answer = False
        for call in list(self._calls):
            try:
                if call.advance(events.get(call.stream.fd, 0)):
                    self._calls.remove(call)
                    if self._take_response(call):
                        self._record_success()
                        has_answer = True
            except (Gone, Late, Overbooked) as problem:
                if call in self._calls:
                    self._calls.remove(call)
                    call.close()
                if isinstance(problem, Overbooked):
                    self._overload = str(problem)
                if not self._calls and not has_answer:
                    raise Overbooked(self._overload) if self._overload else problem from None
        return has_answer

    def _wait_for_calls(self) -> dict[int, int]:
        """Waits for an event of a call, a deadline, or the time of a further call."""
        until = min(call.deadline for call in self._calls)
        parallel_at = self._parallel_call_at()
        if parallel_at is not None:
            until = min(until, parallel_at)
        return self._scheduler.wait({call.stream.fd: call.interest for call in self._calls}, until)

    # Calls beside stalled ones

    def _parallel_call_at(self) -> int | None:
        """Returns when discovery is to be called beside the calls under way; None: not at all."""
        latest, interval = self._calls[-1], self._parallel_interval
        is_local = self._limits.discovery_is_local
        if latest.is_waiting_for_change or (self._overload and not is_local):
            return None
        if latest.began_at is None:
            # An agent on this machine answers at once.
            return self._called_at + interval if is_local else None
        stalled_until = max(latest.progress_at, self._called_at) + interval
        if not is_local:
            return stalled_until
        # However steadily it arrives, a response that takes so long may be complete too late.
        return min(stalled_until, max(latest.began_at, self._called_at) + 2 * interval)

    def _is_parallel_call_due(self) -> bool:
        parallel_at = self._parallel_call_at()
        return parallel_at is not None and self._scheduler.now() >= parallel_at

    def _start_parallel_call(self) -> None:
        if len(self._calls) >= WATCH_CONNECTIONS:
            longest_stalled = min(self._calls, key=lambda call: call.progress_at)
            self._calls.remove(longest_stalled)
            longest_stalled.close()
            self._counters["discovery calls given up for others"] += 1
        self._parallel_calls += 1
        self._counters["discovery calls beside others"] += 1
        self._start_call()

    def _next_parallel_interval(self) -> int:
        """Returns the interval from a stall, or from the last call, to a call beside it.

        The interval grows, so that a slow but complete response is taken.
        """
        doublings = max(0, self._failures + self._parallel_calls - 1)
        interval = self._limits.watch_stall << min(doublings, MAX_DOUBLINGS)
        spread = self._limits.watch_stall_spread
        return interval + (int(self._rng.random() * spread) if spread else 0)

    # One call

    def _start_call(self) -> None:
        now = self._scheduler.now()
        # The first call does not wait for a change: it confirms the list known at start. Nor does a
        # call after a failure or a stall: it tells at once what discovery has.
        is_repeated = bool(self._failures or self._parallel_calls)
        path, wait = LIST_PATH, 0
        if self._index is not None:
            wait = self._limits.watch_wait if self.has_answered and not is_repeated else 0
            path = f"{LIST_PATH}?index={self._index}&wait={wait // 1_000_000}"
        stream = self._take_idle_stream()
        is_connected = stream is not None
        if stream is None:
            stream = Stream.connect(self._address, self._limits)
        limits = self._limits
        times = CallTimes(
            connect_by=now + limits.watch_slack,
            begin_by=now + limits.watch_slack + wait,
            max_transfer=limits.watch_slack,
            complete_by=now + limits.watch_interval - limits.shortest_watch_pause
            if is_repeated
            else None,
        )
        request = format_http_get(path, "{}:{}".format(*self._address))
        self._calls.append(
            ListCall(
                stream,
                is_connected,
                request,
                self._index,
                wait,
                times,
                self._scheduler.now,
                limits.body,
            )
        )
        self._called_at = now
        self._parallel_interval = self._next_parallel_interval()

    def _take_idle_stream(self) -> Stream | None:
        """Returns the kept connection, unless it was closed or has unexpected data.

        Such data would be taken for the answer to the next call.
        """
        stream, self._idle_stream = self._idle_stream, None
        if stream is None:
            return None
        stream.receive()
        if stream.peer_closed or stream.broken or len(stream.receive_buffer):
            stream.close()
            return None
        return stream

    def _take_response(self, call: ListCall) -> bool:
        """Applies a response; returns False if that to another call has overtaken it."""
        response = call.response
        if response.keep_alive and self._idle_stream is None:
            self._idle_stream = call.stream
        else:
            call.close()
        if response.status in (429, 503):
            # Not a fault: the connection and the known version are kept. Otherwise every balancer
            # would request the full list from a discovery that is overloaded already.
            raise Overbooked(f"status {response.status}")
        content = parse_listing(response.json())
        if content.version < call.index if call.index is not None else not content.is_full:
            # It does not follow the known list: an earlier answer that comes late, or discovery has
            # started anew. Only the full list, from a new connection, tells what holds.
            raise Malformed("an earlier version, or changes of no known one")
        if self._index not in (None, call.index) and content.version <= self._index:
            self._counters["discovery answers overtaken"] += 1
            return False
        self._counters["discovery answers"] += 1
        if content.unreadable_count:
            self._counters["discovery entries that can't be read"] += content.unreadable_count
        self._facade.apply_listing(Scope.FULL if content.is_full else Scope.DELTA, content)
        self._index, self.has_answered = content.version, True
        return True

    def _record_success(self) -> None:
        self.list_too_long, self._overload = False, ""
        self._parallel_calls = 0
        if self._failures:
            self._log_writer.write(f"discovery answers again after {self._failures} calls")
            self._failures = 0
            self._set_backoff(self._limits)
        self._parallel_interval = self._next_parallel_interval()

    def _record_failure(self, problem: Exception) -> None:
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

    def _delay_after(self, problem: Exception) -> int:
        """Returns the delay before the next call.

        It counts from the start of the failed call: a change that came while this one hung has to
        be known in time as well.
        """
        backoff = self._overload_backoff if isinstance(problem, Overbooked) else self._fault_backoff
        remaining = self._called_at + self._limits.watch_interval - self._scheduler.now()
        return backoff.next_delay(max(remaining, self._limits.shortest_watch_pause))

    def _close_calls(self) -> None:
        for call in self._calls:
            call.close()
        self._calls.clear()

    def _close_idle_stream(self) -> None:
        if self._idle_stream is not None:
            self._idle_stream.close()
            self._idle_stream = None

    def close(self) -> None:
        """Closes all connections to discovery."""
        self._close_calls()
        self._close_idle_stream()
