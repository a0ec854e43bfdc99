"""Tests that no connection name is served twice across an upgrade, with real processes."""

import signal
import socket
import time

import pytest
from line_server import Agent, LineServer
from real_process import CONFIG, LOGIN, RealProcess, read_all

from corklift.net.connection_names import ConnectionNames
from corklift.net.handover_files import HandoverFiles
from corklift.net.limits import MS, SECOND, Limits

SETTINGS = CONFIG["settings"] | {
    "permissions": CONFIG["settings"]["permissions"] | {"probes": True, "max-hand-offs": 3},
    "report": {"fields": ["x0", "inflight"]},
}
# Here a process has been started whole, and others still accept the clients.
BEFORE_SERVING = "corklift.net.handover_driver:HandoverDriver.join"


class Upgrade:
    """Processes of one balancer with one server, which share a listening socket."""

    def __init__(self, directory) -> None:
        self._directory = directory
        self.server = LineServer()
        self._agent = Agent(self.server.known())
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self._processes: list[RealProcess] = []

    def __enter__(self):
        return self

    def __exit__(self, *error) -> None:
        for process in self._processes:
            process.__exit__(*error)
        self._listener.close()
        self._agent.__exit__(*error)
        self.server.__exit__(*error)

    def start(self, point: str = "") -> RealProcess:
        """Starts the next process; returns it at once, or when it pauses at the point."""
        process = RealProcess(
            self._directory,
            point,
            inherited=self._listener,
            discovery=self._agent.address,
            known=self.server.known(),
            settings=SETTINGS,
        )
        self._processes.append(process)
        return process

    def start_serving(self) -> RealProcess:
        """Starts the next process; returns it once it accepts clients and the others don't."""
        process = self.start()
        self.wait_until_serving(process)
        return process

    def wait_until_serving(self, process: RealProcess) -> None:
        number = 1 + self._processes.index(process)
        process.wait_for_log(f"process {number} of this balancer is serving")

    def connect(self) -> socket.socket:
        return socket.create_connection(self._listener.getsockname(), 10)

    def log_in(self, name: bytes, client: socket.socket | None = None) -> socket.socket:
        """Returns a client whose connection is up."""
        client = client or self.connect()
        client.sendall(LOGIN % name)
        assert client.recv(100) == b"UP s1\r\n"
        return client

    def answer(self, name: bytes, client: socket.socket | None = None) -> bytes:
        """Returns all that a client gets that sends a login with this name."""
        client = client or self.connect()
        client.settimeout(3)
        client.sendall(LOGIN % name)
        return read_all(client)


# The later process served a login with the name of a connection of the earlier one: review/8.
def test_name_of_a_connection_at_the_earlier_process_is_refused_by_the_later_one(tmp_path):
    with Upgrade(tmp_path) as balancer:
        balancer.start_serving()
        standing, leaving = balancer.log_in(b"a1"), balancer.log_in(b"a2")
        balancer.start_serving()
        assert balancer.answer(b"a1") == b"ERR\r\n"
        leaving.close()  # its name stays reserved, at the earlier process
        time.sleep(0.2)
        assert balancer.answer(b"a2") == b"ERR\r\n"
        standing.sendall(b"hello\r\n")
        assert standing.recv(100) == b"echo hello\r\n"
        assert len(balancer.server.logins) == 2


# A client that the earlier process has accepted may send its login when the later one serves.
def test_name_of_a_connection_at_the_later_process_is_refused_by_the_earlier_one(tmp_path):
    with Upgrade(tmp_path) as balancer:
        balancer.start_serving()
        later = balancer.start(BEFORE_SERVING)
        # From its PONG on, the client has `first_line_time` for its login; a start may take longer.
        accepted = balancer.connect()
        accepted.sendall(b"PING\r\n")
        assert accepted.recv(100) == b"PONG\r\n"
        later.go_on()
        balancer.wait_until_serving(later)
        standing = balancer.log_in(b"a1")
        assert balancer.answer(b"a1", accepted) == b"ERR\r\n"
        standing.sendall(b"hello\r\n")
        assert standing.recv(100) == b"echo hello\r\n"
        assert len(balancer.server.logins) == 1


# The names of an ended process were forgotten with it, those of its last clients too.
@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGKILL])
def test_name_of_a_connection_is_refused_after_the_end_of_its_process(tmp_path, end):
    with Upgrade(tmp_path) as balancer:
        first = balancer.start_serving()
        standing = balancer.log_in(b"a1")
        second = balancer.start_serving()
        first.signal(end)
        first.process.wait(10)
        assert balancer.answer(b"a1") == b"ERR\r\n"
        assert len(balancer.server.logins) == 1
        standing.close()
        second.signal(signal.SIGTERM)
        code, log = second.end()
        assert code == 0 and "exception" not in log


def test_names_of_an_ended_process_are_reserved_for_a_moment(tmp_path):
    now = [1_700_000_000 * SECOND]
    files = HandoverFiles(str(tmp_path), print)
    ended, names = (ConnectionNames(lambda: now[0], Limits.name_time, 1 << 16) for _ in range(2))
    with files.create_name_table() as file:
        ended.share(file.fileno())
    assert ended.claim("a")
    names.other_processes([files.generation], [], files.open_name_table)
    names.other_processes([], [files.generation], files.open_name_table)
    now[0] += Limits.name_time - MS
    assert not names.claim("a")
    now[0] += Limits.name_time
    assert names.claim("a") and not names._others
