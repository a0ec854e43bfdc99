"""What the decisions keep of what they measure and of each login. Plain records: nothing is decided here."""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

from corklift.interface import Login, Outcome

if TYPE_CHECKING:
    from corklift.policy import Server


class Histogram:
    """A few coarse bins on a ratio scale, halved from time to time so that old samples fade."""

    RATIO, BINS, HALVE_AT = 1.25, 40, 12.0

    def __init__(self) -> None:
        self._bins: dict[int, float] = {}
        self._total = 0.0
        self.mean: float | None = None

    def add(self, value: float) -> None:
        index = min(self.BINS, max(0, int(log(max(value, 1.0), self.RATIO))))
        self._bins[index] = self._bins.get(index, 0.0) + 1.0
        self._total += 1.0
        if self._total >= self.HALVE_AT:
            self._bins = {at: held / 2 for at, held in self._bins.items() if held > 0.1}
            self._total = sum(self._bins.values())
        self.mean = sum(held * self.RATIO ** (at + 0.5) for at, held in self._bins.items()) / self._total


class Attempt:
    def __init__(self, server: int, sent_at: int) -> None:
        self.server, self.sent_at = server, sent_at
        self.outcome: Outcome | None = None


class Held:
    """A login this balancer answers for, or the connection it became."""

    def __init__(self, login: Login, load: float) -> None:
        self.login, self.load = login, load
        self.attempts: list[Attempt] = []
        self.is_open = False
        self.round = 0  # of asking servers before a hand-off
        self.asked = 0  # rounds
        self.some: list[Server] = []  # of its group's homes, asked first
        self.order: list[Server] = []  # of servers, where it has no group
        self.able: list[Server] = []  # the first of them that may be sent to
        self.turn, self.awaits = 0, 0  # which asking it was, and the answers it waits for
        self.from_elsewhere = False  # it comes back from a connection that another balancer held
        self.turns: dict[int, float] = {}  # its chance to be sent to each cold server, drawn once
