"""Reads KNOWN-RED.txt: the tests that are known to fail at times, each with its open issue."""

import re
from pathlib import Path

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY = re.compile(r"^(\d+)\. ", re.MULTILINE)
TEST = re.compile(r"^ *Test: +(\S.*?) *$", re.MULTILINE)


class KnownFailuresError(Exception):
    """An entry of KNOWN-RED.txt names no test, or one that does not exist."""


def read_known_failures(text):
    """Returns the number of the entry by the id of its test."""
    parts = ENTRY.split(text)[1:]
    known = {}
    for number, entry in zip(parts[::2], parts[1::2], strict=True):
        tests = TEST.findall(entry)
        if not tests:
            raise KnownFailuresError(f"entry {number} of KNOWN-RED.txt names no test")
        known.update(dict.fromkeys(tests, int(number)))
    return known


def missing_tests(known, collected):
    """Returns the known tests that do not exist, of those whose files were collected."""
    files = {test.split("::")[0] for test in collected}
    return sorted(
        test
        for test in known
        if test not in collected
        and (test.split("::")[0] in files or not Path(test.split("::")[0]).exists())
    )
