"""A cooperative scheduler: greenlet tasks that wait for descriptors, timers and signals.

The scheduler owns the clock and is the only user of poll. A task that raises ends alone: its
traceback goes to the error callback. A task never resumes another one directly: a task that is
woken runs in the next round.
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
RESET = select.POLLERR
ERROR_EVENTS = select.POLLERR | select.POLLHUP


def wall_clock() -> Callable[[], int]:
    """Returns a clock of Unix time in ns that never jumps.

    It must be Unix time because the server list gives the start times of servers as such.
    """
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset


class Task:
    """A greenlet and what it waits for."""

    __slots__ = (
        "_greenlet",
        "fds",
        "ready_events",
        "wait_number",
        "is_waiting",
        "is_woken",
        "done",
        "pending_exception",
    )

    def __init__(self, run: Callable[[], None], hub: greenlet | None) -> None:
        # The hub is the parent because a greenlet that ends switches to its parent, by default the
        # greenlet that created it: that is, to whichever task spawned this one.
        self._greenlet = greenlet(run, hub)
        self.fds: dict[int, int] = {}
        self.ready_events: dict[int, int] = {}
        self.wait_number = 0  # counts the waits; a timer of an earlier wait is void
        self.is_waiting = self.is_woken = self.done = False
        self.pending_exception: Exception | None = None  # raised by the task's next wait

    def resume(self) -> None:
        self._greenlet.switch()


class Scheduler:
    """Runs tasks one at a time, each until it waits."""

    def __init__(
        self, now: Callable[[], int], on_task_error: Callable[[str], None], poller: Any = None
    ) -> None:
        self.now = now
        self._on_task_error = on_task_error
        self._poll = poller or select.poll()
        self._ready: deque[Task] = deque()
        self._by_fd: dict[int, Task] = {}
        # Deadline, serial number to break ties, task, number of the wait that set the timer.
        self._timers: list[tuple[int, int, Task, int]] = []
        self._timer_number = 0
        self._current: Task | None = None
        self._hub: greenlet | None = None
        self._stopped = False
        self._signal_handlers: dict[int, Callable[[], None]] = {}
        self._pending_signals: deque[int] = deque()
        self._signal_sockets: tuple[socket.socket, socket.socket] | None = None

    @property
    def current(self) -> Task:
        assert self._current is not None, "only a task can wait"
        return self._current

    def spawn(self, run: Callable[..., None], *arguments: Any) -> Task:
        """Creates a task that starts in the next round."""

        def guarded() -> None:
            try:
                run(*arguments)
            except Exception:  # ends this task alone; its own finally clauses have run
                self._on_task_error(traceback.format_exc(limit=-4))
            task.done = True

        task = Task(guarded, self._hub)
        self._ready.append(task)
        return task

    def wait(self, fds: dict[int, int], until: int | None = None) -> dict[int, int]:
        """Blocks the calling task until a descriptor is ready, the deadline passes or it is woken.

        Returns the events by descriptor; they are empty after a wake-up or a passed deadline.
        """
        task = self.current
        if task.is_woken or task.pending_exception:
            task.is_woken = False
            self._raise_pending(task)
            return {}
        task.wait_number += 1
        task.fds, task.ready_events, task.is_waiting = fds, {}, True
        for fd, mask in fds.items():
            self._by_fd[fd] = task
            self._poll.register(fd, mask)
        if until is not None:
            self._timer_number += 1
            heapq.heappush(self._timers, (until, self._timer_number, task, task.wait_number))
        assert self._hub is not None
        self._hub.switch()
        self._raise_pending(task)
        return task.ready_events

    @staticmethod
    def _raise_pending(task: Task) -> None:
        if task.pending_exception is not None:
            exception, task.pending_exception = task.pending_exception, None
            try:
                raise exception
            finally:
                # Its traceback refers to this frame: a reference back would keep all that the
                # task's frames hold until the next garbage collection.
                del exception

    def sleep(self, duration: int) -> None:
        until = self.now() + duration
        while self.now() < until:
            self.wait({}, until)

    def wake(self, task: Task) -> None:
        """Ends the task's wait; if it is not waiting, its next wait returns at once."""
        if task.is_waiting:
            self._make_ready(task)
        else:
            task.is_woken = True

    def interrupt(self, task: Task, exception: Exception) -> None:
        """Raises the exception in the task, from its current or its next wait."""
        task.pending_exception = exception
        self.wake(task)

    def on_signal(self, number: int, run: Callable[[], None]) -> None:
        """Sets the handler of a signal; it runs between two tasks and must not block."""
        if self._signal_sockets is None:
            self._signal_sockets = socket.socketpair()
            for side in self._signal_sockets:
                side.setblocking(False)
            signal.set_wakeup_fd(self._signal_sockets[1].fileno(), warn_on_full_buffer=False)
            self._poll.register(self._signal_sockets[0].fileno(), READ)
        self._signal_handlers[number] = run
        signal.signal(number, lambda number, _: self._pending_signals.append(number))

    def stop(self) -> None:
        self._stopped = True

    def run(self) -> None:
        self._hub = getcurrent()
        while not self._stopped:
            self._run_round()

    def _run_round(self) -> None:
        for _ in range(len(self._ready)):
            task = self._ready.popleft()
            self._current = task
            task.resume()
            self._current = None
            if self._stopped:
                return
        for fd, events in self._poll.poll(self._poll_timeout()):
            task = self._by_fd.get(fd)
            if task is not None:
                task.ready_events[fd] = events
                if task.is_waiting:
                    task.is_waiting = False
                    self._ready.append(task)
        for task in self._ready:
            if task.fds:
                self._unregister(task)
        if self._pending_signals:
            self._handle_signals()
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, waiter, wait_number = heapq.heappop(self._timers)
            if waiter.is_waiting and waiter.wait_number == wait_number:
                self._make_ready(waiter)
        # Drops void timers, as most become void long before they are due and would accumulate.
        if len(self._timers) > 1000 and len(self._timers) > 4 * len(self._by_fd) + 1000:
            self._timers = [
                entry
                for entry in self._timers
                if entry[2].is_waiting and entry[2].wait_number == entry[3]
            ]
            heapq.heapify(self._timers)

    def _poll_timeout(self) -> int | None:
        """Returns the timeout of poll in ms, rounded up so that a timer is due after it."""
        if self._ready or self._pending_signals:
            return 0
        if not self._timers:
            return None
        return max(0, -((self.now() - self._timers[0][0]) // 1_000_000))

    def _make_ready(self, task: Task) -> None:
        task.is_waiting = False
        self._unregister(task)
        self._ready.append(task)

    def _unregister(self, task: Task) -> None:
        for fd in task.fds:
            del self._by_fd[fd]
            self._poll.unregister(fd)
        task.fds = {}

    def _handle_signals(self) -> None:
        assert self._signal_sockets is not None
        try:
            while self._signal_sockets[0].recv(512):
                pass
        except BlockingIOError:
            pass
        while self._pending_signals:
            try:
                self._signal_handlers[self._pending_signals.popleft()]()
            # A handler that raises must not end the scheduler, and with it all connections.
            except Exception:
                self._on_task_error(traceback.format_exc(limit=-4))
