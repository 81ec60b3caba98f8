"""An item that fails at each run gets a whole new allowance after its owner was killed."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from platform_standins import CONTACT_S, CannotRun, Engine, main, now  # noqa: E402

BATCH = "5d07b8c1f2e3a490"
FAILING = f"{BATCH}-02-01"
MAX_ATTEMPTS = 3


async def case(platform, trouble):
    record = platform.record
    engines = [Engine(f"i-fit-{number}", record, 12, 25, 40) for number in (1, 2)]
    for engine in engines:
        engine.failing.add(FAILING)
    await platform.start(3, engines)
    names = list(platform.gateways)
    if await platform.submit(names[0], BATCH, 4, 4) != 202:
        raise CannotRun("the batch was not accepted")
    started = now()
    owner = platform.owner(BATCH)
    record("owner of the batch:", owner)
    others = [name for name in names if name != owner]

    def failures():
        return sorted(at for engine in engines for _item, at in engine.failures)

    killed = None
    restarted = 0.0
    turn = 0
    page = None
    while now() - started < 40.0:
        if trouble and killed is None and len(failures()) == 5:
            await asyncio.sleep(0.2)
            platform.signal(owner, signal.SIGKILL)
            await platform.processes[owner].wait()
            killed = now()
            # The platform starts the process again.
            await asyncio.sleep(0.5)
            await platform.start_gateway(owner)
            restarted = now()
        # The trainer reads about twice a second, at changing gateways.
        turn += 1
        page = await platform.read(others[turn % len(others)], BATCH, wait_ms=0)
        if page and any(result["id"] == FAILING for result in page["results"]):
            break
        await asyncio.sleep(0.1 if killed is None else 0.4)
    await asyncio.sleep(1.5)
    answers = failures()
    record(f"{len(answers)} answers of 500 in all; listed:", page and [
        result["state"] for result in page["results"] if result["id"] == FAILING])
    bound = 3 * MAX_ATTEMPTS
    if len(answers) < bound:
        return ""
    late = []
    for run in platform.runs():
        # Only runs that a machine in touch has sent: not the one that was killed and started again.
        excused = run["from"] in (owner, "unknown") and run["at"] < restarted + CONTACT_S
        if run["id"] == FAILING and run["at"] > answers[bound - 1] and not excused:
            late.append(run)
    for run in late:
        record(f"{run['server']} ran {run['id']} of {run['from']} again {run['at'] - answers[bound - 1]:.1f} s after"
               f" answer {bound}")
    return f"BUDGET: the item ran {len(late)} times after {bound} answers of 500" if late else ""


main(Path(__file__).resolve().parent, case)
