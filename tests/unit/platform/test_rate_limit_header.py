"""Guards against rate limits that are misread: bad values must neither start nor end a limit."""

import pytest

from pistachionotch.gateway.upstream_protocol import RateLimitHeader
from pistachionotch.http_client import ResponseHead
from pistachionotch.platform.upstream import ServerProtocol


def read(*values):
    headers = tuple(("server-limit", value) for value in values)
    protocol = ServerProtocol()
    request = protocol.report_request("i-1")
    return protocol.read_response(request, ResponseHead(200, headers)).rate_limit


@pytest.mark.parametrize(
    ("value", "expected"),
    [("5", 5.0), ("1.6", 1.6), ("0", 0.0), ("0.0", 0.0), (" 2 ", 2.0), ("999999999999", 1e12 - 1)],
)
def test_decimal_numbers_are_limits(value, expected):
    assert read(value) == RateLimitHeader(per_second=expected)


@pytest.mark.parametrize(
    "value", ["", "-1", "+1", "inf", "Infinity", "nan", "1e3", "1.", ".5", "0x2", "1_0", "9" * 400]
)
def test_other_values_are_no_limit_but_reported(value):
    expected = RateLimitHeader(per_second=None, questionable=value or "(empty)", stated=False)
    assert read(value) == expected


def test_repeated_header_counts_with_its_lowest_limit():
    assert read("5", "3") == RateLimitHeader(per_second=3.0, questionable="5,3")
    assert read("5, 3") == RateLimitHeader(per_second=3.0, questionable="5,3")
    assert read("x", "4") == RateLimitHeader(per_second=4.0, questionable="x,4")


def test_answer_of_another_server_states_nothing():
    protocol = ServerProtocol()
    head = ResponseHead(421, (("server-limit", "3"), ("not-run", "1")))
    stated = protocol.read_response(protocol.report_request("i-1"), head).rate_limit
    assert stated == RateLimitHeader(stated=False)


def test_absent_header_is_no_limit():
    assert read() == RateLimitHeader()
