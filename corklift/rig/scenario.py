"""Scenarios: TOML files that say which disruptions happen when and to whom, and their runs.

This module defines the format of the files and plays the disruptions on a rig. The checker then
looks for violations.
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

# Time within which all live members must come to the same view. It is wide, since the check is
# that they agree, not how fast.
AGREEMENT_SECONDS = 60.0
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
    """A scenario file is invalid; the message names the key."""


class FaultTable(Table):
    """The fault of a link, see `links.Fault`."""

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
    """Something that happens to the fleet at a time.

    Attributes:
        who: balancers or servers; for links, the callers.
        to: for links, the callees, which may also be `discovery` and `client`.
        for_s: duration; 0 lasts until the end.
        both: for links, whether the opposite direction is affected too.
        plan: for a disk, the fault of each call.
        seconds: offset of a clock.
        times: number of starts that fail.
    """

    at_s: Annotated[float, Meta(ge=0, le=300)]
    kind: Kind
    who: list[str] = []
    to: list[str] = []
    for_s: Annotated[float, Meta(ge=0, le=300)] = 0.0
    fault: FaultTable = FaultTable()
    both: bool = False
    plan: dict[str, str] = {}
    seconds: Annotated[float, Meta(ge=-4e7, le=4e7)] = 0.0
    times: Annotated[int, Meta(ge=1, le=20)] = 2


class ShapeTable(Table):
    """The fleet of a scenario, see `fleet.Shape`.

    `told` is the number of balancers in the settings; 0 is the true number.
    """

    balancers: Annotated[int, Meta(ge=1, le=40)] = 5
    servers: Annotated[int, Meta(ge=1, le=40)] = 3
    rate: Annotated[float, Meta(ge=0, le=500)] = 20.0
    hold_s: Annotated[float, Meta(gt=0, le=300)] = 6.0
    size: Annotated[float, Meta(gt=0)] = 200.0
    period_ms: Annotated[int, Meta(ge=50, le=10_000)] = 200
    sockets: Annotated[int, Meta(ge=100, le=20_000)] = 600
    join: Annotated[int, Meta(ge=1, le=40)] = 3
    told: Annotated[int, Meta(ge=0, le=4096)] = 0
    late: list[str] = []
    store: bool = False
    clocks: bool = False


class Scenario(Table):
    """A fleet and its disruptions; `agree` checks that all live members agree at the end."""

    name: str
    seconds: Annotated[float, Meta(gt=0, le=300)]
    seed: int = 1
    agree: bool = True
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
            configured_balancers=fleet.told,
            store=fleet.store and peers,
            clocks=fleet.clocks,
        )


def read_scenario(path: str) -> Scenario:
    """Reads and validates a scenario file.

    Raises:
        ScenarioError: the file is invalid; the message names the key.
    """
    try:
        with open(path, "rb") as file:
            scenario = msgspec.convert(
                (json if path.endswith(".json") else tomllib).load(file), Scenario
            )
    except msgspec.ValidationError as error:
        key, text = locate_error(error)
        raise ScenarioError(f"{path}: {key}: {text}") from None
    except (OSError, ValueError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    names = {f"b{n}" for n in range(1, scenario.fleet.balancers + 1)} | {
        f"s{n}" for n in range(1, scenario.fleet.servers + 1)
    }
    for position, disruption in enumerate(scenario.troubles):
        for name in [*disruption.who, *disruption.to]:
            if name not in names | {"discovery", "client", "all", "half"}:
                raise ScenarioError(
                    f"{path}: troubles[{position}].who names {name!r}, which the fleet lacks"
                )
        if disruption.at_s > scenario.seconds:
            raise ScenarioError(
                f"{path}: troubles[{position}].at_s is after the end of the scenario"
            )
    return scenario


class ScenarioRun:
    """A run of a scenario on a rig."""

    def __init__(self, scenario: Scenario, rig: Rig) -> None:
        self.scenario, self.rig, self.rng = scenario, rig, Random(rig.shape.seed)

    def conduct(self, rig: Rig) -> None:
        """Plays all disruptions at their times, and checks at the end that the members agree."""
        started_at = rig.scheduler.now()
        rig.send_command("discovery", save=True)
        for disruption in sorted(self.scenario.troubles, key=lambda disruption: disruption.at_s):
            rig.scheduler.spawn(self._play, started_at + int(disruption.at_s * SECOND), disruption)
        rig.scheduler.sleep(int(self.scenario.seconds * SECOND))
        if self.scenario.agree and rig.shape.peers:
            self._check_agreement()
        rig.record("finish")

    def _check_agreement(self) -> None:
        """Waits until all live members have the same view, and records those that do not."""
        rig = self.rig
        live_names = sorted(name for name, running in rig.balancers.items() if running.alive)

        def differing_views() -> list[tuple[str, list[str]]]:
            views = [
                (
                    name,
                    sorted(
                        {
                            other
                            for other, state in rig.member_states(name).items()
                            if state == "alive"
                        }
                        | {name}
                    ),
                )
                for name in live_names
            ]
            return [(name, holds) for name, holds in views if holds != live_names]

        deadline = rig.scheduler.now() + int(AGREEMENT_SECONDS * SECOND)
        while differing_views() and rig.scheduler.now() < deadline:
            rig.sleep(0.1)
        rig.record("agreed")
        for name, holds in differing_views():
            rig.record("not agreed", by=name, holds=holds, lives=live_names)

    def _names(self, names: list[str]) -> list[str]:
        """Returns the full names of processes; `all` and `half` stand for balancers."""
        resolved: list[str] = []
        for name in names:
            if name == "all":
                resolved += sorted(self.rig.balancers)
            elif name == "half":
                resolved += sorted(self.rig.balancers)[::2]
            else:
                resolved.append(
                    f"s-{int(name[1:]):08x}" if name[0] == "s" and name[1:].isdigit() else name
                )
        return resolved

    def _play(self, at: int, disruption: Disruption) -> None:
        """Waits until a time and calls the method that is named after the disruption's kind."""
        rig = self.rig
        rig.scheduler.sleep(max(0, at - rig.scheduler.now()))
        who, to = self._names(disruption.who), self._names(disruption.to)
        getattr(self, "_" + disruption.kind.replace(" ", "_"))(disruption, who, to)

    def _after(self, disruption: Disruption, act: Callable[[], Any]) -> None:
        """Acts at the end of the disruption, unless it lasts until the end of the scenario."""
        if disruption.for_s:
            self.rig.sleep(disruption.for_s)
            act()

    def _kill(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        self.rig.kill(*who)
        self._after(disruption, lambda: self._start_again(who))

    def _start_again(self, who: list[str]) -> None:
        balancers = [name for name in who if name in self.rig.balancers]
        if balancers:
            self.rig.restart(*balancers)

    def _all_killed(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        self._kill(disruption, sorted(self.rig.balancers), to)

    def _wave(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        """Kills and restarts the balancers one after the other, spread over the duration."""
        for name in who:
            self.rig.kill(name)
            self.rig.sleep(disruption.for_s / len(who))
            self.rig.restart(name)

    def _flap(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        """Kills and restarts the balancers every second."""
        for _ in range(max(1, int(disruption.for_s))):
            self.rig.kill(*who)
            self.rig.restart(*who)
            self.rig.sleep(1.0)

    def _end(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        self.rig.terminate(*who)
        self._after(disruption, lambda: self._start_again(who))

    def _start(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        self.rig.restart(*who)

    _restart = _start

    def _stop(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        self.rig.suspend(*who)
        self._after(disruption, lambda: self.rig.resume(*who))

    def _links(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        pairs = self.rig.links_between(who, to, disruption.both)
        self.rig.apply_fault(pairs, disruption.fault.fault())
        self._after(disruption, lambda: self.rig.apply_fault(pairs, NO_FAULT))

    def _partition(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        """Drops everything between these balancers and all others, without closing connections."""
        others = [name for name in sorted(self.rig.balancers) if name not in who]
        pairs = self.rig.links_between(who, others)
        self.rig.apply_fault(pairs, Fault(there=False, back=False))
        self._after(disruption, lambda: self.rig.apply_fault(pairs, NO_FAULT))

    def _chain(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        """Leaves each balancer only the links to its neighbours in the order of their names."""
        names = sorted(self.rig.balancers)
        pairs = [
            (a, b) for at, a in enumerate(names) for b in names[: max(0, at - 1)] + names[at + 2 :]
        ]
        self.rig.apply_fault(pairs, Fault(there=False, back=False))
        self._after(disruption, lambda: self.rig.apply_fault(pairs, NO_FAULT))

    def _power_cut(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        """Cuts the power of balancers and of the servers in `to`, which start again first."""
        self.rig.cut_power(*who, *to)
        self.rig.sleep(max(0.1, disruption.for_s))
        for server in to:
            self.rig.start_server(server)
        self.rig.restart(*who)

    def _taken_out(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        for name in who:
            for server in to:
                self.rig.operator(name, server, disruption.kind == "taken out")

    _put_back = _taken_out

    def _disk(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        for name in who:
            self.rig.set_disk_faults(name, **disruption.plan)
        self._after(disruption, lambda: [self.rig.set_disk_faults(name) for name in who])

    def _old_list(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        """Makes discovery return to its list as of the start of the scenario."""
        self.rig.send_command("discovery", restore=True)

    def _clock(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        for name in who:
            self.rig.set_clock_offset(name, disruption.seconds)

    def _memory(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        """Limits a resource; balancers that ended because of it are restarted at the end."""

        def lift_limit() -> None:
            self.rig.limit_resource(disruption.kind, *who, over=True)
            self._start_again([name for name in who if not self.rig.balancers[name].alive])

        self.rig.limit_resource(disruption.kind, *who)
        self._after(disruption, lift_limit)

    _descriptors = _memory

    def _starts_fail(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        """Kills balancers and starts them until a start succeeds, as a process manager does."""
        self.rig.kill(*who)
        for name in who:
            self.rig.fail_next_starts(name, disruption.times)
            for _ in range(disruption.times + 1):
                self.rig.wait_until(lambda name=name: not self.rig.balancers[name].alive)
                self.rig.start(name)
                self.rig.sleep(0.3)
            self.rig.scheduler.spawn(self.rig._admit_when_ready, name)

    def _slow_start(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        """Kills balancers, and suspends them over and over while they start."""
        self.rig.kill(*who)
        self.rig.restart(*who)
        for _ in range(10):
            self.rig.suspend(*who)
            self.rig.sleep(disruption.for_s / 10)
            self.rig.resume(*who)
            self.rig.sleep(0.1)

    def _drain(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        for name in who:
            self.rig.send_command("discovery", mark=name, status="leaving")
        self._after(disruption, lambda: [self.rig.list_server(name) for name in who])

    def _cold_server(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        """Removes servers from the list, and lists them again as cold."""
        for name in who:
            self.rig.send_command("discovery", mark=name, status="left")
        self.rig.sleep(max(1.0, disruption.for_s))
        for name in who:
            self.rig.send_command(name, cold=True)
            self.rig.list_server(name, self.rig.scheduler.now() // MS)

    def _server_fails(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        for name in who:
            self.rig.send_command(name, fails=True)
        self._after(disruption, lambda: [self.rig.send_command(name, fails=False) for name in who])

    def _server_silent(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        for name in who:
            self.rig.send_command(name, silent=True)
        self._after(disruption, lambda: [self.rig.send_command(name, silent=False) for name in who])

    def _discovery_silent(self, disruption: Disruption, who: list[str], to: list[str]) -> None:
        self.rig.send_command("discovery", silent=True)
        self._after(disruption, lambda: self.rig.send_command("discovery", silent=False))


def run_scenario(
    scenario: Scenario,
    *,
    peers: bool = True,
    seed: int | None = None,
    mutants: dict[str, str] | None = None,
    show: Callable[[str], None] = lambda text: None,
) -> Rig:
    """Runs a scenario to its end and returns the rig with its events."""
    rig = Rig(scenario.shape(peers, seed), mutants, show)
    return rig.run(ScenarioRun(scenario, rig).conduct)


def encode_events(events: list[Event]) -> str:
    """Encodes events as JSON lines."""
    return "".join(
        msgspec.json.encode([event.at, event.source, event.what, event.fields]).decode() + "\n"
        for event in events
    )


def decode_events(text: str) -> list[Event]:
    """Decodes what `encode_events` returned."""
    return [Event(*msgspec.json.decode(line)) for line in text.splitlines()]
