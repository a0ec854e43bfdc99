"""Passes over the tests of KNOWN-RED.txt, and shows the evidence of failed runs of the rig."""

import os
import re
import tempfile

import pytest
from known_failures import (
    KNOWN_FAILURES_FILE,
    KnownFailuresError,
    missing_tests,
    read_known_failures,
)

EVIDENCE_FOLDER = os.path.join(tempfile.gettempdir(), "corklift-rig-evidence")


def pytest_collection_modifyitems(config, items):
    known = read_known_failures(KNOWN_FAILURES_FILE.read_text(encoding="utf-8"))
    selects_tests = any("::" in argument for argument in config.args) or config.option.keyword
    missing = missing_tests(known, {item.nodeid for item in items}) if not selects_tests else []
    if missing:
        raise pytest.UsageError(str(KnownFailuresError(f"KNOWN-RED.txt names {missing}")))
    for item in items:
        if item.nodeid in known:
            reason = f"KNOWN-RED.txt, entry {known[item.nodeid]}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_runtest_setup(item):
    from corklift.rig.fleet import recent_rigs

    recent_rigs.clear()


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    """Adds the evidence of each rig that a failed test has run."""
    outcome = yield
    report = outcome.get_result()
    if call.when == "call" and call.excinfo is not None:
        from corklift.rig.evidence import describe, write_timeline
        from corklift.rig.fleet import recent_rigs

        for number, rig in enumerate(recent_rigs):
            name = re.sub(r"\W+", "-", item.nodeid)
            path = os.path.join(EVIDENCE_FOLDER, f"{name}-{os.getpid()}-{number}.txt")
            write_timeline(rig, path)
            report.sections.append((f"rig {number}, timeline in {path}", "\n".join(describe(rig))))


def pytest_terminal_summary(terminalreporter):
    """Prints the outcome of each test of KNOWN-RED.txt that ran."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"known failure, {outcome}: {report.nodeid}")
            if outcome == "xfailed":
                terminalreporter.write_line(report.longreprtext)
            for title, text in report.sections:
                if title.startswith("rig "):
                    terminalreporter.write_line(f"{title}\n{text}")
