"""Putting a configuration into effect, conditional on the revision that the operator read.

The stored body is the operator's text below one comment line with a writer token. The token makes
every write distinct, so a lost response is resolved by reading the body back.
"""

from __future__ import annotations

from typing import TypeAlias

import attrs
from returns.result import Failure, Result, Success

from ..findings import Finding, Place
from ..objects.api import (
    ObjectStore,
    StoredObject,
    StoreError,
    StoreRejected,
    StoreUnavailable,
    VersionConflict,
)
from ..objects.read_back import put_with_read_back
from .changes import Change, changes_between
from .check import check
from .located import MAX_INPUT_BYTES

CONFIGURATION_KEY = "control/config"
_TOKEN_LINE = "// writer "


@attrs.frozen
class BaseRevision:
    """Hold what the operator read; revision None means that there was no configuration."""

    revision: int | None
    text: str


@attrs.frozen
class ApplySuccess:
    """Report the revision now in effect; ``changed`` is false if it was in effect before."""

    revision: int
    changed: bool


@attrs.frozen
class Invalid:
    """Report the findings; nothing was applied."""

    findings: tuple[Finding, ...]


@attrs.frozen
class Conflict:
    """Report that another operator was first, and what changed since the base.

    ``overwritten`` means that the response to the own write was lost, so that it may have been in
    effect before the other one.
    """

    base_revision: int | None
    current_revision: int | None
    changes: tuple[Change, ...]
    overwritten: bool = False


@attrs.frozen
class Unavailable:
    """Report that the object API did not answer; nothing was applied."""

    reason: str


@attrs.frozen
class OutcomeUnknown:
    """Report that the write may have taken effect and could not be read back."""

    reason: str


ApplyError: TypeAlias = Invalid | Conflict | Unavailable | OutcomeUnknown


def fetch(store: ObjectStore) -> Result[BaseRevision, Unavailable]:
    """Return the configuration in effect as the base of a change."""
    read = store.get(CONFIGURATION_KEY)
    if isinstance(read, Failure):
        return Failure(Unavailable(read.failure().reason))
    return Success(_base_of(read.unwrap()))


def apply(
    store: ObjectStore, text: str, file: str, base: BaseRevision, token: str
) -> Result[ApplySuccess, ApplyError]:
    """Check ``text`` and store it if ``base`` is still in effect; ``token`` is used only once.

    A text that is in effect already is no conflict, so repeating a command whose outcome was
    unknown settles it.
    """
    checked = check(text, file)
    if isinstance(checked, Failure):
        return Failure(Invalid(checked.failure()))
    body = f"{_TOKEN_LINE}{token}\n{text}".encode()
    if len(body) > MAX_INPUT_BYTES:
        return Failure(_invalid(file, f"stored body larger than {MAX_INPUT_BYTES} bytes"))
    read = store.get(CONFIGURATION_KEY)
    if isinstance(read, Failure):
        return Failure(Unavailable(read.failure().reason))
    current = _base_of(read.unwrap())
    if current.revision is not None and current.text == text:
        return Success(ApplySuccess(current.revision, changed=False))
    if current.revision != base.revision:
        return Failure(_conflict(base, current))
    written = put_with_read_back(store, CONFIGURATION_KEY, body, base.revision, token)
    if isinstance(written, Failure):
        return Failure(_apply_error(written.failure(), file, base))
    return Success(ApplySuccess(written.unwrap().version, changed=True))


def _apply_error(error: StoreError, file: str, base: BaseRevision) -> ApplyError:
    if isinstance(error, VersionConflict):
        return _conflict(base, _base_of(error.current), error.own_write_ambiguous)
    if isinstance(error, StoreUnavailable):
        return Unavailable(error.reason)
    if isinstance(error, StoreRejected):
        return _invalid(file, f"refused by the object API: {error.status} {error.reason}")
    return OutcomeUnknown(str(error))


def _conflict(base: BaseRevision, current: BaseRevision, overwritten: bool = False) -> Conflict:
    changes = changes_between(base.text, current.text)
    return Conflict(base.revision, current.revision, changes, overwritten)


def _invalid(file: str, message: str) -> Invalid:
    return Invalid((Finding(Place(file), message),))


def _base_of(current: StoredObject | None) -> BaseRevision:
    if current is None:
        return BaseRevision(None, "")
    text = current.value.decode(errors="replace")
    first, newline, rest = text.partition("\n")
    if newline and first.startswith(_TOKEN_LINE):
        text = rest
    return BaseRevision(current.version, text)
