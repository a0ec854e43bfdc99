"""One HTML page of an experiment's results, with plots, that a person reads in a minute.

Owns the page. Must never run anything.
"""

from __future__ import annotations

import base64
import html
import io
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from corklift.lab.experiment import confidence_interval, paired_differences  # noqa: E402
from corklift.lab.scenario import Experiment  # noqa: E402

STYLE = (
    "body{font:15px sans-serif;max-width:960px;margin:2em auto;color:#222}table{border-collapse:collapse}"
    "td,th{padding:3px 12px;border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child{text-align:left}"
    "pre{background:#f5f5f5;padding:8px;overflow:auto}img{max-width:100%}.bad{color:#b00}"
)


def embed_figure(figure: Any) -> str:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=90, bbox_inches="tight")
    pyplot.close(figure)
    return f'<img src="data:image/png;base64,{base64.b64encode(out.getvalue()).decode()}">'


def _plot_service(results: list[dict[str, Any]], policies: list[str], troubles: list[Any]) -> str:
    figure, axis = pyplot.subplots(figsize=(10, 3))
    for policy in policies:
        mine = [
            result["series"]
            for result in results
            if result["policy"] == policy and result["series"]
        ]
        if mine:
            length = min(map(len, mine))
            axis.plot(
                [mine[0][at][0] for at in range(length)],
                [sum(series[at][2] for series in mine) / len(mine) for at in range(length)],
                label=policy,
                linewidth=1,
            )
    for trouble in troubles:
        axis.axvline(trouble.at_s, color="#999", linestyle=":", linewidth=1)
        axis.text(trouble.at_s, 0.02, " " + trouble.kind, rotation=90, fontsize=7, color="#666")
    axis.set_xlabel("s")
    axis.set_ylabel("answers in time")
    axis.set_ylim(0, 1.05)
    axis.legend(fontsize=8)
    return embed_figure(figure)


def _plot_utilisation(results: list[dict[str, Any]], policy: str) -> str:
    found = next(
        (result for result in results if result["policy"] == policy and result["series"]), None
    )
    if found is None:
        return ""
    figure, axis = pyplot.subplots(figsize=(10, 3))
    series = found["series"]
    image = axis.imshow(
        list(zip(*(pressures for _, pressures, _ in series))),
        aspect="auto",
        vmin=0,
        vmax=1.2,
        cmap="inferno",
        extent=(0, series[-1][0], len(series[0][1]) + 0.5, 0.5),
    )
    axis.set_xlabel("s")
    axis.set_ylabel("server")
    axis.set_title(f"load over what it can do: {policy}, seed {found['seed']}", fontsize=9)
    figure.colorbar(image)
    return embed_figure(figure)


def render_page(experiment: Experiment, results: list[dict[str, Any]], commit: str) -> str:
    policies = list(dict.fromkeys(result["policy"] for result in results))
    rows = []
    for policy in policies:
        mine = [result for result in results if result["policy"] == policy]
        mean, low, high = confidence_interval([result["service"] for result in mine])
        broken = sum(sum(result["rules"].values()) for result in mine)
        waited = max(result["waited_s"]["p99"] for result in mine)
        moved = sum(result["tally"].get("moved", 0) for result in mine)
        rows.append(
            f"<tr><td>{html.escape(policy)}</td><td>{mean:.4f}</td><td>{low:.4f} to {high:.4f}</td>"
            f"<td class={'bad' if broken else 'good'}>{broken}</td><td>{waited:.2f}</td><td>{moved}</td></tr>"
        )
    apart = "".join(
        f"<li>{html.escape(found.policy)} against {html.escape(found.against)}: {found.mean:+.4f} "
        f"({found.low:+.4f} to {found.high:+.4f}, {found.pairs} pairs)</li>"
        for found in paired_differences(results, policies[0])
    )
    breaks = "".join(
        f"<h3>{html.escape(result['policy'])}, seed {result['seed']}, rule {rule}</h3><pre>"
        + html.escape("\n".join(trace[-12:]))
        + "</pre>"
        for result in results
        for rule, (_, _, trace) in result["first_breaks"].items()
    )[:20_000]
    return (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(experiment.scenario.name)}</title><style>{STYLE}</style>"
        f"<h1>{html.escape(experiment.scenario.name)}</h1><p>{len(results)} runs, seeds {experiment.seeds}, commit {commit}. All simulated."
        "</p><table><tr><th>policy<th>service<th>95 %<th>rules broken<th>waited p99, s<th>moved</tr>"
        + "".join(rows)
        + f"</table><h2>Differences, pair by pair</h2><ul>{apart}</ul><h2>Service over time</h2>"
        + _plot_service(results, policies, experiment.scenario.troubles)
        + "<h2>Load of each server</h2>"
        + "".join(_plot_utilisation(results, policy) for policy in policies[:3])
        + (f"<h2>First breaks</h2>{breaks}" if breaks else "")
    )
