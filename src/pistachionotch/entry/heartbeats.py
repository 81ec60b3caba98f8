"""Heartbeats of all links of an entry, sent by one task so that the process wakes up rarely."""

from __future__ import annotations

from typing import Protocol

import attrs
import gevent
from gevent.event import Event

from ..clock import MS_PER_SECOND

# A heartbeat may be sent early by one part in this many of its interval, together with others. The
# links of an entry then form at most this many groups, whose answers arrive together as well.
MAX_HEARTBEAT_GROUPS = 10


class HeartbeatSender(Protocol):
    """A link that sends its own heartbeats."""

    def send_due_heartbeat(self) -> int:
        """Send a heartbeat if it is due; return the milliseconds until the next check."""


@attrs.define(eq=False)
class HeartbeatScheduler:
    """Checks all links with a session for due heartbeats, in one task while there are any."""

    links: list[HeartbeatSender] = attrs.field(factory=list)
    wake_event: Event = attrs.field(factory=Event)
    running: bool = False

    def add(self, link: HeartbeatSender) -> None:
        """Add a link, and start the task if it is not running."""
        self.links.append(link)
        self.wake()
        if not self.running:
            self.running = True
            gevent.spawn(self._run)

    def remove(self, link: HeartbeatSender) -> None:
        """Remove a link."""
        self.links.remove(link)

    def wake(self) -> None:
        """Check all links now, because an interval may have changed."""
        self.wake_event.set()

    def _run(self) -> None:
        try:
            while self.links:
                self.wake_event.clear()
                wait_ms = min(link.send_due_heartbeat() for link in self.links)
                self.wake_event.wait(wait_ms / MS_PER_SECOND)
        finally:
            self.running = False
