"""Decides whether a request may pass, and whose batches it addresses; does no I/O.

Load pattern: keys are added and removed while clients send requests on open connections, and some
gateways learn of a change seconds later than others. A client gives up after a refusal for good, so
a gateway that may have an outdated configuration asks the client to try again instead.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Sequence

import attrs

from .model import Account, AccountTable

# A change is in force everywhere this long after it was stored, so a configuration that was
# confirmed later than this ago contains all keys that clients may rely on.
CURRENT_MS = 4_000
# Time from the decision about a request until an upstream gets it, kept from the time for which a
# removed key may still be used.
REVOCATION_MARGIN_MS = 500
# Configurations are read each second; the next one has probably arrived after this delay.
RETRY_MS = 500
# Longer keys are refused without being hashed.
MAX_KEY_CHARACTERS = 4_096
# Printable ASCII without spaces; the scheme is case-insensitive.
_CREDENTIAL = re.compile(r"bearer +([\x21-\x7e]+)", re.IGNORECASE)
SCOPE_BYTES = 16
_SCOPED = re.compile(rf".*\.[0-9a-f]{{{2 * SCOPE_BYTES}}}", re.DOTALL)


@attrs.frozen
class Granted:
    """The request may pass; ``account`` is None if it has none on a public route."""

    account: Account | None


@attrs.frozen
class Denied:
    """The request is refused for good."""

    reason: str


@attrs.frozen
class Uncertain:
    """The request is refused now, because this gateway may not know the keys in force."""

    reason: str
    retry_after_ms: int


Access = Granted | Denied | Uncertain


def check_access(
    table: AccountTable,
    authorization_values: Sequence[str],
    public: bool,
    confirmed_ms_ago: int | None,
    strict_limit_ms: int,
    addresses_batch: bool = False,
) -> Access:
    """Return whether a request may pass.

    ``confirmed_ms_ago`` says since when the configuration has not been confirmed, None if it never
    was. Longer than ``strict_limit_ms`` (0: no limit), less a margin, no key is accepted.
    ``addresses_batch`` tells that a batch is submitted, read or ended. It belongs to the account of
    the key, which a newer configuration may contain.
    """
    key, reason = _read_key(authorization_values)
    account = table.find(key) if key else None
    if account is not None:
        limit_ms = strict_limit_ms - REVOCATION_MARGIN_MS
        if strict_limit_ms and (confirmed_ms_ago is None or confirmed_ms_ago > limit_ms):
            return Uncertain("the key may have been removed", RETRY_MS)
        return Granted(account)
    outdated = confirmed_ms_ago is None or confirmed_ms_ago > CURRENT_MS
    if public and not (addresses_batch and key and outdated):
        return Granted(None)
    if outdated:
        return Uncertain("the configuration may be outdated", RETRY_MS)
    return Denied(reason or "unknown key")


def _read_key(values: Sequence[str]) -> tuple[str, str]:
    """Return the key, or why there is none."""
    if not values:
        return "", "no credential"
    if len(values) > 1:
        return "", "more than one credential"
    if len(values[0]) > MAX_KEY_CHARACTERS:
        return "", "the credential is too long"
    match = _CREDENTIAL.fullmatch(values[0].strip(" \t"))
    return (match[1], "") if match else ("", "malformed credential")


def can_be_presented(key: str) -> bool:
    """Return whether a request can carry a key, so that its account is found."""
    return _read_key([f"Bearer {key}"])[0] == key


def scoped_batch_id(account: str, batch_id: str) -> str:
    """Return the internal id of a batch, which differs between accounts."""
    if not account:
        return batch_id
    digest = hashlib.blake2b(account.encode(), digest_size=SCOPE_BYTES).hexdigest()
    return f"{batch_id}.{digest}"


def client_batch_id(internal_id: str) -> str:
    """Return the id that the client gave a batch."""
    return internal_id.rpartition(".")[0] if is_scoped(internal_id) else internal_id


def is_scoped(batch_id: str) -> bool:
    """Return whether an id looks like the internal one of an account's batch."""
    return _SCOPED.fullmatch(batch_id) is not None
