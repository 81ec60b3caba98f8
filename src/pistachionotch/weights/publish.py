"""Publishing of a model's desired version, which never decreases.

A version number always identifies the same set of weights.
"""

from __future__ import annotations

import random
from typing import Any

import attrs
import cbor2
from returns.result import Failure, Result, Success

from ..objects.api import (
    ObjectStore,
    StoredObject,
    StoreUnavailable,
    VersionConflict,
    WriteAmbiguous,
)

FORMAT = 1
TOKEN_BYTES = 8
MAX_WRITE_ROUNDS = 8


@attrs.frozen
class DesiredVersion:
    """The weights that every engine of the model should serve, identified by ``source``."""

    model: str
    version: int
    source: str


@attrs.frozen
class Published:
    """The version is the desired version, set by this or an earlier identical call."""

    desired: DesiredVersion


@attrs.frozen
class PublishRefused:
    """The version is not newer, or its number is used by other weights."""

    current: DesiredVersion
    reason: str


@attrs.frozen
class NotPublished:
    """The outcome is unknown; the same call may be repeated."""

    reason: str


PublishOutcome = Published | PublishRefused | NotPublished


def desired_key(model: str) -> str:
    """Return the object key of the desired version."""
    return f"weights/{model}"


def read_desired(store: ObjectStore, model: str) -> Result[DesiredVersion | None, StoreUnavailable]:
    """Read the desired version, or None if none was ever published."""
    read = store.get(desired_key(model))
    if isinstance(read, Failure):
        return read
    stored = read.unwrap()
    if stored is None:
        return Success(None)
    return _decode(stored)


def publish(store: ObjectStore, desired: DesiredVersion, rng: random.Random) -> PublishOutcome:
    """Make ``desired`` the desired version unless a later one is published."""
    if desired.version < 0 or not desired.model:
        raise ValueError(f"no publishable version: {desired}")
    for _ in range(MAX_WRITE_ROUNDS):
        read = store.get(desired_key(desired.model))
        if isinstance(read, Failure):
            return NotPublished(read.failure().reason)
        stored = read.unwrap()
        if stored is not None:
            known = _decode(stored)
            if isinstance(known, Failure):
                return NotPublished(known.failure().reason)
            decided = compare(known.unwrap(), desired)
            if decided is not None:
                return decided
        value = _encode(desired, rng.randbytes(TOKEN_BYTES))
        put = store.put(desired_key(desired.model), value, stored.version if stored else None)
        if isinstance(put, Success):
            return Published(desired)
        error = put.failure()
        # Reading again resolves both: the version was written, or it can be written again.
        if not isinstance(error, VersionConflict | WriteAmbiguous):
            return NotPublished(str(error))
    return NotPublished("too many writers")


def compare(current: DesiredVersion, desired: DesiredVersion) -> Published | PublishRefused | None:
    """Return the outcome, or None if ``desired`` is newer and must be written."""
    if current == desired:
        return Published(current)
    if desired.version > current.version:
        return None
    if desired.version == current.version:
        return PublishRefused(current, "this version number names other weights")
    return PublishRefused(current, f"version {current.version} is already published")


def _encode(desired: DesiredVersion, token: bytes) -> bytes:
    return cbor2.dumps([FORMAT, desired.model, desired.version, desired.source, token])


def _decode(stored: StoredObject) -> Result[DesiredVersion, StoreUnavailable]:
    try:
        fields: Any = cbor2.loads(stored.value)
        if fields[0] != FORMAT or type(fields[2]) is not int:
            return Failure(StoreUnavailable(f"{stored.key} has an unknown format"))
        return Success(DesiredVersion(fields[1], fields[2], fields[3]))
    except (cbor2.CBORDecodeError, TypeError, LookupError) as error:
        return Failure(StoreUnavailable(f"{stored.key} is unreadable: {error}"))
