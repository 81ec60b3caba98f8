"""Guards the desired version against going back, lost answers and reused numbers."""

import random

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from pistachionotch.objects.api import StoredObject, VersionConflict, WriteAmbiguous
from pistachionotch.weights import publish as p

SETTINGS = settings(
    max_examples=300, derandomize=True, deadline=None, database=None, phases=[Phase.generate]
)
FAULTS = st.lists(st.sampled_from(["none", "lost", "refused", "late"]), max_size=6)


class Store:
    def __init__(self, faults=(), conditional=True):
        self.faults, self.conditional, self.object, self.history = (
            list(faults),
            conditional,
            None,
            [],
        )
        self.late, self.meanwhile = [], []

    def get(self, _key):
        read = self.object
        if self.meanwhile:
            self.meanwhile.pop()()
        return Success(read)

    def put(self, key, value, expected):
        fault = self.faults.pop() if self.faults else "none"
        if fault == "late":
            self.late.append((key, value, expected))
        if fault in ("late", "refused"):
            return Failure(WriteAmbiguous(fault))
        result = self.apply(key, value, expected)
        return Failure(WriteAmbiguous(fault)) if fault == "lost" else result

    def apply(self, key, value, expected):
        current = self.object.version if self.object else None
        if self.conditional and expected != current:
            return Failure(VersionConflict(self.object))
        self.object = StoredObject(key, (current or 0) + 1, value)
        self.history.append(p.read_desired(self, "m").unwrap())
        return Success(self.object)


def race(data, conditional):
    store, rng, outcomes = Store(data.draw(FAULTS), conditional), random.Random(1), []

    def run(desired):
        outcomes.append(p.publish(store, desired, rng))

    def desired():
        return p.DesiredVersion("m", data.draw(st.integers(1, 4)), data.draw(st.sampled_from("xy")))

    for _ in range(data.draw(st.integers(1, 4))):
        rival = desired()
        if data.draw(st.booleans()):
            store.meanwhile.append(lambda rival=rival: run(rival))
        run(desired())
    while store.late:
        store.apply(*store.late.pop())
    versions = [item.version for item in store.history]
    assert versions == sorted(set(versions)), "the desired version went back or changed its weights"
    for outcome in outcomes:
        if isinstance(outcome, p.Published):
            assert outcome.desired in store.history, "reported but not published"


@SETTINGS
@given(st.data())
def test_desired_version_only_grows_under_races_and_lost_answers(data):
    race(data, conditional=True)


@pytest.mark.parametrize("mutant", ["conditional", "compare", "settle"])
def test_publishing_without_a_step_is_found(monkeypatch, mutant):
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
