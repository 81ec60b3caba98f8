"""Runs one stand-in as a process: ``python -m tests.support.standin_process KIND PORT [NAME]``."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

import gevent  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402

from pistachionotch.standins.engine import EngineStandIn  # noqa: E402
from pistachionotch.standins.object_store import ObjectStoreApp  # noqa: E402
from pistachionotch.standins.plain_service import PlainServiceStandIn  # noqa: E402
from pistachionotch.standins.vm_list import VmListStandIn  # noqa: E402


def make_app(kind, name):
    if kind == "object-store":
        return ObjectStoreApp()
    if kind == "engine":
        return EngineStandIn(name, token_ms=2, checks_fences=False)
    if kind == "plain-service":
        return PlainServiceStandIn(name)
    if kind == "vm-list":
        return VmListStandIn()
    raise ValueError(kind)


def main():
    kind, port, name = sys.argv[1], int(sys.argv[2]), (sys.argv[3:] or [""])[0]
    server = WSGIServer(("127.0.0.1", port), make_app(kind, name), log=None, error_log=None)
    server.start()
    gevent.wait()


if __name__ == "__main__":
    main()
