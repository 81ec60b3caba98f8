"""Settings of one process, which it needs before it can read the configuration."""

from __future__ import annotations

import enum
from pathlib import Path
from typing import Any

import attrs
from returns.result import Failure, Result

from ..findings import Finding, Place
from .document import parse_and_build, read_document
from .located import Located, read_text
from .reading import REJECTED, Reading
from .spec import (
    NAME,
    Address,
    AddressSpec,
    FlagSpec,
    IntegerSpec,
    ListSpec,
    TextSpec,
    enumeration,
    member,
    record_of,
)

MIN_KEY_BYTES = 16  # a shorter key can be guessed from one recorded handshake


class Role(enum.StrEnum):
    """The daemon that a process runs."""

    ENTRY = "entry"
    AGENT = "agent"


class UpstreamKind(enum.StrEnum):
    """The kind of upstream that an agent serves."""

    ENGINE = "engine"
    PLAIN_SERVICE = "plain-service"


@attrs.frozen(kw_only=True)
class Listen:
    """The addresses on which a process accepts connections."""

    http: Address | None = member(AddressSpec(), None)
    wire: Address | None = member(AddressSpec(), None)


@attrs.frozen(kw_only=True)
class UpstreamSettings:
    """The upstream of an agent; if ``checks_fences`` is None, the model's configuration decides."""

    kind: UpstreamKind = member(enumeration(UpstreamKind))
    address: Address = member(AddressSpec())
    model: str | None = member(NAME, None)
    service: str | None = member(NAME, None)
    concurrency_limit: int = member(IntegerSpec(1))
    checks_fences: bool | None = member(FlagSpec(), None)


@attrs.frozen(kw_only=True)
class Settings:
    """The settings of one entry or agent process."""

    deployment: str = member(NAME)
    node: str = member(NAME)
    role: Role = member(enumeration(Role))
    region: str = member(NAME)
    zone: str = member(NAME)
    listen: Listen = member(record_of(Listen))
    deployment_key: str | None = member(TextSpec(), None, repr=False)
    deployment_key_file: str | None = member(TextSpec(), None)
    object_api: Address = member(AddressSpec())
    vm_list: Address = member(AddressSpec())
    upstream: UpstreamSettings | None = member(record_of(UpstreamSettings), None)
    peers: tuple[Address, ...] = member(ListSpec(AddressSpec(), distinct=True), ())
    data_folder: str | None = member(TextSpec(), None)
    step_part_samples: int | None = member(IntegerSpec(1), None)

    @property
    def key(self) -> bytes:
        """Return the deployment key, which ``load_settings`` may have read from a key file."""
        return (self.deployment_key or "").encode()


SETTINGS = record_of(Settings)


def load_settings(path: str | Path) -> Result[Settings, tuple[Finding, ...]]:
    """Read a settings file and its key file, whose path is relative to the settings file."""
    text = read_text(path)
    if isinstance(text, Failure):
        return Failure(text.failure())

    def build(located: Located, reading: Reading) -> Settings | None:
        return _build(located, reading, Path(path).parent)

    return parse_and_build(text.unwrap(), str(path), build)


def _build(located: Located, reading: Reading, folder: Path) -> Settings | None:
    settings: Any = read_document(SETTINGS, located, reading)
    if settings is REJECTED:
        return None
    _check_key(settings, reading)
    _check_listen(settings, reading)
    _check_upstream(settings, reading)
    if reading.findings or settings.deployment_key_file is None:
        return settings
    key = _read_key(folder / settings.deployment_key_file, reading)
    return attrs.evolve(settings, deployment_key=key)


def _check_key(settings: Settings, reading: Reading) -> None:
    given = (settings.deployment_key, settings.deployment_key_file)
    if (given[0] is None) == (given[1] is None):
        message = "exactly one of 'deployment_key' and 'deployment_key_file' is needed"
        reading.findings.add(reading.place_of(("deployment_key",)), message)
    elif given[0] is not None and len(settings.key) < MIN_KEY_BYTES:
        message = f"deployment key is shorter than {MIN_KEY_BYTES} bytes"
        reading.findings.add(reading.place_of(("deployment_key",)), message)


def _read_key(path: Path, reading: Reading) -> str:
    place = reading.place_of(("deployment_key_file",))
    text = read_text(path)
    if isinstance(text, Failure):
        reading.findings.add(place, f"key file: {text.failure()[0].message}")
        return ""
    key = text.unwrap().strip()
    if len(key.encode()) < MIN_KEY_BYTES:
        reading.findings.add(place, f"key in this file is shorter than {MIN_KEY_BYTES} bytes")
    return key


def _check_listen(settings: Settings, reading: Reading) -> None:
    needed = "http" if settings.role is Role.ENTRY else "wire"
    if getattr(settings.listen, needed) is None:
        message = f"an {settings.role} needs the address '{needed}'"
        reading.findings.add(reading.place_of(("listen",)), message)


def _check_upstream(settings: Settings, reading: Reading) -> None:
    upstream = settings.upstream
    place = reading.place_of(("upstream",))
    if settings.role is Role.ENTRY:
        if upstream is not None:
            reading.findings.add(place, "an entry has no upstream")
        return
    if upstream is None:
        reading.findings.add(place, "an agent needs 'upstream'")
        return
    _check_upstream_kind(upstream, place, reading)


def _check_upstream_kind(upstream: UpstreamSettings, place: Place, reading: Reading) -> None:
    engine = upstream.kind is UpstreamKind.ENGINE
    needed, other = ("model", "service") if engine else ("service", "model")
    if getattr(upstream, needed) is None:
        reading.findings.add(place, f"an upstream of kind {upstream.kind} needs '{needed}'")
    if getattr(upstream, other) is not None:
        where = reading.place_of(("upstream", other))
        reading.findings.add(where, f"an upstream of kind {upstream.kind} has no '{other}'")
    if not engine and upstream.checks_fences is not None:
        where = reading.place_of(("upstream", "checks_fences"))
        reading.findings.add(where, "only an engine receives orders with fences")
