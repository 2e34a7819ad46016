"""The history of a soak run and the promises that it must keep.

No input or output, so that tests can check constructed histories.
"""

import dataclasses
import enum

SETTLE_S = 3.0           # Period after a disturbance that counts as disturbed; the users' `contactMs`.
DRAIN_BOUND_S = 2.0      # From the acknowledgement of a drain; the users' `drainMs`.
CONFIG_BOUND_S = 18.0    # From acceptance of a revision until it is in force on all nodes; from the brief.
RECOVERY_BOUND_S = 15.0  # From the end of the last fault; the users' `recoveryS`.
RECOVERY_RATIO = 0.95    # Minimum ratio of requests served after recovery.
RETRY_RATIO = 0.2        # Retries that reach targets, per request; the users' `retryBudgetRatio`.
RETRY_SLACK = 48         # Retries allowed on top of the ratio; the users' `budgetSlack`.


class Outcome(enum.Enum):
    """The outcome of one attempt as the caller saw it."""

    DONE = "done"        # The caller got the response of the target.
    NOT_RUN = "not-run"  # The response states that the request did not run and never will.
    UNKNOWN = "unknown"  # The response leaves open whether the request ran.
    CUT = "cut"          # The connection ended without a response.


@dataclasses.dataclass
class Attempt:
    """One attempt of a caller and its outcome."""

    request_id: str
    key: str        # Idempotency key of an order; empty for a lookup, which may run more than once.
    entry: str      # Name of the entry node.
    sent_at: float  # In seconds since the start of the run, as all times here.
    ended_at: float
    outcome: Outcome
    response_id: str = ""     # Request id in the response.
    is_complete: bool = True  # Whether the body of the response was complete.


@dataclasses.dataclass
class Disturbance:
    """A period in which a fault was injected into a node, a target, a link or the store."""

    what: str
    node: str  # Empty if it affects the store or all nodes.
    started_at: float
    ended_at: float
    planned: bool = False  # Whether it is a planned stop or a drain.


@dataclasses.dataclass
class Drain:
    """A drained target and samples of its run count after the acknowledgement."""

    node: str
    acknowledged_at: float
    runs: list  # Pairs of a time and the number of runs started until then.


@dataclasses.dataclass
class Accepted:
    """A revision that was acknowledged."""

    revision: int
    at: float


@dataclasses.dataclass
class RevisionSample:
    """A sample of the revision in force in one process of a node."""

    node: str
    start: int  # Sequence number of the process of this node.
    at: float
    revision: int


@dataclasses.dataclass
class History:
    """Everything that was observed in a run."""

    attempts: list = dataclasses.field(default_factory=list)
    runs: dict = dataclasses.field(default_factory=dict)  # Runs by idempotency key, summed over all targets.
    total_runs: int = 0                                   # Runs of all requests and sub-calls.
    sub_calls: int = 1                                    # Sub-calls of each order, as defined by the deployment.
    targets_lost: bool = False                            # Whether a target was killed, which loses its run counts.
    disturbances: list = dataclasses.field(default_factory=list)
    drains: list = dataclasses.field(default_factory=list)
    accepted: list = dataclasses.field(default_factory=list)
    shown: list = dataclasses.field(default_factory=list)
    faults_ended_at: float = 0.0


def is_calm(history, start, end, include_planned=False):
    """Returns whether no disturbance overlaps the period or ended less than SETTLE_S before it."""
    return not any(one.started_at < end and one.ended_at + SETTLE_S > start
                   for one in history.disturbances if include_planned or not one.planned)


def runs_once(history):
    """An order runs at most once."""
    return [f"order {key} ran {count} times" for key, count in sorted(history.runs.items()) if count > 1]


def refusals_are_true(history):
    """An order for which every attempt returned not-run has not run."""
    outcomes = {}
    for one in history.attempts:
        if one.key:
            outcomes.setdefault(one.key, set()).add(one.outcome)
    return [f"order {key} was told not-run, but ran" for key, distinct in sorted(outcomes.items())
            if distinct == {Outcome.NOT_RUN} and history.runs.get(key, 0) > 0]


def done_is_true(history):
    """An order with a successful response has run. Not checked if a target lost its run counts."""
    if history.targets_lost:
        return []
    return [f"order {one.key} was answered, but never ran" for one in history.attempts
            if one.key and one.outcome is Outcome.DONE and history.runs.get(one.key, 0) == 0]


def answers_are_whole(history):
    """Each caller gets the complete response to its own request."""
    broken = [f"request {one.request_id} got the answer to {one.response_id}" for one in history.attempts
              if one.outcome is Outcome.DONE and one.response_id != one.request_id]
    return broken + [f"request {one.request_id} got a part of its answer" for one in history.attempts
                     if one.outcome is Outcome.DONE and not one.is_complete]


def planned_stops_cut_nothing(history):
    """A planned stop without another disturbance interrupts no order that has run."""
    broken = []
    for one in history.attempts:
        if one.outcome is not Outcome.CUT or not is_calm(history, one.sent_at, one.ended_at):
            continue
        ran = bool(one.key) and history.runs.get(one.key, 0) > 0
        if ran:
            broken.append(f"order {one.key} ran and was cut at {one.entry} at {one.ended_at:.2f} s")
    return broken


def drained_targets_rest(history):
    """A draining target starts no request later than DRAIN_BOUND_S after the acknowledgement."""
    broken = []
    for drain in history.drains:
        late = [runs for at, runs in drain.runs if at >= drain.acknowledged_at + DRAIN_BOUND_S]
        if late and max(late) > min(late):
            broken.append(f"the drained target of {drain.node} got {max(late) - min(late)} requests after its bound")
    return broken


def revisions_come_into_force(history):
    """An accepted revision is in force after CONFIG_BOUND_S on every node without a disturbance in that time."""
    broken = []
    for accepted in history.accepted:
        due = accepted.at + CONFIG_BOUND_S
        for shown in history.shown:
            own = [one for one in history.disturbances if one.node in ("", shown.node)]
            calm = is_calm(History(disturbances=own), accepted.at, shown.at, include_planned=True)
            if shown.at >= due and calm and shown.revision < accepted.revision:
                broken.append(f"{shown.node} shows revision {shown.revision} at {shown.at:.1f} s, "
                              f"{accepted.revision} was accepted at {accepted.at:.1f} s")
    return broken


def revisions_never_revert(history):
    """No process reverts to an older revision."""
    broken = []
    highest = {}
    for one in sorted(history.shown, key=lambda shown: shown.at):
        known = highest.get((one.node, one.start), 0)
        if one.revision < known:
            broken.append(f"{one.node} went back from revision {known} to {one.revision}")
        highest[(one.node, one.start)] = max(known, one.revision)
    return broken


def accepted_revisions_last(history):
    """At the end of the run every node has the last accepted revision or a newer one."""
    last = max((one.revision for one in history.accepted), default=0)
    final = {}
    for one in sorted(history.shown, key=lambda shown: shown.at):
        final[one.node] = one
    return [f"{one.node} ends with revision {one.revision}, {last} was accepted" for one in final.values()
            if one.at > history.faults_ended_at + RECOVERY_BOUND_S and one.revision < last]


def repeats_are_bounded(history):
    """Runs in excess of the number of requests stay within the users' retry budget."""
    requests = len(history.attempts) + history.sub_calls * sum(1 for one in history.attempts if one.key)
    allowed = requests * (1.0 + RETRY_RATIO) + RETRY_SLACK
    if history.total_runs > allowed:
        return [f"{history.total_runs} runs for {requests} requests, at most {allowed:.0f} are allowed"]
    return []


def service_recovers(history):
    """RECOVERY_BOUND_S after the last fault, RECOVERY_RATIO of the requests are served."""
    late = [one for one in history.attempts if one.sent_at >= history.faults_ended_at + RECOVERY_BOUND_S]
    done = sum(1 for one in late if one.outcome is Outcome.DONE)
    if late and done < RECOVERY_RATIO * len(late):
        return [f"{done} of {len(late)} requests are served {RECOVERY_BOUND_S:.0f} s after the last fault"]
    return [] if late else ["nothing was sent after the recovery, so it was not checked"]


PROMISES = (runs_once, refusals_are_true, done_is_true, answers_are_whole, planned_stops_cut_nothing,
            drained_targets_rest, revisions_come_into_force, revisions_never_revert, accepted_revisions_last,
            repeats_are_bounded, service_recovers)


def broken_promises(history):
    """Returns a description of each violation, prefixed by the name of the promise."""
    return [f"{promise.__name__}: {what}" for promise in PROMISES for what in promise(history)]
