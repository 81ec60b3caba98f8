"""Guards against replays of partial responses and against calls sent to a leaving upstream."""

import random

import pytest

from pistachionotch.agent import attempts
from pistachionotch.agent.attempts import AttemptRunner
from pistachionotch.agent.upstream import ServiceUpstream, UpstreamCompleted, UpstreamPiece
from pistachionotch.clock import Deadline, ManualClock
from pistachionotch.idempotency.manager import ClaimManager
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.outcomes import Execution, RequestClass
from pistachionotch.wire.messages import Finished, Piece, Refused, Submit

PIECE = b"x" * 64 * 1024


class FakeSession:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True

    def send_blocking(self, message, _timeout_s):
        return self.send(message)


def _answer(pieces):
    def call(_upstream, _submit, _clock, emit):
        for _ in range(pieces):
            emit(UpstreamPiece(PIECE, -1, 0))
        return UpstreamCompleted(201, ())

    return call


def _run(claim_manager, clock, may_start=lambda: True):
    submit = Submit(
        "a", "r", RequestClass.STOREFRONT, 1000, False, "s", "k", "POST", "/", (), b"", 0
    )
    session = FakeSession()
    runner = AttemptRunner(
        submit,
        session,
        ServiceUpstream("127.0.0.1", 1, "s"),
        claim_manager,
        clock,
        Deadline.after(clock, 1000),
        lambda _progress: None,
        may_start,
    )
    runner.run()
    return session.sent


@pytest.mark.parametrize(("pieces", "replayed"), [(1, True), (4, True), (5, False), (20, False)])
def test_response_is_replayed_only_if_it_is_complete(monkeypatch, pieces, replayed):
    monkeypatch.setattr(attempts, "call", _answer(pieces))
    clock = ManualClock()
    store = MemoryStore(clock)
    claim_manager = ClaimManager(store, clock, "a1", "i1", b"k" * 16, 60_000, random.Random(1))
    first = _run(claim_manager, clock)
    assert sum(len(item.data) for item in first if isinstance(item, Piece)) == pieces * len(PIECE)
    again = _run(claim_manager, clock)
    if not replayed:
        assert [(type(item), item.execution) for item in again] == [(Refused, Execution.UNKNOWN)]
        return
    assert isinstance(again[-1], Finished)
    assert again[-1].size_bytes == pieces * len(PIECE)


def test_slow_claim_sends_no_call_to_a_leaving_upstream(monkeypatch):
    """Guards against calls sent over 3 s after a drain began because the object API was slow."""
    monkeypatch.setattr(attempts, "call", lambda *_: pytest.fail("the upstream was called"))
    clock = ManualClock()
    claim_manager = ClaimManager(
        MemoryStore(clock), clock, "a1", "i1", b"k" * 16, 60_000, random.Random(1)
    )
    [refused] = _run(claim_manager, clock, may_start=lambda: False)
    assert refused.execution is Execution.NOT_RUN
    monkeypatch.setattr(attempts, "call", _answer(1))
    assert isinstance(_run(claim_manager, clock)[-1], Finished)
