"""Findings of the configuration that operators write to the platform's store.

No finding quotes a client's key.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from ..accounts.access import can_be_presented
from ..config.assessment import Assessment, locate
from ..config.check import Problem
from ..config.jsonc import read_jsonc
from ..config.plain import parse_valid
from ..config.reading import ValuePath
from ..findings import Finding, Findings, Place
from ..gateway.catalog import Catalog, ClientLimits, Route, Service
from ..malformed import MALFORMED, describe, load_json
from ..objects.api import StoredObject
from .decode import CONFIG_KEY, read_catalog

# Beginnings of messages about the syntax of a file. What follows them may quote a key.
SYNTAX_MESSAGES = (
    "duplicate key",
    "nested more than",
    "string is not closed on its line",
    "string contains half of a surrogate pair",
    "comment is not closed",
    "bad string",
    "unknown word",
    "file ends",
    "expected",
)
# A configuration without any part, to decode single ones.
EMPTY: dict[str, Any] = {"version": 0, "routes": [], "services": []}


@attrs.frozen
class Document:
    """The object's fields, and the path to them in the file."""

    fields: dict[str, Any]
    path: ValuePath = ()

    def whole_paths(self, problems: Iterable[Problem]) -> list[Problem]:
        """Return problems with their paths in the file."""
        return [(self.path + path, message) for path, message in problems]


def read_document(text: str, file: str) -> Document | tuple[Finding, ...]:
    """Return the fields of the object, with or without its metadata, or the errors of the file."""
    try:
        value = load_json(text)
    except ValueError as error:
        return _syntax_findings(text, file, error)
    if isinstance(value, dict) and isinstance(value.get("spec"), dict):
        return Document(value["spec"], ("spec",))
    if isinstance(value, dict):
        return Document(value)
    return locate([((), "a configuration is an object")], text, file)


def _syntax_findings(text: str, file: str, error: ValueError) -> tuple[Finding, ...]:
    found = _file_findings(text, file)
    if found:
        return found
    # The parser of files also accepts comments, which the platform does not.
    position = error.pos if isinstance(error, json.JSONDecodeError) else 0
    column = position - text.rfind("\n", 0, position)
    place = Place(file, text.count("\n", 0, position) + 1, column)
    return (Finding(place, "not JSON as the platform accepts it, for example a comment"),)


def _file_findings(text: str, file: str) -> tuple[Finding, ...]:
    """Return the findings of the parser of files, without the words that they quote."""
    findings = Findings()
    read_jsonc(text, file, findings)
    found = [attrs.evolve(each, message=_unquoted(each.message)) for each in findings.items]
    return tuple(sorted(found))


def _unquoted(message: str) -> str:
    for beginning in SYNTAX_MESSAGES:
        if message.startswith(beginning):
            return f"syntax error: {beginning} ..."
    return "syntax error"


def check_platform(text: str, file: str) -> Assessment:
    """Return all findings of the platform's configuration."""
    document = read_document(text, file)
    if not isinstance(document, Document):
        return Assessment(errors=document)
    errors = _errors(document.fields)
    warnings = [] if errors else list(_warnings(document.fields))
    # For example a key of an object that occurs twice, of which gateways use the last.
    syntax = _file_findings(text, file) if parse_valid(text, file) is None else ()
    return Assessment(
        locate(document.whole_paths(errors), text, file),
        tuple(sorted((*syntax, *locate(document.whole_paths(warnings), text, file)))),
    )


def _decode(fields: dict[str, Any]) -> Catalog:
    return read_catalog(StoredObject(CONFIG_KEY, 0, json.dumps(fields).encode()))


def _errors(fields: dict[str, Any]) -> list[Problem]:
    """Return what gateways reject, found by decoding each part as they do."""
    found = [*_part_errors(fields), *_account_errors(fields), *_weight_errors(fields)]
    if found:
        return found
    return list(_decode_errors((), fields))


def _part_errors(fields: dict[str, Any]) -> Iterator[Problem]:
    for name in EMPTY:
        if name not in fields:
            yield (), f"'{name}' is missing in this object"
    for name in ("routes", "services"):
        items = fields.get(name, [])
        if not isinstance(items, list):
            yield (name,), "expected an array"
            continue
        for index, item in enumerate(items):
            yield from _decode_errors((name, index), {**EMPTY, name: [item]})
    for name in ("version", "limits"):
        if name in fields:
            yield from _decode_errors((name,), {**EMPTY, name: fields[name]})


def _decode_errors(path: ValuePath, fields: dict[str, Any]) -> Iterator[Problem]:
    try:
        catalog = _decode(fields)
    except MALFORMED as error:
        yield path, _reason(error)
        return
    for place, finding in catalog.findings.items():
        yield (*path, place.rpartition("/")[2]), _reason(finding)


def _reason(error: Exception) -> str:
    if isinstance(error, KeyError):
        return f"{error.args[0]!r} is missing in this object"
    return str(error) if isinstance(error, ValueError) else describe(error)


def _account_errors(fields: dict[str, Any]) -> Iterator[Problem]:
    items = fields.get("tenants", [])
    if not isinstance(items, list):
        yield ("tenants",), "expected an array"
        return
    names: set[str] = set()
    owners: dict[str, int] = {}
    for index, item in enumerate(items):
        problems = list(_decode_errors(("tenants", index), {**EMPTY, "tenants": [item]}))
        if problems:
            # The decoder numbers the accounts, of which it saw one.
            yield from ((path, message.removeprefix("account 0: ")) for path, message in problems)
            continue
        if item["name"] in names:
            yield ("tenants", index, "name"), f"a second account {item['name'][:100]!r}"
        names.add(item["name"])
        for number, key in enumerate(item.get("api_keys") or ()):
            if owners.setdefault(key, index) != index:
                where = ("tenants", index, "api_keys", number)
                yield where, f"this key also belongs to {items[owners[key]]['name'][:100]!r}"


def _weight_errors(fields: dict[str, Any]) -> Iterator[Problem]:
    """Find routes that could choose no service, which shows only at the first request."""
    routes = fields.get("routes")
    for index, route in enumerate(routes if isinstance(routes, list) else ()):
        split = route.get("split") if isinstance(route, dict) else None
        if not isinstance(split, list) or len(split) < 2:
            continue
        weights: list[Any] = [part.get("weight") for part in split if isinstance(part, dict)]
        if not all(isinstance(weight, int) for weight in weights):
            continue
        if any(weight < 0 for weight in weights) or not any(weights):
            yield ("routes", index, "split"), "weights must not be negative, nor all 0"


def _warnings(fields: dict[str, Any]) -> Iterator[Problem]:
    catalog = _decode(fields)
    yield from _hidden_routes(catalog)
    yield from _unused_services(catalog, fields["services"])
    yield from _unusable_accounts(fields.get("tenants") or ())
    for index, route in enumerate(catalog.routes):
        yield from _route_limits(("routes", index), route, catalog.services)
    yield from _client_limits(catalog.limits)


def _hidden_routes(catalog: Catalog) -> Iterator[Problem]:
    """Find routes whose calls all go elsewhere.

    The longest prefix wins whatever its position, so only an equal one hides a whole route.
    """
    first: dict[tuple[str, str], int] = {}
    for index, route in enumerate(catalog.routes):
        path = ("routes", index, "path_prefix")
        earlier = first.setdefault((route.host, route.prefix), index)
        if earlier != index:
            other = catalog.routes[earlier].name
            yield path, f"never matches: the earlier route {other!r} has the same host and prefix"
            continue
        if (route.prefix and not route.prefix.startswith("/")) or "?" in route.prefix:
            yield path, "never matches: a path starts with '/' and has no '?'"


def _unused_services(catalog: Catalog, items: list[Any]) -> Iterator[Problem]:
    used = {
        share.service
        for route in catalog.routes
        for share in route.shares
        if share.weight > 0 or len(route.shares) == 1
    }
    names = Counter(str(item["name"]) for item in items)
    for index, item in enumerate(items):
        name = str(item["name"])
        names[name] -= 1
        if names[name]:
            yield ("services", index), f"replaced by a later service {name!r}"
            continue
        if name not in used:
            yield ("services", index), f"no route uses the service {name!r}"
    for index, route in enumerate(catalog.routes):
        for share in route.shares:
            if share.service not in catalog.services:
                yield ("routes", index), f"the service {share.service!r} has no entry"


def _unusable_accounts(items: Any) -> Iterator[Problem]:
    for index, item in enumerate(items):
        keys = item.get("api_keys") or ()
        if not keys:
            yield ("tenants", index), f"the account {item['name'][:100]!r} has no keys"
        for number, key in enumerate(keys):
            if not can_be_presented(key):
                where = ("tenants", index, "api_keys", number)
                yield where, "no request can carry this key: too long, or not printable ASCII"


def _route_limits(path: ValuePath, route: Route, services: dict[str, Service]) -> Iterator[Problem]:
    if 0 < route.timeout_ms < route.objective_ms:
        message = f"time-out of {route.timeout_ms} ms is below the objective"
        yield (*path, "timeout_ms"), f"{message} of {route.objective_ms} ms"
    for share in route.shares:
        service = services.get(share.service)
        scaling = None if service is None else service.scaling
        if scaling is not None and route.max_attempts > scaling.max:
            message = f"{route.max_attempts} attempts, but {share.service!r} may have only"
            yield (*path, "max_attempts"), f"{message} {scaling.max} servers in a zone"


def _client_limits(limits: ClientLimits) -> Iterator[Problem]:
    if limits.max_header_bytes > limits.max_body_bytes:
        message = f"header limit of {limits.max_header_bytes} bytes is above the body limit"
        yield ("limits",), f"{message} of {limits.max_body_bytes} bytes"
    if limits.idle_timeout_ms < limits.header_timeout_ms:
        message = f"idle time-out of {limits.idle_timeout_ms} ms is below the header time-out"
        yield ("limits",), f"{message} of {limits.header_timeout_ms} ms"
