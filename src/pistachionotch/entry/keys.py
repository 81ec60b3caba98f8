"""Issue of idempotency keys by the agents that run the calls."""

from __future__ import annotations

import random
import secrets

import attrs
from gevent.queue import Empty, Queue

from ..wire.messages import IssueKey, KeyIssued
from .links import AgentLink
from .table import LinkTable

ISSUE_TIMEOUT_S = 2.0


def request_key(link: AgentLink, scope: str, timeout_s: float = ISSUE_TIMEOUT_S) -> str | None:
    """Request a key from one agent; return ``None`` if it issues none in time."""
    identifier = f"key-{secrets.token_hex(6)}"
    channel: Queue = Queue()
    if not link.send_request(identifier, IssueKey(identifier, scope), channel):
        return None
    try:
        _link, reply = channel.get(timeout=timeout_s)
    except Empty:
        return None
    finally:
        link.discard_answers(identifier)
    return reply.key if isinstance(reply, KeyIssued) else None


@attrs.frozen
class KeyIssuer:
    """Requests keys from the agents of a target, in random order."""

    table: LinkTable
    rng: random.Random

    def issue(self, target: str) -> str | None:
        """Return a key for a call to ``target``, or ``None`` if no agent issues one."""
        links = [link for link in self.table.ready() if target in link.member.models]
        self.rng.shuffle(links)
        for link in links:
            key = request_key(link, target)
            if key is not None:
                return key
        return None
