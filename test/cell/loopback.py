"""HTTP/1.1 and a fault-injecting TCP proxy on loopback, as small as the tests need them."""

import asyncio
import json
import time
from urllib.parse import parse_qsl, unquote, urlsplit

LIMIT = 16 << 20


async def read_head(reader):
    """First line and headers of a message; None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    return first, headers


def message(first, body, headers=None):
    lines = [first, f"Content-Length: {len(body)}", "Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


class HttpServer:
    """Serves `handler(request)`, which returns (status, object) or None for no answer at all."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=LIMIT)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handler(Request(method, target, headers, body))
                if answer is None:
                    # The connection carries nothing any more, and stays open.
                    await reader.read()
                    return
                status, value = answer
                writer.write(message(f"HTTP/1.1 {status} Status", json.dumps(value).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        """Closes the port and resets what is open, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Link:
    """A link of limited bandwidth that several proxies share."""

    def __init__(self, mbps):
        self.mbps = mbps
        self.free_at = {"up": 0.0, "down": 0.0}

    async def carry(self, direction, size):
        """Waits until the link has carried that many bytes behind those of others."""
        now = time.monotonic()
        began = max(now, self.free_at[direction])
        self.free_at[direction] = began + size * 8 / (self.mbps * 1e6)
        await asyncio.sleep(self.free_at[direction] - now)


class Proxy:
    """Forwards connections to one address, and harms them when told to."""

    def __init__(self, target, link=None):
        self.target = target
        self.own_link = link
        self.link = link
        self.port = 0
        self.server = None
        self.pairs = {}
        self.silent = set()
        self.delay = 0.0
        self.cut = set()
        self.next = 0

    async def open(self):
        self.server = await asyncio.start_server(self.connect, "127.0.0.1", self.port, limit=LIMIT)
        self.port = self.server.sockets[0].getsockname()[1]

    async def connect(self, reader, writer):
        number = self.next
        self.next += 1
        while "up" in self.cut or "down" in self.cut:
            # A cut link does not refuse; it says nothing.
            await asyncio.sleep(0.05)
            if writer.is_closing():
                return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target, limit=LIMIT)
        except OSError:
            writer.transport.abort()
            return
        self.pairs[number] = (writer, far_writer)
        both = [asyncio.ensure_future(self.pump(number, reader, far_writer, "up")),
                asyncio.ensure_future(self.pump(number, far_reader, writer, "down"))]
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            return
        finally:
            for one in both:
                one.cancel()
            self.pairs.pop(number, None)
            self.silent.discard(number)
            writer.close()
            far_writer.close()

    async def pump(self, number, reader, writer, direction):
        try:
            while True:
                # Parts of a tenth of a second at most, so that the connections of one link advance side by side.
                data = await reader.read(min(4096, int(self.link.mbps * 1e6 / 80)) if self.link else 65536)
                if self.link:
                    await self.link.carry(direction, len(data))
                if self.delay:
                    await asyncio.sleep(self.delay)
                while direction in self.cut or number in self.silent:
                    await asyncio.sleep(0.05)
                    # What a cut holds up is lost when its sender resets the connection.
                    if reader.exception():
                        return
                if not data:
                    return
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return

    def reset(self):
        for pair in list(self.pairs.values()):
            for writer in pair:
                writer.transport.abort()

    def silence(self):
        """What is open now never carries anything again; new connections work."""
        self.silent |= set(self.pairs)

    def heal(self):
        self.delay = 0.0
        self.cut = set()
        self.link = self.own_link

    async def close(self):
        self.server.close()
        self.reset()


class Channel:
    """A client's connection that stays open from call to call."""

    def __init__(self, address):
        self.address = address
        self.streams = None

    async def call(self, method, path, body=b"", headers=None, seconds=3.0):
        """Status, headers and body; None when no whole answer came."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, body, headers or {}), seconds)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError, asyncio.LimitOverrunError):
            self.close()
            return None

    async def exchange(self, method, path, body, headers):
        if self.streams is None:
            self.streams = await asyncio.open_connection(*self.address, limit=LIMIT)
        reader, writer = self.streams
        writer.write(message(f"{method} {path} HTTP/1.1", body, headers))
        await writer.drain()
        first, answered = await read_head(reader)
        status = int(first.split(" ", 2)[1])
        text = await reader.readexactly(int(answered.get("content-length", 0)))
        if answered.get("connection", "").lower() == "close":
            self.close()
        return status, answered, text

    def close(self):
        if self.streams:
            self.streams[1].transport.abort()
            self.streams = None
