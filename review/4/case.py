"""A gateway that gets SIGTERM cuts streams before the last sixth of the grace period."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from platform_standins import CannotRun, Engine, MODEL, main, now  # noqa: E402

GRACE_S = 8.0
EVENT_MS = 120
# Numbers of events: the streams end 6.7 to 7.5 s after the SIGTERM.
STREAMS = (60, 62, 64, 66)
BEFORE_S = 0.4
# The route's time-out, which is shorter than the time budget.
TIMEOUT_S = 10.0


async def case(platform, trouble):
    record = platform.record
    engines = [Engine(f"i-fit-{number}", record, 12, 60, EVENT_MS) for number in (1, 2)]
    await platform.start(3, engines)
    name = list(platform.gateways)[0]
    ends = {}

    async def stream(number):
        request = f"c2a71e{number:010x}"
        headers = [("Request-Id", request), ("Deadline-Ms", "12000"), ("Model", MODEL),
                   ("Token-Usage", "1016,400"), ("Prompt-Prefix", "9c2e41:1000")]
        answer = await platform.client(name, "POST", f"/streams/{number}", headers, b"prompt",
                                       timeout_s=12.0)
        whole = answer is not None and answer[0] == 200
        ends[request] = (now(), whole)
        record(f"  stream {request}: {'whole' if whole else 'broken off'}")

    jobs = []
    for number in range(4):
        for engine in engines:
            engine.events = STREAMS[number]
        jobs.append(asyncio.ensure_future(stream(number)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(BEFORE_S)
    started = {run["id"]: run for run in platform.runs()}
    if len(started) != 4:
        raise CannotRun("a stream did not begin")
    sent = now()
    if trouble:
        platform.signal(name, signal.SIGTERM)
    await asyncio.gather(*jobs)
    await asyncio.sleep(0.5)
    broken = []
    for request, (at, whole) in sorted(ends.items()):
        run = started[request]
        if whole or run["ended"] is None or at - run["at"] >= TIMEOUT_S:
            continue
        # Not counted: the server was still at work in the last sixth of the grace period.
        worked = run["ended"] - sent
        if worked < GRACE_S * 5 / 6:
            broken.append(request)
            record(f"  stream {request} was broken off; its server was at work until {worked:.3f} s"
                   f" after the SIGTERM, the last sixth begins at {GRACE_S * 5 / 6:.3f} s")
    return f"LOST: {len(broken)} streams were cut at planned work" if broken else ""


main(Path(__file__).resolve().parent, case)
