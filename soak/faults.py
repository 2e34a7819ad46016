"""Fault injection of the soak: each fault is one function that returns when its effect is undone."""

import random
import signal
import threading
import time

from promises import Accepted, Disturbance, Drain, DRAIN_BOUND_S
from proxy import Mode

LINK_MODES = (Mode.DELAY, Mode.CUT_TO, Mode.CUT_FROM, Mode.SILENT, Mode.REFUSE)
MAX_FREEZE_S = 6.0  # Longer than the suspicion timeout and every timeout of a link.
MIN_FAULT_S = 0.3
MAX_FAULT_S = 4.0
MAX_COPY_AGE_S = 6.0    # Age of the copy from which the store is restored.
MAX_RESTORE_S = 2.0     # Outage of the store while it is restored.
SERIES_LENGTH = (2, 5)  # Range of the number of faults in a series.
MAX_SERIES_NODES = 2
MAX_SERIES_FAULT_S = 1.5
MAX_SERIES_PAUSE_S = 0.5
STOP_TIMEOUT_S = 25.0          # Slightly longer than the `stop_limit` of the nodes.
DRAIN_SAMPLE_DURATION_S = 1.5  # A drained target is sampled for this long after DRAIN_BOUND_S.
DRAIN_SAMPLE_INTERVAL_S = 0.1


class Faults:
    """Injects random faults into the deployment of a soak, from a random source of its own."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed)
        self._copy_lock = threading.Lock()
        self._kinds = (
            (3, self.kill_node), (3, self.freeze_node), (3, self.stop_node), (1, self.reload_node),
            (1, self.kill_target), (2, self.slow_target), (2, self.failing_target), (1, self.shedding_target),
            (3, self.impair_links), (1, self.reset_links), (2, self.impair_store_connection), (1, self.store_down),
            (1, self.store_slow), (1, self.store_loses_answers), (2, self.change_configuration), (1, self.drain_target),
            (2, self.restore_store), (1, self.series_of_signals), (1, self.series_of_restarts),
            (1, self.series_of_changes),
        )

    def draw(self):
        """Draws a fault. Returns a function that injects it, to be called on a thread of its own.

        All random numbers are drawn here, so they do not depend on the timing of the threads.
        """
        kinds = [kind for weight, kind in self._kinds for _ in range(weight)]
        kind = self._random.choice(kinds)
        instance = self._random.choice(self._soak.lab.instances)
        duration_s = self._random.uniform(MIN_FAULT_S, MAX_FAULT_S)
        fault_random = random.Random(self._random.random())

        def inject():
            try:
                kind(instance, duration_s, fault_random)
            except Exception as failure:
                self._soak.record_failure(f"the fault {kind.__name__} at {instance.name} failed: {failure!r}")

        return inject

    def _disturb(self, what, node, duration_s, undo, planned=False):
        """Records a disturbance, undoes it after the given seconds and records its end."""
        disturbance = Disturbance(what, node, self._soak.now(), float("inf"), planned)
        self._soak.record_disturbance(disturbance)
        time.sleep(duration_s)
        undo()
        disturbance.ended_at = self._soak.now()

    def kill_node(self, instance, duration_s, _random):
        """Kills a node and starts it again."""
        with self._soak.node_lock(instance):
            self._soak.lab.kill(instance.node_process, signal.SIGKILL)
            self._disturb("kill", instance.name, duration_s / 2, lambda: self._soak.restart_node(instance))

    def freeze_node(self, instance, duration_s, _random):
        """Stops the process of a node with SIGSTOP and continues it later."""
        with self._soak.node_lock(instance):
            frozen_process = instance.node_process
            self._soak.lab.kill(frozen_process, signal.SIGSTOP)
            self._disturb("freeze", instance.name, duration_s / MAX_FAULT_S * MAX_FREEZE_S,
                          lambda: self._soak.lab.kill(frozen_process, signal.SIGCONT))

    def stop_node(self, instance, _lasts, _random):
        """Stops a node with SIGTERM and starts it again."""
        with self._soak.node_lock(instance):
            stopping_process = instance.node_process
            not_listening = self._soak.lab.life(instance) is None

            def wait_and_start():
                code = stopping_process.wait(timeout=STOP_TIMEOUT_S)
                # SIGTERM may kill a node that is not listening yet: it has accepted no requests.
                if code != 0 and not (not_listening and code == -signal.SIGTERM):
                    self._soak.record_failure(f"the node {instance.name} ended its planned stop with {code}")
                self._soak.restart_node(instance)

            self._soak.lab.kill(stopping_process, signal.SIGTERM)
            self._disturb("planned stop", instance.name, 0.0, wait_and_start, planned=True)

    def reload_node(self, instance, _lasts, _random):
        """Makes a node reload its settings, which are unchanged."""
        with self._soak.node_lock(instance):
            if self._soak.lab.life(instance) is not None:
                self._soak.lab.kill(instance.node_process, signal.SIGHUP)

    def kill_target(self, instance, duration_s, _random):
        """Kills a target and starts it again."""
        with self._soak.target_lock(instance):
            self._soak.count_runs(instance, last=True)
            self._soak.lab.kill(instance.target_process, signal.SIGKILL)
            self._disturb("target killed", instance.name, duration_s / 2, lambda: self._soak.restart_target(instance))

    def _impair_target(self, what, instance, duration_s, fault_settings, normal_settings):
        with self._soak.target_lock(instance):
            self._soak.set_faults(instance, fault_settings)
            self._disturb(what, instance.name, duration_s, lambda: self._soak.set_faults(instance, normal_settings))

    def slow_target(self, instance, duration_s, _random):
        """Makes a target twenty times slower."""
        self._impair_target("slow target", instance, duration_s, {"service_factor": 20}, {"service_factor": 1})

    def failing_target(self, instance, duration_s, _random):
        """Makes a target fail 40 % of its runs."""
        self._impair_target("failing target", instance, duration_s, {"failure_share": 0.4}, {"failure_share": 0.0})

    def shedding_target(self, instance, duration_s, _random):
        """Makes a target refuse all requests."""
        self._impair_target("shedding target", instance, duration_s, {"sheds_all": True}, {"sheds_all": False})

    def _impair(self, what, instance, proxy, duration_s, fault_random):
        mode = fault_random.choice(LINK_MODES)
        proxy.set(mode, delay_s=0.2)
        self._disturb(f"{what} {mode.value}", instance.name, duration_s, lambda: proxy.set(Mode.PASS))

    def impair_links(self, instance, duration_s, fault_random):
        """Delays, cuts, stalls or refuses the links that other nodes open to a node."""
        self._impair("links", instance, self._soak.link_proxies[instance.name], duration_s, fault_random)

    def impair_store_connection(self, instance, duration_s, fault_random):
        """Delays, cuts, stalls or refuses the connections of a node to the store."""
        self._impair("store", instance, self._soak.store_proxies[instance.name], duration_s, fault_random)

    def reset_links(self, instance, _lasts, _random):
        """Resets the open links to a node."""
        self._soak.link_proxies[instance.name].reset()
        self._disturb("links reset", instance.name, 0.0, lambda: None)

    def _impair_store(self, what, duration_s, fault_settings, normal_settings):
        self._soak.lab.platform_fault(**fault_settings)
        self._disturb(what, "", duration_s, lambda: self._soak.lab.platform_fault(**normal_settings))

    def store_down(self, _instance, duration_s, _random):
        """Makes the store respond with 503."""
        self._impair_store("store down", duration_s, {"down": True}, {"down": False})

    def store_slow(self, _instance, duration_s, _random):
        """Makes the store respond with a delay."""
        self._impair_store("store slow", duration_s, {"slow_ms": 700}, {"slow_ms": 0})

    def store_loses_answers(self, _instance, duration_s, _random):
        """Makes the store apply some writes without responding."""
        self._impair_store("store loses answers", duration_s, {"lose_answers": 0.3}, {"lose_answers": 0.0})

    def restore_store(self, _instance, duration_s, fault_random):
        """Copies the store, and some seconds later restores it from that copy in a short outage."""
        with self._copy_lock:  # The store keeps one copy.
            self._soak.lab.platform_fault(copy=True)
            time.sleep(fault_random.uniform(0.0, MAX_COPY_AGE_S))
            self._impair_store("store restored", duration_s / MAX_FAULT_S * MAX_RESTORE_S,
                               {"down": True, "restore": True}, {"down": False})

    def _series(self, kinds, instance, fault_random):
        """Injects several faults in a row on one or more nodes."""
        nodes = [instance] + fault_random.sample(self._soak.lab.instances,
                                                 fault_random.randint(0, MAX_SERIES_NODES - 1))
        for _ in range(fault_random.randint(*SERIES_LENGTH)):
            kind = fault_random.choice(kinds)
            kind(fault_random.choice(nodes), fault_random.uniform(MIN_FAULT_S, MAX_SERIES_FAULT_S), fault_random)
            time.sleep(fault_random.uniform(0.0, MAX_SERIES_PAUSE_S))

    def series_of_signals(self, instance, _lasts, fault_random):
        """Sends several signals to nodes: SIGHUP, or SIGSTOP and SIGCONT."""
        self._series((self.reload_node, self.freeze_node), instance, fault_random)

    def series_of_restarts(self, instance, _lasts, fault_random):
        """Kills or stops nodes several times and starts them again."""
        self._series((self.kill_node, self.stop_node), instance, fault_random)

    def series_of_changes(self, instance, _lasts, fault_random):
        """Publishes several revisions."""
        self._series((self.change_configuration,), instance, fault_random)

    def change_configuration(self, instance, _lasts, _random):
        """Publishes a new revision through one of the nodes."""
        revision = self._soak.publish_change(instance)
        if revision is not None:
            self._soak.history.accepted.append(Accepted(revision, self._soak.now()))

    def drain_target(self, instance, duration_s, _random):
        """Drains a target, samples its run count, and ends the drain."""
        with self._soak.node_lock(instance), self._soak.target_lock(instance):
            if not self._soak.drain(instance):
                return
            drain = Drain(instance.name, self._soak.now(), [])
            disturbance = Disturbance("drain", instance.name, drain.acknowledged_at, float("inf"), planned=True)
            self._soak.record_disturbance(disturbance)
            while self._soak.now() < drain.acknowledged_at + DRAIN_BOUND_S + DRAIN_SAMPLE_DURATION_S:
                runs = self._soak.count_runs(instance)
                if runs is not None:
                    drain.runs.append((self._soak.now(), runs))
                time.sleep(DRAIN_SAMPLE_INTERVAL_S)
            self._soak.history.drains.append(drain)
            self._soak.drain(instance, undo=True)
            disturbance.ended_at = self._soak.now()
