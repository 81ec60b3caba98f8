"""Leased duties of entries: the directory of one availability zone, and old claims."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure

from ..clock import Clock
from ..idempotency.cleanup import ClaimCleaner
from ..lease.lease import Lease
from ..membership.directory import Member, MemberState, encode_members
from ..membership.registration import MEMBERS_PREFIX, decode_registration
from ..objects.api import ObjectStore, StoredObject
from ..objects.follow import FollowedPrefix
from ..objects.vms import VmList
from .control import DIRECTORY_PREFIX

STEP_MS = 1000
# A VM missing from the lagging list for this long is taken out of the directory.
ABSENT_MS = 120_000


@attrs.frozen
class ClaimCleanup:
    """Delete claims whose retention has passed; one entry of the deployment does it."""

    cleaner: ClaimCleaner
    lease: Lease
    clock: Clock
    log: Any
    retention_ms: Callable[[], int | None]

    def run(self) -> None:
        """Hold the lease if possible and clean while it is held."""
        while True:
            self.lease.step()
            retention_ms = self.retention_ms()
            # Without a configuration nobody has agreed on a retention, so nothing is deleted.
            if self.lease.held() and retention_ms is not None:
                self.cleaner.retention_ms = retention_ms
                deleted = self.cleaner.step()
                if deleted:
                    self.log.info("claims deleted", count=deleted)
            self.clock.sleep_ms(STEP_MS)


@attrs.define
class DirectoryDuty:
    """Merge registrations and the VM list into the directory object of one zone."""

    zone: str
    store: ObjectStore
    vms: VmList
    lease: Lease
    clock: Clock
    log: Any
    period_ms: int = STEP_MS
    registered_zones: set[str] = attrs.field(factory=set)
    absent_since_ms: dict[str, int] = attrs.field(factory=dict)
    registrations: FollowedPrefix = attrs.field(init=False)
    published: FollowedPrefix = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        # Listing 1,100 registrations every second would take about 400 KB/s.
        self.registrations = FollowedPrefix(self.store, MEMBERS_PREFIX)
        self.published = FollowedPrefix(self.store, DIRECTORY_PREFIX + self.zone)

    def run(self) -> None:
        """Hold the lease if possible and publish while it is held."""
        while True:
            self.lease.step()
            if self.lease.held():
                self.publish()
            self.clock.sleep_ms(self.period_ms)

    def publish(self) -> None:
        """Write the directory if it changed; a lost race is repaired in the next period."""
        registered = self.registrations.refresh()
        listed = self.vms.read()
        if not registered:
            return
        members = self._members(tuple(self.registrations.objects.values()), listed)
        key = DIRECTORY_PREFIX + self.zone
        # A past holder's late write must be seen as well, so this is read in each period.
        if not self.published.refresh():
            return
        current: StoredObject | None = self.published.objects.get(key)
        value = encode_members(members)
        if current is not None and current.value == value:
            return
        # The lease may have lapsed during the reads; a late write is still conditional.
        if not self.lease.held():
            return
        written = self.store.put(key, value, current.version if current else None)
        if isinstance(written, Failure):
            self.log.info("directory not written", zone=self.zone, reason=str(written.failure()))
            return
        self.log.info("directory written", zone=self.zone, members=len(members))

    def _members(
        self, registered: tuple[StoredObject, ...], listed: dict[str, MemberState] | None
    ) -> list[Member]:
        members = []
        for stored in registered:
            member = decode_registration(stored.value)
            if member is None:
                continue
            self.registered_zones.add(member.zone)
            if member.zone != self.zone:
                continue
            state = self._state(member.node, listed)
            if state is None:
                continue
            members.append(attrs.evolve(member, state=state))
        return members

    def _state(self, node: str, listed: dict[str, MemberState] | None) -> MemberState | None:
        if listed is None:
            return MemberState.LIVE
        if node in listed:
            self.absent_since_ms.pop(node, None)
            return listed[node]
        since_ms = self.absent_since_ms.setdefault(node, self.clock.now_ms())
        if self.clock.now_ms() - since_ms > ABSENT_MS:
            return None
        return MemberState.LIVE
