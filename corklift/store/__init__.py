"""The durable store: a small embedded key-value store. See docs/design/store.md."""
