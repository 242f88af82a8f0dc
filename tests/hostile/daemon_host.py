"""One daemon of the build under test with stand-ins for its surroundings, as the tests of hostile callers start it."""

import asyncio
import json
import os
import pathlib
import resource
import socket
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "standins" / "platform"))
import messages as wire  # noqa: E402
from backend_server import BackendServer  # noqa: E402
from metadata_store import MetadataStore  # noqa: E402

ADDRESS, HOST = "127.0.0.1", "shop.example"
# Resources of the host that the settings state; the bounds of the tests follow from them.
MEMORY_MB, DESCRIPTORS = 64, 512
READY_TIMEOUT_S, ANSWER_TIMEOUT_S = 30, 60
QUIET_TIMEOUT_S, QUIET_S, QUIET_TICKS = 60, 1.0, 3
HELD_RUN_S, LARGE_ANSWER_BYTES, SLOTS = 1.0, 32768, 16


def free_ports(count):
    sockets = [socket.create_server((ADDRESS, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class HostileBackendServer(BackendServer):
    """Answers /look/large/ with a large body, and /look/held/ late."""

    async def run(self, identity, method, path, cookie):
        await asyncio.sleep(HELD_RUN_S if path.startswith("/look/held/") else 0)

    async def handle(self, message):
        answer = await super().handle(message)
        if " /look/large/" not in message.start or not answer.startswith(b"HTTP/1.1 200 "):
            return answer
        headers = {"X-Attempt-Id": message.headers.get("x-attempt-id", ""), "X-Response-Signature": "large",
                   "X-Backend-Load": self.load(), "Keep-Alive": "timeout=10"}
        return wire.make_message("HTTP/1.1 200 OK", headers, b"l" * LARGE_ANSWER_BYTES)


class Host:
    """The process under test; its resident memory and descriptors are read from /proc."""

    def __init__(self, build, folder):
        self.build, self.folder, self.process, self.started = build, folder, None, []

    def start_daemon(self, settings):
        path = self.folder / "settings.json"
        path.write_text(json.dumps(settings))
        limits = (DESCRIPTORS, DESCRIPTORS)
        with open(self.folder / "daemon.log", "wb") as log:
            self.process = subprocess.Popen(
                [self.build / "pistachiohub", "serve", path], stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits))
        self.started.append(self.process)

    def wait_ready(self, is_ready):
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while not is_ready():
            if time.monotonic() > ends_at or self.process.poll() is not None:
                log = (self.folder / "daemon.log").read_text()[-2000:]
                raise SystemExit(f"the daemon is not ready, exit code {self.process.poll()}:\n{log}")
            time.sleep(0.05)

    def is_alive(self):
        return self.process.poll() is None

    def memory_mb(self, field):
        """VmRSS or VmHWM in the unit of the setting memory_mb."""
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def processor_ticks(self):
        fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return int(fields[11]) + int(fields[12])

    def wait_until_quiet(self, watch):
        """Waits until the daemon has dealt with what it was sent: it uses hardly any processor time."""
        ends_at = time.monotonic() + QUIET_TIMEOUT_S
        ticks = self.processor_ticks()
        while time.monotonic() < ends_at and watch():
            time.sleep(QUIET_S)
            before, ticks = ticks, self.processor_ticks() if self.is_alive() else 0
            if ticks - before <= QUIET_TICKS:
                return

    def stop(self):
        for process in reversed(self.started):
            process.kill()
            process.wait()


class GatewayHost(Host):
    """A daemon that forwards whole requests, with a store and one backend server in a thread of this process."""

    def __init__(self, build, folder):
        super().__init__(build, folder)
        names = ("store", "server", "callers", "readiness", "directory", "metrics", "relay")
        self.ports = dict(zip(names, free_ports(len(names))))
        self.loop = asyncio.new_event_loop()
        self.loop.set_exception_handler(lambda loop, context: None)
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        asyncio.run_coroutine_threadsafe(self.start_standins(), self.loop).result()
        own = {name: f"{ADDRESS}:{port}" for name, port in self.ports.items()}
        gateway = {"interface": "platform", "region": "svealand", "failure_domains": {"sve-a": "svealand"},
                   "bounds": {"extra_retries": 1000, "shutdown_grace_s": 2},
                   "resources": {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS}}
        gateway |= {name: own[name] for name in ("callers", "readiness", "directory", "metrics", "relay")}
        self.start_daemon({"name": "host-1", "failure_domain": "sve-a", "address": ADDRESS, "store": own["store"],
                           "gateway": gateway})
        self.wait_ready(lambda: self.ask("callers") == 200)

    async def start_standins(self):
        store = MetadataStore()
        self.listeners = [await wire.serve(ADDRESS, self.ports["store"], store.handle)]
        route = {"host": HOST, "path_prefix": "/look/", "kind": "idempotent", "service": "look", "timeout_ms": 5000,
                 "target_latency_ms": 500, "priority": 0, "max_attempts": 2, "sticky": False}
        await store.put("config", "main", spec={
            "version": 1, "routes": {"look": route},
            "services": {"look": {"health_path": "/health", "max_conns": 100, "cold_start_s": 0, "cold_per_s": 1000}},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}})
        server = HostileBackendServer(store, "i-1", "look", "sve-a", ADDRESS, self.ports["server"], SLOTS)
        self.listeners.append(await wire.serve(ADDRESS, self.ports["server"], server.handle))
        self.reports = asyncio.ensure_future(server.report())

    def path(self, listener, kind=""):
        return {"callers": "/look/held/1" if kind == "held" else "/look/large/1" if kind == "large" else "/look/1",
                "readiness": "/pistachiohub/ready", "metrics": "/metrics",
                "directory": f"/pistachiohub/resolve?name={HOST}&region=svealand&zone=sve-a",
                "relay": "/v1/changes/config?after=0&wait_ms=0&generation=0"}[listener]

    def ask(self, listener):
        # The relay answers questions that it does not understand by 400; whether it has anything to tell is no matter.
        status = ask_once(self.ports[listener], self.path(listener))
        return 200 if listener == "relay" and status == 400 else status

    def ordinary(self, listener):
        return [listener, "callers"]


class OwnHost(Host):
    """A daemon with the project's own interface, the stand-in store and one backend server."""

    KEY = "hostile-callers-key-0123456789"

    def __init__(self, build, folder):
        super().__init__(build, folder)
        names = ("store", "server", "front", "peer", "admin")
        self.ports = dict(zip(names, free_ports(len(names))))
        region = {"failure_domains": {"svealand-1": {"entry_hosts": 1}}}
        document = {"version": 1, "patch_id": "initial", "regions": {"svealand": region},
                    "services": {"balance": {"kind": "idempotent", "slots": 3, "connections": 100}}}
        hosts = {"svealand-1": {
            "entry_hosts": [{"name": "svealand-1-a", "address": ADDRESS, "caller_port": self.ports["front"],
                             "peer_port": self.ports["peer"], "admin_port": self.ports["admin"], "state": "live"}],
            "backend_servers": [{"name": "balance-1", "address": ADDRESS, "port": self.ports["server"],
                                 "service": "balance", "state": "live"}]}}
        objects = folder / "objects.json"
        objects.write_text(json.dumps({"configuration": {"current": document}, "hosts": hosts}))
        for command in (["standin_object_store", "--port", self.ports["store"], "--objects", objects],
                        ["standin_backend_server", "--port", self.ports["server"], "--name", "balance-1",
                         "--service", "balance"]):
            self.started.append(subprocess.Popen([build / command[0], *map(str, command[1:])],
                                                 stdout=subprocess.DEVNULL))
        self.start_daemon({"name": "svealand-1-a", "failure_domain": "svealand-1", "address": ADDRESS,
                           "caller_port": self.ports["front"], "peer_port": self.ports["peer"],
                           "admin_port": self.ports["admin"],
                           "store": {"address": ADDRESS, "port": self.ports["store"]},
                           "peer_key": self.KEY, "admin_key": self.KEY})
        self.wait_ready(lambda: self.ask("admin") == 200 and self.ask("front") == 200)

    def path(self, listener, kind=""):
        if listener == "admin":
            return "/metrics" if kind == "large" else "/healthz"
        return "/v1/lookup?service=balance&client=10.0.0.1"

    def ask(self, listener):
        return ask_once(self.ports["front" if listener == "peer" else listener], self.path(listener))

    def ordinary(self, listener):
        return [listener, "front", "admin"]


def ask_once(port, path):
    """Sends one ordinary request on a connection of its own. Returns the status, or 0 without an answer."""
    try:
        with socket.create_connection((ADDRESS, port), timeout=ANSWER_TIMEOUT_S) as connection:
            connection.sendall(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: ordinary-{time.monotonic_ns()}\r\n"
                               "X-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n".encode())
            answer = b""
            while b"\r\n\r\n" not in answer:
                part = connection.recv(65536)
                if not part:
                    return 0
                answer += part
            return int(answer.split(b" ", 2)[1])
    except (OSError, ValueError, IndexError):
        return 0
