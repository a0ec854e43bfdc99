"""All that one balancer is told before it starts, and again at SIGHUP: read and checked whole before any of it is used.

Owns the form of the balancer's own keys. Must never apply a part of a file that has a fault elsewhere, or look a name up.
"""

from __future__ import annotations

import json
import socket
from typing import Any, NamedTuple

from corklift.interface import MeasurementKind
from corklift.net.limits import ConfigError, Limits, raise_descriptor_limit, require_key
from corklift.net.parsers import Listing, Malformed, parse_listing
from corklift.settings import BadSettings, report_names, told_figure, translate


def address(config: Any, key: str, told: str | None = None) -> tuple[str, int]:
    """An address of the configuration, or the one that the environment tells instead."""
    text = told or require_key(config, key, str)
    host, _, port = text.rpartition(":")
    try:
        # Guards against a name, whose look-up would block everything at each connect.
        socket.inet_pton(socket.AF_INET, host)
        if not (port.isascii() and port.isdecimal()) or int(port) > 65535:
            raise ValueError
    except (OSError, ValueError):
        raise ConfigError(f"config: {key} holds {text!r:.60}") from None
    return host, int(port)


def _names(settings: dict[str, Any], key: str) -> list[str]:
    names = settings.get(key) or []
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigError(f"config: settings.{key} holds {names!r:.60}")
    return names


def read(path: str | None) -> Any:
    """The file of `run`: JSON."""
    if not path:
        raise ConfigError("config: BALANCER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, ValueError, RecursionError) as problem:
        raise ConfigError(f"config: BALANCER_CONFIG: {problem}") from None


class Configuration(NamedTuple):
    """All that the file tells, read and checked before any of it is used."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    known: Listing
    limits: Limits
    arguments: dict[str, Any]  # of the decisions
    report_names: dict[str, str]
    told: tuple[MeasurementKind, int] | None
    localities: list[str]
    kinds: list[str]
    kept_for: int  # how long a connection for probes idles
    admin: tuple[str, int] | None  # where operators call, if they do
    whole: dict[str, Any]  # as it was read

    @classmethod
    def of(cls, config: Any, admin_told: str | None = None) -> Configuration:
        listen, discovery = address(config, "listen"), address(config, "discovery")
        operated = bool(admin_told) or "admin_addr" in config
        admin = address(config, "admin_addr", admin_told) if operated else None
        seed = require_key(config, "seed", (str, int))
        try:
            seed = seed if isinstance(seed, int) else int(seed, 16)
        except ValueError:
            raise ConfigError(f"config: seed holds {seed!r:.60}") from None
        settings = require_key(config, "settings", dict)
        try:
            arguments, _ = translate(settings)
            names, told = report_names(settings), told_figure(settings)
        except BadSettings as problem:
            raise ConfigError(str(problem)) from None
        except (TypeError, ValueError, KeyError, AttributeError, OverflowError) as problem:
            raise ConfigError(f"config: settings: {problem!r:.60}") from None
        try:
            known = parse_listing(require_key(config, "known", dict))
        except Malformed as problem:
            raise ConfigError(f"config: known: {problem}") from None
        allow = require_key(settings, "permissions", dict, "settings.")
        connect_time = require_key(allow, "connect-timeout-ns", int, "settings.permissions.")
        longest = max(workload.time_limit for workload in arguments["workloads"])
        given = require_key(config, "limits", dict)
        given = given | {
            "sockets": raise_descriptor_limit(require_key(given, "sockets", int, "limits."))
        }
        try:
            limits = Limits.from_deployment(
                given,
                connect_time,
                len(known.entries),
                longest,
                arguments["ask_within"],
                arguments["ask_for_list"],
                operated,
            )
        except OverflowError:
            raise ConfigError(f"config: limits holds {given!r:.60}") from None
        return cls(
            listen,
            discovery,
            seed,
            known,
            limits,
            arguments,
            names,
            told,
            _names(settings, "localities"),
            _names(settings, "skus"),
            require_key(allow, "keepalive-ns", int, "settings.permissions."),
            admin,
            config,
        )
