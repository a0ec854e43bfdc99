"""Events that cross a probe: ends and resets, late answers, its own end, and descriptor reuse.

Scripted servers on loopback sockets decide the order; time is virtual.
"""

import socket

import pytest
from harness import MS, BalancerHarness

from corklift.interface import Outcome
from corklift.net.facade import HandOffTarget
from corklift.net.scheduler import READ, Scheduler, wall_clock
from corklift.net.stream import Stream

PONG = b"PONG x0=0.2,inflight=3\r\n"


class ProbedServers(BalancerHarness):
    """A balancer whose probes are asked for by the test; servers answer by `script`, then PONG."""

    def __init__(self, *script, servers=1, **arguments) -> None:
        self.script, self.results = list(script), []
        self.seen: list[Stream] = []  # the connections on which probes came, in order
        super().__init__(*["up"] * servers, **arguments)
        facade = self.process.facade
        facade.probe = lambda server: None  # none but those of the test
        self.probe_handler = self._answer
        facade.probe_finished = lambda server, outcome, elapsed, values: self.results.append(
            (facade.server_name(server), outcome, values and values["inflight"])
        )
        self.run(1)

    def _answer(self, stream: Stream) -> None:
        self.seen.append(stream)
        (self.script.pop(0) if self.script else pong)(self, stream)

    def request_probe(self, name: str = "s1") -> None:
        """Requests a probe as a decision does; it starts in the next round."""
        facade = self.process.facade
        facade._probe_queue.append(facade.find_server(name).server)
        self.process.scheduler.wake(facade._probe_task)

    def probe(self, name: str = "s1") -> tuple:
        """Requests a probe and returns its result."""
        count = len(self.results)
        self.request_probe(name)
        self.run_until(lambda: len(self.results) > count)
        return self.results[-1]

    def run_until(self, condition, ms: int = 5000) -> None:
        until = self.now + ms * MS
        while not condition():
            assert self.now < until, "the condition did not become true"
            self.run(5)

    @property
    def outcomes(self) -> list[Outcome]:
        return [outcome for _, outcome, _ in self.results]

    def stop_probing(self, name: str = "s1") -> None:
        facade = self.process.facade
        facade.close_idle(facade.find_server(name).server)

    @property
    def probe_tasks(self) -> int:
        return len(self.process.probes._tasks)


def pong(harness, stream) -> None:
    stream.write(PONG)


def pong_and_end(harness, stream) -> None:
    stream.write(PONG)
    stream.shutdown_write()


def end(harness, stream) -> None:
    stream.shutdown_write()


def reset(harness, stream) -> None:
    stream.abort()


def end_late(harness, stream) -> None:
    """Ends the connection when nearly all of the probe's time is over."""
    harness.sleep(190 * MS)
    stream.shutdown_write()


def half_and_end(harness, stream) -> None:
    stream.write(b"PONG x0=0.2,infl")
    stream.shutdown_write()


def silent(harness, stream) -> None:
    pass


FULFILLED, NOT_SENT = Outcome.FULFILLED, Outcome.NOT_SENT


@pytest.mark.parametrize("closing", [end, reset, end_late, half_and_end])
def test_kept_connection_closed_as_the_next_probe_goes_out_counts_against_nobody(closing):
    harness = ProbedServers(pong, closing)
    assert harness.probe()[1] is FULFILLED
    assert harness.probe()[1] is FULFILLED
    harness.run(500)
    assert harness.outcomes == [FULFILLED, FULFILLED]
    assert [stream is harness.seen[0] for stream in harness.seen] == [True, True, False]
    assert harness.counters["probe connections"] == 2


def test_probe_has_all_of_its_time_after_a_kept_connection_was_closed():
    def slow(harness, stream) -> None:
        harness.sleep(100 * MS)
        stream.write(PONG)

    harness = ProbedServers(pong, end_late, slow)
    harness.probe()
    assert harness.probe()[1] is FULFILLED
    harness.run(1000)
    assert len(harness.results) == 2


@pytest.mark.parametrize("closing, outcome", [(end, Outcome.BROKEN), (reset, Outcome.BROKEN)])
def test_new_connection_closed_under_a_probe_is_tried_only_once(closing, outcome):
    harness = ProbedServers(closing, pong, closing, closing)
    assert harness.probe()[1] is outcome
    assert harness.probe()[1] is FULFILLED
    # The kept connection is closed, and then the one that takes its place.
    assert harness.probe()[1] is outcome
    harness.run(500)
    assert len(harness.results) == 3 and len(harness.seen) == 4


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("closing", ["end", "reset"])
def test_kept_connection_closed_in_the_turn_of_the_next_probe(closing, before):
    # The close and the request of the probe come in one turn, in both orders.
    harness = ProbedServers(pong)
    harness.probe()
    kept = harness.seen[0]

    def close() -> None:
        kept.abort() if closing == "reset" else kept.shutdown_write()

    for step in (close, harness.request_probe) if before else (harness.request_probe, close):
        harness.spawn(step)
    harness.run_until(lambda: len(harness.results) == 2)
    harness.run(500)
    assert harness.outcomes == [FULFILLED, FULFILLED]
    assert harness.seen[-1] is not kept


@pytest.mark.parametrize("answer", [pong, end, reset, silent])
@pytest.mark.parametrize("order", ["answer first", "close first"])
def test_probe_whose_connection_this_process_closes_has_one_result(answer, order):
    # What the server does to the probe and the end of its connection here come in one turn.
    def both(harness, stream) -> None:
        steps = [lambda: answer(harness, stream), harness.stop_probing]
        for step in steps if order == "answer first" else reversed(steps):
            step()

    harness = ProbedServers(pong, both)
    harness.probe()
    harness.request_probe()
    harness.run(1000)
    assert harness.outcomes == [FULFILLED, NOT_SENT] and len(harness.seen) == 2
    assert harness.probe()[1] is FULFILLED and harness.counters["exceptions"] == 0


@pytest.mark.parametrize("order", ["close first", "probe first"])
def test_probe_requested_in_the_turn_in_which_its_connection_is_closed_has_one_result(order):
    harness = ProbedServers(pong)
    harness.probe()
    steps = [harness.stop_probing, harness.request_probe]
    for step in steps if order == "close first" else reversed(steps):
        harness.spawn(step)
    harness.run(1000)
    assert len(harness.results) == 2 and harness.outcomes[1] in (FULFILLED, NOT_SENT)
    assert harness.probe()[1] is FULFILLED and harness.counters["exceptions"] == 0


@pytest.mark.parametrize("order", ["evicted first", "probe first"])
def test_connection_that_makes_way_as_its_server_is_probed_counts_against_nobody(order):
    # All places are taken by idle connections; s1 has the oldest.
    harness = ProbedServers(servers=10, limits={"sockets": 64})
    places = harness.limits.probes
    for number in range(1, places + 1):
        harness.probe(f"s{number}")
    assert harness.probe_tasks == places and set(harness.outcomes) == {FULFILLED}
    names = [f"s{places + 1}", "s1"]
    # Both requests are dispatched in one turn: the first ends the idle connection of s1, whose
    # probe is requested before that connection has been closed.
    for name in names if order == "evicted first" else reversed(names):
        harness.request_probe(name)
    harness.run(1000)
    assert len(harness.results) == places + 2
    outcomes = dict((name, outcome) for name, outcome, _ in harness.results[places:])
    assert outcomes[f"s{places + 1}"] is FULFILLED
    assert outcomes["s1"] in (FULFILLED, NOT_SENT), outcomes
    assert harness.counters["exceptions"] == 0 and harness.probe_tasks <= places + 1


def test_drained_server_is_probed_to_the_end_of_the_probe():
    harness = ProbedServers(silent)
    harness.request_probe()
    harness.run_until(lambda: len(harness.seen) == 1)
    harness.change_list(harness.list_entry("s1", "leaving"))
    harness.run(10)
    harness.seen[0].write(PONG)
    harness.run(1000)
    assert harness.outcomes == [FULFILLED]


@pytest.mark.parametrize("back", ["at another address", "gone first", "gone first, same address"])
@pytest.mark.parametrize("open_probe", [True, False])
def test_server_that_comes_back_is_probed_on_a_new_connection(back, open_probe):
    # The process of before still runs: its answer would be taken for that of the new one.
    harness = ProbedServers(pong, silent)
    harness.probe()
    old = harness.seen[0]
    if open_probe:
        harness.request_probe()
        harness.run_until(lambda: len(harness.seen) == 2)
    else:
        harness.script.clear()
    gone = harness.list_entry("s1", "left")
    if back != "gone first, same address":
        listener = harness._listener()
        harness.ports["s1"] = listener.getsockname()[1]
        harness.spawn(harness._accept, listener, harness._server, "s1")
    if back != "at another address":
        harness.change_list(gone)
        harness.run(20)
    harness.change_list(harness.list_entry("s1"))
    harness.run(20)
    if open_probe and not old.closed:
        old.write(b"PONG x0=0.9,inflight=99\r\n")
    harness.script.clear()
    assert harness.probe()[1:] == (FULFILLED, 3)
    harness.run(1000)
    assert harness.seen[-1] is not old
    assert [values for _, _, values in harness.results if values == 99] == []
    assert harness.outcomes == [FULFILLED] + [NOT_SENT] * open_probe + [FULFILLED]


@pytest.mark.parametrize("delay_ms", [0, 3])
def test_second_answer_before_the_next_probe_is_not_taken_for_its_answer(delay_ms):
    def twice(harness, stream) -> None:
        stream.write(PONG + (b"" if delay_ms else b"PONG x0=0.9,inflight=99\r\n"))
        if delay_ms:
            harness.sleep(delay_ms * MS)
            stream.write(b"PONG x0=0.9,inflight=99\r\n")

    harness = ProbedServers(twice)
    harness.probe()
    harness.run(50)
    for _ in range(3):
        assert harness.probe()[1:] == (FULFILLED, 3)
    assert len(harness.results) == 4 and harness.seen[1] is not harness.seen[0]
    assert harness.seen[1] is harness.seen[2] is harness.seen[3]


def test_second_answer_after_the_next_probe_was_sent_spoils_no_further_probe():
    # Answers bear no mark, so the one that comes first is taken; the one left over ends the
    # connection, and no later probe gets an answer of before.
    def late(harness, stream) -> None:
        stream.write(b"PONG x0=0.2,inflight=1\r\n")

    def second(harness, stream) -> None:
        stream.write(b"PONG x0=0.2,inflight=1\r\n")
        harness.sleep(5 * MS)
        stream.write(b"PONG x0=0.2,inflight=2\r\n")

    harness = ProbedServers(late, second)
    harness.probe()
    harness.probe()
    harness.run(50)
    assert [values for _, _, values in harness.results] == [1, 1]
    for _ in range(2):
        assert harness.probe()[1:] == (FULFILLED, 3)
    assert harness.seen[2] is not harness.seen[0] and len(harness.results) == 4


@pytest.mark.parametrize("byte", [b"x", b"PONG x0=0.2\r"])
def test_answer_that_never_ends_takes_no_longer_than_a_probe_may(byte):
    def trickle(harness, stream) -> None:
        while not stream.closed and not stream.broken and not stream.peer_closed:
            stream.write(byte)
            harness.sleep(10 * MS)
            stream.receive()

    harness = ProbedServers(trickle)
    began = harness.now
    assert harness.probe()[1] in (Outcome.TIMED_OUT, Outcome.ERROR)
    assert harness.now - began <= harness.limits.probe_time + 10 * MS
    harness.run(500)
    assert len(harness.results) == 1 and harness.probe()[1] is FULFILLED


def test_exception_in_a_report_leaves_one_result_for_each_probe():
    harness = ProbedServers()
    facade, record = harness.process.facade, harness.process.facade.probe_finished

    def fails(*arguments) -> None:
        record(*arguments)
        raise RuntimeError("report")

    facade.probe_finished = fails
    harness.request_probe()
    harness.run(100)
    facade.probe_finished = record
    assert harness.outcomes == [FULFILLED] and harness.counters["exceptions"] == 1
    assert harness.probe()[1] is FULFILLED


def test_number_of_a_closed_descriptor_is_used_anew_in_the_same_round():
    # One task is interrupted and its socket closed; another opens one that gets the same number and
    # waits for it before the first runs, while data for the first had already arrived.
    problems, seen = [], []
    scheduler = Scheduler(wall_clock(), problems.append)
    old, old_peer = socket.socketpair()
    new_peers = []

    def first() -> None:
        try:
            scheduler.wait({old.fileno(): READ})
            seen.append("first woken")
        except ConnectionError:
            seen.append("first interrupted")
            scheduler.sleep(20 * MS)  # its next wait must not touch the number either

    def second(number: int) -> None:
        new, peer = socket.socketpair()
        new_peers.append(peer)
        if new.fileno() != number:
            new, peer = peer, new
        assert new.fileno() == number
        new_peers[0] = peer
        events = scheduler.wait({number: READ}, scheduler.now() + 50 * MS)
        seen.append(("second woken early", events) if events else "second slept")
        peer.send(b"x")
        events = scheduler.wait({number: READ}, scheduler.now() + 5000 * MS)
        seen.append("second woken" if events else "second not woken")
        scheduler.stop()

    def crossing(task) -> None:
        old_peer.send(b"late")
        scheduler.spawn(second, old.fileno())
        scheduler.interrupt(task, ConnectionError())
        old.close()

    task = scheduler.spawn(first)
    scheduler.spawn(crossing, task)
    scheduler.run()
    assert sorted(seen) == ["first interrupted", "second slept", "second woken"] and not problems
    old_peer.close()


def test_probe_of_a_server_without_an_address_has_one_result():
    harness = ProbedServers()
    target = harness.process.facade.find_server("s1")
    assert isinstance(target, HandOffTarget)
    harness.process.facade._probe_queue.append(12345)
    harness.process.scheduler.wake(harness.process.facade._probe_task)
    harness.run(20)
    assert harness.outcomes == [Outcome.NOT_CONNECTED]
