"""Access of clients to a gateway: which account a request belongs to, and whether it may pass."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from ..accounts.access import (
    Access,
    Denied,
    Granted,
    Uncertain,
    check_access,
    is_scoped,
    scoped_batch_id,
)
from ..batches.ids import internal_id
from ..clock import Clock
from ..gateway.catalog import Catalog, RouteKind
from ..gateway.responses import CallFailure, FailureCause
from ..http_client import Header
from ..measures import Measures
from .upstream import CREDENTIAL_HEADER, without_credentials

BATCH_PREFIX = "/api/lots/"
ITEM_PREFIX = "/api/items/"
# Retry-After until the first configuration has been read.
STARTING_RETRY_MS = 500


@attrs.frozen
class Admission:
    """A request that may pass under one configuration."""

    catalog: Catalog
    # Name of the account; empty if the request has none.
    account: str

    def forwarded_headers(self, headers: tuple[Header, ...]) -> tuple[Header, ...]:
        """Return the headers of the request that may be forwarded or stored."""
        return headers if self.catalog.accounts is None else without_credentials(headers)

    def internal_ids(self, batch: str) -> tuple[str, ...]:
        """Return the internal id of the batch with a client's id, and that of earlier versions.

        There is none if the id can't be that of a batch: requests without an account would
        otherwise reach the batches of accounts by their internal ids.
        """
        if not self.account and self.catalog.accounts is not None and is_scoped(batch):
            return ()
        names = dict.fromkeys((internal_id(batch), batch))
        return tuple(scoped_batch_id(self.account, name) for name in names)


@attrs.define
class ClientAccess:
    """Decides about the requests of clients by the configuration in force."""

    clock: Clock
    catalog: Callable[[], Catalog | None]
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    # When the configuration was last known to be current; None before that.
    confirmed_ms: Callable[[], int | None] = lambda: None
    # Time without confirmation after which no key is accepted; 0: no limit.
    strict_limit_ms: Callable[[], int] = lambda: 0

    def check(
        self, request: str, host: str, target: str, method: str, headers: tuple[Header, ...]
    ) -> Admission | CallFailure:
        """Return the admission of a request by its head, or its refusal; nothing of it has run."""
        catalog = self.catalog()
        if catalog is None:
            return CallFailure(FailureCause.NOT_RUN, "no configuration yet", STARTING_RETRY_MS)
        if catalog.accounts is None:
            return Admission(catalog, "")
        confirmed_ms = self.confirmed_ms()
        ago_ms = None if confirmed_ms is None else max(0, self.clock.now_ms() - confirmed_ms)
        public, addresses_batch = _kind_of_target(catalog, host.lower(), target, method)
        access = check_access(
            catalog.accounts,
            [value for name, value in headers if name.lower() == CREDENTIAL_HEADER.lower()],
            public,
            ago_ms,
            self.strict_limit_ms(),
            addresses_batch,
        )
        if isinstance(access, Granted):
            return Admission(catalog, access.account.name if access.account else "")
        self.measures.count("access_refused", access.reason)
        self.log.info(
            "access refused",
            request=request,
            target=target,
            reason=access.reason,
            final=isinstance(access, Denied),
            catalog=catalog.version,
            confirmed_ms_ago=ago_ms,
        )
        return _refusal(access)


def _refusal(access: Access) -> CallFailure:
    if isinstance(access, Uncertain):
        return CallFailure(FailureCause.NOT_RUN, access.reason, access.retry_after_ms)
    assert isinstance(access, Denied)
    return CallFailure(FailureCause.UNAUTHORIZED, access.reason)


def _kind_of_target(catalog: Catalog, host: str, target: str, method: str) -> tuple[bool, bool]:
    """Return whether a request needs no key, and whether it addresses a batch."""
    path = target.partition("?")[0]
    if path.startswith(BATCH_PREFIX) or (path.startswith(ITEM_PREFIX) and method == "GET"):
        # These match no route; who may submit batches without a key may read them without one.
        return catalog.has_public_batches(host), True
    route = catalog.match(host, target)
    if route is None:
        return False, False
    return route.public, route.kind is RouteKind.BATCH and method == "POST"
