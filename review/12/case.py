"""Backend servers fail some of the requests that they ran with a 503 of their own, without X-Not-Executed."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
import harness  # noqa: E402
import messages as wire  # noqa: E402
from server import Server  # noqa: E402

PROMISES = (408, 421, 429, 503)
SERVERS, GREY_SERVERS, FAILED_SHARE = 8, 1, 0.45
GREY_FROM_S, GREY_FOR_S, PLAY_S = 2.0, 6.5, 11.0
CALLERS = 6


async def call(case, daemon, number, end, answers):
    """Sends one order after the other on a kept connection."""
    loop = asyncio.get_running_loop()
    connection = None
    count = 0
    while loop.time() < end:
        count += 1
        identity = f"order-{number}-{count}"
        if connection is None:
            connection = await asyncio.open_connection(harness.ADDRESS, daemon.front)
        reader, writer = connection
        writer.write(wire.make_message("POST /order/1 HTTP/1.1", {
            "Host": harness.HOST, "X-Attempt-Id": identity, "X-Deadline-Ms": 2000}, b"one die"))
        try:
            answer = await asyncio.wait_for(wire.read_message(reader), 2.5)
            answers[identity] = answer
            if answer.headers.get("connection") == "close":
                raise ConnectionError
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            writer.close()
            connection = None
        await asyncio.sleep(0.03)


async def play(case, scratch):
    loop = asyncio.get_running_loop()
    await case.start_store()
    await case.store.put("config", "main", spec=harness.configuration(
        1, {"orders": harness.route("/order/", "non_idempotent", "orders")}, ["orders"]))
    servers = [await Server(case, f"i-{number}", "orders", "dkr-a").start() for number in range(SERVERS)]
    daemon = case.add_daemon("edge-dkr-a-1", "dkr-a", scratch)
    await daemon.wait_until_ready()
    chance = random.Random(7)
    began = loop.time()

    def fail(message):
        is_grey = GREY_FROM_S <= loop.time() - began < GREY_FROM_S + GREY_FOR_S
        if not is_grey or chance.random() >= FAILED_SHARE:
            return None
        return wire.make_message("HTTP/1.1 503 Service Unavailable", servers[0].identification(message), b"no stock")
    if case.has_trouble:
        for server in servers[:GREY_SERVERS]:
            server.answer_instead = fail
    answers = {}
    await asyncio.gather(*(call(case, daemon, number, began + PLAY_S, answers) for number in range(CALLERS)))
    ran = {identity: server.identity for server in servers for identity in server.runs}
    statuses = {}
    broken = []
    for identity, answer in answers.items():
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
        case.note(f"{identity}: answered {answer.status}, ran at {ran.get(identity, '-')}")
        if answer.status in PROMISES and identity in ran:
            broken.append(identity)
    if statuses.get(200, 0) < 100:
        raise harness.CannotRun(f"too few requests were served: {statuses}")
    case.say(f"requests answered, by status: {statuses}; runs: {len(ran)}")
    case.say(f"REFUSED: {len(broken)} requests that may run once were answered with a promise and had run")
    return not broken


harness.Case(HERE).run(play)
