"""Guards against repeated configuration fetches, mistimed heartbeats and work after a drain."""

import pytest
import structlog

from pistachionotch.admission.limit import ConcurrencyLimit
from pistachionotch.admission.queue import AdmissionQueue
from pistachionotch.admission.shares import ClassShares
from pistachionotch.agent.config_fetch import FETCH_TIMEOUT_MS
from pistachionotch.agent.core import DRAIN_START_WINDOW_MS, AgentCore, Drain, Tick, VersionObserved
from pistachionotch.clock import ManualClock
from pistachionotch.config.revisions import Revisions
from pistachionotch.outcomes import Execution, RequestClass
from pistachionotch.wire import messages

HEARTBEAT_MS = 2000


class FakeSession:
    def __init__(self, node):
        self.peer = messages.Hello(1, "d", node, "entry", "cebu", "1", b"")
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True

    def heartbeat_overdue(self):
        return False

    def set_heartbeat_interval(self, interval_ms):
        self.interval_ms = interval_ms

    def count(self, kind):
        return sum(isinstance(message, kind) for message in self.sent)


@pytest.fixture
def core():
    clock = ManualClock(10_000)
    queue = AdmissionQueue(clock, ConcurrencyLimit.fixed(4), ClassShares())
    log = structlog.get_logger()
    return AgentCore(clock, None, queue, None, Revisions(), log, HEARTBEAT_MS, None)


def test_configuration_is_fetched_from_one_entry_at_a_time(core):
    sessions = [FakeSession(f"entry-{number}") for number in range(3)]
    for session in sessions:
        core.handle(messages.ConfigOffer(7), session)
    assert [session.count(messages.ConfigFetch) for session in sessions] == [1, 0, 0]
    core.handle(messages.ConfigOffer(8), sessions[1])
    assert sessions[1].count(messages.ConfigFetch) == 1


def test_configuration_is_fetched_from_another_entry_after_a_timeout(core):
    first, second = FakeSession("entry-1"), FakeSession("entry-2")
    core.handle(messages.ConfigOffer(7), first)
    core.clock.advance(FETCH_TIMEOUT_MS)
    core.handle(messages.Heartbeat(1, 7), second)
    assert second.count(messages.ConfigFetch) == 1


def test_heartbeats_are_answered_at_once_and_sent_without_one_from_the_entry(core):
    session = FakeSession("entry-1")
    core.handle(messages.Heartbeat(1, 0), session)
    core.clock.advance(HEARTBEAT_MS)
    core.handle(Tick(), None)
    assert session.count(messages.Heartbeat) == 1
    core.handle(messages.Heartbeat(2, 0), session)
    assert session.count(messages.Heartbeat) == 2
    for _ in range(3):
        core.clock.advance(HEARTBEAT_MS // 2)
        core.handle(Tick(), None)
    assert session.count(messages.Heartbeat) == 3


def test_queued_work_is_refused_after_the_start_window_of_a_drain(core):
    """Guards against queued work that reaches an upstream over 3 s after its drain began."""
    session = FakeSession("entry-1")
    request_class = RequestClass.STOREFRONT
    submit = messages.Submit("a", "r", request_class, 20_000, True, "", "", "GET", "/", (), b"", 0)
    core.handle(submit, session)
    core.handle(Drain("signal"), None)
    core.clock.advance(DRAIN_START_WINDOW_MS - 1)
    core.handle(Tick(), None)
    assert core.may_start() and core.waiting
    core.clock.advance(1)
    core.handle(Tick(), None)
    assert session.sent[-1].execution is Execution.NOT_RUN
    assert core.idle() and not core.may_start()


def test_cached_load_is_cleared_by_a_new_version_and_a_drain(core):
    assert core.load() is core.load()
    core.handle(VersionObserved(7), None)
    assert core.load().serving_versions == (7,)
    core.handle(Drain("test"), None)
    assert core.load().draining
