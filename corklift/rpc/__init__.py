"""gRPC over HTTP/2 on corklift's scheduler. Importing this package needs `h2`: `python -m corklift` never does."""
