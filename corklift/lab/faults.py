"""Deliberate faults that tests inject to prove that the checks find them.

Each fault wraps the policy of an emulated balancer or the balancer itself. For use in the lab only.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from corklift.interface import Outcome, Status
from corklift.lab.fleet import EmulatedBalancer


class _PolicyWrapper:
    """Passes every call on to the policy; a fault overrides some methods."""

    def __init__(self, balancer: EmulatedBalancer, policy: Any) -> None:
        self.balancer, self.policy = balancer, policy

    def __getattr__(self, name: str) -> Any:
        return getattr(self.policy, name)


class AnswerTwice(_PolicyWrapper):
    """Some logins get a second answer."""

    def hand_off_started(self, now: int, login: int, attempt: int, server: int, delay: int) -> None:
        self.policy.hand_off_started(now, login, attempt, server, delay)
        if login % 50 == 0:
            self.balancer.fleet.rules.login_answered(now, self.balancer.number, login, "bounced")


class LoseLogins(_PolicyWrapper):
    """Every fiftieth login never reaches the policy."""

    def login_arrived(self, now: int, login: Any) -> None:
        if login.login % 50:
            self.policy.login_arrived(now, login)


class ResendOnceOnlyLogins(_PolicyWrapper):
    """Reports hand-offs that may have run as certainly not run."""

    def hand_off_ended(
        self, now: int, login: int, closed: bool, server: int, outcome: Outcome, *rest: Any
    ) -> None:
        if not closed and outcome in (Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.ERROR):
            outcome = Outcome.NOT_CONNECTED
        self.policy.hand_off_ended(now, login, closed, server, outcome, *rest)


class IgnoreDrains(_PolicyWrapper):
    """Lists draining servers as ready."""

    def servers_listed(self, now: int, scope: Any, revision: int, servers: Any) -> None:
        self.policy.servers_listed(
            now,
            scope,
            revision,
            tuple(
                server._replace(status=Status.READY) if server.status is Status.DRAINING else server
                for server in servers
            ),
        )


class TreatColdAsWarm(_PolicyWrapper):
    """Hides the start times of servers, so that none looks cold."""

    def servers_listed(self, now: int, scope: Any, revision: int, servers: Any) -> None:
        self.policy.servers_listed(
            now, scope, revision, tuple(server._replace(started_at=0) for server in servers)
        )


class LoseTimers(_PolicyWrapper):
    """Drops every timer from the tenth second on."""

    def timer_due(self, now: int, mark: int) -> None:
        if now - self.balancer.fleet.clock.started_at < 10_000_000_000:
            self.policy.timer_due(now, mark)


class KeepConnectionCounts(_PolicyWrapper):
    """Hides the end of some connections, which stay counted for ever."""

    def hand_off_ended(self, now: int, login: int, closed: bool, *rest: Any) -> None:
        if not closed or login % 10:
            self.policy.hand_off_ended(now, login, closed, *rest)


class IgnoreGroups(_PolicyWrapper):
    """Removes the group from each login."""

    def login_arrived(self, now: int, login: Any) -> None:
        self.policy.login_arrived(now, login._replace(group=0))


class BounceTooLate(_PolicyWrapper):
    """Delays some bounces until after the time limit."""

    def __init__(self, balancer: EmulatedBalancer, policy: Any) -> None:
        super().__init__(balancer, policy)
        bounce = balancer.bounce

        def bounce_late(login: int, retry_in: int) -> None:
            login_state = balancer.logins.get(login)
            if login_state is None or login % 20:
                bounce(login, retry_in)
            else:
                balancer.fleet.clock.call_at(
                    login_state.request.time_limit_at + 1_000_000, bounce, login, retry_in
                )

        balancer.bounce = bounce_late  # type: ignore[method-assign]


class ResendTaggedAnywhere(_PolicyWrapper):
    """Allows retries of tagged logins on servers that do not recognise the tag."""

    def __init__(self, balancer: EmulatedBalancer, policy: Any) -> None:
        super().__init__(balancer, policy)
        retry_policy = getattr(policy, "_retry_policy", None)
        if retry_policy is not None:
            retry_policy.server_filter = lambda state: lambda server: True


# Each fault, and the check that has to find it.
FAULTS: dict[str, tuple[Callable[[EmulatedBalancer, Any], Any], str]] = {
    "an answer twice": (AnswerTwice, "rule 1"),
    "a lost answer": (LoseLogins, "rule 1"),
    "an answer after its time": (BounceTooLate, "rule 1"),
    "a resend of a once-only login": (ResendOnceOnlyLogins, "rule 2"),
    "a tagged repeat anywhere": (ResendTaggedAnywhere, "rule 2"),
    "a hand-off after the drain's grace": (IgnoreDrains, "rule 3"),
    "a cold server flooded": (TreatColdAsWarm, "rule 4"),
    "a timer lost": (LoseTimers, "probing"),
    "a count never taken off": (KeepConnectionCounts, "counts"),
    "a group split": (IgnoreGroups, "groups"),
}
