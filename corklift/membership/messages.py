"""Messages of the membership protocol and their encoding.

A message is a positional MessagePack array (msgspec). Later versions may append fields; fields that
a newer peer appended are ignored, and a message of an unknown kind is answered with `UNKNOWN`. This
module does not interpret the messages.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

# Kinds of requests.
PING, REACH, JOIN, SYNC = "ping", "reach", "join", "sync"
# Kinds of replies.
ACK, NACK, SELF, REFUSED, UNKNOWN = "ack", "nack", "self", "refused", "unknown"
# Records that are read from one message; further ones are ignored.
MAX_RECORDS = 64


class MemberState(IntEnum):
    """State of a member; at the same incarnation the higher state takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # announced by the member itself, or declared by operators


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """The gossiped state of one member."""

    name: str
    address: str  # IPv4:PORT at which it accepts calls of peers
    instance_id: int  # random number drawn by each process at its start
    restart_count: int  # how many processes had this name before, as far as is known
    incarnation: int  # raised only by the member itself, to refute a suspicion (SWIM)
    # A MemberState. It is a plain number, so that records with a state of a newer version can be
    # read.
    state: int
    zone: str = ""
    version: str = ""
    reporter: str = ""  # the member that suspects it or declared it dead

    @property
    def rank(self) -> tuple[int, int, int]:
        """Orders the records of one name: the higher rank takes precedence, whenever it arrives."""
        return self.incarnation, self.instance_id, self.state


class Message(msgspec.Struct, frozen=True, array_like=True):
    """A request or a reply; each carries the sender's own record."""

    kind: str
    sender: MemberRecord
    target_name: str = ""  # name of the intended receiver; empty: any
    target_instance_id: int = 0  # process of the intended receiver; 0: any
    records: tuple[MemberRecord, ...] = ()
    digest: int = 0  # of the sender's member table; suspicions count as alive
    window: int = 0  # length of the window of `min_connections`, in ns
    min_connections: int = 0  # the sender's minimum number of connections in that window
    subject: MemberRecord | None = None  # in a REACH: the member to probe
    timeout: int = 0  # in a REACH: how long the caller waits for that, in ns
    cursor: str = ""  # in a SYNC: the name after which the page begins
    reason: str = ""


class MessageDecodeError(Exception):
    """The bytes are not a valid membership message."""


_DECODER = msgspec.msgpack.Decoder(Message)
encode = msgspec.msgpack.Encoder().encode


def decode(content: bytes) -> Message:
    """Decodes a message.

    Raises:
        MessageDecodeError: the bytes are not a message, or a record in it is out of bounds.
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
