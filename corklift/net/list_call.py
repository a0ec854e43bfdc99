"""One call to discovery for the server list, on a connection of its own.

A call never blocks: `advance` does what its socket allows at the moment. So several calls can be
under way in one task, and the first complete response is used.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from corklift.net.blocking import Gone, Late
from corklift.net.parsers import HttpResponse
from corklift.net.scheduler import READ, WRITE
from corklift.net.stream import Stream


class CallTimes(NamedTuple):
    """When a call is given up, in ns of the clock."""

    # Unless the connection is up ...
    connect_by: int
    # ... and the response has begun.
    begin_by: int
    # How long the response may take once it has begun ...
    max_transfer: int
    # ... unless it has to be complete at a fixed time.
    complete_by: int | None


class ListCall:
    """A request for the server list and the response to it, as far as that has arrived."""

    def __init__(
        self,
        stream: Stream,
        is_connected: bool,
        request: bytes,
        index: int | None,
        wait: int,
        times: CallTimes,
        now: Callable[[], int],
        max_body: int,
    ) -> None:
        """Starts the call.

        Args:
            stream: the connection; the call owns it.
            is_connected: whether the connection is up already; the request is then sent at once.
            request: the whole request.
            index: the version of the list after which changes are asked for; None: the full list.
            wait: how long discovery may hold the request until there is a change.
            times: when the call is given up.
            now: the clock.
            max_body: the maximum length of the response's body.
        """
        self.stream, self.index, self.wait = stream, index, wait
        self._request, self._times, self._now = request, times, now
        self.response = HttpResponse(max_body)
        self.progress_at = now()  # when the call started or the latest bytes arrived
        self.began_at: int | None = None  # when the first bytes of the response arrived
        # When the call is given up if nothing happens before.
        self.deadline = times.connect_by
        self._is_connected = is_connected
        if is_connected:
            self._send()

    @property
    def is_waiting_for_change(self) -> bool:
        """Whether discovery may still be holding the request until there is a change."""
        return self.wait > 0 and self.began_at is None

    @property
    def interest(self) -> int:
        """The events of the socket that the call waits for."""
        if not self._is_connected:
            return WRITE
        return READ | (WRITE if len(self.stream.send_buffer) else 0)

    def advance(self, events: int) -> bool:
        """Does what the socket allows; returns whether the response is complete.

        Raises:
            Gone: the connection failed or ended before the end of the response.
            Late: a deadline has passed.
            Malformed: the response does not follow the protocol.
        """
        if not self._is_connected and not self._connect(events):
            self._check_deadline()
            return False
        self.stream.flush()
        while not self.response.done:
            self.stream.receive()
            if len(self.stream.receive_buffer):
                self._feed()
            elif self.stream.broken:
                raise Gone
            elif self.stream.peer_closed:
                self._end()
            else:
                self._check_deadline()
                return False
        return True

    def close(self) -> None:
        self.stream.close()

    def _connect(self, events: int) -> bool:
        """Sends the request once the connection is up; returns whether it is."""
        if self.stream.broken or (events and self.stream.connect_failed()):
            raise Gone
        if events:
            self._is_connected = True
            self._send()
        return self._is_connected

    def _send(self) -> None:
        self.deadline = self._times.begin_by
        self.stream.write(self._request)

    def _feed(self) -> None:
        now = self.progress_at = self._now()
        if self.began_at is None:
            self.began_at = now
            self.deadline = self._times.complete_by or now + self._times.max_transfer
        self.response.feed(self.stream.receive_buffer.read(len(self.stream.receive_buffer)))
        if not self.response.done:
            self._check_deadline()

    def _end(self) -> None:
        if not self.response.ends_with_connection:
            raise Gone
        self.response.connection_closed()

    def _check_deadline(self) -> None:
        if self._now() >= self.deadline:
            raise Late
