"""Decides when the draw probabilities of a workload are published to proxies as endpoint weights.

The removal of a server that drains or is gone is published at once. Any other change is published
at most once per interval, and only if it is significant. This module does no I/O and reads no
clock: times are passed in, in ns. The probabilities themselves come from the decision module.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

TOTAL_WEIGHT = 10_000  # the sum of the weights of all servers of a workload, up to rounding
MIN_WEIGHT = 1


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
                changed.append(workload)
        return changed

    def may_publish(self, now: int, workload: str) -> bool:
        """Whether the interval since the workload's last change has passed."""
        return (
            workload not in self._published_at
            or now - self._published_at[workload] >= self.settings.interval
        )

    def publish(
        self, now: int, workload: str, probabilities: Mapping[str, float], ready: Collection[str]
    ) -> bool:
        """Takes new draw probabilities; returns whether they are published. Call `may_publish`
        first.

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
        if old is not None and not self._is_significant(old, new):
            return False
        self.published[workload] = new
        self._published_at[workload] = now
        return True

    def _is_significant(self, old: PublishedWeights, new: PublishedWeights) -> bool:
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
            < self.settings.decrease_ratio * old.weights[name] / old_total
            for name in new.weights
        )
        return (
            moved_share > self.settings.dead_band
            or abs(old.dropped - new.dropped) > self.settings.dead_band * TOTAL_WEIGHT
            or has_large_decrease
        )

    def retain_workloads(self, workloads: Collection[str]) -> None:
        """Forgets all other workloads."""
        for workload in [name for name in self.published if name not in workloads]:
            self.published.pop(workload)
            self._published_at.pop(workload, None)
