"""Logins that wait for a cold server's report at the same time keep to its budget together."""

import pytest
from harness import MS, PolicyHarness

from corklift.interface import Outcome, Report, Scope
from corklift.policy.groups import group_rank

SERVERS = 12
COLD = SERVERS + 1


def harness_with_cold_server(**settings) -> PolicyHarness:
    """A subset of the servers is probed, so that logins wait for reports; one server is cold."""
    harness = PolicyHarness(grouped=True, balancers=2 * SERVERS, probe_price=0.01, **settings)
    harness.list_servers(*range(1, SERVERS + 1))
    harness.auto = dict.fromkeys(range(1, SERVERS + 1), Report(count=400, pressure=0.4))
    harness.run(1500)
    for server, report in harness.auto.items():  # so that the size of a server is known
        harness.balancer.probe_answered(harness.now, server, MS, Outcome.FULFILLED, report)
    harness.run(3000)
    harness.list_servers(COLD, scope=Scope.DELTA, started_at=harness.now)
    assert harness.balancer._load_reports.probes_subset
    return harness


def group_at_home_on(harness: PolicyHarness, server_id: int) -> int:
    """Returns a group whose first server is the given one."""
    servers = harness.balancer._registry.ready
    return next(
        group
        for group in range(1, 100_000)
        if min(servers, key=lambda server: group_rank(group, server)).id == server_id
    )


# Each waiting login had looked at the budget before it waited: all were placed on the cold server.
@pytest.mark.parametrize("logins", [2, 10, 40])
def test_waiting_logins_share_the_budget_of_a_cold_server(logins):
    harness = harness_with_cold_server()
    group = group_at_home_on(harness, COLD)
    for number in range(1, logins + 1):
        harness.login(number, group=group)
    assert COLD in harness.pending_probes and not harness.hand_offs
    balancer = harness.balancer
    cold = balancer._registry.servers[COLD]
    _, budget = balancer._cold_budget._budget(harness.now, cold)
    harness.auto[COLD] = Report(count=0, pressure=0.05)
    while harness.pending_probes:
        server = harness.pending_probes.pop()
        balancer.probe_answered(harness.now, server, MS, Outcome.FULFILLED, harness.auto[server])
    placed = sum(server == COLD for _, server in harness.hand_offs)
    assert placed <= max(1.0, budget) + 1e-9
    assert placed and len(harness.hand_offs) == logins
