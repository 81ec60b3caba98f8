"""Guards against engine reports that are read wrongly or stop the agent when they are missing."""

from unittest.mock import Mock

import pytest

from pistachionotch.agent.engine_reports import EngineReports
from pistachionotch.agent.upstream import EngineUpstream
from pistachionotch.clock import SystemClock
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
    yield EngineReports(upstream, SystemClock(), Mock(), lambda report: None)
    server.stop(timeout=0)


def test_each_cache_event_is_read_once(engine, reports):
    engine.cache.event_delay_ms = 0
    engine.cache.use("prompt")
    page = reports.read().cache
    assert [event.tokens for event in page.events] == [1]
    assert reports.read().cache.events == ()
    engine.cache.clear()
    assert reports.read().cache.last == 0


def test_an_engine_without_reports_is_noted_once(engine, reports):
    engine.cache = None  # the stand-in fails each request for its events
    assert [reports.read().cache for _ in range(3)] == [None] * 3
    assert reports.log.info.call_count == 1
