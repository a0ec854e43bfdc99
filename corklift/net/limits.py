"""Limits, counters and log output of a balancer process.

`Limits` holds every size, count and time that bounds the network code. It is computed once at start
from the deployment's limits and settings, and passed down. The log writer never blocks: lines that
can't be written at once wait in a short queue, or are dropped and counted.
"""

from __future__ import annotations

import resource
import sys
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from math import isfinite
from typing import Any

MS = 1_000_000
SECOND = 1_000 * MS
# Standard streams, listener, signal socket pair, and some that the interpreter opens.
RESERVED_DESCRIPTORS = 8
# Maximum number of connections to discovery: the watch, and calls beside a response that stalls. So
# many that no response is given up for a later call within the minimum grace period of a drain.
WATCH_CONNECTIONS = 4
# Share of the memory for the ring buffers of clients and their servers.
BUFFER_SHARE = 1 / 16
# Memory of a relayed client with full buffers, a greenlet, and the decisions' records of it.
CLIENT_BYTES = 64 * 1024
# Share of the memory for the table of connection names.
NAME_TABLE_SHARE = 1 / 64
# The system counts descriptors in 31 bits ...
MAX_DESCRIPTORS = (1 << 31) - 1
# ... and addresses in 64, of which a process has 47.
MAX_MEMORY_MB = 1 << 27
# A change of the server list counts as known at the latest this long after discovery had it and
# could be reached, whatever calls have failed meanwhile. The operators set this time, not a key.
LIST_DEADLINE = 6 * SECOND
# A connection that brings nothing back is moved within this time, by the protocol. Its client sends
# a line at this interval, so that much may pass before there is a line to answer.
SILENCE_DEADLINE = 7 * SECOND
CLIENT_LINE_INTERVAL = 2 * SECOND


class ConfigError(Exception):
    """A key of the configuration is missing or invalid; the text names it."""


def require_key(table: Any, key: str, kind: type | tuple[type, ...], where: str = "") -> Any:
    """Returns the value of a key of the right type; `where` is a prefix for the error message."""
    if not isinstance(table, dict) or key not in table:
        raise ConfigError(f"config: {where}{key} is missing")
    value = table[key]
    if (
        not isinstance(value, kind)
        or isinstance(value, bool)
        or (isinstance(value, float) and not isfinite(value))
    ):
        raise ConfigError(f"config: {where}{key} holds {value!r:.60}")
    return value


@dataclass(frozen=True)
class Limits:
    """The limits of one balancer process. Times are in ns."""

    # Maximum number of clients relayed at a time; each takes two sockets.
    clients: int
    # Maximum number of further clients, whose first line is being read or that are answered BUSY.
    waiting: int
    # Maximum number of connections kept open for probes.
    probes: int
    # Timeout of a connect to a server.
    connect_time: int
    # Time from SIGTERM to the end of the process, whatever is still open.
    stop_time: int
    # Maximum bytes of a line, including its line end.
    line: int = 4096
    # Bytes of a ring buffer; it must hold at least two lines.
    ring: int = 8192
    # Maximum bytes of the ring buffers of all clients and their servers that hold something.
    buffers: int = 64 << 20
    # Maximum bytes of an answer of discovery; parsing takes about ten times as much memory. As many
    # incomplete answers as `WATCH_CONNECTIONS` are held at a time.
    body: int = 4 << 20
    # Time from a client's connect, or from its first PONG, to the end of its first line.
    first_line_time: int = 2 * SECOND
    # Maximum time for which a client without a line keeps its place while others wait for one.
    eviction_patience: int = 500 * MS
    # How long a connection's name stays reserved after the connection ends, or after its last
    # misuse.
    name_time: int = 3 * SECOND
    # Bytes of the table of the connection names that are in use or reserved.
    name_table: int = 1 << 20
    # How long a rejected client has, after its answer, to close the connection itself ...
    turned_away_time: int = 100 * MS
    # ... and how many bytes from it are still read during that time.
    turned_away_bytes: int = 1 << 16
    # How long before a client's time limit its answer is sent, so that it arrives in time.
    answer_margin: int = 25 * MS
    # A client that claims to wait longer than this is rejected.
    longest_wait: int = 3600 * SECOND
    # Time to re-establish a connection that was open before a restart ...
    standing_time: int = 35 * SECOND
    # ... and the pause between the attempts.
    standing_pause: int = 250 * MS
    # Time after such a connection is up until load reports are certain to include it.
    settle_time: int = 1500 * MS
    # If a line has had no answer for so long, its client is moved to another server.
    silent_time: int = SILENCE_DEADLINE - CLIENT_LINE_INTERVAL - 500 * MS
    # Time to pass on the end of a connection and for the other side to close.
    end_time: int = 700 * MS
    # How long discovery may hold a request of the list watch. This time, `watch_slack`, a pause and
    # the answer of the next call fit into `LIST_DEADLINE`.
    watch_wait: int = LIST_DEADLINE // 2
    # How late an answer may be before the watch starts again; it can come 2 s late.
    watch_slack: int = LIST_DEADLINE * 3 // 8
    # Maximum time from the start of a failed call to the next call; a late answer to that one still
    # comes within `LIST_DEADLINE`.
    watch_interval: int = LIST_DEADLINE * 5 // 8
    # How long a response that has begun may stall before discovery is called beside it. Several may
    # stall in a row within the minimum grace period of a drain.
    watch_stall: int = 100 * MS
    # Random part of that time, so that balancers don't call together.
    watch_stall_spread: int = 0
    # Whether discovery is an agent on this machine, which answers at once and at no cost.
    discovery_is_local: bool = False
    # Mean delay after a failed call to discovery, doubled after each further failure ...
    watch_pause: int = 50 * MS
    # ... up to this value.
    watch_pause_most: int = 2500 * MS
    # The same delays after discovery answered that it is overloaded.
    overbooked_pause: int = 2500 * MS
    overbooked_pause_most: int = 2500 * MS
    # Maximum random delay of the first call to discovery by a process that starts with a known
    # list, where discovery only answers requests.
    first_call_spread: int = 0
    # Time from the start after which a process serves, even if discovery or some servers have not
    # answered yet.
    ready_time: int = 1500 * MS
    # How long clients are still accepted after SIGTERM.
    stop_accepting: int = 500 * MS
    # How long before the end of the stop time every login gets its answer, and no client is
    # accepted any more; the rest of the time is for the answers to arrive.
    stop_margin: int = 100 * MS
    # Interval between reads of the files of other processes of this balancer.
    look_pause: int = 50 * MS
    # Maximum number of operators' connections at a time.
    calls: int = 0
    # Maximum bytes of an operator's request, without its header.
    call: int = 16384
    # Time for an operator's complete request to arrive.
    call_time: int = 5 * SECOND
    # Pause before the next accept when there is no descriptor for an operator's connection.
    operator_pause: int = 20 * MS
    # Maximum log lines per second.
    printed: int = 20
    # Maximum log lines waiting to be written.
    print_queue: int = 200

    @property
    def time_to_accept(self) -> int:
        """How long clients are accepted after SIGTERM; some of the stop time is left for moves."""
        return min(self.stop_accepting, self.stop_time - 2 * self.stop_margin)

    def time_to_move_connections(self, accepting: int) -> int:
        """Returns how long connections are moved once clients are no longer accepted.

        The last 500 ms, or half of the time if that is less, are for the moved ones to end.
        """
        remaining = self.stop_time - accepting
        return max(remaining // 2, remaining - 500 * MS)

    @property
    def shortest_watch_pause(self) -> int:
        """Upper bound of the delay after a call to discovery that took all of its time."""
        return 2 * self.watch_pause

    @property
    def unanswered_line_time(self) -> int:
        """Interval after which an unanswered line is reported to the decisions, each time again."""
        return self.connect_time

    @property
    def probe_time(self) -> int:
        """How long a probe may take; a little longer than a connect."""
        return self.connect_time * 5 // 4

    @classmethod
    def from_deployment(
        cls,
        limits: Any,
        connect_time: int,
        servers: int,
        time_limit: int,
        ask_within: int,
        ask_for_list: bool,
        operated: bool = False,
    ) -> Limits:
        """Computes the limits from the deployment's limits for sockets and memory.

        There are enough probe connections for each of the fleet's servers, if sockets allow it.

        Raises:
            ConfigError: the limits leave no room for a client.
        """
        sockets = require_key(limits, "sockets", int, "limits.")
        memory = require_key(limits, "memory_mb", (int, float), "limits.")
        if not 0 < memory <= MAX_MEMORY_MB:
            raise ConfigError(f"config: limits.memory_mb holds {memory!r:.60}")
        probes = max(8, min(2 * servers + 8, sockets // 8))
        waiting = max(8, sockets // 8)
        calls = max(4, min(32, sockets // 16)) if operated else 0
        remaining = (
            sockets
            - RESERVED_DESCRIPTORS
            - WATCH_CONNECTIONS
            - probes
            - waiting
            - 1
            - (calls + 1 if operated else 0)
        )
        # Half of the memory is for relayed clients.
        clients_by_memory = int(memory * (1 << 20) / 2) // CLIENT_BYTES
        clients = min(remaining // 2, clients_by_memory)
        if sockets < 1 or clients < 1:
            raise ConfigError(
                f"config: limits.{'sockets' if remaining < 2 else 'memory_mb'}"
                " leaves no room for a client"
            )
        # SIGKILL comes no sooner after SIGTERM than the longest time limit, or 3 s if that is less,
        # plus 0.7 s.
        return cls(
            clients=clients,
            waiting=waiting,
            probes=probes,
            connect_time=connect_time,
            calls=calls,
            stop_time=min(time_limit, 3 * SECOND) + 400 * MS,
            **_list_times(ask_within, ask_for_list),
            body=min(cls.body, int(memory * (1 << 20)) // 64),
            buffers=int(memory * (1 << 20) * BUFFER_SHARE),
            name_table=min(cls.name_table, int(memory * (1 << 20) * NAME_TABLE_SHARE)),
        )


def _list_times(ask_within: int, ask_for_list: bool) -> dict[str, int]:
    """Returns the limits of the list watch.

    The times are shares of the time when a change counts as known.
    Where lists are asked for, a change counts as known four times `ask_within` after a failed call,
    if that is less than `LIST_DEADLINE`. Where they are pushed, one counts as known as soon as the
    agent on this machine has it, so that the pause after any failure is shorter than the grace
    period of a drain; the agent answers at once and at no cost.
    """
    deadline = min(LIST_DEADLINE, max(4 * ask_within, SECOND)) if ask_for_list else LIST_DEADLINE
    interval = deadline * 5 // 8
    longest_pause = interval * 2 // 3 if ask_for_list else Limits.watch_stall
    return dict(
        watch_wait=deadline // 2,
        watch_slack=deadline * 3 // 8,
        watch_interval=interval,
        watch_pause_most=min(ask_within // 4, longest_pause) if ask_for_list else longest_pause,
        overbooked_pause=min(max(ask_within // 2, Limits.watch_pause), longest_pause)
        if ask_for_list
        else longest_pause,
        overbooked_pause_most=longest_pause,
        first_call_spread=min(ask_within // 5, deadline // 3) if ask_for_list else 0,
        watch_stall_spread=Limits.watch_pause if ask_for_list else 0,
        discovery_is_local=not ask_for_list,
    )


def raise_descriptor_limit(wanted: int) -> int:
    """Raises the soft limit of descriptors as far as needed and allowed.

    Returns how many of the wanted descriptors the process may open.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        allowed = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
            soft = allowed
        except (ValueError, OSError, OverflowError):
            pass  # the system refused: the present limit stays
    return min(wanted, soft)


class Counters(Counter[str]):
    """Event counters by name. The names are an interface to operators and tools."""

    def __init__(self) -> None:
        super().__init__()
        # By result (served, refused or failed) and workload.
        self.answers: Counter[tuple[str, str]] = Counter()

    def count_answer(self, result: str, workload: str) -> None:
        """Counts a client once, when its answer is written."""
        self.answers[result, workload] += 1

    def text(self) -> str:
        return "counters: " + " ".join(f"{name}={self[name]}" for name in sorted(self))


class SecondSummary:
    """One log line per second that summarises the counters, if there was a problem.

    `tools/fleet_count.py` adds up the lines of a fleet.
    """

    # The counters that are summed up under each name in the line.
    COUNTERS_BY_NAME = {
        "logins": ("logins in",),
        "bounced": ("logins bounced", "logins bounced without room"),
        "terminated": ("logins terminated",),
        "hand-offs": ("hand-offs",),
        "full": ("hand-offs full",),
        "failed": (
            "hand-offs error",
            "hand-offs timed out",
            "hand-offs not connected",
            "hand-offs broken",
        ),
        "moved": ("clients moved", "clients moved from silence"),
        "broken": ("connections broken",),
        "probes": ("probes",),
        "probes unanswered": ("probes timed out", "probes not connected", "probes broken"),
        "connects": ("hand-offs", "probe connections"),
        "list calls": ("discovery answers", "discovery failures"),
        "list failures": ("discovery failures",),
    }
    # Names whose growth is a problem.
    PROBLEMS = ("bounced", "terminated", "full", "failed", "moved", "broken", "list failures")

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._last_totals = self._totals()

    def _totals(self) -> dict[str, int]:
        return {
            name: sum(self._counters[key] for key in keys)
            for name, keys in self.COUNTERS_BY_NAME.items()
        }

    def next_line(self) -> str | None:
        """Returns the changes since the last call; None if none of them is a problem."""
        totals, last = self._totals(), self._last_totals
        self._last_totals = totals
        if not any(totals[name] > last[name] for name in self.PROBLEMS):
            return None
        return "second: " + " ".join(
            f"{name}={totals[name] - last[name]}" for name in totals if totals[name] > last[name]
        )


class LogWriter:
    """Writes log lines to standard error at a limited rate, without blocking on its reader."""

    def __init__(self, limits: Limits, now: Callable[[], int], counters: Counters) -> None:
        self.limits, self._now, self._counters = limits, now, counters
        self._queue: deque[str] = deque()
        self._remaining, self._second, self._dropped = limits.printed, 0, 0
        self.wake: Callable[[], None] = lambda: None

    def write(self, text: str, always: bool = False) -> None:
        """Queues a line; drops it beyond the rate or the queue's length unless `always` is set."""
        second = self._now() // SECOND
        if second != self._second:
            self._second, self._remaining = second, self.limits.printed
        if not always and (self._remaining <= 0 or len(self._queue) >= self.limits.print_queue):
            self._dropped += 1
            self._counters["log lines dropped"] += 1
            return
        self._remaining -= 1
        if self._dropped:
            text, self._dropped = f"{text} ({self._dropped} lines before this were dropped)", 0
        self._queue.append(self.format_line(text))
        self.wake()

    def format_line(self, text: str) -> str:
        """Returns the line as it is written."""
        return f"corklift: {text}"[:2000].replace("\n", " | ")

    @property
    def has_pending_lines(self) -> bool:
        return bool(self._queue)

    def flush(self) -> None:
        """Writes all pending lines. It may block, so it is for the end of the process only."""
        while self._queue:
            self.write_next()

    def write_next(self) -> None:
        """Writes one line. Call it when standard error is writable."""
        if self._queue:
            try:
                print(self._queue.popleft(), file=sys.stderr, flush=True)
            except OSError:
                self._counters["log lines dropped"] += 1
