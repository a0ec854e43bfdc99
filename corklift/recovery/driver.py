"""The component of `serve` that drives the recovery core with a store, peers and clients.

Connects the core to the rest of the process. Makes no decisions, and never delays a login because
of a disk or a peer.
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

STATE_REQUEST, REPLICATE = "/corklift.Peers/Ask", "/corklift.Peers/Tell"
# Bytes of a message; a list of about 15,000 servers fits.
MAX_MESSAGE = 1 << 20
# State requests of peers that are served at the same time; further ones fail, and the peer tries
# another balancer.
MAX_STATE_REQUESTS = 8
# How often per probe period the state of the process is read.
POLLS_PER_PERIOD = 20


class StoreConfig(Protocol):
    """The store table of the configuration file."""

    path: str
    boot: str
    patience_ms: int
    copies: int


def boot_of(path: str) -> str:
    """Returns what identifies this boot of the machine; empty if the system does not provide it."""
    try:
        with open(path, encoding="ascii") as file:
            return file.read(200).strip()
    except (OSError, ValueError):
        return ""


class RecoveryDriver:
    """Drives the recovery core and carries out its actions."""

    def __init__(
        self,
        process: BalancerProcess,
        config: StoreConfig,
        name: str,
        period: int,
        log_event: Callable[..., None],
        with_peers: Callable[[dict[str, Any]], Peers] | None,
        folders: StoreFolders | None = None,
    ) -> None:
        """Creates the core and hooks it into the process.

        Args:
            process: the process of which this is a component.
            config: the store table of the configuration file.
            name: name of this balancer; empty without peers.
            period: probe period of the membership, in ns.
            log_event: writes a log line, given as an event and its fields.
            with_peers: creates the component for peers, given further RPC methods to serve; None:
                no peers are configured.
            folders: where the store's files are; by default, by the configuration.
        """
        self._process, self._log_event, self._config = process, log_event, config
        self._scheduler, self._counters = process.scheduler, Counters()
        self._open_requests, self._rng = 0, Random()
        self._peers = (
            with_peers(
                {
                    STATE_REQUEST: unary(self._serve_state_request),
                    REPLICATE: unary(self._serve_replicate),
                }
            )
            if with_peers
            else None
        )
        arguments = process.configuration.arguments
        self._max_importance = max(workload.importance for workload in arguments["workloads"])
        self._can_reject = arguments["max_retry_after"] > 0
        instance_id = (
            self._peers.core.own_record.instance_id if self._peers else Random().getrandbits(63) | 1
        )
        self._period = period
        now = self._scheduler.now()
        self.core = Recovery(
            self,
            Random(),
            RecoveryConfig(
                period,
                config.patience_ms * MS / period,
                copies=config.copies,
                max_retry_after=arguments["max_retry_after"] or SECOND,
                cold=arguments["cold"],
            ),
            now,
            name=name,
            instance_id=instance_id,
            boot=boot_of(config.boot),
            expected=arguments["balancers"],
            alone=self._peers is None,
        )
        self._store_worker = StoreWorker(
            self._scheduler, folders or StoreFolders(config.path), self._opened
        )
        self._admitted_logins: set[int] = set()
        self._listing: Listing | None = None  # the full list, as last received
        self._reapplying = False  # whether the facade is being given a list that it had before
        self._resumed = False
        self._left = False
        self._stored_incarnation: tuple[int, int] = (0, 0)
        self._next_sizes_at = now
        facade = process.facade
        facade.admission_check, facade.login_finished, facade.recovered_list = (
            self._check_admission,
            self._login_finished,
            self._recovered_list,
        )
        previous_hook = facade.load_reported

        def load_reported(server: int, connections: float) -> None:
            previous_hook(server, connections)
            self.core.server_answered(
                self._scheduler.now(), facade.server_name(server), connections
            )

        facade.load_reported = load_reported
        facade.server_unresponsive = lambda server: self.core.server_unresponsive(
            self._scheduler.now(), facade.server_name(server)
        )
        process.apply_operator_override = self._apply_override
        process.may_serve = lambda: self.core.phase >= RecoveryPhase.OPEN
        process.handover.overrides_stored_elsewhere = True
        process.extra_stats.append(self._stats)

    # Component

    def background_tasks(self) -> Sequence[Callable[[], None]]:
        """Returns the tasks to run."""
        self._store_worker.start()
        tasks = [self._store_worker.run_callbacks, self._keep_driving]
        return [*tasks, *self._peers.background_tasks()] if self._peers else tasks

    def on_stop_requested(self) -> None:
        """Stores that this process was told to stop."""
        self.core.stopping(self._scheduler.now())
        if self._peers:
            self._peers.on_stop_requested()

    def on_clients_drained(self) -> None:
        """The last client has gone: waits for the store and stops."""
        if self._peers:
            self._peers.on_clients_drained()
        self._store_worker.wait_until_idle(min(SECOND, self._period))
        self._left = True
        self._store_worker.stop()

    @property
    def rejection_reason(self) -> str:
        """Why peers rejected this process; empty if they did not."""
        return self._peers.rejection_reason if self._peers else ""

    def _keep_driving(self) -> None:
        """Passes on what has changed in the process, until it stops."""
        facade = self._process.facade
        while not self._left:
            now = self._scheduler.now()
            if self.core.phase is not RecoveryPhase.READ and not self._resumed:
                self._resumed = True
                if self._peers:
                    self._peers.resume(*self.core.next_incarnation, self.core.max_balancers)
            self._update_members(now)
            if self._peers and self._resumed:
                membership = self._peers.core
                if (
                    membership.own_record.incarnation,
                    membership.own_record.restart_count,
                ) != self._stored_incarnation:
                    self._stored_incarnation = (
                        membership.own_record.incarnation,
                        membership.own_record.restart_count,
                    )
                    self.core.own_incarnation_changed(now, *self._stored_incarnation)
                if self.core.phase is RecoveryPhase.FULL:
                    self.core.count_changed(now, membership.count.value)
            if self.core.phase >= RecoveryPhase.OPEN and now >= self._next_sizes_at:
                self._next_sizes_at = now + self._period
                self.core.sizes_changed(now, facade.server_sizes())
            self.core.servers_probed(
                now,
                [facade.server_name(server) for server in facade.ready_servers()],
                facade.all_servers_probed(),
            )
            due = self.core.tick(self._scheduler.now())
            self._scheduler.wait({}, min(due, now + self._period // POLLS_PER_PERIOD))

    def _update_members(self, now: int) -> None:
        """Passes on to the core which members live now, once this process takes part."""
        if self._peers and self._resumed:
            membership = self._peers.core
            self.core.members_changed(
                now, [record.name for record in membership.live_members], membership.admitted
            )

    # Host of the recovery core

    def request_state(self, request_id: int, name: str, message: StateRequest, until: int) -> None:
        """Queries a peer in a task of its own."""
        self._scheduler.spawn(
            self._call,
            name,
            STATE_REQUEST,
            message,
            StateReply,
            until,
            lambda reply: (
                self.core.reply_received(self._scheduler.now(), request_id, reply)
                if reply is not None
                else self.core.request_failed(self._scheduler.now(), request_id)
            ),
        )

    def replicate(self, request_id: int, name: str, message: Replicate, until: int) -> None:
        """Sends facts to a peer in a task of its own."""
        self._scheduler.spawn(
            self._call,
            name,
            REPLICATE,
            message,
            ReplicateReply,
            until,
            lambda reply: self.core.replicate_reply_received(
                self._scheduler.now(), request_id, reply
            ),
        )

    def _call(
        self,
        name: str,
        path: str,
        message: Any,
        reply_type: type,
        until: int,
        callback: Callable[[Any], None],
    ) -> None:
        reply = None
        try:
            reply = self._call_with_retry(name, path, message, reply_type, until)
        except (RpcError, FactDecodeError) as problem:
            self._counters[
                "calls of recovery failed "
                f"({problem.code.name if isinstance(problem, RpcError) else 'unreadable'})"
            ] += 1
        callback(reply)

    def _call_with_retry(
        self, name: str, path: str, message: Any, reply_type: type, until: int
    ) -> Any:
        """Calls a peer, and again after a failure while time is left.

        Guards against connections from before a partition, on each of which the first call is lost.
        """
        assert self._peers is not None
        while True:
            try:
                return decode(
                    reply_type,
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

    def persist(self, write_id: int, facts: tuple[Fact, ...]) -> None:
        """Writes facts to the store."""
        self._store_worker.submit(
            dict(map(encode_fact, facts)),
            lambda sequence, reason: self.core.persisted(
                self._scheduler.now(), write_id, sequence, reason
            ),
        )

    def delete_persisted(self, facts: tuple[Fact, ...]) -> None:
        """Deletes facts from the store."""
        self._store_worker.submit(
            {encode_fact(fact)[0]: None for fact in facts}, lambda sequence, reason: None
        )

    def apply_recovered(self, out_of_service: set[str], restored: set[str]) -> None:
        """Passes operator overrides to the facade."""
        for name in sorted(out_of_service):
            self._process.facade.apply_operator_override(name, True)
        for name in sorted(restored):
            self._process.facade.apply_operator_override(name, False)

    def reapply_list(self) -> None:
        """Gives the facade the list again; before discovery has sent one, the stored one."""
        listing = self._listing
        if listing is None and (stored := self.core.facts.get(LIST)) is not None:
            listing = Listing(
                stored.version[0],
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
                    for line in stored_servers(stored)
                ),
                0,
            )
        if listing is not None:
            self._reapplying = True
            try:
                self._process.facade.apply_listing(Scope.FULL, listing)
            finally:
                self._reapplying = False
        sizes = self.core.facts.get(SIZES)
        if sizes is not None and self.core.phase is not RecoveryPhase.FULL:
            self._process.facade.apply_size_hints(sizes.value)

    def probe_servers(self, span: int) -> None:
        """Probes each server that may serve, at a random time within the span."""
        for server in self._process.facade.ready_servers():
            self._scheduler.spawn(self._probe_after, server, int(self._rng.random() * span))

    def _probe_after(self, server: int, delay: int) -> None:
        self._scheduler.sleep(delay)
        self._process.facade.probe(server)

    def server_start_times(self) -> dict[str, int]:
        """Returns the start time of each server as the decision module knows it."""
        return self._process.facade.server_start_times()

    def phase_changed(self, phase: RecoveryPhase, reason: str) -> None:
        """Logs the phase; from the phase OPEN on, PING is answered."""
        if phase >= RecoveryPhase.OPEN:
            self._process.relay.ready = True
        self._log_event("recovery", step=phase.name.lower(), why=reason)

    def log(self, what: str, **fields: object) -> None:
        """Writes a log line of the recovery core."""
        self._log_event("store", kind=what, **fields)

    # The store

    def _opened(
        self, report: OpenReport | None, items: list[tuple[bytes, bytes]], lost: str, reason: str
    ) -> None:
        """The store has been opened; `report` is None if it can't be read."""
        now = self._scheduler.now()
        if report is None:
            self.core.store_unreadable(now, reason)
            return
        facts = []
        for key, value in items:
            try:
                facts.append(decode_fact(value))
            except FactDecodeError as problem:
                lost = "; ".join(filter(None, (lost, f"{key!r:.80}: {problem}")))
        for cut in report.torn_tails:
            self._log_event(
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

    def _recovered_list(self, scope: Scope, content: Listing) -> Listing:
        """Corrects a list by the recovered facts.

        Servers that are known to be leaving stay so, and start times are adjusted.
        """
        now = self._scheduler.now()
        is_new = scope is not Scope.CACHED and not self._reapplying
        if is_new:
            self._store_list(now, content)
        entries = []
        for entry in content.entries:
            leaving = (
                self.core.update_drain(
                    now,
                    entry.name,
                    entry.started_at,
                    content.version,
                    entry.status is not Status.READY,
                )
                if is_new
                else self.core.facts.is_leaving(entry.name, entry.started_at, content.version)
            )
            if leaving and entry.status is Status.READY:
                self._counters["servers listed as ready that leave"] += 1
                entry = entry._replace(status=Status.DRAINING)
            entries.append(
                entry._replace(
                    started_at=self.core.effective_start(now, entry.name, entry.started_at)
                )
            )
        return content._replace(entries=tuple(entries))

    def _store_list(self, now: int, content: Listing) -> None:
        """Merges a list into the full list, and stores that."""
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
        return (
            facade.importance(login_request) / self._max_importance if self._max_importance else 1.0
        )

    def _check_admission(self, login_request: LoginRequest, number: int) -> Rejection | None:
        """Decides on a login; None: it is admitted."""
        if self.core.phase is RecoveryPhase.FULL:
            return None
        retry_in = self.core.admit_login(self._scheduler.now(), self._importance_of(login_request))
        if retry_in is None:
            if self.core.phase is RecoveryPhase.OPEN:
                self._admitted_logins.add(number)
            return None
        self._counters["logins refused while the door opens"] += 1
        return Rejection(True, retry_in) if self._can_reject else Rejection(False, 0)

    def _login_finished(self, number: int, fulfilled: bool | None) -> None:
        if number in self._admitted_logins:
            self._admitted_logins.remove(number)
            self.core.login_finished(self._scheduler.now(), fulfilled)

    # Operators

    def _apply_override(self, name: str, out_of_service: bool) -> bool:
        """Applies an operator override and replicates it; blocks only the operator's task.

        Returns:
            Whether the server is known.

        Raises:
            IncompleteOperationError: nothing was changed yet, or too few disks store the override.
        """
        until = self._scheduler.now() + int(self.core.config.replication_timeout * self._period)
        while self.core.phase < RecoveryPhase.LOOK:
            # Guards against an override with a lower version than those that the store and the
            # peers still have to provide.
            if self._scheduler.now() >= until:
                raise IncompleteOperationError(
                    AdminResponse(
                        503,
                        "It has not read its disk and heard its peers yet; nothing was changed.\n",
                    )
                )
            self._scheduler.sleep(self._period // POLLS_PER_PERIOD)
        facade = self._process.facade
        if not facade.knows_server(name) and self.core.facts.get("out", name) is None:
            return False
        task, outcomes = self._scheduler.current, []

        def on_outcome(outcome: ReplicationOutcome, copies: int, wanted: int) -> None:
            outcomes.append((outcome, copies, wanted))
            self._scheduler.wake(task)

        # Operators see the present members, so the override is sent to these, and not to those of
        # the last look.
        self._update_members(self._scheduler.now())
        self.core.set_out_of_service(self._scheduler.now(), name, out_of_service, on_outcome)
        while not outcomes:
            self._scheduler.wait({}, self._scheduler.now() + self._period)
        outcome, copies, wanted = outcomes[0]
        self._log_event(
            "word",
            server=name,
            out=out_of_service,
            outcome=outcome.name.lower(),
            kept=copies,
            wanted=wanted,
        )
        if outcome is ReplicationOutcome.PARTLY:
            raise IncompleteOperationError(
                AdminResponse(
                    202,
                    f"Server {name:.80} is {'out' if out_of_service else 'free to serve'} here, "
                    f"but {copies} of {wanted} disks keep this: it may be forgotten in a loss of "
                    "power. Say it again.\n",
                )
            )
        return True

    def _stats(self) -> str:
        """Returns the metrics of the recovery."""
        core = self.core
        return (
            f"app.recovery_step:{int(core.phase)}|g\n"
            f"app.store_behind:{int(core.behind)}|g\n"
            f"app.store_trouble:{int(bool(core.store_error))}|g\n"
            f"app.store_commits:{core.own_marker.sequence}|c\n"
            "app.store_waiting_ms:"
            f"""{
                (self._scheduler.now() - self._store_worker.pending_since) // MS
                if self._store_worker.pending_commits
                else 0
            }"""
            "|g\n"
        )

    # Calls of peers

    def _serve_state_request(self, call: RpcCall, request: bytes) -> bytes:
        if self._open_requests >= MAX_STATE_REQUESTS:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many ask at once")
        self._open_requests += 1
        try:
            message = decode(StateRequest, request)
            assert isinstance(message, StateRequest)
            return encode(self.core.state_requested(self._scheduler.now(), message))
        except FactDecodeError as problem:
            raise RpcError(Code.INVALID_ARGUMENT, str(problem)) from None
        finally:
            self._open_requests -= 1

    def _serve_replicate(self, call: RpcCall, request: bytes) -> bytes:
        try:
            message = decode(Replicate, request)
        except FactDecodeError as problem:
            raise RpcError(Code.INVALID_ARGUMENT, str(problem)) from None
        assert isinstance(message, Replicate)
        task: Task = self._scheduler.current
        replies: list[ReplicateReply] = []

        def on_persisted(reply: ReplicateReply) -> None:
            replies.append(reply)
            self._scheduler.wake(task)

        self.core.replicate_received(self._scheduler.now(), message, on_persisted)
        until = self._scheduler.now() + int(self.core.config.replication_timeout * self._period)
        while not replies and not call.ended and self._scheduler.now() < until:
            self._scheduler.wait({}, until)
        return encode(replies[0] if replies else ReplicateReply(False))
