"""The weights of cold servers, by figures in virtual time: no proxy connects, no clock runs.

The control service's own update step publishes the weights. `VirtualFleet` places and reports
logins by them, each at the time that the test says.
"""

from collections import Counter
from random import Random

import pytest
from envoy.config.endpoint.v3 import load_report_pb2
from fleet import CONFIG

from corklift.control.config import PROXY_DRAW_FRACTION, parse_config
from corklift.control.program import UPDATE_INTERVAL, Program
from corklift.control.resources import DROP_CATEGORY
from corklift.control.weights import (
    TOTAL_WEIGHT,
    UnreportedGrants,
    WeightPublisher,
    WeightSettings,
)
from corklift.interface import Outcome, Scope, Status
from corklift.net.limits import MS, SECOND
from corklift.net.parsers import Listing, ServerEntry, server_id

STEP = 10 * MS
MULTIPLE = 3.0
COLD_TABLE = "\n[cold]\nstart_share = 0.3\nramp_ms = %d\nmultiple = 3.0\n"


class VirtualFleet:
    """A control service, its servers and its proxies, in steps of virtual time.

    Proxies apply new weights `apply_delay` after they are published. Each of them reports its
    logins every `report_interval`; a report arrives `report_delay` later. With a seed, proxies draw
    at random, otherwise in exact proportion to the weights.
    """

    def __init__(
        self,
        weights_ms=500,
        login_rate=120,
        apply_delay=0,
        report_interval=200 * MS,
        report_delay=0,
        proxies=20,
        seed=None,
        size=100,
        ramp=4 * SECOND,
    ):
        self.now = 1_000 * SECOND
        self.login_rate, self.apply_delay, self.report_interval, self.report_delay = (
            login_rate,
            apply_delay,
            report_interval,
            report_delay,
        )
        self.size, self.ramp = size, ramp  # connections that fill a server; its warm-up time
        table = COLD_TABLE % (ramp // MS)
        text = CONFIG.replace("every_ms = 200", f"every_ms = {report_interval // MS}")
        text = text % (1, "", f"{table}[weights]\nevery_ms = {weights_ms}")
        self.program = Program(parse_config(text.encode()), now=lambda: self.now)
        self.program.server._listener.close()  # nobody connects
        self.rng = None if seed is None else Random(seed)
        self.servers = [f"s{number}" for number in range(1, 6)]
        self.utilisation = dict.fromkeys(self.servers, 0.4)
        self.views = []  # (when proxies apply it, weights), oldest first
        self.exact_parts = Counter()  # fractions of logins, without a seed
        self.unreported = [Counter() for _ in range(proxies)]
        self.reports = []  # (when it arrives, server, count)
        self.placed = []  # (at, server)
        self.arrived = 0
        self.list_servers({name: 1 for name in self.servers})

    def list_servers(self, started_at, status=Status.READY):
        entries = tuple(
            ServerEntry(name, ("127.0.0.1", 1), "", "", 0, status, 1.0, at)
            for name, at in started_at.items()
        )
        self.program.apply_listing(Scope.DELTA, Listing(1, False, entries, 0))

    def restart(self, name):
        self.list_servers({name: self.now})
        self.utilisation[name] = 0.0

    def probe(self):
        facade = self.program.facade
        for name in self.servers:
            values = {"inflight": self.size * self.utilisation[name], "x0": self.utilisation[name]}
            facade.probe_finished(server_id(name), Outcome.FULFILLED, MS, values)
        facade._probe_queue.clear()

    def published(self):
        return self.program.weights.published.get("plain")

    def run(self, duration):
        until = self.now + duration
        while self.now < until:
            if self.now % SECOND == 0:
                self.probe()
            if self.now % UPDATE_INTERVAL == 0:
                self.program._update_weights(self.now)
            view = self.published()
            if view is not None and (not self.views or self.views[-1][1] != view):
                self.views.append((self.now + self.apply_delay, view))
            self._place()
            self._report()
            self.now += STEP

    def _place(self):
        view = next((view for at, view in reversed(self.views) if at <= self.now), None)
        due = (self.now % SECOND + STEP) * self.login_rate // SECOND
        due -= self.now % SECOND * self.login_rate // SECOND
        for _ in range(due if view is not None else 0):
            server = self._draw(view)
            proxy = self.unreported[self.arrived % len(self.unreported)]
            self.arrived += 1
            proxy[server] += 1
            if server is not None:
                self.placed.append((self.now, server))

    def _draw(self, view):
        if not view.weights:
            return None
        names = [*view.weights, None]
        kept, total = TOTAL_WEIGHT - view.dropped, sum(view.weights.values())
        shares = [weight / total * kept / TOTAL_WEIGHT for weight in view.weights.values()]
        shares.append(view.dropped / TOTAL_WEIGHT)
        if self.rng is not None:
            return self.rng.choices(names, shares)[0]
        self.exact_parts.update(dict(zip(names, shares, strict=True)))
        name = max(names, key=lambda name: self.exact_parts[name])
        self.exact_parts[name] -= 1
        return name

    def _report(self):
        for number, counts in enumerate(self.unreported):
            phase = number * self.report_interval // len(self.unreported) // STEP * STEP
            if (self.now - phase) % self.report_interval == 0 and counts:
                self.reports += [
                    (self.now + self.report_delay, server, count)
                    for server, count in counts.items()
                ]
                counts.clear()
        arrived = [report for report in self.reports if report[0] <= self.now]
        self.reports = [report for report in self.reports if report[0] > self.now]
        for _, server, count in arrived:
            stats = load_report_pb2.ClusterStats(cluster_name="plain")
            if server is None:
                stats.dropped_requests.add(category=DROP_CATEGORY, dropped_count=count)
            else:
                locality = stats.upstream_locality_stats.add(total_issued_requests=count)
                locality.locality.sub_zone = server
            self.program.service._record_report(stats)

    def bearable(self, age):
        """The logins that a cold server bears in a second, this long after its start."""
        warm_share = 0.3 + 0.7 * min(1.0, age / self.ramp)
        return MULTIPLE * warm_share * self.size * SECOND / self.ramp

    def worst_second(self, server, restarted_at):
        """The largest share of what the cold server bears that was placed there in one second."""
        times = [at for at, name in self.placed if name == server and at >= restarted_at]
        assert times, "the cold server is offered to no proxy"
        return max(
            sum(at - SECOND < other <= at for other in times) / self.bearable(at - restarted_at)
            for at in times
        )


def play_restart(**options):
    """A server leaves and returns cold under load; returns the fleet and the worst second."""
    fleet = VirtualFleet(**options)
    fleet.run(3500 * MS)
    fleet.list_servers({"s1": 1}, Status.DRAINING)
    fleet.run(1200 * MS)
    restarted_at = fleet.now
    fleet.restart("s1")
    fleet.run(4 * SECOND)
    assert "exceptions" not in fleet.program.counters
    return fleet, fleet.worst_second("s1", restarted_at)


def test_if_nothing_may_be_sent_to_the_only_candidate_all_logins_are_dropped():
    fleet = VirtualFleet()
    fleet.utilisation = dict.fromkeys(fleet.servers, 0.99)
    fleet.run(3 * SECOND)
    fleet.restart("s1")
    # Proxies report more on the cold server, the only one that is not full, than it bears.
    fleet.program.record_placements("plain", "s1", 600, 0)
    for _ in range(20):
        fleet.run(50 * MS)
        assert fleet.published().dropped == TOTAL_WEIGHT
    assert "exceptions" not in fleet.program.counters
    publisher = WeightPublisher(WeightSettings(interval=SECOND, dead_band=0.05))
    assert publisher.publish(0, "w", {"a": 0.0}, ["a", "b"])
    assert publisher.published["w"] == ({"a": 5000, "b": 5000}, TOTAL_WEIGHT)


SCENES = [  # how fast the logins come, how large servers are, and how slowly they warm up
    dict(login_rate=120, size=100, ramp=4 * SECOND),
    dict(login_rate=600, size=1000, ramp=40 * SECOND),
    dict(login_rate=1000, size=1000, ramp=20 * SECOND),
]


@pytest.mark.parametrize("scene", SCENES)
@pytest.mark.parametrize("report_interval", [200 * MS, 500 * MS])
@pytest.mark.parametrize("report_delay", [0, 300 * MS, 600 * MS])
def test_what_was_given_out_is_not_given_out_again_before_its_report(
    scene, report_interval, report_delay
):
    # The proxies draw in exact proportion, so what they place is what the weights gave out.
    _, worst = play_restart(**scene, report_interval=report_interval, report_delay=report_delay)
    assert worst <= PROXY_DRAW_FRACTION


@pytest.mark.parametrize("apply_delay", [0, 300 * MS])
@pytest.mark.parametrize("seed", range(8))
def test_proxies_that_draw_at_random_and_apply_late_stay_below_what_a_cold_server_bears(
    seed, apply_delay
):
    _, worst = play_restart(seed=seed, apply_delay=apply_delay, proxies=200)
    assert worst <= 1.0


@pytest.mark.parametrize("login_rate", [120, 1000])
def test_logins_that_proxies_turn_away_count_in_the_rate_that_a_cold_server_is_offered(login_rate):
    fleet = VirtualFleet(login_rate=login_rate)
    fleet.utilisation = dict.fromkeys(fleet.servers, 0.99)
    fleet.run(40 * SECOND)  # the fleet is full; nothing has been placed for a long time
    assert fleet.published().dropped == TOTAL_WEIGHT
    restarted_at = fleet.now
    fleet.restart("s1")
    fleet.run(4 * SECOND)
    assert fleet.worst_second("s1", restarted_at) <= PROXY_DRAW_FRACTION


def test_turned_away_logins_count_in_what_was_given_out():
    fleet = VirtualFleet(login_rate=1000)
    fleet.utilisation = dict.fromkeys(fleet.servers, 0.99)
    fleet.run(5 * SECOND)
    restarted_at = fleet.now
    fleet.restart("s1")
    fleet.report_delay = 10 * SECOND  # from now on, no report comes
    fleet.run(500 * MS)
    placed = sum(name == "s1" and at >= restarted_at for at, name in fleet.placed)
    # The last reports tell the rate, which is counted over a second.
    assert 0 < placed / 2 <= fleet.program.grants.outstanding(fleet.now, "s1") <= placed + 1


def test_the_next_weights_do_not_wait_if_the_only_candidate_drains():
    fleet = VirtualFleet(weights_ms=60_000)
    fleet.utilisation |= {name: 0.8 for name in fleet.servers[1:]}
    fleet.run(SECOND)
    assert set(fleet.published().weights) == {"s1"}
    fleet.list_servers({"s1": 1}, Status.DRAINING)
    fleet.run(UPDATE_INTERVAL + STEP)
    assert set(fleet.published().weights) == set(fleet.servers[1:])


def test_nothing_is_held_for_a_server_that_drains():
    fleet = VirtualFleet()
    fleet.run(3 * SECOND)
    fleet.restart("s1")
    fleet.report_delay = 10 * SECOND  # from now on, no report comes
    fleet.run(800 * MS)
    assert fleet.program.grants.outstanding(fleet.now, "s1") > 1
    fleet.list_servers({"s1": 1}, Status.DRAINING)
    assert fleet.program.grants.outstanding(fleet.now, "s1") == 0


def grants_after_one_second():
    """Returns 100 logins a second, a tenth of them granted to one cold server since a second."""
    grants = UnreportedGrants(span=2 * SECOND, report_interval=SECOND)
    for tenth in range(11):
        grants.record_arrivals(tenth * SECOND // 10, "w", 10)
    grants.publish(SECOND, "w", {"cold": 0.1})
    for tenth in range(11, 21):
        grants.record_arrivals(tenth * SECOND // 10, "w", 10)
    return grants


def test_a_grant_is_held_until_its_report_or_for_a_span():
    grants = grants_after_one_second()
    held = grants.outstanding(2 * SECOND, "cold")
    assert held == pytest.approx(10, rel=0.11)
    assert grants.outstanding(2 * SECOND, "other") == 0
    grants.record_report(2 * SECOND, "w", "cold", 4)
    assert grants.outstanding(2 * SECOND, "cold") == pytest.approx(held - 4)
    # The oldest grants are those that were reported; the others are over a span after they began.
    grants.publish(2 * SECOND, "w", {})
    assert grants.outstanding(3 * SECOND, "cold") == pytest.approx(held - 4)
    assert grants.outstanding(3500 * MS, "cold") == pytest.approx((held - 4) * 5 / 6, rel=0.11)
    assert grants.outstanding(4100 * MS, "cold") == 0
    # More than was granted is reported: nothing is held, and nothing is owed.
    grants.record_report(5 * SECOND, "w", "cold", 40)
    grants.publish(5 * SECOND, "w", {"cold": 0.1})
    assert grants.outstanding(5100 * MS, "cold") > 0


def test_what_is_held_goes_to_the_others_or_is_refused():
    now, grants = 2 * SECOND, grants_after_one_second()
    held = grants.outstanding(now, "cold") / 100  # as a share of the next logins
    reduced = grants.reduce(now, SECOND, {"cold": 0.2, "a": 0.6, "b": 0.2}, {"cold"})
    assert reduced["cold"] == pytest.approx(0.2 - held)
    assert sum(reduced.values()) == pytest.approx(1.0)
    assert reduced["a"] == pytest.approx(3 * reduced["b"])
    reduced = grants.reduce(now, SECOND, {"cold": 0.05, "a": 0.95}, {"cold"})
    assert reduced == pytest.approx({"cold": 0.0, "a": 1.0})
    # Nobody else can take it.
    assert grants.reduce(now, SECOND, {"cold": 0.2}, {"cold"}) == pytest.approx(
        {"cold": 0.2 - held}
    )
    # A fleet that is cold as a whole and refuses nothing goes on so.
    whole = {"cold": 0.5, "colder": 0.5}
    assert grants.reduce(now, SECOND, whole, {"cold", "colder"}) == whole
    grants.forget("cold")
    assert grants.outstanding(now, "cold") == grants.outstanding(now + SECOND, "cold") == 0
