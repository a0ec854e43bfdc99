"""An emulated fleet whose balancers learn from emulated membership how many of them there are.

Each balancer's guards depend on the number of balancers. This number comes from the settings, from
the count that membership keeps, or from the members that a balancer currently sees as alive. The
emulated members follow the emulated fleet: they start and die with its balancers and report its
connections. Placement is decided by the decision module, and counting by the membership core.
"""

from __future__ import annotations

from random import Random
from typing import Any, Literal

from corklift.lab.clock import MS, SECOND
from corklift.lab.fleet import MAX_RETRY_AFTER, EmulatedBalancer, Fleet
from corklift.lab.peers import EmulatedNetwork, NetworkShape
from corklift.lab.scenario import Balancers, Disruption, Scenario, Servers, WorkloadTable
from corklift.policy import Balancer

# Between two synchronisations of the emulated fleet and the emulated members.
SYNC_INTERVAL = 100 * MS
CountSource = Literal["settings", "followed", "heard"]


def hard_day_scenario(balancers: int, seconds: float) -> Scenario:
    """Returns a scenario that strains the guards.

    A third of the balancers is killed at once and comes back, a zone of servers is lost and comes
    back cold, and a release restarts half of the servers.
    """
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
    """A fleet with emulated membership."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        count_source: CountSource,
        configured_count: int,
        cut_window_s: tuple[float, float],
    ) -> None:
        """Builds the fleet and its members.

        Args:
            count_source: where the balancers take their count from.
            configured_count: the number of balancers in the settings, which may be wrong.
            cut_window_s: from when to when the members of zone 0 and the others are partitioned.
        """
        self.count_source, self.configured_count = count_source, configured_count
        balancers = scenario.balancers.number
        self.network = EmulatedNetwork(
            NetworkShape(balancers, settled=True, told=configured_count), seed
        )
        self._cut_window_s = cut_window_s
        self._settings: dict[int, dict[str, Any]] = {}
        self._applied_counts: dict[int, int] = {}
        super().__init__(scenario, "module", seed)
        self.network.now = self.clock.now
        self.network.start()
        self.clock.call_later(SYNC_INTERVAL, self._synchronise)

    def make_policy(self, balancer: EmulatedBalancer) -> Any:
        scenario = self.scenario
        self._settings[balancer.number] = settings = dict(
            zone=balancer.zone,
            balancers=self.configured_count,
            workloads=self.workloads,
            per_work=False,
            cold=scenario.cold_rule(),
            max_hand_offs=scenario.balancers.max_hand_offs,
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
        self._applied_counts.pop(balancer.number, None)
        return Balancer(
            balancer,
            Random(f"{self.seed}/{balancer.number}/{balancer.start_count}"),
            now=self.clock.now,
            **settings,
        )

    def _synchronise(self) -> None:
        now, network = self.clock.now, self.network
        self.clock.call_later(SYNC_INTERVAL, self._synchronise)
        elapsed_s = (now - self.clock.started_at) / SECOND
        cut_members = {balancer.number for balancer in self.balancers if balancer.zone == 0}
        network.cut = (
            {
                (one.number, other.number)
                for one in self.balancers
                for other in self.balancers
                if (one.number in cut_members) != (other.number in cut_members)
            }
            if self._cut_window_s[0] <= elapsed_s < self._cut_window_s[1]
            else set()
        )
        for balancer, member in zip(self.balancers, network.members):
            if balancer.alive and not member.alive:
                member.start()
            elif member.alive and not balancer.alive:
                member.kill()
        network.run((now - network.now) / network.shape.period)
        servers_up = {str(server.number) for server in self.servers.values() if server.up}
        for balancer, member in zip(self.balancers, network.members):
            if not balancer.alive:
                continue
            member.set_connections(
                sum(login_state.connection is not None for login_state in balancer.logins.values())
            )
            for server in self.servers.values():
                if server.up and (now // SYNC_INTERVAL + server.number + balancer.number) % 10 == 0:
                    member.core.server_reported(
                        now, str(server.number), len(server.connections), servers_up
                    )
            count = {
                "settings": self.configured_count,
                "followed": member.count_in_use,
                "heard": 1 + len(member.core.live_members),
            }[self.count_source]
            if self._applied_counts.get(balancer.number, self.configured_count) != count:
                balancer.policy.settings_changed(
                    now, **self._settings[balancer.number] | {"balancers": count}
                )
            self._applied_counts[balancer.number] = count


def run_hard_day(
    seed: int,
    count_source: CountSource,
    configured_count: int,
    balancers: int,
    seconds: float = 34.0,
) -> tuple[int, float]:
    """Returns the number of servers that failed while cold, and the service."""
    fleet = CountedFleet(
        hard_day_scenario(balancers, seconds), seed, count_source, configured_count, (10.0, 30.0)
    )
    fleet.run()
    return fleet.rules.violation_counts[4], fleet.service
