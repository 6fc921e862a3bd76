"""Converts outcomes into HTTP responses."""

import math

import msgspec

from basilwind.api.asgi import HttpResponse
from basilwind.models import OutcomeKind, Reason

_STATUS_OF_REASON = {
    Reason.UNKNOWN_QUEUE: 404,
    Reason.NEVER_FITS: 422,
    Reason.KEY_REUSED: 422,
    Reason.JOB_TOO_LARGE: 413,
    Reason.QUEUE_FULL: 429,
    Reason.EXPECTED_WAIT_TOO_LONG: 429,
}
_STATUS_OF_KIND = {
    OutcomeKind.REFUSED: 503,
    OutcomeKind.FAILED: 502,
    OutcomeKind.CANCELLED: 409,
    OutcomeKind.UNKNOWN: 504,
}


class OutcomeBody(msgspec.Struct):
    """Response body for an outcome without a body from a worker."""

    outcome: str
    reason: str
    request_id: str
    message: str


_MESSAGES = {
    OutcomeKind.REFUSED: "the request was not run; it may be sent again",
    OutcomeKind.FAILED: "the work ran and failed",
    OutcomeKind.CANCELLED: "the work was cancelled",
    OutcomeKind.UNKNOWN: (
        "the work may have run; ask again with the same Idempotency-Key"
    ),
}


def outcome_response(outcome, request_id):
    """Returns the ``HttpResponse`` for an outcome."""
    response = HttpResponse(
        status=_status(outcome),
        body=outcome.body,
        content_type=outcome.content_type or "application/octet-stream",
        headers=_headers(outcome, request_id),
    )
    if outcome.kind is not OutcomeKind.DONE and not outcome.body:
        response.content_type = "application/json"
        response.body = msgspec.json.encode(
            OutcomeBody(
                outcome.kind.value,
                outcome.reason.value,
                request_id,
                _MESSAGES[outcome.kind],
            )
        )
    return response


def _status(outcome):
    if outcome.kind is OutcomeKind.DONE:
        return outcome.status or 200
    return _STATUS_OF_REASON.get(outcome.reason, _STATUS_OF_KIND[outcome.kind])


def _headers(outcome, request_id):
    headers = {
        "basilwind-outcome": outcome.kind.value,
        "basilwind-request-id": request_id,
    }
    if outcome.reason is not Reason.NONE:
        headers["basilwind-reason"] = outcome.reason.value
    if outcome.worker:
        headers["basilwind-worker"] = outcome.worker
    if outcome.replayed:
        headers["basilwind-replayed"] = "true"
    if outcome.retry_after_s > 0:
        headers["retry-after"] = str(math.ceil(outcome.retry_after_s))
        headers["basilwind-retry-after-ms"] = str(int(outcome.retry_after_s * 1000))
    return headers
