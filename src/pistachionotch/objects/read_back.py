"""Writes whose lost answers are settled by reading back the writer's token."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from .api import ObjectStore, StoredObject, StoreError, VersionConflict, WriteAmbiguous

# The first write and one repetition. More would hold the caller up while the store loses answers.
MAX_ATTEMPTS = 2


def put_with_read_back(
    store: ObjectStore, key: str, value: bytes, expected_version: int | None, token: str
) -> Result[StoredObject, StoreError]:
    """Write conditionally and settle a lost answer by reading the object back.

    ``value`` must contain ``token``, which no other write uses, so equal bytes prove that this
    write took effect. The write is repeated only after a read has shown that its condition still
    holds; the repetition has the same condition and token, so at most one of the two takes effect
    even when the first arrives late. ``WriteAmbiguous`` remains when the read fails or answers keep
    being lost.
    """
    if not token or token.encode() not in value:
        raise ValueError(f"the value for {key} does not carry its writer token")
    answer = store.put(key, value, expected_version)
    response_lost = False
    for attempt in range(MAX_ATTEMPTS):
        if isinstance(answer, Success):
            return answer
        error = answer.failure()
        if isinstance(error, VersionConflict):
            return _resolve_conflict(error, value, response_lost)
        if not isinstance(error, WriteAmbiguous):
            return Failure(WriteAmbiguous(str(error))) if response_lost else answer
        response_lost = True
        read = store.get(key)
        if isinstance(read, Failure):
            return answer
        current = read.unwrap()
        if not _condition_holds(current, expected_version):
            return _resolve_conflict(VersionConflict(current), value, response_lost)
        if attempt + 1 < MAX_ATTEMPTS:
            answer = store.put(key, value, expected_version)
    return answer


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
