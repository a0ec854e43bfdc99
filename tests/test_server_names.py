"""Servers whose names share a number: each is one server, whatever other names are known.

A balancer process on loopback sockets in virtual time. Servers are numbered in each data centre.
"""

import json

import pytest
from harness import MS, BalancerHarness

from corklift.handover import ProcessState, Stage, decode, encode
from corklift.interface import ListedServer, Login, Scope, Status
from corklift.net.parsers import Listing, ServerEntry, numbered_id, server_id
from corklift.policy.groups import group_rank
from corklift.records import Attempt, LoginState, Server

FIRST, SECOND = "atlanta-20260001", "nashville-20260001"
BOTH = (FIRST, SECOND)


def listing(version: int, *servers: tuple[str, Status], full: bool = True) -> Listing:
    entries = (
        ServerEntry(name, ("127.0.0.1", 1 + BOTH.index(name)), "", "", 0, status, 1.0, 0)
        for name, status in servers
    )
    return Listing(version, full, tuple(entries), 0)


def facade_with(*names: str):
    facade = BalancerHarness().process.facade
    facade.apply_listing(Scope.FULL, listing(1, *((name, Status.READY) for name in names)))
    return facade


def ready_names(facade) -> set[str]:
    """The servers that the decisions may draw."""
    return {facade.server_name(server.id) for server in facade._balancer._registry.ready}


# After the first had left, the drain or the end of the second was applied to nobody.
@pytest.mark.parametrize("order", [BOTH, BOTH[::-1]])
@pytest.mark.parametrize("status", [Status.DRAINING, Status.GONE])
def test_drain_of_a_server_is_kept_after_one_with_the_same_number_has_left(order, status):
    facade = facade_with(*order)
    for version, first_status in ((2, Status.DRAINING), (3, Status.GONE)):
        change = listing(version, (order[0], first_status), full=False)
        facade.apply_listing(Scope.DELTA, change)
    assert ready_names(facade) == {order[1]} and facade.knows_server(order[1])
    facade.apply_listing(Scope.DELTA, listing(4, (order[1], status), full=False))
    assert ready_names(facade) == set() and facade.ready_servers() == []
    assert facade.knows_server(order[1]) is (status is Status.DRAINING)


# A cordon was answered with "no such server" while that server was sent logins.
def test_cordon_of_a_server_is_kept_after_one_with_the_same_number_has_left():
    facade = facade_with(*BOTH)
    facade.apply_listing(Scope.FULL, listing(2, (SECOND, Status.READY)))
    assert facade.take_out_of_service(SECOND)
    assert ready_names(facade) == set()
    assert facade.restore_to_service(SECOND)
    assert ready_names(facade) == {SECOND}


# A cordon that was kept over a crash is read before any list: it fell on the other server.
@pytest.mark.parametrize("order", [BOTH, BOTH[::-1]])
def test_cordon_from_before_the_list_is_applied_to_the_named_server(order):
    facade = BalancerHarness().process.facade
    facade.apply_operator_override(SECOND, True)
    facade.apply_listing(Scope.FULL, listing(1, *((name, Status.READY) for name in order)))
    assert ready_names(facade) == {FIRST}


# The processes of one balancer exchange learned state by ids, and may have seen other names.
def test_ids_do_not_depend_on_the_names_that_are_known():
    ids = {facade_with(*names).find_server(SECOND).server for names in (BOTH, BOTH[::-1], [SECOND])}
    assert ids == {server_id(SECOND)}
    names = ["s-5be2a07c", "5be2a07c", "S-5be2a07c", "s-000000005be2a07c", "s1", FIRST, SECOND]
    assert len({server_id(name) for name in names} - {0}) == len(names)


# Larger fleets' figures of a day depend on which groups meet at which servers.
def test_order_of_servers_is_that_of_their_numbers_as_before():
    numbers = [0x5BE2A07C, 0x1F, 0x2E, 0x3D, 0xFFFFFFFF, 0x20260001]
    servers = [
        Server(ListedServer(server_id(f"s-{number:08x}"), 0, 0, 0, Status.READY, 1.0, 0), 0)
        for number in numbers
    ]
    former = [Server(ListedServer(n, 0, 0, 0, Status.READY, 1.0, 0), 0) for n in numbers]
    for group in (1, 77, 0x7F3A9C21E0B4D655):
        ranks = [group_rank(group, server) for server in servers]
        assert ranks == [group_rank(group, server) for server in former]


def test_learned_state_of_a_process_with_the_former_ids_is_taken_over():
    old_ids = {numbered_id(name): name for name in ("s-5be2a07c", "s-0000001f")}
    learned = {
        "servers": [[server, 50.0, 9 * MS, 0.0, 2, 1, 7 * MS] for server in old_ids],
        "homes": [[11, 0x1F]],
        "open": [[0x5BE2A07C, 11], [0x1F, 11]],
        "rate": [3.0, 0],
        "ended": [],
    }
    state = decode(encode(ProcessState(1, Stage.YIELDED, 0, {}, learned)))
    facade = BalancerHarness().process.facade
    entries = (
        ServerEntry(name, ("127.0.0.1", port), "", "", 0, Status.READY, 1.0, 0)
        for port, name in enumerate(old_ids.values(), 1)
    )
    facade.apply_listing(Scope.FULL, Listing(1, True, tuple(entries), 0))
    facade.import_learned_state(state.learned_state)
    assert facade.server_start_times() == dict.fromkeys(old_ids.values(), 9 * MS)
    exported = json.loads(json.dumps(facade.export_learned_state()))
    assert {server for server, *_ in exported["servers"]} == set(map(server_id, old_ids.values()))
    assert exported["homes"] == [[11, server_id("s-0000001f")]]
    groups = [server.groups for server in facade._balancer._registry.ready]
    assert groups == [{11: 1}, {11: 1}]


# Where two names share a former id, which server it meant is not known: it is applied to neither.
def test_learned_state_of_a_shared_former_id_is_applied_to_no_server():
    facade = facade_with(*BOTH)
    learned = {"servers": [[0x20260001, 50.0, 9 * MS, 0.0, 2, 1, 7 * MS]]}
    learned |= {"homes": [], "open": [], "rate": [3.0, 0]}
    facade.import_learned_state(learned)
    assert set(facade.server_start_times().values()) == {0}


class ZonedServers:
    """A balancer of zone `a` with servers in zones that its settings may not name."""

    WORKLOAD = {
        "name": "plain",
        "soft-limit-ns": 800 * MS,
        "time-limit-ns": 3200 * MS,
        "effect": "token",
        "group": "zone",
        "dedup-window-ns": 9000 * MS,
    }

    def __init__(self) -> None:
        self.harness = BalancerHarness(workloads=[self.WORKLOAD], localities=["a"], zone=0)
        self.facade = self.harness.process.facade

    def list_servers(self, **zones: str) -> None:
        entries = (
            ServerEntry(name, ("127.0.0.1", 1), zone, "", 0, Status.READY, 1.0, 0)
            for name, zone in zones.items()
        )
        self.facade.apply_listing(Scope.DELTA, Listing(1, False, tuple(entries), 0))

    def repeat_targets(self, first: str) -> set[str]:
        """The servers that a tagged login may be sent to after it may have run on the first one."""
        balancer = self.facade._balancer
        login = Login(1, 0, 0, 0, self.harness.now + 3000 * MS, None, 0)
        state = LoginState(login, 1.0, balancer._workloads[0])
        state.attempts.append(Attempt(server_id(first), self.harness.now))
        allowed = balancer._retry_policy.server_filter(state)
        return {self.facade.server_name(s.id) for s in balancer._registry.ready if allowed(s)}


# All zones that the settings do not name were one zone: a tagged login whose repeats are recognised
# within a zone was repeated in another one, so that it could run twice.
def test_zones_that_the_settings_do_not_name_are_different_zones():
    servers = ZonedServers()
    servers.list_servers(s1="x", s2="y", s3="x", s4="a", s5="", s6="")
    assert servers.repeat_targets("s1") == {"s1", "s3"}
    assert servers.repeat_targets("s2") == {"s2"}
    assert servers.repeat_targets("s4") == {"s4"}
    assert servers.repeat_targets("s5") == {"s5", "s6"}


# A zone that a reload names had another number for servers listed before it than for later ones.
def test_zone_stays_the_same_when_a_reload_names_it(tmp_path):
    servers = ZonedServers()
    servers.harness.run(300)  # until discovery has answered, which lists no servers
    servers.list_servers(s1="x", s2="y")
    changed = servers.harness.config["settings"] | {"localities": ["y", "a", "x"], "zone": 1}
    servers.harness.reload(tmp_path / "config", settings=changed)
    servers.harness.run(50)
    assert servers.harness.counters["configurations taken"] == 1
    servers.list_servers(s3="x", s4="y")
    assert servers.repeat_targets("s1") == {"s1", "s3"}
    assert servers.repeat_targets("s4") == {"s2", "s4"}
