"""A backend crashes and starts again under its id, cold: does it get more requests than a cold one may get?

A cold backend whose requests of one second are twice the bound of the rule crashes once more, and the orders that it was
running are lost; the record names them."""

import asyncio
import collections
import pathlib
import random
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib-2"))
from lab import ADDRESS, BOUNDS, CannotRun, Server, main, make_request, read_answer, request_headers, route, service  # noqa: E402

DAEMONS, SERVERS, ROUNDS = 3, 7, 7
REQUESTS_PER_S, WORK_S = 420, 0.008
DOWN_S, COLD_S, COLD_PER_S = 0.75, 3.0, 5.4
PAUSE_S = 8.0
MOST_PER_S = COLD_PER_S * BOUNDS["cold_factor"] + BOUNDS["cold_slack"]
# Clients reuse connections that have been idle for up to four fifths of idle_timeout_ms.
REUSE_S = 12.0
ORDERS = 0.3


class ColdServer(Server):
    """Crashes when it gets too much while it is cold."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.lost = 0

    async def handle(self, message, writer):
        result = await super().handle(message, writer)
        now = time.monotonic()
        recent = sum(what == "arrived" and at > now - 1 for at, _, what in self.arrivals[-200:])
        if self.is_up and now < self.cold_until and recent > 2 * MOST_PER_S:
            self.lab.say(f"the cold {self.identity} crashes after {recent} requests in a second, {self.running} are running")
            self.lost += self.running
            self.crash()
            return False
        return result


async def send_requests(lab, daemon, rate, sent, ends, seed):
    """Clients of one daemon; they keep their connections."""
    chance = random.Random(seed)
    idle, tasks = [], set()

    async def send(number):
        identity = f"{daemon.name}-{number}"
        is_order = chance.random() < ORDERS
        while idle and idle[0][2] < time.monotonic() - REUSE_S:
            idle.pop(0)[1].close()
        try:
            reader, writer = idle.pop()[:2] if idle else await asyncio.open_connection(ADDRESS, daemon.front)
            sent[identity] = time.monotonic()
            writer.write(make_request("POST" if is_order else "GET", f"{'/buy/' if is_order else '/look/'}{number % 50}",
                                      request_headers(identity), b"order" if is_order else b""))
            status, headers, _ = await asyncio.wait_for(read_answer(reader), 3)
            ends[status] += 1
            if is_order and status >= 500:
                lab.record(f"order {identity} was answered {status}")
            if headers.get("connection") == "close":
                writer.close()
            else:
                idle.append((reader, writer, time.monotonic()))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failure:
            ends[type(failure).__name__] += 1
    number = 0
    while True:
        number += 1
        task = asyncio.ensure_future(send(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(chance.expovariate(rate))


def most_in_a_second(server, sent, since):
    """Requests that were sent and arrived in the same second, the most of all seconds."""
    arrivals = [(at, sent[identity]) for at, identity, what in server.arrivals
                if what == "arrived" and since <= at <= since + COLD_S]
    return max((sum(begin <= other_sent and other <= begin + 1 for other, other_sent in arrivals)
                for begin in (one_sent for _, one_sent in arrivals)), default=0)


async def play(lab):
    await lab.configure(1, {"look": route("/look/", "idempotent", "shop"),
                            "buy": route("/buy/", "non_idempotent", "shop")},
                        {"shop": service(cold_start_s=COLD_S, cold_per_s=COLD_PER_S)})
    servers = [ColdServer(lab, f"i-{number}", "shop", "sve-a", work_s=WORK_S) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    await lab.start_daemons(["sve-a"] * DAEMONS)
    sent, ends, violations = {}, collections.Counter(), []
    clients = [asyncio.ensure_future(send_requests(lab, daemon, REQUESTS_PER_S / DAEMONS, sent, ends, seed))
               for seed, daemon in enumerate(lab.daemons)]
    for number in range(ROUNDS):
        await asyncio.sleep(PAUSE_S + random.random())
        server = servers[number % SERVERS]
        since = time.monotonic()
        if lab.has_trouble:
            server.crash()
            await asyncio.sleep(DOWN_S)
            since = time.monotonic()
            await server.start(cold_s=COLD_S)
        await asyncio.sleep(COLD_S)
        if not server.is_up:
            await server.start(cold_s=COLD_S)
        most = most_in_a_second(server, sent, since)
        lab.say(f"round {number}: {server.identity} got {most} requests in a second, "
                f"{f'cold, {MOST_PER_S:.1f} are allowed' if lab.has_trouble else 'warm'}")
        if lab.has_trouble and most > MOST_PER_S:
            violations.append(f"the cold {server.identity} got {most} requests in a second, {MOST_PER_S:.1f} are allowed")
    for client in clients:
        client.cancel()
    lab.say(f"answers {dict(ends)}")
    if ends[200] < 0.8 * sum(ends.values()):
        raise CannotRun("too few requests were served")
    return violations


main(CASE, play)
