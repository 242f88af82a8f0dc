"""HTTP/1.1 over asyncio streams, for the stand-ins of the platform."""

import asyncio
import json


class Message:
    """A whole request or answer: its first line, headers in lower case, and body."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])


async def read_head(reader):
    """Returns the next message without its body, which is still to be read."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            name, value = name.strip().lower(), value.strip()
            # A repeated header must not hide an earlier one from the checks of the stand-ins.
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return Message(lines[0], headers, b"")


async def read_body(reader, message):
    message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))


async def read_message(reader):
    """Returns the next message; raises IncompleteReadError if the connection ends before its end."""
    message = await read_head(reader)
    await read_body(reader, message)
    return message


def make_message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines + [f"Content-Length: {len(body)}", "", ""])).encode() + body


def make_json(status, document, headers=None):
    return make_message(f"HTTP/1.1 {status} .", {"Content-Type": "application/json", **(headers or {})},
                        json.dumps(document).encode())


async def serve(address, port, handle):
    """Serves `handle(message) -> bytes` on one port; requests of a connection run one after the other."""
    async def serve_connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                run = asyncio.ensure_future(handle(message))
                writer.write(await run)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(serve_connection, address, port)
