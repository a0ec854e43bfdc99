"""Greenlets over select.poll, timers and signals.

Owns the poll object, the order in which tasks run and the one clock. It alone touches poll. A task that raises
ends alone: that is counted and told. Must never know what a task is for, and never run a task from inside
another: whoever is woken runs in the next round.
"""

from __future__ import annotations

import heapq
import select
import signal
import socket
import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

from greenlet import getcurrent, greenlet

READ, WRITE, READ_CLOSED = select.POLLIN, select.POLLOUT, select.POLLRDHUP
ERROR_EVENTS = select.POLLERR | select.POLLHUP


def wall_clock() -> Callable[[], int]:
    """Unix time in ns that never jumps: what the list says of servers' starts is Unix time."""
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset


class Task:
    """One greenlet and what it waits for."""

    __slots__ = ("_run", "fds", "got", "turn", "waits", "woken", "done", "problem")

    def __init__(self, run: Callable[[], None], hub: greenlet | None) -> None:
        # Guards against an end that goes on in whichever task spawned this one: a greenlet ends into its parent.
        self._run = greenlet(run, hub)
        self.fds: dict[int, int] = {}
        self.got: dict[int, int] = {}
        self.turn = 0  # of its waits; a timer of an earlier one is void
        self.waits = self.woken = self.done = False
        self.problem: Exception | None = None  # raised in it by its next wait

    def resume(self) -> None:
        self._run.switch()


class Scheduler:
    def __init__(
        self, now: Callable[[], int], failed: Callable[[str], None], poller: Any = None
    ) -> None:
        self.now = now
        self._failed = failed
        self._poll = poller or select.poll()
        self._ready: deque[Task] = deque()
        self._by_fd: dict[int, Task] = {}
        self._timers: list[tuple[int, int, Task, int]] = []
        self._timer_number = 0
        self._current: Task | None = None
        self._hub: greenlet | None = None
        self._stopped = False
        self._signals: dict[int, Callable[[], None]] = {}
        self._arrived: deque[int] = deque()
        self._bell: tuple[socket.socket, socket.socket] | None = None

    @property
    def current(self) -> Task:
        assert self._current is not None, "only a task may wait"
        return self._current

    def spawn(self, run: Callable[..., None], *arguments: Any) -> Task:
        def guarded() -> None:
            try:
                run(*arguments)
            except Exception:  # ends this task alone; its own finally clauses have run
                self._failed(traceback.format_exc(limit=-4))
            task.done = True

        task = Task(guarded, self._hub)
        self._ready.append(task)
        return task

    def wait(self, fds: dict[int, int], until: int | None = None) -> dict[int, int]:
        """Blocks the calling task until a descriptor is ready, the time has come, or it is woken.

        Returns what is ready; nothing after a wake-up or when the time has come.
        """
        task = self.current
        if task.woken or task.problem:
            task.woken = False
            self._raise(task)
            return {}
        task.turn += 1
        task.fds, task.got, task.waits = fds, {}, True
        for fd, mask in fds.items():
            self._by_fd[fd] = task
            self._poll.register(fd, mask)
        if until is not None:
            self._timer_number += 1
            heapq.heappush(self._timers, (until, self._timer_number, task, task.turn))
        assert self._hub is not None
        self._hub.switch()
        self._raise(task)
        return task.got

    @staticmethod
    def _raise(task: Task) -> None:
        if task.problem is not None:
            problem, task.problem = task.problem, None
            raise problem

    def sleep(self, span: int) -> None:
        until = self.now() + span
        while self.now() < until:
            self.wait({}, until)

    def wake(self, task: Task) -> None:
        if task.waits:
            self._release(task)
        else:
            task.woken = True

    def interrupt(self, task: Task, problem: Exception) -> None:
        """Raises this in the task, out of whatever it waits for."""
        task.problem = problem
        self.wake(task)

    def on_signal(self, number: int, run: Callable[[], None]) -> None:
        """Runs this between two tasks when the signal has come; it must not block."""
        if self._bell is None:
            self._bell = socket.socketpair()
            for side in self._bell:
                side.setblocking(False)
            signal.set_wakeup_fd(self._bell[1].fileno(), warn_on_full_buffer=False)
            self._poll.register(self._bell[0].fileno(), READ)
        self._signals[number] = run
        signal.signal(number, lambda number, _: self._arrived.append(number))

    def stop(self) -> None:
        self._stopped = True

    def run(self) -> None:
        self._hub = getcurrent()
        while not self._stopped:
            self._round()

    def _round(self) -> None:
        for _ in range(len(self._ready)):
            task = self._ready.popleft()
            self._current = task
            task.resume()
            self._current = None
            if self._stopped:
                return
        for fd, events in self._poll.poll(self._pause()):
            task = self._by_fd.get(fd)
            if task is not None:
                task.got[fd] = events
                if task.waits:
                    task.waits = False
                    self._ready.append(task)
        for task in self._ready:
            if task.fds:
                self._unregister(task)
        if self._arrived:
            self._hear()
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, waiter, turn = heapq.heappop(self._timers)
            if waiter.waits and waiter.turn == turn:
                self._release(waiter)
        # Guards against growth with time: most timers are void long before they are due.
        if len(self._timers) > 1000 and len(self._timers) > 4 * len(self._by_fd) + 1000:
            self._timers = [
                entry for entry in self._timers if entry[2].waits and entry[2].turn == entry[3]
            ]
            heapq.heapify(self._timers)

    def _pause(self) -> int | None:
        """Milliseconds that poll may wait, rounded up so that a timer is due when it returns."""
        if self._ready or self._arrived:
            return 0
        if not self._timers:
            return None
        return max(0, -((self.now() - self._timers[0][0]) // 1_000_000))

    def _release(self, task: Task) -> None:
        task.waits = False
        self._unregister(task)
        self._ready.append(task)

    def _unregister(self, task: Task) -> None:
        for fd in task.fds:
            del self._by_fd[fd]
            self._poll.unregister(fd)
        task.fds = {}

    def _hear(self) -> None:
        assert self._bell is not None
        try:
            while self._bell[0].recv(512):
                pass
        except BlockingIOError:
            pass
        while self._arrived:
            try:
                self._signals[self._arrived.popleft()]()
            except (
                Exception
            ):  # Guards against a signal whose handling fails and ends all connections.
                self._failed(traceback.format_exc(limit=-4))
