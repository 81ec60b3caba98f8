"""Deployment of stand-ins, agents and one entry in a single process."""

from __future__ import annotations

import secrets
import socket

import attrs

from ..agent.daemon import AgentDaemon
from ..config.settings import Listen, Role, Settings, UpstreamKind, UpstreamSettings
from ..config.spec import Address
from ..entry.daemon import EntryDaemon
from ..standins.engine import EngineStandIn
from ..standins.http import start_server
from ..standins.object_store import ObjectStoreApp, serve
from ..standins.plain_service import PlainServiceStandIn
from ..standins.vm_list import VmListStandIn

HOST = "127.0.0.1"
DEPLOYMENT = "demo"
REGION = "visayas"
ZONES = ("cebu", "iloilo")
MODEL = "fitting"
SERVICE = "storefront"


def free_address() -> Address:
    """Return a loopback address with a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return Address(HOST, probe.getsockname()[1])


@attrs.define
class DemoDeployment:
    """Start and stop the parts of the demo."""

    key: str = attrs.field(factory=lambda: secrets.token_hex(16))
    engines: list[EngineStandIn] = attrs.field(factory=list)
    service: PlainServiceStandIn = attrs.field(factory=lambda: PlainServiceStandIn(SERVICE))
    agents: list[AgentDaemon] = attrs.field(factory=list)
    store_address: Address = attrs.field(init=False)
    vms_address: Address = attrs.field(init=False)
    entry: EntryDaemon = attrs.field(init=False)
    address: Address = attrs.field(init=False)

    def start(self) -> None:
        """Start all parts; the entry is ready once its agents are connected."""
        server = serve(ObjectStoreApp())
        self.store_address = Address(HOST, server.server_port)
        self.vms_address = Address(HOST, start_server(VmListStandIn(), HOST, 0).server_port)
        for number, zone in enumerate(ZONES, start=1):
            engine = EngineStandIn(MODEL)
            self.engines.append(engine)
            address = Address(HOST, start_server(engine, HOST, 0).server_port)
            upstream = UpstreamSettings(
                kind=UpstreamKind.ENGINE, address=address, model=MODEL, concurrency_limit=8
            )
            self._start_agent(f"agent-fitting-{number}", zone, upstream)
        address = Address(HOST, start_server(self.service, HOST, 0).server_port)
        upstream = UpstreamSettings(
            kind=UpstreamKind.PLAIN_SERVICE,
            address=address,
            service=SERVICE,
            concurrency_limit=16,
        )
        self._start_agent("agent-storefront-1", ZONES[0], upstream)
        self._start_entry()

    def stop(self) -> None:
        """Drain the entry, then the agents."""
        self.entry.drain("demo ends")
        for agent in self.agents:
            agent.drain("demo ends")

    def _settings(
        self, node: str, role: Role, zone: str, listen: Listen, upstream: UpstreamSettings | None
    ) -> Settings:
        return Settings(
            deployment=DEPLOYMENT,
            node=node,
            role=role,
            region=REGION,
            zone=zone,
            listen=listen,
            deployment_key=self.key,
            object_api=self.store_address,
            vm_list=self.vms_address,
            upstream=upstream,
        )

    def _start_agent(self, node: str, zone: str, upstream: UpstreamSettings) -> None:
        listen = Listen(wire=free_address())
        agent = AgentDaemon(self._settings(node, Role.AGENT, zone, listen, upstream))
        agent.start()
        self.agents.append(agent)

    def _start_entry(self) -> None:
        self.address = free_address()
        listen = Listen(http=self.address)
        settings = self._settings("entry-1", Role.ENTRY, ZONES[0], listen, None)
        self.entry = EntryDaemon(settings, balancer_notice_s=0)
        self.entry.start()
