"""State space exploration: runs every order of events in a small world, up to a given depth.

A world holds the real code under test: one or two `Balancer`s with two or three servers, or the
control service's subscriptions with one proxy; the worlds of membership and recovery have their own
modules. A step is an event, named by a label, and a path is a list of labels. Each path is played
from the initial state, so that no state needs copying. Equal states are expanded only once.

The worlds check the rules of `rules.RuleChecker`, that each login is answered, and invariants of
their own. The path to a violation is minimised and can be written to a file, which
`corklift lab replay` plays again. This module never makes a decision itself.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple, Protocol

from xxhash import xxh3_128_hexdigest

from corklift.interface import (
    ColdRule,
    Effect,
    ListedServer,
    Login,
    Outcome,
    Report,
    Scope,
    Status,
    Workload,
)
from corklift.lab.clock import MS, SECOND
from corklift.lab.rules import RuleChecker
from corklift.policy import Balancer

EVENT_INTERVAL = 40 * MS  # virtual time that an event takes, unless it is a timer or a time limit
# A larger number is a point in time; equality of states depends only on its distance from now.
MIN_TIMESTAMP = 10**11


class World(Protocol):
    """A small system whose states can be explored."""

    def enabled(self) -> list[str]:
        """Returns the labels of the events that can happen in the present state."""
        ...

    def play(self, label: str) -> None:
        """Makes an event happen."""
        ...

    def violation(self) -> str | None:
        """Returns a description of the rule violated so far, or None.

        The text up to the first colon names the kind of violation; minimisation preserves it.
        """
        ...

    def state(self) -> object:
        """Returns the present state, as an object whose `repr` is equal for equal states."""
        ...

    def trace(self) -> list[str]:
        """Returns what has happened so far, one line per step."""
        ...


class FixedRandom(Random):
    """A random number generator that always draws the same fraction of the range."""

    def __init__(self, fraction: float) -> None:
        super().__init__(0)
        self.fraction = fraction

    def random(self) -> float:
        return self.fraction

    def _randbelow(self, n: int) -> int:
        # The library's method draws again while a number is too large, which here never ends.
        return int(self.fraction * n)


class PlacementShape(NamedTuple):
    """Size of a `PlacementWorld` and how often each disturbance may happen."""

    balancers: int = 1
    servers: int = 2
    logins: int = 2
    effect: str = "repeatable"
    reach: str = "all"
    drains: int = 1
    restarts: int = 1
    losses: int = 1  # hand-offs whose answer is lost or that fail in another way
    part: float = 0.3  # fraction that each random draw returns
    cold: bool = False  # a server may start during the run


class _BalancerHost:
    """The decision module's host: the surroundings of one balancer of a `PlacementWorld`."""

    def __init__(self, world: PlacementWorld, number: int) -> None:
        self.world, self.number = world, number
        self.timers: list[tuple[int, int]] = []  # due time and mark
        self.pending_probes: list[int] = []
        self.hand_offs: dict[int, list[int]] = {}  # servers tried, by unanswered login
        self.connections: dict[int, int] = {}  # server, by login
        self.policy: Any = None

    def hand_off(self, login: int, server: int, cut_at: int) -> None:
        world = self.world
        world.rules.hand_off_sent(world.now, self.number, login, server, world.cells)
        self.hand_offs.setdefault(login, []).append(server)

    def cancel(self, login: int, attempt: int) -> None:
        pass

    def bounce(self, login: int, retry_in: int) -> None:
        self._answer(login, "bounced")

    def terminate(self, login: int) -> None:
        self._answer(login, "terminated")

    def _answer(self, login: int, how: str) -> None:
        self.world.rules.login_answered(self.world.now, self.number, login, how)
        self.world.answers[login] = how
        self.hand_offs.pop(login, None)
        self.world.awaiting_answer.discard((self.number, login))

    def move(self, login: int) -> None:
        if login in self.connections:
            self.world.requested_moves.add((self.number, login))

    def probe(self, server: int) -> None:
        if server not in self.pending_probes:
            self.pending_probes.append(server)

    def close_idle(self, server: int) -> None:
        pass

    def set_timer(self, after: int, mark: int) -> None:
        self.timers.append((self.world.now + max(1, after), mark))

    def watch_list(self, wanted: bool) -> None:
        pass

    def fetch_list(self) -> None:
        pass

    def send_to_peer(self, peer: int | None, content: bytes) -> None:
        pass

    def log(self, text: str) -> None:
        pass


class PlacementWorld:
    """One or two decision modules with a few servers and logins."""

    def __init__(
        self, shape: PlacementShape, inject_fault: Callable[[Any, Any], Any] | None = None
    ) -> None:
        self.shape, self._inject_fault = shape, inject_fault
        self.now = 1_000 * SECOND
        self.rules = RuleChecker(self.now)
        self.steps: list[str] = []
        self.workload = Workload(
            "plain", 1.0, 800 * MS, 3200 * MS, Effect(shape.effect), dedup_window=10 * SECOND
        )
        self.cells = {server: (0, server % 2) for server in range(1, shape.servers + 1)}
        self.status = dict.fromkeys(self.cells, Status.READY)
        self.started_at = dict.fromkeys(self.cells, 0)
        self.answers: dict[int, str] = {}
        self.awaiting_answer: set[tuple[int, int]] = set()  # balancer and login
        self.requested_moves: set[tuple[int, int]] = set()
        # The status that each balancer was last sent, by balancer and server.
        self.announced_status: dict[tuple[int, int], Status] = {}
        self.remaining = {
            "drain": shape.drains,
            "restart": shape.restarts,
            "loss": shape.losses,
            "cold": int(shape.cold),
        }
        self.pending_arrivals = list(range(1, shape.logins + 1))
        self.deadlines: dict[int, int] = {}
        self.hosts = [_BalancerHost(self, at) for at in range(shape.balancers)]
        for host in self.hosts:
            self._start_balancer(host)

    def _start_balancer(self, host: _BalancerHost) -> None:
        policy = Balancer(
            host,
            FixedRandom(self.shape.part),
            now=self.now,
            zone=0,
            balancers=self.shape.balancers,
            workloads=[self.workload],
            per_work=False,
            cold=ColdRule(0.3, 8 * SECOND, 3.0, SECOND),
            max_hand_offs=3,
            cancel_allowed=True,
            max_retry_after=SECOND,
            probes_allowed=True,
            ask_for_list=False,
            ask_within=10 * SECOND,
            grouped=False,
            weight_varies=False,
            memory=0,
            crossing_price=0.0,
            probe_price=0.0,
        )
        host.policy = self._inject_fault(host, policy) if self._inject_fault else policy
        host.timers, host.pending_probes, host.hand_offs, host.connections = [], [], {}, {}
        self._send_list(host, list(self.cells), Scope.FULL)

    def _send_list(self, host: _BalancerHost, servers: Iterable[int], scope: Scope) -> None:
        lines = []
        for server in servers:
            status = self.status[server]
            self.announced_status[host.number, server] = status
            if status is Status.READY:
                self.rules.ready_announced(host.number, server)
            else:
                self.rules.drain_announced(self.now, host.number, server)
            lines.append(
                ListedServer(server, 0, 0, server % 2, status, 1.0, self.started_at[server])
            )
        host.policy.servers_listed(self.now, scope, 1, tuple(lines))

    def enabled(self) -> list[str]:
        """Returns the possible events; messages may arrive in any order.

        Time limits are exact, so no event happens after the earliest time limit has passed.
        """
        labels = []
        next_limit, first_login = min(
            ((self.deadlines[login], login) for host in self.hosts for login in host.hand_offs),
            default=(self.now + 10**15, 0),
        )
        if self.now + EVENT_INTERVAL > next_limit:
            return [
                f"login {first_login} runs out at {host.number}"
                for host in self.hosts
                if first_login in host.hand_offs
            ]
        for host in self.hosts:
            number = host.number
            labels += [f"login {login} comes to {number}" for login in self.pending_arrivals[:1]]
            for login, tried in host.hand_offs.items():
                labels.append(f"login {login} opens at {number}")
                if self.remaining["loss"]:
                    labels += [
                        f"login {login} at {number}: {outcome.value}"
                        for outcome in (
                            Outcome.BROKEN,
                            Outcome.TIMED_OUT,
                            Outcome.FULL,
                            Outcome.NOT_CONNECTED,
                        )
                    ]
                if login == first_login:
                    labels.append(f"login {login} runs out at {number}")
            labels += [f"login {login} ends at {number}" for login in host.connections]
            labels += [f"probe of {server} by {number}" for server in host.pending_probes]
            if host.timers and min(host.timers)[0] <= next_limit:
                labels.append(f"timer of {number}")
            labels += [
                f"list of {server} to {number}"
                for server in self.cells
                if self.announced_status[number, server] is not self.status[server]
            ]
            if self.remaining["restart"]:
                labels.append(f"restart of {number}")
        labels += [f"move of {login} at {number}" for number, login in sorted(self.requested_moves)]
        if self.remaining["drain"]:
            labels += [
                f"drain of {server}"
                for server, status in self.status.items()
                if status is Status.READY
            ]
        if self.remaining["cold"]:
            labels += [
                f"start of {server}"
                for server, status in self.status.items()
                if status is not Status.READY
            ]
        return labels

    def play(self, label: str) -> None:
        self.steps.append(label)
        tokens = label.replace(":", "").split()
        if tokens[0] == "timer":
            self._fire_timer(self.hosts[int(tokens[2])])
            return
        if tokens[:1] + tokens[2:4] != ["login", "runs", "out"]:
            self.now += EVENT_INTERVAL
        if tokens[0] == "login":
            self._play_login_event(int(tokens[1]), tokens[2:])
        elif tokens[0] == "probe":
            host, server = self.hosts[int(tokens[4])], int(tokens[2])
            host.pending_probes.remove(server)
            count = sum(
                connected == server
                for other in self.hosts
                for connected in other.connections.values()
            )
            host.policy.probe_answered(
                self.now, server, 5 * MS, Outcome.FULFILLED, Report(float(count), 0.1 * count)
            )
        elif tokens[0] == "list":
            self._send_list(self.hosts[int(tokens[4])], [int(tokens[2])], Scope.DELTA)
        elif tokens[0] == "drain":
            self.remaining["drain"] -= 1
            self.status[int(tokens[2])] = Status.DRAINING
        elif tokens[0] == "start":
            self.remaining["cold"] -= 1
            self.status[int(tokens[2])], self.started_at[int(tokens[2])] = Status.READY, self.now
        elif tokens[0] == "move":
            self.requested_moves.discard((int(tokens[4]), int(tokens[2])))
            self._end_connection(self.hosts[int(tokens[4])], int(tokens[2]), Outcome.CANCELLED)
        elif tokens[0] == "restart":
            host = self.hosts[int(tokens[2])]
            self.remaining["restart"] -= 1
            for login in [*host.hand_offs, *host.connections]:
                self.rules.login_abandoned(self.now, host.number, login)
                self.awaiting_answer.discard((host.number, login))
                self.answers.setdefault(login, "lost with its balancer")
            self.requested_moves = {
                (number, login) for number, login in self.requested_moves if number != host.number
            }
            for server in self.cells:
                self.rules.ready_announced(host.number, server)
            self._start_balancer(host)

    def _fire_timer(self, host: _BalancerHost) -> None:
        host.timers.sort()
        due, mark = host.timers.pop(0)
        self.now = max(self.now, due)
        host.policy.timer_due(self.now, mark)

    def _play_login_event(self, number: int, tokens: list[str]) -> None:
        if tokens[0] == "comes":
            host = self.hosts[int(tokens[2])]
            self.pending_arrivals.remove(number)
            login = Login(number, 0, 0, number, self.now + self.workload.time_limit, None, 0)
            self.deadlines[number] = login.time_limit_at
            self.rules.login_arrived(self.now, host.number, login, self.workload)
            self.awaiting_answer.add((host.number, number))
            host.policy.login_arrived(self.now, login)
            return
        if tokens[0] == "at":
            host, outcome = self.hosts[int(tokens[1])], Outcome(" ".join(tokens[2:]))
            self.remaining["loss"] -= 1
            self._fail_hand_off(host, number, outcome)
            return
        host = self.hosts[int(tokens[-1])]
        if tokens[0] == "opens":
            attempt, server = len(host.hand_offs[number]) - 1, host.hand_offs.pop(number)[-1]
            host.connections[number] = server
            self.awaiting_answer.discard((host.number, number))
            self.answers[number] = "fulfilled"
            self.rules.login_answered(self.now, host.number, number, "fulfilled")
            host.policy.hand_off_started(self.now, number, attempt, server, 10 * MS)
        elif tokens[0] == "ends":
            self._end_connection(host, number, Outcome.FULFILLED)
        else:  # "runs out": the hand-off reaches the login's time limit
            self.now = max(self.now, self.deadlines[number])
            self._fail_hand_off(host, number, Outcome.TIMED_OUT)

    def _fail_hand_off(self, host: _BalancerHost, login: int, outcome: Outcome) -> None:
        attempt, server = len(host.hand_offs[login]) - 1, host.hand_offs[login][-1]
        self.rules.hand_off_failed(self.now, host.number, login, attempt, outcome)
        before = len(host.hand_offs[login])
        host.policy.hand_off_ended(self.now, login, False, server, outcome, attempt, 10 * MS, None)
        if login in host.hand_offs and len(host.hand_offs[login]) == before:
            # The policy did not retry: unless it answers the login, the login is lost.
            host.hand_offs.pop(login)

    def _end_connection(self, host: _BalancerHost, login: int, outcome: Outcome) -> None:
        server = host.connections.pop(login, None)
        self.requested_moves.discard((host.number, login))
        if server is not None:
            self.rules.login_done(host.number, login)
            host.policy.hand_off_ended(self.now, login, True, server, outcome, 0, 0, None)

    def violation(self) -> str | None:
        for rule, violation in sorted(self.rules.first_violations.items()):
            return f"rule {rule}: {violation.what}"
        for balancer, login in sorted(self.awaiting_answer):
            host = self.hosts[balancer]
            if login not in host.hand_offs and not host.timers and not host.pending_probes:
                return f"rule 1: login {login} is never answered"
            if login not in host.hand_offs and not getattr(host.policy, "_active_logins", {}).get(
                login
            ):
                return f"rule 1: login {login} is dropped without an answer"
        for host in self.hosts:
            active_logins = set(getattr(host.policy, "_active_logins", ()))
            if (
                active_logins
                - set(host.hand_offs)
                - set(host.connections)
                - {login for number, login in self.awaiting_answer if number == host.number}
            ):
                return f"counts: balancer {host.number} still counts a login that has ended"
        return None

    def state(self) -> object:
        return (
            [fingerprint(host.policy, self.now) for host in self.hosts]
            + [[(due - self.now, mark) for due, mark in sorted(host.timers)] for host in self.hosts]
            + [(host.pending_probes, host.hand_offs, host.connections) for host in self.hosts]
            + [
                self.status,
                self.remaining,
                self.pending_arrivals,
                sorted(self.awaiting_answer),
                sorted(self.requested_moves),
                sorted(self.announced_status.items()),
                {
                    login: deadline - self.now
                    for login, deadline in self.deadlines.items()
                    if login not in self.answers
                },
            ]
        )

    def trace(self) -> list[str]:
        return self.steps + list(
            next(iter(self.rules.first_violations.values())).trace
            if self.rules.first_violations
            else ()
        )


def fingerprint(root: Any, now: int) -> str:
    """Returns a digest of all state reachable from an object.

    Points in time enter as their distance from `now`. Hosts and random number generators enter by
    the name of their class only, because their state is not part of the object's.
    """
    parts: list[str] = []
    visited: dict[int, int] = {}

    def walk(obj: Any) -> None:
        if obj is None or isinstance(obj, (bool, str, bytes, Status, Outcome)):
            parts.append(repr(obj))
        elif isinstance(obj, int):
            parts.append(
                f"t{obj - now}" if abs(obj) > MIN_TIMESTAMP and obj < 1 << 52 else str(obj)
            )
        elif isinstance(obj, float):
            parts.append(f"{obj:.6g}")
        elif isinstance(obj, (list, tuple)):
            parts.append("[")
            for item in obj:
                walk(item)
            parts.append("]")
        elif isinstance(obj, dict):
            parts.append("{")
            for key, value in obj.items():
                walk(key)
                walk(value)
            parts.append("}")
        elif isinstance(obj, (set, frozenset)):
            parts.append(repr(sorted(map(repr, obj))))
        elif isinstance(obj, (Random, _BalancerHost, SubscriptionWorld, type)):
            parts.append(type(obj).__name__)
        elif id(obj) in visited:
            parts.append(f"#{visited[id(obj)]}")
        else:
            visited[id(obj)] = len(visited)
            parts.append(type(obj).__name__)
            if callable(obj) and hasattr(obj, "__code__"):
                parts.append(obj.__qualname__)
                for cell in obj.__closure__ or ():
                    walk(cell.cell_contents)
                walk(obj.__defaults__)
            elif hasattr(obj, "__func__"):
                parts.append(obj.__func__.__qualname__)
                walk(obj.__self__)
            else:
                for key, value in vars(obj).items():
                    parts.append(key)
                    walk(value)

    walk(root)
    return xxh3_128_hexdigest(" ".join(parts).encode())


class ExplorationResult(NamedTuple):
    """What an exploration covered, and the violation that it found.

    Attributes:
        states: number of different states reached; 0 for random walks.
        depth: length of the longest path played.
        steps: number of events played, including those replayed to return to a state.
        complete: every order of events up to that depth has been played.
        counterexample: labels of the minimised path to the violation; empty without one.
        what: the violation; empty without one.
        trace: what happened on the minimised path.
    """

    states: int
    depth: int
    steps: int
    complete: bool
    counterexample: tuple[str, ...]
    what: str
    trace: tuple[str, ...]


def _replay(new_world: Callable[[], World], path: Iterable[str]) -> World:
    world = new_world()
    for label in path:
        world.play(label)
    return world


def first_violation(new_world: Callable[[], World], path: Iterable[str]) -> str | None:
    """Plays a path and returns the first violation; skips labels that are not possible then."""
    world = new_world()
    for label in path:
        if label in world.enabled():
            world.play(label)
            violation = world.violation()
            if violation:
                return violation
    return None


def minimise(new_world: Callable[[], World], path: tuple[str, ...]) -> tuple[str, ...]:
    """Removes the steps that are not needed to reach a violation of the same kind."""
    kind = (first_violation(new_world, path) or "").partition(":")[0]
    index = 0
    while index < len(path):
        shorter = path[:index] + path[index + 1 :]
        if (first_violation(new_world, shorter) or "").partition(":")[0] == kind:
            path = shorter
        else:
            index += 1
    return path


def _minimised_result(
    new_world: Callable[[], World], path: tuple[str, ...], states: int, depth: int, steps: int
) -> ExplorationResult:
    path = minimise(new_world, path)
    world = new_world()
    what = None
    for label in path:
        if label in world.enabled():
            world.play(label)
            what = world.violation()
            if what:
                break
    return ExplorationResult(states, depth, steps, False, path, what or "", tuple(world.trace()))


def explore(
    new_world: Callable[[], World], depth: int, max_states: int = 200_000
) -> ExplorationResult:
    """Plays every order of events up to a depth, breadth first.

    Stops at the first violation, or once `max_states` different states have been reached.
    """
    seen = {_digest(new_world())}
    frontier: list[tuple[str, ...]] = [()]
    steps = 0
    for level in range(1, depth + 1):
        next_frontier: list[tuple[str, ...]] = []
        for path in frontier:
            for label in _replay(new_world, path).enabled():
                world = _replay(new_world, (*path, label))
                steps += len(path) + 1
                if world.violation():
                    return _minimised_result(new_world, (*path, label), len(seen), level, steps)
                digest = _digest(world)
                if digest not in seen:
                    seen.add(digest)
                    next_frontier.append((*path, label))
                    if len(seen) >= max_states:
                        return ExplorationResult(len(seen), level, steps, False, (), "", ())
        frontier = next_frontier
        if not frontier:
            return ExplorationResult(len(seen), level, steps, True, (), "", ())
    return ExplorationResult(len(seen), depth, steps, True, (), "", ())


def random_walks(
    new_world: Callable[[], World], walks: int, depth: int, seed: int
) -> ExplorationResult:
    """Plays random paths, much longer than those that `explore` can cover completely."""
    rng, steps = Random(seed), 0
    for _ in range(walks):
        world, path = new_world(), list[str]()
        for _ in range(depth):
            labels = world.enabled()
            if not labels:
                break
            label = rng.choice(labels)
            path.append(label)
            world.play(label)
            steps += 1
            if world.violation():
                return _minimised_result(new_world, tuple(path), 0, len(path), steps)
    return ExplorationResult(0, depth, steps, False, (), "", ())


def _digest(world: World) -> str:
    return xxh3_128_hexdigest(repr(world.state()).encode())


def counterexample_json(kind: str, shape: NamedTuple, found: ExplorationResult) -> str:
    """Returns a counterexample as the text of a file that `corklift lab replay` plays."""
    return json.dumps(
        {"world": kind, "shape": shape._asdict(), "path": found.counterexample, "what": found.what},
        indent=1,
    )


class SubscriptionShape(NamedTuple):
    """How often each disturbance may happen in a `SubscriptionWorld`."""

    incremental: bool = False  # the proxy uses the delta protocol
    changes: int = 3  # of the resources
    refusals: int = 1  # responses that the proxy rejects
    losses: int = 1  # of the stream


class SubscriptionWorld:
    """The control service's subscriptions with one proxy.

    The proxy reads, accepts, rejects and disconnects at any time.
    """

    CLUSTERS = ("a", "b")

    def __init__(self, shape: SubscriptionShape) -> None:
        from corklift.control.subscriptions import (
            Resource,
            ResourceKind,
            SubscriptionManager,
            SubscriptionSettings,
        )

        self._resource_kinds, self._resource_class = ResourceKind, Resource
        self.shape, self.now, self.steps = shape, SECOND, list[str]()
        self.remaining = {"change": shape.changes, "refusal": shape.refusals, "loss": shape.losses}
        self.manager = SubscriptionManager(
            self, SubscriptionSettings(ack_timeout=SECOND, dependency_timeout=SECOND)
        )
        self.failure: str | None = None
        self.unread_responses: list[Any] = []
        self.unacknowledged: list[Any] = []
        # Versions of the resources that the proxy holds, by kind and name.
        self.proxy_resources: dict[Any, dict[str, str]] = {kind: {} for kind in ResourceKind}
        self.rejected_versions: set[tuple[Any, str]] = set()  # by kind and version
        self.stream, self.revision = 0, 0
        self._connect()

    def send(self, stream: int, response: Any) -> None:
        if not self.manager.has_snapshot:
            self.failure = "views: sent before the first snapshot"
        if self.unread_responses:
            self.failure = "views: sent to a stream that is not writable"
        self.unread_responses.append(response)

    def _resource_names(self, kind: Any) -> tuple[str, ...]:
        return {
            self._resource_kinds.ENDPOINTS: self.CLUSTERS,
            self._resource_kinds.ROUTES: ("door",),
        }.get(kind, ())

    def _connect(self) -> None:
        if self.stream:
            self.manager.close_stream(self.stream)
        self.stream += 1
        self.unread_responses, self.unacknowledged = [], []
        self.manager.open_stream(self.now, self.stream, self.shape.incremental)
        for kind in self._resource_kinds:
            if self.shape.incremental:
                self.manager.handle_delta_request(
                    self.now,
                    self.stream,
                    kind,
                    self._resource_names(kind),
                    (),
                    dict(self.proxy_resources[kind]),
                    "",
                    None,
                )
            else:
                self.manager.handle_request(
                    self.now, self.stream, kind, self._resource_names(kind), "", "", None
                )

    def enabled(self) -> list[str]:
        labels = ["time"]
        if self.remaining["change"]:
            labels += ["a server drains", "weights move", "only a is left", "all are there"]
        if self.unread_responses:
            labels.append("read")
        if self.unacknowledged:
            labels.append("accept")
            if self.remaining["refusal"]:
                labels.append("refuse")
        if self.remaining["loss"]:
            labels.append("break off")
        return labels

    def play(self, label: str) -> None:
        self.steps.append(label)
        kinds = self._resource_kinds
        if label == "time":
            self.now += SECOND
            self.manager.tick(self.now)
        elif label == "read":
            response = self.unread_responses.pop(0)
            self.unacknowledged.append(response)
            self.manager.stream_writable(self.now, self.stream)
        elif label in ("accept", "refuse"):
            self._acknowledge(self.unacknowledged.pop(0), label == "refuse")
        elif label == "break off":
            self.remaining["loss"] -= 1
            self._connect()
        else:
            self.remaining["change"] -= 1
            self.revision += 1
            names = ("a",) if label == "only a is left" else self.CLUSTERS
            table = {
                name: self._resource_class.from_body(name, f"{name} {self.revision}".encode())
                for name in names
            }
            if label in ("a server drains", "weights move"):
                known = set(self.manager.current_resources(kinds.CLUSTERS)) or set(names)
                self.manager.update_snapshot(
                    self.now,
                    {
                        kinds.ENDPOINTS: {
                            name: resource for name, resource in table.items() if name in known
                        }
                    }
                    if self.manager.has_snapshot
                    else self._full_snapshot(names, table),
                    urgent=label == "a server drains",
                )
                if label == "a server drains":
                    self._check_drain_sent()
            else:
                self.manager.update_snapshot(self.now, self._full_snapshot(names, table))

    def _full_snapshot(
        self, names: tuple[str, ...], endpoints: dict[str, Any]
    ) -> dict[Any, dict[str, Any]]:
        kinds, from_body = self._resource_kinds, self._resource_class.from_body
        return {
            kinds.CLUSTERS: {name: from_body(name, name.encode()) for name in names},
            kinds.ENDPOINTS: endpoints,
            kinds.LISTENERS: {"door": from_body("door", b"door")},
            kinds.ROUTES: {"door": from_body("door", "+".join(names).encode(), names)},
        }

    def _check_drain_sent(self) -> None:
        """Checks that a drain has been sent, unless the stream is not writable."""
        subscription = self.manager.streams[self.stream].subscriptions[
            self._resource_kinds.ENDPOINTS
        ]
        table = self.manager.current_resources(self._resource_kinds.ENDPOINTS)
        sent = all(subscription.sent.get(name) == resource for name, resource in table.items())
        if not sent and not self.unread_responses:
            self.failure = "views: a drain waits though there is room"

    def _acknowledge(self, response: Any, reject: bool) -> None:
        versions = self.proxy_resources[response.kind]
        if reject:
            self.remaining["refusal"] -= 1
            self.rejected_versions.add((response.kind, response.version))
        else:
            if response.kind.sent_in_full and not self.shape.incremental:
                versions.clear()
            for name in response.removed:
                versions.pop(name, None)
            versions.update({resource.name: resource.version for resource in response.resources})
        error = "no" if reject else None
        if self.shape.incremental:
            self.manager.handle_delta_request(
                self.now, self.stream, response.kind, (), (), {}, response.nonce, error
            )
        else:
            self.manager.handle_request(
                self.now,
                self.stream,
                response.kind,
                self._resource_names(response.kind),
                response.version if not reject else "",
                response.nonce,
                error,
            )

    def violation(self) -> str | None:
        if self.failure:
            return self.failure
        stream = self.manager.streams[self.stream]
        if (
            self.manager.has_snapshot
            and not self.unread_responses
            and not self.unacknowledged
            and not stream.has_pending
            and not self.rejected_versions
        ):
            for kind in self._resource_kinds:
                for name, resource in self.manager.current_resources(kind).items():
                    if (
                        stream.subscriptions[kind].wants(name)
                        and self.proxy_resources[kind].get(name) != resource.version
                    ):
                        return (
                            "views: nothing is pending, but the proxy lacks the current "
                            f"{kind.name.lower()} {name}"
                        )
        return None

    def state(self) -> object:
        return [
            fingerprint(self.manager, self.now),
            self.unread_responses,
            self.unacknowledged,
            self.proxy_resources,
            sorted(map(str, self.rejected_versions)),
            self.remaining,
        ]

    def trace(self) -> list[str]:
        return self.steps


def make_world(kind: str, shape: dict[str, Any]) -> World:
    """Returns a world by its name and shape, as they stand in the file of a counterexample."""
    if kind == "members":
        from corklift.lab import explore_members

        return explore_members.MembershipWorld(explore_members.MembershipShape(**shape))
    if kind == "recovery":
        from corklift.lab import explore_recovery

        return explore_recovery.RecoveryWorld(explore_recovery.RecoveryShape(**shape))
    return (
        PlacementWorld(PlacementShape(**shape))
        if kind == "placing"
        else SubscriptionWorld(SubscriptionShape(**shape))
    )
