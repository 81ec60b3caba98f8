"""Stand-in for the platform's scaling: starts, drains and removes servers as they are ordered."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
import gevent
from gevent.pywsgi import WSGIServer

from .http import start_server
from .platform_servers import PlatformServerStandIn

HOST = "127.0.0.1"
SLOTS = 8
# Time from the registration of a server as draining until it is removed. Gateways read the listing
# at least each second.
DRAIN_S = 3.0
# What is still open at a removed server is cut off after this time.
STOP_S = 0.1
OBJECTS = "/api/objects"

# Sends a request to the store: method, path and body; returns the body of a success or None.
StoreRequest = Callable[[str, str, Any], Any]


@attrs.define
class ScaledServer:
    """A server that was ordered; ``state`` is starting, ready, draining or removed."""

    name: str
    service: str
    zone: str
    application: PlatformServerStandIn
    state: str = "starting"
    server: WSGIServer | None = None

    def status(self) -> dict[str, Any]:
        """Return what ``GET /servers`` tells of the server."""
        return {
            "name": self.name,
            "service": self.service,
            "zone": self.zone,
            "state": self.state,
            "runs": [run["request"] for run in self.application.runs],
        }


@attrs.define
class ScalingStandIn:
    """Carries out orders of servers; the limits are those of the configuration in the store."""

    store: StoreRequest
    servers: list[ScaledServer] = attrs.field(factory=list)

    def limits(self, service: str) -> dict[str, Any] | None:
        """Return the ``scaling`` of a service; None if it is not scaled."""
        config = self.store("GET", f"{OBJECTS}/config/main", None)
        for item in config["spec"]["services"] if config is not None else ():
            if item["name"] == service:
                return item.get("scaling")
        return None

    def scale(self, service: str, zone: str, desired: int) -> int:
        """Start or drain servers until ``desired`` are left; returns the status of the answer."""
        limits = self.limits(service)
        if limits is None:
            return HTTPStatus.NOT_FOUND
        desired = max(limits["min"], min(limits["max"], desired))
        present = [
            each
            for each in self.servers
            if (each.service, each.zone) == (service, zone) and each.state in ("starting", "ready")
        ]
        for server in present[desired:]:
            self._drain(server)
        for _ in range(desired - len(present)):
            name = f"{service}-{zone}-{len(self.servers) + 1}"
            server = ScaledServer(name, service, zone, PlatformServerStandIn(name))
            self.servers.append(server)
            gevent.spawn_later(limits["boot_s"], self._start, server)
        return HTTPStatus.OK

    def _start(self, server: ScaledServer) -> None:
        if server.state != "starting":
            return
        server.server = start_server(server.application, HOST, 0)
        server.state = "ready"
        self._register(server)

    def _drain(self, server: ScaledServer) -> None:
        if server.state == "starting":
            server.state = "removed"
            return
        server.state = "draining"
        self._register(server)
        gevent.spawn_later(DRAIN_S, self._remove, server)

    def _remove(self, server: ScaledServer) -> None:
        assert server.server is not None
        self.store("DELETE", f"{OBJECTS}/servers/{server.name}", None)
        server.state = "removed"
        server.server.stop(STOP_S)

    def _register(self, server: ScaledServer) -> None:
        assert server.server is not None
        spec = {
            "service": server.service,
            "address": f"{HOST}:{server.server.server_port}",
            "zone": server.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": server.state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1,
        }
        body = {"metadata": {"name": server.name}, "spec": spec}
        if self.store("POST", f"{OBJECTS}/servers", body) is None:
            self.store("PUT", f"{OBJECTS}/servers/{server.name}", body)
