"""Tests that run scenarios of the rig: limits of memory and descriptors, clocks, starts, and a
power loss with a bad disk.
"""

import pytest

from corklift.rig.checker import find_violations
from corklift.rig.scenario import ScenarioError, read_scenario, run_scenario


@pytest.mark.parametrize("name", ["limits", "power_loss"])
def test_scenarios_violate_no_rule(name):
    rig = run_scenario(read_scenario(f"examples/rig/{name}.toml"))
    assert find_violations(rig.events, max(event.at for event in rig.events)) == []
    assert (
        sum(event.what == "answer" and event.fields["word"] == "UP" for event in rig.events) > 100
    )
    kinds = {event.fields["kind"] for event in rig.events if event.what == "fault"}
    assert kinds == ({"memory", "descriptors", "kill", "stop"} if name == "limits" else {"power"})


def test_a_scenario_error_names_the_key(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text(
        'name = "x"\nseconds = 3\n[[troubles]]\nat_s = 1\nkind = "starts fail"\ntimes = 99\n'
    )
    with pytest.raises(ScenarioError, match="times"):
        read_scenario(str(path))
