"""Answers of discovery that are cut, for processes of `run` and of `serve` that serve logins.

Discovery and the servers are stand-ins in a thread of the test; they tell what reached them. No
login may reach a draining server later than the grace after discovery had the drain.
"""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from harness import reserve_port
from loop import Loop, wait_for

from corklift.net.limits import MS, SECOND
from corklift.standins.discovery import CutKind, Discovery, ResponseCut
from corklift.standins.transcriber import Transcriber

# The grace of the settings, and what the protocol adds to each time limit on sockets.
GRACE, SLACK = 500 * MS, 50 * MS
# Time between the first piece of an answer and what follows: half of the grace.
PAUSE = GRACE // 2
# Bytes of the first piece: in the status line, in the header, in the body, just before its end.
SIZES = (1, 60, 160, 250)
LOGINS_PER_SECOND = 25
SETTINGS = {
    "balancers": 1,
    "workloads": [{"name": "plain", "soft-limit-ns": 800 * MS, "time-limit-ns": 3200 * MS}],
    "rules": {"drain-grace-ns": GRACE, "ask-within-ns": 10 * SECOND},
    "report": {"fields": ["x0", "inflight"]},
    "permissions": {
        "probes": True,
        "max-hand-offs": 3,
        "connect-timeout-ns": 200 * MS,
        "keepalive-ns": 5 * SECOND,
    },
}


class CutDeployment(Loop):
    """A process of one of the programs, its discovery, two servers, and steady logins."""

    def __init__(self, directory: Path, program: str, discovery_kind: str) -> None:
        super().__init__()
        self.placed = []
        self.discovery = Discovery(self.scheduler)
        self.servers = {
            name: Transcriber(self.scheduler, name, 100.0, self.placed.append)
            for name in ("s1", "s2")
        }
        self._ports = [reserve_port(), reserve_port()]
        self._clients, self._peers = (port.getsockname() for port in self._ports)
        for name, server in self.servers.items():
            self.discovery.put(name, ("127.0.0.1", server.listen()))
        config = {
            "listen": "{}:{}".format(*self._clients),
            "discovery": f"127.0.0.1:{self.discovery.listen()}",
            "seed": "5",
            "limits": {"memory_mb": 64, "sockets": 256},
            "known": {"index": 0, "snapshot": True, "endpoints": []},
            "settings": SETTINGS | {"discovery": discovery_kind},
        }
        self._command, environment = [sys.executable, "-m", "corklift"], {}
        if program == "serve":
            path = directory / "b1.toml"
            path.write_text(format_serve_config(config, self._peers[1]))
            self._command += ["serve", str(path)]
        else:
            path = directory / "b1.json"
            path.write_text(json.dumps(config))
            environment = {"BALANCER_CONFIG": str(path)}
        self._environment = os.environ | environment
        self._log = open(directory / "log", "w")
        self._stopped = threading.Event()
        self._logins = threading.Thread(target=self._log_in_steadily, daemon=True)

    def __enter__(self):
        super().__enter__()
        self.do(self._start_stand_ins)
        self._process = subprocess.Popen(
            self._command,
            cwd=Path(__file__).parent.parent.parent,
            env=self._environment,
            stderr=self._log,
        )
        wait_for(lambda: self._talk(b"PING\r\n") == b"PONG\r\n", 20)
        self._logins.start()
        wait_for(lambda: self.count_at("s1") and self.count_at("s2"), 20)
        return self

    def __exit__(self, *error) -> None:
        self._stopped.set()
        if self._logins.is_alive():
            self._logins.join(10)
        self._process.send_signal(signal.SIGKILL)
        self._process.wait()
        self._log.close()
        for port in self._ports:
            port.close()
        super().__exit__(*error)

    def _start_stand_ins(self) -> None:
        self.scheduler.spawn(self.discovery.accept_loop)
        for server in self.servers.values():
            self.scheduler.spawn(server.accept_loop)

    def _talk(self, line: bytes) -> bytes:
        try:
            with socket.create_connection(self._clients, 5) as client:
                client.sendall(line)
                return client.recv(100)
        except OSError:
            return b""

    def _log_in_steadily(self) -> None:
        for number in itertools.count():
            if self._stopped.wait(1 / LOGINS_PER_SECOND):
                return
            self._talk(b"OPEN c%d 7f c=plain,d=3200\r\n" % number)

    def count_at(self, name: str) -> int:
        return sum(placement.server == name for placement in self.placed)

    def set_status(self, name: str, status: str) -> int:
        """Tells a server's status; returns when discovery had it."""

        def tell() -> int:
            self.discovery.set_status(name, status)
            return self.scheduler.now()

        return self.do(tell)

    def logins_after_the_grace(self, cut: ResponseCut) -> list[float]:
        """Plays one drain in an answer that is cut; returns how late logins came, in seconds."""
        self.discovery.next_cuts.append(cut)
        told_at = self.set_status("s1", "leaving")
        time.sleep((GRACE + SLACK) / SECOND + 0.5)
        late = [
            (placement.at - told_at) / SECOND
            for placement in self.placed
            if placement.server == "s1" and placement.at > told_at + GRACE + SLACK
        ]
        count = self.count_at("s1")
        self.set_status("s1", "active")
        wait_for(lambda: self.count_at("s1") > count, 20)
        return late


def format_serve_config(config: dict, peers_port: int) -> str:
    """Returns the TOML of a balancer that is alone in its fleet."""
    address = f"127.0.0.1:{peers_port}"
    peers = f'[peers]\nname = "b1"\nlisten = "{address}"\njoin = ["{address}"]\n'
    return f"{peers}[balancer]\n" + "".join(
        f"{key} = {format_toml(value)}\n" for key, value in config.items()
    )


def format_toml(value) -> str:
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {format_toml(v)}" for key, v in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(map(format_toml, value)) + "]"
    return json.dumps(value)


# An answer that stalled was given up twice before it was taken: review, case 10.
@pytest.mark.parametrize(
    "program, discovery_kind", [("run", "pushed"), ("run", "on_request"), ("serve", "pushed")]
)
@pytest.mark.parametrize("kind", CutKind)
def test_no_login_reaches_a_draining_server_after_the_grace(
    tmp_path, program, discovery_kind, kind
):
    with CutDeployment(tmp_path, program, discovery_kind) as deployment:
        late = {
            size: deployment.logins_after_the_grace(ResponseCut(kind, size, PAUSE))
            for size in SIZES
        }
        assert late == {size: [] for size in SIZES}


# Each answer comes in two pieces, also the ones to calls made beside it, as in the review's case.
@pytest.mark.parametrize("program", ["run", "serve"])
def test_no_login_reaches_a_draining_server_if_all_answers_come_in_pieces(tmp_path, program):
    with CutDeployment(tmp_path, program, "pushed") as deployment:
        late = {}
        for size in SIZES:
            cut = deployment.discovery.usual_cut = ResponseCut(CutKind.REST, size, PAUSE)
            late[size] = deployment.logins_after_the_grace(cut)
        assert late == {size: [] for size in SIZES}
