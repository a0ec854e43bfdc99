"""Translates the settings of a deployment into the arguments of a `Balancer`.

The simulator's adapter and the configuration of a real balancer hold the settings in the same
form.
"""

from __future__ import annotations

from math import inf
from typing import Any

from corklift.interface import ColdRule, Effect, MeasurementKind, Reach, Workload

# The settings' names of the effects.
EFFECTS = {"pure": Effect.REPEATABLE, "token": Effect.TAGGED, "side_effect": Effect.ONCE_ONLY}
# Fields of a load report as the settings name them, and the fields of `Report` that hold them.
REPORT_FIELDS = {"inflight": "count", "util": "busy"}
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


def _get_number(
    table: dict[str, Any], key: str, where: str, default: Any = _REQUIRED, minimum: float = 0
) -> Any:
    value = _get(table, key, where, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value < inf:
        raise SettingsError(
            f"settings: {where}{key} holds {value!r}, a number of at least {minimum} is needed"
        )
    return value


def _workload(item: dict[str, Any], where: str, message_limit: Any) -> Workload:
    effect = _get(item, "effect", where, "pure")
    if effect not in EFFECTS:
        raise SettingsError(f"settings: {where}effect holds {effect!r}")
    try:
        reach = Reach(_get(item, "group", where, "all"))
    except ValueError:
        raise SettingsError(f"settings: {where}group holds {item['group']!r}") from None
    return Workload(
        name=str(_get(item, "name", where, "")),
        importance=_get_number(item, "importance", where, 1.0),
        soft_limit=int(_get_number(item, "soft-limit-ns", where, minimum=1)),
        time_limit=int(_get_number(item, "time-limit-ns", where, minimum=1)),
        effect=EFFECTS[effect],
        reach=reach,
        dedup_window=int(_get_number(item, "dedup-window-ns", where, 0)),
        message_limit=int(message_limit),
    )


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
    workloads = _get(settings, "workloads", "")
    if not isinstance(workloads, list) or not workloads:
        raise SettingsError("settings: workloads is empty")
    _check_goal(_get(settings, "goal", "", {}))
    message_limits = dict(enumerate(_get(family, "message-aim-ns", "family-info.", [])))
    balancers = int(_get_number(settings, "balancers", "", 1, minimum=1))
    field_names: list[str | None] = []
    # The meaning of `x0` depends on the family of servers; the settings describe it in words.
    for field in _get(_get(settings, "report", "", {}), "fields", "report.", []):
        if field == "x0" and "over what it can do" in str(family.get("report-x0", "")):
            field_names.append("pressure")
        else:
            field_names.append(REPORT_FIELDS.get(field))
    arguments = dict(
        zone=int(_get_number(settings, "zone", "", 0)),
        balancers=balancers,
        workloads=[
            _workload(item, f"workloads[{index}].", message_limits.get(index, 0))
            for index, item in enumerate(workloads)
        ],
        per_work=_get(settings, "importance-per", "", "request") == "work",
        cold=ColdRule(
            start_share=_get_number(rules, "cold-from", "rules.", 0.3),
            ramp=int(_get_number(rules, "ramp-time-ns", "rules.", 0)),
            multiple=_get_number(rules, "fall-multiple", "rules.", 2.0),
            span=int(_get_number(rules, "fall-ns", "rules.", 1_000_000_000)),
        ),
        max_hand_offs=int(_get_number(permissions, "max-hand-offs", "permissions.", 1, minimum=1)),
        cancel_allowed=bool(_get(permissions, "cancelling", "permissions.", False)),
        max_retry_after=int(_get_number(permissions, "max-retry-after-ns", "permissions.", 0))
        if _get(permissions, "retry-after", "permissions.", False)
        else 0,
        probes_allowed=bool(_get(permissions, "probes", "permissions.", False)),
        ask_for_list=_get(settings, "discovery", "", "pushed") == "on_request",
        ask_within=int(_get_number(rules, "ask-within-ns", "rules.", 10_000_000_000)),
        grouped=bool(_get(family, "groups", "family-info.", False)),
        weight_varies=_get(settings, "weight-source", "", "none") == "live",
        crossing_price=_get_number(_get(settings, "fees", "", {}), "cross-zone", "fees.", 0.0),
        probe_price=_get_number(_get(settings, "fees", "", {}), "probe", "fees.", 0.0),
        memory=int(_get_number(family, "park-ns", "family-info.", 0)),
    )
    return arguments, tuple(field_names)


def report_names(settings: Any) -> dict[str, str]:
    """Maps the names that servers use in load reports to the fields of `Report`."""
    _, field_names = translate(settings)
    return (
        {
            field: name
            for field, name in zip(settings["report"]["fields"], field_names)
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
    if _get(family, "tells-load", "family-info.", False):
        # Microseconds of work per second.
        return MeasurementKind.LOAD, 1_000
    if _get(family, "tells-delay", "family-info.", False):
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
