"""Which gateway runs a batch; opens no sockets.

Load pattern: gateways of very different size receive submissions by a hash of the client. A step of
a hundred items starts a hundred streams at once and brings some thousand events a second for
seconds, which a small VM passes on late, with all its other requests behind them. Steps of one
model follow each other on the same engines, and often overlap. So all steps of a model go to one
gateway, a large one: it counts all that it has placed there, knows the engines' pace, and uses its
connections again.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import attrs

from ..config.spec import Address

# A gateway with less than the largest one's processor divided by this runs no batches of others.
LARGE_FACTOR = 2.0


@attrs.frozen(kw_only=True)
class GatewayRecord:
    """Describe a gateway as far as the choice of a batch's owner needs."""

    address: Address
    region: str
    # Processor time a second, in cores of usual speed; 0 if it is not known.
    processor: float


def rank_owners(key: str, region: str, gateways: Iterable[GatewayRecord]) -> list[GatewayRecord]:
    """Return the gateways that may run the batches of a key, best first.

    Those of the region come first, and of these the large ones, by a hash of the key; a gateway
    that comes or goes then changes the owner of its own keys only.
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
