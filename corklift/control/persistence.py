"""Persists the server list and the drains of the control service over a restart.

After a restart, the last list is known before any proxy is answered. A list update is written to
disk before a snapshot follows it, unless the disk is slow: a stalled disk must never hold back a
drain. A server that drained must never be offered again because discovery returns an older list.
Resource versions are hashes of the content and need no storage.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from corklift.interface import Scope, Status
from corklift.net.parsers import Listing, ServerEntry
from corklift.net.scheduler import Scheduler, Task
from corklift.recovery.core import NullHost, Recovery, RecoveryConfig
from corklift.recovery.facts import (
    LIST,
    Fact,
    FactDecodeError,
    StoredServer,
    decode_fact,
    encode_fact,
    stored_servers,
)
from corklift.recovery.messages import Marker
from corklift.rpc.core import MS
from corklift.store.log import OpenReport
from corklift.store.worker import StoreFolders, StoreWorker

WRITE_TIMEOUT = 100 * MS  # then a snapshot follows the list although it is not on disk


class PersistentState(NullHost):
    """Drives the recovery of a single process, which has no peers to ask."""

    def __init__(
        self,
        scheduler: Scheduler,
        path: str,
        disk_timeout: int,
        listed: Callable[[Scope, Listing], None],
        write_event: Callable[..., None],
    ) -> None:
        self._scheduler, self._disk_timeout, self._forward_list, self._write_event = (
            scheduler,
            disk_timeout,
            listed,
            write_event,
        )
        self._recovery = Recovery(
            self,
            Random(),
            RecoveryConfig(),
            scheduler.now(),
            name="control",
            instance_id=1,
            boot="",
            expected=1,
            alone=True,
        )
        self._store_worker = StoreWorker(scheduler, StoreFolders(path), self._opened)
        self._full_list: Listing | None = None  # as last received from discovery, deltas applied
        self._waiting_tasks: list[Task] = []
        self._open_deadline = 0
        self._open = False
        self._pending_writes = 0

    def jobs(self) -> list[Callable[[], None]]:
        self._open_deadline = self._scheduler.now() + self._disk_timeout
        self._store_worker.start()
        return [self._store_worker.run_callbacks, self._limit_opening]

    def _limit_opening(self) -> None:
        self._scheduler.sleep(self._disk_timeout)
        self._finish_opening()

    def _opened(
        self, report: OpenReport | None, items: list[tuple[bytes, bytes]], lost: str, why: str
    ) -> None:
        now = self._scheduler.now()
        facts = []
        for _, value in items:
            try:
                facts.append(decode_fact(value))
            except FactDecodeError as error:
                lost = lost or str(error)
        if report is None:
            self._recovery.store_unreadable(now, why)
        else:
            self._recovery.store_loaded(
                now,
                facts,
                Marker(report.store_id, report.sequence),
                report.fresh,
                lost,
                report.write_error,
            )
        stored_list = self._recovery.facts.get(LIST)
        if self._full_list is None and stored_list is not None:
            entries = tuple(
                ServerEntry(
                    server.name,
                    (server.host, server.port),
                    server.zone,
                    server.kind,
                    server.cell,
                    Status(server.status),
                    server.weight,
                    0,
                )
                for server in stored_servers(stored_list)
            )
            self._scheduler.spawn(
                self._forward_list,
                Scope.FULL,
                self._apply_known_drains(
                    now, Listing(stored_list.version[0], True, entries, 0), False
                ),
            )
        self._finish_opening()

    def _finish_opening(self) -> None:
        self._open = True
        for task in self._waiting_tasks:
            self._scheduler.wake(task)
        self._waiting_tasks = []

    def apply_listing(self, scope: Scope, content: Listing) -> None:
        """Takes an update of the list from discovery, persists it and passes it on.

        Blocks the watch until the stored state is known, and then until the update is on disk, both
        for a limited time.
        """
        while not self._open:
            self._waiting_tasks.append(self._scheduler.current)
            self._scheduler.wait({}, self._open_deadline)
        now = self._scheduler.now()
        checked = self._apply_known_drains(now, content, True)
        known = (
            {}
            if content.is_full or self._full_list is None
            else {entry.name: entry for entry in self._full_list.entries}
        )
        known |= {entry.name: entry for entry in content.entries}
        self._full_list = Listing(
            content.version,
            True,
            tuple(e for e in known.values() if e.status is not Status.GONE),
            0,
        )
        self._recovery.list_received(
            now,
            [
                StoredServer(e.name, *e.address, e.zone, e.kind, e.cell, int(e.status), e.weight)
                for e in self._full_list.entries
            ],
            content.version,
        )
        deadline = now + WRITE_TIMEOUT
        while self._pending_writes and self._scheduler.now() < deadline:
            self._scheduler.sleep(MS)
        self._forward_list(scope, checked)

    def _apply_known_drains(self, now: int, content: Listing, from_discovery: bool) -> Listing:
        """Marks as draining each server whose drain is known although this list says ready."""
        entries = []
        for entry in content.entries:
            drains = (
                self._recovery.update_drain(
                    now,
                    entry.name,
                    entry.started_at,
                    content.version,
                    entry.status is not Status.READY,
                )
                if from_discovery
                else self._recovery.facts.is_leaving(entry.name, entry.started_at, content.version)
            )
            entries.append(
                entry._replace(status=Status.DRAINING)
                if drains and entry.status is Status.READY
                else entry
            )
        return content._replace(entries=tuple(entries))

    def close(self) -> None:
        self._recovery.stopping(self._scheduler.now())
        self._store_worker.wait_until_idle(self._disk_timeout)
        self._store_worker.stop()

    # Host of the recovery: there are no peers, and operators act on discovery alone

    def persist(self, number: int, facts: tuple[Fact, ...]) -> None:
        self._pending_writes += 1

        def on_written(sequence: int, why: str) -> None:
            self._pending_writes -= 1
            self._recovery.persisted(self._scheduler.now(), number, sequence, why)

        self._store_worker.submit(dict(map(encode_fact, facts)), on_written)

    def delete_persisted(self, facts: tuple[Fact, ...]) -> None:
        self._store_worker.submit(
            {encode_fact(fact)[0]: None for fact in facts}, lambda sequence, why: None
        )

    def log(self, what: str, **fields: Any) -> None:
        self._write_event("store", kind=what, **fields)
