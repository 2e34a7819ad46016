"""What the soak does to a deployment: each fault is one function that ends when its effect is undone."""

import random
import signal
import time

from promises import Accepted, Disturbance, Drain, DRAIN_BOUND_S
from proxy import Mode

LINK_MODES = (Mode.DELAY, Mode.CUT_TO, Mode.CUT_FROM, Mode.SILENT, Mode.REFUSE)
FREEZE_MOST_S = 6.0    # Longer than suspicion and every time-out of a link.
FAULT_LEAST_S = 0.3
FAULT_MOST_S = 4.0
STOP_LIMIT_S = 25.0    # A little more than the nodes' stop_limit.
DRAIN_WATCH_S = 1.5    # A drained target is watched so long after its bound.
WATCH_STEP_S = 0.1


class Faults:
    """Carries out faults on a soak's deployment, drawn from its own random source."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed)
        self._kinds = (
            (3, self.kill_node), (3, self.freeze_node), (3, self.stop_node), (1, self.reload_node),
            (1, self.kill_target), (2, self.slow_target), (2, self.failing_target), (1, self.shedding_target),
            (3, self.harm_links), (1, self.reset_links), (2, self.harm_store), (1, self.store_down),
            (1, self.store_slow), (1, self.store_loses_answers), (2, self.change_configuration), (1, self.drain_target),
        )

    def draw(self):
        """Draws a fault; gives a function to call on a thread of its own. All draws are made here."""
        kinds = [kind for weight, kind in self._kinds for _ in range(weight)]
        kind = self._random.choice(kinds)
        instance = self._random.choice(self._soak.lab.instances)
        lasts = self._random.uniform(FAULT_LEAST_S, FAULT_MOST_S)
        chosen = random.Random(self._random.random())

        def carry_out():
            try:
                kind(instance, lasts, chosen)
            except Exception as failure:
                self._soak.note_failure(f"the fault {kind.__name__} at {instance.name} failed: {failure!r}")

        return carry_out

    def _during(self, what, node, lasts, undo, planned=False):
        """Notes a disturbance that lasts so long, and undoes it."""
        noted = Disturbance(what, node, self._soak.now(), float("inf"), planned)
        self._soak.note(noted)
        time.sleep(lasts)
        undo()
        noted.ended = self._soak.now()

    def kill_node(self, instance, lasts, _random):
        """Kills a node and starts it again."""
        with self._soak.node_lock(instance):
            self._soak.lab.kill(instance.node_process, signal.SIGKILL)
            self._during("kill", instance.name, lasts / 2, lambda: self._soak.start_again(instance))

    def freeze_node(self, instance, lasts, _random):
        """Stops a node's process for a while."""
        with self._soak.node_lock(instance):
            frozen = instance.node_process
            self._soak.lab.kill(frozen, signal.SIGSTOP)
            self._during("freeze", instance.name, lasts / FAULT_MOST_S * FREEZE_MOST_S,
                         lambda: self._soak.lab.kill(frozen, signal.SIGCONT))

    def stop_node(self, instance, _lasts, _random):
        """Stops a node as planned and starts it again."""
        with self._soak.node_lock(instance):
            leaving = instance.node_process
            young = self._soak.lab.life(instance) is None

            def wait_and_start():
                code = leaving.wait(timeout=STOP_LIMIT_S)
                # A node that does not listen yet may be ended by the signal: it has accepted nothing.
                if code != 0 and not (young and code == -signal.SIGTERM):
                    self._soak.note_failure(f"the node {instance.name} ended its planned stop with {code}")
                self._soak.start_again(instance)

            self._soak.lab.kill(leaving, signal.SIGTERM)
            self._during("planned stop", instance.name, 0.0, wait_and_start, planned=True)

    def reload_node(self, instance, _lasts, _random):
        """Has a node read its settings again, which are the same."""
        with self._soak.node_lock(instance):
            if self._soak.lab.life(instance) is not None:
                self._soak.lab.kill(instance.node_process, signal.SIGHUP)

    def kill_target(self, instance, lasts, _random):
        """Kills a target and starts it again."""
        with self._soak.target_lock(instance):
            self._soak.count_runs(instance, last=True)
            self._soak.lab.kill(instance.target_process, signal.SIGKILL)
            self._during("target killed", instance.name, lasts / 2, lambda: self._soak.start_target_again(instance))

    def _target(self, what, instance, lasts, ordered, usual):
        with self._soak.target_lock(instance):
            self._soak.order(instance, ordered)
            self._during(what, instance.name, lasts, lambda: self._soak.order(instance, usual))

    def slow_target(self, instance, lasts, _random):
        """Makes a target twenty times slower."""
        self._target("slow target", instance, lasts, {"service_factor": 20}, {"service_factor": 1})

    def failing_target(self, instance, lasts, _random):
        """Lets a target fail a part of its runs."""
        self._target("failing target", instance, lasts, {"failure_share": 0.4}, {"failure_share": 0.0})

    def shedding_target(self, instance, lasts, _random):
        """Lets a target refuse everything."""
        self._target("shedding target", instance, lasts, {"sheds_all": True}, {"sheds_all": False})

    def _harm(self, what, instance, proxy, lasts, chosen):
        mode = chosen.choice(LINK_MODES)
        proxy.set(mode, delay_s=0.2)
        self._during(f"{what} {mode.value}", instance.name, lasts, lambda: proxy.set(Mode.PASS))

    def harm_links(self, instance, lasts, chosen):
        """Delays, cuts, silences or refuses the links that other nodes open to a node."""
        self._harm("links", instance, self._soak.link_proxies[instance.name], lasts, chosen)

    def harm_store(self, instance, lasts, chosen):
        """Does the same to a node's way to the store."""
        self._harm("store", instance, self._soak.store_proxies[instance.name], lasts, chosen)

    def reset_links(self, instance, _lasts, _random):
        """Resets the open links to a node."""
        self._soak.link_proxies[instance.name].reset()
        self._during("links reset", instance.name, 0.0, lambda: None)

    def _store(self, what, lasts, ordered, usual):
        self._soak.lab.platform_fault(**ordered)
        self._during(what, "", lasts, lambda: self._soak.lab.platform_fault(**usual))

    def store_down(self, _instance, lasts, _random):
        """The store answers 503."""
        self._store("store down", lasts, {"down": True}, {"down": False})

    def store_slow(self, _instance, lasts, _random):
        """The store answers late."""
        self._store("store slow", lasts, {"slow_ms": 700}, {"slow_ms": 0})

    def store_loses_answers(self, _instance, lasts, _random):
        """The store carries out some writes and does not answer."""
        self._store("store loses answers", lasts, {"lose_answers": 0.3}, {"lose_answers": 0.0})

    def change_configuration(self, instance, _lasts, _random):
        """Publishes a new revision by one of the nodes."""
        revision = self._soak.publish_change(instance)
        if revision is not None:
            self._soak.history.accepted.append(Accepted(revision, self._soak.now()))

    def drain_target(self, instance, lasts, _random):
        """Drains a target, watches what it runs, and takes it back."""
        with self._soak.node_lock(instance), self._soak.target_lock(instance):
            if not self._soak.drain(instance):
                return
            drain = Drain(instance.name, self._soak.now(), [])
            noted = Disturbance("drain", instance.name, drain.acknowledged, float("inf"), planned=True)
            self._soak.note(noted)
            while self._soak.now() < drain.acknowledged + DRAIN_BOUND_S + DRAIN_WATCH_S:
                runs = self._soak.count_runs(instance)
                if runs is not None:
                    drain.runs.append((self._soak.now(), runs))
                time.sleep(WATCH_STEP_S)
            self._soak.history.drains.append(drain)
            self._soak.drain(instance, undo=True)
            noted.ended = self._soak.now()
