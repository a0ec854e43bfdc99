"""Tests of `Balancer.draw_probabilities`.

They must equal the probabilities of `pick`, and never exceed what a cold server can take.
"""

from collections import Counter
from random import Random

import pytest
from harness import MS, PolicyHarness

from corklift.interface import (
    ColdRule,
    ListedServer,
    Login,
    Outcome,
    Report,
    Scope,
    Status,
    Workload,
)
from corklift.policy import Balancer
from corklift.records import LoginState

SECOND = 1000 * MS
LOGIN = Login(0, 0, 0, 0, 10**18, None, 0)


def listed(server, zone=0, weight=1.0, started_at=0, status=Status.READY) -> ListedServer:
    return ListedServer(server, zone, 0, 0, status, weight, started_at)


def random_scene(seed: int) -> PolicyHarness:
    """A random scene: servers of several zones and sizes, some cold, full, failing or silent."""
    rng = Random(seed)
    harness = PolicyHarness(
        seed,
        cold=ColdRule(0.3, 9000 * MS, 3.0, 1000 * MS),
        balancers=rng.choice((1, 3, 40)),
        crossing_price=rng.choice((0.0, 0.5)),
        workloads=[
            Workload("high", 4.0, 800 * MS, 3200 * MS),
            Workload("low", 1.0, 800 * MS, 3200 * MS),
        ],
        per_work=rng.random() < 0.5,
        probes_allowed=False,
    )
    balancer = harness.balancer
    harness.now += 20 * SECOND
    number = rng.randint(1, 12)
    lines = [
        listed(
            server,
            zone=rng.randint(0, 1),
            weight=rng.choice((1.0, 2.0)),
            started_at=harness.now - rng.choice((200, 3000, 60_000)) * MS,
        )
        for server in range(1, number + 1)
    ]
    balancer.servers_listed(harness.now, Scope.FULL, 1, lines)
    for server in range(1, number + 1):
        if rng.random() < 0.85:
            busy = rng.choice((0.1, 0.4, 0.65, 0.75, 0.95))
            balancer.probe_answered(
                harness.now,
                server,
                0,
                Outcome.FULFILLED,
                Report(rng.randint(0, 60), busy if rng.random() < 0.7 else None),
            )
    for login in range(1, rng.randint(1, 20)):
        balancer.login_arrived(
            harness.now, Login(login, rng.randint(0, 1), 0, 0, harness.now + 3 * SECOND, None, 0)
        )
        if harness.hand_offs and rng.random() < 0.3:
            balancer.hand_off_ended(
                harness.now,
                login,
                False,
                harness.hand_offs[-1][1],
                rng.choice((Outcome.ERROR, Outcome.FULL)),
                0,
                0,
                None,
            )
        harness.now += rng.randint(0, 300) * MS
    return harness


@pytest.mark.parametrize("seed", range(40))
def test_draw_probabilities_equal_those_of_pick(seed):
    harness, drawn, draws = random_scene(seed), Counter(), 3000
    probabilities = harness.balancer.draw_probabilities(harness.now, seed % 2)
    again = harness.balancer.draw_probabilities(harness.now, seed % 2)
    draw = harness.balancer._draw
    for _ in range(draws):
        server = draw.pick(
            harness.now,
            LoginState(
                LOGIN._replace(workload=seed % 2), 1.0, harness.balancer._workloads[seed % 2]
            ),
            lambda server: True,
        )
        drawn[server.id if server else None] += 1
    refused = 1.0 - sum(probabilities.values())
    difference = sum(
        abs(probabilities.get(server, 0.0) - drawn[server] / draws)
        for server in {*probabilities, *drawn} - {None}
    )
    assert difference + abs(refused - drawn[None] / draws) < 0.1
    assert all(probabilities.get(server, 0.0) > 0 for server in drawn if server is not None)
    # Calling it changes nothing.
    assert again == probabilities == harness.balancer.draw_probabilities(harness.now, seed % 2)


def test_draining_and_gone_servers_have_no_probability():
    harness = PolicyHarness(probes_allowed=False)
    harness.balancer.servers_listed(harness.now, Scope.FULL, 1, [listed(1), listed(2), listed(3)])
    assert harness.balancer.draw_probabilities(harness.now, 0) == pytest.approx(
        {1: 1 / 3, 2: 1 / 3, 3: 1 / 3}
    )
    harness.balancer.servers_listed(
        harness.now,
        Scope.DELTA,
        2,
        [listed(1, status=Status.DRAINING), listed(2, status=Status.GONE)],
    )
    assert harness.balancer.draw_probabilities(harness.now, 0) == {3: 1.0}


def test_external_placements_count_until_a_report_includes_them():
    harness = PolicyHarness(probes_allowed=False, balancers=1)
    balancer = harness.balancer
    balancer.servers_listed(harness.now, Scope.FULL, 1, [listed(1), listed(2)])
    for server in (1, 2):
        balancer.probe_answered(harness.now, server, 0, Outcome.FULFILLED, Report(9))
    assert balancer.draw_probabilities(harness.now, 0) == pytest.approx({1: 0.5, 2: 0.5})
    balancer.placed_by_others(harness.now, 1, 10, 0)
    assert balancer.draw_probabilities(harness.now, 0) == pytest.approx({1: 1 / 3, 2: 2 / 3})
    harness.now += 1200 * MS
    balancer.probe_answered(harness.now, 1, 0, Outcome.FULFILLED, Report(19))
    assert balancer.draw_probabilities(harness.now, 0) == pytest.approx({1: 1 / 3, 2: 2 / 3})
    # A server that is no longer listed is ignored.
    balancer.placed_by_others(harness.now, 99, 5, 5)


def test_a_server_that_fails_all_external_logins_is_excluded_until_one_trial_login():
    harness = PolicyHarness(probes_allowed=False, balancers=1)
    balancer = harness.balancer
    balancer.servers_listed(harness.now, Scope.FULL, 1, [listed(1), listed(2)])
    for server in (1, 2):
        balancer.probe_answered(harness.now, server, 0, Outcome.FULFILLED, Report(5))
    balancer.placed_by_others(harness.now, 2, 600, 0)
    balancer.placed_by_others(harness.now, 1, 3, 3)
    balancer.placed_by_others(harness.now, 1, 3, 3)
    assert set(balancer.draw_probabilities(harness.now, 0, SECOND)) == {2}
    harness.now += 2700 * MS
    for server in (1, 2):
        balancer.probe_answered(harness.now, server, 0, Outcome.FULFILLED, Report(5))
    logins = balancer._probe_budget.login_rate(harness.now)
    assert balancer.draw_probabilities(harness.now, 0, SECOND)[1] * logins <= 1.0 + 1e-9
    balancer.placed_by_others(harness.now, 1, 1, 0)
    assert balancer.draw_probabilities(harness.now, 0, SECOND)[1] > 0.2


@pytest.mark.parametrize("rate", [0, 20, 400])
def test_a_cold_server_gets_no_more_than_its_budget_in_a_span(rate):
    # Hundreds of proxies use the same probabilities for a second: the sum of what they place is
    # bounded, not the part of each.
    rule = ColdRule(0.3, 9000 * MS, 3.0, 1000 * MS)
    harness = PolicyHarness(probes_allowed=False, balancers=1, cold=rule)
    balancer: Balancer = harness.balancer
    harness.now += 100 * SECOND
    servers = [listed(server, started_at=1) for server in range(1, 10)]
    balancer.servers_listed(
        harness.now, Scope.FULL, 1, servers + [listed(10, started_at=harness.now)]
    )
    # How many connections fill a server.
    capacity = 100
    for second in range(12):
        for server in range(1, 10):
            balancer.probe_answered(harness.now, server, 0, Outcome.FULFILLED, Report(50, 0.5))
        balancer.probe_answered(harness.now, 10, 0, Outcome.FULFILLED, Report(0, 0.0))
        probabilities = balancer.draw_probabilities(harness.now, 0, SECOND)
        assert sum(probabilities.values()) == pytest.approx(1.0)
        unbounded = balancer.draw_probabilities(harness.now, 0)
        # The logins per second that the cold server can take.
        max_logins = rule.multiple * capacity / 9 * min(1.0, 0.3 + 0.7 * second / 9)
        if second < 9:
            assert probabilities[10] <= 0.3 * (0.3 + 0.7 * second / 9) + 1e-9
            assert second < 2 or probabilities[10] * rate <= max_logins
        for server, probability in probabilities.items():
            balancer.placed_by_others(harness.now, server, round(rate * probability), 0)
        harness.now += SECOND
        assert unbounded.get(10, 0.0) == 0.0 or probabilities[10] <= unbounded[10] + 1e-9
    # Once the server is warm, the probabilities are those of the draw again.
    assert balancer.draw_probabilities(harness.now, 0, SECOND) == pytest.approx(
        balancer.draw_probabilities(harness.now, 0)
    )


def test_a_full_fleet_is_rejected_and_a_fleet_that_starts_at_once_is_used():
    harness = PolicyHarness(probes_allowed=False, balancers=1)
    harness.balancer.servers_listed(harness.now, Scope.FULL, 1, [listed(1), listed(2)])
    for server in (1, 2):
        harness.balancer.probe_answered(harness.now, server, 0, Outcome.FULFILLED, Report(50, 0.99))
    assert harness.balancer.draw_probabilities(harness.now, 0, SECOND) == {}
    harness = PolicyHarness(probes_allowed=False, balancers=1)
    harness.balancer.servers_listed(
        harness.now, Scope.FULL, 1, [listed(n, started_at=harness.now) for n in (1, 2, 3)]
    )
    assert sum(
        harness.balancer.draw_probabilities(harness.now, 0, SECOND).values()
    ) == pytest.approx(1.0)
