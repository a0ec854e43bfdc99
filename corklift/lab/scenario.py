"""A scenario: the fleet, its clients and its troubles, in TOML; every key typed, ranged and named when wrong.

Owns the form. Each assumption's source is told beside its key in docs/design/lab.md.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from corklift.interface import ColdRule, Effect, Reach, Workload
from corklift.lab.clock import MS
from corklift.toml_tables import Table, locate_error

Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Whole = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Part = Annotated[float, Meta(ge=0, le=1)]
Least = Annotated[float, Meta(ge=0, le=1e9)]


class ScenarioError(Exception):
    """Names the key that is wrong."""


class Servers(Table):
    number: Count = 8
    size: Positive = 60.0  # mean-cost connections that fill one of mean power
    spread: Annotated[float, Meta(ge=1, le=20)] = (
        2.0  # the strongest over the weakest, even on a log scale
    )
    zones: Count = 1
    cells: Count = 1
    cap: Annotated[float, Meta(gt=0, le=100)] = (
        1.6  # of its size: connections beyond it are turned down
    )
    message_slack: Positive = (
        20.0  # times a message's mean work that it may take on an open connection
    )
    setup_ms: Positive = 20.0  # mean work of a set-up on an idle server
    start_share: Annotated[float, Meta(gt=0, le=1)] = 0.3
    ramp_ms: Whole = 8000
    multiple: Positive = 3.0  # times what a cold server can take in a second, and it falls
    fallen_ms: Whole = 4000


class Balancers(Table):
    number: Count = 2
    max_hand_offs: Annotated[int, Meta(ge=1, le=20)] = 4
    connect_ms: Positive = 200.0


class Lists(Table):
    lag_ms: Least = 200.0  # mean, each balancer its own at each change
    silent: bool = False


class Reports(Table):
    lag_ms: Least = 300.0  # how old what a probe tells is
    noise: Part = 0.03


class Net(Table):
    delay_ms: Positive = 0.5
    between_zones_ms: Positive = 2.0
    loss: Part = 0.0


class Store(Table):
    rate: Least = 0.0  # set-ups a second of the shared session store; 0: no bound


class WorkloadTable(Table):
    name: str
    rate: Positive = 10.0  # logins a second, all clients together
    hold_s: Positive = 20.0  # mean length of a connection; exponential
    cost_spread: Annotated[float, Meta(ge=1, le=100)] = 1.5  # of connections; log-normal, mean 1
    wander: Part = 0.1  # of its cost by which a connection's load moves each second or so
    importance: Positive = 1.0
    soft_limit_ms: Positive = 800.0
    time_limit_ms: Positive = 3200.0
    effect: Literal["repeatable", "tagged", "once-only"] = "repeatable"
    reach: Literal["all", "zone", "cell"] = "all"
    dedup_ms: Least = 10000.0
    groups: Whole = 0
    retry: Literal["told", "back-off", "at once"] = "told"  # what a refused client does
    tries: Annotated[int, Meta(ge=1, le=100)] = 5


DISRUPTION_KINDS = (
    "drain",
    "release",
    "vanish",
    "slow",
    "fast errors",
    "zone loss",
    "balancer restart",
    "balancer killed",
    "client drop",
    "list silent",
    "partition",
    "loss",
    "silent server",
    "surge",
)


class Disruption(Table):
    kind: Literal[DISRUPTION_KINDS]  # type: ignore[valid-type]
    at_s: Least
    for_s: Positive = 5.0
    part: Part = 0.2  # of what it hits: servers, clients, balancers
    factor: Positive = 4.0  # of slow: how much slower; of a surge: how many more logins


class Scenario(Table):
    name: str = "unnamed"
    seconds: Annotated[float, Meta(gt=0, le=86_400)] = 30.0
    warm_s: Least = 5.0  # of it not judged
    standing: Part = 0.0  # of the standing connections that are there from the start
    servers: Servers = Servers()
    balancers: Balancers = Balancers()
    lists: Lists = Lists()
    reports: Reports = Reports()
    net: Net = Net()
    store: Store = Store()
    workloads: Annotated[list[WorkloadTable], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [WorkloadTable(name="plain")]
    )
    troubles: list[Disruption] = []

    def decisions(self) -> list[Workload]:
        """The workloads as the decision module takes them."""
        return [
            Workload(
                w.name,
                w.importance,
                int(w.soft_limit_ms * MS),
                int(w.time_limit_ms * MS),
                Effect(w.effect),
                Reach(w.reach),
                int(w.dedup_ms * MS),
            )
            for w in self.workloads
        ]

    def cold_rule(self) -> ColdRule:
        return ColdRule(
            self.servers.start_share, self.servers.ramp_ms * MS, self.servers.multiple, 1000 * MS
        )


class Experiment(Table):
    """A scenario, what is varied, the policies held against each other, and over which seeds."""

    scenario: Scenario
    seeds: Annotated[list[int], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [1, 2, 3]
    )
    policies: Annotated[list[str], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["module", "random", "least connections", "true state"]
    )
    vary: dict[
        str, Annotated[list[float | int | str], Meta(min_length=1)]
    ] = {}  # a key's path: its values


def parse_experiment(content: bytes) -> Experiment:
    """Raises:
    ScenarioError: names the key that is wrong.
    """
    try:
        found = msgspec.toml.decode(content, type=Experiment)
    except msgspec.ValidationError as problem:
        raise ScenarioError(_told(problem)) from None
    except (msgspec.DecodeError, ValueError, RecursionError) as problem:
        raise ScenarioError(f"not TOML: {problem}") from None
    for at, workload in enumerate(found.scenario.workloads):
        if workload.soft_limit_ms > workload.time_limit_ms:
            raise ScenarioError(f"scenario.workloads[{at}].soft_limit_ms is over time_limit_ms")
    for at, trouble in enumerate(found.scenario.troubles):
        if trouble.at_s >= found.scenario.seconds:
            raise ScenarioError(f"scenario.troubles[{at}].at_s is after the end")
    from corklift.lab.policies import POLICIES

    for name in found.policies:
        if name not in POLICIES:
            raise ScenarioError(f"policies names {name!r}; there are {', '.join(POLICIES)}")
    for path, values in found.vary.items():
        for value in values:
            with_value(found.scenario, path, value)
    return found


def _told(problem: msgspec.ValidationError) -> str:
    key, text = locate_error(problem)
    return f"{key}: {text}"


def with_value(scenario: Scenario, path: str, value: float | int | str) -> Scenario:
    """The scenario with one key set to another value: `servers.number`, `workloads.0.rate`.

    Raises:
        ScenarioError: there is no such key, or the value is out of its range.
    """
    plain = msgspec.to_builtins(scenario)
    table = plain
    *way, last = path.split(".")
    try:
        for part in way:
            table = table[int(part)] if isinstance(table, list) else table[part]
        if last not in table:
            raise KeyError(last)
        table[last] = value
    except (KeyError, IndexError, ValueError, TypeError):
        raise ScenarioError(f"vary.{path}: there is no such key") from None
    try:
        return msgspec.convert(plain, Scenario)
    except msgspec.ValidationError as problem:
        raise ScenarioError(f"vary.{path}: {_told(problem)}") from None
