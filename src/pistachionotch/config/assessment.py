"""Errors and warnings about a configuration before it is applied.

An error keeps the configuration, or a part of it, from being applied. A warning is about values
that are applied, but have no effect or contradict each other.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from returns.result import Failure

from ..findings import Finding, Findings, Place
from .check import Problem, check
from .jsonc import read_jsonc
from .located import Located
from .plain import parse_valid
from .reading import ValuePath
from .schema import Configuration, Service


@attrs.frozen
class Assessment:
    """All findings of one configuration, sorted by location."""

    errors: tuple[Finding, ...] = ()
    warnings: tuple[Finding, ...] = ()


def assess(text: str, file: str) -> Assessment:
    """Return the findings of the deployment's configuration; warnings only if it has no errors."""
    checked = check(text, file)
    if isinstance(checked, Failure):
        return Assessment(errors=checked.failure())
    problems = list(_questionable(checked.unwrap()))
    return Assessment(warnings=locate(problems, text, file))


def syntax_findings(text: str, file: str) -> tuple[Finding, ...]:
    """Return what keeps a text from being read, whatever it contains."""
    if parse_valid(text, file) is not None:
        return ()
    findings = Findings()
    read_jsonc(text, file, findings)
    return tuple(sorted(findings.items))


def locate(problems: list[Problem], text: str, file: str) -> tuple[Finding, ...]:
    """Return problems as findings at their places in a text without syntax errors."""
    if not problems:
        return ()
    root = read_jsonc(text, file, Findings())
    found = []
    for path, message in problems:
        place = Place(file) if root is None else _place_of(root, path)
        found.append(Finding(place, message))
    return tuple(sorted(found))


def _place_of(root: Located, path: ValuePath) -> Place:
    """Return the place of the value at a path, or of the closest value around it."""
    located = root
    for step in path:
        value = located.value
        if isinstance(value, dict) and step in value:
            located = value[str(step)].item
            continue
        if isinstance(value, tuple) and isinstance(step, int) and step < len(value):
            located = value[step]
            continue
        break
    return located.place


def _questionable(configuration: Configuration) -> Iterator[Problem]:
    for name, service in configuration.services.items():
        yield from _hidden_routes(name, service)
        yield from _short_retention(configuration, name, service)


def _hidden_routes(name: str, service: Service) -> Iterator[Problem]:
    """Find routes to the same calls, of which the one with the longest path is always taken."""
    longest: dict[tuple[str, str], str] = {}
    for route in service.routes:
        for method in route.methods:
            call = (route.path.rstrip("/"), method)
            longest[call] = max(longest.get(call, ""), route.path, key=len)
    for index, route in enumerate(service.routes):
        for number, method in enumerate(route.methods):
            other = longest[route.path.rstrip("/"), method]
            if other == route.path:
                continue
            path = ("services", name, "routes", index, "methods", number)
            yield path, f"{method} {route.path} never matches, because of the route {other}"


def _short_retention(
    configuration: Configuration, name: str, service: Service
) -> Iterator[Problem]:
    """Find deadlines of routes that outlast the record of a call; the class's are errors."""
    retention = configuration.claims.retention_ms
    for index, route in enumerate(service.routes):
        if route.idempotent or route.deadline_ms is None:
            continue
        request_class = route.request_class or service.default_class
        horizons = {
            caller: settings.retry_horizon_ms
            for caller, settings in configuration.callers.items()
            if settings.request_class == request_class
        }
        caller = max(horizons, key=lambda name: horizons[name], default="")
        needed = horizons.get(caller, 0) + route.deadline_ms
        if retention > needed:
            continue
        message = (
            f"retention of {retention} ms is not above {needed} ms, the retry horizon of"
            f" '{caller}' and this deadline; a late retry would run again"
        )
        yield ("services", name, "routes", index, "deadline_ms"), message
