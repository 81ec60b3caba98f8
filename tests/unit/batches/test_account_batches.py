"""Guards against accounts that learn of each other's batches, at the owner or another gateway."""

import json
import socket
from io import BytesIO

import attrs
import gevent
import pytest
import structlog
from batch_cluster import ROUTE, Cluster

from pistachionotch.accounts.access import scoped_batch_id
from pistachionotch.accounts.model import AccountEntry, AccountTable
from pistachionotch.batches.attempts import AttemptOutcome, ItemRunner
from pistachionotch.batches.records import head_bytes, read_head
from pistachionotch.client_socket import ClientSocket
from pistachionotch.config.spec import Address
from pistachionotch.gateway.catalog import Catalog, ClientLimits
from pistachionotch.gateway.upstreams import UpstreamRecord
from pistachionotch.platform.client_access import ClientAccess
from pistachionotch.platform.ingress import IngressApp
from pistachionotch.server import CLIENT_SOCKET, RAW_HEADERS, RAW_TARGET

ENTRIES = [AccountEntry("a", ["key-a", "key-a2"]), AccountEntry("b", ["key-b"])]
ITEM = {
    "id": "i0",
    "path": "/p/b1",
    "headers": {"Model": "m", "authorization": "Bearer key-a2", "TENANT": "b"},
    "body": "aGVsbG8=",
}


ENGINE = UpstreamRecord(
    instance="e",
    service="s",
    address=Address("127.0.0.1", 9),
    zone="z",
    slots=4,
    leaving=False,
    started_ms=1,
    versions={"": 1},
)


class Runner(ItemRunner):
    """Keep the requests of items instead of sending them."""

    def __init__(self):
        self.requests = []

    def run(self, submission, state, upstream, priority, may_send, has_accounts):
        request = self._request(submission, state, upstream, priority, has_accounts)
        self.requests.append((request.want.urgency, request.account, request.drops_credentials))
        return AttemptOutcome.REFUSED


class Gateway:
    """The ingress of one gateway of a cluster."""

    def __init__(self, cluster, node, accounts):
        self.catalog = Catalog(1, (ROUTE,), {}, ClientLimits(), accounts)
        self.service = cluster.start(node)
        log = structlog.get_logger()
        access = ClientAccess(cluster.clock, self._catalog, log, confirmed_ms=cluster.clock.now_ms)
        no = lambda: False  # noqa: E731
        arguments = (None, self.service, no, no, log)
        self.app = IngressApp(cluster.clock, self._catalog, *arguments, access=access)

    def _catalog(self):
        return self.catalog

    def ask(self, key, method, target, body=b"", request="b1"):
        """Return status and body of the answer."""
        pair = socket.socketpair()
        headers = [("Authorization", f"Bearer {key}")] if key else []
        environ = {
            "REQUEST_METHOD": method,
            "HTTP_HOST": "h",
            "HTTP_REQUEST_ID": request,
            "wsgi.input": BytesIO(body),
            RAW_TARGET: target,
            RAW_HEADERS: tuple(headers),
            CLIENT_SOCKET: ClientSocket(pair[0]),
        }
        seen = []
        parts = self.app(environ, lambda status, headers: seen.append(int(status[:3])))
        for end in pair:
            end.close()
        return seen[0], b"".join(parts)

    def submit(self, key, request="b1"):
        body = json.dumps({"items": [ITEM]}).encode()
        return self.ask(key, "POST", "/p/b1", body, request)[0]


@pytest.fixture
def gateways():
    cluster = Cluster()
    accounts = AccountTable.build(ENTRIES)
    return cluster, Gateway(cluster, "a", accounts), Gateway(cluster, "b", accounts)


def test_only_keys_of_the_account_reach_its_batch_at_any_gateway(gateways):
    cluster, owner, other = gateways
    assert owner.submit("key-a") == 202
    absent = owner.ask("key-b", "GET", "/api/lots/none")
    for gateway in (owner, other):
        internal = scoped_batch_id("a", "b1")
        for batch in ("b1", internal):
            assert gateway.ask("key-b", "GET", f"/api/lots/{batch}") == absent
            assert gateway.ask("key-b", "DELETE", f"/api/lots/{batch}")[0] == 404
            assert gateway.ask("key-b", "GET", f"/api/items/{batch}?id=i0")[0] == 404
            assert gateway.ask("", "GET", f"/api/lots/{batch}")[0] == 401
        status, page = gateway.ask("key-a2", "GET", "/api/lots/b1")
        assert status == 200 and json.loads(page)["total"] == 1
        assert gateway.ask("key-a", "GET", "/api/items/b1?id=i0") == (200, b"hello")
        assert gateway.submit("key-a2") == 202
    assert len(owner.service.owner.runs) == 1 and not other.service.owner.runs
    # The same id of another account is another batch.
    assert other.submit("key-b") == 202
    assert other.ask("key-b", "DELETE", "/api/lots/b1")[0] == 200
    assert not owner.service.owner.runs[internal].ended
    assert other.ask("key-a2", "DELETE", "/api/lots/b1")[0] == 200
    assert owner.service.owner.runs[internal].ended


def test_a_batch_outlives_its_keys_and_its_account(gateways):
    _cluster, owner, _other = gateways
    assert owner.submit("key-a") == 202
    later = AccountTable.build(ENTRIES[1:])
    owner.catalog = Catalog(2, (ROUTE,), {}, ClientLimits(), later)
    assert owner.ask("key-a", "GET", "/api/lots/b1")[0] == 401
    (run,) = owner.service.owner.runs.values()
    assert run.open and run.head.submission.account == "a"


def test_stored_batches_contain_the_account_but_no_key(gateways):
    cluster, owner, _other = gateways
    with structlog.testing.capture_logs() as logs:
        assert owner.submit("key-a") == 202
        assert owner.ask("key-x", "GET", "/api/lots/b1")[0] == 401
    (stored,) = cluster.store.list("batches/").unwrap()
    head, parts = read_head(stored.value)
    assert head.submission.account == "a" and head.submission.items[0].headers == (("Model", "m"),)
    assert head_bytes(head, json.loads(stored.value)["items"], parts) == stored.value
    assert b"key-" not in stored.value and "key-" not in json.dumps(logs)
    assert [line["reason"] for line in logs if line["event"] == "access refused"] == ["unknown key"]


def test_anonymous_batches_exist_beside_those_of_accounts(gateways):
    cluster, owner, other = gateways
    assert owner.submit("key-a") == 202 and owner.submit("") == 401
    public = (attrs.evolve(ROUTE, public=True),)
    for gateway in (owner, other):
        gateway.catalog = attrs.evolve(gateway.catalog, routes=public)
    internal = scoped_batch_id("a", "b1")
    assert other.ask("", "GET", "/api/lots/b1")[0] == 404
    assert other.submit("") == 202 and other.submit("", internal) == 400
    for gateway in (owner, other):
        assert gateway.ask("", "GET", "/api/lots/b1")[0] == 200
        assert gateway.ask("", "GET", f"/api/lots/{internal}")[0] == 404
        assert gateway.ask("", "GET", f"/api/items/{internal}?id=i0")[0] == 404
        assert gateway.ask("key-b", "GET", "/api/lots/b1")[0] == 404
    assert len(cluster.store.list("batches/").unwrap()) == 2


def test_items_run_with_account_and_priority_of_the_configuration_in_force(gateways):
    _cluster, gateway, _other = gateways
    owner = gateway.service.owner
    owner.catalog, owner.item_runner = gateway._catalog, Runner()
    owner.table.replace([ENGINE], 1)
    assert gateway.submit("key-a") == 202
    first = AccountEntry("a", (), 5)
    for accounts in ([first], ENTRIES, None):
        table = None if accounts is None else AccountTable.build(accounts)
        gateway.catalog = attrs.evolve(gateway.catalog, accounts=table)
        owner.start_items()
        gevent.sleep(0)
    assert owner.item_runner.requests == [(5, "a", True), (0, "a", True), (0, "", False)]


def test_without_accounts_nothing_is_added_or_dropped():
    cluster = Cluster()
    gateway = Gateway(cluster, "a", None)
    assert gateway.submit("any") == 202 and gateway.ask("", "GET", "/api/lots/b1")[0] == 200
    (stored,) = cluster.store.list("batches/").unwrap()
    assert b"account" not in stored.value
    assert stored.key == "batches/b1"
    assert len(read_head(stored.value)[0].submission.items[0].headers) == 3
