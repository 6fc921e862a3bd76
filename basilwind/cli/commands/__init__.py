"""Implementations of the commands, one module each."""
