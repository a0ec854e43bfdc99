"""Tests that no connection name is served twice across an upgrade, with real processes."""

import signal
import socket
import time

import pytest
from line_server import Agent, LineServer
from real_process import CONFIG, LOGIN, SharedSocketBalancer, read_all

from corklift.net.connection_names import ConnectionNames
from corklift.net.handover_files import HandoverFiles
from corklift.net.limits import MS, SECOND, Limits

SETTINGS = CONFIG["settings"] | {
    "permissions": CONFIG["settings"]["permissions"] | {"probes": True, "max-hand-offs": 3},
    "report": {"fields": ["x0", "inflight"]},
}


class Upgrade(SharedSocketBalancer):
    """Processes of one balancer with one server."""

    def __init__(self, directory) -> None:
        self.server = LineServer()
        self._agent = Agent(self.server.known())
        super().__init__(
            directory,
            discovery=self._agent.address,
            known=self.server.known(),
            settings=SETTINGS,
        )

    def __exit__(self, *error) -> None:
        super().__exit__(*error)
        self._agent.__exit__(*error)
        self.server.__exit__(*error)

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
        held = []
        balancer.start_serving(lambda: held.append(balancer.accepted()))
        standing = balancer.log_in(b"a1")
        assert balancer.answer(b"a1", held[0]) == b"ERR\r\n"
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
