"""The control service: passes corklift's placement decisions to third-party proxies over xDS."""
