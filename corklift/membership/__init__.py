"""Membership of the balancers of one service: protocol core, count of balancers, and peer RPCs."""
