"""Order task: passes fenced orders to the engine one at a time and reads the result back."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import attrs
from gevent.queue import Empty, Queue
from geventhttpclient import HTTPClient
from returns.result import Failure

from ..clock import Clock
from ..lease.fence import read_fence
from ..objects.api import ObjectStore
from ..weights.gate import Admitted, Correct, EngineOrder, OrderGate
from ..weights.publish import read_desired
from ..wire.messages import Order, OrderResult
from ..wire.session import Session
from .upstream import CONNECT_TIMEOUT_S, EngineUpstream

ORDER_TIMEOUT_S = 30.0
READ_BACK_S = 2.0
FENCE_RETRY_MS = 1000
ROLLOUT_DUTY = "weights"


@attrs.define
class OrderTask:
    """Own the order gate of one engine."""

    upstream: EngineUpstream
    store: ObjectStore
    shard: str
    clock: Clock
    log: Any
    gate: OrderGate = attrs.field(factory=OrderGate)
    inbox: Queue = attrs.field(factory=Queue)
    observed_version: int | None = None
    on_observed: Callable[[int], None] = attrs.field(default=lambda _version: None)

    def submit(self, session: Session, order: Order) -> None:
        """Queue an order; its result goes back over the session."""
        self.inbox.put((session, order))

    def run(self) -> None:
        """Learn the fence, then serve orders and read the version back in between."""
        self._learn_fence()
        while True:
            try:
                session, order = self.inbox.get(timeout=READ_BACK_S)
            except Empty:
                self._observe()
                continue
            result = self._serve(order)
            session.send(result)

    def _learn_fence(self) -> None:
        """Read the fence before any order, since a fence seen by an earlier start is lost."""
        while True:
            fence = read_fence(self.store, ROLLOUT_DUTY, self.shard)
            desired = read_desired(self.store, self.upstream.model)
            if isinstance(fence, Failure) or isinstance(desired, Failure):
                self._refuse_waiting()
                self.clock.sleep_ms(FENCE_RETRY_MS)
                continue
            self.gate.load_fence(fence.unwrap())
            published = desired.unwrap()
            if published is not None:
                self.gate.load_desired(self.upstream.model, published.version)
            return

    def _refuse_waiting(self) -> None:
        while not self.inbox.empty():
            session, order = self.inbox.get()
            session.send(OrderResult(order.order, False, -1, "fence is not known yet"))

    def _serve(self, order: Order) -> OrderResult:
        wanted = EngineOrder(order.fence, order.kind, order.model, order.version)
        decision = self.gate.admit(wanted)
        if not isinstance(decision, Admitted):
            reason = type(decision).__name__
            self.log.info("order refused", order=order.order, fence=order.fence, reason=reason)
            return OrderResult(order.order, False, self._reported(), reason)
        self._run(wanted)
        accepted = self.observed_version == order.version
        self.log.info("order run", order=order.order, fence=order.fence, version=self._reported())
        return OrderResult(order.order, accepted, self._reported())

    def _run(self, order: EngineOrder) -> None:
        """Run one admitted order and any correction that the read-back asks for."""
        while True:
            self._post(order)
            self.observed_version = self._read_version()
            verdict = self.gate.finish(order, self.observed_version)
            if not isinstance(verdict, Correct):
                return
            decision = self.gate.admit(verdict.order)
            if not isinstance(decision, Admitted):
                return
            order = verdict.order

    def _observe(self) -> None:
        self.observed_version = self._read_version()
        verdict = self.gate.observe(self.upstream.model, self.observed_version)
        if not isinstance(verdict, Correct):
            return
        if isinstance(self.gate.admit(verdict.order), Admitted):
            self.log.warning("correcting the engine", observed=verdict.observed)
            self._run(verdict.order)

    def _reported(self) -> int:
        return -1 if self.observed_version is None else self.observed_version

    def _post(self, order: EngineOrder) -> None:
        body = json.dumps(attrs.asdict(order)).encode()
        self._request("POST", "/admin/orders", body)

    def _read_version(self) -> int | None:
        answer = self._request("GET", "/admin/version", b"")
        if answer is None or answer.get("model") != self.upstream.model:
            return None
        version = answer.get("version")
        if not isinstance(version, int):
            return None
        self.on_observed(version)
        return version

    def _request(self, method: str, path: str, body: bytes) -> dict[str, Any] | None:
        client = HTTPClient(
            self.upstream.host,
            self.upstream.port,
            concurrency=1,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=ORDER_TIMEOUT_S,
        )
        try:
            response = client.request(method, path, body, {"Content-Type": "application/json"})
            answer = json.loads(response.read())
            return answer if response.status_code == 200 else None
        except Exception as error:  # a lost answer is settled by the version read back
            self.log.info("engine call failed", path=path, reason=repr(error))
            return None
        finally:
            client.close()
