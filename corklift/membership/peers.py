"""A balancer's calls with its peers, and what it does with their count.

Owns the links to peers, kept and bounded in number, and the door for their calls. Drives the core in `core`; its clock is the
scheduler's. Must never hold up a login, keep a connection a peer for each of a large fleet, or decide who lives.
"""

from __future__ import annotations

import errno
from collections import OrderedDict
from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

import corklift
from corklift.membership.core import Members, Pace
from corklift.membership.messages import Message, Standing, Unreadable, Word, decode, encode
from corklift.net.limits import MS, SECOND, Counters
from corklift.net.scheduler import WRITE, Scheduler, Task
from corklift.net.stream import Stream
from corklift.rpc.core import Code, RpcError, RpcLimits
from corklift.rpc.link import Link, LiveCall
from corklift.rpc.server import Server, unary

if TYPE_CHECKING:
    from corklift.service import BalancerProcess

CALL, STATUS, FORGET = "/corklift.Peers/Call", "/corklift.Peers/Status", "/corklift.Peers/Forget"
MOST_CALLS = 64  # under way at a time; further ones fail at once
LOOKS = 10  # a period, at how many connections stand


class Given(Protocol):
    """What the file tells of peers."""

    name: str
    join: list[str]
    zone: str
    period_ms: int
    expected: int | None
    links: int
    via: dict[str, str]

    @property
    def at(self) -> tuple[str, int]: ...
    @property
    def told(self) -> str: ...


def limits_for(links: int, period: int, message: int = 64 << 10) -> RpcLimits:
    """A message is small, a link is used again for as long as it is among the few kept."""
    return RpcLimits(
        connections=2 * links,
        streams=8,
        message=message,
        headers=4 << 10,
        inbox=2,
        outbox=2 * message,
        ring=8 << 10,
        handshake_time=2 * period,
        ping_after=0,
        stall_time=4 * period,
        connect_time=2 * period,
        end_time=50 * MS,
    )


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class Links:
    """Connections to the peers that were called last."""

    def __init__(
        self, scheduler: Scheduler, limits: RpcLimits, counters: Counters, most: int
    ) -> None:
        self._scheduler, self._limits, self._counters, self._most = (
            scheduler,
            limits,
            counters,
            most,
        )
        self._kept: OrderedDict[str, Link] = OrderedDict()

    def unary(self, address: str, path: str, request: bytes, until: int) -> bytes:
        """One message, one answer.

        Raises:
            RpcError: how it ended, if not well; RESOURCE_EXHAUSTED where this process lacks a descriptor.
        """
        link = self._kept.get(address)
        if link is None or link.over or link.session.leaving:
            link = self._connected(address, until)
            raced = self._kept.pop(address, None)
            if raced is not None:
                raced.go_away()
            self._kept[address] = link
            while len(self._kept) > self._most:
                self._kept.popitem(last=False)[1].go_away()
        self._kept.move_to_end(address)
        call = link.call(path, until)
        try:
            call.post(request)
            call.done_sending()
            answer = call.receive(until)
        except RpcError as problem:
            if problem.code is Code.DEADLINE_EXCEEDED and self._kept.get(address) is link:
                # Guards against a link that swallows all: the next call tries a new one.
                del self._kept[address]
                link.drop()
            raise
        if answer is None:
            raise RpcError(Code.INTERNAL, "ended without an answer")
        return answer

    def _connected(self, address: str, until: int) -> Link:
        try:
            stream = Stream.connect(split(address), self._limits)
        except OSError as problem:
            code = (
                Code.RESOURCE_EXHAUSTED
                if problem.errno in (errno.EMFILE, errno.ENFILE)
                else Code.UNAVAILABLE
            )
            raise RpcError(code, str(problem)) from None
        while not stream.broken and not self._scheduler.wait({stream.fd: WRITE}, until):
            if self._scheduler.now() >= until:
                stream.close()
                raise RpcError(Code.DEADLINE_EXCEEDED, "no connection in time")
        if stream.failed():
            stream.close()
            raise RpcError(Code.UNAVAILABLE, "no connection")
        self._counters["links to peers"] += 1
        link = Link(self._scheduler, self._limits, self._counters, stream, address, True)
        self._scheduler.spawn(link.run)
        return link


class Peers:
    """The part of `serve` by which a balancer knows the others."""

    def __init__(
        self,
        process: BalancerProcess,
        given: Given,
        tell: Callable[..., None],
        *,
        waits: bool = False,
        message: int = 64 << 10,
        further: dict[str, Any] | None = None,
    ) -> None:
        """`tell`: a line of the log, as an event and its fields; `waits`: until `resume`, and whoever calls that has the door; `message`:
        bytes of a peer's at the most."""
        self._process, self._given, self._tell = process, given, tell
        self._scheduler, self._counters = process.scheduler, Counters()
        period = given.period_ms * MS
        limits = limits_for(given.links, period, message)
        self._links = Links(self._scheduler, limits, self._counters, given.links)
        self._server = Server(
            self._scheduler,
            limits,
            self._counters,
            {CALL: unary(self._take_call), STATUS: unary(self._status), FORGET: unary(self._forget)}
            | (further or {}),
        )
        port = self._server.listen(given.at)
        expected = given.expected or process.configuration.arguments["balancers"]
        self.refused_why = ""
        # Not seeded by the file: two processes that were given one file must not draw one life.
        self.core = Members(
            self,
            Random(),
            Pace(period),
            self._scheduler.now(),
            name=given.name,
            address=given.told or f"{given.at[0]}:{port}",
            join=list(given.join),
            expected=expected,
            zone=given.zone,
            version=corklift.__version__,
        )
        self._calls: dict[int, tuple[Task, list[Message]]] = {}
        self._next_call = self._under_way = 0
        self._left = False
        self._waits = self._gated = waits
        process.facade.load_reported = self._reported
        process.facade.before_placement = lambda: self.core.woke(self._scheduler.now())
        if not waits:
            process.relay.set_accepting(False)

    def resume(self, incarnation: int, turn: int, expected: int) -> None:
        """What the disk says of before is known, or is not waited for."""
        self.core.resume(incarnation, turn, expected)
        self._waits = False

    def call(self, name: str, path: str, request: bytes, until: int) -> bytes:
        """A further part's call of a member; blocks.

        Raises:
            RpcError: how it ended, if not well.
        """
        word = self.core.table.get(name)
        if word is None:
            raise RpcError(Code.NOT_FOUND, f"{name[:60]!r} is not known")
        return self._links.unary(
            self._given.via.get(name) or self._given.via.get(word.address) or word.address,
            path,
            request,
            until,
        )

    # Component

    def background_tasks(self) -> Sequence[Callable[[], None]]:
        return self._keep_accepting, self._keep_ticking, self._keep_holding

    def on_stop_requested(self) -> None:
        """Clients come for a moment yet: nothing is told before the last has gone."""

    def on_clients_drained(self) -> None:
        for ask, name in self.core.leave(self._scheduler.now()):
            self._tell("leaving", told=name)
        self._left = True
        until = self._scheduler.now() + self._given.period_ms * MS
        while self._under_way and self._scheduler.now() < until:
            self._scheduler.sleep(5 * MS)

    def _keep_accepting(self) -> None:
        self._await_resume()
        self._server.keep_accepting()

    def _await_resume(self) -> None:
        while self._waits and not self._left:
            self._scheduler.sleep(self._given.period_ms * MS // (10 * LOOKS))

    def _keep_ticking(self) -> None:
        self._await_resume()
        self.core.start()
        while not self._left:
            self._scheduler.wait({}, self.core.tick(self._scheduler.now()))

    def _keep_holding(self) -> None:
        opened = False
        self._await_resume()
        while not self._left:
            self.core.holds(self._scheduler.now(), self._process.facade.connection_count)
            if not opened and self.core.admitted:
                # No span of time opens the door: a peer let it in, or none answers.
                opened = True
                self._tell("serving", joined=self.core.joined, members=len(self.core.living) + 1)
                if not self._gated:
                    self._process.relay.set_accepting(True)
            self._scheduler.sleep(self._given.period_ms * MS // LOOKS)

    def _reported(self, server: int, connections: float) -> None:
        self.core.reported(
            self._scheduler.now(),
            str(server),
            connections,
            {str(listed) for listed in self._process.facade.listed_servers()},
        )

    # What the core asks for

    def ask(self, ask: int, address: str, name: str, message: Message, until: int) -> None:
        if self._under_way >= MOST_CALLS:
            self._counters["calls to peers given up"] += 1
            self._scheduler.spawn(self.core.unanswered, self._scheduler.now(), ask)
            return
        self._under_way += 1
        self._scheduler.spawn(
            self._call,
            ask,
            self._given.via.get(name) or self._given.via.get(address) or address,
            message,
            until,
        )

    def _call(self, ask: int, address: str, message: Message, until: int) -> None:
        answer: Message | None = None
        try:
            answer = decode(self._links.unary(address, CALL, encode(message), until))
        except (RpcError, Unreadable) as problem:
            self._counters[
                f"calls to peers failed ({problem.code.name if isinstance(problem, RpcError) else 'unreadable'})"
            ] += 1
        finally:
            self._under_way -= 1
        now = self._scheduler.now()
        if answer is None:
            self.core.unanswered(now, ask)
        else:
            self.core.answered(now, ask, answer)

    def reply(self, call: int, message: Message) -> None:
        held = self._calls.pop(call, None)
        if held is not None:
            held[1].append(message)
            self._scheduler.wake(held[0])

    def changed(self, word: Word, was: Standing | None) -> None:
        self._tell(
            "member",
            member=word.name,
            address=word.address,
            life=f"{word.life:x}",
            incarnation=word.incarnation,
            standing=_standing(word),
            was=was.name.lower() if was is not None else "unknown",
            by=word.by,
        )

    def counted(self, number: int) -> None:
        self._tell("count", balancers=number)
        self._process.facade.set_balancer_count(number)

    def refused(self, why: str) -> None:
        self._tell("refused", why=why)
        self.refused_why = why
        self._process.leave()

    def log(self, text: str) -> None:
        self._tell("peers", what=text)

    # Calls that come in

    def _take_call(self, call: LiveCall, request: bytes) -> bytes:
        try:
            message = decode(request)
        except Unreadable as problem:
            self._counters["calls of peers that can't be read"] += 1
            raise RpcError(Code.INVALID_ARGUMENT, str(problem)) from None
        number, self._next_call = self._next_call, self._next_call + 1
        answers: list[Message] = []
        self._calls[number] = self._scheduler.current, answers
        try:
            self.core.called(self._scheduler.now(), number, message)
            until = self._scheduler.now() + 4 * self._given.period_ms * MS * Pace().slowness
            while not answers:
                if self._scheduler.now() >= until or call.ended:
                    raise RpcError(Code.UNAVAILABLE, "nothing to answer in time")
                self._scheduler.wait(
                    {}, until if call.deadline is None else min(until, call.deadline)
                )
        finally:
            self._calls.pop(number, None)
        return encode(answers[0])

    # What operators ask

    def _status(self, call: LiveCall, request: bytes) -> bytes:
        core = self.core
        rows = [
            {
                "name": word.name,
                "address": word.address,
                "standing": _standing(word),
                "incarnation": word.incarnation,
                "zone": word.zone,
                "version": word.version,
            }
            for word in [core.me, *core.table.values()]
        ]
        return msgspec.json.encode(
            {
                "name": core.me.name,
                "count": core.count.number,
                "joined": core.joined,
                "admitted": core.admitted,
                "members": sorted(rows, key=lambda row: str(row["name"])),
                "counters": dict(sorted(self._counters.items())),
            }
        )

    def _forget(self, call: LiveCall, request: bytes) -> bytes:
        name = request.decode("utf-8", "replace")
        if not self.core.forget(self._scheduler.now(), name):
            raise RpcError(Code.FAILED_PRECONDITION, f"{name[:60]!r} is not held for dead here")
        self._tell("forgotten", member=name)
        return b""


def _standing(word: Word) -> str:
    return (
        Standing(word.standing).name.lower()
        if word.standing in list(Standing)
        else f"unknown ({word.standing})"
    )


def question(address: tuple[str, int], path: str, request: bytes, wait: int = 3 * SECOND) -> Any:
    """An operator's question, from a process of its own.

    Raises:
        RpcError: how it ended, if not well.
    """
    from corklift.net.scheduler import wall_clock

    scheduler = Scheduler(wall_clock(), lambda trace: None)
    links = Links(scheduler, limits_for(1, SECOND), Counters(), 1)
    found: list[Any] = []

    def ask() -> None:
        try:
            found.append(links.unary("%s:%d" % address, path, request, scheduler.now() + wait))
        except RpcError as problem:
            found.append(problem)
        finally:
            scheduler.stop()

    scheduler.spawn(ask)
    scheduler.run()
    if isinstance(found[0], RpcError):
        raise found[0]
    return found[0]
