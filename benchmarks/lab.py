"""Benchmark of the lab: speed and memory of the emulator, and what its checks find.

    python -m benchmarks.lab [--quick] [--seed N] [--json FILE]

Measures events a second, microseconds an event and memory by the size of the fleet; counts the
rules that the decision module breaks in the scenarios of examples/lab, the deliberate faults that
are found, and the states that the exploration reaches.
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from benchmarks.report import parse_arguments, tell
from corklift.lab import explore
from corklift.lab.experiment import Run, execute_run, load_experiment
from corklift.lab.faults import FAULTS
from corklift.lab.fleet import Fleet
from corklift.lab.scenario import Balancers, Disruption, Scenario, Servers, WorkloadTable

EXAMPLE_FOLDER = Path(__file__).resolve().parents[1] / "examples" / "lab"
CHECKED_POLICIES = ("module", "inverse counts")

FAULT_SCENARIO = Scenario(
    name="All conditions under which the deliberate faults show",
    seconds=40.0,
    standing=1.0,
    servers=Servers(number=10, zones=2, cells=2),
    balancers=Balancers(number=2),
    workloads=[
        WorkloadTable(name="grouped", rate=10.0, hold_s=15.0, groups=6),
        WorkloadTable(name="once", rate=4.0, hold_s=8.0, effect="once-only"),
        WorkloadTable(
            name="tagged", rate=4.0, hold_s=8.0, effect="tagged", reach="cell", dedup_ms=2000.0
        ),
    ],
    troubles=[
        Disruption(kind="drain", at_s=8.0, part=0.3, for_s=4.0),
        Disruption(kind="vanish", at_s=18.0, part=0.2, for_s=3.0),
        Disruption(kind="fast errors", at_s=24.0, part=0.2, for_s=3.0),
        Disruption(kind="slow", at_s=27.0, part=0.3, factor=30.0, for_s=4.0),
        Disruption(kind="surge", at_s=30.0, factor=4.0, for_s=3.0),
    ],
)


def steady_scenario(servers: int, balancers: int, standing: int, seconds: float) -> Scenario:
    """Returns a scenario without disruptions, with a fleet at two thirds of its capacity."""
    hold_s = 120.0
    return Scenario(
        seconds=seconds,
        standing=1.0,
        warm_s=2.0,
        servers=Servers(number=servers, size=1.5 * standing / servers),
        balancers=Balancers(number=balancers),
        workloads=[WorkloadTable(name="calm", rate=standing / hold_s, hold_s=hold_s)],
    )


def measure_size(
    servers: int, balancers: int, standing: int, seconds: float, seed: int, policy: str = "module"
) -> dict[str, Any]:
    """Runs a fleet of one size in a process of its own, so that its memory can be measured."""
    code = (
        "import json, resource, sys, time\n"
        "from benchmarks.lab import steady_scenario\n"
        "from corklift.lab.fleet import Fleet\n"
        "started_at = time.perf_counter()\n"
        f"fleet = Fleet(steady_scenario({servers}, {balancers}, {standing}, {seconds}),"
        f" '{policy}', {seed})\n"
        "fleet.run()\n"
        "elapsed_s = time.perf_counter() - started_at\n"
        "print(json.dumps([fleet.clock.event_count, elapsed_s,"
        " resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,"
        " fleet.open_connections, fleet.clock.history,"
        " sum(fleet.rules.violation_counts.values())]))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    events, elapsed_s, memory_mb, open_connections, history, violations = json.loads(
        completed.stdout
    )
    return {
        "events": events,
        "events_per_s": round(events / elapsed_s),
        "us_an_event": round(elapsed_s / events * 1e6, 1),
        "memory_mb": round(memory_mb),
        "standing": open_connections,
        "history": history,
        "broken": violations,
    }


def main() -> int:
    arguments = parse_arguments(__doc__)
    sizes = (
        [(10, 2, 500, 30.0), (40, 10, 2_000, 8.0), (100, 30, 6_000, 4.0)]
        if arguments.quick
        else [(10, 2, 500, 120.0), (60, 30, 8_000, 20.0), (200, 500, 100_000, 6.0)]
    )
    figures: dict[str, Any] = {}
    by_size = {
        f"{servers}x{balancers}x{standing}": measure_size(
            servers, balancers, standing, seconds, arguments.seed
        )
        for servers, balancers, standing, seconds in sizes
    }
    for key in ("events_per_s", "us_an_event", "memory_mb", "standing"):
        figures[key] = {size: measured[key] for size, measured in by_size.items()}
    # A random choice costs almost nothing, so this is the time of the emulator itself.
    figures["us_an_event_emulator"] = {
        size: measure_size(*shape, arguments.seed, "random")["us_an_event"]
        for size, shape in zip(by_size, sizes)
    }
    figures["same_history"] = (
        measure_size(*sizes[0], arguments.seed)["history"]
        == by_size[next(iter(by_size))]["history"]
    )
    rule_breaks, service = {}, {}
    for path in sorted(EXAMPLE_FOLDER.glob("*.toml")):
        # This one varies its disruptions and is meant for `lab sweep`.
        if path.stem == "sweep":
            continue
        experiment = load_experiment(str(path))
        seeds = experiment.seeds[:1] if arguments.quick else experiment.seeds
        runs = [
            execute_run(experiment.scenario, Run(policy, seed, ()), series=False)
            for policy in dict.fromkeys([*CHECKED_POLICIES, *experiment.policies])
            for seed in seeds
        ]
        rule_breaks[path.stem] = {
            policy: sum(sum(run["rules"].values()) for run in runs if run["policy"] == policy)
            for policy in CHECKED_POLICIES
        }
        service[path.stem] = {
            policy: round(
                sum(run["service"] for run in runs if run["policy"] == policy) / len(seeds), 4
            )
            for policy in dict.fromkeys(run["policy"] for run in runs)
        }
    figures["rule_breaks"], figures["service"] = rule_breaks, service
    shapes = {
        "repeatable": explore.PlacementShape(),
        "once-only": explore.PlacementShape(effect="once-only"),
        "tagged": explore.PlacementShape(effect="tagged"),
        "two balancers": explore.PlacementShape(balancers=2),
        "a cold server of three": explore.PlacementShape(servers=3, cold=True, part=0.6),
    }
    explored_states, explored_depths, examples = {}, {}, []
    for name, shape in shapes.items():
        make = lambda shape=shape: explore.PlacementWorld(shape)  # noqa: E731
        exploration = explore.explore(
            make, 6 if arguments.quick else 9, 1_500 if arguments.quick else 40_000
        )
        random_walk_result = explore.random_walks(
            make, 60 if arguments.quick else 5_000, 60, arguments.seed
        )
        explored_states[name], explored_depths[name] = exploration.states, exploration.depth
        examples += [result.what for result in (exploration, random_walk_result) if result.what]
    for name, shape_ in {
        "views": explore.SubscriptionShape(),
        "views, incremental": explore.SubscriptionShape(True),
    }.items():
        make_ = lambda shape_=shape_: explore.SubscriptionWorld(shape_)  # noqa: E731
        exploration = explore.explore(
            make_, 7 if arguments.quick else 12, 1_500 if arguments.quick else 40_000
        )
        random_walk_result = explore.random_walks(
            lambda shape_=shape_: explore.SubscriptionWorld(
                shape_._replace(changes=8, refusals=2, losses=3)
            ),
            60 if arguments.quick else 5_000,
            60,
            arguments.seed,
        )
        explored_states[name], explored_depths[name] = exploration.states, exploration.depth
        examples += [result.what for result in (exploration, random_walk_result) if result.what]
    figures |= {
        "explored_states": explored_states,
        "explored_depth": explored_depths,
        "counterexamples": len(examples),
    }
    fault_free_fleet = Fleet(FAULT_SCENARIO, "module", arguments.seed)
    fault_free_fleet.run()
    found_faults = []
    for name, (inject_fault, expected_alarm) in FAULTS.items():
        fleet = Fleet(FAULT_SCENARIO, "module", arguments.seed, inject_fault)
        fleet.run()
        alarms = {
            f"rule {rule}" for rule in fleet.rules.violation_counts
        } | fleet.design_violations().keys()
        if expected_alarm in alarms:
            found_faults.append(name)
    figures |= {
        "seeded_bugs": len(FAULTS),
        "seeded_bugs_found": len(found_faults),
        "seeded_bugs_missed": sorted(FAULTS.keys() - set(found_faults)),
        "alarms_without_a_fault": {
            str(rule): count for rule, count in fault_free_fleet.rules.violation_counts.items()
        }
        | fault_free_fleet.design_violations(),
    }
    return tell(
        "The lab",
        figures,
        [
            (
                "the decision module breaks a rule",
                not any(counts["module"] for counts in rule_breaks.values()),
            ),
            (
                "the emulator needs more time for an event in a large fleet",
                list(figures["us_an_event_emulator"].values())[-1]
                < 2.5 * next(iter(figures["us_an_event_emulator"].values())),
            ),
            ("two runs with the same seed have different histories", figures["same_history"]),
            ("the exploration found a counterexample", not examples),
            ("a deliberate fault was not found", len(found_faults) == len(FAULTS)),
            ("a check reports a violation without a fault", not figures["alarms_without_a_fault"]),
        ],
        arguments.json,
    )


if __name__ == "__main__":
    sys.exit(main())
