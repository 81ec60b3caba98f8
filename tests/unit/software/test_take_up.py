"""Guards against joined streams by the decision alone: what is known, possible and serving."""

import itertools

import attrs
import pytest

from pistachionotch.software.history import LAPSE_MS, UNREADABLE, Beginning, OriginHistory
from pistachionotch.software.memory import StreamMemory
from pistachionotch.software.origin import BegunStream, KnownBy, Origin
from pistachionotch.software.records import (
    history_bytes,
    read_history,
    read_streams,
    streams_bytes,
)
from pistachionotch.software.take_up import (
    MAX_LISTING_AGE_MS,
    TakeUpFacts,
    TakeUpOutcome,
    decide_take_up,
)

OLD, NEW, OTHER = Origin("s", "v1"), Origin("s", "v2"), Origin("t", "v1")
BOTH = frozenset({OLD, NEW})


def begun(origin, at_ms=0):
    return BegunStream(origin, at_ms, at_ms + 20_000)


def scope(origin, host="h", prefix="/p/"):
    return Beginning(host, prefix, origin)


@pytest.mark.parametrize("field", ["remembered", "recorded", "told"])
@pytest.mark.parametrize("origin", [OLD, NEW])
@pytest.mark.parametrize("serving", [frozenset(), {OLD}, {NEW}, BOTH])
def test_a_known_stream_goes_on_only_at_its_own_origin(field, origin, serving):
    facts = TakeUpFacts(**{field: begun(origin, 500)}, serving=frozenset(serving), now_ms=2_000)
    decision = decide_take_up(facts)
    gone = origin not in serving
    assert decision.outcome is (TakeUpOutcome.VERSION_GONE if gone else TakeUpOutcome.GO_ON)
    assert decision.origin == origin and decision.age_ms == 1_500


@pytest.mark.parametrize("possible", [None, frozenset(), {OLD}, {NEW}, BOTH, {OLD, OTHER}])
@pytest.mark.parametrize("serving", [frozenset(), {OLD}, {NEW}, BOTH])
def test_an_unknown_stream_goes_on_only_where_one_origin_is_possible(possible, serving):
    possible = None if possible is None else frozenset(possible)
    decision = decide_take_up(TakeUpFacts(possible=possible, serving=frozenset(serving)))
    if possible is None:
        assert decision.outcome is TakeUpOutcome.UNCERTAIN
    elif len(possible) != 1:
        assert decision.outcome is TakeUpOutcome.ORIGIN_UNKNOWN and decision.origin is None
    else:
        goes_on = possible <= frozenset(serving)
        wanted = TakeUpOutcome.GO_ON if goes_on else TakeUpOutcome.VERSION_GONE
        assert decision.outcome is wanted and decision.known_by is KnownBy.ONLY_VERSION


def test_replay_of_a_release_during_which_all_gateways_lose_power():
    """The load pattern of the decision: two versions, then all memory is lost, then one leaves."""
    history = OriginHistory()
    history.add([scope(OLD)])
    # Weeks with one version: nothing is recorded, and every stream is the only version's.
    assert history.possible_origins("h", "/p/x") == {OLD} and not history.ambiguous_origins()
    history.add([scope(NEW)])
    assert history.ambiguous_origins() == BOTH
    saved = read_history(history_bytes(history))
    streams = {f"q{number}": begun((OLD, NEW)[number % 2], number) for number in range(40)}
    records = read_streams(streams_bytes(streams, 1_000_000), 999_000)
    serving = frozenset({NEW})
    outcomes = []
    for number in range(44):
        recorded = records.get(f"q{number}")
        facts = TakeUpFacts(
            recorded=recorded,
            possible=saved.possible_origins("h", "/p/x"),
            serving=serving,
            now_ms=5_000,
        )
        decision = decide_take_up(facts)
        outcomes.append(decision.outcome)
        if decision.outcome is TakeUpOutcome.GO_ON:
            assert decision.origin == streams[f"q{number}"].origin
            assert decision.age_ms == 4_000 - number
    assert outcomes.count(TakeUpOutcome.GO_ON) == 20
    assert outcomes.count(TakeUpOutcome.VERSION_GONE) == 20
    assert outcomes[40:] == [TakeUpOutcome.ORIGIN_UNKNOWN] * 4


def test_paths_decide_and_not_the_routes_of_today():
    history = OriginHistory()
    history.add([scope(OLD, prefix="/p/"), scope(OTHER, prefix="/p/q/"), scope(NEW, host="g")])
    assert history.possible_origins("h", "/p/q/x") == {OLD, OTHER}
    assert history.possible_origins("h", "/p/x") == {OLD}
    assert history.possible_origins("g", "/p/x") == {NEW}
    assert history.possible_origins("h", "/else") == frozenset()
    assert history.ambiguous_origins() == {OLD, OTHER}


@pytest.mark.parametrize(
    "prefixes", list(itertools.product(["/", "/a/", "/a/b/", "/ab/", "/b/"], repeat=2))
)
def test_ambiguous_origins_are_those_that_share_a_path(prefixes):
    history = OriginHistory()
    history.add([scope(OLD, prefix=prefixes[0]), scope(NEW, prefix=prefixes[1])])
    share = prefixes[0].startswith(prefixes[1]) or prefixes[1].startswith(prefixes[0])
    assert history.ambiguous_origins() == (BOTH if share else frozenset())


def test_a_version_without_servers_stays_possible_until_it_lapses():
    history = OriginHistory()
    history.add([scope(OLD), scope(NEW)])
    assert history.update_absent({NEW}, 1_000)
    assert not history.update_absent({NEW}, 1_000 + LAPSE_MS - 1)
    assert history.possible_origins("h", "/p/") == BOTH
    # It comes back by a rollback, which starts its time anew.
    assert history.add([scope(OLD)]) and not history.update_absent(BOTH, LAPSE_MS * 3)
    assert history.update_absent({NEW}, LAPSE_MS * 3)
    assert history.update_absent({NEW}, LAPSE_MS * 4)
    assert history.possible_origins("h", "/p/") == {NEW}


def test_a_version_wrongly_marked_absent_stays_possible_once_it_leaves():
    """A lease holder that is out of step marks a version absent whose servers have just joined."""
    history = OriginHistory()
    history.add([scope(OLD), scope(NEW)])
    history.update_absent({OLD}, 0)
    assert history.update_absent(BOTH, 60_000)
    # Much later its servers leave for good.
    history.update_absent({OLD}, LAPSE_MS + 60_000)
    assert history.possible_origins("h", "/p/") == BOTH
    history.update_absent({OLD}, 2 * LAPSE_MS + 60_000)
    assert history.possible_origins("h", "/p/") == {OLD}


@pytest.mark.parametrize("field", ["remembered", "recorded", "told"])
def test_a_gateway_out_of_step_calls_no_version_gone(field):
    facts = TakeUpFacts(
        **{field: begun(NEW)},
        serving=frozenset({OLD}),
        listing_age_ms=MAX_LISTING_AGE_MS + 1,
        now_ms=2_000,
    )
    assert decide_take_up(facts).outcome is TakeUpOutcome.UNCERTAIN


def test_a_version_that_a_gateway_has_not_listed_yet_is_not_gone():
    facts = TakeUpFacts(
        recorded=begun(NEW, 1_500),
        serving=frozenset({OLD}),
        formerly_listed=frozenset({OLD}),
        now_ms=2_000,
    )
    assert decide_take_up(facts).outcome is TakeUpOutcome.UNCERTAIN
    known = attrs.evolve(facts, formerly_listed=BOTH)
    assert decide_take_up(known).outcome is TakeUpOutcome.VERSION_GONE
    later = attrs.evolve(facts, now_ms=1_500 + MAX_LISTING_AGE_MS)
    assert decide_take_up(later).outcome is TakeUpOutcome.VERSION_GONE


def test_an_unreadable_history_leaves_every_origin_possible():
    history = OriginHistory({UNREADABLE: 0})
    history.add([scope(NEW)])
    assert len(history.possible_origins("h", "/p/x")) == 2
    assert NEW in history.ambiguous_origins()


def test_a_second_stream_of_an_id_does_not_change_the_origin_of_the_first():
    memory = StreamMemory()
    memory.remember("q", begun(OLD))
    memory.remember("q", begun(NEW, 5))
    assert memory.find("q", 19_000).origin == OLD
    assert memory.find("q", 25_000) is None
    memory.evict_expired(25_000)
    assert memory.streams == {}


def test_the_newest_streams_are_recorded_first():
    memory = StreamMemory()
    for number in range(9):
        memory.remember(f"q{number}", begun((OLD, NEW)[number % 2], number))
    assert set(memory.of_origins(frozenset({OLD}), 2)) == {"q6", "q8"}
