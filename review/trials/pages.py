"""Trial for an entry of KNOWN-RED.txt: python3 review/trials/pages.py.

The listing of the servers has two pages, since another writer has put 520 entries there. A gateway
that watches the store is killed and lists them anew; between the two pages a server reports that it
drains. Requests that reach it later than drain_ms break DRAIN.
"""

import asyncio
import json
import secrets
import signal
import sys
import tempfile
import zlib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from platform_standins import (  # noqa: E402
    DRAIN_S, MODEL, CannotRun, Engine, Store, main, now)

ENTRIES = 520
CALLS = 30


class PagedStore(Store):
    """A store that calls a function once, after it has read the first page of the servers."""

    between_pages = None

    async def dispatch(self, request):
        answer = await super().dispatch(request)
        lists = request.method == "GET" and request.path == "/api/objects/servers"
        first = "watch" not in request.query and not request.query.get("after")
        if lists and first and self.between_pages is not None:
            change, self.between_pages = self.between_pages, None
            answer = json.loads(json.dumps(answer))
            change()
        return answer


async def case(platform, trouble):
    platform.store = PagedStore(platform.record)
    for number in range(ENTRIES):
        platform.store.put("servers", f"x-{number:04d}", {"service": "other"})
    engines = [Engine(f"i-fit-{number}", platform.record, 12, 25, 20) for number in range(2)]
    await platform.start(3, engines)
    drained = []

    def drain():
        platform.register(engines[0], "draining")
        drained.append(now())

    watcher = min(platform.gateways, key=lambda name: (zlib.crc32(name.encode()), name))
    if trouble:
        platform.store.between_pages = drain
        platform.signal(watcher, signal.SIGKILL)
        await platform.processes[watcher].wait()
        await platform.start_gateway(watcher)
        await platform.until(platform.all_ready, 20.0)
    else:
        drain()
    if not drained:
        raise CannotRun("the servers were not listed")
    await asyncio.sleep(6.0)
    for number in range(CALLS):
        headers = [("Request-Id", secrets.token_hex(8)), ("Deadline-Ms", "5000"), ("Model", MODEL)]
        await platform.client(watcher, "POST", f"/streams/{number}", headers, b"x")
    late = [run for run in engines[0].runs if run["at"] > drained[0] + DRAIN_S]
    return f"DRAIN: {len(late)} of {CALLS} requests reached the draining server" if late else ""


main(tempfile.mkdtemp(prefix="review-trial-"), case)
