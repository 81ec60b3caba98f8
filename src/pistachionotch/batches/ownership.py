"""Which gateway runs a batch; opens no sockets.

Load pattern: gateways of very different size receive submissions by a hash of the client. A step of
a hundred items starts a hundred streams at once and brings some thousand events a second for
seconds, which a small VM passes on late, with all its other requests behind them. So a small
gateway hands a submission to a larger one of its region; reads of the batch then take one more hop.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from ..config.spec import Address

# A batch goes to another gateway only if that one has this many times the processor: a hop pays for
# itself only then, and two gateways can never hand a batch to and fro.
HAND_OVER_FACTOR = 2.0


@attrs.frozen(kw_only=True)
class GatewayRecord:
    """Describe a gateway as far as the choice of a batch's owner needs."""

    address: Address
    region: str
    # Processor time a second, in cores of usual speed; 0 if it is not known.
    processor: float


def choose_successors(
    region: str, others: Iterable[GatewayRecord], rng: random.Random
) -> list[GatewayRecord]:
    """Return the gateways that may go on with the batches of one that stops, best first.

    Load pattern: all gateways are restarted one after the other, each in the middle of a step whose
    longest streams have run for seconds.
    """
    candidates = list(others)
    rng.shuffle(candidates)
    return sorted(candidates, key=lambda other: (other.region != region, -other.processor))


def choose_owner(
    own_processor: float, region: str, others: Iterable[GatewayRecord], rng: random.Random
) -> GatewayRecord | None:
    """Return the gateway that should run a new batch, None if it is this one."""
    larger = [
        other
        for other in others
        if other.region == region and other.processor >= HAND_OVER_FACTOR * own_processor
    ]
    if own_processor <= 0 or not larger:
        return None
    return rng.choice(larger)
