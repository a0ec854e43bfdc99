"""Mutants: balancers with a deliberate fault, for testing the checker.

    python -m corklift.rig.mutants NAME[,NAME...] [serve FILE]

Each function patches one behaviour of the program in this process before it starts; the checker
must find the result. Neither the product nor the checker imports this module. `rig list` prints the
names and docstrings of the functions.
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
    """The number of balancers falls as soon as a member is no longer heard from."""
    count.BalancerCount.value = property(lambda self: 1 + len(self._alive))  # type: ignore[assignment]


def counts_itself_alone() -> None:
    """The number of balancers stays at one, whatever membership reports."""
    Peers.count_changed = lambda self, count: self._log_event("count", balancers=1)  # type: ignore[method-assign]


def never_denies() -> None:
    """A member that is suspected never denies it."""
    core.Membership._merge_own_record = lambda self, now, record: None  # type: ignore[method-assign]


def calls_dead_at_once() -> None:
    """A member is declared dead after one unanswered probe, without being suspected first."""

    def suspect(self: Any, now: int, record: Any) -> None:
        self._declare_dead(now, record.name, record.instance_id)

    core.Membership._suspect = suspect  # type: ignore[method-assign]
    core.Membership._request_relays = lambda self, now, probe: None  # type: ignore[method-assign]


def calls_the_living_dead() -> None:
    """A live member is declared dead now and then."""
    original = core.Membership._keep_probing

    def probing(self: Any, now: int) -> None:
        original(self, now)
        if self.own_record.name and self._next_request_id % 40 >= 36 and self.live_members:
            self._declare_dead(now, self.live_members[0].name, self.live_members[0].instance_id)

    core.Membership._keep_probing = probing  # type: ignore[method-assign]


def says_others_left() -> None:
    """A dead member is announced as one that left on purpose."""

    def declare_left(self: Any, now: int, name: str, instance_id: int) -> None:
        member = self.table.get(name)
        if (
            member is not None
            and member.instance_id == instance_id
            and member.state <= MemberState.SUSPECT
        ):
            self._merge_record(now, core.updated_record(member, state=MemberState.LEFT))

    core.Membership._declare_dead = declare_left  # type: ignore[method-assign]
    core.Membership._suspect = lambda self, now, record: declare_left(  # type: ignore[method-assign]
        self, now, record.name, record.instance_id
    )


def never_probes() -> None:
    """A member sends no probes and ignores every report of a death or a departure."""
    core.Membership._keep_probing = lambda self, now: setattr(  # type: ignore[method-assign]
        self, "_next_probe_at", now + self._config.period
    )
    core.Membership._merge_record = _ignore_deaths(core.Membership._merge_record)  # type: ignore[method-assign]


def _ignore_deaths(original: Any) -> Any:
    def merge_record(self: Any, now: int, record: Any) -> None:
        if record.state not in (MemberState.DEAD, MemberState.LEFT):
            original(self, now, record)

    return merge_record


def loses_logins() -> None:
    """Every twentieth client's connection is closed without an answer."""
    original, calls = Relay._place_login, [0]

    def place_login(self: Any, client: Any, request: Any) -> None:
        calls[0] += 1
        if calls[0] % 20 == 0:
            client.close()
        else:
            original(self, client, request)

    Relay._place_login = place_login  # type: ignore[method-assign]


def answers_late() -> None:
    """Every twentieth login is answered after its time limit."""
    original, calls = Facade.place_login, [0]

    def place_login(self: Any, handle: Any, login_request: Any) -> None:
        calls[0] += 1
        if calls[0] % 20 == 0:
            self._scheduler.sleep(4_200_000_000)
        original(self, handle, login_request)

    Facade.place_login = place_login  # type: ignore[method-assign]


def sends_twice() -> None:
    """Once-only logins are retried, and every fifth success of a server is read as an error."""
    RetryPolicy._may_have_run = lambda self, state: []  # type: ignore[method-assign]
    original, successes = relay.parse_server_line, [0]

    def parse_server_line(line: bytes) -> Any:
        word, rest = original(line)
        if word == "UP":
            successes[0] += 1
            if successes[0] % 5 == 0:
                # The login ran at the server, and the balancer takes it for failed.
                return "ERR", b""
        return word, rest

    relay.parse_server_line = parse_server_line


def ignores_drains() -> None:
    """Servers that the list marks as draining are treated as ready."""
    original = Facade.apply_listing

    def apply_listing(self: Any, scope: Any, content: Any) -> None:
        entries = [
            entry._replace(status=Status.READY) if entry.status is Status.DRAINING else entry
            for entry in content.entries
        ]
        original(self, scope, content._replace(entries=tuple(entries)))

    Facade.apply_listing = apply_listing  # type: ignore[method-assign]


def no_cold_guard() -> None:
    """A cold server is drawn like any other server."""
    ColdBudget.admission_probability = lambda self, now, server, state: 1.0  # type: ignore[method-assign]
    ColdBudget.admits = lambda self, now, server, state, rng: True  # type: ignore[method-assign]


def speaks_twice() -> None:
    """A final answer is followed by a second line."""
    original = Relay._finish

    def finish(self: Any, client: Any, line: bytes = b"") -> None:
        original(self, client, line + b"BUSY\r\n" if line else line)

    Relay._finish = finish  # type: ignore[method-assign]


def stops_late() -> None:
    """The process goes on after the time in which it has to stop."""
    original = Relay.stop

    def stop(self: Any, started_at: int) -> None:
        original(self, started_at)
        self._scheduler.sleep(5_000_000_000)

    Relay.stop = stop  # type: ignore[method-assign]


def ends_with_an_error() -> None:
    """The process ends with an exit status other than 0 after it was told to stop."""

    def fail(self: Any) -> None:
        raise SystemExit(9)

    service.BalancerProcess._flush_log = fail  # type: ignore[method-assign]


def cuts_connections() -> None:
    """Connections are closed without MOVE."""
    original = Relay._finish

    def finish(self: Any, client: Any, line: bytes = b"") -> None:
        original(self, client, b"" if line == relay.MOVE else line)

    Relay._finish = finish  # type: ignore[method-assign]


def leaks_descriptors() -> None:
    """Each login leaves a descriptor open."""
    original = Relay._place_login

    def place_login(self: Any, client: Any, request: Any) -> None:
        os.dup(client.fd)
        original(self, client, request)

    Relay._place_login = place_login  # type: ignore[method-assign]


def leaks_memory() -> None:
    """Each login leaves 256 kB in use."""
    original, kept = Relay._place_login, []

    def place_login(self: Any, client: Any, request: Any) -> None:
        kept.append(b"x" * (256 << 10))
        original(self, client, request)

    Relay._place_login = place_login  # type: ignore[method-assign]


def played_disks() -> None:
    """Not a fault of the program: its disk has the faults that the rig writes beside its store."""

    def open_faulty_files(path: str, create: bool = True) -> disks.FaultyDiskFiles:
        return disks.FaultyDiskFiles(path, create, os.path.dirname(path) + ".rig")

    files.DiskFiles = open_faulty_files  # type: ignore[assignment,misc]


def jumping_clock() -> None:
    """Not a fault of the program: its clock has the offset that the rig writes to a file."""
    # The file lies beside the balancer's configuration; it is read at start and on each SIGUSR2.
    path = sys.argv[-1][:-5] + ".clock"
    offset = [0]

    def read_offset(*_: Any) -> None:
        try:
            with open(path, encoding="ascii") as file:
                offset[0] = int(file.read() or 0)
        except (OSError, ValueError):
            pass

    read_offset()
    signal.signal(signal.SIGUSR2, read_offset)
    real_clock = service.wall_clock()
    service.wall_clock = lambda: lambda: real_clock() + offset[0]


MUTANTS = {
    name: value
    for name, value in list(globals().items())
    if callable(value) and getattr(value, "__module__", "") == __name__ and not name.startswith("_")
}


if __name__ == "__main__":
    for mutant in sys.argv[1].split(","):
        MUTANTS[mutant]()
    sys.argv = ["corklift", *sys.argv[2:]]
    from corklift.__main__ import main

    sys.exit(main())
