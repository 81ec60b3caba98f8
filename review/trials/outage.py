"""Trial for an entry of KNOWN-RED.txt: python3 review/trials/outage.py SEED [GATEWAYS].

Silent outages of the store, a new route right after each. A request on that route which is refused
with 404 later than config_apply_ms after the ack, and later than contact_ms after the outage's end,
breaks CONFIG. Shown rarely: see REPORT.md.
"""

import asyncio
import random
import secrets
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from platform_standins import (  # noqa: E402
    CONFIG_APPLY_S, CONTACT_S, MODEL, Engine, ask, main, now)

SEED = int(sys.argv[1])
GATEWAYS = int(sys.argv[2]) if len(sys.argv) > 2 else 4
LENGTH_S = 85.0
rng = random.Random(SEED)


def add_route(platform, routes, number):
    """Write a configuration with one more route."""
    platform.write_config({})
    spec = platform.store.objects[("config", "main")]["spec"]
    routes.append({**spec["routes"][1], "name": f"x{number}", "path_prefix": f"/x{number}/"})
    platform.version += 1
    spec = {**spec, "version": platform.version, "routes": spec["routes"] + routes}
    platform.store.put("config", "main", spec)


async def case(platform, trouble):
    engines = [Engine(f"i-{number}", platform.record, 50, 1, 1) for number in range(2)]
    await platform.start(GATEWAYS, engines)
    routes, broken, delays = [], [], []
    number = 0
    started = now()
    while now() - started < LENGTH_S:
        number += 1
        length = rng.uniform(2.5, 6.5)
        if trouble:
            for name in platform.store.modes:
                platform.store.modes[name] = "silent"
        await asyncio.sleep(length)
        for name in platform.store.modes:
            platform.store.modes[name] = ""
        ended = now()
        await asyncio.sleep(rng.uniform(0.05, 1.3))
        add_route(platform, routes, number)
        acked = now()

        async def probe(name, ended=ended, acked=acked, number=number, length=length):
            refused = None
            while now() < ended + 6.5:
                sent = now()
                headers = [("Request-Id", secrets.token_hex(8)), ("Deadline-Ms", "3000"),
                           ("Model", MODEL)]
                answer = await ask(platform.gateways[name][0], "POST", f"/x{number}/1", headers,
                                   b"x", 3.0)
                if answer and answer[0] == 404:
                    refused = sent
                if answer and answer[0] == 200:
                    break
                await asyncio.sleep(0.03)
            if refused is None:
                return
            delays.append(refused - ended)
            platform.record(f"outage {number} of {length:.1f} s: {name} answered 404"
                            f" {refused - ended:.2f} s after its end,"
                            f" {refused - acked:.2f} s after the ack")
            if refused - acked > CONFIG_APPLY_S and refused - ended > CONTACT_S:
                broken.append(f"{name} in outage {number}")

        await asyncio.gather(*[probe(name) for name in platform.gateways])
        await asyncio.sleep(0.5)
    print(f"{number} outages; last 404 {max(delays, default=0.0):.2f} s after the end of one")
    return f"CONFIG: {', '.join(broken)}" if broken else ""


main(tempfile.mkdtemp(prefix="review-trial-"), case)
