"""Metrics, sent to a statsd receiver."""

import statsd


class Metrics:
    """Counts and timings of one daemon.

    Args:
        address: HOST:PORT of the receiver; empty to send nothing.
        name: This entry host.
    """

    def __init__(self, address, name):
        self._client = None
        if address:
            host, _, port = address.rpartition(":")
            prefix = f"basilwind.{name.replace('.', '_')}"
            self._client = statsd.StatsClient(host, int(port), prefix=prefix)

    def count(self, name, value=1):
        """Adds to a counter."""
        if self._client is not None:
            self._client.incr(name, value)

    def gauge(self, name, value):
        """Sets a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name, seconds):
        """Reports a duration, in seconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)
