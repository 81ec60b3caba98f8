"""Guards against take-overs that read a whole log again after each failed read of the store."""

import attrs
from batch_cluster import ROUTE, Cluster, submission
from returns.result import Failure
from test_batch_log import entry

from pistachionotch.batches import ownership_transfer
from pistachionotch.batches.log import BatchLog
from pistachionotch.batches.model import BatchError, OwnerTerm
from pistachionotch.objects.api import StoreUnavailable


class FlakyStore:
    """A store on which every fifth read of an object fails."""

    def __init__(self, store):
        self.store = store
        self.reads = 0

    def __getattr__(self, name):
        return getattr(self.store, name)

    def get(self, key):
        self.reads += 1
        if self.reads % 5 == 0:
            return Failure(StoreUnavailable("no response"))
        return self.store.get(key)


def test_a_take_over_goes_on_where_a_read_of_the_log_failed():
    """Guards against batches with large texts that no gateway takes over while reads fail."""
    cluster = Cluster()
    first, second = cluster.start("a"), cluster.start("b")
    first.submit(submission(), ROUTE)
    log = BatchLog(cluster.store, "b1")
    for number in range(1, 21):
        assert log.append(entry(f"t{number}")).unwrap().token == f"t{number}"
    del cluster.peers.services["a"]
    flaky = second.ownership_transfer.store = FlakyStore(cluster.store)
    for _ in range(8):
        found = second.ownership_transfer.take_over("b1", OwnerTerm(first.local_owner, 0))
        if not isinstance(found, BatchError):
            break
    assert found.owner == second.local_owner
    # The head, 21 entries with the end of the log, and what failed.
    assert flaky.reads <= 22 + 22 // 4 + 1
    assert not second.ownership_transfer.unfinished_replays


def test_few_partly_read_logs_are_kept():
    """Guards against the memory of texts that were read for batches which others took over."""
    cluster = Cluster()
    first, second = cluster.start("a"), cluster.start("b")
    batches = [f"b{number}" for number in range(10)]
    for batch in batches:
        first.submit(attrs.evolve(submission(), id=batch), ROUTE)
    flaky = second.ownership_transfer.store = FlakyStore(cluster.store)
    for batch in batches:
        # The read of the head succeeds, that of the log fails.
        flaky.reads = 3
        second.ownership_transfer.take_over(batch, OwnerTerm(first.local_owner, 0))
    kept = second.ownership_transfer.unfinished_replays
    assert list(kept) == batches[-ownership_transfer.MAX_UNFINISHED_REPLAYS :]
