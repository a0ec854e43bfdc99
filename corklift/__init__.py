"""corklift: decisions of a balancer for long-lived connections, and the links that carry them."""

__version__ = "0.2.0"
