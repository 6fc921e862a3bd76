"""Scheduling decisions about jobs, workers and hosts; performs no input or output."""
