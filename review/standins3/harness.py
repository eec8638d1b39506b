"""Stand-ins for the scripts of the third review: the platform's store, backends, clients, and nodes as processes.

They follow PROTOCOL.md and DEPLOY.md; where these are silent, they behave like a sound server, client or platform. Only
loopback addresses and free ports are used. Nothing besides Python's standard library is needed.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

HOST = "hulo84.example"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "almondknot")
START = time.monotonic()


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def note(self, *words):
        line = f"{time.monotonic() - START:9.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


def free_ports(count):
    """Free ports of the loopback address, below those that the system gives to clients."""
    sockets = []
    while len(sockets) < count:
        one = socket.socket()
        try:
            one.bind(("127.0.0.1", random.randrange(15_000, 32_000)))
            sockets.append(one)
        except OSError:
            one.close()
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Incomplete(Exception):
    """A message ended before it was whole; `got` is what had come of it."""

    def __init__(self, text, got=b""):
        super().__init__(text)
        self.got = got


async def read_head(reader):
    """First line and headers (names in small letters); None at the end of the stream before the first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as err:
        if not err.partial:
            return None
        raise Incomplete("the head is not whole", err.partial) from err
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_response=False):
    """The whole body by its length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            try:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
            except (asyncio.IncompleteReadError, ConnectionError) as err:
                raise Incomplete("the body is not whole", body) from err
            if size == 0:
                return body
            body += data[:-2]
    length = headers.get("content-length")
    if length is None:
        return await reader.read() if is_response else b""
    try:
        return await reader.readexactly(int(length))
    except asyncio.IncompleteReadError as err:
        raise Incomplete("the body is not whole", err.partial) from err


def response(status, body=b"", headers=None, reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self):
        self.port = free_ports(1)[0]
        self.topics = {}
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def write(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                path, _, text = target.partition("?")
                query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
                writer.write(await self.answer(path, query, body))
                await writer.drain()
        except (Incomplete, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query, body):
        topic = query.get("topic", "")
        await asyncio.sleep(0.004)
        if path == "/-/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return response(403)
            records = self.topics.setdefault(topic, [])
            first = len(records)
            while body:
                size = int.from_bytes(body[:4], "big")
                record, body = body[4 : 4 + size], body[4 + size :]
                key = record[1 : 1 + record[0]]
                self.write(topic, key, record[1 + record[0] :])
            return self.json({"offset": first, "end": len(records)})
        if path == "/-/log-newest":
            if topic not in self.topics:
                return response(404)
            newest = {}
            for offset, (key, value) in enumerate(self.topics[topic]):
                newest[key] = (value, offset)
            items = [
                {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items())
                if value
            ]
            return self.json({"items": items, "hasMore": False, "end": len(self.topics[topic])})
        if path == "/-/log-read":
            start, wait = int(query["from"]), int(query.get("waitMs", "0")) / 1000
            until = time.monotonic() + wait
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            records = self.topics.get(topic, [])
            data = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for key, value in records[start:]:
                record = bytes([len(key)]) + key + value
                data += len(record).to_bytes(4, "big") + record
            return response(200, data)
        return response(404)

    @staticmethod
    def json(value):
        return response(200, json.dumps(value).encode(), {"Content-Type": "application/json"})


def route(name, prefix, service, kind, timeout="5000ms", latency="1500ms", attempts=2, priority=1):
    return {
        "name": name,
        "routeType": kind,
        "targetLatency": latency,
        "priority": priority,
        "match": {"pathPrefix": prefix},
        "action": {"service": service, "timeout": timeout, "maxAttempts": attempts},
    }


def configuration(version, routes, services):
    return json.dumps(
        {
            "version": version,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeout": "5s",
                "idleTimeout": "30s",
            },
            "listeners": [{"hostname": HOST, "ruleSet": routes}],
            "clusters": [{"name": name, "healthPath": "/healthz"} for name in services],
        }
    ).encode()


class Node:
    """A node beside a backend, with the command of the deploy file and settings of a small deployment."""

    def __init__(self, name, zone, region, service, store, folder, record):
        self.name, self.service, self.record, self.folder = name, service, record, folder
        self.zone, self.ended = zone, False
        ports = free_ports(6)
        self.inbound, self.outbound, self.ready, self.control, self.metrics, self.app = ports
        self.process = None
        self.path = os.path.join(folder, f"{name}.json")
        zones = {"almaty-a": "almaty", "almaty-b": "almaty", "astana-a": "astana"}
        at = lambda port: f"127.0.0.1:{port}"
        settings = {
            "nodeName": name,
            "role": "node",
            "machineClass": "sidecar",
            "serves": ["sidecar"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": region,
            "zones": zones,
            "listen": {
                "inbound": at(self.inbound),
                "outbound": at(self.outbound),
                "ready": at(self.ready),
                "control": at(self.control),
            },
            "portRange": [self.metrics, self.metrics],
            "seeds": [],
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.4,
                "cores": 1,
                "memoryMb": 260,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "static",
            "entryMode": "static",
            "heartbeat": "1500ms",
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
                "seedLag": "3s",
                "addrReuse": "2s",
                "contact": "4000ms",
                "ackTimeout": "4000ms",
                "catchUp": "4s",
                "drain": "2500ms",
                "grace": "6s",
                "lossSlack": "200ms",
                "configApply": "2500ms",
                "rollbackSlack": "250ms",
                "maxStretch": "5000ms",
                "retryBudgetRatio": 0.2,
                "budgetWindow": "10s",
                "budgetSlack": 48,
                "recover": "15s",
            },
            "appAddr": at(self.app),
            "service": service,
            "platform": {
                "address": at(store.port),
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "parts": 8,
                "append": "4ms",
                "partitionMbS": 20.0,
                "readMbS": 80.0,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "keep": "300s",
                "partMb": 200,
                "ttlMin": "1000ms",
            },
        }
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        if self.ended:
            return
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM,
                "mesh",
                cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "ALMONDKNOT_NODE_FILE": self.path},
                stdout=log,
                stderr=log,
            )
        self.record.note("start", self.name, "pid", self.process.pid)

    def send(self, number):
        self.record.note("signal", signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and " 200" in head[0]
        except (OSError, Incomplete, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def end(self):
        self.ended = True
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                return
            await self.process.wait()


class Request:
    """A request as a backend has it."""

    def __init__(self, method, path, headers):
        self.method, self.path, self.headers = method, path, headers
        self.id = headers.get("x-request-id", "")


class Backend:
    """A backend beside a node. `run` gets the request, the reader and the writer, and answers it."""

    def __init__(self, node, record, run, slots=48):
        self.node, self.record, self.run, self.slots = node, record, run, slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.writers = set()
        self.running = 0
        self.state = "ready"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.node.app, limit=1 << 16)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await self.say()
            await asyncio.sleep(1.5)

    async def say(self):
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.node.service,
                "address": f"127.0.0.1:{self.node.app}",
                "zone": self.node.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldRemaining": "0ms",
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.node.control)
            writer.write(
                f"POST /-/instances/{self.id}/heartbeat HTTP/1.1\r\nHost: x\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
            )
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200" in head[0]
        except (OSError, Incomplete, asyncio.TimeoutError):
            return False

    async def stop(self):
        """Ends as a process does: nothing is accepted, and all connections are closed."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, path, _ = line.split(" ")
                if path == "/healthz":
                    status = 200 if self.state == "ready" else 503
                    writer.write(response(status, b"", {"X-Instance-Id": self.id}))
                    continue
                request = Request(method, path, headers)
                if headers.get("x-expect-instance", self.id) != self.id:
                    await read_body(reader, headers)
                    writer.write(response(421, b"", {"X-Instance-Id": self.id, "X-Request-Id": request.id}))
                    continue
                self.running += 1
                try:
                    await self.run(self, request, reader, writer)
                finally:
                    self.running -= 1
        except (Incomplete, OSError, asyncio.CancelledError) as err:
            self.record.note("backend", self.node.name, "connection ended:", type(err).__name__, err)
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer_headers(self, request):
        return {
            "X-Request-Id": request.id,
            "X-Response-Signature": "3e1b.07.5a2.600.0.c9f2a4d1",
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }


class Deployment:
    """The store, nodes and backends of a case."""

    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.store = Store()
        self.nodes, self.backends = [], []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.note("TROUBLE", int(self.trouble))

    def node(self, name, zone, region, service):
        node = Node(name, zone, region, service, self.store, self.folder, self.record)
        self.nodes.append(node)
        return node

    def backend(self, node, run, slots=48):
        backend = Backend(node, self.record, run, slots)
        self.backends.append(backend)
        return backend

    async def start(self, config):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is missing")
        await self.store.start()
        self.store.write("keyed.op", b"config", config)
        for backend in self.backends:
            await backend.start()
        for node in self.nodes:
            await node.start()
        until = time.monotonic() + 20
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > until:
                raise CannotRun("the nodes are not ready")
            await asyncio.sleep(0.2)
        # Heartbeats and records have reached all nodes after some exchanges.
        await asyncio.sleep(6)
        self.record.note("ready")

    async def end(self):
        for node in self.nodes:
            await node.end()
        for backend in self.backends:
            if hasattr(backend, "beats"):
                backend.beats.cancel()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def head(method, path, headers):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def new_id():
    return f"{random.getrandbits(64):016x}"


def run_case(case_folder, case, limit=115):
    """Runs a case; `case` returns whether the rule held."""
    deployment = Deployment(case_folder)

    async def main():
        # Whoever ends the script ends all that it started, too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(deployment), limit)
        finally:
            await deployment.end()

    try:
        held = asyncio.run(main())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as err:
        deployment.record.note("could not run:", type(err).__name__, err)
        print(f"could not run: {type(err).__name__} {err}")
        sys.exit(2)
    deployment.record.note("held" if held else "broken")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
