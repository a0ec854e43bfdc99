"""A gRPC connection on a socket, and its calls with blocking methods.

One greenlet per connection reads and writes the socket, and disconnects a peer that is silent, too
slow, or sends no settings in time. A call is used only from the greenlet that serves or makes it.
"""

from __future__ import annotations

from collections.abc import Callable

from corklift.net.limits import Counters
from corklift.net.scheduler import READ, WRITE, Scheduler, Task
from corklift.net.stream import Stream
from corklift.rpc.core import Code, RpcError, RpcLimits
from corklift.rpc.receive_budget import ReceiveBudget
from corklift.rpc.session import Call, Session, SessionError

# Received bytes that are handled before the clock is read.
HANDLED_BYTES = 512


class RpcCall:
    """A call, as its server or client uses it. Every wait ends at the call's deadline."""

    def __init__(self, connection: RpcConnection, call: Call) -> None:
        self._connection, self._call, self._scheduler = connection, call, connection.scheduler
        self._task: Task | None = None
        call.on_change = self._wake

    @property
    def path(self) -> str:
        return self._call.path

    @property
    def deadline(self) -> int | None:
        return self._call.deadline

    @property
    def ended(self) -> bool:
        """Whether the call is over in both directions."""
        return self._call.ended

    @property
    def fully_read(self) -> bool:
        """Whether the peer has half-closed the call and all its messages have been read."""
        return self._call.remote_closed and not self._call.inbox

    @property
    def pending_bytes(self) -> int:
        """Queued bytes that flow control has not let out yet."""
        return len(self._call.outbox)

    @property
    def peer(self) -> str:
        return self._connection.peer

    @property
    def going_away(self) -> bool:
        """Whether the connection takes no further calls; this one should end soon."""
        return self._connection.session.going_away

    def _wake(self) -> None:
        if self._task is not None:
            self._scheduler.wake(self._task)

    def wait(self, until: int | None = None) -> None:
        """Blocks until the state of the call may have changed, or until the given time.

        Raises:
            RpcError: the deadline has passed (DEADLINE_EXCEEDED), or the call has ended.
        """
        call = self._call
        if call.ended and not call.inbox:
            error = call.error or RpcError(Code.CANCELLED, "call has ended")
            raise error.without_traceback()
        if call.deadline is not None:
            if self._scheduler.now() >= call.deadline:
                error = RpcError(Code.DEADLINE_EXCEEDED, "deadline passed")
                self._connection.finish(call, error)
                raise error.without_traceback()
            until = call.deadline if until is None else min(until, call.deadline)
        self._task = self._scheduler.current
        self._scheduler.wait({}, until)

    def receive_nowait(self) -> bytes | None:
        """Returns the next message, or None if none has been received; never blocks."""
        message = self._connection.session.take_message(self._call)
        if message is not None:
            self._connection.flush()  # sends the window update
        return message

    def receive(self, until: int | None = None) -> bytes | None:
        """Returns the next message; None once the peer has half-closed the call, or at that time.

        Raises:
            RpcError: the call failed.
        """
        while True:
            message = self.receive_nowait()
            if message is not None:
                return message
            if self._call.error is not None:
                raise self._call.error.without_traceback()
            if self._call.remote_closed or (until is not None and self._scheduler.now() >= until):
                return None
            self.wait(until)

    def receive_request(self) -> bytes | None:
        """Returns the request of a unary call; None if it is not whole in time.

        Raises:
            RpcError: the call failed.
        """
        return self.receive(self._scheduler.now() + self._connection.limits.stall_timeout)

    def send_nowait(self, message: bytes) -> None:
        """Queues a message without blocking; fails if the outbox is full."""
        self._connection.session.send(self._scheduler.now(), self._call, message)
        self._connection.flush()

    def send(self, message: bytes) -> None:
        """Queues a message and blocks until flow control has let all of it out."""
        self.send_nowait(message)
        while self._call.outbox and not self._call.ended:
            self.wait()

    def half_close(self) -> None:
        """Tells the server that the client sends no further messages."""
        self._connection.finish(self._call, None)

    def cancel(self, error: RpcError | None = None) -> None:
        self._connection.finish(self._call, error or RpcError(Code.CANCELLED, "cancelled"))


def _do_nothing() -> None:
    """Stands for a notification that nobody wants."""


class RpcConnection:
    """One connection, of a server or a client."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: RpcLimits,
        counters: Counters,
        stream: Stream,
        peer: str,
        client: bool,
        handle_call: Callable[[RpcCall], None] | None = None,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self.scheduler, self.limits, self._counters, self._stream, self.peer = (
            scheduler,
            limits,
            counters,
            stream,
            peer,
        )
        self._handle_call = handle_call
        self.session = Session(limits, client, self._on_call, budget, self.wake)
        self._task: Task | None = None
        self._started_at = self.last_received_at = scheduler.now()
        # Detects a peer that does not read: of the bytes written to the socket's ring buffer so
        # far, those up to the mark must have been sent within the stall timeout after the mark was
        # set.
        self._written_bytes = self._mark = 0
        self._mark_set_at = self._started_at
        self.closed = self._aborted = False
        self.close_reason = ""
        self.on_close: Callable[[], None] = _do_nothing

    def _on_call(self, call: Call) -> None:
        assert self._handle_call is not None
        self._counters["calls taken"] += 1
        self.scheduler.spawn(self._run_call, call, RpcCall(self, call))

    def _run_call(self, call: Call, rpc_call: RpcCall) -> None:
        assert self._handle_call is not None
        error: RpcError | None = RpcError(Code.INTERNAL, "the handler failed")
        try:
            self._handle_call(rpc_call)
            error = None
        except RpcError as raised:
            error = raised.without_traceback()
        finally:  # an exception ends only its call; the scheduler logs it
            if error is not None and not call.ended:
                self._counters[f"calls ended {error.code.name}"] += 1
            self.finish(call, error)

    def call(self, path: str, deadline: int | None = None) -> RpcCall:
        call = self.session.start_call(self.scheduler.now(), self.peer, path, deadline)
        self.wake()
        return RpcCall(self, call)

    def finish(self, call: Call, error: RpcError | None) -> None:
        self.session.finish(self.scheduler.now(), call, error)
        self.wake()

    def flush(self) -> None:
        """Sends what the socket takes at once; the greenlet of the connection sends the rest."""
        if not self.closed and not self._stream.closed:
            self._write()
        self.wake_if_pending()

    def wake_if_pending(self) -> None:
        # The greenlet may be waiting for the socket to become readable only.
        if (
            len(self._stream.send_buffer)
            or self.session.has_output
            or self.session.has_unsent_calls
            or self._stream.broken
        ):
            self.wake()

    def wake(self) -> None:
        if self._task is not None and not self.closed:
            self.scheduler.wake(self._task)

    def go_away(self) -> None:
        """Takes no further calls; the connection ends with its last call."""
        self.session.go_away()
        self.wake()

    def abort(self) -> None:
        """Resets the connection at once."""
        self._aborted = self._stream.broken = True
        self.wake()

    def run(self) -> None:
        """Serves the connection until it is closed; runs in a greenlet of its own."""
        self._task = self.scheduler.current
        try:
            while not self._step():
                pass
        except SessionError as error:
            self.close_reason = str(error)
            self._counters["connections broken off"] += 1
            self._drain_output()
        finally:
            self.closed = True
            (self._stream.abort if self._aborted else self._stream.close)()
            self.session.connection_lost(self.close_reason or "connection lost")
            on_close, self.on_close = self.on_close, _do_nothing
            on_close()

    def _step(self) -> bool:
        now = self.scheduler.now()
        if self._stream.receive():
            self.last_received_at = now
        self._handle_received(now + self.limits.turn_time)
        self._write()
        has_unhandled = len(self._stream.receive_buffer) > 0
        if self._stream.broken or (self._stream.peer_closed and not has_unhandled):
            self.close_reason = self.close_reason or "connection closed by peer"
            return True
        if self.session.closed or (self.session.going_away and not self.session.call_count):
            self._drain_output()
            return True
        next_check = self._check_timeouts(now)
        if has_unhandled:
            self.scheduler.wait({}, now)  # the others have their turn
            return False
        if self.session.has_output and self._stream.send_buffer.free_bytes:
            return False
        fds = {self._stream.fd: READ | (WRITE if len(self._stream.send_buffer) else 0)}
        self.scheduler.wait(fds, next_check)
        self._stream.flush()
        return False

    def _handle_received(self, until: int) -> None:
        """Handles what is in the receive buffer, up to the given time."""
        buffer = self._stream.receive_buffer
        while len(buffer):
            part = buffer.read(min(len(buffer), HANDLED_BYTES))
            self.session.receive_data(self.scheduler.now(), part)
            if self.scheduler.now() >= until:
                break

    def _write(self) -> None:
        while not self._stream.broken:
            output = self.session.data_to_send(self._stream.send_buffer.free_bytes)
            if not output:
                break
            self._written_bytes += len(output)
            self._stream.write(output)
            if len(self._stream.send_buffer):
                break
        sent_bytes = self._written_bytes - len(self._stream.send_buffer)
        if sent_bytes >= self._mark:
            self._mark, self._mark_set_at = self._written_bytes, self.scheduler.now()

    def _check_timeouts(self, now: int) -> int:
        """Disconnects a peer that exceeds a timeout; returns when to check again.

        Otherwise a peer could hold a connection without sending, reading or answering pings.
        """
        limits, session = self.limits, self.session
        next_check = now + limits.stall_timeout // 2
        if not session.settings_received:
            if now - self._started_at >= limits.handshake_timeout:
                raise SessionError("peer sent no settings in time")
            next_check = min(next_check, self._started_at + limits.handshake_timeout)
        if self._written_bytes > self._mark and now - self._mark_set_at >= limits.stall_timeout:
            raise SessionError("peer reads too slowly")
        if len(self._stream.send_buffer) == 0:
            self._mark, self._mark_set_at = self._written_bytes, now
        call = session.find_stalled_call(now)
        if call is not None:
            self._counters["calls stalled"] += 1
            session.reset(call, RpcError(Code.RESOURCE_EXHAUSTED, "peer reads too slowly"))
        if limits.ping_after and session.settings_received:
            if session.ping_sent_at:
                if now - session.ping_sent_at >= limits.ping_timeout:
                    raise SessionError("ping was not answered in time")
                next_check = min(next_check, session.ping_sent_at + limits.ping_timeout)
            elif now - self.last_received_at >= limits.ping_after:
                session.ping(now)
                next_check = now  # the ping is written first
            else:
                next_check = min(next_check, self.last_received_at + limits.ping_after)
        return next_check

    def _drain_output(self) -> None:
        """Sends the remaining output, within the close timeout."""
        until = self.scheduler.now() + self.limits.close_timeout
        while not self._stream.broken and self.scheduler.now() < until:
            if not len(self._stream.send_buffer):
                output = self.session.data_to_send(self._stream.send_buffer.free_bytes)
                if not output:
                    break
                self._stream.write(output)
            if len(self._stream.send_buffer):
                self.scheduler.wait({self._stream.fd: WRITE}, until)
                self._stream.flush()
        self._stream.shutdown_write()
