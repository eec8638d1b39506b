"""The store refuses calls; a back end deregisters, its node acknowledges that, and the processes of its zone are killed."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins2 as s

DRAIN = 3.0
# How long the store refuses calls, killed processes are away, a heartbeat is late, and the back end serves on.
BUSY, AWAY, LATE, SERVES = 4.5, 0.5, 3.0, 16.0
PARTS = os.environ.get("PARTS", "store kill").split()
LAYOUT = [("gulf-a", "gulf", "tariffs"), ("gulf-a", "gulf", "usage"), ("gulf-b", "gulf", "usage"), ("gulf-b", "gulf", "tariffs")]


class Leaving(s.Upstream):
    """A back end that deregisters without having reported that it drains, serves on, and exits."""

    async def leave(self):
        """Whether the node acknowledges the deregistration; a heartbeat sent before it arrives late."""
        self.beats.cancel()
        self.sequence += 1
        late = {
            "service": self.machine.service, "address": f"{self.machine.ip}:{s.UPSTREAM}",
            "zone": self.machine.zone, "version": "v1", "slots": self.slots, "state": "ready",
            "coldRemaining": "0ms", "sequence": self.sequence, "born": self.born,
        }
        asyncio.get_running_loop().call_later(LATE, lambda: asyncio.ensure_future(self.arrive(late)))
        for _ in range(5):
            if await self.say("deregister", {"born": self.born}):
                return True
        return False

    async def arrive(self, late):
        self.record.note(f"the late heartbeat arrives; acknowledged: {await self.say('heartbeat', late)}")


async def case(folder):
    deployment = s.Deployment(LAYOUT)
    record, machines = deployment.record, deployment.machines
    leaving, zone = machines[3], machines[2:]
    backend = deployment.upstreams[3] = Leaving(leaving, record)
    try:
        await deployment.start_servers()
        for machine in machines:
            deployment.start_node(machine)
        deployment.store.configure(s.configuration(2, [s.rule("tariff", "tariffs", "non_idempotent")]))
        await deployment.until_ready(10)
        await asyncio.sleep(5)
        record.note("all machines are ready")
        until = s.now() + 20
        loads = [
            asyncio.create_task(s.Clients(deployment, machine).load("/tariff/1", 20, until, method="POST", body=b"x"))
            for machine in machines[1:3]
        ]
        await asyncio.sleep(1)
        calm_at = s.now()
        if s.TROUBLE and "store" in PARTS:
            record.note("the store refuses all calls with 503")
            deployment.store.set_busy(True)
            calm_at += BUSY
            asyncio.get_running_loop().call_later(BUSY, deployment.store.set_busy, False)
        await asyncio.sleep(0.3)
        if not await backend.leave():
            raise s.CannotRun("the departure is not acknowledged")
        left = s.now()
        if s.TROUBLE and "kill" in PARTS:
            for machine in zone:
                deployment.signal(machine, signal.SIGKILL)
            record.note("the departure is acknowledged; the processes of its zone are killed")
            await asyncio.sleep(AWAY)
            for machine in zone:
                deployment.start_node(machine)
            calm_at = max(calm_at, s.now())
        else:
            record.note("the departure is acknowledged")
        await asyncio.sleep(max(0.0, left + SERVES - s.now()))
        backend.close()
        record.note("the back end exits")
        await asyncio.gather(*loads)
        after = max(left + DRAIN, calm_at + s.CONTACT)
        at_backend = [
            (times[0], rid) for rid, times in record.runs.items() if rid in record.sent and rid in backend.ran
        ]
        # Sent when all machines are in touch again, and after the drain time.
        late = sorted(at for at, rid in at_backend if record.sent[rid] > after)
        last = late[-1] - left if late else 0.0
        record.note(f"requests at the back end: {len(at_backend)}; {len(late)} of them late, the last {last:.1f} s after the acknowledgement")
        if deployment.exits() or not at_backend:
            return s.UNABLE
        return s.BROKEN if late else s.HELD
    finally:
        deployment.close()
        record.write(folder)


s.main(FOLDER, case)
