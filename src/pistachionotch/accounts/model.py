"""Accounts of clients and their keys; does no I/O.

Load pattern: 10,000 accounts with 5 keys each, all replaced at once by a new configuration, and one
look-up for each of some thousand requests a second, most of them by a few accounts.
"""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Iterable
from typing import Any

import attrs

DIGEST_BYTES = 16
# Keys only have to be comparable within this process. The digests of another process, or of the
# next start, do not help anybody to guess one.
_EMPTY = hashlib.blake2b(digest_size=DIGEST_BYTES, key=secrets.token_bytes(32))


@attrs.frozen
class Account:
    """A client account; ``priority`` overrides that of the routes, 0 is the highest."""

    name: str
    priority: int | None = None


@attrs.frozen
class AccountEntry:
    """One account as it was configured; the values may have any type."""

    name: Any
    keys: Any = ()
    priority: Any = None


@attrs.define
class AccountTable:
    """The accounts of one configuration version, by key and by name."""

    by_digest: dict[bytes, Account] = attrs.field(factory=dict, repr=False)
    by_name: dict[str, Account] = attrs.field(factory=dict, repr=False)

    @classmethod
    def build(cls, entries: Iterable[AccountEntry]) -> AccountTable:
        """Return the table; raises ``ValueError``, which contains no key, with the error found."""
        table = cls()
        for number, entry in enumerate(entries):
            name = entry.name
            # Names are sent in headers.
            if not isinstance(name, str) or not name.isprintable() or name.strip() != name:
                raise ValueError(f"account {number}: the name must be a printable text")
            if not name:
                raise ValueError(f"account {number}: the name is empty")
            if name in table.by_name:
                raise ValueError(f"account {number}: a second account {name[:100]!r}")
            account = Account(name, _checked_priority(number, entry.priority))
            table.by_name[name] = account
            table._add_keys(number, account, entry.keys)
        return table

    def _add_keys(self, number: int, account: Account, keys: Any) -> None:
        if not isinstance(keys, list | tuple):
            raise ValueError(f"account {number}: the keys must be a list")
        for key in keys:
            if not isinstance(key, str) or not key:
                raise ValueError(f"account {number}: a key must be a text that is not empty")
            if self.by_digest.setdefault(_digest(key), account) is not account:
                raise ValueError(f"account {number}: one of its keys belongs to another one")

    def find(self, key: str) -> Account | None:
        """Return the account that a key belongs to."""
        return self.by_digest.get(_digest(key))

    def named(self, name: str) -> Account | None:
        """Return the account of this name."""
        return self.by_name.get(name)


def _checked_priority(number: int, priority: Any) -> int | None:
    if priority is None:
        return None
    if isinstance(priority, float) and priority.is_integer():
        priority = int(priority)
    if isinstance(priority, bool) or not isinstance(priority, int) or priority < 0:
        raise ValueError(f"account {number}: the priority must be an integer from 0")
    return priority


def _digest(key: str) -> bytes:
    # JSON may contain lone surrogates.
    digest = _EMPTY.copy()
    digest.update(key.encode("utf-8", "surrogatepass"))
    return digest.digest()
