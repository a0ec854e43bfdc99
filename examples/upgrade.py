"""Upgrades a balancer without refusing clients.

    python examples/upgrade.py   # with the toy servers of README.md running, and no other balancer

Opens the socket that clients connect to, starts a first balancer process on it, then a second one,
and terminates the first. For trying only: in production, a supervisor with socket activation does
this.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from http.client import HTTPConnection
from pathlib import Path

ROOT = Path(__file__).parent.parent


def start_balancer(
    listener: socket.socket, temporary_folder: str, admin_port: int
) -> subprocess.Popen[bytes]:
    """Starts a balancer process and waits until its health check reports that it is serving."""
    environment = {
        "BALANCER_CONFIG": str(ROOT / "examples/config.json"),
        "BALANCER_LISTEN_FD": str(listener.fileno()),
        "BALANCER_ADMIN_ADDR": f"127.0.0.1:{admin_port}",
        "TMPDIR": temporary_folder,
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "corklift"],
        cwd=ROOT,
        env=os.environ | environment,
        pass_fds=[listener.fileno()],
    )
    while process.poll() is None:
        try:
            admin = HTTPConnection("127.0.0.1", admin_port, timeout=1)
            admin.request("GET", "/admin/health")
            if admin.getresponse().status == 200:
                return process
        except OSError:
            pass
        time.sleep(0.05)
    raise SystemExit("the balancer process exited; its last log line gives the reason")


def main() -> None:
    with (
        socket.create_server(("127.0.0.1", 9000), backlog=1024) as listener,
        tempfile.TemporaryDirectory() as temporary_folder,
    ):
        old_process = start_balancer(listener, temporary_folder, 9010)
        print("first process serving; admin address 127.0.0.1:9010", flush=True)
        try:
            time.sleep(10)
            new_process = start_balancer(listener, temporary_folder, 9011)
            print(
                "second process serving; admin address 127.0.0.1:9011; stopping the first",
                flush=True,
            )
            old_process.send_signal(signal.SIGTERM)
            old_process.wait()
            print("first process exited; press Ctrl-C to stop the second", flush=True)
            try:
                new_process.wait()
            except KeyboardInterrupt:
                new_process.terminate()
                new_process.wait()
        finally:
            old_process.kill()


if __name__ == "__main__":
    main()
