"""Describes a failed run of the rig: its violations, ends of processes, counters and waits.

The whole timeline goes to a file; the description has the part of it round the first violation.
"""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Iterable

from corklift.net.limits import SECOND
from corklift.rig.checker import Violation, events_around, find_violations, format_event
from corklift.rig.fleet import Event, Rig
from corklift.rig.lateness import format_waits

# Violations of one promise that are shown one by one.
SHOWN_VIOLATIONS = 8
# Counters of a balancer that tell why clients were closed without a final answer.
CLOSE_COUNTERS = (
    "clients in",
    "logins in",
    "clients closed without a line",
    "clients without a line",
    "clients ended by the stop",
    "clients gone before a line",
    "pings unanswered",
    "logins left by their client",
    "logins ended by the stop",
    "no descriptor for a client",
    "exceptions",
)
# Events that show the state of a balancer: its recovery and its view of the others.
STATE_EVENTS = ("recovery", "member", "store", "count", "started", "ended", "taken in", "fault")


def describe(rig: Rig, violations: list[Violation] | None = None) -> list[str]:
    """Returns the description of a run, as lines of text.

    `violations` are those that were found; by default the checker looks for them.
    """
    events = sorted(rig.events, key=lambda event: event.at)
    if not events:
        return ["the rig recorded no event"]
    started_at = events[0].at
    if violations is None:
        violations = find_violations(events, events[-1].at)
    return [
        *_describe_violations(violations, started_at),
        "ends of processes:",
        *(
            format_event(event, started_at, None)
            for event in events
            if event.what == "ended" and event.source == "rig"
        ),
        "counters of clients closed without an answer:",
        *(f"  {name}: {_format_counters(rig.counters(name))}" for name in rig.balancers),
        "longest waits for a core, late timers and garbage collections:",
        *format_waits(rig.lateness.longest(), started_at),
        *(_describe_surroundings(events, violations[0].at) if violations else ()),
    ]


def write_timeline(rig: Rig, path: str, violations: list[Violation] | None = None) -> None:
    """Writes the description and all events of a run to a file."""
    os.makedirs(os.path.dirname(path), exist_ok=True)
    events = sorted(rig.events, key=lambda event: event.at)
    with open(path, "w", encoding="utf-8") as file:
        for line in describe(rig, violations):
            file.write(line + "\n")
        for event in events:
            file.write(format_event(event, events[0].at, None) + "\n")
        for wait in rig.lateness.waits:
            file.write(f"{wait}\n")


def _describe_violations(violations: list[Violation], started_at: int) -> Iterable[str]:
    counts = Counter(violation.promise for violation in violations)
    yield f"violations: {dict(counts) or 'none'}"
    shown: Counter[str] = Counter()
    for violation in violations:
        shown[violation.promise] += 1
        if shown[violation.promise] <= SHOWN_VIOLATIONS:
            yield (
                f"{(violation.at - started_at) / SECOND:9.3f} s  {violation.promise}: "
                f"{violation.what}"
            )


def _describe_surroundings(events: list[Event], at: int) -> Iterable[str]:
    yield "states before the first violation:"
    before = [event for event in events if event.at <= at and event.what in STATE_EVENTS]
    yield from (format_event(event, events[0].at) for event in before[-20:])
    yield "events round the first violation:"
    yield from events_around(events, at)


def _format_counters(counters: dict[str, int]) -> str:
    return (
        ", ".join(f"{name}={counters[name]}" for name in CLOSE_COUNTERS if counters.get(name))
        or "not logged"
    )
