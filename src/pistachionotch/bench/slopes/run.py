"""Table of the slopes that need no other process."""

from __future__ import annotations

import importlib
from collections.abc import Callable

from .fit import Slope

Measure = Callable[[], list[Slope]]

# Module and function by name; only the measurement that runs loads the parts that it measures.
MEASURES: dict[str, tuple[str, str]] = {
    "sizes": (".sizes", "measure"),
    "ledger": (".sizes", "measure_ledger_time"),
    "leases": (".store", "measure_leases"),
    "directory": (".store", "measure_directory"),
    "watches": (".store", "measure_watches"),
    "registrations": (".store", "measure_registrations"),
    "claims": (".store", "measure_claims"),
    "rollouts": (".store", "measure_rollouts"),
    "steps": (".steps", "measure_steps"),
    "pulls": (".steps", "measure_pulls"),
}


def load_measure(name: str) -> Measure:
    """Import and return one measurement."""
    module, function = MEASURES[name]
    measure: Measure = getattr(importlib.import_module(module, __package__), function)
    return measure
