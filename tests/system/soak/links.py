"""A loopback proxy in front of the link port of each machine."""

import asyncio

CHUNK = 16 * 1024


class Fault:
    """What happens to the bytes of some connections for a while."""

    def __init__(self, matches, delay_s=0.0, blocked=()):
        # (source, target) -> bool, by the machines' names.
        self.matches = matches
        self.delay_s = delay_s
        # Directions that carry nothing: "to", "from" the target.
        self.blocked = blocked


class Links:
    """All proxies. `names` maps a listening IP to its machine's name."""

    def __init__(self, names):
        self.names = names
        self.faults = []
        self.open = set()
        self.servers = []

    async def add(self, name, host, port, target_host):
        async def talk(reader, writer):
            source = self.names.get(writer.get_extra_info("peername")[0], "?")
            await self.relay((source, name), reader, writer, target_host, port)
        self.servers.append(await asyncio.start_server(talk, host, port,
                                                       backlog=512))

    async def relay(self, pair, reader, writer, host, port):
        try:
            other_reader, other_writer = await asyncio.open_connection(
                host, port)
        except OSError:
            writer.transport.abort()
            return
        entry = (pair, writer, other_writer)
        self.open.add(entry)
        try:
            await asyncio.gather(
                self.pump(pair, "to", reader, other_writer),
                self.pump(pair, "from", other_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(entry)
            for each in (writer, other_writer):
                each.transport.abort()

    async def pump(self, pair, direction, reader, writer):
        while data := await reader.read(CHUNK):
            while any(direction in fault.blocked and fault.matches(pair)
                      for fault in self.faults):
                await asyncio.sleep(0.05)
            delay = max((fault.delay_s for fault in self.faults
                         if fault.matches(pair)), default=0.0)
            if delay:
                await asyncio.sleep(delay)
            writer.write(data)
            await writer.drain()
        raise ConnectionError("closed")

    def reset(self, matches):
        for pair, writer, other in list(self.open):
            if matches(pair):
                writer.transport.abort()
                other.transport.abort()
