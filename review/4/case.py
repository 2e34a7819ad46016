"""A server leaves, its node is restarted, and a heartbeat that was sent before the server left arrives late."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
import world as lab  # noqa: E402

STOPS_AFTER_S = 2.5  # Time from SIGTERM until the server leaves.
LATE_S = 2.0  # Delay of the heartbeat.
DRAIN_S = lab.BOUNDS["drainMs"] / 1000
SERVES_ON_S = 12.0  # Time for which the server serves after its departure is acknowledged.


async def case(world):
    config = lab.configuration(7, [lab.route("r-a", "a.example", "/a/", "alpha")], ["alpha"])
    await world.store.put("op", "config", config)
    machine, leaving = await world.add("eg-north-a", "alpha")
    await world.add("eg-north-b", "alpha")
    entry, _ = await world.add("eg-north-c", "beta")
    await world.wait_ready()
    await asyncio.sleep(lab.CONTACT_S + 1.0)

    # A planned restart of the node, while its server runs on. The server leaves during the stop, without a report
    # of draining, and its last heartbeat is still on its way.
    machine.signal(signal.SIGTERM)
    await asyncio.sleep(STOPS_AFTER_S)
    leaving.stop_beats()
    late_heartbeat = leaving.beat_body()
    sent_late_at = world.record.write("heartbeat-sent", instance=leaving.instance, arrives_in_s=LATE_S)
    if await leaving.announce("DELETE", lab.json.dumps({"born": leaving.born}).encode()) != 200:
        raise lab.CannotRun("the departure is not acknowledged")
    left_at = world.record.write("departure-acknowledged", instance=leaving.instance)
    await machine.ended()
    restarted_at = world.record.now()
    await machine.start()
    await world.wait_ready()
    if lab.TROUBLE:
        await asyncio.sleep(max(0.0, LATE_S - (world.record.now() - sent_late_at)))
        await leaving.announce("PUT", late_heartbeat)

    client = lab.Client(world.record, entry, "c")
    while world.record.now() < left_at + SERVES_ON_S:
        await client.request("a.example", "/a/20")
        await asyncio.sleep(0.05)
    in_touch_at = max(left_at + DRAIN_S, restarted_at + lab.CONTACT_S)
    late_runs = [request for at, request, _ in leaving.runs if at > in_touch_at]
    world.record.write("judged", bound_at=round(in_touch_at, 3), runs_after_bound=len(late_runs))
    return lab.BROKEN if late_runs else lab.HELD


lab.main(case)
