"""Client of the platform's interface for usage reports and orders of servers."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs

from ..config.spec import Address
from ..duties.client import DutyAnswer, ServerOrder, UsageReport
from ..http_client import ConnectionPool, ExchangeError
from ..logs import logger
from ..objects.values import canonical_json

HOLDER_HEADER = "Duty-Holder"
FENCE_HEADER = "Fencing-Token"
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
CONNECT_TIMEOUT_MS = 500
# A report is due 10 s after the end of its window, of which it is recorded 2.5 s after the end.
RESPONSE_TIMEOUT_MS = 2_000
MAX_RESPONSE_BYTES = 64 * 1024


@attrs.define
class PlatformDuties:
    """Implement ``DutyClient``; each call uses a connection of its own and is sent once."""

    address: Address
    pool: ConnectionPool

    def report_usage(
        self, report: UsageReport, holder: str, fence: int, may_send: Callable[[], bool]
    ) -> DutyAnswer:
        """Report the usage of one window."""
        fields = {"window_id": report.window, "counts": dict(report.counts)}
        return self._call(USAGE_PATH, fields, holder, fence, may_send)

    def order_servers(
        self, order: ServerOrder, holder: str, fence: int, may_send: Callable[[], bool]
    ) -> DutyAnswer:
        """Order a number of servers."""
        fields = {"service": order.service, "zone": order.zone, "desired": order.desired}
        return self._call(SCALE_PATH, fields, holder, fence, may_send)

    def _call(
        self, path: str, fields: Any, holder: str, fence: int, may_send: Callable[[], bool]
    ) -> DutyAnswer:
        body = canonical_json(fields)
        headers = [
            ("Host", str(self.address)),
            ("Content-Type", "application/json"),
            (HOLDER_HEADER, holder),
            (FENCE_HEADER, str(fence)),
        ]
        connection = None
        try:
            # Never a kept connection: if it were closed meanwhile, whether the call had arrived
            # would be unknown.
            connection = self.pool.take(self.address, "", CONNECT_TIMEOUT_MS, fresh=True)
            if not may_send():
                return DutyAnswer.NO_ANSWER
            connection.send("POST", path, headers, body, RESPONSE_TIMEOUT_MS)
            status = connection.read_head(RESPONSE_TIMEOUT_MS).status
        except ExchangeError as error:
            logger("duties").warning("duty call failed", path=path, reason=error.reason)
            return DutyAnswer.NO_ANSWER
        finally:
            if connection is not None:
                connection.close()
        return read_status(status)


def read_status(status: int) -> DutyAnswer:
    """Return what the status of a response means."""
    if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
        return DutyAnswer.DONE
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        return DutyAnswer.BUSY
    if HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return DutyAnswer.REFUSED
    return DutyAnswer.BUSY
