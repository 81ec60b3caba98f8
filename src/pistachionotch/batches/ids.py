"""Internal ids of batches, which are names of objects and parts of paths between gateways.

Object APIs and paths treat some characters in a special way: on the platform, for example, a slash
and a tilde become the same name. Ids with such characters are quoted, and no two ids share a name.
"""

from __future__ import annotations

import re
from urllib.parse import quote, unquote

# Begins each quoted id.
_MARK = "="
# Printable ASCII without slash and tilde, not only dots.
_PLAIN = re.compile(r"(?!=)(?!\.+\Z)[!-.0-}]+")


def internal_id(batch: str) -> str:
    """Return the internal id of the batch with a client's id."""
    if not batch or _PLAIN.fullmatch(batch):
        return batch
    return _MARK + quote(batch, safe="").replace("~", "%7E")


def external_id(batch: str) -> str:
    """Return the client's id of the batch with an internal id."""
    return unquote(batch.removeprefix(_MARK)) if batch.startswith(_MARK) else batch
