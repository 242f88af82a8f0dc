"""A stand-in for a backend server: answers at once or after some work, and records each run."""

import asyncio
import time

import harness
import messages as wire


class Server:
    """One incarnation of a backend server that registers itself in the store."""

    def __init__(self, case, identity, service, zone, slots=6, work_s=0.02):
        self.case, self.identity, self.service, self.zone = case, identity, service, zone
        self.slots, self.work_s = slots, work_s
        self.port = harness.free_ports(1)[0]
        self.born, self.sequence = int(time.time() * 1000), 0
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = []  # ids in the order of their runs
        # Called with the message after its run; returns the bytes of another answer, or None.
        self.answer_instead = lambda message: None

    async def start(self):
        await wire.serve(harness.ADDRESS, self.port, self.handle)
        asyncio.ensure_future(self.report())
        return self

    async def report(self):
        while True:
            self.sequence += 1
            await self.case.store.put("servers", self.identity, spec={
                "addr": f"{harness.ADDRESS}:{self.port}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots}},
                status={"state": "ready", "sequence": self.sequence, "cold_left_ms": 0})
            await asyncio.sleep(harness.HEARTBEAT_S)

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    def identification(self, message):
        identity = message.headers.get("x-attempt-id", "")
        return {"X-Attempt-Id": identity, "X-Response-Signature": f"{self.identity}.{identity}",
                "X-Backend-Load": self.load(), "Keep-Alive": "timeout=10"}

    async def handle(self, message):
        if message.headers.get("x-target-instance", self.identity) != self.identity:
            return wire.make_message("HTTP/1.1 421 Misdirected Request", {"X-Instance-Id": self.identity})
        if message.start.split(" ")[1] == "/health":
            return wire.make_message("HTTP/1.1 200 OK", {"X-Instance-Id": self.identity, "X-Backend-Load": self.load()})
        if self.waiting >= 3 * self.slots:
            return wire.make_message("HTTP/1.1 503 Service Unavailable", {
                "X-Attempt-Id": message.headers.get("x-attempt-id", ""), "X-Not-Executed": "1",
                "X-Backend-Load": self.load()})
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runs.append(message.headers.get("x-attempt-id", ""))
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        instead = self.answer_instead(message)
        return instead or wire.make_message("HTTP/1.1 200 OK", self.identification(message), b"done")
