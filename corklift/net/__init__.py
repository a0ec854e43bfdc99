"""The network side of a balancer process. All decisions are made by `corklift.policy`."""
