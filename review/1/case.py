"""A download whose first run failed and whose second run breaks off must not look complete to the client."""

import asyncio
import random
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
import parts  # noqa: E402
from parts import TROUBLE  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
CASE = int(FOLDER.name)
LENGTH_S = 60
CLIENTS = 8
SIZE = 150_000
# Doses: srv_grey fails x (.4) of the requests of share (.15) of the servers; garble breaks off x (.02) of the answers
# of share (.5) of the servers.
GREY_SHARE_OF_REQUESTS, BROKEN_SHARE_OF_ANSWERS = 0.4, 0.02


def make_work(random_source, is_grey, is_broken):
    async def work(backend, message, identity, path, writer):
        await asyncio.sleep(0.02)
        if TROUBLE and is_grey and random_source.random() < GREY_SHARE_OF_REQUESTS:
            backend.record.note(f"{backend.identity}: answers {identity} with 500")
            writer.write(parts.message_of("HTTP/1.1 500 Internal Server Error", parts.signed(backend, identity), b"sorry"))
            return True
        head = {**parts.signed(backend, identity), "Transfer-Encoding": "chunked"}
        body = (identity.encode() + b".") * (SIZE // (len(identity) + 1))
        breaks_off = TROUBLE and is_broken and random_source.random() < BROKEN_SHARE_OF_ANSWERS
        sent = body[:int(len(body) * random_source.uniform(0.1, 0.9))] if breaks_off else body
        writer.write(parts.head_of("HTTP/1.1 200 OK", head))
        for start in range(0, len(sent), 16384):
            piece = sent[start:start + 16384]
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        if not breaks_off:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        await writer.drain()
        await asyncio.sleep(0.02)
        backend.record.note(f"{backend.identity}: breaks off {identity} after {len(sent)} of {len(body)} bytes")
        return False
    return work


async def client(record, daemon, number, end, outcomes):
    connection = None
    count = 0
    while record.now() < end:
        count += 1
        identity = f"c{number}-{count}"
        kind, body = "cut", b""
        try:
            if connection is None:
                connection = await asyncio.open_connection(daemon.address, daemon.front)
            reader, writer = connection
            writer.write(parts.head_of(f"GET /maps/{number} HTTP/1.1", {
                "Host": parts.HOST, "X-Attempt-Id": identity, "X-Deadline-Ms": 2000}))
            answer = await asyncio.wait_for(parts.read_message(reader), 2)
            kind, body = str(answer.status), answer.body
            if answer.headers.get("connection", "").lower() == "close":
                writer.close()
                connection = None
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            if connection is not None:
                connection[1].close()
            connection = None
        outcomes.append((identity, kind, body))
        record.note(f"client: {identity} ends with {kind}, {len(body)} bytes")
        await asyncio.sleep(0.02)


async def main(record, temporary):
    store = parts.Store(record)
    await store.listen(parts.address(CASE, parts.STORE, 1))
    await store.put("config", "main", spec=parts.configuration(
        1, {"maps": parts.route("/maps/", "download", "archive", 2000, 400)}, ["archive"]))
    source = random.Random(1)
    zones = ["sve-a", "got-a", "norr-a"]
    backends = [parts.Backend(record, store, f"i-{number}", "archive", zones[number % 3], 8,
                              make_work(source, number == 0, number % 2 == 1)) for number in range(6)]
    for number, backend in enumerate(backends):
        await backend.start(parts.address(CASE, parts.SERVER, number + 1))
    daemons = [parts.Daemon(record, store, temporary, f"edge-{zone}-1", zone, parts.address(CASE, parts.EDGE, position + 1))
               for position, zone in enumerate(zones)]
    outcomes = []
    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.wait_until_ready()
        await asyncio.sleep(4)
        end = record.now() + LENGTH_S
        await asyncio.gather(*(client(record, daemons[number % 3], number, end, outcomes) for number in range(CLIENTS)))
    finally:
        for daemon in daemons:
            await daemon.stop()
    kinds = {}
    violations = []
    for identity, kind, body in outcomes:
        kinds[kind] = kinds.get(kind, 0) + 1
        whole = (identity.encode() + b".") * (SIZE // (len(identity) + 1))
        if kind == "200" and body != whole:
            violations.append(f"MIXED: {identity} got 200 with {len(body)} of {len(whole)} bytes, framed as complete")
    record.say(f"outcomes: {kinds}")
    if kinds.get("200", 0) < 1000:
        raise parts.CannotRun("too few requests were served")
    return violations


parts.play(FOLDER, main)
