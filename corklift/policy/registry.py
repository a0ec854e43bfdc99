"""The list of servers: which are ready, and when a failed watch of the list starts again."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from corklift.interface import ListedServer, Scope, Status
from corklift.policy.constants import PROBE_PERIOD
from corklift.records import Server


class ServerRegistry:
    """The servers of discovery's list and those that operators have taken out of service.

    The two are independent of each other: a server is ready if the list says so and no operator has
    taken it out of service.
    """

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        # Incremented with each change of `ready`.
        self.version = 0
        # When operators took each server out of service, whether or not it is listed.
        self.out_of_service: dict[int, int] = {}
        # When operators restored servers that were not listed at that time.
        self._restored_at: dict[int, int] = {}

    def apply(
        self, now: int, scope: Scope, lines: Iterable[ListedServer]
    ) -> tuple[list[Server], list[Server]]:
        """Applies an update of the list.

        Returns (started, left): the new or restarted servers, and those now draining or gone.
        """
        started, left, listed_ids = [], [], set()
        for line in lines:
            listed_ids.add(line.server)
            server = self.servers.get(line.server)
            if server is None:
                if line.status is Status.GONE:
                    continue
                server = self.servers[line.server] = Server(line, now)
                server.started_at = max(server.started_at, self._restored_at.pop(line.server, 0))
                if line.status is Status.READY:
                    started.append(server)
                continue
            server.weight = line.weight
            if line.status is server.status and line.started_at <= server.started_at:
                continue
            if line.status is Status.READY and (
                line.started_at > server.started_at or server.status is not Status.READY
            ):
                server.started_at = max(server.started_at, line.started_at)
                server.listed_at = now
                server.reported_at, server.count, server.utilisation = 0, None, None
                started.append(server)
            elif line.status is not Status.READY and server.status is Status.READY:
                left.append(server)
            server.status = line.status
        if scope is not Scope.DELTA:
            for server in self.servers.values():
                if server.id not in listed_ids and server.status is not Status.GONE:
                    if server.status is Status.READY:
                        left.append(server)
                    server.status = Status.GONE
        if started or left:
            self._update_ready()
            for server in [
                s for s in self.servers.values() if s.status is Status.GONE and not s.connections
            ]:
                del self.servers[server.id]
        return started, left

    def _update_ready(self) -> None:
        self.version += 1
        for server in self.servers.values():
            server.ready = server.status is Status.READY and server.id not in self.out_of_service
        self.ready = [server for server in self.servers.values() if server.ready]

    def take_out_of_service(self, now: int, server_id: int) -> Server | None:
        """Keeps the server from being ready, whatever the list says; returns it if it was ready."""
        self.out_of_service.setdefault(server_id, now)
        left = [server for server in self.ready if server.id == server_id]
        self._update_ready()
        return left[0] if left else None

    def restore_to_service(self, now: int, server_id: int) -> Server | None:
        """Ends an operator's removal; returns the server if it is ready now.

        Earlier measurements and failures are discarded. The server counts as started now, unless
        the list has a start after its removal.
        """
        out_at, server = self.out_of_service.pop(server_id, None), self.servers.get(server_id)
        if out_at is None:
            return None
        if server is None:
            self._restored_at[server_id] = now
            return None
        if server.started_at <= out_at:
            server.started_at = now
        server.listed_at, server.reported_at, server.count, server.utilisation = now, 0, None, None
        server.failures = server.exclusion_level = server.excluded_until = server.unanswered = (
            server.trial_login
        ) = server.full_until = 0
        self._update_ready()
        return server if server.ready else None


class ListWatch:
    """The delay before a failed list watch is started again: exponential, with jitter."""

    def __init__(self, rng: Random, ask_within: int) -> None:
        self._rng = rng
        self._max_delay = ask_within // 4
        # Failures in a row.
        self.failures = 0

    def record_failure(self) -> int:
        """Counts a failure; returns the delay before the next attempt."""
        self.failures += 1
        return int(
            min(self._max_delay, PROBE_PERIOD << min(self.failures - 1, 4))
            * self._rng.uniform(0.3, 1.0)
        )
