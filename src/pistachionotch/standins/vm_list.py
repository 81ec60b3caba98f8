"""Stand-in for the platform's list of VMs, which tests can set."""

from __future__ import annotations

import hashlib
import json
from typing import Any

import attrs

from .http import Environ, StartResponse, read_body, respond_json


@attrs.define
class VmListStandIn:
    """Serve the list with an ETag, and replace it on ``PUT``."""

    vms: list[dict[str, str]] = attrs.field(factory=list)
    # Number of reads that were answered with status 304.
    not_modified: int = 0

    def __call__(self, environ: Environ, start_response: StartResponse) -> Any:
        """Dispatch one HTTP request."""
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if route == ("PUT", "/vms"):
            self.vms = json.loads(read_body(environ))
        elif route != ("GET", "/vms"):
            return respond_json(start_response, 404, {"error": "no such route"})
        etag = f'"{hashlib.sha256(json.dumps(self.vms).encode()).hexdigest()[:16]}"'
        if environ.get("HTTP_IF_NONE_MATCH") == etag:
            self.not_modified += 1
            start_response("304 Not Modified", [("ETag", etag)])
            return []
        return respond_json(start_response, 200, self.vms, [("ETag", etag)])
