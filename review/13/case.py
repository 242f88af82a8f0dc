"""An operator permits heads of 128 KiB; a few callers then send a header of 70 KB, and try once more after a failure."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
import harness  # noqa: E402
import messages as wire  # noqa: E402
from server import Server  # noqa: E402

MAX_HEADER_BYTES = 131072
LARGE_HEADER_BYTES, USUAL_HEADER_BYTES = 70000, 4000
MEMORY_MB = 260
CALLERS, SENDS_OF_CALLER, PAUSE_S = 4, 6, 2.0


async def send(case, daemon, identity, header_bytes):
    """Sends one request on a new connection. @returns the status of the answer, or what happened instead."""
    try:
        reader, writer = await asyncio.open_connection(harness.ADDRESS, daemon.front)
        writer.write(wire.make_message("GET /look/1 HTTP/1.1", {
            "Host": harness.HOST, "X-Attempt-Id": identity, "X-Deadline-Ms": 2000, "X-Note": "n" * header_bytes}))
        answer = await asyncio.wait_for(wire.read_message(reader), 2)
        writer.close()
        end = str(answer.status)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failure:
        end = type(failure).__name__
    case.note(f"{identity} to {daemon.name}: a header of {header_bytes} bytes, {end}")
    return end


async def call(case, number):
    size = LARGE_HEADER_BYTES if case.has_trouble else USUAL_HEADER_BYTES
    chance = random.Random(number)
    for count in range(SENDS_OF_CALLER):
        for attempt in range(2):
            if await send(case, chance.choice(case.daemons), f"{number}-{count}-{attempt}", size) == "200":
                break
        await asyncio.sleep(PAUSE_S)


async def play(case, scratch):
    await case.start_store()
    routes = {"look": harness.route("/look/", "idempotent", "look")}
    await case.store.put("config", "main", spec=harness.configuration(1, routes, ["look"]))
    servers = [await Server(case, f"i-{number}", "look", "dkr-a").start() for number in range(4)]
    for number in range(2):
        await case.add_daemon(f"edge-dkr-a-{number}", "dkr-a", scratch).wait_until_ready()
    await case.store.put("config", "main", spec=harness.configuration(
        2, routes, ["look"], max_header_bytes=MAX_HEADER_BYTES))
    await asyncio.sleep(harness.BOUNDS["config_apply_ms"] / 1000)
    for daemon in case.daemons:
        if await send(case, daemon, "before", USUAL_HEADER_BYTES) != "200":
            raise harness.CannotRun("an ordinary request was not served")
    end = asyncio.get_running_loop().time() + SENDS_OF_CALLER * (PAUSE_S + 1)
    await asyncio.gather(case.supervise(MEMORY_MB, end), *(call(case, number) for number in range(CALLERS)))
    for server in servers:
        case.note(f"{server.identity} ran {server.runs}")
    return not case.has_fault()


harness.Case(HERE).run(play)
