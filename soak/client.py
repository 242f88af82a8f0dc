"""Clients of the soak: they use an open connection until its process ends it, in turn or with pipelines."""

import asyncio
import hashlib
import random
import socket
import time

import messages as wire
from caller import Caller
from checks import Request

DEADLINE_S, PATIENT_DEADLINE_S = 2.5, 7.5
PAUSES_S = {"short pause": (0.3, 2.0), "long pause": (5.2, 6.5)}
BODY_BYTES, UPLOAD_BYTES, RECEIVE_BUFFER_BYTES, READER_BYTES = 300_000, (100_000, 600_000), 32_768, 8_192
SLOW_SHARE, PART_BYTES, PART_PAUSE_S = 0.4, 32_768, (0.005, 0.06)  # of callers that upload slowly
FOLLOWERS = 4
CONNECT_S, RECONNECT_PAUSE_S, TURN_PAUSE_S = 1.0, 0.05, (0.005, 0.05)
TURNS = {"pipeline": 45, "short pause": 10, "long pause": 5,
         "plain": 120, "slow": 40, "late": 20, "early": 20, "large": 10, "break": 10, "upload": 50}
LEADERS = ("large", "break", "once")
UPLOADS = ("plain", "slow", "late", "early", "early", "break")
LOAD_INTERVAL_S, MAX_PIPELINED = 0.2, 20


class Client(Caller):
    def __init__(self, record, daemons, *arguments):
        super().__init__(*arguments)
        self.record, self.daemons = record, daemons  # names by address

    async def connect(self):
        if time.monotonic() > self.kept_until:
            await self.resolve()
        if self.connection is not None:
            return
        address = self.random.choice(self.addresses)
        host, port = address.rsplit(":", 1)
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        raw.setblocking(False)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(raw, (host, int(port))), CONNECT_S)
        except (OSError, asyncio.TimeoutError):
            raw.close()
            raise
        reader, writer = await asyncio.open_connection(sock=raw, limit=READER_BYTES)
        writer.transport.set_write_buffer_limits(high=0)
        self.connection = (address, reader, writer)

    async def take_turns(self, is_over):
        while not is_over():
            await self.exchange(*self.draw())
            await asyncio.sleep(self.random.uniform(*TURN_PAUSE_S))
        self.drop()

    def draw(self):
        """Returns the requests to send at once, and the pause before their answers are read."""
        kind = self.random.choices(list(TURNS), TURNS.values())[0]
        if kind == "pipeline":
            behaviours = ["plain"] * FOLLOWERS
            behaviours.insert(self.random.randrange(2), self.random.choice(LEADERS))
            return [self.make("look", behaviour) for behaviour in behaviours], 0.0
        if kind in PAUSES_S:
            return [self.make("look", "large", PATIENT_DEADLINE_S)], self.random.uniform(*PAUSES_S[kind])
        if kind == "upload":
            return [self.make("upload", self.random.choice(UPLOADS))], 0.0
        return [self.make(self.random.choice(("look", "buy")), kind)], 0.0

    def make(self, route, behaviour, deadline_s=DEADLINE_S):
        self.count += 1
        identity, size, part_pause_s = f"{self.name}-{self.count}", 0, 0.0
        if route == "upload":
            size = self.random.randrange(*UPLOAD_BYTES)
            part_pause_s = self.random.uniform(*PART_PAUSE_S) if self.random.random() < SLOW_SHARE else 0.0
        elif behaviour in ("late", "early"):
            size = BODY_BYTES
        body = random.Random(identity).randbytes(size)
        method = "POST" if body or route == "buy" else "GET"
        return Request(identity, method, f"/{route}/{behaviour}/{self.count}", deadline_s, body,
                       hashlib.sha256(body).digest(), self.draw_key(), part_pause_s)

    def draw_key(self):
        return self.record.customers.draw_key(self.random)

    async def exchange(self, requests, pause_s):
        try:
            await self.connect()
        except (OSError, IndexError, asyncio.TimeoutError):
            self.kept_until = 0
            await asyncio.sleep(RECONNECT_PAUSE_S)
            return
        address, reader, writer = self.connection
        self.record.requests += requests
        for position, request in enumerate(requests):
            request.daemon, request.position = self.daemons[address], position
        await self.send_all(requests, writer)
        await asyncio.sleep(pause_s)
        for request in requests:
            request.read_at = time.monotonic()
        end = await self.receive_all(requests, reader)
        for request in requests:
            request.body = b""
            if not request.ended_at:
                request.ended_at = time.monotonic()
                request.end = end if request.sent_at else "unsent"
        if end != "answered":
            self.drop()

    async def send_all(self, requests, writer):
        for request in requests:
            headers = {"Host": self.host, "X-Attempt-Id": request.identity, "X-Deadline-Ms": int(request.deadline_s * 1000),
                       "X-Tenant": "forged"}
            if request.key is not None:
                headers[self.random.choice(("Authorization", "authorization"))] = f"Bearer {request.key}"
            message = wire.make_message(f"{request.method} {request.path} HTTP/1.1", headers, request.body)
            part_bytes = PART_BYTES if request.part_pause_s else len(message)
            try:
                for begin in range(0, len(message), part_bytes):
                    await asyncio.sleep(request.part_pause_s if begin > 0 else 0)
                    writer.write(message[begin:begin + part_bytes])
                    await asyncio.wait_for(writer.drain(), request.deadline_s)
            except (ConnectionError, asyncio.TimeoutError):
                return
            request.sent_at = time.monotonic()

    async def receive_all(self, requests, reader):
        """Returns how the exchange ended for the requests that have no answer."""
        for request in requests:
            left_s = (request.sent_at or time.monotonic()) + request.deadline_s - time.monotonic()
            try:
                answer = await asyncio.wait_for(wire.read_message(reader), max(left_s, 0.01))
            except asyncio.TimeoutError:
                return "deadline"
            except (ConnectionError, asyncio.IncompleteReadError):
                return "cut"
            request.status, request.ended_at = answer.status, time.monotonic()
            request.is_signed = "x-response-signature" in answer.headers
            is_own = not request.is_signed or answer.body.rstrip(b".") == request.identity.encode()
            request.end = "answered" if is_own else "wrong_answer"
            if answer.headers.get("connection", "").lower() == "close":
                return "unread"
        return "answered"


class LoadClient(Client):
    """Sends a limited customer's planned demand to one daemon while the directory lists it."""

    def __init__(self, rate_per_s, key, address, *arguments):
        super().__init__(*arguments)
        self.rate_per_s, self.key, self.address = rate_per_s, key, address

    async def resolve(self):
        await super().resolve()
        self.addresses = [address for address in self.addresses if address == self.address]

    async def take_turns(self, is_over):
        owed = 0.0
        while not is_over():
            ends_at = time.monotonic() + LOAD_INTERVAL_S
            owed = min(owed + self.rate_per_s() * LOAD_INTERVAL_S, MAX_PIPELINED)
            if owed >= 1:
                await self.exchange([self.make("look", "plain") for _ in range(int(owed))], 0.0)
                owed %= 1
            await asyncio.sleep(max(ends_at - time.monotonic(), 0))
        self.drop()

    def draw_key(self):
        return self.key
