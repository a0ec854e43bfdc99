"""Benchmark of the store: histories compared with a model, and speed compared with a plain file.

    python -m benchmarks.store [--quick] [--seed N] [--json FILE]

A history is commits, compactions, faults of the file layer and power cuts, on disks that keep what
was synced, that fail, that fill up, and that lose what they report as synced. Figures:

`commit_ratio`: rate of commits, each with its sync, over the rate of appends of as many bytes to a
plain file, each with its sync, measured alternately in one run.
`recovery_s_ratio`: time to open a store of 100 MB over that for 10 MB, both medians.
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

VALUE_BYTES = 300


def run_histories(job: tuple[str, int, int]) -> tuple[str, Counter[str], str]:
    """Returns the kind of disk, the sums over the histories, and the first failure or ""."""
    kind, first_seed, count = job
    totals: Counter[str] = Counter()
    first_failure = ""
    for seed in range(first_seed, first_seed + count):
        verdict = run_history(seed, kind)
        totals.update(
            histories=1,
            commits=verdict.commits,
            cuts=verdict.cuts,
            invented=verdict.invented,
            lost_synced=verdict.lost_synced,
            silent_loss=verdict.silent,
            refused=verdict.refused,
        )
        first_failure = first_failure or (
            verdict.what if verdict.invented or verdict.lost_synced or verdict.silent else ""
        )
    return kind, totals, first_failure


def measure_commit_rate(
    folder: str, rng: Random, rounds: int, commits: int
) -> tuple[float, float, float, float]:
    """Compares commits with appends to a plain file.

    Returns the ratio of the median rates, commits a second, the median of the ratios of each round,
    and the highest ratio of the size of the files to that of the data they hold.
    """
    disk = DiskFiles(os.path.join(folder, "commits"))
    store = Store(disk)
    plain_file = os.open(
        os.path.join(folder, "plain"), os.O_CREAT | os.O_WRONLY | os.O_APPEND, 0o600
    )
    durations_s: dict[str, list[float]] = {"store": [], "plain": []}
    max_space_amplification = 0.0
    for _ in range(rounds):
        started_at = time.monotonic()
        for _ in range(commits):
            store.commit([{b"key %d" % rng.randrange(500): rng.randbytes(VALUE_BYTES)}])
        durations_s["store"].append(time.monotonic() - started_at)
        while store.compact():
            pass
        kept = sum(len(key) + len(value) for key, value in store.items())
        max_space_amplification = max(
            max_space_amplification,
            sum(os.path.getsize(os.path.join(disk.path, name)) for name in disk.names()) / kept,
        )
        started_at = time.monotonic()
        # Appends as many bytes as the store writes for a commit.
        for _ in range(commits):
            os.write(plain_file, rng.randbytes(VALUE_BYTES + 53))
            os.fdatasync(plain_file)
        durations_s["plain"].append(time.monotonic() - started_at)
    store.close()
    os.close(plain_file)
    disk.release()
    return (
        median(durations_s["plain"]) / median(durations_s["store"]),
        commits / median(durations_s["store"]),
        median(
            plain_s / store_s
            for plain_s, store_s in zip(durations_s["plain"], durations_s["store"])
        ),
        max_space_amplification,
    )


def recovery(folder: str, rng: Random, size: int, repetitions: int) -> float:
    """Returns the median time in seconds to open a store of `size` bytes."""
    disk = DiskFiles(os.path.join(folder, f"recovery{size}"))
    store = Store(disk)
    value = rng.randbytes(2000)
    key_count = size // 2010
    for first_key in range(0, key_count, 500):
        store.commit(
            [{b"%010d" % key: value for key in range(first_key, min(key_count, first_key + 500))}]
        )
    store.close()
    durations_s = []
    for _ in range(repetitions):
        started_at = time.monotonic()
        store = Store(disk)
        durations_s.append(time.monotonic() - started_at)
        assert len(store.items()) == key_count
        store.close()
    disk.release()
    return median(durations_s)


def measure_longest_commit_ms(folder: str, rng: Random) -> float:
    """Returns the time in milliseconds of the longest commit while 20 MB are compacted."""
    disk = DiskFiles(os.path.join(folder, "pause"))
    store = Store(disk)
    for first_key in range(0, 10_000, 500):
        store.commit(
            [{b"%010d" % key: rng.randbytes(2000) for key in range(first_key, first_key + 500)}]
        )
    for first_key in range(0, 30_000, 500):
        store.commit(
            [{b"%010d" % (key % 10_000): b"x" * 2000 for key in range(first_key, first_key + 500)}]
        )
    longest_s, compactions_before = 0.0, store.compactions
    while store.compactions == compactions_before and store.compact(lambda: True):
        started_at = time.monotonic()
        store.commit([{b"one": b"more"}])
        longest_s = max(longest_s, time.monotonic() - started_at)
    store.close()
    return longest_s * 1000


def main() -> int:
    arguments = parse_arguments(__doc__)
    history_count = 2_000 if arguments.quick else 20_000
    histories_per_job = history_count // len(DISK_KINDS) // 8
    jobs = [
        (kind, arguments.seed * 1_000_000 + part * histories_per_job, histories_per_job)
        for kind in DISK_KINDS
        for part in range(8)
    ]
    totals: Counter[str] = Counter()
    by_kind: dict[str, Counter[str]] = {kind: Counter() for kind in DISK_KINDS}
    broken: list[str] = []
    with ProcessPoolExecutor(4) as pool:
        for kind, counts, failure in pool.map(run_histories, jobs):
            totals += counts
            by_kind[kind] += counts
            broken += [failure] if failure else []
    rng = Random(arguments.seed)
    with tempfile.TemporaryDirectory(dir=os.getcwd()) as folder:
        commit_ratio, commits_s, commit_ratio_by_round, space_amplification = measure_commit_rate(
            folder, rng, 5 if arguments.quick else 15, 300
        )
        small, large = (
            recovery(folder, rng, 10_000_000, 5),
            recovery(folder, rng, 100_000_000, 3),
        )
        longest_commit_ms = measure_longest_commit_ms(folder, rng)
    figures = {
        "histories": totals["histories"],
        "commits": totals["commits"],
        "power_cuts": totals["cuts"],
        "invented": totals["invented"],
        "lost_synced": totals["lost_synced"],
        "silent_loss": totals["silent_loss"],
        "refused": {kind: counts["refused"] for kind, counts in by_kind.items()},
        "commit_ratio": round(commit_ratio, 3),
        "commit_ratio_pairs": round(commit_ratio_by_round, 3),
        "commits_s": round(commits_s),
        "recovery_s_10mb": round(small, 3),
        "recovery_s_100mb": round(large, 3),
        "recovery_s_ratio": round(large / small, 2),
        "space_amplification": round(space_amplification, 2),
        "longest_commit_while_compacting_ms": round(longest_commit_ms, 1),
    }
    return tell(
        "Store",
        figures,
        [
            *((text, False) for text in broken[:5]),
            ("a state was loaded that never existed", not totals["invented"]),
            ("a synced commit was lost", not totals["lost_synced"]),
            ("data was lost without a report", not totals["silent_loss"]),
            ("commits are slower than 0.8 of the rate of a plain file", commit_ratio > 0.8),
            ("the time to open a store is not linear in its size", large / small < 12),
        ],
        arguments.json,
    )


if __name__ == "__main__":
    sys.exit(main())
