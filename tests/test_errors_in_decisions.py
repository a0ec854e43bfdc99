"""An unexpected error while a login is decided: its client is answered, and nothing stays behind.

A balancer process on loopback sockets in virtual time; the test makes the decisions raise.
"""

import pytest
from crossings import OPEN, Scene, ScriptedClient

RESTORE = "OPEN 1 7f c=plain,at=s1\r\n"


class InjectedError(Exception):
    """The unexpected error of these tests."""


def fail(*arguments, **named) -> None:
    raise InjectedError


def client_lines(scene: Scene, name: str) -> list[str]:
    return [line for line in scene.lines(name) if line.startswith(f"{name} ")]


def check_nothing_left(scene: Scene) -> None:
    facade = scene.process.facade
    scene.run_until(scene.is_idle)
    assert facade.in_flight == 0 and facade.connection_count == 0
    assert not any(server.connections for server in facade._balancer._registry.ready)
    assert not any(server.unreported for server in facade._balancer._registry.ready)


# Each login that raised stayed registered for good, and its client was closed without an answer.
@pytest.mark.parametrize("hook", ["before_placement", "admission_check"])
def test_error_of_a_hook_before_the_decision_leaves_no_login_behind(hook):
    scene = Scene(probes=False)
    setattr(scene.process.facade, hook, fail)
    scene.client("c1", OPEN)
    scene.run(500)
    assert client_lines(scene, "c1") == ["c1 < FAILED", "c1 ended"]
    assert scene.counters["exceptions"] == 1
    check_nothing_left(scene)


# The same where the decisions raise, before or after they have entered the login.
@pytest.mark.parametrize("method", ["login_arrived", "_place", "_mean_cost.relative_load"])
def test_error_of_the_decision_leaves_no_login_behind(method):
    scene = Scene(probes=False)
    part, _, method = method.rpartition(".")
    balancer = scene.process.facade._balancer
    setattr(getattr(balancer, part) if part else balancer, method, fail)
    for number in range(20):
        scene.client(f"c{number}", OPEN)
    scene.run(500)
    for number in range(20):
        assert client_lines(scene, f"c{number}") == [f"c{number} < FAILED", f"c{number} ended"]
    check_nothing_left(scene)


# The count of open connections stayed too high for good.
def test_error_when_the_server_has_answered_leaves_no_connection_behind():
    scene = Scene(probes=False)
    scene.process.facade._balancer.hand_off_started = fail
    scene.client("c1", OPEN)
    scene.run(500)
    assert client_lines(scene, "c1") == ["c1 < FAILED", "c1 ended"]
    check_nothing_left(scene)


# A connection from before the start was entered too, and its client closed without an answer.
@pytest.mark.parametrize("method", ["connection_resumed", "_connection_opened"])
def test_error_of_a_restored_connection_leaves_nothing_behind(method):
    scene = Scene(probes=False)
    setattr(scene.process.facade._balancer, method, fail)
    scene.client("c1", RESTORE)
    scene.run(500)
    assert client_lines(scene, "c1") == ["c1 < FAILED", "c1 ended"]
    check_nothing_left(scene)


# Bad clients with such a load filled the memory: each left its login behind.
@pytest.mark.parametrize("text", [OPEN, RESTORE], ids=["login", "restored"])
@pytest.mark.parametrize("load", ["1e308", "1.7e308", "9" * 308], ids=["least", "most", "digits"])
def test_login_with_a_huge_stated_load_is_answered_and_leaves_nothing_behind(text, load):
    scene = Scene(probes=False)
    clients = [
        ScriptedClient(scene, f"c{number}", text.replace("\r\n", f",h={load}\r\n"))
        for number in range(50)
    ]
    scene.run(500)
    assert {client.receive() for client in clients} <= {b"ERR\r\n", b"FAILED\r\n"}
    for client in clients:
        client.leave("end")
    check_nothing_left(scene)
