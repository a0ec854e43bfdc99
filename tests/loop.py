"""A scheduler in a thread of its own, for tests whose other side is a library with threads."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from corklift.net.limits import Counters
from corklift.net.scheduler import Scheduler, wall_clock


class Loop:
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
        """Runs this in a greenlet there and returns what it does, or raises what it raises."""
        done, out = threading.Event(), []

        def run() -> None:
            try:
                out.append((job(), None))
            except BaseException as problem:
                out.append((None, problem))
            done.set()

        self._jobs.append(lambda: self.scheduler.spawn(run))
        assert done.wait(timeout), "the job has not come to an end"
        if out[0][1] is not None:
            raise out[0][1]
        return out[0][0]


def wait_for(true: Callable[[], Any], seconds: float = 8.0) -> Any:
    until = time.monotonic() + seconds
    while True:
        found = true()
        if found:
            return found
        assert time.monotonic() < until, "it has not come true in time"
        time.sleep(0.005)
