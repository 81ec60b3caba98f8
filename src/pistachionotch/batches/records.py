"""Serialization of batches and their logs as canonical JSON: equal records have equal bytes.

The readers also take integers that are too large for ``load_json``, which earlier versions stored,
as the largest ones that it reads.
"""

from __future__ import annotations

import base64
from typing import Any

import attrs

from ..config.spec import Address
from ..malformed import clamp_integer, load_any_json
from ..objects.values import canonical_json
from ..software.origin import Origin
from .model import (
    BatchHead,
    BatchItem,
    BatchState,
    ItemResult,
    LogEntry,
    Owner,
    OwnerTerm,
    PartialResult,
    RewardCall,
    Submission,
    TextPiece,
)


def item_fields(item: BatchItem) -> dict[str, Any]:
    """Return the JSON fields of an item."""
    fields: dict[str, Any] = {
        "id": item.id,
        "target": item.target,
        "headers": [list(header) for header in item.headers],
        "body": base64.b64encode(item.body).decode(),
        "max_tokens": item.max_tokens,
        "expected_tokens": item.expected_tokens,
        "group": item.group,
    }
    if item.reward is not None:
        fields["reward"] = {
            "id": item.reward.id,
            "host": item.reward.host,
            "target": item.reward.target,
            "body": base64.b64encode(item.reward.body).decode(),
        }
    return fields


def read_item(fields: Any) -> BatchItem:
    """Parse the JSON fields of an item."""
    reward = fields.get("reward")
    return BatchItem(
        id=fields["id"],
        target=fields["target"],
        headers=tuple((name, value) for name, value in fields["headers"]),
        body=base64.b64decode(fields["body"]),
        max_tokens=clamp_integer(fields["max_tokens"]),
        expected_tokens=clamp_integer(fields["expected_tokens"]),
        group=fields["group"],
        reward=None if reward is None else _read_reward_call(reward),
    )


def _read_reward_call(fields: Any) -> RewardCall:
    return RewardCall(
        id=fields["id"],
        host=fields["host"],
        target=fields["target"],
        body=base64.b64decode(fields["body"]),
    )


def head_bytes(head: BatchHead, items: list[Any], parts: int) -> bytes:
    """Serialize a batch's head with its first items; ``parts`` more objects hold the others."""
    submission = head.submission
    fields = {
        "id": submission.id,
        "host": submission.host,
        "target": submission.target,
        "model": submission.model,
        "step": submission.step,
        "min_version": submission.min_version,
        "wanted_groups": submission.wanted_groups,
        "items": items,
        "parts": parts,
        "owner": owner_fields(head.owner),
        "accepted_ms": head.accepted_ms,
    }
    if submission.account:
        fields["account"] = submission.account
    return canonical_json(fields)


def read_head(value: bytes) -> tuple[BatchHead, int]:
    """Parse a batch's head with its first items, and the number of objects with the others."""
    fields = load_any_json(value)
    submission = Submission(
        id=fields["id"],
        host=fields["host"],
        target=fields["target"],
        items=tuple(read_item(item) for item in fields["items"]),
        model=fields["model"],
        step=clamp_integer(fields["step"]),
        min_version=clamp_integer(fields["min_version"]),
        wanted_groups=clamp_integer(fields["wanted_groups"]),
        account=fields.get("account", ""),
    )
    head = BatchHead(
        submission=submission,
        owner=read_owner(fields["owner"]),
        accepted_ms=clamp_integer(fields["accepted_ms"]),
    )
    return head, clamp_integer(fields["parts"])


def result_fields(result: ItemResult) -> dict[str, Any]:
    """Return the JSON fields of a result."""
    fields = {
        "id": result.id,
        "done": result.done,
        "text": result.text,
        "versions": list(result.versions),
    }
    if result.reward:
        fields["reward"] = result.reward
    if result.pieces:
        fields["pieces"] = result.pieces
    return fields


def read_result(fields: Any) -> ItemResult:
    """Parse the JSON fields of a result."""
    return ItemResult(
        id=fields["id"],
        done=fields["done"],
        text=fields["text"],
        versions=tuple(fields["versions"]),
        reward=fields.get("reward", ""),
        pieces=fields.get("pieces", ""),
    )


def read_part(fields: Any) -> PartialResult:
    """Parse the JSON fields of the progress of an unfinished item."""
    origin = fields.get("origin")
    return PartialResult(
        id=fields["id"],
        texts=tuple(fields["texts"]),
        last_event=fields["last_event"],
        versions=tuple(fields["versions"]),
        failures=fields["failures"],
        failed_at=tuple(fields["failed_at"]),
        # Gateways of older versions do not send these fields.
        complete=fields.get("complete", False),
        reward_failures=fields.get("reward_failures", 0),
        origin=None if origin is None else Origin(origin["service"], origin["software"]),
    )


def state_bytes(state: BatchState) -> bytes:
    """Serialize the state of a batch for its next owner."""
    head = state.head
    items = [item_fields(item) for item in head.submission.items]
    fields = {
        "head": head_bytes(head, items, 0).decode(),
        "position": state.position,
        "listed": [result_fields(result) for result in state.listed],
        "unlisted": [result_fields(result) for result in state.unlisted],
        # Gateways of older versions join texts of different software versions.
        "single_origins": True,
        "parts": [attrs.asdict(part) for part in state.parts],
    }
    return canonical_json(fields)


def read_state(value: bytes) -> BatchState:
    """Parse the state of a batch that another owner hands off."""
    fields = load_any_json(value)
    head, _parts = read_head(fields["head"].encode())
    unlisted = tuple(read_result(result) for result in fields["unlisted"])
    if not fields.get("single_origins"):
        unlisted = tuple(result for result in unlisted if not result.done)
    return BatchState(
        head=head,
        position=fields["position"],
        listed=tuple(read_result(result) for result in fields["listed"]),
        unlisted=unlisted,
        parts=tuple(read_part(part) for part in fields["parts"]),
    )


def entry_bytes(entry: LogEntry) -> bytes:
    """Serialize a log entry."""
    fields: dict[str, Any] = {"token": entry.token}
    if entry.results:
        fields["results"] = [result_fields(result) for result in entry.results]
    if entry.texts:
        fields["texts"] = [attrs.asdict(part) for part in entry.texts]
    if entry.piece is not None:
        fields["piece"] = attrs.asdict(entry.piece)
    if entry.owner is not None:
        fields["owner"] = owner_fields(entry.owner)
    if entry.former_silent:
        fields["former_silent"] = True
    if entry.ended:
        fields["ended"] = True
    return canonical_json(fields)


def read_entry(value: bytes) -> LogEntry:
    """Parse a log entry."""
    fields = load_any_json(value)
    owner = fields.get("owner")
    piece = fields.get("piece")
    return LogEntry(
        token=fields["token"],
        results=tuple(read_result(result) for result in fields.get("results", ())),
        texts=tuple(read_part(part) for part in fields.get("texts", ())),
        piece=None if piece is None else TextPiece(piece["id"], piece["text_id"], piece["text"]),
        owner=None if owner is None else read_owner(owner),
        former_silent=bool(fields.get("former_silent", False)),
        ended=fields.get("ended", False),
    )


def owner_fields(owner: Owner) -> dict[str, str]:
    """Return the JSON fields of an owner."""
    return {
        "node": owner.node,
        "incarnation": owner.incarnation,
        "address": str(owner.address),
    }


def term_fields(found: OwnerTerm) -> dict[str, str | int]:
    """Return the JSON fields of an owner and its term."""
    return {**owner_fields(found.owner), "term": found.term}


def read_term(fields: Any) -> OwnerTerm:
    """Parse the JSON fields of an owner and its term; raises one of ``MALFORMED``.

    Earlier versions send no term. Such an owner is a hint that any entry of the log replaces.
    """
    return OwnerTerm(read_owner(fields), int(fields.get("term", 0)))


def read_owner(fields: Any) -> Owner:
    """Parse the JSON fields of an owner; raises one of ``MALFORMED``."""
    return Owner(
        node=str(fields["node"]),
        incarnation=str(fields["incarnation"]),
        address=Address.parse(fields["address"]),
    )
