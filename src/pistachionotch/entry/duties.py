"""Leased duties of entries: the directory of an availability zone, and cleanup of old claims."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure

from ..clock import MS_PER_SECOND, Clock
from ..idempotency.cleanup import ClaimCleaner
from ..lease.lease import Lease
from ..membership.directory import Member, MemberState, decode_members, encode_members
from ..membership.registration import MEMBERS_PREFIX, decode_registration
from ..membership.stale_registrations import StaleRegistrationSweeper
from ..objects.api import ObjectStore, StoredObject
from ..objects.cache import ObjectCache
from ..objects.vms import VmList
from .control import DIRECTORY_PREFIX

STEP_INTERVAL_MS = 1000
# A VM that has been missing from the delayed VM list for this long is removed from the directory.
ABSENCE_TIMEOUT_MS = 120_000
# Limits the average rate of directory writes that only add members, because each write is sent to
# all entries. For a zone of 122 agents, a write is 22 KB, so joins wait up to 5.5 s; for up to 22
# agents they wait less than 1 s.
MAX_JOIN_BYTES_PER_S = 4096


@attrs.frozen
class ClaimCleanup:
    """Deletes claims after their retention time, at one entry of the deployment."""

    cleaner: ClaimCleaner
    lease: Lease
    clock: Clock
    log: Any
    retention_ms: Callable[[], int | None]

    def run(self) -> None:
        """Try to hold the lease, and delete expired claims while it is held."""
        while True:
            self.lease.step()
            retention_ms = self.retention_ms()
            # The retention time comes from the configuration; without one, nothing is deleted.
            if self.lease.held() and retention_ms is not None:
                self.cleaner.retention_ms = retention_ms
                deleted = self.cleaner.step()
                if deleted:
                    self.log.info("claims deleted", count=deleted)
            self.clock.sleep_ms(STEP_INTERVAL_MS)


@attrs.define
class DirectoryDuty:
    """Merges registrations and the VM list into the directory object of one zone."""

    zone: str
    store: ObjectStore
    vms: VmList
    lease: Lease
    clock: Clock
    log: Any
    period_ms: int = STEP_INTERVAL_MS
    registered_zones: set[str] = attrs.field(factory=set)
    absent_since_ms: dict[str, int] = attrs.field(factory=dict)
    decoded: dict[str, tuple[int, Member | None]] = attrs.field(factory=dict)
    # Inputs of the last comparison that found the published directory up to date.
    published_inputs: tuple[Any, ...] = ()
    written_ms: int | None = None
    registrations: ObjectCache = attrs.field(init=False)
    published: ObjectCache = attrs.field(init=False)
    stale_sweeper: StaleRegistrationSweeper = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        # Caches, because listing 1,100 registrations every second would transfer about 400 KB/s.
        self.registrations = ObjectCache(self.store, MEMBERS_PREFIX)
        self.published = ObjectCache(self.store, DIRECTORY_PREFIX + self.zone)
        self.stale_sweeper = StaleRegistrationSweeper(self.store, self.clock, self.log)

    def run(self) -> None:
        """Try to hold the lease, and publish the directory while it is held."""
        while True:
            self.step()
            self.clock.sleep_ms(self.period_ms)

    def step(self) -> None:
        """Run one period: renew the lease, publish the directory and delete stale registrations."""
        self.lease.step()
        if self.lease.held():
            self.publish()
            self._sweep()

    def publish(self) -> None:
        """Write the directory if it changed; a write conflict is resolved in the next period."""
        registered = self.registrations.refresh()
        # An empty VM list means that the list is faulty; using it would remove all members.
        listed = self.vms.read() or None
        # Read in every period, to detect a delayed write by a former lease holder.
        if not registered or not self.published.refresh():
            return
        inputs = (
            self.registrations.change_count,
            self.published.change_count,
            listed,
            self._expired_absences(),
        )
        if inputs == self.published_inputs:
            return
        members = self._members(tuple(self.registrations.objects.values()), listed)
        key = DIRECTORY_PREFIX + self.zone
        current: StoredObject | None = self.published.objects.get(key)
        value = encode_members(members)
        if current is not None and current.value == value:
            self.published_inputs = inputs
            return
        if current is not None and self._can_defer(current.value, members, len(value)):
            return
        # The lease may have expired during the reads. A write after expiry is still conditional.
        if not self.lease.held():
            return
        written = self.store.put(key, value, current.version if current else None)
        if isinstance(written, Failure):
            self.log.info("directory not written", zone=self.zone, reason=str(written.failure()))
            return
        self.written_ms = self.clock.now_ms()
        self.log.info("directory written", zone=self.zone, members=len(members))

    def _sweep(self) -> None:
        """Delete registrations of this zone whose VMs have been absent for a long time."""
        if not self.absent_since_ms:
            return
        listed = self.vms.read()
        if listed is None:
            return
        own = []
        for key, (_version, member) in self.decoded.items():
            stored = self.registrations.objects.get(key)
            if member is not None and member.zone == self.zone and stored is not None:
                own.append(stored)
        self.stale_sweeper.sweep(own, listed)

    def _can_defer(self, published: bytes, members: list[Member], size: int) -> bool:
        """Return whether to defer a change that only adds members, to limit the write rate."""
        if self.written_ms is None:
            return False
        if self.clock.now_ms() - self.written_ms >= size * MS_PER_SECOND // MAX_JOIN_BYTES_PER_S:
            return False
        try:
            return set(decode_members(published)) <= set(members)
        except ValueError:
            return False

    def _members(
        self, registered: tuple[StoredObject, ...], listed: dict[str, MemberState] | None
    ) -> list[Member]:
        members = []
        for stored in registered:
            member = self._decode(stored)
            if member is None:
                continue
            self.registered_zones.add(member.zone)
            if member.zone != self.zone:
                continue
            state = self._state(member.node, listed)
            if state is None:
                continue
            members.append(attrs.evolve(member, state=state))
        for key in self.decoded.keys() - self.registrations.objects.keys():
            del self.decoded[key]
        return members

    def _expired_absences(self) -> frozenset[str]:
        for node in self.absent_since_ms.keys() - self._registered_nodes():
            del self.absent_since_ms[node]
        limit_ms = self.clock.now_ms() - ABSENCE_TIMEOUT_MS
        return frozenset(node for node, since in self.absent_since_ms.items() if since < limit_ms)

    def _registered_nodes(self) -> set[str]:
        return {key.removeprefix(MEMBERS_PREFIX) for key in self.registrations.objects}

    def _decode(self, stored: StoredObject) -> Member | None:
        # Cached, because decoding 80 registrations per second took 15 % of an entry's CPU time.
        version, member = self.decoded.get(stored.key, (-1, None))
        if version != stored.version:
            member = decode_registration(stored.value)
            self.decoded[stored.key] = (stored.version, member)
        return member

    def _state(self, node: str, listed: dict[str, MemberState] | None) -> MemberState | None:
        if listed is None:
            return MemberState.LIVE
        if node in listed:
            self.absent_since_ms.pop(node, None)
            return listed[node]
        since_ms = self.absent_since_ms.setdefault(node, self.clock.now_ms())
        if self.clock.now_ms() - since_ms > ABSENCE_TIMEOUT_MS:
            return None
        return MemberState.LIVE
