"""The store: what is found after cuts, flips, failures and lies, and the store as its keeper drives it."""

import os
import time
from random import Random

import pytest
from click.testing import CliRunner

from corklift.cli import main as cli
from corklift.net.scheduler import Scheduler, wall_clock
from corklift.rig.disks import PLAN, SECTOR, Faults, Memory, Played, cut_power
from corklift.rig.store_days import KINDS, play
from corklift.store import format as store_format
from corklift.store import log
from corklift.store.files import Disk
from corklift.store.format import BATCH, HEAD, WHOLE, Refused, load, salvage
from corklift.store.log import InUse, NotKept, Store
from corklift.store.worker import Folders, Keeper


def filled(disk, number=5):
    store = Store(disk, b"s" * 16)
    for at in range(number):
        store.commit([{b"a": b"%d" % at, b"k%d" % at: b"v" * 40}])
    return store


@pytest.mark.parametrize("kind", KINDS)
def test_histories_against_a_model(kind):
    for seed in range(150):
        verdict = play(seed, kind)
        assert not verdict.invented and not verdict.lost_synced and not verdict.silent, verdict.what


def test_each_cut_and_each_flipped_bit_gives_the_last_state_or_a_refusal():
    disk = Memory(Random(1))
    filled(disk, 3)
    (name,) = disk.names()
    content = disk.read(name)
    whole = load([name], disk.read).state
    states = [whole, {}] + [
        {b"a": b"%d" % at} | {b"k%d" % n: b"v" * 40 for n in range(at + 1)} for at in range(3)
    ]
    last = 0
    for at in range(len(content) + 1):
        found = load([name], lambda _, at=at: content[:at]).state
        assert found in states
        assert len(found) >= last
        last = len(found)
    for bit in range(8 * len(content)):
        flipped = bytearray(content)
        flipped[bit // 8] ^= 1 << bit % 8
        try:
            assert load([name], lambda _: bytes(flipped)).state == whole
        except Refused as problem:
            assert problem.name == name and 0 <= problem.offset <= len(content) and problem.reason


@pytest.mark.parametrize("fault", ["append", "sync", "folder", "create"])
def test_a_segment_that_failed_is_never_written_to_again(fault):
    disk = Memory(Random(2))
    store = filled(disk)
    (before,) = disk.names()
    disk.faults = Faults(**{fault: 1.0})
    if fault in ("append", "sync"):
        with pytest.raises(NotKept):
            store.commit([{b"lost": b"1"}])
    disk.faults = Faults()
    size = len(disk.read(before)) if before in disk.names() else 0
    assert store.commit([{b"kept": b"1"}]) == 6
    if fault in ("append", "sync"):
        assert store.get(b"lost") is None and disk.names() != [before]
        assert before not in disk.names() or len(disk.read(before)) == size
    disk.power_lost()
    found = load(disk.names(), disk.read)
    assert found.state[b"kept"] == b"1" and b"lost" not in found.state and found.sequence == 6


def test_a_full_disk_at_the_first_write_and_room_later():
    disk = Memory(Random(3), Faults(full=20))
    store = Store(disk)
    assert "No space" in store.notes.trouble and store.notes.fresh
    with pytest.raises(NotKept):
        store.commit([{b"a": b"1"}])
    disk.faults = Faults()
    assert store.commit([{b"a": b"2"}]) == 1
    assert Store(disk).get(b"a") == b"2"


def test_compaction_goes_on_beside_commits_and_a_cut_at_any_call_loses_nothing():
    for cut in range(1, 60):
        disk = Memory(Random(cut))
        store = Store(disk, least=500)
        state = {}
        try:
            disk.cut_at = disk.calls + cut
            for at in range(12):
                batch = {b"k%d" % (at % 3): bytes([65 + at]) * 200}
                store.commit([batch])
                state |= batch
                store.compact(lambda: True)
        except BaseException as problem:
            assert type(problem).__name__ == "PowerLost"
        disk.power_lost()
        found = load(disk.names(), disk.read).state
        assert (
            all(found.get(key) == value for key, value in state.items()) or found == state | batch
        ), cut


def test_foreign_newer_missing_and_swapped_segments_are_told_apart():
    disk = Memory(Random(4))
    filled(disk)
    (name,) = disk.names()
    content = disk.read(name)

    def refusal(files):
        with pytest.raises(Refused) as caught:
            load(files, files.get)
        return str(caught.value)

    newer = bytearray(content)
    newer[8] = 2
    newer[HEAD.size - 4 : HEAD.size] = store_format.crc32c(bytes(newer[: HEAD.size - 4])).to_bytes(
        4, "little"
    )
    assert "is of form 2" in refusal({name: bytes(newer)})
    assert "no segment of a store" in refusal({name: b"x" * 600})
    assert "says that it is" in refusal({store_format.name_of(9): content})
    other = Memory(Random(5))
    Store(other, b"o" * 16)
    assert "another store" in refusal(
        {name: other.read(other.names()[0]), store_format.name_of(2): _numbered(content, 2)}
    )
    assert load([], {}.get).segment == 0  # an empty folder is a new store: only peers can tell


def _numbered(content, number):
    given = store_format.read_head(store_format.name_of(1), content)
    frames, mark = store_format.frame(
        WHOLE, 0, 0, int.from_bytes(store_format.head(given._replace(number=number))[-4:], "little")
    )
    return store_format.head(given._replace(number=number)) + frames


def test_one_process_at_a_time_and_what_another_left_is_written_anew(tmp_path):
    disk = Disk(str(tmp_path / "store"))
    store = filled(disk)
    with pytest.raises(InUse):
        Store(Disk(str(tmp_path / "store")))
    store.end()
    disk.end()
    again = Store(Disk(str(tmp_path / "store")))
    assert again.sequence == 5 and again.get(b"a") == b"4" and not again.notes.fresh
    assert [name for name in os.listdir(tmp_path / "store") if name.endswith(".seg")] == [
        store_format.name_of(2)
    ]


def test_commands_say_where_a_store_is_damaged_and_salvage_the_rest(tmp_path):
    path, to = tmp_path / "store", tmp_path / "saved"
    disk = Disk(str(path))
    store = filled(disk)
    store.end()
    disk.end()
    file = path / store_format.name_of(1)
    run = CliRunner().invoke
    assert run(cli, ["store", "check", str(path)]).exit_code == 0
    assert "k4" in run(cli, ["store", "dump", str(path)]).output
    content = bytearray(file.read_bytes())
    content[200] ^= 1
    file.write_bytes(content)
    found = run(cli, ["store", "check", str(path)])
    assert found.exit_code == 1 and f"{file.name} at byte" in found.output
    assert file.read_bytes() == content
    told = run(cli, ["store", "salvage", str(path), "--to", str(to)])
    assert told.exit_code == 0 and "bytes" in told.output
    assert load(os.listdir(to), Disk(str(to)).read).state[b"a"] == b"4"
    assert run(cli, ["store", "copy", str(to), str(tmp_path / "copy")]).exit_code == 0
    assert run(cli, ["store", "check", str(tmp_path / "copy")]).exit_code == 0


def kept(folders, conduct):
    """Runs a keeper on a scheduler of its own; `conduct(scheduler, keeper)` with what it was opened with."""
    problems = []
    scheduler = Scheduler(wall_clock(), problems.append)
    opened = []
    keeper = Keeper(scheduler, folders, lambda *told: opened.append(told))
    result = []

    def whole():
        keeper.start()
        try:
            result.append(conduct(scheduler, keeper, opened))
        finally:
            keeper.stop()
            scheduler.stop()

    scheduler.spawn(keeper.keep_hearing)
    scheduler.spawn(whole)
    scheduler.run()
    assert problems == []
    return result[0]


def test_a_disk_that_stalls_delays_no_tick(tmp_path):
    control = tmp_path / "rig"
    control.mkdir()

    def conduct(scheduler, keeper, opened):
        while not opened:
            scheduler.sleep(1_000_000)
        (control / PLAN).write_text('{"sync": "stall:20"}')
        done, longest = [], 0
        keeper.keep({b"a": b"1"}, lambda number, why: done.append((number, why)))
        for _ in range(40):
            before = time.monotonic()
            scheduler.sleep(5_000_000)
            longest = max(longest, time.monotonic() - before)
        assert not done and keeper.under_way == 1 and not keeper.settle(50_000_000)
        (control / PLAN).write_text("{}")
        assert keeper.settle(20_000_000_000)
        return done, longest

    done, longest = kept(
        Folders(str(tmp_path), lambda path: Played(path, control=str(control))), conduct
    )
    assert done == [(1, "")] and longest < 1.0


def test_power_cut_on_a_real_folder_keeps_what_was_synced_and_no_more(tmp_path):
    path, control = str(tmp_path / "store"), str(tmp_path / "rig")
    for seed in range(20):
        disk = Played(path, control=control)
        store = Store(disk)
        sequence = store.commit([{b"n": b"%d" % seed}])
        (tmp_path / "rig" / PLAN).write_text('{"sync": "lie", "folder": "lie"}')
        store.commit([{b"n": b"lied", b"more": b"x" * 2 * SECTOR}])
        store.end()
        disk.end()
        (tmp_path / "rig" / PLAN).write_text("{}")
        cut_power(path, Random(seed), control)
        found = load(Disk(path).names(), Disk(path).read)
        assert found.state[b"n"] in (b"%d" % seed, b"lied") and found.sequence >= sequence


def _unchecked(monkeypatch):
    monkeypatch.setattr(store_format, "crc32c", lambda content: 7)


def _folder_not_synced(monkeypatch):
    monkeypatch.setattr(Memory, "sync_folder", lambda self: None)


def _tail_accepted(monkeypatch):
    monkeypatch.setattr(store_format, "_known_synced", lambda content, since: 0)


def _sync_tried_again(monkeypatch):
    plain = Memory.sync

    def twice(self, handle):
        try:
            plain(self, handle)
        except OSError:
            plain(self, handle)

    monkeypatch.setattr(Memory, "sync", twice)


def _old_removed_first(monkeypatch):
    plain = log.Store._finish

    def finish(self, writing, sequence, batches):
        for name in self._files.names():
            if name < store_format.name_of(writing.number):
                self._remove(name)
        self._files.sync_folder()
        plain(self, writing, sequence, batches)

    monkeypatch.setattr(log.Store, "_finish", finish)


@pytest.mark.parametrize(
    "fault, kind",
    [
        (_unchecked, "flip"),
        (_folder_not_synced, "power"),
        (_tail_accepted, "flip"),
        (_sync_tried_again, "failing"),
        (_old_removed_first, "power"),
    ],
)
def test_deliberate_faults_are_found(monkeypatch, fault, kind):
    fault(monkeypatch)
    if kind == "flip":
        disk = Memory(Random(1))
        filled(disk)
        (name,) = disk.names()
        whole, content, wrong = load([name], disk.read).state, disk.read(name), 0
        for bit in range(8 * HEAD.size, 8 * len(content)):
            flipped = bytearray(content)
            flipped[bit // 8] ^= 1 << bit % 8
            try:
                wrong += load([name], lambda _: bytes(flipped)).state != whole
            except Refused:
                pass
        assert wrong
    else:
        assert any(
            verdict.invented or verdict.lost_synced
            for verdict in (play(seed, kind) for seed in range(400))
        )


def test_a_batch_is_whole_or_not_there():
    disk = Memory(Random(6))
    store = Store(disk)
    store.commit([{b"%d" % at: b"1" * 30 for at in range(1000)}])
    (name,) = disk.names()
    content = disk.read(name)
    frame = next(
        at
        for at in range(HEAD.size, len(content))
        if getattr(store_format.frame_at(content, at), "kind", 0) == BATCH
    )
    for at in range(frame, len(content) - 36, 997):
        assert load([name], lambda _, at=at: content[:at]).state == {}
    with pytest.raises(ValueError):
        store.commit([{b"": b"1"}])
    assert len(store.items(b"99")) == 11


def test_a_damaged_store_is_left_as_it_is_and_the_next_has_what_could_be_read(tmp_path):
    disk = Disk(str(tmp_path / "store-1"))
    filled(disk).end()
    disk.end()
    file = tmp_path / "store-1" / store_format.name_of(1)
    content = bytearray(file.read_bytes())
    content[200] ^= 1
    file.write_bytes(content)

    def conduct(scheduler, keeper, opened):
        while not opened:
            scheduler.sleep(1_000_000)
        keeper.keep({b"new": b"1"}, lambda number, why: None)
        assert keeper.settle()
        return opened[0]

    notes, items, lost, why = kept(Folders(str(tmp_path)), conduct)
    assert (
        notes is not None
        and not notes.fresh
        and notes.sequence == 1
        and dict(items)[b"a"] == b"4"
        and file.name in lost
        and not why
    )
    assert file.read_bytes() == content
    assert (
        kept(
            Folders(str(tmp_path)),
            lambda scheduler, keeper, opened: scheduler.sleep(300_000_000) or opened,
        )[0][2]
        == ""
    )
    assert (
        load(os.listdir(tmp_path / "store-2"), Disk(str(tmp_path / "store-2")).read).state[b"new"]
        == b"1"
    )
