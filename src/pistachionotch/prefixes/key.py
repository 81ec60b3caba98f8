"""Keys of prompt prefixes, and the preferred agent for prefixes that are not known to be cached."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

# About 256 tokens: enough to distinguish prompts, and shared by all samples of a group.
HASHED_BYTES = 1024
KEY_BYTES = 8


def prefix_key(model: str, prompt: str) -> bytes:
    """Return the key by which entries and agents identify a prompt's prefix."""
    hashed = prompt.encode("utf-8", "surrogatepass")[:HASHED_BYTES]
    return hashlib.blake2b(model.encode() + b"\0" + hashed, digest_size=KEY_BYTES).digest()


def preferred_agent(prefix: bytes, agents: Iterable[str]) -> str:
    """Return the agent selected by rendezvous hashing, which is the same at every entry."""
    return max(agents, key=lambda agent: _score(prefix, agent))


def _score(prefix: bytes, agent: str) -> bytes:
    return hashlib.blake2b(prefix + agent.encode(), digest_size=KEY_BYTES).digest()
