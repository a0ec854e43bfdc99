"""`corklift serve FILE.toml`: the balancer of `run` with further parts, each switched on by its own table of the file.

Owns the form of that file and of the log. The table `[balancer]` holds the keys of `run`'s configuration, checked by the same
code. Must never be imported by `run`.
"""

from __future__ import annotations

import os
import socket
import sys
import tomllib
from collections.abc import Callable
from functools import partial
from typing import Annotated, Any

import msgspec
import structlog
from msgspec import Meta

from corklift.configuration import Configuration
from corklift.membership.peers import Peers, split
from corklift.net.limits import MS, ConfigError, Counters, Limits, LogWriter, raise_descriptor_limit
from corklift.service import BalancerProcess, Component, carry_on
from corklift.toml_tables import Table, locate_error

Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[!-~]+$")]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
REFUSED = 3  # how the program ends where its name is in use


class PeersTable(Table):
    name: Name  # of this balancer, its own in the fleet
    listen: Address
    join: list[Address] = []  # any of the others, or all
    advertise: Address | None = None  # where others reach `listen`, if elsewhere
    expected: Annotated[int, Meta(ge=1, le=4096)] | None = (
        None  # balancers that there may be; settings.balancers by default
    )
    zone: Annotated[str, Meta(max_length=100)] = ""
    period_ms: Annotated[int, Meta(ge=20, le=60_000)] = 1000  # between two probes
    links: Annotated[int, Meta(ge=4, le=256)] = 16  # to peers, kept
    via: dict[
        str, Address
    ] = {}  # by name or address of a peer, where it is reached from here instead

    @property
    def listen_address(self) -> tuple[str, int]:
        return split(self.listen)

    @property
    def advertised_address(self) -> str:
        return self.advertise or ("" if self.listen_address[1] == 0 else self.listen)


class StoreTable(Table):
    path: Annotated[
        str, Meta(min_length=1, max_length=1000)
    ]  # a folder of this balancer alone, on a disk that outlives a restart
    boot: str = (
        "/proc/sys/kernel/random/boot_id"  # a file that tells this boot of the machine from others
    )
    patience_ms: Annotated[int, Meta(ge=20, le=60_000)] = (
        3000  # for the disk's first answer; then it starts with what others tell
    )
    copies: Annotated[int, Meta(ge=0, le=16)] = (
        2  # other balancers on whose disk a word is before operators get a yes
    )


class ServeTable(Table):
    balancer: dict[str, Any]
    peers: PeersTable | None = None
    store: StoreTable | None = None

    def whole(self) -> dict[str, Any]:
        """What `run` would be given; descriptors for peers are put aside, so that clients never take the last one."""
        given = {"known": {"index": 0, "snapshot": True, "endpoints": []}} | self.balancer
        limits = given.get("limits")
        if (
            self.peers is not None
            and isinstance(limits, dict)
            and isinstance(limits.get("sockets"), int)
        ):
            raise_descriptor_limit(limits["sockets"])
            given["limits"] = limits | {"sockets": limits["sockets"] - 3 * self.peers.links - 4}
        return given


def read(path: str) -> ServeTable:
    """Raises:
    ConfigError: names the key at fault.
    """
    try:
        with open(path, "rb") as file:
            found = msgspec.convert(tomllib.load(file), ServeTable)
    except msgspec.ValidationError as problem:
        key, text = locate_error(problem)
        raise ConfigError(f"config: {key}: {text}") from None
    except (OSError, ValueError, RecursionError) as problem:
        raise ConfigError(f"config: {path}: {problem}") from None
    peers = found.peers
    if peers is not None:
        if peers.listen_address[0] == "0.0.0.0" and peers.advertise is None:
            # Guards against a member that tells all others to call themselves.
            raise ConfigError(
                "config: peers.advertise is missing: listen holds every address, and others need one"
            )
        for key, address in [
            ("listen", peers.listen),
            ("advertise", peers.advertise or peers.listen),
            *(("join", at) for at in peers.join),
            *((f"via.{name}", at) for name, at in peers.via.items()),
        ]:
            host, port = split(address)
            try:
                socket.inet_pton(socket.AF_INET, host)
            except OSError:
                raise ConfigError(
                    f"config: peers.{key} holds {address!r}, an IPv4 address and a port are needed"
                ) from None
            if port > 65535:
                raise ConfigError(f"config: peers.{key} holds {address!r}: there is no such port")
    return found


class JsonLogWriter(LogWriter):
    """Each line a JSON object, by structlog's renderers: `at_ns` on the one clock, `event`, and what the event brings."""

    def __init__(
        self, limits: Limits, now: Callable[[], int], counters: Counters, name: str = ""
    ) -> None:
        super().__init__(limits, now, counters)
        self._clock, self._name = now, name
        self._fields: dict[str, Any] = {}
        self._render = structlog.processors.JSONRenderer()

    def write_event(self, event: str, **fields: Any) -> None:
        self._fields = fields
        self.write(event, always=True)
        self._fields = {}

    def format_line(self, text: str) -> str:
        line = self._render(
            None,
            "info",
            {"at_ns": self._clock(), "name": self._name, "event": text[:1900]} | self._fields,
        )
        return str(line)


def main(path: str) -> int:
    made: list[Any] = []

    def make() -> BalancerProcess:
        given = read(path)
        if given.peers is not None and os.environ.get("BALANCER_LISTEN_FD"):
            raise ConfigError(
                "environment: BALANCER_LISTEN_FD is set: with peers no socket is taken over, as both would have one name"
            )
        name = given.peers.name if given.peers else ""

        def component(process: BalancerProcess) -> Component:
            assert isinstance(process.log_writer, JsonLogWriter)
            tell, peers, store = process.log_writer.write_event, given.peers, given.store
            if store is None:
                assert peers is not None
                made.append(Peers(process, peers, tell))
            else:
                from corklift.recovery.driver import MAX_MESSAGE, RecoveryDriver

                made.append(
                    RecoveryDriver(
                        process,
                        store,
                        name,
                        (peers.period_ms if peers else 1000) * MS,
                        tell,
                        None
                        if peers is None
                        else lambda further: Peers(
                            process,
                            peers,
                            tell,
                            wait_for_recovery=True,
                            max_message=MAX_MESSAGE,
                            extra_methods=further,
                        ),
                    )
                )
            return made[0]

        return BalancerProcess(
            given.whole(),
            read_anew=lambda: read(path).whole(),
            log_writer=partial(JsonLogWriter, name=name),
            components=[component] if given.peers or given.store else [],
        )

    code = carry_on(make)
    if made and made[0].rejection_reason:
        print(f"corklift: {made[0].rejection_reason}", file=sys.stderr)
        return REFUSED
    return code


def check(path: str) -> str:
    """Raises:
    ConfigError: names the key at fault.
    """
    given = read(path)
    whole = Configuration.of(given.whole())
    peers = f", peers of {given.peers.name}" if given.peers else ", alone"
    store = f", kept in {given.store.path}" if given.store else ""
    return f"{path}: {len(whole.arguments['workloads'])} workloads, {whole.limits.clients} clients{peers}{store}"
