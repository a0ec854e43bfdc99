"""Checks of a soak run, beside those of `checker`: ends of processes, connections and resources."""

from __future__ import annotations

from collections.abc import Iterable

from corklift.net.limits import SECOND
from corklift.rig.checker import (
    FaultPeriod,
    Violation,
    fault_periods,
    find_violations,
)
from corklift.rig.fleet import Event

# What an idle process may hold more than when it was idle before.
MAX_DESCRIPTOR_GROWTH = 40
MAX_MEMORY_GROWTH_KB = 8_000
# Resident memory of a process of `run`.
MAX_RUN_MEMORY_KB = 32 << 10
# Lines after which a connection may end: the balancer's and the server's.
FINAL_KEYWORDS = ("MOVE", "BYE")
# A connection to a server with a fault may break this long after the fault.
FAULT_AFTERMATH = 7 * SECOND


def find_soak_violations(events: list[Event], program: str) -> list[Violation]:
    """Returns the violations of a run of `run` or `serve`, in the order of their time."""
    events = sorted(events, key=lambda event: event.at)
    periods = fault_periods(events)
    return sorted(
        [
            *find_violations(events, events[-1].at),
            *_check_stops(events),
            *_check_connections(events, periods),
            *_check_resources(events, program),
        ]
    )


def _check_stops(events: list[Event]) -> Iterable[Violation]:
    """A process that was told to stop ends before the kill, with status 0; others do not end."""
    finished_at = max((event.at for event in events if event.what == "finish"), default=1 << 63)
    for event in events:
        if event.source != "rig" or event.at >= finished_at:
            continue
        if event.what == "kill":
            yield Violation(event.at, "stop", f"{event.fields['who']} runs on at the kill")
        elif (
            event.what == "ended"
            and event.fields["who"].startswith("b")
            and event.fields["status"] != 0
        ):
            yield Violation(
                event.at,
                "stop",
                f"{event.fields['who']} ended with status {event.fields['status']}: "
                f"{event.fields['last']}",
            )


def _check_connections(events: list[Event], periods: list[FaultPeriod]) -> Iterable[Violation]:
    """A connection ends with MOVE or with its server's last line, and never within a line."""
    for event in events:
        if event.what != "closed" or event.fields["by"] != "balancer":
            continue
        server = event.fields["server"]
        server_had_fault = any(
            server in period.who and period.began <= event.at <= period.over + FAULT_AFTERMATH
            for period in periods
        )
        keyword = event.fields["last"].split(" ")[0]
        ends_well = (
            keyword in FINAL_KEYWORDS
            and not event.fields["half_line"]
            and not event.fields["reset"]
        )
        if not ends_well and not server_had_fault:
            yield Violation(
                event.at,
                "connection",
                f"the connection of {event.fields['login']} at {event.fields['balancer']} to "
                f"{server} ended after {event.fields['last']!r}, half line "
                f"{event.fields['half_line']}, reset {event.fields['reset']}",
            )


def _check_resources(events: list[Event], program: str) -> Iterable[Violation]:
    """An idle process holds hardly more than before, and `run` keeps to its memory."""
    first: dict[str, Event] = {}
    for event in events:
        if event.what != "resources":
            continue
        name = event.fields["who"]
        before = first.setdefault(name, event)
        grown = event.fields["descriptors"] - before.fields["descriptors"]
        if grown > MAX_DESCRIPTOR_GROWTH:
            yield Violation(event.at, "resources", f"{name} holds {grown} more descriptors")
        grown = event.fields["memory_kb"] - before.fields["memory_kb"]
        if grown > MAX_MEMORY_GROWTH_KB:
            yield Violation(event.at, "resources", f"{name} holds {grown} kB more")
        if program == "run" and event.fields["memory_kb"] > MAX_RUN_MEMORY_KB:
            yield Violation(event.at, "resources", f"{name} holds {event.fields['memory_kb']} kB")
