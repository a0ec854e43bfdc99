"""Sets up Python's garbage collector for a process that serves until its end."""

from __future__ import annotations

import gc

# New objects after which the young ones are scanned. What a library's connections leave behind in
# reference cycles can be tens of kilobytes for a hundred objects.
YOUNG_OBJECTS = 5_000


def prepare_collector() -> None:
    """Called at the end of the start: objects that exist now are never scanned again.

    This keeps the pauses of a collection short.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, 20, 20)
