"""Differences between two configurations of the platform, in which no client's key is shown."""

from __future__ import annotations

import json
from typing import Any

from ..config.changes import Change, flatten

# Sections whose entries are compared by name, and single ones. Values of other fields, which a
# later version of the platform may add, are not shown, since they may be secret.
NAMED_SECTIONS = ("routes", "services")
PLAIN_SECTIONS = ("version", "limits")
ACCOUNTS = "tenants"
KEYS = "api_keys"
# Fields of an account whose values are shown.
SHOWN_ACCOUNT_FIELDS = ("name", "priority")


def differences(before: dict[str, Any], after: dict[str, Any]) -> tuple[Change, ...]:
    """Return the values that differ; an empty object stands for no configuration."""
    old, new = _shown_values(before), _shown_values(after)
    changes = [
        Change(path, old.get(path), new.get(path))
        for path in old.keys() | new.keys()
        if old.get(path) != new.get(path)
    ]
    known = {*NAMED_SECTIONS, *PLAIN_SECTIONS, ACCOUNTS}
    for name in (before.keys() | after.keys()) - known:
        changes.extend(_hidden_change(name, before.get(name), after.get(name)))
    changes.extend(_account_changes(_by_name(before, ACCOUNTS), _by_name(after, ACCOUNTS)))
    return tuple(sorted(changes, key=lambda change: change.path))


def _shown_values(fields: dict[str, Any]) -> dict[str, str]:
    values: dict[str, str] = {}
    for section in NAMED_SECTIONS:
        for name, item in _by_name(fields, section).items():
            values.update(flatten(item, f"{section}[{name}]"))
    for section in PLAIN_SECTIONS:
        if section in fields:
            values.update(flatten(fields[section], section))
    return values


def _by_name(fields: dict[str, Any], section: str) -> dict[str, Any]:
    """Return the entries of a section by name; further ones of a name have a number added."""
    found: dict[str, Any] = {}
    items = fields.get(section)
    for index, item in enumerate(items if isinstance(items, list) else ()):
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str):
            name = str(index)
        found[f"{name}#{index}" if name in found else name] = item
    return found


def _account_changes(old: dict[str, Any], new: dict[str, Any]) -> list[Change]:
    changes = []
    for name in old.keys() | new.keys():
        path = f"{ACCOUNTS}[{name}]"
        if name not in old:
            changes.append(Change(path, None, _key_count(_keys(new[name]))))
            continue
        if name not in new:
            changes.append(Change(path, _key_count(_keys(old[name])), None))
            continue
        changes.extend(_changes_of_account(path, old[name], new[name]))
    return changes


def _changes_of_account(path: str, old: Any, new: Any) -> list[Change]:
    if not isinstance(old, dict) or not isinstance(new, dict):
        return _hidden_change(path, old, new)
    changes = []
    former, later = _keys(old), _keys(new)
    if former != later:
        kept = len(former & later)
        after = f"{_key_count(later)}, {len(later) - kept} added and {len(former) - kept} removed"
        changes.append(Change(f"{path}.{KEYS}", _key_count(former), after))
    for field in (old.keys() | new.keys()) - {KEYS}:
        where = f"{path}.{field}"
        if field not in SHOWN_ACCOUNT_FIELDS:
            changes.extend(_hidden_change(where, old.get(field), new.get(field)))
            continue
        before, after_value = _shown(old.get(field)), _shown(new.get(field))
        if before != after_value:
            changes.append(Change(where, before, after_value))
    return changes


def _keys(account: Any) -> set[str]:
    keys = account.get(KEYS) if isinstance(account, dict) else None
    return {json.dumps(key) for key in keys} if isinstance(keys, list) else set()


def _key_count(keys: set[str]) -> str:
    return f"{len(keys)} keys" if len(keys) != 1 else "1 key"


def _shown(value: Any) -> str | None:
    return None if value is None else json.dumps(value, ensure_ascii=False)


def _hidden_change(path: str, old: Any, new: Any) -> list[Change]:
    """Return the change of a value that is not shown."""
    if old == new:
        return []
    before = None if old is None else "(not shown)"
    return [Change(path, before, None if new is None else "(not shown)")]
