"""Settings of one gateway process."""

from __future__ import annotations

import attrs

from ..config.spec import Address


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Hold what a process knows before it can read anything else; times are in milliseconds."""

    node: str
    zone: str
    region: str
    zone_regions: dict[str, str]
    object_api: Address
    max_value_bytes: int
    # Where clients and the platform's readiness probe reach this process; None on a disk VM.
    listen_clients: Address | None
    listen_probes: Address | None
    # Where other gateways reach this process.
    listen_peers: Address
    # An open request may take this long after SIGTERM before the process is killed.
    drain_grace_ms: int
    # Two holders of the right to order one upstream are at least this long apart.
    order_handover_ms: int
    # The platform reads a batch for this long after its submission.
    batch_retention_ms: int
    # Processor time a second, in cores of usual speed; 0 if it is not known.
    processor: float = 0.0
