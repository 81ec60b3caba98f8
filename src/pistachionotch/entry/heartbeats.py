"""Heartbeats of all links of an entry, sent by one task so that the process wakes seldom."""

from __future__ import annotations

from typing import Protocol

import attrs
import gevent
from gevent.event import Event

from ..clock import MS_PER_SECOND

# A heartbeat may leave this part of its interval early, together with others. The links of an entry
# then fall into at most this many groups, and their answers arrive together as well.
MAX_HEARTBEAT_GROUPS = 10


class HeartbeatSender(Protocol):
    """Send heartbeats when they are due."""

    def send_due_heartbeat(self) -> int:
        """Send what is due, and return how long nothing is due."""


@attrs.define(eq=False)
class HeartbeatScheduler:
    """Call the links that serve a session; the task ends with the last of them."""

    links: list[HeartbeatSender] = attrs.field(factory=list)
    wake_event: Event = attrs.field(factory=Event)
    running: bool = False

    def add(self, link: HeartbeatSender) -> None:
        """Call a link from now on."""
        self.links.append(link)
        self.wake()
        if not self.running:
            self.running = True
            gevent.spawn(self._run)

    def remove(self, link: HeartbeatSender) -> None:
        """Call a link no more."""
        self.links.remove(link)

    def wake(self) -> None:
        """Call all links now, because an interval may have changed."""
        self.wake_event.set()

    def _run(self) -> None:
        try:
            while self.links:
                self.wake_event.clear()
                wait_ms = min(link.send_due_heartbeat() for link in self.links)
                self.wake_event.wait(wait_ms / MS_PER_SECOND)
        finally:
            self.running = False
