"""Tests with waxwingd processes of a deployment that fails closed: an outage of the store, and a node that was frozen
while a key was withdrawn.

The tests wait for states with generous timeouts. The one fixed wait is the revocation timeout itself.
"""

import concurrent.futures
import hashlib
import pathlib
import shutil
import signal
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tools"))
from lab import ROOT, Lab  # noqa: E402
from process_test import call  # noqa: E402

BASE_PORT = 28600
REVOCATION_TIMEOUT_S = 5.0
DEPLOYMENT = {
    "region": "eg-north",
    "data_centres": ["eg-north-1", "eg-north-2"],
    "configuration": "examples/nilestone",
    "services": {"records": {"instances": 4, "slots": 10, "connections": 50, "service_ms": 5}},
}


class ClosedLab(Lab):
    """A deployment whose nodes refuse keys while their configuration is not known to be current."""

    def extra_listen_settings(self, _instance):
        return f"[organisations]\nfail_closed = yes\nrevocation_timeout = {REVOCATION_TIMEOUT_S:.0f}s\n"


class FailClosed(unittest.TestCase):
    """Each test starts a deployment of its own, with an organisation that holds the keys `kept` and `withdrawn`."""

    port = BASE_PORT

    def setUp(self):
        FailClosed.port += 100
        self.lab = ClosedLab(DEPLOYMENT, base_port=FailClosed.port)
        self.addCleanup(self.lab.stop)
        self.folder = self.lab.folder / "configuration"
        shutil.copytree(ROOT / DEPLOYMENT["configuration"], self.folder)
        self.write_keys("kept", "withdrawn")
        self.lab.deployment = dict(DEPLOYMENT, configuration=self.folder)
        self.lab.start()
        self.lab.wait("all nodes accept keys", lambda: self.all_answer("kept", 200, "none"))

    def write_keys(self, *keys):
        """Writes the configuration in which the organisation holds the given keys."""
        hashes = " ".join(hashlib.sha256(f":{key}".encode()).hexdigest()[:32] for key in keys)
        (self.folder / "organisations.ini").write_text(f"[organisation club]\nkeys = {hashes}\n")

    def ask(self, instance, key):
        """Sends a request with a key. Returns its status and the rule that refused it, or None."""
        answer = call(instance.callers, "records", "GET", "/conditions/1", headers={"Authorization": f"Bearer {key}"})
        return answer and (answer[0], answer[1].get("waxwing-rule", "none"))

    def all_answer(self, key, status, rule):
        """Returns whether every node answers a request with the key so."""
        return all(self.ask(one, key) == (status, rule) for one in self.lab.instances)

    def log_of(self, instance):
        """Returns the log of the node of an instance."""
        return (self.lab.folder / f"node-{instance.name}.log").read_text()

    def test_without_the_store_all_nodes_refuse_keys_until_it_is_back(self):
        self.lab.kill(self.lab.platform_process, signal.SIGSTOP)
        self.lab.wait("all nodes refuse", lambda: self.all_answer("kept", 503, "keys-unconfirmed"))
        self.lab.kill(self.lab.platform_process, signal.SIGCONT)
        self.lab.wait("all nodes accept again", lambda: self.all_answer("kept", 200, "none"))
        for instance in self.lab.instances:
            self.assertIn("W505", self.log_of(instance))
            self.assertIn("W506", self.log_of(instance))

    def test_a_node_that_was_frozen_runs_nothing_for_a_key_withdrawn_meanwhile(self):
        frozen, other = self.lab.instances[0], self.lab.instances[1]
        self.assertEqual(self.ask(frozen, "withdrawn"), (200, "none"))
        self.lab.kill(frozen.node_process, signal.SIGSTOP)
        self.write_keys("kept")
        files = sorted(self.folder.glob("*.ini"))
        applied = self.lab.control_tool("apply", "--base=1", "--why=withdrawn", *files, node=other)
        self.assertEqual(applied.returncode, 0, applied.stderr)
        time.sleep(REVOCATION_TIMEOUT_S)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            sent = [pool.submit(self.ask, frozen, "withdrawn") for _ in range(8)]
            time.sleep(0.3)
            self.lab.kill(frozen.node_process, signal.SIGCONT)
            for answer in sent:
                self.assertIn(answer.result(), [(503, "keys-unconfirmed"), (401, "unknown-key")])
        self.lab.wait("the key is unknown", lambda: self.all_answer("withdrawn", 401, "unknown-key"))
        self.lab.wait("the other key is accepted", lambda: self.all_answer("kept", 200, "none"))


if __name__ == "__main__":
    unittest.main()
