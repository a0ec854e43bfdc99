"""Tests that a hostile client of the peers' address harms neither peers nor clients.

Each plays against a process of `serve` with 32 MB, of which the program with its libraries takes
most. Memory is the peak of the resident set, which must stay under that limit.
"""

import re
import resource
import select
import socket
import struct
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import ConnectionTerminated, StreamEnded, StreamReset
from harness import reserve_port
from line_server import Agent, LineServer, connect_slow_readers

from corklift.membership.peers import CALL, STATUS, call_peer
from corklift.net.limits import MS

MEMORY_MB = 32
# A login should be up in this time, in seconds.
SOFT_LIMIT = 0.8
# A call of a peer has a reply within a period.
PEERS_DEADLINE = 500 * MS
CONFIG = """
[peers]
name = "b1"
listen = "127.0.0.1:{peers}"
join = ["127.0.0.1:{peers}"]
period_ms = 500
[balancer]
listen = "127.0.0.1:{clients}"
discovery = "{discovery}"
seed = "5"
limits = {{ cores = 1.0, memory_mb = 32, sockets = 1024 }}
known = {{ index = 1, snapshot = true, endpoints = [
    {{ name = "s1", address = "{server}", status = "active" }}] }}
[balancer.settings]
balancers = 1
workloads = [{{ name = "plain", soft-limit-ns = 800_000_000, time-limit-ns = 3_200_000_000 }}]
report = {{ fields = ["x0", "inflight"] }}
permissions = {{ probes = true, max-hand-offs = 3, connect-timeout-ns = 200_000_000, \
keepalive-ns = 5_000_000_000 }}
[balancer.settings.rules]
"""


@pytest.fixture(autouse=True)
def descriptors():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, hard), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class ServeProcess:
    """A balancer of `serve` that is alone in its fleet, with one server."""

    def __init__(self, directory, **options) -> None:
        self._server = LineServer(**options)
        self._agent = Agent(self._server.known())
        self._ports = [reserve_port(), reserve_port()]
        self.clients, self.peers = (port.getsockname() for port in self._ports)
        path = directory / "b1.toml"
        path.write_text(
            CONFIG.format(
                peers=self.peers[1],
                clients=self.clients[1],
                discovery=self._agent.address,
                server=self._server.address,
            )
        )
        self._log = open(directory / "log", "w")
        self._process = subprocess.Popen(
            [sys.executable, "-m", "corklift", "serve", str(path)],
            cwd=Path(__file__).parent.parent.parent,
            stderr=self._log,
        )
        self._held: list[PeerConnection] = []

    def __enter__(self):
        for _ in range(500):
            try:
                with socket.create_connection(self.clients, 10) as client:
                    client.sendall(b"PING\r\n")
                    if client.recv(100) == b"PONG\r\n":
                        return self
            except ConnectionRefusedError:
                time.sleep(0.02)
        raise AssertionError("the balancer does not serve")

    def __exit__(self, *error) -> None:
        for connection in self._held:
            connection.close()
        self._process.kill()
        self._process.wait()
        for part in (self._server, self._agent):
            part.__exit__(*error)
        for port in self._ports:
            port.close()
        self._log.close()

    def connect(self) -> "PeerConnection":
        """Returns a connection that is closed at the end of the test."""
        self._held.append(PeerConnection(self.peers))
        return self._held[-1]

    def peak_mb(self) -> float:
        """Returns the peak of the process's resident memory so far."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024

    def log_in(self, name: str) -> float:
        """Returns the time in seconds until a client's connection is up."""
        began = time.monotonic()
        with socket.create_connection(self.clients, 5) as client:
            client.sendall(b"OPEN %b 7f c=plain,d=3200\r\n" % name.encode())
            assert client.recv(100) == b"UP s1\r\n"
        return time.monotonic() - began


class PeerConnection:
    """An HTTP/2 connection to the peers' address that can send what no sound client sends."""

    def __init__(self, address) -> None:
        self.sock = socket.create_connection(address, 5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.http = H2Connection(H2Configuration(header_encoding=None))
        self.http.initiate_connection()
        self.flush()

    def close(self) -> None:
        self.sock.close()

    def flush(self) -> None:
        self.sock.sendall(self.http.data_to_send())

    def start_call(self, path, fields=()) -> int:
        """Sends the head of a call and returns its stream."""
        stream = self.http.get_next_available_stream_id()
        names = [(":method", "POST"), (":scheme", "http"), (":path", path), (":authority", "x")]
        grpc = [("te", "trailers"), ("content-type", "application/grpc")]
        self.http.send_headers(stream, [*names, *grpc, *fields])
        return stream

    def read(self, seconds=5.0) -> list:
        """Returns the next events; none after the time, or once the connection has ended."""
        self.sock.settimeout(seconds)
        try:
            events = self.http.receive_data(self.sock.recv(1 << 16))
        except OSError:
            return []
        self.flush()
        return events

    def call_at_full_speed(self, seconds, path, message) -> int:
        """Makes calls, some at a time, for some seconds; returns how many have ended."""
        until, pending, ended = time.monotonic() + seconds, 0, 0
        while time.monotonic() < until:
            while pending < 6:
                stream = self.start_call(path(ended + pending))
                content = message(ended + pending)
                prefix = b"\0" + len(content).to_bytes(4, "big")
                self.http.send_data(stream, prefix + content, end_stream=True)
                pending += 1
            self.flush()
            events = self.read()
            assert not any(isinstance(event, ConnectionTerminated) for event in events)
            # A call that ends while its request is still read is reset after its end.
            over = {e.stream_id for e in events if isinstance(e, (StreamEnded, StreamReset))}
            pending, ended = pending - len(over), ended + len(over)
        return ended


def send_until(socks, content, ended: threading.Event) -> None:
    """Sends the content on non-blocking sockets at full speed, whole, and reads what comes back."""
    unsent = dict.fromkeys(socks, memoryview(content))
    while not ended.is_set():
        _, writable, _ = select.select([], socks, [], 0.1)
        for sock in writable:
            try:
                unsent[sock] = unsent[sock][sock.send(unsent[sock]) :] or memoryview(content)
                sock.recv(1 << 16)
            except OSError:
                pass  # nothing has come, or the balancer has closed it


# Each call that failed stayed in memory until a garbage collection, 6 KB and more of it.
def test_failed_calls_at_full_speed_leave_no_memory_behind(tmp_path):
    with ServeProcess(tmp_path) as balancer:
        connection = balancer.connect()
        assert connection.call_at_full_speed(2, lambda n: f"/unknown/{n}", lambda n: b"") > 500
        assert connection.call_at_full_speed(2, lambda n: CALL, lambda n: b"\x01%d" % n) > 500
        assert balancer.peak_mb() < MEMORY_MB


# Messages of which a part had come were bounded for each call alone, and heads not by their fields.
def test_half_sent_calls_on_all_connections_keep_the_process_within_its_memory(tmp_path):
    with ServeProcess(tmp_path) as balancer:
        connections = [balancer.connect() for _ in range(32)]
        for connection in connections:
            connection.read()  # the settings
            streams = [connection.start_call(CALL, [("x", "y" * 900)]) for _ in range(8)]
            for stream in streams:
                connection.http.send_data(stream, b"\0" + (64 << 10).to_bytes(4, "big"))
            connection.flush()
            for _ in range(6):
                for stream in connection.http.streams.keys() & set(streams):
                    room = connection.http.local_flow_control_window(stream)
                    connection.http.send_data(stream, b"x" * min(room, 10_000))
                connection.flush()
                connection.read(0.01)
        assert balancer.log_in("u1") < SOFT_LIMIT
        assert balancer.peak_mb() < MEMORY_MB


# All frames of a buffer were handled in one turn, and all others waited for it.
@pytest.mark.parametrize("kind", ["window updates", "data of one byte"])
def test_logins_and_peers_are_in_time_beside_small_frames_at_full_speed(tmp_path, kind):
    with ServeProcess(tmp_path) as balancer:
        socks, content = [], b""
        for _ in range(12):
            connection = balancer.connect()
            stream = connection.start_call(CALL)
            connection.flush()
            frame = {
                "window updates": struct.pack(">HBBBII", 0, 4, 8, 0, 0, 1),
                "data of one byte": struct.pack(">HBBBIB", 0, 1, 0, 0, stream, 0),
            }[kind]
            content = frame * 4000
            connection.sock.setblocking(False)
            socks.append(connection.sock)
        ended = threading.Event()
        flood = threading.Thread(target=send_until, args=(socks, content, ended))
        flood.start()
        try:
            for number in range(8):
                assert balancer.log_in(f"u{number}") < SOFT_LIMIT
            call_peer(balancer.peers, STATUS, b"", PEERS_DEADLINE)
        finally:
            ended.set()
            flood.join()
        assert balancer.peak_mb() < MEMORY_MB


# Connections that said nothing took all places, and peers were turned away.
@pytest.mark.parametrize("says", ["nothing", "its settings"])
def test_connections_that_are_only_held_open_do_not_shut_out_peers(tmp_path, says):
    with ServeProcess(tmp_path) as balancer:
        held = []
        for _ in range(200):
            held.append(socket.create_connection(balancer.peers, 5))
            if says == "its settings":
                http = H2Connection(H2Configuration())
                http.initiate_connection()
                held[-1].sendall(http.data_to_send())
        try:
            for _ in range(5):
                call_peer(balancer.peers, STATUS, b"", PEERS_DEADLINE)
        finally:
            for sock in held:
                sock.close()


# As for `run`; the libraries of `serve` take 6 MB more.
def test_clients_that_fill_all_buffers_keep_a_process_of_serve_within_its_memory(tmp_path):
    with ServeProcess(tmp_path, small_buffers=True) as balancer:
        clients = connect_slow_readers(balancer.clients, 240, 4)
        try:
            assert balancer.peak_mb() < MEMORY_MB
        finally:
            for sock in clients:
                sock.close()
