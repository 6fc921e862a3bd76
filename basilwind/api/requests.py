"""Makes request specifications out of HTTP requests."""

import math

import uuid6

from basilwind.errors import RequestInvalid
from basilwind.models import Demand, RequestSpec
from basilwind.placement.at_most_once import CLOCK_SKEW_S, key_time

LONGEST_DEADLINE_S = 86_400.0
MAX_LABELS = 16


def make_spec(request, team, queue, wall):
    """Returns the ``RequestSpec`` of an HTTP request.

    Args:
        request: The ``HttpRequest``.
        team: Name of the team.
        queue: ``QueueSettings`` of the queue.
        wall: Present time, in seconds since the epoch.

    Raises:
        RequestInvalid: A header is malformed.
    """
    headers = request.headers
    key = headers.get("idempotency-key", "")
    if key:
        _check_key(key, wall)
    return RequestSpec(
        request_id=str(uuid6.uuid7()),
        team=team,
        queue=queue.name,
        pool=queue.pool,
        demand=Demand(
            slots=_integer(headers, "basilwind-slots", 1, 1, 1024),
            cpus=_number(headers, "basilwind-cpus", 0.0, 0.0, 1e6),
            memory_gb=_number(headers, "basilwind-memory-gb", 0.0, 0.0, 1e6),
            accelerators=_integer(headers, "basilwind-accelerators", 0, 0, 1024),
        ),
        urgent=_boolean(headers, "basilwind-urgent", False),
        idempotent=_boolean(headers, "basilwind-idempotent", True),
        key=key,
        labels=_labels(headers),
        content_type=headers.get("content-type", "application/octet-stream"),
        body=request.body,
        expected_s=_number(
            headers, "basilwind-expected", queue.expected_s, 0.0, LONGEST_DEADLINE_S
        ),
    )


def deadline_s(request, queue):
    """Returns the time that a request may take, in seconds.

    Raises:
        RequestInvalid: The header is malformed.
    """
    return _number(
        request.headers,
        "basilwind-deadline",
        queue.deadline_s,
        0.001,
        LONGEST_DEADLINE_S,
    )


def _check_key(key, wall):
    if key_time(key) > wall + CLOCK_SKEW_S / 2:
        raise RequestInvalid("the Idempotency-Key lies in the future; set the clock")


def _number(headers, name, default, least, most):
    text = headers.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not least <= value <= most:
        raise RequestInvalid(f"{name} must be a number from {least:g} to {most:g}")
    return value


def _integer(headers, name, default, least, most):
    value = _number(headers, name, default, least, most)
    if value != int(value):
        raise RequestInvalid(f"{name} must be a whole number")
    return int(value)


def _boolean(headers, name, default):
    text = headers.get(name)
    if text is None:
        return default
    if text not in ("true", "false"):
        raise RequestInvalid(f"{name} must be true or false")
    return text == "true"


def _labels(headers):
    text = headers.get("basilwind-labels", "")
    labels = tuple(label.strip() for label in text.split(",") if label.strip())
    if len(labels) > MAX_LABELS:
        raise RequestInvalid(f"at most {MAX_LABELS} labels are allowed")
    return labels
