"""What follows from failures: for a server its exclusion, for a login whether it is sent again."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from corklift.interface import Effect, Host, Outcome, Reach
from corklift.policy.constants import (
    FAILURES_TO_EXCLUDE,
    MAX_REPORT_AGE,
    PROBE_PERIOD,
    UNANSWERED_TO_EVACUATE,
)
from corklift.policy.load_reports import LoadReports
from corklift.policy.registry import ServerRegistry
from corklift.records import Attempt, LoginState, Server

# Unanswered probes or connects in a row that exclude a server from the draw: one fewer than after
# which it counts as lost.
UNANSWERED_TO_EXCLUDE = UNANSWERED_TO_EVACUATE - 1
# Each login earns this many resends after failures that may have a common cause, and at most
# MAX_SAVED_RESENDS are saved; beyond that, logins are bounced.
RESENDS_PER_LOGIN = 0.3
MAX_SAVED_RESENDS = 10.0


class FailureTracker:
    """Excludes servers from the draw after failures in a row.

    Answered probes or one trial login bring a server back.
    """

    def __init__(self, host: Host, rng: Random, load_reports: LoadReports) -> None:
        self._host, self._rng, self._load_reports = host, rng, load_reports
        self._probes_allowed = True

    def configure(self, probes_allowed: bool) -> None:
        self._probes_allowed = probes_allowed

    def is_eligible(self, now: int, server: Server) -> bool:
        """Whether the server may take part in the draw.

        Without probes, only a trial login can show that a server is back. With subset probing,
        unanswered probes count only while a probe is pending and for MAX_REPORT_AGE after the last
        probe.
        """
        if (
            self._probes_allowed
            and server.unanswered >= UNANSWERED_TO_EXCLUDE
            and (
                not self._load_reports.probes_subset
                or server.pending_probe_at
                or now - server.probed_at <= MAX_REPORT_AGE
            )
        ):
            return False
        return server.failures < FAILURES_TO_EXCLUDE or (
            now >= server.excluded_until and not server.trial_login
        )

    def start_trial(self, server: Server, login: int) -> None:
        """Marks the login as the only one that an excluded server gets until its outcome."""
        if server.failures >= FAILURES_TO_EXCLUDE:
            server.trial_login = login

    def record_failure(self, now: int, server: Server, login: int, outcome: Outcome) -> None:
        if server.trial_login == login:
            server.trial_login = 0
        if outcome is Outcome.NOT_CONNECTED:
            server.unanswered += 1
        server.failures += 1
        if server.failures >= FAILURES_TO_EXCLUDE:
            server.exclusion_level = min(server.exclusion_level + 1, 3)
            server.excluded_until = now + int(
                PROBE_PERIOD * (1 << server.exclusion_level) * self._rng.uniform(0.75, 1.25)
            )
        if server.failures == FAILURES_TO_EXCLUDE:
            self._host.log(
                f"server {server.id} out of the draw: {server.failures} hand-offs failed in a row"
            )

    def record_success(self, server: Server, login: int) -> None:
        if server.failures >= FAILURES_TO_EXCLUDE:
            self._host.log(f"server {server.id} back in the draw: its trial login succeeded")
        if server.trial_login == login:
            server.trial_login = 0
        elif server.exclusion_level and server.failures == 0:
            server.exclusion_level -= 1
        server.failures = server.unanswered = 0


class RetryPolicy:
    """Whether and where a login may be sent again, and for how long a hand-off may take."""

    def __init__(self, registry: ServerRegistry) -> None:
        self._registry, self._resend_tokens = registry, MAX_SAVED_RESENDS

    def configure(self, max_hand_offs: int) -> None:
        self._max_hand_offs = max_hand_offs

    def _may_have_run(self, state: LoginState) -> list[Attempt]:
        return [a for a in state.attempts if a.outcome is None or not a.outcome.proves_not_run]

    def may_send(self, now: int, state: LoginState) -> bool:
        """Whether the login may be handed off now.

        A resend takes a token, unless the last server was full or could not be reached.
        """
        if len(state.attempts) >= self._max_hand_offs or now >= state.login.time_limit_at:
            return False
        if not state.attempts:
            self._resend_tokens = min(MAX_SAVED_RESENDS, self._resend_tokens + RESENDS_PER_LOGIN)
        elif state.attempts[-1].outcome not in (Outcome.FULL, Outcome.NOT_CONNECTED):
            # Guards against resends that keep a store shared by all connection set-ups overloaded.
            if self._resend_tokens < 1.0:
                return False
            self._resend_tokens -= 1.0
        if state.workload.effect is Effect.REPEATABLE:
            return True
        may_have_run, dedup_window = self._may_have_run(state), state.workload.dedup_window
        # A once-only login that may have run is never sent again, a tagged one only while servers
        # still recognise the repeat.
        return (
            not may_have_run
            or state.workload.effect is Effect.TAGGED
            and now < may_have_run[0].sent_at + dedup_window
        )

    def server_filter(self, state: LoginState) -> Callable[[Server], bool]:
        """Returns a predicate for the servers that the login may be sent to.

        A tagged login that may have run goes only where its repeat is recognised.
        """
        may_have_run = self._may_have_run(state) if state.workload.effect is Effect.TAGGED else []
        if not may_have_run or state.workload.reach is Reach.ALL:
            return lambda server: True
        first = self._registry.servers.get(may_have_run[0].server)
        if first is None:
            return lambda server: False
        if state.workload.reach is Reach.ZONE:
            return lambda server: server.zone == first.zone
        return lambda server: server.cell == first.cell

    def may_bounce(self, state: LoginState) -> bool:
        """Whether the client may safely try again, so that a bounce is a correct final answer."""
        if state.workload.effect is Effect.REPEATABLE or not self._may_have_run(state):
            return True
        return state.workload.effect is Effect.TAGGED and state.workload.reach is Reach.ALL

    def cut_at(self, now: int, state: LoginState) -> int:
        """When to give up the next hand-off.

        Early enough to try another server within the soft limit; the last hand-off has all the
        remaining time.
        """
        limit = state.login.time_limit_at
        remaining_hand_offs = self._max_hand_offs - len(state.attempts)
        if remaining_hand_offs <= 1 or self._resend_tokens < MAX_SAVED_RESENDS / 2:
            return limit
        return min(
            limit, now + max(state.workload.soft_limit // 2, (limit - now) // remaining_hand_offs)
        )
