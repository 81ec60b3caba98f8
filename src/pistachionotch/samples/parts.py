"""Parts of a large step, each with its own range of whole groups, ledger, lease and cursor.

The ledger of part 0 has the key of the step and is created last. A step therefore exists exactly
when all its parts exist, even if a process died while it opened the step. The keys of the other
parts contain the digest of the plan of the whole step, so that parts left by an abandoned opening
are not mistaken for those of a later one.
"""

from __future__ import annotations

import hashlib

import attrs
import cbor2

from .ledger import StepPlan

MAX_UNSPLIT_SLOTS = 512
# At the target scale, one entry sustains about 213 streams and a sample takes 229 s, so a part of
# more than 426 samples would exceed the 8 minutes of a step.
MAX_PART_SLOTS = 256
PARTS_PREFIX = "step-parts/"
LEASE_DUTY = "step"
DIGEST_BYTES = 8


def count_parts(plan: StepPlan, part_slots: int | None = None) -> int:
    """Return the number of parts, of at most ``part_slots`` samples but at least one group each.

    By default, a step of up to 512 samples is not split, and a larger one has parts of up to 256.
    """
    if part_slots is None:
        whole = plan.step_slot_count <= MAX_UNSPLIT_SLOTS
        part_slots = MAX_UNSPLIT_SLOTS if whole else MAX_PART_SLOTS
    groups_per_part = max(1, part_slots // plan.samples_per_group)
    return max(1, -(-plan.groups // groups_per_part))


def part_plan(plan: StepPlan, part: int) -> StepPlan:
    """Return the plan of a part."""
    return attrs.evolve(plan, part=part)


def same_step(plan: StepPlan, other: StepPlan) -> bool:
    """Return whether two plans are parts of the same step, split into the same number of parts.

    The deadline is ignored: a repeated request computes it from a later clock reading.
    """
    return _whole_step_plan(plan) == _whole_step_plan(other)


def ledger_key(plan: StepPlan) -> str:
    """Return the object key of the ledger of the plan's part."""
    if plan.part == 0:
        return step_key(plan.trainer, plan.step)
    data = cbor2.dumps(attrs.astuple(_whole_step_plan(plan)))
    digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
    return f"{PARTS_PREFIX}{plan.trainer}/{plan.step}/{digest}/{plan.part}"


def step_key(trainer: str, step: int) -> str:
    """Return the object key of a step, which is that of the ledger of its part 0."""
    return f"steps/{trainer}/{step}"


def lease_prefix(plan: StepPlan) -> str:
    """Return the key prefix of the lease of the plan's part.

    Leases of large steps have a separate prefix, because every entry lists ``leases/`` for its
    duties, and the leases of 72 parts would triple the length of that list.
    """
    return "leases" if plan.parts == 1 else "part-leases"


def lease_key(plan: StepPlan) -> str:
    """Return the object key of the lease of the plan's part."""
    return f"{lease_prefix(plan)}/{LEASE_DUTY}/{lease_shard(plan)}"


def lease_shard(plan: StepPlan) -> str:
    """Return the shard of the lease of the plan's part.

    Shards of different parts differ, because trainer names contain no slash.
    """
    step = f"{plan.trainer}-{plan.step}"
    return step if plan.part == 0 else f"{step}/{plan.part}"


def part_name(plan: StepPlan) -> str:
    """Return the name of the plan's part in logs and in the body cache."""
    step = f"{plan.trainer}/{plan.step}"
    return step if plan.part == 0 else f"{step}/{plan.part}"


def _whole_step_plan(plan: StepPlan) -> StepPlan:
    return attrs.evolve(plan, part=0, deadline_unix_ms=0)
