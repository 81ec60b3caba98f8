"""Reading of a lease's fencing token, for processes that check the tokens of orders."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from ..objects.api import ObjectStore, StoreUnavailable
from .record import parse_lease


def read_fence(store: ObjectStore, duty: str, shard: str) -> Result[int, StoreUnavailable]:
    """Return the fence stored with the lease, the highest so far; 0 if it was never held."""
    key = f"leases/{duty}/{shard}"
    read = store.get(key)
    if isinstance(read, Failure):
        return read
    stored = read.unwrap()
    if stored is None:
        return Success(0)
    record = parse_lease(stored.value)
    if record is None:
        return Failure(StoreUnavailable(f"{key} is malformed"))
    return Success(record.fence)
