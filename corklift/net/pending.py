"""Clients that hold a descriptor without a login: their line is awaited, or they were rejected.

Their number is limited. This module decides which of them are closed to make room for others, and
records why a client was closed without an answer. It does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from corklift.net.limits import MS, SECOND, Limits
from corklift.net.scheduler import Task
from corklift.net.stream import Stream

# Weights of a new sample in the mean and in the mean deviation, and the number of mean deviations
# in the estimate, as for the retransmission timeout of TCP (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
# How long lines that are later than usual may be waited for, without a pause ...
MAX_WAIT = 150 * MS
# ... and the share of the time by which that recovers.
WAIT_RECOVERY = 0.1
# The time after which the share of silent clients halves if nobody is waited for.
SILENCE_HALF_LIFE = 5 * SECOND


class UnreadClose(Enum):
    """Why a client was closed without an answer; the value is the name of its counter."""

    NO_ROOM = "clients closed without a line"
    NO_LINE = "clients without a line"
    STOP = "clients ended by the stop"
    DISCONNECTED = "clients gone before a line"


@dataclass(slots=True, eq=False)
class PendingClient:
    """A client without an admitted login."""

    task: Task
    accepted_at: int
    has_sent_line: bool = False
    has_sent_part: bool = False  # of its line, while others waited for a place
    is_rejected: bool = False  # its answer has been written
    close_reason: UnreadClose | None = None  # why it has to be closed at once


class FirstLineTime:
    """Estimates how long clients take from their connect to their first line, in ns."""

    def __init__(self) -> None:
        self._mean = self._deviation = 0.0

    def add(self, duration: int) -> None:
        self._deviation += DEVIATION_WEIGHT * (abs(duration - self._mean) - self._deviation)
        self._mean += MEAN_WEIGHT * (duration - self._mean)

    @property
    def upper_estimate(self) -> int:
        """A time within which nearly all clients have sent their line."""
        return int(self._mean + DEVIATIONS * self._deviation)


class SilentShare:
    """Estimates the share of clients that send no line, of those that were waited for lately."""

    def __init__(self) -> None:
        self._share = 0.0
        self._updated_at = 0

    def add(self, was_silent: bool, now: int, places: int) -> None:
        """Counts a client, of as many as there are places at a time."""
        self._share = self.at(now)
        self._share += (was_silent - self._share) / places
        self._updated_at = now

    def at(self, now: int) -> float:
        return self._share * 0.5 ** ((now - self._updated_at) / SILENCE_HALF_LIFE)

    def patience(self, now: int, longest: int) -> int:
        """Returns how long a client is waited for: less and less, the more of them are silent.

        Otherwise silent clients that hold all places in turn, each for the longest time, would keep
        others in the queue of the listening socket beyond their time limit.
        """
        return int(longest * min(1.0, 2 * (1 - self.at(now))) ** 2)


class WaitBudget:
    """Bounds the time for which nobody is closed although others wait for a place, in ns."""

    def __init__(self) -> None:
        self._remaining = float(MAX_WAIT)
        self._updated_at = 0

    def remains(self, now: int) -> bool:
        recovered = WAIT_RECOVERY * (now - self._updated_at)
        self._remaining = min(MAX_WAIT, self._remaining + recovered)
        self._updated_at = now
        return self._remaining > 0

    def spend(self, duration: int) -> None:
        self._remaining -= duration


class PendingClients:
    """The pending clients of a process, the oldest first."""

    def __init__(self) -> None:
        self._clients: dict[Stream, PendingClient] = {}
        self._first_line_time = FirstLineTime()
        # Of the clients that have sent no byte, and of those that have sent a part of their line.
        self._silent_share, self._unfinished_share = SilentShare(), SilentShare()
        self._wait_budget = WaitBudget()

    def __len__(self) -> int:
        return len(self._clients)

    def add(self, stream: Stream, task: Task, now: int) -> None:
        self._clients[stream] = PendingClient(task, now)

    def remove(self, stream: Stream) -> None:
        """Forgets a client that was admitted or closed; one that is not pending is ignored."""
        self._clients.pop(stream, None)

    def line_received(self, stream: Stream, now: int, places: int) -> None:
        """Called for each line of a pending client; there are so many places for such clients."""
        client = self._clients[stream]
        if not client.has_sent_line:
            client.has_sent_line = True
            self._first_line_time.add(now - client.accepted_at)
            self._silent_share.add(False, now, places)
            if client.has_sent_part:
                self._unfinished_share.add(False, now, places)

    def rejected(self, stream: Stream) -> None:
        """Called when a client's rejection has been written, and it has yet to close."""
        if stream in self._clients:
            self._clients[stream].is_rejected = True

    def close_reason(self, stream: Stream) -> UnreadClose | None:
        """Returns why the client has to be closed at once; None if it may stay."""
        client = self._clients.get(stream)
        return client.close_reason if client is not None else None

    def evict(self, now: int, limits: Limits) -> list[Task]:
        """Chooses clients to close, so that silent ones can't use up all descriptors.

        Returns their tasks. Rejected clients go first, then those that have been silent for longer
        than others lately needed for their line; the line of a younger one may be on its way. The
        lines of a burst are later than those before it, so these too are waited for, within a
        budget. Where most of them never send a line, they are waited for less and less. An eighth
        of the limit is chosen at a time; otherwise hundreds of silent clients would delay those
        that connect after them.
        """
        staying = {
            stream: client
            for stream, client in self._clients.items()
            if client.close_reason is None
        }
        evicted = [client for client in staying.values() if client.is_rejected]
        if not evicted and self._wait_budget.remains(now):
            return []
        evicted += self._overdue(staying, now, limits)
        evicted = evicted[: 1 + limits.waiting // 8]
        for client in evicted:
            if not client.is_rejected:
                self._share_of(client).add(True, now, limits.waiting)
        return list(self._close(evicted, UnreadClose.NO_ROOM))

    def _overdue(
        self, staying: dict[Stream, PendingClient], now: int, limits: Limits
    ) -> list[PendingClient]:
        """Returns the clients whose line has been waited for long enough, the oldest first."""
        longest = min(self._first_line_time.upper_estimate, limits.eviction_patience)
        silent = self._silent_share.patience(now, longest)
        unfinished = self._unfinished_share.patience(now, longest)
        overdue = []
        for stream, client in staying.items():
            client.has_sent_part = client.has_sent_part or len(stream.receive_buffer) > 0
            patience = unfinished if client.has_sent_part else silent
            if not client.is_rejected and now - client.accepted_at >= patience:
                overdue.append(client)
        return overdue

    def _share_of(self, client: PendingClient) -> SilentShare:
        return self._unfinished_share if client.has_sent_part else self._silent_share

    def waited(self, duration: int) -> None:
        """Called after a time in which others waited for a place and nobody was chosen."""
        self._wait_budget.spend(duration)

    def close_all(self) -> list[Task]:
        """Chooses all clients, at the end of the process; returns their tasks."""
        staying = [client for client in self._clients.values() if client.close_reason is None]
        return list(self._close(staying, UnreadClose.STOP))

    @staticmethod
    def _close(clients: list[PendingClient], reason: UnreadClose) -> Iterator[Task]:
        for client in clients:
            client.close_reason = reason
            yield client.task
