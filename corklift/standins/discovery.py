"""A stand-in for discovery: the list of servers over HTTP, whole or as changes since an index, with long polls.

Owns the list and its history. Troubles are played on request: it falls silent, or cuts answers short.
"""

from __future__ import annotations

import json
import re
import socket
from typing import Any

from corklift.net.limits import MS, SECOND, Limits
from corklift.net.scheduler import READ, WRITE, Scheduler, Task
from corklift.net.stream import Stream

LIMITS = Limits(clients=0, waiting=0, probes=0, connect_time=SECOND, stop_time=SECOND, ring=1 << 16)
_GET = re.compile(rb"GET /registry/instances(?:\?index=(\d+)&wait=(\d+))? HTTP/1\.1\r\n")


class Discovery:
    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self.index = 0
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self._waiting: list[Task] = []
        self.silent = False  # takes requests and answers none
        self.truncated_responses = 0  # so many answers stop half-way
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
        """A server is listed, or listed anew; `status` is active, leaving or left."""
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
        self._tell()

    def set_status(self, name: str, status: str) -> None:
        self.index += 1
        self.entries[name]["status"] = status
        self._changed_at[name] = self.index
        self._tell()

    def _tell(self) -> None:
        waiting, self._waiting = self._waiting, []
        for task in waiting:
            self._scheduler.wake(task)

    def listen(self, address: tuple[str, int] = ("127.0.0.1", 0)) -> int:
        self._listener = socket.create_server(address, backlog=256)
        self._listener.setblocking(False)
        return int(self._listener.getsockname()[1])

    def accept_loop(self) -> None:
        assert self._listener is not None
        while True:
            self._scheduler.wait({self._listener.fileno(): READ})
            try:
                sock, _ = self._listener.accept()
            except OSError:
                continue
            self._scheduler.spawn(self._serve, Stream(sock, LIMITS))

    def _serve(self, stream: Stream) -> None:
        head = b""
        try:
            while True:
                stream.receive()
                head += stream.receive_buffer.read(len(stream.receive_buffer))
                if stream.peer_closed or stream.broken:
                    return
                if b"\r\n\r\n" not in head:
                    self._scheduler.wait({stream.fd: READ})
                    continue
                found, (_, _, head) = _GET.match(head), head.partition(b"\r\n\r\n")
                if found is None:
                    return
                if not self._answer(stream, found):
                    return
        finally:
            stream.close()

    def _answer(self, stream: Stream, found: re.Match[bytes]) -> bool:
        index = int(found[1]) if found[1] is not None else None
        if index is not None:
            until = self._scheduler.now() + int(found[2]) * MS
            while self.index <= index and self._scheduler.now() < until and not stream.peer_closed:
                self._waiting.append(self._scheduler.current)
                self._scheduler.wait({stream.fd: READ}, until)
                stream.receive()
        while self.silent:
            self._scheduler.sleep(50 * MS)
        whole = index is None or index > self.index
        entries = [
            entry
            for name, entry in self.entries.items()
            if whole or self._changed_at[name] > (index or 0)
        ]
        body = json.dumps(
            {
                "index": self.index,
                "snapshot": whole,
                "endpoints": [e for e in entries if not whole or e["status"] != "left"],
            }
        ).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        content = head + body
        if self.truncated_responses:
            self.truncated_responses -= 1
            content = content[: len(head) + len(body) // 2]
        while content and not stream.broken:
            room = stream.send_buffer.free_bytes
            stream.write(content[:room])
            content = content[room:]
            while len(stream.send_buffer) and not stream.broken:
                self._scheduler.wait({stream.fd: WRITE})
                stream.flush()
        return not stream.broken
