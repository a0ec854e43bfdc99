"""When a fleet's chances become weights that proxies are sent.

Who drains or is gone leaves at once; everything else waits for its turn: at most so often, and only where it makes a
difference. Owns what was last told of each workload. Free of I/O and clocks (times come in, ns). Must never weigh a
server: the chances are the decision module's.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

WHOLE = 10_000  # the sum of the weights of a full view
LEAST = 1


class PublishedWeights(NamedTuple):
    """What the proxies are to do with a workload's logins."""

    weights: dict[str, int]  # by server; they sum to WHOLE, or nearly
    refused: int  # of WHOLE, turned away at once


class Settings(NamedTuple):
    every: int  # ns between two changes of weights, at the least
    dead_band: float  # of the draw: a change that would move less of it is not told
    fall: float = 0.5  # of a server's own weight: a fall by so much is told whatever it moves


class Weights:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.told: dict[str, PublishedWeights] = {}
        self._told_at: dict[str, int] = {}

    def left(self, servers: Collection[str]) -> list[str]:
        """Servers drain or are gone: returns the workloads that had them in their view, already without them.

        The others keep their weights: they are relative, so the draw among those that stay is as it was."""
        changed = []
        for workload, told in self.told.items():
            if any(server in told.weights for server in servers):
                left = {
                    name: weight for name, weight in told.weights.items() if name not in servers
                }
                self.told[workload] = PublishedWeights(left, told.refused)
                changed.append(workload)
        return changed

    def due(self, now: int, workload: str) -> bool:
        """Whether a change of this workload's weights may be told now."""
        return workload not in self._told_at or now - self._told_at[workload] >= self.settings.every

    def weighed(
        self, now: int, workload: str, chances: Mapping[str, float], ready: Collection[str]
    ) -> bool:
        """The module's answer is in; returns whether it is told. Ask `due` first.

        Where it would refuse all, the view keeps its servers, and all is turned away until it would not."""
        if chances:
            refused = max(0, min(WHOLE, round((1.0 - sum(chances.values())) * WHOLE)))
            whole = sum(chances.values())
            weights = {
                name: max(LEAST, round(chance / whole * WHOLE))
                for name, chance in sorted(chances.items())
            }
        else:
            refused = WHOLE if ready else 0
            weights = {name: max(LEAST, WHOLE // len(ready)) for name in sorted(ready)}
        new, old = PublishedWeights(weights, refused), self.told.get(workload)
        if old is not None and not self._matters(old, new):
            return False
        self.told[workload] = new
        self._told_at[workload] = now
        return True

    def _matters(self, old: PublishedWeights, new: PublishedWeights) -> bool:
        if old.weights.keys() != new.weights.keys():
            return True
        was, now = sum(old.weights.values()) or 1, sum(new.weights.values()) or 1
        apart = (
            sum(abs(old.weights[name] / was - new.weights[name] / now) for name in new.weights) / 2
        )
        # Guards against a server that goes on getting what it can't take, as that is little of the whole draw.
        fell = any(
            new.weights[name] / now < self.settings.fall * old.weights[name] / was
            for name in new.weights
        )
        return (
            apart > self.settings.dead_band
            or abs(old.refused - new.refused) > self.settings.dead_band * WHOLE
            or fell
        )

    def forget(self, kept: Collection[str]) -> None:
        """Only these workloads are left."""
        for workload in [name for name in self.told if name not in kept]:
            self.told.pop(workload)
            self._told_at.pop(workload, None)
