"""A small deployment on loopback: waxwingd processes, and stand-ins for the platform's store, servers and clients.

Each machine has a loopback address of its own. The stand-ins run in this process and follow PROTOCOL.md: the store keeps
rows and feeds, servers announce themselves and check Expected-Instance, clients use a new connection for each request.
Everything that is sent, answered and run is written to a record.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = os.environ.get("WAXWINGD", "target/waxwingd")
TEMPLATE = ROOT / "platform" / "settings.ini.template"
HEARTBEAT_S = 1.5
START_TIMEOUT_S = 30.0
ACKNOWLEDGEMENT_TIMEOUT_S = 1.0


class CannotRun(Exception):
    """The deployment did not reach the state in which the case begins."""


class Record:
    """Writes what happened, with the time since the start."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)


async def read_message(reader):
    """Reads the head and the body of one HTTP message. Returns first line, headers in lower case, and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return head[0], headers, body


def message(first_line, headers, body=b""):
    """Returns the bytes of one HTTP message."""
    lines = [first_line] + [f"{name}: {value}" for name, value in headers] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def exchange(address, method, path, headers, body=b"", timeout=10.0, source=None):
    """Sends one request on a new connection. Returns status, headers and body; None if there is no whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection(*address, local_addr=local)
            writer.write(message(f"{method} {path} HTTP/1.1", headers + [("Connection", "close")], body))
            first_line, answer_headers, answer_body = await read_message(reader)
            return int(first_line.split()[1]), answer_headers, answer_body
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store: rows with versions, transactions and feeds. Each machine reaches it at a port of its own."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.refused = set()
        self.is_away = False
        self.era = 1
        self.servers = []

    async def open(self, address, machine):
        self.servers.append(await asyncio.start_server(
            lambda reader, writer: self.serve(machine, reader, writer), *address))

    def put(self, table, key, value):
        """Writes a row, as the operator does."""
        self.version += 1
        self.rows[(table, "", key)] = {"table": table, "part": "", "key": key, "ver": self.version,
                                       "value": base64.b64encode(value).decode()}
        self.wake()

    def copy(self):
        """Returns a copy of all rows, as a backup keeps it."""
        return {place: dict(row) for place, row in self.rows.items()}, self.version

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and its versions are given out again."""
        rows, self.version = copy
        self.rows = {place: dict(row) for place, row in rows.items()}
        self.era += 1
        self.is_away = False
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, machine, reader, writer):
        try:
            while True:
                first_line, _, body = await read_message(reader)
                method, target, _ = first_line.split()
                status, answer = await self.answer(machine, method, target, body)
                text = json.dumps(answer).encode()
                headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
                writer.write(message(f"HTTP/1.1 {status} Store", headers, text))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, machine, method, target, body):
        """Returns the status and the document that answer one call."""
        await asyncio.sleep(0.004)
        if machine in self.refused or self.is_away:
            return 503, {}
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in
                 urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if method == "POST" and url.path == "/rows-tx":
            return self.commit(machine, json.loads(body))
        if method == "GET" and url.path == "/rows-get":
            return 200, self.get(query)
        if method == "GET" and url.path == "/rows-feed":
            return await self.feed(machine, query)
        return 404, {}

    def stamp(self, document):
        return dict(document, ver=self.version, nowMs=int(time.monotonic() * 1000))

    def commit(self, machine, call):
        def place(entry):
            return entry["table"], entry.get("part", ""), entry["key"]
        for entry in call.get("expectedRev", []):
            row = self.rows.get(place(entry))
            if (row["ver"] if row and not row.get("deleted") else 0) != entry["ver"]:
                return 412, self.stamp({"rows": []})
        self.version += 1
        for entry in call.get("writes", []):
            self.rows[place(entry)] = {"table": entry["table"], "part": entry.get("part", ""), "key": entry["key"],
                                       "value": entry["value"], "ver": self.version}
            self.record.write(f"store: {machine} writes {entry['table']}/{entry['key']}")
        for entry in call.get("remove", []):
            if place(entry) in self.rows:
                self.rows[place(entry)] = dict(self.rows[place(entry)], ver=self.version, deleted=True)
            self.record.write(f"store: {machine} removes {entry['table']}/{entry['key']}")
        self.wake()
        return 200, self.stamp({})

    def get(self, query):
        low, high = query.get("from", ""), query.get("target")
        found = [row for (table, part, key), row in sorted(self.rows.items())
                 if table == query["table"] and part == query.get("part", "") and key >= low
                 and (not high or key < high) and not row.get("deleted")]
        limit = min(int(query.get("limit", 500)), 500)
        return self.stamp({"rows": found[:limit], "hasMore": len(found) > limit})

    async def feed(self, machine, query):
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after > self.version:
                return 410, self.stamp({})
            changed = self.changed
            rows = [row for row in self.rows.values() if row["table"] == query["table"] and row["ver"] > after]
            if rows or time.monotonic() >= end:
                return 200, self.stamp({"rows": sorted(rows, key=lambda row: row["ver"])})
            try:
                await asyncio.wait_for(changed.wait(), min(0.2, end - time.monotonic()))
            except asyncio.TimeoutError:
                pass
            if machine in self.refused or self.is_away:
                return 503, {}


class Machine:
    """A machine: one node and one server, at a loopback address of its own."""

    def __init__(self, deployment, number, service):
        self.deployment = deployment
        self.name = f"sidecar-zone-{number}"
        self.ip = f"127.0.{deployment.network}.{number + 10}"
        self.service = service
        self.process = None
        self.ports = deployment.ports
        self.instance = f"i-{deployment.network:02x}{number:04x}{random.randrange(1 << 16):04x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beats = None
        self.server = None

    def address(self, name):
        return self.ip, self.ports[name]

    async def start_node(self):
        path = self.deployment.folder / f"{self.name}.ini"
        path.write_text(self.deployment.settings(self))
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / PROGRAM), f"--settings={path}", cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.deployment.processes.append(self.process)
        self.deployment.record.write(f"{self.name}: node started")

    async def kill_node(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.deployment.record.say(f"{self.name}: node killed")

    async def is_ready(self):
        answer = await exchange(self.address("ready"), "GET", "/readyz", [("Host", "ready")], timeout=1.0)
        return answer is not None and answer[0] == 200

    # The server.

    async def start_server(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, *self.address("server"))
        self.beats = asyncio.create_task(self.beat())

    async def serve(self, reader, writer):
        try:
            while True:
                first_line, headers, _ = await read_message(reader)
                request_id = headers.get("request-id", "")
                if headers.get("expected-instance", self.instance) != self.instance:
                    writer.write(message("HTTP/1.1 421 Misdirected Request",
                                         [("Request-Id", request_id), ("Instance-Id", self.instance)]))
                    continue
                self.deployment.on_run(self, request_id, headers)
                await self.deployment.work(self, request_id, headers)
                body = f"{request_id} at {self.instance}".encode()
                writer.write(message("HTTP/1.1 200 OK", [("Request-Id", request_id),
                                                         ("Server-Signature", f"{self.instance}.{request_id}")], body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def announcement(self, state="ready"):
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps({"address": f"{self.ip}:{self.ports['server']}", "born": self.born,
                           "info": {"service": self.service, "version": "v1", "zone": "zone", "slots": 36},
                           "status": {"state": state, "sequence": self.sequence, "coldRemainingMs": 0}}).encode()

    async def announce(self, method, body):
        """Sends one announcement. Returns whether it was acknowledged in time."""
        answer = await exchange(self.address("control"), method, f"/instances/{self.instance}",
                                [("Host", "control"), ("Content-Type", "application/json")], body,
                                timeout=ACKNOWLEDGEMENT_TIMEOUT_S)
        status = answer[0] if answer else "no answer"
        self.deployment.record.write(f"{self.name}: server {method} {body.decode()} -> {status}")
        return answer is not None and answer[0] == 200

    async def beat(self):
        while True:
            await self.announce("PUT", self.announcement())
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self, with_body=True):
        """Sends DELETE until it is acknowledged, and no heartbeat any more. Returns the time of the acknowledgement."""
        self.beats.cancel()
        body = json.dumps({"born": self.born}).encode() if with_body else b""
        while not await self.announce("DELETE", body):
            await asyncio.sleep(0.2)
        return self.deployment.record.now()


class Deployment:
    """Machines, store, operator and clients of one case."""

    def __init__(self, folder, bounds=(), work_s=0.02):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="waxwing-case-"))
        self.network = random.randrange(20, 250)
        self.ports = dict(zip(("server", "outbound", "ready", "control", "store", "links", "operators"),
                              self.free_ports(7)))
        self.bounds = dict(bounds, graceS=6)
        self.work_s = work_s
        self.machines = []
        self.processes = []
        self.runs = []
        self.store = Store(self.record)

    async def work(self, _machine, _request_id, _headers):
        """What a server does for a request; a case may replace it."""
        await asyncio.sleep(self.work_s)

    @staticmethod
    def free_ports(count):
        sockets = [socket.socket() for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        return ports

    def settings(self, machine):
        """Fills the settings template of the deploy file in."""
        text = TEMPLATE.read_text()
        for name in ("failClosed", "revokeMs"):
            kept = r"\1" if self.bounds.get(name) else ""
            text = re.sub(r"\{\{#bounds\." + name + r"\}\}(.*?)\{\{/bounds\." + name + r"\}\}", kept, text, flags=re.S)
        values = {"nodeName": machine.name, "region": "region", "zone": "zone", "limits.memoryMb": 260,
                  "limits.maxFds": 4100, "listen.outbound": f"{machine.ip}:{self.ports['outbound']}", "ip": machine.ip,
                  "internalPortRange.0": self.ports["links"], "internalPortRange.1": self.ports["operators"],
                  "service": machine.service, "platform.address": f"{machine.ip}:{self.ports['store']}",
                  "listen.control": f"{machine.ip}:{self.ports['control']}",
                  "listen.ready": f"{machine.ip}:{self.ports['ready']}"}
        values.update({f"bounds.{name}": value for name, value in self.bounds.items()})
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", str(value))
        return text

    async def add_machine(self, service):
        """Adds a machine with its port of the store, and starts neither its node nor its server."""
        machine = Machine(self, len(self.machines) + 1, service)
        self.machines.append(machine)
        await self.store.open(machine.address("store"), machine.name)
        return machine

    def configure(self, version, resources):
        """Writes the configuration as the operator."""
        limits = {"typeUrl": "limits", "metadata": {}, "spec": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        self.store.put("op", "config", json.dumps({"version": version, "resources": resources + [limits]}).encode())

    def on_run(self, machine, request_id, headers):
        self.runs.append((self.record.now(), machine, request_id, headers))
        self.record.write(f"{machine.name}: server {machine.instance} runs {request_id}")

    async def send(self, machine, host, path, deadline_ms, headers=(), method="GET"):
        """Sends one client request at a machine. Returns request id, time of sending and status."""
        request_id = f"{random.randrange(1 << 64):016x}"
        sent_at = self.record.now()
        answer = await exchange(machine.address("outbound"), method, path,
                                [("Host", host), ("Request-Id", request_id), ("Deadline-Ms", str(deadline_ms)), *headers],
                                timeout=deadline_ms / 1000 + 1, source=machine.ip)
        status = answer[0] if answer else "closed"
        self.record.write(f"client: {request_id} sent at {sent_at:.3f} to {machine.name} -> {status}")
        return request_id, sent_at, status

    async def wait_for(self, what, condition, timeout=START_TIMEOUT_S):
        end = time.monotonic() + timeout
        while not await condition():
            if time.monotonic() > end:
                raise CannotRun(f"not within {timeout:.0f} s: {what}")
            await asyncio.sleep(0.05)

    async def wait_until_ready(self, machines):
        async def ready():
            return all([await machine.is_ready() for machine in machines])
        await self.wait_for("the nodes are ready", ready)

    async def stop(self):
        """Ends all processes that the case started."""
        for machine in self.machines:
            if machine.beats is not None:
                machine.beats.cancel()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()


def run_case(case, folder):
    """Runs the coroutine function case(has_trouble, folder). Returns 1 if the rule was broken, 0 if it held, 2 if the
    case could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        return asyncio.run(case(has_trouble, folder))
    except (CannotRun, OSError) as error:
        print(f"the case could not run: {error}")
        return 2
