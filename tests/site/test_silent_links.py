"""Links between control hosts that stay open and carry nothing any more, while something on the way
still acknowledges their bytes. Guards against hosts that never leave such links."""
import asyncio

from sitefleet import Site


class SilencedRelay:
    """Relays to the link addresses of control hosts. Connections that are open when it is silenced
    take bytes for good and pass none on; later ones work."""

    def __init__(self):
        self.places, self.open, self.silenced = [], set(), set()

    def tcp_at(self, name, listen, target):
        self.places.append((listen, target))

    async def start(self):
        for listen, target in self.places:
            host, port = listen.rsplit(":", 1)
            await asyncio.start_server(
                lambda reader, writer, to=target: self.relay(reader, writer, to), host, int(port))

    async def relay(self, reader, writer, target):
        host, port = target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        connection = object()
        self.open.add(connection)
        await asyncio.gather(self.carry(connection, reader, far_writer),
                             self.carry(connection, far_reader, writer))
        self.open.discard(connection)

    async def carry(self, connection, reader, writer):
        try:
            while data := await reader.read(65536):
                if connection not in self.silenced:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def silence(self):
        self.silenced |= self.open


def test_control_recovers_when_its_open_links_go_silent():
    async def run():
        relay = SilencedRelay()
        site = Site(controls=3, entries=1, endpoints=(2, 2), plain=2, tolerance=1, proxy=relay)
        try:
            await relay.start()
            await site.start()
            assert await site.until(lambda: site.serves("look")), "not served at the start"
            relay.silence()
            assert await site.put_document(20), "no document is accepted"
            assert await site.read_document(10) == site.acked
            assert await site.until(lambda: site.serves("look")), "not served afterwards"
            assert site.check_all() == []
        finally:
            site.close()

    asyncio.run(run())
