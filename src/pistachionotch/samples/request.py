"""Storage of a step's prompts, so that another entry can generate samples after a takeover.

The prompts are immutable and too large for the ledger, so they are stored in parts of their own.
The key of each part contains the digest of the whole request. This makes repeated writes harmless,
and a part of another request cannot be mistaken for one of this request.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

import attrs
import cbor2
from returns.result import Failure, Result, Success

from ..objects.api import ObjectStore, VersionConflict, WriteAmbiguous
from .ledger import StepPlan

FORMAT = 1
# The object API stores values of at most 1 MB.
MAX_REQUEST_PART_BYTES = 900_000
MAX_REQUEST_BYTES = 16_000_000
DIGEST_BYTES = 16


@attrs.frozen
class StepRequestError:
    """Reason why the prompts cannot be stored or loaded; retries do not help if ``permanent``."""

    reason: str
    permanent: bool = False


@attrs.frozen
class StepRequest:
    """One prompt for each group, and the sampling parameters of the completions."""

    prompts: tuple[str, ...]
    sampling: dict[str, Any] = attrs.field(factory=dict)

    def to_bytes(self) -> bytes:
        """Serialize the request; equal requests give equal bytes."""
        sampling = json.dumps(self.sampling, sort_keys=True)
        return cbor2.dumps([FORMAT, list(self.prompts), sampling])

    @classmethod
    def from_bytes(cls, data: bytes) -> StepRequest:
        """Deserialize a request whose digest the caller has verified."""
        _, prompts, sampling = cbor2.loads(data)
        return cls(tuple(prompts), json.loads(sampling))


def attach_request(plan: StepPlan, request: StepRequest) -> Result[StepPlan, StepRequestError]:
    """Return the plan with the digest and the number of stored parts of this request."""
    if len(request.prompts) != plan.groups:
        reason = f"{len(request.prompts)} prompts for {plan.groups} groups"
        return Failure(StepRequestError(reason, permanent=True))
    data = request.to_bytes()
    if len(data) > MAX_REQUEST_BYTES:
        return Failure(StepRequestError(f"the request has {len(data)} bytes", permanent=True))
    parts = -(-len(data) // MAX_REQUEST_PART_BYTES)
    return Success(attrs.evolve(plan, request_parts=parts, request_digest=_digest(data)))


def request_part_key(plan: StepPlan, part: int) -> str:
    """Return the object key of one part of the request."""
    return f"step-requests/{plan.trainer}/{plan.step}/{plan.request_digest}/{part}"


def store_request(
    store: ObjectStore, plan: StepPlan, request: StepRequest
) -> Result[None, StepRequestError]:
    """Write all parts of the request; must complete before the ledger is created."""
    data = request.to_bytes()
    if _digest(data) != plan.request_digest:
        return Failure(StepRequestError("the plan names another request", permanent=True))
    for part in range(plan.request_parts):
        value = data[part * MAX_REQUEST_PART_BYTES : (part + 1) * MAX_REQUEST_PART_BYTES]
        key = request_part_key(plan, part)
        put = store.put(key, value, None)
        if isinstance(put, Success):
            continue
        error = put.failure()
        if not isinstance(error, WriteAmbiguous | VersionConflict):
            return Failure(StepRequestError(str(error)))
        read = store.get(key)
        if isinstance(read, Failure):
            return Failure(StepRequestError(read.failure().reason))
        stored = read.unwrap()
        if stored is None or stored.value != value:
            return Failure(StepRequestError(f"part {part} is not stored yet"))
    return Success(None)


def load_request(store: ObjectStore, plan: StepPlan) -> Result[StepRequest, StepRequestError]:
    """Read all parts of the request, for an entry that takes over the step."""
    parts: list[bytes] = []
    for part in range(plan.request_parts):
        read = store.get(request_part_key(plan, part))
        if isinstance(read, Failure):
            return Failure(StepRequestError(read.failure().reason))
        stored = read.unwrap()
        if stored is None:
            return Failure(StepRequestError(f"part {part} does not exist", permanent=True))
        parts.append(stored.value)
    data = b"".join(parts)
    if _digest(data) != plan.request_digest:
        return Failure(StepRequestError("the parts do not match the plan", permanent=True))
    return Success(StepRequest.from_bytes(data))


def delete_request(store: ObjectStore, plan: StepPlan) -> None:
    """Delete the request of a step on a best-effort basis; parts that remain are harmless."""
    for part in range(plan.request_parts):
        read = store.get(request_part_key(plan, part))
        if isinstance(read, Failure):
            return
        stored = read.unwrap()
        if stored is not None:
            store.delete(stored.key, stored.version)


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
