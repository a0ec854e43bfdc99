"""Tests of the decisions in `corklift/policy.py`, event by event in virtual time.

Some compare the trace of actions with a reviewed one in `tests/traces`.
"""

from collections import Counter

import pytest
from scene import MS, Scene

from corklift.interface import (
    Effect,
    ListedServer,
    Login,
    MeasurementKind,
    Outcome,
    Reach,
    Report,
    Scope,
    Status,
    Workload,
)


def scene_with_counts(*counts, **settings) -> Scene:
    """A scene with servers 1, 2, ... that report these counts, after 1.5 s."""
    scene = Scene(**settings)
    scene.listed(*range(1, len(counts) + 1))
    scene.auto = {server: Report(count=n) for server, n in enumerate(counts, 1)}
    scene.run(1500)
    return scene


def test_draw_is_inverse_to_count_plus_one():
    drawn = Counter()
    for seed in range(600):
        drawn[scene_with_counts(0, 1, 4, seed=seed).login(1)] += 1
    # Weights 1, 1/2 and 1/5: expected are 353, 176 and 71 of 600.
    assert 310 < drawn[1] < 395 and 140 < drawn[2] < 215 and 45 < drawn[3] < 100


def test_own_placements_are_added_until_a_report_includes_them():
    scene = scene_with_counts(0, 0)
    first = [scene.login(n) for n in range(1, 41)]
    # A server that reports no connections is not flooded.
    assert 14 <= first.count(1) <= 26


def test_uniform_draw_without_counts_and_ageing_of_counts():
    scene = Scene()
    scene.listed(1, 2)
    assert {scene.login(n) for n in range(1, 30)} == {1, 2}
    scene = scene_with_counts(0, 9)
    # Server 1 answers without a report, so its count ages.
    scene.auto[1] = Outcome.FULL
    scene.run(4500)
    assert {scene.login(n) for n in range(1, 30)} == {2}


def test_draining_and_gone_servers_leave_the_draw_at_once():
    scene = scene_with_counts(0, 0, 0)
    held = next(n for n in range(1, 50) if scene.login(n) == 2)
    scene.stands(held)
    scene.lines.clear()
    scene.listed(2, scope=Scope.DELTA, status=Status.DRAINING)
    scene.listed(3, scope=Scope.DELTA, status=Status.GONE)
    assert {scene.login(n) for n in range(100, 130)} == {1}
    scene.lines = scene.lines[:3]
    scene.check("drains")


@pytest.mark.parametrize(
    "effect, reach, last",
    [
        (Effect.REPEATABLE, Reach.ALL, "hand off"),
        (Effect.TAGGED, Reach.CELL, "terminate"),
        (Effect.TAGGED, Reach.ALL, "hand off"),
        (Effect.ONCE_ONLY, Reach.ALL, "terminate"),
    ],
)
def test_next_step_after_a_hand_off_that_may_have_run(effect, reach, last):
    scene = Scene(workloads=[Workload("w", 1.0, 800 * MS, 3200 * MS, effect, reach, 5000 * MS)])
    scene.listed(1, cell=1)
    scene.listed(2, scope=Scope.DELTA, cell=2)
    scene.login(1)
    # This outcome proves that the login did not run, so any effect may be sent again.
    scene.ends(1, Outcome.NOT_CONNECTED)
    assert scene.sent[-1][1] != scene.sent[0][1]
    # The server that it may have run on drains, so only a server of another cell is left.
    scene.listed(scene.sent[-1][1], scope=Scope.DELTA, status=Status.DRAINING)
    scene.ends(1, Outcome.ERROR, attempt=1)
    assert scene.lines[-1].split(maxsplit=1)[1].startswith(last)


def test_final_answer_comes_at_once_with_a_retry_time():
    scene = Scene(max_hand_offs=2, max_retry_after=1000 * MS)
    # The list is still empty.
    scene.login(1)
    scene.listed(1)
    scene.login(2)
    scene.ends(2, Outcome.ERROR)
    scene.ends(2, Outcome.TIMED_OUT, attempt=1)
    # The login has its answer already, so nothing follows.
    scene.ends(2, Outcome.TIMED_OUT, attempt=1)
    scene.check("final_answer")


def test_failures_in_a_row_exclude_a_server_until_one_trial_login():
    scene = scene_with_counts(0, 0, 0, 0, max_hand_offs=1)
    number = 0
    while not any("out of the draw" in line for line in scene.lines):
        number += 1
        scene.ends(
            number, Outcome.ERROR if scene.login(number) == 2 else Outcome.CANCELLED, closed=True
        )
    assert 2 not in [scene.login(n) for n in range(1000, 1030)]
    scene.run(3000)
    # A single trial login.
    assert [scene.login(n) for n in range(2000, 2200)].count(2) == 1


def test_servers_stay_in_the_draw_when_all_of_them_fail():
    scene = scene_with_counts(0)
    for number in range(1, 4):
        scene.login(number)
        scene.ends(number, Outcome.ERROR, closed=True)
    assert scene.login(9) == 1


def test_a_server_without_answers_is_evacuated_and_returns_as_cold():
    scene = scene_with_counts(0, 0)
    held = next(n for n in range(1, 50) if scene.login(n) == 2)
    scene.stands(held)
    scene.lines.clear()
    scene.auto[2] = Outcome.TIMED_OUT
    scene.run(4000)
    scene.auto[2] = Report(count=0)
    scene.run(2000)
    assert [scene.login(n) for n in range(100, 140)].count(2) <= 2
    scene.lines = [line for line in scene.lines if "hand off" not in line]
    scene.check("silent")


def test_cold_budget_limits_the_draw():
    scene = Scene()
    scene.listed(1)
    scene.listed(2, scope=Scope.DELTA, started_at=scene.now)
    scene.auto = {1: Report(60, 0.6), 2: Report(0, 0.0)}
    scene.run(1500)
    sent = [scene.login(n) for n in range(1, 60)]
    assert 1 <= sent.count(2) <= 8


def test_full_servers_get_no_logins_and_an_overloaded_one_sheds_load():
    # Guards against a lasting overload, in which no connection is served well.
    scene = scene_with_counts(0, 0)
    for number in range(1, 21):
        scene.login(number)
        scene.stands(number)
    scene.auto = {1: Report(10, 1.2), 2: Report(10, 1.1)}
    scene.lines.clear()
    scene.run(3000)
    assert scene.login(99) is None
    scene.check("full")


def test_resends_are_limited_so_that_a_common_cause_can_clear():
    # Guards against resends that keep an overloaded store, shared by all servers, overloaded.
    scene = scene_with_counts(*[0] * 6)
    for number in range(1, 60):
        scene.login(number)
        for attempt in range(4):
            if sum(login == number for login, _ in scene.sent) == attempt + 1:
                scene.ends(number, Outcome.TIMED_OUT, attempt)
    assert len(scene.sent) < 59 * 1.5 + 10


def test_a_group_stays_on_its_server_while_that_has_headroom():
    scene = scene_with_counts(5, 5, 5, grouped=True)
    for number, group in enumerate((77, 78, 79, 80), 900):
        scene.balancer.connection_resumed(
            scene.now, Login(number, 0, 0, 0, 0, None, group), 3 - number % 3
        )
    assert {scene.login(n, group=77) for n in range(1, 10)} == {3}
    scene.auto = {1: Report(5, 0.2), 2: Report(5, 0.2), 3: Report(5, 0.9)}
    scene.run(1500)
    assert 3 not in {scene.login(n, group=77) for n in range(20, 30)}


def test_an_overloaded_server_that_misses_probes_is_not_evacuated_at_once():
    # Guards against treating a server as lost whose probes wait in its queue.
    scene = scene_with_counts(0, 0)
    held = next(n for n in range(1, 50) if scene.login(n) == 2)
    scene.stands(held)
    scene.auto = {1: Report(5, 0.5), 2: Report(9, 0.9)}
    scene.run(1000)
    scene.lines.clear()
    scene.auto[2] = Outcome.TIMED_OUT
    scene.run(1500)
    scene.auto[2] = Report(9, 0.8)
    scene.run(1000)
    assert not [line for line in scene.lines if "move" in line or "just started" in line]


def test_servers_at_low_utilisation_are_probed_half_as_often():
    scene = scene_with_counts(1, 1)
    scene.auto = {1: Report(5, 0.2), 2: Report(9, 0.8)}
    scene.run(3000)
    asked, probe = Counter(), scene.probe
    scene.probe = lambda server: (asked.update([server]), probe(server))
    scene.run(20_000)
    assert asked[1] == 10 and asked[2] == 20


def test_expensive_zone_crossings_keep_logins_in_their_zone():
    for price, places in ((0.03, {1}), (0.005, {1, 2})):
        scene = Scene(crossing_price=price)
        scene.listed(1, zone=0)
        scene.listed(2, scope=Scope.DELTA, zone=1)
        scene.auto = {1: Report(90, 0.3), 2: Report(60, 0.2)}
        scene.run(1500)
        assert {scene.login(n) for n in range(1, 12)} == places


def test_capacity_is_reserved_for_logins_of_higher_importance():
    workloads = [Workload("a", 5.0, 800 * MS, 3200 * MS), Workload("b", 1.0, 800 * MS, 3200 * MS)]
    scene = scene_with_counts(0, workloads=workloads, per_work=True)
    scene.auto[1] = Report(80, 0.8)
    scene.run(1000)
    assert scene.login(1, workload=1) is None
    assert scene.login(2, workload=0) == 1


@pytest.mark.parametrize(
    "settings, servers",
    [(dict(balancers=1, probes_allowed=False), [1]), (dict(max_hand_offs=1), [1, 2]), (dict(), [])],
)
def test_unusual_settings_still_answer_every_login(settings, servers):
    scene = Scene(**settings)
    scene.listed(*servers)
    for number in range(1, 30):
        if scene.login(number) is not None:
            scene.ends(number, Outcome.TIMED_OUT)
    answers = Counter(
        line.split()[2] for line in scene.lines if line.split()[1] in ("bounce", "terminate")
    )
    still_active = set(scene.balancer._active_logins)
    assert all(count == 1 for count in answers.values())
    assert {int(login) for login in answers} | still_active == set(range(1, 30))


def test_a_failed_list_watch_is_restarted_with_backoff_and_jitter():
    scene = Scene(ask_for_list=True)
    scene.run(1000)
    for _ in range(3):
        scene.balancer.servers_listed(scene.now, Scope.FAILED, 0, ())
        scene.run(2500)
    scene.check("watch")


def test_unknown_and_ended_logins_leave_no_state():
    scene = scene_with_counts(0, 0)
    scene.balancer.login_dropped(scene.now, 5)
    scene.balancer.probe_answered(scene.now, 99, MS, Outcome.FULFILLED, Report(1.0))
    scene.balancer.hand_off_ended(scene.now, 5, True, 99, Outcome.BROKEN, 0, MS, None)
    scene.login(6)
    scene.balancer.login_dropped(scene.now, 6)
    scene.ends(6, Outcome.CANCELLED, closed=True)
    scene.balancer.login_dropped(scene.now, 6)
    scene.check("ended")
    assert not scene.balancer._active_logins


def test_a_server_with_delayed_messages_gets_no_logins_for_a_while():
    # Guards against filling a server whose reports show headroom while its messages are delayed.
    scene = scene_with_counts(
        0, 9, workloads=[Workload("w", 1.0, 800 * MS, 3200 * MS, message_limit=100 * MS)]
    )
    scene.login(1)
    scene.balancer.measurement_received(scene.now, 1, 0, 1, MeasurementKind.DELAY, 150 * MS)
    assert {scene.login(n) for n in range(2, 20)} == {2}
    scene.run(2000)
    assert 1 in {scene.login(n) for n in range(20, 50)}


def test_packets_of_an_open_connection_go_to_its_server():
    scene = scene_with_counts(0, 0, 0, 0, memory=4000 * MS, cancel_allowed=False)
    first = scene.login(1, subject=5)
    scene.stands(1)
    assert {scene.login(n, subject=5, mid_flow=True) for n in range(2, 12)} == {first}
    scene.balancer.login_dropped(scene.now, 2)
    # The settings forbid to cancel.
    assert not [line for line in scene.lines if "cancel" in line]


def scene_of_many_balancers(
    servers: int, balancers: int = 100, answer: Report | Outcome = Report(10, 0.4), **settings
) -> Scene:
    """A scene with one of many balancers, where each probe has a price."""
    scene = Scene(balancers=balancers, probe_price=0.002, **settings)
    scene.listed(*range(1, servers + 1))
    scene.auto = {server: answer for server in range(1, servers + 1)}
    scene.run(10)
    return scene


def test_one_of_many_balancers_probes_a_subset_and_rotates_it():
    # Guards against hundreds of balancers that each probe a whole large fleet for few logins.
    scene, asked = scene_of_many_balancers(40), []
    probe = scene.probe
    scene.probe = lambda server: (asked.append(server), probe(server))
    scene.run(60_000)
    # One server is replaced in each maximum report age.
    assert 15 <= len(asked) <= 25 and len(set(asked)) > 10


@pytest.mark.parametrize(
    "balancers, price, probed", [(3, 0.002, 0), (100, 0.002, 1), (100, 0.0, 0)]
)
def test_a_subset_is_probed_with_more_balancers_than_servers_or_expensive_probes(
    balancers, price, probed
):
    scene = Scene(balancers=balancers, probe_price=price)
    scene.listed(*range(1, 13))
    for number in range(900, 940):
        scene.balancer.connection_resumed(
            scene.now, Login(number, 0, 0, 0, 0, None, 0), 1 + number % 12
        )
    scene.auto = {server: Report(5, 0.4) for server in range(1, 13)}
    asked, probe = set(), scene.probe
    scene.probe = lambda server: (asked.add(server), probe(server))
    scene.run(2000)
    assert (len(asked) < 12) is bool(probed)


def test_balancers_gather_a_group_on_the_same_servers_without_messages():
    # Guards against groups that spread, as each of hundreds of balancers knows few of their
    # connections.
    places = Counter()
    for seed in range(30):
        scene = scene_of_many_balancers(40, seed=seed, grouped=True)
        scene.login(1, group=77)
        scene.run(300)
        places[scene.sent[-1][1]] += 1
    assert len(places) <= 3


def test_a_full_home_server_is_skipped_and_a_full_fleet_bounces():
    scene = scene_of_many_balancers(12, grouped=True)
    scene.login(1, group=77)
    scene.run(300)
    home = scene.sent[-1][1]
    scene.auto[home] = Report(30, 0.95)
    scene.run(2000)
    scene.login(2, group=77)
    scene.run(300)
    assert scene.sent[-1][0] == 2 and scene.sent[-1][1] != home
    scene.auto = {server: Report(30, 0.95) for server in scene.auto}
    scene.run(2000)
    scene.login(3, group=77)
    scene.run(1000)
    assert "bounce 3" in scene.lines[-1]


def test_a_query_without_answers_leads_to_a_uniform_draw_in_time():
    scene = scene_of_many_balancers(6, answer=Outcome.TIMED_OUT)
    scene.lines.clear()
    scene.login(1)
    scene.run(1000)
    assert [login for login, _ in scene.sent] == [1]


def test_answers_without_a_report_count_as_answers():
    scene = scene_of_many_balancers(6, answer=Report())
    scene.login(1)
    scene.run(300)
    assert scene.sent


@pytest.mark.parametrize("left", [1, 0])
def test_a_fleet_that_shrinks_while_a_login_waits(left):
    scene = scene_of_many_balancers(30)
    # No server answers yet.
    scene.auto = {}
    scene.login(1)
    scene.listed(*range(1, left + 1))
    scene.run(3000)
    answered = [line for line in scene.lines if "bounce 1" in line] + [
        s for s in scene.sent if s == (1, 1)
    ]
    assert len(answered) == 1


def test_a_list_that_grows_tenfold_is_used_and_a_dropped_login_is_not_sent():
    scene = scene_of_many_balancers(3, balancers=40)
    scene.listed(*range(1, 31))
    scene.auto = {server: Report(1, 0.1) for server in range(1, 31)}
    scene.run(4000)
    for number in range(1, 40):
        scene.login(number)
    scene.run(500)
    assert len({server for _, server in scene.sent}) > 3
    scene.auto, scene.sent = {}, []
    scene.run(3000)
    scene.login(99)
    scene.balancer.login_dropped(scene.now, 99)
    scene.run(3000)
    assert not [login for login, _ in scene.sent if login == 99]


def test_hundreds_of_balancers_share_a_cold_servers_budget_by_probability():
    # Guards against balancers that each round up their part of a few connections to one: together
    # they would overload the server.
    sent = 0
    for seed in range(300):
        scene = Scene(seed=seed, balancers=300, probe_price=0.002)
        scene.listed(1, 2)
        scene.listed(2, scope=Scope.DELTA, started_at=scene.now)
        scene.auto = {1: Report(20, 0.6), 2: Report(0, 0.0)}
        scene.run(100)
        scene.login(1, came_back=True)
        scene.run(400)
        sent += scene.sent[-1][1] == 2
    assert sent <= 30


def test_a_server_that_drains_while_a_login_waits_for_its_answer_gets_no_login():
    # Guards against sending to a server that was chosen before the list reported its drain.
    scene = scene_of_many_balancers(2, grouped=True)
    scene.auto = {}
    scene.login(1, group=77)
    scene.listed(1, scope=Scope.DELTA, status=Status.DRAINING)
    scene.run(2000)
    assert scene.sent == [(1, 2)]


def test_a_balancer_that_has_just_started_does_not_underestimate_the_login_rate():
    # Guards against a restart among returning clients, after which probing all servers seemed too
    # expensive.
    scene = Scene(probe_price=0.0023)
    scene.listed(1, 2, 3, 4, 5)
    scene.auto = {server: Report(5, 0.2) for server in range(1, 6)}
    for number in range(1, 30):
        scene.login(number, came_back=True)
        scene.run(100)
    scene.login(30)
    scene.run(2500)
    assert not [line for line in scene.lines if "probing some" in line]
    # Logins are rare, so probing all servers is too expensive by now.
    scene.run(40_000)
    assert [line for line in scene.lines if "probing some" in line]


@pytest.mark.parametrize("own, pressure", [(False, 0.5), (True, 0.5), (False, 0.75)])
def test_clients_of_a_restarted_balancer_are_counted_once(own, pressure):
    # Guards against refusals while another balancer restarts: no other balancer places its clients,
    # and they are no additional load. Clients whose connections were cut here are assumed to return
    # to all balancers, and in a full fleet all load is counted as usual.
    scene = scene_with_counts(20, 20, 20)
    scene.auto = {server: Report(20, pressure) for server in (1, 2, 3)}
    scene.run(3000)
    if own:
        for number in range(100, 120):
            scene.balancer.connection_resumed(scene.now, Login(number, 0, 0, 0, 0, None, 0), 1)
            scene.balancer.hand_off_ended(scene.now, number, True, 1, Outcome.BROKEN, 0, 0, None)
    scene.lines.clear()
    for number in range(1, 31):
        scene.login(number, came_back=True)
    bounced = [line for line in scene.lines if "bounce" in line]
    assert (len(bounced) > 5) == (own or pressure > 0.7) and (bounced or not own)


def test_clients_of_a_server_that_drains_are_expected_at_all_balancers():
    # Guards against a flood at all balancers that each attributes to another one.
    scene = scene_with_counts(20, 20, 20, 20)
    scene.auto = {server: Report(20, 0.5) for server in (1, 2, 3, 4)}
    scene.run(3000)
    scene.listed(4, scope=Scope.DELTA, status=Status.DRAINING)
    scene.lines.clear()
    for number in range(1, 31):
        scene.login(number, came_back=True)
    assert len([line for line in scene.lines if "bounce" in line]) > 5


def test_own_placements_count_on_a_server_whose_capacity_is_unknown():
    # Guards against a balancer that has just started and floods a server with too few connections
    # to learn its capacity from: own placements were not counted there.
    scene = Scene()
    scene.balancer.servers_listed(
        scene.now, Scope.FULL, 1, [ListedServer(n, 0, n, 0, Status.READY, 1.0, 0) for n in (1, 2)]
    )
    scene.auto = {1: Report(2, 0.1), 2: Report(24, 0.6)}
    scene.run(2500)
    placed = [scene.login(number, came_back=True) for number in range(1, 80)]
    assert 10 < placed.count(1) < 40 and placed[-1] is None


def test_a_login_that_waits_for_queries_is_answered_within_its_time_limit():
    # Issue hd7ef8f: after a third hand-off 306 ms of 2 s were left, and two query rounds would have
    # taken 125 ms each.
    for left in (30, 60, 120, 200, 300):
        # No server answers.
        scene = scene_of_many_balancers(40, answer=None)
        scene.run(2000)
        scene.login(1, time_limit_at=scene.now + left * MS)
        limit = scene.now + left * MS
        while scene.now < limit and not any(login == 1 for login, _ in scene.sent):
            scene.run(1)
        assert any(login == 1 for login, _ in scene.sent) or any(
            " 1" in line for line in scene.lines
        ), left
        assert scene.now < limit


@pytest.mark.parametrize(
    "delayed, pressure, leaves",
    [((1,), 0.4, True), ((1, 2, 3), 0.4, True), ((1, 2, 3, 4), 0.4, False), ((1,), 0.75, False)],
)
def test_connections_leave_a_server_that_is_delayed_for_this_balancer_only(
    delayed, pressure, leaves
):
    # Guards against a network path that is slow for one of two balancers: the server serves the
    # other one as usual and reports headroom.
    def moved_connections(with_delays):
        scene = Scene(
            workloads=[Workload("plain", 1.0, 800 * MS, 3200 * MS, message_limit=100 * MS)]
        )
        scene.listed(1, 2, 3, 4)
        scene.auto = {server: Report(10, pressure) for server in (1, 2, 3, 4)}
        for server in (1, 2, 3, 4):
            scene.balancer.connection_resumed(scene.now, Login(server, 0, 0, 0, 0, None, 0), server)
        scene.run(3000)
        for second in range(4):
            for server in delayed if with_delays else ():
                scene.balancer.measurement_received(
                    scene.now, server, 0, server, MeasurementKind.DELAY, 400 * MS
                )
            if second == 0:
                # The first measurement alone moves nothing.
                assert not [line for line in scene.lines if " move " in line]
            scene.run(1000)
        return {int(line.split()[-1]) for line in scene.lines if " move " in line}

    assert moved_connections(with_delays=True) == (set(delayed) if leaves else set())
    assert moved_connections(with_delays=False) == set()


def test_one_connection_without_replies_does_not_evacuate_its_server():
    scene = Scene(workloads=[Workload("plain", 1.0, 800 * MS, 3200 * MS, message_limit=100 * MS)])
    scene.listed(1, 2)
    scene.auto = {server: Report(10, 0.4) for server in (1, 2)}
    for login in range(1, 7):
        scene.balancer.connection_resumed(
            scene.now, Login(login, 0, 0, 0, 0, None, 0), 1 + login % 2
        )
    scene.run(3000)
    for _ in range(25):
        scene.balancer.measurement_received(scene.now, 1, 0, 2, MeasurementKind.DELAY, 300 * MS)
        scene.balancer.message_unanswered(scene.now, 2)
        scene.run(200)
    assert not [line for line in scene.lines if " move " in line]
