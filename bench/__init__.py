"""Measurements, each a module to run that prints a table and writes JSON."""
