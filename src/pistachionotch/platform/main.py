"""Entry points of the processes that run on the platform's VMs."""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

from ..findings import InvalidInputError

INVALID_SETTINGS_EXIT_STATUS = 2


def gateway() -> int:
    """Run a gateway until SIGTERM and return its exit status.

    The platform passes the path of the settings file in an environment variable.
    """
    from .boot import PATH_VARIABLE, load_settings

    try:
        settings = load_settings(os.environ.get(PATH_VARIABLE, ""))
    except InvalidInputError as error:
        print(error, file=sys.stderr)
        return INVALID_SETTINGS_EXIT_STATUS
    import gevent

    from ..cli.daemons import run_daemon
    from ..heap import return_freed_memory
    from ..logs import BoundedStream, configure_logs

    stream = BoundedStream(sys.stdout.fileno())
    configure_logs(stream, settings.node)
    gevent.spawn(stream.run)
    return_freed_memory()
    daemon = make_gateway(settings)
    gevent.signal_handler(signal.SIGHUP, _reload, daemon)
    run_daemon(daemon)
    stream.write_out()
    return 0


def _reload(daemon: Any) -> None:
    """Reload the settings file; invalid settings are logged and change nothing."""
    from ..logs import logger
    from .boot import PATH_VARIABLE, load_settings

    try:
        settings = load_settings(os.environ.get(PATH_VARIABLE, ""))
    except InvalidInputError as error:
        logger("gateway").warning("settings not reloaded", findings=str(error))
        return
    daemon.reload(settings)


def make_gateway(settings: Any) -> Any:
    """Create a gateway that uses the platform's store, protocol and ingress."""
    from ..clock import SystemClock
    from ..gateway.daemon import GatewayDaemon
    from ..http_client import ConnectionPool
    from ..logs import logger
    from ..measures import Measures
    from .client_access import ClientAccess
    from .duties import PlatformDuties
    from .ingress import IngressApp
    from .listings import PlatformListings
    from .store import PlatformStore
    from .upstream import ServerProtocol

    clock = SystemClock()
    pool = ConnectionPool(clock)
    measures = Measures()
    store = PlatformStore(settings.object_api, pool, measures)

    def ingress(daemon: GatewayDaemon) -> IngressApp:
        return IngressApp(
            daemon.clock,
            lambda: daemon.cluster.catalog,
            daemon.forwarder,
            daemon.batches,
            daemon.closing,
            lambda: daemon.rejecting_requests,
            logger("clients"),
            daemon.drain_plan,
            access=ClientAccess(
                daemon.clock,
                lambda: daemon.cluster.catalog,
                logger("clients"),
                measures,
                daemon.cluster.catalog_listed_ms,
                lambda: daemon.settings.revocation_limit_ms,
            ),
            budget=daemon.room.budget,
        )

    return GatewayDaemon(
        settings,
        store,
        pool,
        ServerProtocol(),
        PlatformListings(store, logger("listings"), measures),
        ingress,
        "/api/readyz",
        clock,
        measures=measures,
        duty_client=(
            PlatformDuties(settings.duties_address, pool) if settings.duties_address else None
        ),
    )


def disk() -> int:
    """Idle on a VM with a disk; the gateways store nothing there, so there is nothing to do."""
    # SIGTERM ends the process by default, which has nothing to finish first. SIGHUP is ignored,
    # because the process uses no settings.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    while True:
        signal.pause()
