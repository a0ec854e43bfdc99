"""Seeded histories of a store on disks that fail, lie and lose power, checked against a model.

The model is what was committed. It knows nothing of how the store works: it checks what the next
start finds against the commits that returned.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from corklift.rig.disks import DiskFaults, MemoryDisk, PowerLost
from corklift.store.format import Batch, Refused
from corklift.store.log import NotKept, Store

FAILING = DiskFaults(append=0.03, sync=0.03, create=0.02, remove=0.05, folder=0.02)
LYING = FAILING._replace(lies=0.3)
FULL = FAILING._replace(full=6000)
DISK_KINDS = {"power": DiskFaults(), "failing": FAILING, "lying": LYING, "full": FULL}


class HistoryResult(NamedTuple):
    """What happened in a history, and how often the store was wrong.

    Attributes:
        commits: commits that returned.
        cuts: losses of power.
        invented: starts that found a state which never existed.
        lost_synced: starts that missed a commit which had returned.
        silent: losses that neither a refusal nor the marker known to a peer reveals.
        refused: starts that the store refused since its files are damaged.
        what: description of the first problem.
    """

    commits: int
    cuts: int
    invented: int
    lost_synced: int
    silent: int
    refused: int
    what: str


def run_history(
    seed: int, kind: str = "power", starts: int = 4, store: type[Store] = Store
) -> HistoryResult:
    """Runs a history of commits, faults and losses; `kind` is the kind of disk."""
    rng = Random(f"{seed}/{kind}")
    disk = MemoryDisk(Random(f"{seed}/{kind}/disk"), DISK_KINDS[kind])
    state: dict[bytes, bytes] = {}
    # States after commits that did not return, each of which may be found.
    possible_states: list[dict[bytes, bytes]] = []
    # What a peer knows: the store's id and the sequence number of the last commit.
    marker: tuple[bytes, int] | None = None
    commits = cuts = invented = lost = silent = refused = 0
    what = ""
    for start in range(starts):
        disk.cut_at = disk.calls + rng.randrange(1, 90) if rng.random() < 0.9 else 0
        opened_store = None
        try:
            opened_store = store(
                disk, rng.randbytes(16), min_compaction_bytes=rng.choice((200, 3000, 1 << 20))
            )
            found = dict(opened_store.items())
            if found != state and found not in possible_states:
                is_expected = disk.lied or kind == "lying"
                is_revealed = marker is not None and (
                    marker[0] != opened_store.store_id or marker[1] > opened_store.sequence
                )
                invented += not is_expected
                lost += not is_expected
                silent += marker is not None and not is_revealed
                what = (
                    what
                    or f"seed {seed} {kind}, start {start}: found {found!r:.200} "
                    f"where {state!r:.200} was committed"
                )
            # A state that was read but could not be written again may be lost at the next cut,
            # unless its commit had returned before.
            state, possible_states = (
                found,
                [state, *possible_states] if opened_store.open_report.write_error else [],
            )
            marker = (opened_store.store_id, opened_store.sequence)
            for _ in range(rng.randrange(25)):
                batch: Batch = {
                    b"k%d" % rng.randrange(5): None
                    if rng.random() < 0.2
                    else rng.randbytes(rng.choice((1, 40, 700)))
                    for _ in range(rng.randrange(1, 4))
                }
                after = {key: value for key, value in (state | batch).items() if value is not None}
                possible_states.append(after)
                try:
                    opened_store.commit([batch])
                except NotKept:
                    continue
                state, possible_states = after, []
                marker = (opened_store.store_id, opened_store.sequence)
                commits += 1
                while opened_store.compact(lambda: rng.random() < 0.3) and rng.random() < 0.7:
                    pass
        except PowerLost:
            pass
        except Refused as error:
            refused += 1
            if not disk.lied and state:
                lost += 1
                what = what or f"seed {seed} {kind}, start {start}: refused, {error}"
            break
        except OSError as error:
            what = what or f"seed {seed} {kind}, start {start}: {error!r}"
            lost += 1
            break
        if rng.random() < 0.7:
            disk.lose_power()
            cuts += 1
        else:
            disk.lose_process()
    return HistoryResult(commits, cuts, invented, lost, silent, refused, what)
