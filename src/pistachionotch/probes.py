"""HTTP endpoints of a daemon for health, readiness, status, metrics and draining."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import attrs
import gevent

from .drain import DRAIN_PATH, is_authorized
from .metrics import METRICS_MEDIA_TYPE, render_metrics

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@attrs.frozen
class ProbeAnswer:
    """The response to a probe."""

    status: int
    media_type: str
    body: bytes


_PHRASES = {200: "OK", 202: "Accepted", 403: "Forbidden", 404: "Not Found", 503: "Unavailable"}


@attrs.frozen
class ProbeApp:
    """WSGI application that serves the probes of one daemon."""

    key: bytes
    status: Callable[[], dict[str, Any]]
    drain: Callable[[str], None]

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        """Serve one WSGI request."""
        authorization = environ.get("HTTP_AUTHORIZATION", "")
        answer = self.answer(environ["REQUEST_METHOD"], environ["PATH_INFO"], authorization)
        headers = [
            ("Content-Type", answer.media_type),
            ("Content-Length", str(len(answer.body))),
        ]
        start_response(f"{answer.status} {_PHRASES[answer.status]}", headers)
        return [answer.body]

    def answer(self, method: str, path: str, authorization: str) -> ProbeAnswer:
        """Return the response for a method and path."""
        if (method, path) == ("POST", DRAIN_PATH):
            return self._drain(authorization)
        if path == "/healthz":
            return ProbeAnswer(200, "text/plain", b"alive\n")
        if path == "/readyz":
            ready = self.status()["ready"]
            body = b"ready\n" if ready else b"not ready\n"
            return ProbeAnswer(200 if ready else 503, "text/plain", body)
        if path == "/metrics":
            return ProbeAnswer(200, METRICS_MEDIA_TYPE, render_metrics(self.status()))
        if path == "/v1/status":
            return ProbeAnswer(200, "application/json", json.dumps(self.status()).encode())
        return ProbeAnswer(404, "text/plain", b"no such probe\n")

    def _drain(self, authorization: str) -> ProbeAnswer:
        status = self.status()
        if not is_authorized(self.key, status["node"], status["incarnation"], authorization):
            return ProbeAnswer(403, "text/plain", b"wrong authorization\n")
        gevent.spawn(self.drain, "operator")
        return ProbeAnswer(202, "text/plain", b"draining\n")
