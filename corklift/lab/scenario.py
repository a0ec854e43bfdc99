"""Scenarios in TOML: a fleet, its clients and its disruptions.

Each key has a type and a range, and an error names the key at fault. docs/design/lab.md names the
source of each assumption beside its key.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from corklift.interface import ColdRule, Effect, Reach, Workload
from corklift.lab.clock import MS
from corklift.toml_tables import Table, locate_error

PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000)]
NonNegativeInt = Annotated[int, Meta(ge=0, le=1_000_000_000)]
PositiveFloat = Annotated[float, Meta(gt=0, le=1e9)]
UnitInterval = Annotated[float, Meta(ge=0, le=1)]
NonNegativeFloat = Annotated[float, Meta(ge=0, le=1e9)]


class ScenarioError(Exception):
    """A scenario or experiment is invalid; the message names the key."""


class Servers(Table):
    """The servers of the fleet."""

    number: PositiveCount = 8
    # Connections of mean cost that fully load a server of mean capacity.
    size: PositiveFloat = 60.0
    # The strongest server over the weakest; capacities are uniform on a log scale.
    spread: Annotated[float, Meta(ge=1, le=20)] = 2.0
    zones: PositiveCount = 1
    cells: PositiveCount = 1
    # As a multiple of its size: connections beyond it are refused.
    cap: Annotated[float, Meta(gt=0, le=100)] = 1.6
    # A message on an open connection is on time within this multiple of its mean work.
    message_slack: PositiveFloat = 20.0
    # Mean work of a set-up on an idle server.
    setup_ms: PositiveFloat = 20.0
    start_share: Annotated[float, Meta(gt=0, le=1)] = 0.3
    ramp_ms: NonNegativeInt = 8000
    # A cold server can do this multiple of the set-ups a second for which it warms up.
    multiple: PositiveFloat = 3.0
    fallen_ms: NonNegativeInt = 4000


class Balancers(Table):
    """The balancers of the fleet."""

    number: PositiveCount = 2
    max_hand_offs: Annotated[int, Meta(ge=1, le=20)] = 4
    connect_ms: PositiveFloat = 200.0


class Lists(Table):
    """The distribution of the server list."""

    # Mean delay; each balancer has its own at each change.
    lag_ms: NonNegativeFloat = 200.0
    silent: bool = False


class Reports(Table):
    """The load reports that probes return."""

    # Age of the reported values.
    lag_ms: NonNegativeFloat = 300.0
    noise: UnitInterval = 0.03


class Net(Table):
    """The network between zones."""

    delay_ms: PositiveFloat = 0.5
    between_zones_ms: PositiveFloat = 2.0
    loss: UnitInterval = 0.0


class Store(Table):
    """The session store that all servers share."""

    # Set-ups a second that it can do; 0: unlimited.
    rate: NonNegativeFloat = 0.0


class WorkloadTable(Table):
    """One workload and its clients."""

    name: str
    # Logins a second of all clients together.
    rate: PositiveFloat = 10.0
    # Mean duration of a connection, exponentially distributed.
    hold_s: PositiveFloat = 20.0
    # Spread of the connections' costs, which are log-normal with mean 1.
    cost_spread: Annotated[float, Meta(ge=1, le=100)] = 1.5
    # Share of its cost by which a connection's load changes about every second.
    wander: UnitInterval = 0.1
    importance: PositiveFloat = 1.0
    soft_limit_ms: PositiveFloat = 800.0
    time_limit_ms: PositiveFloat = 3200.0
    effect: Literal["repeatable", "tagged", "once-only"] = "repeatable"
    reach: Literal["all", "zone", "cell"] = "all"
    dedup_ms: NonNegativeFloat = 10000.0
    groups: NonNegativeInt = 0
    # When a refused client retries: after the time it was given, its own backoff, or immediately.
    retry: Literal["told", "back-off", "at once"] = "told"
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
    """One disruption of the fleet during a run."""

    kind: Literal[DISRUPTION_KINDS]  # type: ignore[valid-type]
    at_s: NonNegativeFloat
    for_s: PositiveFloat = 5.0
    # Fraction of the servers, clients or balancers that it affects; for `loss`, of the messages.
    part: UnitInterval = 0.2
    # For `slow`, how much slower servers get; for `surge`, how much the login rate grows.
    factor: PositiveFloat = 4.0


class Scenario(Table):
    """A fleet, its workloads and disruptions, over a stretch of virtual time."""

    name: str = "unnamed"
    seconds: Annotated[float, Meta(gt=0, le=86_400)] = 30.0
    # Warm-up at the start, which does not count in the results.
    warm_s: NonNegativeFloat = 5.0
    # Fraction of the steady state's connections that are opened at the start.
    standing: UnitInterval = 0.0
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
        """Returns the workloads in the form that the decision module takes."""
        return [
            Workload(
                workload.name,
                workload.importance,
                int(workload.soft_limit_ms * MS),
                int(workload.time_limit_ms * MS),
                Effect(workload.effect),
                Reach(workload.reach),
                int(workload.dedup_ms * MS),
            )
            for workload in self.workloads
        ]

    def cold_rule(self) -> ColdRule:
        return ColdRule(
            self.servers.start_share, self.servers.ramp_ms * MS, self.servers.multiple, 1000 * MS
        )


class Experiment(Table):
    """A scenario that is run with each policy, each seed and each combination of varied keys."""

    scenario: Scenario
    seeds: Annotated[list[int], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [1, 2, 3]
    )
    policies: Annotated[list[str], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["module", "random", "least connections", "true state"]
    )
    # The values of each varied key, by its path.
    vary: dict[str, Annotated[list[float | int | str], Meta(min_length=1)]] = {}


def parse_experiment(content: bytes) -> Experiment:
    """Parses and checks an experiment in TOML.

    Raises:
        ScenarioError: a key is unknown, of a wrong type or out of range.
    """
    try:
        experiment = msgspec.toml.decode(content, type=Experiment)
    except msgspec.ValidationError as error:
        raise ScenarioError(_format_error(error)) from None
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise ScenarioError(f"not TOML: {error}") from None
    for index, workload in enumerate(experiment.scenario.workloads):
        if workload.soft_limit_ms > workload.time_limit_ms:
            raise ScenarioError(f"scenario.workloads[{index}].soft_limit_ms is over time_limit_ms")
    for index, disruption in enumerate(experiment.scenario.troubles):
        if disruption.at_s >= experiment.scenario.seconds:
            raise ScenarioError(f"scenario.troubles[{index}].at_s is after the end")
    from corklift.lab.policies import POLICIES

    for name in experiment.policies:
        if name not in POLICIES:
            raise ScenarioError(f"policies names {name!r}; there are {', '.join(POLICIES)}")
    for path, values in experiment.vary.items():
        for value in values:
            with_value(experiment.scenario, path, value)
    return experiment


def _format_error(error: msgspec.ValidationError) -> str:
    key, text = locate_error(error)
    return f"{key}: {text}"


def with_value(scenario: Scenario, path: str, value: float | int | str) -> Scenario:
    """Returns the scenario with one key changed, such as `servers.number` or `workloads.0.rate`.

    Raises:
        ScenarioError: the key is unknown, or the value is out of range.
    """
    tables = msgspec.to_builtins(scenario)
    table = tables
    *parents, key = path.split(".")
    try:
        for step in parents:
            table = table[int(step)] if isinstance(table, list) else table[step]
        if key not in table:
            raise KeyError(key)
        table[key] = value
    except (KeyError, IndexError, ValueError, TypeError):
        raise ScenarioError(f"vary.{path}: there is no such key") from None
    try:
        return msgspec.convert(tables, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"vary.{path}: {_format_error(error)}") from None
