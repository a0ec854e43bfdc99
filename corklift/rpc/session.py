"""One HTTP/2 connection with its gRPC calls, as a state machine without a socket or a clock.

Received bytes go in, bytes to send come out, and times are passed in, in ns. The flow-control
window of a call is reopened only as its messages are read, so backpressure reaches the sender.
Messages to send wait in the outbox of their call and are split into frames as the socket takes
them, with the calls in round robin.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    PingAckReceived,
    PingReceived,
    RemoteSettingsChanged,
    RequestReceived,
    ResponseReceived,
    SettingsAcknowledged,
    StreamEnded,
    StreamReset,
    TrailersReceived,
)
from h2.exceptions import H2Error, ProtocolError
from h2.settings import SettingCodes, Settings
from hyperframe.frame import GoAwayFrame

from corklift.rpc.core import (
    PREFIX_BYTES,
    SECOND,
    Code,
    MessageDecoder,
    RpcError,
    RpcLimits,
    encode_message,
    encode_status_message,
    error_from_http_status,
    format_timeout,
    parse_timeout,
    status_from_trailers,
)
from corklift.rpc.receive_budget import ReceiveBudget

INITIAL_WINDOW = 65_535  # HTTP/2's initial flow-control window
MAX_STREAM_ID = (1 << 31) - 1
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
CODES_BY_RESET = {
    ErrorCodes.NO_ERROR: Code.INTERNAL,
    ErrorCodes.REFUSED_STREAM: Code.UNAVAILABLE,
    ErrorCodes.CANCEL: Code.CANCELLED,
    ErrorCodes.ENHANCE_YOUR_CALM: Code.RESOURCE_EXHAUSTED,
}
GOAWAY_FRAME_TYPE = 7
FRAME_HEADER_BYTES = 9
CONTENT_TYPE = "application/grpc"
# The header fields that are used; no other is kept.
HEADER_FIELDS = frozenset(
    (b":method", b":path", b":status", b"content-type", b"grpc-message", b"grpc-status")
    + (b"grpc-timeout",)
)


def _do_nothing() -> None:
    """Stands for the notification of a call's user once the call has ended.

    The user refers to the call, so that a reference back would keep both until the next garbage
    collection.
    """


class _Connection(H2Connection):
    # Closed streams that are remembered, for frames that are late; h2 remembers 65,536.
    MAX_CLOSED_STREAMS = 1024


class SessionError(Exception):
    """The peer violates the protocol or exceeds a limit; the connection must be closed."""


class Call:
    """The state of one call. `on_change` is called when its user may be able to continue."""

    def __init__(self, stream_id: int, path: str, limits: RpcLimits, now: int) -> None:
        self.stream_id, self.path, self.started_at = stream_id, path, now
        self.deadline: int | None = None
        # Received messages, each with the flow-control bytes to acknowledge once it is read.
        self.inbox: deque[tuple[bytes, int]] = deque()
        self.outbox = bytearray()
        self.sent_bytes = 0  # written into frames so far
        # Queued messages that have not been sent: the value of `sent_bytes` at their end, and when
        # they were queued.
        self.queued_ends: deque[tuple[int, int]] = deque()
        self.headers_sent = self.headers_received = False
        self.remote_closed = False  # the peer sends nothing more
        self.ended = False  # in both directions
        self.error: RpcError | None = None
        self.trailers: list[tuple[str, str]] | None = None  # to be sent after the outbox
        self.finishing = False  # no further message may be queued
        self.on_change: Callable[[], None] = _do_nothing
        self._decoder = MessageDecoder(limits.max_message_bytes)
        # Received flow-control bytes of the incomplete message, not acknowledged yet.
        self._unacknowledged = 0


class Session:
    """One side of a connection. `on_call` is called for each call that the peer starts."""

    def __init__(
        self,
        limits: RpcLimits,
        client: bool,
        on_call: Callable[[Call], None] | None = None,
        budget: ReceiveBudget | None = None,
        wake: Callable[[], None] = _do_nothing,
    ) -> None:
        """Creates the session.

        Args:
            limits: the limits of the connection.
            client: whether this side starts the calls.
            on_call: called for each call that the peer starts.
            budget: counts what the calls of a server have received.
            wake: called when there is output though nothing was received.
        """
        self._limits, self._client, self._on_call = limits, client, on_call
        self._budget, self._wake = budget, wake
        settings = {
            SettingCodes.MAX_CONCURRENT_STREAMS: limits.max_streams,
            SettingCodes.MAX_HEADER_LIST_SIZE: limits.max_header_bytes,
            SettingCodes.ENABLE_PUSH: 0,
        }
        self._h2 = _Connection(H2Configuration(client_side=client, header_encoding=None))
        self._h2.local_settings = Settings(client=client, initial_values=settings)
        self._h2.max_inbound_frame_size = self._h2.local_settings.max_frame_size
        self._h2.decoder.max_header_list_size = limits.max_header_bytes
        self._h2.initiate_connection()
        # One unread call must not close the window of the connection for the others.
        self._h2.increment_flow_control_window(INITIAL_WINDOW * (limits.max_streams - 1) or 1)
        self._output = bytearray(self._h2.data_to_send())
        self._calls: dict[int, Call] = {}
        self._sending: dict[int, Call] = {}  # calls with something to send, in round robin
        # Of a client: an incomplete frame. Of a server: the incomplete length field of a frame.
        self._partial = bytearray()
        # Of a server: bytes until the next frame header.
        self._bytes_to_skip = 0 if client else len(PREFACE)
        self._second, self._control_frames = 0, 0
        self.settings_received = False
        # GOAWAY was received or sent: no new calls, but those in progress continue.
        self.going_away = False
        self.closed = False  # nothing more is sent or received
        self.succeeded_calls = 0  # of a server
        self.ping_sent_at = 0  # of a ping without an answer yet; 0: none

    # Input from the peer

    def receive_data(self, now: int, content: bytes) -> None:
        """Handles received bytes.

        Raises:
            SessionError: the connection must be closed, after sending the remaining output.
        """
        if self.closed:
            return
        try:
            if not self._client:
                self._check_frame_lengths(content)
            for part in self._drop_goaway_frames(content) if self._client else (content,):
                for event in self._h2.receive_data(part):
                    handler = self._HANDLERS.get(type(event))
                    if handler is not None:
                        handler(self, now, event)
        except (H2Error, ValueError, IndexError, KeyError) as error:
            # hpack and hyperframe raise the latter three.
            self._fail(str(error) or type(error).__name__)
        if len(self._output) > self._limits.max_outbox_bytes:
            raise SessionError("unsent output exceeds the limit: peer does not read")

    def _fail(self, reason: str) -> None:
        self._output += self._h2.data_to_send()
        self.closed = True
        raise SessionError(reason)

    def _check_frame_lengths(self, content: bytes) -> None:
        """Rejects an oversized frame by its header: h2 would buffer up to 16 MB of it first."""
        offset = 0
        while offset < len(content):
            chunk = content[offset : offset + (self._bytes_to_skip or 3 - len(self._partial))]
            offset += len(chunk)
            if self._bytes_to_skip:
                self._bytes_to_skip -= len(chunk)
                continue
            self._partial += chunk
            if len(self._partial) == 3:
                length = int.from_bytes(self._partial, "big")
                if length > self._h2.max_inbound_frame_size:
                    self._h2.close_connection(ErrorCodes.FRAME_SIZE_ERROR)
                    self._fail(f"frame of {length} bytes exceeds the limit")
                self._partial.clear()
                self._bytes_to_skip = FRAME_HEADER_BYTES - 3 + length

    def _drop_goaway_frames(self, content: bytes) -> Iterable[bytes]:
        """Yields a server's frames except GOAWAY, for which h2 would end the calls in progress."""
        self._partial += content
        offset = yielded = 0
        frames = bytes(self._partial)
        while len(frames) - offset >= FRAME_HEADER_BYTES:
            end = offset + FRAME_HEADER_BYTES + int.from_bytes(frames[offset : offset + 3], "big")
            if len(frames) < end:
                if end - offset > FRAME_HEADER_BYTES + self._h2.max_inbound_frame_size:
                    self._fail("frame exceeds the size limit")
                break
            if frames[offset + 3] == GOAWAY_FRAME_TYPE:
                if offset > yielded:
                    yield frames[yielded:offset]
                self._handle_goaway(frames[offset + FRAME_HEADER_BYTES : end])
                yielded = end
            offset = end
        del self._partial[:offset]
        if offset > yielded:
            yield frames[yielded:offset]

    def _handle_goaway(self, payload: bytes) -> None:
        last_stream_id, code = (
            int.from_bytes(payload[:4], "big") & MAX_STREAM_ID,
            int.from_bytes(payload[4:8], "big"),
        )
        self.going_away = True
        for call in [c for c in self._calls.values() if c.stream_id > last_stream_id]:
            self._end_call(
                call,
                RpcError(Code.UNAVAILABLE, "server is going away and did not process this call"),
            )
        if code:
            text = payload[8:].decode("ascii", "replace")[:200]
            self._fail(f"GOAWAY with error {code} {text}")

    @staticmethod
    def _header_dict(pairs: Iterable[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
        return {bytes(name): bytes(value) for name, value in pairs if name in HEADER_FIELDS}

    def _on_request(self, now: int, event: Any) -> None:
        headers = self._header_dict(event.headers)
        call = Call(
            event.stream_id,
            headers.get(b":path", b"").decode("ascii", "replace"),
            self._limits,
            now,
        )
        self._calls[call.stream_id] = call
        if headers.get(b":method") != b"POST" or not headers.get(b"content-type", b"").startswith(
            CONTENT_TYPE.encode()
        ):
            self._reject_request(now, call, 415)
            return
        try:
            if b"grpc-timeout" in headers:
                call.deadline = now + parse_timeout(headers[b"grpc-timeout"])
            if self.going_away:
                raise RpcError(Code.UNAVAILABLE, "this server goes away")
            assert self._on_call is not None
            self._on_call(call)
        except RpcError as error:
            self.finish(now, call, error)

    def _reject_request(self, now: int, call: Call, status: int) -> None:
        self._h2.send_headers(call.stream_id, [(":status", str(status))], end_stream=True)
        self._h2.reset_stream(call.stream_id, ErrorCodes.NO_ERROR)
        self._collect_output()
        self._end_call(call, RpcError(Code.UNKNOWN, "not a gRPC request"))

    def _on_response(self, now: int, event: Any) -> None:
        call = self._calls.get(event.stream_id)
        if call is None:
            return
        headers = self._header_dict(event.headers)
        if headers.get(b":status") != b"200":
            self._reset(call, error_from_http_status(headers.get(b":status", b"")))
        elif b"grpc-status" in headers:  # a response of trailers only
            call.headers_received = True
            call.error = status_from_trailers(headers)
        elif not headers.get(b"content-type", b"").startswith(CONTENT_TYPE.encode()):
            self._reset(call, RpcError(Code.UNKNOWN, "response is not gRPC"))
        else:
            call.headers_received = True

    def _on_data(self, now: int, event: Any) -> None:
        call = self._calls.get(event.stream_id)
        if call is None or call.ended or (call.finishing and not self._client):
            self._h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            return
        call._unacknowledged += event.flow_controlled_length
        try:
            messages = call._decoder.feed(event.data)
        except RpcError as error:
            self.finish(now, call, error)
            return
        for message in messages:
            # The flow-control bytes of a complete message are acknowledged when it is read.
            size = min(call._unacknowledged, len(message) + PREFIX_BYTES)
            call._unacknowledged -= size
            call.inbox.append((message, size))
        if len(call.inbox) < self._limits.max_inbox_messages and call._unacknowledged:
            # A message may be larger than the window, so its received part is acknowledged early.
            # The buffer of the decoder is bounded.
            self._acknowledge(call, call._unacknowledged)
            call._unacknowledged = 0
        if self._budget is not None:
            self._budget.add(call, len(event.data), lambda: self._exceeds_budget(now, call))
        if messages:
            call.on_change()

    def _exceeds_budget(self, now: int, call: Call) -> None:
        """Ends a call of a server whose message has been incomplete or unread for too long."""
        unacknowledged = call._unacknowledged + sum(size for _, size in call.inbox)
        call._decoder = MessageDecoder(self._limits.max_message_bytes)
        call.inbox.clear()
        call._unacknowledged = 0
        self._acknowledge(call, unacknowledged)
        error = RpcError(Code.RESOURCE_EXHAUSTED, "messages in memory exceed the limit")
        self.finish(now, call, error)
        call.on_change()
        self._wake()

    def _acknowledge(self, call: Call, byte_count: int) -> None:
        if byte_count and not self.closed:
            try:
                self._h2.acknowledge_received_data(byte_count, call.stream_id)
            except ProtocolError:
                pass  # the stream is closed; h2 has counted the bytes for the connection
            self._collect_output()

    def _on_trailers(self, now: int, event: Any) -> None:
        call = self._calls.get(event.stream_id)
        if call is not None and self._client:
            call.error = status_from_trailers(self._header_dict(event.headers))
            call.headers_received = True

    def _on_stream_ended(self, now: int, event: Any) -> None:
        call = self._calls.get(event.stream_id)
        if call is None:
            return
        call.remote_closed = True
        if self._client:
            if not call.headers_received:
                call.error = call.error or RpcError(Code.INTERNAL, "call ended without a status")
            elif call._decoder.has_partial:
                call.error = call.error or RpcError(Code.INTERNAL, "ended within a message")
            self._end_call(call, call.error)
        elif call._decoder.has_partial:
            self.finish(now, call, RpcError(Code.INTERNAL, "ended within a message"))
        call.on_change()

    def _on_stream_reset(self, now: int, event: Any) -> None:
        self._count_control_frame(now)
        call = self._calls.get(event.stream_id)
        if call is not None:
            code = CODES_BY_RESET.get(event.error_code, Code.INTERNAL)
            # A server may end a call before it has read everything: a received status stays valid.
            self._end_call(
                call,
                call.error
                or (
                    None
                    if call.remote_closed and self._client
                    else RpcError(code, f"call reset by peer ({int(event.error_code)})")
                ),
            )

    def _on_settings(self, now: int, event: Any) -> None:
        self.settings_received = True
        self._count_control_frame(now)

    def _on_ping(self, now: int, event: Any) -> None:
        self._count_control_frame(now)

    def _on_ping_ack(self, now: int, event: Any) -> None:
        self.ping_sent_at = 0

    def _on_terminated(self, now: int, event: Any) -> None:
        self.going_away = self.closed = True

    def _count_control_frame(self, now: int) -> None:
        """Limits the rate of resets, pings and settings: cheap to send, expensive to handle."""
        if now // SECOND != self._second:
            self._second, self._control_frames = now // SECOND, 0
        self._control_frames += 1
        if self._control_frames > self._limits.max_control_frames:
            self._h2.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
            self._fail(
                f"peer sent more than {self._limits.max_control_frames} control frames in a second"
            )

    _HANDLERS: dict[type, Callable[[Session, int, Any], None]] = {
        RequestReceived: _on_request,
        ResponseReceived: _on_response,
        DataReceived: _on_data,
        TrailersReceived: _on_trailers,
        StreamEnded: _on_stream_ended,
        StreamReset: _on_stream_reset,
        RemoteSettingsChanged: _on_settings,
        PingReceived: _on_ping,
        PingAckReceived: _on_ping_ack,
        SettingsAcknowledged: _on_settings,
        ConnectionTerminated: _on_terminated,
    }

    # Actions of this side

    def start_call(
        self,
        now: int,
        authority: str,
        path: str,
        deadline: int | None,
        metadata: Iterable[tuple[str, str]] = (),
    ) -> Call:
        """Starts a call of a client.

        Raises:
            RpcError: UNAVAILABLE if the connection is closing, RESOURCE_EXHAUSTED if it has the
                maximum number of calls.
        """
        if self.going_away or self.closed:
            raise RpcError(Code.UNAVAILABLE, "connection is closing")
        if len(self._calls) >= min(
            self._limits.max_streams, self._h2.remote_settings.max_concurrent_streams
        ):
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many concurrent calls on the connection")
        call = Call(self._h2.get_next_available_stream_id(), path, self._limits, now)
        call.deadline = deadline
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", authority),
            ("te", "trailers"),
            ("content-type", CONTENT_TYPE),
            ("user-agent", "corklift"),
            *metadata,
        ]
        if deadline is not None:
            headers.append(("grpc-timeout", format_timeout(deadline - now)))
        self._h2.send_headers(call.stream_id, headers)
        call.headers_sent = True
        self._calls[call.stream_id] = call
        self._collect_output()
        return call

    def send(self, now: int, call: Call, message: bytes) -> None:
        """Queues a message. Callers should wait while `call.outbox` is large; its size is limited.

        Raises:
            RpcError: the call has ended, or the outbox is full.
        """
        if call.ended or call.finishing:
            error = call.error or RpcError(Code.CANCELLED, "call has ended")
            raise error.without_traceback()
        if len(call.outbox) + len(message) > self._limits.max_outbox_bytes:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too much waits to be sent")
        call.outbox += encode_message(message)
        call.queued_ends.append((call.sent_bytes + len(call.outbox), now))
        self._sending[call.stream_id] = call

    def take_message(self, call: Call) -> bytes | None:
        """Returns the next received message, or None, and reopens the window by its size."""
        if not call.inbox:
            return None
        message, size = call.inbox.popleft()
        if self._budget is not None:
            self._budget.release(call, len(message) + PREFIX_BYTES)
        if not call.ended:
            self._acknowledge(
                call,
                size
                + (
                    call._unacknowledged if len(call.inbox) < self._limits.max_inbox_messages else 0
                ),
            )
            call._unacknowledged = (
                call._unacknowledged if len(call.inbox) >= self._limits.max_inbox_messages else 0
            )
        return message

    def finish(self, now: int, call: Call, error: RpcError | None = None) -> None:
        """Ends a server's call with its status; half-closes a client's call, or resets it."""
        if call.ended or call.finishing:
            return
        if self._client:
            if error is not None:
                self._reset(call, error)
                return
            call.finishing = True
        else:
            code, text = (error.code, error.message) if error else (Code.OK, "")
            call.trailers = [("grpc-status", str(int(code)))] + (
                [("grpc-message", encode_status_message(text))] if text else []
            )
            call.finishing = True
            if error is not None:
                call.outbox.clear()  # an error is sent at once
            call.error = error
        if not call.outbox:
            call.queued_ends.clear()
        call.queued_ends.append((call.sent_bytes + len(call.outbox) + 1, now))
        self._sending[call.stream_id] = call

    def _reset(self, call: Call, error: RpcError) -> None:
        if not self.closed and not call.ended:
            try:
                self._h2.reset_stream(call.stream_id, ErrorCodes.CANCEL)
            except ProtocolError:
                pass
            self._collect_output()
        self._end_call(call, error)

    def reset(self, call: Call, error: RpcError) -> None:
        """Ends a call at once and discards its outbox."""
        self._reset(call, error)

    def ping(self, now: int) -> None:
        if not self.closed and not self.ping_sent_at:
            self.ping_sent_at = now
            self._h2.ping(b"corklift")
            self._collect_output()

    def go_away(self) -> None:
        """Sends GOAWAY; calls in progress continue. Built by hand because h2 would end them."""
        if not self.going_away and not self.closed:
            self.going_away = True
            frame = GoAwayFrame(0)
            frame.last_stream_id, frame.error_code = MAX_STREAM_ID, 0
            self._collect_output()
            self._output += frame.serialize()

    def connection_lost(self, reason: str) -> None:
        """Ends all calls with UNAVAILABLE."""
        self.closed = True
        # Their owner refers to this session.
        self._on_call, self._wake = None, _do_nothing
        for call in list(self._calls.values()):
            self._end_call(call, RpcError(Code.UNAVAILABLE, reason))

    def find_stalled_call(self, now: int) -> Call | None:
        """Returns a call whose oldest queued message exceeds the stall timeout, or None."""
        for call in self._sending.values():
            if call.queued_ends and now - call.queued_ends[0][1] >= self._limits.stall_timeout:
                return call
        return None

    @property
    def call_count(self) -> int:
        return len(self._calls)

    @property
    def has_unsent_calls(self) -> bool:
        """Whether a call has something to send, which its flow-control window may not allow yet."""
        return bool(self._sending)

    @property
    def has_output(self) -> bool:
        return bool(self._output)

    def data_to_send(self, max_bytes: int) -> bytes:
        """Returns bytes for the peer: control frames first, then the calls in round robin."""
        self._collect_output()
        if len(self._output) < max_bytes and self._sending and not self.closed:
            self._write_frames(max_bytes)
        part = bytes(self._output[:max_bytes])
        del self._output[: len(part)]
        return part

    def _write_frames(self, max_bytes: int) -> None:
        progress = True
        while progress and len(self._output) < max_bytes:
            progress = False
            for number, call in list(self._sending.items()):
                try:
                    wrote = self._write_frame(call)
                except H2Error as error:
                    self._end_call(call, RpcError(Code.INTERNAL, str(error)))
                    continue
                progress = progress or wrote
                self._collect_output()
                if len(self._output) >= max_bytes:
                    if number in self._sending:
                        self._sending[number] = self._sending.pop(number)  # behind the others
                    return

    def _write_frame(self, call: Call) -> bool:
        """Writes one frame of a call, or its end; returns whether anything was written."""
        wrote = False
        if not call.headers_sent and (call.outbox or call.trailers is None):
            self._h2.send_headers(
                call.stream_id, [(":status", "200"), ("content-type", CONTENT_TYPE)]
            )
            call.headers_sent = wrote = True
        if call.outbox:
            size = min(
                len(call.outbox),
                self._h2.local_flow_control_window(call.stream_id),
                self._h2.max_outbound_frame_size,
            )
            if size <= 0:
                return wrote
            self._h2.send_data(call.stream_id, bytes(call.outbox[:size]))
            del call.outbox[:size]
            call.sent_bytes += size
            while call.queued_ends and call.queued_ends[0][0] <= call.sent_bytes:
                call.queued_ends.popleft()
            wrote = True
        if not call.outbox:
            self._sending.pop(call.stream_id, None)
            if call.finishing:
                if self._client:
                    self._h2.end_stream(call.stream_id)
                else:
                    self._send_trailers(call)
                wrote = True
            call.on_change()
        return wrote

    def _send_trailers(self, call: Call) -> None:
        assert call.trailers is not None
        self.succeeded_calls += call.error is None
        response_headers = (
            [] if call.headers_sent else [(":status", "200"), ("content-type", CONTENT_TYPE)]
        )
        self._h2.send_headers(call.stream_id, response_headers + call.trailers, end_stream=True)
        if not call.remote_closed:
            # Makes the peer stop sending.
            self._h2.reset_stream(call.stream_id, ErrorCodes.NO_ERROR)
        self._end_call(call, call.error)

    def _end_call(self, call: Call, error: RpcError | None) -> None:
        if not call.ended:
            call.ended, call.remote_closed, call.finishing = True, True, True
            call.error = error
            call.outbox.clear()
            unacknowledged = call._unacknowledged + sum(size for _, size in call.inbox)
            self._calls.pop(call.stream_id, None)
            self._sending.pop(call.stream_id, None)
            if self._budget is not None:
                self._budget.remove(call)
            if unacknowledged and not self.closed:
                # Unread messages must not keep the window of the connection closed.
                self._acknowledge(call, unacknowledged)
            call._unacknowledged = 0
            on_change, call.on_change = call.on_change, _do_nothing
            on_change()

    def _collect_output(self) -> None:
        self._output += self._h2.data_to_send()
