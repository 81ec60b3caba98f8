"""Guards against items that spend most of their step's time on an engine that drops requests.

Load pattern: an engine answers some requests and does not answer others, during a step that is due
7.5 s after its submission.
"""

import structlog
from test_batch_log import item
from test_batch_run import make_run

from pistachionotch.batches.attempts import HEAD_TIMEOUTS_MS, AttemptOutcome, ItemRunner
from pistachionotch.batches.run import ItemProgress
from pistachionotch.clock import ManualClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.upstreams import Upstream, UpstreamRecord
from pistachionotch.http_client import ExchangeError
from pistachionotch.objects.memory import MemoryStore

STEP_DUE_MS = 7_500


ENGINE = UpstreamRecord(
    instance="i",
    service="s",
    address=Address("10.0.0.1", 80),
    zone="z",
    slots=8,
    leaving=False,
    started_ms=1,
    versions={"m": 3},
)


class SilentClient:
    """Upstream client whose attempts all time out without a response."""

    def __init__(self, clock):
        self.clock = clock
        self.timeouts = []

    def send_request(self, upstream, request, timeout_ms, repeatable, may_send):
        self.timeouts.append(timeout_ms)
        self.clock.advance(timeout_ms)
        raise ExchangeError("no response", sent=True)


def test_an_attempt_on_a_silent_engine_times_out_early_enough_for_another_engine():
    clock = ManualClock()
    client = SilentClient(clock)
    runner = ItemRunner(clock, client, None, structlog.get_logger())
    submission = make_run(MemoryStore()).head.submission
    state = ItemProgress(item("i0"))
    upstream = Upstream(ENGINE)
    assert runner.run(submission, state, upstream) is AttemptOutcome.BROKEN
    assert clock.now_ms() <= STEP_DUE_MS / 4
    assert upstream.backoff_until_ms > clock.now_ms()
    for _ in range(3):
        runner.run(submission, state, upstream)
    # Repeated timeouts most likely mean that all engines have queues, so later attempts wait
    # longer.
    assert client.timeouts == [*HEAD_TIMEOUTS_MS, HEAD_TIMEOUTS_MS[-1]]
