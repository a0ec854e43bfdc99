"""A connection that falls silent, at each moment between two lines of its client."""

import pytest
from harness import MS, BalancerHarness

from corklift.net.limits import CLIENT_LINE_INTERVAL, SILENCE_DEADLINE

OPEN = "OPEN 1 1 c=plain,d=2000\r\n"


class SilentServer:
    """Answers every line at once until it falls silent; its process goes on."""

    def __init__(self) -> None:
        self.silent_at: int | None = None

    def __call__(self, harness, stream, line) -> None:
        if self.silent_at is None:
            stream.write(b"UP s1\r\n" if line.startswith("OPEN") else b"echo\r\n")


@pytest.mark.parametrize("connect_timeout", [70, 300, 900])
@pytest.mark.parametrize("after_line", [1, 700, 1999])
def test_a_connection_that_falls_silent_is_moved_in_time(connect_timeout, after_line):
    permissions = {
        "probes": True,
        "max-hand-offs": 3,
        "connect-timeout-ns": connect_timeout * MS,
        "keepalive-ns": 5000 * MS,
    }
    harness = BalancerHarness("up", permissions=permissions)
    harness.behaviour["s1"] = server = SilentServer()
    harness.client("c1", OPEN, 10, *["line\r\n", CLIENT_LINE_INTERVAL // MS] * 8)
    harness.run(10 + 2 * CLIENT_LINE_INTERVAL // MS + after_line)
    server.silent_at = harness.now
    answers = [line for line in harness.trace if line.endswith("c1 < echo")]
    assert len(answers) == 3
    harness.run(SILENCE_DEADLINE // MS)
    moved = [line for line in harness.trace if line.endswith("c1 < MOVE")]
    assert len(moved) == 1, harness.trace
    assert harness.counters["clients moved from silence"] == 1


def test_a_connection_that_answers_late_but_in_time_is_not_moved():
    harness = BalancerHarness("up")
    answers = []

    def answer_late(harness, stream, line) -> None:
        if line.startswith("OPEN"):
            stream.write(b"UP s1\r\n")
        else:
            answers.append(stream)

    harness.behaviour["s1"] = answer_late
    harness.client("c1", OPEN, 10, "line\r\n")
    harness.run(harness.limits.silent_time // MS - 20)
    answers[0].write(b"late\r\n")
    harness.run(SILENCE_DEADLINE // MS)
    assert [line for line in harness.trace if line.endswith(("c1 < late", "c1 < MOVE"))] == [
        line for line in harness.trace if line.endswith("c1 < late")
    ]
    assert harness.counters["clients moved from silence"] == 0
