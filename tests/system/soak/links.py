"""A loopback proxy in front of the link port of each machine."""

import asyncio

CHUNK = 16 * 1024


class Fault:
    """An impairment of some connections."""

    def __init__(self, matches, delay_s=0.0, blocked=()):
        # Predicate on a pair (source, target) of machine names.
        self.matches = matches
        self.delay_s = delay_s
        # Directions in which no data passes: "to" or "from" the target.
        self.blocked = blocked


class LinkProxies:
    """The proxies of all machines. `machine_names` maps the IP address that a
    machine's processes use to its name."""

    def __init__(self, machine_names):
        self.machine_names = machine_names
        self.faults = []
        self.connections = set()
        self.servers = []

    async def add(self, name, host, port, target_host):
        async def handle_connection(reader, writer):
            source = self.machine_names.get(
                writer.get_extra_info("peername")[0], "?")
            await self.relay((source, name), reader, writer, target_host, port)
        self.servers.append(await asyncio.start_server(
            handle_connection, host, port, backlog=512))

    async def relay(self, pair, reader, writer, host, port):
        try:
            other_reader, other_writer = await asyncio.open_connection(
                host, port)
        except OSError:
            writer.transport.abort()
            return
        connection = (pair, writer, other_writer)
        self.connections.add(connection)
        try:
            await asyncio.gather(
                self.forward(pair, "to", reader, other_writer),
                self.forward(pair, "from", other_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            for each in (writer, other_writer):
                each.transport.abort()

    async def forward(self, pair, direction, reader, writer):
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
        for pair, writer, other in list(self.connections):
            if matches(pair):
                writer.transport.abort()
                other.transport.abort()
