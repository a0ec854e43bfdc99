"""The part of `serve` by which a balancer keeps what must last, and comes back from a loss: the core, driven by a disk, peers and clients.

Owns the calls between the core and the rest of the process. Must never decide, or hold up a login for a disk or a peer.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from corklift.interface import Scope, Status
from corklift.membership.peers import Peers
from corklift.net.admin import AdminResponse, IncompleteOperationError
from corklift.net.facade import Rejection
from corklift.net.limits import MS, SECOND, Counters
from corklift.net.parsers import Listing, LoginRequest, ServerEntry
from corklift.net.scheduler import Task
from corklift.recovery.core import Recovery, RecoveryConfig, RecoveryPhase, ReplicationOutcome
from corklift.recovery.facts import (
    LIST,
    SIZES,
    Fact,
    FactDecodeError,
    StoredServer,
    decode_fact,
    encode_fact,
    stored_servers,
)
from corklift.recovery.messages import (
    Marker,
    Replicate,
    ReplicateReply,
    StateReply,
    StateRequest,
    decode,
    encode,
)
from corklift.rpc.connection import RpcCall
from corklift.rpc.core import Code, RpcError
from corklift.rpc.server import unary
from corklift.store.log import OpenReport
from corklift.store.worker import StoreFolders, StoreWorker

if TYPE_CHECKING:
    from corklift.service import BalancerProcess

ASK, TELL = "/corklift.Peers/Ask", "/corklift.Peers/Tell"
MESSAGE = 1 << 20  # bytes, of a list of some 15,000 servers
MOST_ASKED = 8  # peers' questions answered at a time; a further asker tries another
LOOKS = 20  # a period


class StoreConfig(Protocol):
    """What the file tells of the store."""

    path: str
    boot: str
    patience_ms: int
    copies: int


def boot_of(path: str) -> str:
    """What tells this boot of the machine from others; empty where the system does not say."""
    try:
        with open(path, encoding="ascii") as file:
            return file.read(200).strip()
    except (OSError, ValueError):
        return ""


class RecoveryDriver:
    def __init__(
        self,
        process: BalancerProcess,
        given: StoreConfig,
        name: str,
        period: int,
        tell: Callable[..., None],
        with_peers: Callable[[dict[str, Any]], Peers] | None,
        folders: StoreFolders | None = None,
    ) -> None:
        """`with_peers`: makes the part with peers, given further calls to answer; None: this balancer is alone."""
        self._process, self._tell, self._given = process, tell, given
        self._scheduler, self._counters = process.scheduler, Counters()
        self._asked_now, self._rng = 0, Random()
        self._peers = (
            with_peers({ASK: unary(self._take_ask), TELL: unary(self._take_tell)})
            if with_peers
            else None
        )
        arguments = process.configuration.arguments
        self._importance = max(workload.importance for workload in arguments["workloads"])
        self._bounces = arguments["max_retry_after"] > 0
        life = (
            self._peers.core.own_record.instance_id if self._peers else Random().getrandbits(63) | 1
        )
        self._period = period
        now = self._scheduler.now()
        self.core = Recovery(
            self,
            Random(),
            RecoveryConfig(
                period,
                given.patience_ms * MS / period,
                copies=given.copies,
                max_retry_after=arguments["max_retry_after"] or SECOND,
                cold=arguments["cold"],
            ),
            now,
            name=name,
            instance_id=life,
            boot=boot_of(given.boot),
            expected=arguments["balancers"],
            alone=self._peers is None,
        )
        self._store_worker = StoreWorker(
            self._scheduler, folders or StoreFolders(given.path), self._opened
        )
        self._let_in: set[int] = set()
        self._listing: Listing | None = None  # all that is listed, as it was told last
        self._again = False  # what is listed is no news
        self._resumed = False
        self._left = False
        self._heard_of: tuple[int, int] = (0, 0)
        self._size_at = now
        facade = process.facade
        facade.admission_check, facade.login_finished, facade.recovered_list = (
            self._door,
            self._went,
            self._believed,
        )
        before = facade.load_reported

        def reported(server: int, connections: float) -> None:
            before(server, connections)
            self.core.server_answered(
                self._scheduler.now(), facade.server_name(server), connections
            )

        facade.load_reported = reported
        facade.server_unresponsive = lambda server: self.core.server_unresponsive(
            self._scheduler.now(), facade.server_name(server)
        )
        process.apply_operator_override = self._word
        process.may_serve = lambda: self.core.phase >= RecoveryPhase.OPEN
        process.handover.overrides_stored_elsewhere = True
        process.extra_stats.append(self._figures)

    # Component

    def background_tasks(self) -> Sequence[Callable[[], None]]:
        self._store_worker.start()
        jobs = [self._store_worker.run_callbacks, self._keep_going]
        return [*jobs, *self._peers.background_tasks()] if self._peers else jobs

    def on_stop_requested(self) -> None:
        self.core.stopping(self._scheduler.now())
        if self._peers:
            self._peers.on_stop_requested()

    def on_clients_drained(self) -> None:
        if self._peers:
            self._peers.on_clients_drained()
        self._store_worker.wait_until_idle(min(SECOND, self._period))
        self._left = True
        self._store_worker.stop()

    @property
    def refused_why(self) -> str:
        return self._peers.refused_why if self._peers else ""

    def _keep_going(self) -> None:
        facade = self._process.facade
        while not self._left:
            now = self._scheduler.now()
            if self.core.phase is not RecoveryPhase.READ and not self._resumed:
                self._resumed = True
                if self._peers:
                    self._peers.resume(*self.core.next_incarnation, self.core.max_balancers)
            if self._peers and self._resumed:
                members = self._peers.core
                self.core.members_changed(
                    now, [word.name for word in members.live_members], members.admitted
                )
                if (
                    members.own_record.incarnation,
                    members.own_record.restart_count,
                ) != self._heard_of:
                    self._heard_of = (
                        members.own_record.incarnation,
                        members.own_record.restart_count,
                    )
                    self.core.own_incarnation_changed(now, *self._heard_of)
                if self.core.phase is RecoveryPhase.FULL:
                    self.core.count_changed(now, members.count.value)
            if self.core.phase >= RecoveryPhase.OPEN and now >= self._size_at:
                self._size_at = now + self._period
                self.core.sizes_changed(now, facade.server_sizes())
            self.core.servers_probed(
                now,
                [facade.server_name(server) for server in facade.ready_servers()],
                facade.all_servers_probed(),
            )
            due = self.core.tick(self._scheduler.now())
            self._scheduler.wait({}, min(due, now + self._period // LOOKS))

    # What the core asks for

    def request_state(self, number: int, name: str, message: StateRequest, until: int) -> None:
        self._scheduler.spawn(
            self._call,
            name,
            ASK,
            message,
            StateReply,
            until,
            lambda found: (
                self.core.reply_received(self._scheduler.now(), number, found)
                if found is not None
                else self.core.request_failed(self._scheduler.now(), number)
            ),
        )

    def replicate(self, number: int, name: str, message: Replicate, until: int) -> None:
        self._scheduler.spawn(
            self._call,
            name,
            TELL,
            message,
            ReplicateReply,
            until,
            lambda found: self.core.replicate_reply_received(self._scheduler.now(), number, found),
        )

    def _call(
        self,
        name: str,
        path: str,
        message: Any,
        form: type,
        until: int,
        done: Callable[[Any], None],
    ) -> None:
        found = None
        try:
            found = self._answer(name, path, message, form, until)
        except (RpcError, FactDecodeError) as problem:
            self._counters[
                f"calls of recovery failed ({problem.code.name if isinstance(problem, RpcError) else 'unreadable'})"
            ] += 1
        done(found)

    def _answer(self, name: str, path: str, message: Any, form: type, until: int) -> Any:
        """Tried again while there is time. Guards against kept links of before a partition, which swallow the first call each."""
        assert self._peers is not None
        while True:
            try:
                return decode(
                    form,
                    self._peers.call(
                        name,
                        path,
                        encode(message),
                        min(until, self._scheduler.now() + 2 * self._period),
                    ),
                )
            except RpcError:
                if self._scheduler.now() + self._period // 4 >= until:
                    raise
                self._scheduler.sleep(self._period // 8)

    def persist(self, number: int, facts: tuple[Fact, ...]) -> None:
        self._store_worker.submit(
            dict(map(encode_fact, facts)),
            lambda sequence, why: self.core.persisted(self._scheduler.now(), number, sequence, why),
        )

    def delete_persisted(self, facts: tuple[Fact, ...]) -> None:
        self._store_worker.submit(
            {encode_fact(fact)[0]: None for fact in facts}, lambda sequence, why: None
        )

    def apply_recovered(self, out: set[str], put_back: set[str]) -> None:
        for name in sorted(out):
            self._process.facade.apply_operator_override(name, True)
        for name in sorted(put_back):
            self._process.facade.apply_operator_override(name, False)

    def reapply_list(self) -> None:
        """The list anew, as it is to be believed now; before discovery has told one, the one that was kept."""
        listing = self._listing
        if listing is None and (kept := self.core.facts.get(LIST)) is not None:
            listing = Listing(
                kept.version[0],
                True,
                tuple(
                    ServerEntry(
                        line.name,
                        (line.host, line.port),
                        line.zone,
                        line.kind,
                        line.cell,
                        Status(line.status),
                        line.weight,
                        0,
                    )
                    for line in stored_servers(kept)
                ),
                0,
            )
        if listing is not None:
            self._again = True
            try:
                self._process.facade.apply_listing(Scope.FULL, listing)
            finally:
                self._again = False
        sizes = self.core.facts.get(SIZES)
        if sizes is not None and self.core.phase is not RecoveryPhase.FULL:
            self._process.facade.apply_size_hints(sizes.value)

    def probe_servers(self, span: int) -> None:
        for server in self._process.facade.ready_servers():
            self._scheduler.spawn(self._look, server, int(self._rng.random() * span))

    def _look(self, server: int, wait: int) -> None:
        self._scheduler.sleep(wait)
        self._process.facade.probe(server)

    def server_start_times(self) -> dict[str, int]:
        return self._process.facade.server_start_times()

    def phase_changed(self, step: RecoveryPhase, why: str) -> None:
        if step >= RecoveryPhase.OPEN:
            self._process.relay.ready = True  # PING is answered: it serves
        self._tell("recovery", step=step.name.lower(), why=why)

    def log(self, what: str, **fields: object) -> None:
        self._tell("store", kind=what, **fields)

    # The disk

    def _opened(
        self, report: OpenReport | None, items: list[tuple[bytes, bytes]], lost: str, why: str
    ) -> None:
        now = self._scheduler.now()
        if report is None:
            self.core.store_unreadable(now, why)
            return
        facts = []
        for key, value in items:
            try:
                facts.append(decode_fact(value))
            except FactDecodeError as problem:
                lost = "; ".join(filter(None, (lost, f"{key!r:.80}: {problem}")))
        for cut in report.torn_tails:
            self._tell(
                "store",
                kind="a torn end is left out",
                file=cut.name,
                offset=cut.offset,
                length=cut.length,
            )
        self.core.store_loaded(
            now,
            facts,
            Marker(report.store_id, report.sequence),
            report.fresh,
            lost,
            report.write_error,
        )

    # The list

    def _believed(self, scope: Scope, content: Listing) -> Listing:
        """What is told of servers, as it is believed: one held for leaving stays so, and none is older than it showed."""
        now = self._scheduler.now()
        news = scope is not Scope.CACHED and not self._again
        if news:
            self._remember(now, content)
        entries = []
        for entry in content.entries:
            leaves = (
                self.core.update_drain(
                    now,
                    entry.name,
                    entry.started_at,
                    content.version,
                    entry.status is not Status.READY,
                )
                if news
                else self.core.facts.is_leaving(entry.name, entry.started_at, content.version)
            )
            if leaves and entry.status is Status.READY:
                self._counters["servers listed as ready that leave"] += 1
                entry = entry._replace(status=Status.DRAINING)
            entries.append(
                entry._replace(
                    started_at=self.core.effective_start(now, entry.name, entry.started_at)
                )
            )
        return content._replace(entries=tuple(entries))

    def _remember(self, now: int, content: Listing) -> None:
        known = (
            {}
            if content.is_full or self._listing is None
            else {entry.name: entry for entry in self._listing.entries}
        )
        known |= {entry.name: entry for entry in content.entries}
        known = {name: entry for name, entry in known.items() if entry.status is not Status.GONE}
        self._listing = Listing(content.version, True, tuple(known.values()), 0)
        if content.is_full or len(known) > 0:
            self.core.list_received(
                now,
                [
                    StoredServer(
                        entry.name,
                        *entry.address,
                        entry.zone,
                        entry.kind,
                        entry.cell,
                        int(entry.status),
                        entry.weight,
                    )
                    for entry in known.values()
                ],
                content.version,
            )

    # Clients

    def _importance_of(self, login_request: LoginRequest) -> float:
        facade = self._process.facade
        return facade.importance(login_request) / self._importance if self._importance else 1.0

    def _door(self, login_request: LoginRequest, number: int) -> Rejection | None:
        if self.core.phase is RecoveryPhase.FULL:
            return None
        wait = self.core.admit_login(self._scheduler.now(), self._importance_of(login_request))
        if wait is None:
            if self.core.phase is RecoveryPhase.OPEN:
                self._let_in.add(number)
            return None
        self._counters["logins refused while the door opens"] += 1
        return Rejection(True, wait) if self._bounces else Rejection(False, 0)

    def _went(self, number: int, up: bool | None) -> None:
        if number in self._let_in:
            self._let_in.remove(number)
            self.core.login_finished(self._scheduler.now(), up)

    # Operators

    def _word(self, name: str, out: bool) -> bool:
        """Blocks the operator's task alone."""
        until = self._scheduler.now() + int(self.core.config.replication_timeout * self._period)
        while self.core.phase < RecoveryPhase.LOOK:
            # Guards against a word that is numbered below what the disk and peers are about to tell.
            if self._scheduler.now() >= until:
                raise IncompleteOperationError(
                    AdminResponse(
                        503,
                        "It has not read its disk and heard its peers yet; nothing was changed.\n",
                    )
                )
            self._scheduler.sleep(self._period // LOOKS)
        facade = self._process.facade
        if not facade.knows_server(name) and self.core.facts.get("out", name) is None:
            return False
        task, found = self._scheduler.current, []

        def done(outcome: ReplicationOutcome, kept: int, wanted: int) -> None:
            found.append((outcome, kept, wanted))
            self._scheduler.wake(task)

        self.core.set_out_of_service(self._scheduler.now(), name, out, done)
        while not found:
            self._scheduler.wait({}, self._scheduler.now() + self._period)
        outcome, kept, wanted = found[0]
        self._tell(
            "word", server=name, out=out, outcome=outcome.name.lower(), kept=kept, wanted=wanted
        )
        if outcome is ReplicationOutcome.PARTLY:
            raise IncompleteOperationError(
                AdminResponse(
                    202,
                    f"Server {name:.80} is {'out' if out else 'free to serve'} here, but {kept} of {wanted} disks keep "
                    "this: it may be forgotten in a loss of power. Say it again.\n",
                )
            )
        return True

    def _figures(self) -> str:
        core = self.core
        return (
            f"app.recovery_step:{int(core.phase)}|g\napp.store_behind:{int(core.store_behind)}|g\napp.store_trouble:{int(bool(core.store_error))}|g\n"
            f"app.store_commits:{core.own_marker.sequence}|c\napp.store_waiting_ms:"
            f"{(self._scheduler.now() - self._store_worker.pending_since) // MS if self._store_worker.pending_commits else 0}|g\n"
        )

    # Calls that come in

    def _take_ask(self, call: RpcCall, request: bytes) -> bytes:
        if self._asked_now >= MOST_ASKED:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many ask at once")
        self._asked_now += 1
        try:
            ask = decode(StateRequest, request)
            assert isinstance(ask, StateRequest)
            return encode(self.core.state_requested(self._scheduler.now(), ask))
        except FactDecodeError as problem:
            raise RpcError(Code.INVALID_ARGUMENT, str(problem)) from None
        finally:
            self._asked_now -= 1

    def _take_tell(self, call: RpcCall, request: bytes) -> bytes:
        try:
            tell = decode(Replicate, request)
        except FactDecodeError as problem:
            raise RpcError(Code.INVALID_ARGUMENT, str(problem)) from None
        assert isinstance(tell, Replicate)
        task: Task = self._scheduler.current
        found: list[ReplicateReply] = []

        def reply(told: ReplicateReply) -> None:
            found.append(told)
            self._scheduler.wake(task)

        self.core.replicate_received(self._scheduler.now(), tell, reply)
        until = self._scheduler.now() + int(self.core.config.replication_timeout * self._period)
        while not found and not call.ended and self._scheduler.now() < until:
            self._scheduler.wait({}, until)
        return encode(found[0] if found else ReplicateReply(False))
