"""The load of each group, and the home servers that it needs."""

from __future__ import annotations

from corklift.policy.constants import HEADROOM_UTILISATION
from corklift.policy.load_reports import LoadReports
from corklift.policy.registry import ServerRegistry
from corklift.records import LoginState, Server

# The home servers of a group with a share s of the load have this multiple of s of the fleet's
# capacity.
GROUP_CAPACITY_FACTOR = 1.15
# The estimate of a group's home count assumes that at least this fraction of the fleet's headroom
# is in use.
MIN_USED_FRACTION = 0.5
# The assumed number of groups; the estimate of a group's share starts from 1/EXPECTED_GROUPS.
EXPECTED_GROUPS = 40
# The groups whose last server is remembered: those with the latest new connections. Twice as many
# may be held before the others are forgotten.
MAX_REMEMBERED_HOMES = 4096


class GroupHomes:
    """This balancer's connections and logins of each group, and how many homes a group has.

    A group has only as many homes as its load needs, because each server that holds a group pays a
    fixed cost for it.
    """

    def __init__(self, registry: ServerRegistry, load_reports: LoadReports) -> None:
        self._registry, self._load_reports = registry, load_reports
        # This balancer's open connections and reservations, of each group and in total.
        self.group_load: dict[int, int] = {}
        self.total_load = 0
        # The server of each group's last new connection.
        self.last_homes: dict[int, int] = {}
        # Logins of each group and in total, halved from time to time.
        self._group_logins: dict[int, float] = {}
        self._group_logins_total = 0.0
        # The server and group of each connection that `reserve` counted.
        self._reservations: list[tuple[Server, int]] = []

    def record_group_login(self, group: int) -> None:
        """Counts a login for the estimate of its group's share; old logins decay."""
        self._group_logins[group] = self._group_logins.get(group, 0.0) + 1.0
        self._group_logins_total += 1.0
        if self._group_logins_total > 10 * EXPECTED_GROUPS:
            self._group_logins = {
                other: logins / 2 for other, logins in self._group_logins.items() if logins > 0.5
            }
            self._group_logins_total = sum(self._group_logins.values())

    def estimated_home_count(self, group: int) -> int:
        """How many servers the group's load fills, estimated from this balancer's logins.

        One of hundreds of balancers sees few logins, so the observed share is smoothed towards that
        of one of EXPECTED_GROUPS equal groups.
        """
        share = (self._group_logins.get(group, 0.0) + 1.0) / (
            self._group_logins_total + EXPECTED_GROUPS
        )
        used_fraction = min(
            1.0, max(MIN_USED_FRACTION, self._load_reports.mean_utilisation / HEADROOM_UTILISATION)
        )
        return 1 + int(share * used_fraction * GROUP_CAPACITY_FACTOR * len(self._registry.ready))

    def home_servers(self, group: int) -> list[Server]:
        """As many servers as the group's load needs, with or without headroom.

        Those that hold most of the group come first, then the server of its last new connection.
        """
        share = self.group_load.get(group, 0) / self.total_load if self.total_load else 0.0
        required = (
            share
            * GROUP_CAPACITY_FACTOR
            * sum(server.relative_capacity for server in self._registry.ready)
        )
        last_home = self.last_homes.get(group)
        return first_with_capacity(
            sorted(
                self._registry.ready,
                key=lambda s: (-s.groups.get(group, 0), s.id != last_home, group_rank(group, s)),
            ),
            required,
        )

    def count_connection(self, state: LoginState, server: Server | None, sign: int) -> None:
        """Counts an opened (+1) or ended (-1) connection in its group."""
        if sign > 0 and server is not None and state.login.group:
            self.remember_home(state.login.group, server.id)
        self._add_group_load(state.login.group, server, sign)

    def remember_home(self, group: int, server_id: int) -> None:
        """Remembers the server of the group's latest new connection."""
        self.last_homes.pop(group, None)  # so that the groups are in the order of their latest one
        self.last_homes[group] = server_id
        if len(self.last_homes) > 2 * MAX_REMEMBERED_HOMES:
            self.last_homes = dict(list(self.last_homes.items())[-MAX_REMEMBERED_HOMES:])

    def _add_group_load(self, group: int, server: Server | None, change: int) -> None:
        self.total_load += change
        for counts in (
            (self.group_load, server.groups if server is not None else {}) if group else ()
        ):
            load = counts.get(group, 0) + change
            if load > 0:
                counts[group] = load
            else:
                counts.pop(group, None)

    def reserve(self, server: Server, group: int) -> None:
        """Counts a connection that another process of this balancer still holds.

        Its client is expected to return to this process. Guards against groups that spread to more
        servers in the meantime.
        """
        self._add_group_load(group, server, 1)
        self._reservations.append((server, group))

    def release_reservations(self) -> None:
        while self._reservations:
            server, group = self._reservations.pop()
            self._add_group_load(group, server, -1)


def first_with_capacity(servers: list[Server], required: float) -> list[Server]:
    """The first servers that together have the required relative capacity; at least one."""
    for count, server in enumerate(servers, 1):
        required -= server.relative_capacity
        if required <= 0:
            return servers[:count]
    return servers


def group_rank(group: int, server: Server) -> int:
    """The sort key of the group's server order, the same at every balancer.

    The high bits depend on all bits of both ids.
    """
    return (group ^ server.id_hash) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
