"""Deliberate faults, put in at run time, to see that the checks find them.

Each wraps what a seat drives or what it may do. Owns nothing. Must never be used outside the lab.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from corklift.interface import Outcome, Status
from corklift.lab.fleet import EmulatedBalancer


class _Wrapped:
    """A policy with some of its methods changed."""

    def __init__(self, balancer: EmulatedBalancer, policy: Any) -> None:
        self.balancer, self.policy = balancer, policy

    def __getattr__(self, name: str) -> Any:
        return getattr(self.policy, name)


class AnswerTwice(_Wrapped):
    def hand_off_started(self, now: int, login: int, attempt: int, server: int, delay: int) -> None:
        self.policy.hand_off_started(now, login, attempt, server, delay)
        if login % 50 == 0:
            self.balancer.fleet.rules.login_answered(now, self.balancer.number, login, "bounced")


class AnswerLost(_Wrapped):
    """Every fiftieth login is forgotten as it comes."""

    def login_arrived(self, now: int, login: Any) -> None:
        if login.login % 50:
            self.policy.login_arrived(now, login)


class ResendOnceOnly(_Wrapped):
    """What may have run is taken for what surely has not."""

    def hand_off_ended(
        self, now: int, login: int, closed: bool, server: int, outcome: Outcome, *rest: Any
    ) -> None:
        if not closed and outcome in (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.ERROR):
            outcome = Outcome.NOT_CONNECTED
        self.policy.hand_off_ended(now, login, closed, server, outcome, *rest)


class DrainNotHeard(_Wrapped):
    def servers_listed(self, now: int, scope: Any, revision: int, lines: Any) -> None:
        self.policy.servers_listed(
            now,
            scope,
            revision,
            tuple(
                line._replace(status=Status.READY) if line.status is Status.DRAINING else line
                for line in lines
            ),
        )


class ColdTakenForWarm(_Wrapped):
    def servers_listed(self, now: int, scope: Any, revision: int, lines: Any) -> None:
        self.policy.servers_listed(
            now, scope, revision, tuple(line._replace(started_at=0) for line in lines)
        )


class TimerLost(_Wrapped):
    """From the tenth second on no timer is due."""

    def timer_due(self, now: int, mark: int) -> None:
        if now - self.balancer.fleet.clock.started_at < 10_000_000_000:
            self.policy.timer_due(now, mark)


class CountKept(_Wrapped):
    """A connection's end is not told: its count is never taken off."""

    def hand_off_ended(self, now: int, login: int, closed: bool, *rest: Any) -> None:
        if not closed or login % 10:
            self.policy.hand_off_ended(now, login, closed, *rest)


class GroupSplit(_Wrapped):
    def login_arrived(self, now: int, login: Any) -> None:
        self.policy.login_arrived(now, login._replace(group=0))


class LateAnswer(_Wrapped):
    """A refusal is sat on until after the time limit."""

    def __init__(self, balancer: EmulatedBalancer, policy: Any) -> None:
        super().__init__(balancer, policy)
        bounce = balancer.bounce

        def late(login: int, retry_in: int) -> None:
            login_state = balancer.logins.get(login)
            if login_state is None or login % 20:
                bounce(login, retry_in)
            else:
                balancer.fleet.clock.call_at(
                    login_state.request.time_limit_at + 1_000_000, bounce, login, retry_in
                )

        balancer.bounce = late  # type: ignore[method-assign]


class TaggedAnywhere(_Wrapped):
    """A tagged login's repeat goes where it is not recognised."""

    def __init__(self, balancer: EmulatedBalancer, policy: Any) -> None:
        super().__init__(balancer, policy)
        retry_policy = getattr(policy, "_retry_policy", None)
        if retry_policy is not None:
            retry_policy.server_filter = lambda state: lambda server: True


# The fault, and the check that must find it.
FAULTS: dict[str, tuple[Callable[[EmulatedBalancer, Any], Any], str]] = {
    "an answer twice": (AnswerTwice, "rule 1"),
    "a lost answer": (AnswerLost, "rule 1"),
    "an answer after its time": (LateAnswer, "rule 1"),
    "a resend of a once-only login": (ResendOnceOnly, "rule 2"),
    "a tagged repeat anywhere": (TaggedAnywhere, "rule 2"),
    "a hand-off after the drain's grace": (DrainNotHeard, "rule 3"),
    "a cold server flooded": (ColdTakenForWarm, "rule 4"),
    "a timer lost": (TimerLost, "probing"),
    "a count never taken off": (CountKept, "counts"),
    "a group split": (GroupSplit, "groups"),
}
