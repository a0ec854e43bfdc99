"""Translates the settings of a deployment into the arguments of a `Balancer`.

The simulator's adapter and the configuration of a real balancer hold the settings in the same
form.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from corklift.interface import ColdRule, Effect, MeasurementKind, Reach, Workload

# The settings' names of the effects.
EFFECTS = {"pure": Effect.REPEATABLE, "token": Effect.TAGGED, "side_effect": Effect.ONCE_ONLY}
# Fields of a load report as the settings name them, and the fields of `Report` that hold them.
REPORT_FIELDS = {"inflight": "count", "util": "busy"}
# The longest time in ns, about 12 days: poll counts its timeout in ms, in 31 bits.
MAX_TIME = 10**15
# The largest of all other numbers; products of a few of them are still exact enough.
MAX_NUMBER = 10**9
# At zero nothing could be sent to a cold server.
MIN_FALL_MULTIPLE = 0.01
WEIGHT_SOURCES = ("none", "nominal", "rough", "live")
_REQUIRED = object()


class SettingsError(Exception):
    """A key of the settings is missing or has an invalid value; the message names the key."""


def _get(table: dict[str, Any], key: str, where: str, default: Any = _REQUIRED) -> Any:
    """Returns the value of a key; `where` is the path of its table, for error messages."""
    if not isinstance(table, dict):
        raise SettingsError(f"settings: {where or 'top level'} is no table")
    value = table.get(key, default)
    if value is _REQUIRED:
        raise SettingsError(f"settings: {where}{key} is missing")
    return value


def _check_number(value: Any, path: str, minimum: float, maximum: float) -> Any:
    if (
        isinstance(value, bool)
        or not isinstance(value, (int, float))
        or not minimum <= value <= maximum
    ):
        raise SettingsError(
            f"settings: {path} holds {value!r:.60}, a number from {minimum} to {maximum} is needed"
        )
    return value


def _get_number(
    table: dict[str, Any],
    key: str,
    where: str,
    default: Any = _REQUIRED,
    minimum: float = 0,
    maximum: float = MAX_NUMBER,
) -> Any:
    return _check_number(_get(table, key, where, default), f"{where}{key}", minimum, maximum)


def _get_time(
    table: dict[str, Any], key: str, where: str, default: Any = _REQUIRED, minimum: int = 0
) -> int:
    return int(_get_number(table, key, where, default, minimum, MAX_TIME))


def _get_flag(table: dict[str, Any], key: str, where: str) -> bool:
    """Returns a flag; an absent one is not set."""
    value = _get(table, key, where, False)
    if not isinstance(value, bool):
        raise SettingsError(f"settings: {where}{key} holds {value!r:.60}, true or false is needed")
    return value


def _get_choice(
    table: dict[str, Any], key: str, where: str, default: str, choices: Collection[str]
) -> str:
    value = _get(table, key, where, default)
    if not isinstance(value, str) or value not in choices:
        raise SettingsError(
            f"settings: {where}{key} holds {value!r:.60}, one of {', '.join(choices)} is needed"
        )
    return value


def _get_list(table: dict[str, Any], key: str, where: str) -> list[Any]:
    """Returns a list; an absent one is empty."""
    value = _get(table, key, where, [])
    if not isinstance(value, list):
        raise SettingsError(f"settings: {where}{key} holds {value!r:.60}, a list is needed")
    return value


def _workload(item: dict[str, Any], where: str, message_limit: int) -> Workload:
    name = _get(item, "name", where)
    if not isinstance(name, str) or not name:
        raise SettingsError(f"settings: {where}name holds {name!r:.60}, a text is needed")
    return Workload(
        name=name,
        importance=_get_number(item, "importance", where, 1.0),
        soft_limit=_get_time(item, "soft-limit-ns", where, minimum=1),
        time_limit=_get_time(item, "time-limit-ns", where, minimum=1),
        effect=EFFECTS[_get_choice(item, "effect", where, "pure", EFFECTS)],
        reach=Reach(_get_choice(item, "group", where, "all", [reach.value for reach in Reach])),
        dedup_window=_get_time(item, "dedup-window-ns", where, 0),
        message_limit=message_limit,
    )


def _workloads(settings: Any, family: Any) -> list[Workload]:
    items = _get(settings, "workloads", "")
    if not isinstance(items, list) or not items:
        raise SettingsError("settings: workloads is empty")
    key = "message-aim-ns"
    limits = [
        int(_check_number(limit, f"family-info.{key}[{index}]", 0, MAX_TIME))
        for index, limit in enumerate(_get_list(family, key, "family-info."))
    ]
    workloads, names = [], set[str]()
    for index, item in enumerate(items):
        where = f"workloads[{index}]."
        workload = _workload(item, where, limits[index] if index < len(limits) else 0)
        if workload.name in names:
            raise SettingsError(f"settings: {where}name holds {workload.name!r:.60} once more")
        names.add(workload.name)
        workloads.append(workload)
    return workloads


def _check_goal(goal: Any) -> None:
    """Validates the service goal of the deployment. No decision depends on it yet."""
    nines_part = _get_number(goal, "nines-part", "goal.", 0.0)
    top_nines = _get_number(goal, "top-nines", "goal.", 0.0)
    if nines_part and not top_nines:
        raise SettingsError(
            "settings: goal.top-nines holds 0, more is needed where goal.nines-part is told"
        )


def translate(settings: Any) -> tuple[dict[str, Any], tuple[str | None, ...]]:
    """Returns the keyword arguments of a `Balancer`, and the `Report` field of each reported value.

    The field is None for a reported value that no decision uses.

    Raises:
        SettingsError: a key is missing or has an invalid value.
    """
    rules = _get(settings, "rules", "")
    permissions = _get(settings, "permissions", "")
    family = _get(settings, "family-info", "", {})
    fees = _get(settings, "fees", "", {})
    _check_goal(_get(settings, "goal", "", {}))
    arguments = dict(
        zone=int(_get_number(settings, "zone", "", 0)),
        balancers=int(_get_number(settings, "balancers", "", 1, minimum=1)),
        workloads=_workloads(settings, family),
        per_work=_get_choice(settings, "importance-per", "", "request", ("request", "work"))
        == "work",
        cold=ColdRule(
            start_share=_get_number(rules, "cold-from", "rules.", 0.3, maximum=1),
            ramp=_get_time(rules, "ramp-time-ns", "rules.", 0),
            multiple=_get_number(rules, "fall-multiple", "rules.", 2.0, minimum=MIN_FALL_MULTIPLE),
            span=_get_time(rules, "fall-ns", "rules.", 1_000_000_000, minimum=1),
        ),
        max_hand_offs=int(_get_number(permissions, "max-hand-offs", "permissions.", 1, minimum=1)),
        cancel_allowed=_get_flag(permissions, "cancelling", "permissions."),
        max_retry_after=_get_time(permissions, "max-retry-after-ns", "permissions.", 0)
        if _get_flag(permissions, "retry-after", "permissions.")
        else 0,
        probes_allowed=_get_flag(permissions, "probes", "permissions."),
        ask_for_list=_get_choice(settings, "discovery", "", "pushed", ("pushed", "on_request"))
        == "on_request",
        ask_within=_get_time(rules, "ask-within-ns", "rules.", 10_000_000_000, minimum=1),
        grouped=_get_flag(family, "groups", "family-info."),
        weight_varies=_get_choice(settings, "weight-source", "", "none", WEIGHT_SOURCES) == "live",
        crossing_price=_get_number(fees, "cross-zone", "fees.", 0.0),
        probe_price=_get_number(fees, "probe", "fees.", 0.0),
        memory=_get_time(family, "park-ns", "family-info.", 0),
    )
    return arguments, _report_fields(settings, family)


def _report_fields(settings: Any, family: Any) -> tuple[str | None, ...]:
    fields = _get_list(_get(settings, "report", "", {}), "fields", "report.")
    if not all(isinstance(field, str) for field in fields):
        raise SettingsError(f"settings: report.fields holds {fields!r:.60}, texts are needed")
    # The meaning of `x0` depends on the family of servers; the settings describe it in words.
    is_pressure = "over what it can do" in str(_get(family, "report-x0", "family-info.", ""))
    return tuple(
        "pressure" if field == "x0" and is_pressure else REPORT_FIELDS.get(field)
        for field in fields
    )


def report_names(settings: Any) -> dict[str, str]:
    """Maps the names that servers use in load reports to the fields of `Report`."""
    _, field_names = translate(settings)
    return (
        {
            field: name
            for field, name in zip(settings["report"]["fields"], field_names, strict=True)
            if name is not None
        }
        if field_names
        else {}
    )


def pushed_measurement(settings: Any) -> tuple[MeasurementKind, int] | None:
    """Returns what servers send in `LOAD` lines on open connections, and its unit in ns.

    A `LOAD` line has one value: the connection's load if servers report that, otherwise the delay
    of a message. Returns None if servers report neither.
    """
    family = _get(settings, "family-info", "", {})
    if _get_flag(family, "tells-load", "family-info."):
        # Microseconds of work per second.
        return MeasurementKind.LOAD, 1_000
    if _get_flag(family, "tells-delay", "family-info."):
        # Milliseconds.
        return MeasurementKind.DELAY, 1_000_000
    return None


def find_missing_key(old: Any, new: Any, where: str = "") -> str | None:
    """Returns the path of a key that `old` has and `new` lacks, at any depth, or None.

    In a list of tables, each new entry needs the keys that all old entries share. This rejects a
    file that was truncated or lost a line, which would otherwise be read with default values.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        for key, value in old.items():
            if key not in new:
                return f"{where}{key}"
            found = find_missing_key(value, new[key], f"{where}{key}.")
            if found is not None:
                return found
    elif (
        isinstance(old, list)
        and isinstance(new, list)
        and old
        and all(isinstance(item, dict) for item in old)
    ):
        shared = dict.fromkeys(set.intersection(*(set(item) for item in old)))
        for index, item in enumerate(new):
            found = find_missing_key(shared, item, f"{where[:-1]}[{index}].")
            if found is not None:
                return found
    return None
