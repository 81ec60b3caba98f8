"""Guards against upstream calls sent twice and incomplete responses taken as complete."""

import json

import pytest
from gevent.server import StreamServer

from pistachionotch.agent.upstream import (
    Coalescer,
    EngineUpstream,
    ServiceUpstream,
    UpstreamCompleted,
    UpstreamFailed,
    call,
)
from pistachionotch.clock import ManualClock, SystemClock
from pistachionotch.outcomes import RequestClass
from pistachionotch.prefixes.view import PrefixCacheUsage
from pistachionotch.standins.engine import EngineStandIn
from pistachionotch.standins.http import start_server
from pistachionotch.wire.messages import Submit

HOST = "127.0.0.1"


def _submit(method="POST", path="/orders", body=b"{}"):
    return Submit(
        "a", "r", RequestClass.STOREFRONT, 1000, False, "s", "k", method, path, (), body, 0
    )


def _completion(tokens):
    body = json.dumps({"model": "fitting", "prompt": "p", "max_tokens": tokens}).encode()
    return _submit(path="/v1/completions", body=body)


def _run(upstream, submit):
    pieces = []
    return call(upstream, submit, SystemClock(), pieces.append), pieces


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET"])
def test_interrupted_call_is_sent_once(method):
    """Guards against a repeated request, since the HTTP library resends some methods by itself."""
    requests = []

    def cut(sock, _address):
        requests.append(sock.recv(65536))
        sock.close()

    server = StreamServer((HOST, 0), cut)
    server.start()
    outcome, _pieces = _run(ServiceUpstream(HOST, server.server_port, "s"), _submit(method))
    server.stop(timeout=0)
    assert isinstance(outcome, UpstreamFailed)
    assert outcome.sent
    assert not outcome.crashed
    # The check whether the upstream has crashed opens connections, but sends nothing on them.
    assert len([request for request in requests if request]) == 1


def test_a_call_under_which_the_upstream_ended_says_so():
    server = StreamServer((HOST, 0), lambda sock, _address: end(sock))

    def end(sock):
        sock.recv(65536)
        server.stop(timeout=0)
        sock.close()

    server.start()
    outcome, _pieces = _run(ServiceUpstream(HOST, server.server_port, "s"), _submit())
    assert isinstance(outcome, UpstreamFailed)
    assert outcome.sent
    assert outcome.crashed


def test_call_over_a_refused_connection_counts_as_not_sent():
    server = StreamServer((HOST, 0), lambda *_: None)
    server.start()
    port = server.server_port
    server.stop()
    outcome, _pieces = _run(ServiceUpstream(HOST, port, "s"), _submit())
    assert isinstance(outcome, UpstreamFailed)
    assert not outcome.sent


def test_body_shorter_than_its_declared_length_is_a_failure():
    def short(sock, _address):
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
        sock.close()

    server = StreamServer((HOST, 0), short)
    server.start()
    outcome, _pieces = _run(ServiceUpstream(HOST, server.server_port, "s"), _submit())
    server.stop(timeout=0)
    assert isinstance(outcome, UpstreamFailed)


def test_engine_tokens_carry_the_version_that_the_engine_reported():
    engine = EngineStandIn("fitting", token_ms=1)
    engine.version = 7
    server = start_server(engine, HOST, 0)
    outcome, pieces = _run(EngineUpstream(HOST, server.server_port, "fitting"), _completion(9))
    server.stop(timeout=0)
    usage = PrefixCacheUsage(
        next(iter(engine.cache.cached_prefixes)), prompt_tokens=1, cached_tokens=0
    )
    assert outcome == UpstreamCompleted(200, (("X-Finish-Reason", "length"),), usage)
    assert {piece.version for piece in pieces} == {7}
    assert sum(piece.tokens for piece in pieces) == 9


def test_stream_without_its_end_marker_is_a_failure():
    engine = EngineStandIn("fitting", token_ms=1)
    engine.faults.break_after_tokens = 3
    server = start_server(engine, HOST, 0)
    outcome, _pieces = _run(EngineUpstream(HOST, server.server_port, "fitting"), _completion(9))
    server.stop(timeout=0)
    assert isinstance(outcome, UpstreamFailed)


def test_sample_tokens_are_coalesced_within_one_version():
    """Guards against a message for each token of a sample and against wrong versions of tokens."""
    clock, pieces = ManualClock(), []
    coalescer = Coalescer(clock, pieces.append, wait_ms=1000)
    for number in range(100):
        coalescer.add(b"t", 1 if number < 60 else 2)
        clock.advance(25)
    coalescer.flush()
    assert pieces[0].tokens == 1
    assert len(pieces) <= 6
    tokens_by_version = {
        version: sum(p.tokens for p in pieces if p.version == version) for version in (1, 2)
    }
    assert tokens_by_version == {1: 60, 2: 40}
    assert b"".join(piece.data for piece in pieces) == b"t" * 100
