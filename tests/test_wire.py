"""Tests of the simulator's adapter on encoded frames: replies, malformed input, bad settings."""

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


def frame(number: int, now: int, *records: bytes) -> bytes:
    """Encodes a batch."""
    body = b"".join(records)
    return codec.BATCH_HEAD.pack(number, len(records), len(body), now) + body


def record(code: int, *fields, content: bytes = b"") -> bytes:
    return bytes([code]) + FIXED[code].pack(*fields) + content


def start_record(settings) -> bytes:
    encoded = json.dumps(settings).encode()
    return record(codec.START, 5, len(encoded), content=encoded)


def run_adapter(data: bytes) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "corklift.benchlink"],
        input=data,
        capture_output=True,
        timeout=30,
        cwd=Path(__file__).parent.parent,
    )


def list_record(number: int, *servers: int) -> bytes:
    content = b"".join(ENTRY.pack(server, 0, 0, 0, 1, 1.0, 0) for server in servers)
    return record(codec.LEDGER, number, len(servers), content=content)


def test_a_login_is_handed_off_and_a_reused_list_number_read_in_order():
    login = record(codec.NEW_REQUEST, 1 << 50, 0, 0, 0, 9_000_000_000, 0, 0, 0)
    result = run_adapter(
        frame(1, 10)
        + frame(
            2,
            5_000_000_000,
            list_record(0, 11),
            record(codec.SELECT, 3),
            start_record(SETTINGS),
            record(codec.DISCOVERY, 2, 1, 0),
            list_record(0, 22),
            record(codec.SELECT, 4),
            start_record(SETTINGS),
            record(codec.DISCOVERY, 2, 1, 0),
            login,
            record(codec.SELECT, 3),
            login,
        )
    )
    assert result.returncode == 0, result.stderr
    assert result.stdout[:8] == bytes.fromhex("0000000100000000")
    # 4 s remain until the time limit, and three hand-offs are allowed: each gets a third.
    cut_at = 5_000_000_000 + 4_000_000_000 // 3
    for server in (22, 11):
        assert codec.Reply._HAND_OFF.pack(2, 1 << 50, server, cut_at) in result.stdout


def test_malformed_frames_cause_one_error_line_and_no_partial_reply():
    for data, expected_text in (
        (b"\0\0\0", "ends at byte 3"),
        (frame(1, 1, b"\x63"), "unknown code 99"),
        (frame(1, 1, b"\x0b\0"), "NEW_REQUEST) at byte 0 is cut off"),
    ):
        result = run_adapter(data)
        assert result.returncode != 0 and result.stdout == b""
        assert expected_text in result.stderr.decode() and result.stderr.count(b"\n") == 1


def test_invalid_settings_are_reported_with_their_key():
    for change, expected_text in (
        ({"workloads": []}, b"workloads"),
        ({"rules": None}, b"rules"),
        ({"workloads": [SETTINGS["workloads"][0] | {"time-limit-ns": -1}]}, b"time-limit-ns"),
    ):
        result = run_adapter(frame(1, 1, record(codec.SELECT, 0), start_record(SETTINGS | change)))
        assert result.returncode == 0 and expected_text in result.stdout and result.stdout[11] == 4


def test_an_unknown_server_status_is_reported_with_its_position():
    content = ENTRY.pack(1, 0, 0, 0, 1, 1.0, 0) + ENTRY.pack(2, 0, 0, 0, 9, 1.0, 0)
    result = run_adapter(frame(1, 1, record(codec.LEDGER, 0, 2, content=content)))
    assert result.returncode != 0 and result.stdout == b"" and b"entry 1, byte 23" in result.stderr
