"""Deletion of old step ledgers such that a delayed request cannot create their steps again."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
from returns.result import Failure, Result, Success

from ..lease.record import parse_lease
from ..objects.api import ObjectStore, StoredObject, StoreUnavailable
from .ledger import StepLedger, StepPlan
from .ledger_format import from_bytes
from .parts import PARTS_PREFIX, lease_key, same_step
from .request import delete_request

# The ledgers of the latest steps are retained even if complete, to answer a repeated last pull.
RETAINED_STEPS = 4


@attrs.frozen
class StepExpired:
    """The step is so old that its ledger may have been deleted."""

    newest_step: int


def newest_step(store: ObjectStore, trainer: str) -> Result[int | None, StoreUnavailable]:
    """Return the highest step number of a trainer; its ledger is never deleted."""
    listed = store.list(f"steps/{trainer}/")
    if isinstance(listed, Failure):
        return listed
    numbers = [stored.key.rpartition("/")[2] for stored in listed.unwrap()]
    return Success(max((int(number) for number in numbers if number.isdigit()), default=None))


def check_creatable(
    store: ObjectStore, trainer: str, step: int
) -> Result[None, StepExpired | StoreUnavailable]:
    """Return a failure for a step whose ledger may have been deleted."""
    newest = newest_step(store, trainer)
    if isinstance(newest, Failure):
        return newest
    highest = newest.unwrap()
    if highest is not None and step <= highest - RETAINED_STEPS:
        return Failure(StepExpired(highest))
    return Success(None)


def prune_steps(store: ObjectStore, trainer: str) -> Result[tuple[int, ...], StoreUnavailable]:
    """Delete the ledgers, leases and prompts of old complete steps; return the step numbers.

    Part 0 is deleted first, so that no existing step lacks a part. Parts of old steps that were
    left by an abandoned opening are deleted, too. Each deletion is conditional on the version that
    was read, so it never removes a ledger that has changed since.
    """
    listed = _list_ledgers(store, f"steps/{trainer}/")
    if isinstance(listed, Failure):
        return listed
    listed_parts = _list_ledgers(store, f"{PARTS_PREFIX}{trainer}/")
    if isinstance(listed_parts, Failure):
        return listed_parts
    steps, parts = listed.unwrap(), listed_parts.unwrap()
    highest = max((ledger.plan.step for ledger in steps.values()), default=0)
    deleted: list[int] = []
    retained: dict[int, StepPlan] = {}
    for stored, ledger in steps.items():
        plan = ledger.plan
        others = [other for other in parts.values() if same_step(plan, other.plan)]
        complete = all(part.complete() for part in (ledger, *others))
        if plan.step > highest - RETAINED_STEPS or not complete:
            retained[plan.step] = plan
            continue
        delete_request(store, plan)
        if _delete_ledger(store, stored, plan):
            deleted.append(plan.step)
            continue
        retained[plan.step] = plan
    _prune_parts(store, parts, retained, highest)
    return Success(tuple(sorted(deleted)))


def _prune_parts(
    store: ObjectStore,
    parts: Mapping[StoredObject, StepLedger],
    retained: Mapping[int, StepPlan],
    highest: int,
) -> None:
    """Delete parts of old steps for which no matching part 0 exists."""
    for stored, ledger in parts.items():
        plan = ledger.plan
        step = retained.get(plan.step)
        if plan.step > highest - RETAINED_STEPS or (step is not None and same_step(plan, step)):
            continue
        if step is None:
            delete_request(store, plan)
        _delete_ledger(store, stored, plan)


def _delete_ledger(store: ObjectStore, stored: StoredObject, plan: StepPlan) -> bool:
    """Delete a ledger and then its lease, unless the lease is held."""
    if isinstance(store.delete(stored.key, stored.version), Failure):
        return False
    lease = store.get(lease_key(plan)).value_or(None)
    record = None if lease is None else parse_lease(lease.value)
    if lease is not None and record is not None and not record.session:
        store.delete(lease.key, lease.version)
    return True


def _list_ledgers(
    store: ObjectStore, prefix: str
) -> Result[dict[StoredObject, StepLedger], StoreUnavailable]:
    """Return the ledgers under a prefix, without the corrupt ones."""
    listed = store.list(prefix)
    if isinstance(listed, Failure):
        return listed
    found = {}
    for stored in listed.unwrap():
        decoded = from_bytes(stored.value)
        if isinstance(decoded, Success):
            found[stored] = decoded.unwrap()
    return Success(found)
