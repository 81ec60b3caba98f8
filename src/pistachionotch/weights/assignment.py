"""Decides which engines load which model's new weights, and when; performs no I/O.

Expected load: each trainer announces a version every few seconds and requests its next step at the
same moment; the step also accepts the previous version. So each model is assigned its own share of
the engines. They load its versions one after the other while the others go on serving, and no
engine loads versions of a model that it does not serve. An engine refuses new requests while it
loads, so an engine whose version the step accepts loads only after the step's items have started.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

import attrs

# Share of a model's engines that may load at the same time.
LOADING_SHARE = 1 / 3
# The same, if no engine of the model has a version that the newest step accepts.
URGENT_SHARE = 2 / 3
# Time after which the items of a step have usually started.
STEP_START_MS = 1_200


@attrs.frozen(kw_only=True)
class EngineWeights:
    """The version of each model's weights that an engine has loaded."""

    instance: str
    zone: str
    versions: Mapping[str, int]


@attrs.frozen(kw_only=True)
class AnnouncedVersion:
    """The newest version of a model that its trainer has announced."""

    version: int
    # When this process learned of the version.
    announced_ms: int


@attrs.frozen
class WeightLoad:
    """A version of a model that an engine has to load."""

    instance: str
    model: str
    version: int


def divide_engines(count: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Return the number of engines per model: in proportion to its demand, but at least one.

    If the demand of any model is unknown, all models get equal shares.
    """
    models = sorted(demands)
    whole = sum(demands.values())
    if not models:
        return {}
    if min(demands.values()) <= 0:
        wanted = {model: count / len(models) for model in models}
    else:
        wanted = {model: count * demands[model] / whole for model in models}
    shares = {model: min(count, max(1, int(wanted[model]))) for model in models}
    by_remainder = sorted(models, key=lambda model: (shares[model] - wanted[model], model))
    for model in by_remainder:
        if sum(shares.values()) >= count:
            break
        shares[model] += 1
    return shares


def assign_models(
    engines: Sequence[EngineWeights],
    announced: Mapping[str, int],
    demands: Mapping[str, int] | None = None,
) -> dict[str, list[EngineWeights]]:
    """Assign each engine to a model, preferably the one whose weights are newest on the engine."""
    assigned: dict[str, list[EngineWeights]] = {model: [] for model in announced}
    if not announced:
        return assigned
    quotas = divide_engines(
        len(engines), {model: (demands or {}).get(model, 0) for model in announced}
    )
    ranks = _ranks_in_zones(engines)
    candidates = []
    for engine in engines:
        lags = {model: announced[model] - engine.versions.get(model, 0) for model in announced}
        for model in announced:
            others = [lag for other, lag in lags.items() if other != model]
            preference = lags[model] - min(others, default=lags[model])
            candidates.append((preference, ranks[engine.instance], engine.instance, model, engine))
    taken = set()
    for _preference, _rank, instance, model, engine in sorted(
        candidates, key=lambda pair: pair[:4]
    ):
        if instance in taken or len(assigned[model]) >= quotas[model]:
            continue
        taken.add(instance)
        assigned[model].append(engine)
    return assigned


def _ranks_in_zones(engines: Sequence[EngineWeights]) -> dict[str, int]:
    """Return each engine's index within its zone, used to spread a model over several zones."""
    counts: dict[str, int] = {}
    ranks = {}
    for engine in sorted(engines, key=lambda engine: engine.instance):
        ranks[engine.instance] = counts.get(engine.zone, 0)
        counts[engine.zone] = ranks[engine.instance] + 1
    return ranks


def plan_loads(
    engines: Sequence[EngineWeights],
    announced: Mapping[str, AnnouncedVersion],
    loading: Collection[str],
    now_ms: int,
    demands: Mapping[str, int] | None = None,
) -> list[WeightLoad]:
    """Return the loads to order now; ``loading`` holds the instances that are still loading."""
    loads = []
    newest = {model: found.version for model, found in announced.items()}
    for model, group in assign_models(engines, newest, demands).items():
        version = newest[model]
        items_starting = now_ms - announced[model].announced_ms < STEP_START_MS
        current = [engine for engine in group if engine.versions.get(model, 0) >= version - 1]
        share = LOADING_SHARE if current else URGENT_SHARE
        free_slots = max(1, int(len(group) * share))
        free_slots -= sum(1 for engine in group if engine.instance in loading)
        behind = [engine for engine in group if engine.versions.get(model, 0) < version]
        # Engines with the oldest versions first, since they can serve the fewest steps.
        for engine in sorted(behind, key=lambda engine: engine.versions.get(model, 0)):
            if free_slots <= 0:
                break
            if engine.instance in loading:
                continue
            if items_starting and engine.versions.get(model, 0) >= version - 1:
                continue
            loads.append(WeightLoad(engine.instance, model, version))
            free_slots -= 1
    return loads
