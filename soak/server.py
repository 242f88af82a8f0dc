"""Backend servers of the soak. The second part of a request's path names what its server does with it."""

import asyncio
import hashlib
import random
import time

import messages as wire
from backend_server import BackendServer
from checks import Run
from customers import KEY_MARK

LARGE_BODY_BYTES, PART_BYTES, PART_PAUSE_S = 150_000, 16_384, 0.005
SHORT_RUN_S, SLOW_RUN_S, LATE_READ_S = (0.005, 0.04), (0.6, 1.6), (0.3, 1.2)
CLOSING_SHARE = 0.02  # of whole answers that close their connection
EXIT_POLL_S = 0.05


class SoakServer(BackendServer):
    """Answers whole, late or in parts, breaks off, and leaves as planned."""

    def __init__(self, record, broken_once, seed, *arguments):
        super().__init__(*arguments)
        self.record, self.broken_once, self.random = record, broken_once, random.Random(seed)
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve_connection, self.address, self.port)
        self.reports = asyncio.ensure_future(self.report())

    async def end(self):
        """Ends after the last of its runs."""
        self.is_registered = False
        self.listener.close()
        await self.reports
        await self.store.remove("servers", self.identity)
        while self.running + self.waiting > 0:
            await asyncio.sleep(EXIT_POLL_S)
        for writer in self.writers:
            writer.close()

    async def serve_connection(self, reader, writer):
        writer.transport.set_write_buffer_limits(high=0)
        self.writers.add(writer)
        try:
            while await self.serve_request(await wire.read_head(reader), reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_request(self, message, reader, writer):
        """Returns whether the connection is kept."""
        path = message.start.split(" ")[1]
        is_mine = message.headers.get("x-target-instance", self.identity) == self.identity
        if path == "/health" or not is_mine:
            await wire.read_body(reader, message)
            status = "421 Other" if not is_mine else "200 OK" if self.state == "ready" else "503 Leaving"
            writer.write(wire.make_message(f"HTTP/1.1 {status}", {"X-Instance-Id": self.identity}))
            return True
        run = Run(message.headers.get("x-attempt-id", ""), self.identity, time.monotonic(),
                  customer=message.headers.get("x-tenant", ""), has_key=KEY_MARK in f"{message.start} {message.headers}")
        self.record.runs.append(run)
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            try:
                return await self.work(run, path.split("/")[2], message, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                run.end, run.ended_at = "dropped", time.monotonic()
                raise
            finally:
                self.running -= 1

    async def work(self, run, behaviour, message, reader, writer):
        if behaviour == "late":
            await self.sleep(LATE_READ_S)
        if behaviour != "early":
            await self.read_body(run, message, reader)
        await self.sleep(SLOW_RUN_S if behaviour == "slow" else SHORT_RUN_S)
        if reader.at_eof() or reader.exception():
            raise ConnectionResetError
        is_kept = await self.answer(run, behaviour, writer)
        if behaviour == "early":
            await self.sleep(LATE_READ_S)
            await self.read_body(run, message, reader)
        return is_kept

    async def read_body(self, run, message, reader):
        await wire.read_body(reader, message)
        run.digest = hashlib.sha256(message.body).digest()

    async def answer(self, run, behaviour, writer):
        is_kept = self.state == "ready" and self.random.random() >= CLOSING_SHARE
        is_broken = behaviour == "break" or behaviour == "once" and run.identity not in self.broken_once
        headers = {"X-Attempt-Id": run.identity, "X-Response-Signature": f"{self.identity}.{run.identity}",
                   "X-Backend-Load": self.load(), "Keep-Alive": "timeout=10", **({} if is_kept else {"Connection": "close"})}
        size = LARGE_BODY_BYTES if behaviour in ("large", "break", "once") else 0
        answer = wire.make_message("HTTP/1.1 200 OK", headers, run.identity.encode() + b"." * size)
        length = self.random.randrange(1, len(answer)) if is_broken else len(answer)
        for begin in range(0, length, PART_BYTES):
            await asyncio.sleep(PART_PAUSE_S if begin > 0 else 0)
            writer.write(answer[begin:min(begin + PART_BYTES, length)])
            await writer.drain()
        run.end = "broke_off" if is_broken else "whole" if is_kept else "whole_and_closed"
        run.ended_at = time.monotonic()
        if is_broken:
            self.broken_once.add(run.identity)
            writer.transport.abort()
        return is_kept and not is_broken

    async def sleep(self, span):
        await asyncio.sleep(self.random.uniform(*span))
