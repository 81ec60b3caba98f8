"""Serialization of the step ledger as one compact CBOR array.

Each node name is stored once and referenced by index. A delivered or cut slot takes one byte, so
the ledger shrinks as the trainer acknowledges samples.
"""

from __future__ import annotations

import io
from typing import Any

import attrs
import cbor2
from returns.result import Failure, Result, Success

from .ledger import SlotState, StepLedger, StepPlan
from .sample import Sample
from .spans import VersionSpan, find_span_error

FORMAT = 1
MAX_LEDGER_BYTES = 1_000_000
# A step of one part is stored without the fields ``parts`` and ``part``, so that entries of earlier
# versions can read it.
ONE_PART_FIELDS = 9
COUNTS = (
    "step",
    "groups",
    "samples_per_group",
    "staleness_bound",
    "deadline_unix_ms",
    "request_parts",
    "parts",
    "part",
)


@attrs.frozen
class CorruptLedger:
    """Stored bytes that are not a valid ledger, and the reason."""

    reason: str


def to_bytes(ledger: StepLedger) -> bytes:
    """Serialize a ledger; equal ledgers give equal bytes."""
    names: dict[str, int] = {}
    slots: list[Any] = []
    for number, state in enumerate(ledger.states):
        if state == SlotState.READY:
            slots.append(_pack_sample(ledger.samples[number], names))
            continue
        slots.append(int(state))
    plan = list(attrs.astuple(ledger.plan))
    if ledger.plan.parts == 1:
        plan = plan[:ONE_PART_FIELDS]
    cursor = [ledger.cursor, ledger.attempt, list(ledger.assigned)]
    return cbor2.dumps([FORMAT, plan, cursor, ledger.writer_token, list(names), slots])


def from_bytes(data: bytes) -> Result[StepLedger, CorruptLedger]:
    """Deserialize a ledger; any value out of range makes it corrupt."""
    if len(data) > MAX_LEDGER_BYTES:
        return Failure(CorruptLedger(f"{len(data)} bytes are more than a ledger has"))
    try:
        stream = io.BytesIO(data)
        fields = cbor2.load(stream)
        if stream.read(1):
            return Failure(CorruptLedger("bytes follow the ledger"))
        return _unpack(fields)
    except (cbor2.CBORDecodeError, ValueError, TypeError, LookupError, AttributeError) as error:
        return Failure(CorruptLedger(f"{type(error).__name__}: {error}"))


def _pack_sample(sample: Sample, names: dict[str, int]) -> list[Any]:
    agent = names.setdefault(sample.agent, len(names))
    holder = names.setdefault(sample.copy_holder, len(names))
    spans = [part for span in sample.spans for part in (span.version, span.tokens)]
    return [bytes.fromhex(sample.sample_id), sample.digest, agent, holder, spans]


def _unpack(fields: Any) -> Result[StepLedger, CorruptLedger]:
    if fields[0] != FORMAT:
        return Failure(CorruptLedger(f"format {fields[0]} is not {FORMAT}"))
    _, plan_fields, (cursor, attempt, assigned), writer_token, names, slots = fields
    plan = StepPlan(*plan_fields)
    numbers = [cursor, attempt, *assigned, *(getattr(plan, name) for name in COUNTS)]
    texts = [plan.trainer, plan.model, plan.request_digest, *names]
    if not _all_are(int, numbers) or min(numbers) < 0:
        return Failure(CorruptLedger("a number is not a count"))
    if not _all_are(str, texts) or not isinstance(writer_token, bytes):
        return Failure(CorruptLedger("a name is not text, or the writer token is not bytes"))
    reason = plan.validation_error()
    if reason is not None:
        return Failure(CorruptLedger(reason))
    if len(slots) != plan.slot_count:
        return Failure(CorruptLedger(f"{len(slots)} slots instead of {plan.slot_count}"))
    ledger = StepLedger.create(plan)
    ledger.cursor, ledger.attempt, ledger.writer_token = cursor, attempt, writer_token
    for number, packed in enumerate(slots):
        if not isinstance(packed, list):
            ledger.states[number] = SlotState(packed)
            continue
        ledger.states[number] = SlotState.READY
        ledger.samples[number] = _unpack_sample(ledger, number, packed, names)
    ledger.assigned = tuple(assigned)
    return _check_consistency(ledger)


def _all_are(kind: type, values: list[Any]) -> bool:
    return all(type(value) is kind for value in values)


def _check_consistency(ledger: StepLedger) -> Result[StepLedger, CorruptLedger]:
    ready = [n for n, state in enumerate(ledger.states) if state == SlotState.READY]
    if len(ready) != len(ledger.samples):
        return Failure(CorruptLedger("a ready slot has no sample"))
    if len(set(ledger.assigned)) != len(ledger.assigned):
        return Failure(CorruptLedger("a slot is assigned twice"))
    if any(number not in ledger.samples for number in ledger.assigned):
        return Failure(CorruptLedger("an assigned slot has no sample"))
    for sample in ledger.samples.values():
        error = find_span_error(sample.spans)
        if error is not None:
            return Failure(CorruptLedger(error.reason))
    return Success(ledger)


def _unpack_sample(ledger: StepLedger, number: int, packed: Any, names: list[str]) -> Sample:
    sample_id, digest, agent, holder, flat = packed
    pairs = zip(flat[::2], flat[1::2], strict=True)
    spans = tuple(VersionSpan(version, tokens) for version, tokens in pairs)
    slot = ledger.slot_at(number)
    return Sample(sample_id.hex(), slot, digest, spans, names[agent], names[holder])
