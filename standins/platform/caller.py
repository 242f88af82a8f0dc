"""A stand-in for a caller of the platform: asks the directory, keeps connections, records what it was told."""

import asyncio
import json
import random
import time

import messages as wire

DEADLINE_MS = 2000


class Caller:
    """Sends one request after the other from one failure domain."""

    def __init__(self, name, host, region, zone, directories, seed, key=None):
        self.name, self.host, self.region, self.zone = name, host, region, zone
        self.directories = directories
        self.key = key
        self.random = random.Random(seed)
        self.addresses, self.kept_until = [], 0
        self.connection = None  # (address, reader, writer)
        self.outcomes = []  # (id, prefix, kind of end, status, seconds)
        self.count = 0

    async def resolve(self):
        for directory in self.directories:
            try:
                reader, writer = await asyncio.open_connection(*directory)
                query = f"name={self.host}&region={self.region}&zone={self.zone}"
                writer.write(wire.make_message(f"GET /pistachiohub/resolve?{query} HTTP/1.1", {"Host": "d"}))
                answer = await asyncio.wait_for(wire.read_message(reader), 1)
                writer.close()
                if answer.status == 200:
                    document = json.loads(answer.body)
                    self.addresses = document["addrs"]
                    self.kept_until = time.monotonic() + document["ttl_s"]
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                continue

    async def connect(self):
        if time.monotonic() > self.kept_until:
            await self.resolve()
        if self.connection and self.connection[0] in self.addresses:
            return
        if self.connection:
            self.connection[2].close()
        address = self.random.choice(self.addresses)
        host, port = address.rsplit(":", 1)
        self.connection = (address, *await asyncio.open_connection(host, int(port)))

    async def send(self, method, prefix):
        self.count += 1
        identity = f"{self.name}-{self.count}"
        path = f"{prefix}{self.random.randrange(8)}"
        headers = {"Host": self.host, "X-Attempt-Id": identity, "X-Deadline-Ms": DEADLINE_MS,
                   "Cookie": f"X-Affinity-Key={self.zone}{path}"}
        if self.key is not None:
            headers.update({"Authorization": f"Bearer {self.key}", "X-Tenant": "forged"})
        end, status = "no_connection", 0
        try:
            await self.connect()
            _, reader, writer = self.connection
            end = "cut"
            writer.write(wire.make_message(f"{method} {path} HTTP/1.1", headers, b"body" if method == "POST" else b""))
            answer = await asyncio.wait_for(wire.read_message(reader), DEADLINE_MS / 1000)
            status = answer.status
            is_whole = answer.body == f"{identity} {path} ".encode() + (b"body" if method == "POST" else b"")
            end = "answered" if status != 200 or is_whole else "wrong_answer"
            if answer.headers.get("connection") == "close":
                self.drop()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.drop()
        self.outcomes.append((identity, prefix, end, status, time.monotonic()))

    def drop(self):
        if self.connection:
            self.connection[2].close()
        self.connection = None
