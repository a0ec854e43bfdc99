"""A connection's socket and its session, and calls in blocking style.

Owns one greenlet a connection, which alone reads and writes its socket, and the times by which a silent, slow or
unsettled peer is dropped. A call is used from the greenlet that serves or makes it. Must never know a service.
"""

from __future__ import annotations

from collections.abc import Callable

from corklift.net.limits import Counters
from corklift.net.scheduler import READ, WRITE, Scheduler, Task
from corklift.net.stream import Stream
from corklift.rpc.core import Code, RpcError, RpcLimits
from corklift.rpc.session import Broken, Call, Session


class LiveCall:
    """A call as the greenlet that serves or makes it sees it. Every wait ends at the call's deadline."""

    def __init__(self, link: Link, call: Call) -> None:
        self._link, self._call, self._scheduler = link, call, link.scheduler
        self._task: Task | None = None
        call.wake = self._wake

    @property
    def path(self) -> str:
        return self._call.path

    @property
    def deadline(self) -> int | None:
        return self._call.deadline

    @property
    def metadata(self) -> dict[bytes, bytes]:
        return self._call.metadata

    @property
    def ended(self) -> bool:
        """Nothing more can be sent."""
        return self._call.ended

    @property
    def done(self) -> bool:
        """The peer has ended its sending, and all of it has been read."""
        return self._call.remote_ended and not self._call.inbox

    @property
    def pending(self) -> int:
        """Bytes queued that the peer has not let go yet."""
        return len(self._call.outbox)

    @property
    def peer(self) -> str:
        return self._link.peer

    @property
    def leaving(self) -> bool:
        """The connection takes no further calls; this one should come to an end."""
        return self._link.session.leaving

    def _wake(self) -> None:
        if self._task is not None:
            self._scheduler.wake(self._task)

    def wait(self, until: int | None = None) -> None:
        """Blocks until something may have changed, or the time has come.

        Raises:
            RpcError: the call's deadline has passed (DEADLINE_EXCEEDED), or it was ended by the peer or lost.
        """
        call = self._call
        if call.ended and not call.inbox:
            raise call.error or RpcError(Code.CANCELLED, "the call is over")
        if call.deadline is not None:
            if self._scheduler.now() >= call.deadline:
                problem = RpcError(Code.DEADLINE_EXCEEDED, "deadline passed")
                self._link.finish(call, problem)
                raise problem
            until = call.deadline if until is None else min(until, call.deadline)
        self._task = self._scheduler.current
        self._scheduler.wait({}, until)

    def ready(self) -> bytes | None:
        """The next message if one has come; never blocks."""
        message = self._link.session.take_message(self._call)
        if message is not None:
            self._link.push()  # the window has opened
        return message

    def receive(self, until: int | None = None) -> bytes | None:
        """The next message; None when the peer has ended its sending, or at that time.

        Raises:
            RpcError: how the call ended, if not well.
        """
        while True:
            message = self.ready()
            if message is not None:
                return message
            if self._call.error is not None:
                raise self._call.error
            if self._call.remote_ended or (until is not None and self._scheduler.now() >= until):
                return None
            self.wait(until)

    def post(self, message: bytes) -> None:
        """Queues a message without waiting for it to leave; the queue is bounded."""
        self._link.session.send(self._scheduler.now(), self._call, message)
        self._link.push()

    def send(self, message: bytes) -> None:
        """Queues a message and blocks until the peer's window has let all of it go."""
        self.post(message)
        while self._call.outbox and not self._call.ended:
            self.wait()

    def done_sending(self) -> None:
        """A client has no more to say."""
        self._link.finish(self._call, None)

    def cancel(self, problem: RpcError | None = None) -> None:
        self._link.finish(self._call, problem or RpcError(Code.CANCELLED, "cancelled"))


class Link:
    """One connection, of either side."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: RpcLimits,
        counters: Counters,
        stream: Stream,
        peer: str,
        client: bool,
        serve: Callable[[LiveCall], None] | None = None,
    ) -> None:
        self.scheduler, self._limits, self._counters, self._stream, self.peer = (
            scheduler,
            limits,
            counters,
            stream,
            peer,
        )
        self._serve = serve
        self.session = Session(limits, client, self._opened)
        self._task: Task | None = None
        self._began_at = self._heard_at = scheduler.now()
        self._put = self._mark = 0  # bytes given to the socket's ring; how many must have left ...
        self._mark_at = self._began_at  # ... within the stall time from here
        self.over = self._dropped = False
        self.why = ""
        self.ended: Callable[[], None] = lambda: None

    def _opened(self, call: Call) -> None:
        assert self._serve is not None
        self._counters["calls taken"] += 1
        self.scheduler.spawn(self._run_call, call, LiveCall(self, call))

    def _run_call(self, call: Call, live: LiveCall) -> None:
        assert self._serve is not None
        problem: RpcError | None = RpcError(Code.INTERNAL, "the handler failed")
        try:
            self._serve(live)
            problem = None
        except RpcError as ended:
            problem = ended
        finally:  # an exception ends its call alone; the scheduler tells of it
            if problem is not None and not call.ended:
                self._counters[f"calls ended {problem.code.name}"] += 1
            self.finish(call, problem)

    def call(self, path: str, deadline: int | None = None) -> LiveCall:
        call = self.session.call(self.scheduler.now(), self.peer, path, deadline)
        self.wake()
        return LiveCall(self, call)

    def finish(self, call: Call, problem: RpcError | None) -> None:
        self.session.finish(self.scheduler.now(), call, problem)
        self.wake()

    def push(self) -> None:
        """Something is to be sent: what the socket takes goes at once, the rest as it takes more."""
        if not self.over and not self._stream.closed:
            self._write()
        self.wake_if_left()

    def wake_if_left(self) -> None:
        # A task that waits for reading alone would not see that there is something to write.
        if (
            len(self._stream.send_buffer)
            or self.session.has_bytes
            or self.session.waiting
            or self._stream.broken
        ):
            self.wake()

    def wake(self) -> None:
        if self._task is not None and not self.over:
            self.scheduler.wake(self._task)

    def go_away(self) -> None:
        """No further calls; the connection ends with the last that stands."""
        self.session.go_away()
        self.wake()

    def drop(self) -> None:
        """Breaks the connection off at once, with a reset."""
        self._dropped = self._stream.broken = True
        self.wake()

    def run(self) -> None:
        """The connection's own greenlet: returns when it is over."""
        self._task = self.scheduler.current
        try:
            while not self._step():
                pass
        except Broken as problem:
            self.why = str(problem)
            self._counters["connections broken off"] += 1
            self._last_words()
        finally:
            self.over = True
            (self._stream.abort if self._dropped else self._stream.close)()
            self.session.lost(self.why or "the connection is lost")
            self.ended()

    def _step(self) -> bool:
        now = self.scheduler.now()
        if self._stream.receive():
            self._heard_at = now
            self.session.received(
                now, self._stream.receive_buffer.read(len(self._stream.receive_buffer))
            )
        self._write()
        if self._stream.broken or self._stream.peer_closed:
            self.why = self.why or "the peer has ended the connection"
            return True
        if self.session.over or (self.session.leaving and not self.session.calls):
            self._last_words()
            return True
        due = self._check_times(now)
        if self.session.has_bytes and self._stream.send_buffer.free_bytes:
            return False
        fds = {self._stream.fd: READ | (WRITE if len(self._stream.send_buffer) else 0)}
        self.scheduler.wait(fds, due)
        self._stream.flush()
        return False

    def _write(self) -> None:
        while not self._stream.broken:
            part = self.session.take(self._stream.send_buffer.free_bytes)
            if not part:
                break
            self._put += len(part)
            self._stream.write(part)
            if len(self._stream.send_buffer):
                break
        left = self._put - len(self._stream.send_buffer)
        if left >= self._mark:
            self._mark, self._mark_at = self._put, self.scheduler.now()

    def _check_times(self, now: int) -> int:
        """Drops a peer that is out of time; returns when to look again.

        Guards against peers that hold a connection without speaking, reading or answering."""
        limits, session = self._limits, self.session
        due = now + limits.stall_time // 2
        if not session.settled:
            if now - self._began_at >= limits.handshake_time:
                raise Broken("no settings in time")
            due = min(due, self._began_at + limits.handshake_time)
        if self._put > self._mark and now - self._mark_at >= limits.stall_time:
            raise Broken("the peer does not read")
        if len(self._stream.send_buffer) == 0:
            self._mark, self._mark_at = self._put, now
        call = session.stalled(now)
        if call is not None:
            self._counters["calls stalled"] += 1
            session.reset(call, RpcError(Code.RESOURCE_EXHAUSTED, "the peer does not read"))
        if limits.ping_after and session.settled:
            if session.ping_at:
                if now - session.ping_at >= limits.ping_wait:
                    raise Broken("a ping was not answered")
                due = min(due, session.ping_at + limits.ping_wait)
            elif now - self._heard_at >= limits.ping_after:
                session.ping(now)
                due = now  # write it first
            else:
                due = min(due, self._heard_at + limits.ping_after)
        return due

    def _last_words(self) -> None:
        """What is left to say leaves, if the peer takes it soon."""
        until = self.scheduler.now() + self._limits.end_time
        while not self._stream.broken and self.scheduler.now() < until:
            if not len(self._stream.send_buffer):
                part = self.session.take(self._stream.send_buffer.free_bytes)
                if not part:
                    break
                self._stream.write(part)
            if len(self._stream.send_buffer):
                self.scheduler.wait({self._stream.fd: WRITE}, until)
                self._stream.flush()
        self._stream.shutdown_write()
