"""Selects the gateway that runs a batch; does no I/O.

Load pattern: submissions are distributed by a hash of the client over gateways of very different
size. A step of a hundred items starts a hundred streams at once and causes some thousand events a
second for several seconds. A small VM forwards these late and delays all its other requests. Steps
of one model run one after another on the same engines and often overlap. All steps of a model
therefore go to one large gateway, which counts all the items that it has placed on the engines,
knows the speed of the engines, and reuses its connections to them.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import attrs

from ..config.spec import Address

# Gateways with less than the processor capacity of the largest one divided by this rank lower.
LARGE_FACTOR = 2.0


@attrs.frozen(kw_only=True)
class GatewayRecord:
    """Facts about a gateway that the selection of a batch's owner uses."""

    address: Address
    region: str
    # CPU seconds per second, in cores of normal speed; 0 if unknown.
    processor: float


def rank_owners(key: str, region: str, gateways: Iterable[GatewayRecord]) -> list[GatewayRecord]:
    """Return the gateways that may run the batches of a key, best first.

    Gateways of the region rank before others, large ones before small ones, and equal ones by a
    hash of key and address (rendezvous hashing): a gateway that is added or removed changes the
    owner of its own keys only.
    """
    known = list(gateways)
    largest = max((gateway.processor for gateway in known), default=0.0)
    return sorted(
        known,
        key=lambda gateway: (
            gateway.region != region,
            gateway.processor * LARGE_FACTOR < largest,
            zlib.crc32(f"{key} {gateway.address}".encode()),
        ),
    )
