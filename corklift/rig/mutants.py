"""A balancer with a deliberate fault put into it at its start: `python -m corklift.rig.mutants NAME serve FILE`.

Owns the faults by which the checker is proven, each a change of one thing in this process alone. Must never be imported by the
product, or by what judges.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

from corklift import service
from corklift.interface import Status
from corklift.membership import core, count
from corklift.membership.messages import MemberState
from corklift.membership.peers import Peers
from corklift.net import relay
from corklift.net.facade import Facade
from corklift.net.relay import Relay
from corklift.policy import ColdBudget, RetryPolicy
from corklift.rig import disks
from corklift.store import files


def falls_with_silence() -> None:
    """The count follows who is heard."""
    count.BalancerCount.value = property(lambda self: 1 + len(self._alive))  # type: ignore[assignment]


def counts_itself_alone() -> None:
    """The count is never taken over."""
    Peers.count_changed = lambda self, count: self._log_event("count", balancers=1)  # type: ignore[method-assign]


def never_denies() -> None:
    """It hears that it is suspected and says nothing."""
    core.Membership._merge_own_record = lambda self, now, record: None  # type: ignore[method-assign]


def calls_dead_at_once() -> None:
    """No suspicion: one call without an answer is a death."""

    def suspect(self: Any, now: int, record: Any) -> None:
        self._declare_dead(now, record.name, record.instance_id)

    core.Membership._suspect = suspect  # type: ignore[method-assign]
    core.Membership._request_relays = lambda self, now, probe: None  # type: ignore[method-assign]


def calls_the_living_dead() -> None:
    """Whoever is probed is called dead now and then."""
    plain = core.Membership._keep_probing

    def probing(self: Any, now: int) -> None:
        plain(self, now)
        if self.own_record.name and self._next_request_id % 40 >= 36 and self.live_members:
            self._declare_dead(now, self.live_members[0].name, self.live_members[0].instance_id)

    core.Membership._keep_probing = probing  # type: ignore[method-assign]


def says_others_left() -> None:
    """A death is told as a leaving on purpose."""

    def gone(self: Any, now: int, name: str, instance_id: int) -> None:
        held = self.table.get(name)
        if (
            held is not None
            and held.instance_id == instance_id
            and held.state <= MemberState.SUSPECT
        ):
            self._merge_record(now, core.updated_record(held, state=MemberState.LEFT))

    core.Membership._declare_dead = gone  # type: ignore[method-assign]
    core.Membership._suspect = lambda self, now, record: gone(  # type: ignore[method-assign]
        self, now, record.name, record.instance_id
    )


def never_probes() -> None:
    """It waits to be told who has died."""
    core.Membership._keep_probing = lambda self, now: setattr(
        self, "_next_probe_at", now + self._config.period
    )  # type: ignore[method-assign]
    core.Membership._merge_record = _deaf(core.Membership._merge_record)  # type: ignore[method-assign]


def _deaf(plain: Any) -> Any:
    def take(self: Any, now: int, record: Any) -> None:
        if record.state not in (MemberState.DEAD, MemberState.LEFT):
            plain(self, now, record)

    return take


def loses_logins() -> None:
    """Each twentieth client's connection is ended without an answer."""
    plain, seen = Relay._place_login, [0]

    def place(self: Any, client: Any, request: Any) -> None:
        seen[0] += 1
        if seen[0] % 20 == 0:
            client.close()
        else:
            plain(self, client, request)

    Relay._place_login = place  # type: ignore[method-assign]


def answers_late() -> None:
    """Each twentieth login waits past its time limit."""
    arrived, seen = Facade.place_login, [0]

    def pick(self: Any, login_request: Any, until: int) -> Any:
        seen[0] += 1
        if seen[0] % 20 == 0:
            self._scheduler.sleep(4_200_000_000)
        return arrived(self, login_request, until)

    Facade.place_login = pick  # type: ignore[method-assign]


def sends_twice() -> None:
    """A once-only login is tried again whatever became of it, and each answer of a server is taken for a failure once."""
    RetryPolicy._may_have_run = lambda self, state: []  # type: ignore[method-assign]
    plain, seen = relay.parse_server_line, [0]

    def read(line: bytes) -> Any:
        word, rest = plain(line)
        if word == "UP":
            seen[0] += 1
            if seen[0] % 5 == 0:
                return "ERR", b""  # as if the server had answered so, after it ran
        return word, rest

    relay.parse_server_line = read


def ignores_drains() -> None:
    """What the list says of leaving is not heard."""
    plain = Facade.apply_listing

    def listed(self: Any, scope: Any, content: Any) -> None:
        entries = [
            entry._replace(status=Status.READY) if entry.status is Status.DRAINING else entry
            for entry in content.entries
        ]
        plain(self, scope, content._replace(entries=tuple(entries)))

    Facade.apply_listing = listed  # type: ignore[method-assign]


def no_cold_guard() -> None:
    """A cold server is drawn like any other."""
    ColdBudget.admission_probability = lambda self, now, server, state: 1.0  # type: ignore[method-assign]
    ColdBudget.admits = lambda self, now, server, state, rng: True  # type: ignore[method-assign]


def speaks_twice() -> None:
    """A refusal is followed by a second line."""
    plain = Relay._finish

    def finish(self: Any, client: Any, line: bytes = b"") -> None:
        plain(self, client, line + b"BUSY\r\n" if line else line)

    Relay._finish = finish  # type: ignore[method-assign]


def played_disks() -> None:
    """No fault of the program: its file layer plays what the rig tells it, in a folder beside the store's."""

    def played(path: str, create: bool = True) -> disks.FaultyDiskFiles:
        return disks.FaultyDiskFiles(path, create, os.path.dirname(path) + ".rig")

    files.DiskFiles = played  # type: ignore[assignment,misc]


def jumping_clock() -> None:
    """No fault of the program: its clock is off by what the rig says in a file, at the start and from each SIGUSR2 on."""
    path = sys.argv[-1][:-5] + ".clock"  # beside the balancer's file
    offset = [0]

    def look(*_: Any) -> None:
        try:
            with open(path, encoding="ascii") as file:
                offset[0] = int(file.read() or 0)
        except (OSError, ValueError):
            pass

    look()
    signal.signal(signal.SIGUSR2, look)
    true = service.wall_clock()
    service.wall_clock = lambda: lambda: true() + offset[0]


MUTANTS = {
    name: made
    for name, made in list(globals().items())
    if callable(made) and getattr(made, "__module__", "") == __name__ and not name.startswith("_")
}


if __name__ == "__main__":
    for wanted in sys.argv[1].split(","):
        MUTANTS[wanted]()
    sys.argv = ["corklift", *sys.argv[2:]]
    from corklift.__main__ import main

    sys.exit(main())
