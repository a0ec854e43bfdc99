"""Benchmarks: `python -m benchmarks.NAME [--quick] [--seed N] [--json FILE]`.

All figures are of stand-ins on loopback.
"""
