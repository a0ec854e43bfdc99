"""Who is owed what, in virtual time and without I/O: both variants, order, refusals, staleness."""

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


class Wire:
    """The host: what was sent, by stream. Takes one response until it is read."""

    def __init__(self, **options):
        self.now, self.sent = SECOND, {}
        self.views = SubscriptionManager(self, SubscriptionSettings(**options))

    def send(self, stream, response):
        assert self.views.has_snapshot, "nothing may be sent before the list is known"
        self.sent.setdefault(stream, []).append(response)

    def open(self, number, incremental=False):
        self.views.open_stream(self.now, number, incremental)

    def ask(self, number, kind, names=(), version="", nonce="", problem=None):
        self.views.handle_request(self.now, number, kind, names, version, nonce, problem)

    def change(self, number, kind, plus=(), minus=(), had=None, nonce="", problem=None):
        self.views.handle_delta_request(
            self.now, number, kind, plus, minus, had or {}, nonce, problem
        )

    def read(self, number):
        """All that is sent now; each is taken, none accepted."""
        got = []
        while self.sent.get(number):
            got += self.sent.pop(number)
            self.views.stream_writable(self.now, number)
        return got

    def answer(self, number, response, names=(), problem=None):
        if self.views.streams[number].incremental:
            self.change(number, response.kind, nonce=response.nonce, problem=problem)
        else:
            self.ask(
                number,
                response.kind,
                names,
                response.version if problem is None else "",
                response.nonce,
                problem,
            )

    def settle(self, number, names):
        """Reads and accepts until there is nothing more."""
        got = []
        while batch := self.read(number):
            for response in batch:
                got.append(response)
                self.answer(number, response, names.get(response.kind, ()))
        return got


def table(*names, text="", refers=()):
    return {name: Resource.from_body(name, f"{name} {text}".encode(), refers) for name in names}


def tables(*clusters, text="", shape=""):
    return {
        C: table(*clusters, text=shape),
        E: table(*clusters, text=text),
        L: table("door", text=shape),
        R: table("door", text="+".join(clusters) + shape, refers=clusters),
    }


NAMES = {E: ("a", "b"), R: ("door",)}


def subscribed(wire, number, incremental=False, names=("a", "b")):
    wire.open(number, incremental)
    for kind in (C, L):
        wire.change(number, kind) if incremental else wire.ask(number, kind)
    for kind, wanted in ((E, names), (R, ("door",))):
        wire.change(number, kind, wanted) if incremental else wire.ask(number, kind, wanted)
    return wire.settle(number, NAMES | {E: names})


@pytest.mark.parametrize("incremental", [False, True])
def test_nothing_is_sent_before_the_list_is_known_then_all_in_order(incremental):
    wire = Wire()
    assert subscribed(wire, 1, incremental) == []
    wire.views.update_snapshot(wire.now, tables("a", "b"))
    got = wire.settle(1, NAMES)
    assert [response.kind for response in got] == [C, E, L, R]
    assert [sorted(r.name for r in response.resources) for response in got] == [
        ["a", "b"],
        ["a", "b"],
        ["door"],
        ["door"],
    ]
    assert wire.views.outdated_kinds(1) == [] and wire.read(1) == []


@pytest.mark.parametrize("incremental", [False, True])
def test_a_drain_goes_at_once_to_one_that_never_answers_and_weights_wait(incremental):
    wire = Wire(ack_timeout=2 * SECOND)
    wire.views.update_snapshot(wire.now, tables("a", "b"))
    subscribed(wire, 1, incremental)
    wire.views.update_snapshot(wire.now, {E: table("a", "b", text="weights 1")})
    assert len(wire.read(1)) == 1  # and is never answered
    wire.views.update_snapshot(wire.now, {E: table("a", "b", text="weights 2")})
    assert wire.read(1) == []
    wire.views.update_snapshot(wire.now, {E: table("a", "b", text="drained")}, urgent=True)
    (drained,) = wire.read(1)
    assert {r.body for r in drained.resources} == {b"a drained", b"b drained"}
    wire.views.update_snapshot(wire.now, {E: table("a", "b", text="weights 3")})
    assert wire.read(1) == []
    wire.now += 2 * SECOND
    wire.views.tick(wire.now)
    assert len(wire.read(1)) == 1 and E in wire.views.outdated_kinds(1)


def test_a_stream_without_room_gets_the_newest_alone_once_it_reads():
    wire = Wire()
    wire.views.update_snapshot(wire.now, tables("a", "b"))
    subscribed(wire, 1)
    for number in range(50):
        wire.views.update_snapshot(
            wire.now, {E: table("a", "b", text=f"drain {number}")}, urgent=True
        )
    assert len(wire.sent[1]) == 1  # one is on its way, whatever comes
    got = wire.read(1)
    assert len(got) == 2 and got[-1].resources[0].body.endswith(b"drain 49")
    wire.answer(1, got[0], NAMES[E])  # its nonce is old: it tells only what was accepted
    assert wire.views.outdated_kinds(1) == [E]
    wire.answer(1, got[1], NAMES[E])
    assert wire.views.outdated_kinds(1) == []


@pytest.mark.parametrize("incremental", [False, True])
def test_a_refusal_is_kept_with_its_reason_not_repeated_and_stops_no_drain(incremental):
    wire = Wire()
    wire.views.update_snapshot(wire.now, tables("a", "b"))
    subscribed(wire, 1, incremental)
    wire.views.update_snapshot(wire.now, {E: table("a", "b", text="odd")})
    (odd,) = wire.read(1)
    wire.now += 7
    wire.answer(1, odd, NAMES[E], problem="bad endpoint a")
    for _ in range(5):
        wire.now += 10 * SECOND
        wire.views.tick(wire.now)
    assert wire.read(1) == []
    status = {s.name: s for s in wire.views.resource_statuses(1) if s.kind is E}["a"]
    assert status.last_nack.reason == "bad endpoint a" and status.last_nack.version == odd.version
    assert status.accepted != status.current == status.sent
    wire.views.update_snapshot(wire.now, {E: table("a", "b", text="drained")}, urgent=True)
    (drained,) = wire.read(1)
    wire.answer(1, drained, NAMES[E])
    assert wire.views.outdated_kinds(1) == [] and all(
        s.last_nack is None for s in wire.views.resource_statuses(1)
    )


def test_back_with_the_view_current_nothing_is_owed_and_anything_else_is_sent_whole():
    wire = Wire()
    wire.views.update_snapshot(wire.now, tables("a", "b"))
    versions = {r.kind: r.version for r in subscribed(wire, 1)}
    wire.views.close_stream(1)
    wire.open(2)
    for kind in (C, E, L, R):
        wire.ask(
            2, kind, NAMES.get(kind, ()), versions[kind], nonce="77"
        )  # the nonce is of the stream that is gone
    assert wire.read(2) == [] and wire.views.outdated_kinds(2) == []
    wire.views.close_stream(2)
    wire.views.update_snapshot(wire.now, {E: table("a", "b", text="drained")}, urgent=True)
    for number, version in ((3, versions[E]), (4, "never issued"), (5, "")):
        wire.open(number)
        wire.ask(number, C, (), versions[C])
        wire.ask(number, E, NAMES[E], version, nonce="9")
        got = wire.read(number)
        assert [(r.kind, len(r.resources)) for r in got] == [(E, 2)]


def test_incremental_back_with_old_unknown_and_gone_resources():
    wire = Wire()
    wire.views.update_snapshot(wire.now, {C: table("a", "b", "c"), E: table("a", "b", "c")})
    same = wire.views._snapshot[C]["a"].version
    wire.open(1, incremental=True)
    wire.change(1, C, had={"a": same, "b": "never issued", "gone": "5"})
    (got,) = wire.read(1)
    assert sorted(r.name for r in got.resources) == ["b", "c"] and got.removed == ("gone",)
    wire.answer(1, got)
    assert wire.views.outdated_kinds(1) == [] and wire.read(1) == []
    # half-way through an update it breaks off and comes back: what it never accepted is sent again
    wire.views.update_snapshot(wire.now, {C: table("a", "b", "c", text="2")})
    wire.read(1)
    wire.views.close_stream(1)
    wire.open(2, incremental=True)
    wire.change(2, C, had={"a": same, "b": wire.views._snapshot[C]["b"].version})
    (got,) = wire.read(2)
    assert sorted(r.name for r in got.resources) == ["a", "c"] and got.removed == ()


def test_names_that_do_not_exist_are_told_once_and_sent_when_they_come():
    wire = Wire(max_names=3)
    wire.views.update_snapshot(wire.now, tables("a"))
    wire.open(1, incremental=True)
    wire.change(1, E, ["a", "x"])
    (got,) = wire.read(1)
    assert [r.name for r in got.resources] == ["a"] and got.removed == ("x",)
    wire.views.tick(wire.now)
    assert wire.read(1) == []
    wire.answer(1, got)
    wire.views.update_snapshot(wire.now, tables("a", "x"))
    assert [r.name for response in wire.settle(1, {}) for r in response.resources] == ["x"]
    wire.change(1, E, ["a"])  # asked for again: sent again
    assert [r.name for response in wire.read(1) for r in response.resources] == ["a"]
    wire.change(1, E, minus=["x"])
    with pytest.raises(TooManyNamesError):
        wire.change(1, E, [f"n{n}" for n in range(9)])
    wire.open(2)
    with pytest.raises(TooManyNamesError):
        wire.ask(2, E, [f"n{n}" for n in range(9)])
    wire.open(3)
    wire.ask(3, E, ["x", "none"])
    assert [r.name for response in wire.read(3) for r in response.resources] == ["x"]
    wire.open(4)
    wire.ask(4, L, ["none"])  # all kinds that are whole say so by what they lack
    (got,) = wire.read(4)
    assert got.resources == ()


def test_wildcards_named_subscriptions_and_their_end():
    wire = Wire()
    wire.views.update_snapshot(wire.now, tables("a", "b"))
    wire.open(1)
    wire.ask(1, C, [WILDCARD])
    (got,) = wire.settle(1, {C: [WILDCARD]})
    assert len(got.resources) == 2
    wire.ask(1, C, ["a"], got.version, got.nonce)
    (named,) = wire.settle(1, {C: ["a"]})
    assert [r.name for r in named.resources] == ["a"]
    wire.ask(1, C, [], named.version, named.nonce)  # names were once given: none means none
    wire.views.update_snapshot(wire.now, tables("a", "b", "c"))
    assert wire.settle(1, {}) == []
    wire.views.update_snapshot(wire.now, tables("a", "b"))
    wire.open(2, incremental=True)
    wire.change(2, C)
    assert len(wire.settle(2, {})[0].resources) == 2
    wire.change(2, C, plus=["a"], minus=[WILDCARD])
    wire.settle(2, {})
    wire.views.update_snapshot(wire.now, {C: table("a", "b", text="new")})
    assert [r.name for response in wire.settle(2, {}) for r in response.resources] == ["a"]


def test_a_cluster_stays_until_no_route_names_it_and_a_route_waits_for_its_clusters():
    wire = Wire(dependency_timeout=3 * SECOND)
    wire.views.update_snapshot(wire.now, tables("a"))
    subscribed(wire, 1, names=("a",))
    wire.views.update_snapshot(wire.now, tables("b"))
    (clusters,) = wire.read(1)
    assert clusters.kind is C and sorted(r.name for r in clusters.resources) == [
        "a",
        "b",
    ]  # made before the break
    wire.answer(1, clusters)
    wire.ask(1, E, ["a", "b"], "", wire.views.streams[1].subscriptions[E].last_nonce)
    got = []
    for expected in (E, R):
        (response,) = wire.read(1)
        assert response.kind is expected
        wire.answer(1, response, {E: ["a", "b"], R: ["door"]}[expected])
    (last,) = wire.read(1)
    assert last.kind is C and [r.name for r in last.resources] == ["b"]
    wire.answer(1, last)
    # one that never accepts clusters gets its routes in the end, and the old cluster goes
    wire.views.update_snapshot(wire.now, tables("c"))
    assert [response.kind for response in wire.read(1)] == [C]
    wire.now += 2900 * MS
    wire.views.tick(wire.now)
    assert R not in [response.kind for response in wire.read(1)]
    wire.now += 200 * MS
    wire.views.tick(wire.now)
    got = wire.read(1)
    assert {response.kind for response in got} == {C, R} and [r.name for r in got[0].resources] == [
        "c"
    ]


def test_one_that_asks_for_clusters_by_name_gets_its_routes_first():
    wire = Wire()
    wire.views.update_snapshot(wire.now, tables("a"))
    wire.open(1)
    wire.ask(1, L, ["door"])
    wire.ask(1, R, ["door"])
    assert [response.kind for response in wire.settle(1, {L: ["door"], R: ["door"]})] == [L, R]
    wire.ask(1, C, ["a"])
    wire.ask(1, E, ["a"])
    assert [response.kind for response in wire.settle(1, {C: ["a"], E: ["a"]})] == [C, E]


@pytest.mark.parametrize("incremental", [False, True])
def test_what_holds_is_said_again_in_time_and_to_no_one_else(incremental):
    wire = Wire(refresh_interval=SECOND, use_heartbeats=True)
    wire.views.update_snapshot(wire.now, tables("a", "b"))
    subscribed(wire, 1, incremental)
    wire.now += SECOND
    wire.views.tick(wire.now)
    (beat,) = wire.read(1)
    assert beat.kind is E and beat.heartbeat and len(beat.resources) == 2
    wire.views.tick(wire.now + SECOND // 2)
    assert wire.read(1) == []


def test_an_emptied_list_is_sent_and_versions_come_from_content_alone():
    one, other = Wire(), Wire()
    one.views.update_snapshot(one.now, tables("a", "b"))
    other.views.update_snapshot(other.now, tables("z"))
    other.views.update_snapshot(
        other.now, {kind: dict(reversed(held.items())) for kind, held in tables("a", "b").items()}
    )
    assert [one.views.current_version(kind) for kind in ResourceKind] == [
        other.views.current_version(kind) for kind in ResourceKind
    ]
    subscribed(one, 1)
    one.views.update_snapshot(one.now, {E: table("a", "b", text="")}, urgent=True)
    assert one.read(1) == []  # nothing has changed
    one.views.update_snapshot(one.now, {E: table("a", "b", text="empty")}, urgent=True)
    assert len(one.read(1)) == 1


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 10**6), st.booleans())
def test_whatever_a_proxy_does_it_comes_to_hold_the_view_current(seed, incremental):
    """Random changes, lost connections, refusals, late answers; then calm: all that is subscribed is accepted."""
    rng, wire, number = Random(seed), Wire(ack_timeout=SECOND, dependency_timeout=SECOND), 0
    held = {kind: {} for kind in ResourceKind}  # the proxy's: name to version
    pending = []

    def apply(response):
        if incremental:
            for name in response.removed:
                held[response.kind].pop(name, None)
        elif response.kind.sent_in_full:
            held[response.kind].clear()
        held[response.kind].update({r.name: r for r in response.resources})

    def connect():
        nonlocal number
        pending.clear()
        if number:
            wire.views.close_stream(number)
        number += 1
        wire.open(number, incremental)
        for kind, names in ((C, ()), (E, "abc"), (L, ()), (R, ["door"])):
            if incremental:
                wire.change(
                    number, kind, names, had={name: r.version for name, r in held[kind].items()}
                )
            else:
                scope = held[kind].values()
                wire.ask(
                    number,
                    kind,
                    names,
                    combined_version(scope) if held[kind] else "",
                    nonce=rng.choice(["", "3"]),
                )

    def act(calm):
        for response in wire.read(number):
            pending.append(response)
        while pending and (calm or rng.random() < 0.5):
            response = pending.pop(0)
            refuse = not calm and rng.random() < 0.2
            if not refuse:
                apply(response)
            wire.answer(
                number,
                response,
                {E: "abc", R: ["door"]}.get(response.kind, ()),
                "no" if refuse else None,
            )

    connect()
    for _ in range(40):
        wire.now += rng.choice((10, 400, 1500)) * MS
        what = rng.random()
        if what < 0.4:
            names = rng.sample("abc", rng.randint(0, 3))
            wire.views.update_snapshot(
                wire.now, tables(*names, text=str(rng.randint(0, 3))), urgent=rng.random() < 0.5
            )
        elif what < 0.5:
            connect()
        wire.views.tick(wire.now)
        act(calm=False)
    wire.views.update_snapshot(wire.now, tables("a", "c", text="last", shape="last"), urgent=True)
    for _ in range(20):
        wire.now += SECOND
        wire.views.tick(wire.now)
        act(calm=True)
    assert wire.views.outdated_kinds(number) == [], wire.views.resource_statuses(number)
    for kind in (C, E):
        assert {name for name in held[kind]} >= {"a", "c"} and all(
            held[kind][name] == wire.views._snapshot[kind][name] for name in "ac"
        )
    assert set(held[C]) == {"a", "c"}
