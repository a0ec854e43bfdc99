"""What happens when and to whom: scenarios as TOML files, played on a rig and judged.

Owns the form of scenarios and how each trouble is played. Must never judge.
"""

from __future__ import annotations

import json
import tomllib
from collections.abc import Callable
from random import Random
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from corklift.net.limits import MS, SECOND
from corklift.rig.fleet import Event, Rig, Shape
from corklift.rig.links import NO_FAULT, Fault
from corklift.toml_tables import Table, locate_error

AGREEMENT_SECONDS = 60.0  # seconds in which all that live must come to hold the same; wide: what counts is that they do
Kind = Literal[
    "kill",
    "end",
    "stop",
    "restart",
    "start",
    "links",
    "partition",
    "chain",
    "drain",
    "cold server",
    "server fails",
    "server silent",
    "discovery silent",
    "flap",
    "all killed",
    "wave",
    "power cut",
    "taken out",
    "put back",
    "disk",
    "old list",
    "clock",
    "memory",
    "descriptors",
    "starts fail",
    "slow start",
]


class ScenarioError(Exception):
    """Names the key at fault."""


class FaultTable(Table):
    cut: bool = False
    there: bool = True
    back: bool = True
    delay_ms: Annotated[float, Meta(ge=0, le=10_000)] = 0
    spread_ms: Annotated[float, Meta(ge=0, le=10_000)] = 0
    rate: Annotated[int, Meta(ge=0)] = 0
    loses: Annotated[float, Meta(ge=0, le=1)] = 0.0
    cut_at: Annotated[int, Meta(ge=0)] = 0
    most: Annotated[int, Meta(ge=0)] = 0

    def fault(self) -> Fault:
        return Fault(
            self.cut,
            self.there,
            self.back,
            int(self.delay_ms * MS),
            int(self.spread_ms * MS),
            self.rate,
            self.loses,
            self.cut_at,
            self.most,
        )


class Disruption(Table):
    at_s: Annotated[float, Meta(ge=0, le=300)]
    kind: Kind
    who: list[str] = []  # balancers or servers; of links: the callers
    to: list[str] = []  # of links: the called; discovery and client are names too
    for_s: Annotated[float, Meta(ge=0, le=300)] = 0.0  # 0: to the end
    fault: FaultTable = FaultTable()
    both: bool = False  # of links: the other way round too
    plan: dict[str, str] = {}  # of a disk: by call, what goes wrong
    seconds: Annotated[float, Meta(ge=-4e7, le=4e7)] = 0.0  # of a clock: off by so much
    times: Annotated[int, Meta(ge=1, le=20)] = 2  # of starts that fail


class ShapeTable(Table):
    balancers: Annotated[int, Meta(ge=1, le=40)] = 5
    servers: Annotated[int, Meta(ge=1, le=40)] = 3
    rate: Annotated[float, Meta(ge=0, le=500)] = 20.0
    hold_s: Annotated[float, Meta(gt=0, le=300)] = 6.0
    size: Annotated[float, Meta(gt=0)] = 200.0
    period_ms: Annotated[int, Meta(ge=50, le=10_000)] = 200
    sockets: Annotated[int, Meta(ge=100, le=20_000)] = 600
    join: Annotated[int, Meta(ge=1, le=40)] = 3
    told: Annotated[int, Meta(ge=0, le=4096)] = 0  # balancers by the settings; 0: the true number
    late: list[str] = []
    store: bool = False
    clocks: bool = False


class Scenario(Table):
    name: str
    seconds: Annotated[float, Meta(gt=0, le=300)]
    seed: int = 1
    agree: bool = True  # at the end, all that live hold the same
    fleet: ShapeTable = ShapeTable()
    troubles: list[Disruption] = []

    def shape(self, peers: bool = True, seed: int | None = None) -> Shape:
        fleet = self.fleet
        return Shape(
            fleet.balancers,
            fleet.servers,
            fleet.rate,
            fleet.hold_s,
            fleet.size,
            fleet.period_ms,
            fleet.sockets,
            peers=peers,
            join=fleet.join,
            late=tuple(fleet.late),
            seed=self.seed if seed is None else seed,
            told=fleet.told,
            store=fleet.store and peers,
            clocks=fleet.clocks,
        )


def read_scenario(path: str) -> Scenario:
    """Raises:
    BadScenario: names the key at fault.
    """
    try:
        with open(path, "rb") as file:
            found = msgspec.convert(
                (json if path.endswith(".json") else tomllib).load(file), Scenario
            )
    except msgspec.ValidationError as problem:
        key, text = locate_error(problem)
        raise ScenarioError(f"{path}: {key}: {text}") from None
    except (OSError, ValueError) as problem:
        raise ScenarioError(f"{path}: {problem}") from None
    known = {f"b{n}" for n in range(1, found.fleet.balancers + 1)} | {
        f"s{n}" for n in range(1, found.fleet.servers + 1)
    }
    for at, trouble in enumerate(found.troubles):
        for name in [*trouble.who, *trouble.to]:
            if name not in known | {"discovery", "client", "all", "half"}:
                raise ScenarioError(
                    f"{path}: troubles[{at}].who names {name!r}, which is not there"
                )
        if trouble.at_s > found.seconds:
            raise ScenarioError(f"{path}: troubles[{at}].at_s is after the end")
    return found


class ScenarioRun:
    """One scenario on one rig."""

    def __init__(self, given: Scenario, rig: Rig) -> None:
        self.given, self.rig, self.rng = given, rig, Random(rig.shape.seed)

    def conduct(self, rig: Rig) -> None:
        began = rig.scheduler.now()
        rig.send_command("discovery", save=True)
        for trouble in sorted(self.given.troubles, key=lambda trouble: trouble.at_s):
            rig.scheduler.spawn(self._bring, began + int(trouble.at_s * SECOND), trouble)
        rig.scheduler.sleep(int(self.given.seconds * SECOND))
        if self.given.agree and rig.shape.peers:
            self._agree()
        rig.record("finish")

    def _agree(self) -> None:
        """All that live come to hold the same; what they hold is what their peers heard."""
        rig = self.rig
        lives = sorted(name for name, running in rig.balancers.items() if running.alive)

        def wrong() -> list[tuple[str, list[str]]]:
            held = [
                (
                    name,
                    sorted(
                        {
                            other
                            for other, standing in rig.member_states(name).items()
                            if standing == "alive"
                        }
                        | {name}
                    ),
                )
                for name in lives
            ]
            return [(name, holds) for name, holds in held if holds != lives]

        until = rig.scheduler.now() + int(AGREEMENT_SECONDS * SECOND)
        while wrong() and rig.scheduler.now() < until:
            rig.sleep(0.1)
        rig.record("agreed")
        for name, holds in wrong():
            rig.record("not agreed", by=name, holds=holds, lives=lives)

    def _names(self, names: list[str]) -> list[str]:
        found: list[str] = []
        for name in names:
            if name == "all":
                found += sorted(self.rig.balancers)
            elif name == "half":
                found += sorted(self.rig.balancers)[::2]
            else:
                found.append(
                    f"s-{int(name[1:]):08x}" if name[0] == "s" and name[1:].isdigit() else name
                )
        return found

    def _bring(self, at: int, trouble: Disruption) -> None:
        rig = self.rig
        rig.scheduler.sleep(max(0, at - rig.scheduler.now()))
        who, to = self._names(trouble.who), self._names(trouble.to)
        getattr(self, "_" + trouble.kind.replace(" ", "_"))(trouble, who, to)

    def _later(self, trouble: Disruption, act: Callable[[], Any]) -> None:
        if trouble.for_s:
            self.rig.sleep(trouble.for_s)
            act()

    def _kill(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        self.rig.kill(*who)
        self._later(trouble, lambda: self._start_again(who))

    def _start_again(self, who: list[str]) -> None:
        balancers = [name for name in who if name in self.rig.balancers]
        if balancers:
            self.rig.restart(*balancers)

    def _all_killed(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        self._kill(trouble, sorted(self.rig.balancers), to)

    def _wave(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        """One after the other, over the time."""
        for name in who:
            self.rig.kill(name)
            self.rig.sleep(trouble.for_s / len(who))
            self.rig.restart(name)

    def _flap(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        """Killed and started each second."""
        for _ in range(max(1, int(trouble.for_s))):
            self.rig.kill(*who)
            self.rig.restart(*who)
            self.rig.sleep(1.0)

    def _end(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        self.rig.terminate(*who)
        self._later(trouble, lambda: self._start_again(who))

    def _start(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        self.rig.restart(*who)

    _restart = _start

    def _stop(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        self.rig.suspend(*who)
        self._later(trouble, lambda: self.rig.resume(*who))

    def _links(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        pairs = self.rig.links_between(who, to, trouble.both)
        self.rig.apply_fault(pairs, trouble.fault.fault())
        self._later(trouble, lambda: self.rig.apply_fault(pairs, NO_FAULT))

    def _partition(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        """Between these balancers and all others nothing passes, and nothing is said of it."""
        others = [name for name in sorted(self.rig.balancers) if name not in who]
        pairs = self.rig.links_between(who, others)
        self.rig.apply_fault(pairs, Fault(there=False, back=False))
        self._later(trouble, lambda: self.rig.apply_fault(pairs, NO_FAULT))

    def _chain(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        """Each sees its neighbours alone."""
        names = sorted(self.rig.balancers)
        pairs = [
            (a, b) for at, a in enumerate(names) for b in names[: max(0, at - 1)] + names[at + 2 :]
        ]
        self.rig.apply_fault(pairs, Fault(there=False, back=False))
        self._later(trouble, lambda: self.rig.apply_fault(pairs, NO_FAULT))

    def _power_cut(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        """Servers, as `to` names them, are back first, the balancers with them."""
        self.rig.cut_power(*who, *to)
        self.rig.sleep(max(0.1, trouble.for_s))
        for server in to:
            self.rig.start_server(server)
        self.rig.restart(*who)

    def _taken_out(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        for name in who:
            for server in to:
                self.rig.operator(name, server, trouble.kind == "taken out")

    _put_back = _taken_out

    def _disk(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        for name in who:
            self.rig.set_disk_faults(name, **trouble.plan)
        self._later(trouble, lambda: [self.rig.set_disk_faults(name) for name in who])

    def _old_list(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        """Discovery is back with its list of the beginning."""
        self.rig.send_command("discovery", restore=True)

    def _clock(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        for name in who:
            self.rig.set_clock_offset(name, trouble.seconds)

    def _memory(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        """One that ends by it is started by its keeper."""

        def over() -> None:
            self.rig.limit_resource(trouble.kind, *who, over=True)
            self._start_again([name for name in who if not self.rig.balancers[name].alive])

        self.rig.limit_resource(trouble.kind, *who)
        self._later(trouble, over)

    _descriptors = _memory

    def _starts_fail(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        """Killed, and started by its keeper until a start succeeds."""
        self.rig.kill(*who)
        for name in who:
            self.rig.fail_next_starts(name, trouble.times)
            for _ in range(trouble.times + 1):
                self.rig.wait_until(lambda name=name: not self.rig.balancers[name].alive)
                self.rig.start(name)
                self.rig.sleep(0.3)
            self.rig.scheduler.spawn(self.rig._admit_when_ready, name)

    def _slow_start(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        """Killed, and stopped over and over while it starts."""
        self.rig.kill(*who)
        self.rig.restart(*who)
        for _ in range(10):
            self.rig.suspend(*who)
            self.rig.sleep(trouble.for_s / 10)
            self.rig.resume(*who)
            self.rig.sleep(0.1)

    def _drain(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        for name in who:
            self.rig.send_command("discovery", mark=name, status="leaving")
        self._later(trouble, lambda: [self.rig.list_server(name) for name in who])

    def _cold_server(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        """Gone, and back cold, as the list tells."""
        for name in who:
            self.rig.send_command("discovery", mark=name, status="left")
        self.rig.sleep(max(1.0, trouble.for_s))
        for name in who:
            self.rig.send_command(name, cold=True)
            self.rig.list_server(name, self.rig.scheduler.now() // MS)

    def _server_fails(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        for name in who:
            self.rig.send_command(name, fails=True)
        self._later(trouble, lambda: [self.rig.send_command(name, fails=False) for name in who])

    def _server_silent(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        for name in who:
            self.rig.send_command(name, silent=True)
        self._later(trouble, lambda: [self.rig.send_command(name, silent=False) for name in who])

    def _discovery_silent(self, trouble: Disruption, who: list[str], to: list[str]) -> None:
        self.rig.send_command("discovery", silent=True)
        self._later(trouble, lambda: self.rig.send_command("discovery", silent=False))


def run_scenario(
    given: Scenario,
    *,
    peers: bool = True,
    seed: int | None = None,
    mutants: dict[str, str] | None = None,
    show: Callable[[str], None] = lambda text: None,
) -> Rig:
    rig = Rig(given.shape(peers, seed), mutants, show)
    return rig.run(ScenarioRun(given, rig).conduct)


def encode_events(events: list[Event]) -> str:
    """As JSON lines."""
    return "".join(
        msgspec.json.encode([event.at, event.source, event.what, event.fields]).decode() + "\n"
        for event in events
    )


def decode_events(text: str) -> list[Event]:
    return [Event(*msgspec.json.decode(line)) for line in text.splitlines()]
