"""Scenarios of the rig that no other test runs: limits, clocks, starts and a loss of power."""

import pytest

from corklift.rig.checker import find_violations
from corklift.rig.scenario import ScenarioError, read_scenario, run_scenario


@pytest.mark.parametrize("name", ["limits", "power_loss"])
def test_all_promises_are_kept(name):
    rig = run_scenario(read_scenario(f"examples/rig/{name}.toml"))
    assert find_violations(rig.events, max(event.at for event in rig.events)) == []
    assert (
        sum(event.what == "answer" and event.fields["word"] == "UP" for event in rig.events) > 100
    )
    what = {event.fields["kind"] for event in rig.events if event.what == "fault"}
    assert what == ({"memory", "descriptors", "kill", "stop"} if name == "limits" else {"power"})


def test_a_scenario_with_a_bad_key_names_it(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text(
        'name = "x"\nseconds = 3\n[[troubles]]\nat_s = 1\nkind = "starts fail"\ntimes = 99\n'
    )
    with pytest.raises(ScenarioError, match="times"):
        read_scenario(str(path))
