"""Losses of power, generated from a seed: what is lost, how the disks fail and who returns when.

The rig plays a case and the checker checks it. A case runs with this program (`serve`), with
balancers that know neither each other nor a store (`today`), or with balancers whose configuration
files hold the true list at each start (`knows`), the baseline for the order of a return.
"""

from __future__ import annotations

import os
from random import Random
from typing import Any, Literal, NamedTuple

from corklift.net.limits import SECOND
from corklift.recovery.facts import OUT, Fact, decode_fact
from corklift.rig.checker import Violation, find_violations
from corklift.rig.fleet import Rig, Shape
from corklift.store.files import DiskFiles
from corklift.store.format import Refused, load, salvage

Variant = Literal["serve", "today", "knows"]
# Faulty disks at a time, of five or more. A confirmation means that three balancers have persisted
# the override, and a balancer that returns asks as many others as can have faulty disks.
MAX_FAULTY_DISKS = 2
DISK_PLANS: dict[str, dict[str, str]] = {
    "sound": {},
    "lies": {"sync": "lie", "folder": "lie"},
    "fails": {"sync": "eio"},
    "full": {"append": "enospc", "create": "enospc"},
    "read-only": {"append": "erofs", "create": "erofs", "remove": "erofs"},
    "short": {"append": "short"},
    "stalls": {"sync": "stall:10"},
}


class PowerLossCase(NamedTuple):
    """A loss of power and what happens around it.

    Attributes:
        disks: kinds of disks (see `DISK_PLANS`) in the order of the balancers; the rest is sound.
        mute_s: how long discovery is silent after the cut; below 0 it is silent until the end.
        old_list: discovery returns with the list from before the operator overrides.
        drain: the last server is drained before the cut.
        cut_after_s: time from the last confirmed override to the cut.
        dark_s: time from the cut to the first start.
        spread_s: times over which the starts of the servers and of the balancers are spread.
        servers_first: no balancer starts before all servers have.
        again_s: time from the first start to a second cut of half of the balancers; 0 is none.
        seconds: duration from the first start.
        period_ms: interval of the balancers' probes of each other.
        killed: only the balancers' processes are killed, and no power is lost.
    """

    seed: int = 1
    balancers: int = 5
    servers: int = 3
    rate: float = 40.0
    disks: tuple[str, ...] = ()
    mute_s: float = 4.0
    old_list: bool = False
    drain: bool = True
    cut_after_s: float = 0.3
    dark_s: float = 0.3
    spread_s: tuple[float, float] = (0.5, 0.5)
    servers_first: bool = True
    again_s: float = 0.0
    seconds: float = 9.0
    period_ms: int = 200
    killed: bool = False

    @classmethod
    def generate(cls, seed: int, balancers: int = 5, servers: int = 4) -> PowerLossCase:
        """Generates a case from a seed."""
        rng = Random(f"power {seed}")
        kinds = list(DISK_PLANS)
        disks = [rng.choice(["sound", "sound", rng.choice(kinds)]) for _ in range(balancers)]
        faulty = [index for index, disk in enumerate(disks) if disk != "sound"]
        for index in rng.sample(faulty, max(0, len(faulty) - MAX_FAULTY_DISKS)):
            disks[index] = "sound"
        return cls(
            seed,
            balancers,
            servers,
            rng.choice((20.0, 40.0, 60.0)),
            tuple(disks),
            rng.choice((0.0, 1.0, 3.0, 6.0, -1.0)),
            rng.random() < 0.4,
            rng.random() < 0.6,
            rng.choice((0.0, 0.05, 0.3, 1.0)),
            rng.choice((0.1, 0.5, 1.5)),
            (rng.choice((0.1, 1.0, 3.0)), rng.choice((0.1, 1.0))),
            rng.random() < 0.6,
            rng.choice((0.0, 0.0, 0.3, 0.8, 1.5, 2.5)),
        )

    def shape(self, variant: Variant) -> Shape:
        return Shape(
            self.balancers,
            self.servers,
            self.rate,
            4.0,
            period_ms=self.period_ms,
            peers=variant == "serve",
            store=variant == "serve",
            knows=variant == "knows",
            seed=self.seed,
        )


class PowerLossResult(NamedTuple):
    """What a case led to.

    Attributes:
        rate_before: logins per second before the cut.
        first_s: time from the first process's start to the first login; -1 is never.
        restored_s: time until nine tenths of the earlier rate over a second; -1 is never.
        confirmed_overrides: servers with a confirmed operator override.
        words_forgotten: confirmed overrides that the balancers' stores no longer hold.
        words_invented: overrides in the stores that no operator asked for.
        placed_out: logins on a server that was out of service or known to be leaving.
        hung: logins without an answer in time after the return.
        fell: overloaded cold servers.
        calls_discovery: maximum of calls to discovery in a second.
        probes: maximum of probes of a server in a second.
    """

    violations: list[Violation]
    rate_before: float
    first_s: float
    restored_s: float
    confirmed_overrides: int
    words_forgotten: int
    words_invented: int
    placed_out: int
    hung: int
    fell: int
    calls_discovery: int
    probes: int
    problems: list[str]


def run_case(
    case: PowerLossCase, variant: Variant = "serve", show: Any = lambda text: None
) -> tuple[PowerLossResult, Rig]:
    """Runs a case and returns its result and the rig."""
    rig = Rig(case.shape(variant), show=show)
    marks: dict[str, int] = {}
    stored_facts: dict[str, list[Fact]] = {}
    rig.run(lambda rig: _conduct(rig, case, variant, marks, stored_facts))
    return _summarise(rig, case, marks, stored_facts), rig


def _override(rig: Rig, variant: Variant, server: str, out: bool) -> None:
    """Sends an override to one balancer if they replicate it, else to each of them."""
    for name in (
        [rig.rng.choice(sorted(rig.balancers))] if variant == "serve" else sorted(rig.balancers)
    ):
        rig.operator(name, server, out)


def _conduct(
    rig: Rig,
    case: PowerLossCase,
    variant: Variant,
    marks: dict[str, int],
    stored_facts: dict[str, list[Fact]],
) -> None:
    rng = Random(f"{case.seed} conduct")
    servers, names = sorted(rig.servers), sorted(rig.balancers)
    rig.sleep(4)
    marks["rate from"] = rig.scheduler.now() - 2 * SECOND
    marks["rate to"] = rig.scheduler.now()
    rig.send_command("discovery", save=True)
    for name, disk in zip(names, case.disks):
        if variant == "serve":
            rig.set_disk_faults(name, **DISK_PLANS[disk])
    if case.drain and len(servers) > 2:
        rig.mark_leaving(servers[-1])
    if len(servers) > 3:
        _override(rig, variant, servers[1], True)
        _override(rig, variant, servers[1], False)
    _override(rig, variant, servers[0], True)
    rig.sleep(case.cut_after_s)
    if case.mute_s:
        rig.send_command("discovery", silent=True)
    if case.killed:
        rig.kill(*names)
    else:
        rig.cut_power(*names, *servers)
    if variant == "serve":
        for name in names:
            if rng.random() < 0.7:
                # The disks of some machines are repaired while these have no power.
                rig.set_disk_faults(name)
    rig.sleep(case.dark_s)
    marks["start"] = rig.scheduler.now()
    if case.old_list and variant != "knows":
        rig.send_command("discovery", restore=True)
    rig.scheduler.spawn(_restore_discovery, rig, case)
    for server in servers if not case.killed else ():
        rig.scheduler.spawn(
            _act_later,
            rig,
            rng.random() * case.spread_s[0],
            lambda server=server: rig.start_server(server),
        )
    if case.servers_first:
        rig.wait_until(lambda: all(rig.servers[server].alive for server in servers), 30)
    for name in names:
        rig.scheduler.spawn(
            _act_later,
            rig,
            rng.random() * case.spread_s[1],
            lambda name=name: _restart(rig, name, variant),
        )
    if case.again_s:
        rig.sleep(case.again_s)
        half = rng.sample(names, len(names) // 2)
        rig.wait_until(lambda: all(rig.balancers[name].alive for name in half), 30)
        rig.cut_power(*half)
        rig.sleep(case.dark_s)
        for name in half:
            _restart(rig, name, variant)
    rig.sleep(case.seconds)
    marks["end"] = rig.scheduler.now()
    rig.record("finish")
    rig.kill_all()
    for name in names:
        stored_facts[name] = _read_facts(os.path.join(rig._folder, name))


def _act_later(rig: Rig, after: float, act: Any) -> None:
    rig.sleep(after)
    act()


def _restart(rig: Rig, name: str, variant: Variant) -> None:
    rig.restart(name)
    if variant == "knows":
        rig.scheduler.spawn(_repeat_overrides, rig, name)


def _repeat_overrides(rig: Rig, name: str) -> None:
    """Repeats all operator overrides at once, for the baseline without a store."""
    for server in sorted(rig.out_of_service):
        for _ in range(200):
            if rig.operator(name, server, True) == 200 or not rig.balancers[name].alive:
                break
            rig.sleep(0.02)


def _restore_discovery(rig: Rig, case: PowerLossCase) -> None:
    if case.mute_s > 0:
        rig.sleep(case.mute_s)
        rig.send_command("discovery", silent=False)


def _read_facts(path: str) -> list[Fact]:
    """Returns the facts in the newest store of a balancer."""
    folders = (
        sorted(
            (name for name in os.listdir(path) if name.startswith("store-")),
            key=lambda name: int(name[6:]),
        )
        if os.path.isdir(path)
        else []
    )
    if not folders:
        return []
    disk = DiskFiles(os.path.join(path, folders[-1]), create=False)
    try:
        state = load(disk.names(), disk.read).state
    except Refused:
        state = salvage(disk.names(), disk.read).state
    finally:
        disk.release()
    return [decode_fact(value) for value in state.values()]


def _summarise(
    rig: Rig, case: PowerLossCase, marks: dict[str, int], stored_facts: dict[str, list[Fact]]
) -> PowerLossResult:
    events = sorted(rig.events, key=lambda event: event.at)
    violations = find_violations(events, marks["end"])
    logins_at = [
        event.at for event in events if event.what == "answer" and event.fields["word"] == "UP"
    ]
    rate_before = (
        sum(marks["rate from"] <= time < marks["rate to"] for time in logins_at)
        * SECOND
        / (marks["rate to"] - marks["rate from"])
    )
    logins_after = [time for time in logins_at if time >= marks["start"]]
    restored_s = -1.0
    for tenth in range(int(10 * (marks["end"] - marks["start"]) / SECOND) - 9):
        since = marks["start"] + tenth * SECOND // 10
        if sum(since <= time < since + SECOND for time in logins_after) >= 0.9 * min(
            rate_before, case.rate
        ):
            restored_s = tenth / 10
            break
    # By server, the last override that a balancer confirmed.
    confirmed: dict[str, bool] = {}
    asked: dict[str, list[bool]] = {}
    for event in events:
        if event.what == "word asked":
            asked.setdefault(event.fields["server"], []).append(event.fields["out"])
            # Until the request is answered, either state may hold.
            confirmed.pop(event.fields["server"], None)
        elif event.what == "word answered" and event.fields["status"] == 200:
            confirmed[event.fields["server"]] = event.fields["out"]
    forgotten = invented = 0
    for facts in stored_facts.values():
        for fact in facts:
            if fact.kind == OUT:
                invented += fact.value not in asked.get(fact.name, [])
    overrides = [fact for facts in stored_facts.values() for fact in facts if fact.kind == OUT]
    for server, out in confirmed.items() if stored_facts and any(stored_facts.values()) else ():
        newest = max(
            (fact for fact in overrides if fact.name == server),
            key=lambda fact: fact.rank,
            default=None,
        )
        forgotten += newest is None or newest.value is not out
    calls_by_second: dict[int, int] = {}
    for event in events:
        if event.what == "called" and event.at >= marks["start"]:
            calls_by_second[event.at // SECOND] = calls_by_second.get(event.at // SECOND, 0) + 1
    probes = [
        event.fields["number"]
        for event in events
        if event.what == "probes" and event.at >= marks["start"]
    ]
    return PowerLossResult(
        violations,
        rate_before,
        (logins_after[0] - marks["start"]) / SECOND if logins_after else -1.0,
        restored_s,
        len(confirmed),
        forgotten,
        invented,
        sum(violation.promise in ("rule 3", "words") for violation in violations),
        sum(violation.promise == "rule 1" for violation in violations),
        sum(violation.promise == "rule 4" for violation in violations),
        max(calls_by_second.values(), default=0),
        max(probes, default=0),
        [event.what[:300] for event in events if event.what.startswith("exception")]
        + [str(event.fields) for event in events if event.what == "line"][:5]
        + rig.problems,
    )
