#!/usr/bin/env python3
"""A randomized fault soak: real nodes and stand-ins as processes on loopback, harmed from outside by a seed.

usage: soak.py [--seed N] [--seconds S] [--seeds COUNT] [--port P] [--instances N]

Runs COUNT seeds from N on, each with faults for S seconds and a time of recovery, and checks the promises of the
pages from what callers, targets and operators see. Exit status 1 where one is broken; its logs are kept.
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
from promises import RECOVERY_BOUND_S, History, Sending, Shown, Told, broken_promises  # noqa: E402
from proxy import Proxies  # noqa: E402

CLIENTS = 8
ORDER_SHARE = 0.3
KEPT_MOST = 20           # Requests on one connection at most.
SENDINGS_MOST = 3        # Of one order; only after it was told not-run.
PAUSE_S = (0.005, 0.03)  # Between two requests of a client.
ANSWER_LIMIT_S = 10.0    # Longer than every deadline.
DEADLINE_MS = 3000
FAULT_GAP_S = 0.8        # Mean time between the beginnings of two faults.
WATCH_S = 0.25           # Between two looks at the revisions.
TAIL_S = 4.0             # Time watched after the recovery.
STORE_PORT, LINK_PORT = 5, 6  # Of an instance's proxies, counted from its first port.


class SoakLab(Lab):
    """A deployment whose links and ways to the store lead through proxies."""

    def store_port(self, instance):
        return instance.callers + STORE_PORT

    def more_listen(self, instance):
        return f"advertised_links = {HOST}:{instance.callers + LINK_PORT}\n"


def deployment(instances):
    """Describes the deployment: orders that call records."""
    each = {"instances": instances, "slots": 10, "connections": 50, "service_ms": 5}
    return {"region": "eg-north", "data_centres": ["eg-north-1", "eg-north-2"], "configuration": "examples/nilestone",
            "services": {"orders": dict(each, calls="records:/pricing/1"), "records": each}}


class Client(threading.Thread):
    """Sends requests on kept connections until it is told to stop."""

    def __init__(self, soak, number, seed):
        super().__init__(daemon=True)
        self._soak = soak
        self._number = number
        self._random = random.Random(seed)
        self._count = 0

    def run(self):
        while not self._soak.stopping.is_set():
            entry = self._random.choice(self._soak.lab.instances)
            connection = http.client.HTTPConnection(HOST, entry.callers, timeout=ANSWER_LIMIT_S)
            for _ in range(self._random.randint(1, KEPT_MOST)):
                if self._soak.stopping.is_set() or not self._send_one(connection, entry):
                    break
                time.sleep(self._random.uniform(*PAUSE_S))
            connection.close()

    def _send_one(self, connection, entry):
        """Sends a lookup, or an order until it is done or may not be sent again. False where the connection ended."""
        self._count += 1
        is_order = self._random.random() < ORDER_SHARE
        key = f"c{self._number}-{self._count}" if is_order else ""
        for sending in range(SENDINGS_MOST if is_order else 1):
            told = self._exchange(connection, entry, key, f"c{self._number}-{self._count}.{sending}")
            if told is Told.CUT:
                return False
            if told is not Told.NOT_RUN:
                break
            time.sleep(self._random.uniform(*PAUSE_S))
        return True

    def _exchange(self, connection, entry, key, request_id):
        headers = {"Host": "orders" if key else "records", "X-Request-Id": request_id,
                   "Waxwing-Deadline-Ms": str(DEADLINE_MS)}
        if key:
            headers["Idempotency-Key"] = key
        one = Sending(request_id, key, entry.name, self._soak.now(), 0.0, Told.CUT)
        try:
            if key:
                connection.request("POST", "/orders/1", body=key, headers=headers)
            else:
                connection.request("GET", "/conditions/1", headers=headers)
            answer = connection.getresponse()
            body = answer.read()
            outcome = answer.getheader("Waxwing-Outcome", "")
            one.told = Told.NOT_RUN if outcome == "not-run" else Told.UNKNOWN
            if answer.status == 200:
                one.told = Told.DONE
                one.answer_id = json.loads(body).get("request_id", "")
        except ValueError:
            one.whole = False
        except (OSError, http.client.HTTPException):
            pass
        one.ended = self._soak.now()
        self._soak.history.sendings.append(one)
        return one.told


class Soak:
    """One run: a deployment, its clients, faults and what was seen."""

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
        self._begun = time.monotonic()
        self._locks = {}
        self._starts = {}     # Number of the present start, by node.
        self._runs = {}       # By target: the counts of processes that ended, and those of the present one.
        self._changes = 0
        self._change_lock = threading.Lock()

    def now(self):
        """Gives the seconds since the run began."""
        return time.monotonic() - self._begun

    def note(self, disturbance):
        """Keeps a disturbance."""
        self.history.disturbances.append(disturbance)

    def note_failure(self, what):
        """Keeps a failure that is no promise's."""
        self.failures.append(what)

    def node_lock(self, instance):
        """Gives the lock under which a node is stopped and started."""
        return self._locks.setdefault(("node", instance.name), threading.Lock())

    def target_lock(self, instance):
        """Gives the lock under which a target is harmed."""
        return self._locks.setdefault(("target", instance.name), threading.Lock())

    def start_again(self, instance):
        """Starts an instance's node again."""
        self._starts[instance.name] = self._starts.get(instance.name, 0) + 1
        self.lab.start_node(instance)

    def start_target_again(self, instance):
        """Starts an instance's target again and waits until it listens."""
        self.lab.start_target(instance)
        self.lab.wait(f"the target of {instance.name} listens", lambda: self.count_runs(instance) is not None)

    def order(self, instance, faults):
        """Orders faults at one target."""
        try:
            request("POST", instance.target, "/faults", faults)
        except OSError as failure:
            self.note_failure(f"the target of {instance.name} took no order: {failure}")

    def count_runs(self, instance, last=False):
        """Reads what a target ran; gives the total of its present process, or none where it does not answer."""
        ended, _ = self._runs.get(instance.name, ([], None))
        try:
            counted = json.loads(request("GET", instance.target, "/executions", timeout=1.0)[1])
        except (OSError, ValueError):
            return None
        if last:
            self.history.targets_lost = True
            self._runs[instance.name] = (ended + [counted], None)
        else:
            self._runs[instance.name] = (ended, counted)
        return counted["total"]

    def drain(self, instance, undo=False):
        """Drains a target, or takes it back. Gives whether that was acknowledged."""
        return self.lab.control_tool("drain", *(["--undo"] if undo else []), node=instance).returncode == 0

    def publish_change(self, instance):
        """Publishes the next change by a node. Gives its revision where it was accepted."""
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

    def _watch(self):
        """Looks at the revisions and counts until the run ends."""
        while not self.stopping.is_set():
            for instance in self.lab.instances:
                start = self._starts.get(instance.name, 0)
                status = self.lab.status(instance)
                if "revision" in status and start == self._starts.get(instance.name, 0):
                    self.history.shown.append(Shown(instance.name, start, self.now(), status["revision"]))
                self.count_runs(instance)
            time.sleep(WATCH_S)

    def _harm(self):
        """Begins faults by the seed for the given time, and waits until all are undone."""
        drawn = random.Random(self.seed)
        faults = Faults(self, drawn.random())
        running = []
        end = self.now() + self.seconds
        while self.now() < end:
            time.sleep(min(drawn.expovariate(1.0 / FAULT_GAP_S), 4 * FAULT_GAP_S))
            one = threading.Thread(target=faults.draw())
            one.start()
            running.append(one)
        for one in running:
            one.join()
        self.history.faults_ended = self.now()

    def run(self):
        """Runs it; gives what is broken."""
        proxies = Proxies()
        try:
            for one in self.lab.instances:
                self.store_proxies[one.name] = proxies.add(one.callers + STORE_PORT, self.lab.platform_port)
                self.link_proxies[one.name] = proxies.add(one.callers + LINK_PORT, one.links)
            self.lab.start()
            threads = [Client(self, number, self.seed * 1000 + number) for number in range(CLIENTS)]
            threads.append(threading.Thread(target=self._watch, daemon=True))
            for thread in threads:
                thread.start()
            self._harm()
            time.sleep(RECOVERY_BOUND_S + TAIL_S)
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
            for counted in ended + ([present] if present else []):
                self.history.total_runs += counted["total"]
                for key, count in counted["by_key"].items():
                    self.history.runs[key] = self.history.runs.get(key, 0) + count


def summary(soak, broken):
    """Describes a run on one line."""
    told = {one.value: sum(1 for sent in soak.history.sendings if sent.told is one) for one in Told}
    return json.dumps({"seed": soak.seed, "broken": len(broken), "requests": len(soak.history.sendings), **told,
                       "faults": len(soak.history.disturbances), "revisions": len(soak.history.accepted),
                       "drains": len(soak.history.drains), "runs": soak.history.total_runs})


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--port", type=int, default=26000)
    parser.add_argument("--instances", type=int, default=3)
    given = parser.parse_args()
    failed = False
    for seed in range(given.seed, given.seed + given.seeds):
        soak = Soak(seed, given.seconds, given.port, given.instances)
        broken = soak.run()
        print(summary(soak, broken), flush=True)
        if not broken:
            shutil.rmtree(soak.folder)
            continue
        failed = True
        for what in broken:
            print(f"  {what}", flush=True)
        timeline = [f"{one.begun:8.2f} {one.ended:8.2f} {one.node:12} {one.what}" for one in soak.history.disturbances]
        (soak.folder / "faults.txt").write_text("\n".join(timeline) + "\n")
        print(f"  logs and faults.txt are in {soak.folder}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
