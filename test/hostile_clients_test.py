"""Memory of the nodes under hostile clients: crowds of large, unfinished, chunked or oversized bodies, and slow readers.

Each run starts two nodes with stand-ins on loopback, plays the one scenario that the command line names, and checks that
all processes are alive, that the peak resident size and the open descriptors of both nodes stay under the bounds, and
that one ordinary request is answered while the crowd is still connected. No times and no proportions are checked.

Usage: hostile_clients_test.py SCENARIO [--without-memory-setting] [--base-port=N]
--without-memory-setting leaves `[node] memory` out, for programs that do not know it yet.
"""

import argparse
import http.client
import os
import pathlib
import selectors
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tools"))
from lab import HOST, ROOT, Lab, LabError  # noqa: E402

CLIENTS = 64
BODY_LIMIT = 4 * 1024 * 1024
MEMORY_MIB = 128
MAX_DESCRIPTORS = 400
# The address sanitizer adds shadow memory, red zones and a quarantine of freed blocks, and a process that does nothing
# already takes some 100 MiB. The quarantine is limited below. What remains is bounded by twice the memory of an ordinary
# build, for the red zones and shadow bytes, and 128 MiB for the runtime.
SANITIZED = os.environ.get("WAXWING_SANITIZED") == "1"
SANITIZED_OPTIONS = "quarantine_size_mb=8:thread_local_quarantine_size_kb=64"
MAX_RESIDENT_MIB = 2 * MEMORY_MIB + 128 if SANITIZED else MEMORY_MIB

LARGE_CHUNK = 64 * 1024
SMALL_CHUNKED_BODY = BODY_LIMIT // 4 * 3
ANNOUNCED_OVER_LIMIT = 10 * 1024 * 1024 * 1024
UNANNOUNCED_OVER_LIMIT = 40 * 1024 * 1024
ANSWER_BYTES = 256 * 1024
ANSWERS_PER_READER = 60
READER_PAUSE_S = 0.1  # Between the requests of one slow reader: requests sent all at once are refused as overload.
QUIET_S = 3.0  # A crowd of which no client can send or receive for so long has done what it can.
MAX_CROWD_S = 90.0
ORDINARY_BODY = b"o" * 24_000
ORDINARY_TIMEOUT_S = 60.0

DEPLOYMENT = {
    "region": "eg-north",
    "data_centres": ["eg-north-1", "eg-north-2"],
    "configuration": "examples/nilestone",
    "services": {
        "orders": {"instances": 1, "slots": 64, "connections": 200, "service_ms": 500},
        "records": {"instances": 1, "slots": 64, "connections": 200, "service_ms": 500},
    },
}
# Changes to the published configuration: the lowered limit, and enough room that overload control refuses nothing first.
CHANGES = [("depth = 8\n", f"depth = 8\nbody_bytes = {BODY_LIMIT}\nrequest_time = 60s\n"),
           ("deadline = 2s", "deadline = 20s"), ("queue_most = 300ms", "queue_most = 15s"),
           ("queue_target = 20ms", "queue_target = 10s"), ("rate = 2000\nburst = 400", "rate = 100000\nburst = 100000")]


def head(number, extra):
    """Returns the head of a client's request; half of them are for the service behind the other node."""
    service, path, kind = [("orders", "/orders/1", "order-lookup"),
                           ("records", "/conditions/1", "condition-lookup")][number % 2]
    method = "GET" if "X-Answer-Bytes" in extra else "POST"
    lines = [f"{method} {path} HTTP/1.1", f"Host: {service}", f"Waxwing-Kind: {kind}", "Waxwing-Caller: club-portal",
             *(f"{name}: {value}" for name, value in extra.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunks(total, sizes):
    """Yields chunks of the sizes in turn, about as many bytes as the total length, without the last chunk."""
    repeats = max(1, LARGE_CHUNK // (2 * sum(sizes)))
    block = b"".join(b"%x\r\n" % size + b"x" * size + b"\r\n" for size in sizes) * repeats
    for _ in range(total // (sum(sizes) * repeats)):
        yield block


def announced(number, length, sent):
    """Yields a request whose announced body has the given length and of which fewer bytes may be sent."""
    yield head(number, {"Content-Length": length})
    for start in range(0, sent, LARGE_CHUNK):
        yield b"x" * min(LARGE_CHUNK, sent - start)


def chunked(number, total, sizes):
    """Yields a chunked request that stops before its last chunk."""
    yield head(number, {"Transfer-Encoding": "chunked"})
    yield from chunks(total, sizes)


def whole_bodies(number):
    """Large bodies of legal size, sent whole."""
    return announced(number, BODY_LIMIT, BODY_LIMIT)


def unfinished_bodies(number):
    """The same, each stopping a few bytes short and staying open."""
    return announced(number, BODY_LIMIT, BODY_LIMIT - 4)


def large_chunks(number):
    """Chunked bodies in large chunks that stop before the last chunk."""
    return chunked(number, BODY_LIMIT, [LARGE_CHUNK])


def small_chunks(number):
    """Chunked bodies in chunks of 1 to 8 bytes that stop before the last chunk."""
    return chunked(number, SMALL_CHUNKED_BODY, [1, 8, 2, 7, 3, 6, 4, 5])


def oversized_bodies(number):
    """Bodies announced far over the limit, and bodies without announcement that run far over it."""
    if number % 4 < 2:
        return announced(number, ANNOUNCED_OVER_LIMIT, UNANNOUNCED_OVER_LIMIT)
    return chunked(number, UNANNOUNCED_OVER_LIMIT, [LARGE_CHUNK])


def slow_readers(number):
    """Many requests for long answers that the client does not read."""
    for _ in range(ANSWERS_PER_READER):
        yield head(number, {"X-Answer-Bytes": ANSWER_BYTES})


SCENARIOS = {
    "whole-bodies": (whole_bodies, True),
    "unfinished-bodies": (unfinished_bodies, True),
    "large-chunks": (large_chunks, True),
    "small-chunks": (small_chunks, True),
    "oversized-bodies": (oversized_bodies, True),
    "slow-readers": (slow_readers, False),
}


class Crowd:
    """Clients that send as fast as the node reads, and read its answers if they are to."""

    def __init__(self, scenario, port):
        self.selector = selectors.DefaultSelector()
        self.messages, self.reads = SCENARIOS[scenario]
        self.open = set()
        self.sent_bytes = 0
        for number in range(CLIENTS):
            client = socket.socket()
            if not self.reads:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect((HOST, port))
            client.setblocking(False)
            self.open.add(client)
            events = selectors.EVENT_WRITE | (selectors.EVENT_READ if self.reads else 0)
            self.selector.register(client, events, {"parts": self.messages(number), "rest": b""})

    def send(self, client, state):
        """Sends what the socket takes. Returns whether more is to follow."""
        while True:
            if not state["rest"]:
                state["rest"] = next(state["parts"], b"")
                if not state["rest"]:
                    return False
            try:
                count = client.send(state["rest"])
            except BlockingIOError:
                return True
            self.sent_bytes += count
            state["rest"] = state["rest"][count:]
            if not self.reads and not state["rest"]:
                return True

    def close(self, client):
        """Forgets a client whose connection the node has closed."""
        self.selector.unregister(client)
        self.open.discard(client)
        client.close()

    def play(self):
        """Lets all clients send until none makes progress any more."""
        end = time.monotonic() + MAX_CROWD_S
        quiet_since = time.monotonic()
        while self.selector.get_map() and time.monotonic() < end and time.monotonic() - quiet_since < QUIET_S:
            if not self.reads:
                time.sleep(READER_PAUSE_S)
            for key, events in self.selector.select(timeout=0.1):
                quiet_since = time.monotonic()
                client = key.fileobj
                try:
                    if events & selectors.EVENT_READ and not client.recv(1 << 20):
                        self.close(client)
                        continue
                    if events & selectors.EVENT_WRITE and not self.send(client, key.data):
                        self.stop_sending(client)
                except BlockingIOError:
                    continue
                except OSError:
                    self.close(client)

    def stop_sending(self, client):
        """Keeps the connection of a client open that has sent everything."""
        if self.reads:
            self.selector.modify(client, selectors.EVENT_READ)
        else:
            self.selector.unregister(client)


class HostileLab(Lab):
    """A deployment of nodes with lowered limits."""

    def __init__(self, with_memory_setting, base_port):
        super().__init__(DEPLOYMENT, base_port=base_port)
        self.with_memory_setting = with_memory_setting

    def publish(self, folder):
        """Publishes the configuration in a folder with lowered limits, and with time for slow and waiting requests."""
        files = []
        for source in sorted((ROOT / folder).glob("*.ini")):
            text = source.read_text()
            for old, new in CHANGES:
                text = text.replace(old, new)
            files.append(self.folder / source.name)
            files[-1].write_text(text)
        completed = self.control_tool("apply", "--wait", "--why=start", *files)
        if completed.returncode != 0:
            raise LabError(f"waxwingctl apply failed ({completed.returncode}): {completed.stdout}{completed.stderr}")

    def extra_listen_settings(self, _instance):
        memory = f"[node]\nmemory = {MEMORY_MIB}\n" if self.with_memory_setting else ""
        return f"body_limit = {BODY_LIMIT}\n{memory}"


def status_field(process, name):
    """Returns a field of /proc/PID/status in MiB."""
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1]) / 1024
    raise LabError(f"the process {process.pid} has no {name}")


def ordinary_request(port):
    """Sends an ordinary request until it is answered. Returns the statuses received; the last is 200 if it was."""
    statuses = []
    end = time.monotonic() + ORDINARY_TIMEOUT_S
    while time.monotonic() < end and 200 not in statuses:
        connection = http.client.HTTPConnection(HOST, port, timeout=10)
        try:
            connection.request("POST", "/conditions/1", body=ORDINARY_BODY,
                               headers={"Host": "records", "Waxwing-Kind": "condition-lookup"})
            statuses.append(connection.getresponse().status)
        except (OSError, http.client.HTTPException) as reason:
            statuses.append(type(reason).__name__)
        finally:
            connection.close()
        time.sleep(0.2)
    return statuses


def run(scenario, with_memory_setting, base_port):
    """Plays a scenario. Returns the failed checks."""
    failures = []
    if SANITIZED:
        os.environ["ASAN_OPTIONS"] = SANITIZED_OPTIONS
    with HostileLab(with_memory_setting, base_port) as lab:
        entry = lab.instances[0]
        idle = {one.name: status_field(one.node_process, "VmHWM") for one in lab.instances}
        if scenario == "slow-readers":
            for service in DEPLOYMENT["services"]:
                lab.fault(service, service_factor=0.01)
        crowd = Crowd(scenario, entry.callers)
        crowd.play()
        statuses = ordinary_request(entry.callers)
        print(f"{scenario}: the crowd sent {crowd.sent_bytes} bytes, {len(crowd.open)} of {CLIENTS} connections are "
              f"open; ordinary request: {statuses}")
        if statuses[-1:] != [200]:
            failures.append(f"the ordinary request was not answered: {statuses}")
        for process in lab.processes:
            if process.poll() is not None:
                failures.append(f"a process ended: {process.args[0]} with {process.returncode}")
        for one in lab.instances:
            if one.node_process.poll() is not None:
                continue
            peak = status_field(one.node_process, "VmHWM")
            descriptors = len(os.listdir(f"/proc/{one.node_process.pid}/fd"))
            print(f"{scenario}: {one.name}: peak {peak:.0f} MiB (idle {idle[one.name]:.0f}, bound {MAX_RESIDENT_MIB}), "
                  f"{descriptors} descriptors")
            if peak > MAX_RESIDENT_MIB:
                failures.append(f"{one.name} took {peak:.0f} MiB, more than {MAX_RESIDENT_MIB}")
            if descriptors > MAX_DESCRIPTORS:
                failures.append(f"{one.name} has {descriptors} descriptors, more than {MAX_DESCRIPTORS}")
    return failures


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("scenario", choices=sorted(SCENARIOS))
    parser.add_argument("--without-memory-setting", action="store_true")
    parser.add_argument("--base-port", type=int, default=29000)
    arguments = parser.parse_args()
    failures = run(arguments.scenario, not arguments.without_memory_setting, arguments.base_port)
    for failure in failures:
        print(f"FAILED: {failure}")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
