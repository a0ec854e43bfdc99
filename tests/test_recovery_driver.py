"""Tests of the component that drives recovery, with scripted peers in place of the network.

A test decides in one turn of the scheduler what membership knows and what an operator asks, so that
the driver's own look at the membership cannot come between.
"""

from random import Random
from types import SimpleNamespace

import pytest
from test_recovery import state_reply

from corklift.membership.messages import MemberRecord, MemberState
from corklift.net.admin import IncompleteOperationError
from corklift.net.limits import MS
from corklift.net.scheduler import wall_clock
from corklift.recovery.core import RecoveryPhase
from corklift.recovery.driver import REPLICATE, RecoveryDriver
from corklift.recovery.messages import Marker, Replicate, ReplicateReply, decode, encode
from corklift.service import BalancerProcess

# The driver looks at the membership once in a twentieth of this. It is so long that a test, which
# takes a fraction of a second, is over before a deadline.
PERIOD = 4_000 * MS
PEERS = ("b2", "b3", "b4", "b5")


class ScriptedPeers:
    """Stands in for the component of the membership: its members are what the test says.

    Each peer has lived through the outage, and stores what it is sent at once.
    """

    rejection_reason = ""

    def __init__(self) -> None:
        own_record = MemberRecord("b1", "127.0.0.1:1", Random(1).getrandbits(60), 1, 0, 0)
        self.core = SimpleNamespace(
            own_record=own_record,
            live_members=[],
            admitted=True,
            count=SimpleNamespace(value=5),
        )
        # Each replication that arrived: the peer, and the server with its version.
        self.replications: list[tuple[str, str, int]] = []

    def set_alive(self, *names):
        self.core.live_members = [
            MemberRecord(name, "127.0.0.1:1", 7, 1, 0, MemberState.ALIVE) for name in names
        ]

    def resume(self, incarnation, restart_count, expected):
        pass

    def background_tasks(self):
        return ()

    def call(self, name, path, request, until):
        if path != REPLICATE:
            return encode(state_reply(sender=name, lived_through=True))
        message = decode(Replicate, request)
        fact = message.facts[0]
        self.replications.append((name, fact.name, fact.version[0]))
        return encode(ReplicateReply(True, (), Marker(name.encode(), len(self.replications))))


def run_driver(path, scenario):
    """Runs a scenario, given the driver and its peers, once overrides are accepted."""
    boot = path / "boot"
    boot.write_text("one")
    peers, results, problems = ScriptedPeers(), [], []
    peers.set_alive(*PEERS)

    def component(process):
        return RecoveryDriver(
            process,
            SimpleNamespace(path=str(path / "store"), boot=str(boot), patience_ms=9000, copies=2),
            "b1",
            PERIOD,
            lambda event, **fields: None,
            lambda extra_methods: peers,
        )

    server = {"name": "s1", "address": "127.0.0.1:1", "status": "active"}
    config = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "5",
        "limits": {"memory_mb": 64, "sockets": 200},
        "known": {"index": 1, "snapshot": True, "endpoints": [server]},
        "settings": {
            "balancers": 5,
            "workloads": [{"name": "plain", "soft-limit-ns": 10**9, "time-limit-ns": 3 * 10**9}],
            "rules": {"ramp-time-ns": 5 * 10**9},
            "report": {"fields": ["x0", "inflight"]},
            "family-info": {"report-x0": "load over what it can do"},
            "permissions": {
                "probes": True,
                "max-hand-offs": 3,
                "connect-timeout-ns": 200 * MS,
                "keepalive-ns": 5 * 10**9,
            },
        },
    }
    process = BalancerProcess(config, wall_clock(), components=[component])
    driver = process._components[0]
    process.log_writer.write = lambda text, always=False: (
        problems.append(text) if text.startswith("exception") else None
    )

    def run_scenario():
        try:
            wait_until(driver, lambda: driver.core.phase >= RecoveryPhase.LOOK)
            results.append(scenario(driver, peers))
        except BaseException as problem:
            problems.append(repr(problem))
        finally:
            process.scheduler.stop()

    process.start()
    process.scheduler.spawn(run_scenario)
    process.scheduler.run()
    driver._store_worker.stop()
    assert problems == []
    return results[0]


def wait_until(driver, condition):
    deadline = driver._scheduler.now() + 10_000 * MS
    while not condition():
        assert driver._scheduler.now() < deadline, "the condition did not become true in time"
        driver._scheduler.sleep(5 * MS)


def status_of_override(driver, out_of_service):
    """Returns the HTTP status with which an operator's request is answered."""
    try:
        return 200 if driver._process.apply_operator_override("s1", out_of_service) else 404
    except IncompleteOperationError as problem:
        return problem.response.status


@pytest.mark.parametrize("core_knows", [False, True])
def test_an_override_is_judged_by_the_members_that_live_when_it_is_asked_for(tmp_path, core_knows):
    def scenario(driver, peers):
        peers.set_alive()
        wait_until(driver, lambda: not driver.core._live_peers)
        while_alone = status_of_override(driver, True), list(peers.replications)
        peers.set_alive(*PEERS)
        if core_knows:
            wait_until(driver, lambda: len(driver.core._live_peers) == 4)
        return while_alone, status_of_override(driver, True), sorted(peers.replications)

    while_alone, status, replications = run_driver(tmp_path, scenario)
    assert while_alone == (202, [])
    assert status == 200
    # The second request has a version of its own, and each peer that lives is sent it once.
    assert replications == [(name, "s1", 2) for name in PEERS]
