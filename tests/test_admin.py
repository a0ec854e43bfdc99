"""Tests of the operators' HTTP endpoint, of operator overrides and of reloads."""

import dataclasses
import json
import socket
from random import Random

import pytest
from harness import MS, BalancerHarness, PolicyHarness, reserve_port

from corklift.interface import ColdRule, Outcome, Report, Scope, Status, Workload
from corklift.net.parsers import HttpRequest, Malformed, MessageTooLongError
from corklift.net.scheduler import READ, WRITE
from corklift.net.stream import Stream

OPEN = "OPEN 1 7f c=plain,d=2000,x=9\r\n"


def format_post(path, content, head=""):
    body = content if isinstance(content, str) else json.dumps(content)
    return f"POST {path} HTTP/1.1\r\nHost: x\r\n{head}Content-Length: {len(body)}\r\n\r\n{body}"


def format_get(path, method="GET"):
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n"


class AdminHarness(BalancerHarness):
    """A balancer with an operators' endpoint.

    `answers` has the status, body and time in ms of each response, by the name of the call.
    """

    def __init__(self, *servers, **settings):
        super().__init__(*servers, extra_config={"admin_addr": "127.0.0.1:0"}, **settings)
        self.answers = {}

    def call(self, name, *steps):
        """Starts a request; a step is text to send or a number of ms to wait."""
        stream = Stream.connect(("127.0.0.1", self.process.admin_port), self.limits)

        def run():
            self.wait({stream.fd: WRITE})
            for step in steps:
                if isinstance(step, int):
                    self.sleep(step * MS)
                elif not stream.broken:
                    stream.write(step.encode())
            received = b""
            while not stream.peer_closed and not stream.broken:
                self.wait({stream.fd: READ})
                stream.receive()
                received += stream.receive_buffer.read(len(stream.receive_buffer))
            stream.close()
            head, _, body = received.partition(b"\r\n\r\n")
            self.answers[name] = (
                int(head.split()[1]) if head else 0,
                body.decode(),
                (self.now - self.START) // MS,
            )

        self.spawn(run)

    def ask(self, text, ms=50):
        """Sends a request and returns the status and body of its response."""
        self.call("ask", text)
        self.run(ms)
        return self.answers.pop("ask")[:2]

    def stats(self):
        status, text = self.ask(format_get("/admin/stats"))
        assert status == 200
        return {
            line.split(":")[0]: int(line.split(":")[1].split("|")[0]) for line in text.splitlines()
        }


def test_request_is_parsed_independently_of_its_split():
    requests = [
        format_post("/admin/cordon", {"member": "s1"}).encode(),
        format_get("/admin/stats?x=1").encode(),
        b"POST /admin/cordon HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b'5\r\n{"mem\r\nb\r\nber": "s1"}\r\n0\r\n\r\n',
    ]
    rng, seen = Random(1), set()
    for content in requests:
        for _ in range(50):
            request, offset = HttpRequest(1000), 0
            while not request.done:
                step = rng.randrange(1, 9)
                request.feed(content[offset : offset + step])
                offset += step
            seen.add(
                (
                    request.method,
                    request.path,
                    json.dumps(request.json_object()) if request.method == "POST" else "",
                )
            )
    assert seen == {("POST", "/admin/cordon", '{"member": "s1"}'), ("GET", "/admin/stats", "")}
    for bad, kind in (
        (b"GET / HTTP/2\r\n\r\n", Malformed),
        (b"OPEN 1 2 c=x\r\n\r\n", Malformed),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Malformed),
        (b"x" * 20000, MessageTooLongError),
        (b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", MessageTooLongError),
    ):
        with pytest.raises(kind):
            HttpRequest(1000).feed(bad)


def test_each_request_is_answered_and_bad_ones_change_nothing():
    harness = AdminHarness("up", "up")
    assert harness.ask(format_get("/admin/health"))[0] == 503  # neither a list nor a count yet
    harness.run(2000)
    assert harness.ask(format_get("/admin/health"))[0] == 200
    for text, status in (
        (format_get("/admin"), 404),
        (format_get("/admin/cordon"), 405),
        (format_get("/admin/health", "POST"), 405),
        (format_post("/admin/cordon", "{"), 400),
        (format_post("/admin/cordon", {"member": 3}), 400),
        (format_post("/admin/cordon", {"member": "s\ud800"}), 400),
        (format_post("/admin/cordon", ["s1"]), 400),
        (format_post("/admin/cordon", {"member": "nobody"}), 404),
        (format_post("/admin/uncordon", {"member": "nobody"}), 404),
        (OPEN + "\r\n", 400),
        (
            format_post("/admin/cordon", "", "Content-Length: 20000\r\n").replace(
                "Content-Length: 0\r\n", ""
            ),
            413,
        ),
        ("PING\r\n\r\n", 400),
        (format_post("/admin/cordon", {"member": "s1"}), 200),
        (format_post("/admin/uncordon", {"member": "s2"}), 200),
    ):
        assert harness.ask(text)[0] == status, text
    assert harness.stats()["app.servers_excluded"] == 1
    harness.client("c1", format_get("/admin/health"))  # clients' sockets serve no HTTP
    harness.run(100)
    assert [line[7:] for line in harness.trace if " c1" in line] == ["c1 < ERR", "c1 ended"]


def test_idle_operator_connections_are_closed_and_delay_no_other():
    harness = AdminHarness("up", limits={"sockets": 256})
    for number in range(60):
        harness.call(
            f"mute{number}",
            *([format_post("/admin/cordon", {"member": "s1"})[:40]] if number % 2 else []),
            4000,
        )
    harness.call(
        "hesitant",
        format_post("/admin/cordon", "", "Expect: 100-continue\r\n").replace(
            "Length: 0", "Length: 15"
        ),
        100,
        '{"member":"s1"}',
    )
    harness.run(2000)
    started_at = harness.now
    for number in range(20):
        harness.call(f"good{number}", format_get("/admin/health"))
        harness.run(20)
    assert all(harness.answers[f"good{number}"][0] == 200 for number in range(20))
    assert (
        max(harness.answers[f"good{number}"][2] for number in range(20)) * MS
        + harness.START
        - started_at
        < 500 * MS
    )
    harness.run(8000)
    assert harness.answers["hesitant"][0] == 100 and "s1 is out" in harness.answers["hesitant"][1]
    assert (
        len(harness.answers) == 81
        and not harness.process.admin._connections
        and not harness.counters["exceptions"]
    )


def test_statistics_match_the_events_however_connections_end():
    # Random histories: every server behaviour, clients that leave at any step, and more clients
    # than the balancer can serve.
    for seed in range(4):
        rng, harness = (
            Random(seed),
            AdminHarness("up", "up", limits={"sockets": 90, "memory_mb": 64}),
        )
        harness.run(2000)
        for number in range(70):
            harness.behaviour["s1"] = rng.choice(["up", "busy", "err", "reset", "silent"])
            end = rng.choice(
                [
                    (),
                    (None,),
                    (rng.randrange(1500), None),
                    (rng.randrange(1500), ...),
                    ("quit\r\n",),
                ]
            )
            harness.client(
                f"c{number}",
                rng.randrange(200),
                OPEN,
                *(rng.randrange(1500) for _ in range(2)),
                *end,
            )
            harness.run(rng.randrange(150))
            # Includes clients whose connections are just being closed.
            client_count = harness.process.relay.client_count
            assert client_count - 6 <= harness.process.relay.in_flight <= client_count
        harness.run(4000)
        stats, answers = (
            harness.stats(),
            [
                line.split(" < ")[1].split()[0]
                for line in harness.trace
                if " < " in line and line.split()[1].startswith("c")
            ],
        )
        left = harness.counters["logins left by their client"]
        assert stats["app.served.plain"] - answers.count("UP") in range(left + 3)
        assert 0 <= stats["app.refused.plain"] - answers.count("BUSY") <= 2
        assert -left <= stats["app.failed.plain"] - answers.count("FAILED") <= 2
        assert stats["app.attempts"] == len(
            [
                line
                for line in harness.trace
                if " < OPEN" in line and "s1" in line or " < OPEN" in line and "s2" in line
            ]
        )
        harness.process.request_stop()
        harness.process.scheduler.run()
        assert harness.process.relay.in_flight == 0 and not harness.counters["exceptions"]


def test_server_out_of_service_gets_no_logins_whatever_the_list_says():
    harness = AdminHarness("up", "up")
    harness.run(2000)
    for number in range(6):
        harness.client(f"c{number}", OPEN)
    harness.run(200)
    assert {line.split()[-1] for line in harness.trace if "< UP" in line} == {"s1", "s2"}
    assert harness.ask(format_post("/admin/cordon", {"member": "s1"}))[0] == 200
    assert harness.ask(format_post("/admin/cordon", {"member": "s1"}))[0] == 200
    harness.run(300)
    assert any("< MOVE" in line for line in harness.trace)
    harness.trace.clear()
    probes = harness.process.probes._tasks
    for change in ("leaving", "active", "left", "active"):
        harness.change_list(harness.list_entry("s1", change))
        harness.run(1500)
        assert len(probes) == 1  # s1 is not probed either
        for number in range(4):
            harness.client(f"{change}{number}", OPEN)
        harness.run(300)
    harness.change_list(harness.list_entry("s1", "left"))
    harness.run(100)
    assert {line.split()[-1] for line in harness.trace if "< UP" in line} == {"s2"}
    assert (
        harness.stats()["app.servers_known"] == 1 and harness.stats()["app.servers_excluded"] == 0
    )
    assert harness.ask(format_post("/admin/uncordon", {"member": "s1"}))[0] == 200
    harness.change_list(harness.list_entry("s1"))
    harness.run(1500)
    assert (
        harness.process.facade._balancer._registry.servers.keys() == harness.process.facade._ready
    )
    harness.trace.clear()
    for number in range(12):
        harness.client(f"b{number}", OPEN)
        harness.run(300)
    assert {line.split()[-1] for line in harness.trace if "< UP" in line} == {"s1", "s2"}
    for name in ("s1", "s2"):
        assert harness.ask(format_post("/admin/cordon", {"member": name}))[0] == 200
    harness.trace.clear()
    harness.client("last", OPEN)
    harness.run(50)
    assert [line.split()[-1] for line in harness.trace if " last < " in line] == ["BUSY"]


def test_hand_off_is_not_sent_to_a_server_taken_out_of_service_during_the_connect():
    harness = AdminHarness("up")
    harness.run(2000)
    real = harness.process.facade.accepts_logins
    harness.process.facade.accepts_logins = lambda server: (
        harness.process.facade.take_out_of_service("s1") and real(server)
    )
    harness.client("c1", OPEN)
    harness.run(300)
    assert not any("s1 < OPEN" in line for line in harness.trace) and any(
        "c1 < BUSY" in line for line in harness.trace
    )
    assert harness.counters["hand-offs not sent"] == 1 and not harness.counters["hand-offs written"]


def test_clients_of_a_server_taken_out_of_service_move_evenly_within_a_second():
    # A drain by discovery moves all clients at once. An operator's override is not urgent, so the
    # moves are spread to spare the other servers a flood.
    harness = PolicyHarness()
    harness.list_servers(1)
    for number in range(1, 6):
        assert harness.login(number) == 1
        harness.open_connection(number)
        harness.run(500)
    harness.trace.clear()
    harness.balancer.take_out_of_service(harness.now, 1)
    harness.run(1000)
    moves = [int(line.split()[0]) for line in harness.trace if " move " in line]
    assert [at - moves[0] for at in moves] == [0, 200, 400, 600, 800]


def test_restored_server_is_cold_since_its_known_start_or_else_its_return():
    for restart, listed_late, cold_for in (
        (None, False, 9000),
        (500, False, 7500),
        (500, True, 9000),
    ):
        harness = PolicyHarness(
            cold=ColdRule(0.3, 9000 * MS, 3.0, 1000 * MS),
            workloads=[Workload("plain", 1.0, 800 * MS, 3200 * MS)],
        )
        harness.list_servers(1, 2)
        harness.auto = {1: Report(5, 0.2), 2: Report(5, 0.2)}
        harness.run(3000)
        harness.balancer.take_out_of_service(harness.now, 1)
        assert harness.login(1) == 2
        harness.end_hand_off(1, Outcome.FULFILLED, closed=True)
        if restart:
            harness.run(restart)
            started = harness.now
            if not listed_late:
                harness.list_servers(1, scope=Scope.DELTA, started_at=started)
        harness.run(2000 - (restart or 0))
        harness.balancer.restore_to_service(harness.now, 1)
        if listed_late:
            harness.list_servers(1, scope=Scope.DELTA, started_at=started)
        balancer = harness.balancer
        known = balancer._registry.servers[1]
        assert known.status is Status.READY and known.count is None
        for at in range(0, 12_000, 500):
            assert balancer._cold_budget.is_cold(harness.now, known) is (at < cold_for), at
            harness.run(500)
        assert balancer.known_and_excluded_servers(harness.now) == (2, 0)


def test_configuration_with_a_missing_key_or_bad_value_is_rejected_and_counted(
    tmp_path,
):
    harness = AdminHarness("up", "up")
    settings, file = harness.config["settings"], tmp_path / "config"
    plain = settings["workloads"][0]
    new = settings | {"workloads": [plain, plain | {"name": "new", "effect": "side_effect"}]}
    harness.run(1500)

    def reload(text):
        file.write_text(text)
        harness.process.scheduler.spawn(harness.process.reload)
        harness.run(100)

    harness.reload(file, settings=new)
    harness.run(100)
    before = harness.stats()
    assert before["app.reloads_ok"] == 1 and before["app.served.new"] == 0
    config_text = json.dumps(harness.config | {"settings": new})
    for bad in (
        "",
        config_text[:-9],
        *(
            json.dumps(harness.config | {"settings": settings | change})
            for change in (
                {"workloads": [{key: value for key, value in plain.items() if key != name}]}
                for name in plain
            )
        ),
    ):
        reload(bad)
    for key in harness.config:
        if key != "admin_addr":
            reload(
                json.dumps({name: value for name, value in harness.config.items() if name != key})
            )
    for key in settings:
        reload(
            json.dumps(
                harness.config
                | {"settings": {name: value for name, value in new.items() if name != key}}
            )
        )
    for value in (0, -1, None, "5", True, float("nan")):
        reload(
            json.dumps(
                harness.config
                | {"settings": new | {"workloads": [plain | {"time-limit-ns": value}]}}
            )
        )
        reload(
            json.dumps(
                harness.config
                | {
                    "settings": new
                    | {"permissions": settings["permissions"] | {"max-hand-offs": value}}
                }
            )
        )
    after, refused = (
        harness.stats(),
        2 + len(plain) + len(harness.config) - 1 + len(settings) + 12,
    )
    assert (
        after["app.reloads_failed"] == refused
        and after["app.reloads_ok"] == 1
        and not harness.counters["exceptions"]
    )
    for goal in (
        {"nines-part": -1},
        {"nines-part": "x"},
        {"nines-part": 0.2},
        {"nines-part": 0.2, "top-nines": 0},
        7,
    ):
        reload(json.dumps(harness.config | {"settings": new | {"goal": goal}}))
    assert harness.stats()["app.reloads_failed"] == refused + 5
    reload(
        json.dumps(
            harness.config | {"settings": new | {"goal": {"nines-part": 0.2, "top-nines": 3}}}
        )
    )
    assert harness.stats()["app.reloads_ok"] == 2
    harness.client("c1", "OPEN 1 7f c=new,d=2000\r\n")  # the earlier settings stay in force
    harness.run(100)
    assert any("c1 < UP" in line for line in harness.trace)


# A list over the limit was refused for good, so that no drain was heard, and health said yes.
def test_health_is_not_good_while_the_list_is_too_long():
    harness = AdminHarness("up")
    harness.run(2000)
    assert harness.ask(format_get("/admin/health"))[0] == 200
    watch, limits = harness.process.watch, harness.limits
    address = ("127.0.0.1", harness.discovery_listener.getsockname()[1])
    watch.reconfigure(address, dataclasses.replace(limits, body=20))
    for _ in range(2):  # the call that waits has the limit of before
        harness.change_list(harness.list_entry("s1"))
        harness.run(1500)
    assert harness.counters["discovery answers over the limit"] > 1
    assert any("20 bytes are taken" in line for line in harness.trace)
    assert harness.ask(format_get("/admin/health"))[0] == 503
    watch.reconfigure(address, limits)
    harness.run(4000)
    assert harness.ask(format_get("/admin/health"))[0] == 200


# Where only the other address was taken, the file was refused, but its first address was in force.
@pytest.mark.parametrize("taken", ["listen", "admin_addr"])
def test_reload_with_an_address_that_is_taken_changes_no_socket(tmp_path, taken):
    harness = AdminHarness("up")
    harness.run(2000)
    ports = (harness.process.port, harness.process.admin_port)
    with reserve_port() as free, socket.create_server(("127.0.0.1", 0)) as used:
        addresses = {key: f"127.0.0.1:{free.getsockname()[1]}" for key in ("listen", "admin_addr")}
        addresses[taken] = f"127.0.0.1:{used.getsockname()[1]}"
        harness.reload(tmp_path / "config", **addresses)
        harness.run(200)
        assert harness.counters["configurations refused"] == 1
        assert any(f"config: {taken}: " in line for line in harness.trace)
        assert ports == (harness.process.port, harness.process.admin_port)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(free.getsockname(), 5)
    assert harness.ask(format_get("/admin/health"))[0] == 200
    harness.client("c1", OPEN)
    harness.run(100)
    assert any("c1 < UP" in line for line in harness.trace)


def test_reload_keeps_the_workload_of_pending_logins_and_limits_hand_offs_at_once(tmp_path):
    # A pending login keeps the effect that its workload had on arrival, although the reload changes
    # it. A new login with a removed workload is rejected at once.
    harness = AdminHarness("busy", limits={"memory_mb": 64, "sockets": 400})
    settings = harness.config["settings"]
    plain = settings["workloads"][0] | {"effect": "pure"}
    once = plain | {"name": "once", "effect": "side_effect"}
    harness.reload(tmp_path / "config", settings=settings | {"workloads": [plain, once]})
    harness.run(1500)
    harness.behaviour["s1"] = lambda harness, stream, line: (
        harness.sleep(300 * MS),
        stream.abort(),
    )
    harness.client("pure", OPEN)
    harness.client("once", "OPEN 1 7f c=once,d=2000\r\n")
    harness.run(100)
    harness.reload(
        tmp_path / "config",
        settings=settings
        | {"workloads": [once | {"effect": "pure"}, plain | {"effect": "side_effect"}]},
    )
    harness.run(1500)
    tries = [line.split()[4] for line in harness.trace if "s1 < OPEN" in line]
    assert tries.count("once") == 1 and tries.count("pure") == 3
    assert [line.split()[-1] for line in harness.trace if " once <" in line] == ["FAILED"]
    harness.trace.clear()
    harness.behaviour["s1"] = "busy"
    harness.reload(
        tmp_path / "config",
        settings=settings
        | {"workloads": [plain], "permissions": settings["permissions"] | {"max-hand-offs": 1}},
    )
    harness.run(100)
    harness.client("gone", "OPEN 1 7f c=once,d=2000\r\n")
    harness.client("few", OPEN)
    harness.run(100)
    assert [line.split()[1:] for line in harness.trace if " < " in line and "s1" not in line] == [
        ["gone", "<", "ERR"],
        ["few", "<", "BUSY"],
    ]
    assert len([line for line in harness.trace if "s1 < OPEN" in line]) == 1
    assert harness.stats()["app.failed.once"] == 2
