"""Commands that run the daemons until they are told to stop."""

from __future__ import annotations

import ctypes
import faulthandler
import gc
import signal
from typing import Protocol

import gevent
from gevent.event import Event
from returns.result import Failure

from ..config.settings import Role, Settings, load_settings
from ..logs import configure_logs
from .output import ExitCode, report_findings


class Daemon(Protocol):
    """A process that runs in the background until it is drained."""

    def start(self) -> None:
        """Start all tasks."""

    def drain(self, reason: str) -> None:
        """Finish the work in flight and stop."""


def entry(settings: str) -> int:
    """Run an entry until SIGTERM; open requests are finished first.

    Args:
        settings: The settings file.
    """
    return _run(settings, Role.ENTRY)


def agent(settings: str) -> int:
    """Run an agent until SIGTERM; work in flight is finished first.

    Args:
        settings: The settings file.
    """
    return _run(settings, Role.AGENT)


def _run(path: str, role: Role) -> int:
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        return report_findings(loaded.failure(), False)
    settings = loaded.unwrap()
    if settings.role is not role:
        print(f"{path}: these settings are for an {settings.role}")
        return ExitCode.USAGE
    configure_logs()
    run_daemon(make_daemon(settings))
    return ExitCode.DONE


def run_daemon(daemon: Daemon) -> None:
    """Run a daemon until a signal or an operator's request to drain."""
    # A fatal signal, for example the abort of a failed assertion, writes the stack to the logs.
    faulthandler.enable()
    stopping = Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    daemon.start()
    _return_unused_memory()
    _wait(daemon, stopping)
    daemon.drain("signal")


def _return_unused_memory() -> None:
    """Return memory left over from module loading, 0.5 to 1.3 MB, to the system."""
    gc.collect()
    # Modules and classes live as long as the process, so later collections can skip them.
    gc.freeze()
    libc = ctypes.CDLL(None)
    # Only the GNU C library provides this function.
    if hasattr(libc, "malloc_trim"):
        libc.malloc_trim(0)


def _wait(daemon: Daemon, stopping: Event) -> None:
    """Wait for a signal, or for a drain that an operator asked for over HTTP."""
    while not stopping.wait(0.5):
        if getattr(daemon, "state", "") == "stopped":
            return


def make_daemon(settings: Settings) -> Daemon:
    """Return the daemon that the settings describe; only its role's modules are imported."""
    if settings.role is Role.ENTRY:
        from ..entry.daemon import EntryDaemon

        return EntryDaemon(settings)
    from ..agent.daemon import AgentDaemon

    return AgentDaemon(settings)
