"""Guards against engines that count as slow for a moment's noise, and as quick or slow for ever."""

from pistachionotch.config.spec import Address
from pistachionotch.gateway.upstreams import (
    EVENT_INTERVAL_MAX_AGE_MS,
    FAILURE_BACKOFF_MS,
    FAILURE_DECAY_MS,
    FULL_BACKOFF_MS,
    LEAVING_MEMORY_MS,
    LOADING_BACKOFF_MS,
    MAX_FAILURE_BACKOFF_MS,
    Upstream,
    UpstreamRecord,
    UpstreamTable,
)

USUAL_MS = 36


def record(instance="i", started_ms=1, version=1, **more):
    fields = {"zone": "z", "slots": 12, "leaving": False, "service": "s", **more}
    return UpstreamRecord(
        instance=instance,
        address=Address("10.0.0.1", 80),
        started_ms=started_ms,
        versions={"m": version},
        **fields,
    )


def feed(upstream, start_ms, end_ms, gap_ms):
    """Let twelve streams with one gap end an event each ``gap_ms`` / 12."""
    now_ms = start_ms
    while now_ms < end_ms:
        upstream.record_event_gap(gap_ms, now_ms)
        now_ms += max(1, gap_ms // 12)
    return upstream.event_interval_ms(end_ms)


def test_a_moment_of_noise_is_no_slow_engine_but_a_fault_is_one_within_a_second():
    upstream = Upstream(record())
    feed(upstream, 0, 3_000, USUAL_MS)
    assert feed(upstream, 3_000, 3_600, USUAL_MS * 2.5) < USUAL_MS * 2.2
    assert feed(upstream, 3_600, 8_000, USUAL_MS) < USUAL_MS * 1.1
    assert feed(upstream, 8_000, 9_000, USUAL_MS * 3.5) > USUAL_MS * 2.2


def test_a_pace_is_forgotten_when_it_is_out_of_date():
    upstream = Upstream(record())
    feed(upstream, 0, 1_000, USUAL_MS * 4)
    assert upstream.event_interval_ms(1_000 + EVENT_INTERVAL_MAX_AGE_MS + 99) is None
    upstream.record_event_gap(USUAL_MS, 9_000)
    assert upstream.event_interval_ms(9_000) == USUAL_MS


def test_failures_pause_an_upstream_longer_and_longer_until_it_answers():
    upstream = Upstream(record())
    pauses = []
    now_ms = 0
    for _ in range(9):
        upstream.record_failure(now_ms)
        pauses.append(upstream.backoff_until_ms - now_ms)
        now_ms = upstream.backoff_until_ms
    assert pauses == sorted(pauses) and pauses[0] < pauses[1]
    assert pauses[-1] == MAX_FAILURE_BACKOFF_MS
    upstream.record_response(30, now_ms)
    assert upstream.backoff_until_ms == 0


def test_failures_of_one_moment_count_as_one():
    # A reset breaks all streams of an engine at once; it works on.
    upstream = Upstream(record())
    for _ in range(8):
        upstream.record_failure(1_000)
    assert upstream.backoff_until_ms == 1_000 + FAILURE_BACKOFF_MS


def attempts(upstream, start_ms, failed_of_ten, count=40, gap_ms=100):
    """Let attempts end one after the other, some of ten of them failed."""
    for number in range(count):
        now_ms = start_ms + number * gap_ms
        upstream.record_attempt(number * 7 % 10 >= failed_of_ten, now_ms)
    return start_ms + count * gap_ms


def test_an_upstream_that_fails_part_of_its_requests_is_suspect_although_others_succeed():
    upstream = Upstream(record())
    now_ms = attempts(upstream, 0, failed_of_ten=4)
    assert upstream.is_suspect(now_ms)
    sound = Upstream(record())
    assert not sound.is_suspect(attempts(sound, 0, failed_of_ten=0))
    sound.record_attempt(False, 9_000)
    assert not sound.is_suspect(9_000)


def test_suspicion_fades_without_attempts_and_ends_with_successes():
    upstream = Upstream(record())
    now_ms = attempts(upstream, 0, failed_of_ten=9)
    assert upstream.is_suspect(now_ms)
    assert not upstream.is_suspect(now_ms + 3 * FAILURE_DECAY_MS)
    assert not upstream.is_suspect(attempts(upstream, now_ms, failed_of_ten=0, count=8))


def test_an_engine_that_refuses_although_it_is_empty_rests_while_it_loads():
    upstream = Upstream(record())
    upstream.in_flight = 12
    upstream.record_engine_refusal(0)
    assert upstream.full_until_ms == FULL_BACKOFF_MS
    upstream.in_flight = 1
    upstream.record_engine_refusal(0)
    assert upstream.full_until_ms == LOADING_BACKOFF_MS


def test_an_older_listing_changes_nothing():
    table = UpstreamTable()
    table.replace([record()], 5)
    assert table.replace([], 4) == []
    assert list(table.upstreams) == ["i"]
    assert table.replace([], 6) == [record()]


def test_experience_ends_with_a_restart_and_outlasts_an_update():
    table = UpstreamTable()
    table.replace([record()], 1)
    table.upstreams["i"].record_version("m", 7)
    table.replace([record(version=6)], 2)
    assert table.upstreams["i"].version("m") == 7
    assert table.replace([record(started_ms=2, version=6)], 3) == [record(version=6)]
    assert table.upstreams["i"].version("m") == 6


def test_only_upstreams_that_stay_get_work():
    table = UpstreamTable()
    table.replace([record("a"), record("b", leaving=True), record("c", service="other")], 1)
    assert [upstream.record.instance for upstream in table.available_for("s")] == ["a"]


def test_an_upstream_that_said_it_leaves_stays_left_until_it_starts_again():
    table = UpstreamTable()
    table.replace([record()], 1)
    table.upstreams["i"].announced_leaving = True
    assert not table.available_for("s")
    # A stale listing calls it ready; one from an outage of the object API may lack it for a while.
    table.replace([record()], 2, 1_000)
    assert not table.available_for("s")
    table.replace([], 3, 2_000)
    table.replace([record()], 4, 9_000)
    assert not table.available_for("s")
    table.replace([record(started_ms=2)], 5, 10_000)
    assert len(table.available_for("s")) == 1


def test_what_is_remembered_of_upstreams_that_left_is_bounded():
    table = UpstreamTable()
    for number in range(50):
        table.replace([record(f"i{number}")], 2 * number + 1, number * LEAVING_MEMORY_MS // 4)
        table.upstreams[f"i{number}"].announced_leaving = True
        table.replace([], 2 * number + 2, number * LEAVING_MEMORY_MS // 4)
    assert len(table.leaving_incarnations) <= 5
