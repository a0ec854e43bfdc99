"""What a balancer holds for true of before and of elsewhere, and what each kind of it is worth.

Owns the table of kinds and the rule by which of two facts one holds: the higher number, per fact, whatever file or peer it came by. Free of
I/O and clocks. Must never let a fact that was only read make a login go to a server that was told as leaving or out.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, IntEnum
from typing import Any, NamedTuple

import msgspec
from xxhash import xxh3_64_intdigest


class Trust(Enum):
    """What a fact from the disk is worth at a start."""

    BINDING = "binding until someone newer says otherwise"
    PLACE = "a place to ask"
    HINT = "a hint to be confirmed"
    NEVER = "never believed, so never kept"


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
        "operators' word on a server: true, it is out; its number is one above all that was known of it",
    ),
    DRAIN: (
        Trust.BINDING,
        "discovery's word that a server leaves; its number is when that server started, then the list's number",
    ),
    SELF: (Trust.BINDING, "own incarnation and turn; a start goes on above them"),
    LIST: (Trust.PLACE, "the servers by name and address, as last listed"),
    COUNT: (
        Trust.HINT,
        "how many balancers there were: may only raise the count that guards go by",
    ),
    SIZES: (
        Trust.HINT,
        "how many connections filled each server: bounds what a cold one is sent until it shows what it can",
    ),
    MARKER: (
        Trust.HINT,
        "a peer's store and its last commit, as that peer told: shows a disk that went back",
    ),
    ENDED: (
        Trust.HINT,
        "the machine's boot, and whether this balancer was told to stop: shows a loss of power",
    ),
    "connections": (Trust.NEVER, "counts of connections"),
    "health": (Trust.NEVER, "which servers failed"),
    "cold": (Trust.NEVER, "which servers are warm: those that live may tell, no disk does"),
}
SHARED = (OUT, DRAIN, LIST, COUNT, SIZES)  # told to peers; the others are this balancer's own
BINDING_SHARED = (OUT, DRAIN)


class Provenance(IntEnum):
    """How this process came to know a fact: what it may be taken for by whoever asks."""

    READ = 0  # from its disk
    HEARD = 1  # from a peer that had only read it, or heard it so
    LIVE = 2  # told to this process, or to a peer that lives and was told


class Fact(msgspec.Struct, frozen=True, array_like=True):
    kind: str
    name: str
    version: tuple[int, ...]  # the higher one holds
    value: Any
    source: str = ""  # who said it
    recorded_at: int = 0  # ns, by the clock of whoever said it; shown to people and never compared

    @property
    def key(self) -> tuple[str, str]:
        return self.kind, self.name

    @property
    def rank(self) -> tuple[tuple[int, ...], str]:
        return self.version, self.source


class KnownFact(NamedTuple):
    fact: Fact
    provenance: Provenance


class StoredServer(msgspec.Struct, frozen=True, array_like=True):
    """A line of the list, as it is kept."""

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
    """No fact of ours."""


def encode_fact(fact: Fact) -> tuple[bytes, bytes]:
    """As key and value of a store."""
    return f"{fact.kind}/{fact.name}".encode(), _ENCODE(fact)


def decode_fact(value: bytes) -> Fact:
    """Raises:
    Unreadable
    """
    try:
        fact = _DECODE(value)
    except (msgspec.DecodeError, RecursionError) as problem:
        raise FactDecodeError(str(problem)) from None
    validate(fact)
    return fact


def validate(fact: Fact) -> None:
    """Raises:
    Unreadable: of a kind that is known, and not of its form.
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
    return msgspec.convert(fact.value, _SERVERS)


class Facts:
    """By kind and name the fact of the highest number, and how it came."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, str], KnownFact] = {}
        self._digest = 0

    def get(self, kind: str, name: str = "") -> Fact | None:
        held = self._known.get((kind, name))
        return held.fact if held is not None else None

    def provenance(self, kind: str, name: str = "") -> Provenance | None:
        held = self._known.get((kind, name))
        return held.provenance if held is not None else None

    def merge(self, fact: Fact, provenance: Provenance) -> bool:
        """Returns whether it is newer than what was held. The same one heard in a better way is held so."""
        held = self._known.get(fact.key)
        if held is not None and fact.rank <= held.fact.rank:
            if fact.rank == held.fact.rank and provenance > held.provenance:
                self._known[fact.key] = KnownFact(held.fact, provenance)
            return False
        if fact.kind in SHARED:
            self._digest ^= self._hash_fact(fact) ^ (
                self._hash_fact(held.fact) if held is not None else 0
            )
        self._known[fact.key] = KnownFact(fact, provenance)
        return True

    def remove(self, fact: Fact) -> None:
        if self._known.pop(fact.key, None) is not None:
            self._digest ^= self._hash_fact(fact)

    @staticmethod
    def _hash_fact(fact: Fact) -> int:
        # The list differs by what each discovery's agent has passed on so far: its number is no news.
        return (
            xxh3_64_intdigest(repr((fact.kind, fact.name, fact.rank)).encode())
            if fact.kind in (OUT, DRAIN)
            else 0
        )

    @property
    def digest(self) -> int:
        """Of the binding facts that are shared: two that hold the same have one."""
        return self._digest

    def of_kind(self, kind: str) -> list[KnownFact]:
        return [held for key, held in sorted(self._known.items()) if key[0] == kind]

    def shared(self) -> list[KnownFact]:
        return [held for key, held in sorted(self._known.items()) if key[0] in SHARED]

    def out_of_service(self) -> set[str]:
        """Servers out by operators' word."""
        return {held.fact.name for held in self.of_kind(OUT) if held.fact.value}

    def next_version(self, kind: str, name: str) -> tuple[int, ...]:
        held = self.get(kind, name)
        return ((held.version[0] if held is not None else 0) + 1,)

    def is_leaving(self, name: str, started_at: int, index: int) -> bool:
        """Whether a server that a list names as ready is held for leaving: that was told by a list no older than this one, and of
        this start of the server or a later one."""
        held = self.get(DRAIN, name)
        return held is not None and bool(held.value) and held.version >= (started_at, index)


def newest(facts: Iterable[Fact]) -> dict[tuple[str, str], Fact]:
    found: dict[tuple[str, str], Fact] = {}
    for fact in facts:
        if fact.key not in found or fact.rank > found[fact.key].rank:
            found[fact.key] = fact
    return found
