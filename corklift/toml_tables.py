"""Base class of the typed tables of TOML files, and the location of an error in one.

Imported only by commands that read TOML files; `corklift run` reads JSON and must not import it.
"""

from __future__ import annotations

import re

import msgspec


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table that accepts only the keys it declares."""


def locate_error(problem: msgspec.ValidationError) -> tuple[str, str]:
    """Returns the key at fault, which may be a missing one, and what is wrong with it."""
    # "Expected `int` - at `$.weights.every_ms`"
    found = re.fullmatch(r"(.*?) - at `\$\.?(.*)`", str(problem), re.DOTALL)
    key, text = (found[2], found[1]) if found else ("", str(problem))
    missing = re.search(r"field `(\w+)`", text)
    return (f"{key}.{missing[1]}".strip(".") if missing else key), text
