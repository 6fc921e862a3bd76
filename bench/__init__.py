"""Measurements; each is a runnable module that prints a table and writes JSON."""
