"""A tenant's list of keys grows; a key that is taken away later goes on working."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))
from deployment import run  # noqa: E402

BOUNDS = {"graceS": 6, "contactMs": 3000, "configMs": 2500, "failClosed": True, "revokeMs": 5000}
HOST, PREFIX, SERVICE = "depot.example", "/stock/", "stockdesk"
KEYS_AT_FIRST, NEW_KEYS = 1980, 10
LEAKED_KEY = "key-of-counter-0007"
WATCH_S = 6.0


def configuration(version, keys):
    """Returns a configuration with one route and two tenants."""
    return {"version": version, "baseVersion": version - 1, "resources": [
        {"typeUrl": "routes", "metadata": {"name": "r-stock"},
         "spec": {"host": HOST, "prefix": PREFIX, "kind": "safe", "timeoutMs": 3000, "targetLatencyMs": 1500,
                  "priority": 1, "service": SERVICE, "maxAttempts": 2, "public": False}},
        {"typeUrl": "services", "metadata": {"name": SERVICE},
         "spec": {"healthPath": "/healthz", "maxConnections": 508, "protocol": "h1", "tls": False}},
        {"typeUrl": "tenants", "metadata": {"name": "depot"}, "spec": {"apiKeys": keys, "ratePerS": 0, "burst": 0}},
        {"typeUrl": "tenants", "metadata": {"name": "mason"},
         "spec": {"apiKeys": ["key-of-mason-0001"], "ratePerS": 0, "burst": 0}},
        {"typeUrl": "limits", "metadata": {"name": "limits"},
         "spec": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000,
                  "idleTimeoutMs": 10000}}]}


async def case(deployment, is_troubled):
    """Returns whether no request with the key runs that was sent later than revokeMs after its removal."""
    for number in range(4):
        deployment.add_machine(f"zone-{'ab'[number % 2]}", SERVICE)
    keys = [f"key-of-counter-{number:04d}" for number in range(KEYS_AT_FIRST)]
    await deployment.start(configuration(1, keys))

    async def is_served(key):
        answers = [await machine.client.send(HOST, PREFIX + "1", key=key) for machine in deployment.machines]
        return all(status == 200 for _, _, status in answers)

    await deployment.wait("the key is accepted everywhere", lambda: is_served(LEAKED_KEY))
    if is_troubled:
        keys += [f"key-of-counter-{number:04d}" for number in range(KEYS_AT_FIRST, KEYS_AT_FIRST + NEW_KEYS)]
    await deployment.write_configuration(configuration(2, keys))
    await asyncio.sleep(5.0)
    keys.remove(LEAKED_KEY)
    removed_at = await deployment.write_configuration(configuration(3, keys))
    late_from = removed_at + BOUNDS["revokeMs"] / 1000
    late_ids = set()
    while time.monotonic() < late_from + WATCH_S:
        for machine in deployment.machines:
            request_id, sent_at, _ = await machine.client.send(HOST, PREFIX + "1", key=LEAKED_KEY)
            if sent_at > late_from:
                late_ids.add(request_id)
        await asyncio.sleep(0.1)
    runs = [each for machine in deployment.machines for each in machine.server.runs if each["id"] in late_ids]
    is_new_key_served = await is_served(keys[-1])
    deployment.record("summary", late=len(late_ids), ran=len(runs), last_key_served=is_new_key_served)
    print(f"{len(late_ids)} requests with the key were sent too late; {len(runs)} of them ran")
    return not runs


if __name__ == "__main__":
    run(case, FOLDER, BOUNDS)
