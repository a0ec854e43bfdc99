"""Scenarios of the rig, deliberate faults that its checker must find, and what peers cost a balancer's clients.

    python -m benchmarks.rig [--quick] [--seed N] [--json FILE]

`rule_breaks` is over all scenarios of examples/rig; `fallen_today` is one of them with the same balancers that do not know each other.
`login_p99_ratio_stalled_peers`: logins' 99th percentile with half of all peer links stalled over that without, in turns in one run.
`peer_memory_kb`, `peer_descriptors`: of a balancer with peers, less those of one without.
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

FOLDER = "examples/rig"
QUICK = ("more_than_told", "one_way_stall", "dead_address", "drain_and_trouble")
CUT = [Disruption(at_s=1.0, kind="partition", who=["b1", "b2"], for_s=6.0)]
KILL = [Disruption(at_s=1.0, kind="kill", who=["b2"])]
STOP = [Disruption(at_s=1.0, kind="stop", who=["b2"], for_s=0.5)]
COLD = [Disruption(at_s=1.0, kind="cold server", who=["s1"], for_s=1.0)]
FAILS = [
    Disruption(at_s=1.0, kind="server fails", who=["s1"], for_s=6.0),
    Disruption(at_s=1.0, kind="server fails", who=["s2"], for_s=6.0),
    Disruption(at_s=1.0, kind="server fails", who=["s3"], for_s=6.0),
]
FAULTS: dict[str, tuple[list[Disruption], dict[str, Any]]] = {
    "falls_with_silence": (CUT, {}),
    "calls_the_living_dead": ([], {}),
    "says_others_left": (CUT, {}),
    "never_probes": (KILL, {}),
    "counts_itself_alone": ([], {}),
    "loses_logins": ([], {}),
    "answers_late": ([], {}),
    "sends_twice": ([], {}),
    "ignores_drains": ([Disruption(at_s=1.0, kind="drain", who=["s1"])], {}),
    "no_cold_guard": (COLD, {"rate": 90.0, "size": 60.0, "hold_s": 1.0}),
    "speaks_twice": (FAILS, {}),
    "calls_dead_at_once": (
        [Disruption(at_s=1.0, kind="links", who=["b3"], to=["b1"], fault=FaultTable(there=False))],
        {},
    ),
}
QUICK_FAULTS = ("falls_with_silence", "loses_logins", "sends_twice", "ignores_drains")


def command(*words: str) -> tuple[int, str]:
    done = subprocess.run(
        [sys.executable, "-m", "corklift", "rig", "run", *words],
        capture_output=True,
        text=True,
        timeout=400,
    )
    return done.returncode, done.stdout + done.stderr


def scenario(name: str, seed: int, peers: bool = True) -> tuple[str, int, str]:
    return (
        name,
        *command(f"{FOLDER}/{name}.toml", "--seed", str(seed), *([] if peers else ["--no-peers"])),
    )


def spoilt(name: str, seed: int, folder: str) -> tuple[str, int, str]:
    """Every balancer has the fault where it takes several to show, else one of five."""
    troubles, shape = FAULTS[name]
    scenario_of_fault = Scenario(
        name=f"A deliberate fault: {name}",
        seconds=9.0,
        agree=name == "never_probes",
        fleet=ShapeTable(**({"rate": 40.0} | shape)),
        troubles=troubles,
    )
    path = os.path.join(folder, f"{name}.json")
    with open(path, "wb") as file:
        file.write(msgspec.json.encode(scenario_of_fault))
    everywhere = name in ("no_cold_guard", "never_probes", "sends_twice")
    spoil = [
        word
        for at in (range(1, 6) if everywhere else (3,))
        for word in ("--spoil", f"b{at}={name}")
    ]
    return (name, *command(path, "--seed", str(seed), *spoil))


def cost(seed: int, quick: bool) -> dict[str, Any]:
    """Logins beside stalled peers, in turns; memory and descriptors with and without peers."""
    took = {False: HdrHistogram(1, 60_000_000, 3), True: HdrHistogram(1, 60_000_000, 3)}
    shape = Shape(6 if quick else 12, 4, 80.0 if quick else 150.0, 2.0, seed=seed)
    held: dict[bool, tuple[int, int]] = {}

    def conduct(rig: Rig) -> None:
        names = sorted(rig.balancers)
        peers = [pair for pair in rig.links if pair[0] in names and pair[1] in names]
        rig.sleep(2)
        for turn in range(2 if quick else 6):
            stalled = turn % 2 == 1
            if stalled:
                rig.apply_fault(
                    rig.rng.sample(peers, len(peers) // 2), Fault(there=False, back=False)
                )
            marks = len(rig.events)
            rig.sleep(4 if quick else 8)
            for event in rig.events[marks:]:
                if event.what == "answer" and event.fields["word"] == "UP":
                    took[stalled].record_value(max(1, event.fields["took_ns"] // 1000))
            rig.apply_fault(peers, NO_FAULT)
        held[True] = rig.resources("b1")

    def alone(rig: Rig) -> None:
        rig.sleep(4 if quick else 10)
        held[False] = rig.resources("b1")

    Rig(shape).run(conduct)
    Rig(shape._replace(peers=False)).run(alone)
    p99 = {
        stalled: histogram.get_value_at_percentile(99) / 1000 for stalled, histogram in took.items()
    }
    return {
        "login_p99_ratio_stalled_peers": round(p99[True] / p99[False], 3),
        "login_p99_ms": round(p99[False], 2),
        "login_p99_ms_stalled": round(p99[True], 2),
        "login_max_ms_stalled": round(took[True].get_max_value() / 1000, 2),
        "logins": took[False].get_total_count(),
        "logins_stalled": took[True].get_total_count(),
        "peer_memory_kb": held[True][0] - held[False][0],
        "peer_descriptors": held[True][1] - held[False][1],
    }


def main() -> int:
    import tempfile

    arguments = parse_arguments(__doc__)
    names = (
        list(QUICK)
        if arguments.quick
        else sorted(name[:-5] for name in os.listdir(FOLDER) if name.endswith(".toml"))
    )
    faults = list(QUICK_FAULTS) if arguments.quick else list(FAULTS)
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(4) as pool:
        played = [pool.submit(scenario, name, arguments.seed) for name in names]
        found = [pool.submit(spoilt, name, arguments.seed, folder) for name in faults]
        today = pool.submit(scenario, "more_than_told", arguments.seed, False)
        results, seeded = [job.result() for job in played], [job.result() for job in found]
        fallen = today.result()[2].count("rule 4 broken")
    figures = {
        "scenarios": len(names),
        "rule_breaks": sum(code != 0 for _, code, _ in results),
        "seeded_faults": len(faults),
        "seeded_faults_found": sum(code == 1 for _, code, _ in seeded),
        "fallen_today": fallen,
        "fallen": sum("rule 4 broken" in text for _, _, text in results),
    } | cost(arguments.seed, arguments.quick)
    return tell(
        "The rig",
        figures,
        [
            *((f"{name}: {text[:600]}", code == 0) for name, code, text in results),
            *(
                (f"the fault {name} is not found: {text[-300:]}", code == 1)
                for name, code, text in seeded
            ),
            ("stalled peers slow logins", figures["login_p99_ratio_stalled_peers"] < 1.15),
        ],
        arguments.json,
    )


if __name__ == "__main__":
    sys.exit(main())
