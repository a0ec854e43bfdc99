"""The four rules, checked as a run goes. The first break of each keeps its trace.

1 no login is lost, 2 no effect twice, 3 drains are kept, 4 no cold server is pushed over. Owns what it must remember of
each login until its end. Must never change what happens.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple

from corklift.interface import Effect, Login, Outcome, Reach, Workload
from corklift.lab.clock import MS

GRACE = 500 * MS
TRACE = 40  # last steps kept for a trace


class Violation(NamedTuple):
    rule: int
    at: int  # ns since the start
    what: str
    trace: tuple[str, ...]


class TrackedLogin:
    """A login on its way to its answer."""

    __slots__ = ("login", "workload", "balancer", "hand_offs", "outcomes", "answer")

    def __init__(self, login: Login, workload: Workload, balancer: int) -> None:
        self.login, self.workload, self.balancer = login, workload, balancer
        self.hand_offs: list[tuple[int, int]] = []  # server, when
        self.outcomes: dict[int, Outcome] = {}  # as the balancer was told
        self.answer = ""


class RuleChecker:
    def __init__(self, began: int) -> None:
        self._began = began
        self._open: dict[tuple[int, int], TrackedLogin] = {}  # by balancer and login
        self._steps: deque[str] = deque(maxlen=TRACE)
        self._told: dict[
            tuple[int, int], int
        ] = {}  # by balancer and server: when it was told that it leaves
        self.violation_counts: Counter[int] = Counter()
        self.first_violations: dict[int, Violation] = {}

    def record_step(self, now: int, text: str) -> None:
        self._steps.append(f"{(now - self._began) / MS:12.3f} ms  {text}")

    def _break(self, now: int, rule: int, what: str) -> None:
        self.violation_counts[rule] += 1
        if rule not in self.first_violations:
            self.record_step(now, f"RULE {rule}: {what}")
            self.first_violations[rule] = Violation(
                rule, now - self._began, what, tuple(self._steps)
            )

    # What happens

    def login_arrived(self, now: int, balancer: int, login: Login, workload: Workload) -> None:
        self._open[balancer, login.login] = TrackedLogin(login, workload, balancer)
        self.record_step(now, f"balancer {balancer}: login {login.login} ({workload.name}) arrives")

    def drain_announced(self, now: int, balancer: int, server: int) -> None:
        self._told.setdefault((balancer, server), now)

    def ready_announced(self, balancer: int, server: int) -> None:
        self._told.pop((balancer, server), None)

    def hand_off_sent(
        self, now: int, balancer: int, login: int, server: int, cells: dict[int, tuple[int, int]]
    ) -> None:
        """A hand-off starts. `cells`: each server's zone and cell."""
        self.record_step(now, f"balancer {balancer}: login {login} to server {server}")
        told = self._told.get((balancer, server))
        if told is not None and now - told > GRACE:
            self._break(
                now,
                3,
                f"login {login} to server {server}, {(now - told) // MS} ms after its drain was told",
            )
        followed = self._open.get((balancer, login))
        if followed is None:
            self._break(now, 1, f"login {login} is handed off but is not on its way")
            return
        if followed.answer:
            self._break(now, 1, f"login {login} is handed off after its answer ({followed.answer})")
        if now >= followed.login.time_limit_at:
            self._break(now, 1, f"login {login} is handed off after its time limit")
        ran = [
            (at, where)
            for number, (where, at) in enumerate(followed.hand_offs)
            if (outcome := followed.outcomes.get(number)) is None or not outcome.proves_not_run
        ]
        effect = followed.workload.effect
        if ran and effect is Effect.ONCE_ONLY:
            self._break(
                now,
                2,
                f"once-only login {login} is sent again, it may have run on server {ran[0][1]}",
            )
        if ran and effect is Effect.TAGGED:
            zone, cell = cells.get(ran[0][1], (-1, -1))
            there = cells.get(server, (-2, -2))
            reach = followed.workload.reach
            alike = reach is Reach.ALL or (
                there[0] == zone if reach is Reach.ZONE else there[1] == cell
            )
            if not alike or now - ran[0][0] >= followed.workload.dedup_window:
                self._break(
                    now, 2, f"tagged login {login} is sent again where or when it is not recognised"
                )
        followed.hand_offs.append((server, now))

    def hand_off_failed(
        self, now: int, balancer: int, login: int, attempt: int, outcome: Outcome
    ) -> None:
        self.record_step(
            now, f"balancer {balancer}: login {login}, hand-off {attempt}: {outcome.value}"
        )
        followed = self._open.get((balancer, login))
        if followed is not None:
            followed.outcomes[attempt] = outcome

    def login_answered(self, now: int, balancer: int, login: int, how: str) -> None:
        self.record_step(now, f"balancer {balancer}: login {login} answered: {how}")
        followed = self._open.get((balancer, login))
        if followed is None:
            self._break(now, 1, f"login {login} is answered ({how}) but is not on its way")
        elif followed.answer:
            self._break(now, 1, f"login {login} is answered twice: {followed.answer}, {how}")
        else:
            followed.answer = how
            if now > followed.login.time_limit_at:
                self._break(now, 1, f"login {login} is answered after its time limit")

    def login_abandoned(self, now: int, balancer: int, login: int) -> None:
        """The client or the whole balancer has gone: no answer is owed."""
        self._open.pop((balancer, login), None)

    def login_done(self, balancer: int, login: int) -> None:
        """Its connection has ended, or its refusal stands: nothing more may come."""
        followed = self._open.get((balancer, login))
        if followed is not None and followed.answer:
            del self._open[balancer, login]

    def check_overdue(self, now: int, slack: int) -> None:
        """Looks for logins whose time is up without an answer."""
        for (balancer, login), followed in list(self._open.items()):
            if not followed.answer and now > followed.login.time_limit_at + slack:
                self._break(now, 1, f"login {login} has no answer at its time limit")
                del self._open[balancer, login]

    def cold_server_failed(self, now: int, server: int, why: str) -> None:
        self._break(now, 4, f"server {server} is pushed over: {why}")

    @property
    def open_login_count(self) -> int:
        return len(self._open)
