"""All processes are killed twice while a request that crashes each back end that runs it comes again and again."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins2 as s

PATH = "/tariff/poison"
# How long a back end that has crashed, or a process that was killed, is away, and the time between two of the requests.
CRASHED, KILLED, GAP = 2.0, 0.6, 2.0
# When all processes are killed, after the first request, and when the case ends.
KILLS, END = (26.0, 56.0), 86.0
ALLOWED = 3
LAYOUT = [(zone, "gulf", "tariffs") for zone in ("gulf-a", "gulf-b") for _ in range(2)]


class Fragile(s.Upstream):
    """A back end that crashes when it begins to run the request, and is back after some seconds as a new incarnation."""

    crashes = []

    async def serve(self, reader, writer):
        while (read := await s.read_message(reader)) is not None:
            first, headers, _ = read
            rid = headers.get("x-request-id", "")
            if headers.get("x-expect-instance", self.id) != self.id:
                writer.write(s.message("421 Misdirected Request", X_Instance_Id=self.id, X_Request_Id=rid))
                continue
            self.record.run(rid, f"{first} at {self.machine.name}")
            if first.split(" ")[1] == PATH:
                self.crashes.append(s.now())
                self.record.note(f"the back end of {self.machine.name} crashes")
                asyncio.get_running_loop().create_task(self.crash())
                return
            await asyncio.sleep(self.work_s)
            writer.write(s.message("200 OK", b"ok", X_Request_Id=rid, X_Response_Signature="s." + rid))
            await writer.drain()

    async def crash(self):
        self.close()
        await asyncio.sleep(CRASHED)
        self.id += "x"
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.start()


async def kill_all(deployment):
    deployment.record.note("all processes are killed")
    for machine in deployment.machines:
        deployment.signal(machine, signal.SIGKILL)
    await asyncio.sleep(KILLED)
    for machine in deployment.machines:
        deployment.start_node(machine)


async def case(folder):
    deployment = s.Deployment(LAYOUT)
    record = deployment.record
    deployment.upstreams = [Fragile(machine, record) for machine in deployment.machines]
    try:
        await deployment.start_servers()
        for machine in deployment.machines:
            deployment.start_node(machine)
        deployment.store.configure(s.configuration(2, [s.rule("tariff", "tariffs")]))
        await deployment.until_ready(10)
        await asyncio.sleep(5)
        clients = [s.Clients(deployment, machine) for machine in deployment.machines]
        record.note("a request that crashes back ends comes again and again, at one machine after the other")
        start, number, kills = s.now(), 0, list(KILLS) if s.TROUBLE else []
        while s.now() < start + END:
            if kills and s.now() >= start + kills[0]:
                kills.pop(0)
                await kill_all(deployment)
                # It comes when all machines are in touch again.
                await asyncio.sleep(s.CONTACT + 1.0)
                await deployment.until_ready(5)
            client = clients[number % len(clients)]
            number += 1
            _, status = await client.send(PATH)
            record.note(f"{client.machine.name} answers {status}")
            await asyncio.sleep(GAP)
        crashes = Fragile.crashes
        third = crashes[2] if len(crashes) > 2 else None
        late = [at for at in crashes if third is not None and at > third + s.CONTACT]
        record.note(f"crashes: {len(crashes)}; later than 4 s after the third: {len(late)}; the rule allows {ALLOWED}")
        if deployment.exits():
            return s.UNABLE
        return s.BROKEN if len(late) > ALLOWED else s.HELD
    finally:
        deployment.close()
        record.write(folder)


s.main(FOLDER, case)
