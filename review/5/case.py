"""A backend deregisters, and its node acknowledges that and is killed just after. A heartbeat that was sent before, and
was delayed, reaches the node that was started again: it takes the backend for one that stays, and sends it requests
until it ends."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import deployment as d

# How late the heartbeat is, and for how long the backend goes on serving.
LATE_S = 3.0
STAYS_S = 14.0


async def case(run):
    leaving = run.add("sidecar-almaty-a-1", "almaty-a", "almaty", "orders")
    home = run.add("sidecar-almaty-a-2", "almaty-a", "almaty", "catalog")
    run.add("sidecar-almaty-b-1", "almaty-b", "almaty", "orders")
    await run.start([d.rule("/standing-order/", "orders", kind="non_idempotent", timeout="1500ms")])
    backend = leaving.backend
    backend.beats.cancel()
    delayed = backend.heartbeat_body("ready")
    sent_at = run.record.now()
    await asyncio.sleep(0.2)
    if not await backend.say("deregister", {"born": backend.born}):
        raise d.CannotRun("the departure was not acknowledged")
    left_at = run.record.now()
    run.record("departure-acknowledged", backend.id)
    if run.trouble:
        leaving.signal(signal.SIGKILL)
    await asyncio.sleep(sent_at + LATE_S - run.record.now())
    acknowledged = await backend.say("heartbeat", delayed)
    run.record("late-heartbeat", "acknowledged" if acknowledged else "not-acknowledged")
    client = d.Client(run, home)
    answers = []
    while run.record.now() < left_at + STAYS_S - 1:
        answers.append(await client.request("/standing-order/", "POST", b"one crate"))
        await asyncio.sleep(0.1)
    await asyncio.sleep(left_at + STAYS_S - run.record.now())
    backend.crash()
    sender_in_touch = {answer.id for answer in answers if home.in_touch(answer.sent_at)}
    wrong = [ran for ran in run.runs if ran.instance == backend.id and ran.id in sender_in_touch
             and ran.at > left_at + d.DRAIN_S and leaving.in_touch(ran.at)]
    early = [ran for ran in run.runs if ran.instance == backend.id and ran.at > left_at + d.DRAIN_S]
    run.record.say(f"{len(early)} requests ran there later than `drain`, {len(wrong)} of them sent on in touch")
    if wrong:
        return f"DRAIN: {len(wrong)} requests reached the backend, the last {wrong[-1].at - left_at:.1f} s after it had left"
    return None


if __name__ == "__main__":
    d.main(case, __file__)
