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
                call = Call(self.at, line.split()[1], address, stream)
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


def test_stall_is_given_up_early_and_each_further_one_a_little_later():
    answer = ScriptedDiscovery.answer
    harness = ScriptedDiscovery(answer, half, half, half, answer, half)
    harness.run_until(lambda: len(harness.calls) >= 7)
    calls = [call.at for call in harness.calls[1:]]
    stall, pause = Limits.watch_stall // MS, Limits.watch_pause * 3 // 2 // MS
    for number in range(3):
        assert calls[number + 1] - calls[number] <= (stall + pause << number) + TURN_MS, calls
    # After an answer the next stall is given up as early as the first.
    assert harness.calls[5].wait and calls[5] - calls[4] <= stall + pause + TURN_MS, calls
