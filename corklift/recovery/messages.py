"""What balancers ask and tell each other of what lasts, as values and as bytes.

Owns the form: MessagePack arrays, to which later versions append fields. Must never decide what a fact is worth.
"""

from __future__ import annotations

import msgspec

from corklift.recovery.facts import Fact, FactDecodeError, Provenance, validate

MAX_FACTS = 16_384  # of a message


class Marker(msgspec.Struct, frozen=True, array_like=True):
    """How far a store has come."""

    store: bytes = b""
    sequence: int = 0


class StateRequest(msgspec.Struct, frozen=True, array_like=True):
    """What do you hold?"""

    sender: str  # who asks ...
    instance_id: int  # ... in which process
    marker: Marker
    digest: int  # of the asker's binding facts; the same as the asked one's: none need be told
    full: bool  # the list too, and what is cold


class StateReply(msgspec.Struct, frozen=True, array_like=True):
    sender: str
    instance_id: int
    lived_through: (
        bool  # it served before the asker started, and has not been without its memory since
    )
    facts: tuple[Fact, ...]
    provenances: tuple[int, ...]  # How, of each
    marker: Marker  # its own
    requester_marker: Marker  # what it was told by the asker's name last
    start_times: dict[
        str, int
    ] = {}  # by server, when it started, as this one's decisions know it; only of one that lived
    has_memory: bool = False  # its disk was read and had something; else it counts for none that knows what was said before
    power_lost: bool = (
        False  # by its own disk, the power was lost, and it has heard from nobody that lived
    )


class Replicate(msgspec.Struct, frozen=True, array_like=True):
    """Hold this, and say when your disk does."""

    sender: str
    instance_id: int
    marker: Marker
    facts: tuple[Fact, ...]


class ReplicateReply(msgspec.Struct, frozen=True, array_like=True):
    persisted: bool  # on its disk
    newer: tuple[Fact, ...] = ()  # what it holds of a higher number
    marker: Marker = Marker()  # its own, with that kept


encode = msgspec.msgpack.Encoder().encode
_DECODERS = {
    form: msgspec.msgpack.Decoder(form)
    for form in (StateRequest, StateReply, Replicate, ReplicateReply)
}


def decode(form: type, content: bytes) -> object:
    """Raises:
    Unreadable: not of this form.
    """
    try:
        found = _DECODERS[form].decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise FactDecodeError(str(problem)) from None
    facts = getattr(found, "facts", None) or getattr(found, "newer", ())
    if len(facts) > MAX_FACTS:
        raise FactDecodeError(f"{len(facts)} facts")
    for fact in facts:
        validate(fact)
    if isinstance(found, StateReply) and len(found.provenances) != len(found.facts):
        raise FactDecodeError("facts without their origin")
    return found


def provenance_of(number: int) -> Provenance:
    """As it is told; a further kind of a newer peer is worth the least."""
    return Provenance(number) if number in list(Provenance) else Provenance.READ
