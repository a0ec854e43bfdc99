"""Estimates how many balancers may be placing logins.

The budget of a cold server is divided by this number.

The number grows at once and falls only on evidence: a member announced that it leaves, operators
declared it gone, or the connection counts of the servers leave no room for it. Too high a number
leaves a part of the budgets unused for a while; too low a number, used on both sides of a
partition, overloads a server. Invariant: the number never falls because a member is silent.

How the servers' counts give evidence: let D be the members considered dead and A the others. In one
round, each server reports its connections after D last changed. After that, each member of A
reports the minimum number of connections that it held over a window that began before those
reports. What the servers hold beyond the sum of these minimums may belong to D. A balancer that
places logins holds at least one connection, so at most that many members of D are placing.
"""

from __future__ import annotations

from collections import deque

# How old a server's report may be when it arrives, in probe periods.
REPORT_LAG = 1.0
# Length of the window of minimum connections, in probe periods for each member of the fleet.
WINDOW = 2.5


class SlidingMinimum:
    """Minimum of a value over a sliding window of time."""

    def __init__(self, now: int) -> None:
        self._since = now  # start of the time that is covered
        self._window = 0
        # Candidates in rising order, each as (time until which it was the value, value); the last
        # one is current.
        self._candidates: deque[tuple[int, int]] = deque()

    def record(self, now: int, value: int, window: int) -> None:
        """Records the current value; `window` is the length of the window from now on, in ns."""
        self._window = window
        self._since = max(self._since, now - window)
        if self._candidates:
            self._candidates[-1] = now, self._candidates[-1][1]
        while self._candidates and self._candidates[-1][1] >= value:
            self._candidates.pop()
        self._candidates.append((now, value))
        while len(self._candidates) > 1 and self._candidates[0][0] < self._since:
            self._candidates.popleft()

    def minimum(self, now: int) -> tuple[int, int]:
        """Returns the length in ns of the window that ends now, and the minimum in it."""
        return (
            (min(self._window, now - self._since), self._candidates[0][1])
            if self._candidates
            else (0, 0)
        )


class BalancerCount:
    """Number of balancers that may be placing logins, and the evidence for it."""

    def __init__(self, expected: int, period: int, now: int) -> None:
        """Creates a count that includes this balancer.

        Args:
            expected: balancers to assume before any is known by name.
            period: probe period of the membership, in ns.
            now: current time, in ns.
        """
        self._expected, self._period = expected, period
        self._own_minimum = SlidingMinimum(now)
        self._alive: set[str] = set()
        self._dead: set[str] = set()
        self._left: set[str] = set()
        # Members that left, by name: when this was learned, and which members have not replied to a
        # call made since.
        self._unconfirmed_leaves: dict[str, tuple[int, set[str]]] = {}
        # How many dead members may be placing by the last complete round of evidence; None: not
        # known.
        self._max_dead_placing: int | None = None
        self._start_round(now)

    def _start_round(self, now: int) -> None:
        """Starts a round of evidence."""
        self._round_started_at, self._reports_complete_at = now, 0
        self._server_reports: dict[str, float] = {}
        self._minimums: dict[str, int] = {}

    def raise_expected(self, value: int) -> None:
        """Raises the expected number of balancers; never lowers it."""
        self._expected = max(self._expected, value)

    # Changes of other members

    def member_alive(self, now: int, name: str) -> None:
        """Counts a member as alive."""
        if name not in self._alive:
            self._dead.discard(name)
            self._left.discard(name)
            self._unconfirmed_leaves.pop(name, None)
            self._alive.add(name)
            self._start_round(now)

    def member_dead(self, now: int, name: str) -> None:
        """Marks a member as dead; earlier evidence, which counted it as alive, is discarded."""
        self._alive.discard(name)
        self._unconfirmed_leaves.pop(name, None)
        self._dead.add(name)
        self._max_dead_placing = None
        self._start_round(now)
        self._confirm_leaves(name)

    def member_left(self, now: int, name: str) -> None:
        """Marks a member as having left.

        It is counted until each live member has replied to a call made since. This guards against a
        late record of a member that left and has come back.
        """
        self._alive.discard(name)
        self._dead.discard(name)
        self._left.add(name)
        self._unconfirmed_leaves[name] = now, set(self._alive)
        self._start_round(now)
        self._confirm_leaves(name)

    def _confirm_leaves(self, member: str) -> None:
        """Stops waiting for a member that is no longer alive to confirm that others have left."""
        for name, (_, pending) in list(self._unconfirmed_leaves.items()):
            pending.discard(member)
            if not pending:
                del self._unconfirmed_leaves[name]

    # Evidence

    def set_connections(self, now: int, connections: int) -> None:
        """Records how many connections stand at servers through this balancer."""
        self._own_minimum.record(
            now, connections, int(WINDOW * (len(self._alive) + 3) * self._period)
        )

    def own_minimum(self, now: int) -> tuple[int, int]:
        """Returns the window in ns and this balancer's minimum number of connections in it."""
        return self._own_minimum.minimum(now)

    def process_paused(self, now: int) -> None:
        """Discards all evidence, because this process did not run for a while."""
        self._max_dead_placing = None
        self._start_round(now)

    def server_reported(self, now: int, server: str, connections: float, listed: set[str]) -> bool:
        """Records the connections that a server reports, whichever balancer placed them.

        Args:
            now: current time, in ns.
            server: the server that reports.
            connections: connections that it holds.
            listed: all servers that may hold connections.

        Returns:
            Whether this completes a round of evidence.
        """
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
        """Records a member's minimum number of connections, from its reply.

        Args:
            sent_at: when the call was made, in ns.
            now: current time, in ns.
            name: the member.
            window: length of the window of the minimum, in ns.
            min_connections: the minimum in that window.

        Returns:
            Whether this may have changed the count.
        """
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
        """Adds a member's minimum to the round, if its window covers the reports of the servers."""
        if (
            not self._reports_complete_at
            or sent_at < self._reports_complete_at
            or now - window > self._round_started_at
        ):
            return False
        self._minimums[name] = min_connections
        return self._finish_round(now)

    def _finish_round(self, now: int) -> bool:
        """Limits the number of dead members by the evidence of a round, if it is complete."""
        if not self._reports_complete_at or not self._alive <= self._minimums.keys():
            return False
        window, min_connections = self._own_minimum.minimum(now)
        if now - window > self._round_started_at:
            return False
        unaccounted = (
            sum(self._server_reports.values())
            - min_connections
            - sum(self._minimums[name] for name in self._alive)
        )
        self._max_dead_placing = max(0, int(unaccounted + 0.999))
        self._start_round(now)
        return True

    @property
    def _unseen(self) -> int:
        """Balancers that are expected and not yet known by name."""
        return max(0, self._expected - 1 - len(self._alive) - len(self._dead) - len(self._left))

    @property
    def value(self) -> int:
        """Number of balancers that may be placing logins.

        These are this one, the live ones, and the others that no evidence excludes.
        """
        # Expected balancers that are not known by name may be starting and hold no connections yet,
        # so no evidence covers them.
        dead = (
            len(self._dead)
            if self._max_dead_placing is None
            else min(len(self._dead), self._max_dead_placing)
        )
        return 1 + len(self._alive) + len(self._unconfirmed_leaves) + self._unseen + dead
