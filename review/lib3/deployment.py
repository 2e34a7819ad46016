"""Starts a small deployment of the project's own program on loopback addresses, with stand-ins around it.

Each machine has an address of its own in 127.0.0.0/8; the settings are the project's template, filled in as DEPLOY.md
says. A case is a coroutine that gets a Deployment and returns whether the rule held.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

from standins import Client, Server, Store, exchange

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PORTS = {"inbound": 8300, "app": 8301, "ready": 8302, "outbound": 8304, "control": 8306, "first": 7620, "last": 7635,
         "store": 8309}
STORE_OFFSET = 100  # Each machine reaches the store at an address of its own, so that the store can tell them apart.
START_TIMEOUT_S = 30.0
LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run."""


def render(template, fields):
    """Fills in a settings template: {{a.b}}, {{#a}}..{{/a}} and {{^a}}..{{/a}}."""
    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        is_wanted = bool(value(match[2])) == (match[1] == "#")
        return render(match[3], fields) if is_wanted else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: "" if value(match[1]) is None else str(value(match[1])), text)


class Machine:
    """One machine: its address, its service, and the processes on it."""

    def __init__(self, name, host, zone, service):
        self.name = name
        self.host = host
        self.zone = zone
        self.service = service
        self.app_port = PORTS["app"]
        self.control_port = PORTS["control"]
        self.outbound_port = PORTS["outbound"]
        self.store_host = host.rpartition(".")[0] + f".{int(host.rpartition('.')[2]) + STORE_OFFSET}"
        self.node = None
        self.server = None
        self.client = None


class Deployment:
    """Machines with nodes, servers and clients, and the platform's store."""

    def __init__(self, folder, bounds, record):
        self.folder = pathlib.Path(folder)
        self.bounds = bounds
        self.record = record
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.store = Store(record)
        self.memory_mb = 260
        self.machines = []
        self.processes = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = next(iter(deploy["roles"].values()))
        self.template = (ROOT / self.role["template"]).read_text()

    def add_machine(self, zone, service, **server_options):
        """Adds a machine with a server and a client."""
        number = len(self.machines) + 1
        machine = Machine(f"sidecar-{zone}-{number}", f"{self.net}.{number}", zone, service)
        machine.server = Server(machine, self.record, **server_options)
        machine.client = Client(machine, self.record)
        self.machines.append(machine)
        return machine

    def settings_of(self, machine):
        """Returns the text of the settings of a machine's node."""
        address = lambda port: f"{machine.host}:{PORTS[port]}"
        return render(self.template, {
            "nodeName": machine.name, "region": "region", "zone": machine.zone, "ip": machine.host,
            "service": machine.service, "bounds": self.bounds, "limits": {"memoryMb": self.memory_mb, "maxFds": 4100},
            "listen": {name: address(name) for name in ("inbound", "outbound", "ready", "control")},
            "internalPortRange": [PORTS["first"], PORTS["last"]],
            "platform": {"address": f"{machine.store_host}:{PORTS['store']}"}})

    def start_node(self, machine):
        """Starts the node of a machine with the command of the deploy file."""
        path = self.folder / f"{machine.name}.json"
        path.write_text(self.settings_of(machine))
        words = [word.replace("/etc/waxwinghub/settings.json", str(path)) for word in self.role["run"].split()]
        program = ROOT / words[0]
        if not program.exists():
            raise NotRun(f"{words[0]} is not built")
        with open(self.folder / f"{machine.name}.log", "ab") as log:
            machine.node = subprocess.Popen([str(program), *words[1:]], cwd=ROOT, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.processes.append(machine.node)
        self.record("node started", machine=machine.name)

    def signal_node(self, machine, number):
        """Sends a signal to the node of a machine."""
        self.record("signal", machine=machine.name, signal=signal.Signals(number).name)
        machine.node.send_signal(number)

    async def start(self, configuration):
        """Starts everything and waits until each node is ready and reaches each service."""
        for name in ("app", "ready", "outbound", "control", "first", "last"):
            for machine in self.machines:
                with socket.socket() as probe:
                    probe.bind((machine.host, PORTS[name]))
        for machine in self.machines:
            await self.store.start(machine.store_host, PORTS["store"], machine.name)
        await self.write_configuration(configuration)
        for number, machine in enumerate(self.machines):
            await machine.server.start(f"i-{number + 1:08x}")
            self.start_node(machine)
        await self.wait("all nodes are ready", self.all_ready)

    async def write_configuration(self, configuration):
        """Writes a configuration as the operator does. Returns the moment of its acknowledgement."""
        at = await self.store.write("op", "config", configuration)
        self.record("configuration acknowledged", version=configuration["version"])
        return at

    async def is_ready(self, machine):
        """Returns whether a node says that it is ready."""
        try:
            answer = await asyncio.wait_for(
                exchange(machine.host, PORTS["ready"], "GET /readyz HTTP/1.1", [("Host", "node")]), 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer.line.split(" ")[1] == "200"

    async def all_ready(self):
        """Returns whether all nodes say that they are ready."""
        return all(await asyncio.gather(*(self.is_ready(machine) for machine in self.machines)))

    async def wait(self, what, condition, timeout_s=START_TIMEOUT_S):
        """Waits until an asynchronous condition holds."""
        end = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > end:
                raise NotRun(f"timed out waiting until {what}")
            await asyncio.sleep(0.1)

    def stop(self):
        """Ends all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def run(case, case_folder, bounds):
    """Runs a case, writes record.txt into its folder, and exits with its result.

    @param case Coroutine function of a Deployment and of whether there is trouble; returns whether the rule held.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    started_at = time.monotonic()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    result = NOT_RUN
    with open(pathlib.Path(case_folder) / "record.txt", "w") as file:
        def record(what, **fields):
            fields.pop("at", None)
            file.write(f"{time.monotonic() - started_at:9.3f} {what} {json.dumps(fields)}\n")

        async def play():
            deployment = Deployment(folder, bounds, record)
            try:
                return await asyncio.wait_for(case(deployment, is_troubled), LIMIT_S)
            finally:
                deployment.stop()

        try:
            result = HELD if asyncio.run(play()) else BROKEN
        except (NotRun, OSError, asyncio.TimeoutError) as error:
            record("not run", reason=str(error) or type(error).__name__)
            traceback.print_exc()
        record("result", trouble=is_troubled, exit=result)
    if os.environ.get("KEEP_LOGS"):
        print(f"logs are in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    print({HELD: "the rule held", BROKEN: "the rule is broken", NOT_RUN: "the case could not run"}[result])
    sys.exit(result)
