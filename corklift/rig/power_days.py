"""A loss of power, drawn from a seed: what is lost, what the disks do, who is back when, and what was said before.

Owns the day and its measures; the rig plays it, the checker judges it. Played with this program, with today's (the same processes that know
neither each other nor a disk), or with one whose files tell the true list at each start: the mark for an order of return.
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
from corklift.store.format import DamagedStoreError, load, salvage

Variant = Literal["serve", "today", "knows"]
MAX_FAULTY_DISKS = 2  # disks at a time, of five or more: a yes means three, and one that comes back asks as many as are bad at the most
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
    seed: int = 1
    balancers: int = 5
    servers: int = 3
    rate: float = 40.0
    disks: tuple[str, ...] = ()  # by balancer, in order; the rest sound
    mute_s: float = 4.0  # discovery, after the cut; under 0: to the end
    old_list: bool = False  # it is back with a list of before the words
    drain: bool = True  # the last server is drained before
    cut_after_s: float = 0.3  # the yes
    dark_s: float = 0.3
    spread_s: tuple[float, float] = (0.5, 0.5)  # over which servers, and balancers, are back
    servers_first: bool = True
    again_s: float = (
        0.0  # a second cut, of half of the balancers, so long after the first start; 0: none
    )
    seconds: float = 9.0  # from the first start on
    period_ms: int = 200  # of peers
    killed: bool = False  # the balancers' processes alone; no power is lost

    @classmethod
    def generate(cls, seed: int, balancers: int = 5, servers: int = 4) -> PowerLossCase:
        rng = Random(f"power {seed}")
        kinds = list(DISK_PLANS)
        disks = [rng.choice(["sound", "sound", rng.choice(kinds)]) for _ in range(balancers)]
        bad = [at for at, disk in enumerate(disks) if disk != "sound"]
        for at in rng.sample(bad, max(0, len(bad) - MAX_FAULTY_DISKS)):
            disks[at] = "sound"
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

    def shape(self, way: Variant) -> Shape:
        return Shape(
            self.balancers,
            self.servers,
            self.rate,
            4.0,
            period_ms=self.period_ms,
            peers=way == "serve",
            store=way == "serve",
            knows=way == "knows",
            seed=self.seed,
        )


class PowerLossResult(NamedTuple):
    breaks: list[Violation]
    before: float  # logins a second
    first_s: float  # from the first process's start; -1: none
    restored_s: float  # to nine tenths of that rate over a second; -1: never
    yes: int  # words that operators got one for
    words_forgotten: int
    words_invented: int
    placed_out: int  # logins at a server that is out or was told as leaving
    hung: int  # logins without an answer in time after the return
    fell: int
    calls_discovery: int  # a second, at the most
    probes: int  # of a server a second, at the most
    problems: list[str]


def run_case(
    day: PowerLossCase, way: Variant = "serve", show: Any = lambda text: None
) -> tuple[PowerLossResult, Rig]:
    rig = Rig(day.shape(way), show=show)
    marks: dict[str, int] = {}
    kept: dict[str, list[Fact]] = {}
    rig.run(lambda rig: _conduct(rig, day, way, marks, kept))
    return _seen(rig, day, marks, kept), rig


def _say(rig: Rig, way: Variant, server: str, out: bool) -> None:
    """To one balancer where they tell each other, to each where they don't."""
    for name in (
        [rig.rng.choice(sorted(rig.balancers))] if way == "serve" else sorted(rig.balancers)
    ):
        rig.operator(name, server, out)


def _conduct(
    rig: Rig, day: PowerLossCase, way: Variant, marks: dict[str, int], kept: dict[str, list[Fact]]
) -> None:
    rng = Random(f"{day.seed} conduct")
    servers, names = sorted(rig.servers), sorted(rig.balancers)
    rig.sleep(4)
    marks["rate from"] = rig.scheduler.now() - 2 * SECOND
    marks["rate to"] = rig.scheduler.now()
    rig.send_command("discovery", save=True)
    for name, disk in zip(names, day.disks):
        if way == "serve":
            rig.set_disk_faults(name, **DISK_PLANS[disk])
    if day.drain and len(servers) > 2:
        rig.mark_leaving(servers[-1])
    if len(servers) > 3:
        _say(rig, way, servers[1], True)
        _say(rig, way, servers[1], False)
    _say(rig, way, servers[0], True)
    rig.sleep(day.cut_after_s)
    if day.mute_s:
        rig.send_command("discovery", silent=True)
    if day.killed:
        rig.kill(*names)
    else:
        rig.cut_power(*names, *servers)
    if way == "serve":
        for name in names:
            if rng.random() < 0.7:
                rig.set_disk_faults(name)  # a machine that is dark is mended by chance
    rig.sleep(day.dark_s)
    marks["start"] = rig.scheduler.now()
    if day.old_list and way != "knows":
        rig.send_command("discovery", restore=True)
    rig.scheduler.spawn(_discovery_back, rig, day)
    for server in servers if not day.killed else ():
        rig.scheduler.spawn(
            _back,
            rig,
            rng.random() * day.spread_s[0],
            lambda server=server: rig.start_server(server),
        )
    if day.servers_first:
        rig.wait_until(lambda: all(rig.servers[server].alive for server in servers), 30)
    for name in names:
        rig.scheduler.spawn(
            _back, rig, rng.random() * day.spread_s[1], lambda name=name: _restart(rig, name, way)
        )
    if day.again_s:
        rig.sleep(day.again_s)
        half = rng.sample(names, len(names) // 2)
        rig.wait_until(lambda: all(rig.balancers[name].alive for name in half), 30)
        rig.cut_power(*half)
        rig.sleep(day.dark_s)
        for name in half:
            _restart(rig, name, way)
    rig.sleep(day.seconds)
    marks["end"] = rig.scheduler.now()
    rig.record("finish")
    rig.kill_all()
    for name in names:
        kept[name] = _kept(os.path.join(rig._folder, name))


def _back(rig: Rig, after: float, act: Any) -> None:
    rig.sleep(after)
    act()


def _restart(rig: Rig, name: str, way: Variant) -> None:
    rig.restart(name)
    if way == "knows":
        rig.scheduler.spawn(_say_again, rig, name)


def _say_again(rig: Rig, name: str) -> None:
    """The mark's balancers are told at once what operators said before."""
    for server in sorted(rig.out_of_service):
        for _ in range(200):
            if rig.operator(name, server, True) == 200 or not rig.balancers[name].alive:
                break
            rig.sleep(0.02)


def _discovery_back(rig: Rig, day: PowerLossCase) -> None:
    if day.mute_s > 0:
        rig.sleep(day.mute_s)
        rig.send_command("discovery", silent=False)


def _kept(base: str) -> list[Fact]:
    """What is on a balancer's disk."""
    folders = (
        sorted(
            (name for name in os.listdir(base) if name.startswith("store-")),
            key=lambda name: int(name[6:]),
        )
        if os.path.isdir(base)
        else []
    )
    if not folders:
        return []
    disk = DiskFiles(os.path.join(base, folders[-1]), create=False)
    try:
        state = load(disk.names(), disk.read).state
    except DamagedStoreError:
        state = salvage(disk.names(), disk.read).state
    finally:
        disk.release()
    return [decode_fact(value) for value in state.values()]


def _seen(
    rig: Rig, day: PowerLossCase, marks: dict[str, int], kept: dict[str, list[Fact]]
) -> PowerLossResult:
    events = sorted(rig.events, key=lambda event: event.at)
    breaks = find_violations(events, marks["end"])
    ups = [event.at for event in events if event.what == "answer" and event.fields["word"] == "UP"]
    before = (
        sum(marks["rate from"] <= at < marks["rate to"] for at in ups)
        * SECOND
        / (marks["rate to"] - marks["rate from"])
    )
    after = [at for at in ups if at >= marks["start"]]
    restored = -1.0
    for tenth in range(int(10 * (marks["end"] - marks["start"]) / SECOND) - 9):
        since = marks["start"] + tenth * SECOND // 10
        if sum(since <= at < since + SECOND for at in after) >= 0.9 * min(before, day.rate):
            restored = tenth / 10
            break
    said: dict[str, bool] = {}  # as operators had a yes last
    asked: dict[str, list[bool]] = {}
    for event in events:
        if event.what == "word asked":
            asked.setdefault(event.fields["server"], []).append(event.fields["out"])
            said.pop(event.fields["server"], None)  # what holds is open until it is answered
        elif event.what == "word answered" and event.fields["status"] == 200:
            said[event.fields["server"]] = event.fields["out"]
    forgotten = invented = 0
    for facts in kept.values():
        for fact in facts:
            if fact.kind == OUT:
                invented += fact.value not in asked.get(fact.name, [])
    words = [fact for facts in kept.values() for fact in facts if fact.kind == OUT]
    for server, out in said.items() if kept and any(kept.values()) else ():
        newest = max(
            (fact for fact in words if fact.name == server),
            key=lambda fact: fact.rank,
            default=None,
        )
        forgotten += newest is None or newest.value is not out
    seconds: dict[int, int] = {}
    for event in events:
        if event.what == "called" and event.at >= marks["start"]:
            seconds[event.at // SECOND] = seconds.get(event.at // SECOND, 0) + 1
    probes = [
        event.fields["number"]
        for event in events
        if event.what == "probes" and event.at >= marks["start"]
    ]
    return PowerLossResult(
        breaks,
        before,
        (after[0] - marks["start"]) / SECOND if after else -1.0,
        restored,
        len(said),
        forgotten,
        invented,
        sum(found.promise in ("rule 3", "words") for found in breaks),
        sum(found.promise == "rule 1" for found in breaks),
        sum(found.promise == "rule 4" for found in breaks),
        max(seconds.values(), default=0),
        max(probes, default=0),
        [event.what[:300] for event in events if event.what.startswith("exception")]
        + [str(event.fields) for event in events if event.what == "line"][:5]
        + rig.problems,
    )
