"""A departure that a node has acknowledged while the store turns the node away is forgotten when the node is killed."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from deployment import Deployment, run_case  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent

CONTACT_S = 3.0
DRAIN_S = 2.5
MACHINES = 3
SENT_PER_S = 10.0
HOST = "orders.example"
RESTART_S = 0.5
STAY_S = 10.0  # The server serves for this long after its DELETE was acknowledged.


def resources():
    return [
        {"typeUrl": "routes", "metadata": {"name": "r-orders"}, "spec": {
            "host": HOST, "prefix": "/orders/", "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 500,
            "priority": 1, "service": "orderdesk", "maxAttempts": 2}},
        {"typeUrl": "services", "metadata": {"name": "orderdesk"}, "spec": {"healthPath": "/healthz", "maxConnections": 300}}]


async def clients(deployment, machine, sent):
    while True:
        task = asyncio.create_task(deployment.send(machine, HOST, "/orders/1", 2000, method="POST"))
        task.add_done_callback(lambda done: sent.update({done.result()[0]: (done.result()[1], machine)})
                               if not done.cancelled() and not done.exception() else None)
        await asyncio.sleep(1 / SENT_PER_S)


async def case(has_trouble, folder):
    deployment = Deployment(folder)
    record = deployment.record
    tasks, sent = [], {}
    try:
        deployment.configure(1, resources())
        machines = [await deployment.add_machine("orderdesk") for _ in range(MACHINES)]
        leaving, others = machines[0], machines[1:]
        for machine in machines:
            await machine.start_node()
            await machine.start_server()
        await deployment.wait_until_ready(machines)
        await asyncio.sleep(4)
        tasks += [asyncio.create_task(clients(deployment, machine, sent)) for machine in others]
        await asyncio.sleep(3)

        if has_trouble:
            deployment.store.refused = {leaving.name}
            record.say(f"the store turns {leaving.name} away (503)")
        late_heartbeat = leaving.announcement()
        record.say("the server sends a heartbeat, which is delayed")
        acknowledged_at = await leaving.leave()
        record.say("the DELETE of the server is acknowledged")
        if has_trouble:
            await leaving.kill_node()
            await asyncio.sleep(RESTART_S)
            await leaving.start_node()
        await asyncio.sleep(1.0)
        while not await leaving.announce("PUT", late_heartbeat):
            await asyncio.sleep(0.2)
        record.say("the delayed heartbeat has arrived")
        if has_trouble:
            deployment.store.refused = set()
            record.say("the store serves all machines")
        calm_at = record.now() + CONTACT_S
        await asyncio.sleep(max(acknowledged_at + STAY_S - record.now(), 0))
        leaving.server.close()
        record.say("the server ends")
        await asyncio.sleep(1)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.1)
        await deployment.stop()
    late = [(at, request_id) for at, machine, request_id, _ in deployment.runs
            if machine is leaving and request_id in sent and at > acknowledged_at + DRAIN_S
            and sent[request_id][0] > calm_at]
    record.say(f"all machines are in touch from {calm_at:.3f}; the acknowledgement binds from "
               f"{acknowledged_at + DRAIN_S:.3f}")
    record.say(f"{len(sent)} requests answered; {len(late)} sent in touch reached the server that had left, the first: "
               f"{late[:1]}")
    record.say("DRAIN is broken" if late else "DRAIN holds")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
