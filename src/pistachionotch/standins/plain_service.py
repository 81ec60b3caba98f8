"""Stand-in for a plain service whose calls must not be repeated."""

from __future__ import annotations

import errno
import json
from typing import Any

import attrs
import gevent

from .http import Environ, StartResponse, read_body, respond_json
from .ledger import Recorder, discard_record


@attrs.define
class ServiceFaults:
    """Fault switches that can be changed while the service runs."""

    delay_ms: int = 0
    lose_next_answers: int = 0


@attrs.define
class PlainServiceStandIn:
    """Handle every call and record it in the ledger."""

    name: str
    faults: ServiceFaults = attrs.field(factory=ServiceFaults)
    calls: list[dict[str, str]] = attrs.field(factory=list)
    record: Recorder = discard_record

    def __call__(self, environ: Environ, start_response: StartResponse) -> Any:
        """Dispatch one HTTP request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if (method, path) == ("POST", "/faults"):
            for name, value in json.loads(read_body(environ)).items():
                setattr(self.faults, name, value)
            return respond_json(start_response, 200, attrs.asdict(self.faults))
        if (method, path) == ("GET", "/ledger"):
            return respond_json(start_response, 200, {"calls": self.calls})
        return self._run(environ, start_response)

    def _run(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        body = read_body(environ)
        call = {
            "method": environ["REQUEST_METHOD"],
            "path": environ["PATH_INFO"],
            "request": environ.get("HTTP_X_REQUEST_ID", ""),
            "key": environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            "body": body.decode("utf-8", "replace"),
        }
        self.calls.append(call)
        self.record(dict(call))
        number = len(self.calls)
        gevent.sleep(self.faults.delay_ms / 1000)
        if self.faults.lose_next_answers > 0:
            self.faults.lose_next_answers -= 1
            # On this error the WSGI server closes the connection without a response.
            raise ConnectionResetError(errno.ECONNRESET, "stand-in loses the answer")
        status = 201 if call["method"] == "POST" else 200
        response = {"service": self.name, "run": number, "received": call["body"]}
        return respond_json(start_response, status, response)
