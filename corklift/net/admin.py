"""The operators' HTTP/1.1 endpoint: health, statistics, and taking servers out of service.

Operators have their own listening socket and a small number of connections with descriptors
reserved for them. Each connection serves one request. A request never waits for a client, a server
or discovery, and one that can't be parsed changes nothing. What follows from a server that is out
of service is decided elsewhere.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol

from corklift.net.blocking import Gone, Late, drain_and_close, listening_socket
from corklift.net.limits import Counters, Limits
from corklift.net.parsers import (
    CONTINUE_RESPONSE,
    HttpRequest,
    Malformed,
    MessageTooLongError,
    format_http_response,
    is_unicode,
)
from corklift.net.scheduler import READ, WRITE, Scheduler, Task
from corklift.net.stream import Stream


class AdminResponse(NamedTuple):
    """Status and body of an HTTP response."""

    status: int
    text: str


class IncompleteOperationError(Exception):
    """An operation was not carried out completely; holds the response that says so."""

    def __init__(self, response: AdminResponse) -> None:
        super().__init__(response.text)
        self.response = response


class ManagedBalancer(Protocol):
    """What operators may do with a balancer.

    The operations on a server return whether there is a server with this name.
    """

    def is_serving(self) -> bool: ...
    def stats(self) -> str: ...
    def take_out_of_service(self, name: str) -> bool: ...
    def restore_to_service(self, name: str) -> bool: ...


class AdminHandler:
    """Handles complete requests."""

    def __init__(self, balancer: ManagedBalancer) -> None:
        self._balancer = balancer
        self._endpoints: dict[str, tuple[str, Callable[[HttpRequest], AdminResponse]]] = {
            "/admin/health": ("GET", self._health),
            "/admin/stats": ("GET", lambda request: AdminResponse(200, balancer.stats())),
            "/admin/cordon": (
                "POST",
                lambda request: self._apply_to_member(request, balancer.take_out_of_service, "out"),
            ),
            "/admin/uncordon": (
                "POST",
                lambda request: self._apply_to_member(
                    request, balancer.restore_to_service, "free to serve"
                ),
            ),
        }

    def method(self, path: str) -> str:
        """Returns the method that the path supports; an empty string if there is no such path."""
        return self._endpoints[path][0] if path in self._endpoints else ""

    def handle(self, request: HttpRequest) -> AdminResponse:
        """Handles a request.

        Raises:
            Malformed: the body is not as required.
        """
        method = self.method(request.path)
        if not method:
            return AdminResponse(404, f"There is no {request.path:.80} here.\n")
        if request.method != method:
            return AdminResponse(405, f"{request.path} is called by {method}.\n")
        return self._endpoints[request.path][1](request)

    def _health(self, request: HttpRequest) -> AdminResponse:
        return (
            AdminResponse(200, "It serves.\n")
            if self._balancer.is_serving()
            else AdminResponse(503, "It does not serve.\n")
        )

    def _apply_to_member(
        self, request: HttpRequest, operation: Callable[[str], bool], state_name: str
    ) -> AdminResponse:
        name = request.json_object().get("member")
        if not isinstance(name, str) or not name or not is_unicode(name):
            raise Malformed("member is no name of a server")
        try:
            exists = operation(name)
        except IncompleteOperationError as error:
            return error.response
        if not exists:
            return AdminResponse(404, f"No server has the name {name!r:.80}.\n")
        return AdminResponse(200, f"Server {name:.80} is {state_name}.\n")


def format_stats(
    counters: Counters, workloads: list[str], in_flight: int, known: int, excluded: int
) -> str:
    """Returns one statistic a line: `|c` marks a counter since the start, `|g` a current value."""
    lines = [
        f"app.{result}.{_stat_name(name)}:{counters.answers[result, name]}|c"
        for name in workloads
        for result in ("served", "refused", "failed")
    ]
    lines += [
        f"app.attempts:{counters['hand-offs written']}|c",
        f"app.in_flight:{in_flight}|g",
        f"app.servers_known:{known}|g",
        f"app.servers_excluded:{excluded}|g",
        f"app.reloads_ok:{counters['configurations taken']}|c",
        f"app.reloads_failed:{counters['configurations refused']}|c",
    ]
    return "\n".join(lines) + "\n"


def _stat_name(name: str) -> str:
    """Returns a workload's name without the characters that a statistic's name can't contain."""
    return "".join(
        letter if letter.isprintable() and letter not in ":|@#. " else "_" for letter in name
    )


class Admin:
    """Accepts the operators' connections and serves each of them in a task of its own."""

    def __init__(
        self, scheduler: Scheduler, limits: Limits, counters: Counters, handler: AdminHandler
    ) -> None:
        self._scheduler, self._limits, self._counters, self._handler = (
            scheduler,
            limits,
            counters,
            handler,
        )
        self._listener: socket.socket | None = None
        self._acceptor: Task | None = None
        self._connections: dict[Stream, Task] = {}  # oldest first

    def listen(self, address: tuple[str, int]) -> int:
        """Opens the listening socket; returns its port."""
        return self.listen_on(listening_socket(address))

    def listen_on(self, sock: socket.socket) -> int:
        """Accepts from a listening socket, in place of an earlier one; returns its port."""
        old, self._listener = self._listener, sock
        if self._acceptor is not None:
            self._scheduler.interrupt(self._acceptor, Gone())
        if old is not None:
            old.close()
        return sock.getsockname()[1]

    def reconfigure(self, limits: Limits) -> None:
        """Applies new limits."""
        self._limits = limits

    def accept_loop(self) -> None:
        """Accepts connections for the lifetime of the process."""
        self._acceptor = self._scheduler.current
        while True:
            try:
                if self._listener is None:
                    self._scheduler.wait({})
                elif self._scheduler.wait({self._listener.fileno(): READ}):
                    self._accept(self._listener)
            except Gone:
                continue  # `listen` has replaced the listening socket

    def _accept(self, sock: socket.socket) -> None:
        while len(self._connections) >= self._limits.calls:
            # Closes the oldest connection, so that idle connections can't block new ones.
            oldest = next(iter(self._connections))
            self._counters["operators' connections that made way"] += 1
            self._scheduler.interrupt(self._connections.pop(oldest), Gone())
            self._scheduler.wait({}, self._scheduler.now())
        try:
            stream = Stream(sock.accept()[0], self._limits)
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return
        except OSError:
            self._counters["no descriptor for an operator"] += 1
            self._scheduler.sleep(self._limits.operator_pause)
            return
        self._connections[stream] = self._scheduler.spawn(self._serve, stream)

    def _serve(self, stream: Stream) -> None:
        try:
            response = self._respond(stream)
            drain_and_close(
                self._scheduler,
                stream,
                response,
                self._scheduler.now() + self._limits.turned_away_time,
            )
        except Gone:
            pass
        finally:
            self._connections.pop(stream, None)
            stream.close()

    def _respond(self, stream: Stream) -> bytes:
        try:
            request = self._read_request(stream)
            status, text = self._handler.handle(request)
            headers = f"Allow: {self._handler.method(request.path)}\r\n" if status == 405 else ""
        except MessageTooLongError as problem:
            status, text, headers = 413, f"The call is too long: {problem}.\n", ""
        except Malformed as problem:
            status, text, headers = 400, f"The call can't be read: {problem}.\n", ""
        except Late:
            status, text, headers = 408, "No whole call has come.\n", ""
        self._counters["operators' calls" if status == 200 else "operators' calls turned down"] += 1
        return format_http_response(status, text, headers)

    def _read_request(self, stream: Stream) -> HttpRequest:
        until = self._scheduler.now() + self._limits.call_time
        request, sent_continue = HttpRequest(self._limits.call), False
        while True:
            stream.receive()
            if len(stream.receive_buffer):
                request.feed(stream.receive_buffer.read(len(stream.receive_buffer)))
            if request.done:
                return request
            if request.header_done and request.expects_continue and not sent_continue:
                sent_continue = True
                stream.write(CONTINUE_RESPONSE)
            if stream.broken or stream.peer_closed:
                raise Gone
            if self._scheduler.now() >= until:
                raise Late
            self._scheduler.wait(
                {stream.fd: READ | (WRITE if len(stream.send_buffer) else 0)}, until
            )
            stream.flush()
