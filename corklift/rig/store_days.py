"""Seeded histories of a store on disks that fail, lie and lose power, against a model of what was committed.

Owns the model. Must never know how the store does it: it judges what a fresh start finds, by the commits that returned.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from corklift.rig.disks import DiskFaults, MemoryDisk, PowerLost
from corklift.store.format import Batch, DamagedStoreError
from corklift.store.log import CommitFailedError, Store

FAILING = DiskFaults(append=0.03, sync=0.03, create=0.02, remove=0.05, folder=0.02)
LYING = FAILING._replace(lies=0.3)
FULL = FAILING._replace(full=6000)
DISK_KINDS = {"power": DiskFaults(), "failing": FAILING, "lying": LYING, "full": FULL}


class HistoryResult(NamedTuple):
    commits: int
    cuts: int
    invented: int  # a state that never was
    lost_synced: int  # a commit that returned is gone
    silent: int  # it is gone, and neither a refusal nor what a peer was told shows it
    refused: int
    what: str


def run_history(
    seed: int, kind: str = "power", lives: int = 4, store: type[Store] = Store
) -> HistoryResult:
    rng = Random(f"{seed}/{kind}")
    disk = MemoryDisk(Random(f"{seed}/{kind}/disk"), DISK_KINDS[kind])
    state: dict[bytes, bytes] = {}
    maybe: list[dict[bytes, bytes]] = []  # commits that did not return
    marker: tuple[bytes, int] | None = (
        None  # what a peer was told: the store's id and the last commit
    )
    commits = cuts = invented = lost = silent = refused = 0
    what = ""
    for life in range(lives):
        disk.cut_at = disk.calls + rng.randrange(1, 90) if rng.random() < 0.9 else 0
        opened = None
        try:
            opened = store(
                disk, rng.randbytes(16), min_compaction_bytes=rng.choice((200, 3000, 1 << 20))
            )
            found = dict(opened.items())
            if found != state and found not in maybe:
                gone = disk.lied or kind == "lying"
                shown = marker is not None and (
                    marker[0] != opened.store_id or marker[1] > opened.sequence
                )
                invented += not gone
                lost += not gone
                silent += marker is not None and not shown
                what = (
                    what
                    or f"seed {seed} {kind}, life {life}: found {found!r:.200} where {state!r:.200} was committed"
                )
            # What was read and could not be written anew may be gone at the next cut, if it had not returned before.
            state, maybe = found, [state, *maybe] if opened.open_report.write_error else []
            marker = (opened.store_id, opened.sequence)
            for _ in range(rng.randrange(25)):
                batch: Batch = {
                    b"k%d" % rng.randrange(5): None
                    if rng.random() < 0.2
                    else rng.randbytes(rng.choice((1, 40, 700)))
                    for _ in range(rng.randrange(1, 4))
                }
                after = {key: value for key, value in (state | batch).items() if value is not None}
                maybe.append(after)
                try:
                    opened.commit([batch])
                except CommitFailedError:
                    continue
                state, maybe = after, []
                marker = (opened.store_id, opened.sequence)
                commits += 1
                while opened.compact(lambda: rng.random() < 0.3) and rng.random() < 0.7:
                    pass
        except PowerLost:
            pass
        except DamagedStoreError as problem:
            refused += 1
            if not disk.lied and state:
                lost += 1
                what = what or f"seed {seed} {kind}, life {life}: refused, {problem}"
            break
        except OSError as problem:
            what = what or f"seed {seed} {kind}, life {life}: {problem!r}"
            lost += 1
            break
        if rng.random() < 0.7:
            disk.lose_power()
            cuts += 1
        else:
            disk.lose_process()
    return HistoryResult(commits, cuts, invented, lost, silent, refused, what)
