"""Who decides in a run: the product's module, or a baseline that it is held against.

Every policy has the methods of `corklift.policy.Balancer` and acts on the same host. Owns the baselines. Must never
hold a copy of the module's decisions: "inverse counts" is the paper's rule alone, with none of its departures.
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

TrueUtilisation = Callable[
    [int], float
]  # a server's pressure as it is now, for the one policy that may see it


class BaselinePolicy(ABC):
    """A balancer that tries ready servers by `choose` until its hand-offs are used up. Probes once a second."""

    PROBES = True

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
        self._workloads, self._most, self._retry_after = workloads, max_hand_offs, max_retry_after
        self._ready: dict[int, ListedServer] = {}
        self._counts: dict[int, float] = {}
        self._open: dict[int, int] = {}  # own connections and hand-offs by server
        self._logins: dict[int, tuple[Login, list[int], list[Outcome | None]]] = {}
        self._marks: dict[int, int] = {}
        self._mark = 0

    @abstractmethod
    def choose(self, now: int, servers: list[int]) -> int:
        """One of these servers, none of them tried before if any is left."""

    def seen(self, server: int) -> float:
        """Connections as last probed; own ones where nothing was."""
        return self._counts.get(server, float(self._open.get(server, 0)))

    def login_arrived(self, now: int, login: Login) -> None:
        self._logins[login.login] = (login, [], [])
        self._place(now, login.login)

    def _place(self, now: int, number: int) -> None:
        login, sent, outcomes = self._logins[number]
        untried = [server for server in self._ready if server not in sent] or list(self._ready)
        effect = self._workloads[login.workload].effect
        ran = any(outcome is None or not outcome.proves_not_run for outcome in outcomes)
        if (
            len(sent) >= self._most
            or now >= login.time_limit_at
            or not untried
            or (ran and effect is not Effect.REPEATABLE)
        ):
            del self._logins[number]
            if ran and effect is not Effect.REPEATABLE:
                self._host.terminate(number)
            else:
                self._host.bounce(number, int(self._retry_after * self._rng.uniform(0.25, 1.0)))
            return
        server = self.choose(now, untried)
        sent.append(server)
        outcomes.append(None)
        self._open[server] = self._open.get(server, 0) + 1
        left = self._most - len(sent) + 1
        self._host.hand_off(number, server, now + (login.time_limit_at - now) // left)

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
        self._open[server] = max(0, self._open.get(server, 0) - 1)
        if login not in self._logins:
            return
        if closed:
            del self._logins[login]
            return
        self._logins[login][2][attempt] = outcome
        self._place(now, login)

    def login_dropped(self, now: int, login: int) -> None:
        found = self._logins.pop(login, None)
        if found is not None and found[1]:
            self._open[found[1][-1]] = max(0, self._open.get(found[1][-1], 0) - 1)

    def connection_resumed(self, now: int, login: Login, server: int) -> None:
        self._logins[login.login] = (login, [server], [None])
        self._open[server] = self._open.get(server, 0) + 1

    def probe_answered(
        self, now: int, server: int, delay: int, outcome: Outcome, report: Report | None
    ) -> None:
        if report is not None and report.count is not None:
            self._counts[server] = report.count

    def servers_listed(
        self, now: int, scope: Scope, revision: int, lines: Iterable[ListedServer]
    ) -> None:
        for line in lines:
            if line.status is Status.READY:
                if line.server not in self._ready and self.PROBES:
                    self._probe_in(line.server, int(self._rng.random() * SECOND))
                self._ready[line.server] = line
            elif line.server in self._ready:
                del self._ready[line.server]
                self._counts.pop(line.server, None)
                for number, (_, sent, outcomes) in list(self._logins.items()):
                    if sent and sent[-1] == line.server and outcomes[-1] is None:
                        self._host.move(number)

    def _probe_in(self, server: int, wait: int) -> None:
        self._mark += 1
        self._marks[self._mark] = server
        self._host.set_timer(wait, self._mark)

    def timer_due(self, now: int, mark: int) -> None:
        server = self._marks.pop(mark, None)
        if server in self._ready:
            assert server is not None
            self._host.probe(server)
            self._probe_in(server, SECOND)

    def measurement_received(self, *_: Any) -> None:
        pass

    def message_unanswered(self, *_: Any) -> None:
        pass


class RandomChoice(BaselinePolicy):
    PROBES = False

    def choose(self, now: int, servers: list[int]) -> int:
        return self._rng.choice(servers)


class RoundRobin(BaselinePolicy):
    PROBES = False
    _turn = 0

    def choose(self, now: int, servers: list[int]) -> int:
        self._turn += 1
        return servers[self._turn % len(servers)]


class LeastOwnConnections(BaselinePolicy):
    """Fewest connections of its own, as a proxy's least-connections draw sees them."""

    PROBES = False

    def choose(self, now: int, servers: list[int]) -> int:
        least = min(self._open.get(server, 0) for server in servers)
        return self._rng.choice(
            [server for server in servers if self._open.get(server, 0) == least]
        )


class LowestReport(BaselinePolicy):
    """Fewest connections by the last probe, however old: all balancers run to the same one."""

    def choose(self, now: int, servers: list[int]) -> int:
        least = min(map(self.seen, servers))
        return self._rng.choice([server for server in servers if self.seen(server) == least])


class TwoChoices(BaselinePolicy):
    """Of two drawn at random, the one with fewer connections of its own."""

    PROBES = False

    def choose(self, now: int, servers: list[int]) -> int:
        return min(
            self._rng.sample(servers, min(2, len(servers))),
            key=lambda server: self._open.get(server, 0),
        )


class InverseCounts(BaselinePolicy):
    """The paper's draw, with chance inverse to the count, and nothing else."""

    def choose(self, now: int, servers: list[int]) -> int:
        return self._rng.choices(servers, [1.0 / (self.seen(server) + 1.0) for server in servers])[
            0
        ]


class TrueState(BaselinePolicy):
    """Sees each server as it is at this instant: the mark that others are held against."""

    PROBES = False

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
