"""Scenarios of the rig that no other test plays: limits of memory, descriptors, clocks and starts; a loss of power with a bad disk."""

import pytest

from corklift.rig.checker import judge
from corklift.rig.scenario import BadScenario, play, read


@pytest.mark.parametrize("name", ["limits", "power_loss"])
def test_all_promises_are_kept(name):
    rig = play(read(f"examples/rig/{name}.toml"))
    assert judge(rig.events, max(event.at for event in rig.events)) == []
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
    with pytest.raises(BadScenario, match="times"):
        read(str(path))
