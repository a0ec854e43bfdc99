"""Tests that the server list outlives an upgrade while discovery is down.

Real processes of one balancer share a listening socket; discovery and the servers are stand-ins. In
`known`, the list of the configuration file, every server is ready.
"""

import json
import signal

import pytest
from harness import BalancerHarness
from line_server import LineServer
from loop import Loop, wait_for
from real_process import BEFORE_SERVING, CONFIG, LOGIN, SharedSocketBalancer

from corklift.handover import UnreadableStateError, add_checksum
from corklift.interface import Status
from corklift.net.handover_files import HandoverFiles
from corklift.net.limits import MS, SECOND
from corklift.net.parsers import Listing, ServerEntry, parse_listing
from corklift.net.server_list import ServerList, decode_server_list, encode_server_list
from corklift.standins.discovery import Discovery

SETTINGS = CONFIG["settings"] | {
    "permissions": CONFIG["settings"]["permissions"] | {"probes": True, "max-hand-offs": 3},
    "report": {"fields": ["x0", "inflight"]},
}
# So many logins that with two equal servers one gets none once in 2^20 plays.
LOGINS = 20


class Deployment(SharedSocketBalancer):
    """Processes of one balancer with two servers and a discovery that can be silent."""

    def __init__(self, directory) -> None:
        self._login_count = 0
        self._servers = [LineServer(name) for name in ("s1", "s2")]
        self._loop = Loop()
        self.discovery = Discovery(self._loop.scheduler)
        for server in self._servers:
            host, _, port = server.address.rpartition(":")
            self.discovery.put(server.name, (host, int(port)))
        super().__init__(
            directory,
            discovery=f"127.0.0.1:{self.discovery.listen()}",
            known={
                "index": 1,
                "snapshot": True,
                "endpoints": [server.entry() for server in self._servers],
            },
            settings=SETTINGS,
        )

    def __enter__(self):
        self._loop.__enter__()
        self._loop.do(lambda: self._loop.scheduler.spawn(self.discovery.accept_loop))
        return self

    def __exit__(self, *error) -> None:
        super().__exit__(*error)
        for server in self._servers:
            server.__exit__(*error)
        self._loop.__exit__(*error)

    def log_in(self) -> list[str]:
        """Returns the servers of some logins."""
        found = []
        for _ in range(LOGINS):
            self._login_count += 1
            with self.connect(LOGIN % (b"c%d" % self._login_count)) as client:
                found.append(client.recv(100).decode().split()[-1])
        return found

    def change_and_fall_silent(self, status: str) -> None:
        """Changes the status of s1, waits until the balancer knows it, and silences discovery."""
        self._loop.do(lambda: self.discovery.set_status("s1", status))
        wait_for(lambda: set(self.log_in()) == {"s2"})
        self.discovery.silent = True


@pytest.fixture
def deployment(tmp_path):
    with Deployment(tmp_path) as deployment:
        first = deployment.start_serving()
        wait_for(lambda: "s1" in deployment.log_in())
        deployment.first = first
        yield deployment


# The next process sent logins to a server of whose drain the one before knew: review/9.
@pytest.mark.parametrize("status", ["leaving", "left"])
def test_news_of_a_server_holds_in_later_processes_while_discovery_is_down(deployment, status):
    deployment.change_and_fall_silent(status)
    second = deployment.start_serving()
    deployment.first.signal(signal.SIGTERM)
    assert set(deployment.log_in()) == {"s2"}
    deployment.start_serving()  # twice in a row: it has the list from the second process
    second.signal(signal.SIGKILL)
    assert set(deployment.log_in()) == {"s2"}


def test_drain_holds_when_the_earlier_process_is_killed_during_the_upgrade(deployment):
    deployment.change_and_fall_silent("leaving")
    later = deployment.start(BEFORE_SERVING)
    wait_for(lambda: (deployment.directory / "corklift-n1" / "1.servers").exists())
    deployment.first.signal(signal.SIGKILL)
    deployment.first.process.wait(10)
    later.go_on()
    assert set(deployment.log_in()) == {"s2"}


def test_drain_holds_when_the_later_process_is_killed_before_it_serves(deployment):
    deployment.change_and_fall_silent("leaving")
    later = deployment.start(BEFORE_SERVING)
    later.signal(signal.SIGKILL)
    later.process.wait(10)
    assert set(deployment.log_in()) == {"s2"}
    deployment.start_serving()
    assert set(deployment.log_in()) == {"s2"}


def test_drain_learned_by_the_later_process_holds_at_the_earlier_one_after_a_kill(deployment):
    second = deployment.start_serving()
    deployment.change_and_fall_silent("leaving")
    second.signal(signal.SIGKILL)
    deployment.first.wait_for_log("process 1 of this balancer is serving", 2)
    assert set(deployment.log_in()) == {"s2"}


# Discovery that was restored from a copy has an earlier version than the list that was handed over.
def test_list_of_discovery_is_believed_although_an_adopted_list_was_newer():
    harness = BalancerHarness("up", "up")
    harness.run(200)
    assert harness.process.watch.has_answered
    entry = ServerEntry(
        "s1", ("127.0.0.1", harness.ports["s1"]), "", "", 0, Status.DRAINING, 1.0, 0
    )
    assert harness.process.watch.adopt(Listing(20, True, (entry,), 0))
    assert not harness.process.facade.ready_servers()
    harness.run(2 * harness.limits.watch_wait // MS)  # beyond the call that is under way
    assert harness.process.facade.server_list.version == harness.list_version == 1
    assert len(harness.process.facade.ready_servers()) == 2


@pytest.mark.parametrize("version", [0, 1])
def test_list_that_is_not_newer_changes_nothing(version):
    harness = BalancerHarness("up", "up")
    harness.run(200)
    assert not harness.process.watch.adopt(Listing(version, True, (), 0))
    assert len(harness.process.facade.ready_servers()) == 2


def entry(name: str, status: Status = Status.READY) -> ServerEntry:
    return ServerEntry(name, ("10.0.0.1", 700), "north", "big", 3, status, 0.5, 7 * SECOND + MS)


def test_list_is_whole_after_changes_and_the_same_after_a_file():
    known = ServerList()
    known.apply(Listing(4, False, (entry("s0"),), 0))
    assert known.version is None
    known.apply(Listing(5, True, (entry("s1"), entry("s2"), entry("s3")), 0))
    changes = (entry("s1", Status.DRAINING), entry("s2", Status.GONE), entry("s4"))
    known.apply(Listing(7, False, changes, 0))
    assert known.listing() == Listing(
        7, True, (entry("s1", Status.DRAINING), entry("s3"), entry("s4")), 0
    )
    content = encode_server_list(("127.0.0.1", 80), known.listing())
    assert decode_server_list(content) == (("127.0.0.1", 80), known.listing())


@pytest.mark.parametrize(
    "document",
    [
        [],
        {},
        {"discovery": ["127.0.0.1", 80]},
        {"discovery": ["127.0.0.1"], "index": 1, "snapshot": True, "endpoints": []},
        {"discovery": ["127.0.0.1", 80], "index": 1, "snapshot": True, "endpoints": [{"name": 5}]},
    ],
)
def test_list_of_another_format_is_unreadable(document):
    with pytest.raises(UnreadableStateError):
        decode_server_list(add_checksum(json.dumps(document).encode()))


# A file cut short is told, and the list of the configuration is used as before.
def test_process_serves_with_its_known_list_if_that_of_the_earlier_one_is_unreadable(deployment):
    deployment.change_and_fall_silent("leaving")
    later = deployment.start(BEFORE_SERVING)
    file = deployment.directory / "corklift-n1" / "1.servers"
    wait_for(file.exists)
    deployment.first.signal(signal.SIGKILL)
    deployment.first.process.wait(10)
    file.write_bytes(file.read_bytes()[:-5])
    later.go_on()
    later.wait_for_log("process 2 of this balancer is serving")
    later.wait_for_log("ignoring the server list of another process: the checksum does not match")
    assert wait_for(lambda: "s1" in deployment.log_in())


def test_files_of_ended_processes_are_removed_with_their_list(tmp_path):
    state_directory = tmp_path / "n1"
    files = HandoverFiles(str(state_directory), print)
    files.write_server_list(encode_server_list(("127.0.0.1", 80), Listing(1, True, (), 0)))
    later = HandoverFiles(str(state_directory), print)
    (content,) = later.read_server_lists()
    assert parse_listing(json.loads(content.partition(b"\n")[2])).version == 1
