"""Messages between gateways about rate limits, encoded as CBOR."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import cbor2

from ..malformed import load_cbor
from .announcements import Announcement
from .broker import PermitReply, PermitRequest
from .pacer import Denial, Permit, PermitWant, Verdict


def dump_request(request: PermitRequest) -> bytes:
    """Encode a request for permits."""
    wants = [[want.urgency, want.max_wait_ms, want.alternatives] for want in request.wants]
    return cbor2.dumps(
        [request.upstream, request.per_second, request.age_ms, wants, request.relayed]
    )


def load_request(body: bytes) -> PermitRequest:
    """Decode a request for permits; raises one of ``MALFORMED``."""
    upstream, per_second, age_ms, wants, relayed = load_cbor(body)
    return PermitRequest(
        upstream=str(upstream),
        per_second=_load_limit(per_second),
        age_ms=_load_age(age_ms),
        wants=tuple(
            PermitWant(
                urgency=int(urgency), max_wait_ms=int(max_wait_ms), alternatives=int(alternatives)
            )
            for urgency, max_wait_ms, alternatives in wants
        ),
        relayed=bool(relayed),
    )


def dump_reply(reply: PermitReply) -> bytes:
    """Encode a reply with verdicts."""
    verdicts = [_dump_verdict(verdict) for verdict in reply.verdicts]
    return cbor2.dumps([reply.per_second, reply.age_ms, verdicts, reply.node, reply.share])


def load_reply(body: bytes) -> PermitReply:
    """Decode a reply with verdicts; raises one of ``MALFORMED``."""
    per_second, age_ms, verdicts, node, share = load_cbor(body)
    return PermitReply(
        per_second=_load_limit(per_second),
        age_ms=_load_age(age_ms),
        verdicts=tuple(_load_verdict(fields) for fields in verdicts),
        node=str(node),
        share=float(share),
    )


def announcement_fields(announcements: Mapping[str, Announcement], now_ms: int) -> list[list[Any]]:
    """Return announcements as plain values, with ages instead of times."""
    return [
        [upstream, stated.per_second, now_ms - stated.stated_ms]
        for upstream, stated in announcements.items()
    ]


def read_announcements(fields: Any, now_ms: int) -> dict[str, Announcement]:
    """Return announcements from plain values; raises one of ``MALFORMED``."""
    return {
        str(upstream): Announcement(_load_limit(per_second), now_ms - _load_age(age_ms))
        for upstream, per_second, age_ms in fields
    }


def _dump_verdict(verdict: Verdict) -> list[int]:
    if isinstance(verdict, Permit):
        return [verdict.wait_ms]
    return [verdict.next_ms, verdict.retry_ms]


def _load_verdict(fields: Any) -> Verdict:
    if len(fields) == 1:
        return Permit(int(fields[0]))
    next_ms, retry_ms = fields
    return Denial(next_ms=int(next_ms), retry_ms=int(retry_ms))


def _load_limit(value: Any) -> float | None:
    if value is None:
        return None
    limit = float(value)
    if not (math.isfinite(limit) and limit >= 0.0):
        raise ValueError(f"rate limit {limit}")
    return limit


def _load_age(value: Any) -> int:
    age_ms = int(value)
    if age_ms < 0:
        raise ValueError(f"age {age_ms} ms")
    return age_ms
