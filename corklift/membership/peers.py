"""RPCs between balancers, and the component that drives the membership core.

Holds a bounded number of connections to peers and the RPC server for their calls, and passes the
number of balancers on to the facade. Never blocks a login, never keeps a connection to every peer
of a large fleet, and makes no membership decisions.
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
from corklift.rpc.connection import RpcCall, RpcConnection
from corklift.rpc.core import Code, RpcError, RpcLimits
from corklift.rpc.server import RpcServer, unary

if TYPE_CHECKING:
    from corklift.service import BalancerProcess

CALL, STATUS, FORGET = "/corklift.Peers/Call", "/corklift.Peers/Status", "/corklift.Peers/Forget"
# Calls to peers that may be in progress; further ones fail at once.
MAX_CALLS = 64
# How often per probe period the number of connections is read.
POLLS_PER_PERIOD = 10


class PeersConfig(Protocol):
    """The peers table of the configuration file."""

    name: str
    join: list[str]
    zone: str
    period_ms: int
    expected: int | None
    links: int
    via: dict[str, str]

    @property
    def listen_address(self) -> tuple[str, int]:
        """Host and port to listen at."""
        ...

    @property
    def advertised_address(self) -> str:
        """HOST:PORT at which peers reach this balancer; empty: the address it listens at."""
        ...


def link_limits(links: int, period: int, message: int = 64 << 10) -> RpcLimits:
    """Returns the RPC limits of calls between peers: small messages on few, reused connections."""
    return RpcLimits(
        max_connections=2 * links,
        idle_makes_way=True,
        max_streams=8,
        max_message_bytes=message,
        max_received_bytes=max(1 << 20, 2 * message),
        max_header_bytes=4 << 10,
        max_inbox_messages=2,
        max_outbox_bytes=2 * message,
        ring=8 << 10,
        handshake_timeout=2 * period,
        ping_after=0,
        stall_timeout=4 * period,
        connect_timeout=2 * period,
        close_timeout=50 * MS,
    )


def split(address: str) -> tuple[str, int]:
    """Splits HOST:PORT."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class PeerLinks:
    """Connections to the peers that were called most recently."""

    def __init__(
        self, scheduler: Scheduler, limits: RpcLimits, counters: Counters, max_links: int
    ) -> None:
        self._scheduler, self._limits, self._counters, self._max_links = (
            scheduler,
            limits,
            counters,
            max_links,
        )
        self._links: OrderedDict[str, RpcConnection] = OrderedDict()

    def unary(self, address: str, path: str, request: bytes, until: int) -> bytes:
        """Makes a unary call; blocks until the reply has arrived or the call has failed.

        Raises:
            RpcError: the call failed; RESOURCE_EXHAUSTED if this process has no descriptor left.
        """
        link = self._links.get(address)
        if link is None or link.closed or link.session.going_away:
            link = self._connected(address, until)
            replaced = self._links.pop(address, None)
            if replaced is not None:
                replaced.go_away()
            self._links[address] = link
            while len(self._links) > self._max_links:
                self._links.popitem(last=False)[1].go_away()
        self._links.move_to_end(address)
        call = link.call(path, until)
        try:
            call.send_nowait(request)
            call.half_close()
            reply = call.receive(until)
        except RpcError as problem:
            if problem.code is Code.DEADLINE_EXCEEDED and self._links.get(address) is link:
                # Guards against a connection on which everything is lost: the next call opens a new
                # one.
                del self._links[address]
                link.abort()
            raise
        if reply is None:
            raise RpcError(Code.INTERNAL, "the call ended without a reply")
        return reply

    def _connected(self, address: str, until: int) -> RpcConnection:
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
                raise RpcError(Code.DEADLINE_EXCEEDED, "connect timed out")
        if stream.connect_failed():
            stream.close()
            raise RpcError(Code.UNAVAILABLE, "connect failed")
        self._counters["links to peers"] += 1
        link = RpcConnection(self._scheduler, self._limits, self._counters, stream, address, True)
        self._scheduler.spawn(link.run)
        return link


class Peers:
    """The component of `serve` that takes part in the membership of the fleet."""

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
        """Starts to listen for peers.

        Args:
            process: the process of which this is a component.
            config: the peers table of the configuration file.
            log_event: writes a log line, given as an event and its fields.
            wait_for_recovery: do nothing before `resume`; the caller of that then decides when
                clients are admitted.
            max_message: bytes of the largest message of a peer.
            extra_methods: further RPC methods to serve, by path.
        """
        self._process, self._config, self._log_event = process, config, log_event
        self._scheduler, self._counters = process.scheduler, Counters()
        period = config.period_ms * MS
        limits = link_limits(config.links, period, max_message)
        self._links = PeerLinks(self._scheduler, limits, self._counters, config.links)
        self._server = RpcServer(
            self._scheduler,
            limits,
            self._counters,
            {CALL: unary(self._take_call), STATUS: unary(self._status), FORGET: unary(self._forget)}
            | (extra_methods or {}),
        )
        port = self._server.listen(config.listen_address)
        expected = config.expected or process.configuration.arguments["balancers"]
        self.rejection_reason = ""
        # Not seeded by the configuration: two processes with the same file must draw different
        # instance ids.
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
        """Continues from the recovered state and takes part from now on.

        See `Membership.resume`.
        """
        self.core.resume(incarnation, restart_count, expected)
        self._waits = False

    def call(self, name: str, path: str, request: bytes, until: int) -> bytes:
        """Calls a method of a member for another component; blocks.

        Raises:
            RpcError: the call failed.
        """
        record = self.core.table.get(name)
        if record is None:
            raise RpcError(Code.NOT_FOUND, f"no member named {name[:60]!r}")
        return self._links.unary(
            self._config.via.get(name) or self._config.via.get(record.address) or record.address,
            path,
            request,
            until,
        )

    # Component

    def background_tasks(self) -> Sequence[Callable[[], None]]:
        """Returns the tasks to run."""
        return self._keep_accepting, self._keep_ticking, self._keep_updating

    def on_stop_requested(self) -> None:
        """Does nothing: clients still arrive, so peers are told in `on_clients_drained`."""

    def on_clients_drained(self) -> None:
        """The last client has gone: announces that this balancer leaves."""
        for request_id, name in self.core.leave(self._scheduler.now()):
            self._log_event("leaving", told=name)
        self._left = True
        until = self._scheduler.now() + self._config.period_ms * MS
        while self._under_way and self._scheduler.now() < until:
            self._scheduler.sleep(5 * MS)

    def _keep_accepting(self) -> None:
        self._await_resume()
        self._server.accept_loop()

    def _await_resume(self) -> None:
        while self._waits and not self._left:
            self._scheduler.sleep(self._config.period_ms * MS // (10 * POLLS_PER_PERIOD))

    def _keep_ticking(self) -> None:
        self._await_resume()
        self.core.start()
        while not self._left:
            self._scheduler.wait({}, self.core.tick(self._scheduler.now()))

    def _keep_updating(self) -> None:
        opened = False
        self._await_resume()
        while not self._left:
            self.core.set_connections(self._scheduler.now(), self._process.facade.connection_count)
            if not opened and self.core.admitted:
                # Clients are admitted once a peer has accepted this balancer or none replies, never
                # by a timer alone.
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

    # Host of the membership core

    def send_request(
        self, request_id: int, address: str, name: str, message: Message, until: int
    ) -> None:
        """Calls a peer in a task of its own; fails at once if too many calls are in progress."""
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
        reply: Message | None = None
        try:
            reply = decode(self._links.unary(address, CALL, encode(message), until))
        except (RpcError, MessageDecodeError) as problem:
            self._counters[
                "calls to peers failed "
                f"({problem.code.name if isinstance(problem, RpcError) else 'unreadable'})"
            ] += 1
        finally:
            self._under_way -= 1
        now = self._scheduler.now()
        if reply is None:
            self.core.request_failed(now, request_id)
        else:
            self.core.reply_received(now, request_id, reply)

    def send_reply(self, call_id: int, message: Message) -> None:
        """Hands the reply to the task that serves the peer's call, if it still waits."""
        waiting = self._calls.pop(call_id, None)
        if waiting is not None:
            waiting[1].append(message)
            self._scheduler.wake(waiting[0])

    def member_changed(self, record: MemberRecord, previous: MemberState | None) -> None:
        """Logs the state of a member."""
        self._log_event(
            "member",
            member=record.name,
            address=record.address,
            life=f"{record.instance_id:x}",
            incarnation=record.incarnation,
            standing=_state_name(record),
            was=previous.name.lower() if previous is not None else "unknown",
            by=record.reporter,
        )

    def count_changed(self, count: int) -> None:
        """Logs the number of balancers and passes it on to the facade."""
        self._log_event("count", balancers=count)
        self._process.facade.set_balancer_count(count)

    def name_rejected(self, reason: str) -> None:
        """Ends this process, because another one uses its name."""
        self._log_event("refused", why=reason)
        self.rejection_reason = reason
        self._process.request_stop()

    def log(self, text: str) -> None:
        """Writes a log line of the membership core."""
        self._log_event("peers", what=text)

    # Calls of peers

    def _take_call(self, call: RpcCall, request: bytes) -> bytes:
        try:
            message = decode(request)
        except MessageDecodeError as problem:
            self._counters["calls of peers that can't be read"] += 1
            raise RpcError(Code.INVALID_ARGUMENT, str(problem)) from None
        number, self._next_call = self._next_call, self._next_call + 1
        replies: list[Message] = []
        self._calls[number] = self._scheduler.current, replies
        try:
            self.core.request_received(self._scheduler.now(), number, message)
            until = (
                self._scheduler.now()
                + 4 * self._config.period_ms * MS * MembershipConfig().max_slowdown
            )
            while not replies:
                if self._scheduler.now() >= until or call.ended:
                    raise RpcError(Code.UNAVAILABLE, "nothing to answer in time")
                self._scheduler.wait(
                    {}, until if call.deadline is None else min(until, call.deadline)
                )
        finally:
            self._calls.pop(number, None)
        return encode(replies[0])

    # Calls of operators

    def _status(self, call: RpcCall, request: bytes) -> bytes:
        core = self.core
        rows = [
            {
                "name": record.name,
                "address": record.address,
                "standing": _state_name(record),
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

    def _forget(self, call: RpcCall, request: bytes) -> bytes:
        name = request.decode("utf-8", "replace")
        if not self.core.forget(self._scheduler.now(), name):
            raise RpcError(Code.FAILED_PRECONDITION, f"{name[:60]!r} is not held for dead here")
        self._log_event("forgotten", member=name)
        return b""


def _state_name(record: MemberRecord) -> str:
    """Returns the state as it is written out; a newer peer may send one that is not known here."""
    return (
        MemberState(record.state).name.lower()
        if record.state in list(MemberState)
        else f"unknown ({record.state})"
    )


def call_peer(address: tuple[str, int], path: str, request: bytes, wait: int = 3 * SECOND) -> Any:
    """Makes one unary call to a balancer, for the command line; runs a scheduler of its own.

    Raises:
        RpcError: the call failed.
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
