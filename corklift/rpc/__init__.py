"""gRPC over HTTP/2 on corklift's scheduler.

Importing this package requires `h2`, so `python -m corklift` never does.
"""
