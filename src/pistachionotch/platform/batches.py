"""Batch submissions and their results as clients write and read them."""

from __future__ import annotations

import base64
import binascii
import json
from typing import Any

from ..batches.model import BatchItem, ItemResult, ResultPage, Submission

LENGTH_HINT = "length-hint"


def read_submission(batch: str, host: str, target: str, body: bytes) -> Submission:
    """Read a submission; raises ``ValueError`` if it is malformed."""
    try:
        fields = json.loads(body)
        items = tuple(_item(item) for item in fields["items"])
        if not items or len({item.id for item in items}) != len(items):
            raise ValueError("no items, or two with one id")
        return Submission(
            id=batch,
            host=host,
            target=target,
            items=items,
            model=str(fields.get("model") or ""),
            step=int(fields.get("train_step") or 0),
            min_version=int(fields.get("min_version") or 0),
            # Counted in groups, not in items.
            wanted_groups=int(fields.get("desired") or 0),
        )
    except (KeyError, TypeError, AttributeError, binascii.Error) as error:
        raise ValueError(f"malformed submission: {error!r}") from error


def _item(fields: Any) -> BatchItem:
    headers = tuple((str(name), str(value)) for name, value in fields["headers"].items())
    hint = next((value for name, value in headers if name.lower() == LENGTH_HINT), "")
    return BatchItem(
        id=str(fields["id"]),
        target=str(fields["path"]),
        headers=headers,
        body=base64.b64decode(fields["body"], validate=True),
        max_tokens=int(fields.get("token_count") or 0),
        expected_tokens=int(hint) if hint.isdigit() else 0,
        group=str(fields.get("group_id") or fields["id"]),
    )


def page_body(page: ResultPage) -> bytes:
    """Return the body of a read."""
    fields = {
        "total": page.total,
        # A position, although the name suggests an opaque token.
        "next_token": page.next_position,
        "results": [_result(result) for result in page.results],
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def _result(result: ItemResult) -> dict[str, Any]:
    return {
        "id": result.id,
        "state": "done" if result.done else "dead",
        "text": result.text,
        "weight_versions": list(result.versions),
    }
