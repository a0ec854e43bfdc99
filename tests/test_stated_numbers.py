"""Numbers that clients and servers state: one outside of its range is refused where it is read.

A balancer process on loopback sockets in virtual time.
"""

import math

import pytest
from crossings import OPEN, Scene, ScriptedClient
from hypothesis import given, settings
from hypothesis import strategies as st

from corklift.interface import MeasurementKind
from corklift.net.parsers import (
    MAX_NUMBER,
    Malformed,
    parse_load_report,
    parse_load_value,
    parse_login_request,
)

TOO_LARGE = ["1.001e21", "1e22", "1e300", "1e308", "9" * 308]
LOAD_SETTINGS = {"family-info": {"report-x0": "load over what it can do", "tells-load": True}}


# A load of 1e308 was taken, and the decisions could not compute with it (OverflowError).
@pytest.mark.parametrize("load", TOO_LARGE, ids=lambda load: load[:8])
def test_client_with_a_load_out_of_range_is_answered_err(load):
    scene = Scene(probes=False)
    client = ScriptedClient(scene, "c1", OPEN.replace("\r\n", f",h={load}\r\n"))
    scene.run(300)
    assert client.receive() == b"ERR\r\n"
    assert scene.counters["bad lines of clients (absurd number)"] == 1
    assert not scene.counters["exceptions"] and not scene.counters["hand-offs"]


# One `LOAD 1e308` made the sum of all loads infinite, so that later logins counted as no load.
def test_load_out_of_range_on_a_connection_leaves_other_loads_as_they_are():
    scene = Scene("scripted", probes=False, **LOAD_SETTINGS)
    client = ScriptedClient(scene, "c1", OPEN.replace("\r\n", ",h=1000\r\n"))
    server = scene.open_connection(client)
    balancer = scene.process.facade._balancer
    before = balancer._mean_cost.relative_load(scene.now, 1e6)
    for value in TOO_LARGE:
        server.write(f"LOAD {value}\r\n".encode())
    scene.run(100)
    assert scene.counters["bad lines of servers (figure)"] == len(TOO_LARGE)
    assert balancer._mean_cost.relative_load(scene.now, 1e6) == pytest.approx(before)


# The capacity that follows from such a count raised in `probe_answered`: logins that waited for
# the answer got no further, and the server's probe connection was closed.
def test_load_report_out_of_range_is_a_bad_answer_and_no_exception():
    scene = Scene("up", "up")
    scene.probe_handler = lambda stream: stream.write(b"PONG x0=0.05,inflight=1e308\r\n")
    scene.run(3000)
    assert scene.counters["bad answers to probes (absurd number)"] >= 2
    assert not scene.counters["exceptions"]
    client = ScriptedClient(scene, "c1")
    scene.run(300)
    assert client.receive().startswith(b"UP ")


@given(st.floats(allow_nan=True, allow_infinity=True))
@settings(max_examples=300, deadline=None)
def test_numbers_are_taken_inside_their_range_only(number):
    in_range = 0 <= number <= MAX_NUMBER
    for parse in (
        lambda text: parse_login_request(f"OPEN 1 2 c=a,d=7,h={text}\r\n".encode()).cost,
        lambda text: parse_load_report(f"x0={text}")["x0"],
        parse_load_value,
    ):
        if in_range:
            assert parse(repr(number)) == number
        else:
            with pytest.raises(Malformed):
                parse(repr(number))


# At the edges of the ranges the decisions still compute with finite numbers.
@pytest.mark.parametrize("number", [0.0, 5e-324, 1e-9, 1.0, MAX_NUMBER])
@pytest.mark.parametrize("other", [0.0, 5e-324, 1.0, MAX_NUMBER])
def test_decisions_stay_finite_at_the_edges_of_the_ranges(number, other):
    scene = Scene("up", "up", "up", **LOAD_SETTINGS)
    reports = iter([(number, other), (other, number)] * 1000)

    def answer(stream):
        stream.write("PONG x0={!r},inflight={!r}\r\n".format(*next(reports)).encode())

    scene.probe_handler = answer
    for index, load in enumerate((number, other) * 5):
        scene.client(f"c{index}", OPEN.replace("\r\n", f",h={load!r}\r\n"), 500, "quit\r\n")
        scene.run(300)
    balancer = scene.process.facade._balancer
    balancer.measurement_received(scene.now, 99, 0, 1, MeasurementKind.LOAD, number * 1000)
    assert not scene.counters["exceptions"]
    assert all(
        math.isfinite(figure)
        for server in balancer._registry.ready
        for figure in (
            server.unreported_load,
            server.relative_capacity,
            balancer._load_reports.projected_utilisation(server) or 0.0,
        )
    )
    assert math.isfinite(balancer._load_reports.mean_utilisation)


# With two weights of 1e308 their sum was infinite and each server had no capacity: every login met
# a ZeroDivisionError and was answered FAILED.
@pytest.mark.parametrize(
    "entry",
    [{"weight": 1e308}, {"weight": 5e-324}, {"weight": -1e308}, {"group": 10**300}]
    + [{"since_ms": 10**300}, {"since_ms": -(10**300)}, {"since_ms": 2**70}],
    ids=lambda entry: str(entry)[:20],
)
@pytest.mark.parametrize("other_weight", [1.0, 1e21, 1e308])
def test_logins_are_placed_whatever_numbers_the_list_states(entry, other_weight):
    scene = Scene("up", "up", "up")
    scene.run(300)
    scene.change_list(
        scene.list_entry("s1") | entry,
        scene.list_entry("s2") | entry,
        scene.list_entry("s3") | {"weight": other_weight},
    )
    scene.run(1000)
    clients = [ScriptedClient(scene, f"c{number}") for number in range(10)]
    scene.run(1000)
    assert not scene.counters["exceptions"]
    assert all(client.receive().startswith(b"UP ") for client in clients)
