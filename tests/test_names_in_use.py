"""Tests that no connection name is used twice by the processes of a balancer."""

import gc
import os
from random import Random

import pytest
from harness import BalancerHarness

from corklift.net.connection_names import ConnectionNames
from corklift.net.limits import MS, SECOND, Limits

RESERVE_TIME = Limits.name_time
OPEN = "OPEN 1 7f c=plain,d=9000\r\n"


class Clock:
    def __init__(self) -> None:
        self.now = 1_700_000_000 * SECOND

    def __call__(self) -> int:
        return self.now


def make_names(clock, size=1 << 16):
    return ConnectionNames(clock, RESERVE_TIME, size)


def test_name_is_reserved_during_its_use_and_for_a_moment_after_it():
    clock = Clock()
    names = make_names(clock)
    assert names.claim("a") and not names.claim("a") and names.count == 1
    clock.now += 100 * RESERVE_TIME
    assert not names.claim("a")
    names.release("a")
    clock.now += RESERVE_TIME - MS
    assert not names.claim("a")  # which extends the time
    clock.now += RESERVE_TIME - MS
    assert not names.claim("a")
    clock.now += RESERVE_TIME
    assert names.claim("a") and names.count == 1
    names.withdraw("a")
    assert names.claim("a")


# Once clients had used four times as many names as there may be clients, the oldest was forgotten
# before its time, and a login with it ran again.
def test_name_of_a_client_that_left_is_refused_after_a_flood_of_new_names():
    harness = BalancerHarness("up", limits={"sockets": 39})
    harness.client("a", OPEN, 20, ...)
    harness.run(100)
    for number in range(8 * harness.limits.clients):
        harness.client(f"n{number}", OPEN, 10, ...)
        harness.run(25)
    harness.client("a", OPEN)
    harness.run(100)
    assert [line[7:] for line in harness.trace if line[7:].startswith("a <")] == [
        "a < UP s1",
        "a < ERR",
    ]


def test_names_are_not_forgotten_under_a_flood_of_new_ones():
    clock, limits = Clock(), Limits.from_deployment({"sockets": 1024, "memory_mb": 32}, *[1] * 5)
    names = ConnectionNames(clock, limits.name_time, limits.name_table)
    count = 3 * 1500  # for the time of reservation, at a rate that takes all of a core
    assert all(names.claim(f"n{number}") for number in range(count))
    for number in range(count):
        names.release(f"n{number}")
    clock.now += RESERVE_TIME - MS
    assert not any(names.claim(f"n{number}") for number in range(count))


def test_a_full_table_keeps_the_names_in_use():
    names = make_names(Clock(), size=256)
    in_use = [name for name in map(str, range(40)) if names.claim(name)]
    assert len(in_use) == names.count == 16
    names.release(in_use[3])
    assert names.claim("new") and not names.claim("newer")
    assert not any(names.claim(name) for name in in_use if name != in_use[3])


def test_no_name_is_in_use_at_two_processes_whatever_their_order():
    # Steps of three processes in random order: each sees the others' tables at once, and one step
    # lies between its own entry and its look at the others.
    for seed in range(200):
        rng, clock = Random(seed), Clock()
        tables, processes = {}, {}

        def open_table(generation, tables=tables):
            return os.dup(tables[generation])

        for generation in range(3):
            tables[generation] = os.memfd_create("table")
            processes[generation] = make_names(clock, 1 << 12)
            processes[generation].share(tables[generation])
        for generation, names in processes.items():
            names.other_processes(tables.keys() - {generation}, [], open_table)
        in_use: dict[str, int] = {}
        for _ in range(100):
            clock.now += rng.randrange(RESERVE_TIME // 10)
            generation, name = rng.randrange(3), f"n{rng.randrange(8)}"
            if in_use.get(name) == generation and rng.random() < 0.5:
                processes[generation].release(name)
                del in_use[name]
            elif processes[generation].claim(name):
                assert name not in in_use, seed
                in_use[name] = generation
        for names in processes.values():
            names.other_processes([], [], open_table)


def test_of_two_claims_at_the_same_moment_at_most_one_succeeds():
    clock, tables = Clock(), {number: os.memfd_create("table") for number in (1, 2)}
    first, second = make_names(clock), make_names(clock)
    first.share(tables[1])
    second.share(tables[2])
    first.other_processes([2], [], lambda number: os.dup(tables[number]))
    second.other_processes([1], [], lambda number: os.dup(tables[number]))
    claims = []
    look = first._is_claimed_elsewhere

    def claim_between(name, now):
        claims.append(second.claim(name))
        return look(name, now)

    first._is_claimed_elsewhere = claim_between
    claims.append(first.claim("a"))
    assert sum(claims) <= 1


@pytest.mark.parametrize("content", [b"", b"x" * 10, b"x" * 24, bytes(24)])
def test_an_incomplete_table_of_another_process_is_left_out(tmp_path, content):
    (tmp_path / "1.names").write_bytes(content)
    gc.collect()  # otherwise descriptors of earlier tests may be closed meanwhile
    names, before = make_names(Clock()), len(os.listdir("/proc/self/fd"))
    names.other_processes([1], [], lambda number: os.open(tmp_path / "1.names", os.O_RDONLY))
    assert names.claim("a") and len(os.listdir("/proc/self/fd")) == before
