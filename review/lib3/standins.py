"""Stand-ins for the platform's store, the servers and the clients of a small deployment, on loopback addresses.

They follow PROTOCOL.md: the store keeps rows, objects and a feed; a server beats, checks Expected-Instance, echoes
Request-Id and signs its answers; a client sends one request for each Request-Id and reads one answer.
"""

import asyncio
import base64
import collections
import itertools
import json
import time
import urllib.parse

FIRST_ERROR_STATUS = 400
MAX_FEED_S = 30.0
READ_LIMIT = 8 * 1024 * 1024


class Request:
    """One HTTP request or answer: its first line, headers and body."""

    def __init__(self, line, headers, body=b""):
        self.line = line
        self.headers = headers
        self.body = body

    def header(self, name):
        """Returns the value of a header, or None."""
        return self.headers.get(name.lower())


async def read_message(reader, is_answer=False):
    """Reads one HTTP/1.1 message with a length. Returns None where the connection ends before its first byte.

    @raise asyncio.IncompleteReadError where it ends midway.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    line, *fields = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer and headers.get("transfer-encoding", "").lower() == "chunked":
        raise ValueError("the stand-ins read no chunked answers")
    return Request(line, headers, body)


def write_message(line, headers, body=b""):
    """Returns the bytes of one HTTP/1.1 message."""
    text = line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: rows, objects, a feed and its era. Answers may be delayed or left out."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.history_start = 0
        self.version = 0
        self.objects = {}
        self.era = 1
        self.copies = []
        self.is_down = False
        self.delay_s = 0.0
        self.changed = asyncio.Condition()
        self.writers = {}
        self.watchers = set()
        self.refused = set()
        self.started_at = time.monotonic()

    async def start(self, host, port, caller):
        """Starts to listen at the address that one caller uses."""
        await asyncio.start_server(lambda reader, writer: self.serve(reader, writer, caller), host, port,
                                   limit=READ_LIMIT)

    def refuse(self, callers):
        """Turns callers away from now on: their calls in progress and all others get 503."""
        self.refused = set(callers)
        for writer, caller in self.writers.items():
            if caller in self.refused:
                writer.transport.abort()

    async def serve(self, reader, writer, caller):
        """Serves one connection."""
        self.writers[writer] = caller
        try:
            while (request := await read_message(reader)) is not None:
                is_feed = request.line.startswith("GET /rows-feed")
                if is_feed:
                    self.watchers.add(caller)
                status, body = (503, b"{}") if caller in self.refused else await self.handle(request)
                if is_feed:
                    self.watchers.discard(caller)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                reason = "OK" if status < FIRST_ERROR_STATUS else "Refused"
                writer.write(write_message(f"HTTP/1.1 {status} {reason}",
                                           [("Content-Type", "application/json"), ("Store-Era", self.era)], body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The connection or the case ends.
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def handle(self, request):
        """Returns status and body of the answer to a request."""
        method, target, _ = request.line.split(" ")
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if self.is_down:
            return 503, b"{}"
        if path == "/rows-tx" and method == "POST":
            status, answer = await self.commit(json.loads(request.body))
        elif path == "/rows-get":
            status, answer = 200, self.read(fields)
        elif path == "/rows-feed":
            status, answer = await self.feed(fields)
        elif path.startswith("/blob-put/"):
            self.objects[path[len("/blob-put/"):]] = request.body
            status, answer = 200, {}
        elif path.startswith("/blob-get/"):
            body = self.objects.get(path[len("/blob-get/"):])
            return (404, b"{}") if body is None else (200, body)
        else:
            status, answer = 404, {}
        return status, json.dumps(answer | self.position()).encode()

    def position(self):
        """Returns the fields that all answers about rows hold."""
        return {"ver": self.version, "nowMs": int((time.monotonic() - self.started_at) * 1000)}

    async def commit(self, transaction):
        """Applies a transaction. Returns status and answer."""
        expected = transaction.get("expectedRev", [])
        current = [self.row_at(self.place(each)) for each in expected]
        if any((row["ver"] if row else 0) != each["ver"] for row, each in zip(current, expected)):
            return 412, {"rows": [row for row in current if row]}
        self.version += 1
        for each in transaction.get("writes", []):
            self.rows[self.place(each)] = (each["value"], self.version)
            self.history.append((self.version, self.place(each), each["value"]))
        for each in transaction.get("remove", []):
            if self.rows.pop(self.place(each), None) is not None:
                self.history.append((self.version, self.place(each), None))
        async with self.changed:
            self.changed.notify_all()
        return 200, {}

    @staticmethod
    def place(item):
        """Returns the key of an item of a transaction."""
        return item["table"], item.get("part", ""), item["key"]

    def row_at(self, place):
        """Returns the row at a key as JSON, or None."""
        if place not in self.rows:
            return None
        value, version = self.rows[place]
        return {"table": place[0], "part": place[1], "key": place[2], "value": value, "ver": version}

    def read(self, fields):
        """Returns the rows of a range."""
        first, end = fields.get("from", ""), fields.get("target", "")
        places = sorted(place for place in self.rows if place[0] == fields["table"]
                        and place[1] == fields.get("part", "") and place[2] >= first
                        and (not end or place[2] < end))
        limit = min(int(fields.get("limit", 500)), 500)
        return {"rows": [self.row_at(place) for place in places[:limit]], "hasMore": len(places) > limit}

    async def feed(self, fields):
        """Waits for changes of a table. Returns status and answer."""
        after, era = int(fields["after"]), self.era
        end = time.monotonic() + min(int(fields.get("waitMs", 0)) / 1000, MAX_FEED_S)
        while True:
            if era != self.era or after > self.version or after < self.history_start:
                return 410, {}
            rows = [{"table": place[0], "part": place[1], "key": place[2], "ver": version}
                    | ({"deleted": True} if value is None else {"value": value})
                    for version, place, value in self.history if version > after and place[0] == fields["table"]]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def write(self, table, key, value):
        """Writes a row as the operator does. Returns when the write is acknowledged."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        await self.commit({"writes": [{"table": table, "part": "", "key": key, "value": encoded}]})
        return time.monotonic()

    def copy(self):
        """Takes a copy of all that the store holds."""
        return dict(self.rows), list(self.history), self.version, dict(self.objects)

    async def restore(self, copy):
        """Goes back to a copy and begins a new era."""
        rows, history, self.version, objects = copy
        self.rows, self.history, self.objects = dict(rows), list(history), dict(objects)
        self.era += 1
        async with self.changed:
            self.changed.notify_all()


class Server:
    """An application server beside a node: it beats, runs requests and records the runs."""

    def __init__(self, machine, record, slots=20, work_s=0.02):
        self.machine = machine
        self.record = record
        self.slots = slots
        self.work_s = work_s
        self.instance = None
        self.born_ms = 0
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.server = None
        self.beats = None
        self.writers = set()
        self.busy = asyncio.Semaphore(slots)
        self.extra_headers = []

    async def start(self, instance):
        """Starts an incarnation."""
        self.instance = instance
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.busy = asyncio.Semaphore(self.slots)
        host, port = self.machine.host, self.machine.app_port
        self.server = await asyncio.start_server(self.serve, host, port, limit=READ_LIMIT)
        self.beats = asyncio.create_task(self.beat_forever())

    async def crash(self):
        """Ends at once: closes its socket and all connections."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def status(self):
        """Returns the body of the next beat."""
        self.sequence += 1
        return {"address": f"{self.machine.host}:{self.machine.app_port}", "born": self.born_ms,
                "info": {"service": self.machine.service, "version": "v1", "zone": self.machine.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0}}

    async def beat(self, body):
        """Sends one beat. Returns whether it is acknowledged within a second."""
        try:
            answer = await asyncio.wait_for(exchange(
                self.machine.host, self.machine.control_port, f"PUT /instances/{self.instance} HTTP/1.1",
                [("Host", "node"), ("Content-Type", "application/json")], json.dumps(body).encode()), 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer.line.split(" ")[1].startswith("2")

    async def beat_forever(self):
        """Beats each 1.5 s; twice a second until the first beat is acknowledged."""
        is_known = False
        while True:
            is_known = await self.beat(self.status()) or is_known
            await asyncio.sleep(1.5 if is_known else 0.5)

    async def leave(self):
        """Says by DELETE that it leaves, and goes on serving. Returns whether that is acknowledged."""
        self.beats.cancel()
        self.extra_headers = [("Server-Leaving", "1")]
        try:
            answer = await asyncio.wait_for(exchange(
                self.machine.host, self.machine.control_port, f"DELETE /instances/{self.instance} HTTP/1.1",
                [("Host", "node"), ("Content-Type", "application/json")],
                json.dumps({"born": self.born_ms}).encode()), 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer.line.split(" ")[1].startswith("2")

    async def serve(self, reader, writer):
        """Serves one connection."""
        self.writers.add(writer)
        instance = self.instance
        try:
            while (request := await read_message(reader)) is not None:
                await self.answer(request, writer, instance)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The connection or the case ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer, instance):
        """Runs one request and answers it."""
        method, path, _ = request.line.split(" ")
        if path == "/healthz":
            writer.write(write_message("HTTP/1.1 200 OK", [("Instance-Id", instance)]))
            return
        request_id = request.header("Request-Id") or ""
        expected = request.header("Expected-Instance")
        if expected is not None and expected != instance:
            writer.write(write_message("HTTP/1.1 421 Misdirected Request",
                                       [("Request-Id", request_id), ("Instance-Id", instance)]))
            return
        async with self.busy:
            run = {"at": time.monotonic(), "id": request_id, "path": path, "tenant": request.header("Tenant-Id"),
                   "instance": instance, "machine": self.machine.name}
            self.runs.append(run)
            self.record("run", **run)
            await asyncio.sleep(self.work_s)
        body = f"{request_id} {path}".encode()
        writer.write(write_message("HTTP/1.1 200 OK", [("Request-Id", request_id),
                                                       ("Server-Signature", f"{instance}.{request_id}"),
                                                       ("Keep-Alive", "timeout=10"), *self.extra_headers], body))
        await writer.drain()


async def exchange(host, port, line, headers, body=b"", source=None):
    """Sends one request on a new connection. Returns the answer; None where the connection ends without one."""
    reader, writer = await asyncio.open_connection(host, port, local_addr=(source or host, 0), limit=READ_LIMIT)
    try:
        writer.write(write_message(line, headers, body))
        await writer.drain()
        return await read_message(reader, is_answer=True)
    finally:
        writer.close()


class Client:
    """Sends requests to the node of its machine and records the answers."""

    numbers = itertools.count(1)

    def __init__(self, machine, record):
        self.machine = machine
        self.record = record
        self.answers = collections.Counter()

    async def send(self, host, path, method="GET", key=None, deadline_ms=5000, body=b""):
        """Sends one request. Returns its id, the moment of sending, and the status; None without an answer."""
        request_id = f"{next(self.numbers):016x}"
        headers = [("Host", host), ("Request-Id", request_id), ("Deadline-Ms", deadline_ms)]
        if key is not None:
            headers.append(("Authorization", f"Bearer {key}"))
        sent_at = time.monotonic()
        self.record("sent", id=request_id, machine=self.machine.name, path=path, key=key)
        try:
            answer = await asyncio.wait_for(
                exchange(self.machine.host, self.machine.outbound_port, f"{method} {path} HTTP/1.1", headers, body),
                deadline_ms / 1000 + 1.0)
            status = None if answer is None else int(answer.line.split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer, status = None, None
        self.record("answered", id=request_id, status=status,
                    signed=answer is not None and answer.header("Server-Signature") is not None)
        self.answers[status] += 1
        return request_id, sent_at, status
