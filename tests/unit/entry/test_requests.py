"""Guards against requests that crash request validation and against wrong idempotency rules."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachionotch.clock import ManualClock
from pistachionotch.entry.calls import Call
from pistachionotch.entry.policy import DEFAULT_TIMEOUTS_MS
from pistachionotch.entry.requests import (
    CallDefaults,
    HttpRequest,
    RouteRule,
    completion_call,
    findings_text,
    service_call,
)
from pistachionotch.findings import InvalidInputError

DEFAULTS = CallDefaults(DEFAULT_TIMEOUTS_MS)
NAMES = (
    "x-request-class",
    "x-request-timeout-ms",
    "x-request-id",
    "x-request-tenant",
    "idempotency-key",
    "accept",
)
latin = st.text(st.characters(max_codepoint=255), max_size=220)
values = latin | st.sampled_from(("storefront", "long", "1", "-1", "1e3", "nan", "9" * 5000))
headers = st.dictionaries(st.sampled_from(NAMES), values)
plain = st.none() | st.booleans() | st.floats() | st.integers() | st.text()
numbers = st.integers() | st.floats() | st.text() | st.none() | st.lists(st.integers())
wanted = st.fixed_dictionaries(
    {},
    optional={
        "model": st.just("fitting") | plain,
        "prompt": st.text() | plain,
        "max_tokens": st.integers(1, 100) | numbers,
        "stream": plain,
    },
)
bodies = st.binary() | wanted.map(lambda value: json.dumps(value).encode())


def _request(path, sent, body, method="POST", query=""):
    return HttpRequest(method, path, {}, sent, body, query)


def _accepted(make):
    """Return the call, or None if the request was refused with findings."""
    try:
        return make()
    except InvalidInputError as error:
        assert error.findings and findings_text(error)
        return None


@given(sent=headers, body=bodies)
def test_any_completion_gives_a_call_or_findings(sent, body):
    request = _request("/v1/completions", sent, body)
    made = _accepted(lambda: completion_call(request, ManualClock(), DEFAULTS))
    if made is None:
        return
    call = made
    assert isinstance(call, Call) and isinstance(call.streamed, bool)
    # A stream that broke off is resumed from the same body, which must not fail then.
    call.resumed(b"text", 1)


@given(sent=headers, body=st.binary(), tail=latin, method=st.sampled_from(("GET", "POST", "X")))
def test_any_service_request_gives_a_call_or_findings(sent, body, tail, method):
    request = _request(f"/services/{tail}", sent, body, method)
    call = _accepted(lambda: service_call(request, ManualClock(), DEFAULTS))
    if call is None:
        return
    assert call.target != "services/"
    # Such characters would end the request line that the agent sends to the upstream.
    assert call.path.isascii() and not any(sign.isspace() for sign in call.path)


@pytest.mark.parametrize("tokens", ["1e400", "NaN", "1.5", "true", '""', "0", "[1]"])
def test_invalid_max_tokens_is_a_finding(tokens):
    body = f'{{"model": "m", "prompt": "p", "max_tokens": {tokens}}}'.encode()
    with pytest.raises(InvalidInputError, match="max_tokens"):
        completion_call(_request("/v1/completions", {}, body), ManualClock(), DEFAULTS)


def test_invalid_tenant_is_a_finding():
    body = b'{"model": "m", "prompt": "p"}'
    request = _request("/v1/completions", {"x-request-tenant": "a b"}, body)
    with pytest.raises(InvalidInputError, match="Tenant"):
        completion_call(request, ManualClock(), DEFAULTS)


def test_query_and_path_encoding_are_forwarded_to_the_service():
    request = _request("/services/shop/o\r\nX: 1/\xe4", {}, b"", query="a=1&a=2")
    call = service_call(request, ManualClock(), DEFAULTS)
    assert call.path == "/o%0D%0AX:%201/%E4?a=1&a=2"


segments = st.sampled_from(("orders", "orders2", "kits", "a"))
paths = st.lists(segments, max_size=3).map(lambda parts: "/" + "/".join(parts))


@given(rule_path=paths, path=paths)
def test_a_rule_covers_its_path_and_what_is_below(rule_path, path):
    rule = RouteRule("shop", "POST", rule_path, True)
    rule_parts = [part for part in rule_path.split("/") if part]
    parts = [part for part in path.split("/") if part]
    assert rule.covers("shop", "POST", path) is (parts[: len(rule_parts)] == rule_parts)
    assert not rule.covers("other", "POST", path)
    assert not rule.covers("shop", "PUT", path)


@given(chosen=st.dictionaries(paths, st.booleans()), path=paths)
def test_the_longest_rule_decides(chosen, path):
    rules = tuple(RouteRule("shop", "POST", at, repeats) for at, repeats in chosen.items())
    defaults = CallDefaults(DEFAULT_TIMEOUTS_MS, rules)
    covering = [at for at in chosen if path == at or path.startswith(at.rstrip("/") + "/")]
    expected = chosen[max(covering, key=len)] if covering else False
    assert defaults.rule("shop", "POST", path).idempotent is expected
