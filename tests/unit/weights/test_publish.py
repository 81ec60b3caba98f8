"""Guards against a desired version that decreases, is lost, or is reused for other weights."""

import random

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from pistachionotch.objects.api import StoredObject, VersionConflict, WriteAmbiguous
from pistachionotch.objects.memory import Faults, MemoryStore
from pistachionotch.weights import publish as p

SETTINGS = settings(max_examples=300, phases=[Phase.generate])
VERSIONS = st.builds(p.DesiredVersion, st.just("m"), st.integers(1, 4), st.sampled_from("xy"))
COUNTS = st.integers(0, 2)


class InterruptedStore(MemoryStore):
    """Lets a concurrent writer publish between a read and the write that depends on it."""

    meanwhile, conditional = (), True

    def get(self, key):
        read = super().get(key)
        while self.meanwhile:
            self.meanwhile.pop()()
        return read

    def put(self, key, value, expected_version):
        if not self.conditional:
            current = self.objects.get(key)
            expected_version = current.version if current else None
        return super().put(key, value, expected_version)


def race(data, conditional):
    store, rng, outcomes = InterruptedStore(), random.Random(1), []
    store.conditional = conditional
    store.faults = data.draw(st.builds(Faults, st.just(False), COUNTS, COUNTS, COUNTS))

    def run(desired):
        outcomes.append(p.publish(store, desired, rng))

    for _ in range(data.draw(st.integers(1, 4))):
        rivals = data.draw(st.lists(VERSIONS, max_size=1))
        store.meanwhile = [lambda rival=rival: run(rival) for rival in rivals]
        run(data.draw(VERSIONS))
    store.deliver_delayed()
    stored = [StoredObject(c.key, c.version, c.value) for c in store.history]
    history = [p._decode(item).unwrap() for item in stored]
    versions = [item.version for item in history]
    assert versions == sorted(set(versions)), "the desired version went back or changed its weights"
    for outcome in outcomes:
        if isinstance(outcome, p.Published):
            assert outcome.desired in history, "reported but not published"


@SETTINGS
@given(st.data())
def test_desired_version_only_grows_under_races_and_lost_answers(data):
    race(data, conditional=True)


@pytest.mark.parametrize("mutant", ["conditional", "compare", "settle"])
def test_publishing_without_a_check_is_detected(monkeypatch, mutant):
    if mutant == "compare":
        monkeypatch.setattr(p, "compare", lambda current, desired: None)
    if mutant == "settle":
        monkeypatch.setattr(p, "VersionConflict", WriteAmbiguous | VersionConflict)
        monkeypatch.setattr(p, "compare", lambda current, desired: p.Published(desired))

    @SETTINGS
    @given(st.data())
    def mutated(data):
        race(data, conditional=mutant != "conditional")

    with pytest.raises(AssertionError):
        mutated()
