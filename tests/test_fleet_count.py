"""The log line that summarises a second of one balancer, and the tool that adds up a fleet's."""

import sys
from pathlib import Path

from harness import BalancerHarness

sys.path.insert(0, str(Path(__file__).parent.parent / "tools"))
from fleet_count import count  # noqa: E402

OPEN = "OPEN 1 7f c=plain,d=2000,x=9\r\n"


def test_a_second_with_problems_is_summarised_once_and_any_other_is_not():
    harness = BalancerHarness("up", "busy")
    harness.client("c1", OPEN)
    harness.run(4000)
    harness.behaviour["s1"] = "busy"
    lines_before = [line for line in harness.second_lines if "bounced" in line]
    for number in range(5):
        harness.client(f"d{number}", OPEN)
    harness.run(3000)
    assert not lines_before
    (line,) = [line for line in harness.second_lines if "bounced" in line]
    assert line.startswith("second: logins=5 bounced=5 hand-offs=") and "failed" not in line, line


def test_log_lines_of_a_fleet_are_added_up_by_second_and_by_server():
    first_log = [
        "7.100 corklift: second: logins=2 bounced=1 list failures=1\n",
        "7.300 corklift: discovery: Overbooked status 503, 1 in a row;"
        " the known list stays in force\n",
        "8.000 corklift: server s-1 hot at 1.20: moved 2 of 3\n",
        "no time\n",
    ]
    second_log = [
        "7.900 corklift: second: logins=3\n",
        "8.500 corklift: server s-1 hot at 1.20: moved 1 of 3\n",
        "8.600 corklift: server s-2 out of the draw: 2 hand-offs failed in a row\n",
    ]
    sums, servers, unread = count([first_log, second_log])
    assert sums[7] == {"logins": 5, "bounced": 1, "list failures": 1, "list refused": 1}
    assert (
        sums[8] == {"hot": 2, "out": 1}
        and servers[8] == {"s-1 hot": 2, "s-2 out": 1}
        and unread == 1
    )
