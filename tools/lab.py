"""Runs a deployment of nodes, stand-in targets and a stand-in platform as processes on loopback."""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("WAXWING_BUILD", ROOT / "build"))
HOST = "127.0.0.1"
PORTS_PER_INSTANCE = 10
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 15.0
OPERATOR_TOKEN = "demonstration-operator-token"
SHARED_KEY = "demonstration-shared-key"


class LabError(Exception):
    """A process of the deployment failed or did not reach the expected state in time."""


def request(method, port, path, body=None, headers=None, timeout=5.0):
    """Sends one HTTP request to loopback. Returns the status and the decoded body."""
    data = None if body is None else json.dumps(body).encode()
    http_request = urllib.request.Request(f"http://{HOST}:{port}{path}", data=data, method=method)
    for name, value in (headers or {}).items():
        http_request.add_header(name, value)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(http_request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class Instance:
    """One target with its node, and their ports."""

    def __init__(self, name, service, data_centre, base_port):
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.callers, self.links, self.gossip, self.operators, self.target = range(base_port, base_port + 5)
        self.node_process = None
        self.target_process = None


class Lab:
    """A deployment as processes; a context manager that starts and stops them."""

    def __init__(self, deployment, base_port=21000, control="full", folder=None, quiet=True):
        self.deployment = deployment
        self.control = control
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="waxwing-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.platform_port = base_port
        self.platform_process = None
        self.processes = []
        self.instances = []
        port = base_port + PORTS_PER_INSTANCE
        centres = deployment["data_centres"]
        for service, service_settings in deployment["services"].items():
            for number in range(service_settings["instances"]):
                name = f"{service}-{number + 1}"
                self.instances.append(Instance(name, service, centres[number % len(centres)], port))
                port += PORTS_PER_INSTANCE

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def spawn(self, name, *arguments):
        """Starts a program; its output is appended to NAME.log in the folder."""
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen([str(word) for word in arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.processes.append(process)
        return process

    def start(self):
        """Starts all processes, publishes the configuration, and waits until all_ready()."""
        self.start_platform()
        for instance in self.instances:
            self.start_target(instance)
            self.start_node(instance)
        self.wait("every node listens", lambda: all(self.life(one) is not None for one in self.instances))
        self.publish(self.deployment["configuration"])
        self.wait("every node serves", self.all_ready)

    def start_platform(self):
        """Starts the stand-in platform."""
        self.platform_process = self.spawn(
            "platform", BUILD / "standin_platform", f"--listen={HOST}:{self.platform_port}")

    def start_target(self, instance):
        """Starts the stand-in target of an instance."""
        service_settings = self.deployment["services"][instance.service]
        arguments = [BUILD / "standin_target", f"--service={instance.service}", f"--listen={HOST}:{instance.target}",
                     f"--node={HOST}:{instance.callers}", f"--announce={HOST}:{instance.operators}",
                     f"--slots={service_settings['slots']}", f"--connections={service_settings['connections']}",
                     f"--service-ms={service_settings['service_ms']}"]
        if service_settings.get("calls"):
            arguments.append(f"--calls={service_settings['calls']}")
        arguments += service_settings.get("options", [])
        instance.target_process = self.spawn(f"target-{instance.name}", *arguments)

    def start_node(self, instance):
        """Writes the settings of an instance's node and starts it."""
        path = self.folder / f"{instance.name}.ini"
        path.write_text(
            f"[node]\nname = {instance.name}\nregion = {self.deployment['region']}\n"
            f"data_centre = {instance.data_centre}\ncontrol = {self.control}\nstop_limit = 20s\n"
            f"charts = {ROOT / 'charts'}\n"
            f"[listen]\ncallers = {HOST}:{instance.callers}\nlinks = {HOST}:{instance.links}\n"
            f"gossip = {HOST}:{instance.gossip}\noperators = {HOST}:{instance.operators}\n"
            f"caller_connections = 4000\n{self.extra_listen_settings(instance)}"
            f"[platform]\nstore = {HOST}:{self.store_port(instance)}\n"
            f"[security]\nshared_key = {SHARED_KEY}\noperator_token = {OPERATOR_TOKEN}\n"
            f"[target]\nservice = {instance.service}\n")
        instance.node_process = self.spawn(f"node-{instance.name}", BUILD / "waxwingd", f"--settings={path}")

    def store_port(self, _instance):
        """Returns the port at which a node connects to the store."""
        return self.platform_port

    def extra_listen_settings(self, _instance):
        """Returns additional lines for the section `listen` of the settings of a node."""
        return ""

    def wait(self, what, condition, timeout_s=START_TIMEOUT_S):
        """Waits until the condition holds.

        @param what The awaited state, for the error message.
        """
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                raise LabError(f"timed out after {timeout_s:.0f} s waiting until {what}; logs are in {self.folder}")
            time.sleep(POLL_INTERVAL_S)

    def life(self, instance):
        """Returns the state of the node of an instance, or None if it does not respond."""
        try:
            _, body = request("GET", instance.operators, "/health")
            return json.loads(body)["life"]
        except (OSError, ValueError, KeyError):
            return None

    def status(self, instance):
        """Returns the status of the node of an instance; empty if it does not respond."""
        try:
            return json.loads(request("GET", instance.operators, "/v1/status")[1])
        except (OSError, ValueError):
            return {}

    def all_ready(self):
        """Returns whether every node serves, has a ready target, and sees the targets of all others as ready."""
        for instance in self.instances:
            status = self.status(instance)
            ready = [one for one in status.get("members", []) if one["target"] == "ready"]
            if status.get("life") != "serving" or status.get("target") != "ready":
                return False
            if len(ready) < len(self.instances) - 1:
                return False
        return True

    def control_tool(self, *arguments, node=None):
        """Runs waxwingctl against a node, by default the first. Returns the completed process."""
        environment = dict(os.environ, WAXWING_TOKEN=OPERATOR_TOKEN)
        address = f"--node={HOST}:{(node or self.instances[0]).operators}"
        return subprocess.run([str(BUILD / "waxwingctl"), *map(str, arguments[:1]), address, *map(str, arguments[1:])],
                              env=environment, capture_output=True, text=True, timeout=60)

    def publish(self, folder):
        """Publishes the configuration in the INI files of a folder."""
        files = sorted((ROOT / folder).glob("*.ini"))
        completed = self.control_tool("apply", "--wait", "--why=start", *files)
        if completed.returncode != 0:
            raise LabError(f"waxwingctl apply failed ({completed.returncode}): {completed.stdout}{completed.stderr}")

    def fault(self, service, **faults):
        """Sets the faults of all targets of a service."""
        for instance in self.instances:
            if instance.service == service:
                request("POST", instance.target, "/faults", faults)

    def platform_fault(self, **faults):
        """Sets the faults of the stand-in platform. Returns the status of its answer."""
        return request("POST", self.platform_port, "/faults", faults)[0]

    def kill(self, process, signal_number=signal.SIGKILL):
        """Sends a signal to a process of this deployment, if it still runs."""
        if process in self.processes and process.poll() is None:
            process.send_signal(signal_number)

    def stop(self):
        """Terminates all processes that were started, and kills those that do not exit in time."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        end = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes:
            try:
                process.wait(timeout=max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    def run_load(self, plan, seed=1, on_line=None, orders=()):
        """Runs the load generator. Returns its lines of output.

        @param on_line Called with each line.
        @param orders Pairs of a time in seconds and a function to call at that time.
        """
        plan = dict(plan, entries=[f"{HOST}:{one.callers}" for one in self.instances],
                    targets=[f"{HOST}:{one.target}" for one in self.instances])
        path = self.folder / "plan.json"
        path.write_text(json.dumps(plan))
        process = subprocess.Popen([str(BUILD / "bench_load"), f"--plan={path}", f"--seed={seed}"],
                                   stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        pending = sorted(orders, key=lambda one: one[0])
        lines = []
        for text in process.stdout:
            line = json.loads(text)
            lines.append(line)
            while pending and line.get("t", 1e9) >= pending[0][0]:
                pending.pop(0)[1]()
            if on_line is not None:
                on_line(line)
        process.wait()
        return lines
