"""The server list of discovery as this process knows it, and its form in a file.

Through that file a process of a balancer passes its list on to the others during an upgrade, so
that a drain that one of them knows holds for all, also while discovery is down. The list is written
as discovery sends it, and names the discovery: versions of another one can't be compared.
"""

from __future__ import annotations

import json
from typing import Any

from corklift.handover import UnreadableStateError, add_checksum, check_content
from corklift.interface import Status
from corklift.net.parsers import (
    SERVER_STATUSES,
    Listing,
    Malformed,
    ServerEntry,
    parse_listing,
)

_NAMES_OF_STATUSES = {status: name for name, status in SERVER_STATUSES.items()}


class ServerList:
    """The whole list, kept from full lists and their changes."""

    def __init__(self) -> None:
        # Version of the list; None: no full list is known.
        self.version: int | None = None
        self._entries: dict[str, ServerEntry] = {}

    def apply(self, content: Listing) -> None:
        """Takes a full list or changes of it. Without a full list, changes are ignored."""
        if content.is_full:
            self._entries = {}
        elif self.version is None:
            return
        self.version = content.version
        for entry in content.entries:
            if entry.status is Status.GONE:
                self._entries.pop(entry.name, None)
            else:
                self._entries[entry.name] = entry

    def listing(self) -> Listing:
        """Returns the full list; servers that have left are not in it."""
        assert self.version is not None
        return Listing(self.version, True, tuple(self._entries.values()), 0)


def encode_server_list(discovery: tuple[str, int], listing: Listing) -> bytes:
    """Returns the content of the file with the full list of this discovery."""
    document = {
        "discovery": list(discovery),
        "index": listing.version,
        "snapshot": True,
        "endpoints": [_encode_entry(entry) for entry in listing.entries],
    }
    return add_checksum(json.dumps(document).encode())


def _encode_entry(entry: ServerEntry) -> dict[str, Any]:
    return {
        "name": entry.name,
        "address": "{}:{}".format(*entry.address),
        "zone": entry.zone,
        "type": entry.kind,
        "group": entry.cell,
        "status": _NAMES_OF_STATUSES[entry.status],
        "weight": entry.weight,
        "since_ms": entry.started_at // 1_000_000,
    }


def decode_server_list(data: bytes) -> tuple[tuple[str, int], Listing]:
    """Returns the address of the discovery and its full list.

    Raises:
        UnreadableStateError: the content is incomplete or has another format.
    """
    try:
        document = json.loads(check_content(data))
        host, port = document["discovery"]
        return (str(host), int(port)), parse_listing(document)
    except (Malformed, ValueError, TypeError, KeyError, RecursionError) as problem:
        raise UnreadableStateError(repr(problem)) from None
