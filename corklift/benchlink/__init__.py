"""Adapter that connects the decisions to the simulator, with one `Balancer` per instance."""
