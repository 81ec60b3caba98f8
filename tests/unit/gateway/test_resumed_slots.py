"""Guards against slots of a server that stay taken after a client has left."""

import types

import gevent
import pytest
import structlog

from pistachionotch.clock import ManualClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.call_progress import CallProgress
from pistachionotch.gateway.calls import CallForwarder
from pistachionotch.gateway.catalog import Route, RouteKind, ServiceShare
from pistachionotch.gateway.disconnect import ClientDisconnectedError
from pistachionotch.gateway.responses import ClientCall
from pistachionotch.gateway.upstreams import Upstream, UpstreamRecord, UpstreamTable
from pistachionotch.http_client import ConnectionPool, ExchangeError
from pistachionotch.platform.upstream import ServerProtocol


def upstream(instance):
    return Upstream(
        UpstreamRecord(
            instance=instance,
            service="s",
            address=Address("127.0.0.1", 9),
            zone="z",
            slots=4,
            leaving=False,
            started_ms=1,
            versions={},
        )
    )


@pytest.mark.parametrize("error", [ClientDisconnectedError, gevent.GreenletExit])
def test_a_client_that_leaves_while_its_stream_is_resumed_gives_its_slot_back(error):
    # Each time, the server had one slot less for this gateway for as long as it was registered.
    clock = ManualClock(1_000)
    broken, other = upstream("s-1"), upstream("s-2")

    def leave(*_arguments):
        assert other.in_flight == 1
        raise error

    client = types.SimpleNamespace(send_request=leave, pool=ConnectionPool(clock))
    rng = types.SimpleNamespace(choice=lambda found: found[0], random=lambda: 0.5)
    table = UpstreamTable({"s-2": other})
    forwarder = CallForwarder(
        clock, rng, "z", {}, table, client, ServerProtocol(), structlog.get_logger()
    )
    route = Route(
        name="r",
        host="h",
        prefix="/",
        kind=RouteKind.STREAM,
        shares=(ServiceShare("s", 1),),
        timeout_ms=5_000,
        objective_ms=100,
        priority=0,
        max_attempts=3,
        resumable=True,
    )
    call = ClientCall(
        request_id="x",
        method="POST",
        target="/",
        host="h",
        headers=(),
        body=b"",
        received_ms=1_000,
    )
    progress = CallProgress(call, route, 6_000, "s", tried={"s-1"})
    with pytest.raises(error):
        forwarder._resume(progress, broken, ExchangeError("closed", sent=True), 3)
    assert other.in_flight == 0
