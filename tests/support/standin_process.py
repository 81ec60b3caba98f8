"""Runs one stand-in as a process: ``... standin_process KIND PORT NAME LEDGER_FILE``."""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402

from pistachionotch.objects.memory import MemoryStore  # noqa: E402
from pistachionotch.standins.engine import EngineStandIn  # noqa: E402
from pistachionotch.standins.http import read_body, respond_json  # noqa: E402
from pistachionotch.standins.ledger import file_recorder  # noqa: E402
from pistachionotch.standins.object_store import ObjectStoreApp  # noqa: E402
from pistachionotch.standins.plain_service import PlainServiceStandIn  # noqa: E402
from pistachionotch.standins.vm_list import VmListStandIn  # noqa: E402

HELD_ANSWER_S = 1.0


def make_rules():
    return {"addresses": {}, "hold_claim": False, "claimant": ""}


@attrs.define
class RuledStore(MemoryStore):
    """A store with rules for single keys.

    ``addresses`` replaces the address in the registration of a node, so that others reach it
    through a forwarder. While ``hold_claim`` is set, the next new claim is answered late, and
    ``claimant`` names the agent that waits for this answer.
    """

    rules: dict = attrs.field(factory=make_rules)

    def put(self, key, value, expected_version):
        address = self.rules["addresses"].get(key.removeprefix("members/"))
        if key.startswith("members/") and address:
            fields = json.loads(value)
            fields["member"]["address"] = address
            value = json.dumps(fields).encode()
        written = super().put(key, value, expected_version)
        if key.startswith("claims/") and expected_version is None and self.rules["hold_claim"]:
            self.rules.update(hold_claim=False, claimant=json.loads(value)["agent"])
            gevent.sleep(HELD_ANSWER_S)
        return written


def with_rules(app, rules):
    """Let ``/rules`` read and set the rules of a store beside its protocol."""

    def serve(environ, start_response):
        if environ["PATH_INFO"] != "/rules":
            return app(environ, start_response)
        if environ["REQUEST_METHOD"] == "PUT":
            rules.update(json.loads(read_body(environ)))
        return respond_json(start_response, 200, rules)

    return serve


def make_app(kind, name, ledger):
    if kind == "object-store":
        store = RuledStore()
        return with_rules(ObjectStoreApp(store), store.rules)
    if kind == "engine":
        return EngineStandIn(name, token_ms=2, checks_fences=False, record=file_recorder(ledger))
    if kind == "plain-service":
        return PlainServiceStandIn(name, record=file_recorder(ledger))
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
