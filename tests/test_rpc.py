"""gRPC on our scheduler: alone in memory, and against the registry's grpcio as server and as client."""

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

SAME = dict(request_serializer=lambda m: m, response_deserializer=lambda m: m)


@given(
    st.lists(st.binary(max_size=300), max_size=8),
    st.lists(st.integers(1, 64), min_size=1, max_size=50),
)
def test_messages_come_out_alike_in_any_split(messages, cuts):
    raw, unpacker, found, at = b"".join(map(encode_message, messages)), MessageDecoder(300), [], 0
    while at < len(raw):
        step = cuts[at % len(cuts)]
        found += unpacker.feed(raw[at : at + step])
        at += step
    assert found == messages and not unpacker.has_partial


@pytest.mark.parametrize(
    "raw, code",
    [
        (b"\1\0\0\0\1x", Code.UNIMPLEMENTED),
        (b"\7\0\0\0\1x", Code.INTERNAL),
        (b"\0\0\0\1\x2d", Code.RESOURCE_EXHAUSTED),
        (b"\0\xff\xff\xff\xff", Code.RESOURCE_EXHAUSTED),
    ],
)
def test_a_message_that_is_not_taken_is_told_by_its_prefix(raw, code):
    with pytest.raises(RpcError) as problem:
        MessageDecoder(300).feed(raw)
    assert problem.value.code is code


@given(st.integers(0, 10**19))
def test_a_time_out_is_told_no_shorter_than_it_is(span):
    told = parse_timeout(format_timeout(span).encode())
    assert told >= span or span > 99_999_999 * 3600 * SECOND
    assert told - span <= max(1, span // 1000)


@pytest.mark.parametrize("value", [b"", b"1", b"S", b"-1S", b"123456789S", b"1.5S", b"1s", b"1S "])
def test_a_time_out_out_of_form_is_refused(value):
    with pytest.raises(RpcError):
        parse_timeout(value)


@given(st.text(max_size=80))
def test_a_status_message_is_ascii_and_comes_back(text):
    told = encode_status_message(text)
    assert all(" " <= letter <= "~" for letter in told)
    assert decode_status_message(told.encode()) == text


def test_back_off_grows_spread_and_bounded():
    limits = RpcLimits()
    waits = []
    for seed in range(200):
        back_off = ReconnectBackoff(Random(seed), limits)
        waits.append([back_off.next_delay() for _ in range(12)])
    firsts = sorted(wait[0] for wait in waits)
    assert (
        limits.initial_backoff / 2
        <= firsts[0]
        < 0.55 * limits.initial_backoff
        < 0.95 * limits.initial_backoff
        < firsts[-1]
        <= limits.initial_backoff
    )
    assert all(
        wait[-1] <= limits.max_backoff and wait[-1] >= limits.max_backoff / 2 for wait in waits
    )


class Pair:
    """A client's and a server's session joined in memory; bytes pass in cuts of any size."""

    def __init__(self, limits=RpcLimits(), cut=1 << 20):
        self.calls, self.cut = [], cut
        self.client, self.server = Session(limits, True), Session(limits, False, self.calls.append)
        self.pass_bytes()

    def pass_bytes(self, now=0):
        while True:
            there, back = self.client.data_to_send(self.cut), self.server.data_to_send(self.cut)
            if not there and not back:
                return
            if there:
                self.server.receive_data(now, there)
            if back:
                self.client.receive_data(now, back)

    def call(self, deadline=None):
        mine = self.client.start_call(0, "here", "/a/b", deadline)
        self.pass_bytes()
        return mine, self.calls[-1]


@settings(max_examples=40, deadline=None)
@given(st.integers(1, 5000), st.lists(st.integers(0, 200_000), min_size=1, max_size=6))
def test_messages_longer_than_the_window_pass_in_any_cut(cut, sizes):
    pair = Pair(cut=cut)
    mine, theirs = pair.call()
    for number, size in enumerate(sizes):
        pair.client.send(0, mine, bytes([number]) * size)
    got = []
    for _ in range(len(sizes) + 1):
        pair.pass_bytes()
        while (message := pair.server.take_message(theirs)) is not None:
            got.append(message)
    assert got == [bytes([number]) * size for number, size in enumerate(sizes)]
    pair.client.finish(0, mine)
    pair.pass_bytes()
    assert theirs.remote_closed
    pair.server.finish(0, theirs, RpcError(Code.ABORTED, "änough"))
    pair.pass_bytes()
    assert mine.ended and (mine.error.code, mine.error.message) == (Code.ABORTED, "änough")
    assert pair.client.call_count == pair.server.call_count == 0


def test_a_call_that_is_not_read_stops_its_sender_and_no_other():
    pair = Pair()
    unread, theirs = pair.call()
    other, others = pair.call()
    for _ in range(200):
        pair.client.send(0, unread, b"x" * 10_000)
    pair.client.send(0, other, b"here")
    pair.pass_bytes()
    assert (
        sum(len(message) for message, _ in theirs.inbox) <= 200_000
        and len(unread.outbox) > 1_000_000
    )
    assert pair.server.take_message(others) == b"here"
    with pytest.raises(RpcError) as problem:
        for _ in range(1000):
            pair.client.send(0, unread, b"x" * 10_000)
    assert problem.value.code is Code.RESOURCE_EXHAUSTED
    read = 0
    while pair.server.take_message(theirs) is not None:
        read += 1
        pair.pass_bytes()
    assert read > 200  # it goes on as it is read
    assert pair.client.find_stalled_call(11 * SECOND) is None or unread.outbox


def test_going_away_lets_the_calls_that_stand_go_on():
    pair = Pair()
    mine, theirs = pair.call()
    pair.server.go_away()
    pair.pass_bytes()
    with pytest.raises(RpcError):
        pair.client.start_call(0, "here", "/a/b", None)
    pair.server.send(0, theirs, b"still")
    pair.server.finish(0, theirs)
    pair.pass_bytes()
    assert pair.client.take_message(mine) == b"still" and mine.ended and mine.error is None


GARBAGE = [
    b"GET / HTTP/1.1\r\n\r\n",
    b"\0" * 100,
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 200,
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\4\x03\0\0\0\0\1\0\0\0\0",
    b"\x16\x03\x01\x02\x00\x01",
]


@pytest.mark.parametrize("content", GARBAGE, ids=range(len(GARBAGE)))
def test_garbage_breaks_the_connection_and_nothing_else(content):
    with pytest.raises(SessionError):
        Session(RpcLimits(), False, lambda call: None).receive_data(0, content)


@given(st.binary(max_size=400), st.booleans())
def test_any_bytes_are_taken_or_broken_off(content, preface):
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


def test_rapid_resets_pings_and_oversized_headers_end_the_connection():
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


def test_what_is_no_call_is_refused_and_the_connection_goes_on():
    taken = []
    client, session = raw_client(), Session(RpcLimits(), False, taken.append)
    client.send_headers(1, [*HEADERS[:4], ("content-type", "text/html")])
    client.send_headers(3, HEADERS + [("grpc-timeout", "soon")])
    client.send_headers(5, HEADERS)
    session.receive_data(0, client.data_to_send())
    assert [call.stream_id for call in taken] == [5]
    events = client.receive_data(session.data_to_send(1 << 20))
    told = {event.stream_id: dict(event.headers) for event in events if hasattr(event, "headers")}
    assert told[1][b":status"] == b"415" and told[3][b"grpc-status"] == b"3"


# On sockets


def serving(loop, limits=RpcLimits()):
    seen = []

    def both_ways(call):
        while (message := call.receive()) is not None:
            call.send(message[::-1])

    def slow(call):
        call.receive()
        seen.append("began")
        try:
            call.wait(loop.scheduler.now() + 20 * SECOND)
            while True:
                call.wait()
        except RpcError as problem:
            seen.append(problem.code.name)
            raise

    def failing(call):
        raise RpcError(Code.FAILED_PRECONDITION, "not 100 % ready: é")

    server = RpcServer(
        loop.scheduler,
        limits,
        loop.counters,
        {
            "/t/Unary": unary(lambda call, request: request * 2),
            "/t/Both": both_ways,
            "/t/Slow": slow,
            "/t/Fail": failing,
        },
    )
    port = server.listen(("127.0.0.1", 0))
    loop.do(lambda: loop.scheduler.spawn(server.accept_loop))
    return server, port, seen


def test_grpcio_talks_to_our_server():
    with Loop() as loop:
        server, port, seen = serving(loop)
        with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
            double = channel.unary_unary("/t/Unary", **SAME)
            assert double(b"ab", timeout=5) == b"abab"
            assert double(b"x" * 1_500_000, timeout=20) == b"x" * 3_000_000
            with pytest.raises(grpc.RpcError) as problem:
                double(b"x" * (5 << 20), timeout=20)
            assert problem.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
            many = [bytes([n % 256]) * (n * 37) for n in range(300)]
            assert list(channel.stream_stream("/t/Both", **SAME)(iter(many), timeout=20)) == [
                m[::-1] for m in many
            ]
            with pytest.raises(grpc.RpcError) as problem:
                channel.unary_unary("/t/Fail", **SAME)(b"", timeout=5)
            assert problem.value.code() is grpc.StatusCode.FAILED_PRECONDITION
            assert problem.value.details() == "not 100 % ready: é"
            with pytest.raises(grpc.RpcError) as problem:
                channel.unary_unary("/t/None", **SAME)(b"", timeout=5)
            assert problem.value.code() is grpc.StatusCode.UNIMPLEMENTED
            with pytest.raises(grpc.RpcError) as problem:
                channel.unary_unary("/t/Slow", **SAME)(b"", timeout=0.15)
            assert problem.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
            wait_for(lambda: len(seen) == 2)
            call = channel.unary_unary("/t/Slow", **SAME).future(b"")
            wait_for(lambda: len(seen) == 3)
            call.cancel()
            wait_for(lambda: len(seen) == 4)
            assert seen[1] in ("DEADLINE_EXCEEDED", "CANCELLED") and seen[3] == "CANCELLED"
            calls = [double.future(b"%d" % n, timeout=10) for n in range(200)]
            assert [call.result() for call in calls] == [b"%d" % n * 2 for n in range(200)]
            live = channel.stream_stream("/t/Both", **SAME)(iter_of := _Talk(), timeout=20)
            iter_of.say(b"one")
            assert next(live) == b"eno"
            loop.do(lambda: loop.scheduler.spawn(server.shut_down, 3 * SECOND))
            time.sleep(0.2)
            iter_of.say(b"two")
            assert next(live) == b"owt"  # a live call continues
            iter_of.say(None)
            assert list(live) == []
            wait_for(lambda: not server.connections)


class _Talk:
    def __init__(self):
        self._said, self._more = [], threading.Semaphore(0)

    def say(self, message):
        self._said.append(message)
        self._more.release()

    def __iter__(self):
        return self

    def __next__(self):
        self._more.acquire()
        message = self._said.pop(0)
        if message is None:
            raise StopIteration
        return message


class _Methods(grpc.GenericRpcHandler):
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
    server = grpc.server(futures.ThreadPoolExecutor(8), handlers=[_Methods()])
    port = server.add_insecure_port(f"127.0.0.1:{port}")
    server.start()
    return server, port


def test_our_client_talks_to_grpcio_and_follows_its_leaving():
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

        def soon(seconds=5):
            return loop.scheduler.now() + seconds * SECOND

        assert loop.do(lambda: channel.unary("/t/Unary", b"ab", soon())) == b"abab"
        assert (
            loop.do(lambda: channel.unary("/t/Unary", b"x" * 1_000_000, soon(10)))
            == b"x" * 2_000_000
        )
        for path, code in (("/t/Fail", Code.NOT_FOUND), ("/t/None", Code.UNIMPLEMENTED)):
            with pytest.raises(RpcError) as problem:
                loop.do(lambda: channel.unary(path, b"", soon()))
            assert problem.value.code is code
        with pytest.raises(RpcError) as problem:
            loop.do(lambda: channel.unary("/t/Slow", b"", loop.scheduler.now() + 100 * MS))
        assert problem.value.code is Code.DEADLINE_EXCEEDED

        def both_ways():
            call = channel.call("/t/Both", soon(), soon())
            got = []
            for number in range(100):
                call.send(b"%d" % number * 100)
                got.append(call.receive())
            call.half_close()
            assert call.receive() is None
            return got

        assert loop.do(both_ways) == [(b"%d" % number * 100)[::-1] for number in range(100)]
        server.stop(0.2).wait()
        with pytest.raises(RpcError) as problem:
            loop.do(lambda: channel.unary("/t/Unary", b"ab", loop.scheduler.now() + 300 * MS))
        assert problem.value.code is Code.UNAVAILABLE
        server, _ = grpcio_server(port)
        assert loop.do(lambda: channel.unary("/t/Unary", b"ab", soon())) == b"abab"
        server.stop(None).wait()


def test_peers_that_are_silent_slow_or_speak_otherwise_are_dropped_and_others_served():
    limits = RpcLimits(
        handshake_timeout=200 * MS,
        stall_timeout=400 * MS,
        ping_after=200 * MS,
        ping_timeout=200 * MS,
        close_timeout=50 * MS,
    )
    with Loop() as loop:
        server, port, _ = serving(loop, limits)

        def ended(sock, within=4.0):
            sock.settimeout(within)
            try:
                while sock.recv(65536):
                    pass
            except ConnectionResetError:
                pass
            sock.close()

        for content in (b"", *GARBAGE):  # nothing at all, or no HTTP/2
            sock = socket.create_connection(("127.0.0.1", port))
            sock.sendall(content)
            ended(sock)
        # settings, then silence: the ping is not answered
        sock = socket.create_connection(("127.0.0.1", port))
        client = raw_client()
        sock.sendall(client.data_to_send())
        ended(sock)
        # a call whose window never opens again, answered pings: the call is reset, the connection stays
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
        reset, at = None, time.monotonic()
        while reset is None and time.monotonic() < at + 5:
            for event in client.receive_data(sock.recv(65536)):
                if type(event).__name__ == "StreamReset":
                    reset = event
            sock.sendall(client.data_to_send())
        assert reset is not None and time.monotonic() - at < 3
        sock.close()
        with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
            assert channel.unary_unary("/t/Unary", **SAME)(b"ab", timeout=5) == b"abab"
        wait_for(lambda: not server.connections)
        assert loop.counters["connections broken off"] >= 6 and loop.counters["calls stalled"] == 1


def test_a_full_server_turns_connections_away_and_an_exception_ends_its_call_alone():
    with Loop() as loop:
        server, port, _ = serving(loop, RpcLimits(max_connections=2))
        server._handlers["/t/Bug"] = unary(lambda call, request: 1 // 0)
        socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(4)]
        wait_for(lambda: loop.counters["connections turned away"] == 2)
        for sock in socks:
            sock.close()
        wait_for(lambda: not server.connections)
        with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
            with pytest.raises(grpc.RpcError) as problem:
                channel.unary_unary("/t/Bug", **SAME)(b"ab", timeout=5)
            assert problem.value.code() is grpc.StatusCode.INTERNAL
            assert channel.unary_unary("/t/Unary", **SAME)(b"ab", timeout=5) == b"abab"
        assert "ZeroDivisionError" in loop.problems.pop()
