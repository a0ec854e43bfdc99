"""Facts about the fleet that a balancer stores and shares with its peers.

Each kind has a level of trust after a restart.

Of two versions of a fact the higher one takes precedence, whichever store or peer it came from.
Does no I/O and reads no clock. Invariant: a fact that was only read from a disk never sends a login
to a server that is leaving or out of service.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, IntEnum
from typing import Any, NamedTuple

import msgspec
from xxhash import xxh3_64_intdigest


class Trust(Enum):
    """How far a fact from the local store is trusted after a restart."""

    BINDING = "binding until a newer version is known"
    PLACE = "an address to probe"
    HINT = "a hint to be confirmed"
    NEVER = "never trusted, so never stored"


OUT, DRAIN, SELF, LIST, COUNT, SIZES, MARKER, ENDED = (
    "out",
    "drain",
    "self",
    "list",
    "count",
    "sizes",
    "marker",
    "ended",
)
KINDS: dict[str, tuple[Trust, str]] = {
    OUT: (
        Trust.BINDING,
        "operator override of a server: true if it is out of service; "
        "each version is one above the last known one",
    ),
    DRAIN: (
        Trust.BINDING,
        "whether discovery lists a server as leaving; "
        "the version is the server's start, then the list's index",
    ),
    SELF: (Trust.BINDING, "own incarnation and restart count; a start continues above them"),
    LIST: (Trust.PLACE, "the servers by name and address, as last listed"),
    COUNT: (
        Trust.HINT,
        "number of balancers: may only raise the count by which "
        "the budgets of cold servers are divided",
    ),
    SIZES: (
        Trust.HINT,
        "size of each server in connections: limits the load of a cold server "
        "until its reports show its size",
    ),
    MARKER: (
        Trust.HINT,
        "position of a peer's store, as that peer reported it: "
        "reveals a store that was rolled back",
    ),
    ENDED: (
        Trust.HINT,
        "boot of the machine, and whether this balancer was told to stop: reveals a loss of power",
    ),
    "connections": (Trust.NEVER, "numbers of connections"),
    "health": (Trust.NEVER, "which servers failed"),
    "cold": (Trust.NEVER, "which servers are warm: known from live peers only, never from a disk"),
}
# Kinds that are sent to peers; the others concern this balancer alone.
SHARED = (OUT, DRAIN, LIST, COUNT, SIZES)
BINDING_SHARED = (OUT, DRAIN)


class Provenance(IntEnum):
    """How this process learned a fact; decides how far a peer may trust it."""

    READ = 0  # from the local store
    HEARD = 1  # from a peer that had itself read or heard it only
    # Received by this process when it was made, or by a peer that lived through the outage.
    LIVE = 2


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """A versioned value of one kind, about one server, peer or the whole fleet."""

    kind: str
    name: str
    version: tuple[int, ...]  # the higher one takes precedence
    value: Any
    source: str = ""  # who made it
    recorded_at: int = 0  # ns, by the clock of the source; for display only, never compared

    @property
    def key(self) -> tuple[str, str]:
        """What the fact is about."""
        return self.kind, self.name

    @property
    def rank(self) -> tuple[tuple[int, ...], str]:
        """Orders the versions of one fact; equal versions are ordered by source."""
        return self.version, self.source


class KnownFact(NamedTuple):
    """A fact and how it was learned."""

    fact: Fact
    provenance: Provenance


class StoredServer(msgspec.Struct, frozen=True, array_like=True):
    """A server of the list, as it is stored."""

    name: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    status: int
    weight: float


_ENCODE = msgspec.msgpack.Encoder().encode
_DECODE = msgspec.msgpack.Decoder(Fact).decode
_SERVERS = list[StoredServer]
MAX_NAME_LENGTH = 200


class FactDecodeError(Exception):
    """The bytes are not a valid fact or message of facts."""


def encode_fact(fact: Fact) -> tuple[bytes, bytes]:
    """Returns the key and the value of a fact in the store."""
    return f"{fact.kind}/{fact.name}".encode(), _ENCODE(fact)


def decode_fact(value: bytes) -> Fact:
    """Decodes the value of a fact in the store.

    Raises:
        FactDecodeError: the bytes are not a fact, or it is invalid.
    """
    try:
        fact = _DECODE(value)
    except (msgspec.DecodeError, RecursionError) as problem:
        raise FactDecodeError(str(problem)) from None
    validate(fact)
    return fact


def validate(fact: Fact) -> None:
    """Checks a fact; facts of unknown kinds are accepted.

    Raises:
        FactDecodeError: a field is out of bounds, or the value does not fit the kind.
    """
    if (
        not 0 <= len(fact.name) <= MAX_NAME_LENGTH
        or len(fact.source) > MAX_NAME_LENGTH
        or not 1 <= len(fact.version) <= 4
    ):
        raise FactDecodeError(f"a fact about {fact.name[:40]!r}")
    try:
        if fact.kind in (OUT, DRAIN) and not isinstance(fact.value, bool):
            raise FactDecodeError(f"{fact.kind} of {fact.name[:40]} says {fact.value!r:.40}")
        if fact.kind == LIST:
            msgspec.convert(fact.value, _SERVERS)
        if fact.kind == SIZES:
            msgspec.convert(fact.value, dict[str, float])
        if fact.kind == COUNT and (not isinstance(fact.value, int) or not 0 < fact.value <= 4096):
            raise FactDecodeError(f"a count of {fact.value!r:.40}")
    except msgspec.ValidationError as problem:
        raise FactDecodeError(str(problem)) from None


def stored_servers(fact: Fact) -> list[StoredServer]:
    """Returns the servers of a fact of the kind `LIST`."""
    return msgspec.convert(fact.value, _SERVERS)


class Facts:
    """The highest version of each fact, with its provenance."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, str], KnownFact] = {}
        self._digest = 0

    def get(self, kind: str, name: str = "") -> Fact | None:
        """Returns a fact; None: not known."""
        known = self._known.get((kind, name))
        return known.fact if known is not None else None

    def provenance(self, kind: str, name: str = "") -> Provenance | None:
        """Returns how a fact was learned; None: not known."""
        known = self._known.get((kind, name))
        return known.provenance if known is not None else None

    def merge(self, fact: Fact, provenance: Provenance) -> bool:
        """Adds a fact if it is newer; an equal one may only raise the provenance.

        Returns:
            Whether the fact was newer.
        """
        known = self._known.get(fact.key)
        if known is not None and fact.rank <= known.fact.rank:
            if fact.rank == known.fact.rank and provenance > known.provenance:
                self._known[fact.key] = KnownFact(known.fact, provenance)
            return False
        if fact.kind in SHARED:
            self._digest ^= self._hash_fact(fact) ^ (
                self._hash_fact(known.fact) if known is not None else 0
            )
        self._known[fact.key] = KnownFact(fact, provenance)
        return True

    def remove(self, fact: Fact) -> None:
        """Removes a fact."""
        if self._known.pop(fact.key, None) is not None:
            self._digest ^= self._hash_fact(fact)

    @staticmethod
    def _hash_fact(fact: Fact) -> int:
        # Only binding facts count: the list differs between balancers by what discovery has sent to
        # each so far.
        return (
            xxh3_64_intdigest(repr((fact.kind, fact.name, fact.rank)).encode())
            if fact.kind in (OUT, DRAIN)
            else 0
        )

    @property
    def digest(self) -> int:
        """Digest of the binding facts; it is equal for equal facts."""
        return self._digest

    def of_kind(self, kind: str) -> list[KnownFact]:
        """Returns the facts of one kind, sorted by name."""
        return [known for key, known in sorted(self._known.items()) if key[0] == kind]

    def shared(self) -> list[KnownFact]:
        """Returns the facts that are sent to peers."""
        return [known for key, known in sorted(self._known.items()) if key[0] in SHARED]

    def out_of_service(self) -> set[str]:
        """Returns the servers that operators took out of service."""
        return {known.fact.name for known in self.of_kind(OUT) if known.fact.value}

    def next_version(self, kind: str, name: str) -> tuple[int, ...]:
        """Returns the version for a new value of a fact."""
        known = self.get(kind, name)
        return ((known.version[0] if known is not None else 0) + 1,)

    def is_leaving(self, name: str, started_at: int, index: int) -> bool:
        """Returns whether a server that a list shows as ready is known to be leaving.

        That is so if the drain is from a list that is not older than this one, and from the same
        start of the server or a later one.
        """
        known = self.get(DRAIN, name)
        return known is not None and bool(known.value) and known.version >= (started_at, index)


def newest(facts: Iterable[Fact]) -> dict[tuple[str, str], Fact]:
    """Returns the highest version of each fact, by its key."""
    found: dict[tuple[str, str], Fact] = {}
    for fact in facts:
        if fact.key not in found or fact.rank > found[fact.key].rank:
            found[fact.key] = fact
    return found
