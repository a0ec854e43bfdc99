"""Toy servers and a discovery service that lists them, for trying corklift on one machine.

    python examples/toy_server.py 127.0.0.1:9101 127.0.0.1:9102 --discovery 127.0.0.1:8500

Each address is one server. It echoes every line of an open connection, reports its number of open
connections when probed, and ends a connection with BYE when it reads the line `quit`.
"""

from __future__ import annotations

import argparse
import json
import secrets
import socketserver
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class ToyServer(socketserver.ThreadingTCPServer):
    """One server; it counts its open connections."""

    allow_reuse_address = daemon_threads = True
    CAPACITY = 20  # connections; the load reported as x0 is relative to it

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(address, Connection)
        self.name = f"toy-{address[1]}"
        self.open_connections = 0
        self.lock = threading.Lock()

    def add_connections(self, change: int) -> None:
        with self.lock:
            self.open_connections += change


class Connection(socketserver.StreamRequestHandler):
    """Answers one connection: a probe, or a login and the lines that follow it."""

    server: ToyServer

    def handle(self) -> None:
        logged_in = False
        try:
            for line in self.rfile:
                request = line.decode("ascii", "replace").rstrip("\r\n")
                if request == "quit" and logged_in:
                    self.send_line("BYE")
                    return
                if logged_in:
                    self.send_line(request)
                elif request == "PING":
                    self.send_line("PONG")
                elif request == "STATS":
                    self.send_line(
                        f"PONG x0={self.server.open_connections / self.server.CAPACITY:.2f},"
                        f"inflight={self.server.open_connections}"
                    )
                elif request.startswith("OPEN "):
                    logged_in = True
                    self.server.add_connections(1)
                    print(f"{self.server.name}: {request}", flush=True)
                    self.send_line(f"UP {secrets.token_hex(4)}")
                else:
                    self.send_line("SYNTAX")
                    return
        except ConnectionError:
            pass
        finally:
            if logged_in:
                self.server.add_connections(-1)

    def send_line(self, text: str) -> None:
        self.wfile.write(text.encode("ascii", "replace") + b"\r\n")


def discovery_handler(servers: list[ToyServer]) -> type[BaseHTTPRequestHandler]:
    """Returns the HTTP handler of a discovery service whose list is these servers."""

    class DiscoveryHandler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:
            watch = "wait=" in self.path
            # The list never changes: a watch always waits for its whole time limit.
            if watch:
                time.sleep(int(self.path.rpartition("wait=")[2]) / 1000)
            entries = (
                []
                if watch
                else [
                    {
                        "name": server.name,
                        "address": "%s:%d" % server.server_address,
                        "zone": "here",
                        "type": "toy",
                        "group": 0,
                        "status": "active",
                        "weight": 1.0,
                        "since_ms": 0,
                    }
                    for server in servers
                ]
            )
            body = json.dumps({"index": 1, "snapshot": not watch, "endpoints": entries}).encode()
            self.send_response(200)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: object) -> None:
            """Suppresses the request log of the HTTP server."""

    return DiscoveryHandler


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def main() -> None:
    parser = argparse.ArgumentParser(
        description="Toy servers and a discovery service that lists them."
    )
    parser.add_argument("servers", nargs="+", type=parse_address, metavar="HOST:PORT")
    parser.add_argument(
        "--discovery", type=parse_address, default=("127.0.0.1", 8500), metavar="HOST:PORT"
    )
    arguments = parser.parse_args()
    servers = [ToyServer(address) for address in arguments.servers]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    discovery_server = ThreadingHTTPServer(arguments.discovery, discovery_handler(servers))
    discovery_server.daemon_threads = True
    print(
        f"{len(servers)} toy servers, discovery at %s:%d; press Ctrl-C to stop"
        % arguments.discovery,
        flush=True,
    )
    try:
        discovery_server.serve_forever()
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
