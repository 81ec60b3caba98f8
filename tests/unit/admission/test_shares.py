"""Guards against long work in slots reserved for short work, and against classes without a slot."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachionotch.admission.shares import BACKGROUND_CLASSES, SHORT_CLASSES, ClassShares
from pistachionotch.outcomes import RequestClass

DETERMINISTIC = settings(derandomize=True, database=None, deadline=None)


@DETERMINISTIC
@given(limit=st.integers(1, 200), starts=st.lists(st.sampled_from(RequestClass), max_size=250))
def test_runs_respect_the_limit_the_reservation_and_the_long_ceiling(limit, starts):
    shares = ClassShares()
    running = dict.fromkeys(RequestClass, 0)
    for request_class in starts:
        if shares.free_slots(request_class, running, limit):
            running[request_class] += 1
    background = sum(running[name] for name in BACKGROUND_CLASSES)
    assert sum(running.values()) <= limit
    assert background <= limit - shares.reserved(limit)
    assert running[RequestClass.LONG] <= max(1, limit // 2)


@pytest.mark.parametrize("limit", range(1, 65))
def test_every_class_has_a_slot_on_an_idle_upstream(limit):
    shares = ClassShares()
    idle = dict.fromkeys(RequestClass, 0)
    assert all(shares.free_slots(name, idle, limit) >= 1 for name in RequestClass)


@pytest.mark.parametrize("limit", range(2, 65))
def test_short_work_has_a_slot_under_any_background_load(limit):
    shares = ClassShares()
    running = dict.fromkeys(RequestClass, 0)
    for name in BACKGROUND_CLASSES:
        running[name] += shares.free_slots(name, running, limit)
    assert all(shares.free_slots(name, running, limit) >= 1 for name in SHORT_CLASSES)
