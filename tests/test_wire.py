"""The adapter on raw frames: replies, malformed input, bad settings."""

import json
import subprocess
import sys
from pathlib import Path

from corklift.benchlink import codec
from corklift.benchlink.codec import ENTRY, FIXED

SETTINGS = {
    "workloads": [
        {
            "name": "w",
            "effect": "pure",
            "soft-limit-ns": 800_000_000,
            "time-limit-ns": 3_200_000_000,
        }
    ],
    "rules": {},
    "permissions": {"probes": True, "max-hand-offs": 3},
    "unknown-key": 1,
}


def frame(number: int, now: int, *parts: bytes) -> bytes:
    body = b"".join(parts)
    return codec.BATCH_HEAD.pack(number, len(parts), len(body), now) + body


def record(code: int, *fields, content: bytes = b"") -> bytes:
    return bytes([code]) + FIXED[code].pack(*fields) + content


def start(settings) -> bytes:
    text = json.dumps(settings).encode()
    return record(codec.START, 5, len(text), content=text)


def adapter(data: bytes) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "corklift.benchlink"],
        input=data,
        capture_output=True,
        timeout=30,
        cwd=Path(__file__).parent.parent,
    )


def listing(number: int, *servers: int) -> bytes:
    content = b"".join(ENTRY.pack(server, 0, 0, 0, 1, 1.0, 0) for server in servers)
    return record(codec.LEDGER, number, len(servers), content=content)


def test_a_login_is_handed_off_and_a_reused_list_number_read_in_order():
    login = record(codec.NEW_REQUEST, 1 << 50, 0, 0, 0, 9_000_000_000, 0, 0, 0)
    done = adapter(
        frame(1, 10)
        + frame(
            2,
            5_000_000_000,
            listing(0, 11),
            record(codec.SELECT, 3),
            start(SETTINGS),
            record(codec.DISCOVERY, 2, 1, 0),
            listing(0, 22),
            record(codec.SELECT, 4),
            start(SETTINGS),
            record(codec.DISCOVERY, 2, 1, 0),
            login,
            record(codec.SELECT, 3),
            login,
        )
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout[:8] == bytes.fromhex("0000000100000000")
    cut_at = 5_000_000_000 + 4_000_000_000 // 3  # a third of the time left, of three hand-offs
    for server in (22, 11):
        assert codec.Reply._HAND_OFF.pack(2, 1 << 50, server, cut_at) in done.stdout


def test_malformed_frames_end_with_one_line_and_no_half_reply():
    for data, words in (
        (b"\0\0\0", "ends at byte 3"),
        (frame(1, 1, b"\x63"), "unknown code 99"),
        (frame(1, 1, b"\x0b\0"), "NEW_REQUEST) at byte 0 is cut off"),
    ):
        done = adapter(data)
        assert done.returncode != 0 and done.stdout == b""
        assert words in done.stderr.decode() and done.stderr.count(b"\n") == 1


def test_bad_settings_are_a_fault_that_names_the_key():
    for change, words in (
        ({"workloads": []}, b"workloads"),
        ({"rules": None}, b"rules"),
        ({"workloads": [SETTINGS["workloads"][0] | {"time-limit-ns": -1}]}, b"time-limit-ns"),
    ):
        done = adapter(frame(1, 1, record(codec.SELECT, 0), start(SETTINGS | change)))
        assert done.returncode == 0 and words in done.stdout and done.stdout[11] == 4


def test_an_unknown_list_status_is_told_with_its_place():
    content = ENTRY.pack(1, 0, 0, 0, 1, 1.0, 0) + ENTRY.pack(2, 0, 0, 0, 9, 1.0, 0)
    done = adapter(frame(1, 1, record(codec.LEDGER, 0, 2, content=content)))
    assert done.returncode != 0 and done.stdout == b"" and b"entry 1, byte 23" in done.stderr
