"""Placing requests and jobs on workers."""
