"""A stand-in proxy: follows a control service over ADS, places logins and reports loads.

It is written from the published xDS protocol and speaks both variants, state of the world and
incremental. `ProxyState` is its protocol state without I/O; `ProxyBehaviour` makes it misbehave:
slow reads, missing acknowledgements, refused responses and broken connections.
"""

from __future__ import annotations

from bisect import bisect
from collections import Counter
from collections.abc import Callable
from functools import lru_cache
from itertools import accumulate
from random import Random
from typing import NamedTuple

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from corklift.net.limits import MS, SECOND, Counters, Limits
from corklift.net.scheduler import READ, WRITE, Scheduler
from corklift.net.stream import LineTooLongError, Stream
from corklift.rpc.client import Channel
from corklift.rpc.connection import RpcCall
from corklift.rpc.core import RpcError, RpcLimits

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
LRS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
PREFIX = "type.googleapis.com/"
CDS, EDS, LDS, RDS = (
    PREFIX + name
    for name in (
        "envoy.config.cluster.v3.Cluster",
        "envoy.config.endpoint.v3.ClusterLoadAssignment",
        "envoy.config.listener.v3.Listener",
        "envoy.config.route.v3.RouteConfiguration",
    )
)
RESOURCE_WRAPPER = PREFIX + "envoy.service.discovery.v3.Resource"
LOGIN_STREAM_LIMITS = Limits(
    clients=0, waiting=0, probes=0, connect_time=SECOND, stop_time=SECOND, line=1024, ring=1024
)


class Assignment(NamedTuple):
    """The servers of a cluster with their weights, prepared for drawing.

    `refused` is how many logins of 10,000 are to be turned away. `stale_after` is in nanoseconds; 0
    means that the assignment never becomes stale.
    """

    names: tuple[str, ...]
    addresses: tuple[tuple[str, int], ...]
    cumulative_weights: tuple[int, ...]
    refused: int
    stale_after: int

    def draw(self, rng: Random, even: bool = False) -> tuple[str, tuple[str, int]] | None:
        """Returns a server's name and address, or None if the login is to be turned away."""
        if not self.names or rng.randrange(10_000) < self.refused:
            return None
        index = (
            rng.randrange(len(self.names))
            if even
            else bisect(self.cumulative_weights, rng.randrange(self.cumulative_weights[-1]))
        )
        return self.names[index], self.addresses[index]


# Cached, since the proxies of one process receive the same resources.
@lru_cache(maxsize=256)
def parse_assignment(content: bytes) -> Assignment:
    """Reads a ClusterLoadAssignment; servers that are not healthy are left out."""
    message = endpoint_pb2.ClusterLoadAssignment()
    message.ParseFromString(content)
    names, addresses, weights = [], [], []
    for locality in message.endpoints:
        if not locality.load_balancing_weight.value:
            continue
        for endpoint in locality.lb_endpoints:
            if endpoint.health_status in (health_check_pb2.UNKNOWN, health_check_pb2.HEALTHY):
                socket_address = endpoint.endpoint.address.socket_address
                names.append(locality.locality.sub_zone)
                addresses.append((socket_address.address, socket_address.port_value))
                weights.append(locality.load_balancing_weight.value)
    refused = sum(drop.drop_percentage.numerator for drop in message.policy.drop_overloads)
    return Assignment(
        tuple(names),
        tuple(addresses),
        tuple(accumulate(weights)),
        refused,
        message.policy.endpoint_stale_after.ToNanoseconds(),
    )


class ProxyBehaviour(NamedTuple):
    """How a proxy behaves, including its faults.

    `acks` tells whether responses are acknowledged at all. `read_interval` is the pause between two
    reads in nanoseconds; 0 reads at once. `refuses` gets a response's type URL, the names of its
    resources and the number of responses of that type so far, and returns the error of a refusal or
    None. `disconnect_interval` is the mean time in nanoseconds between connections that the proxy
    aborts itself; 0 aborts none. `even` ignores the weights. `reports` enables load reports.
    """

    incremental: bool = False
    acks: bool = True
    read_interval: int = 0
    refuses: Callable[[str, list[str], int], str | None] = lambda url, names, count: None
    disconnect_interval: int = 0
    even: bool = False
    reports: bool = True


class ProxyState:
    """The resources that a proxy has accepted, and the requests that follow from each response.

    Does no I/O and reads no clock.
    """

    def __init__(self, node: str, behaviour: ProxyBehaviour) -> None:
        self._node, self._behaviour = node, behaviour
        self.resources: dict[str, dict[str, tuple[str, bytes]]] = {
            url: {} for url in (CDS, EDS, LDS, RDS)
        }
        # Accepted version by type URL; state-of-the-world variant only.
        self.versions: dict[str, str] = {}
        self.names: dict[str, list[str]] = {EDS: [], RDS: []}
        self.responses: Counter[str] = Counter()
        self.refused: list[str] = []
        self._nonces: dict[str, str] = {}
        self._node_sent = False

    def open_stream(self) -> list[bytes]:
        """Returns the first requests of a new stream.

        Nonces of the last stream are void; accepted resources and versions remain in force.
        """
        self._nonces, self._node_sent = {}, False
        requests = [self._request(CDS), self._request(LDS)]
        return requests + [self._request(url) for url in (EDS, RDS) if self.names[url]]

    def _request(
        self,
        url: str,
        nonce: str = "",
        error: str | None = None,
        subscribe: list[str] | None = None,
        unsubscribe: list[str] | None = None,
    ) -> bytes:
        if self._behaviour.incremental:
            is_first = url not in self._nonces
            message = discovery_pb2.DeltaDiscoveryRequest(type_url=url, response_nonce=nonce)
            if is_first:
                self._nonces[url] = ""
                message.initial_resource_versions.update(
                    {name: version for name, (version, _) in self.resources[url].items()}
                )
                subscribe = self.names.get(url, [])
            message.resource_names_subscribe.extend(subscribe or [])
            message.resource_names_unsubscribe.extend(unsubscribe or [])
        else:
            message = discovery_pb2.DiscoveryRequest(
                type_url=url,
                response_nonce=nonce,
                version_info=self.versions.get(url, ""),
                resource_names=self.names.get(url, []),
            )
        if error is not None:
            message.error_detail.code, message.error_detail.message = 3, error
        if not self._node_sent:
            self._node_sent = True
            message.node.id = self._node
        return bytes(message.SerializeToString())

    def handle_response(self, content: bytes) -> list[bytes]:
        """Applies a response and returns the requests that answer it."""
        if self._behaviour.incremental:
            delta = discovery_pb2.DeltaDiscoveryResponse()
            delta.ParseFromString(content)
            return self._handle_delta(delta)
        response = discovery_pb2.DiscoveryResponse()
        response.ParseFromString(content)
        url, received = response.type_url, {}
        for packed in response.resources:
            name, version, body = self._unwrap(
                url, packed.type_url, packed.value, response.version_info
            )
            received[name] = (
                version,
                body if body is not None else self.resources[url].get(name, ("", b""))[1],
            )
        self.responses[url] += 1
        error = self._behaviour.refuses(url, sorted(received), self.responses[url])
        if error is None:
            if url in (CDS, LDS):
                self.resources[url] = received
            else:
                self.resources[url].update(received)
            self.versions[url] = response.version_info
        else:
            self.refused.append(error)
        self._nonces[url] = response.nonce
        requests = [self._request(url, response.nonce, error)] if self._behaviour.acks else []
        return requests + self._request_references(url)

    def _handle_delta(self, delta: discovery_pb2.DeltaDiscoveryResponse) -> list[bytes]:
        url = delta.type_url
        self.responses[url] += 1
        error = self._behaviour.refuses(
            url, sorted(resource.name for resource in delta.resources), self.responses[url]
        )
        if error is None:
            for resource in delta.resources:
                old = self.resources[url].get(resource.name, ("", b""))[1]
                body = resource.resource.value if resource.HasField("resource") else old
                self.resources[url][resource.name] = (resource.version, body)
            for name in delta.removed_resources:
                self.resources[url].pop(name, None)
        else:
            self.refused.append(error)
        requests = [self._request(url, delta.nonce, error)] if self._behaviour.acks else []
        return requests + self._request_references(url)

    def _unwrap(
        self, url: str, type_url: str, value: bytes, version: str
    ) -> tuple[str, str, bytes | None]:
        """Returns a resource's name, version and body; no body means that it is unchanged."""
        if type_url == RESOURCE_WRAPPER:
            wrapped = discovery_pb2.Resource()
            wrapped.ParseFromString(value)
            return (
                wrapped.name,
                wrapped.version,
                wrapped.resource.value if wrapped.HasField("resource") else None,
            )
        return _resource_name(url, value), version, value

    def _request_references(self, url: str) -> list[bytes]:
        """Returns the request for the endpoints of new clusters, or the routes of new listeners."""
        if url == CDS:
            target, wanted = EDS, sorted(self.resources[CDS])
        elif url == LDS:
            target, wanted = RDS, sorted(self.resources[LDS])
        else:
            return []
        old = self.names[target]
        if wanted == old:
            return []
        self.names[target] = wanted
        for name in set(old) - set(wanted):
            self.resources[target].pop(name, None)
        return [
            self._request(
                target,
                self._nonces.get(target, "") if not self._behaviour.incremental else "",
                subscribe=[name for name in wanted if name not in old],
                unsubscribe=[name for name in old if name not in wanted],
            )
        ]

    def assignment(self, cluster: str) -> Assignment | None:
        """Returns the accepted assignment of a cluster, or None if there is none."""
        resource = self.resources[EDS].get(cluster)
        return (
            None
            if resource is None or cluster not in self.resources[CDS]
            else parse_assignment(resource[1])
        )


def _resource_name(url: str, content: bytes) -> str:
    message = {
        CDS: cluster_pb2.Cluster,
        EDS: endpoint_pb2.ClusterLoadAssignment,
        LDS: listener_pb2.Listener,
        RDS: route_pb2.RouteConfiguration,
    }[url]()
    message.ParseFromString(content)
    return str(message.cluster_name if url == EDS else message.name)


class Proxy:
    """A proxy with its streams to the control service and the logins that it places."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        address: tuple[str, int],
        node: str,
        rng: Random,
        behaviour: ProxyBehaviour = ProxyBehaviour(),
        limits: RpcLimits = RpcLimits(ping_after=0, initial_backoff=200 * MS, ring=8192),
    ) -> None:
        self._scheduler, self.node, self._rng, self.behaviour, self._counters = (
            scheduler,
            node,
            rng,
            behaviour,
            counters,
        )
        self.state = ProxyState(node, behaviour)
        self.channel = Channel(scheduler, limits, counters, address, rng)
        self.connected = False
        self.connected_at = 0
        # Called with the names of the servers that could be drawn before and after a response.
        self.view_changed: Callable[[Proxy, set[str], set[str]], None] | None = None
        self.open_logins = 0
        self._fresh_at: dict[str, int] = {}
        # Logins since the last load report, by cluster and server.
        self._issued: Counter[tuple[str, str]] = Counter()
        self._failed: Counter[tuple[str, str]] = Counter()
        self._turned_away: Counter[str] = Counter()
        self.stopped = False

    def start(self) -> None:
        self._scheduler.spawn(self.channel.connect_loop)
        self._scheduler.spawn(self._repeat, self._run_ads_stream)
        if self.behaviour.reports:
            self._scheduler.spawn(self._repeat, self._run_load_report_stream)
        if self.behaviour.disconnect_interval:
            self._scheduler.spawn(self._abort_connections)

    def stop(self) -> None:
        self.stopped = True
        self.channel.close()

    def _repeat(self, run_stream: Callable[[], None]) -> None:
        """Runs a stream again whenever it ends, until the proxy is stopped."""
        while not self.stopped:
            try:
                run_stream()
            except RpcError:
                self._counters["proxy streams ended"] += 1
            self.connected = False
            self._scheduler.sleep(20 * MS)

    def _abort_connections(self) -> None:
        while not self.stopped:
            self._scheduler.sleep(
                int(self.behaviour.disconnect_interval * self._rng.uniform(0.5, 1.5))
            )
            # The interval may have been made endless meanwhile.
            if self.behaviour.disconnect_interval < 3600 * SECOND:
                self.channel.abort_connection()

    def _run_ads_stream(self) -> None:
        path = ADS + (
            "DeltaAggregatedResources"
            if self.behaviour.incremental
            else "StreamAggregatedResources"
        )
        call = self.channel.call(path, self._scheduler.now() + 60 * SECOND)
        for request in self.state.open_stream():
            call.send_nowait(request)
        while True:
            message = call.receive()
            if message is None:
                return
            if not self.connected:
                self.connected, self.connected_at = True, self._scheduler.now()
            before = self._drawable_servers() if self.view_changed else set()
            for answer in self.state.handle_response(message):
                call.send_nowait(answer)
            if self.view_changed and (after := self._drawable_servers()) != before:
                self.view_changed(self, before, after)
            for cluster in self.state.resources[EDS]:
                self._fresh_at[cluster] = self._scheduler.now()
            if self.behaviour.read_interval:
                self._scheduler.sleep(self.behaviour.read_interval)

    def _drawable_servers(self) -> set[str]:
        """Returns the names of all servers that any cluster may draw."""
        assignments = [self.state.assignment(cluster) for cluster in self.state.resources[EDS]]
        return {
            name
            for assignment in assignments
            if assignment is not None
            for name in assignment.names
        }

    # Placing logins

    def draw(self, cluster: str) -> tuple[str, tuple[str, int]] | None:
        """Draws the server for a login.

        Returns None if the login is turned away or there is no current assignment.
        """
        assignment = self.state.assignment(cluster)
        if assignment is None:
            return None
        if (
            assignment.stale_after
            and self._scheduler.now() - self._fresh_at.get(cluster, 0) > assignment.stale_after
        ):
            self._counters["draws from a stale view"] += 1
            return None
        drawn = assignment.draw(self._rng, self.behaviour.even)
        if drawn is None:
            self._turned_away[cluster] += 1
        return drawn

    def place(self, cluster: str, hold: int) -> str | None:
        """Logs in to a drawn server and holds the connection for `hold` nanoseconds; blocks.

        Returns the server's name, or None if the login was turned away or failed.
        """
        drawn = self.draw(cluster)
        if drawn is None:
            self._counters["logins turned away"] += 1
            return None
        name, address = drawn
        self._issued[cluster, name] += 1
        state = "on" if self.connected else "off"
        self.open_logins += 1
        stream = Stream.connect(address, LOGIN_STREAM_LIMITS)
        try:
            if not self._log_in(
                stream, f"OPEN {self._rng.getrandbits(48):x} {self.node}/{state} c={cluster}\r\n"
            ):
                self._counters["logins failed"] += 1
                self._failed[cluster, name] += 1
                return None
            self._counters["logins placed"] += 1
            deadline = self._scheduler.now() + hold
            while (
                not stream.peer_closed
                and not stream.broken
                and self._scheduler.now() < deadline
                and not self.stopped
            ):
                self._scheduler.wait({stream.fd: READ}, deadline)
                stream.receive()
            return name
        finally:
            self.open_logins -= 1
            stream.close()

    def _log_in(self, stream: Stream, line: str) -> bool:
        deadline = self._scheduler.now() + 2 * SECOND
        while not stream.broken and not self._scheduler.wait({stream.fd: WRITE}, deadline):
            if self._scheduler.now() >= deadline:
                return False
        if stream.connect_failed():
            return False
        stream.write(line.encode())
        while self._scheduler.now() < deadline:
            stream.receive()
            try:
                response = stream.read_line()
            except LineTooLongError:
                return False
            if response is not None:
                return response.startswith(b"UP ")
            if stream.peer_closed or stream.broken:
                return False
            self._scheduler.wait({stream.fd: READ}, deadline)
        return False

    # Load reports

    def _run_load_report_stream(self) -> None:
        call = self.channel.call(LRS, self._scheduler.now() + 60 * SECOND)
        request = lrs_pb2.LoadStatsRequest()
        request.node.id = self.node
        call.send_nowait(request.SerializeToString())
        content = call.receive()
        if content is None:
            return
        response = lrs_pb2.LoadStatsResponse()
        response.ParseFromString(content)
        interval = max(20 * MS, response.load_reporting_interval.ToNanoseconds())
        self._scheduler.sleep(int(interval * self._rng.random()))
        while not self.stopped:
            if call.ended:
                call.receive()  # raises the error that ended the call
                return
            self._send_load_report(call)
            self._scheduler.sleep(interval)

    def _send_load_report(self, call: RpcCall) -> None:
        issued, failed, turned_away = self._issued, self._failed, self._turned_away
        if not issued and not failed and not turned_away:
            return
        message = lrs_pb2.LoadStatsRequest()
        by_cluster = {}
        for cluster, name in sorted({*issued, *failed}):
            stats = by_cluster.get(cluster)
            if stats is None:
                stats = by_cluster[cluster] = message.cluster_stats.add(cluster_name=cluster)
            locality = stats.upstream_locality_stats.add(
                total_issued_requests=issued[cluster, name],
                total_error_requests=failed[cluster, name],
            )
            locality.locality.sub_zone = name
        for cluster, count in turned_away.items():
            stats = by_cluster.get(cluster) or message.cluster_stats.add(cluster_name=cluster)
            stats.dropped_requests.add(category="refused", dropped_count=count)
        call.send_nowait(message.SerializeToString())
        self._issued, self._failed, self._turned_away = Counter(), Counter(), Counter()
