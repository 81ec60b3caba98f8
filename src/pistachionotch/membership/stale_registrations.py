"""Removal of registrations whose VMs no longer exist."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Any

import attrs
from returns.result import Failure

from ..clock import Clock
from ..objects.api import ObjectStore, StoredObject
from .registration import MEMBERS_PREFIX

# Far longer than the delay of the VM list. An agent that turns out to be alive registers again.
STALE_MS = 3_600_000
# Limits the write rate: replacing a whole zone leaves many stale registrations at once, and the
# store also serves other writers.
MAX_DELETES_PER_SWEEP = 5


@attrs.define
class StaleRegistrationSweeper:
    """Deletes the registrations of failed VMs, which would otherwise be listed forever.

    An agent that drains withdraws its own registration.
    """

    store: ObjectStore
    clock: Clock
    log: Any
    absent_since_ms: dict[str, int] = attrs.field(factory=dict)

    def sweep(self, registered: Iterable[StoredObject], listed_vms: Collection[str]) -> None:
        """Delete registrations whose VMs have been missing from the VM list for ``STALE_MS``."""
        if not listed_vms:
            # An empty VM list means that the list is faulty.
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
            # Conditional on this version, so that a newer registration is never deleted.
            deleted = self.store.delete(stored.key, stored.version)
            if isinstance(deleted, Failure):
                self.log.info("registration not deleted", key=stored.key)
                return
            self.log.info("registration of a lost VM deleted", key=stored.key)
