"""Many callers of one overbooked service, counted together, in virtual time."""

from heapq import heapify, heappop, heappush
from random import Random

from corklift.net.backoff import Backoff

SECOND = 1_000_000_000


def heard(callers, waits, work, patience, places, until):
    """How many callers a service has answered by then that takes calls in turn, also those given up meanwhile."""
    calls = [(0, number) for number in range(callers)]
    heapify(calls)
    free_at, answered = 0, set()
    while calls and calls[0][0] < until:
        at, number = heappop(calls)
        starts = max(at, free_at)
        if starts - at > places * work:
            failed_at = at
        else:
            free_at = starts + work
            if starts - at <= patience:
                answered.add(number)
                continue
            failed_at = at + patience
        heappush(calls, (failed_at + waits(number), number))
    return len(answered)


def test_an_overbooked_service_comes_to_answer_all_where_a_fixed_pause_keeps_it_overbooked():
    # Guards against dozens of balancers started at once that never get the list: calls given up still cost work.
    work, patience = SECOND // 4, SECOND
    backoffs = [Backoff(Random(number), 5 * SECOND, 20 * SECOND) for number in range(40)]
    assert heard(40, lambda number: SECOND // 20, work, patience, 20, 60 * SECOND) < 20
    assert (
        heard(40, lambda number: backoffs[number].next_delay(), work, patience, 20, 60 * SECOND)
        == 40
    )


def test_waits_grow_apart_up_to_their_bound():
    waits = [Backoff(Random(number), 100, 1000) for number in range(200)]
    for middle in (100, 200, 400, 800, 1000, 1000):
        drawn = [backoff.next_delay() for backoff in waits]
        assert middle / 2 <= min(drawn) < 0.6 * middle and 1.4 * middle < max(drawn) <= 1.5 * middle
