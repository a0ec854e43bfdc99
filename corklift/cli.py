"""The command line: commands, options and their output.

Each command imports its program only when it runs. `python -m corklift` without a command must not
import this module, so that the memory of a balancer stays at 32 MB.
"""

from __future__ import annotations

import sys
from typing import Any

import click


class _Address(click.ParamType):
    name = "IPv4:PORT"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdecimal() or int(port) > 65535:
            self.fail(f"{value!r} is not an address and a port", param, ctx)
        return host, int(port)


@click.group(help="Load balancer for long-lived connections, and related services.")
@click.version_option(package_name=None, version="0.2.0", prog_name="corklift")
def main() -> None:
    pass


@main.command(help="Run a balancer configured by BALANCER_CONFIG; the default without a command.")
def run() -> None:
    from corklift.service import run_balancer

    sys.exit(run_balancer())


@main.command(
    help="Run a balancer with peers, configured by a TOML file. See docs/operate/peers.md."
)
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--check", is_flag=True, help="Only validate the file.")
def serve(file: str, check: bool) -> None:
    from corklift.net.limits import ConfigError
    from corklift.serve import check as check_file
    from corklift.serve import main as start

    if not check:
        sys.exit(start(file))
    try:
        click.echo(check_file(file))
    except ConfigError as problem:
        raise click.ClickException(str(problem)) from None


@main.group(help="Fleet membership as one balancer sees it. See docs/operate/peers.md.")
def peers() -> None:
    pass


def _ask_peer(address: tuple[str, int], path: str, request: bytes) -> bytes:
    from corklift.membership.peers import call_peer
    from corklift.rpc.core import RpcError

    try:
        return bytes(call_peer(address, path, request))
    except RpcError as problem:
        raise click.ClickException(f"{address[0]}:{address[1]}: {problem}") from None


@peers.command(
    "status", help="Show the members of the fleet, their states and the count of balancers."
)
@click.argument("address", type=_Address())
@click.option("--json", "as_json", is_flag=True)
def peers_status(address: tuple[str, int], as_json: bool) -> None:
    import json

    from corklift.membership.peers import STATUS

    content = _ask_peer(address, STATUS, b"")
    if as_json:
        click.echo(content)
        return
    fleet = json.loads(content)
    click.echo(
        f"{fleet['name']} counts {fleet['count']} balancers"
        + ("" if fleet["joined"] else ", has not joined yet")
    )
    for row in fleet["members"]:
        click.echo(
            f"{row['name']:20} {row['standing']:8} {row['address']:22} "
            f"incarnation {row['incarnation']:<4} {row['zone']} {row['version']}"
        )


@peers.command(
    "forget",
    help="Declare that a dead balancer will not come back, so that it is no longer counted.",
)
@click.argument("address", type=_Address())
@click.argument("name")
def peers_forget(address: tuple[str, int], name: str) -> None:
    from corklift.membership.peers import FORGET

    _ask_peer(address, FORGET, name.encode())
    click.echo(f"{name} is forgotten")


@main.group(
    help="The store of a balancer or of the control service on disk. See docs/operate/power.md."
)
def store() -> None:
    pass


def _load_store(path: str) -> Any:
    from corklift.store.files import DiskFiles
    from corklift.store.format import Refused, load

    try:
        disk = DiskFiles(path, create=False)
        return load(disk.names(), disk.read)
    except (Refused, OSError) as problem:
        raise click.ClickException(str(problem)) from None


_Folder = click.Path(exists=True, file_okay=False)


@store.command(
    "check",
    help="Read the whole store; report its content or the damage. Changes nothing.",
)
@click.argument("folder", type=_Folder)
def store_check(folder: str) -> None:
    found = _load_store(folder)
    if not found.segment_number:
        click.echo(f"{folder}: no store found")
        return
    click.echo(
        f"{folder}: store {found.store_id.hex()}, {len(found.state)} keys, "
        f"commit {found.sequence}, segment {found.segment_number}"
    )
    for cut in found.torn_tails:
        click.echo(
            f"ignored an incomplete write: {cut.name} at byte {cut.offset}, {cut.length} bytes"
        )


@store.command("dump", help="Print keys and values, one per line, sorted by key.")
@click.argument("folder", type=_Folder)
@click.option("--prefix", default="")
def store_dump(folder: str, prefix: str) -> None:
    import msgspec

    for key, value in sorted(_load_store(folder).state.items()):
        if key.startswith(prefix.encode()):
            try:
                shown = msgspec.msgpack.decode(value)
            except msgspec.DecodeError:
                shown = value.hex()
            click.echo(f"{key.decode('utf-8', 'replace')} {shown}")


def _write_store(state: dict[bytes, bytes], to: str) -> None:
    import os

    from corklift.store.files import DiskFiles
    from corklift.store.log import Store

    if os.path.isdir(to) and os.listdir(to):
        raise click.ClickException(f"{to} is not empty")
    disk = DiskFiles(to)
    target = Store(disk)
    try:
        target.commit([dict(state)])
    finally:
        target.close()
        disk.release()


@store.command(
    "init",
    help="Create an empty store, for the first balancer of a fleet, which has no peer to ask.",
)
@click.argument("path", type=click.Path(file_okay=False))
@click.option(
    "--boot",
    default="/proc/sys/kernel/random/boot_id",
    show_default=True,
    help="The same as store.boot in the balancer's file.",
)
def store_init(path: str, boot: str) -> None:
    from corklift.recovery.driver import boot_of
    from corklift.recovery.facts import ENDED, Fact, encode_fact
    from corklift.store.format import Refused
    from corklift.store.log import InUse, NotKept, Store
    from corklift.store.worker import StoreFolders

    try:
        created = Store(StoreFolders(path).newest())
        if created.items():
            raise click.ClickException(f"{path}: the store is not empty")
        created.commit(
            [dict([encode_fact(Fact(ENDED, "", (1,), [boot_of(boot), True], "operators"))])]
        )
    except (Refused, InUse, NotKept, OSError) as problem:
        raise click.ClickException(f"{path}: {problem}") from None
    created.close()
    click.echo(f"{path}: empty store created")


@store.command(
    "salvage",
    help="Write the readable part of a damaged store to an empty folder; report what is lost.",
)
@click.argument("folder", type=_Folder)
@click.option("--to", required=True, type=click.Path(file_okay=False))
def store_salvage(folder: str, to: str) -> None:
    from corklift.store.files import DiskFiles
    from corklift.store.format import salvage

    disk = DiskFiles(folder, create=False)
    found = salvage(disk.names(), disk.read)
    for lost in found.losses:
        click.echo(f"lost: {lost}")
    _write_store(found.state, to)
    click.echo(f"{to}: {len(found.state)} keys")


@store.command(
    "copy",
    help="Copy a store that no process has open to an empty folder.",
)
@click.argument("folder", type=_Folder)
@click.argument("to", type=click.Path(file_okay=False))
def store_copy(folder: str, to: str) -> None:
    found = _load_store(folder)
    _write_store(found.state, to)
    click.echo(f"{to}: {len(found.state)} keys")


@main.group(
    invoke_without_command=True,
    help="Run the control service, which configures proxies through xDS.",
)
@click.option(
    "--config", type=click.Path(dir_okay=False), help="A TOML file; see docs/operate/control.md."
)
@click.option("--check", is_flag=True, help="Only validate the file.")
@click.pass_context
def control(context: click.Context, config: str | None, check: bool) -> None:
    if context.invoked_subcommand is not None:
        return
    if config is None:
        raise click.UsageError("--config is missing")
    if check:
        from corklift.control.config import ControlConfigError, load_config

        try:
            loaded = load_config(config)
        except ControlConfigError as error:
            raise click.ClickException(str(error)) from None
        click.echo(
            f"{config}: {len(loaded.workloads)} workloads, {len(loaded.listeners)} listeners"
        )
        return
    from corklift.control.program import main as serve

    sys.exit(serve(config))


@control.command(help="Show which resource versions each proxy has, from a control service (CSDS).")
@click.option("--address", type=_Address(), default="127.0.0.1:18000", show_default=True)
@click.option("--node", default="", help="Only proxies whose node id contains this.")
@click.option("--json", "as_json", is_flag=True)
def status(address: tuple[str, int], node: str, as_json: bool) -> None:
    from corklift.control.status import main as print_status

    sys.exit(print_status(address, node, as_json))


@main.group(
    help="Simulation: fleets in virtual time, experiments, exploration. See docs/operate/lab.md."
)
def lab() -> None:
    pass


def _load_experiment(path: str) -> Any:
    from corklift.lab.experiment import load_experiment
    from corklift.lab.scenario import ScenarioError

    try:
        return load_experiment(path)
    except ScenarioError as problem:
        raise click.ClickException(f"{path}: {problem}") from None
    except OSError as problem:
        raise click.ClickException(str(problem)) from None


def _print_results(results: list[dict[str, Any]]) -> None:
    for found in results:
        changes = " ".join(f"{key}={value}" for key, value in found["varied"].items())
        rules = (
            " ".join(f"rule {rule}: {number}" for rule, number in found["rules"].items())
            or "no rule broken"
        )
        click.echo(
            f"{found['policy']:18} seed {found['seed']:<4} service {found['service']:.4f}  "
            f"{rules}  {changes}"
        )


@lab.command(
    "run", help="Run an experiment; an interrupted one continues from the results in --out."
)
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--out", type=click.Path(dir_okay=False), help="Results as JSON lines; FILE.jsonl by default."
)
@click.option("--processes", type=click.IntRange(1, 64), default=4, show_default=True)
def lab_run(file: str, out: str | None, processes: int) -> None:
    from corklift.lab.experiment import run_experiment

    experiment = _load_experiment(file)
    try:
        for result in run_experiment(experiment, out or f"{file}.jsonl", processes):
            _print_results([result])
    except ValueError as problem:
        raise click.ClickException(str(problem)) from None


@lab.command(help="Show differences between policies over paired runs, with 95 % intervals.")
@click.argument("results", type=click.Path(exists=True, dir_okay=False))
@click.option("--against", default="module", show_default=True)
@click.option(
    "--figure",
    type=click.Choice(["service", "answers", "on_time"]),
    default="service",
    show_default=True,
)
def compare(results: str, against: str, figure: str) -> None:
    from corklift.lab.experiment import paired_differences, read_results

    _, runs = read_results(results)
    for row in sorted(paired_differences(runs, against, figure), key=lambda row: -row.mean):
        click.echo(
            f"{row.policy:18} {row.mean:+.4f}  "
            f"({row.low:+.4f} to {row.high:+.4f}, {row.pairs} pairs)"
        )


@lab.command(
    help="Show the runs in which a policy is worst, compared with one that sees the true state."
)
@click.argument("results", type=click.Path(exists=True, dir_okay=False))
@click.option("--policy", default="module", show_default=True)
@click.option("--most", type=click.IntRange(1, 1000), default=5, show_default=True)
def sweep(results: str, policy: str, most: int) -> None:
    from corklift.lab.experiment import read_results

    _, runs = read_results(results)
    best_service = {
        (run["seed"], str(run["varied"])): run["service"]
        for run in runs
        if run["policy"] == "true state"
    }
    policy_runs = [
        (run["service"] - best_service.get((run["seed"], str(run["varied"])), run["service"]), run)
        for run in runs
        if run["policy"] == policy
    ]
    for difference, run in sorted(policy_runs, key=lambda pair: pair[0])[:most]:
        click.echo(f"{difference:+.4f} ", nl=False)
        _print_results([run])


@lab.command(help="Write the results as an HTML page with plots.")
@click.argument("results", type=click.Path(exists=True, dir_okay=False))
@click.option("--out", type=click.Path(dir_okay=False), default="report.html", show_default=True)
def report(results: str, out: str) -> None:
    from corklift.lab.experiment import git_commit, read_results
    from corklift.lab.report import render_page

    experiment, runs = read_results(results)
    with open(out, "w", encoding="utf-8") as file:
        file.write(render_page(experiment, runs, git_commit()))
    click.echo(f"{out}: {len(runs)} runs")


@lab.command(help="Explore all orders of events in a small model up to a depth; then random walks.")
@click.option(
    "--world",
    type=click.Choice(["placing", "views", "members", "recovery"]),
    default="placing",
    show_default=True,
    help="The decisions, the control service with one proxy, three members, or three recoveries.",
)
@click.option("--incremental", is_flag=True, help="For views: the incremental variant of xDS.")
@click.option("--depth", type=click.IntRange(1, 40), default=5, show_default=True)
@click.option("--states", type=click.IntRange(10, 10_000_000), default=20_000, show_default=True)
@click.option("--walks", type=click.IntRange(0, 10_000_000), default=500, show_default=True)
@click.option("--balancers", type=click.IntRange(1, 2), default=1, show_default=True)
@click.option("--servers", type=click.IntRange(2, 3), default=2, show_default=True)
@click.option(
    "--effect",
    type=click.Choice(["repeatable", "tagged", "once-only"]),
    default="repeatable",
    show_default=True,
)
@click.option("--out", type=click.Path(dir_okay=False), help="File for a counterexample.")
def explore(
    world: str,
    incremental: bool,
    depth: int,
    states: int,
    walks: int,
    balancers: int,
    servers: int,
    effect: str,
    out: str | None,
) -> None:
    from corklift.lab import explore as lab_explore
    from corklift.lab.explore_members import MembershipShape
    from corklift.lab.explore_recovery import RecoveryShape

    shape = (
        lab_explore.PlacementShape(balancers=balancers, servers=servers, effect=effect)
        if world == "placing"
        else MembershipShape()
        if world == "members"
        else RecoveryShape()
        if world == "recovery"
        else lab_explore.SubscriptionShape(incremental)
    )
    make = lambda: lab_explore.make_world(world, shape._asdict())  # noqa: E731
    found = lab_explore.explore(make, depth, states)
    click.echo(
        f"{found.states} states to depth {found.depth}, {found.steps} events played"
        + ("" if found.complete else ", not all orders explored")
    )
    if not found.what and walks:
        found = lab_explore.random_walks(make, walks, 60, 1)
        click.echo(f"{walks} walks, {found.steps} events played")
    if found.what:
        click.echo(found.what + "\n" + "\n".join(found.trace))
        if out:
            with open(out, "w", encoding="utf-8") as file:
                file.write(lab_explore.counterexample_json(world, shape, found))
        sys.exit(1)


@lab.command(help="Replay a counterexample that `explore --out` wrote.")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def replay(file: str) -> None:
    import json

    from corklift.lab import explore as lab_explore

    with open(file, encoding="utf-8") as content:
        counterexample = json.load(content)
    world = lab_explore.make_world(counterexample["world"], counterexample["shape"])
    for label in counterexample["path"]:
        if label not in world.enabled():
            click.echo(f"skipped, not possible here: {label}")
            continue
        world.play(label)
        if world.violation():
            break
    click.echo("\n".join(world.trace()))
    click.echo(world.violation() or "nothing is broken")
    sys.exit(1 if world.violation() else 0)


@lab.command(
    help="Measure placements per second, latency and limits with real balancers on loopback."
)
@click.option("--balancers", type=click.IntRange(1, 16), default=1, show_default=True)
@click.option("--servers", type=click.IntRange(1, 200), default=4, show_default=True)
@click.option(
    "--rate",
    type=click.FloatRange(1, 5000),
    default=100.0,
    show_default=True,
    help="Logins per second.",
)
@click.option("--seconds", type=click.FloatRange(1, 600), default=8.0, show_default=True)
@click.option(
    "--hold",
    type=click.FloatRange(0.1, 600),
    default=5.0,
    show_default=True,
    help="Mean duration of a connection, in seconds.",
)
@click.option(
    "--sockets",
    type=click.IntRange(32, 20_000),
    default=4096,
    show_default=True,
    help="Limit of sockets of each balancer.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def load(
    balancers: int,
    servers: int,
    rate: float,
    seconds: float,
    hold: float,
    sockets: int,
    seed: int,
    as_json: bool,
) -> None:
    import json

    from corklift.lab.load import LoadTest, Shape

    try:
        tool = LoadTest(
            Shape(balancers, servers, rate, seconds, hold, sockets=sockets, seed=seed),
            (lambda text: None) if as_json else click.echo,
        )
    except ValueError as problem:
        raise click.ClickException(str(problem)) from None
    figures = tool.run()
    if as_json:
        click.echo(json.dumps(figures))
    else:
        for name, value in figures.items():
            click.echo(f"{name:26} {value}")
    sys.exit(0 if figures["balancers_alive"] and not tool.problems else 1)


@main.group(
    help="Fault injection: real `serve` processes with faults between them, and a checker. "
    "See docs/design/rig.md."
)
def rig() -> None:
    pass


def _load_scenario(path: str) -> Any:
    from corklift.rig.scenario import ScenarioError, read_scenario

    try:
        return read_scenario(path)
    except ScenarioError as problem:
        raise click.ClickException(str(problem)) from None


def _print_verdict(events: Any) -> int:
    from corklift.rig.checker import events_around, find_violations

    violations = find_violations(events, max(event.at for event in events))
    if violations:
        first = violations[0]
        click.echo(
            f"{first.promise} broken: {first.what}\n" + "\n".join(events_around(events, first.at))
        )
    logins = sum(event.what == "login" for event in events)
    click.echo(
        f"{logins} logins, {len(violations)} violations"
        + ("" if violations else ": all promises kept")
    )
    return 1 if violations else 0


def _run_rig_scenario(
    scenario: Any, peers: bool, seed: int, mutants: dict[str, str], out: str | None, verbose: bool
) -> int:
    import msgspec

    from corklift.rig.scenario import encode_events, run_scenario

    result = run_scenario(
        scenario,
        peers=peers,
        seed=seed,
        mutants=mutants,
        show=click.echo if verbose else lambda text: None,
    )
    if out:
        with open(out, "w", encoding="utf-8") as file:
            header = {
                "scenario": msgspec.to_builtins(scenario),
                "peers": peers,
                "seed": seed,
                "spoil": mutants,
            }
            file.write(msgspec.json.encode(header).decode() + "\n" + encode_events(result.events))
    return _print_verdict(result.events)


@rig.command("run", help="Run a scenario and check it; exits with 1 if a promise is broken.")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--out", type=click.Path(dir_okay=False), help="File for the events, for replay and report."
)
@click.option(
    "--peers/--no-peers",
    default=True,
    show_default=True,
    help="Whether the balancers know each other.",
)
@click.option("--seed", type=int, help="Overrides the seed of the file.")
@click.option(
    "--spoil",
    multiple=True,
    metavar="BALANCER=FAULT",
    help="Start this balancer with a deliberate fault of `rig list`.",
)
@click.option("--verbose", is_flag=True, help="Print the events as they happen.")
def rig_run(
    file: str, out: str | None, peers: bool, seed: int | None, spoil: tuple[str, ...], verbose: bool
) -> None:
    scenario = _load_scenario(file)
    mutants = dict(item.partition("=")[::2] for item in spoil)
    sys.exit(
        _run_rig_scenario(
            scenario, peers, scenario.seed if seed is None else seed, mutants, out, verbose
        )
    )


@rig.command(
    "soak",
    help="Play runs of restarts, signals, crowds and failing servers, each drawn from its seed;"
    " exits with 1 if a promise is broken. A seed with the same duration gives the same plan.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the first run.")
@click.option("--runs", type=click.IntRange(1, 1000), default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(8, 300), default=15.0, show_default=True)
@click.option(
    "--out",
    type=click.Path(file_okay=False),
    default="soak",
    show_default=True,
    help="Folder for the time lines of runs that break a promise.",
)
def rig_soak(seed: int, runs: int, seconds: float, out: str) -> None:
    import os
    from collections import Counter

    from corklift.rig.evidence import write_timeline
    from corklift.rig.soak import run_soak
    from corklift.rig.soak_checks import find_soak_violations

    failed = 0
    for run_seed in range(seed, seed + runs):
        played = run_soak(run_seed, seconds)
        violations = find_soak_violations(played.events, played.plan.program)
        broken = dict(Counter(violation.promise for violation in violations))
        click.echo(
            f"seed {run_seed}: {played.plan.program}"
            f"{', crowd' if played.plan.crowd_at else ''}, "
            f"{len(played.events_from('client', 'login'))} logins, broken: {broken or 'none'}"
        )
        if violations:
            failed += 1
            path = os.path.join(out, f"seed-{run_seed}.txt")
            write_timeline(played, path, violations)
            click.echo(f"  {violations[0].promise}: {violations[0].what}\n  time line: {path}")
    click.echo(f"{runs} runs, {failed} failed")
    sys.exit(1 if failed else 0)


@rig.command("list", help="List the scenarios of a folder, and the deliberate faults.")
@click.argument("folder", type=click.Path(exists=True, file_okay=False), default="examples/rig")
def rig_list(folder: str) -> None:
    import os

    from corklift.rig.mutants import MUTANTS

    for name in sorted(os.listdir(folder)):
        if name.endswith(".toml"):
            scenario = _load_scenario(os.path.join(folder, name))
            click.echo(
                f"{name:24} {scenario.seconds:5.0f} s, {scenario.fleet.balancers:2} balancers  "
                f"{scenario.name}"
            )
    for fault_name, mutant in MUTANTS.items():
        click.echo(f"{fault_name:24} {(mutant.__doc__ or '').strip()}")


@rig.command("replay", help="Run again what `run --out` wrote, and check it.")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def rig_replay(file: str) -> None:
    import json

    import msgspec

    from corklift.rig.scenario import Scenario

    with open(file, encoding="utf-8") as content:
        header = json.loads(content.readline())
    sys.exit(
        _run_rig_scenario(
            msgspec.convert(header["scenario"], Scenario),
            header["peers"],
            header["seed"],
            header["spoil"],
            None,
            False,
        )
    )


@rig.command("report", help="Write the time line of what `run --out` wrote as an HTML page.")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--out", type=click.Path(dir_okay=False), default="rig.html", show_default=True)
def rig_report(file: str, out: str) -> None:
    from corklift.rig.report import render_page
    from corklift.rig.scenario import decode_events

    with open(file, encoding="utf-8") as content:
        header = content.readline()
        events = decode_events(content.read())
    with open(out, "w", encoding="utf-8") as page_file:
        page_file.write(render_page(header, events))
    click.echo(f"{out}: {len(events)} events")
