"""A demo of the whole system on loopback."""
