"""Names of prompt prefixes, and the agent at which work without facts should meet."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

# About 256 tokens: enough to tell prompts apart, and common to all samples of a group.
NAMED_BYTES = 1024
KEY_BYTES = 8


def prefix_key(model: str, prompt: str) -> bytes:
    """Return the name under which entries and agents exchange facts on a prompt's prefix."""
    named = prompt.encode("utf-8", "surrogatepass")[:NAMED_BYTES]
    return hashlib.blake2b(model.encode() + b"\0" + named, digest_size=KEY_BYTES).digest()


def preferred_agent(prefix: bytes, agents: Iterable[str]) -> str:
    """Return the agent that rendezvous hashing selects, the same at every entry."""
    return max(agents, key=lambda agent: _score(prefix, agent))


def _score(prefix: bytes, agent: str) -> bytes:
    return hashlib.blake2b(prefix + agent.encode(), digest_size=KEY_BYTES).digest()
