"""What the decisions keep of what they measure, of each login and of each server. Plain records: nothing is decided
here."""

from __future__ import annotations

from math import log

from corklift.interface import ListedServer, Login, Outcome, Workload


class Histogram:
    """A few coarse bins on a ratio scale, halved from time to time so that old samples fade."""

    RATIO, BINS, HALVE_AT = 1.25, 40, 12.0

    def __init__(self) -> None:
        self._bins: dict[int, float] = {}
        self._total = 0.0
        self.mean: float | None = None

    def add(self, value: float) -> None:
        index = min(self.BINS, max(0, int(log(max(value, 1.0), self.RATIO))))
        self._bins[index] = self._bins.get(index, 0.0) + 1.0
        self._total += 1.0
        if self._total >= self.HALVE_AT:
            self._bins = {index: weight / 2 for index, weight in self._bins.items() if weight > 0.1}
            self._total = sum(self._bins.values())
        self.mean = (
            sum(weight * self.RATIO ** (index + 0.5) for index, weight in self._bins.items())
            / self._total
        )


class Attempt:
    def __init__(self, server: int, sent_at: int) -> None:
        self.server, self.sent_at = server, sent_at
        self.outcome: Outcome | None = None


class LoginState:
    """A login this balancer answers for, or the connection it became."""

    def __init__(self, login: Login, load: float, workload: Workload) -> None:
        self.login, self.load = login, load
        self.workload = workload  # as it was when the login came
        self.attempts: list[Attempt] = []
        self.is_open = False
        self.query_round = 0  # of asking servers before a hand-off
        self.queried_rounds = 0  # rounds
        self.home_sample: list[Server] = []  # of its group's homes, asked first
        self.server_order: list[Server] = []  # of servers, where it has no group
        self.candidates: list[Server] = []  # the first of them that may be sent to
        self.query_id, self.pending_answers = (
            0,
            0,
        )  # which asking it was, and the answers it waits for
        self.from_other_balancer = (
            False  # it comes back from a connection that another balancer held
        )
        self.cold_draws: dict[
            int, float
        ] = {}  # its chance to be sent to each cold server, drawn once


class Server:
    """What this balancer knows of one server."""

    def __init__(self, line: ListedServer, now: int) -> None:
        self.id = line.server
        self.id_hash = line.server * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
        self.zone, self.kind, self.cell, self.weight = line.zone, line.kind, line.cell, line.weight
        self.status, self.started_at, self.listed_at = line.status, line.started_at, now
        self.ready = (
            False  # by the list's word, and not taken out by operators'; the roster keeps it
        )
        self.count: float | None = None
        self.utilisation: float | None = None
        self.reported_at = 0  # when the last report came; 0: none yet
        self.unreported: dict[
            int, tuple[int, float, float]
        ] = {}  # own placements a report may not hold yet
        self.unreported_load = self.unshared_load = (
            0.0  # their load, and the part of it that no other balancer places alike
        )
        self.connections: dict[int, LoginState] = {}  # own connections
        self.groups: dict[int, int] = {}  # how many of them belong to each group
        self.capacity = Histogram()  # connections that would fill it
        self.relative_capacity = 1.0  # against the fleet's mean
        self.failures = self.exclusion_level = self.excluded_until = self.unanswered = 0
        self.trial_login = 0  # the login that tries it out
        self.message_delay = 0.0  # how long messages take there, as last noted, and when
        self.message_delay_at = -3_600_000_000_000
        self.delayed_since = 0  # of a lateness that lasts, when it began
        self.full_until = self.next_move_at = 0
        self.cold_spent, self.cold_spent_at = 0.0, 0
        self.probe_generation = 0  # which turn of probes is the valid one
        self.pending_probe_at = 0  # when a probe that is still unanswered was sent; 0: none
        self.probed_at = 0  # when the last one was sent
        self.waiting_logins: list[
            tuple[LoginState, int]
        ] = []  # logins that wait for its answer, and in which asking
