"""Guards against ids of batches that share one object: one got 202 and was never run."""

import json

import attrs
import pytest
from batch_cluster import Cluster
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure
from test_account_batches import Gateway
from test_batch_log import head

from pistachionotch.accounts.access import client_batch_id, scoped_batch_id
from pistachionotch.batches.ids import external_id, internal_id
from pistachionotch.batches.log import create_batch, load_head
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.platform.store import _wire_name

IDS = st.text(st.characters(max_codepoint=255), min_size=1, max_size=6) | st.text(
    "a./~%=2F7E", min_size=1, max_size=6
)


@given(IDS, IDS)
def test_no_two_ids_share_an_object(first, second):
    names = [_wire_name(internal_id(batch)) for batch in (first, second)]
    assert (names[0] == names[1]) == (first == second)
    for batch in (first, second):
        assert external_id(internal_id(batch)) == batch
        scoped = scoped_batch_id("account", internal_id(batch))
        assert external_id(client_batch_id(scoped)) == batch
        # In paths between gateways and as names of objects.
        assert internal_id(batch).isascii() and not set("/~") & set(internal_id(batch))


@pytest.mark.parametrize("batch", ["7c41e09b52d6a3f8", "b1", "a.00001", "x%2Fy", "a?b&c#d"])
def test_usual_ids_keep_their_objects(batch):
    assert internal_id(batch) == batch


class TildeStore(MemoryStore):
    """Gives keys with slashes and with tildes the same name, as the platform's store does."""

    def get(self, key):
        return super().get(_key(key))

    def put(self, key, value, expected_version):
        return super().put(_key(key), value, expected_version)


def _key(key):
    kind, _, name = key.partition("/")
    return f"{kind}/{name.replace('~', '/')}"


def test_batches_whose_ids_differ_in_a_slash_and_a_tilde_are_both_run():
    cluster = Cluster()
    cluster.store = TildeStore()
    gateways = [Gateway(cluster, node, None) for node in "ab"]
    for batch in ("a/b", "a~b"):
        assert gateways[0].submit("", batch) == 202
    assert len(gateways[0].service.owner.runs) == 2
    for batch in ("a/b", "a~b"):
        for gateway in gateways:
            status, page = gateway.ask("", "GET", f"/api/lots/{batch}")
            assert (status, json.loads(page)["total"]) == (200, 1)
            assert gateway.ask("", "GET", f"/api/items/{batch}?id=i0") == (200, b"hello")
        assert gateways[1].ask("", "DELETE", f"/api/lots/{batch}")[0] == 200
    assert gateways[0].ask("", "GET", "/api/lots/a.b")[0] == 404


def test_a_batch_that_earlier_versions_stored_under_such_an_id_can_be_read():
    cluster = Cluster()
    cluster.store = TildeStore()
    found = head(node="gone")
    create_batch(
        cluster.store,
        attrs.evolve(found, submission=attrs.evolve(found.submission, id="a~b")),
        1_000_000,
    )
    gateway = Gateway(cluster, "a", None)
    assert gateway.ask("", "GET", "/api/lots/a~b")[0] == 200
    # Its object has the name of another id, which is no batch.
    assert gateway.ask("", "GET", "/api/lots/a/b")[0] == 404
    assert load_head(cluster.store, "a/b").unwrap() is None
    other = attrs.evolve(found, submission=attrs.evolve(found.submission, id="a/b"))
    assert isinstance(create_batch(cluster.store, other, 1_000_000), Failure)


def test_a_submission_without_an_id_is_refused():
    gateway = Gateway(Cluster(), "a", None)
    assert gateway.submit("", "") == 400
