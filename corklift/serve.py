"""`corklift serve FILE.toml`: a balancer with peers, a store, or both, and a JSON log.

The table `[balancer]` holds the keys of the configuration of `corklift run`, which the same code
validates; the tables `[peers]` and `[store]` each enable a component. `corklift run` must not
import this module, as it needs packages outside the standard library.
"""

from __future__ import annotations

import json
import os
import socket
import sys
import tomllib
from collections.abc import Callable
from functools import partial
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from corklift.configuration import Configuration
from corklift.membership.peers import Peers, split
from corklift.net.limits import MS, ConfigError, Counters, Limits, LogWriter, raise_descriptor_limit
from corklift.service import BalancerProcess, Component, run_process
from corklift.toml_tables import Table, locate_error

Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[!-~]+$")]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
# The exit status if another process of the fleet uses the name of this balancer.
EXIT_NAME_IN_USE = 3


class PeersTable(Table):
    """The table `[peers]`: membership of a fleet of balancers."""

    # The name of this balancer, unique in the fleet.
    name: Name
    listen: Address
    # Addresses of some or all other balancers.
    join: list[Address] = []
    # The address at which others reach `listen`, if it differs.
    advertise: Address | None = None
    # Number of balancers assumed until they are known by name; settings.balancers by default.
    expected: Annotated[int, Meta(ge=1, le=4096)] | None = None
    zone: Annotated[str, Meta(max_length=100)] = ""
    # Time between two probes of peers.
    period_ms: Annotated[int, Meta(ge=20, le=60_000)] = 1000
    # Connections to peers that are kept open.
    links: Annotated[int, Meta(ge=4, le=256)] = 16
    # Address to use from here instead of a peer's own, by its name or address.
    via: dict[str, Address] = {}

    @property
    def listen_address(self) -> tuple[str, int]:
        return split(self.listen)

    @property
    def advertised_address(self) -> str:
        """The address announced to peers; empty if the system chooses the port."""
        return self.advertise or ("" if self.listen_address[1] == 0 else self.listen)


class StoreTable(Table):
    """The table `[store]`: state that outlives a restart."""

    # A directory for this balancer alone, on a disk that outlives a restart.
    path: Annotated[str, Meta(min_length=1, max_length=1000)]
    # A file whose content differs at each boot of the machine.
    boot: str = "/proc/sys/kernel/random/boot_id"
    # How long the disk may take to answer at the start; after that the balancer starts with what
    # its peers know.
    patience_ms: Annotated[int, Meta(ge=20, le=60_000)] = 3000
    # Number of other balancers that store an operator override before it is acknowledged.
    copies: Annotated[int, Meta(ge=0, le=16)] = 2


class ServeTable(Table):
    """The whole file."""

    balancer: dict[str, Any]
    peers: PeersTable | None = None
    store: StoreTable | None = None

    def balancer_config(self) -> dict[str, Any]:
        """Returns the configuration as `corklift run` takes it.

        Reserves descriptors for the links to peers, so that clients never use up all of them.
        """
        config = {"known": {"index": 0, "snapshot": True, "endpoints": []}} | self.balancer
        limits = config.get("limits")
        if (
            self.peers is not None
            and isinstance(limits, dict)
            and isinstance(limits.get("sockets"), int)
        ):
            raise_descriptor_limit(limits["sockets"])
            config["limits"] = limits | {"sockets": limits["sockets"] - 3 * self.peers.links - 4}
        return config


def read_config(path: str) -> ServeTable:
    """Reads and validates the TOML file, except for the content of `[balancer]`.

    Raises:
        ConfigError: names the key at fault.
    """
    try:
        with open(path, "rb") as file:
            table = msgspec.convert(tomllib.load(file), ServeTable)
    except msgspec.ValidationError as problem:
        key, text = locate_error(problem)
        raise ConfigError(f"config: {key}: {text}") from None
    except (OSError, ValueError, RecursionError) as problem:
        raise ConfigError(f"config: {path}: {problem}") from None
    peers = table.peers
    if peers is not None:
        if peers.listen_address[0] == "0.0.0.0" and peers.advertise is None:
            # Peers that were given 0.0.0.0 would connect to themselves.
            raise ConfigError(
                "config: peers.advertise is missing; peers cannot connect to 0.0.0.0 of listen"
            )
        for key, address in [
            ("listen", peers.listen),
            ("advertise", peers.advertise or peers.listen),
            *(("join", peer_address) for peer_address in peers.join),
            *((f"via.{name}", peer_address) for name, peer_address in peers.via.items()),
        ]:
            host, port = split(address)
            try:
                socket.inet_pton(socket.AF_INET, host)
            except OSError:
                raise ConfigError(
                    f"config: peers.{key} holds {address!r}; expected an IPv4 address and a port"
                ) from None
            if port > 65535:
                raise ConfigError(
                    f"config: peers.{key} holds {address!r}; the port is out of range"
                )
    return table


class JsonLogWriter(LogWriter):
    """Writes each line as a JSON object: `at_ns`, `name`, `event`, and the fields of the event."""

    def __init__(
        self, limits: Limits, now: Callable[[], int], counters: Counters, name: str = ""
    ) -> None:
        super().__init__(limits, now, counters)
        self._clock, self._name = now, name
        self._fields: dict[str, Any] = {}

    def write_event(self, event: str, **fields: Any) -> None:
        """Writes an event with fields of its own; never dropped by the limit on lines."""
        self._fields = fields
        self.write(event, always=True)
        self._fields = {}

    def format_line(self, text: str) -> str:
        event = {"at_ns": self._clock(), "name": self._name, "event": text[:1900]}
        return json.dumps(event | self._fields, default=repr)


def main(path: str) -> int:
    """Runs the balancer that the file configures; returns the exit status."""
    created: list[Any] = []

    def create_process() -> BalancerProcess:
        config = read_config(path)
        if config.peers is not None and os.environ.get("BALANCER_LISTEN_FD"):
            raise ConfigError(
                "environment: BALANCER_LISTEN_FD is set, which is not possible with peers: "
                "the old and the new process would have the same name"
            )
        name = config.peers.name if config.peers else ""

        def create_component(process: BalancerProcess) -> Component:
            assert isinstance(process.log_writer, JsonLogWriter)
            log_event, peers, store = process.log_writer.write_event, config.peers, config.store
            if store is None:
                assert peers is not None
                created.append(Peers(process, peers, log_event))
            else:
                from corklift.recovery.driver import MAX_MESSAGE, RecoveryDriver

                created.append(
                    RecoveryDriver(
                        process,
                        store,
                        name,
                        (peers.period_ms if peers else 1000) * MS,
                        log_event,
                        None
                        if peers is None
                        else lambda extra_methods: Peers(
                            process,
                            peers,
                            log_event,
                            wait_for_recovery=True,
                            max_message=MAX_MESSAGE,
                            extra_methods=extra_methods,
                        ),
                    )
                )
            return created[0]

        return BalancerProcess(
            config.balancer_config(),
            reload_config=lambda: read_config(path).balancer_config(),
            log_writer=partial(JsonLogWriter, name=name),
            components=[create_component] if config.peers or config.store else [],
        )

    code = run_process(create_process)
    if created and created[0].rejection_reason:
        print(f"corklift: {created[0].rejection_reason}", file=sys.stderr)
        return EXIT_NAME_IN_USE
    return code


def check(path: str) -> str:
    """Validates the whole file without starting anything; returns a one-line summary.

    Raises:
        ConfigError: names the key at fault.
    """
    config = read_config(path)
    configuration = Configuration.parse(config.balancer_config())
    peers = f", peers of {config.peers.name}" if config.peers else ", alone"
    store = f", store in {config.store.path}" if config.store else ""
    return (
        f"{path}: {len(configuration.arguments['workloads'])} workloads, "
        f"{configuration.limits.clients} clients{peers}{store}"
    )
