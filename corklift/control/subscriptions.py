"""The state of each proxy's xDS streams: resources sent, accepted and rejected, and what is next.

Implements the server side of both xDS variants, state of the world and incremental. A view is the
set of resources that is currently served (a snapshot, in xDS terms). For each stream and resource,
three versions are tracked apart: the one in the current snapshot, the one last sent, and the one
last accepted (ACK).

This module does no I/O and reads no clock: times are passed in, in ns. Responses leave through the
given host, before the method that caused them returns. It never builds a resource and never chooses
a weight.

Source: Envoy's documentation, "xDS REST and gRPC protocol".
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple, Protocol

from xxhash import xxh3_64_hexdigest

MS = 1_000_000
SECOND = 1_000 * MS
WILDCARD = "*"  # the resource name that subscribes to all resources of a kind


class ResourceKind(IntEnum):
    """The resource types that are served, in the order in which additions are sent."""

    CLUSTERS = 0
    ENDPOINTS = 1
    LISTENERS = 2
    ROUTES = 3

    @property
    def sent_in_full(self) -> bool:
        """Whether a state-of-the-world response holds all resources; missing ones are removed."""
        return self in (ResourceKind.CLUSTERS, ResourceKind.LISTENERS)


class Resource(NamedTuple):
    """A named resource in its serialized form."""

    name: str
    version: str  # a hash of the body
    body: bytes
    referenced_clusters: frozenset[str] = frozenset()  # of a route or TCP listener

    @classmethod
    def from_body(cls, name: str, body: bytes, referenced_clusters: Iterable[str] = ()) -> Resource:
        return cls(name, xxh3_64_hexdigest(body), body, frozenset(referenced_clusters))


ResourceTable = Mapping[str, Resource]


def combined_version(resources: Iterable[Resource]) -> str:
    """Returns one version for a set of resources, equal for equal content in any order."""
    return xxh3_64_hexdigest("\n".join(sorted(f"{r.name} {r.version}" for r in resources)).encode())


class Response(NamedTuple):
    """A response to a proxy, of either xDS variant."""

    kind: ResourceKind
    version: str
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()  # incremental only
    heartbeat: bool = False  # renews the TTL of resources that have not changed


class Nack(NamedTuple):
    """A proxy's rejection of a response."""

    version: str
    reason: str
    at: int


class Host(Protocol):
    """Transmits responses to proxies."""

    def send(self, stream: int, response: Response) -> None: ...


class SubscriptionSettings(NamedTuple):
    """Timeouts (ns) and limits of all streams."""

    # How long an unanswered response delays a further one that removes no server.
    ack_timeout: int = 2 * SECOND
    # How long a route waits until its clusters are accepted, and a removed cluster until no route
    # refers to it.
    dependency_timeout: int = 3 * SECOND
    # Unchanged endpoints are sent again after this time; 0: never.
    refresh_interval: int = 0
    # Whether such a repetition is a heartbeat, without content.
    use_heartbeats: bool = False
    # Names of one kind to which a stream may subscribe.
    max_names: int = 5_000
    # Responses of one kind for which a stream's answer is awaited; older ones are forgotten.
    max_unanswered: int = 16


class TooManyNamesError(Exception):
    """A stream subscribes to more names than allowed."""


class Subscription:
    """One kind of resource on one stream."""

    def __init__(self, kind: ResourceKind, incremental: bool) -> None:
        self.kind, self.incremental = kind, incremental
        self.replaces_all = kind.sent_in_full and not incremental
        self.wildcard = False
        # Once a stream has given names, an empty list of names is no longer a wildcard.
        self.has_named = False
        self.names: set[str] = set()
        # The last sent resource by name; None: reported as nonexistent.
        self.sent: dict[str, Resource | None] = {}
        self.accepted: dict[str, Resource] = {}
        # Versions that the proxy already held when it opened the stream, from this or another
        # server.
        self.initial_versions: dict[str, str] = {}
        # Sent responses without an answer by nonce: their version, and each name with its resource
        # or None for a removal.
        self.unanswered: OrderedDict[str, tuple[str, tuple[tuple[str, Resource | None], ...]]] = (
            OrderedDict()
        )
        self.last_nonce = ""
        self.sent_version = self.accepted_version = ""
        # A response was sent on this stream, or the proxy came with the current version.
        self.initialized = False
        self.sent_at = 0
        self.last_nack: Nack | None = None
        # Names from rejected responses, to be sent again with the next response.
        self.resend: set[str] = set()
        # Pending changes are sent without waiting for an ACK.
        self.urgent = False
        # Since when pending routes have been waiting for their clusters.
        self.waiting_since: int | None = None

    def wants(self, name: str) -> bool:
        return self.wildcard or name in self.names

    def count(self) -> int:
        return len(self.names)


class ProxyStream:
    """One xDS stream of a proxy with its subscriptions."""

    def __init__(self, number: int, incremental: bool, now: int) -> None:
        self.number, self.incremental, self.opened_at = number, incremental, now
        self.node = ""
        self.subscriptions: dict[ResourceKind, Subscription] = {}
        self.writable = True  # the host can take a response
        # Changes may be waiting until the stream is writable, for an ACK, or for another kind.
        self.has_pending = False
        self.nonce_count = 0


class ResourceStatus(NamedTuple):
    """The state of one resource on one stream, for operators."""

    kind: ResourceKind
    name: str
    sent: str
    accepted: str
    current: str
    last_nack: Nack | None
    exists: bool


class SubscriptionManager:
    """The current snapshot and the subscriptions of all streams."""

    def __init__(self, host: Host, settings: SubscriptionSettings) -> None:
        self._host, self.settings = host, settings
        self._snapshot: dict[ResourceKind, ResourceTable] = {kind: {} for kind in ResourceKind}
        self._versions: dict[ResourceKind, str] = {
            kind: combined_version(()) for kind in ResourceKind
        }
        # Removed clusters that routes may still refer to, with their endpoints and the time of
        # removal.
        self._retired: dict[str, tuple[Resource, Resource | None, int]] = {}
        self.has_snapshot = False  # nothing is sent to any proxy before the first snapshot
        self.streams: dict[int, ProxyStream] = {}

    # Events

    def update_snapshot(
        self, now: int, tables: Mapping[ResourceKind, ResourceTable], urgent: bool = False
    ) -> None:
        """Replaces the given kinds of the snapshot and sends what changed.

        `urgent`: a server was removed or its address changed, so that the change is sent without
        waiting for answers to earlier responses.
        """
        old = self._snapshot
        self._snapshot = {kind: tables.get(kind, old[kind]) for kind in ResourceKind}
        changed_kinds = [
            kind
            for kind in ResourceKind
            if kind in tables and (not self.has_snapshot or tables[kind] != old[kind])
        ]
        for kind in changed_kinds:
            self._versions[kind] = combined_version(self._snapshot[kind].values())
        if ResourceKind.CLUSTERS in changed_kinds:
            for name, resource in old[ResourceKind.CLUSTERS].items():
                if name not in self._snapshot[ResourceKind.CLUSTERS]:
                    self._retired[name] = (resource, old[ResourceKind.ENDPOINTS].get(name), now)
            for name in self._snapshot[ResourceKind.CLUSTERS]:
                self._retired.pop(name, None)
        first, self.has_snapshot = not self.has_snapshot, True
        for stream in self.streams.values():
            for kind in changed_kinds:
                if kind in stream.subscriptions and urgent:
                    stream.subscriptions[kind].urgent = True
            if changed_kinds or first:
                self._send_pending(
                    now, stream, None if first or len(changed_kinds) > 1 else changed_kinds[0]
                )

    def open_stream(self, now: int, number: int, incremental: bool) -> None:
        self.streams[number] = ProxyStream(number, incremental, now)

    def close_stream(self, number: int) -> None:
        self.streams.pop(number, None)

    def set_node(self, number: int, node: str) -> None:
        self.streams[number].node = node

    def stream_writable(self, now: int, number: int) -> None:
        """The host can take a further response for this stream."""
        stream = self.streams.get(number)
        if stream is not None and not stream.writable:
            stream.writable = True
            if stream.has_pending:
                self._send_pending(now, stream)

    def handle_request(
        self,
        now: int,
        number: int,
        kind: ResourceKind,
        names: Collection[str],
        version: str,
        nonce: str,
        error: str | None,
    ) -> None:
        """Handles a state-of-the-world request: a subscription, an ACK or a NACK.

        Raises:
            TooManyNamesError: the request names more resources than allowed.
        """
        stream = self.streams[number]
        first = kind not in stream.subscriptions
        subscription = stream.subscriptions.setdefault(kind, Subscription(kind, stream.incremental))
        if not first and nonce != subscription.last_nonce:
            # The answer to an earlier response, or a nonce of a closed stream: the names that it
            # asks for are outdated.
            self._handle_answer(now, subscription, nonce, error)
            return
        if not first:
            self._handle_answer(now, subscription, nonce, error)
        if len(names) > self.settings.max_names:
            raise TooManyNamesError(
                f"{len(names)} names of {kind.name.lower()}, {self.settings.max_names} are allowed"
            )
        plain_names = set(names) - {WILDCARD}
        same = not first and plain_names == subscription.names
        subscription.has_named = subscription.has_named or bool(plain_names)
        subscription.wildcard = WILDCARD in names or (
            kind.sent_in_full and not names and not subscription.has_named
        )
        unsubscribed = subscription.names - plain_names
        subscription.names = plain_names
        for name in unsubscribed:
            if not subscription.wildcard:
                subscription.sent.pop(name, None)
                subscription.accepted.pop(name, None)
        if (
            first
            and version
            and self.has_snapshot
            and version == self._subscribed_version(stream, subscription)
        ):
            # The proxy reconnected with exactly the current version: there is nothing to send.
            subscription.initialized = True
            subscription.sent_version = subscription.accepted_version = version
            subscription.sent = dict(self._subscribed_resources(stream, subscription))
            subscription.accepted = self._subscribed_resources(stream, subscription)
            subscription.sent_at = now
        elif first:
            subscription.accepted_version = version
        if not same or stream.has_pending or self._retired:
            self._send_pending(now, stream)

    def handle_delta_request(
        self,
        now: int,
        number: int,
        kind: ResourceKind,
        subscribe: Collection[str],
        unsubscribe: Collection[str],
        initial_versions: Mapping[str, str],
        nonce: str,
        error: str | None,
    ) -> None:
        """Handles an incremental request: changes of a subscription, an ACK or a NACK.

        `initial_versions`: what the proxy still holds from an earlier stream.

        Raises:
            TooManyNamesError: the request names more resources than allowed.
        """
        stream = self.streams[number]
        first = kind not in stream.subscriptions
        subscription = stream.subscriptions.setdefault(kind, Subscription(kind, stream.incremental))
        if nonce:
            self._handle_answer(now, subscription, nonce, error)
        if (
            subscription.count() + len(subscribe) > self.settings.max_names
            or len(initial_versions) > self.settings.max_names
        ):
            raise TooManyNamesError(
                f"more than {self.settings.max_names} names of {kind.name.lower()}"
            )
        if first:
            subscription.wildcard = kind.sent_in_full and not subscribe
            subscription.initial_versions = dict(initial_versions)
        for name in subscribe:
            if name == WILDCARD:
                subscription.wildcard = True
            else:
                subscription.names.add(name)
                if not first:
                    # The protocol requires that a resource is sent again when it is subscribed to
                    # again.
                    subscription.sent.pop(name, None)
        for name in unsubscribe:
            if name == WILDCARD:
                subscription.wildcard = False
                for sent_name in [n for n in subscription.sent if n not in subscription.names]:
                    subscription.sent.pop(sent_name)
                    subscription.accepted.pop(sent_name, None)
            else:
                subscription.names.discard(name)
                if not subscription.wildcard:
                    subscription.sent.pop(name, None)
                    subscription.accepted.pop(name, None)
        if first and self.has_snapshot:
            self._match_initial_versions(stream, subscription)
        if first or subscribe or unsubscribe or stream.has_pending or self._retired:
            self._send_pending(now, stream)

    def tick(self, now: int) -> None:
        """Sends what became due by the passing of time; called several times a second."""
        expired = [
            n
            for n, (_, _, since) in self._retired.items()
            if now - since >= self.settings.dependency_timeout
        ]
        for name in expired:
            del self._retired[name]
        for stream in list(self.streams.values()):
            subscription = stream.subscriptions.get(ResourceKind.ENDPOINTS)
            if (
                expired
                or stream.has_pending
                or (subscription is not None and self._needs_refresh(now, subscription))
            ):
                self._send_pending(now, stream)

    # Queries

    def resource_statuses(self, number: int) -> list[ResourceStatus]:
        stream = self.streams[number]
        statuses = []
        for kind, subscription in sorted(stream.subscriptions.items()):
            resources = self._subscribed_resources(stream, subscription)
            for name in sorted({*subscription.names, *resources, *subscription.sent}):
                sent, accepted, current = (
                    subscription.sent.get(name),
                    subscription.accepted.get(name),
                    resources.get(name),
                )
                statuses.append(
                    ResourceStatus(
                        kind,
                        name,
                        sent.version if sent else "",
                        accepted.version if accepted else "",
                        current.version if current else "",
                        subscription.last_nack,
                        current is not None,
                    )
                )
        return statuses

    def outdated_kinds(self, number: int) -> list[ResourceKind]:
        """Returns the kinds of which this stream has not accepted the current snapshot."""
        stream = self.streams[number]
        return [
            kind
            for kind, subscription in stream.subscriptions.items()
            if any(
                subscription.accepted.get(name) != resource
                for name, resource in self._subscribed_resources(stream, subscription).items()
            )
            or any(
                name not in self._subscribed_resources(stream, subscription)
                for name in subscription.accepted
            )
        ]

    def current_resources(self, kind: ResourceKind) -> ResourceTable:
        """Returns the resources of this kind in the current snapshot, by name."""
        return self._snapshot[kind]

    def current_version(self, kind: ResourceKind) -> str:
        return self._versions[kind]

    # Implementation

    def _handle_answer(
        self, now: int, subscription: Subscription, nonce: str, error: str | None
    ) -> None:
        """Handles the ACK or NACK of the response with this nonce; an unknown nonce is ignored."""
        if nonce not in subscription.unanswered:
            return
        version, items = subscription.unanswered.pop(nonce)
        for older in [n for n in subscription.unanswered if int(n) < int(nonce)]:
            # A proxy answers in order: a response that it skipped counts as accepted with this one.
            older_version, older_items = subscription.unanswered.pop(older)
            if error is None:
                self._accept(subscription, older_version, older_items)
        if error is None:
            self._accept(subscription, version, items)
            subscription.last_nack = None
        else:
            subscription.last_nack = Nack(version, error, now)
            subscription.resend.update(name for name, _ in items)

    @staticmethod
    def _accept(
        subscription: Subscription, version: str, items: Iterable[tuple[str, Resource | None]]
    ) -> None:
        subscription.accepted_version = version
        if subscription.replaces_all:
            subscription.accepted.clear()
        for name, resource in items:
            if resource is None:
                subscription.accepted.pop(name, None)
            elif subscription.wants(name) and (
                subscription.incremental or name in subscription.sent
            ):
                # Skips a resource that was removed since then without a message to the proxy.
                subscription.accepted[name] = resource

    def _match_initial_versions(self, stream: ProxyStream, subscription: Subscription) -> None:
        """Marks current resources that the proxy came with as accepted; the rest will be sent."""
        resources = self._subscribed_resources(stream, subscription)
        for name, version in subscription.initial_versions.items():
            resource = resources.get(name)
            if resource is not None and resource.version == version:
                subscription.sent[name] = subscription.accepted[name] = resource
            elif resource is None and subscription.wants(name):
                # No longer exists, whatever its version: recorded as sent, so that its removal is
                # sent.
                subscription.sent[name] = Resource(name, version, b"")
        subscription.initial_versions = {}

    def _subscribed_resources(
        self, stream: ProxyStream, subscription: Subscription
    ) -> dict[str, Resource]:
        """Returns the resources that this subscription covers."""
        kind, table = subscription.kind, self._snapshot[subscription.kind]
        if subscription.wildcard:
            resources = dict(table)
        else:
            resources = {name: table[name] for name in subscription.names if name in table}
        if self._retired and kind in (ResourceKind.CLUSTERS, ResourceKind.ENDPOINTS):
            # Make before break: a cluster stays until no route that this proxy may use refers to
            # it.
            referenced = self._referenced_clusters(stream)
            for name, (cluster, endpoints, _) in self._retired.items():
                resource = cluster if kind is ResourceKind.CLUSTERS else endpoints
                if (
                    name in referenced
                    and resource is not None
                    and name in subscription.sent
                    and subscription.wants(name)
                ):
                    resources.setdefault(name, resource)
        return resources

    def _subscribed_version(self, stream: ProxyStream, subscription: Subscription) -> str:
        if subscription.wildcard and not self._retired:
            return self._versions[subscription.kind]
        return combined_version(self._subscribed_resources(stream, subscription).values())

    @staticmethod
    def _referenced_clusters(stream: ProxyStream) -> set[str]:
        routes = stream.subscriptions.get(ResourceKind.ROUTES)
        if routes is None:
            return set()
        in_use: list[Resource | None] = [*routes.sent.values(), *routes.accepted.values()]
        return {
            name
            for resource in in_use
            if resource is not None
            for name in resource.referenced_clusters
        }

    def _needs_refresh(self, now: int, subscription: Subscription) -> bool:
        return bool(
            self.settings.refresh_interval
            and subscription.initialized
            and now - subscription.sent_at >= self.settings.refresh_interval
        )

    def _send_pending(
        self, now: int, stream: ProxyStream, only: ResourceKind | None = None
    ) -> None:
        """Sends pending changes, of all kinds or of one, as long as the stream is writable."""
        if not self.has_snapshot:
            return
        pending, stream.has_pending = stream.has_pending and only is not None, False
        for kind in ResourceKind if only is None else (only,):
            if not stream.writable:
                pending = True
                break
            subscription = stream.subscriptions.get(kind)
            if subscription is None:
                continue
            if subscription.initial_versions:
                self._match_initial_versions(stream, subscription)
            pending = self._send_pending_kind(now, stream, subscription) or pending
        stream.has_pending = pending

    def _send_pending_kind(self, now: int, stream: ProxyStream, subscription: Subscription) -> bool:
        """Sends the pending changes of one kind; returns whether some must wait."""
        if (
            subscription.wildcard
            and not self._retired
            and not stream.incremental
            and subscription.initialized
            and subscription.sent_version == self._versions[subscription.kind]
            and not self._needs_refresh(now, subscription)
        ):
            return False  # avoids comparing all resources for each of many streams
        resources = self._subscribed_resources(stream, subscription)
        changed = [
            resource
            for name, resource in resources.items()
            if subscription.sent.get(name) != resource
        ]
        removed = [
            name
            for name, sent in subscription.sent.items()
            if sent is not None and name not in resources
        ]
        if stream.incremental:
            removed += [
                name
                for name in subscription.names
                if name not in resources and name not in subscription.sent
            ]
            pending = bool(changed or removed) or (
                not subscription.initialized and subscription.wildcard
            )
        elif subscription.kind.sent_in_full:
            pending = bool(changed or removed) or not subscription.initialized
        else:
            pending = bool(changed)
            # State of the world has no message that removes endpoints or routes: they go with their
            # cluster or listener.
            for name in removed:
                subscription.sent.pop(name)
                subscription.accepted.pop(name, None)
        heartbeat = (
            not pending
            and subscription.kind is ResourceKind.ENDPOINTS
            and self._needs_refresh(now, subscription)
            and bool(resources)
        )
        if not pending and not heartbeat:
            subscription.urgent, subscription.waiting_since = False, None
            return False
        if (
            pending
            and not subscription.urgent
            and self._must_wait(now, stream, subscription, changed)
        ):
            return True
        if heartbeat or (subscription.replaces_all):
            changed = list(resources.values())
        elif subscription.resend:
            # A NACK rejects the whole response, so its valid resources must be sent again too.
            changed_names = {resource.name for resource in changed}
            changed += [
                resources[name]
                for name in sorted(subscription.resend - changed_names)
                if name in resources
            ]
            removed += [
                name for name in sorted(subscription.resend - set(removed)) if name not in resources
            ]
        self._send(
            now,
            stream,
            subscription,
            changed,
            removed,
            resources,
            heartbeat and self.settings.use_heartbeats,
        )
        return False

    def _must_wait(
        self, now: int, stream: ProxyStream, subscription: Subscription, changed: list[Resource]
    ) -> bool:
        if subscription.unanswered and now - subscription.sent_at < self.settings.ack_timeout:
            return True
        if subscription.kind is ResourceKind.ROUTES and self._lacks_clusters(stream, changed):
            if subscription.waiting_since is None:
                subscription.waiting_since = now
            return now - subscription.waiting_since < self.settings.dependency_timeout
        return False

    def _lacks_clusters(self, stream: ProxyStream, routes: list[Resource]) -> bool:
        """Whether the proxy subscribes to all clusters and lacks some that these routes refer to.

        A proxy that subscribes to clusters by name does so only once it has the routes, so routes
        never wait for it.
        """
        clusters = stream.subscriptions.get(ResourceKind.CLUSTERS)
        if clusters is None or not clusters.wildcard:
            return False
        needed = {
            name
            for route in routes
            for name in route.referenced_clusters
            if name in self._snapshot[ResourceKind.CLUSTERS]
        }
        endpoints = stream.subscriptions.get(ResourceKind.ENDPOINTS)
        return (
            not needed <= clusters.accepted.keys()
            or endpoints is None
            or not needed <= endpoints.accepted.keys()
        )

    def _send(
        self,
        now: int,
        stream: ProxyStream,
        subscription: Subscription,
        changed: list[Resource],
        removed: list[str],
        resources: dict[str, Resource],
        heartbeat: bool,
    ) -> None:
        stream.nonce_count += 1
        nonce = str(stream.nonce_count)
        version = (
            self._versions[subscription.kind]
            if subscription.wildcard and not self._retired
            else combined_version(resources.values())
        )
        if subscription.kind is ResourceKind.CLUSTERS:
            endpoints = stream.subscriptions.get(ResourceKind.ENDPOINTS)
            for resource in changed if endpoints is not None and not heartbeat else ():
                if subscription.sent.get(resource.name) not in (None, resource):
                    # After a change of a cluster, a proxy waits for its endpoints to be sent again.
                    endpoints.sent.pop(resource.name, None)
        items: list[tuple[str, Resource | None]] = [
            (resource.name, resource) for resource in changed
        ]
        items += [(name, None) for name in removed]
        for name, resource in items:
            if resource is None and not (stream.incremental and name in subscription.names):
                subscription.sent.pop(name, None)
            else:
                subscription.sent[name] = resource
        subscription.unanswered[nonce] = (version, tuple(items))
        while len(subscription.unanswered) > self.settings.max_unanswered:
            subscription.unanswered.popitem(last=False)
        subscription.last_nonce, subscription.sent_version = nonce, version
        subscription.initialized, subscription.sent_at = True, now
        subscription.urgent, subscription.waiting_since = False, None
        subscription.resend.clear()
        stream.writable = False
        self._host.send(
            stream.number,
            Response(
                subscription.kind,
                version,
                nonce,
                tuple(changed),
                tuple(removed) if stream.incremental else (),
                heartbeat,
            ),
        )
