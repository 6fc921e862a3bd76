"""Measurements; each is one command that prints a table and writes JSON."""
