#!/usr/bin/env python3
"""Crowds of hostile connections against one listener of a daemon, one kind of input after the other.

Failure: hostile input of a few connections made the daemon use more memory than its host has, ended it, or kept
ordinary callers out for good. Checked is only what does not depend on speed: the process lives, its resident memory
and descriptors stay under what the settings state for the host, and ordinary requests are answered beside the crowd.
Usage: hostile_test.py BUILD LISTENER [KIND...]; exit code 0: all kinds passed."""

import os
import pathlib
import sys
import tempfile
import time

from crowd import KINDS, PEER_KINDS, Crowd
from daemon_host import DESCRIPTORS, MEMORY_MB, GatewayHost, OwnHost

# Attempts of the ordinary request; the crowd opens connections again between them.
ATTEMPTS, ATTEMPT_PAUSE_S = 5, 0.2
OWN_LISTENERS = ("front", "peer", "admin")


def is_served(host, listener, crowd):
    for _ in range(ATTEMPTS):
        crowd.reopen_closed()
        crowd.feed(lambda: False)
        if host.ask(listener) == 200:
            return True
        if not host.is_alive():
            return False
        time.sleep(ATTEMPT_PAUSE_S)
    return False


def play(build, listener, name):
    """Returns what went wrong."""
    make, count, is_repeated = (PEER_KINDS if listener == "peer" else KINDS)[name]
    faults = []
    with tempfile.TemporaryDirectory() as folder:
        host = (OwnHost if listener in OWN_LISTENERS else GatewayHost)(build, pathlib.Path(folder))
        try:
            before = host.memory_mb("VmRSS")
            crowd = Crowd(host.ports[listener], make, count, is_repeated, host, listener)
            most = [0]

            def watch():
                if not host.is_alive():
                    return False
                most[0] = max(most[0], host.descriptors())
                # A fault that is shown already need not use up the machine's memory.
                return host.memory_mb("VmRSS") < 4 * MEMORY_MB

            crowd.feed(watch)
            host.wait_until_quiet(watch)
            served = {one: is_served(host, one, crowd) for one in dict.fromkeys(host.ordinary(listener))}
            if not host.is_alive():
                return [f"the daemon ended with {host.process.returncode}"]
            most[0] = max(most[0], host.descriptors())
            peak = host.memory_mb("VmHWM")
            print(f"{listener} {name}: VmRSS before {before:.1f} MB, VmHWM {peak:.1f} MB of {MEMORY_MB}, descriptors "
                  f"{most[0]} of {DESCRIPTORS}, sent {crowd.total_sent()} B, closed {crowd.closed}, served {served}", flush=True)
            crowd.close()
            if peak > MEMORY_MB:
                faults.append(f"resident memory {peak:.1f} MB, the host has {MEMORY_MB} MB")
            if most[0] > DESCRIPTORS:
                faults.append(f"{most[0]} descriptors, the host has {DESCRIPTORS}")
            faults += [f"no ordinary request to {one} was answered" for one, is_answered in served.items() if not is_answered]
        finally:
            host.stop()
    return faults


def main(build, listener, *names):
    failures = 0
    for name in names or (PEER_KINDS if listener == "peer" else KINDS):
        for fault in play(build, listener, name):
            print(f"FAILED {listener} {name}: {fault}", flush=True)
            failures += 1
    return 1 if failures else 0


if __name__ == "__main__":
    code = main(pathlib.Path(sys.argv[1]).resolve(), *sys.argv[2:])
    sys.stdout.flush()
    # Without the end of the stand-ins' tasks, which were cut off with their event loop.
    os._exit(code)
