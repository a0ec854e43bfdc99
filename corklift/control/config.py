"""The control service's configuration: TOML, typed, every key checked before any is used.

Owns the form. Must never apply a part of a file that has a fault elsewhere.
"""

from __future__ import annotations

import socket
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from corklift.control import views, weights
from corklift.control.resources import ListenerSpec, Route
from corklift.interface import ColdRule, Workload
from corklift.net.limits import Limits
from corklift.rpc.core import MS, SECOND, RpcLimits
from corklift.toml_tables import Table, locate_error

Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[!-~]+$")]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Span = Annotated[int, Meta(ge=1, le=3_600_000)]
SpanOrNone = Annotated[int, Meta(ge=0, le=3_600_000)]
Part = Annotated[float, Meta(ge=0.0, le=1.0)]


class BadConfig(Exception):
    """Names the key that is missing or impossible."""


class WorkloadTable(Table):
    name: Name
    importance: Annotated[float, Meta(gt=0, le=1e9)] = 1.0
    soft_limit_ms: Span = 800
    time_limit_ms: Span = 3200


class RouteTable(Table):
    workload: Name
    prefix: Annotated[str, Meta(pattern="^/")] = "/"


class ListenerTable(Table):
    name: Name
    routes: Annotated[list[RouteTable], Meta(min_length=1)]
    address: Address | None = None
    protocol: Literal["http", "tcp"] = "http"


class WeightsTable(Table):
    every_ms: Annotated[int, Meta(ge=50, le=60_000)] = 1000
    dead_band: Part = 0.02
    log: bool = False


class FreshnessTable(Table):
    endpoint_stale_after_ms: SpanOrNone = 0
    ttl_ms: SpanOrNone = 0
    ack_wait_ms: Span = 2000
    hold_ms: Span = 3000


class ColdTable(Table):
    start_share: Annotated[float, Meta(gt=0, le=1)] = 0.3
    ramp_ms: SpanOrNone = 0
    multiple: Annotated[float, Meta(gt=0, le=100)] = 2.0
    span_ms: Span = 1000


class ReportTable(Table):
    count: Name = "inflight"
    pressure: Name | None = None
    busy: Name | None = None


class LoadReportsTable(Table):
    every_ms: Annotated[int, Meta(ge=50, le=60_000)] = 500


class LimitsTable(Table):
    proxies: Annotated[int, Meta(ge=1, le=100_000)] = 2000
    message_bytes: Annotated[int, Meta(ge=1024, le=64 << 20)] = 4 << 20
    names: Annotated[int, Meta(ge=1, le=1_000_000)] = 5000
    control_frames: Annotated[int, Meta(ge=10, le=1_000_000)] = 200
    stall_ms: Span = 5000
    ping_after_ms: SpanOrNone = 5000
    ping_wait_ms: Span = 3000


class StopTable(Table):
    grace_ms: SpanOrNone = 2000


class KeptTable(Table):
    path: Annotated[str, Meta(min_length=1, max_length=1000)]  # a folder of this service alone
    patience_ms: Span = (
        3000  # for the disk's first answer; then it starts with what discovery tells
    )


class ControlTable(Table):
    listen: Address
    discovery: Address
    workloads: Annotated[list[WorkloadTable], Meta(min_length=1)]
    listeners: list[ListenerTable] = []
    services: Annotated[int, Meta(ge=1, le=1000)] = 1
    seed: int = 1
    connect_time_ms: Span = 250
    draining: Literal["remove", "mark"] = "remove"
    weights: WeightsTable = WeightsTable()
    freshness: FreshnessTable = FreshnessTable()
    cold: ColdTable = ColdTable()
    report: ReportTable = ReportTable()
    load_reports: LoadReportsTable = LoadReportsTable()
    limits: LimitsTable = LimitsTable()
    stop: StopTable = StopTable()
    store: KeptTable | None = None


def _address(text: str, key: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
        if int(port) > 65535:
            raise ValueError
    except (OSError, ValueError):
        raise BadConfig(
            f"config: {key} holds {text!r}, an IPv4 address and a port are needed"
        ) from None
    return host, int(port)


class Control:
    """A configuration that has been checked, in the terms of the parts that use it."""

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
            raise BadConfig("config: workloads has a name twice")
        for at, workload in enumerate(table.workloads):
            if workload.soft_limit_ms > workload.time_limit_ms:
                raise BadConfig(f"config: workloads[{at}].soft_limit_ms is over its time_limit_ms")
        self.listeners = []
        for at, given in enumerate(table.listeners):
            for number, route in enumerate(given.routes):
                if route.workload not in names:
                    raise BadConfig(
                        f"config: listeners[{at}].routes[{number}].workload names {route.workload!r}, "
                        "which workloads does not have"
                    )
            if given.protocol == "tcp" and (given.address is None or len(given.routes) > 1):
                raise BadConfig(
                    f"config: listeners[{at}].protocol is tcp: it needs an address and one route"
                )
            address = _address(given.address, f"listeners[{at}].address") if given.address else None
            self.listeners.append(
                ListenerSpec(
                    given.name,
                    tuple(Route(r.prefix, r.workload) for r in given.routes),
                    address,
                    given.protocol == "tcp",
                )
            )
        if len({listener.name for listener in self.listeners}) < len(self.listeners):
            raise BadConfig("config: listeners has a name twice")
        fresh = table.freshness
        self.stale_after, self.ttl = fresh.endpoint_stale_after_ms * MS, fresh.ttl_ms * MS
        shortest = min((span for span in (self.stale_after, self.ttl) if span), default=0)
        if 0 < shortest < 300 * MS:
            raise BadConfig(
                "config: freshness.ttl_ms or endpoint_stale_after_ms is under 300: proxies would run dry"
            )
        limits = table.limits
        self.views = views.Settings(
            ack_wait=fresh.ack_wait_ms * MS,
            hold_time=fresh.hold_ms * MS,
            refresh=shortest // 3,
            heartbeats=bool(self.ttl) and not self.stale_after,
            names=limits.names,
        )
        self.weights = weights.Settings(table.weights.every_ms * MS, table.weights.dead_band)
        self.span = table.weights.every_ms * MS
        self.rpc = RpcLimits(
            connections=limits.proxies,
            message=limits.message_bytes,
            control_frames=limits.control_frames,
            stall_time=limits.stall_ms * MS,
            ping_after=limits.ping_after_ms * MS,
            ping_wait=limits.ping_wait_ms * MS,
        )
        self.net = Limits(
            clients=0,
            waiting=0,
            probes=max(64, limits.proxies),
            connect_time=table.connect_time_ms * MS,
            stop_time=table.stop.grace_ms * MS,
        )
        self.report_names = {
            name: ours
            for ours in ("count", "pressure", "busy")
            if (name := getattr(table.report, ours)) is not None
        }

    def arguments(self) -> dict[str, Any]:
        """The settings of the decisions: this service is one of `services` balancers that place alike."""
        cold = self.table.cold
        return dict(
            zone=0,
            balancers=self.table.services,
            workloads=self.workloads,
            per_work=False,
            cold=ColdRule(cold.start_share, cold.ramp_ms * MS, cold.multiple, cold.span_ms * MS),
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


def read(path: str) -> Control:
    """Raises:
    BadConfig: names the key at fault, or the file.
    """
    try:
        with open(path, "rb") as file:
            content = file.read()
    except OSError as problem:
        raise BadConfig(f"config: {path}: {problem.strerror}") from None
    return parse(content)


def parse(content: bytes) -> Control:
    try:
        return Control(msgspec.toml.decode(content, type=ControlTable))
    except msgspec.ValidationError as problem:
        key, text = locate_error(problem)
        raise BadConfig(f"config: {key}: {text}") from None
    except (msgspec.DecodeError, ValueError, RecursionError) as problem:
        raise BadConfig(f"config: not TOML: {problem}") from None
