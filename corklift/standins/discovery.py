"""A stand-in for discovery: serves the list of servers over HTTP.

A request without an index gets a snapshot. A request with an index is a long poll, and gets the
changes since that index. On request the stand-in stops answering, or cuts its responses.
"""

from __future__ import annotations

import json
import re
import socket
from collections import deque
from enum import Enum
from typing import Any, NamedTuple

from corklift.net.limits import MS, SECOND, Limits
from corklift.net.scheduler import READ, WRITE, Scheduler, Task
from corklift.net.stream import Stream

LIMITS = Limits(clients=0, waiting=0, probes=0, connect_time=SECOND, stop_time=SECOND, ring=1 << 16)
_GET = re.compile(rb"GET /registry/instances(?:\?index=(\d+)&wait=(\d+))? HTTP/1\.1\r\n")


class CutKind(Enum):
    """What follows the first piece of a response that is cut."""

    REST = "the rest of the response"
    NOTHING = "nothing, on a connection that stays open"
    END = "the end of the connection"
    RESET = "a reset of the connection"


class ResponseCut(NamedTuple):
    """How a response is cut."""

    kind: CutKind
    size: int  # bytes of the first piece
    pause: int = 0  # time between the first piece and what follows it, in ns


class Discovery:
    """A discovery service that holds the list of servers and the index of each entry's change."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self.index = 0
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self._long_polls: list[Task] = []
        # True: requests are accepted and not answered.
        self.silent = False
        # How the next responses that list servers are cut, and all others; None: not at all.
        self.next_cuts: deque[ResponseCut] = deque()
        self.usual_cut: ResponseCut | None = None
        self._listener: socket.socket | None = None

    def put(
        self,
        name: str,
        address: tuple[str, int],
        status: str = "active",
        zone: str = "here",
        weight: float = 1.0,
        since_ms: int = 0,
    ) -> None:
        """Adds or replaces a server's entry; `status` is active, leaving or left."""
        self.index += 1
        self.entries[name] = {
            "name": name,
            "address": "%s:%d" % address,
            "status": status,
            "zone": zone,
            "type": "standard",
            "weight": weight,
            "since_ms": since_ms,
        }
        self._changed_at[name] = self.index
        self._wake_long_polls()

    def set_status(self, name: str, status: str) -> None:
        self.index += 1
        self.entries[name]["status"] = status
        self._changed_at[name] = self.index
        self._wake_long_polls()

    def _wake_long_polls(self) -> None:
        tasks, self._long_polls = self._long_polls, []
        for task in tasks:
            self._scheduler.wake(task)

    def listen(self, address: tuple[str, int] = ("127.0.0.1", 0)) -> int:
        """Opens the listening socket and returns its port."""
        self._listener = socket.create_server(address, backlog=256)
        self._listener.setblocking(False)
        return int(self._listener.getsockname()[1])

    def accept_loop(self) -> None:
        """Accepts connections for ever, each served by a task of its own."""
        assert self._listener is not None
        while True:
            self._scheduler.wait({self._listener.fileno(): READ})
            try:
                sock, _ = self._listener.accept()
            except OSError:
                continue
            self._scheduler.spawn(self._serve, Stream(sock, LIMITS))

    def _serve(self, stream: Stream) -> None:
        received = b""
        try:
            while True:
                stream.receive()
                received += stream.receive_buffer.read(len(stream.receive_buffer))
                if stream.peer_closed or stream.broken:
                    return
                if b"\r\n\r\n" not in received:
                    self._scheduler.wait({stream.fd: READ})
                    continue
                request, (_, _, received) = _GET.match(received), received.partition(b"\r\n\r\n")
                if request is None:
                    return
                if not self._respond(stream, request):
                    return
        finally:
            stream.close()

    def _respond(self, stream: Stream, request: re.Match[bytes]) -> bool:
        """Answers one request; returns False if the connection broke."""
        index = int(request[1]) if request[1] is not None else None
        if index is not None:
            self._hold_until_change(stream, index, int(request[2]) * MS)
        while self.silent:
            self._scheduler.sleep(50 * MS)
        content = self._content(index)
        cut = self.usual_cut
        if self.next_cuts and content["endpoints"]:
            cut = self.next_cuts.popleft()
        response = self._format_response(content)
        if cut is None:
            return self._send(stream, response)
        return self._send_cut(stream, response, cut)

    def _hold_until_change(self, stream: Stream, index: int, wait: int) -> None:
        deadline = self._scheduler.now() + wait
        while self.index <= index and self._scheduler.now() < deadline and not stream.peer_closed:
            self._long_polls.append(self._scheduler.current)
            self._scheduler.wait({stream.fd: READ}, deadline)
            stream.receive()

    def _content(self, index: int | None) -> dict[str, Any]:
        # An index from the future comes from before a restart of discovery with an older list.
        is_snapshot = index is None or index > self.index
        entries = [
            entry
            for name, entry in self.entries.items()
            if is_snapshot or self._changed_at[name] > (index or 0)
        ]
        return {
            "index": self.index,
            "snapshot": is_snapshot,
            "endpoints": [e for e in entries if not is_snapshot or e["status"] != "left"],
        }

    @staticmethod
    def _format_response(content: dict[str, Any]) -> bytes:
        body = json.dumps(content).encode()
        return (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def _send_cut(self, stream: Stream, response: bytes, cut: ResponseCut) -> bool:
        if not self._send(stream, response[: cut.size]):
            return False
        self._scheduler.sleep(cut.pause)
        if cut.kind is CutKind.REST:
            return self._send(stream, response[cut.size :])
        if cut.kind is CutKind.RESET:
            stream.abort()
        return cut.kind is CutKind.NOTHING

    def _send(self, stream: Stream, content: bytes) -> bool:
        """Sends all of the content; returns False if the connection broke."""
        while content and not stream.broken:
            free_bytes = stream.send_buffer.free_bytes
            stream.write(content[:free_bytes])
            content = content[free_bytes:]
            while len(stream.send_buffer) and not stream.broken:
                self._scheduler.wait({stream.fd: WRITE})
                stream.flush()
        return not stream.broken
