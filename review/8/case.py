"""The failure domains of a running deployment are cut off from each other for 36 s; later a request comes that crashes
each back end that runs it."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins2 as s

CUT = 36.0
PATH = "/tariff/poison"
# How long a back end that has crashed is away, and the time between two of the requests.
AWAY, GAP = 2.0, 2.0
ALLOWED = 3
LAYOUT = [(f"{region}-{zone}", region, "tariffs") for region in ("gulf", "piedmont") for zone in "ab"]


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
            writer.write(s.message("200 OK", b"ok", X_Request_Id=rid, X_Response_Signature="s"))
            await writer.drain()

    async def crash(self):
        self.close()
        await asyncio.sleep(AWAY)
        self.id += "x"
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.start()


async def case(folder):
    deployment = s.Deployment(LAYOUT)
    record = deployment.record
    deployment.upstreams = [Fragile(machine, record) for machine in deployment.machines]
    try:
        await deployment.start_servers()
        for machine in deployment.machines:
            deployment.start_node(machine)
        record.note(f"{len(deployment.machines)} machines have started")
        deployment.store.configure(s.configuration(2, [s.rule("tariff", "tariffs")]))
        await deployment.until_ready(10)
        await asyncio.sleep(5)
        clients = [s.Clients(deployment, machine) for machine in deployment.machines]
        record.note("all machines are ready")
        if s.TROUBLE:
            deployment.links.set_cut(lambda one, other: one != other)
            record.note("the failure domains are cut off from each other")
        await asyncio.sleep(CUT)
        deployment.links.set_cut(lambda one, other: False)
        record.note("all machines reach each other")
        await asyncio.sleep(2 * s.CONTACT)
        record.note("a request that crashes back ends comes again and again, at one machine after the other")
        start, number = s.now(), 0
        while s.now() < start + 36:
            client = clients[number % len(clients)]
            number += 1
            rid, status = await client.send(PATH)
            record.note(f"{client.machine.name} answers {status}")
            await asyncio.sleep(max(0.0, start + number * GAP - s.now()))
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
