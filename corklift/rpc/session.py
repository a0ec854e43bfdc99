"""One HTTP/2 connection that carries calls, as a state machine: bytes in, bytes out, calls in between.

Owns h2's connection, the calls on it and their windows. The peer's window opens only as messages are read, so a
call that is not read stops its sender; what is to be sent waits in its call and is cut into frames as the socket
takes them, the calls in turn. Must never touch a socket or a clock (times come in, ns), and never know a service.
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
    PREFIX,
    SECOND,
    Code,
    RpcError,
    RpcLimits,
    Unpacker,
    http_error,
    packed,
    status_message,
    status_of,
    time_out,
    time_out_text,
)

WINDOW = 65_535  # HTTP/2's first window
LAST_STREAM = (1 << 31) - 1
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
RESETS = {
    ErrorCodes.NO_ERROR: Code.INTERNAL,
    ErrorCodes.REFUSED_STREAM: Code.UNAVAILABLE,
    ErrorCodes.CANCEL: Code.CANCELLED,
    ErrorCodes.ENHANCE_YOUR_CALM: Code.RESOURCE_EXHAUSTED,
}
GO_AWAY = 7
FRAME_HEAD = 9
CONTENT = "application/grpc"


class Broken(Exception):
    """The peer does not speak the protocol, or not within the limits; the connection must end."""


class Call:
    """One call: what has come and what is to go. `wake` is called, if set, when either may go on."""

    def __init__(self, number: int, path: str, limits: RpcLimits, now: int) -> None:
        self.number, self.path, self.began_at = number, path, now
        self.metadata: dict[bytes, bytes] = {}
        self.deadline: int | None = None
        self.inbox: deque[tuple[bytes, int]] = (
            deque()
        )  # messages, and how much of the window each gives back
        self.outbox = bytearray()
        self.sent = 0  # bytes cut into frames so far
        self.marks: deque[tuple[int, int]] = (
            deque()
        )  # the count of sent bytes that ends a message; when it was queued
        self.headers_sent = self.headers_came = False
        self.remote_ended = False  # nothing more will come
        self.ended = False  # it is over, both ways
        self.error: RpcError | None = None  # how, if not well
        self.trailers: list[tuple[str, str]] | None = None  # to be sent behind the outbox
        self.finishing = False  # nothing more may be queued
        self.wake: Callable[[], None] = lambda: None
        self._unpacker = Unpacker(limits.message)
        self._held = 0  # bytes of the window not given back, for the message that is coming in


class Session:
    """House style: one method for each thing that can happen. `opened` is called for each call of a peer."""

    def __init__(
        self, limits: RpcLimits, client: bool, opened: Callable[[Call], None] | None = None
    ) -> None:
        self._limits, self._client, self._opened = limits, client, opened
        settings = {
            SettingCodes.MAX_CONCURRENT_STREAMS: limits.streams,
            SettingCodes.MAX_HEADER_LIST_SIZE: limits.headers,
            SettingCodes.ENABLE_PUSH: 0,
        }
        self._h2 = H2Connection(H2Configuration(client_side=client, header_encoding=None))
        self._h2.local_settings = Settings(client=client, initial_values=settings)
        self._h2.max_inbound_frame_size = self._h2.local_settings.max_frame_size
        self._h2.decoder.max_header_list_size = limits.headers
        self._h2.initiate_connection()
        # The connection's window must not shut on one call because others are not read.
        self._h2.increment_flow_control_window(WINDOW * (limits.streams - 1) or 1)
        self._out = bytearray(self._h2.data_to_send())
        self._calls: dict[int, Call] = {}
        self._sending: dict[int, Call] = {}  # those with something to send, in turn
        self._raw = (
            bytearray()
        )  # of a client: a frame that is not whole yet; of a server: a frame's head
        self._left = 0 if client else len(PREFACE)  # of a server: bytes until the next frame's head
        self._second, self._frames = 0, 0
        self.settled = False  # the peer's settings have come
        self.leaving = (
            False  # the peer takes no further calls, or this side has said that it takes none
        )
        self.over = False  # nothing more will be sent or taken
        self.ping_at = 0  # when a ping that is still unanswered was sent

    # What the peer does

    def received(self, now: int, content: bytes) -> None:
        """Takes in bytes.

        Raises:
            Broken: the connection must end; what `take` still gives tells the peer why.
        """
        if self.over:
            return
        try:
            if not self._client:
                self._check_lengths(content)
            for part in self._sieved(content) if self._client else (content,):
                for event in self._h2.receive_data(part):
                    handler = self._HANDLERS.get(type(event))
                    if handler is not None:
                        handler(self, now, event)
        except (
            H2Error,
            ValueError,
            IndexError,
            KeyError,
        ) as problem:  # hpack and hyperframe raise the latter three
            self._end_with(str(problem) or type(problem).__name__)
        if len(self._out) > self._limits.outbox:
            raise Broken("answers pile up unread")

    def _end_with(self, problem: str) -> None:
        self._out += self._h2.data_to_send()
        self.over = True
        raise Broken(problem)

    def _check_lengths(self, content: bytes) -> None:
        """Guards against a frame of 16 MB, which h2 would gather before it turns it down."""
        at = 0
        while at < len(content):
            part = content[at : at + (self._left or 3 - len(self._raw))]
            at += len(part)
            if self._left:
                self._left -= len(part)
                continue
            self._raw += part
            if len(self._raw) == 3:
                length = int.from_bytes(self._raw, "big")
                if length > self._h2.max_inbound_frame_size:
                    self._h2.close_connection(ErrorCodes.FRAME_SIZE_ERROR)
                    self._end_with(f"a frame of {length} bytes")
                self._raw.clear()
                self._left = FRAME_HEAD - 3 + length

    def _sieved(self, content: bytes) -> Iterable[bytes]:
        """A server's frames but for GOAWAY, after which h2 would not let the calls that stand go on."""
        self._raw += content
        at = plain = 0
        raw = bytes(self._raw)
        while len(raw) - at >= FRAME_HEAD:
            end = at + FRAME_HEAD + int.from_bytes(raw[at : at + 3], "big")
            if len(raw) < end:
                if end - at > FRAME_HEAD + self._h2.max_inbound_frame_size:
                    self._end_with("a frame over the limit")
                break
            if raw[at + 3] == GO_AWAY:
                if at > plain:
                    yield raw[plain:at]
                self._go_away(raw[at + FRAME_HEAD : end])
                plain = end
            at = end
        del self._raw[:at]
        if at > plain:
            yield raw[plain:at]

    def _go_away(self, payload: bytes) -> None:
        last, code = (
            int.from_bytes(payload[:4], "big") & LAST_STREAM,
            int.from_bytes(payload[4:8], "big"),
        )
        self.leaving = True
        for call in [c for c in self._calls.values() if c.number > last]:
            self._ended(
                call, RpcError(Code.UNAVAILABLE, "the server goes away and has not taken this call")
            )
        if code:
            text = payload[8:].decode("ascii", "replace")[:200]
            self._end_with(f"sent away, error {code} {text}")

    def _headers(self, pairs: Iterable[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
        return dict(pairs)

    def _on_request(self, now: int, event: Any) -> None:
        headers = self._headers(event.headers)
        call = Call(
            event.stream_id,
            headers.get(b":path", b"").decode("ascii", "replace"),
            self._limits,
            now,
        )
        self._calls[call.number] = call
        call.metadata = headers
        if headers.get(b":method") != b"POST" or not headers.get(b"content-type", b"").startswith(
            CONTENT.encode()
        ):
            self._refuse(now, call, 415)
            return
        try:
            if b"grpc-timeout" in headers:
                call.deadline = now + time_out(headers[b"grpc-timeout"])
            if self.leaving:
                raise RpcError(Code.UNAVAILABLE, "this server goes away")
            assert self._opened is not None
            self._opened(call)
        except RpcError as problem:
            self.finish(now, call, problem)

    def _refuse(self, now: int, call: Call, status: int) -> None:
        self._h2.send_headers(call.number, [(":status", str(status))], end_stream=True)
        self._h2.reset_stream(call.number, ErrorCodes.NO_ERROR)
        self._flush()
        self._ended(call, RpcError(Code.UNKNOWN, "not a call"))

    def _on_response(self, now: int, event: Any) -> None:
        call = self._calls.get(event.stream_id)
        if call is None:
            return
        headers = self._headers(event.headers)
        if headers.get(b":status") != b"200":
            self._reset(call, http_error(headers.get(b":status", b"")))
        elif b"grpc-status" in headers:  # trailers alone
            call.headers_came = True
            call.error = status_of(headers)
        elif not headers.get(b"content-type", b"").startswith(CONTENT.encode()):
            self._reset(call, RpcError(Code.UNKNOWN, "the answer is not gRPC's"))
        else:
            call.headers_came = True
            call.metadata = headers

    def _on_data(self, now: int, event: Any) -> None:
        call = self._calls.get(event.stream_id)
        if call is None or call.ended:
            self._h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            return
        call._held += event.flow_controlled_length
        try:
            messages = call._unpacker.feed(event.data)
        except RpcError as problem:
            self.finish(now, call, problem)
            return
        for message in messages:
            # Of what has come, the whole message's part is given back when it is read.
            part = min(call._held, len(message) + PREFIX)
            call._held -= part
            call.inbox.append((message, part))
        if len(call.inbox) < self._limits.inbox and call._held:
            # A message may be longer than the window: what has come of it is in the unpacker, which is bounded.
            self._give_back(call, call._held)
            call._held = 0
        if messages:
            call.wake()

    def _give_back(self, call: Call, number: int) -> None:
        if number and not self.over:
            try:
                self._h2.acknowledge_received_data(number, call.number)
            except ProtocolError:
                pass  # the stream is closed: h2 has counted it for the connection
            self._flush()

    def _on_trailers(self, now: int, event: Any) -> None:
        call = self._calls.get(event.stream_id)
        if call is not None and self._client:
            call.error = status_of(self._headers(event.headers))
            call.headers_came = True

    def _on_stream_ended(self, now: int, event: Any) -> None:
        call = self._calls.get(event.stream_id)
        if call is None:
            return
        call.remote_ended = True
        if self._client:
            if not call.headers_came:
                call.error = call.error or RpcError(Code.INTERNAL, "ended without a status")
            elif call._unpacker.partial:
                call.error = call.error or RpcError(Code.INTERNAL, "ended within a message")
            self._ended(call, call.error)
        elif call._unpacker.partial:
            self.finish(now, call, RpcError(Code.INTERNAL, "ended within a message"))
        call.wake()

    def _on_stream_reset(self, now: int, event: Any) -> None:
        self._count(now)
        call = self._calls.get(event.stream_id)
        if call is not None:
            code = RESETS.get(event.error_code, Code.INTERNAL)
            # A server may end the call before it has read all: the status has come, and stands.
            self._ended(
                call,
                call.error
                or (
                    None
                    if call.remote_ended and self._client
                    else RpcError(code, f"reset by the peer ({int(event.error_code)})")
                ),
            )

    def _on_settings(self, now: int, event: Any) -> None:
        self.settled = True
        self._count(now)

    def _on_ping(self, now: int, event: Any) -> None:
        self._count(now)

    def _on_ping_answer(self, now: int, event: Any) -> None:
        self.ping_at = 0

    def _on_terminated(self, now: int, event: Any) -> None:
        self.leaving = self.over = True

    def _count(self, now: int) -> None:
        """Guards against floods of resets, pings and settings, each of which costs more than it is worth."""
        if now // SECOND != self._second:
            self._second, self._frames = now // SECOND, 0
        self._frames += 1
        if self._frames > self._limits.control_frames:
            self._h2.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
            self._end_with(f"more than {self._limits.control_frames} control frames in a second")

    _HANDLERS: dict[type, Callable[[Session, int, Any], None]] = {
        RequestReceived: _on_request,
        ResponseReceived: _on_response,
        DataReceived: _on_data,
        TrailersReceived: _on_trailers,
        StreamEnded: _on_stream_ended,
        StreamReset: _on_stream_reset,
        RemoteSettingsChanged: _on_settings,
        PingReceived: _on_ping,
        PingAckReceived: _on_ping_answer,
        SettingsAcknowledged: _on_settings,
        ConnectionTerminated: _on_terminated,
    }

    # What this side does

    def call(
        self,
        now: int,
        authority: str,
        path: str,
        deadline: int | None,
        metadata: Iterable[tuple[str, str]] = (),
    ) -> Call:
        """A client begins a call.

        Raises:
            RpcError: UNAVAILABLE where the connection takes no further one.
        """
        if self.leaving or self.over:
            raise RpcError(Code.UNAVAILABLE, "the connection takes no further calls")
        if len(self._calls) >= min(
            self._limits.streams, self._h2.remote_settings.max_concurrent_streams
        ):
            raise RpcError(Code.RESOURCE_EXHAUSTED, "as many calls as the connection takes")
        call = Call(self._h2.get_next_available_stream_id(), path, self._limits, now)
        call.deadline = deadline
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", authority),
            ("te", "trailers"),
            ("content-type", CONTENT),
            ("user-agent", "corklift"),
            *metadata,
        ]
        if deadline is not None:
            headers.append(("grpc-timeout", time_out_text(deadline - now)))
        self._h2.send_headers(call.number, headers)
        call.headers_sent = True
        self._calls[call.number] = call
        self._flush()
        return call

    def send(self, now: int, call: Call, message: bytes) -> None:
        """Queues a message. Callers wait for `call.outbox` to be small: the queue is bounded all the same.

        Raises:
            RpcError: the call is over, or too much waits to be sent.
        """
        if call.ended or call.finishing:
            raise call.error or RpcError(Code.CANCELLED, "the call is over")
        if len(call.outbox) + len(message) > self._limits.outbox:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too much waits to be sent")
        call.outbox += packed(message)
        call.marks.append((call.sent + len(call.outbox), now))
        self._sending[call.number] = call

    def take_message(self, call: Call) -> bytes | None:
        """The next message that has come; its part of the window opens again."""
        if not call.inbox:
            return None
        message, part = call.inbox.popleft()
        if not call.ended:
            self._give_back(
                call, part + (call._held if len(call.inbox) < self._limits.inbox else 0)
            )
            call._held = call._held if len(call.inbox) >= self._limits.inbox else 0
        return message

    def finish(self, now: int, call: Call, problem: RpcError | None = None) -> None:
        """A server ends a call with its status; a client ends its sending, or cancels with a problem."""
        if call.ended or call.finishing:
            return
        if self._client:
            if problem is not None:
                self._reset(call, problem)
                return
            call.finishing = True
        else:
            code, text = (problem.code, problem.message) if problem else (Code.OK, "")
            call.trailers = [("grpc-status", str(int(code)))] + (
                [("grpc-message", status_message(text))] if text else []
            )
            call.finishing = True
            if problem is not None:
                call.outbox.clear()  # the status is told at once
            call.error = problem
        if not call.outbox:
            call.marks.clear()
        call.marks.append((call.sent + len(call.outbox) + 1, now))
        self._sending[call.number] = call

    def _reset(self, call: Call, problem: RpcError) -> None:
        if not self.over and not call.ended:
            try:
                self._h2.reset_stream(call.number, ErrorCodes.CANCEL)
            except ProtocolError:
                pass
            self._flush()
        self._ended(call, problem)

    def reset(self, call: Call, problem: RpcError) -> None:
        """Ends a call without waiting for its bytes to leave."""
        self._reset(call, problem)

    def ping(self, now: int) -> None:
        if not self.over and not self.ping_at:
            self.ping_at = now
            self._h2.ping(b"corklift")
            self._flush()

    def go_away(self) -> None:
        """No further calls are taken; those that stand go on. By hand, as h2 would end them."""
        if not self.leaving and not self.over:
            self.leaving = True
            frame = GoAwayFrame(0)
            frame.last_stream_id, frame.error_code = LAST_STREAM, 0
            self._flush()
            self._out += frame.serialize()

    def lost(self, why: str) -> None:
        """The connection is gone: so are its calls."""
        self.over = True
        for call in list(self._calls.values()):
            self._ended(call, RpcError(Code.UNAVAILABLE, why))

    def stalled(self, now: int) -> Call | None:
        """A call whose bytes have waited too long for the peer to read, if any."""
        for call in self._sending.values():
            if call.marks and now - call.marks[0][1] >= self._limits.stall_time:
                return call
        return None

    @property
    def calls(self) -> int:
        return len(self._calls)

    @property
    def waiting(self) -> bool:
        """Whether a call has something to send that the peer's window may not let go."""
        return bool(self._sending)

    @property
    def has_bytes(self) -> bool:
        return bool(self._out)

    def take(self, most: int) -> bytes:
        """Up to so many bytes for the peer: what HTTP/2 itself has to say first, then the calls in turn."""
        self._flush()
        if len(self._out) < most and self._sending and not self.over:
            self._cut_frames(most)
        part = bytes(self._out[:most])
        del self._out[: len(part)]
        return part

    def _cut_frames(self, most: int) -> None:
        moved = True
        while moved and len(self._out) < most:
            moved = False
            for number, call in list(self._sending.items()):
                try:
                    went = self._send_some(call)
                except H2Error as problem:
                    self._ended(call, RpcError(Code.INTERNAL, str(problem)))
                    continue
                moved = moved or went
                self._flush()
                if len(self._out) >= most:
                    if number in self._sending:
                        self._sending[number] = self._sending.pop(number)  # behind the others
                    return

    def _send_some(self, call: Call) -> bool:
        """One frame of a call, and its end; returns whether anything went."""
        went = False
        if not call.headers_sent and (call.outbox or call.trailers is None):
            self._h2.send_headers(call.number, [(":status", "200"), ("content-type", CONTENT)])
            call.headers_sent = went = True
        if call.outbox:
            number = min(
                len(call.outbox),
                self._h2.local_flow_control_window(call.number),
                self._h2.max_outbound_frame_size,
            )
            if number <= 0:
                return went
            self._h2.send_data(call.number, bytes(call.outbox[:number]))
            del call.outbox[:number]
            call.sent += number
            while call.marks and call.marks[0][0] <= call.sent:
                call.marks.popleft()
            went = True
        if not call.outbox:
            self._sending.pop(call.number, None)
            if call.finishing:
                if self._client:
                    self._h2.end_stream(call.number)
                else:
                    self._send_trailers(call)
                went = True
            call.wake()
        return went

    def _send_trailers(self, call: Call) -> None:
        assert call.trailers is not None
        head = [] if call.headers_sent else [(":status", "200"), ("content-type", CONTENT)]
        self._h2.send_headers(call.number, head + call.trailers, end_stream=True)
        if not call.remote_ended:
            self._h2.reset_stream(
                call.number, ErrorCodes.NO_ERROR
            )  # so that the peer stops sending
        self._ended(call, call.error)

    def _ended(self, call: Call, problem: RpcError | None) -> None:
        if not call.ended:
            call.ended, call.remote_ended, call.finishing = True, True, True
            call.error = problem
            call.outbox.clear()
            held = call._held + sum(part for _, part in call.inbox)
            self._calls.pop(call.number, None)
            self._sending.pop(call.number, None)
            if held and not self.over:
                # What was not read must not keep the connection's window shut.
                self._give_back(call, held)
            call._held = 0
            call.wake()

    def _flush(self) -> None:
        self._out += self._h2.data_to_send()
