"""Guards against one odd entry of another writer that costs more than itself."""

import json

import pytest
import structlog
from gevent.server import StreamServer
from returns.result import Success

from pistachionotch.clock import SystemClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.peers import GatewayRegistry
from pistachionotch.http_client import ConnectionPool
from pistachionotch.lease.record import parse_lease
from pistachionotch.measures import Measures
from pistachionotch.platform.listings import PlatformListings
from pistachionotch.platform.store import PlatformStore
from pistachionotch.weights.demand import ModelDemands

SOUND = {
    "service": "s1",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "born": 1,
    "models": [{"name": "m0", "version": 3}],
}


def spec(**changes):
    return json.dumps({**SOUND, **changes}).encode()


def raw(name, value):
    """Return an entry in which the text of one value is given."""
    return spec(**{name: "PLACE"}).replace(b'"PLACE"', value)


DIGITS = b"9" * 5_000
ODD_VALUES = {
    "nested lists": raw("extra", b"[" * 1_000 + b"]" * 1_000),
    "nested tables": raw("extra", b'{"a":' * 50_000 + b"1" + b"}" * 50_000),
    "nested texts": raw("extra", b'["[{\\"]",' * 2_000 + b"1" + b"]" * 2_000),
    "digits": raw("slots", DIGITS),
    "digits in an unknown field": raw("extra", DIGITS),
    "slots of 400 digits": raw("slots", b"1" + b"0" * 400),
    "exponent": raw("slots", b"1e999"),
    "not a number": raw("slots", b"NaN"),
    "no utf-8": raw("zone", b'"\xff\xfe"'),
    "no entry": b"null",
    "a list": b"[]",
    "a text": b'"x"',
}
ODD_FIELDS = {
    "port 0": {"address": "10.128.0.9:0"},
    "port 65536": {"address": "10.128.0.9:65536"},
    "port of digits": {"address": "10.128.0.9:" + "9" * 50},
    "any address": {"address": "0.0.0.0:80"},
    "multicast": {"address": "224.0.0.1:80"},
    "loopback text": {"address": "localhost:80"},
    "address of another type": {"address": ["10.128.0.9", 80]},
    "no slots": {"slots": 0},
    "many slots": {"slots": 10**12},
    "slots as truth": {"slots": True},
    "slots as text": {"slots": "4"},
    "start as text": {"born": "1"},
    "start as truth": {"born": True},
    "start before 1970": {"born": -1},
    "start of digits": {"born": 10**18},
    "models of another type": {"models": {"m0": 3}},
    "version of a model as text": {"models": [{"name": "m0", "version": "3"}]},
    "version of a model below 0": {"models": [{"name": "m0", "version": -3}]},
    "model without a name": {"models": [{"version": 3}]},
    "name of a model of another type": {"models": [{"name": 3, "version": 3}]},
    "software of another type": {"version": 1},
    "long software": {"version": "v" * 10_000},
    "line break in the software": {"version": "v1\r\nX: y"},
    "half a character": {"zone": "\ud800"},
    "service of another type": {"service": {"name": "s1"}},
    "state of another type": {"state": ["ready"]},
    "unknown state": {"state": "asleep" * 100},
}
ODD = {**ODD_VALUES, **{name: spec(**fields) for name, fields in ODD_FIELDS.items()}}
ODD_NAMES = ["", "a b", "i\r\nX: y", "i-\u00e9", "i" * 2_000]


class AnsweringStore:
    """Answer each request with the same body."""

    def __init__(self, body):
        self.body = body
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()

    def serve(self, sock, _address):
        while sock.recv(65536):
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n"
            sock.sendall(head.encode() + self.body)

    def client(self):
        address = Address("127.0.0.1", self.server.server_port)
        return PlatformStore(address, ConnectionPool(SystemClock()))


def item(name, value, revision=5):
    metadata = json.dumps({"name": name, "revision": revision}).encode()
    return b'{"metadata":%s,"spec":%s}' % (metadata, value)


def listing(*items):
    return b'{"items":[%s],"has_more":false,"current_rev":9}' % b",".join(items)


def changes(*items, removed=False):
    flag = b"true" if removed else b"false"
    events = [b'{"object":%s,"removed":%s}' % (each, flag) for each in items]
    return b'{"events":[%s],"current_rev":9}' % b",".join(events)


class Log:
    def __init__(self):
        self.lines = []

    def __getattr__(self, _level):
        return lambda event, **fields: self.lines.append((event, fields))


def usable(objects, times=3):
    """Return the usable servers of some objects, what was logged and what was counted."""
    log, measures = Log(), Measures()
    listings = PlatformListings(None, log, measures)
    for _ in range(times):
        records = listings.upstreams(objects)
    counted = sum(n for (name, _kind), n in measures.counters.items() if name == "odd_objects")
    return [record.instance for record in records], log.lines, counted


@pytest.mark.parametrize("odd", ODD)
def test_an_odd_entry_of_a_listing_costs_that_entry_only(odd):
    body = listing(item("i-1", spec()), item("i-2", ODD[odd]), item("i-3", spec()))
    snapshot = AnsweringStore(body).client().snapshot("servers/")
    assert isinstance(snapshot, Success), snapshot
    objects = {stored.key: stored for stored in snapshot.unwrap().objects}
    names, lines, counted = usable(objects)
    assert names == ["i-1", "i-3"]
    assert [fields["key"] for _event, fields in lines] == ["servers/i-2"]
    assert len(str(lines)) < 1_000
    assert counted == 1


@pytest.mark.parametrize("odd", ODD)
def test_an_odd_entry_of_a_watch_costs_that_entry_only(odd):
    body = changes(item("i-1", spec()), item("i-2", ODD[odd]), item("i-3", spec()))
    batch = AnsweringStore(body).client().watch("servers/", 3, 10)
    assert isinstance(batch, Success), batch
    assert batch.unwrap().revision == 9
    assert [change.key for change in batch.unwrap().changes] == [
        "servers/i-1",
        "servers/i-2",
        "servers/i-3",
    ]


@pytest.mark.parametrize("odd", ODD)
def test_an_odd_entry_can_be_removed(odd):
    body = changes(item("i-2", ODD[odd]), removed=True)
    batch = AnsweringStore(body).client().watch("servers/", 3, 10)
    assert [change.value for change in batch.unwrap().changes] == [None]


@pytest.mark.parametrize("name", ODD_NAMES)
def test_an_odd_name_costs_that_entry_only(name):
    body = listing(item("i-1", spec()), item(name, spec()))
    objects = AnsweringStore(body).client().snapshot("servers/").unwrap().objects
    names, _lines, counted = usable({stored.key: stored for stored in objects})
    assert names == ["i-1"]
    assert counted == 1


@pytest.mark.parametrize(
    "metadata", [b"null", b"{}", b'{"name":"i-2"}', b"[" * 2_000 + b"]" * 2_000]
)
def test_odd_metadata_cost_that_entry_only(metadata):
    odd = b'{"metadata":%s,"spec":%s}' % (metadata, spec())
    body = listing(item("i-1", spec()), odd, item("i-3", spec()))
    objects = AnsweringStore(body).client().snapshot("servers/").unwrap().objects
    assert [stored.key for stored in objects] == ["servers/i-1", "servers/i-3"]


def test_an_entry_that_was_odd_is_used_once_it_is_sound():
    odd = listing(item("i-1", ODD["digits"]))
    objects = AnsweringStore(odd).client().snapshot("servers/").unwrap().objects
    log, measures = Log(), Measures()
    listings = PlatformListings(None, log, measures)
    assert not listings.upstreams({each.key: each for each in objects})
    sound = AnsweringStore(listing(item("i-1", spec()))).client().snapshot("servers/").unwrap()
    assert len(listings.upstreams({each.key: each for each in sound.objects})) == 1
    assert not listings.upstreams({each.key: each for each in objects})
    assert len(log.lines) == 2


@pytest.mark.parametrize("odd", ODD_VALUES)
def test_odd_objects_of_other_kinds_cost_only_themselves(odd):
    value = ODD_VALUES[odd]
    named = b'{"model":"m0","version":7}'
    body = listing(item("m0", named), item("m1", value))
    objects = AnsweringStore(body).client().snapshot("versions/").unwrap().objects
    listings = PlatformListings(None, Log(), Measures())
    stored = {each.key: each for each in objects}
    assert listings.versions(stored) == {"m0": 7}
    assert listings.catalog({"config/main": objects[1]}) is None
    assert parse_lease(objects[1].value) is None
    demands = ModelDemands(None, structlog.get_logger())
    demands.apply_listing({"demands/m1": objects[1]}, 1)
    assert demands.tokens == {}


@pytest.mark.parametrize(
    "odd", [*ODD_VALUES.values(), b'{"address":"10.0.0.1:0"}', b'{"address":"0.0.0.0:80"}']
)
def test_odd_registrations_of_gateways_cost_only_themselves(odd):
    body = listing(item("g-1", b'{"address":"10.0.0.1:80"}'), item("g-2", odd))
    objects = AnsweringStore(body).client().snapshot("gateways/").unwrap().objects
    owner = type("Me", (), {"node": "g-0"})
    registry = GatewayRegistry(owner, None, structlog.get_logger())
    registry.apply_listing({each.key: each for each in objects}, 1)
    assert list(registry.records) == ["g-1"]
