"""Clients that keep to no limit: crowds of connections that send large, endless or unfinished
requests, and the memory and descriptors that they cost the process that they reach."""
import asyncio
import os
import socket
import threading
import time

import http1

BODY_BYTES = 1 << 20  # largest body that the site's document allows
CHUNK, TINY_CHUNK, PIECE = 64 << 10, 16, 8 << 10
DRIP_S = 0.5


class Usage(threading.Thread):
    """Samples what a process uses until it is stopped: resident memory and, as the platform counts
    them too, bytes that have arrived at its sockets and are not read; and its descriptors."""

    def __init__(self, process):
        super().__init__(daemon=True)
        self.pid = process.popen.pid
        self.host = bytes(reversed(socket.inet_aton(process.config["ip"]))).hex().upper()
        self.peak_mb = self.peak_unread_mb = self.peak_descriptors = 0
        self.stopped = threading.Event()
        self.start()

    def run(self):
        while not self.stopped.wait(0.01):
            try:
                self.sample()
            except (FileNotFoundError, ProcessLookupError):
                return

    def sample(self):
        unread_mb = self.unread_bytes() / (1 << 20)
        with open("/proc/%d/statm" % self.pid) as statm:
            resident_mb = int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        self.peak_unread_mb = max(self.peak_unread_mb, unread_mb)
        self.peak_mb = max(self.peak_mb, resident_mb + unread_mb)
        self.peak_descriptors = max(self.peak_descriptors, len(os.listdir("/proc/%d/fd" % self.pid)))

    def unread_bytes(self):
        """Bytes in the receive queues of the established connections of the process's host. Only
        one process of a site runs at each address."""
        total = 0
        with open("/proc/net/tcp") as table:
            for line in table:
                if line[6:14] != self.host:
                    continue
                fields = line.split()
                if fields[3] != "0A":  # not of a listening socket
                    total += int(fields[4].split(":")[1], 16)
        return total

    def stop(self):
        self.stopped.set()
        self.join()


class Client:
    """One connection and what is sent on it."""

    def __init__(self, crowd, number):
        self.crowd, self.id = crowd, "%016x" % (0xbad0000000000000 + number)
        self.sock = socket.socket()
        self.sock.setblocking(False)

    async def connect(self):
        await asyncio.get_running_loop().sock_connect(self.sock, self.crowd.address)

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    def head(self, headers, key="key-1", method="POST"):
        sent = {"Host": "site.example", "Request-Id": self.id, "Deadline-Ms": "20000", **headers}
        if key:
            sent["Authorization"] = "Bearer " + key
        return http1.head("%s %s HTTP/1.1" % (method, self.crowd.path), sent)

    def answer(self):
        """What has arrived."""
        got = b""
        try:
            while part := self.sock.recv(1 << 16):
                got += part
        except OSError:
            pass
        return got

    def close(self):
        self.sock.close()

    # ---- forms of bad requests

    async def silent(self):
        """A connection without a request."""

    async def head_without_end(self):
        await self.send(self.head({})[:-2] + b"".join(b"%x:\r\n" % n for n in range(1200)))

    async def large_chunks_short_of_the_end(self):
        await self.send(self.head({"Transfer-Encoding": "chunked"}))
        for _ in range(BODY_BYTES // CHUNK):
            await self.send(b"%x\r\n%s\r\n" % (CHUNK, b"x" * CHUNK))

    async def tiny_chunks_short_of_the_end(self):
        await self.send(self.head({"Transfer-Encoding": "chunked"}))
        chunk = b"%x\r\n%s\r\n" % (TINY_CHUNK, b"x" * TINY_CHUNK)
        for _ in range(16):
            await self.send(chunk * (BODY_BYTES // TINY_CHUNK // 16))

    async def whole(self):
        await self.send(self.head({"Content-Length": str(BODY_BYTES)}) + b"x" * BODY_BYTES)

    async def short_of_the_end(self, key="key-1"):
        await self.send(self.head({"Content-Length": str(BODY_BYTES)}, key) +
                        b"x" * (BODY_BYTES - 1))

    async def unknown_key_short_of_the_end(self):
        await self.short_of_the_end(key="nobody's")

    async def pieces_short_of_the_end(self):
        await self.send(self.head({"Content-Length": str(BODY_BYTES)}))
        for _ in range(BODY_BYTES // PIECE - 1):
            await self.send(b"x" * PIECE)
            await asyncio.sleep(0.005)

    async def drip(self):
        await self.send(self.head({"Content-Length": str(BODY_BYTES)}) +
                        b"x" * (BODY_BYTES - 1000))
        for _ in range(900):
            await asyncio.sleep(DRIP_S)
            await self.send(b"x")

    async def announced_beyond_the_limit(self):
        await self.send(self.head({"Content-Length": str(64 * BODY_BYTES)}))
        for _ in range(4 * BODY_BYTES // CHUNK):
            await self.send(b"x" * CHUNK)

    async def sent_beyond_the_limit(self):
        await self.send(self.head({"Transfer-Encoding": "chunked"}))
        for _ in range(4 * BODY_BYTES // CHUNK):
            await self.send(b"%x\r\n%s\r\n" % (CHUNK, b"x" * CHUNK))

    async def pipelined(self):
        """Eight requests at once, whose answers are not read."""
        size = BODY_BYTES // 2
        for _ in range(8):
            await self.send(self.head({"Content-Length": str(size)}) + b"x" * size)

    async def many_values(self):
        """JSON that takes far more memory once it is parsed."""
        body = b"{\"routes\":[" + b"0," * ((BODY_BYTES - 100) // 2) + b"0]}"
        await self.send(self.head({"Content-Length": str(len(body))}) + body)


class Crowd:
    """Many clients of one form at one address."""

    def __init__(self, address, path, form, count):
        host, port = address.rsplit(":", 1)
        self.address, self.path = (host, int(port)), path
        self.clients = [Client(self, n) for n in range(count)]
        self.form, self.tasks = form, []

    async def misbehave(self, client):
        try:
            await client.connect()
            await getattr(client, self.form)()
        except OSError:
            pass  # refused or closed

    def start(self):
        self.tasks = [asyncio.ensure_future(self.misbehave(client)) for client in self.clients]

    async def arrive(self, timeout_s):
        """Waits until all clients have sent what they send, or the time is over."""
        await asyncio.wait(self.tasks, timeout=timeout_s)

    def answers(self):
        return {client.id: client.answer() for client in self.clients}

    def close(self):
        for task in self.tasks:
            task.cancel()
        for client in self.clients:
            client.close()


async def until(condition, timeout_s):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return condition()
