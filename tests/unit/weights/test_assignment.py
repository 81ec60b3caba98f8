"""Guards against a model without engines, unneeded loads, and all engines loading at once."""

from pistachionotch.weights.assignment import (
    STEP_START_MS,
    AnnouncedVersion,
    EngineWeights,
    assign_models,
    divide_engines,
    plan_loads,
)


def engine(name, zone="z1", **versions):
    return EngineWeights(instance=name, zone=zone, versions=versions)


def plan(engines, announced, loading, now_ms=STEP_START_MS):
    versions = {
        model: AnnouncedVersion(version=v, announced_ms=0) for model, v in announced.items()
    }
    return plan_loads(engines, versions, loading, now_ms)


def fresh(count):
    return [engine(f"e{number}", f"z{number % 3}", m0=1, m1=1) for number in range(count)]


def test_models_share_the_engines_and_are_spread_over_zones():
    assigned = assign_models(fresh(6), {"m0": 1, "m1": 1})
    assert [len(group) for group in assigned.values()] == [3, 3]
    assert all(len({engine.zone for engine in group}) > 1 for group in assigned.values())


def test_engines_keep_the_model_whose_weights_are_newest():
    engines = [engine("a", m0=7, m1=1), engine("b", m0=1, m1=5), engine("c", m0=6, m1=1)]
    assigned = assign_models(engines, {"m0": 7, "m1": 5})
    assert {e.instance for e in assigned["m0"]} == {"a", "c"}
    assert {e.instance for e in assigned["m1"]} == {"b"}


def test_a_lost_engine_moves_no_more_engines_than_needed():
    engines = [engine(f"a{n}", m0=7, m1=2) for n in range(3)] + [engine("b", m0=2, m1=5)]
    assigned = assign_models(engines, {"m0": 7, "m1": 5})
    assert len(assigned["m0"]) == 2 and len(assigned["m1"]) == 2


def test_one_engine_of_a_model_loads_while_the_others_serve():
    engines = [engine(f"a{n}", m0=3) for n in range(3)]
    loads = plan(engines, {"m0": 4}, set())
    assert len(loads) == 1
    assert loads[0].version == 4
    assert plan(engines, {"m0": 4}, {loads[0].instance}) == []


def test_the_oldest_engine_loads_first():
    engines = [engine("a", m0=4), engine("b", m0=2), engine("c", m0=4)]
    assert [load.instance for load in plan(engines, {"m0": 5}, set())] == ["b"]


def test_several_load_if_none_can_serve_the_newest_step():
    engines = [engine(f"a{n}", m0=1) for n in range(3)]
    assert len(plan(engines, {"m0": 4}, set())) == 2


def test_nothing_is_loaded_for_a_model_that_an_engine_does_not_serve():
    engines = [engine("a", m0=4, m1=1), engine("b", m0=1, m1=6)]
    assert plan(engines, {"m0": 4, "m1": 6}, set()) == []


def test_engines_without_models_and_models_without_engines_get_no_loads():
    assert plan([], {"m0": 4}, set()) == []
    assert plan(fresh(2), {}, set()) == []


def test_engines_that_may_serve_a_step_load_after_its_items_have_started():
    engines = [engine(f"a{n}", m0=3) for n in range(3)]
    assert plan(engines, {"m0": 4}, set(), STEP_START_MS - 1) == []
    assert len(plan(engines, {"m0": 4}, set(), STEP_START_MS)) == 1


def test_an_engine_that_cannot_serve_the_step_loads_at_once():
    engines = [engine("a", m0=3), engine("b", m0=2), engine("c", m0=3)]
    assert [load.instance for load in plan(engines, {"m0": 4}, set(), 0)] == ["b"]


def test_engines_are_divided_by_the_work_of_each_model():
    assert divide_engines(6, {"wide": 200, "deep": 100}) == {"wide": 4, "deep": 2}
    assert divide_engines(23, {"a": 1120, "b": 800, "c": 880}) == {"a": 9, "b": 7, "c": 7}
    assert divide_engines(6, {"large": 10_000, "tiny": 1}) == {"large": 5, "tiny": 1}
    assert divide_engines(5, {"known": 100, "unknown": 0}) == {"known": 3, "unknown": 2}
    assert divide_engines(1, {"a": 1, "b": 1}) == {"a": 1, "b": 1}
    assert divide_engines(3, {}) == {}


def test_a_larger_model_gets_more_engines():
    assigned = assign_models(fresh(6), {"m0": 1, "m1": 1}, {"m0": 200, "m1": 100})
    assert [len(group) for group in assigned.values()] == [4, 2]
