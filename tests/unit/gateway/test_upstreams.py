"""Guards against upstream statistics that overreact to noise or never recover."""

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
    """Record the events of twelve concurrent streams, each with an event every ``gap_ms``."""
    now_ms = start_ms
    while now_ms < end_ms:
        upstream.record_event_gap(gap_ms, now_ms)
        now_ms += max(1, gap_ms // 12)
    return upstream.event_interval_ms(end_ms)


def test_short_noise_does_not_make_an_engine_slow_but_a_fault_does_within_a_second():
    upstream = Upstream(record())
    feed(upstream, 0, 3_000, USUAL_MS)
    assert feed(upstream, 3_000, 3_600, USUAL_MS * 2.5) < USUAL_MS * 2.2
    assert feed(upstream, 3_600, 8_000, USUAL_MS) < USUAL_MS * 1.1
    assert feed(upstream, 8_000, 9_000, USUAL_MS * 3.5) > USUAL_MS * 2.2


def test_outdated_event_interval_is_dropped():
    upstream = Upstream(record())
    feed(upstream, 0, 1_000, USUAL_MS * 4)
    assert upstream.event_interval_ms(1_000 + EVENT_INTERVAL_MAX_AGE_MS + 99) is None
    upstream.record_event_gap(USUAL_MS, 9_000)
    assert upstream.event_interval_ms(9_000) == USUAL_MS


def test_failure_backoff_grows_until_a_response():
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


def test_simultaneous_failures_count_once():
    # A connection reset breaks all streams of an engine at once, but the engine keeps working.
    upstream = Upstream(record())
    for _ in range(8):
        upstream.record_failure(1_000)
    assert upstream.backoff_until_ms == 1_000 + FAILURE_BACKOFF_MS


def attempts(upstream, start_ms, failed_of_ten, count=40, gap_ms=100):
    """Record sequential attempts, of which ``failed_of_ten`` in ten fail."""
    for number in range(count):
        now_ms = start_ms + number * gap_ms
        upstream.record_attempt(number * 7 % 10 >= failed_of_ten, now_ms)
    return start_ms + count * gap_ms


def test_upstream_that_fails_some_of_its_requests_is_suspect():
    upstream = Upstream(record())
    now_ms = attempts(upstream, 0, failed_of_ten=4)
    assert upstream.is_suspect(now_ms)
    healthy = Upstream(record())
    assert not healthy.is_suspect(attempts(healthy, 0, failed_of_ten=0))
    healthy.record_attempt(False, 9_000)
    assert not healthy.is_suspect(9_000)


def test_failure_rate_decays_without_attempts_and_drops_with_successes():
    upstream = Upstream(record())
    now_ms = attempts(upstream, 0, failed_of_ten=9)
    assert upstream.is_suspect(now_ms)
    assert not upstream.is_suspect(now_ms + 3 * FAILURE_DECAY_MS)
    assert not upstream.is_suspect(attempts(upstream, now_ms, failed_of_ten=0, count=8))


def test_rejection_by_an_idle_engine_uses_the_longer_loading_backoff():
    upstream = Upstream(record())
    upstream.in_flight = 12
    upstream.record_engine_refusal(0)
    assert upstream.full_until_ms == FULL_BACKOFF_MS
    upstream.in_flight = 1
    upstream.record_engine_refusal(0)
    assert upstream.full_until_ms == LOADING_BACKOFF_MS


def test_older_listing_is_ignored():
    table = UpstreamTable()
    table.replace([record()], 5)
    assert table.replace([], 4) == []
    assert list(table.upstreams) == ["i"]
    assert table.replace([], 6) == [record()]


def test_statistics_survive_an_update_but_not_a_restart():
    table = UpstreamTable()
    table.replace([record()], 1)
    table.upstreams["i"].record_version("m", 7)
    table.replace([record(version=6)], 2)
    assert table.upstreams["i"].version("m") == 7
    assert table.replace([record(started_ms=2, version=6)], 3) == [record(version=6)]
    assert table.upstreams["i"].version("m") == 6


def test_leaving_upstreams_are_not_available():
    table = UpstreamTable()
    table.replace([record("a"), record("b", leaving=True), record("c", service="other")], 1)
    assert [upstream.record.instance for upstream in table.available_for("s")] == ["a"]


def test_upstream_that_announced_leaving_is_unavailable_until_it_restarts():
    table = UpstreamTable()
    table.replace([record()], 1)
    table.upstreams["i"].announced_leaving = True
    assert not table.available_for("s")
    # A stale listing shows it as ready. During an outage of the object API it may be missing.
    table.replace([record()], 2, 1_000)
    assert not table.available_for("s")
    table.replace([], 3, 2_000)
    table.replace([record()], 4, 9_000)
    assert not table.available_for("s")
    table.replace([record(started_ms=2)], 5, 10_000)
    assert len(table.available_for("s")) == 1


def test_memory_of_leaving_upstreams_is_bounded():
    table = UpstreamTable()
    for number in range(50):
        table.replace([record(f"i{number}")], 2 * number + 1, number * LEAVING_MEMORY_MS // 4)
        table.upstreams[f"i{number}"].announced_leaving = True
        table.replace([], 2 * number + 2, number * LEAVING_MEMORY_MS // 4)
    assert len(table.leaving_incarnations) <= 5
