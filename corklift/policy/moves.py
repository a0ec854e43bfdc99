"""Moves of open connections to other servers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from corklift.interface import Host
from corklift.policy.constants import (
    FULL_UTILISATION,
    HEADROOM_UTILISATION,
    OVERLOAD_UTILISATION,
    PROBE_PERIOD,
)
from corklift.policy.load_reports import LoadReports
from corklift.records import LoginState, Server

# Connections stay on a server above OVERLOAD_UTILISATION that is below this multiple of the fleet's
# mean: in a uniformly full fleet a move would only shift the load.
OVERLOAD_OVER_MEAN = 1.15
# Above this utilisation connections are moved away in a full fleet too.
LIMIT_UTILISATION = FULL_UTILISATION + 0.1
# The time until a move shows in the reports; the server moves no further connections before.
MOVE_PAUSE = 5 * PROBE_PERIOD // 2
# The fraction of the excess load that one step moves away; each balancer moves its own part.
MOVE_FRACTION = 0.5


class ConnectionMoves:
    """Moves open connections away from lost, draining and overloaded servers.

    All other connections stay where they are.
    """

    def __init__(
        self,
        host: Host,
        rng: Random,
        load_reports: LoadReports,
        group_load: dict[int, int],
        after: Callable[[int, Callable[[int], None]], None],
    ) -> None:
        self._host, self._rng, self._load_reports = host, rng, load_reports
        self._group_load, self._after = group_load, after

    def evacuate(self, server: Server, reason: str, duration: int = 0) -> None:
        """Moves all connections away, at once or spread evenly over a duration.

        Spreading guards against a flood of returning clients where nothing requires speed.
        """
        if server.connections:
            self._host.log(
                f"server {server.id} {reason}: moving {len(server.connections)} connections"
            )
        for index, login in enumerate(list(server.connections)):
            if duration and index:
                self._after(
                    duration * index // len(server.connections),
                    lambda _, login=login: self._host.move(login),
                )
            else:
                self._host.move(login)

    def shed_load(self, now: int, server: Server) -> None:
        """Moves this balancer's part of an overloaded server's excess load.

        The next move waits until reports show this one.
        """
        utilisation, mean = server.utilisation, self._load_reports.mean_utilisation
        if utilisation is None or now < server.next_move_at or not server.connections:
            return
        # A server at its limit serves none of its connections well, so it sheds load even in a full
        # fleet.
        if utilisation <= max(
            OVERLOAD_UTILISATION, min(OVERLOAD_OVER_MEAN * mean, LIMIT_UTILISATION)
        ):
            return
        target = max(HEADROOM_UTILISATION, min(mean, OVERLOAD_UTILISATION))
        fraction = (
            (1.0 if utilisation > 1.0 else MOVE_FRACTION) * (utilisation - target) / utilisation
        )
        # Connections of groups that are mostly elsewhere go first: the last one also frees the
        # group's fixed cost.
        connections = sorted(
            server.connections.values(),
            key=lambda state: (self._remnant_size(server, state), -state.load),
        )
        excess = fraction * sum(state.load for state in connections)
        if self._rng.random() * connections[-1].load > excess:
            return
        moved = 0
        for state in connections:
            if excess <= 0:
                break
            if state.load <= 2 * excess or state is connections[-1]:
                excess -= state.load
                self._host.move(state.login.login)
                moved += 1
        server.next_move_at = now + MOVE_PAUSE
        self._host.log(
            f"server {server.id} hot at {utilisation:.2f}: moved {moved} of {len(connections)}"
        )

    def _remnant_size(self, server: Server, state: LoginState) -> int:
        """The group's connections on this server if most are elsewhere; else a large number."""
        group = state.login.group
        on_server, total = server.groups.get(group, 0), self._group_load.get(group, 0)
        return on_server if group and 2 * on_server < total else 1_000_000
