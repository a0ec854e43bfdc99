"""Renders the results of an experiment as one HTML page with tables and plots."""

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
    "body{font:15px sans-serif;max-width:960px;margin:2em auto;color:#222}"
    "table{border-collapse:collapse}"
    "td,th{padding:3px 12px;border-bottom:1px solid #ddd;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
    "pre{background:#f5f5f5;padding:8px;overflow:auto}img{max-width:100%}.bad{color:#b00}"
)


def embed_figure(figure: Any) -> str:
    """Returns a figure as an HTML image with its data, and closes it."""
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=90, bbox_inches="tight")
    pyplot.close(figure)
    return f'<img src="data:image/png;base64,{base64.b64encode(buffer.getvalue()).decode()}">'


def _plot_service(
    results: list[dict[str, Any]], policies: list[str], disruptions: list[Any]
) -> str:
    figure, axis = pyplot.subplots(figsize=(10, 3))
    for policy in policies:
        series_of_runs = [
            result["series"]
            for result in results
            if result["policy"] == policy and result["series"]
        ]
        if series_of_runs:
            length = min(map(len, series_of_runs))
            axis.plot(
                [series_of_runs[0][index][0] for index in range(length)],
                [
                    sum(series[index][2] for series in series_of_runs) / len(series_of_runs)
                    for index in range(length)
                ],
                label=policy,
                linewidth=1,
            )
    for trouble in disruptions:
        axis.axvline(trouble.at_s, color="#999", linestyle=":", linewidth=1)
        axis.text(trouble.at_s, 0.02, " " + trouble.kind, rotation=90, fontsize=7, color="#666")
    axis.set_xlabel("s")
    axis.set_ylabel("answer quality")
    axis.set_ylim(0, 1.05)
    axis.legend(fontsize=8)
    return embed_figure(figure)


def _plot_utilisation(results: list[dict[str, Any]], policy: str) -> str:
    run = next(
        (result for result in results if result["policy"] == policy and result["series"]), None
    )
    if run is None:
        return ""
    figure, axis = pyplot.subplots(figsize=(10, 3))
    series = run["series"]
    image = axis.imshow(
        list(zip(*(utilisations for _, utilisations, _ in series))),
        aspect="auto",
        vmin=0,
        vmax=1.2,
        cmap="inferno",
        extent=(0, series[-1][0], len(series[0][1]) + 0.5, 0.5),
    )
    axis.set_xlabel("s")
    axis.set_ylabel("server")
    axis.set_title(f"utilisation: {policy}, seed {run['seed']}", fontsize=9)
    figure.colorbar(image)
    return embed_figure(figure)


def render_page(experiment: Experiment, results: list[dict[str, Any]], commit: str) -> str:
    """Returns the page for an experiment and the results of its runs."""
    policies = list(dict.fromkeys(result["policy"] for result in results))
    rows = []
    for policy in policies:
        runs = [result for result in results if result["policy"] == policy]
        mean, low, high = confidence_interval([result["service"] for result in runs])
        violation_count = sum(sum(result["rules"].values()) for result in runs)
        waiting_time = max(result["waited_s"]["p99"] for result in runs)
        moves = sum(result["tally"].get("moved", 0) for result in runs)
        rows.append(
            f"<tr><td>{html.escape(policy)}</td><td>{mean:.4f}</td><td>{low:.4f} to {high:.4f}</td>"
            f"<td class={'bad' if violation_count else 'good'}>{violation_count}</td>"
            f"<td>{waiting_time:.2f}</td><td>{moves}</td></tr>"
        )
    differences = "".join(
        f"<li>{html.escape(difference.policy)} against {html.escape(difference.against)}: "
        f"{difference.mean:+.4f} "
        f"({difference.low:+.4f} to {difference.high:+.4f}, {difference.pairs} pairs)</li>"
        for difference in paired_differences(results, policies[0])
    )
    violations = "".join(
        f"<h3>{html.escape(result['policy'])}, seed {result['seed']}, rule {rule}</h3><pre>"
        + html.escape("\n".join(trace[-12:]))
        + "</pre>"
        for result in results
        for rule, (_, _, trace) in result["first_breaks"].items()
    )[:20_000]
    return (
        "<!doctype html><meta charset=utf-8>"
        f"<title>{html.escape(experiment.scenario.name)}</title><style>{STYLE}</style>"
        f"<h1>{html.escape(experiment.scenario.name)}</h1>"
        f"<p>{len(results)} runs, seeds {experiment.seeds}, commit {commit}. All simulated.</p>"
        "<table><tr><th>policy<th>service<th>95 %<th>rule violations<th>wait p99, s<th>moves</tr>"
        + "".join(rows)
        + f"</table><h2>Paired differences</h2><ul>{differences}</ul><h2>Service over time</h2>"
        + _plot_service(results, policies, experiment.scenario.troubles)
        + "<h2>Utilisation of each server</h2>"
        + "".join(_plot_utilisation(results, policy) for policy in policies[:3])
        + (f"<h2>First violations</h2>{violations}" if violations else "")
    )
