"""Links on loopback with faults: one for each directed pair of a caller and a callee.

A link accepts connections at a port of its own and passes bytes both ways, without looking at them,
until a fault is set. Each connection has a task of its own, so links don't delay each other.
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

# Size of a stream's buffers, and the most that one direction of a connection holds back.
BUFFER_BYTES = 16 << 10


class Sizes(NamedTuple):
    """The sizes of a stream's buffers, as `Stream` reads them from its limits."""

    line: int = BUFFER_BYTES
    ring: int = BUFFER_BYTES


class Fault(NamedTuple):
    """What a link does to its connections; the default is no fault.

    Attributes:
        cut: open and new connections are reset.
        there: whether bytes pass from the caller to the callee.
        back: whether bytes pass from the callee to the caller. With neither, connections stay open
            and silent, and nobody is told.
        delay: delay of each direction in nanoseconds.
        spread: maximum of a random delay in addition, in nanoseconds.
        rate: bytes per second in each direction; 0 is unlimited.
        loses: share of new connections that are reset.
        cut_at: number of bytes from the caller after which a connection is reset; 0 is never.
        most: size of the largest piece that passes. A larger one, and all after it, is dropped; 0
            lets all pass.
    """

    cut: bool = False
    there: bool = True
    back: bool = True
    delay: int = 0
    spread: int = 0
    rate: int = 0
    loses: float = 0.0
    cut_at: int = 0
    most: int = 0


NO_FAULT = Fault()


class _Direction:
    """One direction of one connection."""

    def __init__(self, source: Stream, sink: Stream) -> None:
        self.source, self.sink = source, sink
        # Pieces that have not passed yet, with the time at which each is due.
        self.pieces: deque[tuple[int, bytes]] = deque()
        self.held_back_bytes = 0
        self.bytes_passed = 0
        self.free_at = 0
        self.drops_rest = False
        self.ended = False


class Link:
    """A link between a caller and the address of a callee, `target`."""

    def __init__(self, scheduler: Scheduler, rng: Random, target: tuple[str, int]) -> None:
        self._scheduler, self._rng, self.target = scheduler, rng, target
        self.fault = NO_FAULT
        # In both directions.
        self.bytes_passed = 0
        self._listener = listening_socket(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self._connections: dict[Task, tuple[Stream, Stream]] = {}
        scheduler.spawn(self._accept_loop)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def set_fault(self, fault: Fault) -> None:
        """Sets the fault of new and of open connections."""
        self.fault = fault
        for task, (near, far) in list(self._connections.items()):
            if fault.cut:
                near.abort()
                far.abort()
            self._scheduler.wake(task)

    def _accept_loop(self) -> None:
        while True:
            self._scheduler.wait({self._listener.fileno(): READ})
            while True:
                try:
                    sock, _ = self._listener.accept()
                except OSError:
                    break
                self._scheduler.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
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
        directions = _Direction(near, far), _Direction(far, near)
        connected = False
        try:
            while not (near.closed or far.closed):
                if (
                    not connected
                    and not far.broken
                    and self._scheduler.wait(
                        {far.fd: WRITE, near.fd: 0}, self._scheduler.now() + SECOND
                    )
                ):
                    connected = not far.closed and not far.connect_failed()
                if far.closed or near.closed or far.broken and not connected:
                    break
                if not connected:
                    continue
                if not self._step(near, far, directions):
                    break
        finally:
            del self._connections[task]
            for stream in (near, far):
                # An error on one side is passed on as a reset; a regular end has been passed on.
                (
                    stream.close
                    if all(direction.ended for direction in directions)
                    else stream.abort
                )()

    def _step(self, near: Stream, far: Stream, directions: tuple[_Direction, _Direction]) -> bool:
        fault, due = self.fault, self._scheduler.now() + 60 * SECOND
        for direction, passes in zip(directions, (fault.there, fault.back)):
            due = min(due, self._move(direction, passes, direction is directions[0]))
            if fault.cut_at and directions[0].bytes_passed >= fault.cut_at:
                return False
        if near.broken or far.broken:
            # While a direction is stopped, the other side does not learn of the break.
            if fault.there and fault.back:
                return False
        if all(direction.ended for direction in directions):
            return False
        fds = {}
        for stream, outgoing, incoming in (
            (near, directions[0], directions[1]),
            (far, directions[1], directions[0]),
        ):
            mask = (
                READ
                if outgoing.held_back_bytes < BUFFER_BYTES
                and stream.receive_buffer.free_bytes
                and not stream.peer_closed
                and not stream.broken
                else 0
            )
            fds[stream.fd] = mask | (WRITE if len(stream.send_buffer) and not stream.broken else 0)
        self._scheduler.wait({fd: mask for fd, mask in fds.items() if mask}, due)
        return True

    def _move(self, direction: _Direction, passes: bool, from_caller: bool) -> int:
        """Passes the pieces that are due; returns the time at which to look again."""
        fault, now = self.fault, self._scheduler.now()
        if direction.source.closed or direction.sink.closed:
            return now
        if direction.held_back_bytes < BUFFER_BYTES and not direction.source.peer_closed:
            direction.source.receive()
            piece = direction.source.receive_buffer.read(len(direction.source.receive_buffer))
            if piece and (direction.drops_rest or fault.most and len(piece) > fault.most):
                direction.drops_rest = True
            elif piece:
                due = now + fault.delay + int(fault.spread * self._rng.random())
                direction.pieces.append(
                    (max(due, direction.pieces[-1][0] if direction.pieces else 0), piece)
                )
                direction.held_back_bytes += len(piece)
        if not passes:
            return now + 60 * SECOND
        while direction.pieces:
            due, piece = direction.pieces[0]
            due = max(due, direction.free_at)
            if due > now:
                return due
            free_bytes = direction.sink.send_buffer.free_bytes
            if from_caller and fault.cut_at:
                free_bytes = min(free_bytes, max(1, fault.cut_at - direction.bytes_passed))
            if fault.rate:
                free_bytes = min(free_bytes, max(1, fault.rate // 50))
            if not free_bytes:
                break
            part, rest = piece[:free_bytes], piece[free_bytes:]
            direction.sink.write(part)
            direction.bytes_passed += len(part)
            self.bytes_passed += len(part)
            direction.held_back_bytes -= len(part)
            direction.pieces.popleft()
            if rest:
                direction.pieces.appendleft((due, rest))
            if fault.rate:
                direction.free_at = now + len(part) * SECOND // fault.rate
            if from_caller and fault.cut_at and direction.bytes_passed >= fault.cut_at:
                return now
        direction.sink.flush()
        if (
            direction.source.peer_closed
            and not direction.pieces
            and not len(direction.sink.send_buffer)
            and not direction.ended
            and not direction.drops_rest
        ):
            direction.ended = True
            direction.sink.shutdown_write()
        return now + 60 * SECOND
