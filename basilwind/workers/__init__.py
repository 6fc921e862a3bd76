"""Clients of the workers that run the tasks, and their health checks."""
