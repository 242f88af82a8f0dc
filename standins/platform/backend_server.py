"""A stand-in for a backend server of the platform: slots, a queue, warm objects and a log of its runs."""

import asyncio
import collections
import time

import messages as wire

HEARTBEAT_S = 0.4
WARM_RUN_S, COLD_RUN_S = 0.01, 0.04
WARM_OBJECTS = 16
LONGEST_QUEUE = 8


class BackendServer:
    """One process of a service. It registers itself in the store until it is gone."""

    def __init__(self, store, identity, service, zone, address, port, slots):
        self.store, self.identity, self.service, self.zone = store, identity, service, zone
        self.address, self.port, self.slots = address, port, slots
        self.state = "ready"
        self.is_registered = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.warm = collections.OrderedDict()
        # (id, method, path, seconds, whether the object was warm, name of the customer, whether it had a key)
        self.runs = []

    async def register(self):
        await self.store.put("servers", self.identity, spec={
            "addr": f"{self.address}:{self.port}", "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots}},
            status=self.status())

    def status(self):
        self.sequence += 1
        return {"state": self.state, "sequence": self.sequence, "cold_left_ms": 0}

    async def report(self):
        while self.is_registered:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self):
        self.state = "draining"
        await self.register()

    async def handle(self, message):
        method, path, _ = message.start.split(" ", 2)
        identity = message.headers.get("x-attempt-id", "")
        if message.headers.get("x-target-instance", self.identity) != self.identity:
            return wire.make_message("HTTP/1.1 421 Misdirected Request", {"X-Instance-Id": self.identity})
        if self.waiting >= LONGEST_QUEUE:
            return wire.make_message("HTTP/1.1 503 Service Unavailable",
                                     {"X-Not-Executed": "1", "X-Backend-Load": self.load()})
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            try:
                await self.run(identity, method, path, message.headers)
            finally:
                self.running -= 1
        headers = {"X-Attempt-Id": identity, "X-Response-Signature": f"{self.identity}.{identity}",
                   "X-Backend-Load": self.load(), "Keep-Alive": "timeout=10"}
        return wire.make_message("HTTP/1.1 200 OK", headers, f"{identity} {path} ".encode() + message.body)

    async def run(self, identity, method, path, headers):
        cookie = headers.get("cookie", "")
        is_warm = cookie in self.warm
        self.runs.append((identity, method, path, time.monotonic(), is_warm, headers.get("x-tenant", ""),
                          "authorization" in headers))
        self.warm[cookie] = True
        self.warm.move_to_end(cookie)
        if len(self.warm) > WARM_OBJECTS:
            self.warm.popitem(last=False)
        await asyncio.sleep(WARM_RUN_S if is_warm else COLD_RUN_S)

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"
