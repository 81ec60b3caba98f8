"""Values of stored objects and their sizes, in the bytes that the object API counts."""

from __future__ import annotations

import json
from typing import Any

import attrs

# Bytes of an object that are not its value: name, revision, finalizers and the names of the fields.
OBJECT_OVERHEAD_BYTES = 2_048
# A JSON string has up to this many bytes for one character: a surrogate pair, both escaped.
MAX_BYTES_PER_CHARACTER = 12


def canonical_json(fields: Any) -> bytes:
    """Return JSON with sorted keys and without whitespace."""
    return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()


def json_size(fields: Any) -> int:
    """Return the number of bytes that a value has in an object.

    Characters outside ASCII and control characters count with their escapes, as they are sent.
    UTF-8 is never longer, so an object API that counts UTF-8 counts no more.
    """
    return len(canonical_json(fields))


def prefix_within(text: str, max_bytes: int) -> int:
    """Return how many of the first characters have at most ``max_bytes`` bytes as JSON.

    The result is at least 1 and may be somewhat less than the largest possible number.
    """
    count = min(len(text), max_bytes)
    while count > 1 and (size := json_size(text[:count])) > max_bytes:
        # The text before the limit may be longer per character than the rest.
        count = max(1, min(count - 1, count * max_bytes // size))
    return max(1, count)


@attrs.frozen
class ValueLimit:
    """The object API's limit on the size of an object."""

    # Maximum size of a whole object in bytes; 0 if there is no limit.
    max_object_bytes: int

    @property
    def max_value_bytes(self) -> int:
        """Return the maximum size of a value in bytes."""
        return max(0, self.max_object_bytes - OBJECT_OVERHEAD_BYTES)

    def allows(self, value: bytes) -> bool:
        """Return whether the object API accepts a value of this size."""
        return self.max_object_bytes == 0 or len(value) <= self.max_value_bytes
