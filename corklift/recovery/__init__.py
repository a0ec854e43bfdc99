"""Recovery of a balancer after a restart. See docs/design/recovery.md."""
