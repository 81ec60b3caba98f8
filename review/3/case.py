"""After an outage of the store, a batch can no longer be listed or ended: its entry is too large."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from platform_standins import (  # noqa: E402
    ACK_S, CANCEL_S, CONTACT_S, CannotRun, Engine, main, now)

OUTAGE_S = 4.5
BATCH = "b1f00d52c2e4a911"
# 190 characters of Japanese in each of 25 events.
TEXT = "審査員は毛並みと歩様と気質を順に見て点数を付けます。" * 8


async def case(platform, trouble):
    record = platform.record
    data = lambda number: TEXT[:190]  # noqa: E731
    engines = [Engine(f"i-fit-{number}", record, 12, 25, 40, data) for number in (1, 2)]
    await platform.start(3, engines, {"due_ms": 60_000})
    names = list(platform.gateways)
    if await platform.submit(names[0], BATCH, 50, 16) != 202:
        raise CannotRun("the batch was not accepted")
    await asyncio.sleep(2.5)
    if trouble:
        record("the store is down")
        for name in platform.store.modes:
            platform.store.modes[name] = "busy"
    await asyncio.sleep(OUTAGE_S)
    for name in platform.store.modes:
        platform.store.modes[name] = ""
    record("the store serves")
    back = now()
    # Steady state, then the trainer gives the step up.
    await asyncio.sleep(CONTACT_S)
    page = await platform.read(names[0], BATCH, 16)
    record(f"  {len(page['results'])} results after position 16" if page else "  no page")
    asked = now()
    acked = None
    while acked is None and now() - asked < ACK_S:
        for name in names:
            if await platform.end(name, BATCH) == 200:
                acked = now()
                break
            await asyncio.sleep(0.3)
    # An end without an ack counts as acknowledged after ack_ms of steady state.
    ended = acked or asked + ACK_S
    await asyncio.sleep(max(0.0, ended + CANCEL_S + 4.0 - now()))
    page = await platform.read(names[1], BATCH, 0)
    finished = len({run["id"] for run in platform.runs() if run["at"] < now() - 2.0})
    listed = len(page["results"]) if page else None
    record(f"  {finished} items have been run, and {listed} are on the first page;"
           f" the store rejected {platform.store.rejected} writes")
    late = [run for run in platform.runs() if run["at"] > ended + CANCEL_S]
    record(f"the end was {'acked' if acked else 'never acked'};"
           f" {len(late)} items reached a server later than cancel_ms after that")
    senders = sorted({run["from"] for run in late})
    record("they were sent by", ", ".join(senders) or "nobody")
    if late and ended - back > CONTACT_S:
        return (f"UNASKED: {len(late)} items ran after the end of their batch, which was"
                f" {'acked' if acked else 'not acked in ack_ms of steady state'}")
    return ""


main(Path(__file__).resolve().parent, case)
