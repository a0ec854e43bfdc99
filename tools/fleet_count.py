"""Counts what the balancers of a fleet did, second by second, from their own log lines.

    python tools/fleet_count.py DIR

DIR holds one log a balancer, `NAME.log`, each line with its seconds since the start of the day in front. Printed are, for each
second: what all balancers together took in, sent and met (their `second` lines), how many of them said what of discovery,
and the servers that most of them spoke of. Reads only; a line that can't be read is counted and passed over.
"""

from __future__ import annotations

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

LINE = re.compile(r"(\d+)\.\d+ corklift: (.*)")
KINDS = (  # what a line tells, and the server that it tells of
    ("list refused", re.compile(r"discovery: Overbooked")),
    ("list faults", re.compile(r"discovery: (?:Late|Gone|Malformed)")),
    ("list again", re.compile(r"discovery answers again")),
    ("out", re.compile(r"server (\S+) out of the draw")),
    ("hot", re.compile(r"server (\S+) hot at")),
    ("silent", re.compile(r"server (\S+) silent")),
    ("leaves", re.compile(r"server (\S+) (?:drains|is gone)")),
)
FIGURE = re.compile(r"([a-z][a-z -]*)=(\d+)")


def count(
    logs: Iterable[Iterable[str]],
) -> tuple[dict[int, Counter[str]], dict[int, Counter[str]], int]:
    """By second: the sums of all logs, how many lines told of each server and how; and the lines that can't be read."""
    sums: dict[int, Counter[str]] = defaultdict(Counter)
    servers: dict[int, Counter[str]] = defaultdict(Counter)
    unread = 0
    for log in logs:
        for line in log:
            found = LINE.match(line)
            if found is None:
                unread += bool(line.strip())
                continue
            second, text = int(found[1]), found[2]
            if text.startswith("second: "):
                for name, value in FIGURE.findall(text[8:]):
                    sums[second][name.strip()] += int(value)
                continue
            for kind, pattern in KINDS:
                told = pattern.search(text)
                if told is not None:
                    sums[second][kind] += 1
                    if pattern.groups:
                        servers[second][f"{told[1]} {kind}"] += 1
    return sums, servers, unread


def main() -> int:
    if len(sys.argv) != 2 or not Path(sys.argv[1]).is_dir():
        print(__doc__, file=sys.stderr)
        return 2
    paths = sorted(Path(sys.argv[1]).glob("*.log"))
    sums, servers, unread = count(path.open(errors="replace") for path in paths)
    for second in sorted(sums):
        told = " ".join(f"{name}={number}" for name, number in sorted(sums[second].items()))
        spoken = ", ".join(f"{name} x{number}" for name, number in servers[second].most_common(4))
        print(f"{second:4d}  {told}{'  | ' + spoken if spoken else ''}")
    print(f"{len(paths)} balancers, {unread} lines that can't be read")
    return 0 if paths else 1


if __name__ == "__main__":
    sys.exit(main())
