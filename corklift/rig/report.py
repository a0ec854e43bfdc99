"""The timeline of a run as an HTML page: processes, the state of members, service and faults.

The page shows the checker's verdict; this module checks nothing itself.
"""

from __future__ import annotations

import html
import json
from collections import Counter

from corklift.lab.report import STYLE, embed_figure, pyplot
from corklift.net.limits import SECOND
from corklift.rig.checker import events_around, fault_periods, find_violations
from corklift.rig.fleet import Event

COLOURS = {"alive": "#2a7", "suspect": "#eb3", "dead": "#c33", "left": "#999"}


def render_page(head: str, events: list[Event]) -> str:
    """Returns the page; `head` is the scenario and its options, as JSON."""
    events = sorted(events, key=lambda event: event.at)
    started_at, ended_at = events[0].at, events[-1].at
    violations = find_violations(events, ended_at)
    verdict = (
        f'<p class="bad">{len(violations)} violations. First: '
        f"{html.escape(violations[0].promise)}: {html.escape(violations[0].what)}</p><pre>"
        + html.escape("\n".join(events_around(events, violations[0].at)))
        + "</pre>"
        if violations
        else "<p>All promises were kept.</p>"
    )
    title = html.escape(json.loads(head)["scenario"]["name"])
    return (
        f"<!doctype html><meta charset=utf-8><title>{title}</title><style>{STYLE}</style>"
        f"<h1>{title}</h1>{verdict}"
        "<h2>Processes, and how the other members saw them</h2>"
        f"{_process_timeline(events, started_at, ended_at)}"
        f"<h2>Service</h2>{_service_timeline(events, started_at, ended_at)}<h2>Faults</h2><ul>"
        + "".join(
            f"<li>{(period.began - started_at) / SECOND:.2f} s to "
            f"{(min(period.over, ended_at) - started_at) / SECOND:.2f} s: {period.kind} "
            f"{html.escape(', '.join(sorted(period.who)))} {len(period.pairs) or ''}</li>"
            for period in fault_periods(events)
        )
        + f"</ul><details><summary>The scenario</summary><pre>{html.escape(head)}</pre></details>"
    )


def _process_timeline(events: list[Event], run_started_at: int, run_ended_at: int) -> str:
    names = sorted(
        {
            event.fields["who"]
            for event in events
            if event.what == "started" and str(event.fields["who"]).startswith("b")
        },
        key=lambda name: int(name[1:]),
    )
    figure, axis = pyplot.subplots(figsize=(10, 0.5 * len(names) + 1))
    for row, name in enumerate(names):
        started_at = 0
        for event in events:
            if event.what == "started" and event.fields["who"] == name:
                started_at = event.at
            elif event.what == "ended" and event.fields.get("who") == name and started_at:
                axis.barh(
                    row,
                    (event.at - started_at) / SECOND,
                    left=(started_at - run_started_at) / SECOND,
                    height=0.5,
                    color="#cde",
                )
                started_at = 0
        if started_at:
            axis.barh(
                row,
                (run_ended_at - started_at) / SECOND,
                left=(started_at - run_started_at) / SECOND,
                height=0.5,
                color="#cde",
            )
        for event in events:
            if event.what == "member" and event.fields["member"] == name:
                axis.plot(
                    [(event.at - run_started_at) / SECOND],
                    [row],
                    "|",
                    color=COLOURS.get(event.fields["standing"], "#000"),
                    markersize=12,
                )
    for period in fault_periods(events):
        axis.axvspan(
            (period.began - run_started_at) / SECOND,
            (min(period.over, run_ended_at) - run_started_at) / SECOND,
            color="#f80",
            alpha=0.08,
        )
    for state in COLOURS:
        axis.plot([], [], "|", color=COLOURS[state], label=f"seen as {state}", markersize=12)
    axis.set_yticks(range(len(names)), names)
    axis.set_xlabel("s")
    axis.legend(fontsize=7, loc="upper left", bbox_to_anchor=(1, 1))
    return embed_figure(figure)


def _service_timeline(events: list[Event], started_at: int, ended_at: int) -> str:
    figure, axis = pyplot.subplots(figsize=(10, 3))
    replies: dict[str, Counter[int]] = {}
    for event in events:
        if event.what == "answer":
            replies.setdefault(event.fields["word"] or "no answer", Counter())[
                (event.at - started_at) // SECOND
            ] += 1
    seconds = range((ended_at - started_at) // SECOND + 1)
    for reply, counts in sorted(replies.items()):
        axis.plot(list(seconds), [counts[second] for second in seconds], label=reply)
    for event in events:
        if event.what == "fell":
            axis.axvline((event.at - started_at) / SECOND, color="#c00", linewidth=1)
    axis.set_xlabel("s")
    axis.set_ylabel("answers per second")
    axis.legend(fontsize=8)
    return embed_figure(figure)
