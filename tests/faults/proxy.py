"""A fault-injecting proxy for TCP and UDP. The mode of each named link can change at any time:

refuse: closes connections; silent, silent_out, silent_in: drops data in both directions or in one;
slow: delays data; and for datagrams double, reorder (a random delay) and truncate."""
import asyncio
import random
import threading

MODES = ("pass", "refuse", "silent", "silent_out", "silent_in", "slow", "double", "reorder",
         "truncate")


class _UdpRelay(asyncio.DatagramProtocol):
    """Relays datagrams to the ping socket of an agent, and its replies to their senders."""

    def __init__(self, proxy, name, target):
        self.proxy, self.name, self.target = proxy, name, target
        self.reply_transports = {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, sender):
        asyncio.ensure_future(self.relay(data, sender))

    async def relay(self, data, sender):
        mode = self.proxy.mode(self.name)
        if mode in ("silent", "silent_out", "refuse"):
            return
        if mode == "slow":
            await asyncio.sleep(self.proxy.delay)
        if mode == "reorder":
            await asyncio.sleep(self.proxy.random.random() * 0.2)
        if mode == "truncate":
            data = data[:len(data) // 2]
        if sender not in self.reply_transports:
            loop = asyncio.get_event_loop()
            outer = self

            class ReplyProtocol(asyncio.DatagramProtocol):
                def datagram_received(self, response, _):
                    if outer.proxy.mode(outer.name) not in ("silent", "silent_in", "refuse"):
                        outer.transport.sendto(response, sender)

            transport, _ = await loop.create_datagram_endpoint(ReplyProtocol,
                                                               remote_addr=self.target)
            self.reply_transports[sender] = transport
        for _ in range(2 if mode == "double" else 1):
            self.reply_transports[sender].sendto(data)


class FaultProxy:
    def __init__(self, seed=1):
        self.modes, self.writers, self.delay = {}, {}, 0.3
        self.random = random.Random(seed)
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.addresses, self.servers = {}, []

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def names(self):
        return list(self.modes)

    def mode(self, name):
        return self.modes.get(name, "pass")

    def set(self, name, mode):
        assert mode in MODES, mode
        self.modes[name] = mode
        if mode in ("refuse", "truncate"):
            self.loop.call_soon_threadsafe(self._close, name)

    def heal(self):
        for name in self.modes:
            if self.modes[name] in ("silent", "silent_in", "silent_out"):
                # A connection that lost data can not resume, so it is closed.
                self.loop.call_soon_threadsafe(self._close, name)
            self.modes[name] = "pass"

    def _close(self, name):
        for writer in self.writers.get(name, []):
            writer.close()
        self.writers[name] = []

    def tcp(self, name, target):
        if ("tcp", name) not in self.addresses:
            self.modes.setdefault(name, "pass")
            host, port = target.split(":")
            server = self._run(asyncio.start_server(
                lambda r, w: self._serve(name, host, int(port), r, w), "127.0.0.1", 0))
            self.addresses["tcp", name] = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self.addresses["tcp", name]

    def tcp_at(self, name, listen, target):
        """Like tcp(), at a given address: the one at which other processes dial `target`."""
        self.modes.setdefault(name, "pass")
        (near, near_port), (host, port) = listen.split(":"), target.split(":")
        self.servers.append(self._run(asyncio.start_server(
            lambda r, w: self._serve(name, host, int(port), r, w), near, int(near_port))))

    def udp(self, name, target):
        if ("udp", name) not in self.addresses:
            self.modes.setdefault(name, "pass")
            host, port = target.split(":")

            async def bind():
                transport, _ = await self.loop.create_datagram_endpoint(
                    lambda: _UdpRelay(self, name, (host, int(port))), local_addr=("127.0.0.1", 0))
                return transport.get_extra_info("sockname")[1]

            self.addresses["udp", name] = "127.0.0.1:%d" % self._run(bind())
        return self.addresses["udp", name]

    async def _serve(self, name, host, port, reader, writer):
        if self.mode(name) == "refuse":
            writer.close()
            return
        while self.mode(name) == "silent":
            await asyncio.sleep(0.05)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.close()
            return
        self.writers.setdefault(name, []).extend([writer, far_writer])
        await asyncio.gather(self._pump(name, "silent_out", reader, far_writer),
                             self._pump(name, "silent_in", far_reader, writer))

    async def _pump(self, name, one_way, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                mode = self.mode(name)
                if mode in ("silent", one_way):
                    continue
                if mode == "slow":
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            pass
        finally:
            writer.close()

    def close(self):
        async def cancel():
            for server in self.servers:
                server.close()  # frees the address for the next site
            for task in asyncio.all_tasks():
                if task is not asyncio.current_task():
                    task.cancel()

        self._run(cancel())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
