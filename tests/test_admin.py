"""Operators' calls: the parser in any split, the desk's answers, a door that others can't hold, and the figures' truth."""

import json
from random import Random

import pytest
from scene import MS, Scene, Wire

from corklift.interface import ColdRule, Outcome, Report, Scope, Status, Workload
from corklift.net.parsers import HttpRequest, Malformed, MessageTooLongError
from corklift.net.scheduler import READ, WRITE
from corklift.net.stream import Stream

OPEN = "OPEN 1 7f c=plain,d=2000,x=9\r\n"


def post(path, content, head=""):
    body = content if isinstance(content, str) else json.dumps(content)
    return f"POST {path} HTTP/1.1\r\nHost: x\r\n{head}Content-Length: {len(body)}\r\n\r\n{body}"


def get(path, method="GET"):
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n"


class Operated(Wire):
    """A balancer that operators may call; `call` keeps status and body of an answer and when it came."""

    def __init__(self, *servers, **settings):
        super().__init__(*servers, more={"admin_addr": "127.0.0.1:0"}, **settings)
        self.answers = {}

    def call(self, name, *steps):
        stream = Stream.connect(("127.0.0.1", self.process.admin_port), self.limits)

        def run():
            self.wait({stream.fd: WRITE})
            for step in steps:
                if isinstance(step, int):
                    self.sleep(step * MS)
                elif not stream.broken:
                    stream.write(step.encode())
            got = b""
            while not stream.peer_closed and not stream.broken:
                self.wait({stream.fd: READ})
                stream.receive()
                got += stream.receive_buffer.read(len(stream.receive_buffer))
            stream.close()
            head, _, body = got.partition(b"\r\n\r\n")
            self.answers[name] = (
                int(head.split()[1]) if head else 0,
                body.decode(),
                (self.now - self.START) // MS,
            )

        self.spawn(run)

    def ask(self, text, ms=50):
        self.call("ask", text)
        self.run(ms)
        return self.answers.pop("ask")[:2]

    def figures(self):
        status, text = self.ask(get("/admin/stats"))
        assert status == 200
        return {
            line.split(":")[0]: int(line.split(":")[1].split("|")[0]) for line in text.splitlines()
        }


def test_a_call_is_read_alike_in_any_split():
    whole = [
        post("/admin/cordon", {"member": "s1"}).encode(),
        get("/admin/stats?x=1").encode(),
        b'POST /admin/cordon HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{"mem\r\nb\r\nber": "s1"}\r\n0\r\n\r\n',
    ]
    rng, seen = Random(1), set()
    for content in whole:
        for _ in range(50):
            call, at = HttpRequest(1000), 0
            while not call.done:
                step = rng.randrange(1, 9)
                call.feed(content[at : at + step])
                at += step
            seen.add(
                (
                    call.method,
                    call.path,
                    json.dumps(call.json_object()) if call.method == "POST" else "",
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


def test_each_call_has_its_answer_and_one_that_is_wrong_changes_nothing():
    wire = Operated("up", "up")
    assert wire.ask(get("/admin/health"))[0] == 503  # no list and no count has come
    wire.run(2000)
    assert wire.ask(get("/admin/health"))[0] == 200
    for text, status in (
        (get("/admin"), 404),
        (get("/admin/cordon"), 405),
        (get("/admin/health", "POST"), 405),
        (post("/admin/cordon", "{"), 400),
        (post("/admin/cordon", {"member": 3}), 400),
        (post("/admin/cordon", ["s1"]), 400),
        (post("/admin/cordon", {"member": "nobody"}), 404),
        (post("/admin/uncordon", {"member": "nobody"}), 404),
        (OPEN + "\r\n", 400),
        (
            post("/admin/cordon", "", "Content-Length: 20000\r\n").replace(
                "Content-Length: 0\r\n", ""
            ),
            413,
        ),
        ("PING\r\n\r\n", 400),
        (post("/admin/cordon", {"member": "s1"}), 200),
        (post("/admin/uncordon", {"member": "s2"}), 200),
    ):
        assert wire.ask(text)[0] == status, text
    assert wire.figures()["app.servers_excluded"] == 1
    wire.client("c1", get("/admin/health"))  # and clients' door does not know calls
    wire.run(100)
    assert [line[7:] for line in wire.lines if " c1" in line] == ["c1 < ERR", "c1 ended"]


def test_callers_who_hold_their_connection_delay_nobody_and_lose_it():
    wire = Operated("up", limits={"sockets": 256})
    for number in range(60):
        wire.call(
            f"mute{number}",
            *([post("/admin/cordon", {"member": "s1"})[:40]] if number % 2 else []),
            4000,
        )
    wire.call(
        "hesitant",
        post("/admin/cordon", "", "Expect: 100-continue\r\n").replace("Length: 0", "Length: 15"),
        100,
        '{"member":"s1"}',
    )
    wire.run(2000)
    began = wire.now
    for number in range(20):
        wire.call(f"good{number}", get("/admin/health"))
        wire.run(20)
    assert all(wire.answers[f"good{number}"][0] == 200 for number in range(20))
    assert (
        max(wire.answers[f"good{number}"][2] for number in range(20)) * MS + wire.START - began
        < 500 * MS
    )
    wire.run(8000)
    assert wire.answers["hesitant"][0] == 100 and "s1 is out" in wire.answers["hesitant"][1]
    assert (
        len(wire.answers) == 81
        and not wire.process.admin._connections
        and not wire.counters["exceptions"]
    )


def test_the_figures_are_those_of_what_happened_however_connections_end():
    # Random histories: each kind of server, clients that leave at any step, a crowd beyond what can be held.
    for seed in range(4):
        rng, wire = Random(seed), Operated("up", "up", limits={"sockets": 90, "memory_mb": 64})
        wire.run(2000)
        for number in range(70):
            wire.behaviour["s1"] = rng.choice(["up", "busy", "err", "reset", "silent"])
            end = rng.choice(
                [
                    (),
                    (None,),
                    (rng.randrange(1500), None),
                    (rng.randrange(1500), ...),
                    ("quit\r\n",),
                ]
            )
            wire.client(
                f"c{number}",
                rng.randrange(200),
                OPEN,
                *(rng.randrange(1500) for _ in range(2)),
                *end,
            )
            wire.run(rng.randrange(150))
            held = len(wire.process.relay._active_names)  # with those whose end is still seen out
            assert held - 6 <= wire.process.relay.in_flight <= held
        wire.run(4000)
        got, said = (
            wire.figures(),
            [
                line.split(" < ")[1].split()[0]
                for line in wire.lines
                if " < " in line and line.split()[1].startswith("c")
            ],
        )
        left = wire.counters["logins left by their client"]
        assert got["app.served.plain"] - said.count("UP") in range(left + 3)
        assert 0 <= got["app.refused.plain"] - said.count("BUSY") <= 2
        assert -left <= got["app.failed.plain"] - said.count("FAILED") <= 2
        assert got["app.attempts"] == len(
            [
                line
                for line in wire.lines
                if " < OPEN" in line and "s1" in line or " < OPEN" in line and "s2" in line
            ]
        )
        wire.process.request_stop()
        wire.process.scheduler.run()
        assert wire.process.relay.in_flight == 0 and not wire.counters["exceptions"]


def test_a_server_taken_out_gets_nothing_until_it_is_put_back_whatever_the_list_says():
    wire = Operated("up", "up")
    wire.run(2000)
    for number in range(6):
        wire.client(f"c{number}", OPEN)
    wire.run(200)
    assert {line.split()[-1] for line in wire.lines if "< UP" in line} == {"s1", "s2"}
    assert wire.ask(post("/admin/cordon", {"member": "s1"}))[0] == 200
    assert wire.ask(post("/admin/cordon", {"member": "s1"}))[0] == 200
    wire.run(300)
    assert any("< MOVE" in line for line in wire.lines)
    wire.lines.clear()
    probes = wire.process.probes._tasks
    for change in ("leaving", "active", "left", "active"):
        wire.change(wire.entry("s1", change))
        wire.run(1500)
        assert len(probes) == 1  # it is not probed either
        for number in range(4):
            wire.client(f"{change}{number}", OPEN)
        wire.run(300)
    wire.change(wire.entry("s1", "left"))
    wire.run(100)
    assert {line.split()[-1] for line in wire.lines if "< UP" in line} == {"s2"}
    assert wire.figures()["app.servers_known"] == 1 and wire.figures()["app.servers_excluded"] == 0
    assert wire.ask(post("/admin/uncordon", {"member": "s1"}))[0] == 200
    wire.change(wire.entry("s1"))
    wire.run(1500)
    assert wire.process.facade._balancer._registry.servers.keys() == wire.process.facade._ready
    wire.lines.clear()
    for number in range(12):
        wire.client(f"b{number}", OPEN)
        wire.run(300)
    assert {line.split()[-1] for line in wire.lines if "< UP" in line} == {"s1", "s2"}
    for name in ("s1", "s2"):
        assert wire.ask(post("/admin/cordon", {"member": name}))[0] == 200
    wire.lines.clear()
    wire.client("last", OPEN)
    wire.run(50)
    assert [line.split()[-1] for line in wire.lines if " last < " in line] == ["BUSY"]


def test_a_hand_off_on_its_way_is_not_written_to_a_server_taken_out_meanwhile():
    wire = Operated("up")
    wire.run(2000)
    real = wire.process.facade.accepts_logins
    wire.process.facade.accepts_logins = lambda server: (
        wire.process.facade.take_out_of_service("s1") and real(server)
    )
    wire.client("c1", OPEN)
    wire.run(300)
    assert not any("s1 < OPEN" in line for line in wire.lines) and any(
        "c1 < BUSY" in line for line in wire.lines
    )
    assert wire.counters["hand-offs not sent"] == 1 and not wire.counters["hand-offs written"]


def test_clients_of_a_server_taken_out_move_one_by_one_within_a_second():
    # Guards against a flood at the others where no server forces it: all at once when discovery says so, evenly by hand.
    scene = Scene()
    scene.listed(1)
    for number in range(1, 6):
        assert scene.login(number) == 1
        scene.stands(number)
        scene.run(500)
    scene.lines.clear()
    scene.balancer.take_out_of_service(scene.now, 1)
    scene.run(1000)
    moves = [int(line.split()[0]) for line in scene.lines if " move " in line]
    assert [at - moves[0] for at in moves] == [0, 200, 400, 600, 800]


def test_a_server_put_back_is_cold_by_the_start_that_is_known_or_else_by_its_return():
    for restart, listed_late, cold_for in (
        (None, False, 9000),
        (500, False, 7500),
        (500, True, 9000),
    ):
        scene = Scene(
            cold=ColdRule(0.3, 9000 * MS, 3.0, 1000 * MS),
            workloads=[Workload("plain", 1.0, 800 * MS, 3200 * MS)],
        )
        scene.listed(1, 2)
        scene.auto = {1: Report(5, 0.2), 2: Report(5, 0.2)}
        scene.run(3000)
        scene.balancer.take_out_of_service(scene.now, 1)
        assert scene.login(1) == 2
        scene.ends(1, Outcome.FULFILLED, closed=True)
        if restart:
            scene.run(restart)
            started = scene.now
            if not listed_late:
                scene.listed(1, scope=Scope.DELTA, started_at=started)
        scene.run(2000 - (restart or 0))
        scene.balancer.restore_to_service(scene.now, 1)
        if listed_late:
            scene.listed(1, scope=Scope.DELTA, started_at=started)
        balancer = scene.balancer
        known = balancer._registry.servers[1]
        assert known.status is Status.READY and known.count is None
        for at in range(0, 12_000, 500):
            assert balancer._cold_budget.is_cold(scene.now, known) is (at < cold_for), at
            scene.run(500)
        assert balancer.known_and_excluded_servers(scene.now) == (2, 0)


def test_a_file_that_lacks_a_key_or_holds_an_impossible_value_changes_nothing_and_is_counted(
    tmp_path,
):
    wire = Operated("up", "up")
    settings, file = wire.config["settings"], tmp_path / "config"
    plain = settings["workloads"][0]
    new = settings | {"workloads": [plain, plain | {"name": "new", "effect": "side_effect"}]}
    wire.run(1500)

    def reload(text):
        file.write_text(text)
        wire.process.scheduler.spawn(wire.process.reload)
        wire.run(100)

    wire.reload(file, settings=new)
    wire.run(100)
    before = wire.figures()
    assert before["app.reloads_ok"] == 1 and before["app.served.new"] == 0
    whole = json.dumps(wire.config | {"settings": new})
    for bad in (
        "",
        whole[:-9],
        *(
            json.dumps(wire.config | {"settings": settings | change})
            for change in (
                {"workloads": [{key: value for key, value in plain.items() if key != name}]}
                for name in plain
            )
        ),
    ):
        reload(bad)
    for key in wire.config:
        if key != "admin_addr":
            reload(json.dumps({name: value for name, value in wire.config.items() if name != key}))
    for key in settings:
        reload(
            json.dumps(
                wire.config
                | {"settings": {name: value for name, value in new.items() if name != key}}
            )
        )
    for value in (0, -1, None, "5", True, float("nan")):
        reload(
            json.dumps(
                wire.config | {"settings": new | {"workloads": [plain | {"time-limit-ns": value}]}}
            )
        )
        reload(
            json.dumps(
                wire.config
                | {
                    "settings": new
                    | {"permissions": settings["permissions"] | {"max-hand-offs": value}}
                }
            )
        )
    after, refused = wire.figures(), 2 + len(plain) + len(wire.config) - 1 + len(settings) + 12
    assert (
        after["app.reloads_failed"] == refused
        and after["app.reloads_ok"] == 1
        and not wire.counters["exceptions"]
    )
    for goal in (
        {"nines-part": -1},
        {"nines-part": "x"},
        {"nines-part": 0.2},
        {"nines-part": 0.2, "top-nines": 0},
        7,
    ):
        reload(json.dumps(wire.config | {"settings": new | {"goal": goal}}))
    assert wire.figures()["app.reloads_failed"] == refused + 5
    reload(
        json.dumps(wire.config | {"settings": new | {"goal": {"nines-part": 0.2, "top-nines": 3}}})
    )
    assert wire.figures()["app.reloads_ok"] == 2
    wire.client("c1", "OPEN 1 7f c=new,d=2000\r\n")  # the settings before stay in force
    wire.run(100)
    assert any("c1 < UP" in line for line in wire.lines)


def test_a_login_under_way_keeps_its_workload_and_fewer_hand_offs_bind_at_once(tmp_path):
    # A once-only login stays once-only, a repeatable one repeatable, though the class changes under it; one whose class
    # vanished is answered at once.
    wire = Operated("busy", limits={"memory_mb": 64, "sockets": 400})
    settings = wire.config["settings"]
    plain = settings["workloads"][0] | {"effect": "pure"}
    once = plain | {"name": "once", "effect": "side_effect"}
    wire.reload(tmp_path / "config", settings=settings | {"workloads": [plain, once]})
    wire.run(1500)
    wire.behaviour["s1"] = lambda wire, stream, line: (wire.sleep(300 * MS), stream.abort())
    wire.client("pure", OPEN)
    wire.client("once", "OPEN 1 7f c=once,d=2000\r\n")
    wire.run(100)
    wire.reload(
        tmp_path / "config",
        settings=settings
        | {"workloads": [once | {"effect": "pure"}, plain | {"effect": "side_effect"}]},
    )
    wire.run(1500)
    tries = [line.split()[4] for line in wire.lines if "s1 < OPEN" in line]
    assert tries.count("once") == 1 and tries.count("pure") == 3
    assert [line.split()[-1] for line in wire.lines if " once <" in line] == ["FAILED"]
    wire.lines.clear()
    wire.behaviour["s1"] = "busy"
    wire.reload(
        tmp_path / "config",
        settings=settings
        | {"workloads": [plain], "permissions": settings["permissions"] | {"max-hand-offs": 1}},
    )
    wire.run(100)
    wire.client("gone", "OPEN 1 7f c=once,d=2000\r\n")
    wire.client("few", OPEN)
    wire.run(100)
    assert [line.split()[1:] for line in wire.lines if " < " in line and "s1" not in line] == [
        ["gone", "<", "ERR"],
        ["few", "<", "BUSY"],
    ]
    assert len([line for line in wire.lines if "s1 < OPEN" in line]) == 1
    assert wire.figures()["app.failed.once"] == 2
