"""Outside systems, played: one file each, written from their published protocols. Never imported by the product."""
