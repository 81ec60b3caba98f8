"""Operations on batches for clients, which any gateway may receive."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs
import gevent
from returns.result import Failure

from ..clock import Clock
from ..config.spec import Address
from ..gateway.catalog import Route
from ..measures import Measures
from ..objects.api import ObjectStore, StoreRejected, StoreUnavailable, WriteAmbiguous
from ..objects.odd_objects import OddObjects
from ..weights.demand import ModelDemands
from .log import create_batch
from .model import (
    BatchError,
    BatchErrorKind,
    BatchHead,
    BatchState,
    Owner,
    OwnerTerm,
    ResultPage,
    Submission,
    items_bytes,
)
from .owner import BatchOwner
from .owner_cache import UNAVAILABLE_RETRY_MS, CachedOwner, OwnerCache
from .ownership import GatewayRecord
from .ownership_transfer import (
    OwnerChanged,
    OwnershipTransfer,
    owner_key,
    unix_ms,
)
from .peers import (
    NotOwner,
    PeerClient,
    PeerError,
    PeerItemNotFound,
    PeerRequestFailed,
    PeerUnreachable,
)
from .reads import find_item_body, wait_for_page
from .run import BatchRun
from .tenure import TENURE_MS

# An owner that does not answer for this time loses its batch to a takeover. Restarts of the owner's
# process and refused connections are detected earlier.
TAKE_OVER_AFTER_MS = 1_500
# A gateway that did not accept a forwarded submission gets no other one for this time.
AVOID_GATEWAY_MS = 5_000
# Maximum number of owners queried in one request, each of a later term than the one before: the
# cached one, a newer one from a directory gateway, and the one in the log.
MAX_OWNERS_QUERIED = 3
# Delay before an owner that did not answer is queried again.
OWNER_RETRY_MS = 200
# Retry-After of a submission that the object API did not store, neither directly nor through peers.
# Outages last some seconds, and trainers retry only once or twice. After this delay a step still
# has half of its 7.5 s.
OUTAGE_RETRY_MS = 3_000


@attrs.define
class BatchService:
    """Accepts, reads and ends batches, in this process or through their owner."""

    clock: Clock
    rng: random.Random
    local_owner: Owner
    store: ObjectStore
    max_value_bytes: int
    owner: BatchOwner
    peers: PeerClient
    demands: ModelDemands
    # Gateways that are notified of the owners of batches, and queried before the object API.
    directory_gateways: Callable[[], list[Address]]
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    # Objects of batches that can't be read.
    odd: OddObjects = attrs.field(init=False)
    owner_cache: OwnerCache = attrs.field(init=False)
    ownership_transfer: OwnershipTransfer = attrs.field(init=False)
    # Gateways that may run the batches of a key, best first, including this one.
    owner_candidates: Callable[[str], list[GatewayRecord]] = lambda _key: []
    # Gateways that did not accept a submission, and until when no submission is forwarded to them.
    avoided_until_ms: dict[Address, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.odd = OddObjects(self.log, self.measures)
        self.owner_cache = OwnerCache(
            self.clock, self.local_owner, self.peers, self.directory_gateways, odd=self.odd
        )
        self.ownership_transfer = OwnershipTransfer(
            self.clock,
            self.rng,
            self.local_owner,
            self.store,
            self.owner,
            self.peers,
            self.owner_cache,
            self.owner_candidates,
            self.log,
            self.measures,
            odd=self.odd,
        )

    @property
    def draining(self) -> bool:
        """Whether this process accepts no more batches."""
        return self.ownership_transfer.draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        self.ownership_transfer.draining = draining

    def local_accept_handoff(self, state: BatchState) -> OwnerTerm | None:
        """Continue a batch of a peer that stops; returns the new owner, None if that failed."""
        return self.ownership_transfer.accept_handoff(state)

    def submit(self, submission: Submission, route: Route) -> None | BatchError:
        """Accept and store a batch; None means accepted."""
        if submission.id in self.owner.runs or submission.id in self.owner_cache.entries:
            return None
        if self.draining:
            return BatchError(BatchErrorKind.NOT_ACCEPTED, "draining", 0)
        head = BatchHead(submission=submission, owner=self.local_owner, accepted_ms=unix_ms())
        chosen = self._choose_owner(submission)
        if chosen is None:
            return self._accept(head, route)
        forwarded = self._forward_submission(head, chosen)
        if isinstance(forwarded, OwnerTerm):
            self.owner_cache.learn(submission.id, forwarded)
            return None
        if isinstance(forwarded, BatchError):
            return forwarded
        # Accepting it here is safe: of two creations of a batch only one takes effect.
        error = self._accept(head, route)
        if error is not None and isinstance(forwarded, PeerUnreachable) and not forwarded.refused:
            return attrs.evolve(error, kind=BatchErrorKind.UNKNOWN)
        return error

    def _choose_owner(self, submission: Submission) -> GatewayRecord | None:
        """Return the gateway that should run a batch, None if this one should."""
        now_ms = self.clock.now_ms()
        for gateway in self.owner_candidates(owner_key(submission)):
            if gateway.address == self.local_owner.address:
                return None
            if self.avoided_until_ms.get(gateway.address, 0) <= now_ms:
                return gateway
        return None

    def _forward_submission(
        self, head: BatchHead, chosen: GatewayRecord
    ) -> OwnerTerm | BatchError | PeerError:
        """Forward a submission to the gateway that should run it."""
        forwarded = self.peers.submit(chosen.address, head)
        if isinstance(forwarded, NotOwner | PeerUnreachable):
            self.avoided_until_ms[chosen.address] = self.clock.now_ms() + AVOID_GATEWAY_MS
        self.log.info(
            "batch forwarded",
            batch=head.submission.id,
            gateway=str(chosen.address),
            processor=chosen.processor,
            outcome=(forwarded.owner.node if isinstance(forwarded, OwnerTerm) else str(forwarded)),
        )
        return forwarded

    def local_submit(self, submission: Submission) -> OwnerTerm | BatchError | None:
        """Accept a batch for another gateway; None if this one cannot accept it."""
        catalog = self.owner.catalog()
        route = catalog.match(submission.host, submission.target) if catalog else None
        if route is None or self.draining:
            return None
        head = BatchHead(submission=submission, owner=self.local_owner, accepted_ms=unix_ms())
        error = self._accept(head, route)
        return self.known_owner(submission.id) if error is None else error

    def _accept(self, head: BatchHead, route: Route) -> None | BatchError:
        submission = head.submission
        if not self.owner.has_room(items_bytes(submission.items)):
            return self._submission_error(submission, StoreUnavailable("no room for its items"))
        started_ms = self.clock.now_ms()
        created = create_batch(self.store, head, self.max_value_bytes, self.odd)
        if isinstance(created, Failure):
            return self._submission_error(submission, created.failure())
        stored = created.unwrap()
        self.measures.time("submissions", "accepted", self.clock.now_ms() - started_ms)
        self.log.info(
            "batch accepted",
            batch=submission.id,
            route=route.name,
            step=submission.step,
            model=submission.model,
            min_version=submission.min_version,
            items=len(submission.items),
            owner=stored.owner.node,
            **({"account": submission.account} if submission.account else {}),
        )
        if stored.owner != self.local_owner:
            self.owner_cache.learn(submission.id, OwnerTerm(stored.owner, 0))
        elif submission.id not in self.owner.runs:
            run = self.ownership_transfer.new_run(stored, route)
            # If the batch is new, no log entry can be older than its head.
            if stored is head:
                run.tenure.confirm(started_ms, self.clock.now_ms())
            self.owner.add(run)
            if self.draining:
                # The drain began while the batch was being stored.
                gevent.spawn(self.ownership_transfer.hand_off, run)
            gevent.spawn(self._record_demand, submission)
            gevent.spawn(self.owner_cache.announce, submission.id, run.term.term)
        return None

    def known_owner(self, batch: str) -> OwnerTerm | None:
        """Return the latest owner of a batch that this process knows, None if it knows none."""
        run = self.ownership_transfer.local_run(batch)
        if run is not None:
            return OwnerTerm(self.local_owner, run.term.term)
        self._learn_from_run(batch)
        cached = self.owner_cache.entries.get(batch)
        return None if cached is None else cached.found

    def learn_owner(self, batch: str, found: OwnerTerm) -> None:
        """Cache the owner of a batch that another gateway named, if it is newer."""
        self.owner_cache.learn(batch, found)

    def _learn_from_run(self, batch: str) -> None:
        """Cache the owner that replaced this process, as its log writer found it."""
        run = self.owner.runs.get(batch)
        if run is not None and run.owner != self.local_owner:
            self.owner_cache.learn(batch, run.term)

    def _record_demand(self, submission: Submission) -> None:
        if submission.model:
            tokens = sum(item.expected_tokens or item.max_tokens for item in submission.items)
            self.demands.record_step(submission.model, tokens)

    def _submission_error(self, submission: Submission, error: Any) -> BatchError:
        unknown = isinstance(error, WriteAmbiguous)
        kind = BatchErrorKind.UNKNOWN if unknown else BatchErrorKind.NOT_ACCEPTED
        retry_after_ms: int | None = OUTAGE_RETRY_MS
        if isinstance(error, StoreRejected):
            kind, retry_after_ms = BatchErrorKind.REJECTED, None
        self.measures.count("submissions_not_accepted", kind.value)
        self.log.warning(
            "batch not accepted", batch=submission.id, cause=kind.value, reason=str(error)
        )
        return BatchError(kind, str(error), retry_after_ms)

    def read(self, batch: str, position: int, wait_ms: int) -> ResultPage | BatchError:
        """Return a page of listed results, waiting for the first result if there is none yet."""
        page = self.local_page(batch, position, wait_ms)
        if page is not None:
            return page
        found = self._query_owner(batch, lambda owner: self._read(owner, batch, position, wait_ms))
        if not isinstance(found, BatchRun):
            return found
        page = self.local_page(batch, position, wait_ms)
        if page is None:
            return BatchError(BatchErrorKind.UNAVAILABLE, "the owner changes", UNAVAILABLE_RETRY_MS)
        return page

    def _read(
        self, owner: Owner, batch: str, position: int, wait_ms: int
    ) -> ResultPage | BatchError | PeerError:
        """Return the owner's page, unless it is too old because this process was held up."""
        asked_ms = self.clock.now_ms()
        page = self.peers.read(owner, batch, position, wait_ms)
        age_ms = self.clock.now_ms() - asked_ms
        if isinstance(page, ResultPage) and age_ms > wait_ms + TENURE_MS:
            self.log.warning("late page discarded", batch=batch, owner=owner.node, age_ms=age_ms)
            return PeerRequestFailed("the owner's answer is too old")
        return page

    def item_body(self, batch: str, item: str) -> bytes | BatchError:
        """Return the request body of an item."""
        run = self.ownership_transfer.local_run(batch)
        if run is None:
            found = self._query_owner(batch, lambda owner: self.peers.item_body(owner, batch, item))
            if not isinstance(found, BatchRun):
                return found
            run = found
        return find_item_body(run, item)

    def end(self, batch: str) -> None | BatchError:
        """End a batch; None means that it has ended permanently."""
        ended = self.local_end(batch)
        if ended is None:
            found = self._query_owner(batch, lambda owner: self.peers.end(owner, batch))
            if not isinstance(found, BatchRun):
                return found
            ended = self.local_end(batch)
        if ended:
            return None
        return BatchError(BatchErrorKind.UNAVAILABLE, "the end is not stored", UNAVAILABLE_RETRY_MS)

    def evict_expired(self, retention_ms: int) -> None:
        """Remove batches and cached owners older than the retention time from memory.

        Later requests for them are answered from the object API.
        """
        now_ms = self.clock.now_ms()
        for run in list(self.owner.runs.values()):
            if not run.open and now_ms - run.accepted_ms >= retention_ms:
                self.owner.remove(run)
        for batch in self.owner_cache.evict_expired(retention_ms):
            self.ownership_transfer.locks.pop(batch, None)
            self.ownership_transfer.unfinished_replays.pop(batch, None)

    def local_page(self, batch: str, position: int, wait_ms: int) -> ResultPage | BatchError | None:
        """Return listed results of a batch that runs here, None if it does not.

        The result is an error while another process may have taken the batch over.
        """
        run = self.ownership_transfer.local_run(batch)
        if run is None:
            return None
        page = wait_for_page(run, position, wait_ms)
        # Checked after the wait, in which the batch may be lost.
        if self.owner.writer.may_answer(run):
            return page
        if self.ownership_transfer.local_run(batch) is None:
            return None
        return BatchError(
            BatchErrorKind.UNAVAILABLE, "the ownership is not confirmed", UNAVAILABLE_RETRY_MS
        )

    def local_body(self, batch: str, item: str) -> bytes | PeerItemNotFound | None:
        """Return the body of an item of a batch that runs here, None if it does not."""
        run = self.ownership_transfer.local_run(batch)
        if run is None:
            return None
        body = find_item_body(run, item)
        return body if isinstance(body, bytes) else PeerItemNotFound()

    def local_end(self, batch: str) -> bool | None:
        """End a batch that runs here; None if it does not, False if the end may not be stored."""
        run = self.ownership_transfer.local_run(batch)
        if run is None:
            return None
        if run.ended or self.owner.writer.end(run):
            self.log.info("batch ended", batch=batch, listed=len(run.listed))
            return True
        # The end may have found the entry of another owner.
        return None if self.ownership_transfer.local_run(batch) is None else False

    def _query_owner(self, batch: str, query: Any) -> Any:
        """Return the owner's answer, or the run of the batch if this process has taken it over."""
        for _ in range(MAX_OWNERS_QUERIED):
            answer = self._query_current_owner(batch, query)
            if not isinstance(answer, OwnerChanged):
                return answer
        return BatchError(BatchErrorKind.UNAVAILABLE, "the owner changes", UNAVAILABLE_RETRY_MS)

    def _query_current_owner(self, batch: str, query: Any) -> Any:
        self._learn_from_run(batch)
        cached = self.owner_cache.find(batch, self.store)
        if isinstance(cached, BatchError):
            return cached
        if cached.owner.node == self.local_owner.node:
            # This process took it over or lost it, or an earlier incarnation of this node owned it.
            return self.ownership_transfer.take_over(batch, cached.found)
        answer = self._query_with_retries(batch, cached, query)
        if isinstance(answer, OwnerChanged):
            return answer
        if isinstance(answer, NotOwner | PeerUnreachable):
            silent = isinstance(answer, PeerUnreachable) and not answer.refused
            return self.ownership_transfer.take_over(batch, cached.found, silent)
        cached.unreachable_since_ms = None
        if isinstance(answer, PeerItemNotFound):
            return BatchError(BatchErrorKind.NOT_FOUND, "no such item")
        if isinstance(answer, PeerRequestFailed):
            return BatchError(BatchErrorKind.UNAVAILABLE, answer.reason, UNAVAILABLE_RETRY_MS)
        return answer

    def _query_with_retries(self, batch: str, cached: CachedOwner, query: Any) -> Any:
        """Return the owner's answer, retrying until it has been silent for TAKE_OVER_AFTER_MS."""
        started_ms = self.clock.now_ms()
        while True:
            answer = query(cached.owner)
            if not isinstance(answer, NotOwner | PeerUnreachable):
                return answer
            if self.owner_cache.replaced(batch, cached):
                return OwnerChanged()
            if isinstance(answer, NotOwner) or answer.refused:
                return answer
            if cached.unreachable_since_ms is None:
                cached.unreachable_since_ms = started_ms
            if self.clock.now_ms() - cached.unreachable_since_ms >= TAKE_OVER_AFTER_MS:
                return answer
            # The client may send its next request to any gateway, so this one resolves the silence
            # within the request instead of returning an error.
            self.clock.sleep_ms(OWNER_RETRY_MS)
