"""Removal of registrations whose VMs are gone for good."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Any

import attrs
from returns.result import Failure

from ..clock import Clock
from ..objects.api import ObjectStore, StoredObject
from .registration import MEMBERS_PREFIX

# Far beyond the lag of the VM list. An agent that lives after all registers again.
STALE_MS = 3_600_000
# A zone that was replaced as a whole leaves many at once; the store also has other writers.
MAX_DELETES_PER_SWEEP = 5


@attrs.define
class StaleRegistrationSweeper:
    """Delete registrations that an agent's VM left behind when it failed.

    An agent that drains withdraws its own; those of failed VMs would be listed forever.
    """

    store: ObjectStore
    clock: Clock
    log: Any
    absent_since_ms: dict[str, int] = attrs.field(factory=dict)

    def sweep(self, registered: Iterable[StoredObject], listed_vms: Collection[str]) -> None:
        """Delete what has been absent from the list of VMs for long."""
        if not listed_vms:
            # A list without any VM is a fault of the list.
            return
        now_ms = self.clock.now_ms()
        absent = {}
        stale_objects = []
        for stored in registered:
            node = stored.key.removeprefix(MEMBERS_PREFIX)
            if node in listed_vms:
                continue
            absent[node] = self.absent_since_ms.get(node, now_ms)
            if now_ms - absent[node] >= STALE_MS:
                stale_objects.append(stored)
        self.absent_since_ms = absent
        for stored in stale_objects[:MAX_DELETES_PER_SWEEP]:
            # On the condition of this version, so that a new registration is never deleted.
            deleted = self.store.delete(stored.key, stored.version)
            if isinstance(deleted, Failure):
                self.log.info("registration not deleted", key=stored.key)
                return
            self.log.info("registration of a lost VM deleted", key=stored.key)
