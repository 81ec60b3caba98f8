"""A gateway that was frozen goes on starting the items of a batch that has ended meanwhile."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from platform_standins import (  # noqa: E402
    CANCEL_S, CONTACT_S, CannotRun, Engine, main, now)

FREEZE_S = 3.2
BATCH = "7c41e09b52d6a3f8"


async def case(platform, trouble):
    record = platform.record
    engines = [Engine(f"i-fit-{number}", record, 4, 60, 150) for number in (1, 2)]
    await platform.start(4, engines)
    names = list(platform.gateways)
    if await platform.submit(names[0], BATCH, 12, 4) != 202:
        raise CannotRun("the batch was not accepted")
    await asyncio.sleep(0.5)
    owner = platform.owner(BATCH)
    others = [name for name in names if name != owner]
    record("owner of the batch:", owner)
    if trouble:
        platform.signal(owner, signal.SIGSTOP)
    frozen = now()
    # The trainer reads at another gateway, and gives the step up.
    await platform.read(others[0], BATCH)
    ended = None
    while ended is None and now() - frozen < FREEZE_S + 3.0:
        if await platform.end(others[0], BATCH) == 200:
            ended = now()
            break
        await asyncio.sleep(0.3)
    if ended is None:
        raise CannotRun("the batch was not ended")
    await asyncio.sleep(max(0.0, frozen + FREEZE_S - now()))
    if trouble:
        platform.signal(owner, signal.SIGCONT)
    thawed = now()
    record("owner in the store:", platform.owner(BATCH))
    await asyncio.sleep(CONTACT_S + 14.0)
    late = []
    for run in platform.runs():
        # Only runs that a machine in touch has sent; the others were never disturbed.
        touched = thawed + CONTACT_S if trouble and run["from"] in (owner, "unknown") else 0.0
        if run["at"] > max(ended + CANCEL_S, touched):
            late.append(run)
    for run in late:
        record(f"{run['server']} ran {run['id']} of {run['from']} {run['at'] - ended:.1f} s after the ack of the end,"
               f" {run['at'] - thawed:.1f} s after the thaw")
    return f"UNASKED: {len(late)} items ran after the end of their batch" if late else ""


main(Path(__file__).resolve().parent, case)
