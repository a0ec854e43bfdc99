"""The subscriptions in virtual time and without I/O: both xDS variants, order, NACKs, refreshes."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corklift.control.subscriptions import (
    MS,
    SECOND,
    WILDCARD,
    Resource,
    ResourceKind,
    SubscriptionManager,
    SubscriptionSettings,
    TooManyNamesError,
    combined_version,
)

C, E, L, R = (
    ResourceKind.CLUSTERS,
    ResourceKind.ENDPOINTS,
    ResourceKind.LISTENERS,
    ResourceKind.ROUTES,
)


class Harness:
    """The host of the subscriptions: holds the responses of each stream until they are read."""

    def __init__(self, **options):
        self.now, self.sent = SECOND, {}
        self.subscriptions = SubscriptionManager(self, SubscriptionSettings(**options))

    def send(self, stream, response):
        assert self.subscriptions.has_snapshot, "nothing may be sent before the first snapshot"
        self.sent.setdefault(stream, []).append(response)

    def open(self, number, incremental=False):
        self.subscriptions.open_stream(self.now, number, incremental)

    def request(self, number, kind, names=(), version="", nonce="", error=None):
        self.subscriptions.handle_request(self.now, number, kind, names, version, nonce, error)

    def request_delta(
        self,
        number,
        kind,
        subscribe=(),
        unsubscribe=(),
        had=None,  # the versions that the proxy holds from an earlier stream
        nonce="",
        error=None,
    ):
        self.subscriptions.handle_delta_request(
            self.now, number, kind, subscribe, unsubscribe, had or {}, nonce, error
        )

    def read(self, number):
        """Reads all responses that are sent now, without answering them."""
        received = []
        while self.sent.get(number):
            received += self.sent.pop(number)
            self.subscriptions.stream_writable(self.now, number)
        return received

    def answer(self, number, response, names=(), error=None):
        if self.subscriptions.streams[number].incremental:
            self.request_delta(number, response.kind, nonce=response.nonce, error=error)
        else:
            self.request(
                number,
                response.kind,
                names,
                response.version if error is None else "",
                response.nonce,
                error,
            )

    def settle(self, number, names):
        """Reads and accepts responses until no more are sent."""
        received = []
        while batch := self.read(number):
            for response in batch:
                received.append(response)
                self.answer(number, response, names.get(response.kind, ()))
        return received


def table(*names, text="", refers=()):
    return {name: Resource.from_body(name, f"{name} {text}".encode(), refers) for name in names}


def snapshot(*clusters, text="", other_text=""):
    return {
        C: table(*clusters, text=other_text),
        E: table(*clusters, text=text),
        L: table("main", text=other_text),
        R: table("main", text="+".join(clusters) + other_text, refers=clusters),
    }


NAMES = {E: ("a", "b"), R: ("main",)}


def subscribe_all(harness, number, incremental=False, names=("a", "b")):
    harness.open(number, incremental)
    for kind in (C, L):
        harness.request_delta(number, kind) if incremental else harness.request(number, kind)
    for kind, wanted in ((E, names), (R, ("main",))):
        harness.request_delta(number, kind, wanted) if incremental else harness.request(
            number, kind, wanted
        )
    return harness.settle(number, NAMES | {E: names})


@pytest.mark.parametrize("incremental", [False, True])
def test_nothing_is_sent_before_the_first_snapshot_then_all_kinds_in_order(incremental):
    harness = Harness()
    assert subscribe_all(harness, 1, incremental) == []
    harness.subscriptions.update_snapshot(harness.now, snapshot("a", "b"))
    received = harness.settle(1, NAMES)
    assert [response.kind for response in received] == [C, E, L, R]
    assert [sorted(r.name for r in response.resources) for response in received] == [
        ["a", "b"],
        ["a", "b"],
        ["main"],
        ["main"],
    ]
    assert harness.subscriptions.outdated_kinds(1) == [] and harness.read(1) == []


@pytest.mark.parametrize("incremental", [False, True])
def test_a_drain_is_sent_at_once_to_a_silent_proxy_and_weights_wait(incremental):
    harness = Harness(ack_timeout=2 * SECOND)
    harness.subscriptions.update_snapshot(harness.now, snapshot("a", "b"))
    subscribe_all(harness, 1, incremental)
    harness.subscriptions.update_snapshot(harness.now, {E: table("a", "b", text="weights 1")})
    assert len(harness.read(1)) == 1  # never answered
    harness.subscriptions.update_snapshot(harness.now, {E: table("a", "b", text="weights 2")})
    assert harness.read(1) == []
    harness.subscriptions.update_snapshot(
        harness.now, {E: table("a", "b", text="drained")}, urgent=True
    )
    (drained,) = harness.read(1)
    assert {r.body for r in drained.resources} == {b"a drained", b"b drained"}
    harness.subscriptions.update_snapshot(harness.now, {E: table("a", "b", text="weights 3")})
    assert harness.read(1) == []
    harness.now += 2 * SECOND
    harness.subscriptions.tick(harness.now)
    assert len(harness.read(1)) == 1 and E in harness.subscriptions.outdated_kinds(1)


def test_a_blocked_stream_receives_only_the_newest_version_once_it_reads():
    harness = Harness()
    harness.subscriptions.update_snapshot(harness.now, snapshot("a", "b"))
    subscribe_all(harness, 1)
    for number in range(50):
        harness.subscriptions.update_snapshot(
            harness.now, {E: table("a", "b", text=f"drain {number}")}, urgent=True
        )
    assert len(harness.sent[1]) == 1  # one response is in flight, however many changes follow
    received = harness.read(1)
    assert len(received) == 2 and received[-1].resources[0].body.endswith(b"drain 49")
    harness.answer(1, received[0], NAMES[E])  # an old nonce: says only what was accepted
    assert harness.subscriptions.outdated_kinds(1) == [E]
    harness.answer(1, received[1], NAMES[E])
    assert harness.subscriptions.outdated_kinds(1) == []


@pytest.mark.parametrize("incremental", [False, True])
def test_a_nack_is_recorded_with_its_reason_not_retried_and_delays_no_drain(incremental):
    harness = Harness()
    harness.subscriptions.update_snapshot(harness.now, snapshot("a", "b"))
    subscribe_all(harness, 1, incremental)
    harness.subscriptions.update_snapshot(harness.now, {E: table("a", "b", text="odd")})
    (odd,) = harness.read(1)
    harness.now += 7
    harness.answer(1, odd, NAMES[E], error="bad endpoint a")
    for _ in range(5):
        harness.now += 10 * SECOND
        harness.subscriptions.tick(harness.now)
    assert harness.read(1) == []
    status = {s.name: s for s in harness.subscriptions.resource_statuses(1) if s.kind is E}["a"]
    assert status.last_nack.reason == "bad endpoint a" and status.last_nack.version == odd.version
    assert status.accepted != status.current == status.sent
    harness.subscriptions.update_snapshot(
        harness.now, {E: table("a", "b", text="drained")}, urgent=True
    )
    (drained,) = harness.read(1)
    harness.answer(1, drained, NAMES[E])
    assert harness.subscriptions.outdated_kinds(1) == [] and all(
        s.last_nack is None for s in harness.subscriptions.resource_statuses(1)
    )


def test_a_reconnect_with_the_current_version_sends_nothing_and_any_other_sends_all():
    harness = Harness()
    harness.subscriptions.update_snapshot(harness.now, snapshot("a", "b"))
    versions = {r.kind: r.version for r in subscribe_all(harness, 1)}
    harness.subscriptions.close_stream(1)
    harness.open(2)
    for kind in (C, E, L, R):
        # The nonce is one of the closed stream.
        harness.request(2, kind, NAMES.get(kind, ()), versions[kind], nonce="77")
    assert harness.read(2) == [] and harness.subscriptions.outdated_kinds(2) == []
    harness.subscriptions.close_stream(2)
    harness.subscriptions.update_snapshot(
        harness.now, {E: table("a", "b", text="drained")}, urgent=True
    )
    for number, version in ((3, versions[E]), (4, "never issued"), (5, "")):
        harness.open(number)
        harness.request(number, C, (), versions[C])
        harness.request(number, E, NAMES[E], version, nonce="9")
        received = harness.read(number)
        assert [(r.kind, len(r.resources)) for r in received] == [(E, 2)]


def test_an_incremental_reconnect_with_old_unknown_and_removed_resources():
    harness = Harness()
    harness.subscriptions.update_snapshot(
        harness.now, {C: table("a", "b", "c"), E: table("a", "b", "c")}
    )
    same = harness.subscriptions._snapshot[C]["a"].version
    harness.open(1, incremental=True)
    harness.request_delta(1, C, had={"a": same, "b": "never issued", "gone": "5"})
    (received,) = harness.read(1)
    assert sorted(r.name for r in received.resources) == ["b", "c"] and received.removed == (
        "gone",
    )
    harness.answer(1, received)
    assert harness.subscriptions.outdated_kinds(1) == [] and harness.read(1) == []
    # The proxy disconnects in the middle of an update: what it never accepted is sent again.
    harness.subscriptions.update_snapshot(harness.now, {C: table("a", "b", "c", text="2")})
    harness.read(1)
    harness.subscriptions.close_stream(1)
    harness.open(2, incremental=True)
    harness.request_delta(
        2, C, had={"a": same, "b": harness.subscriptions._snapshot[C]["b"].version}
    )
    (received,) = harness.read(2)
    assert sorted(r.name for r in received.resources) == ["a", "c"] and received.removed == ()


def test_nonexistent_names_are_reported_once_and_sent_once_they_exist():
    harness = Harness(max_names=3)
    harness.subscriptions.update_snapshot(harness.now, snapshot("a"))
    harness.open(1, incremental=True)
    harness.request_delta(1, E, ["a", "x"])
    (received,) = harness.read(1)
    assert [r.name for r in received.resources] == ["a"] and received.removed == ("x",)
    harness.subscriptions.tick(harness.now)
    assert harness.read(1) == []
    harness.answer(1, received)
    harness.subscriptions.update_snapshot(harness.now, snapshot("a", "x"))
    assert [r.name for response in harness.settle(1, {}) for r in response.resources] == ["x"]
    harness.request_delta(1, E, ["a"])  # subscribed to again: sent again
    assert [r.name for response in harness.read(1) for r in response.resources] == ["a"]
    harness.request_delta(1, E, unsubscribe=["x"])
    with pytest.raises(TooManyNamesError):
        harness.request_delta(1, E, [f"n{n}" for n in range(9)])
    harness.open(2)
    with pytest.raises(TooManyNamesError):
        harness.request(2, E, [f"n{n}" for n in range(9)])
    harness.open(3)
    harness.request(3, E, ["x", "none"])
    assert [r.name for response in harness.read(3) for r in response.resources] == ["x"]
    harness.open(4)
    # Listeners are sent in full, so a missing one counts as nonexistent.
    harness.request(4, L, ["none"])
    (received,) = harness.read(4)
    assert received.resources == ()


def test_wildcard_and_named_subscriptions_and_unsubscribing():
    harness = Harness()
    harness.subscriptions.update_snapshot(harness.now, snapshot("a", "b"))
    harness.open(1)
    harness.request(1, C, [WILDCARD])
    (received,) = harness.settle(1, {C: [WILDCARD]})
    assert len(received.resources) == 2
    harness.request(1, C, ["a"], received.version, received.nonce)
    (named,) = harness.settle(1, {C: ["a"]})
    assert [r.name for r in named.resources] == ["a"]
    # Names were given before, so an empty list is no wildcard.
    harness.request(1, C, [], named.version, named.nonce)
    harness.subscriptions.update_snapshot(harness.now, snapshot("a", "b", "c"))
    assert harness.settle(1, {}) == []
    harness.subscriptions.update_snapshot(harness.now, snapshot("a", "b"))
    harness.open(2, incremental=True)
    harness.request_delta(2, C)
    assert len(harness.settle(2, {})[0].resources) == 2
    harness.request_delta(2, C, subscribe=["a"], unsubscribe=[WILDCARD])
    harness.settle(2, {})
    harness.subscriptions.update_snapshot(harness.now, {C: table("a", "b", text="new")})
    assert [r.name for response in harness.settle(2, {}) for r in response.resources] == ["a"]


def test_a_cluster_stays_until_no_route_refers_to_it_and_a_route_waits_for_its_clusters():
    harness = Harness(dependency_timeout=3 * SECOND)
    harness.subscriptions.update_snapshot(harness.now, snapshot("a"))
    subscribe_all(harness, 1, names=("a",))
    harness.subscriptions.update_snapshot(harness.now, snapshot("b"))
    (clusters,) = harness.read(1)
    # Make before break: both the old and the new cluster.
    assert clusters.kind is C and sorted(r.name for r in clusters.resources) == ["a", "b"]
    harness.answer(1, clusters)
    harness.request(
        1, E, ["a", "b"], "", harness.subscriptions.streams[1].subscriptions[E].last_nonce
    )
    received = []
    for expected in (E, R):
        (response,) = harness.read(1)
        assert response.kind is expected
        harness.answer(1, response, {E: ["a", "b"], R: ["main"]}[expected])
    (last,) = harness.read(1)
    assert last.kind is C and [r.name for r in last.resources] == ["b"]
    harness.answer(1, last)
    # After the timeout, a proxy that never accepts clusters receives its routes, and the old
    # cluster is removed.
    harness.subscriptions.update_snapshot(harness.now, snapshot("c"))
    assert [response.kind for response in harness.read(1)] == [C]
    harness.now += 2900 * MS
    harness.subscriptions.tick(harness.now)
    assert R not in [response.kind for response in harness.read(1)]
    harness.now += 200 * MS
    harness.subscriptions.tick(harness.now)
    received = harness.read(1)
    assert {response.kind for response in received} == {C, R} and [
        r.name for r in received[0].resources
    ] == ["c"]


def test_a_proxy_that_subscribes_to_clusters_by_name_receives_its_routes_first():
    harness = Harness()
    harness.subscriptions.update_snapshot(harness.now, snapshot("a"))
    harness.open(1)
    harness.request(1, L, ["main"])
    harness.request(1, R, ["main"])
    assert [response.kind for response in harness.settle(1, {L: ["main"], R: ["main"]})] == [L, R]
    harness.request(1, C, ["a"])
    harness.request(1, E, ["a"])
    assert [response.kind for response in harness.settle(1, {C: ["a"], E: ["a"]})] == [C, E]


@pytest.mark.parametrize("incremental", [False, True])
def test_unchanged_endpoints_are_refreshed_after_the_interval_and_not_before(incremental):
    harness = Harness(refresh_interval=SECOND, use_heartbeats=True)
    harness.subscriptions.update_snapshot(harness.now, snapshot("a", "b"))
    subscribe_all(harness, 1, incremental)
    harness.now += SECOND
    harness.subscriptions.tick(harness.now)
    (heartbeat,) = harness.read(1)
    assert heartbeat.kind is E and heartbeat.heartbeat and len(heartbeat.resources) == 2
    harness.subscriptions.tick(harness.now + SECOND // 2)
    assert harness.read(1) == []


def test_versions_depend_on_content_alone_and_equal_content_is_not_sent_again():
    one, other = Harness(), Harness()
    one.subscriptions.update_snapshot(one.now, snapshot("a", "b"))
    other.subscriptions.update_snapshot(other.now, snapshot("z"))
    other.subscriptions.update_snapshot(
        other.now,
        {kind: dict(reversed(resources.items())) for kind, resources in snapshot("a", "b").items()},
    )
    assert [one.subscriptions.current_version(kind) for kind in ResourceKind] == [
        other.subscriptions.current_version(kind) for kind in ResourceKind
    ]
    subscribe_all(one, 1)
    one.subscriptions.update_snapshot(one.now, {E: table("a", "b", text="")}, urgent=True)
    assert one.read(1) == []  # unchanged content
    one.subscriptions.update_snapshot(one.now, {E: table("a", "b", text="empty")}, urgent=True)
    assert len(one.read(1)) == 1


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 10**6), st.booleans())
def test_any_proxy_converges_to_the_current_snapshot(seed, incremental):
    """Random changes, disconnects, NACKs and late answers; then a quiet phase, after which all
    subscribed resources are accepted.
    """
    rng, harness, number = Random(seed), Harness(ack_timeout=SECOND, dependency_timeout=SECOND), 0
    accepted = {kind: {} for kind in ResourceKind}  # the state of the proxy: resources by name
    unanswered = []

    def apply(response):
        if incremental:
            for name in response.removed:
                accepted[response.kind].pop(name, None)
        elif response.kind.sent_in_full:
            accepted[response.kind].clear()
        accepted[response.kind].update({r.name: r for r in response.resources})

    def connect():
        nonlocal number
        unanswered.clear()
        if number:
            harness.subscriptions.close_stream(number)
        number += 1
        harness.open(number, incremental)
        for kind, names in ((C, ()), (E, "abc"), (L, ()), (R, ["main"])):
            if incremental:
                harness.request_delta(
                    number,
                    kind,
                    names,
                    had={name: r.version for name, r in accepted[kind].items()},
                )
            else:
                resources = accepted[kind].values()
                harness.request(
                    number,
                    kind,
                    names,
                    combined_version(resources) if accepted[kind] else "",
                    nonce=rng.choice(["", "3"]),
                )

    def run_proxy(quiet):
        for response in harness.read(number):
            unanswered.append(response)
        while unanswered and (quiet or rng.random() < 0.5):
            response = unanswered.pop(0)
            reject = not quiet and rng.random() < 0.2
            if not reject:
                apply(response)
            harness.answer(
                number,
                response,
                {E: "abc", R: ["main"]}.get(response.kind, ()),
                "no" if reject else None,
            )

    connect()
    for _ in range(40):
        harness.now += rng.choice((10, 400, 1500)) * MS
        action = rng.random()
        if action < 0.4:
            names = rng.sample("abc", rng.randint(0, 3))
            harness.subscriptions.update_snapshot(
                harness.now,
                snapshot(*names, text=str(rng.randint(0, 3))),
                urgent=rng.random() < 0.5,
            )
        elif action < 0.5:
            connect()
        harness.subscriptions.tick(harness.now)
        run_proxy(quiet=False)
    harness.subscriptions.update_snapshot(
        harness.now, snapshot("a", "c", text="last", other_text="last"), urgent=True
    )
    for _ in range(20):
        harness.now += SECOND
        harness.subscriptions.tick(harness.now)
        run_proxy(quiet=True)
    assert harness.subscriptions.outdated_kinds(number) == [], (
        harness.subscriptions.resource_statuses(number)
    )
    for kind in (C, E):
        assert {name for name in accepted[kind]} >= {"a", "c"} and all(
            accepted[kind][name] == harness.subscriptions._snapshot[kind][name] for name in "ac"
        )
    assert set(accepted[C]) == {"a", "c"}
