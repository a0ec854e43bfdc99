"""Starts one real balancer from its configuration: `run`, with the standard library and greenlet alone.

Must never import the command line unless a command is given.
"""

from __future__ import annotations

import sys

from corklift.service import run_balancer


def main() -> int:
    """The balancer, unless a command is given: only then is the command line imported."""
    if len(sys.argv) > 1:
        from corklift.cli import main as command

        command(prog_name="corklift")
    return run_balancer()


if __name__ == "__main__":
    sys.exit(main())
