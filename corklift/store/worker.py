"""A store in a thread of its own: whoever keeps something is called back when it lasts, and no disk delays a tick.

Owns the thread and the queue to it, which holds each key once. Must never call back from the thread, or keep the process from ending
because a disk stalls.
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
from corklift.store.files import Files
from corklift.store.format import Batch, Refused, salvage
from corklift.store.log import InUse, Notes, NotKept, Store

Opened = Callable[[Notes | None, list[tuple[bytes, bytes]], str, str], None]
Kept = Callable[[int, str], None]  # the batch's number, and why it is not kept; empty: it is


class Folders:
    """Where one store after the other lies: a damaged one is left as it is, and the next has what could be read of it."""

    def __init__(self, path: str, kind: Callable[[str], Files] | None = None) -> None:
        self._path, self._kind = path, kind or files.Disk

    def _numbers(self) -> list[int]:
        os.makedirs(self._path, mode=0o700, exist_ok=True)
        return sorted(
            int(name[6:]) for name in os.listdir(self._path) if re.fullmatch(r"store-\d{1,6}", name)
        )

    def newest(self) -> Files:
        return self._kind(os.path.join(self._path, f"store-{max(self._numbers(), default=1)}"))

    def another(self) -> Files:
        return self._kind(os.path.join(self._path, f"store-{max(self._numbers(), default=0) + 1}"))


class Keeper:
    def __init__(self, scheduler: Scheduler, folders: Folders, opened: Opened) -> None:
        """`opened`: once it is, with what a start found, what is kept, what of a damaged one is lost, and why there is none (then
        the notes are None)."""
        self._scheduler, self._folders, self._opened = scheduler, folders, opened
        self._bell = threading.Condition()
        self._next: Batch = {}
        self._calls: list[Kept] = []
        self._over = False
        self._done: deque[Callable[[], None]] = deque()
        self._ends = socket.socketpair()
        for end in self._ends:
            end.setblocking(False)
        self.under_way = 0  # commits that were asked for and not called back yet
        self.since = 0  # when the oldest of them was asked for

    def start(self) -> None:
        threading.Thread(target=self._work, name="store", daemon=True).start()

    def keep(self, batch: Batch, done: Kept) -> None:
        """Later batches of a key take an earlier one's place if that has not gone out; all called back together."""
        if not self.under_way:
            self.since = self._scheduler.now()
        self.under_way += 1
        with self._bell:
            self._next.update(batch)
            self._calls.append(done)
            self._bell.notify()

    def keep_hearing(self) -> None:
        """Calls back, on the scheduler."""
        while not self._over:
            self._scheduler.wait({self._ends[0].fileno(): READ})
            try:
                while self._ends[0].recv(4096):
                    pass
            except BlockingIOError:
                pass
            while self._done:
                self._done.popleft()()

    def settle(self, span: int = SECOND) -> bool:
        """Waits for what was asked for, not for long; returns whether all has come to an end."""
        until = self._scheduler.now() + span
        while self.under_way and self._scheduler.now() < until:
            self._scheduler.sleep(SECOND // 200)
        return not self.under_way

    def stop(self) -> None:
        with self._bell:
            self._over = True
            self._bell.notify()

    # In the thread

    def _tell(self, call: Callable[[], None]) -> None:
        self._done.append(call)
        try:
            self._ends[1].send(b".")
        except BlockingIOError:
            pass  # it is awake already

    def _open(self) -> tuple[Store, Notes, str]:
        there = self._folders.newest()
        try:
            store = Store(there)
            return store, store.notes, ""
        except Refused as problem:
            saved = salvage(there.names(), there.read)
            store = Store(self._folders.another())
            if saved.state and not store.items():
                store.commit([dict(saved.state)])
            # The folder is new, what was read of the old one is not.
            return (
                store,
                store.notes._replace(fresh=not store.items(), sequence=store.sequence),
                "; ".join((str(problem), *saved.lost)),
            )

    def _work(self) -> None:
        store = None
        try:
            store, notes, lost = self._open()
        except (Refused, InUse, NotKept, OSError) as problem:
            why = f"{type(problem).__name__}: {problem}"
            self._tell(lambda: self._opened(None, [], "", why))
        else:
            items = store.items()
            self._tell(lambda: self._opened(notes, items, lost, ""))
        while (
            taken := self._wait(store is not None and store.compact(lambda: bool(self._next)))
        ) is not None:
            batch, calls = taken
            if not calls:
                continue
            number, told = 0, why if store is None else ""
            if store is not None:
                try:
                    number = store.commit([batch])
                except (NotKept, ValueError) as problem:
                    told = f"{type(problem).__name__}: {problem}"
                except Exception as problem:
                    # Guards against callers who wait for ever: the thread goes on, in a segment of its own.
                    store.give_up()
                    told = repr(problem)
            self._answer(calls, number, told)
        if store is not None:
            store.end()

    def _wait(self, more: bool) -> tuple[Batch, list[Kept]] | None:
        """Until there is something to do, or `more` is; None: nothing ever is."""
        with self._bell:
            while not more and not self._calls and not self._over:
                self._bell.wait()
            if self._over and not self._calls:
                return None
            taken = self._next, self._calls
            self._next, self._calls = {}, []
            return taken

    def _answer(self, calls: list[Kept], number: int, why: str) -> None:
        def back() -> None:
            self.under_way -= len(calls)
            self.since = self._scheduler.now()
            for call in calls:
                call(number, why)

        self._tell(back)
