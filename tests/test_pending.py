"""Tests of the clients that hold a descriptor without a login, and of which of them make room."""

import pytest
from harness import MS, BalancerHarness

from corklift.net.limits import SECOND
from corklift.net.pending import FirstLineTime, SilentShare
from corklift.net.stream import Stream

# The limits of this deployment: 5 clients with a login, 8 pending ones.
SMALL_LIMITS = {"sockets": 39}
LOGIN = "OPEN {} 7f c=plain,d=2000\r\n"


def full_balancer():
    """Returns a balancer with as many logins as it takes."""
    harness = BalancerHarness("up", limits=SMALL_LIMITS)
    assert harness.limits.clients == 5 and harness.limits.waiting == 8
    for number in range(5):
        harness.client(f"in{number}", LOGIN.format(number))
    harness.run(500)
    return harness


def staying_client(harness, line):
    """Returns the stream of a client that sends a line and does not close."""
    stream = Stream.connect(("127.0.0.1", harness.process.port), harness.limits)
    harness.run(2)
    stream.write(line.encode())
    harness.run(2)
    return stream


def answered(harness, prefix):
    """Returns the names of the clients with this prefix that have received a BUSY."""
    return {line.split()[1] for line in harness.trace if f" {prefix}" in line and " < BUSY" in line}


def test_rejected_clients_make_room_before_one_whose_line_is_on_the_way():
    # Guards against clients closed unread while rejected ones kept their places (KNOWN-RED 10).
    harness = full_balancer()
    harness.client("slow", 40, LOGIN.format("51"))
    harness.run(5)
    rejected = [staying_client(harness, LOGIN.format(f"6{number}")) for number in range(12)]
    harness.run(1000)
    assert answered(harness, "slow") == {"slow"}
    for stream in rejected:
        stream.receive()
        assert stream.read_line().startswith(b"BUSY")
        stream.close()
    assert harness.counters["clients closed without a line"] == 0


def test_clients_wait_in_the_queue_while_the_lines_of_others_are_on_their_way():
    # Guards against clients closed unread in a crowd whose lines all take a while (KNOWN-RED 10).
    harness = full_balancer()
    for number in range(16):
        harness.client(f"before{number}", 60, LOGIN.format(f"7{number:02}"))
        harness.run(100)
    for number in range(40):
        harness.client(f"crowd{number}", 60, LOGIN.format(f"8{number:02}"))
    harness.run(2000)
    assert len(answered(harness, "crowd")) == 40
    assert harness.counters["clients closed without a line"] == 0


def test_lines_of_a_burst_that_are_later_than_those_before_are_waited_for():
    # Guards against a burst closed unread after a stall of the clients' side (KNOWN-RED 11).
    harness = full_balancer()
    for number in range(16):
        harness.client(f"before{number}", LOGIN.format(f"7{number:02}"))
        harness.run(100)
    for number in range(20):
        harness.client(f"burst{number}", 40, LOGIN.format(f"8{number:02}"))
    harness.run(2000)
    assert len(answered(harness, "burst")) == 20
    assert harness.counters["clients closed without a line"] == 0


def test_silent_clients_make_room_whatever_others_needed_for_their_lines():
    harness = full_balancer()
    for number in range(16):
        harness.client(f"before{number}", 60, LOGIN.format(f"7{number:02}"))
        harness.run(100)
    for number in range(24):
        harness.client(f"silent{number}")
    harness.client("last", LOGIN.format("99"))
    harness.run(4000)
    assert answered(harness, "last") == {"last"}
    # Each silent client is in one counter: closed for others, or after its own time.
    assert (
        harness.counters["clients closed without a line"]
        + harness.counters["clients without a line"]
        == 24
    )


# Each round of silent clients was waited for as long as slow writers had needed, and a whole line
# lay in the queue of the listening socket beyond its time: review/7.
@pytest.mark.parametrize("steps", [(), ("O", 100) * 30], ids=["silent", "a byte each 100 ms"])
def test_line_behind_hundreds_of_silent_clients_is_answered_in_its_time(steps):
    harness = full_balancer()
    for number in range(16):
        line, pieces = LOGIN.format(f"7{number:02}"), ()
        if number % 4 == 3:
            pieces = (line[:1], 100, line[1:5], 100, line[5:9], 100, line[9:12], 100, line[12:])
        harness.client(f"before{number}", *(pieces or (line,)))
        harness.run(500)
    for number in range(200):
        harness.client(f"silent{number}", *steps)
    harness.client("last", LOGIN.format("99"))
    harness.run(2000)  # its time limit
    assert answered(harness, "last") == {"last"}


def test_clients_that_write_slowly_keep_their_place_among_silent_ones():
    harness = full_balancer()
    for number in range(16):
        harness.client(f"before{number}", 60, LOGIN.format(f"7{number:02}"))
        harness.run(100)
    for number in range(100):
        harness.client(f"silent{number}")
    harness.client("slow", "OPEN 99 7f c=pl", 40, "ain,d=2000\r\n")
    harness.run(2000)
    assert answered(harness, "slow") == {"slow"}


def test_clients_are_waited_for_less_the_more_of_them_are_silent():
    share = SilentShare()
    assert share.patience(0, 500 * MS) == 500 * MS
    for _ in range(200):
        share.add(True, 0, 32)
    assert share.patience(0, 500 * MS) < 10 * MS
    for _ in range(32):
        share.add(False, 0, 32)
    assert share.patience(0, 500 * MS) == 500 * MS
    for _ in range(200):
        share.add(True, 0, 32)
    assert share.patience(10 * SECOND, 500 * MS) == 500 * MS


def test_the_estimate_follows_the_times_and_their_deviation():
    estimate = FirstLineTime()
    assert estimate.upper_estimate == 0
    for _ in range(100):
        estimate.add(50 * MS)
    assert 50 * MS * 0.99 < estimate.upper_estimate < 51 * MS
    estimate.add(100 * MS)
    assert estimate.upper_estimate > 100 * MS
