"""Measurements: `python -m benchmarks.NAME [--quick] [--seed N] [--json FILE]`. Figures are of stand-ins on loopback."""
