"""Logs: JSON lines by eliot."""

import eliot


def log_to(stream):
    """Sends log messages to a stream, one JSON object a line."""
    eliot.to_file(stream)


def log(event, **fields):
    """Logs an event.

    Args:
        event: What happened, in words.
        **fields: Further values.
    """
    eliot.log_message(message_type=event, **fields)
