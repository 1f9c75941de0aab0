"""Minimal HTTP/1.1 over asyncio for the stand-ins of the review."""

import asyncio
import json


async def read_head(reader):
    """First line and headers of a message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def message(first_line, headers, body):
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def call(address, method, path, body=None, headers=None, timeout_s=1.0):
    """Sends one request on a new connection. Returns status and body, or
    (0, reason) if there is no complete answer in time."""
    host, port = address
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, port)
        content = b"" if body is None else json.dumps(body).encode()
        writer.write(message(f"{method} {path} HTTP/1.1", {
            "Host": f"{host}:{port}", "Content-Type": "application/json",
            **(headers or {})}, content))
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return 0, "connection ended without an answer"
        first_line, answer_headers = head
        size = int(answer_headers.get("content-length", 0))
        text = await reader.readexactly(size)
        return int(first_line.split(" ")[1]), text.decode()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except asyncio.TimeoutError:
        return 0, "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


class Server:
    """Serves `handler(method, path, headers, body)`, which returns a status
    and a JSON value, or None to end the connection without an answer."""

    def __init__(self, host, port, handler):
        self.host = host
        self.port = port
        self.handler = handler
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.handle, self.host, self.port, backlog=512)

    def abort(self):
        """Ends like a killed process: all connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first_line, headers = head
                method, path, _ = first_line.split(" ", 2)
                body = await reader.readexactly(
                    int(headers.get("content-length", 0)))
                answer = await self.handler(method, path, headers, body)
                if answer is None:
                    return
                status, content = answer
                writer.write(message(
                    f"HTTP/1.1 {status} answer",
                    {"Content-Type": "application/json"},
                    json.dumps(content).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
