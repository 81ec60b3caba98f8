"""The service and the software version whose server began a stream."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen(order=True)
class Origin:
    """The service and the software version of the server that began a stream."""

    service: str
    software: str


class KnownBy(enum.Enum):
    """How the origin of a stream is known; the values go into logs."""

    MEMORY = "this gateway"
    PEER = "another gateway"
    RECORD = "record"
    ONLY_VERSION = "only possible version"
    NOTHING = "nothing"


@attrs.frozen
class BegunStream:
    """A stream that brought its client an event; times are of this process's monotonic clock."""

    origin: Origin
    begun_ms: int
    # Until when its client may take it up.
    expires_ms: int
