"""Metadata of a sample; its body is stored at the producing agent and at a copy holder."""

from __future__ import annotations

import hashlib
import random

import attrs

from .spans import VersionSpan

SAMPLE_ID_BYTES = 16
DIGEST_BYTES = 16
MAX_NAME_BYTES = 64


@attrs.frozen(order=True)
class Slot:
    """Position of a sample in a step: its group, and its index within the group."""

    group: int
    index: int


def _check_id(_sample: object, _field: object, value: str) -> None:
    if len(bytes.fromhex(value)) != SAMPLE_ID_BYTES or value != value.lower():
        raise ValueError(f"sample id is not {SAMPLE_ID_BYTES} bytes in lower-case hex: {value!r}")


def _check_digest(_sample: object, _field: object, value: bytes) -> None:
    if len(value) != DIGEST_BYTES:
        raise ValueError(f"digest has {len(value)} bytes instead of {DIGEST_BYTES}")


def _check_name(_sample: object, _field: object, value: str) -> None:
    if len(value.encode()) > MAX_NAME_BYTES:
        raise ValueError(f"node name is longer than {MAX_NAME_BYTES} bytes: {value!r}")


@attrs.frozen
class Sample:
    """Metadata of a produced sample: its slot, its versions, and the nodes that store its body."""

    sample_id: str = attrs.field(validator=_check_id)
    slot: Slot
    digest: bytes = attrs.field(validator=_check_digest)
    spans: tuple[VersionSpan, ...]
    agent: str = attrs.field(validator=_check_name)
    copy_holder: str = attrs.field(default="", validator=_check_name)

    def matches(self, body: bytes) -> bool:
        """Return whether ``body`` is the complete body of this sample."""
        return body_digest(body) == self.digest


def body_digest(body: bytes) -> bytes:
    """Return the digest that detects a damaged body or that of another sample."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


def new_sample_id(rng: random.Random) -> str:
    """Return a random id; every attempt to generate a sample gets a new one."""
    return rng.randbytes(SAMPLE_ID_BYTES).hex()
