"""Objects that the operator and the servers write to the users' platform, and its client protocol.

A program that shows a gateway without other processes writes them to the stand-in's own store.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

import attrs

from ..config.spec import Address
from ..http_client import Connection
from ..objects.memory import MemoryStore

CONNECT_TIMEOUT_MS = 1_000


@attrs.frozen(kw_only=True)
class SharedService:
    """A plain service with one route and the accounts that may use it; keys by account."""

    hostname: str
    service: str
    timeout_ms: int
    keys: Mapping[str, str]


def put_configuration(store: MemoryStore, shared: SharedService) -> None:
    """Write the configuration as the operator does."""
    route = {
        "name": shared.service,
        "hostname": shared.hostname,
        "path_prefix": f"/{shared.service}/",
        "route_kind": "safe",
        "timeout_ms": shared.timeout_ms,
        "target_latency_ms": 200,
        "priority": 1,
        "service": shared.service,
        "max_attempts": 2,
    }
    spec = {
        "version": 1,
        "routes": [route],
        "services": [{"name": shared.service, "max_conns": 100}],
        "limits": {},
        "tenants": [{"name": name, "api_keys": [key]} for name, key in shared.keys.items()],
    }
    _put(store, "config/main", spec)


def put_server(
    store: MemoryStore, name: str, service: str, address: Address, zone: str, slots: int
) -> None:
    """Write the registration of a plain server, as the server does."""
    spec = {
        "service": service,
        "address": str(address),
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": 1,
    }
    _put(store, f"servers/{name}", spec)


def _put(store: MemoryStore, key: str, spec: dict[str, Any]) -> None:
    store.put(key, json.dumps({"spec": spec, "status": None}).encode(), None).unwrap()


@attrs.frozen
class PlatformResponse:
    """Status of a response and the delay that it asks for; 0 if it names none."""

    status: int
    retry_after_s: float


def send_call(
    address: Address, hostname: str, target: str, request_id: str, key: str, budget_ms: int
) -> PlatformResponse:
    """Send one call on a connection of its own; raises ``ExchangeError`` without a response."""
    connection = Connection(address)
    try:
        connection.open(CONNECT_TIMEOUT_MS)
        headers = [
            ("Host", hostname),
            ("Request-Id", request_id),
            ("Deadline-Ms", str(budget_ms)),
            ("Authorization", f"Bearer {key}"),
        ]
        connection.send("POST", target, headers, request_id.encode(), budget_ms)
        head = connection.read_head(budget_ms)
        connection.read_body(budget_ms)
        return PlatformResponse(head.status, float(head.get("retry-after") or 0))
    finally:
        connection.close()
