"""How members come to know of each other, and what they count: real processes, and larger fleets and seeded histories in virtual time.

    python -m benchmarks.membership [--quick] [--seed N] [--json FILE]

`detect`: from a kill to every survivor's knowledge, over the probe period too. `false_dead`: members called dead that lived, with one in
ten messages lost, links stalled one way and stops of half the suspicion. `bytes_s_member`: sent by each, nothing happening.
`count_too_low_s`: in which a count in use was under the number that placed. `violations`: histories that broke a promise. `fallen_servers`: in the lab, on a day on which a third of the balancers is killed, a zone of
servers comes back cold and a third of the balancers can't reach the others, by what the guards of cold servers count.
"""

from __future__ import annotations

import sys
import time
from multiprocessing import Pool
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.report import parse_arguments, tell
from corklift.lab.counted import CountSource, run_hard_day
from corklift.lab.peer_days import HistoryResult, MembershipHistory
from corklift.lab.peers import EmulatedNetwork, NetworkShape
from corklift.membership.core import MembershipConfig
from corklift.rig.fleet import Rig
from corklift.rig.fleet import Shape as RigShape
from corklift.rig.links import NO_FAULT, Fault

CUTS = ("partition", "one way", "chain", "kill", "stop")


def history(seed: int) -> HistoryResult:
    return MembershipHistory(seed).run()


def cut(seed: int) -> HistoryResult:
    """Of partitions and what goes with them."""
    return MembershipHistory(seed, faults=CUTS).run()


def detection(arguments: tuple[int, int]) -> list[float]:
    """Periods from a kill until each survivor knew of it, in virtual time."""
    members, seed = arguments
    net = EmulatedNetwork(NetworkShape(members, settled=True), seed)
    net.start()
    net.run(3)
    found: list[float] = []
    for victim in net.rng.sample(net.members, 3):
        name, life, began = victim.name, victim.core.own_record.instance_id, net.now
        victim.kill()
        net.run(30)
        known = net.death_known_at.get((name, life), {})
        missing = sum(member.alive for member in net.members) - len(known)
        found += [(at - began) / net.shape.period for at in known.values()] + [
            float("inf")
        ] * missing
    return found


def false_dead(arguments: tuple[int, int]) -> int:
    members, seed = arguments
    net = EmulatedNetwork(NetworkShape(members, settled=True, loss=0.1), seed)
    net.start()
    rng = net.rng
    for _ in range(members // 4):
        a, b = rng.sample(range(members), 2)
        net.cut.add((a, b))
    for at in range(members // 2):
        net.call_after(
            3 + 2 * at,
            lambda: net.pause(rng.choice(net.members), MembershipConfig().min_suspicion / 2),
        )
    net.run(60)
    return len(net.false_deaths)


def idle_bytes(members: int) -> float:
    net = EmulatedNetwork(NetworkShape(members, settled=True, bytes=True), 1)
    net.start()
    net.run(5)
    before = sum(member.sent_bytes for member in net.members)
    net.run(15)
    return (sum(member.sent_bytes for member in net.members) - before) / members / 15


def real(processes: int, period_ms: int, seed: int, kills: int) -> dict[str, Any]:
    """Kills one after the other, then a partition and its end, with links for each pair."""
    detect = HdrHistogram(1, 3_600_000, 3)
    found: dict[str, Any] = {}

    def conduct(rig: Rig) -> None:
        names = sorted(rig.balancers)
        for name in names:
            rig.wait_until(
                lambda name=name: (
                    set(rig.member_states(name).values()) == {"alive"}
                    and len(rig.member_states(name)) == processes - 1
                ),
                120,
                "all know all",
            )
        before, began = sum(link.bytes_passed for link in rig.links.values()), time.monotonic()
        rig.sleep(5)
        found["bytes"] = (
            (sum(link.bytes_passed for link in rig.links.values()) - before)
            / processes
            / (time.monotonic() - began)
        )
        for victim in rig.rng.sample(names, kills):
            marks, at = len(rig.events), rig.scheduler.now()
            rig.kill(victim)
            told: dict[str, int] = {}

            def all_know(
                victim: str = victim, marks: int = marks, told: dict[str, int] = told
            ) -> bool:
                for event in rig.events[marks:]:
                    if (
                        event.what == "member"
                        and event.fields["member"] == victim
                        and event.fields["standing"] == "dead"
                    ):
                        told.setdefault(event.source, event.at)
                return len(told) >= processes - 1

            rig.wait_until(all_know, 120, f"all know that {victim} is dead")
            for when in told.values():
                detect.record_value(max(1, (when - at) // 1_000_000))
            rig.restart(victim)
            rig.wait_until(
                lambda victim=victim: all(
                    rig.member_states(name).get(victim) == "alive"
                    for name in names
                    if name != victim
                ),
                120,
                f"{victim} is back",
            )
        side = names[::2]
        rest = [name for name in names if name not in side]
        pairs = rig.links_between(side, rest)
        rig.apply_fault(pairs, Fault(there=False, back=False))
        rig.wait_until(
            lambda: all(rig.member_states(a).get(b) == "dead" for a, b in pairs),
            180,
            "each side holds the other for dead",
        )
        found["least_count"] = min(rig.balancer_count(name) for name in names)
        healed = rig.scheduler.now()
        rig.apply_fault(pairs, NO_FAULT)
        rig.wait_until(
            lambda: all(
                rig.member_states(a).get(b) == "alive" for a in names for b in names if a != b
            ),
            180,
            "all hold all for living",
        )
        found["converged"] = (rig.scheduler.now() - healed) // 1_000_000

    Rig(RigShape(processes, 1, 0.0, period_ms=period_ms, seed=seed)).run(conduct)
    return found | {
        "p99": detect.get_value_at_percentile(99),
        "worst": detect.get_max_value(),
        "number": detect.get_total_count(),
    }


def guards(arguments: tuple[str, int, int, int]) -> tuple[str, int, float]:
    name, seed, told, balancers = arguments
    way: CountSource = (
        "heard" if name == "heard" else "followed" if name.startswith("followed") else "settings"
    )
    return (name, *run_hard_day(seed, way, told, balancers))


def percentile(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * part))]


def main() -> int:
    arguments = parse_arguments(__doc__)
    quick = arguments.quick
    processes, emulated = (12, 300) if quick else (40, 1000)
    histories, cuts = (1_000, 300) if quick else (10_000, 2_000)
    period_ms = 300 if quick else 1_000
    with Pool() as pool:
        days = pool.imap_unordered(history, range(arguments.seed, arguments.seed + histories), 20)
        parted = pool.imap_unordered(cut, range(arguments.seed, arguments.seed + cuts), 20)
        periods = pool.map(
            detection,
            [
                (size, arguments.seed + at)
                for size in (40, emulated)
                for at in range(2 if quick else 4)
            ],
            1,
        )
        wrong = pool.map(
            false_dead,
            [
                (size, arguments.seed + at)
                for size in (8, 40, 100)
                for at in range(2 if quick else 12)
            ],
            1,
        )
        sizes = (10, 100, emulated)
        sent = dict(zip(sizes, pool.map(idle_bytes, sizes, 1)))
        found, parts = list(days), list(parted)
        size = 30 if quick else 60
        plays = [
            (name, arguments.seed + at, told, size)
            for at in range(1 if quick else 4)
            for name, told in (
                ("settings", size),
                ("settings of a third", size // 3),
                ("followed", size),
                ("followed, settings of a third", size // 3),
                ("heard", size),
            )
        ]
        fell: dict[str, int] = {}
        service: dict[str, list[float]] = {}
        for name, number, share in pool.imap_unordered(guards, plays, 1):
            fell[name] = fell.get(name, 0) + number
            service.setdefault(name, []).append(share)
    played = real(processes, period_ms, arguments.seed, 2 if quick else 5)
    half = len(periods) // 2
    small, large = sum(periods[:half], []), sum(periods[half:], [])
    bad = [day for day in [*found, *parts] if day.problems]
    too_low = sum(day.too_low_s for day in parts)
    figures = {
        "processes": processes,
        "emulated": emulated,
        "detect_ms_p99": played["p99"],
        "detect_ms_worst": played["worst"],
        "detections": played["number"],
        "detect_periods_p99": {
            "processes": round(played["p99"] / period_ms, 1),
            "40": round(percentile(small, 0.99), 1),
            str(emulated): round(percentile(large, 0.99), 1),
        },
        "false_dead": sum(wrong),
        "bytes_s_member": {str(size): round(value) for size, value in sent.items()},
        "bytes_s_member_processes": round(played["bytes"] * period_ms / 1000),
        "bytes_ratio": round(sent[emulated] / sent[100], 3),
        "converged_ms_after_partition": played["converged"],
        "count_too_low_s": round(too_low, 3),
        "least_count_parted": played["least_count"],
        "histories": histories,
        "partitions": cuts,
        "violations": len(bad),
        "fallen_servers": dict(sorted(fell.items())),
        "service": {
            name: round(sum(shares) / len(shares), 4) for name, shares in sorted(service.items())
        },
    }
    return tell(
        "Membership",
        figures,
        [
            *((f"seed {day.seed}: {day.problems[0]}", False) for day in bad[:5]),
            # The true count lets one fall in some seeds too: that is the module's, see docs/design/lab.md.
            (
                "the followed count lets more servers be pushed over than the true one",
                max(fell["followed"], fell["followed, settings of a third"])
                <= max(fell["settings"], fell["settings of a third"]),
            ),
            ("one that lives is called dead", not sum(wrong)),
            ("a count in use was too low", not too_low),
            ("a count fell through a partition", played["least_count"] >= processes),
            ("bytes grow with the fleet", figures["bytes_ratio"] < 1.3),
        ],
        arguments.json,
    )


if __name__ == "__main__":
    sys.exit(main())
