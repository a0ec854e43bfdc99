"""Which of several processes of one balancer takes clients, and what they tell each other.

Owns the rule by which a process follows another, the operators' words that outlive both, and the form in which a process
writes down what it has to tell. Free of I/O and clocks. Must never let two processes place logins at a time because one of
them is slow, and never forget a server that operators have taken out.

Each process has a generation, later than all before it. The latest that is ready takes clients; the others leave them
in the listening socket's queue, which all share. A process that is ready says so, and takes clients once each earlier
one that lives has yielded: told what it learned, and stopped. If the later one dies, the earlier one takes clients again.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from enum import Enum
from typing import Any, NamedTuple

FORMAT_HEADER = b"corklift 1"


class Stage(Enum):
    STARTING = "starting"
    READY = "ready"  # would take clients
    SERVING = "serving"
    YIELDED = "yielded"  # to a later one; would serve again
    LEAVING = "leaving"


class OperatorOverride(NamedTuple):
    """What operators have said of a server last: numbered, so that what is heard late or twice is known for it."""

    number: int
    generation: int  # of the process that was told; decides between two of one number
    out_of_service: bool


class ProcessState(NamedTuple):
    """What one process tells of itself."""

    generation: int
    stage: Stage
    client_count: int  # clients
    overrides: dict[str, OperatorOverride]  # by server's name
    learned_state: dict[str, Any]  # by its decisions, at the moment of yielding


class UnreadableStateError(Exception):
    """What is written there is not whole, or not of this form."""


def encode(state: ProcessState) -> bytes:
    content = json.dumps(
        {
            "generation": state.generation,
            "stage": state.stage.value,
            "held": state.client_count,
            "words": state.overrides,
            "learned": state.learned_state,
        }
    ).encode()
    return b"%b %08x\n%b" % (FORMAT_HEADER, zlib.crc32(content), content)


def decode(whole: bytes) -> ProcessState:
    head, _, content = whole.partition(b"\n")
    form, _, check = head.rpartition(b" ")
    if form != FORMAT_HEADER:
        raise UnreadableStateError(f"the form is {form[:20]!r}")
    if check != b"%08x" % zlib.crc32(content):
        raise UnreadableStateError("it is not whole")
    try:
        told = json.loads(content)
        overrides = {
            str(name): OperatorOverride(int(number), int(generation), bool(out_of_service))
            for name, (number, generation, out_of_service) in told["words"].items()
        }
        return ProcessState(
            int(told["generation"]),
            Stage(told["stage"]),
            int(told["held"]),
            overrides,
            dict(told["learned"]),
        )
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as problem:
        raise UnreadableStateError(repr(problem)) from None


class Handover:
    """One process among those of its balancer."""

    def __init__(self, generation: int) -> None:
        self.generation = generation
        self.stage = Stage.STARTING
        self.overrides: dict[str, OperatorOverride] = {}

    def record_override(self, name: str, out_of_service: bool) -> None:
        """Operators have told this process."""
        number = 1 + max((override.number for override in self.overrides.values()), default=0)
        self.overrides[name] = OperatorOverride(number, self.generation, out_of_service)

    def servers_out_of_service(self) -> set[str]:
        return {name for name, override in self.overrides.items() if override.out_of_service}

    def merge_overrides(self, states: Iterable[ProcessState]) -> dict[str, bool]:
        """Takes in what others were told, living or not; returns which servers are out by that, or no longer."""
        before = self.servers_out_of_service()
        for state in states:
            for name, override in state.overrides.items():
                if name not in self.overrides or override[:2] > self.overrides[name][:2]:
                    self.overrides[name] = override
        after = self.servers_out_of_service()
        return dict.fromkeys(after - before, True) | dict.fromkeys(before - after, False)

    def advance(self, living: Iterable[ProcessState], ready: bool) -> bool:
        """The next stage, by what the others that live tell; returns whether it is another one, which is to be told.

        Nobody serves but after a look at the others since it told that it is ready. Guards against two that look at the
        same moment and each find the other not yet ready."""
        before, active = (
            self.stage,
            [state.generation for state in living if state.stage in (Stage.READY, Stage.SERVING)],
        )
        if before is Stage.LEAVING:
            return False
        if not ready:
            self.stage = Stage.STARTING
        elif any(generation > self.generation for generation in active):
            self.stage = Stage.YIELDED
        elif before in (Stage.STARTING, Stage.YIELDED):
            self.stage = Stage.READY
        elif not any(generation < self.generation for generation in active):
            self.stage = Stage.SERVING
        return self.stage is not before

    def leave(self) -> None:
        self.stage = Stage.LEAVING
