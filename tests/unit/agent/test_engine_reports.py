"""Guards against misread engine reports and against agents that fail without them."""

from unittest.mock import Mock

import pytest

from pistachionotch.admission.limit import ConcurrencyLimit
from pistachionotch.admission.queue import AdmissionQueue
from pistachionotch.admission.shares import ClassShares
from pistachionotch.agent.core import AgentCore
from pistachionotch.agent.engine_reports import EngineReportReader, parse_load
from pistachionotch.agent.upstream import EngineUpstream
from pistachionotch.clock import SystemClock
from pistachionotch.config.revisions import Revisions
from pistachionotch.standins.engine import EngineStandIn
from pistachionotch.standins.http import start_server

HOST = "127.0.0.1"


@pytest.fixture
def engine():
    return EngineStandIn("fitting")


@pytest.fixture
def reports(engine):
    server = start_server(engine, HOST, 0)
    upstream = EngineUpstream(HOST, server.server_port, "fitting")
    yield EngineReportReader(upstream, SystemClock(), Mock(), lambda report: None)
    server.stop(timeout=0)


def test_each_cache_event_is_read_once(engine, reports):
    engine.cache.event_delay_ms = 0
    engine.cache.process_prompt("prompt")
    page = reports.read().cache
    assert [event.tokens for event in page.events] == [1]
    assert reports.read().cache.events == ()
    engine.cache.clear()
    assert reports.read().cache.last == 0


def test_load_report_lowers_the_limit_to_the_batch_size(engine, reports):
    """Guards against requests queued inside an engine, which does not order them by deadline."""
    clock = SystemClock()
    limit = ConcurrencyLimit.adaptive(initial=12, minimum=1, maximum=12)
    queue = AdmissionQueue(clock, limit, ClassShares())
    core = AgentCore(clock, None, queue, None, Revisions(), reports.log, 2000, None)
    engine.running, engine.waiting = 1, 7
    core.handle(reports.read(), None)
    assert limit.value == 12
    engine.running, engine.waiting = 8, 4
    core.handle(reports.read(), None)
    assert limit.value == 8
    for answer in ({"running": "x"}, {"running": 1, "waiting": -1, "measured_ms_ago": 0}, [], None):
        assert parse_load(answer) is None


def test_missing_engine_reports_are_logged_once(engine, reports):
    engine.cache = None  # the stand-in fails each request for its events
    assert [reports.read().cache for _ in range(3)] == [None] * 3
    assert reports.log.info.call_count == 1
