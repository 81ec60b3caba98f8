"""A fake upstream that records every run in a ledger, and a slow object store."""

import json

import attrs
import gevent
from returns.result import Success

from pistachionotch.agent.upstream import (
    NO_VERSION,
    UpstreamCompleted,
    UpstreamFailed,
    UpstreamPiece,
)
from pistachionotch.entry.calls import COMPLETIONS_PATH
from pistachionotch.idempotency.claim import parse_claim
from pistachionotch.objects.memory import MemoryStore

SERVICE_MS = 20
TOKEN_MS = 10
CRAWL_MS = 500
SLOW_MS = 6000


@attrs.define
class UpstreamRun:
    """One run of a call; ``body`` is set once the upstream has produced its response."""

    request: str
    key: str
    idempotent: bool
    at_ms: int
    body: bytes | None = None
    # Whether the upstream crashed under it.
    crashed: bool = False


# Software versions of engines; the second one marks its tokens.
SOFTWARE = ("v1", "v2")


def mark(software):
    return "'" if software == SOFTWARE[1] else ""


def completion_text(name, tokens, first=0, software=SOFTWARE[0]):
    numbers = range(first, first + tokens)
    return "".join(f"{name}.{number}{mark(software)};" for number in numbers)


@attrs.define
class Upstreams:
    """The upstreams of all agents; ``faults`` maps an agent to the faults of its next calls."""

    clock: object
    ledger: list = attrs.field(factory=list)
    faults: dict = attrs.field(factory=dict)
    # Software version of each agent's engine; "" if the engine names none.
    software: dict = attrs.field(factory=dict)
    # An upstream that runs a request with this text in its body crashes.
    deadly: bytes = b"deadly"

    def call(self, agent, submit, clock, emit):
        queue = self.faults.get(agent)
        fault = queue.pop(0) if queue else ""
        if fault == "refuse":
            return UpstreamFailed("connection refused", sent=False)
        ran = UpstreamRun(submit.request, submit.key, submit.idempotent, self.clock.now_ms())
        self.ledger.append(ran)
        gevent.sleep((SLOW_MS if fault == "slow" else SERVICE_MS) / 1000)
        if self.deadly in submit.body:
            ran.crashed = True
            return UpstreamFailed("connection reset", sent=True, crashed=True)
        if fault == "break":
            return UpstreamFailed("connection reset", sent=True)
        software = self.software.get(agent, SOFTWARE[0])
        pieces = self._pieces(submit, len(self.ledger), software)
        ran.body = b"".join(piece.data for piece in pieces)
        for number, piece in enumerate(pieces):
            if fault == "break later" and number == len(pieces) - 1:
                return UpstreamFailed("stream broke off", sent=True)
            emit(piece)
            gevent.sleep((CRAWL_MS if fault == "crawl" else TOKEN_MS) / 1000)
        return UpstreamCompleted(200, (("Content-Type", "text/plain"),))

    def _pieces(self, submit, run, software):
        if submit.path != COMPLETIONS_PATH:
            parts = [f"run {run} of {submit.request};".encode(), b"middle;", b"end"]
            return [UpstreamPiece(part, NO_VERSION, 0) for part in parts]
        wanted = json.loads(submit.body)
        name, _separator, before = wanted["prompt"].partition("|")
        first = before.count(";")
        tokens = range(first, first + wanted["max_tokens"])
        return [
            UpstreamPiece(f"{name}.{number}{mark(software)};".encode(), 1, 1, software)
            for number in tokens
        ]


@attrs.define
class SlowStore(MemoryStore):
    """A store whose writes take effect at once, but whose answers are delayed by ``slow_ms``."""

    slow_ms: int = 0
    # Times at which each claim was revoked, by object key.
    revoked_ms: dict = attrs.field(factory=dict)

    def get(self, key):
        self._wait()
        return super().get(key)

    def put(self, key, value, expected_version):
        answer = super().put(key, value, expected_version)
        claim = parse_claim(value)
        if isinstance(answer, Success) and claim is not None and claim.phase == "revoked":
            self.revoked_ms.setdefault(key, []).append(self.clock.now_ms())
        self._wait()
        return answer

    def _wait(self):
        if self.slow_ms:
            gevent.sleep(self.slow_ms / 1000)
