"""The clients of a rig: they arrive in open loop, log in, hold a connection and come back.

What a client saw is recorded as events of the rig; the checker judges by these.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from corklift.net.limits import MS, SECOND
from corklift.net.scheduler import READ
from corklift.net.stream import Stream
from corklift.standins.client import connect, send_request

if TYPE_CHECKING:
    from corklift.rig.fleet import Rig

CLIENT_TIME_LIMIT = 3 * SECOND
# Share of the clients whose logins may run once only.
ONCE_ONLY_SHARE = 0.2
# Logins of a client that is rejected or moved, at most.
MAX_LOGINS = 6
# Pause of a client before it logs in again, at least.
MIN_PAUSE = 100 * MS
# How long a rejected client stays, to notice a second answer.
LINGER_TIME = 300 * MS


class ClientLoad:
    """Starts the clients of a rig."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self._scheduler = rig, rig.scheduler
        self._next_login = 1

    def generate(self) -> None:
        due = self._scheduler.now()
        while self.rig.accepting_clients:
            due += int(self.rig.rng.expovariate(self.rig.shape.rate) * SECOND)
            if due > self._scheduler.now():
                self._scheduler.sleep(due - self._scheduler.now())
            self._scheduler.spawn(self._run_client, due)

    def _run_client(self, arrives_at: int) -> None:
        """Runs a client that logs in again when it is rejected or moved, until its time ends."""
        workload = "once" if self.rig.rng.random() < ONCE_ONLY_SHARE else "plain"
        ends_at = arrives_at + int(self.rig.rng.expovariate(1 / self.rig.shape.hold_s) * SECOND)
        reconnecting, pause = False, 0
        for _ in range(MAX_LOGINS):
            self._scheduler.sleep(pause)
            if not self.rig.accepting_clients or not self.rig.serving:
                return
            reply, pause = self._login(workload, reconnecting, ends_at)
            if reply == "UP" and self._scheduler.now() >= ends_at - 20 * MS:
                return
            reconnecting = reply == "UP"
            pause = max(pause, MIN_PAUSE)

    def connect(self, balancer: str, deadline: int) -> Stream | None:
        return connect(
            self._scheduler, ("127.0.0.1", self.rig.links["client", balancer].port), deadline
        )

    def _login(self, workload: str, reconnecting: bool, ends_at: int) -> tuple[str, int]:
        """Logs in once and holds the connection; returns the reply and the time until a retry."""
        balancer = self.rig.rng.choice(sorted(self.rig.serving))
        stream = self.connect(balancer, self._scheduler.now() + SECOND)
        if stream is None:
            return "", 0
        login_number, self._next_login = self._next_login, self._next_login + 1
        login = f"{login_number:016x}"
        try:
            response = self._request(stream, login, balancer, workload, reconnecting)
            keyword = response.split(b" ")[0].strip().decode("ascii", "replace")
            if keyword == "UP":
                self._hold_counted(stream, login, balancer, response, ends_at)
                return "UP", 0
            extra = self._read_more(stream, LINGER_TIME)
            if extra:
                self._record_more(login, extra)
            return keyword, _retry_time(keyword, response)
        finally:
            stream.close()

    def _request(
        self, stream: Stream, login: str, balancer: str, workload: str, reconnecting: bool
    ) -> bytes:
        """Sends the login and returns the line that answers it; empty if there is none."""
        asked_at = self._scheduler.now()
        self.rig.record(
            "login",
            "client",
            login=login,
            balancer=balancer,
            workload=workload,
            limit_ns=CLIENT_TIME_LIMIT,
        )
        line = b"OPEN %s %x c=%s,d=%d%s\r\n" % (
            login.encode(),
            self.rig.rng.getrandbits(60),
            workload.encode(),
            CLIENT_TIME_LIMIT // MS,
            b",again=1" if reconnecting else b"",
        )
        # Waits longer than the time limit, to distinguish a late answer from none.
        response = send_request(self._scheduler, stream, line, asked_at + 2 * CLIENT_TIME_LIMIT)
        keyword = response.split(b" ")[0].strip().decode("ascii", "replace")
        if keyword:
            how = "line"
        elif stream.peer_closed:
            how = "ended"
        else:
            how = "reset" if stream.broken else "nothing"
        self.rig.record(
            "answer",
            "client",
            login=login,
            word=keyword,
            took_ns=self._scheduler.now() - asked_at,
            how=how,
        )
        return response

    def _hold_counted(
        self, stream: Stream, login: str, balancer: str, response: bytes, ends_at: int
    ) -> None:
        open_connections = self.rig.open_connections
        open_connections[balancer] = open_connections.get(balancer, 0) + 1
        try:
            self.hold(stream, login, balancer, response, ends_at)
        finally:
            open_connections[balancer] -= 1

    def hold(
        self, stream: Stream, login: str, balancer: str, response: bytes, ends_at: int
    ) -> None:
        """Keeps a connection until its time ends or the balancer ends it, and records its end."""
        while (
            self.rig.accepting_clients
            and not stream.peer_closed
            and not stream.broken
            and self._scheduler.now() < ends_at
        ):
            self._scheduler.wait({stream.fd: READ}, ends_at)
            stream.receive()
            line = stream.receive_buffer.read(len(stream.receive_buffer))
            if line.startswith((b"UP", b"BUSY", b"ERR")):
                self._record_more(login, line)
        self.rig.record(
            "closed",
            "client",
            login=login,
            by="client" if self._scheduler.now() >= ends_at else "balancer",
        )

    def _record_more(self, login: str, text: bytes) -> None:
        self.rig.record("more", "client", login=login, text=text.decode("ascii", "replace")[:80])

    def _read_more(self, stream: Stream, duration: int) -> bytes:
        deadline = self._scheduler.now() + duration
        while not stream.peer_closed and not stream.broken and self._scheduler.now() < deadline:
            stream.receive()
            if len(stream.receive_buffer):
                return stream.receive_buffer.read(len(stream.receive_buffer))
            self._scheduler.wait({stream.fd: READ}, deadline)
        return b""


def _retry_time(keyword: str, response: bytes) -> int:
    """Returns the time after which a BUSY asks the client to come again, in ns; 0 if none."""
    arguments = response.split(b" ")[1:2]
    if keyword == "BUSY" and arguments and arguments[0].strip().isdigit():
        return int(arguments[0]) * MS
    return 0
