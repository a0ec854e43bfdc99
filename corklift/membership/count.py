"""How many balancers may be placing logins: what the guards of cold servers divide a server's budget by.

Owns that number and its evidence. It may grow at once, and falls only on evidence: a member said that it leaves, operators said
that it is gone, or the servers' own counts leave no room for it. It errs towards too many: a budget then goes unused for a while,
where one divided by too few, on both sides of a partition, pushes a server over. Must never fall because a member is silent.

The servers' counts. Let V be the members held for dead, L the others. Each server was heard since V was complete, and then each
of L told, when asked after that, the fewest connections that it held over a window that reaches back before those reports. All
that the servers hold beyond the sum of these may be V's. Who places holds a connection, so of V no more than that many place.
"""

from __future__ import annotations

from collections import deque

REPORT_LAG = 1.0  # periods by which a server's report may be older than its coming
WINDOW = 2.5  # times the fleet, in periods, over which a member remembers the fewest connections that it held


class SlidingMinimum:
    """The fewest connections held over a window that slides."""

    def __init__(self, now: int) -> None:
        self._since = now  # what was held before is not known, or no longer
        self._window = 0
        self._held: deque[tuple[int, int]] = (
            deque()
        )  # values that rise, each with the time until which it held; the last holds

    def record(self, now: int, value: int, window: int) -> None:
        self._window = window
        self._since = max(self._since, now - window)
        if self._held:
            self._held[-1] = now, self._held[-1][1]
        while self._held and self._held[-1][1] >= value:
            self._held.pop()
        self._held.append((now, value))
        while len(self._held) > 1 and self._held[0][0] < self._since:
            self._held.popleft()

    def minimum(self, now: int) -> tuple[int, int]:
        """The window in ns up to now, and the fewest in it."""
        return (min(self._window, now - self._since), self._held[0][1]) if self._held else (0, 0)


class BalancerCount:
    def __init__(self, expected: int, period: int, now: int) -> None:
        """`expected`: balancers that there may be before any is known by name."""
        self._expected, self._period = expected, period
        self._own_minimum = SlidingMinimum(now)
        self._alive: set[str] = set()
        self._dead: set[str] = set()
        self._left: set[str] = set()
        self._unconfirmed_leaves: dict[
            str, tuple[int, set[str]]
        ] = {}  # by name: since when it is held so, and who has not answered a call since
        self._max_dead_placing: int | None = (
            None  # for placing members that vanished, by the last whole round of evidence
        )
        self._start_round(now)

    def _start_round(self, now: int) -> None:
        self._round_started_at, self._reports_complete_at = now, 0
        self._server_reports: dict[str, float] = {}
        self._minimums: dict[str, int] = {}

    def raise_expected(self, value: int) -> None:
        """So many balancers there may be: more than was said, never fewer."""
        self._expected = max(self._expected, value)

    # Members, this one not

    def member_alive(self, now: int, name: str) -> None:
        if name not in self._alive:
            self._dead.discard(name)
            self._left.discard(name)
            self._unconfirmed_leaves.pop(name, None)
            self._alive.add(name)
            self._start_round(now)

    def member_dead(self, now: int, name: str) -> None:
        """Held for dead: evidence of before, which took it for living, says nothing of it."""
        self._alive.discard(name)
        self._unconfirmed_leaves.pop(name, None)
        self._dead.add(name)
        self._max_dead_placing = None
        self._start_round(now)
        self._confirm_leaves(name)

    def member_left(self, now: int, name: str) -> None:
        """Counted on until each that lives has answered a call made since. Guards against a late word of one that left and is back."""
        self._alive.discard(name)
        self._dead.discard(name)
        self._left.add(name)
        self._unconfirmed_leaves[name] = now, set(self._alive)
        self._start_round(now)
        self._confirm_leaves(name)

    def _confirm_leaves(self, member: str) -> None:
        """Nobody is left to be asked for by this one's word about those that leave."""
        for name, (_, pending) in list(self._unconfirmed_leaves.items()):
            pending.discard(member)
            if not pending:
                del self._unconfirmed_leaves[name]

    # Evidence

    def set_connections(self, now: int, connections: int) -> None:
        self._own_minimum.record(
            now, connections, int(WINDOW * (len(self._alive) + 3) * self._period)
        )

    def own_minimum(self, now: int) -> tuple[int, int]:
        return self._own_minimum.minimum(now)

    def process_paused(self, now: int) -> None:
        """This process did not look for a while: what it knew of others' placements is over."""
        self._max_dead_placing = None
        self._start_round(now)

    def server_reported(self, now: int, server: str, connections: float, listed: set[str]) -> bool:
        """A server told its connections, whoever placed them; `listed`: all that may hold some. Returns whether that ends a round."""
        if not self._dead or now < self._round_started_at + REPORT_LAG * self._period:
            return False
        if not self._reports_complete_at:
            self._server_reports[server] = connections
            if listed and listed <= self._server_reports.keys():
                self._reports_complete_at = now
        return self._finish_round(now)

    def member_replied(
        self, sent_at: int, now: int, name: str, window: int, min_connections: int
    ) -> bool:
        """A member answered a call made at `asked`. Returns whether that changes the number."""
        before = len(self._unconfirmed_leaves)
        for leaving, (since, pending) in list(self._unconfirmed_leaves.items()):
            if sent_at >= since:
                pending.discard(name)
                if not pending:
                    del self._unconfirmed_leaves[leaving]
        if len(self._unconfirmed_leaves) < before:
            self._add_minimum(sent_at, now, name, window, min_connections)
            return True
        return self._add_minimum(sent_at, now, name, window, min_connections)

    def _add_minimum(
        self, sent_at: int, now: int, name: str, window: int, min_connections: int
    ) -> bool:
        if (
            not self._reports_complete_at
            or sent_at < self._reports_complete_at
            or now - window > self._round_started_at
        ):
            return False
        self._minimums[name] = min_connections
        return self._finish_round(now)

    def _finish_round(self, now: int) -> bool:
        if not self._reports_complete_at or not self._alive <= self._minimums.keys():
            return False
        window, min_connections = self._own_minimum.minimum(now)
        if now - window > self._round_started_at:
            return False
        beyond = (
            sum(self._server_reports.values())
            - min_connections
            - sum(self._minimums[name] for name in self._alive)
        )
        self._max_dead_placing = max(0, int(beyond + 0.999))
        self._start_round(now)
        return True

    @property
    def _unseen(self) -> int:
        """Balancers that the file says there are and nobody has told of."""
        return max(0, self._expected - 1 - len(self._alive) - len(self._dead) - len(self._left))

    @property
    def value(self) -> int:
        """This balancer, those that live, and those of the others that may be placing for all that is known."""
        # Those that the file tells of and nobody has named may be starting, and hold nothing yet: no evidence speaks of them.
        member_dead = (
            len(self._dead)
            if self._max_dead_placing is None
            else min(len(self._dead), self._max_dead_placing)
        )
        return 1 + len(self._alive) + len(self._unconfirmed_leaves) + self._unseen + member_dead
