"""Experiments: runs over policies, seeds and varied keys, spread over cores; results as JSON lines; paired differences.

A run is one line. Lines that a file holds already are not run again, so an experiment that was interrupted goes on. Owns
the order of runs and the arithmetic of comparison. Must never let one run know of another.
"""

from __future__ import annotations

import json
import os
import subprocess
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from math import sqrt
from typing import Any, NamedTuple

import msgspec

from corklift.lab.fleet import Fleet
from corklift.lab.scenario import Experiment, Scenario, parse_experiment, with_value

# Student's t for 95 % of a mean of so many differences; beyond them the normal's.
T95 = (
    0.0,
    12.71,
    4.30,
    3.18,
    2.78,
    2.57,
    2.45,
    2.36,
    2.31,
    2.26,
    2.23,
    2.20,
    2.18,
    2.16,
    2.14,
    2.13,
)


class Run(NamedTuple):
    """One run's name among the experiment's."""

    policy: str
    seed: int
    varied: tuple[tuple[str, float | int | str], ...]

    @property
    def key(self) -> str:
        return json.dumps([self.policy, self.seed, dict(self.varied)], sort_keys=True)


def planned_runs(experiment: Experiment) -> Iterator[Run]:
    paths = list(experiment.vary)
    for values in product(*(experiment.vary[path] for path in paths)):
        for policy, seed in product(experiment.policies, experiment.seeds):
            yield Run(policy, seed, tuple(zip(paths, values)))


def scenario_for(scenario: Scenario, run: Run) -> Scenario:
    for path, value in run.varied:
        scenario = with_value(scenario, path, value)
    return scenario


def execute_run(scenario: Scenario, run: Run, series: bool = True) -> dict[str, Any]:
    """One run's result, plain values only."""
    fleet = Fleet(scenario_for(scenario, run), run.policy, run.seed)
    fleet.run()
    latencies = sorted(fleet.latencies)
    at = lambda part: (
        round(latencies[min(len(latencies) - 1, int(part * len(latencies)))], 4)
        if latencies
        else 0.0
    )  # noqa: E731
    return {
        "key": run.key,
        "policy": run.policy,
        "seed": run.seed,
        "varied": dict(run.varied),
        "service": round(fleet.service, 6),
        "answers": round(
            fleet.answer_quality / fleet.answer_weight if fleet.answer_weight else 1.0, 6
        ),
        "on_time": round(
            fleet.on_time / fleet.sampled_connections if fleet.sampled_connections else 1.0,
            6,
        ),
        "rules": {
            str(rule): number for rule, number in sorted(fleet.rules.violation_counts.items())
        },
        "first_breaks": {
            str(rule): [found.at / 1e9, found.what, list(found.trace)]
            for rule, found in fleet.rules.first_violations.items()
        },
        "design": fleet.design_violations(),
        "tally": dict(sorted(fleet.tally.items())),
        "history": fleet.clock.history,
        "events": fleet.clock.event_count,
        "standing": fleet.open_connections,
        "waited_s": {"p50": at(0.5), "p99": at(0.99), "max": at(1.0)},
        "series": fleet.samples if series else [],
    }


def _play(content: bytes, key: str) -> dict[str, Any]:
    scenario = msgspec.json.decode(content, type=Scenario)
    policy, seed, changes = json.loads(key)
    return execute_run(scenario, Run(policy, seed, tuple(changes.items())))


def git_commit() -> str:
    """Of the checkout that runs, or nothing."""
    told = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        cwd=os.path.dirname(__file__),
        check=False,
    )
    return told.stdout.strip()


def run_experiment(experiment: Experiment, path: str, processes: int) -> Iterator[dict[str, Any]]:
    """Plays what the file does not hold yet, adding a line each; yields every result, old ones first."""
    head = {"experiment": msgspec.to_builtins(experiment), "commit": git_commit()}
    held: dict[str, dict[str, Any]] = {}
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            lines = [line for line in file if line.endswith("\n")]
        found = [json.loads(line) for line in lines]
        if found and found[0].get("experiment") != head["experiment"]:
            raise ValueError(f"{path} holds another experiment's results")
        held = {line["key"]: line for line in found[1:]}
        if found:
            head = found[0]
    wanted = list(planned_runs(experiment))
    with open(path, "w", encoding="utf-8") as file:
        # Written anew from what is whole: a line cut by an interruption is played again.
        file.write(json.dumps(head) + "\n")
        for run in wanted:
            if run.key in held:
                file.write(json.dumps(held[run.key]) + "\n")
                yield held[run.key]
        file.flush()
        content = msgspec.json.encode(experiment.scenario)
        left = [run.key for run in wanted if run.key not in held]
        with ProcessPoolExecutor(processes) as pool:
            for result in pool.map(_play, [content] * len(left), left):
                file.write(json.dumps(result) + "\n")
                file.flush()
                yield result


def read_results(path: str) -> tuple[Experiment, list[dict[str, Any]]]:
    with open(path, encoding="utf-8") as file:
        head, *lines = [json.loads(line) for line in file if line.endswith("\n")]
    return msgspec.convert(head["experiment"], Experiment), lines


def load_experiment(path: str) -> Experiment:
    with open(path, "rb") as file:
        return parse_experiment(file.read())


class Difference(NamedTuple):
    """Of two policies over the same seeds and keys."""

    policy: str
    against: str
    mean: float
    low: float  # of the 95 % interval of the mean
    high: float
    pairs: int


def confidence_interval(values: list[float]) -> tuple[float, float, float]:
    """Mean, and the bounds of its 95 % interval."""
    number = len(values)
    mean = sum(values) / number
    if number < 2:
        return mean, mean, mean
    spread = sqrt(sum((value - mean) ** 2 for value in values) / (number - 1))
    reach = (T95[number - 1] if number <= len(T95) else 1.96) * spread / sqrt(number)
    return mean, mean - reach, mean + reach


def paired_differences(
    results: Iterable[dict[str, Any]], against: str, figure: str = "service"
) -> list[Difference]:
    """Every policy against one, pair by pair: the same seed and the same varied keys."""
    table: dict[str, dict[str, float]] = {}
    for result in results:
        pair = json.dumps([result["seed"], result["varied"]], sort_keys=True)
        table.setdefault(result["policy"], {})[pair] = result[figure]
    base = table.get(against, {})
    found = []
    for policy, values in table.items():
        apart = [value - base[pair] for pair, value in values.items() if pair in base]
        if policy != against and apart:
            found.append(Difference(policy, against, *confidence_interval(apart), len(apart)))
    return found
