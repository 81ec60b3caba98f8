"""Guards against events that a chart silently ignores."""

import pytest

from pistachionotch.charts.interpreter import ChartError, ChartRunner


def test_chart_rejects_an_event_that_its_state_does_not_know():
    chart = ChartRunner("lease")
    with pytest.raises(ChartError, match="no transition for lost in state waiting"):
        chart.send("lost")
    assert chart.send("acquired") == "held"


def test_runners_of_one_chart_do_not_share_their_state():
    first, second = ChartRunner("lease"), ChartRunner("lease")
    first.send("acquired")
    assert second.state == "waiting"
