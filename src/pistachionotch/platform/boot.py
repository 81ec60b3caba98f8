"""Parser of the platform's settings file: lines ``a.b=value``, with lists joined by commas."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import attrs

from ..config.spec import Address
from ..findings import Findings, Place
from ..gateway.settings import DutyName, GatewaySettings

PATH_VARIABLE = "PISTACHIONOTCH_BOOT"
MS_PER_SECOND = 1000
# Time from the removal of a key until no gateway accepts it, if the settings don't name it.
DEFAULT_REVOCATION_MS = 5_000
BYTES_PER_MEGABYTE = 1024 * 1024
# Default values of settings that the platform may leave out, in seconds.
REPORT_WINDOW_S = 5.0
USAGE_LATE_S = 10.0
DUTIES = {"usage": DutyName.USAGE_REPORTS, "autoscale": DutyName.AUTOSCALING}


@attrs.define
class _FieldReader:
    """Convert the values of fields and collect a finding for each invalid one."""

    file: str
    values: dict[str, str] = attrs.field(factory=dict)
    lines: dict[str, int] = attrs.field(factory=dict)
    findings: Findings = attrs.field(factory=Findings)

    def place(self, name: str) -> Place:
        return Place(self.file, self.lines.get(name, 0), 1 if name in self.lines else 0)

    def text(self, name: str) -> str:
        value = self.values.get(name, "")
        if not value:
            self.findings.add(self.place(name), f"'{name}' is missing or empty")
        return value

    def address(self, name: str, required: bool = True) -> Address | None:
        if name not in self.values and not required:
            return None
        try:
            return Address.parse(self.text(name))
        except ValueError as error:
            self.findings.add(self.place(name), f"'{name}': {error}")
            return None

    def number(self, name: str) -> float:
        try:
            number = float(self.text(name))
        except ValueError:
            self.findings.add(self.place(name), f"'{name}' is not a number")
            return 0.0
        if number < 0:
            self.findings.add(self.place(name), f"'{name}' is negative")
        return number

    def flag(self, name: str) -> bool:
        """Return a boolean, False if it is absent or, with a finding, if it is none."""
        text = self.values.get(name, "").lower()
        if text not in ("", "false", "0", "no", "true", "1", "yes"):
            self.findings.add(self.place(name), f"'{name}': no boolean")
        return text in ("true", "1", "yes")

    def ports(self, name: str) -> tuple[int, int]:
        first, _, last = self.text(name).partition(",")
        if first.isdigit() and last.isdigit() and int(first) <= int(last):
            return int(first), int(last)
        self.findings.add(self.place(name), f"'{name}' is not a range of ports")
        return 0, 0


def read_settings(text: str, file: str) -> GatewaySettings:
    """Parse the text of a settings file; raises ``InvalidInputError`` with all findings.

    Unknown fields are ignored, because the platform may add fields at any time.
    """
    fields = _FieldReader(file)
    for number, line in enumerate(text.splitlines(), start=1):
        name, separator, value = line.partition("=")
        if not line.strip() or line.startswith("#"):
            continue
        if not separator:
            fields.findings.add(Place(file, number, 1), "a line without '='")
            continue
        fields.values[name.strip()] = value.strip()
        fields.lines[name.strip()] = number
    serves_clients = "edge" in fields.values.get("serves", "").split(",")
    first_port, _last_port = fields.ports("port_range")
    object_api = fields.address("platform.address")
    settings = GatewaySettings(
        node=fields.text("node_name"),
        zone=fields.text("zone"),
        region=fields.text("region"),
        zone_regions=_read_zone_regions(fields.values),
        object_api=object_api or Address("0.0.0.0", 0),
        max_value_bytes=int(fields.number("platform.value_bytes")),
        listen_clients=fields.address("listen.frontend", serves_clients),
        listen_probes=fields.address("listen.ready_addr", serves_clients),
        listen_peers=Address(fields.text("ip"), first_port),
        drain_grace_ms=int(fields.number("bounds.grace_s") * MS_PER_SECOND),
        # Not a lease's time to live: the minimum time between the orders of two lease holders.
        order_handover_ms=int(fields.number("bounds.lease_ms")),
        batch_retention_ms=int(fields.number("bounds.status_s") * MS_PER_SECOND),
        object_api_writes_per_s=_read_optional_number(fields, "platform.writes_per_s"),
        processor=_read_processor(fields),
        revocation_limit_ms=_read_revocation_limit(fields),
        zone_spillover=fields.flag("routing.zone_spillover"),
        memory_limit_bytes=int(
            _read_optional_number(fields, "limits.memory_mb") * BYTES_PER_MEGABYTE
        ),
        max_descriptors=int(_read_optional_number(fields, "limits.max_fds")),
        duties_address=fields.address("cloud.address", required=False),
        duties=_read_duties(fields),
    )
    if settings.duties_address is not None:
        settings = _with_duties(settings, fields)
    fields.findings.raise_if_any()
    return settings


def _read_optional_number(fields: _FieldReader, name: str, default: float = 0.0) -> float:
    return fields.number(name) if name in fields.values else default


def _with_duties(settings: GatewaySettings, fields: _FieldReader) -> GatewaySettings:
    """Return the settings with those that only duties use."""
    usage_late_s = _read_optional_number(fields, "bounds.usage_late_s", USAGE_LATE_S)
    return attrs.evolve(
        settings,
        duty_calls_per_s=_read_optional_number(fields, "cloud.duty_per_s"),
        report_window_ms=_read_window_ms(fields),
        usage_due_ms=int(usage_late_s * MS_PER_SECOND),
    )


def _read_duties(fields: _FieldReader) -> frozenset[DutyName]:
    """Return the named duties; the platform may add others at any time."""
    names = fields.values.get("cloud.duties", "").split(",")
    return frozenset(DUTIES[name.strip()] for name in names if name.strip() in DUTIES)


def _read_window_ms(fields: _FieldReader) -> int:
    name = "bounds.report_window_s"
    window_ms = int(_read_optional_number(fields, name, REPORT_WINDOW_S) * MS_PER_SECOND)
    if window_ms <= 0:
        fields.findings.add(fields.place(name), f"'{name}' is not above 0")
    return window_ms


def _read_revocation_limit(fields: _FieldReader) -> int:
    """Return for how long in ms keys are accepted without contact; 0 if there is no limit."""
    if not fields.flag("bounds.strict_revoke"):
        return 0
    if "bounds.revoke_ms" not in fields.values:
        return DEFAULT_REVOCATION_MS
    return max(1, int(fields.number("bounds.revoke_ms")))


def _read_processor(fields: _FieldReader) -> float:
    if "limits.cpu_share" not in fields.values:
        return 0.0
    # The speed of the single core, although the name suggests a number of cores.
    speed = fields.number("limits.cores") if "limits.cores" in fields.values else 1.0
    return fields.number("limits.cpu_share") * speed


def _read_zone_regions(values: Mapping[str, str]) -> dict[str, str]:
    prefix = "zones."
    return {
        name.removeprefix(prefix): region
        for name, region in values.items()
        if name.startswith(prefix)
    }


def load_settings(path: str) -> GatewaySettings:
    """Read the settings file at a path; raises ``InvalidInputError`` with all findings."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        findings = Findings()
        findings.add(Place(path), str(error))
        findings.raise_if_any()
        raise AssertionError from error
    return read_settings(text, path)
