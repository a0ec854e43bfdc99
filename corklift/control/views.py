"""Who is owed what: which proxy has been sent which resource, has accepted or refused it, and what goes next.

Every answer to a proxy is decided here, for both variants of xDS (state of the world, incremental). Owns the view in
force and each stream's subscriptions. What was told, what was sent and what was accepted are three fields. Free of
I/O and clocks (times come in, ns); acts by calls on the host handed in, made before the method returns. Must never
build a resource or weigh a server. Source: Envoy's "xDS REST and gRPC protocol" page.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple, Protocol

from xxhash import xxh3_64_hexdigest

MS = 1_000_000
SECOND = 1_000 * MS
EVERY = "*"  # a subscription to all that there is


class Kind(IntEnum):
    """The types of resources, in the order in which additions are made."""

    CLUSTERS = 0
    ENDPOINTS = 1
    LISTENERS = 2
    ROUTES = 3

    @property
    def whole(self) -> bool:
        """Whether a state-of-the-world answer holds all there is, so that what it lacks is gone."""
        return self in (Kind.CLUSTERS, Kind.LISTENERS)


class Resource(NamedTuple):
    name: str
    version: str  # made from the content
    body: bytes
    refers: frozenset[str] = frozenset()  # the clusters that a route names

    @classmethod
    def of(cls, name: str, body: bytes, refers: Iterable[str] = ()) -> Resource:
        return cls(name, xxh3_64_hexdigest(body), body, frozenset(refers))


Table = Mapping[str, Resource]


def version_of(resources: Iterable[Resource]) -> str:
    """Alike for equal content wherever it is made, whatever the order."""
    return xxh3_64_hexdigest("\n".join(sorted(f"{r.name} {r.version}" for r in resources)).encode())


class Response(NamedTuple):
    kind: Kind
    version: str
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()  # incremental only
    heartbeat: bool = False  # nothing has changed: it only says that what was sent still holds


class Refused(NamedTuple):
    version: str
    reason: str
    at: int


class Host(Protocol):
    def send(self, stream: int, response: Response) -> None: ...


class Settings(NamedTuple):
    ack_wait: int = (
        2 * SECOND
    )  # an answer to weights is waited for so long before newer ones follow
    hold_time: int = (
        3 * SECOND
    )  # a route waits so long for its clusters to be accepted; a cluster for its routes to go
    refresh: int = 0  # endpoints are sent again after so long without a change; 0: never
    heartbeats: bool = False  # and then as a heartbeat, without content
    names: int = 5_000  # a stream may ask for, of one kind
    unanswered: int = (
        16  # answers of one kind that a stream may owe before older ones are forgotten
    )


class TooMany(Exception):
    """A stream asks for more than is allowed."""


class Subscription:
    """One kind on one stream."""

    def __init__(self, kind: Kind, incremental: bool) -> None:
        self.kind, self.incremental = kind, incremental
        self.replaces = kind.whole and not incremental  # a response holds all there is
        self.every = False
        self.named = False  # names were once given, so that none means none
        self.names: set[str] = set()
        self.sent: dict[
            str, Resource | None
        ] = {}  # as last sent; None: told that it does not exist
        self.accepted: dict[str, Resource] = {}
        self.foreign: dict[
            str, str
        ] = {}  # versions that it came with, as accepted from whoever sent them
        self.open: OrderedDict[str, tuple[str, tuple[tuple[str, Resource | None], ...]]] = (
            OrderedDict()
        )
        self.last_nonce = ""
        self.sent_version = self.accepted_version = ""
        self.answered = False  # something was sent on this stream, or it came with what is in force
        self.sent_at = 0
        self.refused: Refused | None = None
        self.again: set[str] = (
            set()
        )  # names in responses that were refused whole: told anew with the next one
        self.urgent = False  # what is owed does not wait for answers
        self.held_since: int | None = None  # what is owed waits for another kind

    def wants(self, name: str) -> bool:
        return self.every or name in self.names

    def count(self) -> int:
        return len(self.names)


class Stream:
    def __init__(self, number: int, incremental: bool, now: int) -> None:
        self.number, self.incremental, self.opened_at = number, incremental, now
        self.node = ""
        self.kinds: dict[Kind, Subscription] = {}
        self.room = True  # the host can take a response
        self.owed = False  # something may be owed that waits for room, an answer or another kind
        self.nonces = 0


class Status(NamedTuple):
    """What a stream has of one resource, for the operators."""

    kind: Kind
    name: str
    sent: str
    accepted: str
    in_force: str
    refused: Refused | None
    exists: bool


class Views:
    def __init__(self, host: Host, settings: Settings) -> None:
        self._host, self.settings = host, settings
        self._view: dict[Kind, Table] = {kind: {} for kind in Kind}
        self._versions: dict[Kind, str] = {kind: version_of(()) for kind in Kind}
        self._retired: dict[
            str, tuple[Resource, Resource | None, int]
        ] = {}  # clusters, their endpoints, since when
        self.known = False  # there is a view; until then nobody is sent anything
        self.streams: dict[int, Stream] = {}

    # What happens

    def changed(self, now: int, tables: Mapping[Kind, Table], urgent: bool = False) -> None:
        """A new view is in force; kinds that are not named stay. Urgent: something was taken away."""
        old = self._view
        self._view = {kind: tables.get(kind, old[kind]) for kind in Kind}
        touched = [
            kind
            for kind in Kind
            if kind in tables and (not self.known or tables[kind] != old[kind])
        ]
        for kind in touched:
            self._versions[kind] = version_of(self._view[kind].values())
        if Kind.CLUSTERS in touched:
            for name, resource in old[Kind.CLUSTERS].items():
                if name not in self._view[Kind.CLUSTERS]:
                    self._retired[name] = (resource, old[Kind.ENDPOINTS].get(name), now)
            for name in self._view[Kind.CLUSTERS]:
                self._retired.pop(name, None)
        first, self.known = not self.known, True
        for stream in self.streams.values():
            for kind in touched:
                if kind in stream.kinds and urgent:
                    stream.kinds[kind].urgent = True
            if touched or first:
                self._settle(now, stream, None if first or len(touched) > 1 else touched[0])

    def opened(self, now: int, number: int, incremental: bool) -> None:
        self.streams[number] = Stream(number, incremental, now)

    def closed(self, number: int) -> None:
        self.streams.pop(number, None)

    def named(self, number: int, node: str) -> None:
        self.streams[number].node = node

    def room(self, now: int, number: int) -> None:
        """The host can take a further response for this stream."""
        stream = self.streams.get(number)
        if stream is not None and not stream.room:
            stream.room = True
            if stream.owed:
                self._settle(now, stream)

    def requested(
        self,
        now: int,
        number: int,
        kind: Kind,
        names: Collection[str],
        version: str,
        nonce: str,
        problem: str | None,
    ) -> None:
        """State of the world: a subscription, an acceptance or a refusal.

        Raises:
            TooMany: more names than are allowed.
        """
        stream = self.streams[number]
        first = kind not in stream.kinds
        subscription = stream.kinds.setdefault(kind, Subscription(kind, stream.incremental))
        if not first and nonce != subscription.last_nonce:
            # An answer to an earlier response, or of a stream that is gone: what it asks for is out of date.
            self._answered(now, subscription, nonce, problem)
            return
        if not first:
            self._answered(now, subscription, nonce, problem)
        if len(names) > self.settings.names:
            raise TooMany(
                f"{len(names)} names of {kind.name.lower()}, {self.settings.names} are allowed"
            )
        plain = set(names) - {EVERY}
        same = not first and plain == subscription.names
        subscription.named = subscription.named or bool(plain)
        subscription.every = EVERY in names or (kind.whole and not names and not subscription.named)
        gone = subscription.names - plain
        subscription.names = plain
        for name in gone:
            if not subscription.every:
                subscription.sent.pop(name, None)
                subscription.accepted.pop(name, None)
        if (
            first
            and version
            and self.known
            and version == self._scope_version(stream, subscription)
        ):
            # It came back with just what is in force: nothing is owed.
            subscription.answered = True
            subscription.sent_version = subscription.accepted_version = version
            subscription.sent = dict(self._scope(stream, subscription))
            subscription.accepted = self._scope(stream, subscription)
            subscription.sent_at = now
        elif first:
            subscription.accepted_version = version
        if not same or stream.owed or self._retired:
            self._settle(now, stream)

    def requested_changes(
        self,
        now: int,
        number: int,
        kind: Kind,
        subscribe: Collection[str],
        unsubscribe: Collection[str],
        had: Mapping[str, str],
        nonce: str,
        problem: str | None,
    ) -> None:
        """Incremental: changes of a subscription, an acceptance or a refusal; `had`: versions of an earlier stream.

        Raises:
            TooMany: more names than are allowed.
        """
        stream = self.streams[number]
        first = kind not in stream.kinds
        subscription = stream.kinds.setdefault(kind, Subscription(kind, stream.incremental))
        if nonce:
            self._answered(now, subscription, nonce, problem)
        if (
            subscription.count() + len(subscribe) > self.settings.names
            or len(had) > self.settings.names
        ):
            raise TooMany(f"more than {self.settings.names} names of {kind.name.lower()}")
        if first:
            subscription.every = kind.whole and not subscribe
            subscription.foreign = dict(had)
        for name in subscribe:
            if name == EVERY:
                subscription.every = True
            else:
                subscription.names.add(name)
                if not first:
                    subscription.sent.pop(
                        name, None
                    )  # asked for again: sent again, as the protocol has it
        for name in unsubscribe:
            if name == EVERY:
                subscription.every = False
                for known in [n for n in subscription.sent if n not in subscription.names]:
                    subscription.sent.pop(known)
                    subscription.accepted.pop(known, None)
            else:
                subscription.names.discard(name)
                if not subscription.every:
                    subscription.sent.pop(name, None)
                    subscription.accepted.pop(name, None)
        if first and self.known:
            self._match(stream, subscription)
        if first or subscribe or unsubscribe or stream.owed or self._retired:
            self._settle(now, stream)

    def tick(self, now: int) -> None:
        """What is due by time alone; called a few times a second."""
        expired = [
            n
            for n, (_, _, since) in self._retired.items()
            if now - since >= self.settings.hold_time
        ]
        for name in expired:
            del self._retired[name]
        for stream in list(self.streams.values()):
            subscription = stream.kinds.get(Kind.ENDPOINTS)
            if (
                expired
                or stream.owed
                or (subscription is not None and self._stale(now, subscription))
            ):
                self._settle(now, stream)

    # What is asked

    def statuses(self, number: int) -> list[Status]:
        stream = self.streams[number]
        found = []
        for kind, subscription in sorted(stream.kinds.items()):
            scope = self._scope(stream, subscription)
            for name in sorted({*subscription.names, *scope, *subscription.sent}):
                sent, accepted, now = (
                    subscription.sent.get(name),
                    subscription.accepted.get(name),
                    scope.get(name),
                )
                found.append(
                    Status(
                        kind,
                        name,
                        sent.version if sent else "",
                        accepted.version if accepted else "",
                        now.version if now else "",
                        subscription.refused,
                        now is not None,
                    )
                )
        return found

    def behind(self, number: int) -> list[Kind]:
        """The kinds of which this stream has not accepted the view in force."""
        stream = self.streams[number]
        return [
            kind
            for kind, subscription in stream.kinds.items()
            if any(
                subscription.accepted.get(name) != resource
                for name, resource in self._scope(stream, subscription).items()
            )
            or any(name not in self._scope(stream, subscription) for name in subscription.accepted)
        ]

    def table(self, kind: Kind) -> Table:
        """What is in force of this kind, by name."""
        return self._view[kind]

    def version(self, kind: Kind) -> str:
        return self._versions[kind]

    # Within

    def _answered(
        self, now: int, subscription: Subscription, nonce: str, problem: str | None
    ) -> None:
        """An acceptance or refusal of the response with this nonce; any other nonce tells nothing."""
        if nonce not in subscription.open:
            return
        version, items = subscription.open.pop(nonce)
        for older in [n for n in subscription.open if int(n) < int(nonce)]:
            # It answers in order: what it never answered in between is held to be taken with this one.
            older_version, older_items = subscription.open.pop(older)
            if problem is None:
                self._accept(subscription, older_version, older_items)
        if problem is None:
            self._accept(subscription, version, items)
            subscription.refused = None
        else:
            subscription.refused = Refused(version, problem, now)
            subscription.again.update(name for name, _ in items)

    @staticmethod
    def _accept(
        subscription: Subscription, version: str, items: Iterable[tuple[str, Resource | None]]
    ) -> None:
        subscription.accepted_version = version
        if subscription.replaces:
            subscription.accepted.clear()
        for name, resource in items:
            if resource is None:
                subscription.accepted.pop(name, None)
            elif subscription.wants(name) and (
                subscription.incremental or name in subscription.sent
            ):
                subscription.accepted[name] = resource  # unless it has gone without a word since

    def _match(self, stream: Stream, subscription: Subscription) -> None:
        """What it came with and is in force counts as sent and accepted; anything else of it is owed anew."""
        scope = self._scope(stream, subscription)
        for name, version in subscription.foreign.items():
            resource = scope.get(name)
            if resource is not None and resource.version == version:
                subscription.sent[name] = subscription.accepted[name] = resource
            elif resource is None and subscription.wants(name):
                # Something that is gone, under whatever version: told as removed.
                subscription.sent[name] = Resource(name, version, b"")
        subscription.foreign = {}

    def _scope(self, stream: Stream, subscription: Subscription) -> dict[str, Resource]:
        """All of the view that this subscription covers."""
        kind, table = subscription.kind, self._view[subscription.kind]
        if subscription.every:
            scope = dict(table)
        else:
            scope = {name: table[name] for name in subscription.names if name in table}
        if self._retired and kind in (Kind.CLUSTERS, Kind.ENDPOINTS):
            # Make before break: a cluster stays until no route that this proxy may use names it.
            used = self._clusters_used(stream)
            for name, (cluster, endpoints, _) in self._retired.items():
                resource = cluster if kind is Kind.CLUSTERS else endpoints
                if (
                    name in used
                    and resource is not None
                    and name in subscription.sent
                    and subscription.wants(name)
                ):
                    scope.setdefault(name, resource)
        return scope

    def _scope_version(self, stream: Stream, subscription: Subscription) -> str:
        if subscription.every and not self._retired:
            return self._versions[subscription.kind]
        return version_of(self._scope(stream, subscription).values())

    @staticmethod
    def _clusters_used(stream: Stream) -> set[str]:
        routes = stream.kinds.get(Kind.ROUTES)
        if routes is None:
            return set()
        held: list[Resource | None] = [*routes.sent.values(), *routes.accepted.values()]
        return {name for resource in held if resource is not None for name in resource.refers}

    def _stale(self, now: int, subscription: Subscription) -> bool:
        return bool(
            self.settings.refresh
            and subscription.answered
            and now - subscription.sent_at >= self.settings.refresh
        )

    def _settle(self, now: int, stream: Stream, only: Kind | None = None) -> None:
        """Sends what is owed, in order, as long as the host takes it."""
        if not self.known:
            return
        owed, stream.owed = stream.owed and only is not None, False
        for kind in Kind if only is None else (only,):
            if not stream.room:
                owed = True
                break
            subscription = stream.kinds.get(kind)
            if subscription is None:
                continue
            if subscription.foreign:
                self._match(stream, subscription)
            owed = self._send_owed(now, stream, subscription) or owed
        stream.owed = owed

    def _send_owed(self, now: int, stream: Stream, subscription: Subscription) -> bool:
        """Returns whether something is owed that must wait."""
        if (
            subscription.every
            and not self._retired
            and not stream.incremental
            and subscription.answered
            and subscription.sent_version == self._versions[subscription.kind]
            and not self._stale(now, subscription)
        ):
            return False  # Guards against a walk over all resources for each of many streams
        scope = self._scope(stream, subscription)
        changed = [
            resource for name, resource in scope.items() if subscription.sent.get(name) != resource
        ]
        gone = [
            name
            for name, held in subscription.sent.items()
            if held is not None and name not in scope
        ]
        if stream.incremental:
            gone += [
                name
                for name in subscription.names
                if name not in scope and name not in subscription.sent
            ]
            owed = bool(changed or gone) or (not subscription.answered and subscription.every)
        elif subscription.kind.whole:
            owed = bool(changed or gone) or not subscription.answered
        else:
            owed = bool(changed)
            for name in gone:  # there is no word for it: it goes with its cluster or listener
                subscription.sent.pop(name)
                subscription.accepted.pop(name, None)
        heartbeat = (
            not owed
            and subscription.kind is Kind.ENDPOINTS
            and self._stale(now, subscription)
            and bool(scope)
        )
        if not owed and not heartbeat:
            subscription.urgent, subscription.held_since = False, None
            return False
        if owed and not subscription.urgent and self._must_wait(now, stream, subscription, changed):
            return True
        if heartbeat or (subscription.replaces):
            changed = list(scope.values())
        elif subscription.again:
            # A refusal is of a response whole: what was well in it is not lost with what was not.
            told = {resource.name for resource in changed}
            changed += [scope[name] for name in sorted(subscription.again - told) if name in scope]
            gone += [name for name in sorted(subscription.again - set(gone)) if name not in scope]
        self._send(
            now, stream, subscription, changed, gone, scope, heartbeat and self.settings.heartbeats
        )
        return False

    def _must_wait(
        self, now: int, stream: Stream, subscription: Subscription, changed: list[Resource]
    ) -> bool:
        if subscription.open and now - subscription.sent_at < self.settings.ack_wait:
            return True
        if subscription.kind is Kind.ROUTES and self._clusters_missing(stream, changed):
            if subscription.held_since is None:
                subscription.held_since = now
            return now - subscription.held_since < self.settings.hold_time
        return False

    def _clusters_missing(self, stream: Stream, routes: list[Resource]) -> bool:
        """Whether these routes name clusters that the proxy has not accepted, though it follows all clusters.

        One that asks for clusters by name asks once it has the routes: waiting for it would be in vain."""
        clusters = stream.kinds.get(Kind.CLUSTERS)
        if clusters is None or not clusters.every:
            return False
        wanted = {
            name for route in routes for name in route.refers if name in self._view[Kind.CLUSTERS]
        }
        endpoints = stream.kinds.get(Kind.ENDPOINTS)
        return (
            not wanted <= clusters.accepted.keys()
            or endpoints is None
            or not wanted <= endpoints.accepted.keys()
        )

    def _send(
        self,
        now: int,
        stream: Stream,
        subscription: Subscription,
        changed: list[Resource],
        gone: list[str],
        scope: dict[str, Resource],
        heartbeat: bool,
    ) -> None:
        stream.nonces += 1
        nonce = str(stream.nonces)
        version = (
            self._versions[subscription.kind]
            if subscription.every and not self._retired
            else version_of(scope.values())
        )
        if subscription.kind is Kind.CLUSTERS:
            endpoints = stream.kinds.get(Kind.ENDPOINTS)
            for resource in changed if endpoints is not None and not heartbeat else ():
                if subscription.sent.get(resource.name) not in (None, resource):
                    endpoints.sent.pop(
                        resource.name, None
                    )  # a changed cluster waits for its endpoints anew
        items: list[tuple[str, Resource | None]] = [
            (resource.name, resource) for resource in changed
        ]
        items += [(name, None) for name in gone]
        for name, resource in items:
            if resource is None and not (stream.incremental and name in subscription.names):
                subscription.sent.pop(name, None)
            else:
                subscription.sent[name] = resource
        subscription.open[nonce] = (version, tuple(items))
        while len(subscription.open) > self.settings.unanswered:
            subscription.open.popitem(last=False)
        subscription.last_nonce, subscription.sent_version = nonce, version
        subscription.answered, subscription.sent_at = True, now
        subscription.urgent, subscription.held_since = False, None
        subscription.again.clear()
        stream.room = False
        self._host.send(
            stream.number,
            Response(
                subscription.kind,
                version,
                nonce,
                tuple(changed),
                tuple(gone) if stream.incremental else (),
                heartbeat,
            ),
        )
