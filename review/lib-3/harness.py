"""Shared parts of the review's scripts: daemons of the deploy file, started beside stand-ins on loopback addresses."""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "standins" / "platform"))
import messages as wire  # noqa: E402
from metadata_store import MetadataStore  # noqa: E402

ADDRESS = "127.0.0.1"
HOST = "shop.example"
ZONES = {"dkr-a": "dakar", "ths-a": "thies"}
HEARTBEAT_S = 1.5
# A script runs for 120 seconds at most.
LONGEST_PLAY_S = 110
# Time after which the platform starts an ended process again.
RESTART_DELAY_S = 0.5
# The rule Fault: a tenth of the machines, two at least, end by themselves three times.
FAULT_ENDS, FAULT_MACHINES = 3, 2
# The bounds of the deployment tma-quotes.
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "revert_slack_ms": 250,
          "skew_max_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "extra_retries": 56,
          "cold_factor": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 15, "ttl_max_s": 5,
          "max_shift": 0.15}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class CannotRun(Exception):
    """The case could not be played, so that it proves nothing."""


def lookup(path, scopes):
    for scope in reversed(scopes):
        value = scope
        try:
            for part in path.split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return value
        except (KeyError, IndexError, TypeError, ValueError):
            continue
    return None


def render(text, scopes):
    """Fills in a template of settings as DEPLOY.md says, as far as this project's template uses it."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match):
        value = lookup(match[2], scopes)
        is_set = value is not None and value is not False
        if match[1] == "^":
            return "" if is_set else render(match[3], scopes)
        return render(match[3], [*scopes, {".": value}]) if is_set else ""

    def fill(match):
        path, _, form = match[1].partition("|")
        value = scopes[-1]["."] if path == "." else lookup(path, scopes)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else value if isinstance(value, str) else json.dumps(value)
    return re.sub(r"\{\{([\w.]+(?:\|json)?)\}\}", fill, section.sub(expand, text))


def free_ports(count):
    """Returns ports that were free for TCP and UDP a moment ago."""
    sockets, ports = [], []
    while len(ports) < count:
        tcp, udp = socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets += [tcp, udp]
        tcp.bind((ADDRESS, 0))
        try:
            udp.bind((ADDRESS, tcp.getsockname()[1]))
            ports.append(tcp.getsockname()[1])
        except OSError:
            continue
    for one in sockets:
        one.close()
    return ports


class Daemon:
    """One process of the role of deploy/system.toml on a machine of a small deployment."""

    def __init__(self, name, zone, store_port, folder, memory_mb=260, max_fds=4100):
        front, ready, directory, first, second = free_ports(5)
        self.name, self.front, self.ready, self.directory, self.metrics = name, front, ready, directory, first
        fields = {"node_name": name, "ip": ADDRESS, "zone": zone, "region": ZONES[zone], "zones": ZONES,
                  "listen": {"front": f"{ADDRESS}:{front}", "ready": f"{ADDRESS}:{ready}",
                             "directory": f"{ADDRESS}:{directory}"},
                  "port_range": [first, second], "platform": {"addr": f"{ADDRESS}:{store_port}"},
                  "heartbeat_ms": int(HEARTBEAT_S * 1000), "bounds": BOUNDS,
                  "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": memory_mb, "max_fds": max_fds,
                             "link_mbps": 1000.0, "disk_mb": 0}}
        self.settings = folder / f"{name}.json"
        self.settings.write_text(render((ROOT / "deploy" / "settings.template.json").read_text(), [fields]))
        self.log = folder / f"{name}.log"
        self.process = None

    def start(self):
        program = ROOT / "target" / "pistachiohub"
        if not program.exists():
            raise CannotRun("target/pistachiohub is missing: run the build of deploy/system.toml")
        with open(self.log, "ab") as output:
            self.process = subprocess.Popen([program, "serve", self.settings], cwd=ROOT, stdout=output, stderr=output)

    @property
    def exit_code(self):
        return self.process.poll()

    def memory_mb(self, field="VmRSS"):
        """Returns the resident memory, or None when the process has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(field + r":\s+(\d+) kB", status)[1]) * 1024 / 1e6
        except (OSError, TypeError):
            return None

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(ask(self.ready, "/pistachiohub/ready"), 1)
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end or self.exit_code is not None:
                raise CannotRun(f"{self.name} was not ready within {limit_s} s")
            await asyncio.sleep(0.1)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


async def ask(port, target):
    reader, writer = await asyncio.open_connection(ADDRESS, port)
    try:
        writer.write(wire.make_message(f"GET {target} HTTP/1.1", {"Host": "x"}))
        return await wire.read_message(reader)
    finally:
        writer.close()


def route(prefix, kind, service, **changes):
    return {"host": HOST, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 2000,
            "target_latency_ms": 500, "priority": 0, "max_attempts": 2, "sticky": False, "home_regions": [], **changes}


def configuration(version, routes, services, **limits):
    service = {"health_path": "/health", "max_conns": 330, "cold_start_s": 3.0, "cold_per_s": 13.0}
    return {"version": version, "routes": routes, "services": {name: service for name in services},
            "limits": {**LIMITS, **limits}}


class Case:
    """Runs one case, writes record.txt and ends all processes that it started."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        # Set by run.sh.
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.lines, self.began = [], time.monotonic()
        self.daemons = []
        self.store = MetadataStore()

    def note(self, text):
        self.lines.append(f"[{time.monotonic() - self.began:7.3f}] {text}")

    def say(self, text):
        self.note(text)
        print(text, flush=True)

    async def start_store(self):
        self.store_port = free_ports(1)[0]
        await wire.serve(ADDRESS, self.store_port, self.store.handle)

    def add_daemon(self, name, zone, scratch, **resources):
        daemon = Daemon(name, zone, self.store_port, scratch, **resources)
        self.daemons.append(daemon)
        daemon.start()
        return daemon

    async def supervise(self, memory_mb, until):
        """Acts as the platform for all daemons until `until`: ends one that exceeds its memory, and starts one that
        has ended again. Counts in `own_ends` how often each daemon has ended by itself."""
        loop = asyncio.get_running_loop()
        self.own_ends = {daemon.name: 0 for daemon in self.daemons}
        while loop.time() < until:
            for daemon in self.daemons:
                used_mb = daemon.memory_mb()
                if daemon.exit_code is None and used_mb is not None and used_mb > memory_mb:
                    self.note(f"{daemon.name} uses {used_mb:.0f} MB of {memory_mb} MB and is killed")
                    daemon.stop()
                elif daemon.exit_code is not None:
                    self.note(f"{daemon.name} has ended with {daemon.exit_code}")
                else:
                    continue
                self.own_ends[daemon.name] += 1
                loop.call_later(RESTART_DELAY_S, daemon.start)
                await asyncio.sleep(RESTART_DELAY_S)
            await asyncio.sleep(0.05)

    def has_fault(self):
        """Returns whether the rule Fault is broken by ends of processes."""
        failed = [name for name, count in self.own_ends.items() if count >= FAULT_ENDS]
        self.say(f"Fault: daemons ended by themselves, times: {self.own_ends}")
        return len(failed) >= max(FAULT_MACHINES, len(self.daemons) / 10)

    def run(self, play):
        """Calls `play(case, scratch)`, which returns whether the rule held, and ends this process."""
        with tempfile.TemporaryDirectory(prefix="review-3-") as scratch:
            asyncio.run(self.run_in(play, pathlib.Path(scratch)))

    def abandon(self):
        for daemon in self.daemons:
            daemon.stop()
        os._exit(2)

    async def run_in(self, play, scratch):
        code = 2
        # Whoever ends a script early must not leave its daemons behind.
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, self.abandon)
        try:
            self.note(f"trouble: {self.has_trouble}")
            held = await asyncio.wait_for(play(self, scratch), LONGEST_PLAY_S)
            code = 0 if held else 1
            self.say("the rule held" if held else "the rule was broken")
        except (CannotRun, asyncio.TimeoutError, OSError) as failure:
            self.say(f"the case could not run: {failure!r}")
        for daemon in self.daemons:
            daemon.stop()
            self.note(f"log of {daemon.name}, last lines:")
            for line in daemon.log.read_text(errors="replace").splitlines()[-8:]:
                self.lines.append("    " + line[:400])
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")
        shutil.rmtree(scratch, ignore_errors=True)
        sys.stdout.flush()
        # The connections of the stand-ins are still open, and need not be closed one by one.
        os._exit(code)
