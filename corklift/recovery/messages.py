"""Messages of recovery and replication between balancers, and their encoding.

A message is a positional MessagePack array, to which later versions may append fields. This module
does not interpret the facts.
"""

from __future__ import annotations

import msgspec

from corklift.recovery.facts import Fact, FactDecodeError, Provenance, validate

# Facts in one message; one with more is rejected.
MAX_FACTS = 16_384


class Marker(msgspec.Struct, frozen=True, array_like=True):
    """The position of a store: its id and the number of its last commit."""

    store: bytes = b""
    sequence: int = 0


class StateRequest(msgspec.Struct, frozen=True, array_like=True):
    """A query for the facts of a peer."""

    sender: str
    instance_id: int  # of the sender's process
    marker: Marker  # of the sender's store
    digest: int  # of the sender's binding facts; if the peer's is equal, it need not send them
    full: bool  # whether to send all facts and start times, not only the binding facts


class StateReply(msgspec.Struct, frozen=True, array_like=True):
    """A peer's reply to a `StateRequest`."""

    sender: str
    instance_id: int
    # Whether the sender is in full service and knows all facts, so it lived through the outage.
    lived_through: bool
    facts: tuple[Fact, ...]
    provenances: tuple[int, ...]  # a Provenance for each fact
    marker: Marker  # of the sender's store
    requester_marker: Marker  # the last position of the requester's store that the sender knows
    # Start time of each server as the sender's decision module knows it; empty if it did not live
    # through the outage.
    start_times: dict[str, int] = {}
    # Whether the sender's store was loaded and had facts; otherwise the reply does not count as one
    # of a peer that may know them.
    has_memory: bool = False
    # Whether the power was lost by the sender's own store, and no peer that lived through it has
    # replied to the sender.
    power_lost: bool = False


class Replicate(msgspec.Struct, frozen=True, array_like=True):
    """Facts to store; the peer replies once they are on its disk."""

    sender: str
    instance_id: int
    marker: Marker
    facts: tuple[Fact, ...]


class ReplicateReply(msgspec.Struct, frozen=True, array_like=True):
    """A peer's reply to a `Replicate`."""

    persisted: bool  # whether the facts are on the sender's disk
    newer: tuple[Fact, ...] = ()  # the sender's facts with a higher version
    marker: Marker = Marker()  # of the sender's store, after the write


encode = msgspec.msgpack.Encoder().encode
_DECODERS = {
    message_type: msgspec.msgpack.Decoder(message_type)
    for message_type in (StateRequest, StateReply, Replicate, ReplicateReply)
}


def decode(message_type: type, content: bytes) -> object:
    """Decodes a message of the given type.

    Raises:
        FactDecodeError: the bytes are not such a message, or a fact in it is invalid.
    """
    try:
        message = _DECODERS[message_type].decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise FactDecodeError(str(problem)) from None
    facts = getattr(message, "facts", None) or getattr(message, "newer", ())
    if len(facts) > MAX_FACTS:
        raise FactDecodeError(f"{len(facts)} facts")
    for fact in facts:
        validate(fact)
    if isinstance(message, StateReply) and len(message.provenances) != len(message.facts):
        raise FactDecodeError("number of provenances differs from the number of facts")
    return message


def provenance_of(number: int) -> Provenance:
    """Returns a provenance from its number; one that only a newer peer knows counts as `READ`."""
    return Provenance(number) if number in list(Provenance) else Provenance.READ
