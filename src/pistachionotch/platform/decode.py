"""Decoders of the objects that operator, servers and trainers keep in the platform's store."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

from ..accounts.model import AccountEntry, AccountTable
from ..config.spec import Address
from ..gateway.catalog import (
    Catalog,
    ClientLimits,
    Route,
    RouteKind,
    ScalingLimits,
    Service,
    ServiceShare,
)
from ..gateway.upstreams import UpstreamRecord
from ..malformed import MALFORMED, load_utf8_json
from ..objects.api import StoredObject

CONFIG_PREFIX = "config/"
CONFIG_KEY = "config/main"
SERVERS_PREFIX = "servers/"
VERSIONS_PREFIX = "versions/"
RETIREMENTS_PREFIX = "retirements/"
MS_PER_SECOND = 1000
MAX_SLOTS = 100_000
MAX_VERSION = 2**53
# Bounds of a service's scaling: servers per zone, and the time that a server takes to start.
MAX_SERVERS = 10_000
MAX_BOOT_S = 3_600
# The year 5138, in Unix milliseconds.
MAX_TIME_MS = 10**14
# Names of servers are sent in headers.
_INSTANCE = re.compile(r"[\x21-\x7e]{1,256}")
_TEXT = re.compile(r"[^\x00-\x1f\x7f\ud800-\udfff]{1,256}")

_ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "stream": RouteKind.STREAM,
    # Clients submit whole batches and read their results; the gateways run the items.
    "rollout": RouteKind.BATCH,
}


def read_catalog(stored: StoredObject) -> Catalog:
    """Decode the configuration; raises one of ``MALFORMED`` if that fails."""
    try:
        fields = load_utf8_json(stored.value)
    except UnicodeDecodeError as error:
        # The exception quotes the bytes, which may contain clients' keys.
        raise ValueError(f"no UTF-8 at byte {error.start}") from None
    routes = tuple(_parse_route(item) for item in fields["routes"])
    findings: dict[str, Exception] = {}
    services = {item["name"]: _parse_service(item, findings) for item in fields["services"]}
    return Catalog(
        int(fields["version"]),
        routes,
        services,
        _parse_limits(fields.get("limits") or {}),
        # Without this field requests need no keys; any other value but a list is malformed.
        _parse_accounts(fields["tenants"]) if "tenants" in fields else None,
        findings,
    )


def _parse_accounts(items: Any) -> AccountTable:
    """Decode the accounts; raises ``ValueError``, which contains no key."""
    if not isinstance(items, list):
        raise ValueError("the accounts must be a list")
    entries = []
    for number, item in enumerate(items):
        if not isinstance(item, dict):
            raise ValueError(f"account {number} must be an object")
        keys = item.get("api_keys")
        entries.append(
            AccountEntry(item.get("name"), () if keys is None else keys, item.get("priority"))
        )
    return AccountTable.build(entries)


def _parse_route(item: Mapping[str, Any]) -> Route:
    split = item.get("split") or [{"service": item["service"], "weight": 1}]
    return Route(
        name=str(item["name"]),
        host=str(item["hostname"]).lower(),
        prefix=str(item["path_prefix"]),
        # Requests to a route of an unknown kind are never repeated.
        kind=_ROUTE_KINDS.get(str(item["route_kind"]), RouteKind.UNSAFE),
        shares=tuple(ServiceShare(str(part["service"]), int(part["weight"])) for part in split),
        timeout_ms=int(item.get("timeout_ms") or 0),
        objective_ms=int(item.get("target_latency_ms") or 0),
        priority=int(item.get("priority") or 0),
        max_attempts=int(item.get("max_attempts") or 1),
        resumable=bool(item.get("resumable")),
        due_ms=int(item.get("due_ms") or 0),
        # Counted from the submission of the batch, not from when an item was queued.
        give_up_ms=int(float(item.get("max_queue_s") or 0) * MS_PER_SECOND),
        single_version=bool(item.get("single_version")),
        # Any other value must not open a route.
        public=item.get("public") is True,
    )


def _parse_service(item: Mapping[str, Any], findings: dict[str, Exception]) -> Service:
    engine = item.get("engine") or {}
    scaling = None
    if item.get("scaling") is not None:
        try:
            scaling = _parse_scaling(item["scaling"])
        except MALFORMED as error:
            findings[f"services/{item['name']}/scaling"] = error
    return Service(
        name=str(item["name"]),
        max_connections=int(item.get("max_conns") or 0),
        models=tuple(str(model["name"]) for model in engine.get("models") or ()),
        scaling=scaling,
    )


def _parse_scaling(item: Mapping[str, Any]) -> ScalingLimits:
    most = _bounded(item["max"], 1, MAX_SERVERS)
    boot_s = item["boot_s"]
    if isinstance(boot_s, bool) or not isinstance(boot_s, int | float):
        raise TypeError(f"{type(boot_s).__name__} as boot_s")
    if not 0 <= boot_s <= MAX_BOOT_S:
        raise ValueError(f"{boot_s!r} is no start time from 0 to {MAX_BOOT_S} s")
    return ScalingLimits(min=_bounded(item["min"], 0, most), max=most, boot_s=float(boot_s))


def _parse_limits(item: Mapping[str, Any]) -> ClientLimits:
    known = {name: int(item[name]) for name in item if hasattr(ClientLimits, name)}
    return ClientLimits(**known)


def read_upstream(stored: StoredObject) -> UpstreamRecord:
    """Decode a server's registration; raises one of ``MALFORMED`` if the server can't be used."""
    fields = load_utf8_json(stored.value)
    state = fields["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state {state!r}")
    instance = stored.key.partition("/")[2]
    if not _INSTANCE.fullmatch(instance):
        raise ValueError("the name can't be sent in a header")
    texts = [fields[name] for name in ("service", "address", "zone", "version")]
    if not all(isinstance(text, str) and _TEXT.fullmatch(text) for text in texts):
        raise ValueError("service, address, zone and version must be short texts")
    return UpstreamRecord(
        # The platform identifies a server only by the name of its object.
        instance=instance,
        service=texts[0],
        address=Address.parse_peer(texts[1]),
        zone=texts[2],
        slots=_bounded(fields["slots"], 1, MAX_SLOTS),
        leaving=state == "draining",
        started_ms=_bounded(fields.get("born") or 0, 0, MAX_TIME_MS),
        # The object's own field "version" is the server's software version, not a weight version.
        software=texts[3],
        versions=dict(_read_model(item) for item in fields.get("models") or ()),
    )


def _read_model(item: Mapping[str, Any]) -> tuple[str, int]:
    name = item["name"]
    if not isinstance(name, str):
        raise TypeError(f"{type(name).__name__} as the name of a model")
    return name, _bounded(item["version"], 0, MAX_VERSION)


def _bounded(value: Any, least: int, most: int) -> int:
    """Return an integer within bounds; raises ``ValueError``."""
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise ValueError(f"{value!r} is no integer from {least} to {most}")
    return value


def read_named_version(stored: StoredObject) -> tuple[str, int]:
    """Decode a model and the newest weight version that a trainer has named for it."""
    fields = load_utf8_json(stored.value)
    return _read_model({"name": fields["model"], "version": fields["version"]})
