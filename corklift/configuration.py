"""Reads and validates the configuration of one balancer, at its start and again at SIGHUP.

The whole file is checked before any of it is used: a file with an error changes nothing.
Addresses are IPv4 only; host names are never resolved.
"""

from __future__ import annotations

import json
import socket
from typing import Any, NamedTuple

from corklift.interface import MeasurementKind
from corklift.net.limits import (
    MAX_DESCRIPTORS,
    ConfigError,
    Limits,
    raise_descriptor_limit,
    require_key,
)
from corklift.net.parsers import Listing, Malformed, parse_listing
from corklift.settings import MAX_TIME, SettingsError, pushed_measurement, report_names, translate


def parse_address(config: Any, key: str, override: str | None = None) -> tuple[str, int]:
    """Parses an address of the configuration, or `override` from the environment if it is set."""
    text = override or require_key(config, key, str)
    host, _, port = text.rpartition(":")
    try:
        # Rejects host names: resolving one would block the whole process at each connect.
        socket.inet_pton(socket.AF_INET, host)
        if not (port.isascii() and port.isdecimal()) or int(port) > 65535:
            raise ValueError
    except (OSError, ValueError):
        raise ConfigError(f"config: {key} holds {text!r:.60}") from None
    return host, int(port)


def _parse_names(settings: dict[str, Any], key: str) -> list[str]:
    names = settings.get(key, [])
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigError(f"config: settings.{key} holds {names!r:.60}")
    return names


def _parse_time(permissions: Any, key: str, minimum: int = 0) -> int:
    where = "settings.permissions."
    value: int = require_key(permissions, key, int, where)
    if not minimum <= value <= MAX_TIME:
        raise ConfigError(f"config: {where}{key} holds {value!r:.60}")
    return value


def read_config(path: str | None) -> Any:
    """Reads the JSON file that configures `corklift run`."""
    if not path:
        raise ConfigError("config: BALANCER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, ValueError, RecursionError) as problem:
        raise ConfigError(f"config: BALANCER_CONFIG: {problem}") from None


class Configuration(NamedTuple):
    """A validated configuration."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    known: Listing
    limits: Limits
    # Keyword arguments of `Balancer`.
    arguments: dict[str, Any]
    report_names: dict[str, str]
    pushed_measurement: tuple[MeasurementKind, int] | None
    localities: list[str]
    machine_types: list[str]
    # How long a probe connection is kept open while idle, in ns.
    probe_keepalive: int
    # Address of the admin endpoints, if enabled.
    admin: tuple[str, int] | None
    # The configuration as it was read.
    raw: dict[str, Any]

    @classmethod
    def parse(cls, config: Any, admin_override: str | None = None) -> Configuration:
        """Validates a configuration; `admin_override` replaces the address of the admin endpoints.

        Raises:
            ConfigError: names the key at fault.
        """
        listen, discovery = parse_address(config, "listen"), parse_address(config, "discovery")
        has_admin = bool(admin_override) or "admin_addr" in config
        admin = parse_address(config, "admin_addr", admin_override) if has_admin else None
        seed = require_key(config, "seed", (str, int))
        try:
            seed = seed if isinstance(seed, int) else int(seed, 16)
        except ValueError:
            raise ConfigError(f"config: seed holds {seed!r:.60}") from None
        settings = require_key(config, "settings", dict)
        try:
            arguments, _ = translate(settings)
            field_names, measurement = report_names(settings), pushed_measurement(settings)
        except SettingsError as problem:
            raise ConfigError(str(problem)) from None
        except (TypeError, ValueError, KeyError, AttributeError, OverflowError) as problem:
            raise ConfigError(f"config: settings: {problem!r:.60}") from None
        try:
            known = parse_listing(require_key(config, "known", dict))
        except Malformed as problem:
            raise ConfigError(f"config: known: {problem}") from None
        permissions = require_key(settings, "permissions", dict, "settings.")
        connect_timeout = _parse_time(permissions, "connect-timeout-ns", minimum=1)
        probe_keepalive = _parse_time(permissions, "keepalive-ns")
        max_time_limit = max(workload.time_limit for workload in arguments["workloads"])
        limits_table = require_key(config, "limits", dict)
        sockets = require_key(limits_table, "sockets", int, "limits.")
        if sockets > MAX_DESCRIPTORS:
            raise ConfigError(f"config: limits.sockets holds {sockets!r:.60}")
        limits_table = limits_table | {"sockets": raise_descriptor_limit(sockets)}
        try:
            limits = Limits.from_deployment(
                limits_table,
                connect_timeout,
                len(known.entries),
                max_time_limit,
                arguments["ask_within"],
                arguments["ask_for_list"],
                has_admin,
            )
        except OverflowError:
            raise ConfigError(f"config: limits holds {limits_table!r:.60}") from None
        return cls(
            listen,
            discovery,
            seed,
            known,
            limits,
            arguments,
            field_names,
            measurement,
            _parse_names(settings, "localities"),
            _parse_names(settings, "skus"),
            probe_keepalive,
            admin,
            config,
        )
