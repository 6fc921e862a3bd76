"""Parses HTTP requests into request specifications."""

import math

import uuid6

from basilwind.errors import RequestInvalid
from basilwind.models import Demand, RequestSpec
from basilwind.placement.at_most_once import CLOCK_SKEW_S, key_time

MAX_DEADLINE_S = 86_400.0
MAX_LABELS = 16


def parse_request_spec(request, team, queue, wall_time):
    """Returns the ``RequestSpec`` of an HTTP request.

    Args:
        request: The ``HttpRequest``.
        team: Name of the team.
        queue: ``QueueSettings`` of the queue.
        wall_time: Current Unix time in seconds.

    Raises:
        RequestInvalid: A header is malformed.
    """
    headers = request.headers
    key = headers.get("idempotency-key", "")
    if key:
        _check_key(key, wall_time)
    return RequestSpec(
        request_id=str(uuid6.uuid7()),
        team=team,
        queue=queue.name,
        pool=queue.pool,
        demand=Demand(
            slots=_parse_integer(headers, "basilwind-slots", 1, 1, 1024),
            cpus=_parse_number(headers, "basilwind-cpus", 0.0, 0.0, 1e6),
            memory_gb=_parse_number(headers, "basilwind-memory-gb", 0.0, 0.0, 1e6),
            accelerators=_parse_integer(headers, "basilwind-accelerators", 0, 0, 1024),
        ),
        urgent=_parse_boolean(headers, "basilwind-urgent", False),
        idempotent=_parse_boolean(headers, "basilwind-idempotent", True),
        key=key,
        labels=_parse_labels(headers),
        content_type=headers.get("content-type", "application/octet-stream"),
        body=request.body,
        expected_s=_parse_number(
            headers, "basilwind-expected", queue.expected_s, 0.0, MAX_DEADLINE_S
        ),
    )


def parse_deadline_s(request, queue):
    """Returns the time that a request may take, in seconds.

    It is taken from the ``basilwind-deadline`` header, or else from the queue.

    Raises:
        RequestInvalid: The header is malformed.
    """
    return _parse_number(
        request.headers,
        "basilwind-deadline",
        queue.deadline_s,
        0.001,
        MAX_DEADLINE_S,
    )


def _check_key(key, wall_time):
    """Rejects a key that is not a UUIDv7 or whose time lies too far in the future."""
    if key_time(key) > wall_time + CLOCK_SKEW_S / 2:
        raise RequestInvalid("the Idempotency-Key lies in the future; set the clock")


def _parse_number(headers, name, default, minimum, maximum):
    text = headers.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not minimum <= value <= maximum:
        raise RequestInvalid(f"{name} must be a number from {minimum:g} to {maximum:g}")
    return value


def _parse_integer(headers, name, default, minimum, maximum):
    value = _parse_number(headers, name, default, minimum, maximum)
    if value != int(value):
        raise RequestInvalid(f"{name} must be a whole number")
    return int(value)


def _parse_boolean(headers, name, default):
    text = headers.get(name)
    if text is None:
        return default
    if text not in ("true", "false"):
        raise RequestInvalid(f"{name} must be true or false")
    return text == "true"


def _parse_labels(headers):
    text = headers.get("basilwind-labels", "")
    labels = tuple(label.strip() for label in text.split(",") if label.strip())
    if len(labels) > MAX_LABELS:
        raise RequestInvalid(f"at most {MAX_LABELS} labels are allowed")
    return labels
