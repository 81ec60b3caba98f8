"""Conditional writes that resolve an ambiguous outcome by reading the object back."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from .api import (
    ObjectStore,
    StoredObject,
    StoreError,
    StoreRejected,
    VersionConflict,
    WriteAmbiguous,
)

# The first write and one retry. More would delay the caller while the store loses responses.
MAX_ATTEMPTS = 2


def put_with_read_back(
    store: ObjectStore, key: str, value: bytes, expected_version: int | None, token: str
) -> Result[StoredObject, StoreError]:
    """Write conditionally; after a lost response, read the object back to learn the outcome.

    ``value`` must contain ``token``, which no other write uses, so an object with the same bytes
    proves that this write was applied. The write is retried only after a read has shown that its
    condition still holds. The retry has the same condition and token, so at most one of the two is
    applied even if the first arrives late. Return ``WriteAmbiguous`` if the read fails or responses
    keep getting lost.
    """
    if not token or token.encode() not in value:
        raise ValueError(f"the value for {key} does not contain its writer token")
    result = store.put(key, value, expected_version)
    response_lost = False
    for attempt in range(MAX_ATTEMPTS):
        if isinstance(result, Success):
            return result
        error = result.failure()
        if isinstance(error, VersionConflict):
            return _resolve_conflict(error, value, response_lost)
        if isinstance(error, StoreRejected):
            # The first attempt had the same value, so it was rejected too.
            return result
        if not isinstance(error, WriteAmbiguous):
            return Failure(WriteAmbiguous(str(error))) if response_lost else result
        response_lost = True
        read = store.get(key)
        if isinstance(read, Failure):
            return result
        current = read.unwrap()
        if not _condition_holds(current, expected_version):
            return _resolve_conflict(VersionConflict(current), value, response_lost)
        if attempt + 1 < MAX_ATTEMPTS:
            result = store.put(key, value, expected_version)
    return result


def _condition_holds(current: StoredObject | None, expected_version: int | None) -> bool:
    version = None if current is None else current.version
    return version == expected_version


def _resolve_conflict(
    conflict: VersionConflict, value: bytes, response_lost: bool
) -> Result[StoredObject, StoreError]:
    current = conflict.current
    if current is not None and current.value == value:
        return Success(current)
    return Failure(VersionConflict(current, own_write_ambiguous=response_lost))
