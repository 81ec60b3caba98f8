"""Guards against events that a chart ignores silently."""

import pytest

from pistachionotch.charts.interpreter import ChartError, ChartRunner


def test_event_without_a_transition_is_rejected():
    chart = ChartRunner("lease")
    with pytest.raises(ChartError, match="no transition for lost in state waiting"):
        chart.send("lost")
    assert chart.send("acquired") == "held"


def test_runners_of_one_chart_do_not_share_their_state():
    first, second = ChartRunner("lease"), ChartRunner("lease")
    first.send("acquired")
    assert second.state == "waiting"
