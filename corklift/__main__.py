"""Entry point of `python -m corklift`: without a command, it runs the balancer.

The balancer needs only the standard library and greenlet. The command line needs more, so it is
imported only if a command is given.
"""

from __future__ import annotations

import sys

from corklift.service import run_balancer


def main() -> int:
    """Runs the command given on the command line, or else the balancer; returns the exit status."""
    if len(sys.argv) > 1:
        from corklift.cli import main as run_command

        run_command(prog_name="corklift")
    return run_balancer()


if __name__ == "__main__":
    sys.exit(main())
