"""What decoding a malformed message may raise, whoever sent it."""

from __future__ import annotations

from typing import Any

import cbor2

# Missing fields, other types, numbers beyond all bounds, and values that are nested too deeply.
MALFORMED = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError, RecursionError)


def load_cbor(body: bytes) -> Any:
    """Decode CBOR; raises ``ValueError`` if it is malformed."""
    try:
        return cbor2.loads(body)
    except (cbor2.CBORError, EOFError, *MALFORMED) as error:
        raise ValueError(f"malformed CBOR: {error!r}") from error
