"""Open answers of a process that stops: the wait for them, and the report of those cut off.

An answer is open until its last byte has been handed to the system. This holds for the answers of
all servers of a process: buffered ones, pages of results, streams, and those to other gateways.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .clock import Clock
from .limits.connection_table import OpenConnection, Stage
from .logs import logger
from .measures import Measures
from .server import BoundedServer

POLL_INTERVAL_MS = 50

_REASONS = {
    Stage.RECEIVING: "the body of its request did not come in time",
    Stage.RUNNING: "it was not finished in time",
    Stage.SENDING: "its client reads too slowly",
}


def open_connections(servers: Iterable[BoundedServer]) -> list[OpenConnection]:
    """Return the connections of all servers whose answers are open."""
    return [connection for server in servers for connection in server.open_connections()]


def wait_for_answers(
    servers: Iterable[BoundedServer],
    clock: Clock,
    left_ms: Callable[[], int | None] = lambda: None,
    sending_limit_ms: int | None = None,
) -> None:
    """Wait until no answer is open, or until no time is left; None is no limit.

    ``sending_limit_ms`` limits the time in which nothing is left but to send what clients read.
    """
    servers = list(servers)
    sending_since_ms: int | None = None
    while (found := open_connections(servers)) and left_ms() != 0:
        now_ms = clock.now_ms()
        if any(connection.stage is not Stage.SENDING for connection in found):
            sending_since_ms = None
        elif sending_since_ms is None:
            sending_since_ms = now_ms
        elif sending_limit_ms is not None and now_ms - sending_since_ms >= sending_limit_ms:
            return
        clock.sleep_ms(POLL_INTERVAL_MS)


def report_cut_off(
    servers: Iterable[BoundedServer], component: str, measures: Measures | None = None
) -> int:
    """Log and count the answers that are open when a process stops; returns their number."""
    count = 0
    for server in servers:
        for connection in server.open_connections():
            count += 1
            if measures is not None:
                measures.count("answers_cut_off", connection.stage.value)
            logger(component).warning(
                "answer cut off",
                port=server.server_port,
                peer=connection.peer,
                stage=connection.stage.value,
                stage_ms=connection.clock.now_ms() - connection.since_ms,
                sent_bytes=connection.sent_bytes,
                left_bytes=connection.left_bytes,
                reason=_REASONS[connection.stage],
            )
    return count
