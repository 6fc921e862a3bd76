"""The whole system on loopback."""
