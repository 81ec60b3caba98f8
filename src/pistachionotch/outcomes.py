"""Execution states of requests and the problem responses that report them."""

from __future__ import annotations

import enum
import json
from http import HTTPStatus

import attrs


class Execution(enum.StrEnum):
    """How far a request was executed by the upstream."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    DONE = "done"


class RequestClass(enum.StrEnum):
    """The kind of work of a request, which determines its share of an upstream."""

    STOREFRONT = "storefront"
    CONFIRMATION = "confirmation"
    TRAINING = "training"
    LONG = "long"


PROBLEM_MEDIA_TYPE = "application/problem+json"


@attrs.frozen
class Problem:
    """An RFC 9457 problem with the execution state of the request."""

    status: int
    title: str
    detail: str
    execution: Execution
    request_id: str = ""
    retry_after_ms: int | None = None
    # The key issued for the request was revoked; repeating the work requires a new one.
    new_key: bool = False

    def body(self) -> bytes:
        """Return the JSON problem body."""
        fields: dict[str, str | int] = {
            "type": f"urn:pistachionotch:{self.execution}",
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            "execution": str(self.execution),
            "request_id": self.request_id,
        }
        if self.retry_after_ms is not None:
            fields["retry_after_ms"] = self.retry_after_ms
        if self.new_key:
            fields["new_key"] = True
        return json.dumps(fields).encode()

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers for the problem; ``Retry-After`` is in whole seconds."""
        headers = [("Content-Type", PROBLEM_MEDIA_TYPE)]
        if self.retry_after_ms is not None:
            seconds = max(1, -(-self.retry_after_ms // 1000))
            headers.append(("Retry-After", str(seconds)))
        return headers

    def status_line(self) -> str:
        """Return the WSGI status, such as ``503 Service Unavailable``."""
        return f"{self.status} {HTTPStatus(self.status).phrase}"
