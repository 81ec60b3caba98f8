"""Reader of what operator, servers and trainers keep in the platform's store."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs
from returns.result import Result

from ..gateway.catalog import Catalog
from ..gateway.upstreams import UpstreamRecord
from ..malformed import MALFORMED
from ..measures import Measures
from ..objects.api import StoredObject, StoreError
from ..objects.odd_objects import OddObjects
from .decode import (
    CONFIG_KEY,
    CONFIG_PREFIX,
    RETIREMENTS_PREFIX,
    SERVERS_PREFIX,
    VERSIONS_PREFIX,
    read_catalog,
    read_named_version,
    read_upstream,
)
from .store import PlatformStore

T = TypeVar("T")


@attrs.define
class PlatformListings:
    """Implement ``Listings`` for the platform's kinds of objects."""

    store: PlatformStore
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    odd: OddObjects = attrs.field(init=False)
    catalog_prefix: str = CONFIG_PREFIX
    upstreams_prefix: str = SERVERS_PREFIX
    versions_prefix: str = VERSIONS_PREFIX
    # The platform calls the request to evacuate a VM a "retirement".
    evacuations_prefix: str = RETIREMENTS_PREFIX

    def __attrs_post_init__(self) -> None:
        self.odd = OddObjects(self.log, self.measures)

    def catalog(self, objects: Mapping[str, StoredObject]) -> Catalog | None:
        """Return the configuration, or None if it is missing or unreadable."""
        stored = objects.get(CONFIG_KEY)
        catalog = None if stored is None else self._read(read_catalog, stored)
        if stored is None or catalog is None:
            return None
        found = {f"{CONFIG_KEY}/{place}": error for place, error in catalog.findings.items()}
        self.odd.keep(f"{CONFIG_KEY}/", found.keys())
        for key, error in found.items():
            self.odd.report(key, stored.version, error)
        return catalog

    def upstreams(self, objects: Mapping[str, StoredObject]) -> list[UpstreamRecord]:
        """Return the registrations of usable servers; others are skipped."""
        self.odd.keep(SERVERS_PREFIX, objects.keys())
        records = (self._read(read_upstream, stored) for stored in objects.values())
        return [record for record in records if record is not None]

    def versions(self, objects: Mapping[str, StoredObject]) -> dict[str, int]:
        """Return the newest named weight version of each model."""
        named = (self._read(read_named_version, stored) for stored in objects.values())
        return dict(pair for pair in named if pair is not None)

    def confirm_evacuation(self, key: str) -> Result[StoredObject, StoreError]:
        """Report to the operator that a VM with a disk holds no data that would be lost."""
        return self.store.put_status(key, {"state": "done"})

    def _read(self, read: Callable[[StoredObject], T], stored: StoredObject) -> T | None:
        try:
            found = read(stored)
        except MALFORMED as error:
            self.odd.report(stored.key, stored.version, error)
            return None
        self.odd.forget(stored.key)
        return found
