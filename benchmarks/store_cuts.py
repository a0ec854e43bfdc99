"""Benchmark of damaged stores: a segment cut at each byte, and a smaller one with each bit flipped.

    python -m benchmarks.store_cuts [--quick] [--seed N] [--json FILE]

Loading what is left must either return the last complete state before the cut, or refuse the store
with file, offset and reason. Figures:

`invented`: loads that returned a state that never existed.
`lost_commits`: loads that, without a refusal, left out a batch that was complete before the cut or
synced before the flip.
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


def write_segment(
    rng: Random, commits_before: int, commits: int, max_value_bytes: int
) -> tuple[str, bytes, list[tuple[int, State]]]:
    """Writes a store in two sessions, so that its segment starts with a snapshot.

    Returns the name and the bytes of the segment and, for each of its states, the offset from which
    on the state is complete.
    """
    disk = MemoryDisk(rng)
    state: State = {}
    for commit_count in (commits_before, commits):
        store = Store(disk, rng.randbytes(16))
        states = [(0, dict(state))]
        for _ in range(commit_count):
            batch: Batch = {
                b"key%d" % rng.randrange(12): None
                if rng.random() < 0.2
                else rng.randbytes(rng.randrange(1, max_value_bytes))
                for _ in range(rng.randrange(1, 5))
            }
            store.commit([batch])
            state = {key: value for key, value in (state | batch).items() if value is not None}
            states.append((0, dict(state)))
    (name,) = disk.names()
    content = disk.read(name)
    offset, complete_states = HEAD.size, []
    while offset < len(content):
        frame = decode_frame(content, offset)
        assert isinstance(frame, Frame)
        offset = frame.end
        if frame.kind in (SNAPSHOT_END, BATCH):
            complete_states.append((offset, states[len(complete_states)][1]))
    assert len(complete_states) == len(states)
    return name, content, complete_states


def main() -> int:
    arguments = parse_arguments(__doc__)
    started_at = time.monotonic()
    counts = {
        "cuts": 0,
        "flips": 0,
        "last_complete": 0,
        "refused": 0,
        "invented": 0,
        "lost_commits": 0,
    }
    broken: list[str] = []

    def check_load(
        damage: str, name: str, content: bytes, expected_state: State, all_states: list[State]
    ) -> None:
        try:
            loaded_state = load([name], lambda _: content).state
        except Refused:
            counts["refused"] += 1
            return
        if loaded_state == expected_state:
            counts["last_complete"] += 1
            return
        kind = "lost_commits" if loaded_state in all_states else "invented"
        counts[kind] += 1
        broken.append(f"{damage}: {kind}")

    for round_number in range(1 if arguments.quick else 4):
        rng = Random(f"{arguments.seed}/{round_number}")
        name, content, states = write_segment(rng, 6, 30 if arguments.quick else 80, 300)
        for offset in range(len(content) + 1):
            counts["cuts"] += 1
            complete_states = [state for end, state in states if end <= offset][-1:] or [{}]
            check_load(
                f"cut at {offset}",
                name,
                content[:offset],
                complete_states[0],
                [{}] + [state for _, state in states],
            )
        name, content, states = write_segment(rng, 3, 8 if arguments.quick else 14, 60)
        for bit in range(8 * len(content)):
            counts["flips"] += 1
            flipped = bytearray(content)
            flipped[bit // 8] ^= 1 << bit % 8
            check_load(
                f"bit {bit} flipped",
                name,
                bytes(flipped),
                states[-1][1],
                [{}] + [state for _, state in states],
            )
    figures = counts | {"seconds": round(time.monotonic() - started_at, 1)}
    return tell(
        "Damaged stores",
        figures,
        [
            ("a state was loaded that never existed", not counts["invented"]),
            ("a commit was lost without a refusal", not counts["lost_commits"]),
            *((text, False) for text in broken[:5]),
        ],
        arguments.json,
    )


if __name__ == "__main__":
    sys.exit(main())
