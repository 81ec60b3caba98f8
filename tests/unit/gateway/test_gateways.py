"""Guards against a registry that keeps lost gateways, lacks running ones, or hides their ends."""

import structlog
import structlog.testing

from pistachionotch.batches.model import Owner
from pistachionotch.config.spec import Address
from pistachionotch.gateway.peers import GATEWAYS_PREFIX, MAX_MISSED_PROBES, GatewayRegistry
from pistachionotch.objects.memory import MemoryStore


class Fleet:
    def __init__(self):
        self.store = MemoryStore()
        self.all = [self.start(number) for number in range(3)]
        self.spread()

    def start(self, number, incarnation="1"):
        address = Address("10.0.0.1", 7_000 + number)
        me = Owner(node=f"g{number}", incarnation=incarnation, address=address)
        gateways = GatewayRegistry(me, self.store, structlog.get_logger(), "r", 0.5 + number)
        assert gateways.register()
        return gateways

    def spread(self):
        for gateways in self.all:
            gateways.apply_listing(dict(self.store.objects), self.store.revision)


def test_each_gateway_knows_the_others_and_not_itself():
    fleet = Fleet()
    assert sorted(fleet.all[0].addresses) == ["g1", "g2"]
    assert [address.port for address in fleet.all[1].other_gateways()] == [7_000, 7_002]


def test_each_gateway_knows_the_capacity_and_region_of_the_others():
    fleet = Fleet()
    records = fleet.all[0].records
    assert [(record.region, record.processor) for record in records.values()] == [
        ("r", 1.5),
        ("r", 2.5),
    ]
    fleet.store.put(GATEWAYS_PREFIX + "old", b'{"address":"10.0.0.9:1"}', None)
    fleet.spread()
    assert fleet.all[0].records["old"].processor == 0.0


def test_a_restarted_gateway_replaces_its_entry():
    fleet = Fleet()
    fleet.all[0] = fleet.start(0)
    assert len(fleet.store.objects) == 3


def test_only_an_entry_of_an_earlier_process_shows_a_restart():
    fleet = Fleet()
    fresh = fleet.all[0]
    # A listing from before the registration makes the gateway register again.
    fresh.apply_listing({}, 0)
    assert not fresh.registered and fresh.register()
    assert not fresh.restarted
    again = GatewayRegistry(
        Owner(node="g0", incarnation="2", address=Address("10.0.0.1", 7_000)),
        fleet.store,
        structlog.get_logger(),
    )
    assert again.register() and again.restarted
    fleet.store.put(GATEWAYS_PREFIX + "g9", b"[]", None)
    other = GatewayRegistry(
        Owner(node="g9", incarnation="1", address=Address("10.0.0.1", 7_009)),
        fleet.store,
        structlog.get_logger(),
    )
    assert other.register() and not other.restarted


def test_unreachable_gateway_is_deleted_and_registers_again_if_it_still_runs():
    fleet = Fleet()
    for _ in range(MAX_MISSED_PROBES - 1):
        fleet.all[0].delete_unreachable(lambda address: address.port != 7_002)
    assert GATEWAYS_PREFIX + "g2" in fleet.store.objects
    fleet.all[0].delete_unreachable(lambda address: address.port != 7_002)
    assert GATEWAYS_PREFIX + "g2" not in fleet.store.objects
    fleet.spread()
    assert not fleet.all[2].registered and fleet.all[1].registered
    assert fleet.all[2].register()


def test_one_answered_probe_resets_the_count():
    fleet = Fleet()
    for _ in range(3):
        for _ in range(MAX_MISSED_PROBES - 1):
            fleet.all[0].delete_unreachable(lambda _address: False)
        fleet.all[0].delete_unreachable(lambda _address: True)
    assert len(fleet.store.objects) == 3


def test_malformed_entry_does_not_hide_others():
    fleet = Fleet()
    fleet.store.put(GATEWAYS_PREFIX + "x", b"[]", None)
    fleet.spread()
    assert sorted(fleet.all[0].addresses) == ["g1", "g2"]


def test_the_next_process_reports_one_that_ended_by_itself_and_no_planned_stop():
    # Two gateways aborted several times, and nothing but their exit statuses showed it.
    fleet = Fleet()
    killed, stopped, older = fleet.all
    stopped.record_stop()
    older_record = b'{"address":"10.0.0.1:7002","incarnation":"1"}'
    fleet.store.put(
        GATEWAYS_PREFIX + "g2", older_record, fleet.store.objects[GATEWAYS_PREFIX + "g2"].version
    )
    with structlog.testing.capture_logs() as logs:
        started = [fleet.start(number, "2") for number in range(3)]
    assert [gateways.restarted for gateways in started] == [True] * 3
    assert [gateways.measures.counters["unplanned_ends", "gateway"] for gateways in started] == [
        1,
        0,
        0,
    ]
    found = [line for line in logs if line["event"] == "former process ended by itself"]
    assert [(line["gateway"], line["incarnation"]) for line in found] == [("g0", "1")]
    assert killed.started_ms == found[0]["started_ms"] <= found[0]["restarted_ms"]
    # A registration that is written again reports nothing more.
    started[0].apply_listing({}, 0)
    assert started[0].register()
    assert started[0].measures.counters["unplanned_ends", "gateway"] == 1
