"""Decision whether a stream that a client takes up goes on, and at which origin; does no I/O.

Load pattern: a server, a gateway or all gateways die while two software versions of a service
serve side by side, or just after the last server of one has left. Within seconds the clients of all
broken streams take them up at other gateways, each up to three times, and name the attempt that
began the stream. A wrong join is worse than a refusal, since nothing shows it to the client.
"""

from __future__ import annotations

import enum

import attrs

from .origin import BegunStream, KnownBy, Origin

# Changes of the listing are known after this time at most.
MAX_LISTING_AGE_MS = 2_500


class TakeUpOutcome(enum.Enum):
    """What happens to a stream that a client takes up; the values go into logs and metrics."""

    GO_ON = "goes on"
    # The client can only begin the stream anew.
    VERSION_GONE = "version gone"
    ORIGIN_UNKNOWN = "origin unknown"
    # The origin may become known.
    UNCERTAIN = "not certain now"


@attrs.frozen(kw_only=True)
class TakeUpFacts:
    """What a gateway knows of a stream when its client takes it up."""

    # The stream as this gateway, the stored records and other gateways know it.
    remembered: BegunStream | None = None
    recorded: BegunStream | None = None
    told: BegunStream | None = None
    # Origins that the stream can have, by a history that was read after the client's request
    # arrived; None if it has not been read.
    possible: frozenset[Origin] | None = None
    # Origins of servers that take new requests on the route of the call.
    serving: frozenset[Origin] = frozenset()
    # Origins that were listed before; None for all.
    formerly_listed: frozenset[Origin] | None = None
    # Time since the listing was last known to be current.
    listing_age_ms: int = 0
    now_ms: int = 0


@attrs.frozen(kw_only=True)
class TakeUpDecision:
    """The outcome of a take-up, with what it rests on."""

    outcome: TakeUpOutcome
    known_by: KnownBy
    origin: Origin | None = None
    # Age of the stream; None if it is not known.
    age_ms: int | None = None
    reason: str = ""


def decide_take_up(facts: TakeUpFacts) -> TakeUpDecision:
    """Return whether a stream goes on. It does so only at the origin that began it."""
    known_by, stream = _known_stream(facts)
    if stream is not None:
        origin, age_ms = stream.origin, max(0, facts.now_ms - stream.begun_ms)
        return _decide_known(origin, known_by, age_ms, facts)
    if facts.possible is None:
        return TakeUpDecision(
            outcome=TakeUpOutcome.UNCERTAIN,
            known_by=KnownBy.NOTHING,
            reason="no gateway knows the stream, and the records can't be read",
        )
    if len(facts.possible) == 1:
        (origin,) = facts.possible
        return _decide_known(origin, KnownBy.ONLY_VERSION, None, facts)
    return TakeUpDecision(
        outcome=TakeUpOutcome.ORIGIN_UNKNOWN,
        known_by=KnownBy.NOTHING,
        reason=f"{len(facts.possible)} software versions are possible, and none is recorded",
    )


def _known_stream(facts: TakeUpFacts) -> tuple[KnownBy, BegunStream | None]:
    for known_by, stream in (
        (KnownBy.MEMORY, facts.remembered),
        (KnownBy.RECORD, facts.recorded),
        (KnownBy.PEER, facts.told),
    ):
        if stream is not None:
            return known_by, stream
    return KnownBy.NOTHING, None


def _decide_known(
    origin: Origin, known_by: KnownBy, age_ms: int | None, facts: TakeUpFacts
) -> TakeUpDecision:
    if origin in facts.serving:
        return TakeUpDecision(
            outcome=TakeUpOutcome.GO_ON, known_by=known_by, origin=origin, age_ms=age_ms
        )
    if _may_have_joined(origin, age_ms, facts):
        return TakeUpDecision(
            outcome=TakeUpOutcome.UNCERTAIN,
            known_by=known_by,
            origin=origin,
            age_ms=age_ms,
            reason=f"servers may have joined since the listing of {facts.listing_age_ms} ms ago",
        )
    return TakeUpDecision(
        outcome=TakeUpOutcome.VERSION_GONE,
        known_by=known_by,
        origin=origin,
        age_ms=age_ms,
        reason="no server of the software version that began the stream takes requests",
    )


def _may_have_joined(origin: Origin, age_ms: int | None, facts: TakeUpFacts) -> bool:
    """Return whether servers of an origin may have joined that the listing doesn't have yet."""
    if facts.listing_age_ms > MAX_LISTING_AGE_MS:
        return True
    if facts.formerly_listed is None or origin in facts.formerly_listed:
        return False
    return age_ms is not None and age_ms < facts.listing_age_ms + MAX_LISTING_AGE_MS
