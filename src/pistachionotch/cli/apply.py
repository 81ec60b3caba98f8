"""Commands that read and change the configuration in effect: ``fetch`` and ``apply``.

The base of a change, which is the revision and text that the operator read, is kept in a file
beside the configuration. Without it ``apply`` could not tell what another operator has changed
since.
"""

from __future__ import annotations

import json as json_format
import secrets
from pathlib import Path
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from ..config.apply import (
    ApplyError,
    ApplySuccess,
    BaseRevision,
    Conflict,
    Invalid,
    OutcomeUnknown,
    Unavailable,
)
from ..config.apply import (
    apply as apply_text,
)
from ..config.apply import (
    fetch as fetch_base,
)
from ..config.located import read_text
from ..findings import Finding, Place
from . import store
from .files import write_file
from .output import ExitCode, complain, print_json, report_findings

BASE_SUFFIX = ".base"
TOKEN_BYTES = 16


def fetch(
    file: str, object_api: str | None = None, settings: str | None = None, json: bool = False
) -> int:
    """Save the configuration in effect as the base of a change.

    Args:
        file: File to write; FILE.base beside it records the revision.
        object_api: Address and port of the object API.
        settings: Settings file that names the object API instead.
        json: Write the result as JSON to standard output.
    """
    address = store.find_address(object_api, settings)
    if isinstance(address, Failure):
        return _usage(address.failure(), json)
    result = fetch_base(store.open_store(address.unwrap()))
    if isinstance(result, Failure):
        return _report_error(result.failure(), file, json)
    base = result.unwrap()
    if base.revision is not None and not write_file(file, base.text):
        return ExitCode.UNAVAILABLE
    if not _write_base(file, base):
        return ExitCode.UNAVAILABLE
    if json:
        print_json({"revision": base.revision})
    else:
        print(f"{file}: {_revision(base.revision)}")
    return ExitCode.DONE


def apply(
    file: str,
    revision: int | None = None,
    object_api: str | None = None,
    settings: str | None = None,
    json: bool = False,
) -> int:
    """Put a configuration into effect if nobody has changed it since it was read.

    Args:
        file: The configuration; FILE.base tells the revision that was read.
        revision: Take this revision as the one that was read, 0 for none.
        object_api: Address and port of the object API.
        settings: Settings file that names the object API instead.
        json: Write the result as JSON to standard output.
    """
    address = store.find_address(object_api, settings)
    if isinstance(address, Failure):
        return _usage(address.failure(), json)
    text = read_text(file)
    base = text.bind(lambda content: _base(file, content, revision))
    if isinstance(base, Failure):
        return report_findings(base.failure(), json)
    token = secrets.token_hex(TOKEN_BYTES)
    result = apply_text(
        store.open_store(address.unwrap()), text.unwrap(), file, base.unwrap(), token
    )
    if isinstance(result, Failure):
        return _report_error(result.failure(), file, json)
    return _report_done(result.unwrap(), file, text.unwrap(), json)


def _usage(findings: tuple[Finding, ...], json: bool) -> ExitCode:
    report_findings(findings, json)
    return ExitCode.USAGE


def _report_done(done: ApplySuccess, file: str, text: str, json: bool) -> ExitCode:
    if json:
        print_json(attrs.asdict(done))
    else:
        change = "applied" if done.changed else "in effect already, nothing changed"
        print(f"{file}: {_revision(done.revision)}, {change}")
    if not _write_base(file, BaseRevision(done.revision, text)):
        complain(f"{file}: applied, but its base was not saved; run fetch before the next change")
        return ExitCode.UNAVAILABLE
    return ExitCode.DONE


def _revision(revision: int | None) -> str:
    return "no configuration yet" if revision is None else f"revision {revision}"


def _base(file: str, text: str, revision: int | None) -> Result[BaseRevision, tuple[Finding, ...]]:
    """Return the base file's content, or one whose text, if unknown, is the operator's own."""
    if revision is not None:
        return Success(BaseRevision(revision or None, text))
    path = Path(file + BASE_SUFFIX)
    if not path.exists():
        return Success(BaseRevision(None, text))
    finding = Finding(Place(str(path)), "not a base file; delete it and use --revision")
    try:
        fields = json_format.loads(path.read_bytes())
    except (OSError, ValueError):
        return Failure((finding,))
    if not _is_base(fields):
        return Failure((finding,))
    return Success(BaseRevision(fields["revision"], fields["text"]))


def _is_base(fields: Any) -> bool:
    if not isinstance(fields, dict) or fields.keys() != {"revision", "text"}:
        return False
    revision = fields["revision"]
    return isinstance(fields["text"], str) and (revision is None or type(revision) is int)


def _write_base(file: str, base: BaseRevision) -> bool:
    return write_file(file + BASE_SUFFIX, json_format.dumps(attrs.asdict(base)) + "\n")


def _report_error(error: ApplyError, file: str, json: bool) -> ExitCode:
    if isinstance(error, Invalid):
        return report_findings(error.findings, json)
    if isinstance(error, Conflict):
        return _report_conflict(error, file, json)
    code = ExitCode.UNAVAILABLE if isinstance(error, Unavailable) else ExitCode.UNKNOWN
    if json:
        print_json({"error": code.name.lower(), "reason": error.reason})
    elif isinstance(error, OutcomeUnknown):
        complain(f"{file}: it is not known whether this was applied: {error.reason}")
        complain("run the command again; it settles the outcome")
    else:
        complain(f"{file}: the object API is unavailable, nothing was applied: {error.reason}")
    return code


def _report_conflict(conflict: Conflict, file: str, json: bool) -> ExitCode:
    if json:
        print_json({"error": "conflict", **attrs.asdict(conflict)})
        return ExitCode.CONFLICT
    current = _revision(conflict.current_revision)
    complain(f"{file}: not applied: based on {_revision(conflict.base_revision)}, now {current}")
    if conflict.overwritten:
        complain("the response to this write was lost; it may have been in effect in between")
    complain("changes since:")
    for change in conflict.changes:
        complain(f"  {change}")
    complain(f"include these changes, then apply with --revision={conflict.current_revision or 0}")
    return ExitCode.CONFLICT
