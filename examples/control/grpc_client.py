"""A client made of grpcio alone that is placed by a corklift control service, through xDS.

    python examples/control/grpc_client.py 127.0.0.1:18000 xds:///transcribe [CALLS]

Writes a bootstrap file, dials the target and makes calls; prints which server took each, in all. With CALLS 0 it goes on
until its standard input ends, one line of JSON a call: the time (ns, monotonic) and the server.
"""

from __future__ import annotations

import json
import os
import sys
import tempfile
import threading
import time
from collections import Counter

SAY = "/standin.Transcriber/Say"  # the stand-in transcribers' method: it answers with the server's name


def bootstrap(control: str, node: str) -> str:
    """Writes what gRPC wants to know of its control service; returns the file's path."""
    content = {
        "xds_servers": [
            {
                "server_uri": control,
                "channel_creds": [{"type": "insecure"}],
                "server_features": ["xds_v3"],
            }
        ],
        "node": {"id": node, "locality": {"zone": "here"}},
    }
    file = tempfile.NamedTemporaryFile("w", suffix=".json", delete=False)
    with file:
        json.dump(content, file)
    return file.name


def main() -> int:
    control, target = sys.argv[1:3]
    calls = int(sys.argv[3]) if len(sys.argv) > 3 else 300
    path = bootstrap(control, f"grpc-client-{os.getpid()}")
    os.environ["GRPC_XDS_BOOTSTRAP"] = path
    import grpc  # reads the variable at its first use

    took: Counter[str] = Counter()
    over = threading.Event()
    if not calls:
        threading.Thread(target=lambda: (sys.stdin.read(), over.set()), daemon=True).start()
    try:
        with grpc.insecure_channel(target) as channel:
            say = channel.unary_unary(
                SAY, request_serializer=lambda m: m, response_deserializer=lambda m: m
            )
            number = 0
            while number < calls or (not calls and not over.is_set()):
                began = time.monotonic_ns()
                try:
                    server = say(b"hello", timeout=5, wait_for_ready=number == 0).decode()
                except grpc.RpcError as problem:
                    server = problem.code().name
                took[server] += 1
                number += 1
                if not calls:
                    print(json.dumps([began, time.monotonic_ns(), server]), flush=True)
        if calls:
            for server, count in sorted(took.items()):
                print(f"{server:20} {count:6}  {count / number:6.1%}")
    finally:
        os.unlink(path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
