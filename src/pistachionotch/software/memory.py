"""Streams that clients may take up again, as far as one gateway knows them; does no I/O."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from .origin import BegunStream, Origin

# Streams beyond this number are forgotten, the oldest first.
MAX_STREAMS = 50_000


@attrs.define
class StreamMemory:
    """The origins of streams by the request ID of the attempt that brought the first event."""

    streams: dict[str, BegunStream] = attrs.field(factory=dict)
    # Number of streams forgotten before their time.
    overflowed: int = 0
    # Increases with each change.
    changes: int = 0

    def remember(self, stream_id: str, stream: BegunStream) -> None:
        """Remember a stream; an earlier one of the same ID keeps its origin."""
        known = self.streams.get(stream_id)
        if known is not None:
            # Clients choose these IDs. The first event decides, so a second stream of an ID does
            # not change what is known of the first one.
            stream = attrs.evolve(known, expires_ms=max(known.expires_ms, stream.expires_ms))
            if stream == known:
                return
        elif len(self.streams) >= MAX_STREAMS:
            self.streams.pop(next(iter(self.streams)))
            self.overflowed += 1
        self.streams[stream_id] = stream
        self.changes += 1

    def find(self, stream_id: str, now_ms: int) -> BegunStream | None:
        """Return a stream that its client may still take up."""
        stream = self.streams.get(stream_id)
        return stream if stream is not None and now_ms < stream.expires_ms else None

    def evict_expired(self, now_ms: int) -> None:
        """Forget the streams that no client takes up any more."""
        for stream_id, stream in list(self.streams.items()):
            if now_ms >= stream.expires_ms:
                del self.streams[stream_id]

    def of_origins(self, origins: frozenset[Origin], most: int) -> Mapping[str, BegunStream]:
        """Return the newest streams of some origins, at most ``most``."""
        found = {key: each for key, each in self.streams.items() if each.origin in origins}
        if len(found) <= most:
            return found
        newest = sorted(found, key=lambda key: found[key].begun_ms)[-most:]
        return {key: found[key] for key in newest}
