"""A store's files cut at every byte, and every bit of a smaller one flipped.

    python -m benchmarks.store_cuts [--quick] [--seed N] [--json FILE]

A start on what is left finds the last complete state before the cut, or refuses with file, offset and reason. `invented`: a state that never
was; `lost_commits`: a batch was whole before the cut, or synced before the flip, and is left out without a refusal.
"""

from __future__ import annotations

import sys
import time
from random import Random

from benchmarks.report import parse_arguments, tell
from corklift.rig.disks import MemoryDisk
from corklift.store.format import (
    BATCH,
    HEAD,
    SNAPSHOT_END,
    Batch,
    Frame,
    Refused,
    decode_frame,
    load,
)
from corklift.store.log import Store

State = dict[bytes, bytes]


def written(
    rng: Random, before: int, commits: int, most: int
) -> tuple[str, bytes, list[tuple[int, State]]]:
    """A segment's name and bytes, and for each state the byte from which on it is complete."""
    disk = MemoryDisk(rng)
    state: State = {}
    for part in (before, commits):
        store = Store(disk, rng.randbytes(16))
        states = [(0, dict(state))]
        for _ in range(part):
            batch: Batch = {
                b"key%d" % rng.randrange(12): None
                if rng.random() < 0.2
                else rng.randbytes(rng.randrange(1, most))
                for _ in range(rng.randrange(1, 5))
            }
            store.commit([batch])
            state = {key: value for key, value in (state | batch).items() if value is not None}
            states.append((0, dict(state)))
    (name,) = disk.names()
    content = disk.read(name)
    at, found = HEAD.size, []
    while at < len(content):
        frame = decode_frame(content, at)
        assert isinstance(frame, Frame)
        at = frame.end
        if frame.kind in (SNAPSHOT_END, BATCH):
            found.append((at, states[len(found)][1]))
    assert len(found) == len(states)
    return name, content, found


def main() -> int:
    arguments = parse_arguments(__doc__)
    began = time.monotonic()
    counts = {
        "cuts": 0,
        "flips": 0,
        "last_complete": 0,
        "refused": 0,
        "invented": 0,
        "lost_commits": 0,
    }
    broken: list[str] = []

    def judge(what: str, name: str, content: bytes, wanted: State, all_states: list[State]) -> None:
        try:
            found = load([name], lambda _: content).state
        except Refused:
            counts["refused"] += 1
            return
        if found == wanted:
            counts["last_complete"] += 1
            return
        kind = "lost_commits" if found in all_states else "invented"
        counts[kind] += 1
        broken.append(f"{what}: {kind}")

    for turn in range(1 if arguments.quick else 4):
        rng = Random(f"{arguments.seed}/{turn}")
        name, content, states = written(rng, 6, 30 if arguments.quick else 80, 300)
        for at in range(len(content) + 1):
            counts["cuts"] += 1
            wanted = [state for end, state in states if end <= at][-1:] or [{}]
            judge(
                f"cut at {at}", name, content[:at], wanted[0], [{}] + [state for _, state in states]
            )
        name, content, states = written(rng, 3, 8 if arguments.quick else 14, 60)
        for bit in range(8 * len(content)):
            counts["flips"] += 1
            flipped = bytearray(content)
            flipped[bit // 8] ^= 1 << bit % 8
            judge(
                f"bit {bit}",
                name,
                bytes(flipped),
                states[-1][1],
                [{}] + [state for _, state in states],
            )
    figures = counts | {"seconds": round(time.monotonic() - began, 1)}
    return tell(
        "A store cut and flipped",
        figures,
        [
            ("a state that never was", not counts["invented"]),
            ("a commit is gone without a word", not counts["lost_commits"]),
            *((text, False) for text in broken[:5]),
        ],
        arguments.json,
    )


if __name__ == "__main__":
    sys.exit(main())
