"""Answers of discovery that come in pieces, stop for good or break off, cut at any byte.

A drain has to be known within the grace of the settings after it was told. Where lists are pushed,
it is told as soon as discovery has it; where they are asked for, once an answer with it is written,
which is taken here for the moment of that answer's first byte. Time is virtual; the sockets are of
the loopback interface.
"""

from collections import defaultdict

import pytest
from harness import MS
from test_crossings_lists import DISCOVERY_KINDS, ScriptedDiscovery

from corklift.net.limits import WATCH_CONNECTIONS
from corklift.net.stream import Stream

# The grace in which a drain has to be known.
GRACE_MS = 500
# A balancer may be held up for so long between its clock and its writing, at the cost of the grace.
HOLD_UP_MS = 150
# Time between the pieces of an answer: half of the grace.
PIECES_MS = 250


class CutDiscovery(ScriptedDiscovery):
    """A discovery whose servers begin to drain and come back, and whose answers can be cut.

    `cuts` treats the next answers with bytes to tell, each by one function; `usual_cut` all others.
    """

    def __init__(self, **arguments) -> None:
        self.statuses = {"s1": ("active", 1), "s2": ("active", 1)}
        self.cuts, self.usual_cut = [], None
        self.known_at = defaultdict(dict)
        self.is_pushed = arguments["discovery"] == "pushed"
        self.told_at: dict[str, int] = {}  # when a server's status was told
        super().__init__(**arguments)
        self.usual = CutDiscovery.answer
        self.cut_count = 0  # answers that were cut
        apply = self.process.facade.apply_listing

        def record_statuses(scope, content) -> None:
            apply(scope, content)
            for name in self.statuses:
                self.known_at[name].setdefault(self.drains(name), self.at)

        self.process.facade.apply_listing = record_statuses

    def drains(self, name: str) -> bool:
        facade = self.process.facade
        return not facade.accepts_logins(facade.find_server(name).server)

    def set_status(self, name: str, status: str) -> None:
        """Tells the status of a server from now on."""
        self.list_version += 1
        self.statuses[name] = (status, self.list_version)
        self.known_at[name].clear()
        self.told_at.pop(name, None)
        if self.is_pushed:
            self.told_at[name] = self.at
        for task in self.held:
            self.process.scheduler.wake(task)

    def content(self, index: int | None) -> dict:
        is_full = index is None or index > self.list_version
        entries = [
            self.list_entry(name, status)
            for name, (status, version) in self.statuses.items()
            if is_full or version > index
        ]
        return {"index": self.list_version, "snapshot": is_full, "endpoints": entries}

    def answer(self, call) -> None:
        self.hold(call)
        content = self.content(call.index)
        for entry in content["endpoints"]:
            self.told_at.setdefault(entry["name"], self.at)
        cut = self.usual_cut
        if self.cuts and content["endpoints"]:
            cut = self.cuts.pop(0)
        if cut is None:
            self.write(call.stream, self.http(content))
        else:
            self.cut_count += 1
            cut(self, call.stream, self.http(content))

    def time_until_known(self, name: str) -> int:
        """Returns how long after it was told the drain of a server was known, in ms."""
        self.run_until(lambda: self.known_at[name].get(True) is not None)
        return self.known_at[name][True] - self.told_at[name]

    def bring_back(self, *names: str) -> None:
        self.cuts, self.usual_cut = [], None
        for name in names:
            self.set_status(name, "active")
        self.run_until(lambda: not any(self.drains(name) for name in names))
        # A watch that nothing has cut yet.
        self.run_until(lambda: self.held)


def in_two_pieces(size: int, pause_ms: int = PIECES_MS):
    def send(harness, stream: Stream, answer: bytes) -> None:
        harness.write(stream, answer[:size])
        harness.sleep(pause_ms * MS)
        harness.write(stream, answer[size:])

    return send


def steadily(harness, stream: Stream, answer: bytes) -> None:
    """Sends a byte every 80 ms, which never stalls for long and takes a quarter of a minute."""
    for position in range(len(answer)):
        harness.write(stream, answer[position : position + 1])
        harness.sleep(80 * MS)


def stops_for_good(size: int):
    return lambda harness, stream, answer: harness.write(stream, answer[:size])


def breaks_off(size: int, by_reset: bool, after_ms: int = 0):
    def send(harness, stream: Stream, answer: bytes) -> None:
        harness.write(stream, answer[:size])
        harness.sleep(after_ms * MS)
        if not stream.closed:
            stream.abort() if by_reset else stream.close()

    return send


def watching(discovery: str, **arguments) -> CutDiscovery:
    harness = CutDiscovery(discovery=discovery, **arguments)
    harness.run_until(lambda: harness.held and harness.at > 500)
    return harness


def answer_length(harness: CutDiscovery) -> int:
    """Returns the length of an answer that tells of one server's drain."""
    content = harness.content(harness.list_version)
    return len(harness.http(content | {"endpoints": [harness.list_entry("s1", "leaving")]}))


def sweep(harness: CutDiscovery, cuts_at, every: int = 1) -> dict[int, int]:
    """Plays a drain for each size of the first piece; returns the late ones with their time."""
    late, sizes = {}, range(1, answer_length(harness), every)
    for size in sizes:
        harness.cuts, harness.usual_cut = cuts_at(size)
        harness.set_status("s1", "leaving")
        took = harness.time_until_known("s1")
        if took > GRACE_MS - HOLD_UP_MS:
            late[size] = took
        harness.bring_back("s1")
    assert harness.cut_count >= len(sizes) and harness.counters["exceptions"] == 0
    assert len(harness.process.watch._calls) <= WATCH_CONNECTIONS
    return late


# A drain in an answer of two pieces was known after its grace: review, case 10.
@pytest.mark.parametrize("discovery", DISCOVERY_KINDS)
def test_drain_in_an_answer_of_two_pieces_is_known_in_its_grace(discovery):
    assert not sweep(watching(discovery), lambda size: ([], in_two_pieces(size)))


# Whatever the pause between the pieces, if the answer as a whole takes less than the grace.
@pytest.mark.parametrize("pause_ms", [10, 90, 110, 190, 210, 310, 390, 450])
@pytest.mark.parametrize("discovery", DISCOVERY_KINDS)
def test_drain_is_known_in_its_grace_whatever_the_pause(discovery, pause_ms):
    harness = watching(discovery)
    for size in (1, 50, answer_length(harness) // 2, answer_length(harness) - 1):
        harness.usual_cut = in_two_pieces(size, pause_ms)
        harness.set_status("s1", "leaving")
        assert harness.time_until_known("s1") <= GRACE_MS
        harness.bring_back("s1")


# A byte at a time, in 450 ms as a whole.
@pytest.mark.parametrize("discovery", DISCOVERY_KINDS)
def test_drain_in_an_answer_of_single_bytes_is_known_in_its_grace(discovery):
    def byte_by_byte(harness, stream, answer) -> None:
        for position in range(len(answer)):
            harness.write(stream, answer[position : position + 1])
            harness.sleep(450 * MS // len(answer))

    harness = watching(discovery)
    harness.usual_cut = byte_by_byte
    harness.set_status("s1", "leaving")
    assert harness.time_until_known("s1") <= GRACE_MS


# Neither the answer that stops nor the next one, which is cut too, may be waited for alone.
@pytest.mark.parametrize("discovery", DISCOVERY_KINDS)
def test_drain_in_an_answer_that_stops_for_good_is_known_in_its_grace(discovery):
    late = sweep(watching(discovery), lambda size: ([stops_for_good(size)], None))
    assert not late
    # The answer to the second call comes in pieces. It is asked for 100 ms after the first has
    # stopped, and up to 50 ms later where lists are asked for: balancers don't call together.
    late = sweep(
        watching(discovery), lambda size: ([stops_for_good(size)], in_two_pieces(size, 150)), 7
    )
    assert not late


@pytest.mark.parametrize("discovery", DISCOVERY_KINDS)
def test_drain_in_the_second_answer_that_stops_for_good_is_known_in_its_grace(discovery):
    assert not sweep(watching(discovery), lambda size: ([stops_for_good(size)] * 2, None), 5)


# Where lists are pushed, an answer of which nothing comes is not waited for either.
def test_drain_after_an_answer_that_broke_off_and_one_of_which_nothing_came():
    harness = watching("pushed")
    late = sweep(harness, lambda size: ([breaks_off(size, True), stops_for_good(0)], None), every=5)
    assert not late


@pytest.mark.parametrize("by_reset", [True, False])
@pytest.mark.parametrize("discovery", DISCOVERY_KINDS)
def test_drain_in_an_answer_that_breaks_off_is_known_in_its_grace(discovery, by_reset):
    late = sweep(watching(discovery), lambda size: ([breaks_off(size, by_reset)], None))
    assert not late
    # After some time, and then in pieces.
    late = sweep(
        watching(discovery),
        lambda size: ([breaks_off(size, by_reset, 90)], in_two_pieces(size, 150)),
        7,
    )
    assert not late


# An answer that comes steadily and slowly never stalled, and was waited for alone.
def test_drain_in_a_pushed_answer_that_comes_steadily_but_slowly_is_known_in_its_grace():
    harness = watching("pushed")
    harness.cuts = [steadily]
    harness.set_status("s1", "leaving")
    assert harness.time_until_known("s1") <= GRACE_MS - HOLD_UP_MS


# The second drain is not in the answer that tells the first, and each answer takes half the grace.
@pytest.mark.parametrize("discovery", DISCOVERY_KINDS)
@pytest.mark.parametrize("later_ms", [1, 30, 90, 150, 240, 260])
def test_drain_during_an_answer_in_pieces_is_known_in_its_grace(discovery, later_ms):
    harness = watching(discovery)
    harness.usual_cut = in_two_pieces(50)
    harness.set_status("s1", "leaving")
    harness.run(later_ms)
    harness.set_status("s2", "leaving")
    assert harness.time_until_known("s1") <= GRACE_MS - HOLD_UP_MS
    assert harness.time_until_known("s2") <= GRACE_MS
    versions = [version for _, version, _ in harness.applied]
    assert versions == sorted(versions), versions


# A response that was overtaken by the one to a later call must not bring back what held before.
@pytest.mark.parametrize("discovery", DISCOVERY_KINDS)
def test_answer_that_is_overtaken_is_not_applied(discovery):
    harness = watching(discovery)
    harness.cuts = [in_two_pieces(50, 1000)]
    harness.set_status("s1", "leaving")
    harness.run(5)
    # The rest of the first answer, in which s1 drains, comes long after s1 is active again.
    harness.set_status("s1", "active")
    harness.run(1500)
    assert not harness.drains("s1")
    assert harness.counters["discovery failures"] == 0


def test_answers_of_the_first_call_in_pieces_are_taken():
    harness = CutDiscovery(discovery="pushed", known=False)
    harness.usual_cut = in_two_pieces(50)
    harness.run_until(lambda: harness.applied)
    assert harness.at <= GRACE_MS - HOLD_UP_MS


# Where discovery stops in the middle of every answer, it is asked often but not without a bound.
@pytest.mark.parametrize("discovery", DISCOVERY_KINDS)
def test_calls_beside_answers_that_all_stop_are_bounded(discovery):
    harness = watching(discovery)
    harness.usual_cut = stops_for_good(50)
    harness.set_status("s1", "leaving")
    before = len(harness.calls)
    most_open = 0
    for _ in range(200):
        harness.run(50)
        most_open = max(most_open, len(harness.process.watch._calls))
    assert most_open == WATCH_CONNECTIONS
    # The interval doubles from 100 ms, so 10 s hold seven calls; a failure begins anew, once here.
    assert len(harness.calls) - before <= 14
    harness.usual_cut, back_at = None, harness.at
    harness.run_until(lambda: harness.drains("s1"))
    assert harness.known_at["s1"][True] - back_at <= 6000


# An overloaded discovery must not be called again beside a stalled answer.
def test_overload_ends_the_calls_beside_a_stalled_answer():
    harness = watching("on_request")

    def refuse(harness, stream, answer) -> None:
        harness.write(stream, b"HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n")

    harness.cuts = [stops_for_good(50), refuse]
    before = len(harness.calls)
    harness.set_status("s1", "leaving")
    harness.run(1000)
    assert len(harness.calls) - before <= 2
    assert harness.time_until_known("s1") <= 6000
