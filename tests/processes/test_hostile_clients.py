"""Tests that clients and callers that misuse their connections harm nobody else.

Each plays against a balancer in a process of its own with 32 MB, the least that deployments give.
Memory is the peak of the resident set, which must stay under that limit.
"""

import re
import resource
import select
import socket
import threading
import time
from pathlib import Path

import pytest
from harness import reserve_port
from line_server import Agent, LineServer, connect_slow_readers
from real_process import CONFIG, RealProcess

from corklift.net.limits import SECOND

MEMORY_MB = 32
SETTINGS = CONFIG["settings"] | {
    "permissions": CONFIG["settings"]["permissions"] | {"probes": True, "max-hand-offs": 3},
    "report": {"fields": ["x0", "inflight"]},
}
HEALTH = b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n"
LONG_LINE = b"OPEN %d-%d 7f c=plain,d=900,x=" + b"y" * 3900
# An operator's answer is owed in this time, in seconds.
OPERATORS_DEADLINE = 1.0
# A login should be up in this time, in seconds.
SOFT_LIMIT = CONFIG["settings"]["workloads"][0]["soft-limit-ns"] / SECOND


@pytest.fixture(autouse=True)
def descriptors():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, hard), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class Deployment:
    """A balancer at the least memory, one server, and the hostile connections of a test."""

    def __init__(self, directory, sockets, **options) -> None:
        self.server = LineServer(**options)
        self._agent = Agent(self.server.known())
        self._admin_port = reserve_port()
        self.admin = self._admin_port.getsockname()
        self.process = RealProcess(
            directory,
            discovery=self._agent.address,
            admin_addr="{}:{}".format(*self.admin),
            known=self.server.known(),
            settings=SETTINGS,
            limits={"memory_mb": MEMORY_MB, "sockets": sockets},
        )
        self.clients = self.process.address
        self._held: list[socket.socket] = []

    def __enter__(self):
        with self.process.connect(b"PING\r\n") as client:
            assert client.recv(100) == b"PONG\r\n"
        return self

    def __exit__(self, *error) -> None:
        for sock in self._held:
            sock.close()
        self.process.__exit__(*error)
        self.server.__exit__(*error)
        self._agent.__exit__(*error)
        self._admin_port.close()

    def hold(self, count, address, content=b"") -> list[socket.socket]:
        """Returns connections that have sent the content, and holds them to the test's end."""
        held = []
        for _ in range(count):
            held.append(sock := socket.create_connection(address, 10))
            sock.sendall(content)
        self._held += held
        return held

    def keep(self, socks) -> None:
        """Holds the connections to the test's end."""
        self._held += socks

    def peak_mb(self) -> float:
        """Returns the peak of the process's resident memory so far."""
        status = Path(f"/proc/{self.process.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024

    def ask_health(self) -> float:
        """Returns the time in seconds until the health check has said yes."""
        began = time.monotonic()
        with socket.create_connection(self.admin, 5) as caller:
            caller.sendall(HEALTH)
            assert caller.recv(100).startswith(b"HTTP/1.1 200")
        return time.monotonic() - began


def send_to_all(socks, content) -> None:
    for sock in socks:
        try:
            sock.sendall(content)
        except OSError:
            pass  # the balancer has closed it


def send_until(socks, content, ended: threading.Event) -> None:
    """Sends the content on non-blocking sockets at full speed, and reads what comes back."""
    while not ended.is_set():
        _, writable, _ = select.select([], socks, [], 0.1)
        send_to_all(writable, content)
        for sock in socks:
            try:
                sock.recv(1 << 16)
            except OSError:
                pass  # nothing has come


# The fields of a head were kept, 700 KB for a head of 16 KB, while the body was awaited.
def test_callers_with_heads_of_many_short_fields_take_little_memory(tmp_path):
    head = b"POST /admin/cordon HTTP/1.1\r\nContent-Length: 16000\r\n"
    head += b"".join(b"%x:\r\n" % number for number in range(2300)) + b"\r\n"
    with Deployment(tmp_path, sockets=1024) as deployment:
        for _ in range(4):
            deployment.hold(32, deployment.admin, head + b"{" * 1000)
            time.sleep(0.5)
            assert deployment.ask_health() < OPERATORS_DEADLINE
        assert deployment.peak_mb() < MEMORY_MB


# What a caller had sent was kept until a garbage collection once it had made way for another.
def test_callers_that_make_way_for_others_leave_no_memory_behind(tmp_path):
    with Deployment(tmp_path, sockets=256) as deployment:
        for _ in range(12):
            deployment.hold(100, deployment.admin, HEALTH[:-2] + b"a: " + b"x" * 16000)
            time.sleep(0.2)
            assert deployment.ask_health() < OPERATORS_DEADLINE
        assert deployment.peak_mb() < MEMORY_MB


# Four buffers of 8 KB of each connection were kept, and the half of the memory that was meant for
# them is not free at 32 MB.
def test_clients_that_fill_all_buffers_keep_the_process_within_its_memory(tmp_path):
    with Deployment(tmp_path, sockets=1024, small_buffers=True) as deployment:
        # The lines lie in all buffers, both ways.
        deployment.keep(connect_slow_readers(deployment.clients, 240, 4))
        # Others stop half way through a line, and callers half way through a call.
        for wave in range(1, 4):
            for number in range(150):
                deployment.hold(1, deployment.clients, LONG_LINE % (wave, number))
            deployment.hold(32, deployment.admin, HEALTH[:-2] + b"a: " + b"x" * 16000)
            time.sleep(0.3)
        assert deployment.ask_health() < OPERATORS_DEADLINE
        assert deployment.peak_mb() < MEMORY_MB


# Clients that sent short lines at full speed held up each login for up to 1.6 s.
def test_logins_are_in_time_beside_clients_that_send_short_lines_at_full_speed(tmp_path):
    with Deployment(tmp_path, sockets=256) as deployment:
        floods = deployment.hold(6, deployment.clients)
        for number, sock in enumerate(floods):
            sock.sendall(b"OPEN f%d 7f c=plain,d=900\r\n" % number)
            assert sock.recv(100) == b"UP s1\r\n"
            sock.setblocking(False)
        ended = threading.Event()
        flood = threading.Thread(target=send_until, args=(floods, b"\n" * 8192, ended))
        flood.start()
        try:
            for number in range(10):
                began = time.monotonic()
                with socket.create_connection(deployment.clients, 5) as client:
                    client.sendall(b"OPEN u%d 7f c=plain,d=900\r\n" % number)
                    assert client.recv(100) == b"UP s1\r\n"
                assert time.monotonic() - began < SOFT_LIMIT
                assert deployment.ask_health() < OPERATORS_DEADLINE
        finally:
            ended.set()
            flood.join()
