"""Texts of submissions, and heads of batches."""

from pistachionotch.batches.model import (
    BatchHead,
    Owner,
)
from pistachionotch.config.spec import Address
from pistachionotch.platform.batches import read_submission


def accepted(text):
    """Return the submission if it is accepted, None if it is refused with a reason."""
    try:
        return read_submission("b1", "h", "/p/b1", text.encode())
    except ValueError as error:
        assert str(error)
        return None


def submission(
    train_step="7",
    model='"m"',
    min_version="6",
    desired="2",
    token_count="940",
    group_id='"g"',
    hint='"400"',
):
    """Return the text of a submission; each value is JSON."""
    item = (
        f'{{"id":"i1","path":"/p/1","headers":{{"Length-Hint":{hint}}},"body":"AA==",'
        f'"token_count":{token_count},"group_id":{group_id}}}'
    )
    return (
        f'{{"train_step":{train_step},"model":{model},"min_version":{min_version},'
        f'"desired":{desired},"items":[{item}]}}'
    )


def head_of(found, owner=None):
    owner = owner or Owner(node="a", incarnation="1", address=Address("10.0.0.1", 7_000))
    return BatchHead(submission=found, owner=owner, accepted_ms=10**12)
