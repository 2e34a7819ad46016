#!/usr/bin/env python3
"""Randomised fault injection into a deployment of real nodes and stand-ins as processes on loopback.

usage: soak.py [--seed N] [--seconds S] [--seeds COUNT] [--port P] [--instances N]

Runs COUNT consecutive seeds from N, each with faults for S seconds followed by a recovery period, and checks the
documented promises against what callers, targets and operators observe. Exits with status 1 if one is broken; the
logs of that run are kept.
"""

import argparse
import http.client
import json
import pathlib
import random
import re
import shutil
import sys
import tempfile
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent / "tools")]
from faults import Faults  # noqa: E402
from lab import HOST, ROOT, Lab, request  # noqa: E402
from promises import RECOVERY_BOUND_S, History, Attempt, RevisionSample, Outcome, broken_promises  # noqa: E402
from proxy import Proxies  # noqa: E402

CLIENTS = 8
ORDER_RATIO = 0.3
MAX_REQUESTS_PER_CONNECTION = 20
CALLER = "club-portal"     # A caller whose rate at one entry node admits all clients.
MAX_ATTEMPTS = 3           # Per order; it is sent again only after a not-run response.
PAUSE_S = (0.005, 0.03)    # Range of the pause between two requests of a client.
RESPONSE_TIMEOUT_S = 10.0  # Longer than every deadline of a request.
DEADLINE_MS = 3000
MEAN_FAULT_INTERVAL_S = 0.8   # Mean time between the starts of two faults.
SAMPLE_INTERVAL_S = 0.25      # Between two samples of revisions and run counts.
TAIL_DURATION_S = 4.0         # Observation time after RECOVERY_BOUND_S.
STORE_PORT, LINK_PORT = 5, 6  # Offsets of the proxy ports of an instance from its first port.


class SoakLab(Lab):
    """A deployment whose links and store connections go through proxies."""

    def store_port(self, instance):
        return instance.callers + STORE_PORT

    def extra_listen_settings(self, instance):
        return f"advertised_links = {HOST}:{instance.callers + LINK_PORT}\n"


def deployment(instances):
    """Returns the deployment: the service orders, which calls the service records."""
    each = {"instances": instances, "slots": 10, "connections": 50, "service_ms": 5}
    return {"region": "eg-north", "data_centres": ["eg-north-1", "eg-north-2"], "configuration": "examples/nilestone",
            "services": {"orders": dict(each, calls="records:/pricing/1"), "records": each}}


class Client(threading.Thread):
    """Sends requests on persistent connections until the run stops."""

    def __init__(self, soak, number, seed):
        super().__init__(daemon=True)
        self._soak = soak
        self._number = number
        self._random = random.Random(seed)
        self._count = 0
        self._keeps_connections = number % 2 == 0  # Whether a connection is used until it ends.

    def run(self):
        while not self._soak.stopping.is_set():
            entry = self._random.choice(self._soak.lab.instances)
            connection = http.client.HTTPConnection(HOST, entry.callers, timeout=RESPONSE_TIMEOUT_S)
            planned = self._random.randint(1, MAX_REQUESTS_PER_CONNECTION)
            for _ in range(sys.maxsize if self._keeps_connections else planned):
                if self._soak.stopping.is_set() or not self._send_one(connection, entry):
                    break
                time.sleep(self._random.uniform(*PAUSE_S))
            connection.close()

    def _send_one(self, connection, entry):
        """Sends a lookup, or an order with retries as long as these are safe. Returns False if the connection ended."""
        self._count += 1
        is_order = self._random.random() < ORDER_RATIO
        key = f"c{self._number}-{self._count}" if is_order else ""
        for attempt in range(MAX_ATTEMPTS if is_order else 1):
            outcome = self._exchange(connection, entry, key, f"c{self._number}-{self._count}.{attempt}")
            if outcome is Outcome.CUT:
                return False
            if outcome is not Outcome.NOT_RUN:
                break
            time.sleep(self._random.uniform(*PAUSE_S))
        return True

    def _exchange(self, connection, entry, key, request_id):
        headers = {"Host": "orders" if key else "records", "X-Request-Id": request_id,
                   "Waxwing-Deadline-Ms": str(DEADLINE_MS)}
        if self._keeps_connections:
            headers["Waxwing-Caller"] = CALLER
        if key:
            headers["Idempotency-Key"] = key
        one = Attempt(request_id, key, entry.name, self._soak.now(), 0.0, Outcome.CUT)
        try:
            if key:
                connection.request("POST", "/orders/1", body=key, headers=headers)
            else:
                connection.request("GET", "/conditions/1", headers=headers)
            response = connection.getresponse()
            body = response.read()
            outcome_header = response.getheader("Waxwing-Outcome", "")
            one.outcome = Outcome.NOT_RUN if outcome_header == "not-run" else Outcome.UNKNOWN
            if response.status == 200:
                one.outcome = Outcome.DONE
                one.response_id = json.loads(body).get("request_id", "")
        except ValueError:
            one.is_complete = False
        except (OSError, http.client.HTTPException):
            pass
        one.ended_at = self._soak.now()
        self._soak.history.attempts.append(one)
        return one.outcome


class Soak:
    """One run: a deployment, its clients, its faults and the observed history."""

    def __init__(self, seed, seconds, port, instances):
        self.seed = seed
        self.seconds = seconds
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"waxwing-soak-{seed}-"))
        self.lab = SoakLab(deployment(instances), base_port=port, folder=self.folder)
        self.history = History()
        self.stopping = threading.Event()
        self.failures = []
        self.link_proxies = {}
        self.store_proxies = {}
        self._started_at = time.monotonic()
        self._locks = {}
        self._starts = {}     # Sequence number of the current process, by node.
        self._runs = {}       # By target: counts of its ended processes, and of the current one.
        self._changes = 0
        self._change_lock = threading.Lock()

    def now(self):
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def record_disturbance(self, disturbance):
        """Records a disturbance."""
        self.history.disturbances.append(disturbance)

    def record_failure(self, what):
        """Records a failure that belongs to none of the promises."""
        self.failures.append(what)

    def node_lock(self, instance):
        """Returns the lock to hold while a node is stopped or started."""
        return self._locks.setdefault(("node", instance.name), threading.Lock())

    def target_lock(self, instance):
        """Returns the lock to hold while a fault is injected into a target."""
        return self._locks.setdefault(("target", instance.name), threading.Lock())

    def restart_node(self, instance):
        """Restarts the node of an instance."""
        self._starts[instance.name] = self._starts.get(instance.name, 0) + 1
        self.lab.start_node(instance)

    def restart_target(self, instance):
        """Restarts the target of an instance and waits until it listens."""
        self.lab.start_target(instance)
        self.lab.wait(f"the target of {instance.name} listens", lambda: self.count_runs(instance) is not None)

    def set_faults(self, instance, faults):
        """Sets the faults of one target."""
        try:
            request("POST", instance.target, "/faults", faults)
        except OSError as failure:
            self.record_failure(f"the target of {instance.name} did not accept the faults: {failure}")

    def count_runs(self, instance, last=False):
        """Reads the run counts of a target. Returns the total of its current process, or None if it does not respond.

        @param last Whether the process is about to be killed, so that its counts are final.
        """
        ended, _ = self._runs.get(instance.name, ([], None))
        try:
            run_counts = json.loads(request("GET", instance.target, "/executions", timeout=1.0)[1])
        except (OSError, ValueError):
            return None
        if last:
            self.history.targets_lost = True
            self._runs[instance.name] = (ended + [run_counts], None)
        else:
            self._runs[instance.name] = (ended, run_counts)
        return run_counts["total"]

    def drain(self, instance, undo=False):
        """Starts or ends the drain of a target. Returns whether the node acknowledged it."""
        return self.lab.control_tool("drain", *(["--undo"] if undo else []), node=instance).returncode == 0

    def publish_change(self, instance):
        """Publishes a change through a node. Returns the new revision, or None if it was not accepted."""
        with self._change_lock:
            self._changes += 1
            folder = self.folder / f"change-{self._changes}"
            shutil.copytree(ROOT / self.lab.deployment["configuration"], folder)
            callers = folder / "callers.ini"
            callers.write_text(callers.read_text().replace("rate = 2000", f"rate = {2000 + self._changes}"))
            base = self.lab.status(instance).get("revision", 0)
            files = sorted(folder.glob("*.ini"))
            done = self.lab.control_tool("apply", "--why=soak", f"--base={base}", *files, node=instance)
            found = re.search(r"revision (\d+)", done.stdout)
            return int(found.group(1)) if done.returncode == 0 and found else None

    def _sample(self):
        """Samples revisions and run counts until the run ends."""
        while not self.stopping.is_set():
            for instance in self.lab.instances:
                start = self._starts.get(instance.name, 0)
                status = self.lab.status(instance)
                if "revision" in status and start == self._starts.get(instance.name, 0):
                    self.history.shown.append(RevisionSample(instance.name, start, self.now(), status["revision"]))
                self.count_runs(instance)
            time.sleep(SAMPLE_INTERVAL_S)

    def _inject_faults(self):
        """Injects faults drawn from the seed for the duration of the run and waits until all are undone."""
        seed_random = random.Random(self.seed)
        faults = Faults(self, seed_random.random())
        running = []
        end = self.now() + self.seconds
        while self.now() < end:
            time.sleep(min(seed_random.expovariate(1.0 / MEAN_FAULT_INTERVAL_S), 4 * MEAN_FAULT_INTERVAL_S))
            one = threading.Thread(target=faults.draw())
            one.start()
            running.append(one)
        for one in running:
            one.join()
        self.history.faults_ended_at = self.now()

    def run(self):
        """Executes the run. Returns descriptions of all failures and broken promises."""
        proxies = Proxies()
        try:
            for one in self.lab.instances:
                self.store_proxies[one.name] = proxies.add(one.callers + STORE_PORT, self.lab.platform_port)
                self.link_proxies[one.name] = proxies.add(one.callers + LINK_PORT, one.links)
            self.lab.start()
            threads = [Client(self, number, self.seed * 1000 + number) for number in range(CLIENTS)]
            threads.append(threading.Thread(target=self._sample, daemon=True))
            for thread in threads:
                thread.start()
            self._inject_faults()
            time.sleep(RECOVERY_BOUND_S + TAIL_DURATION_S)
            self.stopping.set()
            for thread in threads:
                thread.join()
            self._sum_runs()
        finally:
            self.stopping.set()
            self.lab.stop()
            proxies.stop()
        return self.failures + broken_promises(self.history)

    def _sum_runs(self):
        for instance in self.lab.instances:
            self.count_runs(instance)
        for ended, present in self._runs.values():
            for run_counts in ended + ([present] if present else []):
                self.history.total_runs += run_counts["total"]
                for key, count in run_counts["by_key"].items():
                    self.history.runs[key] = self.history.runs.get(key, 0) + count


def summary(soak, broken):
    """Returns the summary of a run as one line of JSON."""
    counts = {one.value: sum(1 for attempt in soak.history.attempts if attempt.outcome is one) for one in Outcome}
    return json.dumps({"seed": soak.seed, "broken": len(broken), "requests": len(soak.history.attempts), **counts,
                       "faults": len(soak.history.disturbances), "revisions": len(soak.history.accepted),
                       "drains": len(soak.history.drains), "runs": soak.history.total_runs})


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--port", type=int, default=26000)
    parser.add_argument("--instances", type=int, default=3)
    options = parser.parse_args()
    failed = False
    for seed in range(options.seed, options.seed + options.seeds):
        soak = Soak(seed, options.seconds, options.port, options.instances)
        broken = soak.run()
        print(summary(soak, broken), flush=True)
        if not broken:
            shutil.rmtree(soak.folder)
            continue
        failed = True
        for what in broken:
            print(f"  {what}", flush=True)
        timeline = [f"{one.started_at:8.2f} {one.ended_at:8.2f} {one.node:12} {one.what}"
                    for one in soak.history.disturbances]
        (soak.folder / "faults.txt").write_text("\n".join(timeline) + "\n")
        print(f"  logs and faults.txt are in {soak.folder}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
