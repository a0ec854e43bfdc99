"""Records the signals that arrive before a balancer process handles them.

Each of them would end the process by default: during the imports, or between the opening of the
listening socket and the first client, when clients may be in its queue already. This module imports
little, so that the recording can begin before everything else.
"""

from __future__ import annotations

import signal
import time
from typing import Any

# The signals that a balancer process handles.
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM, signal.SIGUSR1)
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class EarlySignals:
    """Records the signals of `HANDLED_SIGNALS` from its creation until other handlers are set."""

    def __init__(self) -> None:
        # The time of each signal's first arrival, in ns of the monotonic clock.
        self.received: dict[int, int] = {}
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._record)

    def _record(self, number: int, _: Any) -> None:
        self.received.setdefault(number, time.monotonic_ns())

    def time_since_stop(self) -> int | None:
        """Returns how many ns ago the process was first told to stop; None if it was not."""
        times = [self.received[number] for number in STOP_SIGNALS if number in self.received]
        return time.monotonic_ns() - min(times) if times else None


def ignore_signals() -> None:
    """Ignores the signals from now on, so that none changes the exit status."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
