"""Starts the project's stand-in of the platform's store: ``store.py PORT``."""

import sys

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402

from pistachionotch.standins.http import start_server  # noqa: E402
from pistachionotch.standins.platform_store import PlatformStoreStandIn  # noqa: E402

if __name__ == "__main__":
    start_server(PlatformStoreStandIn(), "127.0.0.1", int(sys.argv[1]))
    while True:
        gevent.sleep(3600)
