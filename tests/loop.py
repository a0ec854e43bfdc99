"""Runs a scheduler in a thread, for tests against libraries that use threads themselves."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from corklift.net.limits import Counters
from corklift.net.scheduler import Scheduler, wall_clock


class Loop:
    """A scheduler in its own thread; as a context manager it runs for the duration of the block."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.counters = Counters()
        self.scheduler = Scheduler(wall_clock(), self.problems.append)
        self._jobs: list[Callable[[], None]] = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> Loop:
        self._thread.start()
        return self

    def __exit__(self, *_: Any) -> None:
        self.scheduler.stop()
        self._thread.join(5)
        assert not self.problems, self.problems

    def _run(self) -> None:
        self.scheduler.spawn(self._take_jobs)
        self.scheduler.run()

    def _take_jobs(self) -> None:
        while True:
            while self._jobs:
                self._jobs.pop(0)()
            self.scheduler.sleep(2_000_000)

    def do(self, job: Callable[[], Any], timeout: float = 10.0) -> Any:
        """Runs the job in a task of the scheduler; returns its result or raises its exception."""
        done, results = threading.Event(), []

        def run() -> None:
            try:
                results.append((job(), None))
            except BaseException as problem:
                results.append((None, problem))
            done.set()

        self._jobs.append(lambda: self.scheduler.spawn(run))
        assert done.wait(timeout), "the job did not finish in time"
        if results[0][1] is not None:
            raise results[0][1]
        return results[0][0]


def wait_for(condition: Callable[[], Any], seconds: float = 8.0) -> Any:
    """Waits until the condition returns a true value, and returns that value."""
    until = time.monotonic() + seconds
    while True:
        found = condition()
        if found:
            return found
        assert time.monotonic() < until, "the condition did not become true in time"
        time.sleep(0.005)
