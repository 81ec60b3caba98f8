"""Guards against accepting a configuration whose values contradict each other."""

import json
import time

import pytest
from config_examples import changed, damaged, example, values
from hypothesis import given, settings
from returns.result import Success

from pistachionotch.config.check import check, read_configuration
from pistachionotch.outcomes import RequestClass

CLASS = ("classes", "storefront")
ROUTE = ("services", "storefront", "routes", 0)
LINK = ("network", "links", 0)
WRONG_VALUES = [
    (("object_api_region",), "mindanao", "unknown region 'mindanao'"),
    (("regions", "luzon", "zones"), ["manila", "cebu"], "zone 'cebu' is also in 'visayas'"),
    (("regions", "luzon", "zones"), [], "at least 1 needed"),
    (("regions", "luzon", "zones"), ["manila", "manila"], "is in this array already"),
    ((*LINK, "between"), ["visayas", "panay"], "unknown region 'panay'"),
    ((*LINK, "between"), ["visayas", "luzon", "panay"], "a link is between two regions"),
    (("network", "links"), [], "no link between luzon and visayas"),
    ((*LINK, "bandwidth_mbit_per_s"), 0, "0 is not above 0"),
    ((*CLASS, "reserved_share"), 1.5, "1.5 is above 1"),
    ((*CLASS, "max_share"), 0.5, "only class 'long'"),
    ((*CLASS, "default_deadline_ms"), 30, "not above the slowest round trip of 30 ms"),
    ((*CLASS, "default_deadline_ms"), 20.5, "expected an integer"),
    (("classes", "training", "reserved_share"), 0.1, "reserved for storefront and confirmation"),
    (("classes", "urgent"), {"default_deadline_ms": 500}, "expected one of storefront"),
    (("callers", "order-tools", "regions"), ["luson"], "unknown region 'luson'"),
    (("callers", "order-tools", "request_class"), "confirmation", "has no entry in 'classes'"),
    (("models", "fitting", "default_class"), "confirmation", "has no entry in 'classes'"),
    (("models", "fitting", "staleness_bound"), 0, "0 is below 1"),
    (("models", "fitting", "concurrency"), True, "expected an integer, found true"),
    (("models", "fit ting"), {}, "expected a name"),
    ((*ROUTE, "methods"), ["GET", "get"], "expected an HTTP method"),
    (("services", "storefront", "routes"), [{"path": "x"}], "a path that starts with '/'"),
    ((*ROUTE, "deadline_ms"), 25, "not above the slowest round trip"),
    ((*ROUTE, "request_class"), "confirmation", "has no entry in 'classes'"),
    (("services", "storefront", "routes", 1, "path"), "/orders", "declared by an earlier route"),
    (("intervals", "vm_list_poll_ms"), 3000, "not below the bound of 3000 ms"),
    (("leases", "margin_ms"), 9000, "only 1000 ms are left"),
    (("claims", "retention_ms"), 3602000, "not above 3602000 ms"),
    (("subset", "size"), 1, "1 is below 2"),
    (("subset", "sise"), 3, "unknown field 'sise'; did you mean 'size'?"),
    (("models",), None, None),
    (("claims",), None, "'claims' is missing"),
    (("network", "to_clients_latency_ms"), "3", "expected a number, found '3'"),
]
EXPECTED_TEXT_OF_OTHER_VALUE = {"margin_ms": "time_to_live_ms", "path": "POST"}


@pytest.mark.parametrize(("path", "value", "message"), WRONG_VALUES)
def test_each_contradiction_is_found_inside_the_file(path, value, message):
    text = changed(path, value)
    result = check(text, "f.json")
    if message is None:
        assert isinstance(result, Success)
        return
    findings = [item for item in result.failure() if message in item.message]
    assert findings, result.failure()
    place = findings[0].place
    assert place.file == "f.json"
    assert 1 <= place.line <= text.count("\n") + 1
    # The finding's line contains the key of a scalar or an unknown key, unless a check that
    # compares two values reports the other one.
    if not isinstance(value, list | dict) and value is not None:
        expected = EXPECTED_TEXT_OF_OTHER_VALUE.get(path[-1], str(path[-1]))
        assert expected in text.split("\n")[place.line - 1]


def test_shares_of_several_classes_may_not_exceed_one():
    tree = values(example("bituin", "configuration.jsonc"))
    tree["classes"]["confirmation"] = {"default_deadline_ms": 3000, "reserved_share": 0.6}
    (finding,) = check(json.dumps(tree), "f").failure()
    assert "add up to 1.1" in finding.message


def test_findings_of_several_sections_come_together_with_exact_places():
    text = '{\n "deployment": 7,\n "regions": {"r": {"zones": ["z"]}},\n "object_api_region": "q",'
    text += '\n "claims": {"retention_ms": 0, "retention_ms": 5}, "extra": 1}'
    findings = check(text, "f").failure()
    places = [(item.place.line, item.place.column, item.message[:24]) for item in findings]
    assert (2, 16, "expected a name of lette") in places
    assert (4, 23, "unknown region 'q'") in places
    assert (5, 29, "0 is below 1") in places
    assert (5, 32, "duplicate key 'retention") in places
    assert (5, 52, "unknown field 'extra'") in places
    assert (1, 1, "'network' is missing in ") in places
    assert findings == tuple(sorted(findings))


@pytest.mark.parametrize("shape", ["zones", "keys", "regions"])
def test_a_file_full_of_wrong_entries_is_checked_in_seconds(shape):
    """Guards against checks whose time grows with the square of the input."""
    if shape == "zones":
        text = changed(("regions", "luzon", "zones"), [f"z{number}" for number in range(60_000)])
    elif shape == "keys":
        text = changed(("models", "fitting"), {f"key{number}": 0 for number in range(10_000)})
    else:
        text = changed(("regions",), {f"r{number}": {"zones": ["z"]} for number in range(6_000)})
    started = time.monotonic()
    assert check(text, "f").failure()
    assert time.monotonic() - started < 20


@settings(max_examples=300)
@given(damaged("configuration.jsonc"))
def test_damaged_configurations_give_findings_with_places_and_no_exception(text):
    lines = text.split("\n")
    result = check(text, "f")
    if isinstance(result, Success):
        return
    assert result.failure()
    for finding in result.failure():
        assert 1 <= finding.place.line <= len(lines)
        assert 1 <= finding.place.column <= len(lines[finding.place.line - 1])


def test_a_stored_body_is_read_with_its_types():
    text = example("bituin", "configuration.jsonc")
    configuration = read_configuration(text.encode(), "control/config").unwrap()
    assert configuration.classes[RequestClass.STOREFRONT].reserved_share == 0.5
    assert configuration.network.latency_ms("luzon", "visayas") == 12
    assert configuration.network.latency_ms("luzon", "luzon") == 0.5
    (finding,) = read_configuration(b"\xff", "control/config").failure()
    assert "not valid UTF-8" in finding.message
