"""Sharing of object API listings between gateways.

Each call to the object API has a cost, and its rate limits grow more slowly than the fleet. So
only two gateways, the watchers, watch the object API, and the others fetch copies from them. A
copy states its age. Copies that are too old are not used, and a gateway without a recent copy
watches the object API itself.
"""

from __future__ import annotations

import random
import zlib
from collections import deque
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import parse_qs, urlencode

import attrs
import cbor2

from ..clock import Clock
from ..config.spec import Address
from ..http_client import Connection, ConnectionPool, ExchangeError
from ..logs import logger
from ..malformed import MALFORMED, load_cbor
from ..objects.api import StoredObject
from ..objects.relay import decode_stored_object
from ..server import mark_waiting

COPIES_PREFIX = "/copies/"
# Number of gateways that watch the object API.
WATCHER_COUNT = 2
# Long-poll time at a watcher. It is short because a lost watcher is only detected when it ends; the
# platform allows 2.5 s until a change takes effect.
WAIT_MS = 1_000
RESPONSE_TIMEOUT_MS = 400
CONNECT_TIMEOUT_MS = 300
# Maximum age of a usable copy: a watch of 1 s, the pause after it and a slow response.
MAX_AGE_MS = 2_000
# Number of changes kept; a gateway with an older state gets the whole listing.
MAX_KEPT_CHANGES = 200
# Time to avoid a watcher that did not answer or whose copy was too old.
AVOID_WATCHER_MS = 3_000


Objects = dict[str, StoredObject]
# A value of None marks a removed object.
Delta = dict[str, StoredObject | None]


@attrs.frozen(kw_only=True)
class ListingCopy:
    """A listing, or the changes since the state that the requesting gateway has."""

    revision: int
    age_ms: int
    # Identifies this state; the requesting gateway sends it with its next request.
    token: str
    is_snapshot: bool
    objects: Delta
    # Changes of rate limits for the requesting gateway; None if it did not ask for them.
    limits: Any = None


class LimitChanges(Protocol):
    """Source and target of the rate limits that travel with the copies."""

    # State last received, by the gateway that sent it.
    tokens: dict[str, str]

    def has_changes(self, token: str) -> bool:
        """Return whether limits have changed since the state that a token identifies."""

    def changes(self, token: str) -> list[Any]:
        """Return the token of the current state, and the changes since that of ``token``."""

    def apply_changes(self, node: str, changes: Any) -> None:
        """Apply the changes received from another gateway; raises one of ``MALFORMED``."""


@attrs.define
class ChangeLog:
    """The most recent changes of a listing, for gateways that have an earlier state."""

    # Distinguishes the states of this process from those of its earlier starts.
    incarnation: str
    number: int = 0
    changes: deque[Delta] = attrs.field(factory=lambda: deque(maxlen=MAX_KEPT_CHANGES))

    @property
    def token(self) -> str:
        """Return the identifier of the current state."""
        return f"{self.incarnation}:{self.number}"

    def add(self, former: Objects, present: Objects) -> None:
        """Record the difference between two states of the listing."""
        delta: Delta = {key: None for key in former.keys() - present.keys()}
        for key, stored in present.items():
            if former.get(key) != stored:
                delta[key] = stored
        self.changes.append(delta)
        self.number += 1

    def since(self, token: str) -> Delta | None:
        """Return the merged changes since a state, or None if they are no longer kept."""
        incarnation, _, number = token.partition(":")
        if incarnation != self.incarnation or not number.isdigit():
            return None
        missing = self.number - int(number)
        if not 0 <= missing <= len(self.changes):
            return None
        merged: Delta = {}
        for delta in list(self.changes)[len(self.changes) - missing :]:
            merged.update(delta)
        return merged


def apply_delta(objects: Objects, delta: Delta) -> Objects:
    """Return the objects after applying a delta."""
    changed = dict(objects)
    for key, stored in delta.items():
        if stored is None:
            changed.pop(key, None)
            continue
        changed[key] = stored
    return changed


@attrs.define
class Watchers:
    """Client that selects the gateways which watch the object API and fetches their copies."""

    node: str
    pool: ConnectionPool
    clock: Clock
    rng: random.Random
    # Addresses of the other gateways by node.
    other_gateways: Callable[[], Mapping[str, Address]]
    # The rate limits, and the prefix of the listing with whose copies they travel.
    limits: LimitChanges | None = None
    limits_prefix: str = ""
    avoided: dict[str, int] = attrs.field(factory=dict)
    # The watcher in use until it fails, and the last state received from it by prefix.
    current: str = ""
    tokens: dict[str, str] = attrs.field(factory=dict)

    def active_watchers(self) -> dict[str, Address | None]:
        """Return the addresses of the watchers by node; None stands for this gateway itself."""
        now_ms = self.clock.now_ms()
        ranked = self._ranked()
        healthy = [node for node in ranked if self.avoided.get(node, 0) <= now_ms]
        return {node: ranked[node] for node in healthy[:WATCHER_COUNT]}

    def _ranked(self) -> dict[str, Address | None]:
        """Return all gateways, ordered by their preference as watchers."""
        known: dict[str, Address | None] = {self.node: None, **self.other_gateways()}
        # Ordered by a hash of the name, so that the watchers are not all in the first zone.
        ranked = sorted(known, key=lambda node: (zlib.crc32(node.encode()), node))
        return {node: known[node] for node in ranked}

    def _select_watcher(self, active_watchers: dict[str, Address | None]) -> str:
        """Return the watcher to fetch copies from.

        If only this gateway avoids a watcher, the replacement does not watch the object API
        itself: it serves a copy of a copy, which is older. So regular watchers are preferred.
        """
        usual = [node for node in list(self._ranked())[:WATCHER_COUNT] if node in active_watchers]
        return self.rng.choice(usual or sorted(active_watchers))

    def addresses(self) -> list[Address]:
        """Return the addresses of the watchers other than this gateway."""
        return [address for address in self.active_watchers().values() if address is not None]

    def watching(self) -> bool:
        """Return whether this gateway is one of the watchers."""
        return self.node in self.active_watchers()

    def fetch(self, prefix: str, revision: int, waits: bool = True) -> ListingCopy | None:
        """Return a watcher's copy, or None if this gateway has to query the object API itself.

        Copies older than ``revision`` are not used. With ``waits``, the watcher answers once there
        is a change, or after ``WAIT_MS``.
        """
        active_watchers = self.active_watchers()
        if self.node in active_watchers:
            self.tokens.clear()
            return None
        if self.current not in active_watchers:
            self.current = self._select_watcher(active_watchers)
            self.tokens.clear()
        node = self.current
        address = active_watchers[node]
        assert address is not None
        wait_ms = WAIT_MS if waits else 0
        copy = self._request_copy(address, prefix, self.tokens.get(prefix, ""), wait_ms)
        if copy is None or copy.age_ms > MAX_AGE_MS or copy.revision < revision:
            self.avoided[node] = self.clock.now_ms() + AVOID_WATCHER_MS
            self.tokens.clear()
            return None
        self.tokens[prefix] = copy.token
        return copy

    def _request_copy(
        self, address: Address, prefix: str, token: str, wait_ms: int = WAIT_MS
    ) -> ListingCopy | None:
        connection: Connection | None = None
        fields = {"since": token, "wait_ms": str(wait_ms)}
        node = self.current
        if self.limits is not None and prefix == self.limits_prefix:
            fields["limits"] = self.limits.tokens.get(node, "")
        target = f"{COPIES_PREFIX}{prefix}?{urlencode(fields)}"
        try:
            connection = self.pool.take(address, COPIES_PREFIX, CONNECT_TIMEOUT_MS)
            connection.send("GET", target, [("Host", str(address))], b"", RESPONSE_TIMEOUT_MS)
            head = connection.read_head(wait_ms + RESPONSE_TIMEOUT_MS)
            body = connection.read_body(RESPONSE_TIMEOUT_MS)
            self.pool.give_back(connection, COPIES_PREFIX, head)
            connection = None
        except ExchangeError:
            # Not logged: the caller falls back to the object API and logs if that is lost.
            return None
        finally:
            if connection is not None:
                connection.close()
        if head.status != HTTPStatus.OK:
            return None
        try:
            copy = load_copy(body)
            if copy.limits is not None and self.limits is not None:
                self.limits.apply_changes(node, copy.limits)
            return copy
        except MALFORMED as error:
            logger("gateway").warning(
                "malformed listing copy", peer=str(address), error=repr(error)
            )
            return None


@attrs.frozen
class CopiesApp:
    """WSGI handler that serves this gateway's copies to other gateways."""

    # Returns the changes under a prefix since a state; waits if there are none yet.
    copy_of: Callable[[str, str, int], ListingCopy | None]
    limits: LimitChanges | None = None

    def answer(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        """Return status and body for one request."""
        prefix = environ["PATH_INFO"].removeprefix(COPIES_PREFIX)
        query = parse_qs(environ["QUERY_STRING"], keep_blank_values=True)
        wait_ms = int(query["wait_ms"][0])
        mark_waiting(environ)
        limits_token = query["limits"][0] if "limits" in query else None
        if self.limits is None or limits_token is None:
            copy = self.copy_of(prefix, query["since"][0], wait_ms)
        else:
            if self.limits.has_changes(limits_token):
                wait_ms = 0
            copy = self.copy_of(prefix, query["since"][0], wait_ms)
            if copy is not None:
                copy = attrs.evolve(copy, limits=self.limits.changes(limits_token))
        if copy is None:
            return HTTPStatus.NOT_FOUND, b""
        return HTTPStatus.OK, dump_copy(copy)


def dump_copy(copy: ListingCopy) -> bytes:
    """Encode a copy as CBOR."""
    objects = {
        key: None if stored is None else [stored.version, stored.value]
        for key, stored in copy.objects.items()
    }
    fields = [copy.revision, copy.age_ms, copy.token, copy.is_snapshot, objects]
    if copy.limits is not None:
        fields.append(copy.limits)
    return cbor2.dumps(fields)


def load_copy(body: bytes) -> ListingCopy:
    """Decode a copy from CBOR; raises one of ``MALFORMED``."""
    revision, age_ms, token, is_snapshot, fields, *limits = load_cbor(body)
    objects: Delta = {}
    for key, each in fields.items():
        objects[str(key)] = None if each is None else decode_stored_object(key, each[0], each[1])
    return ListingCopy(
        revision=int(revision),
        age_ms=int(age_ms),
        token=str(token),
        is_snapshot=bool(is_snapshot),
        objects=objects,
        limits=limits[0] if limits else None,
    )
