"""Tests of the network code: a balancer process on loopback sockets in virtual time, and its parts.

Some compare a trace with a reviewed one in `tests/traces`.
"""

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest
from harness import MS, BalancerHarness, PolicyHarness

from corklift.interface import Login, MeasurementKind, Outcome, Report, Scope
from corklift.net.limits import SECOND, WATCH_CONNECTIONS, ConfigError, Counters, Limits, LogWriter
from corklift.net.parsers import (
    HttpResponse,
    Malformed,
    format_busy,
    hashed_id,
    parse_listing,
    parse_load_report,
    parse_login_request,
    stable_id,
)
from corklift.net.scheduler import Scheduler
from corklift.net.stream import BufferPool, RingBuffer, Stream

OPEN = "OPEN 1 7f c=plain,d=2000,x=9\r\n"


def test_login_is_placed_and_lines_are_forwarded_unchanged():
    harness = BalancerHarness("up")
    harness.client(
        "c1", "PING\r\n", 900, OPEN, 100, "one\r\n", 10, "two\r", 10, "\n", 10, "quit\r\n"
    )
    harness.run(2500)
    harness.check_trace("life")


def test_failed_hand_off_is_retried_until_a_final_rejection():
    # Each way in which a server can end a hand-off before UP, and a server that refuses connects.
    harness = BalancerHarness("up")
    for behaviour in (
        "busy",
        "err",
        "reset",
        "silent",
        lambda harness, stream, line: stream.write(b"nonsense\r\n"),
        lambda harness, stream, line: stream.write(b"x" * 5000),
        lambda harness, stream, line: stream.close(),
    ):
        harness.behaviour["s1"] = behaviour
        harness.record(f"-- {behaviour if isinstance(behaviour, str) else 'garbage, or an end'}")
        harness.client("c", OPEN)
        harness.run(5000)
    harness.listeners["s1"].close()
    harness.record("-- refused")
    harness.client("c", OPEN)
    harness.run(2500)
    harness.check_trace("before_up")


def test_once_only_login_is_retried_only_if_its_last_byte_was_not_sent():
    # A once-only login may be retried after a refused connect, but not if it may have run.
    once = [
        {
            "name": "plain",
            "effect": "side_effect",
            "soft-limit-ns": 800 * MS,
            "time-limit-ns": 3200 * MS,
        }
    ]
    for behaviour, closed, attempts, answer in (
        ("reset", False, 1, "FAILED"),
        ("busy", False, 3, "BUSY"),
        ("up", True, 0, "BUSY"),
    ):
        harness = BalancerHarness(behaviour, workloads=once)
        if closed:
            harness.listeners["s1"].close()
        harness.client("c", OPEN)
        harness.run(3000)
        assert len([line for line in harness.trace if "s1 < OPEN" in line]) == attempts
        assert [line.split()[-1] for line in harness.trace if "c <" in line] == [answer]


BAD_FIRST_LINES = [
    "",
    "\r\n",
    "GET / HTTP/1.1\r\n",
    "OPEN 1 2\r\n",
    "OPEN 1 2 c=plain,d=2000\n",
    "OPEN 1 2 c=other,d=2000\r\n",
    "OPEN 1 2 c=plain\r\n",
    "OPEN 1 2 c=plain,d=-5\r\n",
    "OPEN 1 2 c=plain,d=0\r\n",
    "OPEN 1 2 c=plain,d=1e9\r\n",
    "OPEN 1 2 c=plain,d=99999999999\r\n",
    "OPEN 1 2 c=plain,d=2000,d=2000\r\n",
    "OPEN 1 2 c=plain,d=2000,h=nan\r\n",
    "OPEN 1 2 c=plain,,\r\n",
    "OPEN 1 2 c=plain,d=2000,g=\xff\r\n",
    "x" * 4096,
    "OPEN " + "x" * 4100 + "\r\n",
    "OPEN 1 2 c=pl",
]


def test_bad_first_lines_are_rejected_and_counted():
    harness = BalancerHarness("up")
    for number, text in enumerate(BAD_FIRST_LINES):
        harness.record(
            f"-- {text[:40]!r}{f' and so on, {len(text)} long' if len(text) > 40 else ''}"
        )
        harness.client("c", text)
        harness.run(6000)
    harness.client("c", "OPEN 1 2 c=pl", None)  # closes early
    harness.client("d", "OPEN 1 2 c=pl", ...)
    harness.client("e", *[step for letter in OPEN for step in (letter, 250)])  # sends slowly
    harness.run(9000)
    harness.record(harness.counters.text())
    harness.check_trace("bad_input")
    assert not harness.counters["exceptions"] and len(harness.process.relay._pending) == 0


def test_bad_clients_reach_no_server_and_are_disconnected_soon():
    # Misbehaving clients use a name twice, pipeline commands, send slowly, endlessly or nothing, or
    # stay after a rejection. Servers reject duplicate names, which would count against the servers;
    # hundreds of such clients would use up the descriptors.
    harness = BalancerHarness("up", limits={"sockets": 256, "memory_mb": 32})
    harness.client("c1", OPEN, 9000, "still here\r\n")
    harness.run(100)
    for name, steps in (
        ("twin", ("OPEN c1 9 c=plain,d=2000\r\n",)),
        ("pair", (OPEN + "OPEN 2 2 c=plain,d=9\r\n",)),
        ("pings", ("PING\r\n" * 300,)),
        ("drip", (*["PING\r\n", 100] * 40,)),
        ("endless", ("x" * 2000, 1) * 60),
        ("mute", ()),
    ):
        harness.record(f"-- {name}")
        harness.client(name, *steps)
        harness.run(3000)
    harness.record("-- early")
    harness.behaviour["s1"] = "silent"
    harness.client("early", OPEN, 50, "too soon\r\n")
    harness.run(1000)
    harness.behaviour["s1"] = "up"
    harness.record("-- a name of late")
    harness.client("again", "OPEN early 9 c=plain,d=2000\r\n")
    harness.client("anew", 10, "OPEN early 9 c=plain,d=2000\r\n")
    harness.run(6000)
    harness.client("last", "OPEN early 9 c=plain,d=2000\r\n", 10, None)
    harness.run(1000)
    harness.trace = [line for line in harness.trace if "PONG" not in line]
    harness.record(harness.counters.text())
    harness.check_trace("bad_clients")
    for number in range(300):
        harness.client(f"bad{number}", "nonsense\r\n" if number % 2 else "x" * 4096)
        harness.client(f"mute{number}")
        harness.client(f"muter{number}", "PING\r\n")
        if number % 30 == 0:
            harness.client(f"good{number}", OPEN)
    harness.trace.clear()
    began = harness.now
    harness.run(3000)
    ups = [line for line in harness.trace if " < UP" in line]
    assert len(ups) == 10 and (harness.START + int(ups[-1].split()[0]) * MS - began) < 250 * MS
    assert (
        len([line for line in harness.trace if "bad" in line or "mute" in line and "ended" in line])
        >= 900
    )
    assert harness.counters["exceptions"] == 0 and not harness.process.relay._pending


def test_close_and_reset_are_forwarded():
    def reset(harness, stream, line):
        stream.write(b"UP s\r\n") if line.startswith("OPEN") else stream.abort()

    def fin(harness, stream, line):
        stream.write(b"UP s\r\n") if line.startswith("OPEN") else stream.shutdown_write()

    harness = BalancerHarness("up")
    for what, behaviour, steps in (
        ("client ends", "up", (100, None)),
        ("client resets", "up", (100, ...)),
        ("server resets", reset, (100, "x\r\n")),
        ("server ends", fin, (100, "x\r\n")),
        ("client leaves before its answer", "silent", (100, None)),
    ):
        harness.behaviour["s1"] = behaviour
        harness.record(f"-- {what}")
        harness.client("c", OPEN, *steps)
        harness.run(4000)
    harness.check_trace("ends")


def test_move_is_sent_between_lines_and_unresponsive_servers_are_left():
    def drip(harness, stream, line):
        stream.write(b"UP s1\r\n" if line.startswith("OPEN") else b"half a li")

    harness = BalancerHarness(drip)
    harness.client("c1", OPEN, 500, "x\r\n")
    harness.run(1500)
    harness.change_list(harness.list_entry("s1", "leaving"))
    harness.run(2000)
    harness.check_trace("move_between_lines")
    # A server that sends garbage: the client is told to log in again.
    harness = BalancerHarness(
        lambda harness, stream, line: stream.write(
            b"UP s1\r\n" if line.startswith("OPEN") else b"x" * 5000
        )
    )
    harness.client("c1", OPEN, 500, "x\r\n")
    harness.run(1500)
    assert [line[7:] for line in harness.trace if " c1 <" in line] == ["c1 < UP s1", "c1 < MOVE"]
    # A server that accepts and never answers: its connections, and the probes that they cause,
    # reveal it within 7 s.
    harness = BalancerHarness("up")
    harness.client("c1", OPEN, 1000, "one\r\n")
    harness.run(1800)
    harness.behaviour["s1"] = "silent"
    harness.client("c2", 100, "PING\r\n")
    harness.run(7000)
    moved = [line for line in harness.trace if "MOVE" in line]
    assert len(moved) == 1 and 1800 < int(moved[0].split()[0]) < 8800


def test_unanswered_line_moves_the_client_although_probes_are_answered():
    def deaf(harness, stream, line):
        if line.startswith("OPEN"):
            stream.write(b"UP s1\r\n")

    harness = BalancerHarness(deaf)
    harness.client("c1", OPEN, 1000, "one\r\n")
    harness.run(7800)
    assert [
        line.split()[1:] for line in harness.trace if " c1 <" in line or "c1 ended" in line
    ] == [
        ["c1", "<", "UP", "s1"],
        ["c1", "<", "MOVE"],
        ["c1", "ended"],
    ]


def test_full_balancer_answers_busy_and_disconnects_idle_clients():
    harness = BalancerHarness("up", limits={"sockets": 39})
    assert harness.limits.clients == 5 and harness.limits.waiting == 8
    for number in range(12):
        harness.client(f"lurker{number}")
    for number in range(1, 9):
        harness.client(f"c{number}", 50, OPEN, 200, "still here\r\n")
    harness.run(1000)
    answers = [
        line.split(" < ")[1].split()[0]
        for line in harness.trace
        if " < UP" in line or " < BUSY" in line
    ]
    assert sorted(answers) == ["BUSY"] * 3 + ["UP"] * 5
    assert len([line for line in harness.trace if "echo still here" in line]) == 5
    assert (
        harness.counters["logins bounced without room"] == 3
        and not harness.counters["no descriptor for a client"]
    )


def test_ping_is_answered_when_ready_and_connections_are_restored_at_their_server():
    harness = BalancerHarness("up", "up")
    harness.client("c1", "PING\r\n")
    harness.client("c2", "OPEN 5 7f c=plain,at=s2,g=a\r\n", 100, "x\r\n", 100, "quit\r\n")
    harness.client("c3", "OPEN 6 7f c=plain,d=3000,at=unknown\r\n")
    harness.run(5000)
    harness.check_trace("start")


def test_shutdown_accepts_briefly_then_moves_all_clients_in_time():
    harness = BalancerHarness("up")
    for number in range(1, 6):
        harness.client(f"c{number}", OPEN)
    harness.run(1000)
    harness.process.request_stop()
    harness.client("c6", 300, OPEN)  # arrives while logins are still accepted
    harness.client("c7", 700, OPEN)
    began = harness.now
    harness.process.scheduler.run()
    assert harness.now - began < 3700 * MS
    harness.run(1000)
    harness.trace = [line for line in harness.trace if "s1" not in line or "UP" in line]
    harness.check_trace("stop")


def test_known_list_stays_in_force_while_discovery_is_faulty():
    harness = BalancerHarness("up", "up")
    harness.run(500)
    for answer in (
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}",
        b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 what\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
    ):
        harness.send_list(answer)
        harness.run(400)
    harness.client("c1", OPEN)
    harness.run(100)
    harness.change_list(harness.list_entry("s1", "leaving"))
    harness.run(300)
    for number in range(4):
        harness.client(f"d{number}", OPEN)
    harness.run(500)
    harness.run(10_000)
    harness.record(f"calls {harness.discovery_requests}")
    harness.check_trace("discovery")
    assert {line.split()[-1] for line in harness.trace if " d" in line and "< UP" in line} == {"s2"}


@pytest.mark.parametrize(
    "discovery, earliest, latest", [("on_request", 1250, 3750), ("pushed", 50, 150)]
)
def test_overloaded_discovery_is_asked_late_and_for_changes_only(discovery, earliest, latest):
    # Dozens of balancers that request the full list at once would keep discovery overloaded. A
    # change counts as known 6 s after discovery had it, though, and where lists are pushed as soon
    # as the agent on the same machine has it: the next call may not come later either.
    pauses = set()
    for seed in range(6):
        harness = BalancerHarness("up", "up", seed=str(seed), discovery=discovery)
        harness.run(2500)
        refused, overloaded = len(harness.discovery_requests), b"HTTP/1.1 503 Later\r\n"
        for _ in range(2):  # first the call that waits, then one that does not
            harness.send_list(overloaded + b"Content-Length: 0\r\n\r\n")
            harness.run(1)
        harness.run(8000)
        times = [at for at, _ in harness.discovery_requests[refused : refused + 2]]
        assert times[0] - 2500 <= latest + 2 and harness.counters["discovery failures"] == 2
        assert earliest <= times[1] - times[0] <= latest + 2, times
        assert not any(path == "/registry/instances" for _, path in harness.discovery_requests)
        pauses.add(times[1] - times[0])
    assert len(pauses) > 3, pauses
    harness.client("c1", OPEN)
    harness.run(100)
    assert any("c1 < UP" in line for line in harness.trace)


def test_balancers_that_start_together_spread_their_first_calls():
    firsts = []
    for seed in range(8):
        harness = BalancerHarness("up", seed=str(seed), discovery="on_request")
        harness.run(2500)
        firsts.append(harness.discovery_requests[0])
    assert {path for _, path in firsts} == {"/registry/instances?index=1&wait=0"}
    times = sorted(at for at, _ in firsts)
    assert times[0] < 700 and 1200 < times[-1] <= 2000 and len(set(times)) == 8, times


def test_full_list_is_requested_if_discovery_moves_before_the_first_call():
    # A version number of the old discovery means nothing to the new one.
    harness = BalancerHarness("up", discovery="on_request")
    harness.run(100)
    harness.move_discovery()
    harness.process.watch.reconfigure(
        ("127.0.0.1", harness.discovery_listener.getsockname()[1]), harness.limits
    )
    harness.run(3000)
    assert (
        harness.counters["exceptions"] == 0
        and harness.discovery_requests[0][1] == "/registry/instances at 2"
    ), harness.discovery_requests


def test_reload_moves_the_watch_and_a_bad_configuration_changes_nothing(tmp_path):
    # SIGHUP must not end the process, and the watch must not keep waiting at the old address.
    harness = BalancerHarness("up", "up")
    harness.client("c1", OPEN, 2000, "one\r\n", 5000, "two\r\n")
    harness.run(1500)
    for number in range(3):  # two reloads at once, also during the first call to the new address
        harness.move_discovery()
        harness.reload(tmp_path / "config")
        harness.reload(tmp_path / "config")
        harness.run(40 * number)
    harness.run(500)
    for change in (
        {"discovery": "nowhere"},
        {"limits": {"sockets": 5}},
        {"settings": {"workloads": 3}},
        {"settings": harness.config["settings"] | {"family-info": 7}},
        {"known": None},
    ):
        harness.reload(tmp_path / "config", **change)
        harness.run(300)
    harness.change_list(harness.list_entry("s1", "leaving"))
    harness.run(500)
    harness.client("c2", OPEN)
    harness.run(4000)
    harness.record(f"calls {harness.discovery_requests}")
    harness.check_trace("reload")
    assert (
        harness.counters["configurations taken"] == 6
        and harness.counters["configurations refused"] == 5
    )
    assert not harness.counters["exceptions"]


def test_stalled_discovery_response_is_requested_again_at_once():
    # The incomplete response has a drain; no login may go to that server meanwhile.
    harness = BalancerHarness("up", "up")
    harness.run(500)
    body = json.dumps(
        {"index": 2, "snapshot": False, "endpoints": [harness.list_entry("s1", "leaving")]}
    ).encode()
    harness.send_list(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[:-5]))
    harness.run(10)
    harness.list_version, harness.watch_response = 2, json.loads(body)
    harness.run(300)
    for number in range(8):
        harness.client(f"c{number}", OPEN)
    harness.run(300)
    assert {line.split()[-1] for line in harness.trace if "< UP" in line} == {"s2"}
    assert harness.counters["discovery calls beside others"] == 1
    assert harness.counters["discovery failures"] == 0


def test_reload_applies_settings_and_connections_keep_their_workload(tmp_path):
    plain = {"name": "plain", "soft-limit-ns": 800 * MS, "time-limit-ns": 3200 * MS}
    harness = BalancerHarness("up", localities=["a", "b"], zone=1)
    harness.client("c1", OPEN, 3000, "x\r\n")
    harness.run(1000)
    settings = harness.config["settings"] | {
        "workloads": [
            plain | {"name": "new", "time-limit-ns": 900 * MS},
            plain | {"importance": 3},
        ],
        "localities": ["b", "a"],
        "zone": 0,
        "permissions": harness.config["settings"]["permissions"] | {"max-hand-offs": 1},
    }
    harness.reload(tmp_path / "config", settings=settings)
    harness.run(500)
    balancer = harness.process.facade._balancer
    assert [(w.name, w.importance) for w in balancer._workloads] == [("plain", 3), ("new", 1.0)]
    assert balancer._draw._zone == hashed_id("b") != hashed_id("a")
    harness.behaviour["s1"] = "busy"  # the new settings permit one hand-off only
    harness.client("c2", "OPEN 1 7f c=new,d=2000\r\n")
    harness.run(1000)
    harness.reload(
        tmp_path / "config", settings=settings | {"workloads": settings["workloads"][:1]}
    )
    harness.run(100)
    harness.client("c3", OPEN)  # a workload that the reload has removed
    harness.behaviour["s1"] = "up"
    harness.run(2000)
    harness.check_trace("reload_settings")


def test_reload_applies_limits_and_address_and_clients_stay(tmp_path):
    harness = BalancerHarness("up")
    for number in range(20):
        harness.client(f"c{number}", 100, OPEN, 2500, "still here\r\n")
    harness.run(1000)
    first = harness.process.port
    harness.client("late", 1000, OPEN)  # connects to the old address before the reload
    harness.reload(
        tmp_path / "config", listen="127.0.0.2:0", limits={"memory_mb": 64, "sockets": 60}
    )
    harness.run(500)
    assert harness.process.port != first and harness.process.relay._limits.clients < 20
    harness.run(3000)
    assert len([line for line in harness.trace if "echo still here" in line]) == 20
    assert [line.split()[-1] for line in harness.trace if "late <" in line] == ["BUSY"]


def test_probe_connection_is_reused_and_replaced_after_close_or_garbage():
    seen = []

    def once(stream):  # answers one probe, every third one with garbage, and closes
        seen.append(stream)
        stream.write(b"PONG x0=0.2,inflight=3\r\n" if len(seen) % 3 else b"PONG x0=lots\r\n")
        stream.shutdown_write()

    harness = BalancerHarness("up", "up")
    harness.probe_handler = once
    harness.run(20_000)
    assert not harness.counters["exceptions"] and len(set(seen)) == len(seen)
    assert harness.counters["bad answers to probes (no number)"] == len(seen) // 3
    assert (
        harness.counters["probes fulfilled"]
        == len(seen) - len(seen) // 3
        == harness.counters["probes"] - len(seen) // 3
    )
    harness.probe_handler = None
    harness.run(20_000)
    assert harness.counters["probe connections"] <= len(seen) + 2


def test_all_servers_are_probed_with_fewer_connections_than_servers():
    harness, seen = BalancerHarness(*["up"] * 12, limits={"sockets": 64}), set()
    assert harness.limits.probes == 8
    real = harness.process.facade.probe_finished
    harness.process.facade.probe_finished = lambda server, outcome, *rest: (
        outcome is Outcome.FULFILLED and seen.add(server),
        real(server, outcome, *rest),
    )
    harness.run(4000)
    assert (
        len(seen) == 12
        and harness.counters["probes without a descriptor"] == harness.counters["exceptions"] == 0
    )
    assert len(harness.process.probes._tasks) <= harness.limits.probes + 1


def test_exception_ends_only_its_connection():
    harness = BalancerHarness("up")
    harness.client("c1", OPEN, 1000, "x\r\n")
    harness.run(500)
    real = harness.process.facade.report_connected
    harness.process.facade.report_connected = lambda handle: 1 / 0
    harness.client("c2", OPEN)
    harness.run(300)
    harness.process.facade.report_connected = real
    harness.run(1000)
    assert harness.counters["exceptions"] == 1
    assert any("c1 < echo x" in line for line in harness.trace)
    assert [line.split()[2:] for line in harness.trace if " c2" in line and "OPEN" not in line] == [
        ["<", "FAILED"],
        ["ended"],
    ]
    assert len(harness.process.facade._logins) == 1


def test_background_tasks_survive_exceptions():
    # An exception in one timer, probe or list update must not stop all later ones.
    harness = BalancerHarness("up", "up")
    harness.run(1000)
    facade = harness.process.facade
    for name in ("run_due_timers", "next_probe", "apply_listing"):
        real = getattr(facade, name)

        def fails(*arguments, name=name, real=real):
            setattr(facade, name, real)
            raise RuntimeError(name)

        setattr(facade, name, fails)
        harness.change_list(harness.list_entry("s1"))
        harness.run(3000)
        probes = harness.counters["probes fulfilled"]
        harness.run(2000)
        assert harness.counters["probes fulfilled"] > probes
    harness.change_list(harness.list_entry("s1", "leaving"))
    harness.run(500)
    harness.client("c1", OPEN)
    harness.run(500)
    assert harness.counters["exceptions"] == 3 and harness.trace[-1].endswith("c1 < UP s2")
    # Discovery moves just after the watch has failed.
    real = facade.apply_listing
    facade.apply_listing = lambda *arguments: 1 / 0
    harness.change_list(harness.list_entry("s1"))
    harness.run(10)
    facade.apply_listing = real
    harness.move_discovery()
    harness.process.watch.reconfigure(
        ("127.0.0.1", harness.discovery_listener.getsockname()[1]), harness.limits
    )
    harness.run(500)
    assert (
        harness.discovery_requests[-1][1].endswith(" at 2")
        and harness.process.watch._index == harness.list_version
    )


# Single components


def test_ring_buffer_keeps_the_order_of_bytes():
    rng = Random(3)
    ring, model = RingBuffer(50), b""
    for step in range(3000):
        content = bytes(rng.choice(b"ab\n") for _ in range(rng.randrange(12)))[: ring.free_bytes]
        ring.append(content)
        model += content
        assert len(ring) == len(model) and ring.line_length() == model.find(b"\n") + 1
        number = rng.randrange(len(model) + 1)
        assert ring.read(number) == model[:number]
        model = model[number:]


def test_http_response_is_parsed_independently_of_its_split():
    body = b'{"index":3,"snapshot":true,"endpoints":[]}'
    responses = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n" + body,
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10;x=1\r\n"
        + body[:16]
        + b"\r\n1A\r\n"
        + body[16:]
        + b"\r\n0\r\nTrailer: x\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n" + body,
    ]
    rng = Random(1)
    for response_bytes in responses:
        for _ in range(50):
            response, offset = HttpResponse(1000), 0
            while not response.done:
                step = rng.randrange(1, 9)
                response.feed(response_bytes[offset : offset + step])
                offset += step
            assert response.json() == json.loads(body) and response.keep_alive
    response = HttpResponse(1000)
    response.feed(b"HTTP/1.0 200 OK\r\n\r\n" + body)
    response.connection_closed()
    assert response.json()["index"] == 3 and not response.keep_alive
    for bad in (
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n",
        b"x" * 20000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n" + b"y" * 2000,
        b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
    ):
        with pytest.raises(Malformed):
            HttpResponse(1000).feed(bad)
    with pytest.raises(Malformed):
        cut = HttpResponse(1000)
        cut.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n{")
        cut.connection_closed()


def test_login_request_is_forwarded_with_the_remaining_time_only_changed():
    line = b"OPEN 9b1f dd=5 c=plain,pd=1,d=2000,g=5c\r\n"
    request = parse_login_request(line)
    assert (request.workload, request.max_wait, request.subject, request.group) == (
        "plain",
        2000 * MS,
        "dd=5",
        "5c",
    )
    assert request.with_time_limit(1234 * MS + 5) == b"OPEN 9b1f dd=5 c=plain,pd=1,d=1234,g=5c\r\n"
    assert (
        parse_login_request(b"OPEN 1 2 d=7,c=a,again=1\r\n").with_time_limit(MS)
        == b"OPEN 1 2 d=1,c=a,again=1\r\n"
    )
    assert parse_login_request(b"OPEN 1 2 d=7,c=a,again=1\r\n").came_back
    assert format_busy(0) == b"BUSY\r\n" and format_busy(250 * MS) == b"BUSY 250\r\n"
    assert (
        parse_load_report("x0=0.61,inflight=7") == {"x0": 0.61, "inflight": 7.0}
        and parse_load_report("") is None
    )


def test_server_ids_are_stable_and_unique():
    assert stable_id("s-5be2a07c") == stable_id("5be2a07c") == 0x5BE2A07C and stable_id(
        "here"
    ) == stable_id("here")
    assert stable_id("s1") != stable_id("s2")
    harness = BalancerHarness()
    facade = harness.process.facade
    entries = [
        {"name": name, "address": f"127.0.0.1:{port}", "status": "active"}
        for port, name in enumerate(("a-5be2a07c", "b-5be2a07c", "toy"), 1)
    ]
    for _ in range(2):
        facade.apply_listing(
            Scope.FULL, parse_listing({"index": 1, "snapshot": True, "endpoints": entries})
        )
    targets = [facade.find_server(entry["name"]) for entry in entries]
    assert [target.address[1] for target in targets] == [1, 2, 3] and len(
        {target.server for target in targets}
    ) == 3


def test_unreadable_list_entries_remove_no_server():
    good = {"name": "s1", "address": "127.0.0.1:1", "status": "active", "since_ms": 5}
    for change in (
        {"address": "here"},
        {"address": "1.2.3.999:1"},
        {"status": "odd"},
        {"weight": "x"},
        {"name": 3},
        {"since_ms": None},
        {"weight": float("inf")},
        # Half of a surrogate pair, which raised when the list was applied: none was any more.
        {"name": "s\ud800"},
        {"zone": "\udfff"},
        {"type": "\udfff"},
    ):
        with pytest.raises(Malformed):
            parse_listing({"index": 1, "snapshot": True, "endpoints": [good, good | change]})
        changes = parse_listing({"index": 1, "snapshot": False, "endpoints": [good, good | change]})
        assert len(changes.entries) == 1 and changes.unreadable_count == 1
    assert (
        parse_listing({"index": 1, "snapshot": True, "endpoints": [good]}).entries[0].started_at
        == 5 * MS
    )


def test_void_timers_are_purged_and_wake_ups_are_not_lost():
    harness = BalancerHarness()
    scheduler = Scheduler(lambda: harness.now, harness.record, None)
    scheduler._poll = harness.process.scheduler._poll
    seen = []

    def sleeper():
        for _ in range(5000):
            scheduler.wait({}, harness.now + 3600_000 * MS)
            seen.append(1)
        scheduler.stop()

    task = scheduler.spawn(sleeper)
    scheduler.spawn(
        lambda: [(scheduler.wake(task), scheduler.wait({}, harness.now)) for _ in range(6000)]
    )
    scheduler.run()
    assert len(seen) == 5000 and len(scheduler._timers) < 2500


def test_log_lines_beyond_the_rate_are_dropped_and_counted(capsys):
    now = [0]
    counters = Counters()
    limits = Limits.from_deployment(
        {"sockets": 100, "memory_mb": 64}, 200 * MS, 3, 3200 * MS, 10_000 * MS, False
    )
    log_writer = LogWriter(limits, lambda: now[0], counters)
    for number in range(1000):
        log_writer.write(f"line {number}")
    now[0] = 2000 * MS
    log_writer.write("later")
    log_writer.flush()
    lines = capsys.readouterr().err.splitlines()
    assert (
        len(lines) == limits.printed + 1 and counters["log lines dropped"] == 1000 - limits.printed
    )
    assert lines[-1] == f"corklift: later ({1000 - limits.printed} lines before this were dropped)"


def test_the_connection_that_holds_buffers_for_longest_is_given_up_beyond_the_limit():
    counters, limits = Counters(), Limits(1, 8, 8, 200 * MS, SECOND)
    pool = BufferPool(3 * limits.ring, counters)
    pairs = [socket.socketpair() for _ in range(3)]
    first, second, third = (Stream(ours, limits, pool) for ours, _ in pairs)
    server = Stream(socket.socketpair()[0], limits, pool, owner=first)
    first.receive_buffer.append(b"half a line")
    second.receive_buffer.append(b"a line\r\n")
    assert second.read_line() == b"a line\r\n"  # takes no memory any more
    server.receive_buffer.append(b"half a line")
    third.receive_buffer.append(b"half a line")
    assert not counters
    second.receive_buffer.append(b"half a line")
    # The buffers of its server's stream count as those of the client, and are free with them.
    assert first.broken and not (second.broken or third.broken or server.broken)
    assert counters == {"connections given up for memory": 1}
    assert not len(first.receive_buffer) and not len(server.receive_buffer)
    pairs[0][1].setblocking(False)
    assert pairs[0][1].recv(1) == b""  # the socket has ended, which wakes its task
    third.close()
    first.close()
    for stream in (second, third):
        assert len(stream.receive_buffer)
    first.send_buffer.append(b"after its end")  # counts no more
    assert counters["connections given up for memory"] == 1


def test_limits_reserve_probe_descriptors_and_reject_impossible_values():
    for sockets, memory in ((36, 64), (1024, 192), (20000, 192), (400, 16)):
        limits = Limits.from_deployment(
            {"sockets": sockets, "memory_mb": memory}, 200 * MS, 12, 3200 * MS, 10_000 * MS, False
        )
        reserved = 9 + WATCH_CONNECTIONS
        assert 2 * limits.clients + limits.waiting + limits.probes + reserved <= sockets
        assert limits.clients * 4 * limits.ring <= memory << 20 >> 1
    for sockets, memory, key in (
        (20, 64, "sockets"),
        (400, 0, "memory_mb"),
        ("many", 64, "sockets"),
    ):
        with pytest.raises(ConfigError, match=key):
            Limits.from_deployment(
                {"sockets": sockets, "memory_mb": memory},
                200 * MS,
                12,
                3200 * MS,
                10_000 * MS,
                False,
            )


def run_balancer(tmp_path, config, interact=None) -> subprocess.CompletedProcess:
    path = tmp_path / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    process = subprocess.Popen(
        [sys.executable, "-m", "corklift"],
        cwd=Path(__file__).parent.parent,
        env=os.environ | {"BALANCER_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )
    if interact:
        interact(process)
    return process.wait(timeout=20), process.stderr.read()


CONFIG = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "5",
    "limits": {"memory_mb": 64, "sockets": 200},
    "known": {"index": 1, "snapshot": True, "endpoints": []},
    "settings": {
        "workloads": [{"name": "w", "soft-limit-ns": 8, "time-limit-ns": 9}],
        "rules": {},
        "permissions": {"connect-timeout-ns": 200, "keepalive-ns": 5000},
    },
}


@pytest.mark.parametrize(
    "change, key",
    [
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": "registry.example:80"}, "discovery"),
        ({"limits": {"sockets": 200, "memory_mb": 1e306}}, "limits"),
        pytest.param("[" * 100_000, "BALANCER_CONFIG", id="deep"),
        ({"seed": "zz"}, "seed"),
        ({"limits": {}}, "limits.sockets"),
        ({"known": {"endpoints": 3}}, "known"),
        ({"settings": {}}, "rules"),
        ("{", "BALANCER_CONFIG"),
        (
            {
                "settings": CONFIG["settings"]
                | {"workloads": [{"name": "w", "time-limit-ns": -1, "soft-limit-ns": 1}]}
            },
            "time-limit-ns",
        ),
        ({"settings": CONFIG["settings"] | {"rules": {"cold-from": "x"}}}, "cold-from"),
    ],
)
def test_bad_settings_exit_with_a_line_that_names_the_key(tmp_path, change, key):
    code, stderr = run_balancer(tmp_path, change if isinstance(change, str) else CONFIG | change)
    assert code not in (0, None) and key in stderr and stderr.count("\n") == 1


def test_signals_print_the_counters_and_stop_the_process(tmp_path):
    def send_signals(process):
        assert process.stderr.readline().startswith("corklift: discovery: Gone")
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGUSR1)
        line = process.stderr.readline()
        while "counters" not in line:
            line = process.stderr.readline()
        process.send_signal(signal.SIGTERM)

    code, stderr = run_balancer(tmp_path, CONFIG, send_signals)
    assert (
        code == 0
        and "told to stop" in stderr
        and stderr.splitlines()[-1].startswith("corklift: counters: ")
    )


# Decisions that the network code depends on


def test_unanswered_line_causes_an_immediate_probe():
    # Otherwise only the next regular probe, up to 2 s later, would reveal an unresponsive server.
    harness = PolicyHarness()
    harness.list_servers(1, 2)
    harness.auto = {1: Report(5, 0.2), 2: Report(5, 0.2)}
    harness.run(4000)
    harness.balancer.connection_resumed(harness.now, Login(9, 0, 0, 0, 0, None, 0), 2)
    harness.auto[2] = Outcome.TIMED_OUT
    server = harness.balancer._registry.servers[2]
    while harness.balancer._load_reports.is_recent(harness.now, server):
        harness.run(10)
    probe_count = len(harness.pending_probes)
    # A measurement alone causes no probe.
    harness.balancer.measurement_received(harness.now, 9, 0, 2, MeasurementKind.DELAY, 400 * MS)
    assert len(harness.pending_probes) == probe_count
    harness.balancer.message_unanswered(harness.now, 2)
    harness.balancer.message_unanswered(harness.now, 2)  # at most one probe at a time
    assert harness.pending_probes[probe_count:] == [2]


def test_balancer_without_logins_probes_all_servers():
    # Without logins their rate is unknown; probing a single server would leave the others unknown.
    harness, probed = PolicyHarness(probe_price=0.01, balancers=2), set()
    harness.probe = lambda server: (probed.add(server), harness.pending_probes.append(server))
    harness.list_servers(1, 2, 3)
    harness.run(1000)
    assert probed == {1, 2, 3}
    # Restored connections give a first rate, which justifies probes of some servers only.
    harness.balancer.connection_resumed(harness.now, Login(9, 0, 0, 0, 0, None, 0), 2)
    harness.run(150)
    assert harness.trace == ["  1058 log: probing some of 3 servers"]


@pytest.mark.parametrize("report", [b"PONG x0=0,inflight=0\r\n", b"PONG x0=0,inflight=13\r\n"])
def test_zero_reports_are_ignored_until_connections_are_restored(report):
    # After a start, servers would look empty or idle while their connections are being restored.
    harness, reports = BalancerHarness("up", "up"), []
    harness.probe_handler = lambda stream: stream.write(report)
    real = harness.process.facade._balancer.probe_answered
    harness.process.facade._balancer.probe_answered = lambda *arguments: (
        reports.append((arguments[0], arguments[-1])),
        real(*arguments),
    )
    harness.client("c1", 1500, "OPEN 5 7f c=plain,at=s2\r\n")
    harness.run(6000)
    accepted_at = [at for at, result in reports if result is not None]
    assert reports and accepted_at and min(accepted_at) >= harness.START + 3000 * MS


def test_end_of_a_task_does_not_wake_its_parent():
    now, seen, problems = [0], [], []

    class Poll:
        def poll(self, pause):
            now[0] += (pause or 0) * MS
            return []

    scheduler = Scheduler(lambda: now[0], problems.append, Poll())

    def child():
        scheduler.sleep(5 * MS)
        seen.append(("child", now[0] // MS))

    def parent():
        scheduler.spawn(child)
        scheduler.wait({}, 50 * MS)
        seen.append(("parent", now[0] // MS, scheduler.current is task))
        scheduler.stop()

    task = scheduler.spawn(parent)
    scheduler.run()
    assert seen == [("child", 5), ("parent", 50, True)] and not problems
