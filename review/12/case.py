"""The store turns away the machines that watch it; the others, which reach it, go on with the old configuration."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))
from deployment import run  # noqa: E402

BOUNDS = {"graceS": 6, "contactMs": 3000, "configMs": 2500, "maxSkewMs": 5000}
HOST, SERVICE = "hall.example", "records"
MACHINES, MAX_SHARE = 18, 0.35
OUTAGE_S = 9.0


def configuration(version, prefixes):
    """Returns a configuration with a route for each prefix."""
    return {"version": version, "baseVersion": version - 1, "resources": [
        *({"typeUrl": "routes", "metadata": {"name": f"r-{prefix.strip('/')}"},
           "spec": {"host": HOST, "prefix": prefix, "kind": "safe", "timeoutMs": 1200, "targetLatencyMs": 1000,
                    "priority": 1, "service": SERVICE, "maxAttempts": 2}} for prefix in prefixes),
        {"typeUrl": "services", "metadata": {"name": SERVICE},
         "spec": {"healthPath": "/healthz", "maxConnections": 316, "protocol": "h1", "tls": False}},
        {"typeUrl": "limits", "metadata": {"name": "limits"},
         "spec": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000,
                  "idleTimeoutMs": 10000}}]}


async def case(deployment, is_troubled):
    """Returns whether machines that reach the store serve a new route within configMs + maxSkewMs."""
    for number in range(MACHINES):
        deployment.add_machine(f"hall-{'ab'[number % 2]}", SERVICE)
    await deployment.start(configuration(1, ["/old/"]))

    async def is_settled():
        # Nodes that watched while they did not know the others yet end their feeds within 20 s.
        return 0 < len(deployment.store.watchers) <= MAX_SHARE * MACHINES

    await deployment.wait("a few machines watch the store", is_settled)
    await asyncio.sleep(1.0)
    watchers = set(deployment.store.watchers)
    deployment.record("watchers", machines=sorted(watchers))
    began_at = time.monotonic()
    if is_troubled:
        deployment.store.refuse(watchers)
        deployment.record("the store turns machines away", machines=sorted(watchers))
    await asyncio.sleep(0.2)
    acknowledged_at = await deployment.write_configuration(configuration(2, ["/old/", "/new/"]))
    late_from = acknowledged_at + (BOUNDS["configMs"] + BOUNDS["maxSkewMs"]) / 1000
    others = [machine for machine in deployment.machines if machine.name not in watchers]
    statuses = []
    while time.monotonic() < began_at + OUTAGE_S - 0.2:
        sent = await asyncio.gather(*(machine.client.send(HOST, "/new/1", deadline_ms=1000) for machine in others))
        statuses += [status for _, sent_at, status in sent if sent_at > late_from]
        await asyncio.sleep(0.2)
    deployment.store.refuse(())
    denied = statuses.count(404)
    deployment.record("summary", late=len(statuses), answered_404=denied, answered_200=statuses.count(200))
    print(f"{len(statuses)} requests on the new route were sent after configMs + maxSkewMs; {denied} got 404")
    return denied == 0


if __name__ == "__main__":
    run(case, FOLDER, BOUNDS)
