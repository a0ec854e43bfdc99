"""Tests that exactly the tests of KNOWN-RED.txt are passed over."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from known_failures import KnownFailuresError, missing_tests, read_known_failures

ENTRY = """
Title.

3. Command: pytest
   Test:    tests/test_a.py::test_one[True]
   Issue:   41
"""


def test_an_entry_names_its_test():
    assert read_known_failures(ENTRY) == {"tests/test_a.py::test_one[True]": 3}


# The name of a test that has a parameter with a space was cut there.
def test_the_name_of_a_test_may_have_spaces():
    entry = ENTRY.replace("[True]", "[its settings]")
    assert read_known_failures(entry) == {"tests/test_a.py::test_one[its settings]": 3}


def test_an_entry_without_a_test_is_an_error():
    with pytest.raises(KnownFailuresError, match="entry 4"):
        read_known_failures(ENTRY + "\n4. Command: pytest\n   Issue: 41\n")


def test_a_name_that_no_test_has_is_reported():
    known = {"tests/test_known_failures.py::test_gone": 1, "tests/test_no_such_file.py::test": 2}
    collected = {"tests/test_known_failures.py::test_an_entry_names_its_test"}
    assert missing_tests(known, collected) == sorted(known)
    assert missing_tests(known, set()) == ["tests/test_no_such_file.py::test"]


# A known failure that came in a run of CI left its test's name only, and its symptom was lost.
def test_symptom_of_a_known_failure_is_printed(tmp_path):
    tests = Path(__file__).parent
    (tmp_path / "tests").mkdir()
    for name in ("conftest.py", "known_failures.py"):
        shutil.copy(tests / name, tmp_path / "tests" / name)
    (tmp_path / "KNOWN-RED.txt").write_text(ENTRY)
    (tmp_path / "tests/test_a.py").write_text(
        "import pytest\n@pytest.mark.parametrize('value', [True])\n"
        "def test_one(value):\n    assert not value, 'no service within its time'\n"
    )
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"],
        cwd=tmp_path,
        env={"PYTHONPATH": str(tests.parent), "PATH": ""},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert run.returncode == 0 and "1 xfailed" in run.stdout
    assert "AssertionError: no service within its time" in run.stdout
