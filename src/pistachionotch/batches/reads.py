"""Reads of a batch that this process runs."""

from __future__ import annotations

from ..clock import MS_PER_SECOND
from .model import BatchError, BatchErrorKind, ResultPage
from .run import BatchRun


def wait_for_page(run: BatchRun, position: int, wait_ms: int) -> ResultPage:
    """Return a page of listed results, waiting for the first result if there is none yet."""
    if len(run.listed) <= position and not run.ended and wait_ms > 0:
        run.changed.wait(wait_ms / MS_PER_SECOND)
    return run.page(position)


def find_item_body(run: BatchRun, item: str) -> bytes | BatchError:
    """Return the body of an item."""
    state = run.progress.get(item)
    if state is None:
        return BatchError(BatchErrorKind.NOT_FOUND, "no such item")
    return state.item.body
