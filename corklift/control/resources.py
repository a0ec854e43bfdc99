"""Encodes resources and responses as xDS messages, and decodes requests.

The functions are pure: equal values give equal bytes, so versions that are hashes of the content
agree between processes. Source: the published protocol buffers of xDS v3 (`xds-protos`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any as AnyValue
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

from corklift.control.subscriptions import Resource, ResourceKind, Response
from corklift.control.weights import TOTAL_WEIGHT, PublishedWeights

TYPE_URL_PREFIX = "type.googleapis.com/"
TYPE_URLS = {
    ResourceKind.CLUSTERS: TYPE_URL_PREFIX + "envoy.config.cluster.v3.Cluster",
    ResourceKind.ENDPOINTS: TYPE_URL_PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment",
    ResourceKind.LISTENERS: TYPE_URL_PREFIX + "envoy.config.listener.v3.Listener",
    ResourceKind.ROUTES: TYPE_URL_PREFIX + "envoy.config.route.v3.RouteConfiguration",
}
KINDS_BY_TYPE_URL = {url: kind for kind, url in TYPE_URLS.items()}
WRAPPED_RESOURCE_TYPE_URL = TYPE_URL_PREFIX + "envoy.service.discovery.v3.Resource"
DROP_CATEGORY = "refused"  # under which proxies report the requests that they drop
ROUTER_FILTER = "envoy.filters.http.router"
CONTROL_PLANE_IDENTIFIER = "corklift"


class InvalidRequestError(Exception):
    """A message that can't be parsed, or a request for a resource type that is not served."""


class ServerEndpoint(NamedTuple):
    """A server's address and zone."""

    name: str
    address: tuple[str, int]
    zone: str
    draining: bool = False


class Route(NamedTuple):
    """Sends requests whose path has the prefix to a workload."""

    prefix: str
    workload: str


class ListenerSpec(NamedTuple):
    """A listener of the proxies; without an address, gRPC clients refer to it by name."""

    name: str
    routes: tuple[Route, ...]
    address: tuple[str, int] | None = None
    # Passes bytes through instead of HTTP requests; all connections belong to the workload of the
    # first route.
    is_tcp: bool = False


def _serialize(message: Message) -> bytes:
    return bytes(message.SerializeToString(deterministic=True))


def _pack(message: Message) -> Any:
    packed = Any()
    packed.Pack(message, deterministic=True)
    return packed


def _ads_config_source() -> config_source_pb2.ConfigSource:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
    )


def build_cluster(workload: str, connect_timeout: int) -> Resource:
    """Returns a cluster with endpoints from ADS, drawn by weight, and load reports over LRS."""
    message = cluster_pb2.Cluster(
        name=workload,
        type=cluster_pb2.Cluster.EDS,
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=_ads_config_source()),
        lb_policy=cluster_pb2.Cluster.ROUND_ROBIN,
        lrs_server=config_source_pb2.ConfigSource(self=config_source_pb2.SelfConfigSource()),
    )
    message.connect_timeout.FromNanoseconds(connect_timeout)
    message.common_lb_config.locality_weighted_lb_config.SetInParent()
    # Disables panic mode, in which a proxy would use servers without weight because it finds the
    # others unhealthy.
    message.common_lb_config.healthy_panic_threshold.value = 0.0
    return Resource.from_body(workload, _serialize(message))


def build_endpoints(
    workload: str,
    published: PublishedWeights,
    servers: Mapping[str, ServerEndpoint],
    draining: Iterable[ServerEndpoint] = (),
    stale_after: int = 0,
) -> Resource:
    """Returns the load assignment of a workload's servers.

    Each server is a locality of its own, named after the server: every proxy, gRPC clients
    included, draws localities by weight, and load reports are per locality.
    """
    message = endpoint_pb2.ClusterLoadAssignment(cluster_name=workload)
    for name in sorted(published.weights):
        server = servers.get(name)
        if server is not None:
            _add_locality(message, server).load_balancing_weight.value = published.weights[name]
    for server in sorted(draining):
        # Without a weight it receives no new connections; open ones stay.
        _add_locality(message, server).lb_endpoints[0].health_status = health_check_pb2.DRAINING
    if published.dropped:
        drop = message.policy.drop_overloads.add(category=DROP_CATEGORY)
        drop.drop_percentage.numerator = published.dropped
        drop.drop_percentage.denominator = percent_pb2.FractionalPercent.TEN_THOUSAND
        assert TOTAL_WEIGHT == 10_000
    if stale_after:
        message.policy.endpoint_stale_after.FromNanoseconds(stale_after)
    return Resource.from_body(workload, _serialize(message))


def _add_locality(
    message: endpoint_pb2.ClusterLoadAssignment, server: ServerEndpoint
) -> endpoint_components_pb2.LocalityLbEndpoints:
    locality = message.endpoints.add()
    locality.locality.zone, locality.locality.sub_zone = server.zone, server.name
    address = locality.lb_endpoints.add().endpoint.address.socket_address
    address.address, address.port_value = server.address
    return locality


def build_listener(spec: ListenerSpec) -> Resource:
    manager = hcm_pb2.HttpConnectionManager(
        stat_prefix=spec.name,
        rds=hcm_pb2.Rds(config_source=_ads_config_source(), route_config_name=spec.name),
        http_filters=[
            hcm_pb2.HttpFilter(name=ROUTER_FILTER, typed_config=_pack(router_pb2.Router()))
        ],
    )
    message = listener_pb2.Listener(name=spec.name)
    if spec.address is None:
        message.api_listener.api_listener.CopyFrom(_pack(manager))
    else:
        message.address.socket_address.address, message.address.socket_address.port_value = (
            spec.address
        )
        proxy_filter: Message = manager
        filter_name = "envoy.filters.network.http_connection_manager"
        if spec.is_tcp:
            proxy_filter = tcp_proxy_pb2.TcpProxy(
                stat_prefix=spec.name, cluster=spec.routes[0].workload
            )
            filter_name = "envoy.filters.network.tcp_proxy"
        message.filter_chains.add().filters.add(name=filter_name, typed_config=_pack(proxy_filter))
    referenced_clusters = [spec.routes[0].workload] if spec.is_tcp else []
    return Resource.from_body(spec.name, _serialize(message), referenced_clusters)


def build_routes(spec: ListenerSpec) -> Resource:
    message = route_pb2.RouteConfiguration(name=spec.name)
    host = message.virtual_hosts.add(name=spec.name, domains=["*"])
    for route in spec.routes:
        entry = host.routes.add()
        entry.match.prefix, entry.route.cluster = route.prefix, route.workload
    return Resource.from_body(
        spec.name, _serialize(message), [route.workload for route in spec.routes]
    )


def encode_response(response: Response, incremental: bool, ttl: int = 0) -> bytes:
    """Encodes a response. With a TTL (ns), endpoints expire unless they are sent again in time."""
    ttl = ttl if response.kind is ResourceKind.ENDPOINTS else 0
    type_url = TYPE_URLS[response.kind]
    if incremental:
        message = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=response.version,
            type_url=type_url,
            nonce=response.nonce,
            removed_resources=response.removed,
            control_plane=base_pb2.ControlPlane(identifier=CONTROL_PLANE_IDENTIFIER),
        )
        for resource in response.resources:
            _fill_resource(message.resources.add(), resource, type_url, ttl, response.heartbeat)
        return bytes(message.SerializeToString())
    answer = discovery_pb2.DiscoveryResponse(
        version_info=response.version,
        type_url=type_url,
        nonce=response.nonce,
        control_plane=base_pb2.ControlPlane(identifier=CONTROL_PLANE_IDENTIFIER),
    )
    for resource in response.resources:
        if ttl:
            wrapped = discovery_pb2.Resource()
            _fill_resource(wrapped, resource, type_url, ttl, response.heartbeat)
            answer.resources.add(
                type_url=WRAPPED_RESOURCE_TYPE_URL, value=wrapped.SerializeToString()
            )
        else:
            answer.resources.add(type_url=type_url, value=resource.body)
    return bytes(answer.SerializeToString())


def _fill_resource(
    message: discovery_pb2.Resource, resource: Resource, type_url: str, ttl: int, heartbeat: bool
) -> None:
    message.name, message.version = resource.name, resource.version
    if not heartbeat:
        message.resource.type_url, message.resource.value = type_url, resource.body
    if ttl:
        message.ttl.FromNanoseconds(ttl)


class DiscoveryRequest(NamedTuple):
    """A request of either xDS variant."""

    node: str
    kind: ResourceKind
    nonce: str
    error: str | None  # set in a NACK
    # State of the world:
    names: tuple[str, ...] = ()
    version: str = ""
    # Incremental:
    subscribe: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()
    initial_versions: Mapping[str, str] = {}


def decode_request(content: bytes, incremental: bool) -> DiscoveryRequest:
    """Decodes a request.

    Raises:
        InvalidRequestError: the request can't be parsed, or its resource type is not served.
    """
    message: AnyValue = (
        discovery_pb2.DeltaDiscoveryRequest() if incremental else discovery_pb2.DiscoveryRequest()
    )
    parse_message(message, content)
    kind = KINDS_BY_TYPE_URL.get(message.type_url)
    if kind is None:
        raise InvalidRequestError(f"no resources of type {message.type_url:.200}")
    error = (
        f"{message.error_detail.code}: {message.error_detail.message:.1000}"
        if message.HasField("error_detail")
        else None
    )
    if incremental:
        return DiscoveryRequest(
            message.node.id[:256],
            kind,
            message.response_nonce,
            error,
            subscribe=tuple(message.resource_names_subscribe),
            unsubscribe=tuple(message.resource_names_unsubscribe),
            initial_versions=dict(message.initial_resource_versions),
        )
    return DiscoveryRequest(
        message.node.id[:256],
        kind,
        message.response_nonce,
        error,
        tuple(message.resource_names),
        message.version_info,
    )


def parse_message(message: Message, content: bytes) -> None:
    """Parses the content into the given message.

    Raises:
        InvalidRequestError: the content is not a message of this type.
    """
    try:
        message.ParseFromString(content)
    except DecodeError as error:
        raise InvalidRequestError(f"not a {type(message).__name__}: {error}") from None
