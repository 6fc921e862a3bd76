"""Helpers outside the package: launcher, demo, generators."""
