"""Bound on the open connections of a port; performs no I/O.

Load pattern: many clients open connections and send nothing, an unfinished head or a body at a
trickle, or do not read, and come back as soon as they are closed. For this load, each new
connection gets a place: the longest idle connection without a request makes room, then the one that
has kept the process waiting longest in the middle of a request. Connections whose requests are
being worked on are never closed.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from ..clock import Clock

# A connection in the middle of a request may be closed for others once it has waited this long.
MIN_WAIT_MS = 1_000


class Stage(enum.Enum):
    """What a connection does; ``IDLE``, ``RECEIVING`` and ``SENDING`` wait for the client."""

    IDLE = "idle"
    RECEIVING = "receiving"
    RUNNING = "running"
    # A request for news that is held until there are some; its client asks again elsewhere.
    WAITING = "waiting"
    SENDING = "sending"


@attrs.define(eq=False)
class OpenConnection:
    """One connection of a client."""

    peer: str
    shut: Callable[[], None]
    clock: Clock
    since_ms: int
    stage: Stage = Stage.IDLE
    # Whether it lost its place to another connection.
    is_closed: bool = False
    # Bytes of the current answer: sent so far, and in all, with its head; None if that is not
    # known, as for a stream.
    sent_bytes: int = 0
    answer_bytes: int | None = None

    @property
    def open(self) -> bool:
        """Whether a request has not been answered up to the last byte."""
        return self.stage not in (Stage.IDLE, Stage.WAITING)

    @property
    def left_bytes(self) -> int | None:
        """Return the bytes of the current answer that are not sent; None if that is not known."""
        return None if self.answer_bytes is None else self.answer_bytes - self.sent_bytes

    def begin_answer(self, answer_bytes: int | None) -> None:
        """Record that an answer begins."""
        self.sent_bytes, self.answer_bytes = 0, answer_bytes

    def enter(self, stage: Stage) -> None:
        """Record a change of the stage."""
        if stage is self.stage:
            return
        self.stage = stage
        self.since_ms = self.clock.now_ms()


@attrs.frozen
class Place:
    """Outcome for a new connection: its record, and the one that has to be closed for it."""

    connection: OpenConnection | None
    closed: OpenConnection | None = None


@attrs.define
class ConnectionTable:
    """The open connections of one port."""

    clock: Clock
    max_connections: int
    connections: dict[OpenConnection, None] = attrs.field(factory=dict)

    def open(self, peer: str, shut: Callable[[], None]) -> Place:
        """Decide about a new connection; without a record in the outcome, it is refused."""
        victim = None
        if len(self.connections) >= self.max_connections:
            victim = self._longest_waiting()
            if victim is None:
                return Place(None)
            victim.is_closed = True
            self.remove(victim)
        connection = OpenConnection(peer, shut, self.clock, self.clock.now_ms())
        self.connections[connection] = None
        return Place(connection, victim)

    def remove(self, connection: OpenConnection) -> None:
        """Free the place of a connection that was closed."""
        self.connections.pop(connection, None)

    def _longest_waiting(self) -> OpenConnection | None:
        idle = [each for each in self.connections if each.stage is Stage.IDLE]
        if idle:
            return min(idle, key=_since)
        latest_ms = self.clock.now_ms() - MIN_WAIT_MS
        waiting = [
            each
            for each in self.connections
            if each.stage not in (Stage.RUNNING, Stage.WAITING) and each.since_ms <= latest_ms
        ]
        return min(waiting, key=_since, default=None)


def _since(connection: OpenConnection) -> int:
    return connection.since_ms
