"""Liveness of entry hosts, and ownership of the shards of a zone."""
