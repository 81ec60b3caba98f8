"""Registry of gateways, and the interface that this gateway serves to the others."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from http import HTTPStatus
from io import BytesIO
from typing import Any

import attrs
from returns.result import Failure

from ..batches.model import Owner
from ..batches.ownership import GatewayRecord, rank_owners
from ..batches.ownership_transfer import unix_ms
from ..batches.peers import PeerApp
from ..clock import SystemClock
from ..config.spec import Address
from ..exchange.service import EXCHANGE_PATH, StateExchange
from ..limits.byte_budget import DEFAULT_BUDGET_BYTES, ByteBudget, NoRoomError, Purpose
from ..logs import logger
from ..malformed import MALFORMED, load_utf8_json
from ..measures import Measures
from ..objects.api import ObjectStore, StoredObject, StoreRejected, VersionConflict
from ..objects.odd_objects import OddObjects
from ..objects.relay import RELAY_PATH, handle_relayed_call
from ..objects.values import canonical_json
from ..request_bodies import BodyReader, BodyTooLargeError, IncompleteBodyError
from ..server import mark_waiting
from .crash_exchange import CRASHES_PREFIX, CrashExchange
from .limit_exchange import LIMITS_PREFIX
from .limits import RateLimits
from .sharing import COPIES_PREFIX, CopiesApp
from .stream_origins import STREAMS_PATH, StreamOrigins

GATEWAYS_PREFIX = "gateways/"
# Limit on a body that a peer sends. The largest are submissions and batches that are handed over.
MAX_BODY_BYTES = 16 * 1024 * 1024
# With one probe a minute, a VM that is down for a shorter time comes back at its address.
MAX_MISSED_PROBES = 10


@attrs.define
class GatewayRegistry:
    """Registration of this gateway and the records of the others."""

    local_owner: Owner
    store: ObjectStore
    log: Any
    region: str = ""
    processor: float = 0.0
    records: dict[str, GatewayRecord] = attrs.field(factory=dict)
    registered: bool = False
    # Whether the object API will never accept the registration.
    rejected: bool = False
    # Whether an earlier process of this gateway was registered when this one started.
    restarted: bool = False
    # Unix time at which this process started.
    started_ms: int = attrs.field(factory=unix_ms)
    # Unix time at which this process began its planned stop; 0 before that.
    stopped_ms: int = 0
    versions: dict[str, int] = attrs.field(factory=dict)
    measures: Measures = attrs.field(factory=Measures)
    odd: OddObjects = attrs.field(init=False)
    # Consecutive probes without an answer, by node.
    missed_probes: dict[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.odd = OddObjects(self.log, self.measures)

    @property
    def addresses(self) -> dict[str, Address]:
        """Return the addresses of the other gateways by node."""
        return {node: record.address for node, record in self.records.items()}

    def local_record(self) -> GatewayRecord:
        """Return the record of this gateway."""
        return GatewayRecord(
            address=self.local_owner.address, region=self.region, processor=self.processor
        )

    def owner_candidates(self, key: str) -> list[GatewayRecord]:
        """Return all gateways, ordered by preference as owners of the batches of a key."""
        return rank_owners(key, self.region, [self.local_record(), *self.records.values()])

    def other_gateways(self) -> list[Address]:
        """Return the addresses of the other gateways."""
        return list(self.addresses.values())

    def register(self) -> bool:
        """Store the registration of this gateway; returns whether the write is confirmed."""
        key = GATEWAYS_PREFIX + self.local_owner.node
        fields = {
            "address": str(self.local_owner.address),
            "incarnation": self.local_owner.incarnation,
            "region": self.region,
            "processor": self.processor,
            "started_ms": self.started_ms,
        }
        if self.stopped_ms:
            fields["stopped_ms"] = self.stopped_ms
        value = canonical_json(fields)
        written = self.store.put(key, value, None)
        if isinstance(written, Failure):
            error = written.failure()
            if isinstance(error, VersionConflict) and error.current is not None:
                self._read_former(error.current.value)
                written = self.store.put(key, value, error.current.version)
        self.registered = not isinstance(written, Failure)
        self.rejected = isinstance(written, Failure) and isinstance(
            written.failure(), StoreRejected
        )
        if not self.registered:
            self.log.warning("gateway registration failed", reason=str(written.failure()))
        return self.registered

    def record_stop(self) -> None:
        """Record a planned stop, so that the next process does not take it for an unplanned end."""
        self.stopped_ms = unix_ms()
        self.register()

    def _read_former(self, value: bytes) -> None:
        """Note whether an earlier process was registered, and report it if it ended by itself."""
        try:
            fields = load_utf8_json(value)
            incarnation = fields["incarnation"]
            started_ms, stopped_ms = fields.get("started_ms"), fields.get("stopped_ms")
        except MALFORMED as error:
            self.log.warning("malformed own registration", error=repr(error))
            return
        if incarnation == self.local_owner.incarnation or self.restarted:
            return
        self.restarted = True
        # Gateways of earlier versions record neither their starts nor their stops.
        if started_ms is None or stopped_ms is not None:
            return
        self.measures.count("unplanned_ends", "gateway")
        self.log.warning(
            "former process ended by itself",
            gateway=self.local_owner.node,
            incarnation=str(incarnation),
            started_ms=started_ms,
            # It ended between its last log line and this time.
            restarted_ms=self.started_ms,
        )

    def apply_listing(self, objects: dict[str, StoredObject], revision: int) -> None:
        """Replace the known gateways with a newer listing."""
        found = {}
        # If another gateway deleted this registration as lost, it has to be stored again.
        self.registered = self.registered and GATEWAYS_PREFIX + self.local_owner.node in objects
        self.odd.keep(GATEWAYS_PREFIX, objects.keys())
        self.versions = {key: stored.version for key, stored in objects.items()}
        for key, stored in objects.items():
            node = key.removeprefix(GATEWAYS_PREFIX)
            if node == self.local_owner.node:
                continue
            try:
                found[node] = _read_record(stored.value)
                self.odd.forget(key)
            except MALFORMED as error:
                self.odd.report(key, stored.version, error)
        self.records = found
        self.log.info("gateways listed", revision=revision, others=sorted(found))

    def delete_unreachable(self, answers: Callable[[Address], bool]) -> None:
        """Probe the other gateways and delete those that missed too many probes in a row."""
        for node, address in list(self.addresses.items()):
            if answers(address):
                self.missed_probes.pop(node, None)
                continue
            self.missed_probes[node] = self.missed_probes.get(node, 0) + 1
            if self.missed_probes[node] < MAX_MISSED_PROBES:
                continue
            key = GATEWAYS_PREFIX + node
            gone = self.store.delete(key, self.versions.get(key, 0))
            self.missed_probes.pop(node)
            self.log.warning(
                "unreachable gateway deleted", gateway=node, stored=not isinstance(gone, Failure)
            )


def _read_record(value: bytes) -> GatewayRecord:
    fields = load_utf8_json(value)
    return GatewayRecord(
        address=Address.parse_peer(fields["address"]),
        # Gateways of earlier versions don't store these fields.
        region=str(fields.get("region", "")),
        processor=float(fields.get("processor", 0.0)),
    )


def peer_bodies(budget: ByteBudget) -> BodyReader:
    """Return the reader of the bodies that peers send."""
    return BodyReader(MAX_BODY_BYTES, budget, Purpose.PEER)


def _unshared_budget() -> ByteBudget:
    return ByteBudget(SystemClock(), DEFAULT_BUDGET_BYTES, logger("room"))


@attrs.frozen
class PeerInterface:
    """WSGI application for other gateways.

    Serves batches, listing copies, relayed object API calls, rate limits, origins of streams,
    reports of crashes and the exchange of state.
    """

    batches: PeerApp
    copies: CopiesApp
    # The direct store, so that a relayed call is not relayed again.
    store: ObjectStore
    limits: RateLimits
    origins: StreamOrigins
    crashes: CrashExchange
    bodies: BodyReader = attrs.field(factory=lambda: peer_bodies(_unshared_budget()))
    # None if nothing is exchanged by topic.
    state: StateExchange | None = None

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request."""
        try:
            with self.bodies.read(environ) as body:
                return self._serve({**environ, "wsgi.input": BytesIO(body)}, start_response)
        except (BodyTooLargeError, IncompleteBodyError, NoRoomError) as error:
            logger("gateway").warning(
                "body of a peer not read",
                path=environ["PATH_INFO"],
                peer=environ.get("REMOTE_ADDR", ""),
                reason=str(error),
            )
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            if isinstance(error, NoRoomError):
                status = HTTPStatus.SERVICE_UNAVAILABLE
            start_response(
                f"{status.value} {status.phrase}",
                [("Content-Length", "0"), ("Connection", "close")],
            )
            return []

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == EXCHANGE_PATH and self.state is not None:
            return _respond(start_response, *self.state.answer(environ["wsgi.input"].read()))
        if path not in (RELAY_PATH, STREAMS_PATH) and not path.startswith(
            (COPIES_PREFIX, LIMITS_PREFIX, CRASHES_PREFIX)
        ):
            return self.batches(environ, start_response)
        status, body = HTTPStatus.OK, b""
        try:
            if path == RELAY_PATH:
                body = handle_relayed_call(
                    self.store, environ["wsgi.input"].read(), lambda: mark_waiting(environ)
                )
            elif path == STREAMS_PATH:
                body = self.origins.answer(environ["wsgi.input"].read())
            elif path.startswith(CRASHES_PREFIX):
                body = self.crashes.answer(path, environ["wsgi.input"].read())
            elif path.startswith(LIMITS_PREFIX):
                status, body = self.limits.answer(path, environ["wsgi.input"].read())
            else:
                status, body = self.copies.answer(environ)
        except MALFORMED as error:
            status = HTTPStatus.BAD_REQUEST
            logger("gateway").error(
                "request of a peer failed",
                path=path,
                error=repr(error),
                trace=traceback.format_exc(),
            )
        return _respond(start_response, status, body)


def _respond(
    start_response: Callable[..., Any], status: HTTPStatus, body: bytes
) -> Iterable[bytes]:
    headers = [("Content-Type", "application/cbor"), ("Content-Length", str(len(body)))]
    start_response(f"{status.value} {status.phrase}", headers)
    return [body]
