#!/usr/bin/env python3
"""Runs each command that docs/OPERATIONS.md prints, in the page's order, against one daemon.

Guards against pages whose commands or options no longer exist."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADDRESS = "127.0.0.1"
# Ports as the page prints them.
STORE_PORT, CALLER_PORT, PEER_PORT, ADMIN_PORT, FIRST_BACKEND_PORT = 7000, 7001, 7002, 7003, 7010
ADMIN_KEY = "operations-page-admin-key"
SERVICES = {"balance": "idempotent", "redemption": "at_most_once"}
START_TIMEOUT_S = 20
COMMAND_TIMEOUT_S = 30


def read_commands():
    commands, is_shell = [], False
    for line in (ROOT / "docs" / "OPERATIONS.md").read_text().splitlines():
        if line.startswith("```"):
            is_shell = line == "```sh"
        elif is_shell:
            commands.append(line.split())
    return commands


def write_files(folder):
    services = {name: {"kind": kind, "slots": 3, "connections": 100} for name, kind in SERVICES.items()}
    document = {"version": 1, "patch_id": "initial", "services": services,
                "regions": {"svealand": {"failure_domains": {"svealand-1": {"entry_hosts": 1}}}}}
    backend_servers = [{"name": f"{name}-1", "address": ADDRESS, "port": FIRST_BACKEND_PORT + number,
                        "service": name, "state": "live"} for number, name in enumerate(SERVICES)]
    entry_host = {"name": "svealand-1-a", "address": ADDRESS, "caller_port": CALLER_PORT,
                  "peer_port": PEER_PORT, "admin_port": ADMIN_PORT, "state": "live"}
    hosts = {"svealand-1": {"entry_hosts": [entry_host], "backend_servers": backend_servers}}
    settings = {"name": "svealand-1-a", "failure_domain": "svealand-1", "address": ADDRESS,
                "caller_port": CALLER_PORT, "peer_port": PEER_PORT, "admin_port": ADMIN_PORT,
                "store": {"address": ADDRESS, "port": STORE_PORT},
                "peer_key": "operations-page-peer-key", "admin_key": ADMIN_KEY}
    patch = {"services": {"balance": {"policy": {"shift_cap": 0.1}}}}
    contents = {"objects.json": {"configuration": {"current": document}, "hosts": hosts},
                "settings.json": settings, "patch.json": patch}
    for name, content in contents.items():
        (folder / name).write_text(json.dumps(content))
    (folder / "admin.key").write_text(ADMIN_KEY + "\n")


def start_standins(build, folder):
    started = [subprocess.Popen([build / "standin_object_store", "--port", str(STORE_PORT),
                                 "--objects", folder / "objects.json"], stdout=subprocess.DEVNULL)]
    for number, name in enumerate(SERVICES):
        started.append(subprocess.Popen(
            [build / "standin_backend_server", "--port", str(FIRST_BACKEND_PORT + number),
             "--name", f"{name}-1", "--service", name, "--slots", "3"], stdout=subprocess.DEVNULL))
    return started


def wait_ready():
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        try:
            with urllib.request.urlopen(f"http://{ADDRESS}:{ADMIN_PORT}/readyz", timeout=1):
                return
        except OSError:
            time.sleep(0.05)
    raise SystemExit("the daemon is not ready")


def run_commands(build, folder, started):
    environment = dict(os.environ, PATH=f"{build}:{os.environ['PATH']}")
    failures = 0
    for command in read_commands():
        if command[:2] == ["pistachiohub", "serve"]:
            started.append(subprocess.Popen(command, cwd=folder, env=environment))
            wait_ready()
            # The host list is read by another thread than the configuration.
            time.sleep(1)
            continue
        run = subprocess.run(command, cwd=folder, env=environment, timeout=COMMAND_TIMEOUT_S,
                             capture_output=True, text=True, check=False)
        print(f"exit {run.returncode}: {' '.join(command)}")
        if run.returncode != 0:
            print(run.stdout, run.stderr)
            failures += 1
    return failures


def check_patch_without_version(build, folder):
    """A patch without a version would be merged into one that its author never saw."""
    run = subprocess.run([build / "pistachiohub", "config", "patch", "patch.json"], cwd=folder,
                         capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S, check=False)
    is_refused = run.returncode == 2 and "--against" in run.stderr
    print("a patch without --against is refused:", is_refused)
    return 0 if is_refused else 1


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        write_files(folder)
        started = start_standins(build, folder)
        try:
            time.sleep(0.3)
            failures = check_patch_without_version(build, folder)
            failures += run_commands(build, folder, started)
        finally:
            for process in started:
                process.terminate()
            for process in started:
                process.wait(START_TIMEOUT_S)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
