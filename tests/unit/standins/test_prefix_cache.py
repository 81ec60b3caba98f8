"""Guards against cache events that the stand-in publishes too early or without gaps."""

from pistachionotch.clock import ManualClock
from pistachionotch.standins.prefix_cache import PrefixCacheStandIn


def test_events_are_delayed_have_gaps_and_follow_evictions():
    clock = ManualClock(0)
    cache = PrefixCacheStandIn(clock, capacity_tokens=10, event_delay_ms=200)
    cached = [
        cache.process_prompt(prompt)["prompt_tokens_details"]["cached_tokens"]
        for prompt in ("a" * 32,) * 2
    ]
    assert cached == [0, 8]
    assert cache.events_after(0) == {"events": [], "last": 0}
    cache.events_to_lose = 1
    cache.process_prompt("b" * 32)
    clock.advance(200)
    page = cache.events_after(0)
    assert [(item["sequence"], item["kind"]) for item in page["events"]] == [
        (1, "stored"),
        (3, "evicted"),
    ]
    assert page["last"] == 3
    assert cache.process_prompt("a" * 32)["prompt_tokens_details"]["cached_tokens"] == 0
