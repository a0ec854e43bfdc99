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


class Low:
    """The fewest connections held over a window that slides."""

    def __init__(self, now: int) -> None:
        self._since = now  # what was held before is not known, or no longer
        self._window = 0
        self._held: deque[tuple[int, int]] = (
            deque()
        )  # values that rise, each with the time until which it held; the last holds

    def hold(self, now: int, number: int, window: int) -> None:
        self._window = window
        self._since = max(self._since, now - window)
        if self._held:
            self._held[-1] = now, self._held[-1][1]
        while self._held and self._held[-1][1] >= number:
            self._held.pop()
        self._held.append((now, number))
        while len(self._held) > 1 and self._held[0][0] < self._since:
            self._held.popleft()

    def told(self, now: int) -> tuple[int, int]:
        """The window in ns up to now, and the fewest in it."""
        return (min(self._window, now - self._since), self._held[0][1]) if self._held else (0, 0)


class Count:
    def __init__(self, expected: int, period: int, now: int) -> None:
        """`expected`: balancers that there may be before any is known by name."""
        self._expected, self._period = expected, period
        self._low = Low(now)
        self._living: set[str] = set()
        self._vanished: set[str] = set()
        self._left: set[str] = set()
        self._leaving: dict[
            str, tuple[int, set[str]]
        ] = {}  # by name: since when it is held so, and who has not answered a call since
        self._room: int | None = (
            None  # for placing members that vanished, by the last whole round of evidence
        )
        self._begin(now)

    def _begin(self, now: int) -> None:
        self._began, self._complete_at = now, 0
        self._reports: dict[str, float] = {}
        self._told: dict[str, int] = {}

    def expects(self, number: int) -> None:
        """So many balancers there may be: more than was said, never fewer."""
        self._expected = max(self._expected, number)

    # Members, this one not

    def lives(self, now: int, name: str) -> None:
        if name not in self._living:
            self._vanished.discard(name)
            self._left.discard(name)
            self._leaving.pop(name, None)
            self._living.add(name)
            self._begin(now)

    def vanished(self, now: int, name: str) -> None:
        """Held for dead: evidence of before, which took it for living, says nothing of it."""
        self._living.discard(name)
        self._leaving.pop(name, None)
        self._vanished.add(name)
        self._room = None
        self._begin(now)
        self._go(name)

    def left(self, now: int, name: str) -> None:
        """Counted on until each that lives has answered a call made since. Guards against a late word of one that left and is back."""
        self._living.discard(name)
        self._vanished.discard(name)
        self._left.add(name)
        self._leaving[name] = now, set(self._living)
        self._begin(now)
        self._go(name)

    def _go(self, heard: str) -> None:
        """Nobody is left to be asked for by this one's word about those that leave."""
        for name, (_, silent) in list(self._leaving.items()):
            silent.discard(heard)
            if not silent:
                del self._leaving[name]

    # Evidence

    def holds(self, now: int, connections: int) -> None:
        self._low.hold(now, connections, int(WINDOW * (len(self._living) + 3) * self._period))

    def own_low(self, now: int) -> tuple[int, int]:
        return self._low.told(now)

    def stopped(self, now: int) -> None:
        """This process did not look for a while: what it knew of others' placements is over."""
        self._room = None
        self._begin(now)

    def reported(self, now: int, server: str, connections: float, listed: set[str]) -> bool:
        """A server told its connections, whoever placed them; `listed`: all that may hold some. Returns whether that ends a round."""
        if not self._vanished or now < self._began + REPORT_LAG * self._period:
            return False
        if not self._complete_at:
            self._reports[server] = connections
            if listed and listed <= self._reports.keys():
                self._complete_at = now
        return self._conclude(now)

    def told(self, asked: int, now: int, name: str, window: int, low: int) -> bool:
        """A member answered a call made at `asked`. Returns whether that changes the number."""
        before = len(self._leaving)
        for leaving, (since, silent) in list(self._leaving.items()):
            if asked >= since:
                silent.discard(name)
                if not silent:
                    del self._leaving[leaving]
        if len(self._leaving) < before:
            self._placed(asked, now, name, window, low)
            return True
        return self._placed(asked, now, name, window, low)

    def _placed(self, asked: int, now: int, name: str, window: int, low: int) -> bool:
        if not self._complete_at or asked < self._complete_at or now - window > self._began:
            return False
        self._told[name] = low
        return self._conclude(now)

    def _conclude(self, now: int) -> bool:
        if not self._complete_at or not self._living <= self._told.keys():
            return False
        window, low = self._low.told(now)
        if now - window > self._began:
            return False
        beyond = sum(self._reports.values()) - low - sum(self._told[name] for name in self._living)
        self._room = max(0, int(beyond + 0.999))
        self._begin(now)
        return True

    @property
    def _unnamed(self) -> int:
        """Balancers that the file says there are and nobody has told of."""
        return max(
            0, self._expected - 1 - len(self._living) - len(self._vanished) - len(self._left)
        )

    @property
    def number(self) -> int:
        """This balancer, those that live, and those of the others that may be placing for all that is known."""
        # Those that the file tells of and nobody has named may be starting, and hold nothing yet: no evidence speaks of them.
        vanished = (
            len(self._vanished) if self._room is None else min(len(self._vanished), self._room)
        )
        return 1 + len(self._living) + len(self._leaving) + self._unnamed + vanished
