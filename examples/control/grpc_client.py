"""A plain grpcio client whose calls a corklift control service distributes through xDS.

    python examples/control/grpc_client.py 127.0.0.1:18000 xds:///transcribe [CALLS]

Writes a bootstrap file, connects to the target, makes the calls (300 by default) and prints how
many each server answered. With CALLS 0 it makes calls until its standard input ends, and prints one
line of JSON for each: start and end (ns, monotonic clock), and the server or, after a failure, the
status code.
"""

from __future__ import annotations

import json
import os
import sys
import tempfile
import threading
import time
from collections import Counter

# The method of the stand-in transcribers; the response is the server's name.
SAY_METHOD = "/standin.Transcriber/Say"


def write_bootstrap_file(control: str, node: str) -> str:
    """Writes the bootstrap file that tells gRPC its xDS server; returns the path."""
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
    bootstrap_path = write_bootstrap_file(control, f"grpc-client-{os.getpid()}")
    os.environ["GRPC_XDS_BOOTSTRAP"] = bootstrap_path
    # Imported here because grpc reads GRPC_XDS_BOOTSTRAP when it is first used.
    import grpc

    calls_by_server: Counter[str] = Counter()
    stopped = threading.Event()
    if not calls:
        threading.Thread(target=lambda: (sys.stdin.read(), stopped.set()), daemon=True).start()
    try:
        with grpc.insecure_channel(target) as channel:
            say = channel.unary_unary(
                SAY_METHOD, request_serializer=lambda m: m, response_deserializer=lambda m: m
            )
            call_count = 0
            while call_count < calls or (not calls and not stopped.is_set()):
                started_at = time.monotonic_ns()
                try:
                    server = say(b"hello", timeout=5, wait_for_ready=call_count == 0).decode()
                except grpc.RpcError as error:
                    server = error.code().name
                calls_by_server[server] += 1
                call_count += 1
                if not calls:
                    print(json.dumps([started_at, time.monotonic_ns(), server]), flush=True)
        if calls:
            for server, count in sorted(calls_by_server.items()):
                print(f"{server:20} {count:6}  {count / call_count:6.1%}")
    finally:
        os.unlink(bootstrap_path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
