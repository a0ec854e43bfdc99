"""Bounds the memory of messages that a server has received in part, or that wait to be read."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from corklift.rpc.session import Call


@dataclass(slots=True)
class _Share:
    """What one call holds, and how to end the call."""

    byte_count: int
    end_call: Callable[[], None]


class ReceiveBudget:
    """Counts the bytes of all calls of a server.

    Beyond the limit, the call that has held something for the longest time is ended: a sound call
    sends its message as a whole, and it is read at once.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._total = 0
        self._shares: dict[Call, _Share] = {}  # the oldest first

    def add(self, call: Call, byte_count: int, end_call: Callable[[], None]) -> None:
        """Called when bytes of a call have been received; may end this or another call."""
        share = self._shares.setdefault(call, _Share(0, end_call))
        share.byte_count += byte_count
        self._total += byte_count
        while self._total > self._max_bytes:
            oldest = next(iter(self._shares))
            end_oldest = self._shares[oldest].end_call
            self.remove(oldest)
            end_oldest()

    def release(self, call: Call, byte_count: int) -> None:
        """Called when a message of a call has been read."""
        share = self._shares.get(call)
        if share is None:
            return
        share.byte_count -= byte_count
        self._total -= byte_count
        if share.byte_count <= 0:
            self.remove(call)

    def remove(self, call: Call) -> None:
        """Called when a call has ended."""
        share = self._shares.pop(call, None)
        if share is not None:
            self._total -= share.byte_count
