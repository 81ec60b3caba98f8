"""Command that checks a configuration and compares it with the one in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from ..config.apply import fetch
from ..config.assessment import Assessment, assess, syntax_findings
from ..config.changes import Change, changes_between
from ..config.located import read_text
from ..config.spec import Address
from ..findings import Finding, Place
from .output import ExitCode, complain, finding_fields, print_json
from .store import ARGUMENT, find_address, open_store

AGAINST = Place("--against")


@attrs.frozen
class _Format:
    """How to check and compare one kind of configuration."""

    assess: Callable[[str, str], Assessment]
    # What keeps a text from being compared.
    unreadable: Callable[[str, str], tuple[Finding, ...]]
    # The differences between the text in force, empty if there is none, and the one to check.
    compare: Callable[[str, str], tuple[Change, ...]]
    # The text in force at the address of an object API, empty if there is none.
    fetch: Callable[[Address], Result[str, str]]


def check(
    file: str,
    platform: bool = False,
    against: str | None = None,
    object_api: str | None = None,
    json: bool = False,
) -> int:
    """Report every finding of a configuration, and what it changes.

    The exit code is 0 without findings, 1 with errors and 3 with warnings only. It is 2, without
    any output but the cause, for wrong arguments, a file that cannot be read and an object API
    that does not answer.

    Args:
        file: The configuration to check.
        platform: It is the object that operators write to the users' platform.
        against: Show the differences from the configuration in this file.
        object_api: Show the differences from the one in force at this address and port.
        json: Write the findings and differences as JSON to standard output.
    """
    form = _platform_format() if platform else _own_format()
    if against is not None and object_api is not None:
        return _unusable(Finding(AGAINST, "give either this option or --object-api"))
    text = read_text(file)
    if isinstance(text, Failure):
        return _unusable(*text.failure())
    base = _base(form, against, object_api)
    if isinstance(base, Failure):
        return _unusable(*base.failure())
    found = form.assess(text.unwrap(), file)
    former = base.unwrap()
    changes = None
    if former is not None and not form.unreadable(text.unwrap(), file):
        changes = form.compare(former, text.unwrap())
    if json:
        _print_json(found, changes)
    else:
        _print_text(file, found, changes)
    if found.errors:
        return ExitCode.FINDINGS
    return ExitCode.WARNINGS if found.warnings else ExitCode.DONE


def _unusable(*findings: Finding) -> ExitCode:
    for finding in findings:
        complain(str(finding))
    return ExitCode.USAGE


def _base(
    form: _Format, against: str | None, object_api: str | None
) -> Result[str | None, tuple[Finding, ...]]:
    """Return the text to compare with, or None without one."""
    if against is not None:
        return read_text(against).bind(lambda text: _readable(form, text, against))
    if object_api is None:
        return Success(None)
    address = find_address(object_api, None)
    if isinstance(address, Failure):
        return Failure(address.failure())
    fetched = form.fetch(address.unwrap())
    if isinstance(fetched, Failure):
        message = f"the object API is unavailable: {fetched.failure()}"
        return Failure((Finding(ARGUMENT, message),))
    return _readable(form, fetched.unwrap(), f"the configuration at {object_api}")


def _readable(form: _Format, text: str, file: str) -> Result[str | None, tuple[Finding, ...]]:
    errors = form.unreadable(text, file) if text else ()
    return Failure(errors) if errors else Success(text)


def _own_format() -> _Format:
    def fetch_own(address: Address) -> Result[str, str]:
        fetched = fetch(open_store(address))
        return fetched.map(lambda base: base.text).alt(lambda error: error.reason)

    return _Format(assess, syntax_findings, changes_between, fetch_own)


def _platform_format() -> _Format:
    from ..clock import SystemClock
    from ..http_client import ConnectionPool
    from ..platform.check import check_platform, read_document
    from ..platform.decode import CONFIG_KEY
    from ..platform.differences import differences
    from ..platform.store import PlatformStore

    def fields_of(text: str) -> dict[str, Any]:
        document = read_document(text, "") if text else ()
        return {} if isinstance(document, tuple) else document.fields

    def unreadable(text: str, file: str) -> tuple[Finding, ...]:
        document = read_document(text, file)
        return document if isinstance(document, tuple) else ()

    def fetch_platform(address: Address) -> Result[str, str]:
        store = PlatformStore(address, ConnectionPool(SystemClock()))
        read = store.get(CONFIG_KEY)
        if isinstance(read, Failure):
            return Failure(read.failure().reason)
        stored = read.unwrap()
        return Success("" if stored is None else stored.value.decode())

    return _Format(
        check_platform,
        unreadable,
        lambda before, after: differences(fields_of(before), fields_of(after)),
        fetch_platform,
    )


def _print_json(found: Assessment, changes: tuple[Change, ...] | None) -> None:
    findings = [{**finding_fields(each), "severity": "error"} for each in found.errors]
    findings += [{**finding_fields(each), "severity": "warning"} for each in found.warnings]
    output: dict[str, Any] = {"findings": findings}
    if changes is not None:
        fields = [{"kind": each.kind(), **attrs.asdict(each)} for each in changes]
        output["differences"] = fields
    print_json(output)


def _print_text(file: str, found: Assessment, changes: tuple[Change, ...] | None) -> None:
    for finding in found.errors:
        complain(str(finding))
    for finding in found.warnings:
        complain(f"{finding.place}: warning: {finding.message}")
    if not found.errors and not found.warnings:
        print(f"{file}: no findings")
    if changes is None:
        return
    for change in changes:
        print(f"{change.kind()}: {change}")
    if not changes:
        print(f"{file}: no differences")
