"""A gRPC client channel: one connection to one address, which is reopened after a backoff.

A channel never retries a call: that is left to the caller.
"""

from __future__ import annotations

from random import Random

from corklift.net.limits import Counters
from corklift.net.scheduler import WRITE, Scheduler, Task
from corklift.net.stream import Stream
from corklift.rpc.connection import RpcCall, RpcConnection
from corklift.rpc.core import Code, ReconnectBackoff, RpcError, RpcLimits


class Channel:
    """Keeps a connection to a server and makes calls on it."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: RpcLimits,
        counters: Counters,
        address: tuple[str, int],
        rng: Random,
    ) -> None:
        self._scheduler, self._limits, self._counters, self.address = (
            scheduler,
            limits,
            counters,
            address,
        )
        self.backoff = ReconnectBackoff(rng, limits)
        self._connection: RpcConnection | None = None
        self._waiting_tasks: list[Task] = []
        self._connect_task: Task | None = None
        self._closed = False
        self.connect_failed_at = 0  # time of the last failed connect

    def connect_loop(self) -> None:
        """Connects, and reconnects until `close`; runs in a greenlet of its own."""
        self._connect_task = self._scheduler.current
        while not self._closed:
            connection = self._connect()
            if connection is None:
                self.connect_failed_at = self._scheduler.now()
                self._wake_waiting()
                self._scheduler.sleep(self.backoff.next_delay())
                continue
            connected_at = self._scheduler.now()
            self._connection = connection
            self._scheduler.spawn(connection.run)
            self._wake_waiting()
            while not connection.closed and not connection.session.going_away and not self._closed:
                self._scheduler.wait(
                    {},
                    self._scheduler.now() + 50_000_000
                    if not connection.session.settings_received
                    else None,
                )
            established = connection.session.settings_received
            self._connection = None
            if established and self._scheduler.now() - connected_at > self._limits.initial_backoff:
                self.backoff.reset()
            if not self._closed:
                # A server that ends all its connections must not be hit by all clients at once.
                self._scheduler.sleep(self.backoff.next_delay())
            connection.go_away()

    def _connect(self) -> RpcConnection | None:
        self._counters["connects"] += 1
        try:
            stream = Stream.connect(self.address, self._limits)
        except OSError:
            return None
        until = self._scheduler.now() + self._limits.connect_timeout
        while not stream.broken and not self._scheduler.wait({stream.fd: WRITE}, until):
            if self._scheduler.now() >= until or self._closed:
                stream.close()
                return None
        if stream.connect_failed():
            stream.close()
            return None
        connection = RpcConnection(
            self._scheduler, self._limits, self._counters, stream, "%s:%d" % self.address, True
        )
        connection.on_close = self._wake_connect_task
        return connection

    def _wake_connect_task(self) -> None:
        if self._connect_task is not None:
            self._scheduler.wake(self._connect_task)

    def _wake_waiting(self) -> None:
        waiting_tasks, self._waiting_tasks = self._waiting_tasks, []
        for task in waiting_tasks:
            self._scheduler.wake(task)

    def wait_connected(self, until: int) -> RpcConnection:
        """Blocks until the channel is connected.

        Raises:
            RpcError: UNAVAILABLE if it is not by the given time.
        """
        while (
            self._connection is None
            or self._connection.closed
            or self._connection.session.going_away
        ):
            if self._closed or self._scheduler.now() >= until:
                raise RpcError(Code.UNAVAILABLE, "no connection to %s:%d" % self.address)
            self._waiting_tasks.append(self._scheduler.current)
            self._scheduler.wait({}, min(until, self._scheduler.now() + 50_000_000))
        return self._connection

    def call(self, path: str, until: int, deadline: int | None = None) -> RpcCall:
        """Starts a call, after waiting for a connection at most until the given time.

        The server is told the deadline (ns of this process's clock) as a timeout.
        """
        return self.wait_connected(until).call(path, deadline)

    def unary(self, path: str, request: bytes, deadline: int) -> bytes:
        """Makes a call with one request and one response.

        Raises:
            RpcError: the call failed.
        """
        call = self.call(path, deadline, deadline)
        call.send_nowait(request)
        call.half_close()
        response = call.receive()
        if response is None:
            raise RpcError(Code.INTERNAL, "call ended without a response")
        while call.receive() is not None:
            pass
        return response

    def abort_connection(self) -> None:
        """Resets the connection, as a network failure would; the channel reconnects."""
        if self._connection is not None:
            self._connection.abort()

    def close(self) -> None:
        self._closed = True
        if self._connection is not None:
            self._connection.go_away()
        if self._connect_task is not None:
            self._scheduler.wake(self._connect_task)
