"""Guards against orders of former lease holders reaching an engine that ignores fencing tokens."""

import pytest

from pistachionotch.weights import gate as g


def order(fence, version=1, model="m"):
    return g.EngineOrder(fence, g.LOAD_VERSION, model, version)


def started(fence=1):
    gate = g.OrderGate()
    gate.load_fence(fence)
    return gate


def test_orders_are_refused_until_the_fence_was_read():
    gate = g.OrderGate()
    assert gate.admit(order(9)) == g.FenceUnknown()
    gate.load_fence(10)
    assert gate.admit(order(9)) == g.StaleFence(10)
    assert gate.admit(order(10)) == g.Admitted(order(10))


def test_loaded_fence_and_desired_version_never_go_down():
    gate = started(5)
    gate.load_fence(4)
    gate.load_desired("m", 7)
    gate.load_desired("m", 6)
    assert gate.admit(order(4, 9)) == g.StaleFence(5)
    assert gate.admit(order(5, 6)) == g.Superseded(7)


def test_desired_version_alone_does_not_order_an_engine_before_its_wave():
    gate = started()
    gate.load_desired("m", 7)
    assert gate.observe("m", 6) == g.VersionMatches()


def test_second_order_waits_and_its_fence_still_counts():
    gate = started()
    gate.admit(order(1))
    assert gate.admit(order(2, 2)) == g.Busy(order(1))
    assert gate.admit(order(1, 3)) == g.StaleFence(2)
    assert gate.observe("m", 0) == g.OrderRunning()
    assert gate.finish(order(1), 1) == g.VersionMatches()
    assert gate.admit(order(2, 2)) == g.Admitted(order(2, 2))


def test_failed_order_is_not_repeated_once_a_later_version_was_refused_as_busy():
    gate = started()
    gate.admit(order(1, 8))
    gate.admit(order(1, 9))
    assert gate.finish(order(1, 8), 7) == g.AwaitingOrder(9)
    assert gate.admit(order(1, 9)) == g.Admitted(order(1, 9))


def test_delayed_order_of_the_same_holder_does_not_go_back():
    gate = started()
    gate.admit(order(1, 8))
    gate.finish(order(1, 8), 8)
    assert gate.admit(order(1, 7)) == g.Superseded(8)


@pytest.mark.parametrize("observed", [None, 3])
def test_wrong_version_is_corrected_a_limited_number_of_times(observed):
    gate = started()
    gate.admit(order(1, 8))
    reading = gate.finish(order(1, 8), observed)
    for _ in range(g.MAX_CORRECTIONS):
        assert reading == g.CorrectionNeeded(order(1, 8), observed)
        assert gate.admit(reading.order) == g.Admitted(order(1, 8))
        reading = gate.finish(order(1, 8), observed)
    assert reading == g.CorrectionsExhausted(8, observed)
    gate.admit(order(2, 8))
    assert isinstance(gate.finish(order(2, 8), observed), g.CorrectionNeeded)


def test_late_effect_of_an_old_order_is_corrected_under_the_highest_fence():
    gate = started()
    gate.admit(order(1, 8))
    gate.finish(order(1, 8), 8)
    gate.load_fence(4)
    assert gate.observe("m", 7) == g.CorrectionNeeded(order(4, 8), 7)


def test_malformed_orders_and_unexpected_finishes_are_refused():
    gate = started()
    assert isinstance(gate.admit(order(-1)), g.NotAnOrder)
    assert isinstance(gate.admit(order(1, model="")), g.NotAnOrder)
    with pytest.raises(ValueError, match="not running"):
        gate.finish(order(1), 1)
    with pytest.raises(ValueError, match="negative"):
        gate.load_fence(-1)
