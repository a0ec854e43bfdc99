"""The policies that a run can use: the decision module, and baselines to compare it with.

Every policy has the methods of `corklift.policy.Balancer` and acts on the same host. No baseline
copies the module's decisions: "inverse counts" is the rule of the paper without the extensions that
the module has.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from corklift.interface import (
    Effect,
    Host,
    ListedServer,
    Login,
    Outcome,
    Report,
    Scope,
    Status,
    Workload,
)
from corklift.lab.clock import SECOND
from corklift.policy import Balancer

# Returns the current utilisation of a server, for the one policy that may know it.
TrueUtilisation = Callable[[int], float]


class BaselinePolicy(ABC):
    """Tries ready servers, picked by `choose`, until one accepts or the hand-offs are used up.

    Probes each ready server once a second, unless `SENDS_PROBES` is false.
    """

    SENDS_PROBES = True

    def __init__(
        self,
        host: Host,
        rng: Random,
        *,
        now: int,
        true_utilisation: TrueUtilisation,
        workloads: list[Workload],
        max_hand_offs: int,
        max_retry_after: int,
        **_: Any,
    ) -> None:
        self._host, self._rng, self._true_utilisation = host, rng, true_utilisation
        self._workloads, self._max_hand_offs, self._max_retry_after = (
            workloads,
            max_hand_offs,
            max_retry_after,
        )
        self._ready: dict[int, ListedServer] = {}
        self._reported_counts: dict[int, float] = {}
        # Connections and hand-offs of this balancer, by server.
        self._own_counts: dict[int, int] = {}
        # By login number: the login, the servers tried, and the outcome of each hand-off.
        self._logins: dict[int, tuple[Login, list[int], list[Outcome | None]]] = {}
        self._probe_timers: dict[int, int] = {}
        self._last_mark = 0

    @abstractmethod
    def choose(self, now: int, servers: list[int]) -> int:
        """Returns one of these servers, which exclude those tried before while others are left."""

    def estimated_count(self, server: int) -> float:
        """Returns the connections last reported, or the own ones without a report."""
        return self._reported_counts.get(server, float(self._own_counts.get(server, 0)))

    def login_arrived(self, now: int, login: Login) -> None:
        self._logins[login.login] = (login, [], [])
        self._place(now, login.login)

    def _place(self, now: int, login_id: int) -> None:
        login, tried, outcomes = self._logins[login_id]
        untried = [server for server in self._ready if server not in tried] or list(self._ready)
        effect = self._workloads[login.workload].effect
        maybe_ran = any(outcome is None or not outcome.proves_not_run for outcome in outcomes)
        if (
            len(tried) >= self._max_hand_offs
            or now >= login.time_limit_at
            or not untried
            or (maybe_ran and effect is not Effect.REPEATABLE)
        ):
            del self._logins[login_id]
            if maybe_ran and effect is not Effect.REPEATABLE:
                self._host.terminate(login_id)
            else:
                self._host.bounce(
                    login_id, int(self._max_retry_after * self._rng.uniform(0.25, 1.0))
                )
            return
        server = self.choose(now, untried)
        tried.append(server)
        outcomes.append(None)
        self._own_counts[server] = self._own_counts.get(server, 0) + 1
        hand_offs_left = self._max_hand_offs - len(tried) + 1
        self._host.hand_off(login_id, server, now + (login.time_limit_at - now) // hand_offs_left)

    def hand_off_started(self, now: int, login: int, attempt: int, server: int, delay: int) -> None:
        pass

    def hand_off_ended(
        self,
        now: int,
        login: int,
        closed: bool,
        server: int,
        outcome: Outcome,
        attempt: int,
        delay: int,
        report: Report | None,
    ) -> None:
        self._own_counts[server] = max(0, self._own_counts.get(server, 0) - 1)
        if login not in self._logins:
            return
        if closed:
            del self._logins[login]
            return
        self._logins[login][2][attempt] = outcome
        self._place(now, login)

    def login_dropped(self, now: int, login: int) -> None:
        state = self._logins.pop(login, None)
        if state is not None and state[1]:
            self._own_counts[state[1][-1]] = max(0, self._own_counts.get(state[1][-1], 0) - 1)

    def connection_resumed(self, now: int, login: Login, server: int) -> None:
        self._logins[login.login] = (login, [server], [None])
        self._own_counts[server] = self._own_counts.get(server, 0) + 1

    def probe_answered(
        self, now: int, server: int, delay: int, outcome: Outcome, report: Report | None
    ) -> None:
        if report is not None and report.count is not None:
            self._reported_counts[server] = report.count

    def servers_listed(
        self, now: int, scope: Scope, revision: int, servers: Iterable[ListedServer]
    ) -> None:
        for server in servers:
            if server.status is Status.READY:
                if server.server not in self._ready and self.SENDS_PROBES:
                    self._schedule_probe(server.server, int(self._rng.random() * SECOND))
                self._ready[server.server] = server
            elif server.server in self._ready:
                del self._ready[server.server]
                self._reported_counts.pop(server.server, None)
                for login_id, (_, tried, outcomes) in list(self._logins.items()):
                    if tried and tried[-1] == server.server and outcomes[-1] is None:
                        self._host.move(login_id)

    def _schedule_probe(self, server: int, delay: int) -> None:
        self._last_mark += 1
        self._probe_timers[self._last_mark] = server
        self._host.set_timer(delay, self._last_mark)

    def timer_due(self, now: int, mark: int) -> None:
        server = self._probe_timers.pop(mark, None)
        if server in self._ready:
            assert server is not None
            self._host.probe(server)
            self._schedule_probe(server, SECOND)

    def measurement_received(self, *_: Any) -> None:
        pass

    def message_unanswered(self, *_: Any) -> None:
        pass


class RandomChoice(BaselinePolicy):
    """Any ready server with equal probability."""

    SENDS_PROBES = False

    def choose(self, now: int, servers: list[int]) -> int:
        return self._rng.choice(servers)


class RoundRobin(BaselinePolicy):
    """The servers in turn."""

    SENDS_PROBES = False
    _last_index = 0

    def choose(self, now: int, servers: list[int]) -> int:
        self._last_index += 1
        return servers[self._last_index % len(servers)]


class LeastOwnConnections(BaselinePolicy):
    """The server with the fewest connections of this balancer, as proxies count them."""

    SENDS_PROBES = False

    def choose(self, now: int, servers: list[int]) -> int:
        min_count = min(self._own_counts.get(server, 0) for server in servers)
        return self._rng.choice(
            [server for server in servers if self._own_counts.get(server, 0) == min_count]
        )


class LowestReport(BaselinePolicy):
    """The server with the fewest connections in the last report, however old.

    All balancers choose the same server until the next report: a thundering herd.
    """

    def choose(self, now: int, servers: list[int]) -> int:
        min_count = min(map(self.estimated_count, servers))
        return self._rng.choice(
            [server for server in servers if self.estimated_count(server) == min_count]
        )


class TwoChoices(BaselinePolicy):
    """Of two random servers, the one with fewer connections of this balancer."""

    SENDS_PROBES = False

    def choose(self, now: int, servers: list[int]) -> int:
        return min(
            self._rng.sample(servers, min(2, len(servers))),
            key=lambda server: self._own_counts.get(server, 0),
        )


class InverseCounts(BaselinePolicy):
    """The paper's rule: a random server, weighted by the inverse of its connection count."""

    def choose(self, now: int, servers: list[int]) -> int:
        return self._rng.choices(
            servers, [1.0 / (self.estimated_count(server) + 1.0) for server in servers]
        )[0]


class TrueState(BaselinePolicy):
    """The server with the lowest true utilisation: the reference for all other policies."""

    SENDS_PROBES = False

    def choose(self, now: int, servers: list[int]) -> int:
        return min(servers, key=lambda server: (self._true_utilisation(server), server))


def _module(
    host: Host, rng: Random, *, true_utilisation: TrueUtilisation, **settings: Any
) -> Balancer:
    return Balancer(host, rng, **settings)


POLICIES: dict[str, Callable[..., Any]] = {
    "module": _module,
    "random": RandomChoice,
    "round robin": RoundRobin,
    "least connections": LeastOwnConnections,
    "two choices": TwoChoices,
    "lowest report": LowestReport,
    "inverse counts": InverseCounts,
    "true state": TrueState,
}
