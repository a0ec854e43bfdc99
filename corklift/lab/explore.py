"""Exploration: every order of events in a small world, to a stated depth; equal states are met once.

The world is one or two real `Balancer`s, two or three servers, two logins, a drain, a restart, a lost answer. A path is a
list of labels; it is played from the start each time, so nothing is copied. The rules are `rules.Rules`, and that what is
asked for is answered. A counterexample is cut down and told as a trace that `replay` plays again. Owns the small worlds.
Must never hold a decision.
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

STEP = 40 * MS  # between two events that are not timers
EPOCH = 10**11  # numbers beyond it are times: what counts is how far they are from now


class World(Protocol):
    """What can be explored."""

    def enabled(self) -> list[str]: ...
    def play(self, label: str) -> None: ...
    def violation(self) -> str | None: ...
    def state(self) -> object: ...
    def trace(self) -> list[str]: ...


class FixedRandom(Random):
    """Chance that is no chance: each draw falls at the same part of what there is."""

    def __init__(self, part: float) -> None:
        super().__init__(0)
        self.part = part

    def random(self) -> float:
        return self.part

    def _randbelow(self, n: int) -> int:
        return int(
            self.part * n
        )  # the library's own asks again while a number is too large: here for ever


class PlacementShape(NamedTuple):
    """A small world's shape."""

    balancers: int = 1
    servers: int = 2
    logins: int = 2
    effect: str = "repeatable"
    reach: str = "all"
    drains: int = 1
    restarts: int = 1
    losses: int = 1  # hand-offs whose answer is lost, or that fail otherwise
    part: float = 0.3  # where each draw falls
    cold: bool = False  # a server starts in the middle of it


class _Seat:
    """The host of one balancer of the small world."""

    def __init__(self, world: PlacementWorld, number: int) -> None:
        self.world, self.number = world, number
        self.timers: list[tuple[int, int]] = []
        self.probes: list[int] = []
        self.open: dict[int, list[int]] = {}  # login: servers tried
        self.placed: dict[int, int] = {}  # login: server
        self.policy: Any = None

    def hand_off(self, login: int, server: int, cut_at: int) -> None:
        world = self.world
        world.rules.hand_off_sent(world.now, self.number, login, server, world.cells)
        self.open.setdefault(login, []).append(server)

    def cancel(self, login: int, attempt: int) -> None:
        pass

    def bounce(self, login: int, retry_in: int) -> None:
        self._answer(login, "bounced")

    def terminate(self, login: int) -> None:
        self._answer(login, "terminated")

    def _answer(self, login: int, how: str) -> None:
        self.world.rules.login_answered(self.world.now, self.number, login, how)
        self.world.answers[login] = how
        self.open.pop(login, None)
        self.world.waiting.discard((self.number, login))

    def move(self, login: int) -> None:
        if login in self.placed:
            self.world.moves.add((self.number, login))

    def probe(self, server: int) -> None:
        if server not in self.probes:
            self.probes.append(server)

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
    """The decision module in a small world."""

    def __init__(
        self, shape: PlacementShape, spoil: Callable[[Any, Any], Any] | None = None
    ) -> None:
        self.shape, self._spoil = shape, spoil
        self.now = 1_000 * SECOND
        self.rules = RuleChecker(self.now)
        self.steps: list[str] = []
        self.workload = Workload(
            "plain", 1.0, 800 * MS, 3200 * MS, Effect(shape.effect), dedup_window=10 * SECOND
        )
        self.cells = {server: (0, server % 2) for server in range(1, shape.servers + 1)}
        self.status = dict.fromkeys(self.cells, Status.READY)
        self.started = dict.fromkeys(self.cells, 0)
        self.answers: dict[int, str] = {}
        self.waiting: set[tuple[int, int]] = set()  # balancer and login: no answer yet
        self.moves: set[tuple[int, int]] = set()
        self.told: dict[tuple[int, int], Status] = {}
        self.left = {
            "drain": shape.drains,
            "restart": shape.restarts,
            "loss": shape.losses,
            "cold": int(shape.cold),
        }
        self.to_come = list(range(1, shape.logins + 1))
        self.deadlines: dict[int, int] = {}
        self.seats = [_Seat(self, at) for at in range(shape.balancers)]
        for seat in self.seats:
            self._start(seat)

    def _start(self, seat: _Seat) -> None:
        policy = Balancer(
            seat,
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
        seat.policy = self._spoil(seat, policy) if self._spoil else policy
        seat.timers, seat.probes, seat.open, seat.placed = [], [], {}, {}
        self._list(seat, list(self.cells), Scope.FULL)

    def _list(self, seat: _Seat, servers: Iterable[int], scope: Scope) -> None:
        lines = []
        for server in servers:
            status = self.status[server]
            self.told[seat.number, server] = status
            if status is Status.READY:
                self.rules.ready_announced(seat.number, server)
            else:
                self.rules.drain_announced(self.now, seat.number, server)
            lines.append(ListedServer(server, 0, 0, server % 2, status, 1.0, self.started[server]))
        seat.policy.servers_listed(self.now, scope, 1, tuple(lines))

    def enabled(self) -> list[str]:
        """Messages come in any order, but time is one: nothing happens later than a time limit that is due first."""
        labels = []
        due, first = min(
            ((self.deadlines[login], login) for seat in self.seats for login in seat.open),
            default=(self.now + 10**15, 0),
        )
        if self.now + STEP > due:
            return [
                f"login {first} runs out at {seat.number}"
                for seat in self.seats
                if first in seat.open
            ]
        for seat in self.seats:
            b = seat.number
            labels += [f"login {login} comes to {b}" for login in self.to_come[:1]]
            for login, tried in seat.open.items():
                labels.append(f"login {login} opens at {b}")
                if self.left["loss"]:
                    labels += [
                        f"login {login} at {b}: {outcome.value}"
                        for outcome in (
                            Outcome.BROKEN,
                            Outcome.TIMED_OUT,
                            Outcome.FULL,
                            Outcome.NOT_CONNECTED,
                        )
                    ]
                if login == first:
                    labels.append(f"login {login} runs out at {b}")
            labels += [f"login {login} ends at {b}" for login in seat.placed]
            labels += [f"probe of {server} by {b}" for server in seat.probes]
            if seat.timers and min(seat.timers)[0] <= due:
                labels.append(f"timer of {b}")
            labels += [
                f"list of {server} to {b}"
                for server in self.cells
                if self.told[b, server] is not self.status[server]
            ]
            if self.left["restart"]:
                labels.append(f"restart of {b}")
        labels += [f"move of {login} at {b}" for b, login in sorted(self.moves)]
        if self.left["drain"]:
            labels += [
                f"drain of {server}"
                for server, status in self.status.items()
                if status is Status.READY
            ]
        if self.left["cold"]:
            labels += [
                f"start of {server}"
                for server, status in self.status.items()
                if status is not Status.READY
            ]
        return labels

    def play(self, label: str) -> None:
        self.steps.append(label)
        words = label.replace(":", "").split()
        if words[0] == "timer":
            self._timer(self.seats[int(words[2])])
            return
        if words[:1] + words[2:4] != ["login", "runs", "out"]:
            self.now += STEP
        if words[0] == "login":
            self._login(int(words[1]), words[2:])
        elif words[0] == "probe":
            seat, server = self.seats[int(words[4])], int(words[2])
            seat.probes.remove(server)
            count = sum(place == server for other in self.seats for place in other.placed.values())
            seat.policy.probe_answered(
                self.now, server, 5 * MS, Outcome.FULFILLED, Report(float(count), 0.1 * count)
            )
        elif words[0] == "list":
            self._list(self.seats[int(words[4])], [int(words[2])], Scope.DELTA)
        elif words[0] == "drain":
            self.left["drain"] -= 1
            self.status[int(words[2])] = Status.DRAINING
        elif words[0] == "start":
            self.left["cold"] -= 1
            self.status[int(words[2])], self.started[int(words[2])] = Status.READY, self.now
        elif words[0] == "move":
            self.moves.discard((int(words[4]), int(words[2])))
            self._end(self.seats[int(words[4])], int(words[2]), Outcome.CANCELLED)
        elif words[0] == "restart":
            seat = self.seats[int(words[2])]
            self.left["restart"] -= 1
            for login in [*seat.open, *seat.placed]:
                self.rules.login_abandoned(self.now, seat.number, login)
                self.waiting.discard((seat.number, login))
                self.answers.setdefault(login, "its balancer is gone")
            self.moves = {(b, login) for b, login in self.moves if b != seat.number}
            for server in self.cells:
                self.rules.ready_announced(seat.number, server)
            self._start(seat)

    def _timer(self, seat: _Seat) -> None:
        seat.timers.sort()
        due, mark = seat.timers.pop(0)
        self.now = max(self.now, due)
        seat.policy.timer_due(self.now, mark)

    def _login(self, number: int, words: list[str]) -> None:
        if words[0] == "comes":
            seat = self.seats[int(words[2])]
            self.to_come.remove(number)
            login = Login(number, 0, 0, number, self.now + self.workload.time_limit, None, 0)
            self.deadlines[number] = login.time_limit_at
            self.rules.login_arrived(self.now, seat.number, login, self.workload)
            self.waiting.add((seat.number, number))
            seat.policy.login_arrived(self.now, login)
            return
        if words[0] == "at":
            seat, outcome = self.seats[int(words[1])], Outcome(" ".join(words[2:]))
            self.left["loss"] -= 1
            self._fail(seat, number, outcome)
            return
        seat = self.seats[int(words[-1])]
        if words[0] == "opens":
            attempt, server = len(seat.open[number]) - 1, seat.open.pop(number)[-1]
            seat.placed[number] = server
            self.waiting.discard((seat.number, number))
            self.answers[number] = "fulfilled"
            self.rules.login_answered(self.now, seat.number, number, "fulfilled")
            seat.policy.hand_off_started(self.now, number, attempt, server, 10 * MS)
        elif words[0] == "ends":
            self._end(seat, number, Outcome.FULFILLED)
        else:  # runs out: the time that its hand-off has is up
            self.now = max(self.now, self.deadlines[number])
            self._fail(seat, number, Outcome.TIMED_OUT)

    def _fail(self, seat: _Seat, login: int, outcome: Outcome) -> None:
        attempt, server = len(seat.open[login]) - 1, seat.open[login][-1]
        self.rules.hand_off_failed(self.now, seat.number, login, attempt, outcome)
        before = len(seat.open[login])
        seat.policy.hand_off_ended(self.now, login, False, server, outcome, attempt, 10 * MS, None)
        if login in seat.open and len(seat.open[login]) == before:
            seat.open.pop(login)  # nothing follows: if it is not answered, it is lost

    def _end(self, seat: _Seat, login: int, outcome: Outcome) -> None:
        server = seat.placed.pop(login, None)
        self.moves.discard((seat.number, login))
        if server is not None:
            self.rules.login_done(seat.number, login)
            seat.policy.hand_off_ended(self.now, login, True, server, outcome, 0, 0, None)

    def violation(self) -> str | None:
        for rule, found in sorted(self.rules.first_violations.items()):
            return f"rule {rule}: {found.what}"
        for balancer, login in sorted(self.waiting):
            seat = self.seats[balancer]
            if login not in seat.open and not seat.timers and not seat.probes:
                return f"rule 1: login {login} is never answered"
            if login not in seat.open and not getattr(seat.policy, "_active_logins", {}).get(login):
                return f"rule 1: login {login} is forgotten without an answer"
        for seat in self.seats:
            held = set(getattr(seat.policy, "_active_logins", ()))
            if (
                held
                - set(seat.open)
                - set(seat.placed)
                - {login for b, login in self.waiting if b == seat.number}
            ):
                return f"counts: balancer {seat.number} holds a login that is over"
        return None

    def state(self) -> object:
        return (
            [fingerprint(seat.policy, self.now) for seat in self.seats]
            + [[(due - self.now, mark) for due, mark in sorted(seat.timers)] for seat in self.seats]
            + [(seat.probes, seat.open, seat.placed) for seat in self.seats]
            + [
                self.status,
                self.left,
                self.to_come,
                sorted(self.waiting),
                sorted(self.moves),
                sorted(self.told.items()),
                {
                    login: at - self.now
                    for login, at in self.deadlines.items()
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
    """A digest of all that an object holds; times count by how far they are from now, hosts and chance not at all."""
    out: list[str] = []
    met: dict[int, int] = {}

    def walk(thing: Any) -> None:
        if thing is None or isinstance(thing, (bool, str, bytes, Status, Outcome)):
            out.append(repr(thing))
        elif isinstance(thing, int):
            out.append(f"t{thing - now}" if abs(thing) > EPOCH and thing < 1 << 52 else str(thing))
        elif isinstance(thing, float):
            out.append(f"{thing:.6g}")
        elif isinstance(thing, (list, tuple)):
            out.append("[")
            for part in thing:
                walk(part)
            out.append("]")
        elif isinstance(thing, dict):
            out.append("{")
            for key, value in thing.items():
                walk(key)
                walk(value)
            out.append("}")
        elif isinstance(thing, (set, frozenset)):
            out.append(repr(sorted(map(repr, thing))))
        elif isinstance(thing, (Random, _Seat, SubscriptionWorld, type)):
            out.append(type(thing).__name__)
        elif id(thing) in met:
            out.append(f"#{met[id(thing)]}")
        else:
            met[id(thing)] = len(met)
            out.append(type(thing).__name__)
            if callable(thing) and hasattr(thing, "__code__"):
                out.append(thing.__qualname__)
                for cell in thing.__closure__ or ():
                    walk(cell.cell_contents)
                walk(thing.__defaults__)
            elif hasattr(thing, "__func__"):
                out.append(thing.__func__.__qualname__)
                walk(thing.__self__)
            else:
                for key, value in vars(thing).items():
                    out.append(key)
                    walk(value)

    walk(root)
    return xxh3_128_hexdigest(" ".join(out).encode())


class ExplorationResult(NamedTuple):
    states: int
    depth: int
    steps: int  # events played, those played again to come back to a state included
    complete: bool  # every order to that depth was looked at
    counterexample: tuple[str, ...]  # labels, cut down; empty where there is none
    what: str
    trace: tuple[str, ...]


def _replay(make: Callable[[], World], path: Iterable[str]) -> World:
    world = make()
    for label in path:
        world.play(label)
    return world


def first_violation(make: Callable[[], World], path: Iterable[str]) -> str | None:
    """What breaks on the way; labels that can't happen then are passed over."""
    world = make()
    for label in path:
        if label in world.enabled():
            world.play(label)
            found = world.violation()
            if found:
                return found
    return None


def minimise(make: Callable[[], World], path: tuple[str, ...]) -> tuple[str, ...]:
    """The path without the steps that the break does not need."""
    kind = (first_violation(make, path) or "").partition(":")[0]
    at = 0
    while at < len(path):
        less = path[:at] + path[at + 1 :]
        if (first_violation(make, less) or "").partition(":")[0] == kind:
            path = less
        else:
            at += 1
    return path


def _minimised_result(
    make: Callable[[], World], path: tuple[str, ...], states: int, depth: int, steps: int
) -> ExplorationResult:
    path = minimise(make, path)
    world = make()
    what = None
    for label in path:
        if label in world.enabled():
            world.play(label)
            what = world.violation()
            if what:
                break
    return ExplorationResult(states, depth, steps, False, path, what or "", tuple(world.trace()))


def explore(make: Callable[[], World], depth: int, most: int = 200_000) -> ExplorationResult:
    """Every order of events to the depth, in breadth; stops at the first break, or at so many states."""
    seen = {_digest(make())}
    edge: list[tuple[str, ...]] = [()]
    steps = 0
    for level in range(1, depth + 1):
        further: list[tuple[str, ...]] = []
        for path in edge:
            for label in _replay(make, path).enabled():
                world = _replay(make, (*path, label))
                steps += len(path) + 1
                if world.violation():
                    return _minimised_result(make, (*path, label), len(seen), level, steps)
                digest = _digest(world)
                if digest not in seen:
                    seen.add(digest)
                    further.append((*path, label))
                    if len(seen) >= most:
                        return ExplorationResult(len(seen), level, steps, False, (), "", ())
        edge = further
        if not edge:
            return ExplorationResult(len(seen), level, steps, True, (), "", ())
    return ExplorationResult(len(seen), depth, steps, True, (), "", ())


def random_walks(make: Callable[[], World], walks: int, depth: int, seed: int) -> ExplorationResult:
    """Random walks, far deeper than every order can be looked at."""
    rng, steps = Random(seed), 0
    for _ in range(walks):
        world, path = make(), list[str]()
        for _ in range(depth):
            labels = world.enabled()
            if not labels:
                break
            label = rng.choice(labels)
            path.append(label)
            world.play(label)
            steps += 1
            if world.violation():
                return _minimised_result(make, tuple(path), 0, len(path), steps)
    return ExplorationResult(0, depth, steps, False, (), "", ())


def _digest(world: World) -> str:
    return xxh3_128_hexdigest(repr(world.state()).encode())


def counterexample_json(kind: str, shape: NamedTuple, found: ExplorationResult) -> str:
    """A counterexample as a file that `replay` plays."""
    return json.dumps(
        {"world": kind, "shape": shape._asdict(), "path": found.counterexample, "what": found.what},
        indent=1,
    )


class SubscriptionShape(NamedTuple):
    """A small world of views: one control service, one proxy."""

    incremental: bool = False
    changes: int = 3
    refusals: int = 1
    losses: int = 1


class SubscriptionWorld:
    """The control service's views with one proxy that reads, accepts, refuses and breaks off whenever it likes."""

    CLUSTERS = ("a", "b")

    def __init__(self, shape: SubscriptionShape) -> None:
        from corklift.control.subscriptions import (
            Resource,
            ResourceKind,
            SubscriptionManager,
            SubscriptionSettings,
        )

        self._kinds, self._resource = ResourceKind, Resource
        self.shape, self.now, self.steps = shape, SECOND, list[str]()
        self.left = {"change": shape.changes, "refusal": shape.refusals, "loss": shape.losses}
        self.views = SubscriptionManager(
            self, SubscriptionSettings(ack_timeout=SECOND, dependency_timeout=SECOND)
        )
        self.wrong: str | None = None
        self.unread: list[Any] = []
        self.unanswered: list[Any] = []
        self.held: dict[Any, dict[str, str]] = {
            kind: {} for kind in ResourceKind
        }  # the proxy's, by kind and name
        self.refused: set[tuple[Any, str]] = set()  # kinds and versions
        self.number, self.content = 0, 0
        self._connect()

    def send(self, stream: int, response: Any) -> None:
        if not self.views.has_snapshot:
            self.wrong = "views: sent before the list is known"
        if self.unread:
            self.wrong = "views: sent to a stream that has no room"
        self.unread.append(response)

    def _names(self, kind: Any) -> tuple[str, ...]:
        return {self._kinds.ENDPOINTS: self.CLUSTERS, self._kinds.ROUTES: ("door",)}.get(kind, ())

    def _connect(self) -> None:
        if self.number:
            self.views.close_stream(self.number)
        self.number += 1
        self.unread, self.unanswered = [], []
        self.views.open_stream(self.now, self.number, self.shape.incremental)
        for kind in self._kinds:
            if self.shape.incremental:
                self.views.handle_delta_request(
                    self.now,
                    self.number,
                    kind,
                    self._names(kind),
                    (),
                    dict(self.held[kind]),
                    "",
                    None,
                )
            else:
                self.views.handle_request(
                    self.now, self.number, kind, self._names(kind), "", "", None
                )

    def enabled(self) -> list[str]:
        labels = ["time"]
        if self.left["change"]:
            labels += ["a server drains", "weights move", "only a is left", "all are there"]
        if self.unread:
            labels.append("read")
        if self.unanswered:
            labels.append("accept")
            if self.left["refusal"]:
                labels.append("refuse")
        if self.left["loss"]:
            labels.append("break off")
        return labels

    def play(self, label: str) -> None:
        self.steps.append(label)
        kinds = self._kinds
        if label == "time":
            self.now += SECOND
            self.views.tick(self.now)
        elif label == "read":
            response = self.unread.pop(0)
            self.unanswered.append(response)
            self.views.stream_writable(self.now, self.number)
        elif label in ("accept", "refuse"):
            self._answer(self.unanswered.pop(0), label == "refuse")
        elif label == "break off":
            self.left["loss"] -= 1
            self._connect()
        else:
            self.left["change"] -= 1
            self.content += 1
            names = ("a",) if label == "only a is left" else self.CLUSTERS
            table = {
                name: self._resource.from_body(name, f"{name} {self.content}".encode())
                for name in names
            }
            if label in ("a server drains", "weights move"):
                kept = set(self.views.current_resources(kinds.CLUSTERS)) or set(names)
                self.views.update_snapshot(
                    self.now,
                    {kinds.ENDPOINTS: {n: r for n, r in table.items() if n in kept}}
                    if self.views.has_snapshot
                    else self._all(names, table),
                    urgent=label == "a server drains",
                )
                if label == "a server drains":
                    self._drained()
            else:
                self.views.update_snapshot(self.now, self._all(names, table))

    def _all(self, names: tuple[str, ...], endpoints: dict[str, Any]) -> dict[Any, dict[str, Any]]:
        kinds, of = self._kinds, self._resource.from_body
        return {
            kinds.CLUSTERS: {name: of(name, name.encode()) for name in names},
            kinds.ENDPOINTS: endpoints,
            kinds.LISTENERS: {"door": of("door", b"door")},
            kinds.ROUTES: {"door": of("door", "+".join(names).encode(), names)},
        }

    def _drained(self) -> None:
        """A drain is on its way, or waits for room alone."""
        subscription = self.views.streams[self.number].subscriptions[self._kinds.ENDPOINTS]
        table = self.views.current_resources(self._kinds.ENDPOINTS)
        sent = all(subscription.sent.get(name) == resource for name, resource in table.items())
        if not sent and not self.unread:
            self.wrong = "views: a drain waits though there is room"

    def _answer(self, response: Any, refuse: bool) -> None:
        held = self.held[response.kind]
        if refuse:
            self.left["refusal"] -= 1
            self.refused.add((response.kind, response.version))
        else:
            if response.kind.sent_in_full and not self.shape.incremental:
                held.clear()
            for name in response.removed:
                held.pop(name, None)
            held.update({resource.name: resource.version for resource in response.resources})
        problem = "no" if refuse else None
        if self.shape.incremental:
            self.views.handle_delta_request(
                self.now, self.number, response.kind, (), (), {}, response.nonce, problem
            )
        else:
            self.views.handle_request(
                self.now,
                self.number,
                response.kind,
                self._names(response.kind),
                response.version if not refuse else "",
                response.nonce,
                problem,
            )

    def violation(self) -> str | None:
        if self.wrong:
            return self.wrong
        stream = self.views.streams[self.number]
        if (
            self.views.has_snapshot
            and not self.unread
            and not self.unanswered
            and not stream.has_pending
            and not self.refused
        ):
            for kind in self._kinds:
                for name, resource in self.views.current_resources(kind).items():
                    if (
                        stream.subscriptions[kind].wants(name)
                        and self.held[kind].get(name) != resource.version
                    ):
                        return f"views: nothing is owed, but the proxy has no {kind.name.lower()} {name} as in force"
        return None

    def state(self) -> object:
        return [
            fingerprint(self.views, self.now),
            self.unread,
            self.unanswered,
            self.held,
            sorted(map(str, self.refused)),
            self.left,
        ]

    def trace(self) -> list[str]:
        return self.steps


def make_world(kind: str, shape: dict[str, Any]) -> World:
    """A small world by its name and shape, as a counterexample's file holds them."""
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
