"""A client's channel: one connection to one address, made anew when it ends, after a wait that is spread.

Owns the connection in force and the back-off. Must never send a call twice: a call that fails is its caller's.
"""

from __future__ import annotations

from random import Random

from corklift.net.limits import Counters
from corklift.net.scheduler import WRITE, Scheduler, Task
from corklift.net.stream import Stream
from corklift.rpc.core import BackOff, Code, RpcError, RpcLimits
from corklift.rpc.link import Link, LiveCall


class Channel:
    def __init__(
        self,
        scheduler: Scheduler,
        limits: RpcLimits,
        counters: Counters,
        address: tuple[str, int],
        rng: Random,
    ) -> None:
        self._scheduler, self._limits, self._counters, self.address = (
            scheduler,
            limits,
            counters,
            address,
        )
        self.back_off = BackOff(rng, limits)
        self._link: Link | None = None
        self._waits: list[Task] = []
        self._keeper: Task | None = None
        self._closed = False
        self.failed_at = 0  # when the last connect failed

    def keep_connected(self) -> None:
        """The channel's own greenlet."""
        self._keeper = self._scheduler.current
        while not self._closed:
            link = self._connect()
            if link is None:
                self.failed_at = self._scheduler.now()
                self._wake()
                self._scheduler.sleep(self.back_off.failed())
                continue
            began = self._scheduler.now()
            self._link = link
            self._scheduler.spawn(link.run)
            self._wake()
            while not link.over and not link.session.leaving and not self._closed:
                self._scheduler.wait(
                    {}, self._scheduler.now() + 50_000_000 if not link.session.settled else None
                )
            settled = link.session.settled
            self._link = None
            if settled and self._scheduler.now() - began > self._limits.back_off:
                self.back_off.worked()
            if not self._closed:
                # Guards against a crowd that comes back at once when a server has ended all its connections.
                self._scheduler.sleep(self.back_off.failed())
            link.go_away()

    def _connect(self) -> Link | None:
        self._counters["connects"] += 1
        try:
            stream = Stream.connect(self.address, self._limits)
        except OSError:
            return None
        until = self._scheduler.now() + self._limits.connect_time
        while not stream.broken and not self._scheduler.wait({stream.fd: WRITE}, until):
            if self._scheduler.now() >= until or self._closed:
                stream.close()
                return None
        if stream.connect_failed():
            stream.close()
            return None
        link = Link(
            self._scheduler, self._limits, self._counters, stream, "%s:%d" % self.address, True
        )
        link.ended = self._ended
        return link

    def _ended(self) -> None:
        if self._keeper is not None:
            self._scheduler.wake(self._keeper)

    def _wake(self) -> None:
        waits, self._waits = self._waits, []
        for task in waits:
            self._scheduler.wake(task)

    def ready(self, until: int) -> Link:
        """Blocks until there is a connection.

        Raises:
            RpcError: UNAVAILABLE if there is none by then.
        """
        while self._link is None or self._link.over or self._link.session.leaving:
            if self._closed or self._scheduler.now() >= until:
                raise RpcError(Code.UNAVAILABLE, "no connection to %s:%d" % self.address)
            self._waits.append(self._scheduler.current)
            self._scheduler.wait({}, min(until, self._scheduler.now() + 50_000_000))
        return self._link

    def call(self, path: str, until: int, deadline: int | None = None) -> LiveCall:
        """Begins a call on the connection, waiting for it until then; `deadline` (ns of our clock) is told the server."""
        return self.ready(until).call(path, deadline)

    def unary(self, path: str, request: bytes, deadline: int) -> bytes:
        """One message, one answer.

        Raises:
            RpcError: how the call ended, if not well.
        """
        call = self.call(path, deadline, deadline)
        call.post(request)
        call.done_sending()
        answer = call.receive()
        if answer is None:
            raise RpcError(Code.INTERNAL, "ended without an answer")
        while call.receive() is not None:
            pass
        return answer

    def drop(self) -> None:
        """Breaks the connection off, as a failing network would; it is made anew."""
        if self._link is not None:
            self._link.drop()

    def close(self) -> None:
        self._closed = True
        if self._link is not None:
            self._link.go_away()
        if self._keeper is not None:
            self._scheduler.wake(self._keeper)
