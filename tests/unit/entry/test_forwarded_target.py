"""Guards against calls forwarded to a plain service with a different path or query."""

import pytest

from pistachionotch.clock import ManualClock
from pistachionotch.entry.policy import DEFAULT_TIMEOUTS_MS
from pistachionotch.entry.requests import CallDefaults, HttpRequest, RequestChecker, service_call
from pistachionotch.findings import InvalidInputError


def _target(path, query=""):
    request = HttpRequest("GET", "/services/storefront" + path, {}, {}, b"", query)
    return service_call(request, ManualClock(), CallDefaults(DEFAULT_TIMEOUTS_MS)).path


@pytest.mark.parametrize(
    ("path", "query", "target"),
    [
        ("/catalogue", "page=2&name=a%20b", "/catalogue?page=2&name=a%20b"),
        ("/a b", "", "/a%20b"),
        ("/50%", "", "/50%25"),
        # The server passes the bytes of a path as latin-1 characters.
        ("/sel\u00c3\u00a3", "", "/sel%C3%A3"),
        ("/a HTTP/1.1\r\nX: y", "", "/a%20HTTP/1.1%0D%0AX:%20y"),
    ],
)
def test_path_and_query_are_forwarded_as_the_caller_wrote_them(path, query, target):
    assert _target(path, query) == target


@pytest.mark.parametrize("query", ["a b", "a\r\nX: y", "a#b", "\u00e9"])
def test_query_with_invalid_characters_is_refused(query):
    with pytest.raises(InvalidInputError):
        _target("/catalogue", query)


def test_infinite_number_is_a_finding():
    checker = RequestChecker(HttpRequest("POST", "/", {}, {}, b""))
    assert checker.integer("step", float("inf"), 0, 0, 10) == 0
    with pytest.raises(InvalidInputError):
        checker.raise_if_any()
