"""Guards against accepted batches that nobody runs or reads after gateways were lost.

A gateway that takes a batch over may itself be lost at any write or message, so that the others
hold outdated hints of its owner.
"""

import gevent
import pytest
from batch_cluster import ROUTE, finish, submission
from losing_cluster import LosingCluster

from pistachionotch.batches.model import BatchError, OwnerTerm, ResultPage
from pistachionotch.batches.service import MAX_OWNERS_QUERIED
from pistachionotch.batches.tenure import TENURE_MS

# No item of an accepted batch may be at no server for longer, by the users' rules.
IDLE_MS = 5_000
# A trainer reads twice a second.
READ_INTERVAL_MS = 500
# More operations than any take-over or hand-over has.
OPERATIONS = 40


def at_each_operation(play):
    """Call ``play`` with each operation at which a process can be lost.

    It returns whether the process got to its end before.
    """
    for operation in range(OPERATIONS):
        if play(operation):
            return
    raise AssertionError("it has more operations")


REQUESTS = {
    "read": lambda service: service.read("b1", 0, 0),
    "item body": lambda service: service.item_body("b1", "i0"),
    "end": lambda service: service.end("b1"),
}


def lose(cluster, how):
    """Lose the owner ``a``."""
    if how == "killed":
        cluster.losses.kill("a")
    elif how == "silent":
        cluster.peers.unreachable.add("a")
    else:
        cluster.losses.kill("a")
        cluster.start("a", incarnation="2")


def lose_in_take_over(cluster, node, operation):
    """Lose a gateway at an operation of its take-over; returns whether that had ended before."""
    cluster.losses.arm(node, operation)
    cluster.ask(node, REQUESTS["read"])
    finished = node not in cluster.losses.dead
    cluster.losses.kill(node)
    return finished


def started_cluster(readers="c"):
    cluster = LosingCluster()
    owner = cluster.start("a")
    for node in (*cluster.directory, "b", *readers):
        cluster.start(node)
    assert cluster.ask("a", lambda service: service.submit(submission(), ROUTE)) is None
    finish(owner, "i1")
    return cluster, owner


def check_served(cluster, nodes, request):
    """Send requests to gateways in turn until one is answered, and return the answer."""
    started_ms = cluster.clock.now_ms()
    turn = 0
    while cluster.clock.now_ms() - started_ms <= IDLE_MS:
        del cluster.messages[:]
        node = nodes[turn % len(nodes)]
        answer = cluster.ask(node, request)
        asked = [name for sender, name in cluster.messages if name in ("read", "item_body", "end")]
        # Retries of a silent owner are 200 ms apart for 1.5 s.
        assert len(asked) <= 8 * MAX_OWNERS_QUERIED
        if not isinstance(answer, BatchError):
            return answer
        turn += 1
        cluster.clock.advance(READ_INTERVAL_MS)
    raise AssertionError(f"not answered in {IDLE_MS} ms: {answer}")


def check_complete(cluster, nodes):
    """Check that one live gateway runs the batch, and that it can be read and ended."""
    page = check_served(cluster, nodes, REQUESTS["read"])
    assert isinstance(page, ResultPage) and [result.id for result in page.results][:1] == ["i1"]
    running = [
        service
        for node, service in cluster.peers.services.items()
        if node not in cluster.peers.unreachable
        and service.ownership_transfer.local_run("b1") is not None
    ]
    assert [run.open for run in (service.owner.runs["b1"] for service in running)] == [True]
    assert check_served(cluster, nodes, REQUESTS["end"]) is None


@pytest.mark.parametrize("request_kind", REQUESTS)
@pytest.mark.parametrize("known", ["known", "unknown"])
@pytest.mark.parametrize("how", ["killed", "restarted", "silent"])
def test_a_successor_is_lost_at_each_operation_of_its_take_over(how, known, request_kind):
    def play(operation):
        cluster, _owner = started_cluster()
        if known == "known":
            cluster.ask("c", REQUESTS["read"])
        lose(cluster, how)
        finished = lose_in_take_over(cluster, "b", operation)
        if request_kind != "end":
            check_served(cluster, "c", REQUESTS[request_kind])
            check_complete(cluster, "c")
        else:
            assert check_served(cluster, "c", REQUESTS["end"]) is None
        return finished

    at_each_operation(play)


def test_the_successor_of_a_successor_is_lost_at_each_operation():
    def play(operation):
        cluster, _owner = started_cluster("cf")
        cluster.ask("f", REQUESTS["read"])
        lose(cluster, "killed")
        lose_in_take_over(cluster, "b", operation)
        finished = lose_in_take_over(cluster, "c", operation)
        check_complete(cluster, "f")
        return finished

    at_each_operation(play)


@pytest.mark.parametrize("lost", ["a", "b"])
def test_a_gateway_is_lost_at_each_operation_of_a_hand_over(lost):
    def play(operation):
        cluster, owner = started_cluster()
        cluster.ask("c", REQUESTS["read"])
        records = [cluster.peers.services[node].local_owner for node in "ab"]
        owner.ownership_transfer.owner_candidates = lambda _key, records=records: records
        cluster.losses.arm(lost, operation)
        owner.draining = True
        cluster.ask(
            "a", lambda service: service.ownership_transfer.hand_off(service.owner.runs["b1"])
        )
        finished = lost not in cluster.losses.dead
        cluster.losses.kill("a")
        if lost == "b":
            cluster.losses.kill("b")
        check_complete(cluster, "c")
        return finished

    at_each_operation(play)


@pytest.mark.parametrize("lost", ["killed", "cut off from the others", "cut off from the store"])
@pytest.mark.parametrize("directory", ["d", "de"])
def test_the_directory_gateways_are_lost_with_the_owner(directory, lost):
    def play(operation):
        cluster, _owner = started_cluster()
        cluster.ask("c", REQUESTS["read"])
        for node in directory:
            if lost == "killed":
                cluster.losses.kill(node)
            elif lost == "cut off from the store":
                cluster.cut_from_store.add(node)
            else:
                cluster.cuts.update(frozenset({node, other}) for other in "abcde")
        lose(cluster, "killed")
        finished = lose_in_take_over(cluster, "b", operation)
        check_complete(cluster, "c")
        return finished

    at_each_operation(play)


def test_a_directory_gateway_itself_serves_reads_after_its_hint_failed():
    def play(operation):
        cluster, _owner = started_cluster()
        lose(cluster, "killed")
        finished = lose_in_take_over(cluster, "b", operation)
        check_complete(cluster, "de")
        return finished

    at_each_operation(play)


def test_a_missed_notification_of_the_directory_is_repeated():
    cluster, _owner = started_cluster()
    cluster.cuts.update(frozenset({node, "b"}) for node in "de")
    lose(cluster, "killed")
    cluster.ask("b", REQUESTS["read"])
    successor = cluster.peers.services["b"]
    assert successor.owner.runs["b1"].open
    assert cluster.peers.services["d"].known_owner("b1").owner.node == "a"
    cluster.cuts.clear()
    successor.owner_cache.announce_missing()
    for node in "de":
        assert cluster.peers.services[node].known_owner("b1").owner.node == "b"


def test_an_owner_that_cannot_reach_the_directory_keeps_its_batch():
    cluster, _owner = started_cluster()
    cluster.ask("c", REQUESTS["read"])
    cluster.cuts.update(frozenset({node, "b"}) for node in "de")
    lose(cluster, "killed")
    cluster.ask("b", REQUESTS["read"])
    page = check_served(cluster, "c", REQUESTS["read"])
    assert isinstance(page, ResultPage)
    assert cluster.peers.services["b"].owner.runs["b1"].open
    assert "b1" not in cluster.peers.services["c"].owner.runs
    gevent.sleep(0)
    # A reader that has read the log tells the directory what it missed.
    for node in "de":
        assert cluster.peers.services[node].known_owner("b1").owner.node == "b"


def test_an_outdated_hint_does_not_replace_what_was_read_from_the_log():
    cluster, owner = started_cluster()
    lose(cluster, "killed")
    cluster.ask("b", REQUESTS["read"])
    cluster.ask("c", REQUESTS["read"])
    reader = cluster.peers.services["c"]
    for node in "de":
        directory = cluster.peers.services[node]
        former = directory.owner_cache.entries["b1"]
        assert former.owner.node == "b"
        assert reader.owner_cache.entries["b1"].owner.node == "b"
    reader.learn_owner("b1", OwnerTerm(owner.local_owner, 0))
    assert reader.owner_cache.entries["b1"].owner.node == "b"


def test_a_silent_owner_is_waited_for_although_its_successor_is_lost_too():
    cluster, _owner = started_cluster()
    lose(cluster, "silent")
    cluster.ask("b", REQUESTS["read"])
    assert cluster.peers.services["b"].owner.runs["b1"].open
    cluster.losses.kill("b")
    cluster.ask("c", REQUESTS["read"])
    # The first owner may answer reads of its own clients for as long.
    run = cluster.peers.services["c"].owner.runs["b1"]
    assert run.list_from_ms - cluster.clock.now_ms() >= TENURE_MS
