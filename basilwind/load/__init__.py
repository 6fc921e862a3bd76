"""Bounded load, with outcomes checked against what the workers really ran."""
