"""What the control service keeps over a restart: its last list and which servers drain, known before any proxy is answered.

Owns the order: a list's word is on the disk before a view follows it, as far as the disk answers soon. Versions of views are made from their
content, so they need no keeping. Must never hold a drain back for a disk that stalls, or offer a server that was told as leaving because a
list of before comes again.
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

WAIT = 100 * MS  # for the disk, before a view follows the list all the same


class PersistentState(NullHost):
    """Drives the recovery's facts, alone: there is nobody to ask."""

    def __init__(
        self,
        scheduler: Scheduler,
        path: str,
        patience: int,
        listed: Callable[[Scope, Listing], None],
        write_event: Callable[..., None],
    ) -> None:
        self._scheduler, self._patience, self._listed, self._write_event = (
            scheduler,
            patience,
            listed,
            write_event,
        )
        self._core = Recovery(
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
        self._known: Listing | None = None  # as it was told last, whole
        self._waits: list[Task] = []
        self._until = 0
        self._open = False
        self._under_way = 0

    def jobs(self) -> list[Callable[[], None]]:
        self._until = self._scheduler.now() + self._patience
        self._store_worker.start()
        return [self._store_worker.run_callbacks, self._be_patient]

    def _be_patient(self) -> None:
        self._scheduler.sleep(self._patience)
        self._go_on()

    def _opened(
        self, report: OpenReport | None, items: list[tuple[bytes, bytes]], lost: str, why: str
    ) -> None:
        now = self._scheduler.now()
        facts = []
        for _, value in items:
            try:
                facts.append(decode_fact(value))
            except FactDecodeError as problem:
                lost = lost or str(problem)
        if report is None:
            self._core.store_unreadable(now, why)
        else:
            self._core.store_loaded(
                now,
                facts,
                Marker(report.store_id, report.sequence),
                report.fresh,
                lost,
                report.write_error,
            )
        kept = self._core.facts.get(LIST)
        if self._known is None and kept is not None:
            entries = tuple(
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
            )
            self._scheduler.spawn(
                self._listed,
                Scope.FULL,
                self._believed(now, Listing(kept.version[0], True, entries, 0), False),
            )
        self._go_on()

    def _go_on(self) -> None:
        self._open = True
        for task in self._waits:
            self._scheduler.wake(task)
        self._waits = []

    def apply_listing(self, scope: Scope, content: Listing) -> None:
        """Discovery tells; blocks its watch until what was kept is known, and then until this is kept, neither for long."""
        while not self._open:
            self._waits.append(self._scheduler.current)
            self._scheduler.wait({}, self._until)
        now = self._scheduler.now()
        believed = self._believed(now, content, True)
        known = (
            {}
            if content.is_full or self._known is None
            else {entry.name: entry for entry in self._known.entries}
        )
        known |= {entry.name: entry for entry in content.entries}
        self._known = Listing(
            content.version,
            True,
            tuple(e for e in known.values() if e.status is not Status.GONE),
            0,
        )
        self._core.list_received(
            now,
            [
                StoredServer(e.name, *e.address, e.zone, e.kind, e.cell, int(e.status), e.weight)
                for e in self._known.entries
            ],
            content.version,
        )
        until = now + WAIT
        while self._under_way and self._scheduler.now() < until:
            self._scheduler.sleep(MS)
        self._listed(scope, believed)

    def _believed(self, now: int, content: Listing, news: bool) -> Listing:
        entries = []
        for entry in content.entries:
            leaves = (
                self._core.update_drain(
                    now,
                    entry.name,
                    entry.started_at,
                    content.version,
                    entry.status is not Status.READY,
                )
                if news
                else self._core.facts.is_leaving(entry.name, entry.started_at, content.version)
            )
            entries.append(
                entry._replace(status=Status.DRAINING)
                if leaves and entry.status is Status.READY
                else entry
            )
        return content._replace(entries=tuple(entries))

    def end(self) -> None:
        self._core.stopping(self._scheduler.now())
        self._store_worker.wait_until_idle(self._patience)
        self._store_worker.stop()

    # Host: there is nobody to ask, and operators speak to discovery

    def persist(self, number: int, facts: tuple[Fact, ...]) -> None:
        self._under_way += 1

        def kept(sequence: int, why: str) -> None:
            self._under_way -= 1
            self._core.persisted(self._scheduler.now(), number, sequence, why)

        self._store_worker.submit(dict(map(encode_fact, facts)), kept)

    def delete_persisted(self, facts: tuple[Fact, ...]) -> None:
        self._store_worker.submit(
            {encode_fact(fact)[0]: None for fact in facts}, lambda sequence, why: None
        )

    def log(self, what: str, **fields: Any) -> None:
        self._write_event("store", kind=what, **fields)
