"""Decides when the draw probabilities of a workload are published to proxies as endpoint weights.

The removal of a server that drains or is gone is published at once. Any other change is published
at most once per interval, and only if it is significant. This module does no I/O and reads no
clock: times are passed in, in ns. The probabilities themselves come from the decision module.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection, Mapping
from typing import NamedTuple

TOTAL_WEIGHT = 10_000  # the sum of the weights of all servers of a workload, up to rounding
MIN_WEIGHT = 1
SECOND = 1_000_000_000
RATE_RESOLUTION = SECOND // 20  # logins that come or are granted within this time count as one


class PublishedWeights(NamedTuple):
    """How proxies distribute the logins of a workload."""

    weights: dict[str, int]  # by server
    dropped: int  # logins that proxies reject at once, out of TOTAL_WEIGHT


class WeightSettings(NamedTuple):
    """When a change of weights is published."""

    interval: int  # the minimum time between two changes, ns
    dead_band: float  # a change that moves no larger share of the draw than this is not published
    decrease_ratio: float = 0.5  # a server's share that falls below this part of itself always is


class WeightPublisher:
    """The weights that were last published for each workload."""

    def __init__(self, settings: WeightSettings) -> None:
        self.settings = settings
        self.published: dict[str, PublishedWeights] = {}
        self._published_at: dict[str, int] = {}

    def remove_servers(self, servers: Collection[str]) -> list[str]:
        """Removes servers that drain or are gone; returns the workloads whose weights changed.

        The other weights stay: they are relative, so the draw among the remaining servers does not
        change.
        """
        changed = []
        for workload, published in self.published.items():
            if any(server in published.weights for server in servers):
                remaining = {
                    name: weight
                    for name, weight in published.weights.items()
                    if name not in servers
                }
                self.published[workload] = PublishedWeights(remaining, published.dropped)
                if not remaining:
                    # Proxies reject all logins until the next weights: those don't wait.
                    self._published_at.pop(workload, None)
                changed.append(workload)
        return changed

    def may_publish(self, now: int, workload: str) -> bool:
        """Whether the interval since the workload's last change has passed."""
        return (
            workload not in self._published_at
            or now - self._published_at[workload] >= self.settings.interval
        )

    def publish(
        self,
        now: int,
        workload: str,
        probabilities: Mapping[str, float],
        ready: Collection[str],
        cold: Collection[str] = (),
    ) -> bool:
        """Takes new draw probabilities; returns whether they are published. Call `may_publish`
        first.

        A decrease of a cold server is measured against its own share: what it was given was meant
        for one interval, and its share is a small part of the draw.

        Without any probabilities, or with zeros only, the ready servers stay with even weights
        while all logins are dropped.
        """
        total = sum(probabilities.values())
        if total > 0:
            dropped = max(0, min(TOTAL_WEIGHT, round((1.0 - total) * TOTAL_WEIGHT)))
            weights = {
                name: max(MIN_WEIGHT, round(probability / total * TOTAL_WEIGHT))
                for name, probability in sorted(probabilities.items())
            }
        else:
            dropped = TOTAL_WEIGHT if ready else 0
            weights = {name: max(MIN_WEIGHT, TOTAL_WEIGHT // len(ready)) for name in sorted(ready)}
        new, old = PublishedWeights(weights, dropped), self.published.get(workload)
        if old is not None and not self._is_significant(old, new, cold):
            return False
        self.published[workload] = new
        self._published_at[workload] = now
        return True

    def _is_significant(
        self, old: PublishedWeights, new: PublishedWeights, cold: Collection[str]
    ) -> bool:
        if old.weights.keys() != new.weights.keys():
            return True
        old_total, new_total = sum(old.weights.values()) or 1, sum(new.weights.values()) or 1
        moved_share = (
            sum(
                abs(old.weights[name] / old_total - new.weights[name] / new_total)
                for name in new.weights
            )
            / 2
        )
        # A server with a small share must not keep receiving logins that it can't take, although
        # its decrease moves little of the whole draw.
        has_large_decrease = any(
            new.weights[name] / new_total
            < (1.0 - self.settings.dead_band if name in cold else self.settings.decrease_ratio)
            * old.weights[name]
            / old_total
            for name in new.weights
        )
        return (
            moved_share > self.settings.dead_band
            or abs(old.dropped - new.dropped) > self.settings.dead_band * TOTAL_WEIGHT
            or has_large_decrease
        )

    def shares(self, workload: str) -> dict[str, float]:
        """Returns the share of the workload's logins that proxies send to each server."""
        published = self.published.get(workload)
        if published is None or not published.weights:
            return {}
        admitted = 1.0 - published.dropped / TOTAL_WEIGHT
        total = sum(published.weights.values())
        return {name: weight / total * admitted for name, weight in published.weights.items()}

    def retain_workloads(self, workloads: Collection[str]) -> None:
        """Forgets all other workloads."""
        for workload in [name for name in self.published if name not in workloads]:
            self.published.pop(workload)
            self._published_at.pop(workload, None)


class UnreportedGrants:
    """The logins that published weights send to cold servers and that no load report includes yet.

    The decision module learns of a placement from the report of the proxy that made it, and that
    comes after the next weights are due. Guards against giving the same part of a cold server's
    budget out again until then. A grant is held until reports include it, at most for a span.
    """

    def __init__(self, span: int, report_interval: int) -> None:
        self.configure(span, report_interval)
        self._shares: dict[str, dict[str, float]] = {}  # published, by workload and server
        self._grants: dict[str, deque[list[float]]] = {}  # by server, [at, logins], oldest first
        self._granted_until = 0
        self._arrivals: deque[tuple[int, Counter[str]]] = deque()  # reported, by workload

    def configure(self, span: int, report_interval: int) -> None:
        """Sets how long a grant is held, and how often each proxy reports."""
        self._span, self._rate_window = span, max(SECOND, report_interval)

    def publish(self, now: int, workload: str, shares: Mapping[str, float]) -> None:
        """Records which share of the workload's logins each cold server is sent from now on."""
        self._advance(now)
        self._shares[workload] = dict(shares)

    def record_report(self, now: int, workload: str, server: str, count: int) -> None:
        """Counts logins that a proxy has placed; the oldest grants are the first to be included."""
        self.record_arrivals(now, workload, count)
        grants, left = self._grants.get(server, ()), float(count)
        while left > 0 and grants:
            included = min(left, grants[0][1])
            left, grants[0][1] = left - included, grants[0][1] - included
            if grants[0][1] <= 0:
                grants.popleft()

    def record_arrivals(self, now: int, workload: str, count: int) -> None:
        """Counts logins that came to proxies, wherever they were sent."""
        if now - self._granted_until >= RATE_RESOLUTION:
            self._advance(now)
        if not self._arrivals or now - self._arrivals[-1][0] >= RATE_RESOLUTION:
            self._arrivals.append((now, Counter()))
        self._arrivals[-1][1][workload] += count

    def outstanding(self, now: int, server: str) -> float:
        """Returns the logins that are held for this server."""
        self._advance(now)
        return self._held(server)

    def _held(self, server: str) -> float:
        return sum(logins for _, logins in self._grants.get(server, ()))

    def forget(self, server: str) -> None:
        """Forgets a server that has been removed from the weights."""
        self._grants.pop(server, None)
        for shares in self._shares.values():
            shares.pop(server, None)

    def reduce(
        self, now: int, interval: int, probabilities: Mapping[str, float], cold: Collection[str]
    ) -> dict[str, float]:
        """Takes what is held out of the probabilities for the logins of the next interval.

        The other candidates get it in proportion. If there is no other one, these logins are
        refused, unless the decision module refuses none: then it has bounded no server.
        """
        self._advance(now)
        logins = sum(self._rates(now).values()) * interval / SECOND
        total = sum(probabilities.values())
        others = sum(p for name, p in probabilities.items() if name not in cold)
        if logins <= 0 or (others <= 0 and total > 1.0 - 1e-9):
            return dict(probabilities)
        reduced = {
            name: max(0.0, p - self._held(name) / logins) if name in cold else p
            for name, p in probabilities.items()
        }
        freed = total - sum(reduced.values())
        return {
            name: p if name in cold or not p else p * (1.0 + freed / others)
            for name, p in reduced.items()
        }

    def retain_workloads(self, workloads: Collection[str]) -> None:
        """Forgets all other workloads."""
        self._shares = {n: shares for n, shares in self._shares.items() if n in workloads}

    def _rates(self, now: int) -> dict[str, float]:
        """Logins per second, by workload, over a time in which each proxy has reported."""
        while self._arrivals and now - self._arrivals[0][0] >= self._rate_window:
            self._arrivals.popleft()
        rates: dict[str, float] = {}
        for _, counts in self._arrivals:
            for workload, count in counts.items():
                rates[workload] = rates.get(workload, 0.0) + count * SECOND / self._rate_window
        return rates

    def _advance(self, now: int) -> None:
        """Adds what the published shares have granted since the last call."""
        elapsed, self._granted_until = now - self._granted_until, now
        if not elapsed:
            return
        rates = self._rates(now) if any(self._shares.values()) else {}
        for workload, shares in self._shares.items():
            for server, share in shares.items():
                logins = share * rates.get(workload, 0.0) * elapsed / SECOND
                grants = self._grants.setdefault(server, deque())
                if grants and now - grants[-1][0] < RATE_RESOLUTION:
                    grants[-1][1] += logins
                else:
                    grants.append([now, logins])
        for server in list(self._grants):
            grants = self._grants[server]
            while grants and now - grants[0][0] >= self._span:
                grants.popleft()
            if not grants:
                del self._grants[server]
