"""Responses of the ingress that no server has given: failures, with their statuses and reasons."""

from __future__ import annotations

import json
from http import HTTPStatus

from ..batches.model import BatchError, BatchErrorKind
from ..clock import MS_PER_SECOND
from ..gateway.responses import BufferedResponse, CallFailure, FailureCause

JSON_TYPE = ("Content-Type", "application/json")
CHALLENGE = ("WWW-Authenticate", "Bearer")

STATUS_BY_CAUSE = {
    FailureCause.NO_ROUTE: HTTPStatus.NOT_FOUND,
    FailureCause.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
    FailureCause.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
    # 503 would tell the client that the request has not run.
    FailureCause.UNKNOWN: HTTPStatus.BAD_GATEWAY,
    FailureCause.TIMEOUT: HTTPStatus.GATEWAY_TIMEOUT,
    FailureCause.INVALID: HTTPStatus.BAD_REQUEST,
    FailureCause.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    # Like 503 a promise that nothing has run, but no reason to send the same request again.
    FailureCause.BEGIN_ANEW: HTTPStatus.MISDIRECTED_REQUEST,
    # The platform's clients send a request again after any other status.
    FailureCause.CONDEMNED: HTTPStatus.BAD_REQUEST,
}
BATCH_FAILURE_CAUSES = {
    BatchErrorKind.NOT_FOUND: FailureCause.NO_ROUTE,
    BatchErrorKind.UNAVAILABLE: FailureCause.NOT_RUN,
    BatchErrorKind.NOT_ACCEPTED: FailureCause.NOT_RUN,
    BatchErrorKind.UNKNOWN: FailureCause.TIMEOUT,
    BatchErrorKind.REJECTED: FailureCause.TOO_LARGE,
}


def batch_failure(error: BatchError) -> CallFailure:
    """Return the failure of a request for a batch."""
    return CallFailure(BATCH_FAILURE_CAUSES[error.kind], error.reason, error.retry_after_ms)


def failure_response(failure: CallFailure) -> BufferedResponse:
    """Return the response that tells a client of a failure."""
    headers = [JSON_TYPE]
    if failure.cause is FailureCause.UNAUTHORIZED:
        headers.append(CHALLENGE)
    if failure.retry_after_ms is not None:
        headers.append(("Retry-After", f"{failure.retry_after_ms / MS_PER_SECOND:.3f}"))
    body = json.dumps({"error": failure.cause.value, "reason": failure.reason}).encode()
    return BufferedResponse(STATUS_BY_CAUSE[failure.cause], tuple(headers), body)


def status_line(status: int) -> str:
    """Return the status with its reason phrase."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        # An upstream may respond with a status that has no standard reason phrase.
        return f"{status} Status"
