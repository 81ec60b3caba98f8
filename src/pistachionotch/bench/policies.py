"""The policies that the benchmark compares, by name."""

from __future__ import annotations

from functools import partial

import attrs

from .agents import make_queue
from .baselines import (
    BaselineDispatcher,
    least_outstanding,
    make_fifo,
    round_robin,
    two_choices,
)
from .central import CentralDispatcher
from .own import OwnDispatcher
from .world import DispatcherFactory, QueueFactory

OWN = "own"
BOUND = "bound"
BASELINES = ("round-robin", "least-outstanding", "two-choices")


@attrs.frozen
class Policy:
    """Combine the queue of the agents with the dispatcher of the entries."""

    make_queue: QueueFactory
    make_dispatcher: DispatcherFactory


POLICIES = {
    "round-robin": Policy(make_fifo, partial(BaselineDispatcher, choose=round_robin)),
    "least-outstanding": Policy(make_fifo, partial(BaselineDispatcher, choose=least_outstanding)),
    "two-choices": Policy(make_fifo, partial(BaselineDispatcher, choose=two_choices)),
    OWN: Policy(make_queue, OwnDispatcher),
    BOUND: Policy(make_fifo, CentralDispatcher),
    # Not in the default run: shows what the bound gains by knowing the lengths of samples.
    "bound-arrival-order": Policy(make_fifo, partial(CentralDispatcher, longest_first=False)),
}
