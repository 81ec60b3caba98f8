"""Guards against results without their own reward, and texts generated again to get a reward.

Load pattern: the servers of a step's reward calls always fail some calls, refuse calls or are down.
"""

import random

import attrs
import gevent
import pytest
import structlog
from batch_cluster import ROUTE, Cluster, item_ids, submission
from test_batch_log import head, owner

from pistachionotch.batches.attempts import AttemptOutcome
from pistachionotch.batches.listing import MAX_UNSAVED_TEXT_MS, should_list
from pistachionotch.batches.log import BatchLog, create_batch
from pistachionotch.batches.model import OwnerTerm, RewardCall
from pistachionotch.batches.owner import BatchOwner
from pistachionotch.batches.run import BatchRun
from pistachionotch.batches.scoring import MAX_RETRY_DELAY_MS, RewardCallRunner
from pistachionotch.clock import ManualClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.calls import BufferedResponse, CallFailure, FailureCause
from pistachionotch.gateway.catalog import Catalog, ClientLimits, RouteKind, ServiceShare
from pistachionotch.gateway.upstreams import Upstream, UpstreamRecord, UpstreamTable
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.software.origin import Origin

REWARDS = attrs.evolve(
    ROUTE,
    name="rewards",
    host="score.example",
    kind=RouteKind.UNSAFE,
    shares=(ServiceShare("desk", 1),),
    max_attempts=3,
)
CATALOG = Catalog(1, (ROUTE, REWARDS), {}, ClientLimits())
REWARD_SERVER = UpstreamRecord(
    instance="d-1",
    service="desk",
    address=Address("10.0.0.2", 80),
    zone="z",
    slots=8,
    leaving=False,
    started_ms=1,
    versions={},
)

ORIGIN = Origin("s", "v1")


def with_reward_calls(found):
    """Return a submission with a reward call for each item."""
    items = tuple(
        attrs.evolve(
            item,
            reward=RewardCall(
                id=f"r-{item.id}", host="Score.example", target="/p/x", body=item.id.encode()
            ),
        )
        for item in found.items
    )
    return attrs.evolve(found, items=items)


class RewardServer:
    """Fake server of reward calls with configured answers; records the calls."""

    def __init__(self):
        self.calls = []
        self.answers = {}
        self.blocked_until = None

    def forward(self, call, route):
        assert route.repeatable(), "a reward call may be repeated whatever its route says"
        self.calls.append(call)
        if self.blocked_until is not None:
            self.blocked_until.wait()
        answers = self.answers.get(call.request_id)
        if answers:
            return answers.pop(0)
        return BufferedResponse(200, (), b"", proof=f"proof of {call.request_id}")


class ScoringStep:
    """A step whose texts and rewards the test triggers explicitly."""

    def __init__(self, store=None):
        self.store = store or MemoryStore()
        self.clock = ManualClock()
        self.reward_server = RewardServer()
        found = attrs.evolve(head(), submission=with_reward_calls(head().submission))
        create_batch(self.store, found, 1_000_000)
        table = UpstreamTable({"d-1": Upstream(REWARD_SERVER)})
        log = structlog.get_logger()
        self.reward_calls = RewardCallRunner(
            self.clock, table, self.reward_server.forward, lambda: CATALOG, log
        )
        self.owner = BatchOwner(
            self.clock,
            random.Random(1),
            owner(),
            "r",
            {},
            table,
            None,
            self.reward_calls,
            lambda: CATALOG,
            log,
        )
        self.run = BatchRun(found, BatchLog(self.store, "b1"), owner(), 0, 7_500, None)
        self.owner.runs["b1"] = self.run

    def generate(self, *names):
        for name in names:
            state = self.run.progress[name]
            state.add_event(1, f"text of {name}", 3, ORIGIN)
            self.owner._handle_outcome(
                self.run, state, Upstream(REWARD_SERVER), AttemptOutcome.DONE
            )

    def score(self, after_ms=0):
        self.clock.advance(after_ms)
        self.reward_calls.start_calls(
            self.owner.runs.values(), lambda run: run.open, self.owner._finish
        )
        for _ in range(3):
            gevent.sleep(0)

    def listed(self):
        while self.run.unlisted:
            assert self.owner.writer.list_once(self.run)
        return {result.id: result for result in self.run.listed}


def test_a_result_has_the_proof_of_its_own_call_made_after_its_text():
    step = ScoringStep()
    step.score()
    assert not step.reward_server.calls, "no call before the text is whole"
    step.generate("i0")
    assert not step.run.unlisted and not [w for w in step.run.waiting() if w.item == "i0"]
    step.score()
    call = step.reward_server.calls[0]
    assert (call.request_id, call.host, call.target) == ("r-i0", "Score.example", "/p/x")
    assert (call.method, call.body) == ("POST", b"i0")
    assert step.listed()["i0"].reward == "proof of r-i0"


@pytest.mark.parametrize(
    "failure",
    [
        CallFailure(FailureCause.NOT_RUN, "full", 250),
        CallFailure(FailureCause.UNKNOWN, "lost"),
        BufferedResponse(404, (), b""),
        BufferedResponse(200, (), b"", proof=""),
        BufferedResponse(503, (), b"", proof="p"),
    ],
)
def test_only_the_call_is_repeated_after_a_failure(failure):
    step = ScoringStep()
    step.reward_server.answers["r-i0"] = [failure] * 6
    step.generate("i0")
    for _ in range(7):
        step.score(after_ms=300)
    assert len(step.reward_server.calls) == 7
    assert step.listed()["i0"].done
    assert step.listed()["i0"].text == "text of i0"


def test_a_reward_call_does_not_wait_for_a_distant_time_to_return():
    step = ScoringStep()
    step.reward_server.answers["r-i0"] = [CallFailure(FailureCause.NOT_RUN, "rate limit", 15_000)]
    step.generate("i0")
    step.score()
    step.score(after_ms=MAX_RETRY_DELAY_MS)
    assert step.listed()["i0"].done


def test_an_item_is_given_up_after_its_route_s_limit_of_failed_calls():
    step = ScoringStep()
    step.reward_server.answers["r-i0"] = [
        CallFailure(FailureCause.TIMEOUT, "time is up", 0, server_errors=2),
        BufferedResponse(500, (), b"", proof="p", server_errors=1),
    ]
    step.generate("i0", "i1")
    step.score()
    assert not step.run.progress["i0"].finished
    step.score(after_ms=200)
    assert not step.listed()["i0"].done
    assert step.listed()["i1"].done, "the other items of the group are not held up"
    step.score(after_ms=200)
    assert [call.request_id for call in step.reward_server.calls].count("r-i0") == 2


def test_the_end_of_a_batch_cancels_running_and_waiting_calls():
    step = ScoringStep()
    step.reward_server.blocked_until = gevent.event.Event()
    step.generate("i0")
    step.score()
    step.generate("i1")
    assert step.owner.writer.end(step.run)
    gevent.sleep(0.01)
    assert not step.reward_calls.tasks
    step.reward_server.blocked_until.set()
    step.score(after_ms=500)
    assert [call.request_id for call in step.reward_server.calls] == ["r-i0"]
    assert not step.run.unlisted


def test_a_call_without_a_route_is_retried():
    step = ScoringStep()
    step.reward_calls.catalog = lambda: Catalog(1, (ROUTE,), {}, ClientLimits())
    step.generate("i0")
    step.score()
    assert not step.reward_server.calls and not step.run.progress["i0"].finished
    step.reward_calls.catalog = lambda: CATALOG
    step.score(after_ms=300)
    assert step.listed()["i0"].done


def test_a_text_is_saved_while_its_reward_is_late_and_a_new_owner_repeats_only_the_call():
    step = ScoringStep()
    step.generate("i0")
    state = step.run.listing_state()
    assert not should_list(state, step.clock.now_ms() + MAX_UNSAVED_TEXT_MS - 1)
    assert should_list(state, step.clock.now_ms() + MAX_UNSAVED_TEXT_MS)
    assert step.owner.writer.list_once(step.run)
    assert not should_list(step.run.listing_state(), step.clock.now_ms() + 60_000)
    successor = ScoringStep(step.store)
    while (entry := successor.run.log.read_next().unwrap()) is not None:
        successor.run.apply(entry, 0)
    assert [w.item for w in successor.run.waiting()] == ["i1", "i2"]
    successor.score()
    assert successor.listed()["i0"].text == "text of i0"
    assert successor.listed()["i0"].reward == "proof of r-i0"


def test_texts_that_wait_for_their_rewards_are_included_in_a_handoff():
    cluster = Cluster()
    first, second = cluster.start("a"), cluster.start("b")
    assert first.submit(with_reward_calls(submission()), ROUTE) is None
    run = first.owner.runs["b1"]
    run.progress["i0"].add_event(1, "text", 3, ORIGIN)
    run.mark_complete(run.progress["i0"], 0)
    run.progress["i0"].reward_failures = 2
    taken = second.local_accept_handoff(run.snapshot())
    assert taken == OwnerTerm(second.local_owner, 1)
    successor = second.owner.runs["b1"]
    assert [w.item for w in successor.waiting_rewards()] == ["i0"]
    assert successor.progress["i0"].reward_failures == 2
    successor.finish(successor.progress["i0"], True, 0, "proof")
    assert second.owner.writer.list_once(successor)
    page = second.read("b1", 0, 0)
    assert item_ids(page) == ["i0"] and page.results[0].reward == "proof"


def test_an_item_without_a_reward_call_finishes_with_its_text():
    step = ScoringStep()
    found = head()
    run = BatchRun(found, BatchLog(MemoryStore(), "b1"), owner(), 0, 7_500, None)
    state = run.progress["i0"]
    state.add_event(1, "t", 3, ORIGIN)
    step.owner._handle_outcome(run, state, Upstream(REWARD_SERVER), AttemptOutcome.DONE)
    assert state.finished and run.unlisted[0].reward == ""


def test_reward_calls_start_on_a_split_route_whose_first_service_has_no_server():
    step = ScoringStep()
    split = attrs.evolve(REWARDS, shares=(ServiceShare("new", 1), ServiceShare("desk", 9)))
    step.reward_calls.catalog = lambda: Catalog(1, (ROUTE, split), {}, ClientLimits())
    step.generate("i0")
    step.score()
    assert step.listed()["i0"].reward == "proof of r-i0"
