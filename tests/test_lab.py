"""Tests of the lab: reproducible runs, rules that detect faults, exploration and experiments."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from corklift.cli import main
from corklift.interface import Outcome, Status
from corklift.lab import explore
from corklift.lab.clock import MS, SECOND, Clock
from corklift.lab.experiment import (
    Run,
    confidence_interval,
    execute_run,
    paired_differences,
    planned_runs,
    run_experiment,
)
from corklift.lab.faults import FAULTS
from corklift.lab.fleet import Fleet
from corklift.lab.policies import POLICIES
from corklift.lab.scenario import (
    DISRUPTION_KINDS,
    Balancers,
    Disruption,
    Scenario,
    ScenarioError,
    Servers,
    WorkloadTable,
    parse_experiment,
    with_value,
)

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
from benchmarks.lab import FAULT_SCENARIO  # noqa: E402

SMALL = Scenario(
    seconds=14.0,
    warm_s=1.0,
    standing=1.0,
    servers=Servers(number=6, zones=3, cells=2, size=30.0),
    balancers=Balancers(number=2),
    workloads=[WorkloadTable(name="w", rate=9.0, hold_s=8.0)],
)


def with_disruptions(*kinds, **options):
    return SMALL.__class__(
        **{f: getattr(SMALL, f) for f in SMALL.__struct_fields__ if f != "troubles"},
        troubles=[Disruption(kind=kind, at_s=5.0, for_s=3.0, **options) for kind in kinds],
    )


def test_calls_of_one_time_run_in_scheduling_order_and_past_ones_run_now():
    clock, seen = Clock(), []
    clock.call_at(clock.now + 5, seen.append, "b")
    clock.call_at(clock.now + 5, seen.append, "c")
    clock.call_at(clock.now - 10**9, seen.append, "a")
    clock.call_at(clock.now + 5, lambda: clock.call_later(-7, seen.append, "d"))
    clock.run_until(clock.now + 5)
    assert seen == ["a", "b", "c", "d"] and clock.pending == 0


@pytest.mark.parametrize("policy", POLICIES)
def test_equal_seeds_give_equal_histories(policy):
    scenario = with_disruptions("release", "client drop", "balancer killed")
    first, again, other = (
        execute_run(scenario, Run(policy, seed, ()), False) for seed in (3, 3, 4)
    )
    assert first == again and first["history"] != other["history"]


def test_equal_seeds_give_equal_histories_in_another_process():
    code = (
        "from corklift.lab.fleet import Fleet\nfrom corklift.lab.scenario import Scenario\n"
        "f = Fleet(Scenario(seconds=6.0), 'module', 9)\nf.run()\nprint(f.clock.history)"
    )
    histories = {
        subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            cwd=ROOT,
            check=True,
            env={"PYTHONHASHSEED": str(seed), "PATH": ""},
        ).stdout
        for seed in (1, 2)
    }
    assert len(histories) == 1


@pytest.mark.parametrize("kind", DISRUPTION_KINDS)
def test_each_disruption_takes_effect_and_the_module_keeps_the_rules(kind):
    calm, fleet = (
        Fleet(SMALL, "module", 2),
        Fleet(with_disruptions(kind, part=0.34), "module", 2),
    )
    calm.run()
    fleet.run()
    assert not fleet.rules.violation_counts, fleet.rules.first_violations
    assert fleet.clock.history != calm.clock.history and fleet.tally["fulfilled"] > 60
    assert 0.4 < fleet.service <= 1.0


def test_disruptions_at_the_time_of_a_restart_and_a_run_that_ends_during_a_hand_off():
    kinds = ("balancer killed", "balancer restart", "drain", "vanish", "list silent", "client drop")
    for seconds in (5.0, 5.003, 8.0, 8.0001, 14.0):
        table = {
            field: getattr(with_disruptions(*kinds), field) for field in SMALL.__struct_fields__
        } | {"seconds": seconds}
        fleet = Fleet(Scenario(**table), "module", 5)
        fleet.run()
        assert not fleet.rules.violation_counts and fleet.clock.now - fleet.clock.started_at == int(
            seconds * SECOND
        )
    # The state of ended logins is dropped.
    assert fleet.rules.open_login_count <= fleet.open_connections + 5


def test_checks_report_nothing_without_faults():
    fleet = Fleet(FAULT_SCENARIO, "module", 1)
    fleet.run()
    assert not fleet.rules.violation_counts and not fleet.design_violations()


@pytest.mark.parametrize("fault", FAULTS)
def test_each_injected_fault_is_found_by_its_check(fault):
    inject_fault, check = FAULTS[fault]
    fleet = Fleet(FAULT_SCENARIO, "module", 1, inject_fault)
    fleet.run()
    assert (
        check
        in {f"rule {rule}" for rule in fleet.rules.violation_counts}
        | fleet.design_violations().keys()
    )
    for violation in fleet.rules.first_violations.values():
        assert violation.what in violation.trace[-1] and len(violation.trace) <= 40


class AnswersMovedLoginsAgain:
    """A policy that answers a login again when its open connection is moved by a drain."""

    def __init__(self, balancer, policy):
        self.balancer, self.policy = balancer, policy

    def __getattr__(self, name):
        return getattr(self.policy, name)

    def hand_off_ended(self, now, login, closed, server, outcome, *rest):
        self.policy.hand_off_ended(now, login, closed, server, outcome, *rest)
        # Only a drain cancels an open connection.
        if closed and outcome is Outcome.CANCELLED:
            self.balancer.bounce(login, 0)


def test_exploration_covers_all_orders_and_finds_a_fault_that_needs_five_events():
    clean = explore.explore(
        lambda: explore.PlacementWorld(explore.PlacementShape(restarts=0, losses=0, logins=1)),
        5,
        3000,
    )
    assert clean.complete and not clean.what and clean.states > 50
    make = lambda: explore.PlacementWorld(  # noqa: E731
        explore.PlacementShape(restarts=0, losses=0, logins=1), AnswersMovedLoginsAgain
    )
    found = explore.explore(make, 7, 20_000)
    assert found.what.startswith("rule 1")
    assert [label.split()[0] for label in found.counterexample] == [
        "login",
        "login",
        "drain",
        "list",
        "move",
    ]
    # The counterexample is minimal: no event can be left out.
    for index in range(len(found.counterexample)):
        assert (
            explore.first_violation(
                make, found.counterexample[:index] + found.counterexample[index + 1 :]
            )
            is None
        )
    walked = explore.random_walks(make, 500, 60, 1)
    assert walked.what.startswith("rule 1") and len(walked.counterexample) == 5


@pytest.mark.parametrize(
    "shape",
    [
        explore.PlacementShape(),
        explore.PlacementShape(effect="once-only"),
        explore.PlacementShape(effect="tagged"),
        explore.PlacementShape(balancers=2),
        explore.PlacementShape(servers=3, cold=True, part=0.9),
    ],
)
def test_the_module_keeps_the_rules_in_small_models(shape):
    found = explore.explore(lambda: explore.PlacementWorld(shape), 4, 800)
    walked = explore.random_walks(lambda: explore.PlacementWorld(shape), 60, 60, 7)
    assert not found.what and not walked.what and found.states >= 100


@pytest.mark.parametrize("incremental", [False, True])
def test_subscriptions_keep_their_invariants_and_a_delayed_drain_is_found(incremental, monkeypatch):
    make = lambda: explore.SubscriptionWorld(explore.SubscriptionShape(incremental))  # noqa: E731
    assert (
        not explore.explore(make, 6, 600).what and not explore.random_walks(make, 200, 60, 1).what
    )
    from corklift.control.subscriptions import SubscriptionManager

    original = SubscriptionManager.update_snapshot
    monkeypatch.setattr(
        SubscriptionManager,
        "update_snapshot",
        lambda self, now, tables, urgent=False: original(self, now, tables),
    )
    found = explore.explore(make, 9, 20_000)
    assert (
        found.what == "views: a drain waits though there is room"
        and found.counterexample[-1] == "a server drains"
    )
    monkeypatch.setattr(SubscriptionManager, "update_snapshot", original)
    monkeypatch.setattr(SubscriptionManager, "stream_writable", lambda self, now, number: None)
    assert explore.random_walks(make, 300, 60, 1).what.startswith("views: ")


def test_the_load_test_measures_a_real_balancer_up_to_its_limit():
    from corklift.lab.load import LoadTest, Shape

    figures = LoadTest(Shape(rate=80.0, seconds=3.0, hold_s=4.0, servers=2, sockets=200)).run()
    assert figures["balancers_alive"] and figures["outcomes"]["balancer: UP"] > 30
    # Without a free descriptor the balancer refuses at once.
    assert figures["outcomes"].get("balancer: BUSY", 0) > 10
    assert (
        figures["latency_ms"]["refused"]["p99"] < 500
        and 1.9 < figures["descriptors_a_connection"] < 3
    )
    assert not [name for name in figures["outcomes"] if "no answer" in name]
    with pytest.raises(ValueError, match="bounded"):
        LoadTest(Shape(rate=1e6))


def test_equal_states_have_equal_fingerprints_at_any_time():
    one, other = (explore.PlacementWorld(explore.PlacementShape()) for _ in range(2))
    for world, order in ((one, (1, 2)), (other, (2, 1))):
        for server in order:
            world.status[server] = Status.DRAINING
            world._send_list(world.hosts[0], [server], explore.Scope.DELTA)
    assert explore.fingerprint({"at": one.now + 5}, one.now) == explore.fingerprint(
        {"at": one.now + 50}, one.now + 45
    )
    assert explore.fingerprint([1, 2], 0) != explore.fingerprint([2, 1], 0)


GOOD = (
    '[scenario]\nseconds = 20.0\n[[scenario.workloads]]\nname = "w"\n'
    '[[scenario.troubles]]\nkind = "drain"\nat_s = 3.0\n'
)


@pytest.mark.parametrize(
    "change, key",
    [
        (("seconds = 20.0", "second = 20.0"), "second"),
        (("seconds = 20.0", "seconds = -1.0"), "scenario.seconds"),
        (("seconds = 20.0", 'seconds = "20 s"'), "scenario.seconds"),
        (('"drain"', '"rain"'), "scenario.troubles[0].kind"),
        (("at_s = 3.0", "at_s = 30.0"), "scenario.troubles[0].at_s"),
        (("at_s = 3.0", "at_s = 3.0\npart = 1.2"), "troubles[0].part"),
        (('name = "w"', 'name = "w"\nsoft_limit_ms = 9000.0'), "workloads[0].soft_limit_ms"),
        (('name = "w"', 'name = "w"\neffect = "twice"'), "workloads[0].effect"),
        (("[scenario]\n", 'policies = ["best"]\n[scenario]\n'), "best"),
        (
            ("[scenario]\n", 'vary = { "servers.numbers" = [3] }\n[scenario]\n'),
            "vary.servers.numbers",
        ),
        (
            ("[scenario]\n", 'vary = { "servers.number" = [0] }\n[scenario]\n'),
            "vary.servers.number",
        ),
        (("[scenario]", "[scenario"), "TOML"),
    ],
)
def test_an_invalid_key_type_or_value_is_reported_by_its_key(change, key):
    assert parse_experiment(GOOD.encode()).scenario.seconds == 20.0
    with pytest.raises(ScenarioError) as error:
        parse_experiment(GOOD.replace(*change).encode())
    assert key in str(error.value)


def test_an_interrupted_experiment_continues_and_its_pairs_are_compared(tmp_path):
    experiment = parse_experiment(
        b'seeds = [1, 2]\npolicies = ["module", "random"]\nvary = { "servers.number" = [4, 6] }\n'
        b"[scenario]\nseconds = 4.0\nwarm_s = 0.5\n"
    )
    path = str(tmp_path / "out.jsonl")
    assert len(list(planned_runs(experiment))) == 8
    complete = list(run_experiment(experiment, path, 2))
    lines = Path(path).read_text().splitlines(keepends=True)
    assert len(lines) == 9
    Path(path).write_text("".join(lines[:5]) + lines[5][:100])  # the last line is cut
    executed = []
    resumed = []
    for result in run_experiment(experiment, path, 1):
        resumed.append(result)
        executed.append(result["key"])
    assert sorted(json.dumps(result, sort_keys=True) for result in resumed) == sorted(
        json.dumps(result, sort_keys=True) for result in complete
    )
    assert len(set(executed)) == 8
    (difference,) = paired_differences(complete, "module")
    assert (
        difference.policy == "random"
        and difference.pairs == 4
        and difference.low <= difference.mean <= difference.high
    )
    other_experiment = parse_experiment(b"[scenario]\nseconds = 4.0\n")
    with pytest.raises(ValueError, match="another experiment"):
        list(run_experiment(other_experiment, path, 1))
    mean, low, high = confidence_interval([1.0, 2.0, 3.0])
    assert mean == 2.0 and high - mean == pytest.approx(4.30 / 3**0.5)


def test_keys_are_varied_by_path():
    assert with_value(SMALL, "servers.number", 9).servers.number == 9
    assert with_value(SMALL, "workloads.0.rate", 2.5).workloads[0].rate == 2.5


def test_the_run_compare_sweep_report_explore_and_replay_commands(tmp_path):
    file, out, page, trace = (
        str(tmp_path / name) for name in ("e.toml", "e.jsonl", "r.html", "c.json")
    )
    Path(file).write_text(
        'seeds = [1, 2]\npolicies = ["module", "inverse counts", "true state"]\n'
        "[scenario]\nseconds = 6.0\nwarm_s = 1.0\nstanding = 1.0\n"
        '[[scenario.troubles]]\nkind = "release"\nat_s = 2.0\npart = 1.0\n'
    )
    runner = CliRunner()

    def call(*arguments, code=0):
        result = runner.invoke(main, ["lab", *arguments])
        assert result.exit_code == code, result.output
        return result.output

    assert call("run", file, "--out", out, "--processes", "2").count("service") == 6
    assert "inverse counts" in call("compare", out)
    assert "module" in call("sweep", out)
    call("report", out, "--out", page)
    text = Path(page).read_text()
    assert text.count("<img src=") >= 3 and "All simulated" in text
    assert "states to depth 3" in call("explore", "--depth", "3", "--walks", "5")
    make = lambda: explore.PlacementWorld(explore.PlacementShape(), AnswersMovedLoginsAgain)  # noqa: E731
    found = explore.random_walks(make, 500, 60, 1)
    Path(trace).write_text(explore.counterexample_json("placing", explore.PlacementShape(), found))
    assert "nothing is broken" in call("replay", trace)  # the replay has no injected fault
    Path(file).write_text("[scenario]\nseconds = 0.0\n")
    assert "scenario.seconds" in call("run", file, code=1)


def test_the_queue_of_a_large_fleet_grows_with_its_connections_only():
    fleet = Fleet(
        Scenario(
            seconds=3.0,
            standing=1.0,
            servers=Servers(number=40, size=200.0),
            balancers=Balancers(number=20),
            workloads=[WorkloadTable(name="w", rate=500.0, hold_s=10.0)],
        ),
        "random",
        1,
    )
    fleet.run()
    assert (
        fleet.open_connections > 4000
        and fleet.clock.pending < 3 * fleet.open_connections + 2000
        and fleet.clock.now % MS == 0
    )
