"""Client of the platform's lagging list of VMs."""

from __future__ import annotations

import json
from typing import Protocol

import attrs
from geventhttpclient import HTTPClient

from ..membership.directory import MemberState

CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 3.0


class VmList(Protocol):
    """Read the states of VMs by node name."""

    def read(self) -> dict[str, MemberState] | None:
        """Return the states, or none if the list cannot be read now."""


@attrs.frozen
class HttpVmList:
    """Read the VM list over HTTP."""

    host: str
    port: int

    def read(self) -> dict[str, MemberState] | None:
        """Return the states, or none if the list cannot be read now."""
        client = HTTPClient(
            self.host,
            self.port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=RESPONSE_TIMEOUT_S,
        )
        try:
            response = client.get("/vms")
            if response.status_code != 200:
                return None
            items = json.loads(response.read())
            return {str(item["name"]): MemberState(item["state"]) for item in items}
        except Exception:  # the client raises parser, socket and time-out types of its own
            return None
        finally:
            client.close()
