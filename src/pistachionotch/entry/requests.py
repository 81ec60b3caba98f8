"""Validation of HTTP requests; one response reports all errors of a request."""

from __future__ import annotations

import json
import re
import secrets
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import attrs

from ..clock import Clock, Deadline
from ..findings import Findings, InvalidInputError, Place
from ..outcomes import RequestClass
from ..prefixes.key import prefix_key
from .calls import COMPLETIONS_PATH, DEFAULT_MAX_TOKENS, Call

# The body and its message framing must fit into one message to the agent.
MAX_BODY_BYTES = 900 * 1024
MAX_TIMEOUT_MS = 600_000
MAX_TOKENS = 131_072
MAX_KEY_CHARACTERS = 200
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
_IDENTIFIER = re.compile(r"[A-Za-z0-9._:-]{1,100}")
_QUERY = re.compile(r"[A-Za-z0-9._~:/?@!$&'()*+,;=%-]*")
_UNFORWARDED_HEADERS = frozenset(
    {"host", "connection", "content-length", "transfer-encoding", "te", "upgrade", "expect"}
)


@attrs.frozen
class HttpRequest:
    """A parsed HTTP request."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    query_text: str = ""

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header, given its name in lower case."""
        return self.headers.get(name, default)


@attrs.define
class RequestChecker:
    """Reads and validates the fields of a request, and collects the errors."""

    request: HttpRequest
    findings: Findings = attrs.field(factory=Findings)

    def fault(self, field: str, message: str) -> None:
        """Record an error in a field."""
        self.findings.add(Place(field), message)

    def integer(self, name: str, text: Any, default: int, low: int, high: int) -> int:
        """Return an integer; record an error and return the default if it is out of range."""
        if text is None:
            return default
        try:
            value = self._parse_integer(text)
        except ValueError:
            self.fault(name, "is not a whole number")
            return default
        if not low <= value <= high:
            self.fault(name, f"is not between {low} and {high}")
            return default
        return value

    @staticmethod
    def _parse_integer(value: Any) -> int:
        # ``int`` would convert, truncate or overflow on the JSON values true, 1.5 and Infinity.
        if type(value) not in (int, str):
            raise ValueError(f"{type(value).__name__} is not a whole number")
        return int(value)

    def identifier(self, name: str, text: Any, default: str) -> str:
        """Return a name of 1 to 100 letters, digits or ``._:-``; record an error otherwise."""
        if text in ("", None):
            return default
        if not isinstance(text, str) or not _IDENTIFIER.fullmatch(text):
            self.fault(name, "is not 1 to 100 letters, digits or ._:-")
            return default
        return text

    def request_class(self, default: RequestClass) -> RequestClass:
        """Return the class from the ``X-Request-Class`` header."""
        text = self.request.header("x-request-class")
        if not text:
            return default
        try:
            return RequestClass(text)
        except ValueError:
            known = ", ".join(RequestClass)
            self.fault("X-Request-Class", f"is not one of {known}")
            return default

    def json_object(self) -> dict[str, Any]:
        """Return the body as a JSON object; record an error and return an empty one otherwise."""
        try:
            value = json.loads(self.request.body)
        except (ValueError, RecursionError) as error:
            self.fault("body", f"is not JSON: {error}")
            return {}
        if not isinstance(value, dict):
            self.fault("body", "is not a JSON object")
            return {}
        return value

    def raise_if_any(self) -> None:
        """Raise ``InvalidInputError`` with all errors, if there are any."""
        self.findings.raise_if_any()


@attrs.frozen
class RouteRule:
    """Configuration of calls to a service with a given method and path prefix.

    ``idempotent`` tells whether such calls may be repeated.
    """

    service: str
    method: str
    path: str
    idempotent: bool
    request_class: RequestClass | None = None
    timeout_ms: int | None = None

    def covers(self, service: str, method: str, path: str) -> bool:
        """Return whether the rule applies to a call."""
        if (service, method) != (self.service, self.method):
            return False
        prefix = self.path.rstrip("/")
        return path == self.path or path == prefix or path.startswith(prefix + "/")


@attrs.frozen
class CallDefaults:
    """Configured defaults for calls that do not specify a value themselves."""

    timeouts_ms: Mapping[RequestClass, int]
    routes: tuple[RouteRule, ...] = ()
    # Default classes by target: a model, or ``services/<name>``.
    classes: Mapping[str, RequestClass] = attrs.field(factory=dict)

    def timeout_ms(self, request_class: RequestClass) -> int:
        """Return the default timeout of a request class."""
        return self.timeouts_ms[request_class]

    def request_class(self, target: str) -> RequestClass:
        """Return the default class of calls to a target."""
        return self.classes.get(target, RequestClass.STOREFRONT)

    def rule(self, service: str, method: str, path: str) -> RouteRule:
        """Return the rule with the longest matching path.

        Without a matching rule, the methods that RFC 9110 defines as idempotent may be repeated.
        """
        rules = [rule for rule in self.routes if rule.covers(service, method, path)]
        if not rules:
            return RouteRule(service, method, path, method in _IDEMPOTENT_METHODS)
        return max(rules, key=lambda rule: len(rule.path))


def _forwarded_target(checker: RequestChecker, path: str) -> str:
    """Return the path, encoded again after the server decoded it, and the query."""
    target = quote(path.encode("latin-1"), safe="/:@!$&'()*+,;=~")
    query = checker.request.query_text
    if not query:
        return target
    if not _QUERY.fullmatch(query):
        checker.fault("query", "has characters that a URI may not have")
    return f"{target}?{query}"


def _forwarded_headers(request: HttpRequest) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name not in _UNFORWARDED_HEADERS
        and not name.startswith(("x-request-", "idempotency-key"))
    )


def _parse_common_fields(
    checker: RequestChecker,
    clock: Clock,
    defaults: CallDefaults,
    default_class: RequestClass,
    default_timeout_ms: int | None = None,
) -> tuple[str, RequestClass, Deadline, str]:
    request = checker.request
    request_id = checker.identifier(
        "X-Request-Id", request.header("x-request-id"), secrets.token_hex(8)
    )
    request_class = checker.request_class(default_class)
    timeout_ms = checker.integer(
        "X-Request-Timeout-Ms",
        request.header("x-request-timeout-ms") or None,
        default_timeout_ms or defaults.timeout_ms(request_class),
        1,
        MAX_TIMEOUT_MS,
    )
    key = request.header("idempotency-key")
    if len(key) > MAX_KEY_CHARACTERS:
        checker.fault("Idempotency-Key", f"is longer than {MAX_KEY_CHARACTERS} characters")
    if len(request.body) > MAX_BODY_BYTES:
        checker.fault("body", f"is longer than {MAX_BODY_BYTES} bytes")
    return request_id, request_class, Deadline.after(clock, timeout_ms), key


def completion_call(request: HttpRequest, clock: Clock, defaults: CallDefaults) -> Call:
    """Return the call for a completion request; raise ``InvalidInputError`` if it is invalid."""
    checker = RequestChecker(request)
    wanted = checker.json_object()
    model = checker.identifier("model", wanted.get("model"), "")
    request_id, request_class, deadline, _key = _parse_common_fields(
        checker, clock, defaults, defaults.request_class(model)
    )
    if not model:
        checker.fault("model", "is missing")
    if not isinstance(wanted.get("prompt"), str):
        checker.fault("prompt", "is not a string")
    tokens = checker.integer(
        "max_tokens", wanted.get("max_tokens"), DEFAULT_MAX_TOKENS, 1, MAX_TOKENS
    )
    tenant = checker.identifier("X-Request-Tenant", request.header("x-request-tenant"), "")
    checker.raise_if_any()
    return Call(
        request_id,
        request_class,
        deadline,
        model,
        "POST",
        COMPLETIONS_PATH,
        (),
        request.body,
        idempotent=True,
        expected_tokens=tokens,
        tenant=tenant,
        streamed=bool(wanted.get("stream")),
        prefix=prefix_key(model, wanted["prompt"]),
    )


def service_call(request: HttpRequest, clock: Clock, defaults: CallDefaults) -> Call:
    """Return the call for a request to ``/services/<service>/<path>``.

    Raise ``InvalidInputError`` if the request is invalid.
    """
    checker = RequestChecker(request)
    _empty, _services, service, *rest = request.path.split("/", 3)
    path = "/" + (rest[0] if rest else "")
    if not checker.identifier("service", service, ""):
        checker.fault("service", "is missing")
    target = _forwarded_target(checker, path)
    rule = defaults.rule(service, request.method, path)
    default_class = rule.request_class or defaults.request_class(f"services/{service}")
    request_id, request_class, deadline, key = _parse_common_fields(
        checker, clock, defaults, default_class, rule.timeout_ms
    )
    checker.raise_if_any()
    return Call(
        request_id,
        request_class,
        deadline,
        f"services/{service}",
        request.method,
        target,
        _forwarded_headers(request),
        request.body,
        idempotent=rule.idempotent,
        key=key,
    )


def findings_text(error: InvalidInputError) -> str:
    """Return all findings of an invalid request, separated by semicolons."""
    return "; ".join(f"{finding.place.file} {finding.message}" for finding in error.findings)
