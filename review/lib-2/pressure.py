"""Ordinary callers beside a few clients whose requests take much of the daemon's processor time."""

import asyncio
import collections
import time

from lab import ADDRESS, CannotRun, Server, ask, read_answer, request_headers, route, service

PLAY_S, SETTLE_S = 30, 3.0
ODD_PAUSE_S, ODD_PATIENCE_S = 0.2, 3.0
ORDINARY_CLIENTS, ORDINARY_PAUSE_S = 6, 0.2
TIMEOUT_S, LATE_S = 1.2, 0.5
WORK_S = 0.05


async def play_pressure(lab, make_odd_request, odd_clients):
    """Ordinary callers beside clients that send what `make_odd_request(identity, has_trouble)` returns.

    Returns what breaks CONFIG: ordinary requests without an answer half a second after the timeout of their route."""
    await lab.configure(1, {"look": route("/look/", "idempotent", "look", timeout_ms=int(TIMEOUT_S * 1000))}, {"look": service()})
    for number in range(8):
        await Server(lab, f"i-{number}", "look", "sve-a", work_s=WORK_S).start()
    await lab.start_daemons(["sve-a"])
    [daemon] = lab.daemons
    ends_at = time.monotonic() + PLAY_S
    odd, ordinary, readiness = collections.Counter(), [], collections.Counter()

    async def send_odd(client):
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            try:
                reader, writer = await asyncio.open_connection(ADDRESS, daemon.front)
                writer.write(make_odd_request(f"odd-{client}-{number}", lab.has_trouble))
                odd["sent"] += 1
                status, _, _ = await asyncio.wait_for(read_answer(reader), ODD_PATIENCE_S)
                odd[status] += 1
                writer.close()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failure:
                odd[type(failure).__name__] += 1
            await asyncio.sleep(ODD_PAUSE_S)

    async def send_ordinary(client):
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            identity = f"ordinary-{client}-{number}"
            sent_at = time.monotonic()
            try:
                end, _, _ = await ask(daemon.front, "GET", "/look/1", request_headers(identity), timeout_s=3)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failure:
                end = type(failure).__name__
            took = time.monotonic() - sent_at
            ordinary.append((sent_at, end, took))
            lab.record(f"{identity}: {end} after {took:.2f} s")
            await asyncio.sleep(ORDINARY_PAUSE_S)

    async def ask_readiness():
        while time.monotonic() < ends_at:
            try:
                status, _, _ = await ask(daemon.ready, "GET", "/pistachiohub/ready", {"Host": "r"}, timeout_s=1)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                status = "no answer"
            readiness[status] += 1
            await asyncio.sleep(1)

    began_at = time.monotonic()
    await asyncio.gather(*[send_odd(client) for client in range(odd_clients)],
                         *[send_ordinary(client) for client in range(ORDINARY_CLIENTS)], ask_readiness())
    if not daemon.is_alive:
        return [f"the daemon ended with {daemon.process.returncode}"]
    # In touch: since the daemon became ready nothing has been done to it, its connections or the store.
    judged = [entry for entry in ordinary if entry[0] > began_at + SETTLE_S]
    at_timeout = [entry for entry in judged if entry[2] > TIMEOUT_S]
    late = [entry for entry in at_timeout if entry[2] > TIMEOUT_S + LATE_S]
    lab.say(f"odd requests {dict(odd)}")
    lab.say(f"ordinary requests {dict(collections.Counter(entry[1] for entry in judged))}, unanswered at the route's timeout "
            f"{len(at_timeout)}, {LATE_S} s later {len(late)}")
    lab.say(f"readiness {dict(readiness)}")
    if not lab.has_trouble and sum(entry[1] == 200 for entry in judged) < len(judged) / 2:
        raise CannotRun("too few ordinary requests were served in calm")
    if 2 * len(late) > len(at_timeout):
        return [f"{len(late)} of {len(at_timeout)} ordinary requests that were unanswered at {TIMEOUT_S} s had no answer {LATE_S} s later"]
    return []
