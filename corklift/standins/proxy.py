"""A stand-in proxy: follows a control service over ADS, places connections by what it was told, reports loads.

Written from the published protocol, both variants. `Held` is its state without I/O: responses in, requests out. Habits
play the failures: slow reading, answers that never come, refusals, broken connections, staleness.
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
WRAPPED = PREFIX + "envoy.service.discovery.v3.Resource"
PLACING = Limits(
    clients=0, waiting=0, probes=0, connect_time=SECOND, stop_time=SECOND, line=1024, ring=1024
)


class Servers(NamedTuple):
    """An assignment as a proxy draws from it."""

    names: tuple[str, ...]
    addresses: tuple[tuple[str, int], ...]
    sums: tuple[int, ...]  # of the weights so far
    refused: int  # of 10,000
    stale_after: int  # ns; 0: never

    def draw(self, rng: Random, even: bool = False) -> tuple[str, tuple[str, int]] | None:
        if not self.names or rng.randrange(10_000) < self.refused:
            return None
        at = (
            rng.randrange(len(self.names))
            if even
            else bisect(self.sums, rng.randrange(self.sums[-1]))
        )
        return self.names[at], self.addresses[at]


@lru_cache(maxsize=256)  # proxies of one process read the same view
def servers(content: bytes) -> Servers:
    message = endpoint_pb2.ClusterLoadAssignment()
    message.ParseFromString(content)
    names, addresses, weights = [], [], []
    for locality in message.endpoints:
        if not locality.load_balancing_weight.value:
            continue
        for endpoint in locality.lb_endpoints:
            if endpoint.health_status in (health_check_pb2.UNKNOWN, health_check_pb2.HEALTHY):
                where = endpoint.endpoint.address.socket_address
                names.append(locality.locality.sub_zone)
                addresses.append((where.address, where.port_value))
                weights.append(locality.load_balancing_weight.value)
    refused = sum(drop.drop_percentage.numerator for drop in message.policy.drop_overloads)
    return Servers(
        tuple(names),
        tuple(addresses),
        tuple(accumulate(weights)),
        refused,
        message.policy.endpoint_stale_after.ToNanoseconds(),
    )


class Habits(NamedTuple):
    incremental: bool = False
    acks: bool = True
    reads_every: int = 0  # ns between two looks at what has come; 0: at once
    refuses: Callable[[str, list[str], int], str | None] = lambda url, names, count: None
    drops_every: int = 0  # ns, about, between two connections that it breaks off itself
    even: bool = False  # draws without the weights
    reports: bool = True


class Held:
    """What a proxy has accepted, and what it says next. No I/O and no clock."""

    def __init__(self, node: str, habits: Habits) -> None:
        self._node, self._habits = node, habits
        self.resources: dict[str, dict[str, tuple[str, bytes]]] = {
            url: {} for url in (CDS, EDS, LDS, RDS)
        }
        self.versions: dict[str, str] = {}  # as accepted, state of the world
        self.names: dict[str, list[str]] = {EDS: [], RDS: []}
        self.responses: Counter[str] = Counter()
        self.refused: list[str] = []
        self._nonces: dict[str, str] = {}
        self._told = False

    def stream_opened(self) -> list[bytes]:
        """A new stream: nothing of the last one's nonces holds, all that was accepted does."""
        self._nonces, self._told = {}, False
        first = [self._request(CDS), self._request(LDS)]
        return first + [self._request(url) for url in (EDS, RDS) if self.names[url]]

    def _request(
        self,
        url: str,
        nonce: str = "",
        problem: str | None = None,
        subscribe: list[str] | None = None,
        unsubscribe: list[str] | None = None,
    ) -> bytes:
        if self._habits.incremental:
            first = url not in self._nonces
            message = discovery_pb2.DeltaDiscoveryRequest(type_url=url, response_nonce=nonce)
            if first:
                self._nonces[url] = ""
                message.initial_resource_versions.update(
                    {name: v for name, (v, _) in self.resources[url].items()}
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
        if problem is not None:
            message.error_detail.code, message.error_detail.message = 3, problem
        if not self._told:
            self._told = True
            message.node.id = self._node
        return bytes(message.SerializeToString())

    def came(self, content: bytes) -> list[bytes]:
        """A response; returns what to say to it."""
        if self._habits.incremental:
            delta = discovery_pb2.DeltaDiscoveryResponse()
            delta.ParseFromString(content)
            return self._changes(delta)
        whole = discovery_pb2.DiscoveryResponse()
        whole.ParseFromString(content)
        url, found = whole.type_url, {}
        for packed in whole.resources:
            name, version, body = self._unwrapped(
                url, packed.type_url, packed.value, whole.version_info
            )
            found[name] = (
                version,
                body if body is not None else self.resources[url].get(name, ("", b""))[1],
            )
        self.responses[url] += 1
        problem = self._habits.refuses(url, sorted(found), self.responses[url])
        if problem is None:
            if url in (CDS, LDS):
                self.resources[url] = found
            else:
                self.resources[url].update(found)
            self.versions[url] = whole.version_info
        else:
            self.refused.append(problem)
        self._nonces[url] = whole.nonce
        answers = [self._request(url, whole.nonce, problem)] if self._habits.acks else []
        return answers + self._follow(url)

    def _changes(self, delta: discovery_pb2.DeltaDiscoveryResponse) -> list[bytes]:
        url = delta.type_url
        self.responses[url] += 1
        problem = self._habits.refuses(
            url, sorted(r.name for r in delta.resources), self.responses[url]
        )
        if problem is None:
            for resource in delta.resources:
                old = self.resources[url].get(resource.name, ("", b""))[1]
                body = resource.resource.value if resource.HasField("resource") else old
                self.resources[url][resource.name] = (resource.version, body)
            for name in delta.removed_resources:
                self.resources[url].pop(name, None)
        else:
            self.refused.append(problem)
        answers = [self._request(url, delta.nonce, problem)] if self._habits.acks else []
        return answers + self._follow(url)

    def _unwrapped(
        self, url: str, type_url: str, value: bytes, version: str
    ) -> tuple[str, str, bytes | None]:
        if type_url == WRAPPED:
            wrapped = discovery_pb2.Resource()
            wrapped.ParseFromString(value)
            return (
                wrapped.name,
                wrapped.version,
                wrapped.resource.value if wrapped.HasField("resource") else None,
            )
        return _name(url, value), version, value

    def _follow(self, url: str) -> list[bytes]:
        """Clusters ask for their endpoints, listeners for their routes."""
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
                self._nonces.get(target, "") if not self._habits.incremental else "",
                subscribe=[n for n in wanted if n not in old],
                unsubscribe=[n for n in old if n not in wanted],
            )
        ]

    def servers(self, cluster: str) -> Servers | None:
        held = self.resources[EDS].get(cluster)
        return None if held is None or cluster not in self.resources[CDS] else servers(held[1])


def _name(url: str, content: bytes) -> str:
    message = {
        CDS: cluster_pb2.Cluster,
        EDS: endpoint_pb2.ClusterLoadAssignment,
        LDS: listener_pb2.Listener,
        RDS: route_pb2.RouteConfiguration,
    }[url]()
    message.ParseFromString(content)
    return str(message.cluster_name if url == EDS else message.name)


class Proxy:
    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        address: tuple[str, int],
        node: str,
        rng: Random,
        habits: Habits = Habits(),
        limits: RpcLimits = RpcLimits(ping_after=0, initial_backoff=200 * MS, ring=8192),
    ) -> None:
        self._scheduler, self.node, self._rng, self.habits, self._counters = (
            scheduler,
            node,
            rng,
            habits,
            counters,
        )
        self.held = Held(node, habits)
        self.channel = Channel(scheduler, limits, counters, address, rng)
        self.connected = False
        self.connected_at = 0
        self.view_changed: Callable[[Proxy, set[str], set[str]], None] | None = (
            None  # servers before and after
        )
        self.placing = 0
        self._fresh_at: dict[str, int] = {}
        self._issued: Counter[tuple[str, str]] = (
            Counter()
        )  # by cluster and server, since the last report
        self._failed: Counter[tuple[str, str]] = Counter()
        self._turned_away: Counter[str] = Counter()
        self.stopped = False

    def start(self) -> None:
        self._scheduler.spawn(self.channel.connect_loop)
        self._scheduler.spawn(self._keep, self._follow)
        if self.habits.reports:
            self._scheduler.spawn(self._keep, self._report)
        if self.habits.drops_every:
            self._scheduler.spawn(self._keep_dropping)

    def stop(self) -> None:
        self.stopped = True
        self.channel.close()

    def _keep(self, run: Callable[[], None]) -> None:
        while not self.stopped:
            try:
                run()
            except RpcError:
                self._counters["proxy streams ended"] += 1
            self.connected = False
            self._scheduler.sleep(20 * MS)

    def _keep_dropping(self) -> None:
        while not self.stopped:
            self._scheduler.sleep(int(self.habits.drops_every * self._rng.uniform(0.5, 1.5)))
            if self.habits.drops_every < 3600 * SECOND:  # it may have been told to stop doing so
                self.channel.abort_connection()

    def _follow(self) -> None:
        path = ADS + (
            "DeltaAggregatedResources" if self.habits.incremental else "StreamAggregatedResources"
        )
        call = self.channel.call(path, self._scheduler.now() + 60 * SECOND)
        for request in self.held.stream_opened():
            call.send_nowait(request)
        while True:
            message = call.receive()
            if message is None:
                return
            if not self.connected:
                self.connected, self.connected_at = True, self._scheduler.now()
            before = self._names() if self.view_changed else set()
            for answer in self.held.came(message):
                call.send_nowait(answer)
            if self.view_changed and (after := self._names()) != before:
                self.view_changed(self, before, after)
            for cluster in self.held.resources[EDS]:
                self._fresh_at[cluster] = self._scheduler.now()
            if self.habits.reads_every:
                self._scheduler.sleep(self.habits.reads_every)

    def _names(self) -> set[str]:
        """All servers that it may draw."""
        found = [self.held.servers(cluster) for cluster in self.held.resources[EDS]]
        return {name for held in found if held is not None for name in held.names}

    # Placing

    def draw(self, cluster: str) -> tuple[str, tuple[str, int]] | None:
        """Where a login of this cluster would go now; None: turned away, or nothing to draw from."""
        found = self.held.servers(cluster)
        if found is None:
            return None
        if (
            found.stale_after
            and self._scheduler.now() - self._fresh_at.get(cluster, 0) > found.stale_after
        ):
            self._counters["draws from a stale view"] += 1
            return None
        drawn = found.draw(self._rng, self.habits.even)
        if drawn is None:
            self._turned_away[cluster] += 1
        return drawn

    def place(self, cluster: str, hold: int) -> str | None:
        """Opens a connection by the view, holds it for so long; blocks. Returns the server, or None."""
        drawn = self.draw(cluster)
        if drawn is None:
            self._counters["logins turned away"] += 1
            return None
        name, address = drawn
        self._issued[cluster, name] += 1
        state = "on" if self.connected else "off"
        self.placing += 1
        stream = Stream.connect(address, PLACING)
        try:
            if not self._opened(
                stream, f"OPEN {self._rng.getrandbits(48):x} {self.node}/{state} c={cluster}\r\n"
            ):
                self._counters["logins failed"] += 1
                self._failed[cluster, name] += 1
                return None
            self._counters["logins placed"] += 1
            until = self._scheduler.now() + hold
            while (
                not stream.peer_closed
                and not stream.broken
                and self._scheduler.now() < until
                and not self.stopped
            ):
                self._scheduler.wait({stream.fd: READ}, until)
                stream.receive()
            return name
        finally:
            self.placing -= 1
            stream.close()

    def _opened(self, stream: Stream, line: str) -> bool:
        until = self._scheduler.now() + 2 * SECOND
        while not stream.broken and not self._scheduler.wait({stream.fd: WRITE}, until):
            if self._scheduler.now() >= until:
                return False
        if stream.connect_failed():
            return False
        stream.write(line.encode())
        while self._scheduler.now() < until:
            stream.receive()
            try:
                answer = stream.read_line()
            except LineTooLongError:
                return False
            if answer is not None:
                return answer.startswith(b"UP ")
            if stream.peer_closed or stream.broken:
                return False
            self._scheduler.wait({stream.fd: READ}, until)
        return False

    # Load reports

    def _report(self) -> None:
        call = self.channel.call(LRS, self._scheduler.now() + 60 * SECOND)
        first = lrs_pb2.LoadStatsRequest()
        first.node.id = self.node
        call.send_nowait(first.SerializeToString())
        content = call.receive()
        if content is None:
            return
        answer = lrs_pb2.LoadStatsResponse()
        answer.ParseFromString(content)
        every = max(20 * MS, answer.load_reporting_interval.ToNanoseconds())
        self._scheduler.sleep(int(every * self._rng.random()))
        while not self.stopped:
            if call.ended:
                call.receive()  # raises how it ended
                return
            self._say_loads(call)
            self._scheduler.sleep(every)

    def _say_loads(self, call: RpcCall) -> None:
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
        for cluster, number in turned_away.items():
            stats = by_cluster.get(cluster) or message.cluster_stats.add(cluster_name=cluster)
            stats.dropped_requests.add(category="refused", dropped_count=number)
        call.send_nowait(message.SerializeToString())
        self._issued, self._failed, self._turned_away = Counter(), Counter(), Counter()
