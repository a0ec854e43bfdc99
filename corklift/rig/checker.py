"""Checks the events of a rig: the four rules over the whole fleet, and the promises of membership.

The checker goes by those that saw what happened: clients, stand-ins, peers and the rig itself. It
never relies only on what a process reports of itself, and never excuses more than the faults that
were played explain.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable
from typing import NamedTuple

from corklift.net.limits import MS, SECOND
from corklift.rig.clients import CLIENT_TIME_LIMIT
from corklift.rig.fleet import DRAIN_GRACE, Event

# Ten times the 50 ms by which a rule is longer on sockets, since the machine may be busy.
TIMING_SLACK = 500 * MS
# For an operator override to get from the balancer that confirmed it to all that can be reached.
OVERRIDE_SLACK = 5 * SECOND
# For a log line to arrive and for a new number of balancers to be applied.
COUNT_SLACK = 300 * MS
# Events up to this long before and after a violation are shown with it.
CONTEXT_SPAN = 2 * SECOND


class Violation(NamedTuple):
    """A promise that was broken at a time in nanoseconds, and how."""

    at: int
    promise: str
    what: str


class FaultPeriod:
    """A fault and the time during which it was played, from `began` to `over`."""

    def __init__(self, event: Event, who: Iterable[str]) -> None:
        self.kind: str = event.fields["kind"]
        self.who = set(who)
        self.pairs = {tuple(pair) for pair in event.fields.get("pairs", ())}
        self.began, self.over = event.at, 1 << 63

    def touches(self, balancer: str, since: int, until: int) -> bool:
        """Tells whether the fault could keep a client from this balancer's answer."""
        if self.began > until or self.over + SECOND < since:
            return False
        return balancer in self.who or ("client", balancer) in self.pairs

    def mutes(self, balancer: str) -> bool:
        """Tells whether the fault may keep most other balancers from hearing from this one.

        A fault of one or two links does not, since other members relay the probes.
        """
        others = {name for pair in self.pairs for name in pair if name[0] == "b"} - {balancer}
        silent_sides = [
            {a for a, b in self.pairs if b == balancer},
            {b for a, b in self.pairs if a == balancer},
        ]
        return balancer in self.who or any(
            2 * len(silent_peers & others) >= len(others) > 0 and len(silent_peers) > 1
            for silent_peers in silent_sides
        )


def fault_periods(events: Iterable[Event]) -> list[FaultPeriod]:
    """Returns the faults among the events; `over` of one without an end is far in the future."""
    periods: list[FaultPeriod] = []
    for event in events:
        if event.what == "fault" and event.fields["kind"] in ("kill", "power"):
            periods += [FaultPeriod(event, [name]) for name in event.fields["who"]]
        elif event.what == "fault":
            periods.append(FaultPeriod(event, event.fields.get("who", ())))
        elif event.what == "started":
            for period in periods:
                if (
                    period.kind in ("kill", "power")
                    and event.fields["who"] in period.who
                    and period.over == 1 << 63
                ):
                    period.over = event.at
        elif event.what == "over":
            ended_pairs = {tuple(pair) for pair in event.fields.get("pairs", ())}
            for period in periods:
                has_ended = (
                    period.pairs <= ended_pairs
                    if event.fields["kind"] == "links" and period.kind == "links"
                    else period.kind == event.fields["kind"]
                    and period.who <= set(event.fields.get("who", ()))
                )
                if has_ended and period.over == 1 << 63:
                    period.over = event.at
    return periods


def find_violations(events: list[Event], ended: int) -> list[Violation]:
    """Returns all violations in the order of their time; `ended` is the end of the run."""
    events = sorted(events, key=lambda event: event.at)
    periods = fault_periods(events)
    violations = [
        *_check_logins(events, periods, ended),
        *_check_once_only_logins(events),
        *_check_drains(events),
        *_check_cold_servers(events),
        *_check_balancer_counts(events),
        *_check_overrides(events, periods),
        *_check_membership(events, periods),
        *_check_process_ends(events, periods),
    ]
    return sorted(violations)


def _check_logins(
    events: list[Event], periods: list[FaultPeriod], ended: int
) -> Iterable[Violation]:
    """Rule 1: each login gets one final answer before its time limit, then nothing more."""
    open_requests: dict[str, Event] = {}
    for event in events:
        login = event.fields.get("login", "") if event.source == "client" else ""
        if not login:
            continue
        if event.what == "login":
            open_requests[login] = event
        elif event.what == "more":
            yield Violation(
                event.at,
                "rule 1",
                f"login {login} received {event.fields['text']!r} after its final answer",
            )
        elif event.what == "answer":
            request = open_requests.pop(login)
            balancer = request.fields["balancer"]
            is_excused = any(period.touches(balancer, request.at, event.at) for period in periods)
            if event.fields["how"] != "line" and not is_excused:
                yield Violation(
                    event.at,
                    "rule 1",
                    f"login {login} at {balancer} has no answer: {event.fields['how']}",
                )
            elif event.fields["took_ns"] > CLIENT_TIME_LIMIT + TIMING_SLACK and not is_excused:
                yield Violation(
                    event.at,
                    "rule 1",
                    f"login {login} at {balancer} was answered after "
                    f"{event.fields['took_ns'] // MS} ms",
                )
    for login, request in open_requests.items():
        if request.at + CLIENT_TIME_LIMIT + TIMING_SLACK < ended and not any(
            period.touches(request.fields["balancer"], request.at, ended) for period in periods
        ):
            yield Violation(
                request.at + CLIENT_TIME_LIMIT,
                "rule 1",
                f"login {login} at {request.fields['balancer']} has no answer at the end",
            )


def _check_once_only_logins(events: list[Event]) -> Iterable[Violation]:
    """Rule 2, as seen by the servers: a once-only login runs on one server at most."""
    once_only = {
        event.fields["login"]
        for event in events
        if event.what == "login" and event.fields["workload"] == "once"
    }
    servers_by_login: dict[str, str] = {}
    for event in events:
        if event.what == "placed" and event.fields["client"] in once_only:
            login = event.fields["client"]
            if login in servers_by_login:
                yield Violation(
                    event.at,
                    "rule 2",
                    f"once-only login {login} ran on {servers_by_login[login]} "
                    f"and on {event.source}",
                )
            servers_by_login[login] = event.source


def _check_drains(events: list[Event]) -> Iterable[Violation]:
    """Rule 3: a balancer sends no logins to a leaving server after the grace period.

    The grace period starts when the balancer has surely received the list that says so.
    """
    balancer_by_login = {
        event.fields["login"]: event.fields["balancer"] for event in events if event.what == "login"
    }
    # By balancer: indexes of the list, and the time at which it had surely received each.
    has: dict[str, list[tuple[int, int]]] = {}
    for event in events:
        if event.what == "has":
            insort(has.setdefault(event.fields["balancer"], []), (event.fields["index"], event.at))
    leaving: dict[str, int] = {}
    for event in events:
        if event.what == "listed":
            if event.fields["status"] == "active":
                leaving.pop(event.fields["server"], None)
            else:
                leaving.setdefault(event.fields["server"], event.fields["index"])
        elif (
            event.what == "placed"
            and event.source in leaving
            and event.fields["client"] in balancer_by_login
        ):
            balancer = balancer_by_login[event.fields["client"]]
            indexes = has.get(balancer, [])
            position = bisect_left(indexes, (leaving[event.source], 0))
            if (
                position < len(indexes)
                and event.at > indexes[position][1] + DRAIN_GRACE + TIMING_SLACK
            ):
                yield Violation(
                    event.at,
                    "rule 3",
                    f"login {event.fields['client']} from {balancer} reached {event.source} "
                    f"{(event.at - indexes[position][1]) // MS} ms after the balancer had the list "
                    "that marks the server as leaving",
                )


def _check_overrides(events: list[Event], periods: list[FaultPeriod]) -> Iterable[Violation]:
    """A confirmed operator override holds at all balancers until an operator revokes it.

    It must survive every loss of processes, disks and power that was played.
    """
    balancer_by_login = {
        event.fields["login"]: event.fields["balancer"] for event in events if event.what == "login"
    }
    # By server: when it was taken out of service, and the balancer that confirmed it.
    out_of_service: dict[str, tuple[int, str]] = {}
    for event in events:
        if event.what == "word asked" and not event.fields["out"]:
            out_of_service.pop(event.fields["server"], None)
        elif (
            event.what == "word answered" and event.fields["status"] == 200 and event.fields["out"]
        ):
            out_of_service[event.fields["server"]] = event.at, event.fields["balancer"]
        elif (
            event.what == "placed"
            and event.source in out_of_service
            and event.fields["client"] in balancer_by_login
        ):
            since, confirmed_by = out_of_service[event.source]
            balancer = balancer_by_login[event.fields["client"]]
            is_partitioned = any(
                period.kind == "links"
                and period.began <= event.at <= period.over + OVERRIDE_SLACK
                and any(balancer in pair for pair in period.pairs)
                for period in periods
            )
            if (
                event.at
                > since
                + TIMING_SLACK
                + (DRAIN_GRACE if balancer == confirmed_by else OVERRIDE_SLACK)
                and not is_partitioned
            ):
                yield Violation(
                    event.at,
                    "words",
                    f"login {event.fields['client']} from {balancer} reached {event.source}, which "
                    f"{confirmed_by} confirmed as out of service "
                    f"{(event.at - since) // MS} ms before",
                )


def _check_cold_servers(events: list[Event]) -> Iterable[Violation]:
    """Rule 4: no cold server is overloaded by logins."""
    for event in events:
        if event.what == "fell":
            yield Violation(
                event.at,
                "rule 4",
                f"{event.source} was overloaded while cold: {event.fields['queued']} set-ups, "
                f"it handles {event.fields['bears_s']} per second",
            )


def _check_balancer_counts(events: list[Event]) -> Iterable[Violation]:
    """A balancer never assumes fewer balancers than there are that place logins."""
    placing: set[str] = set()
    counted: dict[str, int] = {}
    # By balancer: since when its number has been too low.
    too_low_since: dict[str, int] = {}
    stopped: set[str] = set()

    def check(now: int) -> Iterable[Violation]:
        for name, number in counted.items():
            if name in placing and name not in stopped and number < len(placing):
                since = too_low_since.setdefault(name, now)
                if now - since > COUNT_SLACK:
                    yield Violation(
                        since,
                        "count",
                        f"{name} assumes {number} balancers where {len(placing)} place",
                    )
                    too_low_since[name] = 1 << 62
            elif too_low_since.get(name, 0) < 1 << 62:
                too_low_since.pop(name, None)

    for event in events:
        yield from check(event.at)
        if event.what == "taken in":
            placing.add(event.fields["who"])
        elif _is_requested_end(event):
            placing -= set(event.fields["who"])
            for name in event.fields["who"]:
                counted.pop(name, None)
        elif event.what == "ended" and event.source == "rig":
            placing.discard(event.fields["who"])
        elif event.what == "count":
            counted[event.source] = event.fields["balancers"]
        elif event.what == "fault" and event.fields["kind"] == "stop":
            stopped |= set(event.fields["who"])
        elif event.what == "over" and event.fields["kind"] == "stop":
            stopped -= set(event.fields["who"])


def _check_membership(events: list[Event], periods: list[FaultPeriod]) -> Iterable[Violation]:
    """No live member is reported as dead or left, unless a fault kept it from being heard."""
    alive: set[str] = set()
    left_at: dict[str, int] = {}
    for event in events:
        if event.what == "started":
            alive.add(event.fields["who"])
            left_at.pop(event.fields["who"], None)
        elif event.what == "ended" and event.source == "rig":
            alive.discard(event.fields["who"])
        elif event.what == "fault" and event.fields["kind"] in ("kill", "power"):
            alive -= set(event.fields["who"])
        elif event.what == "member" and event.fields["standing"] == "left":
            left_at.setdefault(event.fields["member"], event.at)
            if event.fields["member"] in alive and not _was_told_to_stop(
                events, event.fields["member"], event.at
            ):
                yield Violation(
                    event.at,
                    "membership",
                    f"{event.source} reports {event.fields['member']} as left, which is alive and "
                    "did not leave",
                )
        elif event.what == "member" and event.fields["standing"] == "dead":
            name = event.fields["member"]
            # A member that was cut off reports others as dead, and so do members that hear from it
            # after its return.
            involved = {name, event.source, event.fields.get("by") or name}
            was_muted = any(
                period.mutes(member)
                for period in periods
                if period.began <= event.at <= period.over + 30 * SECOND
                for member in involved
            )
            if name in alive and not was_muted and not _was_told_to_stop(events, name, event.at):
                yield Violation(
                    event.at,
                    "membership",
                    f"{event.source} reports {name} as dead, which is alive and reachable",
                )


def _is_requested_end(event: Event) -> bool:
    """Tells whether the rig ended processes with this event."""
    return event.source == "rig" and (
        event.what == "told to stop"
        or event.what == "fault"
        and event.fields["kind"] in ("kill", "power")
    )


def _was_told_to_stop(events: list[Event], name: str, before: int) -> bool:
    return any(
        (_is_requested_end(event) or event.what == "refused")
        and event.at <= before
        and (name in event.fields.get("who", ()) or event.source == name)
        for event in events
    )


def _check_process_ends(events: list[Event], periods: list[FaultPeriod]) -> Iterable[Violation]:
    """No process ends by itself or raises; all members agree at the end if the scenario asks so."""
    expected: set[str] = set()
    for event in events:
        if _is_requested_end(event):
            expected |= set(event.fields["who"])
        elif event.what == "refused":
            expected.add(event.source)
        elif event.what == "started":
            expected.discard(event.fields["who"])
        elif event.what == "finish":
            expected = {"*"}
        elif (
            event.what == "ended"
            and event.source == "rig"
            and event.fields["who"] not in expected
            and "*" not in expected
            and not any(
                period.kind == "memory"
                and event.fields["who"] in period.who
                and period.began <= event.at <= period.over + SECOND
                for period in periods
            )
        ):
            yield Violation(
                event.at,
                "process",
                f"{event.fields['who']} ended by itself with status {event.fields.get('status')}, "
                f"its last lines: {event.fields.get('last')}",
            )
        elif (
            event.what.startswith("exception")
            and "MemoryError" in str(event)
            and any(
                period.kind == "memory"
                and event.source in period.who
                and period.began <= event.at <= period.over + SECOND
                for period in periods
            )
        ):
            # The played fault: a lack of memory ends one connection.
            pass
        elif event.what == "exception" or event.what.startswith("exception"):
            yield Violation(
                event.at,
                "process",
                f"{event.source}: {event.what[:300]} {event.fields.get('trace', '')[-300:]}",
            )
        elif event.what == "not agreed":
            yield Violation(
                event.at,
                "membership",
                f"{event.fields['by']} has the members {event.fields['holds']} at the end, where "
                f"{event.fields['lives']} are alive",
            )


def events_around(events: list[Event], at: int, max_events: int = 60) -> list[str]:
    """Returns the events of all processes near a time, as the lines of one timeline."""
    nearest = sorted(
        (event for event in events if abs(event.at - at) <= CONTEXT_SPAN),
        key=lambda event: abs(event.at - at),
    )[:max_events]
    started_at = min(event.at for event in events)
    return [
        format_event(event, started_at) for event in sorted(nearest, key=lambda event: event.at)
    ]


def format_event(event: Event, started_at: int, max_fields: int | None = 200) -> str:
    """Returns the line of an event in a timeline; its fields take up to `max_fields` characters."""
    fields = " ".join(f"{name}={value}" for name, value in event.fields.items() if name != "trace")
    return (
        f"{(event.at - started_at) / SECOND:9.3f} s  {event.source:10} {event.what} "
        f"{fields[:max_fields]}"
    )
