"""Which engines load which model's new weights, and when; opens no sockets.

Load pattern: each trainer names a version every few seconds and asks for its next step at that
moment; the step accepts the version before as well. So each model has its own share of the engines,
which load its versions one after the other while the rest goes on serving, and no engine loads the
versions of a model that it does not serve. An engine refuses new requests while it loads, so one
that may serve the step as it is waits until the step's items have started.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

import attrs

# Of a model's engines, this share loads at the same time.
LOADING_SHARE = 1 / 3
# The same if no engine has a version that the newest step accepts.
URGENT_SHARE = 2 / 3
# The items of a step have started after about this time.
BURST_MS = 1_200


@attrs.frozen(kw_only=True)
class EngineWeights:
    """Describe what an engine has loaded."""

    instance: str
    zone: str
    versions: Mapping[str, int]


@attrs.frozen(kw_only=True)
class AnnouncedVersion:
    """Hold the newest version of a model that its trainer has named."""

    version: int
    # When this process learned of it.
    announced_ms: int


@attrs.frozen
class WeightLoad:
    """Let an engine load a version of a model."""

    instance: str
    model: str
    version: int


def divide_engines(count: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Return the number of engines of each model: in proportion to its work, but at least one.

    Without a known demand all models share alike.
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
    by_rest = sorted(models, key=lambda model: (shares[model] - wanted[model], model))
    for model in by_rest:
        if sum(shares.values()) >= count:
            break
        shares[model] += 1
    return shares


def assign_models(
    engines: Sequence[EngineWeights],
    named: Mapping[str, int],
    demands: Mapping[str, int] | None = None,
) -> dict[str, list[EngineWeights]]:
    """Divide the engines among the models; each keeps the model whose weights are newest there."""
    assigned: dict[str, list[EngineWeights]] = {model: [] for model in named}
    if not named:
        return assigned
    room = divide_engines(len(engines), {model: (demands or {}).get(model, 0) for model in named})
    ranks = _ranks_in_zones(engines)
    pairs = []
    for engine in engines:
        lags = {model: named[model] - engine.versions.get(model, 0) for model in named}
        for model in named:
            others = [lag for other, lag in lags.items() if other != model]
            preference = lags[model] - min(others, default=lags[model])
            pairs.append((preference, ranks[engine.instance], engine.instance, model, engine))
    taken = set()
    for _preference, _rank, instance, model, engine in sorted(pairs, key=lambda pair: pair[:4]):
        if instance in taken or len(assigned[model]) >= room[model]:
            continue
        taken.add(instance)
        assigned[model].append(engine)
    return assigned


def _ranks_in_zones(engines: Sequence[EngineWeights]) -> dict[str, int]:
    """Return each engine's number in its zone, so that a model's engines stand in several zones."""
    counts: dict[str, int] = {}
    ranks = {}
    for engine in sorted(engines, key=lambda engine: engine.instance):
        ranks[engine.instance] = counts.get(engine.zone, 0)
        counts[engine.zone] = ranks[engine.instance] + 1
    return ranks


def plan_loads(
    engines: Sequence[EngineWeights],
    named: Mapping[str, AnnouncedVersion],
    loading: Collection[str],
    now_ms: int,
    demands: Mapping[str, int] | None = None,
) -> list[WeightLoad]:
    """Return the loads to order now; ``loading`` names the engines that still load something."""
    loads = []
    newest = {model: found.version for model, found in named.items()}
    for model, group in assign_models(engines, newest, demands).items():
        version = newest[model]
        in_burst = now_ms - named[model].announced_ms < BURST_MS
        current = [engine for engine in group if engine.versions.get(model, 0) >= version - 1]
        share = LOADING_SHARE if current else URGENT_SHARE
        room = max(1, int(len(group) * share))
        room -= sum(1 for engine in group if engine.instance in loading)
        behind = [engine for engine in group if engine.versions.get(model, 0) < version]
        # The oldest first: they serve the fewest steps.
        for engine in sorted(behind, key=lambda engine: engine.versions.get(model, 0)):
            if room <= 0:
                break
            if engine.instance in loading:
                continue
            if in_burst and engine.versions.get(model, 0) >= version - 1:
                continue
            loads.append(WeightLoad(engine.instance, model, version))
            room -= 1
    return loads
