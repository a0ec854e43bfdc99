"""Checks the four rules during a run, and keeps a trace of the first violation of each.

1. Each login gets exactly one answer, in time.
2. No login with side effects runs twice.
3. No login goes to a draining server after a grace period.
4. No cold server is overloaded until it fails.

The checker only observes: it never influences a run.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple

from corklift.interface import Effect, Login, Outcome, Reach, Workload
from corklift.lab.clock import MS

# A balancer may still hand off to a draining server for this long after it knows of the drain.
DRAIN_GRACE = 500 * MS
# A trace holds this many of the last steps.
MAX_TRACE_STEPS = 40


class Violation(NamedTuple):
    """A violated rule, and the steps that led to it."""

    rule: int
    # Nanoseconds since the start of the run.
    at: int
    what: str
    trace: tuple[str, ...]


class FollowedLogin:
    """A login at one balancer, from its arrival to its end."""

    __slots__ = ("login", "workload", "balancer", "hand_offs", "outcomes", "answer")

    def __init__(self, login: Login, workload: Workload, balancer: int) -> None:
        self.login, self.workload, self.balancer = login, workload, balancer
        # Server and start time of each hand-off.
        self.hand_offs: list[tuple[int, int]] = []
        # By the number of the hand-off, as the balancer knows them.
        self.outcomes: dict[int, Outcome] = {}
        # Empty until the login is answered.
        self.answer = ""


class RuleChecker:
    """Follows the logins of a run and records violations."""

    def __init__(self, started_at: int) -> None:
        self._started_at = started_at
        # By balancer and login.
        self._logins: dict[tuple[int, int], FollowedLogin] = {}
        self._steps: deque[str] = deque(maxlen=MAX_TRACE_STEPS)
        # When each balancer first received the news that a server drains, by balancer and server.
        self._drains_announced: dict[tuple[int, int], int] = {}
        self.violation_counts: Counter[int] = Counter()
        self.first_violations: dict[int, Violation] = {}

    def record_step(self, now: int, text: str) -> None:
        self._steps.append(f"{(now - self._started_at) / MS:12.3f} ms  {text}")

    def _report(self, now: int, rule: int, what: str) -> None:
        self.violation_counts[rule] += 1
        if rule not in self.first_violations:
            self.record_step(now, f"RULE {rule}: {what}")
            self.first_violations[rule] = Violation(
                rule, now - self._started_at, what, tuple(self._steps)
            )

    # Events of the run

    def login_arrived(self, now: int, balancer: int, login: Login, workload: Workload) -> None:
        self._logins[balancer, login.login] = FollowedLogin(login, workload, balancer)
        self.record_step(now, f"balancer {balancer}: login {login.login} ({workload.name}) arrives")

    def drain_announced(self, now: int, balancer: int, server: int) -> None:
        self._drains_announced.setdefault((balancer, server), now)

    def ready_announced(self, balancer: int, server: int) -> None:
        self._drains_announced.pop((balancer, server), None)

    def hand_off_sent(
        self, now: int, balancer: int, login: int, server: int, cells: dict[int, tuple[int, int]]
    ) -> None:
        """A hand-off starts; `cells` holds the zone and cell of each server."""
        self.record_step(now, f"balancer {balancer}: login {login} to server {server}")
        announced_at = self._drains_announced.get((balancer, server))
        if announced_at is not None and now - announced_at > DRAIN_GRACE:
            self._report(
                now,
                3,
                f"login {login} to server {server}, "
                f"{(now - announced_at) // MS} ms after its drain was announced",
            )
        followed = self._logins.get((balancer, login))
        if followed is None:
            self._report(now, 1, f"login {login} is handed off although it is unknown or has ended")
            return
        if followed.answer:
            self._report(
                now, 1, f"login {login} is handed off after its answer ({followed.answer})"
            )
        if now >= followed.login.time_limit_at:
            self._report(now, 1, f"login {login} is handed off after its time limit")
        maybe_ran = [
            (sent_at, sent_to)
            for attempt, (sent_to, sent_at) in enumerate(followed.hand_offs)
            if (outcome := followed.outcomes.get(attempt)) is None or not outcome.proves_not_run
        ]
        effect = followed.workload.effect
        if maybe_ran and effect is Effect.ONCE_ONLY:
            self._report(
                now,
                2,
                f"once-only login {login} is sent again, "
                f"it may have run on server {maybe_ran[0][1]}",
            )
        if maybe_ran and effect is Effect.TAGGED:
            first_zone, first_cell = cells.get(maybe_ran[0][1], (-1, -1))
            target_location = cells.get(server, (-2, -2))
            reach = followed.workload.reach
            recognised = reach is Reach.ALL or (
                target_location[0] == first_zone
                if reach is Reach.ZONE
                else target_location[1] == first_cell
            )
            if not recognised or now - maybe_ran[0][0] >= followed.workload.dedup_window:
                self._report(
                    now, 2, f"tagged login {login} is sent again where or when it is not recognised"
                )
        followed.hand_offs.append((server, now))

    def hand_off_failed(
        self, now: int, balancer: int, login: int, attempt: int, outcome: Outcome
    ) -> None:
        self.record_step(
            now, f"balancer {balancer}: login {login}, hand-off {attempt}: {outcome.value}"
        )
        followed = self._logins.get((balancer, login))
        if followed is not None:
            followed.outcomes[attempt] = outcome

    def login_answered(self, now: int, balancer: int, login: int, answer: str) -> None:
        self.record_step(now, f"balancer {balancer}: login {login} answered: {answer}")
        followed = self._logins.get((balancer, login))
        if followed is None:
            self._report(
                now, 1, f"login {login} is answered ({answer}) although it is unknown or has ended"
            )
        elif followed.answer:
            self._report(now, 1, f"login {login} is answered twice: {followed.answer}, {answer}")
        else:
            followed.answer = answer
            if now > followed.login.time_limit_at:
                self._report(now, 1, f"login {login} is answered after its time limit")

    def login_abandoned(self, now: int, balancer: int, login: int) -> None:
        """The client or the whole balancer has gone, so no answer is due any more."""
        self._logins.pop((balancer, login), None)

    def login_done(self, balancer: int, login: int) -> None:
        """The connection has ended or the login was refused: no further event may follow."""
        followed = self._logins.get((balancer, login))
        if followed is not None and followed.answer:
            del self._logins[balancer, login]

    def check_overdue(self, now: int, slack: int) -> None:
        """Reports logins without an answer at their time limit; `slack` allows for its delivery."""
        for (balancer, login), followed in list(self._logins.items()):
            if not followed.answer and now > followed.login.time_limit_at + slack:
                self._report(now, 1, f"login {login} has no answer at its time limit")
                del self._logins[balancer, login]

    def cold_server_failed(self, now: int, server: int, reason: str) -> None:
        self._report(now, 4, f"server {server} is overloaded during warm-up: {reason}")

    @property
    def open_login_count(self) -> int:
        return len(self._logins)
