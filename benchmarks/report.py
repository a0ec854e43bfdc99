"""Command line and output of every benchmark: a table, and one JSON object as the last line."""

from __future__ import annotations

import argparse
import json
from collections.abc import Sequence
from typing import Any


def parse_arguments(doc: str | None) -> argparse.Namespace:
    """Returns `quick`, `seed` and `json`, the options that all benchmarks have."""
    parser = argparse.ArgumentParser(
        description=doc, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", metavar="FILE")
    return parser.parse_args()


def tell(
    title: str, figures: dict[str, Any], checks: Sequence[tuple[str, bool]], path: str | None
) -> int:
    """Prints the figures as a table and as JSON, and writes the JSON to `path` if that is given.

    Each check is the description of a failure, and whether the check passed. The exit code that is
    returned is 1 if a check failed, else 0.
    """
    print(f"\n{title} (simulated peers on loopback)")
    width = max(map(len, figures))
    for name, value in figures.items():
        print(f"  {name:{width}}  {value}")
    broken = [failure for failure, passed in checks if not passed]
    for failure in broken:
        print(f"  broken: {failure}")
    line = json.dumps(figures | {"broken": broken})
    if path:
        with open(path, "w", encoding="utf-8") as file:
            file.write(line + "\n")
    print(line)
    return 1 if broken else 0
