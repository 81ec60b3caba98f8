"""Compares ways in which the owner of a batch makes sure that it still owns it.

``python -m pistachionotch.bench.batch_ownership`` prints, for fleets of 4, 58 and 330 gateways, the
extra calls to the object API, the time that a read takes longer, how long a sound owner stands
still in an outage, and how long a former owner may act after a takeover.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ..batches.tenure import ATTEMPT_INTERVAL_MS, Tenure
from ..clock import MS_PER_SECOND

TICK_MS = 50
# A step is submitted at this interval and open for this long. Its results are listed from then on.
STEP_MS = 4_000
OPEN_MS = 6_000
FIRST_LISTING_MS = 1_500
LISTING_MS = 900
# Reads of one batch by its trainer and by others, per second.
READS_PER_S = 3.0
# Passes per second in which items start while a batch has waiting items.
STARTS_PER_S = 5.0
# One call to the object API: its answer and the way there and back within a region.
STORE_CALL_MS = 4.0 + 2 * 1.4
# A watch ends after this time without a change.
WATCH_MS = 1_000
OUTAGE_START_MS = 3_000
OUTAGE_MS = 4_500


@attrs.frozen
class Fleet:
    """A fleet with its trainers, and the reads per second that the object API serves for it."""

    gateways: int
    trainers: int
    reads_per_s: int


FLEETS = (Fleet(4, 2, 2_000), Fleet(58, 2, 16_000), Fleet(330, 9, 16_000))


@attrs.frozen
class Outcome:
    """What one way costs and gives; calls per second and batch, times in ms."""

    name: str
    calls_per_batch: float
    # Calls per second of each owner, whatever the number of its batches.
    calls_per_owner: float
    read_delay_ms: float
    standstill_ms: int
    acts_after_claim_ms: float


def tenure_outcome(valid_ms: int, renewal_ms: int) -> Outcome:
    """Replay a batch whose owner confirms its ownership for a limited time."""
    calls = _count_renewals(renewal_ms)
    return Outcome(
        f"{valid_ms / MS_PER_SECOND:.1f} s, renewed each {renewal_ms / MS_PER_SECOND:.1f} s",
        calls * MS_PER_SECOND / OPEN_MS,
        0.0,
        0.0,
        _standstill_ms(valid_ms, renewal_ms),
        valid_ms,
    )


def _count_renewals(renewal_ms: int) -> int:
    """Count the reads of the log while a batch is open, beside the entries that confirm too."""
    tenure = Tenure()
    calls = 0
    listed_ms = FIRST_LISTING_MS
    tenure.confirm(0, 0)
    for now_ms in range(0, OPEN_MS, TICK_MS):
        if now_ms >= listed_ms:
            listed_ms += LISTING_MS
            tenure.confirm(now_ms, now_ms)
        if not tenure.holds(now_ms, renewal_ms) and tenure.begin_attempt(now_ms):
            calls += 1
            tenure.confirm(now_ms, now_ms)
    return calls


def _standstill_ms(valid_ms: int, renewal_ms: int) -> int:
    """Return how long a sound owner may not act because the object API is down."""
    tenure = Tenure()
    standstill_ms = 0
    tenure.confirm(0, 0)
    for now_ms in range(0, OUTAGE_START_MS + OUTAGE_MS + 2 * MS_PER_SECOND, TICK_MS):
        down = OUTAGE_START_MS <= now_ms < OUTAGE_START_MS + OUTAGE_MS
        due = not tenure.holds(now_ms, renewal_ms) and tenure.begin_attempt(now_ms)
        if due and not down:
            tenure.confirm(now_ms, now_ms)
        if not tenure.holds(now_ms, valid_ms):
            standstill_ms += TICK_MS
    return standstill_ms


def checked_outcome() -> Outcome:
    """Return the costs of a read of the log before each answer and before each start of items."""
    waiting_share = FIRST_LISTING_MS / OPEN_MS
    calls = READS_PER_S + STARTS_PER_S * waiting_share
    return Outcome("each act checked", calls, 0.0, STORE_CALL_MS, OUTAGE_MS, STORE_CALL_MS)


def watch_outcome(valid_ms: int) -> Outcome:
    """Return the costs of one watch of the takeovers of all batches for each owner."""
    calls = MS_PER_SECOND / WATCH_MS
    standstill_ms = _standstill_ms(valid_ms, WATCH_MS)
    name = f"a watch each, {valid_ms / MS_PER_SECOND:.1f} s"
    return Outcome(name, 0.0, calls, 0.0, standstill_ms, valid_ms)


WAYS: tuple[Callable[[], Outcome], ...] = (
    checked_outcome,
    lambda: tenure_outcome(1_500, 500),
    lambda: tenure_outcome(3_000, 1_000),
    lambda: tenure_outcome(5_000, 1_500),
    lambda: watch_outcome(3_000),
)


def calls_per_s(outcome: Outcome, fleet: Fleet) -> float:
    """Return the extra calls per second of a fleet; each trainer's batches have one owner."""
    batches = fleet.trainers * OPEN_MS / STEP_MS
    return outcome.calls_per_batch * batches + outcome.calls_per_owner * fleet.trainers


def main() -> None:
    """Print the comparison."""
    sizes = " | ".join(f"calls/s at {fleet.gateways}" for fleet in FLEETS)
    print(f"| way | {sizes} | read, ms longer | standstill, ms | acts after a claim, ms |")
    print("|---|" + "---|" * (len(FLEETS) + 3))
    for way in WAYS:
        found = way()
        cells = []
        for fleet in FLEETS:
            calls = calls_per_s(found, fleet)
            cells.append(f"{calls:.1f} ({100 * calls / fleet.reads_per_s:.2f} %)")
        row = " | ".join(cells)
        print(
            f"| {found.name} | {row} | {found.read_delay_ms:.1f} | {found.standstill_ms} | "
            f"{found.acts_after_claim_ms:.0f} |"
        )
    print(f"A failed attempt is repeated after {ATTEMPT_INTERVAL_MS} ms.")


if __name__ == "__main__":
    main()
