"""Guards against lost updates when several operators change the configuration concurrently."""

from config_examples import changed, example
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from pistachionotch.clock import ManualClock
from pistachionotch.config.apply import (
    CONFIGURATION_KEY,
    ApplySuccess,
    BaseRevision,
    Conflict,
    Invalid,
    OutcomeUnknown,
    Unavailable,
    apply,
    fetch,
)
from pistachionotch.config.check import read_configuration
from pistachionotch.objects.memory import Faults, MemoryStore

TEXT = example("bituin", "configuration.jsonc")
NOTHING = BaseRevision(None, "")
BOUND = ("models", "fitting", "staleness_bound")
BUDGET = ("models", "fitting", "retry_budget")


def new_store():
    return MemoryStore(clock=ManualClock())


def test_a_fetched_configuration_is_the_text_that_was_applied():
    store = new_store()
    assert fetch(store) == Success(NOTHING)
    done = apply(store, TEXT, "f", NOTHING, "token-1").unwrap()
    assert fetch(store) == Success(BaseRevision(done.revision, TEXT))
    body = store.get(CONFIGURATION_KEY).unwrap().value
    assert isinstance(read_configuration(body, "f"), Success)


def test_the_loser_of_a_race_sees_what_changed_and_nothing_is_applied():
    store = new_store()
    apply(store, TEXT, "f", NOTHING, "token-1")
    base = fetch(store).unwrap()
    winner = apply(store, changed(BOUND, 4), "f", base, "token-2").unwrap()
    conflict = apply(store, changed(BUDGET, 0.2), "f", base, "token-3").failure()
    assert (conflict.base_revision, conflict.current_revision) == (base.revision, winner.revision)
    assert [str(change) for change in conflict.changes] == [
        "models.fitting.staleness_bound: 2 -> 4"
    ]
    assert fetch(store).unwrap().text == changed(BOUND, 4)


def test_creating_where_a_configuration_exists_is_a_conflict():
    store = new_store()
    apply(store, TEXT, "f", NOTHING, "token-1")
    conflict = apply(store, changed(BOUND, 4), "f", NOTHING, "token-2").failure()
    assert isinstance(conflict, Conflict)
    assert 'deployment: absent -> "bituin"' in [str(change) for change in conflict.changes]


def test_invalid_and_oversized_text_writes_nothing():
    store = new_store()
    assert isinstance(apply(store, "{", "f", NOTHING, "t").failure(), Invalid)
    nearly_full = TEXT + " " * (1_000_000 - len(TEXT.encode()))
    assert isinstance(apply(store, nearly_full, "f", NOTHING, "t").failure(), Invalid)
    assert store.calls["put"] == 0


def test_the_text_in_effect_is_not_written_again():
    store = new_store()
    done = apply(store, TEXT, "f", NOTHING, "token-1").unwrap()
    assert apply(store, TEXT, "f", NOTHING, "token-2") == Success(
        ApplySuccess(done.revision, False)
    )
    assert store.calls["put"] == 1


def test_lost_answers_are_settled_and_an_outage_changes_nothing():
    store = new_store()
    store.faults.lose_answers = 1
    assert apply(store, TEXT, "f", NOTHING, "token-1").unwrap().changed
    base = fetch(store).unwrap()
    store.faults.lose_writes = 10
    assert isinstance(
        apply(store, changed(BOUND, 3), "f", base, "token-2").failure(), OutcomeUnknown
    )
    store.faults.outage = True
    result = apply(store, changed(BOUND, 3), "f", base, "token-3")
    assert isinstance(result.failure(), Unavailable)
    assert isinstance(fetch(store).failure(), Unavailable)


STEPS = st.tuples(
    st.integers(0, 2),
    st.sampled_from(["fetch", "apply", "deliver"]),
    st.sampled_from(["", "lose_answers", "lose_writes", "delay_writes"]),
    st.integers(1, 2),
)


@settings(max_examples=150)
@given(st.lists(STEPS, max_size=25))
def test_no_racing_operator_replaces_a_text_that_it_has_not_read(steps):
    store = new_store()
    bases = [NOTHING] * 3
    base_texts = {}
    refused = set()
    for number, (operator, action, fault, count) in enumerate(steps):
        if action == "deliver":
            store.deliver_delayed()
        elif action == "fetch":
            bases[operator] = fetch(store).unwrap()
        else:
            store.faults = Faults(**({fault: count} if fault else {}))
            token = f"token-{number}"
            base_texts[token] = bases[operator].text
            text = changed(BOUND, number + 1)
            result = apply(store, text, "f", bases[operator], token)
            store.faults = Faults()
            if isinstance(result, Success):
                bases[operator] = BaseRevision(result.unwrap().revision, text)
                assert f"writer {token}\n".encode() in store.history[-1].value
            elif isinstance(result.failure(), Conflict) and not result.failure().overwritten:
                refused.add(token)
    store.deliver_delayed()
    text_before = ""
    for change in store.history:
        first, _, text = change.value.decode().partition("\n")
        token = first.removeprefix("// writer ")
        assert base_texts.pop(token) == text_before
        assert token not in refused
        text_before = text


def test_a_write_that_arrives_late_is_not_reported_as_failed():
    store = new_store()
    store.faults.delay_writes = 2
    result = apply(store, TEXT, "f", NOTHING, "token-1")
    assert isinstance(result, Failure)
    assert isinstance(result.failure(), OutcomeUnknown)
    store.deliver_delayed()
    assert apply(store, TEXT, "f", NOTHING, "token-2") == Success(
        ApplySuccess(store.revision, False)
    )
    assert store.calls["put"] == 2
