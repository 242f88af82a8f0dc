"""Faults that meta/demo plays on the running processes; each function plays one."""

import json
import signal
import time

# Longer than every liveness timeout (3 s between peers, 1 s of the pause detection).
FREEZE_S = 6
STORE_FAULT_S = 5
SLOW_STORE_MS = 300
LOST_ANSWER_PROBABILITY = 0.3
STORE_SEED = 11
# A notice of a quarantine reaches the other daemons within 1 s.
CRASH_PAUSE_S = 1.2
CRASH_CALLS = 5
# Section 1.6; nothing is added for the time before the notice, because one request is sent at a time.
MOST_CRASHED_SERVERS = 2
BURST_S = 3
BURST_FACTOR = 3
# Longer than in other runs, so that the burst overloads the backend servers and not this machine.
BURST_SERVICE_TIME_MS = 40
# Threads that make calls with this deadline keep the rate even when no call is answered before it.
BURST_DEADLINE_MS = 300
BURST_THREADS = 512
# Part of the calls that the slots can run during the burst: the 95% of section 1.6, less the tenth of the
# slots that the other callers of the service use.
LEAST_COMPLETED = 0.85
# Two seconds for which lookups are valid, the flush and the start.
ROLLING_S_PER_DAEMON = 4


class StepFailed(Exception):
    """A step of the demo did not have its expected end."""


def freeze(demo):
    name = next(iter(demo.entry_hosts))
    demo.processes.signal(name, signal.SIGSTOP)
    demo.say(f"daemon {name} is frozen")
    try:
        time.sleep(FREEZE_S)
    finally:
        demo.processes.signal(name, signal.SIGCONT)
    demo.say(f"daemon {name} was frozen for {FREEZE_S} s and resumes")
    demo.wait_ready()


def play_store_fault(demo, fault, normal):
    demo.control_store(fault)
    demo.say(f"store: {fault}")
    time.sleep(STORE_FAULT_S)
    demo.control_store(normal)
    counts = demo.control_store(normal)["counts"]
    demo.say(f"store: {normal}; calls so far: {json.dumps(counts)}")
    return counts


def store_outage(demo):
    play_store_fault(demo, {"outage": True}, {"outage": False})


def slow_store(demo):
    play_store_fault(demo, {"slow_ms": SLOW_STORE_MS}, {"slow_ms": 0})


def lost_answers(demo):
    counts = play_store_fault(demo, {"lost_answers": LOST_ANSWER_PROBABILITY, "seed": STORE_SEED}, {"lost_answers": 0})
    if not any("lost_answer" in kind for kind in counts.values()):
        raise StepFailed("the store lost no answer")


def repeat_crashing_request(demo, service, first_seed):
    """Sends the same body as separate calls, each through another daemon."""
    crashed = set()
    names = list(demo.entry_hosts)
    for number in range(CRASH_CALLS):
        daemon = names[number % len(names)]
        # The call's name is part of the body, so the prefix stays the same; each seed makes another id.
        demo.call_with_crash_marker(f"repeat-{service}-{number}", daemon, service, f"repeat-{service}",
                                    first_seed + number)
        time.sleep(CRASH_PAUSE_S)
        crashed.update(demo.ended_backend_servers())
    demo.say(f"{CRASH_CALLS} calls of one crashing {service} request ended {len(crashed)} backend servers: "
             + ", ".join(sorted(crashed)))
    for name in crashed:
        demo.start_backend_server(name)
    if not 1 <= len(crashed) <= MOST_CRASHED_SERVERS:
        raise StepFailed(f"a crashing {service} request ended {len(crashed)} backend servers; "
                         f"expected 1 to {MOST_CRASHED_SERVERS}")
    last = demo.folder / f"repeat-{service}-{CRASH_CALLS - 1}.history"
    reasons = {json.loads(line).get("reason") for line in last.read_text().splitlines()}
    if "quarantined" not in reasons:
        raise StepFailed(f"the last call of the crashing {service} request was not refused as quarantined: {reasons}")


def crashing_request(demo):
    repeat_crashing_request(demo, demo.services("at_most_once")[0], 100)
    repeat_crashing_request(demo, demo.services("idempotent")[0], 200)


def rolling(demo):
    for name in demo.entry_hosts:
        demo.processes.signal(name, signal.SIGTERM)
        demo.expect_drained(name)
        demo.start_daemon(name)
        demo.wait_ready()
        demo.say(f"daemon {name} was drained and started again")


def burst(demo):
    service = demo.services("at_most_once")[0]
    servers = [server for server in demo.backend_servers.values() if server["service"] == service]
    slots = len(servers) * demo.configuration["services"][service]["slots"]
    capacity = slots * 1000 / BURST_SERVICE_TIME_MS
    demo.start_burst(service, BURST_FACTOR * capacity, BURST_S)
    demo.say(f"burst of {BURST_FACTOR * capacity:.0f} {service} requests a second for {BURST_S} s")
    if demo.processes.wait("burst", BURST_S + 30) != 0:
        raise StepFailed("callers of the burst failed")
    completed = json.loads(demo.last_output("burst"))["ran"] / (capacity * BURST_S)
    demo.say(f"burst ended: {demo.last_output('burst')}; {completed:.0%} of the slots' work completed in time")
    if completed < LEAST_COMPLETED:
        raise StepFailed(f"callers of the burst got {completed:.0%} of what the slots can run, "
                         f"expected {LEAST_COMPLETED:.0%}")


FAULTS = {"freeze": freeze, "store-outage": store_outage, "slow-store": slow_store, "lost-answers": lost_answers,
          "crashing-request": crashing_request, "rolling": rolling, "burst": burst}


def duration(name, daemon_count):
    """Returns the seconds in which callers go on because of the fault."""
    return {"freeze": FREEZE_S, "crashing-request": 2 * CRASH_CALLS * (CRASH_PAUSE_S + 0.3),
            "rolling": ROLLING_S_PER_DAEMON * daemon_count, "burst": BURST_S + 3}.get(name, STORE_FAULT_S)
