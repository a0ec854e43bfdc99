"""xDS on the wire: what a view holds as Envoy's messages, and requests and responses as bytes.

Pure: values in, bytes out, and back; equal values give equal bytes. Owns no state. Must never decide who is owed what.
Source: the published protocol buffers of xDS v3 (`xds-protos`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any as Whatever
from typing import NamedTuple

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import base_pb2, config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import (
    http_connection_manager_pb2 as hcm_pb2,
)
from envoy.extensions.filters.network.tcp_proxy.v3 import tcp_proxy_pb2
from envoy.service.discovery.v3 import ads_pb2, discovery_pb2  # noqa: F401  (ads_pb2 registers the service)
from envoy.type.v3 import percent_pb2
from google.protobuf.any_pb2 import Any
from google.protobuf.message import DecodeError, Message

from corklift.control.views import Kind, Resource, Response
from corklift.control.weights import WHOLE, PublishedWeights

PREFIX = "type.googleapis.com/"
TYPES = {
    Kind.CLUSTERS: PREFIX + "envoy.config.cluster.v3.Cluster",
    Kind.ENDPOINTS: PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment",
    Kind.LISTENERS: PREFIX + "envoy.config.listener.v3.Listener",
    Kind.ROUTES: PREFIX + "envoy.config.route.v3.RouteConfiguration",
}
KINDS = {url: kind for kind, url in TYPES.items()}
WRAPPED = PREFIX + "envoy.service.discovery.v3.Resource"
REFUSED = "refused"  # the category under which proxies count what they turn away for us
ROUTER = "envoy.filters.http.router"
IDENTIFIER = "corklift"


class BadRequest(Exception):
    """A message that can't be read, or that asks for a type that is not served."""


class Place(NamedTuple):
    """A server as proxies need it."""

    name: str
    address: tuple[str, int]
    zone: str
    draining: bool = False


class Route(NamedTuple):
    prefix: str
    workload: str


class ListenerSpec(NamedTuple):
    """A listener: without an address it is one that gRPC clients dial by name."""

    name: str
    routes: tuple[Route, ...]
    address: tuple[str, int] | None = None
    is_tcp: bool = (
        False  # lines or any other bytes over TCP: the first route's workload has all of it
    )


def _bytes(message: Message) -> bytes:
    return bytes(message.SerializeToString(deterministic=True))


def _packed(message: Message) -> Any:
    packed = Any()
    packed.Pack(message, deterministic=True)
    return packed


def _over_ads() -> config_source_pb2.ConfigSource:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
    )


def cluster(workload: str, connect_time: int) -> Resource:
    """A workload's cluster: its endpoints come over ADS, their weights count, loads are reported to this service."""
    message = cluster_pb2.Cluster(
        name=workload,
        type=cluster_pb2.Cluster.EDS,
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=_over_ads()),
        lb_policy=cluster_pb2.Cluster.ROUND_ROBIN,
        lrs_server=config_source_pb2.ConfigSource(self=config_source_pb2.SelfConfigSource()),
    )
    message.connect_timeout.FromNanoseconds(connect_time)
    message.common_lb_config.locality_weighted_lb_config.SetInParent()
    # A proxy must not go back to servers that the view leaves out because it finds the others unwell.
    message.common_lb_config.healthy_panic_threshold.value = 0.0
    return Resource.of(workload, _bytes(message))


def endpoints(
    workload: str,
    told: PublishedWeights,
    places: Mapping[str, Place],
    draining: Iterable[Place] = (),
    stale_after: int = 0,
) -> Resource:
    """A workload's servers. Each is a locality of its own, named by the server: a draw among localities is by weight
    in every proxy, gRPC clients among them, and their load reports tell localities apart."""
    message = endpoint_pb2.ClusterLoadAssignment(cluster_name=workload)
    for name in sorted(told.weights):
        place = places.get(name)
        if place is not None:
            _locality(message, place).load_balancing_weight.value = told.weights[name]
    for place in sorted(draining):
        # Without a weight it is offered nothing; what stands there is left to stand.
        _locality(message, place).lb_endpoints[0].health_status = health_check_pb2.DRAINING
    if told.refused:
        drop = message.policy.drop_overloads.add(category=REFUSED)
        drop.drop_percentage.numerator = told.refused
        drop.drop_percentage.denominator = percent_pb2.FractionalPercent.TEN_THOUSAND
        assert WHOLE == 10_000
    if stale_after:
        message.policy.endpoint_stale_after.FromNanoseconds(stale_after)
    return Resource.of(workload, _bytes(message))


def _locality(
    message: endpoint_pb2.ClusterLoadAssignment, place: Place
) -> endpoint_components_pb2.LocalityLbEndpoints:
    locality = message.endpoints.add()
    locality.locality.zone, locality.locality.sub_zone = place.zone, place.name
    address = locality.lb_endpoints.add().endpoint.address.socket_address
    address.address, address.port_value = place.address
    return locality


def listener(spec: ListenerSpec) -> Resource:
    manager = hcm_pb2.HttpConnectionManager(
        stat_prefix=spec.name,
        rds=hcm_pb2.Rds(config_source=_over_ads(), route_config_name=spec.name),
        http_filters=[hcm_pb2.HttpFilter(name=ROUTER, typed_config=_packed(router_pb2.Router()))],
    )
    message = listener_pb2.Listener(name=spec.name)
    if spec.address is None:
        message.api_listener.api_listener.CopyFrom(_packed(manager))
    else:
        message.address.socket_address.address, message.address.socket_address.port_value = (
            spec.address
        )
        inner: Message = manager
        name = "envoy.filters.network.http_connection_manager"
        if spec.is_tcp:
            inner = tcp_proxy_pb2.TcpProxy(stat_prefix=spec.name, cluster=spec.routes[0].workload)
            name = "envoy.filters.network.tcp_proxy"
        message.filter_chains.add().filters.add(name=name, typed_config=_packed(inner))
    refers = [spec.routes[0].workload] if spec.is_tcp else []
    return Resource.of(spec.name, _bytes(message), refers)


def routes(spec: ListenerSpec) -> Resource:
    message = route_pb2.RouteConfiguration(name=spec.name)
    host = message.virtual_hosts.add(name=spec.name, domains=["*"])
    for route in spec.routes:
        entry = host.routes.add()
        entry.match.prefix, entry.route.cluster = route.prefix, route.workload
    return Resource.of(spec.name, _bytes(message), [route.workload for route in spec.routes])


def response(told: Response, incremental: bool, ttl: int = 0) -> bytes:
    """A response as it goes to a proxy. With a TTL (ns), endpoints run out in it unless they are sent again."""
    ttl = ttl if told.kind is Kind.ENDPOINTS else 0
    url = TYPES[told.kind]
    if incremental:
        message = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=told.version,
            type_url=url,
            nonce=told.nonce,
            removed_resources=told.removed,
            control_plane=base_pb2.ControlPlane(identifier=IDENTIFIER),
        )
        for resource in told.resources:
            _fill(message.resources.add(), resource, url, ttl, told.heartbeat)
        return bytes(message.SerializeToString())
    answer = discovery_pb2.DiscoveryResponse(
        version_info=told.version,
        type_url=url,
        nonce=told.nonce,
        control_plane=base_pb2.ControlPlane(identifier=IDENTIFIER),
    )
    for resource in told.resources:
        if ttl:
            wrapped = discovery_pb2.Resource()
            _fill(wrapped, resource, url, ttl, told.heartbeat)
            answer.resources.add(type_url=WRAPPED, value=wrapped.SerializeToString())
        else:
            answer.resources.add(type_url=url, value=resource.body)
    return bytes(answer.SerializeToString())


def _fill(
    message: discovery_pb2.Resource, resource: Resource, url: str, ttl: int, heartbeat: bool
) -> None:
    message.name, message.version = resource.name, resource.version
    if not heartbeat:
        message.resource.type_url, message.resource.value = url, resource.body
    if ttl:
        message.ttl.FromNanoseconds(ttl)


class Request(NamedTuple):
    """What both variants of request have in common, and what only one has."""

    node: str
    kind: Kind
    nonce: str
    problem: str | None
    names: tuple[str, ...] = ()
    version: str = ""
    subscribe: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()
    had: Mapping[str, str] = {}


def request(content: bytes, incremental: bool) -> Request:
    """Raises:
    BadRequest: it can't be read, or its type is not served.
    """
    message: Whatever = (
        discovery_pb2.DeltaDiscoveryRequest() if incremental else discovery_pb2.DiscoveryRequest()
    )
    parsed(message, content)
    kind = KINDS.get(message.type_url)
    if kind is None:
        raise BadRequest(f"no resources of type {message.type_url:.200}")
    problem = (
        f"{message.error_detail.code}: {message.error_detail.message:.1000}"
        if message.HasField("error_detail")
        else None
    )
    if incremental:
        return Request(
            message.node.id[:256],
            kind,
            message.response_nonce,
            problem,
            subscribe=tuple(message.resource_names_subscribe),
            unsubscribe=tuple(message.resource_names_unsubscribe),
            had=dict(message.initial_resource_versions),
        )
    return Request(
        message.node.id[:256],
        kind,
        message.response_nonce,
        problem,
        tuple(message.resource_names),
        message.version_info,
    )


def parsed(message: Message, content: bytes) -> None:
    try:
        message.ParseFromString(content)
    except DecodeError as problem:
        raise BadRequest(f"not a {type(message).__name__}: {problem}") from None
