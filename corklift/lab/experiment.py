"""Experiments: independent runs over policies, seeds and varied keys, in parallel processes.

Each run writes one JSON line of results. Runs whose line is in the file already are skipped, so an
interrupted experiment continues. Policies are compared by paired differences.
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

# Two-sided 95 % quantiles of Student's t by degrees of freedom; beyond the table, the normal's.
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
    """Identifies one run of an experiment."""

    policy: str
    seed: int
    varied: tuple[tuple[str, float | int | str], ...]

    @property
    def key(self) -> str:
        """The run's key in the file of results."""
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
    """Executes a run and returns its result as values that JSON can hold."""
    fleet = Fleet(scenario_for(scenario, run), run.policy, run.seed)
    fleet.run()
    latencies = sorted(fleet.latencies)
    percentile = lambda fraction: (
        round(latencies[min(len(latencies) - 1, int(fraction * len(latencies)))], 4)
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
        "rules": {str(rule): count for rule, count in sorted(fleet.rules.violation_counts.items())},
        "first_breaks": {
            str(rule): [violation.at / 1e9, violation.what, list(violation.trace)]
            for rule, violation in fleet.rules.first_violations.items()
        },
        "design": fleet.design_violations(),
        "tally": dict(sorted(fleet.tally.items())),
        "history": fleet.clock.history,
        "events": fleet.clock.event_count,
        "standing": fleet.open_connections,
        "waited_s": {"p50": percentile(0.5), "p99": percentile(0.99), "max": percentile(1.0)},
        "series": fleet.samples if series else [],
    }


def _execute_encoded_run(content: bytes, key: str) -> dict[str, Any]:
    scenario = msgspec.json.decode(content, type=Scenario)
    policy, seed, changes = json.loads(key)
    return execute_run(scenario, Run(policy, seed, tuple(changes.items())))


def git_commit() -> str:
    """Returns the commit of this checkout, or an empty string outside of one."""
    result = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        cwd=os.path.dirname(__file__),
        check=False,
    )
    return result.stdout.strip()


def run_experiment(experiment: Experiment, path: str, processes: int) -> Iterator[dict[str, Any]]:
    """Executes the runs whose results are not in the file yet, and adds them to it.

    Yields all results, those from the file first.

    Raises:
        ValueError: the file holds the results of another experiment.
    """
    header = {"experiment": msgspec.to_builtins(experiment), "commit": git_commit()}
    finished: dict[str, dict[str, Any]] = {}
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            lines = [line for line in file if line.endswith("\n")]
        records = [json.loads(line) for line in lines]
        if records and records[0].get("experiment") != header["experiment"]:
            raise ValueError(f"{path} holds another experiment's results")
        finished = {line["key"]: line for line in records[1:]}
        if records:
            header = records[0]
    planned = list(planned_runs(experiment))
    with open(path, "w", encoding="utf-8") as file:
        # Only complete lines are kept: a run whose line was cut by an interruption is repeated.
        file.write(json.dumps(header) + "\n")
        for run in planned:
            if run.key in finished:
                file.write(json.dumps(finished[run.key]) + "\n")
                yield finished[run.key]
        file.flush()
        content = msgspec.json.encode(experiment.scenario)
        remaining = [run.key for run in planned if run.key not in finished]
        with ProcessPoolExecutor(processes) as pool:
            for result in pool.map(_execute_encoded_run, [content] * len(remaining), remaining):
                file.write(json.dumps(result) + "\n")
                file.flush()
                yield result


def read_results(path: str) -> tuple[Experiment, list[dict[str, Any]]]:
    with open(path, encoding="utf-8") as file:
        header, *lines = [json.loads(line) for line in file if line.endswith("\n")]
    return msgspec.convert(header["experiment"], Experiment), lines


def load_experiment(path: str) -> Experiment:
    with open(path, "rb") as file:
        return parse_experiment(file.read())


class Difference(NamedTuple):
    """The mean difference of two policies over the same seeds and varied keys."""

    policy: str
    against: str
    mean: float
    # Bounds of the 95 % confidence interval of the mean.
    low: float
    high: float
    pairs: int


def confidence_interval(values: list[float]) -> tuple[float, float, float]:
    """Returns the mean and the bounds of its 95 % confidence interval."""
    count = len(values)
    mean = sum(values) / count
    if count < 2:
        return mean, mean, mean
    deviation = sqrt(sum((value - mean) ** 2 for value in values) / (count - 1))
    margin = (T95[count - 1] if count <= len(T95) else 1.96) * deviation / sqrt(count)
    return mean, mean - margin, mean + margin


def paired_differences(
    results: Iterable[dict[str, Any]], against: str, figure: str = "service"
) -> list[Difference]:
    """Compares each policy with `against`, in pairs of runs with equal seed and varied keys."""
    values_by_policy: dict[str, dict[str, float]] = {}
    for result in results:
        pair = json.dumps([result["seed"], result["varied"]], sort_keys=True)
        values_by_policy.setdefault(result["policy"], {})[pair] = result[figure]
    reference = values_by_policy.get(against, {})
    comparisons = []
    for policy, values in values_by_policy.items():
        deltas = [value - reference[pair] for pair, value in values.items() if pair in reference]
        if policy != against and deltas:
            comparisons.append(
                Difference(policy, against, *confidence_interval(deltas), len(deltas))
            )
    return comparisons
