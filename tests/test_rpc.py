"""gRPC on our scheduler: in memory, and over sockets with grpcio as client and as server."""

import socket
import threading
import time
from concurrent import futures
from random import Random

import grpc
import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection
from hypothesis import given, settings
from hypothesis import strategies as st
from loop import Loop, wait_for

from corklift.rpc.client import Channel
from corklift.rpc.core import (
    MS,
    SECOND,
    Code,
    MessageDecoder,
    ReconnectBackoff,
    RpcError,
    RpcLimits,
    decode_status_message,
    encode_message,
    encode_status_message,
    format_timeout,
    parse_timeout,
)
from corklift.rpc.server import RpcServer, unary
from corklift.rpc.session import Session, SessionError

RAW_BYTES = dict(request_serializer=lambda m: m, response_deserializer=lambda m: m)


@given(
    st.lists(st.binary(max_size=300), max_size=8),
    st.lists(st.integers(1, 64), min_size=1, max_size=50),
)
def test_messages_are_decoded_from_any_split_of_the_bytes(messages, steps):
    raw, decoder, decoded, offset = (
        b"".join(map(encode_message, messages)),
        MessageDecoder(300),
        [],
        0,
    )
    while offset < len(raw):
        step = steps[offset % len(steps)]
        decoded += decoder.feed(raw[offset : offset + step])
        offset += step
    assert decoded == messages and not decoder.has_partial


@pytest.mark.parametrize(
    "raw, code",
    [
        (b"\1\0\0\0\1x", Code.UNIMPLEMENTED),
        (b"\7\0\0\0\1x", Code.INTERNAL),
        (b"\0\0\0\1\x2d", Code.RESOURCE_EXHAUSTED),
        (b"\0\xff\xff\xff\xff", Code.RESOURCE_EXHAUSTED),
    ],
)
def test_an_unacceptable_message_is_rejected_by_its_prefix(raw, code):
    with pytest.raises(RpcError) as error:
        MessageDecoder(300).feed(raw)
    assert error.value.code is code


@given(st.integers(0, 10**19))
def test_a_formatted_timeout_is_never_shorter(timeout):
    parsed = parse_timeout(format_timeout(timeout).encode())
    assert parsed >= timeout or timeout > 99_999_999 * 3600 * SECOND
    assert parsed - timeout <= max(1, timeout // 1000)


@pytest.mark.parametrize("value", [b"", b"1", b"S", b"-1S", b"123456789S", b"1.5S", b"1s", b"1S "])
def test_a_malformed_timeout_is_rejected(value):
    with pytest.raises(RpcError):
        parse_timeout(value)


@given(st.text(max_size=80))
def test_a_status_message_is_ascii_and_survives_a_round_trip(text):
    encoded = encode_status_message(text)
    assert all(" " <= character <= "~" for character in encoded)
    assert decode_status_message(encoded.encode()) == text


def test_backoff_grows_randomised_up_to_the_maximum():
    limits = RpcLimits()
    delays = []
    for seed in range(200):
        backoff = ReconnectBackoff(Random(seed), limits)
        delays.append([backoff.next_delay() for _ in range(12)])
    first_delays = sorted(delay[0] for delay in delays)
    assert (
        limits.initial_backoff / 2
        <= first_delays[0]
        < 0.55 * limits.initial_backoff
        < 0.95 * limits.initial_backoff
        < first_delays[-1]
        <= limits.initial_backoff
    )
    assert all(
        delay[-1] <= limits.max_backoff and delay[-1] >= limits.max_backoff / 2 for delay in delays
    )


class Pair:
    """A client's and a server's session, connected in memory; bytes pass in chunks of one size."""

    def __init__(self, limits=RpcLimits(), chunk_size=1 << 20):
        self.calls, self.chunk_size = [], chunk_size
        self.client, self.server = Session(limits, True), Session(limits, False, self.calls.append)
        self.pass_bytes()

    def pass_bytes(self, now=0):
        while True:
            to_server, to_client = (
                self.client.data_to_send(self.chunk_size),
                self.server.data_to_send(self.chunk_size),
            )
            if not to_server and not to_client:
                return
            if to_server:
                self.server.receive_data(now, to_server)
            if to_client:
                self.client.receive_data(now, to_client)

    def call(self, deadline=None):
        client_call = self.client.start_call(0, "here", "/a/b", deadline)
        self.pass_bytes()
        return client_call, self.calls[-1]


@settings(max_examples=40, deadline=None)
@given(st.integers(1, 5000), st.lists(st.integers(0, 200_000), min_size=1, max_size=6))
def test_messages_larger_than_the_window_pass_in_any_split(chunk_size, sizes):
    pair = Pair(chunk_size=chunk_size)
    client_call, server_call = pair.call()
    for number, size in enumerate(sizes):
        pair.client.send(0, client_call, bytes([number]) * size)
    received = []
    for _ in range(len(sizes) + 1):
        pair.pass_bytes()
        while (message := pair.server.take_message(server_call)) is not None:
            received.append(message)
    assert received == [bytes([number]) * size for number, size in enumerate(sizes)]
    pair.client.finish(0, client_call)
    pair.pass_bytes()
    assert server_call.remote_closed
    pair.server.finish(0, server_call, RpcError(Code.ABORTED, "änough"))
    pair.pass_bytes()
    assert client_call.ended and (client_call.error.code, client_call.error.message) == (
        Code.ABORTED,
        "änough",
    )
    assert pair.client.call_count == pair.server.call_count == 0


def test_an_unread_call_blocks_its_sender_and_no_other_call():
    pair = Pair()
    unread_call, server_call = pair.call()
    other_call, other_server_call = pair.call()
    for _ in range(200):
        pair.client.send(0, unread_call, b"x" * 10_000)
    pair.client.send(0, other_call, b"here")
    pair.pass_bytes()
    assert (
        sum(len(message) for message, _ in server_call.inbox) <= 200_000
        and len(unread_call.outbox) > 1_000_000
    )
    assert pair.server.take_message(other_server_call) == b"here"
    with pytest.raises(RpcError) as error:
        for _ in range(1000):
            pair.client.send(0, unread_call, b"x" * 10_000)
    assert error.value.code is Code.RESOURCE_EXHAUSTED
    read = 0
    while pair.server.take_message(server_call) is not None:
        read += 1
        pair.pass_bytes()
    assert read > 200  # sending continues as the call is read
    assert pair.client.find_stalled_call(11 * SECOND) is None or unread_call.outbox


def test_calls_in_progress_continue_after_goaway():
    pair = Pair()
    client_call, server_call = pair.call()
    pair.server.go_away()
    pair.pass_bytes()
    with pytest.raises(RpcError):
        pair.client.start_call(0, "here", "/a/b", None)
    pair.server.send(0, server_call, b"still")
    pair.server.finish(0, server_call)
    pair.pass_bytes()
    assert (
        pair.client.take_message(client_call) == b"still"
        and client_call.ended
        and client_call.error is None
    )


GARBAGE = [
    b"GET / HTTP/1.1\r\n\r\n",
    b"\0" * 100,
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 200,
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\4\x03\0\0\0\0\1\0\0\0\0",
    b"\x16\x03\x01\x02\x00\x01",
]


@pytest.mark.parametrize("content", GARBAGE, ids=range(len(GARBAGE)))
def test_garbage_closes_the_connection(content):
    with pytest.raises(SessionError):
        Session(RpcLimits(), False, lambda call: None).receive_data(0, content)


@given(st.binary(max_size=400), st.booleans())
def test_any_bytes_are_accepted_or_raise_a_session_error(content, preface):
    session = Session(RpcLimits(), False, lambda call: None)
    try:
        session.receive_data(
            0, (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0" if preface else b"") + content
        )
    except SessionError:
        assert session.closed or len(session.data_to_send(1 << 20)) >= 0


def raw_client():
    client = H2Connection(H2Configuration(client_side=True))
    client.initiate_connection()
    return client


HEADERS = [
    (":method", "POST"),
    (":path", "/a/b"),
    (":scheme", "http"),
    (":authority", "x"),
    ("content-type", "application/grpc"),
    ("te", "trailers"),
]


def test_floods_of_resets_or_pings_and_oversized_headers_close_the_connection():
    client, session = raw_client(), Session(RpcLimits(), False, lambda call: None)
    session.receive_data(0, client.data_to_send())
    with pytest.raises(SessionError, match="control frames"):
        for number in range(300):
            client.send_headers(1 + 2 * number, HEADERS)
            client.reset_stream(1 + 2 * number)
            session.receive_data(0, client.data_to_send())
    assert b"" != session.data_to_send(1 << 20)
    client, session = raw_client(), Session(RpcLimits(), False, lambda call: None)
    with pytest.raises(SessionError):
        for number in range(300):
            client.ping(b"12345678")
            session.receive_data(5, client.data_to_send())
    client, session = raw_client(), Session(RpcLimits(), False, lambda call: None)
    client.send_headers(1, HEADERS + [("x", "y" * 20_000)])
    with pytest.raises(SessionError):
        session.receive_data(0, client.data_to_send())


def test_an_invalid_request_is_rejected_and_the_connection_continues():
    calls = []
    client, session = raw_client(), Session(RpcLimits(), False, calls.append)
    client.send_headers(1, [*HEADERS[:4], ("content-type", "text/html")])
    client.send_headers(3, HEADERS + [("grpc-timeout", "invalid")])
    client.send_headers(5, HEADERS)
    session.receive_data(0, client.data_to_send())
    assert [call.stream_id for call in calls] == [5]
    events = client.receive_data(session.data_to_send(1 << 20))
    responses = {
        event.stream_id: dict(event.headers) for event in events if hasattr(event, "headers")
    }
    assert responses[1][b":status"] == b"415" and responses[3][b"grpc-status"] == b"3"


# Over sockets


def start_server(loop, limits=RpcLimits()):
    slow_call_events = []

    def echo_reversed(call):
        while (message := call.receive()) is not None:
            call.send(message[::-1])

    def slow(call):
        call.receive()
        slow_call_events.append("started")
        try:
            call.wait(loop.scheduler.now() + 20 * SECOND)
            while True:
                call.wait()
        except RpcError as error:
            slow_call_events.append(error.code.name)
            raise

    def failing(call):
        raise RpcError(Code.FAILED_PRECONDITION, "not 100 % ready: é")

    server = RpcServer(
        loop.scheduler,
        limits,
        loop.counters,
        {
            "/t/Unary": unary(lambda call, request: request * 2),
            "/t/Both": echo_reversed,
            "/t/Slow": slow,
            "/t/Fail": failing,
        },
    )
    port = server.listen(("127.0.0.1", 0))
    loop.do(lambda: loop.scheduler.spawn(server.accept_loop))
    return server, port, slow_call_events


def test_a_grpcio_client_calls_our_server():
    with Loop() as loop:
        server, port, slow_call_events = start_server(loop)
        with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
            double = channel.unary_unary("/t/Unary", **RAW_BYTES)
            assert double(b"ab", timeout=5) == b"abab"
            assert double(b"x" * 1_500_000, timeout=20) == b"x" * 3_000_000
            with pytest.raises(grpc.RpcError) as error:
                double(b"x" * (5 << 20), timeout=20)
            assert error.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
            messages = [bytes([n % 256]) * (n * 37) for n in range(300)]
            assert list(
                channel.stream_stream("/t/Both", **RAW_BYTES)(iter(messages), timeout=20)
            ) == [m[::-1] for m in messages]
            with pytest.raises(grpc.RpcError) as error:
                channel.unary_unary("/t/Fail", **RAW_BYTES)(b"", timeout=5)
            assert error.value.code() is grpc.StatusCode.FAILED_PRECONDITION
            assert error.value.details() == "not 100 % ready: é"
            with pytest.raises(grpc.RpcError) as error:
                channel.unary_unary("/t/None", **RAW_BYTES)(b"", timeout=5)
            assert error.value.code() is grpc.StatusCode.UNIMPLEMENTED
            with pytest.raises(grpc.RpcError) as error:
                channel.unary_unary("/t/Slow", **RAW_BYTES)(b"", timeout=0.15)
            assert error.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
            wait_for(lambda: len(slow_call_events) == 2)
            call = channel.unary_unary("/t/Slow", **RAW_BYTES).future(b"")
            wait_for(lambda: len(slow_call_events) == 3)
            call.cancel()
            wait_for(lambda: len(slow_call_events) == 4)
            assert (
                slow_call_events[1] in ("DEADLINE_EXCEEDED", "CANCELLED")
                and slow_call_events[3] == "CANCELLED"
            )
            calls = [double.future(b"%d" % n, timeout=10) for n in range(200)]
            assert [call.result() for call in calls] == [b"%d" % n * 2 for n in range(200)]
            live = channel.stream_stream("/t/Both", **RAW_BYTES)(
                client_messages := _MessageQueue(), timeout=20
            )
            client_messages.put(b"one")
            assert next(live) == b"eno"
            loop.do(lambda: loop.scheduler.spawn(server.shut_down, 3 * SECOND))
            time.sleep(0.2)
            client_messages.put(b"two")
            assert next(live) == b"owt"  # a live call continues
            client_messages.put(None)
            assert list(live) == []
            wait_for(lambda: not server.connections)


class _MessageQueue:
    """A blocking iterator over the messages of a client; None ends it."""

    def __init__(self):
        self._messages, self._available = [], threading.Semaphore(0)

    def put(self, message):
        self._messages.append(message)
        self._available.release()

    def __iter__(self):
        return self

    def __next__(self):
        self._available.acquire()
        message = self._messages.pop(0)
        if message is None:
            raise StopIteration
        return message


class _GrpcioMethods(grpc.GenericRpcHandler):
    def service(self, details):
        def slow(request, context):
            context.set_code(grpc.StatusCode.OK)
            time.sleep(0.5)
            return b""

        def failing(request, context):
            context.abort(grpc.StatusCode.NOT_FOUND, "none, 100 %")

        return {
            "/t/Unary": grpc.unary_unary_rpc_method_handler(lambda request, context: request * 2),
            "/t/Both": grpc.stream_stream_rpc_method_handler(
                lambda it, context: (m[::-1] for m in it)
            ),
            "/t/Slow": grpc.unary_unary_rpc_method_handler(slow),
            "/t/Fail": grpc.unary_unary_rpc_method_handler(failing),
        }.get(details.method)


def grpcio_server(port=0):
    server = grpc.server(futures.ThreadPoolExecutor(8), handlers=[_GrpcioMethods()])
    port = server.add_insecure_port(f"127.0.0.1:{port}")
    server.start()
    return server, port


def test_our_client_calls_a_grpcio_server_and_reconnects_after_its_restart():
    server, port = grpcio_server()
    with Loop() as loop:
        channel = Channel(
            loop.scheduler,
            RpcLimits(initial_backoff=100 * MS),
            loop.counters,
            ("127.0.0.1", port),
            Random(1),
        )
        loop.do(lambda: loop.scheduler.spawn(channel.connect_loop))

        def deadline_in(seconds=5):
            return loop.scheduler.now() + seconds * SECOND

        assert loop.do(lambda: channel.unary("/t/Unary", b"ab", deadline_in())) == b"abab"
        assert (
            loop.do(lambda: channel.unary("/t/Unary", b"x" * 1_000_000, deadline_in(10)))
            == b"x" * 2_000_000
        )
        for path, code in (("/t/Fail", Code.NOT_FOUND), ("/t/None", Code.UNIMPLEMENTED)):
            with pytest.raises(RpcError) as error:
                loop.do(lambda: channel.unary(path, b"", deadline_in()))
            assert error.value.code is code
        with pytest.raises(RpcError) as error:
            loop.do(lambda: channel.unary("/t/Slow", b"", loop.scheduler.now() + 100 * MS))
        assert error.value.code is Code.DEADLINE_EXCEEDED

        def echo_reversed():
            call = channel.call("/t/Both", deadline_in(), deadline_in())
            received = []
            for number in range(100):
                call.send(b"%d" % number * 100)
                received.append(call.receive())
            call.half_close()
            assert call.receive() is None
            return received

        assert loop.do(echo_reversed) == [(b"%d" % number * 100)[::-1] for number in range(100)]
        server.stop(0.2).wait()
        with pytest.raises(RpcError) as error:
            loop.do(lambda: channel.unary("/t/Unary", b"ab", loop.scheduler.now() + 300 * MS))
        assert error.value.code is Code.UNAVAILABLE
        server, _ = grpcio_server(port)
        assert loop.do(lambda: channel.unary("/t/Unary", b"ab", deadline_in())) == b"abab"
        server.stop(None).wait()


def test_silent_slow_or_invalid_peers_are_disconnected_and_others_served():
    limits = RpcLimits(
        handshake_timeout=200 * MS,
        stall_timeout=400 * MS,
        ping_after=200 * MS,
        ping_timeout=200 * MS,
        close_timeout=50 * MS,
    )
    with Loop() as loop:
        server, port, _ = start_server(loop, limits)

        def expect_close(sock, timeout=4.0):
            sock.settimeout(timeout)
            try:
                while sock.recv(65536):
                    pass
            except ConnectionResetError:
                pass
            sock.close()

        for content in (b"", *GARBAGE):  # nothing at all, or not HTTP/2
            sock = socket.create_connection(("127.0.0.1", port))
            sock.sendall(content)
            expect_close(sock)
        # Settings, then silence: the ping is not answered.
        sock = socket.create_connection(("127.0.0.1", port))
        client = raw_client()
        sock.sendall(client.data_to_send())
        expect_close(sock)
        # Pings are answered, but the window of a call is never reopened: the call is reset and the
        # connection stays.
        sock = socket.create_connection(("127.0.0.1", port))
        sock.settimeout(5)
        client = raw_client()
        client.send_headers(1, HEADERS[:1] + [(":path", "/t/Unary")] + HEADERS[2:])
        for number in range(4):
            client.send_data(
                1,
                encode_message(b"x" * 60_000)[number * 16_000 : (number + 1) * 16_000],
                end_stream=number == 3,
            )
        sock.sendall(client.data_to_send())
        reset, started_at = None, time.monotonic()
        while reset is None and time.monotonic() < started_at + 5:
            for event in client.receive_data(sock.recv(65536)):
                if type(event).__name__ == "StreamReset":
                    reset = event
            sock.sendall(client.data_to_send())
        assert reset is not None and time.monotonic() - started_at < 3
        sock.close()
        with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
            assert channel.unary_unary("/t/Unary", **RAW_BYTES)(b"ab", timeout=5) == b"abab"
        wait_for(lambda: not server.connections)
        assert loop.counters["connections broken off"] >= 6 and loop.counters["calls stalled"] == 1


def test_a_full_server_closes_new_connections_and_an_exception_ends_only_its_call():
    with Loop() as loop:
        server, port, _ = start_server(loop, RpcLimits(max_connections=2))
        server._handlers["/t/Bug"] = unary(lambda call, request: 1 // 0)
        sockets = [socket.create_connection(("127.0.0.1", port)) for _ in range(4)]
        wait_for(lambda: loop.counters["connections turned away"] == 2)
        for sock in sockets:
            sock.close()
        wait_for(lambda: not server.connections)
        with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
            with pytest.raises(grpc.RpcError) as error:
                channel.unary_unary("/t/Bug", **RAW_BYTES)(b"ab", timeout=5)
            assert error.value.code() is grpc.StatusCode.INTERNAL
            assert channel.unary_unary("/t/Unary", **RAW_BYTES)(b"ab", timeout=5) == b"abab"
        assert "ZeroDivisionError" in loop.problems.pop()
