"""The order task, which sends fenced orders to the engine and reads its version back."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
from gevent.queue import Empty, Queue
from returns.result import Failure

from ..clock import MS_PER_SECOND, Clock, Deadline
from ..config.spec import Address
from ..http_client import ConnectionPool, ExchangeError
from ..lease.fence import read_fence
from ..malformed import MALFORMED, load_json
from ..objects.api import ObjectStore
from ..weights.gate import Admitted, CorrectionNeeded, EngineOrder, OrderGate
from ..weights.publish import read_desired
from ..wire.messages import Order, OrderResult
from ..wire.session import Session
from .upstream import EngineUpstream

ORDER_TIMEOUT_MS = 30_000
READ_BACK_INTERVAL_S = 2.0
FENCE_RETRY_MS = 1000
ROLLOUT_DUTY = "weights"
# With a weight swap of 5 s, an order still ends before the lease holder's timeout of 15 s.
MAX_STORE_WAIT_MS = 8000
DEFAULT_RETRY_MS = 1000
STORE_BUSY = "weight store is above its rate"
STALE_FENCE = "the engine has seen a newer fence"


@attrs.define
class OrderTask:
    """Execute the orders for one engine, one at a time, as its order gate admits them."""

    upstream: EngineUpstream
    store: ObjectStore
    shard: str
    clock: Clock
    log: Any
    gate: OrderGate = attrs.field(factory=OrderGate)
    inbox: Queue = attrs.field(factory=Queue)
    # Whether the engine is configured as one that rejects orders with a stale fence.
    checks_fences: bool = False
    observed_version: int | None = None
    on_version_read: Callable[[int], None] = attrs.field(default=lambda _version: None)

    def submit(self, session: Session, order: Order) -> None:
        """Queue an order whose result is sent over ``session``."""
        self.inbox.put((session, order))

    def run(self) -> None:
        """Load the fence, then execute orders and check the engine's version between them."""
        self._load_fence()
        while True:
            try:
                session, order = self.inbox.get(timeout=READ_BACK_INTERVAL_S)
            except Empty:
                self._check_version()
                continue
            result = self._execute(order)
            session.send(result)

    def _load_fence(self) -> None:
        """Load the fence and the desired version, which are not known after a restart."""
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

    def _execute(self, order: Order) -> OrderResult:
        engine_order = EngineOrder(order.fence, order.kind, order.model, order.version)
        decision = self.gate.admit(engine_order)
        if not isinstance(decision, Admitted):
            reason = type(decision).__name__
            self.log.info("order refused", order=order.order, fence=order.fence, reason=reason)
            return OrderResult(order.order, False, self._reported_version(), reason)
        refusal = self._run(engine_order)
        if refusal:
            # Given a reason, the lease holder repeats the order and does not count a failed swap.
            return OrderResult(order.order, False, self._reported_version(), refusal)
        accepted = self.observed_version == order.version
        self.log.info(
            "order executed", order=order.order, fence=order.fence, version=self._reported_version()
        )
        return OrderResult(order.order, accepted, self._reported_version())

    def _run(self, order: EngineOrder) -> str:
        """Run an admitted order and any correction that the version read back requires.

        Return why the engine did not start the order, or an empty string.
        """
        while True:
            refusal = self._post(order)
            if refusal:
                self.gate.not_started(order)
                self.observed_version = self._read_version()
                if refusal == STALE_FENCE:
                    # Another agent has sent this engine an order with a newer fence, so the engine
                    # would reject corrections with the old one.
                    self._load_fence()
                return refusal
            self.observed_version = self._read_version()
            verdict = self.gate.finish(order, self.observed_version)
            if not isinstance(verdict, CorrectionNeeded):
                return ""
            decision = self.gate.admit(verdict.order)
            if not isinstance(decision, Admitted):
                return ""
            order = verdict.order

    def _check_version(self) -> None:
        self.observed_version = self._read_version()
        verdict = self.gate.observe(self.upstream.model, self.observed_version)
        if not isinstance(verdict, CorrectionNeeded):
            return
        if isinstance(self.gate.admit(verdict.order), Admitted):
            self.log.warning("correcting the engine's weight version", observed=verdict.observed)
            self._run(verdict.order)

    def _reported_version(self) -> int:
        return -1 if self.observed_version is None else self.observed_version

    def _post(self, order: EngineOrder) -> str:
        """Send an order, retrying while the weight store is busy; return the refusal, if any."""
        body = json.dumps(attrs.asdict(order)).encode()
        deadline = Deadline.after(self.clock, MAX_STORE_WAIT_MS)
        while True:
            status, headers, _answer = self._request("POST", "/admin/orders", body)
            if status == HTTPStatus.CONFLICT and self.checks_fences:
                self.log.warning("engine rejected a stale fence", fence=order.fence)
                return STALE_FENCE
            if status != HTTPStatus.TOO_MANY_REQUESTS:
                return ""
            wait_ms = _retry_after_ms(headers)
            self.log.info("weight store is busy", version=order.version, wait_ms=wait_ms)
            # A further order comes from the same holder after its timeout, or from a new holder.
            if wait_ms > deadline.remaining_ms(self.clock) or not self.inbox.empty():
                return STORE_BUSY
            self.clock.sleep_ms(wait_ms)

    def _read_version(self) -> int | None:
        status, _headers, answer = self._request("GET", "/admin/version", b"")
        if status != HTTPStatus.OK or answer.get("model") != self.upstream.model:
            return None
        version = answer.get("version")
        if not isinstance(version, int):
            return None
        self.on_version_read(version)
        return version

    def _request(self, method: str, path: str, body: bytes) -> tuple[int, Any, dict[str, Any]]:
        """Return the engine's status, headers and JSON answer; status 0 if the call failed."""
        address = Address(self.upstream.host, self.upstream.port)
        headers = [("Content-Type", "application/json")]
        try:
            head, text = ConnectionPool(self.clock).ask(
                address, method, path, headers, body, ORDER_TIMEOUT_MS, fresh=True
            )
            answer = load_json(text) if head.status == HTTPStatus.OK else {}
        # After a lost answer, the version that is read back shows whether the order took effect.
        except (ExchangeError, *MALFORMED) as error:
            self.log.info("engine call failed", path=path, reason=repr(error))
            return 0, {}, {}
        return head.status, head, answer if isinstance(answer, dict) else {}


def _retry_after_ms(headers: Any) -> int:
    text = str(headers.get("retry-after") or "")
    return int(text) * MS_PER_SECOND if text.isdecimal() else DEFAULT_RETRY_MS
