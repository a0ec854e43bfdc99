"""Tests of the rig itself: what it records of the ends and starts of its processes."""

import signal

from corklift.rig.checker import find_violations
from corklift.rig.fleet import Rig, Shape

ONE_BALANCER = Shape(balancers=1, servers=1, rate=0.0)


def run_rig(scenario):
    """Runs a scenario; returns the rig and the violations of its rules."""
    rig = Rig(ONE_BALANCER)
    rig.run(lambda rig: (scenario(rig), rig.record("finish")))
    assert rig.problems == []
    return rig, find_violations(rig.events, max(event.at for event in rig.events))


def starts_and_ends(rig, name):
    """Returns the recorded starts, and the exit statuses of the recorded ends, in their order."""
    return [
        event.fields.get("status", "started")
        for event in rig.events
        if event.what in ("started", "ended") and event.fields.get("who") == name
    ]


def test_a_start_in_the_moment_of_an_end_is_recorded_after_it():
    def scenario(rig):
        server = next(iter(rig.servers))
        rig.kill("b1", server)
        # The rig's tasks don't run meanwhile, so it has not read the ends of the pipes yet.
        for process in (rig.balancers["b1"], rig.servers[server]):
            process.process.wait()
        rig.start("b1")
        rig.start_server(server)
        rig.wait_until(lambda: len(rig.events_from("b1", "serving")) == 2)

    rig, violations = run_rig(scenario)
    assert violations == []
    for name in ("b1", *rig.servers):
        assert starts_and_ends(rig, name)[:3] == ["started", -signal.SIGKILL, "started"]


def test_an_end_that_nobody_asked_for_is_reported_with_its_status_and_last_lines():
    def scenario(rig):
        rig.balancers["b1"].signal(signal.SIGABRT)
        rig.wait_until(lambda: "b1" in [event.fields.get("who") for event in ends(rig)])

    def ends(rig):
        return [event for event in rig.events if event.what == "ended" and event.source == "rig"]

    rig, violations = run_rig(scenario)
    assert [violation.promise for violation in violations] == ["process"]
    assert f"b1 ended by itself with status {-signal.SIGABRT}" in violations[0].what
    # The last line of its log, as it was written.
    assert '"name": "b1"' in ends(rig)[0].fields["last"][-1]
    assert ends(rig)[0].fields["last"][-1] in violations[0].what
