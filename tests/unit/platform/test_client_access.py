"""Guards against keys that work too long or not yet, and names and keys that clients forge."""

import json
import socket
import types

import attrs
import pytest
import structlog

from pistachionotch.client_socket import ClientSocket
from pistachionotch.clock import ManualClock
from pistachionotch.gateway.cluster_state import ClusterState
from pistachionotch.gateway.responses import BufferedResponse, FailureCause
from pistachionotch.gateway.upstream_protocol import UpstreamRequest
from pistachionotch.malformed import MALFORMED, describe
from pistachionotch.objects.api import StoredObject
from pistachionotch.platform.boot import read_settings
from pistachionotch.platform.client_access import ClientAccess
from pistachionotch.platform.decode import read_catalog
from pistachionotch.platform.ingress import IngressApp
from pistachionotch.platform.listings import PlatformListings
from pistachionotch.platform.upstream import ServerProtocol
from pistachionotch.server import CLIENT_SOCKET, RAW_HEADERS, RAW_TARGET

FORGED = (("tenant", "b"), ("TENANT", "c"), ("X-Kept", "1"))
AUTHORIZATION = (("Authorization", "Bearer new"),)
LOG = structlog.get_logger()


def route(prefix, **more):
    fields = {"name": prefix, "hostname": "h", "path_prefix": prefix, "route_kind": "safe"}
    return {**fields, "service": "s", "priority": 3, **more}


class Gateway:
    """The ingress of a gateway with a configuration, between a client and an upstream."""

    def __init__(self):
        self.clock = ManualClock(100_000)
        listings = PlatformListings(None, LOG)
        self.cluster = ClusterState(None, self.clock, listings, None, None)
        self.confirmed_ms = self.clock.now_ms()
        self.strict_ms = 0
        self.forwarded = []
        self.revision = 0
        no = lambda: False  # noqa: E731
        access = ClientAccess(
            self.clock,
            self.catalog,
            LOG,
            confirmed_ms=lambda: self.confirmed_ms,
            strict_limit_ms=lambda: self.strict_ms,
        )
        arguments = (self, None, no, no, LOG)
        self.app = IngressApp(self.clock, self.catalog, *arguments, access=access)

    def catalog(self):
        return self.cluster.catalog

    def forward(self, call, chosen):
        self.forwarded.append((call, chosen))
        return BufferedResponse(200, (), b"ok")

    def configure(self, accounts, **more):
        self.revision += 1
        fields = {"version": self.revision, "services": [], **more}
        fields["routes"] = [route("/p/"), route("/open/", public=True), route("/odd/", public="no")]
        batches = {"hostname": "batches", "public": True, "route_kind": "rollout"}
        fields["routes"].append(route("/lots/", **batches))
        if accounts is not None:
            fields["tenants"] = accounts
        stored = StoredObject("config/main", self.revision, json.dumps(fields).encode())
        self.cluster._apply_catalog({"config/main": stored}, self.revision)

    def ask(self, *values, target="/p/x", read=lambda _limit: b"", more=()):
        """Return status, headers and the forwarded call, if there is one."""
        pair = socket.socketpair()
        headers = [*(("authorization", value) for value in values), *FORGED, *more]
        environ = {
            "REQUEST_METHOD": "GET",
            "HTTP_HOST": "H",
            "wsgi.input": type("Input", (), {"read": staticmethod(read)}),
            RAW_TARGET: target,
            RAW_HEADERS: tuple(headers),
            CLIENT_SOCKET: ClientSocket(pair[0]),
        }
        seen = []
        self.forwarded.clear()
        self.app(environ, lambda status, headers: seen.append((int(status[:3]), dict(headers))))
        for end in pair:
            end.close()
        return *seen[0], self.forwarded[0] if self.forwarded else None


A = {"name": "a", "api_keys": ["ka", "ka2"], "priority": 1}
B = {"name": "b", "api_keys": ["kb"]}


@pytest.fixture
def gateway():
    found = Gateway()
    found.configure([A, B])
    return found


def test_keys_come_and_go_with_the_versions_of_the_configuration(gateway):
    assert [gateway.ask(f"Bearer {key}")[0] for key in ("ka", "ka2", "kb", "kc")] == [
        200,
        200,
        200,
        401,
    ]
    gateway.configure([{**A, "api_keys": ["ka2", "kc"]}, {"name": "b"}])
    assert [gateway.ask(f"Bearer {key}")[0] for key in ("ka", "ka2", "kb", "kc")] == [
        401,
        200,
        401,
        200,
    ]


def test_a_refusal_names_its_scheme_or_a_time_to_return(gateway):
    status, headers, _ = gateway.ask()
    assert (status, headers["WWW-Authenticate"]) == (401, "Bearer")
    assert "Retry-After" not in headers and "Connection" not in headers
    gateway.clock.advance(4_001)
    for values in ((), ("Bearer kc",), ("Bearer ka", "Bearer ka")):
        status, headers, _ = gateway.ask(*values, target="/none")
        assert status == 503 and float(headers["Retry-After"]) > 0
    assert gateway.ask("Bearer ka")[0] == 200
    gateway.strict_ms = 4_000
    assert gateway.ask("Bearer ka", target="/open/x")[0] == 503


def test_a_gateway_without_configuration_knows_nothing_for_good():
    status, headers, _ = Gateway().ask("Bearer ka", target="/api/lots/b1")
    assert status == 503 and "Retry-After" in headers


def test_a_refused_body_is_not_read_and_a_smuggled_request_neither(gateway):
    def read(_limit):
        raise AssertionError("read")

    assert gateway.ask("Bearer kc", read=read)[0] == 401
    framing = (("Content-Length", "1"), ("Transfer-Encoding", "chunked"))
    status, headers, _ = gateway.ask("Bearer kc", read=read, more=framing)
    assert (status, headers["Connection"]) == (401, "close")


def test_a_key_that_is_removed_while_the_body_arrives_is_refused(gateway):
    def read(_limit):
        gateway.configure([B])
        return b""

    assert gateway.ask("Bearer ka", read=read)[0] == 401 and not gateway.forwarded


@pytest.mark.parametrize("target", ["/p/x", "/odd/x", "/none", "/api/lots/b1", "/api/items/b1"])
def test_only_public_routes_are_open(gateway, target):
    assert gateway.ask(target=target)[0] == 401


@pytest.mark.parametrize("target", ["/lots/x", "/api/lots/b1", "/api/items/b1"])
def test_a_batch_of_a_key_that_may_be_new_is_not_stored_without_its_account(gateway, target):
    fields = (target, "GET" if target.startswith("/api/items/") else "POST")

    def check(*values):
        headers = tuple(("Authorization", value) for value in values)
        return gateway.app.access.check("r", "batches", *fields, headers)

    assert check("Bearer new").account == check().account == ""
    gateway.clock.advance(4_001)
    refusal = check("Bearer new")
    assert refusal.cause is FailureCause.NOT_RUN and refusal.retry_after_ms == 500
    assert check().account == check("Basic new").account == "" and check("Bearer ka").account == "a"
    assert gateway.app.access.check("r", "h", "/open/x", "POST", AUTHORIZATION).account == ""


def test_the_upstream_is_told_the_account_and_nothing_else(gateway):
    for key, target, account, priority in (
        ("Bearer ka", "/p/x", "a", 1),
        ("Bearer kb", "/open/x", "b", 3),
        ("Bearer kc", "/open/x", "", 3),
    ):
        call, chosen = gateway.ask(key, target=target)[2]
        assert (call.account, chosen.priority) == (account, priority)
        assert call.headers == (("X-Kept", "1"),)
    contents = {gateway.ask(f"Bearer {key}")[2][0].content for key in ("ka", "ka2")}
    assert len(contents) == 1
    assert gateway.ask("Bearer kb")[2][0].content not in contents


def test_headers_name_the_account_of_the_request_only():
    fields = {"request_id": "r", "method": "POST", "target": "/", "host": "h", "body": b""}
    request = UpstreamRequest(
        **fields, headers=(*FORGED, ("authorization", "Bearer ka")), instance="i"
    )
    named = [header for header in ServerProtocol().request_headers(request) if header[0] != "Host"]
    assert named[2:] == list(request.headers)
    for account, expected in (("ü", [("Tenant", "Ã¼")]), ("", [])):
        changed = attrs.evolve(request, account=account, drops_credentials=True)
        sent = ServerProtocol().request_headers(changed)[3:]
        assert sent == [*expected, ("X-Kept", "1")]


def test_without_accounts_calls_are_forwarded_as_they_came(gateway):
    follower = gateway.cluster.shared["config/"] = types.SimpleNamespace(pauses=None)
    gateway.configure([A])
    assert follower.pauses is gateway.cluster.listing_age
    gateway.configure(None)
    assert follower.pauses is None
    call, chosen = gateway.ask("Bearer ka", "Basic x")[2]
    assert call.headers == (("authorization", "Bearer ka"), ("authorization", "Basic x"), *FORGED)
    assert (call.account, chosen.priority) == ("", 3)
    gateway.configure([])
    assert gateway.ask("Bearer ka")[0] == 401


@pytest.mark.parametrize(
    "accounts",
    [
        None,
        {"a": 1},
        "secret",
        ["secret"],
        [{"api_keys": ["secret"]}],
        [{"name": 7, "api_keys": ["secret"]}],
        [{"name": "a", "api_keys": "secret"}],
        [A, {"name": "c", "api_keys": ["secret", None]}],
        [A, {"name": "c", "api_keys": ["secret", "ka"]}],
        [A, {"name": "a", "api_keys": ["secret"]}],
    ],
)
def test_malformed_accounts_keep_the_former_configuration(gateway, accounts):
    with structlog.testing.capture_logs() as logs:
        if accounts is None:
            gateway.configure(None, tenants=None)
        else:
            gateway.configure(accounts)
    assert gateway.catalog().version == 1 and gateway.ask("Bearer ka")[0] == 200
    text = json.dumps(logs)
    assert "unreadable object" in text and "secret" not in text and "ka" not in text.split('"')


def test_settings_limit_the_use_of_keys_without_contact():
    text = "node_name=n\nip=1.1.1.1\nzone=a\nregion=r\nport_range=1,2\nplatform.address=1.1.1.1:1\n"
    text += "platform.value_bytes=9\nbounds.grace_s=8\nbounds.lease_ms=3\nbounds.status_s=1\n"
    strict = text + "bounds.strict_revoke=true\n"
    limits = [text, text + "bounds.strict_revoke=false\nbounds.revoke_ms=5000\n", strict]
    limits.append(strict + "bounds.revoke_ms=7000\n")
    assert [read_settings(each, "f").revocation_limit_ms for each in limits] == [0, 0, 5000, 7000]


def test_the_error_of_bytes_that_are_no_text_shows_no_key():
    value = b'{"version":2,"tenants":[{"name":"a","api_keys":["secret"]}],"x":"\xff"}'
    with pytest.raises(MALFORMED) as caught:
        read_catalog(StoredObject("config/main", 2, value))
    assert "secret" not in describe(caught.value) and caught.value.__cause__ is None
