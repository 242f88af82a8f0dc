"""Three of 21 backends crash while each runs a request that many callers send: is that request still served afterwards?"""

import asyncio
import collections
import pathlib
import random
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib-2"))
from lab import CannotRun, Server, ask, main, request_headers, route, service  # noqa: E402

DAEMONS, SERVERS, CRASHED = 3, 21, 3
# Requests a second on the route that was added later, all with the same path, and on the first route.
LIST_PER_S, LOOK_PER_S = 90, 45
WORK_S, DOWN_S = 0.45, 4.5
# The aim and the timeout of a route whose requests take that long.
TIMES = {"target_latency_ms": 1000, "timeout_ms": 3000}
CALM_S, RECOVERY_S, STEADY_S = 6, 10, 30
LEAST_REQUESTS, LEAST_PART = 20, 0.25


async def play(lab):
    services = {"shop": service()}
    first = {"look": route("/look/", "idempotent", "shop", **TIMES)}
    await lab.configure(1, first, services)
    servers = [Server(lab, f"i-{number}", "shop", "sve-a", work_s=WORK_S) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    await lab.start_daemons(["sve-a"] * DAEMONS)
    await lab.configure(2, {**first, "list": route("/list/", "idempotent", "shop", **TIMES)}, services)
    await asyncio.sleep(3)
    outcomes, tasks, chance = [], set(), random.Random(1)
    count = 0

    async def send(daemon, name, target):
        nonlocal count
        count += 1
        identity = f"{daemon.name}-{count}"
        sent_at = time.monotonic()
        try:
            end, _, _ = await ask(daemon.front, "GET", target, request_headers(identity))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failure:
            end = type(failure).__name__
        lab.record(f"client: {identity} {target} {end}")
        outcomes.append((sent_at, name, end))

    async def generate(daemon, name, per_s):
        number = 0
        while True:
            number += 1
            target = "/list/prices" if name == "list" else f"/look/{daemon.name}-{number}"
            task = asyncio.ensure_future(send(daemon, name, target))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(chance.expovariate(per_s))
    generators = [asyncio.ensure_future(generate(daemon, name, per_s / DAEMONS)) for daemon in lab.daemons
                  for name, per_s in (("list", LIST_PER_S), ("look", LOOK_PER_S))]
    await asyncio.sleep(CALM_S)
    # Whichever are busiest at the moment, so that each of them runs the request.
    crashed = sorted(servers, key=lambda server: -server.running)[:CRASHED] if lab.has_trouble else []
    for server in crashed:
        lab.say(f"{server.identity} crashes with {server.running} running requests")
        server.crash()
    await asyncio.sleep(DOWN_S)
    for server in crashed:
        await server.start(cold_s=3.0)
    back_at = time.monotonic()
    await asyncio.sleep(RECOVERY_S + STEADY_S)
    for generator in generators:
        generator.cancel()
    if not all(daemon.is_alive for daemon in lab.daemons):
        return ["a daemon ended"]
    parts = {}
    for name in ("look", "list"):
        steady = collections.Counter(end for sent_at, kind, end in outcomes if kind == name and sent_at > back_at + RECOVERY_S)
        parts[name] = (sum(steady.values()), steady[200] / max(sum(steady.values()), 1))
        lab.say(f"/{name}/ from {RECOVERY_S} s after all backends are back: {dict(steady)}")
    if parts["look"][1] < 0.8:
        raise CannotRun("the first route was not served")
    if parts["list"][0] >= LEAST_REQUESTS and parts["list"][1] < LEAST_PART * parts["look"][1]:
        return [f"of {parts['list'][0]} requests on the later route {100 * parts['list'][1]:.0f}% were served, "
                f"of {parts['look'][0]} on the first one {100 * parts['look'][1]:.0f}%"]
    return []


main(CASE, play)
