"""Exceptions that decoding a malformed message may raise."""

from __future__ import annotations

from typing import Any

import cbor2

# Raised for missing fields, wrong types, numbers out of range and values nested too deeply.
MALFORMED = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError, RecursionError)


def load_cbor(body: bytes) -> Any:
    """Decode CBOR; raises ``ValueError`` if it is malformed."""
    try:
        return cbor2.loads(body)
    except (cbor2.CBORError, EOFError, *MALFORMED) as error:
        raise ValueError(f"malformed CBOR: {error!r}") from error
