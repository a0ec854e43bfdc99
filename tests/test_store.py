"""The store after power cuts, bit flips, disk failures and lying disks, and its worker thread."""

import os
import time
from random import Random

import pytest
from click.testing import CliRunner

from corklift.cli import main as cli
from corklift.net.scheduler import Scheduler, wall_clock
from corklift.rig.disks import PLAN_FILE, SECTOR, DiskFaults, FaultyDiskFiles, MemoryDisk, cut_power
from corklift.rig.store_days import DISK_KINDS, run_history
from corklift.store import format as store_format
from corklift.store import log
from corklift.store.files import DiskFiles
from corklift.store.format import BATCH, HEAD, SNAPSHOT_END, Refused, load
from corklift.store.log import InUse, NotKept, Store
from corklift.store.worker import StoreFolders, StoreWorker


def create_store(disk, commits=5):
    store = Store(disk, b"s" * 16)
    for index in range(commits):
        store.commit([{b"a": b"%d" % index, b"k%d" % index: b"v" * 40}])
    return store


@pytest.mark.parametrize("kind", DISK_KINDS)
def test_random_histories_against_a_model(kind):
    for seed in range(150):
        verdict = run_history(seed, kind)
        assert not verdict.invented and not verdict.lost_synced and not verdict.silent, verdict.what


def test_each_cut_and_each_flipped_bit_gives_the_last_state_or_a_refusal():
    disk = MemoryDisk(Random(1))
    create_store(disk, 3)
    (name,) = disk.names()
    content = disk.read(name)
    complete = load([name], disk.read).state
    states = [complete, {}] + [
        {b"a": b"%d" % end} | {b"k%d" % n: b"v" * 40 for n in range(end + 1)} for end in range(3)
    ]
    last = 0
    for end in range(len(content) + 1):
        found = load([name], lambda _, end=end: content[:end]).state
        assert found in states
        assert len(found) >= last
        last = len(found)
    for bit in range(8 * len(content)):
        flipped = bytearray(content)
        flipped[bit // 8] ^= 1 << bit % 8
        try:
            assert load([name], lambda _: bytes(flipped)).state == complete
        except Refused as problem:
            assert problem.name == name and 0 <= problem.offset <= len(content) and problem.reason


@pytest.mark.parametrize("fault", ["append", "sync", "folder", "create"])
def test_a_segment_that_failed_is_never_written_to_again(fault):
    disk = MemoryDisk(Random(2))
    store = create_store(disk)
    (old_segment,) = disk.names()
    disk.faults = DiskFaults(**{fault: 1.0})
    if fault in ("append", "sync"):
        with pytest.raises(NotKept):
            store.commit([{b"lost": b"1"}])
    disk.faults = DiskFaults()
    size = len(disk.read(old_segment)) if old_segment in disk.names() else 0
    assert store.commit([{b"kept": b"1"}]) == 6
    if fault in ("append", "sync"):
        assert store.get(b"lost") is None and disk.names() != [old_segment]
        assert old_segment not in disk.names() or len(disk.read(old_segment)) == size
    disk.lose_power()
    found = load(disk.names(), disk.read)
    assert found.state[b"kept"] == b"1" and b"lost" not in found.state and found.sequence == 6


def test_a_disk_full_at_the_first_write_that_later_has_space():
    disk = MemoryDisk(Random(3), DiskFaults(full=20))
    store = Store(disk)
    assert "No space" in store.open_report.write_error and store.open_report.fresh
    with pytest.raises(NotKept):
        store.commit([{b"a": b"1"}])
    disk.faults = DiskFaults()
    assert store.commit([{b"a": b"2"}]) == 1
    assert Store(disk).get(b"a") == b"2"


def test_a_power_cut_at_any_call_during_compaction_and_commits_loses_nothing():
    for cut in range(1, 60):
        disk = MemoryDisk(Random(cut))
        store = Store(disk, min_compaction_bytes=500)
        state = {}
        try:
            disk.cut_at = disk.calls + cut
            for index in range(12):
                batch = {b"k%d" % (index % 3): bytes([65 + index]) * 200}
                store.commit([batch])
                state |= batch
                store.compact(lambda: True)
        except BaseException as problem:
            assert type(problem).__name__ == "PowerLost"
        disk.lose_power()
        found = load(disk.names(), disk.read).state
        assert (
            all(found.get(key) == value for key, value in state.items()) or found == state | batch
        ), cut


def test_foreign_newer_missing_and_swapped_segments_are_distinguished():
    disk = MemoryDisk(Random(4))
    create_store(disk)
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
    assert "says that it is" in refusal({store_format.segment_name(9): content})
    other = MemoryDisk(Random(5))
    Store(other, b"o" * 16)
    assert "another store" in refusal(
        {name: other.read(other.names()[0]), store_format.segment_name(2): _numbered(content, 2)}
    )
    # An empty folder counts as a new store: only peers can tell that there was one.
    assert load([], {}.get).segment_number == 0


def _numbered(content, number):
    header = store_format.decode_header(store_format.segment_name(1), content)
    frames, checksum = store_format.encode_frame(
        SNAPSHOT_END,
        0,
        0,
        int.from_bytes(store_format.encode_header(header._replace(number=number))[-4:], "little"),
    )
    return store_format.encode_header(header._replace(number=number)) + frames


def test_one_process_at_a_time_and_a_start_rewrites_the_segment(tmp_path):
    disk = DiskFiles(str(tmp_path / "store"))
    store = create_store(disk)
    with pytest.raises(InUse):
        Store(DiskFiles(str(tmp_path / "store")))
    store.close()
    disk.release()
    again = Store(DiskFiles(str(tmp_path / "store")))
    assert again.sequence == 5 and again.get(b"a") == b"4" and not again.open_report.fresh
    assert [name for name in os.listdir(tmp_path / "store") if name.endswith(".seg")] == [
        store_format.segment_name(2)
    ]


def test_commands_report_where_a_store_is_damaged_and_salvage_the_rest(tmp_path):
    path, target = tmp_path / "store", tmp_path / "saved"
    disk = DiskFiles(str(path))
    store = create_store(disk)
    store.close()
    disk.release()
    file = path / store_format.segment_name(1)
    invoke = CliRunner().invoke
    assert invoke(cli, ["store", "check", str(path)]).exit_code == 0
    assert "k4" in invoke(cli, ["store", "dump", str(path)]).output
    content = bytearray(file.read_bytes())
    content[200] ^= 1
    file.write_bytes(content)
    found = invoke(cli, ["store", "check", str(path)])
    assert found.exit_code == 1 and f"{file.name} at byte" in found.output
    assert file.read_bytes() == content
    salvaged = invoke(cli, ["store", "salvage", str(path), "--to", str(target)])
    assert salvaged.exit_code == 0 and "bytes" in salvaged.output
    assert load(os.listdir(target), DiskFiles(str(target)).read).state[b"a"] == b"4"
    assert invoke(cli, ["store", "copy", str(target), str(tmp_path / "copy")]).exit_code == 0
    assert invoke(cli, ["store", "check", str(tmp_path / "copy")]).exit_code == 0


def run_with_worker(folders, conduct):
    """Runs a worker on a scheduler of its own; returns `conduct(scheduler, worker, opened)`.

    `opened` receives the arguments of the worker's open callback.
    """
    problems = []
    scheduler = Scheduler(wall_clock(), problems.append)
    opened = []
    worker = StoreWorker(scheduler, folders, lambda *arguments: opened.append(arguments))
    result = []

    def run():
        worker.start()
        try:
            result.append(conduct(scheduler, worker, opened))
        finally:
            worker.stop()
            scheduler.stop()

    scheduler.spawn(worker.run_callbacks)
    scheduler.spawn(run)
    scheduler.run()
    assert problems == []
    return result[0]


def test_a_stalled_disk_does_not_delay_the_scheduler(tmp_path):
    control = tmp_path / "rig"
    control.mkdir()

    def conduct(scheduler, worker, opened):
        while not opened:
            scheduler.sleep(1_000_000)
        (control / PLAN_FILE).write_text('{"sync": "stall:20"}')
        done, longest = [], 0
        worker.submit({b"a": b"1"}, lambda number, error: done.append((number, error)))
        for _ in range(40):
            before = time.monotonic()
            scheduler.sleep(5_000_000)
            longest = max(longest, time.monotonic() - before)
        assert not done and worker.pending_commits == 1 and not worker.wait_until_idle(50_000_000)
        (control / PLAN_FILE).write_text("{}")
        assert worker.wait_until_idle(20_000_000_000)
        return done, longest

    done, longest = run_with_worker(
        StoreFolders(str(tmp_path), lambda path: FaultyDiskFiles(path, control=str(control))),
        conduct,
    )
    assert done == [(1, "")] and longest < 1.0


def test_power_cut_on_a_real_folder_keeps_what_was_synced_and_no_more(tmp_path):
    path, control = str(tmp_path / "store"), str(tmp_path / "rig")
    for seed in range(20):
        disk = FaultyDiskFiles(path, control=control)
        store = Store(disk)
        sequence = store.commit([{b"n": b"%d" % seed}])
        (tmp_path / "rig" / PLAN_FILE).write_text('{"sync": "lie", "folder": "lie"}')
        store.commit([{b"n": b"lied", b"more": b"x" * 2 * SECTOR}])
        store.close()
        disk.release()
        (tmp_path / "rig" / PLAN_FILE).write_text("{}")
        cut_power(path, Random(seed), control)
        found = load(DiskFiles(path).names(), DiskFiles(path).read)
        assert found.state[b"n"] in (b"%d" % seed, b"lied") and found.sequence >= sequence


def _checksums_ignored(monkeypatch):
    monkeypatch.setattr(store_format, "crc32c", lambda content: 7)


def _folder_not_synced(monkeypatch):
    monkeypatch.setattr(MemoryDisk, "sync_folder", lambda self: None)


def _damage_taken_for_torn_tail(monkeypatch):
    monkeypatch.setattr(store_format, "_highest_synced", lambda content, start: 0)


def _failed_sync_retried(monkeypatch):
    real_sync = MemoryDisk.sync

    def sync_with_retry(self, handle):
        try:
            real_sync(self, handle)
        except OSError:
            real_sync(self, handle)

    monkeypatch.setattr(MemoryDisk, "sync", sync_with_retry)


def _old_segments_removed_first(monkeypatch):
    finish_snapshot = log.Store._finish_snapshot

    def finish(self, writer, sequence, batches):
        for name in self._files.names():
            if name < store_format.segment_name(writer.number):
                self._remove_file(name)
        self._files.sync_folder()
        finish_snapshot(self, writer, sequence, batches)

    monkeypatch.setattr(log.Store, "_finish_snapshot", finish)


@pytest.mark.parametrize(
    "fault, kind",
    [
        (_checksums_ignored, "flip"),
        (_folder_not_synced, "power"),
        (_damage_taken_for_torn_tail, "flip"),
        (_failed_sync_retried, "failing"),
        (_old_segments_removed_first, "power"),
    ],
)
def test_deliberate_faults_are_detected(monkeypatch, fault, kind):
    fault(monkeypatch)
    if kind == "flip":
        disk = MemoryDisk(Random(1))
        create_store(disk)
        (name,) = disk.names()
        complete, content, wrong = load([name], disk.read).state, disk.read(name), 0
        for bit in range(8 * HEAD.size, 8 * len(content)):
            flipped = bytearray(content)
            flipped[bit // 8] ^= 1 << bit % 8
            try:
                wrong += load([name], lambda _: bytes(flipped)).state != complete
            except Refused:
                pass
        assert wrong
    else:
        assert any(
            verdict.invented or verdict.lost_synced
            for verdict in (run_history(seed, kind) for seed in range(400))
        )


def test_a_batch_is_atomic():
    disk = MemoryDisk(Random(6))
    store = Store(disk)
    store.commit([{b"%d" % index: b"1" * 30 for index in range(1000)}])
    (name,) = disk.names()
    content = disk.read(name)
    batch_offset = next(
        offset
        for offset in range(HEAD.size, len(content))
        if getattr(store_format.decode_frame(content, offset), "kind", 0) == BATCH
    )
    for end in range(batch_offset, len(content) - 36, 997):
        assert load([name], lambda _, end=end: content[:end]).state == {}
    with pytest.raises(ValueError):
        store.commit([{b"": b"1"}])
    assert len(store.items(b"99")) == 11


def test_a_damaged_store_is_left_as_it_is_and_the_next_gets_its_readable_part(tmp_path):
    disk = DiskFiles(str(tmp_path / "store-1"))
    create_store(disk).close()
    disk.release()
    file = tmp_path / "store-1" / store_format.segment_name(1)
    content = bytearray(file.read_bytes())
    content[200] ^= 1
    file.write_bytes(content)

    def conduct(scheduler, worker, opened):
        while not opened:
            scheduler.sleep(1_000_000)
        worker.submit({b"new": b"1"}, lambda number, error: None)
        assert worker.wait_until_idle()
        return opened[0]

    report, items, losses, open_error = run_with_worker(StoreFolders(str(tmp_path)), conduct)
    assert (
        report is not None
        and not report.fresh
        and report.sequence == 1
        and dict(items)[b"a"] == b"4"
        and file.name in losses
        and not open_error
    )
    assert file.read_bytes() == content
    assert (
        run_with_worker(
            StoreFolders(str(tmp_path)),
            lambda scheduler, worker, opened: scheduler.sleep(300_000_000) or opened,
        )[0][2]
        == ""
    )
    assert (
        load(os.listdir(tmp_path / "store-2"), DiskFiles(str(tmp_path / "store-2")).read).state[
            b"new"
        ]
        == b"1"
    )
