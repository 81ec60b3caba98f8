"""Deletion of old step ledgers without letting a delayed request create a step again."""

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

# Complete ledgers of the latest steps stay, so that a repeated last pull still gets its answer.
RETAINED_STEPS = 4


@attrs.frozen
class StepExpired:
    """The step number lies so far back that its ledger may have been deleted."""

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
    """Refuse to create a step whose ledger may have been deleted."""
    newest = newest_step(store, trainer)
    if isinstance(newest, Failure):
        return newest
    highest = newest.unwrap()
    if highest is not None and step <= highest - RETAINED_STEPS:
        return Failure(StepExpired(highest))
    return Success(None)


def prune_steps(store: ObjectStore, trainer: str) -> Result[tuple[int, ...], StoreUnavailable]:
    """Delete complete ledgers, leases and prompts of old steps; return the step numbers.

    Part 0 goes first, so that a step never lacks a part. What an opening that was given up left of
    an old step goes as well. Each deletion is conditional on the version that was read, so it never
    hits a ledger that changed since.
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
    kept: dict[int, StepPlan] = {}
    for stored, ledger in steps.items():
        plan = ledger.plan
        others = [other for other in parts.values() if same_step(plan, other.plan)]
        complete = all(part.complete() for part in (ledger, *others))
        if plan.step > highest - RETAINED_STEPS or not complete:
            kept[plan.step] = plan
            continue
        delete_request(store, plan)
        if _delete_ledger(store, stored, plan):
            deleted.append(plan.step)
            continue
        kept[plan.step] = plan
    _prune_parts(store, parts, kept, highest)
    return Success(tuple(sorted(deleted)))


def _prune_parts(
    store: ObjectStore,
    parts: Mapping[StoredObject, StepLedger],
    kept: Mapping[int, StepPlan],
    highest: int,
) -> None:
    """Delete the parts of old steps whose part 0 does not exist."""
    for stored, ledger in parts.items():
        plan = ledger.plan
        step = kept.get(plan.step)
        if plan.step > highest - RETAINED_STEPS or (step is not None and same_step(plan, step)):
            continue
        if step is None:
            delete_request(store, plan)
        _delete_ledger(store, stored, plan)


def _delete_ledger(store: ObjectStore, stored: StoredObject, plan: StepPlan) -> bool:
    """Delete a ledger and then its lease, unless somebody holds that."""
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
    """Return the readable ledgers under a prefix."""
    listed = store.list(prefix)
    if isinstance(listed, Failure):
        return listed
    found = {}
    for stored in listed.unwrap():
        decoded = from_bytes(stored.value)
        if isinstance(decoded, Success):
            found[stored] = decoded.unwrap()
    return Success(found)
