"""Accepts clients, hands their logins off to servers and relays lines between the two.

The relay owns the listening sockets, the stream of each client and the stream to its server. Every
login gets exactly one final answer. The relay does not choose servers and never delays an answer.
The only lines that it writes itself are an answer before `UP`, and `MOVE` between two lines of an
established connection.
"""

from __future__ import annotations

import errno
import socket
from typing import NamedTuple

from corklift.interface import Outcome
from corklift.net.blocking import drain_and_close, listening_socket
from corklift.net.connection_names import ConnectionNames
from corklift.net.facade import Facade, HandOffTarget, LoginHandle, Rejection
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
from corklift.net.pending import PendingClients, UnreadClose
from corklift.net.scheduler import ERROR_EVENTS, READ, READ_CLOSED, RESET, WRITE, Scheduler, Task
from corklift.net.stream import BufferPool, LineTooLongError, Stream

# Server lines that end a hand-off without a connection.
OUTCOME_BEFORE_UP = {"BUSY": Outcome.FULL, "ERR": Outcome.ERROR, "MOVE": Outcome.CANCELLED}
# Outcome of an established connection, by the keyword of the server's last line before its close.
OUTCOME_BY_LAST_LINE = {"BYE": Outcome.FULFILLED, "MOVE": Outcome.CANCELLED}
# Clients accepted in a row before other tasks run.
ACCEPT_BATCH = 32
# Lines of a connection forwarded in each direction before other tasks run.
LINE_BATCH = 64


class ClientDisconnectedError(Exception):
    """The client disconnected before it was answered."""


class StopTimeOverError(Exception):
    """The process is about to end, and the login still waits for its server."""


class HandOffResult(NamedTuple):
    """The server's stream and its `UP` line; otherwise an outcome and a load report."""

    server: Stream | None
    line: bytes
    outcome: Outcome
    values: dict[str, float] | None = None


class RestoredConnection(NamedTuple):
    """A connection from before the start that is open again at its server."""

    server: Stream
    line: bytes  # the server's `UP` line
    handle: LoginHandle


class Relay:
    """Accepts clients and serves each of them in a task of its own."""

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
        # The last listener is the current one; earlier ones are closed once their queues are empty.
        self._listeners: list[socket.socket] = []
        self._acceptor: Task | None = None
        self.ready = False  # whether PING is answered
        self._buffers = BufferPool(limits.buffers, counters)
        self._pending = PendingClients()  # clients without an admitted login
        # Of the clients that are connected to a server or being handed off, and of former ones.
        self.names = ConnectionNames(self._now, limits.name_time, limits.name_table)
        self._connections: dict[int, LoginHandle] = {}
        self._rejecting_logins = False
        self._accepting = True  # if False, clients stay in the queue of the listening socket
        self._socket_shared = False  # other processes accept from the same listening socket
        self.clients_elsewhere = 0  # clients of the other processes of this balancer
        # Tasks that re-establish a connection from before the start of this process.
        self._restoring: set[Task] = set()

    @property
    def in_flight(self) -> int:
        """Logins and connections that have not ended."""
        return self._facade.in_flight + len(self._restoring)

    @property
    def is_serving(self) -> bool:
        """Whether logins are accepted."""
        return self.ready and not self._rejecting_logins

    @property
    def client_count(self) -> int:
        """Clients that are connected to a server or being handed off."""
        return self.names.count

    # Accepting clients

    def listen(self, address: tuple[str, int]) -> int:
        """Opens a listening socket and returns its port.

        Called before the other components start, so that connects in the meantime are queued and
        not refused.
        """
        return self.listen_on(listening_socket(address))

    def listen_on(self, sock: socket.socket) -> int:
        """Accepts from a listening socket, in place of an earlier one; returns its port."""
        return self._add_listener(sock)

    def listen_on_inherited_socket(self, sock: socket.socket) -> int:
        """Uses a listening socket shared with other processes; returns its port.

        Clients stay in its queue until `set_accepting` is called.
        """
        self._socket_shared, self._accepting = True, False
        return self._add_listener(sock)

    def set_accepting(self, accepting: bool) -> None:
        """Starts or stops accepting; clients in a shared queue are left to other processes."""
        self._accepting = accepting
        if self._acceptor is not None:
            self._scheduler.wake(self._acceptor)

    def _add_listener(self, sock: socket.socket) -> int:
        self._listeners.append(sock)
        if self._acceptor is not None:
            self._scheduler.wake(self._acceptor)
        return sock.getsockname()[1]

    def reconfigure(self, limits: Limits) -> None:
        """Applies new limits.

        Existing clients stay. While they exceed the new limits, no further ones are admitted.
        """
        self._limits = limits
        self._buffers.max_bytes = limits.buffers

    def accept_loop(self) -> None:
        """Accepts clients for the lifetime of the process."""
        self._acceptor = self._scheduler.current
        while True:
            if not self._accepting:
                self._scheduler.wait({})
                continue
            events = self._scheduler.wait({listener.fileno(): READ for listener in self._listeners})
            if not self._accepting:
                continue
            if len(self._pending) >= self._limits.waiting:
                self._make_room()
                continue
            for listener in list(self._listeners):
                if not self._accepting:
                    break  # since a pause in `_accept_batch`; the listeners may be closed
                # Clients that connected to an address just before a reload replaced it are still
                # accepted.
                replaced = listener is not self._listeners[-1]
                if listener.fileno() in events or replaced:
                    queue_empty = self._accept_batch(listener)
                    if replaced and queue_empty:
                        self._listeners.remove(listener)
                        listener.close()

    def _accept_batch(self, listener: socket.socket) -> bool:
        """Accepts up to ACCEPT_BATCH queued clients; returns whether the queue is empty."""
        for _ in range(min(ACCEPT_BATCH, self._limits.waiting - len(self._pending))):
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
            client = Stream(sock, self._limits, self._buffers)
            task = self._scheduler.spawn(self._serve_client, client)
            self._pending.add(client, task, self._now())
        return False

    def _make_room(self) -> None:
        """Closes some pending clients; further ones wait in the queue of the listening socket."""
        evicted = self._pending.evict(self._now(), self._limits)
        for task in evicted:
            self._scheduler.wake(task)
        self._scheduler.sleep(MS)
        if not evicted:
            # Without the lateness of this process, during which no line could be read.
            self._pending.waited(MS)

    # A client before its login

    def _serve_client(self, client: Stream) -> None:
        try:
            request = self._read_login_request(client)
            if request is not None:
                self._admit(client, request)
        except (Malformed, LineTooLongError) as problem:
            self._counters[f"bad lines of clients ({str(problem) or 'over-long'})"] += 1
            self._reject(client)
        except StopTimeOverError:
            self._counters["logins ended by the stop"] += 1
            self._reject(client, FAILED)  # no effect if it was answered already
        finally:
            self._pending.remove(client)
            client.close()

    def _read_login_request(self, client: Stream) -> LoginRequest | None:
        until = self._now() + self._limits.first_line_time
        answered_ping = False
        while True:
            client.receive()
            line = client.read_line()
            if line is not None:
                self._pending.line_received(client, self._now(), self._limits.waiting)
            if line is not None and len(client.receive_buffer):
                # Pipelining is rejected: it would allow hundreds of commands at once.
                raise Malformed("more than one line at once")
            if line == PING:
                self._counters["pings"] += 1
                if not self._answer_ping(client):
                    return None
                if not answered_ping:
                    answered_ping, until = True, self._now() + self._limits.first_line_time
                # Yield: a flood of PINGs must not delay other clients.
                self._scheduler.wait({}, self._now())
            elif line is not None:
                return parse_login_request(line)
            elif client.peer_closed or client.broken:
                self._counters[UnreadClose.DISCONNECTED.value] += 1
                return None
            elif self._now() >= until or self._pending.close_reason(client):
                if len(client.receive_buffer):
                    raise Malformed("not whole in time")
                reason = self._pending.close_reason(client) or UnreadClose.NO_LINE
                self._counters[reason.value] += 1
                return None
            else:
                self._scheduler.wait({client.fd: READ}, until)

    def _answer_ping(self, client: Stream) -> bool:
        """Answers PING once the relay is ready; returns whether the answer was sent."""
        while not self.ready:
            if self._scheduler.wait({client.fd: READ_CLOSED}, self._now() + 50 * MS):
                self._counters[UnreadClose.DISCONNECTED.value] += 1
                return False
            reason = self._pending.close_reason(client)
            if reason is not None:
                self._counters[reason.value] += 1
                return False
        client.write(PONG)
        return not client.broken and not len(client.send_buffer)

    def _admit(self, client: Stream, request: LoginRequest) -> None:
        if self._facade.workload_index(request.workload) is None:
            if request.workload in self._facade.workload_names():
                # A reload has removed the workload; its statistics are still reported.
                self._counters.count_answer("failed", request.workload)
            raise Malformed("unknown workload")
        if not self.names.claim(request.connection_name):
            raise Malformed("name in use")
        if request.previous_server:
            self._counters["standing connections in"] += 1
        else:
            self._counters["logins in"] += 1
        if self.client_count + self.clients_elsewhere > self._limits.clients or (
            self._rejecting_logins and not request.previous_server
        ):
            self.names.withdraw(request.connection_name)
            self._counters["logins bounced without room"] += 1
            self._counters.count_answer("refused", request.workload)
            self._reject(client, BUSY)
            return
        self._pending.remove(client)
        try:
            if request.previous_server:
                self._restore_connection(client, request)
            else:
                self._place_login(client, request)
        finally:
            self.names.release(request.connection_name)

    def _place_login(self, client: Stream, request: LoginRequest) -> None:
        if (
            request.max_wait is None
            or not self._limits.answer_margin < request.max_wait <= self._limits.longest_wait
        ):
            raise Malformed("absurd time to wait")
        time_limit = min(request.max_wait, self._facade.time_limit(request))
        handle = self._facade.register_login(
            request, self._now() + time_limit - self._limits.answer_margin
        )
        answer, result_name = FAILED, "failed"
        try:
            self._facade.place_login(handle, request)
            while isinstance(decision := self._await_decision(client, handle), HandOffTarget):
                result = self._hand_off(client, decision, request, handle)
                if result.server is not None:
                    try:
                        self._facade.report_connected(handle)
                        answer, result_name = b"", "served"
                        return self._run_connection(
                            client, result.server, result.line, handle, request
                        )
                    finally:
                        result.server.close()
                self._counters[f"hand-offs {result.outcome.value}"] += 1
                self._facade.report_failed_hand_off(handle, result.outcome, result.values)
            if decision.retry_is_safe:
                answer, result_name = format_busy(decision.retry_in), "refused"
            self._counters["logins bounced" if decision.retry_is_safe else "logins terminated"] += 1
        except ClientDisconnectedError:
            result_name = ""
            self._counters["logins left by their client"] += 1
        except Malformed:
            answer = b""  # `_serve_client` rejects the client
            raise
        finally:
            self._facade.release_login(handle)
            if result_name and result_name != "served":  # `_run_connection` counts "served"
                self._counters.count_answer(result_name, request.workload)
            if answer:
                self._finish(client, answer)

    def _await_decision(self, client: Stream, handle: LoginHandle) -> HandOffTarget | Rejection:
        """Blocks until the login's target or rejection is decided; raises as `_wait_for_client`."""
        while handle.decision is None:
            if self._now() >= handle.time_limit_at:
                return self._facade.reject_undecided(handle)
            self._wait_for_client(client, handle.time_limit_at)
        return handle.decision

    def _restore_connection(self, client: Stream, request: LoginRequest) -> None:
        """Re-establishes a connection from before the start, at the same server only."""
        restored, answer = None, FAILED
        task = self._scheduler.current
        self._restoring.add(task)
        try:
            restored = self._reopen(client, request)
        except (ClientDisconnectedError, StopTimeOverError):
            pass
        except Malformed:
            answer = b""  # `_serve_client` rejects the client
            raise
        finally:
            self._restoring.discard(task)
            if restored is None and answer:
                self._counters["standing connections lost"] += 1
                self._counters.count_answer("failed", request.workload)
                self._finish(client, answer)
        if restored is not None:
            try:
                self._run_connection(
                    client, restored.server, restored.line, restored.handle, request
                )
            finally:
                restored.server.close()

    def _reopen(self, client: Stream, request: LoginRequest) -> RestoredConnection | None:
        """Tries the server of the former connection again and again; None if the time is over."""
        until = self._now() + min(
            self._limits.standing_time, request.max_wait or self._limits.standing_time
        )
        while self._now() < until:
            target = self._facade.find_server(request.previous_server)
            if target is not None:
                result = self._hand_off(
                    client, target._replace(cut_at=until, send_before=until), request
                )
                if result.server is not None:
                    try:
                        handle = self._facade.report_restored(request, target)
                    except Exception:
                        result.server.close()
                        raise
                    return RestoredConnection(result.server, result.line, handle)
                self._counters[f"standing connections {result.outcome.value}"] += 1
            self._wait_for_client(client, self._now() + self._limits.standing_pause)
        return None

    # A hand-off

    def _hand_off(
        self,
        client: Stream,
        target: HandOffTarget,
        request: LoginRequest,
        handle: LoginHandle | None = None,
    ) -> HandOffResult:
        try:
            # A client that reads nothing fills the buffers of its server's stream, too.
            server = Stream.connect(target.address, self._limits, self._buffers, owner=client)
        except OSError:
            # No descriptor or memory for the socket. The login still gets an answer.
            self._counters["no descriptor for a server"] += 1
            return HandOffResult(None, b"", Outcome.NOT_SENT)
        is_connected = False
        try:
            result = self._attempt(client, server, target, request, handle)
            is_connected = result.server is not None
            return result
        finally:
            if not is_connected:
                server.close()

    def _attempt(
        self,
        client: Stream,
        server: Stream,
        target: HandOffTarget,
        request: LoginRequest,
        handle: LoginHandle | None,
    ) -> HandOffResult:
        """Connects to the server, sends the login request and waits for the server's answer."""
        self._counters["hand-offs"] += 1
        until = min(target.cut_at, self._now() + self._limits.connect_time)
        while not server.broken and not self._wait_for_server(client, server, WRITE, until):
            if self._now() >= until:
                return HandOffResult(None, b"", Outcome.NOT_CONNECTED)
        if server.connect_failed():
            return HandOffResult(None, b"", Outcome.NOT_CONNECTED)
        outcome = self._send_request(client, server, target, request, handle)
        if outcome is not None:
            return HandOffResult(None, b"", outcome)
        self._counters["hand-offs written"] += 1
        return self._read_answer(client, server, target)

    def _send_request(
        self,
        client: Stream,
        server: Stream,
        target: HandOffTarget,
        request: LoginRequest,
        handle: LoginHandle | None,
    ) -> Outcome | None:
        """Sends the login request; returns an outcome if its last byte was not sent.

        The server has then not run it.
        """
        if self._now() >= target.send_before or not (
            request.previous_server or self._facade.accepts_logins(target.server)
        ):
            # During the connect the time ran out, or the server started to drain.
            return Outcome.NOT_SENT
        server.receive()
        has_ended = server.peer_closed and not len(server.receive_buffer)
        if not has_ended:
            if handle is not None:
                handle.is_sent = True
            server.write(request.with_time_limit(target.cut_at - self._now()))
        while has_ended or len(server.send_buffer):
            if has_ended or server.broken or self._now() >= target.cut_at:
                return Outcome.NOT_CONNECTED
            events = self._wait_for_server(client, server, WRITE | READ_CLOSED, target.cut_at)
            has_ended = bool(events & READ_CLOSED)
            if not has_ended:
                server.flush()
        return None

    def _read_answer(self, client: Stream, server: Stream, target: HandOffTarget) -> HandOffResult:
        """Waits for the server's answer to a login request that has been sent."""

        def failed(outcome: Outcome, values: dict[str, float] | None = None) -> HandOffResult:
            return HandOffResult(None, b"", outcome, values)

        while True:
            server.receive()
            try:
                line = server.read_line()
                if line is not None:
                    keyword, arguments = parse_server_line(line)
                    if keyword == "UP":
                        return HandOffResult(server, line, Outcome.FULFILLED)
                    if keyword in OUTCOME_BEFORE_UP:
                        return failed(OUTCOME_BEFORE_UP[keyword], parse_load_report(arguments))
                    if keyword != "LOAD":
                        raise Malformed("unknown word")
            except (Malformed, LineTooLongError) as problem:
                self._counters[f"bad lines of servers ({str(problem) or 'over-long'})"] += 1
                return failed(Outcome.ERROR)
            if line is None and (server.peer_closed or server.broken):
                return failed(Outcome.BROKEN)
            if self._now() >= target.cut_at:
                return failed(Outcome.TIMED_OUT)
            if line is None:
                self._wait_for_server(client, server, READ, target.cut_at)
            else:
                # Yield: a flood of lines must not delay other clients.
                self._wait_for_client(client, self._now())

    def _wait_for_server(self, client: Stream, server: Stream, mask: int, until: int) -> int:
        """Waits for an event on the server's stream and returns its events, 0 if there are none.

        Raises as `_wait_for_client`.
        """
        return self._wait_for_client(client, until, {server.fd: mask}).get(server.fd, 0)

    def _wait_for_client(
        self, client: Stream, until: int, fds: dict[int, int] | None = None
    ) -> dict[int, int]:
        """Waits as `Scheduler.wait` while the client waits for its answer.

        Raises:
            ClientDisconnectedError: the client has disconnected.
            Malformed: the client sent data before it was answered.
        """
        events = self._scheduler.wait({client.fd: READ | READ_CLOSED, **(fds or {})}, until)
        if events.get(client.fd, 0) & (READ_CLOSED | ERROR_EVENTS):
            raise ClientDisconnectedError
        if client.fd in events:
            raise Malformed("a line before its answer")
        return events

    # An established connection

    def _run_connection(
        self,
        client: Stream,
        server: Stream,
        line: bytes,
        handle: LoginHandle,
        request: LoginRequest,
    ) -> None:
        self._counters["connections up"] += 1
        self._counters.count_answer("served", request.workload)
        self._connections[handle.number] = handle
        outcome, last_line = Outcome.BROKEN, b""
        try:
            client.write(line)
            outcome, last_line = self._relay_lines(client, server, handle)
        except LineTooLongError:
            self._counters["bad lines on connections (over-long)"] += 1
        finally:
            del self._connections[handle.number]
            self._facade.report_connection_end(handle, outcome)
            server.close()
            self._counters[f"connections {outcome.value}"] += 1
            self._finish(client, last_line)

    def _relay_lines(
        self, client: Stream, server: Stream, handle: LoginHandle
    ) -> tuple[Outcome, bytes]:
        """Forwards whole lines in both directions until one side closes or the client has to move.

        Returns the outcome and the last line to send to the client, if any.
        """
        last_keyword = ""
        # When the oldest unanswered line of the client was forwarded; 0 if there is none.
        unanswered_since = 0
        report_at = 0  # when the unanswered line is reported next
        close_at = 0  # when the wait for the other side's close ends; 0 while both are open
        while True:
            server_lines: list[bytes] = []
            client_lines: list[bytes] = []
            is_garbage = not self._forward_lines(server, client, server_lines)
            answer_keyword = self._handle_server_lines(server_lines, handle)
            if answer_keyword is not None:
                last_keyword, unanswered_since = answer_keyword, 0
            if is_garbage:
                # The client is told to log in again, unless the server has ended the connection.
                self._counters["bad lines of servers (over-long)"] += 1
                return Outcome.ERROR, b"" if last_keyword in OUTCOME_BY_LAST_LINE else MOVE
            if not self._forward_lines(client, server, client_lines):
                raise LineTooLongError
            if client_lines and not unanswered_since:
                unanswered_since = self._now()
                report_at = unanswered_since + self._limits.unanswered_line_time
            if unanswered_since and report_at <= self._now():
                # An unresponsive server may not be probed soon; its connections reveal it earlier.
                self._facade.report_unanswered_line(handle, self._now() - unanswered_since)
                report_at = self._now() + self._limits.unanswered_line_time
            if client.broken:
                server.abort()
                return Outcome.CANCELLED, b""
            has_more_lines = LINE_BATCH in (len(server_lines), len(client_lines))
            # While the connection waits, its forwarded lines must not stay in memory.
            del server_lines, client_lines
            if has_more_lines:
                self._scheduler.wait({}, self._now())
                continue
            if (server.broken or handle.to_move) and last_keyword in OUTCOME_BY_LAST_LINE:
                # The client has read the server's ending: no reset or MOVE may follow it.
                return OUTCOME_BY_LAST_LINE[last_keyword], b""
            if server.broken:
                client.abort()
                return Outcome.BROKEN, b""
            if server.peer_closed and not len(server.receive_buffer):
                return OUTCOME_BY_LAST_LINE.get(last_keyword, Outcome.BROKEN), b""
            if (
                client.peer_closed
                and not len(client.receive_buffer)
                and not len(server.send_buffer)
            ):
                server.shutdown_write()
            timed_out = (
                unanswered_since and self._now() >= unanswered_since + self._limits.silent_time
            )
            if timed_out and last_keyword in OUTCOME_BY_LAST_LINE:
                return OUTCOME_BY_LAST_LINE[last_keyword], b""
            if (handle.to_move or timed_out) and client.send_buffer.free_bytes >= len(MOVE):
                self._counters["clients moved from silence" if timed_out else "clients moved"] += 1
                return Outcome.TIMED_OUT if timed_out else Outcome.CANCELLED, MOVE
            if (client.peer_closed or server.peer_closed) and not close_at:
                close_at = self._now() + self._limits.end_time
            if close_at and self._now() >= close_at:
                return Outcome.CANCELLED, b""
            until = close_at or (
                min(report_at, unanswered_since + self._limits.silent_time)
                if unanswered_since
                else None
            )
            fds = {}
            for stream in (client, server):
                mask = READ if stream.receive_buffer.free_bytes and not stream.peer_closed else 0
                mask |= WRITE if len(stream.send_buffer) else 0
                if mask or not stream.peer_closed:
                    fds[stream.fd] = mask
            ready = self._scheduler.wait(fds, until)
            for stream in (client, server):
                events = ready.get(stream.fd, 0)
                if events & WRITE:
                    stream.flush()
                if stream is client and events & RESET:
                    # Lines that lie unread in the system's buffer are not sent on any more.
                    stream.broken = True
                elif events & ERROR_EVENTS and not stream.receive_buffer.free_bytes:
                    stream.broken = True
                elif events:
                    stream.receive()

    def _forward_lines(self, source: Stream, sink: Stream, lines: list[bytes]) -> bool:
        """Forwards complete lines that fit into the sink's send buffer, and appends them.

        Forwards `LINE_BATCH` of them at most. Returns False if the next line exceeds the limit.
        """
        within_limit = True
        while len(lines) < LINE_BATCH:
            length = source.receive_buffer.line_length()
            if length > self._limits.line or (
                not length and len(source.receive_buffer) >= self._limits.line
            ):
                within_limit = False
                break
            if not length and source.peer_closed:
                length = len(source.receive_buffer)  # the rest, without a line end
            if not length or sink.send_buffer.free_bytes < length:
                break
            line = source.receive_buffer.read(length)
            sink.send_buffer.append(line)
            lines.append(line)
        sink.flush()
        return within_limit

    def _handle_server_lines(self, lines: list[bytes], handle: LoginHandle) -> str | None:
        """Reports the measurements; returns the keyword of the last other line, if there is one."""
        answers = []
        for line in lines:
            if line.startswith(b"LOAD "):
                self._report_measurement(handle, line)
            else:
                answers.append(line)
        return answers[-1].rstrip(b"\r\n").split(b" ")[0].decode("latin-1") if answers else None

    def _report_measurement(self, handle: LoginHandle, line: bytes) -> None:
        try:
            self._facade.report_measurement(
                handle, parse_load_value(parse_server_line(line).arguments)
            )
        except Malformed:
            self._counters["bad lines of servers (figure)"] += 1

    def _finish(self, client: Stream, line: bytes = b"") -> None:
        """Sends a last line, if any, and closes the connection in an orderly way."""
        drain_and_close(self._scheduler, client, line, self._now() + self._limits.end_time)

    def _reject(self, client: Stream, line: bytes = ERR) -> None:
        """Answers a client that is not admitted, and closes its connection.

        Unlike `_finish`, reads little and waits briefly, so that misbehaving clients can't occupy
        descriptors by staying connected, or CPU time by sending on.
        """
        until = self._now() + self._limits.turned_away_time
        remaining_bytes = self._limits.turned_away_bytes
        if not client.closed and client.send_buffer.free_bytes >= len(line):
            client.write(line)
        if not len(client.send_buffer):
            client.shutdown_write()
        self._pending.rejected(client)
        while not client.broken and not client.closed and not self._pending.close_reason(client):
            client.receive_buffer.discard(len(client.receive_buffer))
            remaining_bytes -= client.receive()
            if client.peer_closed or remaining_bytes <= 0 or self._now() >= until:
                break
            if not len(client.receive_buffer):
                self._scheduler.wait({client.fd: READ}, until)
        client.close()

    # Shutdown

    def stop(self, started_at: int) -> None:
        """Shuts down: accepts logins for a moment, then moves all connections, spread over time.

        Returns when no client is left or the stop time is over, which counts from `started_at`.
        By then every login has been answered, and nobody can connect any more, except to the queue
        of a shared socket. Where another process accepts from that, this one accepts nobody. A
        reload during the stop does not change its times.
        """
        limits = self._limits
        stop_at = started_at + limits.stop_time
        answer_at = stop_at - limits.stop_margin
        self._facade.answer_all_until(answer_at)
        has_successor = not self._accepting
        accept_time = 0 if has_successor else limits.time_to_accept
        self._scheduler.sleep(started_at + accept_time - self._now())
        self._rejecting_logins = not has_successor
        move_time, max_count = limits.time_to_move_connections(accept_time), 0
        is_ending = False
        while self._now() < stop_at:
            if not (self.client_count or self._pending) and self._accept_last_clients():
                if not self._pending:
                    return
            if self._now() >= answer_at:
                self._accept_last_clients()
                if not is_ending:
                    self._end_unanswered_logins()
                is_ending = True
            staying = sorted(
                number for number, handle in self._connections.items() if not handle.to_move
            )
            time_left = max(0, started_at + accept_time + move_time - self._now())
            # Moves are spread over the whole time and start slowly: the balancers that take the
            # clients over must not be flooded, and one that was stopped just before this one may
            # not be back yet. Where the next process is already running, the moves are spread
            # evenly.
            max_count = max(max_count, len(staying))
            share = (
                time_left * move_time
                if has_successor
                else move_time**2 - (move_time - time_left) ** 2
            )
            move_count = len(staying) - max_count * share // move_time**2
            for handle in [self._connections[number] for number in staying[: max(0, move_count)]]:
                handle.to_move = True
                self._scheduler.wake(handle.task)
            self._scheduler.sleep(20 * MS)
        self._end_unanswered_logins()
        self._scheduler.sleep(20 * MS)  # for the last answers to be written

    def _end_unanswered_logins(self) -> None:
        """Answers the logins that still wait for a server, and clients without a whole line."""
        self._rejecting_logins = True
        for task in (*self._facade.tasks_of_hand_offs(), *self._restoring):
            self._scheduler.interrupt(task, StopTimeOverError())
        for task in self._pending.close_all():
            self._scheduler.wake(task)

    def _accept_last_clients(self) -> bool:
        """Accepts the queued clients, and no more once the queues are empty; returns whether so.

        Listening sockets of this process alone are closed then. Between the last look at a queue
        and the close no other task runs. The queue of a shared socket is the next process's then.
        """
        if self._socket_shared and not self._accepting:
            return True
        try:
            if not all([self._accept_batch(listener) for listener in self._listeners]):
                return False
        except OSError:
            # An error of one client's connection, which must not end the stop for all others.
            self._counters["accepts that failed"] += 1
            return False
        self.set_accepting(False)
        while self._listeners and not self._socket_shared:
            self._listeners.pop().close()
        return True
