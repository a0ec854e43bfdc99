"""A client's life, from its first line to its connection's end or `MOVE`, and the door that it comes in by.

Owns the listener, each client's stream and the stream to its server. Each login gets one final answer and then
nothing more. Must never choose a server, hold an answer back, or write anything of its own but an answer before
`UP` and `MOVE` between two lines after it.
"""

from __future__ import annotations

import errno
import socket
from typing import NamedTuple

from corklift.interface import Outcome
from corklift.net.blocking import drain_and_close, listening_socket
from corklift.net.facade import Facade, HandOffTarget, Rejection, LoginHandle
from corklift.net.limits import MS, Counters, Limits
from corklift.net.parsers import (
    BUSY,
    ERR,
    FAILED,
    MOVE,
    PING,
    PONG,
    LoginRequest,
    Malformed,
    format_busy,
    parse_load_report,
    parse_load_value,
    parse_login_request,
    parse_server_line,
)
from corklift.net.scheduler import ERROR_EVENTS, READ, READ_CLOSED, WRITE, Scheduler, Task
from corklift.net.stream import LineTooLongError, Stream

BEFORE_UP = {"BUSY": Outcome.FULL, "ERR": Outcome.ERROR, "MOVE": Outcome.CANCELLED}
AT_END = {"BYE": Outcome.FULFILLED, "MOVE": Outcome.CANCELLED}
ACCEPTED_AT_ONCE = 32  # before those accepted have their turn


class ClientGone(Exception):
    """The client has left before its answer."""


class Tried(NamedTuple):
    """How a hand-off went: a stream and its `UP` line, or an outcome and a load report."""

    server: Stream | None
    line: bytes
    outcome: Outcome
    values: dict[str, float] | None = None


class Relay:
    def __init__(
        self, scheduler: Scheduler, limits: Limits, counters: Counters, facade: Facade
    ) -> None:
        self._scheduler, self._limits, self._counters, self._facade = (
            scheduler,
            limits,
            counters,
            facade,
        )
        self._now = scheduler.now
        self._listeners: list[socket.socket] = []  # the last is the one in force
        self._acceptor: Task | None = None
        self.ready = False  # PING is answered
        self._waiting: dict[Stream, Task] = {}  # clients not placed, oldest first
        self._unwanted: set[Stream] = set()  # those among them that must make room
        self._held: set[str] = set()  # names of the clients that are placed or being placed
        self._past: dict[
            str, int
        ] = {}  # names of those that have ended, oldest first, and until when they are known
        self._open: dict[int, LoginHandle] = {}
        self._turning_away = False
        self._taking = True  # clients are taken in, not left in the queue
        self._shared = False  # other processes take clients from the same socket
        self.clients_elsewhere = 0  # clients that other processes of this balancer hold
        self._standing = 0  # connections of before the start that are being brought up

    @property
    def in_flight(self) -> int:
        """Connections taken and not ended."""
        return self._facade.in_flight + self._standing

    @property
    def is_serving(self) -> bool:
        return self.ready and not self._turning_away

    @property
    def client_count(self) -> int:
        return len(self._held)

    # The door

    def listen(self, address: tuple[str, int]) -> int:
        """Opens the door at once, so that no client is refused while the rest starts; returns its port."""
        return self._listen(listening_socket(address))

    def listen_on_inherited_socket(self, sock: socket.socket) -> int:
        """The door is a socket that is held for this process; clients stay in its queue until they are taken."""
        self._shared, self._taking = True, False
        return self._listen(sock)

    def set_accepting(self, wanted: bool) -> None:
        """Whether clients are taken in, or left for another process of this balancer, where the door is shared."""
        self._taking = wanted
        if self._acceptor is not None:
            self._scheduler.wake(self._acceptor)

    def _listen(self, sock: socket.socket) -> int:
        self._listeners.append(sock)
        if self._acceptor is not None:
            self._scheduler.wake(self._acceptor)
        return sock.getsockname()[1]

    def reconfigure(self, limits: Limits) -> None:
        """What is held beyond new limits stays until it ends; nothing further is taken meanwhile."""
        self._limits = limits

    def accept_loop(self) -> None:
        self._acceptor = self._scheduler.current
        while True:
            if not self._taking:
                self._scheduler.wait({})
                continue
            got = self._scheduler.wait({listener.fileno(): READ for listener in self._listeners})
            if not self._taking:
                continue
            if len(self._waiting) >= self._limits.waiting:
                self._make_room()
                continue
            for listener in list(self._listeners):
                # Guards against clients that came to an address just before it was given up, and wait there.
                left = listener is not self._listeners[-1]
                if listener.fileno() in got or left:
                    emptied = self._accept(listener)
                    if left and emptied:
                        self._listeners.remove(listener)
                        listener.close()

    def _accept(self, listener: socket.socket) -> bool:
        """Takes in some of those who wait at the door; returns whether that were all."""
        for _ in range(min(ACCEPTED_AT_ONCE, self._limits.waiting - len(self._waiting))):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return True
            except (InterruptedError, ConnectionAbortedError):
                continue
            except OSError as problem:
                if problem.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    raise
                self._counters["no descriptor for a client"] += 1
                self._scheduler.sleep(20 * MS)
                break
            self._counters["clients in"] += 1
            client = Stream(sock, self._limits)
            self._waiting[client] = self._scheduler.spawn(self._serve, client)
        return False

    def _make_room(self) -> None:
        """Guards against clients without a line that take all descriptors: the oldest of them make room.

        An eighth of the door at a time, so that hundreds who say nothing don't keep those behind them waiting.
        """
        oldest = [client for client in self._waiting if client not in self._unwanted][
            : 1 + self._limits.waiting // 8
        ]
        for client in oldest:
            self._unwanted.add(client)
            self._counters["clients closed without a line"] += 1
            self._scheduler.wake(self._waiting[client])
        self._scheduler.sleep(MS)

    # One client

    def _serve(self, client: Stream) -> None:
        try:
            first = self._first_line(client)
            if first is not None:
                self._admit(client, first)
        except (Malformed, LineTooLongError) as problem:
            self._counters[f"bad lines of clients ({str(problem) or 'over-long'})"] += 1
            self._turn_away(client)
        finally:
            self._waiting.pop(client, None)
            self._unwanted.discard(client)
            client.close()

    def _first_line(self, client: Stream) -> LoginRequest | None:
        until = self._now() + self._limits.first_line_time
        ponged = False
        while True:
            client.receive()
            line = client.read_line()
            if line is not None and len(client.receive_buffer):
                # A client waits for each answer. Guards against hundreds of commands at once.
                raise Malformed("more than one line at once")
            if line == PING:
                self._counters["pings"] += 1
                if not self._pong(client):
                    return None
                if not ponged:
                    ponged, until = True, self._now() + self._limits.first_line_time
                self._scheduler.wait(
                    {}, self._now()
                )  # a flood of these must not keep others waiting
            elif line is not None:
                return parse_login_request(line)
            elif client.peer_closed or client.broken:
                self._counters["clients gone before a line"] += 1
                return None
            elif self._now() >= until or client in self._unwanted:
                if len(client.receive_buffer):
                    raise Malformed("not whole in time")
                self._counters["clients without a line"] += 1
                return None
            else:
                self._scheduler.wait({client.fd: READ}, until)

    def _pong(self, client: Stream) -> bool:
        """Answers a PING, as soon as this balancer can serve."""
        while not self.ready:
            if (
                self._scheduler.wait({client.fd: READ_CLOSED}, self._now() + 50 * MS)
                or client in self._unwanted
            ):
                return False
        client.write(PONG)
        return not client.broken and not len(client.send_buffer)

    def _admit(self, client: Stream, first: LoginRequest) -> None:
        if self._facade.workload_index(first.workload) is None:
            if first.workload in self._facade.workload_names():
                self._counters.answered(
                    "failed", first.workload
                )  # one that a new configuration has taken away
            raise Malformed("unknown workload")
        if (
            first.connection_name in self._held
            or self._past.get(first.connection_name, 0) > self._now()
        ):
            # Guards against a client that takes another's name: servers turn that down, and it would count
            # against them and the one who bears it. Names are new with every connection.
            if first.connection_name in self._past:
                self._know(first.connection_name)
            raise Malformed("name in use")
        if first.previous_server:
            self._counters["standing connections in"] += 1
        else:
            self._counters["logins in"] += 1
        if len(self._held) + self.clients_elsewhere >= self._limits.clients or (
            self._turning_away and not first.previous_server
        ):
            self._counters["logins bounced without room"] += 1
            self._counters.answered("refused", first.workload)
            self._turn_away(client, BUSY)
            return
        self._waiting.pop(client, None)
        self._held.add(first.connection_name)
        try:
            if first.previous_server:
                self._stand(client, first)
            else:
                self._place_login(client, first)
        finally:
            self._held.discard(first.connection_name)
            self._know(first.connection_name)

    def _know(self, name: str) -> None:
        """Keeps the name of one that has ended in mind, for a while and among so many at the most."""
        self._past.pop(name, None)
        self._past[name] = self._now() + self._limits.name_time
        oldest = next(iter(self._past))
        while len(self._past) > 4 * self._limits.clients or self._past[oldest] <= self._now():
            del self._past[oldest]
            oldest = next(iter(self._past))

    def _place_login(self, client: Stream, first: LoginRequest) -> None:
        if (
            first.max_wait is None
            or not self._limits.answer_margin < first.max_wait <= self._limits.longest_wait
        ):
            raise Malformed("absurd time to wait")
        time_limit = min(first.max_wait, self._facade.time_limit(first))
        handle, decided = self._facade.place_login(
            first, self._now() + time_limit - self._limits.answer_margin
        )
        answer, word = FAILED, "failed"
        try:
            while isinstance(decided, HandOffTarget):
                tried = self._hand_off(client, decided, first)
                if tried.server is not None:
                    try:
                        self._facade.report_connected(handle)
                        answer, word = b"", "served"
                        return self._connected(client, tried.server, tried.line, handle, first)
                    finally:
                        tried.server.close()
                self._counters[f"hand-offs {tried.outcome.value}"] += 1
                decided = self._facade.report_failed_hand_off(handle, tried.outcome, tried.values)
            if decided.harmless:
                answer, word = format_busy(decided.retry_in), "refused"
            self._counters["logins bounced" if decided.harmless else "logins terminated"] += 1
        except ClientGone:
            word = ""
            self._counters["logins left by their client"] += 1
        except Malformed:
            answer = b""  # `_serve` turns it away
            raise
        finally:
            self._facade.report_abandoned(handle)
            if word and word != "served":  # that was counted when it came up
                self._counters.answered(word, first.workload)
            if answer:
                self._finish(client, answer)

    def _stand(self, client: Stream, first: LoginRequest) -> None:
        """Brings up a connection that stood at a server before the start: there and nowhere else."""
        until = self._now() + min(
            self._limits.standing_time, first.max_wait or self._limits.standing_time
        )
        self._standing, counted = self._standing + 1, True
        try:
            while self._now() < until:
                target = self._facade.find_server(first.previous_server)
                if target is not None:
                    tried = self._hand_off(client, target._replace(cut_at=until), first)
                    if tried.server is not None:
                        try:
                            handle = self._facade.report_restored(first, target.server)
                            self._standing, counted = self._standing - 1, False
                            return self._connected(client, tried.server, tried.line, handle, first)
                        finally:
                            tried.server.close()
                    self._counters[f"standing connections {tried.outcome.value}"] += 1
                self._scheduler.sleep(self._limits.standing_pause)
        except ClientGone:
            pass
        finally:
            self._standing -= counted
        self._counters["standing connections lost"] += 1
        self._counters.answered("failed", first.workload)
        self._finish(client, FAILED)

    # One hand-off

    def _hand_off(self, client: Stream, target: HandOffTarget, first: LoginRequest) -> Tried:
        try:
            server = Stream.connect(target.address, self._limits)
        except OSError:
            # Guards against a login without an answer where the system has no descriptor or memory for its hand-off.
            self._counters["no descriptor for a server"] += 1
            return Tried(None, b"", Outcome.NOT_SENT)
        up = False
        try:
            tried = self._try(client, server, target, first)
            up = tried.server is not None
            return tried
        finally:
            if not up:
                server.close()

    def _try(
        self, client: Stream, server: Stream, target: HandOffTarget, first: LoginRequest
    ) -> Tried:
        def without(outcome: Outcome, values: dict[str, float] | None = None) -> Tried:
            return Tried(None, b"", outcome, values)

        self._counters["hand-offs"] += 1
        until = min(target.cut_at, self._now() + self._limits.connect_time)
        while not server.broken and not self._await(client, server, WRITE, until):
            if self._now() >= until:
                return without(Outcome.NOT_CONNECTED)
        if server.connect_failed():
            return without(Outcome.NOT_CONNECTED)
        if not (first.previous_server or self._facade.accepts_logins(target.server)):
            # Guards against a line on its way to a server that has begun to drain while it was connected to.
            return without(Outcome.NOT_SENT)
        server.write(first.with_time_limit(target.cut_at - self._now()))
        while len(server.send_buffer):
            # The line's last byte has not left, so it has never run.
            if server.broken or self._now() >= target.cut_at:
                return without(Outcome.NOT_CONNECTED)
            self._await(client, server, WRITE, target.cut_at)
            server.flush()
        self._counters["hand-offs written"] += 1
        while True:
            server.receive()
            try:
                line = server.read_line()
                if line is not None:
                    word, rest = parse_server_line(line)
                    if word == "UP":
                        return Tried(server, line, Outcome.FULFILLED)
                    if word in BEFORE_UP:
                        return without(BEFORE_UP[word], parse_load_report(rest))
                    if word != "LOAD":
                        raise Malformed("unknown word")
            except (Malformed, LineTooLongError) as problem:
                self._counters[f"bad lines of servers ({str(problem) or 'over-long'})"] += 1
                return without(Outcome.ERROR)
            if line is None and (server.peer_closed or server.broken):
                return without(Outcome.BROKEN)
            if self._now() >= target.cut_at:
                return without(Outcome.TIMED_OUT)
            if line is None:
                self._await(client, server, READ, target.cut_at)
            else:
                self._scheduler.wait(
                    {}, self._now()
                )  # a flood of lines must not keep others waiting

    def _await(self, client: Stream, server: Stream, mask: int, until: int) -> bool:
        """Whether the server's stream is ready; the client's end ends the wait, and so does anything it says."""
        got = self._scheduler.wait({server.fd: mask, client.fd: READ | READ_CLOSED}, until)
        if got.get(client.fd, 0) & (READ_CLOSED | ERROR_EVENTS):
            raise ClientGone
        if client.fd in got:
            raise Malformed("a line before its answer")
        return server.fd in got

    # One connection

    def _connected(
        self, client: Stream, server: Stream, line: bytes, handle: LoginHandle, first: LoginRequest
    ) -> None:
        self._counters["connections up"] += 1
        self._counters.answered("served", first.workload)
        self._open[handle.number] = handle
        outcome, last = Outcome.BROKEN, b""
        try:
            client.write(line)
            outcome, last = self._pass_on(client, server, handle)
        except LineTooLongError:
            self._counters["bad lines on connections (over-long)"] += 1
        finally:
            del self._open[handle.number]
            self._facade.report_connection_end(handle, outcome)
            server.close()
            self._counters[f"connections {outcome.value}"] += 1
            self._finish(client, last)

    def _pass_on(
        self, client: Stream, server: Stream, handle: LoginHandle
    ) -> tuple[Outcome, bytes]:
        """Passes whole lines on, both ways, until one side ends or the client is to move."""
        last_word = ""
        asked_at = 0  # when the oldest line that has brought nothing back was passed on; 0: none
        doubt_at = 0  # when that is to be told
        end_by = 0  # when the end of one side has been passed on for long enough
        while True:
            try:
                lines = self._carry(server, client)
            except LineTooLongError:
                # Guards against a server that falls into garbage: its client is told to come again.
                self._counters["bad lines of servers (over-long)"] += 1
                return Outcome.ERROR, MOVE
            for line in lines:
                if line.startswith(b"LOAD "):
                    self._take_told(handle, line)
                    continue
                last_word = line.rstrip(b"\r\n").split(b" ")[0].decode("latin-1")
                asked_at = 0
            if self._carry(client, server) and not asked_at:
                asked_at = self._now()
                doubt_at = asked_at + self._limits.doubt_time
            if asked_at and doubt_at <= self._now():
                # Guards against a silent server that is not probed soon: its own connections show it first.
                self._facade.report_unanswered_line(handle, self._now() - asked_at)
                doubt_at = self._now() + self._limits.doubt_time
            if client.broken:
                server.abort()
                return Outcome.CANCELLED, b""
            if server.broken:
                client.abort()
                return Outcome.BROKEN, b""
            if server.peer_closed and not len(server.receive_buffer):
                return AT_END.get(last_word, Outcome.BROKEN), b""
            if (
                client.peer_closed
                and not len(client.receive_buffer)
                and not len(server.send_buffer)
            ):
                server.shutdown_write()
            silent = asked_at and self._now() >= asked_at + self._limits.silent_time
            if (handle.to_move or silent) and client.send_buffer.free_bytes >= len(MOVE):
                self._counters["clients moved from silence" if silent else "clients moved"] += 1
                return Outcome.TIMED_OUT if silent else Outcome.CANCELLED, MOVE
            if (client.peer_closed or server.peer_closed) and not end_by:
                end_by = self._now() + self._limits.end_time
            if end_by and self._now() >= end_by:
                return Outcome.CANCELLED, b""
            until = end_by or (doubt_at if asked_at else None)
            fds = {}
            for stream in (client, server):
                mask = READ if stream.receive_buffer.free_bytes and not stream.peer_closed else 0
                mask |= WRITE if len(stream.send_buffer) else 0
                if mask or not stream.peer_closed:
                    fds[stream.fd] = mask
            got = self._scheduler.wait(fds, until)
            for stream in (client, server):
                events = got.get(stream.fd, 0)
                if events & WRITE:
                    stream.flush()
                if events & ERROR_EVENTS and not stream.receive_buffer.free_bytes:
                    stream.broken = True
                elif events:
                    stream.receive()

    def _carry(self, source: Stream, sink: Stream) -> list[bytes]:
        """Passes on the whole lines that have come, as far as there is room for them; returns them."""
        lines = []
        while True:
            length = source.receive_buffer.line_length()
            if length > self._limits.line or (
                not length and len(source.receive_buffer) >= self._limits.line
            ):
                raise LineTooLongError
            if not length and source.peer_closed:
                length = len(source.receive_buffer)  # the rest, without a line's end
            if not length or sink.send_buffer.free_bytes < length:
                break
            line = source.receive_buffer.read(length)
            sink.send_buffer.append(line)
            lines.append(line)
        sink.flush()
        return lines

    def _take_told(self, handle: LoginHandle, line: bytes) -> None:
        try:
            self._facade.report_measurement(
                handle, parse_load_value(parse_server_line(line).arguments)
            )
        except Malformed:
            self._counters["bad lines of servers (figure)"] += 1

    def _finish(self, client: Stream, line: bytes = b"") -> None:
        drain_and_close(self._scheduler, client, line, self._now() + self._limits.end_time)

    def _turn_away(self, client: Stream, line: bytes = ERR) -> None:
        """As `_finish`, for a client that is not taken in: little is read on from it, and it soon makes room.

        Guards against bad clients that hold the door by staying, or keep it busy with what they still send.
        """
        until = self._now() + self._limits.turned_away_time
        left = self._limits.turned_away_bytes
        if not client.closed and client.send_buffer.free_bytes >= len(line):
            client.write(line)
        if not len(client.send_buffer):
            client.shutdown_write()
        while not client.broken and not client.closed and client not in self._unwanted:
            client.receive_buffer.discard(len(client.receive_buffer))
            left -= client.receive()
            if client.peer_closed or left <= 0 or self._now() >= until:
                break
            if not len(client.receive_buffer):
                self._scheduler.wait({client.fd: READ}, until)
        client.close()

    # The end of this process

    def stop(self) -> None:
        """Serves on while clients still come, then moves all connections, spread out; ends when none is left."""
        began = self._now()
        if self._shared:
            self.set_accepting(False)  # who is in the queue is the next process's
        accepting = 0 if self._shared else self._limits.stop_accepting
        self._scheduler.sleep(accepting)
        self._turning_away = not self._shared
        moving, most = self._limits.stop_moving(accepting), 0
        while self._now() < began + self._limits.stop_time and (self._held or self._waiting):
            still = sorted(number for number, handle in self._open.items() if not handle.to_move)
            left = max(0, began + accepting + moving - self._now())
            # Over all the time there is, slowly at first. Guards against a flood at those who take them in, and
            # against clients sent away while a balancer that was stopped before this one is not back yet. Evenly
            # where the next process takes them in: it is there.
            most = max(most, len(still))
            part = moving**2 - (moving - left) ** 2 if not self._shared else left * moving
            number = len(still) - most * part // moving**2
            for handle in [self._open[at] for at in still[: max(0, number)]]:
                handle.to_move = True
                self._scheduler.wake(handle.task)
            self._scheduler.sleep(20 * MS)
