"""Copies of object API listings that gateways pass on to each other.

Each call to the object API has a price, and its rates grow more slowly than the fleet. So two
gateways watch it, and the others ask these. A copy tells its age; one that is too old is not used,
and a gateway that finds no recent copy watches the object API itself.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import attrs
import cbor2

from ..clock import Clock
from ..config.spec import Address
from ..http_client import Connection, ConnectionPool, ExchangeError
from ..objects.api import StoredObject

COPIES_PREFIX = "/copies/"
# Gateways that watch the object API.
WATCHERS = 2
# A wait at a watcher is short, since one that was lost is noticed only at its end; the platform
# allows 2.5 s until a change takes effect.
WAIT_MS = 1_000
ANSWER_MS = 400
CONNECT_TIMEOUT_MS = 300
# Oldest knowledge that is passed on: a watch of 1 s, the pause after it and a slow answer.
MAX_AGE_MS = 2_000
# A watcher that did not answer, or whose copy was too old, is not asked again for this time.
AVOID_MS = 3_000


@attrs.frozen(kw_only=True)
class Copy:
    """Hold a listing; ``objects`` is None if it is the one that the asker has."""

    revision: int
    age_ms: int
    objects: dict[str, StoredObject] | None


@attrs.define
class Watchers:
    """Choose whom to ask, and ask."""

    node: str
    pool: ConnectionPool
    clock: Clock
    rng: random.Random
    # Addresses of the other gateways by node.
    others: Callable[[], Mapping[str, Address]]
    avoided: dict[str, int] = attrs.field(factory=dict)

    def chosen(self) -> dict[str, Address | None]:
        """Return the watchers by node; this gateway itself has no address."""
        now_ms = self.clock.now_ms()
        known: dict[str, Address | None] = {self.node: None}
        for node, address in self.others().items():
            if self.avoided.get(node, 0) <= now_ms:
                known[node] = address
        # By a hash of the name, so that the watchers do not all stand in the first zone.
        ranked = sorted(known, key=lambda node: (zlib.crc32(node.encode()), node))
        return {node: known[node] for node in ranked[:WATCHERS]}

    def addresses(self) -> list[Address]:
        """Return the addresses of the watchers, without this gateway."""
        return [address for address in self.chosen().values() if address is not None]

    def fetch(self, prefix: str, since: int) -> Copy | None:
        """Return a watcher's copy, None if this gateway has to ask the object API itself."""
        chosen = self.chosen()
        if self.node in chosen:
            return None
        node, address = self.rng.choice(sorted(chosen.items()))
        assert address is not None
        copy = self._ask(address, prefix, since)
        if copy is None or copy.age_ms > MAX_AGE_MS or copy.revision < since:
            self.avoided[node] = self.clock.now_ms() + AVOID_MS
            return None
        return copy

    def _ask(self, address: Address, prefix: str, since: int) -> Copy | None:
        connection: Connection | None = None
        target = f"{COPIES_PREFIX}{prefix}?since={since}&wait_ms={WAIT_MS}"
        try:
            connection = self.pool.take(address, COPIES_PREFIX, CONNECT_TIMEOUT_MS)
            connection.send("GET", target, [("Host", str(address))], b"", ANSWER_MS)
            head = connection.read_head(WAIT_MS + ANSWER_MS)
            body = connection.read_body(ANSWER_MS)
            self.pool.give_back(connection, COPIES_PREFIX, head)
            connection = None
        except ExchangeError:
            # The caller then asks the object API, whose loss is logged.
            return None
        finally:
            if connection is not None:
                connection.close()
        if head.status != HTTPStatus.OK:
            return None
        revision, age_ms, objects = cbor2.loads(body)
        if objects is None:
            return Copy(revision=revision, age_ms=age_ms, objects=None)
        found = {key: StoredObject(key, version, value) for key, version, value in objects}
        return Copy(revision=revision, age_ms=age_ms, objects=found)


@attrs.frozen
class CopiesApp:
    """Serve this gateway's copies."""

    # The copy of a prefix that is newer than a revision, after a wait if there is none yet.
    copy_of: Callable[[str, int, int], Copy | None]

    def answer(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        """Answer one request."""
        prefix = environ["PATH_INFO"].removeprefix(COPIES_PREFIX)
        query = parse_qs(environ["QUERY_STRING"])
        copy = self.copy_of(prefix, int(query["since"][0]), int(query["wait_ms"][0]))
        if copy is None:
            return HTTPStatus.NOT_FOUND, b""
        objects = None
        if copy.objects is not None:
            objects = [[each.key, each.version, each.value] for each in copy.objects.values()]
        return HTTPStatus.OK, cbor2.dumps([copy.revision, copy.age_ms, objects])
