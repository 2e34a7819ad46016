"""A server in trouble answers with bytes without end, and clients of its machine wait for answers of a sound server."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
import world as lab  # noqa: E402

WAITING_CLIENTS = 8
HEAD_BYTES = 100_000
BODY_PIECE = b"f" * 65_536


async def endless_bytes(_headers, writer):
    """Sends bytes that are no answer: a long head, and a body without end, until the caller closes."""
    try:
        writer.write(b"HTTP/1.1 200 OK\r\nX-Fill: " + b"f" * HEAD_BYTES + b"\r\n\r\n")
        while not writer.transport.is_closing():
            writer.write(BODY_PIECE)
            await writer.drain()
    except (ConnectionError, OSError):
        pass


async def case(world):
    config = lab.configuration(7, [lab.route("r-a", "a.example", "/a/", "alpha"),
                                   lab.route("r-b", "b.example", "/b/", "beta")], ["alpha", "beta"])
    await world.store.put("op", "config", config)
    first, troubled = await world.add("eg-north-a", "alpha")
    _, sound = await world.add("eg-north-b", "beta")
    await world.wait_ready()
    await asyncio.sleep(lab.CONTACT_S + 1.0)

    clients = [lab.Client(world.record, first, f"c{number}") for number in range(WAITING_CLIENTS)]
    for client in clients:
        warm = await client.request("b.example", "/b/10")
        if warm["status"] != 200:
            raise lab.CannotRun("the sound server does not answer")
    if lab.TROUBLE:
        troubled.answers_in_trouble = endless_bytes
        world.record.write("disruption", server=troubled.instance, kind="bytes that are no answer, without end, in a head and a body")
    waiting = [asyncio.ensure_future(client.request("b.example", "/b/1500")) for client in clients]
    await asyncio.sleep(0.5)
    probe = lab.Client(world.record, first, "p")
    await probe.request("a.example", "/a/10", deadline_ms=3000)
    answers = await asyncio.gather(*waiting)

    run = {request for _, request, _ in sound.runs}
    lost = [answer["id"] for answer in answers if answer["status"] is None and answer["id"] in run]
    await asyncio.sleep(0.5)
    world.record.write("judged", closed_without_answer=lost, node_exit=first.process.returncode)
    return lab.BROKEN if len(lost) > 3 else lab.HELD


lab.main(case)
