"""Counts what the balancers of a fleet did in each second, from their log lines.

    python tools/fleet_count.py DIR

DIR holds one log file for each balancer, `NAME.log`. Each line starts with the seconds since the
start of the day. For each second the tool prints the sums of the balancers' `second` lines, the
number of balancers that reported each state of discovery, and the servers that most log lines
name. It only reads; lines that can't be parsed are counted and skipped.
"""

from __future__ import annotations

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

LINE = re.compile(r"(\d+)\.\d+ corklift: (.*)")
# The kinds of log lines that are counted. A group in the pattern is the server that the line names.
KINDS = (
    ("list refused", re.compile(r"discovery: Overbooked")),
    ("list faults", re.compile(r"discovery: (?:Late|Gone|Malformed)")),
    ("list again", re.compile(r"discovery answers again")),
    ("out", re.compile(r"server (\S+) out of the draw")),
    ("hot", re.compile(r"server (\S+) hot at")),
    ("silent", re.compile(r"server (\S+) silent")),
    ("leaves", re.compile(r"server (\S+) (?:drains|is gone)")),
)
COUNTER = re.compile(r"([a-z][a-z -]*)=(\d+)")


def count(
    logs: Iterable[Iterable[str]],
) -> tuple[dict[int, Counter[str]], dict[int, Counter[str]], int]:
    """Adds up the log lines of a fleet.

    Returns the sums of all logs by second, the number of lines by second for each server and kind,
    and the number of lines that can't be parsed.
    """
    sums: dict[int, Counter[str]] = defaultdict(Counter)
    servers: dict[int, Counter[str]] = defaultdict(Counter)
    unparsable = 0
    for log in logs:
        for line in log:
            match = LINE.match(line)
            if match is None:
                unparsable += bool(line.strip())
                continue
            second, text = int(match[1]), match[2]
            if text.startswith("second: "):
                for name, value in COUNTER.findall(text[8:]):
                    sums[second][name.strip()] += int(value)
                continue
            for kind, pattern in KINDS:
                kind_match = pattern.search(text)
                if kind_match is not None:
                    sums[second][kind] += 1
                    if pattern.groups:
                        servers[second][f"{kind_match[1]} {kind}"] += 1
    return sums, servers, unparsable


def main() -> int:
    if len(sys.argv) != 2 or not Path(sys.argv[1]).is_dir():
        print(__doc__, file=sys.stderr)
        return 2
    paths = sorted(Path(sys.argv[1]).glob("*.log"))
    sums, servers, unparsable = count(path.open(errors="replace") for path in paths)
    for second in sorted(sums):
        counters = " ".join(f"{name}={value}" for name, value in sorted(sums[second].items()))
        frequent = ", ".join(f"{name} x{lines}" for name, lines in servers[second].most_common(4))
        print(f"{second:4d}  {counters}{'  | ' + frequent if frequent else ''}")
    print(f"{len(paths)} balancers, {unparsable} lines that can't be read")
    return 0 if paths else 1


if __name__ == "__main__":
    sys.exit(main())
