"""Tests of the handover between processes of one balancer: rules, files, and real upgrades."""

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
from harness import MS, BalancerHarness, PolicyHarness, reserve_port

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


def test_at_most_one_process_serves_and_finally_the_latest_does():
    # Processes poll, advance and write their state in random order, and start, stop and crash at
    # random.
    for seed in range(300):
        rng, written, processes, polled = Random(seed), {}, {}, {}
        for _ in range(120):
            action = rng.random()
            if action < 0.06 and len(processes) < 4:
                number = 1 + max(written, default=0)
                processes[number] = Handover(number)
                written[number] = ProcessState(number, Stage.STARTING, 0, {}, {})
            elif action < 0.09 and processes:
                del processes[rng.choice(list(processes))]
            elif action < 0.12 and processes:
                rng.choice(list(processes.values())).leave()
            elif processes:
                number = rng.choice(list(processes))
                process = processes[number]
                if number in polled:  # advances by its last poll and writes its state
                    if process.advance(
                        polled.pop(number),
                        rng.random() < 0.98 or process.stage is not Stage.STARTING,
                    ):
                        written[number] = written[number]._replace(stage=process.stage)
                else:
                    written[number] = written[number]._replace(stage=process.stage)
                    polled[number] = [written[at] for at in processes if at != number]
            serving = [
                number for number, process in processes.items() if process.stage is Stage.SERVING
            ]
            assert len(serving) <= 1, (seed, serving)
        for _ in range(4):
            for number, process in processes.items():
                while process.advance([written[at] for at in processes if at != number], True):
                    written[number] = written[number]._replace(stage=process.stage)
                written[number] = written[number]._replace(stage=process.stage)
        staying = [
            number for number, process in processes.items() if process.stage is not Stage.LEAVING
        ]
        assert [n for n, p in processes.items() if p.stage is Stage.SERVING] == staying[-1:], seed


def test_latest_override_of_a_server_wins_in_any_order():
    old, new = Handover(1), Handover(2)
    old.record_override("s1", True)
    old.record_override("s2", True)
    assert new.merge_overrides([ProcessState(1, Stage.SERVING, 0, dict(old.overrides), {})]) == {
        "s1": True,
        "s2": True,
    }
    new.record_override("s1", False)
    early = ProcessState(1, Stage.SERVING, 0, dict(old.overrides), {})
    # Merging the same state again changes nothing.
    assert new.merge_overrides([early]) == {} and new.servers_out_of_service() == {"s2"}
    assert old.merge_overrides([ProcessState(2, Stage.SERVING, 0, dict(new.overrides), {})]) == {
        "s1": False
    }
    old.record_override("s1", True)
    assert old.servers_out_of_service() == {"s1", "s2"} and new.merge_overrides(
        [ProcessState(1, Stage.LEAVING, 0, dict(old.overrides), {})]
    ) == {"s1": True}


def test_unreadable_state_files_are_logged_and_ignored(tmp_path):
    state = ProcessState(
        1, Stage.SERVING, 3, {"s1": OperatorOverride(1, 1, True)}, {"homes": [[1, 2]]}
    )
    content = encode(state)
    assert decode(content) == state
    for bad in (
        b"",
        b"corklift 2" + content[10:],
        content[:-3],
        content.replace(b"s1", b"s2"),
        b"\xff" * 50,
    ):
        with pytest.raises(UnreadableStateError):
            decode(bad)
    log_lines = []
    for number in (3, 7):
        (tmp_path / f"{number}.life").write_bytes(
            content if number == 3 else encode(state._replace(generation=7))[:-1]
        )
    files = HandoverFiles(str(tmp_path), log_lines.append)
    assert (
        files.generation == 8
        and files.read_others() == ([], [])
        and files.read_others() == ([], [])
    )
    assert len(log_lines) == 2 and "7.life" in log_lines[1]
    files.write_state(state._replace(generation=8))
    other = HandoverFiles(str(tmp_path), log_lines.append)
    assert other.read_others() == ([state._replace(generation=8)], [])
    os.close(files._lock)  # as at the end of its process
    assert other.read_others() == ([], [state._replace(generation=8)])
    other.remove_files(other.read_others()[1])
    assert other.read_others() == ([], []) and other.has_changed() and not other.has_changed()


def test_cold_budget_is_handed_over_and_spent_once():
    # Two processes of a balancer together place as many logins on a cold server as a single
    # process, and one on standby places none.
    def make_harness():
        harness = PolicyHarness(balancers=1, cold=ColdRule(0.3, 9000 * MS, 3.0, 1000 * MS))
        harness.auto = {1: Report(20, 0.5)}
        harness.list_servers(1, started_at=harness.now)
        for _ in range(40):
            harness.balancer._load_reports.record(
                harness.now, harness.balancer._registry.servers[1], Report(20, 0.5)
            )
        return harness

    single = make_harness()
    budget = 0
    while single.login(budget + 1) is not None:
        budget += 1
    first, second = make_harness(), make_harness()
    for number in range(budget - 1):
        assert first.login(number + 1) == 1
    learned = json.loads(json.dumps(first.balancer.export_learned_state(first.now)))
    first.balancer.set_standby(True)
    second.balancer.import_learned_state(second.now, learned)
    assert first.login(900) is None
    assert [second.login(number) for number in (901, 902)] == [1, None] and budget > 2


def test_returning_clients_count_once_and_their_groups_stay_together():
    # The fleet is full. A returning client takes the capacity that its own earlier connection has
    # freed, at the server of its group.
    def make_harness(seed):
        harness = PolicyHarness(seed, balancers=3, grouped=True)
        harness.auto = {number: Report(14.4, 0.72) for number in (1, 2, 3, 4)}
        harness.list_servers(1, 2, 3, 4)
        harness.run(3000)
        return harness

    old, new, stranger = make_harness(1), make_harness(2), make_harness(2)
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
    groups = new.balancer._groups
    new.balancer.other_processes_ended()
    assert (
        groups.total_load == 0
        and not groups.group_load
        and not any(s.groups for s in new.balancer._registry.ready)
    )


def test_inherited_descriptor_that_is_no_listening_socket_is_rejected():
    plain = socket.socket()
    read_end, write_end = os.pipe()
    for text in ("x", "-1", "99999", str(read_end), str(plain.fileno())):
        with pytest.raises(ConfigError, match="BALANCER_LISTEN_FD"):
            open_inherited_socket(text)
    plain.getsockname()  # the other socket is not closed
    os.close(read_end)
    os.close(write_end)


def test_client_limit_includes_the_clients_of_other_processes():
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


class LoadClient(threading.Thread):
    """A client that logs in, sends lines for a while, and logs in again when it is moved."""

    def __init__(self, port: int, number: int) -> None:
        super().__init__(daemon=True)
        self.port, self.number, self.results, self.is_running = port, number, [], True

    def run(self) -> None:
        attempts = 0
        while self.is_running:
            attempts += 1
            try:
                result = self.log_in(f"c{self.number}x{attempts}")
            except OSError as problem:
                result = repr(problem)
            self.results.append((time.monotonic(), result))
            time.sleep(0.05)

    def log_in(self, name: str) -> str:
        with socket.create_connection(("127.0.0.1", self.port), 5) as sock:
            sock.sendall(f"OPEN {name} 7f c=plain,d=3000\r\n".encode())
            lines = sock.makefile("rb")
            first = lines.readline().decode().strip()
            # A third of the clients stay until they are moved.
            until = time.monotonic() + (0.4 if self.number % 3 else 8.0)
            while first.startswith("UP") and self.is_running and time.monotonic() < until:
                sock.sendall(b"line\r\n")
                answer = lines.readline()
                if answer == b"MOVE\r\n":
                    return "moved"
                if answer != b"echo line\r\n":
                    return repr(answer)
                time.sleep(0.05)
            return first.split()[0] if first else "unread"


def test_two_upgrades_under_load_reject_no_login_and_keep_overrides(tmp_path):
    # Only the sockets and the configuration of the harness are used: a script plays the servers and
    # discovery in real time.
    harness = BalancerHarness("up", "up", "up")
    harness.process.relay._listeners[0].close()
    config = tmp_path / "config.json"
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    config.write_text(
        json.dumps(
            harness.config
            | {
                "listen": f"127.0.0.1:{listener.getsockname()[1]}",
                "settings": harness.config["settings"] | {"rules": {"ramp-time-ns": 300 * MS}},
            }
        )
    )
    peers = subprocess.Popen(
        [
            sys.executable,
            "-c",
            PEERS_SCRIPT,
            json.dumps([peer.fileno() for peer in harness.listeners.values()]),
            str(harness.discovery_listener.fileno()),
            json.dumps([harness.list_entry(name) for name in harness.behaviour]),
        ],
        pass_fds=[
            *(peer.fileno() for peer in harness.listeners.values()),
            harness.discovery_listener.fileno(),
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
            "BALANCER_LISTEN_FD": str(listener.fileno()),
            "BALANCER_ADMIN_ADDR": f"127.0.0.1:{admin}",
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "corklift"],
            env=env,
            pass_fds=[listener.fileno()],
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
        raise AssertionError("the process does not serve within 6 s")

    def call(admin, method, what, member=None):
        connection = HTTPConnection("127.0.0.1", admin, timeout=1)
        connection.request(
            method, f"/admin/{what}", None if member is None else json.dumps({"member": member})
        )
        status = connection.getresponse().status
        connection.close()
        return status

    # Each port stays bound, but not listening, so that no connect and no other program is given it.
    reserved = [reserve_port() for _ in range(4)]
    ports = [sock.getsockname()[1] for sock in reserved]
    processes, clients = (
        [start(ports[0])],
        [LoadClient(listener.getsockname()[1], number) for number in range(12)],
    )
    try:
        for client in clients:
            client.start()
        time.sleep(0.8)
        assert call(ports[0], "POST", "cordon", "s1") == 200  # before the upgrade
        processes.append(start(ports[1]))
        assert call(ports[0], "POST", "cordon", "s2") == 200  # during it, at the old process
        both_out_at = time.monotonic()
        processes[0].send_signal(signal.SIGTERM)
        assert processes[0].wait(5) == 0
        assert call(ports[1], "POST", "uncordon", "s1") == 200  # between the upgrades
        processes.append(start(ports[2]))
        # An upgrade right after the other one that fails: the new process is killed.
        cancelled_upgrade = start(ports[3])
        killed_at = time.monotonic()
        cancelled_upgrade.kill()
        cancelled_upgrade.wait()
        time.sleep(0.5)
        assert call(ports[2], "GET", "health") == 200
        processes[1].send_signal(signal.SIGTERM)
        assert processes[1].wait(5) == 0
        time.sleep(0.3)
        restored_at = time.monotonic()
        assert call(ports[2], "POST", "uncordon", "s2") == 200
        time.sleep(1.0)
        crashed_at = time.monotonic()  # the old process dies while the new one is starting
        threading.Timer(0.2, processes[2].kill).start()
        processes.append(start(ports[3]))
        time.sleep(1.0)
    finally:
        for client in clients:
            client.is_running = False
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait(5)
            assert "exception" not in process.stderr.read()
        peers.terminate()
        peers.wait(5)
        for sock in reserved:
            sock.close()
    results = [
        end
        for client in clients
        for at, end in client.results
        if not killed_at < at < killed_at + 0.5 and not crashed_at < at < crashed_at + 1.0
    ]
    assert set(results) == {"UP", "moved"} and results.count("moved") >= 4, results.count("moved")
    assert [end for client in clients for at, end in client.results if at > crashed_at + 1.0].count(
        "UP"
    ) > 3
    placed_while_out = [name for at, name in placed if both_out_at + 0.2 < at < restored_at]
    assert placed_while_out and "s2" not in placed_while_out and "s1" in placed_while_out
    assert "s2" in [name for at, name in placed if at > restored_at]


PEERS_SCRIPT = """
import json, socket, sys, threading, time
server_fds, discovery_fd = json.loads(sys.argv[1]), int(sys.argv[2])
entries = json.loads(sys.argv[3])
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
            head = b"HTTP/1.1 200 OK\\r\\nContent-Length: %d\\r\\n\\r\\n" % len(body)
            sock.sendall(head + body)
def accept(fd, serve_connection, name):
    listener = socket.socket(fileno=fd)
    listener.setblocking(True)
    while True:
        sock = listener.accept()[0]
        threading.Thread(target=guarded, args=(serve_connection, sock, name), daemon=True).start()
def guarded(serve_connection, sock, name):
    try:
        serve_connection(sock, name)
    except OSError:
        pass
    sock.close()
for number, fd in enumerate(server_fds, 1):
    threading.Thread(target=accept, args=(fd, serve, f"s{number}"), daemon=True).start()
accept(discovery_fd, discover, "")
"""


def test_clients_are_accepted_from_an_inherited_socket_without_a_state_directory(tmp_path):
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
                assert client.recv(100)  # any answer
        finally:
            process.kill()
            process.wait()
