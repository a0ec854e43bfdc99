"""A server and discovery in threads of the test, for balancers in processes of their own."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time


def shrink_buffers(sock: socket.socket) -> None:
    """Lets the system buffer little for a socket, or for those that a listening socket accepts."""
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, 4096)


def connect_slow_readers(address: tuple[str, int], count: int, seconds: float) -> list:
    """Returns clients that have sent long lines for some seconds and read nothing."""
    clients = []
    for number in range(count):
        clients.append(sock := socket.create_connection(address, 10))
        sock.sendall(b"OPEN slow-%d 7f c=plain,d=900,x=%b\r\n" % (number, b"y" * 3900))
        assert sock.recv(100) == b"UP s1\r\n"
        shrink_buffers(sock)
        sock.setblocking(False)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for sock in clients:
            with contextlib.suppress(OSError):  # its buffers are full, or it was closed
                sock.sendall(b"z" * 1000 + b"\r\n")
    return clients


class LineServer:
    """Brings up every login, and answers each line of a connection by `echo` and the line.

    `paused` servers read nothing from their connections until they are told to `go_on`. With
    `small_buffers` the system's buffers of its connections are soon full.
    """

    def __init__(self, name: str = "s1", paused: bool = False, small_buffers: bool = False) -> None:
        self.name = name
        self.logins: list[bytes] = []  # first lines, in the order in which they came
        self.lines: list[bytes] = []  # lines after the first one, of all connections
        self._goes_on = threading.Event()
        if not paused:
            self._goes_on.set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        if small_buffers:
            shrink_buffers(self._listener)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self) -> LineServer:
        return self

    def __exit__(self, *_) -> None:
        self.go_on()
        for sock in (self._listener, *self._connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def go_on(self) -> None:
        self._goes_on.set()

    def entry(self) -> dict:
        """Returns the server's entry in discovery's list."""
        return {"name": self.name, "address": self.address, "status": "active"}

    def known(self) -> dict:
        """Returns the list of servers to start from."""
        return {"index": 1, "snapshot": True, "endpoints": [self.entry()]}

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self._connections.append(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        is_up = False
        with contextlib.suppress(OSError), sock, sock.makefile("rb", buffering=4096) as file:
            for line in file:
                if is_up:
                    self.lines.append(line)
                    sock.sendall(b"echo " + line)
                elif line == b"STATS\r\n":
                    sock.sendall(b"PONG x0=0.1,inflight=1\r\n")
                elif line.startswith(b"OPEN "):
                    self.logins.append(line)
                    is_up = True
                    sock.sendall(b"UP %b\r\n" % self.name.encode())
                    self._goes_on.wait()


class Agent:
    """Discovery: answers the first call with the list of servers, and no watch."""

    def __init__(self, known: dict) -> None:
        self._body = json.dumps(known).encode()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._open: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self) -> Agent:
        return self

    def __exit__(self, *_) -> None:
        for sock in (self._listener, *self._open):
            sock.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self._open.append(sock)
                threading.Thread(target=self._answer, args=(sock,), daemon=True).start()

    def _answer(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while request := sock.recv(4096):
                if b"wait=" not in request:
                    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self._body)
                    sock.sendall(head + self._body)
