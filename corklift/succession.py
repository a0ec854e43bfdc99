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

FORM = b"corklift 1"


class Stage(Enum):
    STARTING = "starting"
    READY = "ready"  # would take clients
    SERVING = "serving"
    YIELDED = "yielded"  # to a later one; would serve again
    LEAVING = "leaving"


class Word(NamedTuple):
    """What operators have said of a server last: numbered, so that what is heard late or twice is known for it."""

    number: int
    generation: int  # of the process that was told; decides between two of one number
    out: bool


class Life(NamedTuple):
    """What one process tells of itself."""

    generation: int
    stage: Stage
    held: int  # clients
    words: dict[str, Word]  # by server's name
    learned: dict[str, Any]  # by its decisions, at the moment of yielding


class Unreadable(Exception):
    """What is written there is not whole, or not of this form."""


def encode(life: Life) -> bytes:
    content = json.dumps(
        {
            "generation": life.generation,
            "stage": life.stage.value,
            "held": life.held,
            "words": life.words,
            "learned": life.learned,
        }
    ).encode()
    return b"%b %08x\n%b" % (FORM, zlib.crc32(content), content)


def decode(whole: bytes) -> Life:
    head, _, content = whole.partition(b"\n")
    form, _, check = head.rpartition(b" ")
    if form != FORM:
        raise Unreadable(f"the form is {form[:20]!r}")
    if check != b"%08x" % zlib.crc32(content):
        raise Unreadable("it is not whole")
    try:
        told = json.loads(content)
        words = {
            str(name): Word(int(number), int(generation), bool(out))
            for name, (number, generation, out) in told["words"].items()
        }
        return Life(
            int(told["generation"]),
            Stage(told["stage"]),
            int(told["held"]),
            words,
            dict(told["learned"]),
        )
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as problem:
        raise Unreadable(repr(problem)) from None


class Succession:
    """One process among those of its balancer."""

    def __init__(self, generation: int) -> None:
        self.generation = generation
        self.stage = Stage.STARTING
        self.words: dict[str, Word] = {}

    def say(self, name: str, out: bool) -> None:
        """Operators have told this process."""
        number = 1 + max((word.number for word in self.words.values()), default=0)
        self.words[name] = Word(number, self.generation, out)

    def out(self) -> set[str]:
        return {name for name, word in self.words.items() if word.out}

    def hear(self, lives: Iterable[Life]) -> dict[str, bool]:
        """Takes in what others were told, living or not; returns which servers are out by that, or no longer."""
        before = self.out()
        for life in lives:
            for name, word in life.words.items():
                if name not in self.words or word[:2] > self.words[name][:2]:
                    self.words[name] = word
        after = self.out()
        return dict.fromkeys(after - before, True) | dict.fromkeys(before - after, False)

    def step(self, living: Iterable[Life], ready: bool) -> bool:
        """The next stage, by what the others that live tell; returns whether it is another one, which is to be told.

        Nobody serves but after a look at the others since it told that it is ready. Guards against two that look at the
        same moment and each find the other not yet ready."""
        before, active = (
            self.stage,
            [life.generation for life in living if life.stage in (Stage.READY, Stage.SERVING)],
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
