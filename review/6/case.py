"""Machines that join while the store turns them away grant a tenant its whole quota each."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from deployment import Deployment, run_case  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent

# The bounds and the quota of the tenant; quotaWindowS, quotaOvershoot and quotaSlack as in demands/kbcs-mesh-grown.
RATE_PER_S = 40.0
BURST = 40.0
WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK

OLD_MACHINES = 8
NEW_MACHINES = 2  # A quarter of the machines is added; they are a fifth of all machines then.
REFUSAL_S = 6.0
SENT_PER_S = 2.0 * RATE_PER_S  # Summed over the old machines; the same over the new ones.
KEY = "review-key-1"
HOST = "look.example"


def resources():
    return [
        {"typeUrl": "routes", "metadata": {"name": "r-look"}, "spec": {
            "host": HOST, "prefix": "/look/", "kind": "safe", "timeoutMs": 2000, "targetLatencyMs": 500, "priority": 1,
            "service": "lookdesk", "maxAttempts": 2, "public": False}},
        {"typeUrl": "services", "metadata": {"name": "lookdesk"}, "spec": {"healthPath": "/healthz", "maxConnections": 300}},
        {"typeUrl": "tenants", "metadata": {"name": "depot"}, "spec": {
            "apiKeys": [KEY], "priority": 1, "ratePerS": RATE_PER_S, "burst": BURST}}]


async def clients(deployment, machine, per_s, sent):
    """Sends requests of the tenant at a machine while it is ready; asks for its readiness once a second."""
    tasks, checked_at, is_ready = [], -1.0, False
    while True:
        if deployment.record.now() - checked_at >= 1.0:
            checked_at, was_ready, is_ready = deployment.record.now(), is_ready, await machine.is_ready()
            if is_ready != was_ready:
                deployment.record.say(f"{machine.name}: ready: {is_ready}")
        if is_ready:
            tasks.append(asyncio.create_task(send(deployment, machine, sent)))
        await asyncio.sleep(1 / per_s)


async def send(deployment, machine, sent):
    request_id, sent_at, status = await deployment.send(
        machine, HOST, "/look/1", 2000, [("Authorization", f"Bearer {KEY}")])
    sent[request_id] = (sent_at, machine, status)


def most_in_window(runs):
    """Returns the most requests that were sent and reached a server within one window, and when it ended."""
    most, ended_at = 0, 0.0
    for arrived_at, _ in runs:
        count = sum(1 for arrival, sent_at in runs if arrived_at - WINDOW_S <= sent_at and arrival <= arrived_at)
        most, ended_at = (count, arrived_at) if count > most else (most, ended_at)
    return most, ended_at


async def case(has_trouble, folder):
    deployment = Deployment(folder, {"failClosed": "yes", "revokeMs": 5000})
    record = deployment.record
    tasks, sent = [], {}
    try:
        deployment.configure(1, resources())
        old = [await deployment.add_machine("lookdesk") for _ in range(OLD_MACHINES)]
        new = [await deployment.add_machine("lookdesk") for _ in range(NEW_MACHINES)]
        for machine in old:
            await machine.start_node()
            await machine.start_server()
        await deployment.wait_until_ready(old)
        await asyncio.sleep(5)
        for machine in old:
            tasks.append(asyncio.create_task(clients(deployment, machine, SENT_PER_S / OLD_MACHINES, sent)))
        await asyncio.sleep(8)
        if has_trouble:
            deployment.store.refused = {machine.name for machine in new}
            record.say("the store turns the new machines away (503)")
        for machine in new:
            await machine.start_node()
            await machine.start_server()
            tasks.append(asyncio.create_task(clients(deployment, machine, SENT_PER_S / NEW_MACHINES, sent)))
        await asyncio.sleep(REFUSAL_S)
        if has_trouble:
            deployment.store.refused = set()
            record.say("the store serves all machines")
        await asyncio.sleep(14)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.1)
        await deployment.stop()
    sent_at = {request_id: moment for request_id, (moment, _, _) in sent.items()}
    runs = [(at, sent_at[request_id]) for at, _, request_id, _ in deployment.runs if request_id in sent_at]
    most, ended_at = most_in_window(runs)
    at_new = sum(1 for _, machine, status in sent.values() if machine in new and status == 200)
    record.say(f"{len(sent)} requests sent, {len(runs)} run, {at_new} of them sent at new machines")
    record.say(f"most requests of the tenant in {WINDOW_S:.0f} s: {most}, until {ended_at:.3f}; allowed: {ALLOWED:.0f}")
    record.say("QUOTA is broken" if most > ALLOWED else "QUOTA holds")
    return 1 if most > ALLOWED else 0


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
