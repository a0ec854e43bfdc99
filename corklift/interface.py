"""The interface between the decisions (`corklift.policy`) and the program around them.

`Host` is what the decisions may ask for; the other types are the values that both sides exchange.
Times are whole nanoseconds of the host's clock. Logins, servers, groups and subjects are opaque
ids that are only compared and passed back; 0 stands for an absent id.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple, Protocol


class Effect(Enum):
    """Whether a login may run more than once."""

    # May run any number of times.
    REPEATABLE = "repeatable"
    # Repeats are recognised by a set of servers (`Reach`) for a limited time.
    TAGGED = "tagged"
    # Never runs twice.
    ONCE_ONLY = "once-only"


class Reach(Enum):
    """Which servers recognise the repeat of a tagged login."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How a hand-off or a probe ended."""

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
        """Whether the login certainly did not run, so that it may be sent again safely."""
        return self in (Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.NOT_SENT)


class Status(IntEnum):
    """A server's status in discovery's list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Scope(IntEnum):
    """What an update of the server list holds."""

    # Only the servers that changed.
    DELTA = 0
    # All servers.
    FULL = 1
    # All servers, from a stored copy rather than from discovery.
    CACHED = 2
    # Nothing: the list watch failed.
    FAILED = 3


class MeasurementKind(IntEnum):
    """What a server measures and sends on an open connection."""

    # The connection's current demand, in ns of work per second (the unit of Login.cost).
    LOAD = 1
    # How long a message currently takes at its server, in ns.
    DELAY = 2


class Workload(NamedTuple):
    """A kind of login and its limits."""

    name: str
    importance: float
    soft_limit: int
    time_limit: int
    effect: Effect = Effect.REPEATABLE
    reach: Reach = Reach.ALL
    dedup_window: int = 0
    # The longest acceptable delay of a message on an open connection; 0: not configured.
    message_limit: int = 0


class ColdRule(NamedTuple):
    """How quickly a server that has just started may be given load."""

    # The share of its full capacity that a server has at its start.
    start_share: float
    # How long it takes to reach full capacity.
    ramp: int
    # A server fails if it is sent more than this multiple of its current capacity ...
    multiple: float
    # ... for this long.
    span: int


class Login(NamedTuple):
    """A client's request for a connection to a server."""

    login: int
    workload: int
    tenant: int
    subject: int
    time_limit_at: int
    # Expected work per second, in ns; None: unknown.
    cost: int | None
    group: int
    # These are packets of a connection that is already open on some server.
    mid_flow: bool = False
    # The client returns after its connection broke or was moved.
    came_back: bool = False


class Report(NamedTuple):
    """A server's report of its load; fields that it does not report are None."""

    # Open connections.
    count: float | None = None
    # Demand over capacity.
    pressure: float | None = None
    # The share of its cores in use.
    busy: float | None = None


class ListedServer(NamedTuple):
    """One server of discovery's list."""

    server: int
    zone: int
    kind: int
    cell: int
    status: Status
    weight: float
    # 0: long ago.
    started_at: int


class Host(Protocol):
    """The actions that a Balancer may take.

    Every call takes effect at once and returns nothing.
    """

    # Hands the login to the server, and gives that up at `cut_at`.
    def hand_off(self, login: int, server: int, cut_at: int) -> None: ...

    # Ends the hand-off with this number (from 0), whose client has gone.
    def cancel(self, login: int, attempt: int) -> None: ...

    # Final answer: the client may try again, after `retry_in` at the earliest.
    def bounce(self, login: int, retry_in: int) -> None: ...

    # Final answer: trying again may not be safe.
    def terminate(self, login: int) -> None: ...

    # Ends an open connection so that its client comes back and is placed anew.
    def move(self, login: int) -> None: ...

    # Asks the server for a report; the result goes to `Balancer.probe_answered`.
    def probe(self, server: int) -> None: ...

    # Closes connections to the server that carry no client.
    def close_idle(self, server: int) -> None: ...

    # Calls `Balancer.timer_due` with the mark after this time.
    def set_timer(self, after: int, mark: int) -> None: ...

    # Starts or ends the watch of the server list.
    def watch_list(self, wanted: bool) -> None: ...

    # Requests the server list once.
    def fetch_list(self) -> None: ...

    # Sends a message to one balancer, or to all if `peer` is None.
    def send_to_peer(self, peer: int | None, content: bytes) -> None: ...

    def log(self, text: str) -> None: ...
