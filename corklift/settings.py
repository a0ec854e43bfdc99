"""Translates the settings, alike on the simulator's wire and in a balancer's configuration, into our words."""

from __future__ import annotations

from math import inf
from typing import Any

from corklift.interface import ColdRule, Effect, MeasurementKind, Reach, Workload

EFFECTS = {"pure": Effect.REPEATABLE, "token": Effect.TAGGED, "side_effect": Effect.ONCE_ONLY}
REPORT_FIELDS = {"inflight": "count", "util": "busy"}
_ABSENT = object()


class BadSettings(Exception):
    """Names the key that is missing or impossible."""


def _need(table: dict[str, Any], key: str, where: str, default: Any = _ABSENT) -> Any:
    if not isinstance(table, dict):
        raise BadSettings(f"settings: {where or 'top level'} is no table")
    value = table.get(key, default)
    if value is _ABSENT:
        raise BadSettings(f"settings: {where}{key} is missing")
    return value


def _number(
    table: dict[str, Any], key: str, where: str, default: Any = _ABSENT, least: float = 0
) -> Any:
    value = _need(table, key, where, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < inf:
        raise BadSettings(
            f"settings: {where}{key} holds {value!r}, a number of at least {least} is needed"
        )
    return value


def _workload(item: dict[str, Any], where: str, message_limit: Any) -> Workload:
    effect = _need(item, "effect", where, "pure")
    if effect not in EFFECTS:
        raise BadSettings(f"settings: {where}effect holds {effect!r}")
    try:
        reach = Reach(_need(item, "group", where, "all"))
    except ValueError:
        raise BadSettings(f"settings: {where}group holds {item['group']!r}") from None
    return Workload(
        name=str(_need(item, "name", where, "")),
        importance=_number(item, "importance", where, 1.0),
        soft_limit=int(_number(item, "soft-limit-ns", where, least=1)),
        time_limit=int(_number(item, "time-limit-ns", where, least=1)),
        effect=EFFECTS[effect],
        reach=reach,
        dedup_window=int(_number(item, "dedup-window-ns", where, 0)),
        message_limit=int(message_limit),
    )


def _check_goal(goal: Any) -> None:
    """What a deployment counts by: told, and held to make sense; no decision depends on it yet."""
    part = _number(goal, "nines-part", "goal.", 0.0)
    full = _number(goal, "top-nines", "goal.", 0.0)
    if part and not full:
        raise BadSettings(
            "settings: goal.top-nines holds 0, more is needed where goal.nines-part is told"
        )


def translate(top: Any) -> tuple[dict[str, Any], tuple[str | None, ...]]:
    """The keyword arguments for a Balancer, and our names for the values of a load report."""
    rules = _need(top, "rules", "")
    allow = _need(top, "permissions", "")
    family = _need(top, "family-info", "", {})
    items = _need(top, "workloads", "")
    if not isinstance(items, list) or not items:
        raise BadSettings("settings: workloads is empty")
    _check_goal(_need(top, "goal", "", {}))
    limits = dict(enumerate(_need(family, "message-aim-ns", "family-info.", [])))
    balancers = int(_number(top, "balancers", "", 1, least=1))
    names: list[str | None] = []
    for field in _need(_need(top, "report", "", {}), "fields", "report.", []):
        if field == "x0" and "over what it can do" in str(family.get("report-x0", "")):
            names.append("pressure")
        else:
            names.append(REPORT_FIELDS.get(field))
    arguments = dict(
        zone=int(_number(top, "zone", "", 0)),
        balancers=balancers,
        workloads=[
            _workload(item, f"workloads[{at}].", limits.get(at, 0)) for at, item in enumerate(items)
        ],
        per_work=_need(top, "importance-per", "", "request") == "work",
        cold=ColdRule(
            start_share=_number(rules, "cold-from", "rules.", 0.3),
            ramp=int(_number(rules, "ramp-time-ns", "rules.", 0)),
            multiple=_number(rules, "fall-multiple", "rules.", 2.0),
            span=int(_number(rules, "fall-ns", "rules.", 1_000_000_000)),
        ),
        max_hand_offs=int(_number(allow, "max-hand-offs", "permissions.", 1, least=1)),
        cancel_allowed=bool(_need(allow, "cancelling", "permissions.", False)),
        max_retry_after=int(_number(allow, "max-retry-after-ns", "permissions.", 0))
        if _need(allow, "retry-after", "permissions.", False)
        else 0,
        probes_allowed=bool(_need(allow, "probes", "permissions.", False)),
        ask_for_list=_need(top, "discovery", "", "pushed") == "on_request",
        ask_within=int(_number(rules, "ask-within-ns", "rules.", 10_000_000_000)),
        grouped=bool(_need(family, "groups", "family-info.", False)),
        weight_varies=_need(top, "weight-source", "", "none") == "live",
        crossing_price=_number(_need(top, "fees", "", {}), "cross-zone", "fees.", 0.0),
        probe_price=_number(_need(top, "fees", "", {}), "probe", "fees.", 0.0),
        memory=int(_number(family, "park-ns", "family-info.", 0)),
    )
    return arguments, tuple(names)


def report_names(top: Any) -> dict[str, str]:
    """Our names for the values of a load report, by the name that servers give them."""
    _, names = translate(top)
    return (
        {field: name for field, name in zip(top["report"]["fields"], names) if name is not None}
        if names
        else {}
    )


def told_figure(top: Any) -> tuple[MeasurementKind, int] | None:
    """What a server tells on a connection when it changes, and the ns in its unit; None if nothing.

    `LOAD` has one figure. Where loads are not told but delays are, it is how long a message takes there.
    """
    family = _need(top, "family-info", "", {})
    if _need(family, "tells-load", "family-info.", False):
        return MeasurementKind.LOAD, 1_000  # microseconds of work a second
    if _need(family, "tells-delay", "family-info.", False):
        return MeasurementKind.DELAY, 1_000_000  # milliseconds
    return None


def left_out(old: Any, new: Any, where: str = "") -> str | None:
    """A key that the tables in force have and new ones lack, at any depth, or that all entries of a list have but one.

    Guards against a file that was cut short or lost a line and would be read with what stands for an absent key."""
    if isinstance(old, dict) and isinstance(new, dict):
        for key, value in old.items():
            if key not in new:
                return f"{where}{key}"
            found = left_out(value, new[key], f"{where}{key}.")
            if found is not None:
                return found
    elif (
        isinstance(old, list)
        and isinstance(new, list)
        and old
        and all(isinstance(item, dict) for item in old)
    ):
        shared = dict.fromkeys(set.intersection(*(set(item) for item in old)))
        for at, item in enumerate(new):
            found = left_out(shared, item, f"{where[:-1]}[{at}].")
            if found is not None:
                return found
    return None
