#!/usr/bin/env python3
"""Failure: whoever read the daemon's log ended, and the next log line killed the daemon with all its open requests."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

ADDRESS = "127.0.0.1"
START_TIMEOUT_S, STOP_TIMEOUT_S = 10, 10
# Each of these requests is refused with a log line.
BAD_REQUESTS, BAD_REQUEST_INTERVAL_S = 10, 0.05


def free_ports(count):
    sockets = [socket.create_server((ADDRESS, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def settings(ports):
    store, callers, readiness, directory, metrics = (f"{ADDRESS}:{port}" for port in ports)
    return {"name": "host-1", "failure_domain": "sve-a", "address": ADDRESS, "store": store,
            "gateway": {"interface": "platform", "region": "svealand", "failure_domains": {"sve-a": "svealand"},
                        "callers": callers, "readiness": readiness, "directory": directory, "metrics": metrics,
                        "bounds": {"shutdown_grace_s": 2}}}


def send_bad_request(port):
    with socket.create_connection((ADDRESS, port), timeout=START_TIMEOUT_S) as caller:
        caller.sendall(b"no request\r\n\r\n")
        return caller.recv(1000)


def main(build):
    ports = free_ports(5)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.json"
        path.write_text(json.dumps(settings(ports)))
        log, output = os.pipe()
        daemon = subprocess.Popen([build / "pistachiohub", "serve", path], stdout=output)
        os.close(output)
        try:
            while b"daemon_started" not in os.read(log, 65536):
                pass
            os.close(log)
            for _ in range(BAD_REQUESTS):
                assert send_bad_request(ports[1]).startswith(b"HTTP/1.1 400 ")
                time.sleep(BAD_REQUEST_INTERVAL_S)
            assert daemon.poll() is None, f"the daemon ended with {daemon.returncode}"
            daemon.send_signal(signal.SIGTERM)
            assert daemon.wait(STOP_TIMEOUT_S) == 0, f"the daemon ended with {daemon.returncode}"
        finally:
            daemon.kill()
            daemon.wait()


main(pathlib.Path(sys.argv[1]))
