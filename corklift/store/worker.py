"""Runs a store in its own thread, so that a slow disk does not block the scheduler.

The worker owns the thread and the queue to it, which holds each key once. Callbacks run on the
scheduler, never in the thread. The thread is a daemon: a stalled disk does not keep the process
from ending.
"""

from __future__ import annotations

import os
import re
import socket
import threading
from collections import deque
from collections.abc import Callable

from corklift.net.limits import SECOND
from corklift.net.scheduler import READ, Scheduler
from corklift.store import files
from corklift.store.files import FileLayer
from corklift.store.format import Batch, Refused, salvage
from corklift.store.log import InUse, NotKept, OpenReport, Store

# Called with the report, the stored items, what was lost of a damaged store, and why there is no
# store; in that last case the report is None.
OpenCallback = Callable[[OpenReport | None, list[tuple[bytes, bytes]], str, str], None]
# Called with the sequence number of the commit, and why it failed; empty: it did not.
CommitCallback = Callable[[int, str], None]


class StoreFolders:
    """The numbered store folders below a path; the highest number is in use.

    A damaged store is left as it is, and its readable part is copied into the next folder.
    """

    def __init__(self, path: str, open_folder: Callable[[str], FileLayer] | None = None) -> None:
        self._path, self._open_folder = path, open_folder or files.DiskFiles

    def _numbers(self) -> list[int]:
        os.makedirs(self._path, mode=0o700, exist_ok=True)
        return sorted(
            int(name[6:]) for name in os.listdir(self._path) if re.fullmatch(r"store-\d{1,6}", name)
        )

    def newest(self) -> FileLayer:
        return self._open_folder(
            os.path.join(self._path, f"store-{max(self._numbers(), default=1)}")
        )

    def create_next(self) -> FileLayer:
        return self._open_folder(
            os.path.join(self._path, f"store-{max(self._numbers(), default=0) + 1}")
        )


class StoreWorker:
    """The asynchronous interface of a store."""

    def __init__(self, scheduler: Scheduler, folders: StoreFolders, on_open: OpenCallback) -> None:
        """Prepares the worker; `on_open` is called once the store is open or can't be opened."""
        self._scheduler, self._folders, self._on_open = scheduler, folders, on_open
        self._condition = threading.Condition()
        self._next_batch: Batch = {}
        self._next_callbacks: list[CommitCallback] = []
        self._stopping = False
        self._completions: deque[Callable[[], None]] = deque()
        self._wakeup_sockets = socket.socketpair()
        for end in self._wakeup_sockets:
            end.setblocking(False)
        self.pending_commits = 0  # submitted and not called back yet
        self.pending_since = 0  # when the oldest was submitted, or the last commit completed

    def start(self) -> None:
        threading.Thread(target=self._run_thread, name="store", daemon=True).start()

    def submit(self, batch: Batch, callback: CommitCallback) -> None:
        """Queues a batch for the next commit, and its callback, which runs on the scheduler.

        Batches that are queued together are committed as one; the last value of a key counts.
        """
        if not self.pending_commits:
            self.pending_since = self._scheduler.now()
        self.pending_commits += 1
        with self._condition:
            self._next_batch.update(batch)
            self._next_callbacks.append(callback)
            self._condition.notify()

    def run_callbacks(self) -> None:
        """Runs the callbacks as their commits complete; this is a task of the scheduler."""
        while not self._stopping:
            self._scheduler.wait({self._wakeup_sockets[0].fileno(): READ})
            try:
                while self._wakeup_sockets[0].recv(4096):
                    pass
            except BlockingIOError:
                pass
            while self._completions:
                self._completions.popleft()()

    def wait_until_idle(self, timeout: int = SECOND) -> bool:
        """Waits until no commit is pending, up to the timeout in ns; returns whether none is."""
        until = self._scheduler.now() + timeout
        while self.pending_commits and self._scheduler.now() < until:
            self._scheduler.sleep(SECOND // 200)
        return not self.pending_commits

    def stop(self) -> None:
        with self._condition:
            self._stopping = True
            self._condition.notify()

    # The following methods run in the thread

    def _run_on_scheduler(self, call: Callable[[], None]) -> None:
        self._completions.append(call)
        try:
            self._wakeup_sockets[1].send(b".")
        except BlockingIOError:
            pass  # a wake-up is already pending

    def _open(self) -> tuple[Store, OpenReport, str]:
        folder = self._folders.newest()
        try:
            store = Store(folder)
            return store, store.open_report, ""
        except Refused as problem:
            salvaged = salvage(folder.names(), folder.read)
            store = Store(self._folders.create_next())
            if salvaged.state and not store.items():
                store.commit([dict(salvaged.state)])
            # The folder is new, but the state salvaged from the old one is not.
            return (
                store,
                store.open_report._replace(fresh=not store.items(), sequence=store.sequence),
                "; ".join((str(problem), *salvaged.losses)),
            )

    def _run_thread(self) -> None:
        store = None
        try:
            store, report, losses = self._open()
        except (Refused, InUse, NotKept, OSError) as problem:
            open_error = f"{type(problem).__name__}: {problem}"
            self._run_on_scheduler(lambda: self._on_open(None, [], "", open_error))
        else:
            items = store.items()
            self._run_on_scheduler(lambda: self._on_open(report, items, losses, ""))
        while (
            queued := self._take_queued(
                store is not None and store.compact(lambda: bool(self._next_batch))
            )
        ) is not None:
            batch, callbacks = queued
            if not callbacks:
                continue
            number, commit_error = 0, open_error if store is None else ""
            if store is not None:
                try:
                    number = store.commit([batch])
                except (NotKept, ValueError) as problem:
                    commit_error = f"{type(problem).__name__}: {problem}"
                except Exception as problem:
                    # The thread must go on, in a new segment: otherwise callers would wait forever.
                    store.abandon_segments()
                    commit_error = repr(problem)
            self._complete(callbacks, number, commit_error)
        if store is not None:
            store.close()

    def _take_queued(self, compaction_pending: bool) -> tuple[Batch, list[CommitCallback]] | None:
        """Takes what is queued, and waits for something unless a compaction is pending.

        Returns None once the worker is stopped and nothing is queued.
        """
        with self._condition:
            while not compaction_pending and not self._next_callbacks and not self._stopping:
                self._condition.wait()
            if self._stopping and not self._next_callbacks:
                return None
            queued = self._next_batch, self._next_callbacks
            self._next_batch, self._next_callbacks = {}, []
            return queued

    def _complete(self, callbacks: list[CommitCallback], number: int, error: str) -> None:
        def call_back() -> None:
            self.pending_commits -= len(callbacks)
            self.pending_since = self._scheduler.now()
            for callback in callbacks:
                callback(number, error)

        self._run_on_scheduler(call_back)
