"""Store a new configuration, provided that the revision the operator read is still current.

The stored body is a comment line with a writer token, followed by the operator's text. The token
makes every write unique, so that after a lost response the stored body shows whether the write
succeeded.
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
_TOKEN_LINE_PREFIX = "// writer "


@attrs.frozen
class BaseRevision:
    """The configuration that the operator read; ``revision`` is None if there was none."""

    revision: int | None
    text: str


@attrs.frozen
class ApplySuccess:
    """The revision now in effect; ``changed`` is false if the same text was in effect before."""

    revision: int
    changed: bool


@attrs.frozen
class Invalid:
    """The text has findings, or the object API refused it; nothing was applied."""

    findings: tuple[Finding, ...]


@attrs.frozen
class Conflict:
    """The revision in effect is no longer the base; ``changes`` lists what changed since.

    ``overwritten`` means that the response to this operator's write was lost, so that the write
    may have been in effect before another one replaced it.
    """

    base_revision: int | None
    current_revision: int | None
    changes: tuple[Change, ...]
    overwritten: bool = False


@attrs.frozen
class Unavailable:
    """The object API did not answer; nothing was applied."""

    reason: str


@attrs.frozen
class OutcomeUnknown:
    """The write may have taken effect, but reading it back did not settle whether it did."""

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
    """Check ``text`` and store it if ``base`` is still in effect; ``token`` must be unique.

    If ``text`` is in effect already, this succeeds without a write, so a command whose outcome
    was unknown can be repeated.
    """
    checked = check(text, file)
    if isinstance(checked, Failure):
        return Failure(Invalid(checked.failure()))
    body = f"{_TOKEN_LINE_PREFIX}{token}\n{text}".encode()
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
    if newline and first.startswith(_TOKEN_LINE_PREFIX):
        text = rest
    return BaseRevision(current.version, text)
