"""A gateway answers reads of a batch with the state of its former owner, which has woken up."""

import asyncio
import signal
import sys
import zlib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from platform_standins import CannotRun, Engine, main, now  # noqa: E402

FREEZE_S = 5.0
SETTLE_S = 1.0
BATCH = "9626a65274a44257"


async def case(platform, trouble):
    record = platform.record
    # 25 events in 1 s, as on the sheets.
    engines = [Engine(f"i-fit-{number}", record, 4, 25, 40) for number in (1, 2)]
    # The gateways differ in size as in the grown installations; the largest one owns the batches.
    names = [f"edge-cebu-{number}" for number in range(1, 6)]
    # A new owner tells the two gateways that watch the store; clients read at the others too.
    ranked = sorted(names, key=lambda name: (zlib.crc32(name.encode()), name))
    large, third, second = ranked[-1], ranked[-2], ranked[-3]
    platform.cores[large] = 2.15
    await platform.start(5, engines, names=names)
    if await platform.submit(names[0], BATCH, 12, 4) != 202:
        raise CannotRun("the batch was not accepted")
    await asyncio.sleep(0.2)
    owner = platform.owner(BATCH)
    if owner != large:
        raise CannotRun(f"the batch has another owner: {owner}")
    record("owner of the batch:", owner)
    # Clients read at changing gateways.
    await platform.read(third, BATCH, wait_ms=0)
    frozen = now()
    if trouble:
        platform.signal(owner, signal.SIGSTOP)
    positions = {}
    broken = []

    async def watch(gateway, until):
        """Read from the start every 0.2 s, and compare with what was read before."""
        while now() < until:
            asked = now()
            page = await platform.read(gateway, BATCH)
            if page is not None:
                found = page["results"]
                record(f"  {gateway} lists {len(found)} of {page['total']} results")
                known = [at for at in positions.values() if at + SETTLE_S < asked]
                if len(found) < len(known):
                    broken.append(f"{len(known)} results had been read, and {gateway}"
                                  f" has none at position {len(found)}")
                    record("  LOST:", broken[-1])
                for position in range(len(found)):
                    positions.setdefault(position, now())
            await asyncio.sleep(0.2)

    async def thaw():
        await asyncio.sleep(frozen + FREEZE_S - now())
        if trouble:
            platform.signal(owner, signal.SIGCONT)
        record("owner in the store:", platform.owner(BATCH))
        await watch(third, now() + 6.0)

    await asyncio.gather(watch(second, frozen + FREEZE_S + 6.0), thaw())
    return f"LOST: {broken[0]} ({len(broken)} reads in all)" if broken else ""


main(Path(__file__).resolve().parent, case)
