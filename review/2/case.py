"""Backends crash twice while they run the same idempotent request, as other crashes of backends may meet any request.
From then on every request with that path is refused, for good, though it has crashed nothing."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import deployment as d

# `srv_crash`: at most this long, and at most this share of a service's backends at once (one of seven).
DOWN_S = 4.5
BACKENDS = 7
CRASHES = 2
REQUESTS = 30


async def clients(run, machine, path, every_s, stop):
    """Sends the same idempotent request again and again, as clients do that look at one page."""
    pool, busy = [], set()

    async def one():
        client = pool.pop() if pool else d.Client(run, machine)
        await client.request(path)
        pool.append(client)

    while not stop.is_set():
        task = asyncio.ensure_future(one())
        busy.add(task)
        task.add_done_callback(busy.discard)
        await asyncio.sleep(every_s)
    await asyncio.gather(*busy)


async def case(run):
    home = run.add("sidecar-almaty-a-1", "almaty-a", "almaty", "catalog")
    shops = [run.add(f"sidecar-almaty-a-{number + 2}", "almaty-a", "almaty", "warehouse") for number in range(BACKENDS)]
    for machine in shops:
        machine.backend.work_s = 0.16
    first = [d.rule("/price-list/", "catalog")]
    await run.start(first)
    run.configure([*first, d.rule("/stock-check/", "warehouse")])
    await asyncio.sleep(d.CONFIG_APPLY_S + 0.5)
    stop = asyncio.Event()
    load = asyncio.ensure_future(clients(run, home, "/stock-check/all/", 0.01, stop))
    await asyncio.sleep(2)
    for number in range(CRASHES):
        if run.trouble:
            backend = shops[number].backend
            while not backend.running:
                await asyncio.sleep(0.002)
            await backend.crash_and_return(DOWN_S)
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(3)
    stop.set()
    await load
    # Until all is calm: no disruption for twice `contact`.
    await asyncio.sleep(2 * d.CONTACT_S)
    counts = {"/price-list/all/": [0, 0], "/stock-check/all/": [0, 0]}
    client = d.Client(run, home)
    for _ in range(REQUESTS):
        for path, count in counts.items():
            answer = await client.request(path)
            count[0] += 1
            count[1] += answer.served
        await asyncio.sleep(0.2)
    (old, old_served), (new, new_served) = counts.values()
    run.record.say(f"first route: {old_served} of {old} served; later route: {new_served} of {new} served")
    if new >= 20 and new_served / new < 0.25 * old_served / old:
        return f"CONFIG: machines in touch served {new_served} of {new} requests on a route that was added later"
    return None


if __name__ == "__main__":
    d.main(case, __file__)
