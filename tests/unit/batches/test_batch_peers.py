"""Guards against submissions and batch states that change in transit between gateways."""

import pytest
from test_batch_log import head, item

from pistachionotch.batches.model import (
    BatchError,
    BatchErrorKind,
    BatchState,
    ItemResult,
    OwnerTerm,
    PartialResult,
)
from pistachionotch.batches.peers import NotOwner, PeerApp, PeerClient, PeerUnreachable
from pistachionotch.clock import SystemClock
from pistachionotch.config.spec import Address
from pistachionotch.http_client import ConnectionPool
from pistachionotch.server import make_server

STATE = BatchState(
    head=head(),
    position=7,
    listed=(ItemResult(id="i1", done=True, text="a\nb", versions=(3, 4)),),
    unlisted=(ItemResult(id="i2", done=False),),
    parts=(
        PartialResult(
            id="i0",
            texts=("é", "two"),
            last_event=2,
            versions=(3,),
            failures=1,
            failed_at=("e",),
        ),
    ),
)


class FakeBatches:
    """Record received arguments and return the configured answer."""

    def __init__(self):
        self.answer = None
        self.received = []

    def local_submit(self, submission):
        self.received.append(submission)
        return self.answer

    def local_accept_handoff(self, state):
        self.received.append(state)
        return self.answer


@pytest.fixture
def peer():
    batches = FakeBatches()
    server = make_server("127.0.0.1", 0, PeerApp(batches, "1"))
    server.start()
    yield batches, Address("127.0.0.1", server.server_port)
    server.stop(timeout=0)


def client():
    return PeerClient(ConnectionPool(SystemClock()))


def test_a_submission_and_its_answer_are_transmitted_unchanged(peer):
    batches, address = peer
    assert isinstance(client().submit(address, head()), NotOwner)
    batches.answer = OwnerTerm(head().owner, 3)
    assert client().submit(address, head()) == OwnerTerm(head().owner, 3)
    batches.answer = BatchError(BatchErrorKind.UNKNOWN, "lost", 300)
    assert client().submit(address, head()) == batches.answer
    assert batches.received == [head().submission] * 3
    assert item("i0") in head().submission.items


def test_a_batch_state_is_transmitted_unchanged(peer):
    batches, address = peer
    assert client().hand_off(address, STATE) is None
    batches.answer = OwnerTerm(head().owner, 3)
    assert client().hand_off(address, STATE) == OwnerTerm(head().owner, 3)
    assert batches.received == [STATE, STATE]


def test_a_gateway_that_refuses_connections_accepts_nothing(peer):
    _batches, address = peer
    closed_port = Address("127.0.0.1", 1)
    assert client().hand_off(closed_port, STATE) is None
    refused = client().submit(closed_port, head())
    assert isinstance(refused, PeerUnreachable) and refused.refused
