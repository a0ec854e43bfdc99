"""What the decisions need from their surroundings (Host) and the plain values both sides exchange.

Times are whole nanoseconds of the host's one clock; logins, servers, groups and subjects are ids that are
only compared and handed back. 0 stands for an absent id.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple, Protocol


class Effect(Enum):
    REPEATABLE = "repeatable"  # may run again
    TAGGED = "tagged"  # repeats are recognised within a group of servers, for a while
    ONCE_ONLY = "once-only"  # must never run twice


class Reach(Enum):
    """Which servers recognise the repeat of a tagged login."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How a hand-off or a probe ended. `proves_not_run` tells what may safely be sent again."""

    FULFILLED = "fulfilled"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    @property
    def proves_not_run(self) -> bool:
        return self in (Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.NOT_SENT)


class Status(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class Scope(IntEnum):
    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class MeasurementKind(IntEnum):
    LOAD = 1  # the work a second the connection asks now, ns (same unit as Login.cost)
    DELAY = 2  # how long a message takes at its server now, ns


class Workload(NamedTuple):
    name: str
    importance: float
    soft_limit: int
    time_limit: int
    effect: Effect = Effect.REPEATABLE
    reach: Reach = Reach.ALL
    dedup_window: int = 0
    message_limit: int = 0  # within which a message on an open connection is wanted; 0: not told


class ColdRule(NamedTuple):
    start_share: float  # a server starts with at least this share of its capacity
    ramp: int  # and is warm after this
    multiple: float  # sent more than this multiple of what it can do ...
    span: int  # ... for this long, it falls


class Login(NamedTuple):
    login: int
    workload: int
    tenant: int
    subject: int
    time_limit_at: int
    cost: int | None  # expected work a second, ns; None when not told
    group: int
    mid_flow: bool = False  # packets of a connection already open somewhere
    came_back: bool = False  # after a break or a move


class Report(NamedTuple):
    count: float | None = None  # open connections
    pressure: float | None = None  # load asked over what the server can do
    busy: float | None = None  # share of its cores in use


class ListedServer(NamedTuple):
    server: int
    zone: int
    kind: int
    cell: int
    status: Status
    weight: float
    started_at: int  # 0: long past


class Host(Protocol):
    """What a Balancer may do. Every call takes effect at once and returns nothing."""

    def hand_off(self, login: int, server: int, cut_at: int) -> None: ...
    def cancel(self, login: int, attempt: int) -> None: ...
    def bounce(self, login: int, retry_in: int) -> None: ...
    def terminate(self, login: int) -> None: ...
    def move(self, login: int) -> None: ...
    def probe(self, server: int) -> None: ...
    def close_idle(self, server: int) -> None: ...
    def set_timer(self, after: int, mark: int) -> None: ...
    def watch_list(self, wanted: bool) -> None: ...
    def fetch_list(self) -> None: ...
    def send_to_peer(self, peer: int | None, content: bytes) -> None: ...
    def log(self, text: str) -> None: ...
