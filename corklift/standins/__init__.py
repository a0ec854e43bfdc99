"""Stand-ins for outside systems, one per module, written from the published protocols.

The product never imports this package.
"""
