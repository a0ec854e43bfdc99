"""How many clients are expected to return, after their connections broke or were moved."""

from __future__ import annotations

from corklift.policy.constants import MAX_REPORT_AGE


class ExpectedReturns:
    """Counts the clients that are expected to return, for `MAX_REPORT_AGE` each.

    Clients that are expected from the same time on are one entry, so that memory and time do not
    depend on their number, which a server may state wrongly.
    """

    def __init__(self) -> None:
        # Since when clients are expected, and how many of them have not come, oldest first.
        self._entries: list[tuple[int, int]] = []

    def expect(self, now: int, count: int) -> None:
        """Expects this many clients to return from now on."""
        self._drop_expired(now)
        if self._entries and self._entries[-1][0] == now:
            count += self._entries.pop()[1]
        if count > 0:
            self._entries.append((now, count))

    def claim(self, now: int) -> bool:
        """Accounts for one client that has returned; returns whether one was expected."""
        self._drop_expired(now)
        if not self._entries:
            return False
        since, count = self._entries[0]
        if count > 1:
            self._entries[0] = (since, count - 1)
        else:
            del self._entries[0]
        return True

    def _drop_expired(self, now: int) -> None:
        while self._entries and now - self._entries[0][0] >= MAX_REPORT_AGE:
            del self._entries[0]
