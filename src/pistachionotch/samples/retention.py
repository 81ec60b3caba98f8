"""Deletion of old step ledgers without letting a delayed request create a step again."""

from __future__ import annotations

import attrs
from returns.result import Failure, Result, Success

from ..objects.api import ObjectStore, StoreUnavailable
from .ledger_format import from_bytes
from .request import delete_request

# Complete ledgers of the latest steps stay, so that a repeated last pull still gets its answer.
RETAINED_STEPS = 4


@attrs.frozen
class StepGone:
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
) -> Result[None, StepGone | StoreUnavailable]:
    """Refuse to create a step whose ledger may have been deleted."""
    newest = newest_step(store, trainer)
    if isinstance(newest, Failure):
        return newest
    highest = newest.unwrap()
    if highest is not None and step <= highest - RETAINED_STEPS:
        return Failure(StepGone(highest))
    return Success(None)


def prune_steps(store: ObjectStore, trainer: str) -> Result[tuple[int, ...], StoreUnavailable]:
    """Delete complete ledgers and prompts of old steps; return the step numbers.

    The deletion is conditional on the version that was read, so it never hits a ledger that
    changed since.
    """
    listed = store.list(f"steps/{trainer}/")
    if isinstance(listed, Failure):
        return listed
    ledgers = {}
    for stored in listed.unwrap():
        decoded = from_bytes(stored.value)
        if isinstance(decoded, Success):
            ledgers[stored] = decoded.unwrap()
    highest = max((ledger.plan.step for ledger in ledgers.values()), default=0)
    deleted: list[int] = []
    for stored, ledger in ledgers.items():
        if ledger.plan.step > highest - RETAINED_STEPS or not ledger.complete():
            continue
        delete_request(store, ledger.plan)
        if isinstance(store.delete(stored.key, stored.version), Success):
            deleted.append(ledger.plan.step)
    return Success(tuple(sorted(deleted)))
