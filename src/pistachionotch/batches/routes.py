"""What the route of a batch decides; does no I/O."""

from __future__ import annotations

from ..gateway.catalog import Catalog, Route
from .fields import InvalidFieldError
from .model import BatchItem, Submission
from .progress import ItemProgress
from .run import BatchRun

# An item that failed on fewer engines than its route's limit of attempts is given up only after
# this many times the limit of failures. The platform's rules allow three times the limit.
SAME_ENGINE_FACTOR = 2


def attempts_exhausted(run: BatchRun, state: ItemProgress, max_attempts: int) -> bool:
    """Return whether the failures point to the item itself rather than to a faulty engine."""
    if len(state.failed_at) >= max_attempts:
        return True
    # The former owner may have made almost as many attempts as this one may.
    factor = 1 if run.failures_unknown else SAME_ENGINE_FACTOR
    return state.failures >= max_attempts * factor


def check_item_paths(catalog: Catalog, route: Route, submission: Submission) -> None:
    """Raise ``InvalidFieldError`` if an item's path is none of the route of its batch.

    An item reaches its server as a request of the gateway's own. Without this, its path could be
    that of an order or of another service.
    """
    for item in submission.items:
        if not has_path_of(catalog, route, submission, item):
            raise InvalidFieldError(f"item {item.id}: path", "not under the route of its batch")


def has_path_of(catalog: Catalog, route: Route, submission: Submission, item: BatchItem) -> bool:
    """Return whether an item's path belongs to a route, as that of a call would."""
    found = catalog.match(submission.host, item.target)
    return found is not None and found.name == route.name


def batch_route(catalog: Catalog, run: BatchRun) -> Route | None:
    """Return the route of a batch in this catalog, None if there is none."""
    submission = run.head.submission
    return catalog.match(submission.host, submission.target)
