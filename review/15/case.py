"""A server's leaving is acknowledged while the store is away; then all processes are killed and start after its return."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))
from deployment import NotRun, run  # noqa: E402

BOUNDS = {"graceS": 6, "contactMs": 3000, "configMs": 2000, "drainMs": 2000}
HOST, PREFIX, SERVICE = "hall.example", "/stone/", "records"
AWAY_S = 2.7
KILL_AFTER_S, RESTART_S = 0.3, 1.6  # After the acknowledgement; after the kill.
LATE_BEAT_S = 6.3  # After the server sent it.
SERVES_ON_S = 9.0  # After the acknowledgement.
CONFIGURATION = {"version": 1, "baseVersion": 0, "resources": [
    {"typeUrl": "routes", "metadata": {"name": "r-stone"},
     "spec": {"host": HOST, "prefix": PREFIX, "kind": "safe", "timeoutMs": 1200, "targetLatencyMs": 1000,
              "priority": 1, "service": SERVICE, "maxAttempts": 2}},
    {"typeUrl": "services", "metadata": {"name": SERVICE},
     "spec": {"healthPath": "/healthz", "maxConnections": 316, "protocol": "h1", "tls": False}},
    {"typeUrl": "limits", "metadata": {"name": "limits"},
     "spec": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000}}]}


async def send_steadily(machine, end):
    """Sends a request each 20 ms until the given moment. Returns their ids with the moments of sending."""
    tasks = []
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(machine.client.send(HOST, PREFIX + "1", deadline_ms=1200)))
        await asyncio.sleep(0.02)
    return [(request_id, sent_at) for request_id, sent_at, _ in await asyncio.gather(*tasks)]


async def case(deployment, is_troubled):
    """Returns whether the server gets no request that was sent later than drainMs after the acknowledgement."""
    for number in range(4):
        deployment.add_machine(f"hall-{'ab'[number % 2]}", SERVICE, work_s=0.1)
    await deployment.start(CONFIGURATION)
    leaving, others = deployment.machines[0], deployment.machines[1:]
    server = leaving.server

    async def is_used():
        await asyncio.gather(*(machine.client.send(HOST, PREFIX + "1") for machine in others))
        return len(server.runs) > 0

    await deployment.wait("the server is used", is_used)
    late_beat = server.status()
    sent_at = time.monotonic()
    if is_troubled:
        deployment.store.refuse(machine.name for machine in deployment.machines)
        deployment.record("the store is away")
    await asyncio.sleep(0.2)
    if not await server.leave():
        raise NotRun("the departure is not acknowledged")
    acknowledged_at = time.monotonic()
    deployment.record("departure acknowledged", server=server.instance)
    load = [asyncio.create_task(send_steadily(machine, acknowledged_at + SERVES_ON_S)) for machine in others]
    calm_at = time.monotonic()
    if is_troubled:
        await asyncio.sleep(KILL_AFTER_S)
        for machine in deployment.machines:
            deployment.signal_node(machine, signal.SIGKILL)
        killed_at = time.monotonic()
        await asyncio.sleep(sent_at + AWAY_S - time.monotonic())
        deployment.store.refuse(())
        deployment.record("the store is back")
        await asyncio.sleep(max(killed_at + RESTART_S - time.monotonic(), 0))
        for machine in deployment.machines:
            machine.node.wait()
            deployment.start_node(machine)
        calm_at = time.monotonic()
    beat_at = max(sent_at + LATE_BEAT_S, calm_at + BOUNDS["contactMs"] / 1000 + 0.3)
    await asyncio.sleep(beat_at - time.monotonic())
    is_taken = await server.beat(late_beat)
    deployment.record("late beat", sequence=late_beat["status"]["sequence"], acknowledged=is_taken)
    sent = dict(sum(await asyncio.gather(*load), []))
    await server.crash()
    in_touch_from = calm_at + BOUNDS["contactMs"] / 1000
    late_from = max(acknowledged_at + BOUNDS["drainMs"] / 1000, in_touch_from if is_troubled else 0)
    late = [run for run in server.runs if run["id"] in sent and sent[run["id"]] > late_from]
    deployment.record("summary", sent=len(sent), late=[run["id"] for run in late])
    print(f"{len(late)} requests were sent too late and ran at the server that had left")
    return not late


if __name__ == "__main__":
    run(case, FOLDER, BOUNDS)
