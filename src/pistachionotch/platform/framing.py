"""Delimitation of a request's body."""

from __future__ import annotations

import re
from collections.abc import Iterable

from ..http_client import Header

_LENGTH = re.compile("[0-9]{1,18}")


def framing_error(headers: Iterable[Header]) -> str:
    """Return why the end of a request's body is uncertain; empty if it is not."""
    pairs = [(name.lower(), value.strip(" \t")) for name, value in headers]
    names = [name for name, _value in pairs]
    # Two ways to delimit a body are a means of request smuggling.
    if "transfer-encoding" in names and "content-length" in names:
        return "both a length and a transfer encoding"
    if names.count("content-length") > 1 or names.count("transfer-encoding") > 1:
        return "the length or the transfer encoding is given twice"
    for name, value in pairs:
        if name == "content-length" and not _LENGTH.fullmatch(value):
            return "the length is no number"
        # The end of a body whose last encoding is another one is not known.
        if name == "transfer-encoding" and value.lower() != "chunked":
            return "the transfer encoding is not chunked"
    return ""
