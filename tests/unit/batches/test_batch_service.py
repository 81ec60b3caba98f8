"""Guards against lost batches, and batches reported as refused although they may run."""

import pytest
from batch_cluster import ROUTE, Cluster, finish, item_ids, submission

from pistachionotch.batches.model import BatchError, BatchErrorKind
from pistachionotch.batches.peers import PeerItemNotFound


@pytest.fixture
def cluster():
    return Cluster()


def test_a_batch_can_be_read_at_every_node(cluster):
    first, second = cluster.start("a"), cluster.start("b")
    assert first.submit(submission(), ROUTE) is None
    finish(first, "i1")
    assert item_ids(first.read("b1", 0, 0)) == item_ids(second.read("b1", 0, 0)) == ["i1"]
    assert second.item_body("b1", "i2") == b"x" * 10
    assert second.item_body("b1", "none").kind is BatchErrorKind.NOT_FOUND
    assert second.read("other", 0, 0).kind is BatchErrorKind.NOT_FOUND


def test_a_repeated_submission_is_accepted_once(cluster):
    first, second = cluster.start("a"), cluster.start("b")
    assert first.submit(submission(), ROUTE) is None
    assert first.submit(submission(), ROUTE) is None
    assert second.submit(submission(), ROUTE) is None
    assert "b1" in first.owner.runs and "b1" not in second.owner.runs


def test_a_refused_submission_is_not_stored_and_an_uncertain_one_is_reported_as_unknown(cluster):
    service = cluster.start("a")
    cluster.store.faults.outage = True
    assert service.submit(submission(), ROUTE).kind is BatchErrorKind.NOT_ACCEPTED
    cluster.store.faults.outage = False
    assert service.read("b1", 0, 0).kind is BatchErrorKind.NOT_FOUND
    cluster.store.faults.delay_writes = 2
    assert service.submit(submission(), ROUTE).kind is BatchErrorKind.UNKNOWN
    cluster.store.deliver_delayed()
    assert (
        item_ids(service.read("b1", 0, 0)) == []
    ), "the late acceptance is taken up by the first read"
    assert service.owner.runs["b1"].open


@pytest.mark.parametrize("arrival_ms", [1_600, 2_500, 4_400])
def test_a_retry_after_an_outage_succeeds_within_half_of_the_step_s_time(cluster, arrival_ms):
    # A trainer retries once; outages last four to five seconds.
    service = cluster.start("a")
    outage_ms = 4_500
    cluster.store.faults.outage = True
    cluster.clock.advance(arrival_ms)
    refused = service.submit(submission(), ROUTE)
    cluster.clock.advance(refused.retry_after_ms)
    cluster.store.faults.outage = cluster.clock.now_ms() < outage_ms
    assert service.submit(submission(), ROUTE) is None
    assert cluster.clock.now_ms() - arrival_ms <= ROUTE.due_ms / 2


def test_an_expired_batch_is_evicted_from_memory(cluster):
    service = cluster.start("a")
    service.submit(submission(), ROUTE)
    service.owner.prompt_engines[("b1", "g")] = "engine"
    service.owner.prompt_engines[("b2", "g")] = "engine"
    assert service.end("b1") is None
    cluster.clock.advance(1_000)
    service.evict_expired(1_000)
    assert not service.owner.runs
    assert list(service.owner.prompt_engines) == [("b2", "g")]


def test_a_batch_is_not_reported_as_missing_during_an_outage(cluster):
    service = cluster.start("b")
    cluster.store.faults.outage = True
    assert service.read("b1", 0, 0).kind is BatchErrorKind.UNAVAILABLE


def test_an_end_is_permanent_on_all_nodes_and_after_the_loss_of_the_owner(cluster):
    first, second = cluster.start("a"), cluster.start("b")
    first.submit(submission(), ROUTE)
    finish(first, "i1")
    assert second.end("b1") is None
    assert first.end("b1") is None
    assert not first.owner.runs["b1"].open
    del cluster.peers.services["a"]
    assert second.end("b1") is None
    assert item_ids(second.read("b1", 0, 0)) == ["i1"]
    assert not second.owner.runs["b1"].open


def test_an_end_that_is_not_stored_is_not_confirmed(cluster):
    first, second = cluster.start("a"), cluster.start("b")
    first.submit(submission(), ROUTE)
    second.read("b1", 0, 0)
    cluster.store.faults.outage = True
    for service in (first, second):
        assert isinstance(service.end("b1"), BatchError)
    cluster.store.faults.outage = False
    assert second.end("b1") is None


def test_an_unknown_item_is_not_found_without_a_change_of_owner(cluster):
    first, second = cluster.start("a"), cluster.start("b")
    first.submit(submission(), ROUTE)
    assert isinstance(first.local_body("b1", "none"), PeerItemNotFound)
    assert second.item_body("b1", "none").kind is BatchErrorKind.NOT_FOUND
    assert first.owner.runs["b1"].open
