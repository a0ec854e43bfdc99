"""Benchmark of the rig: scenarios, deliberate faults that its checker must find, and cost of peers.

    python -m benchmarks.rig [--quick] [--seed N] [--json FILE]

Figures:

`rule_breaks`: broken rules over all scenarios of examples/rig.
`fallen_today`: servers overloaded in one of them if the balancers do not know each other.
`login_p99_ratio_stalled_peers`: 99th percentile of login times with half of all links between peers
stalled over that without, measured alternately in one run.
`peer_memory_kb`, `peer_descriptors`: what a balancer with peers uses beyond one without.
"""

from __future__ import annotations

import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from benchmarks.report import parse_arguments, tell
from corklift.rig.fleet import Rig, Shape
from corklift.rig.links import NO_FAULT, Fault
from corklift.rig.scenario import Disruption, FaultTable, Scenario, ShapeTable

SCENARIO_FOLDER = "examples/rig"
QUICK_SCENARIOS = ("more_than_told", "one_way_stall", "dead_address", "drain_and_trouble")
PARTITION = [Disruption(at_s=1.0, kind="partition", who=["b1", "b2"], for_s=6.0)]
KILL = [Disruption(at_s=1.0, kind="kill", who=["b2"])]
STOP = [Disruption(at_s=1.0, kind="stop", who=["b2"], for_s=0.5)]
COLD_SERVER = [Disruption(at_s=1.0, kind="cold server", who=["s1"], for_s=1.0)]
FAILING_SERVERS = [
    Disruption(at_s=1.0, kind="server fails", who=["s1"], for_s=6.0),
    Disruption(at_s=1.0, kind="server fails", who=["s2"], for_s=6.0),
    Disruption(at_s=1.0, kind="server fails", who=["s3"], for_s=6.0),
]
MUTANTS: dict[str, tuple[list[Disruption], dict[str, Any]]] = {
    "falls_with_silence": (PARTITION, {}),
    "calls_the_living_dead": ([], {}),
    "says_others_left": (PARTITION, {}),
    "never_probes": (KILL, {}),
    "counts_itself_alone": ([], {}),
    "loses_logins": ([], {}),
    "answers_late": ([], {}),
    "sends_twice": ([], {}),
    "ignores_drains": ([Disruption(at_s=1.0, kind="drain", who=["s1"])], {}),
    "no_cold_guard": (COLD_SERVER, {"rate": 90.0, "size": 60.0, "hold_s": 1.0}),
    "speaks_twice": (FAILING_SERVERS, {}),
    "calls_dead_at_once": (
        [Disruption(at_s=1.0, kind="links", who=["b3"], to=["b1"], fault=FaultTable(there=False))],
        {},
    ),
}
QUICK_MUTANTS = ("falls_with_silence", "loses_logins", "sends_twice", "ignores_drains")


def run_rig(*words: str) -> tuple[int, str]:
    """Runs `corklift rig run`; returns its exit code and all that it printed."""
    completed = subprocess.run(
        [sys.executable, "-m", "corklift", "rig", "run", *words],
        capture_output=True,
        text=True,
        timeout=400,
    )
    return completed.returncode, completed.stdout + completed.stderr


def run_scenario(name: str, seed: int, peers: bool = True) -> tuple[str, int, str]:
    return (
        name,
        *run_rig(
            f"{SCENARIO_FOLDER}/{name}.toml",
            "--seed",
            str(seed),
            *([] if peers else ["--no-peers"]),
        ),
    )


def run_mutant(name: str, seed: int, folder: str) -> tuple[str, int, str]:
    """Runs balancers with a deliberate fault: all five where one does not suffice, else b3 only."""
    disruptions, shape = MUTANTS[name]
    mutant_scenario = Scenario(
        name=f"Deliberate fault {name}",
        seconds=9.0,
        agree=name == "never_probes",
        fleet=ShapeTable(**({"rate": 40.0} | shape)),
        troubles=disruptions,
    )
    path = os.path.join(folder, f"{name}.json")
    with open(path, "wb") as file:
        file.write(msgspec.json.encode(mutant_scenario))
    all_balancers = name in ("no_cold_guard", "never_probes", "sends_twice")
    spoil_flags = [
        argument
        for number in (range(1, 6) if all_balancers else (3,))
        for argument in ("--spoil", f"b{number}={name}")
    ]
    return (name, *run_rig(path, "--seed", str(seed), *spoil_flags))


def measure_peer_cost(seed: int, quick: bool) -> dict[str, Any]:
    """Measures login times with and without stalled peers, and memory and descriptors of peers."""
    login_times_us = {False: HdrHistogram(1, 60_000_000, 3), True: HdrHistogram(1, 60_000_000, 3)}
    shape = Shape(6 if quick else 12, 4, 80.0 if quick else 150.0, 2.0, seed=seed)
    resources: dict[bool, tuple[int, int]] = {}

    def measure_with_peers(rig: Rig) -> None:
        names = sorted(rig.balancers)
        peers = [pair for pair in rig.links if pair[0] in names and pair[1] in names]
        rig.sleep(2)
        for round_number in range(2 if quick else 6):
            stalled = round_number % 2 == 1
            if stalled:
                rig.apply_fault(
                    rig.rng.sample(peers, len(peers) // 2), Fault(there=False, back=False)
                )
            first_event = len(rig.events)
            rig.sleep(4 if quick else 8)
            for event in rig.events[first_event:]:
                if event.what == "answer" and event.fields["word"] == "UP":
                    login_times_us[stalled].record_value(max(1, event.fields["took_ns"] // 1000))
            rig.apply_fault(peers, NO_FAULT)
        resources[True] = rig.resources("b1")

    def measure_without_peers(rig: Rig) -> None:
        rig.sleep(4 if quick else 10)
        resources[False] = rig.resources("b1")

    Rig(shape).run(measure_with_peers)
    Rig(shape._replace(peers=False)).run(measure_without_peers)
    p99 = {
        stalled: histogram.get_value_at_percentile(99) / 1000
        for stalled, histogram in login_times_us.items()
    }
    return {
        "login_p99_ratio_stalled_peers": round(p99[True] / p99[False], 3),
        "login_p99_ms": round(p99[False], 2),
        "login_p99_ms_stalled": round(p99[True], 2),
        "login_max_ms_stalled": round(login_times_us[True].get_max_value() / 1000, 2),
        "logins": login_times_us[False].get_total_count(),
        "logins_stalled": login_times_us[True].get_total_count(),
        "peer_memory_kb": resources[True][0] - resources[False][0],
        "peer_descriptors": resources[True][1] - resources[False][1],
    }


def main() -> int:
    import tempfile

    arguments = parse_arguments(__doc__)
    names = (
        list(QUICK_SCENARIOS)
        if arguments.quick
        else sorted(name[:-5] for name in os.listdir(SCENARIO_FOLDER) if name.endswith(".toml"))
    )
    mutants = list(QUICK_MUTANTS) if arguments.quick else list(MUTANTS)
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(4) as pool:
        scenario_jobs = [pool.submit(run_scenario, name, arguments.seed) for name in names]
        mutant_jobs = [pool.submit(run_mutant, name, arguments.seed, folder) for name in mutants]
        without_peers_job = pool.submit(run_scenario, "more_than_told", arguments.seed, False)
        scenario_results, mutant_results = (
            [job.result() for job in scenario_jobs],
            [job.result() for job in mutant_jobs],
        )
        fallen_without_peers = without_peers_job.result()[2].count("rule 4 broken")
    figures = {
        "scenarios": len(names),
        "rule_breaks": sum(code != 0 for _, code, _ in scenario_results),
        "seeded_faults": len(mutants),
        "seeded_faults_found": sum(code == 1 for _, code, _ in mutant_results),
        "fallen_today": fallen_without_peers,
        "fallen": sum("rule 4 broken" in text for _, _, text in scenario_results),
    } | measure_peer_cost(arguments.seed, arguments.quick)
    return tell(
        "Rig",
        figures,
        [
            *((f"{name}: {text[:600]}", code == 0) for name, code, text in scenario_results),
            *(
                (f"the deliberate fault {name} was not found: {text[-300:]}", code == 1)
                for name, code, text in mutant_results
            ),
            ("stalled peers slow down logins", figures["login_p99_ratio_stalled_peers"] < 1.15),
        ],
        arguments.json,
    )


if __name__ == "__main__":
    sys.exit(main())
