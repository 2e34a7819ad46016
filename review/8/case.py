"""A planned stop breaks off calls that the node took and passed on late in its grace time."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from deployment import Deployment, exchange, run_case  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent

EXCUSED_S = 3.0  # Of requests sent up to then after SIGTERM, those may be cut that last into the last sixth of graceS.
REQUESTS = 8
CALL_AFTER_S = 4.0  # After SIGTERM, the server beside the stopping node makes its calls.
CALL_WORK_S = 2.0
CALL_DEADLINE_S = 2.5
HOST, INNER_HOST = "stock.example", "schedule.example"


def resources():
    def route(name, host, prefix, service, timeout_ms, objective_ms):
        return {"typeUrl": "routes", "metadata": {"name": name}, "spec": {
            "host": host, "prefix": prefix, "kind": "safe", "timeoutMs": timeout_ms, "targetLatencyMs": objective_ms,
            "priority": 1, "service": service, "maxAttempts": 2}}
    return [route("r-stock", HOST, "/stock/", "stockdesk", 10000, 2500),
            route("r-schedule", INNER_HOST, "/schedule/", "scheduledesk", 2500, 1000)] + [
        {"typeUrl": "services", "metadata": {"name": name}, "spec": {"healthPath": "/healthz", "maxConnections": 300}}
        for name in ("stockdesk", "scheduledesk")]


async def case(has_trouble, folder):
    deployment = Deployment(folder)
    record = deployment.record
    calls, ended = [], {}
    begin_calls = asyncio.Event()

    async def work(machine, request_id, _headers):
        if machine.service == "scheduledesk":
            await asyncio.sleep(CALL_WORK_S)
            ended[request_id] = record.now()
            return
        await begin_calls.wait()
        call_id, sent_at = request_id + ".1", record.now()
        answer = await exchange(machine.address("outbound"), "GET", "/schedule/1", [
            ("Host", INNER_HOST), ("Request-Id", call_id), ("Deadline-Ms", str(int(CALL_DEADLINE_S * 1000)))],
            source=machine.ip)
        is_servers = answer is not None and "server-signature" in answer[1]
        calls.append((call_id, sent_at, record.now(), is_servers))
        record.say(f"call {call_id} sent at {sent_at:.3f} -> {answer[0] if answer else 'closed'}, "
                   f"{'the' if is_servers else 'not the'} server's answer")

    try:
        deployment.work = work
        deployment.configure(1, resources())
        machines = [await deployment.add_machine(name) for name in ("stockdesk", *["scheduledesk"] * 3)]
        stopping, entry = machines[0], machines[1]
        for machine in machines:
            await machine.start_node()
            await machine.start_server()
        await deployment.wait_until_ready(machines)
        await asyncio.sleep(4)
        requests = [asyncio.create_task(deployment.send(entry, HOST, "/stock/1", 10000)) for _ in range(REQUESTS)]
        await asyncio.sleep(0.5)
        stopped_at = record.now()
        if has_trouble:
            stopping.process.send_signal(signal.SIGTERM)
            record.say(f"{stopping.name}: SIGTERM")
        await asyncio.sleep(CALL_AFTER_S)
        begin_calls.set()
        await asyncio.gather(*requests)
        await asyncio.sleep(CALL_WORK_S)
    finally:
        await deployment.stop()
    ran = {request_id: at for at, _, request_id, _ in deployment.runs}
    broken = [call_id for call_id, sent_at, answered_at, is_servers in calls
              if not is_servers and sent_at > stopped_at + EXCUSED_S and call_id in ran
              and answered_at < sent_at + CALL_DEADLINE_S - 0.1
              and answered_at < ended.get(call_id, answered_at + 1)]
    if not calls or all(call_id not in ran for call_id, _, _, _ in calls):
        record.say("no call was passed on")
    record.say(f"{len(calls)} calls sent {CALL_AFTER_S:.1f} s after SIGTERM, {sum(call[0] in ran for call in calls)} passed on, "
               f"{len(broken)} broken off at work before their deadline; the first: {broken[:1]}")
    record.say("LOST is broken" if broken else "LOST holds")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
