"""Balancers in processes of their own, for tests of signals, restarts and upgrades.

Each listens on a port that is reserved before its start, or on a socket that it inherits.
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import threading
from pathlib import Path

from harness import MS, reserve_port
from loop import wait_for

WORKLOAD = {"name": "plain", "soft-limit-ns": 800 * MS, "time-limit-ns": 900 * MS}
# No discovery answers at this address.
CONFIG = {
    "listen": "",
    "discovery": "127.0.0.1:1",
    "seed": "5",
    "limits": {"memory_mb": 64, "sockets": 200},
    "known": {"index": 1, "snapshot": True, "endpoints": []},
    "settings": {
        "workloads": [WORKLOAD],
        "rules": {},
        "permissions": {"connect-timeout-ns": 200 * MS, "keepalive-ns": 5000 * MS},
    },
}
LOGIN = b"OPEN %b 7f c=plain,d=400\r\n"

# Starts a balancer that pauses at one point until told to go on: `POINT` names a module about to be
# imported, or a method, as `module:Class.method`, that has just returned.
PAUSING = """
import importlib, os, runpy, sys
point = os.environ["POINT"]
def pause():
    print("paused", flush=True)
    sys.stdin.readline()
class Imports:
    def find_spec(self, name, path=None, target=None):
        if name == point:
            sys.meta_path.remove(imports)
            pause()
imports = Imports()
module, _, name = point.partition(":")
if not name:
    sys.meta_path.insert(0, imports)
else:
    name, _, method = name.partition(".")
    owner = getattr(importlib.import_module(module), name)
    original = getattr(owner, method)
    def paused(*arguments):
        result = original(*arguments)
        pause()
        return result
    setattr(owner, method, paused)
sys.argv = ["corklift"]
runpy.run_module("corklift", run_name="__main__", alter_sys=True)
"""


class RealProcess:
    """A balancer in a process of its own; ended with the `with` block.

    Args:
        directory: for the configuration, and for the state files of an upgrade.
        point: where the process pauses until `go_on`, as `PAUSING` tells; "" for nowhere.
        inherited: a listening socket to share instead of a port of its own.
        stderr: a descriptor for the log; by default the log is collected.
        text: the content of the configuration file, if it isn't the configuration of `changes`.
    """

    def __init__(
        self, directory, point="", inherited=None, stderr=None, text=None, **changes
    ) -> None:
        self._reserved = reserve_port()
        self.address = (inherited or self._reserved).getsockname()
        self.path = directory / f"{self.address[1]}.json"
        self.config = CONFIG | {"listen": f"127.0.0.1:{self.address[1]}"} | changes
        self.path.write_text(json.dumps(self.config) if text is None else text)
        environment = {"BALANCER_CONFIG": str(self.path), "POINT": point}
        if inherited is not None:
            environment |= {
                "BALANCER_LISTEN_FD": str(inherited.fileno()),
                "BALANCER_NAME": "n1",
                "TMPDIR": str(directory),
            }
        self.process = subprocess.Popen(
            [sys.executable, *(("-c", PAUSING) if point else ("-m", "corklift"))],
            cwd=Path(__file__).parent.parent,
            env=os.environ | environment,
            pass_fds=[] if inherited is None else [inherited.fileno()],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE if stderr is None else stderr,
            text=True,
        )
        self.log = ""
        self._reader = threading.Thread(target=self._read_log, daemon=True)
        self._reader.start()
        if point:
            assert self.process.stdout.readline() == "paused\n"

    def __enter__(self) -> RealProcess:
        return self

    def __exit__(self, *_) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._reader.join(5)
        for pipe in (self.process.stdin, self.process.stdout, self.process.stderr):
            if pipe is not None:
                pipe.close()
        self._reserved.close()

    def _read_log(self) -> None:
        for line in self.process.stderr or ():
            self.log += line

    def wait_for_log(self, text: str, count: int = 1) -> None:
        """Waits until the text is in the log so many times."""
        wait_for(lambda: self.log.count(text) >= count, 20)

    def signal(self, *numbers: int) -> None:
        for number in numbers:
            self.process.send_signal(number)

    def go_on(self) -> None:
        self.process.stdin.write("\n")
        self.process.stdin.flush()

    def connect(self, text: bytes = b"") -> socket.socket:
        """Returns a client that has sent the text, as soon as the balancer listens."""

        def attempt():
            try:
                return socket.create_connection(self.address, 10)
            except ConnectionRefusedError:
                return None

        client = wait_for(attempt)
        client.sendall(text)
        return client

    def end(self, seconds: float = 10) -> tuple[int, str]:
        """Waits for the end; returns the exit status and the log."""
        code = self.process.wait(seconds)
        self._reader.join(5)
        return code, self.log


# Here a process has opened the shared socket and written its first state, and accepts nobody yet.
BEFORE_SERVING = "corklift.net.handover_driver:HandoverDriver.join"


class SharedSocketBalancer:
    """Processes of one balancer that share a listening socket, which the test holds.

    Ended with the `with` block.
    """

    def __init__(self, directory, **configuration) -> None:
        """Takes the configuration that differs from `CONFIG` in each of the processes."""
        self.directory, self._configuration = directory, configuration
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.processes: list[RealProcess] = []

    def __enter__(self):
        return self

    def __exit__(self, *error) -> None:
        for process in self.processes:
            process.__exit__(*error)
        self.listener.close()

    def start(self, point: str = "", **options) -> RealProcess:
        """Starts the next process; returns it at once, or when it pauses at the point."""
        process = RealProcess(
            self.directory, point, inherited=self.listener, **self._configuration, **options
        )
        self.processes.append(process)
        return process

    def start_serving(self, before=lambda: None) -> RealProcess:
        """Starts the next process; returns it once it accepts clients, and the others don't.

        `before` is called when most of the start is over: clients that have sent no login are
        closed after 2 s.
        """
        process = self.start(BEFORE_SERVING)
        before()
        process.go_on()
        process.wait_for_log(f"process {len(self.processes)} of this balancer is serving")
        return process

    def connect(self, text: bytes = b"") -> socket.socket:
        """Returns a client that has sent the text; it may be in the queue only."""
        client = socket.create_connection(self.listener.getsockname(), 10)
        client.sendall(text)
        return client

    def accepted(self) -> socket.socket:
        """Returns a client that a process has accepted and that has sent no login yet."""
        client = self.connect(b"PING\r\n")
        assert client.recv(100) == b"PONG\r\n"
        return client


def read_all(client: socket.socket) -> bytes:
    """Returns what the client still receives until the connection ends in an orderly way."""
    with client:
        content = b""
        while chunk := client.recv(4096):
            content += chunk
        return content
