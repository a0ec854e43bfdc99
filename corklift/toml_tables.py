"""Typed tables for files that people write, and where one of them is wrong.

Owns what all such forms have in common. Must never know what a key is for. Imported by programs that read TOML, never by
the balancer.
"""

from __future__ import annotations

import re

import msgspec


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table that takes the keys it names and no other."""


def fault(problem: msgspec.ValidationError) -> tuple[str, str]:
    """The key at fault, a missing one included, and what is wrong with it."""
    # "Expected `int` - at `$.weights.every_ms`"
    found = re.fullmatch(r"(.*?) - at `\$\.?(.*)`", str(problem), re.DOTALL)
    key, text = (found[2], found[1]) if found else ("", str(problem))
    missing = re.search(r"field `(\w+)`", text)
    return (f"{key}.{missing[1]}".strip(".") if missing else key), text
