"""A gateway between stand-ins of the users' platform, in the process of the demo."""

from __future__ import annotations

import secrets
from collections import Counter
from typing import Any

import attrs
import gevent

from ..config.spec import Address
from ..gateway.settings import DutyName, GatewaySettings
from ..platform.main import make_gateway
from ..standins.duties import DutyStandIn
from ..standins.http import start_server
from ..standins.platform_objects import (
    PlatformResponse,
    SharedService,
    put_configuration,
    put_server,
    send_call,
)
from ..standins.platform_servers import PlatformServerStandIn
from ..standins.platform_store import PlatformStoreStandIn
from .deployment import HOST, REGION, ZONES, free_address

SERVICE = "parts"
HOSTNAME = "parts.example"
SERVERS = ("parts-1", "parts-2", "parts-3", "parts-4")
# Each server runs this many requests at once, each for WORK_MS.
SLOTS = 1
WORK_MS = 100
CALL_BUDGET_MS = 2_000
REPORT_WINDOW_MS = 1_000
READY_TIMEOUT_S = 15.0
POLL_S = 0.05
# Time for requests that are still open when the demo ends.
DRAIN_GRACE_MS = 1_000


@attrs.define
class DemoGateway:
    """Start and stop one gateway with the accounts ``club`` and ``dealer``."""

    keys: dict[str, str] = attrs.field(
        factory=lambda: {name: secrets.token_hex(16) for name in ("club", "dealer")}
    )
    platform: PlatformStoreStandIn = attrs.field(factory=PlatformStoreStandIn)
    duties: DutyStandIn = attrs.field(factory=DutyStandIn)
    servers: list[PlatformServerStandIn] = attrs.field(
        factory=lambda: [
            PlatformServerStandIn(name, slots=SLOTS, work_ms=WORK_MS) for name in SERVERS
        ]
    )
    clients_address: Address = attrs.field(factory=free_address)
    probes_address: Address = attrs.field(factory=free_address)
    daemon: Any = attrs.field(init=False)
    standins: list[Any] = attrs.field(factory=list)

    def start(self) -> None:
        """Start the stand-ins and the gateway."""
        shared = SharedService(
            hostname=HOSTNAME, service=SERVICE, timeout_ms=CALL_BUDGET_MS, keys=self.keys
        )
        put_configuration(self.platform.store, shared)
        for server in self.servers:
            address = self._serve(server)
            put_server(self.platform.store, server.instance, SERVICE, address, ZONES[0], SLOTS)
        settings = GatewaySettings(
            node="gateway-1",
            zone=ZONES[0],
            region=REGION,
            zone_regions={zone: REGION for zone in ZONES},
            object_api=self._serve(self.platform),
            max_value_bytes=1_048_576,
            listen_clients=self.clients_address,
            listen_probes=self.probes_address,
            listen_peers=free_address(),
            drain_grace_ms=DRAIN_GRACE_MS,
            order_handover_ms=300,
            batch_retention_ms=120_000,
            duties_address=self._serve(self.duties),
            duties=frozenset({DutyName.USAGE_REPORTS}),
            report_window_ms=REPORT_WINDOW_MS,
        )
        self.daemon = make_gateway(settings)
        self.daemon.start()

    def _serve(self, standin: Any) -> Address:
        server = start_server(standin, HOST, 0)
        self.standins.append(server)
        return Address(HOST, server.server_port)

    def stop(self) -> None:
        """Drain the gateway, then stop the stand-ins."""
        self.daemon.drain("demo ends")
        for server in self.standins:
            server.stop(timeout=0)

    def wait_ready(self) -> bool:
        """Wait until the gateway is ready and reports usage; return False after the time limit.

        The first holder ever reports only windows that begin after it has stored its record, so
        calls are sent after the first report.
        """
        with gevent.Timeout(READY_TIMEOUT_S, False):
            while not (self.daemon.ready() and self.duties.calls):
                gevent.sleep(POLL_S)
            return True
        return False

    def runs_by_account(self) -> dict[str, int]:
        """Return the number of requests of each account that the servers have run."""
        return dict(Counter(run["account"] for server in self.servers for run in server.runs))

    def call(self, key: str) -> PlatformResponse:
        """Send one call to the service."""
        request_id = secrets.token_hex(8)
        target = f"/{SERVICE}/x"
        return send_call(self.clients_address, HOSTNAME, target, request_id, key, CALL_BUDGET_MS)
