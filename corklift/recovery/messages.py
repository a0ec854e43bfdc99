"""What balancers ask and tell each other of what lasts, as values and as bytes.

Owns the form: MessagePack arrays, to which later versions append fields. Must never decide what a fact is worth.
"""

from __future__ import annotations

import msgspec

from corklift.recovery.facts import Fact, How, Unreadable, check

MOST_FACTS = 16_384  # of a message


class Marker(msgspec.Struct, frozen=True, array_like=True):
    """How far a store has come."""

    store: bytes = b""
    sequence: int = 0


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """What do you hold?"""

    name: str  # who asks ...
    life: int  # ... in which process
    marker: Marker
    digest: int  # of the asker's binding facts; the same as the asked one's: none need be told
    whole: bool  # the list too, and what is cold


class Answer(msgspec.Struct, frozen=True, array_like=True):
    name: str
    life: int
    lived: bool  # it served before the asker started, and has not been without its memory since
    facts: tuple[Fact, ...]
    hows: tuple[int, ...]  # How, of each
    marker: Marker  # its own
    yours: Marker  # what it was told by the asker's name last
    ages: dict[
        str, int
    ] = {}  # by server, when it started, as this one's decisions know it; only of one that lived
    remembers: bool = False  # its disk was read and had something; else it counts for none that knows what was said before
    power_lost: bool = (
        False  # by its own disk, the power was lost, and it has heard from nobody that lived
    )


class Tell(msgspec.Struct, frozen=True, array_like=True):
    """Hold this, and say when your disk does."""

    name: str
    life: int
    marker: Marker
    facts: tuple[Fact, ...]


class Told(msgspec.Struct, frozen=True, array_like=True):
    kept: bool  # on its disk
    newer: tuple[Fact, ...] = ()  # what it holds of a higher number
    marker: Marker = Marker()  # its own, with that kept


encode = msgspec.msgpack.Encoder().encode
_DECODERS = {form: msgspec.msgpack.Decoder(form) for form in (Ask, Answer, Tell, Told)}


def decode(form: type, content: bytes) -> object:
    """Raises:
    Unreadable: not of this form.
    """
    try:
        found = _DECODERS[form].decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise Unreadable(str(problem)) from None
    facts = getattr(found, "facts", None) or getattr(found, "newer", ())
    if len(facts) > MOST_FACTS:
        raise Unreadable(f"{len(facts)} facts")
    for fact in facts:
        check(fact)
    if isinstance(found, Answer) and len(found.hows) != len(found.facts):
        raise Unreadable("facts without their origin")
    return found


def how(number: int) -> How:
    """As it is told; a further kind of a newer peer is worth the least."""
    return How(number) if number in list(How) else How.READ
