"""A fleet in virtual time whose balancers' guards go by a count: of the settings, of membership, or of whom each hears.

Owns the tie between the emulated fleet and emulated members: who is killed there dies here, what stands there is held here. Must
never hold a decision: the module places, the core of membership counts.
"""

from __future__ import annotations

from random import Random
from typing import Any, Literal

from corklift.lab.clock import MS, SECOND
from corklift.lab.fleet import MAX_RETRY_AFTER, EmulatedBalancer, Fleet
from corklift.lab.peers import EmulatedNetwork, NetworkShape
from corklift.lab.scenario import Balancers, Disruption, Scenario, Servers, WorkloadTable
from corklift.policy import Balancer

STEP = 100 * MS  # at which the two worlds are brought together
CountSource = Literal["settings", "followed", "heard"]


def hard_day_scenario(balancers: int, seconds: float) -> Scenario:
    """A third of the balancers is killed at once and comes back, a zone of servers is lost and comes back cold, then a release."""
    return Scenario(
        name="counted",
        seconds=seconds,
        standing=1.0,
        servers=Servers(number=12, zones=3, size=120.0),
        balancers=Balancers(number=balancers),
        workloads=[WorkloadTable(name="plain", rate=90.0, hold_s=8.0)],
        troubles=[
            Disruption(kind="balancer killed", at_s=6.0, for_s=6.0, part=0.33),
            Disruption(kind="zone loss", at_s=13.0, for_s=3.0),
            Disruption(kind="release", at_s=22.0, for_s=8.0, part=0.5),
        ],
    )


class CountedFleet(Fleet):
    def __init__(
        self, scenario: Scenario, seed: int, way: CountSource, told: int, cut_s: tuple[float, float]
    ) -> None:
        """`told`: the settings' count; `cut_s`: from when to when a third of the balancers can't reach the others' calls."""
        self.way, self.told = way, told
        number = scenario.balancers.number
        self.members = EmulatedNetwork(NetworkShape(number, settled=True, told=told), seed)
        self._cut_s = cut_s
        self._wanted: dict[int, dict[str, Any]] = {}
        self._used: dict[int, int] = {}
        super().__init__(scenario, "module", seed)
        self.members.now = self.clock.now
        self.members.start()
        self.clock.call_later(STEP, self._together)

    def make_policy(self, seat: EmulatedBalancer) -> Any:
        given = self.scenario
        self._wanted[seat.number] = settings = dict(
            zone=seat.zone,
            balancers=self.told,
            workloads=self.workloads,
            per_work=False,
            cold=given.cold_rule(),
            max_hand_offs=given.balancers.max_hand_offs,
            cancel_allowed=True,
            max_retry_after=MAX_RETRY_AFTER,
            probes_allowed=True,
            ask_for_list=False,
            ask_within=10 * SECOND,
            grouped=False,
            weight_varies=False,
            memory=0,
            crossing_price=0.0,
            probe_price=0.0,
        )
        self._used.pop(seat.number, None)
        return Balancer(
            seat,
            Random(f"{self.seed}/{seat.number}/{seat.start_count}"),
            now=self.clock.now,
            **settings,
        )

    def _together(self) -> None:
        now, net = self.clock.now, self.members
        self.clock.call_later(STEP, self._together)
        since = (now - self.clock.started_at) / SECOND
        side = {seat.number for seat in self.balancers if seat.zone == 0}
        net.cut = (
            {
                (a.number, b.number)
                for a in self.balancers
                for b in self.balancers
                if (a.number in side) != (b.number in side)
            }
            if self._cut_s[0] <= since < self._cut_s[1]
            else set()
        )
        for seat, member in zip(self.balancers, net.members):
            if seat.alive and not member.alive:
                member.start()
            elif member.alive and not seat.alive:
                member.kill()
        net.run((now - net.now) / net.shape.period)
        servers = {str(box.number) for box in self.servers.values() if box.up}
        for seat, member in zip(self.balancers, net.members):
            if not seat.alive:
                continue
            member.set_connections(sum(way.connection is not None for way in seat.logins.values()))
            for box in self.servers.values():
                if box.up and (now // STEP + box.number + seat.number) % 10 == 0:
                    member.core.server_reported(now, str(box.number), len(box.connections), servers)
            uses = {
                "settings": self.told,
                "followed": member.count_in_use,
                "heard": 1 + len(member.core.live_members),
            }[self.way]
            if self._used.get(seat.number, self.told) != uses:
                seat.policy.settings_changed(now, **self._wanted[seat.number] | {"balancers": uses})
            self._used[seat.number] = uses


def run_hard_day(
    seed: int, way: CountSource, told: int, balancers: int, seconds: float = 34.0
) -> tuple[int, float]:
    """Servers that were pushed over, and what clients got."""
    fleet = CountedFleet(hard_day_scenario(balancers, seconds), seed, way, told, (10.0, 30.0))
    fleet.run()
    return fleet.rules.violation_counts[4], fleet.service
