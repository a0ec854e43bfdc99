"""Many callers of one overloaded service, simulated together in virtual time."""

from heapq import heapify, heappop, heappush
from random import Random

from corklift.net.backoff import Backoff

SECOND = 1_000_000_000


def count_answered(callers, delay_of, work, call_timeout, queue_length, until):
    """Returns how many callers get an answer by `until` from a service that works off one queue.

    The service also works on calls whose caller has timed out meanwhile.
    """
    calls = [(0, number) for number in range(callers)]
    heapify(calls)
    free_at, answered = 0, set()
    while calls and calls[0][0] < until:
        called_at, number = heappop(calls)
        starts_at = max(called_at, free_at)
        if starts_at - called_at > queue_length * work:
            failed_at = called_at
        else:
            free_at = starts_at + work
            if starts_at - called_at <= call_timeout:
                answered.add(number)
                continue
            failed_at = called_at + call_timeout
        heappush(calls, (failed_at + delay_of(number), number))
    return len(answered)


def test_an_overbooked_service_comes_to_answer_all_where_a_fixed_pause_keeps_it_overbooked():
    # Dozens of balancers that started at once never got the server list, because calls that had
    # timed out still cost the service work.
    work, call_timeout = SECOND // 4, SECOND
    backoffs = [Backoff(Random(number), 5 * SECOND, 20 * SECOND) for number in range(40)]
    assert count_answered(40, lambda number: SECOND // 20, work, call_timeout, 20, 60 * SECOND) < 20
    assert (
        count_answered(
            40, lambda number: backoffs[number].next_delay(), work, call_timeout, 20, 60 * SECOND
        )
        == 40
    )


def test_delays_grow_and_differ_up_to_their_maximum():
    backoffs = [Backoff(Random(number), 100, 1000) for number in range(200)]
    for mean in (100, 200, 400, 800, 1000, 1000):
        delays = [backoff.next_delay() for backoff in backoffs]
        assert mean / 2 <= min(delays) < 0.6 * mean and 1.4 * mean < max(delays) <= 1.5 * mean


def test_delays_with_an_upper_limit_differ_and_still_let_an_overbooked_service_answer_all():
    # A balancer may not stay away for longer than a change of the list may stay unknown. With this
    # limit the service recovers as long as its queue is not longer than a caller waits.
    longest = SECOND * 15 // 4
    backoffs = [Backoff(Random(number), 5 * SECOND, 20 * SECOND) for number in range(200)]
    for _ in range(3):
        delays = [backoff.next_delay(longest) for backoff in backoffs]
        assert longest / 3 <= min(delays) < 0.4 * longest and 0.95 * longest < max(delays)
        assert max(delays) <= longest and len(set(delays)) == 200
    assert {backoff.next_delay(0) for backoff in backoffs} == {0}
    assert (
        count_answered(
            40,
            lambda number: backoffs[number].next_delay(longest),
            SECOND // 4,
            SECOND * 9 // 4,
            8,
            60 * SECOND,
        )
        == 40
    )
