"""Sizes, counts and times of one balancer; what it counts; what it prints.

Owns every figure by which the network code bounds itself, filled once at start from the deployment's limits and
settings and handed down. Must never decide where a login goes, and never block: what can't be printed at once
waits in a short queue or is dropped and counted.
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
RESERVED_DESCRIPTORS = (
    8  # standard streams, listener, signal pair, and some that the interpreter opens
)


class ConfigError(Exception):
    """Names the key that is missing or impossible."""


def require_key(table: Any, key: str, kind: type | tuple[type, ...], where: str = "") -> Any:
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
    clients: int  # relayed at a time, two sockets each
    waiting: int  # further clients whose line is still read, or that are told BUSY
    probes: int  # connections kept for probes
    connect_time: int  # within which a connection to a server must stand
    stop_time: int  # after SIGTERM the process ends, whatever is left
    line: int = 4096  # bytes of a line, its end included
    ring: int = 8192  # bytes of a ring buffer; two lines at least
    body: int = (
        4 << 20
    )  # bytes of an answer of discovery; as it is read it takes some ten times as much
    first_line_time: int = (
        2 * SECOND
    )  # from a client's connect, or its first PONG, to the end of its line
    name_time: int = (
        3 * SECOND
    )  # for which a connection's name is still known after its end, or its last misuse
    turned_away_time: int = 100 * MS  # for a bad client's own end, after its answer
    turned_away_bytes: int = 1 << 16  # that are still taken in from it meanwhile
    answer_margin: int = 25 * MS  # before a client's time limit, for its answer to be on its way
    longest_wait: int = (
        3600 * SECOND
    )  # a client that says it waits longer than that is not believed
    standing_time: int = 35 * SECOND  # to bring up a connection that stood before the start
    standing_pause: int = 250 * MS  # between tries of it
    settle_time: int = (
        1500 * MS
    )  # after a standing connection has come up, until reports surely hold it
    silent_time: int = (
        5 * SECOND
    )  # a line that brought nothing back for so long: the client is moved
    end_time: int = 700 * MS  # to pass a connection's end on, and to wait for the other side's
    watch_wait: int = 4 * SECOND  # how long discovery may hold a watch
    watch_slack: int = (
        2500 * MS
    )  # how late its answer may be before the watch begins anew; it may come 2 s late
    watch_stall: int = (
        100 * MS
    )  # in which an answer that has begun must go on, within the least grace of a drain
    watch_pause: int = (
        50 * MS
    )  # before a call after one that failed, about; twice as long after each further one
    watch_pause_most: int = 2500 * MS  # up to about this
    overbooked_pause: int = (
        5 * SECOND
    )  # as watch_pause, after an answer that discovery has too much to do
    overbooked_pause_most: int = 20 * SECOND
    first_call_spread: int = (
        0  # over which a start with a known list first asks what is new, where it must ask
    )
    ready_time: int = (
        1500 * MS
    )  # after which a start without discovery or counts serves all the same
    stop_accepting: int = 500 * MS  # after SIGTERM: clients still come until then
    look_pause: int = 50 * MS  # between looks at what other processes of this balancer tell
    calls: int = 0  # connections of operators at a time
    call: int = 16384  # bytes of an operator's call beside its head
    call_time: int = 5 * SECOND  # for an operator's whole call to come
    operator_pause: int = 20 * MS  # where the system has no descriptor for one
    printed: int = 20  # lines a second
    print_queue: int = 200  # lines

    def time_to_move_connections(self, accepting: int) -> int:
        """Over which connections are moved after SIGTERM: what is left but for the last to end."""
        left = self.stop_time - accepting
        return max(left // 2, left - 500 * MS)

    @property
    def unanswered_line_time(self) -> int:
        """A line that brought nothing back for so long, and again after as long, is told to the decisions."""
        return self.connect_time

    @property
    def probe_time(self) -> int:
        return (
            self.connect_time * 5 // 4
        )  # a probe's answer is waited for a little longer than a connect

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
        """From the deployment's limits; each of a fleet's servers may have a probe's connection of its own."""
        sockets = require_key(limits, "sockets", int, "limits.")
        memory = require_key(limits, "memory_mb", (int, float), "limits.")
        probes = max(8, min(2 * servers + 8, sockets // 8))
        waiting = max(8, sockets // 8)
        calls = max(4, min(32, sockets // 16)) if operated else 0
        left = (
            sockets - RESERVED_DESCRIPTORS - probes - waiting - 2 - (calls + 1 if operated else 0)
        )
        # A relayed client holds four rings and a greenlet; half of the memory is for these.
        by_memory = int(memory * (1 << 20) / 2) // (5 * cls.ring + 24 * 1024)
        clients = min(left // 2, by_memory)
        if sockets < 1 or clients < 1:
            raise ConfigError(
                f"config: limits.{'sockets' if left < 2 else 'memory_mb'} leaves no room for a client"
            )
        # The kill comes no sooner than the longest time limit, of 3 s at most, and 0.7 s more after SIGTERM.
        return cls(
            clients=clients,
            waiting=waiting,
            probes=probes,
            connect_time=connect_time,
            calls=calls,
            stop_time=min(time_limit, 3 * SECOND) + 400 * MS,
            watch_pause_most=ask_within // 4,
            overbooked_pause=ask_within // 2,
            overbooked_pause_most=2 * ask_within,
            first_call_spread=ask_within // 5 if ask_for_list else 0,
            body=min(cls.body, int(memory * (1 << 20)) // 64),
        )


def raise_descriptor_limit(wanted: int) -> int:
    """Lets this process hold so many descriptors, as far as the system does; returns how many it may."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        may = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (may, hard))
            soft = may
        except (ValueError, OSError, OverflowError):
            pass  # the system says no: what it allows already has to do
    return min(wanted, soft)


class Counters(Counter[str]):
    """What is taken in, sent and answered, by name."""

    def __init__(self) -> None:
        super().__init__()
        self.answers: Counter[tuple[str, str]] = Counter()  # served, refused or failed, by workload

    def count_answer(self, word: str, workload: str) -> None:
        """A client of this workload has been served, refused or failed: each once, where the answer is written."""
        self.answers[word, workload] += 1

    def text(self) -> str:
        return "counters: " + " ".join(f"{name}={self[name]}" for name in sorted(self))


class SecondSummary:
    """What a second brought, as one short line, where it brought trouble; `tools/fleet_count.py` adds up a fleet's."""

    SHOWN = {
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
    SHOWN_IF_ANY = ("bounced", "terminated", "full", "failed", "moved", "broken", "list failures")

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._last = self._now()

    def _now(self) -> dict[str, int]:
        return {name: sum(self._counters[key] for key in keys) for name, keys in self.SHOWN.items()}

    def next_line(self) -> str | None:
        """What has come since the last call; None where that was no trouble."""
        now, last = self._now(), self._last
        self._last = now
        if not any(now[name] > last[name] for name in self.SHOWN_IF_ANY):
            return None
        return "second: " + " ".join(
            f"{name}={now[name] - last[name]}" for name in now if now[name] > last[name]
        )


class LogWriter:
    """Lines for standard error: so many a second, never waiting for whoever reads them."""

    def __init__(self, limits: Limits, now: Callable[[], int], counters: Counters) -> None:
        self.limits, self._now, self._counters = limits, now, counters
        self._queue: deque[str] = deque()
        self._left, self._second, self._dropped = limits.printed, 0, 0
        self.wake: Callable[[], None] = lambda: None

    def write(self, text: str, always: bool = False) -> None:
        second = self._now() // SECOND
        if second != self._second:
            self._second, self._left = second, self.limits.printed
        if not always and (self._left <= 0 or len(self._queue) >= self.limits.print_queue):
            self._dropped += 1
            self._counters["log lines dropped"] += 1
            return
        self._left -= 1
        if self._dropped:
            text, self._dropped = f"{text} ({self._dropped} lines before this were dropped)", 0
        self._queue.append(self.format_line(text))
        self.wake()

    def format_line(self, text: str) -> str:
        """A line as it is written."""
        return f"corklift: {text}"[:2000].replace("\n", " | ")

    @property
    def has_pending_lines(self) -> bool:
        return bool(self._queue)

    def flush(self) -> None:
        """At exit, when nothing is left to delay."""
        while self._queue:
            self.write_next()

    def write_next(self) -> None:
        """Called when standard error takes a line at once."""
        if self._queue:
            try:
                print(self._queue.popleft(), file=sys.stderr, flush=True)
            except OSError:
                self._counters["log lines dropped"] += 1
