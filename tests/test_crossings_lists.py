"""Events that cross a call to discovery: silence, resets, failures, slow answers and SIGHUP.

A scripted discovery on loopback sockets decides the order; time is virtual.
"""

import json
from typing import NamedTuple

import pytest
from harness import MS, BalancerHarness

from corklift.net.limits import Limits
from corklift.net.stream import Stream

LIST_DEADLINE_MS = 6000
# A second answer to the lines of a call, and the time that the balancer itself needs.
TURN_MS = 5
DISCOVERY_KINDS = ["on_request", "pushed"]


class Call(NamedTuple):
    """A call that discovery has received."""

    at: int  # ms since the start
    path: str
    address: int  # number of the discovery that got it, from 1
    stream: Stream
    known: int | None  # the version that the balancer had applied

    @property
    def index(self) -> int | None:
        return int(self.path.split("index=")[1].split("&")[0]) if "index=" in self.path else None

    @property
    def wait(self) -> int:
        return int(self.path.rpartition("wait=")[2]) if "wait=" in self.path else 0


class ScriptedDiscovery(BalancerHarness):
    """A balancer whose discovery answers each call by the next function of `script`.

    Without one, a call is answered properly: with the list, with what has changed since the version
    that it names, or with no change once its wait is over.
    """

    def __init__(self, *script, **arguments) -> None:
        self.script, self.calls, self.applied = list(script), [], []
        self.held, self.drained_at = [], None
        self.usual = ScriptedDiscovery.answer
        super().__init__("up", "up", **arguments)
        apply = self.process.facade.apply_listing

        def record_applied(scope, content) -> None:
            self.applied.append((self.at, content.version, content.is_full))
            apply(scope, content)
            if self.drained_at is None and self.drains_s1():
                self.drained_at = self.at

        self.process.facade.apply_listing = record_applied
        self.leaving_since = None  # the version in which s1 begins to drain

    @property
    def at(self) -> int:
        return (self.now - self.START) // MS

    def drain(self) -> None:
        """Begins to drain s1; calls that wait are answered."""
        self.list_version += 1
        self.leaving_since = self.list_version
        for task in self.held:
            self.process.scheduler.wake(task)

    def content(self, index: int | None) -> dict:
        status = "active" if self.leaving_since is None else "leaving"
        entries = [self.list_entry("s1", status), self.list_entry("s2")]
        if index is None or index > self.list_version:
            return {"index": self.list_version, "snapshot": True, "endpoints": entries}
        changed = self.leaving_since is not None and index < self.leaving_since
        return {
            "index": self.list_version,
            "snapshot": False,
            "endpoints": entries[:1] if changed else [],
        }

    def http(self, content: dict | None = None, call: Call | None = None) -> bytes:
        if content is None:
            content = self.content(call.index if call is not None else None)
        body = json.dumps(content, indent=4).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def hold(self, call: Call) -> None:
        """Waits for a change, or until the wait of the call is over."""
        until = self.now + call.wait * MS
        self.held.append(self.process.scheduler.current)
        while self.now < until and call.index >= self.list_version:
            self.wait({}, until)
        self.held.remove(self.process.scheduler.current)

    def answer(self, call: Call) -> None:
        self.hold(call)
        self.write(call.stream, self.http(call=call))

    @staticmethod
    def write(stream: Stream, content: bytes) -> None:
        if not stream.closed and not stream.broken:
            stream.write(content)

    def _discovery(self, stream: Stream, name: str) -> None:
        address = int(name.rpartition(" ")[2] or 1)
        for line in self.read_lines(stream):
            if line.startswith("GET"):
                known = self.applied[-1][1] if self.applied else None
                call = Call(self.at, line.split()[1], address, stream, known)
                self.calls.append(call)
                (self.script.pop(0) if self.script else self.usual)(self, call)
            if stream.closed:
                return
        stream.close()

    def drains_s1(self) -> bool:
        facade = self.process.facade
        return not facade.accepts_logins(facade.find_server("s1").server)

    def run_until(self, condition, ms: int = 20_000) -> None:
        until = self.at + ms
        while not condition():
            assert self.at < until, "the condition did not become true"
            self.run(25)

    def move_discovery_by_reload(self) -> None:
        """What a SIGHUP with a new address does, at once."""
        self.move_discovery()
        port = self.discovery_listener.getsockname()[1]
        self.process.watch.reconfigure(("127.0.0.1", port), self.limits)


def silent(harness, call) -> None:
    pass


def refuse(harness, call) -> None:
    harness.write(call.stream, b"HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n")


def reset(harness, call) -> None:
    call.stream.abort()


def close(harness, call) -> None:
    call.stream.close()


def nonsense(harness, call) -> None:
    harness.write(call.stream, b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}")


def only_headers(harness, call) -> None:
    harness.write(call.stream, harness.http(call=call).partition(b"{")[0])


def half(harness, call) -> None:
    whole = harness.http(call=call)
    harness.write(call.stream, whole[: len(whole) // 2])


def late_refusal(harness, call) -> None:
    harness.sleep(2000 * MS)
    refuse(harness, call)


def trickle(harness, call) -> None:
    """A body that never ends, a byte every 90 ms: each comes before a stall is over."""
    harness.write(call.stream, b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n")
    while not call.stream.closed and not call.stream.broken:
        harness.sleep(90 * MS)
        harness.write(call.stream, b" ")
        call.stream.receive()
        if call.stream.peer_closed:
            break


def trailers(harness, call) -> None:
    """A complete body, and then header lines for ever."""
    harness.write(call.stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
    while not call.stream.closed and not call.stream.broken:
        harness.sleep(90 * MS)
        harness.write(call.stream, b"More: of them\r\n")
        call.stream.receive()
        if call.stream.peer_closed:
            break


def in_pieces(gap_ms, pieces=8, chunked=False):
    """A complete answer whose pieces are apart by more than an answer may stall at first."""

    def answer(harness, call) -> None:
        harness.hold(call)
        whole = harness.http(call=call)
        if chunked:
            body = whole.partition(b"\r\n\r\n")[2]
            whole = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(
                b"%x\r\n%b\r\n" % (len(body[at : at + 7]), body[at : at + 7])
                for at in range(0, len(body), 7)
            )
            whole += b"0\r\n\r\n"
        size = -(-len(whole) // pieces)
        for at in range(0, len(whole), size):
            harness.write(call.stream, whole[at : at + size])
            harness.sleep(gap_ms * MS)

    return answer


FAILURES = [silent, refuse, late_refusal, reset, close, nonsense, half, trickle, trailers]


@pytest.mark.parametrize("ask_within", [10, 3600])
@pytest.mark.parametrize("discovery", DISCOVERY_KINDS)
@pytest.mark.parametrize("failure", FAILURES)
def test_failing_discovery_is_asked_often_enough_to_know_a_change(discovery, failure, ask_within):
    # However discovery fails, and however often it has failed before: what it has when it is back
    # is known 6 s later, although the call that hung at that moment has to be given up first.
    rules = {"ramp-time-ns": 5000 * MS, "ask-within-ns": ask_within * 1000 * MS}
    harness = ScriptedDiscovery(discovery=discovery, rules=rules)
    harness.run(5000)
    assert harness.calls and harness.process.watch.has_answered
    harness.usual = failure
    harness.run(12_000)
    failed = [call for call in harness.calls if call.at > 5000]
    # A call that may wait is given up in the time that its wait leaves for the next one.
    gaps = [b.at - a.at - a.wait for a, b in zip(failed, failed[1:], strict=False)]
    assert len(failed) >= 3 and max(gaps) <= LIST_DEADLINE_MS - 2000 + TURN_MS, gaps
    if discovery == "pushed" and failure in (refuse, reset, close, nonsense):
        # A change counts as told as soon as the agent has it, so the pause itself must be short.
        assert max(gaps) <= 150 + TURN_MS, gaps
    harness.drain()
    harness.usual = ScriptedDiscovery.answer
    back_at = harness.at
    harness.run_until(harness.drains_s1)
    assert harness.drained_at - back_at <= LIST_DEADLINE_MS
    assert harness.counters["exceptions"] == 0


def test_pauses_after_failures_differ_between_balancers():
    for failure in (refuse, close):
        times = []
        for seed in range(6):
            harness = ScriptedDiscovery(seed=str(seed), discovery="on_request")
            harness.usual = failure
            harness.run(8000)
            times.append(harness.calls[-1].at)
            gaps = [b.at - a.at for a, b in zip(harness.calls, harness.calls[1:], strict=False)]
            assert len(set(gaps)) >= 2, gaps
        assert len(set(times)) >= 5, times


@pytest.mark.parametrize("discovery", DISCOVERY_KINDS)
@pytest.mark.parametrize("failure", [silent, only_headers, half, trickle, trailers])
def test_watch_that_falls_silent_is_opened_anew_in_time(discovery, failure):
    # The first watch that may wait falls silent as soon as it is opened. What it misses counts as
    # told 6 s later, and 2 s after its wait at the latest.
    harness = ScriptedDiscovery(ScriptedDiscovery.answer, failure, discovery=discovery)
    harness.run_until(lambda: len(harness.calls) >= 2)
    watch = harness.calls[1]
    assert watch.index == 1 and watch.wait > 0
    harness.run(500)
    harness.drain()
    harness.run_until(harness.drains_s1)
    assert harness.drained_at - watch.at <= max(LIST_DEADLINE_MS, watch.wait + 2000)
    assert harness.calls[2].index == 1 and harness.applied[-1][1:] == (2, False)


@pytest.mark.parametrize("gap_ms, chunked", [(150, False), (150, True), (240, False), (350, True)])
def test_answer_in_slow_pieces_is_taken(gap_ms, chunked):
    # Every answer comes like that: one that is given up and asked for anew comes no faster.
    harness = ScriptedDiscovery(discovery="on_request")
    harness.usual = in_pieces(gap_ms, chunked=chunked)
    harness.run(6000)
    harness.drain()
    changed_at = harness.at
    harness.run_until(harness.drains_s1)
    assert harness.drained_at - changed_at <= LIST_DEADLINE_MS


def test_stall_is_answered_by_a_call_early_and_each_further_one_a_little_later():
    answer = ScriptedDiscovery.answer
    harness = ScriptedDiscovery(answer, half, half, half, answer, half)
    harness.run_until(lambda: len(harness.calls) >= 7)
    calls = [call.at for call in harness.calls[1:]]
    stall, pause = Limits.watch_stall // MS, Limits.watch_pause * 3 // 2 // MS
    for number in range(3):
        assert calls[number + 1] - calls[number] <= (stall + pause << number) + TURN_MS, calls
    # After an answer the next stall is met as early as the first.
    assert harness.calls[5].wait and calls[5] - calls[4] <= stall + pause + TURN_MS, calls


# Versions


def full_list(harness, version: int, status: str = "active") -> dict:
    entries = [harness.list_entry("s1", status), harness.list_entry("s2")]
    return {"index": version, "snapshot": True, "endpoints": entries}


def change(harness, version: int, status: str) -> dict:
    entries = [harness.list_entry("s1", status)]
    return {"index": version, "snapshot": False, "endpoints": entries}


def watching(version: int = 5) -> ScriptedDiscovery:
    """A balancer whose watch waits for a change of the given version; the test answers it."""
    harness = ScriptedDiscovery(ScriptedDiscovery.answer, silent)
    harness.list_version = version
    harness.run_until(lambda: harness.calls and harness.calls[-1].wait)
    assert harness.calls[-1].index == version
    return harness


def reset_by(harness, call) -> None:
    call.stream.abort()


@pytest.mark.parametrize("shown", ["nothing", "half", "all but the last byte", "all"])
@pytest.mark.parametrize("end", ["reset", "end"])
def test_watch_that_ends_with_a_change_is_asked_from_the_version_that_was_applied(shown, end):
    harness = watching()
    harness.list_version, harness.leaving_since = 6, 6
    watch = harness.calls[-1]
    whole = harness.http(call=watch)
    size = {"nothing": 0, "half": len(whole) // 2, "all but the last byte": len(whole) - 1}
    harness.write(watch.stream, whole[: size.get(shown, len(whole))])
    count = len(harness.calls)
    # In the same moment, before the balancer has run.
    watch.stream.abort() if end == "reset" else watch.stream.shutdown_write()
    harness.run_until(lambda: len(harness.calls) > count)
    asked = harness.calls[count]
    assert asked.index == asked.known, asked
    if end == "end":
        assert asked.known == (6 if shown == "all" else 5)
        assert harness.counters["discovery failures"] == (0 if shown == "all" else 1)
    harness.run_until(harness.drains_s1)
    assert harness.calls[count].at - watch.at < 1000 and harness.counters["exceptions"] == 0
    # None of these asked for the whole list: the known version was good all the time.
    assert not any(call.index is None for call in harness.calls)


def test_kept_connection_that_discovery_closes_between_two_calls_is_no_failure():
    def answer_and_close(harness, call) -> None:
        harness.answer(call)
        call.stream.shutdown_write()

    harness = ScriptedDiscovery()
    harness.usual = answer_and_close
    harness.run(7000)
    assert len(harness.calls) >= 3 and harness.counters["discovery failures"] == 0
    assert {call.index for call in harness.calls} == {1}


@pytest.mark.parametrize("kind", ["change", "full list"])
@pytest.mark.parametrize("in_time", [True, False])
def test_earlier_version_is_never_applied_over_a_later_one(kind, in_time):
    # An answer of before comes after the drain, in one piece with it or after the next call was
    # sent. The balancer asks for the full list, once, and takes that of whatever version.
    harness = watching()
    stream = harness.calls[-1].stream
    drain = harness.http(change(harness, 6, "leaving"))
    late = harness.http((change if kind == "change" else full_list)(harness, 4, "active"))
    harness.list_version, harness.leaving_since = 6, 6
    count = len(harness.calls)
    harness.write(stream, drain + (late if in_time else b""))
    harness.run_until(lambda: len(harness.calls) > count)
    assert harness.drains_s1() and harness.calls[count].index == 6
    if not in_time:
        assert harness.calls[count].stream is stream
        harness.write(stream, late)
    harness.run(100)
    assert 4 not in [version for _, version, _ in harness.applied]
    assert harness.drains_s1()
    asked_anew = [call for call in harness.calls if call.index is None]
    assert len(asked_anew) == (0 if in_time else 1)
    assert all(call.stream is not stream for call in harness.calls[count + (not in_time) :])


def test_full_list_of_an_earlier_version_is_taken_if_it_was_asked_for():
    # Discovery has started anew and counts from the beginning.
    harness = watching(50)
    harness.list_version, harness.leaving_since = 2, 2
    harness.usual = lambda harness, call: (
        harness.hold(call) if call.index == 2 else None,
        harness.write(call.stream, harness.http(full_list(harness, 2, "leaving"))),
    )
    harness.calls[-1].stream.abort()
    harness.run_until(harness.drains_s1)
    asked = [call.index for call in harness.calls if call.index not in (1, 50)]
    assert asked[:2] == [None, 2], asked
    harness.run(4000)
    assert harness.counters["discovery failures"] == 2  # the reset, and the earlier version


def test_change_before_any_list_is_not_taken_for_the_list():
    harness = ScriptedDiscovery(
        lambda harness, call: harness.write(
            call.stream, harness.http(change(harness, 7, "leaving"))
        ),
        known=False,
    )
    harness.run_until(lambda: len(harness.applied) >= 1)
    assert [call.index for call in harness.calls[:2]] == [None, None]
    assert harness.applied[0][1:] == (1, True) and not harness.drains_s1()


@pytest.mark.parametrize("order", [(8, "full", 9), (9, "full", 8), ("full", 9, 8)])
def test_changes_that_cross_a_full_list_leave_the_latest_state(order):
    # Two changes and the full list, each the answer to one call: s1 drains in version 8 and is
    # active again in 9; the full list is of version 8.
    harness = watching()
    contents = {
        8: change(harness, 8, "leaving"),
        9: change(harness, 9, "active"),
        "full": full_list(harness, 8, "leaving"),
    }
    harness.script = [
        lambda harness, call, content=contents[part]: harness.write(
            call.stream, harness.http(content)
        )
        for part in order
    ]
    harness.list_version, harness.leaving_since = 9, None
    harness.calls[-1].stream.abort()
    harness.run_until(lambda: not harness.script and harness.calls[-1].index == 9)
    harness.run(200)
    assert not harness.drains_s1()
    versions = [version for _, version, _ in harness.applied]
    assert versions == sorted(versions), versions


# SIGHUP


@pytest.mark.parametrize("moved", ["before the answer", "after it", "within it", "as it is read"])
def test_answer_of_the_discovery_before_is_not_applied_after_a_reload(moved):
    harness = watching()
    watch = harness.calls[-1]
    drain = harness.http(change(harness, 6, "leaving"))
    if moved == "within it":
        harness.write(watch.stream, drain[:-1])
        harness.run(20)
    if moved == "after it":
        harness.write(watch.stream, drain)
    elif moved == "as it is read":
        # The watch is ready to run for the answer, but the reload runs before it.
        move = harness.move_discovery_by_reload
        harness.spawn(lambda: (harness.write(watch.stream, drain), harness.spawn(move)))
    if moved != "as it is read":
        harness.move_discovery_by_reload()
    if moved in ("before the answer", "within it"):
        harness.write(watch.stream, drain if moved == "before the answer" else drain[-1:])
    harness.run_until(lambda: harness.calls[-1].address == 2 and harness.calls[-1].wait)
    first = next(call for call in harness.calls if call.address == 2)
    assert first.index is None and first.wait == 0
    assert 6 not in [version for _, version, _ in harness.applied]
    assert not harness.drains_s1() and harness.counters["exceptions"] == 0
    watch.stream.receive()
    assert watch.stream.peer_closed or watch.stream.broken


@pytest.mark.parametrize("failure", [refuse, close, silent])
def test_reload_ends_the_pause_after_a_failure_and_forgets_the_failures(failure):
    harness = ScriptedDiscovery(discovery="on_request")
    harness.usual = failure
    harness.run_until(lambda: harness.counters["discovery failures"] >= 3)
    harness.move_discovery_by_reload()
    harness.usual, harness.script = ScriptedDiscovery.answer, [half]
    moved_at = harness.at
    harness.run(500)
    first, second = [call for call in harness.calls if call.address == 2][:2]
    assert first.at - moved_at <= TURN_MS and first.index is None
    # The first stall is given up early, and the pause after it is short.
    assert second.at - first.at <= (Limits.watch_stall + 2 * Limits.watch_pause) // MS + TURN_MS
    assert harness.calls[-1].wait and harness.calls[-1].index == 1
    assert all(call.address == 2 for call in harness.calls if call.at > moved_at)


def test_reloads_in_quick_succession_end_at_the_last_address():
    harness = watching()
    harness.script = [silent, half, reset]
    for number in range(4):  # within a call, an answer, a pause and a connect
        harness.move_discovery_by_reload()
        harness.run(30 * number)
    harness.run(2000)
    assert harness.calls[-1].address == 5 and harness.calls[-1].wait
    assert next(call for call in harness.calls if call.address == 5).index is None
    assert harness.counters["exceptions"] == 0


def test_discovery_comes_back_with_a_drain_and_a_reload_follows_at_once():
    harness = watching()
    harness.usual = silent
    harness.calls[-1].stream.abort()
    harness.run(5000)
    harness.drain()
    harness.usual = ScriptedDiscovery.answer
    back_at = harness.at
    harness.run_until(harness.drains_s1)
    assert harness.drained_at - back_at <= LIST_DEADLINE_MS
    harness.move_discovery_by_reload()
    count = len(harness.calls)
    harness.run_until(lambda: len(harness.calls) >= count + 2)
    assert [call.index for call in harness.calls[count : count + 2]] == [None, 6]
    assert all(call.address == 2 for call in harness.calls[count:])
    # From the first answer of the one to the first of the other, nothing is placed at s1.
    for number in range(6):
        harness.client(f"c{number}", "OPEN 1 7f c=plain,d=2000,x=9\r\n")
    harness.run(300)
    ups = {line.split()[-1] for line in harness.trace if "< UP" in line}
    assert ups == {"s2"}, ups
