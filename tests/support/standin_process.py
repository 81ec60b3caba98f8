"""Runs one stand-in as a process: ``... standin_process KIND PORT NAME LEDGER_FILE``."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

import gevent  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402

from pistachionotch.standins.engine import EngineStandIn  # noqa: E402
from pistachionotch.standins.ledger import append_to  # noqa: E402
from pistachionotch.standins.object_store import ObjectStoreApp  # noqa: E402
from pistachionotch.standins.plain_service import PlainServiceStandIn  # noqa: E402
from pistachionotch.standins.vm_list import VmListStandIn  # noqa: E402


def make_app(kind, name, ledger):
    if kind == "object-store":
        return ObjectStoreApp()
    if kind == "engine":
        return EngineStandIn(name, token_ms=2, checks_fences=False, record=append_to(ledger))
    if kind == "plain-service":
        return PlainServiceStandIn(name, record=append_to(ledger))
    if kind == "vm-list":
        return VmListStandIn()
    raise ValueError(kind)


def main():
    kind, port, name, ledger = sys.argv[1:]
    app = make_app(kind, name, ledger)
    server = WSGIServer(("127.0.0.1", int(port)), app, log=None, error_log=None)
    server.start()
    gevent.wait()


if __name__ == "__main__":
    main()
