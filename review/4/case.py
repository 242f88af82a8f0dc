"""A request that a stopping daemon has passed on to a server must be answered before the daemon ends."""

import asyncio
import signal
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
import parts  # noqa: E402
from parts import TROUBLE  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
CASE = int(FOLDER.name)
# The sheet of the smoke alarm visits: both kinds of request go to the same service.
DOWNLOAD_S, FETCH_S = 0.384, 1.92
FETCH_SPREAD = 1.25  # work spreads by 0.15 around its mean and lasts three times the mean at most
FETCH_AT_S = (3.1, 3.2, 3.3, 3.4, 3.5)  # after SIGTERM; requests of the first 3 s may be excused
GRACE_S = parts.BOUNDS["grace_s"]


async def work(backend, message, identity, path, writer):
    await asyncio.sleep(FETCH_S * FETCH_SPREAD if path.startswith("/records/") else DOWNLOAD_S)
    writer.write(parts.message_of("HTTP/1.1 200 OK", parts.signed(backend, identity), identity.encode()))
    await writer.drain()
    backend.record.note(f"{backend.identity}: has answered {identity}")
    return True


async def send(record, daemon, identity, path, deadline_ms):
    """Sends one request on a new connection. Returns when its last byte was sent and how it ended."""
    sent_at, end, writer = None, "no_connection", None
    try:
        reader, writer = await asyncio.open_connection(daemon.address, daemon.front)
        writer.write(parts.head_of(f"GET {path} HTTP/1.1", {
            "Host": parts.HOST, "X-Attempt-Id": identity, "X-Deadline-Ms": deadline_ms}))
        await writer.drain()
        sent_at, end = record.now(), "cut"
        answer = await asyncio.wait_for(parts.read_message(reader), deadline_ms / 1000)
        end = str(answer.status)
    except (OSError, asyncio.IncompleteReadError):
        pass
    except asyncio.TimeoutError:
        end = "deadline"
    if writer is not None:
        writer.close()
    record.note(f"client: {identity} to {daemon.name} ends with {end}")
    return identity, sent_at, end


async def download(record, daemon, number, until, ends):
    count = 0
    while record.now() < until:
        count += 1
        ends.append(await send(record, daemon, f"d{daemon.name}-{number}-{count}", f"/maps/{number}", 2000))
        await asyncio.sleep(0.05)


async def fetch(record, daemon, at, stopped_at):
    await asyncio.sleep(max(0, stopped_at + at - record.now()))
    return await send(record, daemon, f"f{daemon.name}-{at}", "/records/1", 10000)


async def main(record, temporary):
    store = parts.Store(record)
    await store.listen(parts.address(CASE, parts.STORE, 1))
    await store.put("config", "main", spec=parts.configuration(
        1, {"maps": parts.route("/maps/", "download", "archive", 2000, 400),
            "records": parts.route("/records/", "idempotent", "archive", 10000, 1200)}, ["archive"]))
    zones = ["sve-a", "got-a", "norr-a"]
    backends = [parts.Backend(record, store, f"i-{number}", "archive", zones[number % 3], 8, work) for number in range(6)]
    for number, backend in enumerate(backends):
        await backend.start(parts.address(CASE, parts.SERVER, number + 1))
    daemons = [parts.Daemon(record, store, temporary, f"edge-{zone}-1", zone, parts.address(CASE, parts.EDGE, position + 1))
               for position, zone in enumerate(zones)]
    violations, fetched, downloads = [], [], []
    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.wait_until_ready()
        await asyncio.sleep(4)
        for daemon in daemons:
            # Clients that hold an answer of the directory go on for a while after the daemon has left it.
            until = record.now() + 6
            await asyncio.gather(*(download(record, daemon, number, until, downloads) for number in range(4)))
            stopped_at = record.now()
            if TROUBLE:
                daemon.signal(signal.SIGTERM)
            fetches = [asyncio.ensure_future(fetch(record, daemon, at, stopped_at)) for at in FETCH_AT_S]
            if TROUBLE:
                try:
                    await asyncio.wait_for(daemon.process.wait(), GRACE_S)
                    record.say(f"{daemon.name}: ended {record.now() - stopped_at:.2f} s after SIGTERM")
                except asyncio.TimeoutError:
                    daemon.signal(signal.SIGKILL)
            fetched += [(daemon, stopped_at, *await one) for one in fetches]
            if TROUBLE:
                await daemon.start()
                await daemon.wait_until_ready()
                await asyncio.sleep(4)
    finally:
        for daemon in daemons:
            await daemon.stop()
    ran = {identity: backend for backend in backends for _, identity in backend.arrivals}
    for daemon, stopped_at, identity, sent_at, end in fetched:
        record.say(f"{identity}: {end}, {'ran' if identity in ran else 'did not run'}")
        if end == "cut" and identity in ran:
            violations.append(f"LOST: {identity} was sent {sent_at - stopped_at:.2f} s after the SIGTERM of {daemon.name}, "
                              f"passed on to {ran[identity].identity}, and its connection ended without an answer")
    if sum(end == "200" for _, _, end in downloads) < 100:
        raise parts.CannotRun("too few requests were served")
    return violations


parts.play(FOLDER, main)
