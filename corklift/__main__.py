"""Entry point of `python -m corklift`: without a command, it runs the balancer.

The balancer needs only the standard library and greenlet. The command line needs more, so it is
imported only if a command is given.
"""

from __future__ import annotations

import sys

from corklift.early_signals import EarlySignals


def main() -> int:
    """Runs the command given on the command line, or else the balancer; returns the exit status."""
    if len(sys.argv) > 1:
        from corklift.cli import main as run_command

        run_command(prog_name="corklift")
    # Before the other imports, during which a signal would end the process.
    early_signals = EarlySignals()
    from corklift.service import run_balancer

    return run_balancer(early_signals)


if __name__ == "__main__":
    sys.exit(main())
