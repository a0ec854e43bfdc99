"""What peers say to each other, as values and as bytes.

Owns the form: MessagePack arrays (msgspec), to which later versions append fields; what a newer peer appends is left, and a
kind that is not known is answered as such. Must never decide what a word is worth.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

PING, REACH, JOIN, SYNC = "ping", "reach", "join", "sync"  # what is asked
ACK, NACK, SELF, REFUSED, UNKNOWN = "ack", "nack", "self", "refused", "unknown"  # what is answered
MAX_RECORDS = 64  # of a message that is read; the rest of it is left


class MemberState(IntEnum):
    """In the order in which, of two words about one incarnation, the later one holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it said so itself, or operators said it for one that can't


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is said of one member."""

    name: str
    address: str  # IPv4:PORT where it takes peers' calls
    instance_id: int  # drawn by each process at its start
    restart_count: int  # how many processes had this name before, as far as it was told
    incarnation: int  # raised by the member alone, to deny what was said of it
    state: int  # Standing; a plain number, so that a newer peer's further one can be read
    zone: str = ""
    version: str = ""
    reporter: str = ""  # who suspects it

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two words about one name the higher one holds, in whatever order they come."""
        return self.incarnation, self.instance_id, self.state


class Message(msgspec.Struct, frozen=True, array_like=True):
    """A call or its answer. Carries who sends it and in which incarnation."""

    kind: str
    sender: MemberRecord
    target_name: str = ""  # the name that is meant; empty: whoever is there
    target_instance_id: int = 0  # the process that is meant; 0: any
    records: tuple[MemberRecord, ...] = ()
    digest: int = 0  # of all that the sender holds for settled
    window: int = 0  # ns up to now ...
    min_connections: int = 0  # ... in which the sender held this many connections at the least
    subject: MemberRecord | None = None  # whom to reach
    timeout: int = 0  # ns the caller waits for that
    cursor: str = ""  # the name after which a page begins
    reason: str = ""


class MessageDecodeError(Exception):
    """No message of ours."""


_DECODER = msgspec.msgpack.Decoder(Message)
encode = msgspec.msgpack.Encoder().encode


def decode(content: bytes) -> Message:
    """Raises:
    Unreadable: not of this form, or with a name that is none.
    """
    try:
        message = _DECODER.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise MessageDecodeError(str(problem)) from None
    for record in (
        message.sender,
        *message.records,
        *((message.subject,) if message.subject else ()),
    ):
        if (
            not 0 < len(record.name) <= 100
            or len(record.address) > 21
            or len(record.zone) + len(record.version) + len(record.reporter) > 300
        ):
            raise MessageDecodeError(f"a word about {record.name[:40]!r}")
    return message
