"""Tests that no observations are lost when histograms are rendered for a scrape."""

from pistachionotch.measures import BOUNDS_MS, Measures
from pistachionotch.metrics import render_metrics


def test_counters_and_histograms_are_rendered_for_prometheus():
    measures = Measures()
    measures.count("orders", "accepted", 2)
    for duration_ms in (0, 5, 6, 400, 20_000):
        measures.time("calls", "safe", duration_ms)
    text = render_metrics({"node": "n", "ready": True}, measures).decode()
    assert 'pistachionotch_orders_total{kind="accepted",node="n"} 2' in text
    buckets = {}
    for line in text.splitlines():
        if line.startswith("pistachionotch_calls_ms_bucket"):
            bound = line.split('le="')[1].split('"')[0]
            buckets[bound] = float(line.split()[-1])
    assert buckets["5.0"] == 2 and buckets["10.0"] == 3 and buckets["400.0"] == 4
    assert buckets["+Inf"] == 5
    assert len(buckets) == len(BOUNDS_MS) + 1
    assert 'pistachionotch_calls_ms_count{kind="safe",node="n"} 5' in text
    assert 'pistachionotch_calls_ms_sum{kind="safe",node="n"} 20411' in text


def test_a_status_without_measures_is_rendered_as_before():
    assert b"pistachionotch_ready" in render_metrics({"node": "n", "ready": True})
