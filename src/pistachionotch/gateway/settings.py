"""Settings of one gateway process."""

from __future__ import annotations

import enum

import attrs

from ..config.spec import Address


class DutyName(enum.Enum):
    """Duties that one gateway carries out for all."""

    USAGE_REPORTS = "usage reports"
    AUTOSCALING = "autoscaling"


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Local settings, available before the process can reach the object API; times are in ms."""

    node: str
    zone: str
    region: str
    zone_regions: dict[str, str]
    object_api: Address
    max_value_bytes: int
    # Listen addresses for clients and the platform's readiness probe; None on a disk VM.
    listen_clients: Address | None
    listen_probes: Address | None
    # Listen address for other gateways.
    listen_peers: Address
    # Time between SIGTERM and the kill, in which open requests can finish.
    drain_grace_ms: int
    # Wait of a new orders lease holder before its first order, so that the orders of the former
    # holder are past.
    order_handover_ms: int
    # Time after submission during which the platform may still read a batch.
    batch_retention_ms: int
    # Write calls per second that the object API serves for all gateways together; 0 if unknown.
    object_api_writes_per_s: float = 0.0
    # Address for the duties that one gateway carries out for all, and those duties; None if there
    # are none.
    duties_address: Address | None = None
    duties: frozenset[DutyName] = frozenset()
    # Calls of that address per second that are served for all gateways together; 0 if unknown.
    duty_calls_per_s: float = 0.0
    # Length of the windows of usage reports, and the time after a window's end at which its report
    # is due.
    report_window_ms: int = 5_000
    usage_due_ms: int = 10_000
    # CPU capacity in cores of standard speed; 0 if unknown.
    processor: float = 0.0
    # Time without a confirmed configuration after which no client's key is accepted; 0: no limit.
    revocation_limit_ms: int = 0
    # Whether calls and items prefer servers of their zone, and leave it if that pays.
    zone_spillover: bool = False
    # Memory and open descriptors that the process may use; 0 if unknown.
    memory_limit_bytes: int = 0
    max_descriptors: int = 0
