"""Decides which of several processes of one balancer accepts clients during an upgrade.

Each process has a generation, which is higher than those of all processes before it. The ready
process with the highest generation accepts clients; the others leave them in the queue of the
listening socket, which all processes share. A process first publishes that it is ready, and accepts
clients once every earlier running process has yielded, that is, has published its learned state and
stopped accepting. If the later process dies, an earlier one accepts clients again.

Invariants: two processes never place logins at the same time, however slow one of them is; a
server that operators have taken out of service stays so across processes.

The module also defines how a process encodes its state for the others. It does no I/O and reads no
clock.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from enum import Enum
from typing import Any, NamedTuple

FORMAT_HEADER = b"corklift 1"


class Stage(Enum):
    """What a process does about clients; the values are written to the state files."""

    STARTING = "starting"
    # Able to accept clients, and waiting until earlier processes have yielded.
    READY = "ready"
    SERVING = "serving"
    # Has stopped accepting in favour of a later process; serves again if that one dies.
    YIELDED = "yielded"
    # Asked to stop; final.
    LEAVING = "leaving"


class OperatorOverride(NamedTuple):
    """The last decision of operators about a server.

    Decisions are ordered by number and then by generation, so that one that arrives late or twice
    has no effect.
    """

    number: int
    # Of the process that received the decision.
    generation: int
    out_of_service: bool


class ProcessState(NamedTuple):
    """What one process publishes to the others."""

    generation: int
    stage: Stage
    client_count: int
    # By name of the server.
    overrides: dict[str, OperatorOverride]
    # The state exported by the decisions when the process yielded; empty before.
    learned_state: dict[str, Any]


class UnreadableStateError(Exception):
    """An encoded state is incomplete or has another format."""


def add_checksum(content: bytes) -> bytes:
    """Returns the content of a file for other processes: a header line with a checksum first."""
    return b"%b %08x\n%b" % (FORMAT_HEADER, zlib.crc32(content), content)


def check_content(data: bytes) -> bytes:
    """Returns the content after the header line.

    Raises:
        UnreadableStateError: it is incomplete or has another format.
    """
    head, _, content = data.partition(b"\n")
    header, _, check = head.rpartition(b" ")
    if header != FORMAT_HEADER:
        raise UnreadableStateError(f"unknown format {header[:20]!r}")
    if check != b"%08x" % zlib.crc32(content):
        raise UnreadableStateError("the checksum does not match")
    return content


def encode(state: ProcessState) -> bytes:
    """Returns the content of a state file."""
    content = json.dumps(
        {
            "generation": state.generation,
            "stage": state.stage.value,
            "held": state.client_count,
            "words": state.overrides,
            "learned": state.learned_state,
        }
    ).encode()
    return add_checksum(content)


def decode(data: bytes) -> ProcessState:
    """Parses the content of a state file.

    Raises:
        UnreadableStateError: the content is incomplete or has another format.
    """
    content = check_content(data)
    try:
        document = json.loads(content)
        overrides = {
            str(name): OperatorOverride(int(number), int(generation), bool(out_of_service))
            for name, (number, generation, out_of_service) in document["words"].items()
        }
        return ProcessState(
            int(document["generation"]),
            Stage(document["stage"]),
            int(document["held"]),
            overrides,
            dict(document["learned"]),
        )
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as problem:
        raise UnreadableStateError(repr(problem)) from None


class Handover:
    """The stage of one process, and the operator overrides that it knows."""

    def __init__(self, generation: int) -> None:
        self.generation = generation
        self.stage = Stage.STARTING
        self.overrides: dict[str, OperatorOverride] = {}

    def record_override(self, name: str, out_of_service: bool) -> None:
        """Records a decision of operators that this process received."""
        number = 1 + max((override.number for override in self.overrides.values()), default=0)
        self.overrides[name] = OperatorOverride(number, self.generation, out_of_service)

    def servers_out_of_service(self) -> set[str]:
        """Returns the names of the servers that operators have taken out of service."""
        return {name for name, override in self.overrides.items() if override.out_of_service}

    def merge_overrides(self, states: Iterable[ProcessState]) -> dict[str, bool]:
        """Merges the overrides of other processes, running or ended.

        Returns the servers that this takes out of service (True) or restores (False).
        """
        before = self.servers_out_of_service()
        for state in states:
            for name, override in state.overrides.items():
                if name not in self.overrides or override[:2] > self.overrides[name][:2]:
                    self.overrides[name] = override
        after = self.servers_out_of_service()
        return dict.fromkeys(after - before, True) | dict.fromkeys(before - after, False)

    def advance(self, running_states: Iterable[ProcessState], ready: bool) -> bool:
        """Moves to the next stage, given the states of the other running processes.

        Returns whether the stage has changed, so that the caller publishes it. A process serves
        only after it has published that it is ready and then read the others' states again.
        Otherwise two processes that read at the same moment could each find the other not ready,
        and both serve.
        """
        before, active = (
            self.stage,
            [
                state.generation
                for state in running_states
                if state.stage in (Stage.READY, Stage.SERVING)
            ],
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
        """Enters the final stage; no later process waits for this one any more."""
        self.stage = Stage.LEAVING
