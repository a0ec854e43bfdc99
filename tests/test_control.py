"""The control service on loopback, with stand-in proxies, transcribers and discovery; the failures it is meant for."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from pathlib import Path

import grpc
import pytest
from envoy.service.discovery.v3 import discovery_pb2
from fleet import CONFIG, Fleet, settle
from loop import wait_for

from corklift.control.config import ControlConfigError, parse_config
from corklift.control.service import ADS, LRS
from corklift.control.status import fetch_status, status_rows
from corklift.control.subscriptions import ResourceKind
from corklift.control.weights import TOTAL_WEIGHT, WeightPublisher, WeightSettings
from corklift.net.limits import MS, SECOND
from corklift.rpc.core import RpcLimits
from corklift.standins.proxy import CDS, EDS, Habits

ROOT = Path(__file__).parent.parent
ALL = ("s1", "s2", "s3")
SAME = dict(request_serializer=lambda m: m, response_deserializer=lambda m: m)


def test_both_variants_place_by_the_weights_and_leave_a_drained_server_at_once():
    with Fleet() as fleet:
        fleet.list_all()
        service = fleet.service()
        proxies = [fleet.proxy(service, Habits(incremental=n % 2 == 1)) for n in range(4)]
        for proxy in proxies:
            fleet.holds(proxy, *ALL)
        # a busy server gets less, and what proxies placed counts before a probe tells of it
        fleet.do(lambda: setattr(fleet.servers["s1"], "open", 60))
        wait_for(lambda: all(fleet.weights(p).get("s1", 0) < TOTAL_WEIGHT / 20 for p in proxies))
        for number in range(40):
            fleet.do(lambda: fleet.scheduler.spawn(proxies[number % 4].place, "plain", 60 * SECOND))
        wait_for(lambda: len(fleet.placed) == 40)
        wait_for(lambda: service.program.counters["logins placed by proxies"] == 40)
        assert Counter(placed.server for placed in fleet.placed)["s1"] <= 10
        fleet.mark("s2", "leaving")
        began = time.monotonic()
        for proxy in proxies:
            wait_for(lambda: "s2" not in fleet.weights(proxy), 0.5)
        assert time.monotonic() - began < 0.5
        fleet.mark("s2", "active")
        for proxy in proxies:
            fleet.holds(proxy, *ALL)


@pytest.mark.parametrize("incremental", [False, True])
def test_a_proxy_that_never_answers_or_refuses_still_loses_a_drained_server(incremental):
    with Fleet() as fleet:
        fleet.list_all()
        service = fleet.service("", "[weights]\nevery_ms = 100")
        # Responses of endpoints that hold s1 with others are refused from the second on: a weight, not the drain.
        refuses = lambda url, names, count: "entry s1 is odd" if url == EDS and count == 2 else None  # noqa: E731
        silent = fleet.proxy(service, Habits(incremental, acks=False))
        refusing = fleet.proxy(service, Habits(incremental, refuses=refuses))
        for proxy in (silent, refusing):
            fleet.holds(proxy, *ALL)
        fleet.do(lambda: setattr(fleet.servers["s1"], "open", 50))
        wait_for(lambda: refusing.held.refused)

        def refused():
            answer = fetch_status(("127.0.0.1", service.port), node=refusing.node)
            return [row for row in status_rows(answer) if row["refused"]]

        (row,) = wait_for(refused)
        assert (
            row["refused"] == "3: entry s1 is odd"
            and row["state"] == "nacked"
            and row["kind"] == "endpoints"
        )
        for name in ("s1", "s2"):
            fleet.mark(name, "leaving")
            for proxy in (silent, refusing):
                wait_for(lambda: name not in fleet.weights(proxy), 0.5)


def test_lost_half_way_a_proxy_comes_back_stale_and_is_brought_up_to_date():
    with Fleet() as fleet:
        fleet.list_all()
        service = fleet.service()
        proxies = [fleet.proxy(service, Habits(incremental=n == 1)) for n in range(2)]
        for proxy in proxies:
            fleet.holds(proxy, *ALL)
        for round_ in range(3):
            fleet.do(
                lambda: [proxy.channel.abort_connection() for proxy in proxies]
            )  # lost as the update goes out
            fleet.mark("s1", "leaving")
            for proxy in proxies:
                fleet.holds(proxy, "s2", "s3")
            fleet.mark("s1", "active")
            for proxy in proxies:
                fleet.holds(proxy, *ALL)
        # versions and nonces that were never issued
        for proxy in proxies:

            def spoil(proxy=proxy):
                proxy.held.versions = dict.fromkeys(proxy.held.versions, "never issued")
                proxy.held.resources[EDS] = {"plain": ("never issued", b""), "gone": ("5", b"")}
                proxy.channel.abort_connection()

            fleet.do(spoil)
            fleet.holds(proxy, *ALL)
        wait_for(
            lambda: all(
                not service.program.subscriptions.outdated_kinds(n)
                for n in list(service.program.subscriptions.streams)
            )
        )


def test_names_and_types_that_do_not_exist_and_requests_without_measure():
    with Fleet() as fleet:
        fleet.list_all()
        service = fleet.service("", "[limits]\nnames = 2000\nmessage_bytes = 1000000")
        fleet.holds(fleet.proxy(service), *ALL)
        with grpc.insecure_channel(f"127.0.0.1:{service.port}") as channel:
            stream = channel.stream_stream(ADS + "StreamAggregatedResources", **SAME)

            def ask(*messages):
                call = stream(iter([m.SerializeToString() for m in messages]), timeout=5)
                with pytest.raises(grpc.RpcError) as problem:
                    for _ in call:
                        pass
                return problem.value.code()

            request = discovery_pb2.DiscoveryRequest
            assert (
                ask(request(type_url="type.googleapis.com/no.such.Type"))
                is grpc.StatusCode.INVALID_ARGUMENT
            )
            many = request(type_url=EDS, resource_names=[f"n{n}" for n in range(2001)])
            assert ask(many) is grpc.StatusCode.RESOURCE_EXHAUSTED
            large = request(type_url=EDS)
            large.node.metadata["x"] = "y" * 1_500_000
            assert ask(large) is grpc.StatusCode.RESOURCE_EXHAUSTED
            with pytest.raises(grpc.RpcError) as problem:
                list(stream(iter([b"\xff\xff no message"]), timeout=5))
            assert problem.value.code() is grpc.StatusCode.INVALID_ARGUMENT
            # under the limits: thousands of names and much metadata, of which nothing is kept
            some = request(type_url=EDS, resource_names=[f"n{n}" for n in range(1999)] + ["plain"])
            some.node.id = "large"
            some.node.metadata["x"] = "y" * 900_000
            call = stream(iter([some.SerializeToString()]), timeout=5)
            answer = discovery_pb2.DiscoveryResponse()
            answer.ParseFromString(next(call))
            assert len(answer.resources) == 1
        # several streams with one node's name are each told
        twins = [fleet.proxy(service, node="twin") for _ in range(3)]
        for twin in twins:
            fleet.holds(twin, *ALL)
        answer = fetch_status(("127.0.0.1", service.port), node="twin")
        assert len(answer.config) == 3 and all(
            row["view"] == "synced" for row in status_rows(answer)
        )
        fleet.mark("s3", "leaving")
        for twin in twins:
            fleet.holds(twin, "s1", "s2")


def test_a_peer_that_opens_no_window_or_reads_a_byte_a_second_holds_up_nobody():
    with Fleet() as fleet:
        fleet.list_all()
        service = fleet.service(
            "", "[weights]\nevery_ms = 100\n[limits]\nstall_ms = 600\nping_after_ms = 0"
        )
        good = fleet.proxy(service)
        fleet.holds(good, *ALL)
        from h2.config import H2Configuration
        from h2.connection import H2Connection
        from h2.settings import SettingCodes

        shut = []
        for window in (0, 1):
            sock = socket.create_connection(("127.0.0.1", service.port))
            client = H2Connection(H2Configuration(client_side=True))
            client.initiate_connection()
            client.update_settings({SettingCodes.INITIAL_WINDOW_SIZE: window})
            client.send_headers(
                1,
                [
                    (":method", "POST"),
                    (":scheme", "http"),
                    (":authority", "x"),
                    (":path", ADS + "StreamAggregatedResources"),
                    ("content-type", "application/grpc"),
                    ("te", "trailers"),
                ],
            )
            content = discovery_pb2.DiscoveryRequest(type_url=CDS).SerializeToString()
            client.send_data(1, b"\0" + len(content).to_bytes(4, "big") + content)
            sock.sendall(client.data_to_send())
            shut.append((sock, client))
        wait_for(lambda: len(service.program.subscriptions.streams) == 3)
        for _ in range(4):  # a byte now and then is no reading
            for sock, client in shut[1:]:
                client.increment_flow_control_window(1, stream_id=1)
                sock.sendall(client.data_to_send())
            fleet.mark("s1", "leaving")
            wait_for(lambda: "s1" not in fleet.weights(good), 0.5)
            fleet.mark("s1", "active")
            fleet.holds(good, *ALL)
        wait_for(lambda: len(service.program.subscriptions.streams) == 1)
        assert service.program.counters["calls stalled"] == 2 and good.connected
        for sock, _ in shut:
            sock.close()


def test_a_list_that_empties_is_told_and_one_that_flaps_is_not_followed_up_and_down():
    with Fleet() as fleet:
        fleet.list_all()
        service = fleet.service("", "[weights]\nevery_ms = 500")
        proxy = fleet.proxy(service)
        fleet.holds(proxy, *ALL)
        before, began = proxy.held.responses[EDS], time.monotonic()
        late = []
        for number in range(40):  # ready and draining in turn, every 50 ms
            fleet.mark("s1", "leaving" if number % 2 == 0 else "active")
            settle(0.05)
            if number % 2 == 0:
                wait_for(lambda: "s1" not in fleet.weights(proxy), 0.5)
                late.append(time.monotonic())
        spent = time.monotonic() - began
        assert proxy.held.responses[EDS] - before <= 2 * (
            spent / 0.5 + 2
        )  # back in once a turn, out once after
        fleet.mark("s1", "leaving")
        for name in ALL:
            fleet.mark(name, "left")
        wait_for(lambda: fleet.weights(proxy) == {})
        assert fleet.do(lambda: proxy.place("plain", 0)) is None
        fleet.list_all()
        fleet.holds(proxy, *ALL)


def test_discovery_that_is_silent_or_cuts_its_answers_leaves_the_known_list_in_force():
    with Fleet() as fleet:
        fleet.discovery.silent = True
        fleet.list_all()
        service = fleet.service()
        proxy = fleet.proxy(service)
        settle(1.0)
        assert (
            proxy.connected is False and not service.program.subscriptions.has_snapshot
        )  # no empty view before the list is known
        fleet.discovery.silent = False
        fleet.holds(proxy, *ALL)
        fleet.discovery.cuts = 3
        fleet.mark("s1", "leaving")
        wait_for(lambda: "s1" not in fleet.weights(proxy), 3)
        assert fleet.weights(proxy) and service.program.counters["discovery failures"] >= 3


def test_the_service_killed_and_started_anew_under_200_proxies():
    with Fleet() as fleet:
        fleet.list_all()
        service = fleet.service()
        proxies = [
            fleet.proxy(
                service,
                Habits(incremental=n % 2 == 1, reports=False),
                limits=RpcLimits(ping_after=0, initial_backoff=400 * MS, ring=8192),
            )
            for n in range(200)
        ]
        wait_for(lambda: all(fleet.weights(p) for p in proxies), 15)
        views = []  # all that any proxy draws by from now on must hold a server
        port = service.port
        service.kill()
        wait_for(lambda: not any(p.connected for p in proxies))
        fleet.mark("s1", "leaving")
        assert all(fleet.weights(p) for p in proxies)  # what they hold stays meanwhile
        fleet.discovery.silent = True
        anew = fleet.service(port=port)
        until = time.monotonic() + 1.0
        while (
            time.monotonic() < until
        ):  # connected anew, but the list is not known: nothing is sent
            views += [fleet.weights(p) for p in proxies[::20]]
            settle(0.05)
        fleet.discovery.silent = False
        wait_for(lambda: all("s1" not in fleet.weights(p) for p in proxies), 10)
        wait_for(lambda: len(anew.program.subscriptions.streams) == 200)
        wait_for(
            lambda: all(
                not anew.program.subscriptions.outdated_kinds(n)
                for n in list(anew.program.subscriptions.streams)
            )
        )
        assert all(view for view in views) and all(len(fleet.weights(p)) == 2 for p in proxies)
        assert fleet.counters["connects"] <= 200 * 6  # spread, not hammered


def test_two_services_whose_lists_differ_for_seconds_come_to_equal_versions():
    with Fleet() as fleet:
        other = Fleet(servers=0)
        fleet.list_all()
        with other:
            other.do(
                lambda: [
                    other.discovery.put(n, ("127.0.0.1", s.port)) for n, s in fleet.servers.items()
                ]
            )
            # Counts read at different times differ: without weights that move, equal lists are equal views.
            still = "[weights]\nevery_ms = 100\ndead_band = 1.0"
            one, two = fleet.service("services = 2", still), other.service("services = 2", still)
            proxies = [fleet.proxy(one), fleet.proxy(two)]
            for proxy in proxies:
                fleet.holds(proxy, *ALL)
            fleet.mark("s1", "leaving")
            fleet.holds(proxies[0], "s2", "s3")
            settle(1.0)
            fleet.holds(proxies[1], *ALL)  # its list has not told it yet
            other.do(lambda: other.discovery.mark("s1", "leaving"))
            fleet.holds(proxies[1], "s2", "s3")
            wait_for(
                lambda: (
                    [one.program.subscriptions.current_version(k) for k in ResourceKind]
                    == [two.program.subscriptions.current_version(k) for k in ResourceKind]
                )
            )
            # a proxy that goes from one to the other is owed nothing
            sent = two.program.counters["response bytes"]
            held = proxies[0].held
            moved = fleet.proxy(two)
            moved.held.versions, moved.held.resources, moved.held.names = (
                held.versions,
                held.resources,
                held.names,
            )
            wait_for(lambda: len(two.program.subscriptions.streams) == 2)
            settle(0.3)
            assert two.program.counters["response bytes"] <= sent + 3000


def test_a_cold_server_offered_to_hundreds_of_proxies_gets_no_more_than_it_bears():
    size, ramp, multiple = 100, 4.0, 3.0
    with Fleet(servers=5, size=size) as fleet:
        fleet.list_all()
        service = fleet.service(
            "",
            "[cold]\nstart_share = 0.3\nramp_ms = 4000\nmultiple = 3.0\n[weights]\nevery_ms = 500",
        )
        proxies = [fleet.proxy(service) for _ in range(200)]
        for server in fleet.servers.values():
            server.open += 40
        wait_for(lambda: all(fleet.weights(p) for p in proxies), 15)

        def load():
            while True:  # some 120 logins a second among all of them, each short
                for proxy in proxies:
                    fleet.scheduler.spawn(proxy.place, "plain", 200 * MS)
                    fleet.scheduler.sleep(8 * MS)

        fleet.do(lambda: fleet.scheduler.spawn(load))
        settle(3)

        def restart():  # s1 was away and comes back cold
            fleet.servers["s1"].open = 0
            fleet.discovery.put(
                "s1", ("127.0.0.1", fleet.servers["s1"].port), since_ms=fleet.scheduler.now() // MS
            )

        fleet.mark("s1", "leaving")
        settle(1)
        fleet.do(restart)
        began = fleet.scheduler.now()
        settle(4)
        placed = [p.at for p in fleet.placed if p.server == "s1" and p.at >= began]
        assert placed, "it is offered to someone"
        for at in (
            placed
        ):  # in any second: the multiple of what it can take in, which grows from 0.3 to all of it
            age = min(1.0, (at - began) / SECOND / ramp)
            bears = multiple * (0.3 + 0.7 * age) * size / ramp
            assert sum(at - SECOND < other <= at for other in placed) <= bears


def test_a_view_out_of_contact_runs_out_and_one_in_contact_does_not():
    with Fleet() as fleet:
        fleet.list_all()
        service = fleet.service(
            "", "[freshness]\nendpoint_stale_after_ms = 600\n[weights]\ndead_band = 1.0"
        )
        proxy = fleet.proxy(service)
        fleet.holds(proxy, *ALL)
        until = time.monotonic() + 1.5
        while time.monotonic() < until:
            assert fleet.do(lambda: proxy.draw("plain")) is not None
            settle(0.05)
        service.kill()
        settle(0.8)
        assert (
            fleet.do(lambda: proxy.draw("plain")) is None
            and fleet.counters["draws from a stale view"] == 1
        )


def test_a_server_at_a_new_address_is_told_at_once_and_one_that_started_anew_is_out_until_weighed():
    with Fleet() as fleet:
        fleet.list_all()
        service = fleet.service(
            "", "[weights]\nevery_ms = 3000\ndead_band = 1.0\n[cold]\nramp_ms = 60000"
        )
        proxy = fleet.proxy(service)
        fleet.holds(proxy, *ALL)
        other = fleet.servers["s2"].port
        fleet.do(lambda: fleet.discovery.put("s1", ("127.0.0.1", other)))
        wait_for(
            lambda: (
                [a for n, a in zip(*proxy.held.servers("plain")[:2]) if n == "s1"]
                == [("127.0.0.1", other)]
            ),
            0.5,
        )
        fleet.do(
            lambda: fleet.discovery.put(
                "s3", ("127.0.0.1", fleet.servers["s3"].port), since_ms=fleet.scheduler.now() // MS
            )
        )
        wait_for(lambda: set(fleet.weights(proxy)) == {"s1", "s2"}, 0.5)
        fleet.holds(proxy, *ALL)
        assert fleet.weights(proxy)["s3"] < TOTAL_WEIGHT / 5  # cold: no more than it bears


def test_a_load_report_without_measure_ends_its_stream_and_unknown_servers_count_for_nothing():
    from envoy.service.load_stats.v3 import lrs_pb2

    with Fleet() as fleet:
        fleet.list_all()
        service = fleet.service()
        fleet.holds(fleet.proxy(service), *ALL)
        with grpc.insecure_channel(f"127.0.0.1:{service.port}") as channel:
            for number, code in (
                (6000, grpc.StatusCode.INVALID_ARGUMENT),
                (1, grpc.StatusCode.DEADLINE_EXCEEDED),
            ):
                report = lrs_pb2.LoadStatsRequest()
                stats = report.cluster_stats.add(cluster_name="plain")
                for at in range(number):
                    stats.upstream_locality_stats.add(
                        total_issued_requests=1 << 60
                    ).locality.sub_zone = f"x{at}"
                    stats.upstream_locality_stats.add(
                        total_issued_requests=5
                    ).locality.sub_zone = "never listed"
                talk = threading.Event()

                def say(content=report.SerializeToString(), talk=talk):
                    yield content
                    talk.wait(5)

                with pytest.raises(grpc.RpcError) as problem:
                    list(channel.stream_stream(LRS, **SAME)(say(), timeout=0.7))
                talk.set()
                assert problem.value.code() is code
        assert "exceptions" not in service.program.counters and fleet.weights(fleet.proxies[0])


def test_draining_servers_are_marked_where_that_is_wanted():
    with Fleet() as fleet:
        fleet.list_all()
        service = fleet.service('draining = "mark"')
        proxy = fleet.proxy(service)
        fleet.holds(proxy, *ALL)
        fleet.mark("s1", "leaving")
        fleet.holds(proxy, "s2", "s3")
        body = proxy.held.resources[EDS]["plain"][1]
        assert b"s1" in body  # it is there, so what stands there stands, but nobody draws it
        fleet.mark("s1", "left")
        wait_for(lambda: b"s1" not in proxy.held.resources[EDS]["plain"][1])


def test_a_grpcio_client_is_placed_by_our_weights_and_leaves_a_draining_server_in_time():
    with Fleet() as fleet:
        for name, standing in zip(ALL, (10, 20, 60)):
            fleet.servers[name].open = standing
        fleet.list_all()
        # Told once and then held: hundreds of calls a second would move the weights while they are measured.
        service = fleet.service("", "[weights]\nevery_ms = 60000")
        wait_for(lambda: service.program.subscriptions.has_snapshot)
        assert len(set(service.program.weights.published["plain"].weights.values())) == 3
        client = subprocess.Popen(
            [
                sys.executable,
                str(ROOT / "examples/control/grpc_client.py"),
                f"127.0.0.1:{service.port}",
                "xds:///door",
                "0",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
        )
        try:
            wait_for(lambda: len(fleet.placed) > 400, 20)
            took = Counter(placed.server for placed in fleet.placed)
            weights = service.program.weights.published["plain"].weights
            share = (
                sum(
                    abs(took[name] / sum(took.values()) - weights[name] / TOTAL_WEIGHT)
                    for name in ALL
                )
                / 2
            )
            assert share < 0.1 and took["s3"] < took["s2"] < took["s1"]
            wait_for(
                lambda: service.program.counters["logins placed by proxies"] > 100
            )  # it reports loads itself
            fleet.mark("s1", "leaving")
            told, sofar = fleet.told_at["s1"], len(fleet.placed)
            wait_for(lambda: len(fleet.placed) > sofar + 300, 20)
            settle(0.7)
            late = [
                placed.at - told
                for placed in fleet.placed
                if placed.server == "s1" and placed.at > told
            ]
            assert max(late, default=0) < 500 * MS
        finally:
            client.communicate(timeout=10)


GOOD = CONFIG % (8500, "", "")


@pytest.mark.parametrize(
    "change, key",
    [
        (("[[workloads]]", "[[workload]]"), "workload"),
        (('name = "plain"', "name = 7"), "workloads[0].name"),
        (('name = "plain"', 'name = "plain"\nsoft_limit_ms = 99999'), "workloads[0].soft_limit_ms"),
        (('workload = "plain"', 'workload = "other"'), "listeners[0].routes[0].workload"),
        (("every_ms = 200", "every_ms = 1"), "load_reports.every_ms"),
        (("every_ms = 200", "every_ms = 200\n[weights]\ndead_band = 7.0"), "weights.dead_band"),
        (("127.0.0.1:8500", "discovery.example:8500"), "discovery"),
        (("127.0.0.1:8500", "127.0.0.1:85000"), "discovery"),
        (("every_ms = 200", "every_ms = 200\n[freshness]\nttl_ms = 20"), "freshness.ttl_ms"),
        (('listen = "127.0.0.1:0"', ""), "listen"),
        (("[report]", "[report"), "not TOML"),
        (
            (
                "[report]",
                '[[listeners]]\nname = "door"\nroutes = [{ workload = "plain" }]\n[report]',
            ),
            "listeners has a duplicate name",
        ),
    ],
)
def test_a_bad_configuration_is_refused_by_its_key(change, key):
    assert parse_config(GOOD.encode()).workloads
    with pytest.raises(ControlConfigError) as problem:
        parse_config(GOOD.replace(*change).encode())
    assert key in str(problem.value)


def test_weights_are_told_in_turn_where_they_matter_and_never_hold_a_drain():
    weights = WeightPublisher(WeightSettings(interval=SECOND, dead_band=0.05))
    assert weights.may_publish(0, "w") and weights.publish(0, "w", {"a": 0.5, "b": 0.5}, "ab")
    assert not weights.may_publish(SECOND - 1, "w") and weights.may_publish(SECOND, "w")
    assert not weights.publish(SECOND, "w", {"a": 0.53, "b": 0.47}, "ab")  # within the dead band
    assert weights.publish(SECOND, "w", {"a": 0.6, "b": 0.4}, "ab")
    assert weights.publish(2 * SECOND, "w", {"a": 0.96, "b": 0.04}, "ab")
    assert weights.publish(
        3 * SECOND, "w", {"a": 0.99, "b": 0.01}, "ab"
    )  # little of the draw, much of its own
    assert weights.remove_servers(["b"]) == ["w"] and weights.published["w"].weights.keys() == {"a"}
    assert weights.remove_servers(["b"]) == []
    assert (
        weights.publish(4 * SECOND, "w", {"a": 0.7}, "a") and weights.published["w"].dropped == 3000
    )
    assert (
        weights.publish(5 * SECOND, "w", {}, "ab")
        and weights.published["w"].dropped == TOTAL_WEIGHT
    )
    assert weights.publish(6 * SECOND, "w", {}, "") and weights.published["w"] == ({}, 0)


def started(path):
    process = subprocess.Popen(
        [sys.executable, "-m", "corklift", "control", "--config", str(path)],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    line = json.loads(process.stderr.readline())
    assert line["event"] == "started"
    return process, int(line["listen"].rpartition(":")[2])


def test_as_a_process_it_reads_anew_tells_its_status_and_sends_proxies_elsewhere(tmp_path):
    with Fleet() as fleet:
        fleet.list_all()
        path = tmp_path / "control.toml"
        text = CONFIG % (fleet.discovery_port, "", "")
        path.write_text(text)
        process, port = started(path)
        try:
            proxy = fleet.proxy(port)
            fleet.holds(proxy, *ALL)
            told = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "corklift",
                    "control",
                    "status",
                    "--json",
                    "--address",
                    f"127.0.0.1:{port}",
                ],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=20,
            )
            found = json.loads(told.stdout)
            assert {row["kind"] for row in found} == {
                "clusters",
                "endpoints",
                "listeners",
                "routes",
            }
            assert all(row["view"] == "synced" and row["node"] == "p0" for row in found)

            def line(event):
                while (found := json.loads(process.stderr.readline()))["event"] != event:
                    pass
                return found

            path.write_text(text.replace('name = "plain"', 'name = ""'))
            process.send_signal(signal.SIGHUP)
            assert "workloads[0].name" in line("configuration refused")["reason"]
            assert fleet.weights(proxy)
            more = text.replace("[[listeners]]", '[[workloads]]\nname = "more"\n[[listeners]]')
            path.write_text(more.replace('{ workload = "plain" }', '{ workload = "more" }'))
            process.send_signal(signal.SIGHUP)
            line("configuration taken")
            wait_for(lambda: fleet.weights(proxy, "more"))
            path.write_text(
                more.replace('[[workloads]]\nname = "plain"\n', "").replace('"plain"', '"more"')
            )
            process.send_signal(signal.SIGHUP)
            line("configuration taken")
            wait_for(
                lambda: set(proxy.held.resources[CDS]) == {"more"}
            )  # the cluster goes once no route names it
            process.send_signal(signal.SIGTERM)
            assert process.wait(5) == 0
            counters = line("counters")
            assert counters["responses_of_endpoints"] >= 2 and "exceptions" not in counters
            wait_for(lambda: not proxy.connected)
        finally:
            process.kill()
            process.wait()


def test_the_balancer_alone_imports_the_standard_library_and_greenlet_only(tmp_path):
    config = tmp_path / "config.json"
    config.write_text(
        (ROOT / "examples/config.json").read_text().replace("127.0.0.1:9000", "127.0.0.1:0")
    )
    code = (
        "import sys, runpy, os, signal\n"
        "import corklift.__main__ as m, corklift.service as s\n"
        "s.BalancerProcess.run = lambda self, early: None\n"
        "sys.argv = ['corklift']\n"
        "assert m.main() == 0\n"
        "names = {name.partition('.')[0] for name in sys.modules}\n"
        "print(sorted(names - set(sys.stdlib_module_names) - {'__main__', 'corklift', 'greenlet'}))\n"
    )
    told = subprocess.run(
        [
            sys.executable,
            "-S",
            "-c",
            "import sys; sys.path += %r\n%s" % ([p for p in sys.path if p], code),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=os.environ | {"BALANCER_CONFIG": str(config)},
        timeout=20,
    )
    assert told.stdout.strip() == "[]", told.stdout + told.stderr
