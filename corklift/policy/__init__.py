"""All placement decisions of corklift, for every deployment.

Usage: create one `Balancer` per instance with a `Host` that carries out its actions, a
`random.Random` of its own and the settings as keyword arguments. Call the method named for each
event, with the host's clock. All actions are calls on the host that are made before the method
returns. The types of both sides are in `corklift/interface.py`.

The ordinary path: every ready server is probed for its number of open connections about once a
second, at a random phase. A login's server is drawn with probability proportional to
1/(count + 1), where the count includes this balancer's own placements since the report.
`docs/design.md` lists each departure from this rule and when it applies.
"""

from corklift.policy.balancer import Balancer
from corklift.policy.cold_budget import ColdBudget
from corklift.policy.failures import RetryPolicy

__all__ = ["Balancer", "ColdBudget", "RetryPolicy"]
