"""Decisions about jobs, workers and machines; no input or output."""
