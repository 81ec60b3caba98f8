"""Guards against too many directory writes for joins, delayed departures and full VM list reads."""

import random
from unittest import mock

import pytest

from pistachionotch.clock import ManualClock
from pistachionotch.entry.duties import ABSENCE_TIMEOUT_MS, STEP_INTERVAL_MS, DirectoryDuty
from pistachionotch.lease.lease import Lease
from pistachionotch.logs import logger
from pistachionotch.membership.directory import MemberState, decode_members
from pistachionotch.membership.registration import MEMBERS_PREFIX, encode_registration
from pistachionotch.membership.stale_registrations import STALE_MS
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.objects.vms import MAX_AGE_MS, HttpVmList
from pistachionotch.standins.http import start_server
from pistachionotch.standins.vm_list import VmListStandIn
from tests.unit.membership.test_directory import make_member

HOST = "127.0.0.1"
PRESENT = 60


class Zone:
    def __init__(self):
        self.clock, self.store, self.app = ManualClock(), MemoryStore(), VmListStandIn()
        self.server = start_server(self.app, HOST, 0)
        vms = HttpVmList(HOST, self.server.server_port, self.clock)
        lease = Lease(self.store, self.clock, "directory", "cebu", "e", 6000, random.Random(1))
        self.duty = DirectoryDuty("cebu", self.store, vms, lease, self.clock, logger("directory"))
        self.nodes = [f"agent-{number}" for number in range(PRESENT)]
        for node in self.nodes:
            self.register(node)

    def register(self, node):
        value = encode_registration(make_member(node), "token")
        self.store.put(MEMBERS_PREFIX + node, value, None).unwrap()
        self.app.vms.append({"name": node, "state": "live"})

    def directory_after(self, ms=STEP_INTERVAL_MS):
        for _ in range(ms // STEP_INTERVAL_MS):
            self.clock.advance(STEP_INTERVAL_MS)
            self.duty.step()
        stored = self.store.get("control/directory/cebu").unwrap()
        return {member.node: member.state for member in decode_members(stored.value)}


@pytest.fixture
def zone():
    zone = Zone()
    yield zone
    zone.server.stop(timeout=0)


def test_joins_are_rate_limited_but_departures_are_written_at_once(zone):
    assert zone.directory_after().keys() == set(zone.nodes)
    zone.register("late-1")
    assert "late-1" not in zone.directory_after()
    zone.app.vms[0]["state"] = "leaving"
    found = zone.directory_after()
    assert found["agent-0"] is MemberState.LEAVING
    assert "late-1" in found
    zone.register("late-2")
    assert "late-2" not in zone.directory_after()
    assert "late-2" in zone.directory_after(4000)


def test_vm_that_stays_absent_is_removed_although_nothing_else_changes(zone):
    zone.directory_after()
    del zone.app.vms[0]
    assert "agent-0" in zone.directory_after(ABSENCE_TIMEOUT_MS)
    assert "agent-0" not in zone.directory_after(2 * STEP_INTERVAL_MS)


def test_registration_of_an_absent_vm_is_deleted_eventually(zone):
    # Guards against a list of registrations that grows with each failed VM.
    zone.directory_after()
    del zone.app.vms[0]
    key = MEMBERS_PREFIX + "agent-0"
    zone.directory_after(STALE_MS)
    assert zone.store.get(key).unwrap() is not None
    zone.directory_after(2 * STEP_INTERVAL_MS)
    assert zone.store.get(key).unwrap() is None


def test_empty_vm_list_removes_no_member(zone):
    zone.directory_after()
    zone.app.vms.clear()
    assert zone.directory_after(2 * ABSENCE_TIMEOUT_MS).keys() == set(zone.nodes)


def test_unchanged_vm_list_is_cached_and_revalidated_by_its_etag(zone):
    """Reading a list of 1,100 VMs in full for the duties of nine zones would take 800 KB/s."""
    vms = zone.duty.vms
    first = vms.read()
    assert vms.read() is first
    zone.clock.advance(MAX_AGE_MS)
    assert vms.read() is first
    assert zone.app.not_modified == 1
    zone.app.vms[0]["state"] = "leaving"
    zone.clock.advance(MAX_AGE_MS)
    assert vms.read()["agent-0"] is MemberState.LEAVING


def test_duties_share_one_read_of_an_unresponsive_vm_list():
    """If each of three duties waited for a read of its own, their leases of 6 s would expire."""
    clock, calls = ManualClock(), []
    vms = HttpVmList(HOST, 1, clock)

    def hang():
        calls.append(clock.now_ms())
        clock.advance(4000)
        raise TimeoutError

    with mock.patch.object(HttpVmList, "_fetch", side_effect=hang):
        assert [vms.read() for _ in range(3)] == [None] * 3
    assert len(calls) == 1
