"""A store's histories against a model, and its speed beside a plain file's.

    python -m benchmarks.store [--quick] [--seed N] [--json FILE]

Histories: commits, compactions, faults of the file layer and power cuts, on disks that keep what they synced, that fail, that fill up, and
that lie. `commit_ratio`: commits a second, each with its sync, over appends of as many bytes to one file, each with its sync, in turns in
one run. `recovery_s_ratio`: a start on 100 MB over one on 10 MB, medians.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import median

from benchmarks.report import parse_arguments, tell
from corklift.rig.store_days import DISK_KINDS, run_history
from corklift.store.files import DiskFiles
from corklift.store.log import Store

VALUE = 300  # bytes


def histories(job: tuple[str, int, int]) -> tuple[str, Counter[str], str]:
    kind, first, number = job
    found: Counter[str] = Counter()
    what = ""
    for seed in range(first, first + number):
        verdict = run_history(seed, kind)
        found.update(
            histories=1,
            commits=verdict.commits,
            cuts=verdict.cuts,
            invented=verdict.invented,
            lost_synced=verdict.lost_synced,
            silent_loss=verdict.silent,
            refused=verdict.refused,
        )
        what = what or (
            verdict.what if verdict.invented or verdict.lost_synced or verdict.silent else ""
        )
    return kind, found, what


def speed(folder: str, rng: Random, rounds: int, number: int) -> tuple[float, float, float, float]:
    """Ratio, commits a second, how much more was written than kept, and how much room it took at the most."""
    disk = DiskFiles(os.path.join(folder, "speed"))
    store = Store(disk)
    plain = os.open(os.path.join(folder, "plain"), os.O_CREAT | os.O_WRONLY | os.O_APPEND, 0o600)
    took: dict[str, list[float]] = {"store": [], "plain": []}
    room = 0.0
    for _ in range(rounds):
        began = time.monotonic()
        for _ in range(number):
            store.commit([{b"key %d" % rng.randrange(500): rng.randbytes(VALUE)}])
        took["store"].append(time.monotonic() - began)
        while store.compact():
            pass
        kept = sum(len(key) + len(value) for key, value in store.items())
        room = max(
            room,
            sum(os.path.getsize(os.path.join(disk.path, name)) for name in disk.names()) / kept,
        )
        began = time.monotonic()
        for _ in range(number):
            os.write(plain, rng.randbytes(VALUE + 53))
            os.fdatasync(plain)
        took["plain"].append(time.monotonic() - began)
    store.close()
    os.close(plain)
    disk.release()
    return (
        median(took["plain"]) / median(took["store"]),
        number / median(took["store"]),
        median(a / b for a, b in zip(took["plain"], took["store"])),
        room,
    )


def recovery(folder: str, rng: Random, size: int, tries: int) -> float:
    disk = DiskFiles(os.path.join(folder, f"recovery{size}"))
    store = Store(disk)
    value = rng.randbytes(2000)
    keys = size // 2010
    for at in range(0, keys, 500):
        store.commit([{b"%010d" % key: value for key in range(at, min(keys, at + 500))}])
    store.close()
    took = []
    for _ in range(tries):
        began = time.monotonic()
        store = Store(disk)
        took.append(time.monotonic() - began)
        assert len(store.items()) == keys
        store.close()
    disk.release()
    return median(took)


def pause(folder: str, rng: Random) -> float:
    """The longest commit while 20 MB are compacted, ms."""
    disk = DiskFiles(os.path.join(folder, "pause"))
    store = Store(disk)
    for at in range(0, 10_000, 500):
        store.commit([{b"%010d" % key: rng.randbytes(2000) for key in range(at, at + 500)}])
    for at in range(0, 30_000, 500):
        store.commit([{b"%010d" % (key % 10_000): b"x" * 2000 for key in range(at, at + 500)}])
    longest, before = 0.0, store.compactions
    while store.compactions == before and store.compact(lambda: True):
        began = time.monotonic()
        store.commit([{b"one": b"more"}])
        longest = max(longest, time.monotonic() - began)
    store.close()
    return longest * 1000


def main() -> int:
    arguments = parse_arguments(__doc__)
    number = 2_000 if arguments.quick else 20_000
    each = number // len(DISK_KINDS) // 8
    jobs = [
        (kind, arguments.seed * 1_000_000 + part * each, each)
        for kind in DISK_KINDS
        for part in range(8)
    ]
    total: Counter[str] = Counter()
    by_kind: dict[str, Counter[str]] = {kind: Counter() for kind in DISK_KINDS}
    broken: list[str] = []
    with ProcessPoolExecutor(4) as pool:
        for kind, found, what in pool.map(histories, jobs):
            total += found
            by_kind[kind] += found
            broken += [what] if what else []
    rng = Random(arguments.seed)
    with tempfile.TemporaryDirectory(dir=os.getcwd()) as folder:
        ratio, commits_s, pairs, room = speed(folder, rng, 5 if arguments.quick else 15, 300)
        small, large = recovery(folder, rng, 10_000_000, 5), recovery(folder, rng, 100_000_000, 3)
        longest = pause(folder, rng)
    figures = {
        "histories": total["histories"],
        "commits": total["commits"],
        "power_cuts": total["cuts"],
        "invented": total["invented"],
        "lost_synced": total["lost_synced"],
        "silent_loss": total["silent_loss"],
        "refused": {kind: found["refused"] for kind, found in by_kind.items()},
        "commit_ratio": round(ratio, 3),
        "commit_ratio_pairs": round(pairs, 3),
        "commits_s": round(commits_s),
        "recovery_s_10mb": round(small, 3),
        "recovery_s_100mb": round(large, 3),
        "recovery_s_ratio": round(large / small, 2),
        "space_amplification": round(room, 2),
        "longest_commit_while_compacting_ms": round(longest, 1),
    }
    return tell(
        "A store",
        figures,
        [
            *((text, False) for text in broken[:5]),
            ("a state that never was", not total["invented"]),
            ("a synced commit is gone", not total["lost_synced"]),
            ("a loss that nothing shows", not total["silent_loss"]),
            ("commits are slower than 0.8 of a plain file's", ratio > 0.8),
            ("a start is not linear", large / small < 12),
        ],
        arguments.json,
    )


if __name__ == "__main__":
    sys.exit(main())
