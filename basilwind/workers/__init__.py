"""Clients of the workers on which tasks run."""
