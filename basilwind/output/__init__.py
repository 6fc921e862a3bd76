"""Formatting of the output of commands."""
