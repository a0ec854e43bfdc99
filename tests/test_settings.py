"""Tests of what a deployment's configuration may hold, key by key.

Each key is left out, null, zero, negative, huge and of another type. Whatever the table does not
allow is refused: at a start with exit status 2 and a line that names the key, at SIGHUP with the
old state kept whole.
"""

import copy
import json
import math
import signal

import pytest
from harness import MS, BalancerHarness
from real_process import LOGIN, RealProcess, read_all

from corklift.configuration import Configuration
from corklift.interface import ColdRule, Effect, Reach, Workload
from corklift.net.limits import ConfigError
from corklift.settings import find_missing_key

SECOND = 1000 * MS
# The end of the log line of a rejected configuration.
STAYS_IN_FORCE = "the old configuration stays in force"
WORKLOAD = {
    "name": "plain",
    "effect": "token",
    "group": "zone",
    "dedup-window-ns": 5 * SECOND,
    "importance": 2.0,
    "soft-limit-ns": 800 * MS,
    "time-limit-ns": 3200 * MS,
}
SETTINGS = {
    "balancers": 2,
    "discovery": "on_request",
    "family-info": {
        "groups": True,
        "message-aim-ns": [100 * MS],
        "park-ns": 7 * SECOND,
        "report-x0": "load asked of the server over what it can do",
        "tells-delay": True,
        "tells-load": False,
    },
    "fees": {"cross-zone": 0.0067, "probe": 0.0023},
    "goal": {"nines-part": 0.2, "top-nines": 3},
    "importance-per": "request",
    "localities": ["north", "south"],
    "permissions": {
        "cancelling": True,
        "connect-timeout-ns": 200 * MS,
        "keepalive-ns": 5 * SECOND,
        "max-hand-offs": 6,
        "max-retry-after-ns": 1500 * MS,
        "probes": True,
        "retry-after": True,
    },
    "report": {"fields": ["x0", "inflight"]},
    "rules": {
        "ask-within-ns": 10 * SECOND,
        "cold-from": 0.34,
        "fall-multiple": 3.0,
        "fall-ns": SECOND,
        "ramp-time-ns": 8900 * MS,
    },
    "skus": ["fast"],
    "weight-source": "live",
    "workloads": [WORKLOAD],
    "zone": 1,
}
CONFIG = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "admin_addr": "127.0.0.1:0",
    "seed": "8c1f30d27a5be964",
    "limits": {"memory_mb": 64, "sockets": 400},
    "known": {"index": 1, "snapshot": True, "endpoints": []},
    "settings": SETTINGS,
}

MISSING = object()
NUMBERS = {"zero": 0, "negative": -1, "huge": 1e300, "huge integer": 10**30}
NO_NUMBERS = {"infinite": math.inf, "not a number": math.nan}
CASES = (
    {"missing": MISSING, "null": None, "text": "x", "true": True, "list": [1], "table": {"a": 1}}
    | NUMBERS
    | NO_NUMBERS
)
# What of `CASES` each key allows besides its own values, and why.
# - "missing": an older simulator does not send the key, and its default applies. A reload never
#   drops a key that is in force.
# - "table", "list", "text", "true": the key's own type.
# - "zero": no zone has a number below it; no repeats are recognised; requests are worth nothing;
#   a server starts from nothing, or is warm at once; connections are not kept, packets not parked;
#   no advice, no price.
TABLE = {
    "listen": "",
    "discovery": "",
    "admin_addr": "missing",  # there are no admin endpoints
    "seed": "zero negative huge_integer",  # any integer, or hexadecimal text
    "limits": "",
    "limits.memory_mb": "",
    "limits.sockets": "",
    "known": "",
    "settings": "",
    "settings.balancers": "missing",
    "settings.discovery": "missing",
    "settings.family-info": "missing table",
    "settings.family-info.groups": "missing true",
    "settings.family-info.message-aim-ns": "missing list",
    "settings.family-info.park-ns": "missing zero",
    "settings.family-info.tells-delay": "missing true",
    "settings.family-info.tells-load": "missing true",
    "settings.fees": "missing table",
    "settings.fees.cross-zone": "missing zero",
    "settings.fees.probe": "missing zero",
    "settings.goal": "missing table",
    "settings.goal.nines-part": "missing zero",
    "settings.goal.top-nines": "",  # needed where nines-part is told
    "settings.importance-per": "missing",
    "settings.localities": "missing",
    "settings.permissions": "",
    "settings.permissions.cancelling": "missing true",
    "settings.permissions.connect-timeout-ns": "",
    "settings.permissions.keepalive-ns": "zero",
    "settings.permissions.max-hand-offs": "missing",
    "settings.permissions.max-retry-after-ns": "missing zero",
    "settings.permissions.probes": "missing true",
    "settings.permissions.retry-after": "missing true",
    "settings.report": "missing table",
    "settings.report.fields": "missing",
    "settings.rules": "table",
    "settings.rules.ask-within-ns": "missing",
    "settings.rules.cold-from": "missing zero",
    "settings.rules.fall-multiple": "missing",
    "settings.rules.fall-ns": "missing",
    "settings.rules.ramp-time-ns": "missing zero",
    "settings.skus": "missing",
    "settings.weight-source": "missing",
    "settings.workloads": "",
    "settings.workloads.0.dedup-window-ns": "missing zero",
    "settings.workloads.0.effect": "missing",
    "settings.workloads.0.group": "missing",
    "settings.workloads.0.importance": "missing zero",
    "settings.workloads.0.name": "text",
    "settings.workloads.0.soft-limit-ns": "",
    "settings.workloads.0.time-limit-ns": "",
    "settings.zone": "missing zero",
}


def changed(path, value, base=CONFIG):
    """Returns the configuration with another value at the path, or without the key."""
    config = copy.deepcopy(base)
    *tables, key = path.split(".")
    table = config
    for name in tables:
        table = table[int(name) if name.isdecimal() else name]
    if value is MISSING:
        del table[key]
    else:
        table[key] = value
    return config


def is_allowed(path, case):
    return case.replace(" ", "_") in TABLE[path].split()


def keys(table, prefix=""):
    """Returns the paths of all keys, but for the content of the known list."""
    found = []
    for key, value in table.items() if isinstance(table, dict) else enumerate(table):
        path = f"{prefix}{key}"
        if isinstance(table, dict):
            found.append(path)
        if isinstance(value, dict) and key != "known" or isinstance(value, list):
            found += keys(value, f"{path}.")
    return found


def test_the_table_has_all_keys():
    described_in_words = {"settings.family-info.report-x0"}
    assert set(keys(CONFIG)) - described_in_words == set(TABLE)


@pytest.mark.parametrize("path", TABLE)
def test_a_start_refuses_what_the_table_does_not_allow_and_names_the_key(path):
    for case, value in CASES.items():
        if is_allowed(path, case):
            Configuration.parse(changed(path, value))
            continue
        with pytest.raises(ConfigError) as refused:
            Configuration.parse(changed(path, value))
            pytest.fail(f"{path}: {case} is accepted")
        key = path.rpartition(".")[2]
        assert key in str(refused.value) and "Error(" not in str(refused.value), case


def test_values_reach_the_decisions_with_their_units_and_absent_ones_have_defaults():
    arguments = Configuration.parse(CONFIG).arguments
    assert arguments["workloads"] == [
        Workload("plain", 2.0, 800 * MS, 3200 * MS, Effect.TAGGED, Reach.ZONE, 5 * SECOND, 100 * MS)
    ]
    assert arguments["cold"] == ColdRule(0.34, 8900 * MS, 3.0, SECOND)
    assert arguments["ask_for_list"] and arguments["ask_within"] == 10 * SECOND
    assert (arguments["crossing_price"], arguments["probe_price"]) == (0.0067, 0.0023)
    assert (arguments["max_hand_offs"], arguments["max_retry_after"]) == (6, 1500 * MS)
    bare = copy.deepcopy(CONFIG)
    for path, allowed in TABLE.items():
        if "missing" in allowed.split() and path.count(".") != 1:
            bare = changed(path, MISSING, bare)
    arguments = Configuration.parse(bare).arguments
    assert arguments["workloads"] == [Workload("plain", 1.0, 800 * MS, 3200 * MS)]
    assert arguments["max_hand_offs"] == 1 and arguments["max_retry_after"] == 0
    assert not arguments["cancel_allowed"] and not arguments["probes_allowed"]


def test_two_classes_of_one_name_are_refused():
    with pytest.raises(ConfigError, match=r"workloads\[1\]\.name"):
        Configuration.parse(changed("settings.workloads", [WORKLOAD, WORKLOAD]))


def test_a_reload_refuses_the_same_and_leaves_the_old_state_whole():
    harness = BalancerHarness("up", **SETTINGS)
    process, facade = harness.process, harness.process.facade
    base, files, touched = harness.config, [], []
    process._reload_config = files.pop
    parts = (facade, process.relay, process.admin, process.probes, process.watch)
    for part in parts:
        name = "settings_changed" if part is facade else "reconfigure"
        setattr(part, name, lambda *_, part=part: touched.append(part))
    process.relay.listen = process.admin.listen = lambda address: touched.append(address)
    state = process.configuration, process.limits, process.port, process.log_writer.limits
    refused = 0
    for path in TABLE:
        for case, value in CASES.items() if path != "admin_addr" else ():
            if case == "missing" or not is_allowed(path, case):
                files.append(changed(path, value, base))
                process.reload()
                refused += 1
                assert harness.counters["configurations refused"] == refused, (path, case)
                key = path.rpartition(".")[2]
                line = harness.trace.pop()
                assert key in line and line.endswith(STAYS_IN_FORCE), line
    assert refused > 500 and not touched and not harness.counters["configurations taken"]
    assert state == (process.configuration, process.limits, process.port, process.log_writer.limits)
    files.append(base)
    process.reload()
    assert harness.counters["configurations taken"] == 1 and touched == [*parts[:2], *parts[2:]]


def test_a_reload_may_change_every_number_but_drop_no_key():
    assert find_missing_key(CONFIG, CONFIG) is None
    for path in TABLE:
        assert find_missing_key(CONFIG, changed(path, MISSING)) is not None, path


# Real processes


@pytest.mark.parametrize(
    "path, case",
    [
        ("settings.workloads.0.time-limit-ns", "missing"),
        ("settings.workloads", "null"),
        ("settings.permissions.connect-timeout-ns", "zero"),
        ("limits.sockets", "negative"),
        ("settings.rules.ramp-time-ns", "huge"),
        ("settings.permissions.probes", "text"),
    ],
)
def test_a_process_that_is_refused_ends_with_status_2_and_one_line(tmp_path, path, case):
    text = json.dumps(changed(path, CASES[case]))
    with RealProcess(tmp_path, text=text) as balancer:
        code, log = balancer.end()
        assert code == 2 and log.count("\n") == 1 and path.rpartition(".")[2] in log


def test_a_process_keeps_its_old_settings_through_bad_files_in_a_row(tmp_path):
    with RealProcess(tmp_path) as balancer:
        other = copy.deepcopy(balancer.config)
        other["settings"]["workloads"][0]["name"] = "other"
        assert read_all(balancer.connect(LOGIN % b"c1")) != b"ERR\r\n"
        for count, (path, case) in enumerate(
            (
                ("settings.workloads.0.time-limit-ns", "negative"),
                ("settings.permissions.keepalive-ns", "huge integer"),
                ("limits", "null"),
            ),
            1,
        ):
            balancer.path.write_text(json.dumps(changed(path, CASES[case], other)))
            balancer.signal(signal.SIGHUP)
            balancer.wait_for_log(STAYS_IN_FORCE, count)
            # Other lines come between, such as those of a discovery that nobody answers.
            rejections = [line for line in balancer.log.splitlines() if STAYS_IN_FORCE in line]
            assert len(rejections) == count
            assert path.rpartition(".")[2] in rejections[-1]
            assert read_all(balancer.connect(LOGIN % b"k%d" % count)) != b"ERR\r\n"
        balancer.path.write_text(json.dumps(other))
        balancer.signal(signal.SIGHUP)
        balancer.wait_for_log("configuration read anew")
        assert read_all(balancer.connect(LOGIN % b"c2")) == b"ERR\r\n"
        balancer.path.write_text("{")
        balancer.signal(signal.SIGTERM, signal.SIGHUP)
        balancer.wait_for_log(STAYS_IN_FORCE, 4)
        code, log = balancer.end()
        assert code == 0 and "exception" not in log
