"""Sizes of the stored objects and of the messages."""

from __future__ import annotations

import base64
import json
import random
import time
from collections.abc import Callable

from ...admission.load import LoadReport
from ...clock import MS_PER_SECOND
from ...idempotency.claim import ClaimPhase, StoredClaim
from ...lease.record import LeaseRecord
from ...membership.directory import Member, encode_members
from ...samples.ledger import StepLedger, StepPlan
from ...samples.ledger_format import from_bytes, to_bytes
from ...samples.sample import Sample, body_digest, new_sample_id
from ...samples.spans import VersionSpan
from ...wire import codec, messages
from .fit import Slope

GROUP = 8
REPETITIONS = 20
AGENTS = 1_100


def members(count: int) -> list[Member]:
    """Return members as the target scale has them."""
    return [
        Member(
            f"agent-visayas-cebu-{number:04d}",
            f"10.20.{number // 250}.{number % 250}:7101",
            "visayas-cebu",
            "visayas",
            f"{number:012x}",
            ("fitting",),
        )
        for number in range(count)
    ]


def filled_ledger(slots: int) -> StepLedger:
    """Return a ledger whose slots all hold a sample that is not acknowledged, its largest state."""
    rng = random.Random(slots)
    plan = StepPlan("trainer-1", 1, "fitting", slots // GROUP, GROUP, 2)
    ledger = StepLedger.create(plan)
    for number in range(slots):
        agent = f"agent-visayas-cebu-{rng.randrange(AGENTS):04d}"
        sample = Sample(
            new_sample_id(rng),
            ledger.slot_at(number),
            body_digest(b"body"),
            (VersionSpan(1000, 300), VersionSpan(1001, 200)),
            agent,
            "entry-1",
        )
        ledger.record(sample, 1001)
    return ledger


def measure() -> list[Slope]:
    """Return the sizes of the directory, the step ledger, claims and heartbeats."""
    directory = Slope("directory object", "member", "bytes")
    for count in (1, 30, 61, 123, 246):
        directory.add(count, len(encode_members(members(count))))
    ledger = Slope("step ledger, all slots ready", "slot", "bytes")
    for count in (128, 512, 1024, 2048):
        ledger.add(count, len(to_bytes(filled_ledger(count))))
    return [directory, ledger, _leases(), _claims(), _heartbeats()]


def _leases() -> Slope:
    """Measure the answer to a list of leases as the object API's protocol has it."""
    listed = Slope("list of leases", "lease", "bytes")
    record = LeaseRecord("entry-visayas-cebu-01", f"{1:016x}", f"{2:016x}", 12, 6000)
    value = base64.b64encode(record.to_bytes()).decode()
    for count in (1, 9, 36, 45):
        items = [
            {"key": f"leases/weights/fitting-zone-{number:02d}", "version": 12345, "value": value}
            for number in range(count)
        ]
        listed.add(count, len(json.dumps({"revision": 12345, "objects": items})))
    return listed


def _claims() -> Slope:
    claim = Slope("claim object by token length", "byte of token", "bytes")
    for length in (16, 32, 64):
        value = StoredClaim("t" * length, "agent-visayas-cebu-0001", "0" * 12, ClaimPhase.CLAIMED)
        claim.add(length, len(value.to_bytes()))
    return claim


def _heartbeats() -> Slope:
    """Measure an agent's heartbeat by the request classes that its load names."""
    from ...outcomes import RequestClass

    beats = Slope("agent heartbeat message", "class in the load facts", "bytes")
    classes = list(RequestClass)
    for count in range(len(classes) + 1):
        named = dict.fromkeys(classes[:count], 3)
        load = LoadReport(named, named, dict.fromkeys(classes[:count], 1500), 8, 301.5)
        beats.add(count, len(codec.encode(messages.Heartbeat(0, 2700, load))))
    return beats


def measure_ledger_time() -> list[Slope]:
    """Return the processor time of reading and of writing a full ledger."""
    reading = Slope("step ledger, decoding", "slot", "ms of CPU")
    writing = Slope("step ledger, encoding", "slot", "ms of CPU")
    for count in (128, 512, 1024, 2048):
        ledger = filled_ledger(count)
        value = to_bytes(ledger)
        writing.add(count, _cpu_ms(lambda ledger=ledger: to_bytes(ledger)))  # type: ignore[misc]
        reading.add(count, _cpu_ms(lambda value=value: from_bytes(value)))  # type: ignore[misc]
    return [reading, writing]


def _cpu_ms(action: Callable[[], object]) -> float:
    started = time.process_time()
    for _ in range(REPETITIONS):
        action()
    return (time.process_time() - started) * MS_PER_SECOND / REPETITIONS
