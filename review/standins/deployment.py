"""A small deployment on loopback: the store, the operator, backends and clients as stand-ins, and the project's own
nodes as processes, started with the command of the deploy file.

The stand-ins speak what PROTOCOL.md says and do only what it allows. Each machine has a loopback address of its own.
"""

import asyncio
import base64
import ctypes
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ["target/release/almondknot", "mesh"]
HOST = "shop.example"
HEARTBEAT_S = 1.5
ACK_S = 1.0
RESTART_S = 0.5
# Four fifths of `idleTimeout`: clients reuse no connection that was idle for longer.
REUSE_S = 12.0
# Longest time of a script; what takes longer couldn't run. The nodes end with the script, however that ends.
LIMIT_S = 114

BOUNDS = {
    "seedLag": "3s", "addrReuse": "2s", "contact": "4000ms", "ackTimeout": "4000ms", "catchUp": "4s",
    "drain": "2500ms", "grace": "6s", "lossSlack": "200ms", "configApply": "2500ms", "rollbackSlack": "250ms",
    "maxStretch": "5000ms", "retryBudgetRatio": 0.2, "budgetWindow": "10s", "budgetSlack": 48, "recover": "15s",
}
CONTACT_S = 4.0
DRAIN_S = 2.5
CONFIG_APPLY_S = 2.5
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"]


class CannotRun(Exception):
    """The case couldn't run."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.out = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        line = f"{self.now():9.3f} " + " ".join(str(word) for word in words)
        self.out.write(line + "\n")
        self.out.flush()

    def say(self, *words):
        self(*words)
        print(*words, flush=True)


# --- HTTP/1.1 ---------------------------------------------------------------------------------------------------------


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=""):
        return self.headers.get(name, default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader, is_answer=False):
    """Reads a whole message; raises if the connection ends before."""
    first, headers = await read_head(reader)
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer:
        body = await reader.read()
    else:
        body = b""
    return Message(first, headers, body)


def head_of(first, headers):
    return (first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers) + "\r\n").encode("latin-1")


async def call(address, method, path, headers=(), body=b"", timeout=ACK_S, local=None):
    """One call on a connection of its own; None without an answer in time."""

    async def exchange():
        options = {"local_addr": (local, 0)} if local else {}
        reader, writer = await asyncio.open_connection(*address, **options)
        try:
            fields = [("Host", f"{address[0]}:{address[1]}"), ("Content-Length", len(body)), ("Connection", "close")]
            writer.write(head_of(f"{method} {path} HTTP/1.1", [*fields, *headers]) + body)
            await writer.drain()
            answer = await read_message(reader, True)
            return int(answer.first.split()[1]), answer
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


# --- the store --------------------------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store: topics of one partition, keyed reads, long polls."""

    def __init__(self, deployment, address):
        self.deployment, self.address = deployment, address
        self.topics, self.changed = {}, asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)

    def write(self, topic, key, value):
        """Appends a record as another client would; this is the acknowledgement."""
        self.topics.setdefault(topic, []).append((key, value))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                method, target, _ = request.first.split()
                path, _, query = target.partition("?")
                fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                status, kind, body = await self.answer(method, path, fields, request.body)
                writer.write(head_of(f"HTTP/1.1 {status} X", [("Content-Type", kind), ("Content-Length", len(body))]) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def answer(self, method, path, fields, body):
        await asyncio.sleep(0.004)
        topic, octets, text = fields.get("topic", ""), "application/octet-stream", "application/json"
        if path == "/-/log-append":
            records, at = self.topics.setdefault(topic, []), 0
            first = len(records)
            while at < len(body):
                (length,) = struct.unpack_from(">I", body, at)
                record = body[at + 4 : at + 4 + length]
                key_length = record[0]
                records.append((record[1 : 1 + key_length], record[1 + key_length :]))
                at += 4 + length
            self.wake()
            return 200, text, json.dumps({"offset": first, "end": len(records)}).encode()
        if path == "/-/log-newest":
            if topic not in self.topics:
                return 404, text, b"{}"
            newest = {}
            for offset, (key, value) in enumerate(self.topics[topic]):
                newest[key] = (offset, value)
            items = [
                {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items()) if value
            ]
            end = len(self.topics[topic])
            return 200, text, json.dumps({"items": items, "hasMore": False, "end": end}).encode()
        if path == "/-/log-read":
            start, wait_until = int(fields.get("from", 0)), time.monotonic() + int(fields.get("waitMs", 0)) / 1e3
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < wait_until:
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), wait_until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            records = self.topics.get(topic, [])
            if len(records) < start:
                return 410, text, json.dumps({"first": 0}).encode()
            out = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                record = bytes([len(key)]) + key + value
                out += struct.pack(">I", len(record)) + record
            return 200, octets, out
        return 404, text, b"{}"


# --- backends ---------------------------------------------------------------------------------------------------------


def signature(request_id):
    return hashlib.sha256(b"signed " + request_id.encode()).hexdigest()[:16]


def whole_body(request_id, size=200):
    return (request_id.encode() + b" ") * (size // (len(request_id) + 1) + 1)


class Backend:
    """The application backend of a machine, through its incarnations."""

    def __init__(self, deployment, machine, work_s=0.02, slots=48):
        self.deployment, self.machine, self.work_s, self.slots = deployment, machine, work_s, slots
        self.poison = None
        self.number = 0
        self.up = False

    async def start(self):
        self.number += 1
        self.id = f"i-{self.machine.name}-{self.number}"
        self.born = int(time.time() * 1e3)
        self.sequence, self.running, self.connections = 0, 0, set()
        self.state = "ready"
        ip, port = self.machine.app
        for _ in range(100):
            try:
                self.server = await asyncio.start_server(self.connected, ip, port, limit=1 << 20, reuse_address=True)
                break
            except OSError:
                await asyncio.sleep(0.05)
        else:
            raise CannotRun(f"{ip}:{port} can't be listened on")
        self.up = True
        self.beats = asyncio.ensure_future(self.beat())
        self.deployment.record("backend-up", self.machine.name, self.id)

    def crash(self):
        """The process ends: its port refuses, its connections are reset."""
        if not self.up:
            return
        self.up = False
        self.beats.cancel()
        self.server.close()
        for task, writer in list(self.connections):
            writer.transport.abort()
            task.cancel()
        self.deployment.record("backend-crashes", self.machine.name, self.id)

    async def crash_and_return(self, down_s):
        self.crash()
        await asyncio.sleep(down_s)
        await self.start()

    def heartbeat_body(self, state=None):
        self.sequence += 1
        ip, port = self.machine.app
        return {
            "service": self.machine.service, "address": f"{ip}:{port}", "zone": self.machine.zone, "version": "v1",
            "slots": self.slots, "state": state or self.state, "coldRemaining": "0ms", "sequence": self.sequence,
            "born": self.born,
        }

    async def say(self, action, body):
        headers = [("Content-Type", "application/json")]
        path = f"/-/instances/{self.id}/{action}"
        answer = await call(self.machine.control, "POST", path, headers, json.dumps(body).encode())
        return answer is not None and 200 <= answer[0] < 300

    async def beat(self):
        while True:
            acknowledged = await self.say("heartbeat", self.heartbeat_body())
            await asyncio.sleep(HEARTBEAT_S if acknowledged else 0.3)

    async def connected(self, reader, writer):
        entry = (asyncio.current_task(), writer)
        self.connections.add(entry)
        try:
            while True:
                request = await read_message(reader)
                await self.serve(request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(entry)
            writer.transport.abort()

    async def serve(self, request, writer):
        record, (method, target, _) = self.deployment.record, request.first.split()
        request_id = request.get("x-request-id")
        if target == "/healthz":
            return await self.reply(writer, 200, [("X-Instance-Id", self.id)], b"")
        if not request_id:
            return await self.reply(writer, 400, [("X-Not-Executed", "1")], b"")
        echo = [("X-Request-Id", request_id)]
        if request.get("x-expect-instance", self.id) != self.id:
            record("rejects-421", self.id, request_id)
            return await self.reply(writer, 421, [*echo, ("X-Not-Executed", "1"), ("X-Instance-Id", self.id)], b"")
        if self.running >= self.slots:
            return await self.reply(writer, 503, [*echo, ("X-Not-Executed", "1")], b"")
        self.running += 1
        try:
            run = Run(request_id, target, self.machine, self.id, record.now())
            self.deployment.runs.append(run)
            record("runs", self.id, self.machine.service, request_id, method, target, len(request.body))
            if self.poison and target.startswith(self.poison):
                asyncio.ensure_future(self.crash_and_return(2.0))
                await asyncio.sleep(10)
            await asyncio.sleep(self.work_s)
            load = ("X-Server-Load", f"{self.running},0,{self.slots}")
            signed = ("X-Response-Signature", signature(request_id))
            await self.reply(writer, 200, [*echo, signed, load], whole_body(request_id))
            run.ended = True
        finally:
            self.running -= 1

    async def reply(self, writer, status, headers, body):
        writer.write(head_of(f"HTTP/1.1 {status} X", [*headers, ("Content-Length", len(body))]) + body)
        await writer.drain()


class Run:
    def __init__(self, request_id, target, machine, instance, at):
        self.id, self.target, self.machine, self.instance, self.at = request_id, target, machine, instance, at
        self.ended = False


# --- machines ---------------------------------------------------------------------------------------------------------


class Machine:
    """A machine: an application backend, and a node as a process of its own."""

    def __init__(self, deployment, name, zone, region, service, ip):
        self.deployment, self.name, self.zone, self.region, self.service, self.ip = (
            deployment, name, zone, region, service, ip)
        base = deployment.port
        self.inbound, self.app, self.ready = (ip, base), (ip, base + 1), (ip, base + 2)
        self.outbound, self.control = (ip, base + 4), (ip, base + 6)
        self.advertise = None
        self.backend = Backend(deployment, self)
        self.process, self.wanted, self.starts, self.started_at = None, False, 0, 0.0
        self.own_ends = 0

    def settings(self):
        text = lambda address: f"{address[0]}:{address[1]}"
        zones = {machine.zone: machine.region for machine in self.deployment.machines}
        settings = {
            "nodeName": self.name, "role": "node", "machineClass": "sidecar", "serves": ["sidecar"], "ip": self.ip,
            "zone": self.zone, "region": self.region, "zones": zones,
            "listen": {
                "inbound": text(self.inbound), "outbound": text(self.outbound), "ready": text(self.ready),
                "control": text(self.control),
            },
            "portRange": [self.deployment.port + 8, self.deployment.port + 15], "seeds": [], "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.4, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": None, "discovery": "static", "entryMode": "static", "heartbeat": "1500ms",
            "contracts": CONTRACTS, "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "appAddr": text(self.app), "service": self.service,
            "platform": {
                "address": text(self.deployment.store.address), "form": "log", "writesPerS": 400, "readsPerS": 2000,
                "parts": 8, "append": "4ms", "partitionMbS": 20.0, "readMbS": 80.0, "recordBytes": 262144,
                "callBytes": 2097152, "keep": "300s", "partMb": 200, "ttlMin": "1000ms",
            },
        }
        if self.advertise:
            settings["advertise"] = text(self.advertise)
        return settings

    async def run_node(self):
        """Keeps the node running: a process that has ended is started again after a short delay."""
        path = Path(self.deployment.folder) / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        while self.wanted:
            log = open(Path(self.deployment.folder) / f"{self.name}.log", "ab")
            self.process = await asyncio.create_subprocess_exec(
                *PROGRAM, cwd=ROOT, env={**kept, "ALMONDKNOT_NODE_FILE": str(path)}, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log, preexec_fn=end_with_parent)
            log.close()
            self.starts += 1
            self.started_at = self.deployment.record.now()
            self.deployment.record("node-starts", self.name, self.process.pid)
            code = await self.process.wait()
            self.deployment.record("node-ended", self.name, code)
            await asyncio.sleep(RESTART_S)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.deployment.record("signal", self.name, number.name)
            self.process.send_signal(number)

    async def is_ready(self):
        answer = await call(self.ready, "GET", "/-/ready")
        return answer is not None and answer[0] == 200

    def in_touch(self, at):
        """Whether the node's process has run for `contact` before this time."""
        return at - self.started_at >= CONTACT_S


def end_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


# --- clients ----------------------------------------------------------------------------------------------------------


class Answer:
    def __init__(self, request_id, path, machine, sent_at, kept):
        self.id, self.path, self.machine, self.sent_at, self.kept = request_id, path, machine, sent_at, kept
        self.status, self.whole, self.at = None, False, None
        # Whether the node ended the connection before a whole answer.
        self.closed = False

    @property
    def served(self):
        return self.status is not None and 200 <= self.status < 300 and self.whole


class Client:
    """A client on a machine, with a kept connection to the node's outbound address."""

    def __init__(self, deployment, machine):
        self.deployment, self.machine = deployment, machine
        self.stream, self.used_at = None, 0.0

    async def request(self, path, method="GET", body=b"", deadline_ms=5000, pace=None):
        """Sends a request and returns what came of it. With `pace`, the body takes so many seconds to send."""
        deployment, record = self.deployment, self.deployment.record
        if record.now() - self.used_at > REUSE_S:
            self.close()
        request_id = deployment.new_id()
        answer = Answer(request_id, path, self.machine, record.now(), self.stream is not None)
        record("sent", self.machine.name, request_id, method, path, len(body))
        try:
            await asyncio.wait_for(self.exchange(answer, method, body, deadline_ms, pace), deadline_ms / 1e3 + 0.6)
        except asyncio.TimeoutError:
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            answer.closed = True
            self.close()
        answer.at = self.used_at = record.now()
        record("answered", self.machine.name, request_id, answer.status, "whole" if answer.whole else "not-whole")
        deployment.answers.append(answer)
        return answer

    async def exchange(self, answer, method, body, deadline_ms, pace):
        if self.stream is None:
            self.stream = await asyncio.wait_for(asyncio.open_connection(*self.machine.outbound, limit=1 << 20), 1.0)
        reader, writer = self.stream
        fields = [("Host", HOST), ("X-Request-Id", answer.id), ("X-Deadline-Ms", deadline_ms)]
        if body or method != "GET":
            fields.append(("Content-Length", len(body)))
        writer.write(head_of(f"{method} {answer.path} HTTP/1.1", fields))
        if pace:
            parts = 50
            step = len(body) // parts + 1
            for number in range(parts):
                writer.write(body[number * step : (number + 1) * step])
                await writer.drain()
                await asyncio.sleep(pace / parts)
        else:
            writer.write(body)
        await writer.drain()
        message = await read_message(reader, True)
        answer.status = int(message.first.split()[1])
        whole = message.body == whole_body(answer.id)
        answer.whole = whole and message.get("x-response-signature") == signature(answer.id)
        if "close" in message.get("connection").lower():
            self.close()

    def close(self):
        if self.stream:
            self.stream[1].transport.abort()
        self.stream = None


# --- links ------------------------------------------------------------------------------------------------------------


class Link:
    """What carries the calls of other machines to a node. A machine that is cut off is silent: nothing passes, and
    nothing is reset."""

    def __init__(self, deployment, machine, ip):
        self.deployment, self.machine = deployment, machine
        machine.advertise = (ip, deployment.port)
        self.streams = set()

    async def start(self):
        self.server = await asyncio.start_server(self.connected, *self.machine.advertise)

    async def connected(self, reader, writer):
        source = writer.get_extra_info("peername")[0]
        pair = frozenset((source, self.machine.ip))
        entry = [pair, writer, None]
        self.streams.add(tuple(entry[:2]))
        far = None
        try:
            await self.deployment.passes(pair)
            far_reader, far = await asyncio.open_connection(*self.machine.inbound, local_addr=(source, 0))
            await asyncio.gather(self.pump(pair, reader, far), self.pump(pair, far_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.streams.discard(tuple(entry[:2]))
            for end in (writer, far):
                if end:
                    end.transport.abort()

    async def pump(self, pair, reader, writer):
        while True:
            data = await reader.read(65536)
            await self.deployment.passes(pair)
            if not data:
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()

    def drop_cut(self):
        """Ends the connections that were cut, as the kernels of both sides would have by now."""
        for pair, writer in list(self.streams):
            if pair in self.deployment.cut:
                writer.transport.abort()


# --- deployment -------------------------------------------------------------------------------------------------------


class Deployment:
    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.random = random.Random()
        self.net, self.port = self.free_ports()
        self.machines, self.links, self.answers, self.runs, self.tasks = [], [], [], [], []
        self.store = Store(self, (f"127.{self.net}.0.1", self.port + 9))
        self.version, self.acknowledged = 0, {}
        self.counter = 0
        self.cut, self.healed = set(), asyncio.Event()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def free_ports(self):
        """A network of loopback addresses and a first port, of which 16 in a row are free."""
        for _ in range(50):
            net, port = self.random.randint(20, 240), self.random.randrange(20000, 30000, 20)
            try:
                for number in range(16):
                    with socket.socket() as probe:
                        probe.bind((f"127.{net}.0.1", port + number))
                return net, port
            except OSError:
                continue
        raise CannotRun("no free ports")

    def new_id(self):
        self.counter += 1
        return f"{self.counter:06x}{self.random.getrandbits(40):010x}"

    def add(self, name, zone, region, service, linked=False):
        number = len(self.machines) + 1
        machine = Machine(self, name, zone, region, service, f"127.{self.net}.1.{number}")
        self.machines.append(machine)
        if linked:
            self.links.append(Link(self, machine, f"127.{self.net}.2.{number}"))
        return machine

    async def passes(self, pair):
        while pair in self.cut:
            await self.healed.wait()

    def cut_between(self, some, others):
        self.cut = {frozenset((a.ip, b.ip)) for a in some for b in others}
        self.healed = asyncio.Event()
        self.record("cut", [m.name for m in some], [m.name for m in others])

    def heal(self):
        for link in self.links:
            link.drop_cut()
        self.cut = set()
        self.healed.set()
        self.record("healed")

    def configure(self, rules):
        """Writes a configuration; the store's answer is the acknowledgement."""
        self.version += 2
        services = sorted({service for rule in rules for service in rule["services"]})
        document = {
            "version": self.version,
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
            },
            "baseVersion": max(0, self.version - 2),
            "listeners": [{"hostname": HOST, "ruleSet": [rule["document"] for rule in rules]}],
            "clusters": [
                {"name": name, "healthPath": "/healthz", "maxConnections": 388, "protocol": "h1", "tls": False}
                for name in services
            ],
        }
        self.store.write("keyed.op", b"config", json.dumps(document).encode())
        self.acknowledged[self.version] = self.record.now()
        shown = [(rule["document"]["match"]["pathPrefix"], rule["services"]) for rule in rules]
        self.record("config-acknowledged", self.version, shown)

    async def start(self, rules):
        if not (ROOT / PROGRAM[0]).exists():
            raise CannotRun(f"{PROGRAM[0]} is not built")
        await self.store.start()
        for link in self.links:
            await link.start()
        self.configure(rules)
        for machine in self.machines:
            await machine.backend.start()
            self.start_node(machine)
        deadline = self.record.now() + 15
        while not all([await machine.is_ready() for machine in self.machines]):
            if self.record.now() > deadline:
                raise CannotRun("the nodes are not ready in time")
            await asyncio.sleep(0.1)
        # Until all know each other.
        await asyncio.sleep(4)
        self.record("all-ready")

    def start_node(self, machine):
        machine.wanted = True
        self.tasks.append(asyncio.ensure_future(machine.run_node()))

    async def all_ready(self, limit_s=15):
        """Waits until every node is ready and has been in touch for a while."""
        deadline = self.record.now() + limit_s
        while self.record.now() < deadline:
            if all([await machine.is_ready() for machine in self.machines]):
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        for machine in self.machines:
            machine.wanted = False
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
        if os.environ.get("KEEP_LOGS"):
            for path in Path(self.folder).glob("*.log"):
                (Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())
        # The script ends with `os._exit`, which would leave it behind.
        shutil.rmtree(self.folder, ignore_errors=True)


def rule(prefix, services, kind="idempotent", timeout="1200ms", target="1000ms", priority=1, attempts=2):
    """A rule of the configuration; `services` is a name, or weights by name."""
    if isinstance(services, str):
        action = {"service": services}
        services = {services: 1}
    else:
        action = {"trafficSplit": [{"service": name, "weight": weight} for name, weight in services.items()]}
    document = {
        "name": "r-" + prefix.strip("/"), "routeType": kind, "targetLatency": target, "priority": priority,
        "match": {"pathPrefix": prefix}, "action": {**action, "timeout": timeout, "maxAttempts": attempts},
    }
    return {"document": document, "services": dict(services)}


def main(case, folder):
    """Runs a case: `case(deployment)` returns what broke the rule, or nothing. Exits with 1, 0, or 2 if it couldn't
    run."""
    folder = Path(folder).resolve().parent
    signal.signal(signal.SIGALRM, lambda *_: os._exit(2))
    signal.alarm(LIMIT_S + 3)

    async def run():
        deployment = Deployment(folder)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            broken = await asyncio.wait_for(case(deployment), LIMIT_S)
            deployment.record.say("the rule was broken:" if broken else "the rule held", broken or "")
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as err:
            deployment.record.say("could not run:", repr(err))
            return 2
        finally:
            deployment.end()

    try:
        code = asyncio.run(run())
    except Exception as err:  # A fault of the stand-ins is no result.
        print("could not run:", repr(err), flush=True)
        code = 2
    sys.stdout.flush()
    os._exit(code)
