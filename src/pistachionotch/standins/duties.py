"""Stand-in for the platform's interface for usage reports and orders of servers."""

from __future__ import annotations

import errno
import json
import time
from typing import Any

import attrs
import gevent

from .http import Environ, StartResponse, read_body, respond_json
from .scaling import ScalingStandIn

# A call that is not answered ends after this time at the latest.
SILENCE_S = 30.0


@attrs.define
class DutyFaults:
    """Fault switches that can be changed while the stand-in runs."""

    # Answer 429, and do not act.
    busy: bool = False
    # Act, and never answer.
    silent: bool = False
    # Act, and close the connection instead of answering.
    lose_answers: bool = False
    delay_ms: int = 0


@attrs.frozen
class DutyCall:
    """A call as it was received; ``status`` is 0 if it was not answered."""

    unix_ms: int
    path: str
    holder: str
    fence: int
    body: Any
    status: int


@attrs.define
class DutyStandIn:
    """Record every call with its holder and fencing token, and carry out orders of servers.

    ``PUT /servers`` is an order of the operator, which is not recorded; ``GET /servers`` lists the
    servers that were ordered.
    """

    faults: DutyFaults = attrs.field(factory=DutyFaults)
    calls: list[DutyCall] = attrs.field(factory=list)
    # None if orders are only recorded.
    scaling: ScalingStandIn | None = None

    def __call__(self, environ: Environ, start_response: StartResponse) -> Any:
        """Dispatch one HTTP request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if (method, path) == ("PUT", "/faults"):
            for name, value in json.loads(read_body(environ)).items():
                setattr(self.faults, name, value)
            return respond_json(start_response, 200, attrs.asdict(self.faults))
        if (method, path) == ("GET", "/calls"):
            calls = [attrs.asdict(call) for call in self.calls]
            return respond_json(start_response, 200, {"calls": calls})
        if path == "/servers" and self.scaling is not None:
            if method == "PUT":
                self.scaling.scale(**json.loads(read_body(environ)))
            servers = [server.status() for server in self.scaling.servers]
            return respond_json(start_response, 200, {"servers": servers})
        if method != "POST" or path not in ("/usage", "/scale"):
            return respond_json(start_response, 404, {"error": "no such path"})
        return self._handle(path, environ, start_response)

    def reported_usage(self) -> dict[str, int]:
        """Return the requests by account in the accepted reports, each window counted once."""
        windows: dict[int, dict[str, int]] = {}
        for call in self.calls:
            if call.path == "/usage" and call.status == 200:
                windows[call.body["window_id"]] = call.body["counts"]
        totals: dict[str, int] = {}
        for counts in windows.values():
            for account, number in counts.items():
                totals[account] = totals.get(account, 0) + number
        return totals

    def _handle(self, path: str, environ: Environ, start_response: StartResponse) -> list[bytes]:
        body = json.loads(read_body(environ))
        holder = environ.get("HTTP_DUTY_HOLDER", "")
        fence = int(environ.get("HTTP_FENCING_TOKEN", "0"))
        answered = not (self.faults.silent or self.faults.lose_answers)
        status = 429 if self.faults.busy else 200
        if path == "/scale" and self.scaling is not None and not self.faults.busy:
            status = self.scaling.scale(**body)
        status = status if answered else 0
        self.calls.append(DutyCall(time.time_ns() // 1_000_000, path, holder, fence, body, status))
        gevent.sleep(self.faults.delay_ms / 1000)
        if self.faults.silent:
            gevent.sleep(SILENCE_S)
        if not answered:
            # On this error the WSGI server closes the connection without a response.
            raise ConnectionResetError(errno.ECONNRESET, "stand-in loses the answer")
        return respond_json(start_response, status, {})
