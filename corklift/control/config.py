"""The control service's configuration: a TOML file, read into typed tables.

The whole file is checked before any of it is applied.
"""

from __future__ import annotations

import socket
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from corklift.control import subscriptions, weights
from corklift.control.resources import ListenerSpec, Route
from corklift.interface import ColdRule, Workload
from corklift.net.limits import Limits
from corklift.rpc.core import MS, SECOND, RpcLimits
from corklift.toml_tables import Table, locate_error

# The fraction of a cold server's `multiple` that the weights give out; the rest covers that each
# proxy draws at random, and that it applies new weights late.
PROXY_DRAW_FRACTION = 0.8

Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[!-~]+$")]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]
MillisecondsOrZero = Annotated[int, Meta(ge=0, le=3_600_000)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]


class ControlConfigError(Exception):
    """The configuration is invalid; the message names the key."""


class WorkloadTable(Table):
    """A kind of login, with its importance and time limits."""

    name: Name
    importance: Annotated[float, Meta(gt=0, le=1e9)] = 1.0
    soft_limit_ms: Milliseconds = 800
    time_limit_ms: Milliseconds = 3200


class RouteTable(Table):
    """Which requests of a listener belong to a workload."""

    workload: Name
    prefix: Annotated[str, Meta(pattern="^/")] = "/"


class ListenerTable(Table):
    """A listener of the proxies."""

    name: Name
    routes: Annotated[list[RouteTable], Meta(min_length=1)]
    address: Address | None = None
    protocol: Literal["http", "tcp"] = "http"


class WeightsTable(Table):
    """How often, and from which change on, weights are published."""

    every_ms: Annotated[int, Meta(ge=50, le=60_000)] = 1000
    dead_band: Fraction = 0.02
    log: bool = False


class FreshnessTable(Table):
    """How long proxies may use what they were sent, and how long the service waits for them."""

    endpoint_stale_after_ms: MillisecondsOrZero = 0
    ttl_ms: MillisecondsOrZero = 0
    ack_wait_ms: Milliseconds = 2000
    hold_ms: Milliseconds = 3000


class ColdTable(Table):
    """How many logins a newly started server receives at first."""

    start_share: Annotated[float, Meta(gt=0, le=1)] = 0.3
    ramp_ms: MillisecondsOrZero = 0
    multiple: Annotated[float, Meta(gt=0, le=100)] = 2.0
    span_ms: Milliseconds = 1000


class ReportTable(Table):
    """Names of the fields in the servers' load reports."""

    count: Name = "inflight"
    pressure: Name | None = None
    busy: Name | None = None


class LoadReportsTable(Table):
    """How often proxies report the logins that they placed."""

    every_ms: Annotated[int, Meta(ge=50, le=60_000)] = 500


class LimitsTable(Table):
    """Limits of connections, requests and time."""

    proxies: Annotated[int, Meta(ge=1, le=100_000)] = 2000
    message_bytes: Annotated[int, Meta(ge=1024, le=64 << 20)] = 4 << 20
    names: Annotated[int, Meta(ge=1, le=1_000_000)] = 5000
    control_frames: Annotated[int, Meta(ge=10, le=1_000_000)] = 200
    stall_ms: Milliseconds = 5000
    ping_after_ms: MillisecondsOrZero = 5000
    ping_wait_ms: Milliseconds = 3000


class StopTable(Table):
    """How the service ends."""

    grace_ms: MillisecondsOrZero = 2000


class StoreTable(Table):
    """The store in which the service persists its state."""

    path: Annotated[str, Meta(min_length=1, max_length=1000)]  # a folder that no other process uses
    # How long a start waits for the disk; then the service starts with the list from discovery
    # alone.
    patience_ms: Milliseconds = 3000


class ControlTable(Table):
    """The whole file."""

    listen: Address
    discovery: Address
    workloads: Annotated[list[WorkloadTable], Meta(min_length=1)]
    listeners: list[ListenerTable] = []
    services: Annotated[int, Meta(ge=1, le=1000)] = 1
    seed: int = 1
    connect_time_ms: Milliseconds = 250
    draining: Literal["remove", "mark"] = "remove"
    weights: WeightsTable = WeightsTable()
    freshness: FreshnessTable = FreshnessTable()
    cold: ColdTable = ColdTable()
    report: ReportTable = ReportTable()
    load_reports: LoadReportsTable = LoadReportsTable()
    limits: LimitsTable = LimitsTable()
    stop: StopTable = StopTable()
    store: StoreTable | None = None


def _address(text: str, key: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
        if int(port) > 65535:
            raise ValueError
    except (OSError, ValueError):
        raise ControlConfigError(
            f"config: {key} holds {text!r}, an IPv4 address and a port are needed"
        ) from None
    return host, int(port)


class ControlConfig:
    """A checked configuration, converted to the settings of each component."""

    def __init__(self, table: ControlTable) -> None:
        self.table = table
        self.listen, self.discovery = (
            _address(table.listen, "listen"),
            _address(table.discovery, "discovery"),
        )
        self.workloads = [
            Workload(w.name, w.importance, w.soft_limit_ms * MS, w.time_limit_ms * MS)
            for w in table.workloads
        ]
        names = [workload.name for workload in self.workloads]
        if len(set(names)) < len(names):
            raise ControlConfigError("config: workloads has a name twice")
        for index, workload in enumerate(table.workloads):
            if workload.soft_limit_ms > workload.time_limit_ms:
                raise ControlConfigError(
                    f"config: workloads[{index}].soft_limit_ms is over its time_limit_ms"
                )
        self.listeners = []
        for index, listener_table in enumerate(table.listeners):
            for number, route in enumerate(listener_table.routes):
                if route.workload not in names:
                    raise ControlConfigError(
                        f"config: listeners[{index}].routes[{number}].workload names "
                        f"{route.workload!r}, which workloads does not have"
                    )
            if listener_table.protocol == "tcp" and (
                listener_table.address is None or len(listener_table.routes) > 1
            ):
                raise ControlConfigError(
                    f"config: listeners[{index}].protocol is tcp: it needs an address and one route"
                )
            address = (
                _address(listener_table.address, f"listeners[{index}].address")
                if listener_table.address
                else None
            )
            self.listeners.append(
                ListenerSpec(
                    listener_table.name,
                    tuple(Route(r.prefix, r.workload) for r in listener_table.routes),
                    address,
                    listener_table.protocol == "tcp",
                )
            )
        if len({listener.name for listener in self.listeners}) < len(self.listeners):
            raise ControlConfigError("config: listeners has a name twice")
        freshness = table.freshness
        self.endpoint_stale_after, self.ttl = (
            freshness.endpoint_stale_after_ms * MS,
            freshness.ttl_ms * MS,
        )
        shortest = min((time for time in (self.endpoint_stale_after, self.ttl) if time), default=0)
        if 0 < shortest < 300 * MS:
            raise ControlConfigError(
                "config: freshness.ttl_ms or endpoint_stale_after_ms is under 300: "
                "proxies would run dry"
            )
        limits = table.limits
        self.subscription_settings = subscriptions.SubscriptionSettings(
            ack_timeout=freshness.ack_wait_ms * MS,
            dependency_timeout=freshness.hold_ms * MS,
            refresh_interval=shortest // 3,
            use_heartbeats=bool(self.ttl) and not self.endpoint_stale_after,
            max_names=limits.names,
        )
        self.weight_settings = weights.WeightSettings(
            table.weights.every_ms * MS, table.weights.dead_band
        )
        self.weight_interval = table.weights.every_ms * MS
        cold = table.cold
        self.cold_rule = ColdRule(
            cold.start_share,
            cold.ramp_ms * MS,
            cold.multiple * PROXY_DRAW_FRACTION,
            cold.span_ms * MS,
        )
        self.rpc_limits = RpcLimits(
            max_connections=limits.proxies,
            max_message_bytes=limits.message_bytes,
            max_control_frames=limits.control_frames,
            stall_timeout=limits.stall_ms * MS,
            ping_after=limits.ping_after_ms * MS,
            ping_timeout=limits.ping_wait_ms * MS,
        )
        self.net_limits = Limits(
            clients=0,
            waiting=0,
            probes=max(64, limits.proxies),
            connect_time=table.connect_time_ms * MS,
            stop_time=table.stop.grace_ms * MS,
        )
        self.report_names = {
            name: field
            for field in ("count", "pressure", "busy")
            if (name := getattr(table.report, field)) is not None
        }

    def balancer_arguments(self) -> dict[str, Any]:
        """Returns the arguments of `Balancer`; each control service counts as one balancer."""
        return dict(
            zone=0,
            balancers=self.table.services,
            workloads=self.workloads,
            per_work=False,
            cold=self.cold_rule,
            max_hand_offs=1,
            cancel_allowed=False,
            max_retry_after=0,
            probes_allowed=True,
            ask_for_list=False,
            ask_within=10 * SECOND,
            grouped=False,
            weight_varies=False,
            memory=0,
            crossing_price=0.0,
            probe_price=0.0,
        )


def load_config(path: str) -> ControlConfig:
    """Reads and checks the file.

    Raises:
        ControlConfigError: the file can't be read, or a key is invalid.
    """
    try:
        with open(path, "rb") as file:
            content = file.read()
    except OSError as error:
        raise ControlConfigError(f"config: {path}: {error.strerror}") from None
    return parse_config(content)


def parse_config(content: bytes) -> ControlConfig:
    """Checks the content of a file.

    Raises:
        ControlConfigError: a key is invalid, or the content is not TOML.
    """
    try:
        return ControlConfig(msgspec.toml.decode(content, type=ControlTable))
    except msgspec.ValidationError as error:
        key, text = locate_error(error)
        raise ControlConfigError(f"config: {key}: {text}") from None
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise ControlConfigError(f"config: not TOML: {error}") from None
