"""Links on loopback whose faults are played: one for each directed pair of who calls and who is called.

Owns the doors and connections of links. A link passes bytes both ways until it is told otherwise. Must never look into what
passes, or hold up another link.
"""

from __future__ import annotations

import socket
from collections import deque
from random import Random
from typing import NamedTuple

from corklift.net.blocking import listening_socket
from corklift.net.limits import SECOND
from corklift.net.scheduler import READ, WRITE, Scheduler, Task
from corklift.net.stream import Stream

PASSES = 16 << 10  # bytes of a ring; also what is taken in at a time


class Sizes(NamedTuple):
    line: int = PASSES
    ring: int = PASSES


class Fault(NamedTuple):
    """What a link does to what passes; all off: nothing."""

    cut: bool = False  # connections are reset, and new ones too
    there: bool = True  # whether bytes pass from the caller ...
    back: bool = True  # ... and to it; both off: half-open, a cut that says nothing
    delay: int = 0  # ns, each way
    spread: int = 0  # ns more at most, by chance
    rate: int = 0  # bytes a second, each way; 0: as fast as they come
    loses: float = 0.0  # of new connections, that are reset
    cut_at: int = 0  # the byte from the caller at which a connection is reset; 0: never
    most: int = 0  # bytes of a piece that still passes; a larger one, and all after it, is swallowed. 0: all pass


NO_FAULT = Fault()


class _Way:
    """One direction of one connection."""

    def __init__(self, source: Stream, sink: Stream) -> None:
        self.source, self.sink = source, sink
        self.pieces: deque[tuple[int, bytes]] = deque()  # due when
        self.waiting = 0
        self.bytes_passed = 0
        self.free_at = 0
        self.swallowed = False
        self.ended = False


class Link:
    def __init__(self, scheduler: Scheduler, rng: Random, target: tuple[str, int]) -> None:
        self._scheduler, self._rng, self.target = scheduler, rng, target
        self.fault = NO_FAULT
        self.bytes_passed = 0  # bytes, both ways
        self._listener = listening_socket(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self._connections: dict[Task, tuple[Stream, Stream]] = {}
        scheduler.spawn(self._keep_accepting)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def set_fault(self, fault: Fault) -> None:
        """From now on, for connections that stand too."""
        self.fault = fault
        for task, (near, far) in list(self._connections.items()):
            if fault.cut:
                near.abort()
                far.abort()
            self._scheduler.wake(task)

    def _keep_accepting(self) -> None:
        while True:
            self._scheduler.wait({self._listener.fileno(): READ})
            while True:
                try:
                    sock, _ = self._listener.accept()
                except OSError:
                    break
                self._scheduler.spawn(self._carry, sock)

    def _carry(self, sock: socket.socket) -> None:
        near = Stream(sock, Sizes())
        if self.fault.cut or self._rng.random() < self.fault.loses:
            near.abort()
            return
        try:
            far = Stream.connect(self.target, Sizes())
        except OSError:
            near.abort()
            return
        task = self._scheduler.current
        self._connections[task] = near, far
        ways = _Way(near, far), _Way(far, near)
        up = False
        try:
            while not (near.closed or far.closed):
                if (
                    not up
                    and not far.broken
                    and self._scheduler.wait(
                        {far.fd: WRITE, near.fd: 0}, self._scheduler.now() + SECOND
                    )
                ):
                    up = not far.closed and not far.connect_failed()
                if far.closed or near.closed or far.broken and not up:
                    break
                if not up:
                    continue
                if not self._step(near, far, ways):
                    break
        finally:
            del self._connections[task]
            for stream in (near, far):
                # What broke on one side breaks on the other; an end was passed on.
                (stream.close if all(way.ended for way in ways) else stream.abort)()

    def _step(self, near: Stream, far: Stream, ways: tuple[_Way, _Way]) -> bool:
        fault, due = self.fault, self._scheduler.now() + 60 * SECOND
        for way, passes in zip(ways, (fault.there, fault.back)):
            due = min(due, self._pass(way, passes, way is ways[0]))
            if fault.cut_at and ways[0].bytes_passed >= fault.cut_at:
                return False
        if near.broken or far.broken:
            # A stalled way hides it: the other side learns nothing while the link swallows.
            if fault.there and fault.back:
                return False
        if all(way.ended for way in ways):
            return False
        fds = {}
        for stream, out, into in ((near, ways[0], ways[1]), (far, ways[1], ways[0])):
            mask = (
                READ
                if out.waiting < PASSES
                and stream.receive_buffer.free_bytes
                and not stream.peer_closed
                and not stream.broken
                else 0
            )
            fds[stream.fd] = mask | (WRITE if len(stream.send_buffer) and not stream.broken else 0)
        self._scheduler.wait({fd: mask for fd, mask in fds.items() if mask}, due)
        return True

    def _pass(self, way: _Way, passes: bool, first: bool) -> int:
        """Moves what is due; returns when more is."""
        fault, now = self.fault, self._scheduler.now()
        if way.source.closed or way.sink.closed:
            return now
        if way.waiting < PASSES and not way.source.peer_closed:
            way.source.receive()
            piece = way.source.receive_buffer.read(len(way.source.receive_buffer))
            if piece and (way.swallowed or fault.most and len(piece) > fault.most):
                way.swallowed = True
            elif piece:
                due = now + fault.delay + int(fault.spread * self._rng.random())
                way.pieces.append((max(due, way.pieces[-1][0] if way.pieces else 0), piece))
                way.waiting += len(piece)
        if not passes:
            return now + 60 * SECOND
        while way.pieces:
            due, piece = way.pieces[0]
            due = max(due, way.free_at)
            if due > now:
                return due
            room = way.sink.send_buffer.free_bytes
            if first and fault.cut_at:
                room = min(room, max(1, fault.cut_at - way.bytes_passed))
            if fault.rate:
                room = min(room, max(1, fault.rate // 50))
            if not room:
                break
            part, rest = piece[:room], piece[room:]
            way.sink.write(part)
            way.bytes_passed += len(part)
            self.bytes_passed += len(part)
            way.waiting -= len(part)
            way.pieces.popleft()
            if rest:
                way.pieces.appendleft((due, rest))
            if fault.rate:
                way.free_at = now + len(part) * SECOND // fault.rate
            if first and fault.cut_at and way.bytes_passed >= fault.cut_at:
                return now
        way.sink.flush()
        if (
            way.source.peer_closed
            and not way.pieces
            and not len(way.sink.send_buffer)
            and not way.ended
            and not way.swallowed
        ):
            way.ended = True
            way.sink.shutdown_write()
        return now + 60 * SECOND
