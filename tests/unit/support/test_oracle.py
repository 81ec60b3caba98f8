"""A chaos run proves nothing if its oracle accepts a broken guarantee: it is shown each fault."""

import attrs
import pytest

from tests.support.operation_oracle import (
    Applied,
    Arrival,
    Departure,
    Disturbance,
    Exchange,
    Sighting,
    check_configuration,
    check_departures,
    check_recovery,
)
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
DELIVERY = Delivery("t1-1", (0, 0), "sample-1", 3, WHOLE)


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
        (attrs.evolve(WHOLE, complete=False, text="", execution="not-run"), "not-run, but ran"),
    ],
)
def test_responses(response, fault):
    check_verdict(check_responses([response], [ENGINE_RUN, RESUMED]), fault)


@pytest.mark.parametrize(
    ("deliveries", "fault"),
    [
        ([DELIVERY], ""),
        ([], "slot (0, 0) of step t1-1 was not delivered"),
        ([DELIVERY, attrs.evolve(DELIVERY, sample="sample-2")], "delivered 2 times"),
        ([DELIVERY, attrs.evolve(DELIVERY, slot=(0, 1))], "never asked for"),
        ([DELIVERY, attrs.evolve(DELIVERY, slot=(0, 1))], "sample sample-1 was delivered 2 times"),
        ([attrs.evolve(DELIVERY, newest_version=4)], "3 versions old"),
        ([attrs.evolve(DELIVERY, response=attrs.evolve(WHOLE, text=CUT))], "whole text"),
    ],
)
def test_samples(deliveries, fault):
    found = check_samples({"t1-1": {(0, 0)}}, deliveries, [ENGINE_RUN, RESUMED], 2)
    check_verdict(found, fault)


LEFT = Departure("entry-1", "", 100.0, 105.0, 0)
CUT_OFF = Exchange("request-1", "entry-1", 99.0, 102.0, cut=True, lost=True)
LOST = attrs.evolve(CUT_OFF, cut=False)
AGENT_LEFT = Departure("agent-1", "engine-1", 100.0, 110.0, 0)
ANNOUNCED = attrs.evolve(AGENT_LEFT, announced=True)
ARRIVAL = Arrival("agent-1", "engine-1", "request-1", 101.0)
LATE = attrs.evolve(ARRIVAL, at_s=104.0)
OUTAGE = Disturbance("object-store", "outage", 95.0, 101.0)


@pytest.mark.parametrize(
    ("departure", "arrivals", "exchanges", "disturbances", "fault"),
    [
        (LEFT, [ARRIVAL], [attrs.evolve(CUT_OFF, cut=False, lost=False)], [], ""),
        (LEFT, [ARRIVAL], [LOST], [], "interrupted request-1"),
        # Without the answer of an agent that dies, an entry can only report the loss.
        (LEFT, [ARRIVAL], [LOST], [Disturbance("agent-1", "kill", 100.0, 101.0)], ""),
        (LEFT, [ARRIVAL], [CUT_OFF], [Disturbance("agent-1", "kill", 100.0, 101.0)], "shutdown"),
        (LEFT, [], [attrs.evolve(CUT_OFF, ended_s=99.9)], [], ""),
        # The balancer sends nothing to an entry that it has seen to be not ready.
        (LEFT, [], [attrs.evolve(CUT_OFF, sent_s=101.0)], [], ""),
        (LEFT, [], [attrs.evolve(CUT_OFF, ended_s=105.1)], [], "interrupted request-1"),
        (LEFT, [], [CUT_OFF], [], "the shutdown of entry-1 interrupted request-1"),
        (attrs.evolve(LEFT, code=1), [], [], [], "entry-1 ended with code 1"),
        (attrs.evolve(LEFT, code=None), [], [], [], "entry-1 ended with code None"),
        (AGENT_LEFT, [ARRIVAL], [attrs.evolve(CUT_OFF, cut=False, lost=False)], [], ""),
        # The entry may ask for the answer until the deadline, long after the agent has ended.
        (AGENT_LEFT, [ARRIVAL], [attrs.evolve(LOST, ended_s=125.0)], [], "interrupted request-1"),
        (AGENT_LEFT, [attrs.evolve(ARRIVAL, at_s=112.0)], [LOST], [], ""),
        (AGENT_LEFT, [ARRIVAL], [CUT_OFF], [], "the shutdown of agent-1 interrupted request-1"),
        # A connection that went silent before can lose the answer without the shutdown.
        (AGENT_LEFT, [ARRIVAL], [CUT_OFF], [Disturbance("agent-1", "silence", 96.0, 96.0)], ""),
        (
            AGENT_LEFT,
            [ARRIVAL],
            [CUT_OFF],
            [
                Disturbance("agent-1", "drain", 100.0, 112.0),
                Disturbance("agent-1", "silence", 80.0, 80.0),
                Disturbance("entry-2", "kill", 96.0, 98.0),
            ],
            "the shutdown of agent-1 interrupted request-1",
        ),
        (AGENT_LEFT, [LATE], [], [], "gave its upstream request-1 after 3 s"),
        (AGENT_LEFT, [LATE], [], [OUTAGE], "gave its upstream request-1 after 3 s"),
        (AGENT_LEFT, [attrs.evolve(LATE, at_s=111.0)], [], [], ""),
        (ANNOUNCED, [LATE], [], [], "gave its upstream request-1 after 3 s"),
        (ANNOUNCED, [LATE], [], [OUTAGE], ""),
    ],
)
def test_departures(departure, arrivals, exchanges, disturbances, fault):
    check_verdict(check_departures([departure], arrivals, exchanges, disturbances), fault)


@pytest.mark.parametrize(
    ("ready", "fault"),
    [({"agent-1", "agent-2"}, ""), ({"agent-1"}, "entry-1 does not use agent-2 again")],
)
def test_recovery(ready, fault):
    check_verdict(check_recovery({"entry-1": ready}, ("agent-1", "agent-2")), fault)


FIRST = Applied("first", 1, 2, 10.0)
SEEN = [Sighting("entry-1", "a", 1, 5.0), Sighting("entry-1", "a", 2, 11.0)]
OLD = Sighting("entry-1", "a", 1, 23.0)
OLD_AGENT = Sighting("agent-1", "b", 1, 23.0)


@pytest.mark.parametrize(
    ("applied", "sightings", "disturbances", "fault"),
    [
        ([FIRST], SEEN, [], ""),
        ([FIRST, attrs.evolve(FIRST, base=2, revision=3)], SEEN, [], ""),
        ([FIRST, attrs.evolve(FIRST, revision=3)], SEEN, [], "2 changes of revision 1"),
        ([FIRST, attrs.evolve(FIRST, base=0)], SEEN, [], "2 changes became revision 2"),
        ([attrs.evolve(FIRST, base=3)], SEEN, [], "revision 2 replaced the newer 3"),
        ([], [*SEEN, OLD], [], "entry-1 went back from revision 2 to 1"),
        # A process that starts again has no revision at first, but has to catch up.
        ([FIRST], [*SEEN, Sighting("entry-1", "c", 0, 12.0)], [], ""),
        ([FIRST], [*SEEN, Sighting("entry-1", "c", 0, 23.0)], [], "not in force on entry-1"),
        ([FIRST], [*SEEN, OLD_AGENT], [], "not in force on agent-1"),
        ([FIRST], [OLD], [Disturbance("entry-1", "freeze", 9.0, 12.0)], ""),
        ([FIRST], [OLD], [Disturbance("entry-1", "freeze", 9.0, 10.5)], "not in force on entry-1"),
        ([FIRST], [OLD], [Disturbance("object-store", "outage", 9.0, 12.0)], ""),
        ([FIRST], [OLD], [Disturbance("object-store", "slow", 9.0, 12.0)], "not in force"),
        # One entry that learns of a revision is enough for an agent.
        ([FIRST], [*SEEN, OLD_AGENT], [Disturbance("entry-1", "kill", 9.0, 12.0)], ""),
        (
            [FIRST],
            [*SEEN, attrs.evolve(SEEN[1], process="entry-2"), OLD_AGENT],
            [Disturbance("entry-1", "kill", 9.0, 12.0)],
            "not in force on agent-1",
        ),
    ],
)
def test_configuration(applied, sightings, disturbances, fault):
    check_verdict(check_configuration(applied, sightings, disturbances), fault)


def check_verdict(found, fault):
    """No fault is expected where none is named, so that the oracle rejects not everything."""
    if not fault:
        assert found == []
        return
    assert any(fault in violation for violation in found), found
