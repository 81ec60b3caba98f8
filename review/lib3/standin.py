"""One stand-in process: ``standin.py store|engine|plain NAME PORT``.

These are the project's stand-ins of the users' platform, each in a process of its own.
"""

import contextlib
import json
import os
import signal
import sys

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402

from pistachionotch.server import make_server  # noqa: E402
from pistachionotch.standins.http import read_body, respond_json  # noqa: E402
from pistachionotch.standins.platform_servers import PlatformServerStandIn  # noqa: E402
from pistachionotch.standins.platform_store import PlatformStoreStandIn  # noqa: E402


class Store(PlatformStoreStandIn):
    """The store, which can kill the process that has just written under a condition.

    ``PUT /kill`` with ``node`` and ``pid`` kills the process once it has written an entry of a
    batch's log that names the node as the owner, while the answer is on its way.
    """

    target = None
    killed = ""

    def __call__(self, environ, start_response):
        if environ["PATH_INFO"] != "/kill":
            return super().__call__(environ, start_response)
        if environ["REQUEST_METHOD"] == "PUT":
            self.target = json.loads(read_body(environ))
        return respond_json(start_response, 200, {"killed": self.killed})

    def _create(self, kind, body):
        answer = super()._create(kind, body)
        if kind != "batch-log" or answer[0] >= 300 or self.target is None:
            return answer
        owner = body["spec"].get("owner") or {}
        if owner.get("node") == self.target["node"]:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.target["pid"], signal.SIGKILL)
            self.killed = body["metadata"]["name"]
            self.target = None
        return answer


kind, name, port = sys.argv[1], sys.argv[2], int(sys.argv[3])
if kind == "store":
    application = Store()
elif kind == "engine":
    application = PlatformServerStandIn(name, versions={"m0": 1}, events=8, event_ms=5)
else:
    application = PlatformServerStandIn(name)
make_server("127.0.0.1", port, application).start()
while True:
    gevent.sleep(3600)
