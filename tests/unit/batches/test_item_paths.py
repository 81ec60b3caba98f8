"""Guards against items whose path makes them orders to engines, or requests of another route."""

import json

import attrs
import pytest
from batch_cluster import ROUTE, Cluster
from test_account_batches import ENGINE, ITEM, Gateway, Runner

from pistachionotch.batches.fields import InvalidFieldError
from pistachionotch.batches.routes import check_item_paths
from pistachionotch.gateway.catalog import Catalog, ClientLimits

INNER = attrs.evolve(ROUTE, name="inner", prefix="/p/inner/")
ODD_PATHS = ["/api/order", "/api/report", "/", "/p", "/q/x", "/P/x", "//p/x", "/x/../p/x", "/%70/x"]


def submit(gateway, path):
    items = [{**ITEM, "headers": {}}, {**ITEM, "id": "i1", "path": path, "headers": {}}]
    body = json.dumps({"items": items}).encode()
    return gateway.ask("", "POST", "/p/b1", body, "b1")


@pytest.mark.parametrize("path", ODD_PATHS)
def test_a_batch_with_a_path_outside_its_route_is_refused(path):
    cluster = Cluster()
    gateway = Gateway(cluster, "a", None)
    status, body = submit(gateway, path)
    assert status == 400
    assert "item i1: path" in json.loads(body)["reason"]
    assert not gateway.service.owner.runs and not cluster.store.objects


@pytest.mark.parametrize("path", ["/p/x", "/p/", "/p/x?y=/api/order", "/p/api/order"])
def test_a_batch_with_paths_of_its_route_is_accepted(path):
    gateway = Gateway(Cluster(), "a", None)
    assert submit(gateway, path)[0] == 202


def test_the_path_of_a_route_within_the_route_is_refused():
    gateway = Gateway(Cluster(), "a", None)
    catalog = Catalog(1, (ROUTE, INNER), {}, ClientLimits())
    submit(gateway, "/p/inner/x")
    submission = gateway.service.owner.runs["b1"].head.submission
    with pytest.raises(InvalidFieldError):
        check_item_paths(catalog, ROUTE, submission)


def test_an_item_that_an_earlier_version_accepted_is_not_sent():
    gateway = Gateway(Cluster(), "a", None)
    owner = gateway.service.owner
    submit(gateway, "/p/x")
    run = owner.runs["b1"]
    state = run.progress["i1"]
    state.item = attrs.evolve(state.item, target="/api/order")
    owner.item_runner = Runner()
    owner.catalog = gateway._catalog
    owner.table.replace([ENGINE], 1)
    upstream = owner.table.upstreams[ENGINE.instance]
    for each in run.progress.values():
        owner._run_item(run, each, upstream, 0)
    assert len(owner.item_runner.requests) == 1
    assert state.finished and [result.done for result in run.unlisted] == [False]
