"""Decoding of batch submissions and encoding of their results, in the JSON of the clients."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Callable
from typing import Any

from ..batches.fields import InvalidFieldError, read_estimate, read_integer, read_text
from ..batches.model import BatchItem, ItemResult, ResultPage, RewardCall, Submission
from ..http_client import Header
from ..malformed import MALFORMED, load_any_json

LENGTH_HINT = "length-hint"
# Memory of parsed JSON: an object or list with its first members, and a further member with its
# place. An empty object in a list takes 3 bytes of text and 72 in memory.
CONTAINER_BYTES = 232
MEMBER_BYTES = 72
# A name with its value, until the object is complete.
NAME_BYTES = 64


def parsing_bytes(body: bytes) -> int:
    """Return an upper estimate of the memory that parsing a submission takes beside its body.

    These are the text, the parsed values and then the items, which exist after the text is gone.
    """
    # A single character outside Latin-1 makes each character of the text take up to 4 bytes.
    text = len(body) if body.isascii() else 4 * len(body)
    containers = body.count(b"{") + body.count(b"[")
    members = MEMBER_BYTES * body.count(b",") + NAME_BYTES * body.count(b":")
    return 2 * text + CONTAINER_BYTES * containers + members


Filter = Callable[[tuple[Header, ...]], tuple[Header, ...]]


def read_submission(
    batch: str,
    host: str,
    target: str,
    body: bytes,
    account: str = "",
    kept_headers: Filter = lambda headers: headers,
) -> Submission:
    """Decode a submission; raises ``ValueError`` if it is malformed.

    ``kept_headers`` returns those of an item's own headers that are stored.
    """
    try:
        # Its fields are checked one by one, so that an error names the field.
        fields = load_any_json(body)
        items = tuple(_parse_item(item, kept_headers) for item in fields["items"])
        if not items or len({item.id for item in items}) != len(items):
            raise ValueError("items: none, or two with one id")
        return Submission(
            id=batch,
            host=host,
            target=target,
            items=items,
            model=read_text("model", fields.get("model") or ""),
            step=read_integer("train_step", fields.get("train_step")),
            min_version=read_integer("min_version", fields.get("min_version")),
            # Counts groups, not items.
            wanted_groups=read_integer("desired", fields.get("desired")),
            account=account,
        )
    except ValueError:
        raise
    except MALFORMED as error:
        raise ValueError(f"malformed submission: {error!r}") from error


def _parse_item(fields: Any, kept_headers: Filter) -> BatchItem:
    item = read_text("items: id", fields["id"])
    headers = tuple(
        (name, read_text(f"item {item}: header {name!r}", value))
        for name, value in fields["headers"].items()
    )
    _check_sendable(item, str(fields["path"]), headers)
    hint = next((value for name, value in headers if name.lower() == LENGTH_HINT), "")
    return BatchItem(
        id=item,
        target=str(fields["path"]),
        headers=kept_headers(headers),
        body=_parse_body(f"item {item}: body", fields["body"]),
        max_tokens=read_integer(f"item {item}: token_count", fields.get("token_count")),
        expected_tokens=read_estimate(hint),
        group=read_text(f"item {item}: group_id", fields.get("group_id") or item),
        reward=_parse_reward_call(item, fields.get("scorer")),
    )


def _parse_reward_call(item: str, fields: Any) -> RewardCall | None:
    """Decode the request that computes an item's reward; errors name the item and the field."""
    if fields is None:
        return None
    if not isinstance(fields, dict):
        raise ValueError(f"item {item}: scorer must be an object")
    texts = {}
    for name in ("id", "hostname", "path", "body"):
        value = fields.get(name)
        if not isinstance(value, str) or not (value or name == "body"):
            raise ValueError(f"item {item}: scorer.{name} must be a text")
        texts[name] = value
    if not texts["path"].startswith("/") or not _fits_request_line(texts["path"]):
        raise ValueError(f"item {item}: scorer.path cannot be sent")
    if not (_fits_request_line(texts["id"]) and _fits_request_line(texts["hostname"])):
        raise ValueError(f"item {item}: scorer.id or scorer.hostname cannot be sent")
    body = _parse_body(f"item {item}: scorer.body", texts["body"])
    return RewardCall(id=texts["id"], host=texts["hostname"], target=texts["path"], body=body)


def _parse_body(field: str, text: Any) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise InvalidFieldError(field, "not base64") from error


def _check_sendable(item: str, target: str, headers: tuple[tuple[str, str], ...]) -> None:
    """Raise ``ValueError`` if a field could inject a header or a second request."""
    if not item or not _fits_request_line(item):
        raise ValueError(f"an item's id cannot be sent: {item!r}")
    if not target.startswith("/") or not _fits_request_line(target):
        raise ValueError(f"item {item}: its path cannot be sent")
    for name, value in headers:
        if not name or not _fits_request_line(name) or ":" in name or not _fits_header(value):
            raise ValueError(f"item {item}: header {name!r} cannot be sent")


def _fits_header(value: str) -> bool:
    """Return whether a text can be the value of a header, which is sent as Latin-1."""
    return value.isprintable() and all(ord(character) < 256 for character in value)


def _fits_request_line(text: str) -> bool:
    """Return whether a text is printable ASCII without spaces, as a request line needs it."""
    return text.isascii() and text.isprintable() and " " not in text


def encode_page(page: ResultPage) -> bytes:
    """Encode a page of results as the body of a response."""
    fields = {
        "total": page.total,
        # The position of the next result, although the name suggests an opaque token.
        "next_token": page.next_position,
        "results": [_encode_result(result) for result in page.results],
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def _encode_result(result: ItemResult) -> dict[str, Any]:
    fields = {
        "id": result.id,
        "state": "done" if result.done else "dead",
        "text": result.text,
        "weight_versions": list(result.versions),
    }
    if result.reward:
        # The proof that came with the reward call's response, although the name suggests a number.
        fields["score"] = result.reward
    return fields
