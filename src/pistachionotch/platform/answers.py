"""Bodies of responses, with the room that they hold until their clients have read them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator

import attrs
import gevent

from ..client_socket import ClientSocket
from ..limits.byte_budget import SMALL_BYTES, ByteBudget, Holding, NoRoomError, Purpose

PART_BYTES = 64 * 1024


def hold_buffered(
    budget: ByteBudget, client: ClientSocket, label: str, body: bytes
) -> Iterable[bytes]:
    """Return a body as the parts of a WSGI response; a large one holds room until it is sent."""
    if len(body) <= SMALL_BYTES:
        # The system's send buffer takes it at once.
        return [body]
    holding = budget.hold(Purpose.ANSWER, label, client.cut)
    with contextlib.suppress(NoRoomError):
        # Its request has run, so it gets room even if that exceeds the budget for a moment.
        holding.grow(len(body), force=True)
    return _BufferedBody(body, holding)


@attrs.define
class _BufferedBody:
    """The parts of a large body, each of which shows that the client has taken the one before."""

    body: bytes
    holding: Holding

    def __iter__(self) -> Iterator[bytes]:
        for start in range(0, len(self.body), PART_BYTES):
            part = self.body[start : start + PART_BYTES]
            yield part
            self.holding.move(len(part))

    def close(self) -> None:
        """Give the room back; the WSGI server calls this whether all was sent or not."""
        self.body = b""
        self.holding.release()


@attrs.define
class StreamBody:
    """Iterate over the parts of a stream and release its resources when closed."""

    parts: Iterator[bytes]
    holding: Holding
    # Called once when the response has ended.
    ended: Callable[[], None]

    @classmethod
    def build(
        cls,
        budget: ByteBudget,
        client: ClientSocket,
        label: str,
        parts: Iterator[bytes],
        ended: Callable[[], None],
    ) -> StreamBody:
        """Return the body of a stream that is sent to a client."""
        return cls(parts, budget.hold(Purpose.ANSWER, label, client.cut), ended)

    def __iter__(self) -> Iterator[bytes]:
        for part in self.parts:
            with contextlib.suppress(NoRoomError):
                self.holding.begin_part(len(part))
            yield part
            self.holding.end_part()

    def close(self) -> None:
        """Release the stream; the WSGI server calls this whether it was completed or not."""
        self.holding.release()
        self.ended()
        gevent.spawn(self.parts.close)  # type: ignore[attr-defined]
