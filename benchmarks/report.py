"""How every benchmark tells what it found: a table, and one JSON object as the last line."""

from __future__ import annotations

import argparse
import json
from collections.abc import Sequence
from typing import Any


def arguments(doc: str | None) -> argparse.Namespace:
    """`quick`, `seed` and `json`, as all benchmarks take them."""
    parser = argparse.ArgumentParser(
        description=doc, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", metavar="FILE")
    return parser.parse_args()


def tell(
    title: str, figures: dict[str, Any], rules: Sequence[tuple[str, bool]], path: str | None
) -> int:
    """Prints the table, then the object; returns the exit code, 1 where a rule is broken."""
    print(f"\n{title} (simulated peers on loopback)")
    width = max(map(len, figures))
    for name, value in figures.items():
        print(f"  {name:{width}}  {value}")
    broken = [text for text, kept in rules if not kept]
    for text in broken:
        print(f"  broken: {text}")
    line = json.dumps(figures | {"broken": broken})
    if path:
        with open(path, "w", encoding="utf-8") as file:
            file.write(line + "\n")
    print(line)
    return 1 if broken else 0
