"""A crowd of hostile connections, and what each kind of them sends."""

import fcntl
import selectors
import socket
import struct
import termios
import time

from daemon_host import ADDRESS, DESCRIPTORS, HOST

# Connections of a crowd and bytes that one of them sends at most. They were fixed before the product was changed.
CROWD, ENDLESS_BYTES = 24, 2 << 20
PIPELINED_REQUESTS = 400
SLOW_BODY_BYTES = 50
# A crowd that can send no more has been refused or is not read any more.
STALL_S = 3.0
# Lines of 8 bytes keep reads of any power of two at the end of a line.
TINY_FIELD = b"ab:cde\r\n"
# The smallest field there is.
SMALLEST_FIELD = b"a:\r\n"


def post(path, more):
    return f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: h\r\nX-Deadline-Ms: 5000\r\n{more}\r\n".encode()


def endless_trailers(host, listener):
    start = post(host.path(listener, "held"), "Transfer-Encoding: chunked\r\n") + b"4\r\nbody\r\n0\r\n"
    return start + SMALLEST_FIELD * (ENDLESS_BYTES // 4 // len(SMALLEST_FIELD)) + b"\r\n"


def trailers_without_end(host, listener):
    start = post(host.path(listener, "held"), "Transfer-Encoding: chunked\r\n") + b"4\r\nbody\r\n0\r\n"
    return start + TINY_FIELD * (ENDLESS_BYTES // len(TINY_FIELD))


def endless_heads(host, listener):
    return b"GET / HTTP/1.1\r\n" + TINY_FIELD * (ENDLESS_BYTES // len(TINY_FIELD))


def endless_extensions(host, listener):
    return post(host.path(listener, "held"), "Transfer-Encoding: chunked\r\n") + b"4;" + b"e" * ENDLESS_BYTES


def chunks_of_one_byte(host, listener):
    start = post(host.path(listener, "held"), "Transfer-Encoding: chunked\r\n")
    return start + b"1\r\nx\r\n" * (ENDLESS_BYTES // 6)


def slow_bodies(host, listener):
    """Sent one byte at a time, see BYTEWISE."""
    return post(host.path(listener, "held"), "Content-Length: 60000\r\n") + b"x" * SLOW_BODY_BYTES


def pipelined_requests(host, listener):
    return f"GET {host.path(listener, 'large')} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: p\r\n\r\n".encode() * PIPELINED_REQUESTS


def pipelined_heads(host, listener):
    """Requests inside the limits whose heads are as many small fields as fit."""
    limit = 8192 if listener != "callers" else 16384
    start = f"GET {host.path(listener, 'held')} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: p\r\n".encode()
    fields = SMALLEST_FIELD * ((limit - len(start) - 2) // len(SMALLEST_FIELD))
    return (start + fields + b"\r\n") * 60


def idle_connections(host, listener):
    return b""


def partial_heads(host, listener):
    return b"GET / HT"


def large_trailer(host, listener):
    """One field longer than the lengths of the parser can state."""
    start = post(host.path(listener, "held"), "Transfer-Encoding: chunked\r\n") + b"4\r\nbody\r\n0\r\n"
    return start + b"name: " + b"v" * 100000 + b"\r\n\r\n"


def unfinished_peer_message(size):
    handshake = b"\0SP\0" + struct.pack(">HH", 0x50, 0)
    return handshake + struct.pack(">Q", size) + b"m" * (size - 1)


def peer_messages(host, listener):
    """The largest message that the transport permitted when the test was written, without its last byte."""
    return unfinished_peer_message(4 << 20)


def peer_documents(host, listener):
    """The largest message that daemons send each other, without its last byte."""
    return unfinished_peer_message(1 << 20)


def peer_handshakes(host, listener):
    return b"\0SP\0" + struct.pack(">HH", 0x50, 0)


# Function, connections, and whether they are opened again when the daemon closes them.
KINDS = {one.__name__: (one, count, is_repeated) for one, count, is_repeated in (
    (endless_trailers, CROWD, False), (large_trailer, CROWD, False), (trailers_without_end, CROWD, False), (endless_heads, CROWD, False),
    (endless_extensions, CROWD, False), (chunks_of_one_byte, CROWD, False), (slow_bodies, CROWD, False),
    (pipelined_requests, CROWD, False), (pipelined_heads, CROWD, False),
    (idle_connections, DESCRIPTORS, True), (partial_heads, DESCRIPTORS, True))}
PEER_KINDS = {one.__name__: (one, count, is_repeated) for one, count, is_repeated in (
    (endless_heads, CROWD, False), (peer_messages, CROWD, False), (peer_documents, CROWD, False),
    (peer_handshakes, DESCRIPTORS, True),
    (idle_connections, DESCRIPTORS, True))}
BYTEWISE = {slow_bodies}
# Sent in pieces of whole lines, each when the one before has arrived.
LINEWISE = {endless_heads}


def unacknowledged_bytes(connection):
    return struct.unpack("i", fcntl.ioctl(connection, termios.TIOCOUTQ, b"\0\0\0\0"))[0]


class Crowd:
    """Connections that send their input and read nothing."""

    def __init__(self, port, make, count, is_repeated, host, listener):
        self.port, self.is_repeated = port, is_repeated
        self.payload = make(host, listener)
        self.step = 1 if make in BYTEWISE else 4096 if make in LINEWISE else 1 << 20
        self.is_linewise = make in LINEWISE
        self.selector = selectors.DefaultSelector()
        self.sent = {}
        self.closed = 0
        for _ in range(count):
            self.open()

    def open(self):
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex((ADDRESS, self.port))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sent[connection] = 0
        self.selector.register(connection, selectors.EVENT_WRITE)

    def drop(self, connection):
        self.selector.unregister(connection)
        del self.sent[connection]
        connection.close()
        self.closed += 1

    def feed(self, watch):
        """Sends until each connection has sent all, was closed, or is not read any more. `watch()` false ends it."""
        progress_at = time.monotonic()
        while self.selector.get_map() and time.monotonic() < progress_at + STALL_S and watch():
            for key, _ in self.selector.select(0.1):
                if self.feed_one(key.fileobj):
                    progress_at = time.monotonic()
            if self.step == 1:
                time.sleep(0.02)

    def feed_one(self, connection):
        position = self.sent[connection]
        if position == len(self.payload):
            self.selector.unregister(connection)
            return True
        if self.is_linewise and unacknowledged_bytes(connection) > 0:
            return False
        try:
            self.sent[connection] += connection.send(memoryview(self.payload)[position:position + self.step])
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self.drop(connection)
        return True

    def reopen_closed(self):
        """Opens connections again that the daemon has closed; only for kinds that take up descriptors."""
        if not self.is_repeated:
            return
        for connection in list(self.sent):
            try:
                is_closed = connection.recv(4096) == b""
            except BlockingIOError:
                is_closed = False
            except OSError:
                is_closed = True
            if is_closed:
                self.closed += 1
                try:
                    self.selector.unregister(connection)
                except KeyError:
                    pass
                del self.sent[connection]
                connection.close()
                self.open()

    def total_sent(self):
        return sum(self.sent.values())

    def close(self):
        for connection in self.sent:
            connection.close()
        self.selector.close()
