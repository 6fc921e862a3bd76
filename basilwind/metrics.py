"""Metrics, sent to a statsd server."""

import statsd


class Metrics:
    """Sends the metrics of one daemon.

    Args:
        address: HOST:PORT of the statsd server; empty to send nothing.
        name: Name of this entry host; part of the prefix of all metrics.
    """

    def __init__(self, address, name):
        self._client = None
        if address:
            host, _, port = address.rpartition(":")
            prefix = f"basilwind.{name.replace('.', '_')}"
            self._client = statsd.StatsClient(host, int(port), prefix=prefix)

    def count(self, name, value=1):
        """Increments a counter."""
        if self._client is not None:
            self._client.incr(name, value)

    def gauge(self, name, value):
        """Sets a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name, seconds):
        """Records a duration, given in seconds; statsd gets milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)
