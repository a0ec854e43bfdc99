"""Untrue load reports: what a server states sets neither the memory nor the steps of a decision."""

import tracemalloc
from random import Random

import pytest
from harness import MS, PolicyHarness

from corklift.interface import Report, Scope, Status
from corklift.net.parsers import MAX_NUMBER
from corklift.policy.constants import MAX_REPORT_AGE
from corklift.policy.expected_returns import ExpectedReturns

MEMORY_BOUND = 1 << 20  # far more than a drain of one server needs


def drain(harness: PolicyHarness) -> None:
    harness.list_servers(1, scope=Scope.DELTA, status=Status.DRAINING)


def vanish(harness: PolicyHarness) -> None:
    harness.list_servers(2)


def cordon(harness: PolicyHarness) -> None:
    harness.balancer.take_out_of_service(harness.now, 1)


# A server that stated 30,000,000 connections and left made a list of so many entries, which each
# login walked and copied: no answer for seconds, and hundreds of MB.
@pytest.mark.parametrize("leave", [drain, vanish, cordon])
@pytest.mark.parametrize("count", [3e6, MAX_NUMBER], ids=["millions", "largest"])
def test_leaving_server_costs_the_same_whatever_count_it_stated(leave, count):
    harness = PolicyHarness()
    harness.list_servers(1, 2)
    harness.auto = {1: Report(count=count, pressure=0.3), 2: Report(count=3, pressure=0.3)}
    harness.run(1500)
    tracemalloc.start()
    try:
        leave(harness)
        assert {harness.login(number) for number in range(1, 200)} == {2}
        assert tracemalloc.get_traced_memory()[1] < MEMORY_BOUND
    finally:
        tracemalloc.stop()


class ListOfReturns:
    """The plain model: one entry for each expected client."""

    def __init__(self) -> None:
        self.times: list[int] = []

    def expect(self, now: int, count: int) -> None:
        self.times += [now] * count

    def claim(self, now: int) -> bool:
        self.times = [at for at in self.times if now - at < MAX_REPORT_AGE]
        return bool(self.times) and self.times.pop(0) is not None


@pytest.mark.parametrize("seed", range(20))
def test_expected_returns_count_as_a_list_of_all_clients_does(seed):
    rng, now, counted, model = Random(seed), 0, ExpectedReturns(), ListOfReturns()
    for _ in range(400):
        now += rng.choice((0, 0, MS, 300 * MS, MAX_REPORT_AGE // 2))
        if rng.random() < 0.4:
            count = rng.randrange(4)
            counted.expect(now, count)
            model.expect(now, count)
        else:
            assert counted.claim(now) is model.claim(now)
