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
from corklift.membership.core import Membership, MembershipConfig
from corklift.membership.messages import (
    MemberRecord,
    MemberState,
    Message,
    MessageDecodeError,
    decode,
    encode,
)
from corklift.net.limits import MS, SECOND, Counters
from corklift.net.scheduler import WRITE, Scheduler, Task
from corklift.net.stream import Stream
from corklift.rpc.core import Code, RpcError, RpcLimits
from corklift.rpc.link import Link, LiveCall
from corklift.rpc.server import Server, unary

if TYPE_CHECKING:
    from corklift.service import BalancerProcess

CALL, STATUS, FORGET = "/corklift.Peers/Call", "/corklift.Peers/Status", "/corklift.Peers/Forget"
MAX_CALLS = 64  # under way at a time; further ones fail at once
POLLS_PER_PERIOD = 10  # a period, at how many connections stand


class PeersConfig(Protocol):
    """What the file tells of peers."""

    name: str
    join: list[str]
    zone: str
    period_ms: int
    expected: int | None
    links: int
    via: dict[str, str]

    @property
    def listen_address(self) -> tuple[str, int]: ...
    @property
    def advertised_address(self) -> str: ...


def link_limits(links: int, period: int, message: int = 64 << 10) -> RpcLimits:
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


class PeerLinks:
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
        if stream.connect_failed():
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
        config: PeersConfig,
        log_event: Callable[..., None],
        *,
        wait_for_recovery: bool = False,
        max_message: int = 64 << 10,
        extra_methods: dict[str, Any] | None = None,
    ) -> None:
        """`tell`: a line of the log, as an event and its fields; `waits`: until `resume`, and whoever calls that has the door; `message`:
        bytes of a peer's at the most."""
        self._process, self._config, self._log_event = process, config, log_event
        self._scheduler, self._counters = process.scheduler, Counters()
        period = config.period_ms * MS
        limits = link_limits(config.links, period, max_message)
        self._links = PeerLinks(self._scheduler, limits, self._counters, config.links)
        self._server = Server(
            self._scheduler,
            limits,
            self._counters,
            {CALL: unary(self._take_call), STATUS: unary(self._status), FORGET: unary(self._forget)}
            | (extra_methods or {}),
        )
        port = self._server.listen(config.listen_address)
        expected = config.expected or process.configuration.arguments["balancers"]
        self.refused_why = ""
        # Not seeded by the file: two processes that were given one file must not draw one life.
        self.core = Membership(
            self,
            Random(),
            MembershipConfig(period),
            self._scheduler.now(),
            name=config.name,
            address=config.advertised_address or f"{config.listen_address[0]}:{port}",
            join=list(config.join),
            expected=expected,
            zone=config.zone,
            version=corklift.__version__,
        )
        self._calls: dict[int, tuple[Task, list[Message]]] = {}
        self._next_call = self._under_way = 0
        self._left = False
        self._waits = self._gated = wait_for_recovery
        process.facade.load_reported = self._reported
        process.facade.before_placement = lambda: self.core.detect_pause(self._scheduler.now())
        if not wait_for_recovery:
            process.relay.set_accepting(False)

    def resume(self, incarnation: int, restart_count: int, expected: int) -> None:
        """What the disk says of before is known, or is not waited for."""
        self.core.resume(incarnation, restart_count, expected)
        self._waits = False

    def call(self, name: str, path: str, request: bytes, until: int) -> bytes:
        """A further part's call of a member; blocks.

        Raises:
            RpcError: how it ended, if not well.
        """
        record = self.core.table.get(name)
        if record is None:
            raise RpcError(Code.NOT_FOUND, f"{name[:60]!r} is not known")
        return self._links.unary(
            self._config.via.get(name) or self._config.via.get(record.address) or record.address,
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
        for request_id, name in self.core.leave(self._scheduler.now()):
            self._log_event("leaving", told=name)
        self._left = True
        until = self._scheduler.now() + self._config.period_ms * MS
        while self._under_way and self._scheduler.now() < until:
            self._scheduler.sleep(5 * MS)

    def _keep_accepting(self) -> None:
        self._await_resume()
        self._server.keep_accepting()

    def _await_resume(self) -> None:
        while self._waits and not self._left:
            self._scheduler.sleep(self._config.period_ms * MS // (10 * POLLS_PER_PERIOD))

    def _keep_ticking(self) -> None:
        self._await_resume()
        self.core.start()
        while not self._left:
            self._scheduler.wait({}, self.core.tick(self._scheduler.now()))

    def _keep_holding(self) -> None:
        opened = False
        self._await_resume()
        while not self._left:
            self.core.set_connections(self._scheduler.now(), self._process.facade.connection_count)
            if not opened and self.core.admitted:
                # No span of time opens the door: a peer let it in, or none answers.
                opened = True
                self._log_event(
                    "serving", joined=self.core.joined, members=len(self.core.live_members) + 1
                )
                if not self._gated:
                    self._process.relay.set_accepting(True)
            self._scheduler.sleep(self._config.period_ms * MS // POLLS_PER_PERIOD)

    def _reported(self, server: int, connections: float) -> None:
        self.core.server_reported(
            self._scheduler.now(),
            str(server),
            connections,
            {str(listed) for listed in self._process.facade.listed_servers()},
        )

    # What the core asks for

    def send_request(
        self, request_id: int, address: str, name: str, message: Message, until: int
    ) -> None:
        if self._under_way >= MAX_CALLS:
            self._counters["calls to peers given up"] += 1
            self._scheduler.spawn(self.core.request_failed, self._scheduler.now(), request_id)
            return
        self._under_way += 1
        self._scheduler.spawn(
            self._call,
            request_id,
            self._config.via.get(name) or self._config.via.get(address) or address,
            message,
            until,
        )

    def _call(self, request_id: int, address: str, message: Message, until: int) -> None:
        answer: Message | None = None
        try:
            answer = decode(self._links.unary(address, CALL, encode(message), until))
        except (RpcError, MessageDecodeError) as problem:
            self._counters[
                f"calls to peers failed ({problem.code.name if isinstance(problem, RpcError) else 'unreadable'})"
            ] += 1
        finally:
            self._under_way -= 1
        now = self._scheduler.now()
        if answer is None:
            self.core.request_failed(now, request_id)
        else:
            self.core.reply_received(now, request_id, answer)

    def send_reply(self, call_id: int, message: Message) -> None:
        held = self._calls.pop(call_id, None)
        if held is not None:
            held[1].append(message)
            self._scheduler.wake(held[0])

    def member_changed(self, record: MemberRecord, was: MemberState | None) -> None:
        self._log_event(
            "member",
            member=record.name,
            address=record.address,
            life=f"{record.instance_id:x}",
            incarnation=record.incarnation,
            standing=_standing(record),
            was=was.name.lower() if was is not None else "unknown",
            by=record.reporter,
        )

    def count_changed(self, count: int) -> None:
        self._log_event("count", balancers=count)
        self._process.facade.set_balancer_count(count)

    def name_rejected(self, reason: str) -> None:
        self._log_event("refused", why=reason)
        self.refused_why = reason
        self._process.request_stop()

    def log(self, text: str) -> None:
        self._log_event("peers", what=text)

    # Calls that come in

    def _take_call(self, call: LiveCall, request: bytes) -> bytes:
        try:
            message = decode(request)
        except MessageDecodeError as problem:
            self._counters["calls of peers that can't be read"] += 1
            raise RpcError(Code.INVALID_ARGUMENT, str(problem)) from None
        number, self._next_call = self._next_call, self._next_call + 1
        answers: list[Message] = []
        self._calls[number] = self._scheduler.current, answers
        try:
            self.core.request_received(self._scheduler.now(), number, message)
            until = (
                self._scheduler.now()
                + 4 * self._config.period_ms * MS * MembershipConfig().max_slowdown
            )
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
                "name": record.name,
                "address": record.address,
                "standing": _standing(record),
                "incarnation": record.incarnation,
                "zone": record.zone,
                "version": record.version,
            }
            for record in [core.own_record, *core.table.values()]
        ]
        return msgspec.json.encode(
            {
                "name": core.own_record.name,
                "count": core.count.value,
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
        self._log_event("forgotten", member=name)
        return b""


def _standing(record: MemberRecord) -> str:
    return (
        MemberState(record.state).name.lower()
        if record.state in list(MemberState)
        else f"unknown ({record.state})"
    )


def call_peer(address: tuple[str, int], path: str, request: bytes, wait: int = 3 * SECOND) -> Any:
    """An operator's question, from a process of its own.

    Raises:
        RpcError: how it ended, if not well.
    """
    from corklift.net.scheduler import wall_clock

    scheduler = Scheduler(wall_clock(), lambda trace: None)
    links = PeerLinks(scheduler, link_limits(1, SECOND), Counters(), 1)
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
