"""Several processes of one balancer: the rule of who takes clients, its files, and two real upgrades under a load."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from http.client import HTTPConnection
from pathlib import Path
from random import Random

import pytest
from harness import MS, BalancerHarness, PolicyHarness

from corklift.handover import (
    Handover,
    OperatorOverride,
    ProcessState,
    Stage,
    UnreadableStateError,
    decode,
    encode,
)
from corklift.interface import ColdRule, Outcome, Report
from corklift.net.handover_files import HandoverFiles
from corklift.net.limits import ConfigError
from corklift.service import open_inherited_socket


def test_never_do_two_serve_and_the_latest_that_lives_does_in_the_end():
    # Each process looks, decides and tells, in any order with the others' looks, deaths and starts between.
    for seed in range(300):
        rng, told, places, seen = Random(seed), {}, {}, {}
        for _ in range(120):
            act = rng.random()
            if act < 0.06 and len(places) < 4:
                number = 1 + max(told, default=0)
                places[number] = Handover(number)
                told[number] = ProcessState(number, Stage.STARTING, 0, {}, {})
            elif act < 0.09 and places:
                del places[rng.choice(list(places))]
            elif act < 0.12 and places:
                rng.choice(list(places.values())).leave()
            elif places:
                number = rng.choice(list(places))
                place = places[number]
                if number in seen:  # tells what it decided by its last look
                    if place.advance(
                        seen.pop(number), rng.random() < 0.98 or place.stage is not Stage.STARTING
                    ):
                        told[number] = told[number]._replace(stage=place.stage)
                else:
                    told[number] = told[number]._replace(stage=place.stage)
                    seen[number] = [told[at] for at in places if at != number]
            serving = [number for number, place in places.items() if place.stage is Stage.SERVING]
            assert len(serving) <= 1, (seed, serving)
        for _ in range(4):
            for number, place in places.items():
                while place.advance([told[at] for at in places if at != number], True):
                    told[number] = told[number]._replace(stage=place.stage)
                told[number] = told[number]._replace(stage=place.stage)
        staying = [number for number, place in places.items() if place.stage is not Stage.LEAVING]
        assert [n for n, p in places.items() if p.stage is Stage.SERVING] == staying[-1:], seed


def test_the_last_word_of_a_server_holds_in_whatever_order_it_is_heard():
    old, new = Handover(1), Handover(2)
    old.record_override("s1", True)
    old.record_override("s2", True)
    assert new.merge_overrides([ProcessState(1, Stage.SERVING, 0, dict(old.overrides), {})]) == {
        "s1": True,
        "s2": True,
    }
    new.record_override("s1", False)
    early = ProcessState(1, Stage.SERVING, 0, dict(old.overrides), {})
    assert new.merge_overrides([early]) == {} and new.servers_out_of_service() == {
        "s2"
    }  # heard again, it changes nothing
    assert old.merge_overrides([ProcessState(2, Stage.SERVING, 0, dict(new.overrides), {})]) == {
        "s1": False
    }
    old.record_override("s1", True)
    assert old.servers_out_of_service() == {"s1", "s2"} and new.merge_overrides(
        [ProcessState(1, Stage.LEAVING, 0, dict(old.overrides), {})]
    ) == {"s1": True}


def test_what_is_not_whole_is_left_out_and_told(tmp_path):
    life = ProcessState(
        1, Stage.SERVING, 3, {"s1": OperatorOverride(1, 1, True)}, {"homes": [[1, 2]]}
    )
    whole = encode(life)
    assert decode(whole) == life
    for bad in (
        b"",
        b"corklift 2" + whole[10:],
        whole[:-3],
        whole.replace(b"s1", b"s2"),
        b"\xff" * 50,
    ):
        with pytest.raises(UnreadableStateError):
            decode(bad)
    said = []
    for number in (3, 7):
        (tmp_path / f"{number}.life").write_bytes(
            whole if number == 3 else encode(life._replace(generation=7))[:-1]
        )
    files = HandoverFiles(str(tmp_path), said.append)
    assert (
        files.generation == 8
        and files.read_others() == ([], [])
        and files.read_others() == ([], [])
    )
    assert len(said) == 2 and "7.life" in said[1]
    files.write_state(life._replace(generation=8))
    other = HandoverFiles(str(tmp_path), said.append)
    assert other.read_others() == ([life._replace(generation=8)], [])
    os.close(files._lock)  # as when its process has ended
    assert other.read_others() == ([], [life._replace(generation=8)])
    other.remove_files(other.read_others()[1])
    assert other.read_others() == ([], []) and other.has_changed() and not other.has_changed()


def test_the_cold_budget_goes_over_and_is_spent_once():
    # One balancer's part of a server's warm-up, used by one process, by two in turn, and by the one that stands by.
    def harness():
        made = PolicyHarness(balancers=1, cold=ColdRule(0.3, 9000 * MS, 3.0, 1000 * MS))
        made.probe_answers = {1: Report(20, 0.5)}
        made.list_servers(1, started_at=made.now)
        for _ in range(40):
            made.balancer._load_reports.record(
                made.now, made.balancer._registry.servers[1], Report(20, 0.5)
            )
        return made

    alone = harness()
    most = 0
    while alone.login(most + 1) is not None:
        most += 1
    first, second = harness(), harness()
    for number in range(most - 1):
        assert first.login(number + 1) == 1
    learned = json.loads(json.dumps(first.balancer.export_learned_state(first.now)))
    first.balancer.set_standby(True)
    second.balancer.import_learned_state(second.now, learned)
    assert first.login(900) is None
    assert [second.login(number) for number in (901, 902)] == [1, None] and most > 2


def test_clients_that_come_over_count_once_and_their_groups_stay_together():
    # The fleet is as full as before: each returns to room that its own old connection has left, at its group's server.
    def harness(seed):
        made = PolicyHarness(seed, balancers=3, grouped=True)
        made.probe_answers = {number: Report(14.4, 0.72) for number in (1, 2, 3, 4)}
        made.list_servers(1, 2, 3, 4)
        made.run(3000)
        return made

    old, new, stranger = harness(1), harness(2), harness(2)
    for number in range(1, 9):
        assert old.login(number, group=77) is not None
        old.open_connection(number)
        old.run(2500)
    homes = {server for _, server in old.hand_offs}
    old.balancer.set_standby(True)
    new.balancer.import_learned_state(
        new.now, json.loads(json.dumps(old.balancer.export_learned_state(old.now)))
    )
    new.balancer.import_learned_state(
        new.now, {"servers": [], "homes": [], "rate": [0, 0], "open": [[9, 77]], "ended": []}
    )
    for number in range(1, 9):
        old.end_hand_off(number, Outcome.CANCELLED, closed=True)
    for server, load in old.balancer.export_learned_state(old.now)["ended"]:
        new.balancer.connection_ended_elsewhere(new.now, server, load)
    placed = {"new": [], "stranger": []}
    for number in range(101, 109):
        placed["new"].append(new.login(number, group=77, came_back=True))
        placed["stranger"].append(stranger.login(number, group=77, came_back=True))
    assert set(placed["new"]) <= homes and None in placed["stranger"]
    draw = new.balancer._draw
    new.balancer.other_processes_ended()
    assert (
        draw.total_load == 0
        and not draw.group_load
        and not any(s.groups for s in new.balancer._registry.ready)
    )


def test_a_value_that_is_no_listening_socket_is_named():
    plain = socket.socket()
    read_end, write_end = os.pipe()
    for text in ("x", "-1", "99999", str(read_end), str(plain.fileno())):
        with pytest.raises(ConfigError, match="BALANCER_LISTEN_FD"):
            open_inherited_socket(text)
    plain.getsockname()  # and what is no such socket is left as it was
    os.close(read_end)
    os.close(write_end)


def test_both_processes_together_hold_no_more_clients_than_one():
    harness = BalancerHarness("up", limits={"sockets": 60})
    harness.process.relay.clients_elsewhere = harness.limits.clients - 2
    for number in range(4):
        harness.client(f"c{number}", 100, "OPEN 1 7f c=plain,d=2000\r\n")
    harness.run(1000)
    assert sorted(
        line.split(" < ")[1].split()[0]
        for line in harness.trace
        if " < UP" in line or " < BUSY" in line
    ) == ["BUSY", "BUSY", "UP", "UP"]


class Served(threading.Thread):
    """A client: opens, keeps its connection for a while and sends lines; comes again when it is moved."""

    def __init__(self, port: int, number: int) -> None:
        super().__init__(daemon=True)
        self.port, self.number, self.results, self.goes_on = port, number, [], True

    def run(self) -> None:
        tries = 0
        while self.goes_on:
            tries += 1
            try:
                end = self.once(f"c{self.number}x{tries}")
            except OSError as problem:
                end = repr(problem)
            self.results.append((time.monotonic(), end))
            time.sleep(0.05)

    def once(self, name: str) -> str:
        with socket.create_connection(("127.0.0.1", self.port), 5) as sock:
            sock.sendall(f"OPEN {name} 7f c=plain,d=3000\r\n".encode())
            lines = sock.makefile("rb")
            first = lines.readline().decode().strip()
            until = time.monotonic() + (
                0.4 if self.number % 3 else 8.0
            )  # these last until they are moved
            while first.startswith("UP") and self.goes_on and time.monotonic() < until:
                sock.sendall(b"line\r\n")
                answer = lines.readline()
                if answer == b"MOVE\r\n":
                    return "moved"
                if answer != b"echo line\r\n":
                    return repr(answer)
                time.sleep(0.05)
            return first.split()[0] if first else "unread"


def test_two_upgrades_under_a_load_refuse_nobody_and_keep_what_operators_said(tmp_path):
    world = BalancerHarness("up", "up", "up")  # its servers and discovery, in real time
    world.process.relay._listeners[0].close()
    config = tmp_path / "config.json"
    held = socket.create_server(("127.0.0.1", 0), backlog=256)
    told, stop = [], threading.Event()
    config.write_text(
        json.dumps(
            world.config
            | {
                "listen": "127.0.0.1:%d" % held.getsockname()[1],
                "settings": world.config["settings"] | {"rules": {"ramp-time-ns": 300 * MS}},
            }
        )
    )
    peers = subprocess.Popen(
        [
            sys.executable,
            "-c",
            PEERS,
            json.dumps([each.fileno() for each in world.listeners.values()]),
            str(world.discovery_listener.fileno()),
            json.dumps([world.list_entry(name) for name in world.behaviour]),
        ],
        pass_fds=[
            *(each.fileno() for each in world.listeners.values()),
            world.discovery_listener.fileno(),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    placed = []
    threading.Thread(
        target=lambda: [
            placed.append((time.monotonic(), name))
            for line in peers.stdout
            for name in line.split()
        ],
        daemon=True,
    ).start()

    def start(admin):
        env = os.environ | {
            "BALANCER_CONFIG": str(config),
            "TMPDIR": str(tmp_path),
            "BALANCER_NAME": "n1",
            "BALANCER_LISTEN_FD": str(held.fileno()),
            "BALANCER_ADMIN_ADDR": f"127.0.0.1:{admin}",
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "corklift"],
            env=env,
            pass_fds=[held.fileno()],
            cwd=Path(__file__).parent.parent,
            stderr=subprocess.PIPE,
            text=True,
        )
        until = time.monotonic() + 6
        while time.monotonic() < until:
            try:
                if call(admin, "GET", "health") == 200:
                    return process
            except OSError:
                pass
            time.sleep(0.02)
        raise AssertionError("it does not serve within 6 s")

    def call(admin, method, what, member=None):
        connection = HTTPConnection("127.0.0.1", admin, timeout=1)
        connection.request(
            method, f"/admin/{what}", None if member is None else json.dumps({"member": member})
        )
        status = connection.getresponse().status
        connection.close()
        return status

    ports = []
    for _ in range(4):
        with socket.create_server(("127.0.0.1", 0)) as free:
            ports.append(free.getsockname()[1])
    processes, clients = (
        [start(ports[0])],
        [Served(held.getsockname()[1], number) for number in range(12)],
    )
    try:
        for client in clients:
            client.start()
        time.sleep(0.8)
        assert call(ports[0], "POST", "cordon", "s1") == 200  # before
        processes.append(start(ports[1]))
        assert call(ports[0], "POST", "cordon", "s2") == 200  # during, at the old one
        both_out = time.monotonic()
        processes[0].send_signal(signal.SIGTERM)
        assert processes[0].wait(5) == 0
        assert call(ports[1], "POST", "uncordon", "s1") == 200  # between
        processes.append(start(ports[2]))
        late = start(ports[3])  # a second upgrade right after the first, and that one taken back
        killed = time.monotonic()
        late.kill()
        late.wait()
        time.sleep(0.5)
        assert call(ports[2], "GET", "health") == 200
        processes[1].send_signal(signal.SIGTERM)
        assert processes[1].wait(5) == 0
        time.sleep(0.3)
        back = time.monotonic()
        assert call(ports[2], "POST", "uncordon", "s2") == 200
        time.sleep(1.0)
        crashed = time.monotonic()  # the old one, while the new one gets ready
        threading.Timer(0.2, processes[2].kill).start()
        processes.append(start(ports[3]))
        time.sleep(1.0)
    finally:
        for client in clients:
            client.goes_on = False
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait(5)
            assert "exception" not in process.stderr.read()
        peers.terminate()
        peers.wait(5)
    ends = [
        end
        for client in clients
        for at, end in client.results
        if not killed < at < killed + 0.5 and not crashed < at < crashed + 1.0
    ]
    assert set(ends) == {"UP", "moved"} and ends.count("moved") >= 4, ends.count("moved")
    assert [end for client in clients for at, end in client.results if at > crashed + 1.0].count(
        "UP"
    ) > 3
    while_out = [name for at, name in placed if both_out + 0.2 < at < back]
    assert while_out and "s2" not in while_out and "s1" in while_out
    assert "s2" in [name for at, name in placed if at > back]


PEERS = """
import json, socket, sys, threading, time
fds, agent, entries = json.loads(sys.argv[1]), int(sys.argv[2]), json.loads(sys.argv[3])
def serve(sock, name):
    lines = sock.makefile("rb")
    for line in lines:
        if line == b"STATS\\r\\n":
            sock.sendall(b"PONG x0=0.2,inflight=3\\r\\n")
        elif line.startswith(b"OPEN"):
            sys.stdout.write(name + "\\n")
            sys.stdout.flush()
            sock.sendall(b"UP x\\r\\n")
        else:
            sock.sendall(b"echo " + line)
def discover(sock, name):
    for line in sock.makefile("rb"):
        if line.startswith(b"GET"):
            if b"wait" in line:
                time.sleep(int(line.split()[1].rpartition(b"=")[2]) / 1000)
            body = json.dumps({"index": 1, "snapshot": True, "endpoints": entries}).encode()
            sock.sendall(b"HTTP/1.1 200 OK\\r\\nContent-Length: %d\\r\\n\\r\\n%b" % (len(body), body))
def accept(fd, act, name):
    door = socket.socket(fileno=fd)
    door.setblocking(True)
    while True:
        sock = door.accept()[0]
        threading.Thread(target=guarded, args=(act, sock, name), daemon=True).start()
def guarded(act, sock, name):
    try:
        act(sock, name)
    except OSError:
        pass
    sock.close()
for number, fd in enumerate(fds, 1):
    threading.Thread(target=accept, args=(fd, serve, f"s{number}"), daemon=True).start()
accept(agent, discover, "")
"""


def test_clients_are_taken_from_an_inherited_socket_where_there_is_no_folder_to_meet_in(tmp_path):
    config = json.loads((Path(__file__).parents[1] / "examples/config.json").read_text())
    config.pop("admin_addr")
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config | {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}))
    with socket.create_server(("127.0.0.1", 0)) as door:
        environment = {key: value for key, value in os.environ.items() if key != "TMPDIR"}
        process = subprocess.Popen(
            [sys.executable, "-m", "corklift"],
            pass_fds=[door.fileno()],
            stderr=subprocess.DEVNULL,
            env=environment
            | {"BALANCER_CONFIG": str(path), "BALANCER_LISTEN_FD": str(door.fileno())},
        )
        try:
            with socket.create_connection(door.getsockname(), 20) as client:
                client.sendall(b"OPEN x y z\r\n")
                assert client.recv(100)  # an answer, whichever
        finally:
            process.kill()
            process.wait()
