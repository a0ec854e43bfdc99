"""The lab, measured: events a second, memory, histories, rules, faults found, exploration.

python -m benchmarks.lab [--quick] [--seed N] [--json FILE]
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

EXAMPLES = Path(__file__).resolve().parents[1] / "examples" / "lab"
COUNTED = ("module", "inverse counts")

FAULTY = Scenario(
    name="All that the deliberate faults need",
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


def fleet_of(servers: int, balancers: int, standing: int, seconds: float) -> Scenario:
    """A calm fleet, at two thirds of what it can do."""
    hold = 120.0
    return Scenario(
        seconds=seconds,
        standing=1.0,
        warm_s=2.0,
        servers=Servers(number=servers, size=1.5 * standing / servers),
        balancers=Balancers(number=balancers),
        workloads=[WorkloadTable(name="calm", rate=standing / hold, hold_s=hold)],
    )


def sized(
    servers: int, balancers: int, standing: int, seconds: float, seed: int, policy: str = "module"
) -> dict[str, Any]:
    """Plays one size in a process of its own, so that its memory is its own."""
    code = (
        "import json, resource, sys, time\nfrom benchmarks.lab import fleet_of\nfrom corklift.lab.fleet import Fleet\n"
        "at = time.perf_counter()\n"
        f"fleet = Fleet(fleet_of({servers}, {balancers}, {standing}, {seconds}), '{policy}', {seed})\nfleet.run()\n"
        "spent = time.perf_counter() - at\n"
        "print(json.dumps([fleet.clock.event_count, spent, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,"
        " fleet.open_connections, fleet.clock.history, sum(fleet.rules.violation_counts.values())]))"
    )
    told = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    events, spent, memory, stands, history, broken = json.loads(told.stdout)
    return {
        "events": events,
        "events_per_s": round(events / spent),
        "us_an_event": round(spent / events * 1e6, 1),
        "memory_mb": round(memory),
        "standing": stands,
        "history": history,
        "broken": broken,
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
        f"{servers}x{balancers}x{standing}": sized(
            servers, balancers, standing, seconds, arguments.seed
        )
        for servers, balancers, standing, seconds in sizes
    }
    for key in ("events_per_s", "us_an_event", "memory_mb", "standing"):
        figures[key] = {size: found[key] for size, found in by_size.items()}
    # With a policy that costs nothing, what is left is the emulator's own.
    figures["us_an_event_emulator"] = {
        size: sized(*shape, arguments.seed, "random")["us_an_event"]
        for size, shape in zip(by_size, sizes)
    }
    figures["same_history"] = (
        sized(*sizes[0], arguments.seed)["history"] == by_size[next(iter(by_size))]["history"]
    )
    rules, service = {}, {}
    for path in sorted(EXAMPLES.glob("*.toml")):
        if path.stem == "sweep":
            continue  # its troubles are varied: it is for `lab sweep`
        found = load_experiment(str(path))
        seeds = found.seeds[:1] if arguments.quick else found.seeds
        runs = [
            execute_run(found.scenario, Run(policy, seed, ()), series=False)
            for policy in dict.fromkeys([*COUNTED, *found.policies])
            for seed in seeds
        ]
        rules[path.stem] = {
            policy: sum(sum(run["rules"].values()) for run in runs if run["policy"] == policy)
            for policy in COUNTED
        }
        service[path.stem] = {
            policy: round(
                sum(run["service"] for run in runs if run["policy"] == policy) / len(seeds), 4
            )
            for policy in dict.fromkeys(run["policy"] for run in runs)
        }
    figures["rule_breaks"], figures["service"] = rules, service
    shapes = {
        "repeatable": explore.PlacementShape(),
        "once-only": explore.PlacementShape(effect="once-only"),
        "tagged": explore.PlacementShape(effect="tagged"),
        "two balancers": explore.PlacementShape(balancers=2),
        "a cold server of three": explore.PlacementShape(servers=3, cold=True, part=0.6),
    }
    states, depths, examples = {}, {}, []
    for name, shape in shapes.items():
        make = lambda shape=shape: explore.PlacementWorld(shape)  # noqa: E731
        found_ = explore.explore(
            make, 6 if arguments.quick else 9, 1_500 if arguments.quick else 40_000
        )
        walked = explore.random_walks(make, 60 if arguments.quick else 5_000, 60, arguments.seed)
        states[name], depths[name] = found_.states, found_.depth
        examples += [one.what for one in (found_, walked) if one.what]
    for name, shape_ in {
        "views": explore.SubscriptionShape(),
        "views, incremental": explore.SubscriptionShape(True),
    }.items():
        make_ = lambda shape_=shape_: explore.SubscriptionWorld(shape_)  # noqa: E731
        found_ = explore.explore(
            make_, 7 if arguments.quick else 12, 1_500 if arguments.quick else 40_000
        )
        walked = explore.random_walks(
            lambda shape_=shape_: explore.SubscriptionWorld(
                shape_._replace(changes=8, refusals=2, losses=3)
            ),
            60 if arguments.quick else 5_000,
            60,
            arguments.seed,
        )
        states[name], depths[name] = found_.states, found_.depth
        examples += [one.what for one in (found_, walked) if one.what]
    figures |= {
        "explored_states": states,
        "explored_depth": depths,
        "counterexamples": len(examples),
    }
    clean = Fleet(FAULTY, "module", arguments.seed)
    clean.run()
    found_faults = []
    for name, (spoil, check) in FAULTS.items():
        fleet = Fleet(FAULTY, "module", arguments.seed, spoil)
        fleet.run()
        told = {
            f"rule {rule}" for rule in fleet.rules.violation_counts
        } | fleet.design_violations().keys()
        if check in told:
            found_faults.append(name)
    figures |= {
        "seeded_bugs": len(FAULTS),
        "seeded_bugs_found": len(found_faults),
        "seeded_bugs_missed": sorted(FAULTS.keys() - set(found_faults)),
        "alarms_without_a_fault": {
            str(rule): number for rule, number in clean.rules.violation_counts.items()
        }
        | clean.design_violations(),
    }
    return tell(
        "The lab",
        figures,
        [
            ("the module breaks a rule", not any(found["module"] for found in rules.values())),
            (
                "an event of the emulator costs more in a large fleet",
                list(figures["us_an_event_emulator"].values())[-1]
                < 2.5 * next(iter(figures["us_an_event_emulator"].values())),
            ),
            ("a history differs", figures["same_history"]),
            ("a counterexample", not examples),
            ("a deliberate fault is not found", len(found_faults) == len(FAULTS)),
            ("an alarm without a fault", not figures["alarms_without_a_fault"]),
        ],
        arguments.json,
    )


if __name__ == "__main__":
    sys.exit(main())
