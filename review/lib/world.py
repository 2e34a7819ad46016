"""A small deployment on loopback: nodes as processes, and stand-ins for the store, the servers and the clients.

Uses the standard library only. Each machine has an address of its own in 127.0.0.0/8 and, as in the pages, the ports
are the same on all machines.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
CONTACT_S = 3.0  # bounds.contactMs
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": 6, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 48, "recoveryS": 15}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
HEARTBEAT_S = 1.5
MEMORY_MB = 260
MAX_FDS = 4100


class CannotRun(Exception):
    """The case can't run here, or the deployment did not start."""


class Record:
    """The record of a run: one JSON object a line."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        """Returns the time since the start, in seconds."""
        return time.monotonic() - self._start

    def write(self, what, **fields):
        """Writes a line and returns its time."""
        at = self.now()
        self._file.write(json.dumps({"at": round(at, 4), "what": what, **fields}) + "\n")
        self._file.flush()
        return at

    def close(self):
        self._file.close()


async def read_head(reader):
    """Reads the head of an HTTP message. Returns the first line and the headers (names in lower case), or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads the body that the headers announce. Raises IncompleteReadError if it ends early."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def write_message(first_line, headers, body=b""):
    """Returns the bytes of an HTTP message with a length."""
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: rows with transactions and a feed, and objects."""

    def __init__(self, record, host, port):
        self._record = record
        self.host, self.port = host, port
        self._rows = {}  # (table, part, key) -> (value, version)
        self._objects = {}
        self._changes = []  # (version, table, part, key, value or None)
        self._version = 0
        self._changed = asyncio.Condition()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, self.port, limit=1 << 24)

    async def put(self, table, key, value):
        """Writes a row as the operator does. Returns the time of the acknowledgement."""
        self._write(table, "", key, value)
        async with self._changed:
            self._changed.notify_all()
        return self._record.now()

    def _write(self, table, part, key, value):
        self._version += 1
        if value is None:
            self._rows.pop((table, part, key), None)
        else:
            self._rows[(table, part, key)] = (value, self._version)
        self._changes.append((self._version, table, part, key, value))

    def _row(self, place, value, version):
        return {"table": place[0], "part": place[1], "key": place[2], "value": base64.b64encode(value).decode(),
                "ver": version}

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    break
                line, headers = message
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, answer = await self._answer(method, target, body)
                await asyncio.sleep(0.004)
                content = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
                writer.write(write_message(f"HTTP/1.1 {status} X",
                                           {"Content-Type": "application/json", "Store-Era": 1}, content))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-tx":
            return await self._transact(json.loads(body))
        if path == "/rows-get":
            return 200, self._get(fields)
        if path == "/rows-feed":
            return 200, await self._feed(fields)
        name = path.rpartition("/")[2]
        if path.startswith("/blob-put/"):
            self._objects[name] = body
            return 200, {}
        if path.startswith("/blob-get/") and name in self._objects:
            return 200, self._objects[name]
        return 404, {}

    async def _transact(self, call):
        failed = []
        for check in call.get("expectedRev", []):
            place = (check["table"], check["part"], check["key"])
            value, version = self._rows.get(place, (b"", 0))
            if version != check["ver"]:
                failed.append(self._row(place, value, version))
        if failed:
            return 412, {"rows": failed, "ver": self._version, "nowMs": int(self._record.now() * 1000)}
        for row in call.get("writes", []):
            self._write(row["table"], row["part"], row["key"], base64.b64decode(row["value"]))
        for row in call.get("remove", []):
            self._write(row["table"], row["part"], row["key"], None)
        async with self._changed:
            self._changed.notify_all()
        return 200, {"ver": self._version, "nowMs": int(self._record.now() * 1000)}

    def _get(self, fields):
        limit = min(int(fields.get("limit", 500)), 500)
        found = [(place, *stored) for place, stored in sorted(self._rows.items())
                 if place[0] == fields["table"] and place[1] == fields.get("part", "")
                 and place[2] >= fields.get("from", "") and ("target" not in fields or place[2] < fields["target"])]
        return {"rows": [self._row(*each) for each in found[:limit]], "hasMore": len(found) > limit,
                "ver": self._version, "nowMs": int(self._record.now() * 1000)}

    def _changes_after(self, table, after):
        latest = {}
        for version, changed_table, part, key, value in self._changes:
            if changed_table == table and version > after:
                latest[(table, part, key)] = (version, value)
        rows = []
        for place, (version, value) in sorted(latest.items(), key=lambda each: each[1][0]):
            row = self._row(place, value or b"", version)
            if value is None:
                row["deleted"] = True
            rows.append(row)
        return rows

    async def _feed(self, fields):
        after, end = int(fields["after"]), time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            rows = self._changes_after(fields["table"], after)
            left = end - time.monotonic()
            if rows or left <= 0:
                return {"rows": rows, "ver": self._version, "nowMs": int(self._record.now() * 1000)}
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Server:
    """An application server beside a node. It answers after the time that the path names, /name/MILLISECONDS."""

    def __init__(self, record, machine, instance, slots=36):
        self.record, self.machine, self.instance, self.slots = record, machine, instance, slots
        self.runs = []  # (time, request id, path)
        self.answers_in_trouble = None  # coroutine(headers, writer) in place of an answer
        self.answer_bytes = 0  # Shortest body of an answer.
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self._server = None
        self._beats = None
        self._connections = set()

    async def start(self, beats=True):
        self._server = await asyncio.start_server(self._serve, self.machine.ip, self.machine.app_port, limit=1 << 20)
        if beats:
            self._beats = asyncio.ensure_future(self._beat())

    async def stop(self):
        """Ends the server and closes its connections."""
        self.stop_beats()
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def stop_beats(self):
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    def beat_body(self):
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps({
            "address": f"{self.machine.ip}:{self.machine.app_port}", "born": self.born,
            "info": {"service": self.machine.service, "version": "v1", "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0}}).encode()

    async def announce(self, method, body):
        """Sends a call about this server to its node. Returns the status, or None."""
        status = await simple_call(self.machine.ip, self.machine.control_port, method,
                                   f"/instances/{self.instance}", body, timeout=1.0)
        self.record.write("announced", instance=self.instance, method=method, body=body.decode(), status=status)
        return status

    async def _beat(self):
        while True:
            await self.announce("PUT", self.beat_body())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    break
                line, headers = message
                body = await read_body(reader, headers)
                if not await self._answer(line, headers, body, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, line, headers, body, writer):
        _, path, _ = line.split(" ")
        if path == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(write_message(f"HTTP/1.1 {status} X", {"Instance-Id": self.instance}))
            return True
        request = headers.get("request-id", "")
        if headers.get("expected-instance", self.instance) != self.instance:
            writer.write(write_message("HTTP/1.1 421 X", {"Instance-Id": self.instance, "Request-Id": request}))
            return True
        at = self.record.write("run", instance=self.instance, request=request, path=path, body_bytes=len(body),
                               caller=headers.get("caller-service"), deadline_ms=headers.get("deadline-ms"))
        self.runs.append((at, request, path))
        if self.answers_in_trouble is not None:
            await self.answers_in_trouble(headers, writer)
            return False
        delay = re.search(r"/(\d+)$", path)
        await asyncio.sleep(int(delay.group(1)) / 1000 if delay else 0.01)
        content = f"{self.instance} {request} {path}".encode().ljust(self.answer_bytes, b".")
        writer.write(write_message("HTTP/1.1 200 OK", {"Request-Id": request, "Server-Signature": f"s-{request}",
                                                       "Instance-Id": self.instance}, content))
        await writer.drain()
        self.record.write("run-answered", instance=self.instance, request=request)
        return True


class Machine:
    """A machine with a node: its addresses, its settings and its process."""

    def __init__(self, world, number, zone, service):
        self.world, self.zone, self.service = world, zone, service
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"{world.network}.{number}"
        self.inbound_port, self.app_port, self.ready_port, self.outbound_port, self.control_port = world.ports[:5]
        self.store = world.store_seen_at or (world.store.host, world.store.port)
        self.process = None
        self.pid = None

    def settings(self):
        """Returns the fields of the platform's settings."""
        listen = {"inbound": f"{self.ip}:{self.inbound_port}", "outbound": f"{self.ip}:{self.outbound_port}",
                  "ready": f"{self.ip}:{self.ready_port}", "control": f"{self.ip}:{self.control_port}"}
        return {"nodeName": self.name, "region": "eg-north", "zone": self.zone, "ip": self.ip,
                "service": self.service, "appAddress": f"{self.ip}:{self.app_port}",
                "limits": {"maxFds": MAX_FDS, "memoryMb": MEMORY_MB}, "listen": listen,
                "internalPortRange": [self.world.ports[5], self.world.ports[6]], "bounds": BOUNDS,
                "platform": {"address": f"{self.store[0]}:{self.store[1]}"}}

    async def start(self):
        """Fills in the template and starts the command of the deploy file."""
        path = self.world.folder / f"{self.name}.ini"
        path.write_text(fill_in(self.world.template, self.settings()), encoding="utf-8")
        words = [word if not word.startswith("--settings=") else f"--settings={path}" for word in self.world.command]
        log = open(self.world.folder / f"{self.name}.log", "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(*words, cwd=ROOT, stdout=log, stderr=log,
                                                            stdin=asyncio.subprocess.DEVNULL, env=environment)
        log.close()
        self.pid = self.process.pid
        self.world.processes.append(self.process)
        self.world.record.write("node-started", node=self.name, pid=self.pid)

    def signal(self, number):
        """Sends a signal to the node, if it runs."""
        if self.process.returncode is None:
            self.world.record.write("signal", node=self.name, signal=signal.Signals(number).name)
            self.process.send_signal(number)

    async def ended(self, timeout=10.0):
        """Waits for the end of the process and returns its exit status."""
        status = await asyncio.wait_for(self.process.wait(), timeout)
        self.world.record.write("node-ended", node=self.name, status=status)
        return status

    async def ready(self):
        return await simple_call(self.ip, self.ready_port, "GET", "/readyz", timeout=1.0) == 200

    def log_text(self):
        return (self.world.folder / f"{self.name}.log").read_text(errors="replace")


def fill_in(template, fields):
    """Replaces the placeholders {{a.b}} of a template."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)
    return re.sub(r"\{\{([A-Za-z0-9.]+)\}\}", value, template)


async def simple_call(host, port, method, path, body=b"", headers=None, timeout=2.0):
    """Sends one request on a connection of its own. Returns the status, or None without an answer."""
    async def call():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            fields = {"Host": f"{host}:{port}", "Connection": "close", "Content-Type": "application/json"}
            writer.write(write_message(f"{method} {path} HTTP/1.1", {**fields, **(headers or {})}, body))
            answer = await read_head(reader)
            return None if answer is None else int(answer[0].split(" ")[1])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), timeout)
    except (asyncio.TimeoutError, OSError):
        return None


class Client:
    """A client on a machine, with one kept connection to its node."""

    def __init__(self, record, machine, name):
        self.record, self.machine, self.name = record, machine, name
        self._reader = self._writer = None
        self._count = 0

    async def connect(self):
        self._reader, self._writer = await asyncio.open_connection(self.machine.ip, self.machine.outbound_port,
                                                                   limit=1 << 24)

    def close(self):
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def request(self, host, path, method="GET", body=b"", deadline_ms=5000, headers=None):
        """Sends a request and waits for its answer.

        Returns a dictionary: id, sent, ended, status (None if the connection ended without a whole answer),
        headers, body.
        """
        if self._writer is None:
            await self.connect()
        self._count += 1
        request = f"{self.name}-{self._count}-{random.getrandbits(32):08x}"
        fields = {"Host": host, "Request-Id": request, "Deadline-Ms": deadline_ms, **(headers or {})}
        sent = self.record.write("sent", client=self.name, node=self.machine.name, request=request, path=path,
                                 method=method, body_bytes=len(body))
        result = {"id": request, "sent": sent, "status": None, "headers": {}, "body": b""}
        try:
            self._writer.write(write_message(f"{method} {path} HTTP/1.1", fields, body))
            await self._writer.drain()
            answer = await asyncio.wait_for(read_head(self._reader), deadline_ms / 1000 + 2.0)
            if answer is not None:
                result["body"] = await read_body(self._reader, answer[1])
                result["status"] = int(answer[0].split(" ")[1])
                result["headers"] = answer[1]
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, OSError):
            pass
        if result["status"] is None or result["headers"].get("connection", "").lower() == "close":
            self.close()
        result["ended"] = self.record.write("answered" if result["status"] is not None else "no-answer",
                                            client=self.name, request=request, status=result["status"],
                                            answer_id=result["headers"].get("request-id"),
                                            rule=result["headers"].get("waxwing-rule"))
        return result


def route(name, host, prefix, service, kind="safe", timeout_ms=3000, attempts=2, priority=2):
    """Returns a route of the operator's configuration."""
    return {"typeUrl": "routes", "metadata": {"name": name},
            "spec": {"host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 1500,
                     "priority": priority, "service": service, "maxAttempts": attempts}}


def configuration(version, routes, services, limits=None):
    """Returns the operator's configuration as it is written to the store."""
    resources = list(routes)
    resources += [{"typeUrl": "services", "metadata": {"name": name},
                   "spec": {"healthPath": "/healthz", "maxConnections": 316, "protocol": "h1", "tls": False}}
                  for name in services]
    resources.append({"typeUrl": "limits", "metadata": {}, "spec": dict(LIMITS, **(limits or {}))})
    return json.dumps({"version": version, "baseVersion": 0, "resources": resources}).encode()


class World:
    """The deployment: a context manager that ends all processes that it started."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.template = (ROOT / "platform" / "settings.ini.template").read_text(encoding="utf-8")
        deploy = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        self.command = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE).group(1).split(" ")
        self.processes = []
        self.machines = []
        self.servers = []
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is not built")
        self.network, self.ports = self._free_network()
        self.store = Store(record, f"{self.network}.250", self.ports[7])
        self.store_seen_at = None  # Address of the store in the settings, if it is not the store's own.

    @staticmethod
    def _free_network():
        """Returns the first three numbers of unused loopback addresses, and eight ports."""
        for _ in range(50):
            network = f"127.{random.randint(10, 250)}.{random.randint(0, 250)}"
            ports = random.sample(range(20000, 30000), 8)
            ports[5:7] = sorted(ports[5:7])
            try:
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f"{network}.1", port))
                return network, ports
            except OSError:
                continue
        raise CannotRun("no free ports on loopback")

    async def add(self, zone, service):
        """Adds a machine with a node and a server. Returns the machine and the server."""
        number = len(self.machines) + 1
        machine = Machine(self, number, zone, service)
        self.machines.append(machine)
        server = Server(self.record, machine, f"i-{service}-{number:04x}")
        self.servers.append(server)
        await server.start()
        await machine.start()
        return machine, server

    async def wait_ready(self, timeout=20.0):
        """Waits until all nodes are ready."""
        end = time.monotonic() + timeout
        for machine in self.machines:
            while not await machine.ready():
                if time.monotonic() > end or machine.process.returncode is not None:
                    raise CannotRun(f"{machine.name} is not ready; see {self.folder}")
                await asyncio.sleep(0.1)
        self.record.write("all-ready")

    async def close(self):
        for server in self.servers:
            server.stop_beats()
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case):
    """Runs case(world) for at most 115 s and exits with what it returns: BROKEN, HELD or NOT_RUN."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")

    async def run():
        world = None
        try:
            world = World(record)
            await world.store.start()
            return await asyncio.wait_for(case(world), 115)
        except Exception as reason:  # A fault of the case must not look like a broken rule.
            record.write("cannot-run", reason=repr(reason))
            return NOT_RUN
        finally:
            if world is not None:
                await world.close()

    status = asyncio.run(run())
    record.write("result", status=status, trouble=TROUBLE)
    print({BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "the case could not run"}[status])
    record.close()
    sys.stdout.flush()
    os._exit(status)
