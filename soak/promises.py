"""What a run of the soak has seen, and whether it keeps the promises. No input and output: tests feed histories."""

import dataclasses
import enum

SETTLE_S = 3.0          # After a disturbance, promises with a time bound are asked for again; the users' `contactMs`.
DRAIN_BOUND_S = 2.0     # From the acknowledgement of a drain; the users' `drainMs`.
CONFIG_BOUND_S = 18.0   # An accepted revision is in force everywhere; the brief.
RECOVERY_BOUND_S = 15.0  # From the end of the last fault; the users' `recoveryS`.
RECOVERY_SHARE = 0.95   # Of the calls that are served then.
REPEAT_SHARE = 0.2      # Repeats that reach targets, as a share of the requests; the users' `retryBudgetRatio`.
REPEAT_SLACK = 48       # Repeats beyond the share; the users' `budgetSlack`.


class Told(enum.Enum):
    """What a caller was told about one sending."""

    DONE = "done"        # The target's answer.
    NOT_RUN = "not-run"  # It did not run and never will.
    UNKNOWN = "unknown"  # An answer that promises nothing.
    CUT = "cut"          # The connection ended without an answer.


@dataclasses.dataclass
class Sending:
    """One request of a caller, and its end."""

    request_id: str
    key: str               # Of an order; empty for a lookup, which may run more than once.
    entry: str             # The node that the caller asked.
    sent: float            # Seconds of the run.
    ended: float
    told: Told
    answer_id: str = ""    # The id that the answer names.
    whole: bool = True     # Whether the answer is as long as it says.


@dataclasses.dataclass
class Disturbance:
    """A time in which something was done to a node, a target, a link or the store."""

    what: str
    node: str              # Empty where it concerns the store or all.
    begun: float
    ended: float
    planned: bool = False  # A planned stop or a drain.


@dataclasses.dataclass
class Drain:
    """A drained target, with its runs at some moments after the acknowledgement."""

    node: str
    acknowledged: float
    runs: list             # Pairs of time and number of runs begun so far.


@dataclasses.dataclass
class Accepted:
    """A revision that was acknowledged."""

    revision: int
    at: float


@dataclasses.dataclass
class Shown:
    """The revision that one process of a node showed."""

    node: str
    start: int             # Number of the node's start.
    at: float
    revision: int


@dataclasses.dataclass
class History:
    """All that was seen."""

    sendings: list = dataclasses.field(default_factory=list)
    runs: dict = dataclasses.field(default_factory=dict)     # Runs by key, over all targets.
    total_runs: int = 0                                      # Of all requests and sub-calls.
    sub_calls: int = 1                                       # Of each order, as the deployment says.
    targets_lost: bool = False                               # Whether a target died with its counts.
    disturbances: list = dataclasses.field(default_factory=list)
    drains: list = dataclasses.field(default_factory=list)
    accepted: list = dataclasses.field(default_factory=list)
    shown: list = dataclasses.field(default_factory=list)
    faults_ended: float = 0.0


def is_calm(history, begun, ended, planned_too=False):
    """Tells whether no disturbance overlaps the time, nor ended less than SETTLE_S before it."""
    return not any(one.begun < ended and one.ended + SETTLE_S > begun
                   for one in history.disturbances if planned_too or not one.planned)


def runs_once(history):
    """An order runs at most once."""
    return [f"order {key} ran {count} times" for key, count in sorted(history.runs.items()) if count > 1]


def refusals_are_true(history):
    """An order whose sendings were all told not-run has not run."""
    told = {}
    for one in history.sendings:
        if one.key:
            told.setdefault(one.key, set()).add(one.told)
    return [f"order {key} was told not-run, but ran" for key, answers in sorted(told.items())
            if answers == {Told.NOT_RUN} and history.runs.get(key, 0) > 0]


def done_is_true(history):
    """An order that was answered has run."""
    if history.targets_lost:
        return []
    return [f"order {one.key} was answered, but never ran" for one in history.sendings
            if one.key and one.told is Told.DONE and history.runs.get(one.key, 0) == 0]


def answers_are_whole(history):
    """Each caller gets the whole answer to its own request."""
    broken = [f"request {one.request_id} got the answer to {one.answer_id}" for one in history.sendings
              if one.told is Told.DONE and one.answer_id != one.request_id]
    return broken + [f"request {one.request_id} got a part of its answer" for one in history.sendings
                     if one.told is Told.DONE and not one.whole]


def planned_stops_cut_nothing(history):
    """A planned stop with no other disturbance breaks off no order that ran."""
    broken = []
    for one in history.sendings:
        if one.told is not Told.CUT or not is_calm(history, one.sent, one.ended):
            continue
        ran = bool(one.key) and history.runs.get(one.key, 0) > 0
        if ran:
            broken.append(f"order {one.key} ran and was cut at {one.entry} at {one.ended:.2f} s")
    return broken


def drained_targets_rest(history):
    """A leaving target gets no new work after its bound."""
    broken = []
    for drain in history.drains:
        late = [runs for at, runs in drain.runs if at >= drain.acknowledged + DRAIN_BOUND_S]
        if late and max(late) > min(late):
            broken.append(f"the drained target of {drain.node} got {max(late) - min(late)} requests after its bound")
    return broken


def revisions_come_into_force(history):
    """An accepted revision is in force on every node that is undisturbed for the bound."""
    broken = []
    for accepted in history.accepted:
        due = accepted.at + CONFIG_BOUND_S
        for shown in history.shown:
            own = [one for one in history.disturbances if one.node in ("", shown.node)]
            calm = is_calm(History(disturbances=own), accepted.at, shown.at, planned_too=True)
            if shown.at >= due and calm and shown.revision < accepted.revision:
                broken.append(f"{shown.node} shows revision {shown.revision} at {shown.at:.1f} s, "
                              f"{accepted.revision} was accepted at {accepted.at:.1f} s")
    return broken


def revisions_never_revert(history):
    """No process shows an older revision than it showed before."""
    broken = []
    highest = {}
    for one in sorted(history.shown, key=lambda shown: shown.at):
        known = highest.get((one.node, one.start), 0)
        if one.revision < known:
            broken.append(f"{one.node} went back from revision {known} to {one.revision}")
        highest[(one.node, one.start)] = max(known, one.revision)
    return broken


def accepted_revisions_last(history):
    """At the end no node is behind the last accepted revision."""
    last = max((one.revision for one in history.accepted), default=0)
    final = {}
    for one in sorted(history.shown, key=lambda shown: shown.at):
        final[one.node] = one
    return [f"{one.node} ends with revision {one.revision}, {last} was accepted" for one in final.values()
            if one.at > history.faults_ended + RECOVERY_BOUND_S and one.revision < last]


def repeats_are_bounded(history):
    """What runs beyond the requests stays within the users' share."""
    requests = len(history.sendings) + history.sub_calls * sum(1 for one in history.sendings if one.key)
    allowed = requests * (1.0 + REPEAT_SHARE) + REPEAT_SLACK
    if history.total_runs > allowed:
        return [f"{history.total_runs} runs for {requests} requests, at most {allowed:.0f} are allowed"]
    return []


def service_recovers(history):
    """After the last fault almost all is served again within the bound."""
    late = [one for one in history.sendings if one.sent >= history.faults_ended + RECOVERY_BOUND_S]
    done = sum(1 for one in late if one.told is Told.DONE)
    if late and done < RECOVERY_SHARE * len(late):
        return [f"{done} of {len(late)} requests are served {RECOVERY_BOUND_S:.0f} s after the last fault"]
    return [] if late else ["nothing was sent after the recovery, so it was not checked"]


PROMISES = (runs_once, refusals_are_true, done_is_true, answers_are_whole, planned_stops_cut_nothing,
            drained_targets_rest, revisions_come_into_force, revisions_never_revert, accepted_revisions_last,
            repeats_are_bounded, service_recovers)


def broken_promises(history):
    """Lists what is broken, with the promise's name."""
    return [f"{promise.__name__}: {what}" for promise in PROMISES for what in promise(history)]
