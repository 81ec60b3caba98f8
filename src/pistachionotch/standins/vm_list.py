"""Stand-in for the platform's list of VMs; tests set it to what the platform would say."""

from __future__ import annotations

import json
from typing import Any

import attrs

from .http import Environ, StartResponse, read_body, respond_json


@attrs.define
class VmListStandIn:
    """Serve the list and let a test replace it."""

    vms: list[dict[str, str]] = attrs.field(factory=list)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Any:
        """Dispatch one HTTP request."""
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if route == ("PUT", "/vms"):
            self.vms = json.loads(read_body(environ))
        elif route != ("GET", "/vms"):
            return respond_json(start_response, 404, {"error": "no such route"})
        return respond_json(start_response, 200, self.vms)
