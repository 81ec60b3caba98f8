"""Stand-in for a model engine, with its weight orders, a ledger of runs and fault switches."""

from __future__ import annotations

import errno
import json
import secrets
import zlib
from collections.abc import Iterator
from typing import Any
from urllib.parse import parse_qs

import attrs
import gevent
from gevent.lock import BoundedSemaphore

from ..clock import Clock, SystemClock
from .http import Environ, StartResponse, read_body, respond_json
from .ledger import Recorder, discard_record
from .prefix_cache import PrefixCacheStandIn

_WORDS = ("saddle", "tyre", "jersey", "hub", "spoke", "crank", "ferret", "class", "judge", "show")


def generate_words(seed: int, prompt: str) -> Iterator[str]:
    """Generate words that depend on the seed and on all text so far.

    If a prompt ends with words generated earlier, the output continues as the first completion
    would have, so the text of a resumed stream can be computed from its first prompt.
    """
    state = zlib.crc32(f"{seed}:{prompt}".encode("utf-8", "surrogatepass"))
    while True:
        word = _WORDS[(state >> 8) % len(_WORDS)] + " "
        state = zlib.crc32(word.encode(), state)
        yield word


@attrs.define
class EngineFaults:
    """Fault switches that can be changed while the engine runs."""

    slow_factor: float = 1.0
    # Break each stream before the token of this index; -1 breaks none.
    break_after_tokens: int = -1
    hide_versions: bool = False
    fail_orders: int = 0
    lose_order_answers: int = 0
    # Number of orders to refuse as if the weight store had responded with 429, and the
    # Retry-After that it gave.
    busy_orders: int = 0
    retry_after_s: int = 1
    lose_cache_events: int = 0


@attrs.define
class EngineRun:
    """A completion that the engine ran; ``spans`` holds weight versions and token counts."""

    request: str
    spans: list[list[int]]
    finished: bool = False
    cancelled: bool = False
    identifier: str = attrs.field(factory=lambda: secrets.token_hex(6))


@attrs.define
class EngineStandIn:
    """Serve completions token by token and swap weights on order."""

    model: str
    clock: Clock = attrs.field(factory=SystemClock)
    version: int = 1
    software: str = "1"
    slots: int = 8
    token_ms: int = 4
    prefill_tokens_per_ms: float = 100.0
    checks_fences: bool = False
    swap_ms: int = 50
    fence: int = 0
    faults: EngineFaults = attrs.field(factory=EngineFaults)
    runs: list[EngineRun] = attrs.field(factory=list)
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    running: int = 0
    waiting: int = 0
    record: Recorder = discard_record
    cache: PrefixCacheStandIn = attrs.field(init=False)
    _slots: BoundedSemaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._slots = BoundedSemaphore(self.slots)
        self.cache = PrefixCacheStandIn(self.clock)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Any:
        """Dispatch one HTTP request."""
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if route == ("POST", "/v1/completions"):
            return self._complete(environ, start_response)
        if route == ("GET", "/load"):
            report = {"running": self.running, "waiting": self.waiting, "measured_ms_ago": 0}
            return respond_json(start_response, 200, report)
        if route == ("GET", "/cache/events"):
            after = parse_qs(environ.get("QUERY_STRING", "")).get("after", ["0"])[0]
            return respond_json(start_response, 200, self.cache.events_after(int(after)))
        if route == ("GET", "/admin/version"):
            return respond_json(start_response, 200, {"model": self.model, "version": self.version})
        if route == ("POST", "/admin/orders"):
            return self._order(json.loads(read_body(environ)), start_response)
        if route == ("POST", "/faults"):
            for name, value in json.loads(read_body(environ)).items():
                setattr(self.faults, name, value)
            return respond_json(start_response, 200, attrs.asdict(self.faults))
        if route == ("GET", "/ledger"):
            ledger = {"runs": [attrs.asdict(run) for run in self.runs], "orders": self.orders}
            return respond_json(start_response, 200, ledger)
        return respond_json(start_response, 404, {"error": "no such route"})

    def _complete(self, environ: Environ, start_response: StartResponse) -> Any:
        parameters = json.loads(read_body(environ))
        if parameters.get("model") != self.model:
            return respond_json(start_response, 404, {"error": "no such model"})
        run = EngineRun(environ.get("HTTP_X_REQUEST_ID", ""), [])
        self.runs.append(run)
        fields = ("prompt", "seed", "max_tokens")
        self.record(
            {
                "run": run.identifier,
                "request": run.request,
                **{name: parameters.get(name) for name in fields},
            }
        )
        headers = [("Content-Type", "text/event-stream")]
        if self.software:
            headers.append(("X-Software-Version", self.software))
        start_response("200 OK", headers)
        return self._stream(run, parameters)

    def _stream(self, run: EngineRun, parameters: dict[str, Any]) -> Iterator[bytes]:
        self.waiting += 1
        try:
            self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            yield from self._tokens(run, parameters)
        except GeneratorExit:
            run.cancelled = True
            raise
        finally:
            self.running -= 1
            self._slots.release()

    def _tokens(self, run: EngineRun, parameters: dict[str, Any]) -> Iterator[bytes]:
        words = generate_words(parameters.get("seed", 0), parameters["prompt"])
        usage = self._prefill(parameters["prompt"])
        count = int(parameters.get("max_tokens", 16))
        for position in range(count):
            if position == self.faults.break_after_tokens:
                raise ConnectionResetError(errno.ECONNRESET, "stand-in breaks the stream")
            gevent.sleep(self.token_ms * self.faults.slow_factor / 1000)
            version = self.version
            if run.spans and run.spans[-1][0] == version:
                run.spans[-1][1] += 1
            else:
                run.spans.append([version, 1])
            reason = "length" if position == count - 1 else None
            self.record({"run": run.identifier, "version": version})
            yield self._chunk(next(words), reason, version, usage if reason else None)
        run.finished = True
        yield b"data: [DONE]\n\n"

    def _prefill(self, prompt: str) -> dict[str, Any]:
        self.cache.events_to_lose += self.faults.lose_cache_events
        self.faults.lose_cache_events = 0
        usage = self.cache.process_prompt(prompt)
        missing = usage["prompt_tokens"] - usage["prompt_tokens_details"]["cached_tokens"]
        gevent.sleep(missing / self.prefill_tokens_per_ms * self.faults.slow_factor / 1000)
        return usage

    def _chunk(
        self, text: str, reason: str | None, version: int, usage: dict[str, Any] | None
    ) -> bytes:
        chunk: dict[str, Any] = {
            "object": "text_completion",
            "model": self.model,
            "choices": [{"index": 0, "text": text, "finish_reason": reason}],
        }
        if not self.faults.hide_versions:
            chunk["weight_version"] = version
        if usage is not None:
            chunk["usage"] = usage
        return b"data: " + json.dumps(chunk).encode() + b"\n\n"

    def _order(self, order: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        fence = int(order["fence"])
        self.orders.append(dict(order))
        if self.checks_fences and fence < self.fence:
            return respond_json(start_response, 409, {"error": "old fence"})
        self.fence = max(self.fence, fence)
        if self.faults.fail_orders > 0:
            self.faults.fail_orders -= 1
            return respond_json(start_response, 500, {"error": "swap failed"})
        if self.faults.busy_orders > 0:
            self.faults.busy_orders -= 1
            headers = [("Retry-After", str(self.faults.retry_after_s))]
            busy = {"error": "weight store is above its rate"}
            return respond_json(start_response, 429, busy, headers)
        gevent.sleep(self.swap_ms / 1000)
        self.version = int(order["version"])
        if self.faults.lose_order_answers > 0:
            self.faults.lose_order_answers -= 1
            # On this error the WSGI server closes the connection without a response.
            raise ConnectionResetError(errno.ECONNRESET, "stand-in loses the answer")
        return respond_json(start_response, 200, {"version": self.version})
