"""A version takes all weight from one part of a split. Long after it has been acknowledged, nodes still send a request to
that part: the balance of the split is kept from the version before."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import deployment as d

ROUNDS = 4
PATHS = ["/standing-order/", "/change-order/", "/delivery-confirm/", "/return-crate/"]
BEFORE = {"orders-old": 80, "orders-new": 10, "orders-next": 10}
AFTER = {"orders-old": 0, "orders-new": 50, "orders-next": 50}


async def case(run):
    home = [run.add("sidecar-almaty-a-1", "almaty-a", "almaty", "catalog"),
            run.add("sidecar-almaty-b-1", "almaty-b", "almaty", "catalog")]
    for number, service in enumerate(BEFORE, 2):
        run.add(f"sidecar-almaty-a-{number}", "almaty-a", "almaty", service)
    split = lambda weights: [d.rule(path, weights, kind="non_idempotent", timeout="1500ms") for path in PATHS]
    await run.start(split(BEFORE))
    clients, wrong, sent = [d.Client(run, machine) for machine in home], [], 0

    async def send(client, path, count):
        return [await client.request(path, "POST", b"one crate") for _ in range(count)]

    for _ in range(ROUNDS):
        for client in clients:
            for path in PATHS:
                await send(client, path, run.random.randint(3, 12))
        if run.trouble:
            run.configure(split(AFTER))
        # Twice `configApply` later, every node has it.
        await asyncio.sleep(2 * d.CONFIG_APPLY_S)
        for client in clients:
            for path in PATHS:
                answers = await send(client, path, 5)
                late = {answer.id for answer in answers if client.machine.in_touch(answer.sent_at)}
                sent += len(late)
                if run.trouble:
                    wrong += [ran for ran in run.runs if ran.id in late and ran.machine.service == "orders-old"]
        if run.trouble:
            run.configure(split(BEFORE))
            await asyncio.sleep(2 * d.CONFIG_APPLY_S)
    run.record.say(f"{len(wrong)} of {sent} requests were run by the part without weight")
    for ran in wrong:
        run.record("wrong", ran.id, ran.machine.service, f"{ran.at:.3f}")
    if wrong:
        return f"CONFIG: {len(wrong)} requests were run as only an older version allows"
    return None


if __name__ == "__main__":
    d.main(case, __file__)
