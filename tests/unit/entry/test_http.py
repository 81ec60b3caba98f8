"""Guards against requests aborted by a shutdown or refused with a wrong ``not-run``."""

import io
import json

import pytest

from pistachionotch.clock import ManualClock
from pistachionotch.entry.body_budget import declared_body_bytes
from pistachionotch.entry.calls import CallDone, ResponsePart
from pistachionotch.entry.http import HttpInterface
from pistachionotch.entry.policy import DEFAULT_TIMEOUTS_MS
from pistachionotch.entry.requests import MAX_BODY_BYTES, CallDefaults

WITH_AND_WITHOUT_KEY = pytest.mark.parametrize(
    ("headers", "execution"), [({}, "not-run"), ({"HTTP_IDEMPOTENCY_KEY": "k"}, "unknown")]
)


class Interface:
    def __init__(self):
        self.routed = []
        defaults = CallDefaults(DEFAULT_TIMEOUTS_MS)
        self.http = HttpInterface(ManualClock(), lambda: defaults, self.route, {})

    def route(self, call):
        self.routed.append(call)
        yield ResponsePart(b"done", -1, 0)
        yield CallDone(201, (), (), "agent-1")

    def order(self, **headers):
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/services/storefront/orders",
            "wsgi.input": io.BytesIO(b"{}"),
            **headers,
        }
        answer = {}
        body = self.http(environ, lambda status, sent: answer.update(status=status, sent=sent))
        return b"".join(body), answer["status"], dict(answer["sent"])


def test_responses_while_draining_close_their_connection():
    interface = Interface()
    assert "Connection" not in interface.order()[2]
    interface.http.draining = True
    body, status, sent = interface.order()
    assert (body, status, sent["Connection"]) == (b"done", "201 Created", "close")


@WITH_AND_WITHOUT_KEY
def test_requests_are_refused_once_the_entry_is_closed(headers, execution):
    interface = Interface()
    interface.http.closed = True
    body, status, sent = interface.order(**headers)
    assert status.startswith("503")
    assert json.loads(body)["execution"] == execution
    assert "Retry-After" in sent
    assert not interface.routed


@WITH_AND_WITHOUT_KEY
def test_total_body_size_of_open_requests_is_limited(headers, execution):
    # Guards against memory use that grows with the number of large concurrent requests.
    interface = Interface()
    interface.http.body_budget.max_bytes = 100
    answers = []

    def route(call):
        if not answers:
            answers.append(interface.order(CONTENT_LENGTH="40", **headers))
        yield from Interface().route(call)

    interface.http.route = route
    assert interface.order(CONTENT_LENGTH="61")[1] == "201 Created"
    body, status, sent = answers[0]
    assert status.startswith("503")
    assert json.loads(body)["execution"] == execution
    assert (sent["Retry-After"], sent["Connection"]) == ("1", "close")
    assert interface.http.body_budget.used_bytes == 0


@pytest.mark.parametrize(
    ("environ", "size"),
    [
        ({}, 0),
        ({"CONTENT_LENGTH": "7"}, 7),
        ({"CONTENT_LENGTH": "9" * 12}, MAX_BODY_BYTES),
        ({"CONTENT_LENGTH": "x"}, MAX_BODY_BYTES),
        ({"HTTP_TRANSFER_ENCODING": "Chunked", "CONTENT_LENGTH": "7"}, MAX_BODY_BYTES),
    ],
)
def test_body_of_unknown_length_counts_with_the_maximum_size(environ, size):
    assert declared_body_bytes(environ) == size
