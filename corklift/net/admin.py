"""Operators' calls over HTTP/1.1, one to a connection: health, figures, a server taken out and put back.

Owns the operators' door and the connections that came in by it: few, with descriptors of their own. Each whole call
gets one answer, at once. Must never wait for a client, a server or discovery to answer a call, change anything by a
call that can't be read, or decide what follows from a server's absence.
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
)
from corklift.net.scheduler import READ, WRITE, Scheduler, Task
from corklift.net.stream import Stream


class AdminResponse(NamedTuple):
    status: int
    text: str


class IncompleteOperationError(Exception):
    """What was asked for is answered in another way than by yes or no."""

    def __init__(self, answer: AdminResponse) -> None:
        super().__init__(answer.text)
        self.answer = answer


class ManagedBalancer(Protocol):
    """What operators may ask of a balancer and tell it."""

    def is_serving(self) -> bool: ...
    def stats(self) -> str: ...
    def take_out_of_service(self, name: str) -> bool: ...  # whether there is such a server
    def restore_to_service(self, name: str) -> bool: ...


class AdminHandler:
    """Answers whole calls."""

    def __init__(self, balancer: ManagedBalancer) -> None:
        self._balancer = balancer
        self._calls: dict[str, tuple[str, Callable[[HttpRequest], AdminResponse]]] = {
            "/admin/health": ("GET", self._health),
            "/admin/stats": ("GET", lambda call: AdminResponse(200, balancer.stats())),
            "/admin/cordon": (
                "POST",
                lambda call: self._member(call, balancer.take_out_of_service, "out"),
            ),
            "/admin/uncordon": (
                "POST",
                lambda call: self._member(call, balancer.restore_to_service, "free to serve"),
            ),
        }

    def method(self, path: str) -> str:
        """The one that a path is called by; empty where there is no such path."""
        return self._calls[path][0] if path in self._calls else ""

    def answer(self, call: HttpRequest) -> AdminResponse:
        method = self.method(call.path)
        if not method:
            return AdminResponse(404, f"There is no {call.path:.80} here.\n")
        if call.method != method:
            return AdminResponse(405, f"{call.path} is called by {method}.\n")
        return self._calls[call.path][1](call)

    def _health(self, call: HttpRequest) -> AdminResponse:
        return (
            AdminResponse(200, "It serves.\n")
            if self._balancer.is_serving()
            else AdminResponse(503, "It does not serve.\n")
        )

    def _member(self, call: HttpRequest, act: Callable[[str], bool], what: str) -> AdminResponse:
        name = call.json_object().get("member")
        if not isinstance(name, str) or not name:
            raise Malformed("member is no name of a server")
        try:
            known = act(name)
        except IncompleteOperationError as other:
            return other.answer
        if not known:
            return AdminResponse(404, f"No server has the name {name!r:.80}.\n")
        return AdminResponse(200, f"Server {name:.80} is {what}.\n")


def format_stats(
    counters: Counters, workloads: list[str], in_flight: int, known: int, excluded: int
) -> str:
    """A line a figure, from the counts that the program itself keeps: `|c` has grown since the start, `|g` stands now."""
    lines = [
        f"app.{word}.{_part(name)}:{counters.answers[word, name]}|c"
        for name in workloads
        for word in ("served", "refused", "failed")
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


def _part(name: str) -> str:
    """A workload's name as a part of a figure's."""
    return "".join(
        letter if letter.isprintable() and letter not in ":|@#. " else "_" for letter in name
    )


class Admin:
    """The door for operators."""

    def __init__(
        self, scheduler: Scheduler, limits: Limits, counters: Counters, desk: AdminHandler
    ) -> None:
        self._scheduler, self._limits, self._counters, self._desk = (
            scheduler,
            limits,
            counters,
            desk,
        )
        self._door: socket.socket | None = None
        self._acceptor: Task | None = None
        self._callers: dict[Stream, Task] = {}  # oldest first

    def listen(self, address: tuple[str, int]) -> int:
        """Opens the door, instead of the one before if there is one; returns its port."""
        sock = listening_socket(address)
        old, self._door = self._door, sock
        if self._acceptor is not None:
            self._scheduler.interrupt(self._acceptor, Gone())
        if old is not None:
            old.close()
        return sock.getsockname()[1]

    def reconfigure(self, limits: Limits) -> None:
        self._limits = limits

    def accept_loop(self) -> None:
        self._acceptor = self._scheduler.current
        while True:
            try:
                if self._door is None:
                    self._scheduler.wait({})
                elif self._scheduler.wait({self._door.fileno(): READ}):
                    self._accept(self._door)
            except Gone:
                continue  # there is another door

    def _accept(self, sock: socket.socket) -> None:
        while len(self._callers) >= self._limits.calls:
            # Guards against callers who hold a place without a call: whoever has held one longest makes room.
            caller = next(iter(self._callers))
            self._counters["operators' connections that made way"] += 1
            self._scheduler.interrupt(self._callers.pop(caller), Gone())
            self._scheduler.wait({}, self._scheduler.now())
        try:
            stream = Stream(sock.accept()[0], self._limits)
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return
        except OSError:
            self._counters["no descriptor for an operator"] += 1
            self._scheduler.sleep(self._limits.operator_pause)
            return
        self._callers[stream] = self._scheduler.spawn(self._serve, stream)

    def _serve(self, stream: Stream) -> None:
        try:
            answer = self._answer(stream)
            drain_and_close(
                self._scheduler,
                stream,
                answer,
                self._scheduler.now() + self._limits.turned_away_time,
            )
        except Gone:
            pass
        finally:
            self._callers.pop(stream, None)
            stream.close()

    def _answer(self, stream: Stream) -> bytes:
        try:
            call = self._call(stream)
            status, text = self._desk.answer(call)
            more = f"Allow: {self._desk.method(call.path)}\r\n" if status == 405 else ""
        except MessageTooLongError as problem:
            status, text, more = 413, f"The call is too long: {problem}.\n", ""
        except Malformed as problem:
            status, text, more = 400, f"The call can't be read: {problem}.\n", ""
        except Late:
            status, text, more = 408, "No whole call has come.\n", ""
        self._counters["operators' calls" if status == 200 else "operators' calls turned down"] += 1
        return format_http_response(status, text, more)

    def _call(self, stream: Stream) -> HttpRequest:
        until = self._scheduler.now() + self._limits.call_time
        call, urged = HttpRequest(self._limits.call), False
        while True:
            stream.receive()
            if len(stream.receive_buffer):
                call.feed(stream.receive_buffer.read(len(stream.receive_buffer)))
            if call.done:
                return call
            if call.header_done and call.expects_continue and not urged:
                urged = True
                stream.write(CONTINUE_RESPONSE)
            if stream.broken or stream.peer_closed:
                raise Gone
            if self._scheduler.now() >= until:
                raise Late
            self._scheduler.wait(
                {stream.fd: READ | (WRITE if len(stream.send_buffer) else 0)}, until
            )
            stream.flush()
