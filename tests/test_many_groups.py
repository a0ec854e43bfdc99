"""Clients of ever new groups: the memory of what is remembered for each group is bounded."""

import json
import tracemalloc

import pytest
from harness import MS, PolicyHarness

from corklift.interface import Login, Outcome, Report
from corklift.policy.draw import MAX_ORDER_ENTRIES
from corklift.policy.groups import MAX_REMEMBERED_HOMES, GroupHomes

SERVERS = 60
GROUPS = 12_000
# Far less than one kB for each group that was seen.
MEMORY_BOUND = 4 << 20


def answer_probes(harness: PolicyHarness) -> None:
    while harness.pending_probes:
        server = harness.pending_probes.pop()
        harness.balancer.probe_answered(
            harness.now, server, MS, Outcome.FULFILLED, harness.auto[server]
        )


def logins_of_new_groups(harness: PolicyHarness, groups: range) -> None:
    """Each login is of another group; its connection opens and ends at once."""
    for number in groups:
        harness.run(1)
        login = Login(number, 0, 0, 0, harness.now + 3200 * MS, None, 1 + number)
        harness.hand_offs.clear()
        harness.balancer.login_arrived(harness.now, login)
        answer_probes(harness)
        for _, server in harness.hand_offs:
            harness.balancer.hand_off_started(harness.now, number, 0, server, MS)
            harness.balancer.hand_off_ended(
                harness.now, number, True, server, Outcome.FULFILLED, 0, MS, None
            )
        harness.trace.clear()


# Bad clients with a new group in each line filled the memory: each left the order in which that
# group tries the servers, and its last server.
@pytest.mark.parametrize("subset", [False, True], ids=["all probed", "subset probed"])
def test_memory_stays_bounded_over_many_groups(subset):
    changes = {"balancers": SERVERS + 30, "probe_price": 0.01} if subset else {}
    harness = PolicyHarness(grouped=True, **changes)
    harness.list_servers(*range(1, SERVERS + 1))
    harness.auto = dict.fromkeys(range(1, SERVERS + 1), Report(count=3, pressure=0.2))
    harness.run(1500)
    assert harness.balancer._load_reports.probes_subset is subset
    logins_of_new_groups(harness, range(1, 200))
    tracemalloc.start()
    try:
        logins_of_new_groups(harness, range(200, GROUPS))
        assert tracemalloc.get_traced_memory()[0] < MEMORY_BOUND
    finally:
        tracemalloc.stop()
    assert len(json.dumps(harness.balancer.export_learned_state(harness.now))) < 1 << 20


def test_latest_homes_are_remembered_in_the_order_of_their_connections():
    homes = GroupHomes(None, None)
    for group in range(1, 3 * MAX_REMEMBERED_HOMES):
        homes.remember_home(group, group % 7)
        homes.remember_home(1, 5)  # a group that comes again and again
    assert homes.last_homes[1] == 5
    latest = range(2 * MAX_REMEMBERED_HOMES, 3 * MAX_REMEMBERED_HOMES)
    assert all(homes.last_homes[group] == group % 7 for group in latest)
    assert MAX_REMEMBERED_HOMES <= len(homes.last_homes) <= 2 * MAX_REMEMBERED_HOMES


def test_order_of_a_group_is_the_same_after_it_was_forgotten():
    harness = PolicyHarness(grouped=True, balancers=SERVERS + 30, probe_price=0.01)
    harness.list_servers(*range(1, SERVERS + 1))
    harness.auto = dict.fromkeys(range(1, SERVERS + 1), Report(count=3, pressure=0.2))
    harness.run(1500)
    draw = harness.balancer._draw
    logins_of_new_groups(harness, range(6, 7))
    order = draw._server_orders[7, False]
    logins_of_new_groups(harness, range(10, 10 + 2 * MAX_ORDER_ENTRIES // SERVERS))
    assert (7, False) not in draw._server_orders
    logins_of_new_groups(harness, range(6, 7))
    assert draw._server_orders[7, False] == order
