"""Ordinary requests with an empty body in chunks arrive over a narrow link, byte by byte."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
import harness  # noqa: E402
import messages as wire  # noqa: E402
from server import Server  # noqa: E402

MEMORY_MB = 260
CALLERS, SENDS_OF_CALLER, PAUSE_S = 4, 8, 1.5
BYTE_PAUSE_S = 0.001


class Link:
    """A proxy before a daemon. With trouble it passes on what callers send in pieces of one byte."""

    def __init__(self, daemon, has_trouble):
        self.daemon, self.has_trouble = daemon, has_trouble
        self.port = harness.free_ports(1)[0]

    async def start(self):
        await asyncio.start_server(self.serve, harness.ADDRESS, self.port)
        return self

    async def serve(self, reader, writer):
        try:
            to_daemon = await asyncio.open_connection(harness.ADDRESS, self.daemon.front)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, to_daemon[1], self.has_trouble), self.copy(to_daemon[0], writer, False))

    @staticmethod
    async def copy(reader, writer, is_narrow):
        try:
            while part := await reader.read(65536):
                for position in range(0, len(part), 1 if is_narrow else len(part)):
                    writer.write(part[position:position + 1] if is_narrow else part)
                    await writer.drain()
                    if is_narrow:
                        await asyncio.sleep(BYTE_PAUSE_S)
        except OSError:
            pass
        finally:
            writer.close()


async def send(case, link, identity):
    """Sends one request on a new connection. @returns the status of the answer, or what happened instead."""
    try:
        reader, writer = await asyncio.open_connection(harness.ADDRESS, link.port)
        writer.write((f"POST /look/1 HTTP/1.1\r\nHost: {harness.HOST}\r\nX-Attempt-Id: {identity}\r\n"
                      "X-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n").encode())
        answer = await asyncio.wait_for(wire.read_message(reader), 2)
        writer.close()
        end = str(answer.status)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failure:
        end = type(failure).__name__
    case.note(f"{identity} to {link.daemon.name}: {end}")
    return end


async def call(case, links, number, served):
    chance = random.Random(number)
    for count in range(SENDS_OF_CALLER):
        for attempt in range(2):
            if await send(case, chance.choice(links), f"{number}-{count}-{attempt}") == "200":
                served.append(number)
                break
        await asyncio.sleep(PAUSE_S)


async def play(case, scratch):
    await case.start_store()
    await case.store.put("config", "main", spec=harness.configuration(
        1, {"look": harness.route("/look/", "idempotent", "look")}, ["look"]))
    servers = [await Server(case, f"i-{number}", "look", "dkr-a").start() for number in range(4)]
    links = []
    for number in range(2):
        daemon = case.add_daemon(f"edge-dkr-a-{number}", "dkr-a", scratch)
        await daemon.wait_until_ready()
        links.append(await Link(daemon, case.has_trouble).start())
    # The hosts share the bounds of cold servers after they have read of each other.
    await asyncio.sleep(2)
    end = asyncio.get_running_loop().time() + SENDS_OF_CALLER * (PAUSE_S + 1)
    served = []
    await asyncio.gather(case.supervise(MEMORY_MB, end), *(call(case, links, number, served)
                                                           for number in range(CALLERS)))
    for server in servers:
        case.note(f"{server.identity} ran {server.runs}")
    case.say(f"requests served: {len(served)} of {CALLERS * SENDS_OF_CALLER}")
    if not case.has_trouble and not served:
        raise harness.CannotRun("no request was served")
    return not case.has_fault()


harness.Case(HERE).run(play)
