"""Guards against operator metrics that are missing from status or scrapes, or are wrong."""

from types import SimpleNamespace

from pistachionotch.entry.operator_metrics import TrainerMetrics, collect_operator_metrics
from pistachionotch.metrics import render_metrics
from pistachionotch.outcomes import RequestClass
from pistachionotch.routing.hedge import LatencyTail
from pistachionotch.samples.delivery import DeliveredSample, SamplesDelivered
from pistachionotch.samples.sample import Sample, Slot, body_digest
from pistachionotch.samples.spans import VersionSpan


def _tail(value):
    tail = LatencyTail()
    for _ in range(30):
        tail.observe(value)
    return tail


def _measured():
    trainers = TrainerMetrics()
    trainers.record_idle("t1", 500)
    trainers.record_idle("t1", 250)
    for _part in range(4):
        trainers.record_idle("t2", 100, parts=4)
    spans = (VersionSpan(3, 5), VersionSpan(5, 5))
    sample = Sample("0" * 32, Slot(0, 0), body_digest(b""), spans, "a1")
    trainers.record_delivery(SamplesDelivered(0, 1, (DeliveredSample(sample, b""),), 5, 0))
    routing = SimpleNamespace(
        first_token_tails={
            ("fitting", RequestClass.STOREFRONT): _tail(40),
            ("fitting", RequestClass.LONG): _tail(9000),
        },
        total_tails={("services/storefront", RequestClass.CONFIRMATION): _tail(70)},
    )
    return collect_operator_metrics(trainers, routing)


def test_all_four_operator_metrics_are_collected():
    measured = _measured()
    assert measured["trainer_idle_ms"] == {"t1": 750, "t2": 100}
    assert (measured["sample_age_mean"], measured["sample_age_max"]) == (2.0, 2)
    assert measured["short_first_token_p99_ms"] == {"fitting storefront": 40}
    assert measured["latency_p99_ms"] == {"services/storefront confirmation": 70}


def test_operator_metrics_are_rendered_for_scraping():
    text = render_metrics({"node": "entry-1", "ready": True, "measures": _measured()}).decode()
    assert 'pistachionotch_trainer_idle_ms{kind="t1",node="entry-1"} 750' in text
    assert 'pistachionotch_sample_age_max{node="entry-1"} 2' in text
