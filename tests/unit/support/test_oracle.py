"""A chaos run proves nothing if its oracle accepts a broken guarantee: it is shown each fault."""

import attrs
import pytest

from tests.support.oracle import (
    Delivery,
    EngineRun,
    OrderAnswer,
    Response,
    Run,
    check_orders,
    check_responses,
    check_samples,
    expected_text,
)

RUN = Run("order-1", "request-1", 10.0)
DONE = OrderAnswer("order-1", "request-1", 9.0, 11.0, 201, "done", "order-1")
REFUSED = OrderAnswer("order-1", "request-0", 1.0, 2.0, 503, "not-run")
TEXT = expected_text(3, "which saddle", 6)
ENGINE_RUN = EngineRun("completion-1", "which saddle", 3, 6, (1, 1, 1, 2))
RESUMED = EngineRun(
    "completion-1", "which saddle" + expected_text(3, "which saddle", 4), 3, 2, (3, 3)
)
WHOLE = Response("completion-1", "which saddle", 3, 6, TEXT, True, ((1, 3), (2, 1), (3, 2)))
CUT = TEXT.rsplit(" ", 2)[0] + " "
DELIVERY = Delivery(1, (0, 0), "sample-1", 3, WHOLE)


@pytest.mark.parametrize(
    ("runs", "answers", "fault"),
    [
        ([RUN], [REFUSED, DONE], ""),
        ([], [REFUSED], ""),
        ([RUN], [attrs.evolve(DONE, status=502, execution="unknown")], ""),
        ([RUN, Run("order-1", "request-2", 12.0)], [DONE], "ran 2 times"),
        ([RUN], [attrs.evolve(DONE, status=503, execution="not-run")], "not-run, but ran"),
        ([RUN], [attrs.evolve(REFUSED, answered_s=10.5)], "not-run, but ran"),
        ([RUN], [attrs.evolve(REFUSED, request="request-1")], "not-run, but ran"),
        ([RUN], [attrs.evolve(DONE, status=502, execution="failed")], "answered failed"),
        ([], [DONE], "never ran"),
        ([RUN], [attrs.evolve(DONE, received="order-2")], "got the answer of 'order-2'"),
    ],
)
def test_orders(runs, answers, fault):
    check_verdict(check_orders(runs, answers), fault)


@pytest.mark.parametrize(
    ("response", "fault"),
    [
        (WHOLE, ""),
        (attrs.evolve(WHOLE, complete=False, text=CUT), ""),
        (attrs.evolve(WHOLE, text=CUT), "not its whole text"),
        (attrs.evolve(WHOLE, text=TEXT + "saddle "), "not its whole text"),
        (attrs.evolve(WHOLE, prompt="which tyre"), "not its whole text"),
        (attrs.evolve(WHOLE, complete=False, text="crank " + CUT), "not a part of its own"),
        (attrs.evolve(WHOLE, spans=((1, 4), (3, 2))), "a label that its engine did not run"),
        (attrs.evolve(WHOLE, spans=((1, 3), (2, 1))), "labels for 4 tokens"),
        (attrs.evolve(WHOLE, request="completion-2"), "a label that its engine did not run"),
        (
            attrs.evolve(WHOLE, complete=False, text="", execution="not-run"),
            "not-run, but ran",
        ),
    ],
)
def test_responses(response, fault):
    check_verdict(check_responses([response], [ENGINE_RUN, RESUMED]), fault)


@pytest.mark.parametrize(
    ("deliveries", "fault"),
    [
        ([DELIVERY], ""),
        ([], "slot (0, 0) of step 1 was not delivered"),
        ([DELIVERY, attrs.evolve(DELIVERY, sample="sample-2")], "delivered 2 times"),
        ([DELIVERY, attrs.evolve(DELIVERY, slot=(0, 1))], "never asked for"),
        ([DELIVERY, attrs.evolve(DELIVERY, slot=(0, 1))], "sample sample-1 was delivered 2 times"),
        ([attrs.evolve(DELIVERY, newest_version=4)], "3 versions old"),
        ([attrs.evolve(DELIVERY, response=attrs.evolve(WHOLE, text=CUT))], "whole text"),
    ],
)
def test_samples(deliveries, fault):
    found = check_samples({1: {(0, 0)}}, deliveries, [ENGINE_RUN, RESUMED], 2)
    check_verdict(found, fault)


def check_verdict(found, fault):
    """No fault is expected where none is named, so that the oracle rejects not everything."""
    if not fault:
        assert found == []
        return
    assert any(fault in violation for violation in found), found
