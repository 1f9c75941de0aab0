"""Minimal HTTP/1.1 over asyncio for simulated clients and workers."""

import asyncio
import json

HEADER_LIMIT = 64 * 1024


async def read_head(reader):
    """Returns the words of the first line and the headers, or None if the peer
    closed the connection between two messages."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("connection closed within the headers") \
                from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(reader, headers):
    return await reader.readexactly(int(headers.get("content-length", 0)))


def format_message(first_line, headers, body):
    lines = [first_line,
             *(f"{name}: {value}" for name, value in headers.items()),
             f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Connection:
    """A client's connection, reused until it fails or is closed."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.reader = self.writer = None

    async def exchange(self, method, path, body=b"", headers=None):
        """Returns status, headers and body of the answer. Raises OSError or
        ConnectionError if none arrives."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port, limit=HEADER_LIMIT)
        try:
            self.writer.write(format_message(f"{method} {path} HTTP/1.1", {
                "Host": "desk.example", "Content-Type": "application/json",
                **(headers or {})}, body))
            await self.writer.drain()
            head = await read_head(self.reader)
            if head is None:
                raise ConnectionError("connection closed without an answer")
            (_, status, *_), answer_headers = head
            content = await read_body(self.reader, answer_headers)
        except asyncio.IncompleteReadError as error:
            self.close()
            raise ConnectionError("connection closed within an answer") \
                from error
        except BaseException:
            self.close()
            raise
        if answer_headers.get("connection", "").lower() == "close":
            self.close()
        return int(status), answer_headers, content

    def is_open(self):
        return self.writer is not None and not self.reader.at_eof()

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def serve(host, port, handler, writers=None):
    """Answers requests with `handler(method, path, headers, body)`, which
    returns a status and a JSON value, or None to send no answer. Open
    connections are in the set `writers`."""
    async def handle_connection(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                (method, path, *_), headers = head
                body = await read_body(reader, headers)
                answer = await handler(method, path, headers, body)
                if answer is None:
                    continue
                status, content = answer
                writer.write(format_message(
                    f"HTTP/1.1 {status} x",
                    {"Content-Type": "application/json"},
                    json.dumps(content).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            if writers is not None:
                writers.discard(writer)
            writer.close()
    return await asyncio.start_server(handle_connection, host, port,
                                      limit=HEADER_LIMIT, backlog=512)
