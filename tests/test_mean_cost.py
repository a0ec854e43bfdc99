"""The load of a login relative to the mean: untrue costs move it within bounds, for a while."""

from random import Random

import pytest
from harness import MS

from corklift.net.parsers import MAX_NUMBER
from corklift.policy.constants import SECOND
from corklift.policy.mean_cost import GENERATION_TIME, MAX_RELATIVE_LOAD, MeanCost

COST_UNIT = 1000  # clients state µs, the decisions take ns
USUAL = 2000.0 * COST_UNIT


class Logins:
    """Usual logins, four a second, of one balancer."""

    def __init__(self) -> None:
        self.now, self.mean_cost = 0, MeanCost(0)

    def usual(self, seconds: int) -> list[float]:
        loads = []
        for _ in range(4 * seconds):
            self.now += 250 * MS
            loads.append(self.mean_cost.relative_load(self.now, USUAL))
        return loads


# One client that stated 1e300 made the loads of all later logins nearly nothing until the end.
@pytest.mark.parametrize("stated", [MAX_NUMBER * COST_UNIT, 1e-300], ids=["huge", "tiny"])
@pytest.mark.parametrize("count", [1, 10_000])
def test_untrue_costs_are_bounded_and_forgotten(stated, count):
    logins = Logins()
    before = logins.usual(40)
    assert before == pytest.approx([1.0] * len(before))
    for _ in range(count):
        load = logins.mean_cost.relative_load(logins.now, stated)
        assert 1 / MAX_RELATIVE_LOAD <= load <= MAX_RELATIVE_LOAD
    loads = logins.usual(4 * GENERATION_TIME // SECOND)
    assert all(1 / MAX_RELATIVE_LOAD <= load <= MAX_RELATIVE_LOAD for load in loads)
    assert loads[-1] == pytest.approx(1.0, rel=0.01)


def test_untrue_cost_of_the_first_login_is_forgotten():
    logins = Logins()
    logins.mean_cost.relative_load(0, MAX_NUMBER * COST_UNIT)
    assert logins.usual(4 * GENERATION_TIME // SECOND)[-1] == pytest.approx(1.0, rel=0.01)


@pytest.mark.parametrize("seed", range(5))
def test_usual_loads_are_relative_to_the_mean_of_all_costs(seed):
    rng, now, mean_cost = Random(seed), 0, MeanCost(0)
    costs = [rng.expovariate(1 / USUAL) for _ in range(4000)]
    loads = []
    for cost in costs:
        now += 50 * MS
        loads.append(mean_cost.relative_load(now, cost))
    mean = sum(costs) / len(costs)
    later = list(zip(costs, loads, strict=True))[500:]
    assert all(0.75 < load * mean / cost < 1.25 for cost, load in later if cost > mean / 50)
    assert sum(loads) / len(loads) == pytest.approx(1.0, abs=0.05)
