"""The time line of one play as a page: who lived, who held whom for what, service, faults.

Owns the page. Must never judge: the verdict on it is the checker's.
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
    """`head`: what was played, as JSON."""
    events = sorted(events, key=lambda event: event.at)
    began, ended = events[0].at, events[-1].at
    found = find_violations(events, ended)
    verdict = (
        f'<p class="bad">{len(found)} breaks. First: {html.escape(found[0].promise)}: {html.escape(found[0].what)}</p><pre>'
        + html.escape("\n".join(events_around(events, found[0].at)))
        + "</pre>"
        if found
        else "<p>All promises kept.</p>"
    )
    title = html.escape(json.loads(head)["scenario"]["name"])
    return (
        f"<!doctype html><meta charset=utf-8><title>{title}</title><style>{STYLE}</style><h1>{title}</h1>{verdict}"
        f"<h2>Who lived, and what the others held of it</h2>{_lives(events, began, ended)}"
        f"<h2>Service</h2>{_service(events, began, ended)}<h2>Faults</h2><ul>"
        + "".join(
            f"<li>{(play.began - began) / SECOND:.2f} s to {(min(play.over, ended) - began) / SECOND:.2f} s: {play.kind} "
            f"{html.escape(', '.join(sorted(play.who)))} {len(play.pairs) or ''}</li>"
            for play in fault_periods(events)
        )
        + f"</ul><details><summary>What was played</summary><pre>{html.escape(head)}</pre></details>"
    )


def _lives(events: list[Event], began: int, ended: int) -> str:
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
        lives = 0
        for event in events:
            if event.what == "started" and event.fields["who"] == name:
                lives = event.at
            elif event.what == "ended" and event.fields.get("who") == name and lives:
                axis.barh(
                    row,
                    (event.at - lives) / SECOND,
                    left=(lives - began) / SECOND,
                    height=0.5,
                    color="#cde",
                )
                lives = 0
        if lives:
            axis.barh(
                row,
                (ended - lives) / SECOND,
                left=(lives - began) / SECOND,
                height=0.5,
                color="#cde",
            )
        for event in events:
            if event.what == "member" and event.fields["member"] == name:
                axis.plot(
                    [(event.at - began) / SECOND],
                    [row],
                    "|",
                    color=COLOURS.get(event.fields["standing"], "#000"),
                    markersize=12,
                )
    for play in fault_periods(events):
        axis.axvspan(
            (play.began - began) / SECOND,
            (min(play.over, ended) - began) / SECOND,
            color="#f80",
            alpha=0.08,
        )
    for colour in COLOURS:
        axis.plot([], [], "|", color=COLOURS[colour], label=f"held for {colour}", markersize=12)
    axis.set_yticks(range(len(names)), names)
    axis.set_xlabel("s")
    axis.legend(fontsize=7, loc="upper left", bbox_to_anchor=(1, 1))
    return embed_figure(figure)


def _service(events: list[Event], began: int, ended: int) -> str:
    figure, axis = pyplot.subplots(figsize=(10, 3))
    words: dict[str, Counter[int]] = {}
    for event in events:
        if event.what == "answer":
            words.setdefault(event.fields["word"] or "no answer", Counter())[
                (event.at - began) // SECOND
            ] += 1
    seconds = range((ended - began) // SECOND + 1)
    for word, counts in sorted(words.items()):
        axis.plot(list(seconds), [counts[second] for second in seconds], label=word)
    for event in events:
        if event.what == "fell":
            axis.axvline((event.at - began) / SECOND, color="#c00", linewidth=1)
    axis.set_xlabel("s")
    axis.set_ylabel("answers a second")
    axis.legend(fontsize=8)
    return embed_figure(figure)
