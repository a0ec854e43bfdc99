"""Tests that force crossings of two processes of one balancer with their clients.

Real processes share one listening socket, which the test holds as a supervisor does. Each client is
answered by whichever process has accepted it, and a client that nobody has accepted waits in the
queue for the next process.
"""

import contextlib
import json
import signal
import socket
import threading
import time

import pytest
from harness import MS
from real_process import (
    BEFORE_SERVING,
    CONFIG,
    LOGIN,
    WORKLOAD,
    SharedSocketBalancer,
    read_all,
)

from corklift.net.connection_names import ConnectionNames
from corklift.net.handover_driver import HandoverDriver
from corklift.net.limits import Counters, Limits
from corklift.net.parsers import Listing
from corklift.net.server_list import ServerList, decode_server_list

# With this one, a process takes up to 3.4 s to end.
LONG_WORKLOAD = WORKLOAD | {"time-limit-ns": 3_000 * MS}


class Discovery(threading.Thread):
    """Answers the first call of each balancer with a list, and never a watch.

    The only server refuses connections, so that a login is refused as soon as that is known.
    """

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=16)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._open: list[socket.socket] = []
        self.start()

    def run(self) -> None:
        entry = {"name": "s1", "address": "127.0.0.1:1", "status": "active"}
        body = json.dumps({"index": 1, "snapshot": True, "endpoints": [entry]}).encode()
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self._open.append(sock)
                if b"wait" not in sock.recv(4096):
                    sock.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                    )

    def close(self) -> None:
        for sock in (self._listener, *self._open):
            sock.close()


class Succession(SharedSocketBalancer):
    """Processes of one balancer, with a discovery whose only server refuses connections."""

    def __init__(self, directory, **changed_settings) -> None:
        self._discovery = Discovery()
        settings = CONFIG["settings"] | changed_settings
        settings = settings | {"permissions": settings["permissions"] | {"probes": True}}
        super().__init__(directory, discovery=self._discovery.address, settings=settings)

    def __exit__(self, *error) -> None:
        super().__exit__(*error)
        self._discovery.close()


def log_in(client, name):
    """Sends the login and returns the client's answer."""
    client.sendall(LOGIN % name)
    return read_all(client)


def ends_well(process):
    process.signal(signal.SIGTERM)
    code, log = process.end()
    return code == 0 and "exception" not in log


def test_clients_between_accept_and_first_line_are_answered_after_both_have_yielded(tmp_path):
    with Succession(tmp_path) as balancer:
        first = balancer.start_serving()
        at_first, at_second = [], []
        second = balancer.start_serving(lambda: at_first.append(balancer.accepted()))
        assert log_in(at_first[0], b"c1") == b"BUSY\r\n"
        third = balancer.start_serving(
            lambda: at_second.extend([balancer.accepted(), balancer.accepted()])
        )
        assert log_in(at_second[0], b"c2") == b"BUSY\r\n"
        # Half a line now, the rest after the process was asked to stop.
        at_second[1].sendall(b"OPEN c3 7f c=pl")
        for process in (first, second):
            process.signal(signal.SIGTERM)
            process.wait_for_log("told to stop")
        at_second[1].sendall(b"ain,d=400\r\n")
        assert read_all(at_second[1]) == b"BUSY\r\n"
        assert first.end()[0] == second.end()[0] == 0
        assert log_in(balancer.accepted(), b"c4") == b"BUSY\r\n" and ends_well(third)
        assert not any("exception" in process.log for process in balancer.processes)


def test_earlier_process_takes_the_queue_of_a_later_one_that_dies(tmp_path):
    with Succession(tmp_path) as balancer:
        first = balancer.start_serving()
        held = []
        second = balancer.start_serving(lambda: held.append(balancer.accepted()))
        lost = balancer.accepted()
        second.signal(signal.SIGSTOP)
        queued = balancer.connect(LOGIN % b"c1")  # the second would accept it, but is held up
        second.process.kill()
        second.process.wait()
        assert read_all(queued) == b"BUSY\r\n"
        first.wait_for_log("process 1 of this balancer is serving", 2)
        assert log_in(held[0], b"c2") == b"BUSY\r\n"
        assert log_in(balancer.accepted(), b"c3") == b"BUSY\r\n"
        lost.close()
        assert ends_well(first)


def test_later_process_that_dies_before_it_serves_leaves_the_earlier_one_serving(tmp_path):
    with Succession(tmp_path) as balancer:
        first = balancer.start_serving()
        second = balancer.start(point=BEFORE_SERVING)
        held = balancer.accepted()
        time.sleep(0.2)  # some looks of the first process at the state of the second
        second.process.kill()
        second.process.wait()
        assert "yielded" not in first.log
        assert log_in(held, b"c1") == b"BUSY\r\n"
        assert log_in(balancer.accepted(), b"c2") == b"BUSY\r\n" and ends_well(first)


@pytest.mark.parametrize("both", [False, True])
def test_queue_waits_for_the_next_process_when_the_serving_one_leaves(tmp_path, both):
    # The next process is still starting, and in one case is asked to stop as well.
    with Succession(tmp_path) as balancer:
        first = balancer.start_serving()
        held = balancer.accepted()
        second = balancer.start(point=BEFORE_SERVING)
        first.signal(signal.SIGTERM)
        first.wait_for_log("told to stop")
        queued = [balancer.connect(LOGIN % b"q%d" % number) for number in range(3)]
        assert log_in(held, b"c1") == b"BUSY\r\n" and first.end()[0] == 0
        if both:
            second.signal(signal.SIGTERM)
        second.go_on()
        if both:
            assert second.end()[0] == 0 and "serving" not in second.log
            second = balancer.start_serving()
        assert [read_all(client) for client in queued] == [b"BUSY\r\n"] * 3
        assert ends_well(second)


# With no next process yet, nobody read the queue from the SIGTERM until one was ready: logins were
# answered long after their time.
def test_queue_is_answered_while_the_only_process_ends(tmp_path):
    with Succession(tmp_path, workloads=[LONG_WORKLOAD]) as balancer:
        first = balancer.start_serving()
        held = balancer.accepted()
        first.signal(signal.SIGTERM)
        first.wait_for_log("told to stop")
        # First new logins are placed (and refused here, as no server is up), then refused.
        for number in range(3):
            client = balancer.connect(LOGIN % b"q%d" % number)
            client.settimeout(1)
            assert read_all(client) == b"BUSY\r\n"
            time.sleep(0.3)
        assert first.process.poll() is None
        assert log_in(held, b"c1") == b"BUSY\r\n" and first.end()[0] == 0
        assert "exception" not in first.log
        queued = balancer.connect(LOGIN % b"c2")
        second = balancer.start_serving()
        assert read_all(queued) == b"BUSY\r\n" and ends_well(second)


def test_process_that_ends_yields_to_a_later_one_that_gets_ready_meanwhile(tmp_path):
    with Succession(tmp_path, workloads=[LONG_WORKLOAD]) as balancer:
        first = balancer.start_serving()
        held = balancer.accepted()
        second = balancer.start(point=BEFORE_SERVING)
        first.signal(signal.SIGTERM)
        first.wait_for_log("told to stop")
        second.go_on()
        second.wait_for_log("process 2 of this balancer is serving")
        assert log_in(balancer.accepted(), b"c1") == b"BUSY\r\n"
        assert log_in(held, b"c2") == b"BUSY\r\n" and first.end()[0] == 0
        assert ends_well(second) and "exception" not in first.log


# The drivers of two processes, step by step


class Stub:
    """Stands for the relay, the decisions and the list watch of a process.

    It records what its driver sets.
    """

    def __init__(self) -> None:
        self.ready, self.accepts, self.on_standby, self.client_count = True, False, False, 0
        self.clients_elsewhere = 0
        self.names = ConnectionNames(lambda: 1, Limits.name_time, Limits.name_table)
        self.server_list = ServerList()  # of which nothing is known

    def set_accepting(self, accepting):
        self.accepts = accepting

    def set_standby(self, wanted):
        self.on_standby = wanted

    def export_learned_state(self):
        return {}

    def import_learned_state(self, learned):
        pass

    def other_processes_ended(self):
        pass


def make_driver(directory):
    stub, counters = Stub(), Counters()
    log = []
    driver = HandoverDriver(
        None, None, counters, log.append, stub, stub, stub, str(directory), True
    )
    driver.join()
    return driver, stub, log


@pytest.mark.parametrize("failures", [1, 3])
def test_a_state_that_could_not_be_written_is_written_at_the_next_look(tmp_path, failures):
    # The earlier process yields, but its disk is full: the later one must learn it all the same,
    # or nobody accepts clients.
    first, at_first, log = make_driver(tmp_path)
    first._poll()
    second, at_second, _ = make_driver(tmp_path)
    second._poll()  # ready, and waits for the first
    assert at_first.accepts and not at_second.accepts
    write, left = first._files.write_state, [None] * failures

    def write_state(state):
        if left:
            left.pop()
            raise OSError(28, "no space")
        write(state)

    first._files.write_state = write_state
    for _ in range(failures):
        first._poll()
        assert not at_first.accepts and at_first.on_standby
        second._poll()
        assert not (left and at_second.accepts)
    first._poll()
    second._poll()
    assert at_second.accepts and not at_first.accepts
    assert len([line for line in log if line.startswith("cannot write")]) == 1


def test_a_process_asked_to_stop_accepts_until_a_later_one_is_ready(tmp_path):
    first, at_first, _ = make_driver(tmp_path)
    first._poll()
    assert at_first.accepts
    first.stop_requested()
    first._poll()
    assert at_first.accepts
    second, at_second, _ = make_driver(tmp_path)
    second._poll()  # ready, and waits for the first
    assert at_first.accepts and not at_second.accepts
    first._poll()
    assert not at_first.accepts and not at_second.accepts
    second._poll()
    assert at_second.accepts
    # The later one dies, and the first does not serve again.
    second.leave()
    first._poll()
    assert not at_first.accepts and not at_second.accepts


@pytest.mark.parametrize("serves", [False, True])
def test_a_later_process_need_not_wait_for_one_that_has_left(tmp_path, serves):
    first, at_first, _ = make_driver(tmp_path)
    if serves:
        first._poll()
    first.stop_requested()
    assert at_first.accepts is serves
    first.leave()
    second, at_second, _ = make_driver(tmp_path)
    second._poll()
    assert at_second.accepts and not at_first.accepts


@pytest.mark.parametrize("failures", [1, 3])
def test_a_server_list_that_could_not_be_written_is_written_at_the_next_look(tmp_path, failures):
    first, at_first, log = make_driver(tmp_path)
    at_first.address = ("127.0.0.1", 80)
    at_first.server_list.apply(Listing(3, True, (), 0))
    second, _, _ = make_driver(tmp_path)
    write, left = first._files.write_server_list, [None] * failures

    def write_server_list(content):
        if left:
            left.pop()
            raise OSError(28, "no space")
        write(content)

    first._files.write_server_list = write_server_list
    for _ in range(failures):
        first._poll()
        assert not second._files.read_server_lists()
    first._poll()
    (content,) = second._files.read_server_lists()
    assert decode_server_list(content) == (at_first.address, Listing(3, True, (), 0))
    assert len([line for line in log if "can't see its server list" in line]) == 1
